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
	limits *catalog.StageLimits
	usable bool
	calls  int
	// reserved is the room of the results that calls under way will make.
	reserved int64
	// held is the room of the results that lie there.
	held      map[string]holding
	heldBytes int64
	downUntil time.Time
	downFor   time.Duration
	idleSince time.Time
	// busyUntil is when the newest call should end.
	busyUntil time.Time
	// foreign is the room that results of other keepers take; it was foreignStart
	// at foreignAt.
	foreign, foreignStart int64
	foreignAt             time.Time
	// measuring is set while the endpoint is asked for its room, measured once it
	// has told.
	measuring, measured bool
	// ratio is how long calls took lately against what they should.
	ratio float64
}

// holding is the room that one result, or a lost one, takes.
type holding struct {
	bytes int64
	until time.Time
}

// SetEndpoints takes in the endpoints that may be called. Those that are not
// among them get no new calls; their results are still accounted for.
func (q *Queue) SetEndpoints(list []*catalog.Endpoint) {
	for _, e := range q.endpoints {
		e.usable = false
	}
	for _, e := range list {
		known := q.endpoints[e.Incarnation()]
		if known == nil {
			known = &endpoint{held: make(map[string]holding)}
			q.endpoints[e.Incarnation()] = known
		}
		known.Endpoint, known.limits, known.usable = e, q.service.StageLimits, true
	}
	for l, e := range q.endpoints {
		if !e.usable && e.calls == 0 && len(e.held) == 0 {
			delete(q.endpoints, l)
		}
	}
}

// free returns the endpoints that may be called now, in a fixed order.
func (q *Queue) free(now time.Time) []*endpoint {
	var free []*endpoint
	for _, e := range q.endpoints {
		e.lapse(now)
		e.fade(now)
		if e.usable && e.calls < e.limits.MaxConcurrentCalls && !now.Before(e.downUntil) {
			free = append(free, e)
		}
	}
	slices.SortFunc(free, func(a, b *endpoint) int { return cmp.Compare(a.ID, b.ID) })
	return free
}

// lapse gives up the results whose life is over.
func (e *endpoint) lapse(now time.Time) {
	for handle, h := range e.held {
		if !now.Before(h.until) {
			e.release(handle)
		}
	}
}

func (e *endpoint) release(handle string) bool {
	h, ok := e.held[handle]
	if ok {
		e.heldBytes -= h.bytes
		delete(e.held, handle)
	}
	return ok
}

// Room returns the room for results at an endpoint.
func (q *Queue) Room(of *catalog.Endpoint) int64 {
	if e := q.endpoints[of.Incarnation()]; e != nil && e.limits != nil {
		return e.room()
	}
	return 0
}

func (e *endpoint) room() int64 {
	return e.limits.ResultCapacityBytes - e.heldBytes - e.reserved - e.foreign
}

// fits reports whether all pieces of the job that are to be made have room, so
// that no half of a job waits for the other while it holds room. A job larger
// than the whole room takes what there is.
func (e *endpoint) fits(p *pending, limits *catalog.StageLimits) bool {
	need := int64(min(len(p.todo), limits.MaxBatch)) * p.ResultBytes
	if need > limits.ResultCapacityBytes {
		return e.room() >= max(p.ResultBytes, limits.ResultCapacityBytes/2)
	}
	return e.room() >= need
}

// settle takes in what a call's end says of its endpoint.
func (q *Queue) settle(now time.Time, e *endpoint, c *Call, results []port.PieceResult, err error, notRun bool) {
	e.calls--
	e.idleSince = now
	for _, r := range c.refs {
		e.reserved -= r.job.ResultBytes
	}
	until := now.Add(q.service.StageLimits.ResultTTL)
	if err != nil {
		e.downFor = min(maxDown, max(minDown, 2*e.downFor))
		e.downUntil = now.Add(e.downFor)
		if !notRun {
			// The results may have been made; nobody knows their handles.
			for i, r := range c.refs {
				e.hold(lostPrefix+r.job.ID+"/"+c.started.String()+"/"+strconv.Itoa(i), r.job.ResultBytes, until)
			}
			e.measured = false
			e.observe(now.Sub(c.started), c.expected)
		}
		return
	}
	e.observe(now.Sub(c.started), c.expected)
	e.downFor = 0
	noRoom := false
	for i, r := range c.refs {
		if h := results[i].Handle; h != "" {
			e.hold(h, r.job.ResultBytes, until)
		}
		noRoom = noRoom || results[i].Failure == port.PieceNoSpace
	}
	if noRoom {
		// Another keeper's results are there, or some whose freeing was lost.
		e.takeForeign(now, max(0, e.limits.ResultCapacityBytes-e.heldBytes-e.reserved))
		e.measured = false
	}
}

// lostPrefix begins the names of results whose handles nobody knows.
const lostPrefix = "lost/"

