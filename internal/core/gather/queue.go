// Package gather brings the pieces of many requests together into full calls
// of a stage service. One host keeps the queue of a service; it alone knows
// which endpoint is free and how much room for results each has left.
//
// A job is all pieces of one stage of one request. It waits until an endpoint
// is free that has room for its results; its pieces may take several calls. A
// result holds room from the call on until it is freed or its life is over.
package gather

import (
	"slices"
	"time"

	"github.com/pimentorill/pimentorill/internal/core/catalog"
	"github.com/pimentorill/pimentorill/internal/port"
)

const (
	// maxPieceAttempts bounds how often a piece is given to an endpoint.
	maxPieceAttempts = 4
	// callTimeoutSlack and callTimeoutFactor bound a call, against the time that it should take.
	callTimeoutSlack  = 250 * time.Millisecond
	callTimeoutFactor = 2.0
	// MaxLateShare is the share of the endpoints' time that late jobs may take from
	// those in time.
	MaxLateShare = 0.1
	// dispatchedDecay is the part of the count of pieces that is kept at each job.
	dispatchedDecay = 0.98
	// lateBoostWindow is how long before its last moment a job that missed its due
	// time gets its turn after all: about three calls.
	lateBoostWindow = time.Second
	// minBackoff and maxBackoff bound how long an endpoint whose call failed gets no
	// other; the time doubles with each failure.
	minBackoff = 500 * time.Millisecond
	maxBackoff = 4 * time.Second
	// priorityStep is the time by which a job is put behind those that are a step
	// more urgent.
	priorityStep = 800 * time.Millisecond
	// slowdownThreshold is the part by which an endpoint's calls take longer than they
	// should for it to be taken only when no other is free.
	slowdownThreshold = 2.0
	// typicalStorageWait is how long it mostly takes until results make room: the next
	// stage's call.
	typicalStorageWait = 300 * time.Millisecond
	// maxStorageWait bounds the wait of a free endpoint for room.
	maxStorageWait = 150 * time.Millisecond
	// breakEvenFraction is the part of the wait at which a full call would only be as
	// good as the call that can be made now.
	breakEvenFraction = 0.5
	// slowdownWeight is the weight of the newest call in that ratio.
	slowdownWeight = 0.5
)

// Job is all pieces of one stage of one request.
type Job struct {
	ID      string
	Request string
	Stage   int
	Pieces  int
	Key     string
	Inputs  []string
	// ResultBytes is the size of one piece's result.
	ResultBytes int64
	// SoftDeadline is when the job should be done for the request to be in time, Last
	// when it must be done for the request to be answered at all.
	SoftDeadline time.Time
	HardDeadline time.Time
	Priority     int
	// Zone is where the results are wanted; empty for anywhere.
	Zone string
	// WaitForZone says that it is worth a wait to have them there.
	WaitForZone bool
	// InputsExpireAt is when the first of the inputs is lost; zero without inputs.
	InputsExpireAt time.Time
	// DeferStart reports whether the job should not be begun while it is late anyway;
	// nil for never.
	DeferStart func() bool
}

// FinishedJob is the end of a job.
type FinishedJob struct {
	Job     *Job
	Handles []string
	// Zone is where the results lie; empty if in several zones.
	Zone string
	// Failure is set if the job failed.
	Failure port.PieceFailure
	// QueueWait is how long the first piece waited for its call.
	QueueWait time.Duration
}

// Call is one call to make: Done must follow.
type Call struct {
	Endpoint *catalog.Endpoint
	Pieces   []port.Piece
	// Timeout bounds the call.
	Timeout time.Duration

	refs         []pieceRef
	startedAt    time.Time
	expectedTime time.Duration
}

// Elapsed returns how long the call has taken.
func (c *Call) Elapsed(now time.Time) time.Duration { return now.Sub(c.startedAt) }

// Requests returns the requests that the call has pieces of.
func (c *Call) Requests() []string {
	var ids []string
	for _, p := range c.Pieces {
		if len(ids) == 0 || ids[len(ids)-1] != p.Request {
			ids = append(ids, p.Request)
		}
	}
	return ids
}

type pieceRef struct {
	job   *pendingJob
	index int
}

// pending is a job in the queue.
type pendingJob struct {
	Job
	addedAt   time.Time
	startedAt time.Time
	handles   []string
	zones     []string
	attempts  []int
	waiting   []int
	inFlight  int
	abandoned bool
	// late is set once the due time can't be met, pressed if it gets its turn
	// all the same.
	late, boosted bool
}

// Queue holds the jobs of one service. It is pure and not safe for concurrent use.
type Queue struct {
	service   *catalog.Service
	endpoints map[catalog.Lifetime]*endpoint
	jobs      []*pendingJob
	// served and dispatchedLate count the pieces given to endpoints lately.
	dispatched, dispatchedLate float64
	jobsByID                   map[string]*pendingJob
}

// New returns an empty queue of a stage service.
func New(service *catalog.Service) *Queue {
	return &Queue{service: service, endpoints: make(map[catalog.Lifetime]*endpoint), jobsByID: make(map[string]*pendingJob)}
}

// SetService takes in the service's newest limits.
func (q *Queue) SetService(s *catalog.Service) { q.service = s }

