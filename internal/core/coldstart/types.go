// Package coldstart keeps the work on an endpoint in a cold start, summed
// over all hosts, within what the endpoint bears. For each availability zone
// the holder of the zone's lease gives out permits with a lifetime; every
// host's Gate sends work to a cold endpoint only under a permit, and finds
// out by the first doubt that an endpoint may be cold.
//
// Time is handed in. Between hosts only durations travel, so that hosts'
// clocks may differ; they must run at about the same rate.
package coldstart

import "time"

const (
	// MaxPermitLifetime is the longest lifetime of a permit.
	MaxPermitLifetime = 30 * time.Second
	// CancelGrace is how long an endpoint may go on with an attempt whose caller
	// has gone away.
	CancelGrace = 5 * time.Second
	// ResetGrace is how long an endpoint may go on with an attempt whose
	// connection it has closed itself.
	ResetGrace = time.Second
	// MaxLeaseOverlap is how long two hosts may both believe that they hold a lease.
	MaxLeaseOverlap = 5 * time.Second
	// TakeoverDelay is how long a new holder waits before its first permit, if an
	// earlier holder may have given out some.
	TakeoverDelay = MaxPermitLifetime + CancelGrace + MaxLeaseOverlap
	// permitLifetimeMargin is what a permit lasts beyond the attempt it is asked for.
	permitLifetimeMargin = 500 * time.Millisecond
	// denied is how long a host waits when no permit is free.
	permitRetryDelay = 200 * time.Millisecond
)

// Epoch numbers the states of an endpoint, cold or warm. A later state has a
// higher number, also under a later lease.
type Epoch uint64

// epochCounterBits is the part of an Epoch that counts states under one lease.
const epochCounterBits = 24

// next returns the epoch after e under the lease of that fencing number.
func (e Epoch) next(fence uint64) Epoch { return max(e+1, Epoch(fence<<epochCounterBits)) }

// Status is what the holder tells all hosts of an endpoint.
type Status struct {
	Endpoint string `json:"endpoint"`
	Epoch    Epoch  `json:"epoch"`
	Warm     bool   `json:"warm"`
	// Incarnation is the process that is warm, empty if it is not known.
	Incarnation string `json:"incarnation"`
}

// Suspected is what a host tells all hosts when an endpoint may be cold. Epoch is
// the last one that the host knew.
type Suspicion struct {
	Endpoint string `json:"endpoint"`
	Epoch    Epoch  `json:"epoch"`
}

// NewPermitRequest is a host's message to the holder: it gives permits back and asks for
// new ones. Each Ask may be lost, late or repeated without harm.
type PermitRequest struct {
	Endpoint string `json:"endpoint"`
	// Status is the last epoch that the host knows.
	KnownEpoch Epoch `json:"known"`
	// BelievedWarm says that the host takes the endpoint for warm.
	BelievedWarm bool `json:"warm"`
	// Suspected says that the host itself saw a sign of a cold start.
	Suspected bool `json:"doubt"`
	// Count is the number of permits wanted.
	Count int `json:"count"`
	// Lifetime is how long they should last.
	Lifetime time.Duration  `json:"lifetime"`
	Returns  []PermitReturn `json:"returns"`
	// doubts is the number of the host's doubts that the Ask tells of.
	suspicions int
}

// PermitReturn gives a permit back whose attempt has ended.
type PermitReturn struct {
	Permit uint64 `json:"permit"`
	// Fence is the fencing number of the lease under which it was given.
	Fence uint64 `json:"fence"`
	// Answered says that the whole answer came.
	Answered bool `json:"answered"`
	// MayStillRun says that the endpoint may go on with the attempt for ResetGrace.
	MayStillRun bool `json:"lingers"`
	// Incarnation and Cold are what the endpoint last reported; Incarnation is
	// empty if it reported nothing.
	Incarnation string `json:"incarnation"`
	Cold        bool   `json:"cold"`
}

// PermitReply is the holder's answer to an Ask.
type PermitReply struct {
	Status Status `json:"word"`
	// Fence is the fencing number of the holder's lease.
	Fence   uint64   `json:"fence"`
	Permits []uint64 `json:"permits"`
	// Lifetime counts from when the host sent the Ask.
	Lifetime time.Duration `json:"lifetime"`
	// RetryAfter is when to ask again if no permit was free.
	RetryAfter time.Duration `json:"retry_after"`
}
