// Package advisory keeps what endpoints say of themselves in their responses, other than
// their rate limits, and whether a host may send them requests because of it.
//
// A brittle endpoint falls over if it has to refuse more than a number of requests in a
// second, those of all hosts together. So hosts must not rely on it to refuse what it has
// no room for. Each host keeps its requests in flight within its whole share of the
// endpoint's slots (ratelimit.Division), which needs no room to wait. The first hosts in
// the order of rendezvous hashing, as many as the endpoint bears refusals, may have one
// request more in flight, so that slots are not left idle where shares are small. After a
// refusal a host sends nothing for as long as keeps all hosts together within the number.
//
// An endpoint that turns a request away may ask this host for rest. The host sends it
// nothing until the end of the rest, and a little longer, differently for each host, so
// that the hosts don't all come back in the same moment. Of rests that overlap the one that
// ends last holds. An endpoint that leaves gets nothing any more.
//
// All this holds for one incarnation of an endpoint, also while it is absent from the store.
package advisory

import (
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pimentorill/pimentorill/internal/core/catalog"
	"github.com/pimentorill/pimentorill/internal/core/ratelimit"
	"github.com/pimentorill/pimentorill/internal/port"
)

// Registry holds the advisories by incarnation of endpoints. It is safe for concurrent
// use.
type Registry struct {
	self  string
	clock port.Clock
	log   *slog.Logger
	// count is the number of states; while it is 0, no endpoint has said anything.
	count atomic.Int64

	mu       sync.Mutex
	states   map[catalog.Incarnation]*state
	services map[string]brittleness
	hosts    ratelimit.Division
	// hostCount is the number of hosts in the division.
	hostCount    int
	hostsVersion int
}

// state is what one incarnation has said.
type state struct {
	// brittleness is what the newest response said.
	brittleness brittleness
	// malformed is set while responses name a value that is no number of refusals.
	malformed bool
	// pausedUntil is the end of the pause after a refusal.
	pausedUntil time.Time
	// restEnd is the end of the rest that the endpoint asked for; zero for none.
	restEnd time.Time
	// leavingAt is when the endpoint last said that it leaves; zero if it has not.
	leavingAt         time.Time
	rank, rankVersion int
}

// New returns a Registry of the host self without advisories. Until SetHosts is called,
// shares are those of assumedHosts hosts.
func New(self string, assumedHosts int, clock port.Clock, log *slog.Logger) *Registry {
	return &Registry{self: self, clock: clock, log: log, states: make(map[catalog.Incarnation]*state), services: make(map[string]brittleness),
		hosts: ratelimit.NewDivision(self, nil, assumedHosts), hostCount: assumedHosts, hostsVersion: 1}
}

// SetHosts sets the hosts that send requests: those with the given ids and a number of
// others.
func (r *Registry) SetHosts(ids []string, others int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hosts, r.hostCount = ratelimit.NewDivision(r.self, ids, others), max(1, len(ids)+others)
	r.hostsVersion++
}

// Observe applies what a response of an endpoint says.
func (r *Registry) Observe(e *catalog.Endpoint, n port.EndpointNotice) {
	said := n.Brittle.Named || n.Rest > 0 || n.Leaving
	if !said && (!n.Answer || r.count.Load() == 0) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if n.Brittle.Named || n.Answer {
		r.observeBrittle(e, n.Brittle)
	}
	if n.Rest > 0 {
		r.observeRest(e, min(n.Rest, maxRest))
	}
	if n.Leaving {
		r.observeLeaving(e)
	}
}

// stateOf returns the state of an incarnation and creates it if needed. The caller holds
// r.mu.
func (r *Registry) stateOf(i catalog.Incarnation) *state {
	s := r.states[i]
	if s == nil {
		s = &state{}
		r.states[i] = s
		r.count.Add(1)
	}
	return s
}

// Allows reports whether this host may send an endpoint one more request while it has a
// number of requests in flight to it. full says that the endpoint reports no free slot.
func (r *Registry) Allows(e *catalog.Endpoint, inFlight int, full bool) bool {
	if r.count.Load() == 0 {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	if r.restsOrLeaves(e, now) {
		return false
	}
	b := r.brittlenessOf(e, now)
	if !b.brittle {
		return true
	}
	s := r.stateOf(e.Incarnation())
	if now.Before(s.pausedUntil) {
		return false
	}
	if s.rankVersion != r.hostsVersion {
		s.rank, s.rankVersion = r.hosts.Rank(e.Incarnation(), 0), r.hostsVersion
	}
	share := r.hosts.Share(e.Slots, s.rank)
	return inFlight < share || inFlight == share && s.rank < b.refusals && !full
}

// Paused reports whether this host may send an endpoint nothing at all at present, however
// few requests it has in flight.
func (r *Registry) Paused(e *catalog.Endpoint) bool {
	if r.count.Load() == 0 {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	s := r.states[e.Incarnation()]
	return s != nil && (now.Before(s.pausedUntil) || r.restsOrLeaves(e, now))
}

// Prune removes the incarnations for which keep returns false, unless they rest or have
// said of late that they leave: their entries may be back. keep must not call the Registry.
func (r *Registry) Prune(keep func(catalog.Incarnation) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	for i, s := range r.states {
		if keep(i) || now.Before(s.restEnd) || !s.leavingAt.IsZero() && now.Sub(s.leavingAt) <= leavingMemory {
			continue
		}
		delete(r.states, i)
		r.count.Add(-1)
	}
}
