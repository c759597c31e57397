// Package store is a client of the platform's key-value store over HTTP/JSON.
// It also limits the rate of a host's calls to the store.
//
// The protocol: GET, PUT and DELETE on /v1/kv/{key}, and GET /v1/kv?prefix= for
// lists. PUT and DELETE take the expected revision in the query parameter prev, PUT
// also takes ttl_ms. A GET with after and wait_ms is a long poll: it waits up to
// wait_ms for a revision other than after. Status 429 and 503 mean that the call had
// no effect. The header Store-Epoch of the responses to GET and PUT is the number of
// the store's epoch, from 1. A PUT with the query parameter epoch gets 409 in any other epoch.
package store

import (
	"bufio"
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
	// DefaultTimeout limits the duration of a call other than a watch.
	DefaultTimeout = 2 * time.Second

	// longPollWait is how long the store holds one long poll.
	longPollWait = 30 * time.Second
	// longPollMargin is the time allowed beyond longPollWait for the response.
	longPollMargin = 5 * time.Second
	// maxListBytes limits the response to a list, and all responses that are read at once. It
	// allows for a list of many values of the maximum size.
	maxListBytes = 24 << 20
	// maxEntryBytes limits any other response. It allows for a value of the maximum size in
	// base64.
	maxEntryBytes = port.MaxValueBytes*4/3 + 64<<10
	// maxKeyBytes limits the length of a key before escaping.
	maxKeyBytes = 512
	// headerEpoch is the header with the store's epoch.
	headerEpoch = "Store-Epoch"
)

// Config configures a Client. Zero values select the defaults.
type Config struct {
	// Address is the IP:PORT of the store.
	Address string
	// Timeout limits the duration of a call other than a watch.
	Timeout time.Duration
	// Connections configures the client's connection pool.
	Connections httpcall.Config
}

// Client implements port.Store over HTTP. It is safe for concurrent use.
type Client struct {
	address string
	timeout time.Duration
	pool    *httpcall.Pool
	bodies  *httpcall.Budget
}

// New returns a Client. The caller must Close it to release its idle connections.
func New(cfg Config) *Client {
	if cfg.Timeout <= 0 {
		cfg.Timeout = DefaultTimeout
	}
	return &Client{address: cfg.Address, timeout: cfg.Timeout, pool: httpcall.New(cfg.Connections), bodies: httpcall.NewBudget(maxListBytes)}
}

// Close closes the idle connections. Calls in progress continue.
func (c *Client) Close() { c.pool.Close() }

// callError is an error with its cause. kind is an error that port.Store specifies, or
// errDecode.
type callError struct {
	kind  error
	cause error
}

// Error returns the texts of the kind and the cause.
func (e *callError) Error() string { return e.kind.Error() + ": " + e.cause.Error() }

// Unwrap returns the kind and the cause.
func (e *callError) Unwrap() []error { return []error{e.kind, e.cause} }

// response is the status, the epoch and the entry of a response of the store.
type response struct {
	status int
	// epoch is 0 if the response names none.
	epoch int64
	// entry is that of a response that has one; decodeErr wraps errDecode if it has none.
	entry     port.Entry
	decodeErr error
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
	return got.entryOrError()
}

// List implements port.Store.
func (c *Client) List(ctx context.Context, prefix string) ([]port.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var list []port.Entry
	var decodeErr error
	got, err := c.send(ctx, fasthttp.MethodGet, "/v1/kv?prefix="+url.QueryEscape(prefix), nil, maxListBytes, func(r *response, raw []byte) {
		if r.statusError() == nil {
			list, decodeErr = decodeList(raw)
		}
	})
	if err != nil {
		return nil, err
	}
	if err := got.statusError(); err != nil {
		return nil, err
	}
	for i := range list {
		list[i].Epoch = got.epoch
	}
	return list, decodeErr
}

// CompareAndSwap implements port.Store.
func (c *Client) CompareAndSwap(ctx context.Context, key string, prev uint64, value []byte, ttl time.Duration) (port.Entry, error) {
	return c.CompareAndSwapInEpoch(ctx, 0, key, prev, value, ttl)
}

