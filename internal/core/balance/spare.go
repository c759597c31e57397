package balance

import (
	"slices"

	"github.com/pimentorill/pimentorill/internal/core/catalog"
)

// maxSpareLoad is the load of all endpoints of a service together, as a fraction of their slots,
// from which none has room to spare.
const maxSpareLoad = 0.75

// PickSpare chooses an endpoint for an exchange that another one already has, and counts it
// like Pick: one that is neither cold nor suspect, backs off, rests nor leaves, and has a free
// slot. It returns nil if there is none, or the endpoints together are nearly full. service
// lists all endpoints that run the service's exchanges.
func (b *Balancer) PickSpare(service []*catalog.Endpoint, criteria Criteria) *catalog.Endpoint {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	load, slots := 0.0, 0
	for _, e := range service {
		load += b.stateOf(e).load(now)
		slots += e.Slots
	}
	if load >= maxSpareLoad*float64(slots) {
		return nil
	}
	cands := slices.DeleteFunc(b.candidates(service, criteria, now, false), func(c candidate) bool {
		return c.state.isCold(now) || c.state.isFull(c.endpoint, now) ||
			b.advisories.Leaves(c.endpoint) || b.advisories.Rest(c.endpoint) > 0 || b.rateLimits.Unconfirmed(c.endpoint.Incarnation())
	})
	criteria.CacheKey = ""
	c := b.choose(cands, criteria)
	if c == nil {
		return nil
	}
	c.state.inFlight++
	b.rateLimits.RecordSend(c.endpoint.Incarnation())
	return c.endpoint
}
