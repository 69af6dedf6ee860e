package policy

import (
	"testing"
	"time"
)

// BenchmarkHandleFullHold measures one arrival and one end of a run while the queue is full.
func BenchmarkHandleFullHold(b *testing.B) {
	set := testSettings()
	set.Cores, set.MemoryKB = 64, 1e9
	n, err := New(set, 1)
	if err != nil {
		b.Fatal(err)
	}
	now, next := time.Hour, ID(0)
	arrive := func() Event {
		next++
		return iron(next)
	}
	for range 500 {
		n.Handle(now, []Event{arrive(), gauges(1, 64, 0)})
	}
	b.ReportAllocs()
	running := ID(1)
	for b.Loop() {
		now += time.Millisecond
		for _, a := range n.Handle(now, []Event{arrive(), done(running), gauges(1, 64, 0)}) {
			if s, ok := a.(Start); ok {
				running = s.ID
			}
		}
	}
}
