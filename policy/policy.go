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
	gaugeInterval     = 20 * time.Millisecond // polling of the gauges, which average over 500 ms
	windowLength      = time.Second / 2       // monitoring window
	dropTolerance     = 0.2                   // delta of the paper: noise of a ratio in one window
	allowanceStep     = 1                     // incr of the paper
	maxAllowance      = 32                    // bounds a round, so that recovery takes few windows
	pauseBusyShare    = 0.95                  // further starts pause from this share of busy cores
	resumeBusyShare   = 0.80                  // and resume below this share
	minRunsPerCore    = 1.0                   // runs per core below which starts never pause
	concurrencyShare  = 0.7                   // used part of the concurrency that a server survives
	memoryShare       = 0.92                  // used part of the memory
	firstRunDivisor   = 6                     // first estimate of a run: the tightest aim over this
	maxOutlier        = 5                     // a run counts for this many times the mean at most
	learnRate         = 0.1                   // weight of a new sample of a run
	estimateDecay     = 0.8                   // reduces an estimate that refused everything, to test it
	hopelessMargin    = 1.0                   // hopeless: less time left than this many estimated runs
	doubtfulMargin    = 2.5                   // doubtful: less than this many; refused if others wait
	stopMargin        = time.Second / 10      // all requests are answered this long before the stop
	maxCallAttempts   = 8                     // attempts of a call that provably did not run
	callBackoff       = 30 * time.Millisecond // first wait between such attempts; doubles
	retryAfterShare   = 0.25                  // longest wait advised, as a part of MaxRetryAfter
	minRetryAfter     = 20 * time.Millisecond // shortest wait advised: a few runs have ended by then
	maxUnreadShare    = 0.8                   // part of the tightest aim that requests may wait unread
	optionalWaitShare = 0.5                   // an optional call may take this part of the time left
	breakerFailures   = 5                     // consecutive failed calls that open the breaker
	shedThreshold     = 0.05                  // refused share above which callers shed load
	shedGain          = 0.5                   // part of the refused share that is shed in addition
	shedRecovery      = 0.05                  // decrease of the shed share per window without refusals
	queuedPerCore     = 1.5                   // queued requests per core
	creditPerCore     = 6.0                   // requests per core granted to callers while they shed
	maxShedShare      = 0.65                  // some traffic must arrive, or nothing would be learned
	firstWaitShare    = 0.95                  // a wait below this part of the longest is that of a retry
	highRetryShare    = 0.2                   // share of retries that shows an overloaded fleet
	maxRetryShare     = 0.4                   // above this, and if much is shed, retries find no capacity
	trafficDecay      = 0.7                   // weight of earlier traffic, per window
	highReadShare     = 0.2                   // share of reading in request time that makes refusals costly
	maxCallerGap      = 5 * time.Second       // mean gap of a caller that justifies an open connection
	minIdleTimeout    = time.Second           // shortest idle timeout; busier callers stay connected
	breakerOpenTime   = time.Second           // how long the breaker is open before one call probes it
	usedCallShare     = 0.8                   // used part of the share of downstream calls
	optionalCallTimes = 8                     // an optional call may take this many mean call times
	callBuckets       = 21                    // buckets of call time; one more than the period needs
	requiredMargin    = 2                     // required calls reserve this many times their mean need,
	maxRequiredShare  = 0.5                   // as counts are small, and at most this part of the time
	minCallTimes      = 4                     // a call needs time for this many mean call times
)

// runsBefore is the order within a class: smallest size first, then earliest aim. Unknown sizes are equal.
func runsBefore(a, b *request) bool {
	if a.Size != b.Size {
		return a.Size < b.Size
	}
	if a.aim != b.aim {
		return a.aim < b.aim
	}
	return a.seq < b.seq
}

func checkedBefore(a, b scheduledCheck) bool { return a.at < b.at || a.at == b.at && a.seq < b.seq }

// New validates the settings and returns an instance. The same seed and events give the same actions.
func New(set Settings, seed uint64) (*Instance, error) {
	if err := check(set); err != nil {
		return nil, err
	}
	n := &Instance{rng: rand.New(rand.NewPCG(seed, 0)), requests: map[ID]*request{}, runnable: -1,
		meanCallTime: float64(callBackoff), timeline: orderedHeap[scheduledCheck]{less: checkedBefore}}
	n.unreadLimit = maxUnreadShare * (1 + n.rng.Float64()) / 2
	n.applySettings(set)
	return n, nil
}

// UpdateSettings replaces the settings. Open requests keep the class settings that they arrived with.
func (n *Instance) UpdateSettings(set Settings) error {
	if err := check(set); err != nil {
		return err
	}
	set.JustStarted = n.set.JustStarted // new settings do not make the machine cold
	n.applySettings(set)
	return nil
}

