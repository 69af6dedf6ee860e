package policy

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// checker checks the four rules from the outside: it knows only what was sent and what came back.
type checker struct {
	set       Settings
	now       time.Duration
	attempts  map[ID]*attempt
	entries   map[ID]time.Duration // remembered, and until when
	drainAt   time.Duration
	stopAt    time.Duration
	startedAt time.Duration
	timerAt   time.Duration // the earliest wake asked for
	token     uint64
}

type attempt struct {
	a            Arrived
	class        Class
	reachedAt    time.Duration
	due          time.Duration
	job          int // tries of one job share its effect
	answers      int
	started      bool
	running      bool
	atCall       bool
	callInFlight bool
	sharing      bool
	callerGone   bool
	ended        bool // no longer in memory
	endedAt      time.Duration
	lastOutcome  Outcome
	callAttempts int
}

func (l *checker) violation(format string, args ...any) error {
	return fmt.Errorf("at %v: %s", l.now, fmt.Sprintf(format, args...))
}

func (l *checker) ranWithinTTL(t *attempt) bool {
	for _, o := range l.attempts {
		if o != t && o.job == t.job && o.started && t.reachedAt-o.reachedAt < t.class.KeyTTL {
			return true
		}
	}
	return false
}

// record books one action and tells which rule or which part of the contract it breaks.
func (l *checker) record(a Action) error {
	get := func(id ID) (*attempt, error) {
		if t := l.attempts[id]; t != nil {
			return t, nil
		}
		return nil, l.violation("%T names %d, which was never sent", a, id)
	}
	switch a := a.(type) {
	case Start:
		t, err := get(a.ID)
		if err != nil {
			return err
		}
		if t.ended && t.endedAt < l.now || t.started {
			return l.violation("start of %d, which is over or was started", a.ID)
		}
		if t.class.Safety == Keyed && l.ranWithinTTL(t) {
			return l.violation("duplicate: %d runs within the window of another try: %+v", a.ID, t)
		}
		if l.drainAt > 0 && t.reachedAt > l.drainAt+l.set.DrainGrace {
			return l.violation("drain: %d runs, which came after the grace", a.ID)
		}
		t.started, t.running = true, !t.ended
	case ShareResult:
		t, err := get(a.ID)
		if err != nil {
			return err
		}
		if !t.a.HasOriginal || t.ended && t.endedAt < l.now || t.started {
			return l.violation("shared result for %d, which repeats nothing, ran or is over", a.ID)
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
			return l.violation("%d is answered twice", id)
		}
		if refused && t.class.Safety != Safe && (t.started || t.class.Safety == Keyed && l.ranWithinTTL(t)) {
			return l.violation("duplicate: %d is refused after it ran", id)
		}
		if l.now > t.due+l.set.AnswerSlack && !t.callerGone {
			return l.violation("lost: %d is answered %v late", id, l.now-t.due)
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
			return l.violation("duplicate: the call of %d is repeated after outcome %d", a.ID, t.lastOutcome)
		}
		if !t.atCall || t.callInFlight {
			return l.violation("%d does not stand at a call", a.ID)
		}
		t.callAttempts++
		t.callInFlight = true
	case SkipCall:
		t, err := get(a.ID)
		if err != nil {
			return err
		}
		if t.class.SkipWorth == 0 {
			return l.violation("the call of %d may not be left out", a.ID)
		}
		t.atCall, t.callInFlight = false, false
	case StoreKey:
		t, err := get(a.ID)
		if err != nil {
			return err
		}
		if t.class.Safety == Keyed && l.now+a.TTL < t.reachedAt+t.class.KeyTTL {
			return l.violation("the entry of %d ends before its window", a.ID)
		}
		l.entries[a.ID] = l.now + a.TTL
	case DeleteKey:
		if t := l.attempts[a.ID]; t != nil && t.class.Safety == Keyed && t.started {
			return l.violation("duplicate: the entry of %d is dropped though it ran", a.ID)
		}
		delete(l.entries, a.ID)
	case SetHint:
		if l.set.Hint == HintNone {
			return l.violation("a hint where there is none")
		}
	case SetTimer:
		if a.At <= l.now-l.set.Tick {
			return l.violation("a wake in the past")
		}
		if l.timerAt <= l.now || a.At < l.timerAt {
			l.timerAt, l.token = a.At, a.Token
		}
	}
	return nil
}

