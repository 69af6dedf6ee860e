// Package store is a small replicated key-value store that holds configuration, inventory, drain marks and the ids of effects
// begun. It runs hashicorp/raft over one port per node and keeps the log in a bolt file. Any node accepts reads and writes; a
// write is forwarded to the leader and returns once a majority has it.
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

// ErrNoQuorum reports a write that was not confirmed by a majority. It may still be applied later.
var ErrNoQuorum = errors.New("store: no quorum: the write was not confirmed by a majority of the nodes")

// ErrDiffer refuses effects while the replicas' states differ and no state has a majority.
var ErrDiffer = errors.New("store: replicas differ and no state has a majority: no effect is begun until operators resolve it")

const (
	writeFor      = 2 * time.Second // for a write to be committed, and for a dial
	mostWrite     = 1 << 20         // bytes of one write
	closeFor      = time.Second     // for raft to shut down
	electionEach  = 500.0           // ms
	snapshotAfter = 8192            // log entries
)

// Options configure one node.
type Options struct {
	ID               string
	Listen           string
	Listener         net.Listener // in place of Listen; nil: none
	Dir              string
	Peers            map[string]string // addresses by node id, this one included; empty: Start sets the members, and no claims are sent
	AddressOverrides map[string]string // by peer address: the address at which this node reaches it, if it is another one
	Strict           bool              // more peers have to respond before this node participates: admit.Joiner
	Log              io.Writer         // raft's log output
	Events           zerolog.Logger
	Steady           *clock.Clock // nil: the system's steady clock

	ElectionTimeoutMS float64                 // a leader without contact for one to two of these is replaced; 0: 500
	CompareIntervalMS float64                 // between two comparisons of the replicas' state; 0: 1000
	OnPhaseChange     func(phase, why string) // optional; called at each change of the node's phase; must not block

	OnApply     func(index, term uint64, c state.Command, r state.Result) // optional; called for each applied entry, in log order; must not block
	InjectedBug string                                                    // a bug injected by the lab; "": none
}

// raft returns the configuration of the raft library.
func (o Options) raft() *raft.Config {
	conf := raft.DefaultConfig()
	conf.LocalID, conf.LogOutput, conf.SnapshotThreshold = raft.ServerID(o.ID), o.Log, snapshotAfter
	conf.LogLevel = "WARN"
	// A failed leader must be detected and replaced before duty holders have to give up their leases.
	election := clock.Duration(cmp.Or(o.ElectionTimeoutMS, electionEach))
	conf.HeartbeatTimeout, conf.ElectionTimeout, conf.LeaderLeaseTimeout = election, election, election/2
	return conf
}

// Store is one node of the replicated store.
type Store struct {
	o       Options
	proc    string // random, unique to this process
	machine *machine
	layer   *layer
	ctx     context.Context
	cancel  context.CancelFunc
	keeping sync.Mutex // serializes saves of the known peers

	now    atomic.Pointer[running] // nil while this node does not participate
	kick   chan struct{}           // signals a change that decisions depend on
	conns  atomic.Uint64
	claims atomic.Int64 // claim connections being served
	halted atomic.Bool  // replicas differ and no state has a majority

	mu        sync.Mutex
	folder    *disk.Folder // nil: its contents are corrupt
	seeker    admit.Seeker
	witness   *admit.Witness
	learners  map[string]*admit.Learner
	promote   map[string]bool // learners that have caught up
	phase     string
	why       string
	began     float64 // ms, when it began to send claims
	compareAt float64 // ms, when the next partition of the state is compared
	part      uint64
	dirty     bool          // the known peers changed since they were last saved
	news      chan struct{} // closed and replaced at each change of the phase
}

// running holds what a node has only while it participates.
type running struct {
	raft   *raft.Raft
	trans  *raft.NetworkTransport
	gate   *gate
	folder *disk.Folder
	votes  atomic.Bool
}

