package duty

import (
	"encoding/binary"
	"fmt"
	"hash/maphash"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
)

// Model checking of the lease protocol. The model has two candidates for one duty, the leader of the store with its log, and
// messages that are lost, duplicated, delayed or reordered. True time advances in steps; each participant has its own clock,
// which runs at the worst drift that the rules allow. The leader may be replaced at any time, and the former leader may go on
// receiving messages without knowing of it.

var exploreRules = Rules{ClockBounds: ClockBounds{MaxDrift: 0.1, MarginMS: 10}, RenewIntervalMS: 250, CooldownMS: 0, ColdWaitMS: 0,
	Duties: []DutyRule{{"d", 1000}}}

const (
	timeStepMS        = 400.0
	maxPrefixMessages = 5 // messages in transit during the prefix; beyond that the oldest is lost
	maxSearchMessages = 3 // messages in transit during the search
)

type message struct {
	to        int // index of the candidate, or -1 for the leader
	heartbeat Heartbeat
	reply     HeartbeatReply
}

type model struct {
	trueTime       float64
	clockRates     [4]float64 // of the two candidates, the leader and the next leader
	machines       [2]*Machine
	grantor        *Grantor
	formerGrantor  *Grantor // the former leader, with the state as of its replacement
	formerTable    *Table
	table          *Table
	logIndex       uint64
	formerLogIndex uint64
	messages       []message
	injectedBug    string
	maxMessages    int
	handledSeq     [2]uint64 // sequence number of the latest heartbeat that the leader handled, by candidate
}

var candidateIDs = [2]string{"a#1", "b#1"}

func newModel(rates [4]float64, injectedBug string) *model {
	m := &model{clockRates: rates, table: NewTable(), injectedBug: injectedBug, trueTime: 10000, maxMessages: maxPrefixMessages}
	for i := range m.machines {
		m.machines[i] = NewMachine(exploreRules, candidateIDs[i], 1)
		m.machines[i].jitter = func() float64 { return 1 }
		m.machines[i].InjectedBug = injectedBug
	}
	m.grantor = &Grantor{Rules: exploreRules, Seed: 1, InjectedBug: injectedBug}
	m.grantor.StartTerm(1, m.clock(2)-exploreRules.RenewIntervalMS*2)
	return m
}

// takePrefix takes the steps that precede a search.
func (m *model) takePrefix(prefix []string) {
	for _, s := range prefix {
		m.step(s)
	}
	m.maxMessages = maxSearchMessages
	m.messages = m.messages[max(len(m.messages)-m.maxMessages, 0):]
}

func (m *model) clock(participant int) float64 { return m.trueTime * m.clockRates[participant] }

func (m *model) clone() *model {
	c := *m
	for i, machine := range m.machines {
		n := *machine
		n.leases = map[string]*localLease{}
		for k, h := range machine.leases {
			v := *h
			n.leases[k] = &v
		}
		n.endedEpochs, n.pendingReleases, n.cooldownUntil = maps.Clone(machine.endedEpochs), maps.Clone(machine.pendingReleases),
			maps.Clone(machine.cooldownUntil)
		c.machines[i] = &n
	}
	c.grantor, c.table = m.grantor.clone(), m.table.Clone()
	if m.formerGrantor != nil {
		c.formerGrantor, c.formerTable = m.formerGrantor.clone(), m.formerTable.Clone()
	}
	c.messages = slices.Clone(m.messages)
	return &c
}

func (g *Grantor) clone() *Grantor {
	n := *g
	n.lastRenewals, n.vacantSince, n.pendingOrders = maps.Clone(g.lastRenewals), maps.Clone(g.vacantSince), maps.Clone(g.pendingOrders)
	n.grantTimes, n.unknownToHolder, n.excluded = maps.Clone(g.grantTimes), maps.Clone(g.unknownToHolder), maps.Clone(g.excluded)
	n.candidates = map[string]map[string]candidacy{}
	for k, v := range g.candidates {
		n.candidates[k] = maps.Clone(v)
	}
	return &n
}

func (m *model) send(msg message) {
	m.messages = append(m.messages, msg)
	m.messages = slices.Clone(m.messages[max(len(m.messages)-m.maxMessages, 0):])
}

