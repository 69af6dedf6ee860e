package policy

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

func TestRunningRequestIsAnsweredByItsDeadline(t *testing.T) {
	r := newHarness(t, nil)
	a := safeRequest(1)
	a.TimeLeft = 300 * ms
	r.handle(a)
	r.want(r.after(290 * ms))
	r.want(r.after(8*ms), "Fail 1") // one tick before its deadline
	r.want(r.after(500*ms, done(1)))
}

func TestDeadlineOfClassAppliesWithoutCallerTimeout(t *testing.T) {
	r := newHarness(t, func(s *Settings) { s.Classes[0].LateValue = 1 })
	fillCores(r)
	a := safeRequest(3)
	a.TimeLeft, a.Waited = 0, 1000*ms
	r.handle(a)
	var got []string
	for range 110 {
		got = append(got, r.after(20*ms, gauges(1, 2, 0))...)
	}
	if !contains(got, "Refuse 3") {
		t.Errorf("no refusal within 3.2 s of the arrival at the machine: %q", got)
	}
	a.ID, a.Waited = 4, 9000*ms
	r.want(r.handle(a), "Refuse 4") // past its deadline when read
}

func TestTimerIsSetAgainAfterFiringEarly(t *testing.T) {
	// A timer of a host with a coarser clock fires just before the requested time. Without a further timer
	// requests get no answer.
	r := newHarness(t, nil)
	var timer SetTimer
	handle := func(events ...Event) {
		for _, a := range r.n.Handle(r.now, events) {
			if w, ok := a.(SetTimer); ok {
				timer = w
			}
		}
	}
	a := safeRequest(1)
	a.TimeLeft = 200 * ms
	handle(TimerFired{Token: 1}, a)
	for range 40 {
		previous := timer
		r.now = timer.At - 1
		handle(TimerFired{Token: timer.Token})
		if timer == previous {
			t.Fatal("no further timer was set after one fired early")
		}
		if r.now > 1000*time.Second+time.Second {
			return
		}
	}
}

func TestTimerIntervalIsShortOnlyWhileRequestsAreQueued(t *testing.T) {
	// Timers cost time on each of hundreds of servers; only queued requests wait for the gauges.
	for _, withQueued := range []bool{false, true} {
		r := newHarness(t, nil)
		fillCores(r)
		if withQueued {
			r.handle(safeRequest(3))
		}
		timers, token, at := 0, uint64(0), time.Duration(0)
		end := r.now + 300*ms
		for r.now < end {
			r.now += 2 * ms
			var events []Event
			if at > 0 && r.now >= at {
				events, at = []Event{TimerFired{Token: token, Gauges: []float64{1, 2, 0}}}, 0
				timers++
			}
			for _, a := range r.n.Handle(r.now, events) {
				if w, ok := a.(SetTimer); ok {
					token, at = w.Token, w.At
				}
			}
		}
		if withQueued && timers < 10 || !withQueued && timers > 4 {
			t.Errorf("queued request: %v, %d timers in 300 ms", withQueued, timers)
		}
	}
}

func TestLostTimerIsSetAgain(t *testing.T) {
	r := newHarness(t, nil)
	timerSet := false
	r.now += time.Second // the timer does not fire
	for _, a := range r.n.Handle(r.now, []Event{safeRequest(1)}) {
		if w, ok := a.(SetTimer); ok && w.At > r.now {
			timerSet = true
		}
	}
	if !timerSet {
		t.Error("no further timer was set after one did not fire")
	}
}

func TestRepeatReplacesQueuedRequest(t *testing.T) {
	r := newHarness(t, nil)
	fillCores(r)
	r.want(r.handle(keyedRequest(3)), "StoreKey 3 8.004s")
	r.want(r.handle(keyedRepeat(4, 3)), "Refuse 3", "DeleteKey 3", "StoreKey 4 8.004s")
	r.want(starts(r.after(ms, done(1))), "Start 4")
	r.want(starts(r.after(ms, done(2))))
}

func TestRepeatOfRunningRequestGetsItsOutcome(t *testing.T) {
	for _, outcome := range []Outcome{OK, Failed} {
		r := newHarness(t, nil)
		r.handle(keyedRequest(1))
		r.want(r.handle(keyedRepeat(2, 1)))
		got := r.after(100*ms, Finished{ID: 1, Outcome: outcome, Duration: 100 * ms})
		if outcome == OK {
			r.want(got, "Share 2")
		} else {
			r.want(got, "Fail 2") // the first may have had its effect: neither refused nor run
		}
	}
}