func (n *Instance) applySettings(set Settings) {
	n.set = set
	n.minAim = set.Classes[0].Aim
	for _, c := range set.Classes {
		n.minAim = min(n.minAim, c.Aim)
	}
	previous := n.byName
	n.byName = map[string]*classState{}
	for _, spec := range set.Classes {
		c := previous[spec.Name]
		if existing := c; existing == nil || existing.Class != spec {
			initial := float64(n.minAim) / firstRunDivisor
			c = &classState{Class: spec, meanRun: initial, meanSize: initial,
				queue: orderedHeap[*request]{less: runsBefore}}
			if existing != nil { // what was learned of the work stays valid
				c.meanRun, c.meanSize, c.samples = existing.meanRun, existing.meanSize, existing.samples
			}
		}
		n.byName[spec.Name] = c
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
		minWorth := max(n.classes[len(n.classes)-1].Worth, 1/math.MaxFloat64)
		c.allowance = int(min(max(math.Round(c.Worth/minWorth), 1), maxAllowance))
	}
}

// Handle processes the events of one instant and returns the actions in order. The slice is valid until the
// next call. If now goes backwards, the previous time is used.
func (n *Instance) Handle(now time.Duration, events []Event) []Action {
	n.actions = n.actions[:0]
	if !n.started {
		n.started, n.now, n.startedAt, n.coldSince = true, now, now, now
		n.windowEnd = now + windowLength
		n.emit(Health{Shallow: true, Healthy: true}) // health checks must not use a core or call downstream
	}
	n.now = max(n.now, now)
	for _, e := range events {
		n.handleEvent(e)
	}
	for _, r := range n.arrivals {
		r.original = n.requests[r.Original] // before any of the batch is rejected and removed
	}
	for _, r := range n.arrivals {
		n.admit(r)
	}
	n.arrivals = n.arrivals[:0]
	if n.StopReached() {
		n.answerAll()
	}
	n.runChecks()
	if n.now >= n.windowEnd {
		n.endWindow()
	}
	n.startQueued()
	n.limitQueues()
	n.setTimer()
	return n.actions
}

func (n *Instance) emit(a Action) { n.actions = append(n.actions, a) }

func (n *Instance) handleEvent(e Event) {
	switch e := e.(type) {
	case Arrived:
		n.arrive(e)
	case Finished:
		n.finish(e)
	case CallNeeded:
		if r := n.requests[e.ID]; r != nil && r.state == running {
			r.state, r.callAttempts = calling, 0
			n.calling++
			n.runnableDelta--
			n.makeCall(r)
		}
	case CallReturned:
		n.callReturned(e)
	case CallerGone:
		n.callerGone(e.ID)
	case DrainNotice:
		if !n.draining {
			n.draining, n.drainStart = true, n.now-e.Age
			n.emit(Health{Shallow: true})
		}
		n.stopAt = n.now + e.TimeLeft - max(stopMargin, 3*n.set.Tick)
	case TimerFired:
		n.readGauges(e)
	}
}

// arrive registers a request; admit decides on it once all events of the batch are known.
func (n *Instance) arrive(e Arrived) {
	if _, known := n.requests[e.ID]; known {
		return
	}
	c := n.byName[e.Class]
	if c == nil {
		n.emit(Refuse{ID: e.ID}) // unknown class: it never ran, so a refusal is safe
		return
	}
	n.seq++
	r := &request{Arrived: e, class: c, seq: n.seq, reachedAt: n.now - max(e.Waited, 0)}
	r.due = r.reachedAt + c.Deadline
	if e.TimeLeft > 0 {
		r.due = n.now + e.TimeLeft
	}
	r.due = max(r.due, n.now)
	r.size = c.meanSize
	if e.Size > 0 {
		r.size = float64(e.Size)
	}
	aim := float64(c.Aim) + c.AimStretch*r.size
	r.aim = min(r.reachedAt+time.Duration(min(aim, float64(max(c.Deadline, c.Aim)))), r.due)
	c.arrived++
	n.recent.arrived++
	n.recent.readDelay += float64(n.now - r.reachedAt)
	if c.Calls && c.SkipWorth == 0 {
		n.recent.requiredCalls++
	}
	c.longestWait = max(c.longestWait, e.TimeLeft+max(e.Waited, 0))
	shorter := e.TimeLeft > 0 && float64(e.TimeLeft+max(e.Waited, 0)) < float64(c.longestWait)*firstWaitShare
	// Where retries are marked, a short wait proves nothing, since clients differ in how long they wait.
	if e.IsRetry || shorter && !n.set.MarksRetry {
		n.recent.retries++
		r.likelyRetry = true
	}
	n.memory += e.KB
	n.requests[e.ID] = r
	n.arrivals = append(n.arrivals, r)
}

// admit resolves a repeat or enqueues the request.
func (n *Instance) admit(r *request) {
	if r.state != arriving {
		return
	}
	if r.HasOriginal && n.resolveRepeat(r) {
		return
	}
	n.enqueue(r)
}

func (n *Instance) enqueue(r *request) {
	// A retry has used up an unknown part of its aim. While reading takes much of the cores, which causes
	// many retries, first attempts take precedence, or a retry storm would sustain itself.
	yields := r.likelyRetry && n.fleetOverloaded() && n.queued > 2
	if yields || n.tooLateToStart(r) || n.now >= r.due-n.set.Tick {
		n.reject(r)
		return
	}
	r.state = queued
	n.queued++
	n.storeKey(r)
	r.class.queue.push(r)
	n.scheduleCheck(r)
	n.limitMemory()
}

