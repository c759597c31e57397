// Package release defines the release, which is the versioned configuration set
// by operators, and the notes that change it. It parses and validates notes,
// applies them to a base release and compares releases. A Release is immutable
// once built; all functions are safe for concurrent use.
package release

import "time"

// Release is the complete configuration of one version.
type Release struct {
	// Version is 0 before the first note and grows by 1 with each note.
	Version uint64 `json:"version" yaml:"version"`
	// NoteID, Author and AcceptedAt are those of the note that made the release.
	NoteID     string     `json:"note_id" yaml:"note_id"`
	Author     string     `json:"author" yaml:"author"`
	AcceptedAt time.Time  `json:"accepted_at" yaml:"accepted_at"`
	Zones      []Zone     `json:"zones" yaml:"zones"`
	Models     []Model    `json:"models" yaml:"models"`
	Services   []Service  `json:"services" yaml:"services"`
	Endpoints  []Endpoint `json:"endpoints" yaml:"endpoints"`
	Pipelines  []Pipeline `json:"pipelines" yaml:"pipelines"`
	Customers  []Customer `json:"customers" yaml:"customers"`
	Settings   Settings   `json:"settings" yaml:"settings"`
}

// Zone is an availability zone.
type Zone struct {
	Name   string `json:"name" yaml:"name"`
	Region string `json:"region" yaml:"region"`
	// OutOfService takes the zone out of service: it gets no new work.
	OutOfService bool `json:"out,omitempty" yaml:"out,omitempty"`
}

// Model is a model that engines can load.
type Model struct {
	Name    string `json:"name" yaml:"name"`
	Version string `json:"version" yaml:"version"`
	// Adapters are the names of the adapters that engines are to hold loaded with
	// the model.
	Adapters []string `json:"adapters,omitempty" yaml:"adapters,omitempty"`
}

// ServiceKind is the protocol family of a service.
type ServiceKind string

// The kinds of services.
const (
	// KindEngine is a model engine that streams completions.
	KindEngine ServiceKind = "engine"
	// KindPool is a pool of encoders, retrievers or rerankers.
	KindPool ServiceKind = "pool"
	// KindPlain is any other service that stages call.
	KindPlain ServiceKind = "plain"
)

// Service is a group of interchangeable endpoints.
type Service struct {
	Name string      `json:"name" yaml:"name"`
	Kind ServiceKind `json:"kind" yaml:"kind"`
	// Model is the model served by an engine service; empty for other kinds.
	Model string `json:"model,omitempty" yaml:"model,omitempty"`
}

// Endpoint is one server of a service.
type Endpoint struct {
	ID               string `json:"id" yaml:"id"`
	Service          string `json:"service" yaml:"service"`
	AvailabilityZone string `json:"availability_zone" yaml:"availability_zone"`
	// URL is the base URL, http://IP:PORT.
	URL string `json:"url" yaml:"url"`
	// Slots is the number of requests that the endpoint runs concurrently when
	// warm.
	Slots int `json:"slots" yaml:"slots"`
	// ColdLimit is the number of requests that the endpoint can run concurrently
	// during a cold start, at most Slots.
	ColdLimit int `json:"cold_limit" yaml:"cold_limit"`
	// WarmAfter is the least number of responses in a cold start after which the
	// endpoint counts as warm, provided that the latest does not report it as cold.
	WarmAfter int `json:"warm_after" yaml:"warm_after"`
	// Role is the role that an engine is ordered to take; empty leaves its role
	// unchanged.
	Role string `json:"role,omitempty" yaml:"role,omitempty"`
	// ChecksFence says that the endpoint rejects orders with an outdated fencing
	// token.
	ChecksFence bool `json:"checks_fence,omitempty" yaml:"checks_fence,omitempty"`
	// Leaving takes the endpoint out of service: it gets no new work.
	Leaving bool `json:"leaving,omitempty" yaml:"leaving,omitempty"`
}

// Pipeline is a sequence of stages with a common deadline.
type Pipeline struct {
	Name string `json:"name" yaml:"name"`
	// TimeoutMs is the longest time from the receipt of a request to its deadline.
	// A caller may only shorten it.
	TimeoutMs int     `json:"deadline_ms" yaml:"deadline_ms"`
	Stages    []Stage `json:"stages" yaml:"stages"`
}

// Timeout returns TimeoutMs as a duration.
func (p Pipeline) Timeout() time.Duration { return time.Duration(p.TimeoutMs) * time.Millisecond }

// Stage is one step of a pipeline.
type Stage struct {
	Name    string `json:"name" yaml:"name"`
	Service string `json:"service" yaml:"service"`
	// Path is the URL path at the endpoint, starting with a slash.
	Path string `json:"path" yaml:"path"`
	// AtMostOnce says that the stage may not be repeated.
	AtMostOnce bool `json:"once,omitempty" yaml:"once,omitempty"`
	// MaxTokens bounds the number of tokens that an engine generates; required for a
	// stage of an engine service.
	MaxTokens int   `json:"max_tokens,omitempty" yaml:"max_tokens,omitempty"`
	Price     Price `json:"price" yaml:"price"`
}

// Price is the price of a stage, in millionths of the operators' currency unit.
type Price struct {
	PerCall int64 `json:"per_call" yaml:"per_call"`
	// PerPromptToken applies to prompt tokens that were not in the engine's prefix
	// cache, PerCachedToken to those that were.
	PerPromptToken     int64 `json:"per_prompt_token" yaml:"per_prompt_token"`
	PerCachedToken     int64 `json:"per_cached_token" yaml:"per_cached_token"`
	PerCompletionToken int64 `json:"per_completion_token" yaml:"per_completion_token"`
}

// Customer is a sender of requests.
type Customer struct {
	Name string `json:"name" yaml:"name"`
	// Share is the customer's weight, relative to other customers, when capacity is
	// scarce.
	Share int `json:"share" yaml:"share"`
	// Pipelines are the names of the pipelines that the customer may call; empty
	// allows none.
	Pipelines []string `json:"pipelines" yaml:"pipelines"`
}

// Settings are values that apply to the whole fleet.
type Settings struct {
	// RetryPercent is the number of retries that a host's 100 first attempts to a
	// service allow it.
	RetryPercent int `json:"retry_percent" yaml:"retry_percent"`
	// HedgePercent is the number of hedges that a host's 100 first attempts to a
	// service allow it; 0 disables hedging.
	HedgePercent int `json:"hedge_percent" yaml:"hedge_percent"`
	// QueueLimit is the number of requests that may wait for admission on one host.
	QueueLimit int `json:"queue_limit" yaml:"queue_limit"`
	// ClaimWindowSeconds is the claim window: how long an idempotency key is valid
	// after its timestamp.
	ClaimWindowSeconds int `json:"claim_window_seconds" yaml:"claim_window_seconds"`
	// WeightLoadsPerMinute is the number of weight loads per minute that the
	// weight store can serve to all zones together; 0 selects the default of
	// package order.
	WeightLoadsPerMinute int `json:"weight_loads_per_minute,omitempty" yaml:"weight_loads_per_minute,omitempty"`
}

// DefaultSettings apply until a note changes them.
var DefaultSettings = Settings{RetryPercent: 10, HedgePercent: 0, QueueLimit: 512, ClaimWindowSeconds: 3600}
