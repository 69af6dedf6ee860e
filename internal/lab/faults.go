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

// inject starts a fault, waits for its duration and undoes it. It returns a description of what the fault hit.
func (r *run) inject(ctx context.Context, f Fault) string {
	span := func() { r.sleep(ctx, f.At+f.For) }
	again := func(p *proc) {
		if err := r.start(p); err != nil {
			r.note("%s: %v", p.name, err)
		}
	}
	stall := func(p *proc) string {
		p.signal(syscall.SIGSTOP)
		span()
		p.signal(syscall.SIGCONT)
		return p.name
	}
	kill := func(all ...*proc) string {
		var names []string
		for _, p := range all {
			r.kill(p)
			names = append(names, p.name)
		}
		span()
		for _, p := range all {
			again(p)
		}
		return strings.Join(names, " and ")
	}
	cut := func(links map[string]*Link, w Way) {
		for _, l := range links {
			l.Cut(w)
		}
	}
	heal := func() {
		for _, p := range r.procs {
			for _, l := range p.links {
				l.Heal()
			}
			for _, l := range p.peers {
				l.Heal()
			}
		}
	}
	r.add(trace.Event{What: "fault-begins", Text: f.Kind})
	switch f.Kind {
	case StallHolder:
		p, name := r.holder(f.Pick)
		return stall(p) + " holding " + name
	case StallLeader:
		return stall(r.leader(f.Pick)) + " leading"
	case KillHolder:
		p, name := r.holder(f.Pick)
		return kill(p) + " holding " + name
	case KillLeader:
		return kill(r.leader(f.Pick)) + " leading"
	case KillBoth:
		p := r.leader(f.Pick)
		hit := []*proc{p}
		if s := r.look()[p]; s.Duties == nil || len(s.Duties.Held) == 0 {
			if o, _ := r.holder(f.Pick); o != p {
				hit = append(hit, o)
			}
		}
		return kill(hit...)
	case CutHolder, CutThere, CutBack:
		p, name := r.holder(f.Pick)
		cut(p.links, map[string]Way{CutHolder: BothDirections, CutThere: There, CutBack: Back}[f.Kind])
		span()
		heal()
		return p.name + " holding " + name
	case CutLeader, CutLeaderOut:
		p := r.leader(f.Pick)
		out, in := BothDirections, BothDirections
		if f.Kind == CutLeaderOut {
			out, in = There, Back
		}
		cut(p.peers, out)
		for _, o := range r.procs[:r.Copies] {
			if l := o.peers[p.name]; l != nil {
				l.Cut(in)
			}
		}
		span()
		heal()
		return p.name + " leading"
	case MostCopies:
		most := slices.Clone(r.procs[:r.Copies])
		rand.New(rand.NewPCG(f.Pick, 3)).Shuffle(len(most), func(i, j int) { most[i], most[j] = most[j], most[i] })
		return kill(most[:r.Copies/2+1]...)
	case Late:
		p, name := r.holder(f.Pick)
		for _, l := range p.links {
			l.Delay(clock.Duration(100+350*f.Size), BothDirections)
		}
		span()
		heal()
		return p.name + " holding " + name
	case LateBack:
		// Responses are delayed, and then the holder's requests no longer arrive while delayed responses still do. A holder
		// that counted its lease from the arrival of a response would believe in it for longer than the leader waits.
		p, name := r.holder(f.Pick)
		then := r.later(ctx, f.At, p.links)
		r.sleep(ctx, then+0.6)
		cut(p.links, There)
		span()
		heal()
		return p.name + " holding " + name
	case StaleLeader:
		// Responses are in transit long enough for the holder to keep its session with a stopped leader. When that leader
		// resumes, the holder's heartbeats are waiting for it, and another leader has long been elected. A leader that
		// answered without confirming its leadership would renew leases that the new leader may grant to others.
		q := r.leader(f.Pick)
		p, name := r.slowest(q)
		if p == nil {
			return "nothing: " + q.name + " leads and holds all duties"
		}
		then := r.later(ctx, f.At, map[string]*Link{q.name: p.links[q.name]})
		for id, l := range p.links {
			if id != q.name {
				l.Cut(BothDirections)
			}
		}
		q.signal(syscall.SIGSTOP)
		r.sleep(ctx, then+1.5) // before the lease expires by the responses received so far
		p.links[q.name].Delay(0, Back)
		q.signal(syscall.SIGCONT)
		span()
		heal()
		return q.name + " leading and " + p.name + " holding " + name
	case Slow:
		p := r.leader(f.Pick)
		for _, o := range r.procs {
			if l := o.links[p.name]; l != nil {
				l.Throttle(3000)
			}
		}
		span()
		heal()
		return p.name + " leading"
	case Resets:
		for _, p := range r.procs {
			for _, l := range p.links {
				l.Reset()
			}
		}
		return "all sessions"
	case YieldDuty:
		p, name := r.holder(f.Pick)
		b, err := exec.CommandContext(ctx, r.Binary, "duty", "yield", name, "--operator", filepath.Join(r.procs[0].dir, "operator.yaml")).CombinedOutput()
		if err != nil {
			r.note("yield: %v: %s", err, b)
		}
		return p.name + " holding " + name
	case DrainHolder:
		p, name := r.holder(f.Pick)
		r.drain(p)
		span()
		again(p)
		return p.name + " holding " + name
	case Replace:
		if r.Servers == r.Copies {
			return "nothing: a replica's process keeps its address and data directory"
		}
		p := r.procs[r.Copies+int(f.Pick%uint64(r.Servers-r.Copies))]
		return r.replace(ctx, p)
	case Jump:
		p := r.procs[f.Pick%uint64(len(r.procs))]
		ms := (f.Size - 0.5) * 60_000
		for _, by := range []float64{ms, -ms} {
			req, err := http.NewRequestWithContext(ctx, http.MethodPut, fmt.Sprintf("http://%s/-/lab/jump?ms=%.0f", p.ops, by), nil)
			if err == nil {
				var resp *http.Response
				if resp, err = web.Do(req); err == nil {
					resp.Body.Close()
				}
			}
			if err != nil {
				r.note("jump: %v", err)
			}
			if by == ms {
				span()
			}
		}
		return fmt.Sprintf("%s by %.0f ms", p.name, ms)
	case OldFolder, NoFolder, Spoil, OldOfAll:
		for _, s := range r.look() {
			if !s.whole() { // a majority might lose log entries that no other replica has
				return "nothing: a replica has not regained its vote yet"
			}
		}
		p := r.procs[f.Pick%uint64(r.Copies)]
		hit := []*proc{p}
		if f.Kind == OldOfAll {
			hit = r.procs[:r.Copies]
		}
		for _, o := range hit {
			r.kill(o)
		}
		var err error
		switch f.Kind {
		case Spoil:
			err = spoil(filepath.Join(p.dir, "store", "raft.db"), f.Pick)
		case NoFolder:
			err = os.RemoveAll(filepath.Join(p.dir, "store"))
		default:
			err = copyFolder(filepath.Join(p.dir, "older"), filepath.Join(p.dir, "store"))
		}
		if err != nil {
			r.note("%s: %v", f.Kind, err)
		}
		span()
		for _, o := range hit {
			again(o)
		}
		return p.name
	case SpoilMemory:
		for _, s := range r.look() {
			if !s.whole() {
				return "nothing: a replica has not regained its vote yet"
			}
		}
		p := r.procs[f.Pick%uint64(r.Copies)]
		req, err := http.NewRequestWithContext(ctx, http.MethodPut, fmt.Sprintf("http://%s/-/lab/spoil?pick=%d", p.ops, f.Pick), nil)
		if err != nil {
			return err.Error()
		}
		resp, err := web.Do(req)
		if err != nil {
			r.note("spoil: %v", err)
			return "nothing: " + err.Error()
		}
		b, _ := io.ReadAll(io.LimitReader(resp.Body, 1<<10))
		resp.Body.Close()
		if resp.StatusCode != http.StatusOK || len(b) == 0 {
			return "nothing: the replica has no state in memory"
		}
		r.add(trace.Event{What: spoilt, Who: p.name, Text: string(b)})
		span()
		return fmt.Sprintf("%s, effect %s", p.name, b)
	case ColdAll:
		r.mu.Lock()
		r.cold, r.bootAt = true, time.Now()
		r.mu.Unlock()
		kill(r.procs...)
		return "all servers"
	case SlowVault:
		r.vault.slower(10)
		span()
		r.vault.slower(1)
		return "the vault"
	}
	return "nothing"
}

