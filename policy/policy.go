// The decision module. Its interface (settings, events, actions) is in api.go.

// Package policy decides, inside one server, which requests are taken, run and turned away.
package policy

import (
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"time"
)

// Tuned values. Each is a share, a count or a span that holds for any site.
const (
	gaugeInterval     = 20 * time.Millisecond // reading of the gauges; well under their half second
	windowLength      = time.Second / 2       // monitoring window
	dropTolerance     = 0.2                   // PAPER's delta: noise of a ratio within one window
	allowanceStep     = 1                     // PAPER's incr
	maxAllowance      = 32                    // bounds a round, so that recovery takes few windows
	pauseBusyShare    = 0.95                  // starts above the floor pause from this share of busy cores
	resumeBusyShare   = 0.80                  // and resume below this one
	minRunsPerCore    = 1.0                   // runs a core below which the gate never pauses
	concurrencyShare  = 0.7                   // part of the told survivable crowd that is used
	memoryShare       = 0.92                  // part of the memory that is used
	firstRunDivisor   = 6                     // a run is first taken for the tightest aim over this
	maxOutlier        = 5                     // a run counts so many times the mean at most
	learnRate         = 0.1                   // weight of a new sample of a run
	estimateDecay     = 0.8                   // shrinks an estimate that refused everything, to test it
	hopelessMargin    = 1.0                   // hopeless: less time left than this many estimated runs
	doubtfulMargin    = 2.5                   // doubtful: less than this many; gives way where others wait
	stopMargin        = 60 * time.Millisecond // all is answered so long before the process is stopped
	maxCallAttempts   = 8                     // a call proven unrun is made so many times at most
	callBackoff       = 30 * time.Millisecond // first wait between such tries; doubles
	retryAfterShare   = 0.25                  // longest advice to stay away, as a part of what is heeded
	minRetryAfter     = 20 * time.Millisecond // shortest such advice: by then a few runs have ended
	maxUnreadShare    = 0.8                   // part of the tightest aim that requests may wait unread
	optionalWaitShare = 0.5                   // a call that may be left out gets this part of the time left
	breakerFailures   = 5                     // failed calls in a row that open the breaker
	shedThreshold     = 0.05                  // refused share from which callers are told to send less
	shedGain          = 0.5                   // part of the refused share that is shed more in a window
	shedRecovery      = 0.05                  // share that is let back in a window without refusals
	queuedPerCore     = 1.5                   // requests held for each core
	creditPerCore     = 6.0                   // requests a core that callers have here while they shed
	maxShedShare      = 0.65                  // some traffic always comes, or nothing would be learned
	firstWaitShare    = 0.95                  // a told wait under this part of the fullest is a further try's
	highRetryShare    = 0.2                   // share of further tries that shows the fleet short
	maxRetryShare     = 0.4                   // and, where much is shed here too, short of room for any of them
	trafficDecay      = 0.7                   // part of the earlier traffic that still counts
	highReadShare     = 0.2                   // share of reading in the time of requests that makes refusals dear
	maxCallerGap      = 5 * time.Second       // a caller's mean gap up to which its connection is worth its keep
	minIdleTimeout    = time.Second           // else it closes so soon; a busier caller keeps his
	breakerOpenTime   = time.Second           // how long it stays open before one call tests it
	usedCallShare     = 0.8                   // part of the told share of calls below that is used
	optionalCallTimes = 8                     // an optional call is waited for so many learned call times
	callBuckets       = 21                    // parts in which their time is kept, one more than fill the span
	requiredMargin    = 2                     // room below kept for so many times the need of calls that can't
	maxRequiredShare  = 0.5                   // be left out, since counts are small, and at most this part of it
	minCallTimes      = 4                     // a call below is made with room for so many learned call times
)

// runsBefore is the order within a class: smallest size first, ties by deadline. Without hints all are of the
// class's one learned mean, and so tied.
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

// New checks the settings and makes an instance. The same seed and events give the same actions.
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

