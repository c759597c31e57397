// Package balance chooses the endpoint of an exchange by the prompt part that
// the endpoint probably has cached, by its load and pace as reported and as far as they
// last, and by zone. It limits the rate of sends to endpoints that have just started, and
// keeps to the rate limits that endpoints name.
package balance

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pimentorill/pimentorill/internal/core/advisory"
	"github.com/pimentorill/pimentorill/internal/core/catalog"
	"github.com/pimentorill/pimentorill/internal/core/ratelimit"
	"github.com/pimentorill/pimentorill/internal/port"
)

const (
	// reportMaxAge is how long a load report is used.
	reportMaxAge = 2 * time.Second
	// minBackoff and maxBackoff bound the backoff, which is how long an endpoint
	// is not picked after its connection failed. The backoff doubles with each
	// such failure until a usable response. After a refusal for lack of capacity
	// it is a quarter of minBackoff.
	minBackoff = 500 * time.Millisecond
	maxBackoff = 4 * time.Second
	// coldSendWindow is the window in which sends to a cold endpoint are
	// counted: the one second in which the platform counts them, plus the
	// variation in their transit time.
	coldSendWindow = 1250 * time.Millisecond
	// failureWindow is the number of recent responses of an endpoint among which
	// failures are counted.
	failureWindow = 8
	// suspectThreshold is the number of failures in the window that makes an
	// endpoint suspect. The ordinary errors of a service stay below it.
	suspectThreshold = 5
	// suspectDuration is how long a suspect endpoint is picked only if no other
	// is available.
	suspectDuration = 2 * time.Second
)

// Criteria describes the exchange that an endpoint is picked for.
type Criteria struct {
	Service *catalog.Service
	// Zone is the preferred zone. Empty means that the host's own zone has a lower
	// cost, but that the choice by CacheKey considers all zones.
	Zone string
	// CacheKey identifies the prompt part that should be cached; empty if there
	// is none.
	CacheKey string
	// Avoid holds the ids of endpoints that the exchange has already been sent
	// to.
	Avoid map[string]bool
}

// Balancer tracks the load and health of endpoints as this host observes them.
// It is safe for concurrent use.
type Balancer struct {
	self, zone    string
	clock         port.Clock
	coldSendLimit ColdSendLimit
	rateLimits    *ratelimit.Limiter
	advisories    *advisory.Registry

	mu     sync.Mutex
	rng    *rand.Rand
	states map[catalog.Incarnation]*endpointState
	// runTimes holds the mean duration of exchanges, by name of service.
	runTimes map[string]time.Duration
	// meanUses holds the mean of the use of the slots as reported.
	meanUses map[peerGroup]float64
	// hosts divides the limits; hostsVersion increases with each change.
	hosts        ratelimit.Division
	hostsVersion int
}

// endpointState is the state of one incarnation of an endpoint.
type endpointState struct {
	// inFlight is the number of this host's exchanges in flight.
	inFlight int
	// reportedLoad is the number of requests from all hosts that run or wait at
	// the endpoint at reportedAt, inFlightAtReport the value of inFlight then.
	reportedLoad     int
	inFlightAtReport int
	// reportedWaiting means that requests waited at the endpoint then.
	reportedWaiting bool
	// reportedSlowdown is how long work took at the endpoint then, as a multiple of the usual; 0
	// if not reported.
	reportedSlowdown float64
	// excess is by how much the use of the slots has been above the mean of the peers, as
	// reported, the newest reports weighing most.
	excess       float64
	reportedAt   time.Time
	backoffUntil time.Time
	backoff      time.Duration
	coldUntil    time.Time
	// restartColdUntil is until when the endpoint is cold if it restarted when its
	// connections failed.
	restartColdUntil time.Time
	// coldSends holds the times of recent sends while the endpoint was cold.
	coldSends []time.Time
	// recentSuccesses holds, for each of the latest responses, whether it was
	// usable.
	recentSuccesses []bool
	suspectUntil    time.Time
	// registered says that UpdateEndpoint was called for the incarnation.
	registered bool
	// warmUpTime is how long the endpoint is cold after a start; 0 if its service
	// has no rate limit for cold endpoints.
	warmUpTime time.Duration
	// rank is this host's rank for the endpoint in version rankVersion of the hosts.
	rank, rankVersion int
}

// New returns a Balancer for the host self in the zone that does not divide its limits
// until SetHosts is called. The caller must not use rng afterwards.
func New(self, zone string, clock port.Clock, rng *rand.Rand, coldSendLimit ColdSendLimit, rateLimits *ratelimit.Limiter, advisories *advisory.Registry) *Balancer {
	return &Balancer{self: self, zone: zone, hosts: ratelimit.NewDivision(self, nil, 1), hostsVersion: 1, clock: clock, rng: rng, coldSendLimit: coldSendLimit, rateLimits: rateLimits, advisories: advisories, states: make(map[catalog.Incarnation]*endpointState), runTimes: make(map[string]time.Duration), meanUses: make(map[peerGroup]float64)}
}

// UpdateEndpoint applies an endpoint's registration; service is nil if it is
// unknown. afterFirstRead says that the registration was not part of the host's
// first read of the store. If UpdateEndpoint sees the incarnation for the first
// time then, it has just started and is cold for at least its service's warm-up
// time.
func (b *Balancer) UpdateEndpoint(e *catalog.Endpoint, service *catalog.Service, afterFirstRead bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.stateOf(e)
	if service != nil && service.WarmUpRate > 0 {
		s.warmUpTime = service.WarmUpTime
	}
	remaining := e.WarmUpRemaining
	if afterFirstRead && !s.registered && service != nil {
		remaining = max(remaining, service.WarmUpTime)
	}
	s.registered = true
	s.extendCold(b.clock.Now(), remaining)
}

