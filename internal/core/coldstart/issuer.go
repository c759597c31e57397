package coldstart

import (
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/pimentorill/pimentorill/internal/core/release"
)

// Errors of PermitIssuer.Grant.
var (
	// ErrNotLeaseHolder means that this host does not hold the zone's lease.
	ErrNotLeaseHolder = errors.New("coldstart: not the holder of the zone's lease")
	// ErrTakeoverPending means that permits of an earlier holder may still be in use.
	ErrTakeoverPending = errors.New("coldstart: waiting out an earlier holder's permits")
)

// Lease is the zone's lease as this host sees it. Fence is the fencing token; 0
// means that this host does not hold the lease.
type Lease struct {
	Fence uint64
	// Since is a time at or after the host acquired the lease.
	Since time.Time
	// Until is a time at or before the lease's expiry.
	Until time.Time
	// NoEarlierPermits says that no permit of an earlier holder can be in use.
	NoEarlierPermits bool
	// EarlierPermitsUntil is the time from which no permit of an earlier holder can be
	// in use, if that holder has said so; zero otherwise.
	EarlierPermitsUntil time.Time
}

// takeoverUntil returns the time until which no permits are issued because those of an
// earlier holder may be in use.
func (l Lease) takeoverUntil() time.Time {
	switch {
	case l.NoEarlierPermits:
		return time.Time{}
	case !l.EarlierPermitsUntil.IsZero():
		return l.EarlierPermitsUntil
	default:
		return l.Since.Add(TakeoverDelay)
	}
}

// PermitIssuer issues the permits of one availability zone while this host holds
// the zone's lease. It is safe for concurrent use.
type PermitIssuer struct {
	// localStatus returns what this host's own Limiter knows of an endpoint.
	localStatus func(endpoint string) Status
	// broadcastStatus sends a status to all hosts. It is called with mu held,
	// so it must not block.
	broadcastStatus func(status Status)

	mu    sync.Mutex
	lease Lease
	// stopping is set while the holder issues no more permits but takes back those in
	// use.
	stopping     bool
	lastPermitID uint64
	endpoints    map[string]*issuerState
}

// issuerState is what a PermitIssuer knows of one endpoint. The issuer's mu guards it.
type issuerState struct {
	epoch Epoch
	warm  bool
	// incarnation identifies the endpoint process of this epoch; empty if unknown.
	incarnation string
	// responses counts the responses of that process in this cold start; the
	// endpoint becomes warm at its WarmAfter.
	responses int
	// outstanding are the permits that may be in use, by their ids.
	outstanding map[uint64]issuedPermit
}

// issuedPermit is a permit that may be in use.
type issuedPermit struct {
	// epoch is the endpoint's epoch in which the permit was issued.
	epoch Epoch
	// inUseUntil is the time from which no attempt under the permit can be running.
	inUseUntil time.Time
}

// NewPermitIssuer returns a PermitIssuer without a lease. broadcastStatus must not
// block or call the issuer.
func NewPermitIssuer(localStatus func(endpoint string) Status, broadcastStatus func(status Status)) *PermitIssuer {
	return &PermitIssuer{localStatus: localStatus, broadcastStatus: broadcastStatus, endpoints: make(map[string]*issuerState)}
}

// SetLease sets the lease as it is now. A change of the fencing token drops the
// state of all endpoints, outstanding permits included; Grant then issues no
// permits while those of an earlier holder may be in use: until TakeoverDelay after the
// lease's Since, unless the lease says otherwise.
func (iss *PermitIssuer) SetLease(l Lease) {
	iss.mu.Lock()
	defer iss.mu.Unlock()
	if l.Fence != iss.lease.Fence {
		clear(iss.endpoints)
	}
	iss.lease = l
}

// Grant handles a request for permits of an endpoint of this host's zone and returns
// the reply. The error is ErrNotLeaseHolder or ErrTakeoverPending.
func (iss *PermitIssuer) Grant(now time.Time, e release.Endpoint, req PermitRequest) (PermitReply, error) {
	iss.mu.Lock()
	defer iss.mu.Unlock()
	l := iss.lease
	if l.Fence == 0 || !now.Before(l.Until) {
		return PermitReply{}, ErrNotLeaseHolder
	}
	if now.Before(l.takeoverUntil()) {
		return iss.grantDuringTakeover(e.ID, req)
	}
	s := iss.stateOf(e.ID)
	s.removeExpired(now)
	for _, ret := range req.Returns {
		iss.acceptReturn(now, e, s, ret)
	}
	if s.needsNewColdStart(req) {
		iss.markCold(e.ID, s, req.KnownEpoch)
	}
	return iss.issuePermits(now, e, s, req), nil
}

// grantDuringTakeover handles a request while permits of an earlier holder may be
// in use. It issues no permits, but reports a warm endpoint and records
// suspicions. An endpoint of which this host knows nothing gets no state yet,
// since other hosts may still send its status. The caller holds mu.
func (iss *PermitIssuer) grantDuringTakeover(endpoint string, req PermitRequest) (PermitReply, error) {
	s, ok := iss.endpoints[endpoint]
	if !ok {
		if status := iss.localStatus(endpoint); status.Epoch == 0 && !req.Suspected {
			return PermitReply{}, ErrTakeoverPending
		}
		s = iss.stateOf(endpoint)
	}
	if s.needsNewColdStart(req) {
		iss.markCold(endpoint, s, req.KnownEpoch)
	}
	if !s.warm && !req.Suspected {
		return PermitReply{}, ErrTakeoverPending
	}
	return PermitReply{Status: s.status(endpoint), Fence: iss.lease.Fence, RetryAfter: permitRetryDelay}, nil
}