func TestRepeatOfEndedRequestNeverRuns(t *testing.T) {
	r := newHarness(t, nil)
	r.handle(keyedRequest(1), keyedRequest(2))
	r.after(100*ms, done(1), Finished{ID: 2, Outcome: Failed})
	r.want(r.after(4000*ms, keyedRepeat(3, 1), keyedRepeat(4, 2)), "Share 3", "Fail 4")
	r.want(r.after(ms, keyedRepeat(5, 77)), "Share 5") // an unknown original may have run or be queued
}

func TestMutualRepeatsInOneBatchStartOnce(t *testing.T) {
	r := newHarness(t, nil)
	got := r.handle(keyedRepeat(1, 2), keyedRepeat(2, 1))
	if len(starts(got)) != 1 {
		t.Errorf("got %q, want one start", got)
	}
	if contains(got, "Start 1") == contains(got, "Refuse 1") || contains(got, "Start 2") == contains(got, "Refuse 2") {
		t.Errorf("got %q, want each request either started or refused", got)
	}
}

func TestTwoRepeatsOfQueuedRequestStartOnce(t *testing.T) {
	r := newHarness(t, nil)
	fillCores(r)
	r.handle(keyedRequest(3))
	r.handle(keyedRepeat(4, 3), keyedRepeat(5, 3))
	got := r.after(ms, done(1), done(2))
	if len(starts(got)) != 1 {
		t.Errorf("got %q, want one start for one effect", got)
	}
}

func TestRepeatAfterRefusalRuns(t *testing.T) {
	r := newHarness(t, nil)
	fillCores(r)
	r.handle(keyedRequest(3))
	got := []string{}
	for range 50 {
		got = append(got, r.after(20*ms, gauges(1, 2, 0))...)
	}
	r.want(got, "Refuse 3", "DeleteKey 3")
	r.want(starts(r.handle(keyedRequest(4), done(1))), "Start 4")
}

func TestCoalescedRepeatFailsAtItsDeadline(t *testing.T) {
	r := newHarness(t, nil)
	r.handle(keyedRequest(1))
	b := keyedRepeat(2, 1)
	b.TimeLeft = 100 * ms
	r.handle(b)
	r.want(r.after(99*ms), "Fail 2")
}

// Another process has started an attempt of a request that was to run here: its repeats share the result of that attempt, or fail at
// their own deadlines. Guards against an error to them as soon as the request ends here.
func TestRepeatsOfRequestStartedElsewhereShareItsResult(t *testing.T) {
	r := newHarness(t, nil)
	r.handle(keyedRequest(1))
	r.handle(keyedRepeat(2, 1))
	late := keyedRepeat(3, 1)
	late.TimeLeft = 100 * ms
	r.handle(late)
	r.want(r.handle(StartedElsewhere{ID: 1}), "Share 2", "Share 3")
	r.want(r.handle(Finished{ID: 1, Outcome: NotRun}))
	r.want(r.after(99*ms), "Fail 3")
	r.want(r.handle(done(2)))
	r.want(r.handle(StartedElsewhere{ID: 1}, StartedElsewhere{ID: 9}))
}

func TestEqualReadsShareOneResult(t *testing.T) {
	shareResults := func(s *Settings) { s.SharedResultTTL = 500 * ms }
	read := func(id, original ID) Arrived {
		a := safeRequest(id)
		a.Key, a.Original, a.HasOriginal = "k", original, original != 0
		return a
	}
	r := newHarness(t, shareResults)
	r.handle(read(1, 0))
	r.want(r.handle(read(2, 1)))
	r.want(r.after(100*ms, done(1)), "Share 2")
	r.want(r.after(100*ms, read(3, 1)), "Share 3")
	r.want(starts(r.after(600*ms, read(4, 1))), "Start 4") // no longer fresh
	// The primary fails: the next request runs.
	r.handle(read(5, 4))
	r.want(starts(r.after(10*ms, Finished{ID: 4, Outcome: Failed})), "Start 5")
	// A write is not shared.
	w := read(6, 0)
	w.Write = true
	for _, s := range r.handle(w) {
		if strings.HasPrefix(s, "StoreKey") {
			t.Error("a write was added to the key table")
		}
	}
}

