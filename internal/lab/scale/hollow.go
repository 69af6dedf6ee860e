package scale

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"os/signal"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"puffinsaddle/internal/clock"
	"puffinsaddle/internal/distribution"
	"puffinsaddle/internal/duty"
	"puffinsaddle/internal/net/configwatch"
	"puffinsaddle/internal/net/session"
	"puffinsaddle/internal/publish"
	"puffinsaddle/internal/records"
	"puffinsaddle/internal/state"
	"puffinsaddle/internal/trace"
)

// HollowCmd runs hollow servers: the clients of order servers, for sessions, shares and configuration, without requests. The
// laboratory starts it and gives it orders on its standard input.
type HollowCmd struct {
	Config string `required:"" type:"existingfile" help:"What the laboratory wrote for this process."`
}

// hollowConfig sets up a process of hollow servers.
type hollowConfig struct {
	Zone     string                `json:"zone"`
	Region   string                `json:"region"`
	Count    int                   `json:"count"`
	Seed     uint64                `json:"seed"`
	Relays   []distribution.Relay  `json:"relays"`
	Copies   map[string]string     `json:"copies"`
	ZoneOf   map[string]string     `json:"zone_of"` // of each address
	Position distribution.Position `json:"position"`
	Empty    int                   `json:"empty"` // servers that have no copy on their disk
	Journal  string                `json:"journal"`
	Plant    string                `json:"plant"`
	RenewMs  float64               `json:"renew_ms"`
	Presence float64               `json:"presence_ms"`
	Today    bool                  `json:"today"` // versions that are published without relays are read too
}

// Orders of the laboratory.
const (
	orderSessions = "sessions" // every server opens a session within Ms
	orderCut      = "cut"      // Zones are cut off from all others; none: the cut is healed
	orderRestart  = "restart"  // Percent of the servers are ended, and start again within DownMs
	orderStall    = "stall"    // Count servers read nothing for Ms
	orderSpoil    = "spoil"    // Count servers start again with another copy than was agreed on
	orderFigures  = "figures"
	orderStop     = "stop"
)

type hollowOrder struct {
	Kind    string   `json:"kind"`
	Zones   []string `json:"zones,omitempty"`
	Percent int      `json:"percent,omitempty"`
	Count   int      `json:"count,omitempty"`
	Ms      float64  `json:"ms,omitempty"`
	Seed    uint64   `json:"seed,omitempty"`
}

// hollowAnswer answers each order.
type hollowAnswer struct {
	Lowest  uint64 `json:"lowest"` // revision of the servers
	Present int    `json:"present"`
	Bytes   uint64 `json:"bytes"` // of all servers, both ways, from the start
	Error   string `json:"error,omitempty"`
}

// hollowProcess is the servers of one process.
type hollowProcess struct {
	c       hollowConfig
	part    *partition
	journal *journal
	steady  *clock.Clock
	ctx     context.Context
	servers []*hollowServer
	withSes atomic.Bool
}

// hollowServer is one server without requests.
type hollowServer struct {
	p    *hollowProcess
	name string
	seed uint64

	mu      sync.Mutex
	marker  records.DigestFollower
	pending trace.Event // commits that came into force one after the other, not written down yet
	early   uint64
	told    uint64
	life    int
	stop    context.CancelFunc
	done    sync.WaitGroup
	conn    *partitionedConn
	session *session.Client
}

// Run serves the laboratory's orders to the end of its input.
func (h *HollowCmd) Run(out io.Writer) error {
	b, err := os.ReadFile(h.Config)
	if err != nil {
		return err
	}
	p := &hollowProcess{steady: clock.Monotonic()}
	if err := json.Unmarshal(b, &p.c); err != nil {
		return fmt.Errorf("%s: %w", h.Config, err)
	}
	if p.journal, err = openJournal(p.c.Journal, p.steady); err != nil {
		return err
	}
	signal.Ignore(os.Interrupt) // the laboratory ends its processes itself
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	p.ctx = ctx
	p.part = newPartition(p.c.Zone, p.c.ZoneOf)
	rng := rand.New(rand.NewPCG(p.c.Seed, 11))
	for i := range p.c.Count {
		s := &hollowServer{p: p, name: fmt.Sprintf("%s-h%04d", p.c.Zone, i), seed: rng.Uint64()}
		if i >= p.c.Empty {
			s.marker = records.DigestFollower(p.c.Position)
		}
		p.servers = append(p.servers, s)
		s.start(false)
	}
	in := bufio.NewScanner(os.Stdin)
	in.Buffer(nil, 1<<20)
	answers := json.NewEncoder(out)
	for in.Scan() {
		var o hollowOrder
		a := hollowAnswer{}
		if err := json.Unmarshal(in.Bytes(), &o); err != nil {
			a.Error = err.Error()
		} else if o.Kind == orderStop {
			break
		} else {
			p.carryOut(o)
		}
		p.figures(&a)
		if err := answers.Encode(a); err != nil {
			break
		}
	}
	for _, s := range p.servers {
		s.end()
	}
	return p.journal.close()
}

