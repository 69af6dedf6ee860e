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
	folderKey = "folder" // drawn when it was made
	lifeKey   = "life"   // how often it was opened
	joinedKey = "joined" // the position as of which it joined without a vote
	votesKey  = "votes"  // 1: it was given the vote since
	setKey    = "set"    // how often operators began the set anew
	nameKey   = "name"   // of the set
	soleKey   = "sole"   // 1: they did so with this folder, and nobody else has got a vote since
	marksKey  = "marks"  // what it remembers of other copies
)

const (
	setAside     = "aside-" // folders of what was set aside
	keepAside    = 2
	snapshotsDir = "snapshots"
)

// Draw draws a name that no other process or folder has.
func Draw() (string, error) {
	var b [8]byte
	_, err := crand.Read(b[:])
	return hex.EncodeToString(b[:]), err
}

// Folder is a copy's folder: its log, and what it tells of itself.
type Folder struct {
	*Log
	Dir  string
	Snap *raft.FileSnapshotStore

	mark        admit.DirectoryState
	votes, sole bool
}

// OpenFolder opens a copy's folder, or makes it; proc is drawn at the start of the process. Where a record or a snapshot is
// damaged the error is a Damage, and nothing in the folder was changed that tells of it.
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

const keepSnapshots = 2

// know reads what the folder tells of itself, and notes that it was opened once more.
func (f *Folder) know(proc string) error {
	at, err := checkSnapshots(f.Dir, f.Snap)
	if err != nil {
		return err
	}
	f.mark.ProcessID = proc
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
	f.mark.DirectoryID = string(name)
	if name, err = f.get(nameKey); err != nil && !errors.Is(err, ErrNotFound) {
		return err
	}
	f.mark.ClusterName = string(name)
	for key, into := range map[string]*uint64{lifeKey: &f.mark.OpenCount, joinedKey: &f.mark.JoinIndex, setKey: &f.mark.ClusterGeneration, "CurrentTerm": &f.mark.Term} {
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
	f.votes = f.mark.JoinIndex == 0 || votes == 1
	if f.mark.LastIndex, err = f.LastIndex(); err != nil {
		return err
	}
	f.mark.LastIndex = max(f.mark.LastIndex, at)
	f.mark.OpenCount++
	return f.putNumber(lifeKey, f.mark.OpenCount)
}

// Mark is what the folder had when it was opened.
func (f *Folder) Mark() admit.DirectoryState { return f.mark }

// Fresh tells whether raft never wrote anything to it.
func (f *Folder) Fresh() bool { return f.mark.LastIndex == 0 && f.mark.Term == 0 }

// Votes tells whether the copy may vote with it: it began with its set, or was given the vote since it joined.
func (f *Folder) Votes() bool { return f.votes }

// Join notes that the copy joined without a vote, as of a position, and in which set.
func (f *Folder) Join(m admit.DirectoryState) error {
	err := f.putAll(map[string][]byte{joinedKey: number(m.JoinIndex), setKey: number(m.ClusterGeneration), nameKey: []byte(m.ClusterName)})
	if err != nil {
		return err
	}
	f.mark.JoinIndex, f.mark.ClusterGeneration, f.mark.ClusterName, f.votes = m.JoinIndex, m.ClusterGeneration, m.ClusterName, false
	return nil
}

// Named notes the name of the set that is about to begin.
func (f *Folder) Named(name string) error {
	f.mark.ClusterName = name
	return f.put(nameKey, []byte(name))
}

// Sole tells whether operators began the set anew with this folder, and nobody else has got a vote since.
func (f *Folder) Sole() bool { return f.sole }

// Anew notes that operators begin a set with this folder: its own anew, or another under a new name.
func (f *Folder) Anew(name string) error {
	err := f.putAll(map[string][]byte{setKey: number(f.mark.ClusterGeneration + 1), soleKey: number(1), votesKey: number(1), nameKey: []byte(name)})
	if err != nil {
		return err
	}
	f.mark.ClusterGeneration++
	f.mark.ClusterName = name
	f.sole, f.votes = true, true
	return nil
}

// Shared notes that somebody else is about to get a vote.
func (f *Folder) Shared() error {
	if !f.sole {
		return nil
	}
	f.sole = false
	return f.putNumber(soleKey, 0)
}

// Voter notes that the copy was given the vote.
func (f *Folder) Voter() error { return f.putNumber(votesKey, 1) }

// Marks reads what the folder remembers of other copies.
func (f *Folder) Marks() (map[string]admit.DirectoryState, error) {
	b, err := f.get(marksKey)
	if errors.Is(err, ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	var m map[string]admit.DirectoryState
	return m, json.Unmarshal(b, &m)
}

// Remember writes it.
func (f *Folder) Remember(m map[string]admit.DirectoryState) error {
	b, err := json.Marshal(m)
	if err != nil {
		return err
	}
	return f.put(marksKey, b)
}

// checkSnapshots reads every snapshot, whose checksums the library looks at, and tells the position of the latest.
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
	for _, n := range names { // one whose own description can't be read is not listed
		if n.IsDir() && !strings.HasSuffix(n.Name(), ".tmp") && !slices.ContainsFunc(all, func(m *raft.SnapshotMeta) bool { return m.ID == n.Name() }) &&
			len(all) < keepSnapshots {
			return 0, &Damage{filepath.Join(dir, snapshotsDir, n.Name()), "the snapshot", "its description can't be read"}
		}
	}
	return last, nil
}

// SetAside moves what a folder holds into a folder of its own below it, as evidence, and tells where. The oldest beyond two
// are deleted.
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

// Report is what a look at a folder found, for operators.
type Report struct {
	Found
	Dir       string                          `json:"dir"`
	Format    int                             `json:"format"`
	Mark      admit.DirectoryState            `json:"mark"`
	Votes     bool                            `json:"votes"`
	Snapshots []Snapshot                      `json:"snapshots"`
	Remembers map[string]admit.DirectoryState `json:"remembers"` // of other copies
	Aside     []string                        `json:"aside,omitempty"`
	Damage    string                          `json:"damage,omitempty"`
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
	path := filepath.Join(dir, File)
	if _, err := os.Stat(path); err != nil {
		return r, fmt.Errorf("disk: %w", err)
	}
	asides, _ := filepath.Glob(filepath.Join(dir, setAside+"*"))
	r.Aside = asides
	damaged := func(err error) (Report, error) {
		if d := (*Damage)(nil); errors.As(err, &d) {
			r.Damage = d.Error()
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
		return r, fmt.Errorf("disk: %s has format %d, without checksums: it is taken over when a copy opens it", path, r.Format)
	}
	if r.Found, err = l.check(); err != nil {
		return damaged(err)
	}
	f := &Folder{Log: l}
	if name, err := l.get(folderKey); err == nil {
		r.Mark.DirectoryID = string(name)
	}
	r.Mark.OpenCount, _ = l.number(lifeKey)
	r.Mark.JoinIndex, _ = l.number(joinedKey)
	r.Mark.ClusterGeneration, _ = l.number(setKey)
	if name, err := l.get(nameKey); err == nil {
		r.Mark.ClusterName = string(name)
	}
	votes, _ := l.number(votesKey)
	r.Mark.Term, r.Mark.LastIndex, r.Votes = r.Found.Term, r.Found.Last, r.Mark.JoinIndex == 0 || votes == 1
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
	r.Mark.LastIndex = max(r.Mark.LastIndex, last)
	return r, nil
}

// Entries calls look for the entries of a folder from one position to another, as far as they are whole.
func Entries(dir string, from, to uint64, look func(*raft.Log)) error {
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
