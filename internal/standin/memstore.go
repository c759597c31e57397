package standin

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/time/rate"

	"github.com/pimentorill/pimentorill/internal/port"
)

// MemStore is a port.Store in memory with the faults of the platform's
// key-value service. It needs no network.
type MemStore struct {
	clock port.Clock

	mu       sync.Mutex
	entries  map[string]*stored
	revision uint64
	changed  chan struct{}
	faults   storeFaults
	calls    StoreCalls
}

type stored struct {
	entry     port.Entry
	expiresAt time.Time
}

type storeFaults struct {
	outage     bool
	hang       bool
	slow       time.Duration
	loseAnswer int
	loseWrite  int
	writes     *rate.Limiter
	reads      *rate.Limiter
}

// StoreCalls counts the calls that reached the store, refused ones included.
type StoreCalls struct {
	Gets, Lists, Swaps, Deletes, Watches int
	// Refused is the number of calls refused for their rate.
	Refused int
	// Waiting is the number of watches that wait now, MaxWaiting the most.
	Waiting, MaxWaiting int
}

// Reads returns the calls that count against the read rate.
func (c StoreCalls) Reads() int { return c.Gets + c.Lists + c.Watches }

// Writes returns the calls that count against the write rate.
func (c StoreCalls) Writes() int { return c.Swaps + c.Deletes }

// NewMemStore returns an empty store. A nil clock means package time; with
// another clock, call Tick after each step so that watches see lapsed leases.
func NewMemStore(clock port.Clock) *MemStore {
	if clock == nil {
		clock = port.SystemClock{}
	}
	return &MemStore{clock: clock, entries: make(map[string]*stored), changed: make(chan struct{})}
}

var errStoreAway = errors.Wrap(port.ErrUnavailable, "standin: outage")

