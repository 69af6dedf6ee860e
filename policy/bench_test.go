package policy

import (
	"testing"
	"time"
)

// BenchmarkHandleFullQueue measures one arrival and one end while the hold is full.
func BenchmarkHandleFullQueue(b *testing.B) {
	set := testSettings()
	set.Cores, set.MemoryKB = 64, 1e9
	n, err := New(set, 1)
	if err != nil {
		b.Fatal(err)
	}
	now, lastID := time.Hour, ID(0)
	arrive := func() Event {
		lastID++
		return safeRequest(lastID)
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
