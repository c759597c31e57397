package lease

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pimentorill/pimentorill/internal/port"
)

// fakeStore simulates a store with one key, in virtual time.
type fakeStore struct {
	entry     port.Entry
	expiresAt time.Time
	revision  uint64
	// writes counts calls of Write and Delete, reads those of Read.
	writes int
	reads  int
	// unavailable makes all calls fail without effect.
	unavailable bool
}

// apply executes a call at the given time.
func (store *fakeStore) apply(now time.Time, call Call) (port.Entry, error) {
	if !now.Before(store.expiresAt) {
		store.entry = port.Entry{}
	}
	if call.Operation == Read {
		store.reads++
	} else {
		store.writes++
	}
	switch {
	case store.unavailable:
		return port.Entry{}, port.ErrUnavailable
	case call.Operation == Read && store.entry.Revision == 0:
		return port.Entry{}, port.ErrNotFound
	case call.Operation == Read:
		return store.entry, nil
	case call.Prev != store.entry.Revision:
		return store.entry, port.ErrConflict
	case call.Operation == Delete:
		store.entry = port.Entry{}
		return port.Entry{}, nil
	}
	store.revision++
	store.entry = port.Entry{Key: call.Key, Value: call.Value, Revision: store.revision}
	store.expiresAt = now.Add(call.TTL)
	return store.entry, nil
}

// simulatedHost is a host with its call in flight. The store executes the call at
// applyAt, which is zero after that, and the host gets the result at doneAt.
type simulatedHost struct {
	elector     *Elector
	rank        int
	call        Call
	entry       port.Entry
	err         error
	applyAt     time.Time
	doneAt      time.Time
	pausedUntil time.Time
	// responseLost makes the call return port.ErrUncertain although the store
	// executed it.
	responseLost bool
}

// step executes a call that is due in the store and, unless the host is paused,
// lets the host handle its result and send the next one. With faults, calls and
// results take up to 2 s each and every tenth response is lost.
func (h *simulatedHost) step(now time.Time, store *fakeStore, r *rand.Rand, faults bool) {
	if !h.applyAt.IsZero() && !now.Before(h.applyAt) {
		h.entry, h.err = store.apply(now, h.call)
		h.applyAt = time.Time{}
		if h.responseLost {
			h.err = port.ErrUncertain
		}
	}
	if now.Before(h.pausedUntil) {
		return
	}
	if !h.doneAt.IsZero() && h.applyAt.IsZero() && !now.Before(h.doneAt) {
		h.doneAt = time.Time{}
		h.elector.HandleResult(now, h.call, h.entry, h.err)
	}
	call, ok := h.elector.NextCall(now, h.rank)
	if !ok {
		return
	}
	h.call, h.responseLost = call, false
	h.applyAt, h.doneAt = now, now
	if !faults {
		return
	}
	h.applyAt = now.Add(time.Duration(r.IntN(2000)) * time.Millisecond)
	h.doneAt = h.applyAt.Add(time.Duration(r.IntN(2000)) * time.Millisecond)
	h.responseLost = r.IntN(10) == 0
}

// newSimulatedHosts returns n hosts that are candidates for the same lease.
func newSimulatedHosts(n int) []*simulatedHost {
	var out []*simulatedHost
	nonces := 0
	for rank := range n {
		nonce := func() string {
			nonces++
			return fmt.Sprint(nonces)
		}
		out = append(out, &simulatedHost{rank: rank, elector: NewElector(fmt.Sprintf("host-%d", rank), Key("kranj", "orders"), nonce)})
	}
	return out
}

const simulationStep = 100 * time.Millisecond

// TestLeaseHasAtMostOneHolder runs random sequences of slow calls, lost
// responses, store outages and host pauses, each for five minutes of virtual
// time. At no time do two hosts hold the lease, and each acquisition has a higher
// fencing token.
func TestLeaseHasAtMostOneHolder(t *testing.T) {
	is := is.New(t)
	acquisitions := 0
	for seed := range uint64(500) {
		r := rand.New(rand.NewPCG(seed, 1))
		now := time.UnixMilli(1_800_000_000_000)
		store := &fakeStore{}
		hosts := newSimulatedHosts(3)
		var lastFence uint64
		lastHolder := -1
		for range 3000 {
			now = now.Add(simulationStep)
			if r.IntN(400) == 0 {
				store.unavailable = !store.unavailable
			}
			holders := 0
			for i, h := range hosts {
				if r.IntN(300) == 0 {
					h.pausedUntil = now.Add(time.Duration(r.IntN(30)) * time.Second)
				}
				h.step(now, store, r, true)
				held, ok := h.elector.Held(now)
				if !ok {
					continue
				}
				holders++
				if held.Fence != lastFence {
					acquisitions++
					if held.Fence < lastFence {
						t.Fatalf("seed %d: fence %d after %d", seed, held.Fence, lastFence)
					}
				} else if lastHolder != i {
					t.Fatalf("seed %d: fence %d used by two hosts", seed, held.Fence)
				}
				lastFence, lastHolder = held.Fence, i
			}
			if holders > 1 {
				t.Fatalf("seed %d: %d holders", seed, holders)
			}
		}
	}
	is.True(acquisitions > 500) // more than one per seed on average, so the lease was also acquired again
	t.Logf("%d acquisitions", acquisitions)
}

