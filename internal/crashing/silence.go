package crashing

import (
	"context"
	"slices"
	"time"

	"github.com/pimentorill/pimentorill/internal/core/catalog"
	"github.com/pimentorill/pimentorill/internal/facts"
)

// An endpoint that falls silent may have ended, be paused or be out of reach; which of these
// shows later. So attempts without a whole response stay open: until the endpoint responds to
// something that was sent later, or openTime has passed. An endpoint that is silent with open
// attempts is probed. If it responds to no host, though others respond to this one, that counts
// as a crash for the whole requests of its open attempts, and once the store no longer names the
// incarnation for the parts of their prompts too. If the incarnation responds again, and the store
// still names it some seconds later, the crash is withdrawn everywhere.

const (
	// watchInterval is the time between two looks at the open attempts.
	watchInterval = 100 * time.Millisecond
	// silenceTime is the time without a sign of life after which an endpoint with open
	// attempts is probed, probeInterval the time until it is probed again, and maxProbed the
	// number of endpoints that are probed at once.
	silenceTime   = 800 * time.Millisecond
	probeInterval = 2 * time.Second
	maxProbed     = 4
	// aliveDelay is the time after which a response counts as that of the incarnation that the
	// store names: the entry of one that has just started may not have arrived before.
	aliveDelay = 2 * time.Second
)

// EndpointUnreachable records that an endpoint responds to no host. Call it again as long as
// that holds. It does not wait.
func (g *Guard) EndpointUnreachable(e *catalog.Endpoint) {
	if !g.isUsable(e) || len(g.openAt(e, isUnknown)) == 0 {
		return
	}
	if g.cfg.Reaches == nil {
		g.countSilent(e)
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), witnessTimeout)
		defer cancel()
		if g.cfg.Reaches(ctx, e) {
			g.countSilent(e)
		}
	}()
}

// EndpointResponded records that an endpoint responded to a probe.
func (g *Guard) EndpointResponded(e *catalog.Endpoint) {
	now := g.cfg.Clock.Now()
	g.open.mu.Lock()
	defer g.open.mu.Unlock()
	if o := g.open.endpoints[e.Incarnation()]; o != nil {
		o.heardAt = now
	}
	if !g.ledger.Idle() {
		g.open.noteResponse(e.Incarnation(), now)
	}
}

// noteResponse records that an incarnation responded. The caller holds mu.
func (o *openAttempts) noteResponse(i catalog.Incarnation, at time.Time) {
	if _, noted := o.responded[i]; !noted {
		o.responded[i] = at
	}
}

// isUnknown reports whether an attempt may be the cause of a silence of its endpoint and has not
// been counted as one.
func isUnknown(o *openEndpoint, a *Attempt) bool {
	return !a.silent && !a.counted && (a.endedAt.IsZero() || !o.heardAt.After(a.endedAt))
}

// openAt returns the open attempts at an endpoint that are selected.
func (g *Guard) openAt(e *catalog.Endpoint, selected func(*openEndpoint, *Attempt) bool) []*Attempt {
	g.open.mu.Lock()
	defer g.open.mu.Unlock()
	o := g.open.endpoints[e.Incarnation()]
	if o == nil {
		return nil
	}
	o.hear()
	var list []*Attempt
	for a := range o.attempts {
		if selected(o, a) {
			list = append(list, a)
		}
	}
	return list
}

// hear records the signs of life that the endpoint showed to its attempts.
func (o *openEndpoint) hear() {
	for a := range o.attempts {
		o.heard(a)
	}
}

// countSilent counts the open attempts at an endpoint that responds to no host.
func (g *Guard) countSilent(e *catalog.Endpoint) {
	traits := g.mark(e, g.openAt(e, isUnknown), func(a *Attempt) bool {
		first := !a.silent
		a.silent = true
		return first
	})
	if traits != nil {
		g.ledger.Silent(e, traits)
	}
}

