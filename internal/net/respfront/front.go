// Package respfront is the front for the platform's routers: RESP arrays over TCP, answered in any order.
//
// It uses the parser and the writers of redcon on connections that it manages itself. It does not use redcon's server
// loop, which answers in order and closes connections by itself when it stops, nor redcon's reader, which loops
// practically forever on some inputs of two dozen bytes and panics on others (see readFrame and the tests).
package respfront

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"github.com/tidwall/redcon"

	"puffinsaddle/internal/clock"
	"puffinsaddle/internal/core"
	"puffinsaddle/internal/net/accept"
	"puffinsaddle/internal/pool"
)

const (
	maxOpenRequests       = 32        // on a connection, by the protocol
	maxSendBufferBytes    = 512 << 10 // of queued answers; the connection of a slower reader is closed
	sweepIntervalMS       = 500       // between two searches for idle connections
	idleTimeoutMS         = 5000      // until an idle connection is asked to close, even if the platform sets a longer time
	closeGraceMS          = 1000      // from the closing message until the front closes the connection; some routers ignore it
	maxInvalidRequests    = 8         // on a connection; the next one ends it
	invalidRequestDelayMS = 50.0      // reading stops for this long after each invalid request

	firstCommandTimeout = 2 * time.Second // until the first command of a new connection is complete
	commandTimeout      = 2 * time.Second // from the first byte of a command to its last
)

// Front serves the connections of routers.
type Front struct {
	core     *core.Core
	clock    *clock.Clock
	log      zerolog.Logger
	ln       *accept.Listener
	maxConns int

	mu       sync.Mutex
	conns    map[*conn]bool
	draining bool
	closed   bool
}

// New returns a front on a listening socket that keeps at most maxConns connections; Serve has to be called next.
func New(ln *accept.Listener, maxConns int, c *core.Core, clk *clock.Clock, log zerolog.Logger) *Front {
	return &Front{core: c, clock: clk, log: log, ln: ln, maxConns: maxConns, conns: map[*conn]bool{}}
}

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
	if f.draining {
		c.sendClosing()
	}
	f.mu.Unlock()
	go c.writeLoop()
	go c.readLoop()
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

// removeConn removes a connection that has ended.
func (f *Front) removeConn(c *conn) {
	f.mu.Lock()
	delete(f.conns, c)
	f.mu.Unlock()
}

// conn is one connection: one goroutine reads it, one writes it, and handlers queue answers in any order.
type conn struct {
	front  *Front
	nc     net.Conn
	raw    syscall.RawConn
	wakeup chan struct{}

	// Used by the reader only.
	waitingSince    time.Time // start of the command being read, or of the wait for the first one
	invalidRequests int

	forgedSeen atomic.Bool // the executor did not know a request of this connection, before any was served

	mu              sync.Mutex
	inCommand       bool                     // a command was partly read, or a complete one is being handled; set by the reader only
	awaitingRest    bool                     // with inCommand: all input was read, and it ends within a command
	openRequests    map[uint64]*core.Handler // by tag; nil until the handler is known
	sendBuffer      []byte
	writing         bool
	closingSent     bool    // the closing message was sent or queued
	closingSentMS   float64 // in Unix milliseconds
	readDone        bool    // nothing more is read
	broken          bool    // nothing more is read or written
	receivedCommand bool    // a complete command arrived
	servedRequest   bool    // at least one request was served
	lastUsedMS      float64 // time of the last command or answer, in Unix milliseconds
}

// errTooManyInvalid ends the reading of a connection. The requests read before still get their answers.
var errTooManyInvalid = errors.New("too many invalid requests")

// Read reads from the connection; its deadlines bound the time that a command takes to arrive.
func (c *conn) Read(b []byte) (n int, err error) {
	wasInCommand := c.inCommand
	for n == 0 && err == nil {
		c.nc.SetReadDeadline(c.commandDeadline())
		if n, err = c.readWait(b); errors.Is(err, os.ErrDeadlineExceeded) {
			n, err = c.readAfterDeadline(b)
		}
	}
	if !wasInCommand && c.receivedCommand {
		c.waitingSince = time.Now()
	}
	return n, err
}

// commandDeadline returns the time by which the current command, or the first one of a connection, has to be complete;
// zero: no limit. A partial command occupies a connection and a buffer. If the router was served on this connection, or has
// open requests, the network is presumed interrupted, and the rest is awaited for as long as routers keep idle connections,
// since a request that the rest completes must be answered.
func (c *conn) commandDeadline() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case !c.receivedCommand:
		return c.waitingSince.Add(firstCommandTimeout)
	case !c.inCommand:
		return time.Time{}
	case c.servedRequest || len(c.openRequests) > 0:
		return c.waitingSince.Add(max(commandTimeout, c.front.core.CallerIdleTimeout()))
	}
	return c.waitingSince.Add(commandTimeout)
}

// readWait waits for input and reads what there is.
func (c *conn) readWait(b []byte) (n int, err error) {
	closedErr := c.raw.Read(func(fd uintptr) bool {
		n, err = c.readNonblocking(fd, b)
		return err != syscall.EAGAIN
	})
	if closedErr != nil {
		return 0, closedErr
	}
	return n, err
}

