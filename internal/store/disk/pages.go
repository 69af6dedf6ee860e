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
// an invalid one causes a panic, partly on its own goroutines where it can't be recovered, or a memory fault. Numbers are in the
// machine's native byte order, as the library writes them.
const (
	pageHead    = 16 // id, flags, count and overflow
	elementSize = 16
	metaSize    = 56 // without its checksum
	metaMagic   = 0xED0CDAED
	metaVersion = 2
	branchPage  = 0x01
	leafPage    = 0x02
	metaPage    = 0x04
	bucketLeaf  = 0x01
	deepest     = 64 // levels of nested pages and buckets
	mostPage    = 1 << 16
)

var native = binary.NativeEndian

// pages validates the page tree of a bolt file.
type pages struct {
	path  string
	f     io.ReaderAt
	size  int64  // of a page
	end   uint64 // number of pages
	seen  map[uint64]bool
	bytes int64 // of the file
}

// bad returns the Damage error of a page.
func (p *pages) bad(id uint64, format string, a ...any) error {
	return &Damage{p.path, fmt.Sprintf("page %d", id), fmt.Sprintf(format, a...)}
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
	p := &pages{path: path, f: f, seen: map[uint64]bool{0: true, 1: true}, bytes: info.Size()}
	root, err := p.meta()
	if err != nil {
		return err
	}
	if p.end > uint64(p.bytes/p.size) {
		return &Damage{path, "the file", fmt.Sprintf("truncated: %d bytes, want %d pages of %d bytes", p.bytes, p.end, p.size)}
	}
	_, err = p.page(root, nil, nil, deepest)
	return err
}

// meta reads the newer valid meta page of the two.
func (p *pages) meta() (root uint64, err error) {
	latest := uint64(0)
	found := false
	try := func(at int64) {
		b := make([]byte, pageHead+metaSize+8)
		if _, err := p.f.ReadAt(b, at); err != nil {
			return
		}
		m := b[pageHead:]
		h := fnv.New64a()
		h.Write(m[:metaSize])
		size := native.Uint32(m[8:])
		tx := native.Uint64(m[48:])
		switch {
		case native.Uint16(b[8:])&metaPage == 0, native.Uint32(m) != metaMagic, native.Uint32(m[4:]) != metaVersion,
			native.Uint64(m[metaSize:]) != h.Sum64(), size < 512 || size > mostPage, found && tx < latest:
			return
		}
		found, latest = true, tx
		p.size, root, p.end = int64(size), native.Uint64(m[16:]), native.Uint64(m[40:])
	}
	try(0)
	for size := int64(512); size <= mostPage; size *= 2 { // the corrupt meta page may be the first one
		if p.size == 0 || p.size == size {
			try(size)
		}
	}
	if !found {
		return 0, &Damage{p.path, "the file header", "neither of its two meta pages is valid"}
	}
	return root, nil
}

// page validates a page and all of its descendants, whose keys have to be at least from and less than before. It returns the
// last key.
func (p *pages) page(id uint64, from, before []byte, deep int) (last []byte, err error) {
	if deep == 0 {
		return nil, p.bad(id, "it is nested too deeply")
	}
	if id < 2 || id >= p.end {
		return nil, p.bad(id, "only %d pages exist", p.end)
	}
	head := make([]byte, pageHead)
	if _, err := p.f.ReadAt(head, int64(id)*p.size); err != nil {
		return nil, p.bad(id, "%v", err)
	}
	more := uint64(native.Uint32(head[12:]))
	if got := native.Uint64(head); got != id {
		return nil, p.bad(id, "its header is that of page %d", got)
	}
	if more >= p.end-id {
		return nil, p.bad(id, "it has %d overflow pages, only %d pages exist", more, p.end)
	}
	for k := id; k <= id+more; k++ {
		if p.seen[k] {
			return nil, p.bad(k, "it is referenced twice")
		}
		p.seen[k] = true
	}
	b := make([]byte, int64(more+1)*p.size)
	if _, err := p.f.ReadAt(b, int64(id)*p.size); err != nil {
		return nil, p.bad(id, "%v", err)
	}
	return p.elements(id, b, from, before, deep)
}

// elements validates the elements of a page, or of a bucket's inline page.
func (p *pages) elements(id uint64, b, from, before []byte, deep int) (last []byte, err error) {
	flags, count := native.Uint16(b[8:]), int(native.Uint16(b[10:]))
	if flags != branchPage && flags != leafPage || flags == branchPage && count == 0 {
		return nil, p.bad(id, "its type is %#x, with %d elements", flags, count)
	}
	if pageHead+count*elementSize > len(b) {
		return nil, p.bad(id, "it has %d elements in %d bytes", count, len(b))
	}
	cut := func(at, pos, n uint64) ([]byte, bool) {
		if pos > uint64(len(b)) || n > uint64(len(b)) || at+pos+n > uint64(len(b)) {
			return nil, false
		}
		return b[at+pos : at+pos+n], true
	}
	key := func(i int) ([]byte, error) {
		at := uint64(pageHead + i*elementSize)
		pos, n := uint64(native.Uint32(b[at:])), uint64(native.Uint32(b[at+4:]))
		if flags == leafPage {
			pos, n = uint64(native.Uint32(b[at+4:])), uint64(native.Uint32(b[at+8:]))
		}
		k, ok := cut(at, pos, n)
		if !ok || n == 0 {
			return nil, p.bad(id, "the key of element %d is out of bounds", i)
		}
		return k, nil
	}
	for i := range count {
		k, err := key(i)
		if err != nil {
			return nil, err
		}
		if from != nil && bytes.Compare(k, from) < 0 || i > 0 && last != nil && bytes.Compare(k, last) <= 0 || before != nil && bytes.Compare(k, before) >= 0 {
			return nil, p.bad(id, "the keys are out of order at element %d", i)
		}
		at := uint64(pageHead + i*elementSize)
		if flags == branchPage {
			until := before
			if i+1 < count {
				if until, err = key(i + 1); err != nil {
					return nil, err
				}
			}
			if last, err = p.page(native.Uint64(b[at+8:]), k, until, deep-1); err != nil {
				return nil, err
			}
			continue
		}
		last = k
		pos, n := uint64(native.Uint32(b[at+4:])), uint64(native.Uint32(b[at+8:]))
		v, ok := cut(at, pos+n, uint64(native.Uint32(b[at+12:])))
		if !ok {
			return nil, p.bad(id, "the value of element %d is out of bounds", i)
		}
		switch native.Uint32(b[at:]) {
		case 0:
		case bucketLeaf:
			if err := p.bucket(id, v, deep); err != nil {
				return nil, err
			}
		default:
			return nil, p.bad(id, "the type of element %d is unknown", i)
		}
	}
	return last, nil
}

// bucket validates the pages of a bucket; those of a small bucket are a single inline page within its record.
func (p *pages) bucket(id uint64, v []byte, deep int) error {
	if len(v) < 16 {
		return p.bad(id, "a bucket header has %d bytes", len(v))
	}
	if root := native.Uint64(v); root != 0 {
		_, err := p.page(root, nil, nil, deep-1)
		return err
	}
	within := v[16:]
	if len(within) < pageHead || native.Uint16(within[8:]) != leafPage {
		return p.bad(id, "an inline bucket is invalid")
	}
	_, err := p.elements(id, within, nil, nil, deep-1)
	return err
}
