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
	mostOpen    = 4096    // open requests; the module bounds them by memory long before
	ledgerPause = 1000.0  // advice where the record of effects can't be kept, in milliseconds
	earliest    = 1       // the module takes a Left of 0 for 'not told', so what is overdue gets this
	keyedRoom   = 8 << 20 // bytes for the tries of keyed classes and their results, where nobody says how many
)

// Core owns the module's instance. One goroutine, Run, calls the module; handlers and fronts tell it what
// happened through the inbox and hear of its choices through their mailboxes.
type Core struct {
	clock  *clock.Clock
	log    zerolog.Logger
	seed   uint64
	tick   float64
	runner Runner
	below  Below
	ledger Ledger

	inbox *mailbox.Box[event]
	stop  chan struct{}

	// What the fronts read.
	shallow, good atomic.Bool
	say           atomic.Uint64 // bits of the value; NaN: none yet
	idle          atomic.Int64  // the module's wish to close idle connections, in nanoseconds; 0: none

	owed   atomic.Int64 // requests that still wait for their answer
	counts counts
	lasts  atomic.Int64 // the longest deadline of a class, in nanoseconds
	rests  atomic.Int64 // how long callers keep a connection that carries nothing, in nanoseconds
	up     atomic.Bool  // the runner was up once
	yields atomic.Bool  // a successor took over: the module's state of draining is no state of the server
	away   atomic.Bool  // operators want callers to stay away

	share func() float64 // what may be used below now; nil: what the settings say
	used  atomic.Uint64  // bits of what was used of it in the span of the rule

	mu       sync.Mutex
	handlers map[policy.ID]*Handler
	byWire   map[string]*Handler
	lastID   policy.ID

	// The owner's.
	set    policy.Settings
	class  map[string]policy.Class
	module *policy.Instance
	born   float64
	last   float64 // when the module was last called
	armed  bool    // a timer stands for the rest of the tick
	batch  []event
	events []policy.Event
	keys   keyTable
}

// event is one thing for the module, with what the owner needs besides.
type event struct {
	handler *Handler
	event   policy.Event // nil: only look at the time
	notice  Notice       // of a run's end
	start   bool         // the runner is up
	anew    bool         // it is another one than before
	cold    bool
	drain   float64          // when the process will be stopped
	told    float64          // when that was said
	set     *policy.Settings // in force from now on
	call    func()
}

// New makes a core; Run has to be called for it to serve.
func New(clk *clock.Clock, log zerolog.Logger, set policy.Settings, seed uint64, runner Runner, below Below, ledger Ledger) *Core {
	c := &Core{clock: clk, log: log, tick: clock.Millis(set.Tick), seed: seed, runner: runner, below: below,
		ledger: ledger, inbox: mailbox.New[event](), stop: make(chan struct{}), handlers: map[policy.ID]*Handler{},
		byWire: map[string]*Handler{}, keys: newKeyTable(clock.Millis(set.SharedResultTTL), keyedRoom)}
	c.counts.of = map[string]*classCount{}
	c.adopt(set)
	if c.ledger == nil {
		c.ledger = newMemoryLedger(clk)
	}
	c.good.Store(true)
	c.say.Store(math.Float64bits(math.NaN()))
	return c
}

// Adopt puts other settings into force, which have passed the module's check. Open requests keep their class.
func (c *Core) Adopt(set policy.Settings) { c.inbox.Put(event{set: &set}) }

// Divide lets another than the settings say what may be used below; it is asked before each choice, and must not wait.
// To be called before Run.
func (c *Core) Divide(share func() float64) { c.share = share }

// Room sets how many bytes the tries of keyed classes and their results may take. To be called before Run.
func (c *Core) Room(bytes int) { c.keys.room = bytes }

// Below is what was used below of late, in calls in hand; 0 where nothing divides.
func (c *Core) Below() float64 { return math.Float64frombits(c.used.Load()) }

// Then calls back, on the owner's goroutine, once every choice rests on what is in force now. It must not wait.
func (c *Core) Then(call func()) { c.inbox.Put(event{call: call}) }

func (c *Core) adopt(set policy.Settings) {
	c.set, c.class, c.keys.fresh = set, map[string]policy.Class{}, clock.Millis(set.SharedResultTTL)
	lasts := time.Duration(0)
	for _, k := range set.Classes {
		c.class[k.Name] = k
		c.counts.add(k.Name)
		lasts = max(lasts, k.Deadline)
	}
	c.lasts.Store(int64(lasts))
	c.rests.Store(int64(set.IdleTimeout))
	if c.module == nil {
		return
	}
	if err := c.module.UpdateSettings(set); err != nil {
		panic(err) // config has tried the same settings
	}
}

