package store

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const testTimeout = 60 * time.Second

func openReplica(t *testing.T, id, listen, dir string) *Store {
	t.Helper()
	s, err := Open(Options{ID: id, Listen: listen, Dir: dir})
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func waitReady(t *testing.T, replicas ...*Store) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	for _, s := range replicas {
		if err := s.Ready(ctx); err != nil {
			t.Fatal(err)
		}
	}
}

// setValue writes a key on a replica, and retries while there is no leader.
func setValue(t *testing.T, s *Store, key, value string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	for ctx.Err() == nil {
		err := s.Set(key, []byte(value))
		if err == nil {
			return
		}
		if !errors.Is(err, ErrNoQuorum) {
			t.Fatal(err)
		}
		s.Ready(ctx)
	}
	t.Fatalf("%s was not written in time", key)
}

func waitValue(t *testing.T, s *Store, key, value string) {
	t.Helper()
	timeout := time.After(testTimeout)
	for {
		changed := s.Changed()
		if v, ok := s.Get(key); ok && string(v) == value {
			return
		}
		select {
		case <-changed:
		case <-timeout:
			v, _ := s.Get(key)
			t.Fatalf("%s is %q, want %q", key, v, value)
		}
	}
}

func TestSnapshotAndRestart(t *testing.T) {
	dir := t.TempDir()
	s := openReplica(t, "a", "127.0.0.1:0", dir)
	address := s.Addr()
	if err := s.Start(map[string]string{"a": address}); err != nil {
		t.Fatal(err)
	}
	waitReady(t, s)
	setValue(t, s, "config", "one")
	if fresh, err := s.Begin(context.Background(), "e1"); !fresh || err != nil {
		t.Fatalf("first Begin of the effect: %v %v", fresh, err)
	}
	if err := s.Snapshot(); err != nil {
		t.Fatal(err)
	}
	setValue(t, s, "inventory", "after the snapshot")
	setValue(t, s, "drain/a", "x")
	if err := s.Delete("drain/a"); err != nil {
		t.Fatal(err)
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	s = openReplica(t, "a", address, dir)
	defer s.Close()
	waitReady(t, s)
	waitValue(t, s, "config", "one")
	waitValue(t, s, "inventory", "after the snapshot")
	setValue(t, s, "config", "two")
	if fresh, err := s.Begin(context.Background(), "e1"); fresh || err != nil {
		t.Errorf("effect begun before the restart is begun again: %v %v", fresh, err)
	}
	if _, ok := s.Get("drain/a"); ok {
		t.Error("a deleted key is back after the restart")
	}
}

func TestWritesAfterReplicaAndQuorumLoss(t *testing.T) {
	peers := map[string]string{}
	var replicas []*Store
	for _, id := range []string{"a", "b", "c"} {
		s := openReplica(t, id, "127.0.0.1:0", t.TempDir())
		peers[id] = s.Addr()
		replicas = append(replicas, s)
	}
	for _, s := range replicas {
		if err := s.Start(peers); err != nil {
			t.Fatal(err)
		}
	}
	waitReady(t, replicas...)
	for i, s := range replicas { // two of these are followers, which forward the write
		setValue(t, s, fmt.Sprint("k", i), "v")
	}
	for _, s := range replicas {
		for i := range replicas {
			waitValue(t, s, fmt.Sprint("k", i), "v")
		}
	}
	if err := replicas[0].Close(); err != nil {
		t.Fatal(err)
	}
	setValue(t, replicas[1], "after", "one lost")
	waitValue(t, replicas[2], "after", "one lost")
	if err := replicas[1].Close(); err != nil {
		t.Fatal(err)
	}
	if err := replicas[2].Set("after", []byte("two lost")); !errors.Is(err, ErrNoQuorum) {
		t.Errorf("write without a quorum: %v, want %v", err, ErrNoQuorum)
	}
	if fresh, err := replicas[2].Begin(context.Background(), "e"); fresh || !errors.Is(err, ErrNoQuorum) {
		t.Errorf("effect without a quorum: %v %v", fresh, err)
	}
	replicas[2].Close()
}

// silentListener is a listener on which a replica accepts no connection any more once silent is set; those that it has stay.
type silentListener struct {
	net.Listener
	silent atomic.Bool
}

func (l *silentListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil || !l.silent.Load() {
			return conn, err
		}
		defer conn.Close()
	}
}