// UpdateSettings puts other settings into force. Open requests keep the class that they came with.
func (n *Instance) UpdateSettings(set Settings) error {
	if err := check(set); err != nil {
		return err
	}
	set.JustStarted = n.set.JustStarted // the machine is as cold as it was
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
			guess := float64(n.minAim) / firstRunDivisor
			c = &classState{Class: spec, meanRun: guess, meanSize: guess, queue: orderedHeap[*request]{less: runsBefore}}
			if existing != nil { // what was learned of the work still holds
				c.meanRun, c.meanSize, c.samples = existing.meanRun, existing.meanSize, existing.samples
			}
		}
		n.byName[spec.Name] = c
		if !slices.Contains(n.classes, c) {
			n.classes = append(n.classes, c)
		}
	}
	// Worth is told per unit of work where it counts so. With one mean size for all at the start, the
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

// Handle takes the events of one moment and returns what is to be done, in order. The slice
// is good until the next call. A clock that goes backwards is taken to stand still.
func (n *Instance) Handle(now time.Duration, events []Event) []Action {
	n.actions = n.actions[:0]
	if !n.started {
		n.started, n.now, n.startedAt, n.coldSince = true, now, now, now
		n.windowEnd = now + windowLength
		n.emit(Health{Shallow: true, Healthy: true}) // checks must not cost work or load what lies below
	}
	n.now = max(n.now, now)
	for _, e := range events {
		n.handleEvent(e)
	}
	for _, r := range n.arrivals {
		r.original = n.requests[r.Original] // before any of the batch is turned away and forgotten
	}
	for _, r := range n.arrivals {
		n.admit(r)
	}
	n.arrivals = n.arrivals[:0]
	if n.draining && n.now >= n.stopAt {
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

// arrive opens the books on a request; admit decides on it once the whole batch is known.
func (n *Instance) arrive(e Arrived) {
	if _, known := n.requests[e.ID]; known {
		return
	}
	c := n.byName[e.Class]
	if c == nil {
		n.emit(Refuse{ID: e.ID}) // a class nobody told us of: safe, since it is never started
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
	// Where further tries are marked, a short wait proves nothing: guards against clients of unlike patience.
	if e.IsRetry || shorter && !n.set.MarksRetry {
		n.recent.retries++
		r.likelyRetry = true
	}
	n.memory += e.KB
	n.requests[e.ID] = r
	n.arrivals = append(n.arrivals, r)
}

// admit settles what a request repeats and holds it.
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
	// A further try has used up an unknown part of its aim: while reading is dear, which brings many of
	// them, it gives way to the first tries that wait. Guards against storms that keep themselves up.
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

// tooLateToStart guards the drain rule: what reached the machine after the grace is never run.
func (n *Instance) tooLateToStart(r *request) bool {
	return n.draining && (r.reachedAt > n.drainStart+n.set.DrainGrace || n.now >= n.stopAt)
}

// resolveRepeat deals with a repeat of a remembered request; false: it is held like any other.
func (n *Instance) resolveRepeat(r *request) bool {
	o := r.original
	for o != nil && o != r && o.successor != nil {
		o = o.successor // an earlier one of this batch took its place
	}
	if o == r {
		o = nil
	}
	if r.class.Safety == Safe {
		return n.resolveSharedRead(r, o)
	}
	// Guards against a second effect, whatever brings the repeat: a try still held gives way to
	// the newer one (its caller moved on); one that ran, or that we know nothing of, is never run
	// again and its repeat never refused.
	r.repeatsRun = o == nil || o.repeatsRun || o.ran
	switch {
	case o != nil && o.repeatsRun && o.primary != nil:
		n.coalesce(r, o.primary)
	case o != nil && (o.state == running || o.state == calling):
		n.coalesce(r, o)
	case o == nil || o.ran && o.succeeded || o.repeatsRun && o.state != ended:
		n.shareResult(r)
	case r.repeatsRun:
		n.reject(r)
	case o.state == ended:
		return false
	case o.seq > r.seq:
		n.reject(r)
	default:
		n.reject(o)
		o.successor = r
		return false
	}
	return true
}

// resolveSharedRead lets a read wait for the same read, or take its result while that is fresh.
func (n *Instance) resolveSharedRead(r, o *request) bool {
	if o == nil || n.tooLateToStart(r) {
		return false
	}
	if o.primary != nil {
		o = o.primary
	}
	switch {
	case o.state == queued || o.state == running || o.state == calling:
		n.coalesce(r, o)
		return true
	case o.state == ended && o.succeeded && n.now-o.endedAt <= n.set.SharedResultTTL:
		n.shareResult(r)
		return true
	}
	return false
}

func (n *Instance) coalesce(r, o *request) {
	r.state, r.primary = coalesced, o
	o.waiters = append(o.waiters, r)
	n.scheduleCheck(r)
}

func (n *Instance) shareResult(r *request) {
	r.state = sharing
	n.emit(ShareResult{ID: r.ID})
	n.scheduleCheck(r)
}

// storeKey ties later tries to this one: at the reading, since two held tries that nobody tied
// would both run. A keyed entry lives for the whole window.
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
	n.schedule(scheduledCheck{at: n.now + ttl, r: r, isExpiry: true})
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

// reject gives a request that does not run its final answer.
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
		return // its memory is back with its Finished
	}
	n.finalize(r)
}

// retryAfter is the advice that goes with a refusal; it goes on to clients, which no hint reaches. Each refusal
// has some: one without it comes back at once, to the same full hold.
func (n *Instance) retryAfter() time.Duration {
	return min(max(time.Duration(n.shed*retryAfterShare*float64(n.set.MaxRetryAfter)), minRetryAfter), n.set.MaxRetryAfter)
}

// finalize ends a request's books; those that follow it are served, failed or held by what it left.
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
		n.schedule(scheduledCheck{at: n.now + n.set.SharedResultTTL, r: r, isExpiry: true})
	}
	n.completeWaiters(r)
	n.prune(r)
}

