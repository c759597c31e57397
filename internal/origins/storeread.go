package origins

import (
	"context"
	"sync"
	"time"

	"github.com/pimentorill/pimentorill/internal/port"
)

// storedVersionsAt is what the entries of versions say, as of a position of the store.
type storedVersionsAt struct {
	storedVersions
	position port.StorePosition
}

// sharedReads lets concurrent searches share reads of the store. It is safe for concurrent
// use.
type sharedReads[T any] struct {
	mu      sync.Mutex
	running bool
	// next begins once the one that runs has ended; nil if nobody waits for it.
	next *sharedRead[T]
}

type sharedRead[T any] struct {
	done   chan struct{}
	result T
	err    error
}

// get returns the result of a read that begins after the call. The error is that of read, or
// the context's.
func (s *sharedReads[T]) get(ctx context.Context, read func() (T, error)) (T, error) {
	s.mu.Lock()
	if s.next == nil {
		s.next = &sharedRead[T]{done: make(chan struct{})}
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
		var none T
		return none, ctx.Err()
	}
}

// run reads until nobody waits.
func (s *sharedReads[T]) run(read func() (T, error)) {
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

// readVersions returns what the store holds after the call, with the entries that this host
// has to write. It returns an error if that can't be read, at once if the store is known to
// be unavailable.
func (r *Registry) readVersions(ctx context.Context) (storedVersionsAt, error) {
	if !r.cfg.StoreAvailable() {
		return storedVersionsAt{}, port.ErrUnavailable
	}
	for deadline := r.cfg.Clock.Now().Add(storeTimeout); r.versions.anyMissing() && ctx.Err() == nil && r.cfg.Clock.Now().Before(deadline); {
		port.Sleep(ctx, positionInterval)
	}
	return r.versionReads.get(ctx, func() (storedVersionsAt, error) {
		ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
		defer cancel()
		items, position, err := r.cfg.Store.Range(ctx, r.cfg.KeyPrefix+entryKeyPrefix+versionKeyPrefix)
		if err != nil {
			return storedVersionsAt{}, err
		}
		entries := make(map[string]string)
		for _, item := range items {
			if name, ok := VersionEntryName(item.Key); ok {
				entries[name] = string(item.Value)
			}
		}
		return storedVersionsAt{decodeVersions(entries, position.Epoch), position}, nil
	})
}

// readSegments learns the records that the store holds after the call. Its errors are those of
// readVersions.
func (r *Registry) readSegments(ctx context.Context) error {
	if !r.cfg.StoreAvailable() {
		return port.ErrUnavailable
	}
	_, err := r.segmentReads.get(ctx, func() (struct{}, error) {
		interval := hostSearchInterval * time.Duration(len(r.cfg.Snapshot().Hosts))
		port.Sleep(context.Background(), interval-r.cfg.Clock.Now().Sub(r.searchedAt))
		ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
		defer cancel()
		r.searchedAt = r.cfg.Clock.Now()
		return struct{}{}, r.learnAllSegments(ctx)
	})
	return err
}

// learnAllSegments reads all segments and learns their records.
func (r *Registry) learnAllSegments(ctx context.Context) error {
	items, _, err := r.cfg.Store.Range(ctx, r.cfg.RecordPrefix+entryKeyPrefix+segmentKeyPrefix)
	if err == nil {
		r.LearnSegments(items)
	}
	return err
}
