package records

import "fmt"

// Limits bound the history of commits that a Set retains. Older commits are compacted: a watcher at an older revision needs a
// snapshot.
type Limits struct {
	MaxCommits int // commits retained
	MaxBytes   int // total size of the retained commits; the latest one is retained whatever its size
}

// DefaultLimits retain about eight hours of changes at 24,000 changes a day.
var DefaultLimits = Limits{MaxCommits: 8192, MaxBytes: 16 << 20}

// Set is the replicated state: the records, the revision and the latest commits. It is deterministic: the same changes in the
// same order produce the same Set on every replica. It is not safe for concurrent use.
type Set struct {
	limits   Limits
	table    *Table
	revision uint64

	history      []Commit       // oldest first, without gaps, up to revision
	historyBytes int            // size of the history, in bytes
	deletedAt    map[Key]uint64 // keys deleted by a commit in the history and not put since, with the revision of the deletion
}

// NewSet returns an empty set at revision 0.
func NewSet(l Limits) *Set { return &Set{limits: l, table: NewTable(), deletedAt: map[Key]uint64{}} }

// Revision returns the revision of the latest commit, which is the number of commits so far.
func (s *Set) Revision() uint64 { return s.revision }

// Digest returns the digest of all records.
func (s *Set) Digest() Digest { return s.table.Digest() }

// Table returns the records. The caller must not change the table, and must use a Clone to retain it.
func (s *Set) Table() *Table { return s.table }

// OldestRevision returns the oldest revision for which CommitsSince can list all later commits.
func (s *Set) OldestRevision() uint64 { return s.revision - uint64(len(s.history)) }

// Apply applies a change atomically. If the change is refused, the error is a *Refusal with the key and the reason.
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

// checkBase refuses a change if one of its keys was changed after the base revision.
func (s *Set) checkBase(c Change) error {
	switch {
	case c.Base == 0:
		return nil
	case c.Base > s.revision:
		return &Refusal{Reason: fmt.Errorf("%w: the base revision is %d, the latest is %d", ErrFutureRevision, c.Base, s.revision)}
	case c.Base < s.OldestRevision():
		return &Refusal{Reason: fmt.Errorf("%w: the base revision is %d, the oldest retained is %d", ErrCompacted, c.Base, s.OldestRevision())}
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

// appendHistory appends a commit to the history and drops the oldest commits that exceed the limits.
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

// CommitsSince returns the commits after a revision, in order. It returns ErrCompacted if some of them are no longer retained.
func (s *Set) CommitsSince(revision uint64) ([]Commit, error) {
	switch {
	case revision > s.revision:
		return nil, fmt.Errorf("records: %w: %d, the latest is %d", ErrFutureRevision, revision, s.revision)
	case revision < s.OldestRevision():
		return nil, fmt.Errorf("records: %w: %d, the oldest retained is %d", ErrCompacted, revision, s.OldestRevision())
	}
	return s.history[revision-s.OldestRevision():], nil
}

// SequenceError is the error of a commit that does not follow the state to which it is applied.
type SequenceError struct {
	LocalRevision, CommitRevision uint64 // the revision of the state and that of the commit
	DigestMismatch                bool   // the revisions are consecutive, but the digests of the records differ
}

// Error describes the mismatch.
func (e *SequenceError) Error() string {
	if e.DigestMismatch {
		return fmt.Sprintf("records: commit %d does not match the digest of the records", e.CommitRevision)
	}
	return fmt.Sprintf("records: commit %d does not follow revision %d", e.CommitRevision, e.LocalRevision)
}

// ApplyCommit applies a commit of the store. It must have the next revision, and its digests must match the
// records before and after it.
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

// DigestFollower follows commits without holding records: it detects missing, duplicate and divergent commits from the digests
// alone. It serves processes that run many followers.
type DigestFollower struct {
	Revision uint64
	Digest   Digest
}

// ApplyCommit checks that a commit is the next one and advances to it.
func (f *DigestFollower) ApplyCommit(c Commit) error {
	switch {
	case c.Revision != f.Revision+1:
		return &SequenceError{LocalRevision: f.Revision, CommitRevision: c.Revision}
	case c.Before != f.Digest:
		return &SequenceError{LocalRevision: f.Revision, CommitRevision: c.Revision, DigestMismatch: true}
	}
	f.Revision, f.Digest = c.Revision, c.After
	return nil
}

// ReplaceTable replaces all records with those of a snapshot and clears the history. The set takes ownership of the table.
func (s *Set) ReplaceTable(t *Table, revision uint64) {
	s.table, s.revision = t, revision
	s.history, s.historyBytes, s.deletedAt = nil, 0, map[Key]uint64{}
}