// The leader does not respond to a forwarded effect. The caller's context ends the wait, which otherwise lasts as long as the
// timeout of a response. Guards against waits that outlast the due time of a request.
func TestContextEndsWaitForSilentLeader(t *testing.T) {
	peers := map[string]string{}
	listeners := map[string]*silentListener{}
	replicas := map[string]*Store{}
	for _, id := range []string{"a", "b", "c"} {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		listeners[id] = &silentListener{Listener: ln}
		s, err := Open(Options{ID: id, Listener: listeners[id], Dir: t.TempDir()})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { s.Close() })
		peers[id], replicas[id] = s.Addr(), s
	}
	for _, s := range replicas {
		if err := s.Start(peers); err != nil {
			t.Fatal(err)
		}
	}
	waitReady(t, slices.Collect(maps.Values(replicas))...)
	setValue(t, replicas["a"], "k", "v") // raft's connections are established
	leader := replicas["a"].Leader()
	follower := replicas["a"]
	if leader == "a" {
		follower = replicas["b"]
		waitValue(t, follower, "k", "v")
	}
	listeners[leader].silent.Store(true)
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	begun := time.Now()
	if fresh, err := follower.Begin(ctx, "e"); fresh || !errors.Is(err, ErrNoQuorum) {
		t.Errorf("fresh %v, error %v", fresh, err)
	}
	if took := time.Since(begun); took >= 2*writeTimeout {
		t.Errorf("the wait lasted %s, as long as without a context", took)
	}
}

func TestCloseDoesNotWaitForBlockedRaft(t *testing.T) {
	never := make(chan struct{})
	defer close(never)
	if err := waitFor(1, func() error { <-never; return nil }); !errors.Is(err, ErrShutdownTimeout) {
		t.Errorf("%v", err)
	}
	if err := waitFor(testTimeout, func() error { return ErrNoQuorum }); !errors.Is(err, ErrNoQuorum) {
		t.Errorf("%v", err)
	}
}

// BenchmarkBegins measures the latency of recording an effect, and its rate, with three replicas on one machine's disk and several
// concurrent writers.
func BenchmarkBegins(b *testing.B) {
	for _, writers := range []int{1, 16, 64} {
		b.Run(fmt.Sprintf("writers=%d", writers), func(b *testing.B) {
			leader := startThreeReplicas(b)
			var mu sync.Mutex
			var latenciesMS []float64
			var next atomic.Int64
			var all sync.WaitGroup
			b.ResetTimer()
			for range writers {
				all.Add(1)
				go func() {
					defer all.Done()
					for n := next.Add(1); n <= int64(b.N); n = next.Add(1) {
						begun := time.Now()
						if fresh, err := leader.Begin(context.Background(), fmt.Sprint("e", n)); !fresh || err != nil {
							b.Error(fresh, err)
							return
						}
						ms := float64(time.Since(begun)) / float64(time.Millisecond)
						mu.Lock()
						latenciesMS = append(latenciesMS, ms)
						mu.Unlock()
					}
				}()
			}
			all.Wait()
			b.StopTimer()
			if len(latenciesMS) == 0 {
				return
			}
			slices.Sort(latenciesMS)
			b.ReportMetric(float64(len(latenciesMS))/b.Elapsed().Seconds(), "writes/s")
			b.ReportMetric(latenciesMS[len(latenciesMS)/2], "p50-ms")
			b.ReportMetric(latenciesMS[len(latenciesMS)*99/100], "p99-ms")
		})
	}
}
