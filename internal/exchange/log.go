package exchange

import (
	"context"
	"log/slog"
	"strconv"
	"time"

	"github.com/pimentorill/pimentorill/internal/core/catalog"
	"github.com/pimentorill/pimentorill/internal/core/verdict"
	"github.com/pimentorill/pimentorill/internal/port"
)

// slowedThreshold is the reported slowdown from which an endpoint counts as slowed.
const slowedThreshold = 1.5

// logRecord holds values for the log line and the metrics of an exchange.
type logRecord struct {
	// endpoint and zone are those of the last attempt.
	endpoint string
	zone     string
	// softwareVersion is that of the endpoint's entry when the attempt started.
	softwareVersion string
	// rateLimit is the limit that this endpoint had named, in requests a second, when
	// the attempt started; rateLimited is false if it had named none.
	rateLimit   float64
	rateLimited bool
	// status is the HTTP status of the endpoint's response that is forwarded; 0 if
	// none is.
	status int
	// answer describes the last attempt's response; nil if there was none.
	answer []slog.Attr
	// gaveUp is why this host gave up the last attempt; nil if it did not.
	gaveUp error
	// hedged says that a hedge was sent, hedgeWon that its response is forwarded.
	hedged, hedgeWon bool
	// takenForCrash says that the failure of the last attempt was taken for a crash.
	takenForCrash bool
	// stagesTime is the time spent on executing stages, including reruns, and
	// stageQueueWait the sum of the queue waits in it.
	stagesTime     time.Duration
	stageQueueWait time.Duration
	// coordinator is the host that accounts for the stages' results.
	coordinator string
	// timeToFirstEvent is counted from the receipt of the exchange; 0 if no event
	// has arrived.
	timeToFirstEvent time.Duration
	// resumes is the number of attempts before the one that forwarded the newest
	// events, including those that ended before the first event. The first events of
	// the exchange do not update it.
	resumes int
}

// logFailedAttempt logs a failed attempt and counts it in the metrics.
func (r *exchangeRun) logFailedAttempt(e *catalog.Endpoint, err error, willRetry bool) {
	attrs := []slog.Attr{slog.String("request", r.exchange.ID), slog.String("endpoint", e.ID),
		slog.String("service", e.Service), slog.String("zone", e.Zone), slog.String("software_version", e.SoftwareVersion), slog.Int64("endpoint_revision", e.Revision), slog.Int("sends", r.attempts), slog.Int("ran", r.executedAttempts),
		slog.String("resume_from", r.stream.resumeFrom(r.exchange)), slog.String("verdict", verdict.Of(err).String()), slog.Any("error", err),
		slog.Bool("left_alone", r.cfg.Balancer.Unavailable(e)), slog.Bool("repeats", willRetry)}
	if r.record.gaveUp != nil {
		attrs = append(attrs, slog.Any("given_up_because", r.record.gaveUp))
	}
	attrs = append(attrs, r.record.answer...)
	if verdict.Of(err) != verdict.NotRun {
		attrs = append(attrs, slog.Any("traits", r.request.Traits()), slog.Bool("taken_for_crash", r.record.takenForCrash))
	}
	r.cfg.Log.LogAttrs(context.Background(), slog.LevelInfo, "attempt failed", attrs...)
	if r.cfg.Metrics != nil {
		r.cfg.Metrics.Tagged(map[string]string{"repeats": strconv.FormatBool(willRetry)}).Counter("attempts_failed_total").Inc(1)
	}
}

// answerAttrs describes a response and how it reached the platform.
func answerAttrs(answer *port.EndpointResponse) []slog.Attr {
	attrs := []slog.Attr{slog.Int("answer_status", answer.Status), slog.Bool("answer_named", answer.HasAttemptID)}
	if a := answer.Arrival; a != nil {
		attrs = append(attrs, slog.Int("connection_answers", a.Before), slog.Int("answers_discarded", a.Discarded), slog.Int64("connection_ms", a.ConnectionAge.Milliseconds()), slog.Int64("answer_us", a.SinceSent.Microseconds()))
	}
	if answer.Carrier != "" {
		attrs = append(attrs, slog.String("over_host", answer.Carrier))
	}
	if l := answer.Load; l != nil {
		attrs = append(attrs, slog.Int("endpoint_running", l.Running), slog.Int("endpoint_waiting", l.Waiting), slog.Int("endpoint_slots", l.Slots))
		if l.Slowdown > 0 {
			attrs = append(attrs, slog.Float64("endpoint_slowdown", l.Slowdown))
		}
	}
	return attrs
}

