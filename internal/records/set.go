package records

import "fmt"

// Limits bound the commits that a Set remembers. What is older is compacted: a watch from before it needs a snapshot.
type Limits struct {
	Commits int // at most
	Bytes   int // of them, at most, but for the latest
}

// DefaultLimits hold the changes of some eight hours at 24,000 a day.
var DefaultLimits = Limits{Commits: 8192, Bytes: 16 << 20}

// Set is the agreed state: records, revision and the latest commits. The same changes in the same order give the same Set on
// every copy. It is not safe for concurrent use.
type Set struct {
	limits   Limits
	table    *Table
	revision uint64

	history []Commit       // the latest last, without gaps up to revision
	bytes   int            // of the history
	deleted map[Key]uint64 // keys that a commit of the history deleted and none put again, with its revision
}

// NewSet is the empty set at revision 0.
func NewSet(l Limits) *Set { return &Set{limits: l, table: NewTable(), deleted: map[Key]uint64{}} }

// Revision counts the commits.
func (s *Set) Revision() uint64 { return s.revision }

// Digest sums all records.
func (s *Set) Digest() Digest { return s.table.Digest() }

// Table is the records; it must not be changed, and not be kept but as a Clone.
func (s *Set) Table() *Table { return s.table }

// Floor is the earliest revision from which Since can tell what came after.
func (s *Set) Floor() uint64 { return s.revision - uint64(len(s.history)) }

// Apply carries a change out, whole or not at all; a *Refusal names the key and the reason.
func (s *Set) Apply(c Change) (Commit, error) {
	if err := c.Check(); err != nil {
		return Commit{}, err
	}
	if err := s.checkBase(c); err != nil {
		return Commit{}, err
	}
	commit := Commit{Revision: s.revision + 1, Before: s.table.Digest(), Puts: c.Puts, Deletes: c.Deletes}
	s.carryOut(commit)
	commit.After = s.table.Digest()
	s.remember(commit)
	return commit, nil
}

// checkBase refuses a change one of whose keys was changed after the revision that it rests on.
func (s *Set) checkBase(c Change) error {
	switch {
	case c.Base == 0:
		return nil
	case c.Base > s.revision:
		return &Refusal{Reason: fmt.Errorf("%w: it rests on %d, and %d is the latest", ErrFuture, c.Base, s.revision)}
	case c.Base < s.Floor():
		return &Refusal{Reason: fmt.Errorf("%w: it rests on %d, and what changed before %d is not known", ErrCompacted, c.Base, s.Floor())}
	}
	check := func(k Key) error {
		_, revision, _ := s.table.Get(k)
		if revision = max(revision, s.deleted[k]); revision > c.Base {
			return &Refusal{k, fmt.Errorf("%w: in %d, and it rests on %d", ErrStale, revision, c.Base)}
		}
		return nil
	}
	for _, p := range c.Puts {
		if err := check(p.Key); err != nil {
			return err
		}
	}
	for _, k := range c.Deletes {
		if err := check(k); err != nil {
			return err
		}
	}
	return nil
}

func (s *Set) carryOut(c Commit) {
	for _, p := range c.Puts {
		s.table.Put(Record{p.Key, p.Value, c.Revision})
		delete(s.deleted, p.Key)
	}
	for _, k := range c.Deletes {
		s.table.Delete(k)
		s.deleted[k] = c.Revision
	}
	s.revision = c.Revision
}

// remember keeps a commit and compacts what is over the limits.
func (s *Set) remember(c Commit) {
	s.history = append(s.history, c)
	s.bytes += c.Size()
	drop := 0
	for len(s.history)-drop > s.limits.Commits || s.bytes > s.limits.Bytes && len(s.history)-drop > 1 {
		old := s.history[drop]
		s.bytes -= old.Size()
		for _, k := range old.Deletes {
			if s.deleted[k] == old.Revision {
				delete(s.deleted, k)
			}
		}
		s.history[drop] = Commit{}
		drop++
	}
	s.history = s.history[drop:]
}

// Since lists the commits after a revision, in order. ErrCompacted: some of them are not held any more.
func (s *Set) Since(revision uint64) ([]Commit, error) {
	switch {
	case revision > s.revision:
		return nil, fmt.Errorf("records: %w: %d, and %d is the latest", ErrFuture, revision, s.revision)
	case revision < s.Floor():
		return nil, fmt.Errorf("records: %w: %d, and %d is the earliest", ErrCompacted, revision, s.Floor())
	}
	return s.history[revision-s.Floor():], nil
}

// OrderError tells that a commit is not the next one of what a follower holds.
type OrderError struct {
	Held, Came uint64 // revisions
	Differ     bool   // the revisions follow, but the records are not the same
}

// Error tells which.
func (e *OrderError) Error() string {
	if e.Differ {
		return fmt.Sprintf("records: commit %d rests on other records than are held", e.Came)
	}
	return fmt.Sprintf("records: commit %d does not follow %d", e.Came, e.Held)
}

// Follow carries a commit out that was agreed on elsewhere. It has to be the next one, of the same records.
func (s *Set) Follow(c Commit) error {
	switch {
	case c.Revision != s.revision+1:
		return &OrderError{Held: s.revision, Came: c.Revision}
	case c.Before != s.table.Digest():
		return &OrderError{Held: s.revision, Came: c.Revision, Differ: true}
	}
	if err := c.Check(); err != nil {
		return err
	}
	s.carryOut(c)
	if s.table.Digest() != c.After {
		return &OrderError{Held: s.revision, Came: c.Revision, Differ: true}
	}
	s.remember(c)
	return nil
}

// Marker follows commits without holding records: it sees from the digests alone that none is left out, doubled or of other
// records. For followers of which many run in one process.
type Marker struct {
	Revision uint64
	Digest   Digest
}

// Follow takes the next commit.
func (m *Marker) Follow(c Commit) error {
	switch {
	case c.Revision != m.Revision+1:
		return &OrderError{Held: m.Revision, Came: c.Revision}
	case c.Before != m.Digest:
		return &OrderError{Held: m.Revision, Came: c.Revision, Differ: true}
	}
	m.Revision, m.Digest = c.Revision, c.After
	return nil
}

// Adopt takes the records of a snapshot in place of all that is held; the history begins anew.
func (s *Set) Adopt(t *Table, revision uint64) {
	s.table, s.revision = t, revision
	s.history, s.bytes, s.deleted = nil, 0, map[Key]uint64{}
}
