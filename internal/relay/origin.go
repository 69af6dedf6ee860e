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

// StoreReplica is the copy of the store at which an Origin stands.
type StoreReplica interface {
	Leadership() (term uint64, leads bool)
	Leader() string
	Changed() <-chan struct{}
	View(look func(st *state.State, index uint64))
}

// originLimits are those of the copy that leads: it serves relays alone, so its watchers grow with zones, not with servers.
var originLimits = distribution.Limits{Commits: 8192, Bytes: 16 << 20, Watchers: 256, Snapshots: 4}

const (
	leadershipPollMS = 200.0 // between two looks at whether the copy leads
	notLeaderRetryMS = 200.0 // a relay that came to another copy comes back then, if it finds none
)

// Origin serves relays at a copy of the store.
type Origin struct {
	store  StoreReplica
	steady *clock.Clock
	log    zerolog.Logger
	server *configwatch.Server
	// OnCommit is called for each commit that reached this copy; nil: nobody asks.
	OnCommit func(records.Commit)
}

// NewOrigin makes one; Run has to be called for it to serve.
func NewOrigin(c StoreReplica, steady *clock.Clock, log zerolog.Logger, injectedBug string) *Origin {
	o := &Origin{store: c, steady: steady, log: log}
	o.server = configwatch.NewServer(configwatch.ServerOptions{Limits: originLimits, Source: o, CheckWatch: o.checkWatch, Steady: steady, Log: log, Seed: 1, InjectedBug: injectedBug})
	return o
}

// checkWatch sends away who is no relay, and relays that came to a copy that does not lead.
func (o *Origin) checkWatch(w configwatch.Watch) *configwatch.Refusal {
	if !w.IsRelay {
		return &configwatch.Refusal{RetryMS: 10 * notLeaderRetryMS, Reason: "copies of the store serve relays alone"}
	}
	if _, leads := o.store.Leadership(); leads {
		return nil
	}
	r := &configwatch.Refusal{RetryMS: notLeaderRetryMS, Reason: "this copy does not lead"}
	if leader := o.store.Leader(); leader != "" {
		r.AlternateAddresses = []string{leader}
	}
	return r
}

// Table is a copy of the agreed records.
func (o *Origin) Table() (t *records.Table, revision uint64) {
	o.store.View(func(st *state.State, _ uint64) { t, revision = st.Records.Table().Clone(), st.Records.Revision() })
	return t, revision
}

// Serve serves one relay to its end.
func (o *Origin) Serve(conn net.Conn) { o.server.Serve(conn) }

// Metrics reads the counts.
func (o *Origin) Metrics() configwatch.Metrics { return o.server.Metrics() }

// Status tells how far each region is.
func (o *Origin) Status() distribution.Status { return o.server.Status() }

// Report sums what the relays reported.
func (o *Origin) Report() distribution.Report { return o.server.Report() }

// Run publishes what is agreed on until the context ends.
func (o *Origin) Run(ctx context.Context) {
	wasLeader := false
	for ctx.Err() == nil {
		changed := o.store.Changed()
		o.publish()
		_, isLeader := o.store.Leadership()
		if wasLeader && !isLeader {
			o.server.DisconnectAll() // relays look for the copy that leads
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

// publish serves the commits that came since the last look.
func (o *Origin) publish() {
	var commits []records.Commit
	var resetTo *distribution.Position
	o.store.View(func(st *state.State, _ uint64) {
		at := o.server.Position()
		since, err := st.Records.CommitsSince(at.Revision)
		if err == nil && (len(since) > 0 && since[0].Before != at.Digest || len(since) == 0 && st.Records.Digest() != at.Digest) {
			err = records.ErrCompacted // the copy took other records than it had, and those were never agreed on
		}
		if err != nil { // this copy took a snapshot
			since, _ = st.Records.CommitsSince(st.Records.OldestRevision())
			resetTo = &distribution.Position{Revision: st.Records.Revision(), Digest: st.Records.Digest()}
			if len(since) > 0 {
				resetTo = &distribution.Position{Revision: st.Records.OldestRevision(), Digest: since[0].Before}
			}
		}
		commits = slices.Clone(since)
	})
	if resetTo != nil {
		o.server.Reset(*resetTo)
	}
	for _, c := range commits {
		if o.OnCommit != nil {
			o.OnCommit(c)
		}
		if err := o.server.Publish(c); err != nil {
			o.log.Error().Err(err).Msg("commit not served")
			return
		}
	}
}
