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

const patience = 60 * time.Second // a test that hangs fails by then; none is timed

// ensemble is the state that copies agree on at once, and which of them leads.
type ensemble struct {
	mu      sync.Mutex
	st      *state.State
	leader  string
	changed chan struct{}
}

func (e *ensemble) change(t *testing.T, name, value string) {
	t.Helper()
	e.mu.Lock()
	defer e.mu.Unlock()
	c := records.Change{Puts: []records.Put{{Key: records.Key{Kind: records.Setting, Name: name}, Value: []byte(value)}}}
	if r := e.st.Apply(state.Command{Op: state.Change, Change: &c}, 1); r.Error != "" {
		t.Fatal(r.Error)
	}
	e.wake()
}

func (e *ensemble) lead(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leader = id
	e.wake()
}

func (e *ensemble) wake() {
	close(e.changed)
	e.changed = make(chan struct{})
}

func (e *ensemble) at() distribution.Position {
	e.mu.Lock()
	defer e.mu.Unlock()
	return distribution.Position{Revision: e.st.Records.Revision(), Digest: e.st.Records.Digest()}
}

// member is one copy of an ensemble.
type member struct {
	*ensemble
	id string
}

func (m member) Leadership() (uint64, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return 1, m.leader == m.id
}

func (m member) Leader() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.leader
}

func (m member) Changed() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}

func (m member) View(look func(*state.State, uint64)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	look(m.st, 1)
}

