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
	booking = "book-delivery"
	reading = "tank-level"
)

const workFor = 15 * time.Millisecond // duration of an attempt without its downstream call

// executor is a fake of the executor of one order server: it runs requests and records every run of an effect. A new process
// of the server starts with no notices; runs that its predecessor started continue.
type executor struct {
	ln    net.Listener
	name  string
	steps func(trace.Event)
	boot  func() (cold bool, ageMs float64)

	mu      sync.Mutex
	conn    net.Conn
	n       int // notices sent to the present process
	notices []string
	waits   map[string]chan bool // runs that wait for their downstream call, by id
	life    int
}

func newExecutor(name string, steps func(trace.Event), boot func() (bool, float64)) (*executor, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	x := &executor{ln: ln, name: name, steps: steps, boot: boot, waits: map[string]chan bool{}}
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

func (x *executor) say(conn net.Conn, format string, a ...any) {
	x.mu.Lock()
	defer x.mu.Unlock()
	fmt.Fprintf(conn, format+"\r\n", a...)
}

// notice sends a notice to the process of the given life, unless a newer process has linked since.
func (x *executor) notice(life int, format string, a ...any) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if life != x.life {
		return
	}
	x.n++
	text := fmt.Sprintf(strings.Replace(format, "#", strconv.Itoa(x.n), 1), a...) + "\r\n"
	x.notices = append(x.notices, text)
	if x.conn != nil {
		io.WriteString(x.conn, text)
	}
}

func (x *executor) serve(conn net.Conn) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	life := 0
	for {
		lineText, err := r.ReadString('\n')
		if err != nil {
			return
		}
		w := strings.Fields(lineText)
		if len(w) < 2 {
			return
		}
		var body []byte
		if w[0] == "EXEC" || w[0] == "RETURN" {
			n, _ := strconv.Atoi(w[len(w)-1])
			body = make([]byte, n+2)
			if _, err := io.ReadFull(r, body); err != nil {
				return
			}
			body = body[:n]
		}
		switch w[0] {
		case "JOIN":
			from, _ := strconv.Atoi(w[1])
			x.mu.Lock()
			if from == 0 {
				x.life++
				x.n, x.notices = 0, nil
				for id, wait := range x.waits {
					close(wait)
					delete(x.waits, id)
				}
			}
			life, x.conn = x.life, conn
			cold, age := x.boot()
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
			x.say(conn, "METERS %s 0.2 0 0.1 1", w[1])
		case "DIAG":
			x.say(conn, "DIAGNOSED %s success", w[1])
		case "EXEC":
			if w[2] == booking {
				x.steps(trace.Event{What: trace.Exec, Who: x.name, Text: w[1]})
			}
			go x.run(life, w[1], w[2], body)
		case "RETURN", "BYPASS":
			x.mu.Lock()
			if wait := x.waits[w[1]]; wait != nil {
				delete(x.waits, w[1])
				wait <- w[0] == "RETURN"
				close(wait)
			}
			x.mu.Unlock()
		}
	}
}

// run does half of the work, waits for its one downstream call, and does the other half.
func (x *executor) run(life int, id, class string, body []byte) {
	begun := time.Now()
	time.Sleep(workFor / 2)
	whole := "whole"
	wait := make(chan bool, 1)
	x.mu.Lock()
	x.waits[id] = wait
	x.mu.Unlock()
	x.notice(life, "CALLOUT # %s %d\r\n%s", id, len(class), class)
	if called, ok := <-wait; !ok {
		return // the process was replaced
	} else if !called {
		whole = "part"
	}
	time.Sleep(workFor / 2)
	result := whole + " " + string(body)
	x.notice(life, "EXIT # %s success %d %d\r\n%s", id, time.Since(begun).Milliseconds(), len(result), result)
}

// vault is a fake of the vault that all servers share: it slows down when more calls than slots are in flight, and counts them.
type vault struct {
	ln    net.Listener
	slots int

	mu     sync.Mutex
	inHand int
	most   int
	calls  int
	over   int // calls that found more calls in flight than slots
	slow   float64
	area   float64 // integral of the calls in flight over time, in call ms
	since  time.Time
	begun  time.Time
}

func newVault(slots int) (*vault, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	now := time.Now()
	v := &vault{ln: ln, slots: slots, slow: 1, since: now, begun: now}
	go http.Serve(ln, v)
	return v, nil
}

func (v *vault) count(n int) (wait time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := time.Now()
	v.area += float64(v.inHand) * float64(now.Sub(v.since)) / float64(time.Millisecond)
	v.since = now
	v.inHand += n
	if n > 0 {
		v.calls++
		if v.inHand > v.slots {
			v.over++
		}
	}
	v.most = max(v.most, v.inHand)
	crowd := max(float64(v.inHand)/float64(v.slots), 1)
	return time.Duration(4 * v.slow * crowd * float64(time.Millisecond))
}

func (v *vault) slower(by float64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.slow = by
}

// ServeHTTP responds to a call after a delay that grows with the calls in flight.
func (v *vault) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d := v.count(1)
	defer v.count(-1)
	io.Copy(io.Discard, r.Body)
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		io.WriteString(w, "ok")
	case <-r.Context().Done():
		// The caller has gone; the work of a vault continues all the same.
		<-t.C
	}
}

// Served counts the outcomes of the load's requests.
type Served struct {
	Asked   int     `json:"asked"`
	Full    int     `json:"full"` // served with the downstream call
	Part    int     `json:"part"` // served without it
	Refused int     `json:"refused"`
	Failed  int     `json:"failed"`
	None    int     `json:"none"`  // no response before the timeout
	Worth   float64 `json:"worth"` // worth served, as a fraction of the worth requested
}

