// Package httpcall sends single HTTP requests that the caller can cancel.
//
// It uses fasthttp's request and response codecs on its own connections instead
// of fasthttp's client. That client takes a timeout but no context, so a call
// cannot be cancelled when its caller disconnects. It also retries some failed
// calls, including PUT, and does not report whether anything was sent. In this
// package the end of the context closes the connection, which tells the server to
// stop, and the number of bytes sent tells whether the server can have started.
package httpcall

import (
	"bufio"
	"context"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"github.com/pimentorill/pimentorill/internal/port"
)

const (
	// DefaultMaxIdlePerAddress is the default limit of idle connections to one address.
	DefaultMaxIdlePerAddress = 16
	// DefaultIdleTimeout is the default time after which an idle connection is not
	// reused.
	DefaultIdleTimeout = 10 * time.Second
	// DefaultDialTimeout is the default limit of the time to connect.
	DefaultDialTimeout = time.Second

	// readBufferBytes is the size of a connection's read buffer. It also limits the size
	// of a response header.
	readBufferBytes = 8 << 10
	// headerTimeout bounds the time for which a response's header arrives after its first
	// bytes. A silence counts as maxArrivalGap at most.
	headerTimeout = 2 * time.Second
	maxArrivalGap = 100 * time.Millisecond
	// maxDiscardedBytes and discardTimeout bound what is read of a body that nobody needs
	// so that the connection can be used further.
	maxDiscardedBytes = 64 << 10
	discardTimeout    = 250 * time.Millisecond
)

// ErrTooLarge means that a response body exceeded its size limit.
var ErrTooLarge = errors.New("response too large")

// ErrUnexpectedResponse means that the connection carried only responses to other calls.
var ErrUnexpectedResponse = errors.New("connection carried only responses to other calls")

// ErrAmbiguousResponse means that Call.Matches returned MatchUnknown, and that Call.Barrier did not
// settle whether the response is the call's own.
var ErrAmbiguousResponse = errors.New("response names no call and may belong to another one")

// ErrOtherCall is returned by Call.Read for a response that it found to belong to an earlier
// call. The response is discarded, and Read is called with the next one.
var ErrOtherCall = errors.New("response to another call")

// Config configures a Pool. Zero values select the defaults.
type Config struct {
	// MaxIdlePerAddress limits the idle connections to one address. Connections in use
	// are not limited.
	MaxIdlePerAddress int
	// IdleTimeout is the time after which an idle connection is not reused. It is
	// shorter if the server announces a shorter one.
	IdleTimeout time.Duration
	// DialTimeout limits the time to connect.
	DialTimeout time.Duration
	// Dial connects to an address; nil selects TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Pool sends requests and keeps idle connections by address. It is safe for
// concurrent use.
type Pool struct {
	dial              func(ctx context.Context, network, address string) (net.Conn, error)
	dialTimeout       time.Duration
	maxIdlePerAddress int
	idleTimeout       time.Duration

	// mu guards the fields below.
	mu sync.Mutex
	// idle holds the idle connections by address, the most recently used last.
	idle   map[string][]*conn
	closed bool
}

// New returns a Pool. The caller must Close it to release its idle connections.
func New(cfg Config) *Pool {
	p := &Pool{dial: cfg.Dial, dialTimeout: cfg.DialTimeout, maxIdlePerAddress: cfg.MaxIdlePerAddress, idleTimeout: cfg.IdleTimeout, idle: make(map[string][]*conn)}
	if p.maxIdlePerAddress <= 0 {
		p.maxIdlePerAddress = DefaultMaxIdlePerAddress
	}
	if p.idleTimeout <= 0 {
		p.idleTimeout = DefaultIdleTimeout
	}
	if p.dial == nil {
		p.dial = new(net.Dialer).DialContext
	}
	if p.dialTimeout <= 0 {
		p.dialTimeout = DefaultDialTimeout
	}
	return p
}

// Close closes the idle connections. Calls in progress continue, and their
// connections are closed afterwards.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for addr, conns := range p.idle {
		for _, c := range conns {
			c.Close()
		}
		delete(p.idle, addr)
	}
}

