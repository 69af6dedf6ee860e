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

// The world of the exploration: two candidates for one duty, the copy that leads with the log behind it, and messages
// that are lost, come twice, late or in another order. True time goes on in steps; each part has a clock of its own that
// runs at the worst rate that the terms allow. A leader may be replaced at any time, and the one before may go on
// hearing messages without knowing of it.

var exploreRules = Rules{ClockBounds: ClockBounds{MaxDrift: 0.1, MarginMS: 10}, RenewIntervalMS: 250, CooldownMS: 0, ColdWaitMS: 0, Duties: []DutyRule{{"d", 1000}}}

const (
	timeStepMS        = 400.0
	maxPrefixMessages = 5 // messages that can still come at the start; the oldest is lost for good
	maxSearchMessages = 3 // and in the exploration
)

type message struct {
	to        int // candidate, or -1: the copy
	heartbeat Heartbeat
	reply     HeartbeatReply
}

type model struct {
	trueTime       float64
	clockRates     [4]float64 // of the candidates, the leader, and the next leader
	machines       [2]*Machine
	grantor        *Grantor
	formerGrantor  *Grantor // the leader before, and the table as it knew it
	formerTable    *Table
	table          *Table
	logIndex       uint64
	formerLogIndex uint64
	messages       []message
	injectedBug    string
	maxMessages    int
	handledSeq     [2]uint64 // the latest heartbeat that the leader took from each
}

var candidateIDs = [2]string{"a#1", "b#1"}

func newModel(rates [4]float64, injectedBug string) *model {
	w := &model{clockRates: rates, table: NewTable(), injectedBug: injectedBug, trueTime: 10000, maxMessages: maxPrefixMessages}
	for i := range w.machines {
		w.machines[i] = NewMachine(exploreRules, candidateIDs[i], 1)
		w.machines[i].jitter = func() float64 { return 1 }
		w.machines[i].InjectedBug = injectedBug
	}
	w.grantor = &Grantor{Rules: exploreRules, Seed: 1, InjectedBug: injectedBug}
	w.grantor.StartTerm(1, w.clock(2)-exploreRules.RenewIntervalMS*2)
	return w
}

// takePrefix goes the steps before an exploration.
func (w *model) takePrefix(prefix []string) {
	for _, s := range prefix {
		w.step(s)
	}
	w.maxMessages = maxSearchMessages
	w.messages = w.messages[max(len(w.messages)-w.maxMessages, 0):]
}

func (w *model) clock(participant int) float64 { return w.trueTime * w.clockRates[participant] }

func (w *model) clone() *model {
	c := *w
	for i, m := range w.machines {
		n := *m
		n.leases = map[string]*localLease{}
		for k, h := range m.leases {
			v := *h
			n.leases[k] = &v
		}
		n.endedEpochs, n.pendingReleases, n.cooldownUntil = maps.Clone(m.endedEpochs), maps.Clone(m.pendingReleases), maps.Clone(m.cooldownUntil)
		c.machines[i] = &n
	}
	c.grantor, c.table = w.grantor.clone(), w.table.Clone()
	if w.formerGrantor != nil {
		c.formerGrantor, c.formerTable = w.formerGrantor.clone(), w.formerTable.Clone()
	}
	c.messages = slices.Clone(w.messages)
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

func (w *model) send(m message) {
	w.messages = append(w.messages, m)
	w.messages = slices.Clone(w.messages[max(len(w.messages)-w.maxMessages, 0):])
}

// handleActions does what a machine wants done; a holder that is asked to yield has nothing under way.
func (w *model) handleActions(i int, actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case SendHeartbeat:
			w.send(message{to: -1, heartbeat: a.Heartbeat})
		case YieldRequested:
			w.handleActions(i, w.machines[i].Quiesced(w.clock(i), a.Ref))
		}
	}
}

// applyOrders carries orders out, as the log does, and tells those that were granted something.
func (w *model) applyOrders(orders []Order) {
	for _, o := range orders {
		w.logIndex++
		err := w.table.Apply(o, w.grantor.term)
		w.grantor.HandleOrderResult(w.clock(2), o, w.table)
		if err == nil && o.Kind == Grant {
			for i := range candidateIDs {
				if candidateIDs[i] == o.Holder && w.handledSeq[i] > 0 {
					w.send(message{to: i, reply: w.grantor.Reply(candidateIDs[i], w.handledSeq[i], w.logIndex, w.table)})
				}
			}
		}
	}
}

var deliverSteps = [maxPrefixMessages]string{"deliver 0", "deliver 1", "deliver 2", "deliver 3", "deliver 4"}

