package gather

import (
	"time"

	"github.com/pimentorill/pimentorill/internal/core/catalog"
)

// callFillWeight is the weight of the newest call in Queue.callFill.
const callFillWeight = 0.3

// WaitingPieces returns the number of pieces that wait for a call.
func (q *Queue) WaitingPieces() int {
	n := 0
	for _, p := range q.jobs {
		n += len(p.waiting)
	}
	return n
}

// ExpectedCallTime returns the expected duration of a call with n pieces at an
// endpoint at full speed.
func ExpectedCallTime(s *catalog.StageLimits, n int) time.Duration {
	return s.CallOverhead + time.Duration(n)*s.TimePerPiece
}

// sharedPieces returns the number of pieces that a call has at present: those of the jobs
// that wait or, with a backlog, as many as of late. Smaller calls for the sake of a job near
// its deadline would cost the jobs behind it more than they save.
func (q *Queue) sharedPieces() int {
	if !q.backlogged {
		return 0
	}
	return int(q.callFill * float64(q.service.StageLimits.MaxBatch))
}

// observeCallFill updates the mean fill of calls, from those of a round after which enough
// pieces wait for a full one: only then are calls as full as the storage allows.
func (q *Queue) observeCallFill(calls map[*endpoint]*Call) {
	batch := q.service.StageLimits.MaxBatch
	q.backlogged = q.WaitingPieces() >= batch
	if !q.backlogged {
		return
	}
	for _, c := range calls {
		q.callFill += callFillWeight * (float64(len(c.Pieces))/float64(batch) - q.callFill)
	}
}

// DrainTime returns how long it takes until endpoints are available for the next piece
// after the waiting ones of jobs of the given priority or more urgent ones and after
// further pieces, in calls as full as of late.
func (q *Queue) DrainTime(now time.Time, priority, further int) time.Duration {
	n := further
	for _, p := range q.jobs {
		if p.Priority <= priority {
			n += len(p.waiting)
		}
	}
	limits := q.service.StageLimits
	capacity := q.EffectiveEndpoints(now, "") * float64(limits.MaxConcurrentCalls)
	if capacity <= 0 {
		return 0
	}
	soonest, mean := q.callsLeft(now)
	if n == 0 {
		return soonest
	}
	fill := max(1, q.callFill*float64(limits.MaxBatch))
	callTime := float64(limits.CallOverhead) + fill*float64(limits.TimePerPiece)
	// Calls are whole: the last of these may end one call after the mean of the endpoints.
	return mean + time.Duration(callTime*(float64(n)/fill/capacity+1))
}

// callsLeft returns the time that the calls in flight are expected to last, the shortest
// of an endpoint and the mean over all; 0 for endpoints that may take another call.
func (q *Queue) callsLeft(now time.Time) (soonest, mean time.Duration) {
	n := 0
	for _, e := range q.endpoints {
		if !e.usable || now.Before(e.backoffUntil) {
			continue
		}
		left := time.Duration(0)
		if e.activeCalls >= e.limits.MaxConcurrentCalls {
			left = max(0, e.busyUntil.Sub(now))
		}
		if n == 0 || left < soonest {
			soonest = left
		}
		n++
		mean += left
	}
	return soonest, mean / time.Duration(max(1, n))
}
