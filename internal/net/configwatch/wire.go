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
	maxMessage    = 640 << 10 // bytes of a message to a watcher; a piece of a snapshot is the largest
	maxReport     = 32 << 10  // bytes of a message to a feed
	maxWatchName  = 128
	helloTimeout  = 2 * time.Second // in which a watcher says what it wants
	writeTimeout  = 2 * time.Second // in which a watcher takes one batch; past that it reads too slowly
	heartbeatMs   = 1000.0          // between two messages of a feed, and two reports of a watcher, at most
	silentTimeout = 3 * time.Second // after which a feed is taken for gone
	batchBytes    = 64 << 10        // of commits written at once
	sendBuffer    = 128 << 10       // of the system, for one watcher
	reportTimeout = 10 * time.Second
)

// Watch is the first message of a watcher.
type Watch struct {
	Name   string                `json:"name"`
	At     distribution.Position `json:"at"`
	Relay  bool                  `json:"relay,omitempty"`  // it serves others
	Region string                `json:"region,omitempty"` // of a relay
}

func (w Watch) check() error {
	if w.Name == "" || len(w.Name) > maxWatchName {
		return fmt.Errorf("configwatch: a watch needs a name of 1 to %d characters", maxWatchName)
	}
	if len(w.Region) > maxWatchName {
		return fmt.Errorf("configwatch: a region of more than %d characters", maxWatchName)
	}
	return nil
}

// Refused sends a watcher away.
type Refused struct {
	RetryMs   float64  `json:"retry_ms"` // it may come back then
	Elsewhere []string `json:"elsewhere,omitempty"`
	Reason    string   `json:"reason"`
}

// Error tells the reason.
func (r *Refused) Error() string { return "configwatch: refused: " + r.Reason }

// toFeed is a message of a watcher. One of its parts is set.
type toFeed struct {
	Watch  *Watch               `json:"watch,omitempty"`
	Report *distribution.Report `json:"report,omitempty"`
}

// toWatcher is a message of a feed. One of its parts is set. A commit is packed behind packedCommit, since commits are most of
// what is sent; the others are JSON, which begins with another byte.
type toWatcher struct {
	Commit    *records.Commit `json:"-"`
	Header    *records.Header `json:"header,omitempty"` // a snapshot begins
	Piece     *records.Chunk  `json:"piece,omitempty"`
	Heartbeat *uint64         `json:"heartbeat,omitempty"` // the latest revision
	Refused   *Refused        `json:"refused,omitempty"`
}

// Errors of a connection.
var (
	errNoPart = errors.New("configwatch: a message without a part")
	errPiece  = errors.New("configwatch: a piece without a snapshot")
	errAgain  = errors.New("configwatch: a second watch on one connection")
	errNotYet = errors.New("configwatch: a report before a watch")
	errOther  = errors.New("configwatch: other records are held at this revision than were agreed on")
)

const packedCommit = 1 // the first byte of a message that is a commit

// Encode is a commit in the form in which it is sent.
func Encode(c records.Commit) ([]byte, error) {
	return frame.AppendBytes(nil, records.AppendCommit([]byte{packedCommit}, c), maxMessage)
}

// decode reads the content of a message of a feed.
func decode(content []byte) (m toWatcher, err error) {
	if content[0] != packedCommit {
		return m, frame.Decode(content, &m)
	}
	c, err := records.ParseCommit(content[1:])
	if err != nil {
		return m, fmt.Errorf("configwatch: %w", err)
	}
	m.Commit = &c
	return m, nil
}
