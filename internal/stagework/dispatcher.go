package stagework

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
	"github.com/uber-go/tally/v4"

	"github.com/pimentorill/pimentorill/internal/core/advisory"
	"github.com/pimentorill/pimentorill/internal/core/catalog"
	"github.com/pimentorill/pimentorill/internal/core/ratelimit"
	"github.com/pimentorill/pimentorill/internal/core/verdict"
	"github.com/pimentorill/pimentorill/internal/crashing"
	"github.com/pimentorill/pimentorill/internal/health"
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
	// maxCoordinators bounds the number of hosts that a plan is sent to in a round, maxRounds
	// the number of rounds. A round follows after roundPause if a host has responded that
	// another one is the coordinator and at least minTimeForPause is left.
	maxCoordinators = 8
	maxRounds       = 2
	roundPause      = 250 * time.Millisecond
	minTimeForPause = 4 * roundPause
	// noticeTimeout bounds a notice to a coordinator that results or a plan are
	// no longer needed.
	noticeTimeout = time.Second
)

// Peers connects to the other hosts. Implementations are safe for concurrent use.
type Peers interface {
	// Coordinators returns the IDs of the hosts that respond and are not shutting
	// down, in the order in which they become the coordinator of a group. They are
	// hosts of the given zones, or of all zones if none is known there. It may include
	// this host.
	Coordinators(group string, zones []string) []string
	// Self returns this host's ID.
	Self() string
	// ReachableShare returns the share, from 0 to 1, of the known hosts of the zones
	// that this host reaches.
	ReachableShare(zones []string) float64
	// ShuttingDown reports whether this host is about to stop.
	ShuttingDown() bool
	// ClaimCoordination tells the other hosts to keep this host as the coordinator of
	// a group. Dispatcher.Run calls it at every poll of the coordinator's host.
	ClaimCoordination(group string)
	// Ask sends a request to another host and returns its response. The error is a
	// *verdict.Error.
	Ask(ctx context.Context, host, kind string, payload []byte) ([]byte, error)
	// Handle sets the handler for requests of a kind. NewDispatcher calls it.
	Handle(kind string, fn port.RequestHandler)
	// HandleWhileConnected is like Handle, but the context of the handler also ends
	// when the requester's connection closes.
	HandleWhileConnected(kind string, fn port.RequestHandler)
}

// Config holds the dependencies of a Dispatcher.
type Config struct {
	Peers Peers
	// Zone is the availability zone of this host.
	Zone      string
	Endpoints port.EndpointClient
	Health    *health.Monitor
	// RateLimits holds the limits that the endpoints name.
	RateLimits *ratelimit.Limiter
	// Advisories holds what the endpoints say of themselves.
	Advisories *advisory.Registry
	// LookupService returns a service and its endpoints that may be called; nil if the
	// service is unknown.
	LookupService func(service string) (*catalog.Service, []*catalog.Endpoint)
	// StageEndpoints returns the endpoints of all stage services that may be called.
	StageEndpoints func() []*catalog.Endpoint
	// Overloaded reports whether this host's processor does not keep up.
	Overloaded func() bool
	// Crashes knows the requests whose pieces crash endpoints; nil if nothing does.
	Crashes *crashing.Guard
	Clock   port.Clock
	Log     *slog.Logger
	// Metrics may be nil; then no metrics are recorded.
	Metrics tally.Scope
}

// Dispatcher has plans run by the coordinator of a group of endpoints. It is safe for
// concurrent use.
type Dispatcher struct {
	cfg Config

	mu sync.Mutex
	// running holds the plans run for other hosts, by request ID, and requesters the
	// hosts that sent them, by ID.
	running    map[string]remotePlan
	requesters map[string]*requester
	// division is that of endpointIDs; nil before the first use.
	division    division
	endpointIDs []string
	// schedulers holds the schedulers of the groups that this host has run plans of, by
	// group name. runContext is that of Run, nil before.
	schedulers map[string]*Scheduler
	runContext context.Context
	// states holds what this host knows of the groups, by name.
	states map[string]*groupState
	// silentUntil holds until when a host that did not respond is taken for lost.
	silentUntil map[string]time.Time
}

