// Package respfront is the front for the platform's routers: RESP arrays over TCP, answered in any order.
//
// It stands on redcon's parser and writers, on connections that are its own from the start. redcon's server
// loop is not used: it answers in order, and it ends connections by itself when it stops. Nor is its reader:
// some two dozen bytes keep it busy for good, others make it panic (see readFrame and the tests).
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
	maxOpenRequests       = 32        // open requests on a connection, by the protocol
	maxUnsentBytes        = 512 << 10 // bytes of answers that wait for a slow reader; its connection ends then
	sweepIntervalMS       = 500       // how often idle connections are looked for
	idleTimeoutMS         = 5000      // a connection that carries nothing for so long is asked to close, whoever holds it
	closeGraceMS          = 1000      // and closed so long after the asking: some never heed it
	maxInvalidRequests    = 8         // requests that make no sense, after which a connection ends
	invalidRequestDelayMS = 50.0      // milliseconds for which no more is read after each of them

	firstCommandTimeout = 2 * time.Second // a new connection sends its first whole command within this
	commandTimeout      = 2 * time.Second // and any command is whole so long after it began
)

// Front accepts routers.
type Front struct {
	core     *core.Core
	clock    *clock.Clock
	log      zerolog.Logger
	ln       *accept.Listener
	maxConns int // connections

	mu       sync.Mutex
	conns    map[*conn]bool
	draining bool
	closed   bool
}

// New makes a front on a listening socket; Serve has to be called next.
func New(ln *accept.Listener, maxConns int, c *core.Core, clk *clock.Clock, log zerolog.Logger) *Front {
	return &Front{core: c, clock: clk, log: log, ln: ln, maxConns: maxConns, conns: map[*conn]bool{}}
}

// Addr is where the front listens.
func (f *Front) Addr() net.Addr { return f.ln.Addr() }

// Serve accepts connections until the front is shut.
func (f *Front) Serve() {
	f.clock.After(sweepIntervalMS, f.sweepIdle)
	f.ln.Serve(f.addConn)
}

func (f *Front) addConn(nc net.Conn) {
	c := &conn{front: f, nc: nc, openRequests: map[uint64]*core.Handler{}, wakeup: make(chan struct{}, 1), lastUsedMS: f.clock.Now(), waitingSince: time.Now()}
	var err error
	if c.raw, err = nc.(*net.TCPConn).SyscallConn(); err != nil {
		nc.Close() // it is closed already
		return
	}
	f.mu.Lock()
	if len(f.conns) >= f.maxConns && !f.evictIdle() {
		f.mu.Unlock()
		nc.Close() // nothing was read; routers hold to fewer
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

// evictIdle gives up the connection that is missed least: one that never sent a command, the oldest of these
// first, so that a router that has just connected has time to speak; else the one that was idle for longest.
// Guards against clients that open connections and say nothing, or nothing more.
func (f *Front) evictIdle() bool {
	var victim *conn
	for c := range f.conns {
		if c.idleSince(f.clock.Now()) && (victim == nil || c.evictBefore(victim)) {
			victim = c
		}
	}
	return victim != nil && f.closeIfIdle(victim)
}

// closeIfIdle closes a connection with nothing open. What has just come on it would be a request cut off, so then it
// is left alone: bytes still in the socket, a part of a command that was read, or a whole one that is being taken. Its
// lock is held from the first look to the decision, after which nothing more is taken; the reader takes bytes from the
// socket under the same lock, so a command is seen in one of these places. One that crosses the close on the wire is
// sent once more by who sent it. The front's lock is held.
func (f *Front) closeIfIdle(c *conn) bool {
	if !c.stopIfIdle() {
		return false
	}
	c.nc.Close() // not under its lock, for which the reader may wait
	delete(f.conns, c)
	return true
}

// stopIfIdle takes nothing more from a connection on which nothing is open.
func (c *conn) stopIfIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inCommand || len(c.openRequests) > 0 || c.writing || len(c.unsent) > 0 || !accept.Quiet(c.nc) {
		return false
	}
	c.broken = true
	if c.receivedCommand && !c.closingSent {
		c.closingSent = true
		c.raw.Write(func(fd uintptr) bool { // nothing waits before it, so there is room; else it goes without
			syscall.Write(int(fd), appendClosing(nil))
			return true
		})
	}
	return true
}

// Drain asks all routers for no new requests. The listener stays open: to close it would reset what waits in
// its queue, which the machine has accepted and we therefore owe answers.
func (f *Front) Drain() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.draining = true
	for c := range f.conns {
		c.sendClosing()
	}
}

