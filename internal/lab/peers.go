package lab

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/tidwall/redcon"

	"puffinsaddle/internal/clock"
	"puffinsaddle/internal/trace"
)

// Classes of the load. Bookings are effects; a read whose downstream call is skipped has half of its worth.
const (
	bookingClass = "book-delivery"
	readingClass = "tank-level"
)

const attemptTime = 15 * time.Millisecond // duration of an attempt without its downstream call

// fakeExecutor is a fake of the executor of one order server: it runs requests and records every run of an effect. A new
// process of the server starts with no notices; runs that its predecessor started continue.
type fakeExecutor struct {
	ln        net.Listener
	name      string
	onEvent   func(trace.Event)
	bootState func() (cold bool, ageMs float64)
	onRun     func(id string)      // called with the id of each EXEC, if set
	neverEnds func(id string) bool // selects the runs that never end, if set

	mu           sync.Mutex
	conn         net.Conn
	noticeCount  int // number of notices sent to the current process
	notices      []string
	pendingCalls map[string]chan bool // runs that wait for their downstream call, by id
	generation   int                  // counts the processes that have joined
}

func newFakeExecutor(name string, onEvent func(trace.Event), bootState func() (bool, float64)) (*fakeExecutor, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	x := &fakeExecutor{ln: ln, name: name, onEvent: onEvent, bootState: bootState, pendingCalls: map[string]chan bool{}}
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

func (x *fakeExecutor) reply(conn net.Conn, format string, a ...any) {
	x.mu.Lock()
	defer x.mu.Unlock()
	fmt.Fprintf(conn, format+"\r\n", a...)
}

// notice sends a notice to the process of the given generation, unless a newer process has joined since.
func (x *fakeExecutor) notice(generation int, format string, a ...any) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if generation != x.generation {
		return
	}
	x.noticeCount++
	text := fmt.Sprintf(strings.Replace(format, "#", strconv.Itoa(x.noticeCount), 1), a...) + "\r\n"
	x.notices = append(x.notices, text)
	if x.conn != nil {
		io.WriteString(x.conn, text)
	}
}

// serve handles the lines of one connection from an order server.
func (x *fakeExecutor) serve(conn net.Conn) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	generation := 0
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		words := strings.Fields(line)
		if len(words) < 2 {
			return
		}
		var body []byte
		if words[0] == "EXEC" || words[0] == "RETURN" {
			n, _ := strconv.Atoi(words[len(words)-1])
			body = make([]byte, n+2)
			if _, err := io.ReadFull(r, body); err != nil {
				return
			}
			body = body[:n]
		}
		switch words[0] {
		case "JOIN":
			from, _ := strconv.Atoi(words[1])
			x.mu.Lock()
			if from == 0 {
				x.generation++
				x.noticeCount, x.notices = 0, nil
				for id, wait := range x.pendingCalls {
					close(wait)
					delete(x.pendingCalls, id)
				}
			}
			generation, x.conn = x.generation, conn
			cold, age := x.bootState()
			state := "steady"
			if cold {
				state = "booting"
			}
			fmt.Fprintf(conn, "WELCOME %s %.0f\r\n", state, age)
			for _, text := range x.notices[min(from, len(x.notices)):] {
				io.WriteString(conn, text)
			}
			x.mu.Unlock()
		case "METER":
			x.reply(conn, "METERS %s 0.2 0 0.1 1", words[1])
		case "DIAG":
			x.reply(conn, "DIAGNOSED %s success", words[1])
		case "EXEC":
			if words[2] == bookingClass {
				x.onEvent(trace.Event{What: trace.EffectExecuted, Who: x.name, Text: words[1]})
			}
			if x.onRun != nil {
				x.onRun(words[1])
			}
			if x.neverEnds == nil || !x.neverEnds(words[1]) {
				go x.execute(generation, words[1], words[2], body)
			}
		case "RETURN", "BYPASS":
			x.mu.Lock()
			if wait := x.pendingCalls[words[1]]; wait != nil {
				delete(x.pendingCalls, words[1])
				wait <- words[0] == "RETURN"
				close(wait)
			}
			x.mu.Unlock()
		}
	}
}

// execute does half of the work, waits for its one downstream call, and does the other half.
func (x *fakeExecutor) execute(generation int, id, class string, body []byte) {
	started := time.Now()
	time.Sleep(attemptTime / 2)
	prefix := "whole"
	callDone := make(chan bool, 1)
	x.mu.Lock()
	x.pendingCalls[id] = callDone
	x.mu.Unlock()
	x.notice(generation, "CALLOUT # %s %d\r\n%s", id, len(class), class)
	if called, ok := <-callDone; !ok {
		return // the process was replaced
	} else if !called {
		prefix = "part"
	}
	time.Sleep(attemptTime / 2)
	result := prefix + " " + string(body)
	x.notice(generation, "EXIT # %s success %d %d\r\n%s", id, time.Since(started).Milliseconds(), len(result), result)
}

