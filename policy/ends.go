package policy

import (
	"sort"
	"time"
)

// Ends of requests: refusals, failures, results, and callers that have gone.

// reject answers a request that does not run or does not end in time. It sends Fail if the request may have
// run, and Refuse otherwise.
func (n *Instance) reject(r *request) {
	if r.answered {
		return
	}
	r.answered = true
	if r.repeatsRun || r.ran {
		n.emit(Fail{ID: r.ID})
	} else {
		c := r.class
		c.refused++
		if r.state == calling || !n.callsAllowed(c) {
			c.refusedForCalls++
		}
		noRetry := n.fleetOverloaded() || n.retryShare > maxRetryShare && n.shed > maxShedShare/2 ||
			n.retryShare > highRetryShare && n.now > n.latestStart(r, doubtfulMargin)
		n.emit(Refuse{ID: r.ID, RetryAfter: n.retryAfter(), NoRetry: noRetry})
	}
	if r.state == running || r.state == calling {
		return // Finished releases its memory
	}
	n.finalize(r)
}

// retryAfter is the wait that a refusal advises; unlike hints it reaches clients. Without it clients would
// retry at once, while the queue is still full.
func (n *Instance) retryAfter() time.Duration {
	return min(max(time.Duration(n.shed*retryAfterShare*float64(n.set.MaxRetryAfter)), minRetryAfter),
		n.set.MaxRetryAfter)
}

// finalize ends a request, releases its memory and resolves the requests that are coalesced with it.
func (n *Instance) finalize(r *request) {
	if r.state == ended {
		return
	}
	if r.state == running || r.state == calling {
		n.running--
		n.memory -= r.KB * (n.set.RunMemoryFactor - 1)
	}
	switch r.state {
	case queued:
		n.queued--
	case calling:
		n.calling--
		n.endCall(r, true)
	case running:
		n.runnableDelta--
	}
	n.memory -= r.KB
	r.state, r.endedAt = ended, n.now
	if !r.ran || (r.class.Safety == Safe && !r.succeeded) {
		n.deleteKey(r, true)
	} else if r.keyStored && r.class.Safety == Safe {
		n.schedule(scheduledCheck{at: n.now + n.set.SharedResultTTL, request: r, isExpiry: true})
	}
	n.completeWaiters(r)
	n.prune(r)
}

// prune deletes an ended request unless a repeat may still refer to it.
func (n *Instance) prune(r *request) {
	if r.state == ended && !r.keyStored {
		delete(n.requests, r.ID)
	}
}

func (n *Instance) finish(e Finished) {
	r := n.requests[e.ID]
	if r == nil || r.state == ended {
		return
	}
	if e.Outcome == OK && (r.state == running || r.state == calling) {
		r.succeeded, r.resultMadeAt = true, n.now-max(e.ResultAge, 0)
		n.learn(r, float64(e.Duration))
	}
	r.answered = true
	n.finalize(r)
}

func (n *Instance) learn(r *request, took float64) {
	c := r.class
	c.successfulRuns++
	if c.samples++; c.samples > 1/learnRate {
		took = min(took, maxOutlier*c.meanRun) // one long run shows no slow server; several do
	}
	n.recent.runTime += took
	rate := max(learnRate, 1/float64(c.samples))
	size := took
	if r.Size > 0 {
		size = r.size
		slopeRate := rate / 4 // a slope needs more samples than a mean
		dx := size - c.meanSize
		c.sizeVariance += slopeRate * (dx*dx - c.sizeVariance)
		c.sizeRunCovariance += slopeRate * (dx*(took-c.meanRun) - c.sizeRunCovariance)
	}
	c.meanRun += rate * (took - c.meanRun)
	c.meanSize += rate * (size - c.meanSize)
}

func (n *Instance) callerGone(id ID) {
	r := n.requests[id]
	if r == nil || r.state == ended {
		return
	}
	r.answered = true
	if r.state != running && r.state != calling {
		n.finalize(r)
	}
}

// answerAll answers every open request before the process is stopped.
func (n *Instance) answerAll() {
	open := make([]*request, 0, len(n.requests))
	for _, r := range n.requests {
		if !r.answered {
			open = append(open, r)
		}
	}
	sort.Slice(open, func(i, j int) bool { return open[i].seq < open[j].seq })
	for _, r := range open {
		n.reject(r)
	}
}
