// Package disk keeps a replica's raft log and its few persistent values in a bolt file, each record with a checksum. Corrupt
// records are reported with their location and never returned as data. After a failed write nothing more is written or read: a
// replica that continued could lose entries that it acknowledged.
package disk

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-msgpack/v2/codec"
	"github.com/hashicorp/raft"
	"go.etcd.io/bbolt"
	bolterrors "go.etcd.io/bbolt/errors"
)

// Format is the version of the data directory format that this build writes. Format 1 had no checksums; its directories are
// migrated when they are first opened.
const Format = 2

// File is the name of the bolt file in a replica's data directory.
const File = "raft.db"

// ErrStopped is returned by every operation after a failed write or after corruption was found.
var ErrStopped = errors.New("disk: stopped")

// ErrNotFound reports a value that was never written; raft matches its text.
var ErrNotFound = errors.New("not found")

// ErrNewer reports a directory in a format of a later build.
var ErrNewer = errors.New("disk: written by a later build")

// Damage reports data that is not what was written.
type Damage struct {
	Path  string
	Place string // such as "entry 17"
	Why   string
}

func (d *Damage) Error() string {
	return fmt.Sprintf("disk: %s: %s is corrupt: %s", d.Path, d.Place, d.Why)
}

const (
	lockFor   = time.Second // another process may be about to release the file
	batch     = 256         // records migrated from an earlier format in one transaction
	formatKey = "format"
)

var (
	table = crc32.MakeTable(crc32.Castagnoli)
	magic = []byte("pufc")

	// The buckets and the encoding of an entry are those of hashicorp/raft-boltdb, which format 1 used.
	logs   = []byte("logs")
	values = []byte("conf")
	form   = earlier()
)

// earlier returns the msgpack encoding of entries that hashicorp/raft-boltdb uses.
func earlier() *codec.MsgpackHandle {
	h := &codec.MsgpackHandle{}
	h.TimeNotBuiltin = true
	return h
}

const trailer = 8 // bytes of magic and checksum

// sum returns the checksum of a record including its bucket and key, so that a record found under another key is corrupt too.
func sum(bucket, key, text []byte) uint32 {
	c := crc32.Update(0, table, bucket)
	c = crc32.Update(c, table, key)
	return crc32.Update(c, table, text)
}

// seal returns a record with its checksum appended.
func seal(bucket, key, text []byte) []byte {
	b := append(make([]byte, 0, len(text)+trailer), text...)
	return binary.BigEndian.AppendUint32(append(b, magic...), sum(bucket, key, text))
}

// unseal verifies the checksum of a record and returns the record without it.
func (l *Log) unseal(bucket, key, b []byte) ([]byte, error) {
	n := len(b) - trailer
	if n < 0 || !bytes.Equal(b[n:n+len(magic)], magic) {
		return nil, &Damage{l.path, place(bucket, key), "no checksum"}
	}
	want := binary.BigEndian.Uint32(b[n+len(magic):])
	if got := sum(bucket, key, b[:n]); got != want {
		return nil, &Damage{l.path, place(bucket, key), fmt.Sprintf("checksum is %08x, want %08x", got, want)}
	}
	return b[:n], nil
}

// place describes the location of a record for messages.
func place(bucket, key []byte) string {
	if bytes.Equal(bucket, logs) && len(key) == 8 {
		return fmt.Sprintf("entry %d", binary.BigEndian.Uint64(key))
	}
	return fmt.Sprintf("%q", key)
}

// number encodes n as 8 bytes, big-endian.
func number(n uint64) []byte { return binary.BigEndian.AppendUint64(nil, n) }

// Log is raft's log store and stable store.
type Log struct {
	db   *bbolt.DB
	path string

	mu      sync.Mutex
	stopped error
	fail    func(error)
	running atomic.Bool
	fault   atomic.Pointer[func(op string) error] // set by tests to make operations fail
}

// Options configure a Log.
type Options struct {
	Fail func(error) // optional; called once, on its own goroutine, when the log stops after an error
}

// Open opens the bolt file of a data directory, or creates it, and checks every record.
func Open(dir string, o Options) (*Log, error) {
	l := &Log{path: filepath.Join(dir, File), fail: o.Fail}
	if info, err := os.Stat(l.path); err == nil && info.Size() > 0 { // a file of a later build must not be modified
		if err := l.open(true); err != nil {
			return nil, err
		}
		_, err = l.format()
		if err = errors.Join(err, l.db.Close()); err != nil {
			return nil, err
		}
	}
	if err := l.open(false); err != nil {
		return nil, err
	}
	err := l.takeOver()
	if err == nil {
		_, err = l.check()
	}
	if err != nil {
		l.db.Close()
		return nil, err
	}
	return l, nil
}

