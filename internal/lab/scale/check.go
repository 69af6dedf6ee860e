package scale

import (
	"cmp"
	"fmt"
	"path/filepath"
	"slices"
	"strings"

	"github.com/HdrHistogram/hdrhistogram-go"

	"puffinsaddle/internal/state"
	"puffinsaddle/internal/trace"
)

// What hollow servers write down besides the events of package trace.
const (
	eventDown    = "down"    // the server has ended
	eventSpoilt  = "spoilt"  // its copy is spoilt, or was found to be
	eventStalled = "stalled" // it reads nothing until Until
)

// agreed is one commit of the copies of the store.
type agreed struct {
	at     float64 // when the first copy had it
	digest string
}

// findings is what the checker found.
type findings struct {
	violations []string
	commits    map[uint64]agreed
	last       uint64
	inForce    []*hdrhistogram.Histogram // by size, in microseconds
	burst      []float64                 // by size: the most
	catchUp    []float64                 // by size: the most, in ms
	faults     []int                     // by size
}

func (f *findings) broken(format string, a ...any) {
	f.violations = append(f.violations, fmt.Sprintf(format, a...))
}

// fill writes what was found into a point.
func (f *findings) fill(p *Point, i int) {
	at := func(q float64) float64 { return float64(f.inForce[i].ValueAtQuantile(q)) / 1000 }
	p.InForceP50, p.InForceP99, p.InForceMax = at(50), at(99), float64(f.inForce[i].Max())/1000
	p.Faults, p.CatchUpMax, p.BurstMax = f.faults[i], f.catchUp[i], f.burst[i]
}

const longest = int64(10 * 60 * 1e6) // microseconds that a histogram holds

// check reads what each process wrote down and holds it against what was agreed on.
func check(o *outcome) *findings {
	f := &findings{commits: map[uint64]agreed{}}
	n := len(o.points)
	for range n {
		f.inForce = append(f.inForce, hdrhistogram.New(1, longest, 3))
	}
	f.burst, f.catchUp, f.faults = make([]float64, n), make([]float64, n), make([]int, n)
	for _, m := range o.made {
		f.faults[m.Point]++
	}
	for _, c := range o.crash {
		f.broken("crash: %s", c)
	}
	for _, p := range o.problem {
		f.broken("not converged: %s", p)
	}
	files, err := filepath.Glob(filepath.Join(o.setup.Out, "traces", "*.trace"))
	if err != nil {
		f.broken("%v", err)
		return f
	}
	followers := map[string][]trace.Event{} // by process, all its lives
	for _, path := range files {
		events, err := trace.Read(path)
		if err != nil {
			f.broken("%v", err)
			continue
		}
		if name := filepath.Base(path); strings.HasPrefix(name, "c") {
			f.agree(events)
			continue
		}
		for _, e := range events {
			who, _, _ := strings.Cut(e.Who, "#")
			followers[who] = append(followers[who], e)
		}
	}
	f.checkChain()
	for who, events := range followers {
		slices.SortStableFunc(events, func(a, b trace.Event) int { return cmp.Compare(a.At, b.At) })
		f.follow(o, who, events)
	}
	slices.Sort(f.violations)
	return f
}

// agree takes what one copy of the store had.
func (f *findings) agree(events []trace.Event) {
	applied := map[uint64]float64{}
	for _, e := range events {
		switch {
		case e.What == trace.EntryApplied && e.Text == state.OpChangeRecords && e.Cause == "":
			applied[e.N] = e.At
		case e.What == trace.CommitAgreed:
			at, ok := applied[e.N]
			if !ok {
				at = e.At
			}
			c, known := f.commits[e.N]
			if known && c.digest != e.Text {
				f.broken("copies differ: revision %d has digest %s and %s", e.N, c.digest, e.Text)
			}
			if !known || at < c.at {
				f.commits[e.N] = agreed{at, e.Text}
			}
			f.last = max(f.last, e.N)
		}
	}
}

func (f *findings) checkChain() {
	for n := uint64(1); n <= f.last; n++ {
		if _, ok := f.commits[n]; !ok {
			f.broken("revision %d of %d was agreed on by no copy", n, f.last)
			return
		}
	}
}

// outage is a time in which a server could not follow: cut off, down, or not reading.
type outage struct{ from, to float64 }

// outages are those of one process.
func (o *outcome) outages(who, zone string, events []trace.Event) (all []outage) {
	for _, m := range o.made {
		if m.cutOff(zone) || slices.Contains(m.Down, who) {
			all = append(all, outage{m.From, m.To})
		}
	}
	down := -1.0
	for _, e := range events {
		switch e.What {
		case eventDown:
			down = e.At
		case trace.ProcessStarted:
			if down >= 0 {
				all = append(all, outage{down, e.At})
			}
			down = -1
		case eventStalled:
			all = append(all, outage{e.At, e.Until})
		}
	}
	return all
}

