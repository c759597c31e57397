package exchange

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/pimentorill/pimentorill/internal/core/balance"
	"github.com/pimentorill/pimentorill/internal/core/catalog"
	"github.com/pimentorill/pimentorill/internal/core/verdict"
	"github.com/pimentorill/pimentorill/internal/crashing"
	"github.com/pimentorill/pimentorill/internal/port"
)

const (
	// maxRefusals bounds the retries of an exchange after attempts that no endpoint
	// ran. MaxAttempts of the route bounds the others.
	maxRefusals = 3
	// attemptTimeoutTargets is the time after which an attempt of an idempotent request
	// is doubted, in multiples of the route's target latency.
	attemptTimeoutTargets = 2.5
	// minAttemptTimeout is the lower bound of the time that attemptTimeoutTargets yields.
	minAttemptTimeout = 250 * time.Millisecond
	// deadlineMargin is the time before the deadline in which an endpoint may already have
	// stopped because of it.
	deadlineMargin = 100 * time.Millisecond
	// minVerifyDelay is the shortest time without a response after which an endpoint is
	// probed, also for a request that can't be given up: the path to it may be lost.
	minVerifyDelay = 400 * time.Millisecond
	// leastUrgentPriority is the least urgent priority that an endpoint accepts;
	// 0 is the most urgent.
	leastUrgentPriority = 9
)

// forwardWithRetries sends the exchange to one endpoint after the other until a
// response is forwarded to the caller or no retry is allowed. It returns nil once
// a response is forwarded, which may be an endpoint's error response; otherwise
// the error is a *verdict.Error.
func (r *exchangeRun) forwardWithRetries(ctx context.Context) error {
	defer r.releaseSuccessor()
	var lastErr error
	for {
		e, err := r.nextEndpoint(ctx, lastErr)
		if err != nil {
			return r.abandon(lastErr, err)
		}
		r.retryTaken = false
		lastErr = r.attempt(ctx, e)
		if port.IsNotReached(lastErr) {
			r.retryTaken = true // no endpoint has received anything, so the next attempt is no retry
		}
		if lastErr == nil {
			return nil
		}
		if ctx.Err() != nil {
			return r.abandon(nil, verdict.Wrap(ctx.Err(), verdict.CodeDeadlineExceeded, verdict.MayHaveRun, "no answer in time"))
		}
		callerGone := verdict.From(lastErr).Code == verdict.CodeCallerCancelled
		willRetry := !callerGone && (r.successor != nil || r.mayRetry(lastErr))
		r.logFailedAttempt(e, lastErr, willRetry)
		if !willRetry && !r.awaitRetry(ctx, lastErr) {
			return r.abandon(lastErr, nil)
		}
	}
}

// noEndpointError returns the refusal of an exchange for which the balancer picks no
// endpoint.
func (r *exchangeRun) noEndpointError() error {
	if wait, limited := r.cfg.Balancer.LimitWait(r.eligibleEndpoints(), r.criteria(""), maxRateLimitRetry); limited {
		return verdict.New(verdict.CodeNoCapacity, verdict.NotRun, "endpoints are at their rate limits or rest").WithRetryAfter(max(wait, minRateLimitRetry))
	}
	return verdict.New(verdict.CodeNoCapacity, verdict.NotRun, "no endpoint is free").WithRetryAfter(busyRetry)
}

// abandon ends the exchange without further attempts. It forwards r.fallback if
// that is set and no response has started. Otherwise it returns defaultErr, or
// lastErr if defaultErr is nil.
func (r *exchangeRun) abandon(lastErr, defaultErr error) error {
	if r.fallback != nil && !r.headerWritten {
		return r.writeResponse(r.fallback)
	}
	if defaultErr != nil {
		return defaultErr
	}
	return lastErr
}

