package retry

import "time"

// Once minHedges hedges have ended, more are sent only if at least one in
// minWinDivisor of them wins.
const (
	minWinDivisor = 4
	minHedges     = 20
)

// hedgeStats tracks whether a service's hedges help. Once hedges are sent, the
// slow responses that they replace are cancelled and never measured, so from
// then on the hedges' own win rate decides. It is not safe for concurrent use.
type hedgeStats struct {
	worthwhile  bool
	ended, wins int
}

func (s *hedgeStats) record(won bool) {
	s.ended++
	if won {
		s.wins++
	}
}

// updateDelay recomputes and returns the hedge delay, or 0 if hedges do not
// help.
func (s *hedgeStats) updateDelay(l *latencyWindow, percent int) time.Duration {
	delay, longTail := hedgeThreshold(l, percent)
	switch {
	case s.ended >= minHedges:
		s.worthwhile = s.wins*minWinDivisor >= s.ended
		s.ended /= 2
		s.wins /= 2
	case longTail:
		s.worthwhile = true
	case s.ended == 0:
		s.worthwhile = false
	}
	if !s.worthwhile {
		return 0
	}
	return delay
}

// hedgeThreshold returns the duration that only the given percentage of
// attempts exceeds. longTail reports whether a hedge sent then would often end
// before the first attempt: the 99th percentile exceeds the delay by more than
// the median.
func hedgeThreshold(l *latencyWindow, percent int) (delay time.Duration, longTail bool) {
	if percent <= 0 || percent >= hundredPercent {
		return 0, false
	}
	q, ok := l.quantiles(50, float64(hundredPercent-percent), 99)
	if !ok {
		return 0, false
	}
	median, delay, p99 := q[0], q[1], q[2]
	return delay, p99-delay > median
}
