package accept

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

const queued = 20

// queue opens a listening socket with connections waiting in its queue, each with a byte sent.
func queue(t *testing.T) (*Listener, []net.Conn) {
	l, err := Listen("127.0.0.1:0", zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.Close)
	var conns []net.Conn
	for range queued {
		conn, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		conn.SetDeadline(time.Now().Add(time.Minute))
		io.WriteString(conn, "x")
		conns = append(conns, conn)
	}
	return l, conns
}

func echo(conn net.Conn) {
	go func() {
		io.CopyN(conn, conn, 1)
		conn.Close()
	}()
}

func answered(t *testing.T, conns []net.Conn) {
	t.Helper()
	for i, conn := range conns {
		if b, err := io.ReadAll(conn); string(b) != "x" {
			t.Fatalf("connection %d of %d got %q, %v", i, len(conns), b, err)
		}
	}
}

// The notice to leave comes before the accepting began: what waits in the queue was reset.
func TestShutBeforeServingResetsNothing(t *testing.T) {
	l, conns := queue(t)
	l.Shut()
	l.Serve(echo)
	answered(t, conns)
	if conn, err := net.Dial("tcp", l.Addr().String()); err == nil {
		conn.Close()
		t.Error("the socket is still open")
	}
}

// The process gets no time between two accepts until its last moment for them has passed: the rest was reset.
func TestLateAcceptsEmptyTheQueue(t *testing.T) {
	l, conns := queue(t)
	first, passed := make(chan struct{}), make(chan struct{})
	welcomed := 0
	go l.Serve(func(conn net.Conn) {
		if welcomed++; welcomed == 1 {
			close(first)
			<-passed
		}
		echo(conn)
	})
	<-first
	ended := make(chan struct{})
	go func() {
		l.end(time.Unix(1, 0), false)
		close(ended)
	}()
	for shut := false; !shut; time.Sleep(time.Millisecond) { // the deadline is set right after
		l.mu.Lock()
		shut = l.shut
		l.mu.Unlock()
	}
	l.ln.SetDeadline(time.Unix(1, 0))
	close(passed)
	<-ended
	answered(t, conns)
}

// To a successor that shares the socket, the queue is left.
func TestYieldLeavesTheQueue(t *testing.T) {
	l, conns := queue(t)
	f, err := l.Socket().File()
	if err != nil {
		t.Fatal(err)
	}
	other, err := net.FileListener(f)
	f.Close()
	if err != nil {
		t.Fatal(err)
	}
	l.Yield()
	l.Serve(func(net.Conn) { t.Error("taken from the successor") })
	go On(other.(*net.TCPListener), zerolog.Nop()).Serve(echo)
	answered(t, conns)
	other.Close()
}
