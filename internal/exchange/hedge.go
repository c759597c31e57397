package exchange

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/pimentorill/pimentorill/internal/core/balance"
	"github.com/pimentorill/pimentorill/internal/core/catalog"
	"github.com/pimentorill/pimentorill/internal/core/hedge"
	"github.com/pimentorill/pimentorill/internal/core/verdict"
	"github.com/pimentorill/pimentorill/internal/crashing"
	"github.com/pimentorill/pimentorill/internal/port"
)

// A hedge is a second request for the first attempt at an exchange, sent to another endpoint
// while that attempt is slow. The first of the two that has its whole response, or begins to
// forward it, takes the exchange; the other one is cancelled at that moment and nothing of it
// reaches the caller. An attempt that fails while its hedge is under way waits for it, as for a
// retry. Streams, exchanges whose endpoint fetches the results of stages, and those of a service
// with a roll-out in progress get none: a bad version would get more than its share.

// unmeasuredTargets is the time after which an attempt counts as slow while too few responses of
// its kind were measured, in multiples of the route's target latency: a hedge can then still meet
// the target.
const unmeasuredTargets = 0.5

// Reasons, besides those of package hedge, for which no hedge is sent.
const (
	hedgeNoAttempt hedge.Denial = "attempts"
	hedgeCrashes   hedge.Denial = "crashes"
	hedgeNoRoom    hedge.Denial = "no_room"
	hedgeBudget    hedge.Denial = "retry_budget"
	hedgeNoTime    hedge.Denial = "no_time"
)

// errHedgeWon ends an attempt whose hedge has a response.
var errHedgeWon = errors.New("hedge has a response")

// errBeaten is the error of an attempt whose response comes after that of its hedge.
var errBeaten = verdict.Wrap(errHedgeWon, verdict.CodeEndpointFailed, verdict.MayHaveRun, "answer comes after that of the hedge")

// hedging is the hedge of one attempt, if it gets one. All methods of a nil hedging are valid.
type hedging struct {
	run *exchangeRun
	// watch decides; startedAt is when the attempt began.
	watch     *hedge.Attempt
	startedAt time.Time
	// side reads the response of the hedge: its body counts by itself.
	side *exchangeRun

	mu sync.Mutex
	// timer starts the hedge; cancelAttempt gives up the attempt.
	timer         *time.Timer
	cancelAttempt context.CancelCauseFunc
	// started is set once the attempt was found slow.
	started bool
	// taken is set once the attempt or its hedge has the exchange, or no hedge may be sent any
	// more; won says that it is the hedge.
	taken, won bool
	// replaced is set while a search picks a successor of the attempt.
	replaced bool
	// endpoint is that of the hedge, nil before it is sent, and cancel cancels it.
	endpoint *catalog.Endpoint
	cancel   context.CancelFunc
	// done is closed once the hedge has ended, or is not sent. What follows may be read then.
	done chan struct{}
	// response is that of the hedge, which is whole. failure is a server error instead.
	response, failure *bufferedResponse
	answer            []slog.Attr
	// ran says that the hedge was sent and an endpoint may have run it.
	ran bool
	// took is how long the hedge took to its response.
	took time.Duration
}

// newHedging returns the hedging of the attempt that is about to be made; nil if there is none.
func (r *exchangeRun) newHedging() *hedging {
	if r.cfg.HedgeShare <= 0 || r.route.Kind != catalog.Idempotent || len(r.route.Stages) > 0 || r.attempts > 0 || r.version.InProgress() {
		return nil
	}
	size := len(r.exchange.Body)
	for _, p := range r.exchange.Prompt {
		size += p.Tokens
	}
	key := hedge.Key{Service: r.service.Name, Route: r.route.Name, Size: hedge.SizeClass(size)}
	unmeasured := time.Duration(unmeasuredTargets * float64(r.route.TargetLatency))
	return &hedging{run: r, done: make(chan struct{}), watch: r.hedges.Begin(key, r.cfg.HedgeShare, unmeasured), side: &exchangeRun{Server: r.Server, route: r.route}}
}

