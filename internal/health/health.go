// Package health detects which endpoints can't be reached from this host.
//
// An endpoint is available until a call to it ends without a response. Then it is
// avoided: it gets no new work and is probed. A successful probe makes it
// available again at once; unreachableThreshold failed probes in a row make it
// unreachable, which also cancels the calls in flight to it, until one succeeds.
// No request is used as a probe.
//
// Endpoints rarely fail alone: a zone is partitioned or loses power as a whole.
// So a failed call causes other endpoints of the zone to be probed too, those
// with work of this host first. They stay available until they are unreachable.
//
// An endpoint that this host does not reach may respond to other hosts. Then it is the
// path that is lost, and the endpoint is available over these hosts (PathOverPeers). If
// that holds for several and a sample of the others, this host has lost its path to all
// endpoints (pathLoss): also those that it has not probed are called over other hosts, and
// only a sample is probed until one responds.
package health

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/uber-go/tally/v4"

	"github.com/pimentorill/pimentorill/internal/core/catalog"
	"github.com/pimentorill/pimentorill/internal/port"
)

// errUnreachable is the cause of contexts cancelled because their endpoint became
// unreachable.
var errUnreachable = errors.New("endpoint can't be reached")

const (
	// probeTimeout bounds a probe. It is far above the round-trip time to any zone
	// of a region, and above one retransmission on an open connection.
	probeTimeout = 300 * time.Millisecond
	// minProbeInterval is the first delay between two probes of an unreachable
	// endpoint.
	minProbeInterval = 400 * time.Millisecond
	// unreachableThreshold is the number of consecutive failed probes that make an
	// endpoint unreachable: one may be lost on a bad link.
	unreachableThreshold = 2
	// maxProbeInterval bounds the delay between two probes of an unreachable
	// endpoint, which doubles with each probe.
	maxProbeInterval = 2 * time.Second
	// maxEndpointsPerSweep bounds the endpoints that a sweep probes. It covers a
	// whole zone of a small fleet, and limits the connections of each host in a large
	// one.
	maxEndpointsPerSweep = 12
	// minSweepInterval is the shortest time between two sweeps of a zone.
	minSweepInterval = time.Second
	// maxPeersInterval bounds the delay between two probes over other hosts of an endpoint
	// that did not respond there: all hosts ask.
	maxPeersInterval = 8 * time.Second
	// peerProbeTimeout bounds a probe over other hosts.
	peerProbeTimeout = 600 * time.Millisecond
	// minVerifyInterval is the shortest time between two calls of Verify that probe.
	minVerifyInterval = 500 * time.Millisecond
)

// Path is a way to an endpoint.
type Path uint8

// The paths.
const (
	// PathDirect is a connection of this host to the endpoint.
	PathDirect Path = iota
	// PathOverPeers has another host call the endpoint.
	PathOverPeers
)

// Config holds the dependencies of a Monitor, which does not modify them.
type Config struct {
	Client port.EndpointClient
	// UsableEndpoints returns the endpoints that may get work.
	UsableEndpoints func() []*catalog.Endpoint
	// OnChange is called after an endpoint has become unreachable, or available
	// after it was avoided, but not when RecordFailure makes it avoided. Calls may be
	// concurrent; OnChange may call the Monitor.
	OnChange func()
	// Rest returns how long an endpoint has asked this host for rest from now on, 0 if it
	// has not: it is not probed in that time. It may be nil.
	Rest func(e *catalog.Endpoint) time.Duration
	// ProbeOverPeers probes an endpoint over other hosts: it returns nil if it responds to
	// one of them. It may be nil.
	ProbeOverPeers func(ctx context.Context, e *catalog.Endpoint) error
	// OnPathFound is called once an endpoint whose calls may have failed only because of
	// this host's path to it responds over other hosts. It may be nil. Calls may be
	// concurrent.
	OnPathFound func(e *catalog.Endpoint)
	// OnUnreachable is called after each probe of an endpoint that responds neither to this
	// host nor to another one, and OnResponse once an endpoint responds to a probe, also over
	// other hosts. Both may be nil. Calls may be concurrent.
	OnUnreachable, OnResponse func(e *catalog.Endpoint)
	Clock                     port.Clock
	Log                       *slog.Logger
	// Metrics may be nil; then no metrics are recorded.
	Metrics tally.Scope
}

