package respfront

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"runtime"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"puffinsaddle/internal/clock"
	"puffinsaddle/internal/core"
	"puffinsaddle/internal/net/accept"
	"puffinsaddle/internal/pool"
	"puffinsaddle/policy"
)

const startMS = 1.7e12 // where the clock stands at first

// echoRunner is a Runner that ends each run at once with its body.
type echoRunner struct{}

func (echoRunner) Start(a *core.Attempt) {
	a.Notify(core.Notice{Ended: true, Outcome: policy.OK, Body: pool.Copy(a.Request.Body)})
}
func (echoRunner) Return(*core.Attempt, uint64, []byte) {}
func (echoRunner) Skip(*core.Attempt, uint64)           {}
func (echoRunner) Abandon(*core.Attempt)                {}
func (echoRunner) ReadGauges(func([]float64))           {}
func (echoRunner) Diagnose(func(bool)) bool             { return false }
func (echoRunner) Call(context.Context, string, float64, []byte) (policy.Outcome, []byte) {
	return policy.Unreachable, nil
}

// startFront builds a front with room for one connection, on a clock that the test sets.
func startFront(t *testing.T) (*Front, *clock.Clock) { return startFrontWith(t, echoRunner{}) }

func startFrontWith(t *testing.T, runner core.Runner) (*Front, *clock.Clock) {
	clk := clock.Manual(startMS)
	c := core.New(clk, zerolog.Nop(), policy.Settings{
		Classes: []policy.Class{{Name: "read", Aim: time.Minute, Deadline: time.Minute, Worth: 1}},
		Cores:   8, MemoryKB: 1e6, RunMemoryFactor: 4, MaxRunningPerCore: 8, BusyGauge: -1, RunnableGauge: -1, MemoryGauge: -1, ConnectionGauge: -1, IdleTimeout: 15 * time.Second,
	}, 1, runner, echoRunner{}, nil)
	c.RunnerStarted(false)
	go c.Run()
	ln, err := accept.Listen("127.0.0.1:0", zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	f := New(ln, 1, c, clk, zerolog.Nop())
	go f.Serve()
	t.Cleanup(func() { f.Close(); c.Stop() })
	return f, clk
}

func dial(t *testing.T, f *Front) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", f.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(time.Minute))
	return conn
}

func reqFrame(tag int) string {
	fields := fmt.Sprintf("id=%016x,at=%.0f,from=4,kb=10,rank=0.5", tag, startMS)
	return fmt.Sprintf("*5\r\n$3\r\nREQ\r\n$1\r\n%d\r\n$4\r\nread\r\n$%d\r\n%s\r\n$1\r\nb\r\n", tag, len(fields), fields)
}

func wantRead(t *testing.T, conn net.Conn, answer string) {
	t.Helper()
	b := make([]byte, len(answer))
	if _, err := io.ReadFull(conn, b); err != nil || string(b) != answer {
		t.Fatalf("read %q, %v; want %q", b, err, answer)
	}
}

func doneFrame(tag int) string {
	return fmt.Sprintf("*4\r\n$1\r\n%d\r\n$4\r\ndone\r\n$0\r\n\r\n$1\r\nb\r\n", tag)
}

const closingFrame = "*2\r\n$1\r\n0\r\n$7\r\nclosing\r\n"

func onlyConn(f *Front) *conn {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		return c
	}
	return nil
}

