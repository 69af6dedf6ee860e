// Package allot divides the room of what lies below among the live order servers by their need. It is free of I/O.
//
// Amounts are whole thousandths of a call in hand, so that sums are exact. Each process may always use its part for
// being alone; what the allotter divides is the rest, so a process without a valid share is part of the sum.
package allot

import (
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
)

// UnitsPerCall is a thousandth.
const UnitsPerCall = 1000

// ErrOverPool refuses a growth that would bring the shares in force above the whole.
var ErrOverPool = errors.New("allot: over the whole")

// Capacity tells what there is to divide.
type Capacity struct {
	Total             int64 // all that may be in force at once
	ReservePerProcess int64 // what a process may use without a share
	MaxProcesses      int   // processes alive at once, replacements beside themselves counted twice
}

// Pool is what remains to be divided.
func (r Capacity) Pool() int64 { return r.Total - r.ReservePerProcess*int64(r.MaxProcesses) }

// Check names what makes no sense, by its key below duties.allot.
func (r Capacity) Check() error {
	switch {
	case r.Total <= 0:
		return fmt.Errorf("whole must be above 0, not %v", float64(r.Total)/UnitsPerCall)
	case r.ReservePerProcess < 0:
		return fmt.Errorf("alone must be 0 or more, not %v", float64(r.ReservePerProcess)/UnitsPerCall)
	case r.MaxProcesses < 1:
		return fmt.Errorf("servers must be 1 or more, not %d", r.MaxProcesses)
	case r.Pool() < 0:
		return fmt.Errorf("alone: %v for each of %d servers is over the whole of %v", float64(r.ReservePerProcess)/UnitsPerCall, r.MaxProcesses, float64(r.Total)/UnitsPerCall)
	}
	return nil
}

// Share is one process's part of the pool.
type Share struct {
	Cap     int64  `json:"cap"`     // the most that it may have in force; counts against the pool
	Target  int64  `json:"want"`    // what it shall have; below Cap until it has said that it uses no more
	Version uint64 `json:"version"` // of Want
}

// Allocations is what all copies agree on about shares. Its methods are steps of the log.
type Allocations struct {
	Pool    int64             `json:"pool"`
	Version uint64            `json:"version"`
	Shares  map[string]*Share `json:"shares"`

	capSumValid bool  // sum holds; else it has to be built from Shares
	capSum      int64 // of all Caps
}

// NewAllocations is an empty book.
func NewAllocations() *Allocations { return &Allocations{Shares: map[string]*Share{}} }

// Clone copies a book.
func (b *Allocations) Clone() *Allocations {
	c := &Allocations{Pool: b.Pool, Version: b.Version, Shares: make(map[string]*Share, len(b.Shares))}
	for process, s := range b.Shares {
		v := *s
		c.Shares[process] = &v
	}
	return c
}

// TotalCap is the most that can be in force now.
func (b *Allocations) TotalCap() int64 {
	if b.capSumValid {
		return b.capSum
	}
	b.capSum, b.capSumValid = 0, true
	for _, s := range b.Shares {
		b.capSum += s.Cap
	}
	return b.capSum
}

// setCap changes the most that one process may have in force.
func (b *Allocations) setCap(s *Share, newCap int64) {
	b.capSum = b.TotalCap() + newCap - s.Cap
	s.Cap = newCap
}

// SetPool changes what there is to divide; less only once that much is free.
func (b *Allocations) SetPool(pool int64) error {
	if pool < b.TotalCap() {
		return fmt.Errorf("%w: a pool of %d with %d in force", ErrOverPool, pool, b.TotalCap())
	}
	b.Pool = pool
	return nil
}

// AddProcess opens a process's entry, with nothing in force.
func (b *Allocations) AddProcess(process string) {
	if b.Shares[process] == nil {
		b.Version++
		b.Shares[process] = &Share{Version: b.Version}
	}
}

// RemoveProcess closes an entry: the process's presence has ended, and with it its share.
func (b *Allocations) RemoveProcess(process string) {
	if s := b.Shares[process]; s != nil {
		b.setCap(s, 0)
		delete(b.Shares, process)
	}
}

