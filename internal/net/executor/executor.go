// Package executor speaks with the executor, which does the work: one link that is held open, on which
// commands and notices are lines of words.
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
	redialDelay        = 20 * time.Millisecond
	dialTimeout        = 2 * time.Second // an address that takes no connection is tried anew after so long
	maxPayloadBytes    = 1 << 20         // bytes of a result or a call's body; the protocol has 4 KiB
	maxUnsentBytes     = 4 << 20         // bytes of commands that wait for a slow executor; past this the link is made anew
	restartTolerance   = time.Second     // a clock may be set; an executor that begins anew takes longer
	maxPendingQueries  = 64              // gauges and checks asked for at once
	defaultReadTimeout = 3 * time.Second // the module reads the gauges twice a second; a link that brings nothing so long is dead
)

// Link is the link to the executor, made anew whenever it breaks.
type Link struct {
	ReadTimeout time.Duration // a link that brings nothing for so long after its WELCOME is made anew; set before Run

	log       zerolog.Logger
	onWelcome func(cold, another bool)
	wakeup    chan struct{}

	mu             sync.Mutex
	address        string
	disconnect     func() // ends the present link, or the dialing for it
	conn           net.Conn
	ready          bool      // the fence has passed: every command goes out as it is given
	barrierTag     string    // tag of the METER that closes what the executor tells of the time without a link
	unsent         []byte    // commands for the writer
	lastNotice     uint64    // the last notice that was read
	lastWelcome    time.Time // when an executor last welcomed us
	replaced       bool      // the one that welcomes us next is another
	seq            uint64
	runs           map[string]*run
	replyAcks      map[string]*run // by tag of the METER behind a reply that was handed to it
	meterCallbacks map[string]func([]float64)
	diagCallbacks  map[string]func(bool)
}

// run is an attempt that the executor has, or should have.
type run struct {
	attempt     *core.Attempt
	seq         uint64
	unconfirmed []byte // the last command, until a notice shows that it arrived, or the answer to a later one does
	sent        bool   // it went out on a link, maybe one that broke
	started     bool   // one of its commands went out
	replyTo     uint64 // it is the reply to the call of this notice; 0: it is none
	ackTag      string // tag of the METER that went out behind it
}

// New makes a link; up is called at each WELCOME, and told whether another executor than at the last one gives it.
func New(address string, log zerolog.Logger, onWelcome func(cold, replaced bool)) *Link {
	return &Link{ReadTimeout: defaultReadTimeout, address: address, disconnect: func() {}, log: log, onWelcome: onWelcome, wakeup: make(chan struct{}, 1), runs: map[string]*run{},
		replyAcks: map[string]*run{}, meterCallbacks: map[string]func([]float64){}, diagCallbacks: map[string]func(bool){}}
}

// SetAddress takes the link to a new address of the same executor: runs and the numbers of notices go on, and what
// was on its way over the old link is found out as after any break.
func (l *Link) SetAddress(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.address != address {
		l.address = address
		l.disconnect()
	}
}

// Run keeps the link until the context ends.
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
		case <-connCtx.Done(): // moved: the new address is tried at once
		case <-time.After(redialDelay):
		}
		cancel()
	}
}

// serve joins and serves one connection to its end.
func (l *Link) serve(conn net.Conn) error {
	l.mu.Lock()
	l.conn, l.ready, l.barrierTag = conn, false, ""
	l.unsent = append(l.unsent[:0], fmt.Sprintf("JOIN %d\r\n", l.lastNotice)...)
	clear(l.replyAcks)
	clear(l.meterCallbacks) // asked on a link that is gone; nothing waits for them
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

func (l *Link) wakeWriter() {
	select {
	case l.wakeup <- struct{}{}:
	default:
	}
}

func (l *Link) writeLoop(conn net.Conn, done <-chan struct{}) {
	var buf []byte
	for {
		select {
		case <-done:
			l.wakeWriter() // the kick may have been meant for the next link's writer
			return
		case <-l.wakeup:
		}
		l.mu.Lock()
		if l.conn != conn {
			l.mu.Unlock()
			l.wakeWriter()
			return
		}
		buf, l.unsent = l.unsent, buf[:0]
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

// enqueue queues a command; the lock is held.
func (l *Link) enqueue(b []byte) {
	if l.conn == nil {
		return
	}
	if len(l.unsent)+len(b) > maxUnsentBytes {
		l.log.Error().Msg("the executor does not read; linking anew")
		l.conn.Close()
		return
	}
	l.unsent = append(l.unsent, b...)
	l.wakeWriter()
}

// submit gives a run's command, and keeps it until a notice shows that it arrived.
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

// sendCommand sends a run's command, and behind a reply to a call a METER: commands are read in their order, so its answer
// shows that the reply arrived. The lock is held.
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

// resend sends what the last link may have lost; true: a reply to a call that can't be sent again, nor left out. A RETURN
// names no call: a second one whose first did arrive would be taken for the reply to the run's next call. The call that
// a BYPASS leaves out is named, so it does nothing where the reply arrived. The lock is held.
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

// Start runs a request.
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

// Return hands a run the reply to its call.
func (l *Link) Return(a *core.Attempt, notice uint64, reply []byte) {
	b := fmt.Appendf(make([]byte, 0, len(reply)+40), "RETURN %s %d\r\n", a.Request.ID, len(reply))
	l.submit(a.Request.ID, notice, append(append(b, reply...), "\r\n"...))
}

// Skip lets a run go on without a call.
func (l *Link) Skip(a *core.Attempt, notice uint64) {
	l.submit(a.Request.ID, 0, fmt.Appendf(nil, "BYPASS %s %d\r\n", a.Request.ID, notice))
}

// Abandon does nothing: the executor sees for itself whose caller has gone or got an answer.
func (l *Link) Abandon(*core.Attempt) {}

// ReadGauges asks for the gauges.
func (l *Link) ReadGauges(got func([]float64)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.ready || len(l.meterCallbacks) >= maxPendingQueries {
		return
	}
	l.seq++
	tag := "m" + strconv.FormatUint(l.seq, 10)
	l.meterCallbacks[tag] = got
	l.enqueue([]byte("METER " + tag + "\r\n"))
}

// Diagnose does the work of a deep check.
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

// readLoop takes notices until the link ends or breaks the protocol.
func (l *Link) readLoop(conn net.Conn) error {
	r, welcomed := bufio.NewReaderSize(conn, 64<<10), false
	for {
		if welcomed { // guards against a peer that is gone with nothing to tell of it; one that boots may take its time
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
				return fmt.Errorf("no length: %q", line)
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
				return errors.New("a body does not end where it should")
			}
		}
		if err := l.handleNotice(words, body); err != nil {
			return fmt.Errorf("%w: %q", err, words)
		}
		welcomed = welcomed || words[0] == "WELCOME"
	}
}

// checkReplaced tells that the executor began after one had welcomed us, so that it is another: it numbers its notices from 1,
// and of what the one before ran nothing more is heard. Whether that had its effect nobody can tell.
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
		l.log.Warn().Str("id", r.attempt.Request.ID).Msg("its executor is gone: failed")
		r.attempt.Notify(core.Notice{Ended: true, Outcome: policy.Failed})
	}
	return replaced
}

