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
	eventCorrupt = "spoilt"  // its copy is spoilt, or was found to be
	eventStalled = "stalled" // it reads nothing until Until
)

// commit is one commit of the copies of the store.
type commit struct {
	committedAt float64 // when the first copy had it
	digest      string
}

// findings is what the checker found.
type findings struct {
	violations     []string
	commits        map[uint64]commit
	lastRevision   uint64
	inForceDelays  []*hdrhistogram.Histogram // by size, in microseconds
	maxBurstDelays []float64                 // by size: the most
	maxCatchUps    []float64                 // by size: the most, in ms
	faultCounts    []int                     // by size
}

func (f *findings) addViolation(format string, a ...any) {
	f.violations = append(f.violations, fmt.Sprintf(format, a...))
}

// fillPoint writes what was found into a point.
func (f *findings) fillPoint(p *Point, i int) {
	quantile := func(q float64) float64 { return float64(f.inForceDelays[i].ValueAtQuantile(q)) / 1000 }
	p.InForceP50, p.InForceP99, p.InForceMax = quantile(50), quantile(99), float64(f.inForceDelays[i].Max())/1000
	p.Faults, p.CatchUpMax, p.BurstMax = f.faultCounts[i], f.maxCatchUps[i], f.maxBurstDelays[i]
}

const maxDelayMicros = int64(10 * 60 * 1e6) // microseconds that a histogram holds

// checkTraces reads what each process wrote down and holds it against what was agreed on.
func checkTraces(o *outcome) *findings {
	f := &findings{commits: map[uint64]commit{}}
	n := len(o.points)
	for range n {
		f.inForceDelays = append(f.inForceDelays, hdrhistogram.New(1, maxDelayMicros, 3))
	}
	f.maxBurstDelays, f.maxCatchUps, f.faultCounts = make([]float64, n), make([]float64, n), make([]int, n)
	for _, m := range o.injectedFaults {
		f.faultCounts[m.Point]++
	}
	for _, c := range o.unexpectedExits {
		f.addViolation("crash: %s", c)
	}
	for _, p := range o.unconverged {
		f.addViolation("not converged: %s", p)
	}
	files, err := filepath.Glob(filepath.Join(o.setup.Out, "traces", "*.trace"))
	if err != nil {
		f.addViolation("%v", err)
		return f
	}
	eventsByProcess := map[string][]trace.Event{} // by process, all its lives
	for _, path := range files {
		events, err := trace.Read(path)
		if err != nil {
			f.addViolation("%v", err)
			continue
		}
		if name := filepath.Base(path); strings.HasPrefix(name, "c") {
			f.collectCommits(events)
			continue
		}
		for _, e := range events {
			processName, _, _ := strings.Cut(e.Who, "#")
			eventsByProcess[processName] = append(eventsByProcess[processName], e)
		}
	}
	f.checkRevisionsComplete()
	for processName, events := range eventsByProcess {
		slices.SortStableFunc(events, func(a, b trace.Event) int { return cmp.Compare(a.At, b.At) })
		f.checkProcess(o, processName, events)
	}
	slices.Sort(f.violations)
	return f
}

// collectCommits takes what one copy of the store had.
func (f *findings) collectCommits(events []trace.Event) {
	appliedAt := map[uint64]float64{}
	for _, e := range events {
		switch {
		case e.What == trace.EntryApplied && e.Text == state.OpChangeRecords && e.Cause == "":
			appliedAt[e.N] = e.At
		case e.What == trace.CommitAgreed:
			at, ok := appliedAt[e.N]
			if !ok {
				at = e.At
			}
			c, known := f.commits[e.N]
			if known && c.digest != e.Text {
				f.addViolation("copies differ: revision %d has digest %s and %s", e.N, c.digest, e.Text)
			}
			if !known || at < c.committedAt {
				f.commits[e.N] = commit{at, e.Text}
			}
			f.lastRevision = max(f.lastRevision, e.N)
		}
	}
}

func (f *findings) checkRevisionsComplete() {
	for n := uint64(1); n <= f.lastRevision; n++ {
		if _, ok := f.commits[n]; !ok {
			f.addViolation("revision %d of %d was agreed on by no copy", n, f.lastRevision)
			return
		}
	}
}

// outage is a time in which a server could not follow: cut off, down, or not reading.
type outage struct{ fromMS, toMS float64 }

// outagesOf are those of one process.
func (o *outcome) outagesOf(processName, zone string, events []trace.Event) (all []outage) {
	for _, m := range o.injectedFaults {
		if m.cutsZone(zone) || slices.Contains(m.DownProcesses, processName) {
			all = append(all, outage{m.FromMS, m.ToMS})
		}
	}
	stoppedAt := -1.0
	for _, e := range events {
		switch e.What {
		case eventDown:
			stoppedAt = e.At
		case trace.ProcessStarted:
			if stoppedAt >= 0 {
				all = append(all, outage{stoppedAt, e.At})
			}
			stoppedAt = -1
		case eventStalled:
			all = append(all, outage{e.At, e.Until})
		}
	}
	return all
}

// zoneOfProcess is where a follower stands: hollow servers have it in their names.
func (o *outcome) zoneOfProcess(processName string) string {
	if z, ok := o.zoneOf[processName]; ok {
		return z
	}
	zone, _, _ := strings.Cut(processName, "-")
	return zone
}

