// Package configwatch carries configuration over sockets: a Server serves watchers from a feed, at the copies of the store and
// at relays; a Client watches for one process. What is decided is in package distribution, what is held in package records.
package configwatch

import (
	"errors"
	"fmt"
	"time"

	"puffinsaddle/internal/distribution"
	"puffinsaddle/internal/frame"
	"puffinsaddle/internal/records"
)

const (
	maxMessageBytes     = 640 << 10 // bytes of a message to a watcher; a piece of a snapshot is the largest
	maxReportBytes      = 32 << 10  // bytes of a message to a feed
	maxNameBytes        = 128
	firstMessageTimeout = 2 * time.Second // in which a watcher says what it wants
	writeTimeout        = 2 * time.Second // in which a watcher takes one batch; past that it reads too slowly
	heartbeatIntervalMS = 1000.0          // between two messages of a feed, and two reports of a watcher, at most
	feedIdleTimeout     = 3 * time.Second // after which a feed is taken for gone
	maxBatchBytes       = 64 << 10        // of commits written at once
	sendBufferBytes     = 128 << 10       // of the system, for one watcher
	reportIdleTimeout   = 10 * time.Second
)

// Watch is the first message of a watcher.
type Watch struct {
	Name     string                `json:"name"`
	Position distribution.Position `json:"at"`
	IsRelay  bool                  `json:"relay,omitempty"`  // it serves others
	Region   string                `json:"region,omitempty"` // of a relay
}

func (w Watch) check() error {
	if w.Name == "" || len(w.Name) > maxNameBytes {
		return fmt.Errorf("configwatch: a watch needs a name of 1 to %d characters", maxNameBytes)
	}
	if len(w.Region) > maxNameBytes {
		return fmt.Errorf("configwatch: a region of more than %d characters", maxNameBytes)
	}
	return nil
}

// Refusal sends a watcher away.
type Refusal struct {
	RetryMS            float64  `json:"retry_ms"` // it may come back then
	AlternateAddresses []string `json:"elsewhere,omitempty"`
	Reason             string   `json:"reason"`
}

// Error tells the reason.
func (r *Refusal) Error() string { return "configwatch: refused: " + r.Reason }

// watcherMessage is a message of a watcher. One of its parts is set.
type watcherMessage struct {
	Watch  *Watch               `json:"watch,omitempty"`
	Report *distribution.Report `json:"report,omitempty"`
}

// feedMessage is a message of a feed. One of its parts is set. A commit is packed behind commitPrefix, since commits are most of
// what is sent; the others are JSON, which begins with another byte.
type feedMessage struct {
	Commit    *records.Commit `json:"-"`
	Header    *records.Header `json:"header,omitempty"` // a snapshot begins
	Chunk     *records.Chunk  `json:"piece,omitempty"`
	Heartbeat *uint64         `json:"heartbeat,omitempty"` // the latest revision
	Refusal   *Refusal        `json:"refused,omitempty"`
}

// Errors of a connection.
var (
	errEmptyMessage     = errors.New("configwatch: a message without a part")
	errSnapshotOrder    = errors.New("configwatch: a piece without a snapshot")
	errSecondWatch      = errors.New("configwatch: a second watch on one connection")
	errNoWatch          = errors.New("configwatch: a report before a watch")
	errDivergentRecords = errors.New("configwatch: other records are held at this revision than were agreed on")
)

const commitPrefix = 1 // the first byte of a message that is a commit

// EncodeCommit is a commit in the form in which it is sent.
func EncodeCommit(c records.Commit) ([]byte, error) {
	return frame.AppendBytes(nil, records.AppendCommit([]byte{commitPrefix}, c), maxMessageBytes)
}

// decode reads the content of a message of a feed.
func decode(content []byte) (m feedMessage, err error) {
	if content[0] != commitPrefix {
		return m, frame.Decode(content, &m)
	}
	c, err := records.ParseCommit(content[1:])
	if err != nil {
		return m, fmt.Errorf("configwatch: %w", err)
	}
	m.Commit = &c
	return m, nil
}
