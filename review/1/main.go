// Command 1 is a case of the review: while a process replaces another one, the replaced one turns away a keyed request that the
// new one has run, and the request then runs at a second order server too.
package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"puffinsaddle/review/standin"
)

const (
	acceptsPerS = 10
	load        = 78 * time.Second
	releases    = 8 // each replaces the process of n1
	firstAt     = 4 * time.Second
	releaseGap  = 9 * time.Second
	readyEvery  = time.Second            // between two questions of the platform whether the new process can serve
	runTime     = time.Second            // work and waits of an accept
	routerCount = 100                    // most carry little traffic
	routerWait  = 250 * time.Millisecond // some routers wait briefly and try often
	idleAfter   = 3 * time.Second        // routers close connections that were idle for some seconds
	marginMS    = 50                     // of the rules on sockets
)

// site has the keyed class of the second deployment, whose keys take a fifth of the memory at this load.
var site = standin.Site{Servers: 2, Cores: 6, FreshMS: 0, EntryKB: 7.5, Classes: []standin.Class{
	{Name: "indicative", AimMS: 1800, DeadlineMS: 6100, Worth: 1, Idempotency: "safe"},
	{Name: "accept", AimMS: 4600, DeadlineMS: 12000, Worth: 5, Idempotency: "keyed", KeyTTLMS: 36726}}}

// runAt is one run of a request.
type runAt struct {
	server string
	atMS   float64
}

type test struct {
	*standin.Platform

	mu       sync.Mutex
	runs     map[string][]runAt // by once
	onceByID map[string]string
	refused  []string // what was turned away after it had run
	answers  map[string]int
	tries    int
}

func main() {
	standin.Main(115*time.Second, func(p *standin.Platform) (int, error) {
		t := &test{Platform: p, runs: map[string][]runAt{}, onceByID: map[string]string{}, answers: map[string]int{}}
		return t.play()
	})
}

// newServer returns an order server that is not started yet, with an executor address of its own.
func (t *test) newServer(name, process, listen, tmp string) (*standin.Server, error) {
	x, err := standin.NewExecutor(func(id, class string, _ []byte) (time.Duration, []byte) {
		t.mu.Lock()
		once := t.onceByID[id]
		t.runs[once] = append(t.runs[once], runAt{name, standin.UnixMS()})
		t.mu.Unlock()
		t.Record.Line("run     %s %s %s once=%s", process, id, class, once)
		return runTime, []byte("lease of " + once)
	})
	if err != nil {
		return nil, err
	}
	s := &standin.Server{Name: name, Executor: x.Addr(), Listen: listen, StopMS: 3700, Site: site, TmpDir: tmp}
	if listen == "" {
		if s.Listen, err = standin.FreeAddress(); err != nil {
			return nil, err
		}
	}
	s.OperatorAt, err = standin.FreeAddress()
	return s, err
}

func (t *test) play() (status int, err error) {
	var first, other *standin.Server
	for i, name := range []string{"n1", "n2"} {
		tmp := filepath.Join(t.Dir, name)
		if err := os.Mkdir(tmp, 0o755); err != nil {
			return 0, err
		}
		s, err := t.newServer(name, name+"-1", "", tmp)
		if err != nil {
			return 0, err
		}
		if err := t.Start(s); err != nil {
			return 0, err
		}
		if !standin.Await(20*time.Second, 50*time.Millisecond, s.Ready) {
			return 0, errors.New(name + " is not ready")
		}
		if i == 0 {
			first = s
		} else {
			other = s
		}
	}
	replaced := make(chan error, 1)
	go func() { replaced <- t.release(first) }()
	t.sendLoad(first, other)
	if err := <-replaced; err != nil {
		return 0, err
	}
	return t.judge(), nil
}

// release replaces the process of n1 several times, one after the other.
func (t *test) release(current *standin.Server) error {
	if !standin.Trouble() {
		return nil
	}
	time.Sleep(firstAt)
	for n := range releases {
		next, err := t.replace(current, fmt.Sprintf("n1-%d", n+2))
		if err != nil {
			return err
		}
		current = next
		time.Sleep(releaseGap - readyEvery)
	}
	return nil
}

// replace starts a second process of an order server, and ends the first one once the second one says yes.
func (t *test) replace(old *standin.Server, process string) (*standin.Server, error) {
	s, err := t.newServer(old.Name, process, old.Listen, old.TmpDir)
	if err != nil {
		return nil, err
	}
	if err := t.Start(s); err != nil {
		return nil, err
	}
	t.Record.Say("%s starts beside the running process", process)
	if !standin.Await(6*time.Second, readyEvery, s.Ready) {
		return nil, errors.New("the new process does not say yes within 6 s")
	}
	t.Record.Say("%s says yes; SIGTERM to the old process", process)
	old.Signal(syscall.SIGTERM)
	if !old.AwaitExit(3700 * time.Millisecond) {
		t.Record.Say("SIGKILL to the old process")
		old.Kill()
	}
	t.Record.Say("the old process has ended")
	return s, nil
}

