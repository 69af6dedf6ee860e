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

	"puffinsaddle/internal/admit"
)

const patience = 60 * time.Second

func entries(from, to uint64) (all []*raft.Log) {
	for i := from; i <= to; i++ {
		all = append(all, &raft.Log{Index: i, Term: 1 + i/20, Type: raft.LogCommand, Data: []byte(fmt.Sprintf(`{"op":"set","key":"k%d","value":"%x"}`, i, i*i))})
	}
	return all
}

func folder(t *testing.T, dir, proc string) *Folder {
	t.Helper()
	f, err := OpenFolder(dir, proc, io.Discard, Options{})
	if err != nil {
		t.Fatal(err)
	}
	return f
}

// filled creates a data directory with n entries and the values that raft stores with them.
func filled(t *testing.T, n uint64) string {
	t.Helper()
	dir := t.TempDir()
	f := folder(t, dir, "p")
	for at := uint64(1); at <= n; at += 7 {
		if err := f.StoreLogs(entries(at, min(at+6, n))); err != nil {
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
	if err := f.Remember(map[string]admit.Mark{"b": {Folder: "x", Life: 2, Last: 7}}); err != nil {
		t.Fatal(err)
	}
	if err := f.Close(); err != nil {
		t.Fatal(err)
	}
	return dir
}

func TestFolderTellsOfItself(t *testing.T) {
	dir := filled(t, 50)
	f := folder(t, dir, "q")
	m := f.Mark()
	if m.Life != 2 || m.Last != 50 || m.Term != 9 || m.Proc != "q" || m.Folder == "" || f.Fresh() || !f.Votes() {
		t.Errorf("%+v", m)
	}
	if marks, err := f.Marks(); err != nil || marks["b"].Last != 7 {
		t.Errorf("%+v %v", marks, err)
	}
	if err := f.Join(admit.Mark{Joined: 40, Set: 2, Name: "n"}); err != nil || f.Votes() {
		t.Errorf("join as a non-voter: %v", err)
	}
	f.Close()
	if f = folder(t, dir, "r"); f.Votes() || f.Mark().Joined != 40 || f.Mark().Set != 2 || f.Mark().Name != "n" || f.Mark().Folder != m.Folder {
		t.Errorf("non-voter after a restart: %+v", f.Mark())
	}
	if err := f.Voter(); err != nil {
		t.Fatal(err)
	}
	f.Close()
	if f = folder(t, dir, "s"); !f.Votes() {
		t.Error("the replica is no voter after a restart")
	}
	if _, err := OpenFolder(dir, "t", io.Discard, Options{}); err == nil || !strings.Contains(err.Error(), "open in another process") {
		t.Errorf("opening an open directory: %v", err)
	}
	f.Close()
	r, err := Verify(dir)
	if err != nil || r.Corruption != "" || r.Entries != 50 || r.Directory.Life != 4 || r.Remembers["b"].Life != 2 {
		t.Errorf("%+v %v", r, err)
	}
	n := 0
	if err := ReadEntries(dir, 10, 12, func(e *raft.Log) { n += int(e.Index) }); err != nil || n != 33 {
		t.Errorf("%d %v", n, err)
	}
}

// Flips single bits of the file. Each flip must be reported as corruption, have no effect on the data read, or leave a shorter
// log, which peers detect since they remember its last index.
func TestNoSpoiltBitIsReadAsData(t *testing.T) {
	dir := filled(t, 50)
	path := filepath.Join(dir, File)
	whole, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	want := map[uint64][]byte{}
	for _, e := range entries(1, 50) {
		want[e.Index] = e.Data
	}
	var used []int // most of the file is empty
	for at, b := range whole {
		if b != 0 {
			used = append(used, at)
		}
	}
	rng := rand.New(rand.NewPCG(1, 1))
	told, same, shorter := 0, 0, 0
	for range 600 {
		spoilt := bytes.Clone(whole)
		at, bit := used[rng.IntN(len(used))], rng.IntN(8)
		spoilt[at] ^= 1 << bit
		if err := os.WriteFile(path, spoilt, 0o600); err != nil {
			t.Fatal(err)
		}
		l, err := Open(dir, Options{})
		if d := (*Damage)(nil); errors.As(err, &d) {
			told++
			continue
		}
		if err != nil {
			if errors.Is(err, ErrNewer) || strings.Contains(err.Error(), "disk") {
				told++
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
			same++
		} else {
			shorter++
		}
		l.Close()
	}
	if told == 0 || same == 0 {
		t.Errorf("%d reported, %d without effect, %d with a shorter log; want some of the first two", told, same, shorter)
	}
	t.Logf("%d reported, %d without effect, %d with a shorter log", told, same, shorter)
}

func TestFileThatIsCutShortIsDamage(t *testing.T) {
	dir := filled(t, 400)
	path := filepath.Join(dir, File)
	whole, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for _, n := range []int{1, 100, 4096, 8192, 12288, len(whole) / 2} {
		if err := os.WriteFile(path, whole[:n], 0o600); err != nil {
			t.Fatal(err)
		}
		_, err := Open(dir, Options{})
		if d := (*Damage)(nil); !errors.As(err, &d) || !strings.Contains(err.Error(), path) {
			t.Errorf("%d bytes of %d: %v", n, len(whole), err)
		}
	}
}

// A directory in format 1, without checksums, is migrated, also after an earlier migration was interrupted. A directory of a
// later format is rejected and left unmodified.
func TestFormats(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, File)
	old, err := bbolt.Open(path, 0o600, nil) // as hashicorp/raft-boltdb writes it
	if err != nil {
		t.Fatal(err)
	}
	err = old.Update(func(tx *bbolt.Tx) error {
		log, err := tx.CreateBucket(logs)
		if err != nil {
			return err
		}
		for _, e := range entries(1, 600) {
			var text []byte
			if err := codec.NewEncoderBytes(&text, form).Encode(e); err != nil {
				return err
			}
			key := number(e.Index)
			if e.Index <= 300 { // migrated before the interruption
				text = seal(logs, key, text)
			}
			if err := log.Put(key, text); err != nil {
				return err
			}
		}
		stable, err := tx.CreateBucket(values)
		if err != nil {
			return err
		}
		return stable.Put([]byte("CurrentTerm"), number(31))
	})
	if err != nil {
		t.Fatal(err)
	}
	old.Close()
	if _, err := Verify(dir); err == nil || !strings.Contains(err.Error(), "format 1") {
		t.Errorf("%v", err)
	}
	f := folder(t, dir, "p")
	if m := f.Mark(); m.Last != 600 || m.Term != 31 || m.Life != 1 {
		t.Errorf("%+v", m)
	}
	var e raft.Log
	if err := f.GetLog(400, &e); err != nil || !bytes.Equal(e.Data, entries(400, 400)[0].Data) {
		t.Errorf("%+v %v", e, err)
	}
	if err := f.put(formatKey, []byte{Format + 1}); err != nil {
		t.Fatal(err)
	}
	f.Close()
	before, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := OpenFolder(dir, "p", io.Discard, Options{}); !errors.Is(err, ErrNewer) || !strings.Contains(err.Error(), "format 3, this build reads up to 2") {
		t.Errorf("%v", err)
	}
	if _, err := Verify(dir); !errors.Is(err, ErrNewer) {
		t.Errorf("%v", err)
	}
	if after, err := os.ReadFile(path); err != nil || !bytes.Equal(before, after) {
		t.Errorf("a directory of a later format was modified: %v", err)
	}
}

// After a failed write the log must neither write nor read, and must call Fail exactly once.
func TestFailedWriteStopsTheLog(t *testing.T) {
	failed := make(chan error, 10)
	l, err := Open(t.TempDir(), Options{Fail: func(err error) { failed <- err }})
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	if err := l.StoreLogs(entries(1, 5)); err != nil {
		t.Fatal(err)
	}
	full := errors.New("no space left on device")
	fault := func(op string) error {
		if op == "write" {
			return full
		}
		return nil
	}
	l.fault.Store(&fault)
	if err := l.StoreLogs(entries(6, 7)); !errors.Is(err, full) {
		t.Errorf("%v", err)
	}
	l.fault.Store(nil)
	var e raft.Log
	for what, err := range map[string]error{"a write": l.StoreLogs(entries(6, 7)), "a read": l.GetLog(1, &e), "a value": l.Set([]byte("k"), nil)} {
		if !errors.Is(err, ErrStopped) || !errors.Is(err, full) {
			t.Errorf("%s after the failed write: %v", what, err)
		}
	}
	select {
	case err := <-failed:
		if !errors.Is(err, full) {
			t.Error(err)
		}
	case <-time.After(patience):
		t.Fatal("Fail was not called")
	}
	// raft panics if its term can't be written; its goroutine must exit instead.
	l.Run()
	after := make(chan string, 1)
	go func() {
		defer func() { after <- "ended" }()
		l.SetUint64([]byte("CurrentTerm"), 8)
		after <- "went on"
	}()
	if got := <-after; got != "ended" {
		t.Errorf("the goroutine %s, want ended", got)
	}
	if len(failed) > 0 {
		t.Error("Fail was called twice")
	}
}

func TestSnapshotsAreChecked(t *testing.T) {
	for name, spoil := range map[string]func(dir string) error{
		"flipped bit in the state": func(dir string) error { return flip(filepath.Join(dir, "state.bin")) },
		"invalid metadata":         func(dir string) error { return os.WriteFile(filepath.Join(dir, "meta.json"), []byte("{"), 0o600) },
		"missing state file":       func(dir string) error { return os.Remove(filepath.Join(dir, "state.bin")) },
	} {
		dir := filled(t, 10)
		f := folder(t, dir, "p")
		_, trans := raft.NewInmemTransport("a")
		sink, err := f.Snap.Create(1, 30, 2, raft.Configuration{}, 1, trans)
		if err != nil {
			t.Fatal(err)
		}
		sink.Write([]byte(strings.Repeat("state ", 100)))
		if err := sink.Close(); err != nil {
			t.Fatal(err)
		}
		f.Close()
		if f = folder(t, dir, "p"); f.Mark().Last != 30 {
			t.Errorf("%+v", f.Mark())
		}
		f.Close()
		if err := spoil(filepath.Join(dir, snapshotsDir, sink.ID())); err != nil {
			t.Fatal(err)
		}
		_, err = OpenFolder(dir, "p", io.Discard, Options{})
		if d := (*Damage)(nil); !errors.As(err, &d) || !strings.Contains(err.Error(), sink.ID()) {
			t.Errorf("%s: %v", name, err)
		}
		if r, err := Verify(dir); err != nil || !strings.Contains(r.Corruption, sink.ID()) {
			t.Errorf("%s: %+v %v", name, r, err)
		}
	}
}

func flip(path string) error {
	b, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	b[len(b)/2] ^= 1
	return os.WriteFile(path, b, 0o600)
}

func TestWhatIsSetAsideIsKeptTwice(t *testing.T) {
	dir := filled(t, 5)
	for i := range 4 {
		if _, err := SetAside(dir); err != nil {
			t.Fatal(err)
		}
		f := folder(t, dir, "p")
		if !f.Fresh() {
			t.Errorf("%d: %+v", i, f.Mark())
		}
		if err := f.StoreLogs(entries(1, 3)); err != nil {
			t.Fatal(err)
		}
		f.Close()
	}
	got, _ := filepath.Glob(filepath.Join(dir, setAside+"*"))
	if want := []string{filepath.Join(dir, "aside-3"), filepath.Join(dir, "aside-4")}; !slices.Equal(got, want) {
		t.Errorf("%q", got)
	}
	if r, err := Verify(filepath.Join(dir, "aside-4")); err != nil || r.Entries != 3 {
		t.Errorf("%+v %v", r, err)
	}
}
