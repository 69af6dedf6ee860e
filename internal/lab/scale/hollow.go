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

// simulatorConfig sets up a process of hollow servers.
type simulatorConfig struct {
	Zone            string                `json:"zone"`
	Region          string                `json:"region"`
	Count           int                   `json:"count"`
	Seed            uint64                `json:"seed"`
	Relays          []distribution.Relay  `json:"relays"`
	StoreReplicas   map[string]string     `json:"copies"`
	ZoneOf          map[string]string     `json:"zone_of"` // of each address
	Position        distribution.Position `json:"position"`
	WithoutRecords  int                   `json:"empty"` // servers that have no copy on their disk
	TracePath       string                `json:"journal"`
	InjectedBug     string                `json:"plant"`
	RenewIntervalMS float64               `json:"renew_ms"`
	PresenceTTLMS   float64               `json:"presence_ms"`
	WholeVersions   bool                  `json:"today"` // versions that are published without relays are read too
}

// Orders of the laboratory.
const (
	commandOpenSessions = "sessions" // every server opens a session within Ms
	commandCut          = "cut"      // Zones are cut off from all others; none: the cut is healed
	commandRestart      = "restart"  // Percent of the servers are ended, and start again within DownMs
	commandStall        = "stall"    // Count servers read nothing for Ms
	commandCorrupt      = "spoil"    // Count servers start again with another copy than was agreed on
	commandStatus       = "figures"
	commandStop         = "stop"
)

type simulatorCommand struct {
	Kind       string   `json:"kind"`
	Zones      []string `json:"zones,omitempty"`
	Percent    int      `json:"percent,omitempty"`
	Count      int      `json:"count,omitempty"`
	DurationMS float64  `json:"ms,omitempty"`
	Seed       uint64   `json:"seed,omitempty"`
}

// simulatorStatus answers each order.
type simulatorStatus struct {
	LowestRevision uint64 `json:"lowest"` // revision of the servers
	Present        int    `json:"present"`
	Bytes          uint64 `json:"bytes"` // of all servers, both ways, from the start
	Error          string `json:"error,omitempty"`
}

// simulator is the servers of one process.
type simulator struct {
	config          simulatorConfig
	partition       *partition
	traceWriter     *traceWriter
	steady          *clock.Clock
	ctx             context.Context
	servers         []*simulatedServer
	sessionsEnabled atomic.Bool
}

// simulatedServer is one server without requests.
type simulatedServer struct {
	simulator *simulator
	name      string
	seed      uint64

	mu               sync.Mutex
	position         records.DigestFollower
	pending          trace.Event // commits that came into force one after the other, not written down yet
	earlyRevision    uint64
	reportedRevision uint64
	incarnation      int
	stop             context.CancelFunc
	running          sync.WaitGroup
	relayConn        *partitionedConn
	session          *session.Client
}

// Run serves the laboratory's orders to the end of its input.
func (h *HollowCmd) Run(out io.Writer) error {
	b, err := os.ReadFile(h.Config)
	if err != nil {
		return err
	}
	p := &simulator{steady: clock.Monotonic()}
	if err := json.Unmarshal(b, &p.config); err != nil {
		return fmt.Errorf("%s: %w", h.Config, err)
	}
	if p.traceWriter, err = newTraceWriter(p.config.TracePath, p.steady); err != nil {
		return err
	}
	signal.Ignore(os.Interrupt) // the laboratory ends its processes itself
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	p.ctx = ctx
	p.partition = newPartition(p.config.Zone, p.config.ZoneOf)
	rng := rand.New(rand.NewPCG(p.config.Seed, 11))
	for i := range p.config.Count {
		s := &simulatedServer{simulator: p, name: fmt.Sprintf("%s-h%04d", p.config.Zone, i), seed: rng.Uint64()}
		if i >= p.config.WithoutRecords {
			s.position = records.DigestFollower(p.config.Position)
		}
		p.servers = append(p.servers, s)
		s.start(false)
	}
	in := bufio.NewScanner(os.Stdin)
	in.Buffer(nil, 1<<20)
	responses := json.NewEncoder(out)
	for in.Scan() {
		var o simulatorCommand
		a := simulatorStatus{}
		if err := json.Unmarshal(in.Bytes(), &o); err != nil {
			a.Error = err.Error()
		} else if o.Kind == commandStop {
			break
		} else {
			p.execute(o)
		}
		p.fillStatus(&a)
		if err := responses.Encode(a); err != nil {
			break
		}
	}
	for _, s := range p.servers {
		s.end()
	}
	return p.traceWriter.close()
}

