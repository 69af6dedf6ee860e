package net_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"puffinsaddle/internal/clock"
	"puffinsaddle/internal/core"
	"puffinsaddle/policy"
)

// beginShutdown starts a shutdown on a clock that the test sets, and returns once new connections are refused. From then on
// the process only waits until it is quiescent.
func beginShutdown(t *testing.T, h *testServer, p *fakeRouter, clk *clock.Clock) (shutdownDone chan struct{}) {
	t.Helper()
	shutdownDone = make(chan struct{})
	go func() {
		h.core.Shutdown(startMS, 1200, h.resp)
		close(shutdownDone)
	}()
	p.want("0", "closing")
	clk.Set(startMS + 951)
	for {
		conn, err := net.Dial("tcp", h.resp.Addr().String())
		if err != nil {
			return shutdownDone
		}
		conn.Close()
		time.Sleep(time.Millisecond)
	}
}

// A request is sent before its router receives the closing message, and is read while the process waits until it is
// quiescent. Guards against a process that exits while that request runs.
func TestShutdownWaitsForRequestThatCrossesClosing(t *testing.T) {
	x, h, clk := newKeyedServer(t, nil)
	p := h.router()
	p.send("HEALTH", "1") // its answer shows that the connection was accepted
	p.want("1", "healthy")
	shutdownDone := beginShutdown(t, h, p, clk)
	p.sendRequest(1, 1, "book-delivery", fmt.Sprintf(",at=%.0f", startMS+951), "a")
	x.want("EXEC", id(1))
	for now := 951.0; now < 1100; now += 10 { // up to the latest exit of the process
		clk.Set(startMS + now)
	}
	time.Sleep(20 * time.Millisecond) // a process that does not check again exits here; a correct one keeps waiting
	x.sendNotice("EXIT", id(1)+" success 1", "A")
	p.want("1", "done", "", "A")
	clk.Set(startMS + 1300)
	<-shutdownDone
}

// flushCounter is a front that counts how often the process checks whether its output is written.
type flushCounter struct {
	core.Front
	calls atomic.Int64
}

func (l *flushCounter) Flushed() bool {
	l.calls.Add(1)
	return l.Front.Flushed()
}

// A request is sent before its router receives the closing message, and is read while a process that was replaced waits until
// it is quiescent. Guards against a process that exits while that request runs.
func TestYieldWaitsForRequestThatCrossesClosing(t *testing.T) {
	x, h, clk := newKeyedServer(t, nil)
	p := h.router()
	p.send("HEALTH", "1")
	p.want("1", "healthy")
	front, yieldDone := &flushCounter{Front: h.resp}, make(chan struct{})
	go func() {
		h.core.YieldToSuccessor(startMS, 1e7, front)
		close(yieldDone)
	}()
	p.want("0", "closing")
	clk.Set(startMS + 999) // from 1000 ms on the process may exit once it is quiescent
	p.sendRequest(1, 1, "book-delivery", fmt.Sprintf(",at=%.0f", startMS+999), "a")
	x.want("EXEC", id(1))
	for now := 1000.0; now < 3600; now += 200 {
		clk.Set(startMS + now)
		for n := front.calls.Load() + 2; front.calls.Load() < n; time.Sleep(time.Millisecond) {
			select {
			case <-yieldDone:
				t.Fatalf("exited after %.0f ms while a request was running", now)
			default:
			}
		}
	}
	x.sendNotice("EXIT", id(1)+" success 1", "A")
	p.want("1", "done", "", "A")
	clk.Set(startMS + 4000)
	<-yieldDone
}

