package recordfile

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"testing"

	"puffinsaddle/internal/records"
)

// written is a file with a snapshot of some records and commits behind it.
type written struct {
	path    string
	set     *records.Set
	commits []records.Commit
	digests []records.Digest // after the snapshot, and after each commit
	ends    []int64          // of the file after each of them
}

func write(t *testing.T, commits int) *written {
	t.Helper()
	w := &written{path: filepath.Join(t.TempDir(), "below", "records"), set: records.NewSet(records.DefaultLimits)}
	for i := range 5 {
		w.change(t, i)
	}
	snapshot, err := records.NewSnapshot(w.set.Table(), w.set.Revision())
	if err != nil {
		t.Fatal(err)
	}
	f, err := Write(w.path, snapshot)
	if err != nil {
		t.Fatal(err)
	}
	w.note(t)
	for i := range commits {
		w.append(t, f, i)
	}
	if err := f.Close(); err != nil {
		t.Fatal(err)
	}
	return w
}

func (w *written) change(t *testing.T, i int) records.Commit {
	t.Helper()
	c, err := w.set.Apply(records.Change{Puts: []records.Put{{Key: records.Key{Kind: records.Tenant, Name: fmt.Sprintf("t-%d", i%7)}, Value: fmt.Append(nil, w.set.Revision())}}})
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func (w *written) append(t *testing.T, f *File, i int) {
	t.Helper()
	c := w.change(t, i)
	if err := f.Append(c); err != nil {
		t.Fatal(err)
	}
	w.commits = append(w.commits, c)
	w.note(t)
}

func (w *written) note(t *testing.T) {
	t.Helper()
	info, err := os.Stat(w.path)
	if err != nil {
		t.Fatal(err)
	}
	w.digests, w.ends = append(w.digests, w.set.Digest()), append(w.ends, info.Size())
}

// holds checks that what was read is the snapshot and the first n commits.
func (w *written) holds(t *testing.T, c *Content, n int) {
	t.Helper()
	set := records.NewSet(records.DefaultLimits)
	set.Adopt(c.Table, c.Revision)
	if len(c.Commits) != n {
		t.Errorf("%d commits, %d are wanted", len(c.Commits), n)
		return
	}
	for _, commit := range c.Commits {
		if err := set.Follow(commit); err != nil {
			t.Error(err)
		}
	}
	if set.Digest() != w.digests[n] {
		t.Errorf("other records than were written, with %d commits", n)
	}
}

// A file that is cut off anywhere behind its snapshot holds what was whole; one whose snapshot is cut is of no use.
func TestFileThatIsCutOff(t *testing.T) {
	w := write(t, 4)
	whole, err := os.ReadFile(w.path)
	if err != nil {
		t.Fatal(err)
	}
	for size := range len(whole) + 1 {
		if err := os.WriteFile(w.path, whole[:size], 0o600); err != nil {
			t.Fatal(err)
		}
		c, err := Read(w.path)
		if int64(size) < w.ends[0] {
			if !errors.Is(err, ErrSpoilt) {
				t.Errorf("%d bytes of the snapshot's %d: %v", size, w.ends[0], err)
			}
			continue
		}
		if err != nil {
			t.Errorf("%d bytes: %v", size, err)
			continue
		}
		n := 0
		for n+1 < len(w.ends) && w.ends[n+1] <= int64(size) {
			n++
		}
		w.holds(t, c, n)
	}
}

// No byte that was changed is read as something else: the file is of no use, or ends before the change.
func TestFileWithAChangedByte(t *testing.T) {
	w := write(t, 4)
	whole, err := os.ReadFile(w.path)
	if err != nil {
		t.Fatal(err)
	}
	for at := range whole {
		spoilt := append([]byte(nil), whole...)
		spoilt[at] ^= 0x20
		if err := os.WriteFile(w.path, spoilt, 0o600); err != nil {
			t.Fatal(err)
		}
		c, err := Read(w.path)
		if errors.Is(err, ErrSpoilt) {
			continue
		}
		if err != nil || int64(at) < w.ends[0] {
			t.Errorf("byte %d: %v", at, err)
			continue
		}
		if len(c.Commits) == len(w.commits) {
			t.Errorf("byte %d is changed, and all is read", at)
			continue
		}
		w.holds(t, c, len(c.Commits))
	}
}

// A file whose last block was cut goes on behind the last whole one.
func TestReopenedFileGoesOn(t *testing.T) {
	w := write(t, 3)
	if err := os.Truncate(w.path, w.ends[3]-1); err != nil {
		t.Fatal(err)
	}
	c, err := Read(w.path)
	if err != nil {
		t.Fatal(err)
	}
	w.holds(t, c, 2)
	f, err := Reopen(w.path, c)
	if err != nil {
		t.Fatal(err)
	}
	if info, err := os.Stat(w.path); err != nil || info.Size() != w.ends[2] {
		t.Errorf("the cut block is still there: %v, %v", info, err)
	}
	if want := w.ends[2] - w.ends[0]; f.Commits() != want {
		t.Errorf("%d bytes of commits, %d are wanted", f.Commits(), want)
	}
	if err := f.Append(w.commits[2]); err != nil {
		t.Fatal(err)
	}
	w.append(t, f, 3)
	f.Close()
	if c, err = Read(w.path); err != nil {
		t.Fatal(err)
	}
	w.holds(t, c, 4)
}

// What is no such file, or of another build's format, is told apart from one that is not there.
func TestOtherFiles(t *testing.T) {
	w := write(t, 1)
	if _, err := Read(w.path + ".none"); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("a file that is not there: %v", err)
	}
	whole, err := os.ReadFile(w.path)
	if err != nil {
		t.Fatal(err)
	}
	whole[len(magic)]++
	for name, b := range map[string][]byte{"another format": whole, "another file": []byte("name,address,port,groups\n"), "an empty file": nil} {
		if err := os.WriteFile(w.path, b, 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := Read(w.path); !errors.Is(err, ErrSpoilt) {
			t.Errorf("%s: %v", name, err)
		}
	}
	if _, err := Write(filepath.Join(w.path, "below"), &records.Snapshot{}); err == nil {
		t.Error("a file below a file is written")
	}
}
