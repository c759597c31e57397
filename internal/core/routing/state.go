package routing

import (
	"sync"
	"time"

	"github.com/pimentorill/pimentorill/internal/core/release"
	"github.com/pimentorill/pimentorill/internal/port"
)

// reportMaxAge is the age at which an endpoint's load report counts for nothing.
const reportMaxAge = 3 * time.Second

// The bounds of the pause that an endpoint gets after failures in a row.
const (
	pauseBase = 250 * time.Millisecond
	pauseMax  = 10 * time.Second
)

// endpointState is what this host knows of one endpoint's load. It lives on
// when the table is rebuilt. It is safe for concurrent use.
type endpointState struct {
	mu       sync.Mutex
	inFlight int
	// report is the last load report, reportedAt when it came, and sentSince
	// how many more attempts this host has under way than it had then.
	report      port.LoadReport
	reportedAt  time.Time
	sentSince   int
	leaving     bool
	failures    int
	pausedUntil time.Time
}

func (s *endpointState) recordStart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight++
	s.sentSince++
}

// news is what a report says that was not known.
type reportChanges struct {
	// restarted says that the endpoint has started anew since its last report.
	restarted bool
	// turned says that it began to leave, or to stay after all.
	leavingChanged bool
}

// end takes in how an attempt ended. made is when its load report was made.
// An answer can say that the endpoint leaves, but not that it stays after all:
// its report may be older than what is known.
func (s *endpointState) recordEnd(now, made time.Time, load *port.LoadReport, failed bool) (n reportChanges) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
	s.sentSince--
	if load != nil {
		known := s.leaving
		n = s.applyReportLocked(made, *load)
		s.leaving = known || load.Draining
		n.leavingChanged = s.leaving != known
	}
	if !failed {
		s.failures = 0
		s.pausedUntil = time.Time{}
		return n
	}
	pause := min(pauseBase<<min(s.failures, 10), pauseMax)
	s.failures++
	s.pausedUntil = now.Add(pause)
	return n
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

// applyReportLocked takes over a report unless a newer one is known.
func (s *endpointState) applyReportLocked(made time.Time, load port.LoadReport) reportChanges {
	if made.Before(s.reportedAt) {
		return reportChanges{}
	}
	n := reportChanges{
		restarted:      s.report.Incarnation != "" && s.report.Incarnation != load.Incarnation,
		leavingChanged: s.leaving != load.Draining,
	}
	s.report = load
	s.reportedAt = made
	s.sentSince = 0
	s.leaving = load.Draining
	return n
}

// view is an endpoint's load as it is judged at one moment.
type snapshot struct {
	// load is the estimated number of requests running and waiting, as a share
	// of the slots.
	load    float64
	cold    bool
	leaving bool
	paused  bool
}

// view returns the endpoint's estimated load. A report counts less the older
// it is; the host's own attempts under way always count.
func (s *endpointState) snapshot(now time.Time, e *release.Endpoint) snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	requests := float64(s.inFlight)
	age := now.Sub(s.reportedAt)
	fresh := age < reportMaxAge
	if fresh {
		weight := 1 - float64(age)/float64(reportMaxAge)
		reported := float64(max(s.report.Running+s.report.Waiting+s.sentSince, s.inFlight))
		requests += weight * (reported - requests)
	}
	v := snapshot{cold: fresh && s.report.Cold, leaving: s.leaving}
	// LastSequence the pause one attempt shows whether the endpoint answers again.
	v.paused = now.Before(s.pausedUntil) || s.failures > 0 && s.inFlight > 0
	slots := e.Slots
	if v.cold {
		slots = e.ColdLimit
	}
	v.load = requests / float64(max(slots, 1))
	return v
}
