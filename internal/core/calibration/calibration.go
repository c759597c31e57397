// Package calibration corrects forecasts by how earlier ones turned out. A forecast
// that decides what is admitted also decides what can be measured: a correction that
// refuses all plans of a kind gets no measurement of it any more. Corrections therefore
// age, towards that of more urgent kinds, which share the same queues, and weigh a
// measurement by the time since the last one.
package calibration

import (
	"math"
	"time"
)

const (
	// memory is the time constant with which measurements are forgotten.
	memory = time.Second
	// minWeight is the smallest weight of a new measurement. It smooths dense ones.
	minWeight = 0.05
	// staleAfter is the time without a measurement after which a correction ages. It is
	// longer than the usual time between the ends of two calls.
	staleAfter = time.Second
	// minRatio and maxRatio bound the ratio of one measurement.
	minRatio = 0.8
	maxRatio = 3.0
)

// Ratios are the corrections of a number of kinds, ordered by urgency, the most urgent
// first. They are not safe for concurrent use.
type Ratios struct {
	kinds []kind
}

// kind is the correction of one kind.
type kind struct {
	// ratio is the moving average of the ratio of actual to forecast durations at
	// measuredAt; measuredAt is zero before the first measurement.
	ratio      float64
	measuredAt time.Time
}

// New returns the corrections of n kinds, all of them 1.
func New(n int) *Ratios { return &Ratios{kinds: make([]kind, n)} }

// At returns the factor by which forecasts of a kind have to be multiplied. Without
// recent measurements, it is that of the next more urgent kind, and 1 for the most
// urgent.
func (r *Ratios) At(now time.Time, level int) float64 {
	reference := 1.0
	if level > 0 {
		reference = r.At(now, level-1)
	}
	k := r.kinds[level]
	if k.measuredAt.IsZero() {
		return reference
	}
	age := max(0, now.Sub(k.measuredAt)-staleAfter)
	return reference + (k.ratio-reference)*math.Exp(-float64(age)/float64(memory))
}

// Observe adds the forecast and actual duration of a plan of a kind. It ignores
// forecasts that are not positive.
func (r *Ratios) Observe(now time.Time, level int, forecast, took time.Duration) {
	if forecast <= 0 {
		return
	}
	measured := min(maxRatio, max(minRatio, float64(took)/float64(forecast)))
	current, weight := r.At(now, level), minWeight
	if k := r.kinds[level]; !k.measuredAt.IsZero() {
		weight = max(weight, 1-math.Exp(-float64(now.Sub(k.measuredAt))/float64(memory)))
	}
	r.kinds[level] = kind{current + weight*(measured-current), now}
}
