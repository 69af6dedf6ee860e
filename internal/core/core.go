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
	mostOpen    = 4096    // open requests; the policy module's memory limit takes effect long before this
	ledgerPause = 1000.0  // retry-after of refusals made by this package, in milliseconds
	earliest    = 1       // nanoseconds; the module reads a Left of 0 as unknown, so overdue requests get this value
	keyedRoom   = 8 << 20 // default memory for keyed attempts and their results, in bytes
)

// Core owns the instance of the policy module. One goroutine, Run, calls the module. Handlers and fronts send events to
// it through the inbox, and handlers receive the module's decisions through their mailboxes.
type Core struct {
	clock  *clock.Clock
	log    zerolog.Logger
	seed   uint64
	tick   float64
	runner Runner
	below  Downstream
	ledger EffectLog

	inbox *mailbox.Box[event]
	stop  chan struct{}

	// Read by the fronts.
	shallow, good atomic.Bool
	say           atomic.Uint64 // bits of a float64; NaN before the first value
	idle          atomic.Int64  // idle time after which the module wants connections closed, in nanoseconds; 0: none

	owed   atomic.Int64 // requests without an answer yet
	counts counts
	lasts  atomic.Int64 // the longest deadline of a class, in nanoseconds
	rests  atomic.Int64 // how long callers keep an idle connection, in nanoseconds
	up     atomic.Bool  // the runner has started at least once
	yields atomic.Bool  // a successor took over, so the module's draining state must not appear in health checks
	away   atomic.Bool  // an operator wants health checks to fail

	share func() float64 // capacity for downstream calls at present; nil: the value in the settings
	used  atomic.Uint64  // bits of the mean number of downstream calls in flight

	mu       sync.Mutex
	handlers map[policy.ID]*Handler
	byWire   map[string]*Handler
	lastID   policy.ID

	// Used by the goroutine of Run alone.
	set    policy.Settings
	class  map[string]policy.Class
	module *policy.Instance
	born   float64
	last   float64 // when the module was last called
	armed  bool    // a timer is set for the end of the tick
	batch  []event
	events []policy.Event
	keys   keyTable
}

// event is an inbox entry: an event for the module, or a request to the goroutine that owns the module.
type event struct {
	handler *Handler
	event   policy.Event // nil: the module is called without an event, for the passing of time
	notice  Notice       // the end of an attempt
	start   bool         // the runner has started
	anew    bool         // the runner was replaced by another one
	cold    bool
	drain   float64          // when the process will be stopped
	told    float64          // when the drain notice arrived
	set     *policy.Settings // settings to put into force
	call    func()
}

// New returns a Core, which serves once Run is called.
func New(clk *clock.Clock, log zerolog.Logger, set policy.Settings, seed uint64, runner Runner, below Downstream, ledger EffectLog) *Core {
	c := &Core{clock: clk, log: log, tick: clock.Millis(set.Tick), seed: seed, runner: runner, below: below,
		ledger: ledger, inbox: mailbox.New[event](), stop: make(chan struct{}), handlers: map[policy.ID]*Handler{},
		byWire: map[string]*Handler{}, keys: newKeyTable(clock.Millis(set.FreshFor), keyedRoom)}
	c.counts.of = map[string]*classCount{}
	c.adopt(set)
	if c.ledger == nil {
		c.ledger = newMemoryLedger(clk)
	}
	c.good.Store(true)
	c.say.Store(math.Float64bits(math.NaN()))
	return c
}

// Adopt puts settings into force that have passed the module's check. Open requests keep their class.
func (c *Core) Adopt(set policy.Settings) { c.inbox.Put(event{set: &set}) }

// SetDownstreamShareFunc replaces the downstream share of the settings by the result of a function, which is called before each call of
// the module and must not block. It must be set before Run.
func (c *Core) SetDownstreamShareFunc(share func() float64) { c.share = share }

// SetKeyTableBytes sets the memory limit for keyed attempts and their results, in bytes. It must be set before Run.
func (c *Core) SetKeyTableBytes(bytes int) { c.keys.room = bytes }

// DownstreamConcurrency returns the recent mean number of downstream calls in flight; 0 unless a share function is set.
func (c *Core) DownstreamConcurrency() float64 { return math.Float64frombits(c.used.Load()) }

