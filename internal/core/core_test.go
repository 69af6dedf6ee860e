package core

import (
	"context"
	"errors"
	"fmt"
	"runtime"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"puffinsaddle/internal/clock"
	"puffinsaddle/internal/pool"
	"puffinsaddle/policy"
)

const begin = 1.7e12 // where the tests' clock stands at first

// hand is a Runner whose runs the test ends by hand.
type hand struct{ started chan *Attempt }

func (h *hand) Start(a *Attempt)                { h.started <- a }
func (h *hand) Return(*Attempt, uint64, []byte) {}
func (h *hand) Skip(*Attempt, uint64)           {}
func (h *hand) Drop(*Attempt)                   {}
func (h *hand) Meter(func([]float64))           {}
func (h *hand) Diagnose(func(bool)) bool        { return false }
func (h *hand) Call(context.Context, string, float64, []byte) (policy.Outcome, []byte) {
	return policy.Unreachable, nil
}

var testSettings = policy.Settings{
	Classes: []policy.Class{{Name: "read", Aim: 2 * time.Second, Deadline: 5 * time.Second, Worth: 1},
		{Name: "book", Aim: 2 * time.Second, Deadline: 5 * time.Second, Worth: 4, Safety: policy.Unsafe}},
	Cores: 8, MemoryKB: 1e6, RunMemoryFactor: 4, MaxRunningPerCore: 8, SharedResultTTL: 200 * time.Millisecond, PassesDeadline: true,
	BusyGauge: -1, RunnableGauge: -1, MemoryGauge: -1, ConnectionGauge: -1,
}

type rig struct {
	*Core
	t       *testing.T
	clock   *clock.Clock
	hand    *hand
	answers chan string
}

func newRig(t *testing.T, l Ledger) *rig {
	h := &hand{make(chan *Attempt, 10)}
	clk := clock.Manual(begin)
	c := New(clk, zerolog.Nop(), testSettings, 1, h, h, l)
	c.Up(false)
	go c.Run()
	t.Cleanup(c.Stop)
	return &rig{c, t, clk, h, make(chan string, 10)}
}

func (r *rig) open(id int, class, key string, at float64) *Handler {
	q := &Request{ID: fmt.Sprintf("%016x", id), Class: class, At: at, Wait: 3000, KB: 1, Key: key}
	return r.Open(q, func(o Outcome) { r.answers <- fmt.Sprintf("%d %d %s", id, o.Verdict, o.Result) })
}

func (r *rig) end(a *Attempt, result string, took float64) {
	a.Notify(Notice{Ended: true, Outcome: policy.OK, Took: took, Body: pool.Copy([]byte(result))})
}

// through waits until so many requests are left in hand: what comes then comes behind the ends of the others.
func (r *rig) through(left int) {
	for open := left + 1; open > left; runtime.Gosched() {
		r.mu.Lock()
		open = len(r.handlers)
		r.mu.Unlock()
	}
}

func (r *rig) want(answer string) {
	r.t.Helper()
	if got := <-r.answers; got != answer {
		r.t.Errorf("answer %q, want %q", got, answer)
	}
}

// A read may have a result by when it came, not by when it was looked at; and by when the result was made.
func TestFreshnessCountsFromTheArrival(t *testing.T) {
	r := newRig(t, nil)
	r.open(1, "read", "k", begin)
	first := <-r.hand.started
	r.open(2, "read", "k", begin)
	r.open(3, "read", "other", begin)
	other := <-r.hand.started // the second read of k was not started before it
	r.clock.Set(begin + 100)
	r.end(first, "A", 100)
	got := map[string]bool{<-r.answers: true, <-r.answers: true}
	if !got["1 0 A"] || !got["2 0 A"] {
		t.Errorf("answers %v", got)
	}
	r.clock.Set(begin + 250)
	r.open(4, "read", "k", begin+240)
	r.want("4 0 A")
	r.open(5, "read", "k", begin+301) // came 201 ms after the result was made
	r.end(<-r.hand.started, "B", 1)
	r.want("5 0 B")
	r.clock.Set(begin + 450)
	r.end(other, "C", 10) // its notice came late: made at 10, so no longer fresh at 440
	r.want("3 0 C")
	r.through(0) // else the next may come before the end is in the books, and wait for a run that goes on
	r.open(6, "read", "other", begin+440)
	r.end(<-r.hand.started, "D", 1)
	r.want("6 0 D")
}

