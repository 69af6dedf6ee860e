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
	Replicas        map[string]string `yaml:"copies"`   // id and address of each copy of the store, as this server reaches it
	MaxSessions     int               `yaml:"sessions"` // at a copy: order servers that it serves at once
	RenewIntervalMS float64           `yaml:"renew_ms"`
	MaxDrift        float64           `yaml:"clock_rate"` // clocks run at 1 less and 1 more this part of true time, at worst
	MarginMS        float64           `yaml:"margin_ms"`
	CooldownMS      float64           `yaml:"cool_ms"`
	ColdWaitMS      float64           `yaml:"cold_wait_ms"`
	PresenceTTLMS   float64           `yaml:"presence_ms"`
	List            []Duty            `yaml:"list"`
	Allocation      Allocation        `yaml:"allot"`
	Publish         Publish           `yaml:"publish"`
	Resolution      Resolution        `yaml:"settle"`
	MarkIntervalMS  float64           `yaml:"mark_ms"` // duties without work of their own count one up so often
}

// Duty is one duty.
type Duty struct {
	Name  string  `yaml:"name"`
	TTLMS float64 `yaml:"ttl_ms"`
}

// Allocation sets up the allotter, whose duty has to be on the list. Without Whole the settings say what may be used below.
type Allocation struct {
	Total             float64 `yaml:"whole"`   // calls in hand that may be below at once, of all servers
	ReservePerProcess float64 `yaml:"alone"`   // that a server may have without a share
	MaxProcesses      int     `yaml:"servers"` // processes alive at once, replacements counted
	IntervalMS        float64 `yaml:"every_ms"`
}

// Capacity is the same in thousandths.
func (a Allocation) Capacity() allot.Capacity {
	return allot.Capacity{Total: int64(a.Total * allot.UnitsPerCall), ReservePerProcess: int64(a.ReservePerProcess * allot.UnitsPerCall), MaxProcesses: a.MaxProcesses}
}

// Publish sets up the publisher.
type Publish struct {
	Manifest   string  `yaml:"manifest"` // a file as sha256sum writes it; its files are published
	IntervalMS float64 `yaml:"every_ms"`
}

// Resolution sets up the settler.
type Resolution struct {
	RetentionMS float64 `yaml:"keep_ms"` // effects are remembered for so long, at least
	IntervalMS  float64 `yaml:"every_ms"`
}

// InjectedBugs are the bugs that the laboratory can plant.
var InjectedBugs = slices.Concat(duty.InjectedBugs, admit.InjectedBugs, distribution.InjectedBugs)

// Lab is set by the laboratory alone.
type Lab struct {
	TracePath   string  `yaml:"trace"`      // a file for what the process believed and did
	ClockRate   float64 `yaml:"clock_rate"` // of the process's clocks
	InjectedBug string  `yaml:"plant"`      // a planted bug
	FaultCalls  bool    `yaml:"calls"`      // the operators' address takes the laboratory's calls
}

var defaultDuties = Duties{MaxSessions: 1024, RenewIntervalMS: 500, MaxDrift: 0.1, MarginMS: 50, CooldownMS: 5000, ColdWaitMS: 10000, PresenceTTLMS: 3000, MarkIntervalMS: 1000,
	Allocation: Allocation{IntervalMS: 500}, Publish: Publish{IntervalMS: 1000}, Resolution: Resolution{RetentionMS: 600e3, IntervalMS: 1000}}

const (
	allotterDuty         = "allotter"
	publisherDuty        = "publisher"
	settlerDuty          = "settler"
	maxReplicas          = 7
	maxDuties            = 64
	minEffectRetentionMS = 60e3 // ms; callers wait less, so a try under an id that was forgotten can't come
)

// Enabled tells whether duties are set up.
func (d Duties) Enabled() bool { return len(d.Replicas) > 0 }

// Rules are the terms that both sides have to agree on.
func (d Duties) Rules() duty.Rules {
	r := duty.Rules{ClockBounds: duty.ClockBounds{MaxDrift: d.MaxDrift, MarginMS: d.MarginMS}, RenewIntervalMS: d.RenewIntervalMS, CooldownMS: d.CooldownMS, ColdWaitMS: d.ColdWaitMS, PresenceTTLMS: d.PresenceTTLMS}
	for _, t := range d.List {
		r.Duties = append(r.Duties, duty.DutyRule{Name: t.Name, TTLMS: t.TTLMS})
	}
	return r
}

func (d Duties) hasDuty(name string) bool {
	return slices.ContainsFunc(d.List, func(t Duty) bool { return t.Name == name })
}

