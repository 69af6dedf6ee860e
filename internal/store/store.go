// Package store keeps configuration, inventory, drain marks and the ids of effects begun in a small replicated
// key-value store: hashicorp/raft over one port a node, its log in a raft-boltdb file. Any node takes reads and
// writes; a write goes to the leader and returns once a majority has it.
package store

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/hashicorp/raft"
	boltdb "github.com/hashicorp/raft-boltdb/v2"

	"puffinsaddle/internal/state"
)

// ErrNoQuorum is the error of a write that no majority took. It may still be carried out later.
var ErrNoQuorum = errors.New("store: no quorum: the write was not confirmed by a majority of the nodes")

const (
	writeFor      = 2 * time.Second
	mostWrite     = 1 << 20 // bytes of one write
	keepSnapshots = 2
	closeFor      = time.Second
	leaderFor     = 500 * time.Millisecond // a leader that is not heard for so long, up to twice that, is replaced
	snapshotAfter = 8192                   // log entries
)

// Options set up one node.
type Options struct {
	ID     string
	Listen string
	Dir    string
	Peers  map[string]string // id and address of each node, this one included; used at the very first start
	Via    map[string]string // addresses of peers that this node reaches elsewhere, and where
	Log    io.Writer

	Watch func(index, term uint64, c state.Command, r state.Result) // called for each entry that is applied, in order; must not wait
	Plant string                                                    // a planted bug, for the laboratory; "": none
}

// Store is one node.
type Store struct {
	raft    *raft.Raft
	machine *machine
	bolt    *boltdb.BoltStore
	layer   *layer
	trans   *raft.NetworkTransport
}

// Open starts a node from what its folder holds. Start begins a new cluster.
func Open(o Options) (*Store, error) {
	if o.Log == nil {
		o.Log = io.Discard
	}
	if err := os.MkdirAll(o.Dir, 0o755); err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	ln, err := net.Listen("tcp", o.Listen)
	if err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	s := &Store{machine: newMachine()}
	s.machine.watch, s.machine.plant, s.machine.state.Plant = o.Watch, o.Plant, o.Plant
	s.layer = newLayer(ln, s.serveWrite, o.Via)
	s.trans = raft.NewNetworkTransport(s.layer, 3, writeFor, o.Log)
	if s.bolt, err = boltdb.NewBoltStore(filepath.Join(o.Dir, "raft.db")); err != nil {
		ln.Close()
		return nil, fmt.Errorf("store: %w", err)
	}
	snapshots, err := raft.NewFileSnapshotStore(o.Dir, keepSnapshots, o.Log)
	if err == nil {
		conf := raft.DefaultConfig()
		conf.LocalID, conf.LogOutput, conf.SnapshotThreshold = raft.ServerID(o.ID), o.Log, snapshotAfter
		conf.LogLevel = "WARN"
		// A leader's end must be found, and another one chosen, before those who hold duties have to give them up.
		conf.HeartbeatTimeout, conf.ElectionTimeout, conf.LeaderLeaseTimeout = leaderFor, leaderFor, leaderFor/2
		s.raft, err = raft.NewRaft(conf, s.machine, s.bolt, s.bolt, snapshots, s.trans)
	}
	if err != nil {
		ln.Close()
		s.bolt.Close()
		return nil, fmt.Errorf("store: %w", err)
	}
	go s.layer.run()
	if len(o.Peers) > 0 {
		if err := s.Start(o.Peers); err != nil {
			s.Close()
			return nil, err
		}
	}
	return s, nil
}

// Start begins a new cluster of these nodes; on a node that has a past it does nothing.
func (s *Store) Start(peers map[string]string) error {
	var c raft.Configuration
	for id, at := range peers {
		c.Servers = append(c.Servers, raft.Server{ID: raft.ServerID(id), Address: raft.ServerAddress(at)})
	}
	if err := s.raft.BootstrapCluster(c).Error(); err != nil && !errors.Is(err, raft.ErrCantBootstrap) {
		return fmt.Errorf("store: %w", err)
	}
	return nil
}

// Addr is where the node listens.
func (s *Store) Addr() string { return s.layer.Addr().String() }

// Ready waits until the node knows a leader.
func (s *Store) Ready(ctx context.Context) error {
	seen := make(chan raft.Observation, 8)
	o := raft.NewObserver(seen, false, func(o *raft.Observation) bool { _, ok := o.Data.(raft.LeaderObservation); return ok })
	s.raft.RegisterObserver(o)
	defer s.raft.DeregisterObserver(o)
	for {
		if at, _ := s.raft.LeaderWithID(); at != "" {
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
	_, err := s.write(state.Command{Op: state.Set, Key: key, Value: value})
	return err
}

// Delete removes a key.
func (s *Store) Delete(key string) error {
	_, err := s.write(state.Command{Op: state.Delete, Key: key})
	return err
}

// Begin records that an effect begins; false: it is recorded already.
func (s *Store) Begin(id string) (bool, error) {
	return s.write(state.Command{Op: state.Begin, Key: id})
}

// Snapshot writes the state to the node's folder now.
func (s *Store) Snapshot() error { return s.raft.Snapshot().Error() }

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
	if s.raft.State() == raft.Leader {
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
	at, _ := s.raft.LeaderWithID()
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

// Propose hands a command to the log of this node, which has to lead; the function it returns waits for what the
// command came to. An error leaves open whether it will be carried out. Commands are carried out in the order in which
// one goroutine proposes them.
func (s *Store) Propose(c state.Command) func() (state.Result, error) {
	b, err := json.Marshal(c)
	if err != nil {
		return func() (state.Result, error) { return state.Result{}, err }
	}
	f := s.raft.Apply(b, writeFor)
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
	f := s.raft.Barrier(writeFor)
	return f.Error
}

// Office tells whether this node believes that it leads, and in which term.
func (s *Store) Office() (term uint64, leads bool) {
	term = s.raft.CurrentTerm()
	leads = s.raft.State() == raft.Leader
	return term, leads && term == s.raft.CurrentTerm()
}

// Leader is the id of the node that leads, for all that this one knows; "": none.
func (s *Store) Leader() string {
	_, id := s.raft.LeaderWithID()
	return string(id)
}

// View lets look at the state, which must not be changed or kept; index is a position of the log up to which it holds
// at least.
func (s *Store) View(look func(st *state.State, index uint64)) {
	index := s.raft.AppliedIndex()
	s.machine.mu.Lock()
	defer s.machine.mu.Unlock()
	look(s.machine.state, index)
}

// ServeSessions hands connections of order servers to serve, which closes them.
func (s *Store) ServeSessions(serve func(net.Conn)) {
	s.layer.mu.Lock()
	defer s.layer.mu.Unlock()
	s.layer.sessions = serve
}

// serveWrite takes one write from another node.
func (s *Store) serveWrite(conn net.Conn) {
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
	if s.raft.State() == raft.Leader {
		s.raft.LeadershipTransfer().Error() // where nobody can take it, an election will tell
	}
	err := within(closeFor, s.raft.Shutdown().Error)
	s.trans.Close()
	s.layer.Close()
	if errors.Is(err, ErrStuck) {
		return err
	}
	return errors.Join(err, s.bolt.Close())
}
