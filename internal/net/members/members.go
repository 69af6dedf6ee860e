// Package members sends heartbeats to the membership service, each in one UDP datagram.
package members

import (
	"context"
	"net"
	"sync"
	"time"
)

// every is the interval between reports. The service expires an entry after 3 s without a report, and may lose a quarter
// of the reports: the 14 reports within 3 s are all lost about once in 250 million times.
const every = 200 * time.Millisecond

// Reporter reports to the membership service that the order server is up or leaving.
type Reporter struct {
	name  string
	every time.Duration
	dial  func(address string) (net.Conn, error)
	kick  chan struct{} // requests a report at once

	mu      sync.Mutex
	address string
	leaving bool
}

// New returns a reporter that reports the order server's name to an address; Run sends the reports.
func New(address, name string) *Reporter {
	return &Reporter{address: address, name: name, every: every, kick: make(chan struct{}, 1),
		dial: func(address string) (net.Conn, error) { return net.Dial("udp", address) }}
}

// Leave makes later reports state that the order server is leaving.
func (r *Reporter) Leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaving = true
}

// SetAddress sends later reports to a new address, the first of them at once.
func (r *Reporter) SetAddress(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.address = address
	select {
	case r.kick <- struct{}{}:
	default:
	}
}

func (r *Reporter) now() (address, report string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.leaving {
		return r.address, "HB " + r.name + " OUT"
	}
	return r.address, "HB " + r.name + " UP"
}

// Run sends reports until the context ends, and none while the address is empty. A report is lost if the service is down.
func (r *Reporter) Run(ctx context.Context) {
	var conn net.Conn
	var at string
	drop := func() {
		if conn != nil {
			conn.Close()
		}
		conn = nil
	}
	defer drop()
	tick := time.NewTicker(r.every)
	defer tick.Stop()
	for {
		address, report := r.now()
		if address != at {
			drop()
			at = address
		}
		// If an earlier report was refused, the socket returns that error for the next write and does not send it. That
		// report is sent again at once on a new socket, so that a restarted service receives the first report after its start.
		for try := 0; try < 2 && at != ""; try++ {
			if conn == nil {
				if conn, _ = r.dial(at); conn == nil {
					break
				}
			}
			conn.SetWriteDeadline(time.Now().Add(every)) // a full send queue must not delay later reports
			if _, err := conn.Write([]byte(report)); err == nil {
				break
			}
			drop()
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-r.kick:
		}
	}
}
