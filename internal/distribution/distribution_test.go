package distribution

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"

	"puffinsaddle/internal/records"
)

// commitChain returns a chain of n commits.
func commitChain(t *testing.T, n int) []records.Commit {
	t.Helper()
	s := records.NewSet(records.DefaultLimits)
	var all []records.Commit
	for i := range n {
		c, err := s.Apply(records.Change{Puts: []records.Put{{Key: records.Key{Kind: records.Tenant, Name: fmt.Sprint(i % 7)}, Value: []byte(fmt.Sprint(i))}}})
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, c)
	}
	return all
}

func positionAfter(c records.Commit) Position { return Position{c.Revision, c.After} }

// Watchers that connect, disconnect and read at random times receive each commit once and in order, or get ErrNotRetained; the feed
// stays within its limits.
func TestFeedDeliversEachCommitOnceInOrder(t *testing.T) {
	all := commitChain(t, 600)
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 1))
		limits := Limits{Commits: 40, Bytes: 1200, Watchers: 8, Snapshots: 2}
		f := NewFeed(limits, seed)
		revisions := map[int]uint64{} // revision by admitted watcher
		next := 0
		for range 5000 {
			switch watcher := rng.IntN(10); rng.IntN(4) {
			case 0:
				if next < len(all) {
					if err := f.Advance(all[next], make([]byte, 10+rng.IntN(60))); err != nil {
						t.Fatal(err)
					}
					next++
				}
			case 1:
				if _, admitted := revisions[watcher]; !admitted && next > 0 {
					from := Position{}
					if i := rng.IntN(next + 1); i > 0 {
						from = positionAfter(all[i-1])
					}
					revisions, verdict := admitWatcher(f, revisions, watcher, from)
					if verdict == VerdictRefuse && len(revisions) < limits.Watchers && f.Snapshots() < limits.Snapshots {
						t.Fatalf("seed %d: watcher refused below the limits", seed)
					}
				}
			case 2:
				if _, admitted := revisions[watcher]; admitted {
					f.Leave()
					delete(revisions, watcher)
				}
			case 3:
				revision, admitted := revisions[watcher]
				if !admitted {
					continue
				}
				frames, through, err := f.FramesAfter(revision, 200)
				if errors.Is(err, ErrNotRetained) != (revision < f.OldestRevision()) {
					t.Fatalf("seed %d: FramesAfter revision %d with oldest revision %d: %v", seed, revision, f.OldestRevision(), err)
				}
				if err != nil {
					f.Leave()
					delete(revisions, watcher)
					continue
				}
				if through-revision != uint64(len(frames)) {
					t.Fatalf("seed %d: %d frames from %d to %d", seed, len(frames), revision, through)
				}
				revisions[watcher] = through
			}
			if f.RetainedBytes() > limits.Bytes || f.Position().Revision-f.OldestRevision() > uint64(limits.Commits) || f.Watchers() != len(revisions) || f.Watchers() > limits.Watchers {
				t.Fatalf("seed %d: feed exceeds a limit", seed)
			}
		}
	}
}

// admitWatcher admits a watcher; a snapshot ends immediately.
func admitWatcher(f *Feed, revisions map[int]uint64, watcher int, from Position) (map[int]uint64, Verdict) {
	a := f.Admit(from)
	switch a.Verdict {
	case VerdictStream:
		revisions[watcher] = from.Revision
	case VerdictSnapshot:
		f.SnapshotDone()
		revisions[watcher] = f.Position().Revision
	}
	return revisions, a.Verdict
}