func (n *Instance) completeWaiters(r *request) {
	waiters := r.waiters
	r.waiters = nil
	var primary *request
	for _, f := range waiters {
		if f.state != coalesced {
			continue
		}
		f.primary = nil
		switch {
		case r.succeeded:
			n.shareResult(f)
		case f.repeatsRun:
			n.reject(f)
		case primary == nil:
			n.enqueue(f)
			if f.state == queued {
				primary = f
			}
		default:
			n.coalesce(f, primary)
		}
	}
}

// prune forgets an ended request unless a repeat may still name it.
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
		took = min(took, maxOutlier*c.meanRun) // one dear request is no slow server; several in a row are
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

// estimateRun is the run that a request would have if started now. With hints it is the learned
// line through the mean: waits do not grow with the size, and a rough hint says little.
func (n *Instance) estimateRun(r *request) time.Duration {
	c := r.class
	run := c.meanRun
	if r.Size > 0 && c.sizeVariance > 0 {
		slope := min(max(c.sizeRunCovariance/c.sizeVariance, 0), c.meanRun/c.meanSize)
		run = max(c.meanRun+slope*(r.size-c.meanSize), c.meanRun/4)
	}
	return time.Duration(run)
}

// profitEnd is when an answer stops earning: the aim where late answers earn nothing.
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

// latestStart is when a request gets hopeless, by a margin of so many estimated runs.
func (n *Instance) latestStart(r *request, margin float64) time.Duration {
	return n.profitEnd(r) - time.Duration(margin*float64(n.estimateRun(r)))
}

// nextCheck is when a request has to be looked at again.
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

func (n *Instance) scheduleCheck(r *request) { n.schedule(scheduledCheck{at: n.nextCheck(r), r: r}) }

func (n *Instance) schedule(m scheduledCheck) {
	n.seq++
	m.seq = n.seq
	n.timeline.push(m)
}

