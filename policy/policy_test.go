package policy

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

const ms = time.Millisecond

// testSettings is a server with two classes: "gold" keyed and dear, "iron" safe and cheap.
func testSettings() Settings {
	return Settings{
		Classes: []Class{
			{Name: "iron", Aim: 1000 * ms, Deadline: 3000 * ms, Worth: 1, SkipWorth: 0.3, Calls: true},
			{Name: "gold", Aim: 1000 * ms, Deadline: 3000 * ms, Worth: 5, Safety: Keyed, KeyTTL: 8000 * ms, Calls: true},
		},
		Servers: 3, Callers: 2, Cores: 2, MemoryKB: 10000, EntryKB: 10, RunMemoryFactor: 4,
		MaxRunningPerCore: 5, MaxRunningPeriod: 2 * time.Second, ColdSpeedShare: 0.25, AnswerSlack: 60 * ms,
		DrainGrace: 500 * ms, Tick: 2 * ms, PassesDeadline: true, HasDownstream: true, MaxRetryAfter: time.Second,
		BusyGauge: 0, RunnableGauge: 1, MemoryGauge: 2, ConnectionGauge: -1,
	}
}

// harness drives one instance and keeps its actions as text, "Start 3" and the like.
type harness struct {
	t   *testing.T
	n   *Instance
	now time.Duration
}

func newHarness(t *testing.T, change func(*Settings)) *harness {
	t.Helper()
	set := testSettings()
	if change != nil {
		change(&set)
	}
	n, err := New(set, 1)
	if err != nil {
		t.Fatal(err)
	}
	r := &harness{t: t, n: n, now: 1000 * time.Second}
	r.handle()
	return r
}

func describe(a Action) string {
	switch a := a.(type) {
	case Start:
		return fmt.Sprint("Start ", a.ID)
	case Refuse:
		return fmt.Sprint("Refuse ", a.ID)
	case Fail:
		return fmt.Sprint("Fail ", a.ID)
	case ShareResult:
		return fmt.Sprint("Share ", a.ID)
	case StoreKey:
		return fmt.Sprint("Remember ", a.ID, " ", a.TTL)
	case DeleteKey:
		return fmt.Sprint("Forget ", a.ID)
	case MakeCall:
		return fmt.Sprint("Call ", a.ID)
	case SkipCall:
		return fmt.Sprint("Skip ", a.ID)
	case Health:
		return fmt.Sprint("Health ", a.Healthy)
	case SetHint:
		return fmt.Sprintf("Advise %.3f", a.Value)
	}
	return ""
}

func (r *harness) handle(events ...Event) []string {
	var out []string
	for _, a := range r.n.Handle(r.now, events) {
		if s := describe(a); s != "" {
			out = append(out, s)
		}
	}
	return out
}

func (r *harness) after(d time.Duration, events ...Event) []string {
	r.now += d
	return r.handle(events...)
}

func (r *harness) want(got []string, want ...string) {
	r.t.Helper()
	if strings.Join(got, ", ") != strings.Join(want, ", ") {
		r.t.Errorf("got  %q\nwant %q", got, want)
	}
}

func contains(list []string, s string) bool {
	for _, x := range list {
		if x == s {
			return true
		}
	}
	return false
}

// starts keeps the actions that start runs.
func starts(list []string) []string {
	var out []string
	for _, s := range list {
		if strings.HasPrefix(s, "Start") {
			out = append(out, s)
		}
	}
	return out
}

func safeRequest(id ID) Arrived  { return Arrived{ID: id, Class: "iron", KB: 10, TimeLeft: 3000 * ms} }
func keyedRequest(id ID) Arrived { return Arrived{ID: id, Class: "gold", KB: 10, TimeLeft: 3000 * ms} }
func keyedRepeat(id, first ID) Arrived {
	a := keyedRequest(id)
	a.Original, a.HasOriginal = first, true
	return a
}
func done(id ID) Finished            { return Finished{ID: id, Duration: 100 * ms} }
func gauges(x ...float64) TimerFired { return TimerFired{Gauges: x} }

// fillCores starts requests 1 and 2 and has the gauge show every core busy.
func fillCores(r *harness) {
	r.handle(safeRequest(1), safeRequest(2), gauges(1, 2, 0))
}

