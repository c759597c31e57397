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
	// maxBodyBytes bounds an answer that is held until it is whole.
	maxBodyBytes = 8 << 20
	// maxRefusalBytes bounds what is read of a refusal's body.
	maxRefusalBytes = 4 << 10
	// maxRefusals bounds how often a request is sent on after an endpoint that
	// did not run it.
	maxRefusals = 3
	// tryTargets is the time, in targets of the route, after which a request
	// that may be repeated is tried elsewhere.
	tryTargets = 2.5
	// minTry is the shortest such time.
	minTry = 250 * time.Millisecond
	// maxUrgency is the highest number that an endpoint takes.
	maxUrgency = 9
)

// buffered is a whole answer.
type buffered struct {
	status int
	fields []port.HeaderField
	body   []byte
}

// deliver sends the exchange until it is answered. The error is a *verdict.Error.
func (r *run) deliver(ctx context.Context) error {
	var last error
	for {
		e := r.cfg.Table.Pick(r.usable(), r.work(r.zone))
		if e == nil {
			return r.giveUp(last, verdict.New(verdict.CodeNoCapacity, verdict.NotRun, "no endpoint is free").WithRetryAfter(busyRetry))
		}
		err := r.attempt(ctx, e)
		if err == nil {
			return nil
		}
		last = err
		if ctx.Err() != nil {
			return r.giveUp(nil, verdict.Wrap(ctx.Err(), verdict.CodeDeadlineExceeded, verdict.MayHaveRun, "no answer in time"))
		}
		repeats := r.mayRepeat(err)
		r.noteAttempt(e, err, repeats)
		if !repeats {
			return r.giveUp(last, nil)
		}
		if err := r.remake(ctx, err); err != nil {
			return r.giveUp(last, err)
		}
	}
}

// giveUp answers with the endpoint's own failure if there is one.
func (r *run) giveUp(last, otherwise error) error {
	if r.fallback != nil && !r.stream.begun {
		return r.pass(r.fallback)
	}
	if otherwise != nil {
		return otherwise
	}
	return last
}

// mayRepeat reports whether the exchange may be sent once more after err.
func (r *run) mayRepeat(err error) bool {
	if verdict.Of(err) == verdict.NotRun {
		if r.sends-r.ran > maxRefusals {
			return false
		}
	} else if !r.route.Repeatable() || r.ran >= r.route.MaxAttempts {
		return false
	}
	return r.cfg.Retries.TryTake(r.service.Name, 1)
}

// remake makes the stages anew if their results are gone.
func (r *run) remake(ctx context.Context, err error) error {
	if len(r.route.Stages) == 0 || r.inputs != nil && verdict.From(err).Code != verdict.CodeConflict {
		return nil
	}
	r.freeResults()
	return r.makeStages(ctx)
}

// attempt sends the exchange to one endpoint.
func (r *run) attempt(parent context.Context, e *catalog.Endpoint) error {
	ctx, cancel := r.attemptContext(parent, e)
	defer cancel()
	if d, ok := r.tryTime(); ok {
		timer := time.AfterFunc(d, cancel)
		defer timer.Stop()
	}
	r.sends++
	r.tried[e.ID] = true
	r.trace.endpoint, r.trace.zone = e.ID, e.Zone
	var load *port.EndpointLoad
	d := &port.EndpointRequest{Exchange: r.x, Endpoint: e, Customer: r.customer, Remaining: r.remaining(),
		Urgency: min(maxUrgency, r.urgency), Inputs: r.inputs, ResumeFrom: r.stream.resumeFrom(r.x)}
	began := r.cfg.Clock.Now()
	err := r.cfg.Endpoints.Forward(ctx, d, func(reply *port.EndpointResponse) error {
		load = reply.Load
		return r.take(reply, cancel, began)
	})
	if err != nil && verdict.Of(err) != verdict.NotRun {
		r.ran++
	}
	o := r.outcome(parent, err)
	if o == balance.ConnectionFailed {
		r.cfg.Health.Failed(e)
		if verdict.Of(err) != verdict.NotRun {
			r.cfg.Crashes.Crashed(r.x, e.ID)
		}
	}
	r.cfg.Table.Done(e, o, load)
	return err
}

