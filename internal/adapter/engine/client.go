// Package engine calls endpoints over HTTP: engines through a completion
// protocol that streams server-sent events, pools and plain services with JSON
// requests and responses.
//
// A call with an idempotency key and an order always open a new connection. If the
// endpoint closes an idle connection just as it is reused, the client cannot tell
// whether the request ran.
package engine

import (
	"bufio"
	"context"
	"encoding/json"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"github.com/pimentorill/pimentorill/internal/adapter/httpcall"
	"github.com/pimentorill/pimentorill/internal/core/release"
	"github.com/pimentorill/pimentorill/internal/core/verdict"
	"github.com/pimentorill/pimentorill/internal/port"
)

const (
	// DefaultMaxResponseBytes is the default size limit of one response body.
	DefaultMaxResponseBytes = 8 << 20
	// heldBodies is the number of response bodies of the maximum size that are in memory at once.
	heldBodies = 2

	// maxLineBytes limits one line of a completion stream. It is the size of the read
	// buffer.
	maxLineBytes = 64 << 10
	// maxHeaderValueBytes limits a header value that is sent, a stage path and a load
	// report that is received.
	maxHeaderValueBytes = 512
	// maxRetryAfter limits the delay that an endpoint can ask for.
	maxRetryAfter = time.Minute
)

var (
	_ port.AttemptClient    = (*Client)(nil)
	_ port.UsageReader      = (*Client)(nil)
	_ port.CacheEventReader = (*Client)(nil)
	_ port.LoadReader       = (*Client)(nil)
)

// Config configures a Client. Zero values select the defaults.
type Config struct {
	// MaxResponseBytes limits the size of one response body, also of a stream.
	MaxResponseBytes int64
	// Connections configures the client's connection pool.
	Connections httpcall.Config
	// Clock is compared with the deadlines of attempts. The default is the system
	// clock.
	Clock port.Clock
}

// Client implements port.AttemptClient, port.UsageReader, port.CacheEventReader,
// port.LoadReader and port.OrderClient over HTTP. It is safe for concurrent use.
type Client struct {
	maxResponseBytes int64
	clock            port.Clock
	pool             *httpcall.Pool
	bodies           *httpcall.Budget
}

// New returns a Client. The caller must Close it to release its idle connections.
func New(cfg Config) *Client {
	if cfg.MaxResponseBytes <= 0 {
		cfg.MaxResponseBytes = DefaultMaxResponseBytes
	}
	if cfg.Clock == nil {
		cfg.Clock = port.SystemClock{}
	}
	return &Client{maxResponseBytes: cfg.MaxResponseBytes, clock: cfg.Clock, pool: httpcall.New(cfg.Connections), bodies: httpcall.NewBudget(heldBodies * cfg.MaxResponseBytes)}
}

// Close closes the idle connections. Calls in progress continue.
func (c *Client) Close() { c.pool.Close() }

// Call implements port.AttemptClient.
func (c *Client) Call(ctx context.Context, a port.Attempt) (port.AttemptResult, error) {
	if !a.Deadline.IsZero() {
		remaining := a.Deadline.Sub(c.clock.Now())
		if remaining <= 0 {
			return port.AttemptResult{}, verdict.New(verdict.CodeDeadlineExceeded, verdict.NotRun, "no time left to call the endpoint")
		}
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, remaining)
		defer cancel()
	}
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	addr, err := endpointAddress(a.Endpoint)
	if err != nil {
		return port.AttemptResult{}, verdict.Wrap(err, verdict.CodeInternal, verdict.NotRun, "bad endpoint")
	}
	if err := fillRequest(req, a, addr, a.Deadline.Sub(c.clock.Now())); err != nil {
		return port.AttemptResult{}, verdict.Wrap(err, verdict.CodeBadInput, verdict.NotRun, "request cannot be sent to the endpoint")
	}
	result := port.AttemptResult{}
	err = c.doRequest(ctx, addr, req, a.IdempotencyKey != "", httpcall.Call{Read: func(resp *fasthttp.Response) error {
		return c.readAttemptResponse(ctx, resp, a, &result)
	}})
	return result, err
}

// doRequest sends req and passes the response, its body unread, to call.Read. It
// returns every failure as a *verdict.Error. forceNew opens a new connection
// instead of reusing an idle one. It sets Write and Arrival of the call.
func (c *Client) doRequest(ctx context.Context, addr string, req *fasthttp.Request, forceNew bool, call httpcall.Call) error {
	var arrival port.Arrival
	read := call.Read
	call.Write, call.Arrival = func(w *bufio.Writer) error { return req.Write(w) }, &arrival
	call.Read = func(resp *fasthttp.Response) error { return describeArrival(read(resp), arrival) }
	sent, err := c.pool.Exchange(ctx, addr, forceNew, call)
	if err != nil {
		return toVerdictError(ctx, err, sent)
	}
	return nil
}

