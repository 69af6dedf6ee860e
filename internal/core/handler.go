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
	core              *Core
	id                policy.ID
	request           *Request
	inbox             *mailbox.Box[any] // orders of the module, notices of the runner, replies from below
	reply             func(Outcome)
	class             policy.Class // the owner fills it in when the module hears of the request, and due with it
	knownClass        bool         // it is a class of the settings
	due               float64      // when the answer is due
	answered          bool
	countedUnanswered bool // it waits for its answer
	countedActive     bool // it was taken, and so is active until it ends
	ended             atomic.Bool
	started           bool // the owner's: a Start was ordered
	goneOnce          sync.Once
}

type (
	callerGone        struct{}
	dismissed         struct{} // the module closed the books on a request that it never started
	failUnlessStarted struct{} // it is not to be begun
	notRemembered     struct{} // it was to start, and its tries can't be tied
	sharedResult      struct { // a result of the same read, or of another try
		ok     bool
		result []byte
	}
	callEnded struct { // a call came back
		number  int
		outcome policy.Outcome
		tookMS  float64
		body    []byte
	}
)

// CallerGone tells that nobody waits for the request any more.
func (l *Handler) CallerGone() {
	l.goneOnce.Do(func() {
		l.markInactive()
		l.inbox.Put(callerGone{})
	})
}

// FailUnlessStarted fails a request that was not begun: those that came with it are nobody's. One that runs goes on.
func (l *Handler) FailUnlessStarted() { l.inbox.Put(failUnlessStarted{}) }

// markInactive takes the request out of the active ones: it has its answer, or nobody waits for one.
func (l *Handler) markInactive() {
	if l.countedActive && !l.ended.Swap(true) {
		l.core.counts.active.Add(-1)
	}
}

// answer gives the one final answer; what comes after it is dropped.
func (l *Handler) answer(o Outcome) {
	if !l.answered {
		l.answered = true
		l.core.counts.countAnswer(l.request.Class, o.Verdict) // before the answer, which its caller may count at once
		l.markInactive()
		l.reply(o)
		l.markAnswered()
	}
}

// markAnswered takes the request out of those that wait for an answer.
func (l *Handler) markAnswered() {
	l.markInactive()
	if l.countedUnanswered {
		l.countedUnanswered = false
		l.core.unanswered.Add(-1)
	}
}

// fail answers at once, whatever still runs.
func (l *Handler) fail() {
	c := l.core
	if c.clock.Now() >= l.due-c.tickMS {
		l.answer(Outcome{Verdict: Overdue})
		return
	}
	l.answer(Outcome{Verdict: Failed})
}

