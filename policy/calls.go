package policy

import (
	"math"
	"time"
)

// Downstream calls: their share of capacity, retries and the circuit breaker.

// makeCall makes the downstream call that a request waits for, skips or defers it, or rejects the request.
func (n *Instance) makeCall(r *request) {
	c := r.class
	r.retryAt = 0
	if r.answered {
		return // Finished will end it
	}
	left := n.profitEnd(r) - n.now
	if left <= n.set.Tick {
		n.reject(r) // as in the paper, a request that earns nothing is dropped
		return
	}
	maxWait := n.callTimeLeft(c)
	if c.SkipWorth > 0 && (maxWait == 0 || n.now < max(n.breakerEnd, n.requiredEnd) || r.callAttempts > 1) {
		n.skippedCalls++ // earns a part of the worth now instead of waiting for capacity
		n.skipCall(r)
		return
	}
	if maxWait == 0 {
		r.retryAt = n.now + gaugeInterval
		n.scheduleCheck(r)
		return
	}
	if c.SkipWorth > 0 {
		left = time.Duration(min(float64(left)*optionalWaitShare, optionalCallTimes*n.meanCallTime))
	}
	if n.callFailures >= breakerFailures && n.now >= n.breakerEnd {
		n.breakerEnd = n.now + breakerOpenTime // this call is the probe
	}
	r.callAttempts++
	r.callInFlight, r.callDeadline = true, n.now-n.startedAt+min(left, maxWait)
	n.callsInFlight++
	n.callDeadlines += r.callDeadline
	n.peers.reportDue = true
	n.emit(MakeCall{ID: r.ID, MaxWait: min(left, maxWait)})
}

// callTimeLeft is how long one more downstream call may take; 0: no call may start. It keeps the downstream
// tier, which all servers share, from more concurrent calls than it survives, when it is slow or silent, when
// servers are cold, or under load. Calls count by their time within the period, those in flight as if they
// took their full time limit, so that the used part of the share is never exceeded. This does harm where
// other servers leave their shares unused. Optional calls leave the time that required calls are likely to
// need. Otherwise they fill the period while downstream is slow, and requests with required calls fail.
func (n *Instance) callTimeLeft(c *classState) time.Duration {
	period, share := float64(n.set.CallPeriod), n.callShare()
	limit := n.wholeCallLimit() * share
	switch {
	case n.wholeCallLimit() == 0:
		return math.MaxInt64
	case limit <= 0:
		return 0
	}
	n.updateCallTime()
	if c.SkipWorth > 0 {
		requiredRate := n.recent.requiredCalls * (1 - trafficDecay) / float64(windowLength) // per nanosecond
		limit -= min(requiredMargin*requiredRate*period*n.meanCallTime, maxRequiredShare*limit)
	}
	abandoned := float64(n.callsInFlight+1) * float64(n.set.AbandonedCallTime)
	wait := limit - n.callTime - n.pendingCallTime() - abandoned
	if n.callsInFlight == 0 {
		wait = max(wait, limit/2-n.callTime) // else a share below AbandonedCallTime would allow no call
	}
	if wait < n.shortestCallTime(limit, share) {
		return 0
	}
	return time.Duration(wait)
}

// shortestCallTime is the least time limit of a call. While two processes have shares of the limit, neither
// keeps as much of it free as it would alone.
func (n *Instance) shortestCallTime(limit, share float64) float64 {
	if share < 1 {
		return min(minSharedCallTimes*n.meanCallTime, limit/share/4)
	}
	return min(minCallTimes*n.meanCallTime, limit/4)
}

// wholeCallLimit is the call time that all processes of the server may use within the period; 0: no limit.
func (n *Instance) wholeCallLimit() float64 {
	if n.set.DownstreamShare <= 0 || n.set.CallPeriod <= 0 {
		return 0
	}
	return usedCallShare * n.downstreamShare() * float64(n.set.CallPeriod)
}

// pendingCallTime is the call time still to come if all calls in flight take their full time limit.
func (n *Instance) pendingCallTime() float64 {
	return max(float64(n.callDeadlines)-float64(n.callsInFlight)*float64(n.now-n.startedAt), 0)
}

