// Package exchange forwards callers' requests to endpoints byte for byte: it
// matches the route, executes the route's stages, picks endpoints, retries
// where that is allowed, and streams the response.
package exchange

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/pimentorill/pimentorill/internal/core/balance"
	"github.com/pimentorill/pimentorill/internal/core/catalog"
	"github.com/pimentorill/pimentorill/internal/core/hedge"
	"github.com/pimentorill/pimentorill/internal/core/origin"
	"github.com/pimentorill/pimentorill/internal/core/poison"
	"github.com/pimentorill/pimentorill/internal/core/quota"
	"github.com/pimentorill/pimentorill/internal/core/ratelimit"
	"github.com/pimentorill/pimentorill/internal/core/rollout"
	"github.com/pimentorill/pimentorill/internal/core/verdict"
	"github.com/pimentorill/pimentorill/internal/crashing"
	"github.com/pimentorill/pimentorill/internal/facts"
	"github.com/pimentorill/pimentorill/internal/health"
	"github.com/pimentorill/pimentorill/internal/origins"
	"github.com/pimentorill/pimentorill/internal/port"
	"github.com/pimentorill/pimentorill/internal/rollouts"
	"github.com/pimentorill/pimentorill/internal/stagework"
)

const (
	// defaultTimeout applies if neither the route nor the caller sets a timeout.
	defaultTimeout = 10 * time.Second
	// notReadyRetry is the retry-after time while the host lacks configuration or
	// endpoints, or its configuration is stale. It is divided by 4 while the host
	// shuts down.
	notReadyRetry = 400 * time.Millisecond
	// busyRetry is the retry-after time if no endpoint is available or the endpoint
	// refuses the request.
	busyRetry = 500 * time.Millisecond
	// minRateLimitRetry and maxRateLimitRetry bound the retry-after time if the rate
	// limits of the endpoints leave this host no room: a caller's retry may reach a
	// host that has some sooner.
	minRateLimitRetry = 100 * time.Millisecond
	maxRateLimitRetry = time.Second
	// runTimeDecline is the weight of a run that is shorter than the longest one of late.
	runTimeDecline = 0.1
)

// Config holds the dependencies of a Server.
type Config struct {
	// Snapshot returns the newest snapshot, never nil.
	Snapshot     func() *facts.Snapshot
	Balancer     *balance.Balancer
	RetryBudgets *quota.RetryBudgets
	RateLimits   *ratelimit.Limiter
	Endpoints    port.EndpointClient
	Stages       *stagework.Dispatcher
	Crashes      *crashing.Guard
	Health       *health.Monitor
	Origins      *origins.Registry
	// Rollouts may be nil; then no version is rolled out.
	Rollouts *rollouts.Guard
	// Regions maps each zone to its region.
	Regions map[string]string
	Clock   port.Clock
	// HedgeShare is the share of a service's requests that may be sent a second time because the
	// first endpoint is slow; 0 means none.
	HedgeShare float64
	// MaxHeldBytes bounds the bodies of responses that are held in memory for all
	// exchanges together; 0 selects a default.
	MaxHeldBytes int64
	// Rand need not be safe for concurrent use; only the Server may use it.
	Rand *rand.Rand
	Log  *slog.Logger
	// Metrics may be nil; then no metrics are recorded.
	Metrics tally.Scope
}

// Server handles exchanges. It is safe for concurrent use.
type Server struct {
	cfg Config

	bodies *bodyBudget
	hedges *hedge.Policy

	mu   sync.Mutex
	rand *rand.Rand
	// firstEventTimes holds the moving averages of the time from the start of an
	// attempt to its first event, by route name.
	firstEventTimes map[string]eventTime
	// runTimes holds how long endpoints ran exchanges of late, by route name: the longest time,
	// which declines with each shorter one.
	runTimes map[string]time.Duration
	// refusingNew is set once new exchanges are refused.
	refusingNew bool
	// endsAt is when the exchanges in progress are cut; zero if they are not.
	endsAt time.Time
	// ending ends once exchanges that are at no endpoint are refused.
	ending     context.Context
	endWaiting context.CancelFunc
}

