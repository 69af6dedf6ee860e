package respfront

import (
	"bytes"
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

const startMS = 1.7e12 // the initial time of the manual clock, in Unix milliseconds

// echoRunner is a Runner that ends each attempt at once, with the request's body as the result.
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

// startFront starts a front that keeps at most one connection, on a clock that the test sets.
func startFront(t *testing.T) (*Front, *clock.Clock) { return startFrontWith(t, echoRunner{}) }

// startFrontWith is startFront with another runner.
func startFrontWith(t *testing.T, runner core.Runner) (*Front, *clock.Clock) {
	clk := clock.Manual(startMS)
	c := core.New(clk, zerolog.Nop(), policy.Settings{
		Classes: []policy.Class{{Name: "read", Aim: time.Minute, Deadline: time.Minute, Worth: 1}},
		Cores:   8, MemoryKB: 1e6, RunMemoryFactor: 4, MaxRunningPerCore: 8,
		BusyGauge: -1, RunnableGauge: -1, MemoryGauge: -1, ConnectionGauge: -1, IdleTimeout: 15 * time.Second,
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

// reqFrame returns a REQ command with the body "b".
func reqFrame(tag int) string {
	fields := fmt.Sprintf("id=%016x,at=%.0f,from=4,kb=10,rank=0.5", tag, startMS)
	return fmt.Sprintf("*5\r\n$3\r\nREQ\r\n$%d\r\n%d\r\n$4\r\nread\r\n$%d\r\n%s\r\n$1\r\nb\r\n", len(fmt.Sprint(tag)), tag, len(fields), fields)
}

// wantRead reads as many bytes as answer has, and fails the test unless they are equal to it.
func wantRead(t *testing.T, conn net.Conn, answer string) {
	t.Helper()
	b := make([]byte, len(answer))
	if _, err := io.ReadFull(conn, b); err != nil || string(b) != answer {
		t.Fatalf("read %q, %v; want %q", b, err, answer)
	}
}

// doneFrame returns the answer to a served request whose result is "b".
func doneFrame(tag int) string {
	return fmt.Sprintf("*4\r\n$%d\r\n%d\r\n$4\r\ndone\r\n$0\r\n\r\n$1\r\nb\r\n", len(fmt.Sprint(tag)), tag)
}

const closingFrame = "*2\r\n$1\r\n0\r\n$7\r\nclosing\r\n"

// onlyConn returns the front's only connection.
func onlyConn(f *Front) *conn {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		return c
	}
	return nil
}

// Guards against closing a connection on which a command was read in part, so that its bytes are no longer in the socket:
// neither the arrival of another connection at the limit nor the idle timeout may cut off the request.
func TestPartlyReadCommandKeepsConnection(t *testing.T) {
	f, clk := startFront(t)
	conn := dial(t, f)
	io.WriteString(conn, reqFrame(1))
	wantRead(t, conn, doneFrame(1))
	c := onlyConn(f)
	io.WriteString(conn, reqFrame(2)[:20])
	for inCommand := false; !inCommand; runtime.Gosched() { // all of it was read from the socket
		c.mu.Lock()
		inCommand = c.inCommand && accept.IsIdle(c.nc)
		c.mu.Unlock()
	}
	other := dial(t, f)
	if n, err := io.Copy(io.Discard, other); n > 0 {
		t.Errorf("connection over the limit: read %d bytes, %v; want none", n, err)
	}
	for now := startMS; now < startMS+4*idleTimeoutMS; now += sweepIntervalMS {
		clk.Set(now)
	}
	io.WriteString(conn, reqFrame(2)[20:])
	wantRead(t, conn, doneFrame(2))
}

// An idle connection that is evicted for a new one must receive the closing message first, so that its router resends a
// request that crosses the close.
func TestEvictedConnectionReceivesClosing(t *testing.T) {
	f, _ := startFront(t)
	conn := dial(t, f)
	io.WriteString(conn, reqFrame(1))
	wantRead(t, conn, doneFrame(1))
	c := onlyConn(f)
	for idle := false; !idle; runtime.Gosched() { // the reader and the writer have finished with the request
		idle = c.idleSince(startMS)
	}
	other := dial(t, f)
	io.WriteString(other, reqFrame(2))
	wantRead(t, other, doneFrame(2))
	wantRead(t, conn, closingFrame)
	if n, err := io.Copy(io.Discard, conn); n > 0 || err != nil {
		t.Errorf("after the closing message: read %d bytes, %v; want EOF", n, err)
	}
}

// A request that arrives between the check of its idle connection and the close must stay unread: one that is read there
// would run without an answer.
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
		t.Errorf("after the closing message: read %d bytes, %v; want none", n, err)
	}
	if n := f.core.Metrics().Attempts; n != 1 {
		t.Errorf("%d attempts; want 1", n)
	}
}

// Flushed must report false while a request is unread during the pause after an invalid one, and while a command was read
// in part; otherwise the process would exit and lose the request.
func TestUnreadRequestIsNotFlushed(t *testing.T) {
	f, clk := startFront(t)
	conn := dial(t, f)
	io.WriteString(conn, "*4\r\n$3\r\nREQ\r\n$1\r\n9\r\n$4\r\nread\r\n$0\r\n\r\n")
	wantRead(t, conn, "*3\r\n$1\r\n9\r\n$5\r\nerror\r\n$0\r\n\r\n")
	c := onlyConn(f)
	io.WriteString(conn, reqFrame(1)[:20])
	for range 100 {
		if f.Flushed() {
			t.Fatal("Flushed with an unread request")
		}
		runtime.Gosched()
	}
	clk.Set(startMS + invalidRequestDelayMS)
	for inCommand := false; !inCommand; runtime.Gosched() {
		c.mu.Lock()
		inCommand = c.inCommand && accept.IsIdle(c.nc)
		c.mu.Unlock()
	}
	if f.Flushed() {
		t.Error("Flushed with a partly read request")
	}
	io.WriteString(conn, reqFrame(1)[20:])
	wantRead(t, conn, doneFrame(1))
	for !f.Flushed() {
		runtime.Gosched()
	}
}

// manualRunner is a Runner whose attempts are ended by the test.
type manualRunner struct {
	echoRunner
	started chan *core.Attempt
}

func (s manualRunner) Start(a *core.Attempt) { s.started <- a }

// A router that closes its side within a command, while an earlier request runs, must still get the answer to that
// request, whether the input ends between two lines of the command or within one.
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
			t.Errorf("after the answer: read %d bytes, %v; want EOF", n, err)
		}
	}
}

