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

var exploreRules = Rules{ClockBounds: ClockBounds{MaxDrift: 0.1, MarginMS: 10}, RenewIntervalMS: 250, CooldownMS: 0, ColdWaitMS: 0, Duties: []DutyRule{{"d", 1000}}}

const (
	timeStep = 400.0
	mostMail = 5 // messages in transit during the prefix; beyond that the oldest is lost
	liveMail = 3 // messages in transit during the search
)

type mail struct {
	to        int // index of the candidate, or -1 for the leader
	heartbeat Heartbeat
	told      HeartbeatReply
}

type world struct {
	true_  float64
	rates  [4]float64 // of the two candidates, the leader and the next leader
	m      [2]*Machine
	g      *Grantor
	old    *Grantor // the former leader, with the state as of its replacement
	oldT   *Table
	t      *Table
	index  uint64
	oldIdx uint64
	mail   []mail
	plant  string
	room   int
	told   [2]uint64 // sequence number of the latest heartbeat that the leader handled, by candidate
}

var who = [2]string{"a#1", "b#1"}

func newWorld(rates [4]float64, plant string) *world {
	w := &world{rates: rates, t: NewTable(), plant: plant, true_: 10000, room: mostMail}
	for i := range w.m {
		w.m[i] = NewMachine(exploreRules, who[i], 1)
		w.m[i].spread = func() float64 { return 1 }
		w.m[i].InjectedBug = plant
	}
	w.g = &Grantor{Rules: exploreRules, Seed: 1, InjectedBug: plant}
	w.g.StartTerm(1, w.clock(2)-exploreRules.RenewIntervalMS*2)
	return w
}

// begin takes the steps that precede a search.
func (w *world) begin(prefix []string) {
	for _, s := range prefix {
		w.step(s)
	}
	w.room = liveMail
	w.mail = w.mail[max(len(w.mail)-w.room, 0):]
}

func (w *world) clock(part int) float64 { return w.true_ * w.rates[part] }

func (w *world) clone() *world {
	c := *w
	for i, m := range w.m {
		n := *m
		n.held = map[string]*holding{}
		for k, h := range m.held {
			v := *h
			n.held[k] = &v
		}
		n.past, n.gives, n.cool = maps.Clone(m.past), maps.Clone(m.gives), maps.Clone(m.cool)
		c.m[i] = &n
	}
	c.g, c.t = w.g.clone(), w.t.Clone()
	if w.old != nil {
		c.old, c.oldT = w.old.clone(), w.oldT.Clone()
	}
	c.mail = slices.Clone(w.mail)
	return &c
}

func (g *Grantor) clone() *Grantor {
	n := *g
	n.heard, n.free, n.asked = maps.Clone(g.heard), maps.Clone(g.free), maps.Clone(g.asked)
	n.given, n.deaf, n.shun = maps.Clone(g.given), maps.Clone(g.deaf), maps.Clone(g.shun)
	n.stands = map[string]map[string]stand{}
	for k, v := range g.stands {
		n.stands[k] = maps.Clone(v)
	}
	return &n
}

func (w *world) post(m mail) {
	w.mail = append(w.mail, m)
	w.mail = slices.Clone(w.mail[max(len(w.mail)-w.room, 0):])
}

// act carries out the actions of a machine. A holder that is asked to yield has no act under way and releases at once.
func (w *world) act(i int, actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case SendHeartbeat:
			w.post(mail{to: -1, heartbeat: a.Heartbeat})
		case YieldRequested:
			w.act(i, w.m[i].Quiesced(w.clock(i), a.Ref))
		}
	}
}

// carry applies orders as the log does, and sends replies to the processes that were granted a lease.
func (w *world) carry(orders []Order) {
	for _, o := range orders {
		w.index++
		err := w.t.Apply(o, w.g.term)
		w.g.HandleOrderResult(w.clock(2), o, w.t)
		if err == nil && o.Kind == Grant {
			for i := range who {
				if who[i] == o.Holder && w.told[i] > 0 {
					w.post(mail{to: i, told: w.g.Reply(who[i], w.told[i], w.index, w.t)})
				}
			}
		}
	}
}

var deliver = [mostMail]string{"deliver 0", "deliver 1", "deliver 2", "deliver 3", "deliver 4"}

// steps returns the steps that are possible now.
func (w *world) steps() []string {
	s := []string{"time", "run 0", "run 1", "turn", "lead"}
	for i, l := range w.mail {
		if l.to >= 0 && l.told.LogIndex < w.m[l.to].seen {
			continue // a reply with a lower log index is ignored
		}
		s = append(s, deliver[i])
		if w.old != nil && w.plant == BugUnproven && w.mail[i].to < 0 {
			s = append(s, fmt.Sprintf("deliver-old %d", i))
		}
	}
	if l := w.t.Leases["d"]; l != nil && l.Holder != "" && !l.Yield {
		s = append(s, "ask")
	}
	return s
}

