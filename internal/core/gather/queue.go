// Package gather batches the pieces of many requests into calls of a stage
// service. One host, the coordinator, keeps the queue of a service, so that it
// alone decides which endpoint is called and knows how much result storage each
// has left. Another coordinator may be active during a handover or a network
// partition; its results are known only by the storage that they take.
//
// A job is all pieces of one stage of one request. It waits until an endpoint
// is available and has storage for its results; its pieces may be spread over
// several calls. A result takes up storage from the start of its call until it
// is freed or its TTL has passed.
package gather

import (
	"slices"
	"time"

	"github.com/pimentorill/pimentorill/internal/core/catalog"
	"github.com/pimentorill/pimentorill/internal/port"
)

const (
	// maxPieceAttempts bounds how often a piece is sent to an endpoint that may run it.
	maxPieceAttempts = 4
	// A call times out after callTimeoutFactor times its expected duration,
	// including the endpoint's slowdown, plus callTimeoutSlack.
	callTimeoutSlack  = 250 * time.Millisecond
	callTimeoutFactor = 2.0
	// MaxLateShare is the share of the endpoints' capacity that late jobs may
	// take from jobs that can still meet their soft deadline.
	MaxLateShare = 0.1
	// dispatchedDecay is the factor that Queue.dispatched and dispatchedLate are
	// multiplied by each time pieces of a job are added to a call.
	dispatchedDecay = 0.98
	// lateBoostWindow is how long before its hard deadline, or before its inputs
	// expire, a late job is boosted, that is, scheduled among the jobs that are in
	// time: about three calls.
	lateBoostWindow = time.Second
	// minBackoff and maxBackoff bound how long an endpoint gets no calls after a
	// failed one; the time doubles with each failure in a row. After one that found
	// no storage for any piece it is the untrackedHalfLife of the endpoint.
	minBackoff = 500 * time.Millisecond
	maxBackoff = 4 * time.Second
	// priorityStep times Job.Priority is added to the soft deadline used for
	// sorting.
	priorityStep = 800 * time.Millisecond
	// slowdownThreshold is the slowdown above which an endpoint is called only if
	// no other is available.
	slowdownThreshold = 2.0
	// typicalStorageWait is the usual time until results are freed: the duration of
	// the next stage's call.
	typicalStorageWait = 300 * time.Millisecond
	// maxStorageWait bounds how long after its last call an available endpoint
	// gets no call, so that results are freed first.
	maxStorageWait = 150 * time.Millisecond
	// breakEvenFraction is the part of the break-even wait that an available
	// endpoint waits for storage. After the break-even wait, a full call gives the
	// same throughput as the smaller call that fits now.
	breakEvenFraction = 0.5
	// slowdownWeight is the weight of the newest call in an endpoint's slowdown.
	slowdownWeight = 0.5
)

// Job is all pieces of one stage of one request.
type Job struct {
	// ID is unique among the jobs of the queue.
	ID string
	// Request is the ID of the request, Stage the index of the stage in its plan.
	Request string
	Stage   int
	// Pieces is the number of pieces, at least 1.
	Pieces int
	// Key and Inputs are sent with each piece: a key for a stage without inputs,
	// result handles for all others.
	Key    string
	Inputs []string
	// ResultBytes is the approximate size of one piece's result.
	ResultBytes int64
	// SoftDeadline is when the job should be done for the request to be in time;
	// HardDeadline is when it must be done for the request to be answered at all.
	SoftDeadline time.Time
	HardDeadline time.Time
	// Priority is 0 for the most urgent jobs.
	Priority int
	// Zone is the preferred zone of the results; empty for any. The queue replaces
	// it by the zone of the endpoint whenever pieces are added to a call.
	Zone string
	// WaitForZone says that waiting for an endpoint of Zone is better than
	// running in another zone.
	WaitForZone bool
	// InputsExpireAt is when the first of the inputs expires; zero without
	// inputs.
	InputsExpireAt time.Time
	// DeferStart reports whether a late job should not be started yet; nil means
	// that it is never deferred. NextCalls calls it.
	DeferStart func() bool
	// DownstreamWait returns how much longer the stages that read the results, which are
	// ready after the given time, take at present than the hard deadline allows for; nil
	// means no longer. A job of which no piece was called yet fails once it can't be done
	// that much before its hard deadline. Expire calls it.
	DownstreamWait func(ready time.Duration) time.Duration
	// Started is called when the first piece is added to a call, unless it is nil.
	Started func()
	// Caution says how the job's pieces may be called, as they may crash endpoints; nil stands
	// for Unrestricted. NextCalls calls it.
	Caution func() Caution
}

// Caution is how a job's pieces may be called.
type Caution uint8

// The cautions.
const (
	// Unrestricted pieces share calls with those of other jobs.
	Unrestricted Caution = iota
	// Alone has the pieces called without those of other jobs, so that a crash concerns the job
	// alone.
	Alone
	// Held pieces are not called.
	Held
)

