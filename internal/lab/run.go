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
	Binary            string
	Out               string
	Seed              uint64
	Seconds           float64 // duration of the load
	Replicas          int
	Servers           int // including those with a store replica
	Scenario          Scenario
	InjectedBug       string
	RequestsPerSecond float64
	NoAllotter        bool // each server has an equal share of the downstream capacity, and there is no allotter
	VaultSlots        int  // calls that the vault serves at once
}

// Settings of the processes and timeouts of the lab. Plain numbers are in ms, except for maxClockDrift, the largest
// relative deviation of a process's clock rate.
const (
	ttlMS          = 2000.0
	renewMS        = 300.0
	maxClockDrift  = 0.1
	marginMS       = 50.0
	markIntervalMS = 100.0
	stopTimeoutMS  = 3000.0
	healthyTimeout = 40 * time.Second
)

var dutyNames = []string{"allotter", "publisher", "settler", "probe-1", "probe-2"}

// run is the state of a run in progress.
type run struct {
	Setup
	orderServers     []*server
	vault            *fakeVault
	load             *loadGenerator
	machineClock     *clock.Clock
	loadStartMS      float64
	startRequests    chan func()
	rng              *rand.Rand
	tmpDir           string // short, because the path of a Unix socket is limited
	cold             bool
	comparesReplicas bool // the build knows the setting store.compare_ms
	bootedAt         time.Time

	mu       sync.Mutex
	events   []trace.Event
	failures []string
	notes    []string
}

// addEvent records an event with the current time.
func (r *run) addEvent(e trace.Event) {
	e.At = r.machineClock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, e)
}

// addNote records a note for the report.
func (r *run) addNote(format string, a ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.notes = append(r.notes, fmt.Sprintf(format, a...))
}

// Outcome is what a run recorded.
type Outcome struct {
	Events      []trace.Event
	Failures    []string
	Notes       []string
	LoadStartMS float64 // start of the load, in ms of the machine's clock
	LoadEndMS   float64 // end of the load, likewise
	Faults      []InjectedFault
	Served      Served
	Vault       struct {
		Calls, MaxInFlight, CallsOverSlots, Slots int
		MeanInFlight                              float64
	}
	Load       *loadGenerator
	PoolMilli  int64 // capacity that the allotter divides, in thousandths of a call
	AloneMilli int64 // capacity of a server without a share, likewise
}

// InjectedFault is a fault that was injected, with a description of what it hit.
type InjectedFault struct {
	Fault
	Hit string `json:"hit"`
}

