package exchange

import (
	"context"
	"io"
	"log/slog"
	"time"

	"github.com/go-faster/errors"

	"github.com/pimentorill/pimentorill/internal/core/catalog"
	"github.com/pimentorill/pimentorill/internal/core/verdict"
	"github.com/pimentorill/pimentorill/internal/port"
)

const (
	// endProbeTimeout bounds a probe of an endpoint whose response has ended.
	endProbeTimeout = 300 * time.Millisecond
	// refusedProbes is the number of probes that must fail at once: an endpoint may close an
	// idle connection as the first one is sent.
	refusedProbes = 2
	// silentProbes is the number of probes without a response after which the end is believed:
	// the first one may show that this host has lost its path.
	silentProbes = 2
)

// errCutAtClose means that a body ended with its connection because its endpoint did, or may
// have at the deadline.
var errCutAtClose = &port.ConnectionLostError{Err: errors.Wrap(io.ErrUnexpectedEOF, "endpoint ended with the response")}

// errProbesEnded is the cause of the end of probes that leave time for the end of the response.
var errProbesEnded = errors.New("no time is left for probes")

// checkEnd has the body of a response that ends with its connection return io.EOF only if its
// endpoint goes on: the system closes the connections of an endpoint that is killed in the same
// way as the endpoint does after its last byte. Between two events nothing else tells them apart.
func (r *exchangeRun) checkEnd(ctx context.Context, e *catalog.Endpoint, response *port.EndpointResponse) {
	if response.Length == port.LengthUntilClose && !response.NotRun {
		response.Body = &untilCloseBody{body: response.Body, wasCut: func() bool { return r.wasCut(ctx, e) }}
	}
}

// wasCut reports whether the connection that ended was not ended by the endpoint after the whole
// response. One that leaves may end after its last response; then a request that can't be
// repeated keeps what it has.
func (r *exchangeRun) wasCut(ctx context.Context, e *catalog.Endpoint) bool {
	if !r.route.Repeatable() && !r.isUsable(e.Incarnation()) {
		return false
	}
	if r.remainingTime() > deadlineMargin && !r.refusesProbes(ctx, e) {
		return false
	}
	r.cfg.Log.Info("response that ends with its connection may be cut", slog.String("request", r.exchange.ID), slog.String("endpoint", e.ID))
	return true
}

// refusesProbes reports whether an endpoint's connections break and it takes no new ones, nor do
// other hosts reach it if this one has lost its path, or another endpoint has its address. Silence
// is no refusal, nor is one of the carriers. An endpoint that rests is only connected to, and not over
// other hosts.
func (r *exchangeRun) refusesProbes(ctx context.Context, e *catalog.Endpoint) bool {
	// A probe that the deadline ends would lose a response that is whole.
	ctx, stop := context.WithTimeoutCause(ctx, r.remainingTime()-deadlineMargin, errProbesEnded)
	defer stop()
	refused, silent := 0, 0
	for refused < refusedProbes && silent < silentProbes {
		probeCtx, cancel := context.WithTimeout(ctx, endProbeTimeout)
		var report port.EndpointReport
		var err error
		if r.cfg.Health.Rest(e) > 0 { // no requests until the end of the rest
			err = r.cfg.Endpoints.Connect(probeCtx, e)
		} else {
			report, err = r.cfg.Endpoints.Probe(probeCtx, e, false)
		}
		timedOut := probeCtx.Err() != nil
		cancel()
		switch {
		case err == nil:
			return report.Misdirected
		case context.Cause(ctx) == errProbesEnded:
			return false
		case ctx.Err() != nil: // the attempt was given up, or its caller has gone
			return true
		case timedOut || verdict.From(err).Code == verdict.CodeNoCapacity: // in the latter case, not asked
			silent++
		default:
			refused++
		}
	}
	return refused == refusedProbes
}

// untilCloseBody is the body of a response that ends with its connection.
type untilCloseBody struct {
	body   io.Reader
	wasCut func() bool
	// err is returned by all further reads.
	err error
}

// Read implements io.Reader.
func (b *untilCloseBody) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.body.Read(p)
	if err == io.EOF && b.wasCut() {
		err = errCutAtClose
	}
	b.err = err
	return n, err
}
