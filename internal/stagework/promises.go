package stagework

import (
	"math"
	"strconv"
	"strings"
	"time"
)

const (
	// patience is the part of the time that a caller has left up to which it waits as told.
	patience = 1.0 / 3
	// expectedReturns is how far ahead plans give way to callers who have been told to
	// come back: about one call.
	expectedReturns = 500 * time.Millisecond
	// returnsShare is the part of the capacity left by more urgent kinds that is promised
	// to refused callers. The rest is for new ones.
	returnsShare = 0.5
	// workMemory is the time constant with which admitted work is forgotten.
	workMemory = 3 * time.Second
)

// workRate is the decaying rate of admitted work.
type workRate struct {
	work float64 // seconds
	at   time.Time
}

// add counts work.
func (r *workRate) add(now time.Time, work time.Duration) {
	r.work, r.at = r.rate(now)*workMemory.Seconds()+work.Seconds(), now
}

// rate returns the part of the capacity that the work takes.
func (r *workRate) rate(now time.Time) float64 {
	return r.work * math.Exp(-float64(now.Sub(r.at))/float64(workMemory)) / workMemory.Seconds()
}

// behindReturns returns a queueTimer for a plan that goes after the callers of its kind who
// have been told to come back. The caller holds sc.mu.
func (sc *Scheduler) behindReturns(p *Plan, queueTime queueTimer) queueTimer {
	promised := sc.returns[priorityLevel(p.Priority)].Due(sc.cfg.Clock.Now(), expectedReturns)
	return func(q *queue, service string, priority int) time.Duration {
		return queueTime(q, service, priority) + promised
	}
}

// timeToReturn returns after which time a refused caller should come back, at the earliest
// after the given time, and whether room has been promised to it then. Nothing is promised
// if the caller won't wait so long, if another group has told it a time, or if it would be
// late then: others can still be in time. The caller holds sc.mu.
func (sc *Scheduler) timeToReturn(p *Plan, now time.Time, earliest time.Duration) (after time.Duration, promised bool) {
	earliest = max(minRetryAfter, earliest)
	level := priorityLevel(p.Priority)
	room := 1.0
	for i := range level {
		room -= sc.admittedWork[i].rate(now)
	}
	if p.Offered || sc.lateOnReturn(p, now.Add(earliest)) {
		return min(maxRetryAfter, earliest), false
	}
	return sc.returns[level].Promise(now, p.caller(), earliest, scaled(p.HardDeadline.Sub(now), patience), sc.largestWork(p, now), returnsShare*min(room, p.contested))
}

// lateOnReturn reports whether a plan that starts at the given time misses its soft
// deadline even without a queue. The caller holds sc.mu.
func (sc *Scheduler) lateOnReturn(p *Plan, start time.Time) bool {
	duration, err := sc.forecast(p, func(*queue, string, int) time.Duration { return 0 })
	ratio := sc.inTimeRatios.At(sc.cfg.Clock.Now(), priorityLevel(p.Priority))
	return err != nil || start.Add(scaled(duration, ratio)).After(p.SoftDeadline)
}

// caller returns what tells the caller of a plan from others when it comes back: an attempt
// of its own has another request ID.
func (p *Plan) caller() string {
	var b strings.Builder
	b.WriteString(p.Customer + "/" + p.Key)
	for _, s := range p.Stages {
		b.WriteString("/" + s.Service + ":" + strconv.Itoa(s.Pieces))
	}
	return b.String()
}

// largestWork returns the longest work of a plan's stages. The caller holds sc.mu.
func (sc *Scheduler) largestWork(p *Plan, now time.Time) time.Duration {
	largest := time.Duration(0)
	for _, s := range p.Stages {
		largest = max(largest, sc.work(s, now))
	}
	return largest
}
