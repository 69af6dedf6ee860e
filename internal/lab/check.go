package lab

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/anishathalye/porcupine"

	"puffinsaddle/internal/duty"
	"puffinsaddle/internal/state"
	"puffinsaddle/internal/store"
	"puffinsaddle/internal/trace"
)

func sha256Hex(text string) string {
	s := sha256.Sum256([]byte(text))
	return hex.EncodeToString(s[:])
}

// Violation is a violated invariant, with the trace events that show it.
type Violation struct {
	Rule  string        `json:"rule"`
	Text  string        `json:"text"`
	Trace []trace.Event `json:"trace,omitempty"`
}

// Holding is an interval in which a process believed that it held a duty. From and To are in ms of the machine's clock.
type Holding struct {
	Duty, Who string
	Epoch     uint64
	From, To  float64
	EndCause  string // why it ended
	first     trace.Event
	last      trace.Event
}

// Findings is the checker's result for one run.
type Findings struct {
	Violations     []Violation
	Holdings       map[string][]Holding // by duty, ordered by From
	Gaps           []Gap
	Commands       int // fenced commands that took effect
	StaleRefused   int // fenced commands refused because of their epoch
	Handovers      int
	Effects        int
	EffectsTwice   int
	MaxSharesMilli int64     // the largest sum of shares in force at once, in thousandths of a call
	Diverged       int       // store replicas whose state was found to differ from that of a majority
	Rejoined       int       // store replicas that rejoined, for whatever reason
	CatchUpMS      []float64 // ms from a replica's request to rejoin until it took part with the full state
}

// Gap is an interval in which no process held a duty. From and To are in ms of the machine's clock.
type Gap struct {
	Duty        string
	From, To    float64
	Cause       string  // why the preceding holder's lease ended
	NewLeaderAt float64 // when another leader started to grant duties in the gap, in ms; 0: none did
}

// LengthMS returns the length of the gap in ms.
func (g Gap) LengthMS() float64 { return g.To - g.From }

// SinceNewLeaderMS returns how many ms the leader that was elected in the gap took to grant the duty.
func (g Gap) SinceNewLeaderMS() float64 { return g.To - g.NewLeaderAt }

// Excessive reports whether a gap is longer than the lab's lease settings explain. The leader waits for the TTL of a holder
// that ends without a release, counted from its last heartbeat or from the start of the leader's term; it doesn't wait after
// a yield or drain. One renewal interval is allowed on top, for the session and for a few log entries.
func (g Gap) Excessive() bool {
	waitMS := ttlMS * (1 + maxClockDrift)
	if g.Cause == duty.CauseYield || g.Cause == duty.CauseDrain {
		waitMS = 0
	}
	return g.To-max(g.From, g.NewLeaderAt) > (waitMS+renewMS)/(1-maxClockDrift)
}

// Check checks the invariants on the merged traces of all processes.
func Check(o *Outcome) *Findings {
	f := &Findings{Holdings: map[string][]Holding{}}
	for _, c := range o.Failures {
		f.Violations = append(f.Violations, Violation{Rule: "no process fails", Text: c})
	}
	f.checkHolders(o)
	f.checkLog(o)
	f.checkShares(o)
	f.checkEffects(o)
	f.checkCounters(o)
	f.checkDivergence(o)
	return f
}

// addViolation records a violation. After 20 violations it records a rule only once.
func (f *Findings) addViolation(rule, text string, lines ...trace.Event) {
	for _, v := range f.Violations {
		if v.Rule == rule && len(f.Violations) > 20 {
			return
		}
	}
	f.Violations = append(f.Violations, Violation{rule, text, lines})
}

// killTimes returns the times at which processes were killed, by process name.
func killTimes(o *Outcome) map[string][]float64 {
	times := map[string][]float64{}
	for _, e := range o.Events {
		if e.What == "killed" {
			times[e.Who] = append(times[e.Who], e.At)
		}
	}
	return times
}

// processName returns the server's name, without the number that distinguishes its successive processes.
func processName(who string) string {
	name, _, _ := strings.Cut(who, "#")
	return name
}

