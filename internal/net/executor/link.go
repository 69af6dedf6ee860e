// Package executor is the client of the executor, which runs requests. It keeps one TCP connection, the link, open.
// Commands go out and notices come in as lines of space-separated words, some of them followed by a body.
package executor

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"puffinsaddle/internal/core"
)

const (
	redialDelay        = 20 * time.Millisecond // between two attempts to connect
	dialTimeout        = 2 * time.Second       // of one attempt to connect; the address is dialled again afterwards
	maxPayloadBytes    = 1 << 20               // of a result or the body of a call; the protocol allows 4 KiB
	maxSendBufferBytes = 4 << 20               // of commands queued for a slow executor; beyond this the link is reconnected
	restartTolerance   = time.Second           // tolerates clock adjustments; a restart of the executor takes longer
	maxPendingQueries  = 64                    // METER callbacks, and as many DIAG callbacks, that may be outstanding
	defaultReadTimeout = 3 * time.Second       // the policy module reads the gauges twice a second, so a link this silent is dead
)

// Link is the connection to the executor. It is re-established whenever it breaks.
type Link struct {
	// ReadTimeout is the time without input after which the link is reconnected. It applies from the WELCOME on, and must
	// be set before Run.
	ReadTimeout time.Duration

	log       zerolog.Logger
	onWelcome func(cold, replaced bool)
	wakeup    chan struct{}

	mu             sync.Mutex
	address        string
	disconnect     func() // cancels the current connection, or the dial in progress
	conn           net.Conn
	ready          bool                       // the barrier has passed: commands are sent as they are submitted
	barrierTag     string                     // tag of the METER whose answer follows all notices sent while there was no link
	sendBuffer     []byte                     // commands queued for the writer
	lastNotice     uint64                     // number of the last notice read
	lastWelcome    time.Time                  // time of the last WELCOME
	replaced       bool                       // the executor was replaced; reported with the next WELCOME
	seq            uint64                     // source of tags, and the order in which attempts were started
	runs           map[string]*run            // by request id
	replyAcks      map[string]*run            // by the tag of the METER that was sent after the reply to a call
	meterCallbacks map[string]func([]float64) // by the tag of the METER
	diagCallbacks  map[string]func(bool)      // by the tag of the DIAG
}

// run is an attempt that was given to the executor, or is queued for it.
type run struct {
	attempt     *core.Attempt
	seq         uint64
	unconfirmed []byte // the last command; nil once a notice, or the answer to a later command, confirms its arrival
	sent        bool   // the last command was queued on a connection, possibly one that broke
	started     bool   // any command of the attempt was sent
	replyTo     uint64 // number of the notice whose call the last command replies to; 0: it is not a reply
	ackTag      string // tag of the METER sent after the last command
}

// New returns a link to the executor at address; Run has to be called next. The link calls onWelcome at each WELCOME: cold
// means that the executor is still booting, replaced that it is not the executor of the previous WELCOME.
func New(address string, log zerolog.Logger, onWelcome func(cold, replaced bool)) *Link {
	return &Link{ReadTimeout: defaultReadTimeout, address: address, disconnect: func() {}, log: log, onWelcome: onWelcome,
		wakeup: make(chan struct{}, 1), runs: map[string]*run{}, replyAcks: map[string]*run{},
		meterCallbacks: map[string]func([]float64){}, diagCallbacks: map[string]func(bool){}}
}

// SetAddress reconnects the link to a new address of the same executor. Attempts and the numbering of notices continue;
// what was in transit on the old connection is recovered as after any reconnect.
func (l *Link) SetAddress(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.address != address {
		l.address = address
		l.disconnect()
	}
}

// Run keeps the link connected until the context ends.
func (l *Link) Run(ctx context.Context) {
	dialer := net.Dialer{Timeout: dialTimeout}
	for ctx.Err() == nil {
		connCtx, cancel := context.WithCancel(ctx)
		l.mu.Lock()
		address := l.address
		l.disconnect = cancel
		l.mu.Unlock()
		conn, err := dialer.DialContext(connCtx, "tcp", address)
		if err == nil {
			stop := context.AfterFunc(connCtx, func() { conn.Close() })
			err = l.serve(conn)
			stop()
			conn.Close()
			l.log.Warn().Err(err).Str("at", address).Msg("executor link ended")
		}
		select {
		case <-connCtx.Done(): // the address changed: dial the new one at once
		case <-time.After(redialDelay):
		}
		cancel()
	}
}

// serve joins the executor on one connection and serves the connection until it ends.
func (l *Link) serve(conn net.Conn) error {
	l.mu.Lock()
	l.conn, l.ready, l.barrierTag = conn, false, ""
	l.sendBuffer = append(l.sendBuffer[:0], fmt.Sprintf("JOIN %d\r\n", l.lastNotice)...)
	clear(l.replyAcks)
	clear(l.meterCallbacks) // requested on the previous connection; nothing waits for them
	l.mu.Unlock()
	done := make(chan struct{})
	defer func() {
		l.mu.Lock()
		l.conn, l.ready = nil, false
		l.mu.Unlock()
		close(done)
	}()
	go l.writeLoop(conn, done)
	l.wakeWriter()
	return l.readLoop(conn)
}

// wakeWriter signals the writer that commands are queued. It never blocks.
func (l *Link) wakeWriter() {
	select {
	case l.wakeup <- struct{}{}:
	default:
	}
}

// writeLoop writes queued commands to conn until the connection ends.
func (l *Link) writeLoop(conn net.Conn, done <-chan struct{}) {
	var buf []byte
	for {
		select {
		case <-done:
			l.wakeWriter() // the signal may have been meant for the writer of the next connection
			return
		case <-l.wakeup:
		}
		l.mu.Lock()
		if l.conn != conn {
			l.mu.Unlock()
			l.wakeWriter()
			return
		}
		buf, l.sendBuffer = l.sendBuffer, buf[:0]
		l.mu.Unlock()
		if len(buf) == 0 {
			continue
		}
		if _, err := conn.Write(buf); err != nil {
			conn.Close()
			return
		}
	}
}

// enqueue queues a command for the writer. The caller holds the lock.
func (l *Link) enqueue(b []byte) {
	if l.conn == nil {
		return
	}
	if len(l.sendBuffer)+len(b) > maxSendBufferBytes {
		l.log.Error().Msg("executor does not read commands; reconnecting")
		l.conn.Close()
		return
	}
	l.sendBuffer = append(l.sendBuffer, b...)
	l.wakeWriter()
}
