package rollout

import (
	"math"
	"time"
)

const (
	// timeBuckets is the number of buckets of times. Each is bucketRatio as wide as the one
	// before; the first ends at minBucketTime.
	timeBuckets   = 32
	bucketsPerTwo = 2
	minBucketTime = time.Millisecond
)

// Key identifies a cell of counts.
type Key struct {
	Route string `cbor:"1,keyasint"`
	Zone  string `cbor:"2,keyasint"`
	// Endpoint is the target's endpoint that answered; empty for the other versions, which
	// are counted together.
	Endpoint string `cbor:"3,keyasint,omitempty"`
}

// Counts are the answers of a cell.
type Counts struct {
	// Failures is the number of failures, which are not in Times.
	Failures int64 `cbor:"1,keyasint,omitempty"`
	// Unjudged is the number of successes whose time is not judged.
	Unjudged int64 `cbor:"2,keyasint,omitempty"`
	// Times holds the number of successes by the time that they took.
	Times [timeBuckets]int64 `cbor:"3,keyasint"`
}

// Cell is a key with its counts since the order.
type Cell struct {
	Key    Key    `cbor:"1,keyasint"`
	Counts Counts `cbor:"2,keyasint"`
}

func bucketOf(d time.Duration) int {
	if d <= minBucketTime {
		return 0
	}
	return min(timeBuckets-1, int(math.Ceil(bucketsPerTwo*math.Log2(float64(d)/float64(minBucketTime)))))
}

func (c *Counts) add(o Counts, sign int64) {
	c.Failures += sign * o.Failures
	c.Unjudged += sign * o.Unjudged
	for i, n := range o.Times {
		c.Times[i] += sign * n
	}
}

// timed returns the number of successes whose time is judged.
func (c *Counts) timed() int64 {
	sum := int64(0)
	for _, n := range c.Times {
		sum += n
	}
	return sum
}

func (c *Counts) answers() int64 { return c.Failures + c.Unjudged + c.timed() }

// above returns the number of successes in buckets after the given one.
func (c *Counts) above(bucket int) int64 {
	sum := int64(0)
	for i := bucket + 1; i < timeBuckets; i++ {
		sum += c.Times[i]
	}
	return sum
}

// medianBucket returns the bucket of the median time.
func (c *Counts) medianBucket() int {
	half, sum := (c.timed()+1)/2, int64(0)
	for i, n := range c.Times {
		if sum += n; sum >= half {
			return i
		}
	}
	return timeBuckets - 1
}
