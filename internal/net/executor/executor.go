// Package executor is the client of the executor, which runs requests. It keeps one TCP connection, the link, open.
// Commands go out and notices come in as lines of space-separated words, some of them followed by a body.
package executor

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"puffinsaddle/internal/core"
	"puffinsaddle/internal/pool"
	"puffinsaddle/policy"
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

// submit sends a command of an attempt, or keeps it until the link is ready. The command is retained until a notice
// confirms that it arrived.
func (l *Link) submit(id string, replyTo uint64, command []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.runs[id]
	if r == nil {
		return
	}
	r.unconfirmed, r.replyTo, r.sent = command, replyTo, false
	if l.ready {
		l.sendCommand(r)
	}
}

// sendCommand queues the last command of an attempt and, after the reply to a call, a METER: the executor reads commands in
// order, so the answer to the METER confirms that the reply arrived. The caller holds the lock.
func (l *Link) sendCommand(r *run) {
	r.sent, r.started = true, true
	l.enqueue(r.unconfirmed)
	if r.replyTo > 0 {
		l.seq++
		r.ackTag = "a" + strconv.FormatUint(l.seq, 10)
		l.replyAcks[r.ackTag] = r
		l.enqueue([]byte("METER " + r.ackTag + "\r\n"))
	}
}

// resend sends again what the previous connection may have lost. It reports true for a reply to a call that can be
// neither resent nor skipped. A RETURN does not name its call: if the first one arrived, a second one would be taken for
// the reply to the next call of the attempt. A BYPASS names the call that it skips, so it has no effect if the reply
// arrived. The caller holds the lock.
func (l *Link) resend(r *run) (lost bool) {
	if r.sent && r.replyTo > 0 {
		if !r.attempt.CallsSkippable {
			r.unconfirmed = nil
			return true
		}
		r.unconfirmed, r.replyTo = fmt.Appendf(nil, "BYPASS %s %d\r\n", r.attempt.Request.ID, r.replyTo), 0
	}
	l.sendCommand(r)
	return false
}

// Start sends the request of an attempt to the executor.
func (l *Link) Start(a *core.Attempt) {
	q := a.Request
	l.mu.Lock()
	l.seq++
	l.runs[q.ID] = &run{attempt: a, seq: l.seq}
	l.mu.Unlock()
	b := make([]byte, 0, len(q.Body)+len(q.Class)+40)
	b = fmt.Appendf(b, "EXEC %s %s %d\r\n", q.ID, q.Class, len(q.Body))
	l.submit(q.ID, 0, append(append(b, q.Body...), "\r\n"...))
}

// Return sends the reply to the call of a notice.
func (l *Link) Return(a *core.Attempt, notice uint64, reply []byte) {
	b := fmt.Appendf(make([]byte, 0, len(reply)+40), "RETURN %s %d\r\n", a.Request.ID, len(reply))
	l.submit(a.Request.ID, notice, append(append(b, reply...), "\r\n"...))
}

// Skip lets an attempt continue without the call of a notice.
func (l *Link) Skip(a *core.Attempt, notice uint64) {
	l.submit(a.Request.ID, 0, fmt.Appendf(nil, "BYPASS %s %d\r\n", a.Request.ID, notice))
}

// Abandon does nothing, since the executor detects by itself that a caller disconnected or got its answer.
func (l *Link) Abandon(*core.Attempt) {}

// ReadGauges requests the gauges.
func (l *Link) ReadGauges(callback func([]float64)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.ready || len(l.meterCallbacks) >= maxPendingQueries {
		return
	}
	l.seq++
	tag := "m" + strconv.FormatUint(l.seq, 10)
	l.meterCallbacks[tag] = callback
	l.enqueue([]byte("METER " + tag + "\r\n"))
}

// Diagnose requests a deep health check. It reports false if none can be requested now.
func (l *Link) Diagnose(callback func(healthy bool)) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.ready || len(l.diagCallbacks) >= maxPendingQueries {
		return false
	}
	l.seq++
	tag := "d" + strconv.FormatUint(l.seq, 10)
	l.diagCallbacks[tag] = callback
	l.enqueue([]byte("DIAG " + tag + "\r\n"))
	return true
}

