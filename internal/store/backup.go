package store

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/hashicorp/raft"
	"github.com/klauspost/compress/zstd"

	"puffinsaddle/internal/frame"
	"puffinsaddle/internal/state"
	"puffinsaddle/internal/store/disk"
)

const (
	backupKind     = "puffinsaddle backup"
	backupFormat   = 1
	maxHeaderBytes = 4 << 10
	maxStateBytes  = 4 << 30          // maximum size of the uncompressed state
	chunkTimeout   = 10 * time.Second // timeout for one read or write of the compressed state
)

// ErrInvalidBackup reports a backup that is truncated, corrupt or of an unsupported format.
var ErrInvalidBackup = errors.New("store: invalid backup")

// Backup is the header of a backup: its first line, as JSON. The state follows, compressed with zstd.
type Backup struct {
	Kind              string `json:"kind"`
	Format            int    `json:"format"`
	ClusterName       string `json:"set"`   // name of the cluster that was backed up
	ClusterGeneration uint64 `json:"times"` // how often operators had recovered that cluster
	SourceID          string `json:"from"`  // id of the replica that served it
	Index             uint64 `json:"index"`
	Term              uint64 `json:"term"`
	Bytes             int64  `json:"bytes"`  // size of the state
	SHA256            string `json:"sha256"` // digest of the state, in hex
	Error             string `json:"error,omitempty"`
}

// serveBackup sends the complete state at one log index, which includes everything committed before the request.
func (s *Store) serveBackup(conn net.Conn) {
	defer conn.Close()
	h, content, err := s.openBackupSnapshot()
	if err != nil {
		frame.Send(conn, Backup{Kind: backupKind, Error: err.Error()}, maxHeaderBytes)
		return
	}
	defer content.Close()
	if frame.Send(conn, h, maxHeaderBytes) != nil {
		return
	}
	z, err := zstd.NewWriter(deadlineConn{conn})
	if err != nil {
		return
	}
	if _, err = io.Copy(z, content); err == nil { // otherwise the stream is truncated, which the reader detects
		z.Close()
	}
}

// deadlineConn sets a deadline for each read and write, so that a stalled peer does not block forever.
type deadlineConn struct{ net.Conn }

func (d deadlineConn) Write(b []byte) (int, error) {
	d.SetWriteDeadline(time.Now().Add(chunkTimeout))
	return d.Conn.Write(b)
}

func (d deadlineConn) Read(b []byte) (int, error) {
	d.SetReadDeadline(time.Now().Add(chunkTimeout))
	return d.Conn.Read(b)
}

// openBackupSnapshot takes a snapshot and opens it. It fails on a replica that is not the leader.
func (s *Store) openBackupSnapshot() (h Backup, content io.ReadCloser, err error) {
	r := s.active.Load()
	if _, isLeader := s.Leadership(); r == nil || !isLeader {
		return h, nil, fmt.Errorf("store: %s is not the leader; the leader is %q", s.o.ID, s.Leader())
	}
	if err := s.ConfirmLeadership()(); err != nil {
		return h, nil, fmt.Errorf("%w: %v", ErrNoQuorum, err)
	}
	if err := r.raft.Snapshot().Error(); err != nil && !errors.Is(err, raft.ErrNothingNewToSnapshot) {
		return h, nil, err
	}
	snapshots, err := r.directory.Snapshots.List()
	if err != nil {
		return h, nil, err
	}
	if len(snapshots) == 0 {
		return h, nil, errors.New("store: there is nothing to back up: no entry is committed yet")
	}
	sum, n := sha256.New(), int64(0)
	meta, content, err := r.directory.Snapshots.Open(snapshots[0].ID)
	if err == nil {
		n, err = io.Copy(sum, content)
		content.Close()
	}
	if err == nil {
		_, content, err = r.directory.Snapshots.Open(meta.ID)
	}
	if err != nil {
		return h, nil, err
	}
	directory := r.directory.State()
	return Backup{Kind: backupKind, Format: backupFormat, ClusterName: directory.ClusterName, ClusterGeneration: directory.ClusterGeneration, SourceID: s.o.ID, Index: meta.Index, Term: meta.Term,
		Bytes: n, SHA256: hex.EncodeToString(sum.Sum(nil))}, content, nil
}

// SaveBackup requests a backup from the replicas at these addresses and writes it to a file. The file appears at path only after
// the backup was received completely and verified.
func SaveBackup(ctx context.Context, peers map[string]string, path string) (h Backup, err error) {
	if _, err := os.Stat(path); err == nil {
		return h, fmt.Errorf("store: %s exists already", path)
	}
	lastErr := errors.New("store: no replica is given")
	for _, id := range slices.Sorted(maps.Keys(peers)) {
		if h, err = saveBackupFrom(ctx, peers[id], path); err == nil {
			return h, nil
		}
		lastErr = fmt.Errorf("%s: %w", id, err)
	}
	return h, lastErr
}

