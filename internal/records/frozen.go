package records

import (
	"encoding/json"
	"slices"
)

// Frozen is a Set as of one moment, for the snapshots of the store's log. It is made at once; the work of compressing comes
// with MarshalJSON, while the Set goes on.
type Frozen struct {
	table    *Table
	revision uint64
	history  []Commit
}

// frozenJSON is its form in a file.
type frozenJSON struct {
	Header  Header   `json:"header"`
	Pieces  []Piece  `json:"pieces"`
	History []Commit `json:"history,omitempty"`
}

// Freeze copies the set.
func (s *Set) Freeze() *Frozen {
	return &Frozen{table: s.table.Clone(), revision: s.revision, history: slices.Clone(s.history)}
}

// Thaw makes a set of it.
func (f *Frozen) Thaw(l Limits) *Set {
	s := NewSet(l)
	s.Adopt(f.table, f.revision)
	for _, c := range f.history {
		for _, k := range c.Deletes {
			s.deleted[k] = c.Revision
		}
		for _, p := range c.Puts {
			delete(s.deleted, p.Key)
		}
		s.remember(c)
	}
	return s
}

// MarshalJSON writes the records compressed.
func (f *Frozen) MarshalJSON() ([]byte, error) {
	s, err := NewSnapshot(f.table, f.revision)
	if err != nil {
		return nil, err
	}
	return json.Marshal(frozenJSON{s.Header, s.Content, f.history})
}

// UnmarshalJSON reads and checks them.
func (f *Frozen) UnmarshalJSON(text []byte) error {
	var j frozenJSON
	if err := json.Unmarshal(text, &j); err != nil {
		return err
	}
	s := Snapshot{Header: j.Header, Content: j.Pieces}
	table, err := s.Assemble()
	if err != nil {
		return err
	}
	*f = Frozen{table: table, revision: j.Header.Revision, history: j.History}
	return nil
}
