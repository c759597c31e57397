package coldstart

import (
	"slices"
	"time"

	"github.com/pimentorill/pimentorill/internal/port"
)

const (
	// maxRequestsPerSlot is the number of requests per slot at which this host
	// sends no further attempt to a warm endpoint. It counts the requests of all
	// hosts, running and waiting.
	maxRequestsPerSlot = 2
	// initialWindow is the number of concurrent attempts that one host sends to
	// an endpoint that has just become warm. The window grows by one with
	// each response.
	initialWindow = 1
	// maxReportAge bounds the age of an endpoint's load report: for this long
	// after an epoch began, a report may still describe the state before it.
	maxReportAge = 3 * time.Second
	// maxRequiredPermitTime is the remaining lifetime that a permit needs for an
	// attempt whose deadline is later than any permit can last. As the lifetime
	// counts from the sending of the permit request, such an attempt can start up
	// to 2 s after it.
	maxRequiredPermitTime = MaxPermitLifetime - 2*time.Second
	// maxIncarnations is the number of processes of one endpoint that are
	// remembered, so that late reports of earlier ones are recognised.
	maxIncarnations = 8
)

// limiterState is what a Limiter knows of one endpoint. The Limiter's mu guards it.
type limiterState struct {
	endpoint string
	epoch    Epoch
	// announcedWarm says that the last applied status was warm and that no
	// broadcast suspicion has been applied since.
	announcedWarm bool
	// fence is the highest fencing token seen in a reply.
	fence uint64
	// suspicionCount counts how often this host has suspected that the endpoint is
	// cold; acknowledgedCount is how many of these suspicions the lease holder has
	// acknowledged.
	suspicionCount, acknowledgedCount int
	// statusAppliedAt is when the last applied status was received or, if it came
	// with a reply, when the request was sent.
	statusAppliedAt time.Time
	// incarnations are the endpoint processes seen since the last applied status,
	// the newest last.
	incarnations []string

	// inFlight counts this host's admitted attempts that have not ended.
	inFlight int
	// window bounds inFlight while the endpoint is warm.
	window int
	// permits are the permits that are not used yet; some may have expired.
	permits []*permit
	// pendingReturns are the permits to return with the next request.
	pendingReturns []PermitReturn

	// lastLoad is the endpoint's latest load report, inFlightAtReport this
	// host's attempts in flight when it arrived.
	lastLoad         port.LoadReport
	inFlightAtReport int
}

// permit allows one attempt on a cold endpoint, which must end before expires.
type permit struct {
	id, fence uint64
	expires   time.Time
}

func (s *limiterState) suspected() bool { return s.suspicionCount > s.acknowledgedCount }

func (s *limiterState) warm() bool { return s.announcedWarm && !s.suspected() }

// applyStatus applies a status with a newer epoch and ignores any other.
func (s *limiterState) applyStatus(now time.Time, status Status) {
	if status.Epoch <= s.epoch {
		return
	}
	s.epoch, s.announcedWarm = status.Epoch, status.Warm
	s.statusAppliedAt = now
	s.window = initialWindow
	s.lastLoad = port.LoadReport{}
	s.incarnations = nil
	if status.Incarnation != "" {
		s.incarnations = []string{status.Incarnation}
	}
}

// isFull reports whether a warm endpoint may be sent no further attempt.
func (s *limiterState) isFull(slots int) bool {
	return s.inFlight >= min(s.window, slots) || s.estimatedRequests() >= maxRequestsPerSlot*slots
}

// takePermit removes and returns a permit that lasts until deadline, or for
// maxRequiredPermitTime if that is shorter; nil if there is none.
func (s *limiterState) takePermit(now, deadline time.Time) *permit {
	if latest := now.Add(maxRequiredPermitTime); deadline.After(latest) {
		deadline = latest
	}
	for i, p := range s.permits {
		if !p.expires.Before(deadline) && now.Before(p.expires) {
			s.permits = slices.Delete(s.permits, i, i+1)
			return p
		}
	}
	return nil
}

// estimatedRequests returns the number of requests at the endpoint: the last
// report, adjusted by the attempts that this host has begun and ended since, or
// this host's attempts in flight if they are more.
func (s *limiterState) estimatedRequests() int {
	reported := s.lastLoad.Running + s.lastLoad.Waiting
	return max(s.inFlight, reported+s.inFlight-s.inFlightAtReport)
}

// observeOutcome records an attempt's load report and reports whether the
// outcome is a sign of a cold start.
func (s *limiterState) observeOutcome(now time.Time, outcome Outcome) bool {
	coldSign := outcome.ConnectionClosed
	if outcome.Load == nil {
		return coldSign
	}
	s.lastLoad, s.inFlightAtReport = *outcome.Load, s.inFlight
	if s.observeIncarnation(outcome.Load.Incarnation) {
		coldSign = true
	}
	if s.announcedWarm && outcome.Load.Cold && now.Sub(s.statusAppliedAt) > maxReportAge {
		coldSign = true
	}
	return coldSign
}

// observeIncarnation records the process that a load report names. It reports
// whether the endpoint has restarted, that is, the process is new and not the
// first one seen. Late reports of earlier processes are ignored.
func (s *limiterState) observeIncarnation(incarnation string) bool {
	if incarnation == "" || slices.Contains(s.incarnations, incarnation) {
		return false
	}
	s.incarnations = append(s.incarnations, incarnation)
	if len(s.incarnations) > maxIncarnations {
		s.incarnations = s.incarnations[1:]
	}
	return len(s.incarnations) > 1
}

// returnUnusedPermits moves the unused permits that have not expired to
// pendingReturns and drops the others.
func (s *limiterState) returnUnusedPermits(now time.Time) {
	for _, p := range s.permits {
		if now.Before(p.expires) {
			s.pendingReturns = append(s.pendingReturns, p.toReturn(Outcome{}))
		}
	}
	s.permits = nil
}

// toReturn returns the PermitReturn for the permit and its attempt's outcome.
func (p *permit) toReturn(outcome Outcome) PermitReturn {
	r := PermitReturn{Permit: p.id, Fence: p.fence, Answered: outcome.Answered, MayStillRun: outcome.ConnectionClosed && !outcome.Stopped}
	if outcome.Load != nil {
		r.Incarnation, r.Cold = outcome.Load.Incarnation, outcome.Load.Cold
	}
	return r
}