func (p *simulator) fillStatus(a *simulatorStatus) {
	for i, s := range p.servers {
		s.mu.Lock()
		if i == 0 || s.position.Revision < a.LowestRevision {
			a.LowestRevision = s.position.Revision
		}
		if s.session != nil {
			if _, _, present := s.session.Presence(); present {
				a.Present++
			}
		}
		s.mu.Unlock()
	}
	a.Bytes = p.partition.traffic.In.Load() + p.partition.traffic.Out.Load()
}

func (p *simulator) execute(o simulatorCommand) {
	rng := rand.New(rand.NewPCG(o.Seed, p.config.Seed))
	switch o.Kind {
	case commandOpenSessions:
		p.sessionsEnabled.Store(true)
		for _, s := range p.servers {
			time.AfterFunc(clock.Duration(o.DurationMS*rng.Float64()), func() {
				s.mu.Lock()
				defer s.mu.Unlock()
				s.openSession()
			})
		}
	case commandCut:
		p.partition.cut(o.Zones)
	case commandRestart:
		for _, i := range rng.Perm(len(p.servers))[:len(p.servers)*o.Percent/100] {
			go p.servers[i].restart(o.DurationMS*rng.Float64(), false)
		}
	case commandStall:
		for _, i := range rng.Perm(len(p.servers))[:min(o.Count, len(p.servers))] {
			p.servers[i].stall(clock.Duration(o.DurationMS))
		}
	case commandCorrupt:
		for _, i := range rng.Perm(len(p.servers))[:min(o.Count, len(p.servers))] {
			go p.servers[i].restart(o.DurationMS*rng.Float64(), true)
		}
	}
}

// start begins a life of the server, from what its copy holds. A spoilt copy is nothing that it says to have in force.
func (s *simulatedServer) start(corrupt bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.incarnation++
	ctx, stop := context.WithCancel(s.simulator.ctx)
	s.stop = stop
	s.simulator.traceWriter.add(trace.Event{Who: s.name, What: trace.ProcessStarted})
	if !corrupt {
		s.simulator.traceWriter.add(trace.Event{Who: s.name, What: trace.RecordsInstalled, N: s.position.Revision, Text: s.position.Digest.String()})
	}
	client := configwatch.NewClient(configwatch.ClientOptions{Name: s.name, Replica: s, Dial: s.dial, Steady: s.simulator.steady, Log: zerolog.Nop(), InjectedBug: s.simulator.config.InjectedBug,
		Selector: distribution.NewSelector(s.simulator.config.Relays, distribution.Locality{Zone: s.simulator.config.Zone, Region: s.simulator.config.Region}, s.seed+uint64(s.incarnation))})
	s.running.Add(1)
	go func() {
		defer s.running.Done()
		client.Run(ctx)
	}()
	if s.simulator.sessionsEnabled.Load() {
		s.openSession()
	}
}

// dial remembers the connection to the relay, so that it can be stalled.
func (s *simulatedServer) dial(ctx context.Context, address string) (net.Conn, error) {
	conn, err := s.simulator.partition.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.relayConn = conn.(*partitionedConn)
	return conn, nil
}

// openSession opens a session with the copies of the store. The lock is held.
func (s *simulatedServer) openSession() {
	ctx, cancel := context.WithCancel(s.simulator.ctx)
	stopBefore := s.stop
	s.stop = func() {
		cancel()
		stopBefore()
	}
	rules := sessionRules(s.simulator.config.RenewIntervalMS, s.simulator.config.PresenceTTLMS)
	var client *session.Client
	ready := make(chan struct{})
	processID := fmt.Sprintf("%s#%016x", s.name, s.seed+uint64(s.incarnation))
	client = session.NewClient(session.Options{ProcessID: processID, ReplicaAddresses: s.simulator.config.StoreReplicas, Rules: rules,
		Seed: s.seed + uint64(s.incarnation), Steady: s.simulator.steady, Log: zerolog.Nop(), Dial: s.simulator.partition.dial, OnEvent: func(e any) {
			<-ready
			switch e := e.(type) {
			case session.ShareChanged:
				client.AcknowledgeShare(e.Version)
			case session.VersionPublished:
				if s.simulator.config.WholeVersions {
					go readVersion(ctx, client, processID)
				}
			}
		}})
	close(ready)
	client.SetMode(duty.Warm)
	s.session = client
	s.running.Add(1)
	go func() {
		defer s.running.Done()
		client.Run(ctx)
	}()
}

