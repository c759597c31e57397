package crashing

import (
	"context"
	"io"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pimentorill/pimentorill/internal/core/catalog"
	"github.com/pimentorill/pimentorill/internal/core/poison"
)

const (
	// openTime is how long an attempt stays open after its end.
	openTime = 15 * time.Second
	// maxOpen bounds the attempts at one endpoint that stay open after their end.
	maxOpen = 64
)

// Result is how an attempt ended.
type Result uint8

// The results.
const (
	// Answered means that the endpoint responded, or was sent nothing.
	Answered Result = iota
	// Broken means that the endpoint broke the connection before the deadline.
	Broken
	// Unanswered means that no whole response came, for another reason.
	Unanswered
)

// Attempt is a request, or a call with pieces of requests, at an endpoint.
type Attempt struct {
	guard     *Guard
	endpoint  *catalog.Endpoint
	request   string
	startedAt time.Time
	// heardAt is when the endpoint last sent something of the response, in nanoseconds after
	// startedAt; 0 if it has sent nothing.
	heardAt atomic.Int64

	// The fields below are guarded by the mu of the guard's openAttempts. traits is replaced
	// by its result when the attempt has ended.
	traits  func() []poison.Trait
	endedAt time.Time
	// silent is set once the endpoint was found silent, and counted once the attempt has been
	// counted as the cause of a crash for all of its traits.
	silent, counted bool
}

// openAttempts are the attempts at endpoints that may be the cause of a crash.
type openAttempts struct {
	mu        sync.Mutex
	endpoints map[catalog.Incarnation]*openEndpoint
	// responded holds the endpoints that responded while something was suspected, and when they
	// first did so, until that is told to the ledger.
	responded map[catalog.Incarnation]time.Time
}

type openEndpoint struct {
	*catalog.Endpoint
	attempts map[*Attempt]struct{}
	// heardAt is when the endpoint last showed a sign of life, and probedAt when it was last
	// probed for its silence; zero if it was not.
	heardAt, probedAt time.Time
	// leaves is set once the endpoint is known to end as planned.
	leaves bool
}

func newOpenAttempts() openAttempts {
	return openAttempts{endpoints: make(map[catalog.Incarnation]*openEndpoint), responded: make(map[catalog.Incarnation]time.Time)}
}

// Begin records that a request is about to be sent to an endpoint. traits returns those of the
// request, or of all requests with pieces in a call; it is called without locks held, if there is no
// whole response. The caller must call End.
func (g *Guard) Begin(request string, e *catalog.Endpoint, traits func() []poison.Trait) *Attempt {
	a := &Attempt{guard: g, endpoint: e, request: request, startedAt: g.cfg.Clock.Now(), traits: traits}
	g.open.mu.Lock()
	defer g.open.mu.Unlock()
	o := g.open.endpoints[e.Incarnation()]
	if o == nil {
		o = &openEndpoint{Endpoint: e, attempts: make(map[*Attempt]struct{})}
		g.open.endpoints[e.Incarnation()] = o
	}
	o.attempts[a] = struct{}{}
	return a
}

// Heard records that the endpoint sent something of the response.
func (a *Attempt) Heard() { a.heardAt.Store(max(1, int64(a.guard.cfg.Clock.Now().Sub(a.startedAt)))) }

// Body returns a response's body whose reads record that the endpoint sent something. body may
// be nil.
func (a *Attempt) Body(body io.Reader) io.Reader {
	if body == nil {
		return nil
	}
	return &heardBody{body, a}
}

type heardBody struct {
	io.Reader
	attempt *Attempt
}

// Read implements io.Reader.
func (b *heardBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if n > 0 {
		b.attempt.Heard()
	}
	return n, err
}

// End records how the attempt ended. It does not wait.
func (a *Attempt) End(result Result) {
	g := a.guard
	if result == Answered {
		g.open.mu.Lock()
		defer g.open.mu.Unlock()
		if o := g.open.endpoints[a.endpoint.Incarnation()]; o != nil {
			o.heard(a)
			g.open.remove(o, a)
		}
		return
	}
	a.settleTraits()
	g.open.mu.Lock()
	a.endedAt = g.cfg.Clock.Now()
	if o := g.open.endpoints[a.endpoint.Incarnation()]; o != nil && (len(o.attempts) > maxOpen || a.counted) {
		g.open.remove(o, a)
	}
	g.open.mu.Unlock()
	if result == Broken {
		g.reportBroken(a)
	}
}

