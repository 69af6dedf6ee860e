package net_test

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/rs/zerolog"

	"puffinsaddle/internal/core"
	"puffinsaddle/internal/net/operator"
)

// listenForOperators opens the operators' address of a server and returns it with a function that makes one call there.
func (h *testServer) listenForOperators(maxConns int) (address string, call func(method, path string) (status int, body string)) {
	f, err := operator.Listen("127.0.0.1:0", maxConns, operator.Calls{Ready: h.core.Ready, Drain: h.core.ForceUnhealthy,
		Metrics: func() any { return h.core.Metrics() }}, zerolog.Nop())
	must(h.t, err)
	go f.Serve()
	h.t.Cleanup(func() { f.Close(h.t.Context()) })
	client := &http.Client{Timeout: testTimeout}
	return f.Addr().String(), func(method, path string) (int, string) {
		h.t.Helper()
		r, err := http.NewRequest(method, "http://"+f.Addr().String()+path, nil)
		must(h.t, err)
		resp, err := client.Do(r)
		must(h.t, err)
		defer resp.Body.Close()
		b, err := io.ReadAll(resp.Body)
		must(h.t, err)
		return resp.StatusCode, string(b)
	}
}

// An operator's drain makes health checks fail until the resume, while requests are still served. The metrics count the
// answers that routers received. Clients that connect and complete no call do not exclude others.
func TestOperatorDrainsResumesAndReadsMetrics(t *testing.T) {
	x := newExecutor(t)
	h := newServerWithExecutor(t, x, "127.0.0.1:1")
	address, call := h.listenForOperators(2)
	for range 6 {
		conn, err := net.Dial("tcp", address)
		must(t, err)
		t.Cleanup(func() { conn.Close() })
	}
	if status, _ := call("GET", "/-/ready"); status != http.StatusServiceUnavailable {
		t.Errorf("ready before the executor is up: %d", status)
	}
	x.acceptJoin(0)
	x.answerBarrier() // returns after WELCOME was processed
	if status, _ := call("GET", "/-/ready"); status != http.StatusOK {
		t.Errorf("not ready: %d", status)
	}
	p := h.router()
	wantHealth := func(tag, want string) {
		t.Helper()
		p.send("HEALTH", tag)
		p.want(tag, want)
	}
	if status, _ := call("PUT", "/-/drain"); status != http.StatusOK {
		t.Errorf("drain: %d", status)
	}
	wantHealth("1", "sick")
	p.sendRequest(2, 2, "book-delivery", "", "a")
	x.want("EXEC", id(2))
	p.sendRequest(3, 3, "no-such-class", "", "b")
	p.want("3", "later")
	metrics := func() (f core.Metrics) {
		t.Helper()
		_, text := call("GET", "/-/metrics")
		must(t, json.Unmarshal([]byte(text), &f))
		return f
	}
	if f := metrics(); f.Active != 1 || f.Attempts != 1 || f.OK["book-delivery"] != 0 {
		t.Errorf("with one running: %+v", f)
	}
	x.sendNotice("EXIT", id(2)+" success 1", "A")
	p.want("2", "done", "", "A")
	if f := metrics(); f.Active != 0 || f.OK["book-delivery"] != 1 || len(f.Shed) != len(settings.Classes) {
		t.Errorf("with one served: %+v", f)
	}
	p.sendRequest(4, 4, "book-delivery", "", "c")
	x.want("EXEC", id(4))
	p.send("ABORT", "4")
	wantHealth("5", "sick") // its answer shows that the ABORT was read
	if f := metrics(); f.Active != 0 || f.Attempts != 2 {
		t.Errorf("with its caller gone: %+v", f)
	}
	call("PUT", "/-/resume")
	wantHealth("6", "healthy")
	if status, _ := call("PUT", "/-/ready"); status < 400 {
		t.Errorf("a call that does not exist: %d", status)
	}
}
