package httpapi

import (
	"context"
	"net"
	"syscall"
	"time"
)

// watchDisconnect returns a context that is cancelled when the client closes its
// connection, and a function that stops watching and cancels the context. fasthttp
// does not notify a handler of a closed connection, so a goroutine peeks at the
// socket without consuming bytes. The goroutine ends when data arrives, such as a
// pipelined request, and a later close is not detected. Connections that are not
// sockets are not watched. Call stop once, before the server reads from the
// connection again.
func watchDisconnect(conn net.Conn) (ctx context.Context, stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return ctx, cancel
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return ctx, cancel
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		if peekUntilClosed(raw) {
			cancel()
		}
	}()
	return ctx, func() {
		// A deadline in the past unblocks the goroutine that waits for the socket.
		_ = conn.SetReadDeadline(time.Unix(1, 0))
		<-done
		_ = conn.SetReadDeadline(time.Time{})
		cancel()
	}
}

// peekUntilClosed waits until the socket is readable and reports whether the client
// closed it or it failed. It returns false if data arrived or the read deadline
// ended the wait.
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
