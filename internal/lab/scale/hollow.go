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

// simulatorConfig configures a process of simulated servers.
type simulatorConfig struct {
	Zone            string                `json:"zone"`
	Region          string                `json:"region"`
	Count           int                   `json:"count"`
	Seed            uint64                `json:"seed"`
	Relays          []distribution.Relay  `json:"relays"`
	StoreReplicas   map[string]string     `json:"copies"`
	ZoneOf          map[string]string     `json:"zone_of"` // zone by address
	Position        distribution.Position `json:"position"`
	WithoutRecords  int                   `json:"empty"` // number of servers that start without records
	TracePath       string                `json:"journal"`
	InjectedBug     string                `json:"plant"`
	RenewIntervalMS float64               `json:"renew_ms"`
	PresenceTTLMS   float64               `json:"presence_ms"`
	WholeVersions   bool                  `json:"today"` // servers also read whole published versions from the store
}

// Commands of the scale test to a process of simulated servers.
const (
	commandOpenSessions = "sessions" // each server opens a session at a random time within DurationMS
	commandCut          = "cut"      // Zones are partitioned from all others; empty: the partition is healed
	commandRestart      = "restart"  // Percent of the servers stop and start again within DurationMS
	commandStall        = "stall"    // Count servers stop reading for DurationMS
	commandCorrupt      = "spoil"    // Count servers restart with a digest that was never committed
	commandStatus       = "figures"  // no action; the response has the status
	commandStop         = "stop"     // the process exits without a response
)

// simulatorCommand is a command of the scale test, one line of JSON.
type simulatorCommand struct {
	Kind       string   `json:"kind"`
	Zones      []string `json:"zones,omitempty"`
	Percent    int      `json:"percent,omitempty"`
	Count      int      `json:"count,omitempty"`
	DurationMS float64  `json:"ms,omitempty"`
	Seed       uint64   `json:"seed,omitempty"`
}

// simulatorStatus is the response to each command.
type simulatorStatus struct {
	LowestRevision uint64 `json:"lowest"`  // lowest revision of the servers
	Present        int    `json:"present"` // servers whose presence is in force
	Bytes          uint64 `json:"bytes"`   // of all servers, in both directions, since the start
	Error          string `json:"error,omitempty"`
}

// simulator holds the simulated servers of one process.
type simulator struct {
	config          simulatorConfig
	partition       *partition
	traceWriter     *traceWriter
	steady          *clock.Clock
	ctx             context.Context
	servers         []*simulatedServer
	sessionsEnabled atomic.Bool // servers that start open a session
}

// simulatedServer is one simulated server. It implements configwatch.Replica by digests alone.
type simulatedServer struct {
	simulator *simulator
	name      string
	seed      uint64

	mu               sync.Mutex
	position         records.DigestFollower
	pending          trace.Event // consecutive commits in force that are not yet written to the trace
	earlyRevision    uint64      // revision that the injected bug reports before it is in force
	reportedRevision uint64      // the highest reported revision
	incarnation      int
	stop             context.CancelFunc
	running          sync.WaitGroup
	relayConn        *partitionedConn
	session          *session.Client
}

// Run starts the servers and carries out commands until the stop command or the end of the input.
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
	signal.Ignore(os.Interrupt) // the scale test ends its processes itself
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
		var command simulatorCommand
		status := simulatorStatus{}
		if err := json.Unmarshal(in.Bytes(), &command); err != nil {
			status.Error = err.Error()
		} else if command.Kind == commandStop {
			break
		} else {
			p.execute(command)
		}
		p.fillStatus(&status)
		if err := responses.Encode(status); err != nil {
			break
		}
	}
	for _, s := range p.servers {
		s.end()
	}
	return p.traceWriter.close()
}

// fillStatus fills a response with the current state of the servers.
func (p *simulator) fillStatus(status *simulatorStatus) {
	for i, s := range p.servers {
		s.mu.Lock()
		if i == 0 || s.position.Revision < status.LowestRevision {
			status.LowestRevision = s.position.Revision
		}
		if s.session != nil {
			if _, _, present := s.session.Presence(); present {
				status.Present++
			}
		}
		s.mu.Unlock()
	}
	status.Bytes = p.partition.traffic.In.Load() + p.partition.traffic.Out.Load()
}

