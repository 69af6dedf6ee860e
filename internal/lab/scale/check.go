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

// Trace events of simulated servers, besides those of package trace.
const (
	eventDown      = "down"    // the server has stopped
	eventCorrupted = "spoilt"  // its replica of the configuration was corrupted, or found to be corrupt
	eventStalled   = "stalled" // the server does not read from its connection until Until
)

// commit is one commit of the store. Times are in ms of the machine's monotonic clock.
type commit struct {
	committedAt float64 // when the first replica applied it
	digest      string
}

// findings holds the violations and the measurements that the checker derives from the traces.
type findings struct {
	violations     []string
	commits        map[uint64]commit
	lastRevision   uint64
	inForceDelays  []*hdrhistogram.Histogram // by size: delay from commit to in force, in microseconds
	maxBurstDelays []float64                 // by size: the longest delay of a commit in a burst, in ms
	maxCatchUps    []float64                 // by size: the longest time to catch up after an outage or a snapshot, in ms
	faultCounts    []int                     // by size: injected faults
}

// addViolation records a violation.
func (f *findings) addViolation(format string, a ...any) {
	f.violations = append(f.violations, fmt.Sprintf(format, a...))
}

// fillPoint copies the measurements of size i into its point.
func (f *findings) fillPoint(p *Point, i int) {
	quantile := func(q float64) float64 { return float64(f.inForceDelays[i].ValueAtQuantile(q)) / 1000 }
	p.InForceP50, p.InForceP99, p.InForceMax = quantile(50), quantile(99), float64(f.inForceDelays[i].Max())/1000
	p.Faults, p.CatchUpMax, p.BurstMax = f.faultCounts[i], f.maxCatchUps[i], f.maxBurstDelays[i]
}

const maxDelayMicros = int64(10 * 60 * 1e6) // upper bound of the histograms: ten minutes in microseconds

// checkTraces reads the traces of all processes and verifies them against the commits of the store.
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
		f.addViolation("no process fails: %s", c)
	}
	for _, p := range o.unconverged {
		f.addViolation("not converged: %s", p)
	}
	files, err := filepath.Glob(filepath.Join(o.setup.Out, "traces", "*.trace"))
	if err != nil {
		f.addViolation("%v", err)
		return f
	}
	eventsByProcess := map[string][]trace.Event{} // by process, over all its incarnations
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

// collectCommits collects the commits of one store replica's trace, and checks that the replicas agree on their digests.
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
				f.addViolation("store replicas differ: revision %d has digests %s and %s", e.N, c.digest, e.Text)
			}
			if !known || at < c.committedAt {
				f.commits[e.N] = commit{at, e.Text}
			}
			f.lastRevision = max(f.lastRevision, e.N)
		}
	}
}

// checkRevisionsComplete checks that the commits have no gap in their revisions.
func (f *findings) checkRevisionsComplete() {
	for n := uint64(1); n <= f.lastRevision; n++ {
		if _, ok := f.commits[n]; !ok {
			f.addViolation("revision %d of %d was applied by no store replica", n, f.lastRevision)
			return
		}
	}
}

// outage is a period in which a process could not receive commits, because it was partitioned, down or not reading.
type outage struct{ fromMS, toMS float64 }

// outagesOf returns the outages of one process, from the injected faults and from its own trace.
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

// zoneOfProcess returns the zone of a process. The names of simulated servers begin with their zone.
func (o *outcome) zoneOfProcess(processName string) string {
	if z, ok := o.zoneOf[processName]; ok {
		return z
	}
	zone, _, _ := strings.Cut(processName, "-")
	return zone
}

// pointAt returns the index of the size that was running at a time, or -1.
func (o *outcome) pointAt(timeMS float64) int {
	for i, s := range o.sizeSpans {
		if timeMS >= s.fromMS && timeMS <= s.toMS {
			return i
		}
	}
	return -1
}

// inBurst reports whether a time is within a burst of changes.
func (o *outcome) inBurst(timeMS float64) bool {
	return slices.ContainsFunc(o.bursts, func(b span) bool { return timeMS >= b.fromMS && timeMS <= b.toMS })
}

