// Package store keeps configuration, inventory, drain marks and the ids of effects begun in a small replicated
// key-value store: hashicorp/raft over one port a node, its log in a raft-boltdb file. Any node takes reads and
// writes; a write goes to the leader and returns once a majority has it.
package store

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/raft"
	"github.com/rs/zerolog"

	"puffinsaddle/internal/admit"
	"puffinsaddle/internal/clock"
	"puffinsaddle/internal/state"
	"puffinsaddle/internal/store/disk"
)

// ErrNoQuorum is the error of a write that no majority took. It may still be carried out later.
var ErrNoQuorum = errors.New("store: no quorum: the write was not confirmed by a majority of the nodes")

// ErrReplicasDiverged refuses effects while copies differ and no majority has one state.
var ErrReplicasDiverged = errors.New("store: copies differ and no majority has one state: no effect is begun until operators have decided")

const (
	writeTimeout             = 2 * time.Second
	maxWriteBytes            = 1 << 20 // bytes of one write
	shutdownTimeout          = time.Second
	defaultElectionTimeoutMS = 500.0 // ms
	snapshotThreshold        = 8192  // log entries
)

// Options set up one node.
type Options struct {
	ID               string
	Listen           string
	Listener         net.Listener // in place of Listen; nil: none
	Dir              string
	Peers            map[string]string // id and address of each node, this one included; none: Start has to tell them, and nobody is asked
	AddressOverrides map[string]string // addresses of peers that this node reaches elsewhere, and where
	Strict           bool              // more of the others have to be heard before this node takes part: admit.Seeker
	Log              io.Writer         // raft's
	Events           zerolog.Logger
	Steady           *clock.Clock // nil: the system's

	ElectionTimeoutMS float64                 // a leader that is not heard for so long, up to twice that, is replaced; 0: 500
	CompareIntervalMS float64                 // between two parts of the state that copies compare; 0: 1000
	OnPhaseChange     func(phase, why string) // called at each change of the node's phase; must not wait; nil: nobody asks

	OnApply     func(index, term uint64, c state.Command, r state.Result) // called for each entry that is applied, in order; must not wait
	InjectedBug string                                                    // a planted bug, for the laboratory; "": none
}

// raftConfig is the library's configuration.
func (o Options) raftConfig() *raft.Config {
	conf := raft.DefaultConfig()
	conf.LocalID, conf.LogOutput, conf.SnapshotThreshold = raft.ServerID(o.ID), o.Log, snapshotThreshold
	conf.LogLevel = "WARN"
	// A leader's end must be found, and another one chosen, before those who hold duties have to give them up.
	election := clock.Duration(cmp.Or(o.ElectionTimeoutMS, defaultElectionTimeoutMS))
	conf.HeartbeatTimeout, conf.ElectionTimeout, conf.LeaderLeaseTimeout = election, election, election/2
	return conf
}

// Store is one node.
type Store struct {
	o           Options
	processID   string // drawn at the start of the process
	fsm         *stateMachine
	mux         *multiplexer
	ctx         context.Context
	cancel      context.CancelFunc
	savePeersMu sync.Mutex // what is remembered of others goes to the disk one writing at a time

	active           atomic.Pointer[participation] // nil: this node takes no part
	decisionDue      chan struct{}                 // something changed that a decision may rest on
	claimConnIDs     atomic.Uint64
	claimConnections atomic.Int64 // connections of claims that are served
	effectsHalted    atomic.Bool  // copies differ without a majority

	mu                  sync.Mutex
	directory           *disk.Directory // nil: what stands there is damaged
	joiner              admit.Joiner
	verifier            *admit.Verifier
	learners            map[string]*admit.Learner
	caughtUp            map[string]bool // learners that have caught up
	phase               string
	phaseReason         string
	verificationStartMS float64 // when it began to seek
	nextCompareMS       float64 // the next part of the state is compared then
	partition           uint64
	peersChanged        bool          // what is remembered of others is newer than what the folder has
	phaseChanged        chan struct{} // closed at each change of the claim, or of whether the node takes part
}

