// Command 2 is a case of the review: one of five order servers falls silent, and bookings at the others get no answer in time.
package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"puffinsaddle/review/standin"
)

const (
	servers      = 5
	requestsPerS = 90 // 18 for each server, as on a busy day
	load         = 12 * time.Second
	silentAt     = 3 * time.Second
	silentFor    = 6 * time.Second // the length that the pages name
	waitMS       = 1500            // how long a router waits for a try
	slackMS      = 60 + 50         // rules.answerSlack, and 50 ms on sockets
	maxLostShare = 3.0 / 1000
)

// site has the classes of the brief, with their shares of the requests.
var site = standin.Site{Servers: servers, Cores: 6, FreshMS: 200, EntryKB: 60, Classes: []standin.Class{
	{Name: "tank-level", AimMS: 2100, DeadlineMS: 5000, Worth: 1, Idempotency: "safe"},
	{Name: "price-quote", AimMS: 2100, DeadlineMS: 5000, Worth: 1, Idempotency: "safe"},
	{Name: "account-update", AimMS: 3100, DeadlineMS: 10000, Worth: 2, Idempotency: "safe", LateValue: 0.2},
	{Name: "book-delivery", AimMS: 1700, DeadlineMS: 5000, Worth: 4, Idempotency: "unsafe"}}}

// classAt returns the class of the n-th request: of 50 requests, 17, 13, 13 and 7 are of the four classes.
func classAt(n int) string {
	switch n = n * 23 % 50; {
	case n < 17:
		return "tank-level"
	case n < 30:
		return "price-quote"
	case n < 43:
		return "account-update"
	}
	return "book-delivery"
}

type try struct {
	standin.Request
	server int
	answer *standin.Answer
}

type test struct {
	*standin.Platform
	servers []*standin.Server

	mu     sync.Mutex
	tries  []*try
	silent int // the server that is silent; -1: none

	silenced bool // a server was silent for a time
}

func main() {
	standin.Main(115*time.Second, func(p *standin.Platform) (int, error) {
		t := &test{Platform: p, silent: -1}
		if err := t.startServers(); err != nil {
			return 0, err
		}
		t.sendLoad()
		if standin.Trouble() && !t.silenced {
			return 0, errors.New("the store had no leader to silence")
		}
		return t.judge(), nil
	})
}

func (t *test) startServers() error {
	peers := ""
	var addresses []string
	for i := range servers {
		a, err := standin.FreeAddress()
		if err != nil {
			return err
		}
		addresses = append(addresses, a)
		peers += fmt.Sprintf("n%d: %s, ", i+1, a)
	}
	for i := range servers {
		name := fmt.Sprintf("n%d", i+1)
		x, err := standin.NewExecutor(func(id, class string, _ []byte) (time.Duration, []byte) {
			t.Record.Line("run    %s %s %s", name, id, class)
			return 250 * time.Millisecond, []byte("result of " + id)
		})
		if err != nil {
			return err
		}
		s := &standin.Server{Name: name, Executor: x.Addr(), StopMS: 3200, Site: site, TmpDir: filepath.Join(t.Dir, name+"-tmp"),
			OperatorFile: filepath.Join(t.Dir, name+".yaml")}
		if s.Listen, err = standin.FreeAddress(); err != nil {
			return err
		}
		if s.OperatorAt, err = standin.FreeAddress(); err != nil {
			return err
		}
		if err := os.MkdirAll(s.TmpDir, 0o755); err != nil {
			return err
		}
		text := fmt.Sprintf("store:\n  listen: %s\n  dir: %s\n  peers: {%s}\n", addresses[i], filepath.Join(t.Dir, name), peers[:len(peers)-2])
		if err := os.WriteFile(s.OperatorFile, []byte(text), 0o644); err != nil {
			return err
		}
		if err := t.Start(s); err != nil {
			return err
		}
		t.servers = append(t.servers, s)
	}
	for _, s := range t.servers {
		if !standin.Await(20*time.Second, 50*time.Millisecond, s.Ready) {
			return fmt.Errorf("%s is not ready", s.Name)
		}
	}
	if !standin.Await(20*time.Second, 50*time.Millisecond, func() bool { return t.leader() >= 0 }) {
		return errors.New("the store has no leader")
	}
	time.Sleep(2 * time.Second) // until the replicas have written their configuration
	return nil
}

