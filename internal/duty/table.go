package duty

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Errors of the table. They are final: the same order is refused again.
var (
	ErrStale     = errors.New("duty: stale epoch") // the epoch is not the one in force, or nobody's is
	ErrHeld      = errors.New("duty: held")
	ErrFrozen    = errors.New("duty: frozen")
	ErrOtherTerm = errors.New("duty: decided by an earlier leader")
)

// presencePrefix marks leases by which a server's process shows that it is there.
const presencePrefix = "server/"

// PresenceName is the name of the lease that shows that a process is there.
func PresenceName(process string) string { return presencePrefix + process }

// PresenceProcess is the way back; "" where the lease is no presence.
func PresenceProcess(name string) string {
	process, ok := strings.CutPrefix(name, presencePrefix)
	if !ok {
		return ""
	}
	return process
}

// Ref names one grant.
type Ref struct {
	Name  string `json:"n"`
	Epoch uint64 `json:"e"`
}

// Lease is one grant, or what is left of the last one.
type Lease struct {
	Holder string  `json:"holder,omitempty"` // the process that holds it; "": nobody
	Epoch  uint64  `json:"epoch"`            // of the last grant
	TTLMS  float64 `json:"ttl"`
	Yield  bool    `json:"yield,omitempty"` // an operator asked the holder to give it up
}

// Table is what all copies agree on. Every method is one step of the log: the same steps give the same table. It knows
// no time: whose time is up is the leader's finding, and comes in as a step like any other.
type Table struct {
	LastEpoch uint64            `json:"last"` // the highest epoch ever granted, of any duty; it only grows
	Leases    map[string]*Lease `json:"leases"`
	Frozen    map[string]bool   `json:"frozen,omitempty"`

	leasesByHolder map[string]map[string]bool // names of the leases in force, by holder; nil: not built yet
}

// NewTable is an empty table.
func NewTable() *Table { return &Table{Leases: map[string]*Lease{}, Frozen: map[string]bool{}} }

// Clone copies a table, for a snapshot.
func (t *Table) Clone() *Table {
	c := &Table{LastEpoch: t.LastEpoch, Leases: make(map[string]*Lease, len(t.Leases)), Frozen: maps.Clone(t.Frozen)}
	for k, v := range t.Leases {
		l := *v
		c.Leases[k] = &l
	}
	return c
}

// Kinds of orders.
const (
	Grant   = "grant"
	Release = "release"
	Expire  = "lapse" // the holder's time is up
)

// Order is one step that the grantor wants in the log. Term is the leader's, in which it decided: an order that another
// leader's log carries out is refused, since it rests on waits that count for nothing there.
type Order struct {
	Kind   string  `json:"k"`
	Name   string  `json:"n"`
	Holder string  `json:"h,omitempty"`
	Epoch  uint64  `json:"e"` // the lease's as the grantor saw it
	TTLMS  float64 `json:"t,omitempty"`
	Term   uint64  `json:"term"`
}

// Apply carries an order out, at the log's term.
func (t *Table) Apply(o Order, term uint64) error {
	if o.Term != term {
		return ErrOtherTerm
	}
	l := t.Leases[o.Name]
	switch o.Kind {
	case Grant:
		if t.Frozen[o.Name] {
			return ErrFrozen
		}
		if l != nil && l.Holder != "" {
			return fmt.Errorf("%w: %s by %s", ErrHeld, o.Name, l.Holder)
		}
		if l != nil && l.Epoch != o.Epoch {
			return ErrStale // granted and given back since the grantor looked
		}
		t.LastEpoch++
		t.Leases[o.Name] = &Lease{Holder: o.Holder, Epoch: t.LastEpoch, TTLMS: o.TTLMS}
		t.addToIndex(o.Holder, o.Name)
		return nil
	case Release, Expire:
		if l == nil || l.Holder == "" || l.Epoch != o.Epoch {
			return ErrStale
		}
		if delete(t.leasesByHolder[l.Holder], o.Name); len(t.leasesByHolder[l.Holder]) == 0 {
			delete(t.leasesByHolder, l.Holder)
		}
		l.Holder, l.Yield = "", false
		if PresenceProcess(o.Name) != "" {
			delete(t.Leases, o.Name) // epochs are of the whole table, so that one that comes back gets a higher one
		}
		return nil
	}
	return fmt.Errorf("duty: unknown order %q", o.Kind)
}

// Fence tells whether an act under a grant may take effect now. It is called in the step that carries the act out.
func (t *Table) Fence(r Ref) error {
	l := t.Leases[r.Name]
	switch {
	case l == nil || l.Epoch < r.Epoch:
		return fmt.Errorf("%w: %s %d was never granted", ErrStale, r.Name, r.Epoch)
	case l.Epoch > r.Epoch:
		return fmt.Errorf("%w: %s %d, in force is %d", ErrStale, r.Name, r.Epoch, l.Epoch)
	case l.Holder == "":
		return fmt.Errorf("%w: %s %d has ended", ErrStale, r.Name, r.Epoch)
	}
	return nil
}

// RequestYield notes that an operator wants the holder to give a duty up.
func (t *Table) RequestYield(name string) error {
	l := t.Leases[name]
	if l == nil || l.Holder == "" {
		return fmt.Errorf("duty: nobody holds %s", name)
	}
	l.Yield = true
	return nil
}

// Freeze keeps a duty from being granted, and asks its holder to give it up; or lets it be granted again.
func (t *Table) Freeze(name string, on bool) {
	if !on {
		delete(t.Frozen, name)
		return
	}
	t.Frozen[name] = true
	if l := t.Leases[name]; l != nil && l.Holder != "" {
		l.Yield = true
	}
}

// LeasesHeldBy lists a process's grants, by name.
func (t *Table) LeasesHeldBy(process string) (names []string) {
	if t.useIndex() {
		return slices.Sorted(maps.Keys(t.leasesByHolder[process]))
	}
	for name, l := range t.Leases {
		if l.Holder == process {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// CountDutiesHeldBy counts a process's grants, its presence left out.
func (t *Table) CountDutiesHeldBy(process string) (n int) {
	for _, name := range t.LeasesHeldBy(process) {
		if PresenceProcess(name) == "" {
			n++
		}
	}
	return n
}

// CountPresent counts the processes whose presence is in force.
func (t *Table) CountPresent() (n int) {
	for name, l := range t.Leases {
		if l.Holder != "" && PresenceProcess(name) != "" {
			n++
		}
	}
	return n
}

// maxUnindexedLeases is the number of leases that are walked rather than found by an index.
const maxUnindexedLeases = 32

// useIndex tells whether the index of leases by holder is there; it is built where a table has grown large, also after it was
// read from a snapshot.
func (t *Table) useIndex() bool {
	if t.leasesByHolder != nil || len(t.Leases) <= maxUnindexedLeases {
		return t.leasesByHolder != nil
	}
	t.leasesByHolder = map[string]map[string]bool{}
	for name, l := range t.Leases {
		if l.Holder != "" {
			t.addToIndex(l.Holder, name)
		}
	}
	return true
}

// addToIndex adds a lease in force to the index, where there is one.
func (t *Table) addToIndex(holder, name string) {
	if t.leasesByHolder == nil {
		return
	}
	if t.leasesByHolder[holder] == nil {
		t.leasesByHolder[holder] = map[string]bool{}
	}
	t.leasesByHolder[holder][name] = true
}
