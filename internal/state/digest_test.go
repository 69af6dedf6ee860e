package state

import (
	"encoding/json"
	"fmt"
	"testing"

	"puffinsaddle/internal/duty"
	"puffinsaddle/internal/publish"
)

// full is a state with something of every kind.
func full(t testing.TB, effects int) *State {
	t.Helper()
	s := New()
	do := func(c Command) {
		if r := s.Apply(c, 1); r.Error != "" {
			t.Fatalf("%s: %s", c.Op, r.Error)
		}
	}
	for i, name := range []string{"allotter", duty.PresenceName("a#1")} {
		o := duty.Order{Kind: duty.Grant, Name: name, Holder: "a#1", TTLMS: 2000, Term: 1}
		if r := s.Apply(Command{Op: Orders, Orders: []duty.Order{o}}, 1); r.Part[0] != "" {
			t.Fatalf("%d: %s", i, r.Part[0])
		}
	}
	do(Command{Op: Set, Key: "config/a", Value: []byte("text")})
	do(Command{Op: Set, Key: "empty"})
	for i := range effects {
		do(Command{Op: Begin, Key: fmt.Sprintf("%016x", i), Who: "a#1", Epoch: 2, Keep: true})
	}
	do(Command{Op: End, Who: "a#1", IDs: []string{fmt.Sprintf("%016x", 0)}})
	under := &duty.Ref{Name: "allotter", Epoch: 1}
	do(Command{Op: Act, Fence: under, Do: []Command{{Op: Mark}}})
	do(Command{Op: Act, Fence: under, Do: []Command{{Op: Pool, Amount: 9000}, {Op: Share, Who: "a#1", Amount: 300}}})
	do(Command{Op: Act, Fence: under, Do: []Command{{Op: Publish, Files: []publish.File{{Name: "operator.yaml", Text: []byte("x")}}}}})
	do(Command{Op: AcknowledgeVersion, Who: "a#1", Said: &publish.Acknowledgement{No: 1}})
	s.Apply(Command{Op: Act, Fence: &duty.Ref{Name: "allotter", Epoch: 7}, Do: []Command{{Op: Mark}}}, 1)
	return s
}

func digests(s *State) (all [Parts]uint64) {
	for i := range all {
		all[i] = s.Digest(uint64(i))
	}
	return all
}

// The same entries give the same sums, also where a copy got them by a snapshot; any one thing that differs shows in one part.
func TestDigestsShowWhatDiffers(t *testing.T) {
	s := full(t, 50)
	before := digests(s)
	if before != digests(full(t, 50)) {
		t.Error("the same entries have other sums")
	}
	b, err := json.Marshal(s.Keep())
	if err != nil {
		t.Fatal(err)
	}
	read, err := Read(b)
	if err != nil {
		t.Fatal(err)
	}
	if before != digests(read) {
		t.Error("a state that was read from a snapshot has other sums")
	}
	if s.Digest(3) != s.Digest(3+Parts) {
		t.Error("parts do not come round")
	}
	for what, change := range map[string]func(*State){
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
		"a share":              func(s *State) { s.Shares.Shares["a#1"].Cap++ },
		"the pool":             func(s *State) { s.Shares.Pool++ },
		"a version's text":     func(s *State) { s.Config.Versions[0].Files[0].Text = []byte("y") },
		"a word":               func(s *State) { s.Config.Acknowledgements["a#1"] = publish.Acknowledgement{No: 2} },
		"a mark":               func(s *State) { s.Marks["allotter"]++ },
		"a count of refusals":  func(s *State) { s.Stale["allotter"]++ },
	} {
		s := full(t, 50)
		change(s)
		differ := 0
		for i, sum := range digests(s) {
			if sum != before[i] {
				differ++
			}
		}
		if differ == 0 || differ > 2 { // a name that moved may be in two parts
			t.Errorf("%s: %d parts differ", what, differ)
		}
	}
}

// BenchmarkDigest measures one part of a state with a full record of effects; entries wait for so long.
func BenchmarkDigest(b *testing.B) {
	s := full(b, mostEffects)
	for i := uint64(0); b.Loop(); i++ {
		s.Digest(i)
	}
}
