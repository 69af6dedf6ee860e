package disk

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-msgpack/v2/codec"
	"github.com/hashicorp/raft"
	"go.etcd.io/bbolt"

	"puffinsaddle/internal/rejoin"
)

const testTimeout = 60 * time.Second

func makeEntries(from, to uint64) (all []*raft.Log) {
	for i := from; i <= to; i++ {
		all = append(all, &raft.Log{Index: i, Term: 1 + i/20, Type: raft.LogCommand, Data: []byte(fmt.Sprintf(`{"op":"set","key":"k%d","value":"%x"}`, i, i*i))})
	}
	return all
}

func mustOpenDirectory(t *testing.T, dir, proc string) *Directory {
	t.Helper()
	f, err := OpenDirectory(dir, proc, io.Discard, Options{})
	if err != nil {
		t.Fatal(err)
	}
	return f
}

// newFilledDirectory creates a data directory with n entries and the values that raft stores with them.
func newFilledDirectory(t *testing.T, n uint64) string {
	t.Helper()
	dir := t.TempDir()
	f := mustOpenDirectory(t, dir, "p")
	for at := uint64(1); at <= n; at += 7 {
		if err := f.StoreLogs(makeEntries(at, min(at+6, n))); err != nil {
			t.Fatal(err)
		}
	}
	for key, v := range map[string]uint64{"CurrentTerm": 9, "LastVoteTerm": 9} {
		if err := f.SetUint64([]byte(key), v); err != nil {
			t.Fatal(err)
		}
	}
	if err := f.Set([]byte("LastVoteCand"), []byte("127.0.0.1:1")); err != nil {
		t.Fatal(err)
	}
	if err := f.RecordPeerDirectories(map[string]rejoin.DirectoryState{"b": {DirectoryID: "x", OpenCount: 2, LastIndex: 7}}); err != nil {
		t.Fatal(err)
	}
	if err := f.Close(); err != nil {
		t.Fatal(err)
	}
	return dir
}

func TestDirectoryStatePersists(t *testing.T) {
	dir := newFilledDirectory(t, 50)
	f := mustOpenDirectory(t, dir, "q")
	m := f.State()
	if m.OpenCount != 2 || m.LastIndex != 50 || m.Term != 9 || m.ProcessID != "q" || m.DirectoryID == "" || f.Empty() || !f.IsVoter() {
		t.Errorf("%+v", m)
	}
	if peers, err := f.PeerDirectories(); err != nil || peers["b"].LastIndex != 7 {
		t.Errorf("%+v %v", peers, err)
	}
	if err := f.RecordJoin(rejoin.DirectoryState{JoinIndex: 40, ClusterGeneration: 2, ClusterName: "n"}); err != nil || f.IsVoter() {
		t.Errorf("join as a non-voter: %v", err)
	}
	f.Close()
	if f = mustOpenDirectory(t, dir, "r"); f.IsVoter() || f.State().JoinIndex != 40 || f.State().ClusterGeneration != 2 || f.State().ClusterName != "n" || f.State().DirectoryID != m.DirectoryID {
		t.Errorf("non-voter after a restart: %+v", f.State())
	}
	if err := f.RecordVoter(); err != nil {
		t.Fatal(err)
	}
	f.Close()
	if f = mustOpenDirectory(t, dir, "s"); !f.IsVoter() {
		t.Error("the replica is no voter after a restart")
	}
	if _, err := OpenDirectory(dir, "t", io.Discard, Options{}); err == nil || !strings.Contains(err.Error(), "open in another process") {
		t.Errorf("opening an open directory: %v", err)
	}
	f.Close()
	r, err := Verify(dir)
	if err != nil || r.Corruption != "" || r.Entries != 50 || r.Directory.OpenCount != 4 || r.PeerDirectories["b"].OpenCount != 2 {
		t.Errorf("%+v %v", r, err)
	}
	n := 0
	if err := ReadEntries(dir, 10, 12, func(e *raft.Log) { n += int(e.Index) }); err != nil || n != 33 {
		t.Errorf("%d %v", n, err)
	}
}

