package members

import (
	"net"
	"testing"
	"time"
)

func listenUDP(t *testing.T, address string) net.PacketConn {
	t.Helper()
	c, err := net.ListenPacket("udp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(time.Minute))
	return c
}

func wantReport(t *testing.T, c net.PacketConn, report string) {
	t.Helper()
	b := make([]byte, 100)
	n, _, err := c.ReadFrom(b)
	if err != nil || string(b[:n]) != report {
		t.Fatalf("received %q, %v; want %q", b[:n], err, report)
	}
}

// The service stops between two reports and restarts between two later ones. Guards against losing the report whose write
// returns the refusal of the one before. Reports continue after a change of address and during a drain, and none is sent
// while the address is empty.
func TestReportsResumeAfterServiceRestart(t *testing.T) {
	c := listenUDP(t, "127.0.0.1:0")
	address := c.LocalAddr().String()
	r := New(address, "n1")
	r.interval = time.Hour // reports are sent on request only
	go r.Run(t.Context())
	wantReport(t, c, "HB n1 UP")
	c.Close()
	probe, err := net.Dial("udp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer probe.Close()
	r.SetAddress(address) // refused; the socket returns the error on the next write
	for refused := false; !refused; time.Sleep(time.Millisecond) {
		_, err := probe.Write([]byte("x"))
		refused = err != nil // by now the reporter's socket has its error as well
	}
	c = listenUDP(t, address)
	r.SetAddress(address)
	wantReport(t, c, "HB n1 UP")
	other := listenUDP(t, "127.0.0.1:0")
	r.SetAddress("")
	r.Leave()
	r.SetAddress(other.LocalAddr().String())
	wantReport(t, other, "HB n1 OUT")
}

// Neither a report whose write blocks nor reports that get no answer delay the later ones.
func TestBlockedReportDoesNotDelayLaterOnes(t *testing.T) {
	c := listenUDP(t, "127.0.0.1:0")
	r := New(c.LocalAddr().String(), "n1")
	r.interval = time.Millisecond
	dialUDP, blocked := r.dial, true
	r.dial = func(address string) (net.Conn, error) {
		if !blocked {
			return dialUDP(address)
		}
		blocked = false
		near, far := net.Pipe() // the far end is never read
		t.Cleanup(func() { far.Close() })
		return near, nil
	}
	go r.Run(t.Context())
	for range 20 { // the service answers none
		wantReport(t, c, "HB n1 UP")
	}
}