// The module gives up on a request at its due time; its answer waits for no gauge and for no run.
func TestDueTimeNeedsNoGauges(t *testing.T) {
	r := newRig(t, nil)
	r.open(1, "book", "", begin)
	a := <-r.hand.started
	for now := begin; now < begin+3000; now += 500 { // the clock's timers wake the module on the way
		r.clock.Set(now)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.want(fmt.Sprintf("1 %d ", Overdue))
	}()
	for late := false; !late; {
		select {
		case <-done:
			late = true
		default:
			r.clock.Set(r.clock.Now() + 1)
		}
	}
	for r.Owed() != 0 { // settled right after the answer, while the run still goes on
		runtime.Gosched()
	}
	r.end(a, "late", 3500)
}

type noQuorum struct{}

func (noQuorum) Begin(string) (bool, error) { return false, errors.New("no quorum") }

// An effect that can't be recorded is not run, and may be tried elsewhere; a read needs no record.
func TestEffectIsRecordedBeforeItsRun(t *testing.T) {
	r := newRig(t, noQuorum{})
	r.open(1, "book", "", begin)
	r.want(fmt.Sprintf("1 %d ", Refused))
	r.open(2, "read", "", begin)
	r.end(<-r.hand.started, "A", 1)
	r.want("2 0 A")
	if len(r.hand.started) > 0 {
		t.Error("the effect was run")
	}
}

// However many effects were begun, none is forgotten while a request of its id may still pass for new.
func TestMemoryLedgerForgetsByTimeAlone(t *testing.T) {
	clk := clock.Manual(begin)
	l := newMemoryLedger(clk)
	want := func(n int, want bool) {
		t.Helper()
		if got, err := l.Begin(fmt.Sprintf("%016x", n)); got != want || err != nil {
			t.Errorf("begin of %d: %v, %v", n, got, err)
		}
	}
	want(0, true)
	clk.Set(begin + ledgerFor)
	for n := 1; n <= 1<<16; n++ {
		want(n, true)
	}
	want(0, false)
	clk.Set(begin + ledgerFor + 1)
	want(1<<17, true)
	want(0, true)
	want(1, false)
	if _, err := l.Begin("none"); err == nil {
		t.Error("an id that is none was taken")
	}
}

// Two tries of one request come so close that the module hears of both in one call: it had not ordered to remember
// the first by then, and both ran.
func TestTriesThatComeTogetherRunOnce(t *testing.T) {
	r := newRig(t, nil)
	set := testSettings
	set.Classes = []policy.Class{{Name: "pay", Aim: 2 * time.Second, Deadline: 5 * time.Second, Worth: 1, Safety: policy.Keyed, KeyTTL: 10 * time.Second}}
	r.Adopt(set)
	in, release := make(chan struct{}), make(chan struct{})
	r.Then(func() { close(in); <-release })
	<-in // the owner stands until both have told of themselves
	for id := 1; id <= 3; id++ {
		q := &Request{ID: fmt.Sprintf("%016x", id), Class: "pay", At: begin, Wait: 3000, KB: 1, Once: "ab"}
		r.Open(q, func(o Outcome) { r.answers <- fmt.Sprintf("%d %s", o.Verdict, o.Result) })
	}
	for told := 0; told < 3; runtime.Gosched() {
		told = r.inbox.Len()
	}
	close(release)
	run := <-r.hand.started
	r.end(run, "A", 1)
	got := []string{<-r.answers, <-r.answers, <-r.answers}
	slices.Sort(got)
	// Tries that are held give way to the newest, which runs.
	if fmt.Sprint(got) != fmt.Sprint([]string{"0 A", "1 ", "1 "}) || len(r.hand.started) > 0 {
		t.Errorf("answers %q, %d more runs", got, len(r.hand.started))
	}
}