// newFullHarness is a server of four cores, all of them taken by 1, 2, 101 and 102.
func newFullHarness(t *testing.T) *harness {
	r := newHarness(t, func(s *Settings) { s.Cores = 4 })
	r.handle(safeRequest(1), safeRequest(2), safeRequest(101), safeRequest(102), gauges(1, 4, 0))
	return r
}

func TestClassOfHighestWorthStartsFirst(t *testing.T) {
	r := newHarness(t, nil)
	fillCores(r)
	r.handle(safeRequest(3), keyedRequest(4))
	r.want(starts(r.after(ms, done(1))), "Start 4")
	r.want(starts(r.after(ms, done(2))), "Start 3")
}

func TestRoundGivesEachClassItsAllowance(t *testing.T) {
	r := newHarness(t, func(s *Settings) {
		s.Cores = 16 // the hold takes one for each
		for i := range s.Classes {
			s.Classes[i].Deadline = 100 * time.Second
		}
		s.Classes[0].Aim, s.Classes[1].Aim = 40*time.Second, 40*time.Second
	})
	patient := func(a Arrived) Arrived {
		a.TimeLeft = 0
		return a
	}
	for id := ID(1000); id < 1016; id++ {
		r.handle(patient(safeRequest(id)), gauges(1, 16, 0))
	}
	for id := ID(10); id < 34; id += 2 {
		r.handle(patient(keyedRequest(id)))
	}
	r.handle(patient(safeRequest(11)), patient(safeRequest(13)), patient(safeRequest(15)))
	var order []string
	for id := ID(1000); id < 1015; id++ {
		got := starts(r.after(ms, done(id), gauges(1, 16, 0)))
		if len(got) != 1 {
			t.Fatalf("want one start, got %q", got)
		}
		var next ID
		fmt.Sscanf(got[0], "Start %d", &next)
		order = append(order, map[bool]string{true: "i", false: "g"}[next%2 == 1])
	}
	// Worth 5 to 1 gives allowances 5 and 1; the run before used the cheap start of the round. A
	// class that runs empty leaves its round to the other.
	if got := strings.Join(order, ""); got != "ggggg"+"gggggi"+"ggi"+"i" {
		t.Errorf("order of classes %s", got)
	}
}

func TestQueueOrderIsSizeThenAim(t *testing.T) {
	r := newFullHarness(t)
	a, b, c := safeRequest(3), safeRequest(4), safeRequest(5)
	a.Size, b.Size, c.Size = 90*ms, 30*ms, 90*ms
	c.Waited = 20 * ms // reached the machine earlier: due earlier
	r.handle(a, b, c)
	var order []string
	for _, id := range []ID{1, 2, 4, 5} {
		order = append(order, starts(r.after(ms, done(id), gauges(1, 4, 0)))...)
	}
	r.want(order, "Start 4", "Start 5", "Start 3")
}

func TestQueueOrderIsAimWithoutSizes(t *testing.T) {
	// Guards against an order by what the mean happened to be when a request came.
	r := newHarness(t, nil)
	fillCores(r)
	r.handle(safeRequest(3), safeRequest(4))
	r.want(starts(r.after(10*ms, Finished{ID: 1, Duration: 250 * ms}, gauges(1, 2, 0))), "Start 3") // the mean rises
	earlier := safeRequest(5)
	earlier.Waited = 200 * ms
	r.handle(earlier)
	r.want(starts(r.after(10*ms, Finished{ID: 2, Duration: 250 * ms}, gauges(1, 2, 0))), "Start 5")
}

func TestQueuedRequestIsRefusedAtItsAim(t *testing.T) {
	r := newHarness(t, nil)
	fillCores(r)
	r.handle(safeRequest(3))
	var got []string
	for range 50 {
		got = append(got, r.after(20*ms, gauges(1, 2, 0))...)
	}
	r.want(got, "Refuse 3") // the aim is 1 s away, the deadline 3 s
}

func TestLateValueKeepsRequestQueuedPastAim(t *testing.T) {
	r := newHarness(t, func(s *Settings) { s.Classes[0].LateValue = 0.5 })
	fillCores(r)
	r.handle(safeRequest(3))
	for range 60 {
		r.want(r.after(20*ms, gauges(1, 2, 0)))
	}
}