// Monitor tracks which endpoints can't be reached. It is safe for concurrent use.
type Monitor struct {
	cfg    Config
	ctx    context.Context
	cancel context.CancelFunc

	mu     sync.Mutex
	states map[catalog.Incarnation]*endpointState
	// lastSweeps holds the time of the last sweep of each zone, by zone name.
	lastSweeps map[string]time.Time
	// lastVerify is when Verify last probed.
	lastVerify time.Time
	pathLoss   pathLoss
}

// endpointState is the state of an endpoint that is probed, avoided or has
// dependents. Other endpoints have none.
type endpointState struct {
	// probing is set while a goroutine probes the endpoint.
	probing bool
	// avoided is set while the endpoint gets no new work. All unreachable endpoints
	// are avoided.
	avoided bool
	// unreachable is set while this host does not reach the endpoint, and overPeers while
	// it does so over other hosts.
	unreachable, overPeers bool
	// dependents holds the cancel functions of contexts that end when the endpoint
	// becomes unreachable on a path.
	dependents map[*context.CancelCauseFunc]Path
	// wake ends the pause between two probes.
	wake chan struct{}
}

// reachableOver reports whether the endpoint is not known to be unreachable on a path.
func (s *endpointState) reachableOver(p Path) bool {
	return !s.unreachable || p == PathOverPeers && s.overPeers
}

// New returns a Monitor with all endpoints available. Close ends its probes.
func New(cfg Config) *Monitor {
	m := &Monitor{cfg: cfg, states: make(map[catalog.Incarnation]*endpointState), lastSweeps: make(map[string]time.Time)}
	m.ctx, m.cancel = context.WithCancel(context.Background())
	return m
}

// Close ends all probes. Contexts of WhileReachable end only with their parents
// then.
func (m *Monitor) Close() { m.cancel() }

// Avoided reports whether an endpoint should get no new work.
func (m *Monitor) Avoided(e *catalog.Endpoint) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.states[e.Incarnation()]
	return s != nil && s.avoided
}

// Unreachable reports whether an endpoint is unreachable on a path.
func (m *Monitor) Unreachable(e *catalog.Endpoint, p Path) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.pathLoss.lost && p == PathDirect {
		return true
	}
	s := m.states[e.Incarnation()]
	return s != nil && !s.reachableOver(p)
}

// PathTo returns the path on which an endpoint should be called.
func (m *Monitor) PathTo(e *catalog.Endpoint) Path {
	m.mu.Lock()
	defer m.mu.Unlock()
	if s := m.states[e.Incarnation()]; m.pathLoss.lost || s != nil && s.unreachable && s.overPeers {
		return PathOverPeers
	}
	return PathDirect
}

// Available returns the endpoints of the list that are not avoided.
func (m *Monitor) Available(list []*catalog.Endpoint) []*catalog.Endpoint {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.states) == 0 {
		return list
	}
	available := make([]*catalog.Endpoint, 0, len(list))
	for _, e := range list {
		if s := m.states[e.Incarnation()]; s == nil || !s.avoided {
			available = append(available, e)
		}
	}
	return available
}

// RecordFailure records that a call to an endpoint ended without a response. It
// starts to probe the endpoint and sweeps its zone.
func (m *Monitor) RecordFailure(e *catalog.Endpoint) {
	m.mu.Lock()
	s := m.stateOf(e)
	s.avoided = true
	m.mu.Unlock()
	m.startProbing(e)
	m.Sweep(e.Zone)
}

// Verify starts to probe an endpoint that has not responded to a call for long and
// leaves it available meanwhile. Within minVerifyInterval of the last call that probed
// it does nothing.
func (m *Monitor) Verify(e *catalog.Endpoint) {
	now := m.cfg.Clock.Now()
	m.mu.Lock()
	due := now.Sub(m.lastVerify) >= minVerifyInterval && m.Rest(e) == 0
	if due {
		m.lastVerify = now
	}
	m.mu.Unlock()
	if due {
		m.startProbing(e)
	}
}

// Check starts to probe an endpoint, unless it has asked for rest, and leaves it available
// meanwhile.
func (m *Monitor) Check(e *catalog.Endpoint) {
	if m.Rest(e) == 0 {
		m.startProbing(e)
	}
}

// Sweep starts to probe up to maxEndpointsPerSweep endpoints of a zone, those with
// work of this host first. It does nothing within minSweepInterval of the zone's
// last sweep, or while the path to all endpoints is lost.
func (m *Monitor) Sweep(zone string) {
	now := m.cfg.Clock.Now()
	m.mu.Lock()
	last, ok := m.lastSweeps[zone]
	if m.pathLoss.lost || ok && now.Sub(last) < minSweepInterval {
		m.mu.Unlock()
		return
	}
	m.lastSweeps[zone] = now
	m.mu.Unlock()
	for _, e := range m.selectForSweep(zone) {
		m.startProbing(e)
	}
}

