package distribution

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"

	"puffinsaddle/internal/records"
)

// commitChain makes a chain of so many commits.
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

// Watchers that come, go and read at their own pace see each commit once and in order, or are told to begin again; what the
// feed holds stays within its limits.
func TestFeedDeliversEachCommitOnceInOrder(t *testing.T) {
	all := commitChain(t, 600)
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 1))
		limits := Limits{Commits: 40, Bytes: 1200, Watchers: 8, Snapshots: 2}
		f := NewFeed(limits, seed)
		revisions := map[int]uint64{} // of the watchers that are served
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
						t.Fatalf("seed %d: refused with room", seed)
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
					t.Fatalf("seed %d: at %d with the floor at %d: %v", seed, revision, f.OldestRevision(), err)
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
				t.Fatalf("seed %d: over a limit", seed)
			}
		}
	}
}

// admitWatcher admits a watcher; a snapshot is over at once.
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

// Who holds what was never agreed on gets a snapshot, who is ahead is sent away, and so is one too many.
func TestFeedAdmissionVerdicts(t *testing.T) {
	all := commitChain(t, 10)
	f := NewFeed(Limits{Commits: 5, Bytes: 1 << 20, Watchers: 4, Snapshots: 1}, 1)
	for _, c := range all[:9] {
		if err := f.Advance(c, []byte("frame")); err != nil {
			t.Fatal(err)
		}
	}
	if a := f.Admit(positionAfter(all[9])); a.Verdict != VerdictRefuse || a.RetryDelayMS < feedBehindRetryMS/2 {
		t.Errorf("a watcher that is ahead: %+v", a)
	}
	if a := f.Admit(positionAfter(all[3])); a.Verdict != VerdictStream {
		t.Errorf("at the floor: %+v", a)
	}
	if a := f.Admit(Position{all[6].Revision, all[5].After}); a.Verdict != VerdictSnapshot {
		t.Errorf("with other records: %+v", a)
	}
	if a := f.Admit(positionAfter(all[1])); a.Verdict != VerdictRefuse || a.RetryDelayMS < snapshotLimitRetryMS/2 || a.RetryDelayMS > snapshotLimitRetryMS*1.5 {
		t.Errorf("one snapshot too many: %+v", a)
	}
	f.SnapshotDone()
	if a := f.Admit(positionAfter(all[1])); a.Verdict != VerdictSnapshot {
		t.Errorf("behind the floor: %+v", a)
	}
	if a := f.Admit(positionAfter(all[8])); a.Verdict != VerdictStream {
		t.Errorf("the last that has room: %+v", a)
	}
	if a := f.Admit(positionAfter(all[8])); a.Verdict != VerdictRefuse || a.Reason != "full" {
		t.Errorf("one too many: %+v", a)
	}
	if err := f.Advance(all[8], nil); !errors.Is(err, ErrOutOfOrder) {
		t.Errorf("a commit twice: %v", err)
	}
}

// Watchers of a relay that fails spread over the others of their region, at different times, and come back to their zone.
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
			t.Fatalf("the first choice is %+v", r)
		}
		s.Served()
		totalWaitMS += s.Failed()
		s.Next(1)
		s.Failed() // the own zone's does not come back
		r, _, _ = s.Next(2)
		if r.Region != "r0" {
			t.Fatalf("the second choice is %+v", r)
		}
		secondChoices[r.Name]++
		if reselectAfterMS := s.Served(); reselectAfterMS >= minRemoteStayMS && reselectAfterMS <= 2*minRemoteStayMS {
			reselecting++
		}
	}
	if reselecting != watchers {
		t.Errorf("%d of %d look for a nearer relay later", reselecting, watchers)
	}
	if mean := totalWaitMS / watchers; mean < initialBackoffMS/3 || mean > initialBackoffMS {
		t.Errorf("they wait %.0f ms in the mean", mean)
	}
	for name, n := range secondChoices {
		if n > watchers/2 {
			t.Errorf("%d of %d turn to %s", n, watchers, name)
		}
	}
	s := NewSelector(relays, Locality{"z0", "r0"}, 1)
	last, longest := 0.0, 0.0
	for range 40 {
		last = s.Failed()
		longest = max(longest, last)
	}
	if longest > maxBackoffMS || longest < maxBackoffMS/2 {
		t.Errorf("the longest wait is %.0f ms", longest)
	}
}

// A relay that refuses is not asked again before its time, and the one that it named is tried next.
func TestSelectorHonoursRefusal(t *testing.T) {
	relays := []Relay{{Name: "a", Address: "127.0.0.1:1", Zone: "z"}, {Name: "b", Address: "127.0.0.1:2", Zone: "y"}, {Name: "c", Address: "127.0.0.1:3", Zone: "x"}}
	s := NewSelector(relays, Locality{Zone: "z"}, 1)
	if r, _, _ := s.Next(0); r.Name != "a" {
		t.Fatalf("%+v", r)
	}
	s.Refused(0, 5000, []string{"nobody", "c"})
	if r, _, _ := s.Next(10); r.Name != "c" {
		t.Errorf("tried %s", r.Name)
	}
	s.Refused(10, 5000, nil)
	if r, _, _ := s.Next(20); r.Name != "b" {
		t.Errorf("tried %s", r.Name)
	}
	s.Refused(20, 9000, nil)
	if _, wait, ok := s.Next(30); ok || wait != 4970 {
		t.Errorf("all refused: %v, %v", wait, ok)
	}
	if r, _, ok := s.Next(5001); !ok || r.Name != "a" {
		t.Errorf("after its time: %+v, %v", r, ok)
	}
}

// Reports of many come to one of the same size.
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

// A relay that seeks the copy that leads waits less between its tries than a server that seeks a relay.
func TestStoreSelectorHasShorterMaxBackoff(t *testing.T) {
	storeReplicas := []Relay{{Name: "a", Address: "a:1"}, {Name: "b", Address: "b:1"}}
	longest := func(s *Selector) (ms float64) {
		for range 1000 {
			ms = max(ms, s.Failed())
		}
		return ms
	}
	if ms := longest(NewStoreSelector(storeReplicas, 1)); ms > maxStoreBackoffMS || ms < 0.9*maxStoreBackoffMS {
		t.Errorf("a relay waits up to %v ms", ms)
	}
	if ms := longest(NewSelector(storeReplicas, Locality{}, 1)); ms > maxBackoffMS || ms < 0.9*maxBackoffMS {
		t.Errorf("a server waits up to %v ms", ms)
	}
}

// A relay that asks not to be tried for years is tried again within a minute.
func TestRefusalDelayIsBounded(t *testing.T) {
	s := NewSelector([]Relay{{Name: "a", Address: "a:1"}}, Locality{}, 1)
	s.Next(0)
	s.Refused(0, 1e300, nil)
	if _, wait, ok := s.Next(1); ok || wait > maxRefusalDelayMS {
		t.Errorf("tried at once %v, or after %v ms", ok, wait)
	}
	if _, _, ok := s.Next(maxRefusalDelayMS); !ok {
		t.Error("not tried after a minute")
	}
}
