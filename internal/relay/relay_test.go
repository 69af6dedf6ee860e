package relay

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"puffinsaddle/internal/clock"
	"puffinsaddle/internal/distribution"
	"puffinsaddle/internal/net/configwatch"
	"puffinsaddle/internal/records"
	"puffinsaddle/internal/replica"
	"puffinsaddle/internal/state"
	"puffinsaddle/internal/store"
)

const testTimeout = 60 * time.Second // bound of every wait, so that a hanging test fails

// fakeCluster simulates a store cluster whose replicas share one state. At most one of them is the leader.
type fakeCluster struct {
	mu      sync.Mutex
	state   *state.State
	leader  string
	changed chan struct{}
}

func (cluster *fakeCluster) commitSetting(t *testing.T, name, value string) {
	t.Helper()
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	c := records.Change{Puts: []records.Put{{Key: records.Key{Kind: records.Setting, Name: name}, Value: []byte(value)}}}
	if r := cluster.state.Apply(state.Command{Op: state.OpChangeRecords, Change: &c}, 1); r.Error != "" {
		t.Fatal(r.Error)
	}
	cluster.notify()
}

func (cluster *fakeCluster) setLeader(id string) {
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	cluster.leader = id
	cluster.notify()
}

func (cluster *fakeCluster) notify() {
	close(cluster.changed)
	cluster.changed = make(chan struct{})
}

func (cluster *fakeCluster) position() distribution.Position {
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	return distribution.Position{Revision: cluster.state.Records.Revision(), Digest: cluster.state.Records.Digest()}
}

// fakeStoreReplica is one replica of a fakeCluster.
type fakeStoreReplica struct {
	*fakeCluster
	id string
}

func (r fakeStoreReplica) Leadership() (uint64, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return 1, r.leader == r.id
}

func (r fakeStoreReplica) Leader() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.leader
}

func (r fakeStoreReplica) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

func (r fakeStoreReplica) View(read func(*state.State, uint64)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	read(r.state, 1)
}

// startOrigins starts an origin for each replica of a new fakeCluster, and returns their addresses and origins by id.
func startOrigins(t *testing.T, ids ...string) (cluster *fakeCluster, addresses map[string]string, origins map[string]*Origin) {
	t.Helper()
	cluster = &fakeCluster{state: state.New(), leader: ids[0], changed: make(chan struct{})}
	addresses, origins = map[string]string{}, map[string]*Origin{}
	for _, id := range ids {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { ln.Close() })
		o := NewOrigin(fakeStoreReplica{cluster, id}, clock.Monotonic(), zerolog.Nop(), "")
		addresses[id], origins[id] = ln.Addr().String(), o
		go o.Run(t.Context())
		go func() {
			for {
				conn, err := ln.Accept()
				if err != nil {
					return
				}
				go func() {
					var purpose [1]byte
					if _, err := io.ReadFull(conn, purpose[:]); err != nil || purpose[0] != store.PurposeWatches {
						conn.Close()
						return
					}
					o.Serve(conn)
				}()
			}
		}()
	}
	return cluster, addresses, origins
}

// runningRelay is a started relay.
type runningRelay struct {
	*Relay
	stop func()
}

func startRelay(t *testing.T, o Options) *runningRelay {
	t.Helper()
	o.Listen = "127.0.0.1:0"
	if o.Steady == nil {
		o.Steady, o.Log = clock.Monotonic(), zerolog.Nop()
	}
	r, err := Open(o)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.Run(ctx)
	}()
	stop := func() {
		cancel()
		<-done
	}
	t.Cleanup(stop)
	return &runningRelay{r, stop}
}

// startServer starts a configuration replica that watches relays, as in an order server.
func startServer(t *testing.T, name string, relays ...distribution.Relay) (*replica.Replica, *configwatch.Client) {
	r := replica.Open(replica.Options{Name: name, Log: zerolog.Nop()})
	c := configwatch.NewClient(configwatch.ClientOptions{Name: name, Replica: r, Steady: clock.Monotonic(), Log: zerolog.Nop(),
		Selector: distribution.NewSelector(relays, distribution.Locality{Zone: "z"}, 1)})
	go c.Run(t.Context())
	return r, c
}

func (r *runningRelay) descriptor() distribution.Relay {
	return distribution.Relay{Name: r.options.Name, Address: r.Addr(), Zone: "z"}
}

func waitFor(t *testing.T, event string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("timed out after %s waiting for: %s", testTimeout, event)
		}
	}
}