// NewDispatcher returns a Dispatcher and registers its handlers for requests of
// other hosts.
func NewDispatcher(cfg Config) *Dispatcher {
	d := &Dispatcher{cfg: cfg, running: make(map[string]remotePlan), requesters: make(map[string]*requester), schedulers: make(map[string]*Scheduler), states: make(map[string]*groupState), silentUntil: make(map[string]time.Time)}
	// A host that has lost the connection has another one run its plan.
	cfg.Peers.HandleWhileConnected(kindRun, d.handleRun)
	cfg.Peers.Handle(kindCancel, d.handleCancel)
	cfg.Peers.Handle(kindFree, d.handleFree)
	return d
}

// runRequest asks a coordinator to run a plan. Deadlines are sent as durations
// because the hosts' clocks differ.
type runRequest struct {
	Plan           Plan          `cbor:"1,keyasint"`
	SoftDeadlineIn time.Duration `cbor:"2,keyasint"`
	HardDeadlineIn time.Duration `cbor:"3,keyasint"`
	// Group is the name of the group whose endpoints run the plan.
	Group string `cbor:"4,keyasint,omitempty"`
}

// runResponse is the outcome of a plan: its results, or an error if Code is set.
type runResponse struct {
	Results    Results       `cbor:"1,keyasint"`
	Code       verdict.Code  `cbor:"2,keyasint,omitempty"`
	Message    string        `cbor:"3,keyasint,omitempty"`
	RetryAfter time.Duration `cbor:"4,keyasint,omitempty"`
	// Backlog is how long plans of the same kind wait in the group.
	Backlog time.Duration `cbor:"5,keyasint,omitempty"`
	// NotCoordinator is set if the host did not run the plan because another one
	// coordinates the group.
	NotCoordinator bool `cbor:"6,keyasint,omitempty"`
}

// freeRequest asks a coordinator to free results.
type freeRequest struct {
	Handles []string `cbor:"1,keyasint"`
	// Group is the name of the group that accounts for them.
	Group string `cbor:"2,keyasint,omitempty"`
}

// errOverloaded is the refusal of a plan by a coordinator whose processor does not
// keep up.
var errOverloaded = verdict.New(verdict.CodeNoCapacity, verdict.NotRun, "coordinator is overloaded").WithRetryAfter(minRetryAfter)

// errNotCoordinator is the refusal of a plan by a host that knows another coordinator
// of the group.
var errNotCoordinator = verdict.New(verdict.CodeNotReady, verdict.NotRun, "another host coordinates the group")

// Execute has a plan run by the coordinator of one group, in order of preference, or
// by this host if no coordinator responds. A plan that a group has no capacity for is
// passed on to another one. It sets p.HandedOver if a coordinator hands the plan over.
// The error is a *verdict.Error with NotRun: the pieces may be run again.
func (d *Dispatcher) Execute(ctx context.Context, p *Plan) (Results, error) {
	if err := p.validate(); err != nil {
		return Results{}, err
	}
	var refusal error // the first refusal for lack of capacity
	for round := range maxRounds {
		elsewhere := false // whether a host has said that another one is the coordinator
		tried := make(map[target]bool)
		for range maxCoordinators {
			t, ok := d.chooseTarget(p, tried, refusal != nil)
			if !ok {
				break
			}
			tried[t] = true
			results, err := d.executeAt(ctx, t, p)
			if err == nil {
				return results, nil
			}
			if ctx.Err() != nil {
				return Results{}, verdict.Wrap(ctx.Err(), verdict.CodeCallerCancelled, verdict.NotRun, "stages were cancelled")
			}
			var final *finalError
			switch {
			case errors.As(err, &final):
				return Results{}, final.error
			case isRefusal(err):
				if refusal == nil {
					refusal = err
				}
				p.Offered = true
			default:
				elsewhere = elsewhere || errors.Is(err, errNotCoordinator)
				p.HandedOver = p.HandedOver || verdict.From(err).Code == verdict.CodeNotReady && !errors.Is(err, errNotCoordinator)
				d.cfg.Log.Warn("keeper of the stages did not settle a plan", slog.String("request", p.Request), slog.String("group", t.group), slog.String("host", t.host),
					slog.Bool("handed_over", p.HandedOver), slog.Any("error", err))
			}
		}
		if refusal != nil {
			return Results{}, refusal
		}
		if !elsewhere || round == maxRounds-1 || p.HardDeadline.Sub(d.cfg.Clock.Now()) < minTimeForPause {
			break
		}
		// Other hosts respond and will soon agree on a coordinator: plans that each host
		// ran by itself would make small calls, without knowing of each other's results.
		port.Sleep(ctx, roundPause)
	}
	g := d.currentDivision().ofZone(d.cfg.Zone)
	results, err := d.scheduler(groupName(g)).Execute(ctx, p)
	if errors.Is(err, errHandedOver) && !p.HandedOver {
		// A coordinator responds again, and this host has given the plan up for it.
		p.HandedOver = true
		return d.Execute(ctx, p)
	}
	return results, err
}

