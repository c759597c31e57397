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
	// maxTries bounds how often a piece is given to an endpoint.
	maxTries = 4
	// callSlack and callOverrun bound a call, against the time that it should take.
	callSlack   = 250 * time.Millisecond
	callOverrun = 2.0
	// LateShare is the share of the endpoints' time that late jobs may take from
	// those in time.
	LateShare = 0.1
	// servedDecay is the part of the count of pieces that is kept at each job.
	servedDecay = 0.98
	// lastCall is how long before its last moment a job that missed its due
	// time gets its turn after all: about three calls.
	lastCall = time.Second
	// minDown and maxDown bound how long an endpoint whose call failed gets no
	// other; the time doubles with each failure.
	minDown = 500 * time.Millisecond
	maxDown = 4 * time.Second
	// urgencyStep is the time by which a job is put behind those that are a step
	// more urgent.
	urgencyStep = 800 * time.Millisecond
	// slowRatio is the part by which an endpoint's calls take longer than they
	// should for it to be taken only when no other is free.
	slowRatio = 2.0
	// roomWait is how long it mostly takes until results make room: the next
	// stage's call.
	roomWait = 300 * time.Millisecond
	// maxRoomWait bounds the wait of a free endpoint for room.
	maxRoomWait = 150 * time.Millisecond
	// roomPatience is the part of the wait at which a full call would only be as
	// good as the call that can be made now.
	roomPatience = 0.5
	// slowWeight is the weight of the newest call in that ratio.
	slowWeight = 0.5
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
	// Due is when the job should be done for the request to be in time, Last
	// when it must be done for the request to be answered at all.
	Due      time.Time
	Last     time.Time
	Priority int
	// Zone is where the results are wanted; empty for anywhere.
	Zone string
	// Bound says that it is worth a wait to have them there.
	Bound bool
	// Expires is when the first of the inputs is lost; zero without inputs.
	Expires time.Time
	// Held reports whether the job should not be begun while it is late anyway;
	// nil for never.
	Held func() bool
}

// Finished is the end of a job.
type Finished struct {
	Job     *Job
	Handles []string
	// Zone is where the results lie; empty if in several zones.
	Zone string
	// Failure is set if the job failed.
	Failure port.PieceFailure
	// Wait is how long the first piece waited for its call.
	Wait time.Duration
}

// Call is one call to make: Done must follow.
type Call struct {
	Endpoint *catalog.Endpoint
	Pieces   []port.Piece
	// Timeout bounds the call.
	Timeout time.Duration

	refs     []ref
	started  time.Time
	expected time.Duration
}

// Took returns how long the call has taken.
func (c *Call) Took(now time.Time) time.Duration { return now.Sub(c.started) }

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

type ref struct {
	job   *pending
	index int
}

// pending is a job in the queue.
type pending struct {
	Job
	added     time.Time
	started   time.Time
	handles   []string
	zones     []string
	tries     []int
	todo      []int
	working   int
	cancelled bool
	// late is set once the due time can't be met, pressed if it gets its turn
	// all the same.
	late, pressed bool
}

// Queue holds the jobs of one service. It is pure and not safe for concurrent use.
type Queue struct {
	service   *catalog.Service
	endpoints map[catalog.Incarnation]*endpoint
	jobs      []*pending
	// served and servedLate count the pieces given to endpoints lately.
	served, servedLate float64
	byID               map[string]*pending
}

// New returns an empty queue of a stage service.
func New(service *catalog.Service) *Queue {
	return &Queue{service: service, endpoints: make(map[catalog.Incarnation]*endpoint), byID: make(map[string]*pending)}
}

// SetService takes in the service's newest limits.
func (q *Queue) SetService(s *catalog.Service) { q.service = s }

// Waiting returns the number of pieces that wait for a call.
func (q *Queue) Waiting() int {
	n := 0
	for _, p := range q.jobs {
		n += len(p.todo)
	}
	return n
}

// Begun reports whether pieces of a job have been given to an endpoint.
func (q *Queue) Begun(id string) bool {
	p := q.byID[id]
	return p != nil && !p.started.IsZero()
}

// Len returns the number of jobs that are not done.
func (q *Queue) Len() int { return len(q.jobs) }