func (p *hollowProcess) figures(a *hollowAnswer) {
	for i, s := range p.servers {
		s.mu.Lock()
		if i == 0 || s.marker.Revision < a.Lowest {
			a.Lowest = s.marker.Revision
		}
		if s.session != nil {
			if _, _, here := s.session.Presence(); here {
				a.Present++
			}
		}
		s.mu.Unlock()
	}
	a.Bytes = p.part.bytes.In.Load() + p.part.bytes.Out.Load()
}

func (p *hollowProcess) carryOut(o hollowOrder) {
	rng := rand.New(rand.NewPCG(o.Seed, p.c.Seed))
	switch o.Kind {
	case orderSessions:
		p.withSes.Store(true)
		for _, s := range p.servers {
			time.AfterFunc(clock.Duration(o.Ms*rng.Float64()), func() {
				s.mu.Lock()
				defer s.mu.Unlock()
				s.openSession()
			})
		}
	case orderCut:
		p.part.cut(o.Zones)
	case orderRestart:
		for _, i := range rng.Perm(len(p.servers))[:len(p.servers)*o.Percent/100] {
			go p.servers[i].restart(o.Ms*rng.Float64(), false)
		}
	case orderStall:
		for _, i := range rng.Perm(len(p.servers))[:min(o.Count, len(p.servers))] {
			p.servers[i].stall(clock.Duration(o.Ms))
		}
	case orderSpoil:
		for _, i := range rng.Perm(len(p.servers))[:min(o.Count, len(p.servers))] {
			go p.servers[i].restart(o.Ms*rng.Float64(), true)
		}
	}
}

// start begins a life of the server, from what its copy holds. A spoilt copy is nothing that it says to have in force.
func (s *hollowServer) start(spoilt bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.life++
	ctx, stop := context.WithCancel(s.p.ctx)
	s.stop = stop
	s.p.journal.add(trace.Event{Who: s.name, What: trace.ProcessStarted})
	if !spoilt {
		s.p.journal.add(trace.Event{Who: s.name, What: trace.RecordsInstalled, N: s.marker.Revision, Text: s.marker.Digest.String()})
	}
	c := configwatch.NewClient(configwatch.ClientOptions{Name: s.name, Replica: s, Dial: s.dial, Steady: s.p.steady, Log: zerolog.Nop(), InjectedBug: s.p.c.Plant,
		Selector: distribution.NewSelector(s.p.c.Relays, distribution.Place{Zone: s.p.c.Zone, Region: s.p.c.Region}, s.seed+uint64(s.life))})
	s.done.Add(1)
	go func() {
		defer s.done.Done()
		c.Run(ctx)
	}()
	if s.p.withSes.Load() {
		s.openSession()
	}
}

// dial remembers the connection to the relay, so that it can be stalled.
func (s *hollowServer) dial(ctx context.Context, address string) (net.Conn, error) {
	conn, err := s.p.part.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conn = conn.(*partitionedConn)
	return conn, nil
}

// openSession opens a session with the copies of the store. The lock is held.
func (s *hollowServer) openSession() {
	ctx, cancel := context.WithCancel(s.p.ctx)
	before := s.stop
	s.stop = func() {
		cancel()
		before()
	}
	rules := terms(s.p.c.RenewMs, s.p.c.Presence)
	var c *session.Client
	ready := make(chan struct{})
	me := fmt.Sprintf("%s#%016x", s.name, s.seed+uint64(s.life))
	c = session.NewClient(session.Options{ProcessID: me, ReplicaAddresses: s.p.c.Copies, Rules: rules,
		Seed: s.seed + uint64(s.life), Steady: s.p.steady, Log: zerolog.Nop(), Dial: s.p.part.dial, OnEvent: func(e any) {
			<-ready
			switch e := e.(type) {
			case session.ShareChanged:
				c.AcknowledgeShare(e.Version)
			case session.VersionPublished:
				if s.p.c.Today {
					go readVersion(ctx, c, me)
				}
			}
		}})
	close(ready)
	c.SetMode(duty.Warm)
	s.session = c
	s.done.Add(1)
	go func() {
		defer s.done.Done()
		c.Run(ctx)
	}()
}

