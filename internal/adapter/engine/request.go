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
	// ResumeText is what earlier attempts have already received.
	ResumeText string `json:"resume_text,omitempty"`
}

// callRequest is the body sent to a pool or plain service.
type callRequest struct {
	Input json.RawMessage `json:"input"`
}

// callAnswer is the body that a pool or plain service gives back.
type callAnswer struct {
	Output json.RawMessage `json:"output"`
	Usage  port.Usage      `json:"usage"`
}

// address checks the endpoint's base URL and returns its host and port.
func address(e release.Endpoint) (string, error) {
	u, err := url.Parse(e.URL)
	if err != nil {
		return "", errors.Wrap(err, "endpoint URL")
	}
	if u.Scheme != "http" || u.Port() == "" || u.User != nil || strings.Trim(u.Path, "/") != "" || u.RawQuery != "" {
		return "", errors.Errorf("endpoint URL %q: want http://IP:PORT", e.URL)
	}
	return u.Host, nil
}

// visible reports whether s has only visible ASCII and a bounded length.
func visible(s string) bool {
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

// checkPath refuses a path that could reach another resource than it says.
func checkPath(path string) error {
	if !strings.HasPrefix(path, "/") || !visible(path) || strings.ContainsAny(path, "?#\\%") || strings.Contains(path, "..") {
		return errors.Errorf("stage path %q: want a plain absolute path", path)
	}
	return nil
}

// fill writes the attempt into req. Nothing is sent on an error.
func fill(req *fasthttp.Request, a port.Attempt, addr string, left time.Duration) error {
	if a.ID == "" || !visible(a.ID) {
		return errors.Errorf("attempt id %q: want visible ASCII", a.ID)
	}
	if !visible(a.IdempotencyKey) {
		return errors.New("idempotency key: want visible ASCII")
	}
	if err := checkPath(a.Stage.Path); err != nil {
		return err
	}
	body, err := requestBody(a)
	if err != nil {
		return err
	}
	target(req, fasthttp.MethodPost, addr, a.Stage.Path)
	req.Header.SetContentType("application/json")
	req.SetBodyRaw(body)
	setHeaders(&req.Header, a, left)
	return nil
}

func target(req *fasthttp.Request, method, addr, path string) {
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + addr + path)
	req.URI().DisablePathNormalizing = true
}

func setHeaders(h *fasthttp.RequestHeader, a port.Attempt, left time.Duration) {
	h.Set(port.HeaderAttempt, a.ID)
	h.Set(port.HeaderPriority, strconv.Itoa(a.Priority))
	if !a.Deadline.IsZero() {
		h.Set(port.HeaderDeadlineMs, strconv.FormatInt(max(left.Milliseconds(), 1), 10))
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

func requestBody(a port.Attempt) ([]byte, error) {
	if a.Service.Kind != release.KindEngine {
		return json.Marshal(callRequest{Input: a.Input})
	}
	return json.Marshal(completionRequest{
		Model:      a.Service.Model,
		Prompt:     promptOf(a.Input),
		MaxTokens:  a.Stage.MaxTokens,
		Stream:     true,
		ResumeText: a.ResumeText,
	})
}

// promptOf returns a JSON string's value, and any other JSON as its text.
func promptOf(input json.RawMessage) string {
	var s string
	if json.Unmarshal(input, &s) == nil {
		return s
	}
	return string(input)
}
