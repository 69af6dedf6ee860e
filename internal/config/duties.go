package config

import (
	"errors"
	"fmt"
	"maps"
	"math"
	"net"
	"slices"

	"puffinsaddle/internal/admit"
	"puffinsaddle/internal/allot"
	"puffinsaddle/internal/distribution"
	"puffinsaddle/internal/duty"
)

// Duties set up what one order server holds at a time. Without copies nothing is held.
type Duties struct {
	Copies   map[string]string `yaml:"copies"`   // id and address of each copy of the store, as this server reaches it
	Sessions int               `yaml:"sessions"` // at a copy: order servers that it serves at once
	Renew    float64           `yaml:"renew_ms"`
	Rate     float64           `yaml:"clock_rate"` // clocks run at 1 less and 1 more this part of true time, at worst
	Margin   float64           `yaml:"margin_ms"`
	Cool     float64           `yaml:"cool_ms"`
	ColdWait float64           `yaml:"cold_wait_ms"`
	Presence float64           `yaml:"presence_ms"`
	List     []Duty            `yaml:"list"`
	Allot    Allot             `yaml:"allot"`
	Publish  Publish           `yaml:"publish"`
	Settle   Settle            `yaml:"settle"`
	MarkMs   float64           `yaml:"mark_ms"` // duties without work of their own count one up so often
}

// Duty is one duty.
type Duty struct {
	Name string  `yaml:"name"`
	TTL  float64 `yaml:"ttl_ms"`
}

// Allot sets up the allotter, whose duty has to be on the list. Without Whole the settings say what may be used below.
type Allot struct {
	Whole   float64 `yaml:"whole"`   // calls in hand that may be below at once, of all servers
	Alone   float64 `yaml:"alone"`   // that a server may have without a share
	Servers int     `yaml:"servers"` // processes alive at once, replacements counted
	EveryMs float64 `yaml:"every_ms"`
}

// Room is the same in thousandths.
func (a Allot) Room() allot.Capacity {
	return allot.Capacity{Total: int64(a.Whole * allot.UnitsPerCall), ReservePerProcess: int64(a.Alone * allot.UnitsPerCall), MaxProcesses: a.Servers}
}

// Publish sets up the publisher.
type Publish struct {
	Manifest string  `yaml:"manifest"` // a file as sha256sum writes it; its files are published
	EveryMs  float64 `yaml:"every_ms"`
}

// Settle sets up the settler.
type Settle struct {
	KeepMs  float64 `yaml:"keep_ms"` // effects are remembered for so long, at least
	EveryMs float64 `yaml:"every_ms"`
}

// Plants are the bugs that the laboratory can plant.
var Plants = slices.Concat(duty.InjectedBugs, admit.InjectedBugs, distribution.InjectedBugs)

// Lab is set by the laboratory alone.
type Lab struct {
	Trace string  `yaml:"trace"`      // a file for what the process believed and did
	Rate  float64 `yaml:"clock_rate"` // of the process's clocks
	Plant string  `yaml:"plant"`      // a planted bug
	Calls bool    `yaml:"calls"`      // the operators' address takes the laboratory's calls
}

var defaultDuties = Duties{Sessions: 1024, Renew: 500, Rate: 0.1, Margin: 50, Cool: 5000, ColdWait: 10000, Presence: 3000, MarkMs: 1000,
	Allot: Allot{EveryMs: 500}, Publish: Publish{EveryMs: 1000}, Settle: Settle{KeepMs: 600e3, EveryMs: 1000}}

const (
	allotter    = "allotter"
	publisher   = "publisher"
	settler     = "settler"
	mostCopies  = 7
	mostDuties  = 64
	leastEffect = 60e3 // ms; callers wait less, so a try under an id that was forgotten can't come
)

// On tells whether duties are set up.
func (d Duties) On() bool { return len(d.Copies) > 0 }

// Rules are the terms that both sides have to agree on.
func (d Duties) Rules() duty.Rules {
	r := duty.Rules{ClockBounds: duty.ClockBounds{MaxDrift: d.Rate, MarginMS: d.Margin}, RenewIntervalMS: d.Renew, CooldownMS: d.Cool, ColdWaitMS: d.ColdWait, PresenceTTLMS: d.Presence}
	for _, t := range d.List {
		r.Duties = append(r.Duties, duty.DutyRule{Name: t.Name, TTLMS: t.TTL})
	}
	return r
}

func (d Duties) has(name string) bool {
	return slices.ContainsFunc(d.List, func(t Duty) bool { return t.Name == name })
}

