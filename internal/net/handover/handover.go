// Package handover passes listening sockets from a running process, the predecessor, to the one that replaces it, the
// successor, over a Unix socket in a directory that only these two use. Both then have the same sockets with the same
// queues. The successor accepts what the predecessor has not, so no connection is lost when the predecessor closes its
// descriptors.
//
// The successor sends its format version as one byte when it is about to serve. Up to version 1, the predecessor answers with
// the same byte. From version 2 on it answers with the byte stateMarker, the length of its state in eight bytes (big-endian)
// and the state. From version 3 on that byte is linkMarker, and the connection then carries the messages of a Link. From
// version 4 on it is limitsMarker, and the messages include reports on the limits of the server.
package handover

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rs/zerolog"
)

const (
	handshakeTimeout = time.Second // a predecessor that does not answer within this counts as absent
	maxAddressBytes  = 4 << 10     // bytes of the addresses
	maxSockets       = 8           // descriptors in one message

	stateTimeout  = 5 * time.Second // the state may be megabytes
	maxStateBytes = 1 << 30         // bytes of the state
	stateVersion  = 2               // first format version of successors that receive the state
	linkVersion   = 3               // first format version of successors that exchange messages
	limitsVersion = 4               // first format version of successors that report on limits; the version that this build sends
	stateMarker   = 3               // first byte of an answer that contains the state
	linkMarker    = 4               // the same, if messages follow the state
	limitsMarker  = 5               // the same, if the messages include reports on limits
)

// versionByMarker is the format version that the first byte of a predecessor's answer shows.
var versionByMarker = map[byte]byte{stateMarker: stateVersion, linkMarker: linkVersion, limitsMarker: limitsVersion}

// Predecessor is what a process does for its successors.
type Predecessor interface {
	State(successor *Link) []byte                     // returns the state that a successor needs, which is about to serve
	Receive(successor *Link, content json.RawMessage) // handles a message
	SuccessorEnded(successor *Link)                   // reports that the successor has ended, after its last message
}

// Offer passes listening sockets to each successor that connects.
type Offer struct {
	ln          *net.UnixListener
	successors  atomic.Int32
	predecessor Predecessor
	log         zerolog.Logger
}

// New offers listening sockets, keyed by the addresses they were opened for, on a Unix socket at path. A file at that path
// was left by an earlier process and is replaced.
func New(path string, sockets map[string]*net.TCPListener, predecessor Predecessor, log zerolog.Logger) (*Offer, error) {
	if err := os.Remove(path); err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, err
	}
	ln, err := net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
	if err != nil {
		return nil, err
	}
	ln.SetUnlinkOnClose(false) // by then the successor's socket may be at the path
	o := &Offer{ln: ln, predecessor: predecessor, log: log}
	go func() {
		for {
			conn, err := ln.AcceptUnix()
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if err != nil {
				log.Warn().Err(err).Msg("handover")
				time.Sleep(handshakeTimeout)
				continue
			}
			go o.serveSuccessor(conn, sockets)
		}
	}()
	return o, nil
}

// serveSuccessor sends the sockets, and then serves the successor until it has ended.
func (o *Offer) serveSuccessor(conn *net.UnixConn, sockets map[string]*net.TCPListener) {
	defer conn.Close()
	if err := sendSockets(conn, sockets); err != nil {
		o.log.Warn().Err(err).Msg("handover")
		return
	}
	o.log.Info().Int("sockets", len(sockets)).Msg("handed to a successor")
	var version [1]byte
	if n, _ := conn.Read(version[:]); n == 0 {
		return
	}
	o.successors.Add(1)
	defer o.successors.Add(-1)
	link := newLink(conn, min(version[0], limitsVersion))
	switch {
	case link.reportsLimits():
		o.serveLink(link, limitsMarker)
	case link.exchangesMessages():
		o.serveLink(link, linkMarker)
	case version[0] >= stateVersion:
		o.serveEarlierBuild(link, func(state []byte) []byte { return appendState(stateMarker, state) })
	default:
		o.serveEarlierBuild(link, func([]byte) []byte { return version[:] })
	}
}

// sendSockets sends copies of the descriptors of listening sockets with their addresses.
func sendSockets(conn *net.UnixConn, sockets map[string]*net.TCPListener) error {
	var names []string
	var fds []int
	defer func() {
		for _, fd := range fds {
			syscall.Close(fd)
		}
	}()
	for name, s := range sockets {
		fd, err := duplicate(s)
		if err != nil {
			return err
		}
		names, fds = append(names, name), append(fds, fd)
	}
	_, _, err := conn.WriteMsgUnix([]byte(strings.Join(names, "\n")), syscall.UnixRights(fds...), nil)
	return err
}

// serveLink sends the state to a successor and exchanges messages with it until it has ended.
func (o *Offer) serveLink(link *Link, marker byte) {
	defer o.predecessor.SuccessorEnded(link)
	state := o.predecessor.State(link)
	o.log.Info().Int("bytes", len(state)).Msg("a successor serves")
	if err := send(link.conn, appendState(marker, state)); err != nil {
		link.end()
		return
	}
	link.Serve(func(content json.RawMessage) { o.predecessor.Receive(link, content) })
}