// participation is the part of a node that takes part.
type participation struct {
	raft       *raft.Raft
	transport  *raft.NetworkTransport
	voteFilter *voteFilter
	directory  *disk.Directory
	voter      atomic.Bool
}

// Open starts a node from what its folder holds. It takes part once the others say nothing against its folder; Start begins a
// new set where no peers are named.
func Open(o Options) (*Store, error) {
	if o.Log == nil {
		o.Log = io.Discard
	}
	if o.Steady == nil {
		o.Steady = clock.Monotonic()
	}
	if o.CompareIntervalMS == 0 {
		o.CompareIntervalMS = defaultCompareIntervalMS
	}
	if len(o.Peers) > 0 && o.Peers[o.ID] == "" {
		return nil, fmt.Errorf("store: %s is not among its own peers", o.ID)
	}
	processID, err := disk.NewRandomID()
	if err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	ln := o.Listener
	if ln == nil {
		if ln, err = net.Listen("tcp", o.Listen); err != nil {
			return nil, fmt.Errorf("store: %w", err)
		}
	}
	s := &Store{o: o, processID: processID, fsm: newStateMachine(), decisionDue: make(chan struct{}, 1), learners: map[string]*admit.Learner{},
		caughtUp: map[string]bool{}, phase: PhaseVerifying, phaseChanged: make(chan struct{})}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.fsm.onApply, s.fsm.injectedBug, s.fsm.state.InjectedBug = o.OnApply, o.InjectedBug, o.InjectedBug
	s.mux = newMultiplexer(ln, map[byte]func(net.Conn){purposeWrites: s.serveWrite, purposeClaims: s.serveClaims, purposeStatus: s.serveStatus, purposeBackup: s.serveBackup}, o.AddressOverrides)
	corruption, err := s.openDirectory(admit.DirectoryState{})
	if err == nil && corruption != nil && len(o.Peers) < 2 {
		err = corruption // nobody to build it anew from
	}
	if err == nil && len(o.Peers) < 2 {
		err = s.participate(o.Peers)
	}
	if err != nil {
		s.cancel()
		s.stopParticipating(false)
		ln.Close()
		if s.directory != nil {
			s.directory.Close()
		}
		return nil, fmt.Errorf("store: %w", err)
	}
	go s.mux.run()
	if len(o.Peers) > 1 {
		s.verificationStartMS = o.Steady.Now()
		s.startVerification()
	}
	return s, nil
}

