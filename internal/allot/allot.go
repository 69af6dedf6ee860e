// Package allot divides the downstream capacity, counted in concurrent calls, among the live order servers by their need.
// It does no I/O.
//
// Amounts are integers in thousandths of a concurrent call, so that sums are exact. Each process may always use a fixed
// reserve, even without a valid share. The allotter divides the pool, which is the capacity less the reserves of all
// processes.
package allot

import (
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
)

// UnitsPerCall is the number of units in one concurrent call: amounts are in thousandths.
const UnitsPerCall = 1000

// ErrOver is returned for a change that would bring the sum of shares in force above the pool.
var ErrOver = errors.New("allot: shares would exceed the pool")

// Capacity is the downstream capacity and the reserve of each process.
type Capacity struct {
	Total             int64 // maximum in use at once, by all processes
	ReservePerProcess int64 // reserve of each process, usable without a share
	MaxProcesses      int   // maximum number of live processes; a server being replaced counts twice
}

// Pool returns the amount to be divided into shares.
func (r Capacity) Pool() int64 { return r.Total - r.ReservePerProcess*int64(r.MaxProcesses) }

// Check reports the first invalid value, by its key under duties.allot in the operator's file.
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

// Share is one process's part of the pool, in thousandths of a call.
type Share struct {
	Cap     int64  `json:"cap"`     // upper bound of what the process may be using; counts against the pool
	Target  int64  `json:"want"`    // target; below Cap until the process has acknowledged a reduction
	Version uint64 `json:"version"` // changes with Want
}

// Allocations holds the shares of all processes. It is part of the replicated state: its methods are called from log entries and
// are deterministic.
type Allocations struct {
	Pool    int64             `json:"pool"`
	Version uint64            `json:"version"`
	Shares  map[string]*Share `json:"shares"`

	summed bool  // sum is valid; otherwise it has to be computed from Shares
	sum    int64 // total of Cap over all shares
}

// NewAllocations returns a Ledger without processes.
func NewAllocations() *Allocations { return &Allocations{Shares: map[string]*Share{}} }

// Clone returns a deep copy.
func (b *Allocations) Clone() *Allocations {
	c := &Allocations{Pool: b.Pool, Version: b.Version, Shares: make(map[string]*Share, len(b.Shares))}
	for who, s := range b.Shares {
		v := *s
		c.Shares[who] = &v
	}
	return c
}

// TotalCap returns the total of Cap over all shares: the upper bound of what can be in use now.
func (b *Allocations) TotalCap() int64 {
	if b.summed {
		return b.sum
	}
	b.sum, b.summed = 0, true
	for _, s := range b.Shares {
		b.sum += s.Cap
	}
	return b.sum
}

// setCap changes the cap of one share and keeps the total up to date.
func (b *Allocations) setCap(s *Share, most int64) {
	b.sum = b.TotalCap() + most - s.Cap
	s.Cap = most
}

// SetPool changes the size of the pool. It refuses a size below the sum of shares in force.
func (b *Allocations) SetPool(pool int64) error {
	if pool < b.TotalCap() {
		return fmt.Errorf("%w: pool of %d with %d in force", ErrOver, pool, b.TotalCap())
	}
	b.Pool = pool
	return nil
}

// AddProcess adds a process with a share of 0. It does nothing if the process has an entry.
func (b *Allocations) AddProcess(who string) {
	if b.Shares[who] == nil {
		b.Version++
		b.Shares[who] = &Share{Version: b.Version}
	}
}

// RemoveProcess removes a process whose presence lease has ended, and returns its share to the pool.
func (b *Allocations) RemoveProcess(who string) {
	if s := b.Shares[who]; s != nil {
		b.setCap(s, 0)
		delete(b.Shares, who)
	}
}

// SetTarget changes the target of a process. An increase counts at once, and is refused if the pool has too little left. A reduction
// counts only once the process has acknowledged it: until then its old amount may be in use and is not given to another
// process. unchecked skips the check against the pool (an injected bug).
func (b *Allocations) SetTarget(who string, amount int64, unchecked bool) error {
	s := b.Shares[who]
	switch {
	case s == nil:
		return fmt.Errorf("allot: no entry for process %s", who)
	case amount < 0:
		return fmt.Errorf("allot: negative share of %d for %s", amount, who)
	case amount == s.Target:
		return nil
	case amount > s.Cap && !unchecked && b.TotalCap()-s.Cap+amount > b.Pool:
		return fmt.Errorf("%w: %d for %s with %d of %d in force", ErrOver, amount, who, b.TotalCap(), b.Pool)
	}
	b.Version++
	s.Target, s.Version = amount, b.Version
	b.setCap(s, max(s.Cap, amount))
	return nil
}

