package exchange

import (
	"context"
	"io"
	"time"

	"github.com/go-faster/errors"

	"github.com/pimentorill/pimentorill/internal/core/balance"
	"github.com/pimentorill/pimentorill/internal/core/catalog"
	"github.com/pimentorill/pimentorill/internal/core/verdict"
	"github.com/pimentorill/pimentorill/internal/port"
)

const (
	// maxResponseBytes bounds an answer that is held until it is whole.
	maxResponseBytes = 8 << 20
	// maxDiscardBytes bounds what is read of a refusal's body.
	maxDiscardBytes = 4 << 10
	// maxRefusals bounds how often a request is sent on after an endpoint that
	// did not run it.
	maxRefusals = 3
	// attemptTimeoutTargets is the time, in targets of the route, after which a request
	// that may be repeated is tried elsewhere.
	attemptTimeoutTargets = 2.5
	// minAttemptTimeout is the shortest such time.
	minAttemptTimeout = 250 * time.Millisecond
	// maxEndpointPriority is the highest number that an endpoint takes.
	maxEndpointPriority = 9
)

// buffered is a whole answer.
type bufferedResponse struct {
	status int
	header []port.HeaderField
	body   []byte
}

// deliver sends the exchange until it is answered. The error is a *verdict.Error.
func (r *exchangeRun) forwardWithRetries(ctx context.Context) error {
	var last error
	for {
		e := r.cfg.Balancer.Pick(r.eligibleEndpoints(), r.criteria(r.resultsZone))
		if e == nil {
			return r.abandon(last, verdict.New(verdict.CodeNoCapacity, verdict.NotRun, "no endpoint is free").WithRetryAfter(busyRetry))
		}
		err := r.attempt(ctx, e)
		if err == nil {
			return nil
		}
		last = err
		if ctx.Err() != nil {
			return r.abandon(nil, verdict.Wrap(ctx.Err(), verdict.CodeDeadlineExceeded, verdict.MayHaveRun, "no answer in time"))
		}
		repeats := r.mayRetry(err)
		r.logFailedAttempt(e, err, repeats)
		if !repeats {
			return r.abandon(last, nil)
		}
		if err := r.rerunStages(ctx, err); err != nil {
			return r.abandon(last, err)
		}
	}
}

// abandon answers with the endpoint's own failure if there is one.
func (r *exchangeRun) abandon(last, otherwise error) error {
	if r.fallback != nil && !r.stream.started {
		return r.writeResponse(r.fallback)
	}
	if otherwise != nil {
		return otherwise
	}
	return last
}

// mayRetry reports whether the exchange may be sent once more after err.
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

// remake makes the stages anew if their results are gone.
func (r *exchangeRun) rerunStages(ctx context.Context, err error) error {
	if len(r.route.Stages) == 0 || r.inputHandles != nil && verdict.From(err).Code != verdict.CodeConflict {
		return nil
	}
	r.freeResults()
	return r.executeStages(ctx)
}

// attempt sends the exchange to one endpoint.
func (r *exchangeRun) attempt(parent context.Context, e *catalog.Endpoint) error {
	ctx, cancel := r.attemptContext(parent, e)
	defer cancel()
	if d, ok := r.attemptTimeout(); ok {
		timer := time.AfterFunc(d, cancel)
		defer timer.Stop()
	}
	r.attempts++
	r.attempted[e.ID] = true
	r.record.endpoint, r.record.zone = e.ID, e.Zone
	var load *port.EndpointLoad
	d := &port.EndpointRequest{Exchange: r.exchange, Endpoint: e, Customer: r.customer, Remaining: r.remainingTime(),
		Urgency: min(maxEndpointPriority, r.priority), Inputs: r.inputHandles, ResumeFrom: r.stream.resumeFrom(r.exchange)}
	began := r.cfg.Clock.Now()
	err := r.cfg.Endpoints.Forward(ctx, d, func(reply *port.EndpointResponse) error {
		load = reply.Load
		return r.handleResponse(reply, cancel, began)
	})
	if err != nil && verdict.Of(err) != verdict.NotRun {
		r.executedAttempts++
	}
	o := r.classifyOutcome(parent, err)
	if o == balance.ConnectionFailed {
		r.cfg.Health.RecordFailure(e)
		if verdict.Of(err) != verdict.NotRun {
			r.cfg.CrashTracker.ReportCrash(r.exchange, e.ID)
		}
	}
	r.cfg.Balancer.Done(e, o, load)
	return err
}

