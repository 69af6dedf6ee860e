// Package accept takes connections from a listening socket, and gives the socket up without losing any.
package accept

import (
	"errors"
	"net"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

const (
	pause       = 5 * time.Millisecond
	lastAccepts = 5 * time.Millisecond // a listener that is to close goes on accepting for so long
)

// Listener accepts connections until it is shut.
type Listener struct {
	ln   *net.TCPListener
	log  zerolog.Logger
	done chan struct{}

	mu      sync.Mutex
	serving bool
	shut    bool
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
	shut := l.shut
	l.mu.Unlock()
	defer close(l.done)
	for !shut {
		conn, err := l.ln.Accept()
		switch {
		case err == nil:
			welcome(conn)
		case errors.Is(err, net.ErrClosed) || timedOut(err):
			return
		default:
			l.log.Warn().Err(err).Msg("accept") // out of descriptors, most likely: some will be freed
			time.Sleep(pause)
		}
	}
}

func timedOut(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}

// Shut closes the socket once its queue is empty. To close it at once would reset connections that the
// machine has accepted and whose requests are therefore owed answers.
func (l *Listener) Shut() { l.end(time.Now().Add(lastAccepts)) }

// Yield closes our side of a socket that another process accepts from too: what waits in its queue is for that.
func (l *Listener) Yield() { l.end(time.Now()) }

func (l *Listener) end(last time.Time) {
	l.mu.Lock()
	l.shut = true
	serving := l.serving
	l.mu.Unlock()
	if serving {
		l.ln.SetDeadline(last)
		<-l.done
	}
	l.ln.Close()
}

// Close closes the socket at once.
func (l *Listener) Close() { l.ln.Close() }
