package core

import (
	"time"

	"puffinsaddle/internal/clock"
)

const (
	stopAcceptingBeforeMS = 250.0 // before the stop, listeners close: what comes later could not be answered
	exitBeforeMS          = 25.0  // and the process ends so long before
	quiescentMS           = 125.0 // or once nothing came for so long; what crosses an asking does so within 50
	pollInterval          = 5 * time.Millisecond

	minYieldMS         = 1000.0 // a process that was replaced stays so long for requests that crossed its asking
	maxYieldDeadlineMS = 3000.0 // and is killed the longest deadline after its notice, of which so much counts,
	yieldGraceMS       = 700.0  // plus this
)

// Front is what brings requests.
type Front interface {
	Drain()         // ask callers for no new requests
	StopAccepting() // take no new connection, once the listening queue is empty
	Yield()         // the same where a successor shares the queue: leave it to that one, and ask callers to go there
	Flushed() bool  // nothing is left to write
	Close()
}

// Shutdown carries out the notice to drain, which came at that time: the module hears it, callers are asked to stay away, and
// all that was read, or waits in a listening queue, gets its answer before the process is stopped.
func (c *Core) Shutdown(noticedAt, stopMS float64, fronts ...Front) {
	stopAt := noticedAt + stopMS
	c.Drain(noticedAt, stopAt)
	for _, f := range fronts {
		f.Drain()
	}
	// Until the listeners close, callers that have not heard of the drain may still come.
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

// YieldToSuccessor carries out the notice, which came at that time, to a process that was replaced by another on the same listening
// sockets. It is no drain: checks keep their state, since to callers the two are one order server.
func (c *Core) YieldToSuccessor(noticedAt float64, fronts ...Front) {
	longest := clock.Millis(time.Duration(c.longestDeadline.Load()))
	stopAt := noticedAt + min(longest, maxYieldDeadlineMS) + yieldGraceMS
	c.yielding.Store(true)
	c.Drain(noticedAt, stopAt)
	for _, f := range fronts {
		f.Yield()
	}
	c.waitUntilQuiescent(stopAt-exitBeforeMS, noticedAt+minYieldMS, fronts)
	c.log.Info().Int("owed", c.Unanswered()).Msg("leaving to the successor")
	for _, f := range fronts {
		f.StopAccepting()
		f.Close()
	}
}

// waitUntilQuiescent waits, to that time at most, until nothing was owed, unread or unwritten for a while after the other time: what
// crossed the asking may come in that while, and is then owed its answer like all before it.
func (c *Core) waitUntilQuiescent(deadline, notBefore float64, fronts []Front) {
	quietSince := c.clock.Now()
	for now := quietSince; now < deadline; now = c.clock.Now() {
		if !c.quiescent(fronts) { // looked at last of all: the time may have jumped
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
