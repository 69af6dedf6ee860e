package lab

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// Direction selects a direction of a link.
type Direction int

// Directions of a link.
const (
	Forward  Direction = iota // from the side that connects
	Backward                  // to the side that connects
	BothDirections
)

// Link is the only path from one process to another: a TCP proxy that can inject network faults. It keeps the guarantees of
// TCP: bytes arrive in order, late, or not at all, in which case the connection ends.
type Link struct {
	ln net.Listener

	mu             sync.Mutex
	target         string
	cut            [2]bool              // by direction: bytes are withheld
	delay          [2]time.Duration     // by direction: added delay
	bytesPerSecond int                  // of each connection and direction; 0: unlimited
	connections    map[*connection]bool // the open connections
	changed        chan struct{}        // closed and replaced at each change
	closed         bool
}

// connection is one connection through a link; ended is closed at its end.
type connection struct {
	client, server net.Conn
	once           sync.Once
	ended          chan struct{}
}

// close closes both sides once, with a TCP reset if reset is set.
func (p *connection) close(reset bool) {
	p.once.Do(func() {
		close(p.ended)
		for _, c := range []net.Conn{p.client, p.server} {
			if tcp, ok := c.(*net.TCPConn); ok && reset {
				tcp.SetLinger(0)
			}
			c.Close()
		}
	})
}

// NewLink opens a link on a free port; its target has to be set before the first connection.
func NewLink() (*Link, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &Link{ln: ln, connections: map[*connection]bool{}, changed: make(chan struct{})}
	go l.accept()
	return l, nil
}

// Addr returns the address on which the link listens.
func (l *Link) Addr() string { return l.ln.Addr().String() }

// SetTarget sets the address to which the link forwards new connections.
func (l *Link) SetTarget(address string) { l.update(func() { l.target = address }) }

// Cut withholds all bytes of a direction until Heal: open connections and new ones hang.
func (l *Link) Cut(direction Direction) {
	l.update(func() {
		if direction != Backward {
			l.cut[Forward] = true
		}
		if direction != Forward {
			l.cut[Backward] = true
		}
	})
}

// Heal removes all faults from the link; withheld bytes are then forwarded.
func (l *Link) Heal() {
	l.update(func() { l.cut, l.delay, l.bytesPerSecond = [2]bool{}, [2]time.Duration{}, 0 })
}

// Delay adds a delay to the bytes of a direction.
func (l *Link) Delay(d time.Duration, direction Direction) {
	l.update(func() {
		if direction != Backward {
			l.delay[Forward] = d
		}
		if direction != Forward {
			l.delay[Backward] = d
		}
	})
}

// Throttle limits each direction of each connection to a rate in bytes per second; 0 means unlimited.
func (l *Link) Throttle(bytesPerSecond int) { l.update(func() { l.bytesPerSecond = bytesPerSecond }) }

// Reset ends all open connections with a TCP reset.
func (l *Link) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.connections {
		p.close(true)
	}
}

// Close closes the link and resets its connections.
func (l *Link) Close() {
	l.update(func() { l.closed = true })
	l.ln.Close()
	l.Reset()
}

// update applies a change of the faults and wakes all connections that wait for one.
func (l *Link) update(do func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	do()
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *Link) accept() {
	for {
		conn, err := l.ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		go l.proxy(conn)
	}
}

// proxy connects an accepted connection to the target and forwards bytes until both directions have ended.
func (l *Link) proxy(client net.Conn) {
	// A connection attempt through a cut link gets no response, not even a refusal.
	if !l.waitUncut(Forward, nil) {
		client.Close()
		return
	}
	l.mu.Lock()
	target := l.target
	l.mu.Unlock()
	server, err := net.DialTimeout("tcp", target, time.Second)
	if err != nil {
		client.Close()
		return
	}
	p := &connection{client: client, server: server, ended: make(chan struct{})}
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		p.close(true)
		return
	}
	l.connections[p] = true
	l.mu.Unlock()
	var directions sync.WaitGroup
	directions.Add(2)
	go func() { defer directions.Done(); l.forward(p, p.client, p.server, Forward) }()
	go func() { defer directions.Done(); l.forward(p, p.server, p.client, Backward) }()
	directions.Wait()
	p.close(false)
	l.mu.Lock()
	delete(l.connections, p)
	l.mu.Unlock()
}

// waitUncut waits until a direction isn't cut. It returns false if the link or the connection was closed.
func (l *Link) waitUncut(direction Direction, p *connection) bool {
	var ended chan struct{}
	if p != nil {
		ended = p.ended
	}
	for {
		l.mu.Lock()
		changed, open, closed := l.changed, !l.cut[direction], l.closed
		l.mu.Unlock()
		if closed {
			return false
		}
		if open {
			return true
		}
		select {
		case <-changed:
		case <-ended:
			return false
		}
	}
}

// chunk is what one read returned.
type chunk struct {
	b   []byte
	due time.Time // when it may be forwarded
}

// forward forwards the bytes of one direction. It keeps reading while bytes are delayed, so that a delay doesn't limit the
// throughput. When the sending side closes, bytes in transit are still delivered.
func (l *Link) forward(p *connection, from, to net.Conn, direction Direction) {
	queue := make(chan chunk, 1024)
	go func() {
		defer close(queue)
		for {
			b := make([]byte, 16<<10)
			n, err := from.Read(b)
			if n > 0 {
				l.mu.Lock()
				due := time.Now().Add(l.delay[direction])
				l.mu.Unlock()
				select {
				case queue <- chunk{b[:n], due}:
				case <-p.ended:
					return
				}
			}
			if err != nil {
				if !errors.Is(err, io.EOF) && !errors.Is(err, os.ErrDeadlineExceeded) {
					p.close(true)
				}
				return
			}
		}
	}()
	for c := range queue {
		sleepUnlessEnded(time.Until(c.due), p.ended)
		l.mu.Lock()
		bytesPerSecond := l.bytesPerSecond
		l.mu.Unlock()
		if bytesPerSecond > 0 {
			sleepUnlessEnded(time.Duration(len(c.b))*time.Second/time.Duration(bytesPerSecond), p.ended)
		}
		if !l.waitUncut(direction, p) {
			return
		}
		if _, err := to.Write(c.b); err != nil {
			p.close(true)
			return
		}
	}
	if !l.waitUncut(direction, p) {
		return
	}
	if tcp, ok := to.(*net.TCPConn); ok {
		tcp.CloseWrite()
	}
}

// sleepUnlessEnded waits for d or until ended is closed.
func sleepUnlessEnded(d time.Duration, ended <-chan struct{}) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ended:
	}
}
