package records

import (
	"encoding/binary"
	"errors"
	"iter"

	"github.com/zeebo/xxh3"
)

const (
	shardCount     = 16        // number of shards; store replicas compare the digests of one shard at a time
	pageBytes      = 256 << 10 // size of a page, in bytes
	entryAlignment = 8         // bytes; positions count in this unit, so that 32 bits address 32 GiB per shard
	minSlots       = 16        // minimum number of slots in an index
)

// ErrMalformed is the error of bytes that do not encode a record or a commit.
var ErrMalformed = errors.New("records: malformed record")

// Table holds packed records: the entries are stored one after another in pages without pointers and found through a hash index.
// The pointer-free form keeps the memory use of half a million records close to their encoded size, and the work of the garbage
// collector small. A table is not safe for concurrent use. Entries are never changed in place, so a Clone can be read while the
// table changes.
type Table struct {
	shards [shardCount]shard
	digest Digest
	count  int
}

// shard is the part of a table that holds the keys of one hash class.
type shard struct {
	pages      []page
	slots      []uint32 // hash index with linear probing: positions of entries; 0: free
	entryCount int
	liveBytes  int // bytes of the entries in the index
	usedBytes  int // bytes of all entries in the pages, including those replaced or deleted
}

// page is a block of memory that holds entries.
type page []byte

// NewTable returns an empty table.
func NewTable() *Table { return &Table{} }

// Len returns the number of records.
func (t *Table) Len() int { return t.count }

// Digest returns the digest of all records.
func (t *Table) Digest() Digest { return t.digest }

// MemoryBytes returns the memory use of the records and their index, in bytes.
func (t *Table) MemoryBytes() (n int) {
	for i := range t.shards {
		s := &t.shards[i]
		n += len(s.slots)*4 + len(s.pages)*pageBytes
	}
	return n
}

// appendEntry appends the packed form of a record: kind, name, revision, value.
func appendEntry(b []byte, r Record) []byte {
	b = append(b, byte(r.Kind))
	b = binary.AppendUvarint(b, uint64(len(r.Name)))
	b = append(b, r.Name...)
	b = binary.AppendUvarint(b, r.Revision)
	b = binary.AppendUvarint(b, uint64(len(r.Value)))
	return append(b, r.Value...)
}

// entrySize returns the size of a packed record, in bytes.
func entrySize(r Record) int {
	return 1 + uvarintSize(uint64(len(r.Name))) + len(r.Name) + uvarintSize(r.Revision) + uvarintSize(uint64(len(r.Value))) + len(r.Value)
}

func uvarintSize(v uint64) int {
	var b [binary.MaxVarintLen64]byte
	return binary.PutUvarint(b[:], v)
}

// parsedEntry is a decoded entry whose name and value refer to the bytes from which it was decoded.
type parsedEntry struct {
	kind     Kind
	name     []byte
	revision uint64
	value    []byte
	size     int
}

// parseEntry decodes the entry at the start of b.
func parseEntry(b []byte) (e parsedEntry, err error) {
	if len(b) == 0 {
		return e, ErrMalformed
	}
	e.kind = Kind(b[0])
	offset := 1
	field := func(maxBytes uint64) []byte {
		n, width := binary.Uvarint(b[offset:])
		if width <= 0 || n > maxBytes || n > uint64(len(b)-offset-width) {
			err = ErrMalformed
			return nil
		}
		offset += width + int(n)
		return b[offset-int(n) : offset]
	}
	if e.name = field(MaxNameBytes); err != nil || e.kind.MaxValueBytes() == 0 {
		return e, ErrMalformed
	}
	revision, width := binary.Uvarint(b[offset:])
	if width <= 0 {
		return e, ErrMalformed
	}
	e.revision = revision
	offset += width
	if e.value = field(uint64(e.kind.MaxValueBytes())); err != nil {
		return e, ErrMalformed
	}
	e.size = offset
	return e, nil
}

func hashKey(kind Kind, name string) uint64 { return xxh3.HashStringSeed(name, uint64(kind)) }

func (s *shard) entryAt(position uint32) []byte {
	offset := int(position) * entryAlignment
	return s.pages[offset/pageBytes][offset%pageBytes:]
}

// Get returns the value and the revision of a record. The caller must not change the value.
func (t *Table) Get(k Key) (value []byte, revision uint64, ok bool) {
	h := hashKey(k.Kind, k.Name)
	s := &t.shards[h%shardCount]
	if i, found := s.find(h, k); found {
		e, _ := parseEntry(s.entryAt(s.slots[i]))
		return e.value, e.revision, true
	}
	return nil, 0, false
}

// find returns the slot of a key, or the free slot in which the key would be inserted.
func (s *shard) find(h uint64, k Key) (slot int, found bool) {
	if len(s.slots) == 0 {
		return 0, false
	}
	mask := len(s.slots) - 1
	for i := int(h/shardCount) & mask; ; i = (i + 1) & mask {
		if s.slots[i] == 0 {
			return i, false
		}
		if e, _ := parseEntry(s.entryAt(s.slots[i])); e.kind == k.Kind && string(e.name) == k.Name {
			return i, true
		}
	}
}

