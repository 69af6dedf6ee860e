package core

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"puffinsaddle/internal/clock"
	"puffinsaddle/internal/mailbox"
	"puffinsaddle/internal/pool"
	"puffinsaddle/policy"
)

const (
	maxOpenRequests      = 4096    // open requests; the module bounds them by memory long before
	refusalRetryAfterMS  = 1000.0  // advice where the record of effects can't be kept, in milliseconds
	minTimeLeft          = 1       // the module takes a Left of 0 for 'not told', so what is overdue gets this
	defaultKeyTableBytes = 8 << 20 // bytes for the tries of keyed classes and their results, where nobody says how many
)

// Core owns the module's instance. One goroutine, Run, calls the module; handlers and fronts tell it what
// happened through the inbox and hear of its choices through their mailboxes.
type Core struct {
	clock      *clock.Clock
	log        zerolog.Logger
	seed       uint64
	tickMS     float64
	runner     Runner
	downstream Downstream
	effectLog  EffectLog

	inbox *mailbox.Box[event]
	stop  chan struct{}

	// What the fronts read.
	shallow, healthy atomic.Bool
	hint             atomic.Uint64 // bits of the value; NaN: none yet
	idleCloseAfter   atomic.Int64  // the module's wish to close idle connections, in nanoseconds; 0: none

	unanswered        atomic.Int64 // requests that still wait for their answer
	counts            counts
	longestDeadline   atomic.Int64 // the longest deadline of a class, in nanoseconds
	callerIdleTimeout atomic.Int64 // how long callers keep a connection that carries nothing, in nanoseconds
	runnerStarted     atomic.Bool  // the runner was up once
	yielding          atomic.Bool  // a successor took over: the module's state of draining is no state of the server
	forcedUnhealthy   atomic.Bool  // operators want callers to stay away

	downstreamShare       func() float64 // what may be used below now; nil: what the settings say
	downstreamConcurrency atomic.Uint64  // bits of what was used of it in the span of the rule

	mu          sync.Mutex
	handlers    map[policy.ID]*Handler
	byRequestID map[string]*Handler
	lastID      policy.ID

	// The owner's.
	settings        policy.Settings
	classes         map[string]policy.Class
	module          *policy.Instance
	moduleStartedAt float64
	lastCall        float64 // when the module was last called
	tickTimerSet    bool    // a timer stands for the rest of the tick
	batch           []event
	events          []policy.Event
	keys            keyTable
}

// event is one thing for the module, with what the owner needs besides.
type event struct {
	handler        *Handler
	event          policy.Event // nil: only look at the time
	notice         Notice       // of a run's end
	runnerStarted  bool         // the runner is up
	runnerReplaced bool         // it is another one than before
	cold           bool
	stopAt         float64          // when the process will be stopped
	noticedAt      float64          // when that was said
	settings       *policy.Settings // in force from now on
	callback       func()
}

// New makes a core; Run has to be called for it to serve.
func New(clk *clock.Clock, log zerolog.Logger, settings policy.Settings, seed uint64, runner Runner, downstream Downstream, effectLog EffectLog) *Core {
	c := &Core{clock: clk, log: log, tickMS: clock.Millis(settings.Tick), seed: seed, runner: runner, downstream: downstream,
		effectLog: effectLog, inbox: mailbox.New[event](), stop: make(chan struct{}), handlers: map[policy.ID]*Handler{},
		byRequestID: map[string]*Handler{}, keys: newKeyTable(clock.Millis(settings.SharedResultTTL), defaultKeyTableBytes)}
	c.counts.byClass = map[string]*classCounts{}
	c.adopt(settings)
	if c.effectLog == nil {
		c.effectLog = newMemoryEffectLog(clk)
	}
	c.healthy.Store(true)
	c.hint.Store(math.Float64bits(math.NaN()))
	return c
}

// Adopt puts other settings into force, which have passed the module's check. Open requests keep their class.
func (c *Core) Adopt(settings policy.Settings) { c.inbox.Put(event{settings: &settings}) }

// SetDownstreamShareFunc lets another than the settings say what may be used below; it is asked before each choice, and must not wait.
// To be called before Run.
func (c *Core) SetDownstreamShareFunc(share func() float64) { c.downstreamShare = share }