// A result comes late: reads that came while it was fresh share it, and one of the others runs for all of them. Guards against results
// that are shared when they are too old, and against errors to the reads that waited for them.
func TestLateResultIsSharedOnlyWhileFresh(t *testing.T) {
	r := newHarness(t, func(s *Settings) { s.SharedResultTTL = 200 * ms })
	read := func(id, original ID) Arrived {
		a := safeRequest(id)
		a.Key, a.Original, a.HasOriginal = "k", original, original != 0
		return a
	}
	r.handle(read(1, 0))
	r.after(150*ms, read(2, 1))
	r.after(100*ms, read(3, 1))
	fresh := read(4, 1)
	fresh.Waited = 50 * ms // it reached the machine when the result was as old as it may be
	r.handle(fresh)
	r.after(50*ms, read(5, 1))
	got := r.after(100*ms, Finished{ID: 1, Outcome: OK, Duration: 10 * ms, ResultAge: 400 * ms})
	var shared []string
	for _, action := range got {
		if strings.HasPrefix(action, "Share") {
			shared = append(shared, action)
		}
	}
	r.want(shared, "Share 2", "Share 4")
	r.want(starts(got), "Start 3")
	r.want(r.after(100*ms, done(3)), "Share 5")
	// The same holds for a read that comes in one batch with the end.
	last := read(6, 3)
	r.handle(read(7, 0))
	r.want(starts(r.after(300*ms, read(8, 7), last, Finished{ID: 7, Outcome: OK, Duration: 10 * ms, ResultAge: 300 * ms})), "Start 8", "Start 6")
}

func TestQueuedRequestsStayWithinMemory(t *testing.T) {
	r := newHarness(t, func(s *Settings) { s.MemoryKB = 1000 })
	fillCores(r)
	refused := 0
	for id := ID(10); id < 200; id++ {
		a := keyedRequest(id)
		if id%3 == 0 {
			a = safeRequest(id)
		}
		for _, s := range r.handle(a) {
			if strings.HasPrefix(s, "Refuse") {
				refused++
			}
		}
	}
	if r.n.memory > 1000 {
		t.Errorf("%v kB of 1000 kB used", r.n.memory)
	}
	if refused == 0 {
		t.Errorf("%d of 190 requests refused, want some", refused)
	}
	if len(starts(r.after(ms, done(1), gauges(1, 1, 0)))) == 0 {
		t.Error("queued requests left no memory for a run")
	}
}

func TestKeyTableStaysWithinMemoryAndExpires(t *testing.T) {
	r := newHarness(t, func(s *Settings) { s.MemoryKB, s.EntryKB = 500, 40 })
	ran, refused := 0, 0
	for id := ID(1); id < 2000; id++ {
		for _, s := range r.after(20*ms, keyedRequest(id), gauges(0.1, 0, 0)) {
			switch s[:5] {
			case "Start":
				ran++
			case "Refus":
				refused++
			}
		}
		r.after(0, done(id))
		if r.n.memory > 500 {
			t.Fatalf("%v kB of 500 kB used", r.n.memory)
		}
	}
	if ran < 20 || refused == 0 {
		t.Errorf("%d requests ran and %d were refused, want 20 or more and some", ran, refused)
	}
	r.after(20 * time.Second)
	if r.n.memory != 0 || len(r.n.requests) != 0 {
		t.Errorf("%v kB and %d requests kept after all entries expired", r.n.memory, len(r.n.requests))
	}
}

func TestDrainRefusesAfterGraceAndAnswersBeforeStop(t *testing.T) {
	r := newHarness(t, nil)
	fillCores(r)
	r.handle(keyedRequest(3))
	r.want(r.handle(DrainNotice{TimeLeft: 2000 * ms}), "Health false")
	r.want(starts(r.after(100*ms, safeRequest(4), done(1))), "Start 3")
	late := safeRequest(5)
	r.want(r.after(600*ms, late), "Refuse 5") // arrived after the grace
	early := keyedRequest(6)
	early.Waited = 300 * ms // arrived within the grace, read later
	r.want(starts(r.after(10*ms, early, done(2))), "Start 6")
	var got []string
	for range 70 {
		got = append(got, r.after(20*ms, gauges(1, 2, 0))...)
	}
	if !contains(got, "Fail 3") || !contains(got, "Fail 6") {
		t.Errorf("running requests were not answered before the stop: %q", got)
	}
	r.want(r.handle(safeRequest(7)), "Refuse 7")
}

