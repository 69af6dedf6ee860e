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

// Violation is an invariant that was broken, with the lines that show it.
type Violation struct {
	Rule  string        `json:"rule"`
	Text  string        `json:"text"`
	Trace []trace.Event `json:"trace,omitempty"`
}

// Span is a time in which a process believed that it held a duty; From and To in ms of the machine's clock.
type Span struct {
	Duty, Who string
	Epoch     uint64
	From, To  float64
	Why       string // of its end
	first     trace.Event
	last      trace.Event
}

// Found is what a checker makes of a run.
type Found struct {
	Violations  []Violation
	Spans       map[string][]Span // by duty, in order
	Gaps        []Gap
	Acts        int
	Stale       int // acts refused for their epoch
	Handovers   int
	Effects     int
	EffectTwice int
	SharesMost  int64     // the most that was in force at once, in thousandths
	Differed    int       // copies that were found to differ from the others
	Anew        int       // copies that joined anew, for whatever was wrong with their folders
	CatchUp     []float64 // ms from when a copy asked to be joined anew to when it took part with all that the others had
}

// Gap is a time in which nobody held a duty.
type Gap struct {
	Duty     string
	From, To float64
	After    string  // why the holding before it ended
	Office   float64 // when another copy began to grant meanwhile; 0: none did
}

// Ms is its length.
func (g Gap) Ms() float64 { return g.To - g.From }

// SinceOffice is how long a copy that took office meanwhile took to grant the duty.
func (g Gap) SinceOffice() float64 { return g.To - g.Office }

// Over tells whether a gap is longer than the terms explain. A holder that ends without a word is waited for from when it
// was last heard, or from when the copy that grants took office; who hands a duty on is not waited for. Next to that come
// a renewal, and a few turns of the desk and entries of the log.
func (g Gap) Over() bool {
	wait := ttl * (1 + rate)
	if g.After == duty.CauseYield || g.After == duty.CauseDrain {
		wait = 0
	}
	return g.To-max(g.From, g.Office) > (wait+renew)/(1-rate)
}

// Check reads what all processes believed and did.
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

// killed lists when processes were killed, by name.
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

// holders checks that no two processes believed at one instant that they held a duty, and that epochs only grow.
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
		case trace.Gained:
			s := &Span{Duty: e.Duty, Who: e.Who, Epoch: e.Epoch, From: e.At, To: e.Until, first: e, last: e}
			open[k] = s
			all = append(all, s)
		case trace.Held:
			if s := open[k]; s != nil {
				s.To, s.last = max(s.To, e.Until), e
			}
		case trace.Ended:
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
			before := spans[0] // of those before, the one that lasts longest
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
				f.broken("epochs only grow", fmt.Sprintf("%s: %d after %d", name, s.Epoch, spans[i-1].Epoch), spans[i-1].first, s.first)
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

// lastOffice is when a copy last began to grant between two times; 0: none did.
func lastOffice(o *Outcome, from, to float64) (at float64) {
	for _, e := range o.Events {
		if e.What == trace.Office && e.At > from && e.At < to {
			at = e.At
		}
	}
	return at
}

// log checks that all copies carried out the same entries, and that no act of an epoch that had passed took effect.
func (f *Found) log(o *Outcome) {
	entries := map[uint64]trace.Event{}
	for _, e := range o.Events {
		if e.What != trace.Applied {
			continue
		}
		first, there := entries[e.Index]
		if !there {
			entries[e.Index] = e
			continue
		}
		if e.Text == state.OpCompareDigests { // its memory may be spoilt: differing looks at that
			continue
		}
		if first.Term != e.Term || first.Text != e.Text || first.Cause != e.Cause || first.Duty != e.Duty || first.Epoch != e.Epoch {
			f.broken("copies agree", fmt.Sprintf("entry %d differs between %s and %s", e.Index, first.Who, e.Who), first, e)
		}
	}
	newest := map[string]uint64{} // epoch of the latest act that took effect, by duty
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
				f.broken("no act of an old epoch", fmt.Sprintf("%s: an act of epoch %d took effect as entry %d, after entry %d had ended it",
					e.Duty, e.Epoch, i, end.Index), end, e)
			}
			if e.Epoch < newest[e.Duty] {
				f.broken("no act of an old epoch", fmt.Sprintf("%s: an act of epoch %d took effect as entry %d, after one of epoch %d",
					e.Duty, e.Epoch, i, newest[e.Duty]), e)
			}
			newest[e.Duty] = max(newest[e.Duty], e.Epoch)
		}
	}
}

