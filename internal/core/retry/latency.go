package retry

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and resolution of measured durations.
const (
	minDurationUs     = 100
	maxDurationUs     = 60_000_000
	significantDigits = 2
)

// samplesPerHistogram is the number of samples after which the older of the two
// histograms is discarded.
const samplesPerHistogram = 1000

// minSamples is the smallest number of samples from which quantiles are
// computed.
const minSamples = 100

// latencyWindow holds the durations of one service's recent attempts. It is not
// safe for concurrent use.
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

// quantiles returns the durations at the given percentiles of the window, or
// false if there are too few samples.
func (l *latencyWindow) percentiles(percentiles ...float64) ([]time.Duration, bool) {
	if l.current.TotalCount()+l.previous.TotalCount() < minSamples {
		return nil, false
	}
	merged := hdrhistogram.New(minDurationUs, maxDurationUs, significantDigits)
	merged.Merge(l.previous)
	merged.Merge(l.current)
	out := make([]time.Duration, len(percentiles))
	for i, p := range percentiles {
		out[i] = time.Duration(merged.ValueAtPercentile(p)) * time.Microsecond
	}
	return out, true
}