// Get implements port.Store.
func (m *MemStore) Get(ctx context.Context, key string) (port.Entry, error) {
	if err := m.read(ctx, func(c *StoreCalls) { c.Gets++ }); err != nil {
		return port.Entry{}, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.liveLocked(key)
	if s == nil {
		return port.Entry{}, port.ErrNotFound
	}
	return s.entry, nil
}

// List implements port.Store.
func (m *MemStore) List(ctx context.Context, prefix string) ([]port.Entry, error) {
	if err := m.read(ctx, func(c *StoreCalls) { c.Lists++ }); err != nil {
		return nil, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []port.Entry
	for key := range m.entries {
		if s := m.liveLocked(key); s != nil && strings.HasPrefix(key, prefix) {
			out = append(out, s.entry)
		}
	}
	slices.SortFunc(out, func(a, b port.Entry) int { return strings.Compare(a.Key, b.Key) })
	return out, nil
}

// Swap implements port.Store.
func (m *MemStore) CompareAndSwap(ctx context.Context, key string, prev uint64, value []byte, ttl time.Duration) (port.Entry, error) {
	if len(value) > port.MaxValueBytes {
		return port.Entry{}, errors.New("standin: value too large")
	}
	var got port.Entry
	err := m.write(ctx, func(c *StoreCalls) { c.Swaps++ }, func() error {
		var err error
		got, err = m.swapLocked(key, prev, value, ttl)
		return err
	})
	if errors.Is(err, port.ErrUnavailable) {
		return port.Entry{}, err
	}
	return got, err
}

func (m *MemStore) swapLocked(key string, prev uint64, value []byte, ttl time.Duration) (port.Entry, error) {
	s := m.liveLocked(key)
	if s == nil && prev != 0 {
		return port.Entry{}, port.ErrConflict
	}
	if s != nil && s.entry.Revision != prev {
		return s.entry, port.ErrConflict
	}
	m.revision++
	s = &stored{entry: port.Entry{Key: key, Value: slices.Clone(value), Revision: m.revision}}
	if ttl > 0 {
		s.expiresAt = m.clock.Now().Add(ttl)
	}
	m.entries[key] = s
	m.notifyLocked()
	return s.entry, nil
}

// Delete implements port.Store.
func (m *MemStore) Delete(ctx context.Context, key string, prev uint64) error {
	return m.write(ctx, func(c *StoreCalls) { c.Deletes++ }, func() error {
		s := m.liveLocked(key)
		if s == nil || s.entry.Revision != prev {
			return port.ErrConflict
		}
		delete(m.entries, key)
		m.notifyLocked()
		return nil
	})
}

// Watch implements port.Store.
func (m *MemStore) Watch(ctx context.Context, key string, after uint64) (port.Entry, error) {
	if err := m.read(ctx, func(c *StoreCalls) { c.Watches++ }); err != nil {
		return port.Entry{}, err
	}
	m.addWaiting(1)
	defer m.addWaiting(-1)
	for {
		entry, done, changed, lapse, err := m.look(key, after)
		if done || err != nil {
			return entry, err
		}
		if err := waitChange(ctx, changed, lapse); err != nil {
			return port.Entry{}, err
		}
	}
}

// look returns the entry if it differs from after, else what to wait for.
func (m *MemStore) look(key string, after uint64) (port.Entry, bool, <-chan struct{}, time.Duration, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.faults.outage {
		return port.Entry{}, false, nil, 0, errStoreAway
	}
	s := m.liveLocked(key)
	if s == nil {
		return port.Entry{}, after != 0, m.changed, 0, nil
	}
	if s.entry.Revision != after {
		return s.entry, true, nil, 0, nil
	}
	var lapse time.Duration
	if !s.expiresAt.IsZero() {
		lapse = s.expiresAt.Sub(m.clock.Now())
	}
	return s.entry, false, m.changed, lapse, nil
}

// waitChange waits for a change, for lapse if it is above 0, or for ctx.
func waitChange(ctx context.Context, changed <-chan struct{}, lapse time.Duration) error {
	var timeout <-chan time.Time
	if lapse > 0 {
		t := time.NewTimer(lapse)
		defer t.Stop()
		timeout = t.C
	}
	select {
	case <-changed:
	case <-timeout:
	case <-ctx.Done():
		return ctx.Err()
	}
	return nil
}

// liveLocked returns the entry of key unless its lease has lapsed.
func (m *MemStore) liveLocked(key string) *stored {
	s, ok := m.entries[key]
	if !ok {
		return nil
	}
	if !s.expiresAt.IsZero() && !m.clock.Now().Before(s.expiresAt) {
		delete(m.entries, key)
		return nil
	}
	return s
}

func (m *MemStore) notifyLocked() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// Tick makes waiting watches look again, after a step of a hand-driven clock.
func (m *MemStore) Tick() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.notifyLocked()
}

func (m *MemStore) addWaiting(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calls.Waiting += n
	m.calls.MaxWaiting = max(m.calls.MaxWaiting, m.calls.Waiting)
}

// read passes a read through the faults.
func (m *MemStore) read(ctx context.Context, count func(*StoreCalls)) error {
	f, err := m.admit(count, func(f *storeFaults) *rate.Limiter { return f.reads })
	if err != nil {
		return err
	}
	if f.hang {
		<-ctx.Done()
	}
	if sleep(ctx, f.slow) != nil {
		return errors.Wrap(port.ErrUnavailable, "standin: slow read")
	}
	return nil
}

// write passes a write through the faults. A write whose caller gives up
// while the store is slow or hangs takes effect all the same.
func (m *MemStore) write(ctx context.Context, count func(*StoreCalls), apply func() error) error {
	f, err := m.admit(count, func(f *storeFaults) *rate.Limiter { return f.writes })
	if err != nil {
		return err
	}
	if f.hang {
		<-ctx.Done()
	}
	gaveUp := sleep(ctx, f.slow) != nil
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.faults.loseWrite > 0 {
		m.faults.loseWrite--
		return port.ErrUncertain
	}
	err = apply()
	if m.faults.loseAnswer > 0 {
		m.faults.loseAnswer--
		gaveUp = true
	}
	if gaveUp {
		return port.ErrUncertain
	}
	return err
}

// admit counts the call and applies outage and rate.
func (m *MemStore) admit(count func(*StoreCalls), limit func(*storeFaults) *rate.Limiter) (storeFaults, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	count(&m.calls)
	if m.faults.outage {
		return storeFaults{}, errStoreAway
	}
	if l := limit(&m.faults); l != nil && !l.AllowN(m.clock.Now(), 1) {
		m.calls.Refused++
		return storeFaults{}, port.ErrRateLimited
	}
	return m.faults, nil
}
