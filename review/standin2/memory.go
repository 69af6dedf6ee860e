package standin2

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Figures of the case.
const (
	memoryLimitMB  = 32                    // limits.memory_mb: 32 to 192 by the pages
	memoryAccepts  = 15 * time.Millisecond // between two requests of the keyed class
	memoryBefore   = 50 * time.Second      // of load before the replacement: the window and the deadline of the keyed class
	memoryAfter    = 5 * time.Second
	memoryPoll     = 2 * time.Millisecond
	resultBytes    = 4 << 10 // by the protocol
	memoryMinServe = 500     // fewer show nothing
)

// anonymousMB returns the anonymous memory of a process, without the pages of its program file, in MB; 0 if it has ended.
func anonymousMB(pid int) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if words := strings.Fields(line); len(words) >= 2 && words[0] == "RssAnon:" {
			kb, _ := strconv.ParseFloat(words[1], 64)
			return kb / 1024
		}
	}
	return 0
}

// memoryLimit kills the processes of an order server, as the platform does, once they need more memory than it has.
type memoryLimit struct {
	play *Play

	mu        sync.Mutex
	processes []*process
	peakMB    float64
	killed    bool
}

// add puts a process under the limit.
func (l *memoryLimit) add(c *process) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.processes = append(l.processes, c)
}

// watch enforces the limit until the order server is killed.
func (l *memoryLimit) watch() {
	lastLine := time.Now()
	for !l.check(&lastLine) {
		time.Sleep(memoryPoll)
	}
}

// check adds up what the processes need, and returns true once they are killed.
func (l *memoryLimit) check(lastLine *time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	sum := 0.0
	var parts []string
	for _, c := range l.processes {
		mb := anonymousMB(c.cmd.Process.Pid)
		sum += mb
		parts = append(parts, fmt.Sprintf("%.1f", mb))
	}
	if sum > l.peakMB+2 || time.Since(*lastLine) > time.Second {
		l.play.record("memory: %.1f MB (%s) of %d", sum, strings.Join(parts, " + "), memoryLimitMB)
		*lastLine = time.Now()
	}
	l.peakMB = max(l.peakMB, sum)
	if sum <= memoryLimitMB {
		return false
	}
	l.play.record("memory: %.1f MB (%s) of %d: the platform kills the order server", sum, strings.Join(parts, " + "), memoryLimitMB)
	l.killed = true
	for _, c := range l.processes {
		c.cmd.Process.Kill()
	}
	return true
}

// Memory replaces a process that remembers a window of keyed requests by another one, and checks that the two together stay
// within the memory of the order server.
func Memory(p *Play) (broken bool, err error) {
	m := newMachine(p, 6, func(*request) []step { return []step{{work: 20 * time.Millisecond}} })
	m.result = func(r *request) string {
		text := "result of " + r.id + " "
		return text + strings.Repeat("x", resultBytes-len(text))
	}
	classes := []any{
		map[string]any{"name": "indicative", "aim": 1800000000, "deadline": 6100000000, "idempotency": "safe", "worth": 1.0},
		map[string]any{"name": "accept", "aim": 4600000000, "deadline": 12000000000, "idempotency": "keyed", "keyTtl": keyedWindow.Nanoseconds(), "worth": 5.0},
	}
	extra := map[string]any{"nCores": 6, "heapKb": 400000.0, "entryKb": 10.0, "runMemFactor": 8.0, "gauges": gaugeNames}
	u, err := newUpgrade(p, m, map[string]any{"limits": map[string]any{"memory_mb": memoryLimitMB, "sockets": 512}}, map[string]any{"classes": classes, "extra": extra})
	if err != nil {
		return false, err
	}
	limit := &memoryLimit{play: p}
	go limit.watch()
	first, err := u.start(0)
	if err != nil {
		return false, err
	}
	limit.add(first)
	if err := u.waitReady(0); err != nil {
		return false, err
	}
	l := startLoad(m, u.routers, memoryAccepts, func(i int) (*request, string) {
		return &request{id: requestID(i), class: "accept", body: "an accepted quote", kb: 24.5}, fmt.Sprintf(",once=%032x", i+1)
	})
	time.Sleep(memoryBefore)
	if p.trouble {
		second, err := u.start(1)
		if err != nil {
			return false, err
		}
		limit.add(second)
		if u.waitReady(1) == nil {
			if err := u.retire(first); err != nil {
				return false, err
			}
		}
	}
	time.Sleep(memoryAfter)
	l.end()
	counts := m.answers()
	limit.mu.Lock()
	defer limit.mu.Unlock()
	p.record("answers by word: %v; highest memory %.1f MB of %d", counts, limit.peakMB, memoryLimitMB)
	if counts["done"] < memoryMinServe {
		return false, fmt.Errorf("%d requests were served", counts["done"])
	}
	return limit.killed, nil
}