// readLoop handles notices until the connection ends or the executor violates the protocol.
func (l *Link) readLoop(conn net.Conn) error {
	r, welcomed := bufio.NewReaderSize(conn, 64<<10), false
	for {
		if welcomed { // detects a peer that vanished without closing the connection; one that boots may send nothing
			if err := conn.SetReadDeadline(time.Now().Add(l.ReadTimeout)); err != nil {
				return err
			}
		}
		line, err := r.ReadSlice('\n')
		if err != nil {
			return err
		}
		words := strings.Fields(string(line))
		if len(words) == 0 {
			return errors.New("empty line")
		}
		var body []byte
		if words[0] == "EXIT" || words[0] == "CALLOUT" {
			n, err := strconv.Atoi(words[len(words)-1])
			if err != nil || n < 0 || n > maxPayloadBytes {
				return fmt.Errorf("invalid body length: %q", line)
			}
			body = pool.Get(n)
			if _, err := io.ReadFull(r, body); err != nil {
				return err
			}
			var end [2]byte
			if _, err := io.ReadFull(r, end[:]); err != nil {
				return err
			}
			if !bytes.Equal(end[:], []byte("\r\n")) {
				return errors.New("body is not terminated by CRLF")
			}
		}
		if err := l.handleNotice(words, body); err != nil {
			return fmt.Errorf("%w: %q", err, words)
		}
		welcomed = welcomed || words[0] == "WELCOME"
	}
}

// checkReplaced reports whether the executor started after the previous WELCOME and therefore replaced the one that sent
// it. Such an executor numbers its notices from 1 and reports nothing about the attempts of its predecessor. These fail
// here, since it is unknown whether they had their effect.
func (l *Link) checkReplaced(now time.Time, ageMS float64) bool {
	l.mu.Lock()
	startedAt := now.Add(-time.Duration(ageMS * float64(time.Millisecond)))
	replaced := !l.lastWelcome.IsZero() && startedAt.After(l.lastWelcome.Add(restartTolerance))
	l.lastWelcome = now
	var abandoned []*run
	if replaced {
		l.lastNotice, l.replaced = 0, true
		for id, r := range l.runs {
			if r.started {
				abandoned = append(abandoned, r)
				delete(l.runs, id)
			}
		}
	}
	l.mu.Unlock()
	for _, r := range abandoned {
		l.log.Warn().Str("id", r.attempt.Request.ID).Msg("executor was replaced; attempt failed")
		r.attempt.Notify(core.Notice{Ended: true, Outcome: policy.Failed})
	}
	return replaced
}

var errExecutorReplaced = errors.New("executor was replaced; joining again from its first notice")

var errMalformed = errors.New("malformed notice")

// handleNotice handles one notice; an error ends the connection.
func (l *Link) handleNotice(words []string, body []byte) error {
	switch {
	case words[0] == "WELCOME" && len(words) == 3:
		ms, err := strconv.ParseFloat(words[2], 64)
		if err != nil {
			return errMalformed
		}
		l.log.Info().Str("state", words[1]).Float64("age_ms", ms).Msg("executor link up")
		if l.checkReplaced(time.Now(), ms) {
			return errExecutorReplaced
		}
		l.mu.Lock()
		replaced := l.replaced
		l.replaced = false
		l.mu.Unlock()
		l.onWelcome(words[1] == "booting", replaced)
		l.mu.Lock()
		defer l.mu.Unlock()
		// Only notices show which commands of the previous connection reached the executor. The answer to this METER
		// follows all of those notices, so a command that has none by then did not arrive.
		l.seq++
		l.barrierTag = "f" + strconv.FormatUint(l.seq, 10)
		l.enqueue([]byte("METER " + l.barrierTag + "\r\n"))
	case words[0] == "EXIT" && len(words) == 6:
		number, err := strconv.ParseUint(words[1], 10, 64)
		ms, err2 := strconv.ParseFloat(words[4], 64)
		if err != nil || err2 != nil {
			return errMalformed
		}
		outcome, ok := map[string]policy.Outcome{"success": policy.OK, "failure": policy.Failed,
			"interrupted": policy.Cancelled, "nothing": policy.NotRun}[words[3]]
		if !ok {
			return errMalformed
		}
		l.deliver(number, words[2], core.Notice{Ended: true, Number: number, Outcome: outcome, TookMS: ms, Body: body})
	case words[0] == "CALLOUT" && len(words) == 4:
		number, err := strconv.ParseUint(words[1], 10, 64)
		if err != nil {
			return errMalformed
		}
		l.deliver(number, words[2], core.Notice{Number: number, Body: body})
	case words[0] == "METERS" && len(words) >= 2:
		l.handleMeters(words[1], words[2:])
	case words[0] == "DIAGNOSED" && len(words) == 3:
		l.handleDiagnosed(words[1], words[2] == "success")
	case words[0] == "BAD" && len(words) >= 3:
		// Logged at debug level, since faulty clients can cause any number of these.
		l.log.Debug().Strs("notice", words).Msg("executor rejected a command")
		if words[1] == "EXEC" { // the request never ran, and no EXIT will follow
			l.deliver(0, words[2], core.Notice{Ended: true, Outcome: policy.NotRun, UnknownRequest: true})
		}
		if words[1] == "METER" { // a site may have no gauges; this answer, too, serves as barrier and acknowledgement
			l.handleMeters(words[2], nil)
		}
		if words[1] == "DIAG" {
			l.handleDiagnosed(words[2], true) // an executor without deep checks counts as healthy
		}
	case words[0] == "BAD":
	case words[0] == "LOG" && len(words) >= 2:
		if number, err := strconv.ParseUint(words[1], 10, 64); err == nil {
			l.deliver(number, "", core.Notice{})
		}
		l.log.Debug().Strs("notice", words).Msg("executor")
	default:
		return errMalformed
	}
	return nil
}

