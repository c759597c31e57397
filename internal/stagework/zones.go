package stagework

import (
	"math"
	"slices"
	"time"

	"github.com/pimentorill/pimentorill/internal/core/catalog"
	"github.com/pimentorill/pimentorill/internal/core/membership"
)

const (
	// A plan leaves its preferred zone if another zone's expected wait is shorter
	// by more than zoneChangeMargin; largeZoneChangeMargin applies to plans with
	// WaitForZone: the endpoint that reads their results is certain to be in the
	// preferred zone, so that the results would be transferred across zones.
	zoneChangeMargin      = 100 * time.Millisecond
	largeZoneChangeMargin = 450 * time.Millisecond
)

// priorityLevels is the number of distinct priorities, 0 being the most urgent.
const priorityLevels = 10

// overShareLevels is by how many levels plans are less urgent if their customer exceeds its
// share: they go along with the next less urgent kind.
const overShareLevels = 1

// commitments counts the pieces of the unfinished stages of admitted plans,
// including stages that have not started, by service, zone and priority.
type commitments map[string]map[string]*[priorityLevels]int

// add adds pieces to a count, or subtracts them if negative.
func (c commitments) add(service, zone string, priority, pieces int) {
	if c[service] == nil {
		c[service] = make(map[string]*[priorityLevels]int)
	}
	if c[service][zone] == nil {
		c[service][zone] = new([priorityLevels]int)
	}
	n := &c[service][zone][priorityLevel(priority)]
	*n = max(0, *n+pieces)
}

// priorityLevel returns the priority limited to 0..priorityLevels-1.
func priorityLevel(priority int) int { return max(0, min(priorityLevels-1, priority)) }

// level returns the priority level at which a plan is scheduled: that of its priority, or
// less urgent if its customer exceeds its share.
func (p *Plan) level() int {
	if p.overShare {
		return priorityLevel(p.Priority + overShareLevels)
	}
	return priorityLevel(p.Priority)
}

// piecesInZone returns the pieces committed to a service in a zone with the
// given priority or a more urgent one.
func (c commitments) piecesInZone(service, zone string, priority int) int {
	n := 0
	if counts := c[service][zone]; counts != nil {
		for _, pieces := range counts[:priorityLevel(priority)+1] {
			n += pieces
		}
	}
	return n
}

// pieces returns the pieces committed to a service in all zones with the given
// priority or a more urgent one.
func (c commitments) pieces(service string, priority int) int {
	n := 0
	for zone := range c[service] {
		n += c.piecesInZone(service, zone, priority)
	}
	return n
}

// drainTime returns how long n pieces take in full calls at the given capacity,
// a number of endpoints at full speed. Without capacity it returns unboundedWait.
func drainTime(limits *catalog.StageLimits, n int, effectiveEndpoints float64) time.Duration {
	if effectiveEndpoints <= 0 {
		return unboundedWait
	}
	perPiece := limits.CallOverhead/time.Duration(limits.MaxBatch) + limits.TimePerPiece
	return time.Duration(float64(n) * float64(perPiece) / (effectiveEndpoints * float64(limits.MaxConcurrentCalls)))
}

// unboundedWait is longer than any request waits.
const unboundedWait = time.Hour

// chooseZone returns the zone in which a plan's stages should run: its preferred
// zone, unless the pieces committed there take longer than those of another zone
// by more than the margin. The stage with the longest time counts. The caller
// holds sc.mu.
func (sc *Scheduler) chooseZone(p *Plan) string {
	waits := make(map[string]time.Duration)
	now := sc.cfg.Clock.Now()
	for _, s := range p.Stages {
		q, err := sc.refreshQueue(s.Service)
		if s.Pieces == 0 || err != nil {
			continue
		}
		for _, zone := range q.Zones() {
			waits[zone] += 0
		}
		for zone := range waits {
			waits[zone] = max(waits[zone], drainTime(q.Limits(), sc.committed.piecesInZone(s.Service, zone, p.level())+s.Pieces, q.EffectiveEndpoints(now, zone)))
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
			margin = zoneChangeMargin
			if p.WaitForZone {
				margin = largeZoneChangeMargin
			}
		}
		if !known || waits[z]+margin < current {
			best = z
		}
	}
	return best
}