func TestLargeRequestStartsWhenRunsDoNotGrowWithSize(t *testing.T) {
	// Runs of 400 ms whatever the hint says: a hint of ten times the mean must not refuse.
	r := newHarness(t, nil)
	for id := ID(1); id < 40; id++ {
		a := safeRequest(id)
		a.Size = time.Duration(10+id%5) * ms
		r.after(ms, a)
		r.after(400*ms, Finished{ID: id, Duration: 400 * ms})
	}
	a := safeRequest(100)
	a.Size = 120 * ms
	r.want(starts(r.after(ms, a)), "Start 100")
}

func TestEstimateRecoversAfterRefusingAll(t *testing.T) {
	r := newHarness(t, nil)
	r.handle(safeRequest(1))
	r.after(2900*ms, Finished{ID: 1, Duration: 2900 * ms})
	for id := ID(2); id < 200; id++ {
		if len(starts(r.after(100*ms, safeRequest(id)))) > 0 {
			return
		}
	}
	t.Error("one slow run made every later request hopeless for good")
}

func TestNoRetryAdviceOnlyWhileRetriesAreMany(t *testing.T) {
	for _, retries := range []bool{false, true} {
		r := newHarness(t, nil)
		fillCores(r)
		refused, noRetry := 0, 0
		for i := ID(0); i < 200; i++ {
			a := safeRequest(10 + i)
			a.IsRetry = retries
			r.now += 20 * ms
			for _, act := range r.n.Handle(r.now, []Event{a, gauges(1, 2, 0)}) {
				if ref, ok := act.(Refuse); ok {
					refused++
					if ref.NoRetry {
						noRetry++
					}
				}
			}
		}
		if refused == 0 || (noRetry > 0) != retries {
			t.Errorf("resent %v: %d of %d refusals ask for no further try", retries, noRetry, refused)
		}
	}
}

func TestDoubtfulRequestIsRefusedOnlyWhileOthersWait(t *testing.T) {
	for _, others := range []bool{false, true} {
		r := newFullHarness(t)
		r.handle(safeRequest(3))
		r.after(690*ms, gauges(1, 4, 0))
		if others {
			r.handle(safeRequest(4), safeRequest(5), safeRequest(6))
		}
		got := r.after(10*ms, Finished{ID: 1, Duration: 200 * ms}) // 300 ms left, under two such runs
		if others {
			r.want(got, "Refuse 3", "Start 4")
		} else {
			r.want(got, "Start 3")
		}
	}
}

func TestQueueLengthIsLimitedByCores(t *testing.T) {
	// Guards against refusals that come when no other server can help any more.
	r2 := newHarness(t, nil)
	fillCores(r2)
	r2.want(r2.handle(safeRequest(3), safeRequest(4), safeRequest(5), gauges(1, 2, 0))) // a burst waits: three for two cores
	r := newHarness(t, nil)
	fillCores(r)
	early := 0
	for id := ID(10); id < 110; id++ {
		a := safeRequest(id)
		if id%10 == 0 {
			a = keyedRequest(id)
		}
		for _, s := range r.after(ms, a, gauges(1, 2, 0)) {
			if strings.HasPrefix(s, "Refuse") {
				early++
				var refusedID ID
				if fmt.Sscanf(s, "Refuse %d", &refusedID); refusedID%10 == 0 && id < 30 {
					t.Errorf("%s: the dear class went before the cheap one", s)
				}
			}
		}
	}
	if early < 80 || early > 98 {
		t.Errorf("%d of 100 refused at once; two cores serve a handful within the aim", early)
	}
}

// flood sends more than can be served, one in each a further try, each after a wait unread; it returns the
// refusals of first tries, how many of them came within 100 ms, how many asked for no further try, and
// how many further tries were not refused at once.
func flood(r *harness, waited time.Duration, every ID) (refused, early, noRetry, kept int) {
	arrivedAt := map[ID]time.Duration{}
	running := []ID{1, 2}
	for id := ID(10); id < 400; id++ {
		a := safeRequest(id)
		a.IsRetry, a.Waited = id%every == 0, waited
		r.now += 15 * ms
		arrivedAt[id] = r.now
		events := []Event{a, gauges(1, 2, 0)}
		if id%7 == 0 && len(running) > 0 {
			events = append(events, Finished{ID: running[0], Duration: 200 * ms})
			running = running[1:]
		}
		refusedAtOnce := 0
		for _, act := range r.n.Handle(r.now, events) {
			if run, ok := act.(Start); ok {
				running = append(running, run.ID)
			}
			refusal, ok := act.(Refuse)
			if ok && refusal.ID == id {
				refusedAtOnce++
			}
			if ok && refusal.ID%every != 0 && id > 200 { // after a few windows
				refused++
				if r.now-arrivedAt[refusal.ID] < 100*ms {
					early++
				}
				if refusal.NoRetry {
					noRetry++
				}
			}
		}
		if id%every == 0 && id > 200 && refusedAtOnce == 0 {
			kept++
		}
	}
	return refused, early, noRetry, kept
}

