// Package relay implements the relays that distribute configuration. An Origin serves relays at the store leader; a Relay watches
// the leader and serves the order servers of its zone, so that the leader's cost does not grow with the number of servers.
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

// Options configure a relay.
type Options struct {
	Name           string
	Region         string // shown to operators in the status
	Listen         string
	Listener       net.Listener        // used instead of Listen if not nil
	StoreAddresses map[string]string   // addresses of the store replicas by id
	Elsewhere      []string            // alternatives offered to refused watchers, by name or address
	Path           string              // of the configuration replica on disk; "": not stored
	Limits         distribution.Limits // zero: distribution.DefaultLimits
	Seed           uint64
	Steady         *clock.Clock
	Log            zerolog.Logger
	InjectedBug    string // one of distribution.InjectedBugs, for the lab; "": none

	OnCommit   func(records.Commit)        // called for each applied commit; may be nil
	OnSnapshot func(distribution.Position) // called for each applied snapshot; may be nil
	OnReport   func(revision uint64)       // called for each revision reported for the first time; may be nil
}

// Relay watches the store leader and serves the order servers of its zone.
type Relay struct {
	options  Options
	listener net.Listener
	server   *configwatch.Server
	client   *configwatch.Client
	replica  *replica.Replica
}

// follower is the relay's configuration replica, which reports on behalf of the relay's watchers.
type follower struct {
	*replica.Replica
	server *configwatch.Server
}

// Report aggregates the watchers' reports. The report of a relay without watchers covers no server.
func (f follower) Report() distribution.Report {
	f.Replica.Report() // calls the replica's report callback
	return f.server.Report()
}

// Open loads the relay's configuration replica and listens; Run must be called for it to serve.
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
		OnCommit: r.publishCommit, OnSnapshot: r.resetServer, OnReport: o.OnReport, Log: o.Log, InjectedBug: o.InjectedBug})
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

// checkWatch refuses watchers while the relay has no configuration.
func (r *Relay) checkWatch(configwatch.Watch) *configwatch.Refusal {
	if r.replica.Position().Revision > 0 || r.client.Metrics().Connections > 0 {
		return nil
	}
	return &configwatch.Refusal{RetryMS: refusalRetryMS, AlternateAddresses: r.options.Elsewhere, Reason: "this relay has no configuration yet"}
}

// publishCommit publishes a commit to the watchers. It is called in order, with the replica's lock held.
func (r *Relay) publishCommit(c records.Commit) {
	if r.options.OnCommit != nil {
		r.options.OnCommit(c)
	}
	if err := r.server.Publish(c); err != nil {
		r.options.Log.Error().Err(err).Msg("failed to publish commit to watchers")
	}
}

func (r *Relay) resetServer(p distribution.Position) {
	if r.options.OnSnapshot != nil {
		r.options.OnSnapshot(p)
	}
	r.server.Reset(p)
}

// Table returns the records and their revision; it is the source of snapshots.
func (r *Relay) Table() (*records.Table, uint64) { return r.replica.Table() }

// Addr returns the address that the relay listens on.
func (r *Relay) Addr() string { return r.listener.Addr().String() }

// Metrics are the metrics of a relay: those of its server, those of its client, the number of records and the sum of the
// watchers' reports.
type Metrics struct {
	Serving  configwatch.Metrics       `json:"serving"`
	Watching configwatch.ClientMetrics `json:"watching"`
	Records  int                       `json:"records"`
	Report   distribution.Report       `json:"report"`
}

// Metrics returns the relay's current metrics.
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

const acceptRetryMS = 50.0 // delay after a failed accept, for example when file descriptors are exhausted
