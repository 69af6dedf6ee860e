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

const startMS = 1.7e12 // initial time of the tests' clock, in Unix milliseconds

// fakeRunner is a fake Runner and Downstream whose attempts the test ends.
type fakeRunner struct{ started chan *Attempt }

func (h *fakeRunner) Start(a *Attempt)                { h.started <- a }
func (h *fakeRunner) Return(*Attempt, uint64, []byte) {}
func (h *fakeRunner) Skip(*Attempt, uint64)           {}
func (h *fakeRunner) Abandon(*Attempt)                {}
func (h *fakeRunner) ReadGauges(func([]float64))      {}
func (h *fakeRunner) Diagnose(func(bool)) bool        { return false }
func (h *fakeRunner) Call(context.Context, string, float64, []byte) (policy.Outcome, []byte) {
	return policy.Unreachable, nil
}

var testSettings = policy.Settings{
	Classes: []policy.Class{{Name: "read", Aim: 2 * time.Second, Deadline: 5 * time.Second, Worth: 1},
		{Name: "book", Aim: 2 * time.Second, Deadline: 5 * time.Second, Worth: 4, Safety: policy.Unsafe}},
	Cores: 8, MemoryKB: 1e6, RunMemoryFactor: 4, MaxRunningPerCore: 8, SharedResultTTL: 200 * time.Millisecond, PassesDeadline: true,
	BusyGauge: -1, RunnableGauge: -1, MemoryGauge: -1, ConnectionGauge: -1,
}

type fixture struct {
	*Core
	t       *testing.T
	clock   *clock.Clock
	runner  *fakeRunner
	answers chan string
}

func newFixture(t *testing.T, effectLog EffectLog) *fixture {
	return newFixtureWithLog(t, effectLog, zerolog.Nop())
}

func newFixtureWithLog(t *testing.T, effectLog EffectLog, log zerolog.Logger) *fixture {
	h := &fakeRunner{make(chan *Attempt, 10)}
	clk := clock.Manual(startMS)
	c := New(clk, log, testSettings, 1, h, h, effectLog)
	c.RunnerStarted(false)
	go c.Run()
	t.Cleanup(c.Stop)
	return &fixture{c, t, clk, h, make(chan string, 10)}
}

func (r *fixture) open(id int, class, key string, at float64) *Handler {
	q := &Request{ID: fmt.Sprintf("%016x", id), Class: class, ArrivedAt: at, WaitMS: 3000, KB: 1, Key: key}
	return r.Open(q, func(o Outcome) { r.answers <- fmt.Sprintf("%d %d %s", id, o.Verdict, o.Result) })
}

// waitForArrival waits until the arrival of a request of a known class has been processed.
func (r *fixture) waitForArrival(h *Handler) {
	for arrived := false; !arrived; runtime.Gosched() {
		r.runAndWait(func() { arrived = h.knownClass })
	}
}

func (r *fixture) succeed(a *Attempt, result string, took float64) {
	a.Notify(Notice{Ended: true, Outcome: policy.OK, TookMS: took, Body: pool.Copy([]byte(result))})
}

// waitForOpen waits until the given number of requests is left, so that events sent afterwards follow the ends of the
// others.
func (r *fixture) waitForOpen(left int) {
	for open := left + 1; open > left; runtime.Gosched() {
		r.mu.Lock()
		open = len(r.handlers)
		r.mu.Unlock()
	}
}

func (r *fixture) wantAnswer(answer string) {
	r.t.Helper()
	if got := <-r.answers; got != answer {
		r.t.Errorf("answer %q, want %q", got, answer)
	}
}

