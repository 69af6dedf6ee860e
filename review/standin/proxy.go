package standin

import (
	"io"
	"net"
	"sync"
)

// Proxy forwards connections to another address. While it is cut it holds back all bytes and new connections, as a network
// partition does, and delivers them when it is restored.
type Proxy struct {
	ln net.Listener
	to string

	mu       sync.Mutex
	restored *sync.Cond
	cut      bool
}

// NewProxy starts a proxy on a free loopback address.
func NewProxy(to string) (*Proxy, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{ln: ln, to: to}
	p.restored = sync.NewCond(&p.mu)
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go p.serve(conn)
		}
	}()
	return p, nil
}

// Addr returns the proxy's address.
func (p *Proxy) Addr() string { return p.ln.Addr().String() }

// SetCut cuts or restores the proxy.
func (p *Proxy) SetCut(cut bool) {
	p.mu.Lock()
	p.cut = cut
	p.mu.Unlock()
	p.restored.Broadcast()
}

// pass waits while the proxy is cut.
func (p *Proxy) pass() {
	p.mu.Lock()
	for p.cut {
		p.restored.Wait()
	}
	p.mu.Unlock()
}

func (p *Proxy) serve(near net.Conn) {
	defer near.Close()
	p.pass()
	far, err := net.Dial("tcp", p.to)
	if err != nil {
		return
	}
	defer far.Close()
	var both sync.WaitGroup
	forward := func(from, to net.Conn) {
		b := make([]byte, 16<<10)
		for {
			n, err := from.Read(b)
			p.pass()
			if n > 0 {
				if _, e := to.Write(b[:n]); e != nil {
					break
				}
			}
			if err != nil {
				if err != io.EOF {
					from.Close()
				}
				break
			}
		}
		if t, ok := to.(*net.TCPConn); ok {
			t.CloseWrite()
		}
	}
	both.Go(func() { forward(near, far) })
	both.Go(func() { forward(far, near) })
	both.Wait()
}
