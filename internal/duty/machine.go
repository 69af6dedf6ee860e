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

// Action is an action or event that Machine returns to its caller: Send, Gained, Held, Yields, Ended or Behind.
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
	// YieldRequested requests that no more acts begin under a grant, and that Quiet is called once the last one has ended.
	YieldRequested struct {
		Ref
		Cause string
	}
	// LeaseEnded reports that a lease is no longer held. Acts under way have to be aborted.
	LeaseEnded struct {
		Ref
		Cause string
	}
	// Behind reports an ignored reply, whose log index is lower than that of an earlier reply: the replica was restored from an
	// older state, or is no longer the leader.
	Behind struct{ Index, Seen uint64 }
)

const keptHeartbeats = 32 // number of latest heartbeats whose sending times are kept; replies to older ones extend no lease

type holding struct {
	ref   Ref
	until float64
	cause string // why it is being released; "": it is not
}

// Machine manages the leases of one order server process. It is not safe for concurrent use.
type Machine struct {
	Rules
	ProcessID   string
	InjectedBug string // an injected bug; "": none

	spread func() float64 // seeded random numbers from 0 to 1
	mode   Mode
	no     uint64
	sent   [keptHeartbeats]struct {
		no uint64
		at float64
	}
	seen        uint64
	held        map[string]*holding
	past        map[string]uint64  // highest epoch that this process has released or lost, by lease
	gives       map[string]Ref     // releases to be sent until a reply confirms them
	cool        map[string]float64 // until when the process is no candidate, by lease
	heartbeatAt float64
	leave       bool
}

// NewMachine returns a Machine that is a candidate for all duties of the rules, and for its presence lease if the rules have
// one. The seed is for jitter.
func NewMachine(r Rules, me string, seed uint64) *Machine {
	return &Machine{Rules: r, ProcessID: me, spread: rand.New(rand.NewPCG(seed, 1)).Float64, held: map[string]*holding{},
		past: map[string]uint64{}, gives: map[string]Ref{}, cool: map[string]float64{}}
}

// Tick ends the leases that have expired and sends a heartbeat if one is due.
func (m *Machine) Tick(now float64) []Action {
	out := m.expire(now)
	if now >= m.heartbeatAt {
		out = append(out, m.heartbeat(now))
	}
	return out
}

// NextTick returns the time by which Tick has to be called again.
func (m *Machine) NextTick() float64 {
	at := m.heartbeatAt
	for _, h := range m.held {
		at = min(at, h.until)
	}
	return at
}

// ExpediteHeartbeat makes the next Tick send a heartbeat, for example on a new connection.
func (m *Machine) ExpediteHeartbeat() { m.heartbeatAt = 0 }

func (m *Machine) expire(now float64) (out []Action) {
	for _, name := range slices.Sorted(maps.Keys(m.held)) {
		if h := m.held[name]; now >= h.until {
			out = append(out, m.end(now, h, CauseExpired))
		}
	}
	return out
}

// end removes a lease. It also releases it: if the store still has this process as the holder, others need not wait for the
// expiry.
func (m *Machine) end(now float64, h *holding, cause string) Action {
	name := h.ref.Name
	if h.cause != "" {
		cause = h.cause
	}
	delete(m.held, name)
	m.past[name] = max(m.past[name], h.ref.Epoch)
	m.gives[name] = h.ref
	if PresenceProcess(name) == "" {
		m.cool[name] = now + m.CooldownMS
	}
	m.heartbeatAt = now
	return LeaseEnded{h.ref, cause}
}

func (m *Machine) heartbeat(now float64) Action {
	// Jitter, so that servers that started at the same time do not send their heartbeats at the same time.
	m.heartbeatAt = now + m.RenewIntervalMS*(0.7+0.3*m.spread())
	m.no++
	m.sent[m.no%keptHeartbeats].no, m.sent[m.no%keptHeartbeats].at = m.no, now
	b := Heartbeat{From: m.ProcessID, Seq: m.no, Seen: m.seen, Cold: m.mode == Cold}
	for _, name := range slices.Sorted(maps.Keys(m.held)) {
		b.Renewals = append(b.Renewals, m.held[name].ref)
	}
	for _, name := range slices.Sorted(maps.Keys(m.gives)) {
		b.Releases = append(b.Releases, m.gives[name])
	}
	if m.mode == Warm || m.mode == Cold {
		for _, d := range m.Duties {
			if m.held[d.Name] == nil && now >= m.cool[d.Name] {
				b.Candidacies = append(b.Candidacies, d.Name)
			}
		}
	}
	if p := PresenceName(m.ProcessID); m.PresenceTTLMS > 0 && m.held[p] == nil && !m.leave {
		b.Candidacies = append(b.Candidacies, p)
	}
	return SendHeartbeat{b}
}

