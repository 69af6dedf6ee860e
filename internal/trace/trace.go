// Package trace writes down what a process believed and did, for a checker that reads the traces of all. It is off but
// in the laboratory.
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

// Event is one line. At and Until are the machine's one clock, in ms, whatever the process's own clock runs at.
type Event struct {
	At     float64 `json:"at"`
	Who    string  `json:"who"`
	What   string  `json:"what"`
	Duty   string  `json:"duty,omitempty"`
	Epoch  uint64  `json:"epoch,omitempty"`
	Until  float64 `json:"until,omitempty"`
	Amount int64   `json:"amount,omitempty"`
	Cause  string  `json:"cause,omitempty"`
	Index  uint64  `json:"index,omitempty"`
	Term   uint64  `json:"term,omitempty"`
	Began  float64 `json:"began,omitempty"` // of an act: when it was sent
	N      uint64  `json:"n,omitempty"`
	Text   string  `json:"text,omitempty"`
}

// What happens.
const (
	Up      = "up"      // the process has started
	Gained  = "gained"  // it holds a duty until Until
	Held    = "held"    // renewed until Until
	Ended   = "ended"   // it holds it no more
	Sent    = "sent"    // an act is about to be sent; what comes of it has the same Began
	Act     = "act"     // carried out
	Refused = "refused" // for its epoch
	Unknown = "unknown" // sent, and not confirmed
	Share   = "share"   // Amount is in force until Until
	Office  = "office"  // a copy begins to grant duties in Term
	Copy    = "copy"    // a copy is in phase Text, for Cause
	Applied = "applied" // a copy carried out entry Index
	Begun   = "begun"   // an effect was recorded
	Took    = "took"    // a published version was taken whole; Cause: turned down
	Exec    = "exec"    // a stand-in ran something

	// Of records; N is a revision and Text the digest of all records there.
	Agreed    = "agreed"    // a copy of the store has commit N
	InForce   = "in-force"  // commits Index to N came into force
	Installed = "installed" // all records were taken as of N, from a snapshot or the disk
	Reported  = "reported"  // N was reported to be in force
)

// Log writes events. A nil Log writes none.
type Log struct {
	who   string
	own   *clock.Clock // the process's steady clock, which may run apart
	one   *clock.Clock // the machine's
	mu    sync.Mutex
	f     *os.File
	write *bufio.Writer
}

// Open appends to a file.
func Open(path, who string, own *clock.Clock) (*Log, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, fmt.Errorf("trace: %w", err)
	}
	return &Log{who: who, own: own, one: clock.Monotonic(), f: f, write: bufio.NewWriter(f)}, nil
}

// Add writes an event, whole and at once: the process may be killed at any time. until is a time of the process's own
// clock; 0: none.
func (l *Log) Add(e Event, until float64) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	e.Who = l.who
	// Own clock first: a stall between the two readings can only make the end look later than it is believed.
	own := l.own.Now()
	e.At = l.one.Now()
	if until > 0 {
		e.Until = e.At + (until-own)/l.own.Rate()
	}
	if b, err := json.Marshal(e); err == nil {
		l.write.Write(append(b, '\n'))
		l.write.Flush()
	}
}

// Close ends the log.
func (l *Log) Close() {
	if l != nil {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.f.Close()
	}
}

// Read reads a trace; a last line that was cut by a kill is left out.
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