// finalError wraps an outcome that no other coordinator would change.
type finalError struct{ error }

// Unwrap returns the wrapped error.
func (e *finalError) Unwrap() error { return e.error }

// isRefusal reports whether a coordinator refused a plan for lack of capacity.
func isRefusal(err error) bool {
	e := verdict.From(err)
	return e.Code == verdict.CodeNoCapacity && e.RetryAfter > 0
}

// executeAt has the plan run by a coordinator, which may be this host. The error is a
// *finalError, errHandedOver, errReachesNoEndpoint, a refusal, errNotCoordinator, or that
// of a coordinator that did not respond.
func (d *Dispatcher) executeAt(ctx context.Context, t target, p *Plan) (Results, error) {
	var response runResponse
	if t.host == d.cfg.Peers.Self() {
		if !p.HandedOver && d.coordinatedElsewhere(t.group) && !d.succeeds(t.group) {
			return Results{}, errNotCoordinator
		}
		response = d.executeHere(ctx, t.group, p)
	} else {
		var err error
		if response, err = d.executeRemotely(ctx, t, p); err != nil {
			return Results{}, err
		}
	}
	d.recordBacklog(t.group, p.Priority, response.Backlog)
	if response.Code == "" {
		return response.Results, nil
	}
	err := verdict.New(response.Code, verdict.NotRun, response.Message).WithRetryAfter(response.RetryAfter)
	switch {
	case response.Code == errHandedOver.Code:
		return Results{}, err
	case isRefusal(err):
		d.recordRefusal(t.group)
		return Results{}, err
	default:
		return Results{}, &finalError{err}
	}
}

// executeHere runs a plan on this host's scheduler of a group, unless this host is
// overloaded.
func (d *Dispatcher) executeHere(ctx context.Context, group string, p *Plan) runResponse {
	if d.cfg.Overloaded() {
		return runResponse{Code: errOverloaded.Code, Message: errOverloaded.Message, RetryAfter: errOverloaded.RetryAfter, Backlog: overloadBacklog}
	}
	sc := d.scheduler(group)
	results, err := sc.Execute(ctx, p)
	results.Group = group
	response := runResponse{Results: results, Backlog: sc.backlog(p)}
	if err != nil {
		e := verdict.From(err)
		response.Code, response.Message, response.RetryAfter = e.Code, e.Message, e.RetryAfter
	}
	return response
}

// executeRemotely sends the plan to another host and waits for the response until
// the plan's hard deadline. If ctx or that deadline ends first, it has the other host
// cancel the plan. Without a response, or with one of a host that does not coordinate
// the group, it returns an error of those of executeAt.
func (d *Dispatcher) executeRemotely(ctx context.Context, t target, p *Plan) (runResponse, error) {
	now := d.cfg.Clock.Now()
	payload, err := cbor.Marshal(runRequest{*p, p.SoftDeadline.Sub(now), p.HardDeadline.Sub(now), t.group})
	if err != nil {
		return runResponse{}, &finalError{verdict.Wrap(err, verdict.CodeInternal, verdict.NotRun, "encode plan")}
	}
	askCtx, cancel := context.WithDeadline(ctx, p.HardDeadline)
	defer cancel()
	encoded, err := d.cfg.Peers.Ask(askCtx, t.host, kindRun, payload)
	if err != nil {
		if askCtx.Err() != nil {
			d.notify(t.host, kindCancel, []byte(p.Request))
		}
		if ctx.Err() == nil && askCtx.Err() != nil {
			return runResponse{}, &finalError{verdict.New(verdict.CodeDeadlineExceeded, verdict.NotRun, "stages were not done in time")}
		}
		d.recordNoResponse(t.group)
		d.recordSilence(t.host)
		return runResponse{}, err
	}
	var response runResponse
	if err := cbor.Unmarshal(encoded, &response); err != nil {
		return runResponse{}, err
	}
	if response.NotCoordinator {
		d.recordNoResponse(t.group)
		return runResponse{}, errNotCoordinator
	}
	return response, nil
}

