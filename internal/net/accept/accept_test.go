package accept

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

const queued = 20

// queue opens a listening socket with connections in its queue, on each of which one byte was sent.
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

// Guards against resetting queued connections when the listener is stopped before Serve is called.
func TestShutBeforeServingResetsNothing(t *testing.T) {
	l, conns := queue(t)
	l.StopAccepting()
	l.Serve(echo)
	answered(t, conns)
	if conn, err := net.Dial("tcp", l.Addr().String()); err == nil {
		conn.Close()
		t.Error("the socket is still open")
	}
}

// Guards against resetting queued connections when the deadline for accepting passes while the process is busy between
// two accepts.
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
	for shut := false; !shut; time.Sleep(time.Millisecond) { // end sets the deadline next
		l.mu.Lock()
		shut = l.shut
		l.mu.Unlock()
	}
	l.ln.SetDeadline(time.Unix(1, 0))
	close(passed)
	<-ended
	answered(t, conns)
}

// Connections in the queue are left to a successor that shares the socket.
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
	l.Serve(func(net.Conn) { t.Error("accepted a connection that belongs to the successor") })
	go New(other.(*net.TCPListener), zerolog.Nop()).Serve(echo)
	answered(t, conns)
	other.Close()
}
