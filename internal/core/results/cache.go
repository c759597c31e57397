package results

import (
	"container/list"
	"sync"
	"time"

	"github.com/pimentorill/pimentorill/internal/core/pipeline"
	"github.com/pimentorill/pimentorill/internal/port"
)

// MaxOutputBytes is the largest output that is cached.
const MaxOutputBytes = 256 << 10

// entryOverheadBytes is the size accounted for an entry without its outputs.
const entryOverheadBytes = 512

// Cache holds results of requests until they expire, up to a maximum total size.
// When full, it evicts the least recently written entry. It is safe for
// concurrent use.
type Cache struct {
	clock    port.Clock
	maxBytes int

	mu      sync.Mutex
	bytes   int
	entries map[Key]*list.Element
	// byLastWrite holds the entries, most recently written first.
	byLastWrite *list.List
}

type entry struct {
	key       Key
	expiresAt time.Time
	stages    map[int]pipeline.CachedStage
	bytes     int
}

// NewCache returns an empty Cache of at most maxBytes bytes.
func NewCache(clock port.Clock, maxBytes int) *Cache {
	return &Cache{clock: clock, maxBytes: maxBytes, entries: map[Key]*list.Element{}, byLastWrite: list.New()}
}

// Put caches the result of a stage until expiresAt. It does not replace an
// existing result.
func (s *Cache) Put(k Key, stage int, result pipeline.CachedStage, expiresAt time.Time) {
	if len(result.Output) > MaxOutputBytes || !expiresAt.After(s.clock.Now()) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeExpired()
	el := s.entries[k]
	if el == nil {
		el = s.byLastWrite.PushFront(&entry{key: k, stages: map[int]pipeline.CachedStage{}})
		s.entries[k] = el
		s.addBytes(el, entryOverheadBytes)
	}
	e, _ := el.Value.(*entry)
	if _, exists := e.stages[stage]; exists {
		return
	}
	e.stages[stage] = result
	e.expiresAt = expiresAt
	s.byLastWrite.MoveToFront(el)
	s.addBytes(el, len(result.Output))
	for s.bytes > s.maxBytes {
		s.remove(s.byLastWrite.Back())
	}
}

// Get returns the cached results of a request's stages, in order, up to the first
// stage that has none.
func (s *Cache) Get(k Key) []pipeline.CachedStage {
	s.mu.Lock()
	defer s.mu.Unlock()
	el := s.entries[k]
	if el == nil {
		return nil
	}
	e, _ := el.Value.(*entry)
	if !e.expiresAt.After(s.clock.Now()) {
		s.remove(el)
		return nil
	}
	var out []pipeline.CachedStage
	for {
		result, ok := e.stages[len(out)]
		if !ok {
			return out
		}
		out = append(out, result)
	}
}

// Bytes returns the accounted size of the cache in bytes.
func (s *Cache) Bytes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bytes
}

func (s *Cache) addBytes(el *list.Element, n int) {
	e, _ := el.Value.(*entry)
	e.bytes += n
	s.bytes += n
}

func (s *Cache) remove(el *list.Element) {
	e, _ := s.byLastWrite.Remove(el).(*entry)
	delete(s.entries, e.key)
	s.bytes -= e.bytes
}

// removeExpired removes the least recently written entries until it finds one
// that has not expired.
func (s *Cache) removeExpired() {
	now := s.clock.Now()
	for el := s.byLastWrite.Back(); el != nil; el = s.byLastWrite.Back() {
		if e, _ := el.Value.(*entry); e.expiresAt.After(now) {
			return
		}
		s.remove(el)
	}
}