// WorkTime returns how long a call with n pieces should take.
func WorkTime(s *catalog.StageLimits, n int) time.Duration {
	return s.CallOverhead + time.Duration(n)*s.TimePerPiece
}

// Limits returns the service's limits.
func (q *Queue) Limits() *catalog.StageLimits { return q.service.StageLimits }

// Add queues a job.
func (q *Queue) Add(now time.Time, j Job) {
	p := &pending{Job: j, added: now, handles: make([]string, j.Pieces), zones: make([]string, j.Pieces), tries: make([]int, j.Pieces)}
	for i := range j.Pieces {
		p.todo = append(p.todo, i)
	}
	q.jobs = append(q.jobs, p)
	q.byID[j.ID] = p
}

// Cancel drops a job and returns the handles of its results so far.
func (q *Queue) Cancel(id string) []string {
	p := q.byID[id]
	if p == nil {
		return nil
	}
	p.cancelled = true
	q.remove(p)
	return made(p.handles)
}

func (q *Queue) remove(p *pending) {
	delete(q.byID, p.ID)
	q.jobs = slices.DeleteFunc(q.jobs, func(o *pending) bool { return o == p })
}

func made(handles []string) []string {
	return slices.DeleteFunc(slices.Clone(handles), func(h string) bool { return h == "" })
}

// Expire drops the jobs that can't be done any more: too late, or without
// their inputs.
func (q *Queue) Expire(now time.Time) []Finished {
	var out []Finished
	for _, p := range slices.Clone(q.jobs) {
		switch {
		case p.working == 0 && now.Add(WorkTime(q.service.StageLimits, len(p.todo))).After(p.Last):
			out = append(out, q.fail(p, port.PieceDeadlineExceeded))
		case len(p.todo) > 0 && !p.Expires.IsZero() && !now.Before(p.Expires):
			out = append(out, q.fail(p, port.PieceInputMissing))
		}
	}
	return out
}

func (q *Queue) fail(p *pending, why port.PieceFailure) Finished {
	p.cancelled = true
	q.remove(p)
	return Finished{Job: &p.Job, Handles: made(p.handles), Failure: why}
}

// Done takes in the end of a call. err says that the call failed as a whole;
// notRun that the endpoint did not begin it.
func (q *Queue) Done(now time.Time, c *Call, results []port.PieceResult, err error, notRun bool) []Finished {
	e := q.endpoints[c.Endpoint.Incarnation()]
	if e != nil {
		q.settle(now, e, c, results, err, notRun)
	}
	var out []Finished
	touched := make(map[*pending]bool)
	for i, r := range c.refs {
		r.job.working--
		touched[r.job] = true
		if err != nil {
			r.job.todo = append(r.job.todo, r.index)
			continue
		}
		switch results[i].Failure {
		case port.PieceSucceeded:
			r.job.handles[r.index] = results[i].Handle
			r.job.zones[r.index] = c.Endpoint.Zone
		case port.PieceDeadlineExceeded, port.PieceInputMissing:
			out = q.failOnce(out, r.job, results[i].Failure)
		default:
			r.job.todo = append(r.job.todo, r.index)
		}
	}
	for p := range touched {
		out = q.finish(now, out, p)
	}
	return out
}

func (q *Queue) failOnce(out []Finished, p *pending, why port.PieceFailure) []Finished {
	if p.cancelled {
		return out
	}
	return append(out, q.fail(p, why))
}

// finish ends a job whose pieces are all made, or that has been tried too often.
func (q *Queue) finish(now time.Time, out []Finished, p *pending) []Finished {
	if p.cancelled {
		// The results of a call that outlived its job are nobody's.
		return append(out, Finished{Job: &p.Job, Handles: made(p.handles), Failure: port.PieceDeadlineExceeded})
	}
	for _, index := range p.todo {
		if p.tries[index] >= maxTries {
			return append(out, q.fail(p, port.PieceFailed))
		}
	}
	if len(p.todo) > 0 || p.working > 0 {
		return out
	}
	q.remove(p)
	zone := p.zones[0]
	for _, z := range p.zones {
		if z != zone {
			zone = ""
		}
	}
	return append(out, Finished{Job: &p.Job, Handles: p.handles, Zone: zone, Wait: p.started.Sub(p.added)})
}
