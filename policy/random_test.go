package policy

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// ledger checks the invariants (no lost request, no duplicate effect, no collapse, drain) from events and actions alone.
type ledger struct {
	set     Settings
	now     time.Duration
	tries   map[ID]*try
	entries map[ID]time.Duration // entries of the key table and their expiry
	drainAt time.Duration
	stopAt  time.Duration
	born    time.Duration
	wake    time.Duration // the earliest timer that was set
	token   uint64
}

type try struct {
	a         Arrived
	class     Class
	reached   time.Duration
	due       time.Duration
	job       int // attempts of one job share its effect
	answers   int
	started   bool
	running   bool
	atCall    bool
	calling   bool
	replaying bool
	gone      bool
	dead      bool // ended
	died      time.Duration
	lastCall  Outcome
	called    int
}

func (l *ledger) fault(format string, args ...any) error {
	return fmt.Errorf("at %v: %s", l.now, fmt.Sprintf(format, args...))
}

func (l *ledger) ranWithin(t *try) bool {
	for _, o := range l.tries {
		if o != t && o.job == t.job && o.started && t.reached-o.reached < t.class.KeyTTL {
			return true
		}
	}
	return false
}

// apply records an action and returns an error if it violates an invariant or the contract of the host.
func (l *ledger) apply(a Action) error {
	get := func(id ID) (*try, error) {
		if t := l.tries[id]; t != nil {
			return t, nil
		}
		return nil, l.fault("%T of unknown request %d", a, id)
	}
	switch a := a.(type) {
	case Start:
		t, err := get(a.ID)
		if err != nil {
			return err
		}
		if t.dead && t.died < l.now || t.started {
			return l.fault("start of request %d, which ended or was started before", a.ID)
		}
		if t.class.Safety == Keyed && l.ranWithin(t) {
			return l.fault("duplicate: request %d runs within KeyTTL of another attempt: %+v", a.ID, t)
		}
		if l.drainAt > 0 && t.reached > l.drainAt+l.set.DrainGrace {
			return l.fault("drain: request %d runs, which arrived after the grace", a.ID)
		}
		t.started, t.running = true, !t.dead
	case ShareResult:
		t, err := get(a.ID)
		if err != nil {
			return err
		}
		if !t.a.HasOriginal || t.dead && t.died < l.now || t.started {
			return l.fault("shared result for request %d, which repeats nothing, ran or ended", a.ID)
		}
		t.replaying = true
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
			return l.fault("request %d is answered twice", id)
		}
		if refused && t.class.Safety != Safe && (t.started || t.class.Safety == Keyed && l.ranWithin(t)) {
			return l.fault("duplicate: request %d is refused after it ran", id)
		}
		if l.now > t.due+l.set.AnswerSlack && !t.gone {
			return l.fault("lost: request %d is answered %v late", id, l.now-t.due)
		}
		if !t.running {
			t.dead = true
		}
	case MakeCall:
		t, err := get(a.ID)
		if err != nil {
			return err
		}
		proven := t.lastCall == Full || t.lastCall == Unreachable || t.lastCall == NotRun ||
			t.lastCall == InvalidReply && t.class.Safety == Safe // may run any number of times
		if t.called > 0 && !proven {
			return l.fault("duplicate: the call of request %d is retried after outcome %d", a.ID, t.lastCall)
		}
		if !t.atCall || t.calling {
			return l.fault("request %d does not wait for a call", a.ID)
		}
		t.called++
		t.calling = true
	case SkipCall:
		t, err := get(a.ID)
		if err != nil {
			return err
		}
		if t.class.SkipWorth == 0 {
			return l.fault("the required call of request %d is skipped", a.ID)
		}
		t.atCall, t.calling = false, false
	case StoreKey:
		t, err := get(a.ID)
		if err != nil {
			return err
		}
		if t.class.Safety == Keyed && l.now+a.TTL < t.reached+t.class.KeyTTL {
			return l.fault("the entry of request %d expires before KeyTTL", a.ID)
		}
		l.entries[a.ID] = l.now + a.TTL
	case DeleteKey:
		if t := l.tries[a.ID]; t != nil && t.class.Safety == Keyed && t.started {
			return l.fault("duplicate: the entry of request %d is deleted though it ran", a.ID)
		}
		delete(l.entries, a.ID)
	case SetHint:
		if l.set.Hint == HintNone {
			return l.fault("hint set though Settings.Hint is HintNone")
		}
	case SetTimer:
		if a.At <= l.now-l.set.Tick {
			return l.fault("timer set in the past")
		}
		if l.wake <= l.now || a.At < l.wake {
			l.wake, l.token = a.At, a.Token
		}
	}
	return nil
}