// MarkCold treats an endpoint that may have become cold as cold for its
// service's warm-up time. It has no effect if service is nil.
func (b *Balancer) MarkCold(e *catalog.Endpoint, service *catalog.Service) {
	if service == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stateOf(e).extendCold(b.clock.Now(), service.WarmUpTime)
}

// Prune removes the state of the incarnations for which keep returns false and
// which have no exchange of this host in flight. keep must not call the
// Balancer.
func (b *Balancer) Prune(keep func(catalog.Incarnation) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for incarnation, s := range b.states {
		if s.inFlight == 0 && !keep(incarnation) {
			delete(b.states, incarnation)
		}
	}
}

// extendCold marks the endpoint as cold for the remaining time, and never
// shortens its cold period.
func (s *endpointState) extendCold(now time.Time, remaining time.Duration) {
	if until := now.Add(remaining); remaining > 0 && until.After(s.coldUntil) {
		s.coldUntil = until
	}
}

// isCold reports whether the endpoint is cold or may be.
func (s *endpointState) isCold(now time.Time) bool {
	return now.Before(s.coldUntil) || now.Before(s.restartColdUntil)
}

// stateOf returns the state of the endpoint's incarnation and creates it if
// needed. The caller holds b.mu.
func (b *Balancer) stateOf(e *catalog.Endpoint) *endpointState {
	s := b.states[e.Incarnation()]
	if s == nil {
		s = &endpointState{}
		b.states[e.Incarnation()] = s
	}
	return s
}

// load returns the estimated number of requests from all hosts that the
// endpoint runs and queues. Without a recent report it returns only the number of
// this host's exchanges in flight.
func (s *endpointState) load(now time.Time) float64 {
	if s.reportedAt.IsZero() || now.Sub(s.reportedAt) > reportMaxAge {
		return float64(s.inFlight)
	}
	return float64(max(s.inFlight, s.reportedLoad+s.inFlight-s.inFlightAtReport))
}

// isFull reports whether the endpoint is known to have no free slot, or had requests that
// waited at its last report.
func (s *endpointState) isFull(e *catalog.Endpoint, now time.Time) bool {
	return s.load(now) >= float64(e.Slots) || s.reportedWaiting && now.Sub(s.reportedAt) <= reportMaxAge
}

// Pick chooses one of the endpoints and counts an exchange as sent to it; the
// caller must call Done when the exchange ends. It returns nil if no endpoint
// may be picked. Suspect endpoints are picked only if no others may be.
func (b *Balancer) Pick(endpoints []*catalog.Endpoint, criteria Criteria) *catalog.Endpoint {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	cands := b.candidates(endpoints, criteria, now, false)
	if len(cands) == 0 {
		cands = b.candidates(endpoints, criteria, now, true)
	}
	c := b.choose(cands, criteria)
	if c == nil {
		return nil
	}
	c.state.inFlight++
	b.rateLimits.RecordSend(c.endpoint.Incarnation())
	if c.state.isCold(now) {
		c.state.coldSends = append(c.state.coldSends, now)
	}
	return c.endpoint
}

// Peek returns the endpoint that Pick would choose now, without counting an
// exchange and without suspect endpoints.
func (b *Balancer) Peek(endpoints []*catalog.Endpoint, criteria Criteria) *catalog.Endpoint {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.choose(b.candidates(endpoints, criteria, b.clock.Now(), false), criteria)
	if c == nil {
		return nil
	}
	return c.endpoint
}

// candidates returns the endpoints that may be picked, including suspect ones
// if includeSuspects is set. The caller holds b.mu.
func (b *Balancer) candidates(endpoints []*catalog.Endpoint, criteria Criteria, now time.Time, includeSuspects bool) []candidate {
	var cands []candidate
	for _, e := range endpoints {
		if criteria.Avoid[e.ID] {
			continue
		}
		s := b.stateOf(e)
		if now.Before(s.backoffUntil) || !includeSuspects && now.Before(s.suspectUntil) {
			continue
		}
		if limit := criteria.Service.MaxConnections; limit > 0 && s.inFlight >= b.share(e, s, limit) {
			continue
		}
		if s.isCold(now) && !b.allowsColdSend(e, s, criteria.Service, now) {
			continue
		}
		if !b.rateLimits.Allows(e.Incarnation(), false) || !b.advisories.Allows(e, s.inFlight, s.isFull(e, now)) {
			continue
		}
		cands = append(cands, candidate{endpoint: e, state: s})
	}
	b.estimate(cands, now)
	return cands
}

// CanPick reports whether Pick would return an endpoint now.
func (b *Balancer) CanPick(endpoints []*catalog.Endpoint, criteria Criteria) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.candidates(endpoints, criteria, b.clock.Now(), true)) > 0
}

// Unavailable reports whether the endpoint is currently not picked because of
// its backoff, or only as a last resort because it is suspect.
func (b *Balancer) Unavailable(e *catalog.Endpoint) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.states[e.Incarnation()]
	now := b.clock.Now()
	return s != nil && (now.Before(s.backoffUntil) || now.Before(s.suspectUntil))
}
