// Package vault makes calls to the vault over HTTP/1.1, each on a connection of its own. A call is given up by
// closing its connection, and none is ever sent twice from here: repeats are the module's choice.
//
// A connection is not used again. What may follow a good reply (a second copy, noise) can come at any time
// later, so no look at an idle connection proves that the next reply read from it belongs to the next call;
// and one that the vault has forgotten spoils the call that finds it so.
package vault

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"sync"

	"puffinsaddle/internal/clock"
	"puffinsaddle/internal/pool"
	"puffinsaddle/policy"
)

const (
	maxReplyBytes       = 64 << 10 // bytes of a reply's body; true ones are a few KiB
	maxHeaderBytes      = 16 << 10 // bytes of all heads before it
	maxInterimResponses = 8        // 1xx heads before the final one
	refusedUnseenHeader = "X-Refused-Unseen"
)

// Client makes the calls.
type Client struct {
	clock  *clock.Clock
	dialer net.Dialer

	mu      sync.Mutex
	address string
}

// New makes a client of one vault.
func New(address string, clk *clock.Clock) *Client { return &Client{address: address, clock: clk} }

// SetAddress sends the calls to come to a new address; those under way go on where they are.
func (c *Client) SetAddress(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.address = address
}

// Call makes one call and tells how it ended. The reply's buffer is the caller's.
func (c *Client) Call(ctx context.Context, id string, timeoutMS float64, body []byte) (policy.Outcome, []byte) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timer := c.clock.After(timeoutMS, func() { cancel(context.DeadlineExceeded) })
	defer timer.Stop()

	c.mu.Lock()
	address := c.address
	c.mu.Unlock()
	conn, err := c.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return policy.Unreachable, nil // never connected, so no call ran, whatever ended the dialing
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	outcome, reply := roundTrip(conn, id, timeoutMS, body)
	if !stop() && outcome == policy.InvalidReply && errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		outcome = policy.TimedOut
	}
	return outcome, reply
}

// roundTrip sends one call on a connection and reads the reply; a break tells nothing about what ran.
func roundTrip(conn net.Conn, id string, timeoutMS float64, body []byte) (policy.Outcome, []byte) {
	b := pool.Get(pool.Size)[:0]
	b = fmt.Appendf(b, "POST /v2/read HTTP/1.1\r\nHost: vault\r\nX-Ticket: %s\r\nX-Max-Ms: %d\r\nContent-Length: %d\r\n\r\n",
		id, int64(max(math.Ceil(timeoutMS), 1)), len(body))
	b = append(b, body...)
	_, err := conn.Write(b)
	pool.Put(b)
	if err != nil {
		return policy.InvalidReply, nil
	}
	// Guards against heads without end, and against replies that keep coming.
	resp, err := readFinalResponse(bufio.NewReaderSize(io.LimitReader(conn, maxHeaderBytes+maxReplyBytes), 4096))
	if err != nil {
		return policy.InvalidReply, nil
	}
	reply, err := readBody(resp) // never closed: to close a body of 3 GB reads it to its end
	if err != nil {
		pool.Put(reply)
		return policy.InvalidReply, nil
	}
	var outcome policy.Outcome
	switch {
	case resp.StatusCode == http.StatusOK:
		return policy.OK, reply
	case resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(refusedUnseenHeader) == "1":
		outcome = policy.Full
	case resp.StatusCode == http.StatusConflict && resp.Header.Get(refusedUnseenHeader) == "1":
		outcome = policy.NotRun
	case resp.StatusCode == http.StatusGatewayTimeout:
		outcome = policy.TimedOut
	default:
		outcome = policy.Failed
	}
	pool.Put(reply)
	return outcome, nil
}

// readFinalResponse reads past the 1xx heads, which come before the answer and are none.
func readFinalResponse(r *bufio.Reader) (*http.Response, error) {
	for range maxInterimResponses + 1 {
		resp, err := http.ReadResponse(r, nil)
		if err != nil || resp.StatusCode >= http.StatusOK {
			return resp, err
		}
		if resp.StatusCode == http.StatusSwitchingProtocols || resp.StatusCode < http.StatusContinue {
			return nil, fmt.Errorf("status %d", resp.StatusCode)
		}
	}
	return nil, errors.New("no end of 1xx heads")
}

// readBody reads a body whose end is told: one that ends with its connection may have been cut short, and a
// cut reply must not reach a run.
func readBody(resp *http.Response) ([]byte, error) {
	n := resp.ContentLength
	switch {
	case n > maxReplyBytes:
		return nil, errors.New("reply too long")
	case n >= 0:
		b := pool.Get(int(n))
		_, err := io.ReadFull(resp.Body, b)
		return b, err
	case len(resp.TransferEncoding) == 0:
		return nil, errors.New("no length")
	}
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes+1))
	if err == nil && len(b) > maxReplyBytes {
		err = errors.New("reply too long")
	}
	return b, err
}
