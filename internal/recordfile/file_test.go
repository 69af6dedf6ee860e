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

// written is a test file with a snapshot and commits, together with the state expected after each commit.
type written struct {
	path    string
	set     *records.Set
	commits []records.Commit
	digests []records.Digest // of the records after the snapshot and after each commit
	ends    []int64          // size of the file after the snapshot and after each commit
}

// write creates a file with a snapshot and the given number of commits.
func write(t *testing.T, commits int) *written {
	t.Helper()
	w := &written{path: filepath.Join(t.TempDir(), "subdirectory", "records"), set: records.NewSet(records.DefaultLimits)}
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

// change applies a change to the set without writing it to the file.
func (w *written) change(t *testing.T, i int) records.Commit {
	t.Helper()
	c, err := w.set.Apply(records.Change{Puts: []records.Put{{Key: records.Key{Kind: records.Tenant, Name: fmt.Sprintf("t-%d", i%7)}, Value: fmt.Append(nil, w.set.Revision())}}})
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// append applies a change and appends its commit to the file.
func (w *written) append(t *testing.T, f *File, i int) {
	t.Helper()
	c := w.change(t, i)
	if err := f.Append(c); err != nil {
		t.Fatal(err)
	}
	w.commits = append(w.commits, c)
	w.note(t)
}

// note records the current digest and file size.
func (w *written) note(t *testing.T) {
	t.Helper()
	info, err := os.Stat(w.path)
	if err != nil {
		t.Fatal(err)
	}
	w.digests, w.ends = append(w.digests, w.set.Digest()), append(w.ends, info.Size())
}

// holds checks that the content read consists of the snapshot and the first n commits.
func (w *written) holds(t *testing.T, c *Content, n int) {
	t.Helper()
	set := records.NewSet(records.DefaultLimits)
	set.ReplaceTable(c.Table, c.Revision)
	if len(c.Commits) != n {
		t.Errorf("got %d commits, want %d", len(c.Commits), n)
		return
	}
	for _, commit := range c.Commits {
		if err := set.ApplyCommit(commit); err != nil {
			t.Error(err)
		}
	}
	if set.Digest() != w.digests[n] {
		t.Errorf("the digest after %d commits differs from the one written", n)
	}
}

// A crash can truncate the file at any byte. After the snapshot, all complete commits must be read; within the snapshot, the file
// must be rejected as corrupt.
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
			if !errors.Is(err, ErrCorrupt) {
				t.Errorf("truncated to %d bytes, snapshot of %d bytes: %v", size, w.ends[0], err)
			}
			continue
		}
		if err != nil {
			t.Errorf("truncated to %d bytes: %v", size, err)
			continue
		}
		n := 0
		for n+1 < len(w.ends) && w.ends[n+1] <= int64(size) {
			n++
		}
		w.holds(t, c, n)
	}
}

// A corrupted byte must never be read as valid data: the file is rejected as corrupt, or the content ends before that byte.
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
		if errors.Is(err, ErrCorrupt) {
			continue
		}
		if err != nil || int64(at) < w.ends[0] {
			t.Errorf("byte %d corrupted: %v", at, err)
			continue
		}
		if len(c.Commits) == len(w.commits) {
			t.Errorf("byte %d corrupted, but all commits were read", at)
			continue
		}
		w.holds(t, c, len(c.Commits))
	}
}

// Reopening a file with a truncated last block must remove that block, so that later commits follow the last complete one.
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
		t.Errorf("the truncated block was not removed: %v, %v", info, err)
	}
	if want := w.ends[2] - w.ends[0]; f.CommitBytes() != want {
		t.Errorf("got %d bytes of commits, want %d", f.CommitBytes(), want)
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

// A file of another kind or format version must be reported as corrupt, and a missing file as not existing.
func TestOtherFiles(t *testing.T) {
	w := write(t, 1)
	if _, err := Read(w.path + ".none"); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("missing file: %v", err)
	}
	whole, err := os.ReadFile(w.path)
	if err != nil {
		t.Fatal(err)
	}
	whole[len(magic)]++
	for name, b := range map[string][]byte{"unknown format version": whole, "other kind of file": []byte("name,address,port,groups\n"), "empty file": nil} {
		if err := os.WriteFile(w.path, b, 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := Read(w.path); !errors.Is(err, ErrCorrupt) {
			t.Errorf("%s: %v", name, err)
		}
	}
	if _, err := Write(filepath.Join(w.path, "file"), &records.Snapshot{}); err == nil {
		t.Error("wrote a file whose parent is not a directory")
	}
}
