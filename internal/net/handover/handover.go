// Package handover passes listening sockets from a running process to the one that replaces it, over a Unix
// socket in a folder that only these two share. Both then hold the same sockets with the same queues: what one
// has not accepted the other does, so no connection is lost when the older closes its own.
//
// The newer one sends a byte when it is about to serve. Up to format 1 the older answers the same byte. From 2 on it
// answers toldAll, a length in eight bytes and what the newer needs to know, as text.
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
	takeFor  = time.Second // a process that does not answer in this time is none
	mostText = 4 << 10     // bytes of the addresses
	mostFD   = 8

	tellFor  = 5 * time.Second // what is told may be megabytes
	mostTold = 1 << 30         // bytes of it
	format   = 2
	toldAll  = 3
)

// Offer hands the sockets to whoever asks.
type Offer struct {
	ln         *net.UnixListener
	successors atomic.Int32
	know       func() []byte
	gone       func()
}

// New offers listening sockets, by the addresses they were opened for, at a path. What stands there is replaced: it is
// what an earlier process left. Asked for by a successor that is about to serve, know is what that one needs to know; gone
// is called once it has ended.
func New(path string, sockets map[string]*net.TCPListener, know func() []byte, gone func(), log zerolog.Logger) (*Offer, error) {
	if err := os.Remove(path); err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, err
	}
	ln, err := net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
	if err != nil {
		return nil, err
	}
	ln.SetUnlinkOnClose(false) // by then the successor's may stand there
	o := &Offer{ln: ln, know: know, gone: gone}
	go func() {
		for {
			conn, err := ln.AcceptUnix()
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if err != nil {
				log.Warn().Err(err).Msg("handover")
				time.Sleep(takeFor)
				continue
			}
			go o.give(conn, sockets, log)
		}
	}()
	return o, nil
}

// give passes the sockets on, and then holds the connection: its end is the end of the successor.
func (o *Offer) give(conn *net.UnixConn, sockets map[string]*net.TCPListener, log zerolog.Logger) {
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
	defer o.gone() // last of all
	text := o.know()
	o.successors.Add(1)
	defer o.successors.Add(-1)
	log.Info().Int("bytes", len(text)).Msg("a successor serves")
	answer := b[:] // an earlier build wants no more
	if b[0] >= format {
		answer = append(binary.BigEndian.AppendUint64([]byte{toldAll}, uint64(len(text))), text...)
	}
	conn.SetWriteDeadline(time.Now().Add(tellFor))
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
	if e := raw.Control(func(of uintptr) { fd, err = syscall.Dup(int(of)) }); e != nil {
		return 0, e
	}
	return fd, err
}

// Serving tells the process that gave the sockets that this one is about to serve, and waits, for a while, until that has
// heard it: a notice to leave must not find it unaware. What it tells in turn is the text; false: it told nothing, since it
// went, or hangs, or is of an earlier build, and may still begin what it will not tell.
func Serving(tie net.Conn) (text []byte, told bool) {
	tie.SetDeadline(time.Now().Add(takeFor))
	defer tie.SetDeadline(time.Time{})
	if _, err := tie.Write([]byte{format}); err != nil {
		return nil, false
	}
	var head [9]byte
	if _, err := io.ReadFull(tie, head[:1]); err != nil || head[0] != toldAll {
		return nil, false
	}
	tie.SetDeadline(time.Now().Add(tellFor))
	if _, err := io.ReadFull(tie, head[1:]); err != nil {
		return nil, false
	}
	size := binary.BigEndian.Uint64(head[1:])
	if size > mostTold {
		return nil, false
	}
	text = make([]byte, size)
	_, err := io.ReadFull(tie, text)
	return text, err == nil
}

// Gone waits until the process before this one has ended.
func Gone(tie net.Conn) {
	io.Copy(io.Discard, tie)
}

// Taken tells whether a successor that serves on the sockets is alive. To one that has them and does not serve yet, the
// queue is not left: it may never come to it.
func (o *Offer) Taken() bool { return o != nil && o.successors.Load() > 0 }

// Close ends the offer.
func (o *Offer) Close() {
	if o != nil {
		o.ln.Close()
	}
}

// Take asks the process that offers sockets at a path for them, by their addresses. There may be none; then there
// are no sockets and no error. The tie must stay open for as long as this process means to succeed the other.
func Take(path string) (sockets map[string]*net.TCPListener, tie net.Conn, err error) {
	conn, err := net.DialTimeout("unix", path, takeFor)
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
	conn.SetReadDeadline(time.Now().Add(takeFor))
	text, control := make([]byte, mostText), make([]byte, syscall.CmsgSpace(4*mostFD))
	n, nc, _, _, err := conn.(*net.UnixConn).ReadMsgUnix(text, control)
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
	names := strings.Split(string(text[:n]), "\n")
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