func (w *world) step(s string) {
	name, arg, _ := strings.Cut(s, " ")
	n := 0
	fmt.Sscan(arg, &n)
	switch name {
	case "time":
		w.true_ += timeStep
	case "run": // a stalled process is one that does not take this step
		w.m[n].ExpediteHeartbeat()
		w.act(n, w.m[n].Tick(w.clock(n)))
	case "turn":
		w.carry(w.g.Tick(w.clock(2), w.t))
		w.carry(w.g.Tick(w.clock(2), w.t))
	case "lead": // another replica becomes the leader, with another clock
		term := w.g.term
		if w.plant == BugUnproven { // without the bug, the replies of a former leader are not sent
			w.old, w.oldT, w.oldIdx = w.g, w.t.Clone(), w.index
		}
		w.rates[2], w.rates[3] = w.rates[3], w.rates[2]
		g := &Grantor{Rules: exploreRules, Seed: 1, InjectedBug: w.plant}
		w.index++
		g.StartTerm(term+1, w.clock(2))
		w.g, w.told = g, [2]uint64{}
	case "ask":
		w.index++
		w.t.RequestYield("d")
	case "deliver", "deliver-old": // the message stays, so it may be delivered again
		m := w.mail[n]
		if m.to >= 0 {
			w.act(m.to, w.m[m.to].HandleReply(w.clock(m.to), m.told))
			return
		}
		i := slices.Index(who[:], m.heartbeat.From)
		if name == "deliver-old" { // only with the bug does a former leader reply
			w.old.HandleHeartbeat(w.clock(3), m.heartbeat, w.oldT)
			w.post(mail{to: i, told: w.old.Reply(m.heartbeat.From, m.heartbeat.Seq, w.oldIdx, w.oldT)})
			return
		}
		w.told[i] = max(w.told[i], m.heartbeat.Seq)
		w.carry(w.g.HandleHeartbeat(w.clock(2), m.heartbeat, w.t))
		w.index++ // the log entry that proves the leadership
		w.post(mail{to: i, told: w.g.Reply(m.heartbeat.From, m.heartbeat.Seq, w.index, w.t)})
	}
}

// broken returns a description of a violated invariant, or "".
func (w *world) broken() string {
	a, hasA := w.m[0].ActiveGrant(w.clock(0), "d")
	b, hasB := w.m[1].ActiveGrant(w.clock(1), "d")
	if hasA && hasB {
		return fmt.Sprintf("two holders: a of epoch %d and b of epoch %d", a.Epoch, b.Epoch)
	}
	for i, r := range []Ref{a, b} {
		if has := []bool{hasA, hasB}[i]; has && w.t.LastEpoch < r.Epoch {
			return fmt.Sprintf("candidate holds epoch %d, which was never granted", r.Epoch)
		}
	}
	return ""
}

// key returns a hash of everything in the state that can affect later steps.
func (w *world) key() uint64 {
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
	for i, m := range w.m {
		now := w.clock(i)
		num(m.no)
		num(m.seen)
		for _, l := range w.mail { // sending times of heartbeats to which a reply can still arrive
			for _, no := range []uint64{l.heartbeat.Seq, l.told.Seq} {
				if at := m.sent[no%keptHeartbeats]; no > 0 && at.no == no {
					flo(max(now-at.at, -1))
				}
			}
		}
		if hd := m.held["d"]; hd != nil {
			num(hd.ref.Epoch)
			flo(max(hd.until-now, 0))
			str(hd.cause)
		}
		num(m.past["d"])
		num(m.gives["d"].Epoch)
		flag(now >= m.cool["d"])
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
		flo(min(now-g.since, 5000))
		flo(min(now-g.heard["d"].at, 5000))
		num(g.heard["d"].epoch)
		flo(min(now-g.given["d"].at, 5000))
		num(g.deaf["d"])
		str(g.shun["d"].who)
		flag(now < g.shun["d"].until)
		for _, p := range who {
			s, there := g.stands["d"][p]
			flag(there)
			if there {
				flo(min(now-s.at, 5000))
			}
		}
	}
	table(w.t)
	grantor(w.g, w.clock(2))
	num(w.index)
	num(w.told[0])
	num(w.told[1])
	if w.old != nil && w.plant == BugUnproven {
		table(w.oldT)
		num(w.oldIdx)
	}
	for _, m := range w.mail {
		num(uint64(m.to + 1))
		num(m.heartbeat.Seq)
		str(m.heartbeat.From)
		refs(m.heartbeat.Renewals)
		refs(m.heartbeat.Releases)
		num(uint64(len(m.heartbeat.Candidacies)))
		num(m.told.Seq)
		num(m.told.LogIndex)
		for _, g := range m.told.Holds {
			num(g.Epoch)
			flag(g.Yield)
		}
	}
	return maphash.Bytes(hashSeed, b)
}

