package replica

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/rs/zerolog"

	"puffinsaddle/internal/distribution"
	"puffinsaddle/internal/records"
)

func setting(name, value string) records.Put {
	return records.Put{Key: records.Key{Kind: records.Setting, Name: name}, Value: []byte(value)}
}

// commitSource creates the commits for the replicas of a test.
type commitSource struct {
	t   *testing.T
	set *records.Set
}

func newCommitSource(t *testing.T) *commitSource {
	return &commitSource{t, records.NewSet(records.DefaultLimits)}
}

func (source *commitSource) change(c records.Change) records.Commit {
	source.t.Helper()
	commit, err := source.set.Apply(c)
	if err != nil {
		source.t.Fatal(err)
	}
	return commit
}

func (source *commitSource) put(name, value string) records.Commit {
	source.t.Helper()
	return source.change(records.Change{Puts: []records.Put{setting(name, value)}})
}

func (source *commitSource) snapshot() (records.Header, *records.Table) {
	source.t.Helper()
	s, err := records.NewSnapshot(source.set.Table(), source.set.Revision())
	if err != nil {
		source.t.Fatal(err)
	}
	table, err := s.Assemble()
	if err != nil {
		source.t.Fatal(err)
	}
	return s.Header, table
}

// appliedSettings holds the settings that a replica has applied.
type appliedSettings map[string]string

func (applied appliedSettings) apply(settings map[string][]byte) error {
	for name, value := range settings {
		if value == nil {
			delete(applied, name)
		} else {
			applied[name] = string(value)
		}
	}
	return nil
}

func (applied appliedSettings) String() string { return fmt.Sprint(map[string]string(applied)) }

func follow(t *testing.T, r *Replica, commits ...records.Commit) {
	t.Helper()
	for _, c := range commits {
		if err := r.Follow(c); err != nil {
			t.Fatal(err)
		}
	}
}

// A restarted replica applies the settings of its file before it connects to a relay, and continues from its revision.
func TestRestartResumesFromDisk(t *testing.T) {
	source, path := newCommitSource(t), filepath.Join(t.TempDir(), "records")
	first := Open(Options{Name: "s", Path: path, Log: zerolog.Nop()})
	follow(t, first, source.put("a", "1"), source.put("b", "1"), source.put("a", "2"))
	follow(t, first, source.change(records.Change{Deletes: []records.Key{{Kind: records.Setting, Name: "b"}}}))
	first.Close()
	applied := appliedSettings{}
	second := Open(Options{Name: "s", Path: path, ApplySettings: applied.apply, Log: zerolog.Nop()})
	defer second.Close()
	if p := second.Position(); p.Revision != 4 || p.Digest != source.set.Digest() {
		t.Errorf("replica is at %+v", p)
	}
	if applied.String() != "map[a:2]" {
		t.Errorf("applied settings: %v", applied)
	}
	follow(t, second, source.put("c", "1"))
	if value, revision, ok := second.Get(records.Key{Kind: records.Setting, Name: "c"}); !ok || string(value) != "1" || revision != 5 {
		t.Errorf("%q %d %v", value, revision, ok)
	}
}

// A corrupt file is discarded with a log line; the replica starts empty and writes a new file.
func TestCorruptFileIsDiscarded(t *testing.T) {
	source, path := newCommitSource(t), filepath.Join(t.TempDir(), "records")
	first := Open(Options{Name: "s", Path: path, Log: zerolog.Nop()})
	follow(t, first, source.put("a", "1"))
	header, table := source.snapshot()
	if err := first.Adopt(header, table); err != nil {
		t.Fatal(err)
	}
	first.Close()
	b, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	b[len(b)/2] ^= 1
	if err := os.WriteFile(path, b, 0o600); err != nil {
		t.Fatal(err)
	}
	var log bytes.Buffer
	second := Open(Options{Name: "s", Path: path, Log: zerolog.New(&log)})
	if p := second.Position(); p != (distribution.Position{}) || !bytes.Contains(log.Bytes(), []byte("discarding it")) {
		t.Errorf("replica is at %+v; log: %s", p, log.Bytes())
	}
	if err := second.Adopt(header, table); err != nil {
		t.Fatal(err)
	}
	second.Close()
	third := Open(Options{Name: "s", Path: path, Log: zerolog.Nop()})
	defer third.Close()
	if third.Position() != distribution.Position(records.DigestFollower{Revision: 1, Digest: source.set.Digest()}) {
		t.Errorf("replica is at %+v", third.Position())
	}
}

