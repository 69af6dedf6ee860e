// Package replica implements a process's configuration replica: it receives commits and snapshots from a watch, applies them and
// stores them on the local disk. Relays and order servers both use it.
package replica

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"puffinsaddle/internal/distribution"
	"puffinsaddle/internal/recordfile"
	"puffinsaddle/internal/records"
)

const (
	rewriteAfter   = 8 << 20                // bytes of commits after the snapshot in the file, beyond which the file is rewritten
	earlyReportFor = 300 * time.Millisecond // how long the injected bug reports a revision before applying it
)

// Options configure a replica.
type Options struct {
	Name   string
	Path   string         // of the file on disk; "": not stored
	Limits records.Limits // of the retained commits, from which relays serve their watchers

	// CheckRecord returns an error for a record that cannot be applied; nil: all can.
	CheckRecord func(records.Put) error
	// ApplySettings applies changed settings by name, with a nil value for a deleted one. If it returns an error, the settings applied
	// before must stay in effect, and the error is reported until a later change applies. May be nil.
	ApplySettings func(settings map[string][]byte) error

	// OnCommit is called for each commit after it is applied, and Adopted after a snapshot is applied; both may be nil.
	OnCommit   func(records.Commit)
	OnSnapshot func(at distribution.Position)
	// OnReport is called for each revision when it is first reported; may be nil.
	OnReport func(revision uint64)

	Log         zerolog.Logger
	InjectedBug string // an injected bug, for the lab; "": none
}

// Replica is a process's configuration replica. It implements configwatch.Follower.
type Replica struct {
	o Options

	mu       sync.Mutex
	set      *records.Set
	file     *recordfile.File
	rejected map[records.Key]distribution.Rejection
	unfit    map[records.Key]distribution.Rejection // the part of rejected that the last failed Use added
	early    uint64                                 // reported too early by an injected bug
	reported uint64
}

// Open loads the replica from its file, if there is one. A corrupt file is discarded.
func Open(o Options) *Replica {
	r := &Replica{o: o, set: records.NewSet(o.Limits), rejected: map[records.Key]distribution.Rejection{}}
	if o.Path == "" {
		return r
	}
	content, err := recordfile.Read(o.Path)
	if err == nil {
		err = r.load(content)
	}
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		r.o.Log.Error().Err(err).Msg("local configuration file is unreadable; discarding it and fetching a snapshot")
		r.set = records.NewSet(o.Limits)
		if err := os.Remove(o.Path); err != nil && !errors.Is(err, fs.ErrNotExist) {
			r.o.Log.Error().Err(err).Msg("could not remove the local configuration file")
		}
	}
	if r.file == nil {
		r.rewrite()
	}
	return r
}

// load applies the content of a file and reopens the file for appending.
func (r *Replica) load(c *recordfile.Content) error {
	r.set.Adopt(c.Table, c.Revision)
	for _, commit := range c.Commits {
		if err := r.set.Follow(commit); err != nil {
			return fmt.Errorf("%w: %v", recordfile.ErrSpoilt, err)
		}
	}
	r.useAll()
	r.o.Log.Info().Uint64("revision", r.set.Revision()).Int("records", r.set.Table().Len()).Int("commits", len(c.Commits)).
		Msg("applied configuration from the local file")
	var err error
	r.file, err = recordfile.Reopen(r.o.Path, c)
	return err
}

// rewrite replaces the file with a snapshot of the current records. If that fails, the replica continues without a file.
func (r *Replica) rewrite() {
	if r.o.Path == "" {
		return
	}
	if r.file != nil {
		r.file.Close()
		r.file = nil
	}
	snapshot, err := records.NewSnapshot(r.set.Table(), r.set.Revision())
	if err == nil {
		r.file, err = recordfile.Write(r.o.Path, snapshot)
	}
	if err != nil {
		r.o.Log.Error().Err(err).Msg("could not write the local configuration file; continuing without it")
	}
}

// Position returns the current revision and digest.
func (r *Replica) Position() distribution.Position {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.position()
}

func (r *Replica) position() distribution.Position {
	return distribution.Position{Revision: r.set.Revision(), Digest: r.set.Digest()}
}

// KeepsRecords returns true: a replica holds the records, not only their digest.
func (r *Replica) KeepsRecords() bool { return true }

