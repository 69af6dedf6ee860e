package core

import (
	"time"

	"puffinsaddle/internal/clock"
)

const (
	stopAcceptingBeforeMS = 250.0 // listeners close this long before the stop: later requests could not be answered
	exitBeforeMS          = 25.0  // the process exits this long before the stop

	// The process exits earlier once this many milliseconds have passed without an open request. Requests that were sent
	// before callers received the drain notice arrive within 50 ms.
	quiescentMS  = 125.0
	pollInterval = 5 * time.Millisecond

	// A process that was replaced runs for at least minYieldMS, since requests may still arrive that were sent before
	// callers received the drain notice. It is stopped yieldGraceMS after the longest deadline of a class, which counts
	// as at most maxYieldDeadlineMS.
	minYieldMS         = 1000.0
	maxYieldDeadlineMS = 3000.0
	yieldGraceMS       = 700.0
)

// Front receives requests from callers and sends the answers.
type Front interface {
	Drain()         // asks callers to send no new requests
	StopAccepting() // stops accepting connections once the listen queue is empty
	Yield()         // stops accepting at once, leaves the shared listen queue to the successor and drains callers
	Flushed() bool  // reports whether all output is written
	Close()
}

// Shutdown drains the process after a notice that arrived at noticedAt, stopMS before the process is stopped: it notifies
// the module, asks callers to send no new requests, and returns once all requests that were read or waited in a
// listen queue have their answers, or shortly before the stop.
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
	c.waitUntilQuiescent(stopAt-exitBeforeMS, 0, fronts)
	c.log.Info().Int("owed", c.Unanswered()).Msg("leaving")
	for _, f := range fronts {
		f.Close()
	}
}

// YieldToSuccessor shuts down a process that was replaced by a successor on the same listening sockets, after a notice
// that arrived at noticedAt. Unlike Shutdown it keeps the state of health checks, since callers see the two processes as
// one server.
func (c *Core) YieldToSuccessor(noticedAt float64, fronts ...Front) {
	longest := clock.Millis(time.Duration(c.longestDeadline.Load()))
	stopAt := noticedAt + min(longest, maxYieldDeadlineMS) + yieldGraceMS
	c.yielding.Store(true)
	c.Drain(noticedAt, stopAt)
	for _, f := range fronts {
		f.Yield()
	}
	c.waitUntilQuiescent(stopAt-exitBeforeMS, noticedAt+minYieldMS, fronts)
	c.log.Info().Int("owed", c.Unanswered()).Msg("leaving; the successor serves")
	for _, f := range fronts {
		f.StopAccepting()
		f.Close()
	}
}

// waitUntilQuiescent waits until no request has been open and no output unwritten for quiescentMS. It does not return
// before notBefore for that reason, and returns at the deadline in any case. The interval covers requests that were sent
// before callers received the drain notice.
func (c *Core) waitUntilQuiescent(deadline, notBefore float64, fronts []Front) {
	quietSince := c.clock.Now()
	for now := quietSince; now < deadline; now = c.clock.Now() {
		if !c.quiescent(fronts) { // evaluated after the clock is read, which may have jumped
			quietSince = now
		} else if now >= notBefore && now-quietSince >= quiescentMS {
			return
		}
		time.Sleep(pollInterval)
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

func (c *Core) sleepUntil(at float64) {
	for remaining := at - c.clock.Now(); remaining > 0; remaining = at - c.clock.Now() {
		time.Sleep(clock.Duration(remaining))
	}
}
