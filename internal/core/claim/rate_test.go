package claim

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/oklog/ulid/v2"
)

const (
	// storeRateLimit is the store's limit of calls per second.
	storeRateLimit = 400
	// measurementDuration is the time during which bookings, the requests of this
	// test, arrive.
	measurementDuration = 3 * time.Second
	// bookingTimeout limits the time to claim the key of a booking.
	bookingTimeout = 4 * time.Second
)

// claimRate is the result of one measurement.
type claimRate struct {
	// claimed and rejected count the bookings.
	claimed     int
	rejected    int
	callsPerSec float64
	// p50 and p95 are percentiles of the latency of successful claims.
	p50, p95 time.Duration
}

func (r claimRate) String() string {
	return fmt.Sprintf("claimed %d, rejected %d, store calls %.0f/s, p50 %v, p95 %v",
		r.claimed, r.rejected, r.callsPerSec, r.p50.Round(time.Millisecond), r.p95.Round(time.Millisecond))
}

// claimFunc claims a key on a host and reports whether it succeeded.
type claimFunc func(ctx context.Context, host int, key string) bool

// measureClaims submits perSecond bookings per second, each with a key of its own,
// to the claimFunc that build returns. callsPerSec includes the store calls after
// measurementDuration, which write the remaining outcomes.
func measureClaims(t *testing.T, perSecond int, build func(*memoryStore) claimFunc) (got claimRate) {
	synctest.Test(t, func(*testing.T) {
		sleep(time.Until(simulationStart))
		store := newMemoryStore(newRandomSource(1))
		store.maxCallsPerSecond = storeRateLimit
		claim := build(store)
		var mu sync.Mutex
		var latencies []time.Duration
		var all sync.WaitGroup
		count := perSecond * int(measurementDuration/time.Second)
		for i := range count {
			all.Go(func() {
				sleep(time.Duration(i) * time.Second / time.Duration(perSecond))
				start := time.Now()
				ctx, cancel := context.WithTimeout(context.Background(), bookingTimeout)
				defer cancel()
				key := ulid.MustNew(ulid.Now(), newRandomSource(uint64(i))).String()
				ok := claim(ctx, i, key)
				mu.Lock()
				defer mu.Unlock()
				if !ok {
					got.rejected++
					return
				}
				latencies = append(latencies, time.Since(start))
			})
		}
		all.Wait()
		sleep(time.Hour) // until the outcomes are stored
		got.callsPerSec = float64(store.callCount()) / measurementDuration.Seconds()
		got.claimed = len(latencies)
		slices.SortFunc(latencies, cmp.Compare)
		got.p50, got.p95 = latencies[len(latencies)/2], latencies[len(latencies)*95/100]
	})
	return got
}

// claimingHosts returns a claimFunc for a number of hosts that finishes each run
// immediately.
func claimingHosts(hosts int) func(*memoryStore) claimFunc {
	return func(store *memoryStore) claimFunc {
		sim := &simulation{store: store, net: &network{random: store.random}}
		for i := range hosts {
			sim.addHost(i, store.random)
		}
		return func(ctx context.Context, host int, key string) bool {
			deadline, _ := ctx.Deadline()
			d, err := sim.hosts[host%hosts].Begin(ctx, Request{Customer: testCustomer, Key: key, Deadline: deadline})
			if err != nil {
				return false
			}
			d.Execution.Finish([]byte(`"ok"`), nil)
			return true
		}
	}
}

// oneValuePerKey is the baseline: it stores each key in a separate value, written
// once for the claim and once for the outcome.
func oneValuePerKey(store *memoryStore) claimFunc {
	return func(ctx context.Context, _ int, key string) bool {
		e, err := store.CompareAndSwap(ctx, key, 0, []byte("claimed"), time.Hour)
		if err != nil {
			return false
		}
		_, err = store.CompareAndSwap(ctx, key, e.Revision, []byte("ran"), time.Hour)
		return err == nil
	}
}

// Guards against a store call rate that grows with the number of hosts or with
// the load beyond the store's limit: it must stay within the limit without
// rejected claims. The baseline is only logged, for comparison.
func TestStoreCallRateStaysWithinStoreLimit(t *testing.T) {
	is := is.New(t)
	hostCountsByRate := map[int][]int{10: {8}, 300: {8}, 600: {1, 8, 32, 360}}
	for perSecond, hostCounts := range hostCountsByRate {
		baseline := measureClaims(t, perSecond, oneValuePerKey)
		t.Logf("%d bookings/s, one value per key: %v", perSecond, baseline)
		for _, hosts := range hostCounts {
			got := measureClaims(t, perSecond, claimingHosts(hosts))
			t.Logf("%d bookings/s, %d hosts: %v", perSecond, hosts, got)
			is.Equal(got.rejected, 0)
			is.True(got.callsPerSec <= storeRateLimit)
		}
	}
}
