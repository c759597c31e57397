package origins

import (
	"context"
	"sync"

	"github.com/pimentorill/pimentorill/internal/port"
)

// storeRead is what the store holds of the origins of streams.
type storeRead struct {
	versions storedVersions
	position port.StorePosition
}

// sharedReads lets concurrent searches share reads of the store. It is safe for concurrent
// use.
type sharedReads struct {
	mu      sync.Mutex
	running bool
	// next begins once the one that runs has ended; nil if nobody waits for it.
	next *sharedRead
}

type sharedRead struct {
	done   chan struct{}
	result storeRead
	err    error
}

// get returns the result of a read that begins after the call. The error is that of read, or
// the context's.
func (s *sharedReads) get(ctx context.Context, read func() (storeRead, error)) (storeRead, error) {
	s.mu.Lock()
	if s.next == nil {
		s.next = &sharedRead{done: make(chan struct{})}
	}
	mine := s.next
	if !s.running {
		s.running = true
		go s.run(read)
	}
	s.mu.Unlock()
	select {
	case <-mine.done:
		return mine.result, mine.err
	case <-ctx.Done():
		return storeRead{}, ctx.Err()
	}
}

// run reads until nobody waits.
func (s *sharedReads) run(read func() (storeRead, error)) {
	for {
		s.mu.Lock()
		current := s.next
		s.next, s.running = nil, current != nil
		s.mu.Unlock()
		if current == nil {
			return
		}
		current.result, current.err = read()
		close(current.done)
	}
}

// readStore returns what the store holds after the call, with the entries that this host has
// to write. It returns an error if that can't be read, at once if the store is known to be
// unavailable.
func (r *Registry) readStore(ctx context.Context) (storeRead, error) {
	if !r.cfg.StoreAvailable() {
		return storeRead{}, port.ErrUnavailable
	}
	for deadline := r.cfg.Clock.Now().Add(storeTimeout); r.versions.anyMissing() && ctx.Err() == nil && r.cfg.Clock.Now().Before(deadline); {
		port.Sleep(ctx, positionInterval)
	}
	return r.reads.get(ctx, r.readEntries)
}

func (r *Registry) readEntries() (storeRead, error) {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	items, position, err := r.cfg.Store.Range(ctx, r.cfg.KeyPrefix+entryKeyPrefix)
	if err != nil {
		return storeRead{}, err
	}
	versions := make(map[string]string)
	for _, item := range items {
		if name, ok := VersionEntryName(item.Key); ok {
			versions[name] = string(item.Value)
		}
	}
	return storeRead{decodeVersions(versions, position.Epoch), position}, nil
}
