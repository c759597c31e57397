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

// endpoint is one endpoint of the service with its load and its result storage.
type endpoint struct {
	*catalog.Endpoint
	// limits are the service's limits at the last SetEndpoints with this endpoint.
	limits *catalog.StageLimits
	// usable is set while the endpoint is in the set of SetEndpoints.
	usable bool
	// activeCalls is the number of calls in flight.
	activeCalls int
	// marginBytes is the storage that is kept free because results are larger or smaller
	// than their approximate size; refreshAvailableEndpoints updates it.
	marginBytes int64
	// reservedBytes is the storage reserved for the results of calls in flight.
	reservedBytes int64
	// results holds the results stored at the endpoint, by handle, including
	// placeholders for results whose handles are unknown. storedBytes is their
	// total size.
	results     map[string]storedResult
	storedBytes int64
	// The endpoint gets no calls before backoffUntil. backoff is the newest
	// backoff time, 0 after a successful call.
	backoffUntil time.Time
	backoff      time.Duration
	// lastCallEndedAt is zero before the end of the first call.
	lastCallEndedAt time.Time
	// busyUntil is the expected end of the call started last.
	busyUntil time.Time
	// untrackedBytes estimates the storage taken by results that are not in
	// results, such as those of another coordinator. The estimate decays from
	// untrackedBytesAtUpdate, its value at untrackedUpdatedAt, by half in each
	// untrackedHalfLife.
	untrackedBytes, untrackedBytesAtUpdate int64
	untrackedUpdatedAt                     time.Time
	untrackedHalfLife                      time.Duration
	// outOfStorageAt is when a piece last found no storage; zero if none has.
	outOfStorageAt time.Time
	// measurementRunning is set while the caller repeatedly asks the endpoint for
	// its free storage. measurementDone is set once a report leaves no placeholders
	// and no untracked bytes, or the endpoint doesn't report its free storage; it is
	// cleared when the free storage becomes uncertain again.
	measurementRunning, measurementDone bool
	// measured is set once the endpoint has responded to a measurement; awaitedSince is
	// when calls began to wait for that, zero before.
	measured     bool
	awaitedSince time.Time
	// slowdown is the moving average of the ratio of actual to expected call time:
	// 2 means that calls take twice as long as expected, 0 that none has ended.
	slowdown float64
}

// SetEndpoints replaces the set of endpoints that may be called. An endpoint
// that is no longer in the set gets no new calls, but stays known until its
// calls have ended and its results are freed.
func (q *Queue) SetEndpoints(endpoints []*catalog.Endpoint) {
	for _, e := range q.endpoints {
		e.usable = false
	}
	for _, e := range endpoints {
		state := q.endpoints[e.Incarnation()]
		if state == nil {
			state = &endpoint{results: make(map[string]storedResult), untrackedHalfLife: minUntrackedHalfLife}
			q.endpoints[e.Incarnation()] = state
		}
		state.Endpoint, state.limits, state.usable = e, q.service.StageLimits, true
	}
	for incarnation, e := range q.endpoints {
		if !e.usable && e.activeCalls == 0 && len(e.results) == 0 {
			delete(q.endpoints, incarnation)
		}
	}
}

// refreshAvailableEndpoints expires the results and decays the storage estimate
// of all endpoints, and returns those that can take a call now, sorted by ID.
func (q *Queue) refreshAvailableEndpoints(now time.Time) []*endpoint {
	var available []*endpoint
	for _, e := range q.endpoints {
		e.expireResults(now)
		e.decayUntracked(now)
		if e.limits != nil {
			e.marginBytes = int64(q.storageMargin * float64(e.limits.ResultCapacityBytes))
		}
		if e.usable && e.activeCalls < e.limits.MaxConcurrentCalls && !now.Before(e.backoffUntil) && !e.awaitsMeasurement(now) && q.rateLimits.Allows(e.Endpoint) {
			available = append(available, e)
		}
	}
	slices.SortFunc(available, func(a, b *endpoint) int { return cmp.Compare(a.ID, b.ID) })
	return available
}

