// Package vault makes calls to the vault over HTTP/1.1, one at a time on each connection. A call is given up
// by closing its connection, and none is ever sent twice from here: repeats are the module's choice.
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
	"syscall"

	"puffinsaddle/internal/clock"
	"puffinsaddle/internal/net/pool"
	"puffinsaddle/policy"
)

const (
	keepMs    = 3000    // the vault closes what is idle for 10 s; a call must never meet that close
	mostIdle  = 16      // idle connections kept
	mostReply = 1 << 20 // bytes of a reply
	unseen    = "X-Refused-Unseen"
)

// Client makes the calls.
type Client struct {
	address string
	clock   *clock.Clock
	dialer  net.Dialer

	mu   sync.Mutex
	idle []*link // the longest idle first
}

type link struct {
	net.Conn
	r     *bufio.Reader
	since float64
}

// New makes a client of one vault.
func New(address string, clk *clock.Clock) *Client { return &Client{address: address, clock: clk} }

// Call makes one call and tells how it ended. The reply's buffer is the caller's.
func (c *Client) Call(ctx context.Context, id string, maxMs float64, body []byte) (policy.Outcome, []byte) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timer := c.clock.After(maxMs, func() { cancel(context.DeadlineExceeded) })
	defer timer.Stop()

	k := c.reuse()
	if k == nil {
		conn, err := c.dialer.DialContext(ctx, "tcp", c.address)
		if err != nil {
			return policy.Unreached, nil // never connected, so no call ran, whatever ended the dialing
		}
		k = &link{Conn: conn, r: bufio.NewReaderSize(conn, 4096)}
	}
	stop := context.AfterFunc(ctx, func() { k.Close() })
	outcome, reply, keep := k.call(id, maxMs, body)
	if !stop() { // given up meanwhile
		k.Close()
		if outcome == policy.CutOff && errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
			outcome = policy.TimedOut
		}
		return outcome, reply
	}
	if keep {
		c.keep(k)
	} else {
		k.Close()
	}
	return outcome, reply
}

// call sends one call on a connection and reads the reply; a break tells nothing about what ran.
func (k *link) call(id string, maxMs float64, body []byte) (outcome policy.Outcome, reply []byte, keep bool) {
	b := pool.Get(pool.Size)[:0]
	b = fmt.Appendf(b, "POST /v2/read HTTP/1.1\r\nHost: vault\r\nX-Ticket: %s\r\nX-Max-Ms: %d\r\nContent-Length: %d\r\n\r\n",
		id, int64(max(math.Ceil(maxMs), 1)), len(body))
	b = append(b, body...)
	_, err := k.Write(b)
	pool.Put(b)
	if err != nil {
		return policy.CutOff, nil, false
	}
	resp, err := http.ReadResponse(k.r, nil)
	if err != nil {
		return policy.CutOff, nil, false
	}
	defer resp.Body.Close()
	reply, err = readBody(resp)
	if err != nil {
		pool.Put(reply)
		return policy.CutOff, nil, false
	}
	switch {
	case resp.StatusCode == http.StatusOK:
		return policy.OK, reply, !resp.Close
	case resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(unseen) == "1":
		outcome = policy.Full
	case resp.StatusCode == http.StatusConflict && resp.Header.Get(unseen) == "1":
		outcome = policy.Moot
	case resp.StatusCode == http.StatusGatewayTimeout:
		outcome = policy.TimedOut
	default:
		outcome = policy.Failed
	}
	pool.Put(reply)
	return outcome, nil, !resp.Close
}

func readBody(resp *http.Response) ([]byte, error) {
	if n := resp.ContentLength; n >= 0 && n <= mostReply {
		b := pool.Get(int(n))
		_, err := io.ReadFull(resp.Body, b)
		return b, err
	}
	b, err := io.ReadAll(io.LimitReader(resp.Body, mostReply+1))
	if err == nil && len(b) > mostReply {
		err = errors.New("reply too long")
	}
	return b, err
}

// reuse takes the connection that was used last, and closes those that were idle for too long or that the
// vault has closed.
func (c *Client) reuse() *link {
	now := c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.idle) > 0 && now-c.idle[0].since >= keepMs {
		c.idle[0].Close()
		c.idle = c.idle[1:]
	}
	for len(c.idle) > 0 {
		k := c.idle[len(c.idle)-1]
		c.idle = c.idle[:len(c.idle)-1]
		if k.r.Buffered() == 0 && quiet(k.Conn) {
			return k
		}
		k.Close()
	}
	return nil
}

func (c *Client) keep(k *link) {
	k.since = c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle) >= mostIdle {
		k.Close()
		return
	}
	c.idle = append(c.idle, k)
}

// quiet tells that a connection is open with nothing to read. Guards against a call on a connection that the
// vault closed while it was idle: the break would prove nothing, though nothing ran.
func quiet(conn net.Conn) bool {
	raw, err := conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = err == syscall.EAGAIN
		return true
	})
	return err == nil && open
}
