// Package session is the way between order servers and the copies of the store: one connection a server for all of its
// duties, its share, its acts and its effects. A Server serves sessions at a copy, a Client holds one.
package session

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"time"

	"puffinsaddle/internal/allot"
	"puffinsaddle/internal/duty"
	"puffinsaddle/internal/frame"
	"puffinsaddle/internal/state"
)

const (
	maxMessageBytes   = 512 << 10 // bytes of one message; a published version is the largest
	maxUnsentMessages = 256       // messages that wait for a peer that does not read; past this it is cut off
)

// Errors of sessions.
var (
	ErrUnconfirmed = errors.New("session: not confirmed: it may have been carried out, or may still be")
	ErrNotExecuted = errors.New("session: no copy that leads is reached: nothing was carried out")
	ErrStaleEpoch  = errors.New("session: refused for its epoch")
)

// clientMessage is a message of an order server. One of its parts is set. Its names in JSON are those of earlier builds, whose servers
// and copies are understood.
type clientMessage struct {
	Heartbeat *duty.Heartbeat `json:"beat,omitempty"`
	ShareAck  uint64          `json:"ack,omitempty"`  // with a heartbeat: the version of the share that is in use
	Need      int64           `json:"need,omitempty"` // with a heartbeat: what it could use beyond its part for being alone
	RequestID uint64          `json:"no,omitempty"`   // of a command or a question
	Command   *state.Command  `json:"do,omitempty"`
	Query     string          `json:"read,omitempty"`
}

// serverMessage is a message of a copy. One of its parts is set.
type serverMessage struct {
	Reply         *duty.HeartbeatReply `json:"told,omitempty"`
	Share         *allot.Share         `json:"share,omitempty"`   // with a reply
	Version       uint64               `json:"version,omitempty"` // with a reply: the latest published
	StaleCommands uint64               `json:"refused,omitempty"` // with a reply: acts of this server's duties refused for their epoch
	RequestID     uint64               `json:"no,omitempty"`
	Result        *state.Result        `json:"result,omitempty"`
	Body          json.RawMessage      `json:"body,omitempty"` // the answer to a question
	Error         string               `json:"error,omitempty"`
	LeaderID      *string              `json:"else,omitempty"`     // the id of the copy that leads, as far as this one knows
	RetryMS       float64              `json:"retry_ms,omitempty"` // the copy is full: it may be asked again then
}

// sessionLimitError tells that a copy serves as many sessions as it may.
type sessionLimitError struct{ retryMS float64 }

// Error tells when to come back.
func (e *sessionLimitError) Error() string {
	return fmt.Sprintf("session: the copy is full; it may be asked again in %.0f ms", e.retryMS)
}

// Questions.
const (
	ReadCapacity = "fleet"
	ReadEffects  = "effects"
	ReadDuties   = "duties"
	ReadVersion  = "version"
	ReadConfig   = "config" // answered with a distribution.Status
)

// CapacityStatus is the answer to ReadCapacity.
type CapacityStatus struct {
	Pool    int64               `json:"pool"`
	Servers []allot.ProcessNeed `json:"of"`
}

// EffectStatus is the answer to ReadEffects.
type EffectStatus struct {
	Seq      uint64   `json:"seq"`
	Retained int      `json:"kept"`
	Orphans  []string `json:"orphans"`
}

// DutyStatus is the answer to ReadDuties.
type DutyStatus struct {
	Table            *duty.Table       `json:"table"`
	Marks            map[string]uint64 `json:"marks"`
	StaleCommands    map[string]uint64 `json:"stale"` // acts refused for their epoch
	Acknowledgements map[string]string `json:"words"` // what each process made of the latest version it looked at
	Term             uint64            `json:"term"`
	Leader           string            `json:"lead"`
}

func encodeFrame(v any) ([]byte, error) { return frame.Append(nil, v, maxMessageBytes) }

func newReader(conn net.Conn, idle time.Duration) *frame.Reader {
	return frame.NewReader(conn, idle, maxMessageBytes)
}

// messageWriter writes messages to one peer, and never makes a sender wait.
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

// send queues a message; a peer that does not read is cut off.
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
