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
	// ErrFull means that a warm endpoint has no free slot for this host.
	ErrFull = errors.New("coldstart: endpoint has no free slot")
	// ErrNoPermit means that the endpoint may be cold and this host has no
	// permit that lasts long enough.
	ErrNoPermit = errors.New("coldstart: no permit for a cold endpoint")
)

// End is how an attempt ended, as far as the endpoint is concerned.
type End struct {
	// Stopped says that the endpoint is known not to work on it any more.
	Stopped bool
	// Answered says that the whole answer came.
	Answered bool
	// Reset says that the endpoint closed the connection or did not open one.
	Reset bool
	// Load is the endpoint's report that came with the answer; nil if none.
	Load *port.LoadReport
}

// Gate bounds this host's work on each endpoint: by permits while it may be
// cold, by its slots while it is warm. It is safe for concurrent use.
type Gate struct {
	// doubt spreads a doubt to all hosts; it must not block.
	doubt func(d Doubt)

	mu     sync.Mutex
	states map[string]*state
}

// NewGate returns a Gate that knows nothing, so that all endpoints count as cold.
func NewGate(doubt func(d Doubt)) *Gate {
	return &Gate{doubt: doubt, states: make(map[string]*state)}
}

// Pass is the right to send one attempt. Leave ends it.
type Pass struct {
	gate   *Gate
	state  *state
	permit *permit
}

// Enter takes a place on the endpoint for an attempt that ends by deadline,
// or by the Pass's Until if a permit cannot last that long.
// The error is ErrFull or ErrNoPermit.
func (g *Gate) Enter(now time.Time, e release.Endpoint, deadline time.Time) (*Pass, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.state(e.ID)
	p := &Pass{gate: g, state: s}
	if s.warm() {
		if s.full(e.Slots) {
			return nil, ErrFull
		}
	} else if p.permit = s.use(now, deadline); p.permit == nil {
		return nil, ErrNoPermit
	}
	s.inFlight++
	return p, nil
}

// Until returns when the attempt has to be cancelled at the latest; false if
// its own deadline is enough.
func (p *Pass) Until() (time.Time, bool) {
	if p.permit == nil {
		return time.Time{}, false
	}
	return p.permit.expires, true
}

// Leave ends the attempt. It reports whether there is something to tell the
// holder by the next Ask.
func (p *Pass) Leave(now time.Time, end End) bool {
	g := p.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	s := p.state
	s.inFlight--
	if end.Answered {
		s.window++
	}
	if s.judge(now, end) {
		g.raise(s)
	}
	if p.permit != nil && (end.Stopped || end.Reset) {
		s.returns = append(s.returns, p.permit.result(end))
	}
	return len(s.returns) > 0 || s.doubted()
}

// Suspect marks the endpoint as possibly cold for a reason that did not come
// from an attempt, such as an availability zone that has come back.
func (g *Gate) Suspect(endpoint string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.raise(g.state(endpoint))
}

func (g *Gate) raise(s *state) {
	s.doubts++
	g.doubt(Doubt{Endpoint: s.endpoint, Epoch: s.epoch})
}

// Ask returns the message to the holder that asks for count permits until
// deadline. It gives unused permits back, so a lost Ask loses them until they
// expire.
func (g *Gate) Ask(now time.Time, endpoint string, count int, deadline time.Time) Ask {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.state(endpoint)
	s.giveBack(now)
	ask := Ask{
		Endpoint: endpoint, Known: s.epoch, Warm: s.word, Doubt: s.doubted(), Count: count,
		Lifetime: min(max(0, deadline.Sub(now))+lifetimeMargin, MaxLifetime),
		Returns:  s.returns, doubts: s.doubts,
	}
	s.returns = nil
	return ask
}

// Take takes the holder's reply to an Ask that was sent at sent. A reply
// under an older lease than the last one is ignored.
func (g *Gate) Take(sent time.Time, ask Ask, r Reply) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.state(ask.Endpoint)
	if r.Fence < s.fence {
		return
	}
	s.fence = r.Fence
	s.adopt(sent, r.Word)
	if ask.Doubt {
		s.settled = max(s.settled, ask.doubts)
	}
	for _, id := range r.Permits {
		s.permits = append(s.permits, &permit{id: id, fence: r.Fence, expires: sent.Add(r.Lifetime)})
	}
}

// Hear takes a holder's word. While the holder has not answered a doubt of
// this host's own, the endpoint stays cold here whatever the word.
func (g *Gate) Hear(now time.Time, w Word) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.state(w.Endpoint).adopt(now, w)
}

// HearDoubt takes another host's doubt.
func (g *Gate) HearDoubt(d Doubt) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.state(d.Endpoint)
	if d.Epoch >= s.epoch {
		s.epoch = d.Epoch
		s.word = false
	}
}

// Known returns the last word on the endpoint; Warm is false if in doubt.
func (g *Gate) Known(endpoint string) Word {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.state(endpoint)
	w := Word{Endpoint: endpoint, Epoch: s.epoch, Warm: s.warm()}
	if n := len(s.incarnations); w.Warm && n > 0 {
		w.Incarnation = s.incarnations[n-1]
	}
	return w
}

// Forget drops what is known of endpoints that are not kept and idle.
func (g *Gate) Forget(keep map[string]bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for id, s := range g.states {
		if !keep[id] && s.inFlight == 0 {
			delete(g.states, id)
		}
	}
}

func (g *Gate) state(endpoint string) *state {
	s, ok := g.states[endpoint]
	if !ok {
		s = &state{endpoint: endpoint}
		g.states[endpoint] = s
	}
	return s
}
