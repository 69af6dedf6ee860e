package handover

import (
	"encoding/json"
	"net"

	"puffinsaddle/internal/mailbox"
	"puffinsaddle/policy"
)

// Link carries messages between a process and its successor, in order and in both directions, until one of them ends. Nothing
// limits the time that a message takes: a process that is stopped for a while must not be taken for one that has ended.
type Link struct {
	conn    net.Conn
	version byte // format version of the other process, as far as it matters to this one
	outbox  *mailbox.Box[outgoingMessage]
	ended   chan struct{}
	peer    policy.PeerID // of the other process in the core
}

type outgoingMessage struct {
	content any
	sent    func() // optional
}

func newLink(conn net.Conn, version byte) *Link {
	return &Link{conn: conn, version: version, outbox: mailbox.New[outgoingMessage](), ended: make(chan struct{})}
}

// exchangesMessages reports whether the other process sends and receives messages.
func (l *Link) exchangesMessages() bool { return l.version >= linkVersion }

// reportsLimits reports whether these messages include reports on the limits of the server.
func (l *Link) reportsLimits() bool { return l.version >= limitsVersion }

// Send queues a message, which is encoded as JSON, behind all earlier ones. It does not block. If sent is not nil, it is called
// once the message is in the socket's buffer, from which the other process reads it even if this one is killed, or once the
// other process has ended.
func (l *Link) Send(content any, sent func()) {
	l.outbox.Put(outgoingMessage{content, sent})
	select {
	case <-l.ended:
		l.discard()
	default:
	}
}

// Serve sends the queued messages and passes each received one to receive, until the other process has ended.
func (l *Link) Serve(receive func(content json.RawMessage)) {
	go l.write()
	decoder := json.NewDecoder(l.conn)
	for {
		var content json.RawMessage
		if decoder.Decode(&content) != nil {
			break
		}
		receive(content)
	}
	l.end()
}

// end ends a link that is no longer served.
func (l *Link) end() {
	close(l.ended)
	l.conn.Close()
	l.discard()
}

// write sends the queued messages until the link ends.
func (l *Link) write() {
	encoder := json.NewEncoder(l.conn)
	var batch []outgoingMessage
	for {
		select {
		case <-l.outbox.Ready:
		case <-l.ended:
			return
		}
		batch = l.outbox.TakeAll(batch)
		for _, m := range batch {
			encoder.Encode(m.content) // fails only if the other process has ended, which Serve finds out
			if m.sent != nil {
				m.sent()
			}
		}
	}
}

// discard drops the queued messages.
func (l *Link) discard() {
	for _, m := range l.outbox.TakeAll(nil) {
		if m.sent != nil {
			m.sent()
		}
	}
}
