package duty

import (
	"hash/fnv"
	"maps"
	"math"
	"slices"
	"strings"
)

// Heartbeat is what an order server says in one message: what it renews, gives back and stands for. A heartbeat may come late,
// twice or never.
type Heartbeat struct {
	From   string   `json:"from"` // the process: its name and incarnation
	No     uint64   `json:"no"`   // counts from 1 in each process
	Seen   uint64   `json:"seen"` // the highest position of the log that it was told of
	Cold   bool     `json:"cold,omitempty"`
	Renews []Ref    `json:"renews,omitempty"`
	Gives  []Ref    `json:"gives,omitempty"`
	Stands []string `json:"stands,omitempty"`
}

// Grantee is one grant in an answer.
type Grantee struct {
	Ref
	TTL   float64 `json:"t"`
	Yield bool    `json:"y,omitempty"` // an operator wants it given up
}

// HeartbeatReply is the answer to a heartbeat. It is sent only once an entry of the log, written after the heartbeat came, was agreed on:
// only that proves that no other copy led by then.
type HeartbeatReply struct {
	No    uint64    `json:"no"`    // the latest heartbeat that is answered
	Index uint64    `json:"index"` // the position of the log as of which it holds
	Holds []Grantee `json:"holds,omitempty"`
}

// Planted bugs, by which the laboratory and the tests show that they would find one. Nothing else sets any.
const (
	PlantLateDeadline = "deadline-from-reply" // a holder counts its time from the answer, not from what it sent
	PlantHastyLeader  = "hasty-leader"        // a new leader counts no earlier leader's grants as renewed
	PlantUnfenced     = "unfenced"            // the epoch of an act is not looked at
	PlantEarlyGrowth  = "early-growth"        // a share grows before the others have shrunk
	PlantUnproven     = "unproven"            // a heartbeat is answered without an entry of the log that proves the leadership
)

// Plants are all of them.
var Plants = []string{PlantLateDeadline, PlantHastyLeader, PlantUnfenced, PlantEarlyGrowth, PlantUnproven}

// Grantor is the timing of the copy that leads. Its decisions become true by the log alone.
type Grantor struct {
	Rules
	Seed  uint64
	Most  int    // processes whose presence is granted at once; 0: any number
	Plant string // a planted bug; "": none

	term  uint64
	since float64 // when this copy took office

	heard  map[string]heard            // by lease
	stands map[string]map[string]stand // by duty, then process
	free   map[string]float64          // since when a duty was seen without a holder
	asked  map[string]bool             // leases with an order under way
	given  map[string]heard            // leases granted in this office, and when
	deaf   map[string]uint64           // leases, by epoch, that their holder does not seem to know of
	shun   map[string]shunned          // who let a duty's time run out

	sweepAt float64 // who stands for duties that are held is looked through then

	earliest float64 // no lease lapses before this time, so until then the leases need not be walked
}

// shunned is not chosen for a duty until a time.
type shunned struct {
	who   string
	until float64
}

type heard struct {
	epoch uint64
	at    float64
}

type stand struct {
	at   float64
	cold bool
}

// Lead tells that this copy leads in a term. All grants count as renewed then: an earlier leader may have renewed them
// up to this moment, and nothing tells which.
func (g *Grantor) Lead(term uint64, now float64) {
	if g.term == term && g.heard != nil {
		// The same office, after an entry that was not confirmed: its orders were carried out by now, or never will be.
		clear(g.asked)
		g.earliest = now
		return
	}
	g.term, g.since, g.earliest, g.sweepAt = term, now, now, now
	g.heard, g.stands = map[string]heard{}, map[string]map[string]stand{}
	g.free, g.asked = map[string]float64{}, map[string]bool{}
	g.given, g.deaf, g.shun = map[string]heard{}, map[string]uint64{}, map[string]shunned{}
}

// Term is the term of this copy's office; 0: it never led.
func (g *Grantor) Term() uint64 { return g.term }

