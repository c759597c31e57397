package httpapi

import (
	"context"
	"net"
	"syscall"
	"time"
)

// watchDisconnect returns a context that ends when the client closes its
// connection, and a function that ends the watch. fasthttp does not tell a
// handler of a closed connection, so the watch peeks at the socket without
// taking bytes from it. Once a pipelined request waits on the socket, a later
// close is not seen until that request is read. Call stop before the server
// reads from the connection again.
func watchDisconnect(conn net.Conn) (ctx context.Context, stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	source, ok := conn.(syscall.Conn)
	if !ok {
		return ctx, cancel
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return ctx, cancel
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		if peekUntilClosed(raw) {
			cancel()
		}
	}()
	return ctx, func() {
		// A deadline in the past wakes the goroutine that waits for the socket.
		_ = conn.SetReadDeadline(time.Unix(1, 0))
		<-ended
		_ = conn.SetReadDeadline(time.Time{})
		cancel()
	}
}

// peekUntilClosed waits until the socket is readable and reports whether that
// is because the client closed it. It returns false when the wait is ended
// by a read deadline.
func peekUntilClosed(raw syscall.RawConn) bool {
	closed := false
	var b [1]byte
	err := raw.Read(func(fd uintptr) bool {
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		if err == syscall.EAGAIN || err == syscall.EINTR {
			return false
		}
		closed = n == 0 || err != nil
		return true
	})
	return err == nil && closed
}
