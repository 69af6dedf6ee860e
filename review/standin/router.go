package standin

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Request is one try of a request, as a router sends it.
type Request struct {
	ID     string
	Class  string
	AtMS   float64 // when it was written, in Unix milliseconds
	WaitMS float64 // how long the router waits from then
	Once   string
	Key    string
	Retry  bool
	Body   string
}

// NewID returns 16 hexadecimal digits.
func NewID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// Answer is a router's view of the end of a try.
type Answer struct {
	Word   string // done, later, another word, or empty if the connection ended without an answer
	Fields string
	Body   string
	AtMS   float64
}

// Conn is one connection of a router.
type Conn struct {
	nc net.Conn

	mu      sync.Mutex
	tag     uint64
	open    map[uint64]func(Answer)
	closing bool
	ended   bool
}

// Dial opens a router's connection.
func Dial(address string) (*Conn, error) {
	nc, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	c := &Conn{nc: nc, open: map[uint64]func(Answer){}}
	go c.readLoop()
	return c, nil
}

// Usable reports whether the router may send a new request on the connection.
func (c *Conn) Usable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.closing && !c.ended && len(c.open) < 32
}

// Close closes the connection.
func (c *Conn) Close() { c.nc.Close() }

// Send writes a try and calls back once with its answer, or with an empty one when the connection ends.
func (c *Conn) Send(q *Request, answered func(Answer)) (tag uint64, err error) {
	fields := fmt.Sprintf("id=%s,at=%d,from=4,kb=24.5,rank=0.6250", q.ID, int64(UnixMS()))
	if q.WaitMS > 0 {
		fields += fmt.Sprintf(",wait=%d", int64(q.WaitMS))
	}
	if q.Once != "" {
		fields += ",once=" + q.Once
	}
	if q.Key != "" {
		fields += ",key=" + q.Key
	}
	if q.Retry {
		fields += ",retry=1"
	}
	c.mu.Lock()
	if c.ended {
		c.mu.Unlock()
		return 0, net.ErrClosed
	}
	c.tag++
	tag = c.tag
	c.open[tag] = answered
	c.mu.Unlock()
	q.AtMS = UnixMS()
	_, err = io.WriteString(c.nc, array("REQ", strconv.FormatUint(tag, 10), q.Class, fields, q.Body))
	return tag, err
}

// Abort takes a try back.
func (c *Conn) Abort(tag uint64) {
	c.mu.Lock()
	delete(c.open, tag)
	c.mu.Unlock()
	io.WriteString(c.nc, array("ABORT", strconv.FormatUint(tag, 10)))
}

// Health makes a health check and calls back with whether it was good.
func (c *Conn) Health(answered func(Answer)) error {
	c.mu.Lock()
	c.tag++
	tag := c.tag
	c.open[tag] = answered
	c.mu.Unlock()
	_, err := io.WriteString(c.nc, array("HEALTH", strconv.FormatUint(tag, 10), "deep=0"))
	return err
}

func array(words ...string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "*%d\r\n", len(words))
	for _, w := range words {
		fmt.Fprintf(&b, "$%d\r\n%s\r\n", len(w), w)
	}
	return b.String()
}

func readArray(r *bufio.Reader) ([]string, error) {
	number := func(kind byte) (int, error) {
		line, err := r.ReadString('\n')
		if err != nil {
			return 0, err
		}
		if len(line) < 3 || line[0] != kind {
			return 0, fmt.Errorf("unexpected line %q", line)
		}
		return strconv.Atoi(strings.TrimSpace(line[1:]))
	}
	n, err := number('*')
	if err != nil {
		return nil, err
	}
	var words []string
	for range n {
		size, err := number('$')
		if err != nil {
			return nil, err
		}
		if size < 0 {
			words = append(words, "")
			continue
		}
		b := make([]byte, size+2)
		if _, err := io.ReadFull(r, b); err != nil {
			return nil, err
		}
		words = append(words, string(b[:size]))
	}
	return words, nil
}

func (c *Conn) readLoop() {
	defer c.nc.Close()
	r := bufio.NewReader(c.nc)
	for {
		words, err := readArray(r)
		if err != nil || len(words) < 2 {
			break
		}
		now := UnixMS()
		tag, err := strconv.ParseUint(words[0], 10, 64)
		if err != nil {
			break
		}
		if tag == 0 {
			c.mu.Lock()
			c.closing = true
			c.mu.Unlock()
			continue
		}
		words = append(words, "", "")
		c.mu.Lock()
		answered := c.open[tag]
		delete(c.open, tag)
		c.mu.Unlock()
		if answered != nil {
			answered(Answer{Word: words[1], Fields: words[2], Body: words[3], AtMS: now})
		}
	}
	c.mu.Lock()
	c.ended = true
	open := c.open
	c.open = map[uint64]func(Answer){}
	c.mu.Unlock()
	now := UnixMS()
	for _, answered := range open {
		answered(Answer{AtMS: now})
	}
}
