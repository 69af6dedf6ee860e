package net_test

import (
	"fmt"
	"net"
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
