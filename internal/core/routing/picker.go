package routing

import (
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/pimentorill/pimentorill/internal/core/cost"
	"github.com/pimentorill/pimentorill/internal/core/pipeline"
	"github.com/pimentorill/pimentorill/internal/core/release"
	"github.com/pimentorill/pimentorill/internal/core/verdict"
	"github.com/pimentorill/pimentorill/internal/port"
)

// An endpoint with a load of fullLoad or more yields to one in a farther tier
// whose load is below maxSpilloverLoad.
const (
	fullLoad         = 1.0
	maxSpilloverLoad = 0.75
)

// Picker chooses endpoints for one host. Update is called from one goroutine;
// the other methods are safe for concurrent use.
type Picker struct {
	zone  string
	clock port.Clock
	table atomic.Pointer[routingTable]
	index *Index
	// onLeaving is called without locks held.
	onLeaving func(endpointID string, leaving bool)
	// unavailable reports whether an endpoint currently takes no work; nil if
	// all do.
	unavailable func(endpointID string) bool

	mu  sync.Mutex
	rng *rand.Rand
}

// New returns a Picker for a host in the availability zone. rng must not be
// used by others. index may be nil.
func New(zone string, clock port.Clock, rng *rand.Rand, index *Index) *Picker {
	p := &Picker{zone: zone, clock: clock, rng: rng, index: index, onLeaving: func(string, bool) {}}
	p.table.Store(&routingTable{})
	return p
}

// SetUnavailable sets the function that reports which endpoints are picked only
// if no others are left. Call it before the first Pick; fn must not block.
func (p *Picker) SetUnavailable(fn func(endpointID string) bool) { p.unavailable = fn }

// Update applies a release. excluded holds the ids of endpoints that get no new
// work, whatever the release says. Call it from one goroutine.
func (p *Picker) Update(r *release.Release, excluded map[string]bool) {
	p.table.Store(buildTable(r, p.zone, excluded, p.table.Load(), p.randomUint64))
}

// Pick returns an endpoint for the work, or a *verdict.Error with verdict
// NotRun if there is none. Endpoints to avoid are picked only if no others are
// left, and never for a hedge.
func (p *Picker) Pick(w pipeline.AttemptInfo) (release.Endpoint, error) {
	g := p.table.Load().groups[w.Stage.Service]
	if g == nil {
		return release.Endpoint{}, noEndpoint(w)
	}
	candidates := p.candidates(g, w)
	if len(candidates) == 0 {
		return release.Endpoint{}, noEndpoint(w)
	}
	if e, ok := p.pickByPrefix(g, w, candidates); ok {
		return e, nil
	}
	return *p.pickByLoad(g, candidates).endpoint, nil
}

func noEndpoint(w pipeline.AttemptInfo) error {
	return verdict.New(verdict.CodeNoCapacity, verdict.NotRun, "no endpoint serves stage "+w.Stage.Name)
}

// candidate is an endpoint with a snapshot of its state at the time of the
// choice.
type candidate struct {
	snapshot
	endpoint *release.Endpoint
	tier     int
}

// candidates returns the endpoints that may take the work, the nearest first.
// It returns unavailable endpoints, or those paused after failures, only if no
// others are left, and endpoints to avoid only if there are none of these
// either.
func (p *Picker) candidates(g *serviceEndpoints, w pipeline.AttemptInfo) []candidate {
	var paused, avoided []candidate
	available := make([]candidate, 0, g.size())
	now := p.clock.Now()
	for tier, entries := range g.tiers {
		for i := range entries {
			entry := &entries[i]
			c := candidate{snapshot: entry.state.snapshot(now, &entry.endpoint), endpoint: &entry.endpoint, tier: tier}
			switch {
			case c.leaving || w.Cause == cost.CauseHedge && c.cold:
			case slices.Contains(w.Avoid, entry.endpoint.ID):
				avoided = append(avoided, c)
			case c.paused || p.unavailable != nil && p.unavailable(entry.endpoint.ID):
				paused = append(paused, c)
			default:
				available = append(available, c)
			}
		}
	}
	switch {
	case len(available) > 0 || w.Cause == cost.CauseHedge:
		return available
	case len(paused) > 0:
		return paused
	default:
		return avoided
	}
}