// handleActions carries out the actions of a machine. A holder that is asked to yield has no act under way and releases at once.
func (m *model) handleActions(i int, actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case SendHeartbeat:
			m.send(message{to: -1, heartbeat: a.Heartbeat})
		case YieldRequested:
			m.handleActions(i, m.machines[i].Quiesced(m.clock(i), a.Ref))
		}
	}
}

// applyOrders applies orders as the log does, and sends replies to the processes that were granted a lease.
func (m *model) applyOrders(orders []Order) {
	for _, o := range orders {
		m.logIndex++
		err := m.table.Apply(o, m.grantor.term)
		m.grantor.HandleOrderResult(m.clock(2), o, m.table)
		if err == nil && o.Kind == Grant {
			for i := range candidateIDs {
				if candidateIDs[i] == o.Holder && m.handledSeq[i] > 0 {
					m.send(message{to: i, reply: m.grantor.Reply(candidateIDs[i], m.handledSeq[i], m.logIndex, m.table)})
				}
			}
		}
	}
}

var deliverSteps = [maxPrefixMessages]string{"deliver 0", "deliver 1", "deliver 2", "deliver 3", "deliver 4"}

// steps returns the steps that are possible now.
func (m *model) steps() []string {
	s := []string{"time", "run 0", "run 1", "turn", "lead"}
	for i, l := range m.messages {
		if l.to >= 0 && l.reply.LogIndex < m.machines[l.to].seenIndex {
			continue // a reply with a lower log index is ignored
		}
		s = append(s, deliverSteps[i])
		if m.formerGrantor != nil && m.injectedBug == BugUnproven && m.messages[i].to < 0 {
			s = append(s, fmt.Sprintf("deliver-old %d", i))
		}
	}
	if l := m.table.Leases["d"]; l != nil && l.Holder != "" && !l.Yield {
		s = append(s, "ask")
	}
	return s
}

func (m *model) step(s string) {
	name, arg, _ := strings.Cut(s, " ")
	n := 0
	fmt.Sscan(arg, &n)
	switch name {
	case "time":
		m.trueTime += timeStepMS
	case "run": // a stalled process is one that does not take this step
		m.machines[n].ExpediteHeartbeat()
		m.handleActions(n, m.machines[n].Tick(m.clock(n)))
	case "turn":
		m.applyOrders(m.grantor.Tick(m.clock(2), m.table))
		m.applyOrders(m.grantor.Tick(m.clock(2), m.table))
	case "lead": // another replica becomes the leader, with another clock
		term := m.grantor.term
		if m.injectedBug == BugUnproven { // without the bug, the replies of a former leader are not sent
			m.formerGrantor, m.formerTable, m.formerLogIndex = m.grantor, m.table.Clone(), m.logIndex
		}
		m.clockRates[2], m.clockRates[3] = m.clockRates[3], m.clockRates[2]
		g := &Grantor{Rules: exploreRules, Seed: 1, InjectedBug: m.injectedBug}
		m.logIndex++
		g.StartTerm(term+1, m.clock(2))
		m.grantor, m.handledSeq = g, [2]uint64{}
	case "ask":
		m.logIndex++
		m.table.RequestYield("d")
	case "deliver", "deliver-old": // the message stays, so it may be delivered again
		msg := m.messages[n]
		if msg.to >= 0 {
			m.handleActions(msg.to, m.machines[msg.to].HandleReply(m.clock(msg.to), msg.reply))
			return
		}
		i := slices.Index(candidateIDs[:], msg.heartbeat.From)
		if name == "deliver-old" { // only with the bug does a former leader reply
			m.formerGrantor.HandleHeartbeat(m.clock(3), msg.heartbeat, m.formerTable)
			m.send(message{to: i, reply: m.formerGrantor.Reply(msg.heartbeat.From, msg.heartbeat.Seq, m.formerLogIndex, m.formerTable)})
			return
		}
		m.handledSeq[i] = max(m.handledSeq[i], msg.heartbeat.Seq)
		m.applyOrders(m.grantor.HandleHeartbeat(m.clock(2), msg.heartbeat, m.table))
		m.logIndex++ // the log entry that proves the leadership
		m.send(message{to: i, reply: m.grantor.Reply(msg.heartbeat.From, msg.heartbeat.Seq, m.logIndex, m.table)})
	}
}

