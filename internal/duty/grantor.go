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
	From        string   `json:"from"` // the process: its name and incarnation
	Seq         uint64   `json:"no"`   // counts from 1 in each process
	SeenIndex   uint64   `json:"seen"` // the highest position of the log that it was told of
	Cold        bool     `json:"cold,omitempty"`
	Renewals    []Ref    `json:"renews,omitempty"`
	Releases    []Ref    `json:"gives,omitempty"`
	Candidacies []string `json:"stands,omitempty"`
}

// HeldLease is one grant in an answer.
type HeldLease struct {
	Ref
	TTLMS float64 `json:"t"`
	Yield bool    `json:"y,omitempty"` // an operator wants it given up
}

// HeartbeatReply is the answer to a heartbeat. It is sent only once an entry of the log, written after the heartbeat came, was agreed on:
// only that proves that no other copy led by then.
type HeartbeatReply struct {
	Seq        uint64      `json:"no"`    // the latest heartbeat that is answered
	LogIndex   uint64      `json:"index"` // the position of the log as of which it holds
	HeldLeases []HeldLease `json:"holds,omitempty"`
}

// Planted bugs, by which the laboratory and the tests show that they would find one. Nothing else sets any.
const (
	BugDeadlineFromReply = "deadline-from-reply" // a holder counts its time from the answer, not from what it sent
	BugHastyLeader       = "hasty-leader"        // a new leader counts no earlier leader's grants as renewed
	BugUnfenced          = "unfenced"            // the epoch of an act is not looked at
	BugEarlyGrowth       = "early-growth"        // a share grows before the others have shrunk
	BugUnproven          = "unproven"            // a heartbeat is answered without an entry of the log that proves the leadership
)

// InjectedBugs are all of them.
var InjectedBugs = []string{BugDeadlineFromReply, BugHastyLeader, BugUnfenced, BugEarlyGrowth, BugUnproven}

// Grantor is the timing of the copy that leads. Its decisions become true by the log alone.
type Grantor struct {
	Rules
	Seed        uint64
	MaxPresent  int    // processes whose presence is granted at once; 0: any number
	InjectedBug string // a planted bug; "": none

	term        uint64
	leaderSince float64 // when this copy took office

	lastRenewals    map[string]epochTime            // by lease
	candidates      map[string]map[string]candidacy // by duty, then process
	vacantSince     map[string]float64              // since when a duty was seen without a holder
	pendingOrders   map[string]bool                 // leases with an order under way
	grantTimes      map[string]epochTime            // leases granted in this office, and when
	unknownToHolder map[string]uint64               // leases, by epoch, that their holder does not seem to know of
	excluded        map[string]exclusion            // who let a duty's time run out

	nextSweepAt float64 // who stands for duties that are held is looked through then

	earliestExpiry float64 // no lease lapses before this time, so until then the leases need not be walked
}

// exclusion is not chosen for a duty until a time.
type exclusion struct {
	process string
	until   float64
}

type epochTime struct {
	epoch uint64
	at    float64
}

type candidacy struct {
	at   float64
	cold bool
}

// StartTerm tells that this copy leads in a term. All grants count as renewed then: an earlier leader may have renewed them
// up to this moment, and nothing tells which.
func (g *Grantor) StartTerm(term uint64, now float64) {
	if g.term == term && g.lastRenewals != nil {
		// The same office, after an entry that was not confirmed: its orders were carried out by now, or never will be.
		clear(g.pendingOrders)
		g.earliestExpiry = now
		return
	}
	g.term, g.leaderSince, g.earliestExpiry, g.nextSweepAt = term, now, now, now
	g.lastRenewals, g.candidates = map[string]epochTime{}, map[string]map[string]candidacy{}
	g.vacantSince, g.pendingOrders = map[string]float64{}, map[string]bool{}
	g.grantTimes, g.unknownToHolder, g.excluded = map[string]epochTime{}, map[string]uint64{}, map[string]exclusion{}
}

// Term is the term of this copy's office; 0: it never led.
func (g *Grantor) Term() uint64 { return g.term }

