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
		t.Fatalf("heard %q, %v; want %q", b[:n], err, report)
	}
}

// The service goes down between two reports and comes back between two others: the refusal of the one shows at the next,
// which was lost with it. Reports go on through a move and a drain, and nowhere while no address is told.
func TestReportsResumeAfterServiceRestart(t *testing.T) {
	c := listenUDP(t, "127.0.0.1:0")
	address := c.LocalAddr().String()
	r := New(address, "n1")
	r.interval = time.Hour // each report is asked for
	go r.Run(t.Context())
	wantReport(t, c, "HB n1 UP")
	c.Close()
	probe, err := net.Dial("udp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer probe.Close()
	r.SetAddress(address) // refused, which nothing shows yet
	for refused := false; !refused; time.Sleep(time.Millisecond) {
		_, err := probe.Write([]byte("x"))
		refused = err != nil // by now the other's is known as well
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

// A report finds its way blocked, and those after it vanish unheard: neither holds up the ones to come.
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
		near, far := net.Pipe() // of which nobody reads
		t.Cleanup(func() { far.Close() })
		return near, nil
	}
	go r.Run(t.Context())
	for range 20 { // none gets an answer
		wantReport(t, c, "HB n1 UP")
	}
}
