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

// Keys of what a data directory records of itself and of its peers.
const (
	folderKey = "folder" // random id, drawn when the directory was created
	lifeKey   = "life"   // how often the directory was opened
	joinedKey = "joined" // log index as of which the replica joined as a non-voter
	votesKey  = "votes"  // 1: the replica became a voter since it joined
	setKey    = "set"    // how often operators recovered the cluster
	nameKey   = "name"   // of the cluster
	soleKey   = "sole"   // 1: operators recovered it with this directory, and it is still the only voter
	marksKey  = "marks"  // directory states of other replicas
)

const (
	setAside     = "aside-" // prefix of the quarantine directories
	keepAside    = 2        // quarantine directories
	snapshotsDir = "snapshots"
)

// Draw returns a random id, unique to one process, directory or cluster.
func Draw() (string, error) {
	var b [8]byte
	_, err := crand.Read(b[:])
	return hex.EncodeToString(b[:]), err
}

// Folder is a replica's data directory: its log, its snapshots and what it records of itself.
type Folder struct {
	*Log
	Dir  string
	Snap *raft.FileSnapshotStore

	mark        admit.Mark
	votes, sole bool
}

// OpenFolder opens a replica's data directory, or creates it; proc is the random id of the process. If a record or a snapshot is
// corrupt, the error is a Damage, and the evidence in the directory is unchanged.
func OpenFolder(dir, proc string, log io.Writer, o Options) (*Folder, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, fmt.Errorf("disk: %w", err)
	}
	snap, err := raft.NewFileSnapshotStore(dir, keepSnapshots, log)
	if err != nil {
		return nil, fmt.Errorf("disk: %w", err)
	}
	l, err := Open(dir, o)
	if err != nil {
		return nil, err
	}
	f := &Folder{Log: l, Dir: dir, Snap: snap}
	if err := f.know(proc); err != nil {
		l.db.Close()
		return nil, err
	}
	return f, nil
}

const keepSnapshots = 2 // per data directory

// know loads what the directory records of itself, and increments its open count.
func (f *Folder) know(proc string) error {
	at, err := checkSnapshots(f.Dir, f.Snap)
	if err != nil {
		return err
	}
	f.mark.Proc = proc
	name, err := f.get(folderKey)
	if errors.Is(err, ErrNotFound) {
		var drawn string
		if drawn, err = Draw(); err == nil {
			name, err = []byte(drawn), f.put(folderKey, []byte(drawn))
		}
	}
	if err != nil {
		return err
	}
	f.mark.Folder = string(name)
	if name, err = f.get(nameKey); err != nil && !errors.Is(err, ErrNotFound) {
		return err
	}
	f.mark.Name = string(name)
	for key, into := range map[string]*uint64{lifeKey: &f.mark.Life, joinedKey: &f.mark.Joined, setKey: &f.mark.Set, "CurrentTerm": &f.mark.Term} {
		if *into, err = f.number(key); err != nil {
			return err
		}
	}
	votes, err := f.number(votesKey)
	if err != nil {
		return err
	}
	sole, err := f.number(soleKey)
	if err != nil {
		return err
	}
	f.sole = sole == 1
	f.votes = f.mark.Joined == 0 || votes == 1
	if f.mark.Last, err = f.LastIndex(); err != nil {
		return err
	}
	f.mark.Last = max(f.mark.Last, at)
	f.mark.Life++
	return f.putNumber(lifeKey, f.mark.Life)
}

// Mark returns the state of the directory when it was opened.
func (f *Folder) Mark() admit.Mark { return f.mark }

// Fresh reports whether raft never wrote anything to the directory.
func (f *Folder) Fresh() bool { return f.mark.Last == 0 && f.mark.Term == 0 }

// Votes reports whether the replica may vote with this directory: it was there when the cluster was bootstrapped, or has become
// a voter since it joined.
func (f *Folder) Votes() bool { return f.votes }