// Changes reach the servers of a relay also after leadership changes, and the leader gets the progress of all servers from the
// relay, which is its only watcher.
func TestRelayFollowsStoreLeader(t *testing.T) {
	cluster, addresses, origins := startOrigins(t, "a", "b", "c")
	r := startRelay(t, Options{Name: "relay", StoreAddresses: addresses, Seed: 1})
	var servers []*replica.Replica
	for i := range 5 {
		s, _ := startServer(t, fmt.Sprint("s", i), r.descriptor())
		servers = append(servers, s)
	}
	upToDate := func() bool {
		for _, s := range servers {
			if s.Position() != cluster.position() {
				return false
			}
		}
		return true
	}
	for i, leader := range []string{"a", "c", "b", "a"} {
		cluster.setLeader(leader)
		for k := range 10 {
			cluster.commitSetting(t, fmt.Sprint("k", k), fmt.Sprint(leader, i))
		}
		waitFor(t, "all servers are at the latest revision under leader "+leader, upToDate)
		waitFor(t, "the leader has the reports of all servers", func() bool {
			report := origins[leader].Report()
			return report.Servers == len(servers) && report.LowestRevision == cluster.position().Revision && report.ServersBehind == 0
		})
		if n := origins[leader].Metrics().Watchers; n != 1 {
			t.Errorf("%d watchers at the leader, want 1", n)
		}
	}
}

// A restarted relay serves from its file while the store has no leader, and later continues from that revision without a snapshot.
func TestRelayServesFromDiskWithoutLeader(t *testing.T) {
	cluster, addresses, _ := startOrigins(t, "a")
	path := filepath.Join(t.TempDir(), "records")
	first := startRelay(t, Options{Name: "relay", StoreAddresses: addresses, Path: path})
	for i := range 20 {
		cluster.commitSetting(t, fmt.Sprint("k", i), "1")
	}
	waitFor(t, "the relay is at the latest revision", func() bool { return first.replica.Position() == cluster.position() })
	first.stop()
	cluster.setLeader("nobody")
	second := startRelay(t, Options{Name: "relay", StoreAddresses: addresses, Path: path})
	s, c := startServer(t, "s", second.descriptor())
	waitFor(t, "the server is at the revision of the relay", func() bool { return s.Position() == cluster.position() })
	if metrics := c.Metrics(); metrics.Snapshots != 0 {
		t.Errorf("the server took %d snapshots, though the relay's file has the commits", metrics.Snapshots)
	}
	before := second.client.Metrics().Snapshots
	cluster.setLeader("a")
	cluster.commitSetting(t, "k0", "2")
	waitFor(t, "the change is applied", func() bool { return s.Position() == cluster.position() })
	if n := second.client.Metrics().Snapshots; n != before {
		t.Errorf("the relay took %d more snapshots, want none", n-before)
	}
}

// A relay without configuration refers its watchers to other relays, and store replicas refuse watchers that are not relays.
func TestRefusedWatchers(t *testing.T) {
	cluster, addresses, origins := startOrigins(t, "a")
	cluster.commitSetting(t, "k", "1")
	full := startRelay(t, Options{Name: "full", StoreAddresses: addresses})
	waitFor(t, "the relay is at the latest revision", func() bool { return full.replica.Position() == cluster.position() })
	empty := startRelay(t, Options{Name: "empty", StoreAddresses: map[string]string{"gone": "127.0.0.1:1"}, Elsewhere: []string{"full"}})
	s, _ := startServer(t, "s", empty.descriptor(), distribution.Relay{Name: "full", Address: full.Addr(), Zone: "other"})
	waitFor(t, "the server is served by the other relay", func() bool { return s.Position() == cluster.position() })
	if empty.Metrics().Serving.Refused == 0 {
		t.Error("the relay without configuration refused no watcher")
	}
	r := replica.Open(replica.Options{Name: "direct", Log: zerolog.Nop()})
	c := configwatch.NewClient(configwatch.ClientOptions{Name: "direct", Preamble: []byte{store.PurposeWatches}, Replica: r, Steady: clock.Monotonic(), Log: zerolog.Nop(),
		Selector: distribution.NewSelector([]distribution.Relay{{Name: "a", Address: addresses["a"]}}, distribution.Locality{}, 1)})
	go c.Run(t.Context())
	waitFor(t, "the store replica refuses an order server", func() bool { return origins["a"].Metrics().Refused > 0 })
	if r.Position().Revision != 0 {
		t.Errorf("the refused replica is at %+v, want revision 0", r.Position())
	}
}