// awaitsMeasurement reports whether calls should wait for the first report of the free
// storage: a coordinator that is new to the endpoint does not know what others store there.
func (e *endpoint) awaitsMeasurement(now time.Time) bool {
	if e.measured || !e.measurementRunning {
		return false
	}
	if e.awaitedSince.IsZero() {
		e.awaitedSince = now
	}
	return now.Sub(e.awaitedSince) < maxMeasurementWait
}

// FreeBytes returns the free result storage of an endpoint in bytes, 0 if the
// endpoint is unknown. It is negative if the estimates exceed the capacity.
func (q *Queue) FreeBytes(target *catalog.Endpoint) int64 {
	if e := q.endpoints[target.Incarnation()]; e != nil && e.limits != nil {
		return e.freeBytes()
	}
	return 0
}

func (e *endpoint) freeBytes() int64 {
	return e.limits.ResultCapacityBytes - e.marginBytes - e.storedBytes - e.reservedBytes - e.untrackedBytes
}

// freeBytesFor returns the free result storage for the results of a job. Results that fit
// only into all of it may use the margin.
func (e *endpoint) freeBytesFor(p *pendingJob) int64 {
	if p.ResultBytes > e.limits.ResultCapacityBytes-e.marginBytes {
		return e.freeBytes() + e.marginBytes
	}
	return e.freeBytes()
}

// hasStorageFor reports whether the results of all waiting pieces of the job fit,
// up to one batch, so that no part of a job holds storage while it waits for
// the rest. If that is more than the endpoint's capacity, half of the capacity
// and at least one result must be free.
func (e *endpoint) hasStorageFor(p *pendingJob, limits *catalog.StageLimits) bool {
	need := int64(min(len(p.waiting), limits.MaxBatch)) * p.ResultBytes
	if usable := limits.ResultCapacityBytes - e.marginBytes; need > usable {
		return e.freeBytesFor(p) >= max(p.ResultBytes, usable/2)
	}
	return e.freeBytesFor(p) >= need
}

// recordCallEnd updates the endpoint's load, storage, backoff and slowdown
// after a call. The arguments are those of CompleteCall.
func (q *Queue) recordCallEnd(now time.Time, e *endpoint, c *Call, results []port.PieceResult, err error, notRun bool) {
	e.activeCalls--
	e.lastCallEndedAt = now
	for _, r := range c.refs {
		e.reservedBytes -= r.job.ResultBytes
	}
	expiresAt := now.Add(q.service.StageLimits.ResultTTL)
	if err != nil {
		e.backoff = min(maxBackoff, max(minBackoff, 2*e.backoff))
		e.backoffUntil = now.Add(e.backoff)
		if !notRun {
			// The pieces may have run, but the handles of their results are unknown:
			// placeholders keep the storage reserved.
			for i, r := range c.refs {
				e.addResult(placeholderPrefix+r.job.ID+"/"+c.startedAt.String()+"/"+strconv.Itoa(i), r.job.ResultBytes, expiresAt)
			}
			e.measurementDone = false
			e.observeCallTime(now.Sub(c.startedAt), c.expectedTime)
		}
		return
	}
	e.observeCallTime(now.Sub(c.startedAt), c.expectedTime)
	outOfStorage, hasResults := false, false
	for i, r := range c.refs {
		if h := results[i].Handle; h != "" {
			e.addResult(h, r.job.ResultBytes, expiresAt)
			hasResults = true
		}
		outOfStorage = outOfStorage || results[i].Failure == port.PieceNoSpace
	}
	e.backoff = 0
	q.observeStorage(results)
	if outOfStorage {
		// Results of another coordinator, or results whose free request was lost,
		// take up the storage. Others go on storing results if that happens again soon.
		if !e.outOfStorageAt.IsZero() && now.Sub(e.outOfStorageAt) < q.service.StageLimits.ResultTTL {
			e.untrackedHalfLife = min(2*e.untrackedHalfLife, max(minUntrackedHalfLife, q.service.StageLimits.ResultTTL/2))
		} else {
			e.untrackedHalfLife = minUntrackedHalfLife
		}
		e.outOfStorageAt = now
		if !hasResults {
			e.backoffUntil = now.Add(e.untrackedHalfLife)
		}
		e.setUntracked(now, max(0, e.limits.ResultCapacityBytes-e.storedBytes-e.reservedBytes))
		e.measurementDone = false
	}
}

