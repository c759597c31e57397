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

// fullLoad is the load from which a nearer endpoint yields to a farther one
// whose load is below roomLoad.
const (
	fullLoad = 1.0
	roomLoad = 0.75
)

// Picker chooses endpoints for one host. Update is called by the control
// goroutine, all else by any.
type Picker struct {
	zone  string
	clock port.Clock
	table atomic.Pointer[table]
	index *Index
	// onLeaving is called without locks held.
	onLeaving func(endpointID string, leaving bool)
	// closed reports whether an endpoint takes no work now; nil if all do.
	closed func(endpointID string) bool

	mu   sync.Mutex
	rand *rand.Rand
}

// New returns a Picker for a host in the availability zone. It draws from r,
// which must not be used by others. index may be nil.
func New(zone string, clock port.Clock, r *rand.Rand, index *Index) *Picker {
	p := &Picker{zone: zone, clock: clock, rand: r, index: index, onLeaving: func(string, bool) {}}
	p.table.Store(&table{})
	return p
}

// SetClosed sets the function that says which endpoints are taken only if no
// others are left. Call it before the first Pick; closed must not block.
func (p *Picker) SetClosed(closed func(endpointID string) bool) { p.closed = closed }

// Update takes a release in force. excluded holds the ids of endpoints that
// get no new work whatever the release says. Call it from one goroutine.
func (p *Picker) Update(r *release.Release, excluded map[string]bool) {
	p.table.Store(buildTable(r, p.zone, excluded, p.table.Load(), p.random))
}

// Pick returns an endpoint for the work, or an error with NotRun if there is
// none. Endpoints to avoid are taken only if no others are left, and never
// for a hedge.
func (p *Picker) Pick(w pipeline.AttemptInfo) (release.Endpoint, error) {
	g := p.table.Load().groups[w.Stage.Service]
	if g == nil {
		return release.Endpoint{}, noEndpoint(w)
	}
	options := p.options(g, w)
	if len(options) == 0 {
		return release.Endpoint{}, noEndpoint(w)
	}
	if e, ok := p.byPrefix(g, w, options); ok {
		return e, nil
	}
	return *p.byLoad(g, options).endpoint, nil
}

func noEndpoint(w pipeline.AttemptInfo) error {
	return verdict.New(verdict.CodeNoCapacity, verdict.NotRun, "no endpoint serves stage "+w.Stage.Name)
}

// option is a candidate as it is seen at the moment of a choice.
type option struct {
	view
	endpoint *release.Endpoint
	tier     int
}

// options returns the endpoints that may take the work, the nearest first. It
// leaves out those to avoid, and those paused after failures, as long as
// others are left.
func (p *Picker) options(g *group, w pipeline.AttemptInfo) []option {
	var paused, avoided []option
	good := make([]option, 0, g.size())
	now := p.clock.Now()
	for tier, all := range g.tiers {
		for i := range all {
			c := &all[i]
			o := option{view: c.state.view(now, &c.endpoint), endpoint: &c.endpoint, tier: tier}
			switch {
			case o.leaving || w.Cause == cost.CauseHedge && o.cold:
			case slices.Contains(w.Avoid, c.endpoint.ID):
				avoided = append(avoided, o)
			case o.paused || p.closed != nil && p.closed(c.endpoint.ID):
				paused = append(paused, o)
			default:
				good = append(good, o)
			}
		}
	}
	switch {
	case len(good) > 0 || w.Cause == cost.CauseHedge:
		return good
	case len(paused) > 0:
		return paused
	default:
		return avoided
	}
}

// byLoad returns an endpoint of the nearest tier that has room, or of the
// nearest one if none has.
func (p *Picker) byLoad(g *group, options []option) option {
	var best option
	found := false
	for from := 0; from < len(options); {
		to := from
		for to < len(options) && options[to].tier == options[from].tier {
			to++
		}
		o := p.inTurn(g, options[from:to])
		if !found && o.load < fullLoad || found && o.load < roomLoad {
			return o
		}
		if !found {
			best, found = o, true
		}
		from = to
	}
	return best
}

// random returns a number to start a service's turns at.
func (p *Picker) random() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rand.Uint64()
}

// turnBand is how far, as a share of its slots, an endpoint's load may be above
// the least one for it to be taken in its turn. Reports lag, so smaller
// differences say little, and following them would make all hosts choose alike.
const turnBand = 0.5

// inTurn returns the next option in turn whose load is within the band.
func (p *Picker) inTurn(g *group, options []option) option {
	least := options[0].load
	for _, o := range options {
		least = min(least, o.load)
	}
	start := g.turn.Add(1)
	for i := range options {
		at := (start + uint64(i)) % uint64(len(options))
		if options[at].load <= least+turnBand {
			g.turn.Add(uint64(i))
			return options[at]
		}
	}
	return options[0]
}

// Begin counts an attempt that is about to be sent.
func (p *Picker) Begin(endpointID string) {
	if s := p.table.Load().states[endpointID]; s != nil {
		s.begin()
	}
}

// End takes in how an attempt ended.
func (p *Picker) End(endpointID string, w pipeline.AttemptInfo, o pipeline.Outcome) {
	t := p.table.Load()
	s := t.states[endpointID]
	if s == nil {
		return
	}
	now := p.clock.Now()
	made := now
	engine := t.isEngine(w.Stage.Service)
	if engine {
		// The report comes before the first token of the stream.
		made = now.Add(-o.Duration)
	}
	n := s.end(now, made, o.Answer.Load, failed(o.Err))
	if n.turned {
		p.onLeaving(endpointID, o.Answer.Load.Leaving)
	}
	if p.index == nil || !engine {
		return
	}
	if n.restarted {
		p.index.Forget(endpointID)
	}
	if o.Err == nil {
		p.index.Answered(endpointID, Blocks(w.Input))
	}
}

// Leaving returns endpoints that have said that they leave, while the release
// in force does not say so.
func (p *Picker) Leaving() []release.Endpoint {
	var out []release.Endpoint
	now := p.clock.Now()
	for _, g := range p.table.Load().groups {
		for _, all := range g.tiers {
			for _, c := range all {
				if c.state.view(now, &c.endpoint).leaving {
					out = append(out, c.endpoint)
				}
			}
		}
	}
	return out
}

// State names how an endpoint is seen and returns its estimated load.
func (p *Picker) State(e release.Endpoint) (state string, load float64) {
	s := p.table.Load().states[e.ID]
	if s == nil {
		return "unknown", 0
	}
	v := s.view(p.clock.Now(), &e)
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

// Reported takes in a report that came without an answer.
func (p *Picker) Reported(endpointID string, load port.Load) {
	s := p.table.Load().states[endpointID]
	if s != nil && s.reported(p.clock.Now(), load).turned {
		p.onLeaving(endpointID, load.Leaving)
	}
}

// Heard takes in what another host has heard of an endpoint.
func (p *Picker) Heard(endpointID string, leaving bool) {
	if s := p.table.Load().states[endpointID]; s != nil {
		s.setLeaving(leaving)
	}
}

// OnLeaving sets the function that is called when an endpoint's own report
// says that it leaves, or stays after all. Call it before the Picker is used;
// fn must not block.
func (p *Picker) OnLeaving(fn func(endpointID string, leaving bool)) { p.onLeaving = fn }

// failed reports whether an error speaks against the endpoint.
func failed(err error) bool {
	return err != nil && verdict.From(err).Code == verdict.CodeEndpointFailed
}
