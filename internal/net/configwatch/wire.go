// Package configwatch distributes configuration over sockets. A Server at a store replica or a relay serves watchers from a feed
// of commits; a Client watches on behalf of one process. Package distribution contains the decisions (admission, choice of a
// relay), package records the data.
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
	maxMessageBytes     = 640 << 10        // per message to a watcher; a chunk of a snapshot is the largest message
	maxReportBytes      = 32 << 10         // per message to a feed
	maxNameBytes        = 128              // of a watcher, and of a region
	firstMessageTimeout = 2 * time.Second  // for the first message of a watcher
	writeTimeout        = 2 * time.Second  // for one batch; a watcher that takes longer reads too slowly and is disconnected
	heartbeatIntervalMS = 1000.0           // longest interval between messages of a feed, and between reports of a watcher
	feedIdleTimeout     = 3 * time.Second  // a feed that is silent for longer counts as gone
	maxBatchBytes       = 64 << 10         // of commits per write
	sendBufferBytes     = 128 << 10        // of the socket of each watcher; bounds unsent output
	reportIdleTimeout   = 10 * time.Second // a watcher that sends no report for longer is disconnected
)

// Watch is the first message of a watcher: its name and the position from which it continues.
type Watch struct {
	Name     string                `json:"name"`
	Position distribution.Position `json:"at"`
	IsRelay  bool                  `json:"relay,omitempty"`  // the watcher is a relay, which serves others
	Region   string                `json:"region,omitempty"` // region of a relay
}

func (w Watch) check() error {
	if w.Name == "" || len(w.Name) > maxNameBytes {
		return fmt.Errorf("configwatch: invalid watch: name must have 1 to %d characters", maxNameBytes)
	}
	if len(w.Region) > maxNameBytes {
		return fmt.Errorf("configwatch: invalid watch: region has more than %d characters", maxNameBytes)
	}
	return nil
}

// Refusal is the refusal of a watcher, with other addresses that it may try.
type Refusal struct {
	RetryMS            float64  `json:"retry_ms"` // time after which the watcher may reconnect
	AlternateAddresses []string `json:"elsewhere,omitempty"`
	Reason             string   `json:"reason"`
}

// Error returns the reason for the refusal.
func (r *Refusal) Error() string { return "configwatch: refused: " + r.Reason }

// watcherMessage is a message from a watcher to a feed. Exactly one field is set.
type watcherMessage struct {
	Watch  *Watch               `json:"watch,omitempty"`
	Report *distribution.Report `json:"report,omitempty"`
}

// feedMessage is a message from a feed to a watcher. Exactly one field is set. A commit is encoded in binary form after the byte
// commitPrefix, since commits make up most of the traffic; the other messages are JSON, which begins with another byte.
type feedMessage struct {
	Commit    *records.Commit `json:"-"`
	Header    *records.Header `json:"header,omitempty"` // start of a snapshot
	Chunk     *records.Chunk  `json:"piece,omitempty"`
	Heartbeat *uint64         `json:"heartbeat,omitempty"` // latest revision of the feed
	Refusal   *Refusal        `json:"refused,omitempty"`
}

// Protocol errors of a connection.
var (
	errEmptyMessage     = errors.New("configwatch: empty message")
	errSnapshotOrder    = errors.New("configwatch: snapshot messages out of order")
	errSecondWatch      = errors.New("configwatch: second watch on one connection")
	errNoWatch          = errors.New("configwatch: first message is not a watch")
	errDivergentRecords = errors.New("configwatch: local records differ from the committed records at this revision")
)

const commitPrefix = 1 // first byte of a message that contains a commit

// EncodeCommit returns the wire encoding of a commit.
func EncodeCommit(c records.Commit) ([]byte, error) {
	return frame.AppendBytes(nil, records.AppendCommit([]byte{commitPrefix}, c), maxMessageBytes)
}

// decode parses the content of a message from a feed.
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
