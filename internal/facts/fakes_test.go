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

// feed is a store in memory that can be away or forget its history.
type feed struct {
	mu       sync.Mutex
	items    map[string]port.KeyValue
	history  []port.KeyValue
	revision int64
	oldest   int64
	away     bool
	reads    int
	changed  chan struct{}
}

func newFeed() *feed {
	return &feed{items: make(map[string]port.KeyValue), revision: 10}
}

func (f *feed) put(key, value string) {
	f.change(port.KeyValue{Key: key, Value: []byte(value)})
}

func (f *feed) remove(key string) { f.change(port.KeyValue{Key: key, Deleted: true}) }

func (f *feed) change(item port.KeyValue) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.revision++
	item.Revision = f.revision
	f.items[item.Key] = item
	if item.Deleted {
		delete(f.items, item.Key)
	}
	f.history = append(f.history, item)
	f.wake()
}

// wake lets the watches look again. The channel is made by the first of them,
// inside the test's bubble.
func (f *feed) wake() {
	if f.changed != nil {
		close(f.changed)
		f.changed = nil
	}
}

func (f *feed) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
	f.wake()
}

func (f *feed) Range(context.Context, string) ([]port.KeyValue, int64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reads++
	if f.away {
		return nil, 0, port.ErrUnavailable
	}
	var list []port.KeyValue
	for _, i := range f.items {
		list = append(list, i)
	}
	return list, f.revision, nil
}

func (f *feed) Watch(ctx context.Context, _ string, after int64, wait time.Duration) ([]port.KeyValue, int64, error) {
	end := time.After(wait)
	for {
		f.mu.Lock()
		if f.changed == nil {
			f.changed = make(chan struct{})
		}
		changed := f.changed
		if f.away {
			f.mu.Unlock()
			return nil, 0, port.ErrUnavailable
		}
		if after < f.oldest {
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

func (f *feed) CompareAndSwap(context.Context, string, []byte, int64, int64) (int64, error) {
	return 0, nil
}
func (f *feed) GrantLease(context.Context, time.Duration) (int64, error) { return 0, nil }
func (f *feed) RenewLease(context.Context, int64) error                  { return nil }
func (f *feed) RevokeLease(context.Context, int64) error                 { return nil }

// words decodes values of a form of its own: a version, or zone and state.
type words struct{}

func (words) ClassifyKey(key string) (port.KeyKind, string) {
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

func (words) DecodeConfig(raw []byte) (*catalog.Config, error) {
	c := &catalog.Config{Services: map[string]*catalog.Service{"pool": {Name: "pool", WarmUpTime: time.Second}}}
	_, err := fmt.Sscan(string(raw), &c.Version)
	c.BuildIndexes()
	return c, err
}

func (words) DecodeEndpoint(item port.KeyValue) (*catalog.Endpoint, error) {
	zone, state, ok := strings.Cut(string(item.Value), " ")
	if !ok {
		return nil, errors.New("unreadable")
	}
	return &catalog.Endpoint{ID: strings.TrimPrefix(item.Key, "end/"), Service: "pool", Zone: zone, Draining: state == "draining"}, nil
}

// watcher notes what it is told.
type watcher struct {
	mu            sync.Mutex
	fresh, cooled []string
}

func (w *watcher) EndpointKnown(e *catalog.Endpoint, _ *catalog.Service, fresh bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if fresh {
		w.fresh = append(w.fresh, e.ID)
	}
}

func (w *watcher) EndpointCooled(e *catalog.Endpoint, _ *catalog.Service) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cooled = append(w.cooled, e.ID)
}

func (w *watcher) Published(*Snapshot) {}
