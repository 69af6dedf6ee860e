package policy

// The reports to peers: what this process uses of the limits of the server, and what it grants.

// demand is the number of requests in hand, and of those that arrive at the present rate in a few windows.
// None is expected while the process drains.
func (n *Instance) demand() float64 {
	demand := float64(n.queued + n.running)
	if !n.draining {
		demand += n.recent.arrived
	}
	return demand
}

// targetShare is the share of this process in the demand of all processes. Each process keeps a minimum,
// unless it has nothing more to do.
func (n *Instance) targetShare() float64 {
	own, all := n.demand(), n.demand()
	for _, p := range n.peers.peers {
		all += p.report.Demand
	}
	if own == 0 && n.draining {
		return 0
	}
	if all == 0 {
		return 1 / float64(len(n.peers.peers)+1)
	}
	return min(max(own/all, minPeerShare), 1-minPeerShare*float64(len(n.peers.peers)))
}

// useOfLimits is the part of each limit that this process uses, calls in flight as if they took their full
// time limit.
func (n *Instance) useOfLimits() (use LimitShares) {
	if whole := n.wholeCallLimit(); whole > 0 {
		use[CallLimit] = n.committedCallTime() / whole
	}
	inheritedMemory, inheritedRunning := n.inheritedUse()
	use[MemoryLimit] = (n.memory + inheritedMemory) / (n.set.MemoryKB * memoryShare)
	use[RunLimit] = float64(n.running+inheritedRunning) / n.wholeRunLimit()
	return use
}

// neededCalls is the part of the call limit that the requests in hand are likely to need.
func (n *Instance) neededCalls() float64 {
	whole := n.wholeCallLimit()
	if whole <= 0 {
		return 0
	}
	return float64(n.queued+n.running-n.callsInFlight) * n.meanCallTime / whole
}

// grants is what this process passes on of its shares to each of the peers. A peer that has next to nothing
// gets a minimum of what this process does not use. The rest of what exceeds both the use and the target goes
// to the peers by their demand.
func (n *Instance) grants() map[PeerID]LimitShares {
	target, use := n.targetShare(), n.useOfLimits()
	use[CallLimit] += target * n.neededCalls()
	byPeer := map[PeerID]LimitShares{}
	parts := n.demandParts()
	for limit, share := range n.peers.share {
		free := share - max(use[limit], minPeerShare)
		surplus := share - max(use[limit], target)
		for _, p := range n.peers.peers {
			granted := byPeer[p.ID]
			if missing := minPeerShare - p.share[limit]; p.needsMinimum() && missing > 0 && free >= minGrant {
				granted[limit] = min(missing, free)
				free -= granted[limit]
				surplus -= granted[limit]
			}
			byPeer[p.ID] = granted
		}
		if surplus < minGrant {
			continue
		}
		for id, part := range parts {
			granted := byPeer[id]
			granted[limit] += surplus * part
			byPeer[id] = granted
		}
	}
	return byPeer
}

// needsMinimum reports whether a peer has requests, or may get some as it is new.
func (p *peer) needsMinimum() bool { return p.Reports && (!p.reported || p.report.Demand > 0) }

// demandParts is the part of the demand of all reporting peers that each of them has; equal parts if there is
// none.
func (n *Instance) demandParts() map[PeerID]float64 {
	parts, sum := map[PeerID]float64{}, 0.0
	for _, p := range n.peers.peers {
		if p.Reports {
			parts[p.ID] = p.report.Demand
			sum += p.report.Demand
		}
	}
	for id := range parts {
		if sum > 0 {
			parts[id] /= sum
		} else {
			parts[id] = 1 / float64(len(parts))
		}
	}
	return parts
}

// reportToPeers grants surplus shares and reports the use of the limits to the peers, at least once per
// reportInterval.
func (n *Instance) reportToPeers() {
	n.expirePeerState()
	s := &n.peers
	if !s.reporting() || !s.reportDue && n.now < s.reportedAt+reportInterval {
		return
	}
	s.reportDue, s.reportedAt = false, n.now
	if n.set.CallPeriod > 0 {
		n.updateCallTime()
	}
	grants := n.grants()
	for _, p := range s.peers {
		if p.Reports {
			n.emit(ReportToPeer{ID: p.ID, Report: n.reportTo(p, grants[p.ID])})
		}
	}
}

// reportTo returns the report to a peer, with what it is granted.
func (n *Instance) reportTo(to *peer, grants LimitShares) PeerReport {
	r := PeerReport{
		Demand: n.demand(), DownstreamShare: n.set.DownstreamShare,
		CallsInFlight: n.callsInFlight, MemoryKB: n.memory, Running: n.running,
	}
	if n.peers.claimShares > 0 {
		r.Orphaned, r.OrphansEndIn = n.peers.unclaimedShares(), n.peers.claimShares-n.now
	}
	for _, u := range n.peers.inherited {
		u.TimeLeft = u.until - n.now
		r.Left = append(r.Left, u.LeftUse)
	}
	if n.timedCallsEver > 0 {
		r.MeanCallTime = n.meanCallTime
	}
	if n.wholeCallLimit() > 0 {
		r.CallTime, r.CallInterval = n.callTimeByAge(), n.callInterval()
	}
	for limit, granted := range grants {
		r.Granted[limit] = granted
		to.share[limit] += granted
		n.peers.share[limit] -= granted
	}
	for _, other := range n.peers.peers {
		if other == to {
			continue
		}
		r.Demand += other.report.Demand
		r.OtherProcesses += 1 + other.report.OtherProcesses
		for limit, share := range other.share {
			r.Others[limit] += share
		}
	}
	return r
}
