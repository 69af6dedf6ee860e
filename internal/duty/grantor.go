package duty

import (
	"hash/fnv"
	"maps"
	"math"
	"slices"
	"strings"
)

// Heartbeat is a message of an order server: the leases that it renews and releases, and those for which it is a candidate. A
// heartbeat may arrive late, twice or never.
type Heartbeat struct {
	From        string   `json:"from"` // the process: server name and incarnation
	Seq         uint64   `json:"no"`   // sequence number, from 1 in each process
	Seen        uint64   `json:"seen"` // highest log index of the replies that it has received
	Cold        bool     `json:"cold,omitempty"`
	Renewals    []Ref    `json:"renews,omitempty"`
	Releases    []Ref    `json:"gives,omitempty"`
	Candidacies []string `json:"stands,omitempty"`
}

// Grantee is one held lease in a reply.
type Grantee struct {
	Ref
	TTL   float64 `json:"t"`
	Yield bool    `json:"y,omitempty"` // an operator wants it released
}

// HeartbeatReply is the reply to a heartbeat. It is sent only after a log entry that was written after the heartbeat arrived is
// committed: that alone proves that no other replica was the leader by then.
type HeartbeatReply struct {
	Seq      uint64    `json:"no"`    // sequence number of the heartbeat
	LogIndex uint64    `json:"index"` // log index as of which the reply is valid
	Holds    []Grantee `json:"holds,omitempty"`
}

// Injected bugs: deliberate faults by which the lab and the tests prove that their checks find them. Nothing else sets them.
const (
	BugDeadlineFromReply = "deadline-from-reply" // a holder measures its lease from the reply instead of from its heartbeat
	BugHastyLeader       = "hasty-leader"        // a new leader does not treat the leases of earlier leaders as renewed
	BugUnfenced          = "unfenced"            // the epoch of an act is not checked
	BugEarlyGrowth       = "early-growth"        // a share grows before others have been reduced
	BugUnproven          = "unproven"            // a heartbeat is answered without a log entry that proves the leadership
)

// InjectedBugs lists all injected bugs of duties.
var InjectedBugs = []string{BugDeadlineFromReply, BugHastyLeader, BugUnfenced, BugEarlyGrowth, BugUnproven}

// Grantor decides at the leader of the store when leases are granted and expire. Its decisions take effect only through the log.
type Grantor struct {
	Rules
	Seed        uint64
	MaxPresent  int    // maximum number of presence leases held at once; 0: no limit
	InjectedBug string // an injected bug; "": none

	term  uint64
	since float64 // when this replica became the leader in term

	heard  map[string]heard            // latest heartbeat of the holder, by lease
	stands map[string]map[string]stand // candidates, by lease, then by process
	free   map[string]float64          // when a duty was first seen without a holder
	asked  map[string]bool             // leases with an order that is not yet applied
	given  map[string]heard            // when leases were granted in this term
	deaf   map[string]uint64           // epochs of grants that their holder does not seem to know of, by lease
	shun   map[string]shunned          // holders whose lease expired, by lease

	sweepAt float64 // when stale candidates of held leases are next removed

	earliest float64 // no lease expires before this time, so until then the leases need not be scanned
}

// shunned is a process that is not chosen for a duty until a given time.
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

// StartTerm starts a term in which this replica is the leader. All leases count as renewed at this moment, because an earlier leader
// may have renewed any of them until now.
func (g *Grantor) StartTerm(term uint64, now float64) {
	if g.term == term && g.heard != nil {
		// The same term, after an entry that was not confirmed: its orders have been applied by now or never will be.
		clear(g.asked)
		g.earliest = now
		return
	}
	g.term, g.since, g.earliest, g.sweepAt = term, now, now, now
	g.heard, g.stands = map[string]heard{}, map[string]map[string]stand{}
	g.free, g.asked = map[string]float64{}, map[string]bool{}
	g.given, g.deaf, g.shun = map[string]heard{}, map[string]uint64{}, map[string]shunned{}
}

