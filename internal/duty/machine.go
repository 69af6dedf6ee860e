package duty

import (
	"maps"
	"math/rand/v2"
	"slices"
)

// Mode is the state of an order server with regard to duties.
type Mode int

// Modes of a server.
const (
	Warm         Mode = iota // candidate for all duties
	Cold                     // chosen only if there is no warm candidate
	Failing                  // holds no duties
	OutOfService             // holds no duties, by an operator's order
	Draining                 // holds no duties until the process ends
)

// Causes for the end of a lease.
const (
	CauseExpired = "renewed too late" // it expired before a renewal was confirmed
	CauseLost    = "lost"             // according to the store, this process does not hold it
	CauseYield   = "asked to yield"
	CauseDrain   = "draining"
	CauseFailing = "failing"
)

// Action is an action or event that Machine returns to its caller: SendHeartbeat, LeaseGained, LeaseRenewed, YieldRequested,
// LeaseEnded or StaleReply.
type Action any

type (
	// SendHeartbeat carries a heartbeat to be sent to the leader of the store.
	SendHeartbeat struct{ Heartbeat Heartbeat }
	// LeaseGained reports that the process now holds a lease, until a time on its own clock.
	LeaseGained struct {
		Ref
		Until float64
	}
	// LeaseRenewed reports that a lease was renewed. Late: less than half of its time was left.
	LeaseRenewed struct {
		Ref
		Until float64
		Late  bool
	}
	// YieldRequested requests that no more acts begin under a grant, and that Quiesced is called once the last one has ended.
	YieldRequested struct {
		Ref
		Cause string
	}
	// LeaseEnded reports that a lease is no longer held. Acts under way have to be aborted.
	LeaseEnded struct {
		Ref
		Cause string
	}
	// StaleReply reports an ignored reply, whose log index is lower than that of an earlier reply: the replica was restored from an
	// older state, or is no longer the leader.
	StaleReply struct{ LogIndex, SeenIndex uint64 }
)

// heartbeatHistorySize is the number of latest heartbeats whose sending times are kept. Replies to older ones extend no lease.
const heartbeatHistorySize = 32

// localLease is a lease that this process holds.
type localLease struct {
	ref        Ref
	until      float64
	yieldCause string // why it is being released; "": it is not
}

// Machine manages the leases of one order server process. It is not safe for concurrent use.
type Machine struct {
	Rules
	ProcessID   string
	InjectedBug string // an injected bug; "": none

	jitter         func() float64 // seeded random numbers from 0 to 1
	mode           Mode
	heartbeatSeq   uint64
	sentHeartbeats [heartbeatHistorySize]struct {
		seq uint64
		at  float64
	}
	seenIndex       uint64
	leases          map[string]*localLease
	endedEpochs     map[string]uint64  // highest epoch that this process has released or lost, by lease
	pendingReleases map[string]Ref     // releases to be sent until a reply confirms them
	cooldownUntil   map[string]float64 // until when the process is no candidate, by lease
	nextHeartbeatAt float64
	leaving         bool
}

// NewMachine returns a Machine that is a candidate for all duties of the rules, and for its presence lease if the rules have
// one. The seed is for jitter.
func NewMachine(r Rules, processID string, seed uint64) *Machine {
	return &Machine{Rules: r, ProcessID: processID, jitter: rand.New(rand.NewPCG(seed, 1)).Float64, leases: map[string]*localLease{},
		endedEpochs: map[string]uint64{}, pendingReleases: map[string]Ref{}, cooldownUntil: map[string]float64{}}
}

// Tick ends the leases that have expired and sends a heartbeat if one is due.
func (m *Machine) Tick(now float64) []Action {
	out := m.expireLeases(now)
	if now >= m.nextHeartbeatAt {
		out = append(out, m.newHeartbeat(now))
	}
	return out
}

// NextTick returns the time by which Tick has to be called again.
func (m *Machine) NextTick() float64 {
	at := m.nextHeartbeatAt
	for _, lease := range m.leases {
		at = min(at, lease.until)
	}
	return at
}

