package engine

import (
	"encoding/json"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"github.com/pimentorill/pimentorill/internal/core/release"
	"github.com/pimentorill/pimentorill/internal/port"
)

// completionRequest is the body sent to an engine.
type completionRequest struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens,omitempty"`
	Stream    bool   `json:"stream"`
	// ResumeText is the text already received in earlier attempts.
	ResumeText string `json:"resume_text,omitempty"`
}

// callRequest is the body sent to a pool or plain service.
type callRequest struct {
	Input json.RawMessage `json:"input"`
}

// callResponse is the response body of a pool or plain service.
type callResponse struct {
	Output json.RawMessage `json:"output"`
	Usage  port.Usage      `json:"usage"`
}

// endpointAddress returns the HOST:PORT of the endpoint's base URL. It returns an error
// if the URL is not http://HOST:PORT.
func endpointAddress(e release.Endpoint) (string, error) {
	u, err := url.Parse(e.URL)
	if err != nil {
		return "", errors.Wrap(err, "parse endpoint URL")
	}
	if u.Scheme != "http" || u.Port() == "" || u.User != nil || strings.Trim(u.Path, "/") != "" || u.RawQuery != "" {
		return "", errors.Errorf("endpoint URL %q: want http://IP:PORT", e.URL)
	}
	return u.Host, nil
}

// isValidHeaderValue reports whether s consists of visible ASCII characters and
// has at most maxHeaderValueBytes.
func isValidHeaderValue(s string) bool {
	if len(s) > maxHeaderValueBytes {
		return false
	}
	for i := 0; i < len(s); i++ {
		if s[i] <= ' ' || s[i] >= 0x7f {
			return false
		}
	}
	return true
}

// validatePath rejects paths that the endpoint could resolve to a different
// resource, for example through "..", a query or percent-encoding.
func validatePath(path string) error {
	if !strings.HasPrefix(path, "/") || !isValidHeaderValue(path) || strings.ContainsAny(path, "?#\\%") || strings.Contains(path, "..") {
		return errors.Errorf("path %q: want an absolute path of visible ASCII without query, escapes or \"..\"", path)
	}
	return nil
}

// fillRequest validates the attempt and writes it into req, addressed to addr.
// remaining is the time left until the attempt's deadline; it is ignored if the attempt
// has none.
func fillRequest(req *fasthttp.Request, a port.Attempt, addr string, remaining time.Duration) error {
	if a.ID == "" || !isValidHeaderValue(a.ID) {
		return errors.Errorf("attempt ID %q: want visible ASCII", a.ID)
	}
	if !isValidHeaderValue(a.IdempotencyKey) {
		return errors.New("idempotency key: want visible ASCII")
	}
	if err := validatePath(a.Stage.Path); err != nil {
		return err
	}
	body, err := requestBody(a)
	if err != nil {
		return err
	}
	setMethodAndURI(req, fasthttp.MethodPost, addr, a.Stage.Path)
	req.Header.SetContentType("application/json")
	req.SetBodyRaw(body)
	setHeaders(&req.Header, a, remaining)
	return nil
}

// setMethodAndURI sets the method and the URI of req. It disables path normalization,
// so that the path is sent unchanged.
func setMethodAndURI(req *fasthttp.Request, method, addr, path string) {
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + addr + path)
	req.URI().DisablePathNormalizing = true
}

// setHeaders sets the header fields of an attempt. The remaining time is sent as at
// least 1 ms.
func setHeaders(h *fasthttp.RequestHeader, a port.Attempt, remaining time.Duration) {
	h.Set(port.HeaderAttempt, a.ID)
	h.Set(port.HeaderPriority, strconv.Itoa(a.Priority))
	if !a.Deadline.IsZero() {
		h.Set(port.HeaderDeadlineMs, strconv.FormatInt(max(remaining.Milliseconds(), 1), 10))
	}
	if a.FencingToken > 0 {
		h.Set(port.HeaderFence, strconv.FormatUint(a.FencingToken, 10))
	}
	if a.IdempotencyKey != "" {
		h.Set(port.HeaderIdempotencyKey, a.IdempotencyKey)
	}
	if a.ResumeTokens > 0 {
		h.Set(port.HeaderResume, strconv.Itoa(a.ResumeTokens))
	}
}

// requestBody returns the JSON body for the kind of the attempt's service.
func requestBody(a port.Attempt) ([]byte, error) {
	if a.Service.Kind != release.KindEngine {
		return json.Marshal(callRequest{Input: a.Input})
	}
	return json.Marshal(completionRequest{
		Model:      a.Service.Model,
		Prompt:     promptText(a.Input),
		MaxTokens:  a.Stage.MaxTokens,
		Stream:     true,
		ResumeText: a.ResumeText,
	})
}

// promptText returns the value of a JSON string; any other JSON is returned as is.
func promptText(input json.RawMessage) string {
	var s string
	if json.Unmarshal(input, &s) == nil {
		return s
	}
	return string(input)
}
