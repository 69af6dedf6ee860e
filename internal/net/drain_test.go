package net_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"
)

// holdModule blocks the goroutine that calls the module until release is called, as on a process that gets no processor.
func (h *testServer) holdModule() (release func()) {
	held, released := make(chan struct{}), make(chan struct{})
	h.core.AfterPendingEvents(func() { close(held); <-released })
	<-held
	return func() { close(released) }
}

// The module gives its last answer later than the time at which connections may be closed, since the process was not
// scheduled in between. Guards against closing a connection that is owed an answer.
func TestShutdownClosesAfterLateLastAnswer(t *testing.T) {
	x, h, clk := newKeyedServer(t, nil)
	p := h.router()
	p.sendRequest(1, 1, "book-delivery", fmt.Sprintf(",at=%.0f", startMS), "a")
	x.want("EXEC", id(1))
	shutdownDone := beginShutdown(t, h, p, clk)
	release := h.holdModule()
	clk.Set(startMS + 1199) // of 1200
	select {
	case <-shutdownDone:
		t.Error("the process left and owed an answer")
	case <-time.After(100 * time.Millisecond):
	}
	release()
	p.want("1", "error")
	<-shutdownDone
}

// A replaced process is killed as long after its notice as one that drains, which may be earlier than the deadlines of its
// requests. Guards against requests that get no answer because the process planned to run for longer.
func TestYieldAnswersBeforeStop(t *testing.T) {
	x, h, clk := newKeyedServer(t, nil)
	p := h.router()
	p.sendRequest(1, 1, "book-delivery", fmt.Sprintf(",at=%.0f", startMS), "a")
	x.want("EXEC", id(1))
	yieldDone := make(chan struct{})
	go func() {
		h.core.YieldToSuccessor(startMS, 1200, h.resp)
		close(yieldDone)
	}()
	p.want("0", "closing")
	clk.Set(startMS + 1199)
	p.want("1", "error")
	<-yieldDone
}

// A gateway has sent a part of a packet when its server is replaced. Guards against a connection that ends without the
// answer 408 and keeps the process from ending by itself.
func TestYieldAnswersPartialPacket(t *testing.T) {
	_, h, clk := newKeyedServer(t, nil)
	partial := h.gateway(packet("b", "ORDER_CLASS", "book-delivery")[:20], false)
	for h.uwsgi.Flushed() { // until the connection is accepted; a queued one is left to the successor
		time.Sleep(time.Millisecond)
	}
	yieldDone := make(chan struct{})
	go func() {
		h.core.YieldToSuccessor(startMS, 1200, h.uwsgi)
		close(yieldDone)
	}()
	clk.Set(startMS + 1000)
	if status, _, _ := partial.readResponse(); status != http.StatusRequestTimeout {
		t.Errorf("a partial packet got %d, want 408", status)
	}
	clk.Set(startMS + 1199)
	<-yieldDone
}
