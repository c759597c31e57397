// Package health finds out which endpoints can't be reached from this host.
//
// An endpoint is up until a call to it ends without an answer. Then it is in
// doubt: it gets no new work and is probed. A probe that is answered makes it up
// again at once; probes that are not make it down, and it stays so until one is.
// No request is spent on finding that out.
//
// Endpoints are seldom lost alone: a zone is cut off or goes dark as a whole. So
// one in doubt has others of its zone probed too, those with work of this host
// first, without taking them out of use until they fail to answer.
package health

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/pimentorill/pimentorill/internal/core/catalog"
	"github.com/pimentorill/pimentorill/internal/port"
)

// errUnreachable ends work whose endpoint has gone down.
var errUnreachable = errors.New("endpoint can't be reached")

const (
	// probeTimeout bounds a probe: far above the way to any zone of a region, and
	// above one retransmission on an open connection.
	probeTimeout = 300 * time.Millisecond
	// minProbeInterval is the time between two probes of an endpoint that is down.
	minProbeInterval = 400 * time.Millisecond
	// maxMissedProbes is the number of probes in a row without an answer that make
	// an endpoint down: one may be lost on a bad link.
	maxMissedProbes = 2
	// maxProbeInterval bounds that time, which doubles with each probe.
	maxProbeInterval = 2 * time.Second
	// maxSweepProbes bounds the endpoints that a sweep probes: a zone of a small fleet
	// as a whole, and few connections for each host of a large one.
	maxSweepProbes = 12
	// minSweepInterval is the shortest time between two sweeps of a zone.
	minSweepInterval = time.Second
)

// Config is what a Watch needs. All of it is read only.
type Config struct {
	Client port.EndpointClient
	// UsableEndpoints returns the endpoints in use.
	UsableEndpoints func() []*catalog.Endpoint
	// OnChange is told that some endpoints have gone down or come up.
	OnChange func()
	Clock    port.Clock
	Log      *slog.Logger
}

// Monitor knows which endpoints are down. It is safe for concurrent use.
type Monitor struct {
	cfg    Config
	ctx    context.Context
	cancel context.CancelFunc

	mu         sync.Mutex
	states     map[catalog.Incarnation]*endpointState
	lastSweeps map[string]time.Time
}

// state is that of an endpoint in doubt, down, or under work that asked to be
// told; others have none.
type endpointState struct {
	probing bool
	// avoided endpoints get no new work.
	avoided     bool
	unreachable bool
	dependents  map[*context.CancelCauseFunc]struct{}
}

// New returns a Watch to which all endpoints are up. Close ends its probes.
func New(cfg Config) *Monitor {
	w := &Monitor{cfg: cfg, states: make(map[catalog.Incarnation]*endpointState), lastSweeps: make(map[string]time.Time)}
	w.ctx, w.cancel = context.WithCancel(context.Background())
	return w
}

// Close ends the probes.
func (w *Monitor) Close() { w.cancel() }

// Avoided reports whether an endpoint should get no new work.
func (w *Monitor) Avoided(e *catalog.Endpoint) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.states[e.Incarnation()]
	return s != nil && s.avoided
}

// Available returns those of the endpoints that may get work.
func (w *Monitor) Available(list []*catalog.Endpoint) []*catalog.Endpoint {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.states) == 0 {
		return list
	}
	up := make([]*catalog.Endpoint, 0, len(list))
	for _, e := range list {
		if s := w.states[e.Incarnation()]; s == nil || !s.avoided {
			up = append(up, e)
		}
	}
	return up
}

// RecordFailure takes in that a call to an endpoint ended without an answer.
func (w *Monitor) RecordFailure(e *catalog.Endpoint) {
	w.mu.Lock()
	s := w.stateOf(e)
	s.avoided = true
	w.mu.Unlock()
	w.startProbing(e)
	w.Sweep(e.Zone)
}

// Sweep probes some endpoints of a zone: those with work of this host first,
// then any.
func (w *Monitor) Sweep(zone string) {
	now := w.cfg.Clock.Now()
	w.mu.Lock()
	last, ok := w.lastSweeps[zone]
	if ok && now.Sub(last) < minSweepInterval {
		w.mu.Unlock()
		return
	}
	w.lastSweeps[zone] = now
	w.mu.Unlock()
	for _, e := range w.selectForSweep(zone) {
		w.startProbing(e)
	}
}

