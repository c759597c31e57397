package retry

import "time"

// Once minHedges hedges have ended, more are sent only if at least one in
// maxHedgesPerWin of them has won.
const (
	maxHedgesPerWin = 4
	minHedges       = 20
)

// hedgeStats tracks whether a service's hedges help. Once hedges are sent, the
// slow responses that they replace are cancelled and never measured, so from
// then on the hedges' own win rate decides. It is not safe for concurrent use.
type hedgeStats struct {
	worthwhile bool
	// endedHedges and wonHedges count recent hedges; update halves them.
	endedHedges, wonHedges int
}

func (s *hedgeStats) record(won bool) {
	s.endedHedges++
	if won {
		s.wonHedges++
	}
}

// update decides anew whether hedges help, by their win rate if enough have
// ended, and halves the counts then, so that older hedges weigh less. It
// returns the new hedge delay, or 0 if hedges do not help. percent is the
// percentage of first attempts that may be hedged.
func (s *hedgeStats) update(l *latencyWindow, percent int) time.Duration {
	delay, longTail := computeHedgeDelay(l, percent)
	switch {
	case s.endedHedges >= minHedges:
		s.worthwhile = s.wonHedges*maxHedgesPerWin >= s.endedHedges
		s.endedHedges /= 2
		s.wonHedges /= 2
	case longTail:
		s.worthwhile = true
	case s.endedHedges == 0:
		s.worthwhile = false
	}
	if !s.worthwhile {
		return 0
	}
	return delay
}

// computeHedgeDelay returns the duration that only the given percentage of
// attempts exceeds, or 0 if there are too few samples or the percentage is not
// between 0 and 100. longTail reports whether a hedge sent then would often end
// before the first attempt: the 99th percentile exceeds the delay by more than
// the median.
func computeHedgeDelay(l *latencyWindow, percent int) (delay time.Duration, longTail bool) {
	if percent <= 0 || percent >= hundredPercent {
		return 0, false
	}
	q, ok := l.percentiles(50, float64(hundredPercent-percent), 99)
	if !ok {
		return 0, false
	}
	median, delay, p99 := q[0], q[1], q[2]
	return delay, p99-delay > median
}
