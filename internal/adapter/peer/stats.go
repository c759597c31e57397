package peer

import (
	"net"
	"sync/atomic"
)

// Stats holds a transport's counters since its start. Bytes are counted on the TCP
// connections and include handshakes.
type Stats struct {
	BytesIn, BytesOut   uint64
	FramesIn, FramesOut uint64
	// Dials counts the attempts to connect, also those that failed.
	Dials uint64
}

// stats holds the counters behind Stats.
type stats struct {
	bytesIn, bytesOut   atomic.Uint64
	framesIn, framesOut atomic.Uint64
	dials               atomic.Uint64
}

func (s *stats) snapshot() Stats {
	return Stats{
		BytesIn: s.bytesIn.Load(), BytesOut: s.bytesOut.Load(),
		FramesIn: s.framesIn.Load(), FramesOut: s.framesOut.Load(),
		Dials: s.dials.Load(),
	}
}

// countingConn counts the bytes read from and written to a connection.
type countingConn struct {
	net.Conn
	stats *stats
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.stats.bytesIn.Add(uint64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.stats.bytesOut.Add(uint64(n))
	return n, err
}

// countingListener counts the bytes of the connections that it accepts.
type countingListener struct {
	net.Listener
	stats *stats
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{c, l.stats}, nil
}

// discardLogger discards fasthttp's log messages because the transport logs its own.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}
