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

// testFile is a file with a snapshot of some records and commits behind it.
type testFile struct {
	path       string
	set        *records.Set
	appended   []records.Commit
	digests    []records.Digest // after the snapshot, and after each commit
	endOffsets []int64          // of the file after each of them
}

func writeTestFile(t *testing.T, commits int) *testFile {
	t.Helper()
	w := &testFile{path: filepath.Join(t.TempDir(), "below", "records"), set: records.NewSet(records.DefaultLimits)}
	for i := range 5 {
		w.applyChange(t, i)
	}
	snapshot, err := records.NewSnapshot(w.set.Table(), w.set.Revision())
	if err != nil {
		t.Fatal(err)
	}
	f, err := Write(w.path, snapshot)
	if err != nil {
		t.Fatal(err)
	}
	w.recordState(t)
	for i := range commits {
		w.appendChange(t, f, i)
	}
	if err := f.Close(); err != nil {
		t.Fatal(err)
	}
	return w
}

func (w *testFile) applyChange(t *testing.T, i int) records.Commit {
	t.Helper()
	c, err := w.set.Apply(records.Change{Puts: []records.Put{{Key: records.Key{Kind: records.Tenant, Name: fmt.Sprintf("t-%d", i%7)}, Value: fmt.Append(nil, w.set.Revision())}}})
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func (w *testFile) appendChange(t *testing.T, f *File, i int) {
	t.Helper()
	c := w.applyChange(t, i)
	if err := f.Append(c); err != nil {
		t.Fatal(err)
	}
	w.appended = append(w.appended, c)
	w.recordState(t)
}

func (w *testFile) recordState(t *testing.T) {
	t.Helper()
	info, err := os.Stat(w.path)
	if err != nil {
		t.Fatal(err)
	}
	w.digests, w.endOffsets = append(w.digests, w.set.Digest()), append(w.endOffsets, info.Size())
}

// wantContent checks that what was read is the snapshot and the first n commits.
func (w *testFile) wantContent(t *testing.T, c *Content, n int) {
	t.Helper()
	set := records.NewSet(records.DefaultLimits)
	set.ReplaceTable(c.Table, c.Revision)
	if len(c.Commits) != n {
		t.Errorf("%d commits, %d are wanted", len(c.Commits), n)
		return
	}
	for _, commit := range c.Commits {
		if err := set.ApplyCommit(commit); err != nil {
			t.Error(err)
		}
	}
	if set.Digest() != w.digests[n] {
		t.Errorf("other records than were written, with %d commits", n)
	}
}

// A file that is cut off anywhere behind its snapshot holds what was whole; one whose snapshot is cut is of no use.
func TestReadTruncatedFile(t *testing.T) {
	w := writeTestFile(t, 4)
	original, err := os.ReadFile(w.path)
	if err != nil {
		t.Fatal(err)
	}
	for size := range len(original) + 1 {
		if err := os.WriteFile(w.path, original[:size], 0o600); err != nil {
			t.Fatal(err)
		}
		c, err := Read(w.path)
		if int64(size) < w.endOffsets[0] {
			if !errors.Is(err, ErrCorrupt) {
				t.Errorf("%d bytes of the snapshot's %d: %v", size, w.endOffsets[0], err)
			}
			continue
		}
		if err != nil {
			t.Errorf("%d bytes: %v", size, err)
			continue
		}
		n := 0
		for n+1 < len(w.endOffsets) && w.endOffsets[n+1] <= int64(size) {
			n++
		}
		w.wantContent(t, c, n)
	}
}

// No byte that was changed is read as something else: the file is of no use, or ends before the change.
func TestReadCorruptedByte(t *testing.T) {
	w := writeTestFile(t, 4)
	original, err := os.ReadFile(w.path)
	if err != nil {
		t.Fatal(err)
	}
	for offset := range original {
		corrupted := append([]byte(nil), original...)
		corrupted[offset] ^= 0x20
		if err := os.WriteFile(w.path, corrupted, 0o600); err != nil {
			t.Fatal(err)
		}
		c, err := Read(w.path)
		if errors.Is(err, ErrCorrupt) {
			continue
		}
		if err != nil || int64(offset) < w.endOffsets[0] {
			t.Errorf("byte %d: %v", offset, err)
			continue
		}
		if len(c.Commits) == len(w.appended) {
			t.Errorf("byte %d is changed, and all is read", offset)
			continue
		}
		w.wantContent(t, c, len(c.Commits))
	}
}

// A file whose last block was cut goes on behind the last whole one.
func TestReopenRemovesTruncatedBlock(t *testing.T) {
	w := writeTestFile(t, 3)
	if err := os.Truncate(w.path, w.endOffsets[3]-1); err != nil {
		t.Fatal(err)
	}
	c, err := Read(w.path)
	if err != nil {
		t.Fatal(err)
	}
	w.wantContent(t, c, 2)
	f, err := Reopen(w.path, c)
	if err != nil {
		t.Fatal(err)
	}
	if info, err := os.Stat(w.path); err != nil || info.Size() != w.endOffsets[2] {
		t.Errorf("the cut block is still there: %v, %v", info, err)
	}
	if want := w.endOffsets[2] - w.endOffsets[0]; f.CommitBytes() != want {
		t.Errorf("%d bytes of commits, %d are wanted", f.CommitBytes(), want)
	}
	if err := f.Append(w.appended[2]); err != nil {
		t.Fatal(err)
	}
	w.appendChange(t, f, 3)
	f.Close()
	if c, err = Read(w.path); err != nil {
		t.Fatal(err)
	}
	w.wantContent(t, c, 4)
}

// What is no such file, or of another build's format, is told apart from one that is not there.
func TestReadInvalidOrMissingFile(t *testing.T) {
	w := writeTestFile(t, 1)
	if _, err := Read(w.path + ".none"); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("a file that is not there: %v", err)
	}
	unknownVersion, err := os.ReadFile(w.path)
	if err != nil {
		t.Fatal(err)
	}
	unknownVersion[len(magic)]++
	for name, b := range map[string][]byte{"another format": unknownVersion, "another file": []byte("name,address,port,groups\n"), "an empty file": nil} {
		if err := os.WriteFile(w.path, b, 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := Read(w.path); !errors.Is(err, ErrCorrupt) {
			t.Errorf("%s: %v", name, err)
		}
	}
	if _, err := Write(filepath.Join(w.path, "below"), &records.Snapshot{}); err == nil {
		t.Error("a file below a file is written")
	}
}
