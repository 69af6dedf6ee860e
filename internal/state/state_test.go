package state

import (
	"encoding/json"
	"reflect"
	"strings"
	"testing"

	"puffinsaddle/internal/duty"
	"puffinsaddle/internal/publish"
)

func grantLease(t *testing.T, s *State, name, holder string) duty.Ref {
	t.Helper()
	o := duty.Order{Kind: duty.Grant, Name: name, Holder: holder, TTLMS: 2000, Term: 3}
	if l := s.Duties.Leases[name]; l != nil {
		o.Epoch = l.Epoch
	}
	if r := s.Apply(Command{Op: OpLeaseOrders, Orders: []duty.Order{o}}, 3); len(r.Refusals) != 1 || r.Refusals[0] != "" {
		t.Fatalf("%+v", r)
	}
	return duty.Ref{Name: name, Epoch: s.Duties.Leases[name].Epoch}
}

func endLease(t *testing.T, s *State, r duty.Ref) {
	t.Helper()
	if got := s.Apply(Command{Op: OpLeaseOrders, Orders: []duty.Order{{Kind: duty.Expire, Name: r.Name, Epoch: r.Epoch, Term: 3}}}, 3); got.Refusals[0] != "" {
		t.Fatalf("%+v", got)
	}
}

func fenced(fence duty.Ref, batch ...Command) Command {
	return Command{Op: OpFenced, Fence: &fence, Batch: batch}
}

func TestStaleEpochsAreRefusedAndCounted(t *testing.T) {
	s := New()
	first := grantLease(t, s, "d", "a")
	if r := s.Apply(fenced(first, Command{Op: OpIncrementCounter}), 3); r.Value != 1 || r.Error != "" {
		t.Fatalf("%+v", r)
	}
	endLease(t, s, first)
	if r := s.Apply(fenced(first, Command{Op: OpIncrementCounter}), 3); !r.Stale {
		t.Errorf("after its end: %+v", r)
	}
	second := grantLease(t, s, "d", "b")
	for _, e := range []duty.Ref{first, {Name: "d", Epoch: second.Epoch + 1}, {Name: "none", Epoch: 1}} {
		if r := s.Apply(fenced(e, Command{Op: OpIncrementCounter}), 3); !r.Stale || r.Error == "" {
			t.Errorf("%+v: %+v", e, r)
		}
	}
	if s.Counters["d"] != 1 || s.StaleRefusals["d"] != 3 {
		t.Errorf("%d marks, %d refused", s.Counters["d"], s.StaleRefusals["d"])
	}
	if r := s.Apply(Command{Op: OpFenced, Batch: []Command{{Op: OpIncrementCounter}}}, 3); r.Error == "" {
		t.Error("an act without an epoch")
	}
	s.InjectedBug = duty.BugUnfenced
	if r := s.Apply(fenced(first, Command{Op: OpIncrementCounter}), 3); r.Stale || s.Counters["d"] != 2 {
		t.Error("the planted bug is none")
	}
}

