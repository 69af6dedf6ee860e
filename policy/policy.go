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
	gaugeEvery    = 20 * time.Millisecond // reading of the gauges; well under their half second
	windowSpan    = time.Second / 2       // monitoring window
	dropTolerance = 0.2                   // PAPER's delta: noise of a ratio within one window
	allowanceStep = 1                     // PAPER's incr
	allowanceMax  = 32                    // bounds a round, so that recovery takes few windows
	busyHigh      = 0.95                  // starts above the floor pause from this share of busy cores
	busyLow       = 0.80                  // and resume below this one
	floorPerCore  = 1.0                   // runs a core below which the gate never pauses
	crowdShare    = 0.7                   // part of the told survivable crowd that is used
	memoryShare   = 0.92                  // part of the memory that is used
	firstGuess    = 6                     // a run is first taken for the tightest aim over this
	outlierMost   = 5                     // a run counts so many times the mean at most
	learnRate     = 0.1                   // weight of a new sample of a run
	forgetRate    = 0.8                   // shrinks an estimate that refused everything, to test it
	lateMargin    = 1.0                   // hopeless: less time left than this many estimated runs
	doubtMargin   = 2.5                   // doubtful: less than this many; gives way where others wait
	stopMargin    = 60 * time.Millisecond // all is answered so long before the process is stopped
	callTries     = 8                     // a call proven unrun is made so many times at most
	callBackoff   = 30 * time.Millisecond // first wait between such tries; doubles
	pauseShare    = 0.25                  // longest advice to stay away, as a part of what is heeded
	pauseLeast    = 20 * time.Millisecond // shortest such advice: by then a few runs have ended
	unreadMost    = 0.8                   // part of the tightest aim that requests may wait unread
	skipAfter     = 0.5                   // a call that may be left out gets this part of the time left
	breakAfter    = 5                     // failed calls in a row that open the breaker
	shedAbove     = 0.05                  // refused share from which callers are told to send less
	shedGain      = 0.5                   // part of the refused share that is shed more in a window
	shedBack      = 0.05                  // share that is let back in a window without refusals
	holdPerCore   = 1.5                   // requests held for each core
	creditPerCore = 6.0                   // requests a core that callers have here while they shed
	shedMost      = 0.65                  // some traffic always comes, or nothing would be learned
	fullWaitShare = 0.95                  // a told wait under this part of the fullest is a further try's
	retriesMany   = 0.2                   // share of further tries that shows the fleet short
	retriesMost   = 0.4                   // and, where much is shed here too, short of room for any of them
	keepOld       = 0.7                   // part of the earlier traffic that still counts
	readMany      = 0.2                   // share of reading in the time of requests that makes refusals dear
	gapMost       = 5 * time.Second       // a caller's mean gap up to which its connection is worth its keep
	idleLeast     = time.Second           // else it closes so soon; a busier caller keeps his
	breakSpan     = time.Second           // how long it stays open before one call tests it
	belowPart     = 0.8                   // part of the told share of calls below that is used
	skipPatience  = 8                     // an optional call is waited for so many learned call times
	callParts     = 21                    // parts in which their time is kept, one more than fill the span
	needyMargin   = 2                     // room below kept for so many times the need of calls that can't
	needyMost     = 0.5                   // be left out, since counts are small, and at most this part of it
	callPatience  = 4                     // a call below is made with room for so many learned call times
)

// before is the order within a class: smallest size first, ties by deadline. Without hints all are of the
// class's one learned mean, and so tied.
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

// New checks the settings and makes an instance. The same seed and events give the same actions.
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

// Adopt puts other settings into force. Open requests keep the class that they came with.
func (n *Instance) Adopt(set Settings) error {
	if err := check(set); err != nil {
		return err
	}
	set.JustStarted = n.set.JustStarted // the machine is as cold as it was
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
			if was != nil { // what was learned of the work still holds
				c.run, c.size, c.samples = was.run, was.size, was.samples
			}
		}
		n.byName[told.Name] = c
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
		least := max(n.classes[len(n.classes)-1].Worth, 1/math.MaxFloat64)
		c.allowance = int(min(max(math.Round(c.Worth/least), 1), allowanceMax))
	}
}

