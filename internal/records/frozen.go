package records

import (
	"encoding/json"
	"slices"
)

// SetSnapshot is a point-in-time copy of a Set, for the snapshots of the store's log. Taking it is cheap; the records are
// compressed later in MarshalJSON, while the Set keeps changing.
type SetSnapshot struct {
	table    *Table
	revision uint64
	history  []Commit
}

// setSnapshotJSON is the JSON encoding of a SetSnapshot.
type setSnapshotJSON struct {
	Header  Header   `json:"header"`
	Chunks  []Chunk  `json:"pieces"`
	History []Commit `json:"history,omitempty"`
}

// Snapshot returns a point-in-time copy of the set.
func (s *Set) Snapshot() *SetSnapshot {
	return &SetSnapshot{table: s.table.Clone(), revision: s.revision, history: slices.Clone(s.history)}
}

// Restore returns a new set with the records, the revision and the history of the copy.
func (snap *SetSnapshot) Restore(l Limits) *Set {
	s := NewSet(l)
	s.ReplaceTable(snap.table, snap.revision)
	for _, c := range snap.history {
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

// MarshalJSON encodes the records as compressed chunks.
func (snap *SetSnapshot) MarshalJSON() ([]byte, error) {
	s, err := NewSnapshot(snap.table, snap.revision)
	if err != nil {
		return nil, err
	}
	return json.Marshal(setSnapshotJSON{s.Header, s.Chunks, snap.history})
}

// UnmarshalJSON decodes the records and checks them against the header.
func (snap *SetSnapshot) UnmarshalJSON(text []byte) error {
	var j setSnapshotJSON
	if err := json.Unmarshal(text, &j); err != nil {
		return err
	}
	s := Snapshot{Header: j.Header, Chunks: j.Chunks}
	table, err := s.Assemble()
	if err != nil {
		return err
	}
	*snap = SetSnapshot{table: table, revision: j.Header.Revision, history: j.History}
	return nil
}