func TestDrainWithoutTimeAnswersAtOnce(t *testing.T) {
	r := newHarness(t, nil)
	fillCores(r)
	r.handle(safeRequest(3))
	r.want(r.handle(DrainNotice{TimeLeft: 20 * ms}), "Health false", "Fail 1", "Fail 2", "Refuse 3")
}

func TestCallIsRetriedOnlyIfItProvablyNeverRan(t *testing.T) {
	for o := Failed; o <= NotRun; o++ {
		r := newHarness(t, nil)
		r.handle(keyedRequest(1))
		r.want(r.after(10*ms, CallNeeded{1}), "Call 1")
		var got []string
		r.handle(CallReturned{ID: 1, Outcome: o})
		got = append(got, r.after(0)...)
		for range 20 {
			got = append(got, r.after(20*ms)...)
		}
		retried := contains(got, "Call 1")
		if proven := o == Full || o == Unreachable || o == NotRun; retried != proven {
			t.Errorf("outcome %d: call retried: %v", o, retried)
		}
	}
}

func TestFailedCallIsSkippedOnlyIfOptional(t *testing.T) {
	r := newHarness(t, nil)
	r.handle(keyedRequest(1), safeRequest(2))
	r.after(10*ms, CallNeeded{1}, CallNeeded{2})
	r.want(r.after(10*ms, CallReturned{ID: 1, Outcome: TimedOut}, CallReturned{ID: 2, Outcome: TimedOut}),
		"Fail 1", "Skip 2")
	// A required call is never skipped.
	r = newHarness(t, func(s *Settings) { s.Classes[0].SkipWorth = 0 })
	r.handle(safeRequest(2))
	r.after(10*ms, CallNeeded{2})
	r.want(r.after(10*ms, CallReturned{ID: 2, Outcome: TimedOut}), "Fail 2")
}

func TestBreakerSkipsCallsUntilProbeSucceeds(t *testing.T) {
	r := newHarness(t, nil)
	for id := ID(1); id <= breakerFailures; id++ {
		r.handle(safeRequest(id))
		r.handle(CallNeeded{id})
		r.handle(CallReturned{ID: id, Outcome: TimedOut})
		r.after(10*ms, done(id))
	}
	r.handle(safeRequest(50))
	r.want(r.handle(CallNeeded{50}), "Skip 50")
	r.after(breakerOpenTime, done(50))
	r.handle(safeRequest(51), safeRequest(52))
	r.want(r.handle(CallNeeded{51}, CallNeeded{52}), "Call 51", "Skip 52")
	r.handle(CallReturned{ID: 51, Outcome: OK})
	r.handle(done(51), done(52))
	r.handle(safeRequest(53))
	r.want(r.handle(CallNeeded{53}), "Call 53")
}

func TestCallIsNotMadeAfterAim(t *testing.T) {
	r := newHarness(t, nil)
	r.handle(keyedRequest(1))
	r.want(r.after(1100*ms, CallNeeded{1}), "Fail 1")
}

func TestCallerGoneInEachState(t *testing.T) {
	r := newHarness(t, nil)
	fillCores(r)
	r.handle(keyedRequest(3))
	r.want(r.handle(CallerGone{3}), "DeleteKey 3")
	r.want(r.handle(CallerGone{1}))
	r.want(starts(r.after(ms, done(1), safeRequest(4))), "Start 4")
	r.handle(CallNeeded{4})
	r.want(r.handle(CallerGone{4}))
	r.want(r.after(3*time.Second, Finished{ID: 4, Outcome: Cancelled}), "Fail 2")
	r.handle(done(2))
	if r.n.running != 0 || r.n.calling != 0 || r.n.memory != 0 {
		t.Errorf("%d running, %d at calls, %v kB used after all requests ended", r.n.running, r.n.calling, r.n.memory)
	}
}

func TestUnexpectedEventsAreIgnored(t *testing.T) {
	r := newHarness(t, nil)
	r.want(r.handle(done(9), CallNeeded{9}, CallReturned{ID: 9}, CallerGone{9}))
	fillCores(r)
	r.want(r.handle(safeRequest(1)))      // a known ID
	r.want(r.handle(CallReturned{ID: 1})) // not at a call
	r.now -= time.Hour                    // a clock that goes backwards
	r.want(r.handle(safeRequest(3)))
	r.now += time.Hour
	r.want(r.handle(Arrived{ID: 4, Class: "other", KB: 1}), "Refuse 4")
	if r.n.running != 2 {
		t.Errorf("%d running, want 2", r.n.running)
	}
}