// A read may share a result if the result was fresh when the read arrived, not when the read is processed; and freshness
// counts from when the result was made, not from when its notice arrived.
func TestResultFreshnessCountsFromArrival(t *testing.T) {
	r := newFixture(t, nil)
	r.open(1, "read", "k", startMS)
	first := <-r.runner.started
	r.open(2, "read", "k", startMS)
	r.open(3, "read", "other", startMS)
	other := <-r.runner.started // the second read of k waits for the first, so it was not started before this one
	r.clock.Set(startMS + 100)
	r.succeed(first, "A", 100)
	got := map[string]bool{<-r.answers: true, <-r.answers: true}
	if !got["1 0 A"] || !got["2 0 A"] {
		t.Errorf("answers %v", got)
	}
	r.clock.Set(startMS + 250)
	r.open(4, "read", "k", startMS+240)
	r.wantAnswer("4 0 A")
	r.open(5, "read", "k", startMS+301) // arrived 201 ms after the result was made
	r.succeed(<-r.runner.started, "B", 1)
	r.wantAnswer("5 0 B")
	r.clock.Set(startMS + 450)
	r.succeed(other, "C", 10) // its notice is late: the result was made at 10 ms, so it is no longer fresh at 440 ms
	r.wantAnswer("3 0 C")
	r.waitForOpen(0) // otherwise the next read may precede the end, and wait for an attempt that is taken to be running
	r.open(6, "read", "other", startMS+440)
	r.succeed(<-r.runner.started, "D", 1)
	r.wantAnswer("6 0 D")
}

// The notice of a read's end is late, and other reads have come meanwhile: those for which its result is too old get that of a run of
// their own. Guards against errors to reads that waited for a result which they must not share.
func TestReadsRunAfterLateNotice(t *testing.T) {
	r := newFixture(t, nil)
	r.open(1, "read", "k", startMS)
	first := <-r.runner.started
	for i, arrivedMS := range []float64{150, 1000, 1001} {
		r.clock.Set(startMS + arrivedMS)
		r.waitForArrival(r.open(2+i, "read", "k", startMS+arrivedMS))
	}
	r.succeed(first, "A", 10)
	var got []string
	for len(got) < 4 {
		select {
		case answer := <-r.answers:
			got = append(got, answer)
		case second := <-r.runner.started:
			r.succeed(second, "B", 1)
		}
	}
	slices.Sort(got)
	if want := []string{"1 0 A", "2 0 A", "3 0 B", "4 0 B"}; !slices.Equal(got, want) {
		t.Errorf("answers %q, want %q", got, want)
	}
}

// A request is answered at its due time without waiting for the gauges or for the end of its attempt.
func TestAnswerAtDueTimeWithoutGauges(t *testing.T) {
	r := newFixture(t, nil)
	r.open(1, "book", "", startMS)
	a := <-r.runner.started
	for now := startMS; now < startMS+3000; now += 500 { // the timers that fall due wake the module
		r.clock.Set(now)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.wantAnswer(fmt.Sprintf("1 %d ", Overdue))
	}()
	for answered := false; !answered; {
		select {
		case <-done:
			answered = true
		default:
			r.clock.Set(r.clock.Now() + 1)
		}
	}
	for r.Unanswered() != 0 { // reaches 0 right after the answer, while the attempt still runs
		runtime.Gosched()
	}
	r.succeed(a, "late", 3500)
}

type failingEffectLog struct{}

func (failingEffectLog) Begin(context.Context, string) (bool, error) {
	return false, errors.New("no quorum")
}

// An effect that can't be recorded does not run and is refused, so that it may be retried on another server. A read needs
// no record.
func TestUnrecordedEffectIsRefused(t *testing.T) {
	r := newFixture(t, failingEffectLog{})
	r.open(1, "book", "", startMS)
	r.wantAnswer(fmt.Sprintf("1 %d ", Refused))
	r.open(2, "read", "", startMS)
	r.succeed(<-r.runner.started, "A", 1)
	r.wantAnswer("2 0 A")
	if len(r.runner.started) > 0 {
		t.Error("an effect without a record ran")
	}
}

