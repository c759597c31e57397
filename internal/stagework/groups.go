package stagework

import (
	"math"
	"slices"
	"time"

	"github.com/pimentorill/pimentorill/internal/core/catalog"
	"github.com/pimentorill/pimentorill/internal/core/membership"
)

const (
	// noResponseBackoff is how long a group gets no plans of this host after its
	// coordinator did not respond, while there are others: the time in which the next
	// candidates are pinged.
	noResponseBackoff = 500 * time.Millisecond
	// refusalBackoff is how long a group that has refused a plan gets none that another
	// group has refused before.
	refusalBackoff = 250 * time.Millisecond
	// overloadBacklog is the backlog that a coordinator reports when its processor does
	// not keep up, so that plans go to other groups.
	overloadBacklog = 500 * time.Millisecond
	// backlogHalfLife is the time after which half of a reported backlog is assumed to
	// be gone.
	backlogHalfLife = time.Second
)

// target is a group and the host that coordinates it.
type target struct{ group, host string }

// groupState is what this host knows of a group. Dispatcher.mu guards it.
type groupState struct {
	// backlogs holds the newest backlog reported for each priority.
	backlogs [priorityLevels]reportedBacklog
	// noResponseUntil is the end of the backoff after the coordinator did not
	// respond or another host was asked in its place, refusedUntil that after a
	// refusal.
	noResponseUntil, refusedUntil time.Time
}

type reportedBacklog struct {
	backlog time.Duration
	at      time.Time
}

// now returns the reported backlog less what is assumed to be gone.
func (r reportedBacklog) now(now time.Time) time.Duration {
	if r.backlog == 0 {
		return 0
	}
	return time.Duration(float64(r.backlog) * math.Exp2(-float64(now.Sub(r.at))/float64(backlogHalfLife)))
}

// currentDivision returns the division of the endpoints as of the last Refresh.
func (d *Dispatcher) currentDivision() division {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.division == nil {
		d.updateDivision()
	}
	return d.division
}

// updateDivision divides the current endpoints, if they have changed. The caller
// holds d.mu.
func (d *Dispatcher) updateDivision() {
	endpoints := d.cfg.StageEndpoints()
	ids := make([]string, len(endpoints))
	for i, e := range endpoints {
		ids[i] = e.ID
	}
	slices.Sort(ids)
	if d.division == nil || !slices.Equal(ids, d.endpointIDs) {
		d.division, d.endpointIDs = divide(endpoints), ids
	}
}

// Refresh applies a change of the endpoints or of their health.
func (d *Dispatcher) Refresh() {
	d.mu.Lock()
	d.updateDivision()
	schedulers := make([]*Scheduler, 0, len(d.schedulers))
	for _, sc := range d.schedulers {
		schedulers = append(schedulers, sc)
	}
	d.mu.Unlock()
	for _, sc := range schedulers {
		sc.Refresh()
	}
}

// groupName returns the name of a group; empty for nil.
func groupName(g *group) string {
	if g == nil {
		return ""
	}
	return g.name
}

// groupOrOwn returns the name, or that of this host's own group if it is empty.
func (d *Dispatcher) groupOrOwn(name string) string {
	if name != "" {
		return name
	}
	return groupName(d.currentDivision().ofZone(d.cfg.Zone))
}

// scheduler returns this host's scheduler of a group, which it creates if necessary.
func (d *Dispatcher) scheduler(name string) *Scheduler {
	d.mu.Lock()
	defer d.mu.Unlock()
	sc := d.schedulers[name]
	if sc == nil {
		sc = d.newScheduler(name)
		d.schedulers[name] = sc
		if d.runContext != nil {
			go sc.Run(d.runContext)
		}
	}
	return sc
}

// newScheduler returns a scheduler that calls only the endpoints of a group.
func (d *Dispatcher) newScheduler(name string) *Scheduler {
	reachableShare := func() float64 { return d.cfg.Peers.ReachableShare(d.zonesOf(name)) }
	lookupService := func(service string) (*catalog.Service, []*catalog.Endpoint) {
		s, endpoints := d.cfg.LookupService(service)
		if g := d.currentDivision().named(name); g != nil {
			endpoints = g.endpointsOf(endpoints)
		}
		return s, endpoints
	}
	return NewScheduler(SchedulerConfig{Self: d.cfg.Peers.Self(), Zone: d.cfg.Zone, Endpoints: d.cfg.Endpoints, Health: d.cfg.Health, RateLimits: d.cfg.RateLimits, Advisories: d.cfg.Advisories, Crashes: d.cfg.Crashes,
		ReachableShare: reachableShare, Coordinates: func() bool { return d.coordinates(name) }, LookupService: lookupService, Clock: d.cfg.Clock, Log: d.cfg.Log, Metrics: d.cfg.Metrics})
}

