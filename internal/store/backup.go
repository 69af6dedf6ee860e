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
	maxStateBytes  = 4 << 30 // bytes of a state
	chunkTimeout   = 10 * time.Second
)

// ErrInvalidBackup is the error of a backup that is not whole.
var ErrInvalidBackup = errors.New("store: no whole backup")

// Backup is the first line of a backup, as JSON; behind it stands the state, compressed.
type Backup struct {
	Kind              string `json:"kind"`
	Format            int    `json:"format"`
	ClusterName       string `json:"set"`   // of the set that it is of
	ClusterGeneration uint64 `json:"times"` // that operators had begun it anew
	SourceID          string `json:"from"`
	Index             uint64 `json:"index"`
	Term              uint64 `json:"term"`
	Bytes             int64  `json:"bytes"`  // of the state
	SHA256            string `json:"sha256"` // of the state, in hex
	Error             string `json:"error,omitempty"`
}

// serveBackup sends the whole state as of one position, which holds all that was agreed on before it was asked for.
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
	if _, err = io.Copy(z, content); err == nil { // else it is cut short, which whoever reads it finds
		z.Close()
	}
}

// deadlineConn gives each piece a time to be written or read in. Guards against a peer that stalls.
type deadlineConn struct{ net.Conn }

func (d deadlineConn) Write(b []byte) (int, error) {
	d.SetWriteDeadline(time.Now().Add(chunkTimeout))
	return d.Conn.Write(b)
}

func (d deadlineConn) Read(b []byte) (int, error) {
	d.SetReadDeadline(time.Now().Add(chunkTimeout))
	return d.Conn.Read(b)
}

// openBackupSnapshot makes a snapshot, and opens it.
func (s *Store) openBackupSnapshot() (h Backup, content io.ReadCloser, err error) {
	r := s.active.Load()
	if _, leads := s.Leadership(); r == nil || !leads {
		return h, nil, fmt.Errorf("store: %s does not lead, but %q", s.o.ID, s.Leader())
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
		return h, nil, errors.New("store: nothing was agreed on yet")
	}
	sum, n := sha256.New(), int64(0)
	m, content, err := r.directory.Snapshots.Open(snapshots[0].ID)
	if err == nil {
		n, err = io.Copy(sum, content)
		content.Close()
	}
	if err == nil {
		_, content, err = r.directory.Snapshots.Open(m.ID)
	}
	if err != nil {
		return h, nil, err
	}
	directory := r.directory.State()
	return Backup{Kind: backupKind, Format: backupFormat, ClusterName: directory.ClusterName, ClusterGeneration: directory.ClusterGeneration, SourceID: s.o.ID, Index: m.Index, Term: m.Term,
		Bytes: n, SHA256: hex.EncodeToString(sum.Sum(nil))}, content, nil
}

// SaveBackup asks the nodes at these addresses for a backup and writes it to a file, which stands only once it is whole.
func SaveBackup(ctx context.Context, peers map[string]string, path string) (h Backup, err error) {
	if _, err := os.Stat(path); err == nil {
		return h, fmt.Errorf("store: %s is there already", path)
	}
	lastErr := errors.New("store: no node is named")
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

// ReadBackup reads a backup and writes its state; an error tells that what was written is not whole.
func ReadBackup(r io.Reader, to io.Writer) (h Backup, err error) {
	in := bufio.NewReaderSize(r, maxHeaderBytes)
	line, err := in.ReadSlice('\n')
	if err != nil {
		return h, fmt.Errorf("%w: its first line: %v", ErrInvalidBackup, err)
	}
	d := json.NewDecoder(bytes.NewReader(line))
	d.DisallowUnknownFields()
	if err := d.Decode(&h); err != nil {
		return h, fmt.Errorf("%w: its first line: %v", ErrInvalidBackup, err)
	}
	switch {
	case h.Kind != backupKind:
		return h, fmt.Errorf("%w: its kind is %q", ErrInvalidBackup, h.Kind)
	case h.Format != backupFormat:
		return h, fmt.Errorf("%w: its format is %d, this build reads %d", ErrInvalidBackup, h.Format, backupFormat)
	case h.Bytes <= 0 || h.Bytes > maxStateBytes || h.Index == 0 || h.Term == 0:
		return h, fmt.Errorf("%w: %d bytes as of entry %d in term %d", ErrInvalidBackup, h.Bytes, h.Index, h.Term)
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
		return h, fmt.Errorf("%w: it has %d bytes, not %d", ErrInvalidBackup, n, h.Bytes)
	case hex.EncodeToString(sum.Sum(nil)) != h.SHA256:
		return h, fmt.Errorf("%w: its digest is not the one that it tells", ErrInvalidBackup)
	}
	return h, nil
}

// RestoreBackup makes a node's folder from a backup. The folder begins a set of its own, with a name that no other has, so no copy of
// the set that the backup is of is taken for one of this; the other nodes join it with empty folders. Nothing is made where the
// backup is not whole.
func RestoreBackup(o Options, backup io.Reader) (h Backup, err error) {
	if o.Log == nil {
		o.Log = io.Discard
	}
	if o.Peers[o.ID] == "" {
		return h, fmt.Errorf("store: %s is not among its own peers", o.ID)
	}
	if _, err := os.Stat(filepath.Join(o.Dir, disk.FileName)); err == nil {
		return h, fmt.Errorf("store: %s holds a copy already", o.Dir)
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
	f, err := disk.OpenDirectory(o.Dir, processID, o.Log, disk.Options{})
	if err != nil {
		return h, err
	}
	defer f.Close()
	_, trans := raft.NewInmemTransport(raft.ServerAddress(o.Peers[o.ID]))
	sink, err := f.Snapshots.Create(1, h.Index, h.Term, o.soleVoterConfiguration(), h.Index, trans)
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
	if err := f.SetUint64([]byte("CurrentTerm"), h.Term); err != nil {
		return h, err
	}
	return h, f.RecordNewCluster(clusterName)
}
