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

// server is one order server of the run over all incarnations of its process.
type server struct {
	name            string
	hasReplica      bool // it runs a store replica
	dir             string
	listenAddress   string
	operatorAddress string
	storeAddress    string
	clockRate       float64
	executor        *fakeExecutor
	sessionLinks    map[string]*Link // to the sessions of each replica, by its id
	peerLinks       map[string]*Link // to the raft of each other replica, by its id
	incarnation     int

	mu        sync.Mutex
	cmd       *exec.Cmd
	exited    chan struct{}
	shouldRun bool // an exit is unexpected
}

// freeAddress returns an address with a port that is free now.
func freeAddress(ip string) (string, error) {
	ln, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

// prepare prepares directories, addresses, links and fake executors for all servers, and the first published version.
func (r *run) prepare() error {
	ip := fmt.Sprintf("127.%d.%d.", 64+r.rng.IntN(128), os.Getpid()%250+1)
	for i := range r.Servers {
		p := &server{name: fmt.Sprintf("s%02d", i+1), hasReplica: i < r.Replicas, sessionLinks: map[string]*Link{}, peerLinks: map[string]*Link{}, shouldRun: true}
		p.dir = filepath.Join(r.Out, p.name)
		if err := os.RemoveAll(p.dir); err != nil {
			return err
		}
		for _, dir := range []string{p.dir, filepath.Join(r.tmpDir, p.name)} {
			if err := os.MkdirAll(dir, 0o755); err != nil {
				return err
			}
		}
		host := ip + fmt.Sprint(i+1)
		for _, at := range []*string{&p.listenAddress, &p.operatorAddress, &p.storeAddress} {
			var err error
			if *at, err = freeAddress(host); err != nil {
				return err
			}
		}
		p.clockRate = 1 + maxClockDrift*(2*r.rng.Float64()-1)
		switch i { // the extremes of the allowed clock rates are always present
		case 0:
			p.clockRate = 1 + maxClockDrift
		case r.Servers - 1:
			p.clockRate = 1 - maxClockDrift
		}
		r.orderServers = append(r.orderServers, p)
	}
	for _, p := range r.orderServers {
		for _, c := range r.orderServers[:r.Replicas] {
			link, err := NewLink()
			if err != nil {
				return err
			}
			link.SetTarget(c.storeAddress)
			p.sessionLinks[c.name] = link
			if p.hasReplica && p != c {
				if link, err = NewLink(); err != nil {
					return err
				}
				link.SetTarget(c.storeAddress)
				p.peerLinks[c.name] = link
			}
		}
		var err error
		if p.executor, err = newFakeExecutor(p.name, r.addEvent, r.bootState); err != nil {
			return err
		}
	}
	manifest := filepath.Join(r.Out, "published")
	if err := os.MkdirAll(manifest, 0o755); err != nil {
		return err
	}
	return r.writePublishedFiles(1)
}

// bootState returns whether executors report that they are cold, and the ms since they started.
func (r *run) bootState() (bool, float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cold, float64(time.Since(r.bootedAt).Milliseconds())
}

// object is a JSON or YAML object.
type object = map[string]any

// writeFiles writes the platform's file and the operator's file of a server.
func (r *run) writeFiles(p *server) error {
	config := PlatformFile{Name: p.name, Listen: p.listenAddress, Executor: p.executor.ln.Addr().String(), Vault: r.vault.ln.Addr().String(), OperatorAddress: p.operatorAddress,
		Seed: r.Seed*1000 + uint64(p.incarnation), Servers: r.Servers, VaultSlots: r.VaultSlots, MemoryMB: 192, Sockets: 1024}
	replicaAddresses := object{}
	for id, l := range p.sessionLinks {
		replicaAddresses[id] = l.Addr()
	}
	var dutyList []object
	for _, name := range dutyNames {
		if name == "allotter" && r.NoAllotter {
			continue
		}
		dutyList = append(dutyList, object{"name": name, "ttl_ms": ttlMS})
	}
	duties := object{"copies": replicaAddresses, "renew_ms": renewMS, "clock_rate": maxClockDrift, "margin_ms": marginMS, "cool_ms": 1500, "cold_wait_ms": 2000,
		"presence_ms": ttlMS, "list": dutyList, "mark_ms": markIntervalMS, "settle": object{"keep_ms": 60000, "every_ms": 300},
		"publish": object{"manifest": filepath.Join(r.Out, "published", "SUMS"), "every_ms": 400}}
	if !r.NoAllotter {
		duties["allot"] = object{"whole": float64(r.capacityMilli()) / 1000, "alone": float64(aloneMilli) / 1000, "servers": r.maxProcesses(), "every_ms": 200}
	}
	operator := object{"duties": duties, "lab": object{"trace": filepath.Join(p.dir, fmt.Sprintf("%d.trace", p.incarnation)), "clock_rate": p.clockRate, "plant": r.InjectedBug, "calls": true}}
	if p.hasReplica {
		peers, viaLinks := object{}, object{}
		for _, c := range r.orderServers[:r.Replicas] {
			peers[c.name] = c.storeAddress
		}
		for id, l := range p.peerLinks {
			viaLinks[id] = l.Addr()
		}
		operator["store"] = object{"id": p.name, "listen": p.storeAddress, "dir": filepath.Join(p.dir, "store"), "peers": peers, "via": viaLinks}
		if r.comparesReplicas {
			operator["store"].(object)["compare_ms"] = 100
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

// start starts the next process of a server. An exit while shouldRun is set is recorded as a failure.
func (r *run) start(p *server) error {
	p.incarnation++
	if err := r.writeFiles(p); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(p.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(r.Binary)
	cmd.Env = []string{"RELAY_CONFIG=" + filepath.Join(p.dir, "config.json"), "PUFFINSADDLE_OPERATOR=" + filepath.Join(p.dir, "operator.yaml"),
		"PUFFINSADDLE_LAB=1", "TMPDIR=" + filepath.Join(r.tmpDir, p.name)}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	errs := make(chan error)
	r.startRequests <- func() { errs <- cmd.Start() }
	if err := <-errs; err != nil {
		return err
	}
	exited := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.exited, p.shouldRun = cmd, exited, true
	p.mu.Unlock()
	go func() {
		err := cmd.Wait()
		p.mu.Lock()
		if p.cmd == cmd && p.shouldRun {
			r.mu.Lock()
			r.failures = append(r.failures, fmt.Sprintf("%s exited unexpectedly: %v", p.name, err))
			r.mu.Unlock()
		}
		p.mu.Unlock()
		close(exited)
	}()
	return nil
}

func (p *server) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		p.cmd.Process.Signal(s)
	}
}

// kill ends a process with SIGKILL and waits for its exit.
func (r *run) kill(p *server) {
	p.mu.Lock()
	p.shouldRun = false
	exited := p.exited
	p.mu.Unlock()
	p.signal(syscall.SIGKILL)
	<-exited
	r.addEvent(trace.Event{What: "killed", Who: p.name})
}

// drain ends a process with SIGTERM. If it takes too long to exit, that is recorded as a failure, and its goroutines are dumped
// to its log.
func (r *run) drain(p *server) {
	p.mu.Lock()
	p.shouldRun = false
	exited := p.exited
	p.mu.Unlock()
	p.signal(syscall.SIGTERM)
	select {
	case <-exited:
	case <-time.After(clock.Duration(2*stopTimeoutMS) + 3*time.Second):
		r.mu.Lock()
		r.failures = append(r.failures, p.name+" did not exit on SIGTERM; its log ends with a dump of its goroutines")
		r.mu.Unlock()
		p.signal(syscall.SIGQUIT) // dumps the goroutines
		select {
		case <-exited:
		case <-time.After(2 * time.Second):
		}
		r.kill(p)
	}
}

// drainAll drains all processes at once.
func (r *run) drainAll() {
	var all sync.WaitGroup
	for _, p := range r.orderServers {
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
	for _, p := range r.orderServers {
		p.mu.Lock()
		p.shouldRun = false
		cmd, exited := p.cmd, p.exited
		p.mu.Unlock()
		if cmd != nil {
			cmd.Process.Signal(syscall.SIGCONT)
			cmd.Process.Kill()
			<-exited
		}
		for _, l := range p.sessionLinks {
			l.Close()
		}
		for _, l := range p.peerLinks {
			l.Close()
		}
		if p.executor != nil {
			p.executor.ln.Close()
		}
	}
}

// runningAddresses returns the addresses of the servers that should be running, for the load.
func (r *run) runningAddresses() []string {
	var addresses []string
	for _, p := range r.orderServers {
		p.mu.Lock()
		if p.shouldRun {
			addresses = append(addresses, p.listenAddress)
		}
		p.mu.Unlock()
	}
	return addresses
}
