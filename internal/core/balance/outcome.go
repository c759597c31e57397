package balance

import (
	"time"

	"github.com/pimentorill/pimentorill/internal/core/catalog"
	"github.com/pimentorill/pimentorill/internal/port"
)

// Outcome is how an exchange with an endpoint ended.
type Outcome uint8

// The outcomes.
const (
	// Cancelled is an exchange that ended for a reason that says nothing about the
	// endpoint's health.
	Cancelled Outcome = iota
	// Succeeded is a usable response.
	Succeeded
	// Failed is a response that reports a failure.
	Failed
	// NoCapacity is a refusal because the endpoint has no capacity left.
	NoCapacity
	// ConnectionFailed is a failed connection.
	ConnectionFailed
	// GivenUp is an exchange that this host gave up because the endpoint was silent.
	GivenUp
	// AddressReused is an address that now belongs to another endpoint.
	AddressReused
)

// ObserveLoad records the load that an endpoint reports in the header of a response. It has no
// effect if load is nil. While the response arrives, its exchange counts as in flight.
func (b *Balancer) ObserveLoad(e *catalog.Endpoint, load *port.EndpointLoad) {
	if load == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.recordLoad(e, b.stateOf(e), load)
}

// Done ends an exchange that Pick counted. load is nil if the endpoint reported
// none, or ObserveLoad was called with it. Done returns true after ConnectionFailed, GivenUp
// and AddressReused, and if the endpoint has just become suspect.
func (b *Balancer) Done(e *catalog.Endpoint, o Outcome, load *port.EndpointLoad) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.stateOf(e)
	s.inFlight = max(0, s.inFlight-1)
	if o == NoCapacity {
		b.advisories.RecordRefusal(e)
	}
	if load != nil {
		b.recordLoad(e, s, load)
	}
	return b.recordOutcome(s, o)
}

// PathFound records that an endpoint, connections to which failed, is reached on another
// path: it neither backs off nor counts as restarted because of these failures.
func (b *Balancer) PathFound(e *catalog.Endpoint) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.stateOf(e)
	s.backoff, s.backoffUntil, s.restartColdUntil = 0, time.Time{}, time.Time{}
}

// recordOutcome records the outcome and returns what Done returns. The caller holds b.mu.
func (b *Balancer) recordOutcome(s *endpointState, o Outcome) bool {
	now := b.clock.Now()
	switch o {
	case Succeeded:
		s.backoff = 0
		return s.recordResponse(true, now)
	case Failed:
		return s.recordResponse(false, now)
	case NoCapacity:
		s.backoffUntil = now.Add(minBackoff / 4)
	case ConnectionFailed, AddressReused, GivenUp:
		s.backoff = min(maxBackoff, max(minBackoff, 2*s.backoff))
		s.backoffUntil = now.Add(s.backoff)
		// The endpoint may have restarted before its registration says so. A silent one
		// has not.
		if s.warmUpTime > 0 && o != GivenUp {
			s.restartColdUntil = now.Add(s.backoff + s.warmUpTime)
		}
		return true
	}
	return false
}

// recordResponse records whether a response was usable, and reports whether the
// endpoint has become suspect.
func (s *endpointState) recordResponse(success bool, now time.Time) bool {
	s.recentSuccesses = append(s.recentSuccesses, success)
	if len(s.recentSuccesses) > failureWindow {
		s.recentSuccesses = s.recentSuccesses[1:]
	}
	failed := 0
	for _, o := range s.recentSuccesses {
		if !o {
			failed++
		}
	}
	if failed < suspectThreshold {
		return false
	}
	s.recentSuccesses = s.recentSuccesses[:0]
	s.suspectUntil = now.Add(suspectDuration)
	return true
}
