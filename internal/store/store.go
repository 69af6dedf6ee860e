// Package store replicates the state of package state: keys and values, duties, capacity allocations, effects, published
// configuration versions and records. It runs hashicorp/raft over one port per replica and keeps the log in a bolt file. Any
// replica accepts reads and writes; a write is forwarded to the leader and returns once a majority has it.
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

	"puffinsaddle/internal/clock"
	"puffinsaddle/internal/rejoin"
	"puffinsaddle/internal/state"
	"puffinsaddle/internal/store/disk"
)

// ErrNoQuorum reports a write that was not confirmed by a majority. It may still be applied later.
var ErrNoQuorum = errors.New("store: no quorum: the write was not confirmed by a majority of the replicas")

// ErrReplicasDiverged refuses effects while the replicas' states differ and no state has a majority.
var ErrReplicasDiverged = errors.New("store: replicas differ and no state has a majority: no effect is begun until operators resolve it")

const (
	writeTimeout             = 2 * time.Second // for a write to be committed, and for a dial
	maxWriteBytes            = 1 << 20         // maximum size of one write
	shutdownTimeout          = time.Second     // for raft to shut down
	defaultElectionTimeoutMS = 500.0
	snapshotThreshold        = 8192 // log entries
)

// Options configure one replica of the store.
type Options struct {
	ID               string
	Listen           string
	Listener         net.Listener // in place of Listen; nil: none
	Dir              string
	Peers            map[string]string // addresses by replica id, this one included; empty: Start sets the members, and no claims are sent
	AddressOverrides map[string]string // by peer address: the address to dial in its place
	Strict           bool              // require more accepting peers before this replica participates: rejoin.Joiner.Strict
	Log              io.Writer         // raft's log output
	Events           zerolog.Logger
	Steady           *clock.Clock // nil: the system's steady clock

	ElectionTimeoutMS float64                    // ms; followers elect another leader after one to two of these without contact; 0: 500
	CompareIntervalMS float64                    // ms between two comparisons of the replicas' state; 0: 1000
	OnPhaseChange     func(phase, reason string) // optional; called at each change of the replica's phase; must not block

	OnApply     func(index, term uint64, c state.Command, r state.Result) // optional; called for each applied entry, in log order; must not block
	InjectedBug string                                                    // a bug injected by the lab; "": none
}

// raftConfig returns the configuration of the raft library.
func (o Options) raftConfig() *raft.Config {
	conf := raft.DefaultConfig()
	conf.LocalID, conf.LogOutput, conf.SnapshotThreshold = raft.ServerID(o.ID), o.Log, snapshotThreshold
	conf.LogLevel = "WARN"
	// A failed leader must be detected and replaced before duty holders have to give up their leases.
	election := clock.Duration(cmp.Or(o.ElectionTimeoutMS, defaultElectionTimeoutMS))
	conf.HeartbeatTimeout, conf.ElectionTimeout, conf.LeaderLeaseTimeout = election, election, election/2
	return conf
}

// Store is one replica of the replicated store.
type Store struct {
	o           Options
	processID   string // random, unique to this process
	fsm         *stateMachine
	mux         *multiplexer
	ctx         context.Context
	cancel      context.CancelFunc
	savePeersMu sync.Mutex // serializes saves of the known peers

	active           atomic.Pointer[participation] // nil while this replica does not participate
	decisionDue      chan struct{}                 // signals a change that decisions depend on
	claimConnIDs     atomic.Uint64
	claimConnections atomic.Int64 // claim connections being served
	effectsHalted    atomic.Bool  // replicas differ and no state has a majority

	mu                  sync.Mutex
	directory           *disk.Directory // nil: its contents are corrupt
	joiner              rejoin.Joiner
	verifier            *rejoin.Verifier
	learners            map[string]*rejoin.Learner
	caughtUp            map[string]bool // by id of non-voter
	phase               string
	phaseReason         string
	verificationStartMS float64       // when this replica began to send claims
	nextCompareMS       float64       // when the next partition of the state is compared
	partition           uint64        // number of the latest partition to compare; wraps over the partitions of the state
	peersChanged        bool          // the known peers changed since they were last saved
	phaseChanged        chan struct{} // closed and replaced at each change of the phase
}