// copies opens the copies of a new ensemble, and tells their addresses and origins.
func copies(t *testing.T, ids ...string) (e *ensemble, addresses map[string]string, origins map[string]*Origin) {
	t.Helper()
	e = &ensemble{st: state.New(), leader: ids[0], changed: make(chan struct{})}
	addresses, origins = map[string]string{}, map[string]*Origin{}
	for _, id := range ids {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { ln.Close() })
		o := NewOrigin(member{e, id}, clock.Steady(), zerolog.Nop(), "")
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

// running is a relay that runs.
type running struct {
	*Relay
	stop func()
}

func run(t *testing.T, o Options) *running {
	t.Helper()
	o.Listen = "127.0.0.1:0"
	if o.Steady == nil {
		o.Steady, o.Log = clock.Steady(), zerolog.Nop()
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
	return &running{r, stop}
}

// server is an order server's replica that watches relays.
func server(t *testing.T, name string, relays ...distribution.Relay) (*replica.Replica, *configwatch.Client) {
	r := replica.Open(replica.Options{Name: name, Log: zerolog.Nop()})
	c := configwatch.NewClient(configwatch.ClientOptions{Name: name, Follower: r, Steady: clock.Steady(), Log: zerolog.Nop(),
		Selector: distribution.NewSelector(relays, distribution.Place{Zone: "z"}, 1)})
	go c.Run(t.Context())
	return r, c
}

func (r *running) near() distribution.Relay {
	return distribution.Relay{Name: r.o.Name, Address: r.Addr(), Zone: "z"}
}

func until(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for late := time.Now().Add(patience); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(late) {
			t.Fatalf("not within %s: %s", patience, what)
		}
	}
}

// Changes reach the servers of a relay through the copy that leads, also where another copy leads from some change on, and the
// copy that leads hears from the relay alone how far its servers are.
func TestRelayFollowsTheCopyThatLeads(t *testing.T) {
	e, addresses, origins := copies(t, "a", "b", "c")
	r := run(t, Options{Name: "relay", Copies: addresses, Seed: 1})
	var servers []*replica.Replica
	for i := range 5 {
		s, _ := server(t, fmt.Sprint("s", i), r.near())
		servers = append(servers, s)
	}
	level := func() bool {
		for _, s := range servers {
			if s.Position() != e.at() {
				return false
			}
		}
		return true
	}
	for i, leader := range []string{"a", "c", "b", "a"} {
		e.lead(leader)
		for k := range 10 {
			e.change(t, fmt.Sprint("k", k), fmt.Sprint(leader, i))
		}
		until(t, "all servers are level under "+leader, level)
		until(t, "the copy that leads has heard so", func() bool {
			report := origins[leader].Report()
			return report.Servers == len(servers) && report.Lowest == e.at().Revision && report.Behind == 0
		})
		if n := origins[leader].Figures().Watchers; n != 1 {
			t.Errorf("%d watchers at the copy that leads", n)
		}
	}
}

// A relay that starts again serves from its copy on the disk while no copy of the store is reached, and goes on from there.
func TestRelayServesFromItsDisk(t *testing.T) {
	e, addresses, _ := copies(t, "a")
	path := filepath.Join(t.TempDir(), "records")
	first := run(t, Options{Name: "relay", Copies: addresses, Path: path})
	for i := range 20 {
		e.change(t, fmt.Sprint("k", i), "1")
	}
	until(t, "the relay is level", func() bool { return first.replica.Position() == e.at() })
	first.stop()
	e.lead("nobody")
	second := run(t, Options{Name: "relay", Copies: addresses, Path: path})
	s, c := server(t, "s", second.near())
	until(t, "the server is level with the relay", func() bool { return s.Position() == e.at() })
	if f := c.Figures(); f.Snapshots != 0 {
		t.Errorf("%d snapshots, though the relay's file has the commits", f.Snapshots)
	}
	before := second.client.Figures().Snapshots
	e.lead("a")
	e.change(t, "k0", "2")
	until(t, "the change is in force", func() bool { return s.Position() == e.at() })
	if n := second.client.Figures().Snapshots; n != before {
		t.Errorf("the relay took %d snapshots", n-before)
	}
}

// A relay that has nothing yet sends its watchers to others, and copies of the store serve relays alone.
func TestWhoIsSentAway(t *testing.T) {
	e, addresses, origins := copies(t, "a")
	e.change(t, "k", "1")
	full := run(t, Options{Name: "full", Copies: addresses})
	until(t, "the relay is level", func() bool { return full.replica.Position() == e.at() })
	empty := run(t, Options{Name: "empty", Copies: map[string]string{"gone": "127.0.0.1:1"}, Elsewhere: []string{"full"}})
	s, _ := server(t, "s", empty.near(), distribution.Relay{Name: "full", Address: full.Addr(), Zone: "other"})
	until(t, "the server is served elsewhere", func() bool { return s.Position() == e.at() })
	if empty.Figures().Serving.Refused == 0 {
		t.Error("the relay without configuration sent nobody away")
	}
	r := replica.Open(replica.Options{Name: "direct", Log: zerolog.Nop()})
	c := configwatch.NewClient(configwatch.ClientOptions{Name: "direct", Preamble: []byte{store.PurposeWatches}, Follower: r, Steady: clock.Steady(), Log: zerolog.Nop(),
		Selector: distribution.NewSelector([]distribution.Relay{{Name: "a", Address: addresses["a"]}}, distribution.Place{}, 1)})
	go c.Run(t.Context())
	until(t, "an order server is sent away", func() bool { return origins["a"].Figures().Refused > 0 })
	if r.Position().Revision != 0 {
		t.Errorf("it is at %+v", r.Position())
	}
}

// A relay that loses its copies keeps serving what it has, and its watchers hear no failure.
func TestWatchersStayWhileNoCopyIsReached(t *testing.T) {
	e, addresses, origins := copies(t, "a")
	r := run(t, Options{Name: "relay", Copies: addresses})
	s, c := server(t, "s", r.near())
	e.change(t, "k", "1")
	until(t, "the server is level", func() bool { return s.Position() == e.at() })
	e.lead("nobody")
	until(t, "the copy has dropped its relay", func() bool { return origins["a"].Figures().Watchers == 0 })
	late, c2 := server(t, "late", r.near())
	until(t, "another server is served", func() bool { return late.Position() == e.at() })
	for _, f := range []configwatch.ClientFigures{c.Figures(), c2.Figures()} {
		if f.Connected != 1 || f.Watching != r.Addr() {
			t.Errorf("%+v", f)
		}
	}
	e.lead("a")
	e.change(t, "k", "2")
	until(t, "both are level", func() bool { return s.Position() == e.at() && late.Position() == e.at() })
}

// A region whose relay is gone stays in the status with what its servers used last, and its age grows once something changes.
func TestStatusKeepsARegionThatIsCutOff(t *testing.T) {
	e, addresses, origins := copies(t, "a")
	east := run(t, Options{Name: "e1", Region: "east", Copies: addresses})
	west := run(t, Options{Name: "w1", Region: "west", Copies: addresses})
	near, _ := server(t, "near", east.near())
	far, _ := server(t, "far", west.near())
	e.change(t, "k", "1")
	until(t, "both are level", func() bool { return near.Position() == e.at() && far.Position() == e.at() })
	region := func(name string) (r distribution.RegionStatus) {
		for _, r := range origins["a"].Status().Regions {
			if r.Region == name {
				return r
			}
		}
		return r
	}
	for _, name := range []string{"east", "west"} {
		until(t, name+" is heard to be level", func() bool {
			r := region(name)
			return r.Relays == 1 && r.Lost == 0 && r.Servers == 1 && r.Lowest == 1 && r.AgeMs == 0
		})
	}
	west.stop()
	until(t, "west is not heard", func() bool { r := region("west"); return r.Relays == 0 && r.Lost == 1 && r.Lowest == 1 && r.AgeMs == 0 })
	e.change(t, "k", "2")
	until(t, "west grows old, and east is level", func() bool {
		w, n := region("west"), region("east")
		return w.AgeMs > 0 && w.Behind == 1 && w.LowestName == "far" && n.Lowest == 2 && n.AgeMs == 0
	})
}

// waits gathers how long a relay waited after each try, in ms, from its log.
type waits struct {
	mu  sync.Mutex
	all []float64
}

// Write takes a line of the log.
func (w *waits) Write(line []byte) (int, error) {
	var text struct {
		Message string  `json:"message"`
		Wait    float64 `json:"wait_ms"`
	}
	if json.Unmarshal(line, &text) == nil && text.Message == "not watching" {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.all = append(w.all, text.Wait)
	}
	return len(line), nil
}

func (w *waits) list() []float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.all)
}

// However long no copy leads, a relay tries again within a second or so of its clock, which runs fast here, and then follows.
func TestRelayKeepsSeekingTheLeader(t *testing.T) {
	const tries, mostWait, fast = 20, 1000.0, 20.0
	e, addresses, _ := copies(t, "a", "b", "c")
	e.lead("nobody")
	e.change(t, "k", "1")
	w := &waits{}
	r := run(t, Options{Name: "relay", Copies: addresses, Seed: 1, Steady: clock.Steady().Apart(fast), Log: zerolog.New(w)})
	until(t, "it was refused many times", func() bool { return len(w.list()) >= tries })
	if longest := slices.Max(w.list()); longest > mostWait {
		t.Errorf("it waits %v ms between two tries", longest)
	}
	e.lead("b")
	until(t, "it follows", func() bool { return r.replica.Position() == e.at() })
}
