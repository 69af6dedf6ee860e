package duty

import (
	"errors"
	"fmt"
	"maps"
	"math"
	"strings"
	"testing"
)

var testRules = Rules{ClockBounds: ClockBounds{MaxDrift: 0.1, MarginMS: 50}, RenewIntervalMS: 300, CooldownMS: 1500, ColdWaitMS: 3000, PresenceTTLMS: 2000,
	Duties: []DutyRule{{"allotter", 2000}, {"settler", 2000}}}

func TestInvalidRulesAreReportedByKey(t *testing.T) {
	if err := testRules.Check(); err != nil {
		t.Fatal(err)
	}
	for want, change := range map[string]func(*Rules){
		"list[1].ttl_ms must be above 0, not 0":             func(r *Rules) { r.Duties[1].TTLMS = 0 },
		"list[0].ttl_ms must be above 0, not -1":            func(r *Rules) { r.Duties[0].TTLMS = -1 },
		"list[0].ttl_ms must be above 0, not NaN":           func(r *Rules) { r.Duties[0].TTLMS = math.NaN() },
		"list[0].ttl_ms must be above 0, not +Inf":          func(r *Rules) { r.Duties[0].TTLMS = math.Inf(1) },
		"list[0].ttl_ms of 1000 ms leaves a holder 850 ms":  func(r *Rules) { r.Duties[0].TTLMS = 1000 },
		"presence_ms of 100 ms leaves":                      func(r *Rules) { r.PresenceTTLMS = 100 },
		`list[1].name "allotter" stands in list[0] already`: func(r *Rules) { r.Duties[1].Name = "allotter" },
		`list[0].name "a/b" may hold`:                       func(r *Rules) { r.Duties[0].Name = "a/b" },
		"list[0].name must have 1 to 64 characters":         func(r *Rules) { r.Duties[0].Name = "" },
		"clock_rate must be from 0 to 0.5, not 0.6":         func(r *Rules) { r.MaxDrift = 0.6 },
		"renew_ms must be above 0, not NaN":                 func(r *Rules) { r.RenewIntervalMS = math.NaN() },
		"margin_ms must be 0 or more, not -1":               func(r *Rules) { r.MarginMS = -1 },
		"cool_ms must be 0 or more, not +Inf":               func(r *Rules) { r.CooldownMS = math.Inf(1) },
		"cold_wait_ms must be 0 or more, not -3":            func(r *Rules) { r.ColdWaitMS = -3 },
	} {
		r := testRules
		r.Duties = append([]DutyRule(nil), testRules.Duties...)
		change(&r)
		if err := r.Check(); err == nil || !strings.HasPrefix(err.Error(), want) {
			t.Errorf("%v, want %s", err, want)
		}
	}
}

func TestEpochsIncreaseAndOldEpochsAreFenced(t *testing.T) {
	table := NewTable()
	grant := func(process string) uint64 {
		o := Order{Kind: Grant, Name: "d", Holder: process, TTLMS: 1, Term: 1}
		if l := table.Leases["d"]; l != nil {
			o.Epoch = l.Epoch
		}
		if err := table.Apply(o, 1); err != nil {
			t.Fatal(err)
		}
		return table.Leases["d"].Epoch
	}
	first := grant("a")
	if err := table.Fence(Ref{"d", first}); err != nil {
		t.Errorf("the epoch in force: %v", err)
	}
	if err := table.Apply(Order{Kind: Grant, Name: "d", Holder: "b", Epoch: first, Term: 1}, 1); !errors.Is(err, ErrHeld) {
		t.Errorf("granted while it is held: %v", err)
	}
	if err := table.Apply(Order{Kind: Expire, Name: "d", Epoch: first, Term: 1}, 2); !errors.Is(err, ErrOtherTerm) {
		t.Errorf("another leader's lapse: %v", err)
	}
	if err := table.Apply(Order{Kind: Expire, Name: "d", Epoch: first, Term: 1}, 1); err != nil {
		t.Fatal(err)
	}
	if err := table.Fence(Ref{"d", first}); !errors.Is(err, ErrStale) {
		t.Errorf("an epoch that ended, before the next is granted: %v", err)
	}
	second := grant("b")
	if second <= first {
		t.Errorf("epoch %d after %d", second, first)
	}
	for _, e := range []uint64{0, first, second + 1} {
		if err := table.Fence(Ref{"d", e}); !errors.Is(err, ErrStale) {
			t.Errorf("epoch %d with %d in force: %v", e, second, err)
		}
	}
	if err := table.Apply(Order{Kind: Release, Name: "d", Epoch: first, Term: 1}, 1); !errors.Is(err, ErrStale) {
		t.Errorf("a release of what is past: %v", err)
	}
	// A presence that is forgotten and comes back has a higher epoch all the same.
	p := PresenceName("a")
	for last, i := uint64(0), 0; i < 3; i++ {
		if err := table.Apply(Order{Kind: Grant, Name: p, Holder: "a", Term: 1}, 1); err != nil {
			t.Fatal(err)
		}
		e := table.Leases[p].Epoch
		if e <= last {
			t.Errorf("presence %d after %d", e, last)
		}
		last = e
		if err := table.Apply(Order{Kind: Release, Name: p, Epoch: e, Term: 1}, 1); err != nil {
			t.Fatal(err)
		}
	}
	table.Freeze("d", true)
	if !table.Leases["d"].Yield {
		t.Error("the holder of a frozen duty is not asked")
	}
	if err := table.Apply(Order{Kind: Release, Name: "d", Epoch: second, Term: 1}, 1); err != nil {
		t.Fatal(err)
	}
	if err := table.Apply(Order{Kind: Grant, Name: "d", Holder: "a", Epoch: second, Term: 1}, 1); !errors.Is(err, ErrFrozen) {
		t.Errorf("granted while frozen: %v", err)
	}
}

