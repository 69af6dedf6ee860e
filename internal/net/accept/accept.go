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
	acceptRetryDelay    = 5 * time.Millisecond
	closingAcceptPeriod = 5 * time.Millisecond // a listener that is to close goes on accepting for so long
	queuedAcceptTimeout = time.Second          // what waits in the queue is taken at once, unless it went meanwhile
)

// Listener accepts connections until it is shut.
type Listener struct {
	ln   *net.TCPListener
	log  zerolog.Logger
	done chan struct{}

	mu      sync.Mutex
	serving bool
	stopped bool // no more than what waits is accepted
	yielded bool // nor that: another process accepts it
}

// Listen opens the listening socket; Serve has to be called next.
func Listen(address string, log zerolog.Logger) (*Listener, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return New(ln.(*net.TCPListener), log), nil
}

// New takes a socket that listens already.
func New(ln *net.TCPListener, log zerolog.Logger) *Listener {
	return &Listener{ln: ln, log: log, done: make(chan struct{})}
}

// Socket is the listening socket.
func (l *Listener) Socket() *net.TCPListener { return l.ln }

// Addr is where it listens.
func (l *Listener) Addr() net.Addr { return l.ln.Addr() }

// Serve hands each connection to welcome, which must not wait, until the listener is shut.
func (l *Listener) Serve(handle func(net.Conn)) {
	l.mu.Lock()
	l.serving = true
	l.mu.Unlock()
	defer close(l.done)
	for {
		conn, err := l.ln.Accept()
		switch {
		case err == nil:
			handle(conn)
		case isTimeout(err):
			l.acceptQueued(handle)
			return
		case errors.Is(err, net.ErrClosed):
			return
		default:
			l.log.Warn().Err(err).Msg("accept") // out of descriptors, most likely: some will be freed
			time.Sleep(acceptRetryDelay)
		}
	}
}

// acceptQueued accepts what waits in the queue of a listener whose time is over. A deadline that has passed ends an Accept
// before it looks, and it may pass between two of them or before the first.
func (l *Listener) acceptQueued(handle func(net.Conn)) {
	for l.hasQueued() {
		l.ln.SetDeadline(time.Now().Add(queuedAcceptTimeout))
		conn, err := l.ln.Accept()
		if err != nil {
			l.log.Warn().Err(err).Msg("accept of what was left")
			return
		}
		handle(conn)
	}
	l.ln.Close() // at once: who comes now is refused, and knows that nothing ran
}

// hasQueued tells that a connection is in the queue, and that it is ours to accept.
func (l *Listener) hasQueued() bool {
	l.mu.Lock()
	yielded := l.yielded
	l.mu.Unlock()
	raw, err := l.ln.SyscallConn()
	if err != nil || yielded {
		return false
	}
	ready := 0
	err = raw.Control(func(fd uintptr) {
		ready, _ = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
	})
	return err == nil && ready > 0
}

func isTimeout(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}

// StopAccepting closes the socket once its queue is empty. To close it at once would reset connections that the
// machine has accepted and whose requests are therefore owed answers.
func (l *Listener) StopAccepting() { l.stop(time.Now().Add(closingAcceptPeriod), false) }

// Yield closes our side of a socket that another process accepts from too: what waits in its queue is for that.
func (l *Listener) Yield() { l.stop(time.Now(), true) }

// stop lets Serve accept up to a time, and what waits then. Where Serve has not begun, it does the same once it does;
// until then, or until Close, the socket stays open, since to close it would reset what waits.
func (l *Listener) stop(deadline time.Time, yielded bool) {
	l.mu.Lock()
	alreadyStopped := l.stopped
	l.stopped, l.yielded = true, yielded
	serving := l.serving
	l.mu.Unlock()
	if !alreadyStopped {
		l.ln.SetDeadline(deadline)
	}
	if serving {
		<-l.done
		l.ln.Close()
	}
}

// Close closes the socket at once.
func (l *Listener) Close() { l.ln.Close() }
