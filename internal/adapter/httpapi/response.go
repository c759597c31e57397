// Package httpapi serves callers and operators over HTTP.
package httpapi

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"github.com/pimentorill/pimentorill/internal/core/release"
	"github.com/pimentorill/pimentorill/internal/core/verdict"
)

// Names of the request and response headers of the callers' API.
const (
	headerCustomer = "Pimentorill-Customer"
	// headerDeadline is the time that the caller allows, in milliseconds.
	headerDeadline       = "Pimentorill-Deadline-Ms"
	headerIdempotencyKey = "Idempotency-Key"
	headerRequestID      = "Pimentorill-Request-Id"
	// headerStageEvents, with any value, requests a stage event in a stream whenever a
	// stage finishes.
	headerStageEvents = "Pimentorill-Stages"
)

const contentTypeJSON = "application/json"

// errorBody is the JSON body of every error response.
type errorBody struct {
	Error errorDetail `json:"error"`
}

// errorDetail describes an error to the caller.
type errorDetail struct {
	Code    verdict.Code `json:"code"`
	Message string       `json:"message"`
	// Verdict says whether the request has run.
	Verdict verdict.Verdict `json:"verdict"`
	// RetryAfterMs is the delay before a retry, in milliseconds. 0 means that none is
	// given.
	RetryAfterMs int64 `json:"retry_after_ms"`
	// Faults lists the validation errors of a release note.
	Faults release.Faults `json:"faults,omitempty"`
}

// newErrorBody returns the response body for err and the verdict.Error that it is
// made from. The body omits wrapped causes.
func newErrorBody(err error) (errorBody, *verdict.Error) {
	var faults release.Faults
	if errors.As(err, &faults) {
		e := verdict.New(verdict.CodeBadInput, verdict.NotRun, "the release note has faults")
		return errorBody{errorDetail{Code: e.Code, Message: e.Message, Verdict: e.Verdict, Faults: faults}}, e
	}
	e := verdict.From(err)
	return errorBody{errorDetail{Code: e.Code, Message: e.Message, Verdict: e.Verdict, RetryAfterMs: e.RetryAfter.Milliseconds()}}, e
}

// writeError responds with the JSON body of err and the HTTP status of its code.
func writeError(ctx *fasthttp.RequestCtx, err error) {
	body, e := newErrorBody(err)
	if e.RetryAfter > 0 {
		seconds := (e.RetryAfter + time.Second - 1) / time.Second
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.FormatInt(int64(seconds), 10))
	}
	writeJSON(ctx, e.Code.HTTPStatus(), body)
}

// writeJSON responds with v as JSON, or with status 500 if v cannot be encoded.
func writeJSON(ctx *fasthttp.RequestCtx, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		status = fasthttp.StatusInternalServerError
		data = []byte(`{"error":{"code":"internal","message":"the answer cannot be encoded","verdict":"may_have_run","retry_after_ms":0}}`)
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType(contentTypeJSON)
	ctx.SetBody(data)
}

func badInput(message string) error {
	return verdict.New(verdict.CodeBadInput, verdict.NotRun, message)
}

func notFound() error {
	return verdict.New(verdict.CodeNotFound, verdict.NotRun, "no such page")
}
