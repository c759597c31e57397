package store

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/pimentorill/pimentorill/internal/port"
	"github.com/pimentorill/pimentorill/internal/standin"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// startStore starts a stand-in store and returns it with a client of it.
func startStore(t *testing.T) (*standin.Store, *Client) {
	t.Helper()
	s := standin.NewStore(standin.NewMemStore(nil))
	if err := s.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	c := New(Config{Address: s.Address()})
	t.Cleanup(c.Close)
	return s, c
}

// TestWritesRequireCurrentRevisionOfEscapedKeys writes, reads and deletes an ordinary
// key and one whose characters must be escaped in a URL.
func TestWritesRequireCurrentRevisionOfEscapedKeys(t *testing.T) {
	is := is.New(t)
	_, c := startStore(t)
	ctx := t.Context()
	_, err := c.Get(ctx, "a/b")
	is.True(errors.Is(err, port.ErrNotFound))
	specialKey := "a/../c ?x=1&%2F\r\n"
	for _, key := range []string{"a/b", specialKey} {
		e, err := c.CompareAndSwap(ctx, key, 0, []byte("one"), 0)
		is.NoErr(err)
		current, err := c.CompareAndSwap(ctx, key, 0, []byte("two"), 0)
		is.True(errors.Is(err, port.ErrConflict))
		is.Equal(current, e)
		got, err := c.Get(ctx, key)
		is.NoErr(err)
		is.Equal(got.Key, key)
		is.Equal(string(got.Value), "one")
	}
	list, err := c.List(ctx, "a/")
	is.NoErr(err)
	is.Equal(len(list), 2)
	is.True(errors.Is(c.Delete(ctx, specialKey, 1), port.ErrConflict))
	is.NoErr(c.Delete(ctx, specialKey, 2)) // revisions are store-wide: "a/b" has revision 1
}

func TestFailedWriteTellsWhetherItMayHaveTakenEffect(t *testing.T) {
	is := is.New(t)
	s, c := startStore(t)
	ctx := t.Context()
	s.DropResponses(1)
	_, err := c.CompareAndSwap(ctx, "k", 0, []byte("v"), 0)
	is.True(errors.Is(err, port.ErrUncertain))
	is.True(errors.Is(err, port.ErrUnavailable))
	got, err := c.Get(ctx, "k")
	is.NoErr(err)
	is.Equal(string(got.Value), "v")

	s.SetRateLimits(1, 1000) // one write per second
	_, err = c.CompareAndSwap(ctx, "l", 0, nil, 0)
	is.NoErr(err)
	_, err = c.CompareAndSwap(ctx, "m", 0, nil, 0)
	is.True(errors.Is(err, port.ErrRateLimited))
	s.SetRateLimits(0, 0)
	s.SetOutage(true)
	_, err = c.CompareAndSwap(ctx, "m", 0, nil, 0)
	is.True(errors.Is(err, port.ErrUnavailable))
	is.True(!errors.Is(err, port.ErrUncertain))
	s.SetOutage(false)
	s.Close()
	_, err = c.CompareAndSwap(ctx, "m", 0, nil, 0)
	is.True(errors.Is(err, port.ErrUnavailable))
}

func TestWatchReturnsChangeAndEndsWithContext(t *testing.T) {
	is := is.New(t)
	s, c := startStore(t)
	ctx, cancel := context.WithCancel(t.Context())
	first, err := c.CompareAndSwap(ctx, "k", 0, []byte("1"), 0)
	is.NoErr(err)
	got := make(chan port.Entry)
	go func() {
		e, _ := c.Watch(ctx, "k", first.Revision)
		got <- e
	}()
	second, err := s.CompareAndSwap(ctx, "k", first.Revision, []byte("2"), 0)
	is.NoErr(err)
	is.Equal(<-got, second)
	ended := make(chan error)
	go func() {
		_, err := c.Watch(ctx, "k", second.Revision)
		ended <- err
	}()
	cancel()
	is.True(errors.Is(<-ended, context.Canceled))
}

// TestLeaseExpiresAndItsRevisionIsNotReused checks the in-memory store on which the
// tests of lease holders rely.
func TestLeaseExpiresAndItsRevisionIsNotReused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := standin.NewMemStore(nil)
		first, err := m.CompareAndSwap(t.Context(), "lease", 0, []byte("host-1"), time.Second)
		is.NoErr(err)
		expired, err := m.Watch(t.Context(), "lease", first.Revision)
		is.NoErr(err)
		is.Equal(expired.Revision, uint64(0))
		second, err := m.CompareAndSwap(t.Context(), "lease", 0, []byte("host-2"), time.Second)
		is.NoErr(err)
		is.True(second.Revision > first.Revision)
		_, err = m.CompareAndSwap(t.Context(), "lease", first.Revision, []byte("host-1"), time.Second)
		is.True(errors.Is(err, port.ErrConflict))
	})
}

