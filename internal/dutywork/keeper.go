// Package dutywork performs duties: it runs the work of a duty while this process holds its lease, and applies the decisions of
// holders in other processes to this one. The decisions themselves, and the rules for when an act is permitted, are in the
// packages duty, allocation, effectlog and publish.
package dutywork

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"

	"github.com/rs/zerolog"

	"puffinsaddle/internal/clock"
	"puffinsaddle/internal/duty"
	"puffinsaddle/internal/net/session"
	"puffinsaddle/internal/publish"
	"puffinsaddle/internal/state"
	"puffinsaddle/internal/trace"
)

// Names of the duties with specific work. The holder of any other configured duty only increments a counter.
const (
	Allotter  = "allotter"
	Publisher = "publisher"
	Settler   = "settler"
)

// Work is what the holder of a duty does periodically. New returns the function to call, which receives the grant for its acts.
type Work struct {
	IntervalMS float64 // ms of the monotonic clock, from the end of one call to the next
	New        func() func(ctx context.Context, under duty.Ref) error
}

// Runner runs the work of the duties that this process holds. Its exported fields are set before Start.
type Runner struct {
	Steady     *clock.Clock
	Log        zerolog.Logger
	Trace      *trace.Log
	WorkByDuty map[string]Work

	// ApplyShare applies a share in addition to the process's reserve, and calls used once no more than that is in use.
	ApplyShare func(amount int64, used func())
	// CheckVersion returns an error if a published version cannot be applied; ApplyVersion applies it as a unit.
	CheckVersion func([]publish.File) error
	ApplyVersion func(publish.Version)

	client         *session.Client
	processID      string
	workLoops      map[string]workLoop
	versions       publish.VersionSelector
	applyMu        sync.Mutex
	versionInForce atomic.Uint64
	ctx            context.Context
}

// workLoop is the running work of one held duty.
type workLoop struct {
	ref      duty.Ref
	cancel   context.CancelFunc // aborts acts under way
	stopping chan struct{}      // closed to begin no more acts
	stopOnce *sync.Once
}

// Start runs the client. The option On of the client must be HandleEvent.
func (r *Runner) Start(ctx context.Context, processID string, c *session.Client) {
	r.ctx, r.processID, r.client, r.workLoops = ctx, processID, c, map[string]workLoop{}
	go c.Run(ctx)
}

// HandleEvent handles the client's events. The client calls it for one event at a time.
func (r *Runner) HandleEvent(e any) {
	presence := duty.PresenceName(r.processID)
	switch e := e.(type) {
	case duty.LeaseGained:
		r.Trace.Add(trace.Event{What: trace.LeaseGained, Duty: e.Name, Epoch: e.Epoch}, e.Until)
		if e.Name == presence {
			r.Log.Info().Uint64("epoch", e.Epoch).Msg("present")
			return
		}
		r.Log.Info().Str("duty", e.Name).Uint64("epoch", e.Epoch).Msg("gained")
		r.startWork(e.Ref)
	case duty.LeaseRenewed:
		r.Trace.Add(trace.Event{What: trace.LeaseRenewed, Duty: e.Name, Epoch: e.Epoch}, e.Until)
		if e.Late {
			r.Log.Warn().Str("duty", e.Name).Uint64("epoch", e.Epoch).Msg("lease renewed late")
		}
		if e.Name == presence {
			r.traceShare(e.Until)
		}
	case duty.YieldRequested:
		r.Log.Info().Str("duty", e.Name).Uint64("epoch", e.Epoch).Str("cause", e.Cause).Msg("yielding duty")
		if l, ok := r.workLoops[e.Name]; ok && l.ref == e.Ref {
			l.stopOnce.Do(func() { close(l.stopping) }) // the goroutine of the work calls Quiesced when it ends
		} else {
			r.client.Quiesced(e.Ref)
		}
	case duty.LeaseEnded:
		r.Trace.Add(trace.Event{What: trace.LeaseEnded, Duty: e.Name, Epoch: e.Epoch, Cause: e.Cause}, 0)
		outcome := "given up"
		if e.Cause == duty.CauseYield || e.Cause == duty.CauseDrain {
			outcome = "handed on"
		}
		r.Log.Info().Str("duty", e.Name).Uint64("epoch", e.Epoch).Str("cause", e.Cause).Msg(outcome)
		if l, ok := r.workLoops[e.Name]; ok && l.ref == e.Ref {
			l.stopOnce.Do(func() { close(l.stopping) })
			l.cancel()
			delete(r.workLoops, e.Name)
		}
		if e.Name == presence && r.ApplyShare != nil {
			r.ApplyShare(0, func() {})
		}
	case duty.StaleReply:
		r.Log.Error().Uint64("index", e.LogIndex).Uint64("seen", e.SeenIndex).
			Msg("reply ignored: its log index is lower than one seen before")
	case session.ShareChanged:
		if r.ApplyShare == nil {
			r.client.AcknowledgeShare(e.Version)
			return
		}
		r.ApplyShare(e.Amount, func() {
			if _, until, here := r.client.Presence(); here {
				r.Trace.Add(trace.Event{What: trace.ShareInForce, Amount: e.Amount}, until)
			}
			r.client.AcknowledgeShare(e.Version)
		})
	case session.VersionPublished, session.SessionEstablished:
		go r.applyLatestVersion() // on a new session too: a notification may have been lost
	}
}