// StopAccepting closes the listener once its queue is empty.
func (f *Front) StopAccepting() { f.ln.Shut() }

// Yield leaves new connections to the process that shares the socket, and asks all routers to go there.
func (f *Front) Yield() {
	f.ln.Yield()
	f.Drain()
}

// Flushed tells that all answers are written, and that nothing lies unread.
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

// Close ends all connections.
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

// sweepIdle asks for the end of what was idle for longer than the module wants, or than anyone needs. Who heeds it
// closes the connection himself, so that no request crosses the close; who does not is closed a while later.
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

func (f *Front) removeConn(c *conn) {
	f.mu.Lock()
	delete(f.conns, c)
	f.mu.Unlock()
}

// conn is one connection: one goroutine reads it, one writes it, and answers come from handlers in any order.
type conn struct {
	front  *Front
	nc     net.Conn
	raw    syscall.RawConn
	wakeup chan struct{}

	// The reader's own.
	waitingSince    time.Time // when the command that is being read began, or the waiting for the first
	invalidRequests int

	forgedSeen atomic.Bool // a request came that the executor does not know, before any was served

	mu              sync.Mutex
	inCommand       bool // a part of a command was read, or a whole one is being taken; only the reader sets it
	openRequests    map[uint64]*core.Handler
	unsent          []byte
	writing         bool
	closingSent     bool // 'closing' was sent
	closingSentMS   float64
	readDone        bool // no more is read
	broken          bool
	receivedCommand bool    // a whole command came
	servedRequest   bool    // one of its requests was
	lastUsedMS      float64 // when a command or an answer last passed
}

// errTooManyInvalid ends the reading of a connection. What was read before is owed its answer all the same.
var errTooManyInvalid = errors.New("too many requests that make no sense")

// Read bounds for how long a command may be on its way.
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

// commandDeadline is when a command has to be whole, or the first of a connection. Half a command keeps a place and a buffer; of a
// router that was served here, or whose requests are open, it is taken for one on a network that is cut, and its rest is
// waited for as long as routers keep connections: what it completes is then owed an answer.
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

// readWait reads what there is.
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

// readAfterDeadline takes what came before the time was up. A process that got no time meanwhile finds both at once, and the library
// looks at the time first: a whole request would be closed on. Where there is nothing, no more is taken from now on, or,
// with neither bytes nor an error, the limit is a later one by now.
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

// readNonblocking reads once, without waiting. That bytes were taken out of the socket is noted in the same step.
func (c *conn) readNonblocking(fd uintptr, b []byte) (n int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.broken {
		return 0, net.ErrClosed
	}
	for n, err = syscall.Read(int(fd), b); err == syscall.EINTR; n, err = syscall.Read(int(fd), b) {
	}
	c.inCommand = c.inCommand || n > 0
	if n == 0 && err == nil {
		err = io.EOF
	}
	return max(n, 0), err
}

