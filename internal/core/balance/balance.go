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
	// remoteLoad is the load, as a part of the slots, by which an endpoint of
	// another zone must be less loaded to be taken.
	remoteLoad = 0.25
	// imbalance and imbalanceSlack bound the load of an endpoint that is taken
	// for its cache, against the mean of its service.
	imbalance      = 1.3
	imbalanceSlack = 6.0
	// reportLife is how long a load report is believed.
	reportLife = 2 * time.Second
	// minDown and maxDown bound how long an endpoint is left alone after its
	// connection failed; the time doubles with each failure.
	minDown = 500 * time.Millisecond
	maxDown = 4 * time.Second
	// coldWindow is the span over which sends to a cold endpoint are counted:
	// the platform's second, and what sends may differ in their way there.
	coldWindow = 1250 * time.Millisecond
	// failureWindow is the number of answers over which failures are counted.
	failureWindow = 8
	// failureLimit is the number of failures among them that makes an endpoint
	// suspect. A service's own errors stay below it.
	failureLimit = 5
	// suspectTime is how long a suspect endpoint is taken only if no other is left.
	suspectTime = 2 * time.Second
)

// Work is what an endpoint is chosen for.
type Work struct {
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

// Table knows the load and the health of endpoints, as this host sees them.
// It is safe for concurrent use.
type Table struct {
	zone   string
	clock  port.Clock
	limits Limits

	mu     sync.Mutex
	rand   *rand.Rand
	states map[catalog.Incarnation]*state
	hosts  int
}

// state is one endpoint's.
type state struct {
	inFlight int
	// reported is the load of all hosts at reportedAt, ownThen this host's part.
	reported   int
	ownThen    int
	reportedAt time.Time
	downUntil  time.Time
	downFor    time.Duration
	coldUntil  time.Time
	// coldSends holds the times of the latest sends while cold.
	coldSends    []time.Time
	outcomes     []bool
	suspectUntil time.Time
	seen         bool
	// warmUp is how long the endpoint is cold after a start; zero without a
	// limit for cold ones.
	warmUp time.Duration
}

// New returns a Table of a host in the zone. r must not be used by others.
func New(zone string, clock port.Clock, r *rand.Rand, limits Limits) *Table {
	return &Table{zone: zone, clock: clock, rand: r, limits: limits, states: make(map[catalog.Incarnation]*state), hosts: 1}
}

// SetHosts tells how many hosts may send to a cold endpoint at a time.
func (t *Table) SetHosts(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.hosts = max(1, n)
}

// Known takes in an endpoint's entry. fresh says that the lifetime began while
// this host was watching.
func (t *Table) Known(e *catalog.Endpoint, service *catalog.Service, fresh bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.of(e)
	if service != nil && service.WarmUpRate > 0 {
		s.warmUp = service.WarmUpTime
	}
	warm := e.WarmUpRemaining
	if fresh && !s.seen && service != nil {
		warm = max(warm, service.WarmUpTime)
	}
	s.seen = true
	s.cool(t.clock.Now(), warm)
}

// Cooled takes in that an endpoint may have turned cold.
func (t *Table) Cooled(e *catalog.Endpoint, service *catalog.Service) {
	if service == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.of(e).cool(t.clock.Now(), service.WarmUpTime)
}

// Forget drops the lifetimes that are not in use any more.
func (t *Table) Forget(keep func(catalog.Incarnation) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for l, s := range t.states {
		if s.inFlight == 0 && !keep(l) {
			delete(t.states, l)
		}
	}
}

func (s *state) cool(now time.Time, warm time.Duration) {
	if until := now.Add(warm); warm > 0 && until.After(s.coldUntil) {
		s.coldUntil = until
	}
}

func (t *Table) of(e *catalog.Endpoint) *state {
	s := t.states[e.Incarnation()]
	if s == nil {
		s = &state{}
		t.states[e.Incarnation()] = s
	}
	return s
}

// load is what the endpoint is believed to run and queue, of all hosts.
func (s *state) load(now time.Time) float64 {
	if s.reportedAt.IsZero() || now.Sub(s.reportedAt) > reportLife {
		return float64(s.inFlight)
	}
	return float64(max(s.inFlight, s.reported+s.inFlight-s.ownThen))
}

// candidate is an endpoint that may be chosen.
type candidate struct {
	endpoint *catalog.Endpoint
	state    *state
	load     float64
	rank     uint64
}

// Pick chooses one of the endpoints and counts an exchange as sent to it: call
// Done at its end. It returns nil if there is none.
func (t *Table) Pick(endpoints []*catalog.Endpoint, w Work) *catalog.Endpoint {
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

// Expected returns the endpoint that Pick would choose now, without counting.
func (t *Table) Expected(endpoints []*catalog.Endpoint, w Work) *catalog.Endpoint {
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
func (t *Table) candidates(endpoints []*catalog.Endpoint, w Work, now time.Time, suspects bool) []candidate {
	var cands []candidate
	for _, e := range endpoints {
		if w.Avoid[e.ID] {
			continue
		}
		s := t.of(e)
		if now.Before(s.downUntil) || !suspects && now.Before(s.suspectUntil) {
			continue
		}
		if most := w.Service.MaxConnections; most > 0 && s.inFlight >= max(1, most/t.hosts) {
			continue
		}
		if now.Before(s.coldUntil) && !t.coldRoom(s, w.Service, now) {
			continue
		}
		cands = append(cands, candidate{endpoint: e, state: s, load: s.load(now)})
	}
	return cands
}

// coldRoom reports whether this host may send one more to a cold endpoint.
// Each host has an equal share of what the endpoint bears, so the sum holds
// without word of the others.
func (t *Table) coldRoom(s *state, service *catalog.Service, now time.Time) bool {
	if service.WarmUpRate <= 0 {
		return true
	}
	share := int((service.WarmUpRate*t.limits.Overrun + t.limits.Slack) / float64(t.hosts))
	s.coldSends = slices.DeleteFunc(s.coldSends, func(at time.Time) bool { return now.Sub(at) > coldWindow })
	return len(s.coldSends) < share
}

func (t *Table) choose(cands []candidate, w Work) *candidate {
	if len(cands) == 0 {
		return nil
	}
	zone := w.Zone
	if zone == "" {
		zone = t.zone
	}
	if w.CacheKey != "" {
		if c := byCache(cands, w.CacheKey, w.Zone); c != nil {
			return c
		}
	}
	t.rand.Shuffle(len(cands), func(i, j int) { cands[i], cands[j] = cands[j], cands[i] })
	best := slices.MinFunc(cands, func(a, b candidate) int { return cmp.Compare(a.cost(zone), b.cost(zone)) })
	return &best
}

func (c candidate) cost(zone string) float64 {
	cost := c.load / float64(max(1, c.endpoint.Slots))
	if c.endpoint.Zone != zone {
		cost += remoteLoad
	}
	return cost
}

// byCache returns the first endpoint in the key's own order that is not loaded
// beyond the others: all hosts send a prompt part to the same few endpoints.
// With a zone given, only its endpoints are taken, if there are any.
func byCache(cands []candidate, key, zone string) *candidate {
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
		local[i].rank = xxhash.Sum64String(key + "\x00" + c.endpoint.ID)
	}
	slices.SortFunc(local, func(a, b candidate) int { return cmp.Compare(b.rank, a.rank) })
	bound := imbalance*sum/float64(len(local)) + imbalanceSlack
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
	// Full is a refusal for want of room.
	Full
	// Broken is a connection that failed.
	Broken
	// Moved is an address that another endpoint has now.
	Moved
)

// Done ends an exchange that Pick counted. load is nil if the endpoint gave none.
// It returns true if the endpoint is now left alone.
func (t *Table) Done(e *catalog.Endpoint, o Outcome, load *port.EndpointLoad) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.of(e)
	s.inFlight = max(0, s.inFlight-1)
	return t.take(s, o, load)
}

func (t *Table) take(s *state, o Outcome, load *port.EndpointLoad) bool {
	now := t.clock.Now()
	if load != nil {
		s.reported, s.ownThen, s.reportedAt = load.Running+load.Waiting, s.inFlight, now
	}
	switch o {
	case Answered:
		s.downFor = 0
		return s.count(true, now)
	case Failed:
		return s.count(false, now)
	case Full:
		s.downUntil = now.Add(minDown / 4)
	case Broken, Moved:
		s.downFor = min(maxDown, max(minDown, 2*s.downFor))
		s.downUntil = now.Add(s.downFor)
		// It may have started anew before its entry says so.
		if s.warmUp > 0 {
			s.cool(now, s.downFor+s.warmUp)
		}
		return true
	}
	return false
}

// count notes an answer and reports whether the endpoint has become suspect.
func (s *state) count(ok bool, now time.Time) bool {
	s.outcomes = append(s.outcomes, ok)
	if len(s.outcomes) > failureWindow {
		s.outcomes = s.outcomes[1:]
	}
	failed := 0
	for _, o := range s.outcomes {
		if !o {
			failed++
		}
	}
	if failed < failureLimit {
		return false
	}
	s.outcomes = s.outcomes[:0]
	s.suspectUntil = now.Add(suspectTime)
	return true
}

// Down reports whether the endpoint is left alone at the moment.
func (t *Table) Down(e *catalog.Endpoint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.states[e.Incarnation()]
	now := t.clock.Now()
	return s != nil && (now.Before(s.downUntil) || now.Before(s.suspectUntil))
}
