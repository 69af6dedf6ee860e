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
	mostOpen   = 32        // on a connection, by the protocol
	mostUnsent = 512 << 10 // of queued answers; the connection of a slower reader is closed
	sweepMs    = 500       // between two searches for idle connections
	idleMs     = 5000      // after this, an idle connection is asked to close, also if the platform sets a longer time
	closeMs    = 1000      // from that request until the front closes the connection; some routers ignore the request
	mostFaults = 8         // on a connection; the next one ends it
	faultPause = 50.0      // pause in reading after each invalid request

	firstFor = 2 * time.Second // until the first command of a new connection is complete
	wholeFor = 2 * time.Second // from the first byte of a command to its last
)

// Front serves the connections of routers.
type Front struct {
	core  *core.Core
	clock *clock.Clock
	log   zerolog.Logger
	ln    *accept.Listener
	most  int

	mu       sync.Mutex
	conns    map[*conn]bool
	draining bool
	closed   bool
}

// New returns a front on a listening socket that keeps at most most connections; Serve has to be called next.
func New(ln *accept.Listener, most int, c *core.Core, clk *clock.Clock, log zerolog.Logger) *Front {
	return &Front{core: c, clock: clk, log: log, ln: ln, most: most, conns: map[*conn]bool{}}
}

// Addr returns the address that the front listens on.
func (f *Front) Addr() net.Addr { return f.ln.Addr() }

// Serve accepts connections until the front is shut.
func (f *Front) Serve() {
	f.clock.After(sweepMs, f.sweep)
	f.ln.Serve(f.welcome)
}

func (f *Front) welcome(nc net.Conn) {
	c := &conn{front: f, nc: nc, open: map[uint64]*core.Handler{}, kick: make(chan struct{}, 1), used: f.clock.Now(), since: time.Now()}
	var err error
	if c.raw, err = nc.(*net.TCPConn).SyscallConn(); err != nil {
		nc.Close() // the connection is closed already
		return
	}
	f.mu.Lock()
	if len(f.conns) >= f.most && !f.makeRoom() {
		f.mu.Unlock()
		nc.Close() // nothing was read; routers keep to fewer connections
		return
	}
	f.conns[c] = true
	if f.draining {
		c.closing()
	}
	f.mu.Unlock()
	go c.write()
	go c.read()
}

// makeRoom closes one idle connection and reports whether it did. Connections that never sent a command go first, the
// oldest before the others so that a router that has just connected has time to send one; then the one that was idle for
// longest. This guards against clients that open connections and send nothing, or nothing more. The caller holds the
// front's lock.
func (f *Front) makeRoom() bool {
	var worst *conn
	for c := range f.conns {
		if c.idleSince(f.clock.Now()) && (worst == nil || c.missedLess(worst)) {
			worst = c
		}
	}
	return worst != nil && f.end(worst)
}

// end closes a connection unless it has open requests, unsent answers or new input, and reports whether it did. Closing
// would cut off a request that has just arrived: as bytes in the socket, as a command read in part, or as a complete one
// being handled.
// giveUp holds the connection's lock from its first check to its decision, after which nothing more is read. The reader
// takes bytes from the socket under the same lock, so a command is always seen in one of these places. A command that
// crosses the close on the wire is sent again by its router. The caller holds the front's lock.
func (f *Front) end(c *conn) bool {
	if !c.giveUp() {
		return false
	}
	c.nc.Close() // without the connection's lock, which the reader may be waiting for
	delete(f.conns, c)
	return true
}

// giveUp stops reading from a connection without open requests or input, asks its router to send no more, and reports
// whether it did so.
func (c *conn) giveUp() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.within || len(c.open) > 0 || c.writing || len(c.out) > 0 || !accept.Quiet(c.nc) {
		return false
	}
	c.broken = true
	if c.spoke && !c.told {
		c.told = true
		c.raw.Write(func(fd uintptr) bool { // nothing is queued before it, so the socket buffer has room; otherwise it is omitted
			syscall.Write(int(fd), appendClosing(nil))
			return true
		})
	}
	return true
}