// SetKeyTableBytes sets how many bytes the tries of keyed classes and their results may take. To be called before Run.
func (c *Core) SetKeyTableBytes(bytes int) { c.keys.maxBytes = bytes }

// DownstreamConcurrency is what was used below of late, in calls in hand; 0 where nothing divides.
func (c *Core) DownstreamConcurrency() float64 {
	return math.Float64frombits(c.downstreamConcurrency.Load())
}

// AfterPendingEvents calls back, on the owner's goroutine, once every choice rests on what is in force now. It must not wait.
func (c *Core) AfterPendingEvents(call func()) { c.inbox.Put(event{callback: call}) }

func (c *Core) adopt(settings policy.Settings) {
	c.settings, c.classes, c.keys.freshMS = settings, map[string]policy.Class{}, clock.Millis(settings.SharedResultTTL)
	longest := time.Duration(0)
	for _, k := range settings.Classes {
		c.classes[k.Name] = k
		c.counts.add(k.Name)
		longest = max(longest, k.Deadline)
	}
	c.longestDeadline.Store(int64(longest))
	c.callerIdleTimeout.Store(int64(settings.IdleTimeout))
	if c.module == nil {
		return
	}
	if err := c.module.UpdateSettings(settings); err != nil {
		panic(err) // config has tried the same settings
	}
}

// Open takes a request in. answer is called once at most, and not after Gone was heard in time.
func (c *Core) Open(q *Request, answer func(Outcome)) *Handler {
	l := &Handler{core: c, request: q, inbox: mailbox.New[any](), reply: answer}
	c.mu.Lock()
	duplicate := c.byRequestID[q.ID] != nil
	if duplicate || len(c.handlers) >= maxOpenRequests {
		c.mu.Unlock()
		// Guards against a second run under one id, and against memory: neither ever gets to the module.
		if duplicate {
			l.answer(Outcome{Verdict: Failed})
		} else {
			l.answer(Outcome{Verdict: Refused, RetryAfterMS: refusalRetryAfterMS})
		}
		return l
	}
	c.unanswered.Add(1)
	c.counts.active.Add(1)
	l.id, l.countedUnanswered, l.countedActive = c.nextID(), true, true
	c.handlers[l.id], c.byRequestID[q.ID] = l, l
	c.mu.Unlock()
	go l.serve()
	return l
}

// nextID is a number that no open request has; 0 stands for none. The lock is held.
func (c *Core) nextID() policy.ID {
	for c.lastID++; c.lastID == 0 || c.handlers[c.lastID] != nil; c.lastID++ {
	}
	return c.lastID
}

func (c *Core) newID() policy.ID {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.nextID()
}

func (c *Core) remove(l *Handler) {
	l.markAnswered()
	pool.Put(l.request.Body) // whatever ran has ended, and the runner has copied what it still sends
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.handlers, l.id)
	delete(c.byRequestID, l.request.ID)
}

// Unanswered counts the requests that still wait for their answer.
func (c *Core) Unanswered() int { return int(c.unanswered.Load()) }

// RunnerStarted tells that the runner is up, and whether it started cold.
func (c *Core) RunnerStarted(cold bool) {
	c.inbox.Put(event{runnerStarted: true, cold: cold})
	c.runnerStarted.Store(true)
}

// RunnerReplaced tells that another runner has taken the place of the one before; it is up.
func (c *Core) RunnerReplaced(cold bool) { c.inbox.Put(event{runnerReplaced: true, cold: cold}) }

// Ready tells whether requests can be served: the runner was up once.
func (c *Core) Ready() bool { return c.runnerStarted.Load() }

// Healthy tells whether checks would get a good answer, operators' orders aside.
func (c *Core) Healthy() bool { return c.healthy.Load() }

// ForceUnhealthy answers checks with a bad state, or no longer does, by an operator's order; what comes is served all the same.
func (c *Core) ForceUnhealthy(forced bool) { c.forcedUnhealthy.Store(forced) }

// Drain tells the module that the process will be stopped at that time, and when it was told so.
func (c *Core) Drain(noticedAt, stopAt float64) {
	c.inbox.Put(event{stopAt: stopAt, noticedAt: noticedAt})
}

// Health answers a check: from the module's setting, or where that says so by real work.
func (c *Core) Health(deep bool, answer func(healthy bool)) {
	if c.forcedUnhealthy.Load() {
		answer(false)
		return
	}
	if deep && !c.shallow.Load() && c.runner.Diagnose(answer) {
		return
	}
	answer(c.healthy.Load())
}

