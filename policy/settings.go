package policy

import (
	"errors"
	"fmt"
	"math"
	"time"
)

// check returns an error for the first invalid setting.
func check(set Settings) error {
	if len(set.Classes) == 0 {
		return errors.New("policy: Classes is empty")
	}
	names := map[string]bool{}
	for i, c := range set.Classes {
		switch {
		case names[c.Name]:
			return fmt.Errorf("policy: Classes[%d].Name %q is a duplicate", i, c.Name)
		case c.Aim <= 0:
			return fmt.Errorf("policy: Classes[%d].Aim must be above 0", i)
		case c.Deadline <= 0:
			return fmt.Errorf("policy: Classes[%d].Deadline must be above 0", i)
		case !(c.Worth >= 0) || math.IsInf(c.Worth, 0):
			return fmt.Errorf("policy: Classes[%d].Worth must be 0 or more", i)
		case !(c.AimStretch >= 0) || !(c.LateValue >= 0) || !(c.SkipWorth >= 0):
			return fmt.Errorf("policy: Classes[%d].AimStretch, LateValue and SkipWorth must be 0 or more", i)
		case c.Safety < Safe || c.Safety > Unsafe:
			return fmt.Errorf("policy: Classes[%d].Safety is unknown", i)
		case c.Safety == Keyed && c.KeyTTL <= 0:
			return fmt.Errorf("policy: Classes[%d].KeyTTL must be above 0", i)
		}
		names[c.Name] = true
	}
	switch {
	case set.Cores < 1:
		return errors.New("policy: Cores must be 1 or more")
	case !(set.MemoryKB > 0):
		return errors.New("policy: MemoryKB must be above 0")
	case !(set.RunMemoryFactor >= 1):
		return errors.New("policy: RunMemoryFactor must be 1 or more")
	case !(set.MaxRunningPerCore >= 1):
		return errors.New("policy: MaxRunningPerCore must be 1 or more")
	case !(set.EntryKB >= 0):
		return errors.New("policy: EntryKB must be 0 or more")
	case set.Tick < 0 || set.DrainGrace < 0 || set.SharedResultTTL < 0 || set.WarmupPeriod < 0:
		return errors.New("policy: Tick, DrainGrace, SharedResultTTL and WarmupPeriod must be 0 or more")
	case !(set.DownstreamShare >= 0) || set.CallPeriod < 0 || set.AbandonedCallTime < 0:
		return errors.New("policy: DownstreamShare, CallPeriod and AbandonedCallTime must be 0 or more")
	case set.IdleTimeout < 0 || set.MaxRetryAfter < 0 || set.HintTTL < 0 || set.MaxRunningPeriod < 0 || set.AnswerSlack < 0:
		return errors.New("policy: IdleTimeout, MaxRetryAfter, HintTTL, MaxRunningPeriod and AnswerSlack must be 0 or more")
	case !(set.ColdSpeedShare >= 0 && set.ColdSpeedShare <= 1):
		return errors.New("policy: ColdSpeedShare must be from 0 to 1")
	case set.Servers < 0 || set.Callers < 0:
		return errors.New("policy: Servers and Callers must be 0 or more")
	case set.Hint < HintNone || set.Hint > HintWeight:
		return errors.New("policy: Hint is unknown")
	}
	return nil
}

// SetDownstreamShare replaces DownstreamShare of the settings, for allocations that change more often than the settings.
// A share of 0 allows no call, whereas 0 in the settings means that calls are unlimited.
func (n *Instance) SetDownstreamShare(share float64) {
	if share >= 0 && !math.IsInf(share, 0) {
		n.set.DownstreamShare = max(share, math.SmallestNonzeroFloat64)
		n.peers.allotted = true
	}
}

// Restarted reports that the machine has just restarted and is cold. The host sends Finished for what it ran.
func (n *Instance) Restarted(now time.Duration) { n.set.JustStarted, n.coldSince = true, now }

// DownstreamTime returns the time of downstream calls in flight, summed over the period of the call limit, and the length
// of that period, both in nanoseconds. Their ratio is the used part of the allocation of this server.
func (n *Instance) DownstreamTime() (callTime, period float64) {
	if n.set.CallPeriod <= 0 {
		return 0, 0
	}
	n.updateCallTime()
	return n.callTime, float64(n.set.CallPeriod)
}
