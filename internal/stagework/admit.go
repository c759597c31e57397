package stagework

import (
	"log/slog"
	"time"

	"github.com/pimentorill/pimentorill/internal/core/gather"
	"github.com/pimentorill/pimentorill/internal/core/verdict"
)

const (
	// shortRetry and longRetry bound the time after which a caller that was
	// refused is asked to come back.
	shortRetry = 1200 * time.Millisecond
	longRetry  = 2 * time.Second
	// firstPart is the part of its time that a request may need to be taken when
	// it comes first. What is left lets those that come back find room: to
	// refuse them twice is the dearest end.
	firstPart = 0.6
	// slownessWeight is the weight of the newest plan in the desk's slowness,
	// minSlowness and maxSlowness bound it.
	slownessWeight = 0.05
	minSlowness    = 0.8
	maxSlowness    = 3.0
)

// admit commits the endpoints to a plan and returns how long it should take. It
// refuses one that can't be done, with the time after which its stages should
// have room again. The error is a *verdict.Error.
func (d *Desk) admit(p *Plan) (time.Duration, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	forecast, err := d.forecast(p, d.committed, 1)
	if err != nil {
		return 0, err
	}
	if expected := time.Duration(d.slowness[level(p.Priority)] * float64(forecast)); now.Add(expected).After(p.Due) {
		if err := d.admitLate(p, now); err != nil {
			return 0, err
		}
	}
	p.Zone = d.zoneFor(p)
	d.commit(p)
	return forecast, nil
}

// admitLate refuses a plan that will be late, if the share of the endpoints'
// time that late ones have is taken. d.mu is held.
func (d *Desk) admitLate(p *Plan, now time.Time) error {
	forecast, err := d.forecast(p, d.committedLate, 1/gather.MaxLateShare)
	if err != nil {
		return err
	}
	left := p.Last.Sub(now)
	if !p.Returned {
		left = time.Duration(firstPart * float64(left))
	}
	if expected := time.Duration(d.slowness[level(p.Priority)] * float64(forecast)); expected > left {
		d.log.Info("stages refused", slog.String("request", p.Request), slog.Int64("expected_ms", expected.Milliseconds()),
			slog.Int64("left_ms", left.Milliseconds()), slog.Float64("slowness", d.slowness[level(p.Priority)]), slog.Bool("returned", p.Returned),
			slog.Any("waiting", d.waiting(p)))
		return verdict.New(verdict.CodeNoCapacity, verdict.NotRun, "stages can't be done in time").
			WithRetryAfter(min(longRetry, max(shortRetry, expected-left)))
	}
	p.late = true
	return nil
}

// waiting returns the pieces that wait at each of a plan's stages.
func (d *Desk) waiting(p *Plan) []int {
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
func (d *Desk) forecast(p *Plan, c commitments, weight float64) (time.Duration, error) {
	ends := make([]time.Duration, len(p.Stages))
	total := time.Duration(0)
	for i, s := range p.Stages {
		if s.Pieces == 0 {
			continue
		}
		q, err := d.queue(s.Service)
		if err != nil {
			return 0, err
		}
		if q.UsableEndpoints() == 0 {
			return 0, verdict.New(verdict.CodeNoCapacity, verdict.NotRun, "no endpoint for the stage").WithRetryAfter(shortRetry)
		}
		for _, a := range s.After {
			ends[i] = max(ends[i], ends[a])
		}
		behind := drainTime(q.Limits(), int(weight*float64(c.sum(s.Service, p.Priority))), q.EffectiveEndpoints(d.clock.Now(), ""))
		ends[i] = max(ends[i], behind) + hopTime + gather.ExpectedCallTime(q.Limits(), s.Pieces)
		total = max(total, ends[i])
	}
	return total, nil
}

// observe compares a plan's time with its forecast.
func (d *Desk) observe(p *Plan, forecast, took time.Duration) {
	if forecast <= 0 || p.late {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	ratio := min(maxSlowness, max(minSlowness, float64(took)/float64(forecast)))
	s := &d.slowness[level(p.Priority)]
	*s += slownessWeight * (ratio - *s)
}