// attemptContext bounds an attempt. One that another may follow ends as soon as
// its endpoint can't be reached.
func (r *run) attemptContext(parent context.Context, e *catalog.Endpoint) (context.Context, context.CancelFunc) {
	if r.route.Repeatable() && r.ran+1 < r.route.MaxAttempts {
		return r.cfg.Health.While(parent, e)
	}
	return context.WithCancel(parent)
}

// tryTime returns how long an attempt may go without an answer, for requests
// that another attempt may follow.
func (r *run) tryTime() (time.Duration, bool) {
	if r.route.Kind != catalog.Idempotent || r.ran+1 >= r.route.MaxAttempts {
		return 0, false
	}
	return max(minTry, time.Duration(tryTargets*float64(r.route.TargetLatency))), true
}

// outcome says what an attempt's end tells of its endpoint.
func (r *run) outcome(parent context.Context, err error) balance.Outcome {
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
	case errors.Is(err, errMoved):
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
func (r *run) take(reply *port.EndpointResponse, cancel context.CancelFunc, began time.Time) error {
	switch {
	case reply.NotRun:
		return refusal(reply)
	case reply.ContentEncoded, isSuccess(reply.Status) && (!reply.Signed || !reply.HasAttemptID):
		return verdict.New(verdict.CodeEndpointFailed, verdict.MayHaveRun, "answer is not the endpoint's own")
	case r.route.Kind == catalog.Stream && isSuccess(reply.Status):
		return r.passStream(reply, cancel, began)
	}
	body, err := io.ReadAll(io.LimitReader(reply.Body, maxBodyBytes+1))
	if err != nil || len(body) > maxBodyBytes {
		return verdict.Wrap(err, verdict.CodeEndpointFailed, verdict.MayHaveRun, "answer broke off")
	}
	whole := &buffered{reply.Status, reply.Header, body}
	if reply.Status >= statusServerError && r.route.Repeatable() {
		r.fallback = whole
		return verdict.New(verdict.CodeEndpointFailed, verdict.MayHaveRun, "endpoint failed")
	}
	return r.pass(whole)
}

// refusal says why an endpoint did not run the request.
func refusal(reply *port.EndpointResponse) error {
	// The rest of a short answer is read so that the connection can be used again.
	_, _ = io.CopyN(io.Discard, reply.Body, maxRefusalBytes)
	switch {
	case reply.Misdirected:
		return verdict.Wrap(errMoved, verdict.CodeEndpointFailed, verdict.NotRun, "endpoint did not take the request")
	case reply.Status == statusConflict:
		return verdict.New(verdict.CodeConflict, verdict.NotRun, "an input is gone")
	default:
		return verdict.New(verdict.CodeNoCapacity, verdict.NotRun, "endpoint did not take the request").WithRetryAfter(busyRetry)
	}
}

// errMoved means that another endpoint has the address now.
var errMoved = errors.New("another endpoint has the address")

// HTTP statuses that matter here.
const (
	statusConflict    = 409
	statusServerError = 500
)

func isSuccess(status int) bool { return status >= 200 && status < 300 }

// pass passes a whole answer on.
func (r *run) pass(b *buffered) error {
	if r.stream.begun {
		return verdict.New(verdict.CodeEndpointFailed, verdict.MayHaveRun, "stream can't go on")
	}
	r.trace.status = b.status
	if err := r.out.WriteHeader(b.status, b.fields, int64(len(b.body))); err != nil {
		return gone(err)
	}
	if err := r.out.Write(b.body); err != nil {
		return gone(err)
	}
	if err := r.out.Finish(); err != nil {
		return gone(err)
	}
	return nil
}

func gone(err error) error {
	return verdict.Wrap(err, verdict.CodeCallerCancelled, verdict.MayHaveRun, "caller has gone")
}
