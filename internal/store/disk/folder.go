package disk

import (
	crand "crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"github.com/hashicorp/raft"
	"go.etcd.io/bbolt"

	"puffinsaddle/internal/admit"
)

// What a folder tells of itself.
const (
	directoryIDKey       = "folder" // drawn when it was made
	openCountKey         = "life"   // how often it was opened
	joinIndexKey         = "joined" // the position as of which it joined without a vote
	voterKey             = "votes"  // 1: it was given the vote since
	clusterGenerationKey = "set"    // how often operators began the set anew
	clusterNameKey       = "name"   // of the set
	soleVoterKey         = "sole"   // 1: they did so with this folder, and nobody else has got a vote since
	peerDirectoriesKey   = "marks"  // what it remembers of other copies
)

const (
	quarantinePrefix = "aside-" // folders of what was set aside
	maxQuarantined   = 2
	snapshotsDir     = "snapshots"
)

// NewRandomID draws a name that no other process or folder has.
func NewRandomID() (string, error) {
	var b [8]byte
	_, err := crand.Read(b[:])
	return hex.EncodeToString(b[:]), err
}

// Directory is a copy's folder: its log, and what it tells of itself.
type Directory struct {
	*Log
	Path      string
	Snapshots *raft.FileSnapshotStore

	state            admit.DirectoryState
	voter, soleVoter bool
}

// OpenDirectory opens a copy's folder, or makes it; proc is drawn at the start of the process. Where a record or a snapshot is
// damaged the error is a Damage, and nothing in the folder was changed that tells of it.
func OpenDirectory(dir, processID string, log io.Writer, o Options) (*Directory, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, fmt.Errorf("disk: %w", err)
	}
	snapshots, err := raft.NewFileSnapshotStore(dir, maxSnapshots, log)
	if err != nil {
		return nil, fmt.Errorf("disk: %w", err)
	}
	l, err := Open(dir, o)
	if err != nil {
		return nil, err
	}
	f := &Directory{Log: l, Path: dir, Snapshots: snapshots}
	if err := f.load(processID); err != nil {
		l.db.Close()
		return nil, err
	}
	return f, nil
}

const maxSnapshots = 2

// load reads what the folder tells of itself, and notes that it was opened once more.
func (f *Directory) load(processID string) error {
	snapshotIndex, err := checkSnapshots(f.Path, f.Snapshots)
	if err != nil {
		return err
	}
	f.state.ProcessID = processID
	name, err := f.readValue(directoryIDKey)
	if errors.Is(err, ErrNotFound) {
		var id string
		if id, err = NewRandomID(); err == nil {
			name, err = []byte(id), f.storeValue(directoryIDKey, []byte(id))
		}
	}
	if err != nil {
		return err
	}
	f.state.DirectoryID = string(name)
	if name, err = f.readValue(clusterNameKey); err != nil && !errors.Is(err, ErrNotFound) {
		return err
	}
	f.state.ClusterName = string(name)
	for key, target := range map[string]*uint64{openCountKey: &f.state.OpenCount, joinIndexKey: &f.state.JoinIndex, clusterGenerationKey: &f.state.ClusterGeneration, "CurrentTerm": &f.state.Term} {
		if *target, err = f.readUint64(key); err != nil {
			return err
		}
	}
	voter, err := f.readUint64(voterKey)
	if err != nil {
		return err
	}
	soleVoter, err := f.readUint64(soleVoterKey)
	if err != nil {
		return err
	}
	f.soleVoter = soleVoter == 1
	f.voter = f.state.JoinIndex == 0 || voter == 1
	if f.state.LastIndex, err = f.LastIndex(); err != nil {
		return err
	}
	f.state.LastIndex = max(f.state.LastIndex, snapshotIndex)
	f.state.OpenCount++
	return f.storeUint64(openCountKey, f.state.OpenCount)
}

// State is what the folder had when it was opened.
func (f *Directory) State() admit.DirectoryState { return f.state }

// Empty tells whether raft never wrote anything to it.
func (f *Directory) Empty() bool { return f.state.LastIndex == 0 && f.state.Term == 0 }

// IsVoter tells whether the copy may vote with it: it began with its set, or was given the vote since it joined.
func (f *Directory) IsVoter() bool { return f.voter }

// RecordJoin notes that the copy joined without a vote, as of a position, and in which set.
func (f *Directory) RecordJoin(m admit.DirectoryState) error {
	err := f.storeValues(map[string][]byte{joinIndexKey: encodeUint64(m.JoinIndex), clusterGenerationKey: encodeUint64(m.ClusterGeneration), clusterNameKey: []byte(m.ClusterName)})
	if err != nil {
		return err
	}
	f.state.JoinIndex, f.state.ClusterGeneration, f.state.ClusterName, f.voter = m.JoinIndex, m.ClusterGeneration, m.ClusterName, false
	return nil
}

