package store

import (
	"context"
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

// multiplexer shares one listening socket between raft's connections and all others, so that a replica has a single address.
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

// raftLayer is raft's stream layer over the shared socket. Each raft instance of the process gets a new one.
type raftLayer struct {
	*multiplexer
	clusterName   string
	conns         chan net.Conn
	closed        chan struct{}
	closeRaftOnce sync.Once
}

// openRaftLayer creates the stream layer for a raft instance that is about to start.
func (m *multiplexer) openRaftLayer(clusterName string) *raftLayer {
	layer := &raftLayer{multiplexer: m, clusterName: clusterName, conns: make(chan net.Conn), closed: make(chan struct{})}
	m.raftLayer.Store(layer)
	return layer
}

// Accept returns the next incoming raft connection.
func (l *raftLayer) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
	case <-l.done:
	}
	return nil, net.ErrClosed
}

// Close stops accepting raft connections; the shared socket stays open.
func (l *raftLayer) Close() error {
	l.closeRaftOnce.Do(func() { close(l.closed) })
	l.multiplexer.raftLayer.CompareAndSwap(l, nil)
	return nil
}

// Dial opens a raft connection and sends the cluster name.
func (l *raftLayer) Dial(address raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	conn, err := l.dial(context.Background(), string(address), purposeRaft, timeout)
	if err != nil {
		return nil, err
	}
	if _, err := conn.Write(append([]byte{byte(len(l.clusterName))}, l.clusterName...)); err != nil {
		conn.Close()
		return nil, err
	}
	return conn, nil
}

// sameCluster reads the cluster name at the start of a raft connection and compares it. Raft itself
// would accept entries from another cluster whose replicas were configured with the same addresses.
func (l *raftLayer) sameCluster(conn net.Conn) bool {
	b := make([]byte, 256)
	if _, err := io.ReadFull(conn, b[:1]); err != nil {
		return false
	}
	name := b[1 : 1+int(b[0])]
	_, err := io.ReadFull(conn, name)
	return err == nil && (l.clusterName == "" || len(name) == 0 || string(name) == l.clusterName)
}

func (m *multiplexer) sessionHandler() func(net.Conn) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.sessions
}

func (m *multiplexer) watchHandler() func(net.Conn) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.watches
}

func (m *multiplexer) run() {
	for {
		conn, err := m.Listener.Accept()
		if err != nil {
			m.Close()
			return
		}
		go m.dispatch(conn)
	}
}

func (m *multiplexer) dispatch(conn net.Conn) {
	var b [1]byte
	conn.SetReadDeadline(time.Now().Add(purposeTimeout))
	if _, err := conn.Read(b[:]); err != nil {
		conn.Close()
		return
	}
	layer := m.raftLayer.Load()
	if b[0] == purposeRaft && layer != nil && !layer.sameCluster(conn) {
		layer = nil
	}
	conn.SetReadDeadline(time.Time{})
	switch handler := m.handlers[b[0]]; {
	case b[0] == purposeRaft:
		if layer != nil {
			select {
			case layer.conns <- conn:
				return
			case <-layer.closed:
			case <-m.done:
			}
		}
	case b[0] == PurposeSessions:
		if handler := m.sessionHandler(); handler != nil {
			handler(conn)
			return
		}
	case b[0] == PurposeWatches:
		if handler := m.watchHandler(); handler != nil {
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
func (m *multiplexer) Close() error {
	m.closeOnce.Do(func() { close(m.done) })
	return m.Listener.Close()
}

// dial opens a connection to a replica and states its purpose. It gives up after the timeout, or once ctx ends.
func (m *multiplexer) dial(ctx context.Context, address string, purpose byte, timeout time.Duration) (net.Conn, error) {
	if override := m.addressOverrides[address]; override != "" {
		address = override
	}
	dialer := net.Dialer{Timeout: timeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if _, err := conn.Write([]byte{purpose}); err != nil {
		conn.Close()
		return nil, err
	}
	return conn, nil
}
