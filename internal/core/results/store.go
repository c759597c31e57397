package results

import (
	"container/list"
	"sync"
	"time"

	"github.com/pimentorill/pimentorill/internal/core/pipeline"
	"github.com/pimentorill/pimentorill/internal/port"
)

// MaxResultBytes bounds one kept output; larger ones are not kept.
const MaxResultBytes = 256 << 10

// entryOverhead is counted for each entry beside its outputs.
const entryOverhead = 512

// Store keeps results of requests until they expire, within a bound of bytes.
// At the bound the entry written longest ago goes first. It is safe for
// concurrent use.
type Store struct {
	clock port.Clock
	limit int

	mu      sync.Mutex
	size    int
	entries map[Key]*list.Element
	order   *list.List
}

type entry struct {
	key     Key
	expires time.Time
	stages  map[int]pipeline.CachedStage
	size    int
}

// NewStore returns an empty Store that holds at most limit bytes.
func NewStore(clock port.Clock, limit int) *Store {
	return &Store{clock: clock, limit: limit, entries: map[Key]*list.Element{}, order: list.New()}
}

// Put keeps the result of a stage until expires. The first result of a stage
// stays.
func (s *Store) Put(k Key, stage int, kept pipeline.CachedStage, expires time.Time) {
	if len(kept.Output) > MaxResultBytes || !expires.After(s.clock.Now()) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropExpired()
	el := s.entries[k]
	if el == nil {
		el = s.order.PushFront(&entry{key: k, stages: map[int]pipeline.CachedStage{}})
		s.entries[k] = el
		s.grow(el, entryOverhead)
	}
	e, _ := el.Value.(*entry)
	if _, known := e.stages[stage]; known {
		return
	}
	e.stages[stage] = kept
	e.expires = expires
	s.order.MoveToFront(el)
	s.grow(el, len(kept.Output))
	for s.size > s.limit {
		s.remove(s.order.Back())
	}
}

// Get returns the kept stages of a request, from the first on up to the first
// that is missing.
func (s *Store) Get(k Key) []pipeline.CachedStage {
	s.mu.Lock()
	defer s.mu.Unlock()
	el := s.entries[k]
	if el == nil {
		return nil
	}
	e, _ := el.Value.(*entry)
	if !e.expires.After(s.clock.Now()) {
		s.remove(el)
		return nil
	}
	var out []pipeline.CachedStage
	for {
		kept, ok := e.stages[len(out)]
		if !ok {
			return out
		}
		out = append(out, kept)
	}
}

// Size returns the number of bytes counted.
func (s *Store) Size() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.size
}

func (s *Store) grow(el *list.Element, n int) {
	e, _ := el.Value.(*entry)
	e.size += n
	s.size += n
}

func (s *Store) remove(el *list.Element) {
	e, _ := s.order.Remove(el).(*entry)
	delete(s.entries, e.key)
	s.size -= e.size
}

// dropExpired removes expired entries from the end of the order.
func (s *Store) dropExpired() {
	now := s.clock.Now()
	for el := s.order.Back(); el != nil; el = s.order.Back() {
		if e, _ := el.Value.(*entry); e.expires.After(now) {
			return
		}
		s.remove(el)
	}
}
