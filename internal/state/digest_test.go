package state

import (
	"encoding/json"
	"fmt"
	"testing"

	"puffinsaddle/internal/duty"
	"puffinsaddle/internal/publish"
)

// populatedState is a state with something of every kind.
func populatedState(t testing.TB, effects int) *State {
	t.Helper()
	s := New()
	apply := func(c Command) {
		if r := s.Apply(c, 1); r.Error != "" {
			t.Fatalf("%s: %s", c.Op, r.Error)
		}
	}
	for i, name := range []string{"allotter", duty.PresenceName("a#1")} {
		o := duty.Order{Kind: duty.Grant, Name: name, Holder: "a#1", TTLMS: 2000, Term: 1}
		if r := s.Apply(Command{Op: OpLeaseOrders, Orders: []duty.Order{o}}, 1); r.Refusals[0] != "" {
			t.Fatalf("%d: %s", i, r.Refusals[0])
		}
	}
	apply(Command{Op: OpSet, Key: "config/a", Value: []byte("text")})
	apply(Command{Op: OpSet, Key: "empty"})
	for i := range effects {
		apply(Command{Op: OpBeginEffect, Key: fmt.Sprintf("%016x", i), Process: "a#1", Epoch: 2, NoEviction: true})
	}
	apply(Command{Op: OpEndEffects, Process: "a#1", EffectIDs: []string{fmt.Sprintf("%016x", 0)}})
	fence := &duty.Ref{Name: "allotter", Epoch: 1}
	apply(Command{Op: OpFenced, Fence: fence, Batch: []Command{{Op: OpIncrementCounter}}})
	apply(Command{Op: OpFenced, Fence: fence, Batch: []Command{{Op: OpSetPool, Amount: 9000}, {Op: OpSetAllocation, Process: "a#1", Amount: 300}}})
	apply(Command{Op: OpFenced, Fence: fence, Batch: []Command{{Op: OpPublishVersion, Files: []publish.File{{Name: "operator.yaml", Text: []byte("x")}}}}})
	apply(Command{Op: OpAcknowledgeVersion, Process: "a#1", Acknowledgement: &publish.Acknowledgement{No: 1}})
	s.Apply(Command{Op: OpFenced, Fence: &duty.Ref{Name: "allotter", Epoch: 7}, Batch: []Command{{Op: OpIncrementCounter}}}, 1)
	return s
}

func digests(s *State) (all [DigestPartitions]uint64) {
	for i := range all {
		all[i] = s.Digest(uint64(i))
	}
	return all
}

// The same entries give the same sums, also where a copy got them by a snapshot; any one thing that differs shows in one part.
func TestDigestsRevealEveryDifference(t *testing.T) {
	s := populatedState(t, 50)
	before := digests(s)
	if before != digests(populatedState(t, 50)) {
		t.Error("the same entries have other sums")
	}
	b, err := json.Marshal(s.Snapshot())
	if err != nil {
		t.Fatal(err)
	}
	restored, err := ReadSnapshot(b)
	if err != nil {
		t.Fatal(err)
	}
	if before != digests(restored) {
		t.Error("a state that was read from a snapshot has other sums")
	}
	if s.Digest(3) != s.Digest(3+DigestPartitions) {
		t.Error("parts do not come round")
	}
	for name, change := range map[string]func(*State){
		"a value":              func(s *State) { s.Values["config/a"] = []byte("texu") },
		"a value's name":       func(s *State) { s.Values["config/b"], s.Values["config/a"] = s.Values["config/a"], nil },
		"an effect's owner":    func(s *State) { s.Effects.Effects["0000000000000007"].Owner = "b#1" },
		"an effect's number":   func(s *State) { s.Effects.Effects["0000000000000007"].Seq ^= 4 },
		"an effect's end":      func(s *State) { s.Effects.Effects["0000000000000000"].State = "failed" },
		"an effect is missing": func(s *State) { delete(s.Effects.Effects, "0000000000000009") },
		"a lease's epoch":      func(s *State) { s.Duties.Leases["allotter"].Epoch++ },
		"a lease's holder":     func(s *State) { s.Duties.Leases["allotter"].Holder = "b#1" },
		"the highest epoch":    func(s *State) { s.Duties.LastEpoch++ },
		"a frozen duty":        func(s *State) { s.Duties.Frozen["x"] = true },
		"a share":              func(s *State) { s.Allocations.Shares["a#1"].Cap++ },
		"the pool":             func(s *State) { s.Allocations.Pool++ },
		"a version's text":     func(s *State) { s.Config.Versions[0].Files[0].Text = []byte("y") },
		"a word":               func(s *State) { s.Config.Acknowledgements["a#1"] = publish.Acknowledgement{No: 2} },
		"a mark":               func(s *State) { s.Counters["allotter"]++ },
		"a count of refusals":  func(s *State) { s.StaleRefusals["allotter"]++ },
	} {
		s := populatedState(t, 50)
		change(s)
		differ := 0
		for i, sum := range digests(s) {
			if sum != before[i] {
				differ++
			}
		}
		if differ == 0 || differ > 2 { // a name that moved may be in two parts
			t.Errorf("%s: %d parts differ", name, differ)
		}
	}
}

// BenchmarkDigest measures one part of a state with a full record of effects; entries wait for so long.
func BenchmarkDigest(b *testing.B) {
	s := populatedState(b, maxEffects)
	for i := uint64(0); b.Loop(); i++ {
		s.Digest(i)
	}
}