// readVersion does what an order server does with a version that is published whole: it reads it and says so.
func readVersion(ctx context.Context, c *session.Client, me string) {
	v, err := c.LatestVersion(ctx)
	if err != nil {
		return
	}
	c.Do(ctx, state.Command{Op: state.OpAcknowledgeVersion, Process: me, Acknowledgement: &publish.Acknowledgement{No: v.No}})
}

// end ends this life.
func (s *hollowServer) end() {
	s.mu.Lock()
	stop := s.stop
	s.mu.Unlock()
	stop()
	s.done.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.flush()
	s.session = nil
	s.p.journal.add(trace.Event{Who: s.name, What: eventDown})
}

// restart ends the server at once and starts it again later, with its copy as it was, or spoilt.
func (s *hollowServer) restart(downMs float64, spoil bool) {
	s.end()
	if spoil {
		s.mu.Lock()
		s.marker.Digest = records.Digest{}
		s.mu.Unlock()
		s.p.journal.add(trace.Event{Who: s.name, What: eventSpoilt})
	}
	time.Sleep(clock.Duration(downMs))
	if s.p.ctx.Err() == nil {
		s.start(spoil)
	}
}

// stall keeps the server from reading what its relay sends.
func (s *hollowServer) stall(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn == nil {
		return
	}
	s.conn.stall(d)
	s.p.journal.add(trace.Event{Who: s.name, What: eventStalled, Until: s.p.steady.Now() + clock.Millis(d)})
}

const (
	coalesceMs     = 20.0 // commits that come into force within it are written down as one event, with the time of the last
	earlyReportFor = 300 * time.Millisecond
)

// Position is how far the server is.
func (s *hollowServer) Position() distribution.Position {
	s.mu.Lock()
	defer s.mu.Unlock()
	return distribution.Position(s.marker)
}

// KeepsRecords is false: hollow servers hold digests alone.
func (s *hollowServer) KeepsRecords() bool { return false }

// Follow takes the next commit.
func (s *hollowServer) Follow(c records.Commit) error {
	if s.p.c.Plant == distribution.PlantEarlyReport {
		s.mu.Lock()
		s.early = c.Revision
		s.mu.Unlock()
		time.Sleep(earlyReportFor)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.marker.ApplyCommit(c); err != nil {
		return err
	}
	now := s.p.steady.Now()
	if s.pending.N > 0 && now > s.pending.Began+coalesceMs {
		s.flush()
	}
	if s.pending.N == 0 {
		s.pending = trace.Event{Who: s.name, What: trace.CommitsInForce, Index: c.Revision, Began: now}
	}
	s.pending.N, s.pending.Text, s.pending.At = c.Revision, c.After.String(), now
	return nil
}

// flush writes down what is pending. The lock is held.
func (s *hollowServer) flush() {
	if s.pending.N > 0 {
		s.p.journal.add(s.pending)
		s.pending = trace.Event{}
	}
}

// Adopt takes a snapshot.
func (s *hollowServer) Adopt(h records.Header, t *records.Table) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.flush()
	s.marker = records.DigestFollower{Revision: h.Revision, Digest: t.Digest()}
	s.p.journal.add(trace.Event{Who: s.name, What: trace.RecordsInstalled, N: h.Revision, Text: h.Digest.String()})
	return nil
}

// Discard throws away what is held.
func (s *hollowServer) Discard(error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.flush()
	s.marker = records.DigestFollower{}
	s.p.journal.add(trace.Event{Who: s.name, What: eventSpoilt})
}

// Skip counts a commit and does not carry it out: a planted bug.
func (s *hollowServer) Skip(c records.Commit) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.marker = records.DigestFollower{Revision: c.Revision, Digest: c.After}
	return nil
}

// Report tells how far the server is.
func (s *hollowServer) Report() distribution.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.flush() // what is reported was in force, and is written down before
	lowest := max(s.marker.Revision, s.early)
	if lowest > s.told {
		s.told = lowest
		s.p.journal.add(trace.Event{Who: s.name, What: trace.RevisionReported, N: lowest})
	}
	return distribution.Report{Servers: 1, Lowest: lowest, LowestName: s.name}
}