// mayRetry reports whether the exchange may be sent once more after err. If so,
// it takes one retry from the service's budget.
func (r *exchangeRun) mayRetry(err error) bool {
	if verdict.Of(err) == verdict.NotRun {
		if !r.mustGoOn && r.attempts-r.executedAttempts > maxRefusals {
			return false
		}
	} else if !r.route.Repeatable() || !r.mayGoOn() || r.executedAttempts >= r.route.MaxAttempts {
		return false
	}
	return r.takeRetry()
}

// awaitRetry waits until the budget has a retry for an exchange that must go on after a
// refusal, or may be at its end. It reports false for other exchanges, at the end of ctx, and once waiting
// exchanges are refused.
func (r *exchangeRun) awaitRetry(ctx context.Context, err error) bool {
	if !r.mustGoOn || verdict.Of(err) != verdict.NotRun && !r.stream.mayBeAtEnd {
		return false
	}
	for ctx.Err() == nil && r.ending.Err() == nil {
		if r.takeRetry() {
			return true
		}
		r.pause(ctx, failoverInterval)
	}
	return false
}

// rerunStages runs the stages again before a retry if their results are no longer
// available: they were freed after the first event, or err, the error of the last
// attempt, says that an input is missing at the endpoint. err is nil before the first
// attempt.
func (r *exchangeRun) rerunStages(ctx context.Context, err error) error {
	inputMissing := err != nil && verdict.From(err).Code == verdict.CodeConflict
	if len(r.route.Stages) == 0 || r.resultsAvailable() && !inputMissing {
		return nil
	}
	return r.remakeResults(ctx)
}

// remakeResults frees the results of the stages and runs the stages again.
func (r *exchangeRun) remakeResults(ctx context.Context) error {
	if r.failedPlans >= maxFailedPlans {
		return verdict.New(verdict.CodeNoCapacity, verdict.NotRun, "stages failed again and again").WithRetryAfter(busyRetry)
	}
	r.freeResults()
	err := r.executeStages(ctx)
	if err != nil && ctx.Err() == nil {
		r.failedPlans++
	}
	return err
}

// attempt sends the exchange to one endpoint and records the outcome in the
// balancer, the health monitor and the guard against crashes. It returns nil once the
// whole response is forwarded to the caller; the error is a *verdict.Error.
func (r *exchangeRun) attempt(parent context.Context, e *catalog.Endpoint) error {
	r.hedging = r.newHedging()
	r.attempts++
	r.attempted[e.ID] = true
	r.lastEndpoint = e.Incarnation()
	asked := r.stream.mayBeAtEnd
	r.record.answer = nil
	ctx, failover := r.watch(parent, e)
	r.record.endpoint, r.record.zone, r.record.softwareVersion = e.ID, e.Zone, e.SoftwareVersion
	r.record.rateLimit, r.record.rateLimited = r.cfg.RateLimits.Limit(e.Incarnation())
	r.announceOrigin(e)
	request := &port.EndpointRequest{Exchange: r.exchange, Endpoint: e, MayRepeat: r.route.Repeatable(), SentBefore: r.sentTo[e.Address], Customer: r.customer, Remaining: r.remainingTime(),
		Priority: min(leastUrgentPriority, r.priority), Inputs: r.currentResults().handles, ResumeFrom: r.stream.resumeFrom(r.exchange)}
	r.sentTo[e.Address] = true
	startedAt := r.cfg.Clock.Now()
	r.version.Begin(e)
	silence := time.AfterFunc(max(minVerifyDelay, r.route.TargetLatency), func() { r.cfg.Health.Verify(e) })
	defer silence.Stop()
	atEndpoint := r.cfg.Crashes.Begin(r.exchange.ID, e, r.request.Traits)
	r.hedging.arm(parent, failover.cancel)
	err := r.cfg.Endpoints.Forward(ctx, request, func(response *port.EndpointResponse) error {
		silence.Stop()
		atEndpoint.Heard()
		response.Body = atEndpoint.Body(response.Body)
		r.observeLoad(e, response.Load)
		r.checkEnd(ctx, e, response)
		return r.handleResponse(ctx, response, failover, startedAt)
	})
	r.record.gaveUp = failover.end()
	r.mustGoOn = r.mustGoOn || r.successor != nil
	r.countAttempt(err, asked)
	outcome := r.classifyOutcome(parent, err)
	if outcome == balance.ConnectionFailed || outcome == balance.GivenUp {
		r.cfg.Health.RecordFailure(e)
	}
	result := r.attemptResult(outcome, err)
	r.record.takenForCrash = result == crashing.Broken
	atEndpoint.End(result)
	if err == nil && isSuccess(r.record.status) {
		took := r.cfg.Clock.Now().Sub(startedAt)
		r.recordRunTime(took)
		r.cfg.Balancer.RecordRunTime(e.Service, took)
		r.cfg.Crashes.ReportResponse(r.request, e.Service)
	}
	r.cfg.Balancer.Done(e, outcome, nil)
	r.recordVersion(e, outcome, err, r.cfg.Clock.Now().Sub(startedAt))
	return r.settleHedge(err)
}