// processProgress tracks the revision of one process while the checker reads its events.
type processProgress struct {
	name         string
	revision     uint64
	digest       string
	startedAt    float64 // when the current incarnation started
	lacksRecords bool    // the incarnation has no snapshot yet: it started without records, or they were corrupt
}

// checkProcess checks the events of one process over all its incarnations.
func (f *findings) checkProcess(o *outcome, processName string, events []trace.Event) {
	outages := o.outagesOf(processName, o.zoneOfProcess(processName), events)
	p := processProgress{name: processName}
	for _, e := range events {
		switch e.What {
		case trace.ProcessStarted:
			p.startedAt, p.lacksRecords = e.At, false
		case eventCorrupted:
			p.lacksRecords = true
		case trace.RecordsInstalled:
			f.checkInstalled(o, &p, e)
		case trace.CommitsInForce:
			f.checkInForce(o, &p, e, outages)
		case trace.RevisionReported:
			if e.N > p.revision {
				f.addViolation("%s reported revision %d at %.1f ms, but revision %d was in force", processName, e.N, e.At, p.revision)
			}
		}
	}
	// The processes of an earlier size stopped at the end of that size, at the revision of that time.
	if last := f.expectedRevision(o, events); p.revision != last {
		f.addViolation("%s ended at revision %d, but the latest was %d", processName, p.revision, last)
	}
}

// expectedRevision returns the revision that a process must have reached: the latest one at the time when it stopped, or of
// the whole run if its trace doesn't end with a stop.
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

// checkInstalled checks a snapshot that a process installed, or the state that it loaded at its start.
func (f *findings) checkInstalled(o *outcome, p *processProgress, e trace.Event) {
	if c, ok := f.commits[e.N]; e.N > 0 && !ok {
		f.addViolation("%s installed a snapshot of revision %d, which was never committed", p.name, e.N)
	} else if ok && c.digest != e.Text {
		f.addViolation("%s installed a snapshot of revision %d with digest %s, but the committed digest is %s", p.name, e.N, e.Text, c.digest)
	} else if ok && c.committedAt > e.At {
		f.addViolation("%s had revision %d before it was committed", p.name, e.N)
	}
	if point := o.pointAt(e.At); point >= 0 && e.N > 0 && p.lacksRecords && p.startedAt > 0 {
		f.maxCatchUps[point] = max(f.maxCatchUps[point], e.At-p.startedAt)
	}
	p.lacksRecords = e.N == 0 || p.lacksRecords && e.At <= p.startedAt
	p.revision, p.digest = e.N, e.Text
}

// checkInForce checks commits that a process put into force: their order, their digest and their delay.
func (f *findings) checkInForce(o *outcome, p *processProgress, e trace.Event, outages []outage) {
	if e.Index != p.revision+1 {
		kind := "skipped"
		if e.Index <= p.revision {
			kind = "doubled or out of order"
		}
		f.addViolation("%s: %s: revision %d came into force after revision %d", p.name, kind, e.Index, p.revision)
	}
	p.revision, p.digest = e.N, e.Text
	c, ok := f.commits[e.N]
	switch {
	case !ok:
		f.addViolation("%s put revision %d into force, which was never committed", p.name, e.N)
		return
	case c.digest != e.Text:
		f.addViolation("%s has digest %s at revision %d, but the committed digest is %s", p.name, e.Text, e.N, c.digest)
	}
	for n := e.Index; n <= e.N; n++ {
		if c, ok := f.commits[n]; ok {
			f.recordDelay(o, c.committedAt, e.At, outages)
		}
	}
}

// recordDelay records the delay of a commit until it was in force at one process. If an outage delayed it, the time counts
// from the end of that outage, as catching up.
func (f *findings) recordDelay(o *outcome, committedAt, inForceAt float64, outages []outage) {
	if inForceAt < committedAt {
		f.addViolation("a revision came into force %.1f ms before it was committed", committedAt-inForceAt)
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
