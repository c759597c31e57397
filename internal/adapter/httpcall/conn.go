package httpcall

import (
	"bufio"
	"context"
	"net"
	"time"
)

// conn is a connection with its read buffer. One call uses it at a time.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// sent is the number of bytes written for the current call.
	bytesSent int
	// writeDeadline is when the current call may be begun at the latest; zero for no
	// limit.
	writeDeadline time.Time
	idleSince     time.Time
	// keep is how long the server keeps the idle connection, less a margin; zero
	// if it does not say.
	serverIdleTimeout time.Duration
}

// Write counts the bytes handed to the operating system. It looks at the
// clock first, because a process that was paused runs on here before the
// timer of its context fires.
func (c *conn) Write(p []byte) (int, error) {
	if !c.writeDeadline.IsZero() && !time.Now().Before(c.writeDeadline) {
		return 0, context.DeadlineExceeded
	}
	n, err := c.Conn.Write(p)
	c.bytesSent += n
	return n, err
}

// get returns an idle connection to addr, or dials one. With fresh set it
// always dials.
func (p *Pool) acquire(ctx context.Context, addr string, fresh bool) (*conn, error) {
	if !fresh {
		if c := p.takeIdle(addr); c != nil {
			return c, nil
		}
	}
	nc, err := p.dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: nc, reader: bufio.NewReaderSize(nc, readBufferBytes)}, nil
}

func (p *Pool) takeIdle(addr string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[addr]
	for len(list) > 0 {
		c := list[len(list)-1]
		list = list[:len(list)-1]
		p.idle[addr] = list
		if time.Since(c.idleSince) < p.idleTimeoutOf(c) && alive(c.Conn) {
			return c
		}
		c.Close()
	}
	delete(p.idle, addr)
	return nil
}

// idleTimeoutOf is how long a connection may lie idle and still be used.
func (p *Pool) idleTimeoutOf(c *conn) time.Duration {
	if c.serverIdleTimeout > 0 {
		return min(p.idleTimeout, c.serverIdleTimeout)
	}
	return p.idleTimeout
}

// put gives a connection back for reuse.
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
