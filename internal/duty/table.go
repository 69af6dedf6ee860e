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
	ErrStale  = errors.New("duty: stale epoch") // the epoch is not the one in force, or nobody's is
	ErrHeld   = errors.New("duty: held")
	ErrFrozen = errors.New("duty: frozen")
	ErrTerm   = errors.New("duty: decided by an earlier leader")
)

// presencePrefix marks leases by which a server's process shows that it is there.
const presencePrefix = "server/"

// PresenceOf is the name of the lease that shows that a process is there.
func PresenceOf(who string) string { return presencePrefix + who }

// PresentWho is the way back; "" where the lease is no presence.
func PresentWho(name string) string {
	who, ok := strings.CutPrefix(name, presencePrefix)
	if !ok {
		return ""
	}
	return who
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
	TTL    float64 `json:"ttl"`
	Yield  bool    `json:"yield,omitempty"` // an operator asked the holder to give it up
}

// Table is what all copies agree on. Every method is one step of the log: the same steps give the same table. It knows
// no time: whose time is up is the leader's finding, and comes in as a step like any other.
type Table struct {
	Last   uint64            `json:"last"` // the highest epoch ever granted, of any duty; it only grows
	Leases map[string]*Lease `json:"leases"`
	Frozen map[string]bool   `json:"frozen,omitempty"`

	held map[string]map[string]bool // names of the leases in force, by holder; nil: not built yet
}

// NewTable is an empty table.
func NewTable() *Table { return &Table{Leases: map[string]*Lease{}, Frozen: map[string]bool{}} }

// Clone copies a table, for a snapshot.
func (t *Table) Clone() *Table {
	c := &Table{Last: t.Last, Leases: make(map[string]*Lease, len(t.Leases)), Frozen: maps.Clone(t.Frozen)}
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
	Lapse   = "lapse" // the holder's time is up
)

// Order is one step that the grantor wants in the log. Term is the leader's, in which it decided: an order that another
// leader's log carries out is refused, since it rests on waits that count for nothing there.
type Order struct {
	Kind   string  `json:"k"`
	Name   string  `json:"n"`
	Holder string  `json:"h,omitempty"`
	Epoch  uint64  `json:"e"` // the lease's as the grantor saw it
	TTL    float64 `json:"t,omitempty"`
	Term   uint64  `json:"term"`
}

// Apply carries an order out, at the log's term.
func (t *Table) Apply(o Order, term uint64) error {
	if o.Term != term {
		return ErrTerm
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
		t.Last++
		t.Leases[o.Name] = &Lease{Holder: o.Holder, Epoch: t.Last, TTL: o.TTL}
		t.index(o.Holder, o.Name)
		return nil
	case Release, Lapse:
		if l == nil || l.Holder == "" || l.Epoch != o.Epoch {
			return ErrStale
		}
		if delete(t.held[l.Holder], o.Name); len(t.held[l.Holder]) == 0 {
			delete(t.held, l.Holder)
		}
		l.Holder, l.Yield = "", false
		if PresentWho(o.Name) != "" {
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

// Ask notes that an operator wants the holder to give a duty up.
func (t *Table) Ask(name string) error {
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

// HeldBy lists a process's grants, by name.
func (t *Table) HeldBy(who string) (names []string) {
	if t.indexed() {
		return slices.Sorted(maps.Keys(t.held[who]))
	}
	for name, l := range t.Leases {
		if l.Holder == who {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// DutiesHeldBy counts a process's grants, its presence left out.
func (t *Table) DutiesHeldBy(who string) (n int) {
	for _, name := range t.HeldBy(who) {
		if PresentWho(name) == "" {
			n++
		}
	}
	return n
}

// Present counts the processes whose presence is in force.
func (t *Table) Present() (n int) {
	for name, l := range t.Leases {
		if l.Holder != "" && PresentWho(name) != "" {
			n++
		}
	}
	return n
}

// walkUpTo is the number of leases that are walked rather than found by an index.
const walkUpTo = 32

// indexed tells whether the index of leases by holder is there; it is built where a table has grown large, also after it was
// read from a snapshot.
func (t *Table) indexed() bool {
	if t.held != nil || len(t.Leases) <= walkUpTo {
		return t.held != nil
	}
	t.held = map[string]map[string]bool{}
	for name, l := range t.Leases {
		if l.Holder != "" {
			t.index(l.Holder, name)
		}
	}
	return true
}

// index adds a lease in force to the index, where there is one.
func (t *Table) index(holder, name string) {
	if t.held == nil {
		return
	}
	if t.held[holder] == nil {
		t.held[holder] = map[string]bool{}
	}
	t.held[holder][name] = true
}
