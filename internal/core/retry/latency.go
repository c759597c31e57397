package retry

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// The range and resolution of measured durations.
const (
	minDurationUs     = 100
	maxDurationUs     = 60_000_000
	significantDigits = 2
)

// samplesPerHistogram is the number of samples after which the older half of the
// window is forgotten.
const samplesPerHistogram = 1000

// minSamples is the number of samples below which no quantile is given.
const minSamples = 100

// latency keeps the durations of one service's recent answers. It is not
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

// observe adds a duration; one beyond the range counts as the range's end.
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
func (l *latencyWindow) quantiles(at ...float64) ([]time.Duration, bool) {
	if l.current.TotalCount()+l.previous.TotalCount() < minSamples {
		return nil, false
	}
	all := hdrhistogram.New(minDurationUs, maxDurationUs, significantDigits)
	all.Merge(l.previous)
	all.Merge(l.current)
	out := make([]time.Duration, len(at))
	for i, p := range at {
		out[i] = time.Duration(all.ValueAtPercentile(p)) * time.Microsecond
	}
	return out, true
}
