// Package meter counts the bytes that connections receive and send.
package meter

import (
	"net"
	"sync/atomic"
)

// ByteCounts holds the bytes received (In) and sent (Out) since counting began.
type ByteCounts struct{ In, Out atomic.Uint64 }

// Conn is a connection that counts its bytes.
type Conn struct {
	net.Conn
	count *ByteCounts
}

// New returns a connection that adds its bytes to a counter.
func New(conn net.Conn, c *ByteCounts) *Conn { return &Conn{conn, c} }

// Read reads from the connection and counts the received bytes.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.count.In.Add(uint64(n))
	return n, err
}

// Write writes to the connection and counts the sent bytes.
func (c *Conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.count.Out.Add(uint64(n))
	return n, err
}