// Hint is the free value that goes with every answer.
func (c *Core) Hint() (float64, bool) {
	v := math.Float64frombits(c.hint.Load())
	return v, !math.IsNaN(v)
}

// IdleCloseAfterMS is the span in milliseconds after which idle connections are to be closed; 0: the callers do it.
func (c *Core) IdleCloseAfterMS() float64 {
	return clock.Millis(time.Duration(c.idleCloseAfter.Load()))
}

// CallerIdleTimeout is how long callers keep a connection that carries nothing; 0: not told.
func (c *Core) CallerIdleTimeout() time.Duration { return time.Duration(c.callerIdleTimeout.Load()) }

// recordEffect records an effect before its run.
func (c *Core) recordEffect(q *Request, k policy.Class) (bool, error) {
	if k.Safety == policy.Safe {
		return true, nil
	}
	ok, err := c.effectLog.Begin(q.ID)
	if err != nil {
		c.log.Warn().Err(err).Str("id", q.ID).Msg("effect not recorded, so not run")
	}
	return ok && err == nil, err
}

func (c *Core) send(l *Handler, e policy.Event) { c.inbox.Put(event{handler: l, event: e}) }

// sendEnd tells the end of a run; the owner keeps the result where others may share it.
func (c *Core) sendEnd(l *Handler, n Notice) {
	c.inbox.Put(event{handler: l, notice: n, event: policy.Finished{ID: l.id, Outcome: n.Outcome, Duration: clock.Duration(n.TookMS)}})
}

// Stop ends Run.
func (c *Core) Stop() { close(c.stop) }

// Run is the owner of the module: it calls it for what has come in, once a tick at most, and passes on what
// it chose. Nothing in here waits for a socket.
func (c *Core) Run() {
	for {
		select {
		case <-c.stop:
			return
		case <-c.inbox.Ready:
		}
		now := c.clock.Now()
		c.lastCall = min(c.lastCall, now) // a clock that was set back must not stop us
		if wait := c.lastCall + clock.Millis(c.settings.Tick) - now; wait > 0 {
			if !c.tickTimerSet {
				c.tickTimerSet = true
				c.clock.After(wait, c.inbox.Wake)
			}
			continue
		}
		c.tickTimerSet = false
		c.processInbox(now)
	}
}

