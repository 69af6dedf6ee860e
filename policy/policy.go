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
	gaugeInterval      = 20 * time.Millisecond // polling of the gauges, which average over 500 ms
	windowLength       = time.Second / 2       // monitoring window
	dropTolerance      = 0.2                   // delta of the paper: noise of a ratio in one window
	allowanceStep      = 1                     // incr of the paper
	maxAllowance       = 32                    // bounds a round, so that recovery takes few windows
	pauseBusyShare     = 0.95                  // further starts pause from this share of busy cores
	resumeBusyShare    = 0.80                  // and resume below this share
	minRunsPerCore     = 1.0                   // runs per core below which starts never pause
	concurrencyShare   = 0.7                   // used part of the concurrency that a server survives
	memoryShare        = 0.92                  // used part of the memory
	firstRunDivisor    = 6                     // first estimate of a run: the tightest aim over this
	maxOutlier         = 5                     // a run counts for this many times the mean at most
	learnRate          = 0.1                   // weight of a new sample of a run
	estimateDecay      = 0.8                   // reduces an estimate that refused everything, to test it
	hopelessMargin     = 1.0                   // hopeless: less time left than this many estimated runs
	doubtfulMargin     = 2.5                   // doubtful: less than this many; refused if others wait
	stopMargin         = time.Second / 10      // all requests are answered this long before the stop
	maxCallAttempts    = 8                     // attempts of a call that provably did not run
	callBackoff        = 30 * time.Millisecond // first wait between such attempts; doubles
	retryAfterShare    = 0.25                  // longest wait advised, as a part of MaxRetryAfter
	minRetryAfter      = 20 * time.Millisecond // shortest wait advised: a few runs have ended by then
	maxUnreadShare     = 0.8                   // part of the tightest aim that requests may wait unread
	optionalWaitShare  = 0.5                   // an optional call may take this part of the time left
	breakerFailures    = 5                     // consecutive failed calls that open the breaker
	shedThreshold      = 0.05                  // refused share above which callers shed load
	shedGain           = 0.5                   // part of the refused share that is shed in addition
	shedRecovery       = 0.05                  // decrease of the shed share per window without refusals
	queuedPerCore      = 1.5                   // queued requests per core
	creditPerCore      = 6.0                   // requests per core granted to callers while they shed
	maxShedShare       = 0.65                  // some traffic must arrive, or nothing would be learned
	firstWaitShare     = 0.95                  // a wait below this part of the longest is that of a retry
	highRetryShare     = 0.2                   // share of retries that shows an overloaded fleet
	maxRetryShare      = 0.4                   // above this, and if much is shed, retries find no capacity
	trafficDecay       = 0.7                   // weight of earlier traffic, per window
	highReadShare      = 0.2                   // share of reading in request time that makes refusals costly
	maxCallerGap       = 5 * time.Second       // mean gap of a caller that justifies an open connection
	minIdleTimeout     = time.Second           // shortest idle timeout; busier callers stay connected
	breakerOpenTime    = time.Second           // how long the breaker is open before one call probes it
	usedCallShare      = 0.8                   // used part of the share of downstream calls
	optionalCallTimes  = 8                     // an optional call may take this many mean call times
	callBuckets        = 21                    // buckets of call time; one more than the period needs
	requiredMargin     = 2                     // required calls reserve this many times their mean need,
	maxRequiredShare   = 0.5                   // as counts are small, and at most this part of the time
	minCallTimes       = 4                     // a call needs time for this many mean call times
	minSharedCallTimes = 2                     // the same where another process has a share of the limit
)

// New validates the settings and returns an instance. The same seed and events give the same actions.
func New(set Settings, seed uint64) (*Instance, error) {
	if err := check(set); err != nil {
		return nil, err
	}
	n := &Instance{rng: rand.New(rand.NewPCG(seed, 0)), requests: map[ID]*request{}, runnable: -1,
		meanCallTime: float64(callBackoff), peers: newPeerState(),
		timeline: orderedHeap[scheduledCheck]{less: checkedBefore}}
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
	n.reportToPeers()
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
	case StartedElsewhere:
		n.startedElsewhere(e.ID)
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
	case PeerJoined:
		n.peerJoined(e)
	case PeerReported:
		n.peerReported(e)
	case PeerLeft:
		n.peerLeft(e)
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
	n.peers.reportDue = true
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

// StopReached reports whether the process is about to be stopped: all requests have been answered, and later
// ones are refused at once.
func (n *Instance) StopReached() bool { return n.draining && n.now >= n.stopAt }

func (n *Instance) setTimer() {
	at := n.windowEnd
	if n.queued > 0 || n.peers.reporting() {
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
