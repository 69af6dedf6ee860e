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
	defaultMaxOpen       = 4096    // default of open requests
	refusalRetryAfterMS  = 1000.0  // retry-after of refusals made by this package, in milliseconds
	minTimeLeft          = 1       // nanoseconds; for overdue requests, since the module reads a TimeLeft of 0 as unknown
	defaultKeyTableBytes = 8 << 20 // default memory for keyed attempts and their results, in bytes
)

// Core owns the instance of the policy module. One goroutine, Run, calls the module. Handlers and fronts send events to
// it through the inbox, and handlers receive the module's decisions through inboxes of their own.
type Core struct {
	clock      *clock.Clock
	log        zerolog.Logger
	seed       uint64
	tickMS     float64
	runner     Runner
	downstream Downstream
	effectLog  EffectLog

	inbox       *mailbox.Box[event]
	stop        chan struct{}
	stopReached chan struct{} // closed once the module has given its last answers before the stop

	// Read by the fronts.
	shallow, healthy atomic.Bool
	hint             atomic.Uint64 // bits of a float64; NaN before the first value
	idleCloseAfter   atomic.Int64  // idle time after which the module wants connections closed, in nanoseconds; 0: none

	unanswered        atomic.Int64 // requests without an answer yet
	counts            counts
	longestDeadline   atomic.Int64 // the longest deadline of a class, in nanoseconds
	callerIdleTimeout atomic.Int64 // how long callers keep an idle connection, in nanoseconds
	runnerStarted     atomic.Bool  // the runner has started at least once
	yielding          atomic.Bool  // a successor took over; health checks must not show the module's draining state
	forcedUnhealthy   atomic.Bool  // an operator wants health checks to fail

	downstreamShare       func() float64 // capacity for downstream calls at present; nil: the value in the settings
	downstreamConcurrency atomic.Uint64  // bits of the mean number of downstream calls in flight

	mu          sync.Mutex
	maxOpen     int // open requests
	handlers    map[policy.ID]*Handler
	byRequestID map[string]*Handler
	lastID      policy.ID

	// Used by the goroutine of Run alone.
	settings        policy.Settings
	classes         map[string]policy.Class
	module          *policy.Instance
	moduleStartedAt float64
	lastCall        float64 // when the module was last called
	tickTimerSet    bool    // a timer is set for the end of the tick
	batch           []event
	events          []policy.Event
	keys            keyTable
	replacement     replacement
	limitPeers      []*limitPeer

	lastPeer atomic.Uint32 // the last policy.PeerID given
	hasPeers atomic.Bool   // there are limitPeers
}

// event is an inbox entry, either an event for the module or a request to the goroutine that owns the module.
type event struct {
	handler        *Handler
	event          policy.Event // nil: the module is called without an event, for the passing of time
	notice         Notice       // the end of an attempt
	runnerStarted  bool         // the runner has started
	runnerReplaced bool         // the runner was replaced by another one
	cold           bool
	stopAt         float64          // when the process will be stopped
	noticedAt      float64          // when the drain notice arrived
	settings       *policy.Settings // settings to apply
	callback       func()
}

// New returns a Core, which serves once Run is called.
func New(clk *clock.Clock, log zerolog.Logger, settings policy.Settings, seed uint64, runner Runner, downstream Downstream,
	effectLog EffectLog) *Core {
	c := &Core{clock: clk, log: log, tickMS: clock.Millis(settings.Tick), seed: seed, runner: runner, downstream: downstream,
		effectLog: effectLog, inbox: mailbox.New[event](), stop: make(chan struct{}), stopReached: make(chan struct{}), maxOpen: defaultMaxOpen, handlers: map[policy.ID]*Handler{},
		byRequestID: map[string]*Handler{}, keys: newKeyTable(clock.Millis(settings.SharedResultTTL), defaultKeyTableBytes),
		replacement: replacement{claims: map[string]PeerLink{}}}
	c.counts.byClass = map[string]*classCounts{}
	c.adopt(settings)
	if c.effectLog == nil {
		c.effectLog = newMemoryEffectLog(clk)
	}
	c.healthy.Store(true)
	c.hint.Store(math.Float64bits(math.NaN()))
	return c
}

