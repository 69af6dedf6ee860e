package members

import (
	"net"
	"testing"
	"time"
)

func listen(t *testing.T, at string) net.PacketConn {
	t.Helper()
	c, err := net.ListenPacket("udp", at)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(time.Minute))
	return c
}

func want(t *testing.T, c net.PacketConn, report string) {
	t.Helper()
	b := make([]byte, 100)
	n, _, err := c.ReadFrom(b)
	if err != nil || string(b[:n]) != report {
		t.Fatalf("heard %q, %v; want %q", b[:n], err, report)
	}
}

// The service goes down between two reports and comes back between two others: the refusal of the one shows at the next,
// which was lost with it. Reports go on through a move and a drain, and nowhere while no address is told.
func TestReportsOutliveTheService(t *testing.T) {
	c := listen(t, "127.0.0.1:0")
	at := c.LocalAddr().String()
	r := New(at, "n1")
	r.every = time.Hour // each report is asked for
	go r.Run(t.Context())
	want(t, c, "HB n1 UP")
	c.Close()
	probe, err := net.Dial("udp", at)
	if err != nil {
		t.Fatal(err)
	}
	defer probe.Close()
	r.Move(at) // refused, which nothing shows yet
	for refused := false; !refused; time.Sleep(time.Millisecond) {
		_, err := probe.Write([]byte("x"))
		refused = err != nil // by now the other's is known as well
	}
	c = listen(t, at)
	r.Move(at)
	want(t, c, "HB n1 UP")
	other := listen(t, "127.0.0.1:0")
	r.Move("")
	r.Leave()
	r.Move(other.LocalAddr().String())
	want(t, other, "HB n1 OUT")
}

// A report finds its way blocked, and those after it vanish unheard: neither holds up the ones to come.
func TestReportsComeBehindOneThatIsBlocked(t *testing.T) {
	c := listen(t, "127.0.0.1:0")
	r := New(c.LocalAddr().String(), "n1")
	r.every = time.Millisecond
	udp, blocked := r.dial, true
	r.dial = func(address string) (net.Conn, error) {
		if !blocked {
			return udp(address)
		}
		blocked = false
		near, far := net.Pipe() // of which nobody reads
		t.Cleanup(func() { far.Close() })
		return near, nil
	}
	go r.Run(t.Context())
	for range 20 { // none gets an answer
		want(t, c, "HB n1 UP")
	}
}
