// Package gather brings the pieces of many requests together into full calls
// of a stage service. One host keeps the queue of a service; it alone knows
// which endpoint is free and how much room for results each has left.
//
// A job is all pieces of one stage of one request. It waits until an endpoint
// is free that has room for its results; its pieces may take several calls. A
// result holds room from the call on until it is freed or its life is over.
package gather

import (
	"cmp"
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
	LateShare = 0.2
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
	urgencyStep = 200 * time.Millisecond
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
	endpoints map[catalog.Lifetime]*endpoint
	jobs      []*pending
	// served and servedLate count the pieces given to endpoints lately.
	served, servedLate float64
	byID               map[string]*pending
}

// New returns an empty queue of a stage service.
func New(service *catalog.Service) *Queue {
	return &Queue{service: service, endpoints: make(map[catalog.Lifetime]*endpoint), byID: make(map[string]*pending)}
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

// Len returns the number of jobs that are not done.
func (q *Queue) Len() int { return len(q.jobs) }

// WorkTime returns how long a call with n pieces should take.
func WorkTime(s *catalog.StageLimits, n int) time.Duration {
	return s.CallTime + time.Duration(n)*s.PieceTime
}

// Limits returns the service's limits.
func (q *Queue) Limits() *catalog.StageLimits { return q.service.Stages }

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

// Expire drops the jobs that can't be done any more.
func (q *Queue) Expire(now time.Time) []Finished {
	var out []Finished
	for _, p := range slices.Clone(q.jobs) {
		if p.working == 0 && now.Add(WorkTime(q.service.Stages, len(p.todo))).After(p.Last) {
			out = append(out, q.fail(p, port.PieceLate))
		}
	}
	return out
}

func (q *Queue) fail(p *pending, why port.PieceFailure) Finished {
	p.cancelled = true
	q.remove(p)
	return Finished{Job: &p.Job, Handles: made(p.handles), Failure: why}
}

// Next returns the calls to make now.
func (q *Queue) Next(now time.Time) []*Call {
	free := q.free(now)
	if len(free) == 0 || len(q.jobs) == 0 {
		return nil
	}
	q.order(now)
	free = slices.DeleteFunc(free, func(e *endpoint) bool { return q.awaitsRoom(now, e) })
	calls := make(map[*endpoint]*Call)
	for _, p := range q.jobs {
		if p.late && !p.pressed && p.started.IsZero() && p.Held != nil && p.Held() {
			continue
		}
		for len(p.todo) > 0 {
			e := q.place(now, free, calls, p)
			if e == nil {
				break
			}
			q.fill(now, e, calls, p)
		}
	}
	out := make([]*Call, 0, len(calls))
	for _, e := range free {
		if c := calls[e]; c != nil {
			q.start(now, e, c)
			out = append(out, c)
		}
	}
	return out
}

// awaitsRoom reports whether an endpoint's next call should wait for results
// to be freed: a call costs as much whether it is full or not, and with a full
// call's pieces waiting the room that is left would make it a small one.
func (q *Queue) awaitsRoom(now time.Time, e *endpoint) bool {
	if len(e.held) == 0 {
		return false
	}
	limits := q.service.Stages
	waiting, bytes := 0, int64(0)
	for _, p := range q.jobs {
		if !p.Bound || p.Zone == "" || p.Zone == e.Zone {
			waiting += len(p.todo)
			bytes += int64(len(p.todo)) * p.ResultBytes
		}
	}
	if waiting < limits.Batch || bytes == 0 {
		return false
	}
	fit := int(float64(e.room()) / (float64(bytes) / float64(waiting)))
	if fit >= limits.Batch {
		return false
	}
	wait := maxRoomWait
	if fit > 0 {
		even := time.Duration(limits.Batch)*WorkTime(limits, fit)/time.Duration(fit) - WorkTime(limits, limits.Batch)
		wait = min(wait, time.Duration(roomPatience*float64(even)))
	}
	return now.Sub(e.idleSince) < wait
}

// order sorts the jobs: those begun first, then those in time by due time,
// then those that will be late by their last moment. Late ones whose last
// moment is near have a share of the endpoints' time, no more: with all of it,
// each request would wait until it is late in a long overload.
func (q *Queue) order(now time.Time) {
	limits := q.service.Stages
	for _, p := range q.jobs {
		p.late = now.Add(WorkTime(limits, len(p.todo))).After(p.Due)
		pressed := p.Last.Sub(now) < lastCall || !p.Expires.IsZero() && p.Expires.Sub(now) < lastCall
		p.pressed = p.late && pressed && (!p.Expires.IsZero() || q.servedLate < LateShare*q.served)
	}
	slices.SortStableFunc(q.jobs, func(a, b *pending) int {
		if c := cmp.Compare(a.rank(), b.rank()); c != 0 {
			return c
		}
		return a.when().Compare(b.when())
	})
}

func (p *pending) rank() int {
	switch {
	case !p.started.IsZero():
		return 0
	case !p.late || p.pressed:
		return 1
	default:
		return 2
	}
}

func (p *pending) when() time.Time {
	if p.late {
		return p.Last
	}
	return p.Due.Add(time.Duration(p.Priority) * urgencyStep)
}

// place returns the free endpoint that takes the job's next pieces: in its
// zone if there is one, then one that is called already, then the one with
// most room.
func (q *Queue) place(now time.Time, free []*endpoint, calls map[*endpoint]*Call, p *pending) *endpoint {
	var best *endpoint
	bestScore := 0.0
	for _, e := range free {
		n := 0
		if c := calls[e]; c != nil {
			n = len(c.Pieces)
		}
		batch := q.service.Stages.Batch
		if n >= batch || n > 0 && batch-n < len(p.todo) || !e.fits(p, q.service.Stages) {
			continue
		}
		if e.ratio > slowRatio && !p.late && now.Add(e.workTime(len(p.todo))).After(p.Due) {
			// A slow endpoint would make it late; another may come free in time.
			continue
		}
		if p.Bound && p.Zone != "" && e.Zone != p.Zone && q.worthWaiting(now, p) {
			continue
		}
		score := float64(e.room()) / float64(max(1, q.service.Stages.RoomBytes))
		if p.Zone == "" || e.Zone == p.Zone {
			score += 4
		}
		if n > 0 {
			score += 2
		}
		if e.ratio > slowRatio {
			score -= 8
		}
		if best == nil || score > bestScore {
			best, bestScore = e, score
		}
	}
	return best
}

// worthWaiting reports whether an endpoint of the job's zone should come free
// soon enough for the job to be in time: results that cross zones cost more
// than a wait.
func (q *Queue) worthWaiting(now time.Time, p *pending) bool {
	soonest := time.Duration(-1)
	for _, e := range q.endpoints {
		if !e.usable || e.Zone != p.Zone || now.Before(e.downUntil) || e.ratio > slowRatio {
			continue
		}
		wait := max(0, e.busyUntil.Sub(now))
		if !e.fits(p, q.service.Stages) {
			wait = max(wait, roomWait)
		}
		if soonest < 0 || wait < soonest {
			soonest = wait
		}
	}
	if soonest < 0 {
		return false
	}
	limit := p.Due
	if p.late {
		limit = p.Last
	}
	return now.Add(soonest + WorkTime(q.service.Stages, len(p.todo))).Before(limit)
}

// fill puts as many of the job's pieces as fit into the endpoint's call.
func (q *Queue) fill(now time.Time, e *endpoint, calls map[*endpoint]*Call, p *pending) {
	c := calls[e]
	if c == nil {
		c = &Call{Endpoint: e.Endpoint}
		calls[e] = c
	}
	if p.started.IsZero() {
		p.started = now
	}
	n := min(len(p.todo), q.service.Stages.Batch-len(c.Pieces))
	if p.ResultBytes > 0 {
		n = min(n, int(e.room()/p.ResultBytes))
	}
	for _, index := range p.todo[:n] {
		p.tries[index]++
		c.refs = append(c.refs, ref{p, index})
		c.Pieces = append(c.Pieces, port.Piece{Request: p.Request, Stage: p.Stage, Index: index,
			Remaining: p.Last.Sub(now), Key: p.Key, Inputs: p.Inputs})
	}
	q.served = q.served*servedDecay + float64(n)
	q.servedLate *= servedDecay
	if p.late {
		q.servedLate += float64(n)
	}
	e.reserved += int64(n) * p.ResultBytes
	p.working += n
	p.todo = p.todo[n:]
	p.Zone = e.Zone
}

func (q *Queue) start(now time.Time, e *endpoint, c *Call) {
	limits := q.service.Stages
	c.started = now
	c.expected = WorkTime(limits, len(c.Pieces))
	c.Timeout = time.Duration(callOverrun*max(1, e.ratio)*float64(c.expected)) + callSlack
	e.calls++
	e.busyUntil = now.Add(time.Duration(max(1, e.ratio) * float64(c.expected)))
}

// Done takes in the end of a call. err says that the call failed as a whole;
// notRun that the endpoint did not begin it.
func (q *Queue) Done(now time.Time, c *Call, results []port.PieceResult, err error, notRun bool) []Finished {
	e := q.endpoints[c.Endpoint.Lifetime()]
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
		case port.PieceMade:
			r.job.handles[r.index] = results[i].Handle
			r.job.zones[r.index] = c.Endpoint.Zone
		case port.PieceLate, port.PieceNoInput:
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
		return append(out, Finished{Job: &p.Job, Handles: made(p.handles), Failure: port.PieceLate})
	}
	for _, index := range p.todo {
		if p.tries[index] >= maxTries {
			return append(out, q.fail(p, port.PieceError))
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