// checkInvariants checks what has to hold once all actions of a moment are booked.
func (l *checker) checkInvariants() error {
	memory, onCores := 0.0, 0
	for id, until := range l.entries {
		if until <= l.now {
			delete(l.entries, id)
			continue
		}
		memory += l.set.EntryKB
	}
	for id, t := range l.attempts {
		if t.ended {
			continue
		}
		if t.running {
			memory += t.a.KB * l.set.RunMemoryFactor
			if !t.atCall {
				onCores++
			}
		} else {
			memory += t.a.KB
		}
		if t.answers == 0 && !t.callerGone && l.now > t.due+l.set.AnswerSlack {
			return l.violation("lost: %d has no answer", id)
		}
		if t.answers == 0 && !t.callerGone && l.stopAt > 0 && l.now >= l.stopAt {
			return l.violation("drain: %d has no answer at the stop", id)
		}
	}
	if memory > l.set.MemoryKB {
		return l.violation("fall-over: %.0f kB of %.0f", memory, l.set.MemoryKB)
	}
	share := 1.0
	if l.set.JustStarted {
		warm := min(float64(l.now-l.startedAt)/float64(l.set.WarmupPeriod), 1)
		share = l.set.ColdSpeedShare + (1-l.set.ColdSpeedShare)*warm
	}
	if float64(onCores) > float64(l.set.Cores)*(1+(l.set.MaxRunningPerCore-1)*share) {
		return l.violation("fall-over: %d run on %d cores", onCores, l.set.Cores)
	}
	return nil
}

