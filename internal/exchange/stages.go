package exchange

import (
	"context"
	"slices"
	"time"

	"github.com/pimentorill/pimentorill/internal/core/balance"
	"github.com/pimentorill/pimentorill/internal/core/catalog"
	"github.com/pimentorill/pimentorill/internal/stagework"
)

const (
	// defaultFirstEvent is the time to an engine's first event until it is measured.
	defaultFirstEvent = 200 * time.Millisecond
	// costlyTokens is the size of a shared prompt whose engine is taken wherever
	// the results lie, so that they are worth a wait for its zone: reading it anew
	// takes about 50 ms.
	costlyTokens = 2000
	// tokenBytes is the size of results whose way between zones costs as much as
	// reading one prompt token anew: the users' prices, 0.26 for 1,000 tokens
	// and about 95 for a GB.
	tokenBytes = 2700
	// returnedPart is the part of the route's timeout below which a caller's time
	// shows that it has been here before.
	returnedPart = 0.97
	// firstEventWeight is the weight of the newest measurement.
	firstEventWeight = 0.1
)

// pieces returns the number of pieces of a stage.
func (r *run) pieces(stage int) int {
	if stage < len(r.x.StagePieces) {
		return r.x.StagePieces[stage]
	}
	return 0
}

// makeStages has all stages made and sets the inputs of the endpoint.
func (r *run) makeStages(ctx context.Context) error {
	if len(r.route.Stages) == 0 {
		return nil
	}
	began := r.cfg.Clock.Now()
	defer func() { r.trace.stages += r.cfg.Clock.Now().Sub(began) }()
	plan := &stagework.Plan{Request: r.x.ID, Key: r.x.PieceKey, Priority: r.urgency, Zone: r.wantedZone(), WaitForZone: r.sharedTokens() >= costlyTokens, PreviouslyRefused: r.returned(),
		SoftDeadline: r.x.ReceivedAt.Add(r.route.TargetLatency - r.firstEvent()), HardDeadline: r.deadline.Add(-r.firstEvent())}
	wanted := 0
	for i, s := range r.route.Stages {
		plan.Stages = append(plan.Stages, stagework.Stage{Service: s.Service, DependsOn: s.DependsOn, Pieces: r.pieces(i), ResultBytes: s.ResultBytes})
		wanted += r.pieces(i)
	}
	r.inputs, r.zone = []string{}, ""
	if wanted == 0 {
		return nil
	}
	results, err := r.cfg.Stages.Execute(ctx, plan)
	if err != nil {
		return err
	}
	r.results, r.inputs, r.zone = results, results.Handles, results.Zone
	r.trace.stageWait += results.QueueWait
	r.trace.keeper = results.Coordinator
	return nil
}

// wantedZone is the zone of the endpoint that should run the request.
func (r *run) wantedZone() string {
	e := r.cfg.Table.Peek(r.usable(), r.work(""))
	if e == nil {
		return ""
	}
	return e.Zone
}

// freeResults gives up the results that the endpoint has taken, or that
// nobody will take.
func (r *run) freeResults() {
	r.cfg.Stages.Free(r.results)
	r.results, r.inputs = stagework.Results{}, nil
}

// firstEvent returns the measured time to an endpoint's first event.
func (r *run) firstEvent() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if d, ok := r.first[r.route.Name]; ok {
		return d
	}
	return defaultFirstEvent
}

func (r *run) observeFirstEvent(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	old, ok := r.first[r.route.Name]
	if !ok {
		old = d
	}
	r.first[r.route.Name] = old + time.Duration(firstEventWeight*float64(d-old))
}

// resultBytes returns the size of the results that the endpoint fetches.
func (r *run) resultBytes() int64 {
	sum := int64(0)
	for i, s := range r.route.Stages {
		needed := slices.ContainsFunc(r.route.Stages, func(o catalog.Stage) bool { return slices.Contains(o.DependsOn, i) })
		if !needed {
			sum += int64(r.pieces(i)) * s.ResultBytes
		}
	}
	return sum
}

// work describes the exchange to the balancer. The zone of the results binds
// only if they cost more to move than the shared prompt costs to read anew.
func (r *run) work(zone string) balance.Criteria {
	if r.route.PromptCache && int64(r.sharedTokens())*tokenBytes > r.resultBytes() {
		zone = ""
	}
	w := balance.Criteria{Service: r.service, Zone: zone, Avoid: r.tried}
	if parts := r.x.Prompt; r.route.PromptCache && len(parts) > 0 {
		// The last part is the request's own; the one before it is its subject's.
		w.CacheKey = parts[max(0, len(parts)-2)].ID
	}
	return w
}

// returned reports whether the caller has tried before: it has less time than
// the route gives.
func (r *run) returned() bool {
	return r.x.CallerTimeout > 0 && float64(r.x.CallerTimeout) < returnedPart*float64(r.route.Timeout)
}

// sharedTokens returns the tokens of the prompt that other requests share.
func (r *run) sharedTokens() int {
	sum := 0
	for i, p := range r.x.Prompt {
		if i+1 < len(r.x.Prompt) {
			sum += p.Tokens
		}
	}
	return sum
}
