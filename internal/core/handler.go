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
	core              *Core
	id                policy.ID
	request           *Request
	inbox             *mailbox.Box[any] // actions of the module, notices of the runner, replies of downstream calls
	reply             func(Outcome)
	class             policy.Class // set with knownClass and due by the goroutine of Core.Run when it receives the request
	knownClass        bool         // the settings have this class
	due               float64      // when the answer is due, in Unix milliseconds
	answered          bool
	gone              bool // the caller no longer waits
	permitted         bool // the other processes of the server permit the start
	countedUnanswered bool // it counts as a request without an answer
	countedActive     bool // it was accepted, and counts as active until it ends
	ended             atomic.Bool
	started           bool // a Start action was received; used by the goroutine of Core.Run alone
	goneOnce          sync.Once
	whenEnded         func() // called once the attempt has ended; guarded by the core's lock
}

type (
	callerGone        struct{}
	dismissed         struct{} // the caller is gone, and the module never started the request
	failUnlessStarted struct{} // the request must fail unless it has started
	effectRecorded    struct { // the result of EffectLog.Begin
		fresh bool
		err   error
	}
	startPending   struct{} // the module started a keyed request that needs the permission of another process
	startPermitted struct{} // the request may run now
	startDenied    struct { // the module started a keyed request that must not run
		mayHaveRun bool // another attempt of it may have run
	}
	sharedResult struct { // a result of the same read, or of another attempt of a keyed request
		ok     bool
		result []byte
		notRun bool // the other attempt was not run after all
	}
	callEnded struct { // a downstream call has ended
		number  int
		outcome policy.Outcome
		tookMS  float64
		body    []byte
	}
)

// CallerGone reports that the caller no longer waits for the request.
func (h *Handler) CallerGone() {
	h.goneOnce.Do(func() {
		h.markInactive()
		h.inbox.Put(callerGone{})
	})
}

// WhenEnded calls a function once the attempt has ended, which may be long after the caller has gone. The function must not block.
func (h *Handler) WhenEnded(f func()) {
	h.core.mu.Lock()
	open := h.core.handlers[h.id] == h
	if open {
		h.whenEnded = f
	}
	h.core.mu.Unlock()
	if !open {
		f()
	}
}

// FailUnlessStarted fails the request unless it has started. It is for connections that have sent a request that the
// executor does not know.
func (h *Handler) FailUnlessStarted() { h.inbox.Put(failUnlessStarted{}) }

// markInactive removes the request from the active ones, once it is answered or its caller is gone.
func (h *Handler) markInactive() {
	if h.countedActive && !h.ended.Swap(true) {
		h.core.counts.active.Add(-1)
	}
}

// answer sends the final answer; any later one is dropped.
func (h *Handler) answer(o Outcome) {
	if !h.answered {
		h.answered = true
		h.core.counts.countAnswer(h.request.Class, o.Verdict) // before the answer: a caller that has it may read the counts
		h.markInactive()
		h.reply(o)
		h.markAnswered()
	}
}

// markAnswered removes the request from those without an answer.
func (h *Handler) markAnswered() {
	h.markInactive()
	if h.countedUnanswered {
		h.countedUnanswered = false
		h.core.unanswered.Add(-1)
	}
}

// fail sends a failure at once, even while the attempt still runs.
func (h *Handler) fail() {
	c := h.core
	if c.clock.Now() >= h.due-c.tickMS {
		h.answer(Outcome{Verdict: Overdue})
		return
	}
	h.answer(Outcome{Verdict: Failed})
}

// serve handles one request, whose arrival the module learns of, to the end of its attempt. It sends events to the module with
// Core.send and receives the module's actions through its inbox.
func (h *Handler) serve() {
	defer h.core.remove(h)
	if h.awaitStart() && h.awaitPermission() && h.recordEffect() {
		h.run()
	}
}

