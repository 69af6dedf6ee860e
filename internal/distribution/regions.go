package distribution

import (
	"cmp"
	"maps"
	"slices"
)

const (
	maxRelaysKnown = 1024 // relays whose last report is retained
	maxAges        = 8192 // revisions whose commit time is retained
)

// Status is the progress of all regions as known to the store leader.
type Status struct {
	Revision uint64         `json:"revision"` // newest committed revision
	Regions  []RegionStatus `json:"regions"`
}

// RegionStatus is the progress of the servers of one region, from the last report of each of its relays.
type RegionStatus struct {
	Region             string `json:"region"`
	ConnectedRelays    int    `json:"relays"` // connected relays
	DisconnectedRelays int    `json:"lost"`   // disconnected relays; their last reports still count
	Report
	StalenessMS   float64 `json:"age_ms"`    // since the commit of the oldest change that some server has not applied; 0: none
	SinceReportMS float64 `json:"silent_ms"` // since the last report of the relay that has been silent longest
}

// regionalRelay is the last known state of a relay.
type regionalRelay struct {
	region  string
	report  Report
	heardAt float64
	watches bool
}

// Regions keeps the last report of each relay, disconnected ones included: a region that is cut off must remain visible to
// operators. It is in memory only, so a new leader starts empty.
type Regions struct{ relays map[string]*regionalRelay }

// NewRegions returns a Regions without relays.
func NewRegions() *Regions { return &Regions{relays: map[string]*regionalRelay{}} }

// Put stores the latest report of a relay and marks it as connected.
func (g *Regions) Put(now float64, relay, region string, r Report) {
	r.Check()
	g.relays[relay] = &regionalRelay{region: region, report: r, heardAt: now, watches: true}
	if len(g.relays) > maxRelaysKnown {
		g.forgetOne()
	}
}

// forgetOne evicts the relay whose last report is the oldest.
func (g *Regions) forgetOne() {
	oldest := ""
	for name, relay := range g.relays {
		if oldest == "" || relay.heardAt < g.relays[oldest].heardAt {
			oldest = name
		}
	}
	delete(g.relays, oldest)
}

// MarkDisconnected marks a relay as disconnected and keeps its last report.
func (g *Regions) MarkDisconnected(relay string) {
	if known := g.relays[relay]; known != nil {
		known.watches = false
	}
}

// Status aggregates the reports by region; latest is the newest committed revision. The most stale region comes first.
func (g *Regions) Status(now float64, latest uint64, ages *CommitTimes) []RegionStatus {
	all := map[string]*RegionStatus{}
	reports := map[string]*Progress{}
	for name, relay := range g.relays {
		s := all[relay.region]
		if s == nil {
			s = &RegionStatus{Region: relay.region}
			all[relay.region], reports[relay.region] = s, NewProgress()
		}
		if relay.watches {
			s.ConnectedRelays++
		} else {
			s.DisconnectedRelays++
		}
		s.SinceReportMS = max(s.SinceReportMS, now-relay.heardAt)
		reports[relay.region].Put(name, relay.report)
	}
	var out []RegionStatus
	for _, region := range slices.Sorted(maps.Keys(all)) {
		s := all[region]
		s.Report = reports[region].Sum(latest)
		if s.Servers > 0 {
			s.StalenessMS = ages.StalenessMS(now, s.LowestRevision)
		}
		out = append(out, *s)
	}
	slices.SortStableFunc(out, func(a, b RegionStatus) int { return cmp.Compare(b.StalenessMS, a.StalenessMS) })
	return out
}

// CommitTimes holds the commit times of the latest revisions, in milliseconds.
type CommitTimes struct {
	first uint64    // revision of at[0]
	at    []float64 // one for each revision from first on
}

// Add records now as the commit time of a revision. A revision that does not follow the last one clears the earlier times.
func (a *CommitTimes) Add(revision uint64, now float64) {
	if len(a.at) == 0 || revision != a.first+uint64(len(a.at)) {
		a.first, a.at = revision, nil
	}
	a.at = append(a.at, now)
	if drop := len(a.at) - maxAges; drop > 0 {
		a.first += uint64(drop)
		a.at = a.at[drop:]
	}
}

// StalenessMS returns the staleness of a server at a revision in milliseconds: the time since the next revision was committed, or 0
// if the server is at the latest. If that commit time is no longer retained, it returns the time since the oldest retained one.
func (a *CommitTimes) StalenessMS(now float64, revision uint64) float64 {
	if len(a.at) == 0 || revision+1 >= a.first+uint64(len(a.at)) {
		return 0
	}
	i := 0
	if revision+1 > a.first {
		i = int(revision + 1 - a.first)
	}
	return now - a.at[i]
}
