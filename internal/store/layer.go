package store

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/raft"
)

// The first byte of a connection states its purpose.
const (
	forRaft   = 'R'
	forWrites = 'W' // writes forwarded to the leader
	forClaims = 'A' // claims: the state of a replica's data directory, sent before and while it participates
	forBackup = 'B' // the complete state at one log index, from the leader
	forStatus = 'I' // one Status response

	// PurposeSessions opens a session of an order server, which need not run a store replica.
	PurposeSessions = 'S'
	// PurposeWatches opens a relay's configuration watch.
	PurposeWatches = 'C'
)

// helloFor is the time in which a new connection has to state its purpose.
const helloFor = 2 * time.Second

// layer multiplexes raft's connections and all others over one listening socket, so that a node has a single address.
type layer struct {
	net.Listener
	serve map[byte]func(net.Conn) // by purpose; each handler closes its connection
	via   map[string]string       // by peer address: the address to dial in its place
	done  chan struct{}
	once  sync.Once
	lane  atomic.Pointer[lane] // nil while raft is not running

	mu       sync.Mutex
	sessions func(net.Conn) // nil: sessions are not served
	watches  func(net.Conn) // nil: watches are not served
}

func newLayer(ln net.Listener, serve map[byte]func(net.Conn), via map[string]string) *layer {
	return &layer{Listener: ln, serve: serve, via: via, done: make(chan struct{})}
}

// lane is raft's stream layer over the shared socket; each raft instance of the process gets a new one.
type lane struct {
	*layer
	name  string // of the cluster
	conns chan net.Conn
	over  chan struct{}
	end   sync.Once
}

// open creates the stream layer for a raft instance that is about to start.
func (l *layer) open(name string) *lane {
	n := &lane{layer: l, name: name, conns: make(chan net.Conn), over: make(chan struct{})}
	l.lane.Store(n)
	return n
}

// Accept returns the next incoming raft connection.
func (n *lane) Accept() (net.Conn, error) {
	select {
	case c := <-n.conns:
		return c, nil
	case <-n.over:
	case <-n.done:
	}
	return nil, net.ErrClosed
}

// Close stops accepting raft connections; the shared socket stays open.
func (n *lane) Close() error {
	n.end.Do(func() { close(n.over) })
	n.layer.lane.CompareAndSwap(n, nil)
	return nil
}

// Dial opens a raft connection and sends the cluster name.
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

// same reads the cluster name at the start of a raft connection and compares it. Guards against entries from another cluster
// whose nodes were configured with the same addresses: raft itself would accept them.
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
	case b[0] == PurposeSessions:
		if serve := l.session(); serve != nil {
			serve(conn)
			return
		}
	case b[0] == PurposeWatches:
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

// Close closes the listening socket.
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
