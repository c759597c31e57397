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

// AttemptInfo is what a Picker and a Gate are told of an attempt before it is sent.
type AttemptInfo struct {
	RequestID string
	Customer  string
	Pipeline  string
	Release   *release.Release
	Stage     release.Stage
	Input     json.RawMessage
	Deadline  time.Time
	// Fingerprint is the request's.
	Fingerprint [16]byte
	// Avoid holds the ids of endpoints that failed this stage of this run, or
	// that run it already.
	Avoid []string
	// Cancel ends the attempt before its deadline; nil outside of a run. A Gate
	// may call it at any time after Enter.
	Cancel func()
	// Cause tells a first attempt from a retry and a hedge.
	Cause cost.Cause
}

// Picker chooses the endpoint of an attempt. Implementations are safe for
// concurrent use.
type Picker interface {
	// Pick returns an endpoint, or a *verdict.Error with NotRun if there is none.
	Pick(w AttemptInfo) (release.Endpoint, error)
}

// Tracker is told of the attempts under way. A Picker that is a Tracker too
// weighs endpoints by them. Implementations are safe for concurrent use.
type Tracker interface {
	// Begin is called when an attempt is about to be sent.
	Begin(endpointID string)
	// End is called once for each Begin.
	End(endpointID string, w AttemptInfo, o Outcome)
}

// Outcome is how an attempt ended.
type Outcome struct {
	Answer   port.Answer
	Err      error
	Duration time.Duration
}

// Gate keeps each endpoint within what it bears. Implementations are safe
// for concurrent use.
type Gate interface {
	// Acquire takes a place on the endpoint, waiting for it as long as ctx
	// lasts. The caller calls leave once, when the attempt has ended. The
	// error is a *verdict.Error with NotRun.
	Acquire(ctx context.Context, w AttemptInfo, e release.Endpoint) (leave func(o Outcome), err error)
}

// Ledger books cost. Implementations are safe for concurrent use.
type Ledger interface {
	// Begin notes an attempt that is about to be sent.
	Begin(attemptID string, e release.Endpoint, k cost.Key, p release.Price)
	// Settle books what the attempt cost under the cause; a second call for
	// the same attempt is ignored. It returns the amount booked.
	Settle(attemptID string, cause cost.Cause, u port.Usage) int64
	// Drop forgets an attempt that the endpoint cannot have begun.
	Drop(attemptID string)
	// Defer keeps an attempt open, whose usage is to be asked for later.
	Defer(attemptID string, cause cost.Cause)
}

// Deps are the parts that a Runner works with.
type Deps struct {
	Picker Picker
	Gate   Gate
	Caller port.Caller
	Ledger Ledger
	Clock  port.Clock
	// NewID returns an id that is unique over all hosts.
	NewID func() string
	// Retry decides on retries and hedges; nil allows none.
	Retry *retry.Controller
	// MinRemaining returns the least time that the pipeline's stages from the
	// given one on need; nil means that nothing is known.
	MinRemaining func(p release.Pipeline, stage int) time.Duration
	// StageCache keeps results of finished stages; nil keeps none.
	StageCache StageCache
	// Go runs fn on a goroutine; nil means a new one for each.
	Go func(fn func())
}

// StageCache keeps the outputs of finished stages for a caller's second sending.
// Implementations are safe for concurrent use and never fail a run.
type StageCache interface {
	// Get returns what is kept for the request, by stage, from the first on.
	Get(ctx context.Context, req *Request) []CachedStage
	// Put keeps a finished stage's output until the request's deadline. It
	// returns at once.
	Put(req *Request, stage int, k CachedStage)
}

// CachedStage is a finished stage.
type CachedStage struct {
	Result StageResult     `json:"result"`
	Output json.RawMessage `json:"output"`
}
