package state

import (
	"encoding/json"
	"reflect"
	"strings"
	"testing"

	"puffinsaddle/internal/duty"
	"puffinsaddle/internal/publish"
)

func grant(t *testing.T, s *State, name, who string) duty.Ref {
	t.Helper()
	o := duty.Order{Kind: duty.Grant, Name: name, Holder: who, TTLMS: 2000, Term: 3}
	if l := s.Duties.Leases[name]; l != nil {
		o.Epoch = l.Epoch
	}
	if r := s.Apply(Command{Op: Orders, Orders: []duty.Order{o}}, 3); len(r.Part) != 1 || r.Part[0] != "" {
		t.Fatalf("%+v", r)
	}
	return duty.Ref{Name: name, Epoch: s.Duties.Leases[name].Epoch}
}

func end(t *testing.T, s *State, r duty.Ref) {
	t.Helper()
	if got := s.Apply(Command{Op: Orders, Orders: []duty.Order{{Kind: duty.Expire, Name: r.Name, Epoch: r.Epoch, Term: 3}}}, 3); got.Part[0] != "" {
		t.Fatalf("%+v", got)
	}
}

func act(under duty.Ref, do ...Command) Command { return Command{Op: Act, Fence: &under, Do: do} }

func TestActsOfAnOldEpochAreRefusedAndCounted(t *testing.T) {
	s := New()
	first := grant(t, s, "d", "a")
	if r := s.Apply(act(first, Command{Op: Mark}), 3); r.N != 1 || r.Error != "" {
		t.Fatalf("%+v", r)
	}
	end(t, s, first)
	if r := s.Apply(act(first, Command{Op: Mark}), 3); !r.Stale {
		t.Errorf("after its end: %+v", r)
	}
	second := grant(t, s, "d", "b")
	for _, e := range []duty.Ref{first, {Name: "d", Epoch: second.Epoch + 1}, {Name: "none", Epoch: 1}} {
		if r := s.Apply(act(e, Command{Op: Mark}), 3); !r.Stale || r.Error == "" {
			t.Errorf("%+v: %+v", e, r)
		}
	}
	if s.Marks["d"] != 1 || s.Stale["d"] != 3 {
		t.Errorf("%d marks, %d refused", s.Marks["d"], s.Stale["d"])
	}
	if r := s.Apply(Command{Op: Act, Do: []Command{{Op: Mark}}}, 3); r.Error == "" {
		t.Error("an act without an epoch")
	}
	s.Plant = duty.BugUnfenced
	if r := s.Apply(act(first, Command{Op: Mark}), 3); r.Stale || s.Marks["d"] != 2 {
		t.Error("the planted bug is none")
	}
}

// An act is carried out whole or not at all, and shares go with the presence that they hang on.
func TestActsAreWhole(t *testing.T) {
	s := New()
	a, b := grant(t, s, duty.PresenceName("a"), "a"), grant(t, s, duty.PresenceName("b"), "b")
	allot := grant(t, s, "allotter", "a")
	if r := s.Apply(act(allot, Command{Op: Pool, Amount: 100}, Command{Op: Share, Who: "a", Amount: 60}), 3); r.Error != "" {
		t.Fatalf("%+v", r)
	}
	if r := s.Apply(act(allot, Command{Op: Share, Who: "a", Amount: 30}, Command{Op: Share, Who: "b", Amount: 70}), 3); r.Error == "" {
		t.Error("over the whole: what is cut is in use until its process says otherwise")
	}
	if v := s.Shares.Shares["a"]; v.Target != 60 || v.Cap != 60 {
		t.Errorf("half of a refused act was done: %+v", v)
	}
	if r := s.Apply(act(allot, Command{Op: Share, Who: "a", Amount: 30}), 3); r.Error != "" {
		t.Fatalf("%+v", r)
	}
	s.Apply(Command{Op: Ack, Who: "a", Epoch: s.Shares.Shares["a"].Version}, 3)
	if r := s.Apply(act(allot, Command{Op: Share, Who: "b", Amount: 70}), 3); r.Error != "" {
		t.Errorf("after the cut is in use: %+v", r)
	}
	end(t, s, b)
	if s.Shares.TotalCap() != 30 {
		t.Errorf("%d in force after a presence ended", s.Shares.TotalCap())
	}
	if r := s.Apply(Command{Op: Begin, Key: "e1", Who: "a", Epoch: a.Epoch, Keep: true}, 3); !r.Fresh {
		t.Errorf("%+v", r)
	}
	end(t, s, a)
	if r := s.Apply(Command{Op: Begin, Key: "e2", Who: "a", Epoch: a.Epoch, Keep: true}, 3); !r.Stale || r.Fresh {
		t.Errorf("an effect of a process that is gone: %+v", r)
	}
	settler := grant(t, s, "settler", "b")
	if r := s.Apply(act(settler, Command{Op: Settle, IDs: []string{"e1", "e2"}}), 3); r.N != 1 {
		t.Errorf("%+v", r)
	}
	if r := s.Apply(Command{Op: "nonsense"}, 3); r.Error == "" {
		t.Error("an unknown command")
	}
}

func TestSnapshotsHoldEverything(t *testing.T) {
	s := New()
	s.Apply(Command{Op: Set, Key: "k", Value: []byte("v")}, 1)
	a := grant(t, s, duty.PresenceName("a"), "a")
	p := grant(t, s, "publisher", "a")
	s.Apply(Command{Op: Begin, Key: "e1", Who: "a", Epoch: a.Epoch, Keep: true}, 3)
	s.Apply(act(p, Command{Op: Publish, Files: []publish.File{{Name: "f", Text: []byte("x")}}}, Command{Op: Mark}), 3)
	s.Apply(Command{Op: AcknowledgeVersion, Who: "a", Said: &publish.Acknowledgement{No: 1, Reason: "no"}}, 3)
	s.Apply(Command{Op: Freeze, Key: "publisher"}, 3)
	s.Apply(act(duty.Ref{Name: "publisher", Epoch: 99}, Command{Op: Mark}), 3)
	b, err := json.Marshal(s.Keep())
	if err != nil {
		t.Fatal(err)
	}
	back, err := Read(b)
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(s, back) {
		t.Errorf("\n%s\n%s", b, must(json.Marshal(back.Keep())))
	}
	last := back.Duties.LastEpoch
	if r := grant(t, back, "other", "b"); r.Epoch <= last {
		t.Errorf("epoch %d after a snapshot with %d", r.Epoch, last)
	}
}

func must(b []byte, err error) string { return string(b) }

// A snapshot and a log as earlier versions wrote them.
func TestEarlierFormsAreRead(t *testing.T) {
	s, err := Read([]byte(`{"values":{"config/n1":"eA==","effects/0a":null,"effects/0b":null},"order":["effects/0b","effects/0a"]}`))
	if err != nil {
		t.Fatal(err)
	}
	if string(s.Values["config/n1"]) != "x" || len(s.Values) != 1 || s.Effects.Effects["0b"].Seq != 1 || s.Effects.Effects["0a"].Seq != 2 {
		t.Errorf("%+v %+v", s.Values, s.Effects.Effects)
	}
	var c Command
	if err := json.Unmarshal([]byte(`{"op":"begin","key":"effects/0a"}`), &c); err != nil {
		t.Fatal(err)
	}
	if r := s.Apply(c, 1); r.Fresh || r.Error != "" {
		t.Errorf("begun before: %+v", r)
	}
	if _, err := Read([]byte(`{"values":`)); err == nil || !strings.Contains(err.Error(), "unexpected end") {
		t.Errorf("a snapshot that is cut off: %v", err)
	}
}
