package executor

import (
	"fmt"
	"strconv"

	"puffinsaddle/internal/core"
)

// The commands that are sent to the executor. Those of an attempt are kept until it is certain that they arrived.

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