// The effect log in memory removes effects by age only: no number of effects makes it forget one whose ID may still be
// accepted in a request.
func TestMemoryEffectLogRemovesByAgeOnly(t *testing.T) {
	clk := clock.Manual(startMS)
	effectLog := newMemoryEffectLog(clk)
	want := func(n int, want bool) {
		t.Helper()
		if got, err := effectLog.Begin(context.Background(), fmt.Sprintf("%016x", n)); got != want || err != nil {
			t.Errorf("Begin of effect %d: %v, %v", n, got, err)
		}
	}
	want(0, true)
	clk.Set(startMS + effectRetentionMS)
	for n := 1; n <= 1<<16; n++ {
		want(n, true)
	}
	want(0, false)
	clk.Set(startMS + effectRetentionMS + 1)
	want(1<<17, true)
	want(0, true)
	want(1, false)
	if _, err := effectLog.Begin(context.Background(), "none"); err == nil {
		t.Error("a malformed ID was accepted")
	}
}

// Several attempts of one keyed request that reach the module in one call run once. The module returns StoreKey for
// the first only at the end of that call, so without the check within a call each of them would run.
func TestConcurrentKeyedAttemptsRunOnce(t *testing.T) {
	r := newFixture(t, nil)
	set := testSettings
	set.Classes = []policy.Class{{Name: "pay", Aim: 2 * time.Second, Deadline: 5 * time.Second, Worth: 1, Safety: policy.Keyed, KeyTTL: 10 * time.Second}}
	r.Adopt(set)
	blocked, release := make(chan struct{}), make(chan struct{})
	r.AfterPendingEvents(func() { close(blocked); <-release })
	<-blocked // Run is blocked until all three attempts are in its inbox
	for id := 1; id <= 3; id++ {
		q := &Request{ID: fmt.Sprintf("%016x", id), Class: "pay", ArrivedAt: startMS, WaitMS: 3000, KB: 1, IdempotencyKey: "ab"}
		r.Open(q, func(o Outcome) { r.answers <- fmt.Sprintf("%d %s", o.Verdict, o.Result) })
	}
	for queued := 0; queued < 3; runtime.Gosched() {
		queued = r.inbox.Len()
	}
	close(release)
	attempt := <-r.runner.started
	r.succeed(attempt, "A", 1)
	got := []string{<-r.answers, <-r.answers, <-r.answers}
	slices.Sort(got)
	// Of queued attempts of one request the newest runs and the others are refused.
	if fmt.Sprint(got) != fmt.Sprint([]string{"0 A", "1 ", "1 "}) || len(r.runner.started) > 0 {
		t.Errorf("answers %q, %d further attempts started", got, len(r.runner.started))
	}
}

// After new settings open requests keep their class: one whose class was removed still ends normally. Later requests of a
// removed class are refused.
func TestOpenRequestsKeepTheirClass(t *testing.T) {
	r := newFixture(t, nil)
	r.open(1, "book", "", startMS)
	old := <-r.runner.started
	set := testSettings
	set.Classes = []policy.Class{testSettings.Classes[0], {Name: "order", Aim: 2 * time.Second, Deadline: 5 * time.Second, Worth: 4, Safety: policy.Unsafe}}
	r.Adopt(set)
	r.open(2, "order", "", startMS)
	r.succeed(<-r.runner.started, "new", 1)
	r.wantAnswer("2 0 new")
	r.open(3, "book", "", startMS)
	r.wantAnswer(fmt.Sprintf("3 %d ", Refused))
	r.succeed(old, "old", 1)
	r.wantAnswer("1 0 old")
	if m := r.Metrics(); m.OK["book"] != 1 || m.OK["order"] != 1 || m.Shed["book"] != 1 || m.Attempts != 2 || m.Active != 0 {
		t.Errorf("metrics %+v", m)
	}
}

// recordingEffectLog is a fake effect log that records how effects end.
type recordingEffectLog struct{ ended chan string }

