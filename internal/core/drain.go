package core

import (
	"time"

	"puffinsaddle/internal/clock"
)

const (
	shutMs    = 250.0 // before the stop, listeners close: what comes later could not be answered
	leaveMs   = 25.0  // and the process ends so long before
	calmMs    = 125.0 // or once nothing came for so long; what crosses an asking does so within 50
	lookEvery = 5 * time.Millisecond

	yieldLeast = 1000.0 // a process that was replaced stays so long for requests that crossed its asking
	yieldLong  = 3000.0 // and is killed the longest deadline after its notice, of which so much counts,
	yieldMore  = 700.0  // plus this
)

// Front is what brings requests.
type Front interface {
	Drain()        // ask callers for no new requests
	Shut()         // take no new connection, once the listening queue is empty
	Yield()        // the same where a successor shares the queue: leave it to that one, and ask callers to go there
	Flushed() bool // nothing is left to write
	Close()
}

// Leave carries out the notice to drain, which came at that time: the module hears it, callers are asked to stay away, and
// all that was read, or waits in a listening queue, gets its answer before the process is stopped.
func (c *Core) Leave(told, stopMs float64, fronts ...Front) {
	stopAt := told + stopMs
	c.Drain(told, stopAt)
	for _, f := range fronts {
		f.Drain()
	}
	// Until the listeners close, callers that have not heard of the drain may still come.
	c.sleepUntil(stopAt - min(shutMs, stopMs/2))
	for _, f := range fronts {
		f.Shut()
	}
	c.calm(stopAt-leaveMs, 0, fronts)
	c.log.Info().Int("owed", c.Owed()).Msg("leaving")
	for _, f := range fronts {
		f.Close()
	}
}

// Yield carries out the notice, which came at that time, to a process that was replaced by another on the same listening
// sockets. It is no drain: checks keep their state, since to callers the two are one order server.
func (c *Core) Yield(told float64, fronts ...Front) {
	longest := clock.Millis(time.Duration(c.lasts.Load()))
	stopAt := told + min(longest, yieldLong) + yieldMore
	c.yields.Store(true)
	c.Drain(told, stopAt)
	for _, f := range fronts {
		f.Yield()
	}
	c.calm(stopAt-leaveMs, told+yieldLeast, fronts)
	c.log.Info().Int("owed", c.Owed()).Msg("leaving to the successor")
	for _, f := range fronts {
		f.Shut()
		f.Close()
	}
}

// calm waits, to that time at most, until nothing was owed, unread or unwritten for a while after the other time: what
// crossed the asking may come in that while, and is then owed its answer like all before it.
func (c *Core) calm(last, first float64, fronts []Front) {
	since := c.clock.Now()
	for now := since; now < last; now = c.clock.Now() {
		if !c.done(fronts) { // looked at last of all: the time may have jumped
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
