// Package balance chooses the endpoint of an exchange by the prompt part that
// the endpoint probably has cached, by its load as reported and as sent since,
// and by zone. It limits the rate of sends to endpoints that have just started, and
// keeps to the rate limits that endpoints name.
package balance

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pimentorill/pimentorill/internal/core/catalog"
	"github.com/pimentorill/pimentorill/internal/core/ratelimit"
	"github.com/pimentorill/pimentorill/internal/port"
)

const (
	// remoteZonePenalty is added to the cost of an endpoint in another zone.
	// The cost is otherwise the load as a fraction of the slots.
	remoteZonePenalty = 0.25
	// maxImbalance and imbalanceSlack limit the load of an endpoint that is
	// picked for its cache to maxImbalance times the mean load of the
	// candidates plus imbalanceSlack, in requests.
	maxImbalance   = 1.3
	imbalanceSlack = 6.0
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

// ColdSendLimit limits the sends of all hosts together to a cold endpoint in
// any coldSendWindow. It applies to services with a warm-up rate.
type ColdSendLimit struct {
	// Overrun multiplies the service's warm-up rate, in sends per second; Slack is
	// a number of sends that is added to the product.
	Overrun, Slack float64
}

// Balancer tracks the load and health of endpoints as this host observes them.
// It is safe for concurrent use.
type Balancer struct {
	self, zone    string
	clock         port.Clock
	coldSendLimit ColdSendLimit
	rateLimits    *ratelimit.Limiter

	mu     sync.Mutex
	rng    *rand.Rand
	states map[catalog.Incarnation]*endpointState
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
	reportedAt       time.Time
	backoffUntil     time.Time
	backoff          time.Duration
	coldUntil        time.Time
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
func New(self, zone string, clock port.Clock, rng *rand.Rand, coldSendLimit ColdSendLimit, rateLimits *ratelimit.Limiter) *Balancer {
	return &Balancer{self: self, zone: zone, hosts: ratelimit.NewDivision(self, nil, 1), hostsVersion: 1, clock: clock, rng: rng, coldSendLimit: coldSendLimit, rateLimits: rateLimits, states: make(map[catalog.Incarnation]*endpointState)}
}

// SetHosts sets the hosts among which the limits on sends to cold endpoints and on
// connections are divided: those with the given ids and a number of others, which must
// be positive if there are no ids.
func (b *Balancer) SetHosts(ids []string, others int) {
	hosts := ratelimit.NewDivision(b.self, ids, others)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.hosts = hosts
	b.hostsVersion++
}

// share returns this host's share of a limit on all hosts together at the endpoint. The
// caller holds b.mu.
func (b *Balancer) share(e *catalog.Endpoint, s *endpointState, total int) int {
	if s.rankVersion != b.hostsVersion {
		s.rank, s.rankVersion = b.hosts.Rank(e.Incarnation(), 0), b.hostsVersion
	}
	return b.hosts.Share(total, s.rank)
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

// candidate is an endpoint that may be picked.
type candidate struct {
	endpoint   *catalog.Endpoint
	state      *endpointState
	load       float64
	hashWeight uint64
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
	if now.Before(c.state.coldUntil) {
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
		if now.Before(s.coldUntil) && !b.allowsColdSend(e, s, criteria.Service, now) {
			continue
		}
		if !b.rateLimits.Allows(e.Incarnation(), false) {
			continue
		}
		cands = append(cands, candidate{endpoint: e, state: s, load: s.load(now)})
	}
	return cands
}

// CanPick reports whether Pick would return an endpoint now.
func (b *Balancer) CanPick(endpoints []*catalog.Endpoint, criteria Criteria) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.candidates(endpoints, criteria, b.clock.Now(), true)) > 0
}

// RateLimitWait returns the time until the rate limit of one of the endpoints allows
// this host another exchange, maxWait if none does sooner. It reports false if no rate
// limit keeps Pick from choosing one of them.
func (b *Balancer) RateLimitWait(endpoints []*catalog.Endpoint, criteria Criteria, maxWait time.Duration) (time.Duration, bool) {
	shortest, limited := maxWait, false
	for _, e := range endpoints {
		if criteria.Avoid[e.ID] || b.rateLimits.Allows(e.Incarnation(), false) {
			continue
		}
		limited = true
		if wait, hasShare := b.rateLimits.Wait(e.Incarnation()); hasShare {
			shortest = min(shortest, wait)
		}
	}
	return shortest, limited
}

// allowsColdSend reports whether this host may send another exchange to a cold
// endpoint, and drops the sends that have left the window. Each host has a whole
// share of the limit, so the total holds without coordination. The caller holds b.mu.
func (b *Balancer) allowsColdSend(e *catalog.Endpoint, s *endpointState, service *catalog.Service, now time.Time) bool {
	if service.WarmUpRate <= 0 {
		return true
	}
	limit := b.share(e, s, int(service.WarmUpRate*b.coldSendLimit.Overrun+b.coldSendLimit.Slack))
	s.coldSends = slices.DeleteFunc(s.coldSends, func(at time.Time) bool { return now.Sub(at) > coldSendWindow })
	return len(s.coldSends) < limit
}

// choose returns a candidate whose rate limit is unconfirmed if there is one,
// otherwise the one that pickByCacheKey picks if there is a cache key, otherwise the one with the lowest cost, with ties broken at random. It
// returns nil if there are no candidates. It reorders cands. The caller holds
// b.mu.
func (b *Balancer) choose(cands []candidate, criteria Criteria) *candidate {
	if len(cands) == 0 {
		return nil
	}
	if i := slices.IndexFunc(cands, func(c candidate) bool { return b.rateLimits.Unconfirmed(c.endpoint.Incarnation()) }); i >= 0 {
		return &cands[i]
	}
	zone := criteria.Zone
	if zone == "" {
		zone = b.zone
	}
	if criteria.CacheKey != "" {
		if c := pickByCacheKey(cands, criteria.CacheKey, criteria.Zone); c != nil {
			return c
		}
	}
	b.rng.Shuffle(len(cands), func(i, j int) { cands[i], cands[j] = cands[j], cands[i] })
	cheapest := slices.MinFunc(cands, func(a, b candidate) int { return cmp.Compare(a.cost(zone), b.cost(zone)) })
	return &cheapest
}

// cost returns the load as a fraction of the slots, plus a penalty for
// endpoints outside the zone.
func (c candidate) cost(zone string) float64 {
	cost := c.load / float64(max(1, c.endpoint.Slots))
	if c.endpoint.Zone != zone {
		cost += remoteZonePenalty
	}
	return cost
}

// pickByCacheKey returns the first endpoint, in the order of rendezvous hashing
// of the key, that is not loaded far above the mean, or nil if there is none.
// All hosts thus send a prompt part to the same few endpoints. If a zone is
// given, only its endpoints are considered, unless it has none.
func pickByCacheKey(cands []candidate, key, zone string) *candidate {
	var eligible []candidate
	for _, c := range cands {
		if zone == "" || c.endpoint.Zone == zone {
			eligible = append(eligible, c)
		}
	}
	if len(eligible) == 0 {
		eligible = cands
	}
	sum := 0.0
	for i, c := range eligible {
		sum += c.load
		eligible[i].hashWeight = xxhash.Sum64String(key + "\x00" + c.endpoint.ID)
	}
	slices.SortFunc(eligible, func(a, b candidate) int { return cmp.Compare(b.hashWeight, a.hashWeight) })
	maxLoad := maxImbalance*sum/float64(len(eligible)) + imbalanceSlack
	for i := range eligible {
		if eligible[i].load <= maxLoad {
			return &eligible[i]
		}
	}
	return nil
}

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
	// AddressReused is an address that now belongs to another endpoint.
	AddressReused
)