// RecordClusterName notes the name of the set that is about to begin.
func (f *Directory) RecordClusterName(name string) error {
	f.state.ClusterName = name
	return f.storeValue(clusterNameKey, []byte(name))
}

// SoleVoter tells whether operators began the set anew with this folder, and nobody else has got a vote since.
func (f *Directory) SoleVoter() bool { return f.soleVoter }

// RecordNewCluster notes that operators begin a set with this folder: its own anew, or another under a new name.
func (f *Directory) RecordNewCluster(name string) error {
	err := f.storeValues(map[string][]byte{clusterGenerationKey: encodeUint64(f.state.ClusterGeneration + 1), soleVoterKey: encodeUint64(1), voterKey: encodeUint64(1), clusterNameKey: []byte(name)})
	if err != nil {
		return err
	}
	f.state.ClusterGeneration++
	f.state.ClusterName = name
	f.soleVoter, f.voter = true, true
	return nil
}

// RecordSecondVoter notes that somebody else is about to get a vote.
func (f *Directory) RecordSecondVoter() error {
	if !f.soleVoter {
		return nil
	}
	f.soleVoter = false
	return f.storeUint64(soleVoterKey, 0)
}

// RecordVoter notes that the copy was given the vote.
func (f *Directory) RecordVoter() error { return f.storeUint64(voterKey, 1) }