// Put inserts or replaces a record.
func (t *Table) Put(r Record) {
	h := hashKey(r.Kind, r.Name)
	s := &t.shards[h%shardCount]
	if s.entryCount*3 >= len(s.slots)*2 {
		s.grow()
	}
	i, found := s.find(h, r.Key)
	if found {
		t.digest.remove(s.uncountEntry(i))
		t.count--
	}
	position, entry := s.appendRecord(r)
	s.slots[i] = position
	s.entryCount++
	s.liveBytes += len(entry)
	t.count++
	t.digest.add(entry)
	if s.usedBytes > 2*s.liveBytes+pageBytes {
		s.compact()
	}
}

// uncountEntry subtracts an entry from the counts and returns its bytes. The caller reuses or frees the slot.
func (s *shard) uncountEntry(i int) []byte {
	b := s.entryAt(s.slots[i])
	e, _ := parseEntry(b)
	s.entryCount--
	s.liveBytes -= e.size
	return b[:e.size]
}

// appendRecord appends an entry to the pages.
func (s *shard) appendRecord(r Record) (position uint32, entry []byte) {
	size := entrySize(r)
	last := len(s.pages) - 1
	if last < 0 || len(s.pages[last])+size > pageBytes {
		newPage := make(page, 0, pageBytes)
		if last < 0 {
			newPage = newPage[:entryAlignment] // position 0 marks a free slot
		}
		s.pages = append(s.pages, newPage)
		last++
	}
	if cap(s.pages[last]) < pageBytes { // a clone: the remaining capacity belongs to the other table
		s.pages[last] = append(make(page, 0, pageBytes), s.pages[last]...)
	}
	start := len(s.pages[last])
	pageData := appendEntry(s.pages[last], r)
	entry = pageData[start:]
	padded := min((len(pageData)+entryAlignment-1)/entryAlignment*entryAlignment, pageBytes)
	s.pages[last] = pageData[:padded]
	s.usedBytes += size
	return uint32((last*pageBytes + start) / entryAlignment), entry
}

// Delete removes a record and reports whether it existed.
func (t *Table) Delete(k Key) bool {
	h := hashKey(k.Kind, k.Name)
	s := &t.shards[h%shardCount]
	i, found := s.find(h, k)
	if !found {
		return false
	}
	t.digest.remove(s.uncountEntry(i))
	t.count--
	s.freeSlot(i)
	return true
}

// freeSlot frees a slot and shifts back the following entries that linear probing would no longer reach.
func (s *shard) freeSlot(gap int) {
	mask := len(s.slots) - 1
	s.slots[gap] = 0
	for i := (gap + 1) & mask; s.slots[i] != 0; i = (i + 1) & mask {
		e, _ := parseEntry(s.entryAt(s.slots[i]))
		home := int(hashKey(e.kind, string(e.name))/shardCount) & mask
		if (i-home)&mask >= (i-gap)&mask {
			s.slots[gap], s.slots[i] = s.slots[i], 0
			gap = i
		}
	}
}

// grow doubles the size of the index.
func (s *shard) grow() {
	s.rebuild(max(2*len(s.slots), minSlots), func(position uint32) uint32 { return position })
}

// compact copies the entries in the index to new pages and drops the rest.
func (s *shard) compact() {
	old := *s
	s.pages, s.usedBytes = nil, 0
	s.rebuild(len(old.slots), func(position uint32) uint32 {
		e, _ := parseEntry(old.entryAt(position))
		newPosition, _ := s.appendRecord(Record{Key{e.kind, string(e.name)}, e.value, e.revision})
		return newPosition
	})
}

// rebuild creates an index of the given size, with each position mapped by relocate.
func (s *shard) rebuild(slotCount int, relocate func(uint32) uint32) {
	old := s.slots
	s.slots = make([]uint32, slotCount)
	for _, position := range old {
		if position == 0 {
			continue
		}
		position = relocate(position)
		e, _ := parseEntry(s.entryAt(position))
		i := int(hashKey(e.kind, string(e.name))/shardCount) & (slotCount - 1)
		for s.slots[i] != 0 {
			i = (i + 1) & (slotCount - 1)
		}
		s.slots[i] = position
	}
}

// All iterates over the records in no particular order. The caller must not change the values.
func (t *Table) All() iter.Seq[Record] {
	return func(yield func(Record) bool) {
		for i := range t.shards {
			for entry := range t.shards[i].entries() {
				e, _ := parseEntry(entry)
				if !yield(Record{Key{e.kind, string(e.name)}, e.value, e.revision}) {
					return
				}
			}
		}
	}
}

// entries iterates over the packed entries.
func (s *shard) entries() iter.Seq[[]byte] {
	return func(yield func([]byte) bool) {
		for _, position := range s.slots {
			if position == 0 {
				continue
			}
			b := s.entryAt(position)
			e, _ := parseEntry(b)
			if !yield(b[:e.size]) {
				return
			}
		}
	}
}

// ShardDigest recomputes the digest of one of the 16 shards from the entries in memory, so that it detects memory corruption.
func (t *Table) ShardDigest(index uint64) (d Digest) {
	for entry := range t.shards[index%shardCount].entries() {
		d.add(entry)
	}
	return d
}

// Clone returns a copy of the table. It copies the index and shares the entries, which are never changed in place.
func (t *Table) Clone() *Table {
	c := *t
	for i := range c.shards {
		s := &c.shards[i]
		s.slots = append([]uint32(nil), s.slots...)
		s.pages = append([]page(nil), s.pages...)
		if last := len(s.pages) - 1; last >= 0 { // cap the capacity: a write to the clone must not reach the shared page
			s.pages[last] = s.pages[last][:len(s.pages[last]):len(s.pages[last])]
		}
	}
	return &c
}
