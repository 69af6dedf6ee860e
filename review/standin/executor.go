package standin

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Executor is a stand-in for the executor of one order server. It runs each request for a given time and answers with a result.
type Executor struct {
	// OnRun is called at the start of each run and returns how long it takes and its result.
	OnRun func(id, class string, body []byte) (time.Duration, []byte)
	// Knows reports whether a request came to the order server from one of its routers. If Knows is nil, all did.
	Knows func(id string) bool

	ln    net.Listener
	start time.Time

	mu      sync.Mutex
	conn    net.Conn
	notices []string
	running map[string]bool
	ended   map[string]bool
}

// NewExecutor starts an executor on a free loopback address.
func NewExecutor(onRun func(id, class string, body []byte) (time.Duration, []byte)) (*Executor, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	x := &Executor{OnRun: onRun, ln: ln, start: time.Now().Add(-time.Minute), running: map[string]bool{}, ended: map[string]bool{}}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go x.serve(conn)
		}
	}()
	return x, nil
}

// Addr returns the executor's address.
func (x *Executor) Addr() string { return x.ln.Addr().String() }

func (x *Executor) serve(conn net.Conn) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		words := strings.Fields(line)
		switch {
		case len(words) == 2 && words[0] == "JOIN":
			n, err := strconv.Atoi(words[1])
			x.mu.Lock()
			if err != nil || n > len(x.notices) {
				x.mu.Unlock()
				return
			}
			if x.conn != nil {
				x.conn.Close()
			}
			x.conn = conn
			if n == 0 { // a new process: its notices are numbered from 1
				x.notices = nil
			}
			fmt.Fprintf(conn, "WELCOME steady %d\r\n", time.Since(x.start).Milliseconds())
			for _, notice := range x.notices[n:] {
				io.WriteString(conn, notice)
			}
			x.mu.Unlock()
		case len(words) == 4 && words[0] == "EXEC":
			n, err := strconv.Atoi(words[3])
			if err != nil || n < 0 || n > 1<<20 {
				return
			}
			body := make([]byte, n+2)
			if _, err := io.ReadFull(r, body); err != nil {
				return
			}
			x.exec(words[1], words[2], body[:n])
		case len(words) == 2 && words[0] == "METER":
			x.mu.Lock()
			busy := min(float64(len(x.running))/12, 1) // a run waits for the disk half of its time
			fmt.Fprintf(conn, "METERS %s %.3f %d %.3f %d\r\n", words[1], busy, len(x.running)/2, 0.1, 10)
			x.mu.Unlock()
		case len(words) == 2 && words[0] == "DIAG":
			x.mu.Lock()
			fmt.Fprintf(conn, "DIAGNOSED %s success\r\n", words[1])
			x.mu.Unlock()
		default:
			return
		}
	}
}

func (x *Executor) exec(id, class string, body []byte) {
	x.mu.Lock()
	if x.Knows != nil && !x.Knows(id) {
		if x.conn != nil {
			fmt.Fprintf(x.conn, "BAD EXEC %s\r\n", id)
		}
		x.mu.Unlock()
		return
	}
	if x.running[id] {
		x.mu.Unlock()
		return
	}
	x.running[id] = true
	x.mu.Unlock()
	took, result := x.OnRun(id, class, body)
	time.AfterFunc(took, func() {
		x.mu.Lock()
		defer x.mu.Unlock()
		delete(x.running, id)
		notice := fmt.Sprintf("EXIT %d %s success %d %d\r\n%s\r\n", len(x.notices)+1, id, took.Milliseconds(), len(result), result)
		x.notices = append(x.notices, notice)
		if x.conn != nil {
			io.WriteString(x.conn, notice)
		}
	})
}
