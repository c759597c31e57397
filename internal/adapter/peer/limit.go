package peer

import (
	"math"
	"net"
	"sync/atomic"

	"github.com/go-faster/errors"
)

// maxHandshakeBytes bounds what is read of a connection until its handshake has ended. The address may
// have been assigned to a server that sends anything.
const maxHandshakeBytes = 16 << 10

var errHandshakeTooLarge = errors.New("peer: too many bytes before the end of the handshake")

// handshakeConn bounds the bytes that are read until endHandshake is called.
type handshakeConn struct {
	net.Conn
	left atomic.Int64
}

func newHandshakeConn(c net.Conn) *handshakeConn {
	limited := &handshakeConn{Conn: c}
	limited.left.Store(maxHandshakeBytes)
	return limited
}

func (c *handshakeConn) endHandshake() { c.left.Store(math.MaxInt64) }

func (c *handshakeConn) Read(p []byte) (int, error) {
	left := c.left.Load()
	if left <= 0 {
		return 0, errHandshakeTooLarge
	}
	n, err := c.Conn.Read(p[:min(int64(len(p)), left)])
	if left != math.MaxInt64 {
		c.left.CompareAndSwap(left, left-int64(n))
	}
	return n, err
}