// committedCallTime is the most call time within the period that the calls made so far can lead to.
func (n *Instance) committedCallTime() float64 {
	return n.callTime + n.pendingCallTime() + float64(n.callsInFlight)*float64(n.set.AbandonedCallTime)
}

// callInterval is the length of a bucket of call time.
func (n *Instance) callInterval() time.Duration { return max(n.set.CallPeriod/(callBuckets-1), 1) }

// updateCallTime updates callTime, the sum over the buckets; the oldest is cleared when the next one begins.
func (n *Instance) updateCallTime() {
	bucket := n.callInterval()
	if n.now-n.callTimeAt > n.set.CallPeriod+bucket {
		n.callTimeAt = n.now - n.set.CallPeriod - bucket // older time is outside the period
	}
	for n.callTimeAt < n.now {
		i := n.callTimeAt / bucket
		end := min((i+1)*bucket, n.now)
		n.callTimeBuckets[i%callBuckets] += float64(n.callsInFlight) * float64(end-n.callTimeAt)
		if n.callTimeAt = end; end == (i+1)*bucket {
			n.callTimeBuckets[(i+1)%callBuckets] = 0
		}
	}
	n.callTime = 0
	for _, t := range n.callTimeBuckets {
		n.callTime += t
	}
}

// endCall accounts for the end of a call; an abandoned one keeps running downstream for AbandonedCallTime.
func (n *Instance) endCall(r *request, abandoned bool) {
	if !r.callInFlight {
		return
	}
	n.updateCallTime()
	if abandoned {
		n.callTimeBuckets[n.now/n.callInterval()%callBuckets] += float64(n.set.AbandonedCallTime)
	}
	r.callInFlight = false
	n.callDeadlines -= r.callDeadline
	n.callsInFlight--
	n.peers.reportDue = true
}

// callsAllowed says whether a run of the class could make its calls now. A run that can't would only take
// memory and count towards the concurrency limit.
func (n *Instance) callsAllowed(c *classState) bool {
	return !c.Calls || c.SkipWorth > 0 || n.now >= n.breakerEnd && n.callTimeLeft(c) > 0
}

func (n *Instance) skipCall(r *request) {
	n.emit(SkipCall{ID: r.ID})
	n.resumeRun(r)
}

func (n *Instance) resumeRun(r *request) {
	r.state = running
	n.calling--
	n.runnableDelta++
	n.scheduleCheck(r)
}

func (n *Instance) callReturned(e CallReturned) {
	if e.Outcome == OK {
		n.callFailures, n.breakerEnd = 0, 0
	} else if n.callFailures++; n.callFailures == breakerFailures {
		n.breakerEnd = n.now + breakerOpenTime
	}
	r := n.requests[e.ID]
	if r == nil || r.state != calling {
		return
	}
	n.endCall(r, e.Outcome == TimedOut)
	if e.Outcome == OK || e.Outcome == TimedOut {
		n.meanCallTime += learnRate * (float64(e.Duration) - n.meanCallTime)
		n.timedCalls++
		n.timedCallsEver++
	}
	if e.Outcome == OK {
		n.resumeRun(r)
		return
	}
	if r.answered {
		return
	}
	// The capacity of a full downstream tier is left to required calls.
	mayRetry := e.Outcome == Full && r.class.SkipWorth == 0 || e.Outcome == Unreachable || e.Outcome == NotRun
	if e.Outcome == InvalidReply && r.class.Safety == Safe {
		mayRetry = r.callAttempts == 1 // safe to run twice: one more attempt before a skip
	}
	wait := callBackoff << min(r.callAttempts, 2)
	wait += time.Duration(n.rng.Int64N(int64(callBackoff)))
	switch {
	case mayRetry && r.callAttempts < maxCallAttempts && n.now+wait < n.profitEnd(r):
		r.retryAt = n.now + wait
		n.scheduleCheck(r)
		if e.Outcome == Full {
			n.requiredEnd = n.now + 2*wait // optional calls leave the capacity to it
		}
	case r.class.SkipWorth > 0:
		n.skipCall(r)
	default:
		n.reject(r)
	}
}