// readVersion does what an order server does with a version that is published whole: it reads it and says so.
func readVersion(ctx context.Context, c *session.Client, processID string) {
	v, err := c.LatestVersion(ctx)
	if err != nil {
		return
	}
	c.Do(ctx, state.Command{Op: state.OpAcknowledgeVersion, Process: processID, Acknowledgement: &publish.Acknowledgement{No: v.No}})
}

// end ends this life.
func (s *simulatedServer) end() {
	s.mu.Lock()
	stop := s.stop
	s.mu.Unlock()
	stop()
	s.running.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.flush()
	s.session = nil
	s.simulator.traceWriter.add(trace.Event{Who: s.name, What: eventDown})
}

// restart ends the server at once and starts it again later, with its copy as it was, or spoilt.
func (s *simulatedServer) restart(downMS float64, corrupt bool) {
	s.end()
	if corrupt {
		s.mu.Lock()
		s.position.Digest = records.Digest{}
		s.mu.Unlock()
		s.simulator.traceWriter.add(trace.Event{Who: s.name, What: eventCorrupt})
	}
	time.Sleep(clock.Duration(downMS))
	if s.simulator.ctx.Err() == nil {
		s.start(corrupt)
	}
}

// stall keeps the server from reading what its relay sends.
func (s *simulatedServer) stall(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.relayConn == nil {
		return
	}
	s.relayConn.stall(d)
	s.simulator.traceWriter.add(trace.Event{Who: s.name, What: eventStalled, Until: s.simulator.steady.Now() + clock.Millis(d)})
}

const (
	coalesceWindowMS = 20.0 // commits that come into force within it are written down as one event, with the time of the last
	earlyReportDelay = 300 * time.Millisecond
)

// Position is how far the server is.
func (s *simulatedServer) Position() distribution.Position {
	s.mu.Lock()
	defer s.mu.Unlock()
	return distribution.Position(s.position)
}

// KeepsRecords is false: hollow servers hold digests alone.
func (s *simulatedServer) KeepsRecords() bool { return false }

// Follow takes the next commit.
func (s *simulatedServer) Follow(c records.Commit) error {
	if s.simulator.config.InjectedBug == distribution.BugEarlyReport {
		s.mu.Lock()
		s.earlyRevision = c.Revision
		s.mu.Unlock()
		time.Sleep(earlyReportDelay)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.position.ApplyCommit(c); err != nil {
		return err
	}
	now := s.simulator.steady.Now()
	if s.pending.N > 0 && now > s.pending.Began+coalesceWindowMS {
		s.flush()
	}
	if s.pending.N == 0 {
		s.pending = trace.Event{Who: s.name, What: trace.CommitsInForce, Index: c.Revision, Began: now}
	}
	s.pending.N, s.pending.Text, s.pending.At = c.Revision, c.After.String(), now
	return nil
}

// flush writes down what is pending. The lock is held.
func (s *simulatedServer) flush() {
	if s.pending.N > 0 {
		s.simulator.traceWriter.add(s.pending)
		s.pending = trace.Event{}
	}
}

// Adopt takes a snapshot.
func (s *simulatedServer) Adopt(h records.Header, t *records.Table) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.flush()
	s.position = records.DigestFollower{Revision: h.Revision, Digest: t.Digest()}
	s.simulator.traceWriter.add(trace.Event{Who: s.name, What: trace.RecordsInstalled, N: h.Revision, Text: h.Digest.String()})
	return nil
}

// Discard throws away what is held.
func (s *simulatedServer) Discard(error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.flush()
	s.position = records.DigestFollower{}
	s.simulator.traceWriter.add(trace.Event{Who: s.name, What: eventCorrupt})
}

// Skip counts a commit and does not carry it out: a planted bug.
func (s *simulatedServer) Skip(c records.Commit) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.position = records.DigestFollower{Revision: c.Revision, Digest: c.After}
	return nil
}

// Report tells how far the server is.
func (s *simulatedServer) Report() distribution.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.flush() // what is reported was in force, and is written down before
	lowest := max(s.position.Revision, s.earlyRevision)
	if lowest > s.reportedRevision {
		s.reportedRevision = lowest
		s.simulator.traceWriter.add(trace.Event{Who: s.name, What: trace.RevisionReported, N: lowest})
	}
	return distribution.Report{Servers: 1, LowestRevision: lowest, LowestServer: s.name}
}
