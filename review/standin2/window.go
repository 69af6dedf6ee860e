package standin2

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// Figures of the case.
const (
	windowBefore = 4 * time.Second  // keyTtl at the start
	windowAfter  = 20 * time.Second // keyTtl of the new configuration
	windowTries  = 10
)

// Window runs requests of a keyed class, puts a longer window for their repeats into force, and sends each of them once more within
// that window.
func Window(p *Play) (broken bool, err error) {
	var mu sync.Mutex
	runs := map[string][]string{} // by body: the ids that were run
	m := newMachine(p, 6, func(r *request) []step {
		mu.Lock()
		defer mu.Unlock()
		runs[r.body] = append(runs[r.body], r.id)
		return []step{{work: 60 * time.Millisecond}}
	})
	settingsWith := func(window time.Duration) map[string]any {
		return map[string]any{"clients": map[string]any{"marksRetry": true}, "classes": []any{
			map[string]any{"name": "indicative", "aim": 1800000000, "deadline": 6100000000, "idempotency": "safe", "worth": 1.0},
			map[string]any{"name": "accept", "aim": 1700000000, "deadline": 3000000000, "idempotency": "keyed", "keyTtl": window.Nanoseconds(), "worth": 5.0},
		}, "extra": map[string]any{"nCores": 6, "gauges": gaugeNames}}
	}
	first := windowBefore
	if !p.trouble {
		first = windowAfter
	}
	u, err := newUpgrade(p, m, nil, settingsWith(first))
	if err != nil {
		return false, err
	}
	c, err := u.start(0)
	if err != nil {
		return false, err
	}
	if err := u.waitReady(0); err != nil {
		return false, err
	}
	time.Sleep(1500 * time.Millisecond)
	r := newRouter(m, u.routers, 1)
	send := func(i, try int, more string) {
		r.send(&request{id: requestID(100*try + i), class: "accept", body: fmt.Sprintf("quote %d", i), kb: 24.5}, fmt.Sprintf(",once=%032x%s", i+1, more), 3*time.Second)
	}
	begin := time.Now()
	for i := range windowTries {
		send(i, 1, "")
		time.Sleep(80 * time.Millisecond)
	}
	r.wait.Wait()
	time.Sleep(time.Until(begin.Add(1500 * time.Millisecond)))
	if p.trouble {
		u.settings = settingsWith(windowAfter)
		if _, err := u.writeConfig(0); err != nil {
			return false, err
		}
		if err := c.signal(syscall.SIGHUP); err != nil {
			return false, err
		}
		p.record("SIGHUP: the window is %v now", windowAfter)
	}
	time.Sleep(time.Until(begin.Add(9 * time.Second)))
	for i := range windowTries {
		send(i, 2, ",retry=1")
		time.Sleep(80 * time.Millisecond)
	}
	r.wait.Wait()
	mu.Lock()
	defer mu.Unlock()
	for body, ids := range runs {
		if len(ids) > 1 {
			p.record("%s was run %d times: %v", body, len(ids), ids)
			broken = true
		}
	}
	return broken, nil
}
