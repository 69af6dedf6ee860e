package records

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"strings"
	"testing"
)

func tenantPut(name, value string) Put { return Put{Key{Tenant, name}, []byte(value)} }

// A change whose form is wrong is refused with its key and reason, and nothing of it is carried out.
func TestInvalidChangeRefusedAtomically(t *testing.T) {
	s := NewSet(DefaultLimits)
	if _, err := s.Apply(Change{Puts: []Put{tenantPut("a", "1"), tenantPut("b", "1")}}); err != nil {
		t.Fatal(err)
	}
	if _, err := s.Apply(Change{Puts: []Put{tenantPut("a", "2")}}); err != nil {
		t.Fatal(err)
	}
	if _, err := s.Apply(Change{Deletes: []Key{{Tenant, "b"}}}); err != nil {
		t.Fatal(err)
	}
	before, tooManyPuts := s.Digest(), []Put{}
	for i := range MaxChangeKeys + 1 {
		tooManyPuts = append(tooManyPuts, tenantPut(fmt.Sprint(i), ""))
	}
	oversized := Change{}
	for i := range 3 {
		oversized.Puts = append(oversized.Puts, Put{Key{Setting, fmt.Sprint(i)}, make([]byte, MaxSettingBytes)})
	}
	validPut := tenantPut("good", "1")
	for name, c := range map[string]struct {
		change Change
		key    Key
		reason error
	}{
		"empty":           {Change{}, Key{}, ErrEmptyChange},
		"unknown kind":    {Change{Puts: []Put{validPut, {Key{9, "x"}, nil}}}, Key{9, "x"}, ErrUnknownKind},
		"no name":         {Change{Puts: []Put{validPut, tenantPut("", "1")}}, Key{Tenant, ""}, ErrInvalidName},
		"a space":         {Change{Puts: []Put{validPut, tenantPut("a b", "1")}}, Key{Tenant, "a b"}, ErrInvalidName},
		"twice":           {Change{Puts: []Put{validPut}, Deletes: []Key{validPut.Key}}, validPut.Key, ErrDuplicateKey},
		"a large value":   {Change{Puts: []Put{validPut, tenantPut("x", strings.Repeat("x", MaxTenantBytes+1))}}, Key{Tenant, "x"}, ErrTooLarge},
		"many keys":       {Change{Puts: tooManyPuts}, Key{}, ErrTooLarge},
		"many bytes":      {oversized, Key{}, ErrTooLarge},
		"stale":           {Change{Base: 1, Puts: []Put{validPut, tenantPut("a", "3")}}, Key{Tenant, "a"}, ErrConflict},
		"stale delete":    {Change{Base: 2, Deletes: []Key{validPut.Key, {Tenant, "b"}}}, Key{Tenant, "b"}, ErrConflict},
		"from the future": {Change{Base: 4, Puts: []Put{validPut}}, Key{}, ErrFutureRevision},
	} {
		_, err := s.Apply(c.change)
		var refusal *Refusal
		if !errors.Is(err, c.reason) || !errors.As(err, &refusal) || refusal.Key != c.key {
			t.Errorf("%s: %v", name, err)
		}
		if s.Revision() != 3 || s.Digest() != before {
			t.Fatalf("%s: something was carried out", name)
		}
	}
	if _, err := s.Apply(Change{Base: 2, Puts: []Put{validPut, tenantPut("a", "3")}}); err != nil {
		t.Errorf("a change on the latest of its keys: %v", err)
	}
}

// Random changes on a table against a plain map; followers of the commits, snapshots and frozen sets have the same.
func TestTableMatchesMap(t *testing.T) {
	for seed := range uint64(6) {
		rng := rand.New(rand.NewPCG(seed, 1))
		s, follower := NewSet(Limits{MaxCommits: 50, MaxBytes: 1 << 20}), NewSet(Limits{})
		marker := DigestFollower{}
		want := map[Key]string{}
		for range 1500 {
			c := randomChange(rng)
			commit, err := s.Apply(c)
			if err != nil {
				t.Fatal(err)
			}
			for _, p := range c.Puts {
				want[p.Key] = string(p.Value)
			}
			for _, k := range c.Deletes {
				delete(want, k)
			}
			if err := errors.Join(follower.ApplyCommit(commit), marker.ApplyCommit(commit)); err != nil {
				t.Fatal(err)
			}
			if s.Table().Len() != len(want) {
				t.Fatalf("seed %d: %d records of %d", seed, s.Table().Len(), len(want))
			}
		}
		wantRecords(t, s.Table(), want)
		wantRecords(t, follower.Table(), want)
		if marker.Digest != s.Digest() || follower.Digest() != s.Digest() || s.Digest() != recomputedDigest(s.Table()) {
			t.Errorf("seed %d: digests differ", seed)
		}
		snapshot, err := NewSnapshot(s.Table(), s.Revision())
		if err != nil {
			t.Fatal(err)
		}
		table, err := snapshot.Assemble()
		if err != nil {
			t.Fatal(err)
		}
		wantRecords(t, table, want)
		restored := jsonRoundTrip(t, s)
		for _, base := range []uint64{s.Revision() - 40, s.Revision() - 1} { // what is stale is so on every copy
			for range 200 {
				c := randomChange(rng)
				c.Base = base
				_, a := jsonRoundTrip(t, s).Apply(c)
				_, b := jsonRoundTrip(t, restored).Apply(c)
				if fmt.Sprint(a) != fmt.Sprint(b) {
					t.Fatalf("seed %d: %v and %v", seed, a, b)
				}
				break
			}
		}
		if s.OldestRevision() != s.Revision()-50 || restored.OldestRevision() != s.OldestRevision() {
			t.Errorf("seed %d: floors %d and %d at %d", seed, s.OldestRevision(), restored.OldestRevision(), s.Revision())
		}
	}
}