// CompareAndSwapInEpoch implements port.Store. A store that names no epoch ignores the
// condition. If the response to a mismatch can't be decoded, it returns an entry that has
// only an epoch.
func (c *Client) CompareAndSwapInEpoch(ctx context.Context, epoch int64, key string, prev uint64, value []byte, ttl time.Duration) (port.Entry, error) {
	if len(value) > port.MaxValueBytes {
		return port.Entry{}, errors.Errorf("store: value has %d bytes, the limit is %d", len(value), port.MaxValueBytes)
	}
	path, err := keyPath(key)
	if err != nil {
		return port.Entry{}, err
	}
	query := "?prev=" + strconv.FormatUint(prev, 10) + "&ttl_ms=" + strconv.FormatInt(ttl.Milliseconds(), 10)
	if epoch != 0 {
		query += "&epoch=" + strconv.FormatInt(epoch, 10)
	}
	got, err := c.do(ctx, fasthttp.MethodPut, path+query, value)
	if err != nil {
		return port.Entry{}, err
	}
	if got.status == fasthttp.StatusConflict {
		current := got.entry
		current.Epoch = got.epoch
		return current, port.ErrConflict
	}
	entry, err := got.entryOrError()
	if err != nil {
		return port.Entry{}, asUncertain(err)
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
	return got.statusError()
}

// Watch implements port.Store with long polls.
func (c *Client) Watch(ctx context.Context, key string, after uint64) (port.Entry, error) {
	path, err := keyPath(key)
	if err != nil {
		return port.Entry{}, err
	}
	query := "?after=" + strconv.FormatUint(after, 10) + "&wait_ms=" + strconv.FormatInt(longPollWait.Milliseconds(), 10)
	for {
		got, err := c.longPoll(ctx, path+query)
		if err != nil {
			return port.Entry{}, err
		}
		if got.status != fasthttp.StatusNotModified {
			return got.entryOrError()
		}
	}
}

// longPoll sends one long poll. If ctx has ended, it returns ctx.Err() whatever the
// outcome of the poll.
func (c *Client) longPoll(ctx context.Context, target string) (response, error) {
	pollCtx, cancel := context.WithTimeout(ctx, longPollWait+longPollMargin)
	defer cancel()
	got, err := c.send(pollCtx, fasthttp.MethodGet, target, nil, maxEntryBytes, (*response).decode)
	if ctx.Err() != nil {
		return response{}, ctx.Err()
	}
	return got, err
}

// do sends one call with the configured timeout; target is the path and query.
func (c *Client) do(ctx context.Context, method, target string, body []byte) (response, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	return c.send(ctx, method, target, body, maxEntryBytes, (*response).decode)
}

// decode decodes the entry in a body, unless the status tells that there is none.
func (r *response) decode(raw []byte) {
	if err := r.statusError(); err == nil || errors.Is(err, port.ErrConflict) {
		r.entry, r.decodeErr = decodeEntry(raw)
	}
}

// send sends one call and returns the response whatever its status, after use has got
// its body, of at most limit bytes. If it fails after bytes of a write were sent, the
// error wraps port.ErrUncertain; otherwise it wraps only port.ErrUnavailable.
func (c *Client) send(ctx context.Context, method, target string, body []byte, limit int64, use func(r *response, raw []byte)) (response, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + c.address + target)
	req.URI().DisablePathNormalizing = true
	if body != nil {
		req.SetBodyRaw(body)
	}
	var got response
	sent, err := c.pool.Exchange(ctx, c.address, false, httpcall.Call{
		Write: func(w *bufio.Writer) error { return req.Write(w) },
		Named: func(*fasthttp.Response) bool { return !got.mayAnswerNoCall() },
		Read: func(resp *fasthttp.Response) error {
			got.status = resp.StatusCode()
			got.epoch, _ = strconv.ParseInt(string(resp.Header.Peek(headerEpoch)), 10, 64)
			return c.bodies.ReadBody(ctx, resp, limit, func(raw []byte) error { use(&got, raw); return nil })
		},
	})
	if err == nil {
		return got, nil
	}
	if method != fasthttp.MethodGet && sent > 0 {
		return response{}, &callError{kind: port.ErrUncertain, cause: err}
	}
	return response{}, &callError{kind: port.ErrUnavailable, cause: err}
}

// mayAnswerNoCall reports whether the response is a refusal or a failure, which a faulty store may send
// before it has got a call. The call's own response may then still be due.
func (r response) mayAnswerNoCall() bool {
	return r.status == fasthttp.StatusTooManyRequests || r.status >= fasthttp.StatusInternalServerError
}

// statusError returns the error for the status, or nil for success. An unexpected
// status, of a read too, gives an error that wraps port.ErrUncertain.
func (r response) statusError() error {
	switch r.status {
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
		return &callError{kind: port.ErrUncertain, cause: errors.Errorf("status %d", r.status)}
	}
}

// entryOrError returns the entry, or the error of statusError.
func (r response) entryOrError() (port.Entry, error) {
	if err := r.statusError(); errors.Is(err, port.ErrNotFound) {
		return port.Entry{Epoch: r.epoch}, err
	} else if err != nil {
		return port.Entry{}, err
	}
	entry := r.entry
	entry.Epoch = r.epoch
	return entry, r.decodeErr
}

// errDecode means that the body of a response could not be decoded.
var errDecode = errors.New("store: response cannot be decoded")

// asUncertain converts errDecode to port.ErrUncertain: a write whose response
// cannot be decoded may have taken effect.
func asUncertain(err error) error {
	if errors.Is(err, errDecode) {
		return &callError{kind: port.ErrUncertain, cause: err}
	}
	return err
}

// decodeEntry decodes the JSON form of an entry. An entry with a value but without a
// revision is invalid. The error wraps errDecode.
func decodeEntry(raw []byte) (port.Entry, error) {
	var e port.Entry
	if err := json.Unmarshal(raw, &e); err != nil {
		return port.Entry{}, &callError{kind: errDecode, cause: err}
	}
	if e.Revision == 0 && len(e.Value) > 0 {
		return port.Entry{}, &callError{kind: errDecode, cause: errors.New("entry has a value but no revision")}
	}
	return e, nil
}

// decodeList decodes the JSON form of a list of entries. The error wraps errDecode.
func decodeList(raw []byte) ([]port.Entry, error) {
	var list []port.Entry
	if err := json.Unmarshal(raw, &list); err != nil {
		return nil, &callError{kind: errDecode, cause: err}
	}
	return list, nil
}

// keyPath returns the path of a key. The key is escaped, so that it stays one
// path segment. It returns an error for an empty key or one longer than maxKeyBytes.
func keyPath(key string) (string, error) {
	if key == "" || len(key) > maxKeyBytes {
		return "", errors.Errorf("store: key has %d bytes, want 1 to %d", len(key), maxKeyBytes)
	}
	return "/v1/kv/" + url.PathEscape(key), nil
}
