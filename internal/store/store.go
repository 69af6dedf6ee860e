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

// ErrDiffer refuses effects while copies differ and no majority has one state.
var ErrDiffer = errors.New("store: copies differ and no majority has one state: no effect is begun until operators have decided")

const (
	writeFor      = 2 * time.Second
	mostWrite     = 1 << 20 // bytes of one write
	closeFor      = time.Second
	electionEach  = 500.0 // ms
	snapshotAfter = 8192  // log entries
)

// Options set up one node.
type Options struct {
	ID       string
	Listen   string
	Listener net.Listener // in place of Listen; nil: none
	Dir      string
	Peers    map[string]string // id and address of each node, this one included; none: Start has to tell them, and nobody is asked
	Via      map[string]string // addresses of peers that this node reaches elsewhere, and where
	Strict   bool              // more of the others have to be heard before this node takes part: admit.Joiner
	Log      io.Writer         // raft's
	Events   zerolog.Logger
	Steady   *clock.Clock // nil: the system's

	ElectionMs float64                 // a leader that is not heard for so long, up to twice that, is replaced; 0: 500
	CompareMs  float64                 // between two parts of the state that copies compare; 0: 1000
	Told       func(phase, why string) // called at each change of the node's phase; must not wait; nil: nobody asks

	Watch func(index, term uint64, c state.Command, r state.Result) // called for each entry that is applied, in order; must not wait
	Plant string                                                    // a planted bug, for the laboratory; "": none
}

// raft is the library's configuration.
func (o Options) raft() *raft.Config {
	conf := raft.DefaultConfig()
	conf.LocalID, conf.LogOutput, conf.SnapshotThreshold = raft.ServerID(o.ID), o.Log, snapshotAfter
	conf.LogLevel = "WARN"
	// A leader's end must be found, and another one chosen, before those who hold duties have to give them up.
	election := clock.Duration(cmp.Or(o.ElectionMs, electionEach))
	conf.HeartbeatTimeout, conf.ElectionTimeout, conf.LeaderLeaseTimeout = election, election, election/2
	return conf
}

// Store is one node.
type Store struct {
	o       Options
	proc    string // drawn at the start of the process
	machine *machine
	layer   *layer
	ctx     context.Context
	cancel  context.CancelFunc
	keeping sync.Mutex // what is remembered of others goes to the disk one writing at a time

	now    atomic.Pointer[running] // nil: this node takes no part
	kick   chan struct{}           // something changed that a decision may rest on
	conns  atomic.Uint64
	claims atomic.Int64 // connections of claims that are served
	halted atomic.Bool  // copies differ without a majority

	mu        sync.Mutex
	folder    *disk.Folder // nil: what stands there is damaged
	seeker    admit.Joiner
	witness   *admit.Verifier
	learners  map[string]*admit.Learner
	promote   map[string]bool // learners that have caught up
	phase     string
	why       string
	began     float64 // when it began to seek
	compareAt float64 // the next part of the state is compared then
	part      uint64
	dirty     bool          // what is remembered of others is newer than what the folder has
	news      chan struct{} // closed at each change of the claim, or of whether the node takes part
}

// running is the part of a node that takes part.
type running struct {
	raft   *raft.Raft
	trans  *raft.NetworkTransport
	gate   *gate
	folder *disk.Folder
	votes  atomic.Bool
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
	if o.CompareMs == 0 {
		o.CompareMs = compareEach
	}
	if len(o.Peers) > 0 && o.Peers[o.ID] == "" {
		return nil, fmt.Errorf("store: %s is not among its own peers", o.ID)
	}
	proc, err := disk.Draw()
	if err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	ln := o.Listener
	if ln == nil {
		if ln, err = net.Listen("tcp", o.Listen); err != nil {
			return nil, fmt.Errorf("store: %w", err)
		}
	}
	s := &Store{o: o, proc: proc, machine: newMachine(), kick: make(chan struct{}, 1), learners: map[string]*admit.Learner{},
		promote: map[string]bool{}, phase: PhaseSeeks, news: make(chan struct{})}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.machine.watch, s.machine.plant, s.machine.state.InjectedBug = o.Watch, o.Plant, o.Plant
	s.layer = newLayer(ln, map[byte]func(net.Conn){forWrites: s.serveWrite, forClaims: s.serveClaims, forStatus: s.serveStatus, forBackup: s.serveBackup}, o.Via)
	damage, err := s.open(admit.DirectoryState{})
	if err == nil && damage != nil && len(o.Peers) < 2 {
		err = damage // nobody to build it anew from
	}
	if err == nil && len(o.Peers) < 2 {
		err = s.start(o.Peers)
	}
	if err != nil {
		s.cancel()
		s.stop(false)
		ln.Close()
		if s.folder != nil {
			s.folder.Close()
		}
		return nil, fmt.Errorf("store: %w", err)
	}
	go s.layer.run()
	if len(o.Peers) > 1 {
		s.began = o.Steady.Now()
		s.seek()
	}
	return s, nil
}

