// Package handover passes listening sockets from a running process to the one that replaces it, over a Unix
// socket in a folder that only these two share. Both then hold the same sockets with the same queues: what one
// has not accepted the other does, so no connection is lost when the older closes its own.
//
// The newer one sends a byte when it is about to serve. Up to format 1 the older answers the same byte. From 2 on it
// answers stateMarker, a length in eight bytes and what the newer needs to know, as text.
package handover

import (
	"encoding/binary"
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
	handshakeTimeout = time.Second // a process that does not answer in this time is none
	maxAddressBytes  = 4 << 10     // bytes of the addresses
	maxSockets       = 8

	stateTimeout  = 5 * time.Second // what is told may be megabytes
	maxStateBytes = 1 << 30         // bytes of it
	formatVersion = 2
	stateMarker   = 3
)

// Offer hands the sockets to whoever asks.
type Offer struct {
	ln             *net.UnixListener
	successors     atomic.Int32
	state          func() []byte
	successorEnded func()
}

// New offers listening sockets, by the addresses they were opened for, at a path. What stands there is replaced: it is
// what an earlier process left. Asked for by a successor that is about to serve, know is what that one needs to know; gone
// is called once it has ended.
func New(path string, sockets map[string]*net.TCPListener, state func() []byte, successorEnded func(), log zerolog.Logger) (*Offer, error) {
	if err := os.Remove(path); err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, err
	}
	ln, err := net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
	if err != nil {
		return nil, err
	}
	ln.SetUnlinkOnClose(false) // by then the successor's may stand there
	o := &Offer{ln: ln, state: state, successorEnded: successorEnded}
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
			go o.serveSuccessor(conn, sockets, log)
		}
	}()
	return o, nil
}

// serveSuccessor passes the sockets on, and then holds the connection: its end is the end of the successor.
func (o *Offer) serveSuccessor(conn *net.UnixConn, sockets map[string]*net.TCPListener, log zerolog.Logger) {
	defer conn.Close()
	var names []string
	var fds []int
	for name, s := range sockets {
		fd, err := duplicate(s)
		if err != nil {
			log.Warn().Err(err).Msg("handover")
			return
		}
		names, fds = append(names, name), append(fds, fd)
	}
	_, _, err := conn.WriteMsgUnix([]byte(strings.Join(names, "\n")), syscall.UnixRights(fds...), nil)
	for _, fd := range fds {
		syscall.Close(fd)
	}
	if err != nil {
		log.Warn().Err(err).Msg("handover")
		return
	}
	log.Info().Strs("sockets", names).Msg("handed to a successor")
	var b [1]byte
	if n, _ := conn.Read(b[:]); n == 0 {
		return
	}
	defer o.successorEnded() // last of all
	state := o.state()
	o.successors.Add(1)
	defer o.successors.Add(-1)
	log.Info().Int("bytes", len(state)).Msg("a successor serves")
	answer := b[:] // an earlier build wants no more
	if b[0] >= formatVersion {
		answer = append(binary.BigEndian.AppendUint64([]byte{stateMarker}, uint64(len(state))), state...)
	}
	conn.SetWriteDeadline(time.Now().Add(stateTimeout))
	conn.Write(answer)
	conn.Read(b[:])
}

// duplicate keeps a descriptor open while it is sent, whatever closes the listener meanwhile. It touches none of the
// flags, which the two would share.
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

// AnnounceServing tells the process that gave the sockets that this one is about to serve, and waits, for a while, until that has
// heard it: a notice to leave must not find it unaware. What it tells in turn is the text; false: it told nothing, since it
// went, or hangs, or is of an earlier build, and may still begin what it will not tell.
func AnnounceServing(predecessor net.Conn) (state []byte, complete bool) {
	predecessor.SetDeadline(time.Now().Add(handshakeTimeout))
	defer predecessor.SetDeadline(time.Time{})
	if _, err := predecessor.Write([]byte{formatVersion}); err != nil {
		return nil, false
	}
	var header [9]byte
	if _, err := io.ReadFull(predecessor, header[:1]); err != nil || header[0] != stateMarker {
		return nil, false
	}
	predecessor.SetDeadline(time.Now().Add(stateTimeout))
	if _, err := io.ReadFull(predecessor, header[1:]); err != nil {
		return nil, false
	}
	size := binary.BigEndian.Uint64(header[1:])
	if size > maxStateBytes {
		return nil, false
	}
	state = make([]byte, size)
	_, err := io.ReadFull(predecessor, state)
	return state, err == nil
}

// WaitForExit waits until the process before this one has ended.
func WaitForExit(predecessor net.Conn) {
	io.Copy(io.Discard, predecessor)
}

// HasSuccessor tells whether a successor that serves on the sockets is alive. To one that has them and does not serve yet, the
// queue is not left: it may never come to it.
func (o *Offer) HasSuccessor() bool { return o != nil && o.successors.Load() > 0 }

// Close ends the offer.
func (o *Offer) Close() {
	if o != nil {
		o.ln.Close()
	}
}

// Take asks the process that offers sockets at a path for them, by their addresses. There may be none; then there
// are no sockets and no error. The tie must stay open for as long as this process means to succeed the other.
func Take(path string) (sockets map[string]*net.TCPListener, predecessor net.Conn, err error) {
	conn, err := net.DialTimeout("unix", path, handshakeTimeout)
	if err != nil {
		return nil, nil, nil // nobody, or somebody who ended and left his socket behind
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
		return nil, nil, fmt.Errorf("handover: %d control messages, %w", len(messages), err)
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
		ln, e := net.FileListener(f) // on a descriptor of its own
		f.Close()
		tcp, ok := ln.(*net.TCPListener)
		if e != nil || !ok || i >= len(names) {
			err = fmt.Errorf("handover: socket %d is none to listen on: %w", i, e)
			continue
		}
		sockets[names[i]] = tcp
	}
	return sockets, conn, err
}
