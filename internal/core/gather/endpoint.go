package gather

import (
	"cmp"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pimentorill/pimentorill/internal/core/catalog"
	"github.com/pimentorill/pimentorill/internal/port"
)

// endpoint is one endpoint of the service, with its room.
type endpoint struct {
	*catalog.Endpoint
	limits      *catalog.StageLimits
	usable      bool
	activeCalls int
	// reserved is the room of the results that calls under way will make.
	reservedBytes int64
	// held is the room of the results that lie there.
	results      map[string]storedResult
	storedBytes  int64
	backoffUntil time.Time
	backoff      time.Duration
	idleSince    time.Time
	// busyUntil is when the newest call should end.
	busyUntil time.Time
	// foreign is the room that results of other keepers take; it was untrackedAtUpdate
	// at untrackedUpdatedAt.
	untrackedBytes, untrackedAtUpdate int64
	untrackedUpdatedAt                time.Time
	// measuring is set while the endpoint is asked for its room, measured once it
	// has told.
	measuring, measured bool
	// ratio is how long calls took lately against what they should.
	slowdown float64
}

// holding is the room that one result, or a lost one, takes.
type storedResult struct {
	bytes     int64
	expiresAt time.Time
}

// SetEndpoints takes in the endpoints that may be called. Those that are not
// among them get no new calls; their results are still accounted for.
func (q *Queue) SetEndpoints(list []*catalog.Endpoint) {
	for _, e := range q.endpoints {
		e.usable = false
	}
	for _, e := range list {
		known := q.endpoints[e.Lifetime()]
		if known == nil {
			known = &endpoint{results: make(map[string]storedResult)}
			q.endpoints[e.Lifetime()] = known
		}
		known.Endpoint, known.limits, known.usable = e, q.service.Stages, true
	}
	for l, e := range q.endpoints {
		if !e.usable && e.activeCalls == 0 && len(e.results) == 0 {
			delete(q.endpoints, l)
		}
	}
}

// free returns the endpoints that may be called now, in a fixed order.
func (q *Queue) availableEndpoints(now time.Time) []*endpoint {
	var free []*endpoint
	for _, e := range q.endpoints {
		e.expireResults(now)
		e.decayUntracked(now)
		if e.usable && e.activeCalls < e.limits.Concurrent && !now.Before(e.backoffUntil) {
			free = append(free, e)
		}
	}
	slices.SortFunc(free, func(a, b *endpoint) int { return cmp.Compare(a.ID, b.ID) })
	return free
}

// lapse gives up the results whose life is over.
func (e *endpoint) expireResults(now time.Time) {
	for handle, h := range e.results {
		if !now.Before(h.expiresAt) {
			e.removeResult(handle)
		}
	}
}

func (e *endpoint) removeResult(handle string) bool {
	h, ok := e.results[handle]
	if ok {
		e.storedBytes -= h.bytes
		delete(e.results, handle)
	}
	return ok
}

// FreeBytes returns the room for results at an endpoint.
func (q *Queue) FreeBytes(of *catalog.Endpoint) int64 {
	if e := q.endpoints[of.Lifetime()]; e != nil && e.limits != nil {
		return e.freeBytes()
	}
	return 0
}

func (e *endpoint) freeBytes() int64 {
	return e.limits.RoomBytes - e.storedBytes - e.reservedBytes - e.untrackedBytes
}

// fits reports whether all pieces of the job that are to be made have room, so
// that no half of a job waits for the other while it holds room. A job larger
// than the whole room takes what there is.
func (e *endpoint) hasStorageFor(p *pendingJob, limits *catalog.StageLimits) bool {
	need := int64(min(len(p.waiting), limits.Batch)) * p.ResultBytes
	if need > limits.RoomBytes {
		return e.freeBytes() >= max(p.ResultBytes, limits.RoomBytes/2)
	}
	return e.freeBytes() >= need
}

// settle takes in what a call's end says of its endpoint.
func (q *Queue) recordCallEnd(now time.Time, e *endpoint, c *Call, results []port.PieceResult, err error, notRun bool) {
	e.activeCalls--
	e.idleSince = now
	for _, r := range c.refs {
		e.reservedBytes -= r.job.ResultBytes
	}
	until := now.Add(q.service.Stages.ResultLife)
	if err != nil {
		e.backoff = min(maxBackoff, max(minBackoff, 2*e.backoff))
		e.backoffUntil = now.Add(e.backoff)
		if !notRun {
			// The results may have been made; nobody knows their handles.
			for i, r := range c.refs {
				e.addResult(unknownHandlePrefix+r.job.ID+"/"+c.startedAt.String()+"/"+strconv.Itoa(i), r.job.ResultBytes, until)
			}
			e.measured = false
			e.observeCallTime(now.Sub(c.startedAt), c.expectedTime)
		}
		return
	}
	e.observeCallTime(now.Sub(c.startedAt), c.expectedTime)
	e.backoff = 0
	noRoom := false
	for i, r := range c.refs {
		if h := results[i].Handle; h != "" {
			e.addResult(h, r.job.ResultBytes, until)
		}
		noRoom = noRoom || results[i].Failure == port.PieceNoRoom
	}
	if noRoom {
		// Another keeper's results are there, or some whose freeing was lost.
		e.setUntracked(now, max(0, e.limits.RoomBytes-e.storedBytes-e.reservedBytes))
		e.measured = false
	}
}

// unknownHandlePrefix begins the names of results whose handles nobody knows.
const unknownHandlePrefix = "lost/"

