package core

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

// owingFront is a fake Front on which something is always owed.
type owingFront struct{ owed Owed }

func (owingFront) Drain()               {}
func (owingFront) StopAccepting()       {}
func (owingFront) Yield()               {}
func (owingFront) Flushed() bool        { return false }
func (f owingFront) CloseSettled() Owed { return f.owed }
func (owingFront) Close()               {}

// logRecord is a log line of a process that ends.
type logRecord struct {
	Message    string      `json:"message"`
	Reason     closeReason `json:"reason"`
	Owed       int         `json:"owed"`
	Unanswered int         `json:"unanswered"`
	Unwritten  int         `json:"unwritten"`
	Unread     int         `json:"unread"`
}

// logRecords passes log lines to the test.
type logRecords chan logRecord

func (l logRecords) Write(b []byte) (int, error) {
	var record logRecord
	if err := json.Unmarshal(b, &record); err != nil {
		return 0, err
	}
	l <- record
	return len(b), nil
}

// want reads the log up to the given line.
func (l logRecords) want(t *testing.T, want logRecord) {
	t.Helper()
	timeout := time.After(30 * time.Second)
	for {
		select {
		case got := <-l:
			if got == want {
				return
			}
			if got.Message == want.Message {
				t.Fatalf("logged %+v, want %+v", got, want)
			}
		case <-timeout:
			t.Fatalf("%+v was not logged", want)
		}
	}
}

// newLoggedFixture returns a fixture whose core logs to the test.
func newLoggedFixture(t *testing.T) (*fixture, logRecords) {
	lines := make(logRecords, 100)
	return newFixtureWithLog(t, nil, zerolog.New(lines)), lines
}

// The module hangs, so that it never gives its last answers. Guards against a process that is killed with open requests
// and has not logged them.
func TestOwedAnswersAreLoggedBeforeStop(t *testing.T) {
	r, lines := newLoggedFixture(t)
	r.open(1, "book", "", startMS)
	<-r.runner.started
	hangs, released := make(chan struct{}), make(chan struct{})
	r.AfterPendingEvents(func() { close(hangs); <-released })
	<-hangs
	defer close(released)
	shutdownDone := make(chan struct{})
	go func() {
		r.Shutdown(startMS, 1000, owingFront{Owed{Answers: 1, Writes: 2, Reads: 3}})
		close(shutdownDone)
	}()
	r.clock.Set(startMS + 1000 - warnBeforeMS)
	lines.want(t, logRecord{Message: "answers are owed shortly before the stop", Unanswered: 1})
	r.clock.Set(startMS + 1000 + lateAnswersMS)
	lines.want(t, logRecord{Message: "leaving", Reason: closeDeadline, Owed: 6, Unanswered: 1, Unwritten: 2, Unread: 3})
	<-shutdownDone
}

// A caller does not read its answer. Guards against a process that is killed with unwritten answers and has not logged them.
func TestUnwrittenAnswersAreLoggedBeforeStop(t *testing.T) {
	r, lines := newLoggedFixture(t)
	shutdownDone := make(chan struct{})
	go func() {
		r.Shutdown(startMS, 1000, owingFront{Owed{Writes: 2}})
		close(shutdownDone)
	}()
	for now := startMS; !r.hasStopped(); now = min(now+10, startMS+1000-warnBeforeMS-1) {
		r.clock.Set(now)
		time.Sleep(time.Millisecond)
	}
	r.clock.Set(startMS + 1000 - warnBeforeMS)
	lines.want(t, logRecord{Message: "answers are owed shortly before the stop", Unwritten: 2})
	r.clock.Set(startMS + 1000 + lateAnswersMS)
	lines.want(t, logRecord{Message: "leaving", Reason: closeDeadline, Owed: 2, Unwritten: 2})
	<-shutdownDone
}
