package standin2

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// Figures of the case.
const (
	restartAccepts = 10                     // accepts that are open at the kill
	restartWork    = 600 * time.Millisecond // of one accept
	restartDown    = 12 * time.Second       // from the kill to the restart
)

// Restart kills an order server that has a replica of the store while it runs requests of a keyed class, starts it again, and sends each
// of them once more within the window. It checks that none is run twice.
func Restart(p *Play) (broken bool, err error) {
	runsAt, err := freeAddress()
	if err != nil {
		return false, err
	}
	var mu sync.Mutex
	runs := map[string][]string{} // by body: the ids that were run
	s, err := serveUWSGI(runsAt, func(vars map[string]string, body []byte) []byte {
		if vars["ORDER_CLASS"] != "accept" {
			return body
		}
		mu.Lock()
		runs[string(body)] = append(runs[string(body)], vars["ORDER_ID"])
		mu.Unlock()
		p.record("uwsgi server: opens a lease file for %q, asked by %s", body, vars["ORDER_ID"])
		time.Sleep(restartWork)
		return []byte("lease file for " + string(body))
	})
	if err != nil {
		return false, err
	}
	defer s.close()
	addresses, err := freeAddresses(3)
	if err != nil {
		return false, err
	}
	classes := []any{
		map[string]any{"name": "indicative", "aim": 1800000000, "deadline": 6100000000, "idempotency": "safe", "worth": 1.0},
		map[string]any{"name": "accept", "aim": 4600000000, "deadline": 12000000000, "idempotency": "keyed", "keyTtl": keyedWindow.Nanoseconds(), "worth": 5.0},
	}
	c, err := p.startCluster(runsAt, addresses, map[string]any{"classes": classes, "clients": map[string]any{"marksRetry": true}, "extra": map[string]any{"nCores": 12}})
	if err != nil {
		return false, err
	}
	gateway := addresses[0] // of n1
	send := func(i, try int) error {
		more := map[string]string{"ORDER_ONCE": fmt.Sprintf("%032x", i+1)}
		if try > 1 {
			more["ORDER_RETRY"] = "1"
		}
		id := requestID(100*try + i)
		p.record("accept %d, try %d (%s): sent to n1", i, try, id)
		status, answer, err := ask(gateway, "accept", id, fmt.Sprintf("quote %d", i), more)
		p.record("accept %d, try %d (%s): answered %d %q %v", i, try, id, status, answer, err)
		return err
	}
	sendAll := func(try int) *sync.WaitGroup {
		var wait sync.WaitGroup
		for i := range restartAccepts {
			wait.Add(1)
			go func() {
				defer wait.Done()
				send(i, try)
			}()
		}
		return &wait
	}
	running := func() int {
		mu.Lock()
		defer mu.Unlock()
		return len(runs)
	}
	// serves waits until n1 runs a request of the class, for which it needs the store.
	probes := 0
	serves := func(limit time.Duration) error {
		return waitUntil(limit, "n1 serves", func() bool {
			select {
			case <-c.servers[0].exited: // the platform starts it again, as often as it takes
				if c.restart(0) != nil {
					return false
				}
			default:
			}
			probes++
			status, _, _ := ask(gateway, "accept", requestID(10000+probes), fmt.Sprintf("probe %d", probes), map[string]string{"ORDER_ONCE": fmt.Sprintf("%032x", 10000+probes)})
			return status == 200
		})
	}
	if err := serves(30 * time.Second); err != nil {
		return false, err
	}
	probed := running()
	begin := time.Now()
	first := sendAll(1)
	if err := waitUntil(5*time.Second, "all accepts run", func() bool { return running() == probed+restartAccepts }); err != nil {
		return false, err
	}
	if p.trouble {
		p.record("n1 is killed")
		c.servers[0].signal(syscall.SIGKILL)
		<-c.servers[0].exited
	}
	first.Wait()
	time.Sleep(time.Until(begin.Add(restartDown)))
	if p.trouble {
		if err := c.restart(0); err != nil {
			return false, err
		}
		if err := serves(20 * time.Second); err != nil {
			return false, err
		}
	}
	sendAll(2).Wait()
	p.record("the last tries came %.1f s after the first ones; the window is %.1f s", time.Since(begin).Seconds(), keyedWindow.Seconds())
	mu.Lock()
	defer mu.Unlock()
	for body, ids := range runs {
		if len(ids) > 1 {
			p.record("%s was run %d times at one order server: %v", body, len(ids), ids)
			broken = true
		}
	}
	return broken, nil
}