// Execute starts the processes, generates load, injects the scheduled faults and collects the traces of one run. It returns an
// error if the run itself fails; failures of the tested processes are part of the Outcome.
func Execute(ctx context.Context, s Setup) (*Outcome, error) {
	if err := os.MkdirAll(s.Out, 0o755); err != nil {
		return nil, err
	}
	r := &run{Setup: s, machineClock: clock.Monotonic(), startRequests: make(chan func()), rng: rand.New(rand.NewPCG(s.Seed, 9)), bootedAt: time.Now()}
	finished := make(chan struct{})
	defer close(finished)
	go func() {
		// The kernel kills the children (Pdeathsig) when the thread that started them ends, so one locked thread starts all
		// of them and ends with the run.
		runtime.LockOSThread()
		for {
			select {
			case do := <-r.startRequests:
				do()
			case <-finished:
				return
			}
		}
	}()
	var err error
	if r.tmpDir, err = os.MkdirTemp("", "lab"); err != nil {
		return nil, err
	}
	defer os.RemoveAll(r.tmpDir)
	if r.vault, err = newFakeVault(s.VaultSlots); err != nil {
		return nil, err
	}
	defer r.vault.ln.Close()
	r.comparesReplicas = r.acceptsOperatorFile("store: {compare_ms: 100}\n")
	if err := r.prepare(); err != nil {
		return nil, err
	}
	defer r.closeAll()
	for _, p := range r.orderServers {
		if err := r.start(p); err != nil {
			return nil, err
		}
	}
	if err := r.waitHealthy(ctx, healthyTimeout); err != nil {
		return nil, fmt.Errorf("lab: processes not ready for the load: %w", err)
	}
	for _, p := range r.orderServers { // the old data directories for the faults that restore one
		if p.hasReplica {
			p.signal(syscall.SIGSTOP)
			err := replaceDirectory(filepath.Join(p.dir, "store"), filepath.Join(p.dir, "older"))
			p.signal(syscall.SIGCONT)
			if err != nil {
				return nil, err
			}
		}
	}
	r.loadStartMS = r.machineClock.Now()
	r.load = newLoadGenerator()
	stop := make(chan struct{})
	var loadDone sync.WaitGroup
	loadDone.Add(1)
	go func() {
		defer loadDone.Done()
		r.load.run(s.Seed, s.RequestsPerSecond, r.runningAddresses, stop)
	}()
	var injected []InjectedFault
	for _, f := range Schedule(s.Seed, s.Scenario, s.Seconds) {
		if !r.sleepUntil(ctx, f.At) {
			break
		}
		d := InjectedFault{Fault: f}
		d.Hit = r.inject(ctx, f)
		injected = append(injected, d)
		r.addEvent(trace.Event{What: "fault", Who: d.Hit, Text: f.Kind, Until: r.machineClock.Now()})
	}
	r.sleepUntil(ctx, s.Seconds)
	if err := r.waitHealthy(ctx, healthyTimeout); err != nil && ctx.Err() == nil {
		r.failures = append(r.failures, "after the last fault: "+err.Error())
	}
	loadEndMS := r.machineClock.Now()
	close(stop)
	loadDone.Wait()
	time.Sleep(clock.Duration(requestTimeoutMS)) // for outstanding responses or their timeouts
	r.drainAll()
	o := &Outcome{Failures: r.failures, Notes: r.notes, LoadStartMS: r.loadStartMS, LoadEndMS: loadEndMS, Faults: injected, Served: r.load.summary(), Load: r.load, PoolMilli: r.poolMilli(), AloneMilli: aloneMilli}
	o.Events = r.events
	r.vault.addInFlight(0)
	o.Vault.Calls, o.Vault.MaxInFlight, o.Vault.CallsOverSlots, o.Vault.Slots = r.vault.calls, r.vault.maxInFlight, r.vault.callsOverSlots, r.vault.slots
	o.Vault.MeanInFlight = r.vault.inFlightMS / float64(time.Since(r.vault.startedAt).Milliseconds())
	for _, p := range r.orderServers {
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

// sleepUntil waits until the given number of seconds after the start of the load. It returns false if ctx was canceled.
func (r *run) sleepUntil(ctx context.Context, seconds float64) bool {
	d := clock.Duration(r.loadStartMS + seconds*1000 - r.machineClock.Now())
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

const aloneMilli = 500 // thousandths of a concurrent downstream call that a server without a share may use

// capacityMilli returns the downstream calls that may be in flight at once, in thousandths.
func (r *run) capacityMilli() int64 { return int64(r.VaultSlots) * 1000 }

// maxProcesses returns how many processes there may be at once, including successors that run next to their predecessors.
func (r *run) maxProcesses() int { return r.Servers + 2 }

// poolMilli returns the capacity that the allotter divides, in thousandths of a call.
func (r *run) poolMilli() int64 { return r.capacityMilli() - aloneMilli*int64(r.maxProcesses()) }

// acceptsOperatorFile reports whether the build, which may be an earlier one, accepts an operator's file with this text.
func (r *run) acceptsOperatorFile(text string) bool {
	path := filepath.Join(r.tmpDir, "probe.yaml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return false
	}
	return exec.Command(r.Binary, "config", "check", "--operator", path).Run() == nil
}