// Term returns the latest term in which this replica was the leader; 0: none.
func (g *Grantor) Term() uint64 { return g.term }

// HandleHeartbeat records a heartbeat and returns the releases to write to the log. The reply is made later by Answer, once the leadership is
// proven.
func (g *Grantor) HandleHeartbeat(now float64, b Heartbeat, t *Table) []Order {
	var out []Order
	for _, r := range b.Releases {
		if l := t.Leases[r.Name]; l != nil && l.Holder == b.From && l.Epoch == r.Epoch {
			out = append(out, Order{Kind: Release, Name: r.Name, Epoch: r.Epoch, Term: g.term})
			g.asked[r.Name] = true
		}
	}
	g.forgetStands(b.From)
	for _, name := range b.Candidacies {
		if !g.HasDuty(name) && name != PresenceName(b.From) {
			continue
		}
		if g.stands[name] == nil {
			g.stands[name] = map[string]stand{}
		}
		g.stands[name][b.From] = stand{at: now, cold: b.Cold}
	}
	// A held lease that the heartbeat does not renew counts as renewed for a while after its grant: the reply will name it, and
	// then the holder measures its lease from this heartbeat. After that it is neither renewed nor named in replies. Otherwise a
	// server whose heartbeats arrive but which receives no replies would keep forever a lease that it does not know of.
	for _, name := range t.HeldBy(b.From) {
		l := t.Leases[name]
		switch {
		case slices.Contains(b.Renewals, Ref{name, l.Epoch}), now <= g.grantedAt(name, l.Epoch)+g.GrantorSpan(l.TTLMS):
			g.hear(name, l.Epoch, now)
			delete(g.deaf, name)
		default:
			g.deaf[name] = l.Epoch
		}
	}
	return out
}

// forgetStands removes all candidacies of a process. These can only be for duties and for its own presence lease, so the presence
// leases of others, whose number grows with the servers that start at once, are not scanned.
func (g *Grantor) forgetStands(who string) {
	for _, d := range g.Duties {
		delete(g.stands[d.Name], who)
	}
	delete(g.stands, PresenceName(who))
}

// grantedAt returns when a lease was granted, or the start of the term if it was granted before.
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

// MaxOrdersPerTick is the maximum number of orders that Tick returns at once. A large fleet that joins or leaves at once is handled in
// several steps, so that no log entry takes long to write or exceeds the maximum size of a write.
const MaxOrdersPerTick = 512

// Tick returns the orders that are due: expired leases, and grants of leases without a holder. Orders beyond MaxOrdersPerTick are left
// for the next call.
func (g *Grantor) Tick(now float64, t *Table) []Order {
	out := g.lapses(now, t)
	return append(out, g.grants(now, t, MaxOrdersPerTick-len(out))...)
}

