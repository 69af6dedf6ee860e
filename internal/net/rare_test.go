package net_test

import (
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"puffinsaddle/internal/clock"
)

// leaving begins a drain on a clock that the test sets, and returns once new connections are refused: then only the
// last look is left.
func leaving(t *testing.T, h *house, p *routerPeer, clk *clock.Clock) (left chan struct{}) {
	t.Helper()
	left = make(chan struct{})
	go func() {
		h.core.Leave(1200, h.resp)
		close(left)
	}()
	p.want("0", "closing")
	clk.Set(start + 951)
	for {
		conn, err := net.Dial("tcp", h.resp.Addr().String())
		if err != nil {
			return left
		}
		conn.Close()
		time.Sleep(time.Millisecond)
	}
}

// A request crosses the asking to send no more, and is read while the process waits for just that. It was closed on
// with the request running.
func TestLastLookSeesWhatCrossed(t *testing.T) {
	x, h, clk := keyed(t, nil)
	p := h.router()
	p.send("HEALTH", "1") // so that the connection is taken
	p.want("1", "healthy")
	left := leaving(t, h, p, clk)
	p.req(1, 1, "book-delivery", fmt.Sprintf(",at=%.0f", start+951), "a")
	x.want("EXEC", id(1))
	for now := 951.0; now < 1100; now += 10 { // up to where the process ends at the latest
		clk.Set(start + now)
	}
	time.Sleep(20 * time.Millisecond) // a process that does not look again ends here; one that does has nothing to wait for
	x.notice("EXIT", id(1)+" success 1", "A")
	p.want("1", "done", "", "A")
	clk.Set(start + 1300)
	<-left
}

// Requests that the executor knows nothing of: what waits beside them fails, what comes after them fails unread by the
// module, and what runs is answered by its run. Reading ends where they don't stop. A connection on which something was
// served is not held to this. All used to be cut off, true requests among them.
func TestForgedRequestsTakeNoRoomAndLoseNothing(t *testing.T) {
	x, h := serving(t)
	good, bad := h.router(), h.router()
	good.req(1, 1, "book-delivery", "", "a")
	x.want("EXEC", id(1))
	x.notice("EXIT", id(1)+" success 1", "A")
	good.want("1", "done", "", "A")
	for i, p := range []*routerPeer{bad, good} {
		p.req(2, 10+i, "book-delivery", "", "b")
		x.want("EXEC", id(10+i))
		p.req(3, 20+i, "book-delivery", "", "c")
		x.want("EXEC", id(20+i))
		x.say("BAD EXEC %s", id(10+i))
		p.want("2", "error")
	}
	for tag := 4; tag < 12; tag++ {
		bad.req(tag, 100+tag, "book-delivery", "", "d")
		bad.want(fmt.Sprint(tag), "error")
	}
	good.req(4, 30, "book-delivery", "", "e")
	x.want("EXEC", id(30)) // none of the eight before was begun
	bad.req(12, 112, "book-delivery", "", "d")
	for i := range 2 {
		x.notice("EXIT", id(20+i)+" success 1", "C")
	}
	bad.want("3", "done", "", "C")
	if n, err := io.Copy(io.Discard, bad.r); n > 0 {
		t.Errorf("the ninth was answered with %d bytes, %v", n, err)
	}
	good.want("3", "done", "", "C")
	x.notice("EXIT", id(30)+" success 1", "E")
	good.want("4", "done", "", "E")
}
