package lease

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pimentorill/pimentorill/internal/port"
)

// memory is the store's one key, in virtual time.
type fakeStore struct {
	entry       port.Entry
	expiresAt   time.Time
	revision    uint64
	writes      int
	reads       int
	unavailable bool
}

func (m *fakeStore) apply(now time.Time, c Call) (port.Entry, error) {
	if !now.Before(m.expiresAt) {
		m.entry = port.Entry{}
	}
	if c.Operation == Read {
		m.reads++
	} else {
		m.writes++
	}
	switch {
	case m.unavailable:
		return port.Entry{}, port.ErrUnavailable
	case c.Operation == Read && m.entry.Revision == 0:
		return port.Entry{}, port.ErrNotFound
	case c.Operation == Read:
		return m.entry, nil
	case c.Prev != m.entry.Revision:
		return m.entry, port.ErrConflict
	case c.Operation == Delete:
		m.entry = port.Entry{}
		return port.Entry{}, nil
	}
	m.revision++
	m.entry = port.Entry{Key: c.Key, Value: c.Value, Revision: m.revision}
	m.expiresAt = now.Add(c.TTL)
	return m.entry, nil
}

// claimant is a host with the call that it waits for.
type simulatedHost struct {
	elector     *Elector
	rank        int
	call        Call
	entry       port.Entry
	err         error
	applyAt     time.Time
	doneAt      time.Time
	pausedUntil time.Time
	answerLost  bool
}

// step lets a claimant act at the given time unless it is paused.
func (c *simulatedHost) step(now time.Time, m *fakeStore, r *rand.Rand, faults bool) {
	if !c.applyAt.IsZero() && !now.Before(c.applyAt) {
		c.entry, c.err = m.apply(now, c.call)
		c.applyAt = time.Time{}
		if c.answerLost {
			c.err = port.ErrUncertain
		}
	}
	if now.Before(c.pausedUntil) {
		return
	}
	if !c.doneAt.IsZero() && c.applyAt.IsZero() && !now.Before(c.doneAt) {
		c.doneAt = time.Time{}
		c.elector.HandleResult(now, c.call, c.entry, c.err)
	}
	call, ok := c.elector.NextCall(now, c.rank)
	if !ok {
		return
	}
	c.call, c.answerLost = call, false
	c.applyAt, c.doneAt = now, now
	if !faults {
		return
	}
	c.applyAt = now.Add(time.Duration(r.IntN(2000)) * time.Millisecond)
	c.doneAt = c.applyAt.Add(time.Duration(r.IntN(2000)) * time.Millisecond)
	c.answerLost = r.IntN(10) == 0
}

func newSimulatedHosts(n int) []*simulatedHost {
	var out []*simulatedHost
	nonces := 0
	for rank := range n {
		nonce := func() string {
			nonces++
			return fmt.Sprint(nonces)
		}
		out = append(out, &simulatedHost{rank: rank, elector: NewElector(fmt.Sprintf("entry-%d", rank), Key("kranj", "orders"), nonce)})
	}
	return out
}

const simulationStep = 100 * time.Millisecond

// Over histories of slow calls, lost answers, outages and pauses, no two
// hosts hold the lease at the same time, and each new holding has a higher
// fencing number.
func TestLeaseHasAtMostOneHolder(t *testing.T) {
	is := is.New(t)
	holdings := 0
	for seed := range uint64(500) {
		r := rand.New(rand.NewPCG(seed, 1))
		now := time.UnixMilli(1_800_000_000_000)
		m := &fakeStore{}
		claimants := newSimulatedHosts(3)
		var lastFence uint64
		lastHolder := -1
		for range 3000 {
			now = now.Add(simulationStep)
			if r.IntN(400) == 0 {
				m.unavailable = !m.unavailable
			}
			holders := 0
			for i, c := range claimants {
				if r.IntN(300) == 0 {
					c.pausedUntil = now.Add(time.Duration(r.IntN(30)) * time.Second)
				}
				c.step(now, m, r, true)
				h, ok := c.elector.Held(now)
				if !ok {
					continue
				}
				holders++
				if h.Fence != lastFence {
					holdings++
					if h.Fence < lastFence {
						t.Fatalf("seed %d: fence %d after %d", seed, h.Fence, lastFence)
					}
				} else if lastHolder != i {
					t.Fatalf("seed %d: fence %d used by two hosts", seed, h.Fence)
				}
				lastFence, lastHolder = h.Fence, i
			}
			if holders > 1 {
				t.Fatalf("seed %d: %d holders", seed, holders)
			}
		}
	}
	is.True(holdings > 500) // the histories did pass the lease on
	t.Logf("%d holdings", holdings)
}

