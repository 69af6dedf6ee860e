// Package recordfile stores the configuration replica of a process on its local disk, so that after a restart the process
// requests only the commits that it missed.
//
// A file is a snapshot followed by commits, in blocks that each have a checksum. Commits are appended without fsync: a commit
// lost in a crash is requested again. A truncated last block is ignored; any other corruption invalidates the whole file.
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
	formatVersion       = 1       // version of the file format
	blockHeaderBytes    = 13      // size of a block's header in bytes: type, length, checksum
	maxBlockBytes       = 1 << 20 // maximum size of a block's data, in bytes
	tempSuffix          = ".new"  // suffix of a file while it is being written
	blockSnapshotHeader = 'H'     // header of the snapshot, as JSON
	blockChunk          = 'P'     // compressed chunk of the snapshot
	blockSnapshotEnd    = 'D'     // end of the snapshot
	blockCommit         = 'C'     // packed commit
)

// ErrCorrupt is the error of a file that is damaged or of another format.
var ErrCorrupt = errors.New("recordfile: corrupt file")

// Content is the content of a file.
type Content struct {
	Table    *records.Table
	Revision uint64 // of the snapshot
	Commits  []records.Commit

	validEnd    int64 // offset of the end of the last complete block
	commitBytes int64 // size of the complete commit blocks, in bytes
}

// Read reads a file. The error is os.ErrNotExist if there is no file, and ErrCorrupt if it cannot be used.
func Read(path string) (*Content, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	r := &countingReader{r: bufio.NewReaderSize(f, 1<<20)}
	prefix := make([]byte, len(magic)+1)
	if _, err := io.ReadFull(r, prefix); err != nil || string(prefix[:len(magic)]) != magic {
		return nil, fmt.Errorf("%w: %s is not a records file", ErrCorrupt, path)
	}
	if prefix[len(magic)] != formatVersion {
		return nil, fmt.Errorf("%w: %s has format version %d, this build reads version %d", ErrCorrupt, path, prefix[len(magic)], formatVersion)
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

// countingReader counts the bytes read.
type countingReader struct {
	r         io.Reader
	bytesRead int64
}

// Read implements io.Reader.
func (c *countingReader) Read(b []byte) (int, error) {
	n, err := c.r.Read(b)
	c.bytesRead += int64(n)
	return n, err
}

// readBlock reads one block. It returns io.EOF at the end of the file, and io.ErrUnexpectedEOF for a truncated block.
func readBlock(r io.Reader) (blockType byte, data []byte, err error) {
	var header [blockHeaderBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return 0, nil, err
	}
	size := binary.BigEndian.Uint32(header[1:])
	if size > maxBlockBytes {
		return 0, nil, fmt.Errorf("%w: block of %d bytes is too large", ErrCorrupt, size)
	}
	data = make([]byte, size)
	if _, err := io.ReadFull(r, data); err != nil {
		return 0, nil, io.ErrUnexpectedEOF
	}
	if records.Checksum(data)^uint64(header[0]) != binary.BigEndian.Uint64(header[5:]) {
		return 0, nil, fmt.Errorf("%w: block checksum mismatch", ErrCorrupt)
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
			err = fmt.Errorf("%w: snapshot truncated", ErrCorrupt)
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
			err = errors.New("unexpected block type")
		}
		if err != nil {
			return nil, fmt.Errorf("%w: %v", ErrCorrupt, err)
		}
	}
}

// readCommits reads the commits after the snapshot. A truncated block at the end is left by a crash during an append, and ignored.
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
			return fmt.Errorf("%w: expected commit %d", ErrCorrupt, nextRevision)
		}
		c.Commits = append(c.Commits, commit)
		c.commitBytes += r.bytesRead - c.validEnd
		c.validEnd = r.bytesRead
		nextRevision++
	}
}

// File is an open file to which commits are appended.
type File struct {
	path        string
	f           *os.File
	commitBytes int64 // size of the commit blocks, in bytes
}

// Write writes a snapshot to a new file, syncs it, and atomically replaces any file at the path.
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
	for _, chunk := range s.Chunks {
		w.Write(appendBlock(nil, blockChunk, chunk.Data))
	}
	w.Write(appendBlock(nil, blockSnapshotEnd, nil))
	return w.Flush()
}

// Reopen opens for appending a file that was read as c, and truncates it after its last complete block.
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

// Append appends the next commit.
func (f *File) Append(c records.Commit) error {
	n, err := f.f.Write(appendBlock(nil, blockCommit, records.AppendCommit(nil, c)))
	f.commitBytes += int64(n)
	return err
}

// CommitBytes returns the size of the commit blocks, in bytes. The caller uses it to decide when to write a new, shorter file.
func (f *File) CommitBytes() int64 { return f.commitBytes }

// Close closes the file, which stays on the disk.
func (f *File) Close() error { return f.f.Close() }
