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

// An invalid or conflicting change must be refused with its key and reason, and none of its puts and deletes applied.
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
		"empty change":   {Change{}, Key{}, ErrEmptyChange},
		"unknown kind":   {Change{Puts: []Put{validPut, {Key{9, "x"}, nil}}}, Key{9, "x"}, ErrUnknownKind},
		"empty name":     {Change{Puts: []Put{validPut, tenantPut("", "1")}}, Key{Tenant, ""}, ErrInvalidName},
		"space in name":  {Change{Puts: []Put{validPut, tenantPut("a b", "1")}}, Key{Tenant, "a b"}, ErrInvalidName},
		"duplicate key":  {Change{Puts: []Put{validPut}, Deletes: []Key{validPut.Key}}, validPut.Key, ErrDuplicateKey},
		"large value":    {Change{Puts: []Put{validPut, tenantPut("x", strings.Repeat("x", MaxTenantBytes+1))}}, Key{Tenant, "x"}, ErrTooLarge},
		"too many keys":  {Change{Puts: tooManyPuts}, Key{}, ErrTooLarge},
		"too many bytes": {oversized, Key{}, ErrTooLarge},
		"stale put":      {Change{Base: 1, Puts: []Put{validPut, tenantPut("a", "3")}}, Key{Tenant, "a"}, ErrConflict},
		"stale delete":   {Change{Base: 2, Deletes: []Key{validPut.Key, {Tenant, "b"}}}, Key{Tenant, "b"}, ErrConflict},
		"future base":    {Change{Base: 4, Puts: []Put{validPut}}, Key{}, ErrFutureRevision},
	} {
		_, err := s.Apply(c.change)
		var refusal *Refusal
		if !errors.Is(err, c.reason) || !errors.As(err, &refusal) || refusal.Key != c.key {
			t.Errorf("%s: %v", name, err)
		}
		if s.Revision() != 3 || s.Digest() != before {
			t.Fatalf("%s: the records changed", name)
		}
	}
	if _, err := s.Apply(Change{Base: 2, Puts: []Put{validPut, tenantPut("a", "3")}}); err != nil {
		t.Errorf("change based on the latest revision of its keys: %v", err)
	}
}

// Applies random changes and compares the table with a plain map. Followers of the commits, snapshots and point-in-time copies
// must hold the same records.
func TestTableMatchesMap(t *testing.T) {
	for seed := range uint64(6) {
		rng := rand.New(rand.NewPCG(seed, 1))
		s, follower := NewSet(Limits{MaxCommits: 50, MaxBytes: 1 << 20}), NewSet(Limits{})
		digestFollower := DigestFollower{}
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
			if err := errors.Join(follower.ApplyCommit(commit), digestFollower.ApplyCommit(commit)); err != nil {
				t.Fatal(err)
			}
			if s.Table().Len() != len(want) {
				t.Fatalf("seed %d: got %d records, want %d", seed, s.Table().Len(), len(want))
			}
		}
		wantRecords(t, s.Table(), want)
		wantRecords(t, follower.Table(), want)
		if digestFollower.Digest != s.Digest() || follower.Digest() != s.Digest() || s.Digest() != recomputedDigest(s.Table()) {
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
		for _, base := range []uint64{s.Revision() - 40, s.Revision() - 1} { // every replica must refuse the same changes as stale
			original, copied := jsonRoundTrip(t, s), jsonRoundTrip(t, restored)
			for range 200 {
				c := randomChange(rng)
				c.Base = base
				_, a := original.Apply(c)
				_, b := copied.Apply(c)
				if fmt.Sprint(a) != fmt.Sprint(b) {
					t.Fatalf("seed %d: results differ: %v and %v", seed, a, b)
				}
			}
		}
		if s.OldestRevision() != s.Revision()-50 || restored.OldestRevision() != s.OldestRevision() {
			t.Errorf("seed %d: oldest revisions %d and %d at revision %d", seed, s.OldestRevision(), restored.OldestRevision(), s.Revision())
		}
	}
}

// jsonRoundTrip returns a copy of the set that was encoded as JSON and decoded again.
func jsonRoundTrip(t *testing.T, s *Set) *Set {
	t.Helper()
	b, err := json.Marshal(s.Snapshot())
	if err != nil {
		t.Fatal(err)
	}
	var snap SetSnapshot
	if err := json.Unmarshal(b, &snap); err != nil {
		t.Fatal(err)
	}
	return snap.Restore(s.limits)
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
		t.Errorf("the records differ: got %d, want %d", len(got), len(want))
	}
	for k, v := range want {
		if got, _, ok := table.Get(k); !ok || string(got) != v {
			t.Fatalf("%s is missing or has another value", k)
		}
	}
}

// recomputedDigest recomputes the digest of a table from its shards.
func recomputedDigest(t *Table) (d Digest) {
	for i := range uint64(shardCount) {
		d.merge(t.ShardDigest(i))
	}
	return d
}

