package policy

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// checker checks the invariants (no lost request, no duplicate effect, no collapse, a complete drain) from events and
// actions alone.
type checker struct {
	set       Settings
	now       time.Duration
	attempts  map[ID]*attempt
	entries   map[ID]time.Duration // entries of the key table and their expiry
	drainAt   time.Duration
	stopAt    time.Duration
	startedAt time.Duration
	timerAt   time.Duration // the earliest timer that was set
	token     uint64
}

// attempt is what a checker records of one attempt.
type attempt struct {
	arrived      Arrived
	class        Class
	reachedAt    time.Duration
	due          time.Duration
	job          int // attempts of one job share its effect
	answers      int
	started      bool
	running      bool
	atCall       bool
	callInFlight bool
	sharing      bool
	callerGone   bool
	ended        bool
	endedAt      time.Duration
	lastOutcome  Outcome
	callAttempts int
}

func (c *checker) violation(format string, args ...any) error {
	return fmt.Errorf("at %v: %s", c.now, fmt.Sprintf(format, args...))
}

func (c *checker) ranWithinTTL(t *attempt) bool {
	for _, o := range c.attempts {
		if o != t && o.job == t.job && o.started && t.reachedAt-o.reachedAt < t.class.KeyTTL {
			return true
		}
	}
	return false
}

// record records an action and returns an error if it violates an invariant or the contract of the host.
func (c *checker) record(a Action) error {
	get := func(id ID) (*attempt, error) {
		if t := c.attempts[id]; t != nil {
			return t, nil
		}
		return nil, c.violation("%T of unknown request %d", a, id)
	}
	switch a := a.(type) {
	case Start:
		t, err := get(a.ID)
		if err != nil {
			return err
		}
		if t.ended && t.endedAt < c.now || t.started {
			return c.violation("start of request %d, which ended or was started before", a.ID)
		}
		if t.class.Safety == Keyed && c.ranWithinTTL(t) {
			return c.violation("duplicate: request %d runs within KeyTTL of another attempt: %+v", a.ID, t)
		}
		if c.drainAt > 0 && t.reachedAt > c.drainAt+c.set.DrainGrace {
			return c.violation("drain: request %d runs, which arrived after the grace", a.ID)
		}
		t.started, t.running = true, !t.ended
	case ShareResult:
		t, err := get(a.ID)
		if err != nil {
			return err
		}
		if !t.arrived.HasOriginal || t.ended && t.endedAt < c.now || t.started {
			return c.violation("shared result for request %d, which repeats nothing, ran or ended", a.ID)
		}
		t.sharing = true
	case Refuse, Fail:
		id, refused := ID(0), false
		if r, ok := a.(Refuse); ok {
			id, refused = r.ID, true
		} else {
			id = a.(Fail).ID
		}
		t, err := get(id)
		if err != nil {
			return err
		}
		t.answers++
		if t.answers > 1 {
			return c.violation("request %d is answered twice", id)
		}
		if refused && t.class.Safety != Safe && (t.started || t.class.Safety == Keyed && c.ranWithinTTL(t)) {
			return c.violation("duplicate: request %d is refused after it ran", id)
		}
		if c.now > t.due+c.set.AnswerSlack && !t.callerGone {
			return c.violation("lost: request %d is answered %v late", id, c.now-t.due)
		}
		if !t.running {
			t.ended = true
		}
	case MakeCall:
		t, err := get(a.ID)
		if err != nil {
			return err
		}
		proven := t.lastOutcome == Full || t.lastOutcome == Unreachable || t.lastOutcome == NotRun ||
			t.lastOutcome == InvalidReply && t.class.Safety == Safe // may run any number of times
		if t.callAttempts > 0 && !proven {
			return c.violation("duplicate: the call of request %d is retried after outcome %d", a.ID, t.lastOutcome)
		}
		if !t.atCall || t.callInFlight {
			return c.violation("request %d does not wait for a call", a.ID)
		}
		t.callAttempts++
		t.callInFlight = true
	case SkipCall:
		t, err := get(a.ID)
		if err != nil {
			return err
		}
		if t.class.SkipWorth == 0 {
			return c.violation("the required call of request %d is skipped", a.ID)
		}
		t.atCall, t.callInFlight = false, false
	case StoreKey:
		t, err := get(a.ID)
		if err != nil {
			return err
		}
		if t.class.Safety == Keyed && c.now+a.TTL < t.reachedAt+t.class.KeyTTL {
			return c.violation("the entry of request %d expires before KeyTTL", a.ID)
		}
		c.entries[a.ID] = c.now + a.TTL
	case DeleteKey:
		if t := c.attempts[a.ID]; t != nil && t.class.Safety == Keyed && t.started {
			return c.violation("duplicate: the entry of request %d is deleted though it ran", a.ID)
		}
		delete(c.entries, a.ID)
	case SetHint:
		if c.set.Hint == HintNone {
			return c.violation("hint set though Settings.Hint is HintNone")
		}
	case SetTimer:
		if a.At <= c.now-c.set.Tick {
			return c.violation("timer set in the past")
		}
		if c.timerAt <= c.now || a.At < c.timerAt {
			c.timerAt, c.token = a.At, a.Token
		}
	}
	return nil
}