// A watcher with records that were never committed gets a snapshot; a watcher that is ahead, or over a limit, is refused.
func TestFeedAdmissionVerdicts(t *testing.T) {
	all := commitChain(t, 10)
	f := NewFeed(Limits{Commits: 5, Bytes: 1 << 20, Watchers: 4, Snapshots: 1}, 1)
	for _, c := range all[:9] {
		if err := f.Advance(c, []byte("frame")); err != nil {
			t.Fatal(err)
		}
	}
	if a := f.Admit(positionAfter(all[9])); a.Verdict != VerdictRefuse || a.RetryDelayMS < feedBehindRetryMS/2 {
		t.Errorf("watcher ahead of the feed: %+v", a)
	}
	if a := f.Admit(positionAfter(all[3])); a.Verdict != VerdictStream {
		t.Errorf("watcher at the oldest revision: %+v", a)
	}
	if a := f.Admit(Position{all[6].Revision, all[5].After}); a.Verdict != VerdictSnapshot {
		t.Errorf("watcher with a different digest: %+v", a)
	}
	if a := f.Admit(positionAfter(all[1])); a.Verdict != VerdictRefuse || a.RetryDelayMS < snapshotLimitRetryMS/2 || a.RetryDelayMS > snapshotLimitRetryMS*1.5 {
		t.Errorf("snapshot over the limit: %+v", a)
	}
	f.SnapshotDone()
	if a := f.Admit(positionAfter(all[1])); a.Verdict != VerdictSnapshot {
		t.Errorf("watcher behind the oldest revision: %+v", a)
	}
	if a := f.Admit(positionAfter(all[8])); a.Verdict != VerdictStream {
		t.Errorf("last watcher within the limit: %+v", a)
	}
	if a := f.Admit(positionAfter(all[8])); a.Verdict != VerdictRefuse || a.Reason != "full" {
		t.Errorf("watcher over the limit: %+v", a)
	}
	if err := f.Advance(all[8], nil); !errors.Is(err, ErrOutOfOrder) {
		t.Errorf("commit added twice: %v", err)
	}
}

// Watchers of a failed relay spread over the other relays of their region, after jittered waits, and later return to their zone.
func TestSelectorsSpreadOverRegionAndReturnToOwnZone(t *testing.T) {
	var relays []Relay
	for i := range 12 {
		relays = append(relays, Relay{Name: fmt.Sprintf("n%d", i), Address: fmt.Sprintf("127.0.0.1:%d", 7000+i), Zone: fmt.Sprintf("z%d", i), Region: fmt.Sprintf("r%d", i%3)})
	}
	secondChoices, totalWaitMS, reselecting := map[string]int{}, 0.0, 0
	const watchers = 300
	for seed := range uint64(watchers) {
		s := NewSelector(relays, Locality{"z0", "r0"}, seed)
		r, _, ok := s.Next(0)
		if !ok || r.Zone != "z0" {
			t.Fatalf("first choice: got %+v, want the relay of zone z0", r)
		}
		s.Served()
		totalWaitMS += s.Failed()
		s.Next(1)
		s.Failed() // the relay of zone z0 stays down
		r, _, _ = s.Next(2)
		if r.Region != "r0" {
			t.Fatalf("second choice: got %+v, want a relay of region r0", r)
		}
		secondChoices[r.Name]++
		if reselectAfterMS := s.Served(); reselectAfterMS >= minRemoteStayMS && reselectAfterMS <= 2*minRemoteStayMS {
			reselecting++
		}
	}
	if reselecting != watchers {
		t.Errorf("%d of %d watchers select a nearer relay later, want all", reselecting, watchers)
	}
	if mean := totalWaitMS / watchers; mean < initialBackoffMS/3 || mean > initialBackoffMS {
		t.Errorf("mean backoff is %.0f ms", mean)
	}
	for name, n := range secondChoices {
		if n > watchers/2 {
			t.Errorf("%d of %d watchers choose %s", n, watchers, name)
		}
	}
	s := NewSelector(relays, Locality{"z0", "r0"}, 1)
	last, longest := 0.0, 0.0
	for range 40 {
		last = s.Failed()
		longest = max(longest, last)
	}
	if longest > maxBackoffMS || longest < maxBackoffMS/2 {
		t.Errorf("longest backoff is %.0f ms", longest)
	}
}

