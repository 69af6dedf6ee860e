// Package accept takes connections from a listening socket, and gives the socket up without losing any.
package accept

import (
	"errors"
	"net"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"
)

const (
	pause       = 5 * time.Millisecond
	lastAccepts = 5 * time.Millisecond // a listener that is to close goes on accepting for so long
	lastAccept  = time.Second          // what waits in the queue is taken at once, unless it went meanwhile
)

// Listener accepts connections until it is shut.
type Listener struct {
	ln   *net.TCPListener
	log  zerolog.Logger
	done chan struct{}

	mu      sync.Mutex
	serving bool
	shut    bool // no more than what waits is accepted
	leave   bool // nor that: another process accepts it
}

// Listen opens the listening socket; Serve has to be called next.
func Listen(address string, log zerolog.Logger) (*Listener, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return On(ln.(*net.TCPListener), log), nil
}

// On takes a socket that listens already.
func On(ln *net.TCPListener, log zerolog.Logger) *Listener {
	return &Listener{ln: ln, log: log, done: make(chan struct{})}
}

// Socket is the listening socket.
func (l *Listener) Socket() *net.TCPListener { return l.ln }

// Addr is where it listens.
func (l *Listener) Addr() net.Addr { return l.ln.Addr() }

// Serve hands each connection to welcome, which must not wait, until the listener is shut.
func (l *Listener) Serve(welcome func(net.Conn)) {
	l.mu.Lock()
	l.serving = true
	l.mu.Unlock()
	defer close(l.done)
	for {
		conn, err := l.ln.Accept()
		switch {
		case err == nil:
			welcome(conn)
		case timedOut(err):
			l.rest(welcome)
			return
		case errors.Is(err, net.ErrClosed):
			return
		default:
			l.log.Warn().Err(err).Msg("accept") // out of descriptors, most likely: some will be freed
			time.Sleep(pause)
		}
	}
}

// rest accepts what waits in the queue of a listener whose time is over. A deadline that has passed ends an Accept
// before it looks, and it may pass between two of them or before the first.
func (l *Listener) rest(welcome func(net.Conn)) {
	for l.waiting() {
		l.ln.SetDeadline(time.Now().Add(lastAccept))
		conn, err := l.ln.Accept()
		if err != nil {
			l.log.Warn().Err(err).Msg("accept of what was left")
			return
		}
		welcome(conn)
	}
	l.ln.Close() // at once: who comes now is refused, and knows that nothing ran
}

// waiting tells that a connection is in the queue, and that it is ours to accept.
func (l *Listener) waiting() bool {
	l.mu.Lock()
	leave := l.leave
	l.mu.Unlock()
	raw, err := l.ln.SyscallConn()
	if err != nil || leave {
		return false
	}
	ready := 0
	err = raw.Control(func(fd uintptr) {
		ready, _ = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
	})
	return err == nil && ready > 0
}

func timedOut(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}

// Shut closes the socket once its queue is empty. To close it at once would reset connections that the
// machine has accepted and whose requests are therefore owed answers.
func (l *Listener) Shut() { l.end(time.Now().Add(lastAccepts), false) }

// Yield closes our side of a socket that another process accepts from too: what waits in its queue is for that.
func (l *Listener) Yield() { l.end(time.Now(), true) }

// end lets Serve accept up to a time, and what waits then. Where Serve has not begun, it does the same once it does;
// until then, or until Close, the socket stays open, since to close it would reset what waits.
func (l *Listener) end(last time.Time, leave bool) {
	l.mu.Lock()
	again := l.shut
	l.shut, l.leave = true, leave
	serving := l.serving
	l.mu.Unlock()
	if !again {
		l.ln.SetDeadline(last)
	}
	if serving {
		<-l.done
		l.ln.Close()
	}
}

// Close closes the socket at once.
func (l *Listener) Close() { l.ln.Close() }
