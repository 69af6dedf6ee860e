// Package members reports to the membership service, one UDP datagram at a time.
package members

import (
	"context"
	"net"
	"sync"
	"time"
)

// reportInterval is the time between reports. An entry lapses after 3 s without one, and a quarter of them may be lost:
// all of the 14 that fall into a lapse are lost once in some 250 million times.
const reportInterval = 200 * time.Millisecond

// Reporter reports that the order server is there.
type Reporter struct {
	name     string
	interval time.Duration
	dial     func(address string) (net.Conn, error)
	wakeup   chan struct{} // report now

	mu      sync.Mutex
	address string
	leaving bool
}

// New makes a reporter.
func New(address, name string) *Reporter {
	return &Reporter{address: address, name: name, interval: reportInterval, wakeup: make(chan struct{}, 1),
		dial: func(address string) (net.Conn, error) { return net.Dial("udp", address) }}
}

// Leave makes further reports say that the order server leaves.
func (r *Reporter) Leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaving = true
}

// SetAddress sends the reports to a new address, the next one at once.
func (r *Reporter) SetAddress(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.address = address
	select {
	case r.wakeup <- struct{}{}:
	default:
	}
}

func (r *Reporter) current() (address, report string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.leaving {
		return r.address, "HB " + r.name + " OUT"
	}
	return r.address, "HB " + r.name + " UP"
}

// Run reports until the context ends; nowhere while the address is empty. The service may be down; then a
// report is lost.
func (r *Reporter) Run(ctx context.Context) {
	var conn net.Conn
	var connAddress string
	closeConn := func() {
		if conn != nil {
			conn.Close()
		}
		conn = nil
	}
	defer closeConn()
	ticker := time.NewTicker(r.interval)
	defer ticker.Stop()
	for {
		address, report := r.current()
		if address != connAddress {
			closeConn()
			connAddress = address
		}
		// A refusal of an earlier report sticks to the socket and shows at the next one, which then was not sent: it
		// goes out again at once on a new socket, so that a service that comes back hears the first one after that.
		for attempt := 0; attempt < 2 && connAddress != ""; attempt++ {
			if conn == nil {
				if conn, _ = r.dial(connAddress); conn == nil {
					break
				}
			}
			conn.SetWriteDeadline(time.Now().Add(reportInterval)) // reports must not fall behind a full queue
			if _, err := conn.Write([]byte(report)); err == nil {
				break
			}
			closeConn()
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-r.wakeup:
		}
	}
}