func jsonRoundTrip(t *testing.T, s *Set) *Set {
	t.Helper()
	b, err := json.Marshal(s.Snapshot())
	if err != nil {
		t.Fatal(err)
	}
	var f SetSnapshot
	if err := json.Unmarshal(b, &f); err != nil {
		t.Fatal(err)
	}
	return f.Restore(s.limits)
}

func randomChange(rng *rand.Rand) (c Change) {
	seen := map[Key]bool{}
	for range 1 + rng.IntN(8) {
		k := Key{Kind(1 + rng.IntN(3)), fmt.Sprintf("n%d", rng.IntN(400))}
		if seen[k] {
			continue
		}
		seen[k] = true
		if rng.IntN(3) == 0 {
			c.Deletes = append(c.Deletes, k)
		} else {
			c.Puts = append(c.Puts, Put{k, []byte(strings.Repeat("v", rng.IntN(900)))})
		}
	}
	return c
}

func wantRecords(t *testing.T, table *Table, want map[Key]string) {
	t.Helper()
	got := map[Key]string{}
	for r := range table.All() {
		got[r.Key] = string(r.Value)
	}
	if !maps.Equal(got, want) {
		t.Errorf("%d records, and %d are wanted", len(got), len(want))
	}
	for k, v := range want {
		if got, _, ok := table.Get(k); !ok || string(got) != v {
			t.Fatalf("%s is not found", k)
		}
	}
}

func recomputedDigest(t *Table) (d Digest) {
	for i := range uint64(shardCount) {
		d.merge(t.ShardDigest(i))
	}
	return d
}

// A clone stays as it was while the table goes on, and can be written to by itself.
func TestCloneIsIndependent(t *testing.T) {
	table := NewTable()
	for i := range 3000 {
		table.Put(Record{Key{Tenant, fmt.Sprint(i)}, []byte("before"), 1})
	}
	clone, digest := table.Clone(), table.Digest()
	for i := range 3000 {
		table.Put(Record{Key{Tenant, fmt.Sprint(i)}, []byte("after"), 2})
	}
	if clone.Digest() != digest || recomputedDigest(clone) != digest {
		t.Error("the clone changed")
	}
	for i := range 10 {
		clone.Put(Record{Key{Tenant, fmt.Sprint(i)}, []byte("elsewhere"), 3})
	}
	if v, _, _ := table.Get(Key{Tenant, "3"}); string(v) != "after" {
		t.Errorf("the table has %q", v)
	}
	if recomputedDigest(table) != table.Digest() || recomputedDigest(clone) != clone.Digest() {
		t.Error("a digest is not that of the records")
	}
}

// Space of records that were replaced is used again.
func TestReplacedRecordMemoryReclaimed(t *testing.T) {
	table := NewTable()
	for round := range 200 {
		for i := range 500 {
			table.Put(Record{Key{Route, fmt.Sprint(i)}, make([]byte, 1000), uint64(round)})
		}
	}
	if maxBytes := 16 * 6 * pageBytes; table.MemoryBytes() > maxBytes {
		t.Errorf("%d bytes for %d of records, %d at most", table.MemoryBytes(), 500*1000, maxBytes)
	}
}

