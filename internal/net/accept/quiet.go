package accept

import (
	"net"
	"syscall"
)

// IsIdle tells that a connection is open with nothing to read. It is looked at right before a connection is
// closed by us: what has come meanwhile is a request that the close would cut off.
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
