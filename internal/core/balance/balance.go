// Package balance chooses the endpoint of an exchange: by what it is likely to
// keep of the prompt, by its load as reported and as sent since, by zone, and
// within what an endpoint bears that has just started.
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
	// remoteZonePenalty is the load, as a part of the slots, by which an endpoint of
	// another zone must be less loaded to be taken.
	remoteZonePenalty = 0.25
	// imbalance and imbalanceSlack bound the load of an endpoint that is taken
	// for its cache, against the mean of its service.
	maxImbalance   = 1.3
	imbalanceSlack = 6.0
	// reportMaxAge is how long a load report is believed.
	reportMaxAge = 2 * time.Second
	// minDownTime and maxDownTime bound how long an endpoint is left alone after its
	// connection failed; the time doubles with each failure.
	minDownTime = 500 * time.Millisecond
	maxDownTime = 4 * time.Second
	// coldSendWindow is the span over which sends to a cold endpoint are counted:
	// the platform's second, and what sends may differ in their way there.
	coldSendWindow = 1250 * time.Millisecond
	// failureWindow is the number of answers over which failures are counted.
	failureWindow = 8
	// suspectThreshold is the number of failures among them that makes an endpoint
	// suspect. A service's own errors stay below it.
	suspectThreshold = 5
	// suspectDuration is how long a suspect endpoint is taken only if no other is left.
	suspectDuration = 2 * time.Second
)

// Criteria is what an endpoint is chosen for.
type Criteria struct {
	Service *catalog.Service
	// Zone is preferred; empty means the host's own.
	Zone string
	// CacheKey names the prompt part that should be cached; empty for none.
	CacheKey string
	// Avoid holds endpoints that the exchange has been sent to.
	Avoid map[string]bool
}

// Limits says how much a cold endpoint bears from all hosts together.
type Limits struct {
	// Overrun multiplies the service's rate, Slack is added.
	Overrun, Slack float64
}

// Balancer knows the load and the health of endpoints, as this host sees them.
// It is safe for concurrent use.
type Balancer struct {
	zone   string
	clock  port.Clock
	limits Limits

	mu     sync.Mutex
	rng    *rand.Rand
	states map[catalog.Incarnation]*endpointState
	hosts  int
}

// state is one endpoint's.
type endpointState struct {
	inFlight int
	// reported is the load of all hosts at reportedAt, ownAtReport this host's part.
	reportedLoad int
	ownAtReport  int
	reportedAt   time.Time
	downUntil    time.Time
	downTime     time.Duration
	coldUntil    time.Time
	// coldSends holds the times of the latest sends while cold.
	coldSends      []time.Time
	recentOutcomes []bool
	suspectUntil   time.Time
	registered     bool
	// warmUp is how long the endpoint is cold after a start; zero without a
	// limit for cold ones.
	warmUp time.Duration
}

// New returns a Table of a host in the zone. r must not be used by others.
func New(zone string, clock port.Clock, r *rand.Rand, limits Limits) *Balancer {
	return &Balancer{zone: zone, clock: clock, rng: r, limits: limits, states: make(map[catalog.Incarnation]*endpointState), hosts: 1}
}

// SetHosts tells how many hosts may send to a cold endpoint at a time.
func (t *Balancer) SetHosts(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.hosts = max(1, n)
}

// UpdateEndpoint takes in an endpoint's entry. fresh says that the lifetime began while
// this host was watching.
func (t *Balancer) UpdateEndpoint(e *catalog.Endpoint, service *catalog.Service, fresh bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.stateOf(e)
	if service != nil && service.WarmUpRate > 0 {
		s.warmUp = service.WarmUpTime
	}
	warm := e.WarmUpRemaining
	if fresh && !s.registered && service != nil {
		warm = max(warm, service.WarmUpTime)
	}
	s.registered = true
	s.extendCold(t.clock.Now(), warm)
}

// MarkCold takes in that an endpoint may have turned cold.
func (t *Balancer) MarkCold(e *catalog.Endpoint, service *catalog.Service) {
	if service == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stateOf(e).extendCold(t.clock.Now(), service.WarmUpTime)
}