func (l *Log) open(readOnly bool) error {
	if err := checkPages(l.path); err != nil {
		return err
	}
	return guard(l.path, "the file", func() (err error) {
		// The list of free pages is not stored but rebuilt at each opening: it has no checksum, and a corrupt list would let
		// later writes overwrite earlier ones.
		l.db, err = bbolt.Open(l.path, 0o600, &bbolt.Options{Timeout: lockFor, ReadOnly: readOnly, NoFreelistSync: true})
		if err != nil {
			return opening(l.path, err)
		}
		if !readOnly {
			err = l.db.Update(func(tx *bbolt.Tx) error {
				_, err := tx.CreateBucketIfNotExists(logs)
				if err == nil {
					_, err = tx.CreateBucketIfNotExists(values)
				}
				return err
			})
			if err != nil {
				l.db.Close()
			}
		}
		return err
	})
}

// opening classifies an error of opening a bolt file.
func opening(path string, err error) error {
	switch {
	case errors.Is(err, bolterrors.ErrTimeout):
		return fmt.Errorf("disk: %s is open in another process", path)
	case errors.Is(err, bolterrors.ErrInvalid), errors.Is(err, bolterrors.ErrChecksum), errors.Is(err, bolterrors.ErrVersionMismatch):
		return &Damage{path, "the file header", err.Error()}
	}
	return err
}

// guard runs do and turns a panic over corrupt pages into a Damage error. Reading a page beyond the end of the mapped file is a
// memory fault, which would end the process; within do it panics instead.
func guard(path, place string, do func() error) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if r := recover(); r != nil {
			err = &Damage{path, place, fmt.Sprint(r)}
		}
	}()
	return do()
}

// takeOver migrates a file of an earlier format: it adds the checksum to every record. It may be interrupted at any point and
// continues at the next opening.
func (l *Log) takeOver() error {
	return guard(l.path, "the file", func() error {
		have, err := l.format()
		if err != nil || have == Format {
			return err
		}
		for _, name := range [][]byte{logs, values} {
			for from := []byte{0}; from != nil; {
				if from, err = l.takeOverSome(name, from); err != nil {
					return fmt.Errorf("disk: %s: %w", l.path, err)
				}
			}
		}
		return l.db.Update(func(tx *bbolt.Tx) error {
			return tx.Bucket(values).Put([]byte(formatKey), seal(values, []byte(formatKey), []byte{Format}))
		})
	})
}

// takeOverSome migrates one batch of records and returns the key at which the rest begins; nil: none are left.
func (l *Log) takeOverSome(name, from []byte) (rest []byte, err error) {
	err = l.db.Update(func(tx *bbolt.Tx) error {
		bucket := tx.Bucket(name)
		type record struct{ key, text []byte }
		var some []record
		c := bucket.Cursor()
		k, v := c.Seek(from)
		for ; k != nil && len(some) < batch; k, v = c.Next() {
			if _, err := l.unseal(name, k, v); err != nil { // not migrated yet
				some = append(some, record{bytes.Clone(k), seal(name, k, v)})
			}
		}
		rest = bytes.Clone(k)
		for _, r := range some {
			if err := bucket.Put(r.key, r.text); err != nil {
				return err
			}
		}
		return nil
	})
	return rest, err
}

// format returns the format of the directory; 1 if none is recorded.
func (l *Log) format() (int, error) {
	v, err := l.get(formatKey)
	if errors.Is(err, ErrNotFound) {
		return 1, nil
	}
	if err != nil {
		return 0, err
	}
	if len(v) != 1 {
		return 0, &Damage{l.path, formatKey, fmt.Sprintf("%d bytes", len(v))}
	}
	if v[0] > Format {
		err = fmt.Errorf("%w: %s has format %d, this build reads up to %d", ErrNewer, l.path, v[0], Format)
	}
	return int(v[0]), err
}

// Found summarizes the records of a log.
type Found struct {
	FirstIndex uint64 `json:"first"` // log index
	LastIndex  uint64 `json:"last"`  // log index
	Entries    int    `json:"entries"`
	Bytes      int64  `json:"bytes"` // of the entries' data
	Term       uint64 `json:"term"`  // raft's current term
}

