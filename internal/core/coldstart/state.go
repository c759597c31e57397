package coldstart

import (
	"slices"
	"time"

	"github.com/pimentorill/pimentorill/internal/port"
)

const (
	// overcommit is the number of requests per slot, as reported and with this
	// host's own added, up to which a warm endpoint gets more.
	maxRequestsPerSlot = 2
	// initialWindow is the number of attempts that one host sends at a time to
	// an endpoint that has just become warm. It grows with each answer.
	initialWindow = 1
	// maxReportAge is how old an endpoint's report may be.
	maxReportAge = 3 * time.Second
	// maxRequiredPermitTime is how long a permit has to last for an attempt whose deadline is
	// later than any permit's end.
	maxRequiredPermitTime = MaxPermitLifetime - 2*time.Second
	// maxIncarnations is the number of earlier processes that late reports
	// are recognised from.
	maxIncarnations = 8
)

// state is what a Gate knows of one endpoint.
type limiterState struct {
	endpoint string
	epoch    Epoch
	// word is the holder's last word: whether the endpoint is warm.
	announcedWarm bool
	// fence is the highest fencing number that a reply came under.
	fence uint64
	// doubts counts this host's own doubts; settled is how many of them the
	// holder has answered.
	suspicions, answeredSuspicions int
	// epochChangedAt is when the epoch was taken over.
	epochChangedAt time.Time
	// incarnations are the processes seen in reports, the newest last.
	incarnations []string

	inFlight int
	// window bounds inFlight while warm.
	window  int
	permits []*permit
	// returns are for the next Ask.
	returns []PermitReturn

	lastLoad         port.Load
	inFlightAtReport int
}

// permit is the right to send one attempt that ends before it expires.
type permit struct {
	id, fence uint64
	expires   time.Time
}

func (s *limiterState) suspected() bool { return s.suspicions > s.answeredSuspicions }

func (s *limiterState) warm() bool { return s.announcedWarm && !s.suspected() }

// adopt takes over a newer word.
func (s *limiterState) applyStatus(now time.Time, w Status) {
	if w.Epoch <= s.epoch {
		return
	}
	s.epoch, s.announcedWarm = w.Epoch, w.Warm
	s.epochChangedAt = now
	s.window = initialWindow
	s.lastLoad = port.Load{}
	s.incarnations = nil
	if w.Incarnation != "" {
		s.incarnations = []string{w.Incarnation}
	}
}

// full reports whether a warm endpoint has no place for one more attempt.
func (s *limiterState) isFull(slots int) bool {
	return s.inFlight >= min(s.window, slots) || s.estimatedRequests() >= maxRequestsPerSlot*slots
}

// use takes a permit that lasts until deadline, or maxRequiredPermitTime if that is
// earlier; nil if there is none.
func (s *limiterState) takePermit(now, deadline time.Time) *permit {
	if long := now.Add(maxRequiredPermitTime); deadline.After(long) {
		deadline = long
	}
	for i, p := range s.permits {
		if !p.expires.Before(deadline) && now.Before(p.expires) {
			s.permits = slices.Delete(s.permits, i, i+1)
			return p
		}
	}
	return nil
}

// estimate returns the requests at the endpoint: the last report, corrected by
// what this host has begun and ended since.
func (s *limiterState) estimatedRequests() int {
	reported := s.lastLoad.Running + s.lastLoad.Waiting
	return max(s.inFlight, reported+s.inFlight-s.inFlightAtReport)
}

// judge takes what an attempt's end tells and reports a sign of a cold start.
func (s *limiterState) observeOutcome(now time.Time, end Outcome) bool {
	sign := end.ConnectionClosed
	if end.Load == nil {
		return sign
	}
	s.lastLoad, s.inFlightAtReport = *end.Load, s.inFlight
	if s.observeIncarnation(end.Load.Incarnation) {
		sign = true
	}
	if s.announcedWarm && end.Load.Cold && now.Sub(s.epochChangedAt) > maxReportAge {
		sign = true
	}
	return sign
}

// restarted notes the process that a report names and tells whether it is
// another one than the last. Reports of earlier processes come late and tell
// nothing.
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

// returnUnusedPermits moves the unused permits to the returns.
func (s *limiterState) returnUnusedPermits(now time.Time) {
	for _, p := range s.permits {
		if now.Before(p.expires) {
			s.returns = append(s.returns, p.toReturn(Outcome{}))
		}
	}
	s.permits = nil
}

// result returns the permit with what its attempt told.
func (p *permit) toReturn(end Outcome) PermitReturn {
	r := PermitReturn{Permit: p.id, Fence: p.fence, Answered: end.Answered, MayStillRun: end.ConnectionClosed && !end.Stopped}
	if end.Load != nil {
		r.Incarnation, r.Cold = end.Load.Incarnation, end.Load.Cold
	}
	return r
}
