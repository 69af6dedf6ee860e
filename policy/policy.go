// Package policy decides, within one server, which requests are admitted, run and refused. "The paper" is
// "Profit-driven Service Differentiation in Transient Environments". api.go has the interface.
package policy

import (
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"time"
)

// Parameters of the mechanism. Each is a share, a count or a time that applies to any site.
const (
	gaugeEvery    = 20 * time.Millisecond // polling of the gauges, which average over 500 ms
	windowSpan    = time.Second / 2       // monitoring window
	dropTolerance = 0.2                   // delta of the paper: noise of a ratio in one window
	allowanceStep = 1                     // incr of the paper
	allowanceMax  = 32                    // bounds a round, so that recovery takes few windows
	busyHigh      = 0.95                  // further starts pause from this share of busy cores
	busyLow       = 0.80                  // and resume below this share
	floorPerCore  = 1.0                   // runs per core below which starts never pause
	crowdShare    = 0.7                   // used part of the concurrency that a server survives
	memoryShare   = 0.92                  // used part of the memory
	firstGuess    = 6                     // first estimate of a run: the tightest aim over this
	outlierMost   = 5                     // a run counts for this many times the mean at most
	learnRate     = 0.1                   // weight of a new sample of a run
	forgetRate    = 0.8                   // reduces an estimate that refused everything, to test it
	lateMargin    = 1.0                   // hopeless: less time left than this many estimated runs
	doubtMargin   = 2.5                   // doubtful: less than this many; refused if others wait
	stopMargin    = 60 * time.Millisecond // all requests are answered this long before the stop
	callTries     = 8                     // attempts of a call that provably did not run
	callBackoff   = 30 * time.Millisecond // first wait between such attempts; doubles
	pauseShare    = 0.25                  // longest wait advised, as a part of MaxRetryAfter
	pauseLeast    = 20 * time.Millisecond // shortest wait advised: a few runs have ended by then
	unreadMost    = 0.8                   // part of the tightest aim that requests may wait unread
	skipAfter     = 0.5                   // an optional call may take this part of the time left
	breakAfter    = 5                     // consecutive failed calls that open the breaker
	shedAbove     = 0.05                  // refused share above which callers shed load
	shedGain      = 0.5                   // part of the refused share that is shed in addition
	shedBack      = 0.05                  // decrease of the shed share per window without refusals
	holdPerCore   = 1.5                   // queued requests per core
	creditPerCore = 6.0                   // requests per core granted to callers while they shed
	shedMost      = 0.65                  // some traffic must arrive, or nothing would be learned
	fullWaitShare = 0.95                  // a wait below this part of the longest is that of a retry
	retriesMany   = 0.2                   // share of retries that shows an overloaded fleet
	retriesMost   = 0.4                   // and, if much is shed here too, no capacity for retries
	keepOld       = 0.7                   // weight of earlier traffic, per window
	readMany      = 0.2                   // share of reading in request time: refusals are costly
	gapMost       = 5 * time.Second       // mean gap of a caller that justifies an open connection
	idleLeast     = time.Second           // shortest idle timeout; busier callers stay connected
	breakSpan     = time.Second           // how long the breaker is open before one call probes it
	belowPart     = 0.8                   // used part of the share of downstream calls
	skipPatience  = 8                     // an optional call may take this many mean call times
	callParts     = 21                    // buckets of call time; one more than the period needs
	needyMargin   = 2                     // required calls reserve this many times their mean need,
	needyMost     = 0.5                   // as counts are small, and at most this part of the time
	callPatience  = 4                     // a call needs time for this many mean call times
)

// before is the order within a class: smallest size first, then earliest aim. Requests of unknown size are
// ordered by aim alone.
func before(a, b *request) bool {
	if a.Size != b.Size {
		return a.Size < b.Size
	}
	if a.aim != b.aim {
		return a.aim < b.aim
	}
	return a.seq < b.seq
}

func sooner(a, b moment) bool { return a.at < b.at || a.at == b.at && a.seq < b.seq }

// New validates the settings and returns an instance. The same seed and events give the same actions.
func New(set Settings, seed uint64) (*Instance, error) {
	if err := check(set); err != nil {
		return nil, err
	}
	n := &Instance{rng: rand.New(rand.NewPCG(seed, 0)), requests: map[ID]*request{}, runnable: -1,
		callRun: float64(callBackoff), line: orderedHeap[moment]{less: sooner}}
	n.unreadMost = unreadMost * (1 + n.rng.Float64()) / 2
	n.adopt(set)
	return n, nil
}

// UpdateSettings replaces the settings. Open requests keep the class settings that they arrived with.
func (n *Instance) UpdateSettings(set Settings) error {
	if err := check(set); err != nil {
		return err
	}
	set.JustStarted = n.set.JustStarted // new settings do not make the machine cold
	n.adopt(set)
	return nil
}

