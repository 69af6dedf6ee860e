// Package duty decides which order server holds which duty. It is free of I/O: events come in with the time of the
// caller's steady clock, in milliseconds, and actions go out.
//
// Three parts decide. Table is what all copies of the store agree on: who holds what, under which epoch. Grantor is the
// timing of the copy that leads: whom to grant, whose time is up. Machine is an order server's side: when to stand, to
// renew, to stop acting. docs/duties.md has the assumptions and the argument.
package duty

import (
	"fmt"
	"math"
)

// ClockBounds are what is assumed of clocks, and what is kept clear of them.
type ClockBounds struct {
	MaxDrift float64 // each steady clock runs at 1-Rate to 1+Rate of true time
	MarginMS float64 // ms of a holder's own clock that it keeps clear before its time ends
}

// DutyRule are the terms under which one duty is held.
type DutyRule struct {
	Name  string
	TTLMS float64 // ms of true time for which a grant or renewal holds, from its receipt
}

// Rules are all that both sides have to agree on.
type Rules struct {
	ClockBounds
	RenewIntervalMS float64 // ms between two heartbeats of an order server, at most
	CooldownMS      float64 // ms for which a server does not stand for a duty that it gave up or lost
	ColdWaitMS      float64 // ms for which a duty stays without a holder where only cold servers stand
	Duties          []DutyRule
	PresenceTTLMS   float64 // TTLMS of a server's presence; 0: none is kept
}

// Lost renewals that a holder must be able to bear.
const toleratedLostRenewals = 2

// HolderLeaseMS is how long a holder may act after it sent what was granted or renewed, on its own clock.
func (b ClockBounds) HolderLeaseMS(ttlMS float64) float64 { return ttlMS*(1-b.MaxDrift) - b.MarginMS }

// GrantorWaitMS is how long the grantor waits after it last heard a holder, on its own clock.
func (b ClockBounds) GrantorWaitMS(ttlMS float64) float64 { return ttlMS * (1 + b.MaxDrift) }

// Check names the first term that makes no sense, by its key below duties in the operator's file.
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
			return fmt.Errorf("%s of %v ms leaves a holder %.0f ms of its own clock; renew_ms, clock_rate and margin_ms need %.0f",
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
			return fmt.Errorf("%s.name %q stands in list[%d] already", key, d.Name, first)
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

// HasDuty tells whether a duty is on the list.
func (r Rules) HasDuty(name string) bool { return r.ttlMS(name) > 0 }

func (r Rules) ttlMS(name string) float64 {
	for _, d := range r.Duties {
		if d.Name == name {
			return d.TTLMS
		}
	}
	return 0
}

const maxNameLength = 64

func checkName(s string) error {
	if s == "" || len(s) > maxNameLength {
		return fmt.Errorf("must have 1 to %d characters", maxNameLength)
	}
	for _, c := range s {
		if !(c >= 'a' && c <= 'z' || c >= '0' && c <= '9' || c == '-') {
			return fmt.Errorf("%q may hold a to z, 0 to 9 and -", s)
		}
	}
	return nil
}
