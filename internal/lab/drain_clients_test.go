package lab

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/tidwall/redcon"

	"puffinsaddle/internal/clock"
)

const (
	maxOpenPerConnection = 32                    // requests, by the protocol
	reconnectInterval    = 50 * time.Millisecond // between two connections of a router
)

// soakRequest is one request of a client and the answers that it received.
type soakRequest struct {
	id           string
	sentMS       float64 // when its last byte was written, in Unix milliseconds
	afterClosing bool    // the client had read the closing message of the connection before
	endMS        float64 // when its connection ended, in Unix milliseconds
	answers      []string
}

// soakClients is the set of clients of one run and the requests that they sent.
type soakClients struct {
	clk  *clock.Clock
	seed uint64
	stop chan struct{} // closed after the kill: no further request is sent
	wait sync.WaitGroup

	mu          sync.Mutex
	requests    []*soakRequest
	unknownTags int // answers to tags that were never sent
}

func newSoakClients(seed uint64) *soakClients {
	return &soakClients{clk: clock.System(), seed: seed, stop: make(chan struct{})}
}

// add records a request that is about to be sent.
func (s *soakClients) add(id string) *soakRequest {
	q := &soakRequest{id: id}
	s.mu.Lock()
	s.requests = append(s.requests, q)
	s.mu.Unlock()
	return q
}

// unknownTag counts an answer to a tag that was never sent.
func (s *soakClients) unknownTag() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unknownTags++
}

func (s *soakClients) stopped() bool {
	select {
	case <-s.stop:
		return true
	default:
		return false
	}
}

// soakConn is one connection of a router. The requests of a connection are used by its reader and its sender.
type soakConn struct {
	clients *soakClients
	socket  net.Conn

	mu      sync.Mutex
	lastTag int
	open    int
	byTag   map[int]*soakRequest
	closing bool // the closing message was read
	leaving bool // the router closes the connection when everything on it has an answer
	ended   bool // nothing more is read or sent
}

// dial opens a connection of a router; nil if it is refused.
func (s *soakClients) dial(address string) *soakConn {
	socket, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil // proves that nothing ran
	}
	c := &soakConn{clients: s, socket: socket, byTag: map[int]*soakRequest{}}
	s.wait.Go(c.read)
	return c
}

// read records answers until the connection ends.
func (c *soakConn) read() {
	reader := bufio.NewReader(c.socket)
	for {
		words, err := readArray(reader)
		if err != nil || len(words) < 2 {
			break
		}
		tag, _ := strconv.Atoi(words[0])
		c.mu.Lock()
		q := c.byTag[tag]
		switch {
		case tag == 0:
			c.closing = true
		case q == nil:
			c.clients.unknownTag()
		default:
			q.answers = append(q.answers, words[1])
			c.open--
		}
		finished := c.leaving && c.open == 0
		c.mu.Unlock()
		if finished {
			break
		}
	}
	c.mu.Lock()
	c.ended = true
	endMS := c.clients.clk.Now()
	for _, q := range c.byTag {
		q.endMS = endMS
	}
	c.mu.Unlock()
	c.socket.Close()
}

// send sends one request, unless as many are open as the protocol admits. It reports false once the connection has ended.
func (c *soakConn) send(id, class string, waitMS float64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return false
	}
	if c.open >= maxOpenPerConnection {
		return true
	}
	c.lastTag++
	q := c.clients.add(id)
	q.afterClosing = c.closing
	fields := fmt.Sprintf("id=%s,at=%.0f,from=1,wait=%.0f,kb=10,rank=0.5", id, c.clients.clk.Now(), waitMS)
	b := redcon.AppendArray(nil, 5)
	for _, word := range []string{"REQ", strconv.Itoa(c.lastTag), class, fields, id} {
		b = redcon.AppendBulkString(b, word)
	}
	c.byTag[c.lastTag] = q
	c.open++
	if n, err := c.socket.Write(b); err != nil || n < len(b) {
		delete(c.byTag, c.lastTag) // never sent in full
		c.open--
		return false
	}
	q.sentMS = c.clients.clk.Now()
	return true
}