// newConnPair returns both ends of a connection; only the test reads the server's end, c.
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

// Input that arrived before the read deadline must be read even if the process was not scheduled until after the deadline.
// Otherwise the connection is closed on an unread request.
func TestInputBeforeDeadlineIsReadAfterIt(t *testing.T) {
	f, _ := startFront(t)
	for _, inCommand := range []bool{false, true} {
		client, c := newConnPair(t, f)
		c.receivedCommand, c.inCommand, c.waitingSince = inCommand, inCommand, time.Now().Add(-time.Hour)
		io.WriteString(client, "rest")
		for accept.IsIdle(c.nc) {
			runtime.Gosched()
		}
		b := make([]byte, 10)
		if n, err := c.Read(b); string(b[:n]) != "rest" || err != nil {
			t.Errorf("read %q, %v", b[:n], err)
		}
		c.waitingSince = time.Now().Add(-time.Hour)
		if n, err := c.Read(b); n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("without input after the deadline: read %d bytes, %v; want a timeout", n, err)
		}
	}
}

// When the network fails for seconds within a command, the rest must be awaited for as long as routers keep idle
// connections, if the router was served on this connection or has a request open. Otherwise the connection is closed and
// the request is lost. A client that was never served gets only the shorter time for a command.
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
			t.Errorf("stopped waiting for the rest of the command: %s", got)
		case <-time.After(50 * time.Millisecond): // a reader that stops waiting does so at once
			io.WriteString(client, "rest")
			if got := <-result; got != "rest<nil>" {
				t.Errorf("read %s", got)
			}
		}
	}
	_, c := newConnPair(t, f)
	c.receivedCommand, c.inCommand, c.waitingSince = true, true, since
	if _, err := c.Read(make([]byte, 10)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("client that was never served: %v; want a timeout", err)
	}
}