func (n *Instance) adopt(set Settings) {
	n.set = set
	n.tightest = set.Classes[0].Aim
	for _, c := range set.Classes {
		n.tightest = min(n.tightest, c.Aim)
	}
	old := n.byName
	n.byName = map[string]*class{}
	for _, told := range set.Classes {
		c := old[told.Name]
		if was := c; was == nil || was.Class != told {
			guess := float64(n.tightest) / firstGuess
			c = &class{Class: told, run: guess, size: guess, queue: orderedHeap[*request]{less: before}}
			if was != nil { // what was learned of the work stays valid
				c.run, c.size, c.samples = was.run, was.size, was.samples
			}
		}
		n.byName[told.Name] = c
		if !slices.Contains(n.classes, c) {
			n.classes = append(n.classes, c)
		}
	}
	// Worth is per unit of work if WorthByWork is set. All classes start with the same mean size, so that the
	// tighter aim is the tighter slowdown.
	sort.SliceStable(n.classes, func(i, j int) bool {
		a, b := n.classes[i], n.classes[j]
		if a.Worth != b.Worth {
			return a.Worth > b.Worth
		}
		return a.Aim < b.Aim
	})
	for _, c := range n.classes {
		least := max(n.classes[len(n.classes)-1].Worth, 1/math.MaxFloat64)
		c.allowance = int(min(max(math.Round(c.Worth/least), 1), allowanceMax))
	}
}

// Handle processes the events of one instant and returns the actions in order. The slice is valid until the
// next call. If now goes backwards, the previous time is used.
func (n *Instance) Handle(now time.Duration, events []Event) []Action {
	n.out = n.out[:0]
	if !n.begun {
		n.begun, n.now, n.born, n.coldFrom = true, now, now, now
		n.windowEnd = now + windowSpan
		n.do(Health{Shallow: true, Healthy: true}) // health checks must not use a core or call downstream
	}
	n.now = max(n.now, now)
	for _, e := range events {
		n.take(e)
	}
	for _, r := range n.arrivals {
		r.first = n.requests[r.Original] // before any of the batch is rejected and removed
	}
	for _, r := range n.arrivals {
		n.admit(r)
	}
	n.arrivals = n.arrivals[:0]
	if n.draining && n.now >= n.stopAt {
		n.answerAll()
	}
	n.runTimeline()
	if n.now >= n.windowEnd {
		n.endWindow()
	}
	n.startHeld()
	n.guardHold()
	n.wake()
	return n.out
}

func (n *Instance) do(a Action) { n.out = append(n.out, a) }

func (n *Instance) take(e Event) {
	switch e := e.(type) {
	case Arrived:
		n.arrive(e)
	case Finished:
		n.finish(e)
	case CallNeeded:
		if r := n.requests[e.ID]; r != nil && r.state == running {
			r.state, r.tries = calling, 0
			n.calling++
			n.moved--
			n.call(r)
		}
	case CallReturned:
		n.returned(e)
	case CallerGone:
		n.gone(e.ID)
	case DrainNotice:
		if !n.draining {
			n.draining, n.drainFrom = true, n.now-e.Age
			n.do(Health{Shallow: true})
		}
		n.stopAt = n.now + e.TimeLeft - max(stopMargin, 3*n.set.Tick)
	case TimerFired:
		n.reading(e)
	}
}

// arrive registers a request; admit decides on it once all events of the batch are known.
func (n *Instance) arrive(e Arrived) {
	if _, known := n.requests[e.ID]; known {
		return
	}
	c := n.byName[e.Class]
	if c == nil {
		n.do(Refuse{ID: e.ID}) // unknown class: it never ran, so a refusal is safe
		return
	}
	n.seq++
	r := &request{Arrived: e, class: c, seq: n.seq, reached: n.now - max(e.Waited, 0)}
	r.due = r.reached + c.Deadline
	if e.TimeLeft > 0 {
		r.due = n.now + e.TimeLeft
	}
	r.due = max(r.due, n.now)
	r.size = c.size
	if e.Size > 0 {
		r.size = float64(e.Size)
	}
	aim := float64(c.Aim) + c.AimStretch*r.size
	r.aim = min(r.reached+time.Duration(min(aim, float64(max(c.Deadline, c.Aim)))), r.due)
	c.seen++
	n.recent.arrived++
	n.recent.reading += float64(n.now - r.reached)
	if c.MayCall && c.SkipWorth == 0 {
		n.recent.needy++
	}
	c.fullWait = max(c.fullWait, e.TimeLeft+max(e.Waited, 0))
	shorter := e.TimeLeft > 0 && float64(e.TimeLeft+max(e.Waited, 0)) < float64(c.fullWait)*fullWaitShare
	// Where retries are marked, a short wait proves nothing, since clients differ in how long they wait.
	if e.IsRetry || shorter && !n.set.MarksRetry {
		n.recent.resent++
		r.again = true
	}
	n.memory += e.KB
	n.requests[e.ID] = r
	n.arrivals = append(n.arrivals, r)
}