// awaitStart waits until the module starts the request. It returns false if the request ended before: the module refused it
// or shared a result with it, or its caller is gone.
func (h *Handler) awaitStart() bool {
	c := h.core
	for {
		switch m := h.inbox.Next().(type) {
		case policy.Refuse:
			h.answer(Outcome{Verdict: Refused, RetryAfterMS: clock.Millis(m.RetryAfter), NoRetry: m.NoRetry, UnknownClass: !h.knownClass})
			return false
		case policy.Fail:
			h.fail()
			return false
		case sharedResult:
			outcome := policy.Failed
			if m.ok {
				outcome = policy.OK
			}
			h.share(m)
			c.send(h, policy.Finished{ID: h.id, Outcome: outcome})
			return false
		case failUnlessStarted:
			h.answer(Outcome{Verdict: Failed})
			h.inbox.Put(callerGone{})
		case callerGone:
			h.gone = true
			c.send(h, policy.CallerGone{ID: h.id})
		case dismissed:
			return false
		case startDenied:
			h.denyStart(m.mayHaveRun)
			return false
		case startPending:
			return h.goOn()
		case policy.Start:
			h.permitted = true
			return h.goOn()
		}
	}
}

// goOn reports whether a request that the module has started goes on to its run, and ends it if its caller has gone before the
// module learned of that.
func (h *Handler) goOn() bool {
	if h.gone {
		h.endUnrun()
	}
	return !h.gone
}

// share answers the request with the result of another one.
func (h *Handler) share(shared sharedResult) {
	switch {
	case shared.ok:
		h.answer(Outcome{Verdict: Served, Result: shared.result})
	case shared.notRun:
		h.answer(Outcome{Verdict: Refused, RetryAfterMS: refusalRetryAfterMS})
	default:
		h.fail()
	}
}

// denyStart ends a keyed request that must not run, since a retry of it would not be recognized as such and would run again. It is
// refused only if no other attempt of it can have run.
func (h *Handler) denyStart(mayHaveRun bool) {
	h.core.log.Warn().Str("id", h.request.ID).Str("class", h.request.Class).Bool("may_have_run", mayHaveRun).
		Msg("keyed request not run: the key table is full, or another process may run keyed requests")
	h.endUnrun()
	if mayHaveRun {
		h.answer(Outcome{Verdict: Failed})
		return
	}
	h.refuseUnrun()
}

// awaitPermission waits until the other processes of the server permit the request to run. It returns false if the request
// ended before.
func (h *Handler) awaitPermission() bool {
	for !h.permitted {
		message := h.inbox.Next()
		switch m := message.(type) {
		case startPermitted:
			h.permitted = true
		case sharedResult: // another process has started an attempt of the request
			h.endUnrun()
			h.share(m)
			return false
		}
		// At the due time this is not a refusal, since another process may have started an attempt of the request.
		if h.endsBeforeRun(message, h.fail) {
			return false
		}
	}
	return true
}

