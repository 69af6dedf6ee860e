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

const testTimeout = 60 * time.Second // a test that hangs fails by then; none is timed

// fakeCluster is the state that copies agree on at once, and which of them leads.
type fakeCluster struct {
	mu      sync.Mutex
	state   *state.State
	leader  string
	changed chan struct{}
}

func (e *fakeCluster) commitSetting(t *testing.T, name, value string) {
	t.Helper()
	e.mu.Lock()
	defer e.mu.Unlock()
	c := records.Change{Puts: []records.Put{{Key: records.Key{Kind: records.Setting, Name: name}, Value: []byte(value)}}}
	if r := e.state.Apply(state.Command{Op: state.OpChangeRecords, Change: &c}, 1); r.Error != "" {
		t.Fatal(r.Error)
	}
	e.notify()
}

func (e *fakeCluster) setLeader(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leader = id
	e.notify()
}

func (e *fakeCluster) notify() {
	close(e.changed)
	e.changed = make(chan struct{})
}

func (e *fakeCluster) position() distribution.Position {
	e.mu.Lock()
	defer e.mu.Unlock()
	return distribution.Position{Revision: e.state.Records.Revision(), Digest: e.state.Records.Digest()}
}

// fakeStoreReplica is one copy of an ensemble.
type fakeStoreReplica struct {
	*fakeCluster
	id string
}

func (m fakeStoreReplica) Leadership() (uint64, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return 1, m.leader == m.id
}

func (m fakeStoreReplica) Leader() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.leader
}

func (m fakeStoreReplica) Changed() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}

func (m fakeStoreReplica) View(look func(*state.State, uint64)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	look(m.state, 1)
}

// startOrigins opens the copies of a new ensemble, and tells their addresses and origins.
func startOrigins(t *testing.T, ids ...string) (e *fakeCluster, addresses map[string]string, origins map[string]*Origin) {
	t.Helper()
	e = &fakeCluster{state: state.New(), leader: ids[0], changed: make(chan struct{})}
	addresses, origins = map[string]string{}, map[string]*Origin{}
	for _, id := range ids {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { ln.Close() })
		o := NewOrigin(fakeStoreReplica{e, id}, clock.Monotonic(), zerolog.Nop(), "")
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
	return e, addresses, origins
}

// runningRelay is a relay that runs.
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

// startServer is an order server's replica that watches relays.
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

func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("not within %s: %s", testTimeout, what)
		}
	}
}

// Changes reach the servers of a relay through the copy that leads, also where another copy leads from some change on, and the
// copy that leads hears from the relay alone how far its servers are.
func TestRelayFollowsStoreLeader(t *testing.T) {
	e, addresses, origins := startOrigins(t, "a", "b", "c")
	r := startRelay(t, Options{Name: "relay", StoreAddresses: addresses, Seed: 1})
	var servers []*replica.Replica
	for i := range 5 {
		s, _ := startServer(t, fmt.Sprint("s", i), r.descriptor())
		servers = append(servers, s)
	}
	upToDate := func() bool {
		for _, s := range servers {
			if s.Position() != e.position() {
				return false
			}
		}
		return true
	}
	for i, leader := range []string{"a", "c", "b", "a"} {
		e.setLeader(leader)
		for k := range 10 {
			e.commitSetting(t, fmt.Sprint("k", k), fmt.Sprint(leader, i))
		}
		waitFor(t, "all servers are level under "+leader, upToDate)
		waitFor(t, "the copy that leads has heard so", func() bool {
			report := origins[leader].Report()
			return report.Servers == len(servers) && report.LowestRevision == e.position().Revision && report.ServersBehind == 0
		})
		if n := origins[leader].Metrics().Watchers; n != 1 {
			t.Errorf("%d watchers at the copy that leads", n)
		}
	}
}

// A relay that starts again serves from its copy on the disk while no copy of the store is reached, and goes on from there.
func TestRelayServesFromDiskWithoutLeader(t *testing.T) {
	e, addresses, _ := startOrigins(t, "a")
	path := filepath.Join(t.TempDir(), "records")
	first := startRelay(t, Options{Name: "relay", StoreAddresses: addresses, Path: path})
	for i := range 20 {
		e.commitSetting(t, fmt.Sprint("k", i), "1")
	}
	waitFor(t, "the relay is level", func() bool { return first.replica.Position() == e.position() })
	first.stop()
	e.setLeader("nobody")
	second := startRelay(t, Options{Name: "relay", StoreAddresses: addresses, Path: path})
	s, c := startServer(t, "s", second.descriptor())
	waitFor(t, "the server is level with the relay", func() bool { return s.Position() == e.position() })
	if f := c.Metrics(); f.Snapshots != 0 {
		t.Errorf("%d snapshots, though the relay's file has the commits", f.Snapshots)
	}
	before := second.client.Metrics().Snapshots
	e.setLeader("a")
	e.commitSetting(t, "k0", "2")
	waitFor(t, "the change is in force", func() bool { return s.Position() == e.position() })
	if n := second.client.Metrics().Snapshots; n != before {
		t.Errorf("the relay took %d snapshots", n-before)
	}
}

