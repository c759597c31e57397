package exchange

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/pimentorill/pimentorill/internal/core/balance"
	"github.com/pimentorill/pimentorill/internal/core/catalog"
	"github.com/pimentorill/pimentorill/internal/core/verdict"
	"github.com/pimentorill/pimentorill/internal/stagework"
)

const (
	// defaultTimeToFirstEvent is the assumed time from the start of an attempt to
	// its first event until one was measured on the route.
	defaultTimeToFirstEvent = 200 * time.Millisecond
	// waitForZoneTokens is the size of the shared prompt, in tokens, from which a
	// plan has WaitForZone: its stages without inputs whose results are at least
	// largeResultBytes (stagework) wait for capacity in the zone of the endpoint that
	// the balancer would pick when the plan is made. Reprocessing such a prompt takes
	// about 50 ms, so that the endpoint is picked wherever the results are, if the
	// route has CacheAffinity, the results are smaller than transferBytesPerToken for
	// each token of the shared prompt and the endpoint is not overloaded.
	waitForZoneTokens = 2000
	// transferBytesPerToken is the size of results whose transfer between zones
	// costs as much as reprocessing one prompt token, at the users' prices of 0.26
	// per 1,000 tokens and about 95 per GB in the same currency unit.
	transferBytesPerToken = 2700
	// previouslyRefusedRatio is the fraction of the route's timeout below which a
	// caller's timeout is taken as the time left after an earlier refusal. It is no
	// proof: a caller may choose a shorter timeout.
	previouslyRefusedRatio = 0.97
	// firstEventSmoothing is the weight of the newest measurement in the moving
	// average of the time to first event.
	firstEventSmoothing = 0.1
	// slowDeviations is the number of mean deviations from the mean that few measurements
	// exceed.
	slowDeviations = 3
)

// pieces returns the number of pieces of a stage, given by its index in the
// route; 0 if the caller gave none.
func (r *exchangeRun) pieces(stage int) int {
	if stage < len(r.exchange.PieceCounts) {
		return r.exchange.PieceCounts[stage]
	}
	return 0
}

// stageResults are the results of an exchange's stages.
type stageResults struct {
	// held are the results that have not been freed.
	held stagework.Results
	// handles are those of held; nil before the stages have run and once the results
	// are freed.
	handles []string
	// zone is the zone that stores most of the results; empty if there are none.
	zone string
}

func (r *exchangeRun) currentResults() stageResults {
	r.attemptMu.Lock()
	defer r.attemptMu.Unlock()
	return r.results
}

func (r *exchangeRun) setResults(s stageResults) {
	r.attemptMu.Lock()
	defer r.attemptMu.Unlock()
	r.results = s
}

// resultsAvailable reports whether an endpoint can fetch the results of the stages, or
// there are no stages.
func (r *exchangeRun) resultsAvailable() bool {
	return len(r.route.Stages) == 0 || r.currentResults().handles != nil
}

// executeStages executes all stages of the route and sets the results. For a route
// without stages it does nothing. After an error, a *verdict.Error, the results are as
// before.
func (r *exchangeRun) executeStages(ctx context.Context) error {
	if len(r.route.Stages) == 0 {
		return nil
	}
	startedAt := r.cfg.Clock.Now()
	defer func() { r.record.stagesTime += r.cfg.Clock.Now().Sub(startedAt) }()
	plan := &stagework.Plan{Request: r.exchange.ID, Key: r.exchange.PieceKey, Priority: r.priority, Zone: r.preferredZone(), WaitForZone: r.sharedPromptTokens() >= waitForZoneTokens, PreviouslyRefused: r.previouslyRefused(), Trait: r.request.Traits()[0], Customer: r.customer,
		SoftDeadline: r.exchange.ReceivedAt.Add(r.route.TargetLatency - r.timeToFirstEvent())}
	plan.HardDeadline = r.stagesDeadline(plan.SoftDeadline)
	totalPieces := 0
	for i, s := range r.route.Stages {
		plan.Stages = append(plan.Stages, stagework.Stage{Service: s.Service, DependsOn: s.DependsOn, Pieces: r.pieces(i), ResultBytes: s.ResultBytes})
		totalPieces += r.pieces(i)
	}
	if totalPieces == 0 {
		r.setResults(stageResults{handles: []string{}})
		return nil
	}
	stagesCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(r.ending, cancel)()
	results, err := r.cfg.Stages.Execute(stagesCtx, plan)
	if err != nil {
		if r.ending.Err() != nil && ctx.Err() == nil {
			return errHostLeaving
		}
		if e := verdict.From(err); e.Verdict == verdict.NotRun && e.RetryAfter == 0 {
			return e.WithRetryAfter(busyRetry)
		}
		return err
	}
	r.setResults(stageResults{results, append([]string{}, results.Handles...), results.Zone})
	r.record.stageQueueWait += results.QueueWait
	r.record.coordinator = results.Coordinator
	return nil
}

