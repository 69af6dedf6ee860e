package policy

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

const ms = time.Millisecond

// testSettings configures a server with two classes: "keyed" of worth 5 and "safe" of worth 1.
func testSettings() Settings {
	return Settings{
		Classes: []Class{
			{Name: "safe", Aim: 1000 * ms, Deadline: 3000 * ms, Worth: 1, SkipWorth: 0.3, Calls: true},
			{Name: "keyed", Aim: 1000 * ms, Deadline: 3000 * ms, Worth: 5, Safety: Keyed, KeyTTL: 8000 * ms, Calls: true},
		},
		Servers: 3, Callers: 2, Cores: 2, MemoryKB: 10000, EntryKB: 10, RunMemoryFactor: 4,
		MaxRunningPerCore: 5, MaxRunningPeriod: 2 * time.Second, ColdSpeedShare: 0.25, AnswerSlack: 60 * ms,
		DrainGrace: 500 * ms, Tick: 2 * ms, PassesDeadline: true, HasDownstream: true, MaxRetryAfter: time.Second,
		BusyGauge: 0, RunnableGauge: 1, MemoryGauge: 2, ConnectionGauge: -1,
	}
}

// harness drives one instance and formats its actions as text such as "Start 3".
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

// describe formats an action; an empty text stands for one that no test checks.
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
		return fmt.Sprint("StoreKey ", a.ID, " ", a.TTL)
	case DeleteKey:
		return fmt.Sprint("DeleteKey ", a.ID)
	case MakeCall:
		return fmt.Sprint("Call ", a.ID)
	case SkipCall:
		return fmt.Sprint("Skip ", a.ID)
	case Health:
		return fmt.Sprint("Health ", a.Healthy)
	case SetHint:
		return fmt.Sprintf("SetHint %.3f", a.Value)
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

// starts filters for the actions that start runs.
func starts(list []string) []string {
	var out []string
	for _, s := range list {
		if strings.HasPrefix(s, "Start") {
			out = append(out, s)
		}
	}
	return out
}

func safeRequest(id ID) Arrived  { return Arrived{ID: id, Class: "safe", KB: 10, TimeLeft: 3000 * ms} }
func keyedRequest(id ID) Arrived { return Arrived{ID: id, Class: "keyed", KB: 10, TimeLeft: 3000 * ms} }
func keyedRepeat(id, first ID) Arrived {
	a := keyedRequest(id)
	a.Original, a.HasOriginal = first, true
	return a
}
func done(id ID) Finished            { return Finished{ID: id, Duration: 100 * ms} }
func gauges(x ...float64) TimerFired { return TimerFired{Gauges: x} }

// fillCores starts requests 1 and 2 and reports that all cores are busy.
func fillCores(r *harness) {
	r.handle(safeRequest(1), safeRequest(2), gauges(1, 2, 0))
}

// newFullHarness returns a server of four cores, which run the requests 1, 2, 101 and 102.
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
		s.Cores = 16 // the queue takes all requests sent below
		for i := range s.Classes {
			s.Classes[i].Deadline = 100 * time.Second
		}
		s.Classes[0].Aim, s.Classes[1].Aim = 40*time.Second, 40*time.Second
	})
	withoutTimeout := func(a Arrived) Arrived {
		a.TimeLeft = 0
		return a
	}
	for id := ID(1000); id < 1016; id++ {
		r.handle(withoutTimeout(safeRequest(id)), gauges(1, 16, 0))
	}
	for id := ID(10); id < 34; id += 2 {
		r.handle(withoutTimeout(keyedRequest(id)))
	}
	r.handle(withoutTimeout(safeRequest(11)), withoutTimeout(safeRequest(13)), withoutTimeout(safeRequest(15)))
	var order []string
	for id := ID(1000); id < 1015; id++ {
		got := starts(r.after(ms, done(id), gauges(1, 16, 0)))
		if len(got) != 1 {
			t.Fatalf("want one start, got %q", got)
		}
		var next ID
		fmt.Sscanf(got[0], "Start %d", &next)
		order = append(order, map[bool]string{true: "s", false: "k"}[next%2 == 1])
	}
	// Worths of 5 and 1 give allowances of 5 and 1; an earlier run used the start of class "safe" in the first
	// round. A class with an empty queue leaves its starts to the other.
	if got := strings.Join(order, ""); got != "kkkkk"+"kkkkks"+"kks"+"s" {
		t.Errorf("classes started in order %s", got)
	}
}