// execute executes a command on the servers that its seed selects.
func (p *simulator) execute(command simulatorCommand) {
	rng := rand.New(rand.NewPCG(command.Seed, p.config.Seed))
	switch command.Kind {
	case commandOpenSessions:
		p.sessionsEnabled.Store(true)
		for _, s := range p.servers {
			time.AfterFunc(clock.Duration(command.DurationMS*rng.Float64()), func() {
				s.mu.Lock()
				defer s.mu.Unlock()
				s.openSession()
			})
		}
	case commandCut:
		p.partition.cut(command.Zones)
	case commandRestart:
		for _, i := range rng.Perm(len(p.servers))[:len(p.servers)*command.Percent/100] {
			go p.servers[i].restart(command.DurationMS*rng.Float64(), false)
		}
	case commandStall:
		for _, i := range rng.Perm(len(p.servers))[:min(command.Count, len(p.servers))] {
			p.servers[i].stall(clock.Duration(command.DurationMS))
		}
	case commandCorrupt:
		for _, i := range rng.Perm(len(p.servers))[:min(command.Count, len(p.servers))] {
			go p.servers[i].restart(command.DurationMS*rng.Float64(), true)
		}
	}
}

// start starts an incarnation of the server, from the position that it has. A corrupt position is not traced as installed.
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

// dial connects to a relay, and keeps the connection so that it can be stalled.
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

// openSession opens a session with the store replicas. The caller holds the lock.
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

// readVersion reads a whole published version and acknowledges it, as an order server does.
func readVersion(ctx context.Context, c *session.Client, processID string) {
	v, err := c.LatestVersion(ctx)
	if err != nil {
		return
	}
	c.Do(ctx, state.Command{Op: state.OpAcknowledgeVersion, Process: processID, Acknowledgement: &publish.Acknowledgement{No: v.No}})
}

// end stops the current incarnation and waits for its goroutines.
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

// restart stops the server and starts it again after downMS, with its digest unchanged or corrupted.
func (s *simulatedServer) restart(downMS float64, corrupt bool) {
	s.end()
	if corrupt {
		s.mu.Lock()
		s.position.Digest = records.Digest{}
		s.mu.Unlock()
		s.simulator.traceWriter.add(trace.Event{Who: s.name, What: eventCorrupted})
	}
	time.Sleep(clock.Duration(downMS))
	if s.simulator.ctx.Err() == nil {
		s.start(corrupt)
	}
}

// stall keeps the server from reading what its relay sends, for d.
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
	coalesceWindowMS = 20.0                   // commits in force within this window are traced as one event, at the time of the last
	earlyReportDelay = 300 * time.Millisecond // between report and application, with the injected bug
)

// Position returns the latest position that the server has applied.
func (s *simulatedServer) Position() distribution.Position {
	s.mu.Lock()
	defer s.mu.Unlock()
	return distribution.Position(s.position)
}

// KeepsRecords returns false: simulated servers hold digests alone.
func (s *simulatedServer) KeepsRecords() bool { return false }

// Follow applies the next commit.
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

// flush writes the pending event to the trace. The caller holds the lock.
func (s *simulatedServer) flush() {
	if s.pending.N > 0 {
		s.simulator.traceWriter.add(s.pending)
		s.pending = trace.Event{}
	}
}

// Adopt replaces the position by that of a snapshot.
func (s *simulatedServer) Adopt(h records.Header, t *records.Table) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.flush()
	s.position = records.DigestFollower{Revision: h.Revision, Digest: t.Digest()}
	s.simulator.traceWriter.add(trace.Event{Who: s.name, What: trace.RecordsInstalled, N: h.Revision, Text: h.Digest.String()})
	return nil
}

// Discard drops the position, because it differs from the committed one.
func (s *simulatedServer) Discard(error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.flush()
	s.position = records.DigestFollower{}
	s.simulator.traceWriter.add(trace.Event{Who: s.name, What: eventCorrupted})
}

// Skip advances the position without applying the commit: an injected bug.
func (s *simulatedServer) Skip(c records.Commit) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.position = records.DigestFollower{Revision: c.Revision, Digest: c.After}
	return nil
}

// Report returns the progress of the server.
func (s *simulatedServer) Report() distribution.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.flush() // the trace must have the commits in force before the report of them
	lowest := max(s.position.Revision, s.earlyRevision)
	if lowest > s.reportedRevision {
		s.reportedRevision = lowest
		s.simulator.traceWriter.add(trace.Event{Who: s.name, What: trace.RevisionReported, N: lowest})
	}
	return distribution.Report{Servers: 1, LowestRevision: lowest, LowestServer: s.name}
}
