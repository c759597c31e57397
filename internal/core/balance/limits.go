package balance

import (
	"math"
	"slices"
	"time"

	"github.com/pimentorill/pimentorill/internal/core/catalog"
	"github.com/pimentorill/pimentorill/internal/core/ratelimit"
)

// ColdSendLimit limits the sends of all hosts together to a cold endpoint in
// any coldSendWindow. It applies to services with a warm-up rate.
type ColdSendLimit struct {
	// Overrun multiplies the service's warm-up rate, in sends per second; Slack is
	// a number of sends that is added to the product.
	Overrun, Slack float64
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

// LimitWait returns the time until one of the endpoints allows this host another exchange,
// maxWait if none that names a rate limit does sooner. It reports false if neither a rate
// limit nor a rest keeps Pick from choosing one of them. Rests are not bounded by maxWait.
func (b *Balancer) LimitWait(endpoints []*catalog.Endpoint, criteria Criteria, maxWait time.Duration) (time.Duration, bool) {
	shortest, limited := time.Duration(math.MaxInt64), false
	for _, e := range endpoints {
		if criteria.Avoid[e.ID] {
			continue
		}
		wait := b.advisories.Rest(e)
		if !b.rateLimits.Allows(e.Incarnation(), false) {
			rateWait, hasShare := b.rateLimits.Wait(e.Incarnation())
			if !hasShare {
				rateWait = maxWait
			}
			wait = max(wait, min(rateWait, maxWait))
		}
		if wait > 0 {
			limited = true
			shortest = min(shortest, wait)
		}
	}
	return shortest, limited
}