// HandleHeartbeat books a heartbeat and returns what it gives back. It answers nothing: HeartbeatReply does, once that is proven.
func (g *Grantor) HandleHeartbeat(now float64, b Heartbeat, t *Table) []Order {
	var out []Order
	for _, r := range b.Releases {
		if l := t.Leases[r.Name]; l != nil && l.Holder == b.From && l.Epoch == r.Epoch {
			out = append(out, Order{Kind: Release, Name: r.Name, Epoch: r.Epoch, Term: g.term})
			g.pendingOrders[r.Name] = true
		}
	}
	g.removeCandidacies(b.From)
	for _, name := range b.Candidacies {
		if !g.HasDuty(name) && name != PresenceName(b.From) {
			continue
		}
		if g.candidates[name] == nil {
			g.candidates[name] = map[string]candidacy{}
		}
		g.candidates[name][b.From] = candidacy{at: now, cold: b.Cold}
	}
	// What it holds and does not name counts as heard for a while: the answer will name it, and then it counts its time
	// from this heartbeat. Past that it is neither heard nor named in an answer. Guards against a server that is heard and
	// hears nothing, which would keep for good what it does not know of.
	for _, name := range t.LeasesHeldBy(b.From) {
		l := t.Leases[name]
		switch {
		case slices.Contains(b.Renewals, Ref{name, l.Epoch}), now <= g.grantedAt(name, l.Epoch)+g.GrantorWaitMS(l.TTLMS):
			g.recordRenewal(name, l.Epoch, now)
			delete(g.unknownToHolder, name)
		default:
			g.unknownToHolder[name] = l.Epoch
		}
	}
	return out
}

// removeCandidacies forgets for what a process stood. Only its own presence can have been among that beside duties, so the presences
// of others, of which there are as many as servers that come at once, are not walked.
func (g *Grantor) removeCandidacies(process string) {
	for _, d := range g.Duties {
		delete(g.candidates[d.Name], process)
	}
	delete(g.candidates, PresenceName(process))
}

// grantedAt is when a lease was granted, or for all that is known when this office began.
func (g *Grantor) grantedAt(name string, epoch uint64) float64 {
	if at := g.grantTimes[name]; at.epoch == epoch {
		return at.at
	}
	return g.leaderSince
}

func (g *Grantor) recordRenewal(name string, epoch uint64, now float64) {
	if h := g.lastRenewals[name]; h.epoch < epoch || h.epoch == epoch && h.at < now {
		g.lastRenewals[name] = epochTime{epoch, now}
	}
}

// MaxOrdersPerTick bounds the orders that Tick returns at once. A fleet that comes or goes as one is taken in several steps, so that no
// entry of the log is long in the writing, and none over the most bytes of a write.
const MaxOrdersPerTick = 512

// Tick finds whose time is up and whom to grant what nobody holds. What is over MaxOrdersPerTick is left for the next.
func (g *Grantor) Tick(now float64, t *Table) []Order {
	out := g.expiryOrders(now, t)
	return append(out, g.grantOrders(now, t, MaxOrdersPerTick-len(out))...)
}

