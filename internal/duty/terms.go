// Package duty decides which order server holds the lease of which duty. It does no I/O: events come in with the time of the
// caller's monotonic clock, in milliseconds, and actions go out.
//
// Table is part of the replicated state: who holds which lease, under which epoch (the fencing token). Grantor runs at the
// leader of the store and decides when a lease is granted and when it expires. Machine runs in each order server and decides
// when to be a candidate, to renew and to stop acting. docs/duties.md has the assumptions and the safety argument.
package duty

import (
	"fmt"
	"math"
)

// ClockBounds are the assumptions about clocks on which the safety of leases depends.
type ClockBounds struct {
	MaxDrift float64 // maximum drift of a monotonic clock, which runs at 1-MaxDrift to 1+MaxDrift times true time
	MarginMS float64 // ms on the holder's clock by which it stops before its lease ends
}

// DutyRule configures the lease of one duty.
type DutyRule struct {
	Name  string
	TTLMS float64 // ms of true time for which a grant or renewal is valid, from its receipt
}

// Rules are the settings that Grantor and Machine must have in common.
type Rules struct {
	ClockBounds
	RenewIntervalMS float64 // maximum interval in ms between two heartbeats of an order server
	CooldownMS      float64 // ms for which a server is no candidate for a duty that it released or lost
	ColdWaitMS      float64 // ms for which a duty stays without a holder if all candidates are cold
	Duties          []DutyRule
	PresenceTTLMS   float64 // ms; TTL of a server's presence lease; 0: servers have none
}

// toleratedLostRenewals is the number of successive renewals that may get lost without the holder losing its lease.
const toleratedLostRenewals = 2

// HolderLeaseMS returns for how many ms on its own clock a holder may act, counted from the sending of the heartbeat by which it
// obtained or renewed the lease.
func (b ClockBounds) HolderLeaseMS(ttlMS float64) float64 { return ttlMS*(1-b.MaxDrift) - b.MarginMS }

// GrantorWaitMS returns how many ms on its own clock the grantor waits after a holder's last heartbeat before the lease expires.
func (b ClockBounds) GrantorWaitMS(ttlMS float64) float64 { return ttlMS * (1 + b.MaxDrift) }

// Check reports the first invalid setting, by its key under duties in the operator's file.
func (r Rules) Check() error {
	finite := func(v float64) bool { return !math.IsNaN(v) && !math.IsInf(v, 0) }
	switch {
	case !finite(r.MaxDrift) || r.MaxDrift < 0 || r.MaxDrift > 0.5:
		return fmt.Errorf("clock_rate must be from 0 to 0.5, not %v", r.MaxDrift)
	case !finite(r.MarginMS) || r.MarginMS < 0:
		return fmt.Errorf("margin_ms must be 0 or more, not %v", r.MarginMS)
	case !finite(r.RenewIntervalMS) || r.RenewIntervalMS <= 0:
		return fmt.Errorf("renew_ms must be above 0, not %v", r.RenewIntervalMS)
	case !finite(r.CooldownMS) || r.CooldownMS < 0:
		return fmt.Errorf("cool_ms must be 0 or more, not %v", r.CooldownMS)
	case !finite(r.ColdWaitMS) || r.ColdWaitMS < 0:
		return fmt.Errorf("cold_wait_ms must be 0 or more, not %v", r.ColdWaitMS)
	}
	checkTTL := func(key string, v float64) error {
		if !finite(v) || v <= 0 {
			return fmt.Errorf("%s must be above 0, not %v", key, v)
		}
		if requiredMS := (toleratedLostRenewals + 1) * r.RenewIntervalMS; r.HolderLeaseMS(v) < requiredMS {
			return fmt.Errorf("%s of %v ms leaves a holder %.0f ms of its own clock; renew_ms, clock_rate and margin_ms require %.0f ms",
				key, v, r.HolderLeaseMS(v), requiredMS)
		}
		return nil
	}
	indexByName := map[string]int{}
	for i, d := range r.Duties {
		key := fmt.Sprintf("list[%d]", i)
		if err := checkName(d.Name); err != nil {
			return fmt.Errorf("%s.name %w", key, err)
		}
		if first, twice := indexByName[d.Name]; twice {
			return fmt.Errorf("%s.name %q is the name of list[%d] already", key, d.Name, first)
		}
		indexByName[d.Name] = i
		if err := checkTTL(key+".ttl_ms", d.TTLMS); err != nil {
			return err
		}
	}
	if r.PresenceTTLMS != 0 {
		return checkTTL("presence_ms", r.PresenceTTLMS)
	}
	return nil
}

// HasDuty reports whether a duty of this name is configured.
func (r Rules) HasDuty(name string) bool { return r.ttlMS(name) > 0 }

func (r Rules) ttlMS(name string) float64 {
	for _, d := range r.Duties {
		if d.Name == name {
			return d.TTLMS
		}
	}
	return 0
}

// maxNameLength is the maximum length of the name of a duty, in bytes.
const maxNameLength = 64

func checkName(s string) error {
	if s == "" || len(s) > maxNameLength {
		return fmt.Errorf("must have 1 to %d characters", maxNameLength)
	}
	for _, c := range s {
		if !(c >= 'a' && c <= 'z' || c >= '0' && c <= '9' || c == '-') {
			return fmt.Errorf("%q may contain only a to z, 0 to 9 and -", s)
		}
	}
	return nil
}
