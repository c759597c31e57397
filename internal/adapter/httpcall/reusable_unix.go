//go:build unix

package httpcall

import (
	"net"
	"syscall"
)

// isReusable reports whether an idle connection can still be used. If there is
// anything to read, the server has closed the connection or has sent an unexpected
// response. A connection without a file descriptor is not checked and counts as
// reusable.
func isReusable(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	err = raw.Read(func(fd uintptr) bool {
		var buf [1]byte
		_, _, err := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		idle = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && idle
}
