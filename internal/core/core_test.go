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

const begin = 1.7e12 // initial time of the tests' clock, in Unix milliseconds

// hand is a fake Runner and Below whose attempts the test ends.
type hand struct{ started chan *Attempt }

func (h *hand) Start(a *Attempt)                { h.started <- a }
func (h *hand) Return(*Attempt, uint64, []byte) {}
func (h *hand) Skip(*Attempt, uint64)           {}
func (h *hand) Abandon(*Attempt)                {}
func (h *hand) ReadGauges(func([]float64))      {}
func (h *hand) Diagnose(func(bool)) bool        { return false }
func (h *hand) Call(context.Context, string, float64, []byte) (policy.Outcome, []byte) {
	return policy.Unreached, nil
}

var testSettings = policy.Settings{
	Classes: []policy.Class{{Name: "read", Aim: 2 * time.Second, Deadline: 5 * time.Second, Worth: 1},
		{Name: "book", Aim: 2 * time.Second, Deadline: 5 * time.Second, Worth: 4, Safety: policy.Unsafe}},
	Cores: 8, MemoryKB: 1e6, RunFactor: 4, FallMultiple: 8, FreshFor: 200 * time.Millisecond, PassesDeadline: true,
	BusyGauge: -1, RunnableGauge: -1, MemoryGauge: -1, ConnGauge: -1,
}

type rig struct {
	*Core
	t       *testing.T
	clock   *clock.Clock
	hand    *hand
	answers chan string
}

func newRig(t *testing.T, l EffectLog) *rig {
	h := &hand{make(chan *Attempt, 10)}
	clk := clock.Manual(begin)
	c := New(clk, zerolog.Nop(), testSettings, 1, h, h, l)
	c.RunnerStarted(false)
	go c.Run()
	t.Cleanup(c.Stop)
	return &rig{c, t, clk, h, make(chan string, 10)}
}

func (r *rig) open(id int, class, key string, at float64) *Handler {
	q := &Request{ID: fmt.Sprintf("%016x", id), Class: class, ArrivedAt: at, WaitMS: 3000, KB: 1, Key: key}
	return r.Open(q, func(o Outcome) { r.answers <- fmt.Sprintf("%d %d %s", id, o.Verdict, o.Result) })
}

func (r *rig) end(a *Attempt, result string, took float64) {
	a.Notify(Notice{Ended: true, Outcome: policy.OK, TookMS: took, Body: pool.Copy([]byte(result))})
}

// through waits until the given number of requests is left, so that events sent afterwards follow the ends of the others.
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

// A read may share a result if the result was fresh when the read arrived, not when the read is processed; and freshness
// counts from when the result was made, not from when its notice arrived.
func TestFreshnessCountsFromTheArrival(t *testing.T) {
	r := newRig(t, nil)
	r.open(1, "read", "k", begin)
	first := <-r.hand.started
	r.open(2, "read", "k", begin)
	r.open(3, "read", "other", begin)
	other := <-r.hand.started // the second read of k waits for the first, so it was not started before this one
	r.clock.Set(begin + 100)
	r.end(first, "A", 100)
	got := map[string]bool{<-r.answers: true, <-r.answers: true}
	if !got["1 0 A"] || !got["2 0 A"] {
		t.Errorf("answers %v", got)
	}
	r.clock.Set(begin + 250)
	r.open(4, "read", "k", begin+240)
	r.want("4 0 A")
	r.open(5, "read", "k", begin+301) // arrived 201 ms after the result was made
	r.end(<-r.hand.started, "B", 1)
	r.want("5 0 B")
	r.clock.Set(begin + 450)
	r.end(other, "C", 10) // its notice is late: the result was made at 10 ms, so it is no longer fresh at 440 ms
	r.want("3 0 C")
	r.through(0) // otherwise the next read may precede the end, and wait for an attempt that is taken to be running
	r.open(6, "read", "other", begin+440)
	r.end(<-r.hand.started, "D", 1)
	r.want("6 0 D")
}

// A request is answered at its due time without waiting for the gauges or for the end of its attempt.
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
	for r.Owed() != 0 { // reaches 0 right after the answer, while the attempt still runs
		runtime.Gosched()
	}
	r.end(a, "late", 3500)
}

type noQuorum struct{}

