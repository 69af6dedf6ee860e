package policy

import "time"

// Times at which a waiting request is looked at again, and the estimates that they follow from.

func checkedBefore(a, b scheduledCheck) bool { return a.at < b.at || a.at == b.at && a.seq < b.seq }

// estimateRun is the expected duration of a run. For a known size it follows a learned line through the mean,
// not the size itself: waits do not grow with the size, and sizes are rough.
func (n *Instance) estimateRun(r *request) time.Duration {
	c := r.class
	run := c.meanRun
	if r.Size > 0 && c.sizeVariance > 0 {
		slope := min(max(c.sizeRunCovariance/c.sizeVariance, 0), c.meanRun/c.meanSize)
		run = max(c.meanRun+slope*(r.size-c.meanSize), c.meanRun/4)
	}
	return time.Duration(run)
}

// profitEnd is when an answer stops earning: at the aim if late answers earn nothing, else at the deadline.
func (n *Instance) profitEnd(r *request) time.Duration {
	end := r.aim
	if r.class.LateValue > 0 {
		end = r.due
	}
	if n.draining {
		end = min(end, n.stopAt)
	}
	return end
}

// latestStart is the latest start that leaves time for margin times the estimated run.
func (n *Instance) latestStart(r *request, margin float64) time.Duration {
	return n.profitEnd(r) - time.Duration(margin*float64(n.estimateRun(r)))
}

// nextCheck is when a request has to be checked again.
func (n *Instance) nextCheck(r *request) time.Duration {
	due := r.due - n.set.Tick
	switch r.state {
	case queued:
		return min(n.latestStart(r, hopelessMargin), due)
	case coalesced:
		if !r.repeatsRun {
			return min(n.profitEnd(r), due)
		}
	case calling:
		if r.retryAt > 0 {
			return min(r.retryAt, due)
		}
	}
	return due
}

func (n *Instance) scheduleCheck(r *request) {
	n.schedule(scheduledCheck{at: n.nextCheck(r), request: r})
}

func (n *Instance) schedule(check scheduledCheck) {
	n.seq++
	check.seq = n.seq
	n.timeline.push(check)
}

func (n *Instance) runChecks() {
	for n.timeline.len() > 0 && n.timeline.first().at <= n.now {
		check := n.timeline.pop()
		if check.isExpiry {
			n.deleteKey(check.request, check.request.class.Safety == Safe)
			continue
		}
		r := check.request
		if r.answered {
			continue
		}
		if at := n.nextCheck(r); at > n.now {
			n.scheduleCheck(r)
			continue
		}
		if r.state == calling && r.retryAt > 0 && n.now < r.due-n.set.Tick {
			n.makeCall(r)
		} else {
			n.reject(r)
		}
	}
}