// lapses returns orders for the leases that have expired. A heartbeat can only postpone an expiry, so the leases are not scanned
// again before the earliest expiry that the last scan found.
func (g *Grantor) lapses(now float64, t *Table) (out []Order) {
	if now <= g.earliest {
		return nil
	}
	g.earliest = math.Inf(1)
	for name, l := range t.Leases {
		if l.Holder == "" || g.asked[name] {
			continue
		}
		end := g.lastHeard(name, l.Epoch) + g.GrantorSpan(l.TTLMS)
		if now <= end {
			g.earliest = min(g.earliest, end)
			continue
		}
		if len(out) == MaxOrdersPerTick {
			g.earliest = now
			break
		}
		out = append(out, Order{Kind: Expire, Name: name, Holder: l.Holder, Epoch: l.Epoch, Term: g.term})
		g.asked[name] = true
	}
	slices.SortFunc(out, func(a, b Order) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// grants returns up to most orders that grant leases without a holder.
func (g *Grantor) grants(now float64, t *Table, most int) (out []Order) {
	load := map[string]int{} // leases granted in this call, by process
	// Candidates for a held lease are not needed, so their stale entries are only removed from time to time, to bound memory.
	sweep := now >= g.sweepAt
	if sweep {
		g.sweepAt = now + g.RenewIntervalMS
	}
	present, counted := -1, g.MaxPresent > 0 // counted only if there is a limit and a candidate
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
		if p := PresenceProcess(name); p != "" {
			if counted && present < 0 {
				present = t.CountPresent()
			}
			if _, stands := g.stands[name][p]; stands && (!counted || present < g.MaxPresent) {
				who, ttl = p, g.PresenceTTLMS
				present++
			}
		} else {
			who = g.choose(name, now, func(who string) int { return t.DutiesHeldBy(who) + load[who] })
		}
		if who == "" || ttl <= 0 {
			continue
		}
		o := Order{Kind: Grant, Name: name, Holder: who, TTLMS: ttl, Term: g.term}
		if l != nil {
			o.Epoch = l.Epoch
		}
		out = append(out, o)
		g.asked[name] = true
		load[who]++
	}
	return out
}

// lastHeard returns the time of the last heartbeat that renewed a lease, or the start of the term if there was none since.
func (g *Grantor) lastHeard(name string, epoch uint64) float64 {
	if h := g.heard[name]; h.epoch == epoch {
		return h.at
	}
	if g.InjectedBug == BugHastyLeader {
		return g.since - g.GrantorSpan(g.ttl(name))
	}
	return g.since
}

// fade removes the candidates of a lease from which no heartbeat has come for some intervals.
func (g *Grantor) fade(name string, now float64) {
	for who, s := range g.stands[name] {
		if now > s.at+(bearLost+1)*g.RenewIntervalMS*(1+g.MaxDrift) {
			delete(g.stands[name], who)
		}
	}
	if len(g.stands[name]) == 0 {
		delete(g.stands, name)
	}
}

// choose returns the candidate with the fewest duties, or "". Ties are broken by a hash that depends on the duty but not on the
// leader. A cold server is chosen only if there has been no other candidate for a while. This spreads the duties, and prevents
// that after an outage the server whose heartbeat comes first gets all of them.
func (g *Grantor) choose(name string, now float64, load func(who string) int) string {
	if _, seen := g.free[name]; !seen {
		g.free[name] = now
	}
	if now < g.since+g.RenewIntervalMS*(1+g.MaxDrift) {
		return "" // some candidates may not have sent a heartbeat to this leader yet
	}
	cold := now > max(g.free[name], g.since)+g.ColdWaitMS
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

// HandleOrderResult records that an order was applied or refused. A grant counts as renewed now, since its holder measures the lease from an
// earlier heartbeat.
func (g *Grantor) HandleOrderResult(now float64, o Order, t *Table) {
	if o.Term != g.term {
		return
	}
	delete(g.asked, o.Name)
	if o.Kind == Expire { // the cause of the missed renewals may also keep it from learning of a new grant
		g.shun[o.Name] = shunned{o.Holder, now + g.CooldownMS}
	}
	if l := t.Leases[o.Name]; o.Kind == Grant && l != nil && l.Holder == o.Holder {
		g.hear(o.Name, l.Epoch, now)
		g.given[o.Name] = heard{l.Epoch, now}
		g.earliest = min(g.earliest, now+g.GrantorSpan(l.TTLMS))
		delete(g.free, o.Name)
	} else if l != nil && l.Holder != "" {
		g.earliest = now // the order was refused: the lease has to be checked again
	}
}

// Reply returns the reply to a heartbeat, with the leases that the process holds according to the table.
func (g *Grantor) Reply(from string, no, index uint64, t *Table) HeartbeatReply {
	told := HeartbeatReply{Seq: no, LogIndex: index}
	for _, name := range t.HeldBy(from) {
		l := t.Leases[name]
		if g.deaf[name] == l.Epoch {
			continue
		}
		told.Holds = append(told.Holds, Grantee{Ref{name, l.Epoch}, l.TTLMS, l.Yield})
	}
	return told
}
