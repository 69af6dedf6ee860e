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
	SeenIndex   uint64   `json:"seen"` // highest log index of the replies that it has received
	Cold        bool     `json:"cold,omitempty"`
	Renewals    []Ref    `json:"renews,omitempty"`
	Releases    []Ref    `json:"gives,omitempty"`
	Candidacies []string `json:"stands,omitempty"`
}

// HeldLease is one held lease in a reply.
type HeldLease struct {
	Ref
	TTLMS float64 `json:"t"`
	Yield bool    `json:"y,omitempty"` // an operator wants it released
}

// HeartbeatReply is the reply to a heartbeat. It is sent only after a log entry that was written after the heartbeat arrived is
// committed. Only this proves that no other replica had become the leader by the time the heartbeat arrived.
type HeartbeatReply struct {
	Seq        uint64      `json:"no"`    // sequence number of the heartbeat
	LogIndex   uint64      `json:"index"` // log index as of which the reply is valid
	HeldLeases []HeldLease `json:"holds,omitempty"`
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

	term        uint64
	leaderSince float64 // when this replica became the leader in term

	lastRenewals    map[string]epochTime            // latest renewal by the holder, by lease
	candidates      map[string]map[string]candidacy // candidates, by lease, then by process
	vacantSince     map[string]float64              // when a duty was first seen without a holder
	pendingOrders   map[string]bool                 // leases with an order that is not yet applied
	grantTimes      map[string]epochTime            // when leases were granted in this term
	unknownToHolder map[string]uint64               // epochs of grants that their holder does not seem to know of, by lease
	excluded        map[string]exclusion            // holders whose lease expired, by lease

	nextSweepAt float64 // when stale candidates of held leases are next removed

	earliestExpiry float64 // no lease expires before this time, so until then the leases need not be scanned
}

// exclusion is a process that is not chosen for a duty until a given time.
type exclusion struct {
	process string
	until   float64
}

// epochTime is when a lease was granted or last renewed, with the epoch of the grant.
type epochTime struct {
	epoch uint64
	at    float64
}

// candidacy is the latest heartbeat by which a process was a candidate for a lease.
type candidacy struct {
	at   float64
	cold bool
}

// StartTerm starts a term in which this replica is the leader. All leases count as renewed at this moment, because an earlier
// leader may have renewed any of them until now.
func (g *Grantor) StartTerm(term uint64, now float64) {
	if g.term == term && g.lastRenewals != nil {
		// The same term, after an entry that was not confirmed: its orders have been applied by now or never will be.
		clear(g.pendingOrders)
		g.earliestExpiry = now
		return
	}
	g.term, g.leaderSince, g.earliestExpiry, g.nextSweepAt = term, now, now, now
	g.lastRenewals, g.candidates = map[string]epochTime{}, map[string]map[string]candidacy{}
	g.vacantSince, g.pendingOrders = map[string]float64{}, map[string]bool{}
	g.grantTimes, g.unknownToHolder, g.excluded = map[string]epochTime{}, map[string]uint64{}, map[string]exclusion{}
}

// Term returns the latest term in which this replica was the leader; 0: none.
func (g *Grantor) Term() uint64 { return g.term }

// HandleHeartbeat records a heartbeat and returns the releases to write to the log. The reply
// is made later by Reply, once the leadership is proven.
func (g *Grantor) HandleHeartbeat(now float64, heartbeat Heartbeat, t *Table) []Order {
	var out []Order
	for _, r := range heartbeat.Releases {
		if l := t.Leases[r.Name]; l != nil && l.Holder == heartbeat.From && l.Epoch == r.Epoch {
			out = append(out, Order{Kind: Release, Name: r.Name, Epoch: r.Epoch, Term: g.term})
			g.pendingOrders[r.Name] = true
		}
	}
	g.removeCandidacies(heartbeat.From)
	for _, name := range heartbeat.Candidacies {
		if !g.HasDuty(name) && name != PresenceName(heartbeat.From) {
			continue
		}
		if g.candidates[name] == nil {
			g.candidates[name] = map[string]candidacy{}
		}
		g.candidates[name][heartbeat.From] = candidacy{at: now, cold: heartbeat.Cold}
	}
	// A held lease that the heartbeat does not renew counts as renewed for a while after its grant: the reply will name it, and
	// then the holder measures its lease from this heartbeat. After that it is neither renewed nor named in replies. Otherwise a
	// server whose heartbeats arrive but which receives no replies would keep forever a lease that it does not know of.
	for _, name := range t.LeasesHeldBy(heartbeat.From) {
		l := t.Leases[name]
		switch {
		case slices.Contains(heartbeat.Renewals, Ref{name, l.Epoch}), now <= g.grantedAt(name, l.Epoch)+g.GrantorWaitMS(l.TTLMS):
			g.recordRenewal(name, l.Epoch, now)
			delete(g.unknownToHolder, name)
		default:
			g.unknownToHolder[name] = l.Epoch
		}
	}
	return out
}

