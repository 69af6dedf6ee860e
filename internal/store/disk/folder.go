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

	"puffinsaddle/internal/rejoin"
)

// Keys of the values in which a data directory describes itself and the directories of its peers.
const (
	directoryIDKey       = "folder" // random id, drawn when the directory was created
	openCountKey         = "life"   // how often the directory was opened
	joinIndexKey         = "joined" // log index as of which the replica joined as a non-voter
	voterKey             = "votes"  // 1: the replica became a voter since it joined
	clusterGenerationKey = "set"    // how often operators recovered the cluster
	clusterNameKey       = "name"
	soleVoterKey         = "sole"  // 1: operators recovered it with this directory, and it is still the only voter
	peerDirectoriesKey   = "marks" // directory states of other replicas
)

const (
	quarantinePrefix = "aside-" // prefix of the quarantine directories
	maxQuarantined   = 2        // maximum number of quarantine directories
	snapshotsDir     = "snapshots"
)

// NewRandomID returns a random id, unique to one process, directory or cluster.
func NewRandomID() (string, error) {
	var b [8]byte
	_, err := crand.Read(b[:])
	return hex.EncodeToString(b[:]), err
}

// Directory is a replica's data directory: its log, its snapshots and the values that describe it.
type Directory struct {
	*Log
	Path      string
	Snapshots *raft.FileSnapshotStore

	state            rejoin.DirectoryState
	voter, soleVoter bool
}

// OpenDirectory opens a replica's data directory, or creates it; processID is the random id of the process. If a record or a
// snapshot is corrupt, the error is a CorruptionError, and the corrupt data is left unchanged for inspection.
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
	d := &Directory{Log: l, Path: dir, Snapshots: snapshots}
	if err := d.load(processID); err != nil {
		l.db.Close()
		return nil, err
	}
	return d, nil
}

const maxSnapshots = 2 // maximum number of snapshots in a data directory

// load reads the values that describe the directory, and increments its open count.
func (d *Directory) load(processID string) error {
	snapshotIndex, err := checkSnapshots(d.Path, d.Snapshots)
	if err != nil {
		return err
	}
	d.state.ProcessID = processID
	name, err := d.readValue(directoryIDKey)
	if errors.Is(err, ErrNotFound) {
		var id string
		if id, err = NewRandomID(); err == nil {
			name, err = []byte(id), d.storeValue(directoryIDKey, []byte(id))
		}
	}
	if err != nil {
		return err
	}
	d.state.DirectoryID = string(name)
	if name, err = d.readValue(clusterNameKey); err != nil && !errors.Is(err, ErrNotFound) {
		return err
	}
	d.state.ClusterName = string(name)
	for key, target := range map[string]*uint64{openCountKey: &d.state.OpenCount, joinIndexKey: &d.state.JoinIndex, clusterGenerationKey: &d.state.ClusterGeneration, "CurrentTerm": &d.state.Term} {
		if *target, err = d.readUint64(key); err != nil {
			return err
		}
	}
	voter, err := d.readUint64(voterKey)
	if err != nil {
		return err
	}
	soleVoter, err := d.readUint64(soleVoterKey)
	if err != nil {
		return err
	}
	d.soleVoter = soleVoter == 1
	d.voter = d.state.JoinIndex == 0 || voter == 1
	if d.state.LastIndex, err = d.LastIndex(); err != nil {
		return err
	}
	d.state.LastIndex = max(d.state.LastIndex, snapshotIndex)
	d.state.OpenCount++
	return d.storeUint64(openCountKey, d.state.OpenCount)
}

// State returns the state of the directory when it was opened.
func (d *Directory) State() rejoin.DirectoryState { return d.state }

// Empty reports whether raft never wrote anything to the directory.
func (d *Directory) Empty() bool { return d.state.LastIndex == 0 && d.state.Term == 0 }

// IsVoter reports whether the replica may vote with this directory: it took part when the cluster was bootstrapped, or has become
// a voter since it joined.
func (d *Directory) IsVoter() bool { return d.voter }

// RecordJoin records that the replica joined a cluster as a non-voter, as of a log index.
func (d *Directory) RecordJoin(m rejoin.DirectoryState) error {
	err := d.storeValues(map[string][]byte{joinIndexKey: encodeUint64(m.JoinIndex), clusterGenerationKey: encodeUint64(m.ClusterGeneration), clusterNameKey: []byte(m.ClusterName)})
	if err != nil {
		return err
	}
	d.state.JoinIndex, d.state.ClusterGeneration, d.state.ClusterName, d.voter = m.JoinIndex, m.ClusterGeneration, m.ClusterName, false
	return nil
}

