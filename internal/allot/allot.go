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

// Unit is a thousandth.
const Unit = 1000

// ErrOver refuses a growth that would bring the shares in force above the whole.
var ErrOver = errors.New("allot: over the whole")

// Room tells what there is to divide.
type Room struct {
	Whole   int64 // all that may be in force at once
	Alone   int64 // what a process may use without a share
	Servers int   // processes alive at once, replacements beside themselves counted twice
}

// Pool is what remains to be divided.
func (r Room) Pool() int64 { return r.Whole - r.Alone*int64(r.Servers) }

// Check names what makes no sense, by its key below duties.allot.
func (r Room) Check() error {
	switch {
	case r.Whole <= 0:
		return fmt.Errorf("whole must be above 0, not %v", float64(r.Whole)/Unit)
	case r.Alone < 0:
		return fmt.Errorf("alone must be 0 or more, not %v", float64(r.Alone)/Unit)
	case r.Servers < 1:
		return fmt.Errorf("servers must be 1 or more, not %d", r.Servers)
	case r.Pool() < 0:
		return fmt.Errorf("alone: %v for each of %d servers is over the whole of %v", float64(r.Alone)/Unit, r.Servers, float64(r.Whole)/Unit)
	}
	return nil
}

// Share is one process's part of the pool.
type Share struct {
	Cap     int64  `json:"cap"`     // the most that it may have in force; counts against the pool
	Want    int64  `json:"want"`    // what it shall have; below Cap until it has said that it uses no more
	Version uint64 `json:"version"` // of Want
}

// Ledger is what all copies agree on about shares. Its methods are steps of the log.
type Ledger struct {
	Pool    int64             `json:"pool"`
	Version uint64            `json:"version"`
	Shares  map[string]*Share `json:"shares"`

	summed bool  // sum holds; else it has to be built from Shares
	sum    int64 // of all Caps
}

// NewLedger is an empty book.
func NewLedger() *Ledger { return &Ledger{Shares: map[string]*Share{}} }

// Clone copies a book.
func (b *Ledger) Clone() *Ledger {
	c := &Ledger{Pool: b.Pool, Version: b.Version, Shares: make(map[string]*Share, len(b.Shares))}
	for who, s := range b.Shares {
		v := *s
		c.Shares[who] = &v
	}
	return c
}

// Sum is the most that can be in force now.
func (b *Ledger) Sum() int64 {
	if b.summed {
		return b.sum
	}
	b.sum, b.summed = 0, true
	for _, s := range b.Shares {
		b.sum += s.Cap
	}
	return b.sum
}

// setCap changes the most that one process may have in force.
func (b *Ledger) setCap(s *Share, most int64) {
	b.sum = b.Sum() + most - s.Cap
	s.Cap = most
}

// SetPool changes what there is to divide; less only once that much is free.
func (b *Ledger) SetPool(pool int64) error {
	if pool < b.Sum() {
		return fmt.Errorf("%w: a pool of %d with %d in force", ErrOver, pool, b.Sum())
	}
	b.Pool = pool
	return nil
}

// Join opens a process's entry, with nothing in force.
func (b *Ledger) Join(who string) {
	if b.Shares[who] == nil {
		b.Version++
		b.Shares[who] = &Share{Version: b.Version}
	}
}

// Drop closes an entry: the process's presence has ended, and with it its share.
func (b *Ledger) Drop(who string) {
	if s := b.Shares[who]; s != nil {
		b.setCap(s, 0)
		delete(b.Shares, who)
	}
}

// Set changes what a process shall have. A growth counts at once and needs the room; a cut counts once the process has
// said that it holds, so until then nobody else can have what it gives up.
func (b *Ledger) Set(who string, amount int64, unchecked bool) error {
	s := b.Shares[who]
	switch {
	case s == nil:
		return fmt.Errorf("allot: %s is not there", who)
	case amount < 0:
		return fmt.Errorf("allot: %d for %s", amount, who)
	case amount == s.Want:
		return nil
	case amount > s.Cap && !unchecked && b.Sum()-s.Cap+amount > b.Pool:
		return fmt.Errorf("%w: %d for %s, %d of %d in force", ErrOver, amount, who, b.Sum(), b.Pool)
	}
	b.Version++
	s.Want, s.Version = amount, b.Version
	b.setCap(s, max(s.Cap, amount))
	return nil
}

// Ack books that a process uses no more than it shall by a version.
func (b *Ledger) Ack(who string, version uint64) {
	if s := b.Shares[who]; s != nil && s.Version == version {
		b.setCap(s, s.Want)
	}
}

// Need is what the allotter knows of one process.
type Need struct {
	Who  string
	Need int64 // what it could use beyond its part for being alone
	Share
}

// Change is one step of a plan.
type Change struct {
	Who    string `json:"who"`
	Amount int64  `json:"amount"`
}

const (
	stir  = 10 // a change of less than one part in so many is not made: shares that stand still cost nothing
	least = 8  // and none of less than so many thousandths
)

// Divide tells what each should have: no more than it needs while others lack, and what nobody needs in equal parts,
// so that a surge finds some room at once.
func Divide(pool int64, fleet []Need) map[string]int64 {
	out := make(map[string]int64, len(fleet))
	if len(fleet) == 0 {
		return out
	}
	order := slices.Clone(fleet)
	slices.SortFunc(order, func(a, b Need) int {
		if a.Need != b.Need {
			return int(min(max(a.Need-b.Need, -1), 1))
		}
		if a.Who < b.Who {
			return -1
		}
		return 1
	})
	rest := pool
	for i, n := range order { // those that need least first: what they leave raises the part of the others
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

// Plan turns what each should have into steps that can be made now: cuts, and growths as far as what is free allows.
func Plan(pool int64, fleet []Need, unchecked bool) (steps []Change) {
	target := Divide(pool, fleet)
	var sum, lack int64
	var cuts, grows []Change
	for _, n := range fleet {
		sum += n.Cap
		t := target[n.Who]
		d := t - n.Want
		if abs(d) < max(least, n.Want/stir) {
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
			steps = append(steps, g) // takes a cut back that was not acknowledged yet
		} else if more >= least {
			steps = append(steps, Change{g.Who, amount})
		}
	}
	return append(cuts, steps...)
}

func abs(v int64) int64 { return max(v, -v) }

// Mine is a process's view of its own share.
type Mine struct {
	Amount  int64
	Version uint64
}

// Take puts what the copies tell into force. changed: the amount is another one, and must be in use before the version
// is acknowledged.
func (m *Mine) Take(s Share) (changed bool) {
	if s.Version <= m.Version {
		return false
	}
	changed = s.Want != m.Amount
	m.Amount, m.Version = s.Want, s.Version
	return changed
}

// Lose forgets the share: the process's presence has ended.
func (m *Mine) Lose() (changed bool) {
	changed = m.Amount != 0
	*m = Mine{}
	return changed
}

// Whos lists the processes with an entry.
func (b *Ledger) Whos() []string { return slices.Sorted(maps.Keys(b.Shares)) }
