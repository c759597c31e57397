package routing

import (
	"sync"
	"time"

	"github.com/pimentorill/pimentorill/internal/core/release"
	"github.com/pimentorill/pimentorill/internal/port"
)

// reportMaxAge is the age from which on a load report is not used.
const reportMaxAge = 3 * time.Second

// An endpoint is paused after a failure. The pause is firstPause after the
// first failure and doubles with each consecutive one up to maxPause.
const (
	firstPause = 250 * time.Millisecond
	maxPause   = 10 * time.Second
)

// endpointState holds what this host knows about one endpoint's load and
// health. Update keeps it for the endpoints of the new release. It is safe for
// concurrent use.
type endpointState struct {
	mu sync.Mutex
	// inFlight is the number of attempts that this host has in flight.
	inFlight int
	// report is the last load report, reportedAt the time it was made, and
	// inFlightChange the change since then in the number of attempts that this
	// host has in flight.
	report         port.LoadReport
	reportedAt     time.Time
	inFlightChange int
	// leaving says that the endpoint is leaving, by its own report or that of
	// another host.
	leaving             bool
	consecutiveFailures int
	pausedUntil         time.Time
}

func (s *endpointState) recordStart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight++
	s.inFlightChange++
}

// reportChanges holds the changes that a load report revealed.
type reportChanges struct {
	// restarted says that the endpoint has restarted since its last report.
	restarted bool
	// leavingChanged says that the endpoint began to leave, or is no longer
	// leaving.
	leavingChanged bool
}

// recordEnd records the end of an attempt. load is the report in its response,
// or nil, and reportTime is when the report was made. failed says that the
// endpoint failed. A response can say that the endpoint is leaving, but not
// that it is no longer leaving: its report may be older than what is known.
func (s *endpointState) recordEnd(now, reportTime time.Time, load *port.LoadReport, failed bool) (changes reportChanges) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
	s.inFlightChange--
	if load != nil {
		wasLeaving := s.leaving
		changes = s.applyReportLocked(reportTime, *load)
		s.leaving = wasLeaving || load.Draining
		changes.leavingChanged = s.leaving != wasLeaving
	}
	if !failed {
		s.consecutiveFailures = 0
		s.pausedUntil = time.Time{}
		return changes
	}
	pause := min(firstPause<<min(s.consecutiveFailures, 10), maxPause)
	s.consecutiveFailures++
	s.pausedUntil = now.Add(pause)
	return changes
}

func (s *endpointState) recordReport(now time.Time, load port.LoadReport) reportChanges {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.applyReportLocked(now, load)
}

func (s *endpointState) setLeaving(leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = leaving
}

// applyReportLocked applies a report unless a newer one is known. The caller
// holds s.mu.
func (s *endpointState) applyReportLocked(reportTime time.Time, load port.LoadReport) reportChanges {
	if reportTime.Before(s.reportedAt) {
		return reportChanges{}
	}
	changes := reportChanges{
		restarted:      s.report.Incarnation != "" && s.report.Incarnation != load.Incarnation,
		leavingChanged: s.leaving != load.Draining,
	}
	s.report = load
	s.reportedAt = reportTime
	s.inFlightChange = 0
	s.leaving = load.Draining
	return changes
}

// snapshot is an endpoint's state at one point in time.
type snapshot struct {
	// load is the estimated number of requests running and queued, as a
	// fraction of the slots, or of the cold limit if the endpoint is cold.
	load float64
	// cold says that the last report, if still used, says that the endpoint is
	// cold.
	cold    bool
	leaving bool
	// paused says that the endpoint gets no work because of failures, unless no
	// others are left.
	paused bool
}

// snapshot returns the endpoint's state with its estimated load. The weight of
// a report decreases linearly with its age; this host's own attempts in flight
// always count in full.
func (s *endpointState) snapshot(now time.Time, e *release.Endpoint) snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	requests := float64(s.inFlight)
	age := now.Sub(s.reportedAt)
	fresh := age < reportMaxAge
	if fresh {
		weight := 1 - float64(age)/float64(reportMaxAge)
		reported := float64(max(s.report.Running+s.report.Waiting+s.inFlightChange, s.inFlight))
		requests += weight * (reported - requests)
	}
	out := snapshot{cold: fresh && s.report.Cold, leaving: s.leaving}
	// After the pause, a single attempt probes whether the endpoint works
	// again.
	out.paused = now.Before(s.pausedUntil) || s.consecutiveFailures > 0 && s.inFlight > 0
	slots := e.Slots
	if out.cold {
		slots = e.ColdLimit
	}
	out.load = requests / float64(max(slots, 1))
	return out
}
