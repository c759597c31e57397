package stagework

import (
	"log/slog"
	"strconv"
	"time"

	"github.com/pimentorill/pimentorill/internal/core/calibration"
	"github.com/pimentorill/pimentorill/internal/core/gather"
	"github.com/pimentorill/pimentorill/internal/core/verdict"
)

const (
	// minRetryAfter is the shortest delay after which a refused caller is told to
	// retry, and the delay if a stage has no usable endpoint. maxRetryAfter is the
	// longest delay of a refusal without a promise.
	minRetryAfter = 1200 * time.Millisecond
	maxRetryAfter = 2 * time.Second
	// firstAttemptShare limits a late plan on the caller's first attempt: it is
	// admitted only if its expected duration is at most this fraction of the time
	// until its hard deadline. The rest is reserved for callers that retry: to refuse
	// them a second time is the most costly outcome.
	firstAttemptShare = 0.6
	// overShareRoom is the fraction of the time that plans may wait which is open to
	// customers that exceed their share. The rest is kept for the others.
	overShareRoom = 0.5
)

// errReachesNoEndpoint is the refusal of a plan by a coordinator that reaches none of the
// registered endpoints of a stage. Another host may.
var errReachesNoEndpoint = verdict.New(verdict.CodeNotReady, verdict.NotRun, "no endpoint for the stage can be reached").WithRetryAfter(minRetryAfter)

// errResultsTooLarge is the refusal of a plan by a coordinator whose endpoints of a stage can't hold
// all of its results at the same time. Those of another group may.
var errResultsTooLarge = verdict.New(verdict.CodeNoCapacity, verdict.NotRun, "results of the stage don't fit into the storage of its endpoints").WithRetryAfter(minRetryAfter)

// admit commits endpoint capacity to a plan, sets its Zone and returns the
// forecast of its duration, not corrected by the forecast ratio. It refuses a plan
// that can't be done in time, with the delay after which its stages should have
// capacity again, and one with a stage that has no usable endpoint, with
// minRetryAfter. The error is a *verdict.Error.
func (sc *Scheduler) admit(p *Plan) (time.Duration, error) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	now := sc.cfg.Clock.Now()
	p.admittedLate = false
	p.overShare, p.contested = sc.exceedsShare(p, now)
	if p.PreviouslyRefused && sc.returns[priorityLevel(p.Priority)].Claim(now, p.caller()) {
		p.overShare = false // what is promised is within the share
	}
	forecast, expected, err := sc.expect(p, sc.inTimeQueue, sc.inTimeRatios)
	if err == nil && expected > p.SoftDeadline.Sub(now) {
		forecast, err = sc.admitLate(p, now)
	}
	sc.countPlan(p, err)
	if err != nil {
		if !p.overShare {
			sc.countLack(p, now)
		}
		return 0, err
	}
	p.Zone = sc.chooseZone(p)
	sc.commit(p)
	return forecast, nil
}

// countPlan counts a plan by the outcome of its admission.
func (sc *Scheduler) countPlan(p *Plan, err error) {
	outcome := "in_time"
	switch {
	case err != nil && p.overShare:
		outcome = "refused_over_share"
	case err != nil:
		outcome = "refused"
	case p.admittedLate:
		outcome = "late"
	}
	sc.cfg.Metrics.Tagged(map[string]string{"outcome": outcome}).Counter("stage_plans_total").Inc(1)
}

// queueTimer returns how long pieces wait in a queue before those of a plan of the given
// priority.
type queueTimer func(q *queue, service string, priority int) time.Duration

// expect returns the forecast of a plan's duration, and the duration to expect, which is
// the forecast as corrected by ratios. A plan that exceeds its customer's share has to
// leave room for others: the time that it waits counts divided by overShareRoom. The error is a *verdict.Error. The caller holds sc.mu.
func (sc *Scheduler) expect(p *Plan, queueTime queueTimer, ratios *calibration.Ratios) (forecast, expected time.Duration, err error) {
	if !p.PreviouslyRefused {
		queueTime = sc.behindReturns(p, queueTime)
	}
	if forecast, err = sc.forecast(p, queueTime); err != nil {
		return 0, 0, err
	}
	ratio := ratios.At(sc.cfg.Clock.Now(), p.level())
	if !p.overShare {
		return forecast, scaled(forecast, ratio), nil
	}
	longer, err := sc.forecast(p, func(q *queue, service string, priority int) time.Duration {
		return scaled(queueTime(q, service, priority), 1/overShareRoom)
	})
	return forecast, scaled(longer, ratio), err
}

// scaled returns a duration multiplied by a factor.
func scaled(d time.Duration, factor float64) time.Duration {
	return time.Duration(factor * float64(d))
}