// serve handles one request, from its reading to the end of its run. Each l.core.tell tells the
// module what happened; what the module chooses comes back through the mailbox.
func (l *Handler) serve() {
	c := l.core
	defer c.remove(l)
	gone := false
	c.send(l, policy.Arrived{ID: l.id})

	// Held: until the module starts it, shares a result with it or turns it away.
	var attempt *Attempt
	var startedAt float64
	for attempt == nil {
		switch m := l.inbox.Next().(type) {
		case policy.Refuse:
			l.answer(Outcome{Verdict: Refused, RetryAfterMS: clock.Millis(m.RetryAfter), NoRetry: m.NoRetry, UnknownClass: !l.knownClass})
			return
		case policy.Fail:
			l.fail()
			return
		case sharedResult:
			outcome := policy.Failed
			if m.ok {
				outcome = policy.OK
				l.answer(Outcome{Verdict: Served, Result: m.result})
			} else {
				l.fail()
			}
			c.send(l, policy.Finished{ID: l.id, Outcome: outcome})
			return
		case failUnlessStarted:
			l.answer(Outcome{Verdict: Failed})
			l.inbox.Put(callerGone{})
		case callerGone:
			gone = true
			c.send(l, policy.CallerGone{ID: l.id})
		case dismissed:
			return
		case notRemembered:
			// A further try would not be known for one, and run again. Safety before service.
			c.log.Warn().Str("id", l.request.ID).Str("class", l.request.Class).Msg("its tries can't be tied (no room, or a process beside this one), so not run")
			l.answer(Outcome{Verdict: Refused, RetryAfterMS: refusalRetryAfterMS})
			c.send(l, policy.Finished{ID: l.id, Outcome: policy.NotRun})
			return
		case policy.Start:
			if gone { // the module had not heard it yet; nothing was begun
				c.send(l, policy.Finished{ID: l.id, Outcome: policy.NotRun})
				return
			}
			if ok, err := c.recordEffect(l.request, l.class); !ok {
				// Not begun here now: an effect whose record can't be kept may be tried elsewhere, one
				// that was begun before may not.
				if err != nil {
					l.answer(Outcome{Verdict: Refused, RetryAfterMS: refusalRetryAfterMS})
				} else {
					l.answer(Outcome{Verdict: Failed})
				}
				c.send(l, policy.Finished{ID: l.id, Outcome: policy.NotRun})
				return
			}
			attempt = &Attempt{Request: l.request, Due: l.due, CallsSkippable: l.class.SkipWorth > 0, Notify: func(n Notice) { l.inbox.Put(n) }}
			startedAt = c.clock.Now() // before the start, so that no result looks fresher than it is
			c.counts.attempts.Add(1)
			c.runner.Start(attempt)
		}
	}

	// Running: until the runner tells its end. A request that was answered or left goes on to that end, and
	// the module hears it, but makes no more calls.
	var pendingCall Notice // the call that the run stands at
	calls := 0
	cancelCall := func() {}
	defer func() { cancelCall() }()
	for {
		switch m := l.inbox.Next().(type) {
		case Notice:
			if m.ReplyLost {
				l.fail() // the run goes on, or ends at its call now that nobody waits for it
				continue
			}
			if !m.Ended {
				pool.Put(pendingCall.Body)
				pendingCall = m
				c.send(l, policy.CallNeeded{ID: l.id})
				continue
			}
			if m.Outcome == policy.OK {
				l.answer(Outcome{Verdict: Served, Result: m.Body})
			}
			pool.Put(pendingCall.Body)
			if pendingCall, ok := c.effectLog.(EffectEndRecorder); ok && l.class.Safety != policy.Safe {
				pendingCall.Ended(l.request.ID, m.Outcome == policy.OK)
			}
			m.MadeAt = min(c.clock.Now(), startedAt+m.TookMS) // a late notice must not make the result look fresher
			c.sendEnd(l, m)
			// Behind the end: another try that its caller sends at once must not find this one running, and fail for it.
			switch {
			case m.Outcome == policy.OK:
			case m.UnknownRequest:
				l.answer(Outcome{Verdict: Failed, UnknownRequest: true})
			case !gone:
				l.fail()
			}
			return
		case policy.MakeCall:
			cancelCall() // a second call for one request gives up the first
			if l.answered || gone {
				continue // the module hears of the run's end
			}
			calls++
			cancelCall = l.call(calls, m, pendingCall.Body)
		case callEnded:
			if m.number != calls || l.answered || gone {
				pool.Put(m.body)
				continue
			}
			if m.outcome == policy.OK {
				c.runner.Return(attempt, pendingCall.Number, m.body)
			}
			pool.Put(m.body)
			c.send(l, policy.CallReturned{ID: l.id, Outcome: m.outcome, Duration: clock.Duration(m.tookMS)})
		case policy.SkipCall:
			c.runner.Skip(attempt, pendingCall.Number)
		case policy.Fail, policy.Refuse:
			l.fail() // never as a refusal: it was begun
			cancelCall()
			c.runner.Abandon(attempt)
		case callerGone:
			gone = true
			cancelCall()
			c.send(l, policy.CallerGone{ID: l.id})
			c.runner.Abandon(attempt)
		}
	}
}

// call makes one call below; the function it returns gives the call up.
func (l *Handler) call(number int, action policy.MakeCall, body []byte) func() {
	c := l.core
	limitMS := clock.Millis(action.MaxWait)
	if limitMS <= 0 {
		limitMS = clock.Millis(l.class.Deadline)
	}
	ctx, cancel := context.WithCancel(context.Background())
	body = pool.Copy(body) // the handler may move on to its next call while this one is being given up
	startedAt := c.clock.Now()
	go func() {
		defer cancel()
		outcome, reply := c.downstream.Call(ctx, l.request.ID, limitMS, body)
		pool.Put(body)
		l.inbox.Put(callEnded{number: number, outcome: outcome, tookMS: c.clock.Now() - startedAt, body: reply})
	}()
	return cancel
}
