package duty

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Errors of Table. They are permanent: the same order would be refused again.
var (
	ErrStale     = errors.New("duty: stale epoch") // the epoch is not the current one, or the lease has no holder
	ErrHeld      = errors.New("duty: already held")
	ErrFrozen    = errors.New("duty: frozen")
	ErrOtherTerm = errors.New("duty: decided in another term")
)

// presencePrefix begins the names of presence leases, by which server processes show that they are alive.
const presencePrefix = "server/"

// PresenceName returns the name of the presence lease of a process.
func PresenceName(process string) string { return presencePrefix + process }

// PresenceProcess returns the process to which a presence lease belongs, or "" if the name is not that of a presence lease.
func PresenceProcess(name string) string {
	process, ok := strings.CutPrefix(name, presencePrefix)
	if !ok {
		return ""
	}
	return process
}

// Ref identifies one grant of a lease. Its epoch is the fencing token.
type Ref struct {
	Name  string `json:"n"`
	Epoch uint64 `json:"e"`
}

// Lease is the state of one lease, held or not.
type Lease struct {
	Holder string  `json:"holder,omitempty"` // the process that holds it; "": none
	Epoch  uint64  `json:"epoch"`            // epoch of the latest grant
	TTLMS  float64 `json:"ttl"`
	Yield  bool    `json:"yield,omitempty"` // an operator asked the holder to release it
}

// Table holds all leases. It is part of the replicated state: its methods are called from log entries and are deterministic.
// It uses no clock: the leader decides that a lease has expired and writes that to the log.
type Table struct {
	LastEpoch uint64            `json:"last"` // the highest epoch granted so far, over all leases; never decreases
	Leases    map[string]*Lease `json:"leases"`
	Frozen    map[string]bool   `json:"frozen,omitempty"`

	leasesByHolder map[string]map[string]bool // index: names of held leases by holder; nil: not built yet
}

// NewTable returns an empty Table.
func NewTable() *Table { return &Table{Leases: map[string]*Lease{}, Frozen: map[string]bool{}} }

// Clone returns a deep copy, for a snapshot.
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
	Expire  = "lapse" // expiry: the holder did not renew in time
)

// Order is an operation on a lease that the grantor writes to the log. Term is the raft term in which it was decided. An order
// that is applied in another term is refused, because it is based on the waiting times of the former leader.
type Order struct {
	Kind   string  `json:"k"`
	Name   string  `json:"n"`
	Holder string  `json:"h,omitempty"`
	Epoch  uint64  `json:"e"` // epoch of the lease at the time of the decision
	TTLMS  float64 `json:"t,omitempty"`
	Term   uint64  `json:"term"`
}

// Apply carries out an order from a log entry of the given term.
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
			return ErrStale // granted and released since the decision
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
			delete(t.Leases, o.Name) // epochs are unique over all leases, so a later grant of this name gets a higher one
		}
		return nil
	}
	return fmt.Errorf("duty: unknown order %q", o.Kind)
}

// Fence returns ErrStale if a grant is not the one in force, and nil if an act under it may take effect. It is called from the
// log entry that carries the act out.
func (t *Table) Fence(r Ref) error {
	l := t.Leases[r.Name]
	switch {
	case l == nil || l.Epoch < r.Epoch:
		return fmt.Errorf("%w: %s epoch %d was never granted", ErrStale, r.Name, r.Epoch)
	case l.Epoch > r.Epoch:
		return fmt.Errorf("%w: %s epoch %d, current epoch is %d", ErrStale, r.Name, r.Epoch, l.Epoch)
	case l.Holder == "":
		return fmt.Errorf("%w: %s epoch %d has ended", ErrStale, r.Name, r.Epoch)
	}
	return nil
}

// RequestYield records that an operator wants the holder to release a duty.
func (t *Table) RequestYield(name string) error {
	l := t.Leases[name]
	if l == nil || l.Holder == "" {
		return fmt.Errorf("duty: %s has no holder", name)
	}
	l.Yield = true
	return nil
}

// Freeze prevents grants of a duty and asks its holder to release it; with on false, it permits grants again.
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

// LeasesHeldBy returns the names of the leases that a process holds, sorted.
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

// CountDutiesHeldBy returns the number of leases that a process holds, its presence lease not counted.
func (t *Table) CountDutiesHeldBy(process string) (n int) {
	for _, name := range t.LeasesHeldBy(process) {
		if PresenceProcess(name) == "" {
			n++
		}
	}
	return n
}

// CountPresent returns the number of processes that hold their presence lease.
func (t *Table) CountPresent() (n int) {
	for name, l := range t.Leases {
		if l.Holder != "" && PresenceProcess(name) != "" {
			n++
		}
	}
	return n
}

// maxUnindexedLeases is the largest number of leases that are searched without an index.
const maxUnindexedLeases = 32

// useIndex reports whether the index of leases by holder is in use. It builds the index once the table is large enough, also
// after the table was read from a snapshot.
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

// addToIndex adds a held lease to the index, if that is in use.
func (t *Table) addToIndex(holder, name string) {
	if t.leasesByHolder == nil {
		return
	}
	if t.leasesByHolder[holder] == nil {
		t.leasesByHolder[holder] = map[string]bool{}
	}
	t.leasesByHolder[holder][name] = true
}