// admit resolves a repeat or enqueues the request.
func (n *Instance) admit(r *request) {
	if r.state != fresh {
		return
	}
	if r.HasOriginal && n.settleRepeat(r) {
		return
	}
	n.hold(r)
}

func (n *Instance) hold(r *request) {
	// A retry has used up an unknown part of its aim. While reading takes much of the cores, which causes
	// many retries, first attempts take precedence, or a retry storm would sustain itself.
	old := r.again && n.short() && n.held > 2
	if old || n.tooLateToStart(r) || n.now >= r.due-n.set.Tick {
		n.turnAway(r)
		return
	}
	r.state = held
	n.held++
	n.remember(r)
	r.class.queue.push(r)
	n.watch(r)
	n.guardMemory()
}

// tooLateToStart says that a request arrived after the drain grace, or that the stop is due: it never runs.
func (n *Instance) tooLateToStart(r *request) bool {
	return n.draining && (r.reached > n.drainFrom+n.set.DrainGrace || n.now >= n.stopAt)
}

// settleRepeat handles a repeat of an earlier request; false: it is to be enqueued like any other.
func (n *Instance) settleRepeat(r *request) bool {
	o := r.first
	for o != nil && o != r && o.heir != nil {
		o = o.heir // an earlier one of this batch replaced it
	}
	if o == r {
		o = nil
	}
	if r.class.Safety == Safe {
		return n.settleShared(r, o)
	}
	// A repeat must not cause a second effect. An attempt that is still queued is replaced by the newer one,
	// since its caller has moved on. A request that ran, or of which nothing is known, is not run again, and
	// its repeat is not refused, because a refusal says that nothing ran.
	r.repeat = o == nil || o.repeat || o.ran
	switch {
	case o != nil && o.repeat && o.lead != nil:
		n.follow(r, o.lead)
	case o != nil && (o.state == running || o.state == calling):
		n.follow(r, o)
	case o == nil || o.ran && o.good || o.repeat && o.state != over:
		n.share(r)
	case r.repeat:
		n.turnAway(r)
	case o.state == over:
		return false
	case o.seq > r.seq:
		n.turnAway(r)
	default:
		n.turnAway(o)
		o.heir = r
		return false
	}
	return true
}

// settleShared coalesces a safe request with an equal one, or shares the result of that while it is fresh.
func (n *Instance) settleShared(r, o *request) bool {
	if o == nil || n.tooLateToStart(r) {
		return false
	}
	if o.lead != nil {
		o = o.lead
	}
	switch {
	case o.state == held || o.state == running || o.state == calling:
		n.follow(r, o)
		return true
	case o.state == over && o.good && n.now-o.ended <= n.set.SharedResultTTL:
		n.share(r)
		return true
	}
	return false
}

func (n *Instance) follow(r, o *request) {
	r.state, r.lead = following, o
	o.tail = append(o.tail, r)
	n.watch(r)
}

func (n *Instance) share(r *request) {
	r.state = replaying
	n.do(ShareResult{ID: r.ID})
	n.watch(r)
}

// remember adds a request to the key table when it is enqueued, not when it starts: of two queued attempts
// without an entry both would run. A keyed entry is valid until its KeyTTL has passed.
func (n *Instance) remember(r *request) {
	c := r.class
	span := r.due - n.now
	switch {
	case c.Safety == Keyed:
		span = max(span, r.reached+c.KeyTTL-n.now) + 2*n.set.Tick
	case c.Safety == Safe && n.set.SharedResultTTL > 0 && r.Key != "" && !r.Write:
		span += n.set.SharedResultTTL
	default:
		return
	}
	r.stored = true
	n.memory += n.set.EntryKB
	n.do(StoreKey{ID: r.ID, TTL: span})
	n.at(moment{at: n.now + span, r: r, entry: true})
}

func (n *Instance) dropEntry(r *request, tell bool) {
	if !r.stored {
		return
	}
	r.stored = false
	n.memory -= n.set.EntryKB
	if tell {
		n.do(DeleteKey{ID: r.ID})
	}
	n.prune(r)
}

// turnAway answers a request that does not run or does not end in time: Fail if it may have run, else Refuse.
func (n *Instance) turnAway(r *request) {
	if r.answered {
		return
	}
	r.answered = true
	if r.repeat || r.ran {
		n.do(Fail{ID: r.ID})
	} else {
		c := r.class
		c.refused++
		if r.state == calling || !n.mayStart(c) {
			c.refusedBelow++
		}
		last := n.short() || n.retryShare > retriesMost && n.shed > shedMost/2 ||
			n.retryShare > retriesMany && n.now > n.latestStart(r, doubtMargin)
		n.do(Refuse{ID: r.ID, RetryAfter: n.comeBack(), NoRetry: last})
	}
	if r.state == running || r.state == calling {
		return // Finished releases its memory
	}
	n.close(r)
}

