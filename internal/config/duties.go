package config

import (
	"errors"
	"fmt"
	"maps"
	"math"
	"net"
	"slices"

	"puffinsaddle/internal/allocation"
	"puffinsaddle/internal/distribution"
	"puffinsaddle/internal/duty"
	"puffinsaddle/internal/rejoin"
)

// Duties configures the tasks that one order server holds at a time. They are disabled without store replicas.
type Duties struct {
	Replicas        map[string]string `yaml:"copies"`       // store replicas: id to address, as this server reaches it
	MaxSessions     int               `yaml:"sessions"`     // maximum number of order servers that one store replica serves
	RenewIntervalMS float64           `yaml:"renew_ms"`     // maximum interval between heartbeats, which renew leases
	MaxDrift        float64           `yaml:"clock_rate"`   // maximum clock drift: clocks run at 1-rate to 1+rate of true time
	MarginMS        float64           `yaml:"margin_ms"`    // a holder stops this much before its lease ends
	CooldownMS      float64           `yaml:"cool_ms"`      // wait before candidacy for a duty that was lost or given up
	ColdWaitMS      float64           `yaml:"cold_wait_ms"` // wait for a warm candidate before a cold one is accepted
	PresenceTTLMS   float64           `yaml:"presence_ms"`  // lifetime of a server's presence
	List            []Duty            `yaml:"list"`
	Allocation      Allocation        `yaml:"allot"`
	Publish         Publish           `yaml:"publish"`
	Resolution      Resolution        `yaml:"settle"`
	MarkIntervalMS  float64           `yaml:"mark_ms"` // interval at which a duty without a task of its own increments its counter
}

// Duty is one duty, with the lifetime of its lease.
type Duty struct {
	Name  string  `yaml:"name"`
	TTLMS float64 `yaml:"ttl_ms"`
}

// Allocation configures the duty allotter, which divides the downstream capacity among the servers and must be in Duties.List.
// Without Total, the policy settings determine each server's downstream share.
type Allocation struct {
	Total             float64 `yaml:"whole"`   // downstream calls in flight, over all servers
	ReservePerProcess float64 `yaml:"alone"`   // calls that a server may have in flight without a share
	MaxProcesses      int     `yaml:"servers"` // processes alive at once, including replacements
	IntervalMS        float64 `yaml:"every_ms"`
}

// Capacity returns the same limits in capacity units, of which allocation.UnitsPerCall make up one call.
func (a Allocation) Capacity() allocation.Capacity {
	return allocation.Capacity{Total: int64(a.Total * allocation.UnitsPerCall), ReservePerProcess: int64(a.ReservePerProcess * allocation.UnitsPerCall), MaxProcesses: a.MaxProcesses}
}

// Publish configures the duty publisher, which publishes the files of a manifest as a new version.
type Publish struct {
	Manifest   string  `yaml:"manifest"` // a file in sha256sum's format; the files that it lists are published
	IntervalMS float64 `yaml:"every_ms"`
}

// Resolution configures the duty settler, which resolves orphaned effects.
type Resolution struct {
	RetentionMS float64 `yaml:"keep_ms"` // minimum retention period of effects
	IntervalMS  float64 `yaml:"every_ms"`
}

// InjectedBugs lists the bugs that the lab can inject.
var InjectedBugs = slices.Concat(duty.InjectedBugs, rejoin.InjectedBugs, distribution.InjectedBugs)

// Lab holds the settings that only the lab may use.
type Lab struct {
	TracePath   string  `yaml:"trace"`      // file for the trace of what the process observed and did
	ClockRate   float64 `yaml:"clock_rate"` // speed of the process's clocks relative to true time
	InjectedBug string  `yaml:"plant"`      // injected bug; empty: none
	FaultCalls  bool    `yaml:"calls"`      // serve the lab's fault-injection calls on the operators' address
}

var defaultDuties = Duties{
	MaxSessions: 1024, RenewIntervalMS: 500, MaxDrift: 0.1, MarginMS: 50, CooldownMS: 5000, ColdWaitMS: 10000, PresenceTTLMS: 3000,
	MarkIntervalMS: 1000,
	Allocation:     Allocation{IntervalMS: 500}, Publish: Publish{IntervalMS: 1000},
	Resolution: Resolution{RetentionMS: 600e3, IntervalMS: 1000},
}

const (
	allotterDuty         = "allotter"
	publisherDuty        = "publisher"
	settlerDuty          = "settler"
	maxReplicas          = 7
	maxDuties            = 64
	minEffectRetentionMS = 60e3 // longer than callers wait, so that no attempt arrives for an effect that was already deleted
)

// Enabled reports whether duties are configured.
func (d Duties) Enabled() bool { return len(d.Replicas) > 0 }

// Rules returns the lease rules that servers and store replicas must agree on.
func (d Duties) Rules() duty.Rules {
	r := duty.Rules{
		ClockBounds:     duty.ClockBounds{MaxDrift: d.MaxDrift, MarginMS: d.MarginMS},
		RenewIntervalMS: d.RenewIntervalMS, CooldownMS: d.CooldownMS, ColdWaitMS: d.ColdWaitMS, PresenceTTLMS: d.PresenceTTLMS,
	}
	for _, listed := range d.List {
		r.Duties = append(r.Duties, duty.DutyRule{Name: listed.Name, TTLMS: listed.TTLMS})
	}
	return r
}