// pool is one router's connections to one order server. Each carries one request at a time.
type pool struct {
	address string
	mu      sync.Mutex
	idle    []*pooled
}

type pooled struct {
	*standin.Conn
	since time.Time
}

// take returns a random idle connection, or a new one.
func (p *pool) take() (*standin.Conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var usable []*pooled
	for _, c := range p.idle {
		if c.Usable() && time.Since(c.since) < idleAfter {
			usable = append(usable, c)
			continue
		}
		c.Close()
	}
	p.idle = usable
	if len(usable) == 0 {
		return standin.Dial(p.address)
	}
	i := rand.IntN(len(usable))
	c := usable[i]
	p.idle = append(usable[:i:i], usable[i+1:]...)
	return c.Conn, nil
}

func (p *pool) put(c *standin.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle = append(p.idle, &pooled{c, time.Now()})
}

func (t *test) sendLoad(first, other *standin.Server) {
	var routers []map[string]*pool
	for range routerCount {
		routers = append(routers, map[string]*pool{"n1": {address: first.Listen}, "n2": {address: other.Listen}})
	}
	var pending sync.WaitGroup
	start := time.Now()
	for n := 0; time.Since(start) < load; n++ {
		time.Sleep(time.Until(start.Add(time.Duration(n) * time.Second / acceptsPerS)))
		once := standin.NewID() + standin.NewID()
		pending.Go(func() { t.request(routers[n%len(routers)], once) })
	}
	pending.Wait()
}

// request sends the tries of one request: to n1 until it is answered, and to n2 after a refusal, as a router that goes on
// through its list.
func (t *test) request(router map[string]*pool, once string) {
	server := "n1"
	for n := range 8 {
		a, ok := t.try(router[server], server, once, n > 0)
		switch {
		case !ok: // gave up waiting, or the connection ended: the try may have run, so the next one goes to the same server
		case a.Word == "later":
			server = "n2"
		default:
			return
		}
	}
}

// try sends one try and waits for its answer for as long as the router does.
func (t *test) try(p *pool, server, once string, retry bool) (standin.Answer, bool) {
	q := standin.Request{ID: standin.NewID(), Class: "accept", Once: once, Retry: retry, Body: "quote " + once}
	t.mu.Lock()
	t.onceByID[q.ID] = once
	t.tries++
	t.mu.Unlock()
	c, err := p.take()
	if err != nil {
		time.Sleep(50 * time.Millisecond)
		return standin.Answer{}, false
	}
	answers := make(chan standin.Answer, 1)
	tag, err := c.Send(&q, func(a standin.Answer) { answers <- a })
	t.Record.Line("sent    %s %s accept once=%s", server, q.ID, once)
	if err != nil {
		return standin.Answer{}, false
	}
	select {
	case a := <-answers:
		t.answered(server, once, q.ID, a)
		p.put(c)
		return a, a.Word != ""
	case <-time.After(routerWait):
		c.Abort(tag)
		t.Record.Line("abort   %s %s once=%s", server, q.ID, once)
		time.AfterFunc(runTime, func() { p.put(c) }) // an answer may still come
		return standin.Answer{}, false
	}
}

// answered notes an answer, and whether it turns away a request that has run at that server.
func (t *test) answered(server, once, id string, a standin.Answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.answers[a.Word]++
	t.Record.Line("answer  %s %s once=%s %q", server, id, once, a.Word)
	if a.Word != "later" {
		return
	}
	for _, r := range t.runs[once] {
		if r.server == server && r.atMS+marginMS < a.AtMS {
			t.refused = append(t.refused, fmt.Sprintf("once=%s ran at %s, and %.0f ms later its try %s was answered \"later\" there", once, server, a.AtMS-r.atMS, id))
			return
		}
	}
}

func (t *test) judge() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.Record.Say("%d requests ran, %d tries, %v", len(t.runs), t.tries, t.answers)
	twice := 0
	for once, runs := range t.runs {
		if len(runs) > 1 {
			twice++
			t.Record.Say("twice: once=%s ran at %s and, %.0f ms later, at %s", once, runs[0].server, runs[1].atMS-runs[0].atMS, runs[1].server)
		}
	}
	for _, line := range t.refused {
		t.Record.Say("refused: %s", line)
	}
	if len(t.runs) < 50 {
		t.Record.Say("too few requests ran")
		return standin.Unknown
	}
	if len(t.refused) > 0 {
		t.Record.Say("broken: once run, not refused; %d refused, %d ran twice", len(t.refused), twice)
		return standin.Broken
	}
	t.Record.Say("held")
	return standin.Held
}