// tooLateToStart says that a request arrived after the drain grace, or that the stop is due: it never runs.
func (n *Instance) tooLateToStart(r *request) bool {
	return n.draining && (r.reachedAt > n.drainStart+n.set.DrainGrace || n.now >= n.stopAt)
}

// resolveRepeat handles a repeat of an earlier request. It returns false if the repeat is to be enqueued like
// any other request.
func (n *Instance) resolveRepeat(r *request) bool {
	prior := r.original
	for prior != nil && prior != r && prior.successor != nil {
		prior = prior.successor // an earlier request of this batch replaced it
	}
	if prior == r {
		prior = nil
	}
	if r.class.Safety == Safe {
		return n.resolveSharedRead(r, prior)
	}
	// A repeat must not cause a second effect. An attempt that is still queued is replaced by the newer one,
	// since its caller has moved on. A request that ran, or of which nothing is known, is not run again, and
	// its repeat is not refused, because a refusal says that nothing ran.
	r.repeatsRun = prior == nil || prior.repeatsRun || prior.ran
	switch {
	case prior != nil && prior.repeatsRun && prior.primary != nil:
		n.coalesce(r, prior.primary)
	case prior != nil && (prior.state == running || prior.state == calling):
		n.coalesce(r, prior)
	case prior == nil || prior.ran && prior.succeeded || prior.repeatsRun && prior.state != ended:
		n.shareResult(r)
	case r.repeatsRun:
		n.reject(r)
	case prior.state == ended:
		return false
	case prior.seq > r.seq:
		n.reject(r)
	default:
		n.reject(prior)
		prior.successor = r
		return false
	}
	return true
}

// resolveSharedRead coalesces a safe request with an equal one or shares the fresh result of that.
func (n *Instance) resolveSharedRead(r, prior *request) bool {
	if prior == nil || n.tooLateToStart(r) {
		return false
	}
	if prior.primary != nil {
		prior = prior.primary
	}
	switch {
	case prior.state == queued || prior.state == running || prior.state == calling:
		n.coalesce(r, prior)
		return true
	case prior.state == ended && prior.succeeded && n.now-prior.endedAt <= n.set.SharedResultTTL:
		n.shareResult(r)
		return true
	}
	return false
}

func (n *Instance) coalesce(r, primary *request) {
	r.state, r.primary = coalesced, primary
	primary.waiters = append(primary.waiters, r)
	n.scheduleCheck(r)
}

func (n *Instance) shareResult(r *request) {
	r.state = sharing
	n.emit(ShareResult{ID: r.ID})
	n.scheduleCheck(r)
}

// storeKey adds a request to the key table when it is enqueued, not when it starts: of two queued attempts
// without an entry both would run. A keyed entry is valid until its KeyTTL has passed.
func (n *Instance) storeKey(r *request) {
	c := r.class
	ttl := r.due - n.now
	switch {
	case c.Safety == Keyed:
		ttl = max(ttl, r.reachedAt+c.KeyTTL-n.now) + 2*n.set.Tick
	case c.Safety == Safe && n.set.SharedResultTTL > 0 && r.Key != "" && !r.Write:
		ttl += n.set.SharedResultTTL
	default:
		return
	}
	r.keyStored = true
	n.memory += n.set.EntryKB
	n.emit(StoreKey{ID: r.ID, TTL: ttl})
	n.schedule(scheduledCheck{at: n.now + ttl, request: r, isExpiry: true})
}

func (n *Instance) deleteKey(r *request, notify bool) {
	if !r.keyStored {
		return
	}
	r.keyStored = false
	n.memory -= n.set.EntryKB
	if notify {
		n.emit(DeleteKey{ID: r.ID})
	}
	n.prune(r)
}

// reject answers a request that does not run or does not end in time. It sends Fail if the request may have
// run, and Refuse otherwise.
func (n *Instance) reject(r *request) {
	if r.answered {
		return
	}
	r.answered = true
	if r.repeatsRun || r.ran {
		n.emit(Fail{ID: r.ID})
	} else {
		c := r.class
		c.refused++
		if r.state == calling || !n.callsAllowed(c) {
			c.refusedForCalls++
		}
		noRetry := n.fleetOverloaded() || n.retryShare > maxRetryShare && n.shed > maxShedShare/2 ||
			n.retryShare > highRetryShare && n.now > n.latestStart(r, doubtfulMargin)
		n.emit(Refuse{ID: r.ID, RetryAfter: n.retryAfter(), NoRetry: noRetry})
	}
	if r.state == running || r.state == calling {
		return // Finished releases its memory
	}
	n.finalize(r)
}

