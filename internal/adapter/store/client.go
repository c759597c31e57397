// Package store reaches the platform's key-value service over HTTP/JSON and
// keeps a host's calls to it within a rate ceiling.
//
// The protocol: GET, PUT and DELETE on /v1/kv/{key} with prev, ttl_ms, after
// and wait_ms as query parameters, and GET /v1/kv?prefix= for lists. Status
// 429 and 503 mean that nothing was done.
package store

import (
	"context"
	"encoding/json"
	"net/url"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"github.com/pimentorill/pimentorill/internal/adapter/httpcall"
	"github.com/pimentorill/pimentorill/internal/port"
)

const (
	// DefaultTimeout bounds a call, watches excepted.
	DefaultTimeout = 2 * time.Second

	// watchWait is the length of one long poll.
	watchWait = 30 * time.Second
	// watchMargin is left to the store to answer a long poll.
	watchMargin = 5 * time.Second
	// maxAnswerBytes bounds an answer: a list of many full values.
	maxAnswerBytes = 64 << 20
	maxKeyBytes    = 512
)

// Config is how a Client calls. Zero values take the defaults.
type Config struct {
	// Address is IP:PORT of the store.
	Address     string
	Timeout     time.Duration
	Connections httpcall.Config
}

// Client is a port.Store over HTTP. It is safe for concurrent use.
type Client struct {
	address string
	timeout time.Duration
	pool    *httpcall.Pool
}

// New returns a Client. Close releases its idle connections.
func New(cfg Config) *Client {
	if cfg.Timeout <= 0 {
		cfg.Timeout = DefaultTimeout
	}
	return &Client{address: cfg.Address, timeout: cfg.Timeout, pool: httpcall.New(cfg.Connections)}
}

// Close closes the idle connections.
func (c *Client) Close() { c.pool.Close() }

// callError is a failure of a kind that port.Store names, with its cause.
type callError struct {
	kind  error
	cause error
}

func (e *callError) Error() string { return e.kind.Error() + ": " + e.cause.Error() }

// Unwrap returns the kind and the cause.
func (e *callError) Unwrap() []error { return []error{e.kind, e.cause} }

// answer is what the store gave back.
type answer struct {
	status int
	body   []byte
}

// Get implements port.Store.
func (c *Client) Get(ctx context.Context, key string) (port.Entry, error) {
	path, err := keyPath(key)
	if err != nil {
		return port.Entry{}, err
	}
	got, err := c.do(ctx, fasthttp.MethodGet, path, nil)
	if err != nil {
		return port.Entry{}, err
	}
	return got.entry()
}

// List implements port.Store.
func (c *Client) List(ctx context.Context, prefix string) ([]port.Entry, error) {
	got, err := c.do(ctx, fasthttp.MethodGet, "/v1/kv?prefix="+url.QueryEscape(prefix), nil)
	if err != nil {
		return nil, err
	}
	if err := got.failure(); err != nil {
		return nil, err
	}
	return decodeList(got.body)
}

// Swap implements port.Store.
func (c *Client) CompareAndSwap(ctx context.Context, key string, prev uint64, value []byte, ttl time.Duration) (port.Entry, error) {
	if len(value) > port.MaxValueBytes {
		return port.Entry{}, errors.Errorf("store: value of %d bytes, at most %d are held", len(value), port.MaxValueBytes)
	}
	path, err := keyPath(key)
	if err != nil {
		return port.Entry{}, err
	}
	query := "?prev=" + strconv.FormatUint(prev, 10) + "&ttl_ms=" + strconv.FormatInt(ttl.Milliseconds(), 10)
	got, err := c.do(ctx, fasthttp.MethodPut, path+query, value)
	if err != nil {
		return port.Entry{}, err
	}
	if got.status == fasthttp.StatusConflict {
		current, err := decodeEntry(got.body)
		if err != nil {
			return port.Entry{}, port.ErrConflict
		}
		return current, port.ErrConflict
	}
	entry, err := got.entry()
	if err != nil {
		return port.Entry{}, uncertain(err)
	}
	return entry, nil
}

// Delete implements port.Store.
func (c *Client) Delete(ctx context.Context, key string, prev uint64) error {
	path, err := keyPath(key)
	if err != nil {
		return err
	}
	got, err := c.do(ctx, fasthttp.MethodDelete, path+"?prev="+strconv.FormatUint(prev, 10), nil)
	if err != nil {
		return err
	}
	return got.failure()
}

