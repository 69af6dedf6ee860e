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

// Handler serves one request from its arrival to the end of its attempt.
type Handler struct {
	core     *Core
	id       policy.ID
	req      *Request
	box      *mailbox.Box[any] // actions of the module, notices of the runner, replies of downstream calls
	reply    func(Outcome)
	class    policy.Class // set with known and due by the goroutine of Core.Run when the request arrives there
	known    bool         // the settings have this class
	due      float64      // when the answer is due, in Unix milliseconds
	answered bool
	owed     bool // it counts among the requests without an answer
	counted  bool // it was accepted, and counts as active until it ends
	ended    atomic.Bool
	begun    bool // a Start action was received; used by the goroutine of Core.Run alone
	goneOnce sync.Once
}

type (
	callerGone struct{}
	dismissed  struct{} // the caller is gone, and the module never started the request
	spurned    struct{} // the request must fail unless it has started
	full       struct{} // the module started a keyed request that has no entry in the key table
	shared     struct { // a result of the same read, or of another attempt of a keyed request
		ok     bool
		result []byte
	}
	returned struct { // a downstream call has ended
		nth     int
		outcome policy.Outcome
		took    float64
		body    []byte
	}
)

// CallerGone reports that the caller no longer waits for the request.
func (l *Handler) CallerGone() {
	l.goneOnce.Do(func() {
		l.end()
		l.box.Put(callerGone{})
	})
}

// FailUnlessStarted fails the request unless it has started. It is for requests of a connection that has sent one that the executor
// does not know.
func (l *Handler) FailUnlessStarted() { l.box.Put(spurned{}) }

// end removes the request from the active ones, once it is answered or its caller is gone.
func (l *Handler) end() {
	if l.counted && !l.ended.Swap(true) {
		l.core.counts.active.Add(-1)
	}
}

// answer sends the final answer; any later one is dropped.
func (l *Handler) answer(o Outcome) {
	if !l.answered {
		l.answered = true
		l.core.counts.answered(l.req.Class, o.Verdict) // before the answer, so that a caller that has it finds it counted
		l.end()
		l.reply(o)
		l.settle()
	}
}

// settle removes the request from those without an answer.
func (l *Handler) settle() {
	l.end()
	if l.owed {
		l.owed = false
		l.core.owed.Add(-1)
	}
}

// fail sends a failure at once, even while the attempt still runs.
func (l *Handler) fail() {
	c := l.core
	if c.clock.Now() >= l.due-c.tick {
		l.answer(Outcome{Verdict: Overdue})
		return
	}
	l.answer(Outcome{Verdict: Failed})
}

// serve handles one request from its arrival to the end of its attempt. It sends events to the module with Core.tell and
// receives the module's actions through the mailbox.
func (l *Handler) serve() {
	c := l.core
	defer c.leave(l)
	gone := false
	c.tell(l, policy.Arrived{ID: l.id})

	// Queued: until the module starts the request, shares a result with it or refuses it.
	var run *Attempt
	var begun float64
	for run == nil {
		switch m := l.box.Next().(type) {
		case policy.Refuse:
			l.answer(Outcome{Verdict: Refused, RetryAfterMS: clock.Millis(m.Pause), NoRetry: m.NoRetry, UnknownClass: !l.known})
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
			// A retry of the request would not be recognized as such and would run again, so the request is refused.
			c.log.Warn().Str("id", l.req.ID).Str("class", l.req.Class).
				Msg("keyed request not run: the key table is full, or another process may run keyed requests")
			l.answer(Outcome{Verdict: Refused, RetryAfterMS: ledgerPause})
			c.tell(l, policy.Finished{ID: l.id, Outcome: policy.Moot})
			return
		case policy.Start:
			if gone { // the module started the request before it received CallerGone; nothing ran
				c.tell(l, policy.Finished{ID: l.id, Outcome: policy.Moot})
				return
			}
			if ok, err := c.begin(l.req, l.class); !ok {
				// An effect that could not be recorded may be retried on another server; one that was started before
				// may not.
				if err != nil {
					l.answer(Outcome{Verdict: Refused, RetryAfterMS: ledgerPause})
				} else {
					l.answer(Outcome{Verdict: Failed})
				}
				c.tell(l, policy.Finished{ID: l.id, Outcome: policy.Moot})
				return
			}
			run = &Attempt{Request: l.req, Due: l.due, CallsSkippable: l.class.SkipWorth > 0, Notify: func(n Notice) { l.box.Put(n) }}
			begun = c.clock.Now() // read before the start, so that no result looks newer than it is
			c.counts.tries.Add(1)
			c.runner.Start(run)
		}
	}

	// Running: until the runner reports the end of the attempt, even if the request was answered or its caller is gone
	// before. The module receives that end, but such a request makes no further downstream calls.
	var at Notice // the call that the attempt waits at
	calls := 0
	giveUp := func() {}
	defer func() { giveUp() }()
	for {
		switch m := l.box.Next().(type) {
		case Notice:
			if m.ReplyLost {
				l.fail() // the attempt goes on, or stays at its call without a caller
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
			m.Made = min(c.clock.Now(), begun+m.TookMS) // a late notice must not make the result look newer
			c.finish(l, m)
			// Answered after the end is sent: a retry that the caller sends at once must not find this attempt
			// running, and fail because of it.
			switch {
			case m.Outcome == policy.OK:
			case m.UnknownRequest:
				l.answer(Outcome{Verdict: Failed, UnknownRequest: true})
			case !gone:
				l.fail()
			}
			return
		case policy.CallOut:
			giveUp() // a second call of one request cancels the first
			if l.answered || gone {
				continue // the module receives the end of the attempt
			}
			calls++
			giveUp = l.call(calls, m, at.Body)
		case returned:
			if m.nth != calls || l.answered || gone {
				pool.Put(m.body)
				continue
			}
			if m.outcome == policy.OK {
				c.runner.Return(run, at.Number, m.body)
			}
			pool.Put(m.body)
			c.tell(l, policy.CallReturned{ID: l.id, Outcome: m.outcome, Took: clock.Duration(m.took)})
		case policy.SkipCall:
			c.runner.Skip(run, at.Number)
		case policy.Fail, policy.Refuse:
			l.fail() // not a refusal, since the request has started
			giveUp()
			c.runner.Abandon(run)
		case callerGone:
			gone = true
			giveUp()
			c.tell(l, policy.CallerGone{ID: l.id})
			c.runner.Abandon(run)
		}
	}
}

// call makes one downstream call and returns a function that cancels it.
func (l *Handler) call(nth int, order policy.CallOut, body []byte) func() {
	c := l.core
	limit := clock.Millis(order.MaxWait)
	if limit <= 0 {
		limit = clock.Millis(l.class.Deadline)
	}
	ctx, cancel := context.WithCancel(context.Background())
	body = pool.Copy(body) // the handler may go on to its next call while this one is being cancelled
	begun := c.clock.Now()
	go func() {
		defer cancel()
		outcome, reply := c.below.Call(ctx, l.req.ID, limit, body)
		pool.Put(body)
		l.box.Put(returned{nth: nth, outcome: outcome, took: c.clock.Now() - begun, body: reply})
	}()
	return cancel
}
