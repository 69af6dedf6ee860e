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
)

// ErrNoQuorum is the error of a write that no majority took. It may still be carried out later.
var ErrNoQuorum = errors.New("store: no quorum: the write was not confirmed by a majority of the nodes")

const (
	writeFor      = 2 * time.Second
	keepSnapshots = 2
	snapshotAfter = 8192 // log entries
)

// Options set up one node.
type Options struct {
	ID     string
	Listen string
	Dir    string
	Peers  map[string]string // id and address of each node, this one included; used at the very first start
	Log    io.Writer
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
	s.layer = newLayer(ln, s.serveWrite)
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
	v, ok := s.machine.values[key]
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
	_, err := s.write(command{Op: "set", Key: key, Value: value})
	return err
}

// Delete removes a key.
func (s *Store) Delete(key string) error {
	_, err := s.write(command{Op: "delete", Key: key})
	return err
}

// Begin records that an effect begins; false: it is recorded already.
func (s *Store) Begin(id string) (bool, error) {
	return s.write(command{Op: "begin", Key: effects + id})
}

// Snapshot writes the state to the node's folder now.
func (s *Store) Snapshot() error { return s.raft.Snapshot().Error() }

// answer is the leader's word on a write.
type answer struct {
	Fresh bool   `json:"fresh"`
	Error string `json:"error,omitempty"`
}

// write hands a command to the leader, here or elsewhere. It is sent once: one that gets no answer may have
// been taken.
func (s *Store) write(c command) (bool, error) {
	if s.raft.State() == raft.Leader {
		return s.apply(c)
	}
	at, _ := s.raft.LeaderWithID()
	if at == "" {
		return false, ErrNoQuorum
	}
	conn, err := dial(string(at), forWrites, writeFor)
	if err != nil {
		return false, fmt.Errorf("%w: %v", ErrNoQuorum, err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(2 * writeFor))
	var a answer
	if err := json.NewEncoder(conn).Encode(c); err == nil {
		err = json.NewDecoder(conn).Decode(&a)
		if err == nil && a.Error == "" {
			return a.Fresh, nil
		}
		return false, fmt.Errorf("%w: %v %s", ErrNoQuorum, err, a.Error)
	}
	return false, ErrNoQuorum
}

func (s *Store) apply(c command) (bool, error) {
	b, err := json.Marshal(c)
	if err != nil {
		return false, err
	}
	f := s.raft.Apply(b, writeFor)
	if err := f.Error(); err != nil {
		return false, fmt.Errorf("%w: %v", ErrNoQuorum, err)
	}
	switch r := f.Response().(type) {
	case bool:
		return r, nil
	case error:
		return false, r
	}
	return false, nil
}

// serveWrite takes one write from another node.
func (s *Store) serveWrite(conn net.Conn) {
	conn.SetDeadline(time.Now().Add(2 * writeFor))
	var c command
	if err := json.NewDecoder(conn).Decode(&c); err != nil {
		return
	}
	var a answer
	var err error
	if a.Fresh, err = s.apply(c); err != nil {
		a.Error = err.Error()
	}
	json.NewEncoder(conn).Encode(a)
}

// Close stops the node.
func (s *Store) Close() error {
	err := s.raft.Shutdown().Error()
	s.trans.Close()
	s.layer.Close()
	return errors.Join(err, s.bolt.Close())
}