// A commit that is not the next one, or whose digest differs, is rejected and changes nothing.
func TestOutOfOrderCommitsAreRejected(t *testing.T) {
	source, applied := newCommitSource(t), appliedSettings{}
	r := Open(Options{Name: "s", ApplySettings: applied.apply, Log: zerolog.Nop()})
	one, two, three := source.put("a", "1"), source.put("a", "2"), source.put("a", "3")
	follow(t, r, one)
	divergent := two
	divergent.Before = records.Digest{}
	for name, c := range map[string]records.Commit{"a gap": three, "one twice": one, "other records": divergent} {
		err := r.Follow(c)
		var sequenceErr *records.SequenceError
		if !errors.As(err, &sequenceErr) || sequenceErr.DigestMismatch != (name == "other records") {
			t.Errorf("%s: %v", name, err)
		}
		if r.Position().Revision != 1 || applied["a"] != "1" {
			t.Errorf("%s: at %+v, applied %v", name, r.Position(), applied)
		}
	}
	follow(t, r, two, three)
}

// A record that fails the check is stored and reported, and the value applied before stays in effect, until the record is replaced
// or deleted.
func TestRejectedRecordsAreNotApplied(t *testing.T) {
	source, applied := newCommitSource(t), appliedSettings{}
	r := Open(Options{Name: "s", ApplySettings: applied.apply, Log: zerolog.Nop(), CheckRecord: func(p records.Put) error {
		if string(p.Value) == "bad" {
			return errors.New("value not allowed")
		}
		return nil
	}})
	follow(t, r, source.put("a", "1"), source.put("a", "bad"), source.put("b", "bad"))
	report := r.Report()
	if applied["a"] != "1" || report.LowestRevision != 3 || report.ServersRejecting != 1 || len(report.Rejections) != 2 {
		t.Errorf("applied %v, reported %+v", applied, report)
	}
	if rejection := report.Rejections[0]; rejection.Key != "setting/a" || rejection.Revision != 2 || rejection.Reason != "value not allowed" || rejection.Server != "s" {
		t.Errorf("%+v", rejection)
	}
	follow(t, r, source.put("a", "2"), source.change(records.Change{Deletes: []records.Key{{Kind: records.Setting, Name: "b"}}}))
	if report = r.Report(); applied["a"] != "2" || report.ServersRejecting != 0 || len(report.Rejections) != 0 {
		t.Errorf("applied %v, reported %+v", applied, report)
	}
}

// Settings that are inconsistent with each other are reported with the reason, until a change makes them consistent.
func TestInconsistentSettingsAreReported(t *testing.T) {
	source, all := newCommitSource(t), appliedSettings{}
	r := Open(Options{Name: "s", Log: zerolog.Nop(), ApplySettings: func(settings map[string][]byte) error {
		all.apply(settings)
		if all["a"] != all["b"] {
			return errors.New("a and b differ")
		}
		return nil
	}})
	follow(t, r, source.put("a", "1"))
	report := r.Report()
	if len(report.Rejections) != 1 || report.Rejections[0].Key != "setting/a" || report.Rejections[0].Reason != "a and b differ" || report.ServersRejecting != 1 {
		t.Errorf("%+v", report)
	}
	follow(t, r, source.put("b", "1"))
	if report = r.Report(); len(report.Rejections) != 0 || report.ServersRejecting != 0 {
		t.Errorf("%+v", report)
	}
}

// A value that fails the check stays reported, although the settings without it can be applied again.
func TestRejectedValueStaysReportedWhenOthersApply(t *testing.T) {
	source, all := newCommitSource(t), appliedSettings{}
	r := Open(Options{Name: "s", Log: zerolog.Nop(), CheckRecord: func(p records.Put) error {
		if string(p.Value) == "bad" {
			return errors.New("value not allowed")
		}
		return nil
	}, ApplySettings: func(settings map[string][]byte) error {
		all.apply(settings)
		if all["b"] == "" {
			return errors.New("b is missing")
		}
		return nil
	}})
	follow(t, r, source.put("a", "1"))
	follow(t, r, source.change(records.Change{Puts: []records.Put{setting("a", "bad"), setting("b", "1")}}))
	report := r.Report()
	if len(report.Rejections) != 1 || report.Rejections[0].Key != "setting/a" || report.Rejections[0].Reason != "value not allowed" {
		t.Errorf("%+v", report)
	}
}

