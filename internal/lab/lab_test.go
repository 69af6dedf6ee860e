package lab

import (
	"bytes"
	"context"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"puffinsaddle/internal/duty"
	"puffinsaddle/internal/store"
	"puffinsaddle/internal/trace"
)

const linkTimeout = 60 * time.Second

func TestSeedDeterminesSchedule(t *testing.T) {
	s, _ := findScenario("all")
	a, b := Schedule(7, s, 200), Schedule(7, s, 200)
	if !reflect.DeepEqual(a, b) || len(a) < 20 {
		t.Errorf("two schedules of one seed have %d and %d faults, want the same ones and 20 or more", len(a), len(b))
	}
	if reflect.DeepEqual(a, Schedule(8, s, 200)) {
		t.Error("another seed gives the same schedule")
	}
	kinds := map[string]bool{}
	for _, f := range a {
		kinds[f.Kind] = true
		if f.At < firstFaultSeconds || f.At+f.For > 200-quietEndSeconds {
			t.Errorf("the fault %s is too early or too late", f)
		}
	}
	if len(kinds) != len(s.Kinds) {
		t.Errorf("the schedule has %d of %d kinds", len(kinds), len(s.Kinds))
	}
}

// Guards against a link that loses bytes or forwards them while it is cut. The test cuts one direction at a time of a link to
// an echo server. After Heal the withheld bytes arrive.
func TestCutLinkWithholdsBytesUntilHeal(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	received := make(chan string, 10)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				b := make([]byte, 1)
				for {
					if _, err := c.Read(b); err != nil {
						received <- "end"
						return
					}
					received <- string(b)
					c.Write(b)
				}
			}()
		}
	}()
	l, err := NewLink()
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	l.SetTarget(ln.Addr().String())
	c, err := net.Dial("tcp", l.Addr())
	if err != nil {
		t.Fatal(err)
	}
	c.SetDeadline(time.Now().Add(linkTimeout))
	send := func(s string) { c.Write([]byte(s)) }
	receive := func() string {
		b := make([]byte, 1)
		if _, err := io.ReadFull(c, b); err != nil {
			return err.Error()
		}
		return string(b)
	}
	send("1")
	if s := receive(); s != "1" {
		t.Fatal(s)
	}
	<-received
	l.Cut(Backward)
	send("2")
	if s := <-received; s != "2" {
		t.Errorf("the server received %q, want 2", s)
	}
	l.Heal()
	if s := receive(); s != "2" {
		t.Errorf("withheld bytes: got %q", s)
	}
	l.Cut(Forward)
	send("3")
	l.Heal()
	if s := receive(); s != "3" {
		t.Errorf("withheld bytes: got %q", s)
	}
	<-received
	l.Reset()
	if s := <-received; s != "end" {
		t.Errorf("after a reset the server received %q, want its end", s)
	}
}

// Guards against a checker that misses a violation or reports one in a valid trace. Each synthetic trace but the valid one has
// one violation.
func TestCheckerFindsEachViolation(t *testing.T) {
	grant := func(at float64, index uint64, name, who string) trace.Event {
		return trace.Event{At: at, Who: "s01", What: trace.EntryApplied, Index: index, Term: 1, Text: "orders", Cause: "grant " + name + " " + who}
	}
	gained := func(at, until float64, who string, epoch uint64) trace.Event {
		return trace.Event{At: at, Who: who, What: trace.LeaseGained, Duty: "d", Epoch: epoch, Until: until}
	}
	executed := func(at float64, index, epoch uint64) trace.Event {
		return trace.Event{At: at, Who: "s01", What: trace.EntryApplied, Index: index, Term: 1, Text: "act", Duty: "d", Epoch: epoch}
	}
	valid := []trace.Event{grant(1, 1, "d", "a#1"), gained(2, 100, "a#1", 1), executed(5, 2, 1),
		{At: 6, Who: "a#1", What: trace.CommandExecuted, Text: "mark", Duty: "d", Epoch: 1, Began: 4, N: 1},
		{At: 100, Who: "a#1", What: trace.LeaseEnded, Duty: "d", Epoch: 1, Cause: duty.CauseExpired},
		{At: 110, Who: "s01", What: trace.EntryApplied, Index: 3, Term: 1, Text: "orders", Cause: "lapse d "}, grant(111, 4, "d", "b#1"), gained(112, 300, "b#1", 2),
		executed(113, 5, 2), {At: 114, Who: "b#1", What: trace.CommandExecuted, Text: "mark", Duty: "d", Epoch: 2, Began: 112, N: 2},
		{At: 120, Who: "a#1", What: trace.ShareInForce, Amount: 60, Until: 200}, {At: 130, Who: "a#1", What: trace.ShareInForce, Amount: 30, Until: 200},
		{At: 131, Who: "b#1", What: trace.ShareInForce, Amount: 70, Until: 220}, {At: 140, Who: "s01", What: trace.EffectExecuted, Text: "e1"}}
	for want, extra := range map[string][]trace.Event{
		"":                        nil,
		"one holder at a time":    {gained(90, 95, "c#1", 3)},
		"an epoch has one holder": {gained(400, 500, "c#1", 2)},
		"epochs only increase":    {gained(400, 500, "c#1", 1)},
		"no command of an old epoch takes effect": {executed(115, 6, 1)},
		"replicas agree":                   {{At: 9, Who: "s02", What: trace.EntryApplied, Index: 2, Term: 1, Text: "act", Duty: "d", Epoch: 9}},
		"shares stay within the pool":      {{At: 150, Who: "c#1", What: trace.ShareInForce, Amount: 1, Until: 160}},
		"no effect runs twice":             {{At: 150, Who: "s05", What: trace.EffectExecuted, Text: "e1"}},
		"fenced commands are linearizable": {{At: 116, Who: "b#1", What: trace.CommandExecuted, Text: "mark", Duty: "d", Epoch: 2, Began: 115, N: 2}},
	} {
		o := &Outcome{PoolMilli: 100, Events: append(append([]trace.Event(nil), valid...), extra...)}
		f := Check(o)
		var rules []string
		for _, v := range f.Violations {
			rules = append(rules, v.Rule)
		}
		if want == "" && len(rules) > 0 || want != "" && !strings.Contains(strings.Join(rules, ";"), want) {
			t.Errorf("found %q, want %q", rules, want)
		}
		if want == "" && (f.Handovers != 1 || len(f.Gaps) != 1 || f.Gaps[0].LengthMS() != 12 || f.Commands != 2 || f.MaxSharesMilli != 100) {
			t.Errorf("%+v", f)
		}
	}
}