// preferredZone returns the zone of the endpoint that the balancer would pick
// now, empty if there is none.
func (r *exchangeRun) preferredZone() string {
	e := r.cfg.Balancer.Peek(r.eligibleEndpoints(), r.criteria(""))
	if e == nil {
		return ""
	}
	return e.Zone
}

// freeResults frees the stage results at once. Call it once the endpoint has fetched
// them or no endpoint will. Without results it does nothing.
func (r *exchangeRun) freeResults() {
	freed := r.currentResults()
	r.setResults(stageResults{zone: freed.zone})
	if n := len(freed.held.Handles); n > 0 && r.record.timeToFirstEvent == 0 && r.record.status == 0 && r.cfg.Metrics != nil {
		r.cfg.Metrics.Tagged(map[string]string{"cause": "unanswered"}).Counter("stage_results_unused_total").Inc(int64(n))
	}
	r.cfg.Stages.Free(freed.held)
}

// eventTime is the moving average of the time from the start of an attempt to its first
// event, and of how far the measurements are from it.
type eventTime struct{ mean, deviation time.Duration }

// timeToFirstEvent returns the moving average of the time from the start of an
// attempt to its first event on the route, defaultTimeToFirstEvent if none was
// measured.
func (r *exchangeRun) timeToFirstEvent() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t, ok := r.firstEventTimes[r.route.Name]; ok {
		return t.mean
	}
	return defaultTimeToFirstEvent
}

// slowTimeToFirstEvent returns the time from the start of an attempt to its first event
// that few attempts on the route exceed. Results of stages that are ready later than that
// before the deadline are mostly made for nobody.
func (r *exchangeRun) slowTimeToFirstEvent() time.Duration {
	mean := r.timeToFirstEvent()
	r.mu.Lock()
	defer r.mu.Unlock()
	return mean + slowDeviations*r.firstEventTimes[r.route.Name].deviation
}

// stagesDeadline returns when the stages must be done: early enough for a slow first event, but
// no earlier than soft if the mean time to the first event is left then.
func (r *exchangeRun) stagesDeadline(soft time.Time) time.Time {
	latest, early := r.deadline.Add(-r.timeToFirstEvent()), r.deadline.Add(-r.slowTimeToFirstEvent())
	if early.Before(soft) {
		early = soft
	}
	if early.After(latest) {
		return latest
	}
	return early
}

func (r *exchangeRun) recordTimeToFirstEvent(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t, ok := r.firstEventTimes[r.route.Name]
	if !ok {
		t.mean = d
	}
	t.deviation += time.Duration(firstEventSmoothing * float64((d-t.mean).Abs()-t.deviation))
	t.mean += time.Duration(firstEventSmoothing * float64(d-t.mean))
	r.firstEventTimes[r.route.Name] = t
}

// fetchedResultBytes returns the size of the results that the endpoint fetches:
// those of stages that no other stage depends on.
func (r *exchangeRun) fetchedResultBytes() int64 {
	sum := int64(0)
	for i, s := range r.route.Stages {
		hasDependents := slices.ContainsFunc(r.route.Stages, func(o catalog.Stage) bool { return slices.Contains(o.DependsOn, i) })
		if !hasDependents {
			sum += int64(r.pieces(i)) * s.ResultBytes
		}
	}
	return sum
}

// criteria returns the balancer's criteria for the exchange. resultsZone is the
// zone of the stage results, empty if there are none; it is preferred unless the
// route has CacheAffinity and reprocessing the shared prompt costs more than
// transferring the results.
func (r *exchangeRun) criteria(resultsZone string) balance.Criteria {
	if r.route.CacheAffinity && int64(r.sharedPromptTokens())*transferBytesPerToken > r.fetchedResultBytes() {
		resultsZone = ""
	}
	criteria := balance.Criteria{Service: r.service, Zone: resultsZone, Avoid: r.attempted}
	if e := r.hedging.sentTo(); e != nil && !r.attempted[e.ID] {
		criteria.Avoid = maps.Clone(r.attempted)
		criteria.Avoid[e.ID] = true
	}
	if parts := r.exchange.Prompt; r.route.CacheAffinity && len(parts) > 0 {
		// The last part is unique to the request, so the key is the part before it,
		// or the only part.
		criteria.CacheKey = parts[max(0, len(parts)-2)].ID
	}
	return criteria
}

// previouslyRefused reports whether the caller's timeout is so short that it is taken
// as the time left after an earlier refusal of the request.
func (r *exchangeRun) previouslyRefused() bool {
	return r.exchange.CallerTimeout > 0 && float64(r.exchange.CallerTimeout) < previouslyRefusedRatio*float64(r.route.Timeout)
}

// sharedPromptTokens returns the number of prompt tokens that other requests may
// share: those of all parts but the last.
func (r *exchangeRun) sharedPromptTokens() int {
	sum := 0
	for i, p := range r.exchange.Prompt {
		if i+1 < len(r.exchange.Prompt) {
			sum += p.Tokens
		}
	}
	return sum
}