// participation holds the raft instance of a replica and what belongs to it, while the replica participates.
type participation struct {
	raft       *raft.Raft
	transport  *raft.NetworkTransport
	voteFilter *voteFilter
	directory  *disk.Directory
	voter      atomic.Bool
}

// Open starts a replica from its data directory. The replica participates once its peers accept the directory. Without peers in the
// options, Start bootstraps the cluster.
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
	s := &Store{o: o, processID: processID, fsm: newStateMachine(), decisionDue: make(chan struct{}, 1), learners: map[string]*rejoin.Learner{},
		caughtUp: map[string]bool{}, phase: PhaseVerifying, phaseChanged: make(chan struct{})}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.fsm.onApply, s.fsm.injectedBug, s.fsm.state.InjectedBug = o.OnApply, o.InjectedBug, o.InjectedBug
	s.mux = newMultiplexer(ln, map[byte]func(net.Conn){purposeWrites: s.serveWrite, purposeClaims: s.serveClaims, purposeStatus: s.serveStatus, purposeBackup: s.serveBackup}, o.AddressOverrides)
	corruption, err := s.openDirectory(rejoin.DirectoryState{})
	if err == nil && corruption != nil && len(o.Peers) < 2 {
		err = corruption // no peer to rebuild it from
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

// openDirectory opens the data directory. Corruption is returned apart from err: the replica requests to rejoin then.
func (s *Store) openDirectory(joinState rejoin.DirectoryState) (corruption error, err error) {
	directory, err := disk.OpenDirectory(s.o.Dir, s.processID, s.o.Log, disk.Options{OnFailure: s.diskFailed})
	if corrupt := (*disk.CorruptionError)(nil); errors.As(err, &corrupt) {
		corruption, err = corrupt, nil
	}
	if err != nil {
		return nil, err
	}
	var peers map[string]rejoin.DirectoryState
	if directory != nil {
		if joinState.JoinIndex > 0 {
			err = directory.RecordJoin(joinState)
		}
		if err == nil {
			peers, err = directory.PeerDirectories()
		}
		if err != nil {
			directory.Close()
			return nil, err
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.directory = directory
	if s.verifier == nil || len(peers) > 0 {
		s.verifier = rejoin.NewVerifier(s.o.ID, peers)
	} else {
		s.peersChanged = true // the known peers have to be saved in the new directory
	}
	s.joiner = rejoin.Joiner{Strict: s.o.Strict, InjectedBug: s.o.InjectedBug}
	s.joiner.ID, s.joiner.Addr = s.o.ID, s.o.Peers[s.o.ID]
	for id := range s.o.Peers {
		if id != s.o.ID {
			s.joiner.Peers = append(s.joiner.Peers, id)
		}
	}
	if directory != nil {
		s.joiner.DirectoryState, s.joiner.Fresh, s.joiner.SoleVoter = directory.State(), directory.Empty(), directory.SoleVoter()
	} else {
		s.joiner.ProcessID, s.joiner.RejoinReason = s.processID, corruption.Error()
		s.setPhase(PhaseRejoining, corruption.Error())
	}
	return corruption, nil
}

// participate makes the replica participate. If its directory is empty and peers are given, it bootstraps a new cluster of them.
func (s *Store) participate(peers map[string]string) error {
	s.mu.Lock()
	directory := s.directory
	s.mu.Unlock()
	r := &participation{directory: directory}
	r.voter.Store(directory.IsVoter())
	raftLayer := s.mux.openRaftLayer(directory.State().ClusterName)
	r.transport = raft.NewNetworkTransport(raftLayer, 3, writeTimeout, s.o.Log)
	r.voteFilter = newVoteFilter(r.transport, r.voter.Load)
	empty := directory.Empty() && directory.State().JoinIndex == 0
	var err error
	if r.raft, err = raft.NewRaft(s.o.raftConfig(), s.fsm, directory, directory, directory.Snapshots, r.voteFilter); err != nil {
		r.voteFilter.Close()
		raftLayer.Close()
		return err
	}
	directory.SetRaftRunning()
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

// Start bootstraps a new cluster of these replicas. It does nothing on a replica that already has raft state.
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

// Addr returns the address on which the replica listens.
func (s *Store) Addr() string { return s.mux.Addr().String() }

// Ready waits until the replica participates and knows a leader.
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

// Get reads a key from this replica's state, which may lag the leader's.
func (s *Store) Get(key string) ([]byte, bool) {
	s.fsm.mu.Lock()
	defer s.fsm.mu.Unlock()
	v, ok := s.fsm.state.Values[key]
	return v, ok
}

// Changed returns a channel that is closed when the next entry is applied on this replica.
func (s *Store) Changed() <-chan struct{} {
	s.fsm.mu.Lock()
	defer s.fsm.mu.Unlock()
	return s.fsm.changed
}

// Set writes a key.
func (s *Store) Set(key string, value []byte) error {
	_, err := s.write(context.Background(), state.Command{Op: state.OpSet, Key: key, Value: value})
	return err
}

// Delete removes a key.
func (s *Store) Delete(key string) error {
	_, err := s.write(context.Background(), state.Command{Op: state.OpDelete, Key: key})
	return err
}

// Begin records that an effect begins; it returns false if the effect is recorded already. Once ctx ends, it does not wait for
// another replica any longer; the effect may be recorded later.
func (s *Store) Begin(ctx context.Context, id string) (bool, error) {
	return s.write(ctx, state.Command{Op: state.OpBeginEffect, Key: id})
}

// Snapshot writes a snapshot of the state to the replica's data directory.
func (s *Store) Snapshot() error {
	r := s.active.Load()
	if r == nil {
		return ErrNoQuorum
	}
	return r.raft.Snapshot().Error()
}

// writeResponse is the leader's response to a forwarded write.
type writeResponse struct {
	Fresh   bool   `json:"fresh"`
	Refused string `json:"refused,omitempty"` // the command was committed, and refused when applied
	Error   string `json:"error,omitempty"`   // not confirmed
}

// write passes a command to the leader, on this replica or another. It is sent only once: a command without a response may have
// been committed.
func (s *Store) write(ctx context.Context, c state.Command) (bool, error) {
	var r state.Result
	var err error
	if _, isLeader := s.Leadership(); isLeader {
		r, err = s.apply(c)
	} else {
		r, err = s.forward(ctx, c)
	}
	if err == nil && r.Error != "" {
		err = errors.New(r.Error)
	}
	return err == nil && r.WasAbsent, err
}

// forward passes a command to the leader on another replica, and waits for its response until ctx ends.
func (s *Store) forward(ctx context.Context, c state.Command) (r state.Result, err error) {
	active := s.active.Load()
	if active == nil {
		return r, ErrNoQuorum
	}
	address, _ := active.raft.LeaderWithID()
	if address == "" {
		return r, ErrNoQuorum
	}
	conn, err := s.mux.dial(ctx, string(address), purposeWrites, writeTimeout)
	if err != nil {
		return r, fmt.Errorf("%w: %v", ErrNoQuorum, err)
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
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

// Propose appends a command to the log of this replica, which has to be the leader; the returned function waits for the result.
// After an error the command may or may not be applied. Commands proposed by one goroutine are applied in that order.
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

// ConfirmLeadership appends a barrier entry; the returned function waits until a majority has it, which proves that this replica
// was the leader and had all committed entries at some time after the call. raft's own VerifyLeader does not prove that: it also
// counts responses to heartbeats sent before the call, so a replica that was paused and then reads such a response would still
// consider itself the leader.
func (s *Store) ConfirmLeadership() func() error {
	r := s.active.Load()
	if r == nil {
		return func() error { return ErrNoQuorum }
	}
	return r.raft.Barrier(writeTimeout).Error
}

// Leadership returns the current term and whether this replica believes that it is the leader in it.
func (s *Store) Leadership() (term uint64, isLeader bool) {
	r := s.active.Load()
	if r == nil {
		return 0, false
	}
	term = r.raft.CurrentTerm()
	isLeader = r.raft.State() == raft.Leader
	return term, isLeader && term == r.raft.CurrentTerm()
}

// Leader returns the id of the leader as this replica knows it; "": none.
func (s *Store) Leader() string {
	r := s.active.Load()
	if r == nil {
		return ""
	}
	_, id := r.raft.LeaderWithID()
	return string(id)
}

// View calls read with the state, which must not be modified or retained. The state includes at least all entries up to index.
func (s *Store) View(read func(st *state.State, index uint64)) {
	index := uint64(0)
	if r := s.active.Load(); r != nil {
		index = r.raft.AppliedIndex()
	}
	s.fsm.mu.Lock()
	defer s.fsm.mu.Unlock()
	read(s.fsm.state, index)
}

// CorruptMemory flips a bit of an effect in this replica's memory, for the lab and tests, and returns the effect's id; "": there
// was none.
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

// ServeSessions passes session connections of order servers to serve, which closes them.
func (s *Store) ServeSessions(serve func(net.Conn)) {
	s.mux.mu.Lock()
	defer s.mux.mu.Unlock()
	s.mux.sessions = serve
}

// ServeWatches passes watch connections of relays to serve, which closes them.
func (s *Store) ServeWatches(serve func(net.Conn)) {
	s.mux.mu.Lock()
	defer s.mux.mu.Unlock()
	s.mux.watches = serve
}

// serveWrite applies one write forwarded by another replica.
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

// ErrShutdownTimeout reports that raft did not shut down in time.
var ErrShutdownTimeout = errors.New("store: raft did not shut down in time")

// waitFor waits up to d for shutDown to return. Raft's pipelined replication can block forever on sending to a peer whose
// connection hangs with a full pipeline, and raft's shutdown waits for it. A draining process must not wait that long.
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

// TransferLeadership hands the leadership over if this replica has it and there are others, so that writes need not wait for
// an election when the process ends.
func (s *Store) TransferLeadership() error {
	r := s.active.Load()
	if r == nil || len(s.o.Peers) < 2 || r.raft.State() != raft.Leader {
		return nil
	}
	return r.raft.LeadershipTransfer().Error()
}

// Close stops the replica. A leader first transfers its leadership, so that writes need not wait for an election. If raft does not
// shut down, its log stays open, since raft may still write to it; the process should exit.
func (s *Store) Close() error {
	s.cancel()
	err := s.stopParticipating(true)
	s.mux.Close()
	if errors.Is(err, ErrShutdownTimeout) {
		return err
	}
	s.mu.Lock()
	directory := s.directory
	s.mu.Unlock()
	if directory != nil {
		err = errors.Join(err, directory.Close())
	}
	return err
}

// stopParticipating ends the replica's participation. With transferLeadership, a leader first hands over its leadership.
func (s *Store) stopParticipating(transferLeadership bool) error {
	r := s.active.Swap(nil)
	if r == nil {
		return nil
	}
	if transferLeadership && r.raft.State() == raft.Leader {
		r.raft.LeadershipTransfer().Error() // if no replica can take over, an election follows
	}
	err := waitFor(shutdownTimeout, r.raft.Shutdown().Error)
	r.voteFilter.Close()
	return err
}
