package lab

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"go.yaml.in/yaml/v3"

	"puffinsaddle/internal/clock"
	"puffinsaddle/internal/trace"
)

// proc is one order server of the run; its process may be replaced by further ones.
type proc struct {
	name   string
	copies bool // it runs a store replica
	dir    string
	listen string
	ops    string
	store  string
	rate   float64
	exec   *executor
	links  map[string]*Link // to the sessions of each replica, by its id
	peers  map[string]*Link // to the raft of each other replica, by its id
	gen    int

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
	want bool // the process should be running; its end is a failure
}

// free returns an address with a port that is free now.
func free(ip string) (string, error) {
	ln, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

// lay prepares directories, addresses, links and fake executors for all servers, and the first published version.
func (r *run) lay() error {
	ip := fmt.Sprintf("127.%d.%d.", 64+r.rng.IntN(128), os.Getpid()%250+1)
	for i := range r.Servers {
		p := &proc{name: fmt.Sprintf("s%02d", i+1), copies: i < r.Copies, links: map[string]*Link{}, peers: map[string]*Link{}, want: true}
		p.dir = filepath.Join(r.Out, p.name)
		if err := os.RemoveAll(p.dir); err != nil {
			return err
		}
		for _, dir := range []string{p.dir, filepath.Join(r.tmp, p.name)} {
			if err := os.MkdirAll(dir, 0o755); err != nil {
				return err
			}
		}
		host := ip + fmt.Sprint(i+1)
		for _, at := range []*string{&p.listen, &p.ops, &p.store} {
			var err error
			if *at, err = free(host); err != nil {
				return err
			}
		}
		p.rate = 1 + rate*(2*r.rng.Float64()-1)
		switch i { // the extremes of the allowed clock rates are always present
		case 0:
			p.rate = 1 + rate
		case r.Servers - 1:
			p.rate = 1 - rate
		}
		r.procs = append(r.procs, p)
	}
	for _, p := range r.procs {
		for _, c := range r.procs[:r.Copies] {
			link, err := NewLink()
			if err != nil {
				return err
			}
			link.SetTarget(c.store)
			p.links[c.name] = link
			if p.copies && p != c {
				if link, err = NewLink(); err != nil {
					return err
				}
				link.SetTarget(c.store)
				p.peers[c.name] = link
			}
		}
		var err error
		if p.exec, err = newExecutor(p.name, r.add, r.boots); err != nil {
			return err
		}
	}
	manifest := filepath.Join(r.Out, "published")
	if err := os.MkdirAll(manifest, 0o755); err != nil {
		return err
	}
	return r.publish(1)
}

// boots returns whether executors report that they are cold, and the ms since they started.
func (r *run) boots() (bool, float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cold, float64(time.Since(r.bootAt).Milliseconds())
}

type m = map[string]any

// write writes the platform's file and the operator's file of a server.
func (r *run) write(p *proc) error {
	config := PlatformFile{Name: p.name, Listen: p.listen, Executor: p.exec.ln.Addr().String(), Vault: r.vault.ln.Addr().String(), OperatorAddress: p.ops,
		Seed: r.Seed*1000 + uint64(p.gen), Servers: r.Servers, VaultSlots: r.Slots, MemoryMB: 192, Sockets: 1024}
	copies := m{}
	for id, l := range p.links {
		copies[id] = l.Addr()
	}
	var list []m
	for _, name := range dutyNames {
		if name == "allotter" && r.Static {
			continue
		}
		list = append(list, m{"name": name, "ttl_ms": ttl})
	}
	duties := m{"copies": copies, "renew_ms": renew, "clock_rate": rate, "margin_ms": margin, "cool_ms": 1500, "cold_wait_ms": 2000,
		"presence_ms": ttl, "list": list, "mark_ms": markMs, "settle": m{"keep_ms": 60000, "every_ms": 300},
		"publish": m{"manifest": filepath.Join(r.Out, "published", "SUMS"), "every_ms": 400}}
	if !r.Static {
		duties["allot"] = m{"whole": float64(r.whole()) / 1000, "alone": float64(alone) / 1000, "servers": r.most(), "every_ms": 200}
	}
	operator := m{"duties": duties, "lab": m{"trace": filepath.Join(p.dir, fmt.Sprintf("%d.trace", p.gen)), "clock_rate": p.rate, "plant": r.Plant, "calls": true}}
	if p.copies {
		peers, via := m{}, m{}
		for _, c := range r.procs[:r.Copies] {
			peers[c.name] = c.store
		}
		for id, l := range p.peers {
			via[id] = l.Addr()
		}
		operator["store"] = m{"id": p.name, "listen": p.store, "dir": filepath.Join(p.dir, "store"), "peers": peers, "via": via}
		if r.compares {
			operator["store"].(m)["compare_ms"] = 100
		}
	}
	if err := config.Write(filepath.Join(p.dir, "config.json")); err != nil {
		return err
	}
	b, err := yaml.Marshal(operator)
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(p.dir, "operator.yaml"), b, 0o644)
}