// coordinates reports whether this host coordinates a group, as far as it knows.
func (d *Dispatcher) coordinates(name string) bool {
	hosts := d.cfg.Peers.Coordinators(name, d.zonesOf(name))
	return len(hosts) > 0 && hosts[0] == d.cfg.Peers.Self()
}

// zonesOf returns the zones of a group; nil if there is no such group.
func (d *Dispatcher) zonesOf(name string) []string {
	if g := d.currentDivision().named(name); g != nil {
		return g.zones
	}
	return nil
}

// chooseTarget returns the group that should run a plan and its coordinator: the one
// with the lowest cost. Among equal ones each plan prefers another, so that not all
// hosts move to the same group at once. ok is false if all have been tried. refused
// says that a group has refused the plan; then those that have refused plans of late
// are left out.
func (d *Dispatcher) chooseTarget(p *Plan, tried map[target]bool, refused bool) (best target, ok bool) {
	now := d.cfg.Clock.Now()
	bestCost := time.Duration(0)
	groups := d.currentDivision()
	for _, name := range membership.SelectByRendezvous(groups.names(), p.Request, len(groups)) {
		g := groups.named(name)
		t, untried := d.nextCoordinator(g, tried)
		if !untried {
			continue
		}
		cost, refusing := d.cost(g, p, now)
		if refused && refusing {
			continue
		}
		if !ok || cost < bestCost {
			best, bestCost, ok = t, cost, true
		}
	}
	return best, ok
}

// nextCoordinator returns the first coordinator of a group that has not been tried.
func (d *Dispatcher) nextCoordinator(g *group, tried map[target]bool) (target, bool) {
	for _, host := range d.cfg.Peers.Coordinators(g.name, g.zones) {
		if t := (target{g.name, host}); !tried[t] {
			return t, true
		}
	}
	return target{}, false
}

// coordinatedElsewhere reports whether another host coordinates the group, as far as
// this host knows, and other groups can run its plans. The sender of the plan does not
// reach the coordinator, or does not know yet that it responds again. With two
// coordinators, each would fill the endpoints with small calls.
func (d *Dispatcher) coordinatedElsewhere(name string) bool {
	groups := d.currentDivision()
	g := groups.named(name)
	if g == nil || len(groups) < 2 {
		return false
	}
	hosts := d.cfg.Peers.Coordinators(g.name, g.zones)
	return len(hosts) > 0 && hosts[0] != d.cfg.Peers.Self()
}

// cost returns the expected wait of a plan in a group and whether the group has refused
// a plan of late. A zone other than the plan's counts as a wait, and a coordinator that
// did not respond as a longer one than any other.
func (d *Dispatcher) cost(g *group, p *Plan, now time.Time) (cost time.Duration, refusing bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s := d.states[g.name]; s != nil {
		cost = s.backlogs[priorityLevel(p.Priority)].now(now)
		refusing = now.Before(s.refusedUntil)
		if now.Before(s.noResponseUntil) {
			cost += unboundedWait
		}
	}
	if !slices.Contains(g.zones, p.Zone) {
		if p.WaitForZone {
			return cost + largeZoneChangeMargin, refusing
		}
		return cost + zoneChangeMargin, refusing
	}
	return cost, refusing
}

// state returns the state of a group. The caller holds d.mu.
func (d *Dispatcher) state(group string) *groupState {
	s := d.states[group]
	if s == nil {
		s = &groupState{}
		d.states[group] = s
	}
	return s
}

// recordBacklog records the backlog that a group has for a priority.
func (d *Dispatcher) recordBacklog(group string, priority int, backlog time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.state(group).backlogs[priorityLevel(priority)] = reportedBacklog{backlog, d.cfg.Clock.Now()}
}

// recordRefusal records that a group has refused a plan.
func (d *Dispatcher) recordRefusal(group string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.state(group).refusedUntil = d.cfg.Clock.Now().Add(refusalBackoff)
}

// recordNoResponse records that the coordinator of a group did not respond.
func (d *Dispatcher) recordNoResponse(group string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.state(group).noResponseUntil = d.cfg.Clock.Now().Add(noResponseBackoff)
}
