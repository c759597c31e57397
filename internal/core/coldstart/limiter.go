package coldstart

import (
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/pimentorill/pimentorill/internal/core/release"
	"github.com/pimentorill/pimentorill/internal/port"
)

// Errors of Limiter.Admit.
var (
	// ErrEndpointFull means that this host may send no further attempt to a warm
	// endpoint for now.
	ErrEndpointFull = errors.New("coldstart: endpoint has no free slot")
	// ErrNoPermit means that the endpoint may be cold and this host has no
	// permit with enough time left.
	ErrNoPermit = errors.New("coldstart: no permit for a cold endpoint")
)

// Outcome describes how an attempt ended, as far as the endpoint is concerned.
type Outcome struct {
	// Stopped says that the endpoint is known not to be running the attempt.
	Stopped bool
	// Answered says that this host received the complete response.
	Answered bool
	// ConnectionClosed says that the endpoint closed or refused the connection.
	ConnectionClosed bool
	// Load is the endpoint's load report that came with the response; nil if none.
	Load *port.LoadReport
}

// Limiter bounds this host's concurrent attempts on each endpoint: by permits
// while the endpoint may be cold, and while it is warm by a window that grows up to
// the endpoint's slots and by its reported load. It is safe for concurrent use.
type Limiter struct {
	// broadcastSuspicion sends a suspicion to all hosts. It is called with mu
	// held, so it must not block.
	broadcastSuspicion func(suspicion Suspicion)

	mu        sync.Mutex
	endpoints map[string]*limiterState
}

// NewLimiter returns a Limiter that treats every endpoint as cold.
// broadcastSuspicion must not block or call the Limiter.
func NewLimiter(broadcastSuspicion func(suspicion Suspicion)) *Limiter {
	return &Limiter{broadcastSuspicion: broadcastSuspicion, endpoints: make(map[string]*limiterState)}
}

// Admission allows one attempt, which counts as in flight until Finish is called.
// permit is nil if the endpoint was warm.
type Admission struct {
	limiter *Limiter
	state   *limiterState
	permit  *permit
}

// Admit admits an attempt to the endpoint. The attempt must end by deadline, or
// by the Admission's PermitExpiry if that is earlier. The error is
// ErrEndpointFull or ErrNoPermit.
func (l *Limiter) Admit(now time.Time, e release.Endpoint, deadline time.Time) (*Admission, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stateOf(e.ID)
	a := &Admission{limiter: l, state: s}
	if s.warm() {
		if s.isFull(e.Slots) {
			return nil, ErrEndpointFull
		}
	} else if a.permit = s.takePermit(now, deadline); a.permit == nil {
		return nil, ErrNoPermit
	}
	s.inFlight++
	return a, nil
}

// PermitExpiry returns when the permit expires and the attempt must be cancelled;
// false if there is no permit, so that only the attempt's deadline applies.
func (a *Admission) PermitExpiry() (time.Time, bool) {
	if a.permit == nil {
		return time.Time{}, false
	}
	return a.permit.expires, true
}

// Finish ends the attempt. Call it once. It reports whether the lease holder
// should be sent a PermitRequest, to return permits or pass on a suspicion.
func (a *Admission) Finish(now time.Time, outcome Outcome) bool {
	l := a.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	s := a.state
	s.inFlight--
	if outcome.Answered {
		s.window++
	}
	if s.observeOutcome(now, outcome) {
		l.suspectLocked(s)
	}
	if a.permit != nil && (outcome.Stopped || outcome.ConnectionClosed) {
		s.pendingReturns = append(s.pendingReturns, a.permit.toReturn(outcome))
	}
	return len(s.pendingReturns) > 0 || s.suspected()
}

// Suspect marks the endpoint as possibly cold for a reason other than an
// attempt's outcome, such as an availability zone that is back in service.
func (l *Limiter) Suspect(endpoint string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.suspectLocked(l.stateOf(endpoint))
}

// suspectLocked records and broadcasts a suspicion. The caller holds mu.
func (l *Limiter) suspectLocked(s *limiterState) {
	s.suspicionCount++
	l.broadcastSuspicion(Suspicion{Endpoint: s.endpoint, Epoch: s.epoch})
}

// NewPermitRequest returns a request to the lease holder for count permits that
// last until deadline, or for MaxPermitLifetime if that is shorter. The request
// also returns this host's unused permits; if the request is lost, no host can use
// them until they expire.
func (l *Limiter) NewPermitRequest(now time.Time, endpoint string, count int, deadline time.Time) PermitRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stateOf(endpoint)
	s.returnUnusedPermits(now)
	req := PermitRequest{
		Endpoint: endpoint, KnownEpoch: s.epoch, BelievedWarm: s.announcedWarm, Suspected: s.suspected(), Count: count,
		Lifetime: min(max(0, deadline.Sub(now))+permitLifetimeMargin, MaxPermitLifetime),
		Returns:  s.pendingReturns, suspicionCount: s.suspicionCount,
	}
	s.pendingReturns = nil
	return req
}

// ApplyReply applies the lease holder's reply to req, which was sent at the time
// sent by this host's clock. A reply under an older lease than the last one is
// ignored.
func (l *Limiter) ApplyReply(sent time.Time, req PermitRequest, reply PermitReply) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stateOf(req.Endpoint)
	if reply.Fence < s.fence {
		return
	}
	s.fence = reply.Fence
	s.applyStatus(sent, reply.Status)
	if req.Suspected {
		s.acknowledgedCount = max(s.acknowledgedCount, req.suspicionCount)
	}
	for _, id := range reply.Permits {
		s.permits = append(s.permits, &permit{id: id, fence: reply.Fence, expires: sent.Add(reply.Lifetime)})
	}
}

// ApplyStatus applies a status that a lease holder broadcast, unless its epoch is
// not newer than the known one. While the holder has not acknowledged a suspicion
// of this host's own, the endpoint counts as cold here whatever the status says.
func (l *Limiter) ApplyStatus(now time.Time, status Status) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stateOf(status.Endpoint).applyStatus(now, status)
}

// ApplySuspicion applies a broadcast suspicion, unless it is about an older epoch
// than this host knows.
func (l *Limiter) ApplySuspicion(suspicion Suspicion) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stateOf(suspicion.Endpoint)
	if suspicion.Epoch >= s.epoch {
		s.epoch = suspicion.Epoch
		s.announcedWarm = false
	}
}

// Status returns what this host knows of the endpoint. Warm is false while this
// host suspects that the endpoint is cold.
func (l *Limiter) Status(endpoint string) Status {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stateOf(endpoint)
	status := Status{Endpoint: endpoint, Epoch: s.epoch, Warm: s.warm()}
	if n := len(s.incarnations); status.Warm && n > 0 {
		status.Incarnation = s.incarnations[n-1]
	}
	return status
}

// Prune removes the state of endpoints that are not in keep and have no attempt
// in flight.
func (l *Limiter) Prune(keep map[string]bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, s := range l.endpoints {
		if !keep[id] && s.inFlight == 0 {
			delete(l.endpoints, id)
		}
	}
}

// stateOf returns the endpoint's state and creates that of a cold endpoint if there
// is none. The caller holds mu.
func (l *Limiter) stateOf(endpoint string) *limiterState {
	s, ok := l.endpoints[endpoint]
	if !ok {
		s = &limiterState{endpoint: endpoint}
		l.endpoints[endpoint] = s
	}
	return s
}
