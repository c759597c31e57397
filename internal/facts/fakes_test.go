package facts

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/pimentorill/pimentorill/internal/core/catalog"
	"github.com/pimentorill/pimentorill/internal/port"
)

// fakeStore is a store in memory that can be unavailable or compact its history.
type fakeStore struct {
	mu             sync.Mutex
	items          map[string]port.KeyValue
	history        []port.KeyValue // changes in the order of their revisions
	revision       int64
	epoch          int64
	oldestRevision int64 // watches from an older revision fail with ErrCompacted
	unavailable    bool
	rangeTime      time.Duration // how long a response to Range takes
	ranges         int           // calls of Range
	watches        int           // calls of Watch
	changed        chan struct{} // closed at the next change; nil if no watch waits
}

func newFakeStore() *fakeStore {
	return &fakeStore{items: make(map[string]port.KeyValue), revision: 10}
}

func (f *fakeStore) put(key, value string) {
	f.change(port.KeyValue{Key: key, Value: []byte(value)})
}

func (f *fakeStore) remove(key string) { f.change(port.KeyValue{Key: key, Deleted: true}) }

func (f *fakeStore) change(item port.KeyValue) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.revision++
	item.Revision = f.revision
	f.items[item.Key] = item
	if item.Deleted {
		delete(f.items, item.Key)
	}
	f.history = append(f.history, item)
	f.wakeWatches()
}

// wakeWatches makes the watches check for changes. The first watch creates the
// channel, so that it belongs to the test's synctest bubble. f.mu must be held.
func (f *fakeStore) wakeWatches() {
	if f.changed != nil {
		close(f.changed)
		f.changed = nil
	}
}

// update changes the fields of the store and wakes the watches.
func (f *fakeStore) update(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
	f.wakeWatches()
}

func (f *fakeStore) Range(ctx context.Context, prefix string) ([]port.KeyValue, port.StorePosition, error) {
	f.mu.Lock()
	rangeTime := f.rangeTime
	f.mu.Unlock()
	port.Sleep(ctx, rangeTime)
	if ctx.Err() != nil {
		return nil, port.StorePosition{}, port.ErrUnfinished
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ranges++
	if f.unavailable {
		return nil, port.StorePosition{}, port.ErrUnavailable
	}
	var list []port.KeyValue
	for _, i := range f.items {
		if strings.HasPrefix(i.Key, prefix) {
			i.Epoch = f.epoch
			list = append(list, i)
		}
	}
	return list, f.position(), nil
}

// position returns the current position. f.mu must be held.
func (f *fakeStore) position() port.StorePosition {
	return port.StorePosition{Epoch: f.epoch, Revision: f.revision}
}

// restore replaces the items by those of a copy, starts a new epoch, and gives out the
// revisions after the copy's again.
func (f *fakeStore) restore(items map[string]port.KeyValue, revision int64) {
	f.update(func() {
		f.items, f.revision, f.history = maps.Clone(items), revision, nil
		f.epoch++
	})
}

// watchCount returns the number of calls of Watch.
func (f *fakeStore) watchCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.watches
}

// backup returns a copy for restore.
func (f *fakeStore) backup() (map[string]port.KeyValue, int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return maps.Clone(f.items), f.revision
}

func (f *fakeStore) Watch(ctx context.Context, _ string, after port.StorePosition, wait time.Duration) ([]port.KeyValue, port.StorePosition, error) {
	f.mu.Lock()
	f.watches++
	f.mu.Unlock()
	end := time.After(wait)
	for {
		f.mu.Lock()
		if f.changed == nil {
			f.changed = make(chan struct{})
		}
		changed := f.changed
		if f.unavailable {
			f.mu.Unlock()
			return nil, port.StorePosition{}, port.ErrUnavailable
		}
		if after.Revision < f.oldestRevision || after.Epoch != f.epoch {
			f.mu.Unlock()
			return nil, port.StorePosition{}, port.ErrCompacted
		}
		var list []port.KeyValue
		for _, i := range f.history {
			if i.Revision > after.Revision {
				i.Epoch = f.epoch
				list = append(list, i)
			}
		}
		position := f.position()
		f.mu.Unlock()
		if len(list) > 0 {
			return list, position, nil
		}
		select {
		case <-changed:
		case <-end:
			return nil, position, nil
		case <-ctx.Done():
			return nil, port.StorePosition{}, ctx.Err()
		}
	}
}