// retryAfter is the wait that a refusal advises; unlike hints it reaches clients. Without it clients would
// retry at once, while the queue is still full.
func (n *Instance) retryAfter() time.Duration {
	return min(max(time.Duration(n.shed*retryAfterShare*float64(n.set.MaxRetryAfter)), minRetryAfter),
		n.set.MaxRetryAfter)
}

// finalize ends a request, releases its memory and resolves the requests that are coalesced with it.
func (n *Instance) finalize(r *request) {
	if r.state == ended {
		return
	}
	if r.state == running || r.state == calling {
		n.running--
		n.memory -= r.KB * (n.set.RunMemoryFactor - 1)
	}
	switch r.state {
	case queued:
		n.queued--
	case calling:
		n.calling--
		n.endCall(r, true)
	case running:
		n.runnableDelta--
	}
	n.memory -= r.KB
	r.state, r.endedAt = ended, n.now
	if !r.ran || (r.class.Safety == Safe && !r.succeeded) {
		n.deleteKey(r, true)
	} else if r.keyStored && r.class.Safety == Safe {
		n.schedule(scheduledCheck{at: n.now + n.set.SharedResultTTL, request: r, isExpiry: true})
	}
	n.completeWaiters(r)
	n.prune(r)
}

func (n *Instance) completeWaiters(r *request) {
	waiters := r.waiters
	r.waiters = nil
	var primary *request
	for _, waiter := range waiters {
		if waiter.state != coalesced {
			continue
		}
		waiter.primary = nil
		switch {
		case r.succeeded:
			n.shareResult(waiter)
		case waiter.repeatsRun:
			n.reject(waiter)
		case primary == nil:
			n.enqueue(waiter)
			if waiter.state == queued {
				primary = waiter
			}
		default:
			n.coalesce(waiter, primary)
		}
	}
}

// prune deletes an ended request unless a repeat may still refer to it.
func (n *Instance) prune(r *request) {
	if r.state == ended && !r.keyStored {
		delete(n.requests, r.ID)
	}
}

func (n *Instance) finish(e Finished) {
	r := n.requests[e.ID]
	if r == nil || r.state == ended {
		return
	}
	if e.Outcome == OK && (r.state == running || r.state == calling) {
		r.succeeded = true
		n.learn(r, float64(e.Duration))
	}
	r.answered = true
	n.finalize(r)
}

func (n *Instance) learn(r *request, took float64) {
	c := r.class
	c.successfulRuns++
	if c.samples++; c.samples > 1/learnRate {
		took = min(took, maxOutlier*c.meanRun) // one long run shows no slow server; several do
	}
	n.recent.runTime += took
	rate := max(learnRate, 1/float64(c.samples))
	size := took
	if r.Size > 0 {
		size = r.size
		slopeRate := rate / 4 // a slope needs more samples than a mean
		dx := size - c.meanSize
		c.sizeVariance += slopeRate * (dx*dx - c.sizeVariance)
		c.sizeRunCovariance += slopeRate * (dx*(took-c.meanRun) - c.sizeRunCovariance)
	}
	c.meanRun += rate * (took - c.meanRun)
	c.meanSize += rate * (size - c.meanSize)
}

func (n *Instance) callerGone(id ID) {
	r := n.requests[id]
	if r == nil || r.state == ended {
		return
	}
	r.answered = true
	if r.state != running && r.state != calling {
		n.finalize(r)
	}
}

