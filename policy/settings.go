package policy

import (
	"errors"
	"fmt"
	"math"
	"time"
)

// check names the first setting that makes no sense.
func check(set Settings) error {
	if len(set.Classes) == 0 {
		return errors.New("policy: Classes is empty")
	}
	names := map[string]bool{}
	for i, c := range set.Classes {
		switch {
		case names[c.Name]:
			return fmt.Errorf("policy: Classes[%d].Name %q stands twice", i, c.Name)
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
		return errors.New("policy: RunFactor must be 1 or more")
	case !(set.MaxRunningPerCore >= 1):
		return errors.New("policy: FallMultiple must be 1 or more")
	case !(set.EntryKB >= 0):
		return errors.New("policy: EntryKB must be 0 or more")
	case set.Tick < 0 || set.DrainGrace < 0 || set.SharedResultTTL < 0 || set.WarmupPeriod < 0:
		return errors.New("policy: Tick, DrainGrace, FreshFor and Cold must be 0 or more")
	case !(set.DownstreamShare >= 0) || set.CallPeriod < 0 || set.AbandonedCallTime < 0:
		return errors.New("policy: BelowShare, CallSpan and Linger must be 0 or more")
	case set.IdleTimeout < 0 || set.MaxRetryAfter < 0 || set.HintTTL < 0 || set.MaxRunningPeriod < 0 || set.AnswerSlack < 0:
		return errors.New("policy: Idle, MaxPause, HintFor, FallSpan and AnswerSlack must be 0 or more")
	case !(set.ColdSpeedShare >= 0 && set.ColdSpeedShare <= 1):
		return errors.New("policy: ColdShare must be from 0 to 1")
	case set.Servers < 0 || set.Callers < 0:
		return errors.New("policy: Servers and Callers must be 0 or more")
	case set.Hint < HintNone || set.Hint > HintWeight:
		return errors.New("policy: Hint is unknown")
	}
	return nil
}

// SetDownstreamShare puts another share of the calls below into force, as DownstreamShare of the settings: a share that is divided
// among servers while they run changes more often than settings do. A share of nothing leaves room for no call; in the
// settings 0 means that no share is told, and calls are not bounded.
func (n *Instance) SetDownstreamShare(share float64) {
	if share >= 0 && !math.IsInf(share, 0) {
		n.set.DownstreamShare = max(share, math.SmallestNonzeroFloat64)
	}
}

// Restarted tells that the machine has begun anew just now, and cold. What it ran has ended, by events of its own.
func (n *Instance) Restarted(now time.Duration) { n.set.JustStarted, n.coldSince = true, now }

// DownstreamTime tells how long calls below were in hand over the span of the rule, and how long that is: their ratio is
// what this server has used of its share.
func (n *Instance) DownstreamTime() (callTime, period float64) {
	if n.set.CallPeriod <= 0 {
		return 0, 0
	}
	n.updateCallTime()
	return n.callTime, float64(n.set.CallPeriod)
}