// shares checks that the shares in force never came to more than there was to divide.
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
		case trace.Share:
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
		case trace.Ended:
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
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.d, b.d)) // what ends at an instant ends before what begins
	})
	sum := int64(0)
	for _, s := range steps {
		sum += s.d
		f.SharesMost = max(f.SharesMost, sum)
		if sum > o.Pool && s.d > 0 {
			f.broken("shares stay within the whole", fmt.Sprintf("%d of %d thousandths are in force with the %d of %s", sum, o.Pool, s.d, s.e.Who), s.e)
		}
	}
}

// differing checks that a copy whose memory was spoilt was found by what the copies compare, and by that alone that none was
// taken for spoilt which was not.
func (f *Found) differing(o *Outcome) {
	at := map[string]trace.Event{}
	asked := map[string]float64{}
	for _, e := range o.Events {
		who := nameOf(e.Who)
		switch {
		case e.What == spoilt:
			at[who] = e
		case e.What == "killed", e.What == trace.Up:
			delete(at, who) // its memory is gone
			delete(asked, who)
		case e.What == trace.Copy && e.Text == store.PhaseRejoining:
			f.Anew++
			asked[who] = e.At
			if !strings.Contains(e.Cause, "differs from that of a majority") {
				continue
			}
			f.Differed++
			if _, was := at[who]; !was {
				f.broken("only what is spoilt differs", who+" was found to differ, and nothing had spoilt it", e)
			}
			delete(at, who)
		case e.What == trace.Copy && e.Text == store.PhaseRunning && asked[who] > 0:
			f.CatchUp = append(f.CatchUp, e.At-asked[who])
			delete(asked, who)
		}
	}
	for who, e := range at {
		if o.Ended-e.At > 1000*compareAll {
			f.broken("what is spoilt is found", fmt.Sprintf("%s differs since %.1f s before the end", who, (o.Ended-e.At)/1000), e)
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

// mark is one act that counts a duty's mark one up under an epoch.
type mark struct {
	epoch uint64
	known bool // its answer came
}

type marked struct {
	epoch, n uint64
}

// marks is the specification: an act of an epoch below the highest that acted has no effect, so one that is said to have
// been carried out counts one up under an epoch that is no lower.
var marks = porcupine.Model{
	Init: func() any { return marked{} },
	Step: func(s, in, out any) (bool, any) {
		st, m := s.(marked), in.(mark)
		if m.known && out.(uint64) != st.n+1 {
			return false, st
		}
		if m.epoch < st.epoch {
			return !m.known, st // not answered: it may have been refused
		}
		return true, marked{m.epoch, st.n + 1}
	},
	Equal: func(a, b any) bool { return a == b },
}

// counters checks that the counts that holders were told are those of one count that all acted on in turn.
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
		case e.What == trace.Sent:
			open[k] = e
		case e.What == trace.Act:
			all = append(all, e)
			delete(open, k)
		case e.What == trace.Refused:
			delete(open, k)
		}
	}
	for _, e := range open { // no answer, or its process was killed before it was written down
		e.What = trace.Unknown
		all = append(all, e)
	}
	for _, e := range all {
		if _, there := who[e.Who]; !there {
			who[e.Who] = len(who)
		}
		op := porcupine.Operation{ClientId: who[e.Who], Input: mark{e.Epoch, e.What == trace.Act}, Call: int64(e.Began * 1e6), Output: e.N, Return: int64(e.At * 1e6)}
		if e.What == trace.Unknown {
			op.Return = math.MaxInt64 // it may still be carried out
		}
		ops[e.Duty] = append(ops[e.Duty], op)
	}
	for _, name := range slices.Sorted(maps.Keys(ops)) {
		if porcupine.CheckOperationsTimeout(marks, ops[name], 30*time.Second) == porcupine.Illegal {
			f.broken("acts are linearizable", fmt.Sprintf("%s: the counts of %d acts are not those of one count under growing epochs", name, len(ops[name])))
		}
	}
}