// estimateRun is the expected duration of a run. For a known size it follows a learned line through the mean,
// not the size itself: waits do not grow with the size, and sizes are rough.
func (n *Instance) estimateRun(r *request) time.Duration {
	c := r.class
	run := c.meanRun
	if r.Size > 0 && c.sizeVariance > 0 {
		slope := min(max(c.sizeRunCovariance/c.sizeVariance, 0), c.meanRun/c.meanSize)
		run = max(c.meanRun+slope*(r.size-c.meanSize), c.meanRun/4)
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
	return n.profitEnd(r) - time.Duration(margin*float64(n.estimateRun(r)))
}

// nextCheck is when a request has to be checked again.
func (n *Instance) nextCheck(r *request) time.Duration {
	due := r.due - n.set.Tick
	switch r.state {
	case queued:
		return min(n.latestStart(r, hopelessMargin), due)
	case coalesced:
		if !r.repeatsRun {
			return min(n.profitEnd(r), due)
		}
	case calling:
		if r.retryAt > 0 {
			return min(r.retryAt, due)
		}
	}
	return due
}

func (n *Instance) scheduleCheck(r *request) {
	n.schedule(scheduledCheck{at: n.nextCheck(r), request: r})
}

func (n *Instance) schedule(check scheduledCheck) {
	n.seq++
	check.seq = n.seq
	n.timeline.push(check)
}

func (n *Instance) runChecks() {
	for n.timeline.len() > 0 && n.timeline.first().at <= n.now {
		check := n.timeline.pop()
		if check.isExpiry {
			n.deleteKey(check.request, check.request.class.Safety == Safe)
			continue
		}
		r := check.request
		if r.answered {
			continue
		}
		if at := n.nextCheck(r); at > n.now {
			n.scheduleCheck(r)
			continue
		}
		if r.state == calling && r.retryAt > 0 && n.now < r.due-n.set.Tick {
			n.makeCall(r)
		} else {
			n.reject(r)
		}
	}
}

func (n *Instance) endWindow() {
	n.classes = slices.DeleteFunc(n.classes, // removed from the settings, and without queued requests
		func(c *classState) bool { return c != n.byName[c.Name] && c.queue.len() == 0 })
	n.adjustAllowances()
	arrived, refused := 0, 0
	for _, c := range n.classes {
		// Refusals for lack of downstream capacity must not make callers avoid idle cores here.
		arrived, refused = arrived+c.arrived, refused+c.refused-c.refusedForCalls
		if c.successfulRuns == 0 && c.refused > 0 {
			// An estimate that refuses everything would never be corrected, for example after slow
			// cores, a pause of the process or an outage of the downstream tier.
			c.meanRun *= estimateDecay
		}
		c.arrived, c.refused, c.refusedForCalls, c.successfulRuns = 0, 0, 0, 0
	}
	// Skipped calls can't correct the mean, so it decays. It stays high enough that the time limit of an
	// optional call is at least one backoff.
	if n.skippedCalls > n.timedCalls {
		n.meanCallTime = max(n.meanCallTime*estimateDecay,
			min(n.meanCallTime, float64(callBackoff/optionalCallTimes)))
	}
	n.windowStarts, n.skippedCalls, n.timedCalls = 0, 0, 0
	t := n.recent
	n.retryShare = t.retries / max(t.arrived, 1)
	n.readShare = t.readDelay / max(t.readDelay+t.runTime, 1)
	n.updateHealth(t.readDelay/max(t.arrived, 1)/float64(n.minAim), arrived)
	n.updateIdleTimeout()
	n.updateHint(float64(refused) / float64(max(arrived, refused, 1)))
	n.recent = traffic{t.arrived * trafficDecay, t.retries * trafficDecay, t.readDelay * trafficDecay,
		t.runTime * trafficDecay, t.requiredCalls * trafficDecay}
	n.windowEnd = n.now + windowLength
}

// updateHealth fails health checks while requests wait unread for much of the tightest aim on a slow server:
// unread requests can't be refused, and hints reach few of hundreds of callers. While retries are many, the
// entire fleet is overloaded, so health checks succeed. Limits differ, so that not all servers leave at once.
func (n *Instance) updateHealth(unread float64, arrived int) {
	late := unread > n.unreadLimit || n.unhealthy && unread > n.unreadLimit/4
	unhealthy := late && arrived > 0 && n.retryShare < maxRetryShare
	if unhealthy != n.unhealthy && !n.draining {
		n.unhealthy = unhealthy
		n.emit(Health{Shallow: true, Healthy: !unhealthy})
	}
}

// updateIdleTimeout lowers the idle timeout where callers send too rarely to justify an open connection: idle
// connections that fill the connection table keep out active callers. The timeout is longer while reading is
// costly, since a fuller table keeps out requests that would be read only to be refused. Where handshakes are
// expensive and connection tables large, this does harm.
func (n *Instance) updateIdleTimeout() {
	timeout := time.Duration(0)
	perWindow := n.recent.arrived * (1 - trafficDecay)
	if n.set.IdleTimeout > minIdleTimeout &&
		float64(n.set.Callers)*float64(windowLength) > float64(maxCallerGap)*perWindow {
		timeout = max(n.idleTimeout, minIdleTimeout)
		if n.paused && n.readShare > highReadShare {
			timeout = min(timeout*3/2, n.set.IdleTimeout)
		} else if !n.paused || n.readShare < highReadShare/2 {
			timeout = max(timeout*2/3, minIdleTimeout)
		}
	}
	if timeout != n.idleTimeout {
		n.idleTimeout = timeout
		n.emit(CloseIdle{After: timeout})
	}
}

// updateHint asks callers to shed what would be read only to be refused: the shed share follows the refused
// share of the remaining traffic. Otherwise reading and retries of refused requests take the cores from runs.
// This does harm where a few callers send all requests of high worth.
func (n *Instance) updateHint(refusedShare float64) {
	shed := n.shed
	if refusedShare > shedThreshold {
		shed = min(1-(1-shed)*(1-shedGain*refusedShare), maxShedShare)
	} else {
		shed = max(shed-shedRecovery, 0)
		if n.queued == 0 && n.running < n.set.Cores {
			shed /= 2 // otherwise callers avoid idle cores for seconds after a burst
		}
	}
	if shed == n.shed {
		return
	}
	n.shed = shed
	switch n.set.Hint {
	case HintLevel:
		n.emit(SetHint{Value: shed})
	case HintWeight:
		n.emit(SetHint{Value: 1 - shed})
	case HintCredit:
		if shed > 0 {
			n.emit(SetHint{Value: n.credit(shed)})
		} else {
			n.emit(SetHint{Value: float64(n.maxConcurrency())}) // one caller may use all of it
		}
	}
}

// credit divides the requests that this server takes among its callers, less the shed share. The total covers
// running, queued and unread requests, as callers never all use theirs, so that a few callers that send all
// traffic keep the cores busy. With hundreds of callers a credit is below 1, which they apply at random.
func (n *Instance) credit(shed float64) float64 {
	perCaller := creditPerCore * float64(n.set.Cores) / float64(max(n.set.Callers, 1))
	return (1 - shed) * max(perCaller, 1)
}

func (c *classState) dropRatio() float64 {
	return float64(c.refused) / float64(max(c.arrived, c.refused, 1))
}

// adjustAllowances is figure 2 of the paper, with ratios multiplied out to avoid a division by zero refusals.
func (n *Instance) adjustAllowances() {
	sum, lowest := 0, n.classes[len(n.classes)-1].allowance
	for i := len(n.classes) - 2; i >= 0; i-- {
		a, b := n.classes[i], n.classes[i+1]
		d := n.targetDropRatio(a, b)
		da, db := a.dropRatio(), b.dropRatio()
		if da > d*(1+dropTolerance)*db {
			a.allowance += allowanceStep + sum
			sum += allowanceStep
		} else if d*db > (1+dropTolerance)*da {
			a.allowance += sum - allowanceStep
			sum -= allowanceStep
		}
		lowest = min(lowest, a.allowance)
	}
	for _, c := range n.classes {
		c.allowance = min(c.allowance-lowest+1, maxAllowance)
	}
}

// targetDropRatio is d of the paper, the target ratio of drops of a to b: 1/(p a). NaN if neither has worth.
func (n *Instance) targetDropRatio(a, b *classState) float64 {
	worthRatio := a.Worth / b.Worth
	slowdownRatio := (float64(a.Aim) / a.meanSize) / (float64(b.Aim) / b.meanSize)
	return 1 / (worthRatio * slowdownRatio)
}

func (n *Instance) readGauges(e TimerFired) {
	n.timerPending = n.timerPending && e.Token != n.timerToken
	gauge := func(i int) float64 {
		if i < 0 || i >= len(e.Gauges) {
			return -1
		}
		return e.Gauges[i]
	}
	busy := gauge(n.set.BusyGauge)
	n.runnable = gauge(n.set.RunnableGauge)
	n.runnableDelta = 0
	n.paused = busy >= pauseBusyShare || n.paused && busy > resumeBusyShare
}

// warmFraction is how warm the machine is, from 0 (just started) to 1.
func (n *Instance) warmFraction() float64 {
	if !n.set.JustStarted || n.set.WarmupPeriod <= 0 {
		return 1
	}
	return min(float64(n.now-n.coldSince)/float64(n.set.WarmupPeriod), 1)
}

// fleetOverloaded says that reading takes much of the cores, so that retries are read at the cost of runs. It
// is false on a cold server, which reads slowly while others have capacity.
func (n *Instance) fleetOverloaded() bool {
	return n.readShare > highReadShare && n.retryShare > highRetryShare/2 && n.warmFraction() == 1
}

// maxConcurrency is the concurrency limit: a part of what the machine survives, less while it is cold.
func (n *Instance) maxConcurrency() int {
	share := n.set.ColdSpeedShare + (1-n.set.ColdSpeedShare)*n.warmFraction()
	limit := float64(n.set.Cores) * (1 + (n.set.MaxRunningPerCore-1)*share) * concurrencyShare
	return max(int(limit), 1)
}

// mayStartRun says whether one more run may start: below the concurrency limit, and either below the minimum
// per core, or with a low busy gauge and few starts in this window, since the gauge shows starts late.
func (n *Instance) mayStartRun() bool {
	if n.running >= n.maxConcurrency() {
		return false
	}
	onCores := float64(n.running - n.calling)
	if n.runnable >= 0 {
		onCores = min(onCores, n.runnable+float64(n.runnableDelta))
	}
	return onCores < minRunsPerCore*float64(n.set.Cores) || !n.paused && n.windowStarts < (n.set.Cores+1)/2
}

// nextClass returns the first class that has queued requests and allowance left in this round.
func (n *Instance) nextClass() *classState {
	for range 2 {
		exhausted := false
		for _, c := range n.classes {
			n.trimQueue(c)
			if c.queue.len() == 0 || !n.callsAllowed(c) {
				continue
			}
			if c.usedAllowance < c.allowance {
				return c
			}
			exhausted = true
		}
		if !exhausted {
			return nil
		}
		for _, c := range n.classes {
			c.usedAllowance = 0
		}
	}
	return nil
}

// trimQueue removes ended requests from the head of a queue and refuses hopeless ones. About half of all runs
// take longer than the mean, so doubtful requests are refused too while others wait.
func (n *Instance) trimQueue(c *classState) {
	margin := hopelessMargin
	if n.queued > 2 {
		margin = doubtfulMargin
	}
	for c.queue.len() > 0 {
		r := c.queue.first()
		if r.state == queued && n.now <= n.latestStart(r, margin) && !n.tooLateToStart(r) {
			return
		}
		c.queue.pop()
		if r.state == queued {
			n.reject(r)
		}
	}
}

func (n *Instance) startQueued() {
	for n.mayStartRun() {
		c := n.nextClass()
		if c == nil {
			return
		}
		r := c.queue.first()
		extraKB := r.KB * (n.set.RunMemoryFactor - 1)
		if n.memory+extraKB > n.set.MemoryKB*memoryShare {
			return
		}
		c.queue.pop()
		c.usedAllowance++
		r.state, r.ran = running, true
		n.memory += extraKB
		n.running++
		n.queued--
		n.runnableDelta++
		n.windowStarts++
		n.emit(Start{ID: r.ID})
		n.scheduleCheck(r)
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

// refuseLeaves refuses requests of one class from the leaves of its queue until the rest fits.
func (n *Instance) refuseLeaves(c *classState, fits func() bool) {
	for c.queue.len() > 0 && !fits() {
		if r := c.queue.popLeaf(); r.state == queued {
			n.reject(r)
		}
	}
}

// limitMemory refuses queued requests, lowest class first, when arrivals, sizes or keys exceed the memory.
func (n *Instance) limitMemory() {
	limit := n.memoryLimit()
	for i := len(n.classes) - 1; i >= 0; i-- {
		n.refuseLeaves(n.classes[i], func() bool { return n.memory <= limit })
	}
}

// limitQueues allows three queued requests for two cores. Longer queues refuse too late for another server to
// help (skewed balancing, a slow machine, a burst); shorter ones refuse in bursts of 500 ms that reach all
// servers, when no other has capacity. While the fleet is overloaded, early refusals would only be read
// elsewhere, so there is no limit. Classes without call capacity have a limit of their own, so that they
// do not fill the queue.
func (n *Instance) limitQueues() {
	if n.fleetOverloaded() {
		return
	}
	blocked, limit := 0, queuedPerCore*float64(n.set.Cores)
	for _, c := range n.classes {
		if !n.callsAllowed(c) {
			n.refuseLeaves(c, func() bool { return float64(c.queue.len()) <= limit })
			blocked += c.queue.len()
		}
	}
	for i := len(n.classes) - 1; i >= 0; i-- {
		if n.callsAllowed(n.classes[i]) {
			n.refuseLeaves(n.classes[i], func() bool { return float64(n.queued-blocked) <= limit })
		}
	}
}

// StopReached reports whether the process is about to be stopped: all requests have been answered, and later
// ones are refused at once.
func (n *Instance) StopReached() bool { return n.draining && n.now >= n.stopAt }

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
		n.reject(r)
	}
}

// makeCall makes the downstream call that a request waits for, skips or defers it, or rejects the request.
func (n *Instance) makeCall(r *request) {
	c := r.class
	r.retryAt = 0
	if r.answered {
		return // Finished will end it
	}
	left := n.profitEnd(r) - n.now
	if left <= n.set.Tick {
		n.reject(r) // as in the paper, a request that earns nothing is dropped
		return
	}
	maxWait := n.callTimeLeft(c)
	if c.SkipWorth > 0 && (maxWait == 0 || n.now < max(n.breakerEnd, n.requiredEnd) || r.callAttempts > 1) {
		n.skippedCalls++ // earns a part of the worth now instead of waiting for capacity
		n.skipCall(r)
		return
	}
	if maxWait == 0 {
		r.retryAt = n.now + gaugeInterval
		n.scheduleCheck(r)
		return
	}
	if c.SkipWorth > 0 {
		left = time.Duration(min(float64(left)*optionalWaitShare, optionalCallTimes*n.meanCallTime))
	}
	if n.callFailures >= breakerFailures && n.now >= n.breakerEnd {
		n.breakerEnd = n.now + breakerOpenTime // this call is the probe
	}
	r.callAttempts++
	r.callInFlight, r.callDeadline = true, n.now-n.startedAt+min(left, maxWait)
	n.callsInFlight++
	n.callDeadlines += r.callDeadline
	n.emit(MakeCall{ID: r.ID, MaxWait: min(left, maxWait)})
}

// callTimeLeft is how long one more downstream call may take; 0: no call may start. It keeps the downstream
// tier, which all servers share, from more concurrent calls than it survives, when it is slow or silent, when
// servers are cold, or under load. Calls count by their time within the period, those in flight as if they
// took their full time limit, so that the used part of the share is never exceeded. This does harm where
// other servers leave their shares unused. Optional calls leave the time that required calls are likely to
// need. Otherwise they fill the period while downstream is slow, and requests with required calls fail.
func (n *Instance) callTimeLeft(c *classState) time.Duration {
	period := float64(n.set.CallPeriod)
	if n.set.DownstreamShare <= 0 || period <= 0 {
		return math.MaxInt64
	}
	n.updateCallTime()
	limit := usedCallShare * n.set.DownstreamShare * period
	if c.SkipWorth > 0 {
		requiredRate := n.recent.requiredCalls * (1 - trafficDecay) / float64(windowLength) // per nanosecond
		limit -= min(requiredMargin*requiredRate*period*n.meanCallTime, maxRequiredShare*limit)
	}
	pending := float64(n.callDeadlines) - float64(n.callsInFlight)*float64(n.now-n.startedAt)
	wait := limit - n.callTime - max(pending, 0) - float64(n.callsInFlight+1)*float64(n.set.AbandonedCallTime)
	if n.callsInFlight == 0 {
		wait = max(wait, limit/2-n.callTime) // else a share below AbandonedCallTime would allow no call
	}
	if wait < min(minCallTimes*n.meanCallTime, limit/4) {
		return 0
	}
	return time.Duration(wait)
}

// updateCallTime updates callTime, the sum over the buckets; the oldest is cleared when the next one begins.
func (n *Instance) updateCallTime() {
	bucket := max(n.set.CallPeriod/(callBuckets-1), 1)
	if n.now-n.callTimeAt > n.set.CallPeriod+bucket {
		n.callTimeAt = n.now - n.set.CallPeriod - bucket // older time is outside the period
	}
	for n.callTimeAt < n.now {
		i := n.callTimeAt / bucket
		end := min((i+1)*bucket, n.now)
		n.callTimeBuckets[i%callBuckets] += float64(n.callsInFlight) * float64(end-n.callTimeAt)
		if n.callTimeAt = end; end == (i+1)*bucket {
			n.callTimeBuckets[(i+1)%callBuckets] = 0
		}
	}
	n.callTime = 0
	for _, t := range n.callTimeBuckets {
		n.callTime += t
	}
}

// endCall accounts for the end of a call; an abandoned one keeps running downstream for AbandonedCallTime.
func (n *Instance) endCall(r *request, abandoned bool) {
	if !r.callInFlight {
		return
	}
	n.updateCallTime()
	if abandoned {
		bucket := max(n.set.CallPeriod/(callBuckets-1), 1)
		n.callTimeBuckets[n.now/bucket%callBuckets] += float64(n.set.AbandonedCallTime)
	}
	r.callInFlight = false
	n.callDeadlines -= r.callDeadline
	n.callsInFlight--
}

// callsAllowed says whether a run of the class could make its calls now. A run that can't would only take
// memory and count towards the concurrency limit.
func (n *Instance) callsAllowed(c *classState) bool {
	return !c.Calls || c.SkipWorth > 0 || n.now >= n.breakerEnd && n.callTimeLeft(c) > 0
}

func (n *Instance) skipCall(r *request) {
	n.emit(SkipCall{ID: r.ID})
	n.resumeRun(r)
}

func (n *Instance) resumeRun(r *request) {
	r.state = running
	n.calling--
	n.runnableDelta++
	n.scheduleCheck(r)
}

func (n *Instance) callReturned(e CallReturned) {
	if e.Outcome == OK {
		n.callFailures, n.breakerEnd = 0, 0
	} else if n.callFailures++; n.callFailures == breakerFailures {
		n.breakerEnd = n.now + breakerOpenTime
	}
	r := n.requests[e.ID]
	if r == nil || r.state != calling {
		return
	}
	n.endCall(r, e.Outcome == TimedOut)
	if e.Outcome == OK || e.Outcome == TimedOut {
		n.meanCallTime += learnRate * (float64(e.Duration) - n.meanCallTime)
		n.timedCalls++
	}
	if e.Outcome == OK {
		n.resumeRun(r)
		return
	}
	if r.answered {
		return
	}
	// The capacity of a full downstream tier is left to required calls.
	mayRetry := e.Outcome == Full && r.class.SkipWorth == 0 || e.Outcome == Unreachable || e.Outcome == NotRun
	if e.Outcome == InvalidReply && r.class.Safety == Safe {
		mayRetry = r.callAttempts == 1 // safe to run twice: one more attempt before a skip
	}
	wait := callBackoff << min(r.callAttempts, 2)
	wait += time.Duration(n.rng.Int64N(int64(callBackoff)))
	switch {
	case mayRetry && r.callAttempts < maxCallAttempts && n.now+wait < n.profitEnd(r):
		r.retryAt = n.now + wait
		n.scheduleCheck(r)
		if e.Outcome == Full {
			n.requiredEnd = n.now + 2*wait // optional calls leave the capacity to it
		}
	case r.class.SkipWorth > 0:
		n.skipCall(r)
	default:
		n.reject(r)
	}
}

func (n *Instance) setTimer() {
	at := n.windowEnd
	if n.queued > 0 {
		at = min(at, n.now+gaugeInterval)
	}
	if n.timeline.len() > 0 {
		at = min(at, max(n.timeline.first().at, n.now+1))
	}
	if n.draining && n.now < n.stopAt {
		at = min(at, n.stopAt)
	}
	// A host with a coarser clock may fire a timer slightly early or not at all. A timer whose token came or
	// whose time has passed is therefore replaced, otherwise no further event would come.
	if n.timerPending && n.timerAt <= at && n.now < n.timerAt {
		return
	}
	n.timerToken++
	n.timerPending, n.timerAt = true, at
	n.emit(SetTimer{At: at, Token: n.timerToken})
}