// New returns a Server.
func New(cfg Config) *Server {
	ending, endWaiting := context.WithCancel(context.Background())
	return &Server{cfg: cfg, bodies: newBodyBudget(cfg.MaxHeldBytes), hedges: hedge.New(), rand: cfg.Rand, firstEventTimes: make(map[string]eventTime), runTimes: make(map[string]time.Duration), ending: ending, endWaiting: endWaiting}
}

// Limits returns the current limits on callers' requests.
func (s *Server) Limits() catalog.Limits {
	if c := s.cfg.Snapshot().Config; c != nil {
		return c.Limits
	}
	return catalog.Limits{}
}

// EndBy tells the server that exchanges in progress are cut at a time: from now on it passes none
// on that endpoints would probably not finish until then. Their callers hear at once that they may
// go to another host.
func (s *Server) EndBy(end time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endsAt = end
}

// checkTimeLeft returns errHostLeaving if the next attempt would probably be cut. One that goes on with
// a stream, or takes the place of an attempt that was given up, is made anyway.
func (r *exchangeRun) checkTimeLeft() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	runTime, ok := r.runTimes[r.route.Name]
	if !ok {
		runTime = r.route.TargetLatency
	}
	if r.endsAt.IsZero() || r.mustGoOn || r.stream.started || r.cfg.Clock.Now().Add(runTime).Before(r.endsAt) {
		return nil
	}
	return errHostLeaving
}

// isEnding reports whether the exchanges in progress will be cut.
func (s *Server) isEnding() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.endsAt.IsZero()
}

// recordRunTime records how long an endpoint ran the exchange.
func (r *exchangeRun) recordRunTime(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.runTimes[r.route.Name]
	r.runTimes[r.route.Name] = max(d, known+time.Duration(runTimeDecline*float64(d-known)))
}

// RefuseNew makes the server refuse all exchanges that arrive from now on.
func (s *Server) RefuseNew() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refusingNew = true
}

// RefuseWaiting makes the server end the exchanges that are at no endpoint: those whose stages
// still run, and those that wait for another endpoint after an attempt. Their callers hear
// whether an endpoint may have run them. It does not wait for the responses.
func (s *Server) RefuseWaiting() { s.endWaiting() }

// errHostLeaving is the refusal of a host that is shutting down.
var errHostLeaving = verdict.New(verdict.CodeNotReady, verdict.NotRun, "host is leaving").WithRetryAfter(notReadyRetry / 4)

func (s *Server) refusesNew() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refusingNew
}

func (s *Server) randomFloat() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rand.Float64()
}