// PeerDirectories reads what the folder remembers of other copies.
func (f *Directory) PeerDirectories() (map[string]admit.DirectoryState, error) {
	b, err := f.readValue(peerDirectoriesKey)
	if errors.Is(err, ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	var m map[string]admit.DirectoryState
	return m, json.Unmarshal(b, &m)
}

// RecordPeerDirectories writes it.
func (f *Directory) RecordPeerDirectories(m map[string]admit.DirectoryState) error {
	b, err := json.Marshal(m)
	if err != nil {
		return err
	}
	return f.storeValue(peerDirectoriesKey, b)
}

// checkSnapshots reads every snapshot, whose checksums the library looks at, and tells the position of the latest.
func checkSnapshots(dir string, snapshots *raft.FileSnapshotStore) (lastIndex uint64, err error) {
	listed, err := snapshots.List()
	if err != nil {
		return 0, err
	}
	for _, meta := range listed {
		path := filepath.Join(dir, snapshotsDir, meta.ID)
		_, r, err := snapshots.Open(meta.ID)
		if err != nil {
			return 0, &CorruptionError{path, "the snapshot", err.Error()}
		}
		r.Close()
		lastIndex = max(lastIndex, meta.Index)
	}
	names, err := os.ReadDir(filepath.Join(dir, snapshotsDir))
	if err != nil {
		return 0, err
	}
	for _, n := range names { // one whose own description can't be read is not listed
		if n.IsDir() && !strings.HasSuffix(n.Name(), ".tmp") && !slices.ContainsFunc(listed, func(m *raft.SnapshotMeta) bool { return m.ID == n.Name() }) &&
			len(listed) < maxSnapshots {
			return 0, &CorruptionError{filepath.Join(dir, snapshotsDir, n.Name()), "the snapshot", "its description can't be read"}
		}
	}
	return lastIndex, nil
}

// Quarantine moves what a folder holds into a folder of its own below it, as evidence, and tells where. The oldest beyond two
// are deleted.
func Quarantine(dir string) (string, error) {
	names, err := os.ReadDir(dir)
	if err != nil {
		return "", err
	}
	var generations []int
	for _, n := range names {
		if generation, err := strconv.Atoi(strings.TrimPrefix(n.Name(), quarantinePrefix)); err == nil && strings.HasPrefix(n.Name(), quarantinePrefix) {
			generations = append(generations, generation)
		}
	}
	slices.Sort(generations)
	next := 1
	if len(generations) > 0 {
		next = generations[len(generations)-1] + 1
	}
	target := filepath.Join(dir, quarantinePrefix+strconv.Itoa(next))
	if err := os.Mkdir(target, 0o755); err != nil {
		return "", err
	}
	for _, name := range []string{FileName, snapshotsDir} {
		if err := os.Rename(filepath.Join(dir, name), filepath.Join(target, name)); err != nil && !errors.Is(err, os.ErrNotExist) {
			return "", err
		}
	}
	for len(generations) >= maxQuarantined {
		if err := os.RemoveAll(filepath.Join(dir, quarantinePrefix+strconv.Itoa(generations[0]))); err != nil {
			return "", err
		}
		generations = generations[1:]
	}
	return target, nil
}

// Report is what a look at a folder found, for operators.
type Report struct {
	LogSummary
	Dir             string                          `json:"dir"`
	Format          int                             `json:"format"`
	Directory       admit.DirectoryState            `json:"mark"`
	Voter           bool                            `json:"votes"`
	Snapshots       []Snapshot                      `json:"snapshots"`
	PeerDirectories map[string]admit.DirectoryState `json:"remembers"` // of other copies
	Quarantined     []string                        `json:"aside,omitempty"`
	Corruption      string                          `json:"damage,omitempty"`
}

// Snapshot is one of a folder's.
type Snapshot struct {
	ID    string `json:"id"`
	Index uint64 `json:"index"`
	Term  uint64 `json:"term"`
	Bytes int64  `json:"bytes"`
}

// Verify looks at all records of a folder that no process has open, and changes nothing. The error is one of reading the
// folder at all; what is damaged stands in the report.
func Verify(dir string) (r Report, err error) {
	r.Dir = dir
	path := filepath.Join(dir, FileName)
	if _, err := os.Stat(path); err != nil {
		return r, fmt.Errorf("disk: %w", err)
	}
	quarantined, _ := filepath.Glob(filepath.Join(dir, quarantinePrefix+"*"))
	r.Quarantined = quarantined
	corrupt := func(err error) (Report, error) {
		if d := (*CorruptionError)(nil); errors.As(err, &d) {
			r.Corruption = d.Error()
			return r, nil
		}
		return r, err
	}
	l := &Log{path: path}
	if err := l.open(true); err != nil {
		return corrupt(err)
	}
	defer l.db.Close()
	if r.Format, err = l.readFormat(); err != nil {
		return corrupt(err)
	}
	if r.Format < FormatVersion {
		return r, fmt.Errorf("disk: %s has format %d, without checksums: it is taken over when a copy opens it", path, r.Format)
	}
	if r.LogSummary, err = l.verifyRecords(); err != nil {
		return corrupt(err)
	}
	f := &Directory{Log: l}
	if name, err := l.readValue(directoryIDKey); err == nil {
		r.Directory.DirectoryID = string(name)
	}
	r.Directory.OpenCount, _ = l.readUint64(openCountKey)
	r.Directory.JoinIndex, _ = l.readUint64(joinIndexKey)
	r.Directory.ClusterGeneration, _ = l.readUint64(clusterGenerationKey)
	if name, err := l.readValue(clusterNameKey); err == nil {
		r.Directory.ClusterName = string(name)
	}
	voter, _ := l.readUint64(voterKey)
	r.Directory.Term, r.Directory.LastIndex, r.Voter = r.LogSummary.Term, r.LogSummary.LastIndex, r.Directory.JoinIndex == 0 || voter == 1
	if r.PeerDirectories, err = f.PeerDirectories(); err != nil {
		return corrupt(err)
	}
	if _, err := os.Stat(filepath.Join(dir, snapshotsDir)); err != nil {
		return r, nil
	}
	snapshots, err := raft.NewFileSnapshotStore(dir, maxSnapshots, io.Discard)
	if err != nil {
		return r, err
	}
	listed, err := snapshots.List()
	if err != nil {
		return r, err
	}
	for _, m := range listed {
		r.Snapshots = append(r.Snapshots, Snapshot{m.ID, m.Index, m.Term, m.Size})
	}
	snapshotIndex, err := checkSnapshots(dir, snapshots)
	if err != nil {
		return corrupt(err)
	}
	r.Directory.LastIndex = max(r.Directory.LastIndex, snapshotIndex)
	return r, nil
}

// ReadEntries calls look for the entries of a folder from one position to another, as far as they are whole.
func ReadEntries(dir string, from, to uint64, visit func(*raft.Log)) error {
	l := &Log{path: filepath.Join(dir, FileName)}
	if _, err := os.Stat(l.path); err != nil {
		return fmt.Errorf("disk: %w", err)
	}
	if err := l.open(true); err != nil {
		return err
	}
	defer l.db.Close()
	return recoverCorruption(l.path, "the file", func() error {
		return l.db.View(func(tx *bbolt.Tx) error {
			c := tx.Bucket(logsBucket).Cursor()
			for k, v := c.Seek(encodeUint64(from)); len(k) == 8 && binary.BigEndian.Uint64(k) <= to; k, v = c.Next() {
				var e raft.Log
				if err := l.decodeEntry(k, v, &e); err != nil {
					return err
				}
				visit(&e)
			}
			return nil
		})
	})
}
