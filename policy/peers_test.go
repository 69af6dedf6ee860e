package policy

import (
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"
)

const (
	modelStep   = 2 * ms
	modelLength = 24 * time.Second
	peerSeeds   = 40 // random plays, unless peerSeedsEnv sets another number

	peerSeedsEnv = "PUFFINSADDLE_PEER_SEEDS"
)

// peerModel plays the processes of one server, which replace each other, with a downstream tier. Messages between processes
// arrive late, and processes are stopped for a while or killed.
type peerModel struct {
	t         *testing.T
	rng       *rand.Rand
	set       Settings
	now       time.Duration
	processes []*modelProcess
	latency   time.Duration // of a call
	nextID    ID
	nextPeer  PeerID

	inHand  []int // calls in the hands of the downstream tier, by step
	callSum int   // of the steps of the last period
	linger  []time.Duration
	orphans []orphanRun
	served  int

	peakCalls, peakMemory, peakRuns float64
}

// orphanRun is a run of a process that was killed.
type orphanRun struct {
	kb    float64
	until time.Duration
}

// modelProcess is one process of the server.
type modelProcess struct {
	n       *Instance
	inbox   []modelEvent
	stopped time.Duration // until when the process is stopped
	links   map[PeerID]*modelLink
	held    map[ID]*modelRequest
	drained bool
	ended   bool
}

// modelEvent is an event that a process receives at a time, or later if it is stopped.
type modelEvent struct {
	at    time.Duration
	event Event
}

// modelLink is one end of the link between two processes.
type modelLink struct {
	to       *modelProcess
	id       PeerID // of this end's process at the other end
	lastSent time.Duration
}

type modelRequest struct {
	kb      float64
	due     time.Duration
	running bool
	atCall  bool // it waits for a call
	calls   bool // its call is in flight
	giveUp  time.Duration
	back    time.Duration
	started time.Duration
}

func newPeerModel(t *testing.T, seed uint64) *peerModel {
	set := testSettings()
	set.Classes = []Class{{Name: "book", Aim: 1500 * ms, Deadline: 3000 * ms, Worth: 4, Safety: Unsafe, Calls: true}}
	set.Cores, set.DownstreamShare, set.CallPeriod, set.AbandonedCallTime = 6, 6.66, 5*time.Second, 200*ms
	set.MemoryKB, set.MarksRetry = 4000, true
	rng := rand.New(rand.NewPCG(seed, 1))
	return &peerModel{t: t, rng: rng, set: set, now: time.Second, latency: time.Duration(100+rng.IntN(900)) * ms}
}

// start starts a process that replaces the last one. Without reports it does not know of the other's use of the limits.
func (m *peerModel) start(reports bool) *modelProcess {
	n, err := New(m.set, uint64(len(m.processes)))
	if err != nil {
		m.t.Fatal(err)
	}
	p := &modelProcess{n: n, links: map[PeerID]*modelLink{}, held: map[ID]*modelRequest{}}
	if len(m.processes) > 0 {
		old := m.processes[len(m.processes)-1]
		m.nextPeer += 2
		idOfNew, idOfOld := m.nextPeer, m.nextPeer+1
		if reports {
			old.links[idOfNew] = &modelLink{to: p, id: idOfOld}
			p.links[idOfOld] = &modelLink{to: old, id: idOfNew}
			p.put(m.now, PeerJoined{ID: idOfOld, Reports: true})
			old.put(m.now, PeerJoined{ID: idOfNew, Successor: true, Reports: true})
			m.handle(old) // the new process serves once the old one has answered
		}
		if !reports {
			p.put(m.now, PeerJoined{ID: idOfOld})
		}
	}
	m.processes = append(m.processes, p)
	return p
}

func (p *modelProcess) put(at time.Duration, e Event) { p.inbox = append(p.inbox, modelEvent{at, e}) }

