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

func sum(text string) string {
	s := sha256.Sum256([]byte(text))
	return hex.EncodeToString(s[:])
}

// Violation is a violated invariant, with the trace events that show it.
type Violation struct {
	Rule  string        `json:"rule"`
	Text  string        `json:"text"`
	Trace []trace.Event `json:"trace,omitempty"`
}

// Span is an interval in which a process believed that it held a duty. From and To are in ms of the machine's clock.
type Span struct {
	Duty, Who string
	Epoch     uint64
	From, To  float64
	Why       string // why it ended
	first     trace.Event
	last      trace.Event
}

// Found is the checker's result for one run.
type Found struct {
	Violations  []Violation
	Spans       map[string][]Span // by duty, ordered by From
	Gaps        []Gap
	Acts        int
	Stale       int // fenced commands refused because of their epoch
	Handovers   int
	Effects     int
	EffectTwice int
	SharesMost  int64     // the largest sum of shares in force at once, in thousandths of a call
	Differed    int       // store replicas whose state was found to differ from that of a majority
	Anew        int       // store replicas that rejoined, whatever was wrong with their data directories
	CatchUp     []float64 // ms from a replica's request to rejoin until it took part with the full state
}

// Gap is an interval in which no process held a duty. From and To are in ms of the machine's clock.
type Gap struct {
	Duty     string
	From, To float64
	After    string  // why the preceding holder's lease ended
	Office   float64 // when another leader started to grant duties in the gap, ms; 0: none did
}

// Ms returns the length of the gap in ms.
func (g Gap) Ms() float64 { return g.To - g.From }

// SinceOffice returns how many ms the leader that was elected in the gap took to grant the duty.
func (g Gap) SinceOffice() float64 { return g.To - g.Office }

// Over reports whether a gap is longer than the lab's lease settings explain. The leader waits for the TTL of a holder that
// ends without a release, counted from its last heartbeat or from the start of the leader's term; it doesn't wait after a
// yield or drain. One renewal interval is allowed on top, for the session and for a few log entries.
func (g Gap) Over() bool {
	wait := ttl * (1 + rate)
	if g.After == duty.CauseYield || g.After == duty.CauseDrain {
		wait = 0
	}
	return g.To-max(g.From, g.Office) > (wait+renew)/(1-rate)
}

// Check checks the invariants on the merged traces of all processes.
func Check(o *Outcome) *Found {
	f := &Found{Spans: map[string][]Span{}}
	for _, c := range o.Crash {
		f.Violations = append(f.Violations, Violation{Rule: "no process ends by itself", Text: c})
	}
	f.holders(o)
	f.log(o)
	f.shares(o)
	f.effects(o)
	f.counters(o)
	f.differing(o)
	return f
}

func (f *Found) broken(rule, text string, lines ...trace.Event) {
	for _, v := range f.Violations {
		if v.Rule == rule && len(f.Violations) > 20 {
			return
		}
	}
	f.Violations = append(f.Violations, Violation{rule, text, lines})
}

// killed returns the times at which processes were killed, by process name.
func killed(o *Outcome) map[string][]float64 {
	at := map[string][]float64{}
	for _, e := range o.Events {
		if e.What == "killed" {
			at[e.Who] = append(at[e.Who], e.At)
		}
	}
	return at
}

func nameOf(who string) string {
	name, _, _ := strings.Cut(who, "#")
	return name
}

