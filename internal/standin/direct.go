package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync"

	"github.com/go-faster/errors"

	"github.com/pimentorill/pimentorill/internal/core/release"
	"github.com/pimentorill/pimentorill/internal/core/verdict"
	"github.com/pimentorill/pimentorill/internal/port"
)

// Direct is a port.AttemptClient, cost.UsageReader and port.OrderClient that calls
// stand-ins in process, by endpoint id. It needs no network, so it runs
// inside testing/synctest. Its errors are *verdict.Error.
type Direct struct {
	mu          sync.RWMutex
	byID        map[string]inProcessBackend
	unreachable map[string]bool
}

// inProcessBackend is a backend that Direct can call.
type inProcessBackend interface {
	serve(ctx context.Context, c call, emit func(string) error) (response, error)
	attemptUsage(attempt string) (port.Usage, bool)
}

// NewDirect returns a Direct without endpoints.
func NewDirect() *Direct {
	return &Direct{byID: make(map[string]inProcessBackend), unreachable: make(map[string]bool)}
}

// Add makes an *Engine, *Pool or *Plain reachable under an endpoint's id.
func (d *Direct) Add(id string, backend inProcessBackend) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.byID[id] = backend
}

// SetUnreachable makes an endpoint unreachable, or reachable again. Calls in
// progress continue.
func (d *Direct) SetUnreachable(id string, unreachable bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.unreachable[id] = unreachable
}

// lookup returns the backend with that id, or a not_run error if it is unknown or
// unreachable.
func (d *Direct) lookup(id string) (inProcessBackend, error) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	backend, ok := d.byID[id]
	if !ok || d.unreachable[id] {
		return nil, verdict.New(verdict.CodeEndpointFailed, verdict.NotRun, "endpoint cannot be reached")
	}
	return backend, nil
}

// Call implements port.AttemptClient.
func (d *Direct) Call(ctx context.Context, a port.Attempt) (port.AttemptResult, error) {
	backend, err := d.lookup(a.Endpoint.ID)
	if err != nil {
		return port.AttemptResult{}, err
	}
	if !a.Deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, a.Deadline)
		defer cancel()
	}
	if ctx.Err() != nil {
		return port.AttemptResult{}, verdict.Wrap(ctx.Err(), verdict.CodeDeadlineExceeded, verdict.NotRun, "call ended before it was sent")
	}
	result := port.AttemptResult{AttemptID: a.ID}
	var text strings.Builder
	got, err := backend.serve(ctx, callFromAttempt(a), func(tok string) error {
		text.WriteString(tok)
		result.Tokens++
		if a.OnToken != nil {
			a.OnToken(tok)
		}
		return nil
	})
	result.Text = text.String()
	result.Load = &got.load
	if err != nil {
		return result, verdictError(ctx, err)
	}
	if got.attempt != a.ID {
		return port.AttemptResult{}, verdict.New(verdict.CodeEndpointFailed, verdict.MayHaveRun, "answer for another attempt")
	}
	result.Usage = got.usage
	result.Output = got.output
	if a.Service.Kind == release.KindEngine {
		result.Output, err = json.Marshal(a.ResumeText + result.Text)
	}
	return result, err
}

// callFromAttempt returns the call for an attempt. The prompt for an engine is the
// input's JSON string, or the text of any other JSON.
func callFromAttempt(a port.Attempt) call {
	c := call{attempt: a.ID, key: a.IdempotencyKey, priority: a.Priority, resumeTokens: a.ResumeTokens, input: a.Input, maxTokens: a.Stage.MaxTokens}
	if a.Service.Kind == release.KindEngine {
		c.model = a.Service.Model
		if json.Unmarshal(a.Input, &c.prompt) != nil {
			c.prompt = string(a.Input)
		}
	}
	return c
}

// verdictError returns the *verdict.Error for an error of serve; ctx is the call's.
func verdictError(ctx context.Context, err error) error {
	var refused *refusedError
	if errors.As(err, &refused) {
		return verdict.Wrap(err, verdict.CodeNoCapacity, verdict.NotRun, "endpoint refused the call")
	}
	switch ctx.Err() {
	case context.DeadlineExceeded:
		return verdict.Wrap(err, verdict.CodeDeadlineExceeded, verdict.MayHaveRun, "endpoint did not answer in time")
	case context.Canceled:
		return verdict.Wrap(err, verdict.CodeCallerCancelled, verdict.MayHaveRun, "call cancelled")
	}
	return verdict.Wrap(err, verdict.CodeEndpointFailed, verdict.MayHaveRun, "endpoint failed")
}

// AttemptUsage implements cost.UsageReader.
func (d *Direct) AttemptUsage(_ context.Context, e release.Endpoint, attemptID string) (port.Usage, bool, error) {
	backend, err := d.lookup(e.ID)
	if err != nil {
		return port.Usage{}, false, err
	}
	usage, ended := backend.attemptUsage(attemptID)
	return usage, ended, nil
}

// engine returns the engine with that id, or a not_run error if there is none or
// it is unreachable.
func (d *Direct) engine(id string) (*Engine, error) {
	backend, err := d.lookup(id)
	if err != nil {
		return nil, err
	}
	e, ok := backend.(*Engine)
	if !ok {
		return nil, verdict.New(verdict.CodeEndpointFailed, verdict.NotRun, "endpoint takes no orders")
	}
	return e, nil
}

// State implements port.OrderClient.
func (d *Direct) State(_ context.Context, e release.Endpoint) (port.EngineState, error) {
	engine, err := d.engine(e.ID)
	if err != nil {
		return port.EngineState{}, err
	}
	return engine.State(), nil
}

// Send implements port.OrderClient.
func (d *Direct) Send(_ context.Context, e release.Endpoint, fencingToken uint64, o port.Order) error {
	engine, err := d.engine(e.ID)
	if err != nil {
		return err
	}
	if status := engine.SubmitOrder(o, fencingToken); status != http.StatusAccepted {
		return verdict.New(verdict.CodeEndpointFailed, verdict.NotRun, "order refused with status "+strconv.Itoa(status))
	}
	if engine.orders.takeResponseDrop() {
		return verdict.New(verdict.CodeEndpointFailed, verdict.MayHaveRun, "answer to the order lost")
	}
	return nil
}