// Join records that the replica joined a cluster as a non-voter, as of a log index.
func (f *Folder) Join(m admit.Mark) error {
	err := f.putAll(map[string][]byte{joinedKey: number(m.Joined), setKey: number(m.Set), nameKey: []byte(m.Name)})
	if err != nil {
		return err
	}
	f.mark.Joined, f.mark.Set, f.mark.Name, f.votes = m.Joined, m.Set, m.Name, false
	return nil
}

// Named records the name of the cluster that is about to be bootstrapped.
func (f *Folder) Named(name string) error {
	f.mark.Name = name
	return f.put(nameKey, []byte(name))
}

// Sole reports whether operators recovered the cluster with this directory and its replica is still the only voter.
func (f *Folder) Sole() bool { return f.sole }

// Anew records that operators start a cluster from this directory: they recover its own, or create one with a new name.
func (f *Folder) Anew(name string) error {
	err := f.putAll(map[string][]byte{setKey: number(f.mark.Set + 1), soleKey: number(1), votesKey: number(1), nameKey: []byte(name)})
	if err != nil {
		return err
	}
	f.mark.Set++
	f.mark.Name = name
	f.sole, f.votes = true, true
	return nil
}

// Shared records that another replica is about to become a voter.
func (f *Folder) Shared() error {
	if !f.sole {
		return nil
	}
	f.sole = false
	return f.putNumber(soleKey, 0)
}

// Voter records that the replica has become a voter.
func (f *Folder) Voter() error { return f.putNumber(votesKey, 1) }