// comeBack is the wait that a refusal advises; unlike hints it reaches clients. Every refusal has one: else
// clients retry at once, while the queue is still full.
func (n *Instance) comeBack() time.Duration {
	return min(max(time.Duration(n.shed*pauseShare*float64(n.set.MaxRetryAfter)), pauseLeast), n.set.MaxRetryAfter)
}

// close ends a request, releases its memory and resolves the requests that are coalesced with it.
func (n *Instance) close(r *request) {
	if r.state == over {
		return
	}
	if r.state == running || r.state == calling {
		n.running--
		n.memory -= r.KB * (n.set.RunMemoryFactor - 1)
	}
	switch r.state {
	case held:
		n.held--
	case calling:
		n.calling--
		n.callOver(r, true)
	case running:
		n.moved--
	}
	n.memory -= r.KB
	r.state, r.ended = over, n.now
	if !r.ran || (r.class.Safety == Safe && !r.good) {
		n.dropEntry(r, true)
	} else if r.stored && r.class.Safety == Safe {
		n.at(moment{at: n.now + n.set.SharedResultTTL, r: r, entry: true})
	}
	n.settleTail(r)
	n.prune(r)
}

func (n *Instance) settleTail(r *request) {
	tail := r.tail
	r.tail = nil
	var next *request
	for _, f := range tail {
		if f.state != following {
			continue
		}
		f.lead = nil
		switch {
		case r.good:
			n.share(f)
		case f.repeat:
			n.turnAway(f)
		case next == nil:
			n.hold(f)
			if f.state == held {
				next = f
			}
		default:
			n.follow(f, next)
		}
	}
}

// prune deletes an ended request unless a repeat may still refer to it.
func (n *Instance) prune(r *request) {
	if r.state == over && !r.stored {
		delete(n.requests, r.ID)
	}
}

func (n *Instance) finish(e Finished) {
	r := n.requests[e.ID]
	if r == nil || r.state == over {
		return
	}
	if e.Outcome == OK && (r.state == running || r.state == calling) {
		r.good = true
		n.learn(r, float64(e.Duration))
	}
	r.answered = true
	n.close(r)
}

func (n *Instance) learn(r *request, took float64) {
	c := r.class
	c.ended++
	if c.samples++; c.samples > 1/learnRate {
		took = min(took, outlierMost*c.run) // one long run is no slow server; several in a row are
	}
	n.recent.runs += took
	rate := max(learnRate, 1/float64(c.samples))
	size := took
	if r.Size > 0 {
		size = r.size
		slow := rate / 4 // a slope needs more samples than a mean
		dx := size - c.size
		c.sizeVar += slow * (dx*dx - c.sizeVar)
		c.sizeRun += slow * (dx*(took-c.run) - c.sizeRun)
	}
	c.run += rate * (took - c.run)
	c.size += rate * (size - c.size)
}

func (n *Instance) gone(id ID) {
	r := n.requests[id]
	if r == nil || r.state == over {
		return
	}
	r.answered = true
	if r.state != running && r.state != calling {
		n.close(r)
	}
}

// estimate is the expected duration of a run. For a known size it follows a learned line through the mean,
// not the size itself: waits do not grow with the size, and sizes are rough.
func (n *Instance) estimate(r *request) time.Duration {
	c := r.class
	run := c.run
	if r.Size > 0 && c.sizeVar > 0 {
		slope := min(max(c.sizeRun/c.sizeVar, 0), c.run/c.size)
		run = max(c.run+slope*(r.size-c.size), c.run/4)
	}
	return time.Duration(run)
}

// profitEnd is when an answer stops earning: at the aim if late answers earn nothing, else at the deadline.
func (n *Instance) profitEnd(r *request) time.Duration {
	end := r.aim
	if r.class.LateValue > 0 {
		end = r.due
	}
	if n.draining {
		end = min(end, n.stopAt)
	}
	return end
}

// latestStart is the latest start that leaves time for margin times the estimated run.
func (n *Instance) latestStart(r *request, margin float64) time.Duration {
	return n.profitEnd(r) - time.Duration(margin*float64(n.estimate(r)))
}

// next is when a request has to be checked again.
func (n *Instance) next(r *request) time.Duration {
	due := r.due - n.set.Tick
	switch r.state {
	case held:
		return min(n.latestStart(r, lateMargin), due)
	case following:
		if !r.repeat {
			return min(n.profitEnd(r), due)
		}
	case calling:
		if r.retryAt > 0 {
			return min(r.retryAt, due)
		}
	}
	return due
}

func (n *Instance) watch(r *request) { n.at(moment{at: n.next(r), r: r}) }

func (n *Instance) at(m moment) {
	n.seq++
	m.seq = n.seq
	n.line.push(m)
}

