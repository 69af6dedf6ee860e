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
	ownZone string            // zone
	zoneOf  map[string]string // of each address
	traffic meter.ByteCounts

	mu       sync.Mutex
	cutZones map[string]bool // the zones that are cut off from all others; nil: none
	changed  chan struct{}   // closed at the next change
}

const (
	dialTimeout        = time.Second
	receiveBufferBytes = 32 << 10 // bytes that the system takes for a server that does not read
)

func newPartition(own string, zoneOf map[string]string) *partition {
	return &partition{ownZone: own, zoneOf: zoneOf, changed: make(chan struct{})}
}

// cut separates zones from all others; none: all reach all.
func (p *partition) cut(zones []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cutZones = nil
	if len(zones) > 0 {
		p.cutZones = map[string]bool{}
		for _, z := range zones {
			p.cutZones[z] = true
		}
	}
	close(p.changed)
	p.changed = make(chan struct{})
}

// blocked tells whether an address is on the other side, and what is closed at the next change.
func (p *partition) blocked(address string) (bool, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cutZones != nil && p.cutZones[p.ownZone] != p.cutZones[p.zoneOf[address]], p.changed
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
		tcp.SetReadBuffer(receiveBufferBytes)
	}
	return &partitionedConn{Conn: meter.New(conn, &p.traffic), partition: p, address: address, closed: make(chan struct{})}, nil
}

// partitionedConn holds bytes back while its peer is on the other side.
type partitionedConn struct {
	net.Conn
	partition *partition
	address   string
	closeOnce sync.Once
	closed    chan struct{}

	mu                          sync.Mutex
	readDeadline, writeDeadline time.Time // deadlines
	stalledUntil                time.Time // it reads nothing before
}

// Close ends the connection, and whatever waits on it.
func (c *partitionedConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// SetReadDeadline notes the deadline, which also ends a wait for the partition to heal.
func (c *partitionedConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	c.readDeadline = t
	c.mu.Unlock()
	return c.Conn.SetReadDeadline(t)
}

// SetWriteDeadline does the same for writes.
func (c *partitionedConn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	c.writeDeadline = t
	c.mu.Unlock()
	return c.Conn.SetWriteDeadline(t)
}

// stall keeps the connection from reading for a while.
func (c *partitionedConn) stall(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stalledUntil = time.Now().Add(d)
}

// Read reads what came, late where it crossed the partition.
func (c *partitionedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err != nil {
		return n, err
	}
	c.mu.Lock()
	until, deadline := c.stalledUntil, c.readDeadline
	c.mu.Unlock()
	if d := time.Until(until); d > 0 {
		select {
		case <-time.After(d):
		case <-c.closed:
			return 0, net.ErrClosed
		}
	}
	return n, c.waitReachable(deadline)
}

// Write sends, or waits until the partition has healed.
func (c *partitionedConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	deadline := c.writeDeadline
	c.mu.Unlock()
	if err := c.waitReachable(deadline); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// waitReachable waits until the peer is reached.
func (c *partitionedConn) waitReachable(deadline time.Time) error {
	var timeout <-chan time.Time
	for {
		blocked, changed := c.partition.blocked(c.address)
		if !blocked {
			return nil
		}
		if timeout == nil && !deadline.IsZero() {
			timeout = time.After(time.Until(deadline))
		}
		select {
		case <-changed:
		case <-timeout:
			return os.ErrDeadlineExceeded
		case <-c.closed:
			return net.ErrClosed
		}
	}
}
