package respfront

import (
	"context"
	"fmt"
	"io"
	"net"
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

const start = 1.7e12 // where the clock stands at first

// echo is a Runner that ends each run at once with its body.
type echo struct{}

func (echo) Start(a *core.Attempt) {
	a.Notify(core.Notice{Ended: true, Outcome: policy.OK, Body: pool.Copy(a.Request.Body)})
}
func (echo) Return(*core.Attempt, uint64, []byte) {}
func (echo) Skip(*core.Attempt, uint64)           {}
func (echo) Drop(*core.Attempt)                   {}
func (echo) Meter(func([]float64))                {}
func (echo) Diagnose(func(bool)) bool             { return false }
func (echo) Call(context.Context, string, float64, []byte) (policy.Outcome, []byte) {
	return policy.Unreached, nil
}

// one builds a front with room for one connection, on a clock that the test sets.
func one(t *testing.T) (*Front, *clock.Clock) {
	clk := clock.Manual(start)
	c := core.New(clk, zerolog.Nop(), policy.Settings{
		Classes: []policy.Class{{Name: "read", Aim: time.Minute, Deadline: time.Minute, Worth: 1}},
		Cores:   8, MemoryKB: 1e6, RunFactor: 4, FallMultiple: 8, BusyGauge: -1, RunnableGauge: -1, MemoryGauge: -1, ConnGauge: -1,
	}, 1, echo{}, echo{}, nil)
	c.Up(false)
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

func req(tag int) string {
	fields := fmt.Sprintf("id=%016x,at=%.0f,from=4,kb=10,rank=0.5", tag, start)
	return fmt.Sprintf("*5\r\n$3\r\nREQ\r\n$1\r\n%d\r\n$4\r\nread\r\n$%d\r\n%s\r\n$1\r\nb\r\n", tag, len(fields), fields)
}

func want(t *testing.T, conn net.Conn, answer string) {
	t.Helper()
	b := make([]byte, len(answer))
	if _, err := io.ReadFull(conn, b); err != nil || string(b) != answer {
		t.Fatalf("read %q, %v; want %q", b, err, answer)
	}
}

func done(tag int) string {
	return fmt.Sprintf("*4\r\n$1\r\n%d\r\n$4\r\ndone\r\n$0\r\n\r\n$1\r\nb\r\n", tag)
}

const closing = "*2\r\n$1\r\n0\r\n$7\r\nclosing\r\n"

func only(f *Front) *conn {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		return c
	}
	return nil
}

// A router's request is halfway through the door, read in part and so no longer in the socket, when another connection
// needs its place and when its idle time is over: it was cut off and its request lost.
func TestHalfARequestKeepsItsConnection(t *testing.T) {
	f, clk := one(t)
	conn := dial(t, f)
	io.WriteString(conn, req(1))
	want(t, conn, done(1))
	c := only(f)
	io.WriteString(conn, req(2)[:20])
	for within := false; !within; runtime.Gosched() { // all of it is out of the socket
		c.mu.Lock()
		within = c.within && accept.Quiet(c.nc)
		c.mu.Unlock()
	}
	other := dial(t, f)
	if n, err := io.Copy(io.Discard, other); n > 0 {
		t.Errorf("the one too many got %d bytes, %v", n, err)
	}
	for now := start; now < start+4*idleMs; now += sweepMs {
		clk.Set(now)
	}
	io.WriteString(conn, req(2)[20:])
	want(t, conn, done(2))
}

// The place of an idle connection is needed: it hears that it closes, so that what crosses is sent once more.
func TestRoomIsMadeBehindClosing(t *testing.T) {
	f, _ := one(t)
	conn := dial(t, f)
	io.WriteString(conn, req(1))
	want(t, conn, done(1))
	c := only(f)
	for idle := false; !idle; runtime.Gosched() { // the writer and the reader are through
		idle = c.idleSince(start)
	}
	other := dial(t, f)
	io.WriteString(other, req(2))
	want(t, other, done(2))
	want(t, conn, closing)
	if n, err := io.Copy(io.Discard, conn); n > 0 || err != nil {
		t.Errorf("%d bytes more, %v", n, err)
	}
}

// A request comes between the look at its idle connection and the close: once given up, nothing is taken from it, so it
// is not read and forgotten.
func TestNothingIsTakenFromWhatIsGivenUp(t *testing.T) {
	f, _ := one(t)
	conn := dial(t, f)
	io.WriteString(conn, req(1))
	want(t, conn, done(1))
	c := only(f)
	for given := false; !given; runtime.Gosched() {
		given = c.giveUp()
	}
	io.WriteString(conn, req(2))
	want(t, conn, closing)
	if n, err := io.Copy(io.Discard, conn); n > 0 {
		t.Errorf("%d bytes more, %v", n, err)
	}
	if n := f.core.Figures().Tries; n != 1 {
		t.Errorf("%d runs", n)
	}
}

// A request lies unread behind one that makes no sense, for which the front rests, and later half a request is at hand,
// when the process looks whether it may end: it is not through.
func TestWhatLiesUnreadIsNotThrough(t *testing.T) {
	f, clk := one(t)
	conn := dial(t, f)
	io.WriteString(conn, "*4\r\n$3\r\nREQ\r\n$1\r\n9\r\n$4\r\nread\r\n$0\r\n\r\n")
	want(t, conn, "*3\r\n$1\r\n9\r\n$5\r\nerror\r\n$0\r\n\r\n")
	c := only(f)
	io.WriteString(conn, req(1)[:20])
	for range 100 {
		if f.Flushed() {
			t.Fatal("through, with a request unread")
		}
		runtime.Gosched()
	}
	clk.Set(start + faultPause)
	for within := false; !within; runtime.Gosched() {
		c.mu.Lock()
		within = c.within && accept.Quiet(c.nc)
		c.mu.Unlock()
	}
	if f.Flushed() {
		t.Error("through, with half a request at hand")
	}
	io.WriteString(conn, req(1)[20:])
	want(t, conn, done(1))
	for !f.Flushed() {
		runtime.Gosched()
	}
}
