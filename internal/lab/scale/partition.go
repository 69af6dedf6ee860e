package scale

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"puffinsaddle/internal/net/meter"
)

// partition cuts a process of hollow servers off from addresses in other zones, as a network does: what is under way waits, and
// connections that are made get no answer.
type partition struct {
	own    string            // zone
	zoneOf map[string]string // of each address
	bytes  meter.ByteCounts

	mu     sync.Mutex
	inside map[string]bool // the zones that are cut off from all others; nil: none
	healed chan struct{}   // closed at the next change
}

const (
	dialTimeout   = time.Second
	receiveBuffer = 32 << 10 // bytes that the system takes for a server that does not read
)

func newPartition(own string, zoneOf map[string]string) *partition {
	return &partition{own: own, zoneOf: zoneOf, healed: make(chan struct{})}
}

// cut separates zones from all others; none: all reach all.
func (p *partition) cut(zones []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inside = nil
	if len(zones) > 0 {
		p.inside = map[string]bool{}
		for _, z := range zones {
			p.inside[z] = true
		}
	}
	close(p.healed)
	p.healed = make(chan struct{})
}

// blocked tells whether an address is on the other side, and what is closed at the next change.
func (p *partition) blocked(address string) (bool, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.inside != nil && p.inside[p.own] != p.inside[p.zoneOf[address]], p.healed
}

// dial opens a connection through the partition.
func (p *partition) dial(ctx context.Context, address string) (net.Conn, error) {
	if blocked, _ := p.blocked(address); blocked {
		t := time.NewTimer(dialTimeout)
		defer t.Stop()
		select {
		case <-t.C:
		case <-ctx.Done():
		}
		return nil, errors.New("scale: no answer through the partition")
	}
	d := net.Dialer{Timeout: dialTimeout}
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		tcp.SetReadBuffer(receiveBuffer)
	}
	return &partitionedConn{Conn: meter.New(conn, &p.bytes), p: p, address: address, closed: make(chan struct{})}, nil
}

// partitionedConn holds bytes back while its peer is on the other side.
type partitionedConn struct {
	net.Conn
	p       *partition
	address string
	once    sync.Once
	closed  chan struct{}

	mu          sync.Mutex
	read, write time.Time // deadlines
	stalledTill time.Time // it reads nothing before
}

// Close ends the connection, and whatever waits on it.
func (c *partitionedConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// SetReadDeadline notes the deadline, which also ends a wait for the partition to heal.
func (c *partitionedConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	c.read = t
	c.mu.Unlock()
	return c.Conn.SetReadDeadline(t)
}

// SetWriteDeadline does the same for writes.
func (c *partitionedConn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	c.write = t
	c.mu.Unlock()
	return c.Conn.SetWriteDeadline(t)
}

// stall keeps the connection from reading for a while.
func (c *partitionedConn) stall(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stalledTill = time.Now().Add(d)
}

// Read reads what came, late where it crossed the partition.
func (c *partitionedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err != nil {
		return n, err
	}
	c.mu.Lock()
	until, deadline := c.stalledTill, c.read
	c.mu.Unlock()
	if d := time.Until(until); d > 0 {
		select {
		case <-time.After(d):
		case <-c.closed:
			return 0, net.ErrClosed
		}
	}
	return n, c.pass(deadline)
}

// Write sends, or waits until the partition has healed.
func (c *partitionedConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	deadline := c.write
	c.mu.Unlock()
	if err := c.pass(deadline); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// pass waits until the peer is reached.
func (c *partitionedConn) pass(deadline time.Time) error {
	var late <-chan time.Time
	for {
		blocked, healed := c.p.blocked(c.address)
		if !blocked {
			return nil
		}
		if late == nil && !deadline.IsZero() {
			late = time.After(time.Until(deadline))
		}
		select {
		case <-healed:
		case <-late:
			return os.ErrDeadlineExceeded
		case <-c.closed:
			return net.ErrClosed
		}
	}
}