func TestQueueOrderIsSizeThenAim(t *testing.T) {
	r := newFullHarness(t)
	a, b, c := safeRequest(3), safeRequest(4), safeRequest(5)
	a.Size, b.Size, c.Size = 90*ms, 30*ms, 90*ms
	c.Waited = 20 * ms // arrived earlier, so its deadline is earlier
	r.handle(a, b, c)
	var order []string
	for _, id := range []ID{1, 2, 4, 5} {
		order = append(order, starts(r.after(ms, done(id), gauges(1, 4, 0)))...)
	}
	r.want(order, "Start 4", "Start 5", "Start 3")
}

func TestQueueOrderIsAimWithoutSizes(t *testing.T) {
	// Guards against an order by the learned mean at the time of arrival.
	r := newHarness(t, nil)
	fillCores(r)
	r.handle(safeRequest(3), safeRequest(4))
	r.want(starts(r.after(10*ms, Finished{ID: 1, Duration: 250 * ms}, gauges(1, 2, 0))), "Start 3") // the mean increases
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
	// Runs take 400 ms whatever their size: a size of ten times the mean must not cause a refusal.
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
	t.Error("one slow run caused the refusal of all later requests")
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
				if refusal, ok := act.(Refuse); ok {
					refused++
					if refusal.NoRetry {
						noRetry++
					}
				}
			}
		}
		if refused == 0 || (noRetry > 0) != retries {
			t.Errorf("retries: %v, %d of %d refusals advise against a retry", retries, noRetry, refused)
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
		got := r.after(10*ms, Finished{ID: 1, Duration: 200 * ms}) // 300 ms left, less than two such runs
		if others {
			r.want(got, "Refuse 3", "Start 4")
		} else {
			r.want(got, "Start 3")
		}
	}
}

func TestQueueLengthIsLimitedByCores(t *testing.T) {
	// Guards against refusals that come too late for another server to help.
	r2 := newHarness(t, nil)
	fillCores(r2)
	r2.want(r2.handle(safeRequest(3), safeRequest(4), safeRequest(5), gauges(1, 2, 0))) // three for two cores
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
					t.Errorf("%s: class of higher worth refused first", s)
				}
			}
		}
	}
	if early < 80 || early > 98 {
		t.Errorf("%d of 100 requests refused at once, want 80 to 98, as two cores serve few within the aim", early)
	}
}

// flood sends more requests than can be served, each after an unread wait, and one in requestsPerRetry as a retry. It
// returns the number of refused first attempts, those refused within 100 ms, those advised against a retry, and the
// number of retries that were not refused at once.
func flood(r *harness, waited time.Duration, requestsPerRetry ID) (refused, early, noRetry, kept int) {
	arrivedAt := map[ID]time.Duration{}
	running := []ID{1, 2}
	for id := ID(10); id < 400; id++ {
		a := safeRequest(id)
		a.IsRetry, a.Waited = id%requestsPerRetry == 0, waited
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
			if ok && refusal.ID%requestsPerRetry != 0 && id > 200 { // after a few windows
				refused++
				if r.now-arrivedAt[refusal.ID] < 100*ms {
					early++
				}
				if refusal.NoRetry {
					noRetry++
				}
			}
		}
		if id%requestsPerRetry == 0 && id > 200 && refusedAtOnce == 0 {
			kept++
		}
	}
	return refused, early, noRetry, kept
}

func TestQueueIsNotLimitedWhileReadingIsCostly(t *testing.T) {
	// Guards against attempts that are read and refused by one server after another.
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
			t.Errorf("%+v: %d refused, %d early, %d advised against a retry; %d retries kept", c, refused,
				early, noRetry, kept)
		}
	}
}

func TestNoRetryAdviceInRetryStorm(t *testing.T) {
	// If every second request is a retry and many are refused, other servers have no capacity either. Without this
	// advice each request would be refused by one server after another, in six attempts.
	for _, c := range []struct {
		every ID
		all   bool
	}{{2, true}, {4, false}} {
		r := newHarness(t, nil)
		fillCores(r)
		refused, early, noRetry, _ := flood(r, 5*ms, c.every)
		if refused < 50 || early == 0 || (noRetry == refused) != c.all {
			t.Errorf("one retry in %d: %d refused, %d early, %d advised against a retry", c.every, refused,
				early, noRetry)
		}
	}
}

