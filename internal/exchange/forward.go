package exchange

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/pimentorill/pimentorill/internal/core/balance"
	"github.com/pimentorill/pimentorill/internal/core/catalog"
	"github.com/pimentorill/pimentorill/internal/core/verdict"
	"github.com/pimentorill/pimentorill/internal/port"
)

const (
	// maxRefusals bounds the retries of an exchange after attempts that no endpoint
	// ran. MaxAttempts of the route bounds the others.
	maxRefusals = 3
	// attemptTimeoutTargets is the timeout of an attempt of an idempotent request that
	// may be retried, in multiples of the route's target latency.
	attemptTimeoutTargets = 2.5
	// minAttemptTimeout is the lower bound of the timeout that
	// attemptTimeoutTargets yields.
	minAttemptTimeout = 250 * time.Millisecond
	// leastUrgentPriority is the least urgent priority that an endpoint accepts;
	// 0 is the most urgent.
	leastUrgentPriority = 9
)

// forwardWithRetries sends the exchange to one endpoint after the other until a
// response is forwarded to the caller or no retry is allowed. It returns nil once
// a response is forwarded, which may be an endpoint's error response; otherwise
// the error is a *verdict.Error.
func (r *exchangeRun) forwardWithRetries(ctx context.Context) error {
	var lastErr error
	for {
		e := r.cfg.Balancer.Pick(r.eligibleEndpoints(), r.criteria(r.resultsZone))
		if e == nil {
			return r.abandon(lastErr, r.noEndpointError())
		}
		err := r.attempt(ctx, e)
		if err == nil {
			return nil
		}
		lastErr = err
		if ctx.Err() != nil {
			return r.abandon(nil, verdict.Wrap(ctx.Err(), verdict.CodeDeadlineExceeded, verdict.MayHaveRun, "no answer in time"))
		}
		willRetry := r.mayRetry(err)
		r.logFailedAttempt(e, err, willRetry)
		if !willRetry {
			return r.abandon(lastErr, nil)
		}
		if err := r.rerunStages(ctx, err); err != nil {
			return r.abandon(lastErr, err)
		}
	}
}

// noEndpointError returns the refusal of an exchange for which the balancer picks no
// endpoint.
func (r *exchangeRun) noEndpointError() error {
	if wait, limited := r.cfg.Balancer.RateLimitWait(r.eligibleEndpoints(), r.criteria(""), maxRateLimitRetry); limited {
		return verdict.New(verdict.CodeNoCapacity, verdict.NotRun, "endpoints are at their rate limits").WithRetryAfter(max(wait, minRateLimitRetry))
	}
	return verdict.New(verdict.CodeNoCapacity, verdict.NotRun, "no endpoint is free").WithRetryAfter(busyRetry)
}

// abandon ends the exchange without further attempts. It forwards r.fallback if
// that is set and no response has started. Otherwise it returns defaultErr, or
// lastErr if defaultErr is nil.
func (r *exchangeRun) abandon(lastErr, defaultErr error) error {
	if r.fallback != nil && !r.stream.started && !r.responseStarted {
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
		if r.attempts-r.executedAttempts > maxRefusals {
			return false
		}
	} else if !r.route.Repeatable() || r.executedAttempts >= r.route.MaxAttempts {
		return false
	}
	return r.cfg.RetryBudgets.TryTake(r.service.Name, 1)
}

// rerunStages runs the stages again before a retry if their results are no longer
// available: they were freed after the first event, or err, the error of the last
// attempt, says that an input is missing at the endpoint.
func (r *exchangeRun) rerunStages(ctx context.Context, err error) error {
	if len(r.route.Stages) == 0 || r.inputHandles != nil && verdict.From(err).Code != verdict.CodeConflict {
		return nil
	}
	r.freeResults()
	return r.executeStages(ctx)
}

// attempt sends the exchange to one endpoint and records the outcome in the
// balancer, the health monitor and the crash tracker. It returns nil once the
// whole response is forwarded to the caller; the error is a *verdict.Error.
func (r *exchangeRun) attempt(parent context.Context, e *catalog.Endpoint) error {
	reachable, release := r.attemptContext(parent, e)
	defer release()
	ctx, cancel := context.WithCancelCause(reachable)
	defer cancel(nil)
	if timeout, ok := r.attemptTimeout(); ok {
		timer := time.AfterFunc(timeout, func() { cancel(errTooSlow) })
		defer timer.Stop()
	}
	r.attempts++
	r.attempted[e.ID] = true
	r.record.endpoint, r.record.zone, r.record.softwareVersion = e.ID, e.Zone, e.SoftwareVersion
	r.record.rateLimit, r.record.rateLimited = r.cfg.RateLimits.Limit(e.Incarnation())
	r.announceOrigin(e)
	var load *port.EndpointLoad
	request := &port.EndpointRequest{Exchange: r.exchange, Endpoint: e, Customer: r.customer, Remaining: r.remainingTime(),
		Priority: min(leastUrgentPriority, r.priority), Inputs: r.inputHandles, ResumeFrom: r.stream.resumeFrom(r.exchange)}
	startedAt := r.cfg.Clock.Now()
	err := r.cfg.Endpoints.Forward(ctx, request, func(response *port.EndpointResponse) error {
		load = response.Load
		return r.handleResponse(ctx, response, cancel, startedAt)
	})
	if err != nil && verdict.Of(err) != verdict.NotRun {
		r.executedAttempts++
	}
	r.record.cancelCause = nil
	if parent.Err() == nil {
		r.record.cancelCause = context.Cause(ctx)
	}
	outcome := r.classifyOutcome(parent, err)
	if outcome == balance.ConnectionFailed {
		r.cfg.Health.RecordFailure(e)
		if verdict.Of(err) != verdict.NotRun {
			r.cfg.CrashTracker.ReportCrash(r.exchange, e.ID)
		}
	}
	r.cfg.Balancer.Done(e, outcome, load)
	return err
}

