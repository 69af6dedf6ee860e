package duty

import (
	"maps"
	"math/rand/v2"
	"slices"
)

// Mode is the state of an order server as far as duties go.
type Mode int

// Modes.
const (
	Warm         Mode = iota
	Cold              // stands only where no warm one does
	Failing           // holds nothing
	OutOfService      // the same, by an operator's order
	Draining          // the same, and does not come back
)

// Causes of the end of a holding.
const (
	CauseExpired = "renewed too late" // its time ended before a renewal was answered
	CauseLost    = "lost"             // the copies say that it is another's or nobody's
	CauseYield   = "asked to yield"
	CauseDrain   = "draining"
	CauseFailing = "failing"
)

// Action is what a machine wants done: Send, Gained, Held, Yields, Ended or Behind.
type Action any

type (
	// SendHeartbeat is a heartbeat for the copy that leads.
	SendHeartbeat struct{ Heartbeat Heartbeat }
	// LeaseGained tells that the process holds a duty until a time of its own clock.
	LeaseGained struct {
		Ref
		Until float64
	}
	// LeaseRenewed tells that a holding was renewed. Late: less than half of its time was left.
	LeaseRenewed struct {
		Ref
		Until float64
		Late  bool
	}
	// YieldRequested tells to begin no more acts under a grant, and to call Quiet once the last one has ended.
	YieldRequested struct {
		Ref
		Cause string
	}
	// LeaseEnded tells that a holding is over, and acts under way with it.
	LeaseEnded struct {
		Ref
		Cause string
	}
	// StaleReply tells that a copy knows less than this process was told before: it was restored from an older state, or
	// answers for one that leads no more.
	StaleReply struct{ LogIndex, SeenIndex uint64 }
)

const heartbeatHistorySize = 32 // heartbeats whose sending times are kept; an answer to an older one counts for nothing

type localLease struct {
	ref        Ref
	until      float64
	yieldCause string // why it yields; "": it does not
}

// Machine is an order server's side of all duties. It is not safe for concurrent use.
type Machine struct {
	Rules
	ProcessID   string
	InjectedBug string // a planted bug; "": none

	jitter         func() float64 // 0 to 1, by the seed
	mode           Mode
	heartbeatSeq   uint64
	sentHeartbeats [heartbeatHistorySize]struct {
		no uint64
		at float64
	}
	seenIndex       uint64
	leases          map[string]*localLease
	endedEpochs     map[string]uint64  // the highest epoch of a lease that this process is done with
	pendingReleases map[string]Ref     // given back, until an answer shows that it is gone
	cooldownUntil   map[string]float64 // until when it does not stand
	nextHeartbeatAt float64
	leaving         bool
}

// NewMachine makes a machine that stands for all duties of the rules, and for its presence where that is kept.
func NewMachine(r Rules, processID string, seed uint64) *Machine {
	return &Machine{Rules: r, ProcessID: processID, jitter: rand.New(rand.NewPCG(seed, 1)).Float64, leases: map[string]*localLease{},
		endedEpochs: map[string]uint64{}, pendingReleases: map[string]Ref{}, cooldownUntil: map[string]float64{}}
}

// Tick looks at the time: what has run out ends, and a heartbeat that is due goes out.
func (m *Machine) Tick(now float64) []Action {
	out := m.expireLeases(now)
	if now >= m.nextHeartbeatAt {
		out = append(out, m.newHeartbeat(now))
	}
	return out
}

// NextTick is when Tick has to be called again, at the latest.
func (m *Machine) NextTick() float64 {
	at := m.nextHeartbeatAt
	for _, h := range m.leases {
		at = min(at, h.until)
	}
	return at
}

// ExpediteHeartbeat makes the next Tick send a heartbeat: a connection is new, or something changed.
func (m *Machine) ExpediteHeartbeat() { m.nextHeartbeatAt = 0 }

func (m *Machine) expireLeases(now float64) (out []Action) {
	for _, name := range slices.Sorted(maps.Keys(m.leases)) {
		if h := m.leases[name]; now >= h.until {
			out = append(out, m.endLease(now, h, CauseExpired))
		}
	}
	return out
}

// endLease forgets a holding. It is given back as well: if the copies still think that this process holds it, others need
// not wait for its time.
func (m *Machine) endLease(now float64, h *localLease, cause string) Action {
	name := h.ref.Name
	if h.yieldCause != "" {
		cause = h.yieldCause
	}
	delete(m.leases, name)
	m.endedEpochs[name] = max(m.endedEpochs[name], h.ref.Epoch)
	m.pendingReleases[name] = h.ref
	if PresenceProcess(name) == "" {
		m.cooldownUntil[name] = now + m.CooldownMS
	}
	m.nextHeartbeatAt = now
	return LeaseEnded{h.ref, cause}
}

