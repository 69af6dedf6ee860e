// Package session connects order servers to the store replicas. Each order server uses one connection for its duties, its
// capacity share, its fenced commands and its effects. A Server runs at a store replica and serves many sessions; a Client runs
// in an order server and maintains one session.
package session

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"time"

	"puffinsaddle/internal/allocation"
	"puffinsaddle/internal/duty"
	"puffinsaddle/internal/frame"
	"puffinsaddle/internal/state"
)

const (
	maxMessageBytes   = 512 << 10 // a published version is the largest message
	maxUnsentMessages = 256       // messages queued for a peer that does not read; a peer that exceeds this is disconnected
)

// Errors of session commands.
var (
	ErrUnconfirmed = errors.New("session: unconfirmed: the command may have been executed or may still be")
	ErrNotExecuted = errors.New("session: no leader reached: the command was not executed")
	ErrStaleEpoch  = errors.New("session: command refused: stale epoch")
)

// clientMessage is a message from an order server to a store replica. Exactly one of Heartbeat, Command and Query is set. The JSON
// names must not change: servers and replicas of earlier builds use them.
type clientMessage struct {
	Heartbeat *duty.Heartbeat `json:"beat,omitempty"`
	ShareAck  uint64          `json:"ack,omitempty"`  // with a heartbeat: version of the capacity share in use
	Need      int64           `json:"need,omitempty"` // with a heartbeat: capacity it could use beyond its standalone share
	RequestID uint64          `json:"no,omitempty"`   // identifies a command or query
	Command   *state.Command  `json:"do,omitempty"`
	Query     string          `json:"read,omitempty"`
}

// serverMessage is a message from a store replica to an order server. It is a heartbeat reply, the reply to a command or a query,
// a redirect to the leader, or a refusal of the session.
type serverMessage struct {
	Reply         *duty.HeartbeatReply `json:"told,omitempty"`
	Share         *allocation.Share    `json:"share,omitempty"`   // with a reply
	Version       uint64               `json:"version,omitempty"` // with a reply: latest published version
	StaleCommands uint64               `json:"refused,omitempty"` // with a reply: commands of this server refused for a stale epoch
	RequestID     uint64               `json:"no,omitempty"`
	Result        *state.Result        `json:"result,omitempty"`
	Body          json.RawMessage      `json:"body,omitempty"` // the result of a query
	Error         string               `json:"error,omitempty"`
	LeaderID      *string              `json:"else,omitempty"`     // ID of the leader as known to this replica; "" if unknown
	RetryMS       float64              `json:"retry_ms,omitempty"` // the replica is full: time after which the client may reconnect
}

// sessionLimitError reports that a store replica is at its session limit.
type sessionLimitError struct{ retryMS float64 }

// Error returns a message with the time after which the client may reconnect.
func (e *sessionLimitError) Error() string {
	return fmt.Sprintf("session: the store replica is at its session limit; retry in %.0f ms", e.retryMS)
}

// Queries that Client.Read accepts.
const (
	ReadCapacity = "fleet"
	ReadEffects  = "effects"
	ReadDuties   = "duties"
	ReadVersion  = "version"
	ReadConfig   = "config" // returns a distribution.Status
)

// CapacityStatus is the result of ReadCapacity: the capacity pool, and the demand and share of each server.
type CapacityStatus struct {
	Pool    int64                    `json:"pool"`
	Servers []allocation.ProcessNeed `json:"of"`
}

// EffectStatus is the result of ReadEffects: the state of the effect log.
type EffectStatus struct {
	Seq      uint64   `json:"seq"`
	Retained int      `json:"kept"`
	Orphans  []string `json:"orphans"`
}

// DutyStatus is the result of ReadDuties: the leases, and what each process reported about published versions.
type DutyStatus struct {
	Table            *duty.Table       `json:"table"`
	Marks            map[string]uint64 `json:"marks"` // counters, by duty
	StaleCommands    map[string]uint64 `json:"stale"` // commands refused for a stale epoch, by duty
	Acknowledgements map[string]string `json:"words"` // by process: whether it accepted the latest version that it checked
	Term             uint64            `json:"term"`
	Leader           string            `json:"lead"`
}

// encodeFrame encodes a message with its length prefix.
func encodeFrame(v any) ([]byte, error) { return frame.Append(nil, v, maxMessageBytes) }

func newReader(conn net.Conn, idle time.Duration) *frame.Reader {
	return frame.NewReader(conn, idle, maxMessageBytes)
}

// messageWriter writes messages to one peer from a bounded queue. Sending never blocks.
type messageWriter struct {
	conn  net.Conn
	queue chan []byte
	done  chan struct{}
}

func newMessageWriter(conn net.Conn) *messageWriter {
	w := &messageWriter{conn: conn, queue: make(chan []byte, maxUnsentMessages), done: make(chan struct{})}
	go func() {
		defer conn.Close()
		for {
			select {
			case b := <-w.queue:
				conn.SetWriteDeadline(time.Now().Add(frame.MessageTimeout))
				if _, err := conn.Write(b); err != nil {
					return
				}
			case <-w.done:
				return
			}
		}
	}()
	return w
}

// send queues a message. It closes the connection if the queue is full, which means that the peer does not read.
func (w *messageWriter) send(v any) {
	b, err := encodeFrame(v)
	if err != nil {
		b, err = encodeFrame(serverMessage{Error: err.Error()})
	}
	if err != nil {
		w.conn.Close()
		return
	}
	select {
	case w.queue <- b:
	default:
		w.conn.Close()
	}
}
