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

// beginShutdown begins a drain on a clock that the test sets, and returns once new connections are refused: then only the
// last look is left.
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

// A request crosses the asking to send no more, and is read while the process waits for just that. It was closed on
// with the request running.
func TestShutdownWaitsForRequestThatCrossesClosing(t *testing.T) {
	x, h, clk := newKeyedServer(t, nil)
	p := h.router()
	p.send("HEALTH", "1") // so that the connection is taken
	p.want("1", "healthy")
	shutdownDone := beginShutdown(t, h, p, clk)
	p.sendRequest(1, 1, "book-delivery", fmt.Sprintf(",at=%.0f", startMS+951), "a")
	x.want("EXEC", id(1))
	for now := 951.0; now < 1100; now += 10 { // up to where the process ends at the latest
		clk.Set(startMS + now)
	}
	time.Sleep(20 * time.Millisecond) // a process that does not look again ends here; one that does has nothing to wait for
	x.sendNotice("EXIT", id(1)+" success 1", "A")
	p.want("1", "done", "", "A")
	clk.Set(startMS + 1300)
	<-shutdownDone
}

// flushCounter is a front that counts how often the process looks whether it is through.
type flushCounter struct {
	core.Front
	calls atomic.Int64
}

func (l *flushCounter) Flushed() bool {
	l.calls.Add(1)
	return l.Front.Flushed()
}

// The same where the process was replaced: it asks its callers to go to the successor, and what crosses that is read by a
// process that waits for nothing else.
func TestYieldWaitsForRequestThatCrossesClosing(t *testing.T) {
	x, h, clk := newKeyedServer(t, nil)
	p := h.router()
	p.send("HEALTH", "1")
	p.want("1", "healthy")
	front, yieldDone := &flushCounter{Front: h.resp}, make(chan struct{})
	go func() {
		h.core.YieldToSuccessor(startMS, front)
		close(yieldDone)
	}()
	p.want("0", "closing")
	clk.Set(startMS + 999) // from the next one on it may end, once calm
	p.sendRequest(1, 1, "book-delivery", fmt.Sprintf(",at=%.0f", startMS+999), "a")
	x.want("EXEC", id(1))
	for now := 1000.0; now < 3600; now += 200 {
		clk.Set(startMS + now)
		for n := front.calls.Load() + 2; front.calls.Load() < n; time.Sleep(time.Millisecond) {
			select {
			case <-yieldDone:
				t.Fatalf("left after %.0f ms, with a request that runs", now)
			default:
			}
		}
	}
	x.sendNotice("EXIT", id(1)+" success 1", "A")
	p.want("1", "done", "", "A")
	clk.Set(startMS + 4000)
	<-yieldDone
}

// Requests that the executor knows nothing of: what waits beside them fails, what comes after them fails unread by the
// module, and what runs is answered by its run. Reading ends where they don't stop. A connection on which something was
// served is not held to this. All used to be cut off, true requests among them.
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
	x.want("EXEC", id(30)) // none of the eight before was begun
	bad.sendRequest(12, 112, "book-delivery", "", "d")
	for i := range 2 {
		x.sendNotice("EXIT", id(20+i)+" success 1", "C")
	}
	bad.want("3", "done", "", "C")
	if n, err := io.Copy(io.Discard, bad.r); n > 0 {
		t.Errorf("the ninth was answered with %d bytes, %v", n, err)
	}
	good.want("3", "done", "", "C")
	x.sendNotice("EXIT", id(30)+" success 1", "E")
	good.want("4", "done", "", "E")
}

