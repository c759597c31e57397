package port

import (
	"context"
	"encoding/json"
	"io"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"github.com/pimentorill/pimentorill/internal/core/release"
)

// AttemptClient sends attempts of stages to endpoints.
// Implementations are safe for concurrent use.
type AttemptClient interface {
	// Call sends the attempt and waits for the complete response. Cancelling
	// ctx cancels the work on the endpoint. The error is a *verdict.Error:
	// NotRun if the endpoint cannot have started the work (the connection
	// failed or the endpoint refused), MayHaveRun otherwise. If a stream is
	// interrupted, Call returns the partial result together with the error.
	Call(ctx context.Context, a Attempt) (AttemptResult, error)
}

// ConnectionLostError means that the connection to an endpoint was lost during
// a call, for example because the endpoint's process crashed. Call returns it
// in the error chain.
type ConnectionLostError struct{ Err error }

// Error returns the message with the cause's text.
func (e *ConnectionLostError) Error() string { return "connection lost: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *ConnectionLostError) Unwrap() error { return e.Err }

// NotReachedError means that an endpoint has received nothing of a call.
type NotReachedError struct{ Err error }

// Error returns the message with the cause's text.
func (e *NotReachedError) Error() string { return "not reached: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *NotReachedError) Unwrap() error { return e.Err }

// IsNotReached reports whether err means that the endpoint has received nothing of the
// call.
func IsNotReached(err error) bool {
	var e *NotReachedError
	return errors.As(err, &e)
}

// IsConnectionLoss reports whether err means that the peer closed or reset the connection.
func IsConnectionLoss(err error) bool {
	for _, lost := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, lost) {
			return true
		}
	}
	return false
}

// Attempt is one execution attempt of one stage on one endpoint.
type Attempt struct {
	// ID is unique across all hosts; the response must carry it.
	ID string
	// IdempotencyKey is the request's key if the stage is at-most-once, otherwise
	// empty.
	IdempotencyKey string
	Endpoint       release.Endpoint
	// Service is the endpoint's service: its kind selects the protocol, its
	// model is the one requested.
	Service release.Service
	Stage   release.Stage
	Input   json.RawMessage
	// Deadline is when the call fails if it has not ended; zero means never.
	Deadline time.Time
	// Priority orders work on an engine; lower values run first.
	Priority int
	// FencingToken is the fencing token of the availability zone's lease, 0 if
	// there is none.
	FencingToken uint64
	// ResumeTokens is the number of tokens that the caller has already received
	// from an earlier attempt; the engine continues after them.
	ResumeTokens int
	// ResumeText is the text of those tokens.
	ResumeText string
	// OnToken receives each token of a streamed response, in order, on one
	// goroutine. It is nil if the response is not streamed to the caller.
	OnToken func(text string)
}

// AttemptResult is an endpoint's response to an attempt.
type AttemptResult struct {
	AttemptID string
	// Output is the complete output, including the resumed part.
	Output json.RawMessage
	// Tokens is the number of tokens received in this attempt; Text is their
	// text.
	Tokens int
	Text   string
	// Usage is what the endpoint has charged for this attempt, as far as known.
	Usage Usage
	// UsageIsFinal means, if Call returned an error, that the endpoint will
	// charge nothing more for the attempt. Without an error Usage is always
	// final.
	UsageIsFinal bool
	// Load is the load report sent with the response; nil if there was none.
	Load *LoadReport
}

// UsageReader reads the usage charged for attempts whose responses were lost.
// Implementations are safe for concurrent use.
type UsageReader interface {
	// AttemptUsage returns the usage charged so far and whether the endpoint has
	// ended its work on the attempt, so that the usage is final. An attempt
	// unknown to the endpoint counts as ended with zero usage.
	AttemptUsage(ctx context.Context, e release.Endpoint, attemptID string) (u Usage, ended bool, err error)
}

// LoadReader queries endpoints for their load. Implementations are safe for
// concurrent use.
type LoadReader interface {
	// Load returns the endpoint's current load report.
	Load(ctx context.Context, e release.Endpoint) (LoadReport, error)
}

// CacheEventReader reads the prefix cache events of engines. Implementations are
// safe for concurrent use.
type CacheEventReader interface {
	// CacheEvents returns the events with sequence numbers above after, in order.
	CacheEvents(ctx context.Context, e release.Endpoint, after uint64) ([]CacheEvent, error)
}

// Usage counts the units that an endpoint charges for.
type Usage struct {
	Calls int64 `json:"calls"`
	// PromptTokens is the number of prompt tokens that were not in the prefix
	// cache.
	PromptTokens int64 `json:"prompt_tokens"`
	// CachedTokens is the number of prompt tokens that were in the prefix cache.
	CachedTokens     int64 `json:"cached_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
}

// Add returns the sum of u and o.
func (u Usage) Add(o Usage) Usage {
	u.Calls += o.Calls
	u.PromptTokens += o.PromptTokens
	u.CachedTokens += o.CachedTokens
	u.CompletionTokens += o.CompletionTokens
	return u
}

// LoadReport is the load that an endpoint reports. It may be stale.
type LoadReport struct {
	// Incarnation changes with each start of the endpoint's process.
	Incarnation string `json:"incarnation"`
	// Running and Waiting are the numbers of attempts, of all hosts, that the
	// endpoint runs and queues.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// Slots is the number of attempts that the endpoint can run at once.
	Slots int `json:"slots"`
	// Cold means that the endpoint is still warming up.
	Cold bool `json:"cold"`
	// Draining means that the endpoint is shutting down and should get no more
	// attempts.
	Draining bool `json:"leaving"`
}

// CacheEvent records that a prompt block was stored in an engine's prefix cache
// or evicted from it.
type CacheEvent struct {
	// Sequence increases by one with each event of an incarnation of the engine.
	Sequence uint64 `json:"sequence"`
	// Block is the hash of the words of the prompt up to the end of the block.
	Block uint64 `json:"block"`
	// Stored is false if the block was evicted.
	Stored bool `json:"stored"`
}
