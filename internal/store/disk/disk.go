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

// FormatVersion is the version of the data directory format that this build writes. Format 1 had no checksums; its directories
// are migrated when they are first opened.
const FormatVersion = 2

// FileName is the name of the bolt file in a replica's data directory.
const FileName = "raft.db"

// ErrStopped is returned by every operation after a failed write or after corruption was found.
var ErrStopped = errors.New("disk: stopped")

// ErrNotFound reports a value that was never written; raft matches its text.
var ErrNotFound = errors.New("not found")

// ErrNewerFormat reports a directory in a format of a later build.
var ErrNewerFormat = errors.New("disk: written by a later build")

// CorruptionError reports data that is not what was written.
type CorruptionError struct {
	Path     string
	Location string // such as "entry 17"
	Reason   string
}

func (d *CorruptionError) Error() string {
	return fmt.Sprintf("disk: %s: %s is corrupt: %s", d.Path, d.Location, d.Reason)
}

const (
	lockTimeout        = time.Second // another process may be about to release the file
	migrationBatchSize = 256         // records migrated from an earlier format in one transaction
	formatKey          = "format"
)

var (
	checksumTable = crc32.MakeTable(crc32.Castagnoli)
	checksumMagic = []byte("pufc")

	// The buckets and the encoding of an entry are those of hashicorp/raft-boltdb, which format 1 used.
	logsBucket    = []byte("logs")
	valuesBucket  = []byte("conf")
	entryEncoding = newEntryEncoding()
)

// newEntryEncoding returns the msgpack encoding of entries that hashicorp/raft-boltdb uses.
func newEntryEncoding() *codec.MsgpackHandle {
	h := &codec.MsgpackHandle{}
	h.TimeNotBuiltin = true
	return h
}

const trailerSize = 8 // bytes of magic and checksum

// checksum returns the checksum of a record including its bucket and key, so that a record found under another key is detected
// as corrupt too.
func checksum(bucket, key, data []byte) uint32 {
	c := crc32.Update(0, checksumTable, bucket)
	c = crc32.Update(c, checksumTable, key)
	return crc32.Update(c, checksumTable, data)
}

// appendChecksum returns the record data with its checksum appended.
func appendChecksum(bucket, key, data []byte) []byte {
	b := append(make([]byte, 0, len(data)+trailerSize), data...)
	return binary.BigEndian.AppendUint32(append(b, checksumMagic...), checksum(bucket, key, data))
}

// verifyChecksum verifies the checksum of a record and returns the record without it.
func (l *Log) verifyChecksum(bucket, key, b []byte) ([]byte, error) {
	n := len(b) - trailerSize
	if n < 0 || !bytes.Equal(b[n:n+len(checksumMagic)], checksumMagic) {
		return nil, &CorruptionError{l.path, recordLocation(bucket, key), "no checksum"}
	}
	want := binary.BigEndian.Uint32(b[n+len(checksumMagic):])
	if got := checksum(bucket, key, b[:n]); got != want {
		return nil, &CorruptionError{l.path, recordLocation(bucket, key), fmt.Sprintf("checksum is %08x, want %08x", got, want)}
	}
	return b[:n], nil
}

// recordLocation describes the location of a record for messages.
func recordLocation(bucket, key []byte) string {
	if bytes.Equal(bucket, logsBucket) && len(key) == 8 {
		return fmt.Sprintf("entry %d", binary.BigEndian.Uint64(key))
	}
	return fmt.Sprintf("%q", key)
}

// encodeUint64 encodes n as 8 bytes, big-endian.
func encodeUint64(n uint64) []byte { return binary.BigEndian.AppendUint64(nil, n) }

// Log is raft's log store and stable store.
type Log struct {
	db   *bbolt.DB
	path string

	mu            sync.Mutex
	stopReason    error
	onFailure     func(error)
	raftRunning   atomic.Bool
	injectedFault atomic.Pointer[func(op string) error] // set by tests to make operations fail
}

// Options configure a Log.
type Options struct {
	OnFailure func(error) // optional; called once, on its own goroutine, when the log stops after an error
}

