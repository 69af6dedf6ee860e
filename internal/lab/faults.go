package lab

import (
	"context"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"puffinsaddle/internal/clock"
	"puffinsaddle/internal/trace"
)

// inject injects a fault, waits for its duration and ends it. It returns a description of what the fault hit.
func (r *run) inject(ctx context.Context, f Fault) string {
	waitDuration := func() { r.sleepUntil(ctx, f.At+f.For) }
	restart := func(p *server) {
		if err := r.start(p); err != nil {
			r.addNote("%s: %v", p.name, err)
		}
	}
	stall := func(p *server) string {
		p.signal(syscall.SIGSTOP)
		waitDuration()
		p.signal(syscall.SIGCONT)
		return p.name
	}
	kill := func(all ...*server) string {
		var names []string
		for _, p := range all {
			r.kill(p)
			names = append(names, p.name)
		}
		waitDuration()
		for _, p := range all {
			restart(p)
		}
		return strings.Join(names, " and ")
	}
	cut := func(links map[string]*Link, direction Direction) {
		for _, l := range links {
			l.Cut(direction)
		}
	}
	heal := func() {
		for _, p := range r.orderServers {
			for _, l := range p.sessionLinks {
				l.Heal()
			}
			for _, l := range p.peerLinks {
				l.Heal()
			}
		}
	}
	r.addEvent(trace.Event{What: "fault-begins", Text: f.Kind})
	switch f.Kind {
	case StallHolder:
		p, name := r.pickHolder(f.Pick)
		return stall(p) + " holding " + name
	case StallLeader:
		return stall(r.currentLeader(f.Pick)) + " leading"
	case KillHolder:
		p, name := r.pickHolder(f.Pick)
		return kill(p) + " holding " + name
	case KillLeader:
		return kill(r.currentLeader(f.Pick)) + " leading"
	case KillBoth:
		p := r.currentLeader(f.Pick)
		hit := []*server{p}
		if s := r.fetchMetrics()[p]; s.Duties == nil || len(s.Duties.Held) == 0 {
			if o, _ := r.pickHolder(f.Pick); o != p {
				hit = append(hit, o)
			}
		}
		return kill(hit...)
	case CutHolder, CutHolderOut, CutHolderIn:
		p, name := r.pickHolder(f.Pick)
		cut(p.sessionLinks, map[string]Direction{CutHolder: BothDirections, CutHolderOut: Forward, CutHolderIn: Backward}[f.Kind])
		waitDuration()
		heal()
		return p.name + " holding " + name
	case IsolateLeader, CutLeaderOut:
		p := r.currentLeader(f.Pick)
		out, in := BothDirections, BothDirections
		if f.Kind == CutLeaderOut {
			out, in = Forward, Backward
		}
		cut(p.peerLinks, out)
		for _, o := range r.orderServers[:r.Replicas] {
			if l := o.peerLinks[p.name]; l != nil {
				l.Cut(in)
			}
		}
		waitDuration()
		heal()
		return p.name + " leading"
	case KillMajority:
		replicas := slices.Clone(r.orderServers[:r.Replicas])
		rand.New(rand.NewPCG(f.Pick, 3)).Shuffle(len(replicas), func(i, j int) { replicas[i], replicas[j] = replicas[j], replicas[i] })
		return kill(replicas[:r.Replicas/2+1]...)
	case DelayHolder:
		p, name := r.pickHolder(f.Pick)
		for _, l := range p.sessionLinks {
			l.Delay(clock.Duration(100+350*f.Size), BothDirections)
		}
		waitDuration()
		heal()
		return p.name + " holding " + name
	case DelayThenCutHolder:
		// Responses are delayed, and then the holder's requests no longer arrive while delayed responses still do. A holder
		// that counted its lease from the arrival of a response would believe in it for longer than the leader waits.
		p, name := r.pickHolder(f.Pick)
		delayedAt := r.delayGradually(ctx, f.At, p.sessionLinks)
		r.sleepUntil(ctx, delayedAt+0.6)
		cut(p.sessionLinks, Forward)
		waitDuration()
		heal()
		return p.name + " holding " + name
	case StaleLeader:
		// Responses are in transit long enough for the holder to keep its session with a stopped leader. When that leader
		// resumes, the holder's heartbeats are waiting for it, and another leader has long been elected. A leader that
		// answered without confirming its leadership would renew leases that the new leader may grant to others.
		q := r.currentLeader(f.Pick)
		p, name := r.slowestHolder(q)
		if p == nil {
			return "nothing: " + q.name + " leads and holds all duties"
		}
		delayedAt := r.delayGradually(ctx, f.At, map[string]*Link{q.name: p.sessionLinks[q.name]})
		for id, l := range p.sessionLinks {
			if id != q.name {
				l.Cut(BothDirections)
			}
		}
		q.signal(syscall.SIGSTOP)
		r.sleepUntil(ctx, delayedAt+1.5) // before the lease expires by the responses received so far
		p.sessionLinks[q.name].Delay(0, Backward)
		q.signal(syscall.SIGCONT)
		waitDuration()
		heal()
		return q.name + " leading and " + p.name + " holding " + name
	case ThrottleLeader:
		p := r.currentLeader(f.Pick)
		for _, o := range r.orderServers {
			if l := o.sessionLinks[p.name]; l != nil {
				l.Throttle(3000)
			}
		}
		waitDuration()
		heal()
		return p.name + " leading"
	case ResetSessions:
		for _, p := range r.orderServers {
			for _, l := range p.sessionLinks {
				l.Reset()
			}
		}
		return "all sessions"
	case RequestYield:
		p, name := r.pickHolder(f.Pick)
		b, err := exec.CommandContext(ctx, r.Binary, "duty", "yield", name, "--operator", filepath.Join(r.orderServers[0].dir, "operator.yaml")).CombinedOutput()
		if err != nil {
			r.addNote("yield: %v: %s", err, b)
		}
		return p.name + " holding " + name
	case DrainHolder:
		p, name := r.pickHolder(f.Pick)
		r.drain(p)
		waitDuration()
		restart(p)
		return p.name + " holding " + name
	case ReplaceProcess:
		if r.Servers == r.Replicas {
			return "nothing: a replica's process keeps its address and data directory"
		}
		p := r.orderServers[r.Replicas+int(f.Pick%uint64(r.Servers-r.Replicas))]
		return r.replaceProcess(ctx, p)
	case JumpClock:
		p := r.orderServers[f.Pick%uint64(len(r.orderServers))]
		ms := (f.Size - 0.5) * 60_000
		for _, by := range []float64{ms, -ms} {
			req, err := http.NewRequestWithContext(ctx, http.MethodPut, fmt.Sprintf("http://%s/-/lab/jump?ms=%.0f", p.operatorAddress, by), nil)
			if err == nil {
				var resp *http.Response
				if resp, err = httpClient.Do(req); err == nil {
					resp.Body.Close()
				}
			}
			if err != nil {
				r.addNote("jump: %v", err)
			}
			if by == ms {
				waitDuration()
			}
		}
		return fmt.Sprintf("%s by %.0f ms", p.name, ms)
	case OldDirectory, NoDirectory, CorruptDirectory, RestartAllOneOld:
		for _, s := range r.fetchMetrics() {
			if !s.canVote() { // a majority might lose log entries that no other replica has
				return "nothing: a replica has not regained its vote yet"
			}
		}
		p := r.orderServers[f.Pick%uint64(r.Replicas)]
		hit := []*server{p}
		if f.Kind == RestartAllOneOld {
			hit = r.orderServers[:r.Replicas]
		}
		for _, o := range hit {
			r.kill(o)
		}
		var err error
		switch f.Kind {
		case CorruptDirectory:
			err = flipBits(filepath.Join(p.dir, "store", "raft.db"), f.Pick)
		case NoDirectory:
			err = os.RemoveAll(filepath.Join(p.dir, "store"))
		default:
			err = replaceDirectory(filepath.Join(p.dir, "older"), filepath.Join(p.dir, "store"))
		}
		if err != nil {
			r.addNote("%s: %v", f.Kind, err)
		}
		waitDuration()
		for _, o := range hit {
			restart(o)
		}
		return p.name
	case CorruptMemory:
		for _, s := range r.fetchMetrics() {
			if !s.canVote() {
				return "nothing: a replica has not regained its vote yet"
			}
		}
		p := r.orderServers[f.Pick%uint64(r.Replicas)]
		req, err := http.NewRequestWithContext(ctx, http.MethodPut, fmt.Sprintf("http://%s/-/lab/spoil?pick=%d", p.operatorAddress, f.Pick), nil)
		if err != nil {
			return err.Error()
		}
		resp, err := httpClient.Do(req)
		if err != nil {
			r.addNote("spoil: %v", err)
			return "nothing: " + err.Error()
		}
		b, _ := io.ReadAll(io.LimitReader(resp.Body, 1<<10))
		resp.Body.Close()
		if resp.StatusCode != http.StatusOK || len(b) == 0 {
			return "nothing: the replica has no state in memory"
		}
		r.addEvent(trace.Event{What: eventCorrupted, Who: p.name, Text: string(b)})
		waitDuration()
		return fmt.Sprintf("%s, effect %s", p.name, b)
	case ColdRestart:
		r.mu.Lock()
		r.cold, r.bootedAt = true, time.Now()
		r.mu.Unlock()
		kill(r.orderServers...)
		return "all servers"
	case SlowVault:
		r.vault.setSlowdown(10)
		waitDuration()
		r.vault.setSlowdown(1)
		return "the vault"
	}
	return "nothing"
}

