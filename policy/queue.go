package policy

// Starts from the queues, and the limits on queues, concurrency and memory.

// runsBefore is the order within a class: smallest size first, then earliest aim. Unknown sizes are equal.
func runsBefore(a, b *request) bool {
	if a.Size != b.Size {
		return a.Size < b.Size
	}
	if a.aim != b.aim {
		return a.aim < b.aim
	}
	return a.seq < b.seq
}

func (n *Instance) enqueue(r *request) {
	// A retry has used up an unknown part of its aim. While reading takes much of the cores, which causes
	// many retries, first attempts take precedence, or a retry storm would sustain itself.
	yields := r.likelyRetry && n.fleetOverloaded() && n.queued > 2
	if yields || n.tooLateToStart(r) || n.now >= r.due-n.set.Tick {
		n.reject(r)
		return
	}
	r.state = queued
	n.queued++
	n.storeKey(r)
	r.class.queue.push(r)
	n.scheduleCheck(r)
	n.limitMemory()
}

// tooLateToStart says that a request arrived after the drain grace, or that the stop is due: it never runs.
func (n *Instance) tooLateToStart(r *request) bool {
	return n.draining && (r.reachedAt > n.drainStart+n.set.DrainGrace || n.now >= n.stopAt)
}

func (n *Instance) readGauges(e TimerFired) {
	n.timerPending = n.timerPending && e.Token != n.timerToken
	gauge := func(i int) float64 {
		if i < 0 || i >= len(e.Gauges) {
			return -1
		}
		return e.Gauges[i]
	}
	busy := gauge(n.set.BusyGauge)
	n.runnable = gauge(n.set.RunnableGauge)
	n.runnableDelta = 0
	n.paused = busy >= pauseBusyShare || n.paused && busy > resumeBusyShare
}

// warmFraction is how warm the machine is, from 0 (just started) to 1.
func (n *Instance) warmFraction() float64 {
	if !n.set.JustStarted || n.set.WarmupPeriod <= 0 {
		return 1
	}
	return min(float64(n.now-n.coldSince)/float64(n.set.WarmupPeriod), 1)
}

// fleetOverloaded says that reading takes much of the cores, so that retries are read at the cost of runs. It
// is false on a cold server, which reads slowly while others have capacity.
func (n *Instance) fleetOverloaded() bool {
	return n.readShare > highReadShare && n.retryShare > highRetryShare/2 && n.warmFraction() == 1
}

// maxConcurrency is the concurrency limit of this process.
func (n *Instance) maxConcurrency() int {
	_, inheritedRunning := n.inheritedUse()
	return max(int(n.wholeRunLimit()*n.peers.share[RunLimit])-inheritedRunning, 1)
}

// wholeRunLimit is the concurrency limit of all processes of the server: a part of what the machine survives,
// less while it is cold.
func (n *Instance) wholeRunLimit() float64 {
	share := n.set.ColdSpeedShare + (1-n.set.ColdSpeedShare)*n.warmFraction()
	return float64(n.set.Cores) * (1 + (n.set.MaxRunningPerCore-1)*share) * concurrencyShare
}

// usableMemory is the memory that this process may use for requests and key table entries.
func (n *Instance) usableMemory() float64 {
	inheritedMemory, _ := n.inheritedUse()
	return max(n.set.MemoryKB*memoryShare*n.peers.share[MemoryLimit]-inheritedMemory, 0)
}

// mayStartRun says whether one more run may start: below the concurrency limit, and either below the minimum
// per core, or with a low busy gauge and few starts in this window, since the gauge shows starts late.
func (n *Instance) mayStartRun() bool {
	if n.running >= n.maxConcurrency() {
		return false
	}
	onCores := float64(n.running - n.calling)
	if n.runnable >= 0 {
		onCores = min(onCores, n.runnable+float64(n.runnableDelta))
	}
	return onCores < minRunsPerCore*float64(n.set.Cores) || !n.paused && n.windowStarts < (n.set.Cores+1)/2
}

