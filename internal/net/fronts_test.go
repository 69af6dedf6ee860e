package net_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/rs/zerolog"

	"puffinsaddle/internal/clock"
	"puffinsaddle/internal/config"
	"puffinsaddle/internal/net/uwsgi"
)

const requestsPerFront = 60 // requests sent to each front by sendMixedLoad

// sendMixedLoad sends the same unsafe and safe requests to both fronts concurrently and counts the answers by kind. One
// request in four is of an unknown class.
func sendMixedLoad(h *testServer) (byRESP, byUWSGI map[string]int) {
	class := func(i int) string {
		return []string{"book-delivery", "tank-level", "book-delivery", "no-such-class"}[i%4]
	}
	byRESP, byUWSGI = map[string]int{}, map[string]int{}
	var wg sync.WaitGroup
	wg.Add(2)
	go func() {
		defer wg.Done()
		p := h.router()
		for i := 1; i <= requestsPerFront; i++ {
			p.sendRequest(i, i, class(i), "", fmt.Sprint("order ", i))
			if i%20 > 0 && i < requestsPerFront {
				continue
			}
			for range 20 {
				a := p.readAnswer()
				byRESP[a[1]]++
				if a[1] == "done" && a[3] != "for order "+a[0] {
					h.t.Errorf("the result of another request: %q", a)
				}
			}
		}
	}()
	go func() {
		defer wg.Done()
		for i := 1; i <= requestsPerFront; i++ {
			body := fmt.Sprint("order ", i)
			status, _, result := h.gateway(packet(body, "PATH_INFO", "/orders/"+class(i), "ORDER_ID", id(1000+i)), false).readResponse()
			byUWSGI[map[int]string{200: "done", 404: "later", 502: "error"}[status]]++
			if status == 200 && result != "for "+body {
				h.t.Errorf("the result of another request: %q", result)
			}
		}
	}()
	wg.Wait()
	return
}

// checkCounts checks that both fronts gave the same answers and that each request of a known class was started once.
func checkCounts(t *testing.T, byRESP, byUWSGI, starts map[string]int) {
	t.Helper()
	if fmt.Sprint(byRESP) != fmt.Sprint(byUWSGI) || byRESP["done"] != requestsPerFront*3/4 || byRESP["later"] != requestsPerFront/4 {
		t.Errorf("answers by RESP %v, by uwsgi %v", byRESP, byUWSGI)
	}
	for i := 1; i <= requestsPerFront; i++ {
		for _, n := range []int{i, 1000 + i} {
			if want := min(i%4, 3) / 3; starts[id(n)] != 1-want {
				t.Errorf("%s was started %d times", id(n), starts[id(n)])
			}
		}
	}
}

// Both fronts on one executor give the same counts of answers, and no request runs twice.
func TestMixedLoadRunsOnceOnExecutor(t *testing.T) {
	x := newExecutor(t)
	h := newServerWithExecutor(t, x, "127.0.0.1:1")
	x.acceptJoin(0)
	starts := x.runAll()
	byRESP, byUWSGI := sendMixedLoad(h)
	checkCounts(t, byRESP, byUWSGI, starts())
}

// Both fronts on two uwsgi servers, the first of which is down, give the same counts of answers, and no request runs twice.
func TestMixedLoadRunsOnceOnUWSGIServers(t *testing.T) {
	var mu sync.Mutex
	starts := map[string]int{}
	address := startUWSGIServer(t, func(conn net.Conn, vars map[string]string, body string) {
		mu.Lock()
		starts[vars["ORDER_ID"]]++
		mu.Unlock()
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\nfor %s", 4+len(body), body)
	})
	set := config.UWSGI{Servers: []string{"127.0.0.1:1", address}, MaxResultBytes: 4096}
	h := newServer(t, uwsgi.NewRunner(set, clock.System(), zerolog.Nop()), nil, config.UWSGI{}, nil)
	h.core.RunnerStarted(false)
	byRESP, byUWSGI := sendMixedLoad(h)
	mu.Lock()
	defer mu.Unlock()
	checkCounts(t, byRESP, byUWSGI, starts)
}

// A uwsgi server that breaks off after it received an unsafe request may have run it. The answer has to be 502, and no
// second server may receive the request.
func TestUnsafeRequestIsNotRetriedOnBrokenServer(t *testing.T) {
	var received atomic.Int32
	broken := func(conn net.Conn, _ map[string]string, _ string) { received.Add(1) }
	set := config.UWSGI{Servers: []string{startUWSGIServer(t, broken), startUWSGIServer(t, broken)}, MaxResultBytes: 4096}
	h := newServer(t, uwsgi.NewRunner(set, clock.System(), zerolog.Nop()), nil, config.UWSGI{}, nil)
	h.core.RunnerStarted(false)
	if status, _, _ := h.gateway(packet("b", "ORDER_CLASS", "book-delivery"), false).readResponse(); status != http.StatusBadGateway {
		t.Errorf("status %d, want 502", status)
	}
	if received.Load() != 1 {
		t.Errorf("%d servers received the request, want 1", received.Load())
	}
}