// AfterPendingEvents runs a function on the goroutine of Run after all events that were sent before it, so that every later decision
// uses the settings and the share in force now. The function must not block.
func (c *Core) AfterPendingEvents(call func()) { c.inbox.Put(event{call: call}) }

func (c *Core) adopt(set policy.Settings) {
	c.set, c.class, c.keys.fresh = set, map[string]policy.Class{}, clock.Millis(set.FreshFor)
	lasts := time.Duration(0)
	for _, k := range set.Classes {
		c.class[k.Name] = k
		c.counts.add(k.Name)
		lasts = max(lasts, k.Deadline)
	}
	c.lasts.Store(int64(lasts))
	c.rests.Store(int64(set.Idle))
	if c.module == nil {
		return
	}
	if err := c.module.Adopt(set); err != nil {
		panic(err) // package config has validated the same settings
	}
}

// Open accepts a request. The answer function is called at most once, and not at all where the call of Gone is processed
// before there is an answer.
func (c *Core) Open(q *Request, answer func(Outcome)) *Handler {
	l := &Handler{core: c, req: q, box: mailbox.New[any](), reply: answer}
	c.mu.Lock()
	twin := c.byWire[q.ID] != nil
	if twin || len(c.handlers) >= mostOpen {
		c.mu.Unlock()
		// A duplicate ID and a request over the limit never reach the module: the first could run twice under one ID,
		// the second would take memory without a bound.
		if twin {
			l.answer(Outcome{Verdict: Failed})
		} else {
			l.answer(Outcome{Verdict: Refused, RetryAfterMS: ledgerPause})
		}
		return l
	}
	c.owed.Add(1)
	c.counts.active.Add(1)
	l.id, l.owed, l.counted = c.nextID(), true, true
	c.handlers[l.id], c.byWire[q.ID] = l, l
	c.mu.Unlock()
	go l.serve()
	return l
}

// nextID returns an ID that no open request has; 0 is reserved for none. The caller holds the lock.
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

func (c *Core) leave(l *Handler) {
	l.settle()
	pool.Put(l.req.Body) // the attempt has ended, and the runner has its own copy of anything it still sends
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.handlers, l.id)
	delete(c.byWire, l.req.ID)
}

// Owed returns the number of requests without an answer.
func (c *Core) Owed() int { return int(c.owed.Load()) }

// RunnerStarted reports that the runner has started, and whether it is cold.
func (c *Core) RunnerStarted(cold bool) {
	c.inbox.Put(event{start: true, cold: cold})
	c.up.Store(true)
}

// RunnerReplaced reports that the runner was replaced by another one, which has started, and whether that one is cold.
func (c *Core) RunnerReplaced(cold bool) { c.inbox.Put(event{anew: true, cold: cold}) }

// Ready reports whether requests can be served, that is, whether the runner has started at least once.
func (c *Core) Ready() bool { return c.up.Load() }

// Healthy reports whether health checks succeed, leaving aside an operator's order to fail them.
func (c *Core) Healthy() bool { return c.good.Load() }

// ForceUnhealthy makes health checks fail, or ends that, by an operator's order. Requests are served in either case.
func (c *Core) ForceUnhealthy(away bool) { c.away.Store(away) }

// Drain notifies the module that the process will be stopped at stopAt, and that the notice arrived at the time told.
func (c *Core) Drain(told, stopAt float64) { c.inbox.Put(event{drain: stopAt, told: told}) }

// Health answers a health check from the state that the module has set, or, for a deep check where the module permits
// it, by running a check through the runner.
func (c *Core) Health(deep bool, answer func(good bool)) {
	if c.away.Load() {
		answer(false)
		return
	}
	if deep && !c.shallow.Load() && c.runner.Diagnose(answer) {
		return
	}
	answer(c.good.Load())
}

// Hint returns the module's hint to callers, which is sent with every answer, and whether there is one.
func (c *Core) Hint() (float64, bool) {
	v := math.Float64frombits(c.say.Load())
	return v, !math.IsNaN(v)
}

// IdleCloseAfterMS returns the idle time after which connections are to be closed, in milliseconds; 0: callers close them.
func (c *Core) IdleCloseAfterMS() float64 { return clock.Millis(time.Duration(c.idle.Load())) }

// CallerIdleTimeout returns how long callers keep an idle connection; 0 if unknown.
func (c *Core) CallerIdleTimeout() time.Duration { return time.Duration(c.rests.Load()) }