func TestRateLimitHoldsDuringAndAfterLongOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := standin.NewMemStore(nil)
		l := Limit(m, rand.New(rand.NewPCG(1, 1)))
		l.SetFleetSize(trafficReadsPerSecond / 10) // 10 reads per second for this host
		m.SetOutage(true)
		read := func() error {
			ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
			defer cancel()
			_, err := l.Get(ctx, "k")
			return err
		}
		for start := time.Now(); time.Since(start) < time.Hour; time.Sleep(250 * time.Millisecond) {
			is.True(errors.Is(read(), port.ErrUnavailable))
		}
		// At most one probe per half of the longest backoff, and the initial calls.
		is.True(m.Calls().Gets <= int(time.Hour/(maxBackoff/2))+20)
		m.SetOutage(false)
		time.Sleep(2 * maxBackoff)
		is.True(errors.Is(read(), port.ErrNotFound)) // the call reached the store, which has no such key
		before := m.Calls().Gets
		for start := time.Now(); time.Since(start) < 10*time.Second; time.Sleep(time.Millisecond) {
			_ = read()
		}
		is.True(m.Calls().Gets-before <= 10*10+10) // 10 s at 10 reads per second, and one burst
	})
}

// TestTrafficDoesNotDelayLeaseRenewal exhausts a host's rate limit with traffic and
// checks that a lease can still be renewed.
func TestTrafficDoesNotDelayLeaseRenewal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := Limit(standin.NewMemStore(nil), rand.New(rand.NewPCG(1, 1)))
		l.SetFleetSize(360)
		ctx, cancel := context.WithCancel(t.Context())
		for i := range 100 {
			go func() { _, _ = l.CompareAndSwap(ctx, strconv.Itoa(i), 0, nil, 0) }()
		}
		synctest.Wait()
		var revision uint64
		for range 10 {
			callCtx, cancelCall := context.WithTimeout(ctx, time.Second)
			e, err := l.Control().CompareAndSwap(callCtx, "lease", revision, nil, 10*time.Second)
			cancelCall()
			is.NoErr(err)
			revision = e.Revision
			time.Sleep(3 * time.Second) // the renewal interval of a lease holder
		}
		cancel()
		synctest.Wait()
	})
}

// TestNoThunderingHerdAfterStoreOutage runs the 360 hosts of the design size, which
// call the store in a loop during and after an outage, and checks that the calls
// per second stay within the store's capacity.
func TestNoThunderingHerdAfterStoreOutage(t *testing.T) {
	const hosts, storeReads, storeWrites = 360, 2000, 300 // the store's capacity in calls per second
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := standin.NewMemStore(nil)
		ctx, cancel := context.WithCancel(t.Context())
		callRepeatedly := func(call func(context.Context)) {
			for ctx.Err() == nil {
				callCtx, cancelCall := context.WithTimeout(ctx, 4*time.Second)
				call(callCtx)
				cancelCall()
				time.Sleep(200 * time.Millisecond)
			}
		}
		m.SetOutage(true)
		var workers sync.WaitGroup
		for i := range hosts {
			l := Limit(m, rand.New(rand.NewPCG(uint64(i), 1)))
			l.SetFleetSize(hosts)
			workers.Go(func() { callRepeatedly(func(ctx context.Context) { _, _ = l.Get(ctx, "k") }) })
			workers.Go(func() {
				callRepeatedly(func(ctx context.Context) { _, _ = l.CompareAndSwap(ctx, strconv.Itoa(i), 0, nil, time.Millisecond) })
			})
		}
		time.Sleep(20 * time.Second)
		m.SetOutage(false)
		var maxReads, maxWrites int
		for range 20 {
			before := m.Calls()
			time.Sleep(time.Second)
			after := m.Calls()
			maxReads = max(maxReads, after.Reads()-before.Reads())
			maxWrites = max(maxWrites, after.Writes()-before.Writes())
		}
		t.Logf("most calls in a second after the outage: %d reads, %d writes", maxReads, maxWrites)
		is.True(maxReads <= storeReads)
		is.True(maxWrites <= storeWrites)
		cancel()
		workers.Wait()
	})
}

// FuzzDecodeEntry checks that no entry with a value but without a revision is
// accepted, and no empty body as a list.
func FuzzDecodeEntry(f *testing.F) {
	f.Add([]byte(`{"key":"k","value":"dg==","revision":3}`))
	f.Add([]byte(`{"value":"dg=="}`))
	f.Add([]byte(`[{"key":"k"}]`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		e, err := decodeEntry(raw)
		if err == nil && e.Revision == 0 && len(e.Value) > 0 {
			t.Fatal("entry has a value but no revision")
		}
		if _, err := decodeList(raw); err == nil && len(raw) == 0 {
			t.Fatal("list decoded from an empty body")
		}
	})
}
