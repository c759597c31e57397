package gather

import (
	"cmp"
	"slices"
	"time"

	"github.com/pimentorill/pimentorill/internal/port"
)

// NextCalls returns the calls to start now, at most one for each endpoint. The
// caller must make each of them and pass its outcome to CompleteCall.
func (q *Queue) NextCalls(now time.Time) []*Call {
	available := q.refreshAvailableEndpoints(now)
	if len(available) == 0 || len(q.jobs) == 0 {
		return nil
	}
	q.classifyAndSortJobs(now)
	available = slices.DeleteFunc(available, func(e *endpoint) bool { return q.shouldWaitForStorage(now, e) })
	calls := make(map[*endpoint]*Call)
	for _, p := range q.jobs {
		if p.late && !p.boosted && p.startedAt.IsZero() && p.DeferStart != nil && p.DeferStart() {
			continue
		}
		caution := Unrestricted
		if p.Caution != nil {
			caution = p.Caution()
		}
		if caution == Held {
			continue
		}
		p.alone = caution == Alone
		for len(p.waiting) > 0 {
			e := q.chooseEndpoint(now, available, calls, p)
			if e == nil {
				break
			}
			q.fillCall(now, e, calls, p)
		}
	}
	q.observeCallFill(calls)
	out := make([]*Call, 0, len(calls))
	for _, e := range available {
		if c := calls[e]; c != nil {
			q.startCall(now, e, c)
			out = append(out, c)
		}
	}
	return out
}

// shouldWaitForStorage reports whether an available endpoint should wait for
// results to be freed before its next call. A call has the same fixed cost
// however few its pieces, so a short wait is better than a small call if enough
// pieces for a full call wait and the free storage is too small for it.
func (q *Queue) shouldWaitForStorage(now time.Time, e *endpoint) bool {
	if len(e.results) == 0 {
		return false
	}
	limits := q.service.StageLimits
	waitingPieces, waitingBytes := 0, int64(0)
	for _, p := range q.jobs {
		if !p.WaitForZone || p.Zone == "" || p.Zone == e.Zone {
			waitingPieces += len(p.waiting)
			waitingBytes += int64(len(p.waiting)) * p.ResultBytes
		}
	}
	if waitingPieces < limits.MaxBatch || waitingBytes == 0 {
		return false
	}
	// fitting is the number of pieces with results of average size that fit.
	fitting := int(float64(e.freeBytes()) / (float64(waitingBytes) / float64(waitingPieces)))
	if fitting >= limits.MaxBatch {
		return false
	}
	// maxWait is the longest allowed time since the endpoint's last call ended.
	maxWait := maxStorageWait
	if fitting > 0 {
		breakEven := time.Duration(limits.MaxBatch)*ExpectedCallTime(limits, fitting)/time.Duration(fitting) - ExpectedCallTime(limits, limits.MaxBatch)
		maxWait = min(maxWait, time.Duration(breakEvenFraction*float64(breakEven)))
	}
	return now.Sub(e.lastCallEndedAt) < maxWait
}

// classifyAndSortJobs updates late and boosted of all jobs and sorts the jobs:
// first those already started, then those that can meet their soft deadline and
// boosted late ones, then the other late jobs; within each class by sortTime.
// Late jobs without inputs are boosted only up to MaxLateShare of the dispatched
// pieces: without the limit, every request would wait until it is late in a long
// overload.
func (q *Queue) classifyAndSortJobs(now time.Time) {
	limits := q.service.StageLimits
	for _, p := range q.jobs {
		p.late = now.Add(ExpectedCallTime(limits, len(p.waiting))).After(p.SoftDeadline)
		nearDeadline := p.HardDeadline.Sub(now) < lateBoostWindow || !p.InputsExpireAt.IsZero() && p.InputsExpireAt.Sub(now) < lateBoostWindow
		p.boosted = p.late && nearDeadline && (!p.InputsExpireAt.IsZero() || q.dispatchedLate < MaxLateShare*q.dispatched)
	}
	slices.SortStableFunc(q.jobs, func(a, b *pendingJob) int {
		if c := cmp.Compare(a.schedulingClass(), b.schedulingClass()); c != 0 {
			return c
		}
		return a.sortTime().Compare(b.sortTime())
	})
}

// schedulingClass returns the first sort key of a job; smaller goes first.
func (p *pendingJob) schedulingClass() int {
	switch {
	case !p.startedAt.IsZero():
		return 0
	case !p.late || p.boosted:
		return 1
	default:
		return 2
	}
}

// sortTime returns the second sort key of a job: for a late job the earlier of its
// hard deadline and the expiry of its inputs, for others the soft deadline, put
// off by the priority.
func (p *pendingJob) sortTime() time.Time {
	if p.late && !p.InputsExpireAt.IsZero() && p.InputsExpireAt.Before(p.HardDeadline) {
		return p.InputsExpireAt
	}
	if p.late {
		return p.HardDeadline
	}
	return p.SoftDeadline.Add(time.Duration(p.Priority) * priorityStep)
}

