package core

import "puffinsaddle/policy"

// While one process replaces another, the limits of the server hold for both. The module divides them; this file passes its
// reports to the other processes and theirs to the module.

// limitPeer is another process of the server, with which the module divides the limits.
type limitPeer struct {
	id       policy.PeerID
	link     PeerLink      // nil: the process is of an earlier build, which sends no reports
	reported chan struct{} // closed once the module has the first report
}

// AddPeer lets the module divide the limits of the server with another process that serves beside this one. If link is nil,
// that process is of an earlier build, which sends no reports. The returned ID is for RemovePeer.
func (c *Core) AddPeer(link PeerLink, successor bool) policy.PeerID {
	p := &limitPeer{id: policy.PeerID(c.lastPeer.Add(1)), link: link, reported: make(chan struct{})}
	c.runAndWait(func() {
		c.limitPeers = append(c.limitPeers, p)
		c.log.Info().Bool("successor", successor).Bool("reports", link != nil).Msg("limits are divided with another process")
		c.hasPeers.Store(true)
		if link != nil {
			c.sendEffects(link)
		}
		c.tellModule(policy.PeerJoined{ID: p.id, Successor: successor, Reports: link != nil})
	})
	return p.id
}

// FirstReport returns a channel that is closed once the module has the first report of a peer. It is nil for unknown peers.
func (c *Core) FirstReport(id policy.PeerID) (reported <-chan struct{}) {
	c.runAndWait(func() {
		if p := c.findPeer(func(p *limitPeer) bool { return p.id == id }); p != nil {
			reported = p.reported
		}
	})
	return reported
}

// RemovePeer reports that a peer has ended. This process takes over its part of the limits.
func (c *Core) RemovePeer(id policy.PeerID) {
	c.AfterPendingEvents(func() {
		c.tellModule(policy.PeerLeft{ID: id})
		for i, p := range c.limitPeers {
			if p.id == id {
				c.limitPeers = append(c.limitPeers[:i], c.limitPeers[i+1:]...)
				c.hasPeers.Store(len(c.limitPeers) > 0)
				return
			}
		}
	})
}

// receiveLimits passes a report of a peer to the module.
func (c *Core) receiveLimits(from PeerLink, report *policy.PeerReport) {
	p := c.findPeer(func(p *limitPeer) bool { return p.link == from })
	if p == nil {
		return
	}
	c.tellModule(policy.PeerReported{ID: p.id, Report: *report})
	select {
	case <-p.reported:
	default:
		close(p.reported)
	}
}

// sendLimits sends a report of the module to a peer.
func (c *Core) sendLimits(report policy.ReportToPeer) {
	if p := c.findPeer(func(p *limitPeer) bool { return p.id == report.ID }); p != nil && p.link != nil {
		p.link.Send(PeerMessage{Limits: &report.Report}, nil)
	}
}

// peerLinks returns the links to the peers that exchange reports, without one of them.
func (c *Core) peerLinks(except PeerLink) (links []PeerLink) {
	for _, p := range c.limitPeers {
		if p.link != nil && p.link != except {
			links = append(links, p.link)
		}
	}
	return links
}

func (c *Core) findPeer(matches func(*limitPeer) bool) *limitPeer {
	for _, p := range c.limitPeers {
		if matches(p) {
			return p
		}
	}
	return nil
}

// tellModule calls the module with one event. It runs on the goroutine of Run, between two other calls of the module.
func (c *Core) tellModule(e policy.Event) {
	now := c.clock.Now()
	c.startModule(now, false)
	c.events = append(c.events, e)
	c.callModule(now)
}