// attemptContext returns the context of an attempt. If another attempt may
// follow, it is cancelled as soon as the endpoint is marked unreachable.
func (r *exchangeRun) attemptContext(parent context.Context, e *catalog.Endpoint) (context.Context, context.CancelFunc) {
	if r.route.Repeatable() && r.executedAttempts+1 < r.route.MaxAttempts {
		return r.cfg.Health.WhileReachable(parent, e)
	}
	return context.WithCancel(parent)
}

// attemptTimeout returns how long an attempt of an idempotent request may take
// if another attempt may follow. It reports false if the attempt has no timeout
// of its own.
func (r *exchangeRun) attemptTimeout() (time.Duration, bool) {
	if r.route.Kind != catalog.Idempotent || r.executedAttempts+1 >= r.route.MaxAttempts {
		return 0, false
	}
	return max(minAttemptTimeout, time.Duration(attemptTimeoutTargets*float64(r.route.TargetLatency))), true
}

// classifyOutcome returns the outcome of an attempt for the balancer. parent is
// the context of the exchange, which the timeout of the attempt does not end.
func (r *exchangeRun) classifyOutcome(parent context.Context, err error) balance.Outcome {
	if err == nil {
		return balance.Succeeded
	}
	if parent.Err() != nil {
		return balance.Cancelled
	}
	e := verdict.From(err)
	switch {
	case e.Code == verdict.CodeNoCapacity:
		return balance.NoCapacity
	case errors.Is(err, errAddressReused):
		return balance.AddressReused
	case e.Code == verdict.CodeConflict:
		return balance.Cancelled
	case r.fallback != nil, e.Code == verdict.CodeDeadlineExceeded:
		return balance.Failed
	default:
		return balance.ConnectionFailed
	}
}

// handleResponse reads an endpoint's response and forwards it. It returns nil only
// if the whole response was forwarded to the caller. It stores a server error of
// a repeatable request in r.fallback instead and returns an error. startedAt is
// when the attempt started, and cancel ends the attempt.
func (r *exchangeRun) handleResponse(ctx context.Context, response *port.EndpointResponse, cancel context.CancelCauseFunc, startedAt time.Time) error {
	switch {
	case response.NotRun:
		return refusalError(response)
	case response.ContentEncoded, isSuccess(response.Status) && (!response.Signed || !response.HasAttemptID):
		return verdict.New(verdict.CodeEndpointFailed, verdict.MayHaveRun, "answer is not the endpoint's own")
	case r.route.Kind == catalog.Stream && isSuccess(response.Status):
		return r.forwardStream(ctx, response, cancel, startedAt)
	}
	buffered := &bufferedResponse{status: response.Status, header: response.Header}
	complete, err := r.holdBody(buffered, response.Body, response.Length)
	mayRetry := r.route.Repeatable() && r.executedAttempts+1 < r.route.MaxAttempts
	switch {
	case err != nil:
		return verdict.Wrap(err, verdict.CodeEndpointFailed, verdict.MayHaveRun, "answer broke off")
	case !complete && (mayRetry || response.Length > maxResponseBytes):
		return verdict.New(verdict.CodeEndpointFailed, verdict.MayHaveRun, "answer is too large")
	case !complete:
		return r.forwardRest(buffered, response.Body, response.Length)
	case response.Status >= statusServerError && r.route.Repeatable():
		r.fallback = buffered
		return verdict.New(verdict.CodeEndpointFailed, verdict.MayHaveRun, "endpoint failed")
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

// Causes for which this host cancels an attempt, besides those of the health monitor.
var (
	errTooSlow = errors.New("no answer within the attempt's time")
	errStalled = errors.New("stream makes no progress")
)

// errAddressReused means that another endpoint now has the address of the one
// that the exchange was sent to.
var errAddressReused = errors.New("another endpoint has the address")

// HTTP statuses of endpoint responses that are handled specially.
const (
	statusConflict    = 409
	statusServerError = 500
)

func isSuccess(status int) bool { return status >= 200 && status < 300 }

// writeResponse writes a complete response to the caller. It returns an error if
// events were already sent to the caller.
func (r *exchangeRun) writeResponse(b *bufferedResponse) error {
	if r.stream.started {
		return verdict.New(verdict.CodeEndpointFailed, verdict.MayHaveRun, "stream can't go on")
	}
	r.record.status = b.status
	if err := r.responder.WriteHeader(b.status, b.header, b.size); err != nil {
		return callerGoneError(err)
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