// watchAttempts probes the endpoints that are silent, and those that responded too soon after a
// crash to tell that they had not ended. It forgets attempts that ended long ago, and tells the
// ledger which endpoints have responded.
func (g *Guard) watchAttempts() {
	now := g.cfg.Clock.Now()
	idle := g.ledger.Idle()
	snapshot := g.cfg.Snapshot()
	var silent []*catalog.Endpoint
	alive := make(map[catalog.Incarnation]time.Time)
	g.open.mu.Lock()
	for i, o := range g.open.endpoints {
		o.hear()
		if !idle && now.Sub(o.heardAt) <= watchInterval {
			g.open.noteResponse(i, o.heardAt)
		}
		if len(silent) < maxProbed && o.isSilent(now) {
			o.probedAt = now
			silent = append(silent, o.Endpoint)
		}
		for a := range o.attempts {
			if !a.endedAt.IsZero() && (now.Sub(a.endedAt) > openTime || o.heardAt.Sub(a.endedAt) > aliveDelay) {
				g.open.remove(o, a)
			}
		}
	}
	for i, at := range g.open.responded {
		if idle || now.Sub(at) >= aliveDelay {
			delete(g.open.responded, i)
			if snapshot.Incarnations[i] && !snapshot.Stale(now) {
				alive[i] = at
			}
		}
	}
	g.open.mu.Unlock()
	if len(alive) > 0 {
		silent = append(silent, usable(snapshot, g.ledger.Alive(alive))...)
	}
	if g.cfg.ProbeSilent == nil {
		return
	}
	for _, e := range silent {
		g.cfg.ProbeSilent(e)
	}
}

// usable returns the usable endpoints with some incarnations.
func usable(s *facts.Snapshot, incarnations []catalog.Incarnation) []*catalog.Endpoint {
	var list []*catalog.Endpoint
	for _, endpoints := range s.Usable {
		for _, e := range endpoints {
			if slices.Contains(incarnations, e.Incarnation()) {
				list = append(list, e)
			}
		}
	}
	return list
}

// isSilent reports whether an endpoint with open attempts is to be probed.
func (o *openEndpoint) isSilent(now time.Time) bool {
	if now.Sub(o.heardAt) < silenceTime || now.Sub(o.probedAt) < probeInterval {
		return false
	}
	for a := range o.attempts {
		if isUnknown(o, a) && now.Sub(a.startedAt) >= silenceTime {
			return true
		}
	}
	return false
}

// observeEndpoints counts the open attempts at endpoints that have ended without having announced
// it: those that were silent as their entry went, and those that have started anew under the same
// id.
func (g *Guard) observeEndpoints(s *facts.Snapshot) {
	gone, replaced := g.open.ended(s)
	for _, e := range gone {
		g.countAttempts(e, g.openAt(e, func(_ *openEndpoint, a *Attempt) bool { return a.silent })...)
	}
	for _, e := range replaced {
		g.countAttempts(e, g.openAt(e, func(*openEndpoint, *Attempt) bool { return true })...)
	}
}

// ended returns the endpoints with open attempts that did not announce their end and that the
// snapshot no longer has, and those of which it has a later incarnation, whatever its state.
func (o *openAttempts) ended(s *facts.Snapshot) (gone, replaced []*catalog.Endpoint) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for i, open := range o.endpoints {
		usable := s.Usable[open.Service]
		switch {
		case slices.ContainsFunc(usable, func(e *catalog.Endpoint) bool { return e.Incarnation() == i }):
		case s.Incarnations[i]:
			open.leaves = true
		case open.leaves:
		case slices.ContainsFunc(s.Registrations[i.ID], func(r catalog.Registration) bool { return r.StartedUnixMs > i.StartedUnixMs }):
			replaced = append(replaced, open.Endpoint)
		default:
			gone = append(gone, open.Endpoint)
		}
	}
	return gone, replaced
}
