package app

import (
	"context"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/pimentorill/pimentorill/internal/core/verdict"
	"github.com/pimentorill/pimentorill/internal/port"
)

// durationBuckets are the bounds of the request duration histogram.
var durationBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 16)

// runMetrics counts requests.
type runMetrics struct {
	scope    tally.Scope
	duration tally.Histogram
	ok       tally.Counter
}

func newRunMetrics(scope tally.Scope) runMetrics {
	return runMetrics{
		scope:    scope,
		duration: scope.Histogram("request_duration_seconds", durationBuckets),
		ok:       scope.Tagged(map[string]string{"code": "ok", "verdict": verdict.Ran.String()}).Counter("requests_total"),
	}
}

func (m runMetrics) count(err error, took time.Duration) {
	m.duration.RecordDuration(took)
	if err == nil {
		m.ok.Inc(1)
		return
	}
	e := verdict.From(err)
	tags := map[string]string{"code": string(e.Code), "verdict": e.Verdict.String()}
	m.scope.Tagged(tags).Counter("requests_total").Inc(1)
}

// gaugeInterval is the time between two readings of the gauges.
const gaugeInterval = time.Second

// reportGauges sets the gauges until ctx ends.
func (a *App) reportGauges(ctx context.Context) {
	scope := a.deps.Metrics
	underWay := scope.Gauge("requests_under_way")
	version := scope.Gauge("release_version")
	silence := scope.Gauge("store_silence_seconds")
	ready := scope.Gauge("ready")
	known := scope.Gauge("known_hosts")
	for ctx.Err() == nil {
		s := a.Snapshot()
		underWay.Update(float64(a.active.current()))
		known.Update(float64(len(a.hostVersions())))
		if s.Release != nil {
			version.Update(float64(s.Release.Version))
		}
		if !s.StoreHeardAt.IsZero() {
			silence.Update(a.deps.Clock.Now().Sub(s.StoreHeardAt).Seconds())
		}
		ready.Update(0)
		if a.Ready() == nil {
			ready.Update(1)
		}
		a.reportTraffic(s)
		port.Sleep(ctx, gaugeInterval)
	}
}

// reportTraffic sets the gauges of the admission queues and the endpoints.
func (a *App) reportTraffic(s *Snapshot) {
	for _, l := range a.traffic.queue.Status() {
		scope := a.deps.Metrics.Tagged(map[string]string{"pipeline": l.Pipeline})
		scope.Gauge("admission_limit").Update(float64(l.Limit))
		scope.Gauge("admission_running").Update(float64(l.Running))
		scope.Gauge("admission_waiting").Update(float64(l.Waiting))
		scope.Gauge("admission_ahead_seconds").Update(float64(l.RemainingMs) / 1000)
	}
	if s.Release != nil {
		a.deps.Metrics.Gauge("cold_endpoints").Update(float64(len(a.traffic.permits.cold(s.Release))))
	}
}