// Guards against judging gaps by the wrong bound. After a holder was killed, the bound is the TTL, counted from the election of
// a new leader if there was one. After a yield it is only a renewal interval.
func TestExcessiveGapsAreCounted(t *testing.T) {
	o := &Outcome{LoadStartMS: 1, Events: []trace.Event{
		{At: 10, Who: "a#1", What: trace.LeaseGained, Duty: "d", Epoch: 1, Until: 5000},
		{At: 1000, Who: "a", What: "killed"},
		{At: 3000, Who: "s02", What: trace.TermStarted, Term: 2},
		{At: 5400, Who: "b#1", What: trace.LeaseGained, Duty: "d", Epoch: 2, Until: 9000},
		{At: 6000, Who: "b#1", What: trace.LeaseEnded, Duty: "d", Epoch: 2, Cause: duty.CauseYield},
		{At: 7000, Who: "a#2", What: trace.LeaseGained, Duty: "d", Epoch: 3, Until: 9000},
	}}
	f := Check(o)
	if len(f.Gaps) != 2 || len(f.Violations) > 0 {
		t.Fatalf("%+v", f)
	}
	first, second := f.Gaps[0], f.Gaps[1]
	if first.LengthMS() != 4400 || first.NewLeaderAt != 3000 || first.SinceNewLeaderMS() != 2400 || first.Excessive() {
		t.Errorf("%+v: a leader was elected in the gap, which explains it", first)
	}
	if second.LengthMS() != 1000 || second.NewLeaderAt != 0 || !second.Excessive() {
		t.Errorf("%+v: longer than a yield explains", second)
	}
	first.NewLeaderAt = 0
	if !first.Excessive() {
		t.Errorf("%+v: without an election nothing explains it", first)
	}
}

// Guards against a checker that accepts a corrupted replica that was never found, or reports an intact one.
func TestMemoryCorruptionMustBeDetected(t *testing.T) {
	event := func(at float64, who, what, text, cause string) trace.Event {
		return trace.Event{At: at, Who: who, What: what, Text: text, Cause: cause}
	}
	const differs = "b: the state of s02 differs from that of a majority"
	corrupted, rejoins := event(1000, "s02", eventCorrupted, "e", ""), event(5000, "s02#1", trace.ReplicaPhase, store.PhaseRejoining, differs)
	runs, died := event(6000, "s02#1", trace.ReplicaPhase, store.PhaseRunning, ""), event(2000, "s02", "killed", "", "")
	for want, events := range map[string][]trace.Event{
		"":                             {corrupted, rejoins, runs},
		"corrupt replicas are found":   {corrupted},
		"only corrupt replicas differ": {rejoins, runs},
	} {
		f := Check(&Outcome{Events: events, LoadEndMS: 60000})
		got := ""
		for _, v := range f.Violations {
			got += v.Rule
		}
		if got != want || want == "" && (f.Diverged != 1 || f.Rejoined != 1 || len(f.CatchUpMS) != 1 || f.CatchUpMS[0] != 1000) {
			t.Errorf("%q, want %q: %+v", got, want, f)
		}
	}
	if f := Check(&Outcome{Events: []trace.Event{corrupted, died}, LoadEndMS: 60000}); len(f.Violations) > 0 {
		t.Errorf("the corrupt memory was lost with its process: %+v", f.Violations)
	}
}