// ExpediteHeartbeat makes the next Tick send a heartbeat, for example on a new connection.
func (m *Machine) ExpediteHeartbeat() { m.nextHeartbeatAt = 0 }

func (m *Machine) expireLeases(now float64) (out []Action) {
	for _, name := range slices.Sorted(maps.Keys(m.leases)) {
		if lease := m.leases[name]; now >= lease.until {
			out = append(out, m.endLease(now, lease, CauseExpired))
		}
	}
	return out
}

// endLease removes a lease. It also releases it: if the store still has this process as the holder, others need not wait for the
// expiry.
func (m *Machine) endLease(now float64, lease *localLease, cause string) Action {
	name := lease.ref.Name
	if lease.yieldCause != "" {
		cause = lease.yieldCause
	}
	delete(m.leases, name)
	m.endedEpochs[name] = max(m.endedEpochs[name], lease.ref.Epoch)
	m.pendingReleases[name] = lease.ref
	if PresenceProcess(name) == "" {
		m.cooldownUntil[name] = now + m.CooldownMS
	}
	m.nextHeartbeatAt = now
	return LeaseEnded{lease.ref, cause}
}

func (m *Machine) newHeartbeat(now float64) Action {
	// Jitter, so that servers that started at the same time do not send their heartbeats at the same time.
	m.nextHeartbeatAt = now + m.RenewIntervalMS*(0.7+0.3*m.jitter())
	m.heartbeatSeq++
	m.sentHeartbeats[m.heartbeatSeq%heartbeatHistorySize].seq, m.sentHeartbeats[m.heartbeatSeq%heartbeatHistorySize].at =
		m.heartbeatSeq, now
	heartbeat := Heartbeat{From: m.ProcessID, Seq: m.heartbeatSeq, SeenIndex: m.seenIndex, Cold: m.mode == Cold}
	for _, name := range slices.Sorted(maps.Keys(m.leases)) {
		heartbeat.Renewals = append(heartbeat.Renewals, m.leases[name].ref)
	}
	for _, name := range slices.Sorted(maps.Keys(m.pendingReleases)) {
		heartbeat.Releases = append(heartbeat.Releases, m.pendingReleases[name])
	}
	if m.mode == Warm || m.mode == Cold {
		for _, d := range m.Duties {
			if m.leases[d.Name] == nil && now >= m.cooldownUntil[d.Name] {
				heartbeat.Candidacies = append(heartbeat.Candidacies, d.Name)
			}
		}
	}
	if p := PresenceName(m.ProcessID); m.PresenceTTLMS > 0 && m.leases[p] == nil && !m.leaving {
		heartbeat.Candidacies = append(heartbeat.Candidacies, p)
	}
	return SendHeartbeat{heartbeat}
}