// selectForSweep returns the endpoints of a zone that a sweep starts to probe:
// first those with dependents, then others at random.
func (m *Monitor) selectForSweep(zone string) []*catalog.Endpoint {
	var busy, idle []*catalog.Endpoint
	usable := m.cfg.UsableEndpoints()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, e := range usable {
		s := m.states[e.Incarnation()]
		switch {
		case e.Zone != zone || s != nil && s.probing || m.Rest(e) > 0:
		case s != nil && len(s.dependents) > 0:
			busy = append(busy, e)
		default:
			idle = append(idle, e)
		}
	}
	rand.Shuffle(len(idle), func(i, j int) { idle[i], idle[j] = idle[j], idle[i] })
	selected := append(busy, idle...)
	return selected[:min(maxEndpointsPerSweep, len(selected))]
}

// WhileReachable returns a context that ends with parent, or with errUnreachable
// as its cause once the endpoint becomes unreachable on the path. It does not end because
// the endpoint is unreachable already. The caller must call the function returned to
// release the context.
func (m *Monitor) WhileReachable(parent context.Context, e *catalog.Endpoint, p Path) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	incarnation := e.Incarnation()
	m.mu.Lock()
	s := m.stateOf(e)
	s.dependents[&cancel] = p
	m.mu.Unlock()
	return ctx, func() {
		m.mu.Lock()
		delete(s.dependents, &cancel)
		m.dropIfUnused(incarnation, s)
		m.mu.Unlock()
		cancel(nil)
	}
}

// stateOf returns an endpoint's state and creates it if there is none. m.mu must
// be held.
func (m *Monitor) stateOf(e *catalog.Endpoint) *endpointState {
	s := m.states[e.Incarnation()]
	if s == nil {
		s = &endpointState{dependents: make(map[*context.CancelCauseFunc]Path), wake: make(chan struct{}, 1)}
		m.states[e.Incarnation()] = s
	}
	return s
}

// dropIfUnused deletes a state that is neither probed nor avoided and has no
// dependents. m.mu must be held.
func (m *Monitor) dropIfUnused(incarnation catalog.Incarnation, s *endpointState) {
	if !s.probing && !s.avoided && len(s.dependents) == 0 && m.states[incarnation] == s {
		delete(m.states, incarnation)
	}
}

// startProbing starts to probe an endpoint, avoided or not. If it is being probed, the
// next probe follows at once.
func (m *Monitor) startProbing(e *catalog.Endpoint) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.stateOf(e)
	if s.probing {
		s.wakeUp()
		return
	}
	s.probing = true
	go m.probeUntilResponsive(e, s)
}

// wakeUp ends the pause between two probes.
func (s *endpointState) wakeUp() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// probeUntilResponsive probes an endpoint until it responds or is no longer
// usable, or the Monitor is closed. The first probes follow each other without
// delay, until the endpoint is unreachable. From then on it is also probed over other
// hosts.
func (m *Monitor) probeUntilResponsive(e *catalog.Endpoint, s *endpointState) {
	interval, peersInterval := minProbeInterval, minProbeInterval
	var askPeersAt time.Time
	var report port.EndpointReport
	var err error
	for missed := 0; ; {
		if rest := m.Rest(e); rest > 0 {
			port.Sleep(m.ctx, rest)
		}
		if missed < unreachableThreshold || !m.PathLost() {
			report, err = m.probe(e)
		}
		if m.ctx.Err() != nil {
			return
		}
		if err == nil || !m.isUsable(e) {
			m.finishProbing(e, s, err == nil)
			if err == nil {
				m.notify(e, !report.Misdirected)
			}
			return
		}
		if missed++; missed >= unreachableThreshold {
			overPeers := false
			if now := m.cfg.Clock.Now(); m.isOverPeers(s) || !now.Before(askPeersAt) {
				overPeers = m.probeOverPeers(e)
				askPeersAt = now.Add(peersInterval)
				peersInterval = min(maxPeersInterval, 2*peersInterval)
				if overPeers {
					peersInterval = minProbeInterval
				}
			}
			m.markUnreachable(e, s, err, overPeers)
			m.notify(e, overPeers)
			m.awaitNextProbe(s, interval)
			interval = min(maxProbeInterval, 2*interval)
		}
	}
}

