package balance

import (
	"math"
	"time"

	"github.com/pimentorill/pimentorill/internal/core/catalog"
	"github.com/pimentorill/pimentorill/internal/port"
)

const (
	// defaultRunTime is how long exchanges with a service are taken to last until one has ended.
	defaultRunTime = 500 * time.Millisecond
	// minRunTime and maxRunTime bound how long exchanges with a service are taken to last.
	minRunTime = 50 * time.Millisecond
	maxRunTime = 2 * time.Second
	// runTimeSmoothing is the weight of the newest exchange in the mean duration.
	runTimeSmoothing = 0.1
	// maxAssumedUse bounds the load, as a fraction of the slots, that endpoints of a zone without a
	// recent report are taken to have.
	maxAssumedUse = 0.5
	// meanUseSmoothing is the weight of the newest report in the mean use of a group, and
	// excessSmoothing that in the excess of an endpoint.
	meanUseSmoothing = 0.05
	excessSmoothing  = 0.3
	// lastingExcess is the share of the excess of an endpoint that is taken to last: the
	// rest may be what happened at the time of the reports.
	lastingExcess = 0.5
	// slowdownPersistence is the time in which most of what an endpoint reported of its pace
	// has changed.
	slowdownPersistence = 400 * time.Millisecond
)

// estimate sets the load and the slowdown of the candidates.
//
// A report tells how an endpoint differs from its peers, and that fades: its load within about
// the time that an exchange lasts, its slowdown within slowdownPersistence. What is left is the
// mean of the peers that reported, with some of the excess that the endpoint's earlier reports
// had over it: slow endpoints are usually busier. So an endpoint that has not reported is taken
// neither for idle nor for busy. Thus the hosts don't all go on to the endpoint that was last said to be
// idle or fast. Without any recent report the load is the number of this host's exchanges in
// flight. The caller holds b.mu.
func (b *Balancer) estimate(cands []candidate, now time.Time) {
	means := newReportMeans(cands, now)
	for i := range cands {
		c := &cands[i]
		c.load, c.slowdown = float64(c.state.inFlight), 1
		if means == nil {
			continue
		}
		use, slowdown := means.of(c.endpoint.Zone)
		usualLoad := max(0, use+lastingExcess*c.state.excess) * c.slots()
		if c.reported = c.state.hasReport(now); !c.reported {
			c.load, c.slowdown = c.load+usualLoad, slowdown
			continue
		}
		age := now.Sub(c.state.reportedAt)
		c.load = max(c.load, fade(c.state.loadSinceReport(), usualLoad, age, b.runTime(c.endpoint.Service)))
		c.slowdown = fade(c.state.slowdown(), slowdown, age, slowdownPersistence)
	}
}

// fade returns what is left of a value that was reported when it has had the time to become the
// mean.
func fade(value, mean float64, age, persistence time.Duration) float64 {
	return mean + (value-mean)*math.Exp(-age.Seconds()/persistence.Seconds())
}

// reportMean adds up reports, the newest of which weigh most.
type reportMean struct{ weight, use, slowdown float64 }

func (m *reportMean) add(c *candidate, now time.Time) {
	weight := math.Exp(-now.Sub(c.state.reportedAt).Seconds() / reportMaxAge.Seconds())
	m.weight += weight
	m.use += weight * c.state.loadSinceReport() / c.slots()
	m.slowdown += weight * c.state.slowdown()
}

// reportMeans holds the means of the recent reports, over all and by zone.
type reportMeans struct {
	overall reportMean
	zones   map[string]*reportMean
}

// newReportMeans returns nil if none of the candidates has a recent report.
func newReportMeans(cands []candidate, now time.Time) *reportMeans {
	var means *reportMeans
	for i := range cands {
		c := &cands[i]
		if !c.state.hasReport(now) {
			continue
		}
		if means == nil {
			means = &reportMeans{zones: make(map[string]*reportMean)}
		}
		zone := means.zones[c.endpoint.Zone]
		if zone == nil {
			zone = &reportMean{}
			means.zones[c.endpoint.Zone] = zone
		}
		zone.add(c, now)
		means.overall.add(c, now)
	}
	return means
}

// of returns the mean use of slots and the mean slowdown in a zone. Of a zone without reports
// little is assumed, so that a busy zone finds out whether it is idle.
func (m *reportMeans) of(zone string) (use, slowdown float64) {
	if z := m.zones[zone]; z != nil {
		return z.use / z.weight, z.slowdown / z.weight
	}
	return min(maxAssumedUse, m.overall.use/m.overall.weight), m.overall.slowdown / m.overall.weight
}

// hasReport reports whether the endpoint has reported its load recently.
func (s *endpointState) hasReport(now time.Time) bool {
	return !s.reportedAt.IsZero() && now.Sub(s.reportedAt) <= reportMaxAge
}

// loadSinceReport returns the load last reported, with what this host has sent and ended since.
func (s *endpointState) loadSinceReport() float64 {
	return float64(max(0, s.reportedLoad+s.inFlight-s.inFlightAtReport))
}

// slowdown returns the slowdown last reported, 1 if there was none.
func (s *endpointState) slowdown() float64 {
	if s.reportedSlowdown > 0 {
		return s.reportedSlowdown
	}
	return 1
}

// peerGroup names the endpoints of a service in a zone.
type peerGroup struct{ service, zone string }

// recordLoad records the load that an endpoint reports. The caller holds b.mu.
func (b *Balancer) recordLoad(e *catalog.Endpoint, s *endpointState, load *port.EndpointLoad) {
	s.reportedLoad, s.inFlightAtReport, s.reportedAt = load.Running+load.Waiting, s.inFlight, b.clock.Now()
	s.reportedWaiting, s.reportedSlowdown = load.Waiting > 0, load.Slowdown
	group, use := peerGroup{e.Service, e.Zone}, float64(s.reportedLoad)/float64(max(1, e.Slots))
	mean, known := b.meanUses[group]
	if !known {
		mean = use
	}
	b.meanUses[group] = mean + meanUseSmoothing*(use-mean)
	s.excess += excessSmoothing * (use - mean - s.excess)
}

// RecordRunTime records how long an exchange with a service took that succeeded.
func (b *Balancer) RecordRunTime(service string, took time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	old := b.runTimes[service]
	if old == 0 {
		b.runTimes[service] = took
		return
	}
	b.runTimes[service] = old + time.Duration(runTimeSmoothing*float64(took-old))
}

// runTime returns how long exchanges with a service last. The caller holds b.mu.
func (b *Balancer) runTime(service string) time.Duration {
	if t := b.runTimes[service]; t > 0 {
		return min(maxRunTime, max(minRunTime, t))
	}
	return defaultRunTime
}
