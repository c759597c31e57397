package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"github.com/pimentorill/pimentorill/internal/core/release"
	"github.com/pimentorill/pimentorill/internal/core/verdict"
)

// requestTimeout bounds one HTTP request. It exceeds the longest deadline of a
// pipeline, which is 10 minutes.
const requestTimeout = 11 * time.Minute

// maxResponseBytes bounds the body of a response that is read as a whole.
const maxResponseBytes = 64 << 20

// client sends HTTP requests to a host.
type client struct {
	config Config
	http   *fasthttp.Client
}

func newClient(c Config) *client {
	return &client{config: c, http: &fasthttp.Client{
		Name:                      "pimentorill",
		StreamResponseBody:        true,
		MaxResponseBodySize:       maxResponseBytes,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}}
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
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(r.method)
	req.SetRequestURI(r.url)
	req.SetBody(r.body)
	for k, v := range r.headers {
		req.Header.Set(k, v)
	}
	if err := c.http.DoTimeout(req, resp, requestTimeout); err != nil {
		return connectionError(err)
	}
	body := resp.BodyStream()
	if body == nil {
		body = strings.NewReader(string(resp.Body()))
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return decodeError(resp.StatusCode(), body)
	}
	return read(body)
}

// connectionError returns the *apiError of a request without a complete response.
// The verdict is NotRun if dialling failed, else MayHaveRun.
func connectionError(err error) error {
	v := verdict.MayHaveRun
	if dialFailed(err) {
		v = verdict.NotRun
	}
	return &apiError{Code: "no_answer", Verdict: v, Message: err.Error()}
}

// dialFailed reports whether the connection could not be opened, so that nothing was
// sent.
func dialFailed(err error) bool {
	var dial *fasthttp.ErrDialWithUpstream
	return errors.As(err, &dial) || errors.Is(err, fasthttp.ErrDialTimeout)
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