// randomSettings draws a legal variant.
func randomSettings(rng *rand.Rand) Settings {
	s := testSettings()
	s.Classes = append(s.Classes, Class{Name: "lead", Aim: 500 * ms, Deadline: 1500 * ms, Worth: 2,
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
	if rng.IntN(3) == 0 { // calls go to what all servers share, and may not be left out
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

// simulation sends legal events and carries out the actions. It is no model of a server: what ends,
// and how, is drawn blindly.
type simulation struct {
	checker *checker
	rng     *rand.Rand
	n       *Instance
	lastID  ID
	jobs    int
	ids     []ID // of the tries, for draws that do not hang on map order
	log     []string
}

func (w *simulation) arrival() Event {
	w.lastID++
	c := w.checker.set.Classes[w.rng.IntN(len(w.checker.set.Classes))]
	a := Arrived{ID: w.lastID, Class: c.Name, KB: float64(1 + w.rng.IntN(20)), Key: fmt.Sprint("k", w.rng.IntN(4)),
		Waited: time.Duration(w.rng.IntN(60)) * ms, Write: w.rng.IntN(4) == 0, IsRetry: w.rng.IntN(3) == 0}
	if w.rng.IntN(20) == 0 {
		a.Waited = c.Deadline + time.Second
	}
	if w.rng.IntN(2) == 0 {
		a.Size = time.Duration(1+w.rng.IntN(300)) * ms
	}
	if w.rng.IntN(5) == 0 {
		a.Tenant = "x"
	}
	t := &attempt{class: c, reachedAt: w.checker.now - a.Waited}
	w.jobs++
	t.job = w.jobs
	if len(w.ids) > 0 && w.rng.IntN(2) == 0 {
		// A further try of an earlier one; the entry that lived when it reached the machine names it.
		o := w.checker.attempts[w.ids[len(w.ids)-1-w.rng.IntN(min(len(w.ids), 8))]]
		if o.class.Name == c.Name && c.Safety == Keyed {
			t.job = o.job
			t.reachedAt, a.Waited = w.checker.now, 0
		}
	}
	for _, id := range w.ids {
		o := w.checker.attempts[id]
		_, stored := w.checker.entries[id]
		sameJob := o.job == t.job && c.Safety == Keyed && (!o.ended || o.started)
		sameRead := c.Safety == Safe && o.class.Name == c.Name && o.a.Key == a.Key && !o.ended && !a.Write
		if stored && (sameJob || sameRead) {
			a.Original, a.HasOriginal = id, true
		}
	}
	if c.Safety == Keyed && !a.HasOriginal {
		// A try whose like is held or ran unknown to the table would be the table's failing; the
		// instance has to remember each keyed try that it holds, so this is a new job.
		for _, o := range w.checker.attempts {
			if o.job == t.job && (!o.ended || o.started && t.reachedAt-o.reachedAt < c.KeyTTL) {
				w.jobs++
				t.job = w.jobs
				break
			}
		}
	}
	if w.checker.set.PassesDeadline && w.rng.IntN(4) > 0 {
		a.TimeLeft = time.Duration(1 + w.rng.Int64N(int64(c.Deadline)))
	}
	t.due = t.reachedAt + c.Deadline
	if a.TimeLeft > 0 {
		t.due = w.checker.now + a.TimeLeft
	}
	t.due = max(t.due, w.checker.now)
	t.a = a
	w.checker.attempts[a.ID] = t
	w.ids = append(w.ids, a.ID)
	return a
}

// progress draws what happens to a request next; nil: nothing.
func (w *simulation) progress(id ID) Event {
	t := w.checker.attempts[id]
	if t.ended {
		return nil
	}
	roll := w.rng.IntN(100)
	outcome := OK
	if w.rng.IntN(4) == 0 {
		outcome = Failed
	}
	took := w.checker.now - t.reachedAt
	switch {
	case roll < 3 && !t.callerGone && t.answers == 0:
		t.callerGone = true
		if !t.running {
			t.ended, t.endedAt = true, w.checker.now
			delete(w.checker.entries, id)
		}
		return CallerGone{id}
	case t.atCall && (t.answers > 0 || t.callerGone) && !t.callInFlight:
		t.running, t.ended, t.endedAt = false, true, w.checker.now
		return Finished{id, Cancelled, took}
	case t.callInFlight && roll < 20:
		t.callInFlight = false
		t.lastOutcome = Outcome(w.rng.IntN(6))
		if t.lastOutcome == OK {
			t.atCall, t.callAttempts = false, 0
		}
		return CallReturned{id, t.lastOutcome, took}
	case t.running && !t.atCall && roll < 8 && w.checker.set.HasDownstream:
		t.atCall, t.callAttempts = true, 0
		return CallNeeded{id}
	case t.running && !t.atCall && roll < 16, t.sharing && roll < 16:
		if t.answers == 0 && !t.callerGone {
			t.answers++
		}
		t.running, t.ended, t.endedAt = false, true, w.checker.now
		return Finished{id, outcome, took}
	}
	return nil
}

func (w *simulation) step() error {
	// The host calls at events or at the wake asked for, whichever is first, a tick late at most.
	next := w.checker.now + time.Duration(1+w.rng.IntN(10))*w.checker.set.Tick
	if w.checker.timerAt > w.checker.now {
		late := (w.checker.timerAt - w.checker.now + w.checker.set.Tick - 1) / w.checker.set.Tick * w.checker.set.Tick
		next = min(next, w.checker.now+late)
	}
	w.checker.now = next
	var events []Event
	for range w.rng.IntN(3) {
		events = append(events, w.arrival())
	}
	for _, id := range w.ids[max(len(w.ids)-120, 0):] {
		if e := w.progress(id); e != nil {
			if _, callerGone := e.(CallerGone); callerGone || w.checker.attempts[id].started || w.checker.attempts[id].sharing {
				events = append(events, e)
			}
		}
	}
	if w.checker.drainAt == 0 && w.rng.IntN(2500) == 0 {
		left := time.Duration(w.rng.IntN(3000)) * ms
		w.checker.drainAt, w.checker.stopAt = w.checker.now, w.checker.now+left
		events = append(events, DrainNotice{TimeLeft: left})
	}
	if w.checker.timerAt <= w.checker.now {
		events = append(events, TimerFired{w.checker.token, []float64{w.rng.Float64(), float64(w.rng.IntN(12)), w.rng.Float64()}})
	}
	for _, a := range w.n.Handle(w.checker.now, events) {
		w.log = append(w.log, fmt.Sprintf("%T%v", a, a))
		if err := w.checker.record(a); err != nil {
			return err
		}
	}
	return w.checker.checkInvariants()
}

func simulate(seed uint64, steps int) ([]string, error) {
	rng := rand.New(rand.NewPCG(seed, 7))
	set := randomSettings(rng)
	n, err := New(set, seed)
	if err != nil {
		return nil, err
	}
	w := &simulation{rng: rng, n: n, checker: &checker{set: set, now: time.Hour, attempts: map[ID]*attempt{},
		entries: map[ID]time.Duration{}, startedAt: time.Hour}}
	for range steps {
		if w.checker.stopAt > 0 && w.checker.now+10*w.checker.set.Tick >= w.checker.stopAt {
			break
		}
		if err := w.step(); err != nil {
			return w.log, err
		}
	}
	return w.log, nil
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
			t.Errorf("seed %d: two runs differ (%v, %v)", seed, err, err2)
		}
	}
}
