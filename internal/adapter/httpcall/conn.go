package httpcall

import (
	"bufio"
	"context"
	"net"
	"os"
	"sync/atomic"
	"time"
)

// conn is a connection with its read buffer. Only one call at a time uses it.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// bytesSent is the number of bytes written for the current call.
	bytesSent int
	// writeDeadline is the time after which nothing more is written for the current
	// call; zero means no limit.
	writeDeadline time.Time
	// reset is set once a write found the connection reset: what can be read may be cut
	// anywhere, and its end looks like a proper one, as the write has taken the error.
	reset bool
	// arrivalLimit bounds the time for which bytes arrive, of which arrivalTime has been
	// counted so far; 0 means no limit.
	arrivalLimit, arrivalTime time.Duration
	// resetOnClose is set while a barrier request is pending: a server that is at work may not
	// notice the end of a connection behind a further request, but a reset.
	resetOnClose atomic.Bool
	// sentAt is when the current call's request had been written.
	sentAt time.Time
	// openedAt is when the connection was opened, and responses is the number of responses
	// that it has carried since, those that were discarded included.
	openedAt  time.Time
	responses int
	// idleSince is when the connection was returned to the pool.
	idleSince time.Time
	// serverIdleTimeout is how long the server keeps the connection open while
	// idle, less keepAliveMargin; 0 if the server's last response does not say.
	serverIdleTimeout time.Duration
}

// Write counts the bytes passed to the operating system. It checks the deadline
// first: after a pause of the process, execution can continue here before the
// context's timer fires.
func (c *conn) Write(p []byte) (int, error) {
	if !c.writeDeadline.IsZero() && !time.Now().Before(c.writeDeadline) {
		return 0, context.DeadlineExceeded
	}
	n, err := c.Conn.Write(p)
	c.bytesSent += n
	c.reset = c.reset || isReset(err)
	return n, err
}

// Close closes the connection. It may be called more than once, and at any time.
func (c *conn) Close() error {
	if lingering, ok := c.Conn.(interface{ SetLinger(sec int) error }); ok && c.resetOnClose.Load() {
		_ = lingering.SetLinger(0)
	}
	return c.Conn.Close()
}

// limitArrival bounds the time for which bytes arrive from now on; 0 ends that.
func (c *conn) limitArrival(limit time.Duration) { c.arrivalLimit, c.arrivalTime = limit, 0 }

// Read applies arrivalLimit. A silence counts as maxArrivalGap at most: a sound server may
// fall silent and go on. The call's context bounds the silence itself.
func (c *conn) Read(p []byte) (int, error) {
	if c.arrivalLimit == 0 {
		return c.Conn.Read(p)
	}
	if c.arrivalTime > c.arrivalLimit {
		return 0, os.ErrDeadlineExceeded
	}
	start := time.Now()
	n, err := c.Conn.Read(p)
	c.arrivalTime += min(time.Since(start), maxArrivalGap)
	return n, err
}

// acquire returns an idle connection to addr or dials a new one. With forceNew it
// always dials.
func (p *Pool) acquire(ctx context.Context, addr string, forceNew bool) (*conn, error) {
	if !forceNew {
		if c := p.takeIdle(addr); c != nil {
			return c, nil
		}
	}
	dialCtx, cancel := context.WithTimeout(ctx, p.dialTimeout)
	defer cancel()
	nc, err := p.dial(dialCtx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return newConn(nc), nil
}

// Connect opens a connection to addr and closes it. DialTimeout of the Config bounds it.
func (p *Pool) Connect(ctx context.Context, addr string) error {
	ctx, cancel := context.WithTimeout(ctx, p.dialTimeout)
	defer cancel()
	c, err := p.dial(ctx, "tcp", addr)
	if err != nil {
		return err
	}
	return c.Close()
}

func newConn(nc net.Conn) *conn {
	c := &conn{Conn: nc, openedAt: time.Now()}
	c.reader = bufio.NewReaderSize(c, readBufferBytes)
	return c
}

// takeIdle removes the most recently used idle connection to addr that is still usable and
// returns it, or nil if there is none. It closes the unusable ones that it finds.
func (p *Pool) takeIdle(addr string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		conns := p.idle[addr]
		if len(conns) == 0 {
			delete(p.idle, addr)
			return nil
		}
		c := conns[len(conns)-1]
		p.idle[addr] = conns[:len(conns)-1]
		if time.Since(c.idleSince) < p.idleTimeoutOf(c) && isReusable(c.Conn) {
			return c
		}
		c.Close()
	}
}

// idleTimeoutOf returns how long c may be idle and still be reused.
func (p *Pool) idleTimeoutOf(c *conn) time.Duration {
	if c.serverIdleTimeout > 0 {
		return min(p.idleTimeout, c.serverIdleTimeout)
	}
	return p.idleTimeout
}

// release puts a connection back for reuse, or closes it if the pool is closed or
// already holds maxIdlePerAddress idle connections to addr.
func (p *Pool) release(addr string, c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle[addr]) >= p.maxIdlePerAddress {
		c.Close()
		return
	}
	c.idleSince = time.Now()
	p.idle[addr] = append(p.idle[addr], c)
}
