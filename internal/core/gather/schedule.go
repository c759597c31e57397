package gather

import (
	"cmp"
	"slices"
	"time"

	"github.com/pimentorill/pimentorill/internal/port"
)

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
	limits := q.service.StageLimits
	waiting, bytes := 0, int64(0)
	for _, p := range q.jobs {
		if !p.Bound || p.Zone == "" || p.Zone == e.Zone {
			waiting += len(p.todo)
			bytes += int64(len(p.todo)) * p.ResultBytes
		}
	}
	if waiting < limits.MaxBatch || bytes == 0 {
		return false
	}
	fit := int(float64(e.room()) / (float64(bytes) / float64(waiting)))
	if fit >= limits.MaxBatch {
		return false
	}
	wait := maxRoomWait
	if fit > 0 {
		even := time.Duration(limits.MaxBatch)*WorkTime(limits, fit)/time.Duration(fit) - WorkTime(limits, limits.MaxBatch)
		wait = min(wait, time.Duration(roomPatience*float64(even)))
	}
	return now.Sub(e.idleSince) < wait
}

// order sorts the jobs: those begun first, then those in time by due time,
// then those that will be late by their last moment. Late ones whose last
// moment is near have a share of the endpoints' time, no more: with all of it,
// each request would wait until it is late in a long overload.
func (q *Queue) order(now time.Time) {
	limits := q.service.StageLimits
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
	if p.late && !p.Expires.IsZero() && p.Expires.Before(p.Last) {
		return p.Expires
	}
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
		batch := q.service.StageLimits.MaxBatch
		if n >= batch || n > 0 && batch-n < len(p.todo) || !e.fits(p, q.service.StageLimits) {
			continue
		}
		if e.ratio > slowRatio && !p.late && now.Add(e.workTime(len(p.todo))).After(p.Due) {
			// A slow endpoint would make it late; another may come free in time.
			continue
		}
		if p.Bound && p.Zone != "" && e.Zone != p.Zone && q.worthWaiting(now, p) {
			continue
		}
		score := float64(e.room()) / float64(max(1, q.service.StageLimits.ResultCapacityBytes))
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
		if !e.fits(p, q.service.StageLimits) {
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
	return now.Add(soonest + WorkTime(q.service.StageLimits, len(p.todo))).Before(limit)
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
	n := min(len(p.todo), q.service.StageLimits.MaxBatch-len(c.Pieces))
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
	limits := q.service.StageLimits
	c.started = now
	c.expected = WorkTime(limits, len(c.Pieces))
	c.Timeout = time.Duration(callOverrun*max(1, e.ratio)*float64(c.expected)) + callSlack
	e.calls++
	e.busyUntil = now.Add(time.Duration(max(1, e.ratio) * float64(c.expected)))
}
