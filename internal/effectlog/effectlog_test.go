package effectlog

import (
	"errors"
	"slices"
	"testing"
)

// Orphaned effects are those whose owner's presence of that epoch is gone. Resolving them is final and changes no other
// effect, and pruning keeps open ones.
func TestOrphanedEffectsAreResolved(t *testing.T) {
	l := NewEffectLog(10)
	present := map[string]uint64{"a": 1, "b": 2}
	live := func(owner string, epoch uint64) bool { return present[owner] == epoch }
	for _, id := range []string{"1", "2", "3"} {
		if fresh, err := l.Begin(id, "a", 1, true); !fresh || err != nil {
			t.Fatal(id, fresh, err)
		}
	}
	l.Begin("4", "b", 2, true)
	if fresh, _ := l.Begin("1", "b", 2, true); fresh {
		t.Error("one effect was begun twice")
	}
	if !l.End("1", "a", true) || l.End("1", "a", false) || l.End("2", "b", true) {
		t.Error("an end must count once, and only from its owner")
	}
	if o := l.Orphans(live, 10); len(o) != 0 {
		t.Errorf("orphans %q while all owners are present", o)
	}
	delete(present, "a")
	orphans := l.Orphans(live, 10)
	if !slices.Equal(orphans, []string{"2", "3"}) {
		t.Fatalf("orphans %q", orphans)
	}
	present["a"] = 1
	if n := l.Resolve([]string{"2"}, live); n != 0 {
		t.Error("an effect was resolved although its owner is present")
	}
	present["a"] = 9 // present again, in another epoch: its effects of the first epoch stay orphaned
	if n := l.Resolve(append(orphans, "4", "none"), live); n != 2 {
		t.Errorf("%d effects resolved, want 2", n)
	}
	if l.Effects["2"].State != Unknown || l.End("2", "a", true) || l.Effects["2"].State != Unknown {
		t.Error("an unknown outcome must stay unknown")
	}
	if fresh, _ := l.Begin("2", "b", 2, true); fresh {
		t.Error("an effect of unknown outcome is begun again")
	}
	if l.Effects["1"].State != Done || l.Effects["4"].State != Begun {
		t.Error("an effect was resolved that is not orphaned")
	}
	c := l.Clone()
	if n := c.Prune(4); n != 3 || len(c.Effects) != 1 || len(l.Effects) != 4 {
		t.Errorf("pruned %d, want the 3 that are not open", n)
	}
}

// A full log refuses effects with ErrFull if a settler removes them by age; otherwise the oldest is removed.
func TestFullLogRefusesEffects(t *testing.T) {
	l := NewEffectLog(2)
	l.Begin("1", "a", 1, true)
	l.Begin("2", "a", 1, true)
	if fresh, err := l.Begin("3", "a", 1, true); fresh || !errors.Is(err, ErrFull) {
		t.Errorf("%v %v", fresh, err)
	}
	if fresh, err := l.Begin("3", "", 0, false); !fresh || err != nil || l.Effects["1"] != nil {
		t.Errorf("without a settler the oldest must be removed: %v %v", fresh, err)
	}
}

// Effects age from the first observation of their sequence number, on a clock that may run fast by a tenth.
func TestAgesCountFromFirstObservation(t *testing.T) {
	var a AgeTracker
	a.Observe(0, 5)
	a.Observe(400, 5)
	a.Observe(500, 9)
	for at, want := range map[float64]uint64{1000: 0, 1099: 0} {
		if got := a.OlderThan(at, 1000, 0.1); got != want {
			t.Errorf("at %v: sequence number %d, want 0", at, got)
		}
	}
	if got := a.OlderThan(1100, 1000, 0.1); got != 5 {
		t.Errorf("at 1100: sequence number %d, want 5", got)
	}
	if got := a.OlderThan(1601, 1000, 0.1); got != 9 {
		t.Errorf("at 1601: sequence number %d, want 9", got)
	}
}
