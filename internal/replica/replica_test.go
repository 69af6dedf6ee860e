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

// commitSource makes the commits that the replicas of a test take.
type commitSource struct {
	t   *testing.T
	set *records.Set
}

func newCommitSource(t *testing.T) *commitSource {
	return &commitSource{t, records.NewSet(records.DefaultLimits)}
}

func (a *commitSource) change(c records.Change) records.Commit {
	a.t.Helper()
	commit, err := a.set.Apply(c)
	if err != nil {
		a.t.Fatal(err)
	}
	return commit
}

func (a *commitSource) put(name, value string) records.Commit {
	a.t.Helper()
	return a.change(records.Change{Puts: []records.Put{setting(name, value)}})
}

func (a *commitSource) snapshot() (records.Header, *records.Table) {
	a.t.Helper()
	s, err := records.NewSnapshot(a.set.Table(), a.set.Revision())
	if err != nil {
		a.t.Fatal(err)
	}
	table, err := s.Assemble()
	if err != nil {
		a.t.Fatal(err)
	}
	return s.Header, table
}

// appliedSettings is the settings that a replica put into force.
type appliedSettings map[string]string

func (f appliedSettings) apply(settings map[string][]byte) error {
	for name, value := range settings {
		if value == nil {
			delete(f, name)
		} else {
			f[name] = string(value)
		}
	}
	return nil
}

func (f appliedSettings) String() string { return fmt.Sprint(map[string]string(f)) }

func follow(t *testing.T, r *Replica, commits ...records.Commit) {
	t.Helper()
	for _, c := range commits {
		if err := r.Follow(c); err != nil {
			t.Fatal(err)
		}
	}
}

// A replica that starts again has in force what it had, before anybody is asked, and goes on from its revision.
func TestRestartResumesFromDisk(t *testing.T) {
	a, path := newCommitSource(t), filepath.Join(t.TempDir(), "records")
	first := Open(Options{Name: "s", Path: path, Log: zerolog.Nop()})
	follow(t, first, a.put("a", "1"), a.put("b", "1"), a.put("a", "2"))
	follow(t, first, a.change(records.Change{Deletes: []records.Key{{Kind: records.Setting, Name: "b"}}}))
	first.Close()
	applied := appliedSettings{}
	second := Open(Options{Name: "s", Path: path, ApplySettings: applied.apply, Log: zerolog.Nop()})
	defer second.Close()
	if p := second.Position(); p.Revision != 4 || p.Digest != a.set.Digest() {
		t.Errorf("it is at %+v", p)
	}
	if applied.String() != "map[a:2]" {
		t.Errorf("in force: %v", applied)
	}
	follow(t, second, a.put("c", "1"))
	if value, revision, ok := second.Get(records.Key{Kind: records.Setting, Name: "c"}); !ok || string(value) != "1" || revision != 5 {
		t.Errorf("%q %d %v", value, revision, ok)
	}
}