func TestSingleLongRunDoesNotBlockItsClass(t *testing.T) {
	// A single run of 20 times the usual work must not raise the mean to three times its value, which would refuse
	// requests that could run in time. Several long runs in a row show a slow server and do raise it.
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
			t.Errorf("%d long runs: starts %q", c.longRuns, got)
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
		{2, ms, 0.3, 0, 0}, // the timeout of the callers stays
		{2, 100 * ms, 1, 0, 0},
		{1000, ms, 1, ms, 3 * time.Second},
		{1000, 100 * ms, 1, 10 * time.Second, 30 * time.Second}, // a full table keeps out connections whose requests are costly to read
		{1000, 100 * ms, 0.3, ms, 3 * time.Second},              // a full table must not keep requests from idle cores
	} {
		r := newHarness(t, func(s *Settings) { s.Callers, s.IdleTimeout = c.callers, 30*time.Second })
		after := time.Duration(0)
		for i := ID(0); i < 600; i++ {
			r.now += 20 * ms
			a := safeRequest(10 + i)
			a.Waited = c.waited
			if i > 550 && c.waited > ms {
				a.Waited = 40 * ms // a shorter wait that is still too long to change the timeout
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
			t.Errorf("%+v: idle timeout %v", c, after)
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
				if refusal, ok := a.(Refuse); ok {
					longest = max(longest, refusal.RetryAfter)
				}
			}
		}
		if longest == 0 || longest > time.Second {
			t.Errorf("hint %v: longest wait advised %v", hint, longest)
		}
	}
}

func TestHintFollowsRefusals(t *testing.T) {
	// The concurrency divided by all callers, a credit below 1, would keep callers away from a server with capacity.
	for _, c := range []struct {
		hint                 Hint
		highest, lowest, end float64
	}{
		{HintLevel, maxShedShare + 0.001, 0.05, 0},
		{HintWeight, 0.95, 1 - maxShedShare, 1},
		{HintCredit, 0.95, 1 - maxShedShare, 7},
	} {
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
			t.Errorf("hint %v: value %v during refusals", c.hint, value)
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
			t.Errorf("hint %v: value %v long after the last refusal", c.hint, value)
		}
	}
}

// Every refusal advises a wait, also while callers shed nothing, but not where callers ignore the advice.
func TestEveryRefusalAdvisesAWait(t *testing.T) {
	for _, c := range []struct{ maxRetryAfter, want time.Duration }{{time.Second, minRetryAfter}, {5 * ms, 5 * ms}, {0, 0}} {
		r := newHarness(t, func(s *Settings) { s.MaxRetryAfter = c.maxRetryAfter })
		refused := 0
		for id := ID(1); id <= 100; id++ {
			for _, a := range r.n.Handle(r.now, []Event{safeRequest(id)}) {
				if refusal, ok := a.(Refuse); ok {
					refused++
					if refusal.RetryAfter != c.want {
						t.Errorf("maximum %v: wait of %v advised, want %v", c.maxRetryAfter, refusal.RetryAfter, c.want)
					}
				}
			}
		}
		if refused == 0 {
			t.Error("nothing was refused")
		}
	}
}

func TestShedShareFallsFastOnIdleCores(t *testing.T) {
	// After a burst of 500 ms callers must not avoid idle cores for seconds.
	for _, idle := range []bool{false, true} {
		r := newHarness(t, func(s *Settings) { s.Hint, s.Callers = HintWeight, 1000 })
		fillCores(r)
		for i := ID(0); i < 100; i++ {
			r.after(20*ms, safeRequest(10+i), gauges(1, 2, 0))
		}
		if r.n.shed < 0.3 {
			t.Fatalf("shed share %v after a burst", r.n.shed)
		}
		for range 40 { // all queued requests are hopeless by then
			r.after(40*ms, gauges(1, 2, 0))
		}
		if idle {
			r.handle(done(1), done(2))
		}
		before := r.n.shed
		r.after(500*ms, gauges(0, 0, 0))
		if got := r.n.shed <= before/2; got != idle {
			t.Errorf("idle cores: %v, shed share %v, before %v", idle, r.n.shed, before)
		}
	}
}