func TestQueueIsNotLimitedWhileReadingIsCostly(t *testing.T) {
	// Guards against tries that are read and refused by one server after another.
	for _, c := range []struct {
		waited time.Duration
		cold   bool
		costly bool
	}{{5 * ms, false, false}, {100 * ms, false, true}, {100 * ms, true, false}} {
		r := newHarness(t, func(s *Settings) {
			s.WarmupPeriod, s.JustStarted = 100*time.Second, c.cold
			s.MemoryKB = 1e6
		})
		fillCores(r)
		refused, early, noRetry, kept := flood(r, c.waited, 3)
		if refused < 50 || (early == 0) != c.costly || (noRetry == refused) != c.costly || (kept < 10) != c.costly {
			t.Errorf("%+v: %d refused, %d early, %d ask for no further try; %d further tries kept", c, refused,
				early, noRetry, kept)
		}
	}
}

func TestNoRetryAdviceInRetryStorm(t *testing.T) {
	// Every second request a further try, and much refused here: others have no room either. Early
	// refusals without this advice went through the whole fleet, six attempts a request.
	for _, c := range []struct {
		every ID
		all   bool
	}{{2, true}, {4, false}} {
		r := newHarness(t, nil)
		fillCores(r)
		refused, early, noRetry, _ := flood(r, 5*ms, c.every)
		if refused < 50 || early == 0 || (noRetry == refused) != c.all {
			t.Errorf("one in %d a further try: %d refused, %d early, %d ask for no further try", c.every, refused,
				early, noRetry)
		}
	}
}

func TestSingleLongRunDoesNotBlockItsClass(t *testing.T) {
	// A run of twenty times the usual work moved the mean threefold, and what would have run in time was
	// refused as hopeless. Dear runs in a row are a slow server, which is still followed.
	for _, c := range []struct {
		longRuns ID
		start    bool
	}{{1, true}, {8, false}} {
		r := newHarness(t, nil)
		for id := ID(1); id <= 30; id++ {
			r.handle(safeRequest(id))
			r.after(200*ms, Finished{ID: id, Duration: 200 * ms})
		}
		for id := ID(40); id < 40+c.longRuns; id++ {
			r.handle(safeRequest(id))
			r.after(100*ms, Finished{ID: id, Duration: 4000 * ms})
		}
		a := safeRequest(60)
		a.Waited = 500 * ms // half of the aim is left
		if got := starts(r.handle(a)); (len(got) == 1) != c.start {
			t.Errorf("%d dear runs: %q", c.longRuns, got)
		}
	}
}

func TestAbandonedRequestsFreeTheQueue(t *testing.T) {
	r := newHarness(t, nil)
	fillCores(r)
	var abandoned []Event
	for id := ID(10); id < 12; id++ {
		r.want(r.after(ms, safeRequest(id)))
		abandoned = append(abandoned, CallerGone{ID: id})
	}
	r.after(ms, abandoned...)
	for id := ID(20); id < 22; id++ {
		r.want(r.after(ms, safeRequest(id)))
	}
}

func TestIdleTimeoutIsShortForInfrequentCallers(t *testing.T) {
	for _, c := range []struct {
		callers           int
		waited            time.Duration
		busy              float64
		shortest, longest time.Duration
	}{
		{2, ms, 0.3, 0, 0}, // the callers' own span
		{2, 100 * ms, 1, 0, 0},
		{1000, ms, 1, ms, 3 * time.Second},
		{1000, 100 * ms, 1, 10 * time.Second, 30 * time.Second}, // a full table keeps out what is dear to read
		{1000, 100 * ms, 0.3, ms, 3 * time.Second},              // and would starve idle cores
	} {
		r := newHarness(t, func(s *Settings) { s.Callers, s.IdleTimeout = c.callers, 30*time.Second })
		after := time.Duration(0)
		for i := ID(0); i < 600; i++ {
			r.now += 20 * ms
			a := safeRequest(10 + i)
			a.Waited = c.waited
			if i > 550 && c.waited > ms {
				a.Waited = 40 * ms // less, and not little yet: the span stays
			}
			events := []Event{a, gauges(c.busy, 0, 0)}
			if i > 1 {
				events = append(events, Finished{ID: 9 + i, Duration: 100 * ms})
			}
			for _, act := range r.n.Handle(r.now, events) {
				if idle, ok := act.(CloseIdle); ok {
					after = idle.After
				}
			}
		}
		if after < c.shortest || after > c.longest {
			t.Errorf("%+v: idle connections close after %v", c, after)
		}
	}
}