// arrive sends a request to a process.
func (m *peerModel) arrive(p *modelProcess) {
	if p.ended {
		return
	}
	m.nextID++
	kb := 5 + 60*m.rng.Float64()
	p.put(m.now, Arrived{ID: m.nextID, Class: "book", KB: kb, TimeLeft: 3000 * ms})
}

// retire tells a process that its successor serves.
func (m *peerModel) retire(p *modelProcess) {
	p.put(m.now, DrainNotice{TimeLeft: 3700 * ms})
	p.drained = true
}

// end ends a process. Its runs stay until they are over, and its calls linger downstream.
func (m *peerModel) end(p *modelProcess) {
	p.ended = true
	for _, r := range p.held {
		if r.running {
			m.orphans = append(m.orphans, orphanRun{r.kb, r.due})
		}
		if r.calls {
			m.linger = append(m.linger, m.now+m.set.AbandonedCallTime)
		}
	}
	for id, link := range p.links {
		if !link.to.ended {
			link.to.put(max(link.lastSent, m.now), PeerLeft{ID: link.id})
			delete(p.links, id)
		}
	}
}

// step plays one step: each process handles what has arrived.
func (m *peerModel) step() {
	m.now += modelStep
	for _, p := range m.processes {
		if !p.ended && m.now >= p.stopped {
			m.handle(p)
		}
		if p.drained && !p.ended && len(p.held) == 0 && len(p.inbox) == 0 {
			m.end(p)
		}
	}
	m.measure()
}

func (m *peerModel) handle(p *modelProcess) {
	events := []Event{TimerFired{Gauges: []float64{0.1, 0, 0}}}
	var later []modelEvent
	for _, e := range p.inbox {
		if e.at > m.now {
			later = append(later, e)
			continue
		}
		if a, isArrival := e.event.(Arrived); isArrival {
			p.held[a.ID] = &modelRequest{kb: a.KB, due: m.now + 3000*ms}
		}
		events = append(events, e.event)
	}
	p.inbox = later
	events = append(events, m.endCalls(p)...)
	for _, a := range p.n.Handle(m.now, events) {
		m.perform(p, a)
	}
}

// endCalls ends the calls whose time has come, and the runs that had them.
func (m *peerModel) endCalls(p *modelProcess) (events []Event) {
	for _, id := range slices.Sorted(maps.Keys(p.held)) {
		r := p.held[id]
		switch {
		case r.running && !r.atCall && !r.calls:
			r.atCall = true
			events = append(events, CallNeeded{ID: id})
		case r.calls && m.now >= r.back:
			delete(p.held, id)
			m.served++
			events = append(events, CallReturned{ID: id, Duration: m.now - r.started}, Finished{ID: id, Duration: m.now - r.started})
		case r.calls && m.now >= r.giveUp:
			r.calls = false
			m.linger = append(m.linger, m.now+m.set.AbandonedCallTime)
			events = append(events, CallReturned{ID: id, Outcome: TimedOut, Duration: m.now - r.started})
		}
	}
	return events
}

func (m *peerModel) perform(p *modelProcess, a Action) {
	switch a := a.(type) {
	case Start:
		p.held[a.ID].running = true
	case MakeCall:
		r := p.held[a.ID]
		r.calls, r.started, r.back, r.giveUp = true, m.now, m.now+m.latency, m.now+a.MaxWait
	case Refuse:
		delete(p.held, a.ID)
	case Fail:
		r := p.held[a.ID]
		if r == nil {
			return
		}
		if r.calls {
			m.linger = append(m.linger, m.now+m.set.AbandonedCallTime)
		}
		delete(p.held, a.ID)
		p.put(m.now+modelStep, Finished{ID: a.ID, Outcome: Cancelled})
	case ReportToPeer:
		link := p.links[a.ID]
		if link == nil || link.to.ended {
			return
		}
		link.lastSent = max(link.lastSent, m.now+time.Duration(m.rng.IntN(30))*ms)
		link.to.put(link.lastSent, PeerReported{ID: link.id, Report: a.Report})
	}
}

