package core

import "time"

const (
	// From this long before the stop, and after the module's last answers, each connection is closed once nothing is owed
	// on it.
	closeBeforeMS = 25.0

	// What is owed this long before the stop is logged, since the process may be killed at the stop.
	warnBeforeMS = 10.0

	// A process that is not killed at the stop keeps its connections for this long if it still owes answers on them.
	lateAnswersMS = 1000.0

	// Connections are closed earlier once this many milliseconds have passed without an open request. Requests that were
	// sent before callers received the drain notice arrive within 50 ms.
	quiescentMS       = 125.0
	pollInterval      = 5 * time.Millisecond
	closePollInterval = time.Millisecond
)

// closeReason says why a process begins to close its connections.
type closeReason string

const (
	closeQuiescent   closeReason = "no open requests"
	closeLastAnswers closeReason = "all requests answered before the stop"
	closeDeadline    closeReason = "the stop has passed"
)

// departure is the end of a process that was asked to stop: the wait until its connections may be closed, and the closing.
type departure struct {
	core            *Core
	fronts          []Front
	stopAt          float64 // when the process is killed
	stopAcceptingAt float64 // when the fronts stop accepting connections and reading incomplete requests
	notBefore       float64 // connections are not closed earlier because the process is quiescent
	message         string  // of the log line at the end

	stoppedAccepting bool
	warned           bool // what is owed shortly before the stop is logged
}

// run closes each connection once nothing is owed on it. It begins when the process is quiescent, or after the module's last
// answers shortly before the stop. It returns when all connections are closed; what is still owed lateAnswersMS after the
// stop is logged and given up.
func (d *departure) run() {
	reason := d.waitUntilClosing()
	owed, complete := d.closeSettled()
	if !complete {
		reason = closeDeadline
	}
	d.core.log.Info().Int("owed", owed.Total()).Int("unanswered", owed.Answers).Int("unwritten", owed.Writes).Int("unread", owed.Reads).
		Str("reason", string(reason)).Msg(d.message)
	for _, f := range d.fronts {
		f.Close()
	}
}

// waitUntilClosing waits until connections may be closed: no request has been open and no output unwritten for
// quiescentMS, or the module has given its last answers and the stop is closeBeforeMS away. After the deadline it returns
// in any case. The quiescent interval covers requests that were sent before callers received the drain notice.
func (d *departure) waitUntilClosing() closeReason {
	quietSince := d.core.clock.Now()
	for {
		now := d.core.clock.Now()
		if now >= d.stopAcceptingAt {
			d.stopAccepting()
		}
		if !d.quiescent() { // evaluated after the clock is read, which may have jumped
			quietSince = now
		} else if now >= d.notBefore && now-quietSince >= quiescentMS {
			return closeQuiescent
		}
		if now >= d.stopAt-closeBeforeMS && d.core.hasStopped() {
			return closeLastAnswers
		}
		if now >= d.deadline() {
			return closeDeadline
		}
		d.warnOfOwed(now, Owed{Answers: d.core.Unanswered()})
		time.Sleep(pollInterval)
	}
}

// stopAccepting makes the fronts, once, stop accepting connections and reading incomplete requests.
func (d *departure) stopAccepting() {
	if d.stoppedAccepting {
		return
	}
	d.stoppedAccepting = true
	for _, f := range d.fronts {
		f.StopAccepting()
	}
}

// closeSettled closes connections as nothing is owed on them any more, until none is left or the deadline has passed. It
// returns what is still owed, and whether all connections were closed in time.
func (d *departure) closeSettled() (owed Owed, complete bool) {
	d.stopAccepting()
	for ; ; time.Sleep(closePollInterval) {
		owed = Owed{}
		for _, f := range d.fronts {
			owed.Add(f.CloseSettled())
		}
		now := d.core.clock.Now()
		if owed.Total() == 0 || now >= d.deadline() {
			return owed, owed.Total() == 0
		}
		d.warnOfOwed(now, owed)
	}
}

// warnOfOwed logs, once, what is owed warnBeforeMS before the stop or later.
func (d *departure) warnOfOwed(now float64, owed Owed) {
	if d.warned || now < d.stopAt-warnBeforeMS || owed.Total() == 0 {
		return
	}
	d.warned = true
	d.core.log.Warn().Int("unanswered", owed.Answers).Int("unwritten", owed.Writes).Int("unread", owed.Reads).
		Msg("answers are owed shortly before the stop")
}

// quiescent reports whether no request is open and all output is written.
func (d *departure) quiescent() bool {
	for _, f := range d.fronts {
		if !f.Flushed() {
			return false
		}
	}
	return d.core.Unanswered() == 0
}

// deadline returns the time at which connections are closed whatever is owed on them.
func (d *departure) deadline() float64 { return d.stopAt + lateAnswersMS }