// fakeVault is a fake of the vault that all servers share. It counts the calls, and slows down when more calls than slots are
// in flight.
type fakeVault struct {
	ln    net.Listener
	slots int

	mu             sync.Mutex
	inFlight       int
	maxInFlight    int
	calls          int
	callsOverSlots int // calls that found more calls in flight than slots
	slowdown       float64
	inFlightMS     float64 // integral of the calls in flight over time, in call ms
	changedAt      time.Time
	startedAt      time.Time
}

func newFakeVault(slots int) (*fakeVault, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	now := time.Now()
	v := &fakeVault{ln: ln, slots: slots, slowdown: 1, changedAt: now, startedAt: now}
	go http.Serve(ln, v)
	return v, nil
}

// addInFlight changes the number of calls in flight by n and returns the duration of a call under that load.
func (v *fakeVault) addInFlight(n int) (wait time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := time.Now()
	v.inFlightMS += float64(v.inFlight) * float64(now.Sub(v.changedAt)) / float64(time.Millisecond)
	v.changedAt = now
	v.inFlight += n
	if n > 0 {
		v.calls++
		if v.inFlight > v.slots {
			v.callsOverSlots++
		}
	}
	v.maxInFlight = max(v.maxInFlight, v.inFlight)
	load := max(float64(v.inFlight)/float64(v.slots), 1)
	return time.Duration(4 * v.slowdown * load * float64(time.Millisecond))
}

// setSlowdown multiplies the duration of calls by a factor.
func (v *fakeVault) setSlowdown(factor float64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.slowdown = factor
}

// ServeHTTP responds to a call after a delay that grows with the calls in flight.
func (v *fakeVault) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d := v.addInFlight(1)
	defer v.addInFlight(-1)
	io.Copy(io.Discard, r.Body)
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		io.WriteString(w, "ok")
	case <-r.Context().Done():
		// The caller has disconnected, but a vault completes the call nevertheless.
		<-t.C
	}
}

// Served counts the outcomes of the load's requests.
type Served struct {
	Sent     int     `json:"asked"`
	Full     int     `json:"full"` // served with the downstream call
	Part     int     `json:"part"` // served without it
	Refused  int     `json:"refused"`
	Failed   int     `json:"failed"`
	TimedOut int     `json:"none"`  // no response before the timeout
	Worth    float64 `json:"worth"` // worth served, as a fraction of the worth requested
}

var classWorth = map[string]float64{bookingClass: 4, readingClass: 1}

const (
	partialWorth     = 0.5
	requestTimeoutMS = 2000.0
)

// loadGenerator is an open-loop load generator. The send times are drawn independently of the responses, and latency is
// measured from the intended send time.
type loadGenerator struct {
	clk     *clock.Clock
	latency *hdrhistogram.Histogram

	mu              sync.Mutex
	served          Served
	worthSent       float64 // worth of all requests
	worthServed     float64
	clients         map[string]*loadClient
	latencyBySecond map[int]*hdrhistogram.Histogram // by second since startMS
	startMS         float64
}

func newLoadGenerator() *loadGenerator {
	clk := clock.System()
	return &loadGenerator{clk: clk, latency: hdrhistogram.New(1, 60_000_000, 3), clients: map[string]*loadClient{},
		latencyBySecond: map[int]*hdrhistogram.Histogram{}, startMS: clk.Now()}
}

// run sends perSecond requests per second on average to the addresses until stop is closed. The seed determines the requests.
func (g *loadGenerator) run(seed uint64, perSecond float64, addresses func() []string, stop <-chan struct{}) {
	rng := rand.New(rand.NewPCG(seed, 5))
	nextMS := g.clk.Now()
	for n := uint64(1); ; n++ {
		nextMS += rng.ExpFloat64() * 1000 / perSecond
		class := readingClass
		if rng.Float64() < 0.2 {
			class = bookingClass
		}
		id, skew := rng.Uint64(), rng.Float64()
		select {
		case <-stop:
			return
		default:
		}
		if d := nextMS - g.clk.Now(); d > 0 {
			t := time.NewTimer(clock.Duration(d))
			select {
			case <-stop:
				t.Stop()
				return
			case <-t.C:
			}
		}
		targets := addresses()
		if len(targets) == 0 {
			continue
		}
		address := targets[int(skew*skew*float64(len(targets)))] // uneven: some servers get far more requests than others
		g.send(address, class, id, nextMS)
	}
}