// Followers refuse what is not the next commit of the same records.
func TestFollowersRefuseOutOfSequenceCommits(t *testing.T) {
	s := NewSet(DefaultLimits)
	var commits []Commit
	for i := range 5 {
		c, err := s.Apply(Change{Puts: []Put{tenantPut(fmt.Sprint(i), "x")}})
		if err != nil {
			t.Fatal(err)
		}
		commits = append(commits, c)
	}
	divergent := commits[2]
	divergent.Puts = []Put{tenantPut("2", "y")}
	for name, sequence := range map[string][]Commit{
		"one left out": {commits[0], commits[2]},
		"one twice":    {commits[0], commits[0]},
		"out of order": {commits[1]},
		"another":      {commits[0], commits[1], divergent},
	} {
		f, m, failed := NewSet(Limits{}), DigestFollower{}, false
		for _, c := range sequence {
			var e *SequenceError
			failed = errors.As(f.ApplyCommit(c), &e)
			if markerFailed := m.ApplyCommit(c) != nil; markerFailed != failed && name != "another" {
				t.Errorf("%s: a marker and a set differ", name)
			}
		}
		if !failed {
			t.Errorf("%s: taken", name)
		}
	}
}

// A snapshot that was spoilt anywhere is refused, and takes no more memory than its bounds.
func TestCorruptSnapshotsRefused(t *testing.T) {
	table := NewTable()
	for i := range 9000 {
		table.Put(Record{Key{Route, fmt.Sprint(i)}, []byte(strings.Repeat(fmt.Sprint(i), 20)), uint64(i)})
	}
	original, err := NewSnapshot(table, 7)
	if err != nil || original.ChunkCount < 3 {
		t.Fatal(err, original.ChunkCount)
	}
	for name, corrupt := range map[string]func(s *Snapshot){
		"a byte":            func(s *Snapshot) { s.Chunks[1].Data[9] ^= 1 },
		"a piece left out":  func(s *Snapshot) { s.Chunks = append(s.Chunks[:1], s.Chunks[2:]...) },
		"a piece cut off":   func(s *Snapshot) { s.Chunks = s.Chunks[:len(s.Chunks)-1] },
		"two exchanged":     func(s *Snapshot) { s.Chunks[0], s.Chunks[1] = s.Chunks[1], s.Chunks[0] },
		"another digest":    func(s *Snapshot) { s.Digest.lo++ },
		"fewer records":     func(s *Snapshot) { s.RecordCount-- },
		"more records":      func(s *Snapshot) { s.RecordCount++ },
		"no end of pieces":  func(s *Snapshot) { s.ChunkCount = maxChunks + 1 },
		"pieces of nothing": func(s *Snapshot) { s.RecordCount = 0 },
	} {
		s := &Snapshot{Header: original.Header}
		for _, p := range original.Chunks {
			p.Data = append([]byte(nil), p.Data...)
			s.Chunks = append(s.Chunks, p)
		}
		corrupt(s)
		if _, err := s.Assemble(); !errors.Is(err, ErrCorrupt) {
			t.Errorf("%s: %v", name, err)
		}
	}
	if _, err := original.Assemble(); err != nil {
		t.Error(err)
	}
}

// FuzzChunks decodes what anybody may send as a piece.
func FuzzChunks(f *testing.F) {
	table := NewTable()
	for i := range 30 {
		table.Put(Record{Key{Kind(1 + i%3), fmt.Sprint(i)}, []byte("value"), uint64(i)})
	}
	s, err := NewSnapshot(table, 1)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(s.Chunks[0].Data)
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		a, err := NewAssembler(Header{RecordCount: 100, ChunkCount: 1}, true)
		if err != nil {
			t.Fatal(err)
		}
		defer a.Close()
		if a.Add(Chunk{Checksum: Checksum(data), Data: data}) == nil && a.table.Digest() != recomputedDigest(a.table) {
			t.Error("a digest is not that of the records")
		}
	})
}

// A packed commit is read as what it was, and no part of one is taken for a whole.
func TestPackedCommitRoundTrip(t *testing.T) {
	s := NewSet(DefaultLimits)
	for _, c := range []Change{
		{Puts: []Put{tenantPut("a", "1")}},
		{Puts: []Put{tenantPut("a", "2"), {Key{Setting, "b"}, bytes.Repeat([]byte{0}, MaxSettingBytes)}, {Key{Route, strings.Repeat("c", MaxNameBytes)}, nil}}},
		{Deletes: []Key{{Tenant, "a"}, {Setting, "b"}}},
		{Puts: []Put{tenantPut("a", "3")}, Deletes: []Key{{Route, strings.Repeat("c", MaxNameBytes)}}},
	} {
		commit, err := s.Apply(c)
		if err != nil {
			t.Fatal(err)
		}
		packed := AppendCommit([]byte("before"), commit)[len("before"):]
		got, err := ParseCommit(packed)
		if err != nil {
			t.Fatal(err)
		}
		if want, text := fmt.Sprintf("%+v", commit), fmt.Sprintf("%+v", got); text != want {
			t.Errorf("%s was packed, %s is read", want, text)
		}
		for n := range min(len(packed), 1000) {
			if _, err := ParseCommit(packed[:n]); !errors.Is(err, ErrMalformed) {
				t.Errorf("%d of %d bytes: %v", n, len(packed), err)
			}
		}
		if _, err := ParseCommit(append(packed, 0)); !errors.Is(err, ErrMalformed) {
			t.Errorf("a byte more: %v", err)
		}
	}
}