// commitmentsOf returns the commitments that count a plan's pieces. The caller
// holds sc.mu.
func (sc *Scheduler) commitmentsOf(p *Plan) commitments {
	if p.admittedLate {
		return sc.committedLate
	}
	return sc.committed
}

// commit counts a plan's pieces as committed to its zone, and for its customer. The caller holds sc.mu.
func (sc *Scheduler) commit(p *Plan) {
	sc.countAdmitted(p, sc.cfg.Clock.Now())
	for _, s := range p.Stages {
		sc.commitmentsOf(p).add(s.Service, p.Zone, p.level(), s.Pieces)
	}
}

// releaseStage removes a finished stage's pieces from the commitments.
func (sc *Scheduler) releaseStage(p *Plan, remaining []int, stage int) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	sc.commitmentsOf(p).add(p.Stages[stage].Service, p.Zone, p.level(), -remaining[stage])
	remaining[stage] = 0
}

// releasePlan removes a plan's remaining pieces from the commitments.
func (sc *Scheduler) releasePlan(p *Plan, remaining []int) {
	for i := range p.Stages {
		sc.releaseStage(p, remaining, i)
	}
}

// moveCommitments moves a plan's remaining pieces to another zone, because its
// next stages follow their inputs.
func (sc *Scheduler) moveCommitments(p *Plan, remaining []int, zone string) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	if zone == p.Zone {
		return
	}
	c := sc.commitmentsOf(p)
	for i, s := range p.Stages {
		c.add(s.Service, p.Zone, p.level(), -remaining[i])
		c.add(s.Service, zone, p.level(), remaining[i])
	}
	p.Zone = zone
}

// minorityThreshold is the fraction of reachable hosts below which a
// coordinator leaves endpoints to the coordinator of the other hosts.
const minorityThreshold = 0.5

// assignedEndpoints returns those of the given endpoints that this coordinator
// calls. A coordinator that reaches only a minority of the hosts has little work,
// and its small calls would use up capacity that the coordinator of the other
// hosts needs: it calls only some endpoints, those in its own zone first. Their
// number is proportional to the share of the hosts that it reaches.
func (sc *Scheduler) assignedEndpoints(service string, endpoints []*catalog.Endpoint) []*catalog.Endpoint {
	reachable := sc.cfg.ReachableShare()
	if reachable >= minorityThreshold || len(endpoints) == 0 {
		return endpoints
	}
	byID := make(map[string]*catalog.Endpoint, len(endpoints))
	var local, remote []string
	for _, e := range endpoints {
		byID[e.ID] = e
		if e.Zone == sc.cfg.Zone {
			local = append(local, e.ID)
		} else {
			remote = append(remote, e.ID)
		}
	}
	order := append(membership.SelectByRendezvous(local, service+"/"+sc.cfg.Self, len(local)), membership.SelectByRendezvous(remote, service+"/"+sc.cfg.Self, len(remote))...)
	n := max(1, int(math.Ceil(reachable/minorityThreshold*float64(len(endpoints)))))
	out := make([]*catalog.Endpoint, 0, n)
	for _, id := range order[:n] {
		out = append(out, byID[id])
	}
	return out
}

// hasBacklog reports whether the pieces queued for any of the given stages of a
// plan take longer than backlogThreshold. The caller holds sc.mu.
func (sc *Scheduler) hasBacklog(p *Plan, stages []int) bool {
	for _, i := range stages {
		if q := sc.queues[p.Stages[i].Service]; q != nil && drainTime(q.Limits(), q.WaitingPieces(), q.EffectiveEndpoints(sc.cfg.Clock.Now(), "")) > backlogThreshold {
			return true
		}
	}
	return false
}