// stateOf returns the endpoint's state and creates it from this host's own
// knowledge if there is none. The caller holds mu.
func (iss *PermitIssuer) stateOf(endpoint string) *issuerState {
	s, ok := iss.endpoints[endpoint]
	if !ok {
		status := iss.localStatus(endpoint)
		s = &issuerState{epoch: status.Epoch.next(iss.lease.Fence), outstanding: make(map[uint64]issuedPermit)}
		if status.Warm {
			s.epoch, s.warm, s.incarnation = status.Epoch, true, status.Incarnation
		}
		iss.endpoints[endpoint] = s
	}
	return s
}

func (s *issuerState) status(endpoint string) Status {
	status := Status{Endpoint: endpoint, Epoch: s.epoch, Warm: s.warm}
	if s.warm {
		status.Incarnation = s.incarnation
	}
	return status
}

func (s *issuerState) removeExpired(now time.Time) {
	for id, p := range s.outstanding {
		if !now.Before(p.inUseUntil) {
			delete(s.outstanding, id)
		}
	}
}

// acceptReturn frees a returned permit, or keeps it for ResetGrace if its attempt
// may still run. It counts the attempt's response if the permit is of the current
// epoch. A response of another endpoint process restarts the count; enough
// responses make the endpoint warm. The caller holds mu.
func (iss *PermitIssuer) acceptReturn(now time.Time, e release.Endpoint, s *issuerState, ret PermitReturn) {
	p, ok := s.outstanding[ret.Permit]
	if !ok || ret.Fence != iss.lease.Fence {
		return
	}
	if ret.MayStillRun {
		p.inUseUntil = earlier(p.inUseUntil, now.Add(ResetGrace))
		s.outstanding[ret.Permit] = p
		return
	}
	delete(s.outstanding, ret.Permit)
	if s.warm || p.epoch != s.epoch || !ret.Answered {
		return
	}
	if ret.Incarnation != "" && ret.Incarnation != s.incarnation {
		if s.incarnation != "" {
			s.responses = 0
		}
		s.incarnation = ret.Incarnation
	}
	s.responses++
	if s.responses >= e.WarmAfter && !ret.Cold {
		s.warm = true
		s.epoch = s.epoch.next(iss.lease.Fence)
		iss.broadcastStatus(s.status(e.ID))
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// needsNewColdStart reports whether the request is a reason to begin a new cold
// start. While the endpoint is cold, a suspicion is a reason only if there are
// responses to discard or permits of this epoch whose responses must not count.
func (s *issuerState) needsNewColdStart(req PermitRequest) bool {
	if s.warm {
		return req.Suspected || (!req.BelievedWarm && req.KnownEpoch >= s.epoch)
	}
	if req.KnownEpoch > s.epoch {
		return true
	}
	return req.Suspected && (s.responses > 0 || s.currentEpochPermits() > 0)
}

// currentEpochPermits returns the number of outstanding permits of this epoch.
func (s *issuerState) currentEpochPermits() int {
	n := 0
	for _, p := range s.outstanding {
		if p.epoch == s.epoch {
			n++
		}
	}
	return n
}

// markCold begins a new cold start and broadcasts it. The caller holds mu.
func (iss *PermitIssuer) markCold(endpoint string, s *issuerState, known Epoch) {
	s.epoch = max(s.epoch, known).next(iss.lease.Fence)
	s.warm = false
	s.responses = 0
	s.incarnation = ""
	iss.broadcastStatus(s.status(endpoint))
}

// issuePermits issues as many of the requested permits as the cold limit allows,
// none for a warm endpoint, and returns the reply. The caller holds mu.
func (iss *PermitIssuer) issuePermits(now time.Time, e release.Endpoint, s *issuerState, req PermitRequest) PermitReply {
	r := PermitReply{Status: s.status(e.ID), Fence: iss.lease.Fence}
	if s.warm || req.Count == 0 {
		return r
	}
	r.Lifetime = min(req.Lifetime, MaxPermitLifetime)
	free := e.ColdLimit - len(s.outstanding)
	if iss.stopping {
		free = 0
	}
	for range min(req.Count, free) {
		iss.lastPermitID++
		s.outstanding[iss.lastPermitID] = issuedPermit{epoch: s.epoch, inUseUntil: now.Add(r.Lifetime + CancelGrace)}
		r.Permits = append(r.Permits, iss.lastPermitID)
	}
	if len(r.Permits) == 0 {
		r.RetryAfter = permitRetryDelay
	}
	return r
}

// StopIssuing makes the issuer issue no more permits under its lease. It still accepts
// returns.
func (iss *PermitIssuer) StopIssuing() {
	iss.mu.Lock()
	defer iss.mu.Unlock()
	iss.stopping = true
}

// InUseFor returns for how long permits may still be in use, 0 if none are.
func (iss *PermitIssuer) InUseFor(now time.Time) time.Duration {
	iss.mu.Lock()
	defer iss.mu.Unlock()
	return iss.inUseFor(now)
}

// inUseFor is InUseFor for a caller that holds mu.
func (iss *PermitIssuer) inUseFor(now time.Time) time.Duration {
	longest := time.Duration(0)
	for _, s := range iss.endpoints {
		for _, p := range s.outstanding {
			longest = max(longest, p.inUseUntil.Sub(now))
		}
	}
	return longest
}

// EndLease ends the lease, so that no more permits are issued, and returns InUseFor.
func (iss *PermitIssuer) EndLease(now time.Time) time.Duration {
	iss.mu.Lock()
	defer iss.mu.Unlock()
	longest := iss.inUseFor(now)
	clear(iss.endpoints)
	iss.lease, iss.stopping = Lease{}, false
	return longest
}