// A clone shares entries with its table. Writes to either must not appear in the other.
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
		t.Error("a write to the table changed the clone")
	}
	for i := range 10 {
		clone.Put(Record{Key{Tenant, fmt.Sprint(i)}, []byte("elsewhere"), 3})
	}
	if v, _, _ := table.Get(Key{Tenant, "3"}); string(v) != "after" {
		t.Errorf("a write to the clone changed the table: %q", v)
	}
	if recomputedDigest(table) != table.Digest() || recomputedDigest(clone) != clone.Digest() {
		t.Error("the digest does not match the records")
	}
}

// The memory of replaced records must be reclaimed; otherwise a table with frequent updates would grow without bound.
func TestReplacedRecordMemoryReclaimed(t *testing.T) {
	table := NewTable()
	for round := range 200 {
		for i := range 500 {
			table.Put(Record{Key{Route, fmt.Sprint(i)}, make([]byte, 1000), uint64(round)})
		}
	}
	if maxBytes := 16 * 6 * pageBytes; table.MemoryBytes() > maxBytes {
		t.Errorf("table uses %d bytes for %d bytes of values, want at most %d", table.MemoryBytes(), 500*1000, maxBytes)
	}
}

// Followers must refuse a missing, duplicate, reordered or divergent commit.
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
		"missing":      {commits[0], commits[2]},
		"duplicate":    {commits[0], commits[0]},
		"out of order": {commits[1]},
		"divergent":    {commits[0], commits[1], divergent},
	} {
		follower, digestFollower, failed := NewSet(Limits{}), DigestFollower{}, false
		for _, c := range sequence {
			var sequenceErr *SequenceError
			failed = errors.As(follower.ApplyCommit(c), &sequenceErr)
			if digestFailed := digestFollower.ApplyCommit(c) != nil; digestFailed != failed && name != "divergent" {
				t.Errorf("%s: the digest follower and the set disagree", name)
			}
		}
		if !failed {
			t.Errorf("%s: the commit was accepted", name)
		}
	}
}

// A corrupt snapshot must be refused with ErrCorrupt: changed, missing or reordered chunks, or a header that does not
// match or exceeds the bounds.
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
		"corrupted byte":     func(s *Snapshot) { s.Chunks[1].Data[9] ^= 1 },
		"missing chunk":      func(s *Snapshot) { s.Chunks = append(s.Chunks[:1], s.Chunks[2:]...) },
		"missing last chunk": func(s *Snapshot) { s.Chunks = s.Chunks[:len(s.Chunks)-1] },
		"reordered chunks":   func(s *Snapshot) { s.Chunks[0], s.Chunks[1] = s.Chunks[1], s.Chunks[0] },
		"other digest":       func(s *Snapshot) { s.Digest.lo++ },
		"fewer records":      func(s *Snapshot) { s.RecordCount-- },
		"more records":       func(s *Snapshot) { s.RecordCount++ },
		"too many chunks":    func(s *Snapshot) { s.ChunkCount = maxChunks + 1 },
		"no records":         func(s *Snapshot) { s.RecordCount = 0 },
	} {
		s := &Snapshot{Header: original.Header}
		for _, chunk := range original.Chunks {
			chunk.Data = append([]byte(nil), chunk.Data...)
			s.Chunks = append(s.Chunks, chunk)
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

// FuzzChunks decodes arbitrary bytes from an untrusted peer as a snapshot chunk.
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
			t.Error("the digest does not match the records")
		}
	})
}

// A packed commit must decode to the original, and a truncated or extended one must be rejected.
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
			t.Errorf("packed %s, decoded %s", want, text)
		}
		for n := range min(len(packed), 1000) {
			if _, err := ParseCommit(packed[:n]); !errors.Is(err, ErrMalformed) {
				t.Errorf("truncated to %d of %d bytes: %v", n, len(packed), err)
			}
		}
		if _, err := ParseCommit(append(packed, 0)); !errors.Is(err, ErrMalformed) {
			t.Errorf("with a trailing byte: %v", err)
		}
	}
}

// FuzzParseCommit decodes arbitrary bytes from an untrusted peer as a commit.
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
			t.Errorf("%+v decodes as %+v after packing: %v", c, decoded, err)
		}
		set := NewSet(DefaultLimits)
		if err := set.ApplyCommit(c); err == nil && (set.Revision() != 1 || set.Digest() != c.After || c.Check() != nil) {
			t.Error("an invalid commit was accepted")
		}
	})
}

// benchmarkKind is a kind of record with the table sizes to benchmark; put returns records of the form described in
// docs/CAPACITY.md.
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

// newTable returns a table with n records of the kind.
func (k benchmarkKind) newTable(n int) *Table {
	table := NewTable()
	for i := range n {
		p := k.put(i, i)
		table.Put(Record{p.Key, p.Value, uint64(i/700 + 1)})
	}
	return table
}

// BenchmarkTable measures the memory use of a table and the cost of replacing a record.
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

// BenchmarkSnapshot measures creating and assembling a snapshot.
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

// BenchmarkCommit measures packing and parsing a commit, by its number of puts.
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