func (d Duties) check(st Store) error {
	if !d.Enabled() {
		if len(d.List) > 0 {
			return errors.New("duties.copies is missing, and duties.list is set")
		}
		return nil
	}
	if err := checkAddresses("duties.copies", d.Replicas); err != nil {
		return err
	}
	if err := checkReplicaCount("duties.copies", len(d.Replicas)); err != nil {
		return err
	}
	for id := range st.Peers {
		if d.Replicas[id] == "" {
			return fmt.Errorf("duties.copies: %s of store.peers is missing", id)
		}
	}
	if n := len(st.Peers); n > 0 && n != len(d.Replicas) {
		return fmt.Errorf("duties.copies names %d copies, and store.peers %d", len(d.Replicas), n)
	}
	if err := d.Rules().Check(); err != nil {
		return fmt.Errorf("duties.%w", err)
	}
	positiveFinite := func(v float64) bool { return v > 0 && !math.IsInf(v, 0) }
	switch {
	case len(d.List) > maxDuties:
		return fmt.Errorf("duties.list has %d duties, %d at most", len(d.List), maxDuties)
	case d.MaxSessions < 1 || d.MaxSessions > 1<<16:
		return fmt.Errorf("duties.sessions must be from 1 to %d", 1<<16)
	case !(d.PresenceTTLMS > 0):
		return errors.New("duties.presence_ms must be above 0")
	case !positiveFinite(d.MarkIntervalMS):
		return errors.New("duties.mark_ms must be above 0")
	case !positiveFinite(d.Allocation.IntervalMS):
		return errors.New("duties.allot.every_ms must be above 0")
	case !positiveFinite(d.Publish.IntervalMS):
		return errors.New("duties.publish.every_ms must be above 0")
	case !positiveFinite(d.Resolution.IntervalMS):
		return errors.New("duties.settle.every_ms must be above 0")
	case !(d.Resolution.RetentionMS >= minEffectRetentionMS) || math.IsInf(d.Resolution.RetentionMS, 0):
		return fmt.Errorf("duties.settle.keep_ms must be %.0f or more", minEffectRetentionMS)
	case d.Publish.Manifest != "" && !d.hasDuty(publisherDuty):
		return errors.New("duties.list has no publisher, and duties.publish.manifest is set")
	}
	if a := d.Allocation; a != (Allocation{IntervalMS: a.IntervalMS}) {
		if !positiveFinite(a.Total) || !(a.ReservePerProcess >= 0) || math.IsInf(a.ReservePerProcess, 0) || a.Total > 1e9 {
			return fmt.Errorf("duties.allot.whole must be above 0 and duties.allot.alone 0 or more, not %v and %v", a.Total, a.ReservePerProcess)
		}
		if err := a.Capacity().Check(); err != nil {
			return fmt.Errorf("duties.allot.%w", err)
		}
		if !d.hasDuty(allotterDuty) {
			return errors.New("duties.list has no allotter, and duties.allot is set")
		}
	}
	return nil
}

// Bounds of store.election_ms.
const (
	minElectionTimeoutMS = 100
	maxElectionTimeoutMS = 60000
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
	if !(st.ElectionTimeoutMS >= minElectionTimeoutMS && st.ElectionTimeoutMS <= maxElectionTimeoutMS) {
		return fmt.Errorf("store.election_ms must be from %d to %d, not %v", minElectionTimeoutMS, maxElectionTimeoutMS, st.ElectionTimeoutMS)
	}
	if !(st.CompareIntervalMS > 0) || math.IsInf(st.CompareIntervalMS, 0) {
		return fmt.Errorf("store.compare_ms must be above 0, not %v", st.CompareIntervalMS)
	}
	if len(st.Peers) == 0 {
		return errors.New("store.peers is missing: a copy asks the others before it takes part")
	}
	if err := checkAddresses("store.peers", st.Peers); err != nil {
		return err
	}
	if n := len(st.Peers); n%2 == 0 {
		return fmt.Errorf("store.peers names %d nodes: it takes an odd number, so that one more than half is as few as can be", n)
	}
	if st.ID != "" && st.Peers[st.ID] == "" {
		return fmt.Errorf("store.peers: %s, this node's own id, is missing", st.ID)
	}
	if err := checkAddresses("store.via", st.AddressOverrides); err != nil {
		return err
	}
	for _, id := range slices.Sorted(maps.Keys(st.AddressOverrides)) {
		if st.Peers[id] == "" {
			return fmt.Errorf("store.via.%s: no such peer", id)
		}
	}
	return nil
}

// checkAddresses checks a list of addresses by id, each of which may stand once.
func checkAddresses(key string, byID map[string]string) error {
	idByAddress := map[string]string{}
	for _, id := range slices.Sorted(maps.Keys(byID)) {
		address := byID[id]
		if _, _, err := net.SplitHostPort(address); err != nil {
			return fmt.Errorf("%s.%s: %w", key, id, err)
		}
		if otherID, duplicate := idByAddress[address]; duplicate {
			return fmt.Errorf("%s.%s: %s is the address of %s already", key, id, address, otherID)
		}
		idByAddress[address] = id
	}
	return nil
}

// checkReplicaCount refuses a number of copies of which no majority outlives the loss of one, or that a cut can halve.
func checkReplicaCount(key string, n int) error {
	if n < 3 || n%2 == 0 || n > maxReplicas {
		return fmt.Errorf("%s names %d copies: only 3, 5 or 7 have a majority that outlives the loss of one", key, n)
	}
	return nil
}

func (l Lab) check() error {
	if !(l.ClockRate >= 0) || l.ClockRate > 10 {
		return errors.New("lab.clock_rate must be from 0 to 10")
	}
	if l.InjectedBug != "" && !slices.Contains(InjectedBugs, l.InjectedBug) {
		return fmt.Errorf("lab.plant: there is no %q", l.InjectedBug)
	}
	return nil
}
