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
	purposeRaft   = 'R'
	purposeWrites = 'W' // writes forwarded to the leader
	purposeClaims = 'A' // a replica's claims about its data directory, sent before and while it participates
	purposeBackup = 'B' // the complete state at one log index, from the leader
	purposeStatus = 'I' // one Status response

	// PurposeSessions opens a session of an order server, which need not run a store replica.
	PurposeSessions = 'S'
	// PurposeWatches opens a relay's configuration watch.
	PurposeWatches = 'C'
)

// purposeTimeout is the time in which a new connection has to state its purpose.
const purposeTimeout = 2 * time.Second

// multiplexer shares one listening socket between raft's connections and all others, so that a node has a single address.
type multiplexer struct {
	net.Listener
	handlers         map[byte]func(net.Conn) // by purpose; each handler closes its connection
	addressOverrides map[string]string       // by peer address: the address to dial in its place
	done             chan struct{}
	closeOnce        sync.Once
	raftLayer        atomic.Pointer[raftLayer] // nil while raft is not running

	mu       sync.Mutex
	sessions func(net.Conn) // nil: sessions are not served
	watches  func(net.Conn) // nil: watches are not served
}

func newMultiplexer(ln net.Listener, handlers map[byte]func(net.Conn), addressOverrides map[string]string) *multiplexer {
	return &multiplexer{Listener: ln, handlers: handlers, addressOverrides: addressOverrides, done: make(chan struct{})}
}

// raftLayer is raft's stream layer over the shared socket; each raft instance of the process gets a new one.
type raftLayer struct {
	*multiplexer
	clusterName   string
	conns         chan net.Conn
	closed        chan struct{}
	closeRaftOnce sync.Once
}

// openRaftLayer creates the stream layer for a raft instance that is about to start.
func (l *multiplexer) openRaftLayer(clusterName string) *raftLayer {
	n := &raftLayer{multiplexer: l, clusterName: clusterName, conns: make(chan net.Conn), closed: make(chan struct{})}
	l.raftLayer.Store(n)
	return n
}

// Accept returns the next incoming raft connection.
func (n *raftLayer) Accept() (net.Conn, error) {
	select {
	case c := <-n.conns:
		return c, nil
	case <-n.closed:
	case <-n.done:
	}
	return nil, net.ErrClosed
}

// Close stops accepting raft connections; the shared socket stays open.
func (n *raftLayer) Close() error {
	n.closeRaftOnce.Do(func() { close(n.closed) })
	n.multiplexer.raftLayer.CompareAndSwap(n, nil)
	return nil
}

// Dial opens a raft connection and sends the cluster name.
func (n *raftLayer) Dial(address raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	conn, err := n.dial(string(address), purposeRaft, timeout)
	if err != nil {
		return nil, err
	}
	if _, err := conn.Write(append([]byte{byte(len(n.clusterName))}, n.clusterName...)); err != nil {
		conn.Close()
		return nil, err
	}
	return conn, nil
}

// sameCluster reads the cluster name at the start of a raft connection and compares it. Guards against entries from another
// cluster whose nodes were configured with the same addresses: raft itself would accept them.
func (n *raftLayer) sameCluster(conn net.Conn) bool {
	b := make([]byte, 256)
	if _, err := io.ReadFull(conn, b[:1]); err != nil {
		return false
	}
	name := b[1 : 1+int(b[0])]
	_, err := io.ReadFull(conn, name)
	return err == nil && (n.clusterName == "" || len(name) == 0 || string(name) == n.clusterName)
}

func (l *multiplexer) sessionHandler() func(net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sessions
}

func (l *multiplexer) watchHandler() func(net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.watches
}

func (l *multiplexer) run() {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			l.Close()
			return
		}
		go l.dispatch(conn)
	}
}

func (l *multiplexer) dispatch(conn net.Conn) {
	var b [1]byte
	conn.SetReadDeadline(time.Now().Add(purposeTimeout))
	if _, err := conn.Read(b[:]); err != nil {
		conn.Close()
		return
	}
	n := l.raftLayer.Load()
	if b[0] == purposeRaft && n != nil && !n.sameCluster(conn) {
		n = nil
	}
	conn.SetReadDeadline(time.Time{})
	switch handler := l.handlers[b[0]]; {
	case b[0] == purposeRaft:
		if n != nil {
			select {
			case n.conns <- conn:
				return
			case <-n.closed:
			case <-l.done:
			}
		}
	case b[0] == PurposeSessions:
		if handler := l.sessionHandler(); handler != nil {
			handler(conn)
			return
		}
	case b[0] == PurposeWatches:
		if handler := l.watchHandler(); handler != nil {
			handler(conn)
			return
		}
	case handler != nil:
		handler(conn)
		return
	}
	conn.Close()
}

// Close closes the listening socket.
func (l *multiplexer) Close() error {
	l.closeOnce.Do(func() { close(l.done) })
	return l.Listener.Close()
}

func (l *multiplexer) dial(address string, purpose byte, timeout time.Duration) (net.Conn, error) {
	if override := l.addressOverrides[address]; override != "" {
		address = override
	}
	conn, err := net.DialTimeout("tcp", address, timeout)
	if err != nil {
		return nil, err
	}
	if _, err := conn.Write([]byte{purpose}); err != nil {
		conn.Close()
		return nil, err
	}
	return conn, nil
}
