package distribution

import (
	"cmp"
	"maps"
	"slices"
)

const (
	maxRelaysKnown = 1024 // relays whose last report is kept
	maxAges        = 8192 // revisions of which it is known when they were agreed on
)

// Status is how far the fleet is, as the copy that leads knows it.
type Status struct {
	Revision uint64         `json:"revision"` // the latest
	Regions  []RegionStatus `json:"regions"`
}

// RegionStatus is how far the servers of one region are, by the last report of each of its relays.
type RegionStatus struct {
	Region string `json:"region"`
	Relays int    `json:"relays"` // that watch
	Lost   int    `json:"lost"`   // that watched and do so no more; what they reported last still counts
	Report
	AgeMs    float64 `json:"age_ms"`    // since a change was agreed on that some server of the region does not use yet; 0: there is none
	SilentMs float64 `json:"silent_ms"` // since the last report of the relay that was not heard for longest
}

// regionalRelay is one relay as its last report left it.
type regionalRelay struct {
	region  string
	report  Report
	heardAt float64
	watches bool
}

// Regions keeps the last report of each relay, also of those that are not heard any more: a region that is cut off must not
// vanish from what operators see. A copy that takes office begins with nothing.
type Regions struct{ relays map[string]*regionalRelay }

// NewRegions knows of no relay.
func NewRegions() *Regions { return &Regions{relays: map[string]*regionalRelay{}} }

// Put takes the latest report of a relay.
func (g *Regions) Put(now float64, relay, region string, r Report) {
	r.Check()
	g.relays[relay] = &regionalRelay{region: region, report: r, heardAt: now, watches: true}
	if len(g.relays) > maxRelaysKnown {
		g.forgetOne()
	}
}

// forgetOne forgets the relay that was not heard for longest.
func (g *Regions) forgetOne() {
	oldest := ""
	for name, relay := range g.relays {
		if oldest == "" || relay.heardAt < g.relays[oldest].heardAt {
			oldest = name
		}
	}
	delete(g.relays, oldest)
}

// Left tells that a relay watches no more.
func (g *Regions) Left(relay string) {
	if known := g.relays[relay]; known != nil {
		known.watches = false
	}
}

// Status sums the reports by region, of which latest is the newest revision.
func (g *Regions) Status(now float64, latest uint64, ages *Ages) []RegionStatus {
	all := map[string]*RegionStatus{}
	reports := map[string]*Progress{}
	for name, relay := range g.relays {
		s := all[relay.region]
		if s == nil {
			s = &RegionStatus{Region: relay.region}
			all[relay.region], reports[relay.region] = s, NewProgress()
		}
		if relay.watches {
			s.Relays++
		} else {
			s.Lost++
		}
		s.SilentMs = max(s.SilentMs, now-relay.heardAt)
		reports[relay.region].Put(name, relay.report)
	}
	var out []RegionStatus
	for _, region := range slices.Sorted(maps.Keys(all)) {
		s := all[region]
		s.Report = reports[region].Sum(latest)
		if s.Servers > 0 {
			s.AgeMs = ages.Behind(now, s.Lowest)
		}
		out = append(out, *s)
	}
	slices.SortStableFunc(out, func(a, b RegionStatus) int { return cmp.Compare(b.AgeMs, a.AgeMs) }) // the oldest first
	return out
}

// Ages knows when the latest revisions were agreed on.
type Ages struct {
	first uint64    // the revision of the first time
	at    []float64 // one for each revision from there on
}

// Add tells that a revision was agreed on now. One that does not follow the last begins anew.
func (a *Ages) Add(revision uint64, now float64) {
	if len(a.at) == 0 || revision != a.first+uint64(len(a.at)) {
		a.first, a.at = revision, nil
	}
	a.at = append(a.at, now)
	if drop := len(a.at) - maxAges; drop > 0 {
		a.first += uint64(drop)
		a.at = a.at[drop:]
	}
}

// Behind is for how long a server that uses a revision has been behind: since the next one was agreed on. 0: it is the latest.
// Where that is longer ago than is known, it is the longest time that is known.
func (a *Ages) Behind(now float64, revision uint64) float64 {
	if len(a.at) == 0 || revision+1 >= a.first+uint64(len(a.at)) {
		return 0
	}
	i := 0
	if revision+1 > a.first {
		i = int(revision + 1 - a.first)
	}
	return now - a.at[i]
}