// Flips single bits of the file. Each flip must be reported as corruption, have no effect on the data read, or leave a shorter
// log, which peers detect since they remember its last index.
func TestFlippedBitIsNeverReadAsData(t *testing.T) {
	dir := newFilledDirectory(t, 50)
	path := filepath.Join(dir, FileName)
	original, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	want := map[uint64][]byte{}
	for _, e := range makeEntries(1, 50) {
		want[e.Index] = e.Data
	}
	var nonzero []int // most of the file is empty
	for at, b := range original {
		if b != 0 {
			nonzero = append(nonzero, at)
		}
	}
	rng := rand.New(rand.NewPCG(1, 1))
	reported, unaffected, shorter := 0, 0, 0
	for range 600 {
		corrupt := bytes.Clone(original)
		at, bit := nonzero[rng.IntN(len(nonzero))], rng.IntN(8)
		corrupt[at] ^= 1 << bit
		if err := os.WriteFile(path, corrupt, 0o600); err != nil {
			t.Fatal(err)
		}
		l, err := Open(dir, Options{})
		if d := (*CorruptionError)(nil); errors.As(err, &d) {
			reported++
			continue
		}
		if err != nil {
			if errors.Is(err, ErrNewerFormat) || strings.Contains(err.Error(), "disk") {
				reported++
				continue
			}
			t.Fatalf("byte %d bit %d: %v", at, bit, err)
		}
		last, err := l.LastIndex()
		if err != nil {
			t.Fatal(err)
		}
		first, _ := l.FirstIndex()
		if first != 1 || last > 50 {
			t.Errorf("byte %d bit %d: entries %d to %d", at, bit, first, last)
		}
		for i := first; i > 0 && i <= last; i++ {
			var e raft.Log
			if err := l.GetLog(i, &e); err != nil || !bytes.Equal(e.Data, want[i]) || e.Index != i || e.Term != 1+i/20 {
				t.Errorf("byte %d bit %d: entry %d is read as %q in term %d: %v", at, bit, i, e.Data, e.Term, err)
			}
		}
		if term, err := l.GetUint64([]byte("CurrentTerm")); err == nil && term != 9 {
			t.Errorf("byte %d bit %d: the term is read as %d", at, bit, term)
		}
		if last == 50 {
			unaffected++
		} else {
			shorter++
		}
		l.Close()
	}
	if reported == 0 || unaffected == 0 {
		t.Errorf("%d reported, %d without effect, %d with a shorter log; want some of the first two", reported, unaffected, shorter)
	}
	t.Logf("%d reported, %d without effect, %d with a shorter log", reported, unaffected, shorter)
}

func TestTruncatedFileIsCorruption(t *testing.T) {
	dir := newFilledDirectory(t, 400)
	path := filepath.Join(dir, FileName)
	original, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for _, n := range []int{1, 100, 4096, 8192, 12288, len(original) / 2} {
		if err := os.WriteFile(path, original[:n], 0o600); err != nil {
			t.Fatal(err)
		}
		_, err := Open(dir, Options{})
		if d := (*CorruptionError)(nil); !errors.As(err, &d) || !strings.Contains(err.Error(), path) {
			t.Errorf("%d bytes of %d: %v", n, len(original), err)
		}
	}
}

// A directory in format 1, without checksums, is migrated, also after an earlier migration was interrupted. A directory of a
// later format is rejected and left unmodified.
func TestOldFormatIsMigratedAndNewerFormatRejected(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, FileName)
	db, err := bbolt.Open(path, 0o600, nil) // as hashicorp/raft-boltdb writes it
	if err != nil {
		t.Fatal(err)
	}
	err = db.Update(func(tx *bbolt.Tx) error {
		log, err := tx.CreateBucket(logsBucket)
		if err != nil {
			return err
		}
		for _, e := range makeEntries(1, 600) {
			var data []byte
			if err := codec.NewEncoderBytes(&data, entryEncoding).Encode(e); err != nil {
				return err
			}
			key := encodeUint64(e.Index)
			if e.Index <= 300 { // migrated before the interruption
				data = appendChecksum(logsBucket, key, data)
			}
			if err := log.Put(key, data); err != nil {
				return err
			}
		}
		stable, err := tx.CreateBucket(valuesBucket)
		if err != nil {
			return err
		}
		return stable.Put([]byte("CurrentTerm"), encodeUint64(31))
	})
	if err != nil {
		t.Fatal(err)
	}
	db.Close()
	if _, err := Verify(dir); err == nil || !strings.Contains(err.Error(), "format 1") {
		t.Errorf("%v", err)
	}
	f := mustOpenDirectory(t, dir, "p")
	if m := f.State(); m.LastIndex != 600 || m.Term != 31 || m.OpenCount != 1 {
		t.Errorf("%+v", m)
	}
	var e raft.Log
	if err := f.GetLog(400, &e); err != nil || !bytes.Equal(e.Data, makeEntries(400, 400)[0].Data) {
		t.Errorf("%+v %v", e, err)
	}
	if err := f.storeValue(formatKey, []byte{FormatVersion + 1}); err != nil {
		t.Fatal(err)
	}
	f.Close()
	before, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := OpenDirectory(dir, "p", io.Discard, Options{}); !errors.Is(err, ErrNewerFormat) || !strings.Contains(err.Error(), "format 3, this build reads up to 2") {
		t.Errorf("%v", err)
	}
	if _, err := Verify(dir); !errors.Is(err, ErrNewerFormat) {
		t.Errorf("%v", err)
	}
	if after, err := os.ReadFile(path); err != nil || !bytes.Equal(before, after) {
		t.Errorf("a directory of a later format was modified: %v", err)
	}
}

