package admission

import (
	"math"
	"time"
)

const (
	// maxBurstRuns is the number of runs of its share that a customer may save
	// up while it sends less. A customer that is new to the host has them all.
	maxBurstRuns = 16.0
	// flowSweepThreshold bounds the idle flows that a lane remembers.
	flowSweepThreshold = 1024
)

// lane schedules the runs of one pipeline: start-time fair queueing between
// customers, earliest deadline first within one. It is not safe for
// concurrent use.
type scheduler struct {
	pipeline string
	flows    map[string]*flow
	limiter  *limiter
	running  int

	// ahead holds, per stage, the time from the stage's start to the run's end.
	remainingTimes []quantileEstimator
	meanRunTime    time.Duration

	// virtual is the largest tag of a request that has started.
	virtualTime float64
}

func newScheduler(pipeline string, cfg Config) *scheduler {
	return &scheduler{pipeline: pipeline, flows: make(map[string]*flow), limiter: newLimiter(cfg)}
}

func (l *scheduler) remainingTime(now time.Time, stage int, q float64) time.Duration {
	if stage >= len(l.remainingTimes) {
		return 0
	}
	return l.remainingTimes[stage].quantile(now, q)
}

// renewal returns the time until older figures are forgotten.
func (l *scheduler) timeToNextWindow(now time.Time) time.Duration {
	if len(l.remainingTimes) == 0 {
		return minRetryAfter
	}
	return max(minRetryAfter, l.remainingTimes[0].rotatedAt.Add(estimatorWindow).Sub(now))
}

func (l *scheduler) recordRemaining(now time.Time, stage int, d time.Duration) {
	for len(l.remainingTimes) <= stage {
		l.remainingTimes = append(l.remainingTimes, quantileEstimator{rotatedAt: now})
	}
	l.remainingTimes[stage].add(now, d)
}

// flow returns the customer's flow with its present share.
func (l *scheduler) flowFor(r Request) *flow {
	f, ok := l.flows[r.Customer]
	if !ok {
		l.removeIdleFlows()
		f = &flow{customer: r.Customer, startTag: math.Inf(-1)}
		l.flows[r.Customer] = f
	}
	f.share = math.Max(1, float64(r.Share))
	return f
}

func (l *scheduler) removeIdleFlows() {
	if len(l.flows) < flowSweepThreshold {
		return
	}
	for name, f := range l.flows {
		if len(f.queue) == 0 && f.running == 0 {
			delete(l.flows, name)
		}
	}
}

// wake brings an idle flow's tag up to the virtual time, less what it saved.
func (l *scheduler) updateIdleTag(f *flow) {
	if len(f.queue) == 0 {
		f.startTag = math.Max(f.startTag, l.virtualTime-maxBurstRuns/f.share)
	}
}

// before returns how many waiting requests start before one that the flow
// would put behind position others of its own.
func (l *scheduler) requestsAhead(f *flow, position int) float64 {
	tag := f.startTag + float64(position)/f.share
	n := float64(position)
	for _, other := range l.flows {
		if other == f || len(other.queue) == 0 || other.startTag > tag {
			continue
		}
		due := math.Floor((tag-other.startTag)*other.share) + 1
		n += math.Min(due, float64(len(other.queue)))
	}
	return n
}

// wait predicts how long a request waits behind n others.
func (l *scheduler) predictWait(n float64) time.Duration {
	free := math.Max(0, l.limiter.limit-float64(l.running))
	behind := math.Max(0, n+1-free)
	return time.Duration(behind / math.Max(1, l.limiter.limit) * float64(l.meanRunTime))
}

// overShareError reports whether one more request puts the customer above its part
// of the limit, among the customers that have requests now.
func (l *scheduler) exceedsShare(f *flow) bool {
	total := f.share
	for _, other := range l.flows {
		if other != f && len(other.queue)+other.running > 0 {
			total += other.share
		}
	}
	part := math.Max(1, l.limiter.limit*f.share/total)
	return float64(len(f.queue)+f.running+1) > part
}

func (l *scheduler) waitingCount() int {
	n := 0
	for _, f := range l.flows {
		n += len(f.queue)
	}
	return n
}

// next returns the waiting flow that is due first, nil if nothing waits.
func (l *scheduler) nextFlow() *flow {
	var first *flow
	for _, f := range l.flows {
		if len(f.queue) > 0 && (first == nil || startsBefore(f, first)) {
			first = f
		}
	}
	return first
}

func startsBefore(a, b *flow) bool {
	if a.startTag != b.startTag {
		return a.startTag < b.startTag
	}
	return a.customer < b.customer
}

// start counts a run of the flow as under way.
func (l *scheduler) start(f *flow) {
	l.virtualTime = math.Max(l.virtualTime, f.startTag)
	f.startTag += 1 / f.share
	f.running++
	l.running++
}

func (l *scheduler) finish(f *flow) {
	f.running--
	l.running--
}