// attemptResult returns how the last attempt ended, for the guard against crashes. At the deadline
// endpoints break connections by themselves.
func (r *exchangeRun) attemptResult(outcome balance.Outcome, err error) crashing.Result {
	switch {
	case err == nil, verdict.Of(err) == verdict.NotRun, outcome == balance.NoCapacity, outcome == balance.AddressReused:
		return crashing.Answered
	case outcome == balance.Failed && verdict.From(err).Code != verdict.CodeDeadlineExceeded:
		return crashing.Answered
	case outcome == balance.ConnectionFailed && port.IsConnectionLoss(err) && r.remainingTime() > deadlineMargin:
		return crashing.Broken
	default:
		return crashing.Unanswered
	}
}

// classifyOutcome returns the outcome of an attempt for the balancer. parent is
// the context of the exchange, which giving the attempt up does not end.
func (r *exchangeRun) classifyOutcome(parent context.Context, err error) balance.Outcome {
	if err == nil {
		return balance.Succeeded
	}
	if parent.Err() != nil || r.hedging.hasWon() {
		return balance.Cancelled
	}
	e := verdict.From(err)
	switch {
	case e.Code == verdict.CodeCallerCancelled:
		return balance.Cancelled
	case r.record.gaveUp != nil:
		return balance.GivenUp
	case e.Code == verdict.CodeNoCapacity:
		return balance.NoCapacity
	case errors.Is(err, errAddressReused):
		return balance.AddressReused
	case e.Code == verdict.CodeConflict:
		return balance.Cancelled
	case errors.Is(err, errNoRest) && r.stream.mayBeAtEnd:
		return balance.Cancelled
	case r.fallback != nil, errors.Is(err, errNoRest), errors.Is(err, errUnprovenRefusal), e.Code == verdict.CodeDeadlineExceeded:
		return balance.Failed
	default:
		return balance.ConnectionFailed
	}
}