// An act is carried out whole or not at all, and shares go with the presence that they hang on.
func TestFencedBatchesAreAtomic(t *testing.T) {
	s := New()
	a, b := grantLease(t, s, duty.PresenceName("a"), "a"), grantLease(t, s, duty.PresenceName("b"), "b")
	allotter := grantLease(t, s, "allotter", "a")
	if r := s.Apply(fenced(allotter, Command{Op: OpSetPool, Amount: 100}, Command{Op: OpSetAllocation, Process: "a", Amount: 60}), 3); r.Error != "" {
		t.Fatalf("%+v", r)
	}
	if r := s.Apply(fenced(allotter, Command{Op: OpSetAllocation, Process: "a", Amount: 30}, Command{Op: OpSetAllocation, Process: "b", Amount: 70}), 3); r.Error == "" {
		t.Error("over the whole: what is cut is in use until its process says otherwise")
	}
	if v := s.Allocations.Shares["a"]; v.Target != 60 || v.Cap != 60 {
		t.Errorf("half of a refused act was done: %+v", v)
	}
	if r := s.Apply(fenced(allotter, Command{Op: OpSetAllocation, Process: "a", Amount: 30}), 3); r.Error != "" {
		t.Fatalf("%+v", r)
	}
	s.Apply(Command{Op: OpAcknowledgeAllocation, Process: "a", Epoch: s.Allocations.Shares["a"].Version}, 3)
	if r := s.Apply(fenced(allotter, Command{Op: OpSetAllocation, Process: "b", Amount: 70}), 3); r.Error != "" {
		t.Errorf("after the cut is in use: %+v", r)
	}
	endLease(t, s, b)
	if s.Allocations.TotalCap() != 30 {
		t.Errorf("%d in force after a presence ended", s.Allocations.TotalCap())
	}
	if r := s.Apply(Command{Op: OpBeginEffect, Key: "e1", Process: "a", Epoch: a.Epoch, NoEviction: true}, 3); !r.WasAbsent {
		t.Errorf("%+v", r)
	}
	endLease(t, s, a)
	if r := s.Apply(Command{Op: OpBeginEffect, Key: "e2", Process: "a", Epoch: a.Epoch, NoEviction: true}, 3); !r.Stale || r.WasAbsent {
		t.Errorf("an effect of a process that is gone: %+v", r)
	}
	settler := grantLease(t, s, "settler", "b")
	if r := s.Apply(fenced(settler, Command{Op: OpResolveEffects, EffectIDs: []string{"e1", "e2"}}), 3); r.Value != 1 {
		t.Errorf("%+v", r)
	}
	if r := s.Apply(Command{Op: "nonsense"}, 3); r.Error == "" {
		t.Error("an unknown command")
	}
}

func TestSnapshotsAreComplete(t *testing.T) {
	s := New()
	s.Apply(Command{Op: OpSet, Key: "k", Value: []byte("v")}, 1)
	a := grantLease(t, s, duty.PresenceName("a"), "a")
	p := grantLease(t, s, "publisher", "a")
	s.Apply(Command{Op: OpBeginEffect, Key: "e1", Process: "a", Epoch: a.Epoch, NoEviction: true}, 3)
	s.Apply(fenced(p, Command{Op: OpPublishVersion, Files: []publish.File{{Name: "f", Text: []byte("x")}}}, Command{Op: OpIncrementCounter}), 3)
	s.Apply(Command{Op: OpAcknowledgeVersion, Process: "a", Acknowledgement: &publish.Acknowledgement{No: 1, Reason: "no"}}, 3)
	s.Apply(Command{Op: OpFreezeDuty, Key: "publisher"}, 3)
	s.Apply(fenced(duty.Ref{Name: "publisher", Epoch: 99}, Command{Op: OpIncrementCounter}), 3)
	b, err := json.Marshal(s.Snapshot())
	if err != nil {
		t.Fatal(err)
	}
	restored, err := ReadSnapshot(b)
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(s, restored) {
		t.Errorf("\n%s\n%s", b, must(json.Marshal(restored.Snapshot())))
	}
	last := restored.Duties.LastEpoch
	if r := grantLease(t, restored, "other", "b"); r.Epoch <= last {
		t.Errorf("epoch %d after a snapshot with %d", r.Epoch, last)
	}
}

func must(b []byte, err error) string { return string(b) }

// A snapshot and a log as earlier versions wrote them.
func TestSnapshotsAndLogsOfEarlierVersionsAreRead(t *testing.T) {
	s, err := ReadSnapshot([]byte(`{"values":{"config/n1":"eA==","effects/0a":null,"effects/0b":null},"order":["effects/0b","effects/0a"]}`))
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
	if r := s.Apply(c, 1); r.WasAbsent || r.Error != "" {
		t.Errorf("begun before: %+v", r)
	}
	if _, err := ReadSnapshot([]byte(`{"values":`)); err == nil || !strings.Contains(err.Error(), "unexpected end") {
		t.Errorf("a snapshot that is cut off: %v", err)
	}
}
