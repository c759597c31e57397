package pipeline

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pimentorill/pimentorill/internal/core/cost"
	"github.com/pimentorill/pimentorill/internal/core/release"
	"github.com/pimentorill/pimentorill/internal/core/retry"
	"github.com/pimentorill/pimentorill/internal/port"
)

// AttemptInfo describes an attempt to the Picker and the Gate before it is
// sent.
type AttemptInfo struct {
	RequestID string
	Customer  string
	Pipeline  string
	Release   *release.Release
	Stage     release.Stage
	Input     json.RawMessage
	Deadline  time.Time
	// Fingerprint identifies the request by customer, pipeline and input.
	Fingerprint [16]byte
	// Avoid holds the ids of the endpoints that attempts of this stage in this
	// run were sent to, and of those that the Gate refused for this attempt.
	// Whether they may still be picked is up to the Picker.
	Avoid []string
	// Cancel ends the attempt before its deadline. The Runner always sets it; it
	// may be nil in tests. A Gate may call it at any time after Acquire.
	Cancel func()
	// Cause says whether this is a first attempt, a retry or a hedge.
	Cause cost.Cause
}

// Picker chooses the endpoint of an attempt. Implementations are safe for
// concurrent use.
type Picker interface {
	// Pick returns an endpoint, or a *verdict.Error with NotRun if there is
	// none.
	Pick(info AttemptInfo) (release.Endpoint, error)
}

// Tracker observes the attempts in flight. A Picker that also implements
// Tracker can weight endpoints by them. Implementations are safe for
// concurrent use.
type Tracker interface {
	// Begin is called when an attempt is about to be sent.
	Begin(endpointID string)
	// End is called once for each Begin, when the attempt has ended.
	End(endpointID string, info AttemptInfo, o Outcome)
}

// Outcome is the result of an attempt that acquired a slot.
type Outcome struct {
	// Response may be incomplete or empty if Err is set.
	Response port.AttemptResult
	// Err is nil if the attempt succeeded, a *verdict.Error otherwise.
	Err error
	// Duration is the time from sending the attempt to its end, 0 if it was
	// not sent.
	Duration time.Duration
}

// Gate limits the load on each endpoint. Implementations are safe for
// concurrent use.
type Gate interface {
	// Acquire acquires a slot on the endpoint; it may wait for one until ctx
	// ends. Without an error the caller calls releaseSlot exactly once, when
	// the attempt has ended or is not sent after all. The error is a
	// *verdict.Error; the attempt must not be sent then.
	Acquire(ctx context.Context, info AttemptInfo, e release.Endpoint) (releaseSlot func(o Outcome), err error)
}

// Ledger records the cost of attempts. Implementations are safe for concurrent
// use.
type Ledger interface {
	// Begin records an attempt that is about to be sent.
	Begin(attemptID string, e release.Endpoint, k cost.Key, p release.Price)
	// Settle records the attempt's cost under the cause and returns the amount
	// recorded, in millionths of the currency unit. A second call for the same
	// attempt has no effect and returns 0.
	Settle(attemptID string, cause cost.Cause, u port.Usage) int64
	// Drop removes an attempt that the endpoint cannot have started.
	Drop(attemptID string)
	// Defer leaves an attempt open until its usage has been queried from the
	// endpoint.
	Defer(attemptID string, cause cost.Cause)
}

// Deps holds the dependencies of a Runner.
type Deps struct {
	Picker        Picker
	Gate          Gate
	AttemptClient port.AttemptClient
	Ledger        Ledger
	Clock         port.Clock
	// NewID returns an id that is unique across all hosts.
	NewID func() string
	// Retry controls retries and hedges; nil disables both.
	Retry *retry.Controller
	// MinRemaining returns an estimate of the time that nearly every run needs
	// for the pipeline's stages from stage on, counted from 0; 0 if it is unknown.
	// nil counts as unknown for all stages.
	MinRemaining func(p release.Pipeline, stage int) time.Duration
	// StageCache stores the results of finished stages; nil disables caching.
	StageCache StageCache
	// Go runs fn on a goroutine; nil starts a new one for each call.
	Go func(fn func())
}

// StageCache stores the outputs of finished stages, so that a repeated request
// can skip them. Implementations are safe for concurrent use and never fail a
// run.
type StageCache interface {
	// Get returns the cached stages of the request, in order from the first
	// stage without gaps.
	Get(ctx context.Context, req *Request) []CachedStage
	// Put stores a finished stage, counted from 0, until a limited time after the
	// request's deadline, or drops it. It does not block.
	Put(req *Request, stage int, finished CachedStage)
}

// CachedStage is the result and the output of a finished stage.
type CachedStage struct {
	Result StageResult     `json:"result"`
	Output json.RawMessage `json:"output"`
}