func (n *Instance) runTimeline() {
	for n.line.len() > 0 && n.line.top().at <= n.now {
		m := n.line.pop()
		if m.entry {
			n.dropEntry(m.r, m.r.class.Safety == Safe)
			continue
		}
		r := m.r
		if r.answered {
			continue
		}
		if at := n.next(r); at > n.now {
			n.watch(r)
			continue
		}
		if r.state == calling && r.retryAt > 0 && n.now < r.due-n.set.Tick {
			n.call(r)
		} else {
			n.turnAway(r)
		}
	}
}

func (n *Instance) endWindow() {
	n.classes = slices.DeleteFunc(n.classes, // removed classes without queued requests
		func(c *class) bool { return c != n.byName[c.Name] && c.queue.len() == 0 })
	n.retune()
	seen, refused := 0, 0
	for _, c := range n.classes {
		// Refusals for lack of downstream capacity must not make callers avoid idle cores here.
		seen, refused = seen+c.seen, refused+c.refused-c.refusedBelow
		if c.ended == 0 && c.refused > 0 {
			// An estimate that refuses everything would never be corrected, for example after slow
			// cores, a pause of the process or an outage of the downstream tier.
			c.run *= forgetRate
		}
		c.seen, c.refused, c.refusedBelow, c.ended = 0, 0, 0, 0
	}
	if n.leftOut > n.timed { // skipped calls never correct the mean; the wait stays at least one backoff
		n.callRun = max(n.callRun*forgetRate, min(n.callRun, float64(callBackoff/skipPatience)))
	}
	n.bound, n.leftOut, n.timed = 0, 0, 0
	t := n.recent
	n.retryShare = t.resent / max(t.arrived, 1)
	n.readShare = t.reading / max(t.reading+t.runs, 1)
	n.tellHealth(t.reading/max(t.arrived, 1)/float64(n.tightest), seen)
	n.closeIdle()
	n.advise(float64(refused) / float64(max(seen, refused, 1)))
	n.recent = traffic{t.arrived * keepOld, t.resent * keepOld, t.reading * keepOld, t.runs * keepOld,
		t.needy * keepOld}
	n.windowEnd = n.now + windowSpan
}

// tellHealth fails health checks while requests wait unread for much of the tightest aim on a slow server:
// unread requests can't be refused, and hints reach few of hundreds of callers. While retries are many, the
// whole fleet is overloaded and health stays. Limits differ, so that servers do not leave all at once.
func (n *Instance) tellHealth(unread float64, seen int) {
	late := unread > n.unreadMost || n.sick && unread > n.unreadMost/4
	sick := late && seen > 0 && n.retryShare < retriesMost
	if sick != n.sick && !n.draining {
		n.sick = sick
		n.do(Health{Shallow: true, Healthy: !sick})
	}
}

// closeIdle lowers the idle timeout where callers send too rarely to justify an open connection: idle
// connections that fill the connection table keep out active callers. The timeout is longer while reading is
// costly, since a fuller table keeps out requests that would be read only to be refused. Where handshakes are
// expensive and connection tables large, this does harm.
func (n *Instance) closeIdle() {
	after := time.Duration(0)
	perWindow := n.recent.arrived * (1 - keepOld)
	if n.set.IdleTimeout > idleLeast && float64(n.set.Callers)*float64(windowSpan) > float64(gapMost)*perWindow {
		after = max(n.idle, idleLeast)
		if n.paused && n.readShare > readMany {
			after = min(after*3/2, n.set.IdleTimeout)
		} else if !n.paused || n.readShare < readMany/2 {
			after = max(after*2/3, idleLeast)
		}
	}
	if after != n.idle {
		n.idle = after
		n.do(CloseIdle{After: after})
	}
}

// advise asks callers to shed what would be read only to be refused: the shed share follows the refused share
// of the remaining traffic. Else reading, and retries of refused requests, take the cores from runs. Harmful
// where a few callers send all requests of high worth.
func (n *Instance) advise(drop float64) {
	shed := n.shed
	if drop > shedAbove {
		shed = min(1-(1-shed)*(1-shedGain*drop), shedMost)
	} else {
		shed = max(shed-shedBack, 0)
		if n.held == 0 && n.running < n.set.Cores {
			shed /= 2 // else callers avoid idle cores for seconds after a burst
		}
	}
	if shed == n.shed {
		return
	}
	n.shed = shed
	switch n.set.Hint {
	case HintLevel:
		n.do(SetHint{Value: shed})
	case HintWeight:
		n.do(SetHint{Value: 1 - shed})
	case HintCredit:
		if shed > 0 {
			n.do(SetHint{Value: n.credit(shed)})
		} else {
			n.do(SetHint{Value: float64(n.ceiling())}) // a single caller may use all of the concurrency
		}
	}
}

