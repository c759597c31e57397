// Package stagework runs the stages of requests. The stage endpoints are divided
// into groups, mostly by availability zone. One host of the zone, the group's
// coordinator (the keeper in log messages), batches the pieces that all hosts send to
// the group into calls, so that it alone decides which of its endpoints is called and
// knows how much storage each has left. A host sends each of its plans to the
// coordinator of the group with the shortest backlog, preferably in the plan's zone.
// A plan that a group refuses, or whose coordinator doesn't respond, goes to another
// group. The work of a coordinator is bounded by the endpoints of its group and does
// not grow with the fleet.
package stagework

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/pimentorill/pimentorill/internal/core/advisory"
	"github.com/pimentorill/pimentorill/internal/core/calibration"
	"github.com/pimentorill/pimentorill/internal/core/catalog"
	"github.com/pimentorill/pimentorill/internal/core/fairshare"
	"github.com/pimentorill/pimentorill/internal/core/gather"
	"github.com/pimentorill/pimentorill/internal/core/poison"
	"github.com/pimentorill/pimentorill/internal/core/ratelimit"
	"github.com/pimentorill/pimentorill/internal/core/returns"
	"github.com/pimentorill/pimentorill/internal/core/verdict"
	"github.com/pimentorill/pimentorill/internal/crashing"
	"github.com/pimentorill/pimentorill/internal/health"
	"github.com/pimentorill/pimentorill/internal/port"
)

const (
	// dispatchInterval is how often the queues are checked for calls that can
	// start.
	dispatchInterval = 20 * time.Millisecond
	// capacityReportTimeout bounds a request for an endpoint's free storage;
	// measureInterval is the time until the next request to the endpoint: reports
	// lag by some hundred milliseconds.
	capacityReportTimeout = 300 * time.Millisecond
	measureInterval       = 300 * time.Millisecond
)

// SchedulerConfig holds the dependencies of a Scheduler.
type SchedulerConfig struct {
	// Self and Zone are the ID and the availability zone of this host.
	Self, Zone string
	Endpoints  port.EndpointClient
	Health     *health.Monitor
	RateLimits *ratelimit.Limiter
	Advisories *advisory.Registry
	// ReachableShare returns the fraction of the known hosts, including this one,
	// that this host reaches.
	ReachableShare func() float64
	// Coordinates reports whether this host coordinates the group, as far as it knows.
	Coordinates func() bool
	// LookupService returns a service and its endpoints; nil if the service is
	// unknown.
	LookupService func(service string) (*catalog.Service, []*catalog.Endpoint)
	// Crashes knows the requests whose pieces crash endpoints; nil if nothing does.
	Crashes *crashing.Guard
	Clock   port.Clock
	Log     *slog.Logger
	// Metrics may be nil; then no metrics are recorded.
	Metrics tally.Scope
}

// Scheduler holds the queues of the services of one group that this host
// coordinates. It is safe for concurrent use.
type Scheduler struct {
	cfg SchedulerConfig

	// ctx is cancelled when Run returns.
	ctx  context.Context
	stop context.CancelFunc

	mu sync.Mutex
	// queues holds the queues by service.
	queues map[string]*queue
	// runs holds the plans in progress and their cancel functions.
	runs map[*planRun]context.CancelCauseFunc
	// committed counts the pieces of plans that should meet their soft deadline,
	// committedLate those of plans admitted late.
	committed, committedLate commitments
	// expected counts the pieces, by service, of stages that will be queued because their
	// plan has started.
	expected map[string]int
	// shares counts by service what customers ask for and get.
	shares map[string]*fairshare.Ledger
	// returns holds by priority what callers have been told who should come back, and
	// admittedWork the work admitted of late.
	returns      [priorityLevels]returns.Ledger
	admittedWork [priorityLevels]workRate
	// inTimeRatios and lateRatios correct the forecasts of plans in time and late, by
	// priority: less urgent plans are overtaken and take longer.
	inTimeRatios, lateRatios *calibration.Ratios
}

// queue is a service's queue; the mu of the Scheduler guards it.
type queue struct {
	*gather.Queue
	// waiters holds the channels of the runJob calls that wait, by job ID.
	waiters map[string]chan gather.FinishedJob
	// waits holds by priority how long the pieces before those of a plan took to drain
	// when that was last asked.
	waits [priorityLevels]struct {
		at   time.Time
		wait time.Duration
	}
}

// NewScheduler returns a scheduler without queues, which it creates as plans need
// them.
func NewScheduler(cfg SchedulerConfig) *Scheduler {
	if cfg.Metrics == nil {
		cfg.Metrics = tally.NoopScope
	}
	sc := &Scheduler{cfg: cfg, queues: make(map[string]*queue), runs: make(map[*planRun]context.CancelCauseFunc),
		committed: make(commitments), committedLate: make(commitments), expected: make(map[string]int), shares: make(map[string]*fairshare.Ledger),
		inTimeRatios: calibration.New(priorityLevels), lateRatios: calibration.New(priorityLevels)}
	sc.ctx, sc.stop = context.WithCancel(context.Background())
	return sc
}

