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

// MemStore is a port.Store in memory that can inject the faults of the
// platform's key-value service. It needs no network.
type MemStore struct {
	clock port.Clock

	mu       sync.Mutex
	entries  map[string]*storedEntry // by key; expired ones stay until they are read
	revision uint64                  // of the last write
	epoch    int64                   // rises with each restore
	changed  chan struct{}           // closed and replaced at each change
	faults   storeFaults
	calls    StoreCalls
}

// storedEntry is an entry and the time at which it expires; zero means never.
type storedEntry struct {
	entry     port.Entry
	expiresAt time.Time
}

// storeFaults holds the injected faults; storefaults.go sets them.
type storeFaults struct {
	outage          bool
	hangs           bool
	delay           time.Duration
	responsesToDrop int           // responses of writes still to be lost
	writesToDrop    int           // writes still to be lost
	writeLimiter    *rate.Limiter // nil means no limit
	readLimiter     *rate.Limiter // nil means no limit
}

// StoreCalls counts the calls that reached the store, refused ones included.
type StoreCalls struct {
	Gets, Lists, CompareAndSwaps, Deletes, Watches int
	// Refused is the number of calls refused because of the rate limits.
	Refused int
	// WaitingWatches is the number of watches in progress, MaxWaitingWatches
	// its maximum so far.
	WaitingWatches, MaxWaitingWatches int
}

// Reads returns the number of calls that count against the read limit.
func (c StoreCalls) Reads() int { return c.Gets + c.Lists + c.Watches }

// Writes returns the number of calls that count against the write limit.
func (c StoreCalls) Writes() int { return c.CompareAndSwaps + c.Deletes }

// NewMemStore returns an empty store. A nil clock means package time; with
// another clock, call WakeWatches after each step so that watches see expired
// leases.
func NewMemStore(clock port.Clock) *MemStore {
	if clock == nil {
		clock = port.SystemClock{}
	}
	return &MemStore{clock: clock, entries: make(map[string]*storedEntry), epoch: 1, changed: make(chan struct{})}
}

var errStoreOutage = errors.Wrap(port.ErrUnavailable, "standin: outage")

// Get implements port.Store.
func (m *MemStore) Get(ctx context.Context, key string) (port.Entry, error) {
	if err := m.read(ctx, func(c *StoreCalls) { c.Gets++ }); err != nil {
		return port.Entry{}, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.liveLocked(key)
	if s == nil {
		return port.Entry{Epoch: m.epoch}, port.ErrNotFound
	}
	return m.inEpochLocked(s.entry), nil
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
			out = append(out, m.inEpochLocked(s.entry))
		}
	}
	slices.SortFunc(out, func(a, b port.Entry) int { return strings.Compare(a.Key, b.Key) })
	return out, nil
}

// CompareAndSwap implements port.Store.
func (m *MemStore) CompareAndSwap(ctx context.Context, key string, prev uint64, value []byte, ttl time.Duration) (port.Entry, error) {
	return m.CompareAndSwapInEpoch(ctx, 0, key, prev, value, ttl)
}

// CompareAndSwapInEpoch implements port.Store.
func (m *MemStore) CompareAndSwapInEpoch(ctx context.Context, epoch int64, key string, prev uint64, value []byte, ttl time.Duration) (port.Entry, error) {
	if len(value) > port.MaxValueBytes {
		return port.Entry{}, errors.New("standin: value too large")
	}
	var got port.Entry
	err := m.write(ctx, func(c *StoreCalls) { c.CompareAndSwaps++ }, func() error {
		var err error
		got, err = m.compareAndSwapLocked(epoch, key, prev, value, ttl)
		got = m.inEpochLocked(got)
		return err
	})
	if errors.Is(err, port.ErrUnavailable) {
		return port.Entry{}, err
	}
	return got, err
}

// inEpochLocked returns the entry with the store's epoch.
func (m *MemStore) inEpochLocked(e port.Entry) port.Entry {
	e.Epoch = m.epoch
	return e
}

