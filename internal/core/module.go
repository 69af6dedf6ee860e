package core

import (
	"math"

	"puffinsaddle/internal/clock"
	"puffinsaddle/internal/pool"
	"puffinsaddle/policy"
)

// The calls of the policy module: the events that it receives, and the actions that it decides on.

// Run owns the module. It calls the module with the events of the inbox, at most once a tick, and carries out its
// actions. It never waits for a socket.
func (c *Core) Run() {
	for {
		select {
		case <-c.stop:
			return
		case <-c.inbox.Ready:
		}
		now := c.clock.Now()
		c.lastCall = min(c.lastCall, now) // a clock that was set back must not stop the loop
		if wait := c.lastCall + clock.Millis(c.settings.Tick) - now; wait > 0 {
			if !c.tickTimerSet {
				c.tickTimerSet = true
				c.clock.After(wait, c.inbox.Wake)
			}
			continue
		}
		c.tickTimerSet = false
		c.processInbox()
	}
}

// processInbox takes all events from the inbox, completes them and calls the module with them. Events that change the
// settings or the module's state are carried out between calls, so that events before them use the earlier state.
func (c *Core) processInbox() {
	c.batch = c.inbox.TakeAll(c.batch)
	now := c.clock.Now() // after all times that the events state
	c.events = c.events[:0]
	for _, e := range c.batch {
		switch {
		case e.runnerStarted:
			c.startModule(now, e.cold)
		case e.runnerReplaced:
			c.callModule(now)
			if c.module != nil && e.cold { // a cold runner survives less load than a warm one
				c.log.Info().Msg("runner was replaced and is cold")
				c.module.Restarted(clock.Duration(now - c.moduleStartedAt))
			}
		case e.settings != nil:
			c.callModule(now) // requests that arrived before the new settings keep their class
			c.adopt(*e.settings)
		case e.callback != nil:
			c.callModule(now)
			e.callback()
		case e.stopAt > 0:
			c.startModule(now, false)
			c.events = append(c.events, policy.DrainNotice{TimeLeft: clock.Duration(max(e.stopAt-now, 0)), Age: clock.Duration(max(now-e.noticedAt, 0))})
		case e.event != nil:
			c.startModule(now, false) // requests are not expected before the runner starts, but must be answered
			if ev := c.completeEvent(now, e); ev != nil {
				c.events = append(c.events, ev)
			}
		}
	}
	if c.module == nil {
		return
	}
	c.lastCall = now
	c.callModule(now)
	for i, e := range c.batch {
		if _, gone := e.event.(policy.CallerGone); gone && !e.handler.started {
			e.handler.inbox.Put(dismissed{})
		}
		pool.Put(e.notice.Body)
		c.batch[i] = event{}
	}
	c.keys.expire(now)
}

// callModule calls the module with the events collected and carries out its actions.
func (c *Core) callModule(now float64) {
	if c.module == nil {
		return
	}
	if c.downstreamShare != nil { // read before each call of the module: an expired share permits no further downstream call
		c.module.SetDownstreamShare(c.downstreamShare())
		if callTime, period := c.module.DownstreamTime(); period > 0 {
			c.downstreamConcurrency.Store(math.Float64bits(callTime / period))
		}
	}
	for _, a := range c.module.Handle(clock.Duration(now-c.moduleStartedAt), c.events) {
		c.perform(now, a)
	}
	c.events = c.events[:0]
	clear(c.keys.unremembered)
	if c.module.StopReached() && !c.hasStopped() {
		close(c.stopReached)
	}
}

func (c *Core) startModule(now float64, cold bool) {
	if c.module != nil {
		return
	}
	settings := c.settings
	settings.JustStarted = settings.JustStarted || cold
	m, err := policy.New(settings, c.seed)
	if err != nil {
		panic(err) // package config has validated the same settings
	}
	c.module, c.moduleStartedAt = m, now
	c.log.Info().Bool("cold", settings.JustStarted).Msg("module started")
}

// completeEvent completes an event from the request and the key table. It returns nil for a request that is answered
// here and that the module must not see.
func (c *Core) completeEvent(now float64, e event) policy.Event {
	switch ev := e.event.(type) {
	case policy.Arrived:
		if !c.completeArrival(now, e.handler, &ev) {
			return nil
		}
		return ev
	case policy.Finished:
		c.tellEnd(c.keys.recordEnd(ev, e.notice), ev.Outcome == policy.NotRun)
		if e.notice.Ended {
			ev.ResultAge = clock.Duration(max(now-e.notice.MadeAt, 0))
		}
		return ev
	}
	return e.event
}

// completeArrival completes the arrival of a request. It returns false if the request is answered here.
func (c *Core) completeArrival(now float64, h *Handler, ev *policy.Arrived) bool {
	q := h.request
	h.class, h.knownClass = c.classes[q.Class] // not changed by later settings
	h.due = q.ArrivedAt + q.WaitMS
	if q.WaitMS == 0 {
		h.due = q.ArrivedAt + clock.Millis(h.class.Deadline)
	}
	if h.class.Safety == policy.Keyed {
		// Limited to the class's deadline: the key table keeps attempts for the window plus that deadline.
		h.due = min(h.due, q.ArrivedAt+clock.Millis(h.class.Deadline))
	}
	if !c.findOriginal(now, h, ev) {
		return false
	}
	ev.Class, ev.Caller, ev.KB, ev.Rank, ev.Key, ev.IsRetry = q.Class, q.Caller, q.KB, q.Rank, q.Key, q.Retry
	ev.Tenant, ev.Size = q.Tenant, clock.Duration(q.CostMS)
	ev.Waited = clock.Duration(max(now-q.ArrivedAt, 0))
	ev.Write = h.class.Safety != policy.Safe
	if q.WaitMS > 0 {
		ev.TimeLeft = max(clock.Duration(h.due-now), minTimeLeft)
	}
	return true
}

