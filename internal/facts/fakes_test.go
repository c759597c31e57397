package facts

import (
	"context"
	"fmt"
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
	oldestRevision int64 // watches from an older revision fail with ErrCompacted
	unavailable    bool
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

func (f *fakeStore) Range(context.Context, string) ([]port.KeyValue, int64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ranges++
	if f.unavailable {
		return nil, 0, port.ErrUnavailable
	}
	var list []port.KeyValue
	for _, i := range f.items {
		list = append(list, i)
	}
	return list, f.revision, nil
}

func (f *fakeStore) Watch(ctx context.Context, _ string, after int64, wait time.Duration) ([]port.KeyValue, int64, error) {
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
			return nil, 0, port.ErrUnavailable
		}
		if after < f.oldestRevision {
			f.mu.Unlock()
			return nil, 0, port.ErrCompacted
		}
		var list []port.KeyValue
		for _, i := range f.history {
			if i.Revision > after {
				list = append(list, i)
			}
		}
		revision := f.revision
		f.mu.Unlock()
		if len(list) > 0 {
			return list, revision, nil
		}
		select {
		case <-changed:
		case <-end:
			return nil, revision, nil
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		}
	}
}

func (f *fakeStore) CompareAndSwap(context.Context, string, []byte, int64, int64) (int64, error) {
	return 0, nil
}
func (f *fakeStore) GrantLease(context.Context, time.Duration) (int64, error) { return 0, nil }
func (f *fakeStore) RenewLease(context.Context, int64) error                  { return nil }
func (f *fakeStore) RevokeLease(context.Context, int64) error                 { return nil }

// testDecoder decodes values of the form "VERSION" (configuration) or "ZONE STATE"
// (endpoint). All endpoints belong to the service "pool".
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
	zone, state, ok := strings.Cut(string(item.Value), " ")
	if !ok {
		return nil, errors.New("unreadable")
	}
	return &catalog.Endpoint{ID: strings.TrimPrefix(item.Key, "end/"), Service: "pool", Zone: zone, Draining: state == "draining"}, nil
}

// recordingObserver records the endpoints that it is notified of.
type recordingObserver struct {
	mu                                     sync.Mutex
	endpointsAfterFirstRead, coldEndpoints []string
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