func (d Duties) hasDuty(name string) bool {
	return slices.ContainsFunc(d.List, func(listed Duty) bool { return listed.Name == name })
}

func (d Duties) check(st Store) error {
	if !d.Enabled() {
		if len(d.List) > 0 {
			return errors.New("duties.copies is missing, but duties.list is set")
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
		return fmt.Errorf("duties.copies names %d replicas, but store.peers %d", len(d.Replicas), n)
	}
	if err := d.Rules().Check(); err != nil {
		return fmt.Errorf("duties.%w", err)
	}
	switch {
	case len(d.List) > maxDuties:
		return fmt.Errorf("duties.list has %d duties; the maximum is %d", len(d.List), maxDuties)
	case d.MaxSessions < 1 || d.MaxSessions > 1<<16:
		return fmt.Errorf("duties.sessions must be from 1 to %d", 1<<16)
	case !isPositiveFinite(d.PresenceTTLMS):
		return errors.New("duties.presence_ms must be above 0")
	case !isPositiveFinite(d.MarkIntervalMS):
		return errors.New("duties.mark_ms must be above 0")
	case !isPositiveFinite(d.Allocation.IntervalMS):
		return errors.New("duties.allot.every_ms must be above 0")
	case !isPositiveFinite(d.Publish.IntervalMS):
		return errors.New("duties.publish.every_ms must be above 0")
	case !isPositiveFinite(d.Resolution.IntervalMS):
		return errors.New("duties.settle.every_ms must be above 0")
	case !(d.Resolution.RetentionMS >= minEffectRetentionMS) || math.IsInf(d.Resolution.RetentionMS, 0):
		return fmt.Errorf("duties.settle.keep_ms must be %.0f or more", minEffectRetentionMS)
	case d.Publish.Manifest != "" && !d.hasDuty(publisherDuty):
		return errors.New("duties.list has no publisher, but duties.publish.manifest is set")
	}
	if a := d.Allocation; a != (Allocation{IntervalMS: a.IntervalMS}) {
		if !isPositiveFinite(a.Total) || !(a.ReservePerProcess >= 0) || math.IsInf(a.ReservePerProcess, 0) || a.Total > 1e9 {
			return fmt.Errorf("duties.allot.whole must be above 0 and duties.allot.alone 0 or more, not %v and %v",
				a.Total, a.ReservePerProcess)
		}
		if err := a.Capacity().Check(); err != nil {
			return fmt.Errorf("duties.allot.%w", err)
		}
		if !d.hasDuty(allotterDuty) {
			return errors.New("duties.list has no allotter, but duties.allot is set")
		}
	}
	return nil
}

// Bounds of store.election_ms, in milliseconds.
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
		return fmt.Errorf("store.election_ms must be from %d to %d, not %v",
			minElectionTimeoutMS, maxElectionTimeoutMS, st.ElectionTimeoutMS)
	}
	if !isPositiveFinite(st.CompareIntervalMS) {
		return fmt.Errorf("store.compare_ms must be above 0, not %v", st.CompareIntervalMS)
	}
	if len(st.Peers) == 0 {
		return errors.New("store.peers is missing: a replica queries the others before it takes part")
	}
	if err := checkAddresses("store.peers", st.Peers); err != nil {
		return err
	}
	if n := len(st.Peers); n%2 == 0 {
		return fmt.Errorf("store.peers names %d replicas: the number must be odd, so that a majority is as small as possible", n)
	}
	if st.ID != "" && st.Peers[st.ID] == "" {
		return fmt.Errorf("store.peers: %s, this replica's own id, is missing", st.ID)
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

// checkAddresses checks the addresses of replicas by id: each must have a port and be unique.
func checkAddresses(key string, byID map[string]string) error {
	idByAddress := map[string]string{}
	for _, id := range slices.Sorted(maps.Keys(byID)) {
		address := byID[id]
		if _, _, err := net.SplitHostPort(address); err != nil {
			return fmt.Errorf("%s.%s: %w", key, id, err)
		}
		if otherID, duplicate := idByAddress[address]; duplicate {
			return fmt.Errorf("%s.%s: %s is already the address of %s", key, id, address, otherID)
		}
		idByAddress[address] = id
	}
	return nil
}

// checkReplicaCount rejects a number of replicas that is too small to keep a majority after the loss of one, or that is
// even, so that a network partition can split it into equal halves.
func checkReplicaCount(key string, n int) error {
	if n < 3 || n%2 == 0 || n > maxReplicas {
		return fmt.Errorf("%s names %d replicas: the number must be 3, 5 or 7, so that a majority survives the loss of one", key, n)
	}
	return nil
}

func (l Lab) check() error {
	if !(l.ClockRate >= 0) || l.ClockRate > 10 {
		return errors.New("lab.clock_rate must be from 0 to 10")
	}
	if l.InjectedBug != "" && !slices.Contains(InjectedBugs, l.InjectedBug) {
		return fmt.Errorf("lab.plant: unknown bug %q", l.InjectedBug)
	}
	return nil
}