// findOriginal finds the request that another one repeats. It returns false if the request is answered here.
func (c *Core) findOriginal(now float64, h *Handler, ev *policy.Arrived) bool {
	q := h.request
	if h.class.Safety == policy.Keyed {
		var same bool
		if ev.Original, ev.HasOriginal, same = c.keys.findAttempt(h); q.IdempotencyKey == "" || !same {
			c.log.Debug().Str("id", q.ID).Str("class", q.Class).Str("once", q.IdempotencyKey).
				Msg(`field "once" is missing or was used with another body: request failed without running`)
			h.inbox.Put(policy.Fail{})
			return false
		}
		return true
	}
	if e := c.keys.findKeyed(q); e != nil {
		c.answerFormerlyKeyed(h, e)
		return false
	}
	ev.Original, ev.HasOriginal = c.keys.findRead(h, now)
	return true
}

// answerFormerlyKeyed answers a request whose class new settings have removed or made not keyed, but of which an earlier attempt
// ran. The module would refuse this attempt or run it again.
func (c *Core) answerFormerlyKeyed(h *Handler, attempt *entry) {
	h.class, h.knownClass = attempt.class, true
	result, ok := attempt.resultFor(c.keys.hashBody(h.request))
	if !ok {
		h.inbox.Put(policy.Fail{})
		return
	}
	h.started = true
	h.inbox.Put(sharedResult{ok: true, result: result})
}

// perform carries out one action of the module.
func (c *Core) perform(now float64, a policy.Action) {
	switch a := a.(type) {
	case policy.Start:
		if h := c.handlerOf(a.ID); h != nil {
			h.started = true
			c.permitStart(h, a, now)
		}
	case policy.ShareResult:
		if h := c.handlerOf(a.ID); h != nil {
			c.shareResult(h)
		}
	case policy.Refuse:
		if h := c.handlerOf(a.ID); h != nil {
			c.refuse(h, a, now)
		}
	case policy.Fail:
		c.deliver(a.ID, a)
	case policy.MakeCall:
		c.deliver(a.ID, a)
	case policy.SkipCall:
		c.deliver(a.ID, a)
	case policy.StoreKey:
		if h := c.handlerOf(a.ID); h != nil {
			c.keys.remember(h, now+clock.Millis(a.TTL))
		}
	case policy.DeleteKey:
		c.keys.forget(a.ID)
	case policy.Health:
		if c.yielding.Load() {
			return
		}
		c.shallow.Store(a.Shallow)
		if c.healthy.Swap(a.Healthy) != a.Healthy {
			c.log.Info().Bool("good", a.Healthy).Msg("health")
		}
	case policy.SetHint:
		c.hint.Store(math.Float64bits(a.Value))
	case policy.CloseIdle:
		c.idleCloseAfter.Store(int64(a.After))
	case policy.SetTimer:
		c.clock.After(c.moduleStartedAt+clock.Millis(a.At)-now, func() { c.wake(a.Token) })
	case policy.LogLine:
		c.log.Info().Msg(a.Text)
	case policy.ReportToPeer:
		c.sendLimits(a)
	}
}

// shareResult gives a request the result of the one that it repeats, or lets it wait while another process runs that one.
func (c *Core) shareResult(h *Handler) {
	if e := c.keys.startedAttempt(h); e != nil && e.owner != nil && !e.ended {
		e.waiting = append(e.waiting, h.id)
		return
	}
	h.started = true // the handler reports its end once it has the shared result
	result, ok := c.keys.result(h)
	h.inbox.Put(sharedResult{ok: ok, result: result})
}

// refuse refuses a request, unless another process has started an attempt of it or may have done so: a refusal would say that
// nothing ran.
func (c *Core) refuse(h *Handler, refusal policy.Refuse, now float64) {
	e := c.keys.startedAttempt(h)
	switch {
	case e == nil && h.class.Safety == policy.Keyed && c.otherProcessMayHaveRun(h.request, now):
		h.inbox.Put(policy.Fail{ID: h.id})
	case e == nil:
		h.inbox.Put(refusal)
	case e.ended:
		h.inbox.Put(e.shared(c.keys.hashBody(h.request)))
	default:
		h.inbox.Put(policy.Fail{ID: h.id})
	}
}

// wake calls the module at once, so that no due answer waits for the gauges, and sends the gauges once they are read.
func (c *Core) wake(token uint64) {
	c.inbox.Put(event{})
	c.runner.ReadGauges(func(gauges []float64) {
		c.inbox.Put(event{event: policy.TimerFired{Token: token, Gauges: gauges}})
	})
}

func (c *Core) deliver(id policy.ID, a policy.Action) {
	if h := c.handlerOf(id); h != nil {
		h.inbox.Put(a)
	}
}