var hashSeed = maphash.MakeSeed()

// explore searches every order of steps up to a depth. It returns the steps to a violation and its description, if there is one,
// and the number of states seen. A state is not expanded again if it was reached before with as many steps left.
func explore(w *world, depth int) (way []string, why string, seen int) {
	togo := map[uint64]int8{}
	var down func(w *world, left int) string
	down = func(w *world, left int) string {
		if why := w.broken(); why != "" {
			return why
		}
		k := w.key()
		if had, known := togo[k]; left == 0 || known && int(had) >= left {
			return ""
		}
		togo[k] = int8(left)
		for _, s := range w.steps() {
			c := w.clone()
			c.step(s)
			if why := down(c, left-1); why != "" {
				way = append(way, s)
				return why
			}
		}
		return ""
	}
	why = down(w, depth)
	slices.Reverse(way)
	return way, why, len(togo)
}

// Steps that lead to the initial states of the search: no lease; a lease just granted to candidate 0; a lease that candidate 0
// holds; a grant of which candidate 0 has not learned for a while; a lease that is held across a change of the leader.
var starts = map[string][]string{
	"nobody":  nil,
	"granted": {"run 0", "deliver 0", "run 1", "deliver 2", "turn"},
	"held":    {"run 0", "deliver 0", "turn", "deliver 2", "run 1", "deliver 3"},
	"late":    {"run 0", "deliver 0", "turn", "time", "time"},
	"led":     {"run 0", "deliver 0", "turn", "deliver 2", "lead", "time", "time", "run 0"},
}

// Clock rates at the limits: holders with slow clocks hold longer, leaders with fast clocks wait less.
var worstRates = [][4]float64{{0.9, 0.9, 1.1, 1.1}, {0.9, 1.1, 1.1, 0.9}, {1.1, 0.9, 0.9, 1.1}}

func TestEveryOrderOfStepsKeepsOneHolder(t *testing.T) {
	for name, prefix := range starts {
		for _, rates := range worstRates[:2] {
			t.Run(fmt.Sprint(name, rates), func(t *testing.T) {
				t.Parallel()
				w := newWorld(rates, "")
				w.begin(prefix)
				way, why, seen := explore(w, exploreDepth)
				if why != "" {
					t.Fatalf("%s after the prefix %q and the steps %q", why, prefix, way)
				}
				t.Logf("%d states to depth %d", seen, exploreDepth)
			})
		}
	}
}

// The search finds a violation for each injected bug that it covers, with as few steps as possible.
func TestPlantedBugsAreFound(t *testing.T) {
	for plant, start := range map[string]string{BugDeadlineFromReply: "late", BugHastyLeader: "held", BugUnproven: "led"} {
		t.Run(plant, func(t *testing.T) {
			t.Parallel()
			w := newWorld(worstRates[0], plant)
			w.begin(starts[start])
			var way []string
			var why string
			seen := 0
			for depth := 4; depth <= 8 && why == ""; depth++ { // increasing depth, so that the steps found are few
				way, why, seen = explore(w, depth)
			}
			if why == "" {
				t.Fatalf("not found in %d states", seen)
			}
			t.Logf("%s after the prefix %q and the steps %q; %d states", why, starts[start], way, seen)
		})
	}
}

// Random sequences of steps, by a seed, which are longer than the exhaustive search reaches.
func TestLongWaysKeepOneHolder(t *testing.T) {
	for seed := range uint64(400) {
		rng := rand.New(rand.NewPCG(seed, 3))
		rates := worstRates[seed%uint64(len(worstRates))]
		w := newWorld(rates, "")
		var way []string
		epochs, last := 0, uint64(0)
		for range 150 {
			steps := w.steps()
			s := steps[rng.IntN(len(steps))]
			if s == "lead" && rng.IntN(4) > 0 {
				s = "turn"
			}
			w.step(s)
			way = append(way, s)
			if why := w.broken(); why != "" {
				t.Fatalf("seed %d: %s after the steps %q", seed, why, way)
			}
			if w.t.LastEpoch < last {
				t.Fatalf("seed %d: the latest epoch decreased from %d to %d", seed, last, w.t.LastEpoch)
			}
			if w.t.LastEpoch > last {
				epochs, last = epochs+1, w.t.LastEpoch
			}
		}
		if seed == 0 && epochs == 0 {
			t.Fatal("no lease was granted with the first seed")
		}
	}
}