// Done ends an exchange that Pick counted. load is nil if the endpoint reported
// none. Done returns true after ConnectionFailed and AddressReused, and if the
// endpoint has just become suspect.
func (b *Balancer) Done(e *catalog.Endpoint, o Outcome, load *port.EndpointLoad) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.stateOf(e)
	s.inFlight = max(0, s.inFlight-1)
	return b.recordOutcome(s, o, load)
}

// recordOutcome records the outcome and the reported load, and returns what
// Done returns. The caller holds b.mu.
func (b *Balancer) recordOutcome(s *endpointState, o Outcome, load *port.EndpointLoad) bool {
	now := b.clock.Now()
	if load != nil {
		s.reportedLoad, s.inFlightAtReport, s.reportedAt = load.Running+load.Waiting, s.inFlight, now
	}
	switch o {
	case Succeeded:
		s.backoff = 0
		return s.recordResponse(true, now)
	case Failed:
		return s.recordResponse(false, now)
	case NoCapacity:
		s.backoffUntil = now.Add(minBackoff / 4)
	case ConnectionFailed, AddressReused:
		s.backoff = min(maxBackoff, max(minBackoff, 2*s.backoff))
		s.backoffUntil = now.Add(s.backoff)
		// The endpoint may have restarted before its registration says so.
		if s.warmUpTime > 0 {
			s.extendCold(now, s.backoff+s.warmUpTime)
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

// Unavailable reports whether the endpoint is currently not picked because of
// its backoff, or only as a last resort because it is suspect.
func (b *Balancer) Unavailable(e *catalog.Endpoint) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.states[e.Incarnation()]
	now := b.clock.Now()
	return s != nil && (now.Before(s.backoffUntil) || now.Before(s.suspectUntil))
}