func (o *outcome) pointAt(timeMS float64) int {
	for i, s := range o.sizeSpans {
		if timeMS >= s.fromMS && timeMS <= s.toMS {
			return i
		}
	}
	return -1
}

func (o *outcome) inBurst(timeMS float64) bool {
	return slices.ContainsFunc(o.bursts, func(b span) bool { return timeMS >= b.fromMS && timeMS <= b.toMS })
}

// processProgress is how far one process is, as the checker reads its events.
type processProgress struct {
	name         string
	revision     uint64
	digest       string
	startedAt    float64 // when its life began
	lacksRecords bool    // it began this life without a copy, or with a spoilt one
}

// checkProcess checks one process over all its lives.
func (f *findings) checkProcess(o *outcome, processName string, events []trace.Event) {
	outages := o.outagesOf(processName, o.zoneOfProcess(processName), events)
	p := processProgress{name: processName}
	for _, e := range events {
		switch e.What {
		case trace.ProcessStarted:
			p.startedAt, p.lacksRecords = e.At, false
		case eventCorrupt:
			p.lacksRecords = true
		case trace.RecordsInstalled:
			f.checkInstalled(o, &p, e)
		case trace.CommitsInForce:
			f.checkInForce(o, &p, e, outages)
		case trace.RevisionReported:
			if e.N > p.revision {
				f.addViolation("%s reported revision %d at %.1f, and %d was in force", processName, e.N, e.At, p.revision)
			}
		}
	}
	// Processes of a size that is over ended where that size did.
	if last := f.expectedRevision(o, events); p.revision != last {
		f.addViolation("%s ended at revision %d, and %d was the latest", processName, p.revision, last)
	}
}

// expectedRevision is the revision at which a process should have ended: hollow ones of earlier sizes ended with these.
func (f *findings) expectedRevision(o *outcome, events []trace.Event) uint64 {
	if len(events) == 0 {
		return 0
	}
	lastEvent := events[len(events)-1]
	if lastEvent.What != eventDown {
		return f.lastRevision
	}
	latest := uint64(0)
	for n, c := range f.commits {
		if c.committedAt <= lastEvent.At {
			latest = max(latest, n)
		}
	}
	return latest
}

func (f *findings) checkInstalled(o *outcome, p *processProgress, e trace.Event) {
	if c, ok := f.commits[e.N]; e.N > 0 && !ok {
		f.addViolation("%s took a snapshot of revision %d, which was never agreed on", p.name, e.N)
	} else if ok && c.digest != e.Text {
		f.addViolation("%s took a snapshot as of revision %d with digest %s, and agreed on was %s", p.name, e.N, e.Text, c.digest)
	} else if ok && c.committedAt > e.At {
		f.addViolation("%s had revision %d before it was agreed on", p.name, e.N)
	}
	if point := o.pointAt(e.At); point >= 0 && e.N > 0 && p.lacksRecords && p.startedAt > 0 {
		f.maxCatchUps[point] = max(f.maxCatchUps[point], e.At-p.startedAt)
	}
	p.lacksRecords = e.N == 0 || p.lacksRecords && e.At <= p.startedAt
	p.revision, p.digest = e.N, e.Text
}

func (f *findings) checkInForce(o *outcome, p *processProgress, e trace.Event, outages []outage) {
	if e.Index != p.revision+1 {
		kind := "skipped"
		if e.Index <= p.revision {
			kind = "doubled or out of order"
		}
		f.addViolation("%s: %s: revision %d came into force after %d", p.name, kind, e.Index, p.revision)
	}
	p.revision, p.digest = e.N, e.Text
	c, ok := f.commits[e.N]
	switch {
	case !ok:
		f.addViolation("%s put revision %d into force, which was never agreed on", p.name, e.N)
		return
	case c.digest != e.Text:
		f.addViolation("%s has digest %s at revision %d, and agreed on was %s", p.name, e.Text, e.N, c.digest)
	}
	for n := e.Index; n <= e.N; n++ {
		if c, ok := f.commits[n]; ok {
			f.recordDelay(o, c.committedAt, e.At, outages)
		}
	}
}

// recordDelay books how long a commit took. One that a server could not follow at once counts from the end of what kept it.
func (f *findings) recordDelay(o *outcome, committedAt, inForceAt float64, outages []outage) {
	if inForceAt < committedAt {
		f.addViolation("a revision came into force %.1f ms before it was agreed on", committedAt-inForceAt)
		return
	}
	point := o.pointAt(committedAt)
	if point < 0 {
		return
	}
	lastOutageEnd := -1.0
	for _, interval := range outages {
		if interval.fromMS <= inForceAt && interval.toMS >= committedAt {
			lastOutageEnd = max(lastOutageEnd, interval.toMS)
		}
	}
	if lastOutageEnd < 0 {
		f.inForceDelays[point].RecordValue(int64((inForceAt - committedAt) * 1000))
		if o.inBurst(committedAt) {
			f.maxBurstDelays[point] = max(f.maxBurstDelays[point], inForceAt-committedAt)
		}
		return
	}
	f.maxCatchUps[point] = max(f.maxCatchUps[point], inForceAt-max(committedAt, min(lastOutageEnd, inForceAt)))
}
