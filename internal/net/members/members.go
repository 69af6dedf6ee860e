// Package members reports to the membership service, one UDP datagram at a time.
package members

import (
	"context"
	"net"
	"sync/atomic"
	"time"
)

const every = 800 * time.Millisecond // an entry lapses after 3 s; two reports may be lost

// Reporter reports that the order server is there.
type Reporter struct {
	address, name string
	leaving       atomic.Bool
}

// New makes a reporter.
func New(address, name string) *Reporter { return &Reporter{address: address, name: name} }

// Leave makes further reports say that the order server leaves.
func (r *Reporter) Leave() { r.leaving.Store(true) }

// Run reports until the context ends. The service may be down; then a report is lost, and the next one is
// sent on a new socket, since the refusal may stick to the old.
func (r *Reporter) Run(ctx context.Context) {
	var conn net.Conn
	tick := time.NewTicker(every)
	defer tick.Stop()
	for {
		state := "UP"
		if r.leaving.Load() {
			state = "OUT"
		}
		if conn == nil {
			conn, _ = net.Dial("udp", r.address)
		}
		if conn != nil {
			if _, err := conn.Write([]byte("HB " + r.name + " " + state)); err != nil {
				conn.Close()
				conn = nil
			}
		}
		select {
		case <-ctx.Done():
			if conn != nil {
				conn.Close()
			}
			return
		case <-tick.C:
		}
	}
}
