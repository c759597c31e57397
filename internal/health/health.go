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

// errDown ends work whose endpoint has gone down.
var errDown = errors.New("endpoint can't be reached")

const (
	// probeTimeout bounds a probe: far above the way to any zone of a region, and
	// above one retransmission on an open connection.
	probeTimeout = 300 * time.Millisecond
	// probePause is the time between two probes of an endpoint that is down.
	probePause = 400 * time.Millisecond
	// probesToDown is the number of probes in a row without an answer that make
	// an endpoint down: one may be lost on a bad link.
	probesToDown = 2
	// maxProbePause bounds that time, which doubles with each probe.
	maxProbePause = 2 * time.Second
	// sweepSize bounds the endpoints that a sweep probes: a zone of a small fleet
	// as a whole, and few connections for each host of a large one.
	sweepSize = 12
	// sweepPause is the shortest time between two sweeps of a zone.
	sweepPause = time.Second
)

// Config is what a Watch needs. All of it is read only.
type Config struct {
	Endpoints port.EndpointClient
	// Known returns the endpoints in use.
	Known func() []*catalog.Endpoint
	// Changed is told that some endpoints have gone down or come up.
	Changed func()
	Clock   port.Clock
	Log     *slog.Logger
}

// Watch knows which endpoints are down. It is safe for concurrent use.
type Watch struct {
	cfg Config
	ctx context.Context
	end context.CancelFunc

	mu     sync.Mutex
	states map[catalog.Incarnation]*state
	swept  map[string]time.Time
}

// state is that of an endpoint in doubt, down, or under work that asked to be
// told; others have none.
type state struct {
	probing bool
	// avoided endpoints get no new work.
	avoided bool
	down    bool
	calls   map[*context.CancelCauseFunc]struct{}
}

// New returns a Watch to which all endpoints are up. Close ends its probes.
func New(cfg Config) *Watch {
	w := &Watch{cfg: cfg, states: make(map[catalog.Incarnation]*state), swept: make(map[string]time.Time)}
	w.ctx, w.end = context.WithCancel(context.Background())
	return w
}

// Close ends the probes.
func (w *Watch) Close() { w.end() }

// Avoided reports whether an endpoint should get no new work.
func (w *Watch) Avoided(e *catalog.Endpoint) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.states[e.Incarnation()]
	return s != nil && s.avoided
}

// Up returns those of the endpoints that may get work.
func (w *Watch) Up(list []*catalog.Endpoint) []*catalog.Endpoint {
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

// Failed takes in that a call to an endpoint ended without an answer.
func (w *Watch) Failed(e *catalog.Endpoint) {
	w.mu.Lock()
	s := w.of(e)
	s.avoided = true
	w.mu.Unlock()
	w.probe(e)
	w.Sweep(e.Zone)
}

// Sweep probes some endpoints of a zone: those with work of this host first,
// then any.
func (w *Watch) Sweep(zone string) {
	now := w.cfg.Clock.Now()
	w.mu.Lock()
	last, ok := w.swept[zone]
	if ok && now.Sub(last) < sweepPause {
		w.mu.Unlock()
		return
	}
	w.swept[zone] = now
	w.mu.Unlock()
	for _, e := range w.choose(zone) {
		w.probe(e)
	}
}

// choose returns the endpoints of a zone that a sweep probes.
func (w *Watch) choose(zone string) []*catalog.Endpoint {
	var busy, idle []*catalog.Endpoint
	known := w.cfg.Known()
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, e := range known {
		s := w.states[e.Incarnation()]
		switch {
		case e.Zone != zone || s != nil && s.probing:
		case s != nil && len(s.calls) > 0:
			busy = append(busy, e)
		default:
			idle = append(idle, e)
		}
	}
	rand.Shuffle(len(idle), func(i, j int) { idle[i], idle[j] = idle[j], idle[i] })
	chosen := append(busy, idle...)
	return chosen[:min(sweepSize, len(chosen))]
}

// While returns a context that ends with parent, and with errDown as its cause
// once the endpoint is down. Call the function to release it.
func (w *Watch) While(parent context.Context, e *catalog.Endpoint) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	l := e.Incarnation()
	w.mu.Lock()
	s := w.of(e)
	s.calls[&cancel] = struct{}{}
	w.mu.Unlock()
	return ctx, func() {
		w.mu.Lock()
		delete(s.calls, &cancel)
		w.drop(l, s)
		w.mu.Unlock()
		cancel(nil)
	}
}

// of returns an endpoint's state. w.mu is held.
func (w *Watch) of(e *catalog.Endpoint) *state {
	s := w.states[e.Incarnation()]
	if s == nil {
		s = &state{calls: make(map[*context.CancelCauseFunc]struct{})}
		w.states[e.Incarnation()] = s
	}
	return s
}

// drop forgets a state that says nothing. w.mu is held.
func (w *Watch) drop(l catalog.Incarnation, s *state) {
	if !s.probing && !s.avoided && len(s.calls) == 0 && w.states[l] == s {
		delete(w.states, l)
	}
}

// probe finds out whether an endpoint answers, unless that is under way.
func (w *Watch) probe(e *catalog.Endpoint) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.of(e)
	if s.probing {
		return
	}
	s.probing = true
	go w.follow(e, s)
}

// follow probes an endpoint until it answers or is not in use any more.
func (w *Watch) follow(e *catalog.Endpoint, s *state) {
	pause := probePause
	for missed := 0; ; {
		ctx, cancel := context.WithTimeout(w.ctx, probeTimeout)
		_, err := w.cfg.Endpoints.Probe(ctx, e, true)
		cancel()
		if w.ctx.Err() != nil {
			return
		}
		if err == nil || !w.known(e) {
			w.settle(e, s, err == nil)
			return
		}
		if missed++; missed == probesToDown {
			w.lose(e, s, err)
		}
		if missed >= probesToDown {
			port.Sleep(w.ctx, pause)
			pause = min(maxProbePause, 2*pause)
		}
	}
}

func (w *Watch) known(e *catalog.Endpoint) bool {
	for _, k := range w.cfg.Known() {
		if k.Incarnation() == e.Incarnation() {
			return true
		}
	}
	return false
}

// lose marks an endpoint as down and ends the calls that asked for it.
func (w *Watch) lose(e *catalog.Endpoint, s *state, err error) {
	w.mu.Lock()
	s.avoided, s.down = true, true
	for cancel := range s.calls {
		(*cancel)(errDown)
	}
	w.mu.Unlock()
	w.cfg.Log.Warn("endpoint can't be reached", slog.String("endpoint", e.ID), slog.String("service", e.Service),
		slog.String("zone", e.Zone), slog.Any("error", err))
	w.cfg.Changed()
}

// settle ends an endpoint's probes.
func (w *Watch) settle(e *catalog.Endpoint, s *state, answers bool) {
	w.mu.Lock()
	was, wasDown := s.avoided, s.down
	s.probing, s.avoided, s.down = false, false, false
	w.drop(e.Incarnation(), s)
	w.mu.Unlock()
	if wasDown {
		w.cfg.Log.Info("endpoint can be reached again or is gone", slog.String("endpoint", e.ID), slog.String("zone", e.Zone), slog.Bool("answers", answers))
	}
	if was {
		w.cfg.Changed()
	}
}
