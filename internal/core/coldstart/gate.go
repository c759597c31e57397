package coldstart

import (
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/pimentorill/pimentorill/internal/core/release"
	"github.com/pimentorill/pimentorill/internal/port"
)

// Errors of Gate.
var (
	// ErrEndpointFull means that a warm endpoint has no free slot for this host.
	ErrEndpointFull = errors.New("coldstart: endpoint has no free slot")
	// ErrNoPermit means that the endpoint may be cold and this host has no
	// permit that lasts long enough.
	ErrNoPermit = errors.New("coldstart: no permit for a cold endpoint")
)

// Outcome is how an attempt ended, as far as the endpoint is concerned.
type Outcome struct {
	// Stopped says that the endpoint is known not to work on it any more.
	Stopped bool
	// Answered says that the whole answer came.
	Answered bool
	// ConnectionClosed says that the endpoint closed the connection or did not open one.
	ConnectionClosed bool
	// Load is the endpoint's report that came with the answer; nil if none.
	Load *port.Load
}

// Limiter bounds this host's work on each endpoint: by permits while it may be
// cold, by its slots while it is warm. It is safe for concurrent use.
type Limiter struct {
	// doubt spreads a doubt to all hosts; it must not block.
	broadcastSuspicion func(d Suspicion)

	mu        sync.Mutex
	endpoints map[string]*limiterState
}

// NewLimiter returns a Gate that knows nothing, so that all endpoints count as cold.
func NewLimiter(doubt func(d Suspicion)) *Limiter {
	return &Limiter{broadcastSuspicion: doubt, endpoints: make(map[string]*limiterState)}
}

// Admission is the right to send one attempt. Leave ends it.
type Admission struct {
	limiter *Limiter
	state   *limiterState
	permit  *permit
}

// Admit takes a place on the endpoint for an attempt that ends by deadline,
// or by the Pass's Until if a permit cannot last that long.
// The error is ErrEndpointFull or ErrNoPermit.
func (g *Limiter) Admit(now time.Time, e release.Endpoint, deadline time.Time) (*Admission, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.stateOf(e.ID)
	p := &Admission{limiter: g, state: s}
	if s.warm() {
		if s.isFull(e.Slots) {
			return nil, ErrEndpointFull
		}
	} else if p.permit = s.takePermit(now, deadline); p.permit == nil {
		return nil, ErrNoPermit
	}
	s.inFlight++
	return p, nil
}

// PermitExpiry returns when the attempt has to be cancelled at the latest; false if
// its own deadline is enough.
func (p *Admission) PermitExpiry() (time.Time, bool) {
	if p.permit == nil {
		return time.Time{}, false
	}
	return p.permit.expires, true
}

// Finish ends the attempt. It reports whether there is something to tell the
// holder by the next Ask.
func (p *Admission) Finish(now time.Time, end Outcome) bool {
	g := p.limiter
	g.mu.Lock()
	defer g.mu.Unlock()
	s := p.state
	s.inFlight--
	if end.Answered {
		s.window++
	}
	if s.observeOutcome(now, end) {
		g.suspectLocked(s)
	}
	if p.permit != nil && (end.Stopped || end.ConnectionClosed) {
		s.returns = append(s.returns, p.permit.toReturn(end))
	}
	return len(s.returns) > 0 || s.suspected()
}

// Suspect marks the endpoint as possibly cold for a reason that did not come
// from an attempt, such as an availability zone that has come back.
func (g *Limiter) Suspect(endpoint string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.suspectLocked(g.stateOf(endpoint))
}

func (g *Limiter) suspectLocked(s *limiterState) {
	s.suspicions++
	g.broadcastSuspicion(Suspicion{Endpoint: s.endpoint, Epoch: s.epoch})
}

// NewPermitRequest returns the message to the holder that asks for count permits until
// deadline. It gives unused permits back, so a lost Ask loses them until they
// expire.
func (g *Limiter) NewPermitRequest(now time.Time, endpoint string, count int, deadline time.Time) PermitRequest {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.stateOf(endpoint)
	s.returnUnusedPermits(now)
	ask := PermitRequest{
		Endpoint: endpoint, KnownEpoch: s.epoch, BelievedWarm: s.announcedWarm, Suspected: s.suspected(), Count: count,
		Lifetime: min(max(0, deadline.Sub(now))+permitLifetimeMargin, MaxPermitLifetime),
		Returns:  s.returns, suspicions: s.suspicions,
	}
	s.returns = nil
	return ask
}

// ApplyReply takes the holder's reply to an Ask that was sent at sent. A reply
// under an older lease than the last one is ignored.
func (g *Limiter) ApplyReply(sent time.Time, ask PermitRequest, r PermitReply) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.stateOf(ask.Endpoint)
	if r.Fence < s.fence {
		return
	}
	s.fence = r.Fence
	s.applyStatus(sent, r.Status)
	if ask.Suspected {
		s.answeredSuspicions = max(s.answeredSuspicions, ask.suspicions)
	}
	for _, id := range r.Permits {
		s.permits = append(s.permits, &permit{id: id, fence: r.Fence, expires: sent.Add(r.Lifetime)})
	}
}

// ApplyStatus takes a holder's word. While the holder has not answered a doubt of
// this host's own, the endpoint stays cold here whatever the word.
func (g *Limiter) ApplyStatus(now time.Time, w Status) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stateOf(w.Endpoint).applyStatus(now, w)
}

// ApplySuspicion takes another host's doubt.
func (g *Limiter) ApplySuspicion(d Suspicion) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.stateOf(d.Endpoint)
	if d.Epoch >= s.epoch {
		s.epoch = d.Epoch
		s.announcedWarm = false
	}
}

// Status returns the last word on the endpoint; Warm is false if in doubt.
func (g *Limiter) Status(endpoint string) Status {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.stateOf(endpoint)
	w := Status{Endpoint: endpoint, Epoch: s.epoch, Warm: s.warm()}
	if n := len(s.incarnations); w.Warm && n > 0 {
		w.Incarnation = s.incarnations[n-1]
	}
	return w
}

// Prune drops what is known of endpoints that are not kept and idle.
func (g *Limiter) Prune(keep map[string]bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for id, s := range g.endpoints {
		if !keep[id] && s.inFlight == 0 {
			delete(g.endpoints, id)
		}
	}
}

func (g *Limiter) stateOf(endpoint string) *limiterState {
	s, ok := g.endpoints[endpoint]
	if !ok {
		s = &limiterState{endpoint: endpoint}
		g.endpoints[endpoint] = s
	}
	return s
}