func (d Duties) check(st Store) error {
	if !d.On() {
		if len(d.List) > 0 {
			return errors.New("duties.copies is missing, and duties.list is set")
		}
		return nil
	}
	if err := addresses("duties.copies", d.Copies); err != nil {
		return err
	}
	if err := majority("duties.copies", len(d.Copies)); err != nil {
		return err
	}
	for id := range st.Peers {
		if d.Copies[id] == "" {
			return fmt.Errorf("duties.copies: %s of store.peers is missing", id)
		}
	}
	if n := len(st.Peers); n > 0 && n != len(d.Copies) {
		return fmt.Errorf("duties.copies names %d copies, and store.peers %d", len(d.Copies), n)
	}
	if err := d.Rules().Check(); err != nil {
		return fmt.Errorf("duties.%w", err)
	}
	positive := func(v float64) bool { return v > 0 && !math.IsInf(v, 0) }
	switch {
	case len(d.List) > mostDuties:
		return fmt.Errorf("duties.list has %d duties, %d at most", len(d.List), mostDuties)
	case d.Sessions < 1 || d.Sessions > 1<<16:
		return fmt.Errorf("duties.sessions must be from 1 to %d", 1<<16)
	case !(d.Presence > 0):
		return errors.New("duties.presence_ms must be above 0")
	case !positive(d.MarkMs):
		return errors.New("duties.mark_ms must be above 0")
	case !positive(d.Allot.EveryMs):
		return errors.New("duties.allot.every_ms must be above 0")
	case !positive(d.Publish.EveryMs):
		return errors.New("duties.publish.every_ms must be above 0")
	case !positive(d.Settle.EveryMs):
		return errors.New("duties.settle.every_ms must be above 0")
	case !(d.Settle.KeepMs >= leastEffect) || math.IsInf(d.Settle.KeepMs, 0):
		return fmt.Errorf("duties.settle.keep_ms must be %.0f or more", leastEffect)
	case d.Publish.Manifest != "" && !d.has(publisher):
		return errors.New("duties.list has no publisher, and duties.publish.manifest is set")
	}
	if a := d.Allot; a != (Allot{EveryMs: a.EveryMs}) {
		if !positive(a.Whole) || !(a.Alone >= 0) || math.IsInf(a.Alone, 0) || a.Whole > 1e9 {
			return fmt.Errorf("duties.allot.whole must be above 0 and duties.allot.alone 0 or more, not %v and %v", a.Whole, a.Alone)
		}
		if err := a.Room().Check(); err != nil {
			return fmt.Errorf("duties.allot.%w", err)
		}
		if !d.has(allotter) {
			return errors.New("duties.list has no allotter, and duties.allot is set")
		}
	}
	return nil
}

// Bounds of store.election_ms.
const (
	leastElection = 100
	mostElection  = 60000
)

func (st Store) check() error {
	if st.Listen == "" {
		return nil
	}
	if _, _, err := net.SplitHostPort(st.Listen); err != nil {
		return fmt.Errorf("store.listen: %w", err)
	}
	if st.Dir == "" {
		return errors.New("store.dir is missing")
	}
	if !(st.Election >= leastElection && st.Election <= mostElection) {
		return fmt.Errorf("store.election_ms must be from %d to %d, not %v", leastElection, mostElection, st.Election)
	}
	if !(st.CompareMs > 0) || math.IsInf(st.CompareMs, 0) {
		return fmt.Errorf("store.compare_ms must be above 0, not %v", st.CompareMs)
	}
	if len(st.Peers) == 0 {
		return errors.New("store.peers is missing: a copy asks the others before it takes part")
	}
	if err := addresses("store.peers", st.Peers); err != nil {
		return err
	}
	if n := len(st.Peers); n%2 == 0 {
		return fmt.Errorf("store.peers names %d nodes: it takes an odd number, so that one more than half is as few as can be", n)
	}
	if st.ID != "" && st.Peers[st.ID] == "" {
		return fmt.Errorf("store.peers: %s, this node's own id, is missing", st.ID)
	}
	if err := addresses("store.via", st.Via); err != nil {
		return err
	}
	for _, id := range slices.Sorted(maps.Keys(st.Via)) {
		if st.Peers[id] == "" {
			return fmt.Errorf("store.via.%s: no such peer", id)
		}
	}
	return nil
}

// addresses checks a list of addresses by id, each of which may stand once.
func addresses(key string, of map[string]string) error {
	first := map[string]string{}
	for _, id := range slices.Sorted(maps.Keys(of)) {
		at := of[id]
		if _, _, err := net.SplitHostPort(at); err != nil {
			return fmt.Errorf("%s.%s: %w", key, id, err)
		}
		if other, twice := first[at]; twice {
			return fmt.Errorf("%s.%s: %s is the address of %s already", key, id, at, other)
		}
		first[at] = id
	}
	return nil
}

// majority refuses a number of copies of which no majority outlives the loss of one, or that a cut can halve.
func majority(key string, n int) error {
	if n < 3 || n%2 == 0 || n > mostCopies {
		return fmt.Errorf("%s names %d copies: only 3, 5 or 7 have a majority that outlives the loss of one", key, n)
	}
	return nil
}

func (l Lab) check() error {
	if !(l.Rate >= 0) || l.Rate > 10 {
		return errors.New("lab.clock_rate must be from 0 to 10")
	}
	if l.Plant != "" && !slices.Contains(Plants, l.Plant) {
		return fmt.Errorf("lab.plant: there is no %q", l.Plant)
	}
	return nil
}