// Watch implements port.Store by long polls.
func (c *Client) Watch(ctx context.Context, key string, after uint64) (port.Entry, error) {
	path, err := keyPath(key)
	if err != nil {
		return port.Entry{}, err
	}
	query := "?after=" + strconv.FormatUint(after, 10) + "&wait_ms=" + strconv.FormatInt(watchWait.Milliseconds(), 10)
	for {
		got, err := c.poll(ctx, path+query)
		if err != nil {
			return port.Entry{}, err
		}
		if got.status != fasthttp.StatusNotModified {
			return got.entry()
		}
	}
}

// poll does one long poll. The error is ctx's own once ctx has ended.
func (c *Client) poll(ctx context.Context, target string) (answer, error) {
	pollCtx, cancel := context.WithTimeout(ctx, watchWait+watchMargin)
	defer cancel()
	got, err := c.send(pollCtx, fasthttp.MethodGet, target, nil)
	if ctx.Err() != nil {
		return answer{}, ctx.Err()
	}
	return got, err
}

// do sends one call within the timeout.
func (c *Client) do(ctx context.Context, method, target string, body []byte) (answer, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	return c.send(ctx, method, target, body)
}

func (c *Client) send(ctx context.Context, method, target string, body []byte) (answer, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + c.address + target)
	req.URI().DisablePathNormalizing = true
	if body != nil {
		req.SetBodyRaw(body)
	}
	var got answer
	sent, err := c.pool.Do(ctx, c.address, req, false, func(resp *fasthttp.Response) error {
		var err error
		got.status = resp.StatusCode()
		got.body, err = httpcall.ReadBody(resp, maxAnswerBytes)
		return err
	})
	if err == nil {
		return got, nil
	}
	if method != fasthttp.MethodGet && sent > 0 {
		return answer{}, &callError{kind: port.ErrUncertain, cause: err}
	}
	return answer{}, &callError{kind: port.ErrUnavailable, cause: err}
}

// failure returns nil for a status that tells of success.
func (a answer) failure() error {
	switch a.status {
	case fasthttp.StatusOK, fasthttp.StatusNoContent:
		return nil
	case fasthttp.StatusNotFound:
		return port.ErrNotFound
	case fasthttp.StatusConflict:
		return port.ErrConflict
	case fasthttp.StatusTooManyRequests:
		return port.ErrRateLimited
	case fasthttp.StatusServiceUnavailable:
		return port.ErrUnavailable
	case fasthttp.StatusBadRequest:
		return errors.New("store: bad request")
	default:
		return &callError{kind: port.ErrUncertain, cause: errors.Errorf("status %d", a.status)}
	}
}

func (a answer) entry() (port.Entry, error) {
	if err := a.failure(); err != nil {
		return port.Entry{}, err
	}
	return decodeEntry(a.body)
}

// errDecode means that the store's answer was no entry.
var errDecode = errors.New("store: answer cannot be decoded")

// uncertain turns an answer to a write that cannot be decoded into ErrUncertain.
func uncertain(err error) error {
	if errors.Is(err, errDecode) {
		return &callError{kind: port.ErrUncertain, cause: err}
	}
	return err
}

func decodeEntry(raw []byte) (port.Entry, error) {
	var e port.Entry
	if err := json.Unmarshal(raw, &e); err != nil {
		return port.Entry{}, &callError{kind: errDecode, cause: err}
	}
	if e.Revision == 0 && len(e.Value) > 0 {
		return port.Entry{}, &callError{kind: errDecode, cause: errors.New("value without a revision")}
	}
	return e, nil
}

func decodeList(raw []byte) ([]port.Entry, error) {
	var list []port.Entry
	if err := json.Unmarshal(raw, &list); err != nil {
		return nil, &callError{kind: errDecode, cause: err}
	}
	return list, nil
}

// keyPath returns the path of a key; the key cannot leave it.
func keyPath(key string) (string, error) {
	if key == "" || len(key) > maxKeyBytes {
		return "", errors.Errorf("store: key of %d bytes, want 1 to %d", len(key), maxKeyBytes)
	}
	return "/v1/kv/" + url.PathEscape(key), nil
}
