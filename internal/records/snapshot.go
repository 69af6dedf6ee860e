package records

import (
	"bytes"
	"errors"
	"fmt"
	"iter"

	"github.com/klauspost/compress/zstd"
)

const (
	pieceBytes    = 256 << 10                  // of packed records in one piece, but for the last record
	maxPieceBytes = pieceBytes + 2*MaxSetting  // of a piece that is taken
	maxPieces     = 1 << 16                    // of a snapshot that is taken
	maxRecords    = 1 << 24                    // of a snapshot that is taken
	maxCompressed = maxPieceBytes + pieceBytes // of a piece as it is sent
)

// ErrSpoilt is the error of a snapshot that is not what its header says.
var ErrSpoilt = errors.New("records: spoilt snapshot")

// Header tells what a snapshot holds.
type Header struct {
	Revision uint64 `json:"revision"`
	Digest   Digest `json:"digest"`
	Records  int    `json:"records"`
	Pieces   int    `json:"pieces"`
	Bytes    int64  `json:"bytes"` // of all pieces, compressed
}

// Piece is a part of a snapshot.
type Piece struct {
	Number   int    `json:"number"` // from 0
	Checksum uint64 `json:"checksum"`
	Data     []byte `json:"data"` // packed records, compressed
}

// Snapshot is all records as of one revision, in compressed pieces.
type Snapshot struct {
	Header
	Content []Piece
}

// NewSnapshot compresses a table that nobody changes meanwhile.
func NewSnapshot(t *Table, revision uint64) (*Snapshot, error) {
	z, err := zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(pieceBytes))
	if err != nil {
		return nil, err
	}
	defer z.Close()
	s := &Snapshot{Header: Header{Revision: revision, Digest: t.Digest(), Records: t.Len()}}
	for packed := range packs(t) {
		data := bytes.Clone(z.EncodeAll(packed, nil))
		s.Content = append(s.Content, Piece{Number: len(s.Content), Checksum: Checksum(data), Data: data})
		s.Bytes += int64(len(data))
	}
	s.Pieces = len(s.Content)
	return s, nil
}

// packs gathers packed records into pieces; a piece is valid until the next one.
func packs(t *Table) iter.Seq[[]byte] {
	return func(yield func([]byte) bool) {
		var b []byte
		for i := range t.shards {
			for entry := range t.shards[i].entries() {
				if b = append(b, entry...); len(b) < pieceBytes {
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
	header Header
	next   int
	table  *Table
	keep   bool
	z      *zstd.Decoder
}

// NewAssembler begins a snapshot. Without keep the records are checked and not held, for followers that hold digests alone.
func NewAssembler(h Header, keep bool) (*Assembler, error) {
	if h.Pieces < 0 || h.Pieces > maxPieces || h.Records < 0 || h.Records > maxRecords || (h.Pieces == 0) != (h.Records == 0) {
		return nil, fmt.Errorf("%w: %d records in %d pieces", ErrSpoilt, h.Records, h.Pieces)
	}
	z, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxPieceBytes), zstd.WithDecoderLowmem(true))
	if err != nil {
		return nil, err
	}
	return &Assembler{header: h, table: NewTable(), keep: keep, z: z}, nil
}

// Close frees what the assembler holds besides the table.
func (a *Assembler) Close() { a.z.Close() }

// Add takes the next piece.
func (a *Assembler) Add(p Piece) error {
	switch {
	case p.Number != a.next || p.Number >= a.header.Pieces:
		return fmt.Errorf("%w: piece %d in place of %d of %d", ErrSpoilt, p.Number, a.next, a.header.Pieces)
	case len(p.Data) > maxCompressed:
		return fmt.Errorf("%w: piece %d has %d bytes", ErrSpoilt, p.Number, len(p.Data))
	case Checksum(p.Data) != p.Checksum:
		return fmt.Errorf("%w: piece %d has another checksum", ErrSpoilt, p.Number)
	}
	packed, err := a.z.DecodeAll(p.Data, nil)
	if err != nil {
		return fmt.Errorf("%w: piece %d: %v", ErrSpoilt, p.Number, err)
	}
	for len(packed) > 0 {
		e, err := parseEntry(packed)
		if err != nil {
			return fmt.Errorf("%w: piece %d: %v", ErrSpoilt, p.Number, err)
		}
		if err := a.take(e, packed[:e.size]); err != nil {
			return err
		}
		packed = packed[e.size:]
	}
	a.next++
	return nil
}

func (a *Assembler) take(e parsed, packed []byte) error {
	if !a.keep {
		a.table.count++
		a.table.digest.add(packed)
		return nil
	}
	if a.table.Len() >= a.header.Records {
		return fmt.Errorf("%w: more than %d records", ErrSpoilt, a.header.Records)
	}
	a.table.Put(Record{Key{e.kind, string(e.name)}, e.value, e.revision})
	return nil
}

// Finish gives the table once all pieces have come. Without keep it is empty but for its digest and number.
func (a *Assembler) Finish() (*Table, error) {
	switch {
	case a.next != a.header.Pieces:
		return nil, fmt.Errorf("%w: %d of %d pieces", ErrSpoilt, a.next, a.header.Pieces)
	case a.table.Len() != a.header.Records:
		return nil, fmt.Errorf("%w: %d of %d records", ErrSpoilt, a.table.Len(), a.header.Records)
	case a.table.Digest() != a.header.Digest:
		return nil, fmt.Errorf("%w: another digest", ErrSpoilt)
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
	for _, p := range s.Content {
		if err := a.Add(p); err != nil {
			return nil, err
		}
	}
	return a.Finish()
}
