// Package trace records what a process believed and did, for a checker that reads the traces of all processes. Only
// processes that the fault-injection lab starts write a trace.
package trace

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"sync"

	"puffinsaddle/internal/clock"
)

// Event is one line of a trace. At, Until and Began are in ms of the machine's monotonic clock, whatever the rate of the
// process's own clock.
type Event struct {
	At     float64 `json:"at"`
	Who    string  `json:"who"`  // the process
	What   string  `json:"what"` // the kind of event
	Duty   string  `json:"duty,omitempty"`
	Epoch  uint64  `json:"epoch,omitempty"`
	Until  float64 `json:"until,omitempty"`
	Amount int64   `json:"amount,omitempty"` // of a share, in thousandths of a concurrent call
	Cause  string  `json:"cause,omitempty"`
	Index  uint64  `json:"index,omitempty"`
	Term   uint64  `json:"term,omitempty"`
	Began  float64 `json:"began,omitempty"` // of a fenced command: when it was sent
	N      uint64  `json:"n,omitempty"`
	Text   string  `json:"text,omitempty"`
}

// Kinds of events, the values of Event.What.
const (
	ProcessStarted     = "up"      // the process started
	LeaseGained        = "gained"  // the process holds a duty until Until
	LeaseRenewed       = "held"    // the lease was renewed until Until
	LeaseEnded         = "ended"   // the process no longer holds the duty
	CommandSent        = "sent"    // a fenced command is about to be sent; the event of its outcome has the same Began
	CommandExecuted    = "act"     // a fenced command was executed
	CommandRefused     = "refused" // a fenced command was refused because of its epoch
	CommandUnconfirmed = "unknown" // a fenced command was sent and its outcome is not known
	ShareInForce       = "share"   // a share of Amount is in force until Until
	TermStarted        = "office"  // a store replica starts to grant duties as leader of Term
	ReplicaPhase       = "copy"    // a store replica entered phase Text because of Cause
	EntryApplied       = "applied" // a store replica applied the log entry Index
	EffectBegun        = "begun"   // an effect was recorded in the effect log
	VersionTaken       = "took"    // a published version was accepted, or rejected for the reason in Cause
	EffectExecuted     = "exec"    // a fake executor ran an effect

	// Events of the records: N is a revision and Text the digest of all records at that revision.
	CommitAgreed     = "agreed"    // a store replica has commit N
	CommitsInForce   = "in-force"  // the commits Index to N came into force
	RecordsInstalled = "installed" // all records as of N were loaded from a snapshot or from disk
	RevisionReported = "reported"  // revision N was reported to be in force
)

// Log appends events to a file. A nil Log writes nothing.
type Log struct {
	process      string
	processClock *clock.Clock // the process's steady clock, whose rate may differ
	machineClock *clock.Clock // the machine's monotonic clock
	mu           sync.Mutex
	file         *os.File
	out          *bufio.Writer
}

// Open opens a trace file for appending.
func Open(path, process string, processClock *clock.Clock) (*Log, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, fmt.Errorf("trace: %w", err)
	}
	return &Log{process: process, processClock: processClock, machineClock: clock.Monotonic(), file: f, out: bufio.NewWriter(f)}, nil
}

// Add writes an event and flushes it at once, since the process may be killed at any time. until is in ms of the process's
// own clock; 0 means that the event has no end.
func (l *Log) Add(e Event, until float64) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	e.Who = l.process
	// The process's clock is read first: a stall between the two readings can only make the end later than the process
	// believes it to be.
	processNow := l.processClock.Now()
	e.At = l.machineClock.Now()
	if until > 0 {
		e.Until = e.At + (until-processNow)/l.processClock.Rate()
	}
	if b, err := json.Marshal(e); err == nil {
		l.out.Write(append(b, '\n'))
		l.out.Flush()
	}
}

// Close closes the trace file.
func (l *Log) Close() {
	if l != nil {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.file.Close()
	}
}

// Read reads a trace. A last line that a kill truncated is left out.
func Read(path string) ([]Event, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	var all []Event
	r := bufio.NewReader(f)
	for line := 1; ; line++ {
		b, err := r.ReadBytes('\n')
		if errors.Is(err, io.EOF) {
			return all, nil
		}
		if err != nil {
			return nil, err
		}
		var e Event
		if err := json.Unmarshal(b, &e); err != nil {
			return nil, fmt.Errorf("%s:%d: %w", path, line, err)
		}
		all = append(all, e)
	}
}