// limitedCalls makes the calls of all classes required and limits them to half a concurrent call.
func limitedCalls(s *Settings) {
	for i := range s.Classes {
		s.Classes[i].SkipWorth = 0
	}
	s.DownstreamShare, s.CallPeriod, s.AbandonedCallTime = 0.5, 5*time.Second, 200*ms
}

// maxConcurrentCalls simulates a minute of arrivals with a downstream tier whose calls take the given time. It returns
// the highest mean of concurrent calls over the period of the call limit, abandoned calls included, and the number of
// requests served.
func maxConcurrentCalls(t *testing.T, set func(*Settings), took func(now time.Duration) time.Duration) (float64, int) {
	r := newHarness(t, set)
	const step = 10 * ms
	window := int(r.n.set.CallPeriod / step)
	type call struct{ replyAt, abandonAt time.Duration }
	pending := map[ID]call{}
	var abandoned []time.Duration
	var concurrency []int
	lastID, served, highest := ID(0), 0, 0.0
	for i := range 6000 {
		r.now += step
		events := []Event{TimerFired{Token: uint64(i), Gauges: []float64{0.3, 0, 0}}}
		if i%10 == 0 {
			lastID++
			a := safeRequest(lastID)
			if lastID%3 == 0 {
				a = keyedRequest(lastID)
			}
			events = append(events, a)
		}
		for id := ID(1); id <= lastID; id++ {
			c, ok := pending[id]
			switch {
			case !ok || min(c.replyAt, c.abandonAt) > r.now:
			case c.replyAt <= c.abandonAt:
				delete(pending, id)
				served++
				events = append(events, CallReturned{ID: id, Outcome: OK, Duration: 50 * ms}, done(id))
			default:
				delete(pending, id)
				abandoned = append(abandoned, c.abandonAt+r.n.set.AbandonedCallTime)
				events = append(events, CallReturned{ID: id, Outcome: TimedOut, Duration: 50 * ms})
			}
		}
		actions := append([]Action(nil), r.n.Handle(r.now, events)...)
		for len(actions) > 0 {
			var followUps []Event
			for _, a := range actions {
				switch a := a.(type) {
				case Start:
					followUps = append(followUps, CallNeeded(a))
				case MakeCall:
					pending[a.ID] = call{r.now + took(r.now), r.now + a.MaxWait}
				case Fail:
					if _, ok := pending[a.ID]; ok {
						delete(pending, a.ID)
						abandoned = append(abandoned, r.now+r.n.set.AbandonedCallTime)
					}
					followUps = append(followUps, Finished{ID: a.ID, Outcome: Cancelled})
				}
			}
			actions = nil
			if len(followUps) > 0 {
				actions = append(actions, r.n.Handle(r.now, followUps)...)
			}
		}
		concurrent := len(pending)
		for _, until := range abandoned {
			if until > r.now {
				concurrent++
			}
		}
		concurrency = append(concurrency, concurrent)
		sum := 0
		for _, k := range concurrency[max(len(concurrency)-window, 0):] {
			sum += k
		}
		highest = max(highest, float64(sum)/float64(window))
	}
	return highest, served
}

func TestDownstreamCallsStayWithinShare(t *testing.T) {
	// Guards against overload of a slow downstream tier by concurrent calls up to the concurrency limit of each server.
	slowFor20s := func(now time.Duration) time.Duration {
		if now > 1010*time.Second && now < 1030*time.Second {
			return 700 * ms
		}
		return 40 * ms
	}
	noReply := func(time.Duration) time.Duration { return time.Hour }
	highest, served := maxConcurrentCalls(t, limitedCalls, slowFor20s)
	if highest > 0.5 || served < 150 {
		t.Errorf("slow for 20 s: %.2f concurrent calls, %d of 600 requests served", highest, served)
	}
	if highest, _ = maxConcurrentCalls(t, limitedCalls, noReply); highest > 0.5 {
		t.Errorf("no replies: %.2f concurrent calls", highest)
	}
	smallShare := func(s *Settings) { limitedCalls(s); s.DownstreamShare = 0.1 }
	if highest, served = maxConcurrentCalls(t, smallShare, slowFor20s); highest > 0.1 || served < 8 {
		t.Errorf("share of 0.1: %.3f concurrent calls, %d requests served", highest, served)
	}
}

