package stagework

import (
	"math"
	"slices"
	"time"

	"github.com/pimentorill/pimentorill/internal/core/catalog"
	"github.com/pimentorill/pimentorill/internal/core/membership"
)

const (
	// detour is the difference of the wait for which a plan leaves the zone that
	// it wants; longDetour that of one whose engine is in that zone for certain, so
	// that its results would have to cross.
	detour     = 100 * time.Millisecond
	longDetour = 450 * time.Millisecond
)

// levels is the number of urgencies that are told apart.
const levels = 10

// commitments counts by service, zone and urgency the pieces of plans under way
// that are not made yet, those of stages to come included.
type commitments map[string]map[string]*[levels]int

func (c commitments) add(service, zone string, urgency, pieces int) {
	if c[service] == nil {
		c[service] = make(map[string]*[levels]int)
	}
	if c[service][zone] == nil {
		c[service][zone] = new([levels]int)
	}
	n := &c[service][zone][level(urgency)]
	*n = max(0, *n+pieces)
}

func level(urgency int) int { return max(0, min(levels-1, urgency)) }

// in returns the pieces committed to a service in a zone that go before work of
// an urgency.
func (c commitments) in(service, zone string, urgency int) int {
	n := 0
	if counts := c[service][zone]; counts != nil {
		for _, pieces := range counts[:level(urgency)+1] {
			n += pieces
		}
	}
	return n
}

// sum returns the pieces committed to a service in all zones that go before
// work of an urgency.
func (c commitments) sum(service string, urgency int) int {
	n := 0
	for zone := range c[service] {
		n += c.in(service, zone, urgency)
	}
	return n
}

// drainTime is how long n pieces take in full calls at endpoints that together
// are as fast as so many.
func drainTime(limits *catalog.StageLimits, n int, speed float64) time.Duration {
	if speed <= 0 {
		return never
	}
	perPiece := limits.CallTime/time.Duration(limits.Batch) + limits.PieceTime
	return time.Duration(float64(n) * float64(perPiece) / (speed * float64(limits.Concurrent)))
}

// never is longer than any request waits.
const never = time.Hour

// zoneFor returns the zone in which a plan's stages are made: the one that it
// wants, unless the work committed to it takes much longer than another's. d.mu
// is held.
func (d *Desk) zoneFor(p *Plan) string {
	waits := make(map[string]time.Duration)
	now := d.clock.Now()
	for _, s := range p.Stages {
		q, err := d.queue(s.Service)
		if s.Pieces == 0 || err != nil {
			continue
		}
		for _, zone := range q.Zones() {
			waits[zone] += 0
		}
		for zone := range waits {
			waits[zone] = max(waits[zone], drainTime(q.Limits(), d.committed.in(s.Service, zone, p.Priority)+s.Pieces, q.EffectiveEndpoints(now, zone)))
		}
	}
	best := p.Zone
	zones := make([]string, 0, len(waits))
	for z := range waits {
		zones = append(zones, z)
	}
	slices.Sort(zones)
	for _, z := range zones {
		current, known := waits[best]
		margin := time.Duration(0)
		if best == p.Zone {
			margin = detour
			if p.Bound {
				margin = longDetour
			}
		}
		if !known || waits[z]+margin < current {
			best = z
		}
	}
	return best
}

// commitmentsOf returns where a plan's pieces are counted.
func (d *Desk) commitmentsOf(p *Plan) commitments {
	if p.late {
		return d.committedLate
	}
	return d.committed
}

// commit counts a plan's pieces as work to come in its zone.
func (d *Desk) commit(p *Plan) {
	for _, s := range p.Stages {
		d.commitmentsOf(p).add(s.Service, p.Zone, p.Priority, s.Pieces)
	}
}

// releaseStage counts a stage's pieces as made.
func (d *Desk) releaseStage(p *Plan, left []int, stage int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.commitmentsOf(p).add(p.Stages[stage].Service, p.Zone, p.Priority, -left[stage])
	left[stage] = 0
}

// release gives up what is still committed to a plan.
func (d *Desk) release(p *Plan, left []int) {
	for i := range p.Stages {
		d.releaseStage(p, left, i)
	}
}

// move commits what is left of a plan to another zone: its next stages follow
// their inputs.
func (d *Desk) move(p *Plan, left []int, zone string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if zone == p.Zone {
		return
	}
	c := d.commitmentsOf(p)
	for i, s := range p.Stages {
		c.add(s.Service, p.Zone, p.Priority, -left[i])
		c.add(s.Service, zone, p.Priority, left[i])
	}
	p.Zone = zone
}

// minority is the part of the hosts below which a keeper leaves endpoints to
// the keeper of the others.
const minority = 0.5

// share returns the endpoints that this keeper calls. One that reaches only a
// minority of the hosts has little work, and its small calls would take the
// endpoints' time from the others: it keeps to few of them, in its zone first.
func (d *Desk) share(service string, endpoints []*catalog.Endpoint) []*catalog.Endpoint {
	part := d.reach()
	if part >= minority || len(endpoints) == 0 {
		return endpoints
	}
	ids := make(map[string]*catalog.Endpoint, len(endpoints))
	var near, far []string
	for _, e := range endpoints {
		ids[e.ID] = e
		if e.Zone == d.zone {
			near = append(near, e.ID)
		} else {
			far = append(far, e.ID)
		}
	}
	order := append(membership.Rendezvous(near, service+"/"+d.self, len(near)), membership.Rendezvous(far, service+"/"+d.self, len(far))...)
	n := max(1, int(math.Ceil(part/minority*float64(len(endpoints)))))
	out := make([]*catalog.Endpoint, 0, n)
	for _, id := range order[:n] {
		out = append(out, ids[id])
	}
	return out
}

// crowded reports whether more work waits at one of a plan's stages than its
// endpoints do soon. d.mu is held.
func (d *Desk) crowded(p *Plan, stages []int) bool {
	for _, i := range stages {
		if q := d.queues[p.Stages[i].Service]; q != nil && drainTime(q.Limits(), q.WaitingPieces(), q.EffectiveEndpoints(d.clock.Now(), "")) > crowdedTime {
			return true
		}
	}
	return false
}
