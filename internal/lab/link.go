package lab

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// Way selects a direction of a link.
type Way int

// Directions of a link.
const (
	There Way = iota // from the side that connects
	Back             // to the side that connects
	BothDirections
)

// Link is the only path from one process to another: a TCP proxy that can inject network faults. It keeps the guarantees of
// TCP: bytes arrive in order, late, or not at all, in which case the connection ends.
type Link struct {
	ln net.Listener

	mu    sync.Mutex
	to    string
	cut   [2]bool          // by direction: bytes are withheld
	delay [2]time.Duration // by direction: added delay
	rate  int              // bytes per second and connection; 0: unlimited
	pipes map[*pipe]bool   // the open connections
	wake  chan struct{}    // closed and replaced at each change
	done  bool
}

// pipe is one connection through a link; gone is closed at its end.
type pipe struct {
	a, b net.Conn
	once sync.Once
	gone chan struct{}
}

func (p *pipe) end(reset bool) {
	p.once.Do(func() {
		close(p.gone)
		for _, c := range []net.Conn{p.a, p.b} {
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
	l := &Link{ln: ln, pipes: map[*pipe]bool{}, wake: make(chan struct{})}
	go l.accept()
	return l, nil
}

// Addr returns the address on which the link listens.
func (l *Link) Addr() string { return l.ln.Addr().String() }

// SetTarget sets the address to which the link forwards new connections.
func (l *Link) SetTarget(address string) { l.change(func() { l.to = address }) }

// Cut withholds all bytes of a direction until Heal: open connections and new ones hang.
func (l *Link) Cut(w Way) {
	l.change(func() {
		if w != Back {
			l.cut[There] = true
		}
		if w != There {
			l.cut[Back] = true
		}
	})
}

// Heal removes all faults from the link; withheld bytes are then forwarded.
func (l *Link) Heal() { l.change(func() { l.cut, l.delay, l.rate = [2]bool{}, [2]time.Duration{}, 0 }) }

// Delay adds a delay to the bytes of a direction.
func (l *Link) Delay(d time.Duration, w Way) {
	l.change(func() {
		if w != Back {
			l.delay[There] = d
		}
		if w != There {
			l.delay[Back] = d
		}
	})
}

// Throttle limits each direction of each connection to rate bytes per second; 0 means unlimited.
func (l *Link) Throttle(rate int) { l.change(func() { l.rate = rate }) }

// Reset ends all open connections with a TCP reset.
func (l *Link) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.pipes {
		p.end(true)
	}
}

// Close closes the link and resets its connections.
func (l *Link) Close() {
	l.change(func() { l.done = true })
	l.ln.Close()
	l.Reset()
}

// change applies a change of the faults and wakes all connections that wait for one.
func (l *Link) change(do func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	do()
	close(l.wake)
	l.wake = make(chan struct{})
}

func (l *Link) accept() {
	for {
		a, err := l.ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		go l.open(a)
	}
}

func (l *Link) open(a net.Conn) {
	// A connection attempt through a cut link gets no response, not even a refusal.
	if !l.pass(There, nil) {
		a.Close()
		return
	}
	l.mu.Lock()
	to := l.to
	l.mu.Unlock()
	b, err := net.DialTimeout("tcp", to, time.Second)
	if err != nil {
		a.Close()
		return
	}
	p := &pipe{a: a, b: b, gone: make(chan struct{})}
	l.mu.Lock()
	if l.done {
		l.mu.Unlock()
		p.end(true)
		return
	}
	l.pipes[p] = true
	l.mu.Unlock()
	var both sync.WaitGroup
	both.Add(2)
	go func() { defer both.Done(); l.carry(p, p.a, p.b, There) }()
	go func() { defer both.Done(); l.carry(p, p.b, p.a, Back) }()
	both.Wait()
	p.end(false)
	l.mu.Lock()
	delete(l.pipes, p)
	l.mu.Unlock()
}

// pass waits until a direction isn't cut. It returns false if the link or the connection was closed.
func (l *Link) pass(w Way, p *pipe) bool {
	var gone chan struct{}
	if p != nil {
		gone = p.gone
	}
	for {
		l.mu.Lock()
		wake, open, done := l.wake, !l.cut[w], l.done
		l.mu.Unlock()
		if done {
			return false
		}
		if open {
			return true
		}
		select {
		case <-wake:
		case <-gone:
			return false
		}
	}
}

// chunk is what one read returned.
type chunk struct {
	b  []byte
	at time.Time // when it may be forwarded
}

// carry forwards the bytes of one direction. It keeps reading while bytes are delayed, so that a delay doesn't limit the
// throughput. When the sending side closes, bytes in transit are still delivered.
func (l *Link) carry(p *pipe, from, to net.Conn, w Way) {
	queue := make(chan chunk, 1024)
	go func() {
		defer close(queue)
		for {
			b := make([]byte, 16<<10)
			n, err := from.Read(b)
			if n > 0 {
				l.mu.Lock()
				at := time.Now().Add(l.delay[w])
				l.mu.Unlock()
				select {
				case queue <- chunk{b[:n], at}:
				case <-p.gone:
					return
				}
			}
			if err != nil {
				if !errors.Is(err, io.EOF) && !errors.Is(err, os.ErrDeadlineExceeded) {
					p.end(true)
				}
				return
			}
		}
	}()
	for c := range queue {
		wait(time.Until(c.at), p.gone)
		l.mu.Lock()
		rate := l.rate
		l.mu.Unlock()
		if rate > 0 {
			wait(time.Duration(len(c.b))*time.Second/time.Duration(rate), p.gone)
		}
		if !l.pass(w, p) {
			return
		}
		if _, err := to.Write(c.b); err != nil {
			p.end(true)
			return
		}
	}
	if !l.pass(w, p) {
		return
	}
	if tcp, ok := to.(*net.TCPConn); ok {
		tcp.CloseWrite()
	}
}

// wait waits for d or until gone is closed.
func wait(d time.Duration, gone <-chan struct{}) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-gone:
	}
}