func TestRunIsNotStartedWithoutCapacityForItsCall(t *testing.T) {
	r := newHarness(t, func(s *Settings) { limitedCalls(s); s.DownstreamShare, s.Classes[0].Calls = 0.3, false })
	r.handle(keyedRequest(1))
	r.handle(CallNeeded{1})
	r.after(900 * ms) // the call uses up the call time that the share allows
	r.want(starts(r.handle(keyedRequest(2), safeRequest(3))), "Start 3")
	r.after(10*ms, CallReturned{ID: 1, Outcome: TimedOut, Duration: 900 * ms}, Finished{ID: 1, Outcome: Cancelled})
	r.want(starts(r.after(8*time.Second, keyedRequest(4))), "Start 4")
}

// Guards against runs that wait for a slow downstream tier though their calls are optional.
func TestOptionalCallIsSkippedWithoutCapacity(t *testing.T) {
	r := newHarness(t, func(s *Settings) { limitedCalls(s); s.DownstreamShare, s.Classes[1].SkipWorth = 0.3, 0.3 })
	for i := range r.n.set.Classes {
		if c := r.n.classes[i]; c.Name == "safe" {
			c.SkipWorth = 0.3
		}
	}
	r.handle(keyedRequest(1), safeRequest(2))
	r.handle(CallNeeded{1})
	r.after(900*ms, safeRequest(3))
	r.want(r.after(ms, CallNeeded{3}), "Skip 3")
}

// limitedOptionalCalls is limitedCalls with optional calls in the class "safe".
func limitedOptionalCalls(s *Settings) {
	limitedCalls(s)
	for i := range s.Classes {
		if s.Classes[i].Name == "safe" {
			s.Classes[i].SkipWorth = 0.3
		}
	}
}

// While the downstream tier is slow, optional calls could fill the whole period of the call limit, so that requests
// with required calls would fail for seconds.
func TestOptionalCallsLeaveCapacityForRequiredCalls(t *testing.T) {
	r := newHarness(t, limitedOptionalCalls)
	id, optionalCalls := ID(0), 0
	runWithCall := func(a Arrived) bool {
		id++
		a.ID = id
		r.handle(a)
		if !contains(r.handle(CallNeeded{id}), fmt.Sprint("Call ", id)) {
			r.after(10*ms, done(id))
			return false
		}
		r.after(100*ms, CallReturned{ID: id, Outcome: OK, Duration: 100 * ms}, done(id))
		return true
	}
	for range 40 { // about five periods of the call limit; the optional calls alone would fill them
		r.after(400 * ms)
		for range 3 {
			if runWithCall(safeRequest(0)) {
				optionalCalls++
			}
		}
		if !runWithCall(keyedRequest(0)) {
			t.Fatalf("at %v: no capacity for a required call", r.now)
		}
	}
	if optionalCalls < 10 {
		t.Errorf("%d optional calls made, want 10 or more", optionalCalls)
	}
}

// A long call time learned while the downstream tier is slow must not cause skips long after that: skipped calls take
// no time that could correct it.
func TestCallTimeDecaysWhileCallsAreSkipped(t *testing.T) {
	r := newHarness(t, limitedOptionalCalls)
	learned := float64(700 * ms)
	r.n.meanCallTime = learned
	r.after(2 * time.Second)
	if r.n.meanCallTime != learned {
		t.Errorf("call time decayed to %v though no call was skipped", time.Duration(r.n.meanCallTime))
	}
	for id := ID(1); id < 200; id++ {
		r.n.breakerEnd = r.now + time.Second // the open breaker causes the skip
		r.handle(safeRequest(id))
		r.want(r.handle(CallNeeded{id}), fmt.Sprint("Skip ", id))
		r.after(100*ms, done(id))
	}
	if got, want := time.Duration(r.n.meanCallTime), callBackoff/optionalCallTimes; got != want {
		t.Errorf("call time after 20 s without a call: %v, want %v", got, want)
	}
}

