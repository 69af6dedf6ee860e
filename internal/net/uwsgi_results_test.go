package net_test

import (
	"fmt"
	"net"
	"net/http"
	"testing"

	"github.com/rs/zerolog"

	"puffinsaddle/internal/clock"
	"puffinsaddle/internal/config"
	"puffinsaddle/internal/net/uwsgi"
)

// The response of a uwsgi server is held up on the way, as by a partition. Reads that come meanwhile do not get its result, which
// may be as old as the request. Guards against results that count as made when they arrive.
func TestReadsDoNotShareHeldUpResult(t *testing.T) {
	received, respond := make(chan struct{}), make(chan struct{})
	address := startUWSGIServer(t, func(conn net.Conn, vars map[string]string, _ string) {
		if vars["ORDER_ID"] == id(1) {
			close(received)
			<-respond
		}
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: 16\r\n\r\n%s", vars["ORDER_ID"])
	})
	clk := clock.Manual(startMS)
	set := config.UWSGI{Servers: []string{address}, MaxResultBytes: 4096}
	h := newServerOnClock(t, clk, settings, uwsgi.NewRunner(set, clk, zerolog.Nop()), nil, config.UWSGI{}, nil)
	h.core.RunnerStarted(false)
	p := h.router()
	read := func(n int) { p.sendRequest(n, n, "tank-level", fmt.Sprintf(",at=%.0f,key=k", clk.Now()), "") }

	read(1)
	<-received
	clk.Set(startMS + 150)
	read(2)
	clk.Set(startMS + 3000)
	read(3)
	read(4)
	p.sendRequest(9, 9, "book-delivery", fmt.Sprintf(",at=%.0f", clk.Now()), "")
	p.want("9", "done", "", id(9))
	close(respond)
	results := map[string]string{}
	for range 4 {
		answer := p.readAnswer()
		if answer[1] != "done" {
			t.Fatalf("answer %q", answer)
		}
		results[answer[0]] = answer[3]
	}
	if results["1"] != id(1) || results["2"] != id(1) || results["3"] == id(1) || results["4"] == id(1) {
		t.Errorf("results %q: those of the reads 1 and 2 have to be of the first, those of 3 and 4 not", results)
	}
}

// A uwsgi server breaks off within a response, or states no length, so that a break looks like its end. Such a result is not served.
// Guards against a result that is cut short and served as whole.
func TestIncompleteResultIsNotServed(t *testing.T) {
	const length, chunked = "Content-Length: 4\r\n", "Transfer-Encoding: chunked\r\n"
	for _, c := range []struct {
		name, headers, body string
		want                int
	}{
		{"with its length", length, "full", http.StatusOK},
		{"in chunks", chunked, "4\r\nfull\r\n0\r\n\r\n", http.StatusOK},
		{"empty", "Content-Length: 0\r\n", "", http.StatusOK},
		{"less than its length", length, "ful", http.StatusBadGateway},
		{"without the last chunk", chunked, "4\r\nfull\r\n", http.StatusBadGateway},
		{"without a length", "", "full", http.StatusBadGateway},
		{"without a length, and empty", "", "", http.StatusBadGateway},
	} {
		address := startUWSGIServer(t, func(conn net.Conn, _ map[string]string, _ string) {
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s\r\n%s", c.headers, c.body)
		})
		set := config.UWSGI{Servers: []string{address}, MaxResultBytes: 4096}
		h := newServer(t, uwsgi.NewRunner(set, clock.System(), zerolog.Nop()), nil, config.UWSGI{}, nil)
		h.core.RunnerStarted(false)
		if status, _, _ := h.gateway(packet("b", "ORDER_CLASS", "book-delivery"), false).readResponse(); status != c.want {
			t.Errorf("%s: status %d, want %d", c.name, status, c.want)
		}
	}
}
