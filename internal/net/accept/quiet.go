package accept

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// IsIdle reports whether a connection is open and has no input to read. Fronts call it right before they close an idle
// connection, since closing would cut off a request that has just arrived.
func IsIdle(conn net.Conn) bool {
	idle := false
	control(conn, func(fd int) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(fd, b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		idle = err == syscall.EAGAIN
	})
	return idle
}

// HasEnded reports whether the other side has ended a connection, or its sending side, and all that it sent was read.
func HasEnded(conn net.Conn) bool {
	ended := false
	control(conn, func(fd int) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(fd, b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		ended = n == 0 && err == nil || err != nil && err != syscall.EAGAIN && err != syscall.EINTR
	})
	return ended
}

// WasReset reports whether a connection was reset, also if there is input to read: the system hands that out before it reports the
// reset. A connection whose other side has only ended its sending side was not reset.
func WasReset(conn net.Conn) bool {
	reset := false
	control(conn, func(fd int) {
		poll := []unix.PollFd{{Fd: int32(fd)}}
		n, err := unix.Poll(poll, 0)
		reset = err == nil && n > 0 && poll[0].Revents&(unix.POLLERR|unix.POLLHUP) != 0
	})
	return reset
}

// control calls a function with the descriptor of a connection, unless it is closed.
func control(conn net.Conn, call func(fd int)) {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return
	}
	if raw, err := sc.SyscallConn(); err == nil {
		raw.Control(func(fd uintptr) { call(int(fd)) })
	}
}