// observeLoad passes on the load that an endpoint reported, nil if none.
func (r *exchangeRun) observeLoad(e *catalog.Endpoint, load *port.EndpointLoad) {
	r.cfg.Balancer.ObserveLoad(e, load)
	if load == nil || r.cfg.Metrics == nil {
		return
	}
	if load.Slowdown >= slowedThreshold {
		r.cfg.Metrics.Counter("responses_of_slowed_endpoints_total").Inc(1)
	}
	if load.Waiting > 0 {
		r.cfg.Metrics.Counter("responses_of_full_endpoints_total").Inc(1)
	}
}

// logExchange logs the outcome of the exchange and records its metrics.
func (r *exchangeRun) logExchange(err error) {
	duration := r.cfg.Clock.Now().Sub(r.exchange.ReceivedAt)
	route, service := "", ""
	if r.route != nil {
		route = r.route.Name
	}
	if r.service != nil {
		service = r.service.Name
	}
	outcome := "answered"
	level := slog.LevelInfo
	attrs := []slog.Attr{
		slog.String("request", r.exchange.ID), slog.String("route", route), slog.String("service", service),
		slog.String("customer", r.customer), slog.String("endpoint", r.record.endpoint), slog.String("zone", r.record.zone),
		slog.Int("urgency", r.priority), slog.Int("sends", r.attempts), slog.Int64("took_ms", duration.Milliseconds()),
		slog.Int64("facts_revision", r.snapshot.Position.Revision),
		slog.Int64("facts_age_ms", r.cfg.Clock.Now().Sub(r.snapshot.ConfirmedAt).Milliseconds()),
	}
	if r.record.status > 0 {
		attrs = append(attrs, slog.Int("status", r.record.status))
	}
	if r.record.softwareVersion != "" {
		attrs = append(attrs, slog.String("software_version", r.record.softwareVersion))
	}
	if r.record.hedged {
		attrs = append(attrs, slog.Bool("hedge_won", r.record.hedgeWon))
	}
	if r.exchange.ResumeFrom != "" {
		attrs = append(attrs, slog.String("caller_resumes_from", r.exchange.ResumeFrom), slog.String("first_attempt", r.exchange.FirstAttempt))
	}
	if r.record.rateLimited {
		attrs = append(attrs, slog.Float64("endpoint_rate_limit", r.record.rateLimit))
	}
	if len(r.exchange.PieceCounts) > 0 {
		attrs = append(attrs, slog.Any("pieces", r.exchange.PieceCounts), slog.Int64("stages_ms", r.record.stagesTime.Milliseconds()),
			slog.Int64("stage_wait_ms", r.record.stageQueueWait.Milliseconds()), slog.String("keeper", r.record.coordinator))
	}
	if r.record.timeToFirstEvent > 0 {
		attrs = append(attrs, slog.Int64("first_event_ms", r.record.timeToFirstEvent.Milliseconds()), slog.Int("resumed", r.record.resumes))
	}
	attrs = append(attrs, r.record.answer...)
	if err != nil {
		e := verdict.From(err)
		outcome = string(e.Code)
		level = slog.LevelWarn
		attrs = append(attrs, slog.String("verdict", e.Verdict.String()), slog.String("error", e.Error()),
			slog.Int64("retry_after_ms", e.RetryAfter.Milliseconds()))
	}
	attrs = append(attrs, slog.String("outcome", outcome))
	r.cfg.Log.LogAttrs(context.Background(), level, "exchange", attrs...)
	r.recordMetrics(outcome, duration)
}

// recordMetrics records the exchange's metrics.
func (r *exchangeRun) recordMetrics(outcome string, duration time.Duration) {
	if r.cfg.Metrics == nil {
		return
	}
	scope := r.cfg.Metrics.Tagged(map[string]string{"outcome": outcome})
	scope.Counter("exchanges_total").Inc(1)
	scope.Histogram("exchange_seconds", latencyBuckets).RecordDuration(duration)
	if r.record.timeToFirstEvent > 0 {
		r.cfg.Metrics.Histogram("first_event_seconds", latencyBuckets).RecordDuration(r.record.timeToFirstEvent)
	}
	if r.record.stagesTime > 0 {
		r.cfg.Metrics.Histogram("stages_seconds", latencyBuckets).RecordDuration(r.record.stagesTime)
	}
}
