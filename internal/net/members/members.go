// Package members reports to the membership service, with one UDP datagram per report.
package members

import (
	"context"
	"net"
	"sync"
	"time"
)

// reportInterval is the time between reports. The service expires an entry after 3 s without a report, and a quarter of the
// reports may be lost: the 14 reports within 3 s are all lost about once in 250 million times.
const reportInterval = 200 * time.Millisecond

// Reporter reports to the membership service that the order server is up or leaving.
type Reporter struct {
	name     string
	interval time.Duration
	dial     func(address string) (net.Conn, error)
	wakeup   chan struct{} // requests a report at once

	mu      sync.Mutex
	address string
	leaving bool
}

// New returns a reporter that reports the order server's name to an address; Run sends the reports.
func New(address, name string) *Reporter {
	return &Reporter{address: address, name: name, interval: reportInterval, wakeup: make(chan struct{}, 1),
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
	case r.wakeup <- struct{}{}:
	default:
	}
}

// current returns the present address and the report to send there.
func (r *Reporter) current() (address, report string) {
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
		// If an earlier report was refused, the socket returns that error for the next write and does not send it. That
		// report is sent again at once on a new socket, so that a restarted service receives the first report after its start.
		for attempt := 0; attempt < 2 && connAddress != ""; attempt++ {
			if conn == nil {
				if conn, _ = r.dial(connAddress); conn == nil {
					break
				}
			}
			conn.SetWriteDeadline(time.Now().Add(reportInterval)) // a full send queue must not delay later reports
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
