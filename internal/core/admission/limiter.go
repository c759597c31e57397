package admission

import "time"

const (
	// adjustInterval is the shortest time between two changes of a limit.
	adjustInterval = 250 * time.Millisecond
	// maxDelayRatio is the delay in endpoints' queues, as a part of the mean run
	// time, above which a limit at its initial value shrinks. A larger limit
	// shrinks at less delay and a smaller one at more, so that the limits of
	// hosts which see the same delay become equal.
	maxDelayRatio = 0.4
	// ewmaWeight is the weight of the newest sample in a mean.
	ewmaWeight = 0.05
	// maxMissRatio is the share of missed deadlines above which a limit shrinks.
	maxMissRatio = 0.2
	// decrease is the factor by which a limit shrinks.
	decreaseFactor = 0.9
	// increase is the number of runs by which a limit grows in one interval.
	increaseStep = 1.0
)

// stageLoad is what the answers of one stage told in an interval.
type stageLoad struct {
	// waiting is the sum of the reported waiting requests per slot.
	waitingPerSlot float64
	reports        int
	// mean is the stage's mean duration, kept over intervals.
	meanDuration time.Duration
}

// delay returns the time that a request of the stage waits at an endpoint.
func (s stageLoad) queueDelay() time.Duration {
	if s.reports == 0 {
		return 0
	}
	return time.Duration(s.waitingPerSlot / float64(s.reports) * float64(s.meanDuration))
}

// mean moves m by the newest sample d; the first sample is taken whole.
func ewma(m, d time.Duration) time.Duration {
	if m == 0 {
		return d
	}
	return m + time.Duration(ewmaWeight*float64(d-m))
}

// limiter adapts the number of runs under way by additive increase and
// multiplicative decrease. It shrinks when endpoints of any stage report
// queues or runs miss their deadlines, and grows only while it is used up.
// Hosts that share endpoints need not talk: all see the same queues. It is
// not safe for concurrent use.
type limiter struct {
	limit, initial, floor, ceiling float64
	adaptive                       bool

	adjustedAt time.Time
	stages     []stageLoad
	missedRuns int
	endedRuns  int
	saturated  bool
}

func newLimiter(cfg Config) *limiter {
	return &limiter{limit: float64(cfg.InitialLimit), initial: float64(cfg.InitialLimit), floor: float64(cfg.MinLimit),
		ceiling: float64(cfg.MaxLimit), adaptive: !cfg.StaticLimit}
}

// rebase changes the initial value and the ceiling; the limit keeps its
// proportion to the initial value.
func (l *limiter) rescale(initial, ceiling float64) {
	if initial != l.initial {
		l.limit *= initial / l.initial
		l.initial = initial
	}
	l.ceiling = ceiling
	l.limit = min(max(l.floor, l.limit), l.ceiling)
}

// allows reports whether one more run may start beside running others.
func (l *limiter) allows(running int) bool {
	free := float64(running)+1 <= l.limit
	if !free {
		l.saturated = true
	}
	return free
}

func (l *limiter) stage(i int) *stageLoad {
	for len(l.stages) <= i {
		l.stages = append(l.stages, stageLoad{})
	}
	return &l.stages[i]
}

// load notes an endpoint's report that came with an answer of a stage.
func (l *limiter) recordLoad(stage, waiting, slots int) {
	if slots <= 0 {
		return
	}
	s := l.stage(stage)
	s.waitingPerSlot += float64(waiting) / float64(slots)
	s.reports++
}

// took notes how long a stage took.
func (l *limiter) recordStageDuration(stage int, d time.Duration) {
	s := l.stage(stage)
	s.meanDuration = ewma(s.meanDuration, d)
}

// done notes the end of a run and adjusts the limit when an interval is over.
func (l *limiter) runEnded(now time.Time, missed bool, meanRun time.Duration) {
	l.endedRuns++
	if missed {
		l.missedRuns++
	}
	if now.Sub(l.adjustedAt) < max(adjustInterval, meanRun/2) {
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
		l.limit = max(l.floor, l.limit*decreaseFactor)
	case l.saturated:
		l.limit = min(l.ceiling, l.limit+increaseStep)
	}
}

func (l *limiter) congested(meanRun time.Duration) bool {
	if float64(l.missedRuns) > maxMissRatio*float64(l.endedRuns) {
		return true
	}
	var delay time.Duration
	for _, s := range l.stages {
		delay += s.queueDelay()
	}
	return float64(delay)*l.limit > maxDelayRatio*float64(meanRun)*l.initial
}

func (l *limiter) startInterval(now time.Time) {
	l.adjustedAt = now
	l.missedRuns, l.endedRuns = 0, 0
	l.saturated = false
	for i := range l.stages {
		l.stages[i].waitingPerSlot, l.stages[i].reports = 0, 0
	}
}
