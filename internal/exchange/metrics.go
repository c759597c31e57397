package exchange

import (
	"time"

	"github.com/uber-go/tally/v4"
)

// latencyBuckets are the buckets of all latency histograms. They cover the target
// latencies and timeouts of routes.
var latencyBuckets = tally.DurationBuckets{
	10 * time.Millisecond, 30 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 400 * time.Millisecond,
	800 * time.Millisecond, 1500 * time.Millisecond, 3 * time.Second, 6 * time.Second, 12 * time.Second, 30 * time.Second,
}
