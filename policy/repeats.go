package policy

// Repeats: requests whose key or idempotency key an earlier request has.

// resolveRepeat handles a repeat of an earlier request. It returns false if the repeat is to be enqueued like
// any other request.
func (n *Instance) resolveRepeat(r *request) bool {
	prior := r.original
	for prior != nil && prior != r && prior.successor != nil {
		prior = prior.successor // an earlier request of this batch replaced it
	}
	if prior == r {
		prior = nil
	}
	if r.class.Safety == Safe {
		return n.resolveSharedRead(r, prior)
	}
	// A repeat must not cause a second effect. An attempt that is still queued is replaced by the newer one,
	// since its caller has moved on. A request that ran, or of which nothing is known, is not run again, and
	// its repeat is not refused, because a refusal says that nothing ran.
	r.repeatsRun = prior == nil || prior.repeatsRun || prior.ran
	switch {
	case prior != nil && prior.repeatsRun && prior.primary != nil:
		n.coalesce(r, prior.primary)
	case prior != nil && (prior.state == running || prior.state == calling):
		n.coalesce(r, prior)
	case prior == nil || prior.ran && prior.succeeded || prior.repeatsRun && prior.state != ended:
		n.shareResult(r)
	case r.repeatsRun:
		n.reject(r)
	case prior.state == ended:
		return false
	case prior.seq > r.seq:
		n.reject(r)
	default:
		n.reject(prior)
		prior.successor = r
		return false
	}
	return true
}

// resolveSharedRead coalesces a safe request with an equal one or shares the fresh result of that.
func (n *Instance) resolveSharedRead(r, prior *request) bool {
	if prior == nil || n.tooLateToStart(r) {
		return false
	}
	if prior.primary != nil {
		prior = prior.primary
	}
	switch {
	case prior.state == queued || prior.state == running || prior.state == calling:
		n.coalesce(r, prior)
		return true
	case prior.state == ended && prior.succeeded && n.now-prior.endedAt <= n.set.SharedResultTTL:
		if n.mayShare(prior, r) {
			n.shareResult(r)
			return true
		}
	}
	return false
}

func (n *Instance) coalesce(r, primary *request) {
	r.state, r.primary = coalesced, primary
	primary.waiters = append(primary.waiters, r)
	n.scheduleCheck(r)
}

func (n *Instance) shareResult(r *request) {
	r.state = sharing
	n.emit(ShareResult{ID: r.ID})
	n.scheduleCheck(r)
}

// startedElsewhere makes the repeats of a request share the result of the attempt that another process has
// started. The end of the request itself says nothing about that attempt.
func (n *Instance) startedElsewhere(id ID) {
	r := n.requests[id]
	if r == nil || r.state != running {
		return
	}
	repeats := r.waiters
	r.waiters = nil
	for _, repeat := range repeats {
		if repeat.state == coalesced {
			repeat.primary = nil
			n.shareResult(repeat)
		}
	}
}

// storeKey adds a request to the key table when it is enqueued, not when it starts: of two queued attempts
// without an entry both would run. A keyed entry is valid until its KeyTTL has passed.
func (n *Instance) storeKey(r *request) {
	c := r.class
	ttl := r.due - n.now
	switch {
	case c.Safety == Keyed:
		ttl = max(ttl, r.reachedAt+c.KeyTTL-n.now) + 2*n.set.Tick
	case c.Safety == Safe && n.set.SharedResultTTL > 0 && r.Key != "" && !r.Write:
		ttl += n.set.SharedResultTTL
	default:
		return
	}
	r.keyStored = true
	n.memory += n.set.EntryKB
	n.emit(StoreKey{ID: r.ID, TTL: ttl})
	n.schedule(scheduledCheck{at: n.now + ttl, request: r, isExpiry: true})
}

func (n *Instance) deleteKey(r *request, notify bool) {
	if !r.keyStored {
		return
	}
	r.keyStored = false
	n.memory -= n.set.EntryKB
	if notify {
		n.emit(DeleteKey{ID: r.ID})
	}
	n.prune(r)
}

// completeWaiters ends the wait of the requests that are coalesced with one that has ended. Those that cannot
// share its result run, after the others have got it: the key table then has the entry of a new run.
func (n *Instance) completeWaiters(r *request) {
	waiters := r.waiters
	r.waiters = nil
	var unserved []*request
	for _, waiter := range waiters {
		if waiter.state != coalesced {
			continue
		}
		waiter.primary = nil
		if r.succeeded && n.mayShare(r, waiter) {
			n.shareResult(waiter)
		} else {
			unserved = append(unserved, waiter)
		}
	}
	n.runOneFor(unserved)
}

// mayShare says whether a repeat may share the result of a run. The result of a read must not have been too
// old when the repeat reached the machine.
func (n *Instance) mayShare(run, repeat *request) bool {
	return run.class.Safety != Safe || repeat.reachedAt <= run.resultMadeAt+n.set.SharedResultTTL
}

// runOneFor enqueues one of several equal requests, with which the others are coalesced. Repeats of a request
// that ran fail.
func (n *Instance) runOneFor(requests []*request) {
	var primary *request
	for _, r := range requests {
		switch {
		case r.repeatsRun:
			n.reject(r)
		case primary == nil:
			n.enqueue(r)
			if r.state == queued {
				primary = r
			}
		default:
			n.coalesce(r, primary)
		}
	}
}
