// Package meter counts the bytes of connections.
package meter

import (
	"net"
	"sync/atomic"
)

// ByteCounts is bytes since the start.
type ByteCounts struct{ In, Out atomic.Uint64 }

// Conn is a connection whose bytes are counted.
type Conn struct {
	net.Conn
	count *ByteCounts
}

// New counts the bytes of a connection.
func New(conn net.Conn, c *ByteCounts) *Conn { return &Conn{conn, c} }

// Read counts what came.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.count.In.Add(uint64(n))
	return n, err
}

// Write counts what went.
func (c *Conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.count.Out.Add(uint64(n))
	return n, err
}