// HandleReply processes a reply: it renews, gains and ends leases accordingly.
func (m *Machine) HandleReply(now float64, reply HeartbeatReply) []Action {
	out := m.expireLeases(now)
	if reply.LogIndex < m.seenIndex {
		// Another replica has already reported a later state, which this older one must not replace.
		return append(out, StaleReply{reply.LogIndex, m.seenIndex})
	}
	m.seenIndex = reply.LogIndex
	sent := m.sentHeartbeats[reply.Seq%heartbeatHistorySize]
	if sent.seq != reply.Seq || reply.Seq == 0 {
		return out // a heartbeat so old that its sending time is no longer stored
	}
	sentAt := sent.at
	if m.InjectedBug == BugDeadlineFromReply {
		sentAt = now
	}
	heldByName := map[string]HeldLease{}
	for _, held := range reply.HeldLeases {
		heldByName[held.Name] = held
	}
	for name, r := range m.pendingReleases {
		if held, there := heldByName[name]; !there || held.Epoch != r.Epoch {
			delete(m.pendingReleases, name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(m.leases)) {
		lease := m.leases[name]
		if held, there := heldByName[name]; !there || held.Epoch != lease.ref.Epoch {
			out = append(out, m.endLease(now, lease, CauseLost))
			delete(m.pendingReleases, name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(heldByName)) {
		held := heldByName[name]
		until := sentAt + m.HolderLeaseMS(held.TTLMS)
		lease := m.leases[name]
		switch {
		case lease != nil:
			if until > lease.until {
				late := lease.until-now < m.HolderLeaseMS(held.TTLMS)/2
				lease.until = until
				out = append(out, LeaseRenewed{lease.ref, until, late})
			}
			if held.Yield {
				out = append(out, m.startYield(lease, CauseYield)...)
			}
		case !m.acceptsGrant(name, now) || held.Epoch <= m.endedEpochs[name]:
			m.pendingReleases[name] = held.Ref
			m.nextHeartbeatAt = now
		case until > now:
			lease = &localLease{ref: held.Ref, until: until}
			m.leases[name] = lease
			out = append(out, LeaseGained{held.Ref, until})
			if held.Yield {
				out = append(out, m.startYield(lease, CauseYield)...)
			}
		}
	}
	return out
}

// acceptsGrant reports whether a grant would be accepted now.
func (m *Machine) acceptsGrant(name string, now float64) bool {
	if name == PresenceName(m.ProcessID) {
		return m.PresenceTTLMS > 0 && !m.leaving
	}
	return m.HasDuty(name) && (m.mode == Warm || m.mode == Cold) && now >= m.cooldownUntil[name]
}

func (m *Machine) startYield(lease *localLease, cause string) []Action {
	if lease.yieldCause != "" {
		return nil
	}
	lease.yieldCause = cause
	return []Action{YieldRequested{lease.ref, cause}}
}

// Quiesced reports that no act is under way any more under a grant after YieldRequested; it is released with the next heartbeat.
func (m *Machine) Quiesced(now float64, r Ref) []Action {
	lease := m.leases[r.Name]
	if lease == nil || lease.ref != r || lease.yieldCause == "" {
		return nil
	}
	return []Action{m.endLease(now, lease, lease.yieldCause)}
}

// SetMode sets the mode of the server. In all modes but Warm and Cold it releases all duties; it keeps its presence lease.
// Draining is final.
func (m *Machine) SetMode(now float64, mode Mode) (out []Action) {
	if m.mode == Draining || m.mode == mode {
		return nil
	}
	m.mode, m.nextHeartbeatAt = mode, now
	if mode == Warm || mode == Cold {
		return nil
	}
	cause := CauseDrain
	if mode == Failing {
		cause = CauseFailing
	}
	for _, name := range slices.Sorted(maps.Keys(m.leases)) {
		if PresenceProcess(name) == "" {
			out = append(out, m.startYield(m.leases[name], cause)...)
		}
	}
	return out
}

// ReleaseAll releases all leases, the presence lease included, at the end of the process.
func (m *Machine) ReleaseAll(now float64) (out []Action) {
	m.mode, m.leaving = Draining, true
	for _, name := range slices.Sorted(maps.Keys(m.leases)) {
		out = append(out, m.endLease(now, m.leases[name], CauseDrain))
	}
	return append(out, m.newHeartbeat(now))
}

// ActiveGrant reports whether an act under a duty may begin now, and under which grant.
func (m *Machine) ActiveGrant(now float64, name string) (Ref, bool) {
	lease := m.leases[name]
	if lease == nil || lease.yieldCause != "" || now >= lease.until {
		return Ref{}, false
	}
	return lease.ref, true
}

// SeenIndex returns the highest log index of the replies so far.
func (m *Machine) SeenIndex() uint64 { return m.seenIndex }

// LeaseEnd returns the end of a held lease on the server's own clock, also while it is being released.
func (m *Machine) LeaseEnd(name string) (Ref, float64, bool) {
	lease := m.leases[name]
	if lease == nil {
		return Ref{}, 0, false
	}
	return lease.ref, lease.until, true
}