// expiryOrders finds the leases whose time is up. To hear a holder only puts its end off, so all leases are walked no more often
// than the earliest end that the last walk found.
func (g *Grantor) expiryOrders(now float64, t *Table) (out []Order) {
	if now <= g.earliestExpiry {
		return nil
	}
	g.earliestExpiry = math.Inf(1)
	for name, l := range t.Leases {
		if l.Holder == "" || g.pendingOrders[name] {
			continue
		}
		end := g.lastRenewalAt(name, l.Epoch) + g.GrantorWaitMS(l.TTLMS)
		if now <= end {
			g.earliestExpiry = min(g.earliestExpiry, end)
			continue
		}
		if len(out) == MaxOrdersPerTick {
			g.earliestExpiry = now
			break
		}
		out = append(out, Order{Kind: Expire, Name: name, Holder: l.Holder, Epoch: l.Epoch, Term: g.term})
		g.pendingOrders[name] = true
	}
	slices.SortFunc(out, func(a, b Order) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// grantOrders finds whom to grant what nobody holds, so many at most.
func (g *Grantor) grantOrders(now float64, t *Table, maxOrders int) (out []Order) {
	grantedNow := map[string]int{} // duties that are granted in this turn, by process
	// Those who stand for a duty that is held matter to nobody, so they are looked through only now and then, lest they grow.
	sweep := now >= g.nextSweepAt
	if sweep {
		g.nextSweepAt = now + g.RenewIntervalMS
	}
	present, limited := -1, g.MaxPresent > 0 // the count matters only where it is bounded and somebody wants in
	for _, name := range slices.Sorted(maps.Keys(g.candidates)) {
		if len(out) >= maxOrders {
			break
		}
		l := t.Leases[name]
		held := l != nil && l.Holder != ""
		if sweep || !held {
			g.removeStaleCandidates(name, now)
		}
		if held {
			delete(g.vacantSince, name)
			continue
		}
		if g.pendingOrders[name] || t.Frozen[name] {
			continue
		}
		process, ttlMS := "", g.ttlMS(name)
		if p := PresenceProcess(name); p != "" {
			if limited && present < 0 {
				present = t.CountPresent()
			}
			if _, isCandidate := g.candidates[name][p]; isCandidate && (!limited || present < g.MaxPresent) {
				process, ttlMS = p, g.PresenceTTLMS
				present++
			}
		} else {
			process = g.chooseHolder(name, now, func(process string) int { return t.CountDutiesHeldBy(process) + grantedNow[process] })
		}
		if process == "" || ttlMS <= 0 {
			continue
		}
		o := Order{Kind: Grant, Name: name, Holder: process, TTLMS: ttlMS, Term: g.term}
		if l != nil {
			o.Epoch = l.Epoch
		}
		out = append(out, o)
		g.pendingOrders[name] = true
		grantedNow[process]++
	}
	return out
}

// lastRenewalAt is when the holder was last heard, in this office or, for all that is known, at its start.
func (g *Grantor) lastRenewalAt(name string, epoch uint64) float64 {
	if h := g.lastRenewals[name]; h.epoch == epoch {
		return h.at
	}
	if g.InjectedBug == BugHastyLeader {
		return g.leaderSince - g.GrantorWaitMS(g.ttlMS(name))
	}
	return g.leaderSince
}

// removeStaleCandidates forgets those that have not said for some heartbeats that they stand.
func (g *Grantor) removeStaleCandidates(name string, now float64) {
	for process, s := range g.candidates[name] {
		if now > s.at+(toleratedLostRenewals+1)*g.RenewIntervalMS*(1+g.MaxDrift) {
			delete(g.candidates[name], process)
		}
	}
	if len(g.candidates[name]) == 0 {
		delete(g.candidates, name)
	}
}

// chooseHolder picks the one with the fewest duties, ties by a draw that differs from duty to duty but not from leader to
// leader. A cold server is taken only where no other has stood for a while. Guards against all duties on one server,
// and against the first whose message came after an outage.
func (g *Grantor) chooseHolder(name string, now float64, dutyCount func(process string) int) string {
	if _, seen := g.vacantSince[name]; !seen {
		g.vacantSince[name] = now
	}
	if now < g.leaderSince+g.RenewIntervalMS*(1+g.MaxDrift) {
		return "" // all who stand have not been heard yet
	}
	coldAllowed := now > max(g.vacantSince[name], g.leaderSince)+g.ColdWaitMS
	best := ""
	for process, s := range g.candidates[name] {
		if s.cold && !coldAllowed || g.excluded[name].process == process && now < g.excluded[name].until {
			continue
		}
		if best == "" {
			best = process
			continue
		}
		b := g.candidates[name][best]
		switch {
		case s.cold != b.cold:
			if b.cold {
				best = process
			}
		case dutyCount(process) != dutyCount(best):
			if dutyCount(process) < dutyCount(best) {
				best = process
			}
		case g.tieBreakHash(name, process) < g.tieBreakHash(name, best):
			best = process
		}
	}
	return best
}

func (g *Grantor) tieBreakHash(name, process string) uint64 {
	h := fnv.New64a()
	for i := range 8 {
		h.Write([]byte{byte(g.Seed >> (8 * i))})
	}
	h.Write([]byte(name))
	h.Write([]byte{0})
	h.Write([]byte(process))
	return h.Sum64()
}

// HandleOrderResult tells that an order was carried out or refused. A grant counts as heard now: what its holder may count from is
// a heartbeat that came before.
func (g *Grantor) HandleOrderResult(now float64, o Order, t *Table) {
	if o.Term != g.term {
		return
	}
	delete(g.pendingOrders, o.Name)
	if o.Kind == Expire { // whatever kept it from renewing may keep it from knowing that it is granted again
		g.excluded[o.Name] = exclusion{o.Holder, now + g.CooldownMS}
	}
	if l := t.Leases[o.Name]; o.Kind == Grant && l != nil && l.Holder == o.Holder {
		g.recordRenewal(o.Name, l.Epoch, now)
		g.grantTimes[o.Name] = epochTime{l.Epoch, now}
		g.earliestExpiry = min(g.earliestExpiry, now+g.GrantorWaitMS(l.TTLMS))
		delete(g.vacantSince, o.Name)
	} else if l != nil && l.Holder != "" {
		g.earliestExpiry = now // an order that was refused: the lease has to be looked at again
	}
}

// Reply is what a process is told of its grants as the table has them.
func (g *Grantor) Reply(from string, seq, logIndex uint64, t *Table) HeartbeatReply {
	reply := HeartbeatReply{Seq: seq, LogIndex: logIndex}
	for _, name := range t.LeasesHeldBy(from) {
		l := t.Leases[name]
		if g.unknownToHolder[name] == l.Epoch {
			continue
		}
		reply.HeldLeases = append(reply.HeldLeases, HeldLease{Ref{name, l.Epoch}, l.TTLMS, l.Yield})
	}
	return reply
}