// credit divides the requests that this server takes among its callers, less the shed share. The total covers
// running, queued and unread requests, as callers never all use theirs, so that a few callers that send all
// traffic keep the cores busy. With hundreds of callers a credit is below 1, which they apply at random.
func (n *Instance) credit(shed float64) float64 {
	room := creditPerCore * float64(n.set.Cores) / float64(max(n.set.Callers, 1))
	return (1 - shed) * max(room, 1)
}

func (c *class) dropRatio() float64 {
	return float64(c.refused) / float64(max(c.seen, c.refused, 1))
}

// retune is figure 2 of the paper, with ratios multiplied out to avoid a division by zero refusals.
func (n *Instance) retune() {
	sum, least := 0, n.classes[len(n.classes)-1].allowance
	for i := len(n.classes) - 2; i >= 0; i-- {
		a, b := n.classes[i], n.classes[i+1]
		d := n.dropAim(a, b)
		da, db := a.dropRatio(), b.dropRatio()
		if da > d*(1+dropTolerance)*db {
			a.allowance += allowanceStep + sum
			sum += allowanceStep
		} else if d*db > (1+dropTolerance)*da {
			a.allowance += sum - allowanceStep
			sum -= allowanceStep
		}
		least = min(least, a.allowance)
	}
	for _, c := range n.classes {
		c.allowance = min(c.allowance-least+1, allowanceMax)
	}
}

// dropAim is d of the paper, the target ratio of drops of a to b: 1/(p a). It is NaN if neither has worth.
func (n *Instance) dropAim(a, b *class) float64 {
	pay := a.Worth / b.Worth
	agree := (float64(a.Aim) / a.size) / (float64(b.Aim) / b.size)
	return 1 / (pay * agree)
}

func (n *Instance) reading(e TimerFired) {
	n.waking = n.waking && e.Token != n.wakes
	g := func(i int) float64 {
		if i < 0 || i >= len(e.Gauges) {
			return -1
		}
		return e.Gauges[i]
	}
	busy := g(n.set.BusyGauge)
	n.runnable = g(n.set.RunnableGauge)
	n.moved = 0
	n.paused = busy >= busyHigh || n.paused && busy > busyLow
}

// warmth is how warm the machine is, from 0 (just started) to 1.
func (n *Instance) warmth() float64 {
	if !n.set.JustStarted || n.set.WarmupPeriod <= 0 {
		return 1
	}
	return min(float64(n.now-n.coldFrom)/float64(n.set.WarmupPeriod), 1)
}

// short says that the fleet is overloaded: reading takes much of the cores, and retries are read at the cost
// of runs. It is false on a cold server, which reads slowly while others have capacity.
func (n *Instance) short() bool {
	return n.readShare > readMany && n.retryShare > retriesMany/2 && n.warmth() == 1
}

// ceiling is the concurrency limit: a part of what the machine survives, which is less while it is cold.
func (n *Instance) ceiling() int {
	share := n.set.ColdSpeedShare + (1-n.set.ColdSpeedShare)*n.warmth()
	crowd := float64(n.set.Cores) * (1 + (n.set.MaxRunningPerCore-1)*share) * crowdShare
	return max(int(crowd), 1)
}

// gateOpen says whether one more run may start: below the concurrency limit, and either below the minimum per
// core, or with idle cores and few starts in this window, as gauges show these late.
func (n *Instance) gateOpen() bool {
	if n.running >= n.ceiling() {
		return false
	}
	onCores := float64(n.running - n.calling)
	if n.runnable >= 0 {
		onCores = min(onCores, n.runnable+float64(n.moved))
	}
	return onCores < floorPerCore*float64(n.set.Cores) || !n.paused && n.bound < (n.set.Cores+1)/2
}

// nextQueue returns the first class that has queued requests and allowance left in this round.
func (n *Instance) nextQueue() *class {
	for range 2 {
		spent := false
		for _, c := range n.classes {
			n.trim(c)
			if c.queue.len() == 0 || !n.mayStart(c) {
				continue
			}
			if c.used < c.allowance {
				return c
			}
			spent = true
		}
		if !spent {
			return nil
		}
		for _, c := range n.classes {
			c.used = 0
		}
	}
	return nil
}

// trim removes ended requests from the head of a queue and refuses hopeless ones. About half of all runs
// take longer than the mean, so doubtful requests are refused too while others wait.
func (n *Instance) trim(c *class) {
	margin := lateMargin
	if n.held > 2 {
		margin = doubtMargin
	}
	for c.queue.len() > 0 {
		r := c.queue.top()
		if r.state == held && n.now <= n.latestStart(r, margin) && !n.tooLateToStart(r) {
			return
		}
		c.queue.pop()
		if r.state == held {
			n.turnAway(r)
		}
	}
}

