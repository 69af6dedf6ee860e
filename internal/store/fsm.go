package store

import (
	"encoding/json"
	"io"
	"sync"

	"github.com/hashicorp/raft"

	"puffinsaddle/internal/admit"
	"puffinsaddle/internal/state"
)

// machine hands the log's entries to the replicated state, one at a time.
type machine struct {
	mu      sync.Mutex
	state   *state.State
	index   uint64 // of the last entry that was applied
	changed chan struct{}
	watch   func(index, term uint64, c state.Command, r state.Result) // called for each entry, in order; nil: nobody
	plant   string
	digest  admit.Digest
}

func newMachine() *machine {
	return &machine{state: state.New(), changed: make(chan struct{})}
}

// Apply carries out a command that the cluster has agreed on; it returns a state.Result.
func (m *machine) Apply(l *raft.Log) any {
	var c state.Command
	var r state.Result
	err := json.Unmarshal(l.Data, &c)
	m.mu.Lock()
	defer m.mu.Unlock()
	if err != nil {
		r.Error = err.Error()
	} else {
		r = m.state.Apply(c, l.Term)
		if c.Op == state.OpCompareDigests {
			m.digest = admit.Digest{Index: l.Index, Partition: c.Seq, Sum: r.Value}
		}
	}
	m.index = l.Index
	if m.watch != nil {
		m.watch(l.Index, l.Term, c, r)
	}
	m.tell()
	return r
}

// looked is what the last look at a part of the state came to.
func (m *machine) looked() admit.Digest {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.digest
}

// clear forgets all: the folder that it came from is not used any more.
func (m *machine) clear() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state, m.index, m.digest = state.New(), 0, admit.Digest{}
	m.state.InjectedBug = m.plant
	m.tell()
}

func (m *machine) tell() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// kept is a copy of the state that is being written.
type kept struct{ *state.Snapshot }

// Snapshot copies the state, so that it can be written while commands go on.
func (m *machine) Snapshot() (raft.FSMSnapshot, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return kept{m.state.Snapshot()}, nil
}

// Restore takes the state of a snapshot in place of its own.
func (m *machine) Restore(r io.ReadCloser) error {
	defer r.Close()
	b, err := io.ReadAll(r)
	if err != nil {
		return err
	}
	s, err := state.ReadSnapshot(b)
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	s.InjectedBug = m.plant
	m.state = s
	m.tell()
	return nil
}

// Persist writes a snapshot.
func (k kept) Persist(sink raft.SnapshotSink) error {
	if err := json.NewEncoder(sink).Encode(k.Snapshot); err != nil {
		sink.Cancel()
		return err
	}
	return sink.Close()
}

// Release has nothing to free.
func (kept) Release() {}
