package records

import (
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
func TestChangesAreRefusedWhole(t *testing.T) {
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
	before, many := s.Digest(), []Put{}
	for i := range MaxChangeKeys + 1 {
		many = append(many, tenantPut(fmt.Sprint(i), ""))
	}
	heavy := Change{}
	for i := range 3 {
		heavy.Puts = append(heavy.Puts, Put{Key{Setting, fmt.Sprint(i)}, make([]byte, MaxSetting)})
	}
	good := tenantPut("good", "1")
	for name, c := range map[string]struct {
		change Change
		key    Key
		reason error
	}{
		"empty":           {Change{}, Key{}, ErrEmpty},
		"unknown kind":    {Change{Puts: []Put{good, {Key{9, "x"}, nil}}}, Key{9, "x"}, ErrKind},
		"no name":         {Change{Puts: []Put{good, tenantPut("", "1")}}, Key{Tenant, ""}, ErrName},
		"a space":         {Change{Puts: []Put{good, tenantPut("a b", "1")}}, Key{Tenant, "a b"}, ErrName},
		"twice":           {Change{Puts: []Put{good}, Deletes: []Key{good.Key}}, good.Key, ErrTwice},
		"a large value":   {Change{Puts: []Put{good, tenantPut("x", strings.Repeat("x", MaxTenant+1))}}, Key{Tenant, "x"}, ErrTooLarge},
		"many keys":       {Change{Puts: many}, Key{}, ErrTooLarge},
		"many bytes":      {heavy, Key{}, ErrTooLarge},
		"stale":           {Change{Base: 1, Puts: []Put{good, tenantPut("a", "3")}}, Key{Tenant, "a"}, ErrStale},
		"stale delete":    {Change{Base: 2, Deletes: []Key{good.Key, {Tenant, "b"}}}, Key{Tenant, "b"}, ErrStale},
		"from the future": {Change{Base: 4, Puts: []Put{good}}, Key{}, ErrFuture},
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
	if _, err := s.Apply(Change{Base: 2, Puts: []Put{good, tenantPut("a", "3")}}); err != nil {
		t.Errorf("a change on the latest of its keys: %v", err)
	}
}

// Random changes on a table against a plain map; followers of the commits, snapshots and frozen sets have the same.
func TestTableAgainstAMap(t *testing.T) {
	for seed := range uint64(6) {
		rng := rand.New(rand.NewPCG(seed, 1))
		s, follower := NewSet(Limits{Commits: 50, Bytes: 1 << 20}), NewSet(Limits{})
		marker := Marker{}
		plain := map[Key]string{}
		for range 1500 {
			c := randomChange(rng)
			commit, err := s.Apply(c)
			if err != nil {
				t.Fatal(err)
			}
			for _, p := range c.Puts {
				plain[p.Key] = string(p.Value)
			}
			for _, k := range c.Deletes {
				delete(plain, k)
			}
			if err := errors.Join(follower.Follow(commit), marker.Follow(commit)); err != nil {
				t.Fatal(err)
			}
			if s.Table().Len() != len(plain) {
				t.Fatalf("seed %d: %d records of %d", seed, s.Table().Len(), len(plain))
			}
		}
		sameRecords(t, s.Table(), plain)
		sameRecords(t, follower.Table(), plain)
		if marker.Digest != s.Digest() || follower.Digest() != s.Digest() || s.Digest() != sumOf(s.Table()) {
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
		sameRecords(t, table, plain)
		thawed := thaw(t, s)
		for _, base := range []uint64{s.Revision() - 40, s.Revision() - 1} { // what is stale is so on every copy
			for range 200 {
				c := randomChange(rng)
				c.Base = base
				_, a := thaw(t, s).Apply(c)
				_, b := thaw(t, thawed).Apply(c)
				if fmt.Sprint(a) != fmt.Sprint(b) {
					t.Fatalf("seed %d: %v and %v", seed, a, b)
				}
				break
			}
		}
		if s.Floor() != s.Revision()-50 || thawed.Floor() != s.Floor() {
			t.Errorf("seed %d: floors %d and %d at %d", seed, s.Floor(), thawed.Floor(), s.Revision())
		}
	}
}

func thaw(t *testing.T, s *Set) *Set {
	t.Helper()
	b, err := json.Marshal(s.Freeze())
	if err != nil {
		t.Fatal(err)
	}
	var f Frozen
	if err := json.Unmarshal(b, &f); err != nil {
		t.Fatal(err)
	}
	return f.Thaw(s.limits)
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

func sameRecords(t *testing.T, table *Table, plain map[Key]string) {
	t.Helper()
	found := map[Key]string{}
	for r := range table.All() {
		found[r.Key] = string(r.Value)
	}
	if !maps.Equal(found, plain) {
		t.Errorf("%d records, and %d are wanted", len(found), len(plain))
	}
	for k, v := range plain {
		if got, _, ok := table.Get(k); !ok || string(got) != v {
			t.Fatalf("%s is not found", k)
		}
	}
}

func sumOf(t *Table) (d Digest) {
	for i := range uint64(shards) {
		d.merge(t.PartDigest(i))
	}
	return d
}

// A clone stays as it was while the table goes on, and can be written to by itself.
func TestClonesAreApart(t *testing.T) {
	table := NewTable()
	for i := range 3000 {
		table.Put(Record{Key{Tenant, fmt.Sprint(i)}, []byte("before"), 1})
	}
	clone, digest := table.Clone(), table.Digest()
	for i := range 3000 {
		table.Put(Record{Key{Tenant, fmt.Sprint(i)}, []byte("after"), 2})
	}
	if clone.Digest() != digest || sumOf(clone) != digest {
		t.Error("the clone changed")
	}
	for i := range 10 {
		clone.Put(Record{Key{Tenant, fmt.Sprint(i)}, []byte("elsewhere"), 3})
	}
	if v, _, _ := table.Get(Key{Tenant, "3"}); string(v) != "after" {
		t.Errorf("the table has %q", v)
	}
	if sumOf(table) != table.Digest() || sumOf(clone) != clone.Digest() {
		t.Error("a digest is not that of the records")
	}
}

// Space of records that were replaced is used again.
func TestReplacedRecordsTakeNoRoom(t *testing.T) {
	table := NewTable()
	for round := range 200 {
		for i := range 500 {
			table.Put(Record{Key{Route, fmt.Sprint(i)}, make([]byte, 1000), uint64(round)})
		}
	}
	if most := 16 * 6 * chunkBytes; table.Bytes() > most {
		t.Errorf("%d bytes for %d of records, %d at most", table.Bytes(), 500*1000, most)
	}
}

// Followers refuse what is not the next commit of the same records.
func TestFollowersRefuseWhatDoesNotFollow(t *testing.T) {
	s := NewSet(DefaultLimits)
	var commits []Commit
	for i := range 5 {
		c, err := s.Apply(Change{Puts: []Put{tenantPut(fmt.Sprint(i), "x")}})
		if err != nil {
			t.Fatal(err)
		}
		commits = append(commits, c)
	}
	other := commits[2]
	other.Puts = []Put{tenantPut("2", "y")}
	for name, order := range map[string][]Commit{
		"one left out": {commits[0], commits[2]},
		"one twice":    {commits[0], commits[0]},
		"out of order": {commits[1]},
		"another":      {commits[0], commits[1], other},
	} {
		f, m, failed := NewSet(Limits{}), Marker{}, false
		for _, c := range order {
			var e *OrderError
			failed = errors.As(f.Follow(c), &e)
			if marked := m.Follow(c) != nil; marked != failed && name != "another" {
				t.Errorf("%s: a marker and a set differ", name)
			}
		}
		if !failed {
			t.Errorf("%s: taken", name)
		}
	}
}

// A snapshot that was spoilt anywhere is refused, and takes no more memory than its bounds.
func TestSpoiltSnapshotsAreRefused(t *testing.T) {
	table := NewTable()
	for i := range 9000 {
		table.Put(Record{Key{Route, fmt.Sprint(i)}, []byte(strings.Repeat(fmt.Sprint(i), 20)), uint64(i)})
	}
	whole, err := NewSnapshot(table, 7)
	if err != nil || whole.Pieces < 3 {
		t.Fatal(err, whole.Pieces)
	}
	for name, change := range map[string]func(s *Snapshot){
		"a byte":            func(s *Snapshot) { s.Content[1].Data[9] ^= 1 },
		"a piece left out":  func(s *Snapshot) { s.Content = append(s.Content[:1], s.Content[2:]...) },
		"a piece cut off":   func(s *Snapshot) { s.Content = s.Content[:len(s.Content)-1] },
		"two exchanged":     func(s *Snapshot) { s.Content[0], s.Content[1] = s.Content[1], s.Content[0] },
		"another digest":    func(s *Snapshot) { s.Digest.lo++ },
		"fewer records":     func(s *Snapshot) { s.Records-- },
		"more records":      func(s *Snapshot) { s.Records++ },
		"no end of pieces":  func(s *Snapshot) { s.Pieces = maxPieces + 1 },
		"pieces of nothing": func(s *Snapshot) { s.Records = 0 },
	} {
		s := &Snapshot{Header: whole.Header}
		for _, p := range whole.Content {
			p.Data = append([]byte(nil), p.Data...)
			s.Content = append(s.Content, p)
		}
		change(s)
		if _, err := s.Assemble(); !errors.Is(err, ErrSpoilt) {
			t.Errorf("%s: %v", name, err)
		}
	}
	if _, err := whole.Assemble(); err != nil {
		t.Error(err)
	}
}

// FuzzPieces decodes what anybody may send as a piece.
func FuzzPieces(f *testing.F) {
	table := NewTable()
	for i := range 30 {
		table.Put(Record{Key{Kind(1 + i%3), fmt.Sprint(i)}, []byte("value"), uint64(i)})
	}
	s, err := NewSnapshot(table, 1)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(s.Content[0].Data)
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		a, err := NewAssembler(Header{Records: 100, Pieces: 1}, true)
		if err != nil {
			t.Fatal(err)
		}
		defer a.Close()
		if a.Add(Piece{Checksum: Checksum(data), Data: data}) == nil && a.table.Digest() != sumOf(a.table) {
			t.Error("a digest is not that of the records")
		}
	})
}

// FuzzCommits decodes what anybody may send as a commit.
func FuzzCommits(f *testing.F) {
	s := NewSet(DefaultLimits)
	c, err := s.Apply(Change{Puts: []Put{tenantPut("a", "1")}})
	if err != nil {
		f.Fatal(err)
	}
	b, err := json.Marshal(c)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Add([]byte(`{"revision":1,"puts":[{"kind":"tenant","name":"a"},{"kind":"tenant","name":"a"}]}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		var c Commit
		if json.Unmarshal(text, &c) != nil {
			return
		}
		set := NewSet(DefaultLimits)
		if err := set.Follow(c); err == nil && (set.Revision() != 1 || set.Digest() != c.After || c.Check() != nil) {
			t.Error("a commit was taken that does not hold")
		}
	})
}

// BenchmarkTable measures what records take, and what a change of them costs.
func BenchmarkTable(b *testing.B) {
	for _, n := range []int{30000, 100000, 240000, 477000} {
		b.Run(fmt.Sprintf("records=%d", n), func(b *testing.B) {
			table := NewTable()
			for i := range n {
				table.Put(Record{Key{Tenant, fmt.Sprintf("tenant-%06d", i)}, []byte(`{"share":0.0000025,"limit":12.5}`), 1})
			}
			b.ReportMetric(float64(table.Bytes())/float64(n), "bytes/record")
			i := 0
			for b.Loop() {
				i++
				table.Put(Record{Key{Tenant, fmt.Sprintf("tenant-%06d", i*7919%n)}, []byte(`{"share":0.0000025,"limit":13.5}`), uint64(i)})
			}
		})
	}
}

// BenchmarkSnapshot measures a snapshot's making and taking.
func BenchmarkSnapshot(b *testing.B) {
	for _, n := range []int{30000, 100000, 240000, 477000} {
		table := NewTable()
		for i := range n {
			table.Put(Record{Key{Tenant, fmt.Sprintf("tenant-%06d", i)}, fmt.Appendf(nil, `{"share":0.0000025,"limit":%d.5}`, i%500), uint64(i / 700)})
		}
		var s *Snapshot
		b.Run(fmt.Sprintf("make/records=%d", n), func(b *testing.B) {
			for b.Loop() {
				var err error
				if s, err = NewSnapshot(table, 1); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(s.Bytes)/float64(n), "bytes/record")
		})
		b.Run(fmt.Sprintf("take/records=%d", n), func(b *testing.B) {
			for b.Loop() {
				if _, err := s.Assemble(); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