// openDirectory opens the folder. A folder that is damaged is no error: the node asks to be joined anew.
func (s *Store) openDirectory(joinState admit.DirectoryState) (corruption error, err error) {
	f, err := disk.OpenDirectory(s.o.Dir, s.processID, s.o.Log, disk.Options{OnFailure: s.diskFailed})
	if corrupt := (*disk.CorruptionError)(nil); errors.As(err, &corrupt) {
		corruption, err = corrupt, nil
	}
	if err != nil {
		return nil, err
	}
	var peers map[string]admit.DirectoryState
	if f != nil {
		if joinState.JoinIndex > 0 {
			err = f.RecordJoin(joinState)
		}
		if err == nil {
			peers, err = f.PeerDirectories()
		}
		if err != nil {
			f.Close()
			return nil, err
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.directory = f
	if s.verifier == nil || len(peers) > 0 {
		s.verifier = admit.NewVerifier(s.o.ID, peers)
	} else {
		s.peersChanged = true // what was remembered goes into the new folder
	}
	s.joiner = admit.Joiner{Strict: s.o.Strict, InjectedBug: s.o.InjectedBug}
	s.joiner.ID, s.joiner.Addr = s.o.ID, s.o.Peers[s.o.ID]
	for id := range s.o.Peers {
		if id != s.o.ID {
			s.joiner.Peers = append(s.joiner.Peers, id)
		}
	}
	if f != nil {
		s.joiner.DirectoryState, s.joiner.Fresh, s.joiner.SoleVoter = f.State(), f.Empty(), f.SoleVoter()
	} else {
		s.joiner.ProcessID, s.joiner.RejoinReason = s.processID, corruption.Error()
		s.setPhase(PhaseRejoining, corruption.Error())
	}
	return corruption, nil
}

// participate lets the node take part, in a new set of these peers where its folder is fresh and any are named.
func (s *Store) participate(peers map[string]string) error {
	s.mu.Lock()
	f := s.directory
	s.mu.Unlock()
	r := &participation{directory: f}
	r.voter.Store(f.IsVoter())
	raftLayer := s.mux.openRaftLayer(f.State().ClusterName)
	r.transport = raft.NewNetworkTransport(raftLayer, 3, writeTimeout, s.o.Log)
	r.voteFilter = newVoteFilter(r.transport, r.voter.Load)
	empty := f.Empty() && f.State().JoinIndex == 0
	var err error
	if r.raft, err = raft.NewRaft(s.o.raftConfig(), s.fsm, f, f, f.Snapshots, r.voteFilter); err != nil {
		r.voteFilter.Close()
		raftLayer.Close()
		return err
	}
	f.SetRaftRunning()
	s.active.Store(r)
	if empty && len(peers) > 0 {
		if err := s.Start(peers); err != nil {
			return err
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.joiner.Fresh, s.joiner.Running = false, true
	s.joiner.ClearResponses()
	s.setPhase(PhaseRunning, "")
	return nil
}

// Start begins a new set of these nodes; on a node that has a past it does nothing.
func (s *Store) Start(peers map[string]string) error {
	r := s.active.Load()
	if r == nil {
		return ErrNoQuorum
	}
	var c raft.Configuration
	for id, address := range peers {
		c.Servers = append(c.Servers, raft.Server{ID: raft.ServerID(id), Address: raft.ServerAddress(address)})
	}
	if err := r.raft.BootstrapCluster(c).Error(); err != nil && !errors.Is(err, raft.ErrCantBootstrap) {
		return fmt.Errorf("store: %w", err)
	}
	return nil
}

// Addr is where the node listens.
func (s *Store) Addr() string { return s.mux.Addr().String() }

// Ready waits until the node takes part and knows a leader.
func (s *Store) Ready(ctx context.Context) error {
	for {
		s.mu.Lock()
		changed := s.phaseChanged
		s.mu.Unlock()
		if r := s.active.Load(); r != nil {
			return r.waitLeader(ctx)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ErrNoQuorum
		}
	}
}

func (r *participation) waitLeader(ctx context.Context) error {
	observations := make(chan raft.Observation, 8)
	observer := raft.NewObserver(observations, false, func(observer *raft.Observation) bool { _, ok := observer.Data.(raft.LeaderObservation); return ok })
	r.raft.RegisterObserver(observer)
	defer r.raft.DeregisterObserver(observer)
	for {
		if address, _ := r.raft.LeaderWithID(); address != "" {
			return nil
		}
		select {
		case <-observations:
		case <-ctx.Done():
			return ErrNoQuorum
		}
	}
}

// Get reads a key as this node has it.
func (s *Store) Get(key string) ([]byte, bool) {
	s.fsm.mu.Lock()
	defer s.fsm.mu.Unlock()
	v, ok := s.fsm.state.Values[key]
	return v, ok
}

// Changed is closed at the next change that reaches this node.
func (s *Store) Changed() <-chan struct{} {
	s.fsm.mu.Lock()
	defer s.fsm.mu.Unlock()
	return s.fsm.changed
}

// Set writes a key.
func (s *Store) Set(key string, value []byte) error {
	_, err := s.write(state.Command{Op: state.OpSet, Key: key, Value: value})
	return err
}

// Delete removes a key.
func (s *Store) Delete(key string) error {
	_, err := s.write(state.Command{Op: state.OpDelete, Key: key})
	return err
}

// Begin records that an effect begins; false: it is recorded already.
func (s *Store) Begin(id string) (bool, error) {
	return s.write(state.Command{Op: state.OpBeginEffect, Key: id})
}

// Snapshot writes the state to the node's folder now.
func (s *Store) Snapshot() error {
	r := s.active.Load()
	if r == nil {
		return ErrNoQuorum
	}
	return r.raft.Snapshot().Error()
}

// writeResponse is the leader's word on a write.
type writeResponse struct {
	Fresh   bool   `json:"fresh"`
	Refused string `json:"refused,omitempty"` // agreed on, and then refused
	Error   string `json:"error,omitempty"`   // not confirmed
}

// write hands a command to the leader, here or elsewhere. It is sent once: one that gets no answer may have
// been taken.
func (s *Store) write(c state.Command) (bool, error) {
	var r state.Result
	var err error
	if _, isLeader := s.Leadership(); isLeader {
		r, err = s.apply(c)
	} else {
		r, err = s.forward(c)
	}
	if err == nil && r.Error != "" {
		err = errors.New(r.Error)
	}
	return err == nil && r.WasAbsent, err
}

func (s *Store) forward(c state.Command) (r state.Result, err error) {
	active := s.active.Load()
	if active == nil {
		return r, ErrNoQuorum
	}
	address, _ := active.raft.LeaderWithID()
	if address == "" {
		return r, ErrNoQuorum
	}
	conn, err := s.mux.dial(string(address), purposeWrites, writeTimeout)
	if err != nil {
		return r, fmt.Errorf("%w: %v", ErrNoQuorum, err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(2 * writeTimeout))
	var response writeResponse
	if err = json.NewEncoder(conn).Encode(c); err == nil {
		err = json.NewDecoder(conn).Decode(&response)
	}
	if err != nil || response.Error != "" {
		return r, fmt.Errorf("%w: %v %s", ErrNoQuorum, err, response.Error)
	}
	return state.Result{WasAbsent: response.Fresh, Error: response.Refused}, nil
}

func (s *Store) apply(c state.Command) (state.Result, error) { return s.Propose(c)() }

// Propose hands a command to the log of this node, which has to lead; the function it returns waits for what the
// command came to. An error leaves open whether it will be carried out. Commands are carried out in the order in which
// one goroutine proposes them.
func (s *Store) Propose(c state.Command) func() (state.Result, error) {
	b, err := json.Marshal(c)
	if err == nil && c.Op == state.OpBeginEffect && s.effectsHalted.Load() {
		err = ErrReplicasDiverged
	}
	if err != nil {
		return func() (state.Result, error) { return state.Result{}, err }
	}
	r := s.active.Load()
	if r == nil {
		return func() (state.Result, error) { return state.Result{}, ErrNoQuorum }
	}
	f := r.raft.Apply(b, writeTimeout)
	return func() (state.Result, error) {
		if err := f.Error(); err != nil {
			return state.Result{}, fmt.Errorf("%w: %v", ErrNoQuorum, err)
		}
		r, _ := f.Response().(state.Result)
		return r, nil
	}
}

// ConfirmLeadership writes an entry that changes nothing; the function it returns waits until a majority has it, which proves that
// this node led, and knew all that was agreed on, at some time after the call. raft's own VerifyLeader does not: it also
// counts answers to heartbeats that were sent before the call, and a node that stood still for a while, then reads one,
// would take itself for the leader that it was.
func (s *Store) ConfirmLeadership() func() error {
	r := s.active.Load()
	if r == nil {
		return func() error { return ErrNoQuorum }
	}
	return r.raft.Barrier(writeTimeout).Error
}

// Leadership tells whether this node believes that it leads, and in which term.
func (s *Store) Leadership() (term uint64, isLeader bool) {
	r := s.active.Load()
	if r == nil {
		return 0, false
	}
	term = r.raft.CurrentTerm()
	isLeader = r.raft.State() == raft.Leader
	return term, isLeader && term == r.raft.CurrentTerm()
}

// Leader is the id of the node that leads, for all that this one knows; "": none.
func (s *Store) Leader() string {
	r := s.active.Load()
	if r == nil {
		return ""
	}
	_, id := r.raft.LeaderWithID()
	return string(id)
}

// View lets look at the state, which must not be changed or kept; index is a position of the log up to which it holds
// at least.
func (s *Store) View(read func(st *state.State, index uint64)) {
	index := uint64(0)
	if r := s.active.Load(); r != nil {
		index = r.raft.AppliedIndex()
	}
	s.fsm.mu.Lock()
	defer s.fsm.mu.Unlock()
	read(s.fsm.state, index)
}

// CorruptMemory changes a bit of what this copy holds in memory, for the laboratory and tests; it tells where.
func (s *Store) CorruptMemory(pick uint64) string {
	s.fsm.mu.Lock()
	defer s.fsm.mu.Unlock()
	effects := s.fsm.state.Effects.Effects
	if len(effects) == 0 {
		return ""
	}
	ids := slices.Sorted(maps.Keys(effects))
	id := ids[pick%uint64(len(ids))]
	effects[id].Seq ^= 1 << (pick / 7 % 32)
	return id
}

// ServeSessions hands connections of order servers to serve, which closes them.
func (s *Store) ServeSessions(serve func(net.Conn)) {
	s.mux.mu.Lock()
	defer s.mux.mu.Unlock()
	s.mux.sessions = serve
}

// ServeWatches hands connections of relays to serve, which closes them.
func (s *Store) ServeWatches(serve func(net.Conn)) {
	s.mux.mu.Lock()
	defer s.mux.mu.Unlock()
	s.mux.watches = serve
}

// serveWrite takes one write from another node.
func (s *Store) serveWrite(conn net.Conn) {
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(2 * writeTimeout))
	var c state.Command
	if err := json.NewDecoder(io.LimitReader(conn, maxWriteBytes)).Decode(&c); err != nil {
		return
	}
	r, err := s.apply(c)
	response := writeResponse{Fresh: r.WasAbsent, Refused: r.Error}
	if err != nil {
		response.Error = err.Error()
	}
	json.NewEncoder(conn).Encode(response)
}

// ErrShutdownTimeout is the error of a node whose raft did not stop in time.
var ErrShutdownTimeout = errors.New("store: raft does not stop")

// waitFor waits for an end for so long. Guards against raft's pipelined replication, which can wait for good to send to a
// peer whose link hung with all of the pipeline in it, and its end waits for that: a process that drains must not.
func waitFor(d time.Duration, shutDown func() error) error {
	done := make(chan error, 1)
	go func() { done <- shutDown() }()
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case err := <-done:
		return err
	case <-t.C:
		return ErrShutdownTimeout
	}
}

// Close stops the node. One that leads hands that on first, so that writes wait for no election. Where raft does not
// stop its log stays open, since it may still write to it; the process is to end.
func (s *Store) Close() error {
	s.cancel()
	err := s.stopParticipating(true)
	s.mux.Close()
	if errors.Is(err, ErrShutdownTimeout) {
		return err
	}
	s.mu.Lock()
	f := s.directory
	s.mu.Unlock()
	if f != nil {
		err = errors.Join(err, f.Close())
	}
	return err
}

// stopParticipating ends the node's part.
func (s *Store) stopParticipating(transferLeadership bool) error {
	r := s.active.Swap(nil)
	if r == nil {
		return nil
	}
	if transferLeadership && r.raft.State() == raft.Leader {
		r.raft.LeadershipTransfer().Error() // where nobody can take it, an election will tell
	}
	err := waitFor(shutdownTimeout, r.raft.Shutdown().Error)
	r.voteFilter.Close()
	return err
}
