package relay

import (
	"context"
	"net"
	"slices"

	"github.com/rs/zerolog"

	"puffinsaddle/internal/clock"
	"puffinsaddle/internal/distribution"
	"puffinsaddle/internal/net/configwatch"
	"puffinsaddle/internal/records"
	"puffinsaddle/internal/state"
)

// StoreReplica is the store replica whose records an Origin serves.
type StoreReplica interface {
	// Leadership returns the current term, and whether the replica believes that it is the leader in it.
	Leadership() (term uint64, isLeader bool)
	// Leader returns the ID of the leader as known to the replica; "": unknown.
	Leader() string
	// Changed returns a channel that is closed when the replica applies the next log entry.
	Changed() <-chan struct{}
	// View calls read with the state, which must not be modified or retained, and with a log index up to which the state includes
	// all entries.
	View(read func(st *state.State, index uint64))
}

// originLimits are the limits of an Origin. It serves relays only, so the number of its watchers grows with the
// number of zones, not of servers.
var originLimits = distribution.Limits{Commits: 8192, Bytes: 16 << 20, Watchers: 256, Snapshots: 4}

const (
	leadershipPollMS = 200.0 // interval at which leadership is checked
	refusalRetryMS   = 200.0 // retry delay sent by a replica that is not the leader and by a relay without configuration
)

// Origin serves relays at a store replica while that replica is the leader.
type Origin struct {
	store  StoreReplica
	steady *clock.Clock
	log    zerolog.Logger
	server *configwatch.Server
	// OnCommit is called for each commit that this replica has applied, before it is published; may be nil.
	OnCommit func(records.Commit)
}

// NewOrigin returns an Origin for a store replica; Run must be called for it to serve.
func NewOrigin(storeReplica StoreReplica, steady *clock.Clock, log zerolog.Logger, injectedBug string) *Origin {
	o := &Origin{store: storeReplica, steady: steady, log: log}
	o.server = configwatch.NewServer(configwatch.ServerOptions{Limits: originLimits, Source: o, CheckWatch: o.checkWatch, Steady: steady, Log: log, Seed: 1, InjectedBug: injectedBug})
	return o
}

// checkWatch refuses watchers that are not relays, and all relays while this replica is not the leader.
func (o *Origin) checkWatch(w configwatch.Watch) *configwatch.Refusal {
	if !w.IsRelay {
		return &configwatch.Refusal{RetryMS: 10 * refusalRetryMS, Reason: "copies of the store serve relays alone"}
	}
	if _, isLeader := o.store.Leadership(); isLeader {
		return nil
	}
	r := &configwatch.Refusal{RetryMS: refusalRetryMS, Reason: "this copy does not lead"}
	if leader := o.store.Leader(); leader != "" {
		r.AlternateAddresses = []string{leader}
	}
	return r
}

// Table returns a copy of the committed records and their revision.
func (o *Origin) Table() (t *records.Table, revision uint64) {
	o.store.View(func(st *state.State, _ uint64) { t, revision = st.Records.Table().Clone(), st.Records.Revision() })
	return t, revision
}

// Serve serves the connection of one relay until it ends.
func (o *Origin) Serve(conn net.Conn) { o.server.Serve(conn) }

// Metrics returns the metrics of the origin's server.
func (o *Origin) Metrics() configwatch.Metrics { return o.server.Metrics() }

// Status returns the progress of each region.
func (o *Origin) Status() distribution.Status { return o.server.Status() }

// Report aggregates the reports of the relays.
func (o *Origin) Report() distribution.Report { return o.server.Report() }

// Run publishes commits until the context ends.
func (o *Origin) Run(ctx context.Context) {
	wasLeader := false
	for ctx.Err() == nil {
		changed := o.store.Changed()
		o.publish()
		_, isLeader := o.store.Leadership()
		if wasLeader && !isLeader {
			o.server.DisconnectAll() // so that relays connect to the new leader
		}
		wasLeader = isLeader
		due := make(chan struct{})
		t := o.steady.After(leadershipPollMS, func() { close(due) })
		select {
		case <-changed:
		case <-due:
		case <-ctx.Done():
		}
		t.Stop()
	}
}

// publish publishes the commits since the last call.
func (o *Origin) publish() {
	var commits []records.Commit
	var resetTo *distribution.Position
	o.store.View(func(st *state.State, _ uint64) {
		position := o.server.Position()
		newCommits, err := st.Records.CommitsSince(position.Revision)
		if err == nil && (len(newCommits) > 0 && newCommits[0].Before != position.Digest || len(newCommits) == 0 && st.Records.Digest() != position.Digest) {
			err = records.ErrCompacted // the records already published were never committed
		}
		if err != nil { // the replica installed a snapshot
			newCommits, _ = st.Records.CommitsSince(st.Records.OldestRevision())
			resetTo = &distribution.Position{Revision: st.Records.Revision(), Digest: st.Records.Digest()}
			if len(newCommits) > 0 {
				resetTo = &distribution.Position{Revision: st.Records.OldestRevision(), Digest: newCommits[0].Before}
			}
		}
		commits = slices.Clone(newCommits)
	})
	if resetTo != nil {
		o.server.Reset(*resetTo)
	}
	for _, c := range commits {
		if o.OnCommit != nil {
			o.OnCommit(c)
		}
		if err := o.server.Publish(c); err != nil {
			o.log.Error().Err(err).Msg("failed to publish commit to watchers")
			return
		}
	}
}
