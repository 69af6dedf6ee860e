package core

import (
	"time"

	"puffinsaddle/internal/clock"
)

const (
	stopAcceptingBeforeMS = 250.0 // listeners close this long before the stop: later requests could not be answered

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
	stopAcceptingAt := stopAt - min(stopAcceptingBeforeMS, stopMS/2)
	c.sleepUntil(stopAcceptingAt)
	d := departure{core: c, fronts: fronts, stopAt: stopAt, stopAcceptingAt: stopAcceptingAt, notBefore: stopAcceptingAt, message: "leaving"}
	d.run()
}

// YieldToSuccessor shuts down a process that was replaced by a successor on the same listening sockets, after a notice
// that arrived at noticedAt, stopMS before the process is stopped. Unlike Shutdown it keeps the state of health checks,
// since callers see the two processes as one server.
func (c *Core) YieldToSuccessor(noticedAt, stopMS float64, fronts ...Front) {
	longest := clock.Millis(time.Duration(c.longestDeadline.Load()))
	runMS := min(min(longest, maxYieldDeadlineMS)+yieldGraceMS, stopMS)
	stopAt := noticedAt + runMS
	c.yielding.Store(true)
	c.Drain(noticedAt, stopAt)
	for _, f := range fronts {
		f.Yield()
	}
	d := departure{core: c, fronts: fronts, stopAt: stopAt, stopAcceptingAt: stopAt - min(stopAcceptingBeforeMS, runMS/2),
		notBefore: noticedAt + minYieldMS, message: "leaving; the successor serves"}
	d.run()
}

// StopReached returns a channel that is closed once the module has given its last answers before the stop: every request
// that it received has an answer, later ones are refused at once, and no attempt makes a further downstream call.
func (c *Core) StopReached() <-chan struct{} { return c.stopReached }

// hasStopped reports whether the module has given its last answers before the stop.
func (c *Core) hasStopped() bool {
	select {
	case <-c.stopReached:
		return true
	default:
		return false
	}
}

func (c *Core) sleepUntil(at float64) {
	for remaining := at - c.clock.Now(); remaining > 0; remaining = at - c.clock.Now() {
		time.Sleep(clock.Duration(remaining))
	}
}