// describeArrival adds to the error of a response how the response arrived.
func describeArrival(err error, arrival port.Arrival) error {
	var verdictErr *verdict.Error
	switch {
	case err == nil:
		return nil
	case errors.As(err, &verdictErr):
		described := *verdictErr
		if described.Cause = errors.New(arrival.String()); verdictErr.Cause != nil {
			described.Cause = errors.Wrap(verdictErr.Cause, arrival.String())
		}
		return &described
	default:
		return errors.Wrap(err, arrival.String())
	}
}

// toVerdictError converts err to a *verdict.Error. The verdict is NotRun if no
// byte was sent and MayHaveRun otherwise; an error that already is a
// *verdict.Error keeps its verdict.
func toVerdictError(ctx context.Context, err error, sent int) error {
	var verdictErr *verdict.Error
	if errors.As(err, &verdictErr) {
		return verdictErr
	}
	v := verdict.MayHaveRun
	if sent == 0 {
		v = verdict.NotRun
	}
	switch ctx.Err() {
	case context.DeadlineExceeded:
		return verdict.Wrap(err, verdict.CodeDeadlineExceeded, v, "endpoint did not answer in time")
	case context.Canceled:
		return verdict.Wrap(err, verdict.CodeCallerCancelled, v, "call cancelled")
	}
	if sent > 0 && port.IsConnectionLoss(err) {
		err = &port.ConnectionLostError{Err: err}
	}
	return verdict.Wrap(err, verdict.CodeEndpointFailed, v, "endpoint failed")
}

// readAttemptResponse reads resp into result. It returns an error if resp
// belongs to another attempt. After the error of an interrupted stream, result holds
// the part received so far.
func (c *Client) readAttemptResponse(ctx context.Context, resp *fasthttp.Response, a port.Attempt, result *port.AttemptResult) error {
	if got := string(resp.Header.Peek(port.HeaderAttempt)); got != a.ID {
		return errors.Errorf("response is for attempt %q, want %q", got, a.ID)
	}
	result.AttemptID = a.ID
	result.Load = parseLoad(resp.Header.Peek(port.HeaderLoad))
	if resp.StatusCode() != fasthttp.StatusOK {
		return statusError(resp)
	}
	if a.Service.Kind == release.KindEngine {
		body := resp.BodyStream()
		if body == nil {
			return errors.New("response has no body")
		}
		if err := readCompletion(body, c.maxResponseBytes, result, a.OnToken); err != nil {
			return err
		}
		var err error
		result.Output, err = json.Marshal(a.ResumeText + result.Text)
		return err
	}
	return c.readCallResponse(ctx, resp, result)
}

// readCallResponse reads the response of a pool or plain service into result.
func (c *Client) readCallResponse(ctx context.Context, resp *fasthttp.Response, result *port.AttemptResult) error {
	var decoded callResponse
	if err := c.readInto(ctx, resp, &decoded); err != nil {
		return err
	}
	if decoded.Output == nil {
		return errors.New("response has no output")
	}
	result.Output = decoded.Output
	result.Usage = decoded.Usage
	return nil
}

// statusError returns the error for a response with a failure status. Its
// verdict is NotRun only if the endpoint's verdict header says so. Its code is
// CodeNoCapacity for a status 503 or 429 with that verdict, otherwise
// CodeEndpointFailed.
func statusError(resp *fasthttp.Response) error {
	v := verdict.MayHaveRun
	if string(resp.Header.Peek(port.HeaderVerdict)) == verdict.NotRun.String() {
		v = verdict.NotRun
	}
	code := verdict.CodeEndpointFailed
	status := resp.StatusCode()
	if v == verdict.NotRun && (status == fasthttp.StatusServiceUnavailable || status == fasthttp.StatusTooManyRequests) {
		code = verdict.CodeNoCapacity
	}
	e := verdict.New(code, v, "endpoint answered status "+strconv.Itoa(status))
	return e.WithRetryAfter(parseRetryAfter(resp.Header.Peek(port.HeaderRetryAfterMs)))
}

// parseRetryAfter parses a delay in milliseconds and limits it to maxRetryAfter.
// It returns 0 if the header is missing or invalid.
func parseRetryAfter(raw []byte) time.Duration {
	ms, err := strconv.ParseUint(string(raw), 10, 32)
	if err != nil {
		return 0
	}
	return min(time.Duration(ms)*time.Millisecond, maxRetryAfter)
}

// parseLoad parses the load report in a response header. It returns nil for a report
// that is missing, longer than maxHeaderValueBytes or invalid.
func parseLoad(raw []byte) *port.LoadReport {
	if len(raw) == 0 || len(raw) > maxHeaderValueBytes {
		return nil
	}
	var l port.LoadReport
	if err := json.Unmarshal(raw, &l); err != nil {
		return nil
	}
	if l.Running < 0 || l.Waiting < 0 || l.Slots < 0 {
		return nil
	}
	return &l
}