// checkHolders checks that no two processes believed at the same time that they held a duty, and that epochs only increase.
func (f *Findings) checkHolders(o *Outcome) {
	kills := killTimes(o)
	type key struct {
		duty, who string
		epoch     uint64
	}
	open := map[key]*Holding{}
	var all []*Holding
	for _, e := range o.Events {
		if duty.PresenceProcess(e.Duty) != "" {
			continue
		}
		k := key{e.Duty, e.Who, e.Epoch}
		switch e.What {
		case trace.LeaseGained:
			s := &Holding{Duty: e.Duty, Who: e.Who, Epoch: e.Epoch, From: e.At, To: e.Until, first: e, last: e}
			open[k] = s
			all = append(all, s)
		case trace.LeaseRenewed:
			if s := open[k]; s != nil {
				s.To, s.last = max(s.To, e.Until), e
			}
		case trace.LeaseEnded:
			if s := open[k]; s != nil {
				s.To, s.EndCause = min(s.To, e.At), e.Cause
				s.last = e
				delete(open, k)
			}
		}
	}
	for _, s := range all {
		for _, at := range kills[processName(s.Who)] {
			if at > s.From && at < s.To {
				s.To, s.EndCause = at, "killed"
			}
		}
		f.Holdings[s.Duty] = append(f.Holdings[s.Duty], *s)
	}
	for _, name := range slices.Sorted(maps.Keys(f.Holdings)) {
		holdings := f.Holdings[name]
		slices.SortFunc(holdings, func(a, b Holding) int { return cmp.Compare(a.From, b.From) })
		holderByEpoch := map[uint64]string{}
		for i, s := range holdings {
			if other, known := holderByEpoch[s.Epoch]; known && other != s.Who {
				f.addViolation("an epoch has one holder", fmt.Sprintf("%s epoch %d was held by %s and by %s", name, s.Epoch, other, s.Who), s.first)
			}
			holderByEpoch[s.Epoch] = s.Who
			if i == 0 {
				continue
			}
			before := holdings[0] // the earlier interval that ends last
			for _, b := range holdings[:i] {
				if b.To > before.To {
					before = b
				}
			}
			if before.To > s.From && before.Who != s.Who {
				f.addViolation("one holder at a time", fmt.Sprintf("%s: %s held epoch %d until %.1f ms after %s began to hold epoch %d",
					name, before.Who, before.Epoch, before.To-s.From, s.Who, s.Epoch), before.first, before.last, s.first)
			}
			if s.Epoch <= holdings[i-1].Epoch {
				f.addViolation("epochs only increase", fmt.Sprintf("%s: %d after %d", name, s.Epoch, holdings[i-1].Epoch), holdings[i-1].first, s.first)
			}
			if before.Who != s.Who {
				f.Handovers++
			}
			if s.From > before.To && before.To > o.LoadStartMS {
				f.Gaps = append(f.Gaps, Gap{name, before.To, s.From, before.EndCause, lastTermStart(o, before.To, s.From)})
			}
		}
	}
}

// lastTermStart returns when a leader last started to grant duties between two times, or 0 if none did.
func lastTermStart(o *Outcome, from, to float64) (at float64) {
	for _, e := range o.Events {
		if e.What == trace.TermStarted && e.At > from && e.At < to {
			at = e.At
		}
	}
	return at
}

