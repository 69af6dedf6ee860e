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
	mostMessage = 512 << 10 // bytes of one message; a published version is the largest
	mostUnsent  = 256       // messages that wait for a peer that does not read; past this it is cut off
)

// Errors of sessions.
var (
	ErrUnconfirmed = errors.New("session: not confirmed: it may have been carried out, or may still be")
	ErrNotSent     = errors.New("session: no copy that leads is reached: nothing was carried out")
	ErrStale       = errors.New("session: refused for its epoch")
)

// toCopy is a message of an order server. One of its parts is set. Its names in JSON are those of earlier builds, whose servers
// and copies are understood.
type toCopy struct {
	Heartbeat *duty.Heartbeat `json:"beat,omitempty"`
	Ack       uint64          `json:"ack,omitempty"`  // with a heartbeat: the version of the share that is in use
	Need      int64           `json:"need,omitempty"` // with a heartbeat: what it could use beyond its part for being alone
	No        uint64          `json:"no,omitempty"`   // of a command or a question
	Do        *state.Command  `json:"do,omitempty"`
	Read      string          `json:"read,omitempty"`
}

// toServer is a message of a copy. One of its parts is set.
type toServer struct {
	Reply   *duty.HeartbeatReply `json:"told,omitempty"`
	Share   *allot.Share         `json:"share,omitempty"`   // with a reply
	Version uint64               `json:"version,omitempty"` // with a reply: the latest published
	Refused uint64               `json:"refused,omitempty"` // with a reply: acts of this server's duties refused for their epoch
	No      uint64               `json:"no,omitempty"`
	Result  *state.Result        `json:"result,omitempty"`
	Body    json.RawMessage      `json:"body,omitempty"` // the answer to a question
	Error   string               `json:"error,omitempty"`
	Else    *string              `json:"else,omitempty"`     // the id of the copy that leads, as far as this one knows
	RetryMs float64              `json:"retry_ms,omitempty"` // the copy is full: it may be asked again then
}

// fullError tells that a copy serves as many sessions as it may.
type fullError struct{ retryMs float64 }

// Error tells when to come back.
func (e *fullError) Error() string {
	return fmt.Sprintf("session: the copy is full; it may be asked again in %.0f ms", e.retryMs)
}

// Questions.
const (
	ReadFleet   = "fleet"
	ReadEffects = "effects"
	ReadDuties  = "duties"
	ReadVersion = "version"
	ReadConfig  = "config" // answered with a distribution.Status
)

// Fleet is the answer to ReadFleet.
type Fleet struct {
	Pool int64               `json:"pool"`
	Of   []allot.ProcessNeed `json:"of"`
}

// Effects is the answer to ReadEffects.
type Effects struct {
	Seq     uint64   `json:"seq"`
	Kept    int      `json:"kept"`
	Orphans []string `json:"orphans"`
}

// Duties is the answer to ReadDuties.
type Duties struct {
	Table *duty.Table       `json:"table"`
	Marks map[string]uint64 `json:"marks"`
	Stale map[string]uint64 `json:"stale"` // acts refused for their epoch
	Words map[string]string `json:"words"` // what each process made of the latest version it looked at
	Term  uint64            `json:"term"`
	Lead  string            `json:"lead"`
}

func framed(v any) ([]byte, error) { return frame.Append(nil, v, mostMessage) }

func newReader(conn net.Conn, idle time.Duration) *frame.Reader {
	return frame.NewReader(conn, idle, mostMessage)
}

// line writes messages to one peer, and never makes a sender wait.
type line struct {
	conn net.Conn
	out  chan []byte
	done chan struct{}
}

func newLine(conn net.Conn) *line {
	l := &line{conn: conn, out: make(chan []byte, mostUnsent), done: make(chan struct{})}
	go func() {
		defer conn.Close()
		for {
			select {
			case b := <-l.out:
				conn.SetWriteDeadline(time.Now().Add(frame.MessageTimeout))
				if _, err := conn.Write(b); err != nil {
					return
				}
			case <-l.done:
				return
			}
		}
	}()
	return l
}

// send queues a message; a peer that does not read is cut off.
func (l *line) send(v any) {
	b, err := framed(v)
	if err != nil {
		b, err = framed(toServer{Error: err.Error()})
	}
	if err != nil {
		l.conn.Close()
		return
	}
	select {
	case l.out <- b:
	default:
		l.conn.Close()
	}
}
