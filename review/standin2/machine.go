package standin2

import (
	"fmt"
	"sync"
	"time"
)

// machine is what the executors of one order server share: its cores and the requests that came to it.
type machine struct {
	play   *Play
	cores  int
	plan   func(r *request) []step // what a run of a request consists of
	result func(r *request) string // what it makes

	mu       sync.Mutex
	requests map[string]*request
	onCores  int
}

// gaugeNames are the gauges of the settings, in the order of machine.gauges.
var gaugeNames = []string{"cpu_busy", "runnable", "mem_used", "sockets"}

// step is a part of a run: work on a core, or a call.
type step struct {
	work time.Duration
	call bool
}

// request is one try of a request, as its router knows it.
type request struct {
	id, class, body string
	kb              float64
	due             time.Time
	written         time.Time // when its last byte was written

	answer  string // the word of its answer; empty: none
	over    bool   // answered, or not waited for any more
	running bool
}

// newMachine returns a machine with the given cores.
func newMachine(p *Play, cores int, plan func(r *request) []step) *machine {
	return &machine{play: p, cores: cores, plan: plan, result: func(r *request) string { return "result of " + r.id }, requests: map[string]*request{}}
}

// add registers a request that is about to be written.
func (m *machine) add(r *request) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.requests[r.id] = r
}

// answers counts the requests by the word of their answer.
func (m *machine) answers() map[string]int {
	m.mu.Lock()
	defer m.mu.Unlock()
	counts := map[string]int{}
	for _, r := range m.requests {
		word := r.answer
		if word == "" {
			word = "none"
		}
		counts[word]++
	}
	return counts
}

// gauges returns the gauges; the memory in use and the sockets are fixed.
func (m *machine) gauges() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return fmt.Sprintf("%.3f %d 0.2 4", min(float64(m.onCores)/float64(m.cores), 1), m.onCores)
}

// begin begins a run. It returns false if nothing is started, since the request runs already or is over; a request that did not
// come, or came with another class or body, is an error.
func (m *machine) begin(id, class, body string) (r *request, started bool, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r = m.requests[id]
	if r == nil || r.class != class || r.body != body {
		return nil, false, fmt.Errorf("no request %s %s with this body came", id, class)
	}
	if r.running || r.over {
		return r, false, nil
	}
	r.running = true
	return r, true, nil
}

// end ends a run.
func (m *machine) end(r *request) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r.running = false
}

// state returns whether a request runs, and whether it is over.
func (m *machine) state(r *request) (running, over bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return r.running, r.over
}

// compute does work on the cores, which all that runs shares.
func (m *machine) compute(d time.Duration) {
	m.mu.Lock()
	m.onCores++
	slower := max(1, float64(m.onCores)/float64(m.cores))
	m.mu.Unlock()
	time.Sleep(time.Duration(float64(d) * slower))
	m.mu.Lock()
	m.onCores--
	m.mu.Unlock()
}