func (l recordingEffectLog) Begin(context.Context, string) (bool, error) { return true, nil }
func (l recordingEffectLog) Ended(id string, ok bool)                    { l.ended <- fmt.Sprint(id, " ", ok) }

// The effect log receives the end of each attempt that has an effect, and none of a read.
func TestEffectLogReceivesEffectEnds(t *testing.T) {
	effectLog := recordingEffectLog{make(chan string, 10)}
	r := newFixture(t, effectLog)
	r.open(1, "read", "", startMS)
	r.succeed(<-r.runner.started, "A", 1)
	r.wantAnswer("1 0 A")
	r.open(2, "book", "", startMS)
	r.succeed(<-r.runner.started, "B", 1)
	r.wantAnswer("2 0 B")
	if got := <-effectLog.ended; got != fmt.Sprintf("%016x true", 2) {
		t.Errorf("effect log received %q for a success", got)
	}
	r.open(3, "book", "", startMS)
	a := <-r.runner.started
	a.Notify(Notice{Ended: true, Outcome: policy.Failed})
	if got := <-effectLog.ended; got != fmt.Sprintf("%016x false", 3) {
		t.Errorf("effect log received %q for a failure", got)
	}
}

// callRecorder is a fake Runner and Downstream that reports whether a downstream call was made or skipped.
type callRecorder struct {
	fakeRunner
	decisions chan string
}

func (c *callRecorder) Skip(*Attempt, uint64) { c.decisions <- "skip" }
func (c *callRecorder) Call(ctx context.Context, _ string, _ float64, _ []byte) (policy.Outcome, []byte) {
	c.decisions <- "call"
	return policy.OK, nil
}

// The downstream share is read before each call of the module, and a function given to AfterPendingEvents runs once the
// module has the new share.
func TestDownstreamShareIsReadBeforeEachDecision(t *testing.T) {
	set := testSettings
	set.HasDownstream, set.DownstreamShare, set.CallPeriod = true, 100, 5*time.Second
	set.Classes = []policy.Class{{Name: "read", Aim: 2 * time.Second, Deadline: 5 * time.Second, Worth: 1, Calls: true, SkipWorth: 0.5}}
	h := &callRecorder{fakeRunner{make(chan *Attempt, 10)}, make(chan string, 10)}
	clk := clock.Manual(startMS)
	c := New(clk, zerolog.Nop(), set, 1, h, h, nil)
	var share atomic.Int64
	c.SetDownstreamShareFunc(func() float64 { return float64(share.Load()) })
	c.RunnerStarted(false)
	go c.Run()
	t.Cleanup(c.Stop)
	for id, want := range []string{"skip", "call", "skip"} {
		share.Store(int64(100 * (id % 2)))
		inForce := make(chan struct{})
		c.AfterPendingEvents(func() { close(inForce) })
		<-inForce
		c.Open(&Request{ID: fmt.Sprintf("%016x", id), Class: "read", ArrivedAt: startMS, WaitMS: 3000, KB: 1}, func(Outcome) {})
		a := <-h.started
		a.Notify(Notice{Number: 1})
		if got := <-h.decisions; got != want {
			t.Errorf("with a share of %d: %s, want %s", share.Load(), got, want)
		}
	}
}

// Run processes the drain notice late: the grace window in which new requests may still run counts from the arrival of
// the notice, and compares with the time at which a request reached the machine, not with when it is read.
func TestDrainGraceCountsFromNotice(t *testing.T) {
	r := newFixture(t, nil)
	set := testSettings
	set.DrainGrace = 2500 * time.Millisecond
	r.Adopt(set)
	blocked, release := make(chan struct{}), make(chan struct{})
	r.AfterPendingEvents(func() { close(blocked); <-release })
	<-blocked
	r.Drain(startMS, startMS+9000)
	r.clock.Set(startMS + 200)
	close(release)
	handled := make(chan struct{})
	r.AfterPendingEvents(func() { close(handled) })
	<-handled
	r.clock.Set(startMS + 2690)
	r.open(1, "book", "", startMS+2600)
	r.wantAnswer(fmt.Sprintf("1 %d ", Refused))
	r.open(2, "book", "", startMS+2500)
	r.succeed(<-r.runner.started, "A", 1)
	r.wantAnswer("2 0 A")
}

