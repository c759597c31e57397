// Package engine calls endpoints over HTTP: engines by the completion
// protocol with server-sent events, pools and plain services by JSON.
//
// A call with an idempotency key always gets a connection of its own, because
// an idle one that the endpoint has just closed would leave the verdict open.
package engine

import (
	"context"
	"encoding/json"
	"io"
	"strconv"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"github.com/pimentorill/pimentorill/internal/adapter/httpcall"
	"github.com/pimentorill/pimentorill/internal/core/release"
	"github.com/pimentorill/pimentorill/internal/core/verdict"
	"github.com/pimentorill/pimentorill/internal/port"
)

const (
	// DefaultMaxAnswerBytes bounds one answer.
	DefaultMaxAnswerBytes = 8 << 20

	eventBufferBytes    = 64 << 10
	maxHeaderValueBytes = 512
	maxRetryAfter       = time.Minute
)

var (
	_ port.AttemptClient    = (*Client)(nil)
	_ port.UsageReader      = (*Client)(nil)
	_ port.CacheEventReader = (*Client)(nil)
	_ port.LoadReader       = (*Client)(nil)
)

// Config is how a Client calls. Zero values take the defaults.
type Config struct {
	MaxAnswerBytes int64
	Connections    httpcall.Config
	Clock          port.Clock
}

// Client is a port.AttemptClient and cost.UsageReader over HTTP. It is safe for
// concurrent use.
type Client struct {
	maxAnswer int64
	clock     port.Clock
	pool      *httpcall.Pool
}

// New returns a Client. Close releases its idle connections.
func New(cfg Config) *Client {
	if cfg.MaxAnswerBytes <= 0 {
		cfg.MaxAnswerBytes = DefaultMaxAnswerBytes
	}
	if cfg.Clock == nil {
		cfg.Clock = port.SystemClock{}
	}
	return &Client{maxAnswer: cfg.MaxAnswerBytes, clock: cfg.Clock, pool: httpcall.New(cfg.Connections)}
}

// Close closes the idle connections. Calls under way go on.
func (c *Client) Close() { c.pool.Close() }

// Call implements port.AttemptClient.
func (c *Client) Call(ctx context.Context, a port.Attempt) (port.AttemptResult, error) {
	if !a.Deadline.IsZero() {
		left := a.Deadline.Sub(c.clock.Now())
		if left <= 0 {
			return port.AttemptResult{}, verdict.New(verdict.CodeDeadlineExceeded, verdict.NotRun, "no time left to call the endpoint")
		}
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, left)
		defer cancel()
	}
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	addr, err := address(a.Endpoint)
	if err != nil {
		return port.AttemptResult{}, verdict.Wrap(err, verdict.CodeInternal, verdict.NotRun, "bad endpoint")
	}
	if err := fill(req, a, addr, a.Deadline.Sub(c.clock.Now())); err != nil {
		return port.AttemptResult{}, verdict.Wrap(err, verdict.CodeBadInput, verdict.NotRun, "request cannot be sent to the endpoint")
	}
	answer := port.AttemptResult{}
	err = c.exchange(ctx, addr, req, a.IdempotencyKey != "", func(resp *fasthttp.Response) error {
		return c.readAnswer(resp, a, &answer)
	})
	return answer, err
}

// exchange sends req and turns a failure into a *verdict.Error.
func (c *Client) exchange(ctx context.Context, addr string, req *fasthttp.Request, fresh bool, read func(*fasthttp.Response) error) error {
	sent, err := c.pool.Do(ctx, addr, req, fresh, read)
	if err != nil {
		return failure(ctx, err, sent)
	}
	return nil
}

// failure turns err into a *verdict.Error. Without a byte sent nothing ran.
func failure(ctx context.Context, err error, sent int) error {
	var known *verdict.Error
	if errors.As(err, &known) {
		return known
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
	if sent > 0 && broken(err) {
		err = &port.ConnectionLostError{Err: err}
	}
	return verdict.Wrap(err, verdict.CodeEndpointFailed, v, "endpoint failed")
}

// broken reports whether err is the end of a connection.
func broken(err error) bool {
	for _, end := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, end) {
			return true
		}
	}
	return false
}

// readAnswer reads resp into answer. An answer for another attempt is dropped.
func (c *Client) readAnswer(resp *fasthttp.Response, a port.Attempt, answer *port.AttemptResult) error {
	if got := string(resp.Header.Peek(port.HeaderAttempt)); got != a.ID {
		return errors.Errorf("answer carries attempt %q, want %q", got, a.ID)
	}
	answer.AttemptID = a.ID
	answer.Load = parseLoad(resp.Header.Peek(port.HeaderLoad))
	if resp.StatusCode() != fasthttp.StatusOK {
		return refusal(resp)
	}
	if a.Service.Kind == release.KindEngine {
		body := resp.BodyStream()
		if body == nil {
			return errors.New("answer without a body")
		}
		if err := readCompletion(body, c.maxAnswer, answer, a.OnToken); err != nil {
			return err
		}
		var err error
		answer.Output, err = json.Marshal(a.ResumeText + answer.Text)
		return err
	}
	return c.readCall(resp, answer)
}

func (c *Client) readCall(resp *fasthttp.Response, answer *port.AttemptResult) error {
	raw, err := httpcall.ReadBody(resp, c.maxAnswer)
	if err != nil {
		return err
	}
	var got callAnswer
	if err := json.Unmarshal(raw, &got); err != nil {
		return errors.Wrap(err, "decode answer")
	}
	if got.Output == nil {
		return errors.New("answer without an output")
	}
	answer.Output = got.Output
	answer.Usage = got.Usage
	return nil
}

// refusal returns NotRun only if the endpoint said so.
func refusal(resp *fasthttp.Response) error {
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

func parseRetryAfter(raw []byte) time.Duration {
	ms, err := strconv.ParseUint(string(raw), 10, 32)
	if err != nil {
		return 0
	}
	return min(time.Duration(ms)*time.Millisecond, maxRetryAfter)
}

// parseLoad returns nil for a report that is missing or makes no sense.
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
