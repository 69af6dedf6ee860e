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

// The form of a bolt file, as far as it takes to see that every page which is in use makes sense. The library itself trusts its
// pages: one that does not make sense is a panic, partly on goroutines of its own where nobody can catch it, or a fault of
// memory. Numbers are in the machine's own order, as the library writes them.
const (
	pageHeaderSize = 16 // id, flags, count, overflow
	elementSize    = 16
	metaSize       = 56 // before its checksum
	metaMagic      = 0xED0CDAED
	metaVersion    = 2
	branchPage     = 0x01
	leafPage       = 0x02
	metaPage       = 0x04
	bucketLeaf     = 0x01
	maxPageDepth   = 64
	maxPageSize    = 1 << 16
)

var nativeOrder = binary.NativeEndian

// pageTree walks through a bolt file.
type pageTree struct {
	path      string
	file      io.ReaderAt
	pageSize  int64 // of a page
	pageCount uint64
	seen      map[uint64]bool
	fileSize  int64 // of the file
}

func (p *pageTree) corruption(id uint64, format string, a ...any) error {
	return &CorruptionError{p.path, fmt.Sprintf("page %d", id), fmt.Sprintf(format, a...)}
}

// checkPages looks at all pages of a bolt file that are in use. A file of no bytes was never begun.
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
		return &CorruptionError{path, "the file", fmt.Sprintf("it is cut short: %d bytes, for %d pages of %d", p.fileSize, p.pageCount, p.pageSize)}
	}
	_, err = p.checkPage(root, nil, nil, maxPageDepth)
	return err
}

// readMeta reads the later of the two heads that is whole.
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
	for size := int64(512); size <= maxPageSize; size *= 2 { // the first head may be the one that is spoilt
		if p.pageSize == 0 || p.pageSize == size {
			readAt(size)
		}
	}
	if !found {
		return 0, &CorruptionError{p.path, "the file's head", "neither of its two copies is whole"}
	}
	return root, nil
}

// checkPage looks at a page and all below it, whose keys have to lie from one on and before another; it returns the last key.
func (p *pageTree) checkPage(id uint64, minKey, limitKey []byte, depthLeft int) (lastKey []byte, err error) {
	if depthLeft == 0 {
		return nil, p.corruption(id, "it lies too deep")
	}
	if id < 2 || id >= p.pageCount {
		return nil, p.corruption(id, "there are %d", p.pageCount)
	}
	header := make([]byte, pageHeaderSize)
	if _, err := p.file.ReadAt(header, int64(id)*p.pageSize); err != nil {
		return nil, p.corruption(id, "%v", err)
	}
	overflow := uint64(nativeOrder.Uint32(header[12:]))
	if got := nativeOrder.Uint64(header); got != id {
		return nil, p.corruption(id, "it says that it is page %d", got)
	}
	if overflow >= p.pageCount-id {
		return nil, p.corruption(id, "it goes on for %d pages, and there are %d", overflow, p.pageCount)
	}
	for k := id; k <= id+overflow; k++ {
		if p.seen[k] {
			return nil, p.corruption(k, "it is used twice")
		}
		p.seen[k] = true
	}
	b := make([]byte, int64(overflow+1)*p.pageSize)
	if _, err := p.file.ReadAt(b, int64(id)*p.pageSize); err != nil {
		return nil, p.corruption(id, "%v", err)
	}
	return p.checkElements(id, b, minKey, limitKey, depthLeft)
}

// checkElements looks at those of a page, or of one that lies within another.
func (p *pageTree) checkElements(id uint64, b, minKey, limitKey []byte, depthLeft int) (lastKey []byte, err error) {
	flags, count := nativeOrder.Uint16(b[8:]), int(nativeOrder.Uint16(b[10:]))
	if flags != branchPage && flags != leafPage || flags == branchPage && count == 0 {
		return nil, p.corruption(id, "its kind is %#x, with %d elements", flags, count)
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
			return nil, p.corruption(id, "the key of element %d lies outside", i)
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
			return nil, p.corruption(id, "the value of element %d lies outside", i)
		}
		switch nativeOrder.Uint32(b[at:]) {
		case 0:
		case bucketLeaf:
			if err := p.checkBucket(id, v, depthLeft); err != nil {
				return nil, err
			}
		default:
			return nil, p.corruption(id, "the kind of element %d is unknown", i)
		}
	}
	return lastKey, nil
}

// checkBucket looks at a bucket's pages, or at the one that lies within its own record where it is small.
func (p *pageTree) checkBucket(id uint64, v []byte, depthLeft int) error {
	if len(v) < 16 {
		return p.corruption(id, "a bucket has %d bytes", len(v))
	}
	if root := nativeOrder.Uint64(v); root != 0 {
		_, err := p.checkPage(root, nil, nil, depthLeft-1)
		return err
	}
	inline := v[16:]
	if len(inline) < pageHeaderSize || nativeOrder.Uint16(inline[8:]) != leafPage {
		return p.corruption(id, "a bucket within it makes no sense")
	}
	_, err := p.checkElements(id, inline, nil, nil, depthLeft-1)
	return err
}