// leader returns the server whose store replica leads, or -1.
func (t *test) leader() int {
	for i, s := range t.servers {
		var m struct {
			Store struct {
				Leads bool `json:"leads"`
			} `json:"store"`
		}
		if _, body := s.Call("GET", "/-/metrics"); json.Unmarshal([]byte(body), &m) == nil && m.Store.Leads {
			return i
		}
	}
	return -1
}

// sendLoad sends the requests of three routers, each with a connection to every server, and silences the leader of the store
// meanwhile.
func (t *test) sendLoad() {
	conns := make([][]*standin.Conn, 3)
	for r := range conns {
		conns[r] = make([]*standin.Conn, servers)
	}
	if standin.Trouble() {
		time.AfterFunc(silentAt, t.silence)
	}
	start := time.Now()
	for n := 0; time.Since(start) < load; n++ {
		time.Sleep(time.Until(start.Add(time.Duration(n) * time.Second / requestsPerS)))
		router, server := n%len(conns), n%servers
		t.mu.Lock()
		silent := t.silent == server
		t.mu.Unlock()
		if silent {
			continue // while the machine pauses, nothing is written to an order server
		}
		c := conns[router][server]
		if c == nil || !c.Usable() {
			var err error
			if c, err = standin.Dial(t.servers[server].Listen); err != nil {
				continue
			}
			conns[router][server] = c
		}
		t.send(c, server, classAt(n))
	}
	time.Sleep(6 * time.Second) // the longest wait of a caller, and time for late answers
}

func (t *test) send(c *standin.Conn, server int, class string) {
	q := &try{server: server}
	q.Request = standin.Request{ID: standin.NewID(), Class: class, WaitMS: waitMS, Body: "200 litres"}
	t.mu.Lock()
	t.tries = append(t.tries, q)
	t.mu.Unlock()
	tag, err := c.Send(&q.Request, func(a standin.Answer) {
		t.mu.Lock()
		defer t.mu.Unlock()
		q.answer = &a
		t.Record.Line("answer %s %s %s %q after %.0f ms", t.servers[server].Name, q.ID, class, a.Word, a.AtMS-q.AtMS)
	})
	t.Record.Line("sent   %s %s %s wait=%d", t.servers[server].Name, q.ID, class, waitMS)
	if err == nil {
		// The server hears late that its caller has given up.
		time.AfterFunc(5*time.Second, func() { c.Abort(tag) })
	}
}

// silence stops the leader of the store for silentFor.
func (t *test) silence() {
	i := t.leader()
	if i < 0 {
		return
	}
	t.mu.Lock()
	t.silent, t.silenced = i, true
	for _, q := range t.tries {
		if q.server == i && q.answer == nil {
			q.server = -1 // open at a paused machine: does not count
		}
	}
	t.mu.Unlock()
	t.Record.Say("%s falls silent for %s", t.servers[i].Name, silentFor)
	t.servers[i].Signal(syscall.SIGSTOP)
	time.Sleep(silentFor)
	t.servers[i].Signal(syscall.SIGCONT)
	t.Record.Say("%s continues", t.servers[i].Name)
	time.Sleep(time.Second)
	t.mu.Lock()
	t.silent = -1
	t.mu.Unlock()
}

// judge checks that every request at a server that was not silent had a final answer in its time, but for 3 in 1,000.
func (t *test) judge() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	counted, lost, byWord := 0, 0, map[string]int{}
	for _, q := range t.tries {
		if q.server < 0 {
			continue
		}
		counted++
		if q.answer == nil || q.answer.Word == "" || q.answer.AtMS > q.AtMS+q.WaitMS+slackMS {
			lost++
			when := "never"
			if q.answer != nil {
				when = fmt.Sprintf("%q after %.0f ms", q.answer.Word, q.answer.AtMS-q.AtMS)
			}
			t.Record.Line("lost   %s %s %s answered %s", t.servers[q.server].Name, q.ID, q.Class, when)
			continue
		}
		byWord[q.answer.Word]++
	}
	t.Record.Say("%d requests, %v, %d without a final answer by %d ms after their wait", counted, byWord, lost, slackMS)
	if counted < 500 {
		t.Record.Say("too few requests")
		return standin.Unknown
	}
	if float64(lost) > maxLostShare*float64(counted) {
		t.Record.Say("broken: No Lost Requests")
		return standin.Broken
	}
	t.Record.Say("held")
	return standin.Held
}