// exchangeRun is the state of one exchange in progress.
type exchangeRun struct {
	*Server
	exchange  *port.Exchange
	responder port.Responder
	snapshot  *facts.Snapshot
	route     *catalog.Route
	service   *catalog.Service
	// customer is the name of the customer; empty if the API key is unknown and the
	// route does not need one.
	customer string
	// request is the exchange as the guard against crashes knows it; nil before its
	// customer is known.
	request *poison.Request
	// version is the software version that the exchange goes to in a roll-out.
	version rollout.Choice
	// customerRegions holds the regions that the customer allows; empty allows all.
	customerRegions []string
	priority        int // 0 is the most urgent
	deadline        time.Time

	// attemptMu guards results, origin and stream.started while an attempt runs: a search
	// for its successor runs concurrently with it.
	attemptMu sync.Mutex
	results   stageResults
	// sentTo holds the addresses to which the exchange was sent, and attempted the ids of the
	// endpoints to which it isn't sent again for now.
	sentTo, attempted map[string]bool
	attempts          int
	// lastEndpoint is that of the newest attempt.
	lastEndpoint catalog.Incarnation
	// executedAttempts is the number of failed attempts that an endpoint may have
	// run.
	executedAttempts int
	// successor is the endpoint of the next attempt, for which a retry was taken, if the
	// last one was given up; nil otherwise. A search sets it while an attempt runs.
	successor *catalog.Endpoint
	// retryTaken says that a retry was taken from the budget for the next attempt.
	retryTaken bool
	// hedging is that of the current attempt; nil if it gets no hedge.
	hedging *hedging
	// mustGoOn is set once this host gave up an attempt for a successor: no refusal ends
	// the exchange.
	mustGoOn bool
	// failedPlans counts the times that the stages failed as they ran again.
	failedPlans int
	// fallback is the newest server error (status 500 or above) of an endpoint; nil
	// if there is none. It is forwarded if the exchange is abandoned.
	fallback *bufferedResponse
	// heldBytes is what the exchange has taken of the budget for bodies.
	heldBytes int64
	// headerWritten is set once the header of a response is sent to the caller.
	headerWritten bool
	stream        streamState
	// origin is where the stream began: it may go on only there. It is nil before the
	// first event of a stream that the caller doesn't take up, and for other exchanges.
	origin *origin.Origin
	// attemptOrigin is the origin if the current attempt brings the first event, and
	// announcement tells it to other hosts; nil if they need not know.
	attemptOrigin origin.Origin
	announcement  *origins.Announcement
	record        logRecord
}

// Exchange handles one exchange and writes its response, or an error, to out. The
// exchange is abandoned when ctx ends.
func (s *Server) Exchange(ctx context.Context, x *port.Exchange, out port.Responder) {
	r := &exchangeRun{Server: s, exchange: x, responder: out, snapshot: s.cfg.Snapshot(), sentTo: make(map[string]bool), attempted: make(map[string]bool)}
	err := r.admit()
	if err == nil {
		err = r.serve(ctx)
	}
	r.complete(ctx, err)
	r.version.Release()
	r.bodies.release(r.heldBytes)
}

// admit sets the route, customer, priority, service and deadline. It returns a
// *verdict.Error with NotRun if the exchange is refused.
func (r *exchangeRun) admit() error {
	c := r.snapshot.Config
	if c == nil || len(r.snapshot.Usable) == 0 {
		return verdict.New(verdict.CodeNotReady, verdict.NotRun, "no configuration or endpoints known yet").WithRetryAfter(notReadyRetry)
	}
	if r.refusesNew() {
		return errHostLeaving
	}
	r.route = c.MatchRoute(r.exchange.Host, r.exchange.Path)
	if r.route == nil {
		return r.refuseUnlessStale(verdict.New(verdict.CodeNotFound, verdict.NotRun, "no route"))
	}
	customer := c.CustomerByKey(r.exchange.APIKey)
	if customer == nil && c.RequiresAPIKey() && !r.route.Public {
		return r.refuseUnlessStale(verdict.New(verdict.CodeUnauthorized, verdict.NotRun, "key is not known"))
	}
	r.priority = c.Urgency(r.route, customer)
	if customer != nil {
		r.customer, r.customerRegions = customer.Name, customer.Regions
	}
	if given, stages := len(r.exchange.PieceCounts), len(r.route.Stages); given > 0 && stages > 0 && given != stages {
		return r.refuseUnlessStale(verdict.New(verdict.CodeBadInput, verdict.NotRun, fmt.Sprintf("request has numbers of pieces for %d stages, its route has %d", given, stages)))
	}
	r.request = poison.NewRequest(r.customer, r.exchange)
	r.service = c.Services[r.route.PickService(r.randomFloat())]
	if r.service == nil {
		return verdict.New(verdict.CodeNotReady, verdict.NotRun, "service is not known").WithRetryAfter(notReadyRetry)
	}
	if err := r.cfg.Crashes.Check(r.request); err != nil {
		return err
	}
	r.deadline = r.exchange.ReceivedAt.Add(effectiveTimeout(r.route.Timeout, r.exchange.CallerTimeout))
	return nil
}

