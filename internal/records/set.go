package records

import "fmt"

// Limits bound the commits that a Set remembers. What is older is compacted: a watch from before it needs a snapshot.
type Limits struct {
	MaxCommits int // at most
	MaxBytes   int // of them, at most, but for the latest
}

// DefaultLimits hold the changes of some eight hours at 24,000 a day.
var DefaultLimits = Limits{MaxCommits: 8192, MaxBytes: 16 << 20}

// Set is the agreed state: records, revision and the latest commits. The same changes in the same order give the same Set on
// every copy. It is not safe for concurrent use.
type Set struct {
	limits   Limits
	table    *Table
	revision uint64

	history      []Commit       // the latest last, without gaps up to revision
	historyBytes int            // of the history
	deletedAt    map[Key]uint64 // keys that a commit of the history deleted and none put again, with its revision
}

// NewSet is the empty set at revision 0.
func NewSet(l Limits) *Set { return &Set{limits: l, table: NewTable(), deletedAt: map[Key]uint64{}} }

// Revision counts the commits.
func (s *Set) Revision() uint64 { return s.revision }

// Digest sums all records.
func (s *Set) Digest() Digest { return s.table.Digest() }

// Table is the records; it must not be changed, and not be kept but as a Clone.
func (s *Set) Table() *Table { return s.table }

// OldestRevision is the earliest revision from which Since can tell what came after.
func (s *Set) OldestRevision() uint64 { return s.revision - uint64(len(s.history)) }

// Apply carries a change out, whole or not at all; a *Refusal names the key and the reason.
func (s *Set) Apply(c Change) (Commit, error) {
	if err := c.Check(); err != nil {
		return Commit{}, err
	}
	if err := s.checkBase(c); err != nil {
		return Commit{}, err
	}
	commit := Commit{Revision: s.revision + 1, Before: s.table.Digest(), Puts: c.Puts, Deletes: c.Deletes}
	s.applyToTable(commit)
	commit.After = s.table.Digest()
	s.appendHistory(commit)
	return commit, nil
}

// checkBase refuses a change one of whose keys was changed after the revision that it rests on.
func (s *Set) checkBase(c Change) error {
	switch {
	case c.Base == 0:
		return nil
	case c.Base > s.revision:
		return &Refusal{Reason: fmt.Errorf("%w: it rests on %d, and %d is the latest", ErrFutureRevision, c.Base, s.revision)}
	case c.Base < s.OldestRevision():
		return &Refusal{Reason: fmt.Errorf("%w: it rests on %d, and what changed before %d is not known", ErrCompacted, c.Base, s.OldestRevision())}
	}
	checkKey := func(k Key) error {
		_, revision, _ := s.table.Get(k)
		if revision = max(revision, s.deletedAt[k]); revision > c.Base {
			return &Refusal{k, fmt.Errorf("%w: in %d, and it rests on %d", ErrConflict, revision, c.Base)}
		}
		return nil
	}
	for _, p := range c.Puts {
		if err := checkKey(p.Key); err != nil {
			return err
		}
	}
	for _, k := range c.Deletes {
		if err := checkKey(k); err != nil {
			return err
		}
	}
	return nil
}

func (s *Set) applyToTable(c Commit) {
	for _, p := range c.Puts {
		s.table.Put(Record{p.Key, p.Value, c.Revision})
		delete(s.deletedAt, p.Key)
	}
	for _, k := range c.Deletes {
		s.table.Delete(k)
		s.deletedAt[k] = c.Revision
	}
	s.revision = c.Revision
}

// appendHistory keeps a commit and compacts what is over the limits.
func (s *Set) appendHistory(c Commit) {
	s.history = append(s.history, c)
	s.historyBytes += c.Size()
	dropped := 0
	for len(s.history)-dropped > s.limits.MaxCommits || s.historyBytes > s.limits.MaxBytes && len(s.history)-dropped > 1 {
		oldest := s.history[dropped]
		s.historyBytes -= oldest.Size()
		for _, k := range oldest.Deletes {
			if s.deletedAt[k] == oldest.Revision {
				delete(s.deletedAt, k)
			}
		}
		s.history[dropped] = Commit{}
		dropped++
	}
	s.history = s.history[dropped:]
}

// CommitsSince lists the commits after a revision, in order. ErrCompacted: some of them are not held any more.
func (s *Set) CommitsSince(revision uint64) ([]Commit, error) {
	switch {
	case revision > s.revision:
		return nil, fmt.Errorf("records: %w: %d, and %d is the latest", ErrFutureRevision, revision, s.revision)
	case revision < s.OldestRevision():
		return nil, fmt.Errorf("records: %w: %d, and %d is the earliest", ErrCompacted, revision, s.OldestRevision())
	}
	return s.history[revision-s.OldestRevision():], nil
}

// SequenceError tells that a commit is not the next one of what a follower holds.
type SequenceError struct {
	LocalRevision, CommitRevision uint64 // revisions
	DigestMismatch                bool   // the revisions follow, but the records are not the same
}

// Error tells which.
func (e *SequenceError) Error() string {
	if e.DigestMismatch {
		return fmt.Sprintf("records: commit %d rests on other records than are held", e.CommitRevision)
	}
	return fmt.Sprintf("records: commit %d does not follow %d", e.CommitRevision, e.LocalRevision)
}

// ApplyCommit carries a commit out that was agreed on elsewhere. It has to be the next one, of the same records.
func (s *Set) ApplyCommit(c Commit) error {
	switch {
	case c.Revision != s.revision+1:
		return &SequenceError{LocalRevision: s.revision, CommitRevision: c.Revision}
	case c.Before != s.table.Digest():
		return &SequenceError{LocalRevision: s.revision, CommitRevision: c.Revision, DigestMismatch: true}
	}
	if err := c.Check(); err != nil {
		return err
	}
	s.applyToTable(c)
	if s.table.Digest() != c.After {
		return &SequenceError{LocalRevision: s.revision, CommitRevision: c.Revision, DigestMismatch: true}
	}
	s.appendHistory(c)
	return nil
}

// DigestFollower follows commits without holding records: it sees from the digests alone that none is left out, doubled or of other
// records. For followers of which many run in one process.
type DigestFollower struct {
	Revision uint64
	Digest   Digest
}

// ApplyCommit takes the next commit.
func (m *DigestFollower) ApplyCommit(c Commit) error {
	switch {
	case c.Revision != m.Revision+1:
		return &SequenceError{LocalRevision: m.Revision, CommitRevision: c.Revision}
	case c.Before != m.Digest:
		return &SequenceError{LocalRevision: m.Revision, CommitRevision: c.Revision, DigestMismatch: true}
	}
	m.Revision, m.Digest = c.Revision, c.After
	return nil
}

// ReplaceTable takes the records of a snapshot in place of all that is held; the history begins anew.
func (s *Set) ReplaceTable(t *Table, revision uint64) {
	s.table, s.revision = t, revision
	s.history, s.historyBytes, s.deletedAt = nil, 0, map[Key]uint64{}
}