// Take books a heartbeat and returns what it gives back. It answers nothing: HeartbeatReply does, once that is proven.
func (g *Grantor) Take(now float64, b Heartbeat, t *Table) []Order {
	var out []Order
	for _, r := range b.Gives {
		if l := t.Leases[r.Name]; l != nil && l.Holder == b.From && l.Epoch == r.Epoch {
			out = append(out, Order{Kind: Release, Name: r.Name, Epoch: r.Epoch, Term: g.term})
			g.asked[r.Name] = true
		}
	}
	g.forgetStands(b.From)
	for _, name := range b.Stands {
		if !g.Known(name) && name != PresenceOf(b.From) {
			continue
		}
		if g.stands[name] == nil {
			g.stands[name] = map[string]stand{}
		}
		g.stands[name][b.From] = stand{at: now, cold: b.Cold}
	}
	// What it holds and does not name counts as heard for a while: the answer will name it, and then it counts its time
	// from this heartbeat. Past that it is neither heard nor named in an answer. Guards against a server that is heard and
	// hears nothing, which would keep for good what it does not know of.
	for _, name := range t.HeldBy(b.From) {
		l := t.Leases[name]
		switch {
		case slices.Contains(b.Renews, Ref{name, l.Epoch}), now <= g.grantedAt(name, l.Epoch)+g.GrantorSpan(l.TTL):
			g.hear(name, l.Epoch, now)
			delete(g.deaf, name)
		default:
			g.deaf[name] = l.Epoch
		}
	}
	return out
}

// forgetStands forgets for what a process stood. Only its own presence can have been among that beside duties, so the presences
// of others, of which there are as many as servers that come at once, are not walked.
func (g *Grantor) forgetStands(who string) {
	for _, d := range g.Duties {
		delete(g.stands[d.Name], who)
	}
	delete(g.stands, PresenceOf(who))
}

// grantedAt is when a lease was granted, or for all that is known when this office began.
func (g *Grantor) grantedAt(name string, epoch uint64) float64 {
	if at := g.given[name]; at.epoch == epoch {
		return at.at
	}
	return g.since
}

func (g *Grantor) hear(name string, epoch uint64, now float64) {
	if h := g.heard[name]; h.epoch < epoch || h.epoch == epoch && h.at < now {
		g.heard[name] = heard{epoch, now}
	}
}

// MaxOrders bounds the orders that Tick returns at once. A fleet that comes or goes as one is taken in several steps, so that no
// entry of the log is long in the writing, and none over the most bytes of a write.
const MaxOrders = 512

// Tick finds whose time is up and whom to grant what nobody holds. What is over MaxOrders is left for the next.
func (g *Grantor) Tick(now float64, t *Table) []Order {
	out := g.lapses(now, t)
	return append(out, g.grants(now, t, MaxOrders-len(out))...)
}