// after checks the invariants once all actions of a call are recorded.
func (l *ledger) after() error {
	memory, crowd := 0.0, 0
	for id, until := range l.entries {
		if until <= l.now {
			delete(l.entries, id)
			continue
		}
		memory += l.set.EntryKB
	}
	for id, t := range l.tries {
		if t.dead {
			continue
		}
		if t.running {
			memory += t.a.KB * l.set.RunMemoryFactor
			if !t.atCall {
				crowd++
			}
		} else {
			memory += t.a.KB
		}
		if t.answers == 0 && !t.gone && l.now > t.due+l.set.AnswerSlack {
			return l.fault("lost: request %d has no answer", id)
		}
		if t.answers == 0 && !t.gone && l.stopAt > 0 && l.now >= l.stopAt {
			return l.fault("drain: request %d has no answer at the stop", id)
		}
	}
	if memory > l.set.MemoryKB {
		return l.fault("collapse: %.0f kB of %.0f kB used", memory, l.set.MemoryKB)
	}
	share := 1.0
	if l.set.JustStarted {
		warm := min(float64(l.now-l.born)/float64(l.set.WarmupPeriod), 1)
		share = l.set.ColdSpeedShare + (1-l.set.ColdSpeedShare)*warm
	}
	if float64(crowd) > float64(l.set.Cores)*(1+(l.set.MaxRunningPerCore-1)*share) {
		return l.fault("collapse: %d requests run on %d cores", crowd, l.set.Cores)
	}
	return nil
}

