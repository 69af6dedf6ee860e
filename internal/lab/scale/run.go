package scale

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"puffinsaddle/internal/clock"
	"puffinsaddle/internal/distribution"
)

const (
	readyTimeout             = 60 * time.Second
	convergeTimeout          = 60 * time.Second
	presenceTimeout          = 60 * time.Second
	changesPerSecond         = changesPerDay / 86400
	changesPerSecondInFaults = 2.0
	warmUpPeriod             = time.Second // before a measurement starts
	sessionRampMS            = 6000.0      // period over which all sessions of a size open
	publishedDir             = "published"
	manifestName             = "SUMS"
	wholeVersionBytes        = 64 << 10        // minimum size of a file that is published whole, as without relays
	wholeVersionInterval     = 5 * time.Second // interval between published versions
)

// run is the state of one run of the scale test.
type run struct {
	*fleet
	steady         *clock.Clock
	out            io.Writer
	injectedFaults []injectedFault
	notes          []string
	simulatedCount int
	sizeSpans      []span
}

// span is a period in ms of the machine's monotonic clock.
type span struct{ fromMS, toMS float64 }

// outcome is what a run leaves for the checker and the report, besides the traces.
type outcome struct {
	setup           Setup
	points          []Point
	sizeSpans       []span
	injectedFaults  []injectedFault
	notes           []string
	unexpectedExits []string
	zoneOf          map[string]string // zone by name, of relays and real servers
	bursts          []span
	unconverged     []string // phases that did not converge
}

// addNote adds a note to the report.
func (r *run) addNote(format string, a ...any) { r.notes = append(r.notes, fmt.Sprintf(format, a...)) }

// printProgress prints a line of progress.
func (r *run) printProgress(format string, a ...any) { fmt.Fprintf(r.out, format+"\n", a...) }

// execute executes the run. It returns an error if the test itself fails; failures of the tested processes are part of the
// outcome.
func execute(ctx context.Context, s Setup, out io.Writer) (*outcome, error) {
	f, err := newFleet(s)
	if err != nil {
		return nil, err
	}
	defer f.close()
	r := &run{fleet: f, steady: clock.Monotonic(), out: out}
	o := &outcome{setup: s, zoneOf: map[string]string{}}
	for _, p := range append(append([]*process(nil), f.relays...), f.servers...) {
		o.zoneOf[p.name] = p.zone
	}
	w, err := r.startProcesses(ctx)
	if err != nil {
		return nil, err
	}
	for i, n := range s.Servers {
		p, err := r.measureSize(ctx, o, i, n, w)
		if ctx.Err() != nil {
			return nil, fmt.Errorf("scale: ended before its time: %w", ctx.Err())
		}
		if err != nil {
			return nil, err
		}
		o.points = append(o.points, p)
	}
	r.fleet.stop()
	o.sizeSpans, o.injectedFaults, o.notes, o.unexpectedExits = r.sizeSpans, r.injectedFaults, r.notes, r.listUnexpectedExits()
	return o, nil
}

// startProcesses starts the store replicas, loads the records, and starts the relays and real servers.
func (r *run) startProcesses(ctx context.Context) (*recordWriter, error) {
	if r.Today {
		if err := r.publishWholeVersion(0); err != nil {
			return nil, err
		}
	}
	if err := r.startAll(r.storeReplicas); err != nil {
		return nil, err
	}
	if err := waitFor(readyTimeout, "store has no leader", func() (bool, string) { return ctx.Err() != nil || r.leader() != nil, "" }); err != nil {
		return nil, err
	}
	w := newRecordWriter(ctx, r.fleet)
	startedAt := time.Now()
	if err := w.load(ctx); err != nil {
		return nil, err
	}
	revision, _ := w.progress()
	r.printProgress("%d records in %d changes in %.1f s", r.Routes+r.Tenants, revision, time.Since(startedAt).Seconds())
	startedAt = time.Now()
	if err := r.startAll(append(append([]*process(nil), r.relays...), r.servers...)); err != nil {
		return nil, err
	}
	if err := r.waitConverged(ctx, w); err != nil {
		return nil, err
	}
	r.printProgress("%d relays and %d servers have them from snapshots in %.1f s", len(r.relays), len(r.servers), time.Since(startedAt).Seconds())
	return w, nil
}

// convergedPosition waits until the processes have converged, and returns their common position.
func (r *run) convergedPosition(ctx context.Context, w *recordWriter) (p distribution.Position, err error) {
	if err := r.waitConverged(ctx, w); err != nil {
		return p, err
	}
	var metrics serverMetrics
	if err := readMetrics(r.servers[0].metricsAddress, &metrics); err != nil {
		return p, err
	}
	p.Revision = metrics.Records.Revision
	return p, p.Digest.UnmarshalText([]byte(metrics.Records.Digest))
}