func (f *fakeStore) CompareAndSwap(context.Context, string, []byte, int64, port.Lease) (int64, error) {
	return 0, nil
}
func (f *fakeStore) GrantLease(context.Context, time.Duration) (port.Lease, error) {
	return port.Lease{}, nil
}
func (f *fakeStore) RenewLease(context.Context, port.Lease) error  { return nil }
func (f *fakeStore) RevokeLease(context.Context, port.Lease) error { return nil }

// testDecoder decodes values of the form "VERSION" (configuration) or "ZONE STATE" with
// an optional start time (endpoint). All endpoints belong to the service "pool".
type testDecoder struct{}

func (testDecoder) ClassifyKey(key string) (port.KeyKind, string) {
	kind, name, _ := strings.Cut(key, "/")
	switch kind {
	case "config":
		return port.KeyConfig, ""
	case "out":
		return port.KeyEvacuatedZone, name
	case "end":
		return port.KeyEndpoint, name
	}
	return port.KeyOther, name
}

func (testDecoder) DecodeConfig(raw []byte) (*catalog.Config, error) {
	c := &catalog.Config{Services: map[string]*catalog.Service{"pool": {Name: "pool", WarmUpTime: time.Second}}}
	_, err := fmt.Sscan(string(raw), &c.Version)
	c.BuildIndexes()
	return c, err
}

func (testDecoder) DecodeEndpoint(item port.KeyValue) (*catalog.Endpoint, error) {
	fields := strings.Fields(string(item.Value))
	if len(fields) < 2 {
		return nil, errors.New("unreadable")
	}
	e := &catalog.Endpoint{ID: strings.TrimPrefix(item.Key, "end/"), Service: "pool", Zone: fields[0], Draining: fields[1] == "draining"}
	if len(fields) > 2 {
		_, err := fmt.Sscan(fields[2], &e.StartedUnixMs)
		return e, err
	}
	return e, nil
}

// recordingObserver records the endpoints that it is notified of.
type recordingObserver struct {
	mu                                     sync.Mutex
	endpointsAfterFirstRead, coldEndpoints []string
	restores                               int
}

func (o *recordingObserver) EndpointUpdated(e *catalog.Endpoint, _ *catalog.Service, afterFirstRead bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if afterFirstRead {
		o.endpointsAfterFirstRead = append(o.endpointsAfterFirstRead, e.ID)
	}
}

func (o *recordingObserver) EndpointTurnedCold(e *catalog.Endpoint, _ *catalog.Service) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.coldEndpoints = append(o.coldEndpoints, e.ID)
}

func (o *recordingObserver) SnapshotPublished(*Snapshot) {}

func (o *recordingObserver) StoreRestored() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.restores++
}

// testConfig returns a Config without a store, in which the key "refuse/X" refuses the
// fingerprint X.
func testConfig() Config {
	return Config{Decoder: testDecoder{}, Observer: &recordingObserver{}, Clock: port.SystemClock{}, Log: slog.New(slog.DiscardHandler),
		CrashEntryName: func(key string) (string, bool) { return strings.CutPrefix(key, "refuse/") }}
}

// testConfigWith returns testConfig with a store.
func testConfigWith(store *fakeStore) Config {
	cfg := testConfig()
	cfg.Store = store
	return cfg
}

// keysOf returns the keys of a set, sorted.
func keysOf(set map[string]bool) []string { return slices.Sorted(maps.Keys(set)) }