// Input that is not a valid packet gets exactly one answer, whether truncated, malformed, too large or too slow.
func TestInvalidPacketGetsOneAnswer(t *testing.T) {
	h := newServer(t, newIdleRunner(t), nil, config.UWSGI{}, nil)
	slow := newServer(t, newIdleRunner(t), nil, config.UWSGI{ReadTimeoutMS: 20}, nil)
	complete := packet("body", "ORDER_CLASS", "book-delivery")
	for _, c := range []struct {
		name, bytes string
		end         bool
		h           *testServer
		want        int
	}{
		{"truncated header", complete[:3], true, h, 400}, {"truncated variables", complete[:20], true, h, 400},
		{"truncated body", complete[:len(complete)-1], true, h, 400}, {"unsupported modifiers", "\x05" + complete[1:], false, h, 400},
		{"variable length beyond the block", "\x00\x04\x00\x00\xff\x00ab", false, h, 400},
		{"variable without a value", "\x00\x03\x00\x00\x01\x00a", false, h, 400},
		{"invalid content length", "\x00\x14\x00\x00\x0e\x00CONTENT_LENGTH\x02\x00-1", false, h, 400},
		{"too large", packet(strings.Repeat("x", 5000), "ORDER_CLASS", "book-delivery"), false, h, 400},
		{"malformed variable", packet("", "ORDER_CLASS", "book-delivery", "ORDER_WAIT", "soon"), false, h, 400},
		{"not a number", packet("", "ORDER_CLASS", "book-delivery", "ORDER_KB", "NaN"), false, h, 400},
		{"out of range", packet("", "ORDER_CLASS", "book-delivery", "ORDER_KB", "2e6"), false, h, 400},
		{"arrival time too long ago", packet("", "ORDER_CLASS", "book-delivery", "ORDER_AT", "1"), false, h, 400},
		{"wait out of range", packet("", "ORDER_CLASS", "book-delivery", "ORDER_WAIT", "1e12"), false, h, 400},
		{"partial packet that never continues", complete[:20], false, slow, 408},
	} {
		if status, _, _ := c.h.gateway(c.bytes, c.end).readResponse(); status != c.want {
			t.Errorf("%s: status %d, want %d", c.name, status, c.want)
		}
	}
}

// When a drain begins, one request is running, one is read in part and one is yet to arrive. Each gets one answer.
func TestDrainAnswersEachRequestOnce(t *testing.T) {
	x, h := newReadyServer(t)
	p := h.router()
	p.sendRequest(1, 1, "book-delivery", "", "a")
	x.want("EXEC", id(1))
	partial := h.gateway(packet("b", "ORDER_CLASS", "book-delivery")[:20], false)
	shutdownDone := make(chan struct{})
	go func() { h.core.Shutdown(clock.System().Now(), 1500, h.resp, h.uwsgi); close(shutdownDone) }()
	p.want("0", "closing")
	booking := h.gateway(packet("c", "ORDER_CLASS", "book-delivery", "ORDER_ID", id(3)), false)
	x.want("EXEC", id(3))
	x.sendNotice("EXIT", id(3)+" success 1", "C")
	if status, _, result := booking.readResponse(); status != 200 || result != "C" {
		t.Errorf("the request that arrived after the notice got %d %q", status, result)
	}
	late := h.router() // connects to a draining server and is still served
	late.want("0", "closing")
	late.sendRequest(1, 4, "book-delivery", "", "d")
	x.want("EXEC", id(4))
	x.sendNotice("EXIT", id(4)+" success 1", "D")
	late.want("1", "done", "", "D")
	p.want("1", "error") // its run did not end before the stop
	if status, _, _ := partial.readResponse(); status != http.StatusRequestTimeout {
		t.Errorf("a partial packet got %d, want 408", status)
	}
	<-shutdownDone
	if _, err := net.Dial("tcp", h.uwsgi.Addr().String()); err == nil {
		t.Error("the listener is still open")
	}
}

// Overdue and refused requests have their own statuses. A gateway that disconnects abandons its request, and a repeat of
// an unsafe request that was started is not run.
func TestGatewayStatusesForOverdueRefusedAndRepeated(t *testing.T) {
	x, h := newReadyServer(t)
	g := h.gateway(packet("a", "ORDER_CLASS", "book-delivery", "ORDER_ID", id(1), "ORDER_WAIT", "1000"), false)
	x.want("EXEC", id(1))
	if status, _, _ := g.readResponse(); status != http.StatusGatewayTimeout {
		t.Errorf("overdue: %d, want 504", status)
	}
	status, head, _ := h.gateway(packet("b", "ORDER_CLASS", "book-delivery", "ORDER_WAIT", "1"), false).readResponse()
	if status != http.StatusServiceUnavailable || head.Get("Retry-After") == "" {
		t.Errorf("refused: %d with Retry-After %q, want 503", status, head.Get("Retry-After"))
	}
	gone := h.gateway(packet("c", "ORDER_CLASS", "book-delivery", "ORDER_ID", id(2)), false)
	x.want("EXEC", id(2))
	gone.conn.Close()
	x.sendNotice("EXIT", id(2)+" interrupted 1", "")
	if status, _, _ := h.gateway(packet("c", "ORDER_CLASS", "book-delivery", "ORDER_ID", id(2)), false).readResponse(); status != 502 {
		t.Errorf("repeat of a started request: %d, want 502", status)
	}
	if _, err := io.ReadAll(gone.conn); err == nil {
		t.Error("the closed connection can be read")
	}
}

func newIdleRunner(t *testing.T) *uwsgi.Runner {
	return uwsgi.NewRunner(config.UWSGI{Servers: []string{"127.0.0.1:1"}, MaxResultBytes: 4096}, clock.System(), zerolog.Nop())
}