// handleResponse reads an endpoint's response and forwards it. It returns nil only
// if the whole response was forwarded to the caller. It stores a server error of
// a repeatable request in r.fallback instead and returns an error. startedAt is
// when the attempt started.
func (r *exchangeRun) handleResponse(ctx context.Context, response *port.EndpointResponse, failover *failover, startedAt time.Time) error {
	r.record.answer = answerAttrs(response)
	switch {
	case response.NotRun:
		return refusalError(response)
	case response.ContentEncoded, !response.HasAttemptID, isSuccess(response.Status) && !response.Signed:
		return verdict.New(verdict.CodeEndpointFailed, verdict.MayHaveRun, "answer is not the endpoint's own")
	case !r.route.Repeatable() && saysNotRun(response.Status):
		return verdict.Wrap(errUnprovenRefusal, verdict.CodeEndpointFailed, verdict.MayHaveRun, "endpoint failed")
	case r.stream.started:
		if err := r.checkRest(response); err != nil {
			return err
		}
		return r.forwardStream(ctx, response, failover, startedAt)
	case r.route.Kind == catalog.Stream && isSuccess(response.Status):
		return r.forwardStream(ctx, response, failover, startedAt)
	}
	buffered := &bufferedResponse{status: response.Status, header: response.Header}
	complete, err := r.holdBody(buffered, response.Body, response.Length)
	mayRetry := r.route.Repeatable() && r.executedAttempts+1 < r.route.MaxAttempts
	switch {
	case err != nil:
		return verdict.Wrap(err, verdict.CodeEndpointFailed, verdict.MayHaveRun, "answer broke off")
	case !complete && (mayRetry || response.Length > maxResponseBytes):
		return verdict.New(verdict.CodeEndpointFailed, verdict.MayHaveRun, "answer is too large")
	case !complete && !r.hedging.take(false):
		return errBeaten
	case !complete:
		return r.forwardRest(buffered, response.Body, response.Length)
	case response.Status >= statusServerError && r.route.Repeatable():
		r.fallback = buffered
		return verdict.New(verdict.CodeEndpointFailed, verdict.MayHaveRun, "endpoint failed")
	case !r.hedging.take(false):
		return errBeaten
	}
	return r.writeResponse(buffered)
}

// refusalError returns the reason why an endpoint did not run the request.
func refusalError(response *port.EndpointResponse) error {
	switch {
	case response.Misdirected:
		return verdict.Wrap(errAddressReused, verdict.CodeEndpointFailed, verdict.NotRun, "endpoint did not take the request")
	case response.Status == statusConflict:
		return verdict.New(verdict.CodeConflict, verdict.NotRun, "an input is gone")
	default:
		return verdict.New(verdict.CodeNoCapacity, verdict.NotRun, "endpoint did not take the request").WithRetryAfter(busyRetry)
	}
}

// errAddressReused means that another endpoint now has the address of the one
// that the exchange was sent to.
var errAddressReused = errors.New("another endpoint has the address")

// errUnprovenRefusal means that an endpoint answered with a status that tells callers that the
// request has not run, but did not say so itself.
var errUnprovenRefusal = errors.New("response has the status of a refusal and is none")

// saysNotRun reports whether callers take a status as the promise that the request has not run
// and never will.
func saysNotRun(status int) bool {
	switch status {
	case statusRequestTimeout, statusMisdirected, statusTooManyRequests, statusUnavailable:
		return true
	default:
		return false
	}
}

// HTTP statuses of endpoint responses that are handled specially.
const (
	statusOK              = 200
	statusRequestTimeout  = 408
	statusConflict        = 409
	statusMisdirected     = 421
	statusTooManyRequests = 429
	statusServerError     = 500
	statusUnavailable     = 503
)

func isSuccess(status int) bool { return status >= 200 && status < 300 }

// writeHeader begins the response to the caller, which happens once.
func (r *exchangeRun) writeHeader(status int, header []port.HeaderField, length int64) error {
	if r.headerWritten {
		return verdict.New(verdict.CodeEndpointFailed, verdict.MayHaveRun, "another response has begun")
	}
	r.headerWritten = true
	r.record.status = status
	if err := r.responder.WriteHeader(status, header, length); err != nil {
		return callerGoneError(err)
	}
	return nil
}

// writeResponse writes a complete response to the caller.
func (r *exchangeRun) writeResponse(b *bufferedResponse) error {
	if err := r.writeHeader(b.status, b.header, b.size); err != nil {
		return err
	}
	for _, chunk := range b.chunks {
		if err := r.responder.Write(chunk); err != nil {
			return callerGoneError(err)
		}
	}
	if err := r.responder.Finish(); err != nil {
		return callerGoneError(err)
	}
	return nil
}

func callerGoneError(err error) error {
	return verdict.Wrap(err, verdict.CodeCallerCancelled, verdict.MayHaveRun, "caller has gone")
}