// Do sends req once to addr and passes the response, its body unread, to read.
// The end of ctx closes the connection. forceNew opens a new connection instead of
// reusing an idle one. Do returns the number of bytes sent, also with an error; if it
// is 0, the server has received nothing of the request.
func (p *Pool) Do(ctx context.Context, addr string, req *fasthttp.Request, forceNew bool, read func(*fasthttp.Response) error) (int, error) {
	return p.Exchange(ctx, addr, forceNew, Call{
		Write: func(w *bufio.Writer) error { return req.Write(w) },
		Read:  read,
	})
}

// Call is one request and the handling of its response. Its functions are called on
// the goroutine that called Exchange.
type Call struct {
	// Write writes the request to w, which is flushed afterwards.
	Write func(w *bufio.Writer) error
	// Matches tells from the header whether a response belongs to this call. first means that it
	// is the first one on its connection, which can belong to no earlier call; the server may have
	// sent it before it got the request. Nil stands for a function that always returns MatchOwn.
	Matches func(resp *fasthttp.Response, first bool) Match
	// Barrier, unless nil, settles responses for which Matches returns MatchUnknown.
	Barrier *Barrier
	// Named reports, after Read, whether the response names its call. If it doesn't, the
	// connection is closed, as the call's own response may still be due. Nil stands for a
	// function that always returns true.
	Named func(*fasthttp.Response) bool
	// NoBody means that the response has no body, regardless of its header.
	NoBody bool
	// Read receives the response with its body unread; the response is valid until Read
	// returns. If Read returns an error, Exchange returns it and closes the connection,
	// except for ErrOtherCall.
	Read func(*fasthttp.Response) error
	// Arrival, unless nil, is set before Matches and Read are called.
	Arrival *port.Arrival
	// Discarded, unless nil, is called with the header of each response for which Matches returns
	// MatchOther or MatchUnknown, or Read ErrOtherCall. Arrival is that of the response. One for
	// which Matches returned MatchUnknown may still be passed to Read.
	Discarded func(*fasthttp.Response, Match)
}

// Match says whether a response belongs to a call.
type Match uint8

const (
	// MatchOwn means that the response is the call's own.
	MatchOwn Match = iota
	// MatchOther means that the response belongs to another call. It is discarded: the call's own
	// is still due.
	MatchOther
	// MatchUnknown means that the response may belong to the call or not. Without a Barrier it ends
	// the call with ErrAmbiguousResponse.
	MatchUnknown
	// MatchBarrier means that the response names the call's barrier request.
	MatchBarrier
)

// MatchUnnamed returns a Call.Matches for a call whose response has no header field of this
// name: one that has it belongs to a call that the field names.
func MatchUnnamed(field string) func(*fasthttp.Response, bool) Match {
	return func(resp *fasthttp.Response, _ bool) Match {
		if len(resp.Header.Peek(field)) > 0 {
			return MatchOther
		}
		return MatchOwn
	}
}

