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
	Every float64 // ms of the steady clock
	New   func() func(ctx context.Context, under duty.Ref) error
}

// Keeper runs the work of the duties that this process holds.
type Keeper struct {
	Steady *clock.Clock
	Log    zerolog.Logger
	Trace  *trace.Log
	Works  map[string]Work

	// Below puts a share into force, what a process may use alone included, and calls used once no more is used.
	Below func(amount int64, used func())
	// Check tells whether a published version can be taken; Take puts it into force, whole.
	Check func([]publish.File) error
	Take  func(publish.Version)

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
	stop context.CancelFunc // ends acts under way
	halt chan struct{}      // begins no more
	once *sync.Once
}

// Start runs the client, whose options must have On as their On.
func (k *Keeper) Start(ctx context.Context, me string, c *session.Client) {
	k.ctx, k.me, k.client, k.loops = ctx, me, c, map[string]loop{}
	go c.Run(ctx)
}

// On takes the client's events, one at a time.
func (k *Keeper) On(e any) {
	presence := duty.PresenceOf(k.me)
	switch e := e.(type) {
	case duty.Gained:
		k.Trace.Add(trace.Event{What: trace.Gained, Duty: e.Name, Epoch: e.Epoch}, e.Until)
		if e.Name == presence {
			k.Log.Info().Uint64("epoch", e.Epoch).Msg("present")
			return
		}
		k.Log.Info().Str("duty", e.Name).Uint64("epoch", e.Epoch).Msg("gained")
		k.begin(e.Ref)
	case duty.Held:
		k.Trace.Add(trace.Event{What: trace.Held, Duty: e.Name, Epoch: e.Epoch}, e.Until)
		if e.Late {
			k.Log.Warn().Str("duty", e.Name).Uint64("epoch", e.Epoch).Msg("renewed late")
		}
		if e.Name == presence {
			k.shared(e.Until)
		}
	case duty.Yields:
		k.Log.Info().Str("duty", e.Name).Uint64("epoch", e.Epoch).Str("cause", e.Cause).Msg("handing on")
		if l, ok := k.loops[e.Name]; ok && l.ref == e.Ref {
			l.once.Do(func() { close(l.halt) }) // its end calls Quiet
		} else {
			k.client.Quiesced(e.Ref)
		}
	case duty.Ended:
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
		if e.Name == presence && k.Below != nil {
			k.Below(0, func() {})
		}
	case duty.Behind:
		k.Log.Error().Uint64("index", e.Index).Uint64("seen", e.Seen).Msg("a copy knows less than was told before; it is not believed")
	case session.ShareChanged:
		if k.Below == nil {
			k.client.AcknowledgeShare(e.Version)
			return
		}
		k.Below(e.Amount, func() {
			if _, until, here := k.client.Presence(); here {
				k.Trace.Add(trace.Event{What: trace.Share, Amount: e.Amount}, until)
			}
			k.client.AcknowledgeShare(e.Version)
		})
	case session.VersionPublished, session.SessionEstablished:
		go k.take() // after a cut too: a word may not have been heard
	}
}

// shared writes down that the share goes on with the presence.
func (k *Keeper) shared(until float64) {
	if k.Trace != nil {
		k.Trace.Add(trace.Event{What: trace.Share, Amount: k.client.Share()}, until)
	}
}

// begin runs a duty's work until it ends.
func (k *Keeper) begin(ref duty.Ref) {
	w, ok := k.Works[ref.Name]
	if !ok {
		return
	}
	ctx, stop := context.WithCancel(k.ctx)
	l := loop{ref, stop, make(chan struct{}), &sync.Once{}}
	k.loops[ref.Name] = l
	go func() {
		defer k.client.Quiesced(ref)
		defer stop()
		do := w.New()
		for {
			// Asked before each: this process may have stood still, or have been cut off.
			if now, may := k.client.ActiveGrant(ref.Name); !may || now != ref {
				return
			}
			err := do(ctx, ref)
			switch {
			case errors.Is(err, session.ErrStaleEpoch):
				k.Log.Warn().Str("duty", ref.Name).Uint64("epoch", ref.Epoch).Err(err).Msg("fenced")
			case err != nil && ctx.Err() == nil:
				k.Log.Warn().Str("duty", ref.Name).Err(err).Msg("duty's work failed")
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

// Act does something under a duty and writes down what came of it.
func (k *Keeper) Act(ctx context.Context, under duty.Ref, do ...state.Command) (state.Result, error) {
	began := trace.Event{Duty: under.Name, Epoch: under.Epoch, What: trace.Act, Began: machineNow(k.Trace)}
	began.Text = do[0].Op
	sent := began
	sent.What = trace.Sent // before it goes: this process may be killed with the answer on its way
	k.Trace.Add(sent, 0)
	r, err := k.client.DoFenced(ctx, under, do...)
	began.N = r.N
	switch {
	case errors.Is(err, session.ErrStaleEpoch):
		began.What = trace.Refused
	case errors.Is(err, session.ErrNotExecuted):
		return r, err
	case err != nil && r.Error == "":
		began.What = trace.Unknown
	case err != nil:
		return r, err // refused for what it is
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

// take looks at the latest version, takes it whole or turns it down, and says which.
func (k *Keeper) take() {
	k.taking.Lock()
	defer k.taking.Unlock()
	v, err := k.client.LatestVersion(k.ctx)
	if err != nil || k.Check == nil {
		return // the next version, or session, brings another look
	}
	before := k.keeper
	w, fresh := k.keeper.Offer(v, k.Check)
	if !fresh {
		return
	}
	if w.Reason == "" {
		k.Log.Info().Uint64("version", w.No).Msg("version taken")
		k.Take(v)
		k.inForce.Store(w.No)
	} else {
		k.Log.Error().Uint64("version", w.No).Str("reason", w.Reason).Uint64("in_force", k.keeper.InForce).Msg("version turned down")
	}
	k.Trace.Add(trace.Event{What: trace.Took, N: w.No, Cause: w.Reason}, 0)
	if _, err := k.client.Do(k.ctx, state.Command{Op: state.AcknowledgeVersion, Who: k.me, Said: &w}); err != nil {
		k.Log.Warn().Err(err).Msg("word on a version not confirmed")
		k.keeper.Looked = before.Looked // it is looked at again, and the word said again
	}
}

// InForce is the number of the version in force; 0: none.
func (k *Keeper) InForce() uint64 { return k.inForce.Load() }