// chooseEndpoint returns the available endpoint for the job's next pieces, or
// nil if none is suitable. It avoids slow endpoints and prefers the job's zone,
// then an endpoint that already has a call in this round and room in it for all
// waiting pieces, then the one with the most free storage. The scores are such
// that each criterion outweighs all that follow; free storage scores up to 1.
func (q *Queue) chooseEndpoint(now time.Time, available []*endpoint, calls map[*endpoint]*Call, p *pendingJob) *endpoint {
	var best *endpoint
	bestScore := 0.0
	for _, e := range available {
		n := 0
		if c := calls[e]; c != nil {
			if p.alone || c.alone {
				continue
			}
			n = len(c.Pieces)
		}
		batch := q.service.StageLimits.MaxBatch
		if n >= batch || n > 0 && batch-n < len(p.waiting) || !e.hasStorageFor(p, q.service.StageLimits) {
			continue
		}
		if !q.endsInTime(now, e, calls[e], p) {
			continue
		}
		if e.slowdown > slowdownThreshold && !p.late && now.Add(e.callTimeWithSlowdown(len(p.waiting))).After(p.SoftDeadline) {
			// A slow endpoint would make the job late; another may become available
			// in time.
			continue
		}
		if p.WaitForZone && p.Zone != "" && e.Zone != p.Zone && q.worthWaitingForZone(now, p) {
			continue
		}
		score := float64(e.freeBytes()) / float64(max(1, q.service.StageLimits.ResultCapacityBytes))
		if p.Zone == "" || e.Zone == p.Zone {
			score += 4
		}
		if n > 0 {
			score += 2
		}
		if e.slowdown > slowdownThreshold {
			score -= 8
		}
		if best == nil || score > bestScore {
			best, bestScore = e, score
		}
	}
	return best
}

// endsInTime reports whether a call with the job's next pieces ends by the hard deadline
// of the job and of those that have pieces in it. c is nil if there is no call yet. The
// results of a piece whose call ends later would be made for nobody.
func (q *Queue) endsInTime(now time.Time, e *endpoint, c *Call, p *pendingJob) bool {
	n, by := len(p.waiting), p.HardDeadline
	if c != nil {
		n += len(c.Pieces)
		if c.dueAt.Before(by) {
			by = c.dueAt
		}
	}
	return !now.Add(e.callTimeWithSlowdown(min(n, q.service.StageLimits.MaxBatch))).After(by)
}

// worthWaitingForZone reports whether an endpoint of the job's zone should
// become available early enough for the job to meet its soft deadline, or its
// hard deadline if it is late. Reading results across zones costs more than the
// wait.
func (q *Queue) worthWaitingForZone(now time.Time, p *pendingJob) bool {
	soonest := time.Duration(-1) // negative while no endpoint is found
	for _, e := range q.endpoints {
		if !e.usable || e.Zone != p.Zone || now.Before(e.backoffUntil) || e.slowdown > slowdownThreshold {
			continue
		}
		wait := max(0, e.busyUntil.Sub(now))
		if !e.hasStorageFor(p, q.service.StageLimits) {
			wait = max(wait, typicalStorageWait)
		}
		if soonest < 0 || wait < soonest {
			soonest = wait
		}
	}
	if soonest < 0 {
		return false
	}
	limit := p.SoftDeadline
	if p.late {
		limit = p.HardDeadline
	}
	return now.Add(soonest + ExpectedCallTime(q.service.StageLimits, len(p.waiting))).Before(limit)
}

// fillCall adds as many of the job's waiting pieces to the endpoint's call as
// fit, and reserves storage for their results. The endpoint's zone becomes the
// job's preferred zone, so that the results of its other pieces are stored there
// too.
func (q *Queue) fillCall(now time.Time, e *endpoint, calls map[*endpoint]*Call, p *pendingJob) {
	c := calls[e]
	if c == nil {
		c = &Call{Endpoint: e.Endpoint, alone: p.alone, dueAt: p.HardDeadline}
		calls[e] = c
	}
	if p.HardDeadline.Before(c.dueAt) {
		c.dueAt = p.HardDeadline
	}
	if p.startedAt.IsZero() {
		p.startedAt = now
		if p.Started != nil {
			p.Started()
		}
	}
	n := min(len(p.waiting), q.service.StageLimits.MaxBatch-len(c.Pieces))
	if p.ResultBytes > 0 {
		n = min(n, int(e.freeBytesFor(p)/p.ResultBytes))
	}
	for _, index := range p.waiting[:n] {
		p.attempts[index]++
		c.refs = append(c.refs, pieceRef{p, index})
		c.Pieces = append(c.Pieces, port.Piece{Request: p.Request, Stage: p.Stage, Index: index,
			Remaining: p.HardDeadline.Sub(now), Key: p.Key, Inputs: p.Inputs})
	}
	q.dispatched = q.dispatched*dispatchedDecay + float64(n)
	q.dispatchedLate *= dispatchedDecay
	if p.late {
		q.dispatchedLate += float64(n)
	}
	e.reservedBytes += int64(n) * p.ResultBytes
	p.inFlight += n
	p.waiting = p.waiting[n:]
	p.Zone = e.Zone
}

// startCall marks a filled call as in flight and sets its timeout.
func (q *Queue) startCall(now time.Time, e *endpoint, c *Call) {
	limits := q.service.StageLimits
	c.startedAt = now
	c.expectedTime = ExpectedCallTime(limits, len(c.Pieces))
	c.Timeout = time.Duration(callTimeoutFactor*max(1, e.slowdown)*float64(c.expectedTime)) + callTimeoutSlack
	e.activeCalls++
	e.busyUntil = now.Add(time.Duration(max(1, e.slowdown) * float64(c.expectedTime)))
}