// check reads and verifies every record.
func (l *Log) check() (f Found, err error) {
	err = guard(l.path, "the file", func() error {
		return l.db.View(func(tx *bbolt.Tx) error {
			var before raft.Log
			err := tx.Bucket(logs).ForEach(func(k, v []byte) error {
				var e raft.Log
				if err := l.decode(k, v, &e); err != nil {
					return err
				}
				switch {
				case before.Index > 0 && e.Index != before.Index+1:
					return &Damage{l.path, fmt.Sprintf("entry %d", before.Index+1), "missing"}
				case e.Term < before.Term:
					return &Damage{l.path, place(logs, k), fmt.Sprintf("term is %d, after term %d", e.Term, before.Term)}
				}
				if f.FirstIndex == 0 {
					f.FirstIndex = e.Index
				}
				f.LastIndex = e.Index
				f.Entries++
				f.Bytes += int64(len(e.Data))
				before = e
				return nil
			})
			if err != nil {
				return err
			}
			return tx.Bucket(values).ForEach(func(k, v []byte) error {
				text, err := l.unseal(values, k, v)
				if err == nil && string(k) == "CurrentTerm" && len(text) == 8 {
					f.Term = binary.BigEndian.Uint64(text)
				}
				return err
			})
		})
	})
	return f, err
}

// decode verifies and decodes one entry.
func (l *Log) decode(key, v []byte, into *raft.Log) error {
	text, err := l.unseal(logs, key, v)
	if err != nil {
		return err
	}
	if err := codec.NewDecoderBytes(text, form).Decode(into); err != nil {
		return &Damage{l.path, place(logs, key), err.Error()}
	}
	if !bytes.Equal(number(into.Index), key) {
		return &Damage{l.path, place(logs, key), fmt.Sprintf("it holds entry %d", into.Index)}
	}
	return nil
}

func (l *Log) read(index uint64, into *raft.Log) error {
	return l.db.View(func(tx *bbolt.Tx) error {
		key := number(index)
		v := tx.Bucket(logs).Get(key)
		if v == nil {
			return raft.ErrLogNotFound
		}
		return l.decode(key, v, into)
	})
}

func (l *Log) get(key string) (text []byte, err error) {
	err = l.db.View(func(tx *bbolt.Tx) error {
		bucket := tx.Bucket(values)
		if bucket == nil {
			return ErrNotFound // the file was created but not initialized
		}
		v := bucket.Get([]byte(key))
		if v == nil {
			return ErrNotFound
		}
		text, err = l.unseal(values, []byte(key), v)
		text = bytes.Clone(text)
		return err
	})
	return text, err
}

func (l *Log) write(key string, v []byte) error {
	return l.db.Update(func(tx *bbolt.Tx) error {
		return tx.Bucket(values).Put([]byte(key), seal(values, []byte(key), v))
	})
}

func (l *Log) number(key string) (uint64, error) {
	v, err := l.get(key)
	if errors.Is(err, ErrNotFound) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	if len(v) != 8 {
		return 0, &Damage{l.path, fmt.Sprintf("%q", key), fmt.Sprintf("%d bytes, want 8", len(v))}
	}
	return binary.BigEndian.Uint64(v), nil
}

// Run notes that raft uses the log: from now on a raft goroutine that would panic over an error exits instead.
func (l *Log) Run() { l.running.Store(true) }

// Stopped returns the error that stopped the log, or nil.
func (l *Log) Stopped() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stopped
}

// Close closes the file.
func (l *Log) Close() error {
	l.stop(ErrStopped, false)
	return l.db.Close()
}

func (l *Log) stop(why error, tell bool) {
	l.mu.Lock()
	first := l.stopped == nil
	if first {
		l.stopped = why
	}
	l.mu.Unlock()
	if first && tell && l.fail != nil {
		go l.fail(why)
	}
}

// do executes an operation. If it fails for any reason other than a missing record, all further operations fail.
func (l *Log) do(op string, do func() error) error {
	if why := l.Stopped(); why != nil {
		return fmt.Errorf("%w: %w", ErrStopped, why)
	}
	err := error(nil)
	if f := l.fault.Load(); f != nil {
		err = (*f)(op)
	}
	if err == nil {
		err = guard(l.path, op, do)
	}
	if err == nil || errors.Is(err, raft.ErrLogNotFound) || errors.Is(err, ErrNotFound) {
		return err
	}
	l.stop(err, true)
	return err
}

