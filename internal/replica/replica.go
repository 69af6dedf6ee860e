// Package replica is one process's copy of the configuration: it takes commits and snapshots from a watch, keeps them on the
// process's own disk, and puts them into force. Relays and order servers use it alike.
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
	maxCommitBytes   = 8 << 20 // bytes of commits behind the snapshot in the file
	earlyReportDelay = 300 * time.Millisecond
)

// Options set up a replica.
type Options struct {
	Name   string
	Path   string         // of the copy on the disk; "": none is kept
	Limits records.Limits // of the commits that are remembered; relays serve their watchers from them

	// CheckRecord tells whether a record can be put into force; nil: all can.
	CheckRecord func(records.Put) error
	// ApplySettings puts settings into force, each with its value, nil where it was deleted. An error leaves those before in force, and is
	// reported until settings that fit come; nil: nothing is to be done.
	ApplySettings func(settings map[string][]byte) error

	// OnCommit is called for each commit once it is in force, and Adopted once a snapshot is; nil: nobody asks.
	OnCommit   func(records.Commit)
	OnSnapshot func(at distribution.Position)
	// OnReport is called with each revision that is reported for the first time; nil: nobody asks.
	OnReport func(revision uint64)

	Log         zerolog.Logger
	InjectedBug string // a planted bug, for the laboratory; "": none
}

// Replica is the copy. It is a configwatch.Replica.
type Replica struct {
	options Options

	mu                sync.Mutex
	set               *records.Set
	file              *recordfile.File
	rejected          map[records.Key]distribution.Rejection
	settingRejections map[records.Key]distribution.Rejection // those of them that the last Use made
	earlyRevision     uint64                                 // the planted bug reports this
	reportedRevision  uint64
}

// Open reads the copy on the disk, if there is any. A spoilt one is thrown away.
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
		r.options.Log.Error().Err(err).Msg("the copy of the configuration on the disk is thrown away; it is fetched anew")
		r.set = records.NewSet(o.Limits)
		if err := os.Remove(o.Path); err != nil && !errors.Is(err, fs.ErrNotExist) {
			r.options.Log.Error().Err(err).Msg("it could not be removed")
		}
	}
	if r.file == nil {
		r.rewrite()
	}
	return r
}

// load takes what a file holds, and begins a new one with it.
func (r *Replica) load(c *recordfile.Content) error {
	r.set.ReplaceTable(c.Table, c.Revision)
	for _, commit := range c.Commits {
		if err := r.set.ApplyCommit(commit); err != nil {
			return fmt.Errorf("%w: %v", recordfile.ErrCorrupt, err)
		}
	}
	r.applyAll()
	r.options.Log.Info().Uint64("revision", r.set.Revision()).Int("records", r.set.Table().Len()).Int("commits", len(c.Commits)).
		Msg("configuration from the disk is in force")
	var err error
	r.file, err = recordfile.Reopen(r.options.Path, c)
	return err
}

// rewrite writes the file anew. Where that fails the process goes on without one.
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
		r.options.Log.Error().Err(err).Msg("no copy of the configuration is kept on the disk")
	}
}

// Position is how far the replica is.
func (r *Replica) Position() distribution.Position {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.position()
}

func (r *Replica) position() distribution.Position {
	return distribution.Position{Revision: r.set.Revision(), Digest: r.set.Digest()}
}

// KeepsRecords is true.
func (r *Replica) KeepsRecords() bool { return true }

// Follow takes the next commit and puts it into force.
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
		r.options.Log.Error().Err(err).Msg("no copy of the configuration is kept on the disk")
		r.file.Close()
		r.file = nil
		return
	}
	if r.file.CommitBytes() > maxCommitBytes {
		r.rewrite()
	}
}

// applyCommit checks the records of a commit and puts its settings into force. A record that the check refuses is held, since all hold
// the same, but not put into force, and is reported until another takes its place.
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

// applySettings puts settings into force, all together.
func (r *Replica) applySettings(settings map[string][]byte, revision uint64) {
	if len(settings) == 0 || r.options.ApplySettings == nil {
		return
	}
	for k, previous := range r.settingRejections {
		if r.rejected[k] == previous { // the check may have refused another value meanwhile
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
	r.options.Log.Error().Stringer("key", k).Uint64("revision", revision).Err(err).Msg("a record is not put into force")
	r.rejected[k] = distribution.Rejection{Server: r.options.Name, Key: k.String(), Revision: revision, Reason: err.Error()}
}

// applyAll checks all records and puts all settings into force, after a snapshot.
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

// Adopt takes the records of a snapshot in place of all that is held.
func (r *Replica) Adopt(h records.Header, t *records.Table) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.set.ReplaceTable(t, h.Revision)
	r.applyAll()
	r.rewrite()
	r.options.Log.Info().Uint64("revision", h.Revision).Int("records", h.RecordCount).Int64("bytes", h.CompressedBytes).Msg("configuration from a snapshot is in force")
	if r.options.OnSnapshot != nil {
		r.options.OnSnapshot(r.position())
	}
	return nil
}

// Discard throws away what is held. What is in force stays so until a snapshot comes.
func (r *Replica) Discard(reason error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.options.Log.Error().Err(reason).Msg("the configuration that is held was never agreed on; it is fetched anew")
	r.set = records.NewSet(r.options.Limits)
	if r.file != nil {
		r.file.Close()
		r.file = nil
		os.Remove(r.options.Path)
	}
}

// Skip counts a commit and does not carry it out: the planted bug of the laboratory.
func (r *Replica) Skip(c records.Commit) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.set.ReplaceTable(r.set.Table(), c.Revision)
	return nil
}

// Report tells how far this process is.
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

// Get finds a record that is held.
func (r *Replica) Get(k records.Key) (value []byte, revision uint64, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.set.Table().Get(k)
}

// Table is a copy of the records that nobody changes, and its revision: the source of a relay's snapshots.
func (r *Replica) Table() (*records.Table, uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.set.Table().Clone(), r.set.Revision()
}

// RetainedCommits lists the commits that are remembered, and the position before the first.
func (r *Replica) RetainedCommits() (start distribution.Position, commits []records.Commit) {
	r.mu.Lock()
	defer r.mu.Unlock()
	commits, err := r.set.CommitsSince(r.set.OldestRevision())
	if err != nil || len(commits) == 0 {
		return r.position(), nil
	}
	return distribution.Position{Revision: r.set.OldestRevision(), Digest: commits[0].Before}, slices.Clone(commits)
}

// RecordCount counts the records that are held.
func (r *Replica) RecordCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.set.Table().Len()
}

// Close ends the keeping on the disk; the file stays.
func (r *Replica) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.file != nil {
		r.file.Close()
		r.file = nil
	}
}