// Drain asks all routers to send no new requests. The listener stays open: closing it would reset the connections in its
// queue, which the kernel has accepted and whose requests are therefore owed answers.
func (f *Front) Drain() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.draining = true
	for c := range f.conns {
		c.closing()
	}
}

// Shut closes the listener once its queue is empty.
func (f *Front) Shut() { f.ln.Shut() }

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
		if c.unsettled() {
			return false
		}
	}
	return true
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

// sweep asks routers to close connections that were idle for longer than the policy module wants, or than idleMs. A router
// that complies closes the connection itself, so no request crosses the close. The front closes the connection of a router
// that has not complied after closeMs.
func (f *Front) sweep() {
	f.mu.Lock()
	closed := f.closed
	after := float64(idleMs)
	if wanted := f.core.CloseIdle(); wanted > 0 {
		after = min(after, wanted)
	}
	now := f.clock.Now()
	for c := range f.conns {
		switch {
		case closed || !c.idleSince(now-after):
		case !c.wasTold(now - closeMs):
			c.closing()
		default:
			f.end(c)
		}
	}
	f.mu.Unlock()
	if !closed {
		f.clock.After(sweepMs, f.sweep)
	}
}

// leave removes a connection that has ended.
func (f *Front) leave(c *conn) {
	f.mu.Lock()
	delete(f.conns, c)
	f.mu.Unlock()
}

// conn is one connection: one goroutine reads it, one writes it, and handlers queue answers in any order.
type conn struct {
	front *Front
	nc    net.Conn
	raw   syscall.RawConn
	kick  chan struct{}

	// Used by the reader only.
	since  time.Time // start of the command being read, or of the wait for the first one
	faults int

	forged atomic.Bool // the executor did not know a request of this connection, before any was served

	mu      sync.Mutex
	within  bool                     // a command was read in part, or a complete one is being handled; set by the reader only
	open    map[uint64]*core.Handler // by tag; nil until the handler is known
	out     []byte
	writing bool
	told    bool    // the closing message was sent or queued
	toldAt  float64 // in Unix milliseconds
	ended   bool    // nothing more is read
	broken  bool    // nothing more is read or written
	spoke   bool    // a complete command arrived
	served  bool    // at least one request was served
	used    float64 // time of the last command or answer, in Unix milliseconds
}

// errFaults ends the reading of a connection. The requests read before still get their answers.
var errFaults = errors.New("too many invalid requests")

// Read reads from the connection; its deadlines bound the time that a command takes to arrive.
func (c *conn) Read(b []byte) (n int, err error) {
	within := c.within
	for n == 0 && err == nil {
		c.nc.SetReadDeadline(c.limit())
		if n, err = c.take(b); errors.Is(err, os.ErrDeadlineExceeded) {
			n, err = c.last(b)
		}
	}
	if !within && c.spoke {
		c.since = time.Now()
	}
	return n, err
}

// limit returns the time by which the current command, or the first one of a connection, has to be complete; zero: no
// limit. A partial command occupies a connection and a buffer. If the router was served on this connection, or has open
// requests, the network is presumed interrupted, and the rest is awaited for as long as routers keep idle connections,
// since the completed request is owed an answer.
func (c *conn) limit() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case !c.spoke:
		return c.since.Add(firstFor)
	case !c.within:
		return time.Time{}
	case c.served || len(c.open) > 0:
		return c.since.Add(max(wholeFor, c.front.core.Rests()))
	}
	return c.since.Add(wholeFor)
}

// take waits for input and reads what there is.
func (c *conn) take(b []byte) (n int, err error) {
	closed := c.raw.Read(func(fd uintptr) bool {
		n, err = c.pull(fd, b)
		return err != syscall.EAGAIN
	})
	if closed != nil {
		return 0, closed
	}
	return n, err
}

// last reads, after the deadline, what arrived before it. A process that was not scheduled in the meantime finds both the
// input and the expired deadline, and the net package checks the deadline first, so that a complete request would be lost.
// Without input it returns os.ErrDeadlineExceeded, or neither bytes nor an error if the limit has moved to a later time.
func (c *conn) last(b []byte) (n int, err error) {
	closed := c.raw.Control(func(fd uintptr) {
		if n, err = c.pull(fd, b); err != syscall.EAGAIN {
			return
		}
		n, err = 0, nil
		if limit := c.limit(); !limit.IsZero() && !limit.After(time.Now()) {
			err = os.ErrDeadlineExceeded
		}
	})
	if closed != nil {
		return 0, closed
	}
	return n, err
}

