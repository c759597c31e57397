// Package httpcall sends single HTTP requests whose end the caller controls.
//
// It uses fasthttp's request and response codecs on connections of its own,
// not fasthttp's client. That client takes a timeout and no context, so a call
// cannot be ended when its caller goes away. It sends some failed calls again
// by itself, PUT among them, and does not tell whether anything was sent. Here
// the end of the context closes the connection, which tells the server to
// stop, and the number of bytes sent tells whether the server can have begun.
package httpcall

import (
	"bufio"
	"context"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"
)

const (
	// DefaultMaxIdlePerAddress bounds the idle connections kept for each address.
	DefaultMaxIdlePerAddress = 16
	// DefaultIdleTimeout is how long an idle connection is kept.
	DefaultIdleTimeout = 10 * time.Second
	// DefaultDialTimeout bounds connecting.
	DefaultDialTimeout = time.Second

	readBufferBytes = 8 << 10
)

// ErrTooLarge means that an answer went past its size limit.
var ErrTooLarge = errors.New("answer too large")

// ErrUnexpectedResponse means that the connection carried only answers of other calls.
var ErrUnexpectedResponse = errors.New("answers of other calls on the connection")

// Config bounds a Pool. Zero values take the defaults.
type Config struct {
	MaxIdlePerAddress int
	IdleTimeout       time.Duration
	DialTimeout       time.Duration
}

// Pool sends requests and keeps idle connections by address. It is safe for
// concurrent use.
type Pool struct {
	dialer            net.Dialer
	maxIdlePerAddress int
	idleTimeout       time.Duration

	mu     sync.Mutex
	idle   map[string][]*conn
	closed bool
}

// New returns a Pool. Close releases its idle connections.
func New(cfg Config) *Pool {
	p := &Pool{maxIdlePerAddress: cfg.MaxIdlePerAddress, idleTimeout: cfg.IdleTimeout, idle: make(map[string][]*conn)}
	if p.maxIdlePerAddress <= 0 {
		p.maxIdlePerAddress = DefaultMaxIdlePerAddress
	}
	if p.idleTimeout <= 0 {
		p.idleTimeout = DefaultIdleTimeout
	}
	p.dialer.Timeout = cfg.DialTimeout
	if p.dialer.Timeout <= 0 {
		p.dialer.Timeout = DefaultDialTimeout
	}
	return p
}

// Close closes the idle connections. Calls under way go on.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for addr, list := range p.idle {
		for _, c := range list {
			c.Close()
		}
		delete(p.idle, addr)
	}
}

// Do sends req once to addr and hands the response, its body unread, to read.
// The end of ctx closes the connection. With fresh set it never uses an idle
// connection. Do returns the number of bytes sent: at 0 the server has got
// nothing of the request.
func (p *Pool) Do(ctx context.Context, addr string, req *fasthttp.Request, fresh bool, read func(*fasthttp.Response) error) (int, error) {
	return p.Exchange(ctx, addr, fresh, Call{
		Write: func(w *bufio.Writer) error { return req.Write(w) },
		Read:  read,
	})
}

// Call is one request with its response.
type Call struct {
	// Write writes the request.
	Write func(w *bufio.Writer) error
	// Matches reports whether a response is this call's; others are read to
	// their end and dropped. nil takes the first one.
	Matches func(*fasthttp.Response) bool
	// NoBody says that the response has no body whatever its header says.
	NoBody bool
	// Read takes the response with its body unread.
	Read func(*fasthttp.Response) error
}

// Exchange is Do for a request that the caller writes itself.
func (p *Pool) Exchange(ctx context.Context, addr string, fresh bool, call Call) (int, error) {
	if err := ctx.Err(); err != nil {
		return 0, err
	}
	c, err := p.acquire(ctx, addr, fresh)
	if err != nil {
		return 0, err
	}
	c.bytesSent = 0
	c.writeDeadline, _ = ctx.Deadline()
	stop := context.AfterFunc(ctx, func() { c.Close() })
	reusable, err := roundTrip(c, call)
	sent := c.bytesSent
	if !stop() || !reusable {
		c.Close()
	} else {
		p.release(addr, c)
	}
	return sent, err
}

// maxDiscardedResponses bounds the responses of earlier calls that one call drops.
const maxDiscardedResponses = 4

// roundTrip returns whether the connection can be used again.
func roundTrip(c *conn, call Call) (bool, error) {
	w := bufio.NewWriter(c)
	if err := call.Write(w); err != nil {
		return false, err
	}
	if err := w.Flush(); err != nil {
		return false, err
	}
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	for range maxDiscardedResponses {
		resp.Reset()
		if err := readHeader(c.reader, resp); err != nil {
			return false, err
		}
		attachBody(c.reader, resp, call.NoBody)
		if call.Matches == nil || call.Matches(resp) {
			return readResponse(c, resp, call)
		}
		if !discardResponse(resp) {
			return false, ErrUnexpectedResponse
		}
	}
	return false, ErrUnexpectedResponse
}

// discard reads a response to its end. It reports false if it breaks off.
func discardResponse(resp *fasthttp.Response) bool {
	if resp.BodyStream() == nil {
		return !resp.ConnectionClose()
	}
	_, err := io.Copy(io.Discard, resp.BodyStream())
	return err == nil && !resp.ConnectionClose()
}

// take hands the response over and reports whether the connection can be used again.
func readResponse(c *conn, resp *fasthttp.Response, call Call) (bool, error) {
	if err := call.Read(resp); err != nil {
		return false, err
	}
	if resp.ConnectionClose() || !isFullyRead(resp.BodyStream()) {
		return false, nil
	}
	c.serverIdleTimeout = parseKeepAliveTimeout(string(resp.Header.Peek("Keep-Alive")))
	return c.reader.Buffered() == 0, nil
}

// keepAliveMargin is left of the time that a server keeps an idle connection, for a
// request on its way.
const keepAliveMargin = 500 * time.Millisecond

// parseKeepAliveTimeout reads "timeout=N" in seconds; zero if there is none.
func parseKeepAliveTimeout(field string) time.Duration {
	for _, part := range strings.Split(field, ",") {
		if value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout="); ok {
			if n, err := strconv.Atoi(value); err == nil && n > 0 {
				return time.Duration(n)*time.Second - keepAliveMargin
			}
		}
	}
	return 0
}

// drained reports whether the body has been read to its end.
func isFullyRead(body io.Reader) bool {
	if body == nil {
		return true
	}
	var rest [1]byte
	n, err := io.ReadFull(body, rest[:])
	return n == 0 && err == io.EOF
}

// ReadBody reads the whole body, or returns ErrTooLarge past limit bytes.
func ReadBody(resp *fasthttp.Response, limit int64) ([]byte, error) {
	body := resp.BodyStream()
	if body == nil {
		return nil, nil
	}
	raw, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err != nil {
		return nil, errors.Wrap(err, "read answer")
	}
	if int64(len(raw)) > limit {
		return nil, ErrTooLarge
	}
	return raw, nil
}