// effectiveTimeout returns the shorter of two timeouts, of which 0 means not set,
// or defaultTimeout if neither is set.
func effectiveTimeout(routeTimeout, callerTimeout time.Duration) time.Duration {
	switch {
	case routeTimeout <= 0 && callerTimeout <= 0:
		return defaultTimeout
	case routeTimeout <= 0:
		return callerTimeout
	case callerTimeout <= 0:
		return routeTimeout
	default:
		return min(routeTimeout, callerTimeout)
	}
}

// refuseUnlessStale returns the refusal, or a retryable one if the configuration
// is stale and a newer one may allow the request.
func (r *exchangeRun) refuseUnlessStale(refusal *verdict.Error) error {
	if r.snapshot.Stale(r.cfg.Clock.Now()) {
		return verdict.New(verdict.CodeNotReady, verdict.NotRun, "configuration may be out of date: "+refusal.Message).WithRetryAfter(notReadyRetry)
	}
	return refusal
}

// serve executes the stages and forwards the exchange. The error is a
// *verdict.Error.
func (r *exchangeRun) serve(parent context.Context) error {
	ctx, cancel := context.WithDeadline(parent, r.deadline)
	defer cancel()
	defer r.freeResults()
	if r.takesUpStream() {
		if err := r.findOrigin(ctx); err != nil {
			return err
		}
		r.stream.lastEventID = r.exchange.ResumeFrom
	}
	r.cfg.RetryBudgets.RecordFirstAttempts(r.service.Name, 1)
	r.hedges.RecordRequest(r.service.Name, r.cfg.HedgeShare)
	if len(r.route.Stages) > 0 && !r.cfg.Balancer.CanPick(r.eligibleEndpoints(), r.criteria("")) {
		if _, limited := r.cfg.Balancer.LimitWait(r.eligibleEndpoints(), r.criteria(""), maxRateLimitRetry); limited {
			// The results of the stages would find no endpoint.
			return r.noEndpointError()
		}
	}
	if err := r.executeStages(ctx); err != nil {
		return err
	}
	return r.forwardWithRetries(ctx)
}

// eligibleEndpoints returns the service's endpoints in the newest snapshot that
// are available, lie in regions that route and customer allow, at which the stream
// may go on if it has begun, and of a version to which a roll-out lets it go.
func (r *exchangeRun) eligibleEndpoints() []*catalog.Endpoint {
	all := r.mayContinue(r.cfg.Health.Available(r.cfg.Snapshot().Usable[r.service.Name]))
	if len(r.route.Regions) == 0 && len(r.customerRegions) == 0 {
		return r.rolledOut(all)
	}
	var allowed []*catalog.Endpoint
	for _, e := range all {
		region := r.cfg.Regions[e.Zone]
		if regionAllowed(r.route.Regions, region) && regionAllowed(r.customerRegions, region) {
			allowed = append(allowed, e)
		}
	}
	return r.rolledOut(allowed)
}

func regionAllowed(regions []string, region string) bool {
	return len(regions) == 0 || slices.Contains(regions, region)
}

// remainingTime returns the time until the exchange's deadline.
func (r *exchangeRun) remainingTime() time.Duration { return r.deadline.Sub(r.cfg.Clock.Now()) }

// complete logs the exchange, after it has sent err, if there is one, to the
// caller. It does so also if ctx, the caller's context, has ended: a caller that has
// only shut down its sending side still reads. An err with NotRun becomes MayHaveRun
// if an endpoint may have run an earlier attempt.
func (r *exchangeRun) complete(ctx context.Context, err error) {
	if err != nil {
		e := verdict.From(err)
		if e.Verdict == verdict.NotRun && r.executedAttempts > 0 {
			e = e.WithVerdict(verdict.MayHaveRun)
		}
		if ctx.Err() != nil && e.Verdict != verdict.NotRun {
			e = verdict.Wrap(err, verdict.CodeCallerCancelled, verdict.MayHaveRun, "caller has gone")
		}
		r.responder.WriteError(e)
		err = e
	}
	r.logExchange(err)
}
