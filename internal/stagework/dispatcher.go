package stagework

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"github.com/pimentorill/pimentorill/internal/core/verdict"
	"github.com/pimentorill/pimentorill/internal/port"
)

// Kinds of requests between hosts, all sent to a coordinator.
const (
	// kindRun carries a runRequest; the response is a runResponse.
	kindRun = "stages.run"
	// kindCancel carries the request ID of a plan to cancel.
	kindCancel = "stages.cancel"
	// kindFree carries a freeRequest.
	kindFree = "stages.free"
)

const (
	// maxCoordinators bounds the number of candidates that a plan is offered to
	// before this host runs it itself.
	maxCoordinators = 3
	// noticeTimeout bounds a notice to a coordinator that results or a plan are
	// no longer needed.
	noticeTimeout = time.Second
)

// Peers connects to the other hosts. Implementations are safe for concurrent use.
type Peers interface {
	// Candidates returns the IDs of the hosts that respond and are not shutting
	// down, in the order in which they become the coordinator. It may include this
	// host.
	Candidates() []string
	// Self returns this host's ID.
	Self() string
	// ShuttingDown reports whether this host is about to stop.
	ShuttingDown() bool
	// ClaimCoordination tells the other hosts to keep this host as their
	// coordinator. Dispatcher.Run calls it at every poll of the coordinator's host.
	ClaimCoordination()
	// Ask sends a request to another host and returns its response. The error is a
	// *verdict.Error.
	Ask(ctx context.Context, host, kind string, payload []byte) ([]byte, error)
	// Handle sets the handler for requests of a kind. NewDispatcher calls it.
	Handle(kind string, fn port.RequestHandler)
	// HandleWhileConnected is like Handle, but the context of the handler also ends
	// when the requester's connection closes.
	HandleWhileConnected(kind string, fn port.RequestHandler)
}

// Dispatcher has plans run by their coordinator. It is safe for concurrent use.
type Dispatcher struct {
	peers     Peers
	scheduler *Scheduler
	clock     port.Clock
	log       *slog.Logger

	mu sync.Mutex
	// running holds the cancel functions of the plans run for other hosts, by
	// request ID.
	running map[string]context.CancelFunc
}

// NewDispatcher returns a Dispatcher and registers its handlers for requests of
// other hosts, which run on the scheduler.
func NewDispatcher(peers Peers, scheduler *Scheduler, clock port.Clock, log *slog.Logger) *Dispatcher {
	d := &Dispatcher{peers: peers, scheduler: scheduler, clock: clock, log: log, running: make(map[string]context.CancelFunc)}
	// A host that has lost the connection has another one run its plan.
	peers.HandleWhileConnected(kindRun, d.handleRun)
	peers.Handle(kindCancel, d.handleCancel)
	peers.Handle(kindFree, d.handleFree)
	return d
}

// runRequest asks a coordinator to run a plan. Deadlines are sent as durations
// because the hosts' clocks differ.
type runRequest struct {
	Plan           Plan          `cbor:"1,keyasint"`
	SoftDeadlineIn time.Duration `cbor:"2,keyasint"`
	HardDeadlineIn time.Duration `cbor:"3,keyasint"`
}

// runResponse is the outcome of a plan: its results, or an error if Code is set.
type runResponse struct {
	Results    Results       `cbor:"1,keyasint"`
	Code       verdict.Code  `cbor:"2,keyasint,omitempty"`
	Message    string        `cbor:"3,keyasint,omitempty"`
	RetryAfter time.Duration `cbor:"4,keyasint,omitempty"`
}

// freeRequest asks a coordinator to free results.
type freeRequest struct {
	Handles []string `cbor:"1,keyasint"`
}

// Execute has a plan run by the coordinator, or by this host if none of the
// candidates completes or refuses it. It sets p.HandedOver if a candidate hands the
// plan over. The error is a *verdict.Error with NotRun: the pieces may be run again.
func (d *Dispatcher) Execute(ctx context.Context, p *Plan) (Results, error) {
	tried := make(map[string]bool)
	for range maxCoordinators {
		coordinator := d.coordinator(tried)
		if tried[coordinator] {
			break
		}
		tried[coordinator] = true
		results, err, settled := d.executeAt(ctx, coordinator, p)
		if settled {
			return results, err
		}
		if ctx.Err() != nil {
			return Results{}, verdict.Wrap(ctx.Err(), verdict.CodeCallerCancelled, verdict.NotRun, "stages were cancelled")
		}
		p.HandedOver = p.HandedOver || verdict.From(err).Code == verdict.CodeNotReady
		d.log.Warn("keeper of the stages did not settle a plan", slog.String("request", p.Request), slog.String("host", coordinator),
			slog.Bool("handed_over", p.HandedOver), slog.Any("error", err))
	}
	return d.scheduler.Execute(ctx, p)
}

// executeAt has the plan run by the given host, which may be this one. settled
// says that results and err are final, so that no other host should be asked.
func (d *Dispatcher) executeAt(ctx context.Context, coordinator string, p *Plan) (results Results, err error, settled bool) {
	if coordinator != d.peers.Self() {
		return d.executeRemotely(ctx, coordinator, p)
	}
	results, err = d.scheduler.Execute(ctx, p)
	return results, err, !errors.Is(err, errHandedOver)
}

