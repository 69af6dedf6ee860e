package respfront

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"time"

	"puffinsaddle/internal/core"
	"puffinsaddle/internal/net/accept"
	"puffinsaddle/internal/pool"
)

const (
	maxOpenRequests       = 32   // on a connection, by the protocol
	maxInvalidRequests    = 8    // on a connection; the next one ends it
	invalidRequestDelayMS = 50.0 // reading stops for this long after each invalid request
	fullRetryAfterMS      = 1.0  // milliseconds until a retry of a request over maxOpenRequests

	fullPause         = time.Millisecond     // reading stops for this long after such a request
	resetPollInterval = 5 * time.Millisecond // between two looks at a connection whose reading has stopped
)

// errReset is the error of a connection that was reset while there was input to read. Nobody waits for requests in that input.
var errReset = errors.New("connection reset before its input was read")

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
		c.handleAbort(tag)
		return nil
	case bytes.Equal(args[0], []byte("HEALTH")):
		return c.handleHealth(tag, args)
	}
	return fmt.Errorf("unknown command %q", args[0])
}

// handleAbort handles the command ABORT: the router no longer waits for a request.
func (c *conn) handleAbort(tag uint64) {
	c.mu.Lock()
	handler := c.openRequests[tag]
	delete(c.openRequests, tag)
	if handler != nil {
		c.takenBack++
	}
	c.mu.Unlock()
	if handler != nil {
		handler.CallerGone()
		handler.WhenEnded(c.endTakenBack)
	}
}

// endTakenBack records that a request that the router has taken back has ended.
func (c *conn) endTakenBack() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.takenBack--
}

// handleHealth handles the command HEALTH.
func (c *conn) handleHealth(tag uint64, args [][]byte) error {
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
	if accept.WasReset(c.nc) {
		return errReset
	}
	q.Body = pool.Copy(q.Body) // the buffer of the arguments is reused
	maxOpen := c.front.core.OpenRequestsOfCaller(int(c.front.connCount.Load()), maxOpenRequests)
	c.mu.Lock()
	_, inUse := c.openRequests[tag]
	// What a router takes back still counts until it has ended, or one connection could take the place of all others.
	full := len(c.openRequests)+c.takenBack >= maxOpen
	if !inUse {
		c.openRequests[tag] = nil // the answer may come before Open returns
	}
	c.mu.Unlock()
	if inUse {
		return fmt.Errorf("tag %d is already in use", tag)
	}
	answer := func(o core.Outcome) { c.sendAnswer(tag, o) }
	if full {
		c.front.core.Refuse(q, fullRetryAfterMS, answer)
		time.Sleep(fullPause)
		return nil
	}
	handler := c.front.core.Open(q, answer)
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
	delayed := make(chan struct{})
	c.front.clock.After(invalidRequestDelayMS, func() { close(delayed) }) // whoever has the answer finds the pause begun
	c.sendAnswer(tag, core.Outcome{Verdict: core.Failed})
	return c.awaitUnlessReset(delayed)
}

// awaitUnlessReset waits for the end of a pause in reading. If the connection is reset meanwhile, it returns an error at once, so that
// the requests that were read before do not start.
func (c *conn) awaitUnlessReset(delayed <-chan struct{}) error {
	ticker := time.NewTicker(resetPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-delayed:
			return nil
		case <-ticker.C:
			if accept.WasReset(c.nc) {
				return errReset
			}
		}
	}
}