// measure updates the highest use of each limit.
func (m *peerModel) measure() {
	inHand, memory, runs := 0, 0.0, 0
	for _, p := range m.processes {
		if p.ended {
			continue
		}
		for _, r := range p.held {
			memory += r.kb
			if r.running {
				memory += r.kb * (m.set.RunMemoryFactor - 1)
				runs++
			}
			if r.calls && m.now < r.back { // the reply also comes while the process is stopped
				inHand++
			}
		}
	}
	m.linger = slices.DeleteFunc(m.linger, func(until time.Duration) bool { return m.now >= until })
	inHand += len(m.linger)
	for _, o := range m.orphans {
		if m.now < o.until {
			memory += o.kb * m.set.RunMemoryFactor
			runs++
		}
	}
	m.inHand = append(m.inHand, inHand)
	m.callSum += inHand
	steps := int(m.set.CallPeriod / modelStep)
	if old := len(m.inHand) - 1 - steps; old >= 0 {
		m.callSum -= m.inHand[old]
	}
	m.peakCalls = max(m.peakCalls, float64(m.callSum)/float64(steps))
	m.peakMemory = max(m.peakMemory, memory)
	m.peakRuns = max(m.peakRuns, float64(runs))
}

// check fails if the processes together exceeded a limit of the server.
func (m *peerModel) check(seed uint64) {
	m.t.Helper()
	if m.peakCalls > m.set.DownstreamShare {
		m.t.Errorf("seed %d: %.2f calls in the mean, %.2f are allowed; a call takes %s", seed, m.peakCalls, m.set.DownstreamShare, m.latency)
	}
	if m.peakMemory > m.set.MemoryKB {
		m.t.Errorf("seed %d: %.0f kB of %.0f", seed, m.peakMemory, m.set.MemoryKB)
	}
	if limit := float64(m.set.Cores) * m.set.MaxRunningPerCore; m.peakRuns > limit {
		m.t.Errorf("seed %d: %.0f runs, %.0f are allowed", seed, m.peakRuns, limit)
	}
}

// playRandom plays replacements at random times, with stops and kills of either process.
func (m *peerModel) playRandom() {
	current := m.start(true)
	var previous *modelProcess
	rate := 0.02 + 0.3*m.rng.Float64() // requests in a step
	nextReplacement := m.now + 3*time.Second + time.Duration(m.rng.IntN(4000))*ms
	for end := m.now + modelLength; m.now < end; m.step() {
		target := current
		if previous != nil && !previous.ended && !previous.drained && m.rng.Float64() < 0.7 {
			target = previous
		}
		if m.rng.Float64() < rate {
			m.arrive(target)
		}
		if previous != nil && !previous.drained && !previous.ended && m.rng.Float64() < 0.004 {
			m.retire(previous)
		}
		if previous != nil && !previous.ended && m.rng.Float64() < 0.0003 {
			m.end(previous)
		}
		if m.rng.Float64() < 0.0003 {
			current.stopped = m.now + time.Duration(m.rng.IntN(1000))*ms
		}
		if previous != nil && m.rng.Float64() < 0.0003 {
			previous.stopped = m.now + time.Duration(m.rng.IntN(1000))*ms
		}
		if m.now >= max(nextReplacement, current.stopped) && (previous == nil || previous.drained || previous.ended) {
			previous, current = current, m.start(true)
			nextReplacement = m.now + 600*ms + time.Duration(m.rng.IntN(8000))*ms
		}
	}
}

// Processes of one server replace each other, are stopped and killed, and messages between them are late: together they stay
// within every limit. Guards against each process using a whole limit by itself.
func TestProcessesKeepLimitsOfServerTogether(t *testing.T) {
	seeds := peerSeeds
	if set, err := strconv.Atoi(os.Getenv(peerSeedsEnv)); err == nil {
		seeds = set
	}
	for seed := range uint64(seeds) {
		m := newPeerModel(t, seed)
		m.playRandom()
		m.check(seed)
	}
}

