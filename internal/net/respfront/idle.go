package respfront

import (
	"syscall"

	"puffinsaddle/internal/core"
	"puffinsaddle/internal/net/accept"
)

const (
	sweepIntervalMS = 500  // between two searches for idle connections
	idleTimeoutMS   = 5000 // until an idle connection is asked to close, even if the platform sets a longer time
	closeGraceMS    = 1000 // from the closing message until the front closes the connection; some routers ignore it
)

// sweepIdle asks routers to close connections that were idle for longer than the policy module wants, or than
// idleTimeoutMS. A router that complies closes the connection itself, so no request crosses the close. The front closes
// the connection of a router that has not complied after closeGraceMS.
func (f *Front) sweepIdle() {
	f.mu.Lock()
	closed := f.closed
	idleAfterMS := float64(idleTimeoutMS)
	if moduleIdleMS := f.core.IdleCloseAfterMS(); moduleIdleMS > 0 {
		idleAfterMS = min(idleAfterMS, moduleIdleMS)
	}
	now := f.clock.Now()
	for c := range f.conns {
		switch {
		case closed || !c.idleSince(now-idleAfterMS):
		case !c.closingSentBy(now - closeGraceMS):
			c.sendClosing()
		default:
			f.closeIfIdle(c)
		}
	}
	f.mu.Unlock()
	if !closed {
		f.clock.After(sweepIntervalMS, f.sweepIdle)
	}
}

// evictIdle closes one idle connection and reports whether it did. It prefers connections that never sent a command, the
// oldest first, so that a router that has just connected has time to send one. Otherwise it closes the connection that has
// been idle for longest. This guards against clients that open connections and send nothing, or nothing more. The caller
// holds the front's lock.
func (f *Front) evictIdle() bool {
	var victim *conn
	for c := range f.conns {
		if c.idleSince(f.clock.Now()) && (victim == nil || c.evictBefore(victim)) {
			victim = c
		}
	}
	return victim != nil && f.closeIfIdle(victim)
}

// closeIfIdle closes a connection unless it has open requests, queued answers or new input, and reports whether it did.
// Closing would cut off a request that has just arrived: as bytes in the socket, as a command read in part, or as a
// complete one being handled. stopIfIdle holds the connection's lock from its first check to its decision, after which
// nothing more is read. The reader takes bytes from the socket under the same lock, so a command is always seen in one of
// these places. A command that crosses the close on the wire is retried by its router. The caller holds the front's
// lock.
func (f *Front) closeIfIdle(c *conn) bool {
	if !c.stopIfIdle() {
		return false
	}
	f.closeStopped(c)
	return true
}

// closeStopped closes a connection that is not read any more. The caller holds the front's lock, but not the connection's,
// which the reader may be waiting for.
func (f *Front) closeStopped(c *conn) {
	c.nc.Close()
	delete(f.conns, c)
	f.connCount.Store(int64(len(f.conns)))
}

// stopIfIdle stops reading from a connection without open requests, queued answers or input, asks its router to send no
// more, and reports whether it did so.
func (c *conn) stopIfIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inCommand || len(c.openRequests) > 0 || c.writing || len(c.sendBuffer) > 0 || !accept.IsIdle(c.nc) {
		return false
	}
	c.stopReading()
	return true
}

// stopIfSettled stops reading from a connection on which nothing is owed, and returns what is owed. Unlike stopIfIdle it
// also stops within a command whose rest has not arrived, since that is not a request yet.
func (c *conn) stopIfSettled() (owed core.Owed) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.broken {
		return owed
	}
	owed.Answers = len(c.openRequests)
	if c.writing || len(c.sendBuffer) > 0 {
		owed.Writes = 1
	}
	if !c.readDone && (c.inCommand && !c.awaitingRest || !accept.IsIdle(c.nc)) {
		owed.Reads = 1
	}
	if owed.Total() == 0 {
		c.stopReading()
	}
	return owed
}

// stopReading stops reading from a connection on which nothing is queued, and asks its router to send no more. The caller
// holds the connection's lock.
func (c *conn) stopReading() {
	c.broken = true
	if c.receivedCommand && !c.closingSent {
		c.closingSent = true
		c.raw.Write(func(fd uintptr) bool { // nothing is queued, so the socket buffer has space; otherwise the message is omitted
			syscall.Write(int(fd), appendClosing(nil))
			return true
		})
	}
}

// hasPendingData reports whether answers remain to be written, or input to be read or handled.
func (c *conn) hasPendingData() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.broken && (c.writing || len(c.sendBuffer) > 0 || !c.readDone && (c.inCommand || !accept.IsIdle(c.nc)))
}

// idleSince reports whether the connection has been idle since ms, in Unix milliseconds.
func (c *conn) idleSince(ms float64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.openRequests) == 0 && !c.inCommand && !c.writing && len(c.sendBuffer) == 0 && c.lastUsedMS <= ms
}

// closingSentBy reports whether the closing message was sent at ms or before, in Unix milliseconds.
func (c *conn) closingSentBy(ms float64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closingSent && c.closingSentMS <= ms
}

// evictBefore reports whether c is to be evicted before other.
func (c *conn) evictBefore(other *conn) bool {
	received, lastUsedMS := c.activity()
	otherReceived, otherLastUsedMS := other.activity()
	if received != otherReceived {
		return !received
	}
	return lastUsedMS < otherLastUsedMS
}

// activity returns whether a command was received, and the time of the last use in Unix milliseconds.
func (c *conn) activity() (receivedCommand bool, lastUsedMS float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.receivedCommand, c.lastUsedMS
}