// start starts the next process of a server. A watcher records its end as a failure unless the end was asked for.
func (r *run) start(p *proc) error {
	p.gen++
	if err := r.write(p); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(p.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(r.Binary)
	cmd.Env = []string{"RELAY_CONFIG=" + filepath.Join(p.dir, "config.json"), "PUFFINSADDLE_OPERATOR=" + filepath.Join(p.dir, "operator.yaml"),
		"PUFFINSADDLE_LAB=1", "TMPDIR=" + filepath.Join(r.tmp, p.name)}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	errs := make(chan error)
	r.starter <- func() { errs <- cmd.Start() }
	if err := <-errs; err != nil {
		return err
	}
	done := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.done, p.want = cmd, done, true
	p.mu.Unlock()
	go func() {
		err := cmd.Wait()
		p.mu.Lock()
		if p.cmd == cmd && p.want {
			r.mu.Lock()
			r.crash = append(r.crash, fmt.Sprintf("%s exited unexpectedly: %v", p.name, err))
			r.mu.Unlock()
		}
		p.mu.Unlock()
		close(done)
	}()
	return nil
}

func (p *proc) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		p.cmd.Process.Signal(s)
	}
}

// kill ends a process with SIGKILL and waits for its end.
func (r *run) kill(p *proc) {
	p.mu.Lock()
	p.want = false
	done := p.done
	p.mu.Unlock()
	p.signal(syscall.SIGKILL)
	<-done
	r.add(trace.Event{What: "killed", Who: p.name})
}

// drain ends a process with SIGTERM. A process that takes too long is a failure; its goroutines are dumped to its log.
func (r *run) drain(p *proc) {
	p.mu.Lock()
	p.want = false
	done := p.done
	p.mu.Unlock()
	p.signal(syscall.SIGTERM)
	select {
	case <-done:
	case <-time.After(clock.Duration(2*stopMs) + 3*time.Second):
		r.mu.Lock()
		r.crash = append(r.crash, p.name+" did not exit on SIGTERM; its log ends with a dump of its goroutines")
		r.mu.Unlock()
		p.signal(syscall.SIGQUIT) // dumps the goroutines
		select {
		case <-done:
		case <-time.After(2 * time.Second):
		}
		r.kill(p)
	}
}

// end drains all processes at once.
func (r *run) end() {
	var all sync.WaitGroup
	for _, p := range r.procs {
		all.Add(1)
		go func() {
			defer all.Done()
			r.drain(p)
		}()
	}
	all.Wait()
}

// closeAll kills all remaining processes and closes links and fakes, however the run ended.
func (r *run) closeAll() {
	for _, p := range r.procs {
		p.mu.Lock()
		p.want = false
		cmd, done := p.cmd, p.done
		p.mu.Unlock()
		if cmd != nil {
			cmd.Process.Signal(syscall.SIGCONT)
			cmd.Process.Kill()
			<-done
		}
		for _, l := range p.links {
			l.Close()
		}
		for _, l := range p.peers {
			l.Close()
		}
		if p.exec != nil {
			p.exec.ln.Close()
		}
	}
}

// serving returns the addresses of the servers that should be running, for the load.
func (r *run) serving() []string {
	var up []string
	for _, p := range r.procs {
		p.mu.Lock()
		if p.want {
			up = append(up, p.listen)
		}
		p.mu.Unlock()
	}
	return up
}