// readAfterDeadline reads, after the deadline, what arrived before it. A process that was not scheduled in the meantime
// finds both the input and the expired deadline, and the net package checks the deadline first, so that a complete request
// would be lost. Without input it returns os.ErrDeadlineExceeded, or neither bytes nor an error if the deadline has moved
// to a later time.
func (c *conn) readAfterDeadline(b []byte) (n int, err error) {
	closedErr := c.raw.Control(func(fd uintptr) {
		if n, err = c.readNonblocking(fd, b); err != syscall.EAGAIN {
			return
		}
		n, err = 0, nil
		if deadline := c.commandDeadline(); !deadline.IsZero() && !deadline.After(time.Now()) {
			err = os.ErrDeadlineExceeded
		}
	})
	if closedErr != nil {
		return 0, closedErr
	}
	return n, err
}

// readNonblocking reads once without waiting. It sets inCommand under the same lock under which it takes bytes out of the
// socket.
func (c *conn) readNonblocking(fd uintptr, b []byte) (n int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.broken {
		return 0, net.ErrClosed
	}
	for n, err = syscall.Read(int(fd), b); err == syscall.EINTR; n, err = syscall.Read(int(fd), b) {
	}
	c.inCommand = c.inCommand || n > 0
	c.awaitingRest = err == syscall.EAGAIN
	if n == 0 && err == nil {
		err = io.EOF
	}
	return max(n, 0), err
}

// readLoop handles commands until the router closes the connection or violates the protocol.
func (c *conn) readLoop() {
	err := c.readCommands()
	c.mu.Lock()
	c.readDone = true
	var abandoned []*core.Handler
	c.inCommand = false
	orderly := err == io.EOF || err == io.ErrUnexpectedEOF // between two commands or within one
	if !orderly && !errors.Is(err, os.ErrDeadlineExceeded) && err != errTooManyInvalid {
		// On a broken connection, or after a protocol violation, answers are not read any more. After an orderly end of
		// input the router may still read them, and an unwanted answer does no harm. The same applies after the timeout of
		// a partial command and after too many invalid requests: the requests read before must still be answered, and the
		// connection is closed after that.
		c.broken = true
		for tag, handler := range c.openRequests {
			abandoned = append(abandoned, handler)
			delete(c.openRequests, tag)
		}
	}
	c.mu.Unlock()
	for _, handler := range abandoned {
		handler.CallerGone()
	}
	c.wakeWriter()
}

// readCommands handles commands until reading fails.
func (c *conn) readCommands() (err error) {
	defer func() {
		if p := recover(); p != nil { // a panic on one connection must not end the others
			err = fmt.Errorf("malformed command: %v", p)
		}
		if err != nil && err != io.EOF && !errors.Is(err, net.ErrClosed) {
			c.front.log.Debug().Err(err).Stringer("from", c.nc.RemoteAddr()).Msg("connection ended")
		}
	}()
	r := bufio.NewReaderSize(c, 4096)
	for {
		c.mu.Lock()
		c.inCommand = r.Buffered() > 0
		c.mu.Unlock()
		c.waitingSince = time.Now()
		if err := c.readCommand(r); err != nil {
			return err
		}
	}
}

// readCommand reads one command and handles it.
func (c *conn) readCommand(r *bufio.Reader) error {
	if _, err := r.Peek(1); err != nil { // so that a connection without input occupies no buffer
		return err
	}
	b := pool.Get(maxFrameBytes)
	defer pool.Put(b)
	frame, err := readFrame(r, b)
	if err != nil {
		return err
	}
	cmd, err := redcon.Parse(frame)
	if err != nil {
		return err
	}
	c.mu.Lock()
	c.receivedCommand, c.lastUsedMS = true, c.front.clock.Now()
	c.mu.Unlock()
	return c.handleCommand(cmd.Args)
}

// handleCommand handles one command; an error ends the connection.
func (c *conn) handleCommand(args [][]byte) error {
	if len(args) < 2 {
		return errors.New("command without a tag")
	}
	tag, err := strconv.ParseUint(string(args[1]), 10, 64)
	if err != nil || tag == 0 {
		return fmt.Errorf("tag %q is not a positive integer", args[1])
	}
	switch {
	case bytes.Equal(args[0], []byte("REQ")):
		return c.handleRequest(tag, args)
	case bytes.Equal(args[0], []byte("ABORT")):
		c.mu.Lock()
		handler := c.openRequests[tag]
		delete(c.openRequests, tag)
		c.mu.Unlock()
		if handler != nil {
			handler.CallerGone()
		}
		return nil
	case bytes.Equal(args[0], []byte("HEALTH")):
		deep := false
		if len(args) > 2 {
			f, err := parseFields(args[2])
			if err != nil {
				return err
			}
			deep = f["deep"] == "1"
		}
		c.front.core.Health(deep, func(healthy bool) {
			hint, hasHint := c.front.core.Hint()
			c.enqueue(func(b []byte) []byte { return appendHealth(b, tag, hint, hasHint, healthy) })
		})
		return nil
	}
	return fmt.Errorf("unknown command %q", args[0])
}

