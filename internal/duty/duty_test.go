package duty

import (
	"errors"
	"fmt"
	"maps"
	"math"
	"strings"
	"testing"
)

var testRules = Rules{ClockBounds: ClockBounds{MaxDrift: 0.1, MarginMS: 50}, RenewIntervalMS: 300, CooldownMS: 1500,
	ColdWaitMS: 3000, PresenceTTLMS: 2000, Duties: []DutyRule{{"allotter", 2000}, {"settler", 2000}}}

func TestInvalidRulesAreReportedByKey(t *testing.T) {
	if err := testRules.Check(); err != nil {
		t.Fatal(err)
	}
	for want, change := range map[string]func(*Rules){
		"list[1].ttl_ms must be above 0, not 0":                  func(r *Rules) { r.Duties[1].TTLMS = 0 },
		"list[0].ttl_ms must be above 0, not -1":                 func(r *Rules) { r.Duties[0].TTLMS = -1 },
		"list[0].ttl_ms must be above 0, not NaN":                func(r *Rules) { r.Duties[0].TTLMS = math.NaN() },
		"list[0].ttl_ms must be above 0, not +Inf":               func(r *Rules) { r.Duties[0].TTLMS = math.Inf(1) },
		"list[0].ttl_ms of 1000 ms leaves a holder 850 ms":       func(r *Rules) { r.Duties[0].TTLMS = 1000 },
		"presence_ms of 100 ms leaves":                           func(r *Rules) { r.PresenceTTLMS = 100 },
		`list[1].name "allotter" is the name of list[0] already`: func(r *Rules) { r.Duties[1].Name = "allotter" },
		`list[0].name "a/b" may contain only a to z`:             func(r *Rules) { r.Duties[0].Name = "a/b" },
		"list[0].name must have 1 to 64 characters":              func(r *Rules) { r.Duties[0].Name = "" },
		"clock_rate must be from 0 to 0.5, not 0.6":              func(r *Rules) { r.MaxDrift = 0.6 },
		"renew_ms must be above 0, not NaN":                      func(r *Rules) { r.RenewIntervalMS = math.NaN() },
		"margin_ms must be 0 or more, not -1":                    func(r *Rules) { r.MarginMS = -1 },
		"cool_ms must be 0 or more, not +Inf":                    func(r *Rules) { r.CooldownMS = math.Inf(1) },
		"cold_wait_ms must be 0 or more, not -3":                 func(r *Rules) { r.ColdWaitMS = -3 },
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
		t.Errorf("fence for the epoch in force: %v", err)
	}
	if err := table.Apply(Order{Kind: Grant, Name: "d", Holder: "b", Epoch: first, Term: 1}, 1); !errors.Is(err, ErrHeld) {
		t.Errorf("grant of a held lease: %v, want ErrHeld", err)
	}
	if err := table.Apply(Order{Kind: Expire, Name: "d", Epoch: first, Term: 1}, 2); !errors.Is(err, ErrOtherTerm) {
		t.Errorf("expiry from another term: %v, want ErrOtherTerm", err)
	}
	if err := table.Apply(Order{Kind: Expire, Name: "d", Epoch: first, Term: 1}, 1); err != nil {
		t.Fatal(err)
	}
	if err := table.Fence(Ref{"d", first}); !errors.Is(err, ErrStale) {
		t.Errorf("fence for an epoch that ended, before the next grant: %v, want ErrStale", err)
	}
	second := grant("b")
	if second <= first {
		t.Errorf("second grant has epoch %d after %d", second, first)
	}
	for _, e := range []uint64{0, first, second + 1} {
		if err := table.Fence(Ref{"d", e}); !errors.Is(err, ErrStale) {
			t.Errorf("fence for epoch %d with %d in force: %v, want ErrStale", e, second, err)
		}
	}
	if err := table.Apply(Order{Kind: Release, Name: "d", Epoch: first, Term: 1}, 1); !errors.Is(err, ErrStale) {
		t.Errorf("release of an epoch that ended: %v, want ErrStale", err)
	}
	// A presence lease is deleted when it is released; a later grant has a higher epoch nevertheless.
	p := PresenceName("a")
	for last, i := uint64(0), 0; i < 3; i++ {
		if err := table.Apply(Order{Kind: Grant, Name: p, Holder: "a", Term: 1}, 1); err != nil {
			t.Fatal(err)
		}
		e := table.Leases[p].Epoch
		if e <= last {
			t.Errorf("presence lease has epoch %d after %d", e, last)
		}
		last = e
		if err := table.Apply(Order{Kind: Release, Name: p, Epoch: e, Term: 1}, 1); err != nil {
			t.Fatal(err)
		}
	}
	table.Freeze("d", true)
	if !table.Leases["d"].Yield {
		t.Error("the holder of a frozen duty is not asked to yield")
	}
	if err := table.Apply(Order{Kind: Release, Name: "d", Epoch: second, Term: 1}, 1); err != nil {
		t.Fatal(err)
	}
	if err := table.Apply(Order{Kind: Grant, Name: "d", Holder: "a", Epoch: second, Term: 1}, 1); !errors.Is(err, ErrFrozen) {
		t.Errorf("grant of a frozen duty: %v, want ErrFrozen", err)
	}
}