// choose returns the endpoints of a zone that a sweep probes.
func (w *Monitor) selectForSweep(zone string) []*catalog.Endpoint {
	var busy, idle []*catalog.Endpoint
	known := w.cfg.UsableEndpoints()
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, e := range known {
		s := w.states[e.Incarnation()]
		switch {
		case e.Zone != zone || s != nil && s.probing:
		case s != nil && len(s.dependents) > 0:
			busy = append(busy, e)
		default:
			idle = append(idle, e)
		}
	}
	rand.Shuffle(len(idle), func(i, j int) { idle[i], idle[j] = idle[j], idle[i] })
	chosen := append(busy, idle...)
	return chosen[:min(maxSweepProbes, len(chosen))]
}

// WhileReachable returns a context that ends with parent, and with errUnreachable as its cause
// once the endpoint is down. Call the function to release it.
func (w *Monitor) WhileReachable(parent context.Context, e *catalog.Endpoint) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	l := e.Incarnation()
	w.mu.Lock()
	s := w.stateOf(e)
	s.dependents[&cancel] = struct{}{}
	w.mu.Unlock()
	return ctx, func() {
		w.mu.Lock()
		delete(s.dependents, &cancel)
		w.dropIfUnused(l, s)
		w.mu.Unlock()
		cancel(nil)
	}
}

// of returns an endpoint's state. w.mu is held.
func (w *Monitor) stateOf(e *catalog.Endpoint) *endpointState {
	s := w.states[e.Incarnation()]
	if s == nil {
		s = &endpointState{dependents: make(map[*context.CancelCauseFunc]struct{})}
		w.states[e.Incarnation()] = s
	}
	return s
}

// drop forgets a state that says nothing. w.mu is held.
func (w *Monitor) dropIfUnused(l catalog.Incarnation, s *endpointState) {
	if !s.probing && !s.avoided && len(s.dependents) == 0 && w.states[l] == s {
		delete(w.states, l)
	}
}

// probe finds out whether an endpoint answers, unless that is under way.
func (w *Monitor) startProbing(e *catalog.Endpoint) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.stateOf(e)
	if s.probing {
		return
	}
	s.probing = true
	go w.probeUntilResponsive(e, s)
}

// follow probes an endpoint until it answers or is not in use any more.
func (w *Monitor) probeUntilResponsive(e *catalog.Endpoint, s *endpointState) {
	pause := minProbeInterval
	for missed := 0; ; {
		ctx, cancel := context.WithTimeout(w.ctx, probeTimeout)
		_, err := w.cfg.Client.Probe(ctx, e, true)
		cancel()
		if w.ctx.Err() != nil {
			return
		}
		if err == nil || !w.isUsable(e) {
			w.finishProbing(e, s, err == nil)
			return
		}
		if missed++; missed == maxMissedProbes {
			w.markUnreachable(e, s, err)
		}
		if missed >= maxMissedProbes {
			port.Sleep(w.ctx, pause)
			pause = min(maxProbeInterval, 2*pause)
		}
	}
}

func (w *Monitor) isUsable(e *catalog.Endpoint) bool {
	for _, k := range w.cfg.UsableEndpoints() {
		if k.Incarnation() == e.Incarnation() {
			return true
		}
	}
	return false
}

// lose marks an endpoint as down and ends the calls that asked for it.
func (w *Monitor) markUnreachable(e *catalog.Endpoint, s *endpointState, err error) {
	w.mu.Lock()
	s.avoided, s.unreachable = true, true
	for cancel := range s.dependents {
		(*cancel)(errUnreachable)
	}
	w.mu.Unlock()
	w.cfg.Log.Warn("endpoint can't be reached", slog.String("endpoint", e.ID), slog.String("service", e.Service),
		slog.String("zone", e.Zone), slog.Any("error", err))
	w.cfg.OnChange()
}

// settle ends an endpoint's probes.
func (w *Monitor) finishProbing(e *catalog.Endpoint, s *endpointState, answers bool) {
	w.mu.Lock()
	was, wasDown := s.avoided, s.unreachable
	s.probing, s.avoided, s.unreachable = false, false, false
	w.dropIfUnused(e.Incarnation(), s)
	w.mu.Unlock()
	if wasDown {
		w.cfg.Log.Info("endpoint can be reached again or is gone", slog.String("endpoint", e.ID), slog.String("zone", e.Zone), slog.Bool("answers", answers))
	}
	if was {
		w.cfg.OnChange()
	}
}