func (n *Instance) startHeld() {
	for n.gateOpen() {
		c := n.nextQueue()
		if c == nil {
			return
		}
		r := c.queue.top()
		more := r.KB * (n.set.RunMemoryFactor - 1)
		if n.memory+more > n.set.MemoryKB*memoryShare {
			return
		}
		c.queue.pop()
		c.used++
		r.state, r.ran = running, true
		n.memory += more
		n.running++
		n.held--
		n.moved++
		n.bound++
		n.do(Start{ID: r.ID})
		n.watch(r)
	}
}

// memoryLimit bounds queued requests and key table entries; the rest is for one run on each idle core.
func (n *Instance) memoryLimit() float64 {
	limit := n.set.MemoryKB * memoryShare
	free := float64(n.set.Cores) - float64(n.running)
	if free > 0 && len(n.requests) > 0 {
		limit -= free * n.memory / float64(len(n.requests)) * (n.set.RunMemoryFactor - 1)
	}
	return max(limit, n.set.MemoryKB*memoryShare/2)
}

// dropLeaves refuses requests of one class from the leaves of its queue until the rest fits.
func (n *Instance) dropLeaves(c *class, fits func() bool) {
	for c.queue.len() > 0 && !fits() {
		if r := c.queue.popLeaf(); r.state == held {
			n.turnAway(r)
		}
	}
}

// guardMemory refuses queued requests, lowest class first, when arrivals, sizes or keys exceed the memory.
func (n *Instance) guardMemory() {
	limit := n.memoryLimit()
	for i := len(n.classes) - 1; i >= 0; i-- {
		n.dropLeaves(n.classes[i], func() bool { return n.memory <= limit })
	}
}

// guardHold limits the queues to three requests for two cores. With longer queues refusals come too late for
// another server to help (skewed balancing, a slow machine, a burst); shorter ones refuse in bursts of 500 ms
// that reach all servers, when no other has capacity. While the fleet is overloaded there is no limit, since
// early refusals would only be read elsewhere. Classes without room for calls have a limit of their own, so
// that they do not fill the queue of the others.
func (n *Instance) guardHold() {
	if n.short() {
		return
	}
	blocked, most := 0, holdPerCore*float64(n.set.Cores)
	for _, c := range n.classes {
		if !n.mayStart(c) {
			n.dropLeaves(c, func() bool { return float64(c.queue.len()) <= most })
			blocked += c.queue.len()
		}
	}
	for i := len(n.classes) - 1; i >= 0; i-- {
		if n.mayStart(n.classes[i]) {
			n.dropLeaves(n.classes[i], func() bool { return float64(n.held-blocked) <= most })
		}
	}
}

// answerAll answers every open request before the process is stopped.
func (n *Instance) answerAll() {
	open := make([]*request, 0, len(n.requests))
	for _, r := range n.requests {
		if !r.answered {
			open = append(open, r)
		}
	}
	sort.Slice(open, func(i, j int) bool { return open[i].seq < open[j].seq })
	for _, r := range open {
		n.turnAway(r)
	}
}

// call makes the downstream call that a request waits for, skips or defers it, or rejects the request.
func (n *Instance) call(r *request) {
	c := r.class
	r.retryAt = 0
	if r.answered {
		return // Finished will end it
	}
	left := n.profitEnd(r) - n.now
	if left <= n.set.Tick {
		n.turnAway(r) // as in the paper: a request that earns nothing is dropped
		return
	}
	patience := n.callRoom(c)
	if c.SkipWorth > 0 && (patience == 0 || n.now < max(n.breakEnd, n.needyEnd) || r.tries > 1) {
		n.leftOut++ // a part of the worth now instead of a wait for room
		n.skip(r)
		return
	}
	if patience == 0 {
		r.retryAt = n.now + gaugeEvery
		n.watch(r)
		return
	}
	if c.SkipWorth > 0 {
		left = time.Duration(min(float64(left)*skipAfter, skipPatience*n.callRun))
	}
	if n.callFails >= breakAfter && n.now >= n.breakEnd {
		n.breakEnd = n.now + breakSpan // this call is the probe
	}
	r.tries++
	r.out, r.callEnd = true, n.now-n.born+min(left, patience)
	n.inHand++
	n.callEnds += r.callEnd
	n.do(MakeCall{ID: r.ID, MaxWait: min(left, patience)})
}

