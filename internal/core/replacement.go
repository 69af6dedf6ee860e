package core

import (
	"puffinsaddle/internal/clock"
	"puffinsaddle/policy"
)

// While one process replaces another, callers see the two as one server, on which a keyed request runs at most once. Both
// accept requests until the predecessor has left. The successor decides which process starts a keyed request: the
// predecessor claims each attempt before it starts, and the successor announces each attempt that it starts itself. Both
// report how their attempts end, so that either process answers a retry with the result of the other's attempt.

// replacement is the state of the coordination with the processes that this one replaces and that replaces it.
type replacement struct {
	successor     PeerLink            // permits starts of keyed requests; nil: none
	predecessor   PeerLink            // is told of starts of keyed requests; nil: none
	claims        map[string]PeerLink // claims without a response, by request ID: where to pass it on; nil: a request of this process
	uncoordinated int                 // other processes that may start keyed requests without a claim or an announcement
	noStartBefore float64             // no keyed request starts before this time, since a process that is gone may have started it
}

// links returns the links to the other processes, without one of them.
func (r *replacement) links(except PeerLink) (links []PeerLink) {
	for _, link := range []PeerLink{r.successor, r.predecessor} {
		if link != nil && link != except {
			links = append(links, link)
		}
	}
	return links
}

// exportAttempts lists the keyed attempts that were started.
func (t *keyTable) exportAttempts() []KeyedAttempt {
	list := []KeyedAttempt{}
	for _, e := range t.byID {
		if e.key.keyed && e.started {
			list = append(list, *e.attempt())
		}
	}
	return list
}

// importAttempt adds an attempt of another process, which reports its end over a link; without a link the end stays unknown.
// The memory limit does not apply, since the attempt was started already.
func (t *keyTable) importAttempt(id policy.ID, attempt *KeyedAttempt, owner PeerLink) {
	e := &entry{id: id, key: attempt.key(), expiresAt: attempt.Expires, ended: !attempt.Running || owner == nil,
		succeeded: attempt.Good, result: attempt.Result, windowEnd: attempt.Until, bodyHash: attempt.Body,
		class: attempt.Class, started: true, requestID: attempt.RequestID, arrivedAt: attempt.ArrivedAt, owner: owner}
	if old := t.byKey[e.key]; old != nil {
		t.forget(old.id)
	}
	t.byKey[e.key], t.byID[id] = e, e
	t.usedBytes += e.size()
}

// ExportKeyedAttempts lists the keyed attempts for a successor that is about to serve alongside this process. From then on
// this process claims each attempt before it starts it, and reports how its attempts end. If successor is nil, it is an
// earlier build that takes no claims: no keyed request starts until SuccessorEnded is called.
func (c *Core) ExportKeyedAttempts(successor PeerLink) (attempts []KeyedAttempt) {
	c.runAndWait(func() {
		if successor == nil {
			c.replacement.uncoordinated++
		} else {
			c.replacement.successor = successor
		}
		attempts = c.keys.exportAttempts()
	})
	return attempts
}

// ImportKeyedAttempts adds the keyed attempts of the predecessor. From then on this process announces each attempt that it
// starts, until PeerEnded is called. If predecessor is nil, it is an earlier build that starts no keyed request any more.
func (c *Core) ImportKeyedAttempts(predecessor PeerLink, attempts []KeyedAttempt) {
	c.runAndWait(func() {
		c.replacement.predecessor = predecessor
		for i := range attempts {
			c.keys.importAttempt(c.newID(), &attempts[i], predecessor)
		}
	})
}

// SuspendKeyedStarts lets no keyed request start until ResumeKeyedStarts is called: another process may start some that this
// one does not learn of.
func (c *Core) SuspendKeyedStarts() { c.runAndWait(func() { c.replacement.uncoordinated++ }) }

// ResumeKeyedStarts reports that the other process is gone. The attempts that it started are unknown here, so keyed requests
// start again only after the longest window in which a repeat of one of them may arrive.
func (c *Core) ResumeKeyedStarts() {
	c.AfterPendingEvents(func() {
		c.replacement.uncoordinated--
		longest := 0.0
		for _, class := range c.classes {
			if class.Safety == policy.Keyed {
				longest = max(longest, clock.Millis(class.KeyTTL)+clockSlackMS)
			}
		}
		if longest > 0 {
			c.log.Warn().Float64("ms", longest).
				Msg("keyed requests are refused for this time: the attempts of another process are unknown")
			c.replacement.noStartBefore = c.clock.Now() + longest
		}
	})
}