// zone is where a follower stands: hollow servers have it in their names.
func (o *outcome) zone(who string) string {
	if z, ok := o.zoneOf[who]; ok {
		return z
	}
	zone, _, _ := strings.Cut(who, "-")
	return zone
}

func (o *outcome) pointOf(at float64) int {
	for i, s := range o.spans {
		if at >= s.from && at <= s.to {
			return i
		}
	}
	return -1
}

func (o *outcome) inBurst(at float64) bool {
	return slices.ContainsFunc(o.bursts, func(b span) bool { return at >= b.from && at <= b.to })
}

// follower is how far one process is, as the checker reads its events.
type follower struct {
	who      string
	revision uint64
	digest   string
	up       float64 // when its life began
	spoilt   bool    // it began this life without a copy, or with a spoilt one
}

// follow checks one process over all its lives.
func (f *findings) follow(o *outcome, who string, events []trace.Event) {
	outages := o.outages(who, o.zone(who), events)
	p := follower{who: who}
	for _, e := range events {
		switch e.What {
		case trace.ProcessStarted:
			p.up, p.spoilt = e.At, false
		case eventSpoilt:
			p.spoilt = true
		case trace.RecordsInstalled:
			f.installed(o, &p, e)
		case trace.CommitsInForce:
			f.cameIntoForce(o, &p, e, outages)
		case trace.RevisionReported:
			if e.N > p.revision {
				f.broken("%s reported revision %d at %.1f, and %d was in force", who, e.N, e.At, p.revision)
			}
		}
	}
	// Processes of a size that is over ended where that size did.
	if last := f.expected(o, events); p.revision != last {
		f.broken("%s ended at revision %d, and %d was the latest", who, p.revision, last)
	}
}

// expected is the revision at which a process should have ended: hollow ones of earlier sizes ended with these.
func (f *findings) expected(o *outcome, events []trace.Event) uint64 {
	if len(events) == 0 {
		return 0
	}
	ended := events[len(events)-1]
	if ended.What != eventDown {
		return f.last
	}
	last := uint64(0)
	for n, c := range f.commits {
		if c.at <= ended.At {
			last = max(last, n)
		}
	}
	return last
}

func (f *findings) installed(o *outcome, p *follower, e trace.Event) {
	if c, ok := f.commits[e.N]; e.N > 0 && !ok {
		f.broken("%s took a snapshot of revision %d, which was never agreed on", p.who, e.N)
	} else if ok && c.digest != e.Text {
		f.broken("%s took a snapshot as of revision %d with digest %s, and agreed on was %s", p.who, e.N, e.Text, c.digest)
	} else if ok && c.at > e.At {
		f.broken("%s had revision %d before it was agreed on", p.who, e.N)
	}
	if point := o.pointOf(e.At); point >= 0 && e.N > 0 && p.spoilt && p.up > 0 {
		f.catchUp[point] = max(f.catchUp[point], e.At-p.up)
	}
	p.spoilt = e.N == 0 || p.spoilt && e.At <= p.up
	p.revision, p.digest = e.N, e.Text
}

func (f *findings) cameIntoForce(o *outcome, p *follower, e trace.Event, outages []outage) {
	if e.Index != p.revision+1 {
		kind := "skipped"
		if e.Index <= p.revision {
			kind = "doubled or out of order"
		}
		f.broken("%s: %s: revision %d came into force after %d", p.who, kind, e.Index, p.revision)
	}
	p.revision, p.digest = e.N, e.Text
	c, ok := f.commits[e.N]
	switch {
	case !ok:
		f.broken("%s put revision %d into force, which was never agreed on", p.who, e.N)
		return
	case c.digest != e.Text:
		f.broken("%s has digest %s at revision %d, and agreed on was %s", p.who, e.Text, e.N, c.digest)
	}
	for n := e.Index; n <= e.N; n++ {
		if c, ok := f.commits[n]; ok {
			f.late(o, c.at, e.At, outages)
		}
	}
}

// late books how long a commit took. One that a server could not follow at once counts from the end of what kept it.
func (f *findings) late(o *outcome, from, to float64, outages []outage) {
	if to < from {
		f.broken("a revision came into force %.1f ms before it was agreed on", from-to)
		return
	}
	point := o.pointOf(from)
	if point < 0 {
		return
	}
	healed := -1.0
	for _, out := range outages {
		if out.from <= to && out.to >= from {
			healed = max(healed, out.to)
		}
	}
	if healed < 0 {
		f.inForce[point].RecordValue(int64((to - from) * 1000))
		if o.inBurst(from) {
			f.burst[point] = max(f.burst[point], to-from)
		}
		return
	}
	f.catchUp[point] = max(f.catchUp[point], to-max(from, min(healed, to)))
}