// New settings remove a keyed class or make it safe: another attempt of a request that ran still gets its result, and one
// that comes while the request runs fails. Without the key table's own check the module would refuse such attempts, or
// run them again.
func TestKeyedAttemptsOutliveTheirClass(t *testing.T) {
	pay := policy.Class{Name: "pay", Aim: 2 * time.Second, Deadline: 5 * time.Second, Worth: 4, Safety: policy.Keyed, KeyTTL: 30 * time.Second}
	safe := pay
	safe.Safety = policy.Safe
	for name, after := range map[string][]policy.Class{
		"class removed":   testSettings.Classes,
		"class made safe": append(slices.Clone(testSettings.Classes), safe),
	} {
		r := newFixture(t, nil)
		set := testSettings
		set.Classes = append(slices.Clone(set.Classes), pay)
		r.Adopt(set)
		send := func(id int, once, body string) {
			r.Open(&Request{ID: fmt.Sprintf("%016x", id), Class: "pay", ArrivedAt: startMS, WaitMS: 3000, KB: 1, IdempotencyKey: once, Body: []byte(body)}, func(o Outcome) {
				r.answers <- fmt.Sprintf("%d %d %s", id, o.Verdict, o.Result)
			})
		}
		send(1, "aa", "a")
		r.succeed(<-r.runner.started, "A", 1)
		r.wantAnswer("1 0 A")
		send(2, "bb", "b")
		running := <-r.runner.started
		r.waitForOpen(1)
		set.Classes = after
		r.Adopt(set)
		send(3, "aa", "a")
		r.wantAnswer("3 0 A")
		send(4, "aa", "another")
		r.wantAnswer(fmt.Sprintf("4 %d ", Failed))
		send(5, "bb", "b")
		r.wantAnswer(fmt.Sprintf("5 %d ", Failed))
		r.succeed(running, "B", 1)
		r.wantAnswer("2 0 B")
		r.waitForOpen(0)
		send(6, "bb", "b")
		r.wantAnswer("6 0 B")
		if m := r.Metrics(); m.Attempts != 2 {
			t.Errorf("%s: %d attempts ran, want 2", name, m.Attempts)
		}
	}
}

// A keyed request's attempt ends without having run, and its caller sends another attempt as soon as it has the answer:
// that one runs. If the answer preceded the end, the second would be taken to repeat a running attempt, and fail with it.
func TestRetryRightAfterAnswerRuns(t *testing.T) {
	r := newFixture(t, nil)
	set := testSettings
	set.Classes = []policy.Class{{Name: "pay", Aim: 2 * time.Second, Deadline: 5 * time.Second, Worth: 1, Safety: policy.Keyed, KeyTTL: 10 * time.Second}}
	r.Adopt(set)
	attempt := func(id int) *Request {
		return &Request{ID: fmt.Sprintf("%016x", id), Class: "pay", ArrivedAt: startMS, WaitMS: 3000, KB: 1, IdempotencyKey: "ab"}
	}
	started := make(chan string, 1)
	r.Open(attempt(1), func(Outcome) {
		r.Open(attempt(2), func(Outcome) {})
		select {
		case a := <-r.runner.started:
			started <- a.Request.ID
		case <-time.After(10 * time.Second):
			started <- "nothing"
		}
	})
	a := <-r.runner.started
	a.Notify(Notice{Ended: true, Outcome: policy.NotRun})
	if got := <-started; got != attempt(2).ID {
		t.Errorf("started: %s, want the second attempt", got)
	}
}