// playOneReplacement plays a steady load with one replacement in the middle; every request reaches the old process before and
// the new one after.
func (m *peerModel) playOneReplacement(replace, reports bool) {
	current := m.start(true)
	replaceAt := m.now + 8*time.Second
	for end := m.now + 16*time.Second; m.now < end; m.step() {
		if m.now >= replaceAt && replace {
			replace = false
			old := current
			current = m.start(reports)
			m.retire(old)
		}
		if (m.now/modelStep)%12 == 0 {
			m.arrive(current)
		}
	}
}

// With one replacement under overload, nine in ten of the calls are served that are served without it.
func TestReplacementServesMostCalls(t *testing.T) {
	for _, latency := range []time.Duration{150 * ms, 400 * ms, 900 * ms} {
		undisturbed, replaced := newPeerModel(t, 1), newPeerModel(t, 1)
		undisturbed.latency, replaced.latency = latency, latency
		undisturbed.playOneReplacement(false, true)
		replaced.playOneReplacement(true, true)
		replaced.check(1)
		t.Logf("calls of %s: served %d, without a replacement %d", latency, replaced.served, undisturbed.served)
		if float64(replaced.served) < 0.9*float64(undisturbed.served) {
			t.Errorf("calls of %s: served %d, without a replacement %d", latency, replaced.served, undisturbed.served)
		}
	}
}

// The predecessor is of an earlier build, which sends no reports and uses its part of each limit: the successor uses what that
// leaves, and everything once it has ended.
func TestPredecessorWithoutReports(t *testing.T) {
	m := newPeerModel(t, 1)
	m.latency = 400 * ms
	old := m.start(true)
	for range 8 * time.Second / modelStep {
		m.step()
		if (m.now/modelStep)%12 == 0 {
			m.arrive(old)
		}
	}
	next := m.start(false)
	m.retire(old)
	left := false
	for range 8 * time.Second / modelStep {
		m.step()
		if (m.now/modelStep)%12 == 0 {
			m.arrive(next)
		}
		if old.ended && !left {
			left = true
			next.put(m.now, PeerLeft{ID: m.nextPeer + 1})
		}
	}
	m.check(1)
	if !left {
		t.Fatal("the old process has not ended")
	}
	if got := next.n.peers.share; got != (LimitShares{1, 1, 1}) {
		t.Errorf("shares %v after the end of the predecessor", got)
	}
}

// New settings lower the share of downstream calls, and one of two processes has them before the other: the lower share holds
// for both.
func TestLowerDownstreamShareOfPeerHolds(t *testing.T) {
	m := newPeerModel(t, 1)
	p := m.start(true)
	p.n.Handle(m.now, []Event{PeerJoined{ID: 1, Successor: true, Reports: true}})
	whole := p.n.wholeCallLimit()
	p.n.Handle(m.now, []Event{PeerReported{ID: 1, Report: PeerReport{DownstreamShare: m.set.DownstreamShare / 2}}})
	if got := p.n.wholeCallLimit(); got != whole/2 {
		t.Errorf("limit %g, want half of %g", got, whole)
	}
	p.n.Handle(m.now, []Event{PeerLeft{ID: 1}})
	if got := p.n.wholeCallLimit(); got != whole {
		t.Errorf("limit %g after the peer has ended, want %g", got, whole)
	}
}

// The host allots downstream calls to each process by itself, which counts a server that is replaced twice: a process does not divide
// its part again, and its peer's part does not lower it.
func TestAllottedCallsAreNotDivided(t *testing.T) {
	m := newPeerModel(t, 1)
	p := m.start(true)
	p.n.SetDownstreamShare(4)
	whole := p.n.wholeCallLimit()
	p.n.Handle(m.now, []Event{PeerJoined{ID: 1, Reports: true}})
	p.n.Handle(m.now, []Event{PeerReported{ID: 1, Report: PeerReport{DownstreamShare: 1e-300}}})
	if got := p.n.wholeCallLimit() * p.n.callShare(); got != whole {
		t.Errorf("limit %g, want %g", got, whole)
	}
}
