package retry

import (
	"math/rand/v2"
	"time"
)

// Bounds of the delay before a retry.
const (
	firstBackoffBound = 10 * time.Millisecond
	maxBackoffBound   = 200 * time.Millisecond
)

// backoff returns a delay that is uniform between 0 and a bound, which starts
// at firstBackoffBound and doubles with each earlier retry up to maxBackoffBound (retry
// counts from 0).
func backoff(rng *rand.Rand, retry int) time.Duration {
	bound := maxBackoffBound
	if retry < 4 {
		bound = min(firstBackoffBound<<retry, maxBackoffBound)
	}
	return time.Duration(rng.Int64N(int64(bound)))
}
