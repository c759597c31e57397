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
	// defaultTimeToFirstEvent is the time to an engine's first event until it is measured.
	defaultTimeToFirstEvent = 200 * time.Millisecond
	// waitForZoneTokens is the size of a shared prompt whose engine is taken wherever
	// the results lie, so that they are worth a wait for its zone: reading it anew
	// takes about 50 ms.
	waitForZoneTokens = 2000
	// transferBytesPerToken is the size of results whose way between zones costs as much as
	// reading one prompt token anew: the users' prices, 0.26 for 1,000 tokens
	// and about 95 for a GB.
	transferBytesPerToken = 2700
	// previouslyRefusedRatio is the part of the route's timeout below which a caller's time
	// shows that it has been here before.
	previouslyRefusedRatio = 0.97
	// firstEventSmoothing is the weight of the newest measurement.
	firstEventSmoothing = 0.1
)

// pieces returns the number of pieces of a stage.
func (r *exchangeRun) pieces(stage int) int {
	if stage < len(r.exchange.StagePieces) {
		return r.exchange.StagePieces[stage]
	}
	return 0
}

// executeStages has all stages made and sets the inputs of the endpoint.
func (r *exchangeRun) executeStages(ctx context.Context) error {
	if len(r.route.Stages) == 0 {
		return nil
	}
	began := r.cfg.Clock.Now()
	defer func() { r.record.stagesTime += r.cfg.Clock.Now().Sub(began) }()
	plan := &stagework.Plan{Request: r.exchange.ID, Key: r.exchange.PieceKey, Priority: r.priority, Zone: r.preferredZone(), WaitForZone: r.sharedPromptTokens() >= waitForZoneTokens, PreviouslyRefused: r.previouslyRefused(),
		SoftDeadline: r.exchange.ReceivedAt.Add(r.route.TargetLatency - r.timeToFirstEvent()), HardDeadline: r.deadline.Add(-r.timeToFirstEvent())}
	wanted := 0
	for i, s := range r.route.Stages {
		plan.Stages = append(plan.Stages, stagework.Stage{Service: s.Service, DependsOn: s.DependsOn, Pieces: r.pieces(i), ResultBytes: s.ResultBytes})
		wanted += r.pieces(i)
	}
	r.inputHandles, r.resultsZone = []string{}, ""
	if wanted == 0 {
		return nil
	}
	results, err := r.cfg.Stages.Execute(ctx, plan)
	if err != nil {
		return err
	}
	r.results, r.inputHandles, r.resultsZone = results, results.Handles, results.Zone
	r.record.stageQueueWait += results.QueueWait
	r.record.coordinator = results.Coordinator
	return nil
}

// preferredZone is the zone of the endpoint that should run the request.
func (r *exchangeRun) preferredZone() string {
	e := r.cfg.Balancer.Peek(r.eligibleEndpoints(), r.criteria(""))
	if e == nil {
		return ""
	}
	return e.Zone
}

// freeResults gives up the results that the endpoint has taken, or that
// nobody will take.
func (r *exchangeRun) freeResults() {
	r.cfg.Stages.Free(r.results)
	r.results, r.inputHandles = stagework.Results{}, nil
}

// timeToFirstEvent returns the measured time to an endpoint's first event.
func (r *exchangeRun) timeToFirstEvent() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if d, ok := r.firstEventTimes[r.route.Name]; ok {
		return d
	}
	return defaultTimeToFirstEvent
}

func (r *exchangeRun) recordTimeToFirstEvent(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	old, ok := r.firstEventTimes[r.route.Name]
	if !ok {
		old = d
	}
	r.firstEventTimes[r.route.Name] = old + time.Duration(firstEventSmoothing*float64(d-old))
}

// fetchedResultBytes returns the size of the results that the endpoint fetches.
func (r *exchangeRun) fetchedResultBytes() int64 {
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
func (r *exchangeRun) criteria(zone string) balance.Criteria {
	if r.route.PromptCache && int64(r.sharedPromptTokens())*transferBytesPerToken > r.fetchedResultBytes() {
		zone = ""
	}
	w := balance.Criteria{Service: r.service, Zone: zone, Avoid: r.attempted}
	if parts := r.exchange.Prompt; r.route.PromptCache && len(parts) > 0 {
		// The last part is the request's own; the one before it is its subject's.
		w.CacheKey = parts[max(0, len(parts)-2)].ID
	}
	return w
}

// returned reports whether the caller has tried before: it has less time than
// the route gives.
func (r *exchangeRun) previouslyRefused() bool {
	return r.exchange.CallerTimeout > 0 && float64(r.exchange.CallerTimeout) < previouslyRefusedRatio*float64(r.route.Timeout)
}

// sharedPromptTokens returns the tokens of the prompt that other requests share.
func (r *exchangeRun) sharedPromptTokens() int {
	sum := 0
	for i, p := range r.exchange.Prompt {
		if i+1 < len(r.exchange.Prompt) {
			sum += p.Tokens
		}
	}
	return sum
}
