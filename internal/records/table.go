package records

import (
	"encoding/binary"
	"errors"
	"iter"

	"github.com/zeebo/xxh3"
)

const (
	shards     = 16 // by hash; copies of the store compare one of them at a time
	chunkBytes = 256 << 10
	alignment  = 8 // positions in chunks are counted in so many bytes, so that 32 bits reach far
	minSlots   = 16
)

// ErrMalformed is the error of bytes that are no record.
var ErrMalformed = errors.New("records: malformed record")

// Table holds records, packed: the entries stand one behind the other in chunks without pointers, found by an index of
// hashes. A pointer-free form keeps the memory of half a million records near their bytes and the collector's work small.
// It is not safe for concurrent use. Entries are never changed in place, so a Clone may be read while the table goes on.
type Table struct {
	shards [shards]shard
	digest Digest
	count  int
}

// shard is a part of a table, by hash.
type shard struct {
	chunks []chunk
	slots  []uint32 // positions of entries, by hash, with linear probing; 0: free
	count  int
	live   int // bytes of entries that are in the index
	used   int // bytes of all entries in the chunks
}

type chunk []byte

// NewTable is an empty table.
func NewTable() *Table { return &Table{} }

// Len is the number of records.
func (t *Table) Len() int { return t.count }

// Digest sums all records.
func (t *Table) Digest() Digest { return t.digest }

// Bytes is what the records and their index take, in bytes.
func (t *Table) Bytes() (n int) {
	for i := range t.shards {
		s := &t.shards[i]
		n += len(s.slots)*4 + len(s.chunks)*chunkBytes
	}
	return n
}

// appendEntry packs a record: kind, name, revision, value.
func appendEntry(b []byte, r Record) []byte {
	b = append(b, byte(r.Kind))
	b = binary.AppendUvarint(b, uint64(len(r.Name)))
	b = append(b, r.Name...)
	b = binary.AppendUvarint(b, r.Revision)
	b = binary.AppendUvarint(b, uint64(len(r.Value)))
	return append(b, r.Value...)
}

// entrySize is the length of a packed record.
func entrySize(r Record) int {
	return 1 + uvarintSize(uint64(len(r.Name))) + len(r.Name) + uvarintSize(r.Revision) + uvarintSize(uint64(len(r.Value))) + len(r.Value)
}

func uvarintSize(v uint64) int {
	var b [binary.MaxVarintLen64]byte
	return binary.PutUvarint(b[:], v)
}

// parsed is an entry in place: its parts point into the bytes that it was read from.
type parsed struct {
	kind     Kind
	name     []byte
	revision uint64
	value    []byte
	size     int
}

// parseEntry reads the entry at the beginning of b.
func parseEntry(b []byte) (e parsed, err error) {
	if len(b) == 0 {
		return e, ErrMalformed
	}
	e.kind = Kind(b[0])
	at := 1
	field := func(most uint64) []byte {
		n, width := binary.Uvarint(b[at:])
		if width <= 0 || n > most || n > uint64(len(b)-at-width) {
			err = ErrMalformed
			return nil
		}
		at += width + int(n)
		return b[at-int(n) : at]
	}
	if e.name = field(MaxName); err != nil || e.kind.MaxValue() == 0 {
		return e, ErrMalformed
	}
	revision, width := binary.Uvarint(b[at:])
	if width <= 0 {
		return e, ErrMalformed
	}
	e.revision = revision
	at += width
	if e.value = field(uint64(e.kind.MaxValue())); err != nil {
		return e, ErrMalformed
	}
	e.size = at
	return e, nil
}

func hashKey(kind Kind, name string) uint64 { return xxh3.HashStringSeed(name, uint64(kind)) }

func (s *shard) entry(position uint32) []byte {
	at := int(position) * alignment
	return s.chunks[at/chunkBytes][at%chunkBytes:]
}

// Get finds a record. The value must not be changed.
func (t *Table) Get(k Key) (value []byte, revision uint64, ok bool) {
	h := hashKey(k.Kind, k.Name)
	s := &t.shards[h%shards]
	if i, found := s.find(h, k); found {
		e, _ := parseEntry(s.entry(s.slots[i]))
		return e.value, e.revision, true
	}
	return nil, 0, false
}

// find is the slot of a key, or the free one in which it would stand.
func (s *shard) find(h uint64, k Key) (slot int, found bool) {
	if len(s.slots) == 0 {
		return 0, false
	}
	mask := len(s.slots) - 1
	for i := int(h/shards) & mask; ; i = (i + 1) & mask {
		if s.slots[i] == 0 {
			return i, false
		}
		if e, _ := parseEntry(s.entry(s.slots[i])); e.kind == k.Kind && string(e.name) == k.Name {
			return i, true
		}
	}
}