// serveEarlierBuild sends an answer with the state to a successor that exchanges no messages, and waits until it has ended.
func (o *Offer) serveEarlierBuild(link *Link, answer func(state []byte) []byte) {
	defer o.predecessor.SuccessorEnded(link)
	state := o.predecessor.State(link)
	o.log.Info().Int("bytes", len(state)).Msg("a successor of an earlier build serves")
	send(link.conn, answer(state))
	io.Copy(io.Discard, link.conn)
}

// appendState returns the answer that contains the state.
func appendState(marker byte, state []byte) []byte {
	return append(binary.BigEndian.AppendUint64([]byte{marker}, uint64(len(state))), state...)
}

// send writes b within stateTimeout.
func send(conn net.Conn, b []byte) error {
	conn.SetWriteDeadline(time.Now().Add(stateTimeout))
	defer conn.SetWriteDeadline(time.Time{})
	_, err := conn.Write(b)
	return err
}

// duplicate returns a copy of a listener's descriptor, which stays open while it is sent even if the listener is closed
// meanwhile. It changes none of the file status flags, since both descriptors would share them.
func duplicate(s *net.TCPListener) (fd int, err error) {
	raw, err := s.SyscallConn()
	if err != nil {
		return 0, err
	}
	if e := raw.Control(func(original uintptr) { fd, err = syscall.Dup(int(original)) }); e != nil {
		return 0, e
	}
	return fd, err
}

// AnnounceServing notifies the predecessor that this process is about to serve, and waits for its answer with a timeout, so
// that the predecessor knows of its successor before it receives a notice to exit. It returns the predecessor's state, and a
// link to it, over which it exchanges messages unless its build is too old. If complete is false, the predecessor did not
// send its state because it has ended, hangs or is an earlier build, and may still start requests that it does not report.
func AnnounceServing(predecessor net.Conn) (state []byte, link *Link, complete bool) {
	predecessor.SetDeadline(time.Now().Add(handshakeTimeout))
	defer predecessor.SetDeadline(time.Time{})
	if _, err := predecessor.Write([]byte{limitsVersion}); err != nil {
		return nil, nil, false
	}
	var header [9]byte
	if _, err := io.ReadFull(predecessor, header[:1]); err != nil {
		return nil, nil, false
	}
	version, known := versionByMarker[header[0]]
	if !known {
		return nil, nil, false
	}
	predecessor.SetDeadline(time.Now().Add(stateTimeout))
	if _, err := io.ReadFull(predecessor, header[1:]); err != nil {
		return nil, nil, false
	}
	size := binary.BigEndian.Uint64(header[1:])
	if size > maxStateBytes {
		return nil, nil, false
	}
	state = make([]byte, size)
	if _, err := io.ReadFull(predecessor, state); err != nil {
		return nil, nil, false
	}
	return state, newLink(predecessor, version), true
}

// WaitForExit waits until the predecessor has ended.
func WaitForExit(predecessor net.Conn) {
	io.Copy(io.Discard, predecessor)
}

// HasSuccessor reports whether a successor that serves on the sockets is alive. A successor that has the sockets but does not
// serve yet does not count, since it may never accept the queued connections.
func (o *Offer) HasSuccessor() bool { return o != nil && o.successors.Load() > 0 }

// Close stops offering the sockets.
func (o *Offer) Close() {
	if o != nil {
		o.ln.Close()
	}
}

// Take requests the sockets that a predecessor offers at path, keyed by their addresses. If there is no predecessor, it returns
// no sockets and no error. The connection to the predecessor has to stay open for as long as this process is to be the
// successor.
func Take(path string) (sockets map[string]*net.TCPListener, predecessor net.Conn, err error) {
	conn, err := net.DialTimeout("unix", path, handshakeTimeout)
	if err != nil {
		return nil, nil, nil // no predecessor, or one that ended and left its socket file
	}
	defer func() {
		if err != nil {
			conn.Close()
			for _, s := range sockets {
				s.Close()
			}
		}
	}()
	conn.SetReadDeadline(time.Now().Add(handshakeTimeout))
	addresses, control := make([]byte, maxAddressBytes), make([]byte, syscall.CmsgSpace(4*maxSockets))
	n, nc, _, _, err := conn.(*net.UnixConn).ReadMsgUnix(addresses, control)
	if err != nil {
		return nil, nil, fmt.Errorf("handover: %w", err)
	}
	messages, err := syscall.ParseSocketControlMessage(control[:nc])
	if err != nil || len(messages) != 1 {
		return nil, nil, fmt.Errorf("handover: received %d control messages, want 1: %w", len(messages), err)
	}
	fds, err := syscall.ParseUnixRights(&messages[0])
	if err != nil {
		return nil, nil, fmt.Errorf("handover: %w", err)
	}
	sockets = map[string]*net.TCPListener{}
	names := strings.Split(string(addresses[:n]), "\n")
	for i, fd := range fds {
		syscall.CloseOnExec(fd)
		f := os.NewFile(uintptr(fd), "handed over")
		ln, e := net.FileListener(f) // duplicates the descriptor
		f.Close()
		tcp, ok := ln.(*net.TCPListener)
		if e != nil || !ok || i >= len(names) {
			err = fmt.Errorf("handover: descriptor %d is not a listening TCP socket with an address: %w", i, e)
			continue
		}
		sockets[names[i]] = tcp
	}
	return sockets, conn, err
}
