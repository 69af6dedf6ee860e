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
	changesPerSecondInFaults = 2.0 // changes while faults are made
	warmUpPeriod             = time.Second
	sessionRampMS            = 6000.0 // in which all sessions of a size open
	publishedDir             = "published"
	manifestName             = "SUMS"
	wholeVersionBytes        = 64 << 10 // of a file that is published the way it is done without relays
	wholeVersionInterval     = 5 * time.Second
)

// run is one run.
type run struct {
	*fleet
	steady         *clock.Clock
	out            io.Writer
	injectedFaults []injectedFault
	notes          []string
	simulatedCount int
	sizeSpans      []span
}

// span is the time of one size on the machine's clock.
type span struct{ fromMS, toMS float64 }

// outcome is what a run left behind.
type outcome struct {
	setup           Setup
	points          []Point
	sizeSpans       []span
	injectedFaults  []injectedFault
	notes           []string
	unexpectedExits []string
	zoneOf          map[string]string // of relays and real servers
	bursts          []span
	unconverged     []string // what did not converge
}

func (r *run) addNote(format string, a ...any) { r.notes = append(r.notes, fmt.Sprintf(format, a...)) }

func (r *run) printProgress(format string, a ...any) { fmt.Fprintf(r.out, format+"\n", a...) }

// execute makes the run. An error is one of the laboratory; what the processes did wrong is in the outcome.
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

// startProcesses starts the copies, fills the store, and starts relays and real servers.
func (r *run) startProcesses(ctx context.Context) (*recordWriter, error) {
	if r.Today {
		if err := r.publishWholeVersion(0); err != nil {
			return nil, err
		}
	}
	if err := r.startAll(r.storeReplicas); err != nil {
		return nil, err
	}
	if err := waitFor(readyTimeout, "no copy leads", func() (bool, string) { return ctx.Err() != nil || r.leader() != nil, "" }); err != nil {
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

// convergedPosition is where the real servers and the relays are: at the latest revision, all with the same records.
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

// waitConverged waits until all that run have the latest revision.
func (r *run) waitConverged(ctx context.Context, w *recordWriter) error {
	return waitFor(convergeTimeout, "not all have the latest revision", func() (bool, string) {
		if ctx.Err() != nil {
			return true, ""
		}
		latest, _ := w.progress()
		for _, p := range r.servers {
			var v serverMetrics
			if err := readMetrics(p.metricsAddress, &v); err != nil || v.Records == nil || v.Records.Revision < latest {
				return false, fmt.Sprintf("%s is behind %d (%v)", p.name, latest, err)
			}
		}
		for _, p := range r.relays {
			var v struct {
				Serving struct {
					Revision uint64 `json:"revision"`
				} `json:"serving"`
			}
			if err := readMetrics(p.metricsAddress, &v); err != nil || v.Serving.Revision < latest {
				return false, fmt.Sprintf("%s is behind %d (%v)", p.name, latest, err)
			}
		}
		for _, h := range r.simulators {
			if a, err := h.sendCommand(simulatorCommand{Kind: commandStatus}); err != nil || a.LowestRevision < latest {
				return false, fmt.Sprintf("%s is at %d of %d (%v)", h.name, a.LowestRevision, latest, err)
			}
		}
		return true, ""
	})
}

// measureSize plays one size: without sessions, with them, and with faults.
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
			o.unconverged = append(o.unconverged, fmt.Sprintf("%d servers open sessions: %v", servers, err))
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
		o.unconverged = append(o.unconverged, fmt.Sprintf("%d servers after the faults: %v", servers, err))
	}
	if r.Sessions {
		if err := r.waitPresent(ctx); err != nil && ctx.Err() == nil {
			o.unconverged = append(o.unconverged, fmt.Sprintf("%d servers after the faults: %v", servers, err))
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
	r.printProgress("%d servers: %d changes, leader %.4f of a core and %.0f bytes a second for configuration, %.4f and %.0f for sessions", servers, p.Changes,
		p.LeaderConfigCPU, p.LeaderConfigBytes, p.LeaderSessionCPU, p.LeaderSessionBytes)
	return p, ctx.Err()
}

const maxPhaseAttempts = 3

// measurePhase measures one phase. One in which another copy took office tells nothing of the copy that leads, and is played again.
func (r *run) measurePhase(ctx context.Context, o *outcome, w *recordWriter) (rate rates) {
	for range maxPhaseAttempts {
		if rate = r.runPhase(ctx, o, w); rate.sameLeader || ctx.Err() != nil {
			return rate
		}
		r.addNote("another copy took office while %d servers were measured", r.simulatedCount+r.Real)
	}
	o.unconverged = append(o.unconverged, fmt.Sprintf("no copy leads for a whole phase of %s, in %d of them", r.For, maxPhaseAttempts))
	return rate
}

// runPhase runs one phase of changes, with a burst in its middle.
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

func (r *run) fillRates(p *Point, config, both rates) {
	p.LeaderConfigBytes, p.LeaderConfigCPU = config.configBytes, config.leaderCPU
	p.LeaderSessionBytes, p.LeaderSessionCPU = both.sessionBytes, max(both.leaderCPU-config.leaderCPU, 0)
	p.RelayBytes, p.RelayCPU = max(config.relayBytes, both.relayBytes), max(config.relayCPU, both.relayCPU)
	n := float64(r.simulatedCount)
	p.ServerBytes, p.ServerCPU = both.simulatedBytes/n, both.simulatedCPU/n
	p.ServerConfig, p.ServerConfigCPU = config.simulatedBytes/n, config.simulatedCPU/n
}

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

// waitPresent waits until every hollow server's session has a presence in force.
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

// injectUnderLoad makes the faults of one size, with changes going on.
func (r *run) injectUnderLoad(ctx context.Context, point int, w *recordWriter) {
	during, stop := context.WithTimeout(ctx, r.For)
	defer stop()
	var running sync.WaitGroup
	running.Go(func() { w.changeSteadily(during, changesPerSecondInFaults, keysPerChange) })
	r.injectAll(ctx, point, w)
	running.Wait()
}

// measureWholeVersions measures what a file costs that is published whole, to each server by the copy that leads.
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

// publishWholeVersion writes another version of a file, with its manifest.
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
