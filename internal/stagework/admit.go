package stagework

import (
	"log/slog"
	"time"

	"github.com/pimentorill/pimentorill/internal/core/gather"
	"github.com/pimentorill/pimentorill/internal/core/verdict"
)

const (
	// minRetryAfter and maxRetryAfter bound the time after which a caller that was
	// refused is asked to come back.
	minRetryAfter = 1200 * time.Millisecond
	maxRetryAfter = 2 * time.Second
	// firstAttemptShare is the part of its time that a request may need to be taken when
	// it comes first. What is left lets those that come back find room: to
	// refuse them twice is the dearest end.
	firstAttemptShare = 0.6
	// forecastRatioWeight is the weight of the newest plan in the desk's slowness,
	// minForecastRatio and maxForecastRatio bound it.
	forecastRatioWeight = 0.05
	minForecastRatio    = 0.8
	maxForecastRatio    = 3.0
)

// admit commits the endpoints to a plan and returns how long it should take. It
// refuses one that can't be done, with the time after which its stages should
// have room again. The error is a *verdict.Error.
func (d *Scheduler) admit(p *Plan) (time.Duration, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	forecast, err := d.forecast(p, d.committed, 1)
	if err != nil {
		return 0, err
	}
	if expected := time.Duration(d.forecastRatio[priorityLevel(p.Priority)] * float64(forecast)); now.Add(expected).After(p.SoftDeadline) {
		if err := d.admitLate(p, now); err != nil {
			return 0, err
		}
	}
	p.Zone = d.chooseZone(p)
	d.commit(p)
	return forecast, nil
}

// admitLate refuses a plan that will be late, if the share of the endpoints'
// time that late ones have is taken. d.mu is held.
func (d *Scheduler) admitLate(p *Plan, now time.Time) error {
	forecast, err := d.forecast(p, d.committedLate, 1/gather.MaxLateShare)
	if err != nil {
		return err
	}
	left := p.HardDeadline.Sub(now)
	if !p.PreviouslyRefused {
		left = time.Duration(firstAttemptShare * float64(left))
	}
	if expected := time.Duration(d.forecastRatio[priorityLevel(p.Priority)] * float64(forecast)); expected > left {
		d.log.Info("stages refused", slog.String("request", p.Request), slog.Int64("expected_ms", expected.Milliseconds()),
			slog.Int64("left_ms", left.Milliseconds()), slog.Float64("slowness", d.forecastRatio[priorityLevel(p.Priority)]), slog.Bool("returned", p.PreviouslyRefused),
			slog.Any("waiting", d.waitingPieces(p)))
		return verdict.New(verdict.CodeNoCapacity, verdict.NotRun, "stages can't be done in time").
			WithRetryAfter(min(maxRetryAfter, max(minRetryAfter, expected-left)))
	}
	p.admittedLate = true
	return nil
}

// waiting returns the pieces that wait at each of a plan's stages.
func (d *Scheduler) waitingPieces(p *Plan) []int {
	out := make([]int, len(p.Stages))
	for i, s := range p.Stages {
		if q := d.queues[s.Service]; q != nil {
			out[i] = q.WaitingPieces()
		}
	}
	return out
}

// forecast returns how long a plan takes behind some commitments, if calls are
// full. weight multiplies them. d.mu is held.
func (d *Scheduler) forecast(p *Plan, c commitments, weight float64) (time.Duration, error) {
	ends := make([]time.Duration, len(p.Stages))
	total := time.Duration(0)
	for i, s := range p.Stages {
		if s.Pieces == 0 {
			continue
		}
		q, err := d.queueFor(s.Service)
		if err != nil {
			return 0, err
		}
		if q.UsableEndpoints() == 0 {
			return 0, verdict.New(verdict.CodeNoCapacity, verdict.NotRun, "no endpoint for the stage").WithRetryAfter(minRetryAfter)
		}
		for _, a := range s.DependsOn {
			ends[i] = max(ends[i], ends[a])
		}
		behind := drainTime(q.Limits(), int(weight*float64(c.pieces(s.Service, p.Priority))), q.EffectiveEndpoints(d.clock.Now(), ""))
		ends[i] = max(ends[i], behind) + stageOverhead + gather.ExpectedCallTime(q.Limits(), s.Pieces)
		total = max(total, ends[i])
	}
	return total, nil
}

// observe compares a plan's time with its forecast.
func (d *Scheduler) observeForecast(p *Plan, forecast, took time.Duration) {
	if forecast <= 0 || p.admittedLate {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	ratio := min(maxForecastRatio, max(minForecastRatio, float64(took)/float64(forecast)))
	s := &d.forecastRatio[priorityLevel(p.Priority)]
	*s += forecastRatioWeight * (ratio - *s)
}