// Few callers that send all traffic must not get credits that leave cores idle while requests are refused.
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
		t.Errorf("credits from %v to %v with capacity for %v", lowest, highest, capacity)
	}
	for _, c := range []struct {
		callers    int
		shed, want float64
	}{{3, 0.5, 6}, {3, 0, 12}, {6, 0.25, 4.5}, {1000, 0.5, 0.5}} {
		n := &Instance{set: Settings{Cores: 6, Callers: c.callers}}
		if got := n.credit(c.shed); got != c.want {
			t.Errorf("%d callers, shed share %v: credit %v, want %v", c.callers, c.shed, got, c.want)
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
				t.Fatalf("hint %v, want none", h)
			}
		}
	}
}

func TestStartsPauseAndResumeAtBusyThresholds(t *testing.T) {
	r := newHarness(t, func(s *Settings) { s.RunnableGauge = -1 })
	r.handle(safeRequest(1), safeRequest(2), gauges(0.96))
	r.want(r.after(300*ms, safeRequest(3), gauges(0.9)))    // between the thresholds: still paused
	r.want(r.after(200*ms, gauges(0.81)))                   // still in the next window
	r.want(starts(r.after(20*ms, gauges(0.79))), "Start 3") // below the lower threshold
	// The gauge shows a start late: one start per window on two cores, however often it is read.
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
			t.Errorf("cold: %v, %d concurrent runs, above the limit", cold, started)
		}
		if started < 2 {
			t.Errorf("cold: %v, %d concurrent runs, want 2 or more", cold, started)
		}
	}
}

