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
	readyWithin     = 60 * time.Second
	convergeWithin  = 60 * time.Second
	presentWithin   = 60 * time.Second
	steadyPerSecond = changesADay / 86400
	faultPerSecond  = 2.0         // changes per second while faults are injected
	warmUp          = time.Second // before a measurement starts
	sessionsMs      = 6000.0      // period over which all sessions of a size open
	publishedDir    = "published"
	manifestName    = "SUMS"
	todayBytes      = 64 << 10        // minimum size of a file that is published whole, as without relays
	todayEvery      = 5 * time.Second // interval between published versions
)

// run is the state of one run of the scale test.
type run struct {
	*fleet
	steady      *clock.Clock
	out         io.Writer
	made        []made
	notes       []string
	hollowCount int
	spans       []span
}

// span is a period in ms of the machine's monotonic clock.
type span struct{ from, to float64 }

// outcome is what a run leaves for the checker and the report, besides the traces.
type outcome struct {
	setup   Setup
	points  []Point
	spans   []span
	made    []made
	notes   []string
	crash   []string
	zoneOf  map[string]string // zone by name, of relays and real servers
	bursts  []span
	problem []string // phases that did not converge
}

// note adds a note to the report.
func (r *run) note(format string, a ...any) { r.notes = append(r.notes, fmt.Sprintf(format, a...)) }

// say prints a line of progress.
func (r *run) say(format string, a ...any) { fmt.Fprintf(r.out, format+"\n", a...) }

// play executes the run. It returns an error if the test itself fails; failures of the tested processes are part of the outcome.
func play(ctx context.Context, s Setup, out io.Writer) (*outcome, error) {
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
	w, err := r.begin(ctx)
	if err != nil {
		return nil, err
	}
	for i, n := range s.Servers {
		p, err := r.point(ctx, o, i, n, w)
		if ctx.Err() != nil {
			return nil, fmt.Errorf("scale: ended before its time: %w", ctx.Err())
		}
		if err != nil {
			return nil, err
		}
		o.points = append(o.points, p)
	}
	r.fleet.stop()
	o.spans, o.made, o.notes, o.crash = r.spans, r.made, r.notes, r.crashes()
	return o, nil
}

// begin starts the store replicas, loads the records, and starts the relays and real servers.
func (r *run) begin(ctx context.Context) (*writer, error) {
	if r.Today {
		if err := r.publish(0); err != nil {
			return nil, err
		}
	}
	if err := r.startAll(r.copies); err != nil {
		return nil, err
	}
	if err := waitFor(readyWithin, "store has no leader", func() (bool, string) { return ctx.Err() != nil || r.leader() != nil, "" }); err != nil {
		return nil, err
	}
	w := newWriter(ctx, r.fleet)
	begun := time.Now()
	if err := w.load(ctx); err != nil {
		return nil, err
	}
	revision, _ := w.agreed()
	r.say("%d records in %d changes in %.1f s", r.Routes+r.Tenants, revision, time.Since(begun).Seconds())
	begun = time.Now()
	if err := r.startAll(append(append([]*process(nil), r.relays...), r.servers...)); err != nil {
		return nil, err
	}
	if err := r.converge(ctx, w); err != nil {
		return nil, err
	}
	r.say("%d relays and %d servers have them from snapshots in %.1f s", len(r.relays), len(r.servers), time.Since(begun).Seconds())
	return w, nil
}

// position waits until the processes have converged, and returns their common position.
func (r *run) position(ctx context.Context, w *writer) (p distribution.Position, err error) {
	if err := r.converge(ctx, w); err != nil {
		return p, err
	}
	var v serverFigures
	if err := readFigures(r.servers[0].figures, &v); err != nil {
		return p, err
	}
	p.Revision = v.Records.Revision
	return p, p.Digest.UnmarshalText([]byte(v.Records.Digest))
}