// checkInvariants checks the invariants once all actions of a call are recorded.
func (c *checker) checkInvariants() error {
	memory, onCores := 0.0, 0
	for id, until := range c.entries {
		if until <= c.now {
			delete(c.entries, id)
			continue
		}
		memory += c.set.EntryKB
	}
	for id, t := range c.attempts {
		if t.ended {
			continue
		}
		if t.running {
			memory += t.arrived.KB * c.set.RunMemoryFactor
			if !t.atCall {
				onCores++
			}
		} else {
			memory += t.arrived.KB
		}
		if t.answers == 0 && !t.callerGone && c.now > t.due+c.set.AnswerSlack {
			return c.violation("lost: request %d has no answer", id)
		}
		if t.answers == 0 && !t.callerGone && c.stopAt > 0 && c.now >= c.stopAt {
			return c.violation("drain: request %d has no answer at the stop", id)
		}
	}
	if memory > c.set.MemoryKB {
		return c.violation("collapse: %.0f kB of %.0f kB used", memory, c.set.MemoryKB)
	}
	share := 1.0
	if c.set.JustStarted {
		warm := min(float64(c.now-c.startedAt)/float64(c.set.WarmupPeriod), 1)
		share = c.set.ColdSpeedShare + (1-c.set.ColdSpeedShare)*warm
	}
	if float64(onCores) > float64(c.set.Cores)*(1+(c.set.MaxRunningPerCore-1)*share) {
		return c.violation("collapse: %d requests run on %d cores", onCores, c.set.Cores)
	}
	return nil
}

// randomSettings returns random valid settings.
func randomSettings(rng *rand.Rand) Settings {
	s := testSettings()
	s.Classes = append(s.Classes, Class{Name: "unsafe", Aim: 500 * ms, Deadline: 1500 * ms, Worth: 2,
		Safety: Unsafe, LateValue: float64(rng.IntN(2)) / 2, Calls: true})
	s.Hint = Hint(rng.IntN(4))
	s.SharedResultTTL = time.Duration(rng.IntN(2)) * 400 * ms
	s.JustStarted, s.WarmupPeriod = rng.IntN(2) == 0, 5*time.Second
	s.PassesDeadline = rng.IntN(2) == 0
	s.WorthByWork = rng.IntN(2) == 0
	s.MemoryKB = float64(600 + rng.IntN(3000))
	s.EntryKB = float64(1 + rng.IntN(30))
	s.AnswerSlack = time.Duration(rng.IntN(2)) * 60 * ms
	if rng.IntN(3) == 0 {
		s.RunnableGauge, s.BusyGauge = -1, -1
	}
	if rng.IntN(3) == 0 { // limited and required downstream calls
		s.DownstreamShare, s.CallPeriod, s.AbandonedCallTime = 0.2+2*rng.Float64(), 2*time.Second, 200*ms
		for i := range s.Classes {
			s.Classes[i].SkipWorth = 0
		}
	}
	if rng.IntN(3) == 0 {
		s.Tenants = []Tenant{{Name: "x", Quota: 10, Share: 0.5}, {Name: "y", Quota: 10, Share: 0.5}}
	}
	return s
}

