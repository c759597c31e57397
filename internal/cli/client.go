package cli

import (
	"cmp"
	"context"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/url"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"github.com/pimentorill/pimentorill/internal/adapter/httpcall"
	"github.com/pimentorill/pimentorill/internal/core/release"
	"github.com/pimentorill/pimentorill/internal/core/verdict"
)

// requestTimeout bounds one HTTP request. It exceeds the longest deadline of a
// pipeline, which is 10 minutes.
const requestTimeout = 11 * time.Minute

// maxResponseBytes bounds the body of a response that is read as a whole.
const maxResponseBytes = 64 << 20

// client sends HTTP requests to a host.
type client struct{ config Config }

func newClient(c Config) *client { return &client{c} }

// newPool returns connections to the host that a URL names, and its address.
func newPool(rawURL string) (pool *httpcall.Pool, address string, err error) {
	u, err := url.Parse(rawURL)
	if err != nil {
		return nil, "", err
	}
	switch u.Scheme {
	case "http":
		return httpcall.New(httpcall.Config{}), net.JoinHostPort(u.Hostname(), cmp.Or(u.Port(), "80")), nil
	case "https":
		return httpcall.New(httpcall.Config{Dial: new(tls.Dialer).DialContext}), net.JoinHostPort(u.Hostname(), cmp.Or(u.Port(), "443")), nil
	default:
		return nil, "", errors.Errorf("%q is no URL of HTTP or HTTPS", rawURL)
	}
}

// apiError is an error response of a host, or a request without a valid response. The
// tool's own codes are no_answer and bad_answer.
type apiError struct {
	Code    verdict.Code    `json:"code"`
	Message string          `json:"message"`
	Verdict verdict.Verdict `json:"verdict"`
	// RetryAfterMs is the delay before a retry, in milliseconds. 0 means that the host
	// gives none.
	RetryAfterMs int64 `json:"retry_after_ms"`
	// Faults lists the validation errors of a release note.
	Faults release.Faults `json:"faults"`
}

func (e *apiError) Error() string { return string(e.Code) + ": " + e.Message }

// format returns the error in the form printed to the user.
func (e *apiError) format() string {
	var b strings.Builder
	fmt.Fprintf(&b, "pimentorill: %s (%s): %s\n", e.Code, e.Verdict, e.Message)
	for _, f := range e.Faults {
		fmt.Fprintf(&b, "  %s: %s\n", f.Path, f.Message)
	}
	if e.RetryAfterMs > 0 {
		fmt.Fprintf(&b, "  retry after %s\n", time.Duration(e.RetryAfterMs)*time.Millisecond)
	}
	return b.String()
}

// exitCode returns the exit code of the error's verdict.
func (e *apiError) exitCode() int {
	switch e.Verdict {
	case verdict.NotRun:
		return ExitNotRun
	case verdict.Ran:
		return ExitRan
	default:
		return ExitMayHaveRun
	}
}

// request is one HTTP request.
type request struct {
	method  string
	url     string
	body    []byte
	headers map[string]string
}

// send sends the request once and passes the response body to read if the status is
// 200. It returns the error of read. Any other status and a failed connection give an
// *apiError.
func (c *client) send(r request, read func(body io.Reader) error) error {
	pool, address, err := newPool(r.url)
	if err != nil {
		return connectionError(err, verdict.NotRun)
	}
	defer pool.Close()
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod(r.method)
	req.Header.SetUserAgent("pimentorill")
	req.SetRequestURI(r.url)
	req.SetBody(r.body)
	for k, v := range r.headers {
		req.Header.Set(k, v)
	}
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	responded := false
	sent, err := pool.Do(ctx, address, req, false, func(resp *fasthttp.Response) error {
		responded = true
		body := resp.BodyStream()
		if body == nil {
			body = strings.NewReader("")
		}
		if resp.StatusCode() != fasthttp.StatusOK {
			return decodeError(resp.StatusCode(), body)
		}
		return read(body)
	})
	switch {
	case err == nil || responded:
		return err
	case sent == 0:
		return connectionError(err, verdict.NotRun)
	default:
		return connectionError(err, verdict.MayHaveRun)
	}
}

// connectionError returns the *apiError of a request without a response.
func connectionError(err error, v verdict.Verdict) error {
	return &apiError{Code: "no_answer", Verdict: v, Message: err.Error()}
}

// decodeError returns the *apiError of an error response. It has the code bad_answer and
// the verdict MayHaveRun if the body is not a valid error body.
func decodeError(status int, body io.Reader) error {
	data, err := io.ReadAll(io.LimitReader(body, maxResponseBytes))
	var response struct {
		Error apiError `json:"error"`
	}
	if err != nil || json.Unmarshal(data, &response) != nil || response.Error.Code == "" {
		return &apiError{Code: "bad_answer", Verdict: verdict.MayHaveRun, Message: fmt.Sprintf("response with status %d has no valid error body", status)}
	}
	return &response.Error
}

// callOperators sends a request to the operators' API and decodes its JSON response
// into v, a pointer. path is below /v1/admin/. Without a token it sends nothing and
// returns a *usageError.
func (c *client) callOperators(method, path string, body []byte, v any) error {
	if c.config.Token == "" {
		return usagef("no operator token: set PIMENTORILL_TOKEN or the key token in the config file")
	}
	r := request{method: method, url: strings.TrimSuffix(c.config.Operators, "/") + "/v1/admin/" + path, body: body, headers: map[string]string{
		"Authorization":     "Bearer " + c.config.Token,
		"Pimentorill-Actor": c.config.Actor,
	}}
	return c.send(r, func(body io.Reader) error {
		data, err := io.ReadAll(io.LimitReader(body, maxResponseBytes))
		if err != nil {
			return errors.Wrap(err, "read the response")
		}
		if err := json.Unmarshal(data, v); err != nil {
			return errors.Wrap(err, "decode the response")
		}
		return nil
	})
}