func TestRefusalsUnderOverloadAdviseAWait(t *testing.T) {
	for _, hint := range []Hint{HintNone, HintLevel} {
		r := newHarness(t, func(s *Settings) { s.Hint = hint })
		fillCores(r)
		longest := time.Duration(0)
		for i := ID(0); i < 150; i++ {
			r.now += 20 * ms
			for _, a := range r.n.Handle(r.now, []Event{safeRequest(10 + i), gauges(1, 2, 0)}) {
				if ref, ok := a.(Refuse); ok {
					longest = max(longest, ref.RetryAfter)
				}
			}
		}
		if longest == 0 || longest > time.Second {
			t.Errorf("hint %v: advice of up to %v", hint, longest)
		}
	}
}

func TestHintFollowsRefusals(t *testing.T) {
	// A credit of the crowd over all callers, under one, kept callers away from a server with room.
	for _, c := range []struct {
		hint                 Hint
		highest, lowest, end float64
	}{{HintLevel, maxShedShare + 0.001, 0.05, 0}, {HintWeight, 0.95, 1 - maxShedShare, 1}, {HintCredit, 0.95, 1 - maxShedShare, 7}} {
		r := newHarness(t, func(s *Settings) { s.Hint, s.Callers = c.hint, 1000 })
		fillCores(r)
		value := -1.0
		for i := ID(0); i < 150; i++ {
			r.now += 20 * ms
			for _, a := range r.n.Handle(r.now, []Event{safeRequest(10 + i), gauges(1, 2, 0)}) {
				if h, ok := a.(SetHint); ok {
					value = h.Value
				}
			}
		}
		if value < c.lowest-0.001 || value > c.highest {
			t.Errorf("hint %v: %v said under refusals", c.hint, value)
		}
		r.after(ms, done(1), done(2), gauges(0, 0, 0))
		for range 2000 {
			r.now += 20 * ms
			for _, a := range r.n.Handle(r.now, []Event{gauges(0, 0, 0)}) {
				if h, ok := a.(SetHint); ok {
					value = h.Value
				}
			}
		}
		if value != c.end {
			t.Errorf("hint %v: %v said long after the last refusal", c.hint, value)
		}
	}
}

// A refusal tells when to come back, though nobody is being told to shed; where the site heeds no advice it
// gives none.
func TestEveryRefusalAdvisesAWait(t *testing.T) {
	for _, c := range []struct{ maxRetryAfter, want time.Duration }{{time.Second, minRetryAfter}, {5 * ms, 5 * ms}, {0, 0}} {
		r := newHarness(t, func(s *Settings) { s.MaxRetryAfter = c.maxRetryAfter })
		n := 0
		for i := ID(1); i <= 100; i++ {
			for _, a := range r.n.Handle(r.now, []Event{safeRequest(i)}) {
				if f, ok := a.(Refuse); ok {
					n++
					if f.RetryAfter != c.want {
						t.Errorf("at most %v: a refusal with %v, want %v", c.maxRetryAfter, f.RetryAfter, c.want)
					}
				}
			}
		}
		if n == 0 {
			t.Error("nothing was refused")
		}
	}
}

// A handful of callers that carry all traffic must not be told to have less than one request each here: the
// cores then stand idle while requests are refused.
func TestShedShareFallsFastOnIdleCores(t *testing.T) {
	// After a burst of half a second callers were kept away from idle cores for seconds.
	for _, idle := range []bool{false, true} {
		r := newHarness(t, func(s *Settings) { s.Hint, s.Callers = HintWeight, 1000 })
		fillCores(r)
		for i := ID(0); i < 100; i++ {
			r.after(20*ms, safeRequest(10+i), gauges(1, 2, 0))
		}
		if r.n.shed < 0.3 {
			t.Fatalf("share to stay away %v after a burst", r.n.shed)
		}
		for range 40 { // what is held is hopeless by then
			r.after(40*ms, gauges(1, 2, 0))
		}
		if idle {
			r.handle(done(1), done(2))
		}
		before := r.n.shed
		r.after(500*ms, gauges(0, 0, 0))
		if got := r.n.shed <= before/2; got != idle {
			t.Errorf("idle cores %v: share to stay away %v, before %v", idle, r.n.shed, before)
		}
	}
}