// The steps that the world can take.
func (w *model) steps() []string {
	s := []string{"time", "run 0", "run 1", "turn", "lead"}
	for i, l := range w.messages {
		if l.to >= 0 && l.reply.LogIndex < w.machines[l.to].seenIndex {
			continue // it changes nothing
		}
		s = append(s, deliverSteps[i])
		if w.formerGrantor != nil && w.injectedBug == BugUnproven && w.messages[i].to < 0 {
			s = append(s, fmt.Sprintf("deliver-old %d", i))
		}
	}
	if l := w.table.Leases["d"]; l != nil && l.Holder != "" && !l.Yield {
		s = append(s, "ask")
	}
	return s
}

func (w *model) step(s string) {
	name, arg, _ := strings.Cut(s, " ")
	n := 0
	fmt.Sscan(arg, &n)
	switch name {
	case "time":
		w.trueTime += timeStepMS
	case "run": // it may never run: then it stands still, and what it believes goes by its clock alone
		w.machines[n].ExpediteHeartbeat()
		w.handleActions(n, w.machines[n].Tick(w.clock(n)))
	case "turn":
		w.applyOrders(w.grantor.Tick(w.clock(2), w.table))
		w.applyOrders(w.grantor.Tick(w.clock(2), w.table))
	case "lead": // another copy leads, with another clock
		term := w.grantor.term
		if w.injectedBug == BugUnproven { // else it answers nothing that counts
			w.formerGrantor, w.formerTable, w.formerLogIndex = w.grantor, w.table.Clone(), w.logIndex
		}
		w.clockRates[2], w.clockRates[3] = w.clockRates[3], w.clockRates[2]
		g := &Grantor{Rules: exploreRules, Seed: 1, InjectedBug: w.injectedBug}
		w.logIndex++
		g.StartTerm(term+1, w.clock(2))
		w.grantor, w.handledSeq = g, [2]uint64{}
	case "ask":
		w.logIndex++
		w.table.RequestYield("d")
	case "deliver", "deliver-old": // a message stays: it may come again
		m := w.messages[n]
		if m.to >= 0 {
			w.handleActions(m.to, w.machines[m.to].HandleReply(w.clock(m.to), m.reply))
			return
		}
		i := slices.Index(candidateIDs[:], m.heartbeat.From)
		if name == "deliver-old" { // only a leader that needs no proof answers
			w.formerGrantor.HandleHeartbeat(w.clock(3), m.heartbeat, w.formerTable)
			w.send(message{to: i, reply: w.formerGrantor.Reply(m.heartbeat.From, m.heartbeat.Seq, w.formerLogIndex, w.formerTable)})
			return
		}
		w.handledSeq[i] = max(w.handledSeq[i], m.heartbeat.Seq)
		w.applyOrders(w.grantor.HandleHeartbeat(w.clock(2), m.heartbeat, w.table))
		w.logIndex++ // the entry that proves it
		w.send(message{to: i, reply: w.grantor.Reply(m.heartbeat.From, m.heartbeat.Seq, w.logIndex, w.table)})
	}
}

// violation tells what must never be so.
func (w *model) violation() string {
	a, hasA := w.machines[0].ActiveGrant(w.clock(0), "d")
	b, hasB := w.machines[1].ActiveGrant(w.clock(1), "d")
	if hasA && hasB {
		return fmt.Sprintf("two holders: a of epoch %d and b of epoch %d", a.Epoch, b.Epoch)
	}
	for i, r := range []Ref{a, b} {
		if has := []bool{hasA, hasB}[i]; has && w.table.LastEpoch < r.Epoch {
			return fmt.Sprintf("epoch %d was never granted", r.Epoch)
		}
	}
	return ""
}

