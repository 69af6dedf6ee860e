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

// HollowCmd is the command that runs simulated servers: the clients that an order server uses for sessions, shares and
// configuration, without requests. The scale test starts it and sends it commands on its standard input.
type HollowCmd struct {
	Config string `required:"" type:"existingfile" help:"What the laboratory wrote for this process."`
}

// hollowConfig configures a process of simulated servers.
type hollowConfig struct {
	Zone     string                `json:"zone"`
	Region   string                `json:"region"`
	Count    int                   `json:"count"`
	Seed     uint64                `json:"seed"`
	Relays   []distribution.Relay  `json:"relays"`
	Copies   map[string]string     `json:"copies"`
	ZoneOf   map[string]string     `json:"zone_of"` // zone by address
	Position distribution.Position `json:"position"`
	Empty    int                   `json:"empty"` // number of servers that start without records
	Journal  string                `json:"journal"`
	Plant    string                `json:"plant"`
	RenewMs  float64               `json:"renew_ms"`
	Presence float64               `json:"presence_ms"`
	Today    bool                  `json:"today"` // servers also read whole published versions from the store
}

// Commands of the scale test to a process of simulated servers.
const (
	orderSessions = "sessions" // each server opens a session at a random time within Ms
	orderCut      = "cut"      // Zones are partitioned from all others; empty: the partition is healed
	orderRestart  = "restart"  // Percent of the servers stop and start again within Ms
	orderStall    = "stall"    // Count servers stop reading for Ms
	orderSpoil    = "spoil"    // Count servers restart with a digest that was never committed
	orderFigures  = "figures"
	orderStop     = "stop"
)

// hollowOrder is a command of the scale test, one line of JSON.
type hollowOrder struct {
	Kind    string   `json:"kind"`
	Zones   []string `json:"zones,omitempty"`
	Percent int      `json:"percent,omitempty"`
	Count   int      `json:"count,omitempty"`
	Ms      float64  `json:"ms,omitempty"`
	Seed    uint64   `json:"seed,omitempty"`
}

// hollowAnswer is the response to each command.
type hollowAnswer struct {
	Lowest  uint64 `json:"lowest"`  // lowest revision of the servers
	Present int    `json:"present"` // servers whose presence is in force
	Bytes   uint64 `json:"bytes"`   // of all servers, in both directions, since the start
	Error   string `json:"error,omitempty"`
}

// hollowProcess holds the simulated servers of one process.
type hollowProcess struct {
	c       hollowConfig
	part    *partition
	journal *journal
	steady  *clock.Clock
	ctx     context.Context
	servers []*hollowServer
	withSes atomic.Bool // servers that start open a session
}

// hollowServer is one simulated server. It implements configwatch.Replica by digests alone.
type hollowServer struct {
	p    *hollowProcess
	name string
	seed uint64

	mu      sync.Mutex
	marker  records.DigestFollower
	pending trace.Event // consecutive commits in force that are not yet written to the trace
	early   uint64      // revision that the injected bug reports before it is in force
	told    uint64      // the highest reported revision
	life    int
	stop    context.CancelFunc
	done    sync.WaitGroup
	conn    *partitionedConn
	session *session.Client
}

// Run starts the servers and carries out commands until the stop command or the end of the input.
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
	signal.Ignore(os.Interrupt) // the scale test ends its processes itself
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

// figures fills a response with the current state of the servers.
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

// carryOut executes a command on the servers that its seed selects.
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

// start starts an incarnation of the server, from the position that it has. A corrupt position is not traced as installed.
func (s *hollowServer) start(spoilt bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.life++
	ctx, stop := context.WithCancel(s.p.ctx)
	s.stop = stop
	s.p.journal.add(trace.Event{Who: s.name, What: trace.Up})
	if !spoilt {
		s.p.journal.add(trace.Event{Who: s.name, What: trace.Installed, N: s.marker.Revision, Text: s.marker.Digest.String()})
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

// dial connects to a relay, and keeps the connection so that it can be stalled.
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

// openSession opens a session with the store replicas. The caller holds the lock.
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

// readVersion reads a whole published version and acknowledges it, as an order server does.
func readVersion(ctx context.Context, c *session.Client, me string) {
	v, err := c.LatestVersion(ctx)
	if err != nil {
		return
	}
	c.Do(ctx, state.Command{Op: state.OpAcknowledgeVersion, Process: me, Acknowledgement: &publish.Acknowledgement{No: v.No}})
}

// end stops the current incarnation and waits for its goroutines.
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

// restart stops the server and starts it again after downMs, with its digest unchanged or corrupted.
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

// stall keeps the server from reading what its relay sends, for d.
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
	coalesceMs     = 20.0                   // commits that come into force within this window are traced as one event, with the time of the last
	earlyReportFor = 300 * time.Millisecond // between report and application, with the injected bug
)

// Position returns the latest position that the server has applied.
func (s *hollowServer) Position() distribution.Position {
	s.mu.Lock()
	defer s.mu.Unlock()
	return distribution.Position(s.marker)
}

// KeepsRecords returns false: simulated servers hold digests alone.
func (s *hollowServer) KeepsRecords() bool { return false }

// Follow applies the next commit.
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
		s.pending = trace.Event{Who: s.name, What: trace.InForce, Index: c.Revision, Began: now}
	}
	s.pending.N, s.pending.Text, s.pending.At = c.Revision, c.After.String(), now
	return nil
}

// flush writes the pending event to the trace. The caller holds the lock.
func (s *hollowServer) flush() {
	if s.pending.N > 0 {
		s.p.journal.add(s.pending)
		s.pending = trace.Event{}
	}
}

// Adopt replaces the position by that of a snapshot.
func (s *hollowServer) Adopt(h records.Header, t *records.Table) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.flush()
	s.marker = records.DigestFollower{Revision: h.Revision, Digest: t.Digest()}
	s.p.journal.add(trace.Event{Who: s.name, What: trace.Installed, N: h.Revision, Text: h.Digest.String()})
	return nil
}

// Discard drops the position, because it differs from the committed one.
func (s *hollowServer) Discard(error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.flush()
	s.marker = records.DigestFollower{}
	s.p.journal.add(trace.Event{Who: s.name, What: eventSpoilt})
}

// Skip advances the position without applying the commit: an injected bug.
func (s *hollowServer) Skip(c records.Commit) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.marker = records.DigestFollower{Revision: c.Revision, Digest: c.After}
	return nil
}

// Report returns the progress of the server.
func (s *hollowServer) Report() distribution.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.flush() // the trace must have the commits in force before the report of them
	lowest := max(s.marker.Revision, s.early)
	if lowest > s.told {
		s.told = lowest
		s.p.journal.add(trace.Event{Who: s.name, What: trace.Reported, N: lowest})
	}
	return distribution.Report{Servers: 1, Lowest: lowest, LowestName: s.name}
}
