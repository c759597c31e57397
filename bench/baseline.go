package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pimentorill/pimentorill/internal/core/cost"
	"github.com/pimentorill/pimentorill/internal/core/release"
	"github.com/pimentorill/pimentorill/internal/port"
)

// baselineMaxAttempts is the maximum number of attempts of a stage.
const baselineMaxAttempts = 3

// Baseline runs pipelines without pimentorill's protections: endpoints in
// round-robin order, immediate retries of a failed stage, no warm-up ramp, no
// customer shares, no retry budget. It is safe for concurrent use.
type Baseline struct {
	Client            port.AttemptClient
	lastAttemptNumber atomic.Uint64

	mu    sync.Mutex
	picks map[string]int
}

// Run runs the pipeline and returns its cost, including that of failed attempts, in
// the unit of release.Price. The error is that of the stage that failed.
func (b *Baseline) Run(ctx context.Context, r *release.Release, p release.Pipeline, input json.RawMessage, deadline time.Time) (int64, error) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	var total int64
	for _, s := range p.Stages {
		result, amount, err := b.runStage(ctx, r, s, input, deadline)
		total += amount
		if err != nil {
			return total, err
		}
		input = result.Output
	}
	return total, nil
}

// runStage returns the last attempt's result and the cost of all attempts.
func (b *Baseline) runStage(ctx context.Context, r *release.Release, s release.Stage, input json.RawMessage, deadline time.Time) (port.AttemptResult, int64, error) {
	service, _ := r.Service(s.Service)
	var total int64
	var result port.AttemptResult
	var err error
	for range baselineMaxAttempts {
		a := port.Attempt{Service: service, Stage: s, Input: input, Deadline: deadline}
		a.ID = fmt.Sprintf("baseline-%d", b.lastAttemptNumber.Add(1))
		a.Endpoint, err = b.pick(r, s.Service)
		if err != nil {
			return result, total, err
		}
		result, err = b.Client.Call(ctx, a)
		total += cost.Amount(s.Price, result.Usage)
		if err == nil || ctx.Err() != nil {
			break
		}
	}
	return result, total, err
}

// pick returns the service's endpoints in turn, one for each call, except those in
// zones out of service. It fails if none is left.
func (b *Baseline) pick(r *release.Release, service string) (release.Endpoint, error) {
	var usable []release.Endpoint
	for _, e := range r.EndpointsOf(service) {
		if !r.ZoneOutOfService(e.AvailabilityZone) {
			usable = append(usable, e)
		}
	}
	if len(usable) == 0 {
		return release.Endpoint{}, fmt.Errorf("no endpoint of %s", service)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.picks == nil {
		b.picks = map[string]int{}
	}
	b.picks[service]++
	return usable[b.picks[service]%len(usable)], nil
}