// Guards against false violations. A process that is killed with a fenced command in flight records no response, so the
// command may have been executed or not.
func TestCommandsInterruptedByKillMayHaveExecuted(t *testing.T) {
	event := func(what string, began, at float64, n uint64) trace.Event {
		return trace.Event{At: at, Who: "a#1", What: what, Text: "mark", Duty: "d", Epoch: 1, Began: began, N: n}
	}
	first := []trace.Event{event(trace.CommandSent, 1, 1, 0), event(trace.CommandExecuted, 1, 2, 1)}
	interrupted, last := event(trace.CommandSent, 3, 3, 0), []trace.Event{event(trace.CommandSent, 5, 5, 0), event(trace.CommandExecuted, 5, 6, 3)}
	if f := Check(&Outcome{Events: append(append(first, interrupted), last...)}); len(f.Violations) > 0 {
		t.Errorf("%+v", f.Violations)
	}
	if f := Check(&Outcome{Events: append(first, last...)}); len(f.Violations) != 1 {
		t.Errorf("an increment without a command: %+v", f.Violations)
	}
	last[1].N = 2
	if f := Check(&Outcome{Events: append(append(first, interrupted), last...)}); len(f.Violations) > 0 {
		t.Errorf("the interrupted command was not executed: %+v", f.Violations)
	}
}

func TestInvalidFlagsAreNamed(t *testing.T) {
	for want, c := range map[string]DutiesCmd{
		"--scenario: unknown scenario": {Scenario: "none-such", Copies: 3, Servers: 12, For: time.Minute},
		"--plant: unknown bug":         {Scenario: "all", Plant: "x", Copies: 3, Servers: 12, For: time.Minute},
		"--copies must":                {Scenario: "all", Copies: 4, Servers: 12, For: time.Minute},
		"--servers":                    {Scenario: "all", Copies: 5, Servers: 3, For: time.Minute},
		"--for must":                   {Scenario: "all", Copies: 3, Servers: 12, For: time.Second},
		"--slots must":                 {Scenario: "all", Copies: 3, Servers: 12, For: time.Minute, Slots: 1},
	} {
		if _, err := c.setup(); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%v, want %s", err, want)
		}
	}
}

// Runs processes of the real program under faults and checks the invariants. Only safety is checked, so the verdict doesn't
// depend on the speed of the machine; the wait for every duty to have a holder at the end has a long timeout.
func TestInvariantsHoldUnderFaults(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	binary := filepath.Join(t.TempDir(), "puffinsaddle")
	if out, err := exec.Command("go", "build", "-o", binary, "puffinsaddle/cmd/puffinsaddle").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	for name, seed := range map[string]uint64{"holder": 1, "leader": 2, "handing": 3, "folders": 12} {
		s, _ := findScenario(name)
		setup := Setup{Binary: binary, Out: t.TempDir(), Seed: seed, Seconds: 18, Replicas: 3, Servers: 5, Scenario: s, RequestsPerSecond: 30, VaultSlots: 12}
		o, err := Execute(context.Background(), setup)
		if err != nil {
			showLogs(t, setup.Out)
			t.Fatal(err)
		}
		f := Check(o)
		for _, v := range f.Violations {
			t.Errorf("%s: %s: %s %+v", name, v.Rule, v.Text, v.Trace)
		}
		if f.Commands == 0 || f.Effects == 0 || len(o.Faults) == 0 {
			t.Errorf("%s: %d fenced commands, %d effects, %d faults: the run checks nothing unless there are some of each", name, f.Commands, f.Effects, len(o.Faults))
		}
		if name == "folders" && f.Rejoined == 0 { // one of its faults removes a data directory
			t.Errorf("%s: no replica rejoined", name)
		}
		var page bytes.Buffer
		if err := Report(&page, []Page{{Title: name, Setup: setup, Outcome: o, Findings: f, Result: newResult(setup, o, f)}}); err != nil || page.Len() < 1000 {
			t.Errorf("the report has %d bytes: %v", page.Len(), err)
		}
		if t.Failed() {
			showLogs(t, setup.Out)
		}
	}
}

// showLogs prints the end of each process's log.
func showLogs(t *testing.T, dir string) {
	files, _ := filepath.Glob(filepath.Join(dir, "*", "log"))
	for _, path := range files {
		b, _ := os.ReadFile(path)
		t.Logf("%s:\n%s", path, b[max(len(b)-1500, 0):])
	}
}