// Prune drops the lifetimes that are not in use any more.
func (t *Balancer) Prune(keep func(catalog.Incarnation) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for l, s := range t.states {
		if s.inFlight == 0 && !keep(l) {
			delete(t.states, l)
		}
	}
}

func (s *endpointState) extendCold(now time.Time, warm time.Duration) {
	if until := now.Add(warm); warm > 0 && until.After(s.coldUntil) {
		s.coldUntil = until
	}
}

func (t *Balancer) stateOf(e *catalog.Endpoint) *endpointState {
	s := t.states[e.Incarnation()]
	if s == nil {
		s = &endpointState{}
		t.states[e.Incarnation()] = s
	}
	return s
}

// load is what the endpoint is believed to run and queue, of all hosts.
func (s *endpointState) load(now time.Time) float64 {
	if s.reportedAt.IsZero() || now.Sub(s.reportedAt) > reportMaxAge {
		return float64(s.inFlight)
	}
	return float64(max(s.inFlight, s.reportedLoad+s.inFlight-s.ownAtReport))
}

// candidate is an endpoint that may be chosen.
type candidate struct {
	endpoint   *catalog.Endpoint
	state      *endpointState
	load       float64
	hashWeight uint64
}

// Pick chooses one of the endpoints and counts an exchange as sent to it: call
// Done at its end. It returns nil if there is none.
func (t *Balancer) Pick(endpoints []*catalog.Endpoint, w Criteria) *catalog.Endpoint {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	cands := t.candidates(endpoints, w, now, false)
	if len(cands) == 0 {
		cands = t.candidates(endpoints, w, now, true)
	}
	c := t.choose(cands, w)
	if c == nil {
		return nil
	}
	c.state.inFlight++
	if now.Before(c.state.coldUntil) {
		c.state.coldSends = append(c.state.coldSends, now)
	}
	return c.endpoint
}

// Peek returns the endpoint that Pick would choose now, without counting.
func (t *Balancer) Peek(endpoints []*catalog.Endpoint, w Criteria) *catalog.Endpoint {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.choose(t.candidates(endpoints, w, t.clock.Now(), false), w)
	if c == nil {
		return nil
	}
	return c.endpoint
}

// candidates returns the endpoints that may be taken. With suspects set, those
// that fail often are among them.
func (t *Balancer) candidates(endpoints []*catalog.Endpoint, w Criteria, now time.Time, suspects bool) []candidate {
	var cands []candidate
	for _, e := range endpoints {
		if w.Avoid[e.ID] {
			continue
		}
		s := t.stateOf(e)
		if now.Before(s.downUntil) || !suspects && now.Before(s.suspectUntil) {
			continue
		}
		if most := w.Service.MaxConnections; most > 0 && s.inFlight >= max(1, most/t.hosts) {
			continue
		}
		if now.Before(s.coldUntil) && !t.allowsColdSend(s, w.Service, now) {
			continue
		}
		cands = append(cands, candidate{endpoint: e, state: s, load: s.load(now)})
	}
	return cands
}

// allowsColdSend reports whether this host may send one more to a cold endpoint.
// Each host has an equal share of what the endpoint bears, so the sum holds
// without word of the others.
func (t *Balancer) allowsColdSend(s *endpointState, service *catalog.Service, now time.Time) bool {
	if service.WarmUpRate <= 0 {
		return true
	}
	share := int((service.WarmUpRate*t.limits.Overrun + t.limits.Slack) / float64(t.hosts))
	s.coldSends = slices.DeleteFunc(s.coldSends, func(at time.Time) bool { return now.Sub(at) > coldSendWindow })
	return len(s.coldSends) < share
}

func (t *Balancer) choose(cands []candidate, w Criteria) *candidate {
	if len(cands) == 0 {
		return nil
	}
	zone := w.Zone
	if zone == "" {
		zone = t.zone
	}
	if w.CacheKey != "" {
		if c := pickByCacheKey(cands, w.CacheKey, w.Zone); c != nil {
			return c
		}
	}
	t.rng.Shuffle(len(cands), func(i, j int) { cands[i], cands[j] = cands[j], cands[i] })
	best := slices.MinFunc(cands, func(a, b candidate) int { return cmp.Compare(a.cost(zone), b.cost(zone)) })
	return &best
}