// A spoilt copy is thrown away with a log line, and the replica begins with nothing and keeps a new one.
func TestCorruptFileIsDiscarded(t *testing.T) {
	a, path := newCommitSource(t), filepath.Join(t.TempDir(), "records")
	first := Open(Options{Name: "s", Path: path, Log: zerolog.Nop()})
	follow(t, first, a.put("a", "1"))
	h, table := a.snapshot()
	if err := first.Adopt(h, table); err != nil {
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
	if p := second.Position(); p != (distribution.Position{}) || !bytes.Contains(log.Bytes(), []byte("thrown away")) {
		t.Errorf("it is at %+v; the log: %s", p, log.Bytes())
	}
	if err := second.Adopt(h, table); err != nil {
		t.Fatal(err)
	}
	second.Close()
	third := Open(Options{Name: "s", Path: path, Log: zerolog.Nop()})
	defer third.Close()
	if third.Position() != distribution.Position(records.DigestFollower{Revision: 1, Digest: a.set.Digest()}) {
		t.Errorf("it is at %+v", third.Position())
	}
}

// A commit that is not the next one, or rests on other records, changes nothing.
func TestOutOfOrderCommitsAreRejected(t *testing.T) {
	a, applied := newCommitSource(t), appliedSettings{}
	r := Open(Options{Name: "s", ApplySettings: applied.apply, Log: zerolog.Nop()})
	one, two, three := a.put("a", "1"), a.put("a", "2"), a.put("a", "3")
	follow(t, r, one)
	other := two
	other.Before = records.Digest{}
	for name, c := range map[string]records.Commit{"a gap": three, "one twice": one, "other records": other} {
		err := r.Follow(c)
		var order *records.SequenceError
		if !errors.As(err, &order) || order.DigestMismatch != (name == "other records") {
			t.Errorf("%s: %v", name, err)
		}
		if r.Position().Revision != 1 || applied["a"] != "1" {
			t.Errorf("%s: at %+v, in force %v", name, r.Position(), applied)
		}
	}
	follow(t, r, two, three)
}

// A record that the check refuses is held and reported, and what was in force before stays, until another value comes or it goes.
func TestRejectedRecordsAreNotApplied(t *testing.T) {
	a, applied := newCommitSource(t), appliedSettings{}
	r := Open(Options{Name: "s", ApplySettings: applied.apply, Log: zerolog.Nop(), CheckRecord: func(p records.Put) error {
		if string(p.Value) == "bad" {
			return errors.New("not to be had")
		}
		return nil
	}})
	follow(t, r, a.put("a", "1"), a.put("a", "bad"), a.put("b", "bad"))
	report := r.Report()
	if applied["a"] != "1" || report.LowestRevision != 3 || report.ServersRejecting != 1 || len(report.Rejections) != 2 {
		t.Errorf("in force %v, reported %+v", applied, report)
	}
	if j := report.Rejections[0]; j.Key != "setting/a" || j.Revision != 2 || j.Reason != "not to be had" || j.Server != "s" {
		t.Errorf("%+v", j)
	}
	follow(t, r, a.put("a", "2"), a.change(records.Change{Deletes: []records.Key{{Kind: records.Setting, Name: "b"}}}))
	if report = r.Report(); applied["a"] != "2" || report.ServersRejecting != 0 || len(report.Rejections) != 0 {
		t.Errorf("in force %v, reported %+v", applied, report)
	}
}

// Settings that do not fit together are reported with the reason, until a change makes them fit.
func TestInconsistentSettingsAreReported(t *testing.T) {
	a, all := newCommitSource(t), appliedSettings{}
	r := Open(Options{Name: "s", Log: zerolog.Nop(), ApplySettings: func(settings map[string][]byte) error {
		all.apply(settings)
		if all["a"] != all["b"] {
			return errors.New("a and b differ")
		}
		return nil
	}})
	follow(t, r, a.put("a", "1"))
	report := r.Report()
	if len(report.Rejections) != 1 || report.Rejections[0].Key != "setting/a" || report.Rejections[0].Reason != "a and b differ" || report.ServersRejecting != 1 {
		t.Errorf("%+v", report)
	}
	follow(t, r, a.put("b", "1"))
	if report = r.Report(); len(report.Rejections) != 0 || report.ServersRejecting != 0 {
		t.Errorf("%+v", report)
	}
}

// A value that the check refuses stays reported, though the settings without it fit again.
func TestRejectedValueStaysReportedWhenOthersApply(t *testing.T) {
	a, all := newCommitSource(t), appliedSettings{}
	r := Open(Options{Name: "s", Log: zerolog.Nop(), CheckRecord: func(p records.Put) error {
		if string(p.Value) == "bad" {
			return errors.New("not to be had")
		}
		return nil
	}, ApplySettings: func(settings map[string][]byte) error {
		all.apply(settings)
		if all["b"] == "" {
			return errors.New("b is missing")
		}
		return nil
	}})
	follow(t, r, a.put("a", "1"))
	follow(t, r, a.change(records.Change{Puts: []records.Put{setting("a", "bad"), setting("b", "1")}}))
	report := r.Report()
	if len(report.Rejections) != 1 || report.Rejections[0].Key != "setting/a" || report.Rejections[0].Reason != "not to be had" {
		t.Errorf("%+v", report)
	}
}

// What was never agreed on is thrown away with its file; what is in force stays so until a snapshot takes its place.
func TestDiscardKeepsAppliedSettingsUntilSnapshot(t *testing.T) {
	a, applied, path := newCommitSource(t), appliedSettings{}, filepath.Join(t.TempDir(), "records")
	r := Open(Options{Name: "s", Path: path, ApplySettings: applied.apply, Log: zerolog.Nop()})
	defer r.Close()
	follow(t, r, a.put("a", "1"))
	r.Discard(errors.New("other records"))
	if r.Position() != (distribution.Position{}) || applied["a"] != "1" {
		t.Errorf("at %+v, in force %v", r.Position(), applied)
	}
	if _, err := os.Stat(path); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("the file is still there: %v", err)
	}
	a.put("a", "2")
	h, table := a.snapshot()
	if err := r.Adopt(h, table); err != nil {
		t.Fatal(err)
	}
	if r.Position().Revision != 2 || applied["a"] != "2" {
		t.Errorf("at %+v, in force %v", r.Position(), applied)
	}
}

// The file is written anew where the commits behind its snapshot have grown large.
func TestFileSizeIsBounded(t *testing.T) {
	a, path := newCommitSource(t), filepath.Join(t.TempDir(), "records")
	r := Open(Options{Name: "s", Path: path, Log: zerolog.Nop()})
	large := string(bytes.Repeat([]byte("x"), records.MaxSettingBytes-8))
	const commits = 2*maxCommitBytes/records.MaxSettingBytes + 10
	for i := range commits {
		follow(t, r, a.put("a", fmt.Sprint(i, large)))
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
	if p := reopened.Position(); p.Revision != commits || p.Digest != a.set.Digest() {
		t.Errorf("it is at %+v", p)
	}
}

// BenchmarkFollow measures what a change of three records costs an order server or a relay, its file included, by the records
// that it holds.
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
			const ahead = 512
			var commits []records.Commit
			for i := 0; b.Loop(); i++ {
				if len(commits) == 0 {
					b.StopTimer()
					for k := range ahead {
						at := (i + k) * 3
						c, err := set.Apply(records.Change{Puts: []records.Put{tenant(at%n, i), tenant((at+1)%n, i), tenant((at+2)%n, i)}})
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
