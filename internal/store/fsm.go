package store

import (
	"encoding/json"
	"io"
	"strings"
	"sync"

	"github.com/hashicorp/raft"
)

const (
	effects     = "effects/" // keys of effects that were begun
	mostEffects = 1 << 16    // remembered at once; the oldest go first, in the order of the log
)

// command is one entry of the log.
type command struct {
	Op    string `json:"op"` // set, delete, or begin: set where absent
	Key   string `json:"key"`
	Value []byte `json:"value,omitempty"`
}

// machine is the replicated state: keys and values, and the order in which effects came.
type machine struct {
	mu      sync.Mutex
	values  map[string][]byte
	order   []string // keys of effects, the oldest first
	changed chan struct{}
}

func newMachine() *machine {
	return &machine{values: map[string][]byte{}, changed: make(chan struct{})}
}

// Apply carries out a command that the cluster has agreed on; it returns whether the key was absent.
func (m *machine) Apply(l *raft.Log) any {
	var c command
	if err := json.Unmarshal(l.Data, &c); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	_, there := m.values[c.Key]
	switch {
	case c.Op == "delete":
		delete(m.values, c.Key)
	case c.Op == "set" || c.Op == "begin" && !there:
		m.values[c.Key] = c.Value
		if strings.HasPrefix(c.Key, effects) && !there {
			m.order = append(m.order, c.Key)
			if len(m.order) > mostEffects {
				delete(m.values, m.order[0])
				m.order = m.order[1:]
			}
		}
	}
	close(m.changed)
	m.changed = make(chan struct{})
	return !there
}

// state is what a snapshot holds.
type state struct {
	Values map[string][]byte `json:"values"`
	Order  []string          `json:"order"`
}

// Snapshot copies the state, so that it can be written while commands go on.
func (m *machine) Snapshot() (raft.FSMSnapshot, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := &state{Values: make(map[string][]byte, len(m.values)), Order: append([]string(nil), m.order...)}
	for k, v := range m.values {
		s.Values[k] = v
	}
	return s, nil
}

// Restore takes the state of a snapshot in place of its own.
func (m *machine) Restore(r io.ReadCloser) error {
	defer r.Close()
	s := state{Values: map[string][]byte{}}
	if err := json.NewDecoder(r).Decode(&s); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.values, m.order = s.Values, s.Order
	close(m.changed)
	m.changed = make(chan struct{})
	return nil
}

// Persist writes a snapshot.
func (s *state) Persist(sink raft.SnapshotSink) error {
	if err := json.NewEncoder(sink).Encode(s); err != nil {
		sink.Cancel()
		return err
	}
	return sink.Close()
}

// Release has nothing to free.
func (s *state) Release() {}
