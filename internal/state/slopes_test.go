package state

import (
	"encoding/json"
	"fmt"
	"testing"

	"puffinsaddle/internal/allocation"
	"puffinsaddle/internal/duty"
	"puffinsaddle/internal/records"
)

// The sizes for which docs/CAPACITY.md gives slopes.
var (
	serverSizes = []int{300, 1000, 2000, 4300}
	recordSizes = []int{30000, 100000, 240000, 477000}
)

// encodeEntry encodes a command as it is stored in the log.
func encodeEntry(tb testing.TB, c Command) []byte {
	tb.Helper()
	b, err := json.Marshal(c)
	if err != nil {
		tb.Fatal(err)
	}
	return b
}

// applyEntry decodes and applies an entry, as a replica does.
func applyEntry(tb testing.TB, s *State, b []byte) Result {
	tb.Helper()
	var c Command
	if err := json.Unmarshal(b, &c); err != nil {
		tb.Fatal(err)
	}
	r := s.Apply(c, 1)
	if r.Error != "" {
		tb.Fatal(r.Error)
	}
	return r
}

func processID(i int) string { return fmt.Sprintf("os-%04d#%016x", i, i) }

// stateWithServers returns a state in which n processes are present.
func stateWithServers(tb testing.TB, n int) *State {
	s := New()
	for i := range n {
		applyEntry(tb, s, encodeEntry(tb, Command{Op: OpLeaseOrders, Orders: []duty.Order{{Kind: duty.Grant, Name: duty.PresenceName(processID(i)), Holder: processID(i), TTLMS: 3000, Term: 1}}}))
	}
	applyEntry(tb, s, encodeEntry(tb, Command{Op: OpLeaseOrders, Orders: []duty.Order{{Kind: duty.Grant, Name: "allotter", Holder: processID(0), TTLMS: 3000, Term: 1}}}))
	return s
}

// stateWithRecords returns a state with n records.
func stateWithRecords(tb testing.TB, n int) *State {
	s := New()
	for i := 0; i < n; {
		var c records.Change
		for range min(records.MaxChangeKeys, n-i) {
			c.Puts = append(c.Puts, tenantPut(i, 0))
			i++
		}
		applyEntry(tb, s, encodeEntry(tb, Command{Op: OpChangeRecords, Change: &c}))
	}
	return s
}

func tenantPut(i, version int) records.Put {
	return records.Put{Key: records.Key{Kind: records.Tenant, Name: fmt.Sprintf("tenant-%06d", i)}, Value: fmt.Appendf(nil, `{"share":0.0000025,"limit":%d.5}`, version%500)}
}

// BenchmarkRestarts measures the cost at a replica of one process ending and another starting, by the number of servers.
func BenchmarkRestarts(b *testing.B) {
	for _, n := range serverSizes {
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) {
			s := stateWithServers(b, n)
			i := 0
			for b.Loop() {
				i++
				process := processID(1 + i%(n-1))
				name := duty.PresenceName(process)
				applyEntry(b, s, encodeEntry(b, Command{Op: OpLeaseOrders, Orders: []duty.Order{{Kind: duty.Expire, Name: name, Epoch: s.Duties.Leases[name].Epoch, Term: 1}}}))
				applyEntry(b, s, encodeEntry(b, Command{Op: OpLeaseOrders, Orders: []duty.Order{{Kind: duty.Grant, Name: name, Holder: process, TTLMS: 3000, Term: 1}}}))
			}
		})
	}
}

// BenchmarkMarks measures a fenced command that changes no allocation, by the number of servers.
func BenchmarkMarks(b *testing.B) {
	for _, n := range serverSizes {
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) {
			s := stateWithServers(b, n)
			fence := duty.Ref{Name: "allotter", Epoch: s.Duties.Leases["allotter"].Epoch}
			act := encodeEntry(b, Command{Op: OpFenced, Fence: &fence, Batch: []Command{{Op: OpIncrementCounter}}})
			for b.Loop() {
				applyEntry(b, s, act)
			}
		})
	}
}

