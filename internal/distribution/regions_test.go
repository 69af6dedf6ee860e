package distribution

import (
	"fmt"
	"testing"
)

// A region's staleness counts from the commit of the first change that one of its servers has not applied, and keeps growing while
// its relays are disconnected.
func TestRegionStalenessCountsFromFirstUnappliedChange(t *testing.T) {
	g, commitTimes := NewRegions(), &CommitTimes{}
	for revision := uint64(1); revision <= 5; revision++ {
		commitTimes.Add(revision, float64(revision)*1000)
	}
	g.Put(5000, "a1", "a", Report{Servers: 3, LowestRevision: 5, LowestServer: "s1"})
	g.Put(5000, "b1", "b", Report{Servers: 2, LowestRevision: 5, LowestServer: "s4"})
	g.Put(5000, "b2", "b", Report{Servers: 2, LowestRevision: 3, LowestServer: "s6", ServersBehind: 1})
	g.Put(5000, "c1", "c", Report{})
	g.MarkDisconnected("b2")
	all := g.Status(9000, 5, commitTimes)
	if len(all) != 3 || all[0].Region != "b" {
		t.Fatalf("%+v", all)
	}
	b := all[0]
	if b.ConnectedRelays != 1 || b.DisconnectedRelays != 1 || b.Servers != 4 || b.LowestRevision != 3 || b.LowestServer != "s6" || b.ServersBehind != 1 || b.StalenessMS != 5000 || b.SinceReportMS != 4000 {
		t.Errorf("%+v", b)
	}
	if a := all[1]; a.Region != "a" || a.StalenessMS != 0 || a.ServersBehind != 0 || a.Servers != 3 {
		t.Errorf("%+v", a)
	}
	if c := all[2]; c.Region != "c" || c.StalenessMS != 0 || c.Servers != 0 || c.ConnectedRelays != 1 {
		t.Errorf("%+v", c)
	}
	g.Put(9000, "b2", "b", Report{Servers: 2, LowestRevision: 5})
	if b := g.Status(9000, 5, commitTimes)[1]; b.Region != "b" || b.StalenessMS != 0 || b.DisconnectedRelays != 0 {
		t.Errorf("%+v", b)
	}
}

// The numbers of retained relays and commit times are bounded, and an evicted commit time counts as the oldest retained one.
func TestRetainedRelaysAndCommitTimesAreBounded(t *testing.T) {
	g := NewRegions()
	for i := range maxRetainedRelays + 10 {
		g.Put(float64(i), fmt.Sprint("r", i), "a", Report{Servers: 1})
	}
	if n := len(g.relays); n != maxRetainedRelays || g.relays["r9"] != nil || g.relays["r10"] == nil {
		t.Errorf("%d relays are retained, or not the latest ones", n)
	}
	commitTimes := &CommitTimes{}
	for revision := uint64(1); revision <= maxCommitTimes+100; revision++ {
		commitTimes.Add(revision, float64(revision))
	}
	const now = 1e6
	if staleness := commitTimes.StalenessMS(now, 5); len(commitTimes.timesMS) != maxCommitTimes || staleness != now-101 {
		t.Errorf("%d commit times, staleness %v", len(commitTimes.timesMS), staleness)
	}
	if staleness := commitTimes.StalenessMS(now, 200); staleness != now-201 {
		t.Errorf("staleness %v", staleness)
	}
	afterSnapshot := &CommitTimes{}
	afterSnapshot.Add(100, now) // as after a snapshot: earlier commit times are unknown
	if afterSnapshot.StalenessMS(now+7, 60) != 7 || afterSnapshot.StalenessMS(now+7, 100) != 0 {
		t.Error("a server behind the snapshot is not stale, or one at the snapshot is")
	}
	commitTimes.Add(1, now)
	if commitTimes.StalenessMS(now, 1) != 0 || commitTimes.StalenessMS(now+7, 0) != 7 {
		t.Error("a revision that does not follow the last one does not clear the earlier times")
	}
}
