package core

import (
	"time"

	"puffinsaddle/internal/clock"
)

const (
	stopAcceptingBeforeMS = 250.0 // listeners close this long before the stop: later requests could not be answered

	// From this long before the stop, and after the module's last answers, each connection is closed once nothing is owed
	// on it.
	closeBeforeMS = 25.0

	// A process that is not killed at the stop keeps its connections for this long if it still owes answers on them.
	lateAnswersMS = 1000.0

	// Connections are closed earlier once this many milliseconds have passed without an open request. Requests that were
	// sent before callers received the drain notice arrive within 50 ms.
	quiescentMS       = 125.0
	pollInterval      = 5 * time.Millisecond
	closePollInterval = time.Millisecond

	// A process that was replaced runs for at least minYieldMS, since requests may still arrive that were sent before
	// callers received the drain notice. It is stopped yieldGraceMS after the longest deadline of a class, which counts
	// as at most maxYieldDeadlineMS, or when the platform kills it if that is earlier.
	minYieldMS         = 1000.0
	maxYieldDeadlineMS = 3000.0
	yieldGraceMS       = 700.0
)

// Front receives requests from callers and sends the answers.
type Front interface {
	Drain()             // asks callers to send no new requests
	StopAccepting()     // stops accepting connections once the listen queue is empty
	Yield()             // stops accepting at once, leaves the shared listen queue to the successor and drains callers
	Flushed() bool      // reports whether all output is written
	CloseSettled() Owed // closes each connection on which nothing is owed, and returns what is owed on the others
	Close()
}

// Owed counts what is owed to callers, by what is missing.
type Owed struct {
	Answers int // requests without an answer
	Writes  int // connections with answers that are not written
	Reads   int // connections with input that is not handled
}

// Add adds counts.
func (o *Owed) Add(other Owed) {
	o.Answers += other.Answers
	o.Writes += other.Writes
	o.Reads += other.Reads
}

// Total returns the sum of the counts; 0 means that nothing is owed.
func (o Owed) Total() int { return o.Answers + o.Writes + o.Reads }

// closeReason says why a process begins to close its connections.
type closeReason string

const (
	closeQuiescent   closeReason = "no open requests"
	closeLastAnswers closeReason = "all requests answered before the stop"
	closeDeadline    closeReason = "the stop has passed"
)

// Shutdown drains the process after a notice that arrived at noticedAt, stopMS before the process is stopped: it notifies
// the module, asks callers to send no new requests, and returns once all requests that were read or waited in a
// listen queue have their answers, or some time after the stop.
func (c *Core) Shutdown(noticedAt, stopMS float64, fronts ...Front) {
	stopAt := noticedAt + stopMS
	c.Drain(noticedAt, stopAt)
	for _, f := range fronts {
		f.Drain()
	}
	// Callers that have not received the drain notice may still connect until the listeners close.
	c.sleepUntil(stopAt - min(stopAcceptingBeforeMS, stopMS/2))
	for _, f := range fronts {
		f.StopAccepting()
	}
	c.closeConnections(stopAt, 0, fronts, "leaving")
}

// YieldToSuccessor shuts down a process that was replaced by a successor on the same listening sockets, after a notice
// that arrived at noticedAt, stopMS before the process is stopped. Unlike Shutdown it keeps the state of health checks,
// since callers see the two processes as one server.
func (c *Core) YieldToSuccessor(noticedAt, stopMS float64, fronts ...Front) {
	longest := clock.Millis(time.Duration(c.longestDeadline.Load()))
	stopAt := noticedAt + min(min(longest, maxYieldDeadlineMS)+yieldGraceMS, stopMS)
	c.yielding.Store(true)
	c.Drain(noticedAt, stopAt)
	for _, f := range fronts {
		f.Yield()
	}
	c.closeConnections(stopAt, noticedAt+minYieldMS, fronts, "leaving; the successor serves")
}

// StopReached returns a channel that is closed once the module has given its last answers before the stop: every request
// that it received has an answer, later ones are refused at once, and no attempt makes a further downstream call.
func (c *Core) StopReached() <-chan struct{} { return c.stopReached }

// closeConnections closes each connection once nothing is owed on it. It begins when the process is quiescent, but not
// before notBefore, or after the module's last answers shortly before the stop. It returns when all connections are
// closed; what is still owed lateAnswersMS after the stop is logged and given up.
func (c *Core) closeConnections(stopAt, notBefore float64, fronts []Front, message string) {
	deadline := stopAt + lateAnswersMS
	reason := c.waitUntilClosing(stopAt-closeBeforeMS, deadline, notBefore, fronts)
	owed, warned := closeSettled(fronts), false
	for ; owed.Total() > 0; owed = closeSettled(fronts) {
		now := c.clock.Now()
		if now >= deadline {
			reason = closeDeadline
			break
		}
		if now >= stopAt && !warned {
			warned = true // the process may be killed at any moment
			c.log.Warn().Int("unanswered", owed.Answers).Int("unwritten", owed.Writes).Int("unread", owed.Reads).Msg("answers are owed at the stop")
		}
		time.Sleep(closePollInterval)
	}
	c.log.Info().Int("owed", owed.Total()).Int("unanswered", owed.Answers).Int("unwritten", owed.Writes).Int("unread", owed.Reads).
		Str("reason", string(reason)).Msg(message)
	for _, f := range fronts {
		f.Close()
	}
}

// waitUntilClosing waits until connections may be closed: no request has been open and no output unwritten for
// quiescentMS, though not before notBefore, or the module has given its last answers and closeAt has passed. At the
// deadline it returns in any case. The interval covers requests that were sent before callers received the drain notice.
func (c *Core) waitUntilClosing(closeAt, deadline, notBefore float64, fronts []Front) closeReason {
	quietSince := c.clock.Now()
	for {
		now := c.clock.Now()
		if !c.quiescent(fronts) { // evaluated after the clock is read, which may have jumped
			quietSince = now
		} else if now >= notBefore && now-quietSince >= quiescentMS {
			return closeQuiescent
		}
		if now >= closeAt && c.hasStopped() {
			return closeLastAnswers
		}
		if now >= deadline {
			return closeDeadline
		}
		time.Sleep(pollInterval)
	}
}

// hasStopped reports whether the module has given its last answers before the stop.
func (c *Core) hasStopped() bool {
	select {
	case <-c.stopReached:
		return true
	default:
		return false
	}
}

func (c *Core) quiescent(fronts []Front) bool {
	for _, f := range fronts {
		if !f.Flushed() {
			return false
		}
	}
	return c.Unanswered() == 0
}

// closeSettled closes the connections of all fronts on which nothing is owed, and returns what is owed on the others.
func closeSettled(fronts []Front) (owed Owed) {
	for _, f := range fronts {
		owed.Add(f.CloseSettled())
	}
	return owed
}

func (c *Core) sleepUntil(at float64) {
	for remaining := at - c.clock.Now(); remaining > 0; remaining = at - c.clock.Now() {
		time.Sleep(clock.Duration(remaining))
	}
}