// pull reads once without waiting. It sets within under the same lock under which it takes bytes out of the socket.
func (c *conn) pull(fd uintptr, b []byte) (n int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.broken {
		return 0, net.ErrClosed
	}
	for n, err = syscall.Read(int(fd), b); err == syscall.EINTR; n, err = syscall.Read(int(fd), b) {
	}
	c.within = c.within || n > 0
	if n == 0 && err == nil {
		err = io.EOF
	}
	return max(n, 0), err
}

// read handles commands until the router closes the connection or violates the protocol.
func (c *conn) read() {
	err := c.commands()
	c.mu.Lock()
	c.ended = true
	var left []*core.Handler
	c.within = false
	plain := err == io.EOF || err == io.ErrUnexpectedEOF // between two commands or within one
	if !plain && !errors.Is(err, os.ErrDeadlineExceeded) && err != errFaults {
		// On a broken connection, or after a protocol violation, answers are not read any more. After an orderly end of
		// input the router may still read them, and an unwanted answer does no harm. The same applies after a time-out of
		// a partial command and after too many invalid requests: the requests read before are owed their answers, and the
		// connection is closed after that.
		c.broken = true
		for tag, l := range c.open {
			left = append(left, l)
			delete(c.open, tag)
		}
	}
	c.mu.Unlock()
	for _, l := range left {
		l.Gone()
	}
	c.wake()
}

// commands handles commands until reading fails.
func (c *conn) commands() (err error) {
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
		c.within = r.Buffered() > 0
		c.mu.Unlock()
		c.since = time.Now()
		if err := c.next(r); err != nil {
			return err
		}
	}
}

// next reads one command and handles it.
func (c *conn) next(r *bufio.Reader) error {
	if _, err := r.Peek(1); err != nil { // so that a connection without input occupies no buffer
		return err
	}
	b := pool.Get(mostFrame)
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
	c.spoke, c.used = true, c.front.clock.Now()
	c.mu.Unlock()
	return c.command(cmd.Args)
}