// Adopt applies settings that have passed the module's check. Open requests keep their class.
func (c *Core) Adopt(settings policy.Settings) { c.inbox.Put(event{settings: &settings}) }

// SetDownstreamShareFunc replaces the downstream share of the settings by the result of a function, which is called
// before each call of the module and must not block. It must be set before Run.
func (c *Core) SetDownstreamShareFunc(share func() float64) { c.downstreamShare = share }

// SetKeyTableBytes sets the memory limit for keyed attempts and their results, in bytes. It must be set before Run.
func (c *Core) SetKeyTableBytes(bytes int) { c.keys.maxBytes = bytes }

// SetMaxOpenRequests sets the limit on open requests. It must be set before Run.
func (c *Core) SetMaxOpenRequests(limit int) { c.maxOpen = limit }

// OpenRequestsOfCaller returns how many requests one of several callers may have open at present, at most most. Once half of the
// limit is in use, the callers share the other half, so that none takes the place of all others.
func (c *Core) OpenRequestsOfCaller(callers, most int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.handlers) < c.maxOpen/2 {
		return most
	}
	return min(max(c.maxOpen/2/max(callers, 1), 1), most)
}

// DownstreamConcurrency returns the recent mean number of downstream calls in flight; 0 unless a share function is set.
func (c *Core) DownstreamConcurrency() float64 {
	return math.Float64frombits(c.downstreamConcurrency.Load())
}

// AfterPendingEvents runs a function on the goroutine of Run after all events that were sent before it, so that every
// later decision uses the settings and the share that apply at the time of the call. The function must not block.
func (c *Core) AfterPendingEvents(call func()) { c.inbox.Put(event{callback: call}) }

func (c *Core) adopt(settings policy.Settings) {
	c.settings, c.classes, c.keys.freshMS = settings, map[string]policy.Class{}, clock.Millis(settings.SharedResultTTL)
	longest := time.Duration(0)
	for _, class := range settings.Classes {
		c.classes[class.Name] = class
		c.counts.add(class.Name)
		longest = max(longest, class.Deadline)
	}
	c.longestDeadline.Store(int64(longest))
	c.callerIdleTimeout.Store(int64(settings.IdleTimeout))
	if c.module == nil {
		return
	}
	if err := c.module.UpdateSettings(settings); err != nil {
		panic(err) // package config has validated the same settings
	}
}

// Open accepts a request. The answer function is called at most once, and not at all if Handler.CallerGone is processed
// before there is an answer.
func (c *Core) Open(q *Request, answer func(Outcome)) *Handler {
	h := &Handler{core: c, request: q, inbox: mailbox.New[any](), reply: answer}
	c.mu.Lock()
	duplicate := c.byRequestID[q.ID] != nil
	if duplicate || len(c.handlers) >= c.maxOpen {
		c.mu.Unlock()
		// A duplicate ID and a request over the limit never reach the module: the first could run twice under one ID,
		// the second would take memory without a bound.
		if duplicate {
			h.answer(Outcome{Verdict: Failed})
		} else {
			c.Refuse(q, refusalRetryAfterMS, h.answer)
		}
		return h
	}
	c.unanswered.Add(1)
	c.counts.active.Add(1)
	h.id, h.countedUnanswered, h.countedActive = c.nextID(), true, true
	c.handlers[h.id], c.byRequestID[q.ID] = h, h
	c.mu.Unlock()
	c.send(h, policy.Arrived{ID: h.id}) // here and not by the handler, so that arrivals keep the order of their reading
	go h.serve()
	return h
}

// Refuse answers a request that is not accepted, since there are too many others, and advises a wait in milliseconds before a
// retry. A refusal says that nothing ran, so a request with an idempotency key is refused only if no other attempt of it can
// have run; its answer function is called later, on another goroutine.
func (c *Core) Refuse(q *Request, retryAfterMS float64, answer func(Outcome)) {
	refusal := Outcome{Verdict: Refused, RetryAfterMS: retryAfterMS}
	if q.IdempotencyKey == "" {
		answer(refusal)
		return
	}
	c.AfterPendingEvents(func() {
		outcome := c.outcomeOfOtherAttempt(q, refusal)
		go answer(outcome) // it may wait for a slow caller
	})
}

