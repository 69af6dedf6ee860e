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

// Duties configures the tasks that one order server holds at a time. They are disabled without store replicas.
type Duties struct {
	Copies   map[string]string `yaml:"copies"`       // store replicas: id to address, as this server reaches it
	Sessions int               `yaml:"sessions"`     // maximum number of order servers that one store replica serves
	Renew    float64           `yaml:"renew_ms"`     // maximum interval between heartbeats, which renew leases
	Rate     float64           `yaml:"clock_rate"`   // maximum clock drift: clocks run at 1-rate to 1+rate of true time
	Margin   float64           `yaml:"margin_ms"`    // a holder stops this much before its lease ends
	Cool     float64           `yaml:"cool_ms"`      // a server is no candidate for a duty this long after it lost it or gave it up
	ColdWait float64           `yaml:"cold_wait_ms"` // a duty stays this long without a holder if only cold servers are candidates
	Presence float64           `yaml:"presence_ms"`  // TTL of a server's presence
	List     []Duty            `yaml:"list"`
	Allot    Allot             `yaml:"allot"`
	Publish  Publish           `yaml:"publish"`
	Settle   Settle            `yaml:"settle"`
	MarkMs   float64           `yaml:"mark_ms"` // interval at which a duty without a task of its own increments its counter
}

// Duty is one duty and the TTL of its lease.
type Duty struct {
	Name string  `yaml:"name"`
	TTL  float64 `yaml:"ttl_ms"`
}

// Allot configures the allotter, whose duty must be on the list. Without Whole, the settings determine each server's
// downstream share.
type Allot struct {
	Whole   float64 `yaml:"whole"`   // downstream calls in flight, over all servers
	Alone   float64 `yaml:"alone"`   // calls that a server may have in flight without a share
	Servers int     `yaml:"servers"` // processes alive at once, including replacements
	EveryMs float64 `yaml:"every_ms"`
}

// Room returns the same limits in units of allot.Unit to one call.
func (a Allot) Room() allot.Room {
	return allot.Room{Whole: int64(a.Whole * allot.Unit), Alone: int64(a.Alone * allot.Unit), Servers: a.Servers}
}

// Publish configures the publisher.
type Publish struct {
	Manifest string  `yaml:"manifest"` // a file in sha256sum's format; the files that it lists are published
	EveryMs  float64 `yaml:"every_ms"`
}

// Settle configures the settler, which resolves orphaned effects.
type Settle struct {
	KeepMs  float64 `yaml:"keep_ms"` // minimum retention period of effects
	EveryMs float64 `yaml:"every_ms"`
}

// Plants lists the bugs that the lab can inject.
var Plants = slices.Concat(duty.Plants, admit.Plants, distribution.Plants)

// Lab holds the settings that only the lab may use.
type Lab struct {
	Trace string  `yaml:"trace"`      // file for the trace of what the process observed and did
	Rate  float64 `yaml:"clock_rate"` // speed of the process's clocks relative to true time
	Plant string  `yaml:"plant"`      // injected bug; empty: none
	Calls bool    `yaml:"calls"`      // serve the lab's fault-injection calls on the operators' address
}

var defaultDuties = Duties{Sessions: 1024, Renew: 500, Rate: 0.1, Margin: 50, Cool: 5000, ColdWait: 10000, Presence: 3000, MarkMs: 1000,
	Allot: Allot{EveryMs: 500}, Publish: Publish{EveryMs: 1000}, Settle: Settle{KeepMs: 600e3, EveryMs: 1000}}

const (
	allotter    = "allotter"
	publisher   = "publisher"
	settler     = "settler"
	mostCopies  = 7
	mostDuties  = 64
	leastEffect = 60e3 // callers wait for less time, so no attempt can arrive under a deleted id
)

// On reports whether duties are configured.
func (d Duties) On() bool { return len(d.Copies) > 0 }

// Rules returns the lease rules that servers and store replicas must agree on.
func (d Duties) Rules() duty.Rules {
	r := duty.Rules{Bounds: duty.Bounds{Rate: d.Rate, Margin: d.Margin}, Renew: d.Renew, Cool: d.Cool, ColdWait: d.ColdWait, Presence: d.Presence}
	for _, t := range d.List {
		r.Duties = append(r.Duties, duty.Terms{Name: t.Name, TTL: t.TTL})
	}
	return r
}

func (d Duties) has(name string) bool {
	return slices.ContainsFunc(d.List, func(t Duty) bool { return t.Name == name })
}

func (d Duties) check(st Store) error {
	if !d.On() {
		if len(d.List) > 0 {
			return errors.New("duties.copies is missing, but duties.list is set")
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
		return fmt.Errorf("duties.copies names %d replicas, but store.peers %d", len(d.Copies), n)
	}
	if err := d.Rules().Check(); err != nil {
		return fmt.Errorf("duties.%w", err)
	}
	positive := func(v float64) bool { return v > 0 && !math.IsInf(v, 0) }
	switch {
	case len(d.List) > mostDuties:
		return fmt.Errorf("duties.list has %d duties; the maximum is %d", len(d.List), mostDuties)
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
		return errors.New("duties.list has no publisher, but duties.publish.manifest is set")
	}
	if a := d.Allot; a != (Allot{EveryMs: a.EveryMs}) {
		if !positive(a.Whole) || !(a.Alone >= 0) || math.IsInf(a.Alone, 0) || a.Whole > 1e9 {
			return fmt.Errorf("duties.allot.whole must be above 0 and duties.allot.alone 0 or more, not %v and %v", a.Whole, a.Alone)
		}
		if err := a.Room().Check(); err != nil {
			return fmt.Errorf("duties.allot.%w", err)
		}
		if !d.has(allotter) {
			return errors.New("duties.list has no allotter, but duties.allot is set")
		}
	}
	return nil
}

// Bounds of store.election_ms, in milliseconds.
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
		return errors.New("store.peers is missing: a replica queries the others before it takes part")
	}
	if err := addresses("store.peers", st.Peers); err != nil {
		return err
	}
	if n := len(st.Peers); n%2 == 0 {
		return fmt.Errorf("store.peers names %d replicas: the number must be odd, so that a majority is as small as possible", n)
	}
	if st.ID != "" && st.Peers[st.ID] == "" {
		return fmt.Errorf("store.peers: %s, this replica's own id, is missing", st.ID)
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

// addresses checks addresses by id: each must have a port and be unique.
func addresses(key string, of map[string]string) error {
	first := map[string]string{}
	for _, id := range slices.Sorted(maps.Keys(of)) {
		at := of[id]
		if _, _, err := net.SplitHostPort(at); err != nil {
			return fmt.Errorf("%s.%s: %w", key, id, err)
		}
		if other, twice := first[at]; twice {
			return fmt.Errorf("%s.%s: %s is already the address of %s", key, id, at, other)
		}
		first[at] = id
	}
	return nil
}

// majority rejects a number of replicas that is too small to keep a majority after the loss of one, or even, so that a
// network partition can split it into equal halves.
func majority(key string, n int) error {
	if n < 3 || n%2 == 0 || n > mostCopies {
		return fmt.Errorf("%s names %d replicas: the number must be 3, 5 or 7, so that a majority survives the loss of one", key, n)
	}
	return nil
}

func (l Lab) check() error {
	if !(l.Rate >= 0) || l.Rate > 10 {
		return errors.New("lab.clock_rate must be from 0 to 10")
	}
	if l.Plant != "" && !slices.Contains(Plants, l.Plant) {
		return fmt.Errorf("lab.plant: unknown bug %q", l.Plant)
	}
	return nil
}
