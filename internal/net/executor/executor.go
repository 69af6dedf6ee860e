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
	redial      = 20 * time.Millisecond
	dialFor     = 2 * time.Second // of one attempt to connect; the address is dialled again afterwards
	mostPayload = 1 << 20         // of a result or the body of a call; the protocol allows 4 KiB
	mostWaiting = 4 << 20         // of commands queued for a slow executor; beyond this the link is reconnected
	anewSlack   = time.Second     // tolerates clock adjustments; a restart of the executor takes longer
	mostAsked   = 64              // METER callbacks, and as many DIAG callbacks, that may be outstanding
	silentFor   = 3 * time.Second // the policy module reads the gauges twice a second, so a link silent for this long is dead
)

// Link is the connection to the executor. It is re-established whenever it breaks.
type Link struct {
	// ReadTimeout bounds the silence of the executor after its WELCOME; a link that receives nothing for this long is
	// reconnected. It must be set before Run.
	ReadTimeout time.Duration

	log  zerolog.Logger
	up   func(cold, another bool)
	kick chan struct{}

	mu      sync.Mutex
	address string
	leave   func() // cancels the current connection, or the dial in progress
	conn    net.Conn
	ready   bool                       // the barrier has passed: commands are sent as they are submitted
	fence   string                     // tag of the METER whose answer follows all notices from the time without a link
	out     []byte                     // commands queued for the writer
	last    uint64                     // number of the last notice read
	met     time.Time                  // time of the last WELCOME
	another bool                       // the executor was replaced; reported with the next WELCOME
	seq     uint64                     // source of tags, and the order in which attempts were started
	runs    map[string]*run            // by request id
	acks    map[string]*run            // by the tag of the METER that was sent after the reply to a call
	meters  map[string]func([]float64) // by the tag of the METER
	checks  map[string]func(bool)      // by the tag of the DIAG
}

// run is an attempt that was given to the executor, or is queued for it.
type run struct {
	attempt *core.Attempt
	seq     uint64
	command []byte // the last command; nil once a notice, or the answer to a later command, confirms its arrival
	sent    bool   // the last command was written to a link, possibly one that broke
	begun   bool   // any command of the attempt was sent
	call    uint64 // number of the notice whose call the last command replies to; 0: it is not a reply
	ack     string // tag of the METER sent after the last command
}

// New returns a link to the executor at address; Run has to be called next. The function up is called at each WELCOME:
// cold means that the executor is still booting, another that it is not the executor of the previous WELCOME.
func New(address string, log zerolog.Logger, up func(cold, another bool)) *Link {
	return &Link{ReadTimeout: silentFor, address: address, leave: func() {}, log: log, up: up, kick: make(chan struct{}, 1), runs: map[string]*run{},
		acks: map[string]*run{}, meters: map[string]func([]float64){}, checks: map[string]func(bool){}}
}

// SetAddress reconnects the link to a new address of the same executor. Attempts and the numbering of notices continue; what
// was in transit on the old connection is recovered as after any break.
func (l *Link) SetAddress(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.address != address {
		l.address = address
		l.leave()
	}
}

// Run keeps the link connected until the context ends.
func (l *Link) Run(ctx context.Context) {
	d := net.Dialer{Timeout: dialFor}
	for ctx.Err() == nil {
		here, leave := context.WithCancel(ctx)
		l.mu.Lock()
		address := l.address
		l.leave = leave
		l.mu.Unlock()
		conn, err := d.DialContext(here, "tcp", address)
		if err == nil {
			stop := context.AfterFunc(here, func() { conn.Close() })
			err = l.hold(conn)
			stop()
			conn.Close()
			l.log.Warn().Err(err).Str("at", address).Msg("executor link ended")
		}
		select {
		case <-here.Done(): // the address changed: dial the new one at once
		case <-time.After(redial):
		}
		leave()
	}
}

// hold joins the executor on one connection and serves the connection until it ends.
func (l *Link) hold(conn net.Conn) error {
	l.mu.Lock()
	l.conn, l.ready, l.fence = conn, false, ""
	l.out = append(l.out[:0], fmt.Sprintf("JOIN %d\r\n", l.last)...)
	clear(l.acks)
	clear(l.meters) // requested on the previous connection; nothing waits for them
	l.mu.Unlock()
	done := make(chan struct{})
	defer func() {
		l.mu.Lock()
		l.conn, l.ready = nil, false
		l.mu.Unlock()
		close(done)
	}()
	go l.write(conn, done)
	l.wake()
	return l.read(conn)
}

func (l *Link) wake() {
	select {
	case l.kick <- struct{}{}:
	default:
	}
}

