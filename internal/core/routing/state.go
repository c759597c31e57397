package routing

import (
	"sync"
	"time"

	"github.com/pimentorill/pimentorill/internal/core/release"
	"github.com/pimentorill/pimentorill/internal/port"
)

// reportMaxAge is the age at which an endpoint's load report has no weight
// left.
const reportMaxAge = 3 * time.Second

// Bounds of the pause that an endpoint gets after consecutive failures.
const (
	firstPause = 250 * time.Millisecond
	maxPause   = 10 * time.Second
)

// endpointState holds what this host knows about one endpoint's load and
// health. It is kept when the table is rebuilt. It is safe for concurrent use.
type endpointState struct {
	mu       sync.Mutex
	inFlight int
	// report is the last load report, reportedAt the time it was made, and
	// inFlightChange the change since then in the number of attempts that this host
	// has in flight.
	report              port.LoadReport
	reportedAt          time.Time
	inFlightChange      int
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
	// leavingChanged says that it began to leave, or is no longer leaving.
	leavingChanged bool
}

// recordEnd records the end of an attempt. reportTime is when its load report
// was made. A response can say that the endpoint is leaving, but not that it is
// no longer leaving: its report may be older than what is known.
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
	// fraction of the slots.
	load    float64
	cold    bool
	leaving bool
	paused  bool
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
	v := snapshot{cold: fresh && s.report.Cold, leaving: s.leaving}
	// After the pause, a single attempt probes whether the endpoint works
	// again.
	v.paused = now.Before(s.pausedUntil) || s.consecutiveFailures > 0 && s.inFlight > 0
	slots := e.Slots
	if v.cold {
		slots = e.ColdLimit
	}
	v.load = requests / float64(max(slots, 1))
	return v
}
