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
	// storeCallsPerSecond is the rate of the store in these measurements.
	storeCallsPerSecond = 400
	// bookingsFor is how long bookings arrive.
	bookingsFor = 3 * time.Second
	// bookingDeadline is the time that each booking has.
	bookingDeadline = 4 * time.Second
)

// claimRate is what a measurement of claims gave.
type claimRate struct {
	claimed     int
	refused     int
	callsPerSec float64
	p50, p95    time.Duration
}

func (r claimRate) String() string {
	return fmt.Sprintf("claimed %d, refused %d, store calls %.0f/s, p50 %v, p95 %v",
		r.claimed, r.refused, r.callsPerSec, r.p50.Round(time.Millisecond), r.p95.Round(time.Millisecond))
}

// claimFunc claims a key on a host and reports whether it got it.
type claimFunc func(ctx context.Context, host int, key string) bool

// measureClaims sends perSecond bookings a second through the hosts.
func measureClaims(t *testing.T, perSecond int, build func(*memoryStore) claimFunc) (got claimRate) {
	synctest.Test(t, func(*testing.T) {
		pause(time.Until(firstMoment))
		store := newMemoryStore(newSource(1))
		store.perSecond = storeCallsPerSecond
		claim := build(store)
		var mu sync.Mutex
		var waits []time.Duration
		var all sync.WaitGroup
		count := perSecond * int(bookingsFor/time.Second)
		for i := range count {
			all.Go(func() {
				pause(time.Duration(i) * time.Second / time.Duration(perSecond))
				begin := time.Now()
				ctx, cancel := context.WithTimeout(context.Background(), bookingDeadline)
				defer cancel()
				key := ulid.MustNew(ulid.Now(), newSource(uint64(i))).String()
				ok := claim(ctx, i, key)
				mu.Lock()
				defer mu.Unlock()
				if !ok {
					got.refused++
					return
				}
				waits = append(waits, time.Since(begin))
			})
		}
		all.Wait()
		pause(time.Hour)
		got.callsPerSec = float64(store.callCount()) / bookingsFor.Seconds()
		got.claimed = len(waits)
		slices.SortFunc(waits, cmp.Compare)
		got.p50, got.p95 = waits[len(waits)/2], waits[len(waits)*95/100]
	})
	return got
}

// fleet returns the claims of a number of hosts, each run finished at once.
func fleet(hosts int) func(*memoryStore) claimFunc {
	return func(store *memoryStore) claimFunc {
		m := &model{store: store, net: &network{rnd: store.rnd}}
		for i := range hosts {
			m.addHost(i, store.rnd)
		}
		return func(ctx context.Context, host int, key string) bool {
			deadline, _ := ctx.Deadline()
			d, err := m.hosts[host%hosts].Begin(ctx, Request{Customer: testCustomer, Key: key, Deadline: deadline})
			if err != nil {
				return false
			}
			d.Ticket.Finish([]byte(`"ok"`), nil)
			return true
		}
	}
}

// onePerKey is the plain way: a value of its own for each key, written once to
// claim it and once for its outcome.
func onePerKey(store *memoryStore) claimFunc {
	return func(ctx context.Context, _ int, key string) bool {
		e, err := store.CompareAndSwap(ctx, key, 0, []byte("claimed"), time.Hour)
		if err != nil {
			return false
		}
		_, err = store.CompareAndSwap(ctx, key, e.Revision, []byte("ran"), time.Hour)
		return err == nil
	}
}

// The rate of store calls has a ceiling that neither the number of hosts nor
// the load moves, and claims are not refused below it.
func TestClaimRateIsFlatInHosts(t *testing.T) {
	is := is.New(t)
	hostsAt := map[int][]int{10: {8}, 300: {8}, 600: {1, 8, 32, 360}}
	for perSecond, fleets := range hostsAt {
		plain := measureClaims(t, perSecond, onePerKey)
		t.Logf("%d bookings/s, one value per key: %v", perSecond, plain)
		for _, hosts := range fleets {
			got := measureClaims(t, perSecond, fleet(hosts))
			t.Logf("%d bookings/s, %d hosts: %v", perSecond, hosts, got)
			is.Equal(got.refused, 0)
			is.True(got.callsPerSec <= storeCallsPerSecond)
		}
	}
}