// randomSettings returns random valid settings.
func randomSettings(rng *rand.Rand) Settings {
	s := testSettings()
	s.Classes = append(s.Classes, Class{Name: "unsafe", Aim: 500 * ms, Deadline: 1500 * ms, Worth: 2,
		Safety: Unsafe, LateValue: float64(rng.IntN(2)) / 2, MayCall: true})
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

// world sends random valid events and carries out the actions. It does not model a server: which requests end, and how,
// is random.
type world struct {
	l     *ledger
	rng   *rand.Rand
	n     *Instance
	next  ID
	jobs  int
	order []ID // of arrival, for random choices that do not depend on map order
	log   []string
}

func (w *world) arrival() Event {
	w.next++
	c := w.l.set.Classes[w.rng.IntN(len(w.l.set.Classes))]
	a := Arrived{ID: w.next, Class: c.Name, KB: float64(1 + w.rng.IntN(20)), Key: fmt.Sprint("k", w.rng.IntN(4)),
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
	t := &try{class: c, reached: w.l.now - a.Waited}
	w.jobs++
	t.job = w.jobs
	if len(w.order) > 0 && w.rng.IntN(2) == 0 {
		// A further attempt of an earlier request, identified by the entry that was valid when it arrived.
		o := w.l.tries[w.order[len(w.order)-1-w.rng.IntN(min(len(w.order), 8))]]
		if o.class.Name == c.Name && c.Safety == Keyed {
			t.job = o.job
			t.reached, a.Waited = w.l.now, 0
		}
	}
	for _, id := range w.order {
		o := w.l.tries[id]
		_, kept := w.l.entries[id]
		same := o.job == t.job && c.Safety == Keyed && (!o.dead || o.started)
		reads := c.Safety == Safe && o.class.Name == c.Name && o.a.Key == a.Key && !o.dead && !a.Write
		if kept && (same || reads) {
			a.Original, a.HasOriginal = id, true
		}
	}
	if c.Safety == Keyed && !a.HasOriginal {
		// An attempt of a job that is queued or ran without an entry would be a fault of the key table, as the
		// instance adds every queued keyed request to it. This is a new job instead.
		for _, o := range w.l.tries {
			if o.job == t.job && (!o.dead || o.started && t.reached-o.reached < c.KeyTTL) {
				w.jobs++
				t.job = w.jobs
				break
			}
		}
	}
	if w.l.set.PassesDeadline && w.rng.IntN(4) > 0 {
		a.TimeLeft = time.Duration(1 + w.rng.Int64N(int64(c.Deadline)))
	}
	t.due = t.reached + c.Deadline
	if a.TimeLeft > 0 {
		t.due = w.l.now + a.TimeLeft
	}
	t.due = max(t.due, w.l.now)
	t.a = a
	w.l.tries[a.ID] = t
	w.order = append(w.order, a.ID)
	return a
}

// progress returns a random next event of a request, or nil for none.
func (w *world) progress(id ID) Event {
	t := w.l.tries[id]
	if t.dead {
		return nil
	}
	roll := w.rng.IntN(100)
	outcome := OK
	if w.rng.IntN(4) == 0 {
		outcome = Failed
	}
	took := w.l.now - t.reached
	switch {
	case roll < 3 && !t.gone && t.answers == 0:
		t.gone = true
		if !t.running {
			t.dead, t.died = true, w.l.now
			delete(w.l.entries, id)
		}
		return CallerGone{id}
	case t.atCall && (t.answers > 0 || t.gone) && !t.calling:
		t.running, t.dead, t.died = false, true, w.l.now
		return Finished{id, Cancelled, took}
	case t.calling && roll < 20:
		t.calling = false
		t.lastCall = Outcome(w.rng.IntN(6))
		if t.lastCall == OK {
			t.atCall, t.called = false, 0
		}
		return CallReturned{id, t.lastCall, took}
	case t.running && !t.atCall && roll < 8 && w.l.set.HasDownstream:
		t.atCall, t.called = true, 0
		return CallNeeded{id}
	case t.running && !t.atCall && roll < 16, t.replaying && roll < 16:
		if t.answers == 0 && !t.gone {
			t.answers++
		}
		t.running, t.dead, t.died = false, true, w.l.now
		return Finished{id, outcome, took}
	}
	return nil
}

func (w *world) step() error {
	// The host calls Handle at events or when the timer fires, whichever is first, at most one tick late.
	next := w.l.now + time.Duration(1+w.rng.IntN(10))*w.l.set.Tick
	if w.l.wake > w.l.now {
		late := (w.l.wake - w.l.now + w.l.set.Tick - 1) / w.l.set.Tick * w.l.set.Tick
		next = min(next, w.l.now+late)
	}
	w.l.now = next
	var events []Event
	for range w.rng.IntN(3) {
		events = append(events, w.arrival())
	}
	for _, id := range w.order[max(len(w.order)-120, 0):] {
		if e := w.progress(id); e != nil {
			if _, isNew := e.(CallerGone); isNew || w.l.tries[id].started || w.l.tries[id].replaying {
				events = append(events, e)
			}
		}
	}
	if w.l.drainAt == 0 && w.rng.IntN(2500) == 0 {
		left := time.Duration(w.rng.IntN(3000)) * ms
		w.l.drainAt, w.l.stopAt = w.l.now, w.l.now+left
		events = append(events, DrainNotice{TimeLeft: left})
	}
	if w.l.wake <= w.l.now {
		events = append(events, TimerFired{w.l.token, []float64{w.rng.Float64(), float64(w.rng.IntN(12)), w.rng.Float64()}})
	}
	for _, a := range w.n.Handle(w.l.now, events) {
		w.log = append(w.log, fmt.Sprintf("%T%v", a, a))
		if err := w.l.apply(a); err != nil {
			return err
		}
	}
	return w.l.after()
}

func play(seed uint64, steps int) ([]string, error) {
	rng := rand.New(rand.NewPCG(seed, 7))
	set := randomSettings(rng)
	n, err := New(set, seed)
	if err != nil {
		return nil, err
	}
	w := &world{rng: rng, n: n, l: &ledger{set: set, now: time.Hour, tries: map[ID]*try{},
		entries: map[ID]time.Duration{}, born: time.Hour}}
	for range steps {
		if w.l.stopAt > 0 && w.l.now+10*w.l.set.Tick >= w.l.stopAt {
			break
		}
		if err := w.step(); err != nil {
			return w.log, err
		}
	}
	return w.log, nil
}

func TestRandomSequencesKeepTheRules(t *testing.T) {
	for seed := uint64(1); seed <= 60; seed++ {
		if _, err := play(seed, 700); err != nil {
			t.Errorf("seed %d: %v", seed, err)
		}
	}
}

func TestSameEventsSameActions(t *testing.T) {
	for seed := uint64(1); seed <= 5; seed++ {
		a, err := play(seed, 400)
		b, err2 := play(seed, 400)
		if err != nil || err2 != nil || fmt.Sprint(a) != fmt.Sprint(b) {
			t.Errorf("seed %d: two runs differ, errors %v and %v", seed, err, err2)
		}
	}
}