// BenchmarkShares measures one fenced command that changes the allocation of every server, and reports the size of the
// allocations as the allotter reads them.
func BenchmarkShares(b *testing.B) {
	for _, n := range serverSizes {
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) {
			s := stateWithServers(b, n)
			fence := duty.Ref{Name: "allotter", Epoch: s.Duties.Leases["allotter"].Epoch}
			applyEntry(b, s, encodeEntry(b, Command{Op: OpFenced, Fence: &fence, Batch: []Command{{Op: OpSetPool, Amount: int64(n) * 1000}}}))
			fleet, bytes := []allocation.ProcessNeed{}, 0
			for i := 0; b.Loop(); i++ {
				var batch []Command
				for j := range n {
					batch = append(batch, Command{Op: OpSetAllocation, Process: processID(j), Amount: int64(100 + i%2*10)})
				}
				act := encodeEntry(b, Command{Op: OpFenced, Fence: &fence, Batch: batch})
				applyEntry(b, s, act)
				bytes = len(act)
			}
			for _, process := range s.Allocations.Processes() {
				fleet = append(fleet, allocation.ProcessNeed{Who: process, Share: *s.Allocations.Shares[process]})
			}
			text, err := json.Marshal(fleet)
			if err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64(bytes), "entry-bytes")
			b.ReportMetric(float64(len(text)), "read-bytes")
		})
	}
}

// BenchmarkBookings measures the two entries of one effect, begin and end, at a replica, by the number of effects retained.
func BenchmarkBookings(b *testing.B) {
	for _, n := range []int{1000, 8000, 30000, 60000} {
		b.Run(fmt.Sprintf("kept=%d", n), func(b *testing.B) {
			s := stateWithServers(b, 12)
			process, next := processID(0), 0
			epoch := s.Duties.Leases[duty.PresenceName(process)].Epoch
			book := func() {
				next++
				id := fmt.Sprintf("%016x", next)
				applyEntry(b, s, encodeEntry(b, Command{Op: OpBeginEffect, Key: id, Process: process, Epoch: epoch, NoEviction: true}))
				applyEntry(b, s, encodeEntry(b, Command{Op: OpEndEffects, Process: process, EffectIDs: []string{id}}))
			}
			for range n {
				book()
			}
			for i := 0; b.Loop(); i++ {
				if i%1000 == 999 {
					b.StopTimer()
					s.Effects.Prune(s.Effects.Seq - uint64(n))
					b.StartTimer()
				}
				book()
			}
		})
	}
}

// BenchmarkChanges measures a change of three records at a replica, by the number of records.
func BenchmarkChanges(b *testing.B) {
	for _, n := range recordSizes {
		b.Run(fmt.Sprintf("records=%d", n), func(b *testing.B) {
			s := stateWithRecords(b, n)
			bytes := 0
			for i := 0; b.Loop(); i++ {
				e := encodeEntry(b, Command{Op: OpChangeRecords, Change: &records.Change{Puts: []records.Put{tenantPut(i*3%n, i), tenantPut((i*3+1)%n, i), tenantPut((i*3+2)%n, i)}}})
				applyEntry(b, s, e)
				bytes = len(e)
			}
			b.ReportMetric(float64(bytes), "entry-bytes")
		})
	}
}

// BenchmarkSnapshots measures a replica's snapshot by the number of records: the pause while the state is copied, and the
// encoding, which runs concurrently with further commands.
func BenchmarkSnapshots(b *testing.B) {
	for _, n := range recordSizes {
		s := stateWithRecords(b, n)
		b.Run(fmt.Sprintf("freeze/records=%d", n), func(b *testing.B) {
			for b.Loop() {
				s.Snapshot()
			}
		})
		b.Run(fmt.Sprintf("write/records=%d", n), func(b *testing.B) {
			size := 0
			for b.Loop() {
				text, err := json.Marshal(s.Snapshot())
				if err != nil {
					b.Fatal(err)
				}
				size = len(text)
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}

// BenchmarkComparing measures the digest of one partition, by the number of records.
func BenchmarkComparing(b *testing.B) {
	for _, n := range recordSizes {
		b.Run(fmt.Sprintf("records=%d", n), func(b *testing.B) {
			s := stateWithRecords(b, n)
			for i := uint64(0); b.Loop(); i++ {
				s.Digest(i)
			}
		})
	}
}
