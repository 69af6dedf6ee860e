package store

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/raft"
)

// The first byte of a connection tells what it is for.
const (
	forRaft   = 'R'
	forWrites = 'W' // writes sent on to the leader
	forClaims = 'A' // what a copy says of its folder, before it takes part and while it does
	forBackup = 'B' // the whole state at one position, from the copy that leads
	forStatus = 'I' // one answer that tells how the copy is

	// ForSessions opens a session of an order server, which need not keep a copy.
	ForSessions = 'S'
	// ForWatches opens a relay's watch of the configuration.
	ForWatches = 'C'
)

const helloFor = 2 * time.Second

// layer carries raft's connections and all others over one listening socket, so that a node has one address.
type layer struct {
	net.Listener
	serve map[byte]func(net.Conn) // by purpose; each closes its connection
	via   map[string]string       // where this node reaches an address, if elsewhere
	done  chan struct{}
	once  sync.Once
	lane  atomic.Pointer[lane] // raft's; nil: none runs

	mu       sync.Mutex
	sessions func(net.Conn) // nil: none are served
	watches  func(net.Conn) // nil: none are served
}

func newLayer(ln net.Listener, serve map[byte]func(net.Conn), via map[string]string) *layer {
	return &layer{Listener: ln, serve: serve, via: via, done: make(chan struct{})}
}

// lane is what one raft after the other has of the socket.
type lane struct {
	*layer
	name  string // of the set
	conns chan net.Conn
	over  chan struct{}
	end   sync.Once
}

// open makes the lane of a raft that is about to run.
func (l *layer) open(name string) *lane {
	n := &lane{layer: l, name: name, conns: make(chan net.Conn), over: make(chan struct{})}
	l.lane.Store(n)
	return n
}

// Accept hands raft its connections.
func (n *lane) Accept() (net.Conn, error) {
	select {
	case c := <-n.conns:
		return c, nil
	case <-n.over:
	case <-n.done:
	}
	return nil, net.ErrClosed
}

// Close ends the lane; the socket stays.
func (n *lane) Close() error {
	n.end.Do(func() { close(n.over) })
	n.layer.lane.CompareAndSwap(n, nil)
	return nil
}

// Dial opens one of raft's connections.
func (n *lane) Dial(at raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	conn, err := n.dial(string(at), forRaft, timeout)
	if err != nil {
		return nil, err
	}
	if _, err := conn.Write(append([]byte{byte(len(n.name))}, n.name...)); err != nil {
		conn.Close()
		return nil, err
	}
	return conn, nil
}

// same reads the name of the set that a connection of raft's is of. Guards against entries of another set, whose nodes were given
// the same addresses: raft itself would take them.
func (n *lane) same(conn net.Conn) bool {
	b := make([]byte, 256)
	if _, err := io.ReadFull(conn, b[:1]); err != nil {
		return false
	}
	name := b[1 : 1+int(b[0])]
	_, err := io.ReadFull(conn, name)
	return err == nil && (n.name == "" || len(name) == 0 || string(name) == n.name)
}

func (l *layer) session() func(net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sessions
}

func (l *layer) watch() func(net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.watches
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
	n := l.lane.Load()
	if b[0] == forRaft && n != nil && !n.same(conn) {
		n = nil
	}
	conn.SetReadDeadline(time.Time{})
	switch serve := l.serve[b[0]]; {
	case b[0] == forRaft:
		if n != nil {
			select {
			case n.conns <- conn:
				return
			case <-n.over:
			case <-l.done:
			}
		}
	case b[0] == ForSessions:
		if serve := l.session(); serve != nil {
			serve(conn)
			return
		}
	case b[0] == ForWatches:
		if serve := l.watch(); serve != nil {
			serve(conn)
			return
		}
	case serve != nil:
		serve(conn)
		return
	}
	conn.Close()
}

// Close ends the listening.
func (l *layer) Close() error {
	l.once.Do(func() { close(l.done) })
	return l.Listener.Close()
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
