package standin2

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	maxOpen    = 32                     // open requests on a connection
	crossTime  = 50 * time.Millisecond  // a request that crosses a close within it is sent once more
	rulesSlack = 110 * time.Millisecond // answerSlack of the settings, and what sockets add
)

// router stands in for a router: it opens connections as it needs them and sends requests on them.
type router struct {
	machine *machine
	address string
	number  int

	mu    sync.Mutex
	conns []*routerConn
	wait  sync.WaitGroup // for the ends of requests
}

// routerConn is one connection of a router.
type routerConn struct {
	router  *router
	conn    net.Conn
	tag     int              // the last one used
	open    map[int]*pending // by tag
	closing bool             // no new request is sent on it
}

// pending is a request without an answer.
type pending struct {
	request *request
	fields  string
	again   bool // it was sent a second time
	timer   *time.Timer
}

func newRouter(m *machine, address string, number int) *router {
	return &router{machine: m, address: address, number: number}
}

// send sends a request, whose answer has to come within the given time.
func (r *router) send(q *request, moreFields string, wait time.Duration) {
	at := time.Now()
	q.due = at.Add(wait)
	r.machine.add(q)
	r.wait.Add(1)
	fields := fmt.Sprintf("id=%s,at=%d,from=%d,wait=%d,kb=%.1f,rank=0.5%s", q.id, at.UnixMilli(), r.number, wait.Milliseconds(), q.kb, moreFields)
	go r.dispatch(&pending{request: q, fields: fields})
}

// dispatch writes a request to a connection that takes it, or to a new one.
func (r *router) dispatch(p *pending) {
	q := p.request
	r.mu.Lock()
	defer r.mu.Unlock()
	var c *routerConn
	for _, candidate := range r.conns {
		if !candidate.closing && len(candidate.open) < maxOpen {
			c = candidate
			break
		}
	}
	if c == nil {
		conn, err := net.DialTimeout("tcp", r.address, time.Second)
		if err != nil { // nothing ran
			r.machine.play.record("router %d: no connection for %s: %v", r.number, q.id, err)
			r.finish(p, "refused connection")
			return
		}
		c = &routerConn{router: r, conn: conn, open: map[int]*pending{}}
		r.conns = append(r.conns, c)
		go c.read()
	}
	c.tag++
	tag := c.tag
	c.open[tag] = p
	words := []string{"REQ", strconv.Itoa(tag), q.class, p.fields, q.body}
	var b strings.Builder
	fmt.Fprintf(&b, "*%d\r\n", len(words))
	for _, w := range words {
		fmt.Fprintf(&b, "$%d\r\n%s\r\n", len(w), w)
	}
	c.conn.SetWriteDeadline(time.Now().Add(time.Second))
	io.WriteString(c.conn, b.String())
	q.written = time.Now()
	p.timer = time.AfterFunc(time.Until(q.due.Add(rulesSlack)), func() { r.overdue(c, tag) })
}

// overdue ends a request that has no answer in its time.
func (r *router) overdue(c *routerConn, tag int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := c.open[tag]
	if p == nil {
		return
	}
	delete(c.open, tag)
	r.machine.play.record("router %d: %s %s has no answer %v after its due time", r.number, p.request.class, p.request.id, rulesSlack)
	r.finish(p, "")
}

// finish records the end of a request. The caller holds the lock.
func (r *router) finish(p *pending, word string) {
	if p.timer != nil {
		p.timer.Stop()
	}
	r.machine.mu.Lock()
	p.request.answer, p.request.over = word, true
	r.machine.mu.Unlock()
	r.wait.Done()
}

// read reads the answers on a connection.
func (c *routerConn) read() {
	defer c.end()
	reader := bufio.NewReader(c.conn)
	for {
		words, err := readArray(reader)
		if err != nil {
			return
		}
		if len(words) < 2 {
			return
		}
		tag, err := strconv.Atoi(words[0])
		if err != nil {
			return
		}
		c.router.mu.Lock()
		if tag == 0 {
			c.closing = true
		} else if p := c.open[tag]; p != nil {
			delete(c.open, tag)
			body := ""
			if len(words) > 3 {
				body = words[3]
			}
			c.router.machine.play.record("router %d: %s %s: answered %s %s %.40q", c.router.number, p.request.class, p.request.id, words[1], words[2], body)
			c.router.finish(p, words[1])
		}
		finished := c.closing && len(c.open) == 0
		c.router.mu.Unlock()
		if finished {
			return
		}
	}
}

// end removes a connection. A request that has just crossed the close is sent once more; the others on it are lost.
func (c *routerConn) end() {
	c.conn.Close()
	r := c.router
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conns = slices.DeleteFunc(r.conns, func(o *routerConn) bool { return o == c })
	c.closing = true
	for tag, p := range c.open {
		delete(c.open, tag)
		if !p.again && time.Since(p.request.written) <= crossTime {
			p.again = true
			p.timer.Stop()
			go r.dispatch(p)
			continue
		}
		r.machine.play.record("router %d: the connection ended without an answer to %s %s", r.number, p.request.class, p.request.id)
		r.finish(p, "")
	}
}

// readArray reads an array of bulk strings.
func readArray(r *bufio.Reader) ([]string, error) {
	count, err := readNumber(r, '*')
	if err != nil {
		return nil, err
	}
	var words []string
	for range count {
		size, err := readNumber(r, '$')
		if err != nil {
			return nil, err
		}
		b := make([]byte, size+2)
		if _, err := io.ReadFull(r, b); err != nil {
			return nil, err
		}
		words = append(words, string(b[:size]))
	}
	return words, nil
}

// readNumber reads a line with a count or a length.
func readNumber(r *bufio.Reader, kind byte) (int, error) {
	line, err := r.ReadString('\n')
	if err != nil {
		return 0, err
	}
	line = strings.TrimSuffix(strings.TrimSuffix(line, "\n"), "\r")
	if len(line) < 2 || line[0] != kind {
		return 0, fmt.Errorf("%q instead of %c and a number", line, kind)
	}
	n, err := strconv.Atoi(line[1:])
	if err != nil || n < 0 || n > 1<<20 {
		return 0, fmt.Errorf("%q is no number", line)
	}
	return n, nil
}