// nextClass returns the first class that has queued requests and allowance left in this round.
func (n *Instance) nextClass() *classState {
	for range 2 {
		exhausted := false
		for _, c := range n.classes {
			n.trimQueue(c)
			if c.queue.len() == 0 || !n.callsAllowed(c) {
				continue
			}
			if c.usedAllowance < c.allowance {
				return c
			}
			exhausted = true
		}
		if !exhausted {
			return nil
		}
		for _, c := range n.classes {
			c.usedAllowance = 0
		}
	}
	return nil
}

// trimQueue removes ended requests from the head of a queue and refuses hopeless ones. About half of all runs
// take longer than the mean, so doubtful requests are refused too while others wait.
func (n *Instance) trimQueue(c *classState) {
	margin := hopelessMargin
	if n.queued > 2 {
		margin = doubtfulMargin
	}
	for c.queue.len() > 0 {
		r := c.queue.first()
		if r.state == queued && n.now <= n.latestStart(r, margin) && !n.tooLateToStart(r) {
			return
		}
		c.queue.pop()
		if r.state == queued {
			n.reject(r)
		}
	}
}

func (n *Instance) startQueued() {
	for n.mayStartRun() {
		c := n.nextClass()
		if c == nil {
			return
		}
		r := c.queue.first()
		extraKB := r.KB * (n.set.RunMemoryFactor - 1)
		if n.memory+extraKB > n.usableMemory() {
			return
		}
		c.queue.pop()
		c.usedAllowance++
		r.state, r.ran = running, true
		n.memory += extraKB
		n.running++
		n.queued--
		n.runnableDelta++
		n.windowStarts++
		n.peers.reportDue = true
		n.emit(Start{ID: r.ID})
		n.scheduleCheck(r)
	}
}

// memoryLimit bounds queued requests and key table entries; the rest is for one run on each idle core.
func (n *Instance) memoryLimit() float64 {
	usable := n.usableMemory()
	limit := usable
	free := float64(n.set.Cores) - float64(n.running)
	if free > 0 && len(n.requests) > 0 {
		limit -= free * n.memory / float64(len(n.requests)) * (n.set.RunMemoryFactor - 1)
	}
	return max(limit, usable/2)
}

// refuseLeaves refuses requests of one class from the leaves of its queue until the rest fits.
func (n *Instance) refuseLeaves(c *classState, fits func() bool) {
	for c.queue.len() > 0 && !fits() {
		if r := c.queue.popLeaf(); r.state == queued {
			n.reject(r)
		}
	}
}

// limitMemory refuses queued requests, lowest class first, when arrivals, sizes or keys exceed the memory.
func (n *Instance) limitMemory() {
	limit := n.memoryLimit()
	for i := len(n.classes) - 1; i >= 0; i-- {
		n.refuseLeaves(n.classes[i], func() bool { return n.memory <= limit })
	}
}

// limitQueues allows three queued requests for two cores. Longer queues refuse too late for another server to
// help (skewed balancing, a slow machine, a burst); shorter ones refuse in bursts of 500 ms that reach all
// servers, when no other has capacity. While the fleet is overloaded, early refusals would only be read
// elsewhere, so there is no limit. Classes without call capacity have a limit of their own, so that they
// do not fill the queue.
func (n *Instance) limitQueues() {
	if n.fleetOverloaded() {
		return
	}
	blocked, limit := 0, queuedPerCore*float64(n.set.Cores)
	for _, c := range n.classes {
		if !n.callsAllowed(c) {
			n.refuseLeaves(c, func() bool { return float64(c.queue.len()) <= limit })
			blocked += c.queue.len()
		}
	}
	for i := len(n.classes) - 1; i >= 0; i-- {
		if n.callsAllowed(n.classes[i]) {
			n.refuseLeaves(n.classes[i], func() bool { return float64(n.queued-blocked) <= limit })
		}
	}
}