// simulation sends random valid events and carries out the actions. It does not model a server: which requests end, and
// how they end, is random.
type simulation struct {
	checker *checker
	rng     *rand.Rand
	n       *Instance
	lastID  ID
	jobs    int
	ids     []ID // of arrival, for random choices that do not depend on map order
	log     []string
}

func (s *simulation) arrival() Event {
	s.lastID++
	c := s.checker.set.Classes[s.rng.IntN(len(s.checker.set.Classes))]
	a := Arrived{ID: s.lastID, Class: c.Name, KB: float64(1 + s.rng.IntN(20)), Key: fmt.Sprint("k", s.rng.IntN(4)),
		Waited: time.Duration(s.rng.IntN(60)) * ms, Write: s.rng.IntN(4) == 0, IsRetry: s.rng.IntN(3) == 0}
	if s.rng.IntN(20) == 0 {
		a.Waited = c.Deadline + time.Second
	}
	if s.rng.IntN(2) == 0 {
		a.Size = time.Duration(1+s.rng.IntN(300)) * ms
	}
	if s.rng.IntN(5) == 0 {
		a.Tenant = "x"
	}
	t := &attempt{class: c, reachedAt: s.checker.now - a.Waited}
	s.jobs++
	t.job = s.jobs
	if len(s.ids) > 0 && s.rng.IntN(2) == 0 {
		// A further attempt of an earlier request, identified by the entry that was valid when it arrived.
		o := s.checker.attempts[s.ids[len(s.ids)-1-s.rng.IntN(min(len(s.ids), 8))]]
		if o.class.Name == c.Name && c.Safety == Keyed {
			t.job = o.job
			t.reachedAt, a.Waited = s.checker.now, 0
		}
	}
	for _, id := range s.ids {
		o := s.checker.attempts[id]
		_, stored := s.checker.entries[id]
		sameJob := o.job == t.job && c.Safety == Keyed && (!o.ended || o.started)
		sameRead := c.Safety == Safe && o.class.Name == c.Name && o.arrived.Key == a.Key && !o.ended && !a.Write
		if stored && (sameJob || sameRead) {
			a.Original, a.HasOriginal = id, true
		}
	}
	if c.Safety == Keyed && !a.HasOriginal {
		// An attempt of a job that is queued or ran without an entry would be a fault of the key table, as the
		// instance adds every queued keyed request to it. This is a new job instead.
		for _, o := range s.checker.attempts {
			if o.job == t.job && (!o.ended || o.started && t.reachedAt-o.reachedAt < c.KeyTTL) {
				s.jobs++
				t.job = s.jobs
				break
			}
		}
	}
	if s.checker.set.PassesDeadline && s.rng.IntN(4) > 0 {
		a.TimeLeft = time.Duration(1 + s.rng.Int64N(int64(c.Deadline)))
	}
	t.due = t.reachedAt + c.Deadline
	if a.TimeLeft > 0 {
		t.due = s.checker.now + a.TimeLeft
	}
	t.due = max(t.due, s.checker.now)
	t.arrived = a
	s.checker.attempts[a.ID] = t
	s.ids = append(s.ids, a.ID)
	return a
}