// A malformed reply proves nothing: only safe requests, which may run twice, retry the call, and once.
func TestCallWithInvalidReplyIsRetriedOnceIfSafe(t *testing.T) {
	r := newHarness(t, nil)
	r.handle(keyedRequest(1), safeRequest(2))
	r.after(10*ms, CallNeeded{1}, CallNeeded{2})
	r.want(r.after(10*ms, CallReturned{ID: 1, Outcome: InvalidReply}, CallReturned{ID: 2, Outcome: InvalidReply}), "Fail 1")
	var got []string
	for range 20 {
		got = append(got, r.after(10*ms)...)
	}
	if !contains(got, "Call 2") {
		t.Errorf("the call was not retried: %q", got)
	}
	r.want(r.after(10*ms, CallReturned{ID: 2, Outcome: InvalidReply}), "Skip 2")
}

// A missing reply could take up the call share for half of the time left, at the expense of other calls.
func TestOptionalCallHasShortTimeLimit(t *testing.T) {
	r := newHarness(t, nil)
	r.handle(safeRequest(1))
	r.now += 10 * ms
	for _, a := range r.n.Handle(r.now, []Event{CallNeeded{1}}) {
		if c, ok := a.(MakeCall); ok && c.MaxWait > optionalCallTimes*callBackoff {
			t.Errorf("time limit of an optional call: %v", c.MaxWait)
		} else if ok {
			return
		}
	}
	t.Error("no call was made")
}

// A few clients that wait longer than the others make first attempts of the others look like retries. Where retries are
// marked, this must not be taken for an overloaded fleet, whose refusals advise against retries.
func TestShortWaitIsNoRetryWhereRetriesAreMarked(t *testing.T) {
	for _, marked := range []bool{false, true} {
		r := newHarness(t, func(s *Settings) { s.MarksRetry = marked })
		fillCores(r)
		refused, noRetry := 0, 0
		for id := ID(10); id < 210; id++ {
			a := safeRequest(id)
			a.Waited, a.TimeLeft = 100*ms, 1500*ms
			if id%50 == 0 {
				a.TimeLeft = 3000 * ms
			}
			r.now += 20 * ms
			for _, act := range r.n.Handle(r.now, []Event{a, gauges(1, 2, 0)}) {
				if refusal, ok := act.(Refuse); ok {
					refused++
					if refusal.NoRetry {
						noRetry++
					}
				}
			}
		}
		if refused == 0 || (noRetry == 0) != marked {
			t.Errorf("retries marked: %v, %d of %d refusals advise against a retry", marked, noRetry, refused)
		}
	}
}

// newBlockedHarness returns a server without capacity for the calls of class "keyed", which are required.
func newBlockedHarness(t *testing.T) *harness {
	r := newHarness(t, func(s *Settings) {
		limitedCalls(s)
		s.DownstreamShare, s.Classes[0].Calls, s.Hint = 0.3, false, HintWeight
	})
	r.handle(keyedRequest(1))
	r.handle(CallNeeded{1})
	r.after(900 * ms)
	return r
}

// While the downstream tier is slow, requests that must call it could fill the queue, so that all others are refused.
func TestClassWithoutCallCapacityDoesNotFillQueueOfOthers(t *testing.T) {
	r := newBlockedHarness(t)
	r.want(starts(r.handle(safeRequest(2), safeRequest(3), gauges(1, 3, 0))), "Start 2", "Start 3")
	var got []string
	for id := ID(4); id < 8; id++ {
		got = append(got, r.after(ms, keyedRequest(id), gauges(1, 3, 0))...)
	}
	got = append(got, r.after(ms, safeRequest(8), safeRequest(9), gauges(1, 3, 0))...)
	if contains(got, "Refuse 8") || contains(got, "Refuse 9") {
		t.Errorf("requests refused because of others that cannot run: %q", got)
	}
	refused := 0
	for _, s := range got {
		if strings.HasPrefix(s, "Refuse") {
			refused++
		}
	}
	if refused != 1 {
		t.Errorf("%d of 4 requests that cannot run refused, want 1, as the queue takes three for two cores: %q", refused, got)
	}
}

