// Package allocation divides the downstream capacity, counted in concurrent calls, among the live order servers by their need.
// It does no I/O.
//
// Amounts are integers in thousandths of a concurrent call, so that sums are exact. Each process may always use a fixed
// reserve, even without a valid share. The allotter divides the pool, which is the capacity less the reserves of all
// processes.
package allocation

import (
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
)

// UnitsPerCall is the number of units in one concurrent call: amounts are in thousandths.
const UnitsPerCall = 1000

// ErrOverPool is returned for a change that would bring the sum of shares in force above the pool.
var ErrOverPool = errors.New("allocation: shares would exceed the pool")

// Capacity is the downstream capacity and the reserve of each process.
type Capacity struct {
	Total             int64 // maximum in use at once, by all processes
	ReservePerProcess int64 // reserve of each process, usable without a share
	MaxProcesses      int   // maximum number of live processes; a server being replaced counts twice
}

// Pool returns the amount to be divided into shares.
func (c Capacity) Pool() int64 { return c.Total - c.ReservePerProcess*int64(c.MaxProcesses) }

// Check reports the first invalid value, by its key under duties.allot in the operator's file.
func (c Capacity) Check() error {
	switch {
	case c.Total <= 0:
		return fmt.Errorf("whole must be above 0, not %v", float64(c.Total)/UnitsPerCall)
	case c.ReservePerProcess < 0:
		return fmt.Errorf("alone must be 0 or more, not %v", float64(c.ReservePerProcess)/UnitsPerCall)
	case c.MaxProcesses < 1:
		return fmt.Errorf("servers must be 1 or more, not %d", c.MaxProcesses)
	case c.Pool() < 0:
		return fmt.Errorf("alone: %v for each of %d servers is over the whole of %v",
			float64(c.ReservePerProcess)/UnitsPerCall, c.MaxProcesses, float64(c.Total)/UnitsPerCall)
	}
	return nil
}

// Share is one process's part of the pool, in thousandths of a call.
type Share struct {
	Cap     int64  `json:"cap"`     // upper bound of what the process may be using; counts against the pool
	Target  int64  `json:"want"`    // below Cap until the process has acknowledged a reduction
	Version uint64 `json:"version"` // changes with Target
}

// Allocations holds the shares of all processes. It is part of the replicated state: its methods are called from log entries and
// are deterministic.
type Allocations struct {
	Pool    int64             `json:"pool"`
	Version uint64            `json:"version"`
	Shares  map[string]*Share `json:"shares"`

	capSumValid bool  // capSum is valid; otherwise it has to be computed from Shares
	capSum      int64 // total of Cap over all shares
}

// NewAllocations returns Allocations without processes.
func NewAllocations() *Allocations { return &Allocations{Shares: map[string]*Share{}} }

// Clone returns a deep copy.
func (a *Allocations) Clone() *Allocations {
	clone := &Allocations{Pool: a.Pool, Version: a.Version, Shares: make(map[string]*Share, len(a.Shares))}
	for process, s := range a.Shares {
		v := *s
		clone.Shares[process] = &v
	}
	return clone
}

// TotalCap returns the total of Cap over all shares: the upper bound of what can be in use now.
func (a *Allocations) TotalCap() int64 {
	if a.capSumValid {
		return a.capSum
	}
	a.capSum, a.capSumValid = 0, true
	for _, s := range a.Shares {
		a.capSum += s.Cap
	}
	return a.capSum
}

// setCap changes the cap of one share and keeps the total up to date.
func (a *Allocations) setCap(s *Share, newCap int64) {
	a.capSum = a.TotalCap() + newCap - s.Cap
	s.Cap = newCap
}

// SetPool changes the size of the pool. It refuses a size below the sum of shares in force.
func (a *Allocations) SetPool(pool int64) error {
	if pool < a.TotalCap() {
		return fmt.Errorf("%w: pool of %d with %d in force", ErrOverPool, pool, a.TotalCap())
	}
	a.Pool = pool
	return nil
}