// recordEffect records the effect of a request before it runs. It waits for the record while the request may still run: an
// effect log may depend on another machine, which must not delay the answer past its due time. It returns false if the request
// ended without having run.
func (h *Handler) recordEffect() bool {
	if h.class.Safety == policy.Safe {
		return true
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	record := h.core.beginEffect(ctx, h.request.ID, func(r effectRecorded) { h.inbox.Put(r) })
	for {
		message := h.inbox.Next()
		if r, recorded := message.(effectRecorded); recorded {
			return h.mayRun(r)
		}
		// The request has not run and never will, so that it may be retried. This also holds if its record comes later.
		if h.endsBeforeRun(message, h.refuseUnrun) {
			record.abandon()
			return false
		}
	}
}

// mayRun reports whether the request may run, and ends it if not.
func (h *Handler) mayRun(r effectRecorded) bool {
	if r.fresh {
		return true
	}
	h.endUnrun()
	if r.err != nil {
		h.refuseUnrun()
	} else {
		h.answer(Outcome{Verdict: Failed}) // started before, so it must not be retried on another server
	}
	return false
}

// endsBeforeRun ends a request that has not run, if a message says so, and reports whether it did: the module gives it up at its
// due time or before the stop, its caller is gone, or its connection sends forged requests.
func (h *Handler) endsBeforeRun(message any, giveUp func()) bool {
	switch message.(type) {
	case policy.Fail, policy.Refuse:
		h.endUnrun()
		giveUp()
	case failUnlessStarted:
		h.endUnrun()
		h.answer(Outcome{Verdict: Failed})
	case callerGone:
		h.gone = true
		h.core.send(h, policy.CallerGone{ID: h.id})
		h.endUnrun()
	default:
		return false
	}
	return true
}

// refuseUnrun refuses a request that the module has started and that did not run.
func (h *Handler) refuseUnrun() {
	h.answer(Outcome{Verdict: Refused, RetryAfterMS: refusalRetryAfterMS})
}

// endUnrun reports to the module that a request that it has started never ran. It precedes the answer, so that a retry that the
// caller sends at once does not take this attempt for a running one.
func (h *Handler) endUnrun() {
	h.core.send(h, policy.Finished{ID: h.id, Outcome: policy.NotRun})
}

// run runs the request, until the runner reports the end of the attempt, even if the request was answered or its caller is
// gone before. The module receives that end, but such a request makes no further downstream calls.
func (h *Handler) run() {
	c := h.core
	attempt := &Attempt{Request: h.request, Due: h.due, CallsSkippable: h.class.SkipWorth > 0,
		Notify: func(n Notice) { h.inbox.Put(n) }}
	startedAt := c.clock.Now() // read before the start, so that no result looks newer than it is
	c.counts.attempts.Add(1)
	c.runner.Start(attempt)
	var pendingCall Notice // the call that the attempt waits for
	calls := 0
	cancelCall := func() {}
	defer func() { cancelCall() }()
	for {
		switch m := h.inbox.Next().(type) {
		case Notice:
			if m.ReplyLost {
				h.fail() // the attempt continues, or keeps waiting for its call
				continue
			}
			if m.Ended {
				pool.Put(pendingCall.Body)
				if m.MadeAt == 0 {
					m.MadeAt = startedAt + m.TookMS // a late notice must not make the result look newer
				}
				m.MadeAt = min(m.MadeAt, c.clock.Now())
				h.end(m)
				return
			}
			pool.Put(pendingCall.Body)
			pendingCall = m
			c.send(h, policy.CallNeeded{ID: h.id})
		case policy.MakeCall:
			cancelCall() // a second call of one request cancels the first
			if h.answered || h.gone {
				continue // the module receives the end of the attempt
			}
			calls++
			cancelCall = h.call(calls, m, pendingCall.Body)
		case callEnded:
			if m.number != calls || h.answered || h.gone {
				pool.Put(m.body)
				continue
			}
			if m.outcome == policy.OK {
				c.runner.Return(attempt, pendingCall.Number, m.body)
			}
			pool.Put(m.body)
			c.send(h, policy.CallReturned{ID: h.id, Outcome: m.outcome, Duration: clock.Duration(m.tookMS)})
		case policy.SkipCall:
			c.runner.Skip(attempt, pendingCall.Number)
		case policy.Fail, policy.Refuse:
			h.fail() // not a refusal, since the request has started
			cancelCall()
			c.runner.Abandon(attempt)
		case callerGone:
			h.gone = true
			cancelCall()
			c.send(h, policy.CallerGone{ID: h.id})
			c.runner.Abandon(attempt)
		}
	}
}

// end answers a request whose attempt has ended, and reports the end to the effect log and the module.
func (h *Handler) end(n Notice) {
	c := h.core
	if n.Outcome == policy.OK {
		h.answer(Outcome{Verdict: Served, Result: n.Body})
	}
	if recorder, ok := c.effectLog.(EffectEndRecorder); ok && h.class.Safety != policy.Safe {
		recorder.Ended(h.request.ID, n.Outcome == policy.OK)
	}
	c.sendEnd(h, n)
	// The answer follows the end: a retry that the caller sends at once would otherwise find this attempt running, and
	// fail because of it.
	switch {
	case n.Outcome == policy.OK:
	case n.UnknownRequest:
		h.answer(Outcome{Verdict: Failed, UnknownRequest: true})
	case !h.gone:
		h.fail()
	}
}

// call makes one downstream call and returns a function that cancels it.
func (h *Handler) call(number int, action policy.MakeCall, body []byte) func() {
	c := h.core
	timeoutMS := clock.Millis(action.MaxWait)
	if timeoutMS <= 0 {
		timeoutMS = clock.Millis(h.class.Deadline)
	}
	ctx, cancel := context.WithCancel(context.Background())
	body = pool.Copy(body) // the handler may make its next call while this one is being cancelled
	startedAt := c.clock.Now()
	go func() {
		defer cancel()
		outcome, reply := c.downstream.Call(ctx, h.request.ID, timeoutMS, body)
		pool.Put(body)
		h.inbox.Put(callEnded{number: number, outcome: outcome, tookMS: c.clock.Now() - startedAt, body: reply})
	}()
	return cancel
}
