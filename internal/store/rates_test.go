package store

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"puffinsaddle/internal/duty"
	"puffinsaddle/internal/records"
	"puffinsaddle/internal/state"
)

const measurementTime = 3 * time.Second // measured at each rate

// startThreeReplicas starts a cluster of three replicas in this process, each with its log on disk, and returns the leader.
func startThreeReplicas(b *testing.B) *Store {
	b.Helper()
	peers := map[string]string{}
	var replicas []*Store
	for _, id := range []string{"a", "b", "c"} {
		s, err := Open(Options{ID: id, Listen: "127.0.0.1:0", Dir: b.TempDir()})
		if err != nil {
			b.Fatal(err)
		}
		b.Cleanup(func() { s.Close() })
		peers[id] = s.Addr()
		replicas = append(replicas, s)
	}
	for _, s := range replicas {
		if err := s.Start(peers); err != nil {
			b.Fatal(err)
		}
	}
	for deadline := time.Now().Add(testTimeout); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		for _, s := range replicas {
			if _, isLeader := s.Leadership(); isLeader {
				return s
			}
		}
	}
	b.Fatal("no replica became the leader")
	return nil
}

// cpuSeconds returns the CPU time used by this process, in seconds.
func cpuSeconds(b *testing.B) float64 {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return float64(u.Utime.Nano()+u.Stime.Nano()) / 1e9
}

// writtenBytes returns the number of bytes that this process has caused to be written to disk.
func writtenBytes(b *testing.B) float64 {
	const field = "write_bytes:"
	text, err := os.ReadFile("/proc/self/io")
	if err != nil {
		b.Fatal("the kernel does not report bytes written: ", err)
	}
	for line := range strings.Lines(string(text)) {
		if number, ok := strings.CutPrefix(line, field); ok {
			n, err := strconv.ParseFloat(strings.TrimSpace(number), 64)
			if err != nil {
				b.Fatal(err)
			}
			return n
		}
	}
	b.Fatalf("/proc/self/io has no %s", field)
	return 0
}

// measureRate writes entries at a mean rate with Poisson arrivals that don't wait for earlier entries. It reports the CPU time
// and bytes written per second of three replicas, and the latency of an entry from its intended start.
func measureRate(b *testing.B, rate float64, write func(leader *Store, i int) error) {
	leader := startThreeReplicas(b)
	if err := write(leader, 0); err != nil {
		b.Fatal(err)
	}
	rng := rand.New(rand.NewPCG(1, 41))
	for b.Loop() {
		var writes sync.WaitGroup
		var mu sync.Mutex
		var latenciesMS []float64
		usedBefore, writtenBefore, began := cpuSeconds(b), writtenBytes(b), time.Now()
		at := began
		for i := 1; ; i++ {
			at = at.Add(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
			if at.Sub(began) > measurementTime {
				break
			}
			time.Sleep(time.Until(at))
			intended := at
			writes.Go(func() {
				err := write(leader, i)
				ms := float64(time.Since(intended)) / float64(time.Millisecond)
				mu.Lock()
				defer mu.Unlock()
				if err != nil {
					b.Error(err)
				}
				latenciesMS = append(latenciesMS, ms)
			})
		}
		writes.Wait()
		seconds := time.Since(began).Seconds()
		slices.Sort(latenciesMS)
		if len(latenciesMS) == 0 {
			b.Fatal("no entry was written")
		}
		b.ReportMetric(float64(len(latenciesMS))/seconds, "entries/s")
		b.ReportMetric((cpuSeconds(b)-usedBefore)/seconds*1e6, "three-copies-µs/s")
		b.ReportMetric((writtenBytes(b)-writtenBefore)/seconds, "three-disks-bytes/s")
		b.ReportMetric(latenciesMS[len(latenciesMS)/2], "p50-ms")
		b.ReportMetric(latenciesMS[len(latenciesMS)*99/100], "p99-ms")
	}
}

// proposeAndWait proposes a command on the leader and waits for its result.
func proposeAndWait(leader *Store, c state.Command) error {
	r, err := leader.Propose(c)()
	if err == nil && r.Error != "" {
		err = fmt.Errorf("refused: %s", r.Error)
	}
	return err
}

// BenchmarkBookingRate measures three replicas by effects per second; each effect is begun and ended.
func BenchmarkBookingRate(b *testing.B) {
	for _, rate := range []int{250, 500, 1000, 2000, 4000} {
		b.Run(fmt.Sprintf("rate=%d", rate), func(b *testing.B) {
			measureRate(b, float64(rate), func(leader *Store, i int) error {
				id := fmt.Sprintf("%016x", i)
				if err := proposeAndWait(leader, state.Command{Op: state.OpBeginEffect, Key: id}); err != nil {
					return err
				}
				return proposeAndWait(leader, state.Command{Op: state.OpEndEffects, EffectIDs: []string{id}})
			})
		})
	}
}

// BenchmarkChangeRate measures three replicas by configuration changes per second, of three records each.
func BenchmarkChangeRate(b *testing.B) {
	for _, rate := range []int{10, 50, 100, 200, 400} {
		b.Run(fmt.Sprintf("rate=%d", rate), func(b *testing.B) {
			measureRate(b, float64(rate), func(leader *Store, i int) error {
				var c records.Change
				for k := range 3 {
					c.Puts = append(c.Puts, records.Put{Key: records.Key{Kind: records.Tenant, Name: fmt.Sprintf("tenant-%06d", i%1000*3+k)},
						Value: fmt.Appendf(nil, `{"share":0.0000025,"limit":%d.5}`, i%500)})
				}
				return proposeAndWait(leader, state.Command{Op: state.OpChangeRecords, Change: &c})
			})
		})
	}
}

// BenchmarkRestartRate measures three replicas by server restarts per second: a presence is granted and one expires.
func BenchmarkRestartRate(b *testing.B) {
	for _, rate := range []int{1, 10, 50, 100, 200} {
		b.Run(fmt.Sprintf("rate=%d", rate), func(b *testing.B) {
			measureRate(b, float64(rate), func(leader *Store, i int) error {
				term, _ := leader.Leadership()
				serverID := fmt.Sprintf("os-%04d#%016x", i%4300, i)
				name := duty.PresenceName(serverID)
				grant := duty.Order{Kind: duty.Grant, Name: name, Holder: serverID, TTLMS: 3000, Term: term}
				if err := proposeAndWait(leader, state.Command{Op: state.OpLeaseOrders, Orders: []duty.Order{grant}}); err != nil {
					return err
				}
				epoch := uint64(0)
				leader.View(func(st *state.State, _ uint64) {
					if l := st.Duties.Leases[name]; l != nil {
						epoch = l.Epoch
					}
				})
				expiry := duty.Order{Kind: duty.Expire, Name: name, Holder: serverID, Epoch: epoch, Term: term}
				return proposeAndWait(leader, state.Command{Op: state.OpLeaseOrders, Orders: []duty.Order{expiry}})
			})
		})
	}
}
