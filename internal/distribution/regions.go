package distribution

import (
	"cmp"
	"maps"
	"slices"
)

const (
	maxRetainedRelays = 1024 // relays whose last report is retained
	maxCommitTimes    = 8192 // revisions whose commit time is retained
)

// Status is the progress of all regions as known to the store leader.
type Status struct {
	Revision uint64         `json:"revision"` // newest committed revision
	Regions  []RegionStatus `json:"regions"`
}

// RegionStatus is the progress of the servers of one region, from the last report of each of its relays.
type RegionStatus struct {
	Region             string `json:"region"`
	ConnectedRelays    int    `json:"relays"`
	DisconnectedRelays int    `json:"lost"` // their last reports still count
	Report
	StalenessMS   float64 `json:"age_ms"`    // since the commit of the oldest change that some server has not applied; 0: none
	SinceReportMS float64 `json:"silent_ms"` // since the last report of the relay that has been silent longest
}

// relayState is the last known state of a relay.
type relayState struct {
	region       string
	report       Report
	reportedAtMS float64
	connected    bool
}

// Regions keeps the last report of each relay, disconnected ones included: a region that is cut off must remain visible to
// operators. It is in memory only, so a new leader starts empty.
type Regions struct{ relays map[string]*relayState }

// NewRegions returns a Regions without relays.
func NewRegions() *Regions { return &Regions{relays: map[string]*relayState{}} }

// Put stores the latest report of a relay and marks it as connected.
func (g *Regions) Put(nowMS float64, relay, region string, r Report) {
	r.Clamp()
	g.relays[relay] = &relayState{region: region, report: r, reportedAtMS: nowMS, connected: true}
	if len(g.relays) > maxRetainedRelays {
		g.evictOldest()
	}
}

// evictOldest evicts the relay whose last report is the oldest.
func (g *Regions) evictOldest() {
	oldest := ""
	for name, relay := range g.relays {
		if oldest == "" || relay.reportedAtMS < g.relays[oldest].reportedAtMS {
			oldest = name
		}
	}
	delete(g.relays, oldest)
}

// MarkDisconnected marks a relay as disconnected and keeps its last report.
func (g *Regions) MarkDisconnected(relay string) {
	if known := g.relays[relay]; known != nil {
		known.connected = false
	}
}

// Status aggregates the reports by region; latest is the newest committed revision. The most stale region comes first.
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
	slices.SortStableFunc(out, func(a, b RegionStatus) int { return cmp.Compare(b.StalenessMS, a.StalenessMS) })
	return out
}

// CommitTimes holds the commit times of the latest revisions, in milliseconds.
type CommitTimes struct {
	first   uint64    // revision of timesMS[0]
	timesMS []float64 // one for each revision from first on
}

// Add stores nowMS as the commit time of a revision. A revision that does not follow the last one clears the earlier times.
func (t *CommitTimes) Add(revision uint64, nowMS float64) {
	if len(t.timesMS) == 0 || revision != t.first+uint64(len(t.timesMS)) {
		t.first, t.timesMS = revision, nil
	}
	t.timesMS = append(t.timesMS, nowMS)
	if evicted := len(t.timesMS) - maxCommitTimes; evicted > 0 {
		t.first += uint64(evicted)
		t.timesMS = t.timesMS[evicted:]
	}
}

// StalenessMS returns the staleness of a server at a revision: the milliseconds since the next revision was committed, or 0 if the
// server is at the latest. If that commit time is no longer retained, it returns the time since the oldest retained one.
func (t *CommitTimes) StalenessMS(nowMS float64, revision uint64) float64 {
	if len(t.timesMS) == 0 || revision+1 >= t.first+uint64(len(t.timesMS)) {
		return 0
	}
	i := 0
	if revision+1 > t.first {
		i = int(revision + 1 - t.first)
	}
	return nowMS - t.timesMS[i]
}