// After a failed write the log must neither write nor read, and must call OnFailure exactly once.
func TestFailedWriteStopsTheLog(t *testing.T) {
	failed := make(chan error, 10)
	l, err := Open(t.TempDir(), Options{OnFailure: func(err error) { failed <- err }})
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	if err := l.StoreLogs(makeEntries(1, 5)); err != nil {
		t.Fatal(err)
	}
	errDiskFull := errors.New("no space left on device")
	fault := func(op string) error {
		if op == "write" {
			return errDiskFull
		}
		return nil
	}
	l.injectedFault.Store(&fault)
	if err := l.StoreLogs(makeEntries(6, 7)); !errors.Is(err, errDiskFull) {
		t.Errorf("%v", err)
	}
	l.injectedFault.Store(nil)
	var e raft.Log
	for operation, err := range map[string]error{"a write": l.StoreLogs(makeEntries(6, 7)), "a read": l.GetLog(1, &e), "a value": l.Set([]byte("k"), nil)} {
		if !errors.Is(err, ErrStopped) || !errors.Is(err, errDiskFull) {
			t.Errorf("%s after the failed write: %v", operation, err)
		}
	}
	select {
	case err := <-failed:
		if !errors.Is(err, errDiskFull) {
			t.Error(err)
		}
	case <-time.After(testTimeout):
		t.Fatal("OnFailure was not called")
	}
	// raft panics if its term can't be written; its goroutine must exit instead.
	l.SetRaftRunning()
	outcome := make(chan string, 1)
	go func() {
		defer func() { outcome <- "ended" }()
		l.SetUint64([]byte("CurrentTerm"), 8)
		outcome <- "went on"
	}()
	if got := <-outcome; got != "ended" {
		t.Errorf("the goroutine %s, want ended", got)
	}
	if len(failed) > 0 {
		t.Error("OnFailure was called twice")
	}
}

func TestCorruptSnapshotIsReported(t *testing.T) {
	for name, corrupt := range map[string]func(dir string) error{
		"flipped bit in the state": func(dir string) error { return flipBit(filepath.Join(dir, "state.bin")) },
		"invalid metadata":         func(dir string) error { return os.WriteFile(filepath.Join(dir, "meta.json"), []byte("{"), 0o600) },
		"missing state file":       func(dir string) error { return os.Remove(filepath.Join(dir, "state.bin")) },
	} {
		dir := newFilledDirectory(t, 10)
		f := mustOpenDirectory(t, dir, "p")
		_, trans := raft.NewInmemTransport("a")
		sink, err := f.Snapshots.Create(1, 30, 2, raft.Configuration{}, 1, trans)
		if err != nil {
			t.Fatal(err)
		}
		sink.Write([]byte(strings.Repeat("state ", 100)))
		if err := sink.Close(); err != nil {
			t.Fatal(err)
		}
		f.Close()
		if f = mustOpenDirectory(t, dir, "p"); f.State().LastIndex != 30 {
			t.Errorf("%+v", f.State())
		}
		f.Close()
		if err := corrupt(filepath.Join(dir, snapshotsDir, sink.ID())); err != nil {
			t.Fatal(err)
		}
		_, err = OpenDirectory(dir, "p", io.Discard, Options{})
		if d := (*CorruptionError)(nil); !errors.As(err, &d) || !strings.Contains(err.Error(), sink.ID()) {
			t.Errorf("%s: %v", name, err)
		}
		if r, err := Verify(dir); err != nil || !strings.Contains(r.Corruption, sink.ID()) {
			t.Errorf("%s: %+v %v", name, r, err)
		}
	}
}

func flipBit(path string) error {
	b, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	b[len(b)/2] ^= 1
	return os.WriteFile(path, b, 0o600)
}

func TestQuarantineKeepsTwoNewest(t *testing.T) {
	dir := newFilledDirectory(t, 5)
	for i := range 4 {
		if _, err := Quarantine(dir); err != nil {
			t.Fatal(err)
		}
		f := mustOpenDirectory(t, dir, "p")
		if !f.Empty() {
			t.Errorf("%d: %+v", i, f.State())
		}
		if err := f.StoreLogs(makeEntries(1, 3)); err != nil {
			t.Fatal(err)
		}
		f.Close()
	}
	got, _ := filepath.Glob(filepath.Join(dir, quarantinePrefix+"*"))
	if want := []string{filepath.Join(dir, "aside-3"), filepath.Join(dir, "aside-4")}; !slices.Equal(got, want) {
		t.Errorf("%q", got)
	}
	if r, err := Verify(filepath.Join(dir, "aside-4")); err != nil || r.Entries != 3 {
		t.Errorf("%+v %v", r, err)
	}
}
