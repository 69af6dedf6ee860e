package lab

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"slices"
	"sync"
	"syscall"
	"time"

	"puffinsaddle/internal/clock"
	"puffinsaddle/internal/trace"
)

// Setup describes a run.
type Setup struct {
	Binary   string
	Out      string
	Seed     uint64
	Seconds  float64 // duration of the load
	Copies   int
	Servers  int // including those with a store replica
	Scenario Scenario
	Plant    string
	Load     float64 // requests per second
	Static   bool    // each server has an equal share of the downstream capacity, and there is no allotter
	Slots    int     // calls that the vault serves at once
}

// Settings of the processes and timeouts of the lab. Plain numbers are in ms, except for rate, the largest relative deviation of
// a process's clock.
const (
	ttl      = 2000.0
	renew    = 300.0
	rate     = 0.1
	margin   = 50.0
	markMs   = 100.0
	stopMs   = 3000.0
	upWithin = 40 * time.Second
)

var dutyNames = []string{"allotter", "publisher", "settler", "probe-1", "probe-2"}

type run struct {
	Setup
	procs    []*proc
	vault    *vault
	routers  *routers
	one      *clock.Clock
	begun    float64
	starter  chan func()
	rng      *rand.Rand
	tmp      string // short, because the path of a Unix socket is limited
	cold     bool
	compares bool // the build knows the setting store.compare_ms
	bootAt   time.Time

	mu     sync.Mutex
	events []trace.Event
	crash  []string
	notes  []string
}

func (r *run) add(e trace.Event) {
	e.At = r.one.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, e)
}

func (r *run) note(format string, a ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.notes = append(r.notes, fmt.Sprintf(format, a...))
}

// Outcome is what a run recorded.
type Outcome struct {
	Events []trace.Event
	Crash  []string
	Notes  []string
	Begun  float64 // start of the load, in ms of the machine's clock
	Ended  float64 // end of the load, likewise
	Faults []Done
	Served Served
	Vault  struct {
		Calls, Most, Over, Slots int
		Mean                     float64
	}
	Load  *routers
	Pool  int64
	Alone int64
}

// Done is a fault that was injected, with what it hit.
type Done struct {
	Fault
	Hit string `json:"hit"`
}

// Play executes one run.
func Play(ctx context.Context, s Setup) (*Outcome, error) {
	if err := os.MkdirAll(s.Out, 0o755); err != nil {
		return nil, err
	}
	r := &run{Setup: s, one: clock.Monotonic(), starter: make(chan func()), rng: rand.New(rand.NewPCG(s.Seed, 9)), bootAt: time.Now()}
	over := make(chan struct{})
	defer close(over)
	go func() {
		// The kernel kills the children (Pdeathsig) when the thread that started them ends, so one locked thread starts all
		// of them and ends with the run.
		runtime.LockOSThread()
		for {
			select {
			case do := <-r.starter:
				do()
			case <-over:
				return
			}
		}
	}()
	var err error
	if r.tmp, err = os.MkdirTemp("", "lab"); err != nil {
		return nil, err
	}
	defer os.RemoveAll(r.tmp)
	if r.vault, err = newVault(s.Slots); err != nil {
		return nil, err
	}
	defer r.vault.ln.Close()
	r.compares = r.takes("store: {compare_ms: 100}\n")
	if err := r.lay(); err != nil {
		return nil, err
	}
	defer r.closeAll()
	for _, p := range r.procs {
		if err := r.start(p); err != nil {
			return nil, err
		}
	}
	if err := r.settled(ctx, upWithin); err != nil {
		return nil, fmt.Errorf("lab: processes not ready for the load: %w", err)
	}
	for _, p := range r.procs { // the old data directories for the faults that restore one
		if p.copies {
			p.signal(syscall.SIGSTOP)
			err := copyFolder(filepath.Join(p.dir, "store"), filepath.Join(p.dir, "older"))
			p.signal(syscall.SIGCONT)
			if err != nil {
				return nil, err
			}
		}
	}
	r.begun = r.one.Now()
	r.routers = newRouters()
	stop := make(chan struct{})
	var loads sync.WaitGroup
	loads.Add(1)
	go func() {
		defer loads.Done()
		r.routers.run(s.Seed, s.Load, r.serving, stop)
	}()
	var made []Done
	for _, f := range Schedule(s.Seed, s.Scenario, s.Seconds) {
		if !r.sleep(ctx, f.At) {
			break
		}
		d := Done{Fault: f}
		d.Hit = r.inject(ctx, f)
		made = append(made, d)
		r.add(trace.Event{What: "fault", Who: d.Hit, Text: f.Kind, Until: r.one.Now()})
	}
	r.sleep(ctx, s.Seconds)
	if err := r.settled(ctx, upWithin); err != nil && ctx.Err() == nil {
		r.crash = append(r.crash, "after the last fault: "+err.Error())
	}
	ended := r.one.Now()
	close(stop)
	loads.Wait()
	time.Sleep(clock.Duration(waitMs)) // for outstanding responses or their timeouts
	r.end()
	o := &Outcome{Crash: r.crash, Notes: r.notes, Begun: r.begun, Ended: ended, Faults: made, Served: r.routers.served(), Load: r.routers, Pool: r.pool(), Alone: alone}
	o.Events = r.events
	r.vault.count(0)
	o.Vault.Calls, o.Vault.Most, o.Vault.Over, o.Vault.Slots = r.vault.calls, r.vault.most, r.vault.over, r.vault.slots
	o.Vault.Mean = r.vault.area / float64(time.Since(r.vault.begun).Milliseconds())
	for _, p := range r.procs {
		files, err := filepath.Glob(filepath.Join(p.dir, "*.trace"))
		if err != nil {
			return nil, err
		}
		for _, path := range files {
			all, err := trace.Read(path)
			if err != nil {
				return nil, err
			}
			o.Events = append(o.Events, all...)
		}
	}
	slices.SortStableFunc(o.Events, func(a, b trace.Event) int {
		switch {
		case a.At < b.At:
			return -1
		case a.At > b.At:
			return 1
		}
		return 0
	})
	return o, nil
}

// sleep waits until s seconds after the start of the load. It returns false if ctx was canceled.
func (r *run) sleep(ctx context.Context, s float64) bool {
	d := clock.Duration(r.begun + s*1000 - r.one.Now())
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

const alone = 500 // thousandths of a concurrent downstream call that a server without a share may use

// whole returns the downstream calls that may be in flight at once, in thousandths.
func (r *run) whole() int64 { return int64(r.Slots) * 1000 }

// most returns how many processes there may be at once, with those that a replacement runs next to its predecessor.
func (r *run) most() int { return r.Servers + 2 }

// pool returns the capacity that the allotter divides, in thousandths of a call.
func (r *run) pool() int64 { return r.whole() - alone*int64(r.most()) }

// takes reports whether the build, which may be an earlier one, accepts an operator's file with this text.
func (r *run) takes(text string) bool {
	path := filepath.Join(r.tmp, "probe.yaml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return false
	}
	return exec.Command(r.Binary, "config", "check", "--operator", path).Run() == nil
}