// HandleReply processes a reply: it renews, gains and ends leases accordingly.
func (m *Machine) HandleReply(now float64, t HeartbeatReply) []Action {
	out := m.expire(now)
	if t.LogIndex < m.seen {
		// Old state must not be taken for new: another replica has already reported a later one.
		return append(out, Behind{t.LogIndex, m.seen})
	}
	m.seen = t.LogIndex
	s := m.sent[t.Seq%keptHeartbeats]
	if s.no != t.Seq || t.Seq == 0 {
		return out // an old heartbeat, whose sending time is not known any more
	}
	from := s.at
	if m.InjectedBug == BugDeadlineFromReply {
		from = now
	}
	holds := map[string]Grantee{}
	for _, g := range t.Holds {
		holds[g.Name] = g
	}
	for name, r := range m.gives {
		if g, there := holds[name]; !there || g.Epoch != r.Epoch {
			delete(m.gives, name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(m.held)) {
		h := m.held[name]
		if g, there := holds[name]; !there || g.Epoch != h.ref.Epoch {
			out = append(out, m.end(now, h, CauseLost))
			delete(m.gives, name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(holds)) {
		g := holds[name]
		until := from + m.HolderSpan(g.TTL)
		h := m.held[name]
		switch {
		case h != nil:
			if until > h.until {
				late := h.until-now < m.HolderSpan(g.TTL)/2
				h.until = until
				out = append(out, LeaseRenewed{h.ref, until, late})
			}
			if g.Yield {
				out = append(out, m.yield(h, CauseYield)...)
			}
		case !m.wants(name, now) || g.Epoch <= m.past[name]:
			m.gives[name] = g.Ref
			m.heartbeatAt = now
		case until > now:
			h = &holding{ref: g.Ref, until: until}
			m.held[name] = h
			out = append(out, LeaseGained{g.Ref, until})
			if g.Yield {
				out = append(out, m.yield(h, CauseYield)...)
			}
		}
	}
	return out
}

// wants reports whether a grant would be accepted now.
func (m *Machine) wants(name string, now float64) bool {
	if name == PresenceName(m.ProcessID) {
		return m.PresenceTTLMS > 0 && !m.leave
	}
	return m.HasDuty(name) && (m.mode == Warm || m.mode == Cold) && now >= m.cool[name]
}

func (m *Machine) yield(h *holding, cause string) []Action {
	if h.cause != "" {
		return nil
	}
	h.cause = cause
	return []Action{YieldRequested{h.ref, cause}}
}

// Quiesced reports that no act is under way any more under a grant after Yields; it is released with the next heartbeat.
func (m *Machine) Quiesced(now float64, r Ref) []Action {
	h := m.held[r.Name]
	if h == nil || h.ref != r || h.cause == "" {
		return nil
	}
	return []Action{m.end(now, h, h.cause)}
}

// SetMode sets the mode of the server. In all modes but Warm and Cold it releases all duties; it keeps its presence lease.
// Draining is final.
func (m *Machine) SetMode(now float64, mode Mode) (out []Action) {
	if m.mode == Draining || m.mode == mode {
		return nil
	}
	m.mode, m.heartbeatAt = mode, now
	if mode == Warm || mode == Cold {
		return nil
	}
	cause := CauseDrain
	if mode == Failing {
		cause = CauseFailing
	}
	for _, name := range slices.Sorted(maps.Keys(m.held)) {
		if PresenceProcess(name) == "" {
			out = append(out, m.yield(m.held[name], cause)...)
		}
	}
	return out
}

// ReleaseAll releases all leases, the presence lease included, at the end of the process.
func (m *Machine) ReleaseAll(now float64) (out []Action) {
	m.mode, m.leave = Draining, true
	for _, name := range slices.Sorted(maps.Keys(m.held)) {
		out = append(out, m.end(now, m.held[name], CauseDrain))
	}
	return append(out, m.heartbeat(now))
}

// ActiveGrant reports whether an act under a duty may begin now, and under which grant.
func (m *Machine) ActiveGrant(now float64, name string) (Ref, bool) {
	h := m.held[name]
	if h == nil || h.cause != "" || now >= h.until {
		return Ref{}, false
	}
	return h.ref, true
}

// SeenIndex returns the highest log index of the replies so far.
func (m *Machine) SeenIndex() uint64 { return m.seen }

// LeaseEnd returns the end of a held lease on the server's own clock, also while it is being released.
func (m *Machine) LeaseEnd(name string) (Ref, float64, bool) {
	h := m.held[name]
	if h == nil {
		return Ref{}, 0, false
	}
	return h.ref, h.until, true
}
