package policy

import "time"

// What a process takes over from a peer that has ended: the calls of the last period, and runs that go on.

// inheritUse counts what a peer that has ended has used as if this process had used it.
func (n *Instance) inheritUse(p *peer) {
	if n.wholeCallLimit() > 0 {
		n.updateCallTime()
		if p.reported {
			n.inheritReportedCalls(p)
		} else {
			n.inheritUnreportedCalls()
		}
	}
	for _, left := range p.report.Left {
		n.peers.inherited = append(n.peers.inherited, inheritedUse{left, p.reportedAt + left.TimeLeft})
	}
	if p.report.MemoryKB > 0 || p.report.Running > 0 {
		own := LeftUse{MemoryKB: p.report.MemoryKB, Running: p.report.Running}
		n.peers.inherited = append(n.peers.inherited, inheritedUse{own, n.now + n.longestDeadline()})
	}
}

// longestDeadline is the longest deadline of a class, after which no run of a process that has ended goes on.
func (n *Instance) longestDeadline() (longest time.Duration) {
	for _, c := range n.set.Classes {
		longest = max(longest, c.Deadline)
	}
	return longest
}

// inheritReportedCalls adds the call time of the last report of a peer. Its calls in flight went on since
// then, and were abandoned at its end.
func (n *Instance) inheritReportedCalls(p *peer) {
	sinceReport := n.now - p.reportedAt
	for i, callTime := range p.report.CallTime {
		n.addCallTime(sinceReport+time.Duration(max(i-1, 0))*p.report.CallInterval, callTime)
	}
	n.addCallTime(0, float64(p.report.CallsInFlight)*float64(sinceReport+n.set.AbandonedCallTime))
}

// inheritUnreportedCalls counts the calls of a peer that reported none as if all of the limit had been used
// evenly.
func (n *Instance) inheritUnreportedCalls() {
	unused := max(n.wholeCallLimit()-n.committedCallTime(), 0)
	interval := n.callInterval()
	for i := range callBuckets - 1 {
		n.addCallTime(time.Duration(i)*interval, unused/(callBuckets-1))
	}
}

// addCallTime adds call time that was used some time ago.
func (n *Instance) addCallTime(ago time.Duration, callTime float64) {
	if ago > n.set.CallPeriod {
		return
	}
	interval := n.callInterval()
	bucket := (n.now + callBuckets*interval - ago) / interval // ago is below callBuckets intervals
	n.callTimeBuckets[bucket%callBuckets] += callTime
	n.callTime += callTime
}

// callTimeByAge lists the call time by intervals, the most recent first.
func (n *Instance) callTimeByAge() []float64 {
	list := make([]float64, callBuckets)
	current := n.now/n.callInterval() + callBuckets
	for i := range list {
		list[i] = n.callTimeBuckets[(current-time.Duration(i))%callBuckets]
	}
	return list
}