// handleRequest handles the command REQ.
func (c *conn) handleRequest(tag uint64, args [][]byte) error {
	q, err := parseRequest(args, c.front.clock.Now())
	if errors.Is(err, errInvalidValue) {
		return c.rejectInvalid(tag, err)
	}
	if err != nil {
		return err
	}
	if c.forgedSeen.Load() { // guards against a flood of forged requests, which would displace genuine ones
		return c.rejectInvalid(tag, errTooManyInvalid)
	}
	q.Body = pool.Copy(q.Body) // the buffer of the arguments is reused
	c.mu.Lock()
	_, inUse := c.openRequests[tag]
	full := len(c.openRequests) >= maxOpenRequests
	if !inUse && !full {
		c.openRequests[tag] = nil // the answer may come before Open returns
	}
	c.mu.Unlock()
	if inUse {
		return fmt.Errorf("tag %d is already in use", tag)
	}
	if full {
		c.sendAnswer(tag, core.Outcome{Verdict: core.Refused, RetryAfterMS: 1})
		return nil
	}
	handler := c.front.core.Open(q, func(o core.Outcome) { c.sendAnswer(tag, o) })
	c.mu.Lock()
	if _, pending := c.openRequests[tag]; pending {
		c.openRequests[tag] = handler
	}
	c.mu.Unlock()
	return nil
}

// rejectInvalid answers an invalid request, which does not reach the policy module. A connection with many of them is read
// slowly and then no longer. This guards against clients that repeat a request as soon as it is rejected.
func (c *conn) rejectInvalid(tag uint64, err error) error {
	c.mu.Lock()
	_, inUse := c.openRequests[tag]
	c.mu.Unlock()
	if inUse {
		return err
	}
	if c.invalidRequests++; c.invalidRequests > maxInvalidRequests {
		return errTooManyInvalid
	}
	c.sendAnswer(tag, core.Outcome{Verdict: core.Failed})
	delayed := make(chan struct{})
	c.front.clock.After(invalidRequestDelayMS, func() { close(delayed) })
	<-delayed
	return nil
}

// sendAnswer sends the only answer to a request.
func (c *conn) sendAnswer(tag uint64, o core.Outcome) {
	hint, hasHint := c.front.core.Hint()
	c.enqueue(func(b []byte) []byte {
		delete(c.openRequests, tag)
		c.lastUsedMS = c.front.clock.Now()
		c.servedRequest = c.servedRequest || o.Verdict == core.Served
		o.UnknownRequest = o.UnknownRequest && !c.servedRequest
		return appendAnswer(b, tag, hint, hasHint, o)
	})
	if o.UnknownRequest && !c.forgedSeen.Swap(true) {
		// The other requests of this connection are most likely forged too: those that have not started fail.
		c.mu.Lock()
		var others []*core.Handler
		for _, handler := range c.openRequests {
			if handler != nil {
				others = append(others, handler)
			}
		}
		c.mu.Unlock()
		for _, handler := range others {
			handler.FailUnlessStarted()
		}
	}
}

// enqueue queues for the writer what appendTo appends to the send buffer. It never blocks.
func (c *conn) enqueue(appendTo func([]byte) []byte) {
	c.mu.Lock()
	c.sendBuffer = appendTo(c.sendBuffer)
	overflow := !c.broken && len(c.sendBuffer) > maxSendBufferBytes
	if c.broken = c.broken || overflow; c.broken {
		c.sendBuffer = nil
	}
	c.mu.Unlock()
	if overflow {
		c.nc.Close() // the router does not read its answers
	}
	c.wakeWriter()
}

// wakeWriter signals the writer that answers are queued or that the connection may have ended. It never blocks.
func (c *conn) wakeWriter() {
	select {
	case c.wakeup <- struct{}{}:
	default:
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

// hasPendingData reports whether answers remain to be written, or input to be read or handled.
func (c *conn) hasPendingData() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.broken && (c.writing || len(c.sendBuffer) > 0 || !c.readDone && (c.inCommand || !accept.IsIdle(c.nc)))
}

// writeLoop sends what is queued, and closes the connection once no further answers are due.
func (c *conn) writeLoop() {
	defer c.front.removeConn(c)
	defer c.nc.Close()
	var buf []byte
	for range c.wakeup {
		for {
			c.mu.Lock()
			buf, c.sendBuffer = c.sendBuffer, buf[:0]
			c.writing = len(buf) > 0
			finished := c.broken || c.readDone && len(c.openRequests) == 0 && len(buf) == 0
			c.mu.Unlock()
			if finished {
				return
			}
			if len(buf) == 0 {
				break
			}
			if _, err := c.nc.Write(buf); err != nil {
				c.mu.Lock()
				c.broken = true
				abandoned := c.openRequests
				c.openRequests = map[uint64]*core.Handler{}
				c.mu.Unlock()
				for _, handler := range abandoned {
					if handler != nil {
						handler.CallerGone()
					}
				}
				return
			}
			if cap(buf) > pool.Size {
				buf = nil // release the memory of a burst
			}
		}
	}
}