// fleet plays servers and the leader with no messages lost, on one clock.
type fleet struct {
	t              *testing.T
	now            float64
	table          *Table
	grantor        *Grantor
	machines       map[string]*Machine
	logIndex       uint64
	withoutReplies map[string]bool // these are heard and hear nothing
	lastSeq        map[string]uint64
	events         []string
}

func newFleet(t *testing.T, names ...string) *fleet {
	f := &fleet{t: t, table: NewTable(), grantor: &Grantor{Rules: testRules, Seed: 5}, machines: map[string]*Machine{}, now: 1000, lastSeq: map[string]uint64{}}
	f.grantor.StartTerm(1, f.now)
	for i, n := range names {
		f.machines[n] = NewMachine(testRules, n, uint64(i))
	}
	return f
}

// run lets time pass in steps of 50 ms; servers that are named in silent say and hear nothing.
func (f *fleet) run(ms float64, silent ...string) {
	isSilent := map[string]bool{}
	for _, s := range silent {
		isSilent[s] = true
	}
	for end := f.now + ms; f.now < end; f.now += 50 {
		var heartbeats []Heartbeat
		for n, m := range f.machines {
			for _, a := range f.handleActions(n, m.Tick(f.now)) {
				if !isSilent[n] {
					heartbeats = append(heartbeats, a)
				}
			}
		}
		var orders []Order
		for _, b := range heartbeats {
			f.lastSeq[b.From] = b.Seq
			orders = append(orders, f.grantor.HandleHeartbeat(f.now, b, f.table)...)
		}
		for _, o := range append(orders, f.grantor.Tick(f.now, f.table)...) {
			if err := f.table.Apply(o, 1); err != nil {
				f.t.Fatal(err)
			}
			f.grantor.HandleOrderResult(f.now, o, f.table)
			f.logIndex++
			if n := o.Holder; o.Kind == Grant && !f.withoutReplies[n] && !isSilent[n] { // told at once, as of the heartbeat in which it stood
				f.handleActions(n, f.machines[n].HandleReply(f.now, f.grantor.Reply(n, f.lastSeq[n], f.logIndex, f.table)))
			}
		}
		f.logIndex++
		for _, b := range heartbeats {
			if !f.withoutReplies[b.From] {
				f.handleActions(b.From, f.machines[b.From].HandleReply(f.now, f.grantor.Reply(b.From, b.Seq, f.logIndex, f.table)))
			}
		}
	}
}

func (f *fleet) handleActions(n string, actions []Action) (heartbeats []Heartbeat) {
	for _, a := range actions {
		switch a := a.(type) {
		case SendHeartbeat:
			heartbeats = append(heartbeats, a.Heartbeat)
		case LeaseGained:
			f.events = append(f.events, fmt.Sprintf("%s gains %s", n, a.Name))
		case YieldRequested:
			f.handleActions(n, f.machines[n].Quiesced(f.now, a.Ref))
		case LeaseEnded:
			f.events = append(f.events, fmt.Sprintf("%s ends %s: %s", n, a.Name, a.Cause))
		}
	}
	return heartbeats
}

func (f *fleet) holder(name string) string {
	for n, m := range f.machines {
		if _, ok := m.ActiveGrant(f.now, name); ok {
			return n
		}
	}
	return ""
}