// holders checks that no two processes believed at the same time that they held a duty, and that epochs only increase.
func (f *Found) holders(o *Outcome) {
	deaths := killed(o)
	type key struct {
		duty, who string
		epoch     uint64
	}
	open := map[key]*Span{}
	var all []*Span
	for _, e := range o.Events {
		if duty.PresenceProcess(e.Duty) != "" {
			continue
		}
		k := key{e.Duty, e.Who, e.Epoch}
		switch e.What {
		case trace.LeaseGained:
			s := &Span{Duty: e.Duty, Who: e.Who, Epoch: e.Epoch, From: e.At, To: e.Until, first: e, last: e}
			open[k] = s
			all = append(all, s)
		case trace.LeaseRenewed:
			if s := open[k]; s != nil {
				s.To, s.last = max(s.To, e.Until), e
			}
		case trace.LeaseEnded:
			if s := open[k]; s != nil {
				s.To, s.Why = min(s.To, e.At), e.Cause
				s.last = e
				delete(open, k)
			}
		}
	}
	for _, s := range all {
		for _, at := range deaths[nameOf(s.Who)] {
			if at > s.From && at < s.To {
				s.To, s.Why = at, "killed"
			}
		}
		f.Spans[s.Duty] = append(f.Spans[s.Duty], *s)
	}
	for _, name := range slices.Sorted(maps.Keys(f.Spans)) {
		spans := f.Spans[name]
		slices.SortFunc(spans, func(a, b Span) int { return cmp.Compare(a.From, b.From) })
		of := map[uint64]string{}
		for i, s := range spans {
			if other, twice := of[s.Epoch]; twice && other != s.Who {
				f.broken("an epoch has one holder", fmt.Sprintf("%s epoch %d was held by %s and by %s", name, s.Epoch, other, s.Who), s.first)
			}
			of[s.Epoch] = s.Who
			if i == 0 {
				continue
			}
			before := spans[0] // the one among the earlier ones that ends last
			for _, b := range spans[:i] {
				if b.To > before.To {
					before = b
				}
			}
			if before.To > s.From && before.Who != s.Who {
				f.broken("one holder at a time", fmt.Sprintf("%s: %s held epoch %d until %.1f ms after %s began to hold epoch %d",
					name, before.Who, before.Epoch, before.To-s.From, s.Who, s.Epoch), before.first, before.last, s.first)
			}
			if s.Epoch <= spans[i-1].Epoch {
				f.broken("epochs only increase", fmt.Sprintf("%s: %d after %d", name, s.Epoch, spans[i-1].Epoch), spans[i-1].first, s.first)
			}
			if before.Who != s.Who {
				f.Handovers++
			}
			if s.From > before.To && before.To > o.Begun {
				f.Gaps = append(f.Gaps, Gap{name, before.To, s.From, before.Why, lastOffice(o, before.To, s.From)})
			}
		}
	}
}

// lastOffice returns when a leader last started to grant duties between two times, or 0 if none did.
func lastOffice(o *Outcome, from, to float64) (at float64) {
	for _, e := range o.Events {
		if e.What == trace.TermStarted && e.At > from && e.At < to {
			at = e.At
		}
	}
	return at
}

// log checks that all store replicas applied the same log entries, and that no fenced command took effect after its epoch
// had ended.
func (f *Found) log(o *Outcome) {
	entries := map[uint64]trace.Event{}
	for _, e := range o.Events {
		if e.What != trace.EntryApplied {
			continue
		}
		first, there := entries[e.Index]
		if !there {
			entries[e.Index] = e
			continue
		}
		if e.Text == state.OpCompareDigests { // the replica's memory may be corrupt, which the method differing checks
			continue
		}
		if first.Term != e.Term || first.Text != e.Text || first.Cause != e.Cause || first.Duty != e.Duty || first.Epoch != e.Epoch {
			f.broken("replicas agree", fmt.Sprintf("entry %d differs between %s and %s", e.Index, first.Who, e.Who), first, e)
		}
	}
	newest := map[string]uint64{} // epoch of the latest fenced command that took effect, by duty
	ended := map[string]trace.Event{}
	holder := map[string]string{}
	for _, i := range slices.Sorted(maps.Keys(entries)) {
		e := entries[i]
		switch e.Text {
		case "orders":
			for _, part := range strings.Split(e.Cause, "; ") {
				w := strings.Fields(part)
				if len(w) < 2 {
					continue
				}
				if w[0] == duty.Grant && len(w) > 2 {
					holder[w[1]] = w[2]
					delete(ended, w[1])
				} else if w[0] != duty.Grant {
					ended[w[1]] = e
				}
			}
		case "act":
			if e.Cause != "" {
				if strings.Contains(e.Cause, duty.ErrStale.Error()) {
					f.Stale++
				}
				continue
			}
			f.Acts++
			if end, over := ended[e.Duty]; over {
				f.broken("no command of an old epoch takes effect", fmt.Sprintf("%s: a command of epoch %d took effect as entry %d, after entry %d had ended the epoch",
					e.Duty, e.Epoch, i, end.Index), end, e)
			}
			if e.Epoch < newest[e.Duty] {
				f.broken("no command of an old epoch takes effect", fmt.Sprintf("%s: a command of epoch %d took effect as entry %d, after one of epoch %d",
					e.Duty, e.Epoch, i, newest[e.Duty]), e)
			}
			newest[e.Duty] = max(newest[e.Duty], e.Epoch)
		}
	}
}

