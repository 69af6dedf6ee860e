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
	magic               = "puffinsaddle records\n"
	formatVersion       = 1
	blockHeaderBytes    = 13 // of a block: type, length, checksum
	maxBlockBytes       = 1 << 20
	tempSuffix          = ".new"
	blockSnapshotHeader = 'H' // the header of the snapshot, as JSON
	blockChunk          = 'P' // a piece, as it is sent
	blockSnapshotEnd    = 'D' // the snapshot is whole
	blockCommit         = 'C' // a commit, packed
)

// ErrCorrupt is the error of a file that is not as it was written.
var ErrCorrupt = errors.New("recordfile: spoilt")

// Content is what a file holds.
type Content struct {
	Table    *records.Table
	Revision uint64 // of the snapshot
	Commits  []records.Commit

	validEnd    int64 // of what is whole
	commitBytes int64 // bytes of the commits
}

// Read reads a file. A file that is not there is os.ErrNotExist.
func Read(path string) (*Content, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	r := &countingReader{r: bufio.NewReaderSize(f, 1<<20)}
	prefix := make([]byte, len(magic)+1)
	if _, err := io.ReadFull(r, prefix); err != nil || string(prefix[:len(magic)]) != magic {
		return nil, fmt.Errorf("%w: %s does not begin as such a file", ErrCorrupt, path)
	}
	if prefix[len(magic)] != formatVersion {
		return nil, fmt.Errorf("%w: %s has format %d, and this build knows %d", ErrCorrupt, path, prefix[len(magic)], formatVersion)
	}
	c, err := readSnapshot(r)
	if err == nil {
		c.validEnd = r.bytesRead
		err = c.readCommits(r)
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return c, nil
}

// countingReader knows how far a file was read.
type countingReader struct {
	r         io.Reader
	bytesRead int64
}

// Read counts.
func (c *countingReader) Read(b []byte) (int, error) {
	n, err := c.r.Read(b)
	c.bytesRead += int64(n)
	return n, err
}

// readBlock reads one block. io.EOF: there is none; io.ErrUnexpectedEOF: it is cut.
func readBlock(r io.Reader) (blockType byte, data []byte, err error) {
	var header [blockHeaderBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return 0, nil, err
	}
	size := binary.BigEndian.Uint32(header[1:])
	if size > maxBlockBytes {
		return 0, nil, fmt.Errorf("%w: a block of %d bytes", ErrCorrupt, size)
	}
	data = make([]byte, size)
	if _, err := io.ReadFull(r, data); err != nil {
		return 0, nil, io.ErrUnexpectedEOF
	}
	if records.Checksum(data)^uint64(header[0]) != binary.BigEndian.Uint64(header[5:]) {
		return 0, nil, fmt.Errorf("%w: a block has another checksum", ErrCorrupt)
	}
	return header[0], data, nil
}

func appendBlock(b []byte, blockType byte, data []byte) []byte {
	b = append(b, blockType)
	b = binary.BigEndian.AppendUint32(b, uint32(len(data)))
	b = binary.BigEndian.AppendUint64(b, records.Checksum(data)^uint64(blockType))
	return append(b, data...)
}

func readSnapshot(r io.Reader) (*Content, error) {
	var assembler *records.Assembler
	var header records.Header
	for chunkIndex := 0; ; {
		blockType, data, err := readBlock(r)
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			err = fmt.Errorf("%w: its snapshot is cut", ErrCorrupt)
		}
		if err != nil {
			return nil, err
		}
		switch {
		case blockType == blockSnapshotHeader && assembler == nil:
			if err = json.Unmarshal(data, &header); err == nil {
				assembler, err = records.NewAssembler(header, true)
			}
			if err == nil {
				defer assembler.Close()
			}
		case blockType == blockChunk && assembler != nil:
			err = assembler.Add(records.Chunk{Index: chunkIndex, Checksum: records.Checksum(data), Data: data})
			chunkIndex++
		case blockType == blockSnapshotEnd && assembler != nil:
			table, err := assembler.Finish()
			if err != nil {
				return nil, fmt.Errorf("%w: %v", ErrCorrupt, err)
			}
			return &Content{Table: table, Revision: header.Revision}, nil
		default:
			err = errors.New("a block out of place")
		}
		if err != nil {
			return nil, fmt.Errorf("%w: %v", ErrCorrupt, err)
		}
	}
}

// readCommits reads what stands behind the snapshot; a cut block at the end is one that a crash lost.
func (c *Content) readCommits(r *countingReader) error {
	nextRevision := c.Revision + 1
	for {
		blockType, data, err := readBlock(r)
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			return nil
		}
		if err != nil {
			return err
		}
		commit, err := records.ParseCommit(data)
		if blockType != blockCommit || err != nil || commit.Revision != nextRevision {
			return fmt.Errorf("%w: no commit %d", ErrCorrupt, nextRevision)
		}
		c.Commits = append(c.Commits, commit)
		c.commitBytes += r.bytesRead - c.validEnd
		c.validEnd = r.bytesRead
		nextRevision++
	}
}

// File is a file that is being kept.
type File struct {
	path        string
	f           *os.File
	commitBytes int64 // bytes of commits behind the snapshot
}

// Write writes a whole new file and puts it in place of the one at the path, if there is any.
func Write(path string, s *records.Snapshot) (*File, error) {
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return nil, err
	}
	f, err := os.Create(path + tempSuffix)
	if err != nil {
		return nil, err
	}
	err = writeSnapshot(f, s)
	if err == nil {
		err = f.Sync()
	}
	if err == nil {
		err = os.Rename(path+tempSuffix, path)
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
	w.WriteByte(formatVersion)
	w.Write(appendBlock(nil, blockSnapshotHeader, header))
	for _, p := range s.Chunks {
		w.Write(appendBlock(nil, blockChunk, p.Data))
	}
	w.Write(appendBlock(nil, blockSnapshotEnd, nil))
	return w.Flush()
}

// Reopen goes on with a file that was read; a cut block at its end is cut off.
func Reopen(path string, c *Content) (*File, error) {
	f, err := os.OpenFile(path, os.O_RDWR, 0)
	if err != nil {
		return nil, err
	}
	if err = f.Truncate(c.validEnd); err == nil {
		_, err = f.Seek(c.validEnd, io.SeekStart)
	}
	if err != nil {
		f.Close()
		return nil, err
	}
	return &File{path: path, f: f, commitBytes: c.commitBytes}, nil
}

// Append adds the next commit.
func (f *File) Append(c records.Commit) error {
	n, err := f.f.Write(appendBlock(nil, blockCommit, records.AppendCommit(nil, c)))
	f.commitBytes += int64(n)
	return err
}

// CommitBytes is the bytes of commits behind the snapshot: past some, a new file is shorter.
func (f *File) CommitBytes() int64 { return f.commitBytes }

// Close ends the keeping; the file stays.
func (f *File) Close() error { return f.f.Close() }