// A router's request is halfway through the door, read in part and so no longer in the socket, when another connection
// needs its place and when its idle time is over: it was cut off and its request lost.
func TestPartlyReadCommandKeepsConnection(t *testing.T) {
	f, clk := startFront(t)
	conn := dial(t, f)
	io.WriteString(conn, reqFrame(1))
	wantRead(t, conn, doneFrame(1))
	c := onlyConn(f)
	io.WriteString(conn, reqFrame(2)[:20])
	for inCommand := false; !inCommand; runtime.Gosched() { // all of it is out of the socket
		c.mu.Lock()
		inCommand = c.inCommand && accept.Quiet(c.nc)
		c.mu.Unlock()
	}
	other := dial(t, f)
	if n, err := io.Copy(io.Discard, other); n > 0 {
		t.Errorf("the one too many got %d bytes, %v", n, err)
	}
	for now := startMS; now < startMS+4*idleTimeoutMS; now += sweepIntervalMS {
		clk.Set(now)
	}
	io.WriteString(conn, reqFrame(2)[20:])
	wantRead(t, conn, doneFrame(2))
}

// The place of an idle connection is needed: it hears that it closes, so that what crosses is sent once more.
func TestEvictedConnectionReceivesClosing(t *testing.T) {
	f, _ := startFront(t)
	conn := dial(t, f)
	io.WriteString(conn, reqFrame(1))
	wantRead(t, conn, doneFrame(1))
	c := onlyConn(f)
	for idle := false; !idle; runtime.Gosched() { // the writer and the reader are through
		idle = c.idleSince(startMS)
	}
	other := dial(t, f)
	io.WriteString(other, reqFrame(2))
	wantRead(t, other, doneFrame(2))
	wantRead(t, conn, closingFrame)
	if n, err := io.Copy(io.Discard, conn); n > 0 || err != nil {
		t.Errorf("%d bytes more, %v", n, err)
	}
}

// A request comes between the look at its idle connection and the close: once given up, nothing is taken from it, so it
// is not read and forgotten.
func TestNoRequestIsReadFromStoppedConnection(t *testing.T) {
	f, _ := startFront(t)
	conn := dial(t, f)
	io.WriteString(conn, reqFrame(1))
	wantRead(t, conn, doneFrame(1))
	c := onlyConn(f)
	for stopped := false; !stopped; runtime.Gosched() {
		stopped = c.stopIfIdle()
	}
	io.WriteString(conn, reqFrame(2))
	wantRead(t, conn, closingFrame)
	if n, err := io.Copy(io.Discard, conn); n > 0 {
		t.Errorf("%d bytes more, %v", n, err)
	}
	if n := f.core.Metrics().Attempts; n != 1 {
		t.Errorf("%d runs", n)
	}
}

// A request lies unread behind one that makes no sense, for which the front rests, and later half a request is at hand,
// when the process looks whether it may end: it is not through.
func TestUnreadRequestIsNotFlushed(t *testing.T) {
	f, clk := startFront(t)
	conn := dial(t, f)
	io.WriteString(conn, "*4\r\n$3\r\nREQ\r\n$1\r\n9\r\n$4\r\nread\r\n$0\r\n\r\n")
	wantRead(t, conn, "*3\r\n$1\r\n9\r\n$5\r\nerror\r\n$0\r\n\r\n")
	c := onlyConn(f)
	io.WriteString(conn, reqFrame(1)[:20])
	for range 100 {
		if f.Flushed() {
			t.Fatal("through, with a request unread")
		}
		runtime.Gosched()
	}
	clk.Set(startMS + invalidRequestDelayMS)
	for inCommand := false; !inCommand; runtime.Gosched() {
		c.mu.Lock()
		inCommand = c.inCommand && accept.Quiet(c.nc)
		c.mu.Unlock()
	}
	if f.Flushed() {
		t.Error("through, with half a request at hand")
	}
	io.WriteString(conn, reqFrame(1)[20:])
	wantRead(t, conn, doneFrame(1))
	for !f.Flushed() {
		runtime.Gosched()
	}
}

// manualRunner is a Runner whose runs the test ends.
type manualRunner struct {
	echoRunner
	started chan *core.Attempt
}

func (s manualRunner) Start(a *core.Attempt) { s.started <- a }