// A relay that has nothing yet sends its watchers to others, and copies of the store serve relays alone.
func TestRefusedWatchers(t *testing.T) {
	e, addresses, origins := startOrigins(t, "a")
	e.commitSetting(t, "k", "1")
	full := startRelay(t, Options{Name: "full", StoreAddresses: addresses})
	waitFor(t, "the relay is level", func() bool { return full.replica.Position() == e.position() })
	empty := startRelay(t, Options{Name: "empty", StoreAddresses: map[string]string{"gone": "127.0.0.1:1"}, Elsewhere: []string{"full"}})
	s, _ := startServer(t, "s", empty.descriptor(), distribution.Relay{Name: "full", Address: full.Addr(), Zone: "other"})
	waitFor(t, "the server is served elsewhere", func() bool { return s.Position() == e.position() })
	if empty.Metrics().Serving.Refused == 0 {
		t.Error("the relay without configuration sent nobody away")
	}
	r := replica.Open(replica.Options{Name: "direct", Log: zerolog.Nop()})
	c := configwatch.NewClient(configwatch.ClientOptions{Name: "direct", Preamble: []byte{store.PurposeWatches}, Replica: r, Steady: clock.Monotonic(), Log: zerolog.Nop(),
		Selector: distribution.NewSelector([]distribution.Relay{{Name: "a", Address: addresses["a"]}}, distribution.Locality{}, 1)})
	go c.Run(t.Context())
	waitFor(t, "an order server is sent away", func() bool { return origins["a"].Metrics().Refused > 0 })
	if r.Position().Revision != 0 {
		t.Errorf("it is at %+v", r.Position())
	}
}

// A relay that loses its copies keeps serving what it has, and its watchers hear no failure.
func TestWatchersStayConnectedWithoutLeader(t *testing.T) {
	e, addresses, origins := startOrigins(t, "a")
	r := startRelay(t, Options{Name: "relay", StoreAddresses: addresses})
	s, c := startServer(t, "s", r.descriptor())
	e.commitSetting(t, "k", "1")
	waitFor(t, "the server is level", func() bool { return s.Position() == e.position() })
	e.setLeader("nobody")
	waitFor(t, "the copy has dropped its relay", func() bool { return origins["a"].Metrics().Watchers == 0 })
	late, c2 := startServer(t, "late", r.descriptor())
	waitFor(t, "another server is served", func() bool { return late.Position() == e.position() })
	for _, f := range []configwatch.ClientMetrics{c.Metrics(), c2.Metrics()} {
		if f.Connections != 1 || f.RelayAddress != r.Addr() {
			t.Errorf("%+v", f)
		}
	}
	e.setLeader("a")
	e.commitSetting(t, "k", "2")
	waitFor(t, "both are level", func() bool { return s.Position() == e.position() && late.Position() == e.position() })
}

// A region whose relay is gone stays in the status with what its servers used last, and its age grows once something changes.
func TestStatusKeepsDisconnectedRegion(t *testing.T) {
	e, addresses, origins := startOrigins(t, "a")
	east := startRelay(t, Options{Name: "e1", Region: "east", StoreAddresses: addresses})
	west := startRelay(t, Options{Name: "w1", Region: "west", StoreAddresses: addresses})
	near, _ := startServer(t, "near", east.descriptor())
	far, _ := startServer(t, "far", west.descriptor())
	e.commitSetting(t, "k", "1")
	waitFor(t, "both are level", func() bool { return near.Position() == e.position() && far.Position() == e.position() })
	region := func(name string) (r distribution.RegionStatus) {
		for _, r := range origins["a"].Status().Regions {
			if r.Region == name {
				return r
			}
		}
		return r
	}
	for _, name := range []string{"east", "west"} {
		waitFor(t, name+" is heard to be level", func() bool {
			r := region(name)
			return r.ConnectedRelays == 1 && r.DisconnectedRelays == 0 && r.Servers == 1 && r.LowestRevision == 1 && r.StalenessMS == 0
		})
	}
	west.stop()
	waitFor(t, "west is not heard", func() bool {
		r := region("west")
		return r.ConnectedRelays == 0 && r.DisconnectedRelays == 1 && r.LowestRevision == 1 && r.StalenessMS == 0
	})
	e.commitSetting(t, "k", "2")
	waitFor(t, "west grows old, and east is level", func() bool {
		w, n := region("west"), region("east")
		return w.StalenessMS > 0 && w.ServersBehind == 1 && w.LowestServer == "far" && n.LowestRevision == 2 && n.StalenessMS == 0
	})
}

// waitRecorder gathers how long a relay waited after each try, in ms, from its log.
type waitRecorder struct {
	mu      sync.Mutex
	waitsMS []float64
}

// Write takes a line of the log.
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

// However long no copy leads, a relay tries again within a second or so of its clock, which runs fast here, and then follows.
func TestRelayRetriesUntilLeaderIsFound(t *testing.T) {
	const minAttempts, maxWaitMS, clockRate = 20, 1000.0, 20.0
	e, addresses, _ := startOrigins(t, "a", "b", "c")
	e.setLeader("nobody")
	e.commitSetting(t, "k", "1")
	w := &waitRecorder{}
	r := startRelay(t, Options{Name: "relay", StoreAddresses: addresses, Seed: 1, Steady: clock.Monotonic().SetRate(clockRate), Log: zerolog.New(w)})
	waitFor(t, "it was refused many times", func() bool { return len(w.list()) >= minAttempts })
	if longest := slices.Max(w.list()); longest > maxWaitMS {
		t.Errorf("it waits %v ms between two tries", longest)
	}
	e.setLeader("b")
	waitFor(t, "it follows", func() bool { return r.replica.Position() == e.position() })
}