// Records that were never committed are discarded with their file; the applied settings stay in effect until a snapshot arrives.
func TestDiscardKeepsAppliedSettingsUntilSnapshot(t *testing.T) {
	source, applied, path := newCommitSource(t), appliedSettings{}, filepath.Join(t.TempDir(), "records")
	r := Open(Options{Name: "s", Path: path, ApplySettings: applied.apply, Log: zerolog.Nop()})
	defer r.Close()
	follow(t, r, source.put("a", "1"))
	r.Discard(errors.New("other records"))
	if r.Position() != (distribution.Position{}) || applied["a"] != "1" {
		t.Errorf("at %+v, applied %v", r.Position(), applied)
	}
	if _, err := os.Stat(path); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("the file still exists: %v", err)
	}
	source.put("a", "2")
	header, table := source.snapshot()
	if err := r.Adopt(header, table); err != nil {
		t.Fatal(err)
	}
	if r.Position().Revision != 2 || applied["a"] != "2" {
		t.Errorf("at %+v, applied %v", r.Position(), applied)
	}
}

// The file is rewritten when the commits after its snapshot exceed maxCommitBytes.
func TestFileSizeIsBounded(t *testing.T) {
	source, path := newCommitSource(t), filepath.Join(t.TempDir(), "records")
	r := Open(Options{Name: "s", Path: path, Log: zerolog.Nop()})
	padding := string(bytes.Repeat([]byte("x"), records.MaxSettingBytes-8))
	const commits = 2*maxCommitBytes/records.MaxSettingBytes + 10
	for i := range commits {
		follow(t, r, source.put("a", fmt.Sprint(i, padding)))
		info, err := os.Stat(path)
		if err != nil {
			t.Fatal(err)
		}
		if info.Size() > maxCommitBytes+3*records.MaxSettingBytes {
			t.Fatalf("%d bytes after %d commits", info.Size(), i+1)
		}
	}
	r.Close()
	reopened := Open(Options{Name: "s", Path: path, Log: zerolog.Nop()})
	defer reopened.Close()
	if p := reopened.Position(); p.Revision != commits || p.Digest != source.set.Digest() {
		t.Errorf("replica is at %+v", p)
	}
}

// BenchmarkFollow measures the cost of a commit of three records in an order server or a relay, writing the file included, by the
// number of stored records.
func BenchmarkFollow(b *testing.B) {
	for _, n := range []int{30000, 100000, 240000, 477000} {
		b.Run(fmt.Sprintf("records=%d", n), func(b *testing.B) {
			tenant := func(i, version int) records.Put {
				return records.Put{Key: records.Key{Kind: records.Tenant, Name: fmt.Sprintf("tenant-%06d", i)},
					Value: fmt.Appendf(nil, `{"share":0.0000025,"limit":%d.5}`, version%500)}
			}
			set := records.NewSet(records.DefaultLimits)
			r := Open(Options{Name: "s", Path: filepath.Join(b.TempDir(), "records"), CheckRecord: records.CheckValue, Log: zerolog.Nop()})
			defer r.Close()
			for i := 0; i < n; {
				var c records.Change
				for range min(records.MaxChangeKeys, n-i) {
					c.Puts = append(c.Puts, tenant(i, 0))
					i++
				}
				if _, err := set.Apply(c); err != nil {
					b.Fatal(err)
				}
			}
			if err := r.Adopt(records.Header{Revision: set.Revision()}, set.Table().Clone()); err != nil {
				b.Fatal(err)
			}
			const batchCommits = 512
			var commits []records.Commit
			for i := 0; b.Loop(); i++ {
				if len(commits) == 0 {
					b.StopTimer()
					for k := range batchCommits {
						first := (i + k) * 3
						c, err := set.Apply(records.Change{Puts: []records.Put{tenant(first%n, i), tenant((first+1)%n, i), tenant((first+2)%n, i)}})
						if err != nil {
							b.Fatal(err)
						}
						commits = append(commits, c)
					}
					b.StartTimer()
				}
				if err := r.Follow(commits[0]); err != nil {
					b.Fatal(err)
				}
				commits = commits[1:]
			}
		})
	}
}
