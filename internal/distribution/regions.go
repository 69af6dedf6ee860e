package distribution

import (
	"cmp"
	"maps"
	"slices"
)

const (
	maxRetainedRelays = 1024 // relays whose last report is kept
	maxCommitTimes    = 8192 // revisions of which it is known when they were agreed on
)

// Status is how far the fleet is, as the copy that leads knows it.
type Status struct {
	Revision uint64         `json:"revision"` // the latest
	Regions  []RegionStatus `json:"regions"`
}

// RegionStatus is how far the servers of one region are, by the last report of each of its relays.
type RegionStatus struct {
	Region             string `json:"region"`
	ConnectedRelays    int    `json:"relays"` // that watch
	DisconnectedRelays int    `json:"lost"`   // that watched and do so no more; what they reported last still counts
	Report
	StalenessMS   float64 `json:"age_ms"`    // since a change was agreed on that some server of the region does not use yet; 0: there is none
	SinceReportMS float64 `json:"silent_ms"` // since the last report of the relay that was not heard for longest
}

// relayState is one relay as its last report left it.
type relayState struct {
	region       string
	report       Report
	reportedAtMS float64
	connected    bool
}

// Regions keeps the last report of each relay, also of those that are not heard any more: a region that is cut off must not
// vanish from what operators see. A copy that takes office begins with nothing.
type Regions struct{ relays map[string]*relayState }

// NewRegions knows of no relay.
func NewRegions() *Regions { return &Regions{relays: map[string]*relayState{}} }

// Put takes the latest report of a relay.
func (g *Regions) Put(nowMS float64, relay, region string, r Report) {
	r.Clamp()
	g.relays[relay] = &relayState{region: region, report: r, reportedAtMS: nowMS, connected: true}
	if len(g.relays) > maxRetainedRelays {
		g.evictOldest()
	}
}

// evictOldest forgets the relay that was not heard for longest.
func (g *Regions) evictOldest() {
	oldest := ""
	for name, relay := range g.relays {
		if oldest == "" || relay.reportedAtMS < g.relays[oldest].reportedAtMS {
			oldest = name
		}
	}
	delete(g.relays, oldest)
}

// MarkDisconnected tells that a relay watches no more.
func (g *Regions) MarkDisconnected(relay string) {
	if known := g.relays[relay]; known != nil {
		known.connected = false
	}
}

// Status sums the reports by region, of which latest is the newest revision.
func (g *Regions) Status(nowMS float64, latest uint64, commitTimes *CommitTimes) []RegionStatus {
	byRegion := map[string]*RegionStatus{}
	reports := map[string]*Progress{}
	for name, relay := range g.relays {
		status := byRegion[relay.region]
		if status == nil {
			status = &RegionStatus{Region: relay.region}
			byRegion[relay.region], reports[relay.region] = status, NewProgress()
		}
		if relay.connected {
			status.ConnectedRelays++
		} else {
			status.DisconnectedRelays++
		}
		status.SinceReportMS = max(status.SinceReportMS, nowMS-relay.reportedAtMS)
		reports[relay.region].Put(name, relay.report)
	}
	var out []RegionStatus
	for _, region := range slices.Sorted(maps.Keys(byRegion)) {
		status := byRegion[region]
		status.Report = reports[region].Sum(latest)
		if status.Servers > 0 {
			status.StalenessMS = commitTimes.StalenessMS(nowMS, status.LowestRevision)
		}
		out = append(out, *status)
	}
	slices.SortStableFunc(out, func(a, b RegionStatus) int { return cmp.Compare(b.StalenessMS, a.StalenessMS) }) // the oldest first
	return out
}

// CommitTimes knows when the latest revisions were agreed on.
type CommitTimes struct {
	first   uint64    // the revision of the first time
	timesMS []float64 // one for each revision from there on
}

// Add tells that a revision was agreed on now. One that does not follow the last begins anew.
func (a *CommitTimes) Add(revision uint64, nowMS float64) {
	if len(a.timesMS) == 0 || revision != a.first+uint64(len(a.timesMS)) {
		a.first, a.timesMS = revision, nil
	}
	a.timesMS = append(a.timesMS, nowMS)
	if evicted := len(a.timesMS) - maxCommitTimes; evicted > 0 {
		a.first += uint64(evicted)
		a.timesMS = a.timesMS[evicted:]
	}
}

// StalenessMS is for how long a server that uses a revision has been behind: since the next one was agreed on. 0: it is the latest.
// Where that is longer ago than is known, it is the longest time that is known.
func (a *CommitTimes) StalenessMS(nowMS float64, revision uint64) float64 {
	if len(a.timesMS) == 0 || revision+1 >= a.first+uint64(len(a.timesMS)) {
		return 0
	}
	i := 0
	if revision+1 > a.first {
		i = int(revision + 1 - a.first)
	}
	return nowMS - a.timesMS[i]
}