func saveBackupFrom(ctx context.Context, address, path string) (h Backup, err error) {
	d := net.Dialer{Timeout: writeTimeout}
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return h, err
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	if _, err := conn.Write([]byte{purposeBackup}); err != nil {
		return h, err
	}
	r := frame.NewReader(conn, chunkTimeout, maxHeaderBytes)
	if err := r.Next(&h); err != nil {
		return h, err
	}
	if h.Error != "" {
		return h, errors.New(h.Error)
	}
	f, err := os.CreateTemp(filepath.Dir(path), filepath.Base(path)+".*")
	if err != nil {
		return h, err
	}
	defer os.Remove(f.Name())
	defer f.Close()
	header, err := json.Marshal(h)
	if err == nil {
		_, err = f.Write(append(header, '\n'))
	}
	if err == nil {
		_, err = io.Copy(f, r.Remainder(deadlineConn{conn}))
	}
	if err == nil {
		err = f.Sync()
	}
	if err == nil {
		_, err = f.Seek(0, io.SeekStart)
	}
	if err == nil {
		_, err = ReadBackup(f, io.Discard)
	}
	if err != nil {
		return h, err
	}
	return h, os.Rename(f.Name(), path)
}

// ReadBackup reads and verifies a backup and writes its state to a writer. On an error, the written state is not usable.
func ReadBackup(r io.Reader, to io.Writer) (h Backup, err error) {
	in := bufio.NewReaderSize(r, maxHeaderBytes)
	line, err := in.ReadSlice('\n')
	if err != nil {
		return h, fmt.Errorf("%w: header: %v", ErrInvalidBackup, err)
	}
	d := json.NewDecoder(bytes.NewReader(line))
	d.DisallowUnknownFields()
	if err := d.Decode(&h); err != nil {
		return h, fmt.Errorf("%w: header: %v", ErrInvalidBackup, err)
	}
	switch {
	case h.Kind != backupKind:
		return h, fmt.Errorf("%w: kind is %q", ErrInvalidBackup, h.Kind)
	case h.Format != backupFormat:
		return h, fmt.Errorf("%w: format is %d, this build reads %d", ErrInvalidBackup, h.Format, backupFormat)
	case h.Bytes <= 0 || h.Bytes > maxStateBytes || h.Index == 0 || h.Term == 0:
		return h, fmt.Errorf("%w: header with %d bytes at log index %d in term %d", ErrInvalidBackup, h.Bytes, h.Index, h.Term)
	}
	z, err := zstd.NewReader(in, zstd.WithDecoderConcurrency(1))
	if err != nil {
		return h, fmt.Errorf("%w: %v", ErrInvalidBackup, err)
	}
	defer z.Close()
	sum := sha256.New()
	n, err := io.Copy(io.MultiWriter(sum, to), io.LimitReader(z, h.Bytes+1))
	switch {
	case err != nil:
		return h, fmt.Errorf("%w: after %d of %d bytes: %v", ErrInvalidBackup, n, h.Bytes, err)
	case n != h.Bytes:
		return h, fmt.Errorf("%w: the state has %d bytes, want %d", ErrInvalidBackup, n, h.Bytes)
	case hex.EncodeToString(sum.Sum(nil)) != h.SHA256:
		return h, fmt.Errorf("%w: the SHA-256 digest of the state does not match the header", ErrInvalidBackup)
	}
	return h, nil
}

// RestoreBackup creates a replica's data directory from a backup. The directory starts a new cluster with a unique name, so
// replicas of the cluster that was backed up are not accepted as members; the other replicas join with empty directories. Nothing
// is created if the backup is invalid.
func RestoreBackup(o Options, backup io.Reader) (h Backup, err error) {
	if o.Log == nil {
		o.Log = io.Discard
	}
	if o.Peers[o.ID] == "" {
		return h, fmt.Errorf("store: %s is not among its own peers", o.ID)
	}
	if _, err := os.Stat(filepath.Join(o.Dir, disk.FileName)); err == nil {
		return h, fmt.Errorf("store: %s holds a replica already", o.Dir)
	}
	var content bytes.Buffer
	if h, err = ReadBackup(backup, &content); err != nil {
		return h, err
	}
	if _, err := state.ReadSnapshot(content.Bytes()); err != nil {
		return h, fmt.Errorf("%w: %v", ErrInvalidBackup, err)
	}
	processID, err := disk.NewRandomID()
	if err != nil {
		return h, err
	}
	clusterName, err := disk.NewRandomID()
	if err != nil {
		return h, err
	}
	directory, err := disk.OpenDirectory(o.Dir, processID, o.Log, disk.Options{})
	if err != nil {
		return h, err
	}
	defer directory.Close()
	_, trans := raft.NewInmemTransport(raft.ServerAddress(o.Peers[o.ID]))
	sink, err := directory.Snapshots.Create(1, h.Index, h.Term, o.soleVoterConfiguration(), h.Index, trans)
	if err != nil {
		return h, err
	}
	if _, err := sink.Write(content.Bytes()); err != nil {
		sink.Cancel()
		return h, err
	}
	if err := sink.Close(); err != nil {
		return h, err
	}
	if err := directory.SetUint64([]byte("CurrentTerm"), h.Term); err != nil {
		return h, err
	}
	return h, directory.RecordNewCluster(clusterName)
}