// replace starts a second process of a server next to the running one and then ends the first, as operators do.
func (r *run) replace(ctx context.Context, p *proc) string {
	ops, err := free(strings.Split(p.ops, ":")[0])
	if err != nil {
		return err.Error()
	}
	x, err := newExecutor(p.name, r.add, r.boots)
	if err != nil {
		return err.Error()
	}
	p.mu.Lock()
	old, oldDone := p.cmd, p.done
	p.mu.Unlock()
	oldExec := p.exec
	p.exec, p.ops = x, ops
	if err := r.start(p); err != nil {
		r.note("replace: %v", err)
		return p.name
	}
	late := time.Now().Add(6 * time.Second)
	for time.Now().Before(late) && ctx.Err() == nil {
		if resp, err := web.Get("http://" + p.ops + "/-/ready"); err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				break
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	old.Process.Signal(syscall.SIGTERM)
	select {
	case <-oldDone:
	case <-time.After(10 * time.Second):
		r.note("the replaced process of %s did not exit within 10 s of SIGTERM", p.name)
		old.Process.Kill()
		<-oldDone
	}
	oldExec.ln.Close()
	return p.name + ", replaced by a second process"
}

// publish writes the files of a version, and last the manifest with their checksums.
func (r *run) publish(n int) error {
	dir := filepath.Join(r.Out, "published")
	hosts := fmt.Sprintf("name,address,port,groups\nh%d,127.0.0.1,%d,runners\n", n, 3000+n)
	operator := "inventory: {path: inventory.csv, group: runners}\n"
	sums := ""
	for _, f := range []struct{ name, text string }{{"inventory.csv", hosts}, {"operator.yaml", operator}} {
		if err := os.WriteFile(filepath.Join(dir, f.name), []byte(f.text), 0o644); err != nil {
			return err
		}
		sums += sum(f.text) + "  " + f.name + "\n"
	}
	return os.WriteFile(filepath.Join(dir, "SUMS"), []byte(sums), 0o644)
}

const compareAll = 13 // s within which the replicas compare all parts of their state, one election included

const spoilt = "spoilt" // event: the lab corrupted a replica's memory

// spoil flips 1 to 20 bits of a file at positions that pick determines.
func spoil(path string, pick uint64) error {
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

// copyFolder replaces a directory by a copy of another one.
func copyFolder(from, to string) error {
	if err := os.RemoveAll(to); err != nil {
		return err
	}
	return filepath.WalkDir(from, func(path string, d fs.DirEntry, err error) error {
		if errors.Is(err, fs.ErrNotExist) {
			return nil // a snapshot in the making was renamed or removed
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
