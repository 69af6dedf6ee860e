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

// Names of the duties with specific work. The holder of any other duty on the list only increments a counter.
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
func (k *Runner) Start(ctx context.Context, processID string, c *session.Client) {
	k.ctx, k.processID, k.client, k.workLoops = ctx, processID, c, map[string]workLoop{}
	go c.Run(ctx)
}

// HandleEvent handles the client's events. The client calls it for one event at a time.
func (k *Runner) HandleEvent(e any) {
	presence := duty.PresenceName(k.processID)
	switch e := e.(type) {
	case duty.LeaseGained:
		k.Trace.Add(trace.Event{What: trace.LeaseGained, Duty: e.Name, Epoch: e.Epoch}, e.Until)
		if e.Name == presence {
			k.Log.Info().Uint64("epoch", e.Epoch).Msg("present")
			return
		}
		k.Log.Info().Str("duty", e.Name).Uint64("epoch", e.Epoch).Msg("gained")
		k.startWork(e.Ref)
	case duty.LeaseRenewed:
		k.Trace.Add(trace.Event{What: trace.LeaseRenewed, Duty: e.Name, Epoch: e.Epoch}, e.Until)
		if e.Late {
			k.Log.Warn().Str("duty", e.Name).Uint64("epoch", e.Epoch).Msg("lease renewed late")
		}
		if e.Name == presence {
			k.traceShare(e.Until)
		}
	case duty.YieldRequested:
		k.Log.Info().Str("duty", e.Name).Uint64("epoch", e.Epoch).Str("cause", e.Cause).Msg("yielding duty")
		if l, ok := k.workLoops[e.Name]; ok && l.ref == e.Ref {
			l.stopOnce.Do(func() { close(l.stopping) }) // the goroutine of the work calls Quiet when it ends
		} else {
			k.client.Quiesced(e.Ref)
		}
	case duty.LeaseEnded:
		k.Trace.Add(trace.Event{What: trace.LeaseEnded, Duty: e.Name, Epoch: e.Epoch, Cause: e.Cause}, 0)
		outcome := "given up"
		if e.Cause == duty.CauseYield || e.Cause == duty.CauseDrain {
			outcome = "handed on"
		}
		k.Log.Info().Str("duty", e.Name).Uint64("epoch", e.Epoch).Str("cause", e.Cause).Msg(outcome)
		if l, ok := k.workLoops[e.Name]; ok && l.ref == e.Ref {
			l.stopOnce.Do(func() { close(l.stopping) })
			l.cancel()
			delete(k.workLoops, e.Name)
		}
		if e.Name == presence && k.ApplyShare != nil {
			k.ApplyShare(0, func() {})
		}
	case duty.StaleReply:
		k.Log.Error().Uint64("index", e.LogIndex).Uint64("seen", e.SeenIndex).
			Msg("reply ignored: its log index is lower than one seen before")
	case session.ShareChanged:
		if k.ApplyShare == nil {
			k.client.AcknowledgeShare(e.Version)
			return
		}
		k.ApplyShare(e.Amount, func() {
			if _, until, here := k.client.Presence(); here {
				k.Trace.Add(trace.Event{What: trace.ShareInForce, Amount: e.Amount}, until)
			}
			k.client.AcknowledgeShare(e.Version)
		})
	case session.VersionPublished, session.SessionEstablished:
		go k.applyLatestVersion() // on a new session too: a notification may have been lost
	}
}

// traceShare traces that the share stays in force until the renewed presence lease ends.
func (k *Runner) traceShare(until float64) {
	if k.Trace != nil {
		k.Trace.Add(trace.Event{What: trace.ShareInForce, Amount: k.client.Share()}, until)
	}
}

// startWork runs the work of a duty in a goroutine until its lease ends.
func (k *Runner) startWork(ref duty.Ref) {
	w, ok := k.WorkByDuty[ref.Name]
	if !ok {
		return
	}
	ctx, cancel := context.WithCancel(k.ctx)
	l := workLoop{ref, cancel, make(chan struct{}), &sync.Once{}}
	k.workLoops[ref.Name] = l
	go func() {
		defer k.client.Quiesced(ref)
		defer cancel()
		run := w.New()
		for {
			// Checked before each call: the lease may have ended while this process was stalled or disconnected.
			if current, active := k.client.ActiveGrant(ref.Name); !active || current != ref {
				return
			}
			err := run(ctx, ref)
			switch {
			case errors.Is(err, session.ErrStaleEpoch):
				k.Log.Warn().Str("duty", ref.Name).Uint64("epoch", ref.Epoch).Err(err).Msg("fenced")
			case err != nil && ctx.Err() == nil:
				k.Log.Warn().Str("duty", ref.Name).Err(err).Msg("duty work failed")
			}
			next := make(chan struct{})
			t := k.Steady.After(w.IntervalMS, func() { close(next) })
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
func (k *Runner) Act(ctx context.Context, grant duty.Ref, commands ...state.Command) (state.Result, error) {
	event := trace.Event{Duty: grant.Name, Epoch: grant.Epoch, What: trace.CommandExecuted, Began: machineNow(k.Trace)}
	event.Text = commands[0].Op
	sent := event
	sent.What = trace.CommandSent // traced before it is sent, since this process may be killed before the reply arrives
	k.Trace.Add(sent, 0)
	r, err := k.client.DoFenced(ctx, grant, commands...)
	event.N = r.Value
	switch {
	case errors.Is(err, session.ErrStaleEpoch):
		event.What = trace.CommandRefused
	case errors.Is(err, session.ErrNotExecuted):
		return r, err
	case err != nil && r.Error == "":
		event.What = trace.CommandUnconfirmed
	case err != nil:
		return r, err // refused for its content, not for its epoch
	}
	k.Trace.Add(event, 0)
	return r, err
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
func (k *Runner) applyLatestVersion() {
	k.applyMu.Lock()
	defer k.applyMu.Unlock()
	v, err := k.client.LatestVersion(k.ctx)
	if err != nil || k.CheckVersion == nil {
		return // retried with the next version or session
	}
	before := k.versions
	ack, isNew := k.versions.Offer(v, k.CheckVersion)
	if !isNew {
		return
	}
	if ack.Reason == "" {
		k.Log.Info().Uint64("version", ack.No).Msg("configuration version applied")
		k.ApplyVersion(v)
		k.versionInForce.Store(ack.No)
	} else {
		k.Log.Error().Uint64("version", ack.No).Str("reason", ack.Reason).Uint64("in_force", k.versions.InForce).
			Msg("configuration version rejected")
	}
	k.Trace.Add(trace.Event{What: trace.VersionTaken, N: ack.No, Cause: ack.Reason}, 0)
	if _, err := k.client.Do(k.ctx, state.Command{Op: state.OpAcknowledgeVersion, Process: k.processID, Acknowledgement: &ack}); err != nil {
		k.Log.Warn().Err(err).Msg("acknowledgement of configuration version not confirmed")
		k.versions.LastChecked = before.LastChecked // the version is checked and acknowledged again
	}
}

// VersionInForce returns the number of the configuration version in force, or 0 if there is none.
func (k *Runner) VersionInForce() uint64 { return k.versionInForce.Load() }
