// Package recordfile keeps a process's copy of the records on its own disk, so that a restart asks only for what it missed.
//
// A file is a snapshot with the commits behind it, in blocks that each have a checksum. Commits are appended without waiting
// for the disk: one that a crash loses is asked for again. A file that is spoilt anywhere but in its last, cut block is of no
// use as a whole.
package recordfile

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"puffinsaddle/internal/records"
)

const (
	magic      = "puffinsaddle records\n"
	format     = 1
	headBytes  = 13 // of a block: type, length, checksum
	maxBlock   = 1 << 20
	suffix     = ".new"
	blockHead  = 'H' // the header of the snapshot, as JSON
	blockPiece = 'P' // a piece, as it is sent
	blockDone  = 'D' // the snapshot is whole
	blockEntry = 'C' // a commit, packed
)

// ErrSpoilt is the error of a file that is not as it was written.
var ErrSpoilt = errors.New("recordfile: spoilt")

// Content is what a file holds.
type Content struct {
	Table    *records.Table
	Revision uint64 // of the snapshot
	Commits  []records.Commit

	end  int64 // of what is whole
	tail int64 // bytes of the commits
}

// Read reads a file. A file that is not there is os.ErrNotExist.
func Read(path string) (*Content, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	r := &countingReader{r: bufio.NewReaderSize(f, 1<<20)}
	head := make([]byte, len(magic)+1)
	if _, err := io.ReadFull(r, head); err != nil || string(head[:len(magic)]) != magic {
		return nil, fmt.Errorf("%w: %s does not begin as such a file", ErrSpoilt, path)
	}
	if head[len(magic)] != format {
		return nil, fmt.Errorf("%w: %s has format %d, and this build knows %d", ErrSpoilt, path, head[len(magic)], format)
	}
	c, err := readSnapshot(r)
	if err == nil {
		c.end = r.n
		err = c.readCommits(r)
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return c, nil
}

// countingReader knows how far a file was read.
type countingReader struct {
	r io.Reader
	n int64
}

// Read counts.
func (c *countingReader) Read(b []byte) (int, error) {
	n, err := c.r.Read(b)
	c.n += int64(n)
	return n, err
}

// readBlock reads one block. io.EOF: there is none; io.ErrUnexpectedEOF: it is cut.
func readBlock(r io.Reader) (kind byte, data []byte, err error) {
	var head [headBytes]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return 0, nil, err
	}
	size := binary.BigEndian.Uint32(head[1:])
	if size > maxBlock {
		return 0, nil, fmt.Errorf("%w: a block of %d bytes", ErrSpoilt, size)
	}
	data = make([]byte, size)
	if _, err := io.ReadFull(r, data); err != nil {
		return 0, nil, io.ErrUnexpectedEOF
	}
	if records.Checksum(data)^uint64(head[0]) != binary.BigEndian.Uint64(head[5:]) {
		return 0, nil, fmt.Errorf("%w: a block has another checksum", ErrSpoilt)
	}
	return head[0], data, nil
}

func appendBlock(b []byte, kind byte, data []byte) []byte {
	b = append(b, kind)
	b = binary.BigEndian.AppendUint32(b, uint32(len(data)))
	b = binary.BigEndian.AppendUint64(b, records.Checksum(data)^uint64(kind))
	return append(b, data...)
}

func readSnapshot(r io.Reader) (*Content, error) {
	var assembler *records.Assembler
	var header records.Header
	for number := 0; ; {
		kind, data, err := readBlock(r)
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			err = fmt.Errorf("%w: its snapshot is cut", ErrSpoilt)
		}
		if err != nil {
			return nil, err
		}
		switch {
		case kind == blockHead && assembler == nil:
			if err = json.Unmarshal(data, &header); err == nil {
				assembler, err = records.NewAssembler(header, true)
			}
			if err == nil {
				defer assembler.Close()
			}
		case kind == blockPiece && assembler != nil:
			err = assembler.Add(records.Piece{Number: number, Checksum: records.Checksum(data), Data: data})
			number++
		case kind == blockDone && assembler != nil:
			table, err := assembler.Finish()
			if err != nil {
				return nil, fmt.Errorf("%w: %v", ErrSpoilt, err)
			}
			return &Content{Table: table, Revision: header.Revision}, nil
		default:
			err = errors.New("a block out of place")
		}
		if err != nil {
			return nil, fmt.Errorf("%w: %v", ErrSpoilt, err)
		}
	}
}

// readCommits reads what stands behind the snapshot; a cut block at the end is one that a crash lost.
func (c *Content) readCommits(r *countingReader) error {
	next := c.Revision + 1
	for {
		kind, data, err := readBlock(r)
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			return nil
		}
		if err != nil {
			return err
		}
		commit, err := records.ParseCommit(data)
		if kind != blockEntry || err != nil || commit.Revision != next {
			return fmt.Errorf("%w: no commit %d", ErrSpoilt, next)
		}
		c.Commits = append(c.Commits, commit)
		c.tail += r.n - c.end
		c.end = r.n
		next++
	}
}

// File is a file that is being kept.
type File struct {
	path    string
	f       *os.File
	commits int64 // bytes of commits behind the snapshot
}

// Write writes a whole new file and puts it in place of the one at the path, if there is any.
func Write(path string, s *records.Snapshot) (*File, error) {
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return nil, err
	}
	f, err := os.Create(path + suffix)
	if err != nil {
		return nil, err
	}
	err = writeSnapshot(f, s)
	if err == nil {
		err = f.Sync()
	}
	if err == nil {
		err = os.Rename(path+suffix, path)
	}
	if err != nil {
		f.Close()
		return nil, err
	}
	return &File{path: path, f: f}, nil
}

func writeSnapshot(f *os.File, s *records.Snapshot) error {
	w := bufio.NewWriterSize(f, 1<<20)
	header, err := json.Marshal(s.Header)
	if err != nil {
		return err
	}
	w.WriteString(magic)
	w.WriteByte(format)
	w.Write(appendBlock(nil, blockHead, header))
	for _, p := range s.Content {
		w.Write(appendBlock(nil, blockPiece, p.Data))
	}
	w.Write(appendBlock(nil, blockDone, nil))
	return w.Flush()
}

// Reopen goes on with a file that was read; a cut block at its end is cut off.
func Reopen(path string, c *Content) (*File, error) {
	f, err := os.OpenFile(path, os.O_RDWR, 0)
	if err != nil {
		return nil, err
	}
	if err = f.Truncate(c.end); err == nil {
		_, err = f.Seek(c.end, io.SeekStart)
	}
	if err != nil {
		f.Close()
		return nil, err
	}
	return &File{path: path, f: f, commits: c.tail}, nil
}

// Append adds the next commit.
func (f *File) Append(c records.Commit) error {
	n, err := f.f.Write(appendBlock(nil, blockEntry, records.AppendCommit(nil, c)))
	f.commits += int64(n)
	return err
}

// Commits is the bytes of commits behind the snapshot: past some, a new file is shorter.
func (f *File) Commits() int64 { return f.commits }

// Close ends the keeping; the file stays.
func (f *File) Close() error { return f.f.Close() }
