package standin2

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// vault stands in for the vault: each call takes a fixed time. It keeps the number of calls in its hands over time and falls
// over when their mean over a period exceeds what it survives. A call that is given up stays in its hands for the linger time.
type vault struct {
	play     *Play
	ln       net.Listener
	latency  time.Duration
	linger   time.Duration
	survives float64       // calls in hand, in the mean
	period   time.Duration // of the mean

	mu     sync.Mutex
	inHand int
	served int
	peak   float64 // the highest mean so far
	fallen bool
}

const vaultSample = 10 * time.Millisecond // between two counts of the calls in hand

// newVault listens on a free address.
func newVault(p *Play, survives float64, period, linger, latency time.Duration) (*vault, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	v := &vault{play: p, ln: ln, latency: latency, linger: linger, survives: survives, period: period}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go v.serve(conn)
		}
	}()
	go v.watch()
	return v, nil
}

func (v *vault) addr() string { return v.ln.Addr().String() }

func (v *vault) close() { v.ln.Close() }

// watch computes the mean of the calls in hand. Before a whole period has passed, the time before the start counts as idle. A vault
// that has fallen over refuses connections.
func (v *vault) watch() {
	size := int(v.period / vaultSample)
	samples := make([]int, size)
	sum := 0
	began := time.Now()
	lastLine := began
	for i := 0; ; i++ {
		time.Sleep(time.Until(began.Add(time.Duration(i+1) * vaultSample)))
		v.mu.Lock()
		sum += v.inHand - samples[i%size]
		samples[i%size] = v.inHand
		mean := float64(sum) / float64(size)
		v.peak = max(v.peak, mean)
		falls := mean > v.survives && !v.fallen
		v.fallen = v.fallen || falls
		inHand, served := v.inHand, v.served
		v.mu.Unlock()
		if falls {
			v.play.record("vault: falls over: %.2f calls in hand in the mean of %v, it survives %.2f", mean, v.period, v.survives)
			v.close()
		}
		if time.Since(lastLine) > 500*time.Millisecond {
			lastLine = time.Now()
			v.play.record("vault: %d calls in hand, mean %.2f, %d served", inHand, mean, served)
		}
	}
}

// serve serves one connection, with one call at a time.
func (v *vault) serve(conn net.Conn) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	for {
		conn.SetReadDeadline(time.Now().Add(10 * time.Second))
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		v.mu.Lock()
		v.inHand++
		v.mu.Unlock()
		givenUp := v.wait(conn, r)
		if givenUp {
			time.Sleep(v.linger)
		}
		v.mu.Lock()
		v.inHand--
		v.served++
		v.mu.Unlock()
		if givenUp {
			return
		}
		reply := "reply to " + string(body)
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(reply), reply)
	}
}

// wait waits for the time that a call takes, and returns true if the call is given up before.
func (v *vault) wait(conn net.Conn, r *bufio.Reader) (givenUp bool) {
	conn.SetReadDeadline(time.Now().Add(v.latency))
	_, err := r.Peek(1)
	netErr, isNet := err.(net.Error)
	return err != nil && !(isNet && netErr.Timeout())
}