// FuzzParseCommit decodes what anybody may send as a commit.
func FuzzParseCommit(f *testing.F) {
	s := NewSet(DefaultLimits)
	c, err := s.Apply(Change{Puts: []Put{tenantPut("a", "1")}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(AppendCommit(nil, c))
	f.Add(AppendCommit(nil, Commit{Revision: 1, Puts: []Put{tenantPut("a", ""), tenantPut("a", "")}}))
	f.Add(AppendCommit(nil, Commit{Revision: 1, Puts: []Put{{Key{9, "a"}, nil}}, Deletes: []Key{{Route, "b"}}}))
	f.Fuzz(func(t *testing.T, packed []byte) {
		c, err := ParseCommit(packed)
		if err != nil {
			return
		}
		if decoded, err := ParseCommit(AppendCommit(nil, c)); err != nil || fmt.Sprint(decoded) != fmt.Sprint(c) {
			t.Errorf("%+v is read as %+v once it is packed again: %v", c, decoded, err)
		}
		set := NewSet(DefaultLimits)
		if err := set.ApplyCommit(c); err == nil && (set.Revision() != 1 || set.Digest() != c.After || c.Check() != nil) {
			t.Error("a commit was taken that does not hold")
		}
	})
}

// benchmarkKind is a kind of records with the sizes at which it is measured, and what the records of docs/CAPACITY.md look like.
type benchmarkKind struct {
	kind  Kind
	name  string
	sizes []int
	put   func(i, version int) Put
}

var benchmarkKinds = []benchmarkKind{
	{Tenant, "tenants", []int{50000, 100000, 200000, 400000}, func(i, version int) Put {
		return tenantPut(fmt.Sprintf("tenant-%06d", i), fmt.Sprintf(`{"share":0.0000025,"limit":%d.5}`, version%500))
	}},
	{Route, "routes", []int{10000, 20000, 40000, 77000}, func(i, version int) Put {
		const value = `{"service":"svc-%05d","class":"book-delivery","group":"group-%02d","weight":%d,"regions":["r1","r2"]}`
		return Put{Key{Route, fmt.Sprintf("svc-%05d/%05d", i/9, i)}, fmt.Appendf(nil, value, i/9, i%40, version%9+1)}
	}},
}

// newTable is a table with n records of the kind.
func (k benchmarkKind) newTable(n int) *Table {
	table := NewTable()
	for i := range n {
		p := k.put(i, i)
		table.Put(Record{p.Key, p.Value, uint64(i/700 + 1)})
	}
	return table
}

// BenchmarkTable measures what records take, and what a change of them costs.
func BenchmarkTable(b *testing.B) {
	for _, k := range benchmarkKinds {
		for _, n := range k.sizes {
			b.Run(fmt.Sprintf("%s=%d", k.name, n), func(b *testing.B) {
				table := k.newTable(n)
				memoryBytes := table.MemoryBytes()
				i := 0
				for b.Loop() {
					i++
					p := k.put(i*7919%n, i)
					table.Put(Record{p.Key, p.Value, uint64(i)})
				}
				b.ReportMetric(float64(memoryBytes), "bytes")
			})
		}
	}
}

// BenchmarkSnapshot measures a snapshot's making and taking.
func BenchmarkSnapshot(b *testing.B) {
	for _, k := range benchmarkKinds {
		for _, n := range k.sizes {
			table := k.newTable(n)
			var s *Snapshot
			b.Run(fmt.Sprintf("make/%s=%d", k.name, n), func(b *testing.B) {
				for b.Loop() {
					var err error
					if s, err = NewSnapshot(table, 1); err != nil {
						b.Fatal(err)
					}
				}
				b.ReportMetric(float64(s.CompressedBytes), "bytes")
			})
			b.Run(fmt.Sprintf("take/%s=%d", k.name, n), func(b *testing.B) {
				for b.Loop() {
					if _, err := s.Assemble(); err != nil {
						b.Fatal(err)
					}
				}
			})
		}
	}
}

// BenchmarkCommit measures a commit's packing and reading, by the records that it puts.
func BenchmarkCommit(b *testing.B) {
	for _, n := range []int{3, 10, 30, 100} {
		var c Commit
		c.Revision = 123456
		for i := range n {
			c.Puts = append(c.Puts, benchmarkKinds[i%2].put(i, i))
		}
		b.Run(fmt.Sprintf("puts=%d", n), func(b *testing.B) {
			var packed []byte
			for b.Loop() {
				packed = AppendCommit(packed[:0], c)
				if _, err := ParseCommit(packed); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(packed)), "bytes")
		})
	}
}
