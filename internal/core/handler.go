package core

import (
	"context"
	"sync"
	"sync/atomic"

	"puffinsaddle/internal/clock"
	"puffinsaddle/internal/mailbox"
	"puffinsaddle/internal/pool"
	"puffinsaddle/policy"
)

// Handler carries one request from its reading to its end.
type Handler struct {
	core     *Core
	id       policy.ID
	req      *Request
	box      *mailbox.Box[any] // orders of the module, notices of the runner, replies from below
	reply    func(Outcome)
	class    policy.Class // the owner fills it in when the module hears of the request, and due with it
	known    bool         // it is a class of the settings
	due      float64      // when the answer is due
	answered bool
	owed     bool // it waits for its answer
	counted  bool // it was taken, and so is active until it ends
	ended    atomic.Bool
	begun    bool // the owner's: a Start was ordered
	goneOnce sync.Once
}

type (
	callerGone struct{}
	dismissed  struct{} // the module closed the books on a request that it never started
	spurned    struct{} // it is not to be begun
	full       struct{} // it was to start, and its tries can't be tied
	shared     struct { // a result of the same read, or of another try
		ok     bool
		result []byte
	}
	returned struct { // a call came back
		nth     int
		outcome policy.Outcome
		took    float64
		body    []byte
	}
)

// Gone tells that nobody waits for the request any more.
func (l *Handler) Gone() {
	l.goneOnce.Do(func() {
		l.end()
		l.box.Put(callerGone{})
	})
}

// Spurn fails a request that was not begun: those that came with it are nobody's. One that runs goes on.
func (l *Handler) Spurn() { l.box.Put(spurned{}) }

// end takes the request out of the active ones: it has its answer, or nobody waits for one.
func (l *Handler) end() {
	if l.counted && !l.ended.Swap(true) {
		l.core.counts.active.Add(-1)
	}
}

// answer gives the one final answer; what comes after it is dropped.
func (l *Handler) answer(o Outcome) {
	if !l.answered {
		l.answered = true
		l.core.counts.answered(l.req.Class, o.Verdict) // before the answer, which its caller may count at once
		l.end()
		l.reply(o)
		l.settle()
	}
}

// settle takes the request out of those that wait for an answer.
func (l *Handler) settle() {
	l.end()
	if l.owed {
		l.owed = false
		l.core.owed.Add(-1)
	}
}

// fail answers at once, whatever still runs.
func (l *Handler) fail() {
	c := l.core
	if c.clock.Now() >= l.due-c.tick {
		l.answer(Outcome{Verdict: Overdue})
		return
	}
	l.answer(Outcome{Verdict: Failed})
}