// waitConverged waits until all running processes have the latest revision.
func (r *run) waitConverged(ctx context.Context, w *recordWriter) error {
	return waitFor(convergeTimeout, "not all processes have the latest revision", func() (bool, string) {
		if ctx.Err() != nil {
			return true, ""
		}
		latest, _ := w.progress()
		for _, p := range r.servers {
			var v serverMetrics
			if err := readMetrics(p.metricsAddress, &v); err != nil || v.Records == nil || v.Records.Revision < latest {
				return false, fmt.Sprintf("%s has not reached revision %d (%v)", p.name, latest, err)
			}
		}
		for _, p := range r.relays {
			var v struct {
				Serving struct {
					Revision uint64 `json:"revision"`
				} `json:"serving"`
			}
			if err := readMetrics(p.metricsAddress, &v); err != nil || v.Serving.Revision < latest {
				return false, fmt.Sprintf("%s has not reached revision %d (%v)", p.name, latest, err)
			}
		}
		for _, h := range r.simulators {
			if a, err := h.sendCommand(simulatorCommand{Kind: commandStatus}); err != nil || a.LowestRevision < latest {
				return false, fmt.Sprintf("%s is at revision %d of %d (%v)", h.name, a.LowestRevision, latest, err)
			}
		}
		return true, ""
	})
}

// measureSize measures one size: first without sessions, then with them, and at last under faults.
func (r *run) measureSize(ctx context.Context, o *outcome, i, servers int, w *recordWriter) (p Point, err error) {
	position, err := r.convergedPosition(ctx, w)
	if err != nil {
		return p, err
	}
	_, before := w.progress()
	r.simulatedCount = servers - r.Real
	if err := r.setUpSimulators(i, r.simulatedCount, position); err != nil {
		return p, err
	}
	s := span{fromMS: r.steady.Now()}
	if err := r.startAll(r.simulators); err != nil {
		return p, err
	}
	p = Point{Servers: servers, Hollow: r.simulatedCount, Processes: len(r.storeReplicas) + len(r.relays) + len(r.servers) + len(r.simulators)}
	if err := r.waitConverged(ctx, w); err != nil {
		return p, err
	}
	configRates := r.measurePhase(ctx, o, w)
	r.fillRates(&p, configRates, configRates)
	if ctx.Err() != nil {
		return p, ctx.Err()
	}
	if r.Sessions {
		if err := r.sendCommandToAll(simulatorCommand{Kind: commandOpenSessions, DurationMS: sessionRampMS, Seed: r.Seed}); err != nil {
			return p, err
		}
		if err := r.waitPresent(ctx); err != nil {
			o.unconverged = append(o.unconverged, fmt.Sprintf("%d servers, opening sessions: %v", servers, err))
		}
		r.fillRates(&p, configRates, r.measurePhase(ctx, o, w))
	}
	if r.Today {
		if err := r.measureWholeVersions(ctx, &p); err != nil {
			return p, err
		}
	}
	r.injectUnderLoad(ctx, i, w)
	if err := r.waitConverged(ctx, w); err != nil && ctx.Err() == nil {
		o.unconverged = append(o.unconverged, fmt.Sprintf("%d servers, revisions after the faults: %v", servers, err))
	}
	if r.Sessions {
		if err := r.waitPresent(ctx); err != nil && ctx.Err() == nil {
			o.unconverged = append(o.unconverged, fmt.Sprintf("%d servers, sessions after the faults: %v", servers, err))
		}
	}
	r.fillMemory(&p)
	if i < len(r.Servers)-1 {
		endAll(r.simulators, syscall.SIGTERM)
		r.simulators = nil
	}
	s.toMS = r.steady.Now()
	r.sizeSpans = append(r.sizeSpans, s)
	_, after := w.progress()
	p.Changes = after - before
	r.printProgress("%d servers: %d changes; leader uses %.4f cores and %.0f bytes per second for configuration, %.4f and %.0f for sessions", servers, p.Changes,
		p.LeaderConfigCPU, p.LeaderConfigBytes, p.LeaderSessionCPU, p.LeaderSessionBytes)
	return p, ctx.Err()
}

const maxPhaseAttempts = 3

// measurePhase measures one phase. It repeats the phase if the leader changed, because the leader's counters are then not
// comparable.
func (r *run) measurePhase(ctx context.Context, o *outcome, w *recordWriter) (rate rates) {
	for range maxPhaseAttempts {
		if rate = r.runPhase(ctx, o, w); rate.sameLeader || ctx.Err() != nil {
			return rate
		}
		r.addNote("the store leader changed while %d servers were measured", r.simulatedCount+r.Real)
	}
	o.unconverged = append(o.unconverged, fmt.Sprintf("no replica led the store for a whole phase of %s, in %d attempts", r.For, maxPhaseAttempts))
	return rate
}