// violation returns a description of a violated invariant, or "".
func (m *model) violation() string {
	a, hasA := m.machines[0].ActiveGrant(m.clock(0), "d")
	b, hasB := m.machines[1].ActiveGrant(m.clock(1), "d")
	if hasA && hasB {
		return fmt.Sprintf("two holders: a of epoch %d and b of epoch %d", a.Epoch, b.Epoch)
	}
	for i, r := range []Ref{a, b} {
		if has := []bool{hasA, hasB}[i]; has && m.table.LastEpoch < r.Epoch {
			return fmt.Sprintf("candidate holds epoch %d, which was never granted", r.Epoch)
		}
	}
	return ""
}

// stateHash returns a hash of everything in the state that can affect later steps.
func (m *model) stateHash() uint64 {
	b := make([]byte, 0, 1024)
	num := func(v uint64) { b = binary.LittleEndian.AppendUint64(b, v) }
	flo := func(v float64) { num(math.Float64bits(math.Round(v * 8))) }
	flag := func(v bool) {
		if v {
			num(1)
		} else {
			num(0)
		}
	}
	str := func(s string) { num(uint64(len(s))); b = append(b, s...) }
	refs := func(rs []Ref) {
		num(uint64(len(rs)))
		for _, r := range rs {
			num(r.Epoch)
		}
	}
	for i, machine := range m.machines {
		now := m.clock(i)
		num(machine.heartbeatSeq)
		num(machine.seenIndex)
		for _, l := range m.messages { // sending times of heartbeats to which a reply can still arrive
			for _, seq := range []uint64{l.heartbeat.Seq, l.reply.Seq} {
				if at := machine.sentHeartbeats[seq%heartbeatHistorySize]; seq > 0 && at.seq == seq {
					flo(max(now-at.at, -1))
				}
			}
		}
		if hd := machine.leases["d"]; hd != nil {
			num(hd.ref.Epoch)
			flo(max(hd.until-now, 0))
			str(hd.yieldCause)
		}
		num(machine.endedEpochs["d"])
		num(machine.pendingReleases["d"].Epoch)
		flag(now >= machine.cooldownUntil["d"])
	}
	table := func(t *Table) {
		num(t.LastEpoch)
		if l := t.Leases["d"]; l != nil {
			str(l.Holder)
			num(l.Epoch)
			flag(l.Yield)
		}
	}
	grantor := func(g *Grantor, now float64) {
		num(g.term)
		flo(min(now-g.leaderSince, 5000))
		flo(min(now-g.lastRenewals["d"].at, 5000))
		num(g.lastRenewals["d"].epoch)
		flo(min(now-g.grantTimes["d"].at, 5000))
		num(g.unknownToHolder["d"])
		str(g.excluded["d"].process)
		flag(now < g.excluded["d"].until)
		for _, p := range candidateIDs {
			s, there := g.candidates["d"][p]
			flag(there)
			if there {
				flo(min(now-s.at, 5000))
			}
		}
	}
	table(m.table)
	grantor(m.grantor, m.clock(2))
	num(m.logIndex)
	num(m.handledSeq[0])
	num(m.handledSeq[1])
	if m.formerGrantor != nil && m.injectedBug == BugUnproven {
		table(m.formerTable)
		num(m.formerLogIndex)
	}
	for _, msg := range m.messages {
		num(uint64(msg.to + 1))
		num(msg.heartbeat.Seq)
		str(msg.heartbeat.From)
		refs(msg.heartbeat.Renewals)
		refs(msg.heartbeat.Releases)
		num(uint64(len(msg.heartbeat.Candidacies)))
		num(msg.reply.Seq)
		num(msg.reply.LogIndex)
		for _, g := range msg.reply.HeldLeases {
			num(g.Epoch)
			flag(g.Yield)
		}
	}
	return maphash.Bytes(hashSeed, b)
}

var hashSeed = maphash.MakeSeed()

