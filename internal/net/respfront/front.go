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
	mostOpen   = 32        // open requests on a connection, by the protocol
	mostUnsent = 512 << 10 // bytes of answers that wait for a slow reader; its connection ends then
	sweepMs    = 500       // how often idle connections are looked for
	idleMs     = 5000      // a connection that carries nothing for so long is asked to close, whoever holds it
	closeMs    = 1000      // and closed so long after the asking: some never heed it
	mostFaults = 8         // requests that make no sense, after which a connection ends
	faultPause = 50.0      // milliseconds for which no more is read after each of them

	firstFor = 2 * time.Second // a new connection sends its first whole command within this
	wholeFor = 2 * time.Second // and any command is whole so long after it began
)

// Front accepts routers.
type Front struct {
	core  *core.Core
	clock *clock.Clock
	log   zerolog.Logger
	ln    *accept.Listener
	most  int // connections

	mu       sync.Mutex
	conns    map[*conn]bool
	draining bool
	closed   bool
}

// New makes a front on a listening socket; Serve has to be called next.
func New(ln *accept.Listener, most int, c *core.Core, clk *clock.Clock, log zerolog.Logger) *Front {
	return &Front{core: c, clock: clk, log: log, ln: ln, most: most, conns: map[*conn]bool{}}
}