// Acknowledge records that a process uses no more than its target as of a version. Acknowledgements of other versions are ignored.
func (b *Allocations) Acknowledge(who string, version uint64) {
	if s := b.Shares[who]; s != nil && s.Version == version {
		b.setCap(s, s.Target)
	}
}

// ProcessNeed is the demand and the current share of one process. It is sent as JSON under its Go field names.
type ProcessNeed struct {
	Who  string
	Need int64 // amount that it could use beyond its reserve
	Share
}

// Change sets the target of one process.
type Change struct {
	Who    string `json:"who"`
	Amount int64  `json:"amount"`
}

const (
	stir  = 10 // changes below 1/10 of the current target are skipped, since each change costs a log entry
	least = 8  // changes below this amount, in thousandths of a call, are skipped
)

// Divide returns the target of each process by max-min fairness: no process gets more than its need while another gets less
// than its own. What remains is divided equally, so that a process can absorb a surge before the next division.
func Divide(pool int64, fleet []ProcessNeed) map[string]int64 {
	out := make(map[string]int64, len(fleet))
	if len(fleet) == 0 {
		return out
	}
	order := slices.Clone(fleet)
	slices.SortFunc(order, func(a, b ProcessNeed) int {
		if a.Need != b.Need {
			return int(min(max(a.Need-b.Need, -1), 1))
		}
		if a.Who < b.Who {
			return -1
		}
		return 1
	})
	rest := pool
	for i, n := range order { // smallest need first: what these leave unused is divided among the others
		part := min(max(n.Need, 0), rest/int64(len(order)-i))
		out[n.Who] = part
		rest -= part
	}
	each := rest / int64(len(order))
	for who := range out {
		out[who] += each
	}
	return out
}

// Plan returns the changes towards the targets that can be made now: all reductions, then increases as far as the free part of
// the pool allows. unchecked ignores that limit (an injected bug).
func Plan(pool int64, fleet []ProcessNeed, unchecked bool) (steps []Change) {
	target := Divide(pool, fleet)
	var sum, lack int64
	var cuts, grows []Change
	for _, n := range fleet {
		sum += n.Cap
		t := target[n.Who]
		d := t - n.Target
		if abs(d) < max(least, n.Target/stir) {
			continue
		}
		if d < 0 {
			cuts = append(cuts, Change{n.Who, t})
		} else {
			grows = append(grows, Change{n.Who, t})
			lack += max(t-n.Cap, 0)
		}
	}
	free := max(pool-sum, 0)
	caps := map[string]int64{}
	for _, n := range fleet {
		caps[n.Who] = n.Cap
	}
	for _, g := range grows {
		more := max(g.Amount-caps[g.Who], 0)
		if lack > free && !unchecked {
			more = int64(math.Floor(float64(more) / float64(lack) * float64(free)))
		}
		if amount := caps[g.Who] + more; g.Amount <= caps[g.Who] {
			steps = append(steps, g) // within the cap: reverts a reduction that is not acknowledged yet
		} else if more >= least {
			steps = append(steps, Change{g.Who, amount})
		}
	}
	return append(cuts, steps...)
}

func abs(v int64) int64 { return max(v, -v) }

// LocalShare is a process's own copy of its share.
type LocalShare struct {
	Amount  int64
	Version uint64
}

// Apply applies a share that a store replica sent, unless it is older than the present one. It reports whether the amount
// changed; the new amount must be in use before the version is acknowledged.
func (m *LocalShare) Apply(s Share) (changed bool) {
	if s.Version <= m.Version {
		return false
	}
	changed = s.Target != m.Amount
	m.Amount, m.Version = s.Target, s.Version
	return changed
}

// Lose clears the share after the process's presence lease has ended. It reports whether the amount changed.
func (m *LocalShare) Lose() (changed bool) {
	changed = m.Amount != 0
	*m = LocalShare{}
	return changed
}

// Processes returns the processes with an entry, sorted.
func (b *Allocations) Processes() []string { return slices.Sorted(maps.Keys(b.Shares)) }