func (g *loadGenerator) send(address, class string, id uint64, intendedMS float64) {
	g.mu.Lock()
	g.served.Sent++
	g.worthSent += classWorth[class]
	client := g.clients[address]
	if client == nil {
		client = &loadClient{address: address}
		g.clients[address] = client
	}
	g.mu.Unlock()
	var once sync.Once
	onDone := func(verdict, body string) {
		once.Do(func() { g.record(class, verdict, body, intendedMS) })
	}
	time.AfterFunc(clock.Duration(intendedMS+requestTimeoutMS-g.clk.Now()), func() { onDone("none", "") })
	go func() {
		if !client.send(class, fmt.Sprintf("%016x", id), intendedMS, onDone) {
			onDone("failed", "")
		}
	}()
}

// record counts the outcome of a request.
func (g *loadGenerator) record(class, verdict, body string, intendedMS float64) {
	tookMS := g.clk.Now() - intendedMS
	g.mu.Lock()
	defer g.mu.Unlock()
	switch verdict {
	case "done":
		worth := classWorth[class]
		if strings.HasPrefix(body, "part") {
			g.served.Part++
			worth *= partialWorth
		} else {
			g.served.Full++
		}
		g.worthServed += worth
	case "later":
		g.served.Refused++
	case "none":
		g.served.TimedOut++
	default:
		g.served.Failed++
	}
	micros := int64(max(tookMS, 0.001) * 1000)
	g.latency.RecordValue(micros)
	second := int((intendedMS - g.startMS) / 1000)
	h := g.latencyBySecond[second]
	if h == nil {
		h = hdrhistogram.New(1, 60_000_000, 2)
		g.latencyBySecond[second] = h
	}
	h.RecordValue(micros)
}

// summary returns the outcomes with the fraction of the worth served.
func (g *loadGenerator) summary() Served {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.served
	if g.worthSent > 0 {
		s.Worth = g.worthServed / g.worthSent
	}
	return s
}

// loadClient keeps one connection to one order server, and opens a new one when it has ended or the server asked to close it.
type loadClient struct {
	address string
	mu      sync.Mutex
	conn    *clientConn
}

// clientConn is one connection. It is read until the server closes it.
type clientConn struct {
	socket  net.Conn
	mu      sync.Mutex
	tag     int
	pending map[int]func(verdict, body string)
}

// send sends a request and reports whether it was written; onDone is called with the response.
func (c *loadClient) send(class, id string, atMS float64, onDone func(string, string)) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.address, time.Second)
		if err != nil {
			return false
		}
		c.conn = &clientConn{socket: conn, pending: map[int]func(string, string){}}
		go c.read(c.conn)
	}
	conn := c.conn
	conn.mu.Lock()
	conn.tag++
	tag := conn.tag
	conn.pending[tag] = onDone
	conn.mu.Unlock()
	fields := fmt.Sprintf("id=%s,at=%.0f,from=1,wait=%.0f,kb=10,rank=0.5", id, atMS, requestTimeoutMS)
	b := redcon.AppendArray(nil, 5)
	for _, word := range []string{"REQ", strconv.Itoa(tag), class, fields, id} {
		b = redcon.AppendBulkString(b, word)
	}
	conn.socket.SetWriteDeadline(time.Now().Add(time.Second))
	if _, err := conn.socket.Write(b); err != nil {
		conn.socket.Close()
		c.conn = nil
		return false
	}
	return true
}

// drop makes the next request open a new connection.
func (c *loadClient) drop(conn *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn == conn {
		c.conn = nil
	}
}

func (c *loadClient) read(conn *clientConn) {
	defer conn.socket.Close()
	defer c.drop(conn)
	reader := bufio.NewReader(conn.socket)
	for {
		words, err := readArray(reader)
		if err != nil || len(words) < 2 {
			return
		}
		if words[0] == "0" {
			c.drop(conn)
			continue
		}
		tag, _ := strconv.Atoi(words[0])
		body := ""
		if len(words) > 3 {
			body = words[3]
		}
		conn.mu.Lock()
		onDone := conn.pending[tag]
		delete(conn.pending, tag)
		conn.mu.Unlock()
		if onDone != nil {
			onDone(words[1], body)
		}
	}
}

// readArray reads one RESP array of bulk strings.
func readArray(r *bufio.Reader) ([]string, error) {
	head, err := r.ReadString('\n')
	if err != nil || head[0] != '*' {
		return nil, fmt.Errorf("lab: want a RESP array, got %q, %v", head, err)
	}
	n, err := strconv.Atoi(strings.TrimSpace(head[1:]))
	if err != nil {
		return nil, err
	}
	words := make([]string, n)
	for i := range words {
		if head, err = r.ReadString('\n'); err != nil {
			return nil, err
		}
		size, err := strconv.Atoi(strings.TrimSpace(head[1:]))
		if err != nil {
			return nil, err
		}
		b := make([]byte, size+2)
		if _, err := io.ReadFull(r, b); err != nil {
			return nil, err
		}
		words[i] = string(bytes.TrimSuffix(b, []byte("\r\n")))
	}
	return words, nil
}