// stateHash tells worlds apart that can go on differently.
func (w *model) stateHash() uint64 {
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
	for i, m := range w.machines {
		now := w.clock(i)
		num(m.heartbeatSeq)
		num(m.seenIndex)
		for _, l := range w.messages { // times of heartbeats that can still be answered
			for _, seq := range []uint64{l.heartbeat.Seq, l.reply.Seq} {
				if at := m.sentHeartbeats[seq%heartbeatHistorySize]; seq > 0 && at.no == seq {
					flo(max(now-at.at, -1))
				}
			}
		}
		if hd := m.leases["d"]; hd != nil {
			num(hd.ref.Epoch)
			flo(max(hd.until-now, 0))
			str(hd.yieldCause)
		}
		num(m.endedEpochs["d"])
		num(m.pendingReleases["d"].Epoch)
		flag(now >= m.cooldownUntil["d"])
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
	table(w.table)
	grantor(w.grantor, w.clock(2))
	num(w.logIndex)
	num(w.handledSeq[0])
	num(w.handledSeq[1])
	if w.formerGrantor != nil && w.injectedBug == BugUnproven {
		table(w.formerTable)
		num(w.formerLogIndex)
	}
	for _, m := range w.messages {
		num(uint64(m.to + 1))
		num(m.heartbeat.Seq)
		str(m.heartbeat.From)
		refs(m.heartbeat.Renewals)
		refs(m.heartbeat.Releases)
		num(uint64(len(m.heartbeat.Candidacies)))
		num(m.reply.Seq)
		num(m.reply.LogIndex)
		for _, g := range m.reply.HeldLeases {
			num(g.Epoch)
			flag(g.Yield)
		}
	}
	return maphash.Bytes(hashSeed, b)
}

var hashSeed = maphash.MakeSeed()

// explore looks at every order of steps up to a depth; it returns a way to what must not be, and how many worlds it saw.
// A world that was seen with as many steps to go is not gone on from again.
func explore(w *model, depth int) (path []string, violation string, states int) {
	stepsLeft := map[uint64]int8{}
	var search func(w *model, left int) string
	search = func(w *model, left int) string {
		if violation := w.violation(); violation != "" {
			return violation
		}
		k := w.stateHash()
		if had, known := stepsLeft[k]; left == 0 || known && int(had) >= left {
			return ""
		}
		stepsLeft[k] = int8(left)
		for _, s := range w.steps() {
			c := w.clone()
			c.step(s)
			if violation := search(c, left-1); violation != "" {
				path = append(path, s)
				return violation
			}
		}
		return ""
	}
	violation = search(w, depth)
	slices.Reverse(path)
	return path, violation, len(stepsLeft)
}

// Starts of the exploration: a holds the duty, or is about to hear of it, and b stands for it.
var startingSteps = map[string][]string{
	"nobody":  nil,
	"granted": {"run 0", "deliver 0", "run 1", "deliver 2", "turn"},
	"held":    {"run 0", "deliver 0", "turn", "deliver 2", "run 1", "deliver 3"},
	"late":    {"run 0", "deliver 0", "turn", "time", "time"},
	"led":     {"run 0", "deliver 0", "turn", "deliver 2", "lead", "time", "time", "run 0"},
}

// Worst rates: holders that run slow hold longer, leaders that run fast wait less.
var extremeClockRates = [][4]float64{{0.9, 0.9, 1.1, 1.1}, {0.9, 1.1, 1.1, 0.9}, {1.1, 0.9, 0.9, 1.1}}

func TestEveryOrderOfStepsKeepsOneHolder(t *testing.T) {
	for name, prefix := range startingSteps {
		for _, rates := range extremeClockRates[:2] {
			t.Run(fmt.Sprint(name, rates), func(t *testing.T) {
				t.Parallel()
				w := newModel(rates, "")
				w.takePrefix(prefix)
				path, violation, states := explore(w, exploreDepth)
				if violation != "" {
					t.Fatalf("%s after %q and %q", violation, prefix, path)
				}
				t.Logf("%d worlds to depth %d", states, exploreDepth)
			})
		}
	}
}

// Each planted bug is found, with the shortest way to it.
func TestInjectedBugsAreFound(t *testing.T) {
	for injectedBug, start := range map[string]string{BugDeadlineFromReply: "late", BugHastyLeader: "held", BugUnproven: "led"} {
		t.Run(injectedBug, func(t *testing.T) {
			t.Parallel()
			w := newModel(extremeClockRates[0], injectedBug)
			w.takePrefix(startingSteps[start])
			var path []string
			var violation string
			states := 0
			for depth := 4; depth <= 8 && violation == ""; depth++ { // shallow first, so that the way is short
				path, violation, states = explore(w, depth)
			}
			if violation == "" {
				t.Fatalf("not found in %d worlds", states)
			}
			t.Logf("%s after %q, %q; %d worlds", violation, startingSteps[start], path, states)
		})
	}
}

// Long ways, drawn by a seed, where the exhaustive search ends.
func TestRandomStepsKeepOneHolder(t *testing.T) {
	for seed := range uint64(400) {
		rng := rand.New(rand.NewPCG(seed, 3))
		rates := extremeClockRates[seed%uint64(len(extremeClockRates))]
		w := newModel(rates, "")
		var path []string
		epochs, last := 0, uint64(0)
		for range 150 {
			steps := w.steps()
			s := steps[rng.IntN(len(steps))]
			if s == "lead" && rng.IntN(4) > 0 {
				s = "turn"
			}
			w.step(s)
			path = append(path, s)
			if violation := w.violation(); violation != "" {
				t.Fatalf("seed %d: %s after %q", seed, violation, path)
			}
			if w.table.LastEpoch < last {
				t.Fatalf("seed %d: the epoch fell from %d to %d", seed, last, w.table.LastEpoch)
			}
			if w.table.LastEpoch > last {
				epochs, last = epochs+1, w.table.LastEpoch
			}
		}
		if seed == 0 && epochs == 0 {
			t.Fatal("nothing was ever granted")
		}
	}
}