// lapses finds the leases whose time is up. To hear a holder only puts its end off, so all leases are walked no more often
// than the earliest end that the last walk found.
func (g *Grantor) lapses(now float64, t *Table) (out []Order) {
	if now <= g.earliest {
		return nil
	}
	g.earliest = math.Inf(1)
	for name, l := range t.Leases {
		if l.Holder == "" || g.asked[name] {
			continue
		}
		end := g.lastHeard(name, l.Epoch) + g.GrantorSpan(l.TTL)
		if now <= end {
			g.earliest = min(g.earliest, end)
			continue
		}
		if len(out) == MaxOrders {
			g.earliest = now
			break
		}
		out = append(out, Order{Kind: Lapse, Name: name, Holder: l.Holder, Epoch: l.Epoch, Term: g.term})
		g.asked[name] = true
	}
	slices.SortFunc(out, func(a, b Order) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// grants finds whom to grant what nobody holds, so many at most.
func (g *Grantor) grants(now float64, t *Table, most int) (out []Order) {
	load := map[string]int{} // duties that are granted in this turn, by process
	// Those who stand for a duty that is held matter to nobody, so they are looked through only now and then, lest they grow.
	sweep := now >= g.sweepAt
	if sweep {
		g.sweepAt = now + g.Renew
	}
	present, counted := -1, g.Most > 0 // the count matters only where it is bounded and somebody wants in
	for _, name := range slices.Sorted(maps.Keys(g.stands)) {
		if len(out) >= most {
			break
		}
		l := t.Leases[name]
		held := l != nil && l.Holder != ""
		if sweep || !held {
			g.fade(name, now)
		}
		if held {
			delete(g.free, name)
			continue
		}
		if g.asked[name] || t.Frozen[name] {
			continue
		}
		who, ttl := "", g.ttl(name)
		if p := PresentWho(name); p != "" {
			if counted && present < 0 {
				present = t.Present()
			}
			if _, stands := g.stands[name][p]; stands && (!counted || present < g.Most) {
				who, ttl = p, g.Presence
				present++
			}
		} else {
			who = g.choose(name, now, func(who string) int { return t.DutiesHeldBy(who) + load[who] })
		}
		if who == "" || ttl <= 0 {
			continue
		}
		o := Order{Kind: Grant, Name: name, Holder: who, TTL: ttl, Term: g.term}
		if l != nil {
			o.Epoch = l.Epoch
		}
		out = append(out, o)
		g.asked[name] = true
		load[who]++
	}
	return out
}

// lastHeard is when the holder was last heard, in this office or, for all that is known, at its start.
func (g *Grantor) lastHeard(name string, epoch uint64) float64 {
	if h := g.heard[name]; h.epoch == epoch {
		return h.at
	}
	if g.Plant == PlantHastyLeader {
		return g.since - g.GrantorSpan(g.ttl(name))
	}
	return g.since
}

// fade forgets those that have not said for some heartbeats that they stand.
func (g *Grantor) fade(name string, now float64) {
	for who, s := range g.stands[name] {
		if now > s.at+(bearLost+1)*g.Renew*(1+g.Rate) {
			delete(g.stands[name], who)
		}
	}
	if len(g.stands[name]) == 0 {
		delete(g.stands, name)
	}
}

// choose picks the one with the fewest duties, ties by a draw that differs from duty to duty but not from leader to
// leader. A cold server is taken only where no other has stood for a while. Guards against all duties on one server,
// and against the first whose message came after an outage.
func (g *Grantor) choose(name string, now float64, load func(who string) int) string {
	if _, seen := g.free[name]; !seen {
		g.free[name] = now
	}
	if now < g.since+g.Renew*(1+g.Rate) {
		return "" // all who stand have not been heard yet
	}
	cold := now > max(g.free[name], g.since)+g.ColdWait
	best := ""
	for who, s := range g.stands[name] {
		if s.cold && !cold || g.shun[name].who == who && now < g.shun[name].until {
			continue
		}
		if best == "" {
			best = who
			continue
		}
		b := g.stands[name][best]
		switch {
		case s.cold != b.cold:
			if b.cold {
				best = who
			}
		case load(who) != load(best):
			if load(who) < load(best) {
				best = who
			}
		case g.draw(name, who) < g.draw(name, best):
			best = who
		}
	}
	return best
}

func (g *Grantor) draw(name, who string) uint64 {
	h := fnv.New64a()
	for i := range 8 {
		h.Write([]byte{byte(g.Seed >> (8 * i))})
	}
	h.Write([]byte(name))
	h.Write([]byte{0})
	h.Write([]byte(who))
	return h.Sum64()
}

// Done tells that an order was carried out or refused. A grant counts as heard now: what its holder may count from is
// a heartbeat that came before.
func (g *Grantor) Done(now float64, o Order, t *Table) {
	if o.Term != g.term {
		return
	}
	delete(g.asked, o.Name)
	if o.Kind == Lapse { // whatever kept it from renewing may keep it from knowing that it is granted again
		g.shun[o.Name] = shunned{o.Holder, now + g.Cool}
	}
	if l := t.Leases[o.Name]; o.Kind == Grant && l != nil && l.Holder == o.Holder {
		g.hear(o.Name, l.Epoch, now)
		g.given[o.Name] = heard{l.Epoch, now}
		g.earliest = min(g.earliest, now+g.GrantorSpan(l.TTL))
		delete(g.free, o.Name)
	} else if l != nil && l.Holder != "" {
		g.earliest = now // an order that was refused: the lease has to be looked at again
	}
}

// Answer is what a process is told of its grants as the table has them.
func (g *Grantor) Answer(from string, no, index uint64, t *Table) HeartbeatReply {
	told := HeartbeatReply{No: no, Index: index}
	for _, name := range t.HeldBy(from) {
		l := t.Leases[name]
		if g.deaf[name] == l.Epoch {
			continue
		}
		told.Holds = append(told.Holds, Grantee{Ref{name, l.Epoch}, l.TTL, l.Yield})
	}
	return told
}
