package policy

import (
	"slices"
	"time"
)

// Peers: the other processes of this server while one process replaces another one. The limits of the server
// hold for all of its processes together. Each process has a share of every limit, and all shares add up to
// at most 1. A process that grants a part of its share has given it up before the peer receives it, so a late
// message never exceeds a limit.

const (
	minPeerShare   = 0.1             // share that a process keeps of each limit, so that it can serve at once
	minGrant       = 0.01            // smaller parts of a limit are not granted
	unreportedUse  = 0.9             // used part of what a peer that sends no reports leaves of a limit
	maxPredecessor = 4 * time.Second // a process that is replaced ends within this time of its notice
	reportInterval = gaugeInterval   // longest time between two reports to a peer

)

// Limit is a limit that the processes of a server keep together.
type Limit int

// The values of Limit.
const (
	CallLimit   Limit = iota // downstream calls in the mean of the period
	MemoryLimit              // memory of queued and running requests
	RunLimit                 // running requests
	limitCount
)

// LimitShares has a share of each limit, from 0 to 1.
type LimitShares [limitCount]float64

// PeerID identifies another process of this server. The host assigns it.
type PeerID uint32

// PeerJoined reports that another process of this server starts to serve beside this one.
type PeerJoined struct {
	ID        PeerID
	Successor bool // it replaces this process; otherwise this process replaces it
	Reports   bool // it sends and receives reports; a process of an earlier build does not
}

// PeerReported passes on a report of a peer.
type PeerReported struct {
	ID     PeerID
	Report PeerReport
}

// PeerLeft reports that a peer has ended.
type PeerLeft struct{ ID PeerID }

// ReportToPeer sends a report to a peer.
type ReportToPeer struct {
	ID     PeerID
	Report PeerReport
}

func (PeerJoined) event()    {}
func (PeerReported) event()  {}
func (PeerLeft) event()      {}
func (ReportToPeer) action() {}

// PeerReport is what a process tells a peer about its use of the limits. Times are in nanoseconds.
type PeerReport struct {
	Granted         LimitShares   // shares that the receiver has from now on instead of the sender
	Others          LimitShares   // shares of processes that the receiver has no link to
	OtherProcesses  int           // number of these processes
	Orphaned        LimitShares   // shares of processes that no process has a link to
	OrphansEndIn    time.Duration // until those have ended; 0: there are none
	Demand          float64       // requests in hand and recently read by the sender and those processes
	DownstreamShare float64       // Settings.DownstreamShare of the sender
	CallTime        []float64     // call time by intervals, the most recent first
	CallInterval    time.Duration // length of an interval
	CallsInFlight   int
	MeanCallTime    float64 // learned mean duration of a call
	MemoryKB        float64 // of queued and running requests
	Running         int     // running requests
	Left            []LeftUse
}

// LeftUse is what a process that has ended left behind: its runs go on until their requests are over.
type LeftUse struct {
	MemoryKB float64
	Running  int
	TimeLeft time.Duration // until the runs are over at the latest
}

// peer is the state of another process of this server.
type peer struct {
	PeerJoined
	share      LimitShares // of this peer and the processes behind it
	report     PeerReport  // the latest
	reported   bool        // there is one
	reportedAt time.Duration
}

// inheritedUse is a LeftUse that this process accounts for.
type inheritedUse struct {
	LeftUse
	until time.Duration
}

// peerState is what an instance knows of the other processes of its server.
type peerState struct {
	peers       []*peer // in the order in which they joined
	share       LimitShares
	inherited   []inheritedUse
	reportDue   bool          // the use of a limit has grown since the last report
	reportedAt  time.Duration // time of the last report
	claimShares time.Duration // when this process has the shares of processes without a link too; 0: never
	yieldShares time.Duration // when this process has no shares any more; 0: never
	allotted    bool          // downstream calls are allotted to each process by itself
}

func newPeerState() peerState { return peerState{share: LimitShares{1, 1, 1}} }

func (s *peerState) find(id PeerID) *peer {
	for _, p := range s.peers {
		if p.ID == id {
			return p
		}
	}
	return nil
}

// reporting reports whether a peer receives reports.
func (s *peerState) reporting() bool {
	return slices.ContainsFunc(s.peers, func(p *peer) bool { return p.Reports })
}

// unreportedShare is the share of this process beside one that uses its part of each limit and reports
// nothing.
func unreportedShare() (share LimitShares) {
	for limit, used := range [limitCount]float64{usedCallShare, memoryShare, concurrencyShare} {
		share[limit] = unreportedUse * (1 - used) / used
	}
	return share
}

