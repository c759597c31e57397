package exchange

import (
	"context"
	"log/slog"
	"slices"

	"github.com/pimentorill/pimentorill/internal/core/catalog"
	"github.com/pimentorill/pimentorill/internal/core/origin"
	"github.com/pimentorill/pimentorill/internal/core/verdict"
)

// takesUpStream reports whether the caller takes up a stream that an earlier attempt
// began.
func (r *exchangeRun) takesUpStream() bool {
	return r.route.ResumableStream() && (r.exchange.ResumeFrom != "" || r.exchange.FirstAttempt != "")
}

// findOrigin sets the origin and the service of a stream that the caller takes up. It
// returns a *verdict.Error with NotRun if the origin is not known or no endpoint is
// left that may resume the stream.
func (r *exchangeRun) findOrigin(ctx context.Context) error {
	o, ok := r.cfg.Origins.Find(ctx, r.route.Name, r.exchange.FirstAttempt)
	if !ok || r.isDoubtful(o) {
		return verdict.New(verdict.CodeNoCapacity, verdict.NotRun, "software version that began the stream is not known").WithRetryAfter(busyRetry)
	}
	service := r.snapshot.Config.Services[o.Service]
	routed := slices.ContainsFunc(r.route.TrafficSplit, func(s catalog.WeightedService) bool { return s.Service == o.Service })
	if service == nil || !routed {
		return verdict.New(verdict.CodeNoCapacity, verdict.NotRun, "route no longer leads to the service that began the stream").WithRetryAfter(busyRetry)
	}
	r.service, r.origin = service, &o
	if !slices.ContainsFunc(r.cfg.Snapshot().Usable[o.Service], o.Allows) {
		return verdict.New(verdict.CodeNoCapacity, verdict.NotRun, "no endpoint is left of the software version that began the stream").WithRetryAfter(busyRetry)
	}
	return nil
}

// isDoubtful reports whether another process was registered for the endpoint at which a stream
// began, at which the stream may have begun as well.
func (r *exchangeRun) isDoubtful(o origin.Origin) bool {
	return o.IsDoubtful(r.cfg.Snapshot().Registrations)
}

// mayContinue returns those of the endpoints at which the stream may go on, or begin before
// its first event.
func (r *exchangeRun) mayContinue(endpoints []*catalog.Endpoint) []*catalog.Endpoint {
	r.attemptMu.Lock()
	begun := r.origin
	r.attemptMu.Unlock()
	if begun == nil && r.route.ResumableStream() {
		return r.cfg.Origins.MayBegin(endpoints)
	}
	if begun == nil {
		return endpoints
	}
	if r.isDoubtful(*begun) {
		return nil
	}
	var allowed []*catalog.Endpoint
	for _, e := range endpoints {
		if begun.Allows(e) {
			allowed = append(allowed, e)
		}
	}
	return allowed
}

// announceOrigin has other hosts told where the stream begins if the attempt at the
// endpoint brings its first event, so that they can resume it. Of a stream that the
// caller takes up they are told again, as some of them may have gone.
func (r *exchangeRun) announceOrigin(e *catalog.Endpoint) {
	switch {
	case !r.route.ResumableStream():
	case r.origin == nil:
		r.attemptOrigin = origin.Of(e, r.cfg.Clock.Now())
		r.announcement = r.cfg.Origins.Announce(r.route.Name, r.exchange.ID, r.attempts, r.attemptOrigin, r.remainingTime())
	case r.exchange.FirstAttempt != "" && r.attempts == 1:
		r.cfg.Origins.Announce(r.route.Name, r.exchange.FirstAttempt, 0, *r.origin, r.remainingTime())
		r.cfg.Origins.Begun(r.route.Name, origin.Record{Attempt: r.exchange.FirstAttempt, Origin: *r.origin}, r.remainingTime())
	}
}

// fixOrigin sets the origin at the stream's first event and waits until another host
// knows it.
func (r *exchangeRun) fixOrigin(ctx context.Context) {
	if r.origin != nil || !r.route.ResumableStream() {
		return
	}
	o := r.attemptOrigin
	if r.isDoubtful(o) {
		r.cfg.Log.Warn("software version of a stream is in doubt, so it can't be resumed", slog.String("request", r.exchange.ID), slog.String("endpoint", o.Endpoint),
			slog.String("software_version", o.SoftwareVersion), slog.Int64("born", o.StartedUnixMs))
		o = origin.Origin{}
		r.announcement = r.cfg.Origins.Announce(r.route.Name, r.exchange.ID, r.attempts+1, o, r.remainingTime())
	}
	r.attemptMu.Lock()
	r.origin = &o
	r.attemptMu.Unlock()
	r.cfg.Origins.Begun(r.route.Name, origin.Record{Attempt: r.exchange.ID, Origin: o, Sequence: r.attempts}, r.remainingTime())
	r.announcement.Wait(ctx)
}