// Follow applies the next commit.
func (r *Replica) Follow(c records.Commit) error {
	if r.o.InjectedBug == distribution.BugEarlyReport {
		r.mu.Lock()
		r.early = c.Revision
		r.mu.Unlock()
		time.Sleep(earlyReportFor)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.set.Follow(c); err != nil {
		return err
	}
	r.use(c)
	r.append(c)
	if r.o.OnCommit != nil {
		r.o.OnCommit(c)
	}
	return nil
}

func (r *Replica) append(c records.Commit) {
	if r.file == nil {
		return
	}
	if err := r.file.Append(c); err != nil {
		r.o.Log.Error().Err(err).Msg("could not write the local configuration file; continuing without it")
		r.file.Close()
		r.file = nil
		return
	}
	if r.file.Commits() > rewriteAfter {
		r.rewrite()
	}
}

// use checks the records of a commit and applies its settings. A record that fails the check is stored, since all replicas must
// hold the same records, but it is not applied, and it is reported until it is replaced.
func (r *Replica) use(c records.Commit) {
	settings := map[string][]byte{}
	for _, p := range c.Puts {
		delete(r.rejected, p.Key)
		if r.o.CheckRecord != nil {
			if err := r.o.CheckRecord(p); err != nil {
				r.reject(p.Key, c.Revision, err)
				continue
			}
		}
		if p.Kind == records.Setting {
			settings[p.Name] = p.Value
		}
	}
	for _, k := range c.Deletes {
		delete(r.rejected, k)
		if k.Kind == records.Setting {
			settings[k.Name] = nil
		}
	}
	r.useSettings(settings, c.Revision)
}

// useSettings applies settings, all of them or none.
func (r *Replica) useSettings(settings map[string][]byte, revision uint64) {
	if len(settings) == 0 || r.o.ApplySettings == nil {
		return
	}
	for k, made := range r.unfit {
		if r.rejected[k] == made { // the check may have rejected another value since
			delete(r.rejected, k)
		}
	}
	r.unfit = map[records.Key]distribution.Rejection{}
	err := r.o.ApplySettings(settings)
	if err == nil {
		return
	}
	for name := range settings {
		k := records.Key{Kind: records.Setting, Name: name}
		r.reject(k, revision, err)
		r.unfit[k] = r.rejected[k]
	}
}

func (r *Replica) reject(k records.Key, revision uint64, err error) {
	r.o.Log.Error().Stringer("key", k).Uint64("revision", revision).Err(err).Msg("record rejected")
	r.rejected[k] = distribution.Rejection{Server: r.o.Name, Key: k.String(), Revision: revision, Reason: err.Error()}
}

// useAll checks all records and applies all settings, after a snapshot.
func (r *Replica) useAll() {
	clear(r.rejected)
	all := records.Commit{Revision: r.set.Revision()}
	for record := range r.set.Table().All() {
		if record.Kind == records.Setting || r.o.CheckRecord != nil {
			all.Puts = append(all.Puts, records.Put{Key: record.Key, Value: record.Value})
		}
		if len(all.Puts) == records.MaxChangeKeys {
			r.use(all)
			all.Puts = all.Puts[:0]
		}
	}
	r.use(all)
}

// Adopt replaces all records with those of a snapshot.
func (r *Replica) Adopt(h records.Header, t *records.Table) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.set.Adopt(t, h.Revision)
	r.useAll()
	r.rewrite()
	r.o.Log.Info().Uint64("revision", h.Revision).Int("records", h.Records).Int64("bytes", h.Bytes).Msg("applied configuration from a snapshot")
	if r.o.OnSnapshot != nil {
		r.o.OnSnapshot(r.position())
	}
	return nil
}

// Discard deletes the stored records and the file. Applied settings stay in effect until a snapshot arrives.
func (r *Replica) Discard(reason error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.o.Log.Error().Err(reason).Msg("local configuration was never committed; discarding it and fetching a snapshot")
	r.set = records.NewSet(r.o.Limits)
	if r.file != nil {
		r.file.Close()
		r.file = nil
		os.Remove(r.o.Path)
	}
}

// Skip advances to the revision of a commit without applying it. Only the injected bug distribution.BugLostChange calls it.
func (r *Replica) Skip(c records.Commit) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.set.Adopt(r.set.Table(), c.Revision)
	return nil
}

// Report returns the progress of this process.
func (r *Replica) Report() distribution.Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	report := distribution.Report{Servers: 1, LowestRevision: max(r.set.Revision(), r.early), LowestServer: r.o.Name}
	if len(r.rejected) > 0 {
		report.ServersRejecting = 1
		for _, rejection := range r.rejected {
			report.Rejections = append(report.Rejections, rejection)
		}
		slices.SortFunc(report.Rejections, func(a, b distribution.Rejection) int { return strings.Compare(a.Key, b.Key) })
	}
	report.Check()
	if r.o.OnReport != nil && report.LowestRevision > r.reported {
		r.o.OnReport(report.LowestRevision)
	}
	r.reported = report.LowestRevision
	return report
}

// Get returns the stored value of a record and its revision.
func (r *Replica) Get(k records.Key) (value []byte, revision uint64, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.set.Table().Get(k)
}

// Table returns a copy of the records and their revision. It is the source of a relay's snapshots.
func (r *Replica) Table() (*records.Table, uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.set.Table().Clone(), r.set.Revision()
}

// Held returns the retained commits and the position before the first of them.
func (r *Replica) Held() (floor distribution.Position, commits []records.Commit) {
	r.mu.Lock()
	defer r.mu.Unlock()
	commits, err := r.set.Since(r.set.Floor())
	if err != nil || len(commits) == 0 {
		return r.position(), nil
	}
	return distribution.Position{Revision: r.set.Floor(), Digest: commits[0].Before}, slices.Clone(commits)
}

// RecordCount returns the number of stored records.
func (r *Replica) RecordCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.set.Table().Len()
}

// Close closes the file; later commits are not stored.
func (r *Replica) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.file != nil {
		r.file.Close()
		r.file = nil
	}
}