func (noQuorum) Begin(string) (bool, error) { return false, errors.New("no quorum") }

// An effect that can't be recorded does not run and is refused, so that it may be retried on another server. A read needs
// no record.
func TestEffectIsRecordedBeforeItsRun(t *testing.T) {
	r := newRig(t, noQuorum{})
	r.open(1, "book", "", begin)
	r.want(fmt.Sprintf("1 %d ", Refused))
	r.open(2, "read", "", begin)
	r.end(<-r.hand.started, "A", 1)
	r.want("2 0 A")
	if len(r.hand.started) > 0 {
		t.Error("an effect without a record ran")
	}
}

// The effect log in memory removes effects by age only: no number of effects makes it forget one whose ID may still be
// accepted in a request.
func TestMemoryLedgerForgetsByTimeAlone(t *testing.T) {
	clk := clock.Manual(begin)
	l := newMemoryLedger(clk)
	want := func(n int, want bool) {
		t.Helper()
		if got, err := l.Begin(fmt.Sprintf("%016x", n)); got != want || err != nil {
			t.Errorf("Begin of effect %d: %v, %v", n, got, err)
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
		t.Error("a malformed ID was accepted")
	}
}

// Several attempts of one keyed request that reach the module in one call run once. The module orders to remember the
// first only after that call, so without the check within a call each of them would run.
func TestTriesThatComeTogetherRunOnce(t *testing.T) {
	r := newRig(t, nil)
	set := testSettings
	set.Classes = []policy.Class{{Name: "pay", Aim: 2 * time.Second, Deadline: 5 * time.Second, Worth: 1, Safety: policy.Keyed, KeyTTL: 10 * time.Second}}
	r.Adopt(set)
	in, release := make(chan struct{}), make(chan struct{})
	r.AfterPendingEvents(func() { close(in); <-release })
	<-in // Run is blocked until all three attempts are in its inbox
	for id := 1; id <= 3; id++ {
		q := &Request{ID: fmt.Sprintf("%016x", id), Class: "pay", ArrivedAt: begin, WaitMS: 3000, KB: 1, IdempotencyKey: "ab"}
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
	// Of queued attempts of one request the newest runs and the others are refused.
	if fmt.Sprint(got) != fmt.Sprint([]string{"0 A", "1 ", "1 "}) || len(r.hand.started) > 0 {
		t.Errorf("answers %q, %d further attempts started", got, len(r.hand.started))
	}
}

// After new settings open requests keep their class: one whose class was removed still ends normally. Later requests of a
// removed class are refused.
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
	if f := r.Metrics(); f.OK["book"] != 1 || f.OK["order"] != 1 || f.Shed["book"] != 1 || f.Attempts != 2 || f.Active != 0 {
		t.Errorf("metrics %+v", f)
	}
}

// settled is a fake effect log that records how effects end.
type settled struct{ ended chan string }

func (s settled) Begin(string) (bool, error) { return true, nil }
func (s settled) Ended(id string, ok bool)   { s.ended <- fmt.Sprint(id, " ", ok) }

// The effect log receives the end of each attempt that has an effect, and none of a read.
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
		t.Errorf("effect log received %q for a success", got)
	}
	r.open(3, "book", "", begin)
	a := <-r.hand.started
	a.Notify(Notice{Ended: true, Outcome: policy.Failed})
	if got := <-l.ended; got != fmt.Sprintf("%016x false", 3) {
		t.Errorf("effect log received %q for a failure", got)
	}
}

// caller is a fake Runner and Below that reports whether a downstream call was made or skipped.
type caller struct {
	hand
	chose chan string
}

func (c *caller) Skip(*Attempt, uint64) { c.chose <- "skip" }
func (c *caller) Call(ctx context.Context, _ string, _ float64, _ []byte) (policy.Outcome, []byte) {
	c.chose <- "call"
	return policy.OK, nil
}