// EndpointsToMeasure returns the endpoints whose room is not known for certain, once
// each: call Measured for them.
func (q *Queue) EndpointsToMeasure() []*catalog.Endpoint {
	var list []*catalog.Endpoint
	for _, e := range q.endpoints {
		if e.usable && !e.measured && !e.measuring {
			e.measuring = true
			list = append(list, e.Endpoint)
		}
	}
	return list
}

// ApplyMeasurement takes in the room for results that an endpoint says it has; below 0
// if it does not say. It reports whether to ask again after a while.
func (q *Queue) ApplyMeasurement(now time.Time, of *catalog.Endpoint, free int64, answered bool) bool {
	e := q.endpoints[of.Lifetime()]
	if e == nil {
		return false
	}
	if !e.usable || answered && free < 0 {
		e.measuring, e.measured = false, e.usable
		return false
	}
	if !answered {
		return true
	}
	e.reconcileUntracked(now, free)
	e.measuring = e.untrackedBytes+e.unknownHandleBytes() > 0
	e.measured = !e.measuring
	return e.measuring
}

// reportStepBytes is the step in which endpoints tell their room.
const reportStepBytes = 1e6

// correct brings the room that nobody accounts for within what a report of the
// free room allows.
func (e *endpoint) reconcileUntracked(now time.Time, free int64) {
	lost := e.unknownHandleBytes()
	taken := e.limits.RoomBytes - (e.storedBytes - lost) - e.reservedBytes
	least, most := max(0, taken-free-reportStepBytes), max(0, taken-free+reportStepBytes/2)
	switch known := lost + e.untrackedBytes; {
	case known > most:
		for handle := range e.results {
			if strings.HasPrefix(handle, unknownHandlePrefix) {
				e.removeResult(handle)
			}
		}
		e.setUntracked(now, least)
	case known < least:
		e.setUntracked(now, least-lost)
	}
}

// unknownHandleBytes returns the room of results whose handles nobody knows.
func (e *endpoint) unknownHandleBytes() int64 {
	sum := int64(0)
	for handle, h := range e.results {
		if strings.HasPrefix(handle, unknownHandlePrefix) {
			sum += h.bytes
		}
	}
	return sum
}

// EndpointOfResult returns the endpoint that a result lies with, nil if it is not known.
func (q *Queue) EndpointOfResult(handle string) *catalog.Endpoint {
	for _, e := range q.endpoints {
		if _, ok := e.results[handle]; ok {
			return e.Endpoint
		}
	}
	return nil
}

// FailJobsWithLostInputs ends the jobs that need results that are lost.
func (q *Queue) FailJobsWithLostInputs(lost func(handle string) bool) []FinishedJob {
	var out []FinishedJob
	for _, p := range slices.Clone(q.jobs) {
		if slices.ContainsFunc(p.Inputs, lost) {
			out = append(out, q.fail(p, port.PieceNoInput))
		}
	}
	return out
}

// setUntracked notes how much room nobody here accounts for.
func (e *endpoint) setUntracked(now time.Time, bytes int64) {
	e.untrackedBytes, e.untrackedAtUpdate, e.untrackedUpdatedAt = bytes, bytes, now
}

// fade lets go of that room with time, between reports and where they are too
// coarse to tell.
func (e *endpoint) decayUntracked(now time.Time) {
	e.untrackedBytes = int64(math.Exp2(-float64(now.Sub(e.untrackedUpdatedAt))/float64(untrackedHalfLife)) * float64(e.untrackedAtUpdate))
}

// untrackedHalfLife is the time in which half of other keepers' results are thought
// to be freed: about two calls.
const untrackedHalfLife = 600 * time.Millisecond

func (e *endpoint) addResult(handle string, bytes int64, until time.Time) {
	e.removeResult(handle)
	e.results[handle] = storedResult{bytes, until}
	e.storedBytes += bytes
}

func (e *endpoint) observeCallTime(took, expected time.Duration) {
	ratio := float64(took) / float64(max(1, expected))
	if e.slowdown == 0 {
		e.slowdown = ratio
		return
	}
	e.slowdown += slowdownWeight * (ratio - e.slowdown)
}

// RemoveResults gives up results and returns their handles by endpoint, those of
// endpoints that are not known left out.
func (q *Queue) RemoveResults(handles []string) map[*catalog.Endpoint][]string {
	out := make(map[*catalog.Endpoint][]string)
	for _, h := range handles {
		for _, e := range q.endpoints {
			if e.removeResult(h) {
				out[e.Endpoint] = append(out[e.Endpoint], h)
				break
			}
		}
	}
	return out
}

// expectedCallTime returns how long a call with n pieces takes at the endpoint.
func (e *endpoint) expectedCallTime(n int) time.Duration {
	return time.Duration(max(1, e.slowdown) * float64(ExpectedCallTime(e.limits, n)))
}

// EffectiveEndpoints returns how many endpoints at full speed those of a zone are worth, of
// all zones if it is empty.
func (q *Queue) EffectiveEndpoints(now time.Time, zone string) float64 {
	sum := 0.0
	for _, e := range q.endpoints {
		if e.usable && !now.Before(e.backoffUntil) && (zone == "" || e.Zone == zone) {
			sum += 1 / max(1, e.slowdown)
		}
	}
	return sum
}

// Zones returns the zones that have endpoints to call, in no order.
func (q *Queue) Zones() []string {
	var zones []string
	for _, e := range q.endpoints {
		if e.usable && !slices.Contains(zones, e.Zone) {
			zones = append(zones, e.Zone)
		}
	}
	return zones
}

// UsableEndpoints returns the number of endpoints that may be called.
func (q *Queue) UsableEndpoints() int {
	n := 0
	for _, e := range q.endpoints {
		if e.usable {
			n++
		}
	}
	return n
}