// runPhase makes changes for one phase, with a burst in its middle, and returns the rates of the phase.
func (r *run) runPhase(ctx context.Context, o *outcome, w *recordWriter) rates {
	sleep(ctx, warmUpPeriod)
	first := r.takeSample()
	during, stop := context.WithTimeout(ctx, r.For)
	defer stop()
	var running sync.WaitGroup
	running.Go(func() {
		sleep(during, r.For/2)
		b := span{fromMS: r.steady.Now()}
		w.changeInBurst(ctx, burstChanges)
		b.toMS = r.steady.Now()
		o.bursts = append(o.bursts, b)
	})
	w.changeSteadily(during, changesPerSecond, keysPerChange)
	running.Wait()
	return ratesBetween(first, r.takeSample())
}

// fillRates sets the rates of a point. config was measured without sessions, both with sessions and configuration.
func (r *run) fillRates(p *Point, config, both rates) {
	p.LeaderConfigBytes, p.LeaderConfigCPU = config.configBytes, config.leaderCPU
	p.LeaderSessionBytes, p.LeaderSessionCPU = both.sessionBytes, max(both.leaderCPU-config.leaderCPU, 0)
	p.RelayBytes, p.RelayCPU = max(config.relayBytes, both.relayBytes), max(config.relayCPU, both.relayCPU)
	n := float64(r.simulatedCount)
	p.ServerBytes, p.ServerCPU = both.simulatedBytes/n, both.simulatedCPU/n
	p.ServerConfig, p.ServerConfigCPU = config.simulatedBytes/n, config.simulatedCPU/n
}

// fillMemory sets the maximum memory of each kind of process.
func (r *run) fillMemory(p *Point) {
	maxMemory := func(all []*process) (maxMemory int64) {
		for _, q := range all {
			if n, err := residentMemory(q.pid()); err == nil {
				maxMemory = max(maxMemory, n)
			}
		}
		return maxMemory
	}
	p.ServerMemory, p.RelayMemory, p.LeaderMemory = maxMemory(r.servers), maxMemory(r.relays), maxMemory(r.storeReplicas)
}

// waitPresent waits until the presence of every simulated server is in force.
func (r *run) waitPresent(ctx context.Context) error {
	return waitFor(presenceTimeout, "not all servers are present", func() (bool, string) {
		n := 0
		for _, h := range r.simulators {
			if a, err := h.sendCommand(simulatorCommand{Kind: commandStatus}); err == nil {
				n += a.Present
			}
		}
		return ctx.Err() != nil || n == r.simulatedCount, fmt.Sprintf("%d of %d", n, r.simulatedCount)
	})
}

// injectUnderLoad injects the faults of one size while changes are made.
func (r *run) injectUnderLoad(ctx context.Context, point int, w *recordWriter) {
	during, stop := context.WithTimeout(ctx, r.For)
	defer stop()
	var running sync.WaitGroup
	running.Go(func() { w.changeSteadily(during, changesPerSecondInFaults, keysPerChange) })
	r.injectAll(ctx, point, w)
	running.Wait()
}

// measureWholeVersions measures the cost of publishing a whole file without relays, where the leader sends it to each server.
func (r *run) measureWholeVersions(ctx context.Context, p *Point) error {
	sleep(ctx, warmUpPeriod)
	first := r.takeSample()
	for i := 0; time.Since(first.at) < r.For && ctx.Err() == nil; i++ {
		if err := r.publishWholeVersion(int(first.at.UnixNano()) + i); err != nil {
			return err
		}
		sleep(ctx, wholeVersionInterval)
	}
	rate := ratesBetween(first, r.takeSample())
	p.TodayBytes, p.TodayCPU, p.TodayEntries = rate.sessionBytes, rate.leaderCPU, rate.logEntries
	return nil
}

// publishWholeVersion writes another version of the published file, with its manifest.
func (r *run) publishWholeVersion(version int) error {
	dir := filepath.Join(r.Out, publishedDir)
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	var b strings.Builder
	b.WriteString("name,address,port,groups\n")
	for i := 0; b.Len() < wholeVersionBytes; i++ {
		fmt.Fprintf(&b, "host-%d-%05d,127.0.0.1,%d,runners\n", version, i, 1024+i%60000)
	}
	const name = "inventory.csv"
	sum := sha256.Sum256([]byte(b.String()))
	if err := os.WriteFile(filepath.Join(dir, name), []byte(b.String()), 0o644); err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(dir, manifestName), []byte(hex.EncodeToString(sum[:])+"  "+name+"\n"), 0o644)
}