// outcomeOfOtherAttempt returns the result of another attempt of a request, or a failure if one may have run or may still run, or
// else the given refusal.
func (c *Core) outcomeOfOtherAttempt(q *Request, refusal Outcome) Outcome {
	e := c.keys.findKeyed(q)
	if e == nil && !c.otherProcessMayHaveRun(q, c.clock.Now()) {
		return refusal
	}
	if e != nil {
		if result, ok := e.resultFor(c.keys.hashBody(q)); ok {
			return Outcome{Verdict: Served, Result: result}
		}
	}
	return Outcome{Verdict: Failed}
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

func (c *Core) handlerOf(id policy.ID) *Handler {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.handlers[id]
}

func (c *Core) handlerOfRequest(requestID string) *Handler {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.byRequestID[requestID]
}

func (c *Core) remove(h *Handler) {
	h.markAnswered()
	pool.Put(h.request.Body) // the attempt has ended, and the runner has its own copy of anything it still sends
	c.mu.Lock()
	delete(c.handlers, h.id)
	delete(c.byRequestID, h.request.ID)
	whenEnded := h.whenEnded
	c.mu.Unlock()
	if whenEnded != nil {
		whenEnded()
	}
}

// Unanswered returns the number of requests without an answer.
func (c *Core) Unanswered() int { return int(c.unanswered.Load()) }

// RunnerStarted reports that the runner has started, and whether it is cold.
func (c *Core) RunnerStarted(cold bool) {
	c.inbox.Put(event{runnerStarted: true, cold: cold})
	c.runnerStarted.Store(true)
}

// RunnerReplaced reports that the runner was replaced by another one, which has started, and whether that one is cold.
func (c *Core) RunnerReplaced(cold bool) { c.inbox.Put(event{runnerReplaced: true, cold: cold}) }

// Ready reports whether requests can be served, that is, whether the runner has started at least once.
func (c *Core) Ready() bool { return c.runnerStarted.Load() }

// Healthy reports whether health checks succeed, leaving aside an operator's order to fail them.
func (c *Core) Healthy() bool { return c.healthy.Load() }

// ForceUnhealthy makes health checks fail, or ends that, by an operator's order. Requests are served in either case.
func (c *Core) ForceUnhealthy(forced bool) { c.forcedUnhealthy.Store(forced) }

// Drain notifies the module that the process will be stopped at stopAt, and that the notice arrived at noticedAt.
func (c *Core) Drain(noticedAt, stopAt float64) {
	c.inbox.Put(event{stopAt: stopAt, noticedAt: noticedAt})
}

// Health answers a health check from the state that the module has set, or, for a deep check where the module permits
// it, by running a check through the runner.
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

// Hint returns the module's hint to callers, which is sent with every answer, and whether there is one.
func (c *Core) Hint() (float64, bool) {
	v := math.Float64frombits(c.hint.Load())
	return v, !math.IsNaN(v)
}

// IdleCloseAfterMS returns the idle time after which connections are to be closed, in milliseconds; 0: callers close them.
func (c *Core) IdleCloseAfterMS() float64 {
	return clock.Millis(time.Duration(c.idleCloseAfter.Load()))
}

// CallerIdleTimeout returns how long callers keep an idle connection; 0 if unknown.
func (c *Core) CallerIdleTimeout() time.Duration { return time.Duration(c.callerIdleTimeout.Load()) }

func (c *Core) send(h *Handler, e policy.Event) { c.inbox.Put(event{handler: h, event: e}) }

// sendEnd sends the end of an attempt; the result is kept where other requests may share it.
func (c *Core) sendEnd(h *Handler, n Notice) {
	c.inbox.Put(event{handler: h, notice: n, event: policy.Finished{ID: h.id, Outcome: n.Outcome, Duration: clock.Duration(n.TookMS)}})
}

// Stop ends Run.
func (c *Core) Stop() { close(c.stop) }
