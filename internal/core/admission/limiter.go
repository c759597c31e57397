package admission

import "time"

const (
	// adjustInterval is the minimum length of the interval after which a limit is
	// adjusted.
	adjustInterval = 250 * time.Millisecond
	// maxDelayRatio is the queueing delay at endpoints, as a fraction of the
	// mean run duration, above which a limit at its initial value decreases. The
	// threshold is inversely proportional to the limit, so that the limits of
	// hosts that observe the same delay converge.
	maxDelayRatio = 0.4
	// ewmaWeight is the weight of the newest sample in a moving average.
	ewmaWeight = 0.05
	// maxMissRatio is the fraction of an interval's ended runs that missed their
	// deadline above which a limit decreases.
	maxMissRatio = 0.2
	// decreaseFactor multiplies a limit that decreases.
	decreaseFactor = 0.9
	// increaseStep is the number of runs by which a limit grows per interval.
	increaseStep = 1.0
)

// stageLoad aggregates the load reports for one stage in one interval.
type stageLoad struct {
	// waitingPerSlot is the sum, over the reports, of the number of requests
	// that wait at the endpoint per slot.
	waitingPerSlot float64
	// reports is the number of load reports.
	reports int
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
// d. The first sample, which finds m at 0, becomes the average.
func ewma(m, d time.Duration) time.Duration {
	if m == 0 {
		return d
	}
	return m + time.Duration(ewmaWeight*float64(d-m))
}

// limiter adapts one pipeline's limit of concurrent runs by additive increase
// and multiplicative decrease. At the end of an interval the limit decreases if
// the queueing delay at the endpoints of all stages together or the fraction of
// runs that missed their deadline is too high, and otherwise increases if it
// was reached in the interval. Hosts that share endpoints need no coordination
// because all of them observe the same queues. It is not safe for concurrent
// use.
type limiter struct {
	limit, initialLimit, minLimit, maxLimit float64
	// adaptive is false if the limit is never adjusted.
	adaptive bool

	// intervalStart is when the current interval began. The fields below hold the
	// load, the counts of runs and whether the limit was reached in it.
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

// rescale sets the initial value and the maximum of the limit. The limit keeps
// its ratio to the initial value, within the minimum and the maximum.
func (l *limiter) rescale(initialLimit, maxLimit float64) {
	if initialLimit != l.initialLimit {
		l.limit *= initialLimit / l.initialLimit
		l.initialLimit = initialLimit
	}
	l.maxLimit = maxLimit
	l.limit = min(max(l.minLimit, l.limit), l.maxLimit)
}

// checkLimit reports whether one more run may start next to those running. If
// not, it records that the limit was reached in this interval.
func (l *limiter) checkLimit(running int) bool {
	allowed := float64(running)+1 <= l.limit
	if !allowed {
		l.limitReached = true
	}
	return allowed
}

// stageFor returns the load of stage i, counted from 0, and creates it if
// needed.
func (l *limiter) stageFor(i int) *stageLoad {
	for len(l.stages) <= i {
		l.stages = append(l.stages, stageLoad{})
	}
	return &l.stages[i]
}

// recordLoad records the load that an endpoint reported with its response for a
// stage. It ignores a report without slots.
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

// recordRunEnd counts the end of a run. If the interval is over, it adjusts the
// limit and starts the next interval. The interval lasts at least
// adjustInterval and half the mean run duration.
func (l *limiter) recordRunEnd(now time.Time, missed bool, meanRunDuration time.Duration) {
	l.endedRuns++
	if missed {
		l.missedRuns++
	}
	if now.Sub(l.intervalStart) < max(adjustInterval, meanRunDuration/2) {
		return
	}
	if l.adaptive {
		l.adjust(meanRunDuration)
	}
	l.startInterval(now)
}

// adjust decreases the limit if the pipeline is congested, and otherwise
// increases it if it was reached.
func (l *limiter) adjust(meanRunDuration time.Duration) {
	switch {
	case l.congested(meanRunDuration):
		l.limit = max(l.minLimit, l.limit*decreaseFactor)
	case l.limitReached:
		l.limit = min(l.maxLimit, l.limit+increaseStep)
	}
}

// congested reports whether runs missed their deadlines too often in the
// interval or requests wait too long at endpoints.
func (l *limiter) congested(meanRunDuration time.Duration) bool {
	if float64(l.missedRuns) > maxMissRatio*float64(l.endedRuns) {
		return true
	}
	var delay time.Duration
	for _, s := range l.stages {
		delay += s.queueDelay()
	}
	return float64(delay)*l.limit > maxDelayRatio*float64(meanRunDuration)*l.initialLimit
}

func (l *limiter) startInterval(now time.Time) {
	l.intervalStart = now
	l.missedRuns, l.endedRuns = 0, 0
	l.limitReached = false
	for i := range l.stages {
		l.stages[i].waitingPerSlot, l.stages[i].reports = 0, 0
	}
}
