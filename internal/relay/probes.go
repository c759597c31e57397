package relay

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"github.com/pimentorill/pimentorill/internal/core/catalog"
	"github.com/pimentorill/pimentorill/internal/core/verdict"
	"github.com/pimentorill/pimentorill/internal/port"
)

// recordResponse records that an endpoint has responded to this host.
func (c *carried) recordResponse(e *catalog.Endpoint) {
	now := c.cfg.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.respondedAt[e.Incarnation()] = now
	if now.Sub(c.sweptAt) < sweepInterval {
		return
	}
	c.sweptAt = now
	maps.DeleteFunc(c.respondedAt, func(_ catalog.Incarnation, at time.Time) bool { return now.Sub(at) > recentResponse })
}

// handleProbe tells another host whether this one reaches an endpoint.
func (c *carried) handleProbe(ctx context.Context, _ port.Member, payload []byte) ([]byte, error) {
	var r probeRequest
	if err := cbor.Unmarshal(payload, &r); err != nil {
		return nil, badRequest(err)
	}
	e, f := c.endpoint(r.Endpoint)
	if e != nil && f != nil && !r.Report {
		// The endpoint wants nothing, which it told this host.
		return cbor.Marshal(callReply{FreeBytes: -1, Notice: c.cfg.notice(e)})
	}
	if f != nil {
		return c.refuseCall(e, f)
	}
	c.mu.Lock()
	recent := c.cfg.Clock.Now().Sub(c.respondedAt[e.Incarnation()]) <= recentResponse
	c.mu.Unlock()
	mayShare := !r.Report && !r.Anew
	if recent && mayShare {
		return cbor.Marshal(callReply{FreeBytes: -1})
	}
	var report port.EndpointReport
	var err error
	if mayShare {
		report, err = c.probes.do(ctx, e)
	} else {
		report, err = c.probe(ctx, e)
	}
	if err != nil && (r.Report || !errors.Is(err, port.ErrOnlyStrayAnswer)) {
		return cbor.Marshal(callReply{Failure: refuse(verdict.CodeEndpointFailed, err.Error())})
	}
	c.recordResponse(e)
	return cbor.Marshal(callReply{FreeBytes: report.FreeBytes, Misdirected: report.Misdirected})
}

func (c *carried) probe(ctx context.Context, e *catalog.Endpoint) (port.EndpointReport, error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	return c.cfg.Direct.Probe(ctx, e, false)
}

// sharedProbes makes one probe of an endpoint for all hosts that ask for one at about the same
// time: an endpoint that is lost is missed by all hosts at once, and each asks several others. It is
// safe for concurrent use.
type sharedProbes struct {
	clock port.Clock
	probe func(e *catalog.Endpoint) (port.EndpointReport, error)

	mu     sync.Mutex
	latest map[catalog.Incarnation]*sharedProbe
}

// sharedProbe is one probe. Its results may be read once ended is closed.
type sharedProbe struct {
	ended   chan struct{}
	endedAt time.Time
	report  port.EndpointReport
	err     error
}

func newSharedProbes(clock port.Clock, probe func(e *catalog.Endpoint) (port.EndpointReport, error)) *sharedProbes {
	return &sharedProbes{clock: clock, probe: probe, latest: make(map[catalog.Incarnation]*sharedProbe)}
}

// do returns the result of a probe that is under way, or that ended within recentResponse, or
// of a new one. It doesn't wait longer than ctx lasts.
func (s *sharedProbes) do(ctx context.Context, e *catalog.Endpoint) (port.EndpointReport, error) {
	s.mu.Lock()
	now := s.clock.Now()
	maps.DeleteFunc(s.latest, func(_ catalog.Incarnation, p *sharedProbe) bool {
		return !p.endedAt.IsZero() && now.Sub(p.endedAt) > recentResponse
	})
	p := s.latest[e.Incarnation()]
	if p == nil {
		p = &sharedProbe{ended: make(chan struct{})}
		s.latest[e.Incarnation()] = p
		go s.run(e, p)
	}
	s.mu.Unlock()
	select {
	case <-p.ended:
		return p.report, p.err
	case <-ctx.Done():
		return port.EndpointReport{}, ctx.Err()
	}
}

func (s *sharedProbes) run(e *catalog.Endpoint, p *sharedProbe) {
	p.report, p.err = s.probe(e)
	s.mu.Lock()
	p.endedAt = s.clock.Now()
	s.mu.Unlock()
	close(p.ended)
}