// Requests that the executor rejects as unknown fail. On a connection that had no request served, later requests then fail
// without reaching the module, running ones still get their answers, and reading stops if the invalid requests continue. A
// connection that had a request served is exempt. Guards against closing such connections with valid requests open.
func TestUnknownRequestsDoNotFailValidOnes(t *testing.T) {
	x, h := newReadyServer(t)
	good, bad := h.router(), h.router()
	good.sendRequest(1, 1, "book-delivery", "", "a")
	x.want("EXEC", id(1))
	x.sendNotice("EXIT", id(1)+" success 1", "A")
	good.want("1", "done", "", "A")
	for i, p := range []*fakeRouter{bad, good} {
		p.sendRequest(2, 10+i, "book-delivery", "", "b")
		x.want("EXEC", id(10+i))
		p.sendRequest(3, 20+i, "book-delivery", "", "c")
		x.want("EXEC", id(20+i))
		x.send("BAD EXEC %s", id(10+i))
		p.want("2", "error")
	}
	for tag := 4; tag < 12; tag++ {
		bad.sendRequest(tag, 100+tag, "book-delivery", "", "d")
		bad.want(fmt.Sprint(tag), "error")
	}
	good.sendRequest(4, 30, "book-delivery", "", "e")
	x.want("EXEC", id(30)) // none of the eight before was started
	bad.sendRequest(12, 112, "book-delivery", "", "d")
	for i := range 2 {
		x.sendNotice("EXIT", id(20+i)+" success 1", "C")
	}
	bad.want("3", "done", "", "C")
	if n, err := io.Copy(io.Discard, bad.r); n > 0 {
		t.Errorf("the ninth invalid request was answered with %d bytes, %v", n, err)
	}
	good.want("3", "done", "", "C")
	x.sendNotice("EXIT", id(30)+" success 1", "E")
	good.want("4", "done", "", "E")
}

// The executor's connection breaks after a reply to a downstream call was sent, and the run is waiting in its next call by
// the time the new connection passes the barrier. RETURN does not identify a call, so a RETURN that is sent again would be
// taken as the reply to the next call. If the call may be skipped, a BYPASS with the call's number is sent; otherwise the
// request fails. In no case may a reply reach another call.
func TestReplyOfUnknownDeliveryIsNotResent(t *testing.T) {
	set := settings
	set.Classes = append(slices.Clone(set.Classes), policy.Class{Name: "needy", Aim: 600 * time.Millisecond, Deadline: 20 * time.Second,
		Worth: 4, LateValue: 1, Calls: true})
	x := newExecutor(t)
	h := newServerWithExecutorOnClock(t, clock.System(), set, x, startVault(t, func(w http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		fmt.Fprintf(w, "for %s", b)
	}))
	x.acceptJoin(0)
	x.answerBarrier()
	p := h.router()
	p.sendRequest(1, 1, "tank-level", "", "a")
	x.want("EXEC", id(1))
	p.sendRequest(2, 2, "needy", "", "b")
	x.want("EXEC", id(2))
	x.ignoreMeters = true
	for n := 1; n <= 2; n++ {
		x.sendNotice("CALLOUT", id(n), fmt.Sprint("call ", n))
		if c := x.want("RETURN", id(n)); string(c.body) != fmt.Sprint("for call ", n) {
			t.Errorf("the run got %q", c.body)
		}
	}
	x.closeConn() // nothing that was sent after the replies was answered
	x.acceptRejoin(2)
	x.ignoreMeters = false
	x.answerBarrier()
	x.sendNotice("CALLOUT", id(1), "call 3") // both replies had arrived
	x.sendNotice("CALLOUT", id(2), "call 4")
	p.want("2", "error")
	if c := x.want("BYPASS", id(1)); c.words[2] != "1" {
		t.Errorf("BYPASS names the call of notice %s, want 1", c.words[2])
	}
	if c := x.want("RETURN", id(1)); string(c.body) != "for call 3" {
		t.Errorf("the call got %q", c.body)
	}
	x.sendNotice("EXIT", id(2)+" interrupted 5", "")
	x.sendNotice("EXIT", id(1)+" success 5", "A")
	p.want("1", "done", "", "A")
}