// FinishedJob is the outcome of a job.
type FinishedJob struct {
	Job *Job
	// Handles are the results in the order of the pieces. If the job failed, they
	// are the results stored so far, which the caller has to free.
	Handles []string
	// Zone is where the results are stored; empty if they are in several zones or
	// the job failed.
	Zone string
	// Failure is set if the job failed.
	Failure port.PieceFailure
	// QueueWait is the time from Add until the first piece was added to a call; 0
	// if the job failed.
	QueueWait time.Duration
}

// Call is a call that the caller of NextCalls has to make and whose outcome it
// passes to CompleteCall.
type Call struct {
	Endpoint *catalog.Endpoint
	Pieces   []port.Piece
	// Timeout bounds the call.
	Timeout time.Duration

	// refs are the jobs and indexes of Pieces, in the same order.
	refs      []pieceRef
	startedAt time.Time
	// expectedTime is the duration at an endpoint at full speed.
	expectedTime time.Duration
	// dueAt is the earliest hard deadline of the jobs.
	dueAt time.Time
	// alone means that the call has the pieces of one job only.
	alone bool
}

// Elapsed returns the time since the call started.
func (c *Call) Elapsed(now time.Time) time.Duration { return now.Sub(c.startedAt) }

// ExpectedTime returns how long the call takes at an endpoint at full speed.
func (c *Call) ExpectedTime() time.Duration { return c.expectedTime }

// Requests returns the IDs of the requests that have pieces in the call, one for
// each run of adjacent pieces of a request.
func (c *Call) Requests() []string {
	var ids []string
	for _, p := range c.Pieces {
		if len(ids) == 0 || ids[len(ids)-1] != p.Request {
			ids = append(ids, p.Request)
		}
	}
	return ids
}

// pieceRef identifies a piece of a job.
type pieceRef struct {
	job   *pendingJob
	index int
}

// pendingJob is a job in the queue, or an abandoned one with calls in flight.
type pendingJob struct {
	Job
	addedAt time.Time
	// startedAt is when the first piece was added to a call; zero before.
	startedAt time.Time
	// handles, zones and attempts are indexed by piece: the handle of its result
	// and the zone where that is stored, empty until the piece is done, and the
	// number of calls that may have run it.
	handles  []string
	zones    []string
	attempts []int
	// waiting holds the indexes of the pieces that wait for a call; inFlight is the
	// number of pieces in calls.
	waiting  []int
	inFlight int
	// abandoned is set once the job has been cancelled or has failed.
	abandoned bool
	// late is set while the soft deadline can't be met, boosted while a late job is
	// scheduled among those in time. classifyAndSortJobs updates both.
	late, boosted bool
	// alone is set while Caution is Alone.
	alone bool
}

// Queue holds the jobs of one service. It does no I/O, takes the time as an
// argument and is not safe for concurrent use.
type Queue struct {
	service    *catalog.Service
	rateLimits RateLimits
	endpoints  map[catalog.Incarnation]*endpoint
	// jobs and jobsByID hold the unfinished jobs; classifyAndSortJobs sorts jobs.
	jobs []*pendingJob
	// dispatched and dispatchedLate are decaying counts of the pieces added to
	// calls, of all jobs and of late jobs.
	dispatched, dispatchedLate float64
	jobsByID                   map[string]*pendingJob
	// storageMargin is the share of the storage kept free; observeStorage updates it.
	storageMargin float64
	// backlogged is set while pieces for a full call are left after each round of calls.
	// callFill is the moving average of the pieces of a call as a fraction of MaxBatch in
	// these rounds.
	backlogged bool
	callFill   float64
}

// RateLimits are the rate limits that endpoints name.
type RateLimits interface {
	// Allows reports whether the endpoint may get one more call now.
	Allows(e *catalog.Endpoint) bool
	// Limit returns the endpoint's limit in calls a second; false if it names none.
	Limit(e *catalog.Endpoint) (float64, bool)
}

// New returns an empty queue of a stage service, which must have StageLimits.
func New(service *catalog.Service, rateLimits RateLimits) *Queue {
	return &Queue{service: service, rateLimits: rateLimits, endpoints: make(map[catalog.Incarnation]*endpoint), jobsByID: make(map[string]*pendingJob), callFill: 1}
}

// SetService replaces the service and its limits. The endpoints keep the former
// limits until SetEndpoints.
func (q *Queue) SetService(s *catalog.Service) { q.service = s }

// Started reports whether the job is in the queue and any of its pieces has been
// added to a call.
func (q *Queue) Started(id string) bool {
	p := q.jobsByID[id]
	return p != nil && !p.startedAt.IsZero()
}

// Request returns the ID of the request of a job in the queue; empty if there is none.
func (q *Queue) Request(id string) string {
	if p := q.jobsByID[id]; p != nil {
		return p.Request
	}
	return ""
}

// Len returns the number of unfinished jobs.
func (q *Queue) Len() int { return len(q.jobs) }

