// Package balance chooses the endpoint of an exchange by the prompt parts that
// it probably has cached, by its load as reported and as sent since, by zone,
// and within the rate limit of endpoints that have just started.
package balance

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pimentorill/pimentorill/internal/core/catalog"
	"github.com/pimentorill/pimentorill/internal/port"
)

const (
	// remoteZonePenalty is added to the cost of an endpoint in another zone.
	// The cost is the load as a fraction of the slots.
	remoteZonePenalty = 0.25
	// maxImbalance and imbalanceSlack limit the load of an endpoint that is
	// picked for its cache to maxImbalance times the mean load of the
	// candidates plus imbalanceSlack.
	maxImbalance   = 1.3
	imbalanceSlack = 6.0
	// reportMaxAge is how long a load report is used.
	reportMaxAge = 2 * time.Second
	// minBackoff and maxBackoff bound how long an endpoint is not picked
	// after its connection failed. The time doubles with each consecutive
	// failure.
	minBackoff = 500 * time.Millisecond
	maxBackoff = 4 * time.Second
	// coldSendWindow is the window in which sends to a cold endpoint are
	// counted: the one second in which the platform counts them, plus the
	// variation in their transit time.
	coldSendWindow = 1250 * time.Millisecond
	// failureWindow is the number of recent responses in which failures are
	// counted.
	failureWindow = 8
	// suspectThreshold is the number of failures in the window that makes an
	// endpoint suspect. A service's own errors stay below it.
	suspectThreshold = 5
	// suspectDuration is how long a suspect endpoint is picked only if no other
	// is available.
	suspectDuration = 2 * time.Second
)

// Criteria describes the exchange that an endpoint is picked for.
type Criteria struct {
	Service *catalog.Service
	// Zone is the preferred zone; empty means the host's own.
	Zone string
	// CacheKey identifies the prompt part that should be cached; empty if there
	// is none.
	CacheKey string
	// Avoid holds the ids of endpoints that the exchange has already been sent
	// to.
	Avoid map[string]bool
}

// ColdSendLimit defines the rate of sends that a cold endpoint accepts from all hosts
// together.
type ColdSendLimit struct {
	// Overrun multiplies the service's warm-up rate; Slack is added to the
	// product.
	Overrun, Slack float64
}

// Balancer tracks the load and health of endpoints as this host observes them.
// It is safe for concurrent use.
type Balancer struct {
	zone          string
	clock         port.Clock
	coldSendLimit ColdSendLimit

	mu        sync.Mutex
	rng       *rand.Rand
	states    map[catalog.Incarnation]*endpointState
	hostCount int
}

// endpointState is the state of one lifetime of an endpoint.
type endpointState struct {
	inFlight int
	// reportedLoad is the load from all hosts at reportedAt, inFlightAtReport this
	// host's part of it.
	reportedLoad     int
	inFlightAtReport int
	reportedAt       time.Time
	backoffUntil     time.Time
	backoff          time.Duration
	coldUntil        time.Time
	// coldSends holds the times of recent sends to the cold endpoint.
	coldSends       []time.Time
	recentSuccesses []bool
	suspectUntil    time.Time
	registered      bool
	// warmUpTime is how long the endpoint is cold after a start. It is zero if its
	// service has no rate limit for cold endpoints.
	warmUpTime time.Duration
}

// New returns a Balancer for a host in the zone. The caller must not use rng
// afterwards.
func New(zone string, clock port.Clock, rng *rand.Rand, limits ColdSendLimit) *Balancer {
	return &Balancer{zone: zone, clock: clock, rng: rng, coldSendLimit: limits, states: make(map[catalog.Incarnation]*endpointState), hostCount: 1}
}

// SetHostCount sets the number of hosts among which the limits on cold endpoints
// and on connections are divided.
func (b *Balancer) SetHostCount(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.hostCount = max(1, n)
}

