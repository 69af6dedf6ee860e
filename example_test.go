package sloegrade_test

import (
	"fmt"
	"time"

	"sloegrade"
)

// A host feeds what happened and carries out what comes back.
func Example() {
	n, err := sloegrade.New(sloegrade.Settings{
		Classes: []sloegrade.Class{
			{Name: "read", Aim: time.Second, Deadline: 3 * time.Second, Worth: 1},
			{Name: "order", Aim: time.Second, Deadline: 3 * time.Second, Worth: 5,
				Safety: sloegrade.Keyed, KeyTTL: 10 * time.Second},
		},
		Cores: 2, MemoryKB: 1 << 20, EntryKB: 1, RunFactor: 4, FallMultiple: 5, FallSpan: 2 * time.Second,
		Tick: time.Millisecond, DrainGrace: time.Second,
		BusyGauge: 0, RunnableGauge: -1, MemoryGauge: -1, ConnGauge: -1,
	}, 1)
	if err != nil {
		fmt.Println(err)
		return
	}
	now := 5 * time.Second // any clock that does not go backwards
	carryOut := func(actions []sloegrade.Action) {
		for _, a := range actions {
			switch a := a.(type) {
			case sloegrade.Start:
				fmt.Println("run", a.ID)
			case sloegrade.Refuse:
				fmt.Println("turn away", a.ID)
			case sloegrade.Fail:
				fmt.Println("answer with an error", a.ID)
			case sloegrade.WakeAt:
				// Set a timer; then: n.Handle(a.At, []sloegrade.Event{sloegrade.Woke{Token: a.Token, Gauges: gauges}})
			}
		}
	}
	carryOut(n.Handle(now, []sloegrade.Event{
		sloegrade.Woke{Gauges: []float64{1}},
		sloegrade.Arrived{ID: 1, Class: "read", KB: 20},
		sloegrade.Arrived{ID: 2, Class: "read", KB: 20},
		sloegrade.Arrived{ID: 3, Class: "read", KB: 20},
		sloegrade.Arrived{ID: 4, Class: "order", KB: 20},
	}))
	carryOut(n.Handle(now+100*time.Millisecond, []sloegrade.Event{sloegrade.Finished{ID: 4, Took: 100 * time.Millisecond}}))
	// Output:
	// run 4
	// run 1
	// run 2
}