// arm has the hedge sent once the attempt is slow. ctx is the context of the exchange, cancel
// gives the attempt up.
func (h *hedging) arm(ctx context.Context, cancel context.CancelCauseFunc) {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.cancelAttempt, h.startedAt = cancel, h.run.cfg.Clock.Now()
	if delay, ok := h.watch.Delay(); ok {
		h.timer = time.AfterFunc(delay, func() { h.start(ctx, delay) })
	}
}

// start sends the hedge if it may be sent.
func (h *hedging) start(ctx context.Context, delay time.Duration) {
	defer close(h.done)
	if !h.begin() {
		return
	}
	reason := h.denial(delay)
	var e *catalog.Endpoint
	if reason == hedge.Allowed {
		if e = h.pick(); e == nil {
			reason = hedgeNoRoom
		}
	}
	if e != nil {
		if reason = h.pay(); reason != hedge.Allowed {
			h.run.cfg.Balancer.Done(e, balance.Cancelled, nil)
		}
	}
	if reason != hedge.Allowed {
		h.run.countHedge("hedges_denied_total", map[string]string{"reason": string(reason)})
		return
	}
	timeout := max(minAttemptTimeout, time.Duration(attemptTimeoutTargets*float64(h.run.route.TargetLatency)))
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	h.mu.Lock()
	if h.taken || h.replaced || ctx.Err() != nil {
		h.mu.Unlock()
		h.run.cfg.Balancer.Done(e, balance.Cancelled, nil)
		return
	}
	h.endpoint, h.cancel = e, cancel
	h.mu.Unlock()
	h.send(ctx, e)
}

// begin reports whether the attempt is still alone with the exchange.
func (h *hedging) begin() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.started = !h.taken
	return h.started
}

// denial returns why no hedge is sent, before an endpoint is picked.
func (h *hedging) denial(delay time.Duration) hedge.Denial {
	r := h.run
	reason := h.watch.Slow()
	switch {
	case reason != hedge.Allowed:
		return reason
	case r.route.MaxAttempts < 2:
		return hedgeNoAttempt
	case r.isEnding() || r.remainingTime() <= delay:
		return hedgeNoTime
	case r.cfg.Crashes.Check(r.request) != nil:
		return hedgeCrashes
	}
	return hedge.Allowed
}

// pick returns an endpoint with room to spare.
func (h *hedging) pick() *catalog.Endpoint {
	return h.run.cfg.Balancer.PickSpare(h.run.eligibleEndpoints(), h.run.criteria(""))
}

// pay takes the hedge from the budget of retries and from the share of hedges.
func (h *hedging) pay() hedge.Denial {
	if !h.run.cfg.RetryBudgets.TryTake(h.run.service.Name, 1) {
		return hedgeBudget
	}
	return h.watch.Take()
}

// send sends the hedge and takes the exchange if it is the first with a response.
func (h *hedging) send(ctx context.Context, e *catalog.Endpoint) {
	r := h.run
	r.countHedge("hedges_sent_total", nil)
	request := &port.EndpointRequest{Exchange: r.exchange, Endpoint: e, MayRepeat: true, SentBefore: r.sentTo[e.Address], Customer: r.customer,
		Remaining: r.remainingTime(), Priority: min(leastUrgentPriority, r.priority)}
	var load *port.EndpointLoad
	sentAt := r.cfg.Clock.Now()
	atEndpoint := r.cfg.Crashes.Begin(r.exchange.ID, e, r.request.Traits)
	err := r.cfg.Endpoints.Forward(ctx, request, func(response *port.EndpointResponse) error {
		atEndpoint.Heard()
		response.Body = atEndpoint.Body(response.Body)
		load = response.Load
		return h.read(response)
	})
	won := err == nil && h.take(true)
	outcome, result := h.outcome(ctx, err)
	if outcome == balance.ConnectionFailed {
		r.cfg.Health.RecordFailure(e)
	}
	atEndpoint.End(result)
	r.cfg.Balancer.Done(e, outcome, load)
	h.ran = !won && verdict.Of(err) != verdict.NotRun
	h.took = r.cfg.Clock.Now().Sub(sentAt)
	if won {
		r.countHedge("hedges_won_total", nil)
	} else {
		h.response = nil
		if h.failure == nil {
			r.bodies.release(h.side.heldBytes)
			h.side.heldBytes = 0
		}
	}
	h.watch.HedgeEnded(won)
	attrs := []slog.Attr{slog.String("request", r.exchange.ID), slog.String("endpoint", e.ID), slog.String("service", e.Service), slog.String("zone", e.Zone),
		slog.Bool("won", won), slog.Int64("after_ms", sentAt.Sub(h.startedAt).Milliseconds()), slog.Int64("took_ms", h.took.Milliseconds())}
	if err != nil {
		attrs = append(attrs, slog.String("verdict", verdict.Of(err).String()), slog.Any("error", err))
	}
	r.cfg.Log.LogAttrs(context.Background(), slog.LevelInfo, "hedge ended", attrs...)
}