// coordinator returns the ID of the first candidate that has not been tried, or
// this host's ID if all have been.
func (d *Dispatcher) coordinator(tried map[string]bool) string {
	for _, id := range d.peers.Candidates() {
		if !tried[id] {
			return id
		}
	}
	return d.peers.Self()
}

// executeRemotely sends the plan to another host and waits for the outcome until
// the plan's hard deadline. settled is as in executeAt. If ctx or that deadline
// ends first, it has the other host cancel the plan.
func (d *Dispatcher) executeRemotely(ctx context.Context, coordinator string, p *Plan) (results Results, err error, settled bool) {
	now := d.clock.Now()
	payload, err := cbor.Marshal(runRequest{*p, p.SoftDeadline.Sub(now), p.HardDeadline.Sub(now)})
	if err != nil {
		return Results{}, verdict.Wrap(err, verdict.CodeInternal, verdict.NotRun, "encode plan"), true
	}
	askCtx, cancel := context.WithDeadline(ctx, p.HardDeadline)
	defer cancel()
	encoded, err := d.peers.Ask(askCtx, coordinator, kindRun, payload)
	if err != nil {
		if askCtx.Err() != nil {
			d.notify(coordinator, kindCancel, []byte(p.Request))
		}
		if ctx.Err() == nil && askCtx.Err() != nil {
			return Results{}, verdict.New(verdict.CodeDeadlineExceeded, verdict.NotRun, "stages were not done in time"), true
		}
		return Results{}, err, false
	}
	var response runResponse
	if err := cbor.Unmarshal(encoded, &response); err != nil {
		return Results{}, err, false
	}
	if response.Code != "" {
		return Results{}, verdict.New(response.Code, verdict.NotRun, response.Message).WithRetryAfter(response.RetryAfter), response.Code != verdict.CodeNotReady
	}
	return response.Results, nil, true
}

// handleRun runs another host's plan on this host's scheduler. Its response carries
// the scheduler's error; the error returned is only for a malformed request.
func (d *Dispatcher) handleRun(parent context.Context, _ port.Member, payload []byte) ([]byte, error) {
	var r runRequest
	if err := cbor.Unmarshal(payload, &r); err != nil {
		return nil, verdict.Wrap(err, verdict.CodeBadInput, verdict.NotRun, "plan can't be read")
	}
	if d.peers.ShuttingDown() && !r.Plan.HandedOver {
		// The requesting host may not have learned of the shutdown if the store is
		// unavailable. It asks the next candidate.
		return cbor.Marshal(runResponse{Code: errHandedOver.Code, Message: errHandedOver.Message})
	}
	now := d.clock.Now()
	r.Plan.SoftDeadline, r.Plan.HardDeadline = now.Add(r.SoftDeadlineIn), now.Add(r.HardDeadlineIn)
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	d.mu.Lock()
	d.running[r.Plan.Request] = cancel
	d.mu.Unlock()
	results, err := d.scheduler.Execute(ctx, &r.Plan)
	d.mu.Lock()
	delete(d.running, r.Plan.Request)
	d.mu.Unlock()
	response := runResponse{Results: results}
	if err != nil {
		e := verdict.From(err)
		response = runResponse{Code: e.Code, Message: e.Message, RetryAfter: e.RetryAfter}
	}
	return cbor.Marshal(response)
}

// handleCancel cancels another host's plan, if it is still running.
func (d *Dispatcher) handleCancel(_ context.Context, _ port.Member, payload []byte) ([]byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if cancel := d.running[string(payload)]; cancel != nil {
		cancel()
	}
	return []byte{1}, nil
}

// handleFree frees results that this host's scheduler accounts for.
func (d *Dispatcher) handleFree(_ context.Context, _ port.Member, payload []byte) ([]byte, error) {
	var r freeRequest
	if err := cbor.Unmarshal(payload, &r); err != nil {
		return nil, verdict.Wrap(err, verdict.CodeBadInput, verdict.NotRun, "results can't be read")
	}
	d.scheduler.Free(r.Handles)
	return []byte{1}, nil
}

// Free frees results at their coordinator. It does not wait for the outcome.
func (d *Dispatcher) Free(r Results) {
	if len(r.Handles) == 0 {
		return
	}
	if r.Coordinator == d.peers.Self() {
		d.scheduler.Free(r.Handles)
		return
	}
	payload, err := cbor.Marshal(freeRequest{r.Handles})
	if err != nil {
		d.log.Error("request to free results cannot be encoded, results stay stored until they expire", slog.Any("error", err))
		return
	}
	d.notify(r.Coordinator, kindFree, payload)
}

// notify sends a notice to a coordinator without waiting for the response.
func (d *Dispatcher) notify(coordinator, kind string, payload []byte) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), noticeTimeout)
		defer cancel()
		if _, err := d.peers.Ask(ctx, coordinator, kind, payload); err != nil {
			d.log.Info("notice to the stage coordinator failed", slog.String("kind", kind), slog.String("host", coordinator), slog.Any("error", err))
		}
	}()
}
