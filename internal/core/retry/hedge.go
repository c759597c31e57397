package retry

import "time"

// An update that finds at least minHedges recent hedges allows further ones only
// if at least one in maxHedgesPerWin of them has won.
const (
	maxHedgesPerWin = 4
	minHedges       = 20
)

// hedgeStats tracks whether a service's hedges help. The win rate of the hedges
// decides once enough have ended, because the slow responses that hedges replace
// are cancelled and never measured. With fewer, a long tail of the latency allows
// hedges; without a long tail the last decision stays, or hedges are disallowed if
// no recent one has ended. It is not safe for concurrent use.
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

// update decides anew whether hedges help: by their win rate if at least
// minHedges have ended, else by the latency, as hedgeStats describes. After a
// decision by win rate it halves the counts, so that older hedges weigh less. It
// returns the new hedge delay, or 0 if hedges do not help or no delay can be
// computed. percent is the percentage of first attempts that may be hedged.
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
// between 0 and 100. longTail reports whether a hedge sent after the delay would
// often end before the first attempt: the 99th percentile exceeds the delay by more than
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