// New settings: what was open ends as what it came as, a booking whose class went is still run once, and a class
// that went is not known to what comes after.
func TestOpenRequestsKeepTheirClass(t *testing.T) {
	r := newRig(t, nil)
	r.open(1, "book", "", begin)
	old := <-r.hand.started
	set := testSettings
	set.Classes = []policy.Class{testSettings.Classes[0], {Name: "order", Aim: 2 * time.Second, Deadline: 5 * time.Second, Worth: 4, Safety: policy.Unsafe}}
	r.Adopt(set)
	r.open(2, "order", "", begin)
	r.end(<-r.hand.started, "new", 1)
	r.want("2 0 new")
	r.open(3, "book", "", begin)
	r.want(fmt.Sprintf("3 %d ", Refused))
	r.end(old, "old", 1)
	r.want("1 0 old")
	if f := r.Figures(); f.OK["book"] != 1 || f.OK["order"] != 1 || f.Shed["book"] != 1 || f.Tries != 2 || f.Active != 0 {
		t.Errorf("figures %+v", f)
	}
}

// settled is a ledger that hears how effects end.
type settled struct{ ended chan string }

func (s settled) Begin(string) (bool, error) { return true, nil }
func (s settled) Ended(id string, ok bool)   { s.ended <- fmt.Sprint(id, " ", ok) }

func TestLedgerHearsHowEffectsEnd(t *testing.T) {
	l := settled{make(chan string, 10)}
	r := newRig(t, l)
	r.open(1, "read", "", begin)
	r.end(<-r.hand.started, "A", 1)
	r.want("1 0 A")
	r.open(2, "book", "", begin)
	r.end(<-r.hand.started, "B", 1)
	r.want("2 0 B")
	if got := <-l.ended; got != fmt.Sprintf("%016x true", 2) {
		t.Errorf("heard %q", got)
	}
	r.open(3, "book", "", begin)
	a := <-r.hand.started
	a.Notify(Notice{Ended: true, Outcome: policy.Failed})
	if got := <-l.ended; got != fmt.Sprintf("%016x false", 3) {
		t.Errorf("heard %q", got)
	}
}

// caller is a Runner and a Below that tell what the module chose at a call.
type caller struct {
	hand
	chose chan string
}

func (c *caller) Skip(*Attempt, uint64) { c.chose <- "skip" }
func (c *caller) Call(ctx context.Context, _ string, _ float64, _ []byte) (policy.Outcome, []byte) {
	c.chose <- "call"
	return policy.OK, nil
}

// The share is asked for before each choice, and what is put off until it is in force comes after.
func TestShareIsAskedForBeforeEachChoice(t *testing.T) {
	set := testSettings
	set.HasDownstream, set.DownstreamShare, set.CallPeriod = true, 100, 5*time.Second
	set.Classes = []policy.Class{{Name: "read", Aim: 2 * time.Second, Deadline: 5 * time.Second, Worth: 1, Calls: true, SkipWorth: 0.5}}
	h := &caller{hand{make(chan *Attempt, 10)}, make(chan string, 10)}
	clk := clock.Manual(begin)
	c := New(clk, zerolog.Nop(), set, 1, h, h, nil)
	var share atomic.Int64
	c.Divide(func() float64 { return float64(share.Load()) })
	c.Up(false)
	go c.Run()
	t.Cleanup(c.Stop)
	for id, want := range []string{"skip", "call", "skip"} {
		share.Store(int64(100 * (id % 2)))
		in := make(chan struct{})
		c.Then(func() { close(in) })
		<-in
		c.Open(&Request{ID: fmt.Sprintf("%016x", id), Class: "read", At: begin, Wait: 3000, KB: 1}, func(Outcome) {})
		a := <-h.started
		a.Notify(Notice{N: 1})
		if got := <-h.chose; got != want {
			t.Errorf("with a share of %d: %s, want %s", share.Load(), got, want)
		}
	}
}