func (c candidate) cost(zone string) float64 {
	cost := c.load / float64(max(1, c.endpoint.Slots))
	if c.endpoint.Zone != zone {
		cost += remoteZonePenalty
	}
	return cost
}

// pickByCacheKey returns the first endpoint in the key's own order that is not loaded
// beyond the others: all hosts send a prompt part to the same few endpoints.
// With a zone given, only its endpoints are taken, if there are any.
func pickByCacheKey(cands []candidate, key, zone string) *candidate {
	var local []candidate
	for _, c := range cands {
		if zone == "" || c.endpoint.Zone == zone {
			local = append(local, c)
		}
	}
	if len(local) == 0 {
		local = cands
	}
	sum := 0.0
	for i, c := range local {
		sum += c.load
		local[i].hashWeight = xxhash.Sum64String(key + "\x00" + c.endpoint.ID)
	}
	slices.SortFunc(local, func(a, b candidate) int { return cmp.Compare(b.hashWeight, a.hashWeight) })
	bound := maxImbalance*sum/float64(len(local)) + imbalanceSlack
	for i := range local {
		if local[i].load <= bound {
			return &local[i]
		}
	}
	return nil
}

// Outcome says how an exchange with an endpoint ended.
type Outcome uint8

// The outcomes.
const (
	// Cancelled says nothing about the endpoint.
	Cancelled Outcome = iota
	// Answered is an answer that can be used.
	Answered
	// Failed is an answer of failure.
	Failed
	// NoCapacity is a refusal for want of room.
	NoCapacity
	// ConnectionFailed is a connection that failed.
	ConnectionFailed
	// AddressReused is an address that another endpoint has now.
	AddressReused
)

// Done ends an exchange that Pick counted. load is nil if the endpoint gave none.
// It returns true if the endpoint is now left alone.
func (t *Balancer) Done(e *catalog.Endpoint, o Outcome, load *port.EndpointLoad) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.stateOf(e)
	s.inFlight = max(0, s.inFlight-1)
	return t.recordOutcome(s, o, load)
}

func (t *Balancer) recordOutcome(s *endpointState, o Outcome, load *port.EndpointLoad) bool {
	now := t.clock.Now()
	if load != nil {
		s.reportedLoad, s.ownAtReport, s.reportedAt = load.Running+load.Waiting, s.inFlight, now
	}
	switch o {
	case Answered:
		s.downTime = 0
		return s.recordResponse(true, now)
	case Failed:
		return s.recordResponse(false, now)
	case NoCapacity:
		s.downUntil = now.Add(minDownTime / 4)
	case ConnectionFailed, AddressReused:
		s.downTime = min(maxDownTime, max(minDownTime, 2*s.downTime))
		s.downUntil = now.Add(s.downTime)
		// It may have started anew before its entry says so.
		if s.warmUp > 0 {
			s.extendCold(now, s.downTime+s.warmUp)
		}
		return true
	}
	return false
}

// count notes an answer and reports whether the endpoint has become suspect.
func (s *endpointState) recordResponse(ok bool, now time.Time) bool {
	s.recentOutcomes = append(s.recentOutcomes, ok)
	if len(s.recentOutcomes) > failureWindow {
		s.recentOutcomes = s.recentOutcomes[1:]
	}
	failed := 0
	for _, o := range s.recentOutcomes {
		if !o {
			failed++
		}
	}
	if failed < suspectThreshold {
		return false
	}
	s.recentOutcomes = s.recentOutcomes[:0]
	s.suspectUntil = now.Add(suspectDuration)
	return true
}

// Unavailable reports whether the endpoint is left alone at the moment.
func (t *Balancer) Unavailable(e *catalog.Endpoint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.states[e.Incarnation()]
	now := t.clock.Now()
	return s != nil && (now.Before(s.downUntil) || now.Before(s.suspectUntil))
}