// processInbox is one call of the module.
func (c *Core) processInbox(now float64) {
	c.batch = c.inbox.TakeAll(c.batch)
	c.events = c.events[:0]
	for _, e := range c.batch {
		switch {
		case e.runnerStarted:
			c.startModule(now, e.cold)
		case e.runnerReplaced:
			c.callModule(now)
			if c.module != nil && e.cold { // it survives less than the one before, which may have been warm
				c.log.Info().Msg("cold again")
				c.module.Restarted(clock.Duration(now - c.moduleStartedAt))
			}
		case e.settings != nil:
			c.callModule(now) // what came before keeps its class
			c.adopt(*e.settings)
		case e.callback != nil:
			c.callModule(now)
			e.callback()
		case e.stopAt > 0:
			c.startModule(now, false)
			c.events = append(c.events, policy.DrainNotice{TimeLeft: clock.Duration(max(e.stopAt-now, 0)), Age: clock.Duration(max(now-e.noticedAt, 0))})
		case e.event != nil:
			c.startModule(now, false) // nothing comes before the runner is up, but if it does it must be answered
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

// callModule calls the module for the events so far.
func (c *Core) callModule(now float64) {
	if c.module == nil {
		return
	}
	if c.downstreamShare != nil { // looked at before each choice: one that ran out must carry no further call
		c.module.SetDownstreamShare(c.downstreamShare())
		if callTime, span := c.module.DownstreamTime(); span > 0 {
			c.downstreamConcurrency.Store(math.Float64bits(callTime / span))
		}
	}
	for _, a := range c.module.Handle(clock.Duration(now-c.moduleStartedAt), c.events) {
		c.perform(now, a)
	}
	c.events = c.events[:0]
	clear(c.keys.unremembered)
}

func (c *Core) startModule(now float64, cold bool) {
	if c.module != nil {
		return
	}
	settings := c.settings
	settings.JustStarted = settings.JustStarted || cold
	m, err := policy.New(settings, c.seed)
	if err != nil {
		panic(err) // config has tried the same settings
	}
	c.module, c.moduleStartedAt = m, now
	c.log.Info().Bool("cold", settings.JustStarted).Msg("module started")
}

// completeEvent completes an event with what only the owner knows; nil: the module is not to hear of it.
func (c *Core) completeEvent(now float64, e event) policy.Event {
	switch ev := e.event.(type) {
	case policy.Arrived:
		l, q := e.handler, e.handler.request
		l.class, l.knownClass = c.classes[q.Class] // for good, whatever settings come
		l.due = q.ArrivedAt + q.WaitMS
		if q.WaitMS == 0 {
			l.due = q.ArrivedAt + clock.Millis(l.class.Deadline)
		}
		ev.Class, ev.Caller, ev.KB, ev.Rank, ev.Key, ev.IsRetry = q.Class, q.Caller, q.KB, q.Rank, q.Key, q.Retry
		ev.Tenant, ev.Size = q.Tenant, clock.Duration(q.CostMS)
		ev.Waited = clock.Duration(max(now-q.ArrivedAt, 0))
		ev.Write = l.class.Safety != policy.Safe
		if l.class.Safety == policy.Keyed {
			// No longer than its client waits in all: so long its other tries are remembered past the window.
			l.due = min(l.due, q.ArrivedAt+clock.Millis(l.class.Deadline))
			var same bool
			if ev.Original, ev.HasOriginal, same = c.keys.findAttempt(l); q.IdempotencyKey == "" || !same {
				c.log.Debug().Str("id", q.ID).Str("class", q.Class).Str("once", q.IdempotencyKey).
					Msg(`field "once" is missing, or stood with another body before: failed unrun`)
				l.inbox.Put(policy.Fail{})
				return nil
			}
		} else {
			if e := c.keys.findKeyed(q); e != nil {
				// New settings have its class no more, or tie its tries no more; what one of them did still holds. The
				// module would refuse this one, or run it.
				l.class, l.knownClass = e.class, true
				if result, ok := e.resultFor(c.keys.hashBody(q)); ok {
					l.started = true
					l.inbox.Put(sharedResult{ok: true, result: result})
				} else {
					l.inbox.Put(policy.Fail{})
				}
				return nil
			}
			ev.Original, ev.HasOriginal = c.keys.findRead(l, now)
		}
		if q.WaitMS > 0 {
			ev.TimeLeft = max(clock.Duration(l.due-now), minTimeLeft)
		}
		return ev
	case policy.Finished:
		c.keys.recordEnd(ev, e.notice)
		return ev
	}
	return e.event
}

// perform passes one choice of the module on.
func (c *Core) perform(now float64, a policy.Action) {
	switch a := a.(type) {
	case policy.Start:
		if l := c.handlerOf(a.ID); l != nil {
			l.started = true
			if !c.keys.mayStart(l, now) {
				l.inbox.Put(notRemembered{})
			} else {
				l.inbox.Put(a)
			}
		}
	case policy.ShareResult:
		if l := c.handlerOf(a.ID); l != nil {
			l.started = true // its end is told by the share
			result, ok := c.keys.result(l)
			l.inbox.Put(sharedResult{ok: ok, result: result})
		}
	case policy.Refuse:
		c.deliver(a.ID, a)
	case policy.Fail:
		c.deliver(a.ID, a)
	case policy.MakeCall:
		c.deliver(a.ID, a)
	case policy.SkipCall:
		c.deliver(a.ID, a)
	case policy.StoreKey:
		if l := c.handlerOf(a.ID); l != nil {
			c.keys.remember(l, now+clock.Millis(a.TTL))
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
	}
}

// wake looks at the time at once, so that no due answer waits for the gauges, and hands these in once read.
func (c *Core) wake(token uint64) {
	c.inbox.Put(event{})
	c.runner.ReadGauges(func(gauges []float64) {
		c.inbox.Put(event{event: policy.TimerFired{Token: token, Gauges: gauges}})
	})
}

func (c *Core) handlerOf(id policy.ID) *Handler {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.handlers[id]
}

func (c *Core) deliver(id policy.ID, a policy.Action) {
	if l := c.handlerOf(id); l != nil {
		l.inbox.Put(a)
	}
}