// run lets d pass without faults and returns the time after it.
func runWithoutFaults(now time.Time, d time.Duration, m *fakeStore, claimants ...*simulatedHost) time.Time {
	for end := now.Add(d); now.Before(end); {
		now = now.Add(simulationStep)
		for _, c := range claimants {
			c.step(now, m, nil, false)
		}
	}
	return now
}

func TestLeaseIsReleasedAndLapsesInOutage(t *testing.T) {
	is := is.New(t)
	now := time.UnixMilli(1_800_000_000_000)
	m := &fakeStore{}
	c := newSimulatedHosts(3)
	now = runWithoutFaults(now, time.Second, m, c...)
	first, ok := c[0].elector.Held(now)
	is.True(ok)
	m.writes, m.reads = 0, 0
	now = runWithoutFaults(now, time.Minute, m, c...)
	t.Logf("at rest: %d writes and %d reads a minute and lease", m.writes, m.reads)
	is.True(m.writes <= 20) // the holder renews every 3 s
	is.True(m.reads <= 24)  // two candidates look every 5 s

	c[0].elector.Release(now)
	_, ok = c[0].elector.Held(now)
	is.True(!ok)
	now = runWithoutFaults(now, 8*time.Second, m, c...)
	is.True(c[0].elector.Released())
	second, ok := c[1].elector.Held(now)
	is.True(ok) // the next candidate took it without waiting for the lease to lapse
	is.True(second.Fence > first.Fence)

	m.unavailable = true
	m.writes = 0
	now = runWithoutFaults(now, time.Hour, m, c[1:]...)
	_, ok = c[1].elector.Held(now)
	is.True(!ok) // an outage ends it by the holder's own clock
	is.True(m.writes <= 3600/int(maxBackoff.Seconds())+4)
	m.unavailable = false
	now = runWithoutFaults(now, 20*time.Second, m, c[1:]...)
	_, one := c[1].elector.Held(now)
	_, two := c[2].elector.Held(now)
	is.True(one != two)
}

// A renewal and an acquisition whose answers are lost are read back.
func TestWriteWithLostAnswerIsReadBack(t *testing.T) {
	is := is.New(t)
	now := time.UnixMilli(1_800_000_000_000)
	m := &fakeStore{}
	c := newSimulatedHosts(1)[0].elector
	look, _ := c.NextCall(now, 0)
	c.HandleResult(now, look, port.Entry{}, port.ErrNotFound)
	for range 2 {
		write, ok := c.NextCall(now, 0)
		is.True(ok)
		is.Equal(write.Operation, Write)
		_, err := m.apply(now, write)
		is.NoErr(err)
		c.HandleResult(now.Add(time.Second), write, port.Entry{}, port.ErrUncertain)
		now = now.Add(2 * time.Second)
		look, ok = c.NextCall(now, 0)
		is.True(ok)
		is.Equal(look.Operation, Read)
		entry, err := m.apply(now, look)
		c.HandleResult(now, look, entry, err)
		h, ok := c.Held(now)
		is.True(ok)
		is.Equal(h.Fence, uint64(1))
		is.Equal(h.Until, write.SentAt.Add(TTL-expiryMargin)) // from before the send
		now = write.SentAt.Add(renewInterval)
	}
}