func TestDutiesAreSpreadAndKeepTheirHolders(t *testing.T) {
	f := newFleet(t, "a", "b", "c")
	f.run(1000)
	first := [2]string{f.holder("allotter"), f.holder("settler")}
	if first[0] == "" || first[1] == "" || first[0] == first[1] {
		t.Fatalf("held by %q: each by one, and not both by the same", first)
	}
	f.run(20000)
	if now := [2]string{f.holder("allotter"), f.holder("settler")}; now != first {
		t.Errorf("held by %q, then by %q, with nothing wrong", first, now)
	}
	for _, n := range []string{"a", "b", "c"} {
		if _, ok := f.machines[n].ActiveGrant(f.now, PresenceName(n)); !ok {
			t.Errorf("%s is not present", n)
		}
	}
}

func TestDisconnectedHolderStopsBeforeAnotherStarts(t *testing.T) {
	f := newFleet(t, "a", "b")
	f.run(1000)
	h := f.holder("allotter")
	for range 60 { // it never runs either: what it believes goes by its clock
		f.run(50, h)
		if o := f.holder("allotter"); o != "" && o != h {
			if _, still := f.machines[h].ActiveGrant(f.now, "allotter"); still {
				t.Fatal("two holders")
			}
		}
	}
	if o := f.holder("allotter"); o == h || o == "" {
		t.Errorf("held by %q long after %q fell silent", o, h)
	}
	f.run(1000) // back: it has given up, and does not stand again at once
	if o := f.holder("allotter"); o == h {
		t.Errorf("%q has it back at once", h)
	}
}

// All of a large fleet stand at once after an outage: each duty is granted once, and not to one server.
func TestEachDutyIsGrantedOnceAfterAnOutage(t *testing.T) {
	var names []string
	for i := range 300 {
		names = append(names, fmt.Sprint("os-", i))
	}
	f := newFleet(t, names...)
	f.run(3000)
	if a, s := f.holder("allotter"), f.holder("settler"); a == "" || s == "" || a == s {
		t.Errorf("held by %q and %q", a, s)
	}
	if grants := f.table.LastEpoch; grants != 302 {
		t.Errorf("%d grants for 300 presences and two duties", grants)
	}
}

// A server that is heard and hears nothing gives up what it held, and does not keep for good what it is granted and
// does not know of.
func TestServerWithoutRepliesKeepsNoLease(t *testing.T) {
	f := newFleet(t, "a", "b")
	f.run(1000)
	h := f.holder("allotter")
	f.withoutReplies = map[string]bool{h: true}
	f.run(20000)
	held := 0.0
	for end := f.now + 10000; f.now < end; {
		f.run(50)
		if o := f.holder("allotter"); o != "" && o != h {
			held += 50
		}
	}
	if held < 5000 {
		t.Errorf("the other holds the duty for %.0f of 10,000 ms", held)
	}
}

func TestModeDecidesCandidacy(t *testing.T) {
	f := newFleet(t, "a", "b")
	f.machines["a"].SetMode(f.now, Failing)
	f.machines["b"].SetMode(f.now, Cold)
	f.run(2000)
	if h := f.holder("allotter"); h != "" {
		t.Errorf("%q holds it: nobody is warm, and it has not waited long", h)
	}
	f.run(3000)
	if h := f.holder("allotter"); h != "b" {
		t.Errorf("%q holds it, want the cold one, since no other stands", h)
	}
	f.handleActions("a", f.machines["a"].SetMode(f.now, Warm))
	f.handleActions("b", f.machines["b"].SetMode(f.now, Draining))
	f.run(testRules.RenewIntervalMS)
	if h := f.holder("allotter"); h != "a" {
		t.Errorf("%q holds it one renewal after the drain, want a: %q", h, f.events)
	}
	if _, ok := f.machines["b"].ActiveGrant(f.now, PresenceName("b")); !ok {
		t.Error("a server that drains is still present")
	}
	f.handleActions("b", f.machines["b"].SetMode(f.now, Warm))
	f.run(5000)
	if h := f.holder("allotter"); h != "a" {
		t.Errorf("%q holds it: who drains does not come back", h)
	}
}

func TestYieldedDutyGoesToAnotherServer(t *testing.T) {
	f := newFleet(t, "a", "b")
	f.run(1000)
	h := f.holder("allotter")
	if err := f.table.RequestYield("allotter"); err != nil {
		t.Fatal(err)
	}
	f.run(2 * testRules.RenewIntervalMS)
	if o := f.holder("allotter"); o == h || o == "" {
		t.Errorf("held by %q after %q was asked to yield", o, h)
	}
}

