package scale

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"puffinsaddle/internal/clock"
)

// Kinds of injected faults. The values appear on the report page.
const (
	faultRelayKill      = "relay-kill"
	faultLeaderKill     = "leader-kill"
	faultZoneCut        = "zone-cut"
	faultRegionCut      = "region-cut"
	faultRestarts       = "restarts"
	faultSlowReader     = "slow-reader"
	faultCorruptReplica = "spoilt-copy"
)

// faultKinds describes all kinds of faults, for the list of the command. Each phase of faults has one of each.
var faultKinds = []struct{ kind, text string }{
	{faultRelayKill, "the relay of a zone is killed and restarted later"},
	{faultLeaderKill, "the leader of the store is killed and restarted later"},
	{faultZoneCut, "a zone is partitioned from all others"},
	{faultRegionCut, "a region is partitioned from all others for an hour, scaled to the length of the run"},
	{faultRestarts, "a third of the servers restart at once"},
	{faultSlowReader, "some servers stop reading for a while, during large changes"},
	{faultCorruptReplica, "a byte in the records file of a real server is changed while it restarts, and some simulated servers have a digest that was never committed"},
}

// fault is a scheduled fault. At and For are fractions of the phase.
type fault struct {
	Kind string
	At   float64
	For  float64
	Pick uint64 // random number that selects the target
}

const (
	regionCutFraction  = 0.3  // of the phase, for the slot of the region's partition
	otherFaultFraction = 0.09 // of the phase, for the slot of each other fault
	slotFaultFraction  = 0.75 // of its slot, for which a fault lasts; the rest is for recovery
)

// faultSchedule returns the faults of one phase: one of each kind, one after the other, in an order drawn from the seed.
func faultSchedule(seed uint64) (all []fault) {
	rng := rand.New(rand.NewPCG(seed, 31))
	at := 0.02
	for _, i := range rng.Perm(len(faultKinds)) {
		slot := otherFaultFraction
		if faultKinds[i].kind == faultRegionCut {
			slot = regionCutFraction
		}
		all = append(all, fault{Kind: faultKinds[i].kind, At: at, For: slot * slotFaultFraction, Pick: rng.Uint64()})
		at += slot
	}
	return all
}

// injectedFault is a fault that was injected.
type injectedFault struct {
	Point         int // index of the size
	Kind          string
	Target        string  // the processes, zones or servers that it hit
	FromMS        float64 // ms of the machine's monotonic clock
	ToMS          float64
	CutZones      []string // zones that were partitioned from the others; empty: none
	DownProcesses []string // names of the real processes that were down
}

// injectAll injects the faults of one phase, one after the other, and returns when the last one has ended.
func (r *run) injectAll(ctx context.Context, point int, w *recordWriter) {
	seed := r.Seed + uint64(point)*1009
	begin := time.Now()
	for _, f := range faultSchedule(seed) {
		if !sleepUntil(ctx, begin.Add(time.Duration(f.At*float64(r.For)))) {
			return
		}
		injected := injectedFault{Point: point, Kind: f.Kind, FromMS: r.steady.Now()}
		duration := time.Duration(f.For * float64(r.For))
		if err := r.injectFault(ctx, &injected, f, duration, w); err != nil {
			r.addNote("%s: %v", f.Kind, err)
		}
		injected.ToMS = r.steady.Now()
		r.injectedFaults = append(r.injectedFaults, injected)
	}
}

// sleepUntil waits until t. It returns false if the context ended first.
func sleepUntil(ctx context.Context, t time.Time) bool {
	select {
	case <-time.After(time.Until(t)):
		return true
	case <-ctx.Done():
		return false
	}
}

// sleep waits for d, or until the context ends.
func sleep(ctx context.Context, d time.Duration) { sleepUntil(ctx, time.Now().Add(d)) }