// Refusals for lack of downstream capacity must not make callers avoid idle cores.
func TestDownstreamLimitDoesNotShedCallers(t *testing.T) {
	r := newBlockedHarness(t)
	refused := 0
	for id := ID(10); id < 110; id++ {
		for _, s := range r.after(20*ms, keyedRequest(id), gauges(0, 1, 0)) {
			if strings.HasPrefix(s, "Refuse") {
				refused++
			}
			if strings.HasPrefix(s, "SetHint") {
				t.Fatalf("%s on idle cores", s)
			}
		}
	}
	if refused < 50 {
		t.Errorf("%d of 100 requests refused, want 50 or more", refused)
	}
}

// A call that waits for its retry must not keep other requests of the class from the cores.
func TestCallRetryDoesNotDelayStarts(t *testing.T) {
	r := newHarness(t, nil)
	r.handle(keyedRequest(1))
	r.handle(CallNeeded{1})
	r.after(ms, CallReturned{ID: 1, Outcome: Full})
	r.want(starts(r.after(ms, keyedRequest(2))), "Start 2")
}

// An exponentially decaying count of calls would leave half of the share unused, and calls would be skipped although there
// is capacity for them.
func TestSteadyCallsUseMostOfShare(t *testing.T) {
	r := newHarness(t, func(s *Settings) { s.DownstreamShare, s.CallPeriod, s.AbandonedCallTime = 1, 5*time.Second, 200*ms })
	for id := ID(1); id <= 200; id++ { // 0.6 concurrent calls for 20 s
		r.want(starts(r.handle(safeRequest(id), gauges(0, 0, 0))), fmt.Sprint("Start ", id))
		r.want(r.handle(CallNeeded{id}), fmt.Sprint("Call ", id))
		r.after(60*ms, CallReturned{ID: id, Duration: 60 * ms}, Finished{ID: id, Duration: 60 * ms})
		r.now += 40 * ms
	}
}

// While the vault has capacity for half of the calls, retries of optional calls would take it from required ones,
// which fail after a limited number of attempts.
func TestFullDownstreamIsLeftToRequiredCalls(t *testing.T) {
	r := newHarness(t, nil)
	r.handle(keyedRequest(1), safeRequest(2))
	r.want(r.after(10*ms, CallNeeded{1}, CallNeeded{2}), "Call 1", "Call 2")
	r.want(r.after(ms, CallReturned{ID: 2, Outcome: Full}, CallReturned{ID: 1, Outcome: Full}), "Skip 2")
	calls := 0
	for range 80 { // 800 ms of an aim of a second
		if contains(r.after(10*ms), "Call 1") {
			calls++
			r.handle(CallReturned{ID: 1, Outcome: Full})
		}
	}
	if calls < 5 {
		t.Errorf("%d retries of a required call within 800 ms, want 5 or more", calls)
	}
}

// In a nearly full vault each optional call would keep out a required one.
func TestOptionalCallsAreSkippedWhileRequiredCallWaits(t *testing.T) {
	r := newHarness(t, nil)
	r.handle(keyedRequest(1), safeRequest(2))
	r.want(r.after(10*ms, CallNeeded{1}), "Call 1")
	r.want(r.after(ms, CallReturned{ID: 1, Outcome: Full}))
	r.want(r.after(10*ms, CallNeeded{2}), "Skip 2")
	r.want(r.after(300*ms, safeRequest(3)), "Call 1", "Start 3")
	r.handle(CallReturned{ID: 1, Outcome: OK})
	r.want(r.after(10*ms, CallNeeded{3}), "Call 3")
}

// A server whose allocation is 0 makes no calls, though a share of 0 in the settings means unlimited calls.
func TestZeroShareAllowsNoCall(t *testing.T) {
	r := newHarness(t, limitedOptionalCalls)
	r.handle(safeRequest(1))
	r.n.SetDownstreamShare(0)
	r.want(r.handle(CallNeeded{1}), "Skip 1")
	r.n.SetDownstreamShare(0.3)
	r.handle(safeRequest(2))
	r.want(r.handle(CallNeeded{2}), "Call 2")
}

// A share smaller than the time for which an abandoned call keeps running must still allow calls.
func TestShareBelowAbandonedCallTimeAllowsCalls(t *testing.T) {
	smallShare := func(s *Settings) { limitedCalls(s); s.DownstreamShare = 0.05 }
	fast := func(time.Duration) time.Duration { return 10 * ms }
	if highest, served := maxConcurrentCalls(t, smallShare, fast); highest > 0.05 || served < 8 {
		t.Errorf("%.3f concurrent calls, %d requests served in a minute", highest, served)
	}
}