// A relay that refused is not chosen again before its retry delay has passed, and the alternative that it gave is chosen next.
func TestSelectorHonoursRefusal(t *testing.T) {
	relays := []Relay{{Name: "a", Address: "127.0.0.1:1", Zone: "z"}, {Name: "b", Address: "127.0.0.1:2", Zone: "y"}, {Name: "c", Address: "127.0.0.1:3", Zone: "x"}}
	s := NewSelector(relays, Locality{Zone: "z"}, 1)
	if r, _, _ := s.Next(0); r.Name != "a" {
		t.Fatalf("%+v", r)
	}
	s.Refused(0, 5000, []string{"nobody", "c"})
	if r, _, _ := s.Next(10); r.Name != "c" {
		t.Errorf("chose %s", r.Name)
	}
	s.Refused(10, 5000, nil)
	if r, _, _ := s.Next(20); r.Name != "b" {
		t.Errorf("chose %s", r.Name)
	}
	s.Refused(20, 9000, nil)
	if _, wait, ok := s.Next(30); ok || wait != 4970 {
		t.Errorf("all relays refused: wait %v, ok %v", wait, ok)
	}
	if r, _, ok := s.Next(5001); !ok || r.Name != "a" {
		t.Errorf("after the retry delay: %+v, %v", r, ok)
	}
}

// The reports of many watchers are aggregated into one of bounded size, and aggregates can be aggregated again.
func TestProgressAggregatesReports(t *testing.T) {
	p := NewProgress()
	for i := range 500 {
		r := Report{Servers: 1, LowestRevision: 20, LowestServer: fmt.Sprintf("s%03d", i)}
		if i == 77 {
			r.LowestRevision = 18
		}
		if i%10 == 0 {
			r.ServersRejecting, r.Rejections = 1, []Rejection{{Server: r.LowestServer, Key: "setting/x", Revision: uint64(i), Reason: "no"}}
		}
		p.Put(r.LowestServer, r)
	}
	sum := p.Sum(20)
	if sum.Servers != 500 || sum.LowestRevision != 18 || sum.LowestServer != "s077" || sum.ServersBehind != 1 || sum.ServersRejecting != 50 || len(sum.Rejections) != MaxRejections {
		t.Errorf("%+v", sum)
	}
	p.Drop("s077")
	if sum = p.Sum(21); sum.LowestRevision != 20 || sum.ServersBehind != 499 {
		t.Errorf("%+v", sum)
	}
	upstream := NewProgress()
	upstream.Put("relay", p.Sum(20))
	upstream.Put("another", Report{})
	if sum = upstream.Sum(20); sum.Servers != 499 || sum.ServersBehind != 0 || sum.ServersRejecting != 50 {
		t.Errorf("%+v", sum)
	}
}

// A relay that looks for the store leader has a shorter maximum backoff than a server that looks for a relay.
func TestStoreSelectorHasShorterMaxBackoff(t *testing.T) {
	storeReplicas := []Relay{{Name: "a", Address: "a:1"}, {Name: "b", Address: "b:1"}}
	longest := func(s *Selector) (ms float64) {
		for range 1000 {
			ms = max(ms, s.Failed())
		}
		return ms
	}
	if ms := longest(NewStoreSelector(storeReplicas, 1)); ms > maxStoreBackoffMS || ms < 0.9*maxStoreBackoffMS {
		t.Errorf("longest backoff of a relay is %v ms", ms)
	}
	if ms := longest(NewSelector(storeReplicas, Locality{}, 1)); ms > maxBackoffMS || ms < 0.9*maxBackoffMS {
		t.Errorf("longest backoff of a server is %v ms", ms)
	}
}

// A relay that asks for a retry delay of years is retried within maxRefusalDelayMS.
func TestRefusalDelayIsBounded(t *testing.T) {
	s := NewSelector([]Relay{{Name: "a", Address: "a:1"}}, Locality{}, 1)
	s.Next(0)
	s.Refused(0, 1e300, nil)
	if _, wait, ok := s.Next(1); ok || wait > maxRefusalDelayMS {
		t.Errorf("after a refusal: ok %v, wait %v ms", ok, wait)
	}
	if _, _, ok := s.Next(maxRefusalDelayMS); !ok {
		t.Error("relay is not retried after the longest delay")
	}
}