// SetTarget changes what a process shall have. A growth counts at once and needs the room; a cut counts once the process has
// said that it holds, so until then nobody else can have what it gives up.
func (b *Allocations) SetTarget(process string, amount int64, unchecked bool) error {
	s := b.Shares[process]
	switch {
	case s == nil:
		return fmt.Errorf("allot: %s is not there", process)
	case amount < 0:
		return fmt.Errorf("allot: %d for %s", amount, process)
	case amount == s.Target:
		return nil
	case amount > s.Cap && !unchecked && b.TotalCap()-s.Cap+amount > b.Pool:
		return fmt.Errorf("%w: %d for %s, %d of %d in force", ErrOverPool, amount, process, b.TotalCap(), b.Pool)
	}
	b.Version++
	s.Target, s.Version = amount, b.Version
	b.setCap(s, max(s.Cap, amount))
	return nil
}

// Acknowledge books that a process uses no more than it shall by a version.
func (b *Allocations) Acknowledge(process string, version uint64) {
	if s := b.Shares[process]; s != nil && s.Version == version {
		b.setCap(s, s.Target)
	}
}

// ProcessNeed is what the allotter knows of one process.
type ProcessNeed struct {
	Who  string
	Need int64 // what it could use beyond its part for being alone
	Share
}

// TargetChange is one step of a plan.
type TargetChange struct {
	Who    string `json:"who"`
	Amount int64  `json:"amount"`
}

const (
	minChangeDivisor = 10 // a change of less than one part in so many is not made: shares that stand still cost nothing
	minChange        = 8  // and none of less than so many thousandths
)

// Divide tells what each should have: no more than it needs while others lack, and what nobody needs in equal parts,
// so that a surge finds some room at once.
func Divide(pool int64, needs []ProcessNeed) map[string]int64 {
	out := make(map[string]int64, len(needs))
	if len(needs) == 0 {
		return out
	}
	byNeed := slices.Clone(needs)
	slices.SortFunc(byNeed, func(a, b ProcessNeed) int {
		if a.Need != b.Need {
			return int(min(max(a.Need-b.Need, -1), 1))
		}
		if a.Who < b.Who {
			return -1
		}
		return 1
	})
	remaining := pool
	for i, n := range byNeed { // those that need least first: what they leave raises the part of the others
		amount := min(max(n.Need, 0), remaining/int64(len(byNeed)-i))
		out[n.Who] = amount
		remaining -= amount
	}
	surplus := remaining / int64(len(byNeed))
	for process := range out {
		out[process] += surplus
	}
	return out
}

// Plan turns what each should have into steps that can be made now: cuts, and growths as far as what is free allows.
func Plan(pool int64, needs []ProcessNeed, unchecked bool) (steps []TargetChange) {
	target := Divide(pool, needs)
	var capSum, shortfall int64
	var reductions, increases []TargetChange
	for _, n := range needs {
		capSum += n.Cap
		t := target[n.Who]
		d := t - n.Target
		if abs(d) < max(minChange, n.Target/minChangeDivisor) {
			continue
		}
		if d < 0 {
			reductions = append(reductions, TargetChange{n.Who, t})
		} else {
			increases = append(increases, TargetChange{n.Who, t})
			shortfall += max(t-n.Cap, 0)
		}
	}
	free := max(pool-capSum, 0)
	caps := map[string]int64{}
	for _, n := range needs {
		caps[n.Who] = n.Cap
	}
	for _, g := range increases {
		increase := max(g.Amount-caps[g.Who], 0)
		if shortfall > free && !unchecked {
			increase = int64(math.Floor(float64(increase) / float64(shortfall) * float64(free)))
		}
		if amount := caps[g.Who] + increase; g.Amount <= caps[g.Who] {
			steps = append(steps, g) // takes a cut back that was not acknowledged yet
		} else if increase >= minChange {
			steps = append(steps, TargetChange{g.Who, amount})
		}
	}
	return append(reductions, steps...)
}

func abs(v int64) int64 { return max(v, -v) }

// LocalShare is a process's view of its own share.
type LocalShare struct {
	Amount  int64
	Version uint64
}

// Apply puts what the copies tell into force. changed: the amount is another one, and must be in use before the version
// is acknowledged.
func (m *LocalShare) Apply(s Share) (changed bool) {
	if s.Version <= m.Version {
		return false
	}
	changed = s.Target != m.Amount
	m.Amount, m.Version = s.Target, s.Version
	return changed
}

// Clear forgets the share: the process's presence has ended.
func (m *LocalShare) Clear() (changed bool) {
	changed = m.Amount != 0
	*m = LocalShare{}
	return changed
}

// Processes lists the processes with an entry.
func (b *Allocations) Processes() []string { return slices.Sorted(maps.Keys(b.Shares)) }
