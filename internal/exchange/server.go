// Package exchange passes callers' requests through to endpoints byte for byte:
// it finds the route, has the stages made, chooses endpoints, sends again what
// may be sent again, and streams the answer.
package exchange

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/pimentorill/pimentorill/internal/core/balance"
	"github.com/pimentorill/pimentorill/internal/core/catalog"
	"github.com/pimentorill/pimentorill/internal/core/quota"
	"github.com/pimentorill/pimentorill/internal/core/verdict"
	"github.com/pimentorill/pimentorill/internal/crashing"
	"github.com/pimentorill/pimentorill/internal/facts"
	"github.com/pimentorill/pimentorill/internal/health"
	"github.com/pimentorill/pimentorill/internal/port"
	"github.com/pimentorill/pimentorill/internal/stagework"
)

const (
	// defaultTimeout holds where neither the route nor the caller gives one.
	defaultTimeout = 10 * time.Second
	// notReadyRetry is when a caller may come back to a host that knows too little yet.
	notReadyRetry = 400 * time.Millisecond
	// busyRetry is when a caller may come back if no endpoint is free.
	busyRetry = 500 * time.Millisecond
)

// Config is what a Server needs.
type Config struct {
	Facts     func() *facts.Snapshot
	Table     *balance.Balancer
	Retries   *quota.RetryBudgets
	Endpoints port.EndpointClient
	Stages    *stagework.Dispatcher
	Crashes   *crashing.List
	Health    *health.Watch
	// Regions holds the region of each zone.
	Regions map[string]string
	Clock   port.Clock
	Rand    *rand.Rand
	Log     *slog.Logger
	Metrics tally.Scope
}

// Server answers exchanges. It is safe for concurrent use.
type Server struct {
	cfg Config

	mu    sync.Mutex
	rand  *rand.Rand
	first map[string]time.Duration
	// leaving refuses new exchanges.
	leaving bool
}

// New returns a Server.
func New(cfg Config) *Server {
	return &Server{cfg: cfg, rand: cfg.Rand, first: make(map[string]time.Duration)}
}

// Limits returns what callers may send now.
func (s *Server) Limits() catalog.Limits {
	if c := s.cfg.Facts().Config; c != nil {
		return c.Limits
	}
	return catalog.Limits{}
}

// RefuseNew has new exchanges refused from now on.
func (s *Server) RefuseNew() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
}

func (s *Server) refusesNew() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaving
}

func (s *Server) draw() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rand.Float64()
}

// run is one exchange on its way.
type run struct {
	*Server
	x        *port.Exchange
	out      port.Responder
	facts    *facts.Snapshot
	route    *catalog.Route
	service  *catalog.Service
	customer string
	// regions holds the only regions that the customer allows; empty for all.
	regions  []string
	urgency  int
	deadline time.Time

	results  stagework.Results
	inputs   []string
	zone     string
	tried    map[string]bool
	sends    int
	ran      int
	fallback *buffered
	stream   stream
	trace    trace
}

// Exchange implements the front's handler.
func (s *Server) Exchange(ctx context.Context, x *port.Exchange, out port.Responder) {
	r := &run{Server: s, x: x, out: out, facts: s.cfg.Facts(), tried: make(map[string]bool)}
	err := r.admit()
	if err == nil {
		err = r.serve(ctx)
	}
	r.finish(ctx, err)
}

// admit finds the route and the customer. The error is a *verdict.Error.
func (r *run) admit() error {
	c := r.facts.Config
	if c == nil || len(r.facts.Usable) == 0 {
		return verdict.New(verdict.CodeNotReady, verdict.NotRun, "no configuration or endpoints known yet").WithRetryAfter(notReadyRetry)
	}
	if r.refusesNew() {
		return verdict.New(verdict.CodeNotReady, verdict.NotRun, "host is leaving").WithRetryAfter(notReadyRetry / 4)
	}
	r.route = c.MatchRoute(r.x.Host, r.x.Path)
	if r.route == nil {
		return r.unlessStale(verdict.New(verdict.CodeNotFound, verdict.NotRun, "no route"))
	}
	customer := c.CustomerByKey(r.x.APIKey)
	if customer == nil && c.RequiresAPIKey() && !r.route.Public {
		return r.unlessStale(verdict.New(verdict.CodeUnauthorized, verdict.NotRun, "key is not known"))
	}
	r.urgency = c.Urgency(r.route, customer)
	if customer != nil {
		r.customer, r.regions = customer.Name, customer.Regions
	}
	r.service = c.Services[r.route.PickService(r.draw())]
	if r.service == nil {
		return verdict.New(verdict.CodeNotReady, verdict.NotRun, "service is not known").WithRetryAfter(notReadyRetry)
	}
	if len(r.facts.Refused) > 0 && r.facts.Refused[crashing.Print(r.x).String()] {
		return verdict.New(verdict.CodeNoCapacity, verdict.NotRun, "request crashed several endpoints")
	}
	r.deadline = r.x.ReceivedAt.Add(allowed(r.route.Timeout, r.x.CallerTimeout))
	return nil
}

// allowed returns the shorter of two times of which either may be missing.
func allowed(timeout, allowance time.Duration) time.Duration {
	switch {
	case timeout <= 0 && allowance <= 0:
		return defaultTimeout
	case timeout <= 0:
		return allowance
	case allowance <= 0:
		return timeout
	default:
		return min(timeout, allowance)
	}
}

// unlessStale returns the refusal, or one that lets the caller come back if a
// newer configuration may allow the request.
func (r *run) unlessStale(refusal *verdict.Error) error {
	if r.facts.Stale(r.cfg.Clock.Now()) {
		return verdict.New(verdict.CodeNotReady, verdict.NotRun, "configuration may be out of date: "+refusal.Message).WithRetryAfter(notReadyRetry)
	}
	return refusal
}

// serve has the stages made and the exchange delivered.
func (r *run) serve(parent context.Context) error {
	ctx, cancel := context.WithDeadline(parent, r.deadline)
	defer cancel()
	defer r.freeResults()
	r.cfg.Retries.RecordFirst(r.service.Name, 1)
	if err := r.makeStages(ctx); err != nil {
		return err
	}
	return r.deliver(ctx)
}

// usable returns the endpoints that can be reached and that the newest facts
// and the regions of route and customer allow.
func (r *run) usable() []*catalog.Endpoint {
	all := r.cfg.Health.Up(r.cfg.Facts().Usable[r.service.Name])
	if len(r.route.Regions) == 0 && len(r.regions) == 0 {
		return all
	}
	var allowed []*catalog.Endpoint
	for _, e := range all {
		region := r.cfg.Regions[e.Zone]
		if allows(r.route.Regions, region) && allows(r.regions, region) {
			allowed = append(allowed, e)
		}
	}
	return allowed
}

func allows(regions []string, region string) bool {
	return len(regions) == 0 || slices.Contains(regions, region)
}

// remaining is how long an endpoint may work.
func (r *run) remaining() time.Duration { return r.deadline.Sub(r.cfg.Clock.Now()) }

// finish answers what is not answered yet, and writes the exchange's line.
func (r *run) finish(ctx context.Context, err error) {
	switch {
	case err == nil:
	case ctx.Err() != nil:
		err = verdict.Wrap(err, verdict.CodeCallerCancelled, verdict.MayHaveRun, "caller has gone")
		r.out.Abort()
	default:
		if e := verdict.From(err); e.Verdict == verdict.NotRun && r.ran > 0 {
			err = e.WithVerdict(verdict.MayHaveRun)
		}
		r.out.WriteError(err)
	}
	r.note(err)
}