// begin records a request in the effect log before it runs, and reports whether it may run. Safe requests need no record.
func (c *Core) begin(q *Request, k policy.Class) (bool, error) {
	if k.Safety == policy.Safe {
		return true, nil
	}
	ok, err := c.ledger.Begin(q.ID)
	if err != nil {
		c.log.Warn().Err(err).Str("id", q.ID).Msg("request not run: its effect could not be recorded")
	}
	return ok && err == nil, err
}

func (c *Core) tell(l *Handler, e policy.Event) { c.inbox.Put(event{handler: l, event: e}) }

// finish sends the end of an attempt; the result is kept where other requests may share it.
func (c *Core) finish(l *Handler, n Notice) {
	c.inbox.Put(event{handler: l, notice: n, event: policy.Finished{ID: l.id, Outcome: n.Outcome, Took: clock.Duration(n.TookMS)}})
}

// Stop ends Run.
func (c *Core) Stop() { close(c.stop) }

// Run owns the module. It calls the module with the events of the inbox, at most once a tick, and carries out its
// actions. Nothing in it waits for a socket.
func (c *Core) Run() {
	for {
		select {
		case <-c.stop:
			return
		case <-c.inbox.Ready:
		}
		now := c.clock.Now()
		c.last = min(c.last, now) // a clock that was set back must not stop the loop
		if rest := c.last + clock.Millis(c.set.Tick) - now; rest > 0 {
			if !c.armed {
				c.armed = true
				c.clock.After(rest, c.inbox.Poke)
			}
			continue
		}
		c.armed = false
		c.turn(now)
	}
}

// turn is one call of the module.
func (c *Core) turn(now float64) {
	c.batch = c.inbox.TakeAll(c.batch)
	c.events = c.events[:0]
	for _, e := range c.batch {
		switch {
		case e.start:
			c.start(now, e.cold)
		case e.anew:
			c.handle(now)
			if c.module != nil && e.cold { // a cold runner survives less load than a warm one
				c.log.Info().Msg("runner was replaced and is cold")
				c.module.Restarted(clock.Duration(now - c.born))
			}
		case e.set != nil:
			c.handle(now) // requests that arrived before the new settings keep their class
			c.adopt(*e.set)
		case e.call != nil:
			c.handle(now)
			e.call()
		case e.drain > 0:
			c.start(now, false)
			c.events = append(c.events, policy.DrainNotice{Left: clock.Duration(max(e.drain-now, 0)), Ago: clock.Duration(max(now-e.told, 0))})
		case e.event != nil:
			c.start(now, false) // requests are not expected before the runner starts, but must be answered if they come
			if ev := c.translate(now, e); ev != nil {
				c.events = append(c.events, ev)
			}
		}
	}
	if c.module == nil {
		return
	}
	c.last = now
	c.handle(now)
	for i, e := range c.batch {
		if _, left := e.event.(policy.CallerGone); left && !e.handler.begun {
			e.handler.box.Put(dismissed{})
		}
		pool.Put(e.notice.Body)
		c.batch[i] = event{}
	}
	c.keys.expire(now)
}

// handle calls the module with the events collected and carries out its actions.
func (c *Core) handle(now float64) {
	if c.module == nil {
		return
	}
	if c.share != nil { // read before each call of the module: an expired share must permit no further downstream call
		c.module.SetBelowShare(c.share())
		if inHand, span := c.module.BelowTime(); span > 0 {
			c.used.Store(math.Float64bits(inHand / span))
		}
	}
	for _, a := range c.module.Handle(clock.Duration(now-c.born), c.events) {
		c.act(now, a)
	}
	c.events = c.events[:0]
	clear(c.keys.claims)
}

func (c *Core) start(now float64, cold bool) {
	if c.module != nil {
		return
	}
	set := c.set
	set.JustStarted = set.JustStarted || cold
	m, err := policy.New(set, c.seed)
	if err != nil {
		panic(err) // package config has validated the same settings
	}
	c.module, c.born = m, now
	c.log.Info().Bool("cold", set.JustStarted).Msg("module started")
}

