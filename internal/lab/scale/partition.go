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

// partition simulates a network partition between a process of simulated servers and addresses in other zones: reads and
// writes on open connections block, and new connections time out.
type partition struct {
	ownZone string            // zone of this process
	zoneOf  map[string]string // zone by address
	traffic meter.ByteCounts

	mu       sync.Mutex
	cutZones map[string]bool // the zones that are partitioned from all others; nil: none
	changed  chan struct{}   // closed at the next change
}

const (
	dialTimeout        = time.Second
	receiveBufferBytes = 32 << 10 // socket buffer in bytes, small so that a server that stops reading soon blocks its relay
)

// newPartition returns a partition that blocks nothing yet.
func newPartition(own string, zoneOf map[string]string) *partition {
	return &partition{ownZone: own, zoneOf: zoneOf, changed: make(chan struct{})}
}

// cut partitions zones from all others, in place of the partition before. Without zones it blocks nothing.
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

// blocked reports whether an address is on the other side of the partition, and returns a channel that is closed at the next
// change of the partition.
func (p *partition) blocked(address string) (bool, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cutZones != nil && p.cutZones[p.ownZone] != p.cutZones[p.zoneOf[address]], p.changed
}

// dial opens a connection that is subject to the partition.
func (p *partition) dial(ctx context.Context, address string) (net.Conn, error) {
	if blocked, _ := p.blocked(address); blocked {
		t := time.NewTimer(dialTimeout)
		defer t.Stop()
		select {
		case <-t.C:
		case <-ctx.Done():
		}
		return nil, errors.New("scale: connection timed out in the simulated partition")
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

// partitionedConn is a connection that blocks while its peer is on the other side of the partition.
type partitionedConn struct {
	net.Conn
	partition *partition
	address   string
	closeOnce sync.Once
	closed    chan struct{}

	mu                          sync.Mutex
	readDeadline, writeDeadline time.Time
	stalledUntil                time.Time // reads return nothing before
}

// Close closes the connection and ends blocked reads and writes.
func (c *partitionedConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// SetReadDeadline sets the deadline, which also bounds a read's wait for the partition to heal.
func (c *partitionedConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	c.readDeadline = t
	c.mu.Unlock()
	return c.Conn.SetReadDeadline(t)
}

// SetWriteDeadline sets the deadline, which also bounds a write's wait for the partition to heal.
func (c *partitionedConn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	c.writeDeadline = t
	c.mu.Unlock()
	return c.Conn.SetWriteDeadline(t)
}

// stall delays all reads until d has passed.
func (c *partitionedConn) stall(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stalledUntil = time.Now().Add(d)
}

// Read reads from the connection. It returns the data after a stall or a partition has ended.
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

// Write waits until the peer is reachable, and writes.
func (c *partitionedConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	deadline := c.writeDeadline
	c.mu.Unlock()
	if err := c.waitReachable(deadline); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// waitReachable waits until the peer is reachable, the deadline passes or the connection is closed.
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
