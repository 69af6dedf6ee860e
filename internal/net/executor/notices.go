package executor

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"sort"
	"strconv"
	"strings"
	"time"

	"puffinsaddle/internal/core"
	"puffinsaddle/internal/pool"
	"puffinsaddle/policy"
)

// The notices that the executor sends: the ends and calls of attempts, and the answers to queries.

var (
	errExecutorReplaced = errors.New("executor was replaced; joining again from its first notice")
	errMalformed        = errors.New("malformed notice")
)

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

// handleNotice handles one notice; an error ends the connection.
func (l *Link) handleNotice(words []string, body []byte) error {
	switch {
	case words[0] == "WELCOME" && len(words) == 3:
		return l.handleWelcome(words[1], words[2])
	case words[0] == "EXIT" && len(words) == 6:
		return l.handleExit(words, body)
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
	case words[0] == "BAD":
		l.handleBad(words)
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

// handleWelcome handles the first notice of a connection: the state of the executor and its age in milliseconds.
func (l *Link) handleWelcome(state, age string) error {
	ageMS, err := strconv.ParseFloat(age, 64)
	if err != nil {
		return errMalformed
	}
	l.log.Info().Str("state", state).Float64("age_ms", ageMS).Msg("executor link up")
	if l.checkReplaced(time.Now(), ageMS) {
		return errExecutorReplaced
	}
	l.mu.Lock()
	replaced := l.replaced
	l.replaced = false
	l.mu.Unlock()
	l.onWelcome(state == "booting", replaced)
	l.mu.Lock()
	defer l.mu.Unlock()
	// Only notices show which commands of the previous connection reached the executor. The answer to this METER
	// follows all of those notices, so a command that has none by then did not arrive.
	l.seq++
	l.barrierTag = "f" + strconv.FormatUint(l.seq, 10)
	l.enqueue([]byte("METER " + l.barrierTag + "\r\n"))
	return nil
}

// handleExit handles the end of an attempt: the number of the notice, the request, the outcome and the running time in
// milliseconds.
func (l *Link) handleExit(words []string, body []byte) error {
	number, err := strconv.ParseUint(words[1], 10, 64)
	if err != nil {
		return errMalformed
	}
	outcome, ok := map[string]policy.Outcome{"success": policy.OK, "failure": policy.Failed,
		"interrupted": policy.Cancelled, "nothing": policy.NotRun}[words[3]]
	if !ok {
		return errMalformed
	}
	tookMS, err := strconv.ParseFloat(words[4], 64)
	if err != nil {
		return errMalformed
	}
	l.deliver(number, words[2], core.Notice{Ended: true, Number: number, Outcome: outcome, TookMS: tookMS, Body: body})
	return nil
}

// handleBad handles the rejection of a command. It is logged at debug level, since faulty clients can cause any number of these.
func (l *Link) handleBad(words []string) {
	if len(words) < 3 {
		return
	}
	l.log.Debug().Strs("notice", words).Msg("executor rejected a command")
	switch words[1] {
	case "EXEC": // the request never ran, and no EXIT will follow
		l.deliver(0, words[2], core.Notice{Ended: true, Outcome: policy.NotRun, UnknownRequest: true})
	case "METER": // a site may have no gauges; this answer, too, serves as barrier and acknowledgement
		l.handleMeters(words[2], nil)
	case "DIAG":
		l.handleDiagnosed(words[2], true) // an executor without deep checks counts as healthy
	}
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
// reconnect, or passes the gauges to their callback.
func (l *Link) handleMeters(tag string, values []string) {
	l.mu.Lock()
	l.confirmReply(tag)
	var lost []*run
	if tag == l.barrierTag && !l.ready {
		lost = l.endBarrier()
	}
	callback := l.meterCallbacks[tag]
	delete(l.meterCallbacks, tag)
	l.mu.Unlock()
	for _, r := range lost {
		l.log.Warn().Str("id", r.attempt.Request.ID).
			Msg("reply to a call may be lost with the link and cannot be resent; attempt failed")
		r.attempt.Notify(core.Notice{ReplyLost: true})
	}
	if callback != nil {
		callback(parseGauges(values))
	}
}

// confirmReply confirms that the reply to a call has arrived, if the METER of this tag was sent after one. The caller holds the
// lock.
func (l *Link) confirmReply(tag string) {
	r := l.replyAcks[tag]
	if r == nil {
		return
	}
	delete(l.replyAcks, tag)
	if r.ackTag == tag && r.replyTo > 0 {
		r.unconfirmed = nil
	}
}

// endBarrier sends again what the previous connection may have lost, in the order in which the attempts were started. It returns
// the attempts whose replies to calls cannot be sent again. The caller holds the lock.
func (l *Link) endBarrier() (lost []*run) {
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
	return lost
}

// parseGauges returns the values of gauges; -1 stands for a gauge without a value.
func parseGauges(values []string) []float64 {
	gauges := make([]float64, len(values))
	for i, v := range values {
		x, err := strconv.ParseFloat(v, 64)
		if err != nil {
			x = -1
		}
		gauges[i] = x
	}
	return gauges
}
