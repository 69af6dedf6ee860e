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
	Warm     Mode = iota
	Cold          // stands only where no warm one does
	Failing       // holds nothing
	Away          // the same, by an operator's order
	Draining      // the same, and does not come back
)

// Causes of the end of a holding.
const (
	CauseLate    = "renewed too late" // its time ended before a renewal was answered
	CauseLost    = "lost"             // the copies say that it is another's or nobody's
	CauseYield   = "asked to yield"
	CauseDrain   = "draining"
	CauseFailing = "failing"
)

// Action is what a machine wants done: Send, Gained, Held, Yields, Ended or Behind.
type Action any

type (
	// Send is a heartbeat for the copy that leads.
	Send struct{ Heartbeat Heartbeat }
	// Gained tells that the process holds a duty until a time of its own clock.
	Gained struct {
		Ref
		Until float64
	}
	// Held tells that a holding was renewed. Late: less than half of its time was left.
	Held struct {
		Ref
		Until float64
		Late  bool
	}
	// Yields tells to begin no more acts under a grant, and to call Quiet once the last one has ended.
	Yields struct {
		Ref
		Cause string
	}
	// Ended tells that a holding is over, and acts under way with it.
	Ended struct {
		Ref
		Cause string
	}
	// Behind tells that a copy knows less than this process was told before: it was restored from an older state, or
	// answers for one that leads no more.
	Behind struct{ Index, Seen uint64 }
)

const keptHeartbeats = 32 // heartbeats whose sending times are kept; an answer to an older one counts for nothing

type holding struct {
	ref   Ref
	until float64
	cause string // why it yields; "": it does not
}

// Machine is an order server's side of all duties. It is not safe for concurrent use.
type Machine struct {
	Rules
	Me    string
	Plant string // a planted bug; "": none

	spread func() float64 // 0 to 1, by the seed
	mode   Mode
	no     uint64
	sent   [keptHeartbeats]struct {
		no uint64
		at float64
	}
	seen        uint64
	held        map[string]*holding
	past        map[string]uint64  // the highest epoch of a lease that this process is done with
	gives       map[string]Ref     // given back, until an answer shows that it is gone
	cool        map[string]float64 // until when it does not stand
	heartbeatAt float64
	leave       bool
}

// NewMachine makes a machine that stands for all duties of the rules, and for its presence where that is kept.
func NewMachine(r Rules, me string, seed uint64) *Machine {
	return &Machine{Rules: r, Me: me, spread: rand.New(rand.NewPCG(seed, 1)).Float64, held: map[string]*holding{},
		past: map[string]uint64{}, gives: map[string]Ref{}, cool: map[string]float64{}}
}

// Tick looks at the time: what has run out ends, and a heartbeat that is due goes out.
func (m *Machine) Tick(now float64) []Action {
	out := m.expire(now)
	if now >= m.heartbeatAt {
		out = append(out, m.heartbeat(now))
	}
	return out
}

// Next is when Tick has to be called again, at the latest.
func (m *Machine) Next() float64 {
	at := m.heartbeatAt
	for _, h := range m.held {
		at = min(at, h.until)
	}
	return at
}

// Hurry makes the next Tick send a heartbeat: a connection is new, or something changed.
func (m *Machine) Hurry() { m.heartbeatAt = 0 }

func (m *Machine) expire(now float64) (out []Action) {
	for _, name := range slices.Sorted(maps.Keys(m.held)) {
		if h := m.held[name]; now >= h.until {
			out = append(out, m.end(now, h, CauseLate))
		}
	}
	return out
}

// end forgets a holding. It is given back as well: if the copies still think that this process holds it, others need
// not wait for its time.
func (m *Machine) end(now float64, h *holding, cause string) Action {
	name := h.ref.Name
	if h.cause != "" {
		cause = h.cause
	}
	delete(m.held, name)
	m.past[name] = max(m.past[name], h.ref.Epoch)
	m.gives[name] = h.ref
	if PresentWho(name) == "" {
		m.cool[name] = now + m.Cool
	}
	m.heartbeatAt = now
	return Ended{h.ref, cause}
}

