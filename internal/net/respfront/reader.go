package respfront

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
	"time"

	"github.com/tidwall/redcon"

	"puffinsaddle/internal/core"
	"puffinsaddle/internal/pool"
)

const (
	firstCommandTimeout = 2 * time.Second // until the first command of a new connection is complete
	commandTimeout      = 2 * time.Second // from the first byte of a command to its last
)

// errTooManyInvalid ends the reading of a connection. The requests read before still get their answers.
var errTooManyInvalid = errors.New("too many invalid requests")

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
		abandoned = c.takeHandlers()
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