// ReceiveFromPeer handles a message of the other process.
func (c *Core) ReceiveFromPeer(from PeerLink, m PeerMessage) {
	c.AfterPendingEvents(func() {
		switch {
		case m.Claim != nil:
			c.decideClaim(from, m.Claim)
		case m.Response != nil:
			c.handleResponse(m.Response)
		case m.Started != nil:
			c.keys.importAttempt(c.newID(), m.Started, from)
			c.tellPeers(from, PeerMessage{Started: m.Started})
		case m.Ended != nil:
			c.recordPeerEnd(from, m.Ended)
		case m.Limits != nil:
			c.receiveLimits(from, m.Limits)
		case m.Effects != nil:
			c.receiveEffects(from, m.Effects)
		}
	})
}

// PeerEnded reports that the other process is gone. What it started is known; attempts without a reported end have an unknown
// outcome. If it was the successor, this process decides again which keyed requests start.
func (c *Core) PeerEnded(gone PeerLink) {
	c.AfterPendingEvents(func() {
		for _, e := range c.keys.runningAttemptsOf(gone) {
			c.endPeerAttempt(gone, e, false, nil)
		}
		if c.replacement.predecessor == gone {
			c.replacement.predecessor = nil
		}
		if c.replacement.successor == gone {
			c.replacement.successor = nil
			for requestID := range c.replacement.claims {
				c.handleResponse(&ClaimResponse{RequestID: requestID, Granted: true})
			}
		}
	})
}

// tellPeers sends a message to all other processes but the one that it came from.
func (c *Core) tellPeers(from PeerLink, m PeerMessage) {
	for _, link := range c.replacement.links(from) {
		link.Send(m, nil)
	}
}

// decideClaim responds to a claim of the predecessor, or passes it on if this process has a successor itself.
func (c *Core) decideClaim(from PeerLink, claim *KeyedAttempt) {
	if e := c.keys.byKey[claim.key()]; e != nil && e.started && claim.ArrivedAt <= e.windowEnd {
		from.Send(PeerMessage{Response: &ClaimResponse{RequestID: claim.RequestID}}, nil)
		return
	}
	c.keys.importAttempt(c.newID(), claim, from)
	if successor := c.replacement.successor; successor != nil {
		c.replacement.claims[claim.RequestID] = from
		successor.Send(PeerMessage{Claim: claim}, nil)
		return
	}
	from.Send(PeerMessage{Response: &ClaimResponse{RequestID: claim.RequestID, Granted: true}}, nil)
}

// handleResponse handles the response to a claim: it starts the request, or makes it share the result of the attempt that was
// started elsewhere. Claims of a predecessor are answered with the same response.
func (c *Core) handleResponse(response *ClaimResponse) {
	claimant, pending := c.replacement.claims[response.RequestID]
	delete(c.replacement.claims, response.RequestID)
	if claimant != nil {
		claimant.Send(PeerMessage{Response: response}, nil)
	}
	h := c.handlerOfRequest(response.RequestID)
	if !pending || claimant != nil || h == nil {
		return
	}
	if !response.Granted || c.keys.byID[h.id] == nil {
		c.shareElsewhere(h)
		return
	}
	c.announceStart(h)
}

// permitStart lets the handler of a request that the module has started go on, now or once the other processes permit it. A
// keyed request needs an entry, by which its other attempts are recognized.
func (c *Core) permitStart(h *Handler, start policy.Start, now float64) {
	if h.class.Safety != policy.Keyed {
		h.inbox.Put(start)
		return
	}
	e, state := c.keys.byID[h.id], &c.replacement
	switch {
	case e == nil && c.keys.startedAttempt(h) != nil:
		h.inbox.Put(startPending{})
		c.shareElsewhere(h)
	case e == nil:
		h.inbox.Put(startDenied{})
	case state.uncoordinated > 0 || now < state.noStartBefore:
		h.inbox.Put(startDenied{mayHaveRun: c.otherProcessMayHaveRun(h.request, now)})
	case state.successor != nil:
		e.started = true
		h.inbox.Put(startPending{})
		state.claims[e.requestID] = nil
		state.successor.Send(PeerMessage{Claim: e.attempt()}, nil)
	case state.predecessor != nil:
		e.started = true
		h.inbox.Put(startPending{})
		c.announceStart(h)
	default:
		e.started = true
		h.inbox.Put(start)
	}
}

