package records

import (
	"bytes"
	"errors"
	"fmt"
	"iter"

	"github.com/klauspost/compress/zstd"
)

const (
	targetChunkBytes        = 256 << 10                            // bytes of packed records after which a new chunk begins
	maxChunkBytes           = targetChunkBytes + 2*MaxSettingBytes // maximum decompressed size of a received chunk, in bytes
	maxChunks               = 1 << 16                              // maximum number of chunks in a received snapshot
	maxSnapshotRecords      = 1 << 24                              // maximum number of records in a received snapshot
	maxCompressedChunkBytes = maxChunkBytes + targetChunkBytes     // maximum compressed size of a received chunk, in bytes
)

// ErrCorrupt is the error of a snapshot that is damaged or does not match its header.
var ErrCorrupt = errors.New("records: corrupt snapshot")

// Header describes the content of a snapshot.
type Header struct {
	Revision        uint64 `json:"revision"`
	Digest          Digest `json:"digest"`
	RecordCount     int    `json:"records"`
	ChunkCount      int    `json:"pieces"`
	CompressedBytes int64  `json:"bytes"` // total compressed size of the chunks
}

// Chunk is a part of a snapshot, compressed and checksummed on its own.
type Chunk struct {
	Index    int    `json:"number"` // starting at 0
	Checksum uint64 `json:"checksum"`
	Data     []byte `json:"data"` // packed records, compressed
}

// Snapshot holds all records as of one revision, in compressed chunks.
type Snapshot struct {
	Header
	Chunks []Chunk
}

// NewSnapshot compresses a table, which must not change until it returns.
func NewSnapshot(t *Table, revision uint64) (*Snapshot, error) {
	encoder, err := zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(targetChunkBytes))
	if err != nil {
		return nil, err
	}
	defer encoder.Close()
	s := &Snapshot{Header: Header{Revision: revision, Digest: t.Digest(), RecordCount: t.Len()}}
	for packed := range packedChunks(t) {
		data := bytes.Clone(encoder.EncodeAll(packed, nil))
		s.Chunks = append(s.Chunks, Chunk{Index: len(s.Chunks), Checksum: Checksum(data), Data: data})
		s.CompressedBytes += int64(len(data))
	}
	s.ChunkCount = len(s.Chunks)
	return s, nil
}

// packedChunks iterates over the packed records, grouped into chunks; a chunk is valid until the next iteration.
func packedChunks(t *Table) iter.Seq[[]byte] {
	return func(yield func([]byte) bool) {
		var b []byte
		for i := range t.shards {
			for entry := range t.shards[i].entries() {
				if b = append(b, entry...); len(b) < targetChunkBytes {
					continue
				}
				if !yield(b) {
					return
				}
				b = b[:0]
			}
		}
		if len(b) > 0 {
			yield(b)
		}
	}
}

// Assembler builds a table from the chunks of a snapshot, which must arrive in order.
type Assembler struct {
	header      Header
	nextIndex   int
	table       *Table
	keepRecords bool
	decoder     *zstd.Decoder
}

// NewAssembler returns an assembler for the snapshot with the given header. Without keepRecords it verifies the records but
// does not store them, for followers that hold only digests.
func NewAssembler(h Header, keepRecords bool) (*Assembler, error) {
	if h.ChunkCount < 0 || h.ChunkCount > maxChunks || h.RecordCount < 0 || h.RecordCount > maxSnapshotRecords || (h.ChunkCount == 0) != (h.RecordCount == 0) {
		return nil, fmt.Errorf("%w: header with %d records in %d chunks", ErrCorrupt, h.RecordCount, h.ChunkCount)
	}
	decoder, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxChunkBytes), zstd.WithDecoderLowmem(true))
	if err != nil {
		return nil, err
	}
	return &Assembler{header: h, table: NewTable(), keepRecords: keepRecords, decoder: decoder}, nil
}

// Close releases the resources of the assembler, except for the table.
func (a *Assembler) Close() { a.decoder.Close() }

// Add verifies and adds the next chunk.
func (a *Assembler) Add(chunk Chunk) error {
	switch {
	case chunk.Index != a.nextIndex || chunk.Index >= a.header.ChunkCount:
		return fmt.Errorf("%w: got chunk %d, expected chunk %d of %d", ErrCorrupt, chunk.Index, a.nextIndex, a.header.ChunkCount)
	case len(chunk.Data) > maxCompressedChunkBytes:
		return fmt.Errorf("%w: chunk %d is too large: %d bytes", ErrCorrupt, chunk.Index, len(chunk.Data))
	case Checksum(chunk.Data) != chunk.Checksum:
		return fmt.Errorf("%w: checksum mismatch in chunk %d", ErrCorrupt, chunk.Index)
	}
	packed, err := a.decoder.DecodeAll(chunk.Data, nil)
	if err != nil {
		return fmt.Errorf("%w: chunk %d: %v", ErrCorrupt, chunk.Index, err)
	}
	for len(packed) > 0 {
		e, err := parseEntry(packed)
		if err != nil {
			return fmt.Errorf("%w: chunk %d: %v", ErrCorrupt, chunk.Index, err)
		}
		if err := a.addEntry(e, packed[:e.size]); err != nil {
			return err
		}
		packed = packed[e.size:]
	}
	a.nextIndex++
	return nil
}

func (a *Assembler) addEntry(e parsedEntry, packed []byte) error {
	if !a.keepRecords {
		a.table.count++
		a.table.digest.add(packed)
		return nil
	}
	if a.table.Len() >= a.header.RecordCount {
		return fmt.Errorf("%w: more than %d records", ErrCorrupt, a.header.RecordCount)
	}
	a.table.Put(Record{Key{e.kind, string(e.name)}, e.value, e.revision})
	return nil
}

// Finish verifies that the snapshot is complete and returns the table. Without keepRecords, the table has only its
// digest and length.
func (a *Assembler) Finish() (*Table, error) {
	switch {
	case a.nextIndex != a.header.ChunkCount:
		return nil, fmt.Errorf("%w: got %d of %d chunks", ErrCorrupt, a.nextIndex, a.header.ChunkCount)
	case a.table.Len() != a.header.RecordCount:
		return nil, fmt.Errorf("%w: got %d of %d records", ErrCorrupt, a.table.Len(), a.header.RecordCount)
	case a.table.Digest() != a.header.Digest:
		return nil, fmt.Errorf("%w: digest mismatch", ErrCorrupt)
	}
	return a.table, nil
}

// Assemble returns the table of a complete snapshot.
func (s *Snapshot) Assemble() (*Table, error) {
	a, err := NewAssembler(s.Header, true)
	if err != nil {
		return nil, err
	}
	defer a.Close()
	for _, chunk := range s.Chunks {
		if err := a.Add(chunk); err != nil {
			return nil, err
		}
	}
	return a.Finish()
}