// leave reports whether the server asked for no more requests on the connection; the router then sends none, and closes
// it when everything on it has an answer.
func (c *soakConn) leave() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closing {
		return false
	}
	c.leaving = true
	if c.open == 0 {
		c.socket.Close()
	}
	return true
}

// runRouter sends requests at random intervals until the run ends or no connection is left. A router that reconnects opens
// a new connection when the server asks it to send no more on its present one; others keep using that one.
func (s *soakClients) runRouter(address string, number int, meanIntervalMS float64, reconnects bool) {
	rng := rand.New(rand.NewPCG(s.seed, uint64(number)))
	c := s.dial(address)
	for c != nil && !s.stopped() {
		class := readingClass
		if rng.Float64() < 0.5 {
			class = bookingClass
		}
		if !c.send(fmt.Sprintf("%016x", rng.Uint64()), class, 300+rng.Float64()*2500) {
			c = s.dial(address)
			continue
		}
		time.Sleep(clock.Duration(min(rng.ExpFloat64(), 4) * meanIntervalMS))
		if reconnects && c.leave() {
			time.Sleep(reconnectInterval)
			c = s.dial(address)
		}
	}
}

// runGateway sends one request on each of many connections. One request in four is never completed.
func (s *soakClients) runGateway(address string, number int, meanIntervalMS float64) {
	rng := rand.New(rand.NewPCG(s.seed, uint64(number)))
	for !s.stopped() {
		socket, err := net.DialTimeout("tcp", address, time.Second)
		if err != nil {
			return
		}
		id, partial := fmt.Sprintf("%016x", rng.Uint64()), rng.IntN(4) == 0
		s.wait.Go(func() { s.sendByGateway(socket, id, partial) })
		time.Sleep(clock.Duration(min(rng.ExpFloat64(), 4) * meanIntervalMS))
	}
}

// sendByGateway sends one request, or a part of one, and reads all responses.
func (s *soakClients) sendByGateway(socket net.Conn, id string, partial bool) {
	defer socket.Close()
	b := uwsgiPacket("ORDER_CLASS", bookingClass, "ORDER_ID", id)
	if partial {
		socket.Write(b[:len(b)/2])
		io.Copy(io.Discard, socket) // no request, so any response will do
		return
	}
	q := s.add(id)
	if n, err := socket.Write(b); err != nil || n < len(b) {
		return
	}
	q.sentMS = s.clk.Now()
	q.answers = readResponses(socket)
	q.endMS = s.clk.Now()
}

// readResponses reads responses until the connection ends, and returns one answer for each complete one. Bytes that are
// no complete response count as one more answer if a response came before them.
func readResponses(socket io.Reader) (answers []string) {
	reader := bufio.NewReader(socket)
	for {
		if _, err := reader.Peek(1); err != nil {
			return answers
		}
		response, err := http.ReadResponse(reader, nil)
		if err == nil {
			_, err = io.Copy(io.Discard, response.Body)
		}
		switch {
		case err == nil:
			answers = append(answers, map[int]string{http.StatusOK: "done", http.StatusServiceUnavailable: "later"}[response.StatusCode])
		case len(answers) > 0:
			return append(answers, "incomplete")
		default:
			return nil
		}
	}
}

// uwsgiPacket encodes a uwsgi packet with variables, given as names and values, and without a body.
func uwsgiPacket(vars ...string) []byte {
	var block []byte
	for _, v := range vars {
		block = binary.LittleEndian.AppendUint16(block, uint16(len(v)))
		block = append(block, v...)
	}
	header := binary.LittleEndian.AppendUint16([]byte{0}, uint16(len(block)))
	return append(append(header, 0), block...)
}
