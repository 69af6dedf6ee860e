package state

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"maps"
	"slices"
)

// Parts is in how many parts copies compare what they hold, one at a time.
const Parts = 16

// partOf is a record's part: FNV-1a by hand, since the library's wants a copy of each key.
func partOf(key string) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(key) {
		h = (h ^ uint64(key[i])) * 1099511628211
	}
	return h % Parts
}

// Digest sums a part of what the state holds, as it stands in memory: a bit that was spoilt there shows, whoever spoilt it. Copies
// that carried out the same entries have the same sums.
func (s *State) Digest(part uint64) (sum uint64) {
	part %= Parts
	var b []byte
	add := func(kind, key string, v any) {
		text, err := json.Marshal(v)
		if err != nil {
			text = []byte(err.Error())
		}
		b = append(append(append(b[:0], kind...), 0), key...)
		b = append(append(b, 0), text...)
		full := sha256.Sum256(b)
		sum += binary.BigEndian.Uint64(full[:])
	}
	addAll(part, "value", s.Values, add)
	addAll(part, "effect", s.Effects.Effects, add)
	addAll(part, "lease", s.Duties.Leases, add)
	addAll(part, "share", s.Shares.Shares, add)
	addAll(part, "word", s.Config.Acknowledgements, add)
	addAll(part, "mark", s.Marks, add)
	addAll(part, "stale", s.Stale, add)
	if s.Records.Revision() > 0 {
		sum += s.Records.Table().ShardDigest(part).Sum64()
	}
	if part == 0 {
		if r := s.Records.Revision(); r > 0 {
			add("whole", "records", r)
		}
		add("whole", "frozen", slices.Sorted(maps.Keys(s.Duties.Frozen)))
		add("whole", "counts", []any{s.Duties.Last, s.Shares.Pool, s.Shares.Version, s.Effects.Seq})
		add("whole", "version", s.Config.Latest())
	}
	return sum
}

func addAll[V any](part uint64, kind string, of map[string]V, add func(kind, key string, v any)) {
	for key, v := range of {
		if partOf(key) == part {
			add(kind, key, v)
		}
	}
}