// Run expires jobs and starts calls as endpoints become available, until ctx ends.
func (sc *Scheduler) Run(ctx context.Context) {
	defer sc.stop()
	t := time.NewTicker(dispatchInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			sc.mu.Lock()
			for _, q := range sc.queues {
				if q.Len() > 0 {
					sc.startCalls(q)
				}
			}
			sc.mu.Unlock()
		}
	}
}

// rateLimits implements gather.RateLimits. The coordinator of a group is the only host
// that calls its endpoints and has their whole limits. Other hosts run plans only if
// they reach no coordinator; they keep to their shares.
type rateLimits struct{ *Scheduler }

// Allows implements gather.RateLimits.
func (r rateLimits) Allows(e *catalog.Endpoint) bool {
	_, limited := r.Limit(e)
	return (!limited || r.cfg.RateLimits.Allows(e.Incarnation(), r.cfg.Coordinates())) && !r.cfg.Advisories.Paused(e)
}

// Limit implements gather.RateLimits. An endpoint that rests counts as one that takes
// nothing.
func (r rateLimits) Limit(e *catalog.Endpoint) (float64, bool) {
	if r.cfg.Advisories.Rest(e) > 0 {
		return 0, true
	}
	return r.cfg.RateLimits.Limit(e.Incarnation())
}

// runJob queues a job and waits for its outcome. The error is a *verdict.Error,
// or ctx.Err() if ctx ends first.
func (sc *Scheduler) runJob(ctx context.Context, service string, j gather.Job) (stageResult, error) {
	sc.mu.Lock()
	q, err := sc.refreshQueue(service)
	if err != nil {
		sc.mu.Unlock()
		return stageResult{}, err
	}
	done := make(chan gather.FinishedJob, 1)
	q.waiters[j.ID] = done
	q.Add(sc.cfg.Clock.Now(), j)
	sc.startCalls(q)
	sc.mu.Unlock()
	select {
	case f := <-done:
		return sc.jobOutcome(f)
	case <-ctx.Done():
		sc.cancel(q, j.ID)
		return stageResult{}, ctx.Err()
	}
}

// refreshQueue returns the queue of a service, creating it if necessary, after it
// has applied the service's current limits and endpoints and started the
// measurements that the queue needs. The error is a *verdict.Error. The caller
// holds sc.mu.
func (sc *Scheduler) refreshQueue(service string) (*queue, error) {
	s, endpoints := sc.cfg.LookupService(service)
	if s == nil || s.StageLimits == nil {
		return nil, verdict.New(verdict.CodeNotReady, verdict.NotRun, "stage service is not known")
	}
	q := sc.queues[service]
	if q == nil {
		q = &queue{Queue: gather.New(s, rateLimits{sc}), waiters: make(map[string]chan gather.FinishedJob)}
		sc.queues[service] = q
	}
	q.SetService(s)
	staying := slices.DeleteFunc(slices.Clone(sc.cfg.Health.Available(endpoints)), sc.cfg.Advisories.Leaves)
	q.SetEndpoints(sc.assignedEndpoints(service, staying))
	for _, e := range q.StartMeasurements() {
		go sc.measureCapacity(q, e)
	}
	return q, nil
}

// Refresh applies a change of the endpoints or of their health to all queues. It
// fails the jobs that have lost inputs.
func (sc *Scheduler) Refresh() {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	for name, q := range sc.queues {
		sc.deliverFinished(q, q.FailJobsWithLostInputs(sc.resultLost))
		if q, err := sc.refreshQueue(name); err == nil {
			sc.startCalls(q)
		}
	}
}

// resultLost reports whether a result is known to be stored at an endpoint that
// the health monitor avoids. The caller holds sc.mu.
func (sc *Scheduler) resultLost(handle string) bool {
	for _, q := range sc.queues {
		if e := q.EndpointOfResult(handle); e != nil {
			return sc.cfg.Health.Avoided(e)
		}
	}
	return false
}

// measureCapacity asks an endpoint for its free storage until the queue needs no
// more reports, that is, while results of other coordinators or of failed calls
// may be stored there.
func (sc *Scheduler) measureCapacity(q *queue, e *catalog.Endpoint) {
	for {
		sc.awaitRest(e)
		ctx, cancel := context.WithTimeout(context.Background(), capacityReportTimeout)
		report, err := sc.cfg.Endpoints.Probe(ctx, e, false)
		cancel()
		sc.mu.Lock()
		more := q.ApplyMeasurement(sc.cfg.Clock.Now(), e, report.FreeBytes, err == nil)
		sc.startCalls(q)
		sc.mu.Unlock()
		if !more {
			return
		}
		port.Sleep(sc.ctx, measureInterval)
		if sc.ctx.Err() != nil {
			return
		}
	}
}