// Open starts a node from its data directory. The node participates once its peers accept the directory. Without peers in the
// options, Start bootstraps the cluster.
func Open(o Options) (*Store, error) {
	if o.Log == nil {
		o.Log = io.Discard
	}
	if o.Steady == nil {
		o.Steady = clock.Steady()
	}
	if o.CompareIntervalMS == 0 {
		o.CompareIntervalMS = compareEach
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
		promote: map[string]bool{}, phase: PhaseVerifying, news: make(chan struct{})}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.machine.watch, s.machine.plant, s.machine.state.Plant = o.OnApply, o.InjectedBug, o.InjectedBug
	s.layer = newLayer(ln, map[byte]func(net.Conn){forWrites: s.serveWrite, forClaims: s.serveClaims, forStatus: s.serveStatus, forBackup: s.serveBackup}, o.AddressOverrides)
	damage, err := s.open(admit.Mark{})
	if err == nil && damage != nil && len(o.Peers) < 2 {
		err = damage // no peer to rebuild it from
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

// open opens the data directory. Corruption is returned apart from err: the node requests to rejoin then.
func (s *Store) open(joined admit.Mark) (damage error, err error) {
	f, err := disk.OpenFolder(s.o.Dir, s.proc, s.o.Log, disk.Options{Fail: s.failed})
	if bad := (*disk.Damage)(nil); errors.As(err, &bad) {
		damage, err = bad, nil
	}
	if err != nil {
		return nil, err
	}
	var marks map[string]admit.Mark
	if f != nil {
		if joined.Joined > 0 {
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
		s.witness = admit.NewWitness(s.o.ID, marks)
	} else {
		s.dirty = true // the known peers have to be saved in the new directory
	}
	s.seeker = admit.Seeker{Strict: s.o.Strict, Plant: s.o.InjectedBug}
	s.seeker.ID, s.seeker.Addr = s.o.ID, s.o.Peers[s.o.ID]
	for id := range s.o.Peers {
		if id != s.o.ID {
			s.seeker.Others = append(s.seeker.Others, id)
		}
	}
	if f != nil {
		s.seeker.Mark, s.seeker.Fresh, s.seeker.Sole = f.Mark(), f.Fresh(), f.Sole()
	} else {
		s.seeker.Proc, s.seeker.Rejoin = s.proc, damage.Error()
		s.tell(PhaseRejoining, damage.Error())
	}
	return damage, nil
}

// start makes the node participate. If its directory is empty and peers are given, it bootstraps a new cluster of them.
func (s *Store) start(peers map[string]string) error {
	s.mu.Lock()
	f := s.folder
	s.mu.Unlock()
	r := &running{folder: f}
	r.votes.Store(f.Votes())
	lane := s.layer.open(f.Mark().Name)
	r.trans = raft.NewNetworkTransport(lane, 3, writeFor, s.o.Log)
	r.gate = newGate(r.trans, r.votes.Load)
	fresh := f.Fresh() && f.Mark().Joined == 0
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
	s.seeker.Fresh, s.seeker.Runs = false, true
	s.seeker.Forget()
	s.tell(PhaseRunning, "")
	return nil
}

// Start bootstraps a new cluster of these nodes. It does nothing on a node that already has raft state.
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

// Addr returns the address on which the node listens.
func (s *Store) Addr() string { return s.layer.Addr().String() }

// Ready waits until the node participates and knows a leader.
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

// Get reads a key from this node's state, which may lag the leader's.
func (s *Store) Get(key string) ([]byte, bool) {
	s.machine.mu.Lock()
	defer s.machine.mu.Unlock()
	v, ok := s.machine.state.Values[key]
	return v, ok
}

// Changed returns a channel that is closed when the next entry is applied on this node.
func (s *Store) Changed() <-chan struct{} {
	s.machine.mu.Lock()
	defer s.machine.mu.Unlock()
	return s.machine.changed
}

// Set writes a key.
func (s *Store) Set(key string, value []byte) error {
	_, err := s.write(state.Command{Op: state.Set, Key: key, Value: value})
	return err
}

// Delete removes a key.
func (s *Store) Delete(key string) error {
	_, err := s.write(state.Command{Op: state.Delete, Key: key})
	return err
}

// Begin records that an effect begins; it returns false if the effect is recorded already.
func (s *Store) Begin(id string) (bool, error) {
	return s.write(state.Command{Op: state.Begin, Key: id})
}

// Snapshot writes a snapshot of the state to the node's data directory.
func (s *Store) Snapshot() error {
	r := s.now.Load()
	if r == nil {
		return ErrNoQuorum
	}
	return r.raft.Snapshot().Error()
}

// answer is the leader's response to a forwarded write.
type answer struct {
	Fresh   bool   `json:"fresh"`
	Refused string `json:"refused,omitempty"` // the command was committed, and refused when applied
	Error   string `json:"error,omitempty"`   // not confirmed
}

// write passes a command to the leader, on this node or another. It is sent only once: a command without a response may have
// been committed.
func (s *Store) write(c state.Command) (bool, error) {
	var r state.Result
	var err error
	if _, leads := s.Leadership(); leads {
		r, err = s.apply(c)
	} else {
		r, err = s.forward(c)
	}
	if err == nil && r.Error != "" {
		err = errors.New(r.Error)
	}
	return err == nil && r.Fresh, err
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
	return state.Result{Fresh: a.Fresh, Error: a.Refused}, nil
}

func (s *Store) apply(c state.Command) (state.Result, error) { return s.Propose(c)() }

// Propose appends a command to the log of this node, which has to be the leader; the returned function waits for the result.
// After an error the command may or may not be applied. Commands proposed by one goroutine are applied in that order.
func (s *Store) Propose(c state.Command) func() (state.Result, error) {
	b, err := json.Marshal(c)
	if err == nil && c.Op == state.Begin && s.halted.Load() {
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

// ConfirmLeadership appends a barrier entry; the returned function waits until a majority has it, which proves that this node was the
// leader and had all committed entries at some time after the call. raft's own VerifyLeader does not prove that: it also counts
// responses to heartbeats sent before the call, so a node that was paused for a while and then reads one would still consider
// itself the leader.
func (s *Store) ConfirmLeadership() func() error {
	r := s.now.Load()
	if r == nil {
		return func() error { return ErrNoQuorum }
	}
	return r.raft.Barrier(writeFor).Error
}

// Leadership returns the current term and whether this node believes that it is the leader in it.
func (s *Store) Leadership() (term uint64, leads bool) {
	r := s.now.Load()
	if r == nil {
		return 0, false
	}
	term = r.raft.CurrentTerm()
	leads = r.raft.State() == raft.Leader
	return term, leads && term == r.raft.CurrentTerm()
}

// Leader returns the id of the leader as this node knows it; "": none.
func (s *Store) Leader() string {
	r := s.now.Load()
	if r == nil {
		return ""
	}
	_, id := r.raft.LeaderWithID()
	return string(id)
}

// View calls look with the state, which must not be modified or retained. The state includes at least all entries up to index.
func (s *Store) View(look func(st *state.State, index uint64)) {
	index := uint64(0)
	if r := s.now.Load(); r != nil {
		index = r.raft.AppliedIndex()
	}
	s.machine.mu.Lock()
	defer s.machine.mu.Unlock()
	look(s.machine.state, index)
}

// CorruptMemory flips a bit of an effect in this replica's memory, for the lab and tests, and returns the effect's id; "": there was
// none.
func (s *Store) CorruptMemory(pick uint64) string {
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

// ServeSessions passes session connections of order servers to serve, which closes them.
func (s *Store) ServeSessions(serve func(net.Conn)) {
	s.layer.mu.Lock()
	defer s.layer.mu.Unlock()
	s.layer.sessions = serve
}

// ServeWatches passes watch connections of relays to serve, which closes them.
func (s *Store) ServeWatches(serve func(net.Conn)) {
	s.layer.mu.Lock()
	defer s.layer.mu.Unlock()
	s.layer.watches = serve
}

// serveWrite applies one write forwarded by another node.
func (s *Store) serveWrite(conn net.Conn) {
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(2 * writeFor))
	var c state.Command
	if err := json.NewDecoder(io.LimitReader(conn, mostWrite)).Decode(&c); err != nil {
		return
	}
	r, err := s.apply(c)
	a := answer{Fresh: r.Fresh, Refused: r.Error}
	if err != nil {
		a.Error = err.Error()
	}
	json.NewEncoder(conn).Encode(a)
}

// ErrStuck reports that raft did not shut down in time.
var ErrStuck = errors.New("store: raft did not shut down in time")

// within waits up to d for end to return. Guards against raft's pipelined replication: it can block forever on sending to a
// peer whose connection hangs with a full pipeline, and raft's shutdown waits for it. A draining process must not.
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

// Close stops the node. A leader first transfers its leadership, so that writes need not wait for an election. If raft does not
// shut down, its log stays open, since raft may still write to it; the process should exit.
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

// stop ends the node's participation; hand transfers leadership first.
func (s *Store) stop(hand bool) error {
	r := s.now.Swap(nil)
	if r == nil {
		return nil
	}
	if hand && r.raft.State() == raft.Leader {
		r.raft.LeadershipTransfer().Error() // if no node can take over, an election follows
	}
	err := within(closeFor, r.raft.Shutdown().Error)
	r.gate.Close()
	return err
}