// placeholderPrefix starts the keys in endpoint.results of results whose handles
// are unknown. They are never sent to an endpoint.
const placeholderPrefix = "lost/"

// StartMeasurements returns the endpoints whose free storage is uncertain and
// marks their measurement as running. The caller asks each endpoint for its free
// storage and passes the outcome to ApplyMeasurement until that returns false.
func (q *Queue) StartMeasurements() []*catalog.Endpoint {
	var endpoints []*catalog.Endpoint
	for _, e := range q.endpoints {
		if e.usable && !e.measurementDone && !e.measurementRunning {
			e.measurementRunning = true
			endpoints = append(endpoints, e.Endpoint)
		}
	}
	return endpoints
}

// ApplyMeasurement applies an endpoint's report of its free storage in bytes; a
// negative value means that the endpoint doesn't report it. responded is false
// if the endpoint did not respond. It reports whether to ask the endpoint again
// later: if it did not respond, or while placeholders or untracked bytes remain.
func (q *Queue) ApplyMeasurement(now time.Time, target *catalog.Endpoint, freeBytes int64, responded bool) bool {
	e := q.endpoints[target.Incarnation()]
	if e == nil {
		return false
	}
	if !e.usable || responded && freeBytes < 0 {
		e.measured = e.measured || responded
		e.measurementRunning, e.measurementDone = false, e.usable
		return false
	}
	if !responded {
		return true
	}
	e.measured = true
	e.reconcileUntracked(now, freeBytes)
	e.measurementRunning = e.untrackedBytes+e.placeholderBytes() > 0
	e.measurementDone = !e.measurementRunning
	return e.measurementRunning
}

// reportStepBytes is the granularity in which endpoints report their free
// storage: whole MB.
const reportStepBytes = 1e6

// reconcileUntracked adjusts the unverified bytes, which are those of the
// placeholders and the untracked bytes, to the range that a report of the free
// storage allows. The actual free storage is taken to be at most half a step less
// or a whole step more than reported, which covers reports that are rounded down
// and reports that are rounded to the nearest step.
func (e *endpoint) reconcileUntracked(now time.Time, freeBytes int64) {
	placeholder := e.placeholderBytes()
	// verifiedFree is what would be free without unverified bytes.
	verifiedFree := e.limits.ResultCapacityBytes - (e.storedBytes - placeholder) - e.reservedBytes
	minUnverified, maxUnverified := max(0, verifiedFree-freeBytes-reportStepBytes), max(0, verifiedFree-freeBytes+reportStepBytes/2)
	switch unverified := placeholder + e.untrackedBytes; {
	case unverified > maxUnverified:
		// At least some of the assumed results don't exist.
		for handle := range e.results {
			if strings.HasPrefix(handle, placeholderPrefix) {
				e.removeResult(handle)
			}
		}
		e.setUntracked(now, minUnverified)
	case unverified < minUnverified:
		// The endpoint stores results that the queue has no record of.
		e.setUntracked(now, minUnverified-placeholder)
	}
}

// placeholderBytes returns the total size of the placeholders, in bytes.
func (e *endpoint) placeholderBytes() int64 {
	sum := int64(0)
	for handle, result := range e.results {
		if strings.HasPrefix(handle, placeholderPrefix) {
			sum += result.bytes
		}
	}
	return sum
}

