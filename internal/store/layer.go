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
	purposeRaft   = 'R'
	purposeWrites = 'W' // writes sent on to the leader
	purposeClaims = 'A' // what a copy says of its folder, before it takes part and while it does
	purposeBackup = 'B' // the whole state at one position, from the copy that leads
	purposeStatus = 'I' // one answer that tells how the copy is

	// PurposeSessions opens a session of an order server, which need not keep a copy.
	PurposeSessions = 'S'
	// PurposeWatches opens a relay's watch of the configuration.
	PurposeWatches = 'C'
)

const purposeTimeout = 2 * time.Second

// multiplexer carries raft's connections and all others over one listening socket, so that a node has one address.
type multiplexer struct {
	net.Listener
	handlers         map[byte]func(net.Conn) // by purpose; each closes its connection
	addressOverrides map[string]string       // where this node reaches an address, if elsewhere
	done             chan struct{}
	closeOnce        sync.Once
	raftLayer        atomic.Pointer[raftLayer] // raft's; nil: none runs

	mu       sync.Mutex
	sessions func(net.Conn) // nil: none are served
	watches  func(net.Conn) // nil: none are served
}

func newMultiplexer(ln net.Listener, handlers map[byte]func(net.Conn), addressOverrides map[string]string) *multiplexer {
	return &multiplexer{Listener: ln, handlers: handlers, addressOverrides: addressOverrides, done: make(chan struct{})}
}

// raftLayer is what one raft after the other has of the socket.
type raftLayer struct {
	*multiplexer
	clusterName   string // of the set
	conns         chan net.Conn
	closed        chan struct{}
	closeRaftOnce sync.Once
}

// openRaftLayer makes the lane of a raft that is about to run.
func (l *multiplexer) openRaftLayer(clusterName string) *raftLayer {
	n := &raftLayer{multiplexer: l, clusterName: clusterName, conns: make(chan net.Conn), closed: make(chan struct{})}
	l.raftLayer.Store(n)
	return n
}

// Accept hands raft its connections.
func (n *raftLayer) Accept() (net.Conn, error) {
	select {
	case c := <-n.conns:
		return c, nil
	case <-n.closed:
	case <-n.done:
	}
	return nil, net.ErrClosed
}

// Close ends the lane; the socket stays.
func (n *raftLayer) Close() error {
	n.closeRaftOnce.Do(func() { close(n.closed) })
	n.multiplexer.raftLayer.CompareAndSwap(n, nil)
	return nil
}

// Dial opens one of raft's connections.
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

// sameCluster reads the name of the set that a connection of raft's is of. Guards against entries of another set, whose nodes were given
// the same addresses: raft itself would take them.
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

// Close ends the listening.
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
