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
	Name           string
	Region         string // where it stands
	Listen         string
	Listener       net.Listener        // in place of Listen; nil: none
	StoreAddresses map[string]string   // address of each copy of the store, by its id
	Elsewhere      []string            // relays that a watcher that is refused may try, by name or address
	Path           string              // of the copy on the disk; "": none is kept
	Limits         distribution.Limits // zero: the default
	Seed           uint64
	Steady         *clock.Clock
	Log            zerolog.Logger
	InjectedBug    string

	OnCommit   func(records.Commit)        // for each commit that is in force here; nil: nobody asks
	OnSnapshot func(distribution.Position) // for each snapshot; nil: nobody asks
	OnReport   func(revision uint64)       // for each revision reported for the first time; nil: nobody asks
}

// Relay is one relay.
type Relay struct {
	options  Options
	listener net.Listener
	server   *configwatch.Server
	client   *configwatch.Client
	replica  *replica.Replica
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
	r := &Relay{options: o, listener: o.Listener}
	if r.listener == nil {
		var err error
		if r.listener, err = net.Listen("tcp", o.Listen); err != nil {
			return nil, fmt.Errorf("relay: %w", err)
		}
	}
	r.server = configwatch.NewServer(configwatch.ServerOptions{Limits: o.Limits, Source: r, CheckWatch: r.checkWatch, AlternateAddresses: o.Elsewhere, Steady: o.Steady,
		Log: o.Log, Seed: o.Seed, InjectedBug: o.InjectedBug})
	r.replica = replica.Open(replica.Options{Name: o.Name, Path: o.Path, Limits: records.Limits{MaxCommits: o.Limits.Commits, MaxBytes: o.Limits.Bytes},
		OnCommit: r.publishCommit, OnSnapshot: r.publishSnapshot, OnReport: o.OnReport, Log: o.Log, InjectedBug: o.InjectedBug})
	start, commits := r.replica.RetainedCommits()
	r.server.Reset(start)
	for _, c := range commits {
		if err := r.server.Publish(c); err != nil {
			r.listener.Close()
			return nil, fmt.Errorf("relay: %w", err)
		}
	}
	if o.OnSnapshot != nil {
		o.OnSnapshot(r.replica.Position())
	}
	var storeReplicas []distribution.Relay
	for _, id := range slices.Sorted(maps.Keys(o.StoreAddresses)) {
		storeReplicas = append(storeReplicas, distribution.Relay{Name: id, Address: o.StoreAddresses[id]})
	}
	r.client = configwatch.NewClient(configwatch.ClientOptions{Name: o.Name, IsRelay: true, Region: o.Region, Preamble: []byte{store.PurposeWatches},
		Selector: distribution.NewStoreSelector(storeReplicas, o.Seed), Replica: follower{r.replica, r.server},
		Steady: o.Steady, Log: o.Log, InjectedBug: o.InjectedBug})
	return r, nil
}

// checkWatch sends watchers on while the relay has nothing at all.
func (r *Relay) checkWatch(configwatch.Watch) *configwatch.Refusal {
	if r.replica.Position().Revision > 0 || r.client.Metrics().Connections > 0 {
		return nil
	}
	return &configwatch.Refusal{RetryMS: notLeaderRetryMS, AlternateAddresses: r.options.Elsewhere, Reason: "this relay has no configuration yet"}
}

// publishCommit passes a commit on. It is called under the replica's lock, in order.
func (r *Relay) publishCommit(c records.Commit) {
	if r.options.OnCommit != nil {
		r.options.OnCommit(c)
	}
	if err := r.server.Publish(c); err != nil {
		r.options.Log.Error().Err(err).Msg("commit not served")
	}
}

func (r *Relay) publishSnapshot(p distribution.Position) {
	if r.options.OnSnapshot != nil {
		r.options.OnSnapshot(p)
	}
	r.server.Reset(p)
}

// Table is the source of snapshots.
func (r *Relay) Table() (*records.Table, uint64) { return r.replica.Table() }

// Addr is where the relay listens.
func (r *Relay) Addr() string { return r.listener.Addr().String() }

// Metrics are the relay's counts.
type Metrics struct {
	Serving  configwatch.Metrics       `json:"serving"`
	Watching configwatch.ClientMetrics `json:"watching"`
	Records  int                       `json:"records"`
	Report   distribution.Report       `json:"report"`
}

// Metrics reads the counts.
func (r *Relay) Metrics() Metrics {
	return Metrics{r.server.Metrics(), r.client.Metrics(), r.replica.RecordCount(), r.server.Report()}
}

// Run serves until the context ends.
func (r *Relay) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() {
		r.listener.Close()
		r.server.DisconnectAll()
	})
	defer stop()
	defer r.replica.Close()
	go r.client.Run(ctx)
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return nil
			}
			r.options.Log.Warn().Err(err).Msg("accept failed")
			due := make(chan struct{})
			r.options.Steady.After(acceptRetryMS, func() { close(due) })
			<-due
			continue
		}
		go r.server.Serve(conn)
	}
}

const acceptRetryMS = 50.0 // after an accept that failed, as where descriptors are used up
