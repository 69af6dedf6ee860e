package records

import (
	"bytes"
	"errors"
	"fmt"
	"iter"

	"github.com/klauspost/compress/zstd"
)

const (
	targetChunkBytes        = 256 << 10                            // of packed records in one piece, but for the last record
	maxChunkBytes           = targetChunkBytes + 2*MaxSettingBytes // of a piece that is taken
	maxChunks               = 1 << 16                              // of a snapshot that is taken
	maxSnapshotRecords      = 1 << 24                              // of a snapshot that is taken
	maxCompressedChunkBytes = maxChunkBytes + targetChunkBytes     // of a piece as it is sent
)

// ErrCorrupt is the error of a snapshot that is not what its header says.
var ErrCorrupt = errors.New("records: spoilt snapshot")

// Header tells what a snapshot holds.
type Header struct {
	Revision        uint64 `json:"revision"`
	Digest          Digest `json:"digest"`
	RecordCount     int    `json:"records"`
	ChunkCount      int    `json:"pieces"`
	CompressedBytes int64  `json:"bytes"` // of all pieces, compressed
}

// Chunk is a part of a snapshot.
type Chunk struct {
	Index    int    `json:"number"` // from 0
	Checksum uint64 `json:"checksum"`
	Data     []byte `json:"data"` // packed records, compressed
}

// Snapshot is all records as of one revision, in compressed pieces.
type Snapshot struct {
	Header
	Chunks []Chunk
}

// NewSnapshot compresses a table that nobody changes meanwhile.
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

// packedChunks gathers packed records into pieces; a piece is valid until the next one.
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

// Assembler puts a snapshot together from pieces that come in order.
type Assembler struct {
	header      Header
	nextIndex   int
	table       *Table
	keepRecords bool
	decoder     *zstd.Decoder
}

// NewAssembler begins a snapshot. Without keep the records are checked and not held, for followers that hold digests alone.
func NewAssembler(h Header, keepRecords bool) (*Assembler, error) {
	if h.ChunkCount < 0 || h.ChunkCount > maxChunks || h.RecordCount < 0 || h.RecordCount > maxSnapshotRecords || (h.ChunkCount == 0) != (h.RecordCount == 0) {
		return nil, fmt.Errorf("%w: %d records in %d pieces", ErrCorrupt, h.RecordCount, h.ChunkCount)
	}
	decoder, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxChunkBytes), zstd.WithDecoderLowmem(true))
	if err != nil {
		return nil, err
	}
	return &Assembler{header: h, table: NewTable(), keepRecords: keepRecords, decoder: decoder}, nil
}

// Close frees what the assembler holds besides the table.
func (a *Assembler) Close() { a.decoder.Close() }

// Add takes the next piece.
func (a *Assembler) Add(p Chunk) error {
	switch {
	case p.Index != a.nextIndex || p.Index >= a.header.ChunkCount:
		return fmt.Errorf("%w: piece %d in place of %d of %d", ErrCorrupt, p.Index, a.nextIndex, a.header.ChunkCount)
	case len(p.Data) > maxCompressedChunkBytes:
		return fmt.Errorf("%w: piece %d has %d bytes", ErrCorrupt, p.Index, len(p.Data))
	case Checksum(p.Data) != p.Checksum:
		return fmt.Errorf("%w: piece %d has another checksum", ErrCorrupt, p.Index)
	}
	packed, err := a.decoder.DecodeAll(p.Data, nil)
	if err != nil {
		return fmt.Errorf("%w: piece %d: %v", ErrCorrupt, p.Index, err)
	}
	for len(packed) > 0 {
		e, err := parseEntry(packed)
		if err != nil {
			return fmt.Errorf("%w: piece %d: %v", ErrCorrupt, p.Index, err)
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

// Finish gives the table once all pieces have come. Without keep it is empty but for its digest and number.
func (a *Assembler) Finish() (*Table, error) {
	switch {
	case a.nextIndex != a.header.ChunkCount:
		return nil, fmt.Errorf("%w: %d of %d pieces", ErrCorrupt, a.nextIndex, a.header.ChunkCount)
	case a.table.Len() != a.header.RecordCount:
		return nil, fmt.Errorf("%w: %d of %d records", ErrCorrupt, a.table.Len(), a.header.RecordCount)
	case a.table.Digest() != a.header.Digest:
		return nil, fmt.Errorf("%w: another digest", ErrCorrupt)
	}
	return a.table, nil
}

// Assemble makes a table of a whole snapshot.
func (s *Snapshot) Assemble() (*Table, error) {
	a, err := NewAssembler(s.Header, true)
	if err != nil {
		return nil, err
	}
	defer a.Close()
	for _, p := range s.Chunks {
		if err := a.Add(p); err != nil {
			return nil, err
		}
	}
	return a.Finish()
}
