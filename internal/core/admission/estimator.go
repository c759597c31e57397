package admission

import (
	"math"
	"time"
)

const (
	// bucketCount is the number of buckets of a histogram and bucketRatio the
	// ratio of the upper bounds of adjacent buckets. They give a range from 1 ms
	// to about 10 min.
	bucketCount = 96
	bucketRatio = 1.15
	// estimatorWindow is how long one histogram collects samples. A sample is
	// discarded one to two windows after it was added.
	estimatorWindow = 15 * time.Second
	// quantileMaxAge is how long a computed quantile is reused.
	quantileMaxAge = 100 * time.Millisecond
	// minSamples is the smallest number of samples from which a quantile is
	// computed.
	minSamples = 8
)

// histogram counts durations in buckets of exponentially growing size.
type histogram struct {
	counts [bucketCount]uint32
	total  uint32
}

// quantileEstimator estimates quantiles of recent durations in constant memory.
// Within the range of the buckets, the relative error is at most bucketRatio-1.
// It is not safe for concurrent use.
type quantileEstimator struct {
	// current holds the samples since windowStart, previous those of the window
	// before.
	current, previous histogram
	windowStart       time.Time
	// cached holds the last result for each quantile that was asked for.
	cached []cachedQuantile
}

type cachedQuantile struct {
	q          float64
	value      time.Duration
	computedAt time.Time
}

func bucketIndex(d time.Duration) int {
	ms := float64(d) / float64(time.Millisecond)
	if ms <= 1 {
		return 0
	}
	i := int(math.Ceil(math.Log(ms) / math.Log(bucketRatio)))
	return min(i, bucketCount-1)
}

func bucketUpperBound(i int) time.Duration {
	return time.Duration(math.Pow(bucketRatio, float64(i)) * float64(time.Millisecond))
}

// rotate starts a new window if the current one is over, and discards the
// samples of the window before it. After two windows without a call it discards
// all samples.
func (e *quantileEstimator) rotate(now time.Time) {
	age := now.Sub(e.windowStart)
	if age < estimatorWindow {
		return
	}
	e.previous = e.current
	if age >= 2*estimatorWindow {
		e.previous = histogram{}
	}
	e.current = histogram{}
	e.windowStart = now
}

func (e *quantileEstimator) add(now time.Time, d time.Duration) {
	e.rotate(now)
	e.current.counts[bucketIndex(d)]++
	e.current.total++
}

// quantile returns an upper bound of the q-quantile, or 0 if there are fewer
// than minSamples samples. The result is up to quantileMaxAge old.
func (e *quantileEstimator) quantile(now time.Time, q float64) time.Duration {
	for i := range e.cached {
		c := &e.cached[i]
		if c.q != q {
			continue
		}
		if now.Sub(c.computedAt) >= quantileMaxAge {
			c.value, c.computedAt = e.computeQuantile(now, q), now
		}
		return c.value
	}
	value := e.computeQuantile(now, q)
	e.cached = append(e.cached, cachedQuantile{q, value, now})
	return value
}

func (e *quantileEstimator) computeQuantile(now time.Time, q float64) time.Duration {
	e.rotate(now)
	total := e.current.total + e.previous.total
	if total < minSamples {
		return 0
	}
	rank := uint32(math.Ceil(q * float64(total)))
	var cumulative uint32
	for i := range bucketCount {
		cumulative += e.current.counts[i] + e.previous.counts[i]
		if cumulative >= max(rank, 1) {
			return bucketUpperBound(i)
		}
	}
	return bucketUpperBound(bucketCount - 1)
}
