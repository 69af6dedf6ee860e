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

// Kinds of faults.
const (
	faultRelayKill      = "relay-kill"
	faultLeaderKill     = "leader-kill"
	faultZoneCut        = "zone-cut"
	faultRegionCut      = "region-cut"
	faultRestarts       = "restarts"
	faultSlowReader     = "slow-reader"
	faultCorruptReplica = "spoilt-copy"
)

var faultKinds = []struct{ kind, text string }{
	{faultRelayKill, "the relay of a zone is killed, and started again later"},
	{faultLeaderKill, "the copy of the store that leads is killed, and started again later"},
	{faultZoneCut, "a zone is cut off from all others"},
	{faultRegionCut, "a region is cut off from all others for a scaled hour"},
	{faultRestarts, "a third of the servers restart at once"},
	{faultSlowReader, "some servers read nothing for a while, as large changes come"},
	{faultCorruptReplica, "a byte of a real server's copy is changed while it restarts, and some hollow ones hold what was never agreed on"},
}

// fault is one of the schedule. Times are parts of the phase.
type fault struct {
	Kind string
	At   float64
	For  float64
	Pick uint64
}

const (
	regionCutFraction  = 0.3  // of the phase
	otherFaultFraction = 0.09 // of the phase, for each other fault
	slotFaultFraction  = 0.75 // of a fault's slot, for which it lasts
)

// faultSchedule is the faults of one phase: one of each kind, in an order that the seed draws, one after the other.
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

// injectedFault is a fault that was made.
type injectedFault struct {
	Point         int
	Kind          string
	Target        string
	FromMS        float64 // ms of the machine's clock
	ToMS          float64
	CutZones      []string // zones that were cut off; none: no zone was
	DownProcesses []string // real processes that were down
}

// injectAll makes the faults of one phase, one after the other, and returns once all are over.
func (r *run) injectAll(ctx context.Context, point int, w *recordWriter) {
	seed := r.Seed + uint64(point)*1009
	begin := time.Now()
	for _, f := range faultSchedule(seed) {
		if !sleepUntil(ctx, begin.Add(time.Duration(f.At*float64(r.For)))) {
			return
		}
		m := injectedFault{Point: point, Kind: f.Kind, FromMS: r.steady.Now()}
		duration := time.Duration(f.For * float64(r.For))
		if err := r.injectFault(ctx, &m, f, duration, w); err != nil {
			r.addNote("%s: %v", f.Kind, err)
		}
		m.ToMS = r.steady.Now()
		r.injectedFaults = append(r.injectedFaults, m)
	}
}

func sleepUntil(ctx context.Context, t time.Time) bool {
	select {
	case <-time.After(time.Until(t)):
		return true
	case <-ctx.Done():
		return false
	}
}

func sleep(ctx context.Context, d time.Duration) { sleepUntil(ctx, time.Now().Add(d)) }

// injectFault makes one fault and ends it.
func (r *run) injectFault(ctx context.Context, m *injectedFault, f fault, duration time.Duration, w *recordWriter) error {
	switch f.Kind {
	case faultRelayKill:
		p := r.relays[f.Pick%uint64(len(r.relays))]
		m.Target, m.DownProcesses = p.name, []string{p.name}
		return r.killFor(ctx, p, duration)
	case faultLeaderKill:
		p := r.leader()
		if p == nil {
			m.Target = "no copy led"
			return nil
		}
		m.Target, m.DownProcesses = p.name, []string{p.name}
		return r.killFor(ctx, p, duration)
	case faultZoneCut:
		m.CutZones = []string{r.zones[f.Pick%uint64(len(r.zones))]}
		m.Target = m.CutZones[0]
		return r.cutFor(ctx, m.CutZones, duration, nil)
	case faultRegionCut:
		region := fmt.Sprintf("r%d", f.Pick%uint64(r.Regions)+1)
		for _, z := range r.zones {
			if r.regions[z] == region {
				m.CutZones = append(m.CutZones, z)
			}
		}
		perSecond := regionCutChangeRate(r.simulatedCount)
		m.Target = fmt.Sprintf("%s, %.1f s for an hour (1:%.0f), %.0f changes a second meanwhile", region, duration.Seconds(), time.Hour.Seconds()/duration.Seconds(), perSecond)
		return r.cutFor(ctx, m.CutZones, duration, func(ctx context.Context) { w.changeSteadily(ctx, perSecond, keysPerChange) })
	case faultRestarts:
		m.Target = "a third of the servers"
		if err := r.sendCommandToAll(simulatorCommand{Kind: commandRestart, Percent: 33, DurationMS: clock.Millis(duration), Seed: f.Pick}); err != nil {
			return err
		}
		for i, p := range r.servers {
			if i%3 == 1 {
				m.DownProcesses = append(m.DownProcesses, p.name)
				if err := r.restart(p, syscall.SIGTERM, nil); err != nil {
					return err
				}
			}
		}
	case faultSlowReader:
		m.Target = "one hollow server a process"
		if err := r.sendCommandToAll(simulatorCommand{Kind: commandStall, Count: 1, DurationMS: stallMS, Seed: f.Pick}); err != nil {
			return err
		}
		during, stop := context.WithTimeout(ctx, duration)
		defer stop()
		w.changeSteadily(during, largeChangesPerSecond, keysPerLargeChange)
	case faultCorruptReplica:
		p := r.servers[f.Pick%uint64(len(r.servers))]
		m.Target, m.DownProcesses = p.name+" and one hollow server a process", []string{p.name}
		if err := r.sendCommandToAll(simulatorCommand{Kind: commandCorrupt, Count: 1, DurationMS: clock.Millis(duration), Seed: f.Pick}); err != nil {
			return err
		}
		return r.restart(p, syscall.SIGKILL, func() error { return corruptFile(filepath.Join(p.dir, "records"), f.Pick) })
	}
	return nil
}

const (
	stallMS               = 5000.0
	largeChangesPerSecond = 8.0
)

// regionCutChangeRate is as many changes a second as an hour's, scaled, as far as one machine carries what they cost all servers.
func regionCutChangeRate(servers int) float64 { return min(125, 60000/float64(max(servers, 1))) }

func (r *run) killFor(ctx context.Context, p *process, d time.Duration) error {
	p.end(syscall.SIGKILL)
	sleep(ctx, d)
	return p.start(r.spawner, r.Binary)
}

func (r *run) restart(p *process, sig syscall.Signal, whileDown func() error) error {
	p.end(sig)
	if whileDown != nil {
		if err := whileDown(); err != nil {
			return err
		}
	}
	return p.start(r.spawner, r.Binary)
}

// cutFor cuts zones off for a while, with something going on meanwhile.
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

// corruptFile changes one byte in the middle of a file.
func corruptFile(path string, pick uint64) error {
	b, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	offset := len(b)/4 + int(pick%uint64(len(b)/4))
	b[offset] ^= 0x20
	return os.WriteFile(path, b, 0o644)
}

// cutsZone tells whether a zone was cut off by a fault.
func (m injectedFault) cutsZone(zone string) bool { return slices.Contains(m.CutZones, zone) }