// readLoop takes commands until the router ends the connection or sends what is none.
func (c *conn) readLoop() {
	err := c.readCommands()
	c.mu.Lock()
	c.readDone = true
	var abandoned []*core.Handler
	c.inCommand = false
	orderly := err == io.EOF || err == io.ErrUnexpectedEOF // between two commands, or within one
	if !orderly && !errors.Is(err, os.ErrDeadlineExceeded) && err != errTooManyInvalid {
		// Broken, or not understood: nobody reads answers here any more. After a plain end the router may
		// still do so, and an answer that nobody wants does no harm. The same holds where a command got stuck, or
		// too many made no sense: what was read before is owed its answer, and the connection ends after that.
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

func (c *conn) readCommands() (err error) {
	defer func() {
		if p := recover(); p != nil { // one connection's fault must not end the others
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

// readCommand reads one command and takes it.
func (c *conn) readCommand(r *bufio.Reader) error {
	if _, err := r.Peek(1); err != nil { // so that a connection without one holds no buffer
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

func (c *conn) handleCommand(args [][]byte) error {
	if len(args) < 2 {
		return errors.New("no tag")
	}
	tag, err := strconv.ParseUint(string(args[1]), 10, 64)
	if err != nil || tag == 0 {
		return fmt.Errorf("tag %q is not a number from 1 up", args[1])
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

func (c *conn) handleRequest(tag uint64, args [][]byte) error {
	q, err := parseRequest(args, c.front.clock.Now())
	if errors.Is(err, errInvalidValue) {
		return c.rejectInvalid(tag, err)
	}
	if err != nil {
		return err
	}
	if c.forgedSeen.Load() { // guards against a flood of them, which would take the room of true ones
		return c.rejectInvalid(tag, errTooManyInvalid)
	}
	q.Body = pool.Copy(q.Body) // the arguments are redcon's
	c.mu.Lock()
	_, inUse := c.openRequests[tag]
	full := len(c.openRequests) >= maxOpenRequests
	if !inUse && !full {
		c.openRequests[tag] = nil // the answer may come before Open returns
	}
	c.mu.Unlock()
	if inUse {
		return fmt.Errorf("tag %d is in use", tag)
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

// rejectInvalid answers a request whose figures make no sense; none of it gets to the module. Who sends many is read
// slowly, and then no more: guards against clients that send the same again as soon as it is turned away.
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

// sendAnswer gives a request its one answer.
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
		// What came beside it is most likely as false: it fails, but for what runs already.
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

// enqueue queues bytes for the writer and never waits.
func (c *conn) enqueue(appendTo func([]byte) []byte) {
	c.mu.Lock()
	c.unsent = appendTo(c.unsent)
	overflow := !c.broken && len(c.unsent) > maxUnsentBytes
	if c.broken = c.broken || overflow; c.broken {
		c.unsent = nil
	}
	c.mu.Unlock()
	if overflow {
		c.nc.Close() // it does not read its answers
	}
	c.wakeWriter()
}

func (c *conn) wakeWriter() {
	select {
	case c.wakeup <- struct{}{}:
	default:
	}
}

// sendClosing asks the router for no new requests.
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

func (c *conn) idleSince(ms float64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.openRequests) == 0 && !c.inCommand && !c.writing && len(c.unsent) == 0 && c.lastUsedMS <= ms
}

func (c *conn) closingSentBy(ms float64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closingSent && c.closingSentMS <= ms
}

// evictBefore orders idle connections by how little their end would harm.
func (c *conn) evictBefore(other *conn) bool {
	received, lastUsedMS := c.activity()
	otherReceived, otherLastUsedMS := other.activity()
	if received != otherReceived {
		return !received
	}
	return lastUsedMS < otherLastUsedMS
}

func (c *conn) activity() (receivedCommand bool, lastUsedMS float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.receivedCommand, c.lastUsedMS
}

func (c *conn) hasPendingData() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.broken && (c.writing || len(c.unsent) > 0 || !c.readDone && (c.inCommand || !accept.Quiet(c.nc)))
}

// writeLoop sends what is queued, and closes the connection when nothing more can come.
func (c *conn) writeLoop() {
	defer c.front.removeConn(c)
	defer c.nc.Close()
	var buf []byte
	for range c.wakeup {
		for {
			c.mu.Lock()
			buf, c.unsent = c.unsent, buf[:0]
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
				buf = nil // a burst must not stay in memory
			}
		}
	}
}