// shares checks that the sum of the shares in force never exceeded the pool.
func (f *Found) shares(o *Outcome) {
	deaths := killed(o)
	type step struct {
		at float64
		d  int64
		e  trace.Event
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
		for _, at := range deaths[nameOf(s.e.Who)] {
			if at > s.from && at < s.to {
				s.to = at
			}
		}
		if s.to > s.from && s.amount > 0 {
			steps = append(steps, step{s.from, s.amount, s.e}, step{s.to, -s.amount, s.e})
		}
	}
	slices.SortStableFunc(steps, func(a, b step) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.d, b.d)) // at the same time, ends come before beginnings
	})
	sum := int64(0)
	for _, s := range steps {
		sum += s.d
		f.SharesMost = max(f.SharesMost, sum)
		if sum > o.Pool && s.d > 0 {
			f.broken("shares stay within the pool", fmt.Sprintf("%d of %d thousandths are in force, %d of them of %s", sum, o.Pool, s.d, s.e.Who), s.e)
		}
	}
}

// differing checks that the comparison between store replicas found each replica whose memory was corrupted, and that it
// reported no other replica.
func (f *Found) differing(o *Outcome) {
	at := map[string]trace.Event{}
	asked := map[string]float64{}
	for _, e := range o.Events {
		who := nameOf(e.Who)
		switch {
		case e.What == spoilt:
			at[who] = e
		case e.What == "killed", e.What == trace.ProcessStarted:
			delete(at, who) // its memory went with the process
			delete(asked, who)
		case e.What == trace.ReplicaPhase && e.Text == store.PhaseAsks:
			f.Anew++
			asked[who] = e.At
			if !strings.Contains(e.Cause, "differs from that of a majority") {
				continue
			}
			f.Differed++
			if _, was := at[who]; !was {
				f.broken("only corrupt replicas differ", who+" was found to differ, and its memory had not been corrupted", e)
			}
			delete(at, who)
		case e.What == trace.ReplicaPhase && e.Text == store.PhaseRuns && asked[who] > 0:
			f.CatchUp = append(f.CatchUp, e.At-asked[who])
			delete(asked, who)
		}
	}
	for who, e := range at {
		if o.Ended-e.At > 1000*compareAll {
			f.broken("corrupt replicas are found", fmt.Sprintf("%s was corrupted %.1f s before the end and not found", who, (o.Ended-e.At)/1000), e)
		}
	}
}

// effects checks that no effect ran twice.
func (f *Found) effects(o *Outcome) {
	first := map[string]trace.Event{}
	for _, e := range o.Events {
		if e.What != trace.Exec {
			continue
		}
		f.Effects++
		if was, twice := first[e.Text]; twice {
			f.EffectTwice++
			f.broken("no effect runs twice", fmt.Sprintf("%s ran at %s and at %s", e.Text, was.Who, e.Who), was, e)
		}
		first[e.Text] = e
	}
}

// mark is the input of one fenced command that increments a duty's counter under an epoch.
type mark struct {
	epoch uint64
	known bool // the response arrived
}

// marked is the state of a duty's counter.
type marked struct {
	epoch, n uint64
}

// marks is the specification of the counter: a command whose epoch is lower than the highest one executed has no effect, so
// a command that is confirmed as executed increments the counter by one under an epoch that is not lower.
var marks = porcupine.Model{
	Init: func() any { return marked{} },
	Step: func(s, in, out any) (bool, any) {
		st, m := s.(marked), in.(mark)
		if m.known && out.(uint64) != st.n+1 {
			return false, st
		}
		if m.epoch < st.epoch {
			return !m.known, st // without a response the command may have been refused
		}
		return true, marked{m.epoch, st.n + 1}
	},
	Equal: func(a, b any) bool { return a == b },
}

// counters checks that the fenced commands on each duty's counter are linearizable.
func (f *Found) counters(o *Outcome) {
	ops := map[string][]porcupine.Operation{}
	who := map[string]int{}
	type sending struct {
		who, duty string
		began     float64
	}
	open := map[sending]trace.Event{}
	var all []trace.Event
	for _, e := range o.Events {
		k := sending{e.Who, e.Duty, e.Began}
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
		if _, there := who[e.Who]; !there {
			who[e.Who] = len(who)
		}
		op := porcupine.Operation{ClientId: who[e.Who], Input: mark{e.Epoch, e.What == trace.CommandExecuted}, Call: int64(e.Began * 1e6), Output: e.N, Return: int64(e.At * 1e6)}
		if e.What == trace.CommandUnconfirmed {
			op.Return = math.MaxInt64 // it may still be executed
		}
		ops[e.Duty] = append(ops[e.Duty], op)
	}
	for _, name := range slices.Sorted(maps.Keys(ops)) {
		if porcupine.CheckOperationsTimeout(marks, ops[name], 30*time.Second) == porcupine.Illegal {
			f.broken("fenced commands are linearizable", fmt.Sprintf("%s: the results of %d commands are not those of one counter under increasing epochs", name, len(ops[name])))
		}
	}
}