// command handles one command; an error ends the connection.
func (c *conn) command(args [][]byte) error {
	if len(args) < 2 {
		return errors.New("command without a tag")
	}
	tag, err := strconv.ParseUint(string(args[1]), 10, 64)
	if err != nil || tag == 0 {
		return fmt.Errorf("tag %q is not a positive integer", args[1])
	}
	switch {
	case bytes.Equal(args[0], []byte("REQ")):
		return c.request(tag, args)
	case bytes.Equal(args[0], []byte("ABORT")):
		c.mu.Lock()
		l := c.open[tag]
		delete(c.open, tag)
		c.mu.Unlock()
		if l != nil {
			l.Gone()
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
		c.front.core.Health(deep, func(good bool) {
			say, says := c.front.core.Say()
			c.send(func(b []byte) []byte { return appendHealth(b, tag, say, says, good) })
		})
		return nil
	}
	return fmt.Errorf("unknown command %q", args[0])
}

// request handles the command REQ.
func (c *conn) request(tag uint64, args [][]byte) error {
	q, err := request(args, c.front.clock.Now())
	if errors.Is(err, errValue) {
		return c.fault(tag, err)
	}
	if err != nil {
		return err
	}
	if c.forged.Load() { // guards against a flood of forged requests, which would displace genuine ones
		return c.fault(tag, errFaults)
	}
	q.Body = pool.Copy(q.Body) // the buffer of the arguments is reused
	c.mu.Lock()
	_, twice := c.open[tag]
	crowded := len(c.open) >= mostOpen
	if !twice && !crowded {
		c.open[tag] = nil // the answer may come before Open returns
	}
	c.mu.Unlock()
	if twice {
		return fmt.Errorf("tag %d is already in use", tag)
	}
	if crowded {
		c.answer(tag, core.Outcome{Verdict: core.Refused, After: 1})
		return nil
	}
	l := c.front.core.Open(q, func(o core.Outcome) { c.answer(tag, o) })
	c.mu.Lock()
	if _, still := c.open[tag]; still {
		c.open[tag] = l
	}
	c.mu.Unlock()
	return nil
}

// fault answers an invalid request, which does not reach the policy module. A connection with many of them is read slowly
// and then no longer. This guards against clients that repeat a request as soon as it is rejected.
func (c *conn) fault(tag uint64, err error) error {
	c.mu.Lock()
	_, twice := c.open[tag]
	c.mu.Unlock()
	if twice {
		return err
	}
	if c.faults++; c.faults > mostFaults {
		return errFaults
	}
	c.answer(tag, core.Outcome{Verdict: core.Failed})
	rested := make(chan struct{})
	c.front.clock.After(faultPause, func() { close(rested) })
	<-rested
	return nil
}

// answer sends a request its only answer.
func (c *conn) answer(tag uint64, o core.Outcome) {
	say, says := c.front.core.Say()
	c.send(func(b []byte) []byte {
		delete(c.open, tag)
		c.used = c.front.clock.Now()
		c.served = c.served || o.Verdict == core.Served
		o.Forged = o.Forged && !c.served
		return appendAnswer(b, tag, say, says, o)
	})
	if o.Forged && !c.forged.Swap(true) {
		// The other requests of this connection are most likely forged too: those that have not started fail.
		c.mu.Lock()
		var beside []*core.Handler
		for _, l := range c.open {
			if l != nil {
				beside = append(beside, l)
			}
		}
		c.mu.Unlock()
		for _, l := range beside {
			l.Spurn()
		}
	}
}

// send queues what add appends for the writer. It never blocks.
func (c *conn) send(add func([]byte) []byte) {
	c.mu.Lock()
	c.out = add(c.out)
	full := !c.broken && len(c.out) > mostUnsent
	if c.broken = c.broken || full; c.broken {
		c.out = nil
	}
	c.mu.Unlock()
	if full {
		c.nc.Close() // the router does not read its answers
	}
	c.wake()
}

func (c *conn) wake() {
	select {
	case c.kick <- struct{}{}:
	default:
	}
}

// closing asks the router, once, to send no new requests on this connection.
func (c *conn) closing() {
	c.mu.Lock()
	told := c.told
	if !told {
		c.told, c.toldAt = true, c.front.clock.Now()
	}
	c.mu.Unlock()
	if !told {
		c.send(appendClosing)
	}
}

// idleSince reports whether the connection has been idle since ms, in Unix milliseconds.
func (c *conn) idleSince(ms float64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open) == 0 && !c.within && !c.writing && len(c.out) == 0 && c.used <= ms
}

// wasTold reports whether the closing message was sent at ms or before, in Unix milliseconds.
func (c *conn) wasTold(ms float64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.told && c.toldAt <= ms
}

// missedLess reports whether c is to be evicted before o.
func (c *conn) missedLess(o *conn) bool {
	spoke, used := c.state()
	otherSpoke, otherUsed := o.state()
	if spoke != otherSpoke {
		return !spoke
	}
	return used < otherUsed
}

// state returns what decides which connection is evicted first.
func (c *conn) state() (spoke bool, used float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.spoke, c.used
}

// unsettled reports whether answers remain to be written, or input to be read or handled.
func (c *conn) unsettled() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.broken && (c.writing || len(c.out) > 0 || !c.ended && (c.within || !accept.Quiet(c.nc)))
}

// write sends what is queued, and closes the connection once no further answers are due.
func (c *conn) write() {
	defer c.front.leave(c)
	defer c.nc.Close()
	var buf []byte
	for range c.kick {
		for {
			c.mu.Lock()
			buf, c.out = c.out, buf[:0]
			c.writing = len(buf) > 0
			over := c.broken || c.ended && len(c.open) == 0 && len(buf) == 0
			c.mu.Unlock()
			if over {
				return
			}
			if len(buf) == 0 {
				break
			}
			if _, err := c.nc.Write(buf); err != nil {
				c.mu.Lock()
				c.broken = true
				left := c.open
				c.open = map[uint64]*core.Handler{}
				c.mu.Unlock()
				for _, l := range left {
					if l != nil {
						l.Gone()
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