// explore searches every order of steps up to a depth. It returns the steps to a violation and its description, if there is one,
// and the number of states seen. A state is not expanded again if it was reached before with as many steps left.
func explore(m *model, depth int) (path []string, violation string, states int) {
	stepsLeft := map[uint64]int8{}
	var search func(m *model, left int) string
	search = func(m *model, left int) string {
		if violation := m.violation(); violation != "" {
			return violation
		}
		k := m.stateHash()
		if had, known := stepsLeft[k]; left == 0 || known && int(had) >= left {
			return ""
		}
		stepsLeft[k] = int8(left)
		for _, s := range m.steps() {
			c := m.clone()
			c.step(s)
			if violation := search(c, left-1); violation != "" {
				path = append(path, s)
				return violation
			}
		}
		return ""
	}
	violation = search(m, depth)
	slices.Reverse(path)
	return path, violation, len(stepsLeft)
}

// Steps that lead to the initial states of the search: no lease; a lease just granted to candidate 0; a lease that candidate 0
// holds; a grant of which candidate 0 has not learned for a while; a lease that is held across a change of the leader.
var startingSteps = map[string][]string{
	"nobody":  nil,
	"granted": {"run 0", "deliver 0", "run 1", "deliver 2", "turn"},
	"held":    {"run 0", "deliver 0", "turn", "deliver 2", "run 1", "deliver 3"},
	"late":    {"run 0", "deliver 0", "turn", "time", "time"},
	"led":     {"run 0", "deliver 0", "turn", "deliver 2", "lead", "time", "time", "run 0"},
}

// Clock rates at the limits: holders with slow clocks hold longer, leaders with fast clocks wait less.
var extremeClockRates = [][4]float64{{0.9, 0.9, 1.1, 1.1}, {0.9, 1.1, 1.1, 0.9}, {1.1, 0.9, 0.9, 1.1}}

func TestEveryOrderOfStepsKeepsOneHolder(t *testing.T) {
	for name, prefix := range startingSteps {
		for _, rates := range extremeClockRates[:2] {
			t.Run(fmt.Sprint(name, rates), func(t *testing.T) {
				t.Parallel()
				m := newModel(rates, "")
				m.takePrefix(prefix)
				path, violation, states := explore(m, exploreDepth)
				if violation != "" {
					t.Fatalf("%s after the prefix %q and the steps %q", violation, prefix, path)
				}
				t.Logf("%d states to depth %d", states, exploreDepth)
			})
		}
	}
}

// The search finds a violation for each injected bug that it covers, with as few steps as possible.
func TestInjectedBugsAreFound(t *testing.T) {
	for injectedBug, start := range map[string]string{BugDeadlineFromReply: "late", BugHastyLeader: "held", BugUnproven: "led"} {
		t.Run(injectedBug, func(t *testing.T) {
			t.Parallel()
			m := newModel(extremeClockRates[0], injectedBug)
			m.takePrefix(startingSteps[start])
			var path []string
			var violation string
			states := 0
			for depth := 4; depth <= 8 && violation == ""; depth++ { // increasing depth, so that the steps found are few
				path, violation, states = explore(m, depth)
			}
			if violation == "" {
				t.Fatalf("not found in %d states", states)
			}
			t.Logf("%s after the prefix %q and the steps %q; %d states", violation, startingSteps[start], path, states)
		})
	}
}

// Random sequences of steps, by a seed, which are longer than the exhaustive search reaches.
func TestRandomStepsKeepOneHolder(t *testing.T) {
	for seed := range uint64(400) {
		rng := rand.New(rand.NewPCG(seed, 3))
		rates := extremeClockRates[seed%uint64(len(extremeClockRates))]
		m := newModel(rates, "")
		var path []string
		epochs, last := 0, uint64(0)
		for range 150 {
			steps := m.steps()
			s := steps[rng.IntN(len(steps))]
			if s == "lead" && rng.IntN(4) > 0 {
				s = "turn"
			}
			m.step(s)
			path = append(path, s)
			if violation := m.violation(); violation != "" {
				t.Fatalf("seed %d: %s after the steps %q", seed, violation, path)
			}
			if m.table.LastEpoch < last {
				t.Fatalf("seed %d: the latest epoch decreased from %d to %d", seed, last, m.table.LastEpoch)
			}
			if m.table.LastEpoch > last {
				epochs, last = epochs+1, m.table.LastEpoch
			}
		}
		if seed == 0 && epochs == 0 {
			t.Fatal("no lease was granted with the first seed")
		}
	}
}