// Marks reads the recorded directory states of other replicas.
func (f *Folder) Marks() (map[string]admit.Mark, error) {
	b, err := f.get(marksKey)
	if errors.Is(err, ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	var m map[string]admit.Mark
	return m, json.Unmarshal(b, &m)
}

// Remember records the directory states of other replicas.
func (f *Folder) Remember(m map[string]admit.Mark) error {
	b, err := json.Marshal(m)
	if err != nil {
		return err
	}
	return f.put(marksKey, b)
}

// checkSnapshots opens every snapshot, whereupon the raft library verifies its checksum, and returns the index of the latest.
func checkSnapshots(dir string, snap *raft.FileSnapshotStore) (last uint64, err error) {
	all, err := snap.List()
	if err != nil {
		return 0, err
	}
	for _, meta := range all {
		path := filepath.Join(dir, snapshotsDir, meta.ID)
		_, r, err := snap.Open(meta.ID)
		if err != nil {
			return 0, &Damage{path, "the snapshot", err.Error()}
		}
		r.Close()
		last = max(last, meta.Index)
	}
	names, err := os.ReadDir(filepath.Join(dir, snapshotsDir))
	if err != nil {
		return 0, err
	}
	for _, n := range names { // a snapshot with unreadable metadata is not listed
		if n.IsDir() && !strings.HasSuffix(n.Name(), ".tmp") && !slices.ContainsFunc(all, func(m *raft.SnapshotMeta) bool { return m.ID == n.Name() }) &&
			len(all) < keepSnapshots {
			return 0, &Damage{filepath.Join(dir, snapshotsDir, n.Name()), "the snapshot", "its metadata can't be read"}
		}
	}
	return last, nil
}

// SetAside quarantines the contents of a data directory: it moves them into a new subdirectory for later inspection, and returns
// its path. Only the two newest quarantine directories are kept.
func SetAside(dir string) (string, error) {
	names, err := os.ReadDir(dir)
	if err != nil {
		return "", err
	}
	var had []int
	for _, n := range names {
		if k, err := strconv.Atoi(strings.TrimPrefix(n.Name(), setAside)); err == nil && strings.HasPrefix(n.Name(), setAside) {
			had = append(had, k)
		}
	}
	slices.Sort(had)
	next := 1
	if len(had) > 0 {
		next = had[len(had)-1] + 1
	}
	to := filepath.Join(dir, setAside+strconv.Itoa(next))
	if err := os.Mkdir(to, 0o755); err != nil {
		return "", err
	}
	for _, name := range []string{File, snapshotsDir} {
		if err := os.Rename(filepath.Join(dir, name), filepath.Join(to, name)); err != nil && !errors.Is(err, os.ErrNotExist) {
			return "", err
		}
	}
	for len(had) >= keepAside {
		if err := os.RemoveAll(filepath.Join(dir, setAside+strconv.Itoa(had[0]))); err != nil {
			return "", err
		}
		had = had[1:]
	}
	return to, nil
}

// Report describes the contents of a data directory, for operators.
type Report struct {
	Found
	Dir         string                `json:"dir"`
	Format      int                   `json:"format"`
	Directory   admit.Mark            `json:"mark"`
	Voter       bool                  `json:"votes"`
	Snapshots   []Snapshot            `json:"snapshots"`
	Remembers   map[string]admit.Mark `json:"remembers"` // directory states of other replicas
	Quarantined []string              `json:"aside,omitempty"`
	Corruption  string                `json:"damage,omitempty"`
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
	path := filepath.Join(dir, File)
	if _, err := os.Stat(path); err != nil {
		return r, fmt.Errorf("disk: %w", err)
	}
	asides, _ := filepath.Glob(filepath.Join(dir, setAside+"*"))
	r.Quarantined = asides
	damaged := func(err error) (Report, error) {
		if d := (*Damage)(nil); errors.As(err, &d) {
			r.Corruption = d.Error()
			return r, nil
		}
		return r, err
	}
	l := &Log{path: path}
	if err := l.open(true); err != nil {
		return damaged(err)
	}
	defer l.db.Close()
	if r.Format, err = l.format(); err != nil {
		return damaged(err)
	}
	if r.Format < Format {
		return r, fmt.Errorf("disk: %s has format %d, without checksums: it is migrated when a replica opens it", path, r.Format)
	}
	if r.Found, err = l.check(); err != nil {
		return damaged(err)
	}
	f := &Folder{Log: l}
	if name, err := l.get(folderKey); err == nil {
		r.Directory.Folder = string(name)
	}
	r.Directory.Life, _ = l.number(lifeKey)
	r.Directory.Joined, _ = l.number(joinedKey)
	r.Directory.Set, _ = l.number(setKey)
	if name, err := l.get(nameKey); err == nil {
		r.Directory.Name = string(name)
	}
	votes, _ := l.number(votesKey)
	r.Directory.Term, r.Directory.Last, r.Voter = r.Found.Term, r.Found.LastIndex, r.Directory.Joined == 0 || votes == 1
	if r.Remembers, err = f.Marks(); err != nil {
		return damaged(err)
	}
	if _, err := os.Stat(filepath.Join(dir, snapshotsDir)); err != nil {
		return r, nil
	}
	snap, err := raft.NewFileSnapshotStore(dir, keepSnapshots, io.Discard)
	if err != nil {
		return r, err
	}
	all, err := snap.List()
	if err != nil {
		return r, err
	}
	for _, m := range all {
		r.Snapshots = append(r.Snapshots, Snapshot{m.ID, m.Index, m.Term, m.Size})
	}
	last, err := checkSnapshots(dir, snap)
	if err != nil {
		return damaged(err)
	}
	r.Directory.Last = max(r.Directory.Last, last)
	return r, nil
}

// ReadEntries calls look for the entries of a data directory from index from to index to, and stops at the first corrupt one.
func ReadEntries(dir string, from, to uint64, look func(*raft.Log)) error {
	l := &Log{path: filepath.Join(dir, File)}
	if _, err := os.Stat(l.path); err != nil {
		return fmt.Errorf("disk: %w", err)
	}
	if err := l.open(true); err != nil {
		return err
	}
	defer l.db.Close()
	return guard(l.path, "the file", func() error {
		return l.db.View(func(tx *bbolt.Tx) error {
			c := tx.Bucket(logs).Cursor()
			for k, v := c.Seek(number(from)); len(k) == 8 && binary.BigEndian.Uint64(k) <= to; k, v = c.Next() {
				var e raft.Log
				if err := l.decode(k, v, &e); err != nil {
					return err
				}
				look(&e)
			}
			return nil
		})
	})
}