// handleRun runs another host's plan on this host's scheduler. Its response carries
// the scheduler's error; the error returned is only for a malformed request.
func (d *Dispatcher) handleRun(parent context.Context, from port.Member, payload []byte) ([]byte, error) {
	var r runRequest
	if err := cbor.Unmarshal(payload, &r); err != nil {
		return nil, verdict.Wrap(err, verdict.CodeBadInput, verdict.NotRun, "plan can't be read")
	}
	if d.cfg.Peers.ShuttingDown() && !r.Plan.HandedOver {
		// The requesting host may not have learned of the shutdown if the store is
		// unavailable. It asks the next candidate.
		return cbor.Marshal(runResponse{Code: errHandedOver.Code, Message: errHandedOver.Message})
	}
	group := d.groupOrOwn(r.Group)
	if !r.Plan.HandedOver && d.coordinatedElsewhere(group) && !d.succeeds(group) {
		return cbor.Marshal(runResponse{Code: errNotCoordinator.Code, Message: errNotCoordinator.Message, NotCoordinator: true})
	}
	now := d.cfg.Clock.Now()
	r.Plan.SoftDeadline, r.Plan.HardDeadline = now.Add(r.SoftDeadlineIn), now.Add(r.HardDeadlineIn)
	ctx, cancel := context.WithCancelCause(parent)
	defer cancel(nil)
	defer d.beginRemotePlan(r.Plan.Request, from.ID, cancel)()
	response := d.executeHere(ctx, group, &r.Plan)
	if requesterLost(ctx) && response.Code != "" {
		response = runResponse{Code: errRequesterLost.Code, Message: errRequesterLost.Message}
	}
	return cbor.Marshal(response)
}

// handleCancel cancels another host's plan, if it is still running.
func (d *Dispatcher) handleCancel(_ context.Context, from port.Member, payload []byte) ([]byte, error) {
	d.heardFrom(from.ID)
	d.mu.Lock()
	defer d.mu.Unlock()
	if p, ok := d.running[string(payload)]; ok {
		p.cancel(context.Canceled)
	}
	return []byte{1}, nil
}

// handleFree frees results that this host's scheduler accounts for.
func (d *Dispatcher) handleFree(_ context.Context, from port.Member, payload []byte) ([]byte, error) {
	d.heardFrom(from.ID)
	var r freeRequest
	if err := cbor.Unmarshal(payload, &r); err != nil {
		return nil, verdict.Wrap(err, verdict.CodeBadInput, verdict.NotRun, "results can't be read")
	}
	d.scheduler(d.groupOrOwn(r.Group)).Free(r.Handles)
	return []byte{1}, nil
}

// Free frees results at their coordinator. It does not wait for the outcome.
func (d *Dispatcher) Free(r Results) {
	if len(r.Handles) == 0 {
		return
	}
	if r.Coordinator == d.cfg.Peers.Self() {
		d.scheduler(r.Group).Free(r.Handles)
		return
	}
	payload, err := cbor.Marshal(freeRequest{r.Handles, r.Group})
	if err != nil {
		d.cfg.Log.Error("request to free results cannot be encoded, results stay stored until they expire", slog.Any("error", err))
		return
	}
	d.notify(r.Coordinator, kindFree, payload)
}

// notify sends a notice to a coordinator without waiting for the response.
func (d *Dispatcher) notify(coordinator, kind string, payload []byte) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), noticeTimeout)
		defer cancel()
		if _, err := d.cfg.Peers.Ask(ctx, coordinator, kind, payload); err != nil {
			d.cfg.Log.Info("notice to the stage coordinator failed", slog.String("kind", kind), slog.String("host", coordinator), slog.Any("error", err))
		}
	}()
}
