package admission

import "time"

const (
	// adjustInterval is the minimum time between two adjustments of a limit.
	adjustInterval = 250 * time.Millisecond
	// maxDelayRatio is the queueing delay at endpoints, as a fraction of the
	// mean run time, above which a limit at its initial value decreases. The
	// threshold is inversely proportional to the limit, so that the limits of
	// hosts that observe the same delay converge.
	maxDelayRatio = 0.4
	// ewmaWeight is the weight of the newest sample in a moving average.
	ewmaWeight = 0.05
	// maxMissRatio is the fraction of missed deadlines above which a limit
	// decreases.
	maxMissRatio = 0.2
	// decreaseFactor multiplies a limit that decreases.
	decreaseFactor = 0.9
	// increaseStep is the number of runs by which a limit grows per interval.
	increaseStep = 1.0
)

// stageLoad aggregates the load reports for one stage in one interval.
type stageLoad struct {
	// waitingPerSlot is the sum, over the reports, of waiting requests per
	// slot.
	waitingPerSlot float64
	reports        int
	// meanDuration is the moving average of the stage's duration. It is not
	// reset between intervals.
	meanDuration time.Duration
}

// queueDelay returns the mean estimated time that a request of the stage waits
// at an endpoint.
func (s stageLoad) queueDelay() time.Duration {
	if s.reports == 0 {
		return 0
	}
	return time.Duration(s.waitingPerSlot / float64(s.reports) * float64(s.meanDuration))
}

// ewma returns the exponentially weighted moving average m updated with sample
// d. The first sample becomes the average.
func ewma(m, d time.Duration) time.Duration {
	if m == 0 {
		return d
	}
	return m + time.Duration(ewmaWeight*float64(d-m))
}

// limiter adapts the limit of concurrent runs by additive increase and
// multiplicative decrease. The limit decreases when endpoints of any stage
// report queues or when runs miss their deadlines, and increases only if it was
// reached in the interval. Hosts that share endpoints need no coordination
// because all of them observe the same queues. It is not safe for concurrent
// use.
type limiter struct {
	limit, initialLimit, minLimit, maxLimit float64
	adaptive                                bool

	intervalStart time.Time
	stages        []stageLoad
	missedRuns    int
	endedRuns     int
	limitReached  bool
}

func newLimiter(cfg Config) *limiter {
	return &limiter{limit: float64(cfg.InitialLimit), initialLimit: float64(cfg.InitialLimit), minLimit: float64(cfg.MinLimit),
		maxLimit: float64(cfg.MaxLimit), adaptive: !cfg.StaticLimit}
}

// rescale sets the initial value and the ceiling. The limit keeps its ratio to
// the initial value.
func (l *limiter) rescale(initial, ceiling float64) {
	if initial != l.initialLimit {
		l.limit *= initial / l.initialLimit
		l.initialLimit = initial
	}
	l.maxLimit = ceiling
	l.limit = min(max(l.minLimit, l.limit), l.maxLimit)
}

// allows reports whether one more run may start next to those running. A
// refusal marks the limit as reached in this interval.
func (l *limiter) checkLimit(running int) bool {
	allowed := float64(running)+1 <= l.limit
	if !allowed {
		l.limitReached = true
	}
	return allowed
}

func (l *limiter) stageFor(i int) *stageLoad {
	for len(l.stages) <= i {
		l.stages = append(l.stages, stageLoad{})
	}
	return &l.stages[i]
}

// recordLoad records the load that an endpoint reported with its response for a
// stage.
func (l *limiter) recordLoad(stage, waiting, slots int) {
	if slots <= 0 {
		return
	}
	s := l.stageFor(stage)
	s.waitingPerSlot += float64(waiting) / float64(slots)
	s.reports++
}

// recordStageDuration records how long a stage took.
func (l *limiter) recordStageDuration(stage int, d time.Duration) {
	s := l.stageFor(stage)
	s.meanDuration = ewma(s.meanDuration, d)
}

// recordRunEnd counts the end of a run, and adjusts the limit once the interval is
// over. The interval is at least half the mean run time.
func (l *limiter) recordRunEnd(now time.Time, missed bool, meanRun time.Duration) {
	l.endedRuns++
	if missed {
		l.missedRuns++
	}
	if now.Sub(l.intervalStart) < max(adjustInterval, meanRun/2) {
		return
	}
	if l.adaptive {
		l.adjust(meanRun)
	}
	l.startInterval(now)
}

func (l *limiter) adjust(meanRun time.Duration) {
	switch {
	case l.congested(meanRun):
		l.limit = max(l.minLimit, l.limit*decreaseFactor)
	case l.limitReached:
		l.limit = min(l.maxLimit, l.limit+increaseStep)
	}
}

// congested reports whether runs miss their deadlines too often or requests
// wait too long at endpoints.
func (l *limiter) congested(meanRun time.Duration) bool {
	if float64(l.missedRuns) > maxMissRatio*float64(l.endedRuns) {
		return true
	}
	var delay time.Duration
	for _, s := range l.stages {
		delay += s.queueDelay()
	}
	return float64(delay)*l.limit > maxDelayRatio*float64(meanRun)*l.initialLimit
}

func (l *limiter) startInterval(now time.Time) {
	l.intervalStart = now
	l.missedRuns, l.endedRuns = 0, 0
	l.limitReached = false
	for i := range l.stages {
		l.stages[i].waitingPerSlot, l.stages[i].reports = 0, 0
	}
}