func (m *Machine) heartbeat(now float64) Action {
	// Spread, so that a fleet that started as one does not heartbeat as one.
	m.heartbeatAt = now + m.Renew*(0.7+0.3*m.spread())
	m.no++
	m.sent[m.no%keptHeartbeats].no, m.sent[m.no%keptHeartbeats].at = m.no, now
	b := Heartbeat{From: m.Me, No: m.no, Seen: m.seen, Cold: m.mode == Cold}
	for _, name := range slices.Sorted(maps.Keys(m.held)) {
		b.Renews = append(b.Renews, m.held[name].ref)
	}
	for _, name := range slices.Sorted(maps.Keys(m.gives)) {
		b.Gives = append(b.Gives, m.gives[name])
	}
	if m.mode == Warm || m.mode == Cold {
		for _, d := range m.Duties {
			if m.held[d.Name] == nil && now >= m.cool[d.Name] {
				b.Stands = append(b.Stands, d.Name)
			}
		}
	}
	if p := PresenceOf(m.Me); m.Presence > 0 && m.held[p] == nil && !m.leave {
		b.Stands = append(b.Stands, p)
	}
	return Send{b}
}

// HandleReply takes an answer in.
func (m *Machine) HandleReply(now float64, t HeartbeatReply) []Action {
	out := m.expire(now)
	if t.Index < m.seen {
		// Guards against old state taken for new: another copy has told of more already.
		return append(out, Behind{t.Index, m.seen})
	}
	m.seen = t.Index
	s := m.sent[t.No%keptHeartbeats]
	if s.no != t.No || t.No == 0 {
		return out // of a heartbeat that is long past: nothing tells when it was sent
	}
	from := s.at
	if m.Plant == PlantLateDeadline {
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
				out = append(out, Held{h.ref, until, late})
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
			out = append(out, Gained{g.Ref, until})
			if g.Yield {
				out = append(out, m.yield(h, CauseYield)...)
			}
		}
	}
	return out
}

// wants tells whether a grant would be taken now.
func (m *Machine) wants(name string, now float64) bool {
	if name == PresenceOf(m.Me) {
		return m.Presence > 0 && !m.leave
	}
	return m.Known(name) && (m.mode == Warm || m.mode == Cold) && now >= m.cool[name]
}

func (m *Machine) yield(h *holding, cause string) []Action {
	if h.cause != "" {
		return nil
	}
	h.cause = cause
	return []Action{Yields{h.ref, cause}}
}

// Quiet tells that no act is under way any more under a grant that yields; it is given back with the next heartbeat.
func (m *Machine) Quiet(now float64, r Ref) []Action {
	h := m.held[r.Name]
	if h == nil || h.ref != r || h.cause == "" {
		return nil
	}
	return []Action{m.end(now, h, h.cause)}
}

// Switch puts the server into a mode. One that fails or drains yields all of its duties; its presence it keeps.
func (m *Machine) Switch(now float64, mode Mode) (out []Action) {
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
		if PresentWho(name) == "" {
			out = append(out, m.yield(m.held[name], cause)...)
		}
	}
	return out
}

// Leave gives back all that is left, presence too, at the end of the process.
func (m *Machine) Leave(now float64) (out []Action) {
	m.mode, m.leave = Draining, true
	for _, name := range slices.Sorted(maps.Keys(m.held)) {
		out = append(out, m.end(now, m.held[name], CauseDrain))
	}
	return append(out, m.heartbeat(now))
}

// May tells whether an act under a duty may begin now, and under which epoch.
func (m *Machine) May(now float64, name string) (Ref, bool) {
	h := m.held[name]
	if h == nil || h.cause != "" || now >= h.until {
		return Ref{}, false
	}
	return h.ref, true
}

// Seen is the highest position of the log that this process was told of.
func (m *Machine) Seen() uint64 { return m.seen }

// Until is the end of a holding, yields included, on the server's own clock.
func (m *Machine) Until(name string) (Ref, float64, bool) {
	h := m.held[name]
	if h == nil {
		return Ref{}, 0, false
	}
	return h.ref, h.until, true
}