// traceShare traces that the share stays in force until the renewed presence lease ends.
func (r *Runner) traceShare(until float64) {
	if r.Trace != nil {
		r.Trace.Add(trace.Event{What: trace.ShareInForce, Amount: r.client.Share()}, until)
	}
}

// startWork runs the work of a duty in a goroutine until its lease ends.
func (r *Runner) startWork(ref duty.Ref) {
	w, ok := r.WorkByDuty[ref.Name]
	if !ok {
		return
	}
	ctx, cancel := context.WithCancel(r.ctx)
	l := workLoop{ref, cancel, make(chan struct{}), &sync.Once{}}
	r.workLoops[ref.Name] = l
	go func() {
		defer r.client.Quiesced(ref)
		defer cancel()
		run := w.New()
		for {
			// Checked before each call: the lease may have ended while this process was stalled or disconnected.
			if current, active := r.client.ActiveGrant(ref.Name); !active || current != ref {
				return
			}
			err := run(ctx, ref)
			switch {
			case errors.Is(err, session.ErrStaleEpoch):
				r.Log.Warn().Str("duty", ref.Name).Uint64("epoch", ref.Epoch).Err(err).Msg("fenced")
			case err != nil && ctx.Err() == nil:
				r.Log.Warn().Str("duty", ref.Name).Err(err).Msg("duty work failed")
			}
			next := make(chan struct{})
			t := r.Steady.After(w.IntervalMS, func() { close(next) })
			select {
			case <-next:
			case <-l.stopping:
				t.Stop()
				return
			case <-ctx.Done():
				t.Stop()
				return
			}
		}
	}()
}

// Act sends a fenced command under a grant and traces the outcome.
func (r *Runner) Act(ctx context.Context, grant duty.Ref, commands ...state.Command) (state.Result, error) {
	event := trace.Event{Duty: grant.Name, Epoch: grant.Epoch, What: trace.CommandExecuted, Began: machineNow(r.Trace)}
	event.Text = commands[0].Op
	sent := event
	sent.What = trace.CommandSent // traced before it is sent, since this process may be killed before the reply arrives
	r.Trace.Add(sent, 0)
	result, err := r.client.DoFenced(ctx, grant, commands...)
	event.N = result.Value
	switch {
	case errors.Is(err, session.ErrStaleEpoch):
		event.What = trace.CommandRefused
	case errors.Is(err, session.ErrNotExecuted):
		return result, err
	case err != nil && result.Error == "":
		event.What = trace.CommandUnconfirmed
	case err != nil:
		return result, err // refused for its content, not for its epoch
	}
	r.Trace.Add(event, 0)
	return result, err
}

// machineNow returns the time of the machine's clock, or 0 if there is no trace.
func machineNow(t *trace.Log) float64 {
	if t == nil {
		return 0
	}
	return machineClock.Now()
}

// machineClock is the monotonic clock of the machine. The process's own clock may run at another rate in the lab.
var machineClock = clock.Monotonic()

// applyLatestVersion fetches the latest published version, applies or rejects it as a unit, and acknowledges it with the outcome.
func (r *Runner) applyLatestVersion() {
	r.applyMu.Lock()
	defer r.applyMu.Unlock()
	v, err := r.client.LatestVersion(r.ctx)
	if err != nil || r.CheckVersion == nil {
		return // retried with the next version or session
	}
	before := r.versions
	ack, isNew := r.versions.Offer(v, r.CheckVersion)
	if !isNew {
		return
	}
	if ack.Reason == "" {
		r.Log.Info().Uint64("version", ack.No).Msg("configuration version applied")
		r.ApplyVersion(v)
		r.versionInForce.Store(ack.No)
	} else {
		r.Log.Error().Uint64("version", ack.No).Str("reason", ack.Reason).Uint64("in_force", r.versions.InForce).
			Msg("configuration version rejected")
	}
	r.Trace.Add(trace.Event{What: trace.VersionTaken, N: ack.No, Cause: ack.Reason}, 0)
	if _, err := r.client.Do(r.ctx, state.Command{Op: state.OpAcknowledgeVersion, Process: r.processID, Acknowledgement: &ack}); err != nil {
		r.Log.Warn().Err(err).Msg("acknowledgement of configuration version not confirmed")
		r.versions.LastChecked = before.LastChecked // the version is checked and acknowledged again
	}
}

// VersionInForce returns the number of the configuration version in force, or 0 if there is none.
func (r *Runner) VersionInForce() uint64 { return r.versionInForce.Load() }
