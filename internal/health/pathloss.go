package health

import (
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/pimentorill/pimentorill/internal/core/catalog"
	"github.com/pimentorill/pimentorill/internal/port"
)

const (
	// pathLossEvidence is the number of endpoints reached only over other hosts from which
	// this host's path to all endpoints may be lost.
	pathLossEvidence = 3
	// pathSample is the number of endpoints that are probed to learn whether the path is
	// lost, or whether it is back, and pathSampleInterval the time between two samples.
	pathSample         = 4
	pathSampleInterval = 500 * time.Millisecond
)

// pathLoss is the loss of this host's path to all endpoints. Monitor.mu guards it.
type pathLoss struct {
	lost bool
	// sampling is set while a sample of endpoints is probed to learn whether the path is
	// lost, and sampledAt is when that ended last.
	sampling  bool
	sampledAt time.Time
}

// PathLost reports whether this host has lost its path to all endpoints.
func (m *Monitor) PathLost() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.pathLoss.lost
}

// considerPathLoss starts to find out whether the path to all endpoints is lost if the
// endpoints that only other hosts reach suggest it.
func (m *Monitor) considerPathLoss() {
	usable := m.cfg.UsableEndpoints()
	now := m.cfg.Clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.pathLoss.lost || m.pathLoss.sampling || now.Sub(m.pathLoss.sampledAt) < pathSampleInterval {
		return
	}
	evidence, resting := 0, 0
	var others []*catalog.Endpoint
	for _, e := range usable {
		switch s := m.states[e.Incarnation()]; {
		case m.Rest(e) > 0:
			resting++
		case s == nil || !s.unreachable:
			others = append(others, e)
		case s.overPeers:
			evidence++
		}
	}
	if evidence == 0 || evidence < min(pathLossEvidence, len(usable)) || len(others) == 0 && resting > 0 {
		return
	}
	m.pathLoss.sampling = true
	go m.verifyPathLoss(others)
}

// verifyPathLoss probes a sample of the endpoints that are not known to be unreachable.
// The path is lost if none of them responds.
func (m *Monitor) verifyPathLoss(others []*catalog.Endpoint) {
	responded := m.anyOfSampleResponds(others)
	m.mu.Lock()
	m.pathLoss.sampling, m.pathLoss.sampledAt = false, m.cfg.Clock.Now()
	m.pathLoss.lost = !responded && m.ctx.Err() == nil
	lost := m.pathLoss.lost
	if lost {
		for _, s := range m.states {
			for cancel, p := range s.dependents {
				if p == PathDirect {
					(*cancel)(errUnreachable)
				}
			}
		}
	}
	m.mu.Unlock()
	if lost {
		m.reportPath(true)
		m.cfg.OnChange()
		m.awaitPath()
	}
}

// anyOfSampleResponds probes pathSample of the endpoints, chosen at random, and reports
// whether any responds. It changes the list.
func (m *Monitor) anyOfSampleResponds(list []*catalog.Endpoint) bool {
	list = slices.DeleteFunc(list, func(e *catalog.Endpoint) bool { return m.Rest(e) > 0 })
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	var probes sync.WaitGroup
	responses := make(chan struct{}, pathSample)
	for _, e := range list[:min(pathSample, len(list))] {
		probes.Go(func() {
			if _, err := m.probe(e); err == nil {
				responses <- struct{}{}
			}
		})
	}
	probes.Wait()
	return len(responses) > 0
}

// awaitPath probes samples of all endpoints until the path is back.
func (m *Monitor) awaitPath() {
	for m.PathLost() {
		port.Sleep(m.ctx, pathSampleInterval)
		if m.ctx.Err() != nil {
			return
		}
		if m.anyOfSampleResponds(append([]*catalog.Endpoint(nil), m.cfg.UsableEndpoints()...)) {
			m.endPathLoss()
		}
	}
}

// endPathLoss records that an endpoint has responded to this host: if the path was lost,
// it is back, and the endpoints found unreachable are probed at once.
func (m *Monitor) endPathLoss() {
	m.mu.Lock()
	back := m.pathLoss.lost
	m.pathLoss.lost = false
	if back {
		for _, s := range m.states {
			s.wakeUp()
		}
	}
	m.mu.Unlock()
	if back {
		m.reportPath(false)
		m.cfg.OnChange()
	}
}

// reportPath logs that the path to all endpoints is lost, or that it is back.
func (m *Monitor) reportPath(lost bool) {
	value := 0.0
	if lost {
		value = 1
		m.cfg.Log.Warn("no path to the endpoints, calls go over other hosts", slog.Int("endpoints", len(m.cfg.UsableEndpoints())))
	} else {
		m.cfg.Log.Info("path to the endpoints is back")
	}
	if m.cfg.Metrics != nil {
		m.cfg.Metrics.Gauge("endpoint_path_lost").Update(value)
	}
}