// injectFault injects one fault and ends it after its duration. Simulated servers that it restarts come back by themselves.
func (r *run) injectFault(ctx context.Context, injected *injectedFault, f fault, duration time.Duration, w *recordWriter) error {
	switch f.Kind {
	case faultRelayKill:
		p := r.relays[f.Pick%uint64(len(r.relays))]
		injected.Target, injected.DownProcesses = p.name, []string{p.name}
		return r.killFor(ctx, p, duration)
	case faultLeaderKill:
		p := r.leader()
		if p == nil {
			injected.Target = "no copy led"
			return nil
		}
		injected.Target, injected.DownProcesses = p.name, []string{p.name}
		return r.killFor(ctx, p, duration)
	case faultZoneCut:
		injected.CutZones = []string{r.zones[f.Pick%uint64(len(r.zones))]}
		injected.Target = injected.CutZones[0]
		return r.cutFor(ctx, injected.CutZones, duration, nil)
	case faultRegionCut:
		region := fmt.Sprintf("r%d", f.Pick%uint64(r.Regions)+1)
		for _, z := range r.zones {
			if r.regions[z] == region {
				injected.CutZones = append(injected.CutZones, z)
			}
		}
		perSecond := regionCutChangeRate(r.simulatedCount)
		injected.Target = fmt.Sprintf("%s, %.1f s for an hour (1:%.0f), %.0f changes a second meanwhile", region, duration.Seconds(), time.Hour.Seconds()/duration.Seconds(), perSecond)
		return r.cutFor(ctx, injected.CutZones, duration, func(ctx context.Context) { w.changeSteadily(ctx, perSecond, keysPerChange) })
	case faultRestarts:
		injected.Target = "a third of the servers"
		if err := r.sendCommandToAll(simulatorCommand{Kind: commandRestart, Percent: 33, DurationMS: clock.Millis(duration), Seed: f.Pick}); err != nil {
			return err
		}
		for i, p := range r.servers {
			if i%3 == 1 {
				injected.DownProcesses = append(injected.DownProcesses, p.name)
				if err := r.restart(p, syscall.SIGTERM, nil); err != nil {
					return err
				}
			}
		}
	case faultSlowReader:
		injected.Target = "one hollow server a process"
		if err := r.sendCommandToAll(simulatorCommand{Kind: commandStall, Count: 1, DurationMS: stallMS, Seed: f.Pick}); err != nil {
			return err
		}
		during, stop := context.WithTimeout(ctx, duration)
		defer stop()
		w.changeSteadily(during, largeChangesPerSecond, keysPerLargeChange)
	case faultCorruptReplica:
		p := r.servers[f.Pick%uint64(len(r.servers))]
		injected.Target, injected.DownProcesses = p.name+" and one hollow server a process", []string{p.name}
		if err := r.sendCommandToAll(simulatorCommand{Kind: commandCorrupt, Count: 1, DurationMS: clock.Millis(duration), Seed: f.Pick}); err != nil {
			return err
		}
		return r.restart(p, syscall.SIGKILL, func() error { return corruptFile(filepath.Join(p.dir, "records"), f.Pick) })
	}
	return nil
}

const (
	stallMS               = 5000.0 // duration for which a slow reader reads nothing
	largeChangesPerSecond = 8.0    // large changes per second, while some servers don't read
)

// regionCutChangeRate returns the changes per second during a region's partition. They should add up to those of an hour; the
// rate is bounded, because each change costs CPU on all servers, which share one machine.
func regionCutChangeRate(servers int) float64 { return min(125, 60000/float64(max(servers, 1))) }

// killFor kills a process and restarts it after d.
func (r *run) killFor(ctx context.Context, p *process, d time.Duration) error {
	p.end(syscall.SIGKILL)
	sleep(ctx, d)
	return p.start(r.spawner, r.Binary)
}

// restart ends a process with a signal, calls whileDown (if any) before the next start, and starts it again.
func (r *run) restart(p *process, sig syscall.Signal, whileDown func() error) error {
	p.end(sig)
	if whileDown != nil {
		if err := whileDown(); err != nil {
			return err
		}
	}
	return p.start(r.spawner, r.Binary)
}

// cutFor partitions zones from all others for d, and runs meanwhile (if any) during that time.
func (r *run) cutFor(ctx context.Context, zones []string, d time.Duration, meanwhile func(context.Context)) error {
	if err := r.cut(zones); err != nil {
		return err
	}
	during, stop := context.WithTimeout(ctx, d)
	defer stop()
	var running sync.WaitGroup
	if meanwhile != nil {
		running.Go(func() { meanwhile(during) })
	}
	<-during.Done()
	err := r.heal()
	running.Wait()
	return err
}

// corruptFile flips one bit in the second quarter of a file.
func corruptFile(path string, pick uint64) error {
	b, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	offset := len(b)/4 + int(pick%uint64(len(b)/4))
	b[offset] ^= 0x20
	return os.WriteFile(path, b, 0o644)
}

// cutsZone reports whether the fault partitioned a zone.
func (f injectedFault) cutsZone(zone string) bool { return slices.Contains(f.CutZones, zone) }