// The downstream share is read before each call of the module, and a function given to Then runs once the module has the
// new share.
func TestShareIsAskedForBeforeEachChoice(t *testing.T) {
	set := testSettings
	set.Below, set.BelowShare, set.CallSpan = true, 100, 5*time.Second
	set.Classes = []policy.Class{{Name: "read", Aim: 2 * time.Second, Deadline: 5 * time.Second, Worth: 1, Calls: true, SkipWorth: 0.5}}
	h := &caller{hand{make(chan *Attempt, 10)}, make(chan string, 10)}
	clk := clock.Manual(begin)
	c := New(clk, zerolog.Nop(), set, 1, h, h, nil)
	var share atomic.Int64
	c.SetDownstreamShareFunc(func() float64 { return float64(share.Load()) })
	c.RunnerStarted(false)
	go c.Run()
	t.Cleanup(c.Stop)
	for id, want := range []string{"skip", "call", "skip"} {
		share.Store(int64(100 * (id % 2)))
		in := make(chan struct{})
		c.AfterPendingEvents(func() { close(in) })
		<-in
		c.Open(&Request{ID: fmt.Sprintf("%016x", id), Class: "read", ArrivedAt: begin, WaitMS: 3000, KB: 1}, func(Outcome) {})
		a := <-h.started
		a.Notify(Notice{Number: 1})
		if got := <-h.chose; got != want {
			t.Errorf("with a share of %d: %s, want %s", share.Load(), got, want)
		}
	}
}

// Run processes the drain notice late: the grace window in which new requests may still run counts from the arrival of
// the notice, and compares with the time at which a request reached the machine, not with when it is read.
func TestDrainWindowCountsFromTheNotice(t *testing.T) {
	r := newRig(t, nil)
	set := testSettings
	set.DrainGrace = 2500 * time.Millisecond
	r.Adopt(set)
	in, release := make(chan struct{}), make(chan struct{})
	r.AfterPendingEvents(func() { close(in); <-release })
	<-in
	r.Drain(begin, begin+9000)
	r.clock.Set(begin + 200)
	close(release)
	handled := make(chan struct{})
	r.AfterPendingEvents(func() { close(handled) })
	<-handled
	r.clock.Set(begin + 2690)
	r.open(1, "book", "", begin+2600)
	r.want(fmt.Sprintf("1 %d ", Refused))
	r.open(2, "book", "", begin+2500)
	r.end(<-r.hand.started, "A", 1)
	r.want("2 0 A")
}

// New settings remove a keyed class or make it safe: another attempt of a request that ran still gets its result, and one
// that comes while the request runs fails. Without the key table's own check the module would refuse such attempts, or
// run them again.
func TestTiesHoldWhereTheClassWent(t *testing.T) {
	pay := policy.Class{Name: "pay", Aim: 2 * time.Second, Deadline: 5 * time.Second, Worth: 4, Safety: policy.Keyed, KeyTTL: 30 * time.Second}
	safe := pay
	safe.Safety = policy.Safe
	for what, after := range map[string][]policy.Class{"class removed": testSettings.Classes, "class made safe": append(slices.Clone(testSettings.Classes), safe)} {
		r := newRig(t, nil)
		set := testSettings
		set.Classes = append(slices.Clone(set.Classes), pay)
		r.Adopt(set)
		try := func(id int, once, body string) {
			r.Open(&Request{ID: fmt.Sprintf("%016x", id), Class: "pay", ArrivedAt: begin, WaitMS: 3000, KB: 1, IdempotencyKey: once, Body: []byte(body)}, func(o Outcome) {
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
		if f := r.Metrics(); f.Attempts != 2 {
			t.Errorf("%s: %d attempts ran, want 2", what, f.Attempts)
		}
	}
}

// A keyed request's attempt ends without having run, and its caller sends another attempt as soon as it has the answer:
// that one runs. If the answer preceded the end, the second would be taken to repeat a running attempt, and fail with it.
func TestAnotherTryComesWithTheAnswer(t *testing.T) {
	r := newRig(t, nil)
	set := testSettings
	set.Classes = []policy.Class{{Name: "pay", Aim: 2 * time.Second, Deadline: 5 * time.Second, Worth: 1, Safety: policy.Keyed, KeyTTL: 10 * time.Second}}
	r.Adopt(set)
	try := func(id int) *Request {
		return &Request{ID: fmt.Sprintf("%016x", id), Class: "pay", ArrivedAt: begin, WaitMS: 3000, KB: 1, IdempotencyKey: "ab"}
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
	a.Notify(Notice{Ended: true, Outcome: policy.Moot})
	if got := <-heard; got != try(2).ID {
		t.Errorf("started: %s, want the second attempt", got)
	}
}
