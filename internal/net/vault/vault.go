// Package vault makes calls to the vault over HTTP/1.1, each on its own connection. A call is cancelled by closing its
// connection. The package never retries a call: retries are decided by the policy module.
//
// Connections are not reused. Further bytes after a valid reply (a duplicate, garbage) can arrive at any later time, so no
// check of an idle connection proves that the next reply read from it belongs to the next call. A connection that the
// vault has dropped without notice would also fail the call that reuses it.
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
	"puffinsaddle/internal/httpbody"
	"puffinsaddle/internal/pool"
	"puffinsaddle/policy"
)

const (
	maxReplyBytes       = 64 << 10 // of a reply's body; genuine ones have a few KiB
	maxHeaderBytes      = 16 << 10 // of all status lines and headers of a reply, 1xx responses included
	maxInterimResponses = 8        // 1xx responses before the final one

	// refusedUnseenHeader is the header of replies with status 503 or 409 to calls that the vault refused and did not run.
	refusedUnseenHeader = "X-Refused-Unseen"
)

// Client makes calls to one vault.
type Client struct {
	clock  *clock.Clock
	dialer net.Dialer

	mu      sync.Mutex
	address string
}

// New returns a client of the vault at address.
func New(address string, clk *clock.Clock) *Client { return &Client{address: address, clock: clk} }

// SetAddress directs future calls to a new address; calls in flight stay on their connections.
func (c *Client) SetAddress(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.address = address
}

// Call makes one call of at most timeoutMS milliseconds and returns its outcome and the reply. The caller owns the buffer of
// the reply.
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
		return policy.Unreachable, nil // never connected, so no call ran, whatever the cause
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	outcome, reply := roundTrip(conn, id, timeoutMS, body)
	if !stop() && outcome == policy.InvalidReply && errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		outcome = policy.TimedOut
	}
	return outcome, reply
}

// roundTrip sends one call on a connection and reads the reply. If the connection breaks, it is unknown whether the call ran.
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
	// The limit guards against endless headers and endless replies.
	resp, err := readFinalResponse(bufio.NewReaderSize(io.LimitReader(conn, maxHeaderBytes+maxReplyBytes), 4096))
	if err != nil {
		return policy.InvalidReply, nil
	}
	reply, err := httpbody.Read(resp, maxReplyBytes)
	if err != nil {
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

// readFinalResponse skips the interim 1xx responses and returns the final one.
func readFinalResponse(r *bufio.Reader) (*http.Response, error) {
	for range maxInterimResponses + 1 {
		resp, err := http.ReadResponse(r, nil)
		if err != nil || resp.StatusCode >= http.StatusOK {
			return resp, err
		}
		if resp.StatusCode == http.StatusSwitchingProtocols || resp.StatusCode < http.StatusContinue {
			return nil, fmt.Errorf("unexpected status %d", resp.StatusCode)
		}
	}
	return nil, errors.New("too many 1xx responses")
}