// UpdateEndpoint processes an endpoint's catalog entry. newLifetime says that
// the lifetime began while this host was watching; the endpoint is then cold
// for at least its service's warm-up time.
func (b *Balancer) UpdateEndpoint(e *catalog.Endpoint, service *catalog.Service, newLifetime bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.stateOf(e)
	if service != nil && service.WarmUpRate > 0 {
		s.warmUpTime = service.WarmUpTime
	}
	remaining := e.WarmUpRemaining
	if newLifetime && !s.registered && service != nil {
		remaining = max(remaining, service.WarmUpTime)
	}
	s.registered = true
	s.extendCold(b.clock.Now(), remaining)
}

// MarkCold treats an endpoint as cold for its service's warm-up time, because
// it may have become cold.
func (b *Balancer) MarkCold(e *catalog.Endpoint, service *catalog.Service) {
	if service == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stateOf(e).extendCold(b.clock.Now(), service.WarmUpTime)
}

// Prune removes the state of lifetimes that keep rejects and that have no
// exchange in flight.
func (b *Balancer) Prune(keep func(catalog.Incarnation) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for lifetime, s := range b.states {
		if s.inFlight == 0 && !keep(lifetime) {
			delete(b.states, lifetime)
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

func (b *Balancer) stateOf(e *catalog.Endpoint) *endpointState {
	s := b.states[e.Incarnation()]
	if s == nil {
		s = &endpointState{}
		b.states[e.Incarnation()] = s
	}
	return s
}

// load returns the estimated number of requests from all hosts that the
// endpoint runs and queues. Without a recent report it counts only this host's.
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
// may be picked. Suspect endpoints are picked only if there are no others.
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
// if includeSuspects is set.
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
		if limit := criteria.Service.MaxConnections; limit > 0 && s.inFlight >= max(1, limit/b.hostCount) {
			continue
		}
		if now.Before(s.coldUntil) && !b.allowsColdSend(s, criteria.Service, now) {
			continue
		}
		cands = append(cands, candidate{endpoint: e, state: s, load: s.load(now)})
	}
	return cands
}

// allowsColdSend reports whether this host may send another exchange to a cold
// endpoint. Each host has an equal share of the rate limit, so the total holds
// without coordination.
func (b *Balancer) allowsColdSend(s *endpointState, service *catalog.Service, now time.Time) bool {
	if service.WarmUpRate <= 0 {
		return true
	}
	limit := int((service.WarmUpRate*b.coldSendLimit.Overrun + b.coldSendLimit.Slack) / float64(b.hostCount))
	s.coldSends = slices.DeleteFunc(s.coldSends, func(at time.Time) bool { return now.Sub(at) > coldSendWindow })
	return len(s.coldSends) < limit
}

// choose returns the candidate with the best cached prompt part, otherwise the
// one with the lowest cost, with ties broken at random. It returns nil if there
// are no candidates.
func (b *Balancer) choose(cands []candidate, criteria Criteria) *candidate {
	if len(cands) == 0 {
		return nil
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
// of the key, that is not loaded far above the mean. All hosts thus send a
// prompt part to the same few endpoints. If a zone is given, only its endpoints
// are considered, unless it has none.
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
	// Cancelled is an exchange that says nothing about the endpoint's health.
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
// none. It returns true after a connection failure, and if the endpoint has
// become suspect.
func (b *Balancer) Done(e *catalog.Endpoint, o Outcome, load *port.EndpointLoad) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.stateOf(e)
	s.inFlight = max(0, s.inFlight-1)
	return b.recordOutcome(s, o, load)
}

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
		// The endpoint may have restarted before its catalog entry says so.
		if s.warmUpTime > 0 {
			s.extendCold(now, s.backoff+s.warmUpTime)
		}
		return true
	}
	return false
}

// recordResponse records a response and reports whether the endpoint has become
// suspect.
func (s *endpointState) recordResponse(ok bool, now time.Time) bool {
	s.recentSuccesses = append(s.recentSuccesses, ok)
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

// Unavailable reports whether the endpoint is currently not picked, or only as
// a last resort.
func (b *Balancer) Unavailable(e *catalog.Endpoint) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.states[e.Incarnation()]
	now := b.clock.Now()
	return s != nil && (now.Before(s.backoffUntil) || now.Before(s.suspectUntil))
}