// fleet simulates servers and the leader on one clock, without message loss except for the servers that a test names.
type fleet struct {
	t              *testing.T
	now            float64
	table          *Table
	grantor        *Grantor
	machines       map[string]*Machine
	logIndex       uint64
	withoutReplies map[string]bool // their heartbeats arrive, but they receive no replies
	lastSeq        map[string]uint64
	events         []string
}

func newFleet(t *testing.T, names ...string) *fleet {
	f := &fleet{t: t, table: NewTable(), grantor: &Grantor{Rules: testRules, Seed: 5}, machines: map[string]*Machine{},
		now: 1000, lastSeq: map[string]uint64{}}
	f.grantor.StartTerm(1, f.now)
	for i, n := range names {
		f.machines[n] = NewMachine(testRules, n, uint64(i))
	}
	return f
}

// run advances the time in steps of 50 ms. The servers in silent send no heartbeats and receive no replies.
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
			// The new holder gets a reply at once, to the heartbeat with its candidacy.
			if n := o.Holder; o.Kind == Grant && !f.withoutReplies[n] && !isSilent[n] {
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
		t.Fatalf("held by %q, want two different holders", first)
	}
	f.run(20000)
	if now := [2]string{f.holder("allotter"), f.holder("settler")}; now != first {
		t.Errorf("held by %q, then by %q, without a fault", first, now)
	}
	for _, n := range []string{"a", "b", "c"} {
		if _, ok := f.machines[n].ActiveGrant(f.now, PresenceName(n)); !ok {
			t.Errorf("%s does not hold its presence lease", n)
		}
	}
}

func TestDisconnectedHolderStopsBeforeAnotherStarts(t *testing.T) {
	f := newFleet(t, "a", "b")
	f.run(1000)
	h := f.holder("allotter")
	for range 60 { // the holder is not run either: only its own clock shows that the lease has ended
		f.run(50, h)
		if o := f.holder("allotter"); o != "" && o != h {
			if _, still := f.machines[h].ActiveGrant(f.now, "allotter"); still {
				t.Fatal("two holders")
			}
		}
	}
	if o := f.holder("allotter"); o == h || o == "" {
		t.Errorf("held by %q 3 s after the last heartbeat of %q", o, h)
	}
	f.run(1000) // connected again: its lease has ended, and it is no candidate during the cool-down
	if o := f.holder("allotter"); o == h {
		t.Errorf("%q holds it again during the cool-down", h)
	}
}

// All servers of a large fleet become candidates at once after an outage: each duty is granted once, to different servers.
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
		t.Errorf("%d grants, want one for each of 300 presence leases and two duties", grants)
	}
}

// A server whose heartbeats arrive but which receives no replies loses its lease, and does not keep forever a lease that was
// granted to it without its knowledge.
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
		t.Errorf("the other server holds the duty for %.0f of 10,000 ms, want 5,000 or more", held)
	}
}

