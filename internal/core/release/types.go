// Package release holds what operators put in force: the release, its parts,
// and the notes that change it. It parses and checks notes, applies them to
// a base release and compares versions. A Release is immutable once built;
// all functions are safe for concurrent use.
package release

import "time"

// Release is everything in force under one version.
type Release struct {
	Version    uint64     `json:"version" yaml:"version"`
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
	// Adapters are the names of the adapters that may be loaded with it.
	Adapters []string `json:"adapters,omitempty" yaml:"adapters,omitempty"`
}

// ServiceKind tells how a service is spoken to.
type ServiceKind string

// The kinds of services.
const (
	// KindEngine is a model engine: completions, streamed.
	KindEngine ServiceKind = "engine"
	// KindPool is a pool of encoders, retrievers or rerankers.
	KindPool ServiceKind = "pool"
	// KindPlain is a service beside the engines.
	KindPlain ServiceKind = "plain"
)

// Service is a group of equal endpoints.
type Service struct {
	Name string      `json:"name" yaml:"name"`
	Kind ServiceKind `json:"kind" yaml:"kind"`
	// Model is the model that the service's engines hold; empty for others.
	Model string `json:"model,omitempty" yaml:"model,omitempty"`
}

// Endpoint is one server of a service.
type Endpoint struct {
	ID               string `json:"id" yaml:"id"`
	Service          string `json:"service" yaml:"service"`
	AvailabilityZone string `json:"availability_zone" yaml:"availability_zone"`
	// URL is the base URL, http://IP:PORT.
	URL string `json:"url" yaml:"url"`
	// Slots is the number of requests that it runs at a time when warm.
	Slots int `json:"slots" yaml:"slots"`
	// ColdLimit is the number of requests that it bears at a time in a cold start.
	ColdLimit int `json:"cold_limit" yaml:"cold_limit"`
	// WarmAfter is the number of answers after which a cold endpoint is warm.
	WarmAfter int `json:"warm_after" yaml:"warm_after"`
	// Role is the role that an engine is ordered into; empty leaves it alone.
	Role string `json:"role,omitempty" yaml:"role,omitempty"`
	// ChecksFence says that the endpoint refuses orders with an old fencing number.
	ChecksFence bool `json:"checks_fence,omitempty" yaml:"checks_fence,omitempty"`
	// Leaving takes the endpoint out of service: it gets no new work.
	Leaving bool `json:"leaving,omitempty" yaml:"leaving,omitempty"`
}

// Pipeline chains stages under one deadline.
type Pipeline struct {
	Name       string  `json:"name" yaml:"name"`
	DeadlineMs int     `json:"deadline_ms" yaml:"deadline_ms"`
	Stages     []Stage `json:"stages" yaml:"stages"`
}

// Deadline returns the pipeline's deadline as a duration.
func (p Pipeline) Deadline() time.Duration { return time.Duration(p.DeadlineMs) * time.Millisecond }

// Stage is one step of a pipeline.
type Stage struct {
	Name    string `json:"name" yaml:"name"`
	Service string `json:"service" yaml:"service"`
	// Path is the URL path on the endpoint, starting with a slash.
	Path string `json:"path" yaml:"path"`
	// AtMostOnce says that the stage may not be repeated.
	AtMostOnce bool `json:"once,omitempty" yaml:"once,omitempty"`
	// MaxTokens bounds what an engine generates.
	MaxTokens int   `json:"max_tokens,omitempty" yaml:"max_tokens,omitempty"`
	Price     Price `json:"price" yaml:"price"`
}

// Price is what a stage costs, in millionths of the operators' unit of currency.
type Price struct {
	PerCall            int64 `json:"per_call" yaml:"per_call"`
	PerPromptToken     int64 `json:"per_prompt_token" yaml:"per_prompt_token"`
	PerCachedToken     int64 `json:"per_cached_token" yaml:"per_cached_token"`
	PerCompletionToken int64 `json:"per_completion_token" yaml:"per_completion_token"`
}

// Customer is who sends requests.
type Customer struct {
	Name string `json:"name" yaml:"name"`
	// Share is the customer's weight when capacity is scarce.
	Share int `json:"share" yaml:"share"`
	// Pipelines are the names of the pipelines that it may call.
	Pipelines []string `json:"pipelines" yaml:"pipelines"`
}

// Settings are the values that hold for the whole fleet.
type Settings struct {
	// RetryPercent is the share of attempts that may be retries.
	RetryPercent int `json:"retry_percent" yaml:"retry_percent"`
	// HedgePercent is the share of attempts that may be hedges; 0 switches them off.
	HedgePercent int `json:"hedge_percent" yaml:"hedge_percent"`
	// QueueLimit is the number of requests that one host lets wait.
	QueueLimit int `json:"queue_limit" yaml:"queue_limit"`
	// ClaimWindowSeconds is how long an idempotency key is kept.
	ClaimWindowSeconds int `json:"claim_window_seconds" yaml:"claim_window_seconds"`
	// WeightLoadsPerMinute is what the weight store bears from all zones
	// together; 0 takes the default of the order package.
	WeightLoadsPerMinute int `json:"weight_loads_per_minute,omitempty" yaml:"weight_loads_per_minute,omitempty"`
}

// DefaultSettings are in force until a note changes them.
var DefaultSettings = Settings{RetryPercent: 10, HedgePercent: 0, QueueLimit: 512, ClaimWindowSeconds: 3600}