func (m *MemStore) compareAndSwapLocked(epoch int64, key string, prev uint64, value []byte, ttl time.Duration) (port.Entry, error) {
	s := m.liveLocked(key)
	if s == nil && prev != 0 {
		return port.Entry{}, port.ErrConflict
	}
	if s != nil && s.entry.Revision != prev {
		return s.entry, port.ErrConflict
	}
	if epoch != 0 && epoch != m.epoch {
		if s == nil {
			return port.Entry{}, port.ErrConflict
		}
		return s.entry, port.ErrConflict
	}
	m.revision++
	s = &storedEntry{entry: port.Entry{Key: key, Value: slices.Clone(value), Revision: m.revision}}
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
	m.addWaitingWatches(1)
	defer m.addWaitingWatches(-1)
	for {
		entry, done, changed, untilExpiry, err := m.checkWatch(key, after)
		if done || err != nil {
			return entry, err
		}
		if err := waitForChange(ctx, changed, untilExpiry); err != nil {
			return port.Entry{}, err
		}
	}
}

// checkWatch returns the entry and true if its revision differs from after, and
// otherwise a channel that is closed at the next change and the time until the
// entry expires, 0 if it doesn't. It fails during an outage.
func (m *MemStore) checkWatch(key string, after uint64) (port.Entry, bool, <-chan struct{}, time.Duration, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.faults.outage {
		return port.Entry{}, false, nil, 0, errStoreOutage
	}
	s := m.liveLocked(key)
	if s == nil {
		return m.inEpochLocked(port.Entry{}), after != 0, m.changed, 0, nil
	}
	if s.entry.Revision != after {
		return m.inEpochLocked(s.entry), true, nil, 0, nil
	}
	var untilExpiry time.Duration
	if !s.expiresAt.IsZero() {
		untilExpiry = s.expiresAt.Sub(m.clock.Now())
	}
	return s.entry, false, m.changed, untilExpiry, nil
}

// waitForChange waits for a change, for untilExpiry if it is above 0, or until
// ctx ends.
func waitForChange(ctx context.Context, changed <-chan struct{}, untilExpiry time.Duration) error {
	var timeout <-chan time.Time
	if untilExpiry > 0 {
		t := time.NewTimer(untilExpiry)
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

// liveLocked returns the entry of key, or nil if it is absent or expired.
func (m *MemStore) liveLocked(key string) *storedEntry {
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

// notifyLocked wakes all waiting watches.
func (m *MemStore) notifyLocked() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// WakeWatches makes waiting watches check their key again, after a step of a
// manually advanced clock.
func (m *MemStore) WakeWatches() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.notifyLocked()
}

func (m *MemStore) addWaitingWatches(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calls.WaitingWatches += n
	m.calls.MaxWaitingWatches = max(m.calls.MaxWaitingWatches, m.calls.WaitingWatches)
}

// read counts a read and applies the injected faults. It fails with
// port.ErrUnavailable if ctx ends while the store is slow or hangs.
func (m *MemStore) read(ctx context.Context, count func(*StoreCalls)) error {
	f, err := m.admit(count, func(f *storeFaults) *rate.Limiter { return f.readLimiter })
	if err != nil {
		return err
	}
	if f.hangs {
		<-ctx.Done()
	}
	if sleep(ctx, f.delay) != nil {
		return errors.Wrap(port.ErrUnavailable, "standin: context ended during a read")
	}
	return nil
}

// write counts a write, applies the injected faults and then the write. A write
// whose ctx ends while the store is slow or hangs is applied nevertheless; its
// caller gets port.ErrUncertain. apply is called with mu held.
func (m *MemStore) write(ctx context.Context, count func(*StoreCalls), apply func() error) error {
	f, err := m.admit(count, func(f *storeFaults) *rate.Limiter { return f.writeLimiter })
	if err != nil {
		return err
	}
	if f.hangs {
		<-ctx.Done()
	}
	outcomeUnknown := sleep(ctx, f.delay) != nil
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.faults.writesToDrop > 0 {
		m.faults.writesToDrop--
		return port.ErrUncertain
	}
	err = apply()
	if m.faults.responsesToDrop > 0 {
		m.faults.responsesToDrop--
		outcomeUnknown = true
	}
	if outcomeUnknown {
		return port.ErrUncertain
	}
	return err
}

// admit counts the call and returns the faults to apply to it. It fails during an
// outage and if the limiter that limit selects is exhausted.
func (m *MemStore) admit(count func(*StoreCalls), limit func(*storeFaults) *rate.Limiter) (storeFaults, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	count(&m.calls)
	if m.faults.outage {
		return storeFaults{}, errStoreOutage
	}
	if l := limit(&m.faults); l != nil && !l.AllowN(m.clock.Now(), 1) {
		m.calls.Refused++
		return storeFaults{}, port.ErrRateLimited
	}
	return m.faults, nil
}