// Guards against closing a connection that is owed an answer: one with an open request, or with a command that has arrived
// and is not handled yet. A command whose rest has not arrived is no request, and must not keep the process.
func TestCloseSettledKeepsConnectionsThatAreOwedAnAnswer(t *testing.T) {
	runner := manualRunner{started: make(chan *core.Attempt, 1)}
	f, clk := startFrontWith(t, runner)
	conn := dial(t, f)
	io.WriteString(conn, reqFrame(1))
	attempt := <-runner.started
	if owed := f.CloseSettled(); owed.Answers != 1 {
		t.Errorf("with an open request: owed %+v, want 1 answer", owed)
	}
	attempt.Notify(core.Notice{Ended: true, Outcome: policy.OK, Body: pool.Copy([]byte("b"))})
	wantRead(t, conn, doneFrame(1))
	io.WriteString(conn, "*4\r\n$3\r\nREQ\r\n$1\r\n9\r\n$4\r\nread\r\n$0\r\n\r\n") // invalid: reading stops for a while
	wantRead(t, conn, "*3\r\n$1\r\n9\r\n$5\r\nerror\r\n$0\r\n\r\n")
	io.WriteString(conn, reqFrame(2)[:20])
	if owed := f.CloseSettled(); owed.Reads != 1 {
		t.Errorf("with unread input: owed %+v, want 1 read", owed)
	}
	clk.Set(startMS + invalidRequestDelayMS)
	for f.CloseSettled().Total() > 0 { // until the reader has read all input
		runtime.Gosched()
	}
	wantRead(t, conn, closingFrame)
	if n, err := io.Copy(io.Discard, conn); n > 0 || err != nil {
		t.Errorf("after the closing message: read %d bytes, %v; want the end", n, err)
	}
}

// A router sends an invalid request and then sound ones, and resets the connection during the pause in reading after the invalid one:
// the sound ones do not run, although they were received before. Guards against requests that are sent on after their client has
// gone.
func TestRequestsBehindResetDoNotRun(t *testing.T) {
	const sound = 20
	runner := manualRunner{started: make(chan *core.Attempt, sound)}
	f, clk := startFrontWith(t, runner)
	conn := dial(t, f)
	commands := "*4\r\n$3\r\nREQ\r\n$3\r\n999\r\n$4\r\nread\r\n$0\r\n\r\n"
	for tag := 1; tag <= sound; tag++ {
		commands += reqFrame(tag)
	}
	io.WriteString(conn, commands)
	wantRead(t, conn, "*3\r\n$3\r\n999\r\n$5\r\nerror\r\n$0\r\n\r\n")
	c := onlyConn(f)
	conn.(*net.TCPConn).SetLinger(0)
	conn.Close()
	for !accept.WasReset(c.nc) {
		runtime.Gosched()
	}
	clk.Set(startMS + invalidRequestDelayMS)
	for done := false; !done; runtime.Gosched() {
		c.mu.Lock()
		done = c.readDone
		c.mu.Unlock()
	}
	select {
	case <-runner.started:
		t.Errorf("%d requests behind a reset were started", 1+len(runner.started))
	case <-time.After(20 * time.Millisecond):
	}
}

// The memory of answers is given back when they are written, and when a connection ends with answers that nobody read. Guards against
// a count that grows until every connection with an answer is closed.
func TestMemoryOfAnswersIsGivenBack(t *testing.T) {
	f, _ := startFront(t)
	f.SetMaxUnsentBytes(64 << 10)
	waitForNone := func() {
		t.Helper()
		for deadline := time.Now().Add(30 * time.Second); f.unsentBytes.Load() != 0; runtime.Gosched() {
			if time.Now().After(deadline) {
				t.Fatalf("%d bytes are still counted", f.unsentBytes.Load())
			}
		}
	}
	conn := dial(t, f)
	for tag := 1; tag <= 100; tag++ {
		io.WriteString(conn, reqFrame(tag))
		wantRead(t, conn, doneFrame(tag))
	}
	waitForNone()
	check := bytes.Repeat([]byte("*2\r\n$6\r\nHEALTH\r\n$1\r\n1\r\n"), 1000)
	for err := error(nil); err == nil; { // until the front closes the connection
		_, err = conn.Write(check)
	}
	waitForNone()
}
