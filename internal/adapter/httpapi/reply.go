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

// Header names of the callers' contract.
const (
	headerCustomer  = "Pimentorill-Customer"
	headerDeadline  = "Pimentorill-Deadline-Ms"
	headerKey       = "Idempotency-Key"
	headerRequestID = "Pimentorill-Request-Id"
	// headerStages asks a stream for an event as each stage finishes.
	headerStages = "Pimentorill-Stages"
)

const contentJSON = "application/json"

// errorBody is every refusal and failure in the contract's form.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Code         verdict.Code    `json:"code"`
	Message      string          `json:"message"`
	Verdict      verdict.Verdict `json:"verdict"`
	RetryAfterMs int64           `json:"retry_after_ms"`
	// Faults lists what is wrong with a release note.
	Faults release.Faults `json:"faults,omitempty"`
}

// newErrorBody returns the contract's form of err. Causes are not shown.
func newErrorBody(err error) (errorBody, *verdict.Error) {
	var faults release.Faults
	if errors.As(err, &faults) {
		e := verdict.New(verdict.CodeBadInput, verdict.NotRun, "the release note has faults")
		return errorBody{errorDetail{Code: e.Code, Message: e.Message, Verdict: e.Verdict, Faults: faults}}, e
	}
	e := verdict.From(err)
	return errorBody{errorDetail{Code: e.Code, Message: e.Message, Verdict: e.Verdict, RetryAfterMs: e.RetryAfter.Milliseconds()}}, e
}

// writeError answers with err in the contract's form and its status.
func writeError(ctx *fasthttp.RequestCtx, err error) {
	body, e := newErrorBody(err)
	if e.RetryAfter > 0 {
		seconds := (e.RetryAfter + time.Second - 1) / time.Second
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.FormatInt(int64(seconds), 10))
	}
	writeJSON(ctx, e.Code.HTTPStatus(), body)
}

// writeJSON answers with v. A value that cannot be encoded becomes an internal error.
func writeJSON(ctx *fasthttp.RequestCtx, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		status = fasthttp.StatusInternalServerError
		data = []byte(`{"error":{"code":"internal","message":"the answer cannot be encoded","verdict":"may_have_run","retry_after_ms":0}}`)
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType(contentJSON)
	ctx.SetBody(data)
}

func badInput(message string) error {
	return verdict.New(verdict.CodeBadInput, verdict.NotRun, message)
}

func notFound() error {
	return verdict.New(verdict.CodeNotFound, verdict.NotRun, "no such page")
}
