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
	maxCommitBytes   = 8 << 20                // bytes of commits after the snapshot in the file, beyond which the file is rewritten
	earlyReportDelay = 300 * time.Millisecond // how long the injected bug reports a revision before applying it
)

// Options configure a replica.
type Options struct {
	Name   string
	Path   string         // of the file on disk; "": not stored
	Limits records.Limits // of the retained commits, with which a relay fills its feed after a restart

	// CheckRecord returns an error for a record that cannot be applied. If CheckRecord is nil, all records are applied.
	CheckRecord func(records.Put) error
	// ApplySettings applies changed settings by name, with a nil value for a deleted one. If it returns an error, the settings
	// applied before must stay in effect, and the error is reported until a later change applies. May be nil.
	ApplySettings func(settings map[string][]byte) error

	// OnCommit is called for each commit after it is applied, and OnSnapshot after a snapshot is applied; both may be nil.
	OnCommit   func(records.Commit)
	OnSnapshot func(at distribution.Position)
	// OnReport is called for each revision when it is first reported; may be nil.
	OnReport func(revision uint64)

	Log         zerolog.Logger
	InjectedBug string // one of distribution.InjectedBugs, for the lab; "": none
}

// Replica is a process's configuration replica. It implements configwatch.Replica.
type Replica struct {
	options Options

	mu                sync.Mutex
	set               *records.Set
	file              *recordfile.File
	rejected          map[records.Key]distribution.Rejection
	settingRejections map[records.Key]distribution.Rejection // the part of rejected that the last failed ApplySettings added
	earlyRevision     uint64                                 // reported too early by an injected bug
	reportedRevision  uint64
}

// Open loads the replica from its file, if there is one. A corrupt file is discarded.
func Open(o Options) *Replica {
	r := &Replica{options: o, set: records.NewSet(o.Limits), rejected: map[records.Key]distribution.Rejection{}}
	if o.Path == "" {
		return r
	}
	content, err := recordfile.Read(o.Path)
	if err == nil {
		err = r.load(content)
	}
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		r.options.Log.Error().Err(err).Msg("local configuration file is unreadable; discarding it and fetching a snapshot")
		r.set = records.NewSet(o.Limits)
		if err := os.Remove(o.Path); err != nil && !errors.Is(err, fs.ErrNotExist) {
			r.options.Log.Error().Err(err).Msg("could not remove the local configuration file")
		}
	}
	if r.file == nil {
		r.rewrite()
	}
	return r
}

// load applies the content of a file and reopens the file for appending.
func (r *Replica) load(c *recordfile.Content) error {
	r.set.ReplaceTable(c.Table, c.Revision)
	for _, commit := range c.Commits {
		if err := r.set.ApplyCommit(commit); err != nil {
			return fmt.Errorf("%w: %v", recordfile.ErrCorrupt, err)
		}
	}
	r.applyAll()
	r.options.Log.Info().Uint64("revision", r.set.Revision()).Int("records", r.set.Table().Len()).Int("commits", len(c.Commits)).
		Msg("applied configuration from the local file")
	var err error
	r.file, err = recordfile.Reopen(r.options.Path, c)
	return err
}

