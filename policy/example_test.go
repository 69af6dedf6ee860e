package policy_test

import (
	"fmt"
	"time"

	"puffinsaddle/policy"
)

// A host passes events to the instance and carries out the actions that it returns.
func Example() {
	n, err := policy.New(policy.Settings{
		Classes: []policy.Class{
			{Name: "read", Aim: time.Second, Deadline: 3 * time.Second, Worth: 1},
			{Name: "order", Aim: time.Second, Deadline: 3 * time.Second, Worth: 5,
				Safety: policy.Keyed, KeyTTL: 10 * time.Second},
		},
		Cores: 2, MemoryKB: 1 << 20, EntryKB: 1, RunMemoryFactor: 4, MaxRunningPerCore: 5, MaxRunningPeriod: 2 * time.Second,
		Tick: time.Millisecond, DrainGrace: time.Second,
		BusyGauge: 0, RunnableGauge: -1, MemoryGauge: -1, ConnectionGauge: -1,
	}, 1)
	if err != nil {
		fmt.Println(err)
		return
	}
	now := 5 * time.Second // of any monotonic clock
	carryOut := func(actions []policy.Action) {
		for _, a := range actions {
			switch a := a.(type) {
			case policy.Start:
				fmt.Println("run", a.ID)
			case policy.Refuse:
				fmt.Println("refuse", a.ID)
			case policy.Fail:
				fmt.Println("fail", a.ID)
			case policy.SetTimer:
				// Set a timer that calls n.Handle(a.At, []policy.Event{policy.TimerFired{Token: a.Token, Gauges: gauges}}).
			}
		}
	}
	carryOut(n.Handle(now, []policy.Event{
		policy.TimerFired{Gauges: []float64{1}},
		policy.Arrived{ID: 1, Class: "read", KB: 20},
		policy.Arrived{ID: 2, Class: "read", KB: 20},
		policy.Arrived{ID: 3, Class: "read", KB: 20},
		policy.Arrived{ID: 4, Class: "order", KB: 20},
	}))
	carryOut(n.Handle(now+100*time.Millisecond, []policy.Event{policy.Finished{ID: 4, Duration: 100 * time.Millisecond}}))
	// Output:
	// run 4
	// run 1
	// run 2
}
