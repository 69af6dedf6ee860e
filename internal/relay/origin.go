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

// Copy is the copy of the store at which an Origin stands.
type Copy interface {
	Leadership() (term uint64, leads bool)
	Leader() string
	Changed() <-chan struct{}
	View(look func(st *state.State, index uint64))
}

// originLimits are those of the copy that leads: it serves relays alone, so its watchers grow with zones, not with servers.
var originLimits = distribution.Limits{Commits: 8192, Bytes: 16 << 20, Watchers: 256, Snapshots: 4}

const (
	leadLookMs  = 200.0 // between two looks at whether the copy leads
	leadRetryMs = 200.0 // a relay that came to another copy comes back then, if it finds none
)

// Origin serves relays at a copy of the store.
type Origin struct {
	copy   Copy
	steady *clock.Clock
	log    zerolog.Logger
	server *configwatch.Server
	// Agreed is called for each commit that reached this copy; nil: nobody asks.
	Agreed func(records.Commit)
}

// NewOrigin makes one; Run has to be called for it to serve.
func NewOrigin(c Copy, steady *clock.Clock, log zerolog.Logger, plant string) *Origin {
	o := &Origin{copy: c, steady: steady, log: log}
	o.server = configwatch.NewServer(configwatch.ServerOptions{Limits: originLimits, Source: o, Serves: o.serves, Steady: steady, Log: log, Seed: 1, Plant: plant})
	return o
}

// serves sends away who is no relay, and relays that came to a copy that does not lead.
func (o *Origin) serves(w configwatch.Watch) *configwatch.Refused {
	if !w.Relay {
		return &configwatch.Refused{RetryMs: 10 * leadRetryMs, Reason: "copies of the store serve relays alone"}
	}
	if _, leads := o.copy.Leadership(); leads {
		return nil
	}
	r := &configwatch.Refused{RetryMs: leadRetryMs, Reason: "this copy does not lead"}
	if leader := o.copy.Leader(); leader != "" {
		r.Elsewhere = []string{leader}
	}
	return r
}

// Table is a copy of the agreed records.
func (o *Origin) Table() (t *records.Table, revision uint64) {
	o.copy.View(func(st *state.State, _ uint64) { t, revision = st.Records.Table().Clone(), st.Records.Revision() })
	return t, revision
}

// Serve serves one relay to its end.
func (o *Origin) Serve(conn net.Conn) { o.server.Serve(conn) }

// Figures reads the counts.
func (o *Origin) Figures() configwatch.Figures { return o.server.Figures() }

// Status tells how far each region is.
func (o *Origin) Status() distribution.Status { return o.server.Status() }

// Report sums what the relays reported.
func (o *Origin) Report() distribution.Report { return o.server.Report() }

// Run publishes what is agreed on until the context ends.
func (o *Origin) Run(ctx context.Context) {
	led := false
	for ctx.Err() == nil {
		changed := o.copy.Changed()
		o.publish()
		_, leads := o.copy.Leadership()
		if led && !leads {
			o.server.DropAll() // relays look for the copy that leads
		}
		led = leads
		due := make(chan struct{})
		t := o.steady.After(leadLookMs, func() { close(due) })
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
	var floor *distribution.Position
	o.copy.View(func(st *state.State, _ uint64) {
		at := o.server.At()
		since, err := st.Records.Since(at.Revision)
		if err == nil && (len(since) > 0 && since[0].Before != at.Digest || len(since) == 0 && st.Records.Digest() != at.Digest) {
			err = records.ErrCompacted // the copy took other records than it had, and those were never agreed on
		}
		if err != nil { // this copy took a snapshot
			since, _ = st.Records.Since(st.Records.Floor())
			floor = &distribution.Position{Revision: st.Records.Revision(), Digest: st.Records.Digest()}
			if len(since) > 0 {
				floor = &distribution.Position{Revision: st.Records.Floor(), Digest: since[0].Before}
			}
		}
		commits = slices.Clone(since)
	})
	if floor != nil {
		o.server.Reset(*floor)
	}
	for _, c := range commits {
		if o.Agreed != nil {
			o.Agreed(c)
		}
		if err := o.server.Publish(c); err != nil {
			o.log.Error().Err(err).Msg("commit not served")
			return
		}
	}
}