// The executor's connection breaks after a reply to a downstream call and a later METER were sent, and the METER was answered.
// This shows that the reply arrived, so it must not be sent again.
func TestConfirmedReplyIsNotResent(t *testing.T) {
	x := newExecutor(t)
	h := newServerWithExecutor(t, x, startVault(t, func(w http.ResponseWriter, r *http.Request) { io.WriteString(w, "reply") }))
	x.acceptJoin(0)
	x.answerBarrier()
	p := h.router()
	p.sendRequest(1, 1, "tank-level", "", "a")
	x.want("EXEC", id(1))
	x.sendNotice("CALLOUT", id(1), "q")
	x.want("RETURN", id(1))
	p.sendRequest(2, 2, "book-delivery", "", "b")
	x.want("EXEC", id(2)) // nextCommand answered a METER before this
	x.sendNotice("EXIT", id(2)+" success 1", "B")
	p.want("2", "done", "", "B")
	x.closeConn()
	x.acceptRejoin(2)
	x.answerBarrier()
	p.sendRequest(3, 3, "book-delivery", "", "c")
	x.want("EXEC", id(3)) // the first command after the reconnection
	x.sendNotice("EXIT", id(1)+" success 5", "A")
	p.want("1", "done", "", "A")
}

// The executor ends during a run and another one starts at its address. The run fails, and later requests run on the new
// executor. Guards against dropping its notices, whose numbers start at 1 again, as repeats of old ones.
func TestReplacedExecutorIsJoinedFromFirstNotice(t *testing.T) {
	x, h := newReadyServer(t)
	p := h.router()
	p.sendRequest(1, 1, "book-delivery", "", "a")
	x.want("EXEC", id(1))
	p.sendRequest(2, 2, "book-delivery", "", "b")
	x.want("EXEC", id(2))
	x.sendNotice("EXIT", id(1)+" success 1", "A")
	p.want("1", "done", "", "A")
	x.closeConn()
	x.want("JOIN", "1")
	time.Sleep(1100 * time.Millisecond) // beyond restartTolerance, so that the age shows a new executor
	x.startedAt, x.lastNotice = time.Now(), 0
	x.sendWelcome()
	p.want("2", "error")
	x.want("JOIN", "0")
	x.sendWelcome()
	x.answerBarrier()
	p.sendRequest(3, 3, "book-delivery", "", "c")
	x.want("EXEC", id(3))
	x.sendNotice("EXIT", id(3)+" success 1", "C")
	p.want("3", "done", "", "C")
}

// The new executor is cold and cannot take the load that the warm one took. Guards against starting a second request
// while the first one runs, as on the warm executor.
func TestReplacedExecutorStartsCold(t *testing.T) {
	set := settings
	set.Cores, set.ColdSpeedShare, set.WarmupPeriod = 1, 0, time.Hour
	x := newExecutor(t)
	h := newServerWithExecutorOnClock(t, clock.System(), set, x, "127.0.0.1:1")
	x.acceptJoin(0)
	x.answerBarrier()
	p := h.router()
	for n := 1; n <= 2; n++ { // the warm executor runs both
		p.sendRequest(n, n, "book-delivery", "", "a")
		x.want("EXEC", id(n))
	}
	x.closeConn()
	x.want("JOIN", "0")
	time.Sleep(1100 * time.Millisecond) // beyond restartTolerance, so that the age shows a new executor
	x.send("WELCOME booting 0")
	for range 2 {
		if a := p.readAnswer(); a[1] != "error" {
			t.Errorf("answered %q", a)
		}
	}
	x.want("JOIN", "0")
	x.send("WELCOME booting 0")
	x.answerBarrier()
	handled := make(chan struct{})
	h.core.AfterPendingEvents(func() { close(handled) })
	<-handled
	p.sendRequest(3, 3, "book-delivery", "", "c")
	x.want("EXEC", id(3))
	p.sendRequest(4, 4, "book-delivery", ",wait=500", "d")
	p.want("4", "later") // it was not started
	x.sendNotice("EXIT", id(3)+" success 1", "C")
	p.want("3", "done", "", "C")
}