// serve handles one request, from its reading to the end of its run. Each l.core.tell tells the
// module what happened; what the module chooses comes back through the mailbox.
func (l *Handler) serve() {
	c := l.core
	defer c.leave(l)
	gone := false
	c.tell(l, policy.Arrived{ID: l.id})

	// Held: until the module starts it, shares a result with it or turns it away.
	var run *Attempt
	var begun float64
	for run == nil {
		switch m := l.box.Next().(type) {
		case policy.Refuse:
			l.answer(Outcome{Verdict: Refused, After: clock.Millis(m.RetryAfter), Last: m.NoRetry, Unknown: !l.known})
			return
		case policy.Fail:
			l.fail()
			return
		case shared:
			outcome := policy.Failed
			if m.ok {
				outcome = policy.OK
				l.answer(Outcome{Verdict: Served, Result: m.result})
			} else {
				l.fail()
			}
			c.tell(l, policy.Finished{ID: l.id, Outcome: outcome})
			return
		case spurned:
			l.answer(Outcome{Verdict: Failed})
			l.box.Put(callerGone{})
		case callerGone:
			gone = true
			c.tell(l, policy.CallerGone{ID: l.id})
		case dismissed:
			return
		case full:
			// A further try would not be known for one, and run again. Safety before service.
			c.log.Warn().Str("id", l.req.ID).Str("class", l.req.Class).Msg("its tries can't be tied (no room, or a process beside this one), so not run")
			l.answer(Outcome{Verdict: Refused, After: ledgerPause})
			c.tell(l, policy.Finished{ID: l.id, Outcome: policy.NotRun})
			return
		case policy.Start:
			if gone { // the module had not heard it yet; nothing was begun
				c.tell(l, policy.Finished{ID: l.id, Outcome: policy.NotRun})
				return
			}
			if ok, err := c.begin(l.req, l.class); !ok {
				// Not begun here now: an effect whose record can't be kept may be tried elsewhere, one
				// that was begun before may not.
				if err != nil {
					l.answer(Outcome{Verdict: Refused, After: ledgerPause})
				} else {
					l.answer(Outcome{Verdict: Failed})
				}
				c.tell(l, policy.Finished{ID: l.id, Outcome: policy.NotRun})
				return
			}
			run = &Attempt{Request: l.req, Due: l.due, Skippable: l.class.SkipWorth > 0, Notify: func(n Notice) { l.box.Put(n) }}
			begun = c.clock.Now() // before the start, so that no result looks fresher than it is
			c.counts.tries.Add(1)
			c.runner.Start(run)
		}
	}

	// Running: until the runner tells its end. A request that was answered or left goes on to that end, and
	// the module hears it, but makes no more calls.
	var at Notice // the call that the run stands at
	calls := 0
	giveUp := func() {}
	defer func() { giveUp() }()
	for {
		switch m := l.box.Next().(type) {
		case Notice:
			if m.Lost {
				l.fail() // the run goes on, or ends at its call now that nobody waits for it
				continue
			}
			if !m.Ended {
				pool.Put(at.Body)
				at = m
				c.tell(l, policy.CallNeeded{ID: l.id})
				continue
			}
			if m.Outcome == policy.OK {
				l.answer(Outcome{Verdict: Served, Result: m.Body})
			}
			pool.Put(at.Body)
			if at, ok := c.ledger.(Settled); ok && l.class.Safety != policy.Safe {
				at.Ended(l.req.ID, m.Outcome == policy.OK)
			}
			m.Made = min(c.clock.Now(), begun+m.Took) // a late notice must not make the result look fresher
			c.finish(l, m)
			// Behind the end: another try that its caller sends at once must not find this one running, and fail for it.
			switch {
			case m.Outcome == policy.OK:
			case m.Forged:
				l.answer(Outcome{Verdict: Failed, Forged: true})
			case !gone:
				l.fail()
			}
			return
		case policy.MakeCall:
			giveUp() // a second call for one request gives up the first
			if l.answered || gone {
				continue // the module hears of the run's end
			}
			calls++
			giveUp = l.call(calls, m, at.Body)
		case returned:
			if m.nth != calls || l.answered || gone {
				pool.Put(m.body)
				continue
			}
			if m.outcome == policy.OK {
				c.runner.Return(run, at.N, m.body)
			}
			pool.Put(m.body)
			c.tell(l, policy.CallReturned{ID: l.id, Outcome: m.outcome, Duration: clock.Duration(m.took)})
		case policy.SkipCall:
			c.runner.Skip(run, at.N)
		case policy.Fail, policy.Refuse:
			l.fail() // never as a refusal: it was begun
			giveUp()
			c.runner.Drop(run)
		case callerGone:
			gone = true
			giveUp()
			c.tell(l, policy.CallerGone{ID: l.id})
			c.runner.Drop(run)
		}
	}
}

// call makes one call below; the function it returns gives the call up.
func (l *Handler) call(nth int, order policy.MakeCall, body []byte) func() {
	c := l.core
	limit := clock.Millis(order.MaxWait)
	if limit <= 0 {
		limit = clock.Millis(l.class.Deadline)
	}
	ctx, cancel := context.WithCancel(context.Background())
	body = pool.Copy(body) // the handler may move on to its next call while this one is being given up
	begun := c.clock.Now()
	go func() {
		defer cancel()
		outcome, reply := c.below.Call(ctx, l.req.ID, limit, body)
		pool.Put(body)
		l.box.Put(returned{nth: nth, outcome: outcome, took: c.clock.Now() - begun, body: reply})
	}()
	return cancel
}
