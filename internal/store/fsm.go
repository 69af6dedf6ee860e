package store

import (
	"encoding/json"
	"io"
	"sync"

	"github.com/hashicorp/raft"

	"puffinsaddle/internal/rejoin"
	"puffinsaddle/internal/state"
)

// stateMachine is raft's state machine: it applies committed log entries to the replicated state, one at a time.
type stateMachine struct {
	mu          sync.Mutex
	state       *state.State
	index       uint64 // log index of the last applied entry
	changed     chan struct{}
	onApply     func(index, term uint64, c state.Command, r state.Result) // optional; called for each entry, in log order
	injectedBug string
	digest      rejoin.Digest
}

func newStateMachine() *stateMachine {
	return &stateMachine{state: state.New(), changed: make(chan struct{})}
}

// Apply executes a committed command and returns a state.Result.
func (m *stateMachine) Apply(l *raft.Log) any {
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
			m.digest = rejoin.Digest{Index: l.Index, Partition: c.Seq, Sum: r.Value}
		}
	}
	m.index = l.Index
	if m.onApply != nil {
		m.onApply(l.Index, l.Term, c, r)
	}
	m.notifyChanged()
	return r
}

// latestDigest returns the digest computed by the latest OpCompareDigests command.
func (m *stateMachine) latestDigest() rejoin.Digest {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.digest
}

// reset discards the state when the data directory is replaced by an empty one.
func (m *stateMachine) reset() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state, m.index, m.digest = state.New(), 0, rejoin.Digest{}
	m.state.InjectedBug = m.injectedBug
	m.notifyChanged()
}

func (m *stateMachine) notifyChanged() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// persistedState is a point-in-time copy of the state that raft writes to a snapshot.
type persistedState struct{ *state.Snapshot }

// Snapshot copies the state so that it can be persisted while further commands are applied.
func (m *stateMachine) Snapshot() (raft.FSMSnapshot, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return persistedState{m.state.Snapshot()}, nil
}

// Restore replaces the state with that of a snapshot.
func (m *stateMachine) Restore(r io.ReadCloser) error {
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
	s.InjectedBug = m.injectedBug
	m.state = s
	m.notifyChanged()
	return nil
}

// Persist writes the snapshot to sink as JSON.
func (s persistedState) Persist(sink raft.SnapshotSink) error {
	if err := json.NewEncoder(sink).Encode(s.Snapshot); err != nil {
		sink.Cancel()
		return err
	}
	return sink.Close()
}

// Release implements raft.FSMSnapshot; there is nothing to free.
func (persistedState) Release() {}