// WaitingPieces returns the number of pieces that wait for a call.
func (q *Queue) WaitingPieces() int {
	n := 0
	for _, p := range q.jobs {
		n += len(p.waiting)
	}
	return n
}

// Started reports whether pieces of a job have been given to an endpoint.
func (q *Queue) Started(id string) bool {
	p := q.jobsByID[id]
	return p != nil && !p.startedAt.IsZero()
}

// Len returns the number of jobs that are not done.
func (q *Queue) Len() int { return len(q.jobs) }

// ExpectedCallTime returns how long a call with n pieces should take.
func ExpectedCallTime(s *catalog.StageLimits, n int) time.Duration {
	return s.CallTime + time.Duration(n)*s.PieceTime
}

// Limits returns the service's limits.
func (q *Queue) Limits() *catalog.StageLimits { return q.service.Stages }

// Add queues a job.
func (q *Queue) Add(now time.Time, j Job) {
	p := &pendingJob{Job: j, addedAt: now, handles: make([]string, j.Pieces), zones: make([]string, j.Pieces), attempts: make([]int, j.Pieces)}
	for i := range j.Pieces {
		p.waiting = append(p.waiting, i)
	}
	q.jobs = append(q.jobs, p)
	q.jobsByID[j.ID] = p
}

// Cancel drops a job and returns the handles of its results so far.
func (q *Queue) Cancel(id string) []string {
	p := q.jobsByID[id]
	if p == nil {
		return nil
	}
	p.abandoned = true
	q.remove(p)
	return presentHandles(p.handles)
}

func (q *Queue) remove(p *pendingJob) {
	delete(q.jobsByID, p.ID)
	q.jobs = slices.DeleteFunc(q.jobs, func(o *pendingJob) bool { return o == p })
}

func presentHandles(handles []string) []string {
	return slices.DeleteFunc(slices.Clone(handles), func(h string) bool { return h == "" })
}

// Expire drops the jobs that can't be done any more: too late, or without
// their inputs.
func (q *Queue) Expire(now time.Time) []FinishedJob {
	var out []FinishedJob
	for _, p := range slices.Clone(q.jobs) {
		switch {
		case p.inFlight == 0 && now.Add(ExpectedCallTime(q.service.Stages, len(p.waiting))).After(p.HardDeadline):
			out = append(out, q.fail(p, port.PieceLate))
		case len(p.waiting) > 0 && !p.InputsExpireAt.IsZero() && !now.Before(p.InputsExpireAt):
			out = append(out, q.fail(p, port.PieceNoInput))
		}
	}
	return out
}

func (q *Queue) fail(p *pendingJob, why port.PieceFailure) FinishedJob {
	p.abandoned = true
	q.remove(p)
	return FinishedJob{Job: &p.Job, Handles: presentHandles(p.handles), Failure: why}
}

// CompleteCall takes in the end of a call. err says that the call failed as a whole;
// notRun that the endpoint did not begin it.
func (q *Queue) CompleteCall(now time.Time, c *Call, results []port.PieceResult, err error, notRun bool) []FinishedJob {
	e := q.endpoints[c.Endpoint.Lifetime()]
	if e != nil {
		q.recordCallEnd(now, e, c, results, err, notRun)
	}
	var out []FinishedJob
	touched := make(map[*pendingJob]bool)
	for i, r := range c.refs {
		r.job.inFlight--
		touched[r.job] = true
		if err != nil {
			r.job.waiting = append(r.job.waiting, r.index)
			continue
		}
		switch results[i].Failure {
		case port.PieceMade:
			r.job.handles[r.index] = results[i].Handle
			r.job.zones[r.index] = c.Endpoint.Zone
		case port.PieceLate, port.PieceNoInput:
			out = q.failUnlessAbandoned(out, r.job, results[i].Failure)
		default:
			r.job.waiting = append(r.job.waiting, r.index)
		}
	}
	for p := range touched {
		out = q.finishIfDone(now, out, p)
	}
	return out
}

func (q *Queue) failUnlessAbandoned(out []FinishedJob, p *pendingJob, why port.PieceFailure) []FinishedJob {
	if p.abandoned {
		return out
	}
	return append(out, q.fail(p, why))
}

// finish ends a job whose pieces are all made, or that has been tried too often.
func (q *Queue) finishIfDone(now time.Time, out []FinishedJob, p *pendingJob) []FinishedJob {
	if p.abandoned {
		// The results of a call that outlived its job are nobody's.
		return append(out, FinishedJob{Job: &p.Job, Handles: presentHandles(p.handles), Failure: port.PieceLate})
	}
	for _, index := range p.waiting {
		if p.attempts[index] >= maxPieceAttempts {
			return append(out, q.fail(p, port.PieceError))
		}
	}
	if len(p.waiting) > 0 || p.inFlight > 0 {
		return out
	}
	q.remove(p)
	zone := p.zones[0]
	for _, z := range p.zones {
		if z != zone {
			zone = ""
		}
	}
	return append(out, FinishedJob{Job: &p.Job, Handles: p.handles, Zone: zone, QueueWait: p.startedAt.Sub(p.addedAt)})
}
