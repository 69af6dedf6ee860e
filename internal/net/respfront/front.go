// Package respfront is the front for the platform's routers: RESP arrays over TCP, answered in any order.
//
// It uses the parser and the writers of redcon on connections that it manages itself. It does not use redcon's server
// loop, which answers in order and closes connections by itself when it stops, nor redcon's reader, which loops
// practically forever on some inputs of two dozen bytes and panics on others (see readFrame and the tests).
package respfront

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"puffinsaddle/internal/clock"
	"puffinsaddle/internal/core"
	"puffinsaddle/internal/net/accept"
)

// Front serves the connections of routers.
type Front struct {
	core     *core.Core
	clock    *clock.Clock
	log      zerolog.Logger
	ln       *accept.Listener
	maxConns int

	maxUnsentBytes int64        // of answers on all connections; a single one may have maxSendBufferBytes
	unsentBytes    atomic.Int64 // of answers that are queued or being written
	connCount      atomic.Int64 // the number of conns

	mu       sync.Mutex
	conns    map[*conn]bool
	draining bool
	closed   bool
}

// New returns a front on a listening socket that keeps at most maxConns connections; Serve has to be called next.
func New(ln *accept.Listener, maxConns int, c *core.Core, clk *clock.Clock, log zerolog.Logger) *Front {
	return &Front{core: c, clock: clk, log: log, ln: ln, maxConns: maxConns, maxUnsentBytes: defaultMaxUnsentBytes,
		conns: map[*conn]bool{}}
}

// SetMaxUnsentBytes sets the limit on answers that all connections hold together because their routers do not read. It must be set
// before Serve.
func (f *Front) SetMaxUnsentBytes(limit int) { f.maxUnsentBytes = int64(limit) }

// Addr returns the address that the front listens on.
func (f *Front) Addr() net.Addr { return f.ln.Addr() }

// Serve accepts connections until the front is closed.
func (f *Front) Serve() {
	f.clock.After(sweepIntervalMS, f.sweepIdle)
	f.ln.Serve(f.addConn)
}

// addConn starts to serve a new connection, or closes it if there are too many.
func (f *Front) addConn(nc net.Conn) {
	c := &conn{front: f, nc: nc, openRequests: map[uint64]*core.Handler{}, wakeup: make(chan struct{}, 1),
		lastUsedMS: f.clock.Now(), waitingSince: time.Now()}
	var err error
	if c.raw, err = nc.(*net.TCPConn).SyscallConn(); err != nil {
		nc.Close() // the connection is closed already
		return
	}
	f.mu.Lock()
	if len(f.conns) >= f.maxConns && !f.evictIdle() {
		f.mu.Unlock()
		nc.Close() // nothing was read from it; routers open fewer connections than the limit
		return
	}
	f.conns[c] = true
	f.connCount.Store(int64(len(f.conns)))
	if f.draining {
		c.sendClosing()
	}
	f.mu.Unlock()
	go c.writeLoop()
	go c.readLoop()
}

// removeConn removes a connection that has ended.
func (f *Front) removeConn(c *conn) {
	f.mu.Lock()
	delete(f.conns, c)
	f.connCount.Store(int64(len(f.conns)))
	f.mu.Unlock()
}

// Drain asks all routers to send no new requests. The listener stays open: closing it would reset the connections in its
// queue, which the kernel has accepted and whose requests must therefore be answered.
func (f *Front) Drain() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.draining = true
	for c := range f.conns {
		c.sendClosing()
	}
}

// StopAccepting closes the listener once its queue is empty.
func (f *Front) StopAccepting() { f.ln.StopAccepting() }

// Yield leaves new connections to the process that shares the listening socket, and asks all routers to connect there.
func (f *Front) Yield() {
	f.ln.Yield()
	f.Drain()
}

// Flushed reports whether all answers are written and all input is read.
func (f *Front) Flushed() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		if c.hasPendingData() {
			return false
		}
	}
	return true
}

// CloseSettled closes each connection on which nothing is owed, and returns what is owed on the others.
func (f *Front) CloseSettled() (owed core.Owed) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		if connOwed := c.stopIfSettled(); connOwed.Total() > 0 {
			owed.Add(connOwed)
			continue
		}
		f.closeStopped(c)
	}
	return owed
}

// Close closes the listener and all connections.
func (f *Front) Close() {
	f.ln.Close()
	f.mu.Lock()
	f.closed = true
	conns := make([]*conn, 0, len(f.conns))
	for c := range f.conns {
		conns = append(conns, c)
	}
	f.mu.Unlock()
	for _, c := range conns {
		c.nc.Close()
	}
}