// Handle takes the events of one moment and returns what is to be done, in order. The slice
// is good until the next call. A clock that goes backwards is taken to stand still.
func (n *Instance) Handle(now time.Duration, events []Event) []Action {
	n.out = n.out[:0]
	if !n.begun {
		n.begun, n.now, n.born, n.coldFrom = true, now, now, now
		n.windowEnd = now + windowSpan
		n.do(Health{Shallow: true, Good: true}) // checks must not cost work or load what lies below
	}
	n.now = max(n.now, now)
	for _, e := range events {
		n.take(e)
	}
	for _, r := range n.arrivals {
		r.first = n.requests[r.Original] // before any of the batch is turned away and forgotten
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
			n.draining, n.drainFrom = true, n.now-e.Ago
			n.do(Health{Shallow: true})
		}
		n.stopAt = n.now + e.Left - max(stopMargin, 3*n.set.Tick)
	case Woke:
		n.reading(e)
	}
}

// arrive opens the books on a request; admit decides on it once the whole batch is known.
func (n *Instance) arrive(e Arrived) {
	if _, known := n.requests[e.ID]; known {
		return
	}
	c := n.byName[e.Class]
	if c == nil {
		n.do(Refuse{ID: e.ID}) // a class nobody told us of: safe, since it is never started
		return
	}
	n.seq++
	r := &request{Arrived: e, class: c, seq: n.seq, reached: n.now - max(e.Waited, 0)}
	r.due = r.reached + c.Deadline
	if e.Left > 0 {
		r.due = n.now + e.Left
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
	if c.Calls && c.SkipWorth == 0 {
		n.recent.needy++
	}
	c.fullWait = max(c.fullWait, e.Left+max(e.Waited, 0))
	shorter := e.Left > 0 && float64(e.Left+max(e.Waited, 0)) < float64(c.fullWait)*fullWaitShare
	// Where further tries are marked, a short wait proves nothing: guards against clients of unlike patience.
	if e.Resent || shorter && !n.set.MarksRetry {
		n.recent.resent++
		r.again = true
	}
	n.memory += e.KB
	n.requests[e.ID] = r
	n.arrivals = append(n.arrivals, r)
}

// admit settles what a request repeats and holds it.
func (n *Instance) admit(r *request) {
	if r.state != fresh {
		return
	}
	if r.Repeats && n.settleRepeat(r) {
		return
	}
	n.hold(r)
}

func (n *Instance) hold(r *request) {
	// A further try has used up an unknown part of its aim: while reading is dear, which brings many of
	// them, it gives way to the first tries that wait. Guards against storms that keep themselves up.
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

// tooLateToStart guards the drain rule: what reached the machine after the grace is never run.
func (n *Instance) tooLateToStart(r *request) bool {
	return n.draining && (r.reached > n.drainFrom+n.set.DrainGrace || n.now >= n.stopAt)
}

// settleRepeat deals with a repeat of a remembered request; false: it is held like any other.
func (n *Instance) settleRepeat(r *request) bool {
	o := r.first
	for o != nil && o != r && o.heir != nil {
		o = o.heir // an earlier one of this batch took its place
	}
	if o == r {
		o = nil
	}
	if r.class.Safety == Safe {
		return n.settleShared(r, o)
	}
	// Guards against a second effect, whatever brings the repeat: a try still held gives way to
	// the newer one (its caller moved on); one that ran, or that we know nothing of, is never run
	// again and its repeat never refused.
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

// settleShared lets a read wait for the same read, or take its result while that is fresh.
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
	case o.state == over && o.good && n.now-o.ended <= n.set.FreshFor:
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

// remember ties later tries to this one: at the reading, since two held tries that nobody tied
// would both run. A keyed entry lives for the whole window.
func (n *Instance) remember(r *request) {
	c := r.class
	span := r.due - n.now
	switch {
	case c.Safety == Keyed:
		span = max(span, r.reached+c.KeyTTL-n.now) + 2*n.set.Tick
	case c.Safety == Safe && n.set.FreshFor > 0 && r.Key != "" && !r.Write:
		span += n.set.FreshFor
	default:
		return
	}
	r.stored = true
	n.memory += n.set.EntryKB
	n.do(Remember{ID: r.ID, Span: span})
	n.at(moment{at: n.now + span, r: r, entry: true})
}

func (n *Instance) dropEntry(r *request, tell bool) {
	if !r.stored {
		return
	}
	r.stored = false
	n.memory -= n.set.EntryKB
	if tell {
		n.do(Forget{ID: r.ID})
	}
	n.prune(r)
}

// turnAway gives a request that does not run its final answer.
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
		n.do(Refuse{ID: r.ID, Pause: n.comeBack(), NoRetry: last})
	}
	if r.state == running || r.state == calling {
		return // its memory is back with its Finished
	}
	n.close(r)
}

// comeBack is the advice that goes with a refusal; it goes on to clients, which no hint reaches. Each refusal
// has some: one without it comes back at once, to the same full hold.
func (n *Instance) comeBack() time.Duration {
	return min(max(time.Duration(n.shed*pauseShare*float64(n.set.MaxPause)), pauseLeast), n.set.MaxPause)
}

// close ends a request's books; those that follow it are served, failed or held by what it left.
func (n *Instance) close(r *request) {
	if r.state == over {
		return
	}
	if r.state == running || r.state == calling {
		n.running--
		n.memory -= r.KB * (n.set.RunFactor - 1)
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
		n.at(moment{at: n.now + n.set.FreshFor, r: r, entry: true})
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

// prune forgets an ended request unless a repeat may still name it.
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
		n.learn(r, float64(e.Took))
	}
	r.answered = true
	n.close(r)
}

func (n *Instance) learn(r *request, took float64) {
	c := r.class
	c.ended++
	if c.samples++; c.samples > 1/learnRate {
		took = min(took, outlierMost*c.run) // one dear request is no slow server; several in a row are
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

// estimate is the run that a request would have if started now. With hints it is the learned
// line through the mean: waits do not grow with the size, and a rough hint says little.
func (n *Instance) estimate(r *request) time.Duration {
	c := r.class
	run := c.run
	if r.Size > 0 && c.sizeVar > 0 {
		slope := min(max(c.sizeRun/c.sizeVar, 0), c.run/c.size)
		run = max(c.run+slope*(r.size-c.size), c.run/4)
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
	return n.profitEnd(r) - time.Duration(margin*float64(n.estimate(r)))
}

// next is when a request has to be looked at again.
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
	n.classes = slices.DeleteFunc(n.classes, // those that went, once none is held
		func(c *class) bool { return c != n.byName[c.Name] && c.queue.len() == 0 })
	n.retune()
	seen, refused := 0, 0
	for _, c := range n.classes {
		// What lies below turned away tells nothing of room here: guards against callers sent off idle cores.
		seen, refused = seen+c.seen, refused+c.refused-c.refusedBelow
		if c.ended == 0 && c.refused > 0 {
			// Guards against an estimate that refuses everything and so is never corrected: a
			// spell of slow cores, a pause, a dead tier below.
			c.run *= forgetRate
		}
		c.seen, c.refused, c.refusedBelow, c.ended = 0, 0, 0, 0
	}
	if n.leftOut > n.timed { // what is left out never corrects its time; the wait stays a backoff at least
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

// tellHealth takes a server off the list while requests wait unread for much of the tightest aim: what is
// not read can't be refused, and no hint reaches the next of hundreds of callers. Guards against any slow
// server. It stays where further tries are many: then all are short. Limits differ lest all leave at once.
func (n *Instance) tellHealth(unread float64, seen int) {
	late := unread > n.unreadMost || n.sick && unread > n.unreadMost/4
	sick := late && seen > 0 && n.retryShare < retriesMost
	if sick != n.sick && !n.draining {
		n.sick = sick
		n.do(Health{Shallow: true, Good: !sick})
	}
}

// closeIdle closes connections early where, by the number of callers and what arrives, one comes back
// too seldom to repay a connection that stands open: a table filled by callers that send nothing keeps
// out those that do. While reading is dear they live longer, since a fuller table then keeps out what
// would be read to be refused, whatever brings it. Harmful where handshakes are dear and tables large.
func (n *Instance) closeIdle() {
	after := time.Duration(0)
	perWindow := n.recent.arrived * (1 - keepOld)
	if n.set.Idle > idleLeast && float64(n.set.Callers)*float64(windowSpan) > float64(gapMost)*perWindow {
		after = max(n.idle, idleLeast)
		if n.paused && n.readShare > readMany {
			after = min(after*3/2, n.set.Idle)
		} else if !n.paused || n.readShare < readMany/2 {
			after = max(after*2/3, idleLeast)
		}
	}
	if after != n.idle {
		n.idle = after
		n.do(CloseIdle{After: after})
	}
}

// advise sheds at the callers what would be read only to be refused: the share to stay away
// follows the refused share of what still comes. Guards against reading, and retries of what was
// refused, taking the cores from the work; harmful where a few callers carry all that is worth much.
func (n *Instance) advise(drop float64) {
	shed := n.shed
	if drop > shedAbove {
		shed = min(1-(1-shed)*(1-shedGain*drop), shedMost)
	} else {
		shed = max(shed-shedBack, 0)
		if n.held == 0 && n.running < n.set.Cores {
			shed /= 2 // guards against callers sent off idle cores for seconds after a burst
		}
	}
	if shed == n.shed {
		return
	}
	n.shed = shed
	switch n.set.Hint {
	case HintLevel:
		n.do(Advise{Value: shed})
	case HintWeight:
		n.do(Advise{Value: 1 - shed})
	case HintCredit:
		if shed > 0 {
			n.do(Advise{Value: n.credit(shed)})
		} else {
			n.do(Advise{Value: float64(n.ceiling())}) // one caller alone may fill the crowd
		}
	}
}

// credit parts among the callers what this server has room for, less the share to stay away: runs, held and
// unread, for callers never all have theirs. Guards against starving the cores where a handful of callers
// carry all traffic; of hundreds each has a credit under 1, which counts by chance.
func (n *Instance) credit(shed float64) float64 {
	room := creditPerCore * float64(n.set.Cores) / float64(max(n.set.Callers, 1))
	return (1 - shed) * max(room, 1)
}

func (c *class) dropRatio() float64 {
	return float64(c.refused) / float64(max(c.seen, c.refused, 1))
}

// retune is PAPER's figure 2, with ratios multiplied out so that no refusals divide nothing.
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

// dropAim is d, the wanted ratio of a's drops to b's: 1/(p a). Two classes of no worth have none.
func (n *Instance) dropAim(a, b *class) float64 {
	pay := a.Worth / b.Worth
	agree := (float64(a.Aim) / a.size) / (float64(b.Aim) / b.size)
	return 1 / (pay * agree)
}

func (n *Instance) reading(e Woke) {
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

// warmth is 1 once the machine is surely warm.
func (n *Instance) warmth() float64 {
	if !n.set.JustStarted || n.set.Cold <= 0 {
		return 1
	}
	return min(float64(n.now-n.coldFrom)/float64(n.set.Cold), 1)
}

// short tells that reading takes much of the cores: what is refused here and tried again is read at
// the cost of runs. A cold server reads slowly while others have room.
func (n *Instance) short() bool {
	return n.readShare > readMany && n.retryShare > retriesMany/2 && n.warmth() == 1
}

// ceiling is the crowd that is let in: a part of what the machine survives, less while it is cold.
func (n *Instance) ceiling() int {
	share := n.set.ColdShare + (1-n.set.ColdShare)*n.warmth()
	crowd := float64(n.set.Cores) * (1 + (n.set.FallMultiple-1)*share) * crowdShare
	return max(int(crowd), 1)
}

// gateOpen says whether one more start fits: under the ceiling always, and either below the
// floor or with the gauge low and few starts in this window, since the gauge shows them late.
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

// nextQueue is the scan of the round: the first class with held work and allowance left.
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

// trim drops from the top of a queue what is no longer held, and refuses what is hopeless. About
// half of all runs outlast their mean, so while others wait for each core a doubtful one gives way.
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
		more := r.KB * (n.set.RunFactor - 1)
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

// memoryLimit is what held requests and entries may fill: room for the runs of the floor stays.
func (n *Instance) memoryLimit() float64 {
	limit := n.set.MemoryKB * memoryShare
	free := float64(n.set.Cores) - float64(n.running)
	if free > 0 && len(n.requests) > 0 {
		limit -= free * n.memory / float64(len(n.requests)) * (n.set.RunFactor - 1)
	}
	return max(limit, n.set.MemoryKB*memoryShare/2)
}

// dropLeaves turns away work of one class that none waits behind until the rest fits.
func (n *Instance) dropLeaves(c *class, fits func() bool) {
	for c.queue.len() > 0 && !fits() {
		if r := c.queue.popLeaf(); r.state == held {
			n.turnAway(r)
		}
	}
}

// guardMemory turns away held work, of the least class first, against any flood: arrivals, sizes, keys.
func (n *Instance) guardMemory() {
	limit := n.memoryLimit()
	for i := len(n.classes) - 1; i >= 0; i-- {
		n.dropLeaves(n.classes[i], func() bool { return n.memory <= limit })
	}
}

// guardHold bounds the hold: three requests for each two cores, the next to run. Guards against refusals
// that come too late for another server to help: a skewed spread, a slow machine, a burst. A smaller hold
// refuses in bursts of half a second that reach all servers, where no other has room either. While
// the fleet is short an early refusal would only be read elsewhere, so the hold is not bounded then.
// A class that can't make its calls now has a hold of its own, lest it fill that of the others.
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
		n.turnAway(r)
	}
}

// call makes the call that a request stands at, leaves it out, or ends the request.
func (n *Instance) call(r *request) {
	c := r.class
	r.retryAt = 0
	if r.answered {
		return // it ends by itself
	}
	left := n.profitEnd(r) - n.now
	if left <= n.set.Tick {
		n.turnAway(r) // PAPER: what earns nothing is dropped
		return
	}
	patience := n.callRoom(c)
	if c.SkipWorth > 0 && (patience == 0 || n.now < max(n.breakEnd, n.needyEnd) || r.tries > 1) {
		n.leftOut++ // a part of the worth now, where there is no room for one more
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
		n.breakEnd = n.now + breakSpan // this call is the test
	}
	r.tries++
	r.out, r.callEnd = true, n.now-n.born+min(left, patience)
	n.inHand++
	n.callEnds += r.callEnd
	n.do(CallOut{ID: r.ID, MaxWait: min(left, patience)})
}

// callRoom is how long one more call below may take; 0: there is no room for one. Guards what all servers
// share against more calls in hand than it survives, whatever piles them up: slowness, silence, cold servers,
// a crowd. Calls count by their time in the span of the rule, those in hand as if each were given up at its
// end: their time never passes the part of the told share. Harmful where others leave their shares unused.
// Calls that can be left out leave the others what these are likely to take: guards against a slow spell
// below in which the former fill the room of the whole span and requests of the latter fail.
func (n *Instance) callRoom(c *class) time.Duration {
	span := float64(n.set.CallSpan)
	if n.set.BelowShare <= 0 || span <= 0 {
		return math.MaxInt64
	}
	n.countCalls()
	most := belowPart * n.set.BelowShare * span
	if c.SkipWorth > 0 {
		needy := n.recent.needy * (1 - keepOld) / float64(windowSpan) // such calls that come in a nanosecond
		most -= min(needyMargin*needy*span*n.callRun, needyMost*most)
	}
	owed := float64(n.callEnds) - float64(n.inHand)*float64(n.now-n.born)
	wait := most - n.callTime - max(owed, 0) - float64(n.inHand+1)*float64(n.set.Linger)
	if n.inHand == 0 {
		wait = max(wait, most/2-n.callTime) // guards against a share under the time a call lingers
	}
	if wait < min(callPatience*n.callRun, most/4) {
		return 0
	}
	return time.Duration(wait)
}

// countCalls brings the time of calls in hand up to date: the sum over the parts of the rule's span, of which
// the oldest goes when the clock reaches a new one.
func (n *Instance) countCalls() {
	part := max(n.set.CallSpan/(callParts-1), 1)
	if n.now-n.callsAt > n.set.CallSpan+part {
		n.callsAt = n.now - n.set.CallSpan - part // what is older has left the span
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

// callOver books a call that is no longer waited for; one given up lingers below.
func (n *Instance) callOver(r *request, lingers bool) {
	if !r.out {
		return
	}
	n.countCalls()
	if lingers {
		part := max(n.set.CallSpan/(callParts-1), 1)
		n.callPast[n.now/part%callParts] += float64(n.set.Linger)
	}
	r.out = false
	n.callEnds -= r.callEnd
	n.inHand--
}

// mayStart tells whether a run of the class could make its calls now: one that can't would hold memory
// and a place for nothing.
func (n *Instance) mayStart(c *class) bool {
	return !c.Calls || c.SkipWorth > 0 || n.now >= n.breakEnd && n.callRoom(c) > 0
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
		n.callRun += learnRate * (float64(e.Took) - n.callRun)
		n.timed++
	}
	if e.Outcome == OK {
		n.leaveCall(r)
		return
	}
	if r.answered {
		return
	}
	// The room of a full one below goes to those that can't do without.
	unrun := e.Outcome == Full && r.class.SkipWorth == 0 || e.Outcome == Unreached || e.Outcome == Moot
	if e.Outcome == CutOff && r.class.Safety == Safe {
		unrun = r.tries == 1 // whatever ran may run again: one more try before the call is left out
	}
	wait := callBackoff << min(r.tries, 2)
	wait += time.Duration(n.rng.Int64N(int64(callBackoff)))
	switch {
	case unrun && r.tries < callTries && n.now+wait < n.profitEnd(r):
		r.retryAt = n.now + wait
		n.watch(r)
		if e.Outcome == Full {
			n.needyEnd = n.now + 2*wait // it can't be left out and found no room: the others leave it theirs
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
	// Guards against a chain of wakes that breaks: a host whose clock is coarser than ours wakes us a
	// little early, or not at all. A timer whose token came or whose time has passed is spent.
	if n.waking && n.nextWake <= at && n.now < n.nextWake {
		return
	}
	n.wakes++
	n.waking, n.nextWake = true, at
	n.do(WakeAt{At: at, Token: n.wakes})
}
