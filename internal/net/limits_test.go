package net_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"puffinsaddle/internal/clock"
)

// The uwsgi front has as many requests in hand as it may have. A first attempt of a keyed request is refused; a retry of one that runs
// fails, and gets its result once it has ended. Guards against a refusal of a request that has run.
func TestFullUWSGIFrontDoesNotRefuseWhatRan(t *testing.T) {
	p := newKeyedProcess(t, clock.Manual(startMS))
	router := p.router()
	p.run(router, 1, 1, "aa")
	const inHand = 64 // MaxConnections of the test server
	for n := range inHand {
		p.gateway(packet("a", "ORDER_CLASS", "book-delivery", "ORDER_ID", id(100+n), "ORDER_AT", fmt.Sprintf("%.0f", startMS)), false)
	}
	for deadline := time.Now().Add(testTimeout); p.core.Unanswered() <= inHand; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%d requests in hand, want %d", p.core.Unanswered(), inHand+1)
		}
	}
	send := func(idempotencyKey string) (status int, header http.Header, body string) {
		return p.gateway(packet("a", "ORDER_CLASS", "pay", "ORDER_ONCE", idempotencyKey, "ORDER_AT", fmt.Sprintf("%.0f", startMS)), false).readResponse()
	}
	if status, header, _ := send("bb"); status != http.StatusServiceUnavailable || header.Get("Retry-After") == "" {
		t.Errorf("first attempt: %d with Retry-After %q, want 503", status, header.Get("Retry-After"))
	}
	if status, _, _ := send("aa"); status != http.StatusBadGateway {
		t.Errorf("retry of a request that runs: %d, want 502", status)
	}
	p.succeed(1, "A")
	router.want("1", "done", "", "A")
	p.shareResult(router, 2, 2, "aa", "A") // the core knows the result now
	if status, _, body := send("aa"); status != http.StatusOK || body != "A" {
		t.Errorf("retry of a request that has run: %d %q, want 200 with its result", status, body)
	}
}

// A router's connection has as many open requests as it may have: the same holds for further attempts on it.
func TestFullRouterConnectionDoesNotRefuseWhatRan(t *testing.T) {
	p := newKeyedProcess(t, clock.Manual(startMS))
	router := p.router()
	p.run(router, 1, 1, "aa")
	for n := 2; n <= 32; n++ {
		router.sendRequest(n, n, "book-delivery", fmt.Sprintf(",at=%.0f", startMS), "b")
		p.x.want("EXEC", id(n))
	}
	router.sendPayment(33, 33, startMS, "aa", "a")
	router.want("33", "error")
	router.sendPayment(34, 34, startMS, "bb", "a")
	router.want("34", "later")
	p.succeed(1, "A")
	router.want("1", "done", "", "A")
	p.shareResult(p.router(), 1, 40, "aa", "A") // the core knows the result now
	router.sendRequest(35, 35, "book-delivery", fmt.Sprintf(",at=%.0f", startMS), "b")
	p.x.want("EXEC", id(35))
	router.sendPayment(36, 36, startMS, "aa", "a")
	router.want("36", "done", "", "A")
}

// A router takes back as many requests as it may have open, each after its run has begun: the next one on its connection is refused
// until a run has ended, and other connections are served. Guards against a connection that takes back requests at full speed and
// thereby fills the server with their runs.
func TestRequestsTakenBackCountUntilTheyEnd(t *testing.T) {
	x, h := newReadyServer(t)
	router := h.router()
	for n := 1; n <= 32; n++ {
		router.sendRequest(n, n, "book-delivery", "", "b")
		x.want("EXEC", id(n))
		router.send("ABORT", fmt.Sprint(n))
	}
	router.sendRequest(33, 33, "book-delivery", "", "b")
	router.want("33", "later")
	other := h.router()
	other.sendRequest(1, 101, "book-delivery", "", "b")
	x.want("EXEC", id(101))
	x.sendNotice("EXIT", id(101)+" success 1", "r")
	other.want("1", "done", "", "r")
	x.sendNotice("EXIT", id(1)+" success 1", "r")
	router.want("1", "done", "", "r") // nobody waits for it, and it does no harm
	for n := 200; ; n++ {             // until the server has processed that end
		router.sendRequest(n, n, "book-delivery", "", "b")
		router.conn.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
		if _, err := router.r.Peek(1); err != nil {
			x.want("EXEC", id(n)) // it is not refused
			break
		}
		router.conn.SetReadDeadline(time.Now().Add(testTimeout))
		router.want(fmt.Sprint(n), "later")
	}
}