// Unmeasured returns the endpoints whose room is not known for certain, once
// each: call Measured for them.
func (q *Queue) Unmeasured() []*catalog.Endpoint {
	var list []*catalog.Endpoint
	for _, e := range q.endpoints {
		if e.usable && !e.measured && !e.measuring {
			e.measuring = true
			list = append(list, e.Endpoint)
		}
	}
	return list
}

// Measured takes in the room for results that an endpoint says it has; below 0
// if it does not say. It reports whether to ask again after a while.
func (q *Queue) Measured(now time.Time, of *catalog.Endpoint, free int64, answered bool) bool {
	e := q.endpoints[of.Incarnation()]
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
	e.correct(now, free)
	e.measuring = e.foreign+e.lostBytes() > 0
	e.measured = !e.measuring
	return e.measuring
}

// reportGrain is the step in which endpoints tell their room.
const reportGrain = 1e6

// correct brings the room that nobody accounts for within what a report of the
// free room allows.
func (e *endpoint) correct(now time.Time, free int64) {
	lost := e.lostBytes()
	taken := e.limits.ResultCapacityBytes - (e.heldBytes - lost) - e.reserved
	least, most := max(0, taken-free-reportGrain), max(0, taken-free+reportGrain/2)
	switch known := lost + e.foreign; {
	case known > most:
		for handle := range e.held {
			if strings.HasPrefix(handle, lostPrefix) {
				e.release(handle)
			}
		}
		e.takeForeign(now, least)
	case known < least:
		e.takeForeign(now, least-lost)
	}
}

// lostBytes returns the room of results whose handles nobody knows.
func (e *endpoint) lostBytes() int64 {
	sum := int64(0)
	for handle, h := range e.held {
		if strings.HasPrefix(handle, lostPrefix) {
			sum += h.bytes
		}
	}
	return sum
}

// Holder returns the endpoint that a result lies with, nil if it is not known.
func (q *Queue) Holder(handle string) *catalog.Endpoint {
	for _, e := range q.endpoints {
		if _, ok := e.held[handle]; ok {
			return e.Endpoint
		}
	}
	return nil
}

// FailWithout ends the jobs that need results that are lost.
func (q *Queue) FailWithout(lost func(handle string) bool) []Finished {
	var out []Finished
	for _, p := range slices.Clone(q.jobs) {
		if slices.ContainsFunc(p.Inputs, lost) {
			out = append(out, q.fail(p, port.PieceInputMissing))
		}
	}
	return out
}

// takeForeign notes how much room nobody here accounts for.
func (e *endpoint) takeForeign(now time.Time, bytes int64) {
	e.foreign, e.foreignStart, e.foreignAt = bytes, bytes, now
}

// fade lets go of that room with time, between reports and where they are too
// coarse to tell.
func (e *endpoint) fade(now time.Time) {
	e.foreign = int64(math.Exp2(-float64(now.Sub(e.foreignAt))/float64(foreignHalf)) * float64(e.foreignStart))
}

// foreignHalf is the time in which half of other keepers' results are thought
// to be freed: about two calls.
const foreignHalf = 600 * time.Millisecond

func (e *endpoint) hold(handle string, bytes int64, until time.Time) {
	e.release(handle)
	e.held[handle] = holding{bytes, until}
	e.heldBytes += bytes
}

func (e *endpoint) observe(took, expected time.Duration) {
	ratio := float64(took) / float64(max(1, expected))
	if e.ratio == 0 {
		e.ratio = ratio
		return
	}
	e.ratio += slowWeight * (ratio - e.ratio)
}

// Free gives up results and returns their handles by endpoint, those of
// endpoints that are not known left out.
func (q *Queue) Free(handles []string) map[*catalog.Endpoint][]string {
	out := make(map[*catalog.Endpoint][]string)
	for _, h := range handles {
		for _, e := range q.endpoints {
			if e.release(h) {
				out[e.Endpoint] = append(out[e.Endpoint], h)
				break
			}
		}
	}
	return out
}

// workTime returns how long a call with n pieces takes at the endpoint.
func (e *endpoint) workTime(n int) time.Duration {
	return time.Duration(max(1, e.ratio) * float64(WorkTime(e.limits, n)))
}

// Speed returns how many endpoints at full speed those of a zone are worth, of
// all zones if it is empty.
func (q *Queue) Speed(now time.Time, zone string) float64 {
	sum := 0.0
	for _, e := range q.endpoints {
		if e.usable && !now.Before(e.downUntil) && (zone == "" || e.Zone == zone) {
			sum += 1 / max(1, e.ratio)
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

// Usable returns the number of endpoints that may be called.
func (q *Queue) Usable() int {
	n := 0
	for _, e := range q.endpoints {
		if e.usable {
			n++
		}
	}
	return n
}