func (m *Machine) newHeartbeat(now float64) Action {
	// Spread, so that a fleet that started as one does not heartbeat as one.
	m.nextHeartbeatAt = now + m.RenewIntervalMS*(0.7+0.3*m.jitter())
	m.heartbeatSeq++
	m.sentHeartbeats[m.heartbeatSeq%heartbeatHistorySize].no, m.sentHeartbeats[m.heartbeatSeq%heartbeatHistorySize].at = m.heartbeatSeq, now
	b := Heartbeat{From: m.ProcessID, Seq: m.heartbeatSeq, SeenIndex: m.seenIndex, Cold: m.mode == Cold}
	for _, name := range slices.Sorted(maps.Keys(m.leases)) {
		b.Renewals = append(b.Renewals, m.leases[name].ref)
	}
	for _, name := range slices.Sorted(maps.Keys(m.pendingReleases)) {
		b.Releases = append(b.Releases, m.pendingReleases[name])
	}
	if m.mode == Warm || m.mode == Cold {
		for _, d := range m.Duties {
			if m.leases[d.Name] == nil && now >= m.cooldownUntil[d.Name] {
				b.Candidacies = append(b.Candidacies, d.Name)
			}
		}
	}
	if p := PresenceName(m.ProcessID); m.PresenceTTLMS > 0 && m.leases[p] == nil && !m.leaving {
		b.Candidacies = append(b.Candidacies, p)
	}
	return SendHeartbeat{b}
}

// HandleReply takes an answer in.
func (m *Machine) HandleReply(now float64, t HeartbeatReply) []Action {
	out := m.expireLeases(now)
	if t.LogIndex < m.seenIndex {
		// Guards against old state taken for new: another copy has told of more already.
		return append(out, StaleReply{t.LogIndex, m.seenIndex})
	}
	m.seenIndex = t.LogIndex
	s := m.sentHeartbeats[t.Seq%heartbeatHistorySize]
	if s.no != t.Seq || t.Seq == 0 {
		return out // of a heartbeat that is long past: nothing tells when it was sent
	}
	sentAt := s.at
	if m.InjectedBug == BugDeadlineFromReply {
		sentAt = now
	}
	heldByName := map[string]HeldLease{}
	for _, g := range t.HeldLeases {
		heldByName[g.Name] = g
	}
	for name, r := range m.pendingReleases {
		if g, there := heldByName[name]; !there || g.Epoch != r.Epoch {
			delete(m.pendingReleases, name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(m.leases)) {
		h := m.leases[name]
		if g, there := heldByName[name]; !there || g.Epoch != h.ref.Epoch {
			out = append(out, m.endLease(now, h, CauseLost))
			delete(m.pendingReleases, name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(heldByName)) {
		g := heldByName[name]
		until := sentAt + m.HolderLeaseMS(g.TTLMS)
		h := m.leases[name]
		switch {
		case h != nil:
			if until > h.until {
				late := h.until-now < m.HolderLeaseMS(g.TTLMS)/2
				h.until = until
				out = append(out, LeaseRenewed{h.ref, until, late})
			}
			if g.Yield {
				out = append(out, m.startYield(h, CauseYield)...)
			}
		case !m.acceptsGrant(name, now) || g.Epoch <= m.endedEpochs[name]:
			m.pendingReleases[name] = g.Ref
			m.nextHeartbeatAt = now
		case until > now:
			h = &localLease{ref: g.Ref, until: until}
			m.leases[name] = h
			out = append(out, LeaseGained{g.Ref, until})
			if g.Yield {
				out = append(out, m.startYield(h, CauseYield)...)
			}
		}
	}
	return out
}

// acceptsGrant tells whether a grant would be taken now.
func (m *Machine) acceptsGrant(name string, now float64) bool {
	if name == PresenceName(m.ProcessID) {
		return m.PresenceTTLMS > 0 && !m.leaving
	}
	return m.HasDuty(name) && (m.mode == Warm || m.mode == Cold) && now >= m.cooldownUntil[name]
}

func (m *Machine) startYield(h *localLease, cause string) []Action {
	if h.yieldCause != "" {
		return nil
	}
	h.yieldCause = cause
	return []Action{YieldRequested{h.ref, cause}}
}

// Quiesced tells that no act is under way any more under a grant that yields; it is given back with the next heartbeat.
func (m *Machine) Quiesced(now float64, r Ref) []Action {
	h := m.leases[r.Name]
	if h == nil || h.ref != r || h.yieldCause == "" {
		return nil
	}
	return []Action{m.endLease(now, h, h.yieldCause)}
}

// SetMode puts the server into a mode. One that fails or drains yields all of its duties; its presence it keeps.
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

// ReleaseAll gives back all that is left, presence too, at the end of the process.
func (m *Machine) ReleaseAll(now float64) (out []Action) {
	m.mode, m.leaving = Draining, true
	for _, name := range slices.Sorted(maps.Keys(m.leases)) {
		out = append(out, m.endLease(now, m.leases[name], CauseDrain))
	}
	return append(out, m.newHeartbeat(now))
}

// ActiveGrant tells whether an act under a duty may begin now, and under which epoch.
func (m *Machine) ActiveGrant(now float64, name string) (Ref, bool) {
	h := m.leases[name]
	if h == nil || h.yieldCause != "" || now >= h.until {
		return Ref{}, false
	}
	return h.ref, true
}

// SeenIndex is the highest position of the log that this process was told of.
func (m *Machine) SeenIndex() uint64 { return m.seenIndex }

// LeaseEnd is the end of a holding, yields included, on the server's own clock.
func (m *Machine) LeaseEnd(name string) (Ref, float64, bool) {
	h := m.leases[name]
	if h == nil {
		return Ref{}, 0, false
	}
	return h.ref, h.until, true
}
