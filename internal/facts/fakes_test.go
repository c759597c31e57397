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
	items    map[string]port.FeedItem
	history  []port.FeedItem
	revision int64
	oldest   int64
	away     bool
	reads    int
	changed  chan struct{}
}

func newFeed() *feed {
	return &feed{items: make(map[string]port.FeedItem), revision: 10}
}

func (f *feed) put(key, value string) {
	f.change(port.FeedItem{Key: key, Value: []byte(value)})
}

func (f *feed) remove(key string) { f.change(port.FeedItem{Key: key, Deleted: true}) }

func (f *feed) change(item port.FeedItem) {
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

func (f *feed) Read(context.Context, string) ([]port.FeedItem, int64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reads++
	if f.away {
		return nil, 0, port.ErrUnavailable
	}
	var list []port.FeedItem
	for _, i := range f.items {
		list = append(list, i)
	}
	return list, f.revision, nil
}

func (f *feed) Follow(ctx context.Context, _ string, after int64, wait time.Duration) ([]port.FeedItem, int64, error) {
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
		var list []port.FeedItem
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

func (f *feed) Write(context.Context, string, []byte, int64, int64) (int64, error) { return 0, nil }
func (f *feed) Grant(context.Context, time.Duration) (int64, error)                { return 0, nil }
func (f *feed) Keep(context.Context, int64) error                                  { return nil }
func (f *feed) Revoke(context.Context, int64) error                                { return nil }

// words decodes values of a form of its own: a version, or zone and state.
type words struct{}

func (words) Classify(key string) (port.FactKind, string) {
	kind, name, _ := strings.Cut(key, "/")
	switch kind {
	case "config":
		return port.FactConfig, ""
	case "out":
		return port.FactEvacuated, name
	case "end":
		return port.FactEndpoint, name
	}
	return port.FactOther, name
}

func (words) Config(raw []byte) (*catalog.Config, error) {
	c := &catalog.Config{Services: map[string]*catalog.Service{"pool": {Name: "pool", WarmUp: time.Second}}}
	_, err := fmt.Sscan(string(raw), &c.Version)
	c.Index()
	return c, err
}

func (words) Endpoint(item port.FeedItem) (*catalog.Endpoint, error) {
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