// replaceProcess starts a second process of a server next to the running one and then ends the first, as operators do.
func (r *run) replaceProcess(ctx context.Context, p *server) string {
	newAddress, err := freeAddress(strings.Split(p.operatorAddress, ":")[0])
	if err != nil {
		return err.Error()
	}
	newExec, err := newFakeExecutor(p.name, r.addEvent, r.bootState)
	if err != nil {
		return err.Error()
	}
	p.mu.Lock()
	oldCmd, oldExited := p.cmd, p.exited
	p.mu.Unlock()
	oldExec := p.executor
	p.executor, p.operatorAddress = newExec, newAddress
	if err := r.start(p); err != nil {
		r.addNote("replace: %v", err)
		return p.name
	}
	deadline := time.Now().Add(6 * time.Second)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		if resp, err := httpClient.Get("http://" + p.operatorAddress + "/-/ready"); err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				break
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	oldCmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-oldExited:
	case <-time.After(10 * time.Second):
		r.addNote("the replaced process of %s did not exit within 10 s of SIGTERM", p.name)
		oldCmd.Process.Kill()
		<-oldExited
	}
	oldExec.ln.Close()
	return p.name + ", replaced by a second process"
}

// writePublishedFiles writes the files of a version, and last the manifest with their checksums.
func (r *run) writePublishedFiles(version int) error {
	dir := filepath.Join(r.Out, "published")
	hosts := fmt.Sprintf("name,address,port,groups\nh%d,127.0.0.1,%d,runners\n", version, 3000+version)
	operator := "inventory: {path: inventory.csv, group: runners}\n"
	sums := ""
	for _, f := range []struct{ name, text string }{{"inventory.csv", hosts}, {"operator.yaml", operator}} {
		if err := os.WriteFile(filepath.Join(dir, f.name), []byte(f.text), 0o644); err != nil {
			return err
		}
		sums += sha256Hex(f.text) + "  " + f.name + "\n"
	}
	return os.WriteFile(filepath.Join(dir, "SUMS"), []byte(sums), 0o644)
}

const compareAllSeconds = 13 // seconds within which replicas compare all parts of their state, one election included

const eventCorrupted = "spoilt" // event: the lab corrupted a replica's memory

// flipBits flips 1 to 20 bits of a file at positions that pick determines.
func flipBits(path string, pick uint64) error {
	b, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	rng := rand.New(rand.NewPCG(pick, 5))
	for range 1 + rng.IntN(20) {
		b[rng.IntN(len(b))] ^= 1 << rng.IntN(8)
	}
	return os.WriteFile(path, b, 0o600)
}

// replaceDirectory replaces the directory to by a copy of the directory from.
func replaceDirectory(from, to string) error {
	if err := os.RemoveAll(to); err != nil {
		return err
	}
	return filepath.WalkDir(from, func(path string, d fs.DirEntry, err error) error {
		if errors.Is(err, fs.ErrNotExist) {
			return nil // a temporary snapshot was renamed or removed
		}
		if err != nil {
			return err
		}
		rel, err := filepath.Rel(from, path)
		if err != nil {
			return err
		}
		if d.IsDir() {
			return os.MkdirAll(filepath.Join(to, rel), 0o755)
		}
		b, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		return os.WriteFile(filepath.Join(to, rel), b, 0o600)
	})
}