// Put sets a record.
func (t *Table) Put(r Record) {
	h := hashKey(r.Kind, r.Name)
	s := &t.shards[h%shards]
	if s.count*3 >= len(s.slots)*2 {
		s.grow()
	}
	i, found := s.find(h, r.Key)
	if found {
		t.digest.remove(s.drop(i))
		t.count--
	}
	position, entry := s.write(r)
	s.slots[i] = position
	s.count++
	s.live += len(entry)
	t.count++
	t.digest.add(entry)
	if s.used > 2*s.live+chunkBytes {
		s.compact()
	}
}

// drop takes an entry out of the counts and returns its bytes; its slot is the caller's to fill.
func (s *shard) drop(i int) []byte {
	b := s.entry(s.slots[i])
	e, _ := parseEntry(b)
	s.count--
	s.live -= e.size
	return b[:e.size]
}

// write appends an entry to the chunks.
func (s *shard) write(r Record) (position uint32, entry []byte) {
	size := entrySize(r)
	last := len(s.chunks) - 1
	if last < 0 || len(s.chunks[last])+size > chunkBytes {
		fresh := make(chunk, 0, chunkBytes)
		if last < 0 {
			fresh = fresh[:alignment] // position 0 stands for a free slot
		}
		s.chunks = append(s.chunks, fresh)
		last++
	}
	if cap(s.chunks[last]) < chunkBytes { // the rest of it is another table's
		s.chunks[last] = append(make(chunk, 0, chunkBytes), s.chunks[last]...)
	}
	begin := len(s.chunks[last])
	c := appendEntry(s.chunks[last], r)
	entry = c[begin:]
	padded := min((len(c)+alignment-1)/alignment*alignment, chunkBytes)
	s.chunks[last] = c[:padded]
	s.used += size
	return uint32((last*chunkBytes + begin) / alignment), entry
}

// Delete removes a record; false: it was not there.
func (t *Table) Delete(k Key) bool {
	h := hashKey(k.Kind, k.Name)
	s := &t.shards[h%shards]
	i, found := s.find(h, k)
	if !found {
		return false
	}
	t.digest.remove(s.drop(i))
	t.count--
	s.closeGap(i)
	return true
}

// closeGap frees a slot and moves back those behind it that would not be found past a free one.
func (s *shard) closeGap(gap int) {
	mask := len(s.slots) - 1
	s.slots[gap] = 0
	for i := (gap + 1) & mask; s.slots[i] != 0; i = (i + 1) & mask {
		e, _ := parseEntry(s.entry(s.slots[i]))
		home := int(hashKey(e.kind, string(e.name))/shards) & mask
		if (i-home)&mask >= (i-gap)&mask {
			s.slots[gap], s.slots[i] = s.slots[i], 0
			gap = i
		}
	}
}

// grow doubles the index.
func (s *shard) grow() {
	s.rebuild(max(2*len(s.slots), minSlots), func(position uint32) uint32 { return position })
}

// compact leaves out the entries that are no longer in the index.
func (s *shard) compact() {
	old := *s
	s.chunks, s.used = nil, 0
	s.rebuild(len(old.slots), func(position uint32) uint32 {
		e, _ := parseEntry(old.entry(position))
		moved, _ := s.write(Record{Key{e.kind, string(e.name)}, e.value, e.revision})
		return moved
	})
}

// rebuild makes the index anew, with positions moved.
func (s *shard) rebuild(size int, move func(uint32) uint32) {
	old := s.slots
	s.slots = make([]uint32, size)
	for _, position := range old {
		if position == 0 {
			continue
		}
		position = move(position)
		e, _ := parseEntry(s.entry(position))
		i := int(hashKey(e.kind, string(e.name))/shards) & (size - 1)
		for s.slots[i] != 0 {
			i = (i + 1) & (size - 1)
		}
		s.slots[i] = position
	}
}

// All walks the records, in no order. The values must not be changed.
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

// entries walks the packed entries.
func (s *shard) entries() iter.Seq[[]byte] {
	return func(yield func([]byte) bool) {
		for _, position := range s.slots {
			if position == 0 {
				continue
			}
			b := s.entry(position)
			e, _ := parseEntry(b)
			if !yield(b[:e.size]) {
				return
			}
		}
	}
}

// PartDigest sums one of sixteen parts from the entries as they stand in memory.
func (t *Table) PartDigest(part uint64) (d Digest) {
	for entry := range t.shards[part%shards].entries() {
		d.add(entry)
	}
	return d
}

// Clone copies the index and shares the entries, which are never changed in place.
func (t *Table) Clone() *Table {
	c := *t
	for i := range c.shards {
		s := &c.shards[i]
		s.slots = append([]uint32(nil), s.slots...)
		s.chunks = append([]chunk(nil), s.chunks...)
		if last := len(s.chunks) - 1; last >= 0 { // a clone that is written to must not write into the shared chunk
			s.chunks[last] = s.chunks[last][:len(s.chunks[last]):len(s.chunks[last])]
		}
	}
	return &c
}