// awaitRest waits until an endpoint that has asked this host for rest takes calls again.
func (sc *Scheduler) awaitRest(e *catalog.Endpoint) {
	if rest := sc.cfg.Advisories.Rest(e); rest > 0 {
		port.Sleep(sc.ctx, rest)
	}
}

// jobOutcome returns the result of a successful job. It frees the results of a
// failed one and returns a *verdict.Error, with CodeConflict if inputs were lost.
func (sc *Scheduler) jobOutcome(f gather.FinishedJob) (stageResult, error) {
	if f.Failure == port.PieceSucceeded {
		return stageResult{f.Handles, f.Zone, f.QueueWait, sc.cfg.Clock.Now()}, nil
	}
	sc.freeUnused(f.Job.Request, f.Handles, string(f.Failure))
	code := verdict.CodeEndpointFailed
	switch f.Failure {
	case port.PieceDeadlineExceeded:
		code = verdict.CodeDeadlineExceeded
	case port.PieceInputMissing:
		code = verdict.CodeConflict
	}
	return stageResult{}, verdict.New(code, verdict.NotRun, "stage failed: "+string(f.Failure))
}

// cancel removes a job from its queue and frees its results.
func (sc *Scheduler) cancel(q *queue, id string) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	delete(q.waiters, id)
	sc.freeUnusedLocked(q.Request(id), q.Cancel(id), causePlanEnded)
}

// startCalls expires jobs and starts the calls that can be made now. The caller
// holds sc.mu.
func (sc *Scheduler) startCalls(q *queue) {
	now := sc.cfg.Clock.Now()
	sc.deliverFinished(q, q.Expire(now))
	sc.cancelRefused()
	for _, c := range q.NextCalls(now) {
		sc.cfg.RateLimits.RecordSend(c.Endpoint.Incarnation())
		go sc.makeCall(q, c, sc.traitsOf(c))
	}
}

// deliverFinished passes the outcome of each job to its waiter, and frees the
// results of jobs without a waiter, which were cancelled or delivered before. The
// caller holds sc.mu.
func (sc *Scheduler) deliverFinished(q *queue, finished []gather.FinishedJob) {
	for _, f := range finished {
		done := q.waiters[f.Job.ID]
		if done == nil {
			sc.freeUnusedLocked(f.Job.Request, f.Handles, causePlanEnded)
			continue
		}
		delete(q.waiters, f.Job.ID)
		done <- f
	}
}

// makeCall makes a call and applies its outcome. The call is cancelled once the
// health monitor finds its endpoint unreachable.
// traits are those of the requests with pieces in the call.
func (sc *Scheduler) makeCall(q *queue, c *gather.Call, traits []poison.Trait) {
	reachable, release := sc.cfg.Health.WhileReachable(context.Background(), c.Endpoint, sc.cfg.Health.PathTo(c.Endpoint))
	defer release()
	ctx, cancel := context.WithTimeout(reachable, c.Timeout)
	defer cancel()
	ended := sc.beginCall(c, traits)
	results, err := sc.cfg.Endpoints.RunPieces(ctx, c.Endpoint, c.Pieces)
	notRun := err != nil && verdict.Of(err) == verdict.NotRun
	ended(err)
	if err != nil {
		switch verdict.From(err).Code {
		case verdict.CodeEndpointFailed:
			sc.cfg.Health.RecordFailure(c.Endpoint)
		case verdict.CodeNoCapacity:
			sc.cfg.Advisories.RecordRefusal(c.Endpoint)
		}
		sc.cfg.Log.Warn("stage call failed", slog.String("service", c.Endpoint.Service), slog.String("endpoint", c.Endpoint.ID),
			slog.Int("pieces", len(c.Pieces)), slog.Bool("not_run", notRun), slog.Any("error", err))
	}
	sc.mu.Lock()
	defer sc.mu.Unlock()
	sc.cfg.Log.Info("stage call", slog.String("service", c.Endpoint.Service), slog.String("endpoint", c.Endpoint.ID),
		slog.String("zone", c.Endpoint.Zone), slog.Int("pieces", len(c.Pieces)), slog.Any("requests", c.Requests()), slog.Any("not_made", countFailures(results)),
		slog.Int64("took_ms", c.Elapsed(sc.cfg.Clock.Now()).Milliseconds()), slog.Int64("expected_ms", c.ExpectedTime().Milliseconds()), slog.Int("jobs_waiting", q.Len()), slog.Int64("room_bytes", q.FreeBytes(c.Endpoint)))
	sc.countPieces(results)
	sc.deliverFinished(q, q.CompleteCall(sc.cfg.Clock.Now(), c, results, err, notRun))
	sc.startCalls(q)
}

// countFailures counts the failed pieces by reason.
func countFailures(results []port.PieceResult) map[port.PieceFailure]int {
	counts := make(map[port.PieceFailure]int)
	for _, r := range results {
		if r.Failure != port.PieceSucceeded {
			counts[r.Failure]++
		}
	}
	return counts
}
