package store

import (
	"net"
	"sync"
	"time"

	"github.com/hashicorp/raft"
)

// The first byte of a connection tells what it is for.
const (
	forRaft   = 'R'
	forWrites = 'W' // writes sent on to the leader

	// ForSessions opens a session of an order server, which need not keep a copy.
	ForSessions = 'S'
)

const helloFor = 2 * time.Second

// layer carries raft's connections and writes for the leader over one listening socket, so that a node has
// one address.
type layer struct {
	net.Listener
	raft   chan net.Conn
	writes func(net.Conn)
	via    map[string]string // where this node reaches an address, if elsewhere
	done   chan struct{}
	once   sync.Once

	mu       sync.Mutex
	sessions func(net.Conn) // nil: none are served
}

func newLayer(ln net.Listener, writes func(net.Conn), via map[string]string) *layer {
	return &layer{Listener: ln, raft: make(chan net.Conn), writes: writes, via: via, done: make(chan struct{})}
}

func (l *layer) session() func(net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sessions
}

func (l *layer) run() {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			l.Close()
			return
		}
		go l.sort(conn)
	}
}

func (l *layer) sort(conn net.Conn) {
	var b [1]byte
	conn.SetReadDeadline(time.Now().Add(helloFor))
	if _, err := conn.Read(b[:]); err != nil {
		conn.Close()
		return
	}
	conn.SetReadDeadline(time.Time{})
	switch b[0] {
	case forRaft:
		select {
		case l.raft <- conn:
			return
		case <-l.done:
		}
	case forWrites:
		l.writes(conn)
	case ForSessions:
		if serve := l.session(); serve != nil {
			serve(conn) // closes it
			return
		}
	}
	conn.Close()
}

// Accept hands raft its connections.
func (l *layer) Accept() (net.Conn, error) {
	select {
	case c := <-l.raft:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close ends the listening.
func (l *layer) Close() error {
	l.once.Do(func() { close(l.done) })
	return l.Listener.Close()
}

// Dial opens one of raft's connections.
func (l *layer) Dial(at raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	return l.dial(string(at), forRaft, timeout)
}

func (l *layer) dial(at string, purpose byte, timeout time.Duration) (net.Conn, error) {
	if via := l.via[at]; via != "" {
		at = via
	}
	conn, err := net.DialTimeout("tcp", at, timeout)
	if err != nil {
		return nil, err
	}
	if _, err := conn.Write([]byte{purpose}); err != nil {
		conn.Close()
		return nil, err
	}
	return conn, nil
}
