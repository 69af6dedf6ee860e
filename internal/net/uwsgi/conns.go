package uwsgi

import (
	"errors"
	"net"
	"slices"
	"time"

	"puffinsaddle/internal/core"
	"puffinsaddle/internal/net/accept"
)

const (
	// connBytes is the memory that a connection takes besides the body of its request and its unsent answer: two goroutines,
	// the buffers that they read into, and the variables.
	connBytes = 32 << 10

	defaultMemoryBytes = 16 << 20 // of a front whose settings state none

	minEvictAge   = 100 * time.Millisecond // of a connection with unread input that has to make way
	admitInterval = time.Millisecond       // between two tries to admit a connection

	// maxConnsFactor is the number of open connections, relative to the maximum number of requests in hand. The others are
	// being read, or their callers read an answer.
	maxConnsFactor = 2
)

// errNoMemory is the error of a request whose body does not fit into the front's memory beside those of others.
var errNoMemory = errors.New("no memory for the body")

// connState is what a connection is used for at present.
type connState int

const (
	readingRequest connState = iota // the request is being read
	awaitingAnswer                  // the request was read and has no answer yet
	answered                        // the answer is written
)

// gatewayConn is a connection from a gateway, which carries one request. Its fields are guarded by the front's lock.
type gatewayConn struct {
	net.Conn
	state    connState
	openedAt time.Time
	reserved int  // bytes of the front's memory
	evicted  bool // it counts no longer, and is about to end
}

// admit registers a new connection. If none can make way for it, since the process has not come to read the requests of others, it
// waits for a while, and further connections in the queue of the listening socket. It returns nil if all have a request in hand.
func (f *Front) admit(nc net.Conn) *gatewayConn {
	for began := time.Now(); ; time.Sleep(admitInterval) {
		if c := f.tryAdmit(nc); c != nil || f.stopping.Load() || time.Since(began) >= minEvictAge {
			return c
		}
	}
}

// tryAdmit registers a new connection. If there are too many, or the front's memory is used up, the slowest one has to make way for
// it. It returns nil if none can.
func (f *Front) tryAdmit(nc net.Conn) *gatewayConn {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := &gatewayConn{Conn: nc, openedAt: time.Now()}
	for f.open >= maxConnsFactor*f.settings.MaxConnections {
		if !f.evictSlowest(c) {
			return nil
		}
	}
	if !f.reserve(c, connBytes) {
		return nil
	}
	f.conns[c] = true
	f.open++
	return c
}

// remove removes a connection that has ended.
func (f *Front) remove(c *gatewayConn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.conns, c)
	f.release(c, c.reserved)
	if !c.evicted {
		f.open--
	}
}

// evictSlowest ends the connection that has been open for longest without a request in hand, except the given one, and reports
// whether there was one. One whose answer is written is closed. One whose request is being read gets its answer first. Guards
// against clients that write slowly and would take the place of those that send at once. The caller holds the lock.
func (f *Front) evictSlowest(except *gatewayConn) bool {
	victim := f.slowest(except)
	if victim == nil {
		return false
	}
	victim.evicted = true
	f.open--
	f.release(victim, victim.reserved)
	if victim.state == readingRequest {
		victim.SetReadDeadline(time.Now())
	} else {
		victim.Close()
	}
	return true
}

// slowest returns the connection that has to make way first: one whose answer is written, then one on which nothing has arrived
// that is not read yet, then one that has been open for minEvictAge; of these the one that has been open for longest. A request
// that only waits until the process reads it is none of these. The caller holds the lock.
func (f *Front) slowest(except *gatewayConn) *gatewayConn {
	var candidates []*gatewayConn
	for c := range f.conns {
		if c != except && !c.evicted && c.state != awaitingAnswer {
			candidates = append(candidates, c)
		}
	}
	slices.SortFunc(candidates, func(a, b *gatewayConn) int { return a.openedAt.Compare(b.openedAt) })
	for _, slow := range []func(*gatewayConn) bool{
		func(c *gatewayConn) bool { return c.state == answered },
		func(c *gatewayConn) bool { return accept.IsIdle(c.Conn) },
		func(c *gatewayConn) bool { return time.Since(c.openedAt) >= minEvictAge },
	} {
		if i := slices.IndexFunc(candidates, slow); i >= 0 {
			return candidates[i]
		}
	}
	return nil
}

// reserve takes memory for a connection, for which others may have to make way, and reports whether there is enough. The caller
// holds the lock.
func (f *Front) reserve(c *gatewayConn, bytes int) bool {
	for f.usedBytes+bytes > f.memoryBytes() {
		if !f.evictSlowest(c) {
			return false
		}
	}
	c.reserved += bytes
	f.usedBytes += bytes
	return true
}

// release gives memory of a connection back. The caller holds the lock.
func (f *Front) release(c *gatewayConn, bytes int) {
	c.reserved -= bytes
	f.usedBytes -= bytes
}

// reserveBody is reserve for a body that is being read. An evicted connection gets no more.
func (f *Front) reserveBody(c *gatewayConn, bytes int) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if c.evicted || !f.reserve(c, bytes) {
		return errNoMemory
	}
	return nil
}

// releaseBody gives back memory of a body that has moved to a larger buffer.
func (f *Front) releaseBody(c *gatewayConn, bytes int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !c.evicted { // else nothing is reserved any more
		f.release(c, bytes)
	}
}

// memoryBytes is the limit on what all connections hold together.
func (f *Front) memoryBytes() int {
	if f.settings.MemoryBytes > 0 {
		return f.settings.MemoryBytes
	}
	return defaultMemoryBytes
}

// takeInHand records that the request of a connection was read, and reports whether there are too many in hand.
func (f *Front) takeInHand(c *gatewayConn) (full bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	inHand := 0
	for other := range f.conns {
		if other.state == awaitingAnswer {
			inHand++
		}
	}
	c.state = awaitingAnswer
	c.SetReadDeadline(time.Time{})
	return inHand >= f.settings.MaxConnections
}

// setAnswered records that the answer on a connection is written, unless the connection has ended.
func (f *Front) setAnswered(c *gatewayConn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c.state = answered
}

// owed returns what is owed on all connections.
func (f *Front) owed() (owed core.Owed) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		switch c.state {
		case readingRequest:
			owed.Reads++
		case awaitingAnswer:
			owed.Answers++
		}
	}
	return owed
}

func (f *Front) isEvicted(c *gatewayConn) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return c.evicted
}