// RecordClusterName records the name of the cluster that is about to be bootstrapped.
func (d *Directory) RecordClusterName(name string) error {
	d.state.ClusterName = name
	return d.storeValue(clusterNameKey, []byte(name))
}

// SoleVoter reports whether operators recovered the cluster with this directory and its replica is still the only voter.
func (d *Directory) SoleVoter() bool { return d.soleVoter }

// RecordNewCluster records that operators start a cluster from this directory: they recover its own, or create one with a new
// name.
func (d *Directory) RecordNewCluster(name string) error {
	err := d.storeValues(map[string][]byte{clusterGenerationKey: encodeUint64(d.state.ClusterGeneration + 1), soleVoterKey: encodeUint64(1), voterKey: encodeUint64(1), clusterNameKey: []byte(name)})
	if err != nil {
		return err
	}
	d.state.ClusterGeneration++
	d.state.ClusterName = name
	d.soleVoter, d.voter = true, true
	return nil
}

// RecordSecondVoter records that another replica is about to become a voter.
func (d *Directory) RecordSecondVoter() error {
	if !d.soleVoter {
		return nil
	}
	d.soleVoter = false
	return d.storeUint64(soleVoterKey, 0)
}

// RecordVoter records that the replica has become a voter.
func (d *Directory) RecordVoter() error { return d.storeUint64(voterKey, 1) }

// PeerDirectories reads the recorded directory states of other replicas.
func (d *Directory) PeerDirectories() (map[string]rejoin.DirectoryState, error) {
	b, err := d.readValue(peerDirectoriesKey)
	if errors.Is(err, ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	var m map[string]rejoin.DirectoryState
	return m, json.Unmarshal(b, &m)
}

// RecordPeerDirectories records the directory states of other replicas.
func (d *Directory) RecordPeerDirectories(m map[string]rejoin.DirectoryState) error {
	b, err := json.Marshal(m)
	if err != nil {
		return err
	}
	return d.storeValue(peerDirectoriesKey, b)
}

// checkSnapshots opens every snapshot, whereupon the raft library verifies its checksum, and returns the index of the latest.
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
	for _, n := range names { // a snapshot with unreadable metadata is not listed
		if n.IsDir() && !strings.HasSuffix(n.Name(), ".tmp") && !slices.ContainsFunc(listed, func(m *raft.SnapshotMeta) bool { return m.ID == n.Name() }) &&
			len(listed) < maxSnapshots {
			return 0, &CorruptionError{filepath.Join(dir, snapshotsDir, n.Name()), "the snapshot", "its metadata cannot be read"}
		}
	}
	return lastIndex, nil
}

// Quarantine moves the contents of a data directory into a new subdirectory for later inspection, and returns its path. Only the
// two newest quarantine directories are kept.
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

// Report describes the contents of a data directory, for operators.
type Report struct {
	LogSummary
	Dir             string                           `json:"dir"`
	Format          int                              `json:"format"`
	Directory       rejoin.DirectoryState            `json:"mark"`
	Voter           bool                             `json:"votes"`
	Snapshots       []Snapshot                       `json:"snapshots"`
	PeerDirectories map[string]rejoin.DirectoryState `json:"remembers"` // directory states of other replicas
	Quarantined     []string                         `json:"aside,omitempty"`
	Corruption      string                           `json:"damage,omitempty"`
}

// Snapshot describes one snapshot in a data directory.
type Snapshot struct {
	ID    string `json:"id"`
	Index uint64 `json:"index"`
	Term  uint64 `json:"term"`
	Bytes int64  `json:"bytes"`
}

// Verify checks all records and snapshots of a data directory that no process has open, and modifies nothing. Corruption is
// described in the report; an error means that the directory could not be checked.
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
		return r, fmt.Errorf("disk: %s has format %d, without checksums: it is migrated when a replica opens it", path, r.Format)
	}
	if r.LogSummary, err = l.verifyRecords(); err != nil {
		return corrupt(err)
	}
	directory := &Directory{Log: l}
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
	if r.PeerDirectories, err = directory.PeerDirectories(); err != nil {
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

// ReadEntries calls visit for the entries of a data directory from index from to index to, and stops at the first corrupt one.
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