// A router ends its side in the middle of a command, while its request runs: what it still reads is the answer. Where
// the end fell between two lines it got one, within a line it did not.
func TestEOFWithinCommandStillAnswersEarlierRequest(t *testing.T) {
	command := reqFrame(2)
	for _, n := range []int{1, len("*5\r\n$3\r\n"), len("*5\r\n$3\r\nRE"), len(command) - 2} {
		s := manualRunner{started: make(chan *core.Attempt, 2)}
		f, _ := startFrontWith(t, s)
		conn := dial(t, f)
		io.WriteString(conn, reqFrame(1))
		attempt := <-s.started
		c := onlyConn(f)
		io.WriteString(conn, command[:n])
		conn.(*net.TCPConn).CloseWrite()
		for readDone := false; !readDone; runtime.Gosched() {
			c.mu.Lock()
			readDone = c.readDone
			c.mu.Unlock()
		}
		attempt.Notify(core.Notice{Ended: true, Outcome: policy.OK, Body: pool.Copy([]byte("b"))})
		wantRead(t, conn, doneFrame(1))
		if n, err := io.Copy(io.Discard, conn); n > 0 || err != nil {
			t.Errorf("%d bytes more, %v", n, err)
		}
	}
}

// newConnPair is a connection with both its ends, of which nobody reads the server's but the test.
func newConnPair(t *testing.T, f *Front) (client net.Conn, c *conn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	if client, err = net.Dial("tcp", ln.Addr().String()); err != nil {
		t.Fatal(err)
	}
	nc, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.Close(); nc.Close() })
	c = &conn{front: f, nc: nc, openRequests: map[uint64]*core.Handler{}, wakeup: make(chan struct{}, 1)}
	if c.raw, err = nc.(*net.TCPConn).SyscallConn(); err != nil {
		t.Fatal(err)
	}
	return client, c
}

// A request lies in the socket when its time is over, since the process got none to read it: it was closed on unread.
func TestInputBeforeDeadlineIsReadAfterIt(t *testing.T) {
	f, _ := startFront(t)
	for _, inCommand := range []bool{false, true} {
		client, c := newConnPair(t, f)
		c.receivedCommand, c.inCommand, c.waitingSince = inCommand, inCommand, time.Now().Add(-time.Hour)
		io.WriteString(client, "rest")
		for accept.Quiet(c.nc) {
			runtime.Gosched()
		}
		b := make([]byte, 10)
		if n, err := c.Read(b); string(b[:n]) != "rest" || err != nil {
			t.Errorf("read %q, %v", b[:n], err)
		}
		c.waitingSince = time.Now().Add(-time.Hour)
		if n, err := c.Read(b); n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("nothing there: %d bytes, %v", n, err)
		}
	}
}

// The network is cut in the middle of a router's command, for seconds: on a connection that served it, or on which its
// request runs, the rest is waited for as long as routers keep connections. It was closed on, and a request that its rest
// had completed was lost. Who was never served has less.
func TestPartialCommandOfServedRouterIsAwaited(t *testing.T) {
	f, _ := startFront(t)
	since := time.Now().Add(-commandTimeout - time.Second)
	for _, served := range []bool{true, false} {
		client, c := newConnPair(t, f)
		c.receivedCommand, c.inCommand, c.servedRequest, c.waitingSince = true, true, served, since
		if !served {
			c.openRequests[1] = nil
		}
		result := make(chan string, 1)
		go func() {
			b := make([]byte, 10)
			n, err := c.Read(b)
			result <- fmt.Sprint(string(b[:n]), err)
		}()
		select {
		case got := <-result:
			t.Errorf("given up: %s", got)
		case <-time.After(50 * time.Millisecond): // what gives up does so at once
			io.WriteString(client, "rest")
			if got := <-result; got != "rest<nil>" {
				t.Errorf("read %s", got)
			}
		}
	}
	_, c := newConnPair(t, f)
	c.receivedCommand, c.inCommand, c.waitingSince = true, true, since
	if _, err := c.Read(make([]byte, 10)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("one that was never served: %v", err)
	}
}
