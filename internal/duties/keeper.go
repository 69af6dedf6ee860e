// Package duties performs duties: it runs the work of a duty while this process holds its lease, and applies the decisions of
// holders in other processes to this one. The decisions themselves, and the rules for when an act is permitted, are in the
// packages duty, allot, settle and publish.
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

// Names of the duties with specific work. The holder of any other duty on the list only increments a counter.
const (
	Allotter  = "allotter"
	Publisher = "publisher"
	Settler   = "settler"
)

// Work is what the holder of a duty does periodically. New returns the function to call, which receives the grant for its acts.
type Work struct {
	Every float64 // ms of the monotonic clock, from the end of one call to the next
	New   func() func(ctx context.Context, under duty.Ref) error
}

// Runner runs the work of the duties that this process holds. Its exported fields are set before Start.
type Runner struct {
	Steady     *clock.Clock
	Log        zerolog.Logger
	Trace      *trace.Log
	WorkByDuty map[string]Work

	// ApplyShare applies a share in addition to the process's reserve, and calls used once no more than that is in use.
	ApplyShare func(amount int64, used func())
	// CheckVersion reports whether a published version can be applied; Take applies it as a unit.
	CheckVersion func([]publish.File) error
	ApplyVersion func(publish.Version)

	client  *session.Client
	me      string
	loops   map[string]loop
	keeper  publish.Keeper
	taking  sync.Mutex
	inForce atomic.Uint64
	ctx     context.Context
}

type loop struct {
	ref  duty.Ref
	stop context.CancelFunc // aborts acts under way
	halt chan struct{}      // closed to begin no more acts
	once *sync.Once
}

// Start runs the client, whose options must have this On as their On.
func (k *Runner) Start(ctx context.Context, me string, c *session.Client) {
	k.ctx, k.me, k.client, k.loops = ctx, me, c, map[string]loop{}
	go c.Run(ctx)
}

// HandleEvent handles the client's events. The client calls it for one event at a time.
func (k *Runner) HandleEvent(e any) {
	presence := duty.PresenceName(k.me)
	switch e := e.(type) {
	case duty.LeaseGained:
		k.Trace.Add(trace.Event{What: trace.Gained, Duty: e.Name, Epoch: e.Epoch}, e.Until)
		if e.Name == presence {
			k.Log.Info().Uint64("epoch", e.Epoch).Msg("present")
			return
		}
		k.Log.Info().Str("duty", e.Name).Uint64("epoch", e.Epoch).Msg("gained")
		k.begin(e.Ref)
	case duty.LeaseRenewed:
		k.Trace.Add(trace.Event{What: trace.Held, Duty: e.Name, Epoch: e.Epoch}, e.Until)
		if e.Late {
			k.Log.Warn().Str("duty", e.Name).Uint64("epoch", e.Epoch).Msg("lease renewed late")
		}
		if e.Name == presence {
			k.shared(e.Until)
		}
	case duty.YieldRequested:
		k.Log.Info().Str("duty", e.Name).Uint64("epoch", e.Epoch).Str("cause", e.Cause).Msg("yielding duty")
		if l, ok := k.loops[e.Name]; ok && l.ref == e.Ref {
			l.once.Do(func() { close(l.halt) }) // when the work has stopped, it calls Quiet
		} else {
			k.client.Quiet(e.Ref)
		}
	case duty.LeaseEnded:
		k.Trace.Add(trace.Event{What: trace.Ended, Duty: e.Name, Epoch: e.Epoch, Cause: e.Cause}, 0)
		say := "given up"
		if e.Cause == duty.CauseYield || e.Cause == duty.CauseDrain {
			say = "handed on"
		}
		k.Log.Info().Str("duty", e.Name).Uint64("epoch", e.Epoch).Str("cause", e.Cause).Msg(say)
		if l, ok := k.loops[e.Name]; ok && l.ref == e.Ref {
			l.once.Do(func() { close(l.halt) })
			l.stop()
			delete(k.loops, e.Name)
		}
		if e.Name == presence && k.ApplyShare != nil {
			k.ApplyShare(0, func() {})
		}
	case duty.Behind:
		k.Log.Error().Uint64("index", e.Index).Uint64("seen", e.Seen).Msg("reply ignored: its log index is lower than one seen before")
	case session.Allotted:
		if k.ApplyShare == nil {
			k.client.Used(e.Version)
			return
		}
		k.ApplyShare(e.Amount, func() {
			if _, until, here := k.client.Presence(); here {
				k.Trace.Add(trace.Event{What: trace.Share, Amount: e.Amount}, until)
			}
			k.client.Used(e.Version)
		})
	case session.Published, session.Linked:
		go k.take() // on a new session too: a notification may have been lost
	}
}

