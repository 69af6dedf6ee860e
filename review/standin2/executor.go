package standin2

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

// keptNotices is the number of notices that an executor keeps for a new link.
const keptNotices = 4000

// executor stands in for the executor of one process of an order server: it runs requests on a machine and numbers its notices.
type executor struct {
	machine *machine
	ln      net.Listener
	started time.Time

	mu      sync.Mutex
	conn    net.Conn                 // the present link
	notices []string                 // the last ones
	last    int                      // number of the last notice
	calls   map[string]chan struct{} // by the id of the request whose run waits; receives once the run goes on
}

// newExecutor listens on a free address.
func newExecutor(m *machine) (*executor, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &executor{machine: m, ln: ln, started: time.Now().Add(-time.Minute), calls: map[string]chan struct{}{}}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go e.serve(conn)
		}
	}()
	return e, nil
}

func (e *executor) addr() string { return e.ln.Addr().String() }

// send writes on the present link, if there is one. The caller holds the lock.
func (e *executor) send(text string) {
	if e.conn != nil {
		e.conn.SetWriteDeadline(time.Now().Add(2 * time.Second))
		io.WriteString(e.conn, text)
	}
}

// notify numbers a notice, keeps it and sends it. The format's first verb takes the number.
func (e *executor) notify(format string, a ...any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.last++
	text := fmt.Sprintf(format, append([]any{e.last}, a...)...)
	if e.notices = append(e.notices, text); len(e.notices) > keptNotices {
		e.notices = e.notices[1:]
	}
	e.send(text)
}

// answer sends what has no number.
func (e *executor) answer(format string, a ...any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.send(fmt.Sprintf(format, a...))
}

// serve serves one link.
func (e *executor) serve(conn net.Conn) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		words := strings.Fields(line)
		if len(words) == 0 {
			return
		}
		body := "" // of a request; the reply to a call changes nothing here
		if words[0] == "EXEC" || words[0] == "RETURN" {
			n, err := strconv.Atoi(words[len(words)-1])
			if err != nil || n < 0 || n > 1<<20 {
				return
			}
			b := make([]byte, n+2)
			if _, err := io.ReadFull(r, b); err != nil {
				return
			}
			body = string(b[:n])
		}
		switch {
		case words[0] == "JOIN" && len(words) == 2:
			read, err := strconv.Atoi(words[1])
			if err != nil {
				return
			}
			e.join(conn, read)
		case words[0] == "EXEC" && len(words) == 4:
			e.exec(words[1], words[2], body)
		case words[0] == "RETURN" && len(words) == 3:
			e.resume(words[1])
		case words[0] == "BYPASS" && len(words) == 3:
			e.resume(words[1])
		case words[0] == "METER" && len(words) == 2:
			e.answer("METERS %s %s\r\n", words[1], e.machine.gauges())
		case words[0] == "DIAG" && len(words) == 2:
			e.answer("DIAGNOSED %s success\r\n", words[1])
		default:
			return
		}
	}
}

// join makes a connection the link and sends all notices after the last that was read.
func (e *executor) join(conn net.Conn, read int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.conn != nil && e.conn != conn {
		e.conn.Close()
	}
	e.conn = conn
	e.send(fmt.Sprintf("WELCOME steady %d\r\n", time.Since(e.started).Milliseconds()))
	first := e.last - len(e.notices) + 1
	for i, notice := range e.notices {
		if first+i > read {
			e.send(notice)
		}
	}
}

// exec runs a request.
func (e *executor) exec(id, class, body string) {
	r, started, err := e.machine.begin(id, class, body)
	switch {
	case err != nil:
		e.answer("BAD EXEC %s\r\n", id)
		e.machine.play.record("executor: turned down EXEC %s %s: %v", id, class, err)
	case started:
		e.machine.play.record("executor: runs %s %s", class, id)
		go e.run(r)
	default:
		if running, _ := e.machine.state(r); !running {
			e.notify("EXIT %d %s nothing 0 0\r\n\r\n", id)
		}
	}
}

// run runs a request to its end.
func (e *executor) run(r *request) {
	began := time.Now()
	end, text := "success", e.machine.result(r)
	for i, s := range e.machine.plan(r) {
		if s.work > 0 {
			e.machine.compute(s.work)
		}
		if s.call && !e.call(r, i) {
			end, text = "interrupted", ""
			break
		}
	}
	e.machine.end(r)
	e.notify("EXIT %d %s %s %d %d\r\n%s\r\n", r.id, end, time.Since(began).Milliseconds(), len(text), text)
}

// call makes a run wait for a call, and returns false if its request is over before the call has a reply.
func (e *executor) call(r *request, number int) bool {
	replied := make(chan struct{}, 1)
	e.mu.Lock()
	e.calls[r.id] = replied
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		delete(e.calls, r.id)
		e.mu.Unlock()
	}()
	body := fmt.Sprintf("call %d of %s", number, r.id)
	e.notify("CALLOUT %d %s %d\r\n%s\r\n", r.id, len(body), body)
	for {
		select {
		case <-replied:
			return true
		case <-time.After(10 * time.Millisecond):
			if _, over := e.machine.state(r); over {
				return false
			}
		}
	}
}

// resume lets the run of a request go on that waits for a call, with the reply or without one.
func (e *executor) resume(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if replied := e.calls[id]; replied != nil {
		select {
		case replied <- struct{}{}:
		default:
		}
	}
}
