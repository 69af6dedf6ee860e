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
	redial      = 20 * time.Millisecond
	dialFor     = 2 * time.Second // an address that takes no connection is tried anew after so long
	mostPayload = 1 << 20         // bytes of a result or a call's body; the protocol has 4 KiB
	mostWaiting = 4 << 20         // bytes of commands that wait for a slow executor; past this the link is made anew
	anewSlack   = time.Second     // a clock may be set; an executor that begins anew takes longer
	mostAsked   = 64              // gauges and checks asked for at once
	silentFor   = 3 * time.Second // the module reads the gauges twice a second; a link that brings nothing so long is dead
)

// Link is the link to the executor, made anew whenever it breaks.
type Link struct {
	Silent time.Duration // a link that brings nothing for so long after its WELCOME is made anew; set before Run

	log  zerolog.Logger
	up   func(cold, another bool)
	kick chan struct{}

	mu      sync.Mutex
	address string
	leave   func() // ends the present link, or the dialing for it
	conn    net.Conn
	ready   bool      // the fence has passed: every command goes out as it is given
	fence   string    // tag of the METER that closes what the executor tells of the time without a link
	out     []byte    // commands for the writer
	last    uint64    // the last notice that was read
	met     time.Time // when an executor last welcomed us
	another bool      // the one that welcomes us next is another
	seq     uint64
	runs    map[string]*run
	acks    map[string]*run // by tag of the METER behind a reply that was handed to it
	meters  map[string]func([]float64)
	checks  map[string]func(bool)
}

// run is an attempt that the executor has, or should have.
type run struct {
	attempt *core.Attempt
	seq     uint64
	command []byte // the last command, until a notice shows that it arrived, or the answer to a later one does
	sent    bool   // it went out on a link, maybe one that broke
	begun   bool   // one of its commands went out
	call    uint64 // it is the reply to the call of this notice; 0: it is none
	ack     string // tag of the METER that went out behind it
}

// New makes a link; up is called at each WELCOME, and told whether another executor than at the last one gives it.
func New(address string, log zerolog.Logger, up func(cold, another bool)) *Link {
	return &Link{Silent: silentFor, address: address, leave: func() {}, log: log, up: up, kick: make(chan struct{}, 1), runs: map[string]*run{},
		acks: map[string]*run{}, meters: map[string]func([]float64){}, checks: map[string]func(bool){}}
}

// Move takes the link to a new address of the same executor: runs and the numbers of notices go on, and what
// was on its way over the old link is found out as after any break.
func (l *Link) Move(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.address != address {
		l.address = address
		l.leave()
	}
}

// Run keeps the link until the context ends.
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
		case <-here.Done(): // moved: the new address is tried at once
		case <-time.After(redial):
		}
		leave()
	}
}

