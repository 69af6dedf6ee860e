package records

import (
	"encoding/json"
	"slices"
)

// SetSnapshot is a Set as of one moment, for the snapshots of the store's log. It is made at once; the work of compressing comes
// with MarshalJSON, while the Set goes on.
type SetSnapshot struct {
	table    *Table
	revision uint64
	history  []Commit
}

// setSnapshotJSON is its form in a file.
type setSnapshotJSON struct {
	Header  Header   `json:"header"`
	Chunks  []Chunk  `json:"pieces"`
	History []Commit `json:"history,omitempty"`
}

// Snapshot copies the set.
func (s *Set) Snapshot() *SetSnapshot {
	return &SetSnapshot{table: s.table.Clone(), revision: s.revision, history: slices.Clone(s.history)}
}

// Restore makes a set of it.
func (f *SetSnapshot) Restore(l Limits) *Set {
	s := NewSet(l)
	s.ReplaceTable(f.table, f.revision)
	for _, c := range f.history {
		for _, k := range c.Deletes {
			s.deletedAt[k] = c.Revision
		}
		for _, p := range c.Puts {
			delete(s.deletedAt, p.Key)
		}
		s.appendHistory(c)
	}
	return s
}

// MarshalJSON writes the records compressed.
func (f *SetSnapshot) MarshalJSON() ([]byte, error) {
	s, err := NewSnapshot(f.table, f.revision)
	if err != nil {
		return nil, err
	}
	return json.Marshal(setSnapshotJSON{s.Header, s.Chunks, f.history})
}

// UnmarshalJSON reads and checks them.
func (f *SetSnapshot) UnmarshalJSON(text []byte) error {
	var j setSnapshotJSON
	if err := json.Unmarshal(text, &j); err != nil {
		return err
	}
	s := Snapshot{Header: j.Header, Chunks: j.Chunks}
	table, err := s.Assemble()
	if err != nil {
		return err
	}
	*f = SetSnapshot{table: table, revision: j.Header.Revision, history: j.History}
	return nil
}