func TestCreditSufficesForFewCallers(t *testing.T) {
	r := newHarness(t, func(s *Settings) { s.Hint, s.Callers = HintCredit, 1 })
	fillCores(r)
	lowest, highest := -1.0, -1.0
	for i := ID(0); i < 150; i++ {
		r.now += 20 * ms
		for _, a := range r.n.Handle(r.now, []Event{safeRequest(10 + i), gauges(1, 2, 0)}) {
			if h, ok := a.(SetHint); ok {
				if lowest < 0 || h.Value < lowest {
					lowest = h.Value
				}
				highest = max(highest, h.Value)
			}
		}
	}
	capacity := creditPerCore * float64(r.n.set.Cores)
	if lowest < capacity*(1-maxShedShare)-0.001 || highest >= capacity {
		t.Errorf("credits from %v to %v, with room for %v", lowest, highest, capacity)
	}
	for _, c := range []struct {
		callers    int
		shed, want float64
	}{{3, 0.5, 6}, {3, 0, 12}, {6, 0.25, 4.5}, {1000, 0.5, 0.5}} {
		n := &Instance{set: Settings{Cores: 6, Callers: c.callers}}
		if got := n.credit(c.shed); got != c.want {
			t.Errorf("%d callers, shed %v: credit %v, want %v", c.callers, c.shed, got, c.want)
		}
	}
}

func TestNoHintWithHintNone(t *testing.T) {
	r := newHarness(t, nil)
	fillCores(r)
	for i := ID(0); i < 150; i++ {
		r.now += 20 * ms
		for _, a := range r.n.Handle(r.now, []Event{safeRequest(10 + i), gauges(1, 2, 0)}) {
			if h, ok := a.(SetHint); ok {
				t.Fatalf("advice %v", h)
			}
		}
	}
}

func TestStartsPauseAndResumeAtBusyThresholds(t *testing.T) {
	r := newHarness(t, func(s *Settings) { s.RunnableGauge = -1 })
	r.handle(safeRequest(1), safeRequest(2), gauges(0.96))
	r.want(r.after(300*ms, safeRequest(3), gauges(0.9)))    // between the marks: still paused
	r.want(r.after(200*ms, gauges(0.81)))                   // another window, and still
	r.want(starts(r.after(20*ms, gauges(0.79))), "Start 3") // below the lower one
	// The gauge shows a start late: one for each window of two cores, however often it is read.
	r.want(starts(r.handle(safeRequest(4), safeRequest(5), safeRequest(6))))
	r.want(starts(r.after(20*ms, gauges(0.5))))
	r.want(starts(r.after(480*ms, gauges(0.5))), "Start 4")
}

func TestIdleCoresStartRunsWhateverTheGauge(t *testing.T) {
	r := newHarness(t, nil)
	r.want(starts(r.handle(gauges(1, 9, 0), safeRequest(1), safeRequest(2), safeRequest(3))), "Start 1", "Start 2")
}

func TestConcurrencyLimitIsLowerWhileCold(t *testing.T) {
	for _, cold := range []bool{false, true} {
		r := newHarness(t, func(s *Settings) {
			s.JustStarted, s.WarmupPeriod = cold, 10*time.Second
		})
		started := 0
		for id := ID(1); id < 60; id++ {
			started += len(starts(r.after(ms, safeRequest(id), gauges(0, 0, 0))))
		}
		limit := 10.0 // two cores, five running requests each
		if cold {
			limit = 4
		}
		if float64(started) > limit {
			t.Errorf("cold %v: %d runs at once", cold, started)
		}
		if started < 2 {
			t.Errorf("cold %v: only %d runs", cold, started)
		}
	}
}

// allowances reads the allowances of the classes in order, after one window with these refusals.
func adjustedAllowances(classes []Class, allow []int, seen, refused []int) []int {
	set := testSettings()
	set.Classes = classes
	n, err := New(set, 1)
	if err != nil {
		panic(err)
	}
	var out []int
	for i, c := range n.classes {
		c.allowance, c.arrived, c.refused = allow[i], seen[i], refused[i]
	}
	n.adjustAllowances()
	for _, c := range n.classes {
		out = append(out, c.allowance)
	}
	return out
}