// Rest returns how long an endpoint is not to be probed, 0 if it may be.
func (m *Monitor) Rest(e *catalog.Endpoint) time.Duration {
	if m.cfg.Rest == nil {
		return 0
	}
	return m.cfg.Rest(e)
}

func (m *Monitor) probe(e *catalog.Endpoint) (port.EndpointReport, error) {
	ctx, cancel := context.WithTimeout(m.ctx, probeTimeout)
	defer cancel()
	return m.cfg.Client.Probe(ctx, e, true)
}

// notify tells whether an endpoint responds to any host.
func (m *Monitor) notify(e *catalog.Endpoint, responds bool) {
	notify := m.cfg.OnUnreachable
	if responds {
		notify = m.cfg.OnResponse
	}
	if notify != nil {
		notify(e)
	}
}

func (m *Monitor) isOverPeers(s *endpointState) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return s.overPeers
}

// probeOverPeers reports whether an endpoint responds over other hosts.
func (m *Monitor) probeOverPeers(e *catalog.Endpoint) bool {
	if m.cfg.ProbeOverPeers == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(m.ctx, peerProbeTimeout)
	defer cancel()
	return m.cfg.ProbeOverPeers(ctx, e) == nil
}

// awaitNextProbe waits until an endpoint is to be probed again: after the interval, or
// once it is woken up. While the path to all endpoints is lost, one that responds over other
// hosts is not probed at intervals.
func (m *Monitor) awaitNextProbe(s *endpointState, interval time.Duration) {
	for {
		timer := time.NewTimer(interval)
		select {
		case <-timer.C:
		case <-s.wake:
			timer.Stop()
			return
		case <-m.ctx.Done():
			timer.Stop()
			return
		}
		m.mu.Lock()
		resting := m.pathLoss.lost && s.overPeers && !s.avoided
		m.mu.Unlock()
		if !resting {
			return
		}
	}
}

// isUsable reports whether UsableEndpoints contains this incarnation of an
// endpoint.
func (m *Monitor) isUsable(e *catalog.Endpoint) bool {
	for _, usable := range m.cfg.UsableEndpoints() {
		if usable.Incarnation() == e.Incarnation() {
			return true
		}
	}
	return false
}

// markUnreachable marks an endpoint as unreachable from this host, and as reachable over
// other hosts or not. It cancels the dependents of the paths that are lost.
func (m *Monitor) markUnreachable(e *catalog.Endpoint, s *endpointState, err error, overPeers bool) {
	m.mu.Lock()
	wasUnreachable, wasOverPeers, wasAvoided := s.unreachable, s.overPeers, s.avoided
	s.avoided, s.unreachable, s.overPeers = !overPeers, true, overPeers
	s.cancelDependents()
	m.mu.Unlock()
	if !wasUnreachable || wasOverPeers != overPeers {
		m.cfg.Log.Warn("endpoint can't be reached", slog.String("endpoint", e.ID), slog.String("service", e.Service),
			slog.String("zone", e.Zone), slog.Bool("over_other_hosts", overPeers), slog.Any("error", err))
	}
	if overPeers && (!wasOverPeers || wasAvoided) && m.cfg.OnPathFound != nil {
		m.cfg.OnPathFound(e)
	}
	if !wasUnreachable || wasAvoided != !overPeers {
		m.cfg.OnChange()
	}
	if overPeers {
		m.considerPathLoss()
	}
}

// cancelDependents cancels the dependents of the paths on which the endpoint is
// unreachable. The Monitor's mu must be held.
func (s *endpointState) cancelDependents() {
	for cancel, p := range s.dependents {
		if !s.reachableOver(p) {
			(*cancel)(errUnreachable)
		}
	}
}

// finishProbing makes an endpoint available after its last probe. responsive is
// false if the endpoint is no longer usable and did not respond.
func (m *Monitor) finishProbing(e *catalog.Endpoint, s *endpointState, responsive bool) {
	m.mu.Lock()
	wasAvoided, wasUnreachable := s.avoided, s.unreachable
	s.probing, s.avoided, s.unreachable, s.overPeers = false, false, false, false
	m.dropIfUnused(e.Incarnation(), s)
	m.mu.Unlock()
	if wasUnreachable {
		m.cfg.Log.Info("endpoint can be reached again or is gone", slog.String("endpoint", e.ID), slog.String("zone", e.Zone), slog.Bool("answers", responsive))
	}
	if responsive {
		m.endPathLoss()
	}
	if wasAvoided {
		m.cfg.OnChange()
	}
}