// checkLog checks that all store replicas applied the same log entries, and that no fenced command took effect after its epoch
// had ended.
func (f *Findings) checkLog(o *Outcome) {
	entries := map[uint64]trace.Event{}
	for _, e := range o.Events {
		if e.What != trace.EntryApplied {
			continue
		}
		first, known := entries[e.Index]
		if !known {
			entries[e.Index] = e
			continue
		}
		if e.Text == state.OpCompareDigests { // the replica's memory may be corrupt, which checkDivergence checks
			continue
		}
		if first.Term != e.Term || first.Text != e.Text || first.Cause != e.Cause || first.Duty != e.Duty || first.Epoch != e.Epoch {
			f.addViolation("replicas agree", fmt.Sprintf("entry %d differs between %s and %s", e.Index, first.Who, e.Who), first, e)
		}
	}
	newestEpoch := map[string]uint64{} // epoch of the latest fenced command that took effect, by duty
	endEntry := map[string]trace.Event{}
	holder := map[string]string{}
	for _, i := range slices.Sorted(maps.Keys(entries)) {
		e := entries[i]
		switch e.Text {
		case "orders":
			for _, part := range strings.Split(e.Cause, "; ") {
				words := strings.Fields(part)
				if len(words) < 2 {
					continue
				}
				if words[0] == duty.Grant && len(words) > 2 {
					holder[words[1]] = words[2]
					delete(endEntry, words[1])
				} else if words[0] != duty.Grant {
					endEntry[words[1]] = e
				}
			}
		case "act":
			if e.Cause != "" {
				if strings.Contains(e.Cause, duty.ErrStale.Error()) {
					f.StaleRefused++
				}
				continue
			}
			f.Commands++
			if end, hasEnded := endEntry[e.Duty]; hasEnded {
				f.addViolation("no command of an old epoch takes effect", fmt.Sprintf("%s: a command of epoch %d took effect as entry %d, after entry %d had ended the epoch",
					e.Duty, e.Epoch, i, end.Index), end, e)
			}
			if e.Epoch < newestEpoch[e.Duty] {
				f.addViolation("no command of an old epoch takes effect", fmt.Sprintf("%s: a command of epoch %d took effect as entry %d, after one of epoch %d",
					e.Duty, e.Epoch, i, newestEpoch[e.Duty]), e)
			}
			newestEpoch[e.Duty] = max(newestEpoch[e.Duty], e.Epoch)
		}
	}
}

// checkShares checks that the sum of the shares in force never exceeded the pool.
func (f *Findings) checkShares(o *Outcome) {
	kills := killTimes(o)
	type step struct {
		at    float64
		delta int64
		e     trace.Event
	}
	type span struct {
		from, to float64
		amount   int64
		e        trace.Event
	}
	latest := map[string]*span{}
	var all []*span
	for _, e := range o.Events {
		switch e.What {
		case trace.ShareInForce:
			if s := latest[e.Who]; s != nil {
				if s.amount == e.Amount {
					s.to = max(s.to, e.Until)
					continue
				}
				s.to = min(s.to, e.At)
			}
			s := &span{e.At, e.Until, e.Amount, e}
			latest[e.Who] = s
			all = append(all, s)
		case trace.LeaseEnded:
			if duty.PresenceProcess(e.Duty) == e.Who {
				if s := latest[e.Who]; s != nil {
					s.to = min(s.to, e.At)
					delete(latest, e.Who)
				}
			}
		}
	}
	var steps []step
	for _, s := range all {
		for _, at := range kills[processName(s.e.Who)] {
			if at > s.from && at < s.to {
				s.to = at
			}
		}
		if s.to > s.from && s.amount > 0 {
			steps = append(steps, step{s.from, s.amount, s.e}, step{s.to, -s.amount, s.e})
		}
	}
	slices.SortStableFunc(steps, func(a, b step) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.delta, b.delta)) // at equal times, the ends sort before the beginnings
	})
	sum := int64(0)
	for _, s := range steps {
		sum += s.delta
		f.MaxSharesMilli = max(f.MaxSharesMilli, sum)
		if sum > o.PoolMilli && s.delta > 0 {
			f.addViolation("shares stay within the pool", fmt.Sprintf("%d of %d thousandths are in force, %d of them of %s", sum, o.PoolMilli, s.delta, s.e.Who), s.e)
		}
	}
}