var errExecutorReplaced = errors.New("another executor: joining as at a start")

var errMalformed = errors.New("malformed notice")

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
		// What the executor got of the last link's commands shows only in its notices. The answer to
		// this METER comes after all of them, so what then has no notice did not arrive.
		l.seq++
		l.barrierTag = "f" + strconv.FormatUint(l.seq, 10)
		l.enqueue([]byte("METER " + l.barrierTag + "\r\n"))
	case words[0] == "EXIT" && len(words) == 6:
		n, err := strconv.ParseUint(words[1], 10, 64)
		ms, err2 := strconv.ParseFloat(words[4], 64)
		if err != nil || err2 != nil {
			return errMalformed
		}
		outcome, ok := map[string]policy.Outcome{"success": policy.OK, "failure": policy.Failed,
			"interrupted": policy.Cancelled, "nothing": policy.NotRun}[words[3]]
		if !ok {
			return errMalformed
		}
		l.deliver(n, words[2], core.Notice{Ended: true, Number: n, Outcome: outcome, TookMS: ms, Body: body})
	case words[0] == "CALLOUT" && len(words) == 4:
		n, err := strconv.ParseUint(words[1], 10, 64)
		if err != nil {
			return errMalformed
		}
		l.deliver(n, words[2], core.Notice{Number: n, Body: body})
	case words[0] == "METERS" && len(words) >= 2:
		l.handleMeters(words[1], words[2:])
	case words[0] == "DIAGNOSED" && len(words) == 3:
		l.handleDiagnosed(words[1], words[2] == "success")
	case words[0] == "BAD" && len(words) >= 3:
		l.log.Debug().Strs("notice", words).Msg("command not carried out") // bad clients bring any number of these
		if words[1] == "EXEC" {                                            // it never ran, and nothing else will tell its end
			l.deliver(0, words[2], core.Notice{Ended: true, Outcome: policy.NotRun, UnknownRequest: true})
		}
		if words[1] == "METER" { // a site may have no gauges; the fence stands all the same
			l.handleMeters(words[2], nil)
		}
		if words[1] == "DIAG" {
			l.handleDiagnosed(words[2], true) // nothing speaks against it
		}
	case words[0] == "BAD":
	case words[0] == "LOG" && len(words) >= 2:
		if n, err := strconv.ParseUint(words[1], 10, 64); err == nil {
			l.deliver(n, "", core.Notice{})
		}
		l.log.Debug().Strs("notice", words).Msg("executor")
	default:
		return errMalformed
	}
	return nil
}

// deliver passes a notice on once; a new link may bring some again.
func (l *Link) deliver(n uint64, id string, notice core.Notice) {
	l.mu.Lock()
	if n > 0 {
		if n <= l.lastNotice {
			l.mu.Unlock()
			pool.Put(notice.Body)
			return
		}
		l.lastNotice = n
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

func (l *Link) handleDiagnosed(tag string, healthy bool) {
	l.mu.Lock()
	callback := l.diagCallbacks[tag]
	delete(l.diagCallbacks, tag)
	l.mu.Unlock()
	if callback != nil {
		callback(healthy)
	}
}

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
		for tag := range l.diagCallbacks { // a broken link is no sign of sickness: ask again
			l.enqueue([]byte("DIAG " + tag + "\r\n"))
		}
	}
	callback := l.meterCallbacks[tag]
	delete(l.meterCallbacks, tag)
	l.mu.Unlock()
	for _, r := range lost {
		l.log.Warn().Str("id", r.attempt.Request.ID).Msg("a reply to a call may be lost with the link, and can't be sent again: failed")
		r.attempt.Notify(core.Notice{ReplyLost: true})
	}
	if callback == nil {
		return
	}
	gauges := make([]float64, len(values))
	for i, v := range values {
		x, err := strconv.ParseFloat(v, 64)
		if err != nil {
			x = -1 // a gauge that is not told
		}
		gauges[i] = x
	}
	callback(gauges)
}
