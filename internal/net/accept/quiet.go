package accept

import (
	"net"
	"syscall"
)

// IsIdle reports whether a connection is open and has no input to read. Fronts call it right before they close an idle
// connection, since closing would cut off a request that has just arrived.
func IsIdle(conn net.Conn) bool {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		idle = err == syscall.EAGAIN
	})
	return err == nil && idle
}