// adjustedAllowances returns the allowances of the classes in order after one window with the given refusals.
func adjustedAllowances(classes []Class, allowances []int, arrived, refused []int) []int {
	set := testSettings()
	set.Classes = classes
	n, err := New(set, 1)
	if err != nil {
		panic(err)
	}
	var out []int
	for i, c := range n.classes {
		c.allowance, c.arrived, c.refused = allowances[i], arrived[i], refused[i]
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
	// d is 1/2 for both pairs. The target is that a drops half as often as b, and b half as often as c.
	for _, c := range []struct {
		name             string
		classes          []Class
		allowances       []int
		arrived, refused []int
		want             []int
	}{
		{"no refusals: no change", three, []int{4, 2, 1}, []int{9, 9, 9}, []int{0, 0, 0}, []int{4, 2, 1}},
		{"on target: no change", three, []int{4, 2, 1}, []int{100, 100, 100}, []int{10, 20, 40}, []int{4, 2, 1}},
		{"a and b drop too much: b +1, a +1 and the step of b", three, []int{4, 2, 1},
			[]int{100, 100, 100}, []int{40, 40, 40}, []int{6, 3, 1}},
		{"only c drops: b -1, and a unchanged relative to b", three, []int{4, 2, 1},
			[]int{100, 100, 100}, []int{0, 0, 40}, []int{4, 1, 1}},
		{"b -1, a -1 and the step of b; then the least is shifted to 1", three, []int{2, 1, 1},
			[]int{100, 100, 100}, []int{1, 20, 80}, []int{1, 1, 2}},
		{"only a drops: no division by zero", three, []int{1, 1, 1},
			[]int{100, 0, 0}, []int{5, 0, 0}, []int{2, 1, 1}},
		{"growth is bounded", three, []int{maxAllowance, 1, 1}, []int{9, 9, 9}, []int{9, 0, 0}, []int{maxAllowance, 1, 1}},
		{"one class", one, []int{7}, []int{9}, []int{9}, []int{1}},
	} {
		got := adjustedAllowances(c.classes, c.allowances, c.arrived, c.refused)
		if fmt.Sprint(got) != fmt.Sprint(c.want) {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

func TestClassOrderIsWorthThenAim(t *testing.T) {
	set := testSettings()
	set.Classes = []Class{
		{Name: "loose", Aim: 900, Deadline: 2000, Worth: 1},
		{Name: "tight", Aim: 500, Deadline: 2000, Worth: 1},
		{Name: "worthy", Aim: 900, Deadline: 2000, Worth: 2},
	}
	n, err := New(set, 1)
	if err != nil {
		t.Fatal(err)
	}
	got := n.classes[0].Name + " " + n.classes[1].Name + " " + n.classes[2].Name
	if got != "worthy tight loose" {
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
		"Classes[1].Name":     func(s *Settings) { s.Classes[1].Name = "safe" },
		"Cores":               func(s *Settings) { s.Cores = 0 },
		"MemoryKB":            func(s *Settings) { s.MemoryKB = 0 },
		"RunMemoryFactor":     func(s *Settings) { s.RunMemoryFactor = 0.5 },
		"MaxRunningPerCore":   func(s *Settings) { s.MaxRunningPerCore = 0 },
		"EntryKB":             func(s *Settings) { s.EntryKB = -1 },
		"Tick, DrainGrace":    func(s *Settings) { s.Tick = -1 },
		"Hint":                func(s *Settings) { s.Hint = 9 },
		"DownstreamShare":     func(s *Settings) { s.DownstreamShare = -0.5 },
		"CallPeriod":          func(s *Settings) { s.CallPeriod = -1 },
		"AbandonedCallTime":   func(s *Settings) { s.AbandonedCallTime = -1 },
		"IdleTimeout":         func(s *Settings) { s.IdleTimeout = -1 },
		"ColdSpeedShare":      func(s *Settings) { s.ColdSpeedShare = 1.5 },
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
	// Guards against a slow server that keeps its full share of the traffic, where requests time out unread.
	health := func(retries bool) (unhealthy, recovered bool) {
		r := newHarness(t, nil)
		fillCores(r)
		for id := ID(10); id < 300; id++ {
			a := safeRequest(id)
			a.Waited, a.IsRetry = 900*ms, retries && id%2 == 0
			events := []Event{a, gauges(1, 2, 0)}
			if id > 150 {
				events = []Event{gauges(1, 2, 0)} // callers avoid an unhealthy server
			}
			for _, s := range r.after(20*ms, events...) {
				unhealthy = unhealthy || s == "Health false"
				recovered = recovered || unhealthy && s == "Health true"
			}
		}
		return unhealthy, recovered
	}
	if unhealthy, recovered := health(false); !unhealthy || !recovered {
		t.Errorf("became unhealthy: %v, healthy again: %v", unhealthy, recovered)
	}
	if unhealthy, _ := health(true); unhealthy {
		t.Error("became unhealthy in a retry storm, in which the whole fleet is overloaded")
	}
	r := newHarness(t, nil)
	fillCores(r)
	r.handle(DrainNotice{TimeLeft: 4000 * ms})
	for id := ID(10); id < 100; id++ {
		a := safeRequest(id)
		a.Waited = 900 * ms
		if contains(r.after(20*ms, a, gauges(1, 2, 0)), "Health true") {
			t.Error("became healthy while draining")
		}
	}
}

func TestRefusalsAreImmediate(t *testing.T) {
	// Guards against refusals that are delayed to keep callers from retrying.
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
			t.Fatalf("%d requests without an answer, though the queue takes three", open)
		}
	}
	r.want(r.handle(Arrived{ID: 50, Class: "safe", KB: 1, Waited: 990 * ms, TimeLeft: 2000 * ms}, gauges(1, 2, 0)), "Refuse 50")
}

// When settings change, open requests of a removed class still run with the settings that they arrived with, later ones
// are refused, and requests of a new class are served. Invalid settings change nothing.
func TestUpdateSettingsAddsAndRemovesClasses(t *testing.T) {
	r := newHarness(t, nil)
	fillCores(r)
	r.handle(safeRequest(3), keyedRequest(4))
	set := testSettings()
	set.Classes[1].Deadline = 0
	if r.n.UpdateSettings(set) == nil {
		t.Error("a class without a deadline was accepted")
	}
	set = testSettings()
	set.Classes[0].Name, set.Classes[1].Worth = "other", 3 // "safe" is removed, "keyed" is worth less
	if err := r.n.UpdateSettings(set); err != nil {
		t.Fatal(err)
	}
	other := safeRequest(6)
	other.Class = "other"
	r.want(r.after(ms, safeRequest(5), other), "Refuse 5")
	r.want(starts(r.after(ms, done(1))), "Start 4")
	r.want(starts(r.after(ms, done(2))), "Start 6") // the removed class has used its allowance
	if len(r.n.classes) != 4 {
		t.Errorf("%d classes, want 4", len(r.n.classes))
	}
	r.want(starts(r.after(ms, done(4))), "Start 3")
	r.after(windowLength, done(3))
	if len(r.n.classes) != 2 {
		t.Errorf("%d classes, want 2 when no request of a removed class is queued", len(r.n.classes))
	}
}
