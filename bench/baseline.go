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

// baselineTries is how often the baseline sends a stage at the most.
const baselineTries = 3

// Baseline is the plain way to serve a pipeline: endpoints in turn, a failed
// stage sent again at once, no ramp, no shares, no retry budget.
type Baseline struct {
	Caller   port.AttemptClient
	attempts atomic.Uint64

	mu    sync.Mutex
	turns map[string]int
}

// Run runs the pipeline and returns what it cost, failed tries included.
func (b *Baseline) Run(ctx context.Context, r *release.Release, p release.Pipeline, input json.RawMessage, deadline time.Time) (int64, error) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	var spent int64
	for _, s := range p.Stages {
		answer, amount, err := b.stage(ctx, r, s, input, deadline)
		spent += amount
		if err != nil {
			return spent, err
		}
		input = answer.Output
	}
	return spent, nil
}

func (b *Baseline) stage(ctx context.Context, r *release.Release, s release.Stage, input json.RawMessage, deadline time.Time) (port.AttemptResult, int64, error) {
	service, _ := r.Service(s.Service)
	var spent int64
	var answer port.AttemptResult
	var err error
	for range baselineTries {
		a := port.Attempt{Service: service, Stage: s, Input: input, Deadline: deadline}
		a.ID = fmt.Sprintf("baseline-%d", b.attempts.Add(1))
		a.Endpoint, err = b.pick(r, s.Service)
		if err != nil {
			return answer, spent, err
		}
		answer, err = b.Caller.Call(ctx, a)
		spent += cost.Amount(s.Price, answer.Usage)
		if err == nil || ctx.Err() != nil {
			break
		}
	}
	return answer, spent, err
}

// pick takes the service's endpoints in turn, but for zones taken out.
func (b *Baseline) pick(r *release.Release, service string) (release.Endpoint, error) {
	var in []release.Endpoint
	for _, e := range r.EndpointsOf(service) {
		if !r.ZoneOutOfService(e.AvailabilityZone) {
			in = append(in, e)
		}
	}
	if len(in) == 0 {
		return release.Endpoint{}, fmt.Errorf("no endpoint of %s", service)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.turns == nil {
		b.turns = map[string]int{}
	}
	b.turns[service]++
	return in[b.turns[service]%len(in)], nil
}