// read holds the hedge's response if it may be forwarded to the caller.
func (h *hedging) read(response *port.EndpointResponse) error {
	h.answer = answerAttrs(response)
	if response.NotRun {
		return refusalError(response)
	}
	if response.ContentEncoded || !response.HasAttemptID || isSuccess(response.Status) && !response.Signed {
		return verdict.New(verdict.CodeEndpointFailed, verdict.MayHaveRun, "answer is not the endpoint's own")
	}
	b := &bufferedResponse{status: response.Status, header: response.Header}
	complete, err := h.side.holdBody(b, response.Body, response.Length)
	switch {
	case err != nil:
		return verdict.Wrap(err, verdict.CodeEndpointFailed, verdict.MayHaveRun, "answer broke off")
	case !complete:
		return verdict.New(verdict.CodeEndpointFailed, verdict.MayHaveRun, "answer is too large")
	case response.Status >= statusServerError:
		h.failure = b
		return verdict.New(verdict.CodeEndpointFailed, verdict.MayHaveRun, "endpoint failed")
	}
	h.response = b
	return nil
}

// outcome returns how the hedge ended, for the balancer and for the guard against crashes.
func (h *hedging) outcome(ctx context.Context, err error) (balance.Outcome, crashing.Result) {
	switch {
	case err == nil:
		return balance.Succeeded, crashing.Answered
	case ctx.Err() != nil:
		return balance.Cancelled, crashing.Unanswered
	case errors.Is(err, errAddressReused):
		return balance.AddressReused, crashing.Answered
	case verdict.From(err).Code == verdict.CodeNoCapacity:
		return balance.NoCapacity, crashing.Answered
	case h.failure != nil:
		return balance.Failed, crashing.Answered
	case verdict.From(err).Code == verdict.CodeDeadlineExceeded:
		return balance.Failed, crashing.Unanswered
	case verdict.Of(err) == verdict.NotRun:
		return balance.ConnectionFailed, crashing.Answered
	case port.IsConnectionLoss(err) && h.run.remainingTime() > deadlineMargin:
		return balance.ConnectionFailed, crashing.Broken
	default:
		return balance.ConnectionFailed, crashing.Unanswered
	}
}

// take gives the exchange to the attempt or to its hedge and cancels the other one. It reports
// false if the other one has it.
func (h *hedging) take(forHedge bool) bool {
	if h == nil {
		return true
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.taken {
		return h.won == forHedge
	}
	h.taken, h.won = true, forHedge
	switch {
	case forHedge:
		h.cancelAttempt(errHedgeWon)
	case h.cancel != nil:
		h.cancel()
	}
	return true
}

// hasWon reports whether the hedge has the exchange.
func (h *hedging) hasWon() bool {
	if h == nil {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.won
}

// sentTo returns the endpoint of the hedge; nil if none was sent.
func (h *hedging) sentTo() *catalog.Endpoint {
	if h == nil {
		return nil
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.endpoint
}

// beginReplacing reports whether a successor of the attempt may be picked, and has no hedge sent
// until endReplacing. It reports false while a hedge is under way, and if the attempt, a hedge
// that failed and the successor would be more attempts than the route allows.
func (h *hedging) beginReplacing() bool {
	if h == nil {
		return true
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.endpoint != nil {
		select {
		case <-h.done:
		default:
			return false
		}
		if h.ran && h.run.executedAttempts+2 >= h.run.route.MaxAttempts {
			return false
		}
	}
	h.replaced = true
	return true
}

func (h *hedging) endReplacing() {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.replaced = false
}
