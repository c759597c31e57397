package app

import (
	"context"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/pimentorill/pimentorill/internal/core/verdict"
	"github.com/pimentorill/pimentorill/internal/port"
)

// durationBuckets holds the bucket bounds of the request duration histogram: 1 ms
// to 33 s, each twice the one before.
var durationBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 16)

// requestMetrics records the number, outcomes and durations of requests.
type requestMetrics struct {
	scope    tally.Scope
	duration tally.Histogram
	ok       tally.Counter
}

func newRequestMetrics(scope tally.Scope) requestMetrics {
	return requestMetrics{
		scope:    scope,
		duration: scope.Histogram("request_duration_seconds", durationBuckets),
		ok:       scope.Tagged(map[string]string{"code": "ok", "verdict": verdict.Ran.String()}).Counter("requests_total"),
	}
}

// record adds a finished request with its error, nil if it succeeded.
func (m requestMetrics) record(err error, duration time.Duration) {
	m.duration.RecordDuration(duration)
	if err == nil {
		m.ok.Inc(1)
		return
	}
	e := verdict.From(err)
	tags := map[string]string{"code": string(e.Code), "verdict": e.Verdict.String()}
	m.scope.Tagged(tags).Counter("requests_total").Inc(1)
}

// gaugeInterval is the pause between two updates of the gauges.
const gaugeInterval = time.Second

// reportGauges updates the gauges until ctx ends.
func (a *App) reportGauges(ctx context.Context) {
	scope := a.deps.Metrics
	inProgress := scope.Gauge("requests_under_way")
	version := scope.Gauge("release_version")
	storeSilence := scope.Gauge("store_silence_seconds")
	ready := scope.Gauge("ready")
	known := scope.Gauge("known_hosts")
	for ctx.Err() == nil {
		s := a.Snapshot()
		inProgress.Update(float64(a.activeRequests.inProgress()))
		known.Update(float64(len(a.hostVersions())))
		if s.Release != nil {
			version.Update(float64(s.Release.Version))
		}
		if !s.StoreRespondedAt.IsZero() {
			storeSilence.Update(a.deps.Clock.Now().Sub(s.StoreRespondedAt).Seconds())
		}
		ready.Update(0)
		if a.Ready() == nil {
			ready.Update(1)
		}
		a.reportQueueGauges(s)
		port.Sleep(ctx, gaugeInterval)
	}
}

// reportQueueGauges updates the admission gauges of each pipeline and the number of
// cold endpoints.
func (a *App) reportQueueGauges(s *Snapshot) {
	for _, p := range a.dataPlane.queue.Status() {
		scope := a.deps.Metrics.Tagged(map[string]string{"pipeline": p.Pipeline})
		scope.Gauge("admission_limit").Update(float64(p.Limit))
		scope.Gauge("admission_running").Update(float64(p.Running))
		scope.Gauge("admission_waiting").Update(float64(p.Waiting))
		scope.Gauge("admission_ahead_seconds").Update(float64(p.RunDurationMs) / 1000)
	}
	if s.Release != nil {
		a.deps.Metrics.Gauge("cold_endpoints").Update(float64(len(a.dataPlane.permits.coldEndpoints(s.Release))))
	}
}