// Open opens the bolt file of a data directory, or creates it, and checks every record.
func Open(dir string, o Options) (*Log, error) {
	l := &Log{path: filepath.Join(dir, FileName), onFailure: o.OnFailure}
	if info, err := os.Stat(l.path); err == nil && info.Size() > 0 { // a file of a later build must not be modified
		if err := l.open(true); err != nil {
			return nil, err
		}
		_, err = l.readFormat()
		if err = errors.Join(err, l.db.Close()); err != nil {
			return nil, err
		}
	}
	if err := l.open(false); err != nil {
		return nil, err
	}
	err := l.migrate()
	if err == nil {
		_, err = l.verifyRecords()
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
	return recoverCorruption(l.path, "the file", func() (err error) {
		// The list of free pages is not stored but rebuilt at each opening: it has no checksum, and a corrupt list would let
		// later writes overwrite earlier ones.
		l.db, err = bbolt.Open(l.path, 0o600, &bbolt.Options{Timeout: lockTimeout, ReadOnly: readOnly, NoFreelistSync: true})
		if err != nil {
			return classifyOpenError(l.path, err)
		}
		if !readOnly {
			err = l.db.Update(func(tx *bbolt.Tx) error {
				_, err := tx.CreateBucketIfNotExists(logsBucket)
				if err == nil {
					_, err = tx.CreateBucketIfNotExists(valuesBucket)
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

// classifyOpenError classifies an error of opening a bolt file.
func classifyOpenError(path string, err error) error {
	switch {
	case errors.Is(err, bolterrors.ErrTimeout):
		return fmt.Errorf("disk: %s is open in another process", path)
	case errors.Is(err, bolterrors.ErrInvalid), errors.Is(err, bolterrors.ErrChecksum), errors.Is(err, bolterrors.ErrVersionMismatch):
		return &CorruptionError{path, "the file header", err.Error()}
	}
	return err
}

// recoverCorruption runs do and turns a panic over corrupt pages into a CorruptionError. Reading a page beyond the end of the
// mapped file is a memory fault, which would end the process; within do it panics instead.
func recoverCorruption(path, location string, do func() error) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if r := recover(); r != nil {
			err = &CorruptionError{path, location, fmt.Sprint(r)}
		}
	}()
	return do()
}

// migrate migrates a file of an earlier format: it adds the checksum to every record. It may be interrupted at any point and
// continues at the next opening.
func (l *Log) migrate() error {
	return recoverCorruption(l.path, "the file", func() error {
		version, err := l.readFormat()
		if err != nil || version == FormatVersion {
			return err
		}
		for _, bucketName := range [][]byte{logsBucket, valuesBucket} {
			for startKey := []byte{0}; startKey != nil; {
				if startKey, err = l.migrateBatch(bucketName, startKey); err != nil {
					return fmt.Errorf("disk: %s: %w", l.path, err)
				}
			}
		}
		return l.db.Update(func(tx *bbolt.Tx) error {
			return tx.Bucket(valuesBucket).Put([]byte(formatKey), appendChecksum(valuesBucket, []byte(formatKey), []byte{FormatVersion}))
		})
	})
}

// migrateBatch migrates one batch of records and returns the key at which the rest begins; nil: none are left.
func (l *Log) migrateBatch(bucketName, startKey []byte) (nextKey []byte, err error) {
	err = l.db.Update(func(tx *bbolt.Tx) error {
		bucket := tx.Bucket(bucketName)
		type record struct{ key, data []byte }
		var unmigrated []record
		c := bucket.Cursor()
		k, v := c.Seek(startKey)
		for ; k != nil && len(unmigrated) < migrationBatchSize; k, v = c.Next() {
			if _, err := l.verifyChecksum(bucketName, k, v); err != nil { // not migrated yet
				unmigrated = append(unmigrated, record{bytes.Clone(k), appendChecksum(bucketName, k, v)})
			}
		}
		nextKey = bytes.Clone(k)
		for _, r := range unmigrated {
			if err := bucket.Put(r.key, r.data); err != nil {
				return err
			}
		}
		return nil
	})
	return nextKey, err
}

// readFormat returns the format of the directory; 1 if none is recorded.
func (l *Log) readFormat() (int, error) {
	v, err := l.readValue(formatKey)
	if errors.Is(err, ErrNotFound) {
		return 1, nil
	}
	if err != nil {
		return 0, err
	}
	if len(v) != 1 {
		return 0, &CorruptionError{l.path, formatKey, fmt.Sprintf("%d bytes", len(v))}
	}
	if v[0] > FormatVersion {
		err = fmt.Errorf("%w: %s has format %d, this build reads up to %d", ErrNewerFormat, l.path, v[0], FormatVersion)
	}
	return int(v[0]), err
}

// LogSummary summarizes the records of a log.
type LogSummary struct {
	FirstIndex uint64 `json:"first"` // log index
	LastIndex  uint64 `json:"last"`  // log index
	Entries    int    `json:"entries"`
	Bytes      int64  `json:"bytes"` // of the entries' data
	Term       uint64 `json:"term"`  // raft's current term
}

// verifyRecords reads and verifies every record.
func (l *Log) verifyRecords() (summary LogSummary, err error) {
	err = recoverCorruption(l.path, "the file", func() error {
		return l.db.View(func(tx *bbolt.Tx) error {
			var previous raft.Log
			err := tx.Bucket(logsBucket).ForEach(func(k, v []byte) error {
				var e raft.Log
				if err := l.decodeEntry(k, v, &e); err != nil {
					return err
				}
				switch {
				case previous.Index > 0 && e.Index != previous.Index+1:
					return &CorruptionError{l.path, fmt.Sprintf("entry %d", previous.Index+1), "missing"}
				case e.Term < previous.Term:
					return &CorruptionError{l.path, recordLocation(logsBucket, k), fmt.Sprintf("term is %d, after term %d", e.Term, previous.Term)}
				}
				if summary.FirstIndex == 0 {
					summary.FirstIndex = e.Index
				}
				summary.LastIndex = e.Index
				summary.Entries++
				summary.Bytes += int64(len(e.Data))
				previous = e
				return nil
			})
			if err != nil {
				return err
			}
			return tx.Bucket(valuesBucket).ForEach(func(k, v []byte) error {
				data, err := l.verifyChecksum(valuesBucket, k, v)
				if err == nil && string(k) == "CurrentTerm" && len(data) == 8 {
					summary.Term = binary.BigEndian.Uint64(data)
				}
				return err
			})
		})
	})
	return summary, err
}

// decodeEntry verifies and decodes one entry.
func (l *Log) decodeEntry(key, v []byte, entry *raft.Log) error {
	data, err := l.verifyChecksum(logsBucket, key, v)
	if err != nil {
		return err
	}
	if err := codec.NewDecoderBytes(data, entryEncoding).Decode(entry); err != nil {
		return &CorruptionError{l.path, recordLocation(logsBucket, key), err.Error()}
	}
	if !bytes.Equal(encodeUint64(entry.Index), key) {
		return &CorruptionError{l.path, recordLocation(logsBucket, key), fmt.Sprintf("it holds entry %d", entry.Index)}
	}
	return nil
}

func (l *Log) readEntry(index uint64, entry *raft.Log) error {
	return l.db.View(func(tx *bbolt.Tx) error {
		key := encodeUint64(index)
		v := tx.Bucket(logsBucket).Get(key)
		if v == nil {
			return raft.ErrLogNotFound
		}
		return l.decodeEntry(key, v, entry)
	})
}

func (l *Log) readValue(key string) (value []byte, err error) {
	err = l.db.View(func(tx *bbolt.Tx) error {
		bucket := tx.Bucket(valuesBucket)
		if bucket == nil {
			return ErrNotFound // the file was created but not initialized
		}
		v := bucket.Get([]byte(key))
		if v == nil {
			return ErrNotFound
		}
		value, err = l.verifyChecksum(valuesBucket, []byte(key), v)
		value = bytes.Clone(value)
		return err
	})
	return value, err
}

func (l *Log) writeValue(key string, v []byte) error {
	return l.db.Update(func(tx *bbolt.Tx) error {
		return tx.Bucket(valuesBucket).Put([]byte(key), appendChecksum(valuesBucket, []byte(key), v))
	})
}

func (l *Log) readUint64(key string) (uint64, error) {
	v, err := l.readValue(key)
	if errors.Is(err, ErrNotFound) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	if len(v) != 8 {
		return 0, &CorruptionError{l.path, fmt.Sprintf("%q", key), fmt.Sprintf("%d bytes, want 8", len(v))}
	}
	return binary.BigEndian.Uint64(v), nil
}

// SetRaftRunning records that raft uses the log. From now on a raft goroutine exits where it would panic over an error.
func (l *Log) SetRaftRunning() { l.raftRunning.Store(true) }

// StopReason returns the error that stopped the log, or nil.
func (l *Log) StopReason() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stopReason
}

// Close closes the file.
func (l *Log) Close() error {
	l.stop(ErrStopped, false)
	return l.db.Close()
}

func (l *Log) stop(reason error, notify bool) {
	l.mu.Lock()
	first := l.stopReason == nil
	if first {
		l.stopReason = reason
	}
	l.mu.Unlock()
	if first && notify && l.onFailure != nil {
		go l.onFailure(reason)
	}
}

// execute executes an operation. If it fails for any reason other than a missing record, all further operations fail.
func (l *Log) execute(op string, execute func() error) error {
	if reason := l.StopReason(); reason != nil {
		return fmt.Errorf("%w: %w", ErrStopped, reason)
	}
	err := error(nil)
	if f := l.injectedFault.Load(); f != nil {
		err = (*f)(op)
	}
	if err == nil {
		err = recoverCorruption(l.path, op, execute)
	}
	if err == nil || errors.Is(err, raft.ErrLogNotFound) || errors.Is(err, ErrNotFound) {
		return err
	}
	l.stop(err, true)
	return err
}

// executeOrExit is execute for operations over whose errors raft panics. Instead of the process only raft's goroutine exits, and
// the OnFailure callback shuts down the rest. Raft therefore never continues on data that was not read or written.
func (l *Log) executeOrExit(op string, do func() error) error {
	err := l.execute(op, do)
	if err != nil && l.raftRunning.Load() && !errors.Is(err, raft.ErrLogNotFound) && !errors.Is(err, ErrNotFound) {
		runtime.Goexit()
	}
	return err
}

// FirstIndex returns the index of the first entry; 0: there is none.
func (l *Log) FirstIndex() (uint64, error) { return l.boundaryIndex((*bbolt.Cursor).First) }

// LastIndex returns the index of the last entry; 0: there is none.
func (l *Log) LastIndex() (uint64, error) { return l.boundaryIndex((*bbolt.Cursor).Last) }

func (l *Log) boundaryIndex(seek func(*bbolt.Cursor) (k, v []byte)) (n uint64, err error) {
	err = l.execute("read", func() error {
		return l.db.View(func(tx *bbolt.Tx) error {
			if k, _ := seek(tx.Bucket(logsBucket).Cursor()); len(k) == 8 {
				n = binary.BigEndian.Uint64(k)
			}
			return nil
		})
	})
	return n, err
}

// GetLog reads an entry.
func (l *Log) GetLog(index uint64, entry *raft.Log) error {
	return l.executeOrExit("read", func() error { return l.readEntry(index, entry) })
}

// StoreLog writes an entry.
func (l *Log) StoreLog(e *raft.Log) error { return l.StoreLogs([]*raft.Log{e}) }

// StoreLogs writes entries atomically.
func (l *Log) StoreLogs(logs []*raft.Log) error {
	return l.execute("write", func() error {
		return l.db.Update(func(tx *bbolt.Tx) error {
			bucket := tx.Bucket(logsBucket)
			var data []byte
			for _, e := range logs {
				data = data[:0]
				if err := codec.NewEncoderBytes(&data, entryEncoding).Encode(e); err != nil {
					return err
				}
				key := encodeUint64(e.Index)
				if err := bucket.Put(key, appendChecksum(logsBucket, key, data)); err != nil {
					return err
				}
			}
			return nil
		})
	})
}

// DeleteRange deletes the entries from first to last, both included.
func (l *Log) DeleteRange(first, last uint64) error {
	return l.execute("write", func() error {
		return l.db.Update(func(tx *bbolt.Tx) error {
			c := tx.Bucket(logsBucket).Cursor()
			for k, _ := c.Seek(encodeUint64(first)); len(k) == 8 && binary.BigEndian.Uint64(k) <= last; k, _ = c.Seek(encodeUint64(first)) {
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
	return l.executeOrExit("write", func() error { return l.writeValue(string(key), v) })
}

// storeValue writes a value of this package; it must not be called on a raft goroutine.
func (l *Log) storeValue(key string, v []byte) error {
	return l.execute("write", func() error { return l.writeValue(key, v) })
}

func (l *Log) storeUint64(key string, n uint64) error { return l.storeValue(key, encodeUint64(n)) }

// storeValues writes values of this package atomically.
func (l *Log) storeValues(pairs map[string][]byte) error {
	return l.execute("write", func() error {
		return l.db.Update(func(tx *bbolt.Tx) error {
			for key, v := range pairs {
				if err := tx.Bucket(valuesBucket).Put([]byte(key), appendChecksum(valuesBucket, []byte(key), v)); err != nil {
					return err
				}
			}
			return nil
		})
	})
}

// Get reads a value.
func (l *Log) Get(key []byte) (v []byte, err error) {
	err = l.execute("read", func() (err error) { v, err = l.readValue(string(key)); return err })
	return v, err
}

// SetUint64 writes a number as a raft value.
func (l *Log) SetUint64(key []byte, n uint64) error { return l.Set(key, encodeUint64(n)) }

// GetUint64 reads a number written by SetUint64.
func (l *Log) GetUint64(key []byte) (n uint64, err error) {
	err = l.execute("read", func() (err error) {
		v, err := l.readValue(string(key))
		if err == nil && len(v) != 8 {
			err = &CorruptionError{l.path, fmt.Sprintf("%q", key), fmt.Sprintf("%d bytes, want 8", len(v))}
		}
		if err == nil {
			n = binary.BigEndian.Uint64(v)
		}
		return err
	})
	return n, err
}