// deliver delivers a notice to its attempt once; after a reconnect, the executor may repeat notices.
func (l *Link) deliver(number uint64, id string, notice core.Notice) {
	l.mu.Lock()
	if number > 0 {
		if number <= l.lastNotice {
			l.mu.Unlock()
			pool.Put(notice.Body)
			return
		}
		l.lastNotice = number
	}
	r := l.runs[id]
	if r != nil {
		r.unconfirmed = nil
		if notice.Ended {
			delete(l.runs, id)
		}
	}
	l.mu.Unlock()
	if r == nil {
		pool.Put(notice.Body)
		return
	}
	r.attempt.Notify(notice)
}

// handleDiagnosed passes the result of a deep health check to its callback.
func (l *Link) handleDiagnosed(tag string, healthy bool) {
	l.mu.Lock()
	callback := l.diagCallbacks[tag]
	delete(l.diagCallbacks, tag)
	l.mu.Unlock()
	if callback != nil {
		callback(healthy)
	}
}

// handleMeters handles the answer to a METER. Depending on its tag, it confirms the reply to a call, ends the barrier after a
// reconnect, upon which unconfirmed commands are sent again, or passes the gauges to their callback.
func (l *Link) handleMeters(tag string, values []string) {
	l.mu.Lock()
	if r := l.replyAcks[tag]; r != nil {
		delete(l.replyAcks, tag)
		if r.ackTag == tag && r.replyTo > 0 {
			r.unconfirmed = nil
		}
	}
	var lost []*run
	if tag == l.barrierTag && !l.ready {
		l.ready = true
		var toResend []*run
		for _, r := range l.runs {
			if r.unconfirmed != nil {
				toResend = append(toResend, r)
			}
		}
		sort.Slice(toResend, func(i, j int) bool { return toResend[i].seq < toResend[j].seq })
		for _, r := range toResend {
			if l.resend(r) {
				lost = append(lost, r)
			}
		}
		for tag := range l.diagCallbacks { // a broken link does not make the executor unhealthy: request the check again
			l.enqueue([]byte("DIAG " + tag + "\r\n"))
		}
	}
	callback := l.meterCallbacks[tag]
	delete(l.meterCallbacks, tag)
	l.mu.Unlock()
	for _, r := range lost {
		l.log.Warn().Str("id", r.attempt.Request.ID).
			Msg("reply to a call may be lost with the link and cannot be resent; attempt failed")
		r.attempt.Notify(core.Notice{ReplyLost: true})
	}
	if callback == nil {
		return
	}
	gauges := make([]float64, len(values))
	for i, v := range values {
		x, err := strconv.ParseFloat(v, 64)
		if err != nil {
			x = -1 // a gauge without a value
		}
		gauges[i] = x
	}
	callback(gauges)
}