// The owner comes to the notice to drain late: the window in which what comes may still run counts from the notice, and
// to when a request reached the machine, whenever it is read.
func TestDrainWindowCountsFromTheNotice(t *testing.T) {
	r := newRig(t, nil)
	set := testSettings
	set.DrainGrace = 2500 * time.Millisecond
	r.Adopt(set)
	in, release := make(chan struct{}), make(chan struct{})
	r.Then(func() { close(in); <-release })
	<-in
	r.Drain(begin, begin+9000)
	r.clock.Set(begin + 200)
	close(release)
	handled := make(chan struct{})
	r.Then(func() { close(handled) })
	<-handled
	r.clock.Set(begin + 2690)
	r.open(1, "book", "", begin+2600)
	r.want(fmt.Sprintf("1 %d ", Refused))
	r.open(2, "book", "", begin+2500)
	r.end(<-r.hand.started, "A", 1)
	r.want("2 0 A")
}

// New settings have the class of a payment no more, or tie its tries no more: its result is still what another try of it
// gets, one that comes while it runs fails, and none of them is refused or run. Each was refused, or run again.
func TestTiesHoldWhereTheClassWent(t *testing.T) {
	pay := policy.Class{Name: "pay", Aim: 2 * time.Second, Deadline: 5 * time.Second, Worth: 4, Safety: policy.Keyed, KeyTTL: 30 * time.Second}
	safe := pay
	safe.Safety = policy.Safe
	for what, after := range map[string][]policy.Class{"gone": testSettings.Classes, "safe by now": append(slices.Clone(testSettings.Classes), safe)} {
		r := newRig(t, nil)
		set := testSettings
		set.Classes = append(slices.Clone(set.Classes), pay)
		r.Adopt(set)
		try := func(id int, once, body string) {
			r.Open(&Request{ID: fmt.Sprintf("%016x", id), Class: "pay", At: begin, Wait: 3000, KB: 1, Once: once, Body: []byte(body)}, func(o Outcome) {
				r.answers <- fmt.Sprintf("%d %d %s", id, o.Verdict, o.Result)
			})
		}
		try(1, "aa", "a")
		r.end(<-r.hand.started, "A", 1)
		r.want("1 0 A")
		try(2, "bb", "b")
		runs := <-r.hand.started
		r.through(1)
		set.Classes = after
		r.Adopt(set)
		try(3, "aa", "a")
		r.want("3 0 A")
		try(4, "aa", "another")
		r.want(fmt.Sprintf("4 %d ", Failed))
		try(5, "bb", "b")
		r.want(fmt.Sprintf("5 %d ", Failed))
		r.end(runs, "B", 1)
		r.want("2 0 B")
		r.through(0)
		try(6, "bb", "b")
		r.want("6 0 B")
		if f := r.Figures(); f.Tries != 2 {
			t.Errorf("%s: %d runs", what, f.Tries)
		}
	}
}

// A run was never started, and its caller sends another try in the moment in which it hears so: that one runs. It was taken
// to repeat a run that goes on, and failed with it.
func TestAnotherTryComesWithTheAnswer(t *testing.T) {
	r := newRig(t, nil)
	set := testSettings
	set.Classes = []policy.Class{{Name: "pay", Aim: 2 * time.Second, Deadline: 5 * time.Second, Worth: 1, Safety: policy.Keyed, KeyTTL: 10 * time.Second}}
	r.Adopt(set)
	try := func(id int) *Request {
		return &Request{ID: fmt.Sprintf("%016x", id), Class: "pay", At: begin, Wait: 3000, KB: 1, Once: "ab"}
	}
	heard := make(chan string, 1)
	r.Open(try(1), func(Outcome) {
		r.Open(try(2), func(Outcome) {})
		select {
		case a := <-r.hand.started:
			heard <- a.Request.ID
		case <-time.After(10 * time.Second):
			heard <- "nothing"
		}
	})
	a := <-r.hand.started
	a.Notify(Notice{Ended: true, Outcome: policy.NotRun})
	if got := <-heard; got != try(2).ID {
		t.Errorf("begun: %s", got)
	}
}