// AddProcess adds a process with a share of 0. It does nothing if the process has an entry.
func (a *Allocations) AddProcess(process string) {
	if a.Shares[process] == nil {
		a.Version++
		a.Shares[process] = &Share{Version: a.Version}
	}
}

// RemoveProcess removes a process whose presence lease has ended, and returns its share to the pool.
func (a *Allocations) RemoveProcess(process string) {
	if s := a.Shares[process]; s != nil {
		a.setCap(s, 0)
		delete(a.Shares, process)
	}
}

// SetTarget changes the target of a process. An increase counts at once, and is refused if the pool has too little left. A
// reduction counts only once the process has acknowledged it: until then its old amount may be in use and is not given to
// another process. unchecked skips the check against the pool (an injected bug).
func (a *Allocations) SetTarget(process string, amount int64, unchecked bool) error {
	s := a.Shares[process]
	switch {
	case s == nil:
		return fmt.Errorf("allocation: no entry for process %s", process)
	case amount < 0:
		return fmt.Errorf("allocation: negative share of %d for %s", amount, process)
	case amount == s.Target:
		return nil
	case amount > s.Cap && !unchecked && a.TotalCap()-s.Cap+amount > a.Pool:
		return fmt.Errorf("%w: %d for %s with %d of %d in force", ErrOverPool, amount, process, a.TotalCap(), a.Pool)
	}
	a.Version++
	s.Target, s.Version = amount, a.Version
	a.setCap(s, max(s.Cap, amount))
	return nil
}

// Acknowledge records that a process uses no more than its target as of a version. Acknowledgements of other versions are ignored.
func (a *Allocations) Acknowledge(process string, version uint64) {
	if s := a.Shares[process]; s != nil && s.Version == version {
		a.setCap(s, s.Target)
	}
}

// ProcessNeed is the demand and the current share of one process. It is sent as JSON under its Go field names.
type ProcessNeed struct {
	Who  string
	Need int64 // amount that it could use beyond its reserve
	Share
}

// TargetChange sets the target of one process.
type TargetChange struct {
	Who    string `json:"who"`
	Amount int64  `json:"amount"`
}

const (
	minChangeDivisor = 10 // changes below 1/10 of the current target are skipped, since each change costs a log entry
	minChange        = 8  // changes below this amount, in thousandths of a call, are skipped
)

// Divide returns the target of each process by max-min fairness: no process gets more than its need while another gets less
// than its own. What remains is divided equally, so that a process can absorb a surge before the next division.
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
	for i, n := range byNeed { // smallest need first: what these leave unused is divided among the others
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

// Plan returns the changes towards the targets that can be made now: all reductions, then increases as far as the free part of
// the pool allows. unchecked ignores that limit (an injected bug).
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
			steps = append(steps, g) // within the cap: reverts a reduction that is not acknowledged yet
		} else if increase >= minChange {
			steps = append(steps, TargetChange{g.Who, amount})
		}
	}
	return append(reductions, steps...)
}

func abs(v int64) int64 { return max(v, -v) }

// LocalShare is a process's own copy of its share.
type LocalShare struct {
	Amount  int64
	Version uint64
}

// Apply applies a share that a store replica sent, unless it is older than the present one. It reports whether the amount
// changed; the new amount must be in use before the version is acknowledged.
func (l *LocalShare) Apply(share Share) (changed bool) {
	if share.Version <= l.Version {
		return false
	}
	changed = share.Target != l.Amount
	l.Amount, l.Version = share.Target, share.Version
	return changed
}

// Clear clears the share after the process's presence lease has ended. It reports whether the amount changed.
func (l *LocalShare) Clear() (changed bool) {
	changed = l.Amount != 0
	*l = LocalShare{}
	return changed
}

// Processes returns the processes with an entry, sorted.
func (a *Allocations) Processes() []string { return slices.Sorted(maps.Keys(a.Shares)) }