// FailJobsWithLostInputs fails the jobs that have an input for which lost
// returns true, and returns them.
func (q *Queue) FailJobsWithLostInputs(lost func(handle string) bool) []FinishedJob {
	var out []FinishedJob
	for _, p := range slices.Clone(q.jobs) {
		if slices.ContainsFunc(p.Inputs, lost) {
			out = append(out, q.fail(p, port.PieceInputMissing))
		}
	}
	return out
}

// setUntracked sets the estimate of the storage taken by untracked results.
func (e *endpoint) setUntracked(now time.Time, bytes int64) {
	e.untrackedBytes, e.untrackedBytesAtUpdate, e.untrackedUpdatedAt = bytes, bytes, now
}

// decayUntracked updates the estimate of the untracked bytes to the given time.
// It decays because reports are too infrequent and coarse to follow the actual
// value.
func (e *endpoint) decayUntracked(now time.Time) {
	e.untrackedBytes = int64(math.Exp2(-float64(now.Sub(e.untrackedUpdatedAt))/float64(max(1, e.untrackedHalfLife))) * float64(e.untrackedBytesAtUpdate))
}

const (
	// minUntrackedHalfLife is the time after which half of the untracked results are
	// assumed to be freed: about two calls of the stage that reads them, each of
	// typicalStorageWait. It doubles each time that pieces find no storage again, up to
	// half of the time after which results expire.
	minUntrackedHalfLife = 600 * time.Millisecond
	// maxMeasurementWait bounds how long calls wait for the first report of an endpoint's
	// free storage.
	maxMeasurementWait = 300 * time.Millisecond
)

// observeCallTime updates the slowdown. expected is the call time of an endpoint
// at full speed.
func (e *endpoint) observeCallTime(took, expected time.Duration) {
	ratio := float64(took) / float64(max(1, expected))
	if e.slowdown == 0 {
		e.slowdown = ratio
		return
	}
	e.slowdown += slowdownWeight * (ratio - e.slowdown)
}

// callTimeWithSlowdown returns the expected duration of a call with n pieces,
// multiplied by the endpoint's slowdown if that is above 1.
func (e *endpoint) callTimeWithSlowdown(n int) time.Duration {
	return time.Duration(max(1, e.slowdown) * float64(ExpectedCallTime(e.limits, n)))
}

// EffectiveEndpoints returns the capacity of a zone as a number of endpoints at
// full speed: one with slowdown 2 counts as half, one in backoff as none, and one with
// a rate limit for no more than the full calls that the limit allows. An empty zone
// means all zones.
func (q *Queue) EffectiveEndpoints(now time.Time, zone string) float64 {
	sum := 0.0
	for _, e := range q.endpoints {
		if e.usable && !now.Before(e.backoffUntil) && (zone == "" || e.Zone == zone) {
			capacity := 1 / max(1, e.slowdown)
			if perSecond, limited := q.rateLimits.Limit(e.Endpoint); limited {
				fullCall := ExpectedCallTime(e.limits, e.limits.MaxBatch)
				capacity = min(capacity, perSecond*fullCall.Seconds()/float64(e.limits.MaxConcurrentCalls))
			}
			sum += capacity
		}
	}
	return sum
}

// Zones returns the zones that have usable endpoints, in no particular order.
func (q *Queue) Zones() []string {
	var zones []string
	for _, e := range q.endpoints {
		if e.usable && !slices.Contains(zones, e.Zone) {
			zones = append(zones, e.Zone)
		}
	}
	return zones
}

// UsableEndpoints returns the endpoints that may be called, in no particular order.
func (q *Queue) UsableEndpoints() []*catalog.Endpoint {
	var list []*catalog.Endpoint
	for _, e := range q.endpoints {
		if e.usable {
			list = append(list, e.Endpoint)
		}
	}
	return list
}

// UsableEndpointCount returns the number of endpoints that may be called.
func (q *Queue) UsableEndpointCount() int {
	n := 0
	for _, e := range q.endpoints {
		if e.usable {
			n++
		}
	}
	return n
}