// shared traces that the share stays in force until the renewed presence lease ends.
func (k *Runner) shared(until float64) {
	if k.Trace != nil {
		k.Trace.Add(trace.Event{What: trace.Share, Amount: k.client.Share()}, until)
	}
}

// begin runs the work of a duty in a goroutine until its lease ends.
func (k *Runner) begin(ref duty.Ref) {
	w, ok := k.WorkByDuty[ref.Name]
	if !ok {
		return
	}
	ctx, stop := context.WithCancel(k.ctx)
	l := loop{ref, stop, make(chan struct{}), &sync.Once{}}
	k.loops[ref.Name] = l
	go func() {
		defer k.client.Quiet(ref)
		defer stop()
		do := w.New()
		for {
			// Checked before each call: the lease may have ended while this process was stalled or disconnected.
			if now, may := k.client.May(ref.Name); !may || now != ref {
				return
			}
			err := do(ctx, ref)
			switch {
			case errors.Is(err, session.ErrStale):
				k.Log.Warn().Str("duty", ref.Name).Uint64("epoch", ref.Epoch).Err(err).Msg("fenced")
			case err != nil && ctx.Err() == nil:
				k.Log.Warn().Str("duty", ref.Name).Err(err).Msg("duty work failed")
			}
			next := make(chan struct{})
			t := k.Steady.After(w.Every, func() { close(next) })
			select {
			case <-next:
			case <-l.halt:
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
func (k *Runner) Act(ctx context.Context, under duty.Ref, do ...state.Command) (state.Result, error) {
	began := trace.Event{Duty: under.Name, Epoch: under.Epoch, What: trace.Act, Began: machineNow(k.Trace)}
	began.Text = do[0].Op
	sent := began
	sent.What = trace.Sent // traced before it is sent, since this process may be killed before the reply arrives
	k.Trace.Add(sent, 0)
	r, err := k.client.Act(ctx, under, do...)
	began.N = r.N
	switch {
	case errors.Is(err, session.ErrStale):
		began.What = trace.Refused
	case errors.Is(err, session.ErrNotSent):
		return r, err
	case err != nil && r.Error == "":
		began.What = trace.Unknown
	case err != nil:
		return r, err // refused for its content, not for its epoch
	}
	k.Trace.Add(began, 0)
	return r, err
}

func machineNow(t *trace.Log) float64 {
	if t == nil {
		return 0
	}
	return steady.Now()
}

var steady = clock.Steady()

// take fetches the latest published version, applies or rejects it as a unit, and acknowledges it with the outcome.
func (k *Runner) take() {
	k.taking.Lock()
	defer k.taking.Unlock()
	v, err := k.client.Version(k.ctx)
	if err != nil || k.CheckVersion == nil {
		return // retried with the next version or session
	}
	before := k.keeper
	w, fresh := k.keeper.Offer(v, k.CheckVersion)
	if !fresh {
		return
	}
	if w.Reason == "" {
		k.Log.Info().Uint64("version", w.No).Msg("configuration version applied")
		k.ApplyVersion(v)
		k.inForce.Store(w.No)
	} else {
		k.Log.Error().Uint64("version", w.No).Str("reason", w.Reason).Uint64("in_force", k.keeper.InForce).Msg("configuration version rejected")
	}
	k.Trace.Add(trace.Event{What: trace.Took, N: w.No, Cause: w.Reason}, 0)
	if _, err := k.client.Do(k.ctx, state.Command{Op: state.AcknowledgeVersion, Who: k.me, Said: &w}); err != nil {
		k.Log.Warn().Err(err).Msg("acknowledgement of configuration version not confirmed")
		k.keeper.Looked = before.Looked // the version is checked and acknowledged again
	}
}

// VersionInForce returns the number of the configuration version in force, or 0 if there is none.
func (k *Runner) VersionInForce() uint64 { return k.inForce.Load() }
