// Package duties carries duties out: it runs a duty's work while this process holds it, and puts into force what the
// holders elsewhere decide for this process. What is decided, and when an act may be done, is in duty, allot, settle and
// publish.
package duties

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

// Names of the duties that have work of their own. Any other that is on the list is held and counts marks.
const (
	Allotter  = "allotter"
	Publisher = "publisher"
	Settler   = "settler"
)

// Work is what a duty does once every span while it is held. An act needs the grant that it is given.
type Work struct {
	IntervalMS float64 // ms of the steady clock
	New        func() func(ctx context.Context, under duty.Ref) error
}

// Runner runs the work of the duties that this process holds.
type Runner struct {
	Steady     *clock.Clock
	Log        zerolog.Logger
	Trace      *trace.Log
	WorkByDuty map[string]Work

	// ApplyShare puts a share into force, what a process may use alone included, and calls used once no more is used.
	ApplyShare func(amount int64, used func())
	// CheckVersion tells whether a published version can be taken; Take puts it into force, whole.
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

type workLoop struct {
	ref      duty.Ref
	cancel   context.CancelFunc // ends acts under way
	stopping chan struct{}      // begins no more
	stopOnce *sync.Once
}

// Start runs the client, whose options must have On as their On.
func (k *Runner) Start(ctx context.Context, processID string, c *session.Client) {
	k.ctx, k.processID, k.client, k.workLoops = ctx, processID, c, map[string]workLoop{}
	go c.Run(ctx)
}

// HandleEvent takes the client's events, one at a time.
func (k *Runner) HandleEvent(e any) {
	presence := duty.PresenceName(k.processID)
	switch e := e.(type) {
	case duty.LeaseGained:
		k.Trace.Add(trace.Event{What: trace.Gained, Duty: e.Name, Epoch: e.Epoch}, e.Until)
		if e.Name == presence {
			k.Log.Info().Uint64("epoch", e.Epoch).Msg("present")
			return
		}
		k.Log.Info().Str("duty", e.Name).Uint64("epoch", e.Epoch).Msg("gained")
		k.startWork(e.Ref)
	case duty.LeaseRenewed:
		k.Trace.Add(trace.Event{What: trace.Held, Duty: e.Name, Epoch: e.Epoch}, e.Until)
		if e.Late {
			k.Log.Warn().Str("duty", e.Name).Uint64("epoch", e.Epoch).Msg("renewed late")
		}
		if e.Name == presence {
			k.traceShare(e.Until)
		}
	case duty.YieldRequested:
		k.Log.Info().Str("duty", e.Name).Uint64("epoch", e.Epoch).Str("cause", e.Cause).Msg("handing on")
		if l, ok := k.workLoops[e.Name]; ok && l.ref == e.Ref {
			l.stopOnce.Do(func() { close(l.stopping) }) // its end calls Quiet
		} else {
			k.client.Quiesced(e.Ref)
		}
	case duty.LeaseEnded:
		k.Trace.Add(trace.Event{What: trace.Ended, Duty: e.Name, Epoch: e.Epoch, Cause: e.Cause}, 0)
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
		k.Log.Error().Uint64("index", e.LogIndex).Uint64("seen", e.SeenIndex).Msg("a copy knows less than was told before; it is not believed")
	case session.ShareChanged:
		if k.ApplyShare == nil {
			k.client.AcknowledgeShare(e.Version)
			return
		}
		k.ApplyShare(e.Amount, func() {
			if _, until, here := k.client.Presence(); here {
				k.Trace.Add(trace.Event{What: trace.Share, Amount: e.Amount}, until)
			}
			k.client.AcknowledgeShare(e.Version)
		})
	case session.VersionPublished, session.SessionEstablished:
		go k.applyLatestVersion() // after a cut too: a word may not have been heard
	}
}

// traceShare writes down that the share goes on with the presence.
func (k *Runner) traceShare(until float64) {
	if k.Trace != nil {
		k.Trace.Add(trace.Event{What: trace.Share, Amount: k.client.Share()}, until)
	}
}

// startWork runs a duty's work until it ends.
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
			// Asked before each: this process may have stood still, or have been cut off.
			if current, active := k.client.ActiveGrant(ref.Name); !active || current != ref {
				return
			}
			err := run(ctx, ref)
			switch {
			case errors.Is(err, session.ErrStaleEpoch):
				k.Log.Warn().Str("duty", ref.Name).Uint64("epoch", ref.Epoch).Err(err).Msg("fenced")
			case err != nil && ctx.Err() == nil:
				k.Log.Warn().Str("duty", ref.Name).Err(err).Msg("duty's work failed")
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

// Act does something under a duty and writes down what came of it.
func (k *Runner) Act(ctx context.Context, grant duty.Ref, commands ...state.Command) (state.Result, error) {
	event := trace.Event{Duty: grant.Name, Epoch: grant.Epoch, What: trace.Act, Began: machineNow(k.Trace)}
	event.Text = commands[0].Op
	sent := event
	sent.What = trace.Sent // before it goes: this process may be killed with the answer on its way
	k.Trace.Add(sent, 0)
	r, err := k.client.DoFenced(ctx, grant, commands...)
	event.N = r.Value
	switch {
	case errors.Is(err, session.ErrStaleEpoch):
		event.What = trace.Refused
	case errors.Is(err, session.ErrNotExecuted):
		return r, err
	case err != nil && r.Error == "":
		event.What = trace.Unknown
	case err != nil:
		return r, err // refused for what it is
	}
	k.Trace.Add(event, 0)
	return r, err
}

func machineNow(t *trace.Log) float64 {
	if t == nil {
		return 0
	}
	return machineClock.Now()
}

var machineClock = clock.Monotonic()

// applyLatestVersion looks at the latest version, takes it whole or turns it down, and says which.
func (k *Runner) applyLatestVersion() {
	k.applyMu.Lock()
	defer k.applyMu.Unlock()
	v, err := k.client.LatestVersion(k.ctx)
	if err != nil || k.CheckVersion == nil {
		return // the next version, or session, brings another look
	}
	before := k.versions
	ack, isNew := k.versions.Offer(v, k.CheckVersion)
	if !isNew {
		return
	}
	if ack.Reason == "" {
		k.Log.Info().Uint64("version", ack.No).Msg("version taken")
		k.ApplyVersion(v)
		k.versionInForce.Store(ack.No)
	} else {
		k.Log.Error().Uint64("version", ack.No).Str("reason", ack.Reason).Uint64("in_force", k.versions.InForce).Msg("version turned down")
	}
	k.Trace.Add(trace.Event{What: trace.Took, N: ack.No, Cause: ack.Reason}, 0)
	if _, err := k.client.Do(k.ctx, state.Command{Op: state.OpAcknowledgeVersion, Process: k.processID, Acknowledgement: &ack}); err != nil {
		k.Log.Warn().Err(err).Msg("word on a version not confirmed")
		k.versions.LastChecked = before.LastChecked // it is looked at again, and the word said again
	}
}

// VersionInForce is the number of the version in force; 0: none.
func (k *Runner) VersionInForce() uint64 { return k.versionInForce.Load() }