// Exchange is like Do for a request that call.Write writes. It returns
// ErrUnexpectedResponse if no response matched, and ErrAmbiguousResponse.
func (p *Pool) Exchange(ctx context.Context, addr string, forceNew bool, call Call) (int, error) {
	if err := ctx.Err(); err != nil {
		return 0, err
	}
	c, err := p.acquire(ctx, addr, forceNew)
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

// maxResponsesPerCall limits the responses that one call reads: those to earlier calls,
// which it discards, and its own.
const maxResponsesPerCall = 4

// roundTrip writes the request and reads the response. It reports whether the
// connection can be reused, which is false after any error.
func roundTrip(c *conn, call Call) (bool, error) {
	writeErr := writeRequest(c, call.Write)
	// A server that stops reading a long body may have responded first.
	if writeErr != nil && (c.bytesSent == 0 || !isReset(writeErr)) {
		return false, writeErr
	}
	c.sentAt = time.Now()
	reusable, err := readResponses(c, call)
	return reusable && !c.reset, err
}

func writeRequest(c *conn, write func(w *bufio.Writer) error) error {
	w := bufio.NewWriter(c)
	if err := write(w); err != nil {
		return err
	}
	return w.Flush()
}

// isReset reports whether a write failed because the server closed the connection.
func isReset(err error) bool {
	return errors.Is(err, syscall.EPIPE) || errors.Is(err, syscall.ECONNRESET)
}

// readResponses reads responses up to the call's own, as described at roundTrip.
func readResponses(c *conn, call Call) (bool, error) {
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	b := barrierState{conn: c, call: &call}
	before := c.responses
	for discarded := 0; discarded < maxResponsesPerCall+b.asked; discarded++ {
		match, err := readNext(c, call, resp, before, discarded)
		if err != nil {
			switch {
			case b.held == nil:
				return false, err
			case !errors.Is(err, ErrMalformedHeader) && b.isOwnAfterEnd():
				return false, b.deliver()
			default:
				return false, errors.Join(ErrAmbiguousResponse, err)
			}
		}
		if match == MatchOwn {
			reusable, err := readResponse(c, resp, call)
			if !errors.Is(err, ErrOtherCall) {
				return reusable && b.awaitAnswer(resp) && c.reader.Buffered() == 0, err
			}
			match = MatchOther
		}
		if call.Discarded != nil && match != MatchBarrier {
			call.Discarded(resp, match)
		}
		if match == MatchUnknown && !b.hold(resp) {
			return false, ErrAmbiguousResponse
		}
		usable := discardUnread(c, resp)
		if b.settles(resp, match) {
			return usable && b.leavesReusable() && c.reader.Buffered() == 0, b.deliver()
		}
		if !usable && !(b.last && b.isNewest()) {
			return false, ErrUnexpectedResponse
		}
		b.ask()
	}
	return false, ErrUnexpectedResponse
}

// readNext reads the header of the next response and matches it.
func readNext(c *conn, call Call, resp *fasthttp.Response, before, discarded int) (Match, error) {
	resp.Reset()
	if err := c.readHeader(resp); err != nil {
		return 0, err
	}
	c.responses++
	if call.Arrival != nil {
		*call.Arrival = port.Arrival{Before: before, Discarded: discarded, ConnectionAge: time.Since(c.openedAt), SinceSent: time.Since(c.sentAt)}
	}
	c.attachBody(resp, call.NoBody)
	if call.Matches == nil {
		return MatchOwn, nil
	}
	return call.Matches(resp, c.responses == 1), nil
}

// discardUnread is discardRest within discardTimeout. The call's own response follows, so that a
// silence is no reason to give up.
func discardUnread(c *conn, resp *fasthttp.Response) bool {
	c.limitArrival(discardTimeout)
	defer c.limitArrival(0)
	return discardRest(resp)
}

// discardRest reads the rest of a response's body, up to maxDiscardedBytes. It reports
// whether the connection can still be used.
func discardRest(resp *fasthttp.Response) bool {
	body := resp.BodyStream()
	if resp.ConnectionClose() {
		return false
	}
	if body == nil {
		return true
	}
	n, err := io.Copy(io.Discard, io.LimitReader(body, maxDiscardedBytes+1))
	return err == nil && n <= maxDiscardedBytes
}

// readResponse passes the response to call.Read and reports whether the connection
// can be reused if nothing else has arrived.
func readResponse(c *conn, resp *fasthttp.Response, call Call) (bool, error) {
	if err := call.Read(resp); err != nil {
		return false, err
	}
	_ = c.SetReadDeadline(time.Now().Add(discardTimeout))
	if !discardRest(resp) || c.SetReadDeadline(time.Time{}) != nil {
		return false, nil
	}
	c.serverIdleTimeout = parseKeepAliveTimeout(string(resp.Header.Peek("Keep-Alive")))
	mayBeDue := call.Named != nil && !call.Named(resp)
	return !mayBeDue, nil
}

// keepAliveMargin is subtracted from the idle timeout that a server announces, because a
// request takes time to reach the server.
const keepAliveMargin = 500 * time.Millisecond

// parseKeepAliveTimeout returns the timeout=N (in seconds) of a Keep-Alive header,
// less keepAliveMargin. It returns 0 if there is none.
func parseKeepAliveTimeout(header string) time.Duration {
	for _, part := range strings.Split(header, ",") {
		if value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout="); ok {
			if n, err := strconv.Atoi(value); err == nil && n > 0 {
				return time.Duration(n)*time.Second - keepAliveMargin
			}
		}
	}
	return 0
}

// ReadBody reads the complete body; it returns nil if there is none. It returns
// ErrTooLarge if the body exceeds limit bytes.
func ReadBody(resp *fasthttp.Response, limit int64) ([]byte, error) {
	body := resp.BodyStream()
	if body == nil {
		return nil, nil
	}
	raw, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err != nil {
		return nil, errors.Wrap(err, "read response")
	}
	if int64(len(raw)) > limit {
		return nil, ErrTooLarge
	}
	return raw, nil
}