// Limits returns the service's limits.
func (q *Queue) Limits() *catalog.StageLimits { return q.service.StageLimits }

// Add queues a job. NextCalls starts its calls.
func (q *Queue) Add(now time.Time, j Job) {
	p := &pendingJob{Job: j, addedAt: now, handles: make([]string, j.Pieces), zones: make([]string, j.Pieces), attempts: make([]int, j.Pieces)}
	for i := range j.Pieces {
		p.waiting = append(p.waiting, i)
	}
	q.jobs = append(q.jobs, p)
	q.jobsByID[j.ID] = p
}

// Cancel removes a job and returns the handles of its results so far, which the
// caller has to free. CompleteCall returns those of its calls in flight.
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

// presentHandles returns the handles that are not empty.
func presentHandles(handles []string) []string {
	return slices.DeleteFunc(slices.Clone(handles), func(h string) bool { return h == "" })
}

// Expire fails and returns the jobs without pieces in flight that can't meet
// their hard deadline in a call with as many pieces of other jobs as is usual at the time, those that have not started and would leave too little time for
// the stages downstream, and those with waiting pieces whose inputs have expired.
func (q *Queue) Expire(now time.Time) []FinishedJob {
	var out []FinishedJob
	limits, shared := q.service.StageLimits, q.sharedPieces()
	for _, p := range slices.Clone(q.jobs) {
		ready := ExpectedCallTime(limits, max(len(p.waiting), shared))
		switch {
		case p.inFlight == 0 && now.Add(ready).After(p.HardDeadline),
			p.startedAt.IsZero() && p.DownstreamWait != nil && now.Add(ready+p.DownstreamWait(ready)).After(p.HardDeadline):
			out = append(out, q.fail(p, port.PieceDeadlineExceeded))
		case len(p.waiting) > 0 && !p.InputsExpireAt.IsZero() && !now.Before(p.InputsExpireAt):
			out = append(out, q.fail(p, port.PieceInputMissing))
		}
	}
	return out
}

func (q *Queue) fail(p *pendingJob, reason port.PieceFailure) FinishedJob {
	p.abandoned = true
	q.remove(p)
	return FinishedJob{Job: &p.Job, Handles: presentHandles(p.handles), Failure: reason}
}

// CompleteCall applies the outcome of a call and returns the jobs that it
// ended, and as failed again each abandoned job with pieces in the call, so that
// their results are freed. results are in the order of the pieces. err is set if
// the call failed as a whole; results is then ignored, and notRun says that the
// endpoint did not start the call.
func (q *Queue) CompleteCall(now time.Time, c *Call, results []port.PieceResult, err error, notRun bool) []FinishedJob {
	e := q.endpoints[c.Endpoint.Incarnation()]
	if e != nil {
		q.recordCallEnd(now, e, c, results, err, notRun)
	}
	var out []FinishedJob
	affected := make(map[*pendingJob]bool)
	for i, r := range c.refs {
		r.job.inFlight--
		affected[r.job] = true
		if err != nil {
			r.job.putBack(r.index, notRun)
			continue
		}
		switch results[i].Failure {
		case port.PieceSucceeded:
			r.job.handles[r.index] = results[i].Handle
			r.job.zones[r.index] = c.Endpoint.Zone
		case port.PieceDeadlineExceeded, port.PieceInputMissing:
			out = q.failUnlessAbandoned(out, r.job, results[i].Failure)
		default:
			r.job.putBack(r.index, results[i].Failure == port.PieceNoSpace)
		}
	}
	for p := range affected {
		out = q.finishIfDone(now, out, p)
	}
	return out
}

// putBack has a piece wait for another call. One that its endpoint had no place or no storage
// for has not used up an attempt: only the deadline bounds its wait for another.
func (p *pendingJob) putBack(index int, notRun bool) {
	p.waiting = append(p.waiting, index)
	if notRun {
		p.attempts[index]--
	}
}

// failUnlessAbandoned fails a job and appends it to out, unless it was cancelled
// or has failed before.
func (q *Queue) failUnlessAbandoned(out []FinishedJob, p *pendingJob, reason port.PieceFailure) []FinishedJob {
	if p.abandoned {
		return out
	}
	return append(out, q.fail(p, reason))
}

// finishIfDone ends a job whose pieces are all done, or one with a waiting piece
// that has used up its attempts, and appends it to out. It appends an abandoned
// job each time.
func (q *Queue) finishIfDone(now time.Time, out []FinishedJob, p *pendingJob) []FinishedJob {
	if p.abandoned {
		// Nobody waits for these results: the job ended before the call.
		return append(out, FinishedJob{Job: &p.Job, Handles: presentHandles(p.handles), Failure: port.PieceDeadlineExceeded})
	}
	for _, index := range p.waiting {
		if p.attempts[index] >= maxPieceAttempts {
			return append(out, q.fail(p, port.PieceFailed))
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