// hold joins and serves one connection to its end.
func (l *Link) hold(conn net.Conn) error {
	l.mu.Lock()
	l.conn, l.ready, l.fence = conn, false, ""
	l.out = append(l.out[:0], fmt.Sprintf("JOIN %d\r\n", l.last)...)
	clear(l.acks)
	clear(l.meters) // asked on a link that is gone; nothing waits for them
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
			l.wake() // the kick may have been meant for the next link's writer
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

// send queues a command; the lock is held.
func (l *Link) send(b []byte) {
	if l.conn == nil {
		return
	}
	if len(l.out)+len(b) > mostWaiting {
		l.log.Error().Msg("the executor does not read; linking anew")
		l.conn.Close()
		return
	}
	l.out = append(l.out, b...)
	l.wake()
}

// command gives a run's command, and keeps it until a notice shows that it arrived.
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

// give sends a run's command, and behind a reply to a call a METER: commands are read in their order, so its answer
// shows that the reply arrived. The lock is held.
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

// again sends what the last link may have lost; true: a reply to a call that can't be sent again, nor left out. A RETURN
// names no call: a second one whose first did arrive would be taken for the reply to the run's next call. The call that
// a BYPASS leaves out is named, so it does nothing where the reply arrived. The lock is held.
func (l *Link) again(r *run) (lost bool) {
	if r.sent && r.call > 0 {
		if !r.attempt.CallsSkippable {
			r.command = nil
			return true
		}
		r.command, r.call = fmt.Appendf(nil, "BYPASS %s %d\r\n", r.attempt.Request.ID, r.call), 0
	}
	l.give(r)
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
	l.command(q.ID, 0, append(append(b, q.Body...), "\r\n"...))
}

// Return hands a run the reply to its call.
func (l *Link) Return(a *core.Attempt, notice uint64, reply []byte) {
	b := fmt.Appendf(make([]byte, 0, len(reply)+40), "RETURN %s %d\r\n", a.Request.ID, len(reply))
	l.command(a.Request.ID, notice, append(append(b, reply...), "\r\n"...))
}

// Skip lets a run go on without a call.
func (l *Link) Skip(a *core.Attempt, notice uint64) {
	l.command(a.Request.ID, 0, fmt.Appendf(nil, "BYPASS %s %d\r\n", a.Request.ID, notice))
}

// Abandon does nothing: the executor sees for itself whose caller has gone or got an answer.
func (l *Link) Abandon(*core.Attempt) {}

// ReadGauges asks for the gauges.
func (l *Link) ReadGauges(got func([]float64)) {
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

// Diagnose does the work of a deep check.
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

// read takes notices until the link ends or breaks the protocol.
func (l *Link) read(conn net.Conn) error {
	r, welcomed := bufio.NewReaderSize(conn, 64<<10), false
	for {
		if welcomed { // guards against a peer that is gone with nothing to tell of it; one that boots may take its time
			if err := conn.SetReadDeadline(time.Now().Add(l.Silent)); err != nil {
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
		if err := l.notice(words, body); err != nil {
			return fmt.Errorf("%w: %q", err, words)
		}
		welcomed = welcomed || words[0] == "WELCOME"
	}
}

// anew tells that the executor began after one had welcomed us, so that it is another: it numbers its notices from 1,
// and of what the one before ran nothing more is heard. Whether that had its effect nobody can tell.
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
		l.log.Warn().Str("id", r.attempt.Request.ID).Msg("its executor is gone: failed")
		r.attempt.Notify(core.Notice{Ended: true, Outcome: policy.Failed})
	}
	return another
}

var errAnew = errors.New("another executor: joining as at a start")

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
		// What the executor got of the last link's commands shows only in its notices. The answer to
		// this METER comes after all of them, so what then has no notice did not arrive.
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
		l.tell(n, w[2], core.Notice{Ended: true, Number: n, Outcome: outcome, TookMS: ms, Body: body})
	case w[0] == "CALLOUT" && len(w) == 4:
		n, err := strconv.ParseUint(w[1], 10, 64)
		if err != nil {
			return errMalformed
		}
		l.tell(n, w[2], core.Notice{Number: n, Body: body})
	case w[0] == "METERS" && len(w) >= 2:
		l.metered(w[1], w[2:])
	case w[0] == "DIAGNOSED" && len(w) == 3:
		l.diagnosed(w[1], w[2] == "success")
	case w[0] == "BAD" && len(w) >= 3:
		l.log.Debug().Strs("notice", w).Msg("command not carried out") // bad clients bring any number of these
		if w[1] == "EXEC" {                                            // it never ran, and nothing else will tell its end
			l.tell(0, w[2], core.Notice{Ended: true, Outcome: policy.Moot, UnknownRequest: true})
		}
		if w[1] == "METER" { // a site may have no gauges; the fence stands all the same
			l.metered(w[2], nil)
		}
		if w[1] == "DIAG" {
			l.diagnosed(w[2], true) // nothing speaks against it
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

// tell passes a notice on once; a new link may bring some again.
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
		for tag := range l.checks { // a broken link is no sign of sickness: ask again
			l.send([]byte("DIAG " + tag + "\r\n"))
		}
	}
	got := l.meters[tag]
	delete(l.meters, tag)
	l.mu.Unlock()
	for _, r := range lost {
		l.log.Warn().Str("id", r.attempt.Request.ID).Msg("a reply to a call may be lost with the link, and can't be sent again: failed")
		r.attempt.Notify(core.Notice{ReplyLost: true})
	}
	if got == nil {
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
	got(gauges)
}
