package state

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"maps"
	"slices"
)

// DigestPartitions is the number of partitions of the state. Replicas compare the digests of one partition at a time.
const DigestPartitions = 16

// partitionOf returns the partition of a key: FNV-1a, written out because hash/fnv requires a copy of each key.
func partitionOf(key string) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(key) {
		h = (h ^ uint64(key[i])) * 1099511628211
	}
	return h % DigestPartitions
}

// Digest returns a checksum of one partition, computed from the state in memory, so that memory corruption of any cause is
// detected. Replicas that applied the same entries have equal digests.
func (s *State) Digest(partition uint64) (sum uint64) {
	partition %= DigestPartitions
	var b []byte
	add := func(kind, key string, v any) {
		text, err := json.Marshal(v)
		if err != nil {
			text = []byte(err.Error())
		}
		b = append(append(append(b[:0], kind...), 0), key...)
		b = append(append(b, 0), text...)
		hash := sha256.Sum256(b)
		sum += binary.BigEndian.Uint64(hash[:])
	}
	addAll(partition, "value", s.Values, add)
	addAll(partition, "effect", s.Effects.Effects, add)
	addAll(partition, "lease", s.Duties.Leases, add)
	addAll(partition, "share", s.Allocations.Shares, add)
	addAll(partition, "word", s.Config.Acknowledgements, add)
	addAll(partition, "mark", s.Counters, add)
	addAll(partition, "stale", s.StaleRefusals, add)
	if s.Records.Revision() > 0 {
		sum += s.Records.Table().ShardDigest(partition).Sum64()
	}
	if partition == 0 {
		if r := s.Records.Revision(); r > 0 {
			add("whole", "records", r)
		}
		add("whole", "frozen", slices.Sorted(maps.Keys(s.Duties.Frozen)))
		add("whole", "counts", []any{s.Duties.LastEpoch, s.Allocations.Pool, s.Allocations.Version, s.Effects.Seq})
		add("whole", "version", s.Config.Latest())
	}
	return sum
}

func addAll[V any](partition uint64, kind string, entries map[string]V, add func(kind, key string, v any)) {
	for key, v := range entries {
		if partitionOf(key) == partition {
			add(kind, key, v)
		}
	}
}