// runWithoutFaults runs the hosts for d of virtual time and returns the time after
// it. Calls take no time and no response is lost, but the store may be unavailable.
func runWithoutFaults(now time.Time, d time.Duration, store *fakeStore, hosts ...*simulatedHost) time.Time {
	for end := now.Add(d); now.Before(end); {
		now = now.Add(simulationStep)
		for _, h := range hosts {
			h.step(now, store, nil, false)
		}
	}
	return now
}

// TestLeaseIsReleasedAndLapsesInOutage checks that the next candidate acquires a
// released lease before its TTL ends, that the holder stops holding its lease in a
// store outage and a host acquires the lease after it, and that the call rates stay
// low.
func TestLeaseIsReleasedAndLapsesInOutage(t *testing.T) {
	is := is.New(t)
	now := time.UnixMilli(1_800_000_000_000)
	store := &fakeStore{}
	hosts := newSimulatedHosts(3)
	now = runWithoutFaults(now, time.Second, store, hosts...)
	first, ok := hosts[0].elector.Held(now)
	is.True(ok)
	store.writes, store.reads = 0, 0
	now = runWithoutFaults(now, time.Minute, store, hosts...)
	t.Logf("idle: %d writes and %d reads per minute and lease", store.writes, store.reads)
	is.True(store.writes <= 20) // the holder renews every 3 s
	is.True(store.reads <= 24)  // two candidates read every 5 s

	hosts[0].elector.Release(now)
	_, ok = hosts[0].elector.Held(now)
	is.True(!ok)
	now = runWithoutFaults(now, 8*time.Second, store, hosts...)
	is.True(hosts[0].elector.Released())
	second, ok := hosts[1].elector.Held(now)
	is.True(ok) // the next candidate acquired it without waiting for it to expire
	is.True(second.Fence > first.Fence)

	store.unavailable = true
	store.writes = 0
	now = runWithoutFaults(now, time.Hour, store, hosts[1:]...)
	_, ok = hosts[1].elector.Held(now)
	is.True(!ok) // the lease ends by the holder's own clock
	// One write per maxBackoff in the hour, and up to four before the backoff
	// reaches it.
	is.True(store.writes <= 3600/int(maxBackoff.Seconds())+4)
	store.unavailable = false
	now = runWithoutFaults(now, 20*time.Second, store, hosts[1:]...)
	_, host1Holds := hosts[1].elector.Held(now)
	_, host2Holds := hosts[2].elector.Held(now)
	is.True(host1Holds != host2Holds)
}

// TestWriteWithLostAnswerIsReadBack loses the responses to an acquisition and a
// renewal; the host must recognise its own write in the store.
func TestWriteWithLostAnswerIsReadBack(t *testing.T) {
	is := is.New(t)
	now := time.UnixMilli(1_800_000_000_000)
	store := &fakeStore{}
	elector := newSimulatedHosts(1)[0].elector
	read, _ := elector.NextCall(now, 0)
	elector.HandleResult(now, read, port.Entry{}, port.ErrNotFound)
	for range 2 {
		write, ok := elector.NextCall(now, 0)
		is.True(ok)
		is.Equal(write.Operation, Write)
		_, err := store.apply(now, write)
		is.NoErr(err)
		elector.HandleResult(now.Add(time.Second), write, port.Entry{}, port.ErrUncertain)
		now = now.Add(2 * time.Second)
		read, ok = elector.NextCall(now, 0)
		is.True(ok)
		is.Equal(read.Operation, Read)
		entry, err := store.apply(now, read)
		elector.HandleResult(now, read, entry, err)
		held, ok := elector.Held(now)
		is.True(ok)
		is.Equal(held.Fence, uint64(1))
		is.Equal(held.Until, write.SentAt.Add(TTL-expiryMargin)) // counted from before the write was sent
		now = write.SentAt.Add(renewInterval)
	}
}

// Guards against a release that a candidate notices only a poll interval later: the notice
// arrives while a read that was answered before the release is on its way back.
func TestNoticeOfAReleaseDuringAReadIsNotLost(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	e := NewElector("h2", "lease/z/control", func() string { return "n" })
	read, due := e.NextCall(now, 0)
	is.True(due)
	e.HolderReleased(now)
	e.HandleResult(now, read, port.Entry{Key: read.Key, Value: []byte(`{"host":"h1"}`), Revision: 3}, nil)
	read, due = e.NextCall(now, 0)
	is.True(due)
	is.Equal(read.Operation, Read)
	e.HandleResult(now, read, port.Entry{}, port.ErrNotFound)
	is.True(e.AcquisitionDue(now, 0))
	is.True(!e.AcquisitionDue(now, 1))
	is.True(!e.AcquisitionDue(now, -1))
	acquire, due := e.NextCall(now, 0)
	is.True(due)
	is.Equal(acquire.Operation, Write)
}
