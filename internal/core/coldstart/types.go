// Package coldstart keeps the number of attempts that run on an endpoint in a
// cold start, summed over all hosts, within the endpoint's limit. In each
// availability zone the holder of the zone's lease runs a PermitIssuer, which
// issues permits with a lifetime. Every host's Limiter sends attempts to a cold
// endpoint only under a permit, and treats an endpoint as cold from the first
// sign that it may be.
//
// Callers pass in the current time. Hosts exchange durations only, so their
// clocks may be offset from each other, but must run at about the same rate.
package coldstart

import "time"

const (
	// MaxPermitLifetime is the longest lifetime that a permit can be issued with.
	MaxPermitLifetime = 30 * time.Second
	// CancelGrace is how long an endpoint may keep running an attempt after its
	// caller has cancelled it.
	CancelGrace = 5 * time.Second
	// ResetGrace is how long an endpoint may keep running an attempt after the
	// endpoint itself has closed the connection.
	ResetGrace = time.Second
	// MaxLeaseOverlap is how long two hosts may both believe that they hold the lease.
	MaxLeaseOverlap = 5 * time.Second
	// TakeoverDelay is how long a new lease holder waits before it issues
	// permits, if permits of an earlier holder may still be in use.
	TakeoverDelay = MaxPermitLifetime + CancelGrace + MaxLeaseOverlap
	// permitLifetimeMargin is how much longer a permit is requested for than the
	// attempt's time to its deadline.
	permitLifetimeMargin = 500 * time.Millisecond
	// permitRetryDelay is how long a host waits before its next request after it
	// got no permit.
	permitRetryDelay = 200 * time.Millisecond
)

// Epoch numbers the successive cold and warm states of an endpoint. A later
// state has a higher number, also under a later lease.
type Epoch uint64

// epochCounterBits is the number of low bits of an Epoch that count states under
// one lease; the bits above hold the lease's fencing token.
const epochCounterBits = 24

// next returns the epoch that follows e under the lease with this fencing token.
func (e Epoch) next(fence uint64) Epoch { return max(e+1, Epoch(fence<<epochCounterBits)) }

// Status is the state of an endpoint as the lease holder broadcasts it.
type Status struct {
	Endpoint string `json:"endpoint"`
	Epoch    Epoch  `json:"epoch"`
	// Warm says that the endpoint is warm; otherwise it may be cold.
	Warm bool `json:"warm"`
	// Incarnation identifies the endpoint process that is warm; empty if unknown or
	// if Warm is false.
	Incarnation string `json:"incarnation"`
}

// Suspicion is what a host broadcasts when it saw a sign that an endpoint may be
// cold. Epoch is the endpoint's latest epoch that the host knows.
type Suspicion struct {
	Endpoint string `json:"endpoint"`
	Epoch    Epoch  `json:"epoch"`
}

// PermitRequest is a host's message to the lease holder: it returns permits and
// requests new ones. A request that is lost, delayed or repeated can make permits
// unusable until they expire, but never lets an endpoint exceed its limit.
type PermitRequest struct {
	Endpoint string `json:"endpoint"`
	// KnownEpoch is the latest epoch that the host knows.
	KnownEpoch Epoch `json:"known"`
	// BelievedWarm says that KnownEpoch was announced as warm and that the host has
	// applied no broadcast suspicion since. Suspected does not affect it.
	BelievedWarm bool `json:"warm"`
	// Suspected says that the host itself saw a sign of a cold start that the
	// lease holder has not yet acknowledged.
	Suspected bool `json:"doubt"`
	// Count is the number of permits requested. With 0 the request only returns
	// permits or passes on a suspicion.
	Count int `json:"count"`
	// Lifetime is the requested lifetime of the permits; the issuer grants at most
	// MaxPermitLifetime.
	Lifetime time.Duration `json:"lifetime"`
	// Returns are the permits that the host no longer needs.
	Returns []PermitReturn `json:"returns"`
	// suspicionCount is the host's count of its own suspicions when it built the
	// request; it is not sent.
	suspicionCount int
}

// PermitReturn returns a permit that was not used or whose attempt has ended.
type PermitReturn struct {
	Permit uint64 `json:"permit"`
	// Fence is the fencing token of the lease under which the permit was issued.
	Fence uint64 `json:"fence"`
	// Answered says that the host received the attempt's complete response.
	Answered bool `json:"answered"`
	// MayStillRun says that the endpoint may keep running the attempt for ResetGrace.
	MayStillRun bool `json:"lingers"`
	// Incarnation and Cold are from the load report that came with the attempt's
	// response; Incarnation is empty if there was none.
	Incarnation string `json:"incarnation"`
	Cold        bool   `json:"cold"`
}

// PermitReply is the lease holder's reply to a PermitRequest.
type PermitReply struct {
	Status Status `json:"word"`
	// Fence is the fencing token of the holder's lease.
	Fence uint64 `json:"fence"`
	// Permits are the ids of the permits issued, which may be fewer than requested.
	Permits []uint64 `json:"permits"`
	// Lifetime of the permits counts from when the host sent the request.
	Lifetime time.Duration `json:"lifetime"`
	// RetryAfter is how long the host should wait before its next request for
	// permits; 0 means that it need not wait.
	RetryAfter time.Duration `json:"retry_after"`
}