// An answer that knows less than this process was told is not believed, and one to a heartbeat long past extends nothing.
func TestOutdatedRepliesAreIgnored(t *testing.T) {
	m := NewMachine(testRules, "a", 1)
	heartbeat := m.Tick(0)[0].(SendHeartbeat).Heartbeat
	grants := []HeldLease{{Ref{"allotter", 7}, 2000, false}}
	m.HandleReply(10, HeartbeatReply{Seq: heartbeat.Seq, LogIndex: 50, HeldLeases: grants})
	if _, ok := m.ActiveGrant(20, "allotter"); !ok {
		t.Fatal("not held")
	}
	out := m.HandleReply(30, HeartbeatReply{Seq: heartbeat.Seq, LogIndex: 49})
	if _, ok := m.ActiveGrant(40, "allotter"); !ok || len(out) != 1 || out[0] != (StaleReply{49, 50}) {
		t.Errorf("an older answer took the duty away: %v", out)
	}
	_, until, _ := m.LeaseEnd("allotter")
	m.ExpediteHeartbeat()
	m.Tick(1000) // another heartbeat; the answer is to the first one
	m.HandleReply(1010, HeartbeatReply{Seq: heartbeat.Seq, LogIndex: 60, HeldLeases: grants})
	if _, now, _ := m.LeaseEnd("allotter"); now != until {
		t.Errorf("an answer to the first heartbeat moved the end from %v to %v", until, now)
	}
	if _, ok := m.ActiveGrant(until, "allotter"); ok {
		t.Error("held at its end")
	}
	m.Tick(until)
	m.HandleReply(until+1, HeartbeatReply{Seq: 2, LogIndex: 61, HeldLeases: grants})
	if _, ok := m.ActiveGrant(until+2, "allotter"); ok {
		t.Error("an epoch that was given up is held again")
	}
}

// A fleet that comes as one is granted its presences in several steps, each bounded, and one that goes as one lapses likewise.
func TestOrdersPerTickAreBounded(t *testing.T) {
	const servers = 2*MaxOrdersPerTick + 7
	g := &Grantor{Rules: Rules{RenewIntervalMS: 300, PresenceTTLMS: 2000, Duties: []DutyRule{{Name: "allotter", TTLMS: 2000}}}, Seed: 1}
	table, now := NewTable(), 1000.0
	g.StartTerm(1, now)
	for i := range servers {
		process := fmt.Sprintf("os-%d#1", i)
		g.HandleHeartbeat(now, Heartbeat{From: process, Seq: 1, Candidacies: []string{PresenceName(process)}}, table)
	}
	steps := func(until func() bool) (n int) {
		for ; !until(); n++ {
			orders := g.Tick(now, table)
			if len(orders) == 0 || len(orders) > MaxOrdersPerTick {
				t.Fatalf("%d orders at once", len(orders))
			}
			for _, o := range orders {
				if err := table.Apply(o, 1); err != nil {
					t.Fatal(err)
				}
				g.HandleOrderResult(now, o, table)
			}
			now++
		}
		return n
	}
	if n := steps(func() bool { return table.CountPresent() == servers }); n != 3 {
		t.Errorf("all are present after %d steps", n)
	}
	if orders := g.Tick(now, table); len(orders) > 0 {
		t.Errorf("%d orders though nothing is due", len(orders))
	}
	now += 10 * g.PresenceTTLMS
	if n := steps(func() bool { return table.CountPresent() == 0 }); n != 3 {
		t.Errorf("all have lapsed after %d steps", n)
	}
}

// What a process stands for is what its latest heartbeat says, whatever others stand for.
func TestLatestHeartbeatReplacesCandidacies(t *testing.T) {
	g := &Grantor{Rules: Rules{RenewIntervalMS: 300, PresenceTTLMS: 2000, Duties: []DutyRule{{Name: "allotter", TTLMS: 2000}, {Name: "settler", TTLMS: 2000}}}, Seed: 1}
	table, now := NewTable(), 1000.0
	g.StartTerm(1, now)
	heartbeat := func(process string, names ...string) {
		g.HandleHeartbeat(now, Heartbeat{From: process, Candidacies: names}, table)
	}
	heartbeat("a", "allotter", "settler", PresenceName("a"))
	heartbeat("b", "allotter", PresenceName("b"))
	heartbeat("a", "settler")
	now += 2 * g.RenewIntervalMS
	heartbeat("a", "settler")
	heartbeat("b", "allotter", PresenceName("b"))
	got := map[string]string{}
	for _, o := range g.Tick(now, table) {
		got[o.Name] = o.Holder
	}
	want := map[string]string{"allotter": "b", "settler": "a", PresenceName("b"): "b"}
	if !maps.Equal(got, want) {
		t.Errorf("granted %v, %v is wanted", got, want)
	}
}
