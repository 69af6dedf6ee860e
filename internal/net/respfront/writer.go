package respfront

import (
	"puffinsaddle/internal/core"
	"puffinsaddle/internal/pool"
)

const (
	maxSendBufferBytes    = 512 << 10 // of answers that a connection holds; that of a slower reader is closed
	defaultMaxUnsentBytes = 64 << 20  // of answers that all connections hold
)

// sendAnswer sends the only answer to a request.
func (c *conn) sendAnswer(tag uint64, o core.Outcome) {
	hint, hasHint := c.front.core.Hint()
	firstForged := false
	c.enqueue(func(b []byte) []byte {
		delete(c.openRequests, tag)
		c.lastUsedMS = c.front.clock.Now()
		c.servedRequest = c.servedRequest || o.Verdict == core.Served
		o.UnknownRequest = o.UnknownRequest && !c.servedRequest
		// Before the answer is written: the router may send its next request as soon as it has it.
		firstForged = o.UnknownRequest && !c.forgedSeen.Swap(true)
		return appendAnswer(b, tag, hint, hasHint, o)
	})
	if firstForged {
		c.failUnlessStarted()
	}
}

// failUnlessStarted fails the open requests that have not started. It is called after the first forged request of a
// connection, since its other requests are most likely forged too.
func (c *conn) failUnlessStarted() {
	c.mu.Lock()
	var handlers []*core.Handler
	for _, handler := range c.openRequests {
		if handler != nil {
			handlers = append(handlers, handler)
		}
	}
	c.mu.Unlock()
	for _, handler := range handlers {
		handler.FailUnlessStarted()
	}
}

// sendClosing asks the router, once, to send no new requests on this connection.
func (c *conn) sendClosing() {
	c.mu.Lock()
	sent := c.closingSent
	if !sent {
		c.closingSent, c.closingSentMS = true, c.front.clock.Now()
	}
	c.mu.Unlock()
	if !sent {
		c.enqueue(appendClosing)
	}
}

// enqueue queues for the writer what appendTo appends to the send buffer. It never blocks.
func (c *conn) enqueue(appendTo func([]byte) []byte) {
	c.mu.Lock()
	before := len(c.sendBuffer)
	c.sendBuffer = appendTo(c.sendBuffer)
	c.addUnsent(len(c.sendBuffer) - before)
	overflow := !c.broken && c.unsent > c.front.maxUnsent()
	if c.broken = c.broken || overflow; c.broken {
		c.addUnsent(-len(c.sendBuffer))
		c.sendBuffer = nil
	}
	c.mu.Unlock()
	if overflow {
		c.nc.Close() // the router does not read its answers
	}
	c.wakeWriter()
}

// addUnsent counts answers of this connection that are queued or being written. The caller holds the lock.
func (c *conn) addUnsent(bytes int) {
	c.unsent += bytes
	c.front.unsentBytes.Add(int64(bytes))
}

// countWritten counts bytes that were written.
func (c *conn) countWritten(bytes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addUnsent(-bytes)
}

// maxUnsent returns how much one connection may have unsent, in bytes. Once half of the front's memory for answers is in use, the
// connections share the other half.
func (f *Front) maxUnsent() int {
	half := f.maxUnsentBytes / 2
	if f.unsentBytes.Load() < half {
		return maxSendBufferBytes
	}
	return int(min(half/max(f.connCount.Load(), 1), maxSendBufferBytes))
}

// wakeWriter signals the writer that answers are queued or that the connection may have ended. It never blocks.
func (c *conn) wakeWriter() {
	select {
	case c.wakeup <- struct{}{}:
	default:
	}
}

// writeLoop sends what is queued, and closes the connection once no further answers are due.
func (c *conn) writeLoop() {
	defer c.front.removeConn(c)
	defer c.discardUnsent()
	defer c.nc.Close()
	var buf []byte
	for range c.wakeup {
		for {
			var finished bool
			if buf, finished = c.takeQueued(buf); finished {
				return
			}
			if len(buf) == 0 {
				break
			}
			if _, err := c.nc.Write(buf); err != nil {
				c.abandonRequests()
				return
			}
			c.countWritten(len(buf))
			if cap(buf) > pool.Size {
				buf = nil // release the memory of a burst
			}
		}
	}
}

// takeQueued takes what is queued, in exchange for a buffer that was written. It reports whether the connection has ended or
// no further answers are due.
func (c *conn) takeQueued(written []byte) (queued []byte, finished bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	queued, c.sendBuffer = c.sendBuffer, written[:0]
	c.writing = len(queued) > 0
	return queued, c.broken || c.readDone && len(c.openRequests) == 0 && len(queued) == 0
}

// discardUnsent gives up what is not written at the end of a connection.
func (c *conn) discardUnsent() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.broken = true
	c.sendBuffer = nil
	c.addUnsent(-c.unsent)
}

// abandonRequests marks the connection as broken and its open requests as abandoned by their caller.
func (c *conn) abandonRequests() {
	c.mu.Lock()
	c.broken = true
	abandoned := c.takeHandlers()
	c.mu.Unlock()
	for _, handler := range abandoned {
		handler.CallerGone()
	}
}

// takeHandlers removes all open requests and returns their handlers, as far as these are known. The caller holds the lock.
func (c *conn) takeHandlers() (handlers []*core.Handler) {
	for _, handler := range c.openRequests {
		if handler != nil {
			handlers = append(handlers, handler)
		}
	}
	c.openRequests = map[uint64]*core.Handler{}
	return handlers
}