// Addr is where the front listens.
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
		nc.Close() // it is closed already
		return
	}
	f.mu.Lock()
	if len(f.conns) >= f.most && !f.makeRoom() {
		f.mu.Unlock()
		nc.Close() // nothing was read; routers hold to fewer
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

// makeRoom gives up the connection that is missed least: one that never sent a command, the oldest of these
// first, so that a router that has just connected has time to speak; else the one that was idle for longest.
// Guards against clients that open connections and say nothing, or nothing more.
func (f *Front) makeRoom() bool {
	var worst *conn
	for c := range f.conns {
		if c.idleSince(f.clock.Now()) && (worst == nil || c.missedLess(worst)) {
			worst = c
		}
	}
	return worst != nil && f.end(worst)
}

// end closes a connection with nothing open. What has just come on it would be a request cut off, so then it
// is left alone: bytes still in the socket, a part of a command that was read, or a whole one that is being taken. Its
// lock is held from the first look to the decision, after which nothing more is taken; the reader takes bytes from the
// socket under the same lock, so a command is seen in one of these places. One that crosses the close on the wire is
// sent once more by who sent it. The front's lock is held.
func (f *Front) end(c *conn) bool {
	if !c.giveUp() {
		return false
	}
	c.nc.Close() // not under its lock, for which the reader may wait
	delete(f.conns, c)
	return true
}

// giveUp takes nothing more from a connection on which nothing is open.
func (c *conn) giveUp() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.within || len(c.open) > 0 || c.writing || len(c.out) > 0 || !accept.Quiet(c.nc) {
		return false
	}
	c.broken = true
	if c.spoke && !c.told {
		c.told = true
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
		c.closing()
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
		if c.unsettled() {
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

// sweep asks for the end of what was idle for longer than the module wants, or than anyone needs. Who heeds it
// closes the connection himself, so that no request crosses the close; who does not is closed a while later.
func (f *Front) sweep() {
	f.mu.Lock()
	closed := f.closed
	after := float64(idleMs)
	if wanted := f.core.IdleCloseAfterMS(); wanted > 0 {
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

func (f *Front) leave(c *conn) {
	f.mu.Lock()
	delete(f.conns, c)
	f.mu.Unlock()
}

// conn is one connection: one goroutine reads it, one writes it, and answers come from handlers in any order.
type conn struct {
	front *Front
	nc    net.Conn
	raw   syscall.RawConn
	kick  chan struct{}

	// The reader's own.
	since  time.Time // when the command that is being read began, or the waiting for the first
	faults int

	forged atomic.Bool // a request came that the executor does not know, before any was served

	mu      sync.Mutex
	within  bool // a part of a command was read, or a whole one is being taken; only the reader sets it
	open    map[uint64]*core.Handler
	out     []byte
	writing bool
	told    bool // 'closing' was sent
	toldAt  float64
	ended   bool // no more is read
	broken  bool
	spoke   bool    // a whole command came
	served  bool    // one of its requests was
	used    float64 // when a command or an answer last passed
}

// errFaults ends the reading of a connection. What was read before is owed its answer all the same.
var errFaults = errors.New("too many requests that make no sense")

// Read bounds for how long a command may be on its way.
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

// limit is when a command has to be whole, or the first of a connection. Half a command keeps a place and a buffer; of a
// router that was served here, or whose requests are open, it is taken for one on a network that is cut, and its rest is
// waited for as long as routers keep connections: what it completes is then owed an answer.
func (c *conn) limit() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case !c.spoke:
		return c.since.Add(firstFor)
	case !c.within:
		return time.Time{}
	case c.served || len(c.open) > 0:
		return c.since.Add(max(wholeFor, c.front.core.CallerIdleTimeout()))
	}
	return c.since.Add(wholeFor)
}

// take reads what there is.
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

// last takes what came before the time was up. A process that got no time meanwhile finds both at once, and the library
// looks at the time first: a whole request would be closed on. Where there is nothing, no more is taken from now on, or,
// with neither bytes nor an error, the limit is a later one by now.
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

// pull reads once, without waiting. That bytes were taken out of the socket is noted in the same step.
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

// read takes commands until the router ends the connection or sends what is none.
func (c *conn) read() {
	err := c.commands()
	c.mu.Lock()
	c.ended = true
	var left []*core.Handler
	c.within = false
	plain := err == io.EOF || err == io.ErrUnexpectedEOF // between two commands, or within one
	if !plain && !errors.Is(err, os.ErrDeadlineExceeded) && err != errFaults {
		// Broken, or not understood: nobody reads answers here any more. After a plain end the router may
		// still do so, and an answer that nobody wants does no harm. The same holds where a command got stuck, or
		// too many made no sense: what was read before is owed its answer, and the connection ends after that.
		c.broken = true
		for tag, l := range c.open {
			left = append(left, l)
			delete(c.open, tag)
		}
	}
	c.mu.Unlock()
	for _, l := range left {
		l.CallerGone()
	}
	c.wake()
}

func (c *conn) commands() (err error) {
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
		c.within = r.Buffered() > 0
		c.mu.Unlock()
		c.since = time.Now()
		if err := c.next(r); err != nil {
			return err
		}
	}
}

// next reads one command and takes it.
func (c *conn) next(r *bufio.Reader) error {
	if _, err := r.Peek(1); err != nil { // so that a connection without one holds no buffer
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

func (c *conn) command(args [][]byte) error {
	if len(args) < 2 {
		return errors.New("no tag")
	}
	tag, err := strconv.ParseUint(string(args[1]), 10, 64)
	if err != nil || tag == 0 {
		return fmt.Errorf("tag %q is not a number from 1 up", args[1])
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
			l.CallerGone()
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
			say, says := c.front.core.Hint()
			c.send(func(b []byte) []byte { return appendHealth(b, tag, say, says, good) })
		})
		return nil
	}
	return fmt.Errorf("unknown command %q", args[0])
}

func (c *conn) request(tag uint64, args [][]byte) error {
	q, err := request(args, c.front.clock.Now())
	if errors.Is(err, errValue) {
		return c.fault(tag, err)
	}
	if err != nil {
		return err
	}
	if c.forged.Load() { // guards against a flood of them, which would take the room of true ones
		return c.fault(tag, errFaults)
	}
	q.Body = pool.Copy(q.Body) // the arguments are redcon's
	c.mu.Lock()
	_, twice := c.open[tag]
	crowded := len(c.open) >= mostOpen
	if !twice && !crowded {
		c.open[tag] = nil // the answer may come before Open returns
	}
	c.mu.Unlock()
	if twice {
		return fmt.Errorf("tag %d is in use", tag)
	}
	if crowded {
		c.answer(tag, core.Outcome{Verdict: core.Refused, RetryAfterMS: 1})
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

// fault answers a request whose figures make no sense; none of it gets to the module. Who sends many is read
// slowly, and then no more: guards against clients that send the same again as soon as it is turned away.
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

// answer gives a request its one answer.
func (c *conn) answer(tag uint64, o core.Outcome) {
	say, says := c.front.core.Hint()
	c.send(func(b []byte) []byte {
		delete(c.open, tag)
		c.used = c.front.clock.Now()
		c.served = c.served || o.Verdict == core.Served
		o.UnknownRequest = o.UnknownRequest && !c.served
		return appendAnswer(b, tag, say, says, o)
	})
	if o.UnknownRequest && !c.forged.Swap(true) {
		// What came beside it is most likely as false: it fails, but for what runs already.
		c.mu.Lock()
		var beside []*core.Handler
		for _, l := range c.open {
			if l != nil {
				beside = append(beside, l)
			}
		}
		c.mu.Unlock()
		for _, l := range beside {
			l.FailUnlessStarted()
		}
	}
}

// send queues bytes for the writer and never waits.
func (c *conn) send(add func([]byte) []byte) {
	c.mu.Lock()
	c.out = add(c.out)
	full := !c.broken && len(c.out) > mostUnsent
	if c.broken = c.broken || full; c.broken {
		c.out = nil
	}
	c.mu.Unlock()
	if full {
		c.nc.Close() // it does not read its answers
	}
	c.wake()
}

func (c *conn) wake() {
	select {
	case c.kick <- struct{}{}:
	default:
	}
}

// closing asks the router for no new requests.
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

func (c *conn) idleSince(ms float64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open) == 0 && !c.within && !c.writing && len(c.out) == 0 && c.used <= ms
}

func (c *conn) wasTold(ms float64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.told && c.toldAt <= ms
}

// missedLess orders idle connections by how little their end would harm.
func (c *conn) missedLess(o *conn) bool {
	spoke, used := c.state()
	otherSpoke, otherUsed := o.state()
	if spoke != otherSpoke {
		return !spoke
	}
	return used < otherUsed
}

func (c *conn) state() (spoke bool, used float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.spoke, c.used
}

func (c *conn) unsettled() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.broken && (c.writing || len(c.out) > 0 || !c.ended && (c.within || !accept.Quiet(c.nc)))
}

// write sends what is queued, and closes the connection when nothing more can come.
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
						l.CallerGone()
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