// A relay that finds no leader keeps serving its records, and its watchers stay connected.
func TestWatchersStayConnectedWithoutLeader(t *testing.T) {
	cluster, addresses, origins := startOrigins(t, "a")
	r := startRelay(t, Options{Name: "relay", StoreAddresses: addresses})
	s, c := startServer(t, "s", r.descriptor())
	cluster.commitSetting(t, "k", "1")
	waitFor(t, "the server is at the latest revision", func() bool { return s.Position() == cluster.position() })
	cluster.setLeader("nobody")
	waitFor(t, "the store replica has dropped its relay", func() bool { return origins["a"].Metrics().Watchers == 0 })
	late, lateClient := startServer(t, "late", r.descriptor())
	waitFor(t, "another server is served", func() bool { return late.Position() == cluster.position() })
	for _, metrics := range []configwatch.ClientMetrics{c.Metrics(), lateClient.Metrics()} {
		if metrics.Connections != 1 || metrics.RelayAddress != r.Addr() {
			t.Errorf("%+v", metrics)
		}
	}
	cluster.setLeader("a")
	cluster.commitSetting(t, "k", "2")
	waitFor(t, "both servers are at the latest revision", func() bool { return s.Position() == cluster.position() && late.Position() == cluster.position() })
}

// A region whose relay is gone stays in the status with the last reported revision, and its staleness grows after the next change.
func TestStatusKeepsDisconnectedRegion(t *testing.T) {
	cluster, addresses, origins := startOrigins(t, "a")
	east := startRelay(t, Options{Name: "e1", Region: "east", StoreAddresses: addresses})
	west := startRelay(t, Options{Name: "w1", Region: "west", StoreAddresses: addresses})
	near, _ := startServer(t, "near", east.descriptor())
	far, _ := startServer(t, "far", west.descriptor())
	cluster.commitSetting(t, "k", "1")
	waitFor(t, "both servers are at the latest revision", func() bool { return near.Position() == cluster.position() && far.Position() == cluster.position() })
	region := func(name string) (r distribution.RegionStatus) {
		for _, r := range origins["a"].Status().Regions {
			if r.Region == name {
				return r
			}
		}
		return r
	}
	for _, name := range []string{"east", "west"} {
		waitFor(t, name+" is reported to be at the latest revision", func() bool {
			r := region(name)
			return r.ConnectedRelays == 1 && r.DisconnectedRelays == 0 && r.Servers == 1 && r.LowestRevision == 1 && r.StalenessMS == 0
		})
	}
	west.stop()
	waitFor(t, "the relay of west is reported as disconnected", func() bool {
		r := region("west")
		return r.ConnectedRelays == 0 && r.DisconnectedRelays == 1 && r.LowestRevision == 1 && r.StalenessMS == 0
	})
	cluster.commitSetting(t, "k", "2")
	waitFor(t, "west is stale, and east is at the latest revision", func() bool {
		w, n := region("west"), region("east")
		return w.StalenessMS > 0 && w.ServersBehind == 1 && w.LowestServer == "far" && n.LowestRevision == 2 && n.StalenessMS == 0
	})
}

// waitRecorder collects the backoffs after each attempt of a relay, in ms, from its log.
type waitRecorder struct {
	mu      sync.Mutex
	waitsMS []float64
}

// Write parses a line of the log.
func (w *waitRecorder) Write(line []byte) (int, error) {
	var text struct {
		Message string  `json:"message"`
		Wait    float64 `json:"wait_ms"`
	}
	if json.Unmarshal(line, &text) == nil && text.Message == "not watching" {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.waitsMS = append(w.waitsMS, text.Wait)
	}
	return len(line), nil
}

func (w *waitRecorder) list() []float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.waitsMS)
}

// While the store has no leader, a relay retries at least once a second, and it then follows the new leader. The relay's clock runs
// fast in this test.
func TestRelayRetriesUntilLeaderIsFound(t *testing.T) {
	const minAttempts, maxWaitMS, clockRate = 20, 1000.0, 20.0
	cluster, addresses, _ := startOrigins(t, "a", "b", "c")
	cluster.setLeader("nobody")
	cluster.commitSetting(t, "k", "1")
	recorder := &waitRecorder{}
	r := startRelay(t, Options{Name: "relay", StoreAddresses: addresses, Seed: 1, Steady: clock.Monotonic().SetRate(clockRate), Log: zerolog.New(recorder)})
	waitFor(t, "the relay was refused repeatedly", func() bool { return len(recorder.list()) >= minAttempts })
	if longest := slices.Max(recorder.list()); longest > maxWaitMS {
		t.Errorf("longest backoff is %v ms", longest)
	}
	cluster.setLeader("b")
	waitFor(t, "the relay follows the new leader", func() bool { return r.replica.Position() == cluster.position() })
}