// settleTraits returns the traits and keeps nothing else of the requests.
func (a *Attempt) settleTraits() []poison.Trait {
	mu := &a.guard.open.mu
	mu.Lock()
	work := a.traits
	mu.Unlock()
	traits := work()
	mu.Lock()
	defer mu.Unlock()
	a.traits = func() []poison.Trait { return traits }
	return traits
}

// heard records the sign of life that the endpoint last showed to an attempt.
func (o *openEndpoint) heard(a *Attempt) {
	if at := a.lastHeard(); at.After(o.heardAt) {
		o.heardAt = at
	}
}

// lastHeard returns when the endpoint last sent something to the attempt; zero if it has not.
func (a *Attempt) lastHeard() time.Time {
	if after := a.heardAt.Load(); after > 0 {
		return a.startedAt.Add(time.Duration(after))
	}
	return time.Time{}
}

// remove removes an attempt. The caller holds mu.
func (o *openAttempts) remove(e *openEndpoint, a *Attempt) {
	delete(e.attempts, a)
	if len(e.attempts) == 0 {
		delete(o.endpoints, e.Incarnation())
	}
}

// reportBroken counts an attempt whose connection its endpoint broke as the cause of a crash,
// unless the endpoint responds on another one: then it was the path between this host and the
// endpoint that broke, or a single response. An endpoint that is draining or gone from the newest
// snapshot has ended as planned and is left out.
func (g *Guard) reportBroken(a *Attempt) {
	if !g.isUsable(a.endpoint) {
		return
	}
	if g.cfg.Responds == nil {
		g.countAttempts(a.endpoint, a)
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), witnessTimeout)
		defer cancel()
		if !g.cfg.Responds(ctx, a.endpoint) {
			g.countAttempts(a.endpoint, a)
			return
		}
		g.count("crash_reports_dismissed_total")
		g.cfg.Log.Info("connection to an endpoint broke, but the endpoint responds", slog.String("endpoint", a.endpoint.ID), slog.String("request", a.request))
	}()
}

func (g *Guard) isUsable(e *catalog.Endpoint) bool {
	return slices.ContainsFunc(g.cfg.Snapshot().Usable[e.Service], func(o *catalog.Endpoint) bool { return o.Incarnation() == e.Incarnation() })
}

// countAttempts counts attempts as the cause of the end of their endpoint.
func (g *Guard) countAttempts(e *catalog.Endpoint, attempts ...*Attempt) {
	traits := g.mark(e, attempts, func(a *Attempt) bool {
		first := !a.counted
		a.counted = true
		if o := g.open.endpoints[e.Incarnation()]; o != nil && !a.endedAt.IsZero() {
			g.open.remove(o, a)
		}
		return first
	})
	if traits != nil {
		g.ledger.Crashed(e, traits)
	}
}

// mark marks attempts and returns the traits of those that isNew reports to be new, nil if there
// are none. isNew marks them; it is called with the lock held.
func (g *Guard) mark(e *catalog.Endpoint, attempts []*Attempt, isNew func(*Attempt) bool) []poison.Trait {
	var traits []poison.Trait
	var requests []string
	for _, a := range attempts {
		own := a.settleTraits()
		g.open.mu.Lock()
		if isNew(a) {
			traits = append(traits, own...)
			requests = append(requests, a.request)
		}
		g.open.mu.Unlock()
	}
	if len(requests) == 0 {
		return nil
	}
	if g.cfg.Metrics != nil {
		g.cfg.Metrics.Counter("crash_reports_total").Inc(int64(len(requests)))
	}
	g.cfg.Log.Info("endpoint ended with requests, or is silent", slog.String("endpoint", e.ID), slog.String("service", e.Service), slog.Any("requests", requests))
	return traits
}
