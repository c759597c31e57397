package admission

import (
	"math"
	"time"
)

const (
	// maxBurstRuns is the number of runs that a customer may accumulate as
	// credit while it sends less than its share. A customer without a flow
	// starts with full credit.
	maxBurstRuns = 16.0
	// flowSweepThreshold is the number of a pipeline's flows from which on the
	// idle ones are removed before another flow is added.
	flowSweepThreshold = 1024
)

// scheduler orders the runs of one pipeline: start-time fair queueing among
// customers, earliest deadline first within a customer. It is not safe for
// concurrent use.
type scheduler struct {
	pipeline string
	// flows holds the flows by customer name.
	flows   map[string]*flow
	limiter *limiter
	// running is the number of the pipeline's runs in progress.
	running int

	// remainingTimes estimates, per stage, the time from the start of the stage
	// to the end of the run. Like meanRunDuration, it leaves out runs that failed
	// for another reason than their deadline, that skipped a stage or that started
	// none.
	remainingTimes []quantileEstimator
	// meanRunDuration is the moving average of the duration of runs, including
	// those that missed their deadline; 0 before the first.
	meanRunDuration time.Duration

	// virtualTime is the largest start tag that a flow had when one of its
	// requests started, in runs per unit of share.
	virtualTime float64
}

func newScheduler(pipeline string, cfg Config) *scheduler {
	return &scheduler{pipeline: pipeline, flows: make(map[string]*flow), limiter: newLimiter(cfg)}
}

// remainingTime returns the q-quantile of the time from the start of a stage to
// the end of the run, or 0 if there are too few samples.
func (s *scheduler) remainingTime(now time.Time, stage int, q float64) time.Duration {
	if stage >= len(s.remainingTimes) {
		return 0
	}
	return s.remainingTimes[stage].quantile(now, q)
}

// timeToNextWindow returns the time until the estimator of whole runs discards
// its older samples, at least minRetryAfter.
func (s *scheduler) timeToNextWindow(now time.Time) time.Duration {
	if len(s.remainingTimes) == 0 {
		return minRetryAfter
	}
	return max(minRetryAfter, s.remainingTimes[0].windowStart.Add(estimatorWindow).Sub(now))
}

func (s *scheduler) recordRemainingTime(now time.Time, stage int, d time.Duration) {
	for len(s.remainingTimes) <= stage {
		s.remainingTimes = append(s.remainingTimes, quantileEstimator{windowStart: now})
	}
	s.remainingTimes[stage].add(now, d)
}

// flowFor returns the customer's flow with its share updated from the request.
func (s *scheduler) flowFor(r Request) *flow {
	f, ok := s.flows[r.Customer]
	if !ok {
		s.removeIdleFlows()
		f = &flow{customer: r.Customer, startTag: math.Inf(-1)}
		s.flows[r.Customer] = f
	}
	f.share = math.Max(1, float64(r.Share))
	return f
}

// removeIdleFlows removes the flows without queued or running requests once
// there are flowSweepThreshold flows.
func (s *scheduler) removeIdleFlows() {
	if len(s.flows) < flowSweepThreshold {
		return
	}
	for name, f := range s.flows {
		if len(f.queue) == 0 && f.running == 0 {
			delete(s.flows, name)
		}
	}
}

// raiseIdleStartTag advances the start tag of a flow with an empty queue to at
// least the virtual time less the flow's maximum credit.
func (s *scheduler) raiseIdleStartTag(f *flow) {
	if len(f.queue) == 0 {
		f.startTag = math.Max(f.startTag, s.virtualTime-maxBurstRuns/f.share)
	}
}

// requestsAhead estimates how many queued requests start before a new request
// of the flow, given that aheadInFlow of them are from the flow itself.
func (s *scheduler) requestsAhead(f *flow, aheadInFlow int) float64 {
	startTag := f.startTag + float64(aheadInFlow)/f.share
	n := float64(aheadInFlow)
	for _, other := range s.flows {
		if other == f || len(other.queue) == 0 || other.startTag > startTag {
			continue
		}
		aheadInOther := math.Floor((startTag-other.startTag)*other.share) + 1
		n += math.Min(aheadInOther, float64(len(other.queue)))
	}
	return n
}

// predictWait estimates how long a request waits in the queue with the given
// number of queued requests ahead of it.
func (s *scheduler) predictWait(ahead float64) time.Duration {
	freeRuns := math.Max(0, s.limiter.limit-float64(s.running))
	// requiredCompletions is how many runs must end before the request starts.
	requiredCompletions := math.Max(0, ahead+1-freeRuns)
	return time.Duration(requiredCompletions / math.Max(1, s.limiter.limit) * float64(s.meanRunDuration))
}

// exceedsShare reports whether one more request puts the flow above its part of
// the pipeline's limit, which is divided by share among the flows that have
// requests queued or running. Each part counts as at least 1.
func (s *scheduler) exceedsShare(f *flow) bool {
	total := f.share
	for _, other := range s.flows {
		if other != f && len(other.queue)+other.running > 0 {
			total += other.share
		}
	}
	fairLimit := math.Max(1, s.limiter.limit*f.share/total)
	return float64(len(f.queue)+f.running+1) > fairLimit
}

// waitingCount returns the number of the pipeline's queued requests.
func (s *scheduler) waitingCount() int {
	n := 0
	for _, f := range s.flows {
		n += len(f.queue)
	}
	return n
}

// nextFlow returns the flow with queued requests that has the smallest start
// tag, or nil if nothing is queued.
func (s *scheduler) nextFlow() *flow {
	var earliest *flow
	for _, f := range s.flows {
		if len(f.queue) > 0 && (earliest == nil || startsBefore(f, earliest)) {
			earliest = f
		}
	}
	return earliest
}

// startsBefore orders flows by start tag and breaks ties by customer.
func startsBefore(a, b *flow) bool {
	if a.startTag != b.startTag {
		return a.startTag < b.startTag
	}
	return a.customer < b.customer
}

// start counts a run of the flow as started and advances the flow's start tag
// and the virtual time.
func (s *scheduler) start(f *flow) {
	s.virtualTime = math.Max(s.virtualTime, f.startTag)
	f.startTag += 1 / f.share
	f.running++
	s.running++
}

func (s *scheduler) finish(f *flow) {
	f.running--
	s.running--
}
