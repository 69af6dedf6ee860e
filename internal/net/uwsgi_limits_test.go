package net_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
)

// A gateway sends a packet with as many variables as fit, and then only a part of the body: it is answered at once, before the body is
// there. Guards against a process that keeps thousands of variables for each of hundreds of slow connections.
func TestPacketWithManyVariablesIsRejected(t *testing.T) {
	_, h := newReadyServer(t)
	var vars []string
	for i := range 10500 {
		vars = append(vars, fmt.Sprintf("%02d", i%100), "")
	}
	complete := packet(strings.Repeat("b", 9), vars...)
	if status, _, _ := h.gateway(complete[:len(complete)-5], false).readResponse(); status != http.StatusBadRequest {
		t.Errorf("status %d, want 400", status)
	}
}

// A packet with hundreds of variables without a meaning, long ones among them and a long query in the URI, runs as usual.
func TestPacketWithUnknownVariablesRuns(t *testing.T) {
	x, h := newReadyServer(t)
	vars := []string{"REQUEST_URI", "/book-delivery?" + strings.Repeat("q", 9000), "HTTP_COOKIE", strings.Repeat("c", 20000), "ORDER_ID", id(1)}
	for i := range 500 {
		vars = append(vars, fmt.Sprintf("HTTP_X_%d", i), "x")
	}
	g := h.gateway(packet("b", vars...), false)
	x.want("EXEC", id(1), "book-delivery")
	x.sendNotice("EXIT", id(1)+" success 1", "r")
	if status, _, body := g.readResponse(); status != http.StatusOK || body != "r" {
		t.Errorf("%d %q, want 200 with the result", status, body)
	}
}
