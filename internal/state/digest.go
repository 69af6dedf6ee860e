package state

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"hash/fnv"
	"maps"
	"slices"
)

// Parts is in how many parts copies compare what they hold, one at a time.
const Parts = 16

// Digest sums a part of what the state holds, as it stands in memory: a bit that was spoilt there shows, whoever spoilt it. Copies
// that carried out the same entries have the same sums.
func (s *State) Digest(part uint64) (sum uint64) {
	part %= Parts
	add := func(kind, key string, v any) {
		h := fnv.New64a()
		h.Write([]byte(kind))
		h.Write([]byte{0})
		h.Write([]byte(key))
		if h.Sum64()%Parts != part {
			return
		}
		text, err := json.Marshal(v)
		if err != nil {
			text = []byte(err.Error())
		}
		full := sha256.New()
		full.Write([]byte(kind))
		full.Write([]byte{0})
		full.Write([]byte(key))
		full.Write([]byte{0})
		full.Write(text)
		sum += binary.BigEndian.Uint64(full.Sum(nil))
	}
	for k, v := range s.Values {
		add("value", k, v)
	}
	for id, e := range s.Effects.Effects {
		add("effect", id, e)
	}
	for name, l := range s.Duties.Leases {
		add("lease", name, l)
	}
	for who, v := range s.Shares.Shares {
		add("share", who, v)
	}
	for who, v := range s.Config.Words {
		add("word", who, v)
	}
	for name, n := range s.Marks {
		add("mark", name, n)
	}
	for name, n := range s.Stale {
		add("stale", name, n)
	}
	add("whole", "frozen", slices.Sorted(maps.Keys(s.Duties.Frozen)))
	add("whole", "counts", []any{s.Duties.Last, s.Shares.Pool, s.Shares.Version, s.Effects.Seq})
	add("whole", "version", s.Config.Latest())
	return sum
}