// pickByLoad returns an endpoint of the nearest tier that has capacity, or of
// the nearest one if no tier has.
func (p *Picker) pickByLoad(g *serviceEndpoints, candidates []candidate) candidate {
	var best candidate
	found := false
	for start := 0; start < len(candidates); {
		end := start
		for end < len(candidates) && candidates[end].tier == candidates[start].tier {
			end++
		}
		c := p.pickRoundRobin(g, candidates[start:end])
		if !found && c.load < fullLoad || found && c.load < maxSpilloverLoad {
			return c
		}
		if !found {
			best, found = c, true
		}
		start = end
	}
	return best
}

// randomUint64 returns a random start position for a service's round-robin.
func (p *Picker) randomUint64() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rng.Uint64()
}

// maxLoadDifference is how much higher than the lowest load, as a fraction of
// its slots, an endpoint's load may be for it to take its turn in the
// round-robin. Reports lag, so smaller differences carry little information,
// and following them would make all hosts choose the same endpoint.
const maxLoadDifference = 0.5

// pickRoundRobin returns the next candidate in turn whose load is within
// maxLoadDifference of the lowest.
func (p *Picker) pickRoundRobin(g *serviceEndpoints, candidates []candidate) candidate {
	minLoad := candidates[0].load
	for _, c := range candidates {
		minLoad = min(minLoad, c.load)
	}
	start := g.roundRobin.Add(1)
	for i := range candidates {
		index := (start + uint64(i)) % uint64(len(candidates))
		if candidates[index].load <= minLoad+maxLoadDifference {
			g.roundRobin.Add(uint64(i))
			return candidates[index]
		}
	}
	return candidates[0]
}

// Begin counts an attempt that is about to be sent.
func (p *Picker) Begin(endpointID string) {
	if s := p.table.Load().states[endpointID]; s != nil {
		s.recordStart()
	}
}

// End records the outcome of an attempt.
func (p *Picker) End(endpointID string, w pipeline.AttemptInfo, o pipeline.Outcome) {
	t := p.table.Load()
	s := t.states[endpointID]
	if s == nil {
		return
	}
	now := p.clock.Now()
	reportTime := now
	engine := t.isEngine(w.Stage.Service)
	if engine {
		// The endpoint reports its load before the first token of the stream.
		reportTime = now.Add(-o.Duration)
	}
	changes := s.recordEnd(now, reportTime, o.Response.Load, isEndpointFailure(o.Err))
	if changes.leavingChanged {
		p.onLeaving(endpointID, o.Response.Load.Draining)
	}
	if p.index == nil || !engine {
		return
	}
	if changes.restarted {
		p.index.Remove(endpointID)
	}
	if o.Err == nil {
		p.index.AddBlocks(endpointID, Blocks(w.Input))
	}
}

// LeavingEndpoints returns the endpoints that have announced that they are
// leaving but are not marked as leaving in the current release.
func (p *Picker) LeavingEndpoints() []release.Endpoint {
	var out []release.Endpoint
	now := p.clock.Now()
	for _, g := range p.table.Load().groups {
		for _, entries := range g.tiers {
			for _, entry := range entries {
				if entry.state.snapshot(now, &entry.endpoint).leaving {
					out = append(out, entry.endpoint)
				}
			}
		}
	}
	return out
}

// State returns the state of an endpoint as this host sees it, and its
// estimated load.
func (p *Picker) State(e release.Endpoint) (state string, load float64) {
	s := p.table.Load().states[e.ID]
	if s == nil {
		return "unknown", 0
	}
	v := s.snapshot(p.clock.Now(), &e)
	switch {
	case v.leaving:
		state = "leaving"
	case v.paused:
		state = "paused"
	case v.cold:
		state = "cold"
	default:
		state = "ready"
	}
	return state, v.load
}

// RecordReport records a load report that came without a response.
func (p *Picker) RecordReport(endpointID string, load port.LoadReport) {
	s := p.table.Load().states[endpointID]
	if s != nil && s.recordReport(p.clock.Now(), load).leavingChanged {
		p.onLeaving(endpointID, load.Draining)
	}
}

// SetLeaving records the leaving state that another host has reported for an
// endpoint. It does not call the function set with OnLeaving.
func (p *Picker) SetLeaving(endpointID string, leaving bool) {
	if s := p.table.Load().states[endpointID]; s != nil {
		s.setLeaving(leaving)
	}
}

// OnLeaving sets the function that is called when an endpoint's own report says
// that it is leaving, or no longer leaving. Call it before the Picker is used;
// fn must not block.
func (p *Picker) OnLeaving(fn func(endpointID string, leaving bool)) { p.onLeaving = fn }

// isEndpointFailure reports whether an error is a failure of the endpoint.
func isEndpointFailure(err error) bool {
	return err != nil && verdict.From(err).Code == verdict.CodeEndpointFailed
}
