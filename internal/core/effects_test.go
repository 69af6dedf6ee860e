package core

import (
	"context"
	"fmt"
	"runtime"
	"testing"
)

// hangingEffectLog is a fake effect log that records an effect only when the test lets it, as a store without a leader does.
type hangingEffectLog struct {
	begun  chan string
	record chan bool // whether the effect is new
	ended  chan string
}

func newHangingEffectLog() *hangingEffectLog {
	return &hangingEffectLog{make(chan string, 10), make(chan bool), make(chan string, 10)}
}

func (l *hangingEffectLog) Begin(_ context.Context, id string) (bool, error) {
	l.begun <- id
	return <-l.record, nil
}

func (l *hangingEffectLog) Ended(id string, ok bool) { l.ended <- fmt.Sprint(id, " ", ok) }

// wantUnrun lets the pending record come into being, and expects that it is reported as failed and that nothing ran.
func (l *hangingEffectLog) wantUnrun(r *fixture, id int) {
	r.t.Helper()
	l.record <- true
	if got, want := <-l.ended, fmt.Sprintf("%016x false", id); got != want {
		r.t.Errorf("effect log received %q, want %q", got, want)
	}
	if len(r.runner.started) > 0 {
		r.t.Error("an effect ran after its request had ended")
	}
}

// The record of an effect hangs: the request is refused at its due time, and does not run when the record comes. Guards against
// answers that wait for a silent leader of the store.
func TestAnswerAtDueTimeWhileEffectIsRecorded(t *testing.T) {
	for _, class := range []string{"book", "pay"} {
		effectLog := newHangingEffectLog()
		r := newKeyedFixtureWithLog(t, effectLog, 8)
		open := func(id int) { r.open(id, class, "", startMS) }
		if class == "pay" {
			open = func(id int) { r.pay(id, "aa") }
		}
		open(1)
		<-effectLog.begun
		r.advance(3000)
		r.wantAnswer(fmt.Sprintf("1 %d ", Refused))
		r.waitForOpen(0)
		effectLog.wantUnrun(r, 1)
		r.clock.Set(startMS) // the retry has as much time as the first attempt
		open(2)
		<-effectLog.begun
		effectLog.record <- true
		r.succeed(<-r.runner.started, "A", 1)
		r.wantAnswer("2 0 A")
	}
}

// A drain ends while the record of an effect hangs: the request has its answer before the stop, and nothing is left open.
func TestDrainAnswersWhileEffectIsRecorded(t *testing.T) {
	effectLog := newHangingEffectLog()
	r := newKeyedFixtureWithLog(t, effectLog, 8)
	r.open(1, "book", "", startMS)
	<-effectLog.begun
	r.Drain(startMS, startMS+1000)
	r.advance(999)
	r.wantAnswer(fmt.Sprintf("1 %d ", Refused))
	for r.Unanswered() != 0 {
		runtime.Gosched()
	}
	effectLog.wantUnrun(r, 1)
}

// A caller goes while the record of its effect hangs: the request ends at once and does not run.
func TestCallerGoneWhileEffectIsRecorded(t *testing.T) {
	effectLog := newHangingEffectLog()
	r := newKeyedFixtureWithLog(t, effectLog, 8)
	h := r.open(1, "book", "", startMS)
	<-effectLog.begun
	h.CallerGone()
	r.waitForOpen(0)
	effectLog.wantUnrun(r, 1)
	if len(r.answers) > 0 {
		t.Errorf("answer %q to a caller that had gone", <-r.answers)
	}
}

// The context of a record ends once its request has ended, so that the effect log stops waiting.
func TestContextOfRecordEndsWithRequest(t *testing.T) {
	effectLog := make(contextEffectLog, 1)
	r := newKeyedFixtureWithLog(t, effectLog, 8)
	r.open(1, "book", "", startMS)
	ctx := <-effectLog
	r.advance(2900)
	if ctx.Err() != nil {
		t.Error("the context ended before the due time")
	}
	r.advance(3000)
	r.wantAnswer(fmt.Sprintf("1 %d ", Refused))
	<-ctx.Done()
}

// contextEffectLog is a fake effect log that waits until the context ends.
type contextEffectLog chan context.Context

func (l contextEffectLog) Begin(ctx context.Context, _ string) (bool, error) {
	l <- ctx
	<-ctx.Done()
	return false, ctx.Err()
}