// must is do for operations over whose errors raft panics. Instead of the process only raft's goroutine exits, and the callback
// Fail shuts down the rest. Raft therefore never continues on data that was not read or written.
func (l *Log) must(op string, do func() error) error {
	err := l.do(op, do)
	if err != nil && l.running.Load() && !errors.Is(err, raft.ErrLogNotFound) && !errors.Is(err, ErrNotFound) {
		runtime.Goexit()
	}
	return err
}

// FirstIndex returns the index of the first entry; 0: there is none.
func (l *Log) FirstIndex() (uint64, error) { return l.end((*bbolt.Cursor).First) }

// LastIndex returns the index of the last entry; 0: there is none.
func (l *Log) LastIndex() (uint64, error) { return l.end((*bbolt.Cursor).Last) }

func (l *Log) end(seek func(*bbolt.Cursor) (k, v []byte)) (n uint64, err error) {
	err = l.do("read", func() error {
		return l.db.View(func(tx *bbolt.Tx) error {
			if k, _ := seek(tx.Bucket(logs).Cursor()); len(k) == 8 {
				n = binary.BigEndian.Uint64(k)
			}
			return nil
		})
	})
	return n, err
}

// GetLog reads an entry.
func (l *Log) GetLog(index uint64, into *raft.Log) error {
	return l.must("read", func() error { return l.read(index, into) })
}

// StoreLog writes an entry.
func (l *Log) StoreLog(e *raft.Log) error { return l.StoreLogs([]*raft.Log{e}) }

// StoreLogs writes entries atomically.
func (l *Log) StoreLogs(all []*raft.Log) error {
	return l.do("write", func() error {
		return l.db.Update(func(tx *bbolt.Tx) error {
			bucket := tx.Bucket(logs)
			var text []byte
			for _, e := range all {
				text = text[:0]
				if err := codec.NewEncoderBytes(&text, form).Encode(e); err != nil {
					return err
				}
				key := number(e.Index)
				if err := bucket.Put(key, seal(logs, key, text)); err != nil {
					return err
				}
			}
			return nil
		})
	})
}

// DeleteRange deletes the entries from first to last, both included.
func (l *Log) DeleteRange(first, last uint64) error {
	return l.do("write", func() error {
		return l.db.Update(func(tx *bbolt.Tx) error {
			c := tx.Bucket(logs).Cursor()
			for k, _ := c.Seek(number(first)); len(k) == 8 && binary.BigEndian.Uint64(k) <= last; k, _ = c.Seek(number(first)) {
				if err := c.Delete(); err != nil {
					return err
				}
			}
			return nil
		})
	})
}

// Set writes a raft value.
func (l *Log) Set(key, v []byte) error {
	return l.must("write", func() error { return l.write(string(key), v) })
}

// put writes a value of this package; it must not be called on a raft goroutine.
func (l *Log) put(key string, v []byte) error {
	return l.do("write", func() error { return l.write(key, v) })
}

func (l *Log) putNumber(key string, n uint64) error { return l.put(key, number(n)) }

// putAll writes values of this package atomically.
func (l *Log) putAll(of map[string][]byte) error {
	return l.do("write", func() error {
		return l.db.Update(func(tx *bbolt.Tx) error {
			for key, v := range of {
				if err := tx.Bucket(values).Put([]byte(key), seal(values, []byte(key), v)); err != nil {
					return err
				}
			}
			return nil
		})
	})
}

// Get reads a value.
func (l *Log) Get(key []byte) (v []byte, err error) {
	err = l.do("read", func() (err error) { v, err = l.get(string(key)); return err })
	return v, err
}

// SetUint64 writes a number as a raft value.
func (l *Log) SetUint64(key []byte, n uint64) error { return l.Set(key, number(n)) }

// GetUint64 reads a number written by SetUint64.
func (l *Log) GetUint64(key []byte) (n uint64, err error) {
	err = l.do("read", func() (err error) {
		v, err := l.get(string(key))
		if err == nil && len(v) != 8 {
			err = &Damage{l.path, fmt.Sprintf("%q", key), fmt.Sprintf("%d bytes, want 8", len(v))}
		}
		if err == nil {
			n = binary.BigEndian.Uint64(v)
		}
		return err
	})
	return n, err
}
