// Package verdict classifies every rejection and failure by whether the work may
// have run. Callers use the verdict to decide whether a retry is safe.
package verdict

import (
	"time"

	"github.com/go-faster/errors"
)

// Verdict says whether a request, or one attempt of it, may have run. The zero
// value is MayHaveRun, so that an unset verdict never allows an unsafe retry.
type Verdict uint8

const (
	// MayHaveRun means that it is unknown whether the work has run.
	MayHaveRun Verdict = iota
	// NotRun means that the work has not run and will not run.
	NotRun
	// Ran means that the work has run to completion. An Error with Ran means that
	// the output is not available.
	Ran
)

// String returns the verdict's name in the public API.
func (v Verdict) String() string {
	switch v {
	case NotRun:
		return "not_run"
	case Ran:
		return "ran"
	default:
		return "may_have_run"
	}
}

// MarshalText returns the verdict's name in the public API.
func (v Verdict) MarshalText() ([]byte, error) { return []byte(v.String()), nil }

// UnmarshalText parses a name returned by MarshalText. It returns an error for
// any other text.
func (v *Verdict) UnmarshalText(text []byte) error {
	switch string(text) {
	case "not_run":
		*v = NotRun
	case "may_have_run":
		*v = MayHaveRun
	case "ran":
		*v = Ran
	default:
		return errors.Errorf("verdict %q: want not_run, may_have_run or ran", text)
	}
	return nil
}

// Code is the error code of a failure. Each code has one HTTP status.
type Code string

// Error codes of the public API, with their HTTP statuses.
const (
	CodeBadInput         Code = "bad_input"          // 400
	CodeUnauthorized     Code = "unauthorized"       // 401
	CodeNotFound         Code = "not_found"          // 404
	CodeKeyInUse         Code = "key_in_use"         // 409: the idempotency key was used before, and no output can be replayed
	CodeConflict         Code = "conflict"           // 409: the request contradicts the current state, or an input no longer exists
	CodeMethodNotAllowed Code = "method_not_allowed" // 405
	CodeTooLarge         Code = "too_large"          // 413
	CodeShareExceeded    Code = "over_share"         // 429: the customer exceeds its share of the capacity
	CodeQuarantined      Code = "quarantined"        // 422: the same request has crashed endpoints
	CodeInternal         Code = "internal"           // 500
	CodeEndpointFailed   Code = "endpoint_failed"    // 502
	CodeNoCapacity       Code = "no_capacity"        // 503
	CodeStoreUnavailable Code = "store_unavailable"  // 503
	CodeNotReady         Code = "not_ready"          // 503: the host is starting or shutting down
	CodeDeadlineExceeded Code = "deadline_exceeded"  // 504
	CodeCallerCancelled  Code = "caller_cancelled"   // 499
)

var httpStatuses = map[Code]int{
	CodeBadInput: 400, CodeMethodNotAllowed: 405, CodeUnauthorized: 401, CodeNotFound: 404, CodeKeyInUse: 409,
	CodeConflict: 409, CodeTooLarge: 413, CodeShareExceeded: 429, CodeQuarantined: 422,
	CodeInternal: 500, CodeEndpointFailed: 502, CodeNoCapacity: 503, CodeStoreUnavailable: 503,
	CodeNotReady: 503, CodeDeadlineExceeded: 504, CodeCallerCancelled: 499,
}

// HTTPStatus returns the HTTP status of the code, 500 for an unknown code.
func (c Code) HTTPStatus() int {
	if s, ok := httpStatuses[c]; ok {
		return s
	}
	return httpStatuses[CodeInternal]
}

// Error is a failure with its verdict. It is immutable once returned.
type Error struct {
	Code Code
	// Message is sent to callers.
	Message string
	Verdict Verdict
	// RetryAfter is how long the caller should wait before retrying; zero means
	// unknown.
	RetryAfter time.Duration
	// Cause is the underlying error, if any. It is logged and not sent to callers.
	Cause error
}

// New returns an Error with the given code, verdict and message.
func New(code Code, v Verdict, message string) *Error {
	return &Error{Code: code, Verdict: v, Message: message}
}

// Wrap returns an Error with the given code, verdict and message that wraps
// cause.
func Wrap(cause error, code Code, v Verdict, message string) *Error {
	return &Error{Code: code, Verdict: v, Message: message, Cause: cause}
}

// Error returns the code, verdict, message and cause in one line.
func (e *Error) Error() string {
	text := string(e.Code) + " (" + e.Verdict.String() + "): " + e.Message
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// WithRetryAfter returns a copy of the error that tells the caller to wait d.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// WithVerdict returns a copy of the error with verdict v.
func (e *Error) WithVerdict(v Verdict) *Error {
	c := *e
	c.Verdict = v
	return &c
}

// From returns the Error in err's chain. Any other error is wrapped in an Error
// with CodeInternal and MayHaveRun. From returns nil for nil.
func From(err error) *Error {
	if err == nil {
		return nil
	}
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Wrap(err, CodeInternal, MayHaveRun, "internal error")
}

// Of returns the verdict of err; Ran for nil.
func Of(err error) Verdict {
	if err == nil {
		return Ran
	}
	return From(err).Verdict
}