func TestAllowancesFollowFigureTwoOfPaper(t *testing.T) {
	three := []Class{
		{Name: "a", Aim: 1000, Deadline: 2000, Worth: 4},
		{Name: "b", Aim: 1000, Deadline: 2000, Worth: 2},
		{Name: "c", Aim: 1000, Deadline: 2000, Worth: 1},
	}
	one := three[:1]
	// d is 1/2 for both pairs: a should drop half as often as b, and b half as often as c.
	for _, c := range []struct {
		name          string
		classes       []Class
		allow         []int
		seen, refused []int
		want          []int
	}{
		{"no refusals: nothing moves", three, []int{4, 2, 1}, []int{9, 9, 9}, []int{0, 0, 0}, []int{4, 2, 1}},
		{"as wanted: nothing moves", three, []int{4, 2, 1}, []int{100, 100, 100}, []int{10, 20, 40}, []int{4, 2, 1}},
		{"both drop too much: b +1, a +1 and b's step", three, []int{4, 2, 1},
			[]int{100, 100, 100}, []int{40, 40, 40}, []int{6, 3, 1}},
		{"only the last drops: b -1, and a has nothing against b", three, []int{4, 2, 1},
			[]int{100, 100, 100}, []int{0, 0, 40}, []int{4, 1, 1}},
		{"b -1, a -1 and b's step; then all shift to one", three, []int{2, 1, 1},
			[]int{100, 100, 100}, []int{1, 20, 80}, []int{1, 1, 2}},
		{"only the first drops: nothing divides by zero", three, []int{1, 1, 1},
			[]int{100, 0, 0}, []int{5, 0, 0}, []int{2, 1, 1}},
		{"growth is bounded", three, []int{maxAllowance, 1, 1}, []int{9, 9, 9}, []int{9, 0, 0}, []int{maxAllowance, 1, 1}},
		{"one class", one, []int{7}, []int{9}, []int{9}, []int{1}},
	} {
		got := adjustedAllowances(c.classes, c.allow, c.seen, c.refused)
		if fmt.Sprint(got) != fmt.Sprint(c.want) {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

func TestClassOrderIsWorthThenAim(t *testing.T) {
	set := testSettings()
	set.Classes = []Class{
		{Name: "slack", Aim: 900, Deadline: 2000, Worth: 1},
		{Name: "tight", Aim: 500, Deadline: 2000, Worth: 1},
		{Name: "dear", Aim: 900, Deadline: 2000, Worth: 2},
	}
	n, err := New(set, 1)
	if err != nil {
		t.Fatal(err)
	}
	got := n.classes[0].Name + " " + n.classes[1].Name + " " + n.classes[2].Name
	if got != "dear tight slack" {
		t.Error(got)
	}
}

func TestNewNamesInvalidSetting(t *testing.T) {
	for field, change := range map[string]func(*Settings){
		"Classes is empty":    func(s *Settings) { s.Classes = nil },
		"Classes[0].Aim":      func(s *Settings) { s.Classes[0].Aim = 0 },
		"Classes[1].Deadline": func(s *Settings) { s.Classes[1].Deadline = -1 },
		"Classes[1].Worth":    func(s *Settings) { s.Classes[1].Worth = -1 },
		"Classes[1].KeyTTL":   func(s *Settings) { s.Classes[1].KeyTTL = 0 },
		"Classes[0].Safety":   func(s *Settings) { s.Classes[0].Safety = 9 },
		"Classes[1].Name":     func(s *Settings) { s.Classes[1].Name = "iron" },
		"Cores":               func(s *Settings) { s.Cores = 0 },
		"MemoryKB":            func(s *Settings) { s.MemoryKB = 0 },
		"RunFactor":           func(s *Settings) { s.RunMemoryFactor = 0.5 },
		"FallMultiple":        func(s *Settings) { s.MaxRunningPerCore = 0 },
		"EntryKB":             func(s *Settings) { s.EntryKB = -1 },
		"Tick, DrainGrace":    func(s *Settings) { s.Tick = -1 },
		"Hint":                func(s *Settings) { s.Hint = 9 },
		"BelowShare":          func(s *Settings) { s.DownstreamShare = -0.5 },
		"CallSpan":            func(s *Settings) { s.CallPeriod = -1 },
		"Linger":              func(s *Settings) { s.AbandonedCallTime = -1 },
		"Idle":                func(s *Settings) { s.IdleTimeout = -1 },
		"ColdShare":           func(s *Settings) { s.ColdSpeedShare = 1.5 },
		"Callers":             func(s *Settings) { s.Callers = -1 },
		"SkipWorth":           func(s *Settings) { s.Classes[1].SkipWorth = -1 },
	} {
		set := testSettings()
		change(&set)
		if _, err := New(set, 1); err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("%s: error %v", field, err)
		}
	}
}

func TestServerIsUnhealthyWhileItReadsLate(t *testing.T) {
	// A slow server got its full share of the traffic; what waited unread there for seconds was lost.
	health := func(retries bool) (unhealthy, recovered bool) {
		r := newHarness(t, nil)
		fillCores(r)
		for id := ID(10); id < 300; id++ {
			a := safeRequest(id)
			a.Waited, a.IsRetry = 900*ms, retries && id%2 == 0
			events := []Event{a, gauges(1, 2, 0)}
			if id > 150 {
				events = []Event{gauges(1, 2, 0)} // callers follow the list
			}
			for _, s := range r.after(20*ms, events...) {
				unhealthy = unhealthy || s == "Health false"
				recovered = recovered || unhealthy && s == "Health true"
			}
		}
		return unhealthy, recovered
	}
	if unhealthy, recovered := health(false); !unhealthy || !recovered {
		t.Errorf("left the list: %v, came back: %v", unhealthy, recovered)
	}
	if unhealthy, _ := health(true); unhealthy {
		t.Error("left the list in a storm of further tries, in which all are short")
	}
	r := newHarness(t, nil)
	fillCores(r)
	r.handle(DrainNotice{TimeLeft: 4000 * ms})
	for id := ID(10); id < 100; id++ {
		a := safeRequest(id)
		a.Waited = 900 * ms
		if contains(r.after(20*ms, a, gauges(1, 2, 0)), "Health true") {
			t.Error("back on the list while it drains")
		}
	}
}

func TestRefusalsAreImmediate(t *testing.T) {
	// No answer is held back so that its caller does not ask again.
	r := newHarness(t, nil)
	fillCores(r)
	answered := map[ID]bool{}
	for id := ID(10); id < 40; id++ {
		for _, s := range r.after(ms, safeRequest(id), gauges(1, 2, 0)) {
			var refusedID ID
			if k, _ := fmt.Sscanf(s, "Refuse %d", &refusedID); k == 1 {
				answered[refusedID] = true
			}
		}
		open := 0
		for k := ID(10); k <= id; k++ {
			if !answered[k] {
				open++
			}
		}
		if open > 3 {
			t.Fatalf("%d wait for an answer, though the hold takes three", open)
		}
	}
	r.want(r.handle(Arrived{ID: 50, Class: "iron", KB: 1, Waited: 990 * ms, TimeLeft: 2000 * ms}, gauges(1, 2, 0)), "Refuse 50")
}

// Settings change while requests are open: one of a class that went still runs by what it came with, one that comes
// after is refused, and the new class is served. Faulty settings change nothing.
func TestUpdateSettingsAddsAndRemovesClasses(t *testing.T) {
	r := newHarness(t, nil)
	fillCores(r)
	r.handle(safeRequest(3), keyedRequest(4))
	set := testSettings()
	set.Classes[1].Deadline = 0
	if r.n.UpdateSettings(set) == nil {
		t.Error("a class without a deadline was taken")
	}
	set = testSettings()
	set.Classes[0].Name, set.Classes[1].Worth = "tin", 3 // iron went, gold is worth less
	if err := r.n.UpdateSettings(set); err != nil {
		t.Fatal(err)
	}
	other := safeRequest(6)
	other.Class = "tin"
	r.want(r.after(ms, safeRequest(5), other), "Refuse 5")
	r.want(starts(r.after(ms, done(1))), "Start 4")
	r.want(starts(r.after(ms, done(2))), "Start 6") // the old class has had its turn
	if len(r.n.classes) != 4 {
		t.Errorf("%d classes", len(r.n.classes))
	}
	r.want(starts(r.after(ms, done(4))), "Start 3")
	r.after(windowLength, done(3))
	if len(r.n.classes) != 2 {
		t.Errorf("%d classes are kept when none of the old ones is held", len(r.n.classes))
	}
}