func (n *Instance) runChecks() {
	for n.timeline.len() > 0 && n.timeline.first().at <= n.now {
		m := n.timeline.pop()
		if m.isExpiry {
			n.deleteKey(m.r, m.r.class.Safety == Safe)
			continue
		}
		r := m.r
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
	n.classes = slices.DeleteFunc(n.classes, // those that went, once none is held
		func(c *classState) bool { return c != n.byName[c.Name] && c.queue.len() == 0 })
	n.adjustAllowances()
	arrived, refused := 0, 0
	for _, c := range n.classes {
		// What lies below turned away tells nothing of room here: guards against callers sent off idle cores.
		arrived, refused = arrived+c.arrived, refused+c.refused-c.refusedForCalls
		if c.successfulRuns == 0 && c.refused > 0 {
			// Guards against an estimate that refuses everything and so is never corrected: a
			// spell of slow cores, a pause, a dead tier below.
			c.meanRun *= estimateDecay
		}
		c.arrived, c.refused, c.refusedForCalls, c.successfulRuns = 0, 0, 0, 0
	}
	if n.skippedCalls > n.timedCalls { // what is left out never corrects its time; the wait stays a backoff at least
		n.meanCallTime = max(n.meanCallTime*estimateDecay, min(n.meanCallTime, float64(callBackoff/optionalCallTimes)))
	}
	n.windowStarts, n.skippedCalls, n.timedCalls = 0, 0, 0
	t := n.recent
	n.retryShare = t.retries / max(t.arrived, 1)
	n.readShare = t.readDelay / max(t.readDelay+t.runTime, 1)
	n.updateHealth(t.readDelay/max(t.arrived, 1)/float64(n.minAim), arrived)
	n.updateIdleTimeout()
	n.updateHint(float64(refused) / float64(max(arrived, refused, 1)))
	n.recent = traffic{t.arrived * trafficDecay, t.retries * trafficDecay, t.readDelay * trafficDecay, t.runTime * trafficDecay,
		t.requiredCalls * trafficDecay}
	n.windowEnd = n.now + windowLength
}

// updateHealth takes a server off the list while requests wait unread for much of the tightest aim: what is
// not read can't be refused, and no hint reaches the next of hundreds of callers. Guards against any slow
// server. It stays where further tries are many: then all are short. Limits differ lest all leave at once.
func (n *Instance) updateHealth(unread float64, arrived int) {
	late := unread > n.unreadLimit || n.unhealthy && unread > n.unreadLimit/4
	unhealthy := late && arrived > 0 && n.retryShare < maxRetryShare
	if unhealthy != n.unhealthy && !n.draining {
		n.unhealthy = unhealthy
		n.emit(Health{Shallow: true, Healthy: !unhealthy})
	}
}

// updateIdleTimeout closes connections early where, by the number of callers and what arrives, one comes back
// too seldom to repay a connection that stands open: a table filled by callers that send nothing keeps
// out those that do. While reading is dear they live longer, since a fuller table then keeps out what
// would be read to be refused, whatever brings it. Harmful where handshakes are dear and tables large.
func (n *Instance) updateIdleTimeout() {
	timeout := time.Duration(0)
	perWindow := n.recent.arrived * (1 - trafficDecay)
	if n.set.IdleTimeout > minIdleTimeout && float64(n.set.Callers)*float64(windowLength) > float64(maxCallerGap)*perWindow {
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

// updateHint sheds at the callers what would be read only to be refused: the share to stay away
// follows the refused share of what still comes. Guards against reading, and retries of what was
// refused, taking the cores from the work; harmful where a few callers carry all that is worth much.
func (n *Instance) updateHint(refusedShare float64) {
	shed := n.shed
	if refusedShare > shedThreshold {
		shed = min(1-(1-shed)*(1-shedGain*refusedShare), maxShedShare)
	} else {
		shed = max(shed-shedRecovery, 0)
		if n.queued == 0 && n.running < n.set.Cores {
			shed /= 2 // guards against callers sent off idle cores for seconds after a burst
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
			n.emit(SetHint{Value: float64(n.maxConcurrency())}) // one caller alone may fill the crowd
		}
	}
}

// credit parts among the callers what this server has room for, less the share to stay away: runs, held and
// unread, for callers never all have theirs. Guards against starving the cores where a handful of callers
// carry all traffic; of hundreds each has a credit under 1, which counts by chance.
func (n *Instance) credit(shed float64) float64 {
	perCaller := creditPerCore * float64(n.set.Cores) / float64(max(n.set.Callers, 1))
	return (1 - shed) * max(perCaller, 1)
}

func (c *classState) dropRatio() float64 {
	return float64(c.refused) / float64(max(c.arrived, c.refused, 1))
}

// adjustAllowances is PAPER's figure 2, with ratios multiplied out so that no refusals divide nothing.
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

// targetDropRatio is d, the wanted ratio of a's drops to b's: 1/(p a). Two classes of no worth have none.
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

// warmFraction is 1 once the machine is surely warm.
func (n *Instance) warmFraction() float64 {
	if !n.set.JustStarted || n.set.WarmupPeriod <= 0 {
		return 1
	}
	return min(float64(n.now-n.coldSince)/float64(n.set.WarmupPeriod), 1)
}

// fleetOverloaded tells that reading takes much of the cores: what is refused here and tried again is read at
// the cost of runs. A cold server reads slowly while others have room.
func (n *Instance) fleetOverloaded() bool {
	return n.readShare > highReadShare && n.retryShare > highRetryShare/2 && n.warmFraction() == 1
}

// maxConcurrency is the crowd that is let in: a part of what the machine survives, less while it is cold.
func (n *Instance) maxConcurrency() int {
	share := n.set.ColdSpeedShare + (1-n.set.ColdSpeedShare)*n.warmFraction()
	limit := float64(n.set.Cores) * (1 + (n.set.MaxRunningPerCore-1)*share) * concurrencyShare
	return max(int(limit), 1)
}

// mayStartRun says whether one more start fits: under the ceiling always, and either below the
// floor or with the gauge low and few starts in this window, since the gauge shows them late.
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

// nextClass is the scan of the round: the first class with held work and allowance left.
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

// trimQueue drops from the top of a queue what is no longer held, and refuses what is hopeless. About
// half of all runs outlast their mean, so while others wait for each core a doubtful one gives way.
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

// memoryLimit is what held requests and entries may fill: room for the runs of the floor stays.
func (n *Instance) memoryLimit() float64 {
	limit := n.set.MemoryKB * memoryShare
	free := float64(n.set.Cores) - float64(n.running)
	if free > 0 && len(n.requests) > 0 {
		limit -= free * n.memory / float64(len(n.requests)) * (n.set.RunMemoryFactor - 1)
	}
	return max(limit, n.set.MemoryKB*memoryShare/2)
}

// refuseLeaves turns away work of one class that none waits behind until the rest fits.
func (n *Instance) refuseLeaves(c *classState, fits func() bool) {
	for c.queue.len() > 0 && !fits() {
		if r := c.queue.popLeaf(); r.state == queued {
			n.reject(r)
		}
	}
}

// limitMemory turns away held work, of the least class first, against any flood: arrivals, sizes, keys.
func (n *Instance) limitMemory() {
	limit := n.memoryLimit()
	for i := len(n.classes) - 1; i >= 0; i-- {
		n.refuseLeaves(n.classes[i], func() bool { return n.memory <= limit })
	}
}

// limitQueues bounds the hold: three requests for each two cores, the next to run. Guards against refusals
// that come too late for another server to help: a skewed spread, a slow machine, a burst. A smaller hold
// refuses in bursts of half a second that reach all servers, where no other has room either. While
// the fleet is short an early refusal would only be read elsewhere, so the hold is not bounded then.
// A class that can't make its calls now has a hold of its own, lest it fill that of the others.
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

// answerAll gives every open request its answer before the process is stopped.
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

// makeCall makes the call that a request stands at, leaves it out, or ends the request.
func (n *Instance) makeCall(r *request) {
	c := r.class
	r.retryAt = 0
	if r.answered {
		return // it ends by itself
	}
	left := n.profitEnd(r) - n.now
	if left <= n.set.Tick {
		n.reject(r) // PAPER: what earns nothing is dropped
		return
	}
	maxWait := n.callTimeLeft(c)
	if c.SkipWorth > 0 && (maxWait == 0 || n.now < max(n.breakerEnd, n.requiredEnd) || r.callAttempts > 1) {
		n.skippedCalls++ // a part of the worth now, where there is no room for one more
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
		n.breakerEnd = n.now + breakerOpenTime // this call is the test
	}
	r.callAttempts++
	r.callInFlight, r.callDeadline = true, n.now-n.startedAt+min(left, maxWait)
	n.callsInFlight++
	n.callDeadlines += r.callDeadline
	n.emit(MakeCall{ID: r.ID, MaxWait: min(left, maxWait)})
}

// callTimeLeft is how long one more call below may take; 0: there is no room for one. Guards what all servers
// share against more calls in hand than it survives, whatever piles them up: slowness, silence, cold servers,
// a crowd. Calls count by their time in the span of the rule, those in hand as if each were given up at its
// end: their time never passes the part of the told share. Harmful where others leave their shares unused.
// Calls that can be left out leave the others what these are likely to take: guards against a slow spell
// below in which the former fill the room of the whole span and requests of the latter fail.
func (n *Instance) callTimeLeft(c *classState) time.Duration {
	period := float64(n.set.CallPeriod)
	if n.set.DownstreamShare <= 0 || period <= 0 {
		return math.MaxInt64
	}
	n.updateCallTime()
	limit := usedCallShare * n.set.DownstreamShare * period
	if c.SkipWorth > 0 {
		requiredRate := n.recent.requiredCalls * (1 - trafficDecay) / float64(windowLength) // such calls that come in a nanosecond
		limit -= min(requiredMargin*requiredRate*period*n.meanCallTime, maxRequiredShare*limit)
	}
	committed := float64(n.callDeadlines) - float64(n.callsInFlight)*float64(n.now-n.startedAt)
	wait := limit - n.callTime - max(committed, 0) - float64(n.callsInFlight+1)*float64(n.set.AbandonedCallTime)
	if n.callsInFlight == 0 {
		wait = max(wait, limit/2-n.callTime) // guards against a share under the time a call lingers
	}
	if wait < min(minCallTimes*n.meanCallTime, limit/4) {
		return 0
	}
	return time.Duration(wait)
}

// updateCallTime brings the time of calls in hand up to date: the sum over the parts of the rule's span, of which
// the oldest goes when the clock reaches a new one.
func (n *Instance) updateCallTime() {
	bucket := max(n.set.CallPeriod/(callBuckets-1), 1)
	if n.now-n.callTimeAt > n.set.CallPeriod+bucket {
		n.callTimeAt = n.now - n.set.CallPeriod - bucket // what is older has left the span
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

// endCall books a call that is no longer waited for; one given up lingers below.
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

// callsAllowed tells whether a run of the class could make its calls now: one that can't would hold memory
// and a place for nothing.
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
	// The room of a full one below goes to those that can't do without.
	mayRetry := e.Outcome == Full && r.class.SkipWorth == 0 || e.Outcome == Unreachable || e.Outcome == NotRun
	if e.Outcome == InvalidReply && r.class.Safety == Safe {
		mayRetry = r.callAttempts == 1 // whatever ran may run again: one more try before the call is left out
	}
	wait := callBackoff << min(r.callAttempts, 2)
	wait += time.Duration(n.rng.Int64N(int64(callBackoff)))
	switch {
	case mayRetry && r.callAttempts < maxCallAttempts && n.now+wait < n.profitEnd(r):
		r.retryAt = n.now + wait
		n.scheduleCheck(r)
		if e.Outcome == Full {
			n.requiredEnd = n.now + 2*wait // it can't be left out and found no room: the others leave it theirs
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
	// Guards against a chain of wakes that breaks: a host whose clock is coarser than ours wakes us a
	// little early, or not at all. A timer whose token came or whose time has passed is spent.
	if n.timerPending && n.timerAt <= at && n.now < n.timerAt {
		return
	}
	n.timerToken++
	n.timerPending, n.timerAt = true, at
	n.emit(SetTimer{At: at, Token: n.timerToken})
}