// The link breaks behind a reply to a call, and the run stands at its next call by when the new link is through: a RETURN
// names no call, so one sent again was taken for the reply to that. Where the call may be left out that is said of the
// call by its number, where not the request fails; either way no reply reaches a call that it is not for.
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
	x.closeConn() // no answer came to what went out behind the replies
	x.acceptRejoin(2)
	x.ignoreMeters = false
	x.answerBarrier()
	x.sendNotice("CALLOUT", id(1), "call 3") // both replies had arrived
	x.sendNotice("CALLOUT", id(2), "call 4")
	p.want("2", "error")
	if c := x.want("BYPASS", id(1)); c.words[2] != "1" {
		t.Errorf("left out: the call of notice %s", c.words[2])
	}
	if c := x.want("RETURN", id(1)); string(c.body) != "for call 3" {
		t.Errorf("the call got %q", c.body)
	}
	x.sendNotice("EXIT", id(2)+" interrupted 5", "")
	x.sendNotice("EXIT", id(1)+" success 5", "A")
	p.want("1", "done", "", "A")
}

// The same break, but a METER behind the replies was answered before it: they arrived, and nothing is sent again.
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
	x.want("EXEC", id(2)) // on the way to it, the METER was answered
	x.sendNotice("EXIT", id(2)+" success 1", "B")
	p.want("2", "done", "", "B")
	x.closeConn()
	x.acceptRejoin(2)
	x.answerBarrier()
	p.sendRequest(3, 3, "book-delivery", "", "c")
	x.want("EXEC", id(3)) // the first command of all
	x.sendNotice("EXIT", id(1)+" success 5", "A")
	p.want("1", "done", "", "A")
}

// The executor ends with a run on and another begins at its address: the run fails, what comes after is begun at the new
// one, and its notices, which count from 1 again, are heard. All of them passed for old ones before.
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
	time.Sleep(1100 * time.Millisecond) // an executor takes a while to begin, which its age shows
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

// The other executor begins cold, on a machine that falls under what the warm one before it took: a second request was
// begun beside the first as before.
func TestReplacedExecutorStartsCold(t *testing.T) {
	set := settings
	set.Cores, set.ColdSpeedShare, set.WarmupPeriod = 1, 0, time.Hour
	x := newExecutor(t)
	h := newServerWithExecutorOnClock(t, clock.System(), set, x, "127.0.0.1:1")
	x.acceptJoin(0)
	x.answerBarrier()
	p := h.router()
	for n := 1; n <= 2; n++ { // the warm one takes both
		p.sendRequest(n, n, "book-delivery", "", "a")
		x.want("EXEC", id(n))
	}
	x.closeConn()
	x.want("JOIN", "0")
	time.Sleep(1100 * time.Millisecond) // an executor takes a while to begin, which its age shows
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
	p.want("4", "later") // it never ran
	x.sendNotice("EXIT", id(3)+" success 1", "C")
	p.want("3", "done", "", "C")
}

// A router gives up just as the answer comes: whichever the server hears of first, there is one answer at most, and the
// connection goes on.
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

// readAnswersUpTo reads up to the answer to a tag; before it may come answers to tags before it, late ones too, to each one at most.
func (p *fakeRouter) readAnswersUpTo(seen map[string]int, tag int) (before [][]string) {
	p.t.Helper()
	for a := p.readAnswer(); ; a = p.readAnswer() {
		n, _ := strconv.Atoi(a[0])
		if seen[a[0]]++; seen[a[0]] > 1 || n < 1 || n > tag {
			p.t.Fatalf("answered %q, for the %dth time", a, seen[a[0]])
		}
		if n == tag {
			return before
		}
		before = append(before, a)
	}
}

// A caller gives up just as the reply to its run's call comes; the executor says of what comes late that it did not carry
// it out, which ends nothing. Then it gives the wrong kinds of refusal besides.
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
	wantStart := func(n int) { // behind replies to the calls of those that were given up, which may come late
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
		for _, a := range p.readAnswersUpTo(seen, n+1) { // of those that were given up
			if tag, _ := strconv.Atoi(a[0]); tag%2 == 0 || a[1] != "error" {
				t.Fatalf("answered %q", a)
			}
		}
	}
}
