package allocation

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
)

func TestInvalidCapacityIsReportedByKey(t *testing.T) {
	for want, r := range map[string]Capacity{
		"whole must be above 0":     {Total: 0, ReservePerProcess: 1, MaxProcesses: 1},
		"alone must be 0 or more":   {Total: 1, ReservePerProcess: -1, MaxProcesses: 1},
		"servers must be 1 or more": {Total: 1, MaxProcesses: 0},
		"alone: 2 for each of 6 servers is over the whole of 10": {Total: 10 * UnitsPerCall, ReservePerProcess: 2 * UnitsPerCall,
			MaxProcesses: 6},
	} {
		if err := r.Check(); err == nil || !strings.HasPrefix(err.Error(), want) {
			t.Errorf("%v, want %s", err, want)
		}
	}
}

func TestDivideByNeed(t *testing.T) {
	got := Divide(100, []ProcessNeed{{Who: "a", Need: 10}, {Who: "b", Need: 80}, {Who: "c", Need: 70}})
	if got["a"] != 10 || got["b"] != 45 || got["c"] != 45 {
		t.Errorf("%v: want 10 for the process that needs little and equal parts for the others", got)
	}
	got = Divide(100, []ProcessNeed{{Who: "a", Need: 10}, {Who: "b", Need: 30}})
	if got["a"] != 40 || got["b"] != 60 {
		t.Errorf("%v: want the surplus divided equally", got)
	}
}

// With random needs, processes that join and leave, plans that are carried out in part and acknowledgements that are late,
// repeated or of an older version, the amounts in use never exceed the pool.
func TestSharesInForceStayWithinThePool(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		allocations, pool := NewAllocations(), int64(20000)
		if err := allocations.SetPool(pool); err != nil {
			t.Fatal(err)
		}
		inUse := map[string]*LocalShare{}
		for step := range 400 {
			process := fmt.Sprint("s", rng.IntN(8))
			switch rng.IntN(6) {
			case 0:
				if inUse[process] == nil {
					allocations.AddProcess(process)
					inUse[process] = &LocalShare{}
				} else if rng.IntN(4) == 0 {
					delete(inUse, process) // its presence ended: it stops using the share before its entry is removed
					allocations.RemoveProcess(process)
				}
			case 1, 2: // a plan that is carried out in part: each change is checked on its own
				var needs []ProcessNeed
				for _, id := range allocations.Processes() {
					needs = append(needs, ProcessNeed{id, rng.Int64N(8000), *allocations.Shares[id]})
				}
				for _, c := range Plan(pool, needs, false) {
					if rng.IntN(5) > 0 {
						if err := allocations.SetTarget(c.Who, c.Amount, false); err != nil && !errors.Is(err, ErrOverPool) {
							t.Fatal(err)
						}
					}
				}
			case 3, 4: // the process applies its share and acknowledges it, not always
				if m := inUse[process]; m != nil {
					m.Apply(*allocations.Shares[process])
					if rng.IntN(3) > 0 {
						allocations.Acknowledge(process, m.Version)
					}
				}
			case 5:
				if m := inUse[process]; m != nil {
					allocations.Acknowledge(process, m.Version)
					allocations.Acknowledge(process, m.Version-1)
				}
			}
			sum := int64(0)
			for _, m := range inUse {
				sum += m.Amount
			}
			if sum > pool || allocations.TotalCap() > pool {
				t.Fatalf("seed %d, step %d: %d in use and %d counted of a pool of %d", seed, step, sum, allocations.TotalCap(), pool)
			}
		}
	}
}

// An increase is refused until the reduction that frees its amount is acknowledged. With the injected bug (unchecked) the amounts
// in use exceed the pool.
func TestIncreaseBeforeReductionIsAcknowledgedIsRefused(t *testing.T) {
	for _, unchecked := range []bool{false, true} {
		allocations := NewAllocations()
		allocations.SetPool(100)
		allocations.AddProcess("a")
		allocations.AddProcess("b")
		if err := allocations.SetTarget("a", 100, false); err != nil {
			t.Fatal(err)
		}
		inUse := allocations.Shares["a"].Target
		if err := allocations.SetTarget("a", 20, false); err != nil {
			t.Fatal(err)
		}
		err := allocations.SetTarget("b", 80, unchecked)
		over := inUse+allocations.Shares["b"].Target > 100
		if unchecked != over || unchecked != (err == nil) {
			t.Errorf("unchecked %v: over %v, %v", unchecked, over, err)
		}
		allocations.Acknowledge("a", allocations.Shares["a"].Version)
		if err := allocations.SetTarget("b", 80, false); err != nil {
			t.Errorf("after the reduction is acknowledged: %v", err)
		}
	}
}

func TestPlanConverges(t *testing.T) {
	allocations := NewAllocations()
	allocations.SetPool(10000)
	needs := map[string]int64{"a": 500, "b": 9000, "c": 100}
	for process := range needs {
		allocations.AddProcess(process)
	}
	steps := 0
	for range 20 {
		var current []ProcessNeed
		for _, process := range allocations.Processes() {
			current = append(current, ProcessNeed{process, needs[process], *allocations.Shares[process]})
		}
		plan := Plan(10000, current, false)
		for _, c := range plan {
			if err := allocations.SetTarget(c.Who, c.Amount, false); err != nil {
				t.Fatal(err)
			}
		}
		for _, process := range allocations.Processes() {
			allocations.Acknowledge(process, allocations.Shares[process].Version)
		}
		steps = len(plan)
	}
	if steps != 0 {
		t.Errorf("%d changes in the last round though the needs are constant", steps)
	}
	if allocations.Shares["b"].Target < 8000 || allocations.TotalCap() > 10000 {
		t.Errorf("b has a target of %d with a need of 9000; sum of shares %d", allocations.Shares["b"].Target, allocations.TotalCap())
	}
	if err := allocations.SetPool(5000); !errors.Is(err, ErrOverPool) {
		t.Errorf("pool below the sum in force: %v, want ErrOverPool", err)
	}
}
