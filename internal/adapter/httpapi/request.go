package httpapi

import (
	"bytes"
	"encoding/json"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/pimentorill/pimentorill/internal/app"
)

// Limits of request header values.
const (
	maxIdempotencyKeyBytes = 255
	maxCustomerBytes       = 63
	maxDeadlineMs          = 3_600_000 // the run ends at the pipeline's deadline if that is earlier
)

// runRequestBody is the JSON body of a run request.
type runRequestBody struct {
	Input json.RawMessage `json:"input"`
}

// decodeRun reads a run request from its headers and body. Its errors have
// CodeBadInput and the verdict NotRun.
func decodeRun(ctx *fasthttp.RequestCtx, pipeline string) (app.RunRequest, error) {
	in := app.RunRequest{Pipeline: pipeline}
	h := &ctx.Request.Header
	customer, err := decodeCustomer(ctx)
	if err != nil {
		return in, err
	}
	in.Customer = customer
	in.Key = string(h.Peek(headerIdempotencyKey))
	if in.Key == "" && len(h.PeekAll(headerIdempotencyKey)) > 0 {
		return in, badInput("header " + headerIdempotencyKey + " is empty")
	}
	if in.Key != "" && !isVisibleASCII(in.Key, maxIdempotencyKeyBytes) {
		return in, badInput("header " + headerIdempotencyKey + ": want 1 to 255 visible ASCII characters")
	}
	timeout, err := decodeTimeout(h.Peek(headerDeadline))
	if err != nil {
		return in, err
	}
	in.Timeout = timeout
	in.Input, err = decodeInput(ctx.PostBody())
	return in, err
}

// decodeCustomer returns the customer header if it is 1 to maxCustomerBytes visible
// ASCII characters. It does not check that the customer exists.
func decodeCustomer(ctx *fasthttp.RequestCtx) (string, error) {
	customer := string(ctx.Request.Header.Peek(headerCustomer))
	if customer == "" {
		return "", badInput("header " + headerCustomer + " is required")
	}
	if !isVisibleASCII(customer, maxCustomerBytes) {
		return "", badInput("header " + headerCustomer + " is not a customer's name")
	}
	return customer, nil
}

// decodeTimeout parses the deadline header, the time in milliseconds that the caller
// allows. It returns zero if the header is absent.
func decodeTimeout(raw []byte) (time.Duration, error) {
	if len(raw) == 0 {
		return 0, nil
	}
	ms, err := strconv.ParseInt(string(raw), 10, 64)
	if err != nil || ms < 1 || ms > maxDeadlineMs {
		return 0, badInput("header " + headerDeadline + ": want 1 to 3600000 milliseconds")
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// decodeInput returns the input of a body {"input": ...}. It rejects other fields
// and trailing data.
func decodeInput(data []byte) (json.RawMessage, error) {
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	var body runRequestBody
	if err := d.Decode(&body); err != nil {
		return nil, badInput(`the body is not {"input": ...} in JSON`)
	}
	if _, err := d.Token(); err != io.EOF {
		return nil, badInput("the body goes on behind its JSON value")
	}
	if body.Input == nil {
		return nil, badInput(`the body has no "input"`)
	}
	// The input outlives the request's buffer, which fasthttp reuses.
	return bytes.Clone(body.Input), nil
}

// isVisibleASCII reports whether s is 1 to limit bytes of ASCII without spaces and
// control characters.
func isVisibleASCII(s string, limit int) bool {
	if len(s) == 0 || len(s) > limit {
		return false
	}
	return strings.IndexFunc(s, func(r rune) bool { return r <= ' ' || r > '~' }) < 0
}
