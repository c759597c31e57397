package hedge

import (
	"math"
	"slices"
	"time"
)

const (
	// windowSamples is the number of the latest attempts that are measured.
	windowSamples = 512
	// minSamples is the smallest number from which quantiles are computed.
	minSamples = 50
	// rounding bounds the error of a rank computed from a share.
	rounding = 1e-6
	// samplesPerSort is the number of samples after which the quantiles are computed anew.
	samplesPerSort = 25
)

// window holds how long the latest attempts of one key took. One that was cancelled because its
// hedge won counts with the time that it had taken by then: that is above the delay then in
// force, so that the share of the attempts that take longer than the delay stays known.
type window struct {
	// times holds the durations in a ring, negative ones for those that were cancelled; next is
	// the place of the next one once the ring is full.
	times []time.Duration
	next  int
	added int
	// sorted holds the durations in order, open the number of the cancelled among them.
	sorted []time.Duration
	open   int
}

func (w *window) count() int { return len(w.times) }

func (w *window) add(d time.Duration, cancelled bool) {
	d = max(1, d)
	if cancelled {
		d = -d
	}
	if len(w.times) < windowSamples {
		w.times = append(w.times, d)
	} else {
		w.times[w.next] = d
		w.next = (w.next + 1) % windowSamples
	}
	w.added++
	if w.added%samplesPerSort == 0 && len(w.times) >= minSamples {
		w.sort()
	}
}

func (w *window) sort() {
	w.open = 0
	w.sorted = w.sorted[:0]
	for _, d := range w.times {
		if d < 0 {
			w.open++
			d = -d
		}
		w.sorted = append(w.sorted, d)
	}
	slices.Sort(w.sorted)
}

// quantile returns the duration that the share q of the attempts did not exceed. The window must
// have minSamples.
func (w *window) quantile(q float64) time.Duration {
	rank := int(math.Ceil(q*float64(len(w.sorted))-rounding)) - 1
	return w.sorted[min(max(0, rank), len(w.sorted)-1)]
}

// hasTail reports whether one in maxHedgesPerWin of the hedges that are sent for the slowest share
// of the attempts would be first: so many attempts take longer than the delay by more than the
// median. Those that were cancelled count among them.
func (w *window) hasTail(share float64) bool {
	needed := share / maxHedgesPerWin
	if float64(w.open) >= max(1, needed*float64(len(w.sorted))) {
		return true
	}
	return w.quantile(1-needed)-w.quantile(1-share) > w.quantile(0.5)
}
