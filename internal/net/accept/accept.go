// Package accept takes connections from a listening socket, and gives the socket up without losing any.
package accept

import (
	"errors"
	"net"
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
}

// Listen opens the listening socket; Serve has to be called next.
func Listen(address string, log zerolog.Logger) (*Listener, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return &Listener{ln: ln.(*net.TCPListener), log: log, done: make(chan struct{})}, nil
}

// Addr is where it listens.
func (l *Listener) Addr() net.Addr { return l.ln.Addr() }

// Serve hands each connection to welcome, which must not wait, until the listener is shut.
func (l *Listener) Serve(welcome func(net.Conn)) {
	defer close(l.done)
	for {
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
func (l *Listener) Shut() {
	l.ln.SetDeadline(time.Now().Add(lastAccepts))
	<-l.done
	l.ln.Close()
}

// Close closes the socket at once.
func (l *Listener) Close() { l.ln.Close() }