// translate completes an event from the request and the key table. It returns nil for a request that is answered here and
// that the module must not see.
func (c *Core) translate(now float64, e event) policy.Event {
	switch ev := e.event.(type) {
	case policy.Arrived:
		l, q := e.handler, e.handler.req
		l.class, l.known = c.class[q.Class] // not changed by later settings
		l.due = q.ArrivedAt + q.WaitMS
		if q.WaitMS == 0 {
			l.due = q.ArrivedAt + clock.Millis(l.class.Deadline)
		}
		ev.Class, ev.Caller, ev.KB, ev.Rank, ev.Key, ev.Resent = q.Class, q.Caller, q.KB, q.Rank, q.Key, q.Retry
		ev.Tenant, ev.Size = q.Tenant, clock.Duration(q.CostMS)
		ev.Waited = clock.Duration(max(now-q.ArrivedAt, 0))
		ev.Write = l.class.Safety != policy.Safe
		if l.class.Safety == policy.Keyed {
			// Limited to the class's deadline: the key table keeps attempts for the window plus that deadline.
			l.due = min(l.due, q.ArrivedAt+clock.Millis(l.class.Deadline))
			var same bool
			if ev.Original, ev.Repeats, same = c.keys.try(l); q.IdempotencyKey == "" || !same {
				c.log.Debug().Str("id", q.ID).Str("class", q.Class).Str("once", q.IdempotencyKey).
					Msg(`field "once" is missing or was used with another body: request failed without running`)
				l.box.Put(policy.Fail{})
				return nil
			}
		} else {
			if e := c.keys.tied(q); e != nil {
				// New settings have removed the class or made it not keyed, but an earlier attempt of this request ran. The
				// module would refuse this attempt or run it again.
				l.class, l.known = e.class, true
				if result, ok := e.served(c.keys.sum(q)); ok {
					l.begun = true
					l.box.Put(shared{ok: true, result: result})
				} else {
					l.box.Put(policy.Fail{})
				}
				return nil
			}
			ev.Original, ev.Repeats = c.keys.original(l, now)
		}
		if q.WaitMS > 0 {
			ev.Left = max(clock.Duration(l.due-now), earliest)
		}
		return ev
	case policy.Finished:
		c.keys.ended(ev, e.notice)
		return ev
	}
	return e.event
}

// act carries out one action of the module.
func (c *Core) act(now float64, a policy.Action) {
	switch a := a.(type) {
	case policy.Start:
		if l := c.handler(a.ID); l != nil {
			l.begun = true
			if !c.keys.mayBegin(l, now) {
				l.box.Put(full{})
			} else {
				l.box.Put(a)
			}
		}
	case policy.ShareResult:
		if l := c.handler(a.ID); l != nil {
			l.begun = true // the handler reports its end once it has the shared result
			result, ok := c.keys.result(l)
			l.box.Put(shared{ok: ok, result: result})
		}
	case policy.Refuse:
		c.order(a.ID, a)
	case policy.Fail:
		c.order(a.ID, a)
	case policy.CallOut:
		c.order(a.ID, a)
	case policy.SkipCall:
		c.order(a.ID, a)
	case policy.Remember:
		if l := c.handler(a.ID); l != nil {
			c.keys.remember(l, now+clock.Millis(a.Span))
		}
	case policy.Forget:
		c.keys.forget(a.ID)
	case policy.Health:
		if c.yields.Load() {
			return
		}
		c.shallow.Store(a.Shallow)
		if c.good.Swap(a.Good) != a.Good {
			c.log.Info().Bool("good", a.Good).Msg("health")
		}
	case policy.Advise:
		c.say.Store(math.Float64bits(a.Value))
	case policy.CloseIdle:
		c.idle.Store(int64(a.After))
	case policy.WakeAt:
		c.clock.After(c.born+clock.Millis(a.At)-now, func() { c.wake(a.Token) })
	case policy.Note:
		c.log.Info().Msg(a.Text)
	}
}

// wake calls the module at once, so that no due answer waits for the gauges, and sends the gauges once they are read.
func (c *Core) wake(token uint64) {
	c.inbox.Put(event{})
	c.runner.ReadGauges(func(gauges []float64) {
		c.inbox.Put(event{event: policy.Woke{Token: token, Gauges: gauges}})
	})
}

func (c *Core) handler(id policy.ID) *Handler {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.handlers[id]
}

func (c *Core) order(id policy.ID, a policy.Action) {
	if l := c.handler(id); l != nil {
		l.box.Put(a)
	}
}
