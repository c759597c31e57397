package retry

import (
	"math/rand/v2"
	"time"
)

// Bounds of the delay before a retry.
const (
	backoffBase = 10 * time.Millisecond
	backoffMax  = 200 * time.Millisecond
)

// backoff returns a delay that is uniform between 0 and a bound, which starts
// at backoffBase and doubles with each earlier retry up to backoffMax (retry
// counts from 0).
func backoff(rng *rand.Rand, retry int) time.Duration {
	bound := backoffMax
	if retry < 4 {
		bound = min(backoffBase<<retry, backoffMax)
	}
	return time.Duration(rng.Int64N(int64(bound)))
}