// converge waits until all running processes have the latest revision.
func (r *run) converge(ctx context.Context, w *writer) error {
	return waitFor(convergeWithin, "not all processes have the latest revision", func() (bool, string) {
		if ctx.Err() != nil {
			return true, ""
		}
		latest, _ := w.agreed()
		for _, p := range r.servers {
			var v serverFigures
			if err := readFigures(p.figures, &v); err != nil || v.Records == nil || v.Records.Revision < latest {
				return false, fmt.Sprintf("%s has not reached revision %d (%v)", p.name, latest, err)
			}
		}
		for _, p := range r.relays {
			var v struct {
				Serving struct {
					Revision uint64 `json:"revision"`
				} `json:"serving"`
			}
			if err := readFigures(p.figures, &v); err != nil || v.Serving.Revision < latest {
				return false, fmt.Sprintf("%s has not reached revision %d (%v)", p.name, latest, err)
			}
		}
		for _, h := range r.hollows {
			if a, err := h.order(hollowOrder{Kind: orderFigures}); err != nil || a.Lowest < latest {
				return false, fmt.Sprintf("%s is at revision %d of %d (%v)", h.name, a.Lowest, latest, err)
			}
		}
		return true, ""
	})
}

// point measures one size: first without sessions, then with them, and at last under faults.
func (r *run) point(ctx context.Context, o *outcome, i, servers int, w *writer) (p Point, err error) {
	at, err := r.position(ctx, w)
	if err != nil {
		return p, err
	}
	_, before := w.agreed()
	r.hollowCount = servers - r.Real
	if err := r.layHollows(i, r.hollowCount, at); err != nil {
		return p, err
	}
	s := span{from: r.steady.Now()}
	if err := r.startAll(r.hollows); err != nil {
		return p, err
	}
	p = Point{Servers: servers, Hollow: r.hollowCount, Processes: len(r.copies) + len(r.relays) + len(r.servers) + len(r.hollows)}
	if err := r.converge(ctx, w); err != nil {
		return p, err
	}
	config := r.measured(ctx, o, w)
	r.fill(&p, config, config)
	if ctx.Err() != nil {
		return p, ctx.Err()
	}
	if r.Sessions {
		if err := r.orderAll(hollowOrder{Kind: orderSessions, Ms: sessionsMs, Seed: r.Seed}); err != nil {
			return p, err
		}
		if err := r.present(ctx); err != nil {
			o.problem = append(o.problem, fmt.Sprintf("%d servers, opening sessions: %v", servers, err))
		}
		r.fill(&p, config, r.measured(ctx, o, w))
	}
	if r.Today {
		if err := r.today(ctx, &p); err != nil {
			return p, err
		}
	}
	r.faults(ctx, i, w)
	if err := r.converge(ctx, w); err != nil && ctx.Err() == nil {
		o.problem = append(o.problem, fmt.Sprintf("%d servers, revisions after the faults: %v", servers, err))
	}
	if r.Sessions {
		if err := r.present(ctx); err != nil && ctx.Err() == nil {
			o.problem = append(o.problem, fmt.Sprintf("%d servers, sessions after the faults: %v", servers, err))
		}
	}
	r.memory(&p)
	if i < len(r.Servers)-1 {
		endAll(r.hollows, syscall.SIGTERM)
		r.hollows = nil
	}
	s.to = r.steady.Now()
	r.spans = append(r.spans, s)
	_, after := w.agreed()
	p.Changes = after - before
	r.say("%d servers: %d changes; leader uses %.4f cores and %.0f bytes per second for configuration, %.4f and %.0f for sessions", servers, p.Changes,
		p.LeaderConfigCPU, p.LeaderConfigBytes, p.LeaderSessionCPU, p.LeaderSessionBytes)
	return p, ctx.Err()
}

const phaseTries = 3

// measured measures one phase. It repeats the phase if the leader changed, because the leader's counters are then not comparable.
func (r *run) measured(ctx context.Context, o *outcome, w *writer) (rate rates) {
	for range phaseTries {
		if rate = r.phase(ctx, o, w); rate.oneLeader || ctx.Err() != nil {
			return rate
		}
		r.note("the store leader changed while %d servers were measured", r.hollowCount+r.Real)
	}
	o.problem = append(o.problem, fmt.Sprintf("no replica led the store for a whole phase of %s, in %d attempts", r.For, phaseTries))
	return rate
}

