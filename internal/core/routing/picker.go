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
// whose load is below maxSpilloverLoad. Loads are fractions of the slots.
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
	// onLeaving is the function set with OnLeaving. It is called without locks
	// held.
	onLeaving func(endpointID string, leaving bool)
	// unavailable is the function set with SetUnavailable, or nil.
	unavailable func(endpointID string) bool

	// mu guards rng.
	mu  sync.Mutex
	rng *rand.Rand
}

// New returns a Picker for a host in the availability zone. It has no endpoints
// until Update is called. rng must not be used by others. If index is nil, the
// Picker does not consider the engines' caches.
func New(zone string, clock port.Clock, rng *rand.Rand, index *Index) *Picker {
	p := &Picker{zone: zone, clock: clock, rng: rng, index: index, onLeaving: func(string, bool) {}}
	p.table.Store(&routingTable{})
	return p
}

// SetUnavailable sets the function that reports whether an endpoint currently
// takes no work; such an endpoint is picked only if no others are left. Without
// a function all endpoints take work. Call it before the first Pick; fn must
// not block.
func (p *Picker) SetUnavailable(fn func(endpointID string) bool) { p.unavailable = fn }

// Update replaces the endpoints by those of a release. excluded holds the ids
// of endpoints that get no new work, whatever the release says. Call it from
// one goroutine.
func (p *Picker) Update(r *release.Release, excluded map[string]bool) {
	p.table.Store(buildTable(r, p.zone, excluded, p.table.Load(), p.randomUint64))
}

// Pick returns an endpoint for the attempt, or a *verdict.Error with code
// CodeNoCapacity and verdict NotRun if there is none. The endpoints of
// info.Avoid are picked only if no others are left, and never for a hedge.
func (p *Picker) Pick(info pipeline.AttemptInfo) (release.Endpoint, error) {
	se := p.table.Load().services[info.Stage.Service]
	if se == nil {
		return release.Endpoint{}, noEndpointError(info)
	}
	candidates := p.candidates(se, info)
	if len(candidates) == 0 {
		return release.Endpoint{}, noEndpointError(info)
	}
	if e, ok := p.pickByPrefix(se, info, candidates); ok {
		return e, nil
	}
	return *p.pickByLoad(se, candidates).endpoint, nil
}

func noEndpointError(info pipeline.AttemptInfo) error {
	return verdict.New(verdict.CodeNoCapacity, verdict.NotRun, "no endpoint serves stage "+info.Stage.Name)
}

// candidate is an endpoint with a snapshot of its state at the time of the
// choice.
type candidate struct {
	snapshot
	endpoint *release.Endpoint
	tier     int
}

// candidates returns the endpoints that may take the attempt, the nearest
// first. It returns unavailable endpoints and those paused after failures only
// if no others are left, and the endpoints of info.Avoid only if there are none
// of these either. A hedge gets only available endpoints that are not cold.
func (p *Picker) candidates(se *serviceEndpoints, info pipeline.AttemptInfo) []candidate {
	var paused, avoided []candidate
	available := make([]candidate, 0, se.size())
	now := p.clock.Now()
	for tier, entries := range se.tiers {
		for i := range entries {
			entry := &entries[i]
			c := candidate{snapshot: entry.state.snapshot(now, &entry.endpoint), endpoint: &entry.endpoint, tier: tier}
			switch {
			case c.leaving || info.Cause == cost.CauseHedge && c.cold:
			case slices.Contains(info.Avoid, entry.endpoint.ID):
				avoided = append(avoided, c)
			case c.paused || p.unavailable != nil && p.unavailable(entry.endpoint.ID):
				paused = append(paused, c)
			default:
				available = append(available, c)
			}
		}
	}
	switch {
	case len(available) > 0 || info.Cause == cost.CauseHedge:
		return available
	case len(paused) > 0:
		return paused
	default:
		return avoided
	}
}

// pickByLoad returns an endpoint of the nearest tier whose endpoint next in
// turn has a load below the limit, which is fullLoad for the first tier with
// candidates and maxSpilloverLoad for the others. If there is none, it returns
// the endpoint of the first tier.
func (p *Picker) pickByLoad(se *serviceEndpoints, candidates []candidate) candidate {
	var best candidate
	found := false
	for start := 0; start < len(candidates); {
		end := start
		for end < len(candidates) && candidates[end].tier == candidates[start].tier {
			end++
		}
		c := p.pickRoundRobin(se, candidates[start:end])
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

// randomUint64 returns a random number. buildTable uses it as the initial
// position of a service's round-robin.
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
func (p *Picker) pickRoundRobin(se *serviceEndpoints, candidates []candidate) candidate {
	minLoad := candidates[0].load
	for _, c := range candidates {
		minLoad = min(minLoad, c.load)
	}
	start := se.roundRobin.Add(1)
	for i := range candidates {
		index := (start + uint64(i)) % uint64(len(candidates))
		if candidates[index].load <= minLoad+maxLoadDifference {
			se.roundRobin.Add(uint64(i))
			return candidates[index]
		}
	}
	return candidates[0]
}

// Begin counts an attempt that is about to be sent. It ignores an endpoint that
// is not in the current release.
func (p *Picker) Begin(endpointID string) {
	if s := p.table.Load().states[endpointID]; s != nil {
		s.recordStart()
	}
}

// End records the outcome of an attempt that Begin counted. It ignores an
// endpoint that is not in the current release.
func (p *Picker) End(endpointID string, info pipeline.AttemptInfo, o pipeline.Outcome) {
	t := p.table.Load()
	s := t.states[endpointID]
	if s == nil {
		return
	}
	now := p.clock.Now()
	reportTime := now
	engine := t.isEngine(info.Stage.Service)
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
		p.index.AddBlocks(endpointID, Blocks(info.Input))
	}
}

// LeavingEndpoints returns the endpoints that have reported that they are
// leaving. It omits endpoints that are marked as leaving in the current
// release, are excluded or are in a zone that is out of service.
func (p *Picker) LeavingEndpoints() []release.Endpoint {
	var out []release.Endpoint
	now := p.clock.Now()
	for _, se := range p.table.Load().services {
		for _, entries := range se.tiers {
			for _, entry := range entries {
				if entry.state.snapshot(now, &entry.endpoint).leaving {
					out = append(out, entry.endpoint)
				}
			}
		}
	}
	return out
}

// State returns the state of an endpoint as this host sees it ("leaving",
// "paused", "cold" or "ready") and its estimated load as a fraction of the
// slots. The state is "unknown" and the load 0 if the endpoint is not in the
// current release.
func (p *Picker) State(e release.Endpoint) (state string, load float64) {
	s := p.table.Load().states[e.ID]
	if s == nil {
		return "unknown", 0
	}
	current := s.snapshot(p.clock.Now(), &e)
	switch {
	case current.leaving:
		state = "leaving"
	case current.paused:
		state = "paused"
	case current.cold:
		state = "cold"
	default:
		state = "ready"
	}
	return state, current.load
}

// RecordReport records a load report that came without a response.
func (p *Picker) RecordReport(endpointID string, load port.LoadReport) {
	s := p.table.Load().states[endpointID]
	if s != nil && s.recordReport(p.clock.Now(), load).leavingChanged {
		p.onLeaving(endpointID, load.Draining)
	}
}

// SetLeaving records whether an endpoint is leaving as another host has
// reported it. It does not call the function set with OnLeaving.
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