func TestModeDecidesCandidacy(t *testing.T) {
	f := newFleet(t, "a", "b")
	f.machines["a"].SetMode(f.now, Failing)
	f.machines["b"].SetMode(f.now, Cold)
	f.run(2000)
	if h := f.holder("allotter"); h != "" {
		t.Errorf("%q holds it though no server is warm and cold_wait_ms has not passed", h)
	}
	f.run(3000)
	if h := f.holder("allotter"); h != "b" {
		t.Errorf("%q holds it, want the cold server, the only candidate", h)
	}
	f.handleActions("a", f.machines["a"].SetMode(f.now, Warm))
	f.handleActions("b", f.machines["b"].SetMode(f.now, Draining))
	f.run(testRules.RenewIntervalMS)
	if h := f.holder("allotter"); h != "a" {
		t.Errorf("%q holds it one renewal interval after the drain, want a: %q", h, f.events)
	}
	if _, ok := f.machines["b"].ActiveGrant(f.now, PresenceName("b")); !ok {
		t.Error("a draining server has lost its presence lease")
	}
	f.handleActions("b", f.machines["b"].SetMode(f.now, Warm))
	f.run(5000)
	if h := f.holder("allotter"); h != "a" {
		t.Errorf("%q holds it, want a: draining is final", h)
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
		t.Errorf("held by %q after %q was asked to yield, want the other", o, h)
	}
}

// A reply with a lower log index than an earlier one is ignored, and one to an old heartbeat extends no lease.
func TestOutdatedRepliesAreIgnored(t *testing.T) {
	m := NewMachine(testRules, "a", 1)
	heartbeat := m.Tick(0)[0].(SendHeartbeat).Heartbeat
	grants := []HeldLease{{Ref{"allotter", 7}, 2000, false}}
	m.HandleReply(10, HeartbeatReply{Seq: heartbeat.Seq, LogIndex: 50, HeldLeases: grants})
	if _, ok := m.ActiveGrant(20, "allotter"); !ok {
		t.Fatal("not held after the reply that grants it")
	}
	out := m.HandleReply(30, HeartbeatReply{Seq: heartbeat.Seq, LogIndex: 49})
	if _, ok := m.ActiveGrant(40, "allotter"); !ok || len(out) != 1 || out[0] != (StaleReply{49, 50}) {
		t.Errorf("a reply with a lower log index: %v, want StaleReply and the lease kept", out)
	}
	_, until, _ := m.LeaseEnd("allotter")
	m.ExpediteHeartbeat()
	m.Tick(1000) // a second heartbeat; the next reply is to the first one
	m.HandleReply(1010, HeartbeatReply{Seq: heartbeat.Seq, LogIndex: 60, HeldLeases: grants})
	if _, now, _ := m.LeaseEnd("allotter"); now != until {
		t.Errorf("a second reply to the first heartbeat moved the end from %v to %v", until, now)
	}
	if _, ok := m.ActiveGrant(until, "allotter"); ok {
		t.Error("held at the time of its end")
	}
	m.Tick(until)
	m.HandleReply(until+1, HeartbeatReply{Seq: 2, LogIndex: 61, HeldLeases: grants})
	if _, ok := m.ActiveGrant(until+2, "allotter"); ok {
		t.Error("an epoch that expired is held again")
	}
}

// A fleet that joins at once is granted its presence leases in several steps of bounded size, and the leases of one that leaves
// at once expire in steps likewise.
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
				t.Fatalf("%d orders at once, want at least 1 and at most MaxOrdersPerTick", len(orders))
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
		t.Errorf("all presence leases are granted after %d steps, want 3", n)
	}
	if orders := g.Tick(now, table); len(orders) > 0 {
		t.Errorf("%d orders, want none when nothing is due", len(orders))
	}
	now += 10 * g.PresenceTTLMS
	if n := steps(func() bool { return table.CountPresent() == 0 }); n != 3 {
		t.Errorf("all leases have expired after %d steps, want 3", n)
	}
}

// The candidacies of a process are those of its latest heartbeat, whatever the heartbeats of others say.
func TestLatestHeartbeatReplacesCandidacies(t *testing.T) {
	g := &Grantor{Rules: Rules{RenewIntervalMS: 300, PresenceTTLMS: 2000,
		Duties: []DutyRule{{Name: "allotter", TTLMS: 2000}, {Name: "settler", TTLMS: 2000}}}, Seed: 1}
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
		t.Errorf("granted %v, want %v", got, want)
	}
}