// callRoom is how long one more downstream call may take; 0: no call may start. It protects the downstream
// tier, which all servers share, from more concurrent calls than it survives, when it is slow, silent or cold
// or load is high. Calls count by their time within the period; those in flight count as if they took their
// whole time limit, so that the used part of the share is never exceeded. Unused shares of other servers stay
// unused. Optional calls leave the time that required calls are likely to need: else, while downstream is
// slow, they fill the whole period, and requests with required calls fail.
func (n *Instance) callRoom(c *class) time.Duration {
	span := float64(n.set.CallPeriod)
	if n.set.DownstreamShare <= 0 || span <= 0 {
		return math.MaxInt64
	}
	n.countCalls()
	most := belowPart * n.set.DownstreamShare * span
	if c.SkipWorth > 0 {
		needy := n.recent.needy * (1 - keepOld) / float64(windowSpan) // required calls per nanosecond
		most -= min(needyMargin*needy*span*n.callRun, needyMost*most)
	}
	owed := float64(n.callEnds) - float64(n.inHand)*float64(n.now-n.born)
	wait := most - n.callTime - max(owed, 0) - float64(n.inHand+1)*float64(n.set.AbandonedCallTime)
	if n.inHand == 0 {
		wait = max(wait, most/2-n.callTime) // else a share below Linger would allow no call
	}
	if wait < min(callPatience*n.callRun, most/4) {
		return 0
	}
	return time.Duration(wait)
}

// countCalls updates the time of calls in flight: the sum over the buckets of the period, of which the oldest
// is cleared when the clock reaches the next.
func (n *Instance) countCalls() {
	part := max(n.set.CallPeriod/(callParts-1), 1)
	if n.now-n.callsAt > n.set.CallPeriod+part {
		n.callsAt = n.now - n.set.CallPeriod - part // older time is outside the period
	}
	for n.callsAt < n.now {
		i := n.callsAt / part
		end := min((i+1)*part, n.now)
		n.callPast[i%callParts] += float64(n.inHand) * float64(end-n.callsAt)
		if n.callsAt = end; end == (i+1)*part {
			n.callPast[(i+1)%callParts] = 0
		}
	}
	n.callTime = 0
	for _, t := range n.callPast {
		n.callTime += t
	}
}

// callOver accounts for the end of a call; an abandoned one (lingers) keeps running downstream for a time.
func (n *Instance) callOver(r *request, lingers bool) {
	if !r.out {
		return
	}
	n.countCalls()
	if lingers {
		part := max(n.set.CallPeriod/(callParts-1), 1)
		n.callPast[n.now/part%callParts] += float64(n.set.AbandonedCallTime)
	}
	r.out = false
	n.callEnds -= r.callEnd
	n.inHand--
}

// mayStart says whether a run of the class could make its calls now; else it would only occupy memory.
func (n *Instance) mayStart(c *class) bool {
	return !c.MayCall || c.SkipWorth > 0 || n.now >= n.breakEnd && n.callRoom(c) > 0
}

func (n *Instance) skip(r *request) {
	n.do(SkipCall{ID: r.ID})
	n.leaveCall(r)
}

func (n *Instance) leaveCall(r *request) {
	r.state = running
	n.calling--
	n.moved++
	n.watch(r)
}

func (n *Instance) returned(e CallReturned) {
	if e.Outcome == OK {
		n.callFails, n.breakEnd = 0, 0
	} else if n.callFails++; n.callFails == breakAfter {
		n.breakEnd = n.now + breakSpan
	}
	r := n.requests[e.ID]
	if r == nil || r.state != calling {
		return
	}
	n.callOver(r, e.Outcome == TimedOut)
	if e.Outcome == OK || e.Outcome == TimedOut {
		n.callRun += learnRate * (float64(e.Duration) - n.callRun)
		n.timed++
	}
	if e.Outcome == OK {
		n.leaveCall(r)
		return
	}
	if r.answered {
		return
	}
	// The capacity of a full downstream tier is left to required calls.
	unrun := e.Outcome == Full && r.class.SkipWorth == 0 || e.Outcome == Unreachable || e.Outcome == NotRun
	if e.Outcome == InvalidReply && r.class.Safety == Safe {
		unrun = r.tries == 1 // safe to run twice: one more attempt before a skip
	}
	wait := callBackoff << min(r.tries, 2)
	wait += time.Duration(n.rng.Int64N(int64(callBackoff)))
	switch {
	case unrun && r.tries < callTries && n.now+wait < n.profitEnd(r):
		r.retryAt = n.now + wait
		n.watch(r)
		if e.Outcome == Full {
			n.needyEnd = n.now + 2*wait // optional calls leave it the capacity
		}
	case r.class.SkipWorth > 0:
		n.skip(r)
	default:
		n.turnAway(r)
	}
}

func (n *Instance) wake() {
	at := n.windowEnd
	if n.held > 0 {
		at = min(at, n.now+gaugeEvery)
	}
	if n.line.len() > 0 {
		at = min(at, max(n.line.top().at, n.now+1))
	}
	if n.draining && n.now < n.stopAt {
		at = min(at, n.stopAt)
	}
	// A host with a coarser clock may fire a timer slightly early or not at all. A timer whose token came or
	// whose time has passed is therefore replaced, or no further event would come.
	if n.waking && n.nextWake <= at && n.now < n.nextWake {
		return
	}
	n.wakes++
	n.waking, n.nextWake = true, at
	n.do(SetTimer{At: at, Token: n.wakes})
}