var worths = map[string]float64{booking: 4, reading: 1}

const (
	partWorth = 0.5
	waitMs    = 2000.0
)

// routers is an open-loop load generator: the send times are drawn independently of the responses, and latency counts from
// the intended send time.
type routers struct {
	clk  *clock.Clock
	hist *hdrhistogram.Histogram

	mu     sync.Mutex
	of     Served
	asked  float64 // worth of all requests
	got    float64 // worth served
	conns  map[string]*router
	series map[int]*hdrhistogram.Histogram // latency by second of the run
	begun  float64
}

func newRouters() *routers {
	clk := clock.System()
	return &routers{clk: clk, hist: hdrhistogram.New(1, 60_000_000, 3), conns: map[string]*router{},
		series: map[int]*hdrhistogram.Histogram{}, begun: clk.Now()}
}

// run sends perSecond requests per second on average to the addresses until stop is closed. The seed determines the requests.
func (q *routers) run(seed uint64, perSecond float64, addresses func() []string, stop <-chan struct{}) {
	rng := rand.New(rand.NewPCG(seed, 5))
	next := q.clk.Now()
	for n := uint64(1); ; n++ {
		next += rng.ExpFloat64() * 1000 / perSecond
		class := reading
		if rng.Float64() < 0.2 {
			class = booking
		}
		id, skew := rng.Uint64(), rng.Float64()
		select {
		case <-stop:
			return
		default:
		}
		if d := next - q.clk.Now(); d > 0 {
			t := time.NewTimer(clock.Duration(d))
			select {
			case <-stop:
				t.Stop()
				return
			case <-t.C:
			}
		}
		to := addresses()
		if len(to) == 0 {
			continue
		}
		at := to[int(skew*skew*float64(len(to)))] // uneven: some servers get far more requests than others
		q.send(at, class, id, next)
	}
}

func (q *routers) send(at, class string, id uint64, intended float64) {
	q.mu.Lock()
	q.of.Asked++
	q.asked += worths[class]
	r := q.conns[at]
	if r == nil {
		r = &router{to: at}
		q.conns[at] = r
	}
	q.mu.Unlock()
	var once sync.Once
	end := func(verdict, body string) {
		once.Do(func() { q.book(class, verdict, body, intended) })
	}
	time.AfterFunc(clock.Duration(intended+waitMs-q.clk.Now()), func() { end("none", "") })
	go func() {
		if !r.ask(class, fmt.Sprintf("%016x", id), intended, end) {
			end("failed", "")
		}
	}()
}

func (q *routers) book(class, verdict, body string, intended float64) {
	took := q.clk.Now() - intended
	q.mu.Lock()
	defer q.mu.Unlock()
	switch verdict {
	case "done":
		w := worths[class]
		if strings.HasPrefix(body, "part") {
			q.of.Part++
			w *= partWorth
		} else {
			q.of.Full++
		}
		q.got += w
	case "later":
		q.of.Refused++
	case "none":
		q.of.None++
	default:
		q.of.Failed++
	}
	us := int64(max(took, 0.001) * 1000)
	q.hist.RecordValue(us)
	s := int((intended - q.begun) / 1000)
	h := q.series[s]
	if h == nil {
		h = hdrhistogram.New(1, 60_000_000, 2)
		q.series[s] = h
	}
	h.RecordValue(us)
}

func (q *routers) served() Served {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.of
	if q.asked > 0 {
		s.Worth = q.got / q.asked
	}
	return s
}

// router keeps one connection to one order server, and opens a new one when it has ended or the server asked to close it.
type router struct {
	to  string
	mu  sync.Mutex
	now *wire
}

// wire is one connection. It is read until the server closes it.
type wire struct {
	conn  net.Conn
	mu    sync.Mutex
	tag   int
	waits map[int]func(verdict, body string)
}

// ask sends a request and reports whether it was written; end is called with the response.
func (r *router) ask(class, id string, at float64, end func(string, string)) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.now == nil {
		conn, err := net.DialTimeout("tcp", r.to, time.Second)
		if err != nil {
			return false
		}
		r.now = &wire{conn: conn, waits: map[int]func(string, string){}}
		go r.read(r.now)
	}
	w := r.now
	w.mu.Lock()
	w.tag++
	tag := w.tag
	w.waits[tag] = end
	w.mu.Unlock()
	fields := fmt.Sprintf("id=%s,at=%.0f,from=1,wait=%.0f,kb=10,rank=0.5", id, at, waitMs)
	b := redcon.AppendArray(nil, 5)
	for _, word := range []string{"REQ", strconv.Itoa(tag), class, fields, id} {
		b = redcon.AppendBulkString(b, word)
	}
	w.conn.SetWriteDeadline(time.Now().Add(time.Second))
	if _, err := w.conn.Write(b); err != nil {
		w.conn.Close()
		r.now = nil
		return false
	}
	return true
}

// drop makes the next request open a new connection.
func (r *router) drop(w *wire) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.now == w {
		r.now = nil
	}
}

func (r *router) read(w *wire) {
	defer w.conn.Close()
	defer r.drop(w)
	in := bufio.NewReader(w.conn)
	for {
		words, err := array(in)
		if err != nil || len(words) < 2 {
			return
		}
		if words[0] == "0" {
			r.drop(w)
			continue
		}
		tag, _ := strconv.Atoi(words[0])
		body := ""
		if len(words) > 3 {
			body = words[3]
		}
		w.mu.Lock()
		end := w.waits[tag]
		delete(w.waits, tag)
		w.mu.Unlock()
		if end != nil {
			end(words[1], body)
		}
	}
}

// array reads one RESP array of bulk strings.
func array(r *bufio.Reader) ([]string, error) {
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
