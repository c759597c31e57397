package balance

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/pimentorill/pimentorill/internal/core/catalog"
)

const (
	// remoteZonePenalty is added to the cost of an endpoint in another zone.
	// The cost is otherwise the use of the endpoint with the exchange.
	remoteZonePenalty = 0.25
	// maxImbalance and imbalanceSlack limit the use of an endpoint that is picked for its
	// cache to maxImbalance times the mean use of the candidates plus imbalanceSlack, in
	// requests, or imbalanceSlackShare of its slots if that is less.
	maxImbalance        = 1.3
	imbalanceSlack      = 6.0
	imbalanceSlackShare = 0.25
)

// candidate is an endpoint that may be picked.
type candidate struct {
	endpoint *catalog.Endpoint
	state    *endpointState
	// load and slowdown are estimates; reported means that they go by recent reports.
	load, slowdown float64
	reported       bool
	hashWeight     uint64
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

// slots returns the number of slots, at least 1.
func (c *candidate) slots() float64 { return float64(max(1, c.endpoint.Slots)) }

// use returns the load with a number of further requests as a fraction of the slots, and as a
// multiple of that where work takes longer.
func (c *candidate) use(further float64) float64 { return (c.load + further) / c.slots() * c.slowdown }

// cost returns the use with the exchange, plus a penalty for endpoints outside the zone.
func (c *candidate) cost(zone string) float64 {
	cost := c.use(1)
	if c.endpoint.Zone != zone {
		cost += remoteZonePenalty
	}
	return cost
}

// pickByCacheKey returns the first endpoint, in the order of rendezvous hashing
// of the key, that is not used far above the mean nor reported as full, or nil if there is none.
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
	for i := range eligible {
		sum += eligible[i].use(0)
		eligible[i].hashWeight = xxhash.Sum64String(key + "\x00" + eligible[i].endpoint.ID)
	}
	slices.SortFunc(eligible, func(a, b candidate) int { return cmp.Compare(b.hashWeight, a.hashWeight) })
	maxUse := maxImbalance * sum / float64(len(eligible))
	for i := range eligible {
		c := &eligible[i]
		slack := imbalanceSlack
		if c.reported {
			slack = min(imbalanceSlack, imbalanceSlackShare*c.slots())
		}
		isFull := c.reported && c.load >= c.slots()
		if !isFull && c.use(0) <= maxUse+slack/c.slots() {
			return c
		}
	}
	return nil
}
