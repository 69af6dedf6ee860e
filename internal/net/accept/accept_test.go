package accept

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"
)

const queuedConns = 20

// listenWithQueue opens a listening socket with connections in its queue, on each of which one byte was sent.
func listenWithQueue(t *testing.T) (*Listener, []net.Conn) {
	l, err := Listen("127.0.0.1:0", zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.Close)
	var conns []net.Conn
	for range queuedConns {
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

func echoByte(conn net.Conn) {
	go func() {
		io.CopyN(conn, conn, 1)
		conn.Close()
	}()
}

func wantEchoes(t *testing.T, conns []net.Conn) {
	t.Helper()
	for i, conn := range conns {
		if b, err := io.ReadAll(conn); string(b) != "x" {
			t.Fatalf("connection %d of %d got %q, %v", i, len(conns), b, err)
		}
	}
}

// Guards against resetting queued connections when the listener is stopped before Serve is called.
func TestStopBeforeServeAnswersQueuedConnections(t *testing.T) {
	l, conns := listenWithQueue(t)
	l.StopAccepting()
	l.Serve(echoByte)
	wantEchoes(t, conns)
	if conn, err := net.Dial("tcp", l.Addr().String()); err == nil {
		conn.Close()
		t.Error("the socket is still open")
	}
}

// Guards against resetting queued connections when the deadline for accepting passes while the process is busy between
// two accepts.
func TestQueueIsEmptiedAfterAcceptDeadline(t *testing.T) {
	l, conns := listenWithQueue(t)
	firstAccepted, deadlinePassed := make(chan struct{}), make(chan struct{})
	accepted := 0
	go l.Serve(func(conn net.Conn) {
		if accepted++; accepted == 1 {
			close(firstAccepted)
			<-deadlinePassed
		}
		echoByte(conn)
	})
	<-firstAccepted
	stopReturned := make(chan struct{})
	go func() {
		l.stop(time.Unix(1, 0), false)
		close(stopReturned)
	}()
	for stopped := false; !stopped; time.Sleep(time.Millisecond) { // stop sets the deadline next
		l.mu.Lock()
		stopped = l.stopped
		l.mu.Unlock()
	}
	l.ln.SetDeadline(time.Unix(1, 0))
	close(deadlinePassed)
	<-stopReturned
	wantEchoes(t, conns)
}

// Connections in the queue are left to a successor that shares the socket.
func TestYieldLeavesQueueToSuccessor(t *testing.T) {
	l, conns := listenWithQueue(t)
	f, err := l.Socket().File()
	if err != nil {
		t.Fatal(err)
	}
	successor, err := net.FileListener(f)
	f.Close()
	if err != nil {
		t.Fatal(err)
	}
	l.Yield()
	l.Serve(func(net.Conn) { t.Error("accepted a connection that belongs to the successor") })
	go New(successor.(*net.TCPListener), zerolog.Nop()).Serve(echoByte)
	wantEchoes(t, conns)
	successor.Close()
}

// The process has no free descriptor while its listener closes. Guards against resetting queued connections because an accept
// failed.
func TestQueueIsEmptiedDespiteFailedAccepts(t *testing.T) {
	l, conns := listenWithQueue(t)
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		t.Fatal(err)
	}
	setLimit := func(descriptors uint64) {
		if err := unix.Setrlimit(unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: descriptors, Max: limit.Max}); err != nil {
			t.Fatal(err)
		}
	}
	t.Cleanup(func() { setLimit(limit.Cur) })
	l.StopAccepting()
	setLimit(3)
	served := make(chan struct{})
	go func() {
		l.Serve(echoByte)
		close(served)
	}()
	time.Sleep(4 * closingAcceptPeriod) // all accepts fail
	setLimit(limit.Cur)
	<-served
	wantEchoes(t, conns)
}

// The process that shares the socket has all queued connections, whether or not this process had begun to serve when it
// yielded. Guards against an end that takes them back.
func TestStopAfterYieldLeavesQueueToSuccessor(t *testing.T) {
	l, _ := listenWithQueue(t)
	l.Yield()
	l.StopAccepting()
	l.Serve(func(net.Conn) { t.Error("accepted a connection that belongs to the successor") })
}