// open opens the folder. A folder that is damaged is no error: the node asks to be joined anew.
func (s *Store) open(joined admit.DirectoryState) (damage error, err error) {
	f, err := disk.OpenFolder(s.o.Dir, s.proc, s.o.Log, disk.Options{Fail: s.failed})
	if bad := (*disk.Damage)(nil); errors.As(err, &bad) {
		damage, err = bad, nil
	}
	if err != nil {
		return nil, err
	}
	var marks map[string]admit.DirectoryState
	if f != nil {
		if joined.JoinIndex > 0 {
			err = f.Join(joined)
		}
		if err == nil {
			marks, err = f.Marks()
		}
		if err != nil {
			f.Close()
			return nil, err
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.folder = f
	if s.witness == nil || len(marks) > 0 {
		s.witness = admit.NewVerifier(s.o.ID, marks)
	} else {
		s.dirty = true // what was remembered goes into the new folder
	}
	s.seeker = admit.Joiner{Strict: s.o.Strict, InjectedBug: s.o.Plant}
	s.seeker.ID, s.seeker.Addr = s.o.ID, s.o.Peers[s.o.ID]
	for id := range s.o.Peers {
		if id != s.o.ID {
			s.seeker.Peers = append(s.seeker.Peers, id)
		}
	}
	if f != nil {
		s.seeker.DirectoryState, s.seeker.Fresh, s.seeker.SoleVoter = f.Mark(), f.Fresh(), f.Sole()
	} else {
		s.seeker.ProcessID, s.seeker.RejoinReason = s.proc, damage.Error()
		s.tell(PhaseAsks, damage.Error())
	}
	return damage, nil
}

// start lets the node take part, in a new set of these peers where its folder is fresh and any are named.
func (s *Store) start(peers map[string]string) error {
	s.mu.Lock()
	f := s.folder
	s.mu.Unlock()
	r := &running{folder: f}
	r.votes.Store(f.Votes())
	lane := s.layer.open(f.Mark().ClusterName)
	r.trans = raft.NewNetworkTransport(lane, 3, writeFor, s.o.Log)
	r.gate = newGate(r.trans, r.votes.Load)
	fresh := f.Fresh() && f.Mark().JoinIndex == 0
	var err error
	if r.raft, err = raft.NewRaft(s.o.raft(), s.machine, f, f, f.Snap, r.gate); err != nil {
		r.gate.Close()
		lane.Close()
		return err
	}
	f.Run()
	s.now.Store(r)
	if fresh && len(peers) > 0 {
		if err := s.Start(peers); err != nil {
			return err
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seeker.Fresh, s.seeker.Running = false, true
	s.seeker.ClearResponses()
	s.tell(PhaseRuns, "")
	return nil
}

// Start begins a new set of these nodes; on a node that has a past it does nothing.
func (s *Store) Start(peers map[string]string) error {
	r := s.now.Load()
	if r == nil {
		return ErrNoQuorum
	}
	var c raft.Configuration
	for id, at := range peers {
		c.Servers = append(c.Servers, raft.Server{ID: raft.ServerID(id), Address: raft.ServerAddress(at)})
	}
	if err := r.raft.BootstrapCluster(c).Error(); err != nil && !errors.Is(err, raft.ErrCantBootstrap) {
		return fmt.Errorf("store: %w", err)
	}
	return nil
}

// Addr is where the node listens.
func (s *Store) Addr() string { return s.layer.Addr().String() }

// Ready waits until the node takes part and knows a leader.
func (s *Store) Ready(ctx context.Context) error {
	for {
		s.mu.Lock()
		news := s.news
		s.mu.Unlock()
		if r := s.now.Load(); r != nil {
			return r.ready(ctx)
		}
		select {
		case <-news:
		case <-ctx.Done():
			return ErrNoQuorum
		}
	}
}

func (r *running) ready(ctx context.Context) error {
	seen := make(chan raft.Observation, 8)
	o := raft.NewObserver(seen, false, func(o *raft.Observation) bool { _, ok := o.Data.(raft.LeaderObservation); return ok })
	r.raft.RegisterObserver(o)
	defer r.raft.DeregisterObserver(o)
	for {
		if at, _ := r.raft.LeaderWithID(); at != "" {
			return nil
		}
		select {
		case <-seen:
		case <-ctx.Done():
			return ErrNoQuorum
		}
	}
}

// Get reads a key as this node has it.
func (s *Store) Get(key string) ([]byte, bool) {
	s.machine.mu.Lock()
	defer s.machine.mu.Unlock()
	v, ok := s.machine.state.Values[key]
	return v, ok
}

// Changed is closed at the next change that reaches this node.
func (s *Store) Changed() <-chan struct{} {
	s.machine.mu.Lock()
	defer s.machine.mu.Unlock()
	return s.machine.changed
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
	r := s.now.Load()
	if r == nil {
		return ErrNoQuorum
	}
	return r.raft.Snapshot().Error()
}

// answer is the leader's word on a write.
type answer struct {
	Fresh   bool   `json:"fresh"`
	Refused string `json:"refused,omitempty"` // agreed on, and then refused
	Error   string `json:"error,omitempty"`   // not confirmed
}

// write hands a command to the leader, here or elsewhere. It is sent once: one that gets no answer may have
// been taken.
func (s *Store) write(c state.Command) (bool, error) {
	var r state.Result
	var err error
	if _, leads := s.Office(); leads {
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
	now := s.now.Load()
	if now == nil {
		return r, ErrNoQuorum
	}
	at, _ := now.raft.LeaderWithID()
	if at == "" {
		return r, ErrNoQuorum
	}
	conn, err := s.layer.dial(string(at), forWrites, writeFor)
	if err != nil {
		return r, fmt.Errorf("%w: %v", ErrNoQuorum, err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(2 * writeFor))
	var a answer
	if err = json.NewEncoder(conn).Encode(c); err == nil {
		err = json.NewDecoder(conn).Decode(&a)
	}
	if err != nil || a.Error != "" {
		return r, fmt.Errorf("%w: %v %s", ErrNoQuorum, err, a.Error)
	}
	return state.Result{WasAbsent: a.Fresh, Error: a.Refused}, nil
}

func (s *Store) apply(c state.Command) (state.Result, error) { return s.Propose(c)() }

// Propose hands a command to the log of this node, which has to lead; the function it returns waits for what the
// command came to. An error leaves open whether it will be carried out. Commands are carried out in the order in which
// one goroutine proposes them.
func (s *Store) Propose(c state.Command) func() (state.Result, error) {
	b, err := json.Marshal(c)
	if err == nil && c.Op == state.OpBeginEffect && s.halted.Load() {
		err = ErrDiffer
	}
	if err != nil {
		return func() (state.Result, error) { return state.Result{}, err }
	}
	r := s.now.Load()
	if r == nil {
		return func() (state.Result, error) { return state.Result{}, ErrNoQuorum }
	}
	f := r.raft.Apply(b, writeFor)
	return func() (state.Result, error) {
		if err := f.Error(); err != nil {
			return state.Result{}, fmt.Errorf("%w: %v", ErrNoQuorum, err)
		}
		r, _ := f.Response().(state.Result)
		return r, nil
	}
}

// Prove writes an entry that changes nothing; the function it returns waits until a majority has it, which proves that
// this node led, and knew all that was agreed on, at some time after the call. raft's own VerifyLeader does not: it also
// counts answers to heartbeats that were sent before the call, and a node that stood still for a while, then reads one,
// would take itself for the leader that it was.
func (s *Store) Prove() func() error {
	r := s.now.Load()
	if r == nil {
		return func() error { return ErrNoQuorum }
	}
	return r.raft.Barrier(writeFor).Error
}

// Office tells whether this node believes that it leads, and in which term.
func (s *Store) Office() (term uint64, leads bool) {
	r := s.now.Load()
	if r == nil {
		return 0, false
	}
	term = r.raft.CurrentTerm()
	leads = r.raft.State() == raft.Leader
	return term, leads && term == r.raft.CurrentTerm()
}

// Leader is the id of the node that leads, for all that this one knows; "": none.
func (s *Store) Leader() string {
	r := s.now.Load()
	if r == nil {
		return ""
	}
	_, id := r.raft.LeaderWithID()
	return string(id)
}

// View lets look at the state, which must not be changed or kept; index is a position of the log up to which it holds
// at least.
func (s *Store) View(look func(st *state.State, index uint64)) {
	index := uint64(0)
	if r := s.now.Load(); r != nil {
		index = r.raft.AppliedIndex()
	}
	s.machine.mu.Lock()
	defer s.machine.mu.Unlock()
	look(s.machine.state, index)
}

// Spoil changes a bit of what this copy holds in memory, for the laboratory and tests; it tells where.
func (s *Store) Spoil(pick uint64) string {
	s.machine.mu.Lock()
	defer s.machine.mu.Unlock()
	all := s.machine.state.Effects.Effects
	if len(all) == 0 {
		return ""
	}
	ids := slices.Sorted(maps.Keys(all))
	id := ids[pick%uint64(len(ids))]
	all[id].Seq ^= 1 << (pick / 7 % 32)
	return id
}

// ServeSessions hands connections of order servers to serve, which closes them.
func (s *Store) ServeSessions(serve func(net.Conn)) {
	s.layer.mu.Lock()
	defer s.layer.mu.Unlock()
	s.layer.sessions = serve
}

// ServeWatches hands connections of relays to serve, which closes them.
func (s *Store) ServeWatches(serve func(net.Conn)) {
	s.layer.mu.Lock()
	defer s.layer.mu.Unlock()
	s.layer.watches = serve
}

// serveWrite takes one write from another node.
func (s *Store) serveWrite(conn net.Conn) {
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(2 * writeFor))
	var c state.Command
	if err := json.NewDecoder(io.LimitReader(conn, mostWrite)).Decode(&c); err != nil {
		return
	}
	r, err := s.apply(c)
	a := answer{Fresh: r.WasAbsent, Refused: r.Error}
	if err != nil {
		a.Error = err.Error()
	}
	json.NewEncoder(conn).Encode(a)
}

// ErrStuck is the error of a node whose raft did not stop in time.
var ErrStuck = errors.New("store: raft does not stop")

// within waits for an end for so long. Guards against raft's pipelined replication, which can wait for good to send to a
// peer whose link hung with all of the pipeline in it, and its end waits for that: a process that drains must not.
func within(d time.Duration, end func() error) error {
	done := make(chan error, 1)
	go func() { done <- end() }()
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case err := <-done:
		return err
	case <-t.C:
		return ErrStuck
	}
}

// Close stops the node. One that leads hands that on first, so that writes wait for no election. Where raft does not
// stop its log stays open, since it may still write to it; the process is to end.
func (s *Store) Close() error {
	s.cancel()
	err := s.stop(true)
	s.layer.Close()
	if errors.Is(err, ErrStuck) {
		return err
	}
	s.mu.Lock()
	f := s.folder
	s.mu.Unlock()
	if f != nil {
		err = errors.Join(err, f.Close())
	}
	return err
}

// stop ends the node's part.
func (s *Store) stop(hand bool) error {
	r := s.now.Swap(nil)
	if r == nil {
		return nil
	}
	if hand && r.raft.State() == raft.Leader {
		r.raft.LeadershipTransfer().Error() // where nobody can take it, an election will tell
	}
	err := within(closeFor, r.raft.Shutdown().Error)
	r.gate.Close()
	return err
}