// otherProcessMayHaveRun reports whether another process may have run an attempt of a keyed request that this one knows nothing of: a
// successor whose message is still on its way, or a process that sends none. Of a first attempt nothing can have run yet.
func (c *Core) otherProcessMayHaveRun(q *Request, now float64) bool {
	state := &c.replacement
	if state.successor == nil && state.uncoordinated == 0 && now >= state.noStartBefore {
		return false
	}
	return q.IdempotencyKey != "" && (q.Retry || !c.settings.MarksRetry)
}

// announceStart permits a request to start, once the predecessor is told of it if there is one.
func (c *Core) announceStart(h *Handler) {
	permit := func() { h.inbox.Put(startPermitted{}) }
	if c.replacement.predecessor == nil {
		permit()
		return
	}
	c.replacement.predecessor.Send(PeerMessage{Started: c.keys.byID[h.id].attempt()}, permit)
}

// shareElsewhere makes a request that the module has started share the result of the attempt that another process has started. The
// module lets the repeats that wait for the request share it too.
func (c *Core) shareElsewhere(h *Handler) {
	e := c.keys.startedAttempt(h)
	if e != nil {
		c.send(h, policy.StartedElsewhere{ID: h.id})
	}
	switch {
	case e == nil: // that attempt was not started after all
		h.inbox.Put(sharedResult{notRun: true})
	case !e.ended:
		e.waiting = append(e.waiting, h.id)
	default:
		h.inbox.Put(e.shared(c.keys.hashBody(h.request)))
	}
}

// recordPeerEnd records how an attempt of another process ended.
func (c *Core) recordPeerEnd(from PeerLink, end *AttemptResult) {
	e := c.keys.byKey[classKey{end.Class, end.Once, true}]
	if e == nil || e.ended || e.owner != from || e.requestID != end.RequestID {
		return
	}
	if !end.NotRun {
		c.endPeerAttempt(from, e, end.Good, end.Result)
		return
	}
	c.keys.forget(e.id)
	c.shareWithWaiting(e, sharedResult{notRun: true})
	c.tellPeers(from, PeerMessage{Ended: end})
}

// endPeerAttempt records the outcome of another process's attempt, answers the requests that wait for it, and passes it on.
func (c *Core) endPeerAttempt(from PeerLink, e *entry, succeeded bool, result []byte) {
	c.keys.setOutcome(e, succeeded, result)
	c.shareWithWaiting(e, sharedResult{ok: succeeded, result: result})
	c.tellPeers(from, PeerMessage{Ended: e.end(false)})
}

// shareWithWaiting answers the requests that wait for the end of another process's attempt.
func (c *Core) shareWithWaiting(e *entry, result sharedResult) {
	for _, id := range e.waiting {
		if h := c.handlerOf(id); h != nil {
			h.started = true // the handler reports its end
			h.inbox.Put(result)
		}
	}
	e.waiting = nil
}

// tellEnd reports to the other processes how a keyed attempt of this process ended.
func (c *Core) tellEnd(e *entry, notRun bool) {
	if e != nil && e.key.keyed && e.started && e.owner == nil {
		c.tellPeers(nil, PeerMessage{Ended: e.end(notRun)})
	}
}

// runAndWait runs a function on the goroutine of Run and waits until it returns, or until Stop is called.
func (c *Core) runAndWait(f func()) {
	done := make(chan struct{})
	c.AfterPendingEvents(func() { f(); close(done) })
	select {
	case <-done:
	case <-c.stop:
	}
}

// runningAttemptsOf lists the attempts of another process whose end is not known.
func (t *keyTable) runningAttemptsOf(owner PeerLink) (running []*entry) {
	for _, e := range t.byID {
		if e.key.keyed && e.owner == owner && !e.ended {
			running = append(running, e)
		}
	}
	return running
}

// shared returns the message to a request with the given body that shares the result of an ended attempt.
func (e *entry) shared(bodyHash uint64) sharedResult {
	result, ok := e.resultFor(bodyHash)
	return sharedResult{ok: ok, result: result}
}
