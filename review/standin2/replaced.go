package standin2

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// killAfter is the time from SIGTERM to the kill of a process that is replaced: the longest deadline, which counts as 3 s at most,
// plus 0.7 s.
const killAfter = 3700 * time.Millisecond

// upgrade is an order server one process of which replaces another one.
type upgrade struct {
	play      *Play
	machine   *machine
	routers   string   // where routers connect
	operators []string // the operators' addresses of the two processes
	keys      map[string]any
	settings  map[string]any
	executors [2]string // addresses, one for each process
}

// writeConfig writes the platform's file of a process and returns its path.
func (u *upgrade) writeConfig(number int) (string, error) {
	keys := map[string]any{"name": "n1", "listen": u.routers, "executor": u.executors[number], "operator": u.operators[number]}
	merge(keys, u.keys)
	return u.play.platformFile(fmt.Sprintf("process%d", number+1), keys, u.settings)
}

// newUpgrade returns an order server with the given keys of the platform's file and settings. No process runs yet.
func newUpgrade(p *Play, m *machine, keys, settings map[string]any) (*upgrade, error) {
	addresses, err := freeAddresses(3)
	if err != nil {
		return nil, err
	}
	return &upgrade{play: p, machine: m, routers: addresses[0], operators: addresses[1:], keys: keys, settings: settings}, nil
}

// start starts the first or the second process, each with an address of the executor of its own.
func (u *upgrade) start(number int) (*process, error) {
	e, err := newExecutor(u.machine)
	if err != nil {
		return nil, err
	}
	u.executors[number] = e.addr()
	name := fmt.Sprintf("process%d", number+1)
	config, err := u.writeConfig(number)
	if err != nil {
		return nil, err
	}
	tmp := u.play.path("tmp") // shared by both processes
	if _, err := u.play.writeFile("tmp/.keep", ""); err != nil {
		return nil, err
	}
	return u.play.startServer(name, "RELAY_CONFIG="+config, "RELAY_OPERATOR="+u.operators[number], "TMPDIR="+tmp)
}

// waitReady waits until a process says yes, which it has to do within 6 s.
func (u *upgrade) waitReady(number int) error {
	return waitUntil(6*time.Second, fmt.Sprintf("process%d says yes", number+1), func() bool { return ready(u.operators[number]) })
}

// retire sends SIGTERM to a process, and kills it when its time is over.
func (u *upgrade) retire(c *process) error {
	u.play.record("SIGTERM to %s; SIGKILL follows after %v", c.name, killAfter)
	if err := c.signal(syscall.SIGTERM); err != nil {
		return err
	}
	time.AfterFunc(killAfter, func() { c.cmd.Process.Kill() })
	return nil
}

// load sends requests at a fixed rate.
type load struct {
	router *router
	stop   chan struct{}
	wait   sync.WaitGroup
}

// startLoad sends a request each time that the gap has passed; next returns it with its further fields.
func startLoad(m *machine, address string, gap time.Duration, next func(i int) (*request, string)) *load {
	l := &load{router: newRouter(m, address, 1), stop: make(chan struct{})}
	l.wait.Add(1)
	go func() {
		defer l.wait.Done()
		ticker := time.NewTicker(gap)
		defer ticker.Stop()
		for i := 0; ; i++ {
			select {
			case <-l.stop:
				return
			case <-ticker.C:
			}
			q, fields := next(i)
			l.router.send(q, fields, 5*time.Second)
		}
	}()
	return l
}

// end ends the load and waits until each request has its answer or has had its time.
func (l *load) end() {
	close(l.stop)
	l.wait.Wait()
	l.router.wait.Wait()
}