// peerJoined divides the limits with a new peer. A predecessor has all of them until it grants some.
func (n *Instance) peerJoined(e PeerJoined) {
	p := &peer{PeerJoined: e}
	n.peers.peers = append(n.peers.peers, p)
	n.peers.reportDue = true
	switch {
	case !e.Reports:
		own := unreportedShare()
		for limit := range n.peers.share {
			p.share[limit] = max(n.peers.share[limit]-own[limit], 0)
			n.peers.share[limit] -= p.share[limit]
		}
	case !e.Successor:
		p.share, n.peers.share = n.peers.share, LimitShares{}
	}
}

// peerReported takes over what a peer has granted.
func (n *Instance) peerReported(e PeerReported) {
	p := n.peers.find(e.ID)
	if p == nil {
		return
	}
	for limit, granted := range e.Report.Granted {
		granted = min(max(granted, 0), p.share[limit])
		n.peers.share[limit] += granted
		p.share[limit] -= granted
	}
	if !p.reported && !p.Successor && n.timedCallsEver == 0 && e.Report.MeanCallTime > 0 {
		n.meanCallTime = e.Report.MeanCallTime
	}
	p.report, p.reported, p.reportedAt = e.Report, true, n.now
}

// peerLeft takes over the shares of a peer that has ended, with what it used of them. Processes behind it
// have no link to this one any more: the later ones keep the shares that are left, after the earlier ones
// have had time to end.
func (n *Instance) peerLeft(e PeerLeft) {
	p := n.peers.find(e.ID)
	if p == nil {
		return
	}
	n.peers.peers = slices.DeleteFunc(n.peers.peers, func(other *peer) bool { return other == p })
	if p.report.OtherProcesses > 0 && p.Successor {
		n.peers.yieldShares = n.now + maxPredecessor
		return
	}
	for limit, share := range p.share {
		n.peers.share[limit] += max(share-p.report.Others[limit]-p.report.Orphaned[limit], 0)
	}
	if p.report.OrphansEndIn > 0 {
		n.peers.claimShares = max(n.peers.claimShares, p.reportedAt+p.report.OrphansEndIn)
	}
	if p.report.OtherProcesses > 0 {
		n.peers.claimShares = n.now + maxPredecessor + n.set.CallPeriod
	}
	if n.peers.claimShares == 0 {
		n.takeRemainingShares()
	}
	n.inheritUse(p)
}

// unclaimedShares is what neither this process nor a peer has of each limit.
func (s *peerState) unclaimedShares() (unclaimed LimitShares) {
	for limit, share := range s.share {
		unclaimed[limit] = 1 - share
		for _, p := range s.peers {
			unclaimed[limit] -= p.share[limit]
		}
	}
	return unclaimed
}

// takeRemainingShares takes what no peer has of each limit.
func (n *Instance) takeRemainingShares() {
	for limit := range n.peers.share {
		n.peers.share[limit] = 1
		for _, p := range n.peers.peers {
			n.peers.share[limit] -= p.share[limit]
		}
	}
}

// expirePeerState ends what holds for a time after a peer has left.
func (n *Instance) expirePeerState() {
	s := &n.peers
	s.inherited = slices.DeleteFunc(s.inherited, func(u inheritedUse) bool { return n.now >= u.until })
	if s.yieldShares > 0 && n.now >= s.yieldShares {
		s.yieldShares, s.share = 0, LimitShares{}
	}
	if s.claimShares > 0 && n.now >= s.claimShares {
		s.claimShares = 0
		n.takeRemainingShares()
	}
}

// inheritedUse sums up what processes that have ended left behind.
func (n *Instance) inheritedUse() (memory float64, running int) {
	for _, u := range n.peers.inherited {
		memory += u.MemoryKB
		running += u.Running
	}
	return memory, running
}

// callShare is the share of this process in the limit on downstream calls. Calls that are allotted to each
// process are not divided again.
func (n *Instance) callShare() float64 {
	if n.peers.allotted {
		return 1
	}
	return n.peers.share[CallLimit]
}

// downstreamShare is the number of concurrent downstream calls allotted to the server. While processes
// differ, new settings have not reached all of them, and the lower one holds.
func (n *Instance) downstreamShare() float64 {
	share := n.set.DownstreamShare
	if n.peers.allotted {
		return share
	}
	for _, p := range n.peers.peers {
		if p.report.DownstreamShare > 0 {
			share = min(share, p.report.DownstreamShare)
		}
	}
	return share
}