// rewrite replaces the file with a snapshot of the current records. If that fails, the replica continues without a file.
func (r *Replica) rewrite() {
	if r.options.Path == "" {
		return
	}
	if r.file != nil {
		r.file.Close()
		r.file = nil
	}
	snapshot, err := records.NewSnapshot(r.set.Table(), r.set.Revision())
	if err == nil {
		r.file, err = recordfile.Write(r.options.Path, snapshot)
	}
	if err != nil {
		r.options.Log.Error().Err(err).Msg("could not write the local configuration file; continuing without it")
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
	if r.options.InjectedBug == distribution.BugEarlyReport {
		r.mu.Lock()
		r.earlyRevision = c.Revision
		r.mu.Unlock()
		time.Sleep(earlyReportDelay)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.set.ApplyCommit(c); err != nil {
		return err
	}
	r.applyCommit(c)
	r.appendToFile(c)
	if r.options.OnCommit != nil {
		r.options.OnCommit(c)
	}
	return nil
}

func (r *Replica) appendToFile(c records.Commit) {
	if r.file == nil {
		return
	}
	if err := r.file.Append(c); err != nil {
		r.options.Log.Error().Err(err).Msg("could not write the local configuration file; continuing without it")
		r.file.Close()
		r.file = nil
		return
	}
	if r.file.CommitBytes() > maxCommitBytes {
		r.rewrite()
	}
}

// applyCommit checks the records of a commit and applies its settings. A record that fails the check is stored, since all replicas
// must hold the same records, but it is not applied, and it is reported until it is replaced.
func (r *Replica) applyCommit(c records.Commit) {
	settings := map[string][]byte{}
	for _, p := range c.Puts {
		delete(r.rejected, p.Key)
		if r.options.CheckRecord != nil {
			if err := r.options.CheckRecord(p); err != nil {
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
	r.applySettings(settings, c.Revision)
}

// applySettings applies settings, all of them or none.
func (r *Replica) applySettings(settings map[string][]byte, revision uint64) {
	if len(settings) == 0 || r.options.ApplySettings == nil {
		return
	}
	for k, previous := range r.settingRejections {
		if r.rejected[k] == previous { // the check may have rejected another value since
			delete(r.rejected, k)
		}
	}
	r.settingRejections = map[records.Key]distribution.Rejection{}
	err := r.options.ApplySettings(settings)
	if err == nil {
		return
	}
	for name := range settings {
		k := records.Key{Kind: records.Setting, Name: name}
		r.reject(k, revision, err)
		r.settingRejections[k] = r.rejected[k]
	}
}

func (r *Replica) reject(k records.Key, revision uint64, err error) {
	r.options.Log.Error().Stringer("key", k).Uint64("revision", revision).Err(err).Msg("record rejected")
	r.rejected[k] = distribution.Rejection{Server: r.options.Name, Key: k.String(), Revision: revision, Reason: err.Error()}
}

// applyAll checks all records and applies all settings, after a snapshot.
func (r *Replica) applyAll() {
	clear(r.rejected)
	all := records.Commit{Revision: r.set.Revision()}
	for record := range r.set.Table().All() {
		if record.Kind == records.Setting || r.options.CheckRecord != nil {
			all.Puts = append(all.Puts, records.Put{Key: record.Key, Value: record.Value})
		}
		if len(all.Puts) == records.MaxChangeKeys {
			r.applyCommit(all)
			all.Puts = all.Puts[:0]
		}
	}
	r.applyCommit(all)
}

// Adopt replaces all records with those of a snapshot.
func (r *Replica) Adopt(h records.Header, t *records.Table) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.set.ReplaceTable(t, h.Revision)
	r.applyAll()
	r.rewrite()
	r.options.Log.Info().Uint64("revision", h.Revision).Int("records", h.RecordCount).Int64("bytes", h.CompressedBytes).Msg("applied configuration from a snapshot")
	if r.options.OnSnapshot != nil {
		r.options.OnSnapshot(r.position())
	}
	return nil
}

// Discard deletes the stored records and the file. Applied settings stay in effect until a snapshot arrives.
func (r *Replica) Discard(reason error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.options.Log.Error().Err(reason).Msg("local configuration was never committed; discarding it and fetching a snapshot")
	r.set = records.NewSet(r.options.Limits)
	if r.file != nil {
		r.file.Close()
		r.file = nil
		os.Remove(r.options.Path)
	}
}

// Skip advances to the revision of a commit without applying it. Only the injected bug distribution.BugLostChange calls it.
func (r *Replica) Skip(c records.Commit) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.set.ReplaceTable(r.set.Table(), c.Revision)
	return nil
}

// Report returns the progress of this process.
func (r *Replica) Report() distribution.Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	report := distribution.Report{Servers: 1, LowestRevision: max(r.set.Revision(), r.earlyRevision), LowestServer: r.options.Name}
	if len(r.rejected) > 0 {
		report.ServersRejecting = 1
		for _, rejection := range r.rejected {
			report.Rejections = append(report.Rejections, rejection)
		}
		slices.SortFunc(report.Rejections, func(a, b distribution.Rejection) int { return strings.Compare(a.Key, b.Key) })
	}
	report.Clamp()
	if r.options.OnReport != nil && report.LowestRevision > r.reportedRevision {
		r.options.OnReport(report.LowestRevision)
	}
	r.reportedRevision = report.LowestRevision
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

// RetainedCommits returns the retained commits and the position before the first of them.
func (r *Replica) RetainedCommits() (start distribution.Position, commits []records.Commit) {
	r.mu.Lock()
	defer r.mu.Unlock()
	commits, err := r.set.CommitsSince(r.set.OldestRevision())
	if err != nil || len(commits) == 0 {
		return r.position(), nil
	}
	return distribution.Position{Revision: r.set.OldestRevision(), Digest: commits[0].Before}, slices.Clone(commits)
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
