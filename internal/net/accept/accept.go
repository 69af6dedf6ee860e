// Package accept accepts connections from a listening socket, and closes the socket without losing connections.
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
	acceptRetryDelay    = 5 * time.Millisecond   // delay after a failed accept
	closingAcceptPeriod = 5 * time.Millisecond   // accepting continues for this long once the listener is to close
	queuedAcceptTimeout = 150 * time.Millisecond // without an accepted connection, until the rest of the queue is given up
)

// Listener accepts connections until it is stopped.
type Listener struct {
	ln   *net.TCPListener
	log  zerolog.Logger
	done chan struct{}

	mu      sync.Mutex
	serving bool
	stopped bool // only connections in the queue are still accepted
	yielded bool // not even those: another process accepts them
}

// Listen opens a listening socket; Serve has to be called next.
func Listen(address string, log zerolog.Logger) (*Listener, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return New(ln.(*net.TCPListener), log), nil
}

// New returns a listener on a socket that is already listening.
func New(ln *net.TCPListener, log zerolog.Logger) *Listener {
	return &Listener{ln: ln, log: log, done: make(chan struct{})}
}

// Socket returns the listening socket.
func (l *Listener) Socket() *net.TCPListener { return l.ln }

// Addr returns the address that the listener is bound to.
func (l *Listener) Addr() net.Addr { return l.ln.Addr() }

// Serve passes each connection to handle, which must not block for long, until the listener is stopped.
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
			l.log.Warn().Err(err).Msg("accept") // most likely out of file descriptors; some will be freed
			time.Sleep(acceptRetryDelay)
		}
	}
}

// acceptQueued accepts the connections left in the queue after the listener's deadline. An Accept whose deadline has passed
// fails without checking the queue, and the deadline may pass between two calls or before the first one. An accept may also
// find that another process has taken the connection, or that no descriptor is free; it is then repeated for a while.
func (l *Listener) acceptQueued(handle func(net.Conn)) {
	lastAccepted := time.Now()
	for l.hasQueued() {
		l.ln.SetDeadline(time.Now().Add(acceptRetryDelay))
		conn, err := l.ln.Accept()
		if err == nil {
			handle(conn)
			lastAccepted = time.Now()
			continue
		}
		if errors.Is(err, net.ErrClosed) || time.Since(lastAccepted) > queuedAcceptTimeout {
			l.log.Warn().Err(err).Msg("accept from the remaining queue")
			break
		}
		if !isTimeout(err) {
			time.Sleep(acceptRetryDelay)
		}
	}
	l.ln.Close() // at once: later connections are refused, so their clients know that nothing ran
}

// hasQueued reports whether the queue holds a connection that this process has to accept.
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

// StopAccepting closes the socket once its queue is empty. Closing it at once would reset connections that the kernel has
// already established and whose requests have to be answered.
func (l *Listener) StopAccepting() { l.stop(time.Now().Add(closingAcceptPeriod), false) }

// Yield closes this process's descriptor of a socket that another process also accepts from. Connections in the queue are
// left to that process.
func (l *Listener) Yield() { l.stop(time.Now(), true) }

// stop makes Serve accept until a given time and then, unless yielded is set, empty the queue. If Serve has not been called
// yet, it does so when it is; until then, or until Close, the socket stays open, since closing it would reset the
// connections in its queue.
func (l *Listener) stop(deadline time.Time, yielded bool) {
	l.mu.Lock()
	alreadyStopped := l.stopped
	l.stopped, l.yielded = true, l.yielded || yielded
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