// A router aborts a request at the same time as its run ends. Whichever event is processed first, the router gets at most
// one answer and the connection stays usable.
func TestAbortConcurrentWithAnswer(t *testing.T) {
	x, h := newReadyServer(t)
	p, seen := h.router(), map[string]int{}
	for n := 1; n <= 40; n += 2 {
		p.sendRequest(n, n, "book-delivery", "", "a")
		x.want("EXEC", id(n))
		if n%4 == 1 {
			x.sendNotice("EXIT", id(n)+" success 1", "A")
			p.send("ABORT", fmt.Sprint(n))
		} else {
			p.send("ABORT", fmt.Sprint(n))
			x.sendNotice("EXIT", id(n)+" interrupted 1", "")
		}
		p.sendRequest(n+1, n+1, "book-delivery", "", "b")
		x.want("EXEC", id(n+1))
		x.sendNotice("EXIT", id(n+1)+" success 1", "B")
		p.readAnswersUpTo(seen, n+1)
	}
}

// readAnswersUpTo reads up to the answer to a tag and returns the answers before it, which may be to earlier tags. No tag may
// be answered twice in one test.
func (p *fakeRouter) readAnswersUpTo(seen map[string]int, tag int) (before [][]string) {
	p.t.Helper()
	for a := p.readAnswer(); ; a = p.readAnswer() {
		n, _ := strconv.Atoi(a[0])
		if seen[a[0]]++; seen[a[0]] > 1 || n < 1 || n > tag {
			p.t.Fatalf("answer %q, number %d for its tag", a, seen[a[0]])
		}
		if n == tag {
			return before
		}
		before = append(before, a)
	}
}

// A caller aborts its request at the same time as the reply to its downstream call arrives. The executor rejects commands
// that arrive too late, which must not end anything; neither may rejections of the wrong kind.
func TestAbortConcurrentWithCallReply(t *testing.T) {
	called, reply := make(chan struct{}), make(chan struct{})
	x := newExecutor(t)
	h := newServerWithExecutor(t, x, startVault(t, func(w http.ResponseWriter, r *http.Request) {
		io.ReadAll(r.Body)
		called <- struct{}{}
		<-reply
		io.WriteString(w, "reply")
	}))
	x.acceptJoin(0)
	x.answerBarrier()
	p, seen := h.router(), map[string]int{}
	wantStart := func(n int) { // may follow late replies to the calls of aborted requests
		t.Helper()
		c := x.nextCommand()
		for aborted := 1; c.words[0] == "RETURN" && aborted <= n; aborted += 2 {
			if c.words[1] == id(aborted) {
				c, aborted = x.nextCommand(), -1
			}
		}
		if c.words[0] != "EXEC" || c.words[1] != id(n) {
			t.Fatalf("command %q", c.words)
		}
	}
	for n := 1; n <= 20; n += 2 {
		p.sendRequest(n, n, "tank-level", "", "a")
		wantStart(n)
		x.sendNotice("CALLOUT", id(n), "q")
		<-called
		go func() { reply <- struct{}{} }()
		p.send("ABORT", fmt.Sprint(n))
		x.send("BAD RETURN %s\r\nBAD BYPASS %s\r\nBAD KILL %s\r\nBAD COMMAND", id(n), id(n), id(n))
		x.sendNotice("EXIT", id(n)+" interrupted 1", "")
		p.sendRequest(n+1, n+1, "book-delivery", "", "b")
		wantStart(n + 1)
		x.sendNotice("EXIT", id(n+1)+" success 1", "B")
		for _, a := range p.readAnswersUpTo(seen, n+1) { // answers to aborted requests
			if tag, _ := strconv.Atoi(a[0]); tag%2 == 0 || a[1] != "error" {
				t.Fatalf("answered %q", a)
			}
		}
	}
}