// progress returns a random next event of a request, or nil for none.
func (s *simulation) progress(id ID) Event {
	t := s.checker.attempts[id]
	if t.ended {
		return nil
	}
	roll := s.rng.IntN(100)
	outcome := OK
	if s.rng.IntN(4) == 0 {
		outcome = Failed
	}
	took := s.checker.now - t.reachedAt
	switch {
	case roll < 3 && !t.callerGone && t.answers == 0:
		t.callerGone = true
		if !t.running {
			t.ended, t.endedAt = true, s.checker.now
			delete(s.checker.entries, id)
		}
		return CallerGone{id}
	case t.atCall && (t.answers > 0 || t.callerGone) && !t.callInFlight:
		t.running, t.ended, t.endedAt = false, true, s.checker.now
		return Finished{ID: id, Outcome: Cancelled, Duration: took}
	case t.callInFlight && roll < 20:
		t.callInFlight = false
		t.lastOutcome = Outcome(s.rng.IntN(6))
		if t.lastOutcome == OK {
			t.atCall, t.callAttempts = false, 0
		}
		return CallReturned{id, t.lastOutcome, took}
	case t.running && !t.atCall && roll < 8 && s.checker.set.HasDownstream:
		t.atCall, t.callAttempts = true, 0
		return CallNeeded{id}
	case t.running && !t.atCall && roll < 16, t.sharing && roll < 16:
		if t.answers == 0 && !t.callerGone {
			t.answers++
		}
		t.running, t.ended, t.endedAt = false, true, s.checker.now
		return Finished{ID: id, Outcome: outcome, Duration: took}
	}
	return nil
}

func (s *simulation) step() error {
	// The host calls Handle at events or when the timer fires, whichever is first, at most one tick late.
	next := s.checker.now + time.Duration(1+s.rng.IntN(10))*s.checker.set.Tick
	if s.checker.timerAt > s.checker.now {
		late := (s.checker.timerAt - s.checker.now + s.checker.set.Tick - 1) / s.checker.set.Tick * s.checker.set.Tick
		next = min(next, s.checker.now+late)
	}
	s.checker.now = next
	var events []Event
	for range s.rng.IntN(3) {
		events = append(events, s.arrival())
	}
	for _, id := range s.ids[max(len(s.ids)-120, 0):] {
		if e := s.progress(id); e != nil {
			if _, callerGone := e.(CallerGone); callerGone || s.checker.attempts[id].started || s.checker.attempts[id].sharing {
				events = append(events, e)
			}
		}
	}
	if s.checker.drainAt == 0 && s.rng.IntN(2500) == 0 {
		left := time.Duration(s.rng.IntN(3000)) * ms
		s.checker.drainAt, s.checker.stopAt = s.checker.now, s.checker.now+left
		events = append(events, DrainNotice{TimeLeft: left})
	}
	if s.checker.timerAt <= s.checker.now {
		events = append(events, TimerFired{s.checker.token, []float64{s.rng.Float64(), float64(s.rng.IntN(12)), s.rng.Float64()}})
	}
	for _, a := range s.n.Handle(s.checker.now, events) {
		s.log = append(s.log, fmt.Sprintf("%T%v", a, a))
		if err := s.checker.record(a); err != nil {
			return err
		}
	}
	return s.checker.checkInvariants()
}

func simulate(seed uint64, steps int) ([]string, error) {
	rng := rand.New(rand.NewPCG(seed, 7))
	set := randomSettings(rng)
	n, err := New(set, seed)
	if err != nil {
		return nil, err
	}
	sim := &simulation{rng: rng, n: n, checker: &checker{set: set, now: time.Hour, attempts: map[ID]*attempt{},
		entries: map[ID]time.Duration{}, startedAt: time.Hour}}
	for range steps {
		if sim.checker.stopAt > 0 && sim.checker.now+10*sim.checker.set.Tick >= sim.checker.stopAt {
			break
		}
		if err := sim.step(); err != nil {
			return sim.log, err
		}
	}
	return sim.log, nil
}

func TestRandomSequencesKeepInvariants(t *testing.T) {
	for seed := uint64(1); seed <= 60; seed++ {
		if _, err := simulate(seed, 700); err != nil {
			t.Errorf("seed %d: %v", seed, err)
		}
	}
}

func TestSameSeedGivesSameActions(t *testing.T) {
	for seed := uint64(1); seed <= 5; seed++ {
		a, err := simulate(seed, 400)
		b, err2 := simulate(seed, 400)
		if err != nil || err2 != nil || fmt.Sprint(a) != fmt.Sprint(b) {
			t.Errorf("seed %d: two runs differ, errors %v and %v", seed, err, err2)
		}
	}
}
