package retry

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range, in microseconds, and resolution, in decimal digits, of measured
// durations.
const (
	minDurationUs     = 100
	maxDurationUs     = 60_000_000
	significantDigits = 2
)

// samplesPerHistogram is the number of samples after which the current
// histogram becomes the previous one and the samples of the previous one are
// discarded.
const samplesPerHistogram = 1000

// minSamples is the smallest number of samples from which percentiles are
// computed.
const minSamples = 100

// latencyWindow holds up to 2*samplesPerHistogram of the latest durations of
// one service's attempts. It is not safe for concurrent use.
type latencyWindow struct {
	current, previous *hdrhistogram.Histogram
}

func newLatencyWindow() *latencyWindow {
	return &latencyWindow{
		current:  hdrhistogram.New(minDurationUs, maxDurationUs, significantDigits),
		previous: hdrhistogram.New(minDurationUs, maxDurationUs, significantDigits),
	}
}

// observe records a duration. Durations outside the range count as its nearest
// end.
func (l *latencyWindow) observe(d time.Duration) {
	us := min(max(d.Microseconds(), minDurationUs), maxDurationUs)
	if err := l.current.RecordValue(us); err != nil {
		return
	}
	if l.current.TotalCount() >= samplesPerHistogram {
		l.previous, l.current = l.current, l.previous
		l.current.Reset()
	}
}

// percentiles returns the durations at the given percentile ranks, from 0 to
// 100, or false if there are too few samples.
func (l *latencyWindow) percentiles(ranks ...float64) ([]time.Duration, bool) {
	if l.current.TotalCount()+l.previous.TotalCount() < minSamples {
		return nil, false
	}
	merged := hdrhistogram.New(minDurationUs, maxDurationUs, significantDigits)
	merged.Merge(l.previous)
	merged.Merge(l.current)
	out := make([]time.Duration, len(ranks))
	for i, p := range ranks {
		out[i] = time.Duration(merged.ValueAtPercentile(p)) * time.Microsecond
	}
	return out, true
}