// removeCandidacies removes all candidacies of a process. These can only be for duties and for its own presence lease, so the
// presence leases of others, whose number grows with the servers that start at once, are not scanned.
func (g *Grantor) removeCandidacies(process string) {
	for _, d := range g.Duties {
		delete(g.candidates[d.Name], process)
	}
	delete(g.candidates, PresenceName(process))
}

// grantedAt returns when a lease was granted, or the start of the term if it was granted before.
func (g *Grantor) grantedAt(name string, epoch uint64) float64 {
	if at := g.grantTimes[name]; at.epoch == epoch {
		return at.at
	}
	return g.leaderSince
}

// recordRenewal records a renewal, unless a later one is recorded already.
func (g *Grantor) recordRenewal(name string, epoch uint64, now float64) {
	if last := g.lastRenewals[name]; last.epoch < epoch || last.epoch == epoch && last.at < now {
		g.lastRenewals[name] = epochTime{epoch, now}
	}
}

// MaxOrdersPerTick is the maximum number of orders that Tick returns at once. A large fleet that joins or leaves at once is
// handled in several steps, so that no log entry takes long to write or exceeds the maximum size of a write.
const MaxOrdersPerTick = 512

// Tick returns the orders that are due: expired leases, and grants of leases without a holder. Orders beyond
// MaxOrdersPerTick are left for the next call.
func (g *Grantor) Tick(now float64, t *Table) []Order {
	out := g.expiryOrders(now, t)
	return append(out, g.grantOrders(now, t, MaxOrdersPerTick-len(out))...)
}

// expiryOrders returns orders for the leases that have expired. A heartbeat can only postpone an expiry, so the leases are not
// scanned again before the earliest expiry that the last scan found.
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

// grantOrders returns up to maxOrders orders that grant leases without a holder.
func (g *Grantor) grantOrders(now float64, t *Table, maxOrders int) (out []Order) {
	grantedNow := map[string]int{} // leases granted in this call, by process
	// Candidates for a held lease are not needed, so their stale entries are only removed from time to time, to bound memory.
	sweep := now >= g.nextSweepAt
	if sweep {
		g.nextSweepAt = now + g.RenewIntervalMS
	}
	present, limited := -1, g.MaxPresent > 0 // counted only if there is a limit and a candidate
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

// lastRenewalAt returns the time of the last heartbeat that renewed a lease, or the start of the term if there was none since.
func (g *Grantor) lastRenewalAt(name string, epoch uint64) float64 {
	if last := g.lastRenewals[name]; last.epoch == epoch {
		return last.at
	}
	if g.InjectedBug == BugHastyLeader {
		return g.leaderSince - g.GrantorWaitMS(g.ttlMS(name))
	}
	return g.leaderSince
}

// removeStaleCandidates removes the candidates of a lease from which no heartbeat has come for some intervals.
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

// chooseHolder returns the candidate with the fewest duties, or "". Ties are broken by a hash that depends on the duty but not on
// the leader. A cold server is chosen only if there is no warm candidate and the duty has had no holder for ColdWaitMS. This
// spreads the duties: otherwise the server whose heartbeat comes first after an outage would get all of them.
func (g *Grantor) chooseHolder(name string, now float64, dutyCount func(process string) int) string {
	if _, seen := g.vacantSince[name]; !seen {
		g.vacantSince[name] = now
	}
	if now < g.leaderSince+g.RenewIntervalMS*(1+g.MaxDrift) {
		return "" // some candidates may not have sent a heartbeat to this leader yet
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

// HandleOrderResult records that an order was applied or refused. A grant counts as renewed now, since its holder measures the
// lease from an earlier heartbeat.
func (g *Grantor) HandleOrderResult(now float64, o Order, t *Table) {
	if o.Term != g.term {
		return
	}
	delete(g.pendingOrders, o.Name)
	if o.Kind == Expire { // the cause of the missed renewals may also keep it from learning of a new grant
		g.excluded[o.Name] = exclusion{o.Holder, now + g.CooldownMS}
	}
	if l := t.Leases[o.Name]; o.Kind == Grant && l != nil && l.Holder == o.Holder {
		g.recordRenewal(o.Name, l.Epoch, now)
		g.grantTimes[o.Name] = epochTime{l.Epoch, now}
		g.earliestExpiry = min(g.earliestExpiry, now+g.GrantorWaitMS(l.TTLMS))
		delete(g.vacantSince, o.Name)
	} else if l != nil && l.Holder != "" {
		g.earliestExpiry = now // the order was refused: the lease has to be checked again
	}
}

// Reply returns the reply to a heartbeat, with the leases that the process holds according to the table.
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