// phase makes changes for one phase, with a burst in its middle, and returns the rates of the phase.
func (r *run) phase(ctx context.Context, o *outcome, w *writer) rates {
	pause(ctx, warmUp)
	first := r.take()
	during, stop := context.WithTimeout(ctx, r.For)
	defer stop()
	var wait sync.WaitGroup
	wait.Go(func() {
		pause(during, r.For/2)
		b := span{from: r.steady.Now()}
		w.burst(ctx, burstChanges)
		b.to = r.steady.Now()
		o.bursts = append(o.bursts, b)
	})
	w.steady(during, steadyPerSecond, keysAChange)
	wait.Wait()
	return between(first, r.take())
}

// fill sets the rates of a point. config was measured without sessions, both with sessions and configuration.
func (r *run) fill(p *Point, config, both rates) {
	p.LeaderConfigBytes, p.LeaderConfigCPU = config.configBytes, config.leaderCPU
	p.LeaderSessionBytes, p.LeaderSessionCPU = both.sessionBytes, max(both.leaderCPU-config.leaderCPU, 0)
	p.RelayBytes, p.RelayCPU = max(config.relayBytes, both.relayBytes), max(config.relayCPU, both.relayCPU)
	n := float64(r.hollowCount)
	p.ServerBytes, p.ServerCPU = both.hollowBytes/n, both.hollowCPU/n
	p.ServerConfig, p.ServerConfigCPU = config.hollowBytes/n, config.hollowCPU/n
}

// memory sets the maximum memory of each kind of process.
func (r *run) memory(p *Point) {
	most := func(all []*process) (most int64) {
		for _, q := range all {
			if n, err := residentMemory(q.pid()); err == nil {
				most = max(most, n)
			}
		}
		return most
	}
	p.ServerMemory, p.RelayMemory, p.LeaderMemory = most(r.servers), most(r.relays), most(r.copies)
}

// present waits until the presence of every simulated server is in force.
func (r *run) present(ctx context.Context) error {
	return waitFor(presentWithin, "not all servers are present", func() (bool, string) {
		n := 0
		for _, h := range r.hollows {
			if a, err := h.order(hollowOrder{Kind: orderFigures}); err == nil {
				n += a.Present
			}
		}
		return ctx.Err() != nil || n == r.hollowCount, fmt.Sprintf("%d of %d", n, r.hollowCount)
	})
}

// faults injects the faults of one size while changes are made.
func (r *run) faults(ctx context.Context, point int, w *writer) {
	during, stop := context.WithTimeout(ctx, r.For)
	defer stop()
	var wait sync.WaitGroup
	wait.Go(func() { w.steady(during, faultPerSecond, keysAChange) })
	r.inject(ctx, point, w)
	wait.Wait()
}

// today measures the cost of publishing a whole file without relays, where the leader sends it to each server.
func (r *run) today(ctx context.Context, p *Point) error {
	pause(ctx, warmUp)
	first := r.take()
	for i := 0; time.Since(first.at) < r.For && ctx.Err() == nil; i++ {
		if err := r.publish(int(first.at.UnixNano()) + i); err != nil {
			return err
		}
		pause(ctx, todayEvery)
	}
	rate := between(first, r.take())
	p.TodayBytes, p.TodayCPU, p.TodayEntries = rate.sessionBytes, rate.leaderCPU, rate.entries
	return nil
}

// publish writes another version of the published file, with its manifest.
func (r *run) publish(version int) error {
	dir := filepath.Join(r.Out, publishedDir)
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	var b strings.Builder
	b.WriteString("name,address,port,groups\n")
	for i := 0; b.Len() < todayBytes; i++ {
		fmt.Fprintf(&b, "host-%d-%05d,127.0.0.1,%d,runners\n", version, i, 1024+i%60000)
	}
	const name = "inventory.csv"
	sum := sha256.Sum256([]byte(b.String()))
	if err := os.WriteFile(filepath.Join(dir, name), []byte(b.String()), 0o644); err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(dir, manifestName), []byte(hex.EncodeToString(sum[:])+"  "+name+"\n"), 0o644)
}