// admitLate admits a plan that will miss its soft deadline if it can be done in the
// share of the endpoints' capacity that late plans may take, and refuses it otherwise.
// It returns the forecast of its duration. In the log message, left_ms is only the
// fraction firstAttemptShare of the time left if the plan was not refused before. The
// error is a *verdict.Error. The caller holds sc.mu.
func (sc *Scheduler) admitLate(p *Plan, now time.Time) (time.Duration, error) {
	forecast, expected, err := sc.expect(p, sc.lateQueue, sc.lateRatios)
	if err != nil {
		return 0, err
	}
	available := p.HardDeadline.Sub(now)
	if !p.PreviouslyRefused {
		available = scaled(available, firstAttemptShare)
	}
	if level := p.level(); expected > available {
		after, promised := sc.timeToReturn(p, now, expected-available)
		if promised {
			sc.cfg.Metrics.Counter("stage_returns_promised_total").Inc(1)
		}
		sc.cfg.Log.Info("stages refused", slog.String("request", p.Request), slog.Int64("expected_ms", expected.Milliseconds()),
			slog.Int64("left_ms", available.Milliseconds()), slog.Float64("slowness", sc.inTimeRatios.At(now, level)), slog.Float64("late_slowness", sc.lateRatios.At(now, level)),
			slog.Bool("returned", p.PreviouslyRefused), slog.Int64("retry_after_ms", after.Milliseconds()), slog.Bool("promised", promised),
			slog.String("customer", p.Customer), slog.Bool("over_share", p.overShare), slog.Any("waiting", sc.waitingPieces(p)))
		return 0, verdict.New(verdict.CodeNoCapacity, verdict.NotRun, "stages can't be done in time").WithRetryAfter(after)
	}
	p.admittedLate = true
	return forecast, nil
}

// waitingPieces returns for each of a plan's stages the number of pieces that wait
// in the queue of its service. The caller holds sc.mu.
func (sc *Scheduler) waitingPieces(p *Plan) []int {
	out := make([]int, len(p.Stages))
	for i, s := range p.Stages {
		if q := sc.queues[s.Service]; q != nil {
			out[i] = q.WaitingPieces()
		}
	}
	return out
}

// forecast returns the duration of a plan of which each stage waits for the given
// queue of its service and then runs in one call. The caller holds sc.mu. The error is a
// *verdict.Error.
func (sc *Scheduler) forecast(p *Plan, queueTime queueTimer) (time.Duration, error) {
	ends := make([]time.Duration, len(p.Stages)) // when each stage ends, from now
	total := time.Duration(0)
	for i, s := range p.Stages {
		if s.Pieces == 0 {
			continue
		}
		q, err := sc.refreshQueue(s.Service)
		if err != nil {
			return 0, err
		}
		if q.UsableEndpointCount() == 0 {
			if _, registered := sc.cfg.LookupService(s.Service); len(registered) > 0 {
				return 0, errReachesNoEndpoint
			}
			return 0, verdict.New(verdict.CodeNoCapacity, verdict.NotRun, "no endpoint for the stage").WithRetryAfter(minRetryAfter)
		}
		if room := int64(q.UsableEndpointCount()) * q.Limits().ResultCapacityBytes; int64(s.Pieces)*s.ResultBytes > room {
			return 0, errResultsTooLarge
		}
		if rest := sc.restOf(q); rest > 0 {
			return 0, verdict.New(verdict.CodeNoCapacity, verdict.NotRun, "all endpoints of the stage rest").WithRetryAfter(max(rest, minRetryAfter))
		}
		for _, dependency := range s.DependsOn {
			ends[i] = max(ends[i], ends[dependency])
		}
		ends[i] = max(ends[i], queueTime(q, s.Service, p.level())) + stageOverhead + gather.ExpectedCallTime(q.Limits(), s.Pieces)
		total = max(total, ends[i])
	}
	return total, nil
}

// restOf returns the time until one of the usable endpoints of a queue takes calls again; 0
// if one does not rest. The caller holds sc.mu.
func (sc *Scheduler) restOf(q *queue) time.Duration {
	shortest := unboundedWait
	for _, e := range q.UsableEndpoints() {
		shortest = min(shortest, sc.cfg.Advisories.Rest(e))
	}
	return shortest
}

// backlog returns how long the pieces committed before those of a plan of the same
// kind take, at the stage where that is longest.
func (sc *Scheduler) backlog(p *Plan) time.Duration {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	longest := time.Duration(0)
	for _, s := range p.Stages {
		if q := sc.queues[s.Service]; q != nil && s.Pieces > 0 {
			longest = max(longest, sc.inTimeQueue(q, s.Service, p.Priority))
		}
	}
	return longest
}

// observeForecast corrects later forecasts by a plan's actual duration. Late plans have
// corrections of their own, because they run after plans in time.
func (sc *Scheduler) observeForecast(p *Plan, forecast, took time.Duration) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	ratios := sc.inTimeRatios
	if p.admittedLate {
		ratios = sc.lateRatios
	}
	now := sc.cfg.Clock.Now()
	ratios.Observe(now, p.level(), forecast, took)
	if !p.admittedLate {
		sc.cfg.Metrics.Tagged(map[string]string{"priority": strconv.Itoa(p.level())}).Gauge("stage_forecast_ratio").Update(ratios.At(now, p.level()))
	}
}
