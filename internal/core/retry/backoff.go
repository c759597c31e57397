package retry

import (
	"math/rand/v2"
	"time"
)

// Upper bounds of the delay before a retry: before the first one, and at most.
const (
	firstBackoffBound = 10 * time.Millisecond
	maxBackoffBound   = 200 * time.Millisecond
)

// backoff returns a delay that is uniform between 0 and an upper bound. The
// bound starts at firstBackoffBound, doubles with each of the next three
// retries and is maxBackoffBound from then on. retry counts from 0.
func backoff(rng *rand.Rand, retry int) time.Duration {
	bound := maxBackoffBound
	if retry < 4 {
		bound = min(firstBackoffBound<<retry, maxBackoffBound)
	}
	return time.Duration(rng.Int64N(int64(bound)))
}
