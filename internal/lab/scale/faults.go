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
	relayKill  = "relay-kill"
	leaderKill = "leader-kill"
	zoneCut    = "zone-cut"
	regionCut  = "region-cut"
	restarts   = "restarts"
	slowReader = "slow-reader"
	spoiltCopy = "spoilt-copy"
)

var faultKinds = []struct{ kind, text string }{
	{relayKill, "the relay of a zone is killed and restarted later"},
	{leaderKill, "the leader of the store is killed and restarted later"},
	{zoneCut, "a zone is partitioned from all others"},
	{regionCut, "a region is partitioned from all others for an hour, scaled to the length of the run"},
	{restarts, "a third of the servers restart at once"},
	{slowReader, "some servers stop reading for a while, during large changes"},
	{spoiltCopy, "a byte in the records file of a real server is changed while it restarts, and some simulated servers have a digest that was never committed"},
}

// fault is a scheduled fault. At and For are fractions of the phase.
type fault struct {
	Kind string
	At   float64
	For  float64
	Pick uint64
}

const (
	shareOfRegionCut = 0.3  // of the phase, for the slot of the region's partition
	shareOfRest      = 0.09 // of the phase, for the slot of each other fault
	shareOfSlot      = 0.75 // of its slot, for which a fault lasts; the rest is for recovery
)

// schedule returns the faults of one phase: one of each kind, one after the other, in an order drawn from the seed.
func schedule(seed uint64) (all []fault) {
	rng := rand.New(rand.NewPCG(seed, 31))
	at := 0.02
	for _, i := range rng.Perm(len(faultKinds)) {
		slot := shareOfRest
		if faultKinds[i].kind == regionCut {
			slot = shareOfRegionCut
		}
		all = append(all, fault{Kind: faultKinds[i].kind, At: at, For: slot * shareOfSlot, Pick: rng.Uint64()})
		at += slot
	}
	return all
}

// made is a fault that was injected.
type made struct {
	Point int
	Kind  string
	Hit   string
	From  float64 // ms of the machine's monotonic clock
	To    float64
	Cut   []string // zones that were partitioned from the others; empty: none
	Down  []string // names of the real processes that were down
}

// inject injects the faults of one phase, one after the other, and returns when the last one has ended.
func (r *run) inject(ctx context.Context, point int, w *writer) {
	seed := r.Seed + uint64(point)*1009
	begin := time.Now()
	for _, f := range schedule(seed) {
		if !sleepUntil(ctx, begin.Add(time.Duration(f.At*float64(r.For)))) {
			return
		}
		m := made{Point: point, Kind: f.Kind, From: r.steady.Now()}
		lasts := time.Duration(f.For * float64(r.For))
		if err := r.make(ctx, &m, f, lasts, w); err != nil {
			r.note("%s: %v", f.Kind, err)
		}
		m.To = r.steady.Now()
		r.made = append(r.made, m)
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

// pause waits for d, or until the context ends.
func pause(ctx context.Context, d time.Duration) { sleepUntil(ctx, time.Now().Add(d)) }

// make injects one fault and ends it after its duration. Simulated servers that it restarts come back by themselves.
func (r *run) make(ctx context.Context, m *made, f fault, lasts time.Duration, w *writer) error {
	switch f.Kind {
	case relayKill:
		p := r.relays[f.Pick%uint64(len(r.relays))]
		m.Hit, m.Down = p.name, []string{p.name}
		return r.killFor(ctx, p, lasts)
	case leaderKill:
		p := r.leader()
		if p == nil {
			m.Hit = "no copy led"
			return nil
		}
		m.Hit, m.Down = p.name, []string{p.name}
		return r.killFor(ctx, p, lasts)
	case zoneCut:
		m.Cut = []string{r.zones[f.Pick%uint64(len(r.zones))]}
		m.Hit = m.Cut[0]
		return r.cutFor(ctx, m.Cut, lasts, nil)
	case regionCut:
		region := fmt.Sprintf("r%d", f.Pick%uint64(r.Regions)+1)
		for _, z := range r.zones {
			if r.regions[z] == region {
				m.Cut = append(m.Cut, z)
			}
		}
		perSecond := regionCutRate(r.hollowCount)
		m.Hit = fmt.Sprintf("%s, %.1f s for an hour (1:%.0f), %.0f changes a second meanwhile", region, lasts.Seconds(), time.Hour.Seconds()/lasts.Seconds(), perSecond)
		return r.cutFor(ctx, m.Cut, lasts, func(ctx context.Context) { w.steady(ctx, perSecond, keysAChange) })
	case restarts:
		m.Hit = "a third of the servers"
		if err := r.orderAll(hollowOrder{Kind: orderRestart, Percent: 33, Ms: clock.Millis(lasts), Seed: f.Pick}); err != nil {
			return err
		}
		for i, p := range r.servers {
			if i%3 == 1 {
				m.Down = append(m.Down, p.name)
				if err := r.restart(p, syscall.SIGTERM, nil); err != nil {
					return err
				}
			}
		}
	case slowReader:
		m.Hit = "one hollow server a process"
		if err := r.orderAll(hollowOrder{Kind: orderStall, Count: 1, Ms: stallMs, Seed: f.Pick}); err != nil {
			return err
		}
		during, stop := context.WithTimeout(ctx, lasts)
		defer stop()
		w.steady(during, fatPerSecond, fatKeys)
	case spoiltCopy:
		p := r.servers[f.Pick%uint64(len(r.servers))]
		m.Hit, m.Down = p.name+" and one hollow server a process", []string{p.name}
		if err := r.orderAll(hollowOrder{Kind: orderSpoil, Count: 1, Ms: clock.Millis(lasts), Seed: f.Pick}); err != nil {
			return err
		}
		return r.restart(p, syscall.SIGKILL, func() error { return spoilFile(filepath.Join(p.dir, "records"), f.Pick) })
	}
	return nil
}

const (
	stallMs      = 5000.0
	fatPerSecond = 8.0 // large changes per second, while some servers don't read
)

// regionCutRate returns the changes per second during a region's partition. They should add up to those of an hour; the rate is
// bounded, because each change costs CPU on all servers, which share one machine.
func regionCutRate(servers int) float64 { return min(125, 60000/float64(max(servers, 1))) }

// killFor kills a process and restarts it after d.
func (r *run) killFor(ctx context.Context, p *process, d time.Duration) error {
	p.end(syscall.SIGKILL)
	pause(ctx, d)
	return p.start(r.spawner, r.Binary)
}

// restart ends a process with a signal, calls between (if any) while it is down, and starts it again.
func (r *run) restart(p *process, sig syscall.Signal, between func() error) error {
	p.end(sig)
	if between != nil {
		if err := between(); err != nil {
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
	var wait sync.WaitGroup
	if meanwhile != nil {
		wait.Go(func() { meanwhile(during) })
	}
	<-during.Done()
	err := r.heal()
	wait.Wait()
	return err
}

// spoilFile flips one bit in the second quarter of a file.
func spoilFile(path string, pick uint64) error {
	b, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	at := len(b)/4 + int(pick%uint64(len(b)/4))
	b[at] ^= 0x20
	return os.WriteFile(path, b, 0o644)
}

// cutOff reports whether the fault partitioned a zone.
func (m made) cutOff(zone string) bool { return slices.Contains(m.Cut, zone) }
