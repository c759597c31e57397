package retry

import "time"

// The share of hedges that must win for more to be sent is one in
// minWinDivisor, judged once minHedges have ended.
const (
	minWinDivisor = 4
	minHedges     = 20
)

// hedgeStats tells whether a service's hedges pay. Once hedges are sent, the
// slow answers that they replace are cancelled and never measured, so from
// then on the hedges' own success decides. It is not safe for concurrent use.
type hedgeStats struct {
	worthwhile   bool
	record, wins int
}

func (r *hedgeStats) ended(won bool) {
	r.record++
	if won {
		r.wins++
	}
}

// decide returns the threshold for hedges, or 0 if they do not pay.
func (r *hedgeStats) updateDelay(l *latencyWindow, share int) time.Duration {
	after, tail := hedgeThreshold(l, share)
	switch {
	case r.record >= minHedges:
		r.worthwhile = r.wins*minWinDivisor >= r.record
		r.record /= 2
		r.wins /= 2
	case tail:
		r.worthwhile = true
	case r.record == 0:
		r.worthwhile = false
	}
	if !r.worthwhile {
		return 0
	}
	return after
}

// threshold returns the duration that only the given share of attempts
// outlasts. tail says that a second attempt sent then would often end before
// the first: the slowest answers outlast the threshold by more than a median
// answer takes.
func hedgeThreshold(l *latencyWindow, share int) (after time.Duration, tail bool) {
	if share <= 0 || share >= hundredPercent {
		return 0, false
	}
	q, ok := l.quantiles(50, float64(hundredPercent-share), 99)
	if !ok {
		return 0, false
	}
	median, after, slowest := q[0], q[1], q[2]
	return after, slowest-after > median
}