func (l *Link) write(conn net.Conn, done <-chan struct{}) {
	var buf []byte
	for {
		select {
		case <-done:
			l.wake() // the signal may have been meant for the writer of the next connection
			return
		case <-l.kick:
		}
		l.mu.Lock()
		if l.conn != conn {
			l.mu.Unlock()
			l.wake()
			return
		}
		buf, l.out = l.out, buf[:0]
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

// send queues a command for the writer. The caller holds the lock.
func (l *Link) send(b []byte) {
	if l.conn == nil {
		return
	}
	if len(l.out)+len(b) > mostWaiting {
		l.log.Error().Msg("executor does not read commands; reconnecting")
		l.conn.Close()
		return
	}
	l.out = append(l.out, b...)
	l.wake()
}

// command sends a command of an attempt, or keeps it until the link is ready. The command is retained until a notice
// confirms that it arrived.
func (l *Link) command(id string, call uint64, b []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.runs[id]
	if r == nil {
		return
	}
	r.command, r.call, r.sent = b, call, false
	if l.ready {
		l.give(r)
	}
}

// give sends the last command of an attempt, and after the reply to a call a METER: the executor reads commands in
// order, so the answer to the METER confirms that the reply arrived. The caller holds the lock.
func (l *Link) give(r *run) {
	r.sent, r.begun = true, true
	l.send(r.command)
	if r.call > 0 {
		l.seq++
		r.ack = "a" + strconv.FormatUint(l.seq, 10)
		l.acks[r.ack] = r
		l.send([]byte("METER " + r.ack + "\r\n"))
	}
}

// again sends once more what the previous connection may have lost. It reports true for a reply to a call that can be
// neither resent nor skipped. A RETURN does not name its call: if the first one arrived, a second one would be taken for
// the reply to the next call of the attempt. A BYPASS names the call that it skips, so it has no effect if the reply
// arrived. The caller holds the lock.
func (l *Link) again(r *run) (lost bool) {
	if r.sent && r.call > 0 {
		if !r.attempt.Skippable {
			r.command = nil
			return true
		}
		r.command, r.call = fmt.Appendf(nil, "BYPASS %s %d\r\n", r.attempt.Request.ID, r.call), 0
	}
	l.give(r)
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
	l.command(q.ID, 0, append(append(b, q.Body...), "\r\n"...))
}

// Return sends the reply to the call of a notice.
func (l *Link) Return(a *core.Attempt, notice uint64, reply []byte) {
	b := fmt.Appendf(make([]byte, 0, len(reply)+40), "RETURN %s %d\r\n", a.Request.ID, len(reply))
	l.command(a.Request.ID, notice, append(append(b, reply...), "\r\n"...))
}

// Skip lets an attempt continue without the call of a notice.
func (l *Link) Skip(a *core.Attempt, notice uint64) {
	l.command(a.Request.ID, 0, fmt.Appendf(nil, "BYPASS %s %d\r\n", a.Request.ID, notice))
}

// Drop does nothing: the executor detects by itself that a caller disconnected or got its answer.
func (l *Link) Drop(*core.Attempt) {}

// Meter requests the gauges.
func (l *Link) Meter(got func([]float64)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.ready || len(l.meters) >= mostAsked {
		return
	}
	l.seq++
	tag := "m" + strconv.FormatUint(l.seq, 10)
	l.meters[tag] = got
	l.send([]byte("METER " + tag + "\r\n"))
}

// Diagnose requests a deep health check. It reports false if none can be requested now.
func (l *Link) Diagnose(answer func(good bool)) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.ready || len(l.checks) >= mostAsked {
		return false
	}
	l.seq++
	tag := "d" + strconv.FormatUint(l.seq, 10)
	l.checks[tag] = answer
	l.send([]byte("DIAG " + tag + "\r\n"))
	return true
}

// read handles notices until the connection ends or the executor violates the protocol.
func (l *Link) read(conn net.Conn) error {
	r, welcomed := bufio.NewReaderSize(conn, 64<<10), false
	for {
		if welcomed { // detects a peer that vanished without closing the connection; one that boots may stay silent
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
			if err != nil || n < 0 || n > mostPayload {
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
		if err := l.notice(words, body); err != nil {
			return fmt.Errorf("%w: %q", err, words)
		}
		welcomed = welcomed || words[0] == "WELCOME"
	}
}

// anew reports whether the executor started after the previous WELCOME and therefore replaced the one that sent it.
// Such an executor numbers its notices from 1 and reports nothing about the attempts of its predecessor. These fail here,
// since it is unknown whether they had their effect.
func (l *Link) anew(now time.Time, ageMs float64) bool {
	l.mu.Lock()
	began := now.Add(-time.Duration(ageMs * float64(time.Millisecond)))
	another := !l.met.IsZero() && began.After(l.met.Add(anewSlack))
	l.met = now
	var gone []*run
	if another {
		l.last, l.another = 0, true
		for id, r := range l.runs {
			if r.begun {
				gone = append(gone, r)
				delete(l.runs, id)
			}
		}
	}
	l.mu.Unlock()
	for _, r := range gone {
		l.log.Warn().Str("id", r.attempt.Request.ID).Msg("executor was replaced; attempt failed")
		r.attempt.Notify(core.Notice{Ended: true, Outcome: policy.Failed})
	}
	return another
}

var errAnew = errors.New("executor was replaced; joining again from its first notice")

var errMalformed = errors.New("malformed notice")

func (l *Link) notice(w []string, body []byte) error {
	switch {
	case w[0] == "WELCOME" && len(w) == 3:
		ms, err := strconv.ParseFloat(w[2], 64)
		if err != nil {
			return errMalformed
		}
		l.log.Info().Str("state", w[1]).Float64("age_ms", ms).Msg("executor link up")
		if l.anew(time.Now(), ms) {
			return errAnew
		}
		l.mu.Lock()
		another := l.another
		l.another = false
		l.mu.Unlock()
		l.up(w[1] == "booting", another)
		l.mu.Lock()
		defer l.mu.Unlock()
		// Only notices show which commands of the previous connection reached the executor. The answer to this METER
		// follows all of those notices, so a command that has none by then did not arrive.
		l.seq++
		l.fence = "f" + strconv.FormatUint(l.seq, 10)
		l.send([]byte("METER " + l.fence + "\r\n"))
	case w[0] == "EXIT" && len(w) == 6:
		n, err := strconv.ParseUint(w[1], 10, 64)
		ms, err2 := strconv.ParseFloat(w[4], 64)
		if err != nil || err2 != nil {
			return errMalformed
		}
		outcome, ok := map[string]policy.Outcome{"success": policy.OK, "failure": policy.Failed,
			"interrupted": policy.Cancelled, "nothing": policy.Moot}[w[3]]
		if !ok {
			return errMalformed
		}
		l.tell(n, w[2], core.Notice{Ended: true, N: n, Outcome: outcome, Took: ms, Body: body})
	case w[0] == "CALLOUT" && len(w) == 4:
		n, err := strconv.ParseUint(w[1], 10, 64)
		if err != nil {
			return errMalformed
		}
		l.tell(n, w[2], core.Notice{N: n, Body: body})
	case w[0] == "METERS" && len(w) >= 2:
		l.metered(w[1], w[2:])
	case w[0] == "DIAGNOSED" && len(w) == 3:
		l.diagnosed(w[1], w[2] == "success")
	case w[0] == "BAD" && len(w) >= 3:
		l.log.Debug().Strs("notice", w).Msg("executor rejected a command") // debug level: faulty clients can cause any number of these
		if w[1] == "EXEC" {                                                // the request never ran, and no EXIT will follow
			l.tell(0, w[2], core.Notice{Ended: true, Outcome: policy.Moot, Forged: true})
		}
		if w[1] == "METER" { // a site may have no gauges; the answer serves as barrier and acknowledgement all the same
			l.metered(w[2], nil)
		}
		if w[1] == "DIAG" {
			l.diagnosed(w[2], true) // an executor without deep checks counts as healthy
		}
	case w[0] == "BAD":
	case w[0] == "LOG" && len(w) >= 2:
		if n, err := strconv.ParseUint(w[1], 10, 64); err == nil {
			l.tell(n, "", core.Notice{})
		}
		l.log.Debug().Strs("notice", w).Msg("executor")
	default:
		return errMalformed
	}
	return nil
}

// tell delivers a notice to its attempt once; after a reconnect, the executor may repeat notices.
func (l *Link) tell(n uint64, id string, notice core.Notice) {
	l.mu.Lock()
	if n > 0 {
		if n <= l.last {
			l.mu.Unlock()
			pool.Put(notice.Body)
			return
		}
		l.last = n
	}
	r := l.runs[id]
	if r != nil {
		r.command = nil
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

func (l *Link) diagnosed(tag string, good bool) {
	l.mu.Lock()
	answer := l.checks[tag]
	delete(l.checks, tag)
	l.mu.Unlock()
	if answer != nil {
		answer(good)
	}
}

func (l *Link) metered(tag string, values []string) {
	l.mu.Lock()
	if r := l.acks[tag]; r != nil {
		delete(l.acks, tag)
		if r.ack == tag && r.call > 0 {
			r.command = nil
		}
	}
	var lost []*run
	if tag == l.fence && !l.ready {
		l.ready = true
		var again []*run
		for _, r := range l.runs {
			if r.command != nil {
				again = append(again, r)
			}
		}
		sort.Slice(again, func(i, j int) bool { return again[i].seq < again[j].seq })
		for _, r := range again {
			if l.again(r) {
				lost = append(lost, r)
			}
		}
		for tag := range l.checks { // a broken link does not make the executor unhealthy: request the check again
			l.send([]byte("DIAG " + tag + "\r\n"))
		}
	}
	got := l.meters[tag]
	delete(l.meters, tag)
	l.mu.Unlock()
	for _, r := range lost {
		l.log.Warn().Str("id", r.attempt.Request.ID).Msg("reply to a call may be lost with the link and cannot be resent; attempt failed")
		r.attempt.Notify(core.Notice{Lost: true})
	}
	if got == nil {
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
	got(gauges)
}
