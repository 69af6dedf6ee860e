package disk

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"os"
)

// Layout of a bolt file, as far as needed to validate every page in use; sizes are in bytes. The library itself trusts its pages:
// an invalid one causes a panic, partly on its own goroutines where it cannot be recovered, or a memory fault. Numbers are in the
// machine's native byte order, as the library writes them.
const (
	pageHeaderSize = 16 // id, flags, count and overflow
	elementSize    = 16
	metaSize       = 56 // without its checksum
	metaMagic      = 0xED0CDAED
	metaVersion    = 2
	branchPage     = 0x01
	leafPage       = 0x02
	metaPage       = 0x04
	bucketLeaf     = 0x01
	maxPageDepth   = 64      // levels of nested pages and buckets
	maxPageSize    = 1 << 16 // bytes
)

var nativeOrder = binary.NativeEndian

// pageTree validates the page tree of a bolt file.
type pageTree struct {
	path      string
	file      io.ReaderAt
	pageSize  int64 // bytes
	pageCount uint64
	seen      map[uint64]bool
	fileSize  int64 // bytes
}

// corruption returns the CorruptionError of a page.
func (p *pageTree) corruption(id uint64, format string, a ...any) error {
	return &CorruptionError{p.path, fmt.Sprintf("page %d", id), fmt.Sprintf(format, a...)}
}

// checkPages validates all pages in use of a bolt file. An empty file has not been initialized and is valid.
func checkPages(path string) error {
	f, err := os.Open(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("disk: %w", err)
	}
	defer f.Close()
	info, err := f.Stat()
	if err != nil {
		return fmt.Errorf("disk: %w", err)
	}
	if info.Size() == 0 {
		return nil
	}
	p := &pageTree{path: path, file: f, seen: map[uint64]bool{0: true, 1: true}, fileSize: info.Size()}
	root, err := p.readMeta()
	if err != nil {
		return err
	}
	if p.pageCount > uint64(p.fileSize/p.pageSize) {
		return &CorruptionError{path, "the file", fmt.Sprintf("truncated: %d bytes, want %d pages of %d bytes", p.fileSize, p.pageCount, p.pageSize)}
	}
	_, err = p.checkPage(root, nil, nil, maxPageDepth)
	return err
}

// readMeta reads the newer valid meta page of the two.
func (p *pageTree) readMeta() (root uint64, err error) {
	latestTxID := uint64(0)
	found := false
	readAt := func(at int64) {
		b := make([]byte, pageHeaderSize+metaSize+8)
		if _, err := p.file.ReadAt(b, at); err != nil {
			return
		}
		m := b[pageHeaderSize:]
		h := fnv.New64a()
		h.Write(m[:metaSize])
		size := nativeOrder.Uint32(m[8:])
		txID := nativeOrder.Uint64(m[48:])
		switch {
		case nativeOrder.Uint16(b[8:])&metaPage == 0, nativeOrder.Uint32(m) != metaMagic, nativeOrder.Uint32(m[4:]) != metaVersion,
			nativeOrder.Uint64(m[metaSize:]) != h.Sum64(), size < 512 || size > maxPageSize, found && txID < latestTxID:
			return
		}
		found, latestTxID = true, txID
		p.pageSize, root, p.pageCount = int64(size), nativeOrder.Uint64(m[16:]), nativeOrder.Uint64(m[40:])
	}
	readAt(0)
	for size := int64(512); size <= maxPageSize; size *= 2 { // the corrupt meta page may be the first one
		if p.pageSize == 0 || p.pageSize == size {
			readAt(size)
		}
	}
	if !found {
		return 0, &CorruptionError{p.path, "the file header", "neither of its two meta pages is valid"}
	}
	return root, nil
}

// checkPage validates a page and all of its descendants, whose keys have to be at least minKey and less than limitKey. It returns
// the last key.
func (p *pageTree) checkPage(id uint64, minKey, limitKey []byte, depthLeft int) (lastKey []byte, err error) {
	if depthLeft == 0 {
		return nil, p.corruption(id, "it is nested too deeply")
	}
	if id < 2 || id >= p.pageCount {
		return nil, p.corruption(id, "only %d pages exist", p.pageCount)
	}
	header := make([]byte, pageHeaderSize)
	if _, err := p.file.ReadAt(header, int64(id)*p.pageSize); err != nil {
		return nil, p.corruption(id, "%v", err)
	}
	overflow := uint64(nativeOrder.Uint32(header[12:]))
	if got := nativeOrder.Uint64(header); got != id {
		return nil, p.corruption(id, "its header is that of page %d", got)
	}
	if overflow >= p.pageCount-id {
		return nil, p.corruption(id, "it has %d overflow pages, only %d pages exist", overflow, p.pageCount)
	}
	for k := id; k <= id+overflow; k++ {
		if p.seen[k] {
			return nil, p.corruption(k, "it is referenced twice")
		}
		p.seen[k] = true
	}
	b := make([]byte, int64(overflow+1)*p.pageSize)
	if _, err := p.file.ReadAt(b, int64(id)*p.pageSize); err != nil {
		return nil, p.corruption(id, "%v", err)
	}
	return p.checkElements(id, b, minKey, limitKey, depthLeft)
}

