// Package relay passes configuration on: an Origin serves relays at the copy of the store that leads, and a Relay watches there
// and serves the order servers of its zone, so that the copy's cost does not grow with the servers.
package relay

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"slices"

	"github.com/rs/zerolog"

	"puffinsaddle/internal/clock"
	"puffinsaddle/internal/distribution"
	"puffinsaddle/internal/net/configwatch"
	"puffinsaddle/internal/records"
	"puffinsaddle/internal/replica"
	"puffinsaddle/internal/store"
)

// Options set up a relay.
type Options struct {
	Name      string
	Region    string // where it stands
	Listen    string
	Listener  net.Listener        // in place of Listen; nil: none
	Copies    map[string]string   // address of each copy of the store, by its id
	Elsewhere []string            // relays that a watcher that is refused may try, by name or address
	Path      string              // of the copy on the disk; "": none is kept
	Limits    distribution.Limits // zero: the default
	Seed      uint64
	Steady    *clock.Clock
	Log       zerolog.Logger
	Plant     string

	Committed func(records.Commit)        // for each commit that is in force here; nil: nobody asks
	Adopted   func(distribution.Position) // for each snapshot; nil: nobody asks
	Reported  func(revision uint64)       // for each revision reported for the first time; nil: nobody asks
}

// Relay is one relay.
type Relay struct {
	o       Options
	ln      net.Listener
	server  *configwatch.Server
	client  *configwatch.Client
	replica *replica.Replica
}

// follower is the relay's own copy, whose reports speak for its watchers.
type follower struct {
	*replica.Replica
	server *configwatch.Server
}

// Report sums the watchers' reports. A relay without watchers speaks for nobody.
func (f follower) Report() distribution.Report {
	f.Replica.Report() // writes down what it would say of itself
	return f.server.Report()
}

// Open reads the relay's copy and listens; Run has to be called for it to serve.
func Open(o Options) (*Relay, error) {
	if o.Limits == (distribution.Limits{}) {
		o.Limits = distribution.DefaultLimits
	}
	r := &Relay{o: o, ln: o.Listener}
	if r.ln == nil {
		var err error
		if r.ln, err = net.Listen("tcp", o.Listen); err != nil {
			return nil, fmt.Errorf("relay: %w", err)
		}
	}
	r.server = configwatch.NewServer(configwatch.ServerOptions{Limits: o.Limits, Source: r, Serves: r.serves, Elsewhere: o.Elsewhere, Steady: o.Steady,
		Log: o.Log, Seed: o.Seed, Plant: o.Plant})
	r.replica = replica.Open(replica.Options{Name: o.Name, Path: o.Path, Limits: records.Limits{Commits: o.Limits.Commits, Bytes: o.Limits.Bytes},
		Committed: r.committed, Adopted: r.adopted, Reported: o.Reported, Log: o.Log, Plant: o.Plant})
	floor, commits := r.replica.Held()
	r.server.Reset(floor)
	for _, c := range commits {
		if err := r.server.Publish(c); err != nil {
			r.ln.Close()
			return nil, fmt.Errorf("relay: %w", err)
		}
	}
	if o.Adopted != nil {
		o.Adopted(r.replica.Position())
	}
	var copies []distribution.Relay
	for _, id := range slices.Sorted(maps.Keys(o.Copies)) {
		copies = append(copies, distribution.Relay{Name: id, Address: o.Copies[id]})
	}
	r.client = configwatch.NewClient(configwatch.ClientOptions{Name: o.Name, Relay: true, Region: o.Region, Preamble: []byte{store.PurposeWatches},
		Selector: distribution.NewCopySelector(copies, o.Seed), Follower: follower{r.replica, r.server},
		Steady: o.Steady, Log: o.Log, Plant: o.Plant})
	return r, nil
}

// serves sends watchers on while the relay has nothing at all.
func (r *Relay) serves(configwatch.Watch) *configwatch.Refused {
	if r.replica.Position().Revision > 0 || r.client.Figures().Connected > 0 {
		return nil
	}
	return &configwatch.Refused{RetryMs: leadRetryMs, Elsewhere: r.o.Elsewhere, Reason: "this relay has no configuration yet"}
}

// committed passes a commit on. It is called under the replica's lock, in order.
func (r *Relay) committed(c records.Commit) {
	if r.o.Committed != nil {
		r.o.Committed(c)
	}
	if err := r.server.Publish(c); err != nil {
		r.o.Log.Error().Err(err).Msg("commit not served")
	}
}

func (r *Relay) adopted(p distribution.Position) {
	if r.o.Adopted != nil {
		r.o.Adopted(p)
	}
	r.server.Reset(p)
}

// Table is the source of snapshots.
func (r *Relay) Table() (*records.Table, uint64) { return r.replica.Table() }

// Addr is where the relay listens.
func (r *Relay) Addr() string { return r.ln.Addr().String() }

// Figures are the relay's counts.
type Figures struct {
	Serving  configwatch.Figures       `json:"serving"`
	Watching configwatch.ClientFigures `json:"watching"`
	Records  int                       `json:"records"`
	Report   distribution.Report       `json:"report"`
}

// Figures reads the counts.
func (r *Relay) Figures() Figures {
	return Figures{r.server.Figures(), r.client.Figures(), r.replica.Records(), r.server.Report()}
}

// Run serves until the context ends.
func (r *Relay) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() {
		r.ln.Close()
		r.server.DropAll()
	})
	defer stop()
	defer r.replica.Close()
	go r.client.Run(ctx)
	for {
		conn, err := r.ln.Accept()
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return nil
			}
			r.o.Log.Warn().Err(err).Msg("accept failed")
			due := make(chan struct{})
			r.o.Steady.After(acceptRetryMs, func() { close(due) })
			<-due
			continue
		}
		go r.server.Serve(conn)
	}
}

const acceptRetryMs = 50.0 // after an accept that failed, as where descriptors are used up
