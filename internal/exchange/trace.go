package exchange

import (
	"context"
	"log/slog"
	"strconv"
	"time"

	"github.com/pimentorill/pimentorill/internal/core/catalog"
	"github.com/pimentorill/pimentorill/internal/core/verdict"
)

// trace is what a run's line in the log tells.
type trace struct {
	endpoint   string
	zone       string
	status     int
	stages     time.Duration
	stageWait  time.Duration
	keeper     string
	firstEvent time.Duration
	resumed    int
}

// noteAttempt writes a failed attempt's line.
func (r *run) noteAttempt(e *catalog.Endpoint, err error, repeats bool) {
	r.cfg.Log.LogAttrs(context.Background(), slog.LevelInfo, "attempt failed", slog.String("request", r.x.ID), slog.String("endpoint", e.ID),
		slog.String("service", e.Service), slog.String("zone", e.Zone), slog.Int64("endpoint_revision", e.Revision), slog.Int("sends", r.sends), slog.Int("ran", r.ran),
		slog.String("resume_from", r.stream.lastID), slog.String("verdict", verdict.Of(err).String()), slog.Any("error", err),
		slog.Bool("left_alone", r.cfg.Table.Unavailable(e)), slog.Bool("repeats", repeats))
	if r.cfg.Metrics != nil {
		r.cfg.Metrics.Tagged(map[string]string{"repeats": strconv.FormatBool(repeats)}).Counter("attempts_failed_total").Inc(1)
	}
}

// note writes the exchange's line and counts it.
func (r *run) note(err error) {
	took := r.cfg.Clock.Now().Sub(r.x.ReceivedAt)
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
		slog.String("request", r.x.ID), slog.String("route", route), slog.String("service", service),
		slog.String("customer", r.customer), slog.String("endpoint", r.trace.endpoint), slog.String("zone", r.trace.zone),
		slog.Int("urgency", r.urgency), slog.Int("sends", r.sends), slog.Int64("took_ms", took.Milliseconds()),
		slog.Int64("facts_revision", r.facts.Revision),
		slog.Int64("facts_age_ms", r.cfg.Clock.Now().Sub(r.facts.ConfirmedAt).Milliseconds()),
	}
	if r.trace.status > 0 {
		attrs = append(attrs, slog.Int("status", r.trace.status))
	}
	if len(r.x.StagePieces) > 0 {
		attrs = append(attrs, slog.Any("pieces", r.x.StagePieces), slog.Int64("stages_ms", r.trace.stages.Milliseconds()),
			slog.Int64("stage_wait_ms", r.trace.stageWait.Milliseconds()), slog.String("keeper", r.trace.keeper))
	}
	if r.trace.firstEvent > 0 {
		attrs = append(attrs, slog.Int64("first_event_ms", r.trace.firstEvent.Milliseconds()), slog.Int("resumed", r.trace.resumed))
	}
	if err != nil {
		e := verdict.From(err)
		outcome = string(e.Code)
		level = slog.LevelWarn
		attrs = append(attrs, slog.String("verdict", e.Verdict.String()), slog.String("error", e.Error()),
			slog.Int64("retry_after_ms", e.RetryAfter.Milliseconds()))
	}
	attrs = append(attrs, slog.String("outcome", outcome))
	r.cfg.Log.LogAttrs(context.Background(), level, "exchange", attrs...)
	r.count(outcome, took)
}

// count adds the exchange to the metrics.
func (r *run) count(outcome string, took time.Duration) {
	if r.cfg.Metrics == nil {
		return
	}
	scope := r.cfg.Metrics.Tagged(map[string]string{"outcome": outcome})
	scope.Counter("exchanges_total").Inc(1)
	scope.Histogram("exchange_seconds", latencyBuckets).RecordDuration(took)
	if r.trace.firstEvent > 0 {
		r.cfg.Metrics.Histogram("first_event_seconds", latencyBuckets).RecordDuration(r.trace.firstEvent)
	}
	if r.trace.stages > 0 {
		r.cfg.Metrics.Histogram("stages_seconds", latencyBuckets).RecordDuration(r.trace.stages)
	}
}