// checkElements validates the elements of a page, or of a bucket's inline page.
func (p *pageTree) checkElements(id uint64, b, minKey, limitKey []byte, depthLeft int) (lastKey []byte, err error) {
	flags, count := nativeOrder.Uint16(b[8:]), int(nativeOrder.Uint16(b[10:]))
	if flags != branchPage && flags != leafPage || flags == branchPage && count == 0 {
		return nil, p.corruption(id, "its type is %#x, with %d elements", flags, count)
	}
	if pageHeaderSize+count*elementSize > len(b) {
		return nil, p.corruption(id, "it has %d elements in %d bytes", count, len(b))
	}
	slice := func(at, pos, n uint64) ([]byte, bool) {
		if pos > uint64(len(b)) || n > uint64(len(b)) || at+pos+n > uint64(len(b)) {
			return nil, false
		}
		return b[at+pos : at+pos+n], true
	}
	key := func(i int) ([]byte, error) {
		at := uint64(pageHeaderSize + i*elementSize)
		pos, n := uint64(nativeOrder.Uint32(b[at:])), uint64(nativeOrder.Uint32(b[at+4:]))
		if flags == leafPage {
			pos, n = uint64(nativeOrder.Uint32(b[at+4:])), uint64(nativeOrder.Uint32(b[at+8:]))
		}
		k, ok := slice(at, pos, n)
		if !ok || n == 0 {
			return nil, p.corruption(id, "the key of element %d is out of bounds", i)
		}
		return k, nil
	}
	for i := range count {
		k, err := key(i)
		if err != nil {
			return nil, err
		}
		if minKey != nil && bytes.Compare(k, minKey) < 0 || i > 0 && lastKey != nil && bytes.Compare(k, lastKey) <= 0 || limitKey != nil && bytes.Compare(k, limitKey) >= 0 {
			return nil, p.corruption(id, "the keys are out of order at element %d", i)
		}
		at := uint64(pageHeaderSize + i*elementSize)
		if flags == branchPage {
			childLimit := limitKey
			if i+1 < count {
				if childLimit, err = key(i + 1); err != nil {
					return nil, err
				}
			}
			if lastKey, err = p.checkPage(nativeOrder.Uint64(b[at+8:]), k, childLimit, depthLeft-1); err != nil {
				return nil, err
			}
			continue
		}
		lastKey = k
		pos, n := uint64(nativeOrder.Uint32(b[at+4:])), uint64(nativeOrder.Uint32(b[at+8:]))
		v, ok := slice(at, pos+n, uint64(nativeOrder.Uint32(b[at+12:])))
		if !ok {
			return nil, p.corruption(id, "the value of element %d is out of bounds", i)
		}
		switch nativeOrder.Uint32(b[at:]) {
		case 0:
		case bucketLeaf:
			if err := p.checkBucket(id, v, depthLeft); err != nil {
				return nil, err
			}
		default:
			return nil, p.corruption(id, "the type of element %d is unknown", i)
		}
	}
	return lastKey, nil
}

// checkBucket validates the pages of a bucket; those of a small bucket are a single inline page within its record.
func (p *pageTree) checkBucket(id uint64, v []byte, depthLeft int) error {
	if len(v) < 16 {
		return p.corruption(id, "a bucket header has %d bytes", len(v))
	}
	if root := nativeOrder.Uint64(v); root != 0 {
		_, err := p.checkPage(root, nil, nil, depthLeft-1)
		return err
	}
	inline := v[16:]
	if len(inline) < pageHeaderSize || nativeOrder.Uint16(inline[8:]) != leafPage {
		return p.corruption(id, "an inline bucket is invalid")
	}
	_, err := p.checkElements(id, inline, nil, nil, depthLeft-1)
	return err
}