// Open takes a request in. answer is called once at most, and not after Gone was heard in time.
func (c *Core) Open(q *Request, answer func(Outcome)) *Handler {
	l := &Handler{core: c, req: q, box: mailbox.New[any](), reply: answer}
	c.mu.Lock()
	twin := c.byWire[q.ID] != nil
	if twin || len(c.handlers) >= mostOpen {
		c.mu.Unlock()
		// Guards against a second run under one id, and against memory: neither ever gets to the module.
		if twin {
			l.answer(Outcome{Verdict: Failed})
		} else {
			l.answer(Outcome{Verdict: Refused, After: ledgerPause})
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

func (c *Core) leave(l *Handler) {
	l.settle()
	pool.Put(l.req.Body) // whatever ran has ended, and the runner has copied what it still sends
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.handlers, l.id)
	delete(c.byWire, l.req.ID)
}

// Owed counts the requests that still wait for their answer.
func (c *Core) Owed() int { return int(c.owed.Load()) }

// Up tells that the runner is up, and whether it started cold.
func (c *Core) Up(cold bool) {
	c.inbox.Put(event{start: true, cold: cold})
	c.up.Store(true)
}

// Anew tells that another runner has taken the place of the one before; it is up.
func (c *Core) Anew(cold bool) { c.inbox.Put(event{anew: true, cold: cold}) }

// Ready tells whether requests can be served: the runner was up once.
func (c *Core) Ready() bool { return c.up.Load() }

// Good tells whether checks would get a good answer, operators' orders aside.
func (c *Core) Good() bool { return c.good.Load() }

// Away answers checks with a bad state, or no longer does, by an operator's order; what comes is served all the same.
func (c *Core) Away(away bool) { c.away.Store(away) }

// Drain tells the module that the process will be stopped at that time, and when it was told so.
func (c *Core) Drain(told, stopAt float64) { c.inbox.Put(event{drain: stopAt, told: told}) }

// Health answers a check: from the module's setting, or where that says so by real work.
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

// Say is the free value that goes with every answer.
func (c *Core) Say() (float64, bool) {
	v := math.Float64frombits(c.say.Load())
	return v, !math.IsNaN(v)
}

// CloseIdle is the span in milliseconds after which idle connections are to be closed; 0: the callers do it.
func (c *Core) CloseIdle() float64 { return clock.Millis(time.Duration(c.idle.Load())) }

// Rests is how long callers keep a connection that carries nothing; 0: not told.
func (c *Core) Rests() time.Duration { return time.Duration(c.rests.Load()) }

// begin records an effect before its run.
func (c *Core) begin(q *Request, k policy.Class) (bool, error) {
	if k.Safety == policy.Safe {
		return true, nil
	}
	ok, err := c.ledger.Begin(q.ID)
	if err != nil {
		c.log.Warn().Err(err).Str("id", q.ID).Msg("effect not recorded, so not run")
	}
	return ok && err == nil, err
}

func (c *Core) tell(l *Handler, e policy.Event) { c.inbox.Put(event{handler: l, event: e}) }

// finish tells the end of a run; the owner keeps the result where others may share it.
func (c *Core) finish(l *Handler, n Notice) {
	c.inbox.Put(event{handler: l, notice: n, event: policy.Finished{ID: l.id, Outcome: n.Outcome, Duration: clock.Duration(n.Took)}})
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
		c.last = min(c.last, now) // a clock that was set back must not stop us
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
	c.batch = c.inbox.Take(c.batch)
	c.events = c.events[:0]
	for _, e := range c.batch {
		switch {
		case e.start:
			c.start(now, e.cold)
		case e.anew:
			c.handle(now)
			if c.module != nil && e.cold { // it survives less than the one before, which may have been warm
				c.log.Info().Msg("cold again")
				c.module.Restarted(clock.Duration(now - c.born))
			}
		case e.set != nil:
			c.handle(now) // what came before keeps its class
			c.adopt(*e.set)
		case e.call != nil:
			c.handle(now)
			e.call()
		case e.drain > 0:
			c.start(now, false)
			c.events = append(c.events, policy.DrainNotice{TimeLeft: clock.Duration(max(e.drain-now, 0)), Age: clock.Duration(max(now-e.told, 0))})
		case e.event != nil:
			c.start(now, false) // nothing comes before the runner is up, but if it does it must be answered
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

// handle calls the module for the events so far.
func (c *Core) handle(now float64) {
	if c.module == nil {
		return
	}
	if c.share != nil { // looked at before each choice: one that ran out must carry no further call
		c.module.SetDownstreamShare(c.share())
		if inHand, span := c.module.DownstreamTime(); span > 0 {
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
		panic(err) // config has tried the same settings
	}
	c.module, c.born = m, now
	c.log.Info().Bool("cold", set.JustStarted).Msg("module started")
}

// translate completes an event with what only the owner knows; nil: the module is not to hear of it.
func (c *Core) translate(now float64, e event) policy.Event {
	switch ev := e.event.(type) {
	case policy.Arrived:
		l, q := e.handler, e.handler.req
		l.class, l.known = c.class[q.Class] // for good, whatever settings come
		l.due = q.At + q.Wait
		if q.Wait == 0 {
			l.due = q.At + clock.Millis(l.class.Deadline)
		}
		ev.Class, ev.Caller, ev.KB, ev.Rank, ev.Key, ev.IsRetry = q.Class, q.From, q.KB, q.Rank, q.Key, q.Retry
		ev.Tenant, ev.Size = q.For, clock.Duration(q.Cost)
		ev.Waited = clock.Duration(max(now-q.At, 0))
		ev.Write = l.class.Safety != policy.Safe
		if l.class.Safety == policy.Keyed {
			// No longer than its client waits in all: so long its other tries are remembered past the window.
			l.due = min(l.due, q.At+clock.Millis(l.class.Deadline))
			var same bool
			if ev.Original, ev.HasOriginal, same = c.keys.try(l); q.Once == "" || !same {
				c.log.Debug().Str("id", q.ID).Str("class", q.Class).Str("once", q.Once).
					Msg(`field "once" is missing, or stood with another body before: failed unrun`)
				l.box.Put(policy.Fail{})
				return nil
			}
		} else {
			if e := c.keys.tied(q); e != nil {
				// New settings have its class no more, or tie its tries no more; what one of them did still holds. The
				// module would refuse this one, or run it.
				l.class, l.known = e.class, true
				if result, ok := e.served(c.keys.sum(q)); ok {
					l.begun = true
					l.box.Put(shared{ok: true, result: result})
				} else {
					l.box.Put(policy.Fail{})
				}
				return nil
			}
			ev.Original, ev.HasOriginal = c.keys.original(l, now)
		}
		if q.Wait > 0 {
			ev.TimeLeft = max(clock.Duration(l.due-now), earliest)
		}
		return ev
	case policy.Finished:
		c.keys.ended(ev, e.notice)
		return ev
	}
	return e.event
}

// act passes one choice of the module on.
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
			l.begun = true // its end is told by the share
			result, ok := c.keys.result(l)
			l.box.Put(shared{ok: ok, result: result})
		}
	case policy.Refuse:
		c.order(a.ID, a)
	case policy.Fail:
		c.order(a.ID, a)
	case policy.MakeCall:
		c.order(a.ID, a)
	case policy.SkipCall:
		c.order(a.ID, a)
	case policy.StoreKey:
		if l := c.handler(a.ID); l != nil {
			c.keys.remember(l, now+clock.Millis(a.TTL))
		}
	case policy.DeleteKey:
		c.keys.forget(a.ID)
	case policy.Health:
		if c.yields.Load() {
			return
		}
		c.shallow.Store(a.Shallow)
		if c.good.Swap(a.Healthy) != a.Healthy {
			c.log.Info().Bool("good", a.Healthy).Msg("health")
		}
	case policy.SetHint:
		c.say.Store(math.Float64bits(a.Value))
	case policy.CloseIdle:
		c.idle.Store(int64(a.After))
	case policy.SetTimer:
		c.clock.After(c.born+clock.Millis(a.At)-now, func() { c.wake(a.Token) })
	case policy.LogLine:
		c.log.Info().Msg(a.Text)
	}
}

// wake looks at the time at once, so that no due answer waits for the gauges, and hands these in once read.
func (c *Core) wake(token uint64) {
	c.inbox.Put(event{})
	c.runner.Meter(func(gauges []float64) {
		c.inbox.Put(event{event: policy.TimerFired{Token: token, Gauges: gauges}})
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
