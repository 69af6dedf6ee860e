package policy

import (
	"slices"
	"time"
)

// The end of a monitoring window: allowances of the classes, health, idle timeouts and the hint to callers.

func (n *Instance) endWindow() {
	n.classes = slices.DeleteFunc(n.classes, // removed from the settings, and without queued requests
		func(c *classState) bool { return c != n.byName[c.Name] && c.queue.len() == 0 })
	n.adjustAllowances()
	arrived, refused := 0, 0
	for _, c := range n.classes {
		// Refusals for lack of downstream capacity must not make callers avoid idle cores here.
		arrived, refused = arrived+c.arrived, refused+c.refused-c.refusedForCalls
		if c.successfulRuns == 0 && c.refused > 0 {
			// An estimate that refuses everything would never be corrected, for example after slow
			// cores, a pause of the process or an outage of the downstream tier.
			c.meanRun *= estimateDecay
		}
		c.arrived, c.refused, c.refusedForCalls, c.successfulRuns = 0, 0, 0, 0
	}
	// Skipped calls can't correct the mean, so it decays. It stays high enough that the time limit of an
	// optional call is at least one backoff.
	if n.skippedCalls > n.timedCalls {
		n.meanCallTime = max(n.meanCallTime*estimateDecay,
			min(n.meanCallTime, float64(callBackoff/optionalCallTimes)))
	}
	n.windowStarts, n.skippedCalls, n.timedCalls = 0, 0, 0
	t := n.recent
	n.retryShare = t.retries / max(t.arrived, 1)
	n.readShare = t.readDelay / max(t.readDelay+t.runTime, 1)
	n.updateHealth(t.readDelay/max(t.arrived, 1)/float64(n.minAim), arrived)
	n.updateIdleTimeout()
	n.updateHint(float64(refused) / float64(max(arrived, refused, 1)))
	n.recent = traffic{t.arrived * trafficDecay, t.retries * trafficDecay, t.readDelay * trafficDecay,
		t.runTime * trafficDecay, t.requiredCalls * trafficDecay}
	n.windowEnd = n.now + windowLength
}

// updateHealth fails health checks while requests wait unread for much of the tightest aim on a slow server:
// unread requests can't be refused, and hints reach few of hundreds of callers. While retries are many, the
// entire fleet is overloaded, so health checks succeed. Limits differ, so that not all servers leave at once.
func (n *Instance) updateHealth(unread float64, arrived int) {
	late := unread > n.unreadLimit || n.unhealthy && unread > n.unreadLimit/4
	unhealthy := late && arrived > 0 && n.retryShare < maxRetryShare
	if unhealthy != n.unhealthy && !n.draining {
		n.unhealthy = unhealthy
		n.emit(Health{Shallow: true, Healthy: !unhealthy})
	}
}

// updateIdleTimeout lowers the idle timeout where callers send too rarely to justify an open connection: idle
// connections that fill the connection table keep out active callers. The timeout is longer while reading is
// costly, since a fuller table keeps out requests that would be read only to be refused. Where handshakes are
// expensive and connection tables large, this does harm.
func (n *Instance) updateIdleTimeout() {
	timeout := time.Duration(0)
	perWindow := n.recent.arrived * (1 - trafficDecay)
	if n.set.IdleTimeout > minIdleTimeout &&
		float64(n.set.Callers)*float64(windowLength) > float64(maxCallerGap)*perWindow {
		timeout = max(n.idleTimeout, minIdleTimeout)
		if n.paused && n.readShare > highReadShare {
			timeout = min(timeout*3/2, n.set.IdleTimeout)
		} else if !n.paused || n.readShare < highReadShare/2 {
			timeout = max(timeout*2/3, minIdleTimeout)
		}
	}
	if timeout != n.idleTimeout {
		n.idleTimeout = timeout
		n.emit(CloseIdle{After: timeout})
	}
}

// updateHint asks callers to shed what would be read only to be refused: the shed share follows the refused
// share of the remaining traffic. Otherwise reading and retries of refused requests take the cores from runs.
// This does harm where a few callers send all requests of high worth.
func (n *Instance) updateHint(refusedShare float64) {
	shed := n.shed
	if refusedShare > shedThreshold {
		shed = min(1-(1-shed)*(1-shedGain*refusedShare), maxShedShare)
	} else {
		shed = max(shed-shedRecovery, 0)
		if n.queued == 0 && n.running < n.set.Cores {
			shed /= 2 // otherwise callers avoid idle cores for seconds after a burst
		}
	}
	if shed == n.shed {
		return
	}
	n.shed = shed
	switch n.set.Hint {
	case HintLevel:
		n.emit(SetHint{Value: shed})
	case HintWeight:
		n.emit(SetHint{Value: 1 - shed})
	case HintCredit:
		if shed > 0 {
			n.emit(SetHint{Value: n.credit(shed)})
		} else {
			n.emit(SetHint{Value: float64(n.maxConcurrency())}) // one caller may use all of it
		}
	}
}

// credit divides the requests that this server takes among its callers, less the shed share. The total covers
// running, queued and unread requests, as callers never all use theirs, so that a few callers that send all
// traffic keep the cores busy. With hundreds of callers a credit is below 1, which they apply at random.
func (n *Instance) credit(shed float64) float64 {
	perCaller := creditPerCore * float64(n.set.Cores) / float64(max(n.set.Callers, 1))
	return (1 - shed) * max(perCaller, 1)
}

func (c *classState) dropRatio() float64 {
	return float64(c.refused) / float64(max(c.arrived, c.refused, 1))
}

// adjustAllowances is figure 2 of the paper, with ratios multiplied out to avoid a division by zero refusals.
func (n *Instance) adjustAllowances() {
	sum, lowest := 0, n.classes[len(n.classes)-1].allowance
	for i := len(n.classes) - 2; i >= 0; i-- {
		a, b := n.classes[i], n.classes[i+1]
		d := n.targetDropRatio(a, b)
		da, db := a.dropRatio(), b.dropRatio()
		if da > d*(1+dropTolerance)*db {
			a.allowance += allowanceStep + sum
			sum += allowanceStep
		} else if d*db > (1+dropTolerance)*da {
			a.allowance += sum - allowanceStep
			sum -= allowanceStep
		}
		lowest = min(lowest, a.allowance)
	}
	for _, c := range n.classes {
		c.allowance = min(c.allowance-lowest+1, maxAllowance)
	}
}

// targetDropRatio is d of the paper, the target ratio of drops of a to b: 1/(p a). NaN if neither has worth.
func (n *Instance) targetDropRatio(a, b *classState) float64 {
	worthRatio := a.Worth / b.Worth
	slowdownRatio := (float64(a.Aim) / a.meanSize) / (float64(b.Aim) / b.meanSize)
	return 1 / (worthRatio * slowdownRatio)
}