// attemptContext bounds an attempt. One that another may follow ends as soon as
// its endpoint can't be reached.
func (r *exchangeRun) attemptContext(parent context.Context, e *catalog.Endpoint) (context.Context, context.CancelFunc) {
	if r.route.Repeatable() && r.executedAttempts+1 < r.route.MaxAttempts {
		return r.cfg.Health.WhileReachable(parent, e)
	}
	return context.WithCancel(parent)
}

// attemptTimeout returns how long an attempt may go without an answer, for requests
// that another attempt may follow.
func (r *exchangeRun) attemptTimeout() (time.Duration, bool) {
	if r.route.Kind != catalog.Idempotent || r.executedAttempts+1 >= r.route.MaxAttempts {
		return 0, false
	}
	return max(minAttemptTimeout, time.Duration(attemptTimeoutTargets*float64(r.route.TargetLatency))), true
}

// outcome says what an attempt's end tells of its endpoint.
func (r *exchangeRun) classifyOutcome(parent context.Context, err error) balance.Outcome {
	if err == nil {
		return balance.Answered
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

// take reads an endpoint's answer. It returns nil only for one that was passed
// on whole.
func (r *exchangeRun) handleResponse(reply *port.EndpointResponse, cancel context.CancelFunc, began time.Time) error {
	switch {
	case reply.NotRun:
		return refusalError(reply)
	case reply.ContentEncoded, isSuccess(reply.Status) && (!reply.Signed || !reply.HasAttemptID):
		return verdict.New(verdict.CodeEndpointFailed, verdict.MayHaveRun, "answer is not the endpoint's own")
	case r.route.Kind == catalog.Stream && isSuccess(reply.Status):
		return r.forwardStream(reply, cancel, began)
	}
	body, err := io.ReadAll(io.LimitReader(reply.Body, maxResponseBytes+1))
	if err != nil || len(body) > maxResponseBytes {
		return verdict.Wrap(err, verdict.CodeEndpointFailed, verdict.MayHaveRun, "answer broke off")
	}
	whole := &bufferedResponse{reply.Status, reply.Header, body}
	if reply.Status >= statusServerError && r.route.Repeatable() {
		r.fallback = whole
		return verdict.New(verdict.CodeEndpointFailed, verdict.MayHaveRun, "endpoint failed")
	}
	return r.writeResponse(whole)
}

// refusal says why an endpoint did not run the request.
func refusalError(reply *port.EndpointResponse) error {
	// The rest of a short answer is read so that the connection can be used again.
	_, _ = io.CopyN(io.Discard, reply.Body, maxDiscardBytes)
	switch {
	case reply.Misdirected:
		return verdict.Wrap(errAddressReused, verdict.CodeEndpointFailed, verdict.NotRun, "endpoint did not take the request")
	case reply.Status == statusConflict:
		return verdict.New(verdict.CodeConflict, verdict.NotRun, "an input is gone")
	default:
		return verdict.New(verdict.CodeNoCapacity, verdict.NotRun, "endpoint did not take the request").WithRetryAfter(busyRetry)
	}
}

// errAddressReused means that another endpoint has the address now.
var errAddressReused = errors.New("another endpoint has the address")

// HTTP statuses that matter here.
const (
	statusConflict    = 409
	statusServerError = 500
)

func isSuccess(status int) bool { return status >= 200 && status < 300 }

// pass passes a whole answer on.
func (r *exchangeRun) writeResponse(b *bufferedResponse) error {
	if r.stream.started {
		return verdict.New(verdict.CodeEndpointFailed, verdict.MayHaveRun, "stream can't go on")
	}
	r.record.status = b.status
	if err := r.responder.WriteHeader(b.status, b.header, int64(len(b.body))); err != nil {
		return callerGoneError(err)
	}
	if err := r.responder.Write(b.body); err != nil {
		return callerGoneError(err)
	}
	if err := r.responder.Finish(); err != nil {
		return callerGoneError(err)
	}
	return nil
}

func callerGoneError(err error) error {
	return verdict.Wrap(err, verdict.CodeCallerCancelled, verdict.MayHaveRun, "caller has gone")
}
