package core

import (
	"time"

	"puffinsaddle/internal/clock"
)

const (
	shutMs  = 250.0 // milliseconds before the stop at which listeners close: later requests could not be answered
	leaveMs = 25.0  // milliseconds before the stop at which the process exits
	// Milliseconds without a request after which the process exits early. Requests sent before the caller receives the
	// drain notice arrive within 50 ms of it.
	calmMs    = 125.0
	lookEvery = 5 * time.Millisecond

	// A process that was replaced runs for at least yieldLeast, since requests may still arrive that were sent before
	// callers received the drain notice. It is stopped yieldMore after the longest deadline, which counts as at most
	// yieldLong. All in milliseconds.
	yieldLeast = 1000.0
	yieldLong  = 3000.0
	yieldMore  = 700.0
)

// Front receives requests from callers and sends the answers.
type Front interface {
	Drain()         // requests callers to send no new requests
	StopAccepting() // stops accepting connections once the listen queue is empty
	Yield()         // stops accepting at once, leaves the shared listen queue to the successor and drains callers
	Flushed() bool  // reports whether all output is written
	Close()
}

// Shutdown drains the process after a notice that arrived at the time told, stopMs before the process is stopped: it
// notifies the module, requests callers to send no new requests, and returns once all requests that were read or waited
// in a listen queue have their answers, or shortly before the stop.
func (c *Core) Shutdown(told, stopMs float64, fronts ...Front) {
	stopAt := told + stopMs
	c.Drain(told, stopAt)
	for _, f := range fronts {
		f.Drain()
	}
	// Callers that have not received the drain notice may still connect until the listeners close.
	c.sleepUntil(stopAt - min(shutMs, stopMs/2))
	for _, f := range fronts {
		f.StopAccepting()
	}
	c.calm(stopAt-leaveMs, 0, fronts)
	c.log.Info().Int("owed", c.Owed()).Msg("leaving")
	for _, f := range fronts {
		f.Close()
	}
}

// YieldToSuccessor shuts down a process that was replaced by a successor on the same listening sockets, after a notice that arrived
// at the time told. Unlike Leave it keeps the state of health checks, since callers see the two processes as one server.
func (c *Core) YieldToSuccessor(told float64, fronts ...Front) {
	longest := clock.Millis(time.Duration(c.lasts.Load()))
	stopAt := told + min(longest, yieldLong) + yieldMore
	c.yields.Store(true)
	c.Drain(told, stopAt)
	for _, f := range fronts {
		f.Yield()
	}
	c.calm(stopAt-leaveMs, told+yieldLeast, fronts)
	c.log.Info().Int("owed", c.Owed()).Msg("leaving; the successor serves")
	for _, f := range fronts {
		f.StopAccepting()
		f.Close()
	}
}

// calm waits until no request has been open and no output unwritten for calmMs, but not before the time first and no
// longer than to the time last. Requests that were sent before callers received the drain notice arrive in that interval.
func (c *Core) calm(last, first float64, fronts []Front) {
	since := c.clock.Now()
	for now := since; now < last; now = c.clock.Now() {
		if !c.done(fronts) { // evaluated after the clock is read, which may have jumped
			since = now
		} else if now >= first && now-since >= calmMs {
			return
		}
		time.Sleep(lookEvery)
	}
}

func (c *Core) done(fronts []Front) bool {
	for _, f := range fronts {
		if !f.Flushed() {
			return false
		}
	}
	return c.Owed() == 0
}

func (c *Core) sleepUntil(at float64) {
	for rest := at - c.clock.Now(); rest > 0; rest = at - c.clock.Now() {
		time.Sleep(clock.Duration(rest))
	}
}