// checkDivergence checks that the comparison between store replicas found each replica whose memory was corrupted, and that it
// reported no other replica.
func (f *Findings) checkDivergence(o *Outcome) {
	corruptedBy := map[string]trace.Event{}
	rejoinAt := map[string]float64{}
	for _, e := range o.Events {
		who := processName(e.Who)
		switch {
		case e.What == eventCorrupted:
			corruptedBy[who] = e
		case e.What == "killed", e.What == trace.ProcessStarted:
			delete(corruptedBy, who) // the corrupt memory was lost with the process
			delete(rejoinAt, who)
		case e.What == trace.ReplicaPhase && e.Text == store.PhaseRejoining:
			f.Rejoined++
			rejoinAt[who] = e.At
			if !strings.Contains(e.Cause, "differs from that of a majority") {
				continue
			}
			f.Diverged++
			if _, corrupted := corruptedBy[who]; !corrupted {
				f.addViolation("only corrupt replicas differ", who+" was found to differ, and its memory had not been corrupted", e)
			}
			delete(corruptedBy, who)
		case e.What == trace.ReplicaPhase && e.Text == store.PhaseRunning && rejoinAt[who] > 0:
			f.CatchUpMS = append(f.CatchUpMS, e.At-rejoinAt[who])
			delete(rejoinAt, who)
		}
	}
	for who, e := range corruptedBy {
		if o.LoadEndMS-e.At > 1000*compareAllSeconds {
			f.addViolation("corrupt replicas are found", fmt.Sprintf("%s was corrupted %.1f s before the end and not found", who, (o.LoadEndMS-e.At)/1000), e)
		}
	}
}

// checkEffects checks that no effect ran twice.
func (f *Findings) checkEffects(o *Outcome) {
	first := map[string]trace.Event{}
	for _, e := range o.Events {
		if e.What != trace.EffectExecuted {
			continue
		}
		f.Effects++
		if earlier, again := first[e.Text]; again {
			f.EffectsTwice++
			f.addViolation("no effect runs twice", fmt.Sprintf("%s ran at %s and at %s", e.Text, earlier.Who, e.Who), earlier, e)
		}
		first[e.Text] = e
	}
}

// counterInput is the input of one fenced command that increments a duty's counter under an epoch.
type counterInput struct {
	epoch     uint64
	confirmed bool // the response arrived
}

// counterState is the state of a duty's counter.
type counterState struct {
	epoch, count uint64
}

// counterModel is the specification of the counter: a command whose epoch is lower than the highest one executed has no
// effect, so a command that is confirmed as executed increments the counter by one under an epoch that is not lower.
var counterModel = porcupine.Model{
	Init: func() any { return counterState{} },
	Step: func(s, in, out any) (bool, any) {
		st, m := s.(counterState), in.(counterInput)
		if m.confirmed && out.(uint64) != st.count+1 {
			return false, st
		}
		if m.epoch < st.epoch {
			return !m.confirmed, st // without a response the command may have been refused
		}
		return true, counterState{m.epoch, st.count + 1}
	},
	Equal: func(a, b any) bool { return a == b },
}

// checkCounters checks that the fenced commands on each duty's counter are linearizable.
func (f *Findings) checkCounters(o *Outcome) {
	ops := map[string][]porcupine.Operation{}
	clientIDs := map[string]int{}
	type commandKey struct {
		who, duty string
		began     float64
	}
	open := map[commandKey]trace.Event{}
	var all []trace.Event
	for _, e := range o.Events {
		k := commandKey{e.Who, e.Duty, e.Began}
		switch {
		case e.Text != "mark":
		case e.What == trace.CommandSent:
			open[k] = e
		case e.What == trace.CommandExecuted:
			all = append(all, e)
			delete(open, k)
		case e.What == trace.CommandRefused:
			delete(open, k)
		}
	}
	for _, e := range open { // no response, or the process was killed before it recorded one
		e.What = trace.CommandUnconfirmed
		all = append(all, e)
	}
	for _, e := range all {
		if _, known := clientIDs[e.Who]; !known {
			clientIDs[e.Who] = len(clientIDs)
		}
		op := porcupine.Operation{ClientId: clientIDs[e.Who], Input: counterInput{e.Epoch, e.What == trace.CommandExecuted}, Call: int64(e.Began * 1e6), Output: e.N, Return: int64(e.At * 1e6)}
		if e.What == trace.CommandUnconfirmed {
			op.Return = math.MaxInt64 // it may still be executed
		}
		ops[e.Duty] = append(ops[e.Duty], op)
	}
	for _, name := range slices.Sorted(maps.Keys(ops)) {
		if porcupine.CheckOperationsTimeout(counterModel, ops[name], 30*time.Second) == porcupine.Illegal {
			f.addViolation("fenced commands are linearizable", fmt.Sprintf("%s: the results of %d commands are not those of one counter under increasing epochs", name, len(ops[name])))
		}
	}
}
