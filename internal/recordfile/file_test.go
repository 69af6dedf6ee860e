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

// testFile is a test file with a snapshot and commits, together with the state expected after each commit.
type testFile struct {
	path       string
	set        *records.Set
	appended   []records.Commit
	digests    []records.Digest // of the records after the snapshot and after each commit
	endOffsets []int64          // size of the file after the snapshot and after each commit
}

// writeTestFile creates a file with a snapshot and the given number of commits.
func writeTestFile(t *testing.T, commits int) *testFile {
	t.Helper()
	tf := &testFile{path: filepath.Join(t.TempDir(), "subdirectory", "records"), set: records.NewSet(records.DefaultLimits)}
	for i := range 5 {
		tf.applyChange(t, i)
	}
	snapshot, err := records.NewSnapshot(tf.set.Table(), tf.set.Revision())
	if err != nil {
		t.Fatal(err)
	}
	f, err := Write(tf.path, snapshot)
	if err != nil {
		t.Fatal(err)
	}
	tf.recordState(t)
	for i := range commits {
		tf.appendChange(t, f, i)
	}
	if err := f.Close(); err != nil {
		t.Fatal(err)
	}
	return tf
}

// applyChange applies a change to the set without writing it to the file.
func (tf *testFile) applyChange(t *testing.T, i int) records.Commit {
	t.Helper()
	c, err := tf.set.Apply(records.Change{Puts: []records.Put{{Key: records.Key{Kind: records.Tenant, Name: fmt.Sprintf("t-%d", i%7)}, Value: fmt.Append(nil, tf.set.Revision())}}})
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// appendChange applies a change and appends its commit to the file.
func (tf *testFile) appendChange(t *testing.T, f *File, i int) {
	t.Helper()
	c := tf.applyChange(t, i)
	if err := f.Append(c); err != nil {
		t.Fatal(err)
	}
	tf.appended = append(tf.appended, c)
	tf.recordState(t)
}

// recordState records the current digest and file size.
func (tf *testFile) recordState(t *testing.T) {
	t.Helper()
	info, err := os.Stat(tf.path)
	if err != nil {
		t.Fatal(err)
	}
	tf.digests, tf.endOffsets = append(tf.digests, tf.set.Digest()), append(tf.endOffsets, info.Size())
}

// wantContent checks that the content read consists of the snapshot and the first n commits.
func (tf *testFile) wantContent(t *testing.T, c *Content, n int) {
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
	if set.Digest() != tf.digests[n] {
		t.Errorf("the digest after %d commits differs from the one written", n)
	}
}

// A crash can truncate the file at any byte. After the snapshot, all complete commits must be read; within the snapshot, the file
// must be rejected as corrupt.
func TestReadTruncatedFile(t *testing.T) {
	tf := writeTestFile(t, 4)
	original, err := os.ReadFile(tf.path)
	if err != nil {
		t.Fatal(err)
	}
	for size := range len(original) + 1 {
		if err := os.WriteFile(tf.path, original[:size], 0o600); err != nil {
			t.Fatal(err)
		}
		c, err := Read(tf.path)
		if int64(size) < tf.endOffsets[0] {
			if !errors.Is(err, ErrCorrupt) {
				t.Errorf("truncated to %d bytes, snapshot of %d bytes: %v", size, tf.endOffsets[0], err)
			}
			continue
		}
		if err != nil {
			t.Errorf("truncated to %d bytes: %v", size, err)
			continue
		}
		n := 0
		for n+1 < len(tf.endOffsets) && tf.endOffsets[n+1] <= int64(size) {
			n++
		}
		tf.wantContent(t, c, n)
	}
}

// A corrupted byte must never be read as valid data: the file is rejected as corrupt, or the content ends before that byte.
func TestReadCorruptedByte(t *testing.T) {
	tf := writeTestFile(t, 4)
	original, err := os.ReadFile(tf.path)
	if err != nil {
		t.Fatal(err)
	}
	for offset := range original {
		corrupted := append([]byte(nil), original...)
		corrupted[offset] ^= 0x20
		if err := os.WriteFile(tf.path, corrupted, 0o600); err != nil {
			t.Fatal(err)
		}
		c, err := Read(tf.path)
		if errors.Is(err, ErrCorrupt) {
			continue
		}
		if err != nil || int64(offset) < tf.endOffsets[0] {
			t.Errorf("byte %d corrupted: %v", offset, err)
			continue
		}
		if len(c.Commits) == len(tf.appended) {
			t.Errorf("byte %d corrupted, but all commits were read", offset)
			continue
		}
		tf.wantContent(t, c, len(c.Commits))
	}
}

// Reopening a file with a truncated last block must remove that block, so that later commits follow the last complete one.
func TestReopenRemovesTruncatedBlock(t *testing.T) {
	tf := writeTestFile(t, 3)
	if err := os.Truncate(tf.path, tf.endOffsets[3]-1); err != nil {
		t.Fatal(err)
	}
	c, err := Read(tf.path)
	if err != nil {
		t.Fatal(err)
	}
	tf.wantContent(t, c, 2)
	f, err := Reopen(tf.path, c)
	if err != nil {
		t.Fatal(err)
	}
	if info, err := os.Stat(tf.path); err != nil || info.Size() != tf.endOffsets[2] {
		t.Errorf("the truncated block was not removed: %v, %v", info, err)
	}
	if want := tf.endOffsets[2] - tf.endOffsets[0]; f.CommitBytes() != want {
		t.Errorf("got %d bytes of commits, want %d", f.CommitBytes(), want)
	}
	if err := f.Append(tf.appended[2]); err != nil {
		t.Fatal(err)
	}
	tf.appendChange(t, f, 3)
	f.Close()
	if c, err = Read(tf.path); err != nil {
		t.Fatal(err)
	}
	tf.wantContent(t, c, 4)
}

// A file of another kind or format version must be reported as corrupt, and a missing file as not existing.
func TestReadInvalidOrMissingFile(t *testing.T) {
	tf := writeTestFile(t, 1)
	if _, err := Read(tf.path + ".none"); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("missing file: %v", err)
	}
	unknownVersion, err := os.ReadFile(tf.path)
	if err != nil {
		t.Fatal(err)
	}
	unknownVersion[len(magic)]++
	for name, b := range map[string][]byte{"unknown format version": unknownVersion, "other kind of file": []byte("name,address,port,groups\n"), "empty file": nil} {
		if err := os.WriteFile(tf.path, b, 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := Read(tf.path); !errors.Is(err, ErrCorrupt) {
			t.Errorf("%s: %v", name, err)
		}
	}
	if _, err := Write(filepath.Join(tf.path, "file"), &records.Snapshot{}); err == nil {
		t.Error("wrote a file whose parent is not a directory")
	}
}
