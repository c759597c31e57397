// Package pipeline runs one request through the stages of its pipeline: it
// picks an endpoint for each attempt, sends the attempt, checks the
// response, and records the cost. Retries and hedges are further attempts of
// the same stage. An at-most-once stage (release.Stage.AtMostOnce) is one that
// must not run twice for a request. A Runner is safe for concurrent use; each Run handles
// one request.
package pipeline

import (
	"encoding/json"
	"time"

	"github.com/pimentorill/pimentorill/internal/core/cost"
	"github.com/pimentorill/pimentorill/internal/core/release"
	"github.com/pimentorill/pimentorill/internal/core/verdict"
)

// Request is one request to run a pipeline.
type Request struct {
	ID       string
	Customer string
	Pipeline release.Pipeline
	// Release is the release that applies to the whole run.
	Release *release.Release
	// Input is the input of the first stage.
	Input json.RawMessage
	// Deadline bounds the whole run.
	Deadline time.Time
	// Fingerprint identifies the request by customer, pipeline and input.
	Fingerprint [16]byte
	// IdempotencyKey is passed to at-most-once stages.
	IdempotencyKey string
	// OnToken receives the tokens of the last stage in order, one call at a
	// time and never after Run has returned; nil discards them. It must not
	// block.
	OnToken func(text string)
	// OnStage is called as each stage that is not taken from the cache
	// succeeds; may be nil.
	OnStage func(s StageResult)
	// OnAttempt is called as each attempt ends, possibly after Run has
	// returned; may be nil. It must not block.
	OnAttempt func(r AttemptReport)
	// BeforeAtMostOnceStage is called before the first attempt of each
	// at-most-once stage; may be nil. Its error ends the run before that
	// attempt is sent.
	BeforeAtMostOnceStage func() error
}

// Result is the result of a successful run.
type Result struct {
	// Output is the output of the last stage.
	Output json.RawMessage `json:"output"`
	Stages []StageResult   `json:"stages"`
	// Cost is the total of the stages' costs, in millionths of the currency
	// unit.
	Cost int64 `json:"cost"`
}

// StageResult describes how one stage was run. For a stage taken from the
// cache, Endpoint, AvailabilityZone and DurationMs are those of the earlier
// run; Attempts and Cost are 0.
type StageResult struct {
	Stage            string `json:"stage"`
	Endpoint         string `json:"endpoint"`
	AvailabilityZone string `json:"availability_zone"`
	// Attempts is the number of attempts sent, including retries and hedges.
	Attempts int `json:"attempts"`
	// DurationMs is the time from the start of the stage to its response.
	DurationMs int64 `json:"duration_ms"`
	// Cost is the cost of the stage's finished attempts, in millionths of the
	// currency unit. Attempts settled later appear only in the ledger.
	Cost int64 `json:"cost"`
}

// AttemptReport describes one attempt, its cause and its result.
type AttemptReport struct {
	Stage string `json:"stage"`
	// Endpoint is empty for an attempt that was not sent.
	Endpoint         string          `json:"endpoint,omitempty"`
	AvailabilityZone string          `json:"availability_zone,omitempty"`
	Cause            cost.Cause      `json:"cause"`
	Verdict          verdict.Verdict `json:"verdict"`
	// Code and Detail are empty for a successful attempt.
	Code   verdict.Code `json:"code,omitempty"`
	Detail string       `json:"detail,omitempty"`
	// DurationMs is the time from the sending of the attempt to this report, 0 if
	// the attempt was not sent.
	DurationMs int64 `json:"duration_ms"`
}
