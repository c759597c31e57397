package results

import (
	"container/list"
	"sync"
	"time"

	"github.com/pimentorill/pimentorill/internal/core/pipeline"
	"github.com/pimentorill/pimentorill/internal/port"
)

// MaxOutputBytes is the largest output of a stage that is cached.
const MaxOutputBytes = 256 << 10

// entryOverheadBytes is the size accounted for an entry in addition to its
// outputs.
const entryOverheadBytes = 512

// Cache holds results of requests' stages until they expire, up to a maximum
// total size. When full, it evicts all results of the request that was least
// recently written. It is safe for concurrent use.
type Cache struct {
	clock    port.Clock
	maxBytes int

	mu sync.Mutex
	// bytes is the accounted size of all entries.
	bytes int
	// entries holds the elements of byLastWrite by the key of their entry.
	entries map[Key]*list.Element
	// byLastWrite holds the entries, most recently written first.
	byLastWrite *list.List
}

// entry holds the cached results of one request.
type entry struct {
	key       Key
	expiresAt time.Time
	// stages holds the results by the index of the stage in the pipeline.
	stages map[int]pipeline.CachedStage
	// bytes is the accounted size of the entry.
	bytes int
}

// NewCache returns an empty Cache of at most maxBytes bytes.
func NewCache(clock port.Clock, maxBytes int) *Cache {
	return &Cache{clock: clock, maxBytes: maxBytes, entries: map[Key]*list.Element{}, byLastWrite: list.New()}
}

// Put caches the result of the stage with this index in the pipeline, and sets
// the expiry of all cached results of the request to expiresAt. It ignores a
// result that is too large or has expired. An existing result of the stage is
// not replaced, and the expiry then stays the same.
func (c *Cache) Put(k Key, stage int, result pipeline.CachedStage, expiresAt time.Time) {
	if len(result.Output) > MaxOutputBytes || !expiresAt.After(c.clock.Now()) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.removeExpired()
	el := c.entries[k]
	if el == nil {
		el = c.byLastWrite.PushFront(&entry{key: k, stages: map[int]pipeline.CachedStage{}})
		c.entries[k] = el
		c.addBytes(el, entryOverheadBytes)
	}
	e, _ := el.Value.(*entry)
	if _, exists := e.stages[stage]; exists {
		return
	}
	e.stages[stage] = result
	e.expiresAt = expiresAt
	c.byLastWrite.MoveToFront(el)
	c.addBytes(el, len(result.Output))
	for c.bytes > c.maxBytes {
		c.remove(c.byLastWrite.Back())
	}
}

// Get returns the cached results of a request's stages, in the order of the
// pipeline, up to the first stage that has none.
func (c *Cache) Get(k Key) []pipeline.CachedStage {
	c.mu.Lock()
	defer c.mu.Unlock()
	el := c.entries[k]
	if el == nil {
		return nil
	}
	e, _ := el.Value.(*entry)
	if !e.expiresAt.After(c.clock.Now()) {
		c.remove(el)
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
func (c *Cache) Bytes() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.bytes
}

// addBytes adds n bytes to the accounted size of an entry and of the cache. The
// caller holds mu.
func (c *Cache) addBytes(el *list.Element, n int) {
	e, _ := el.Value.(*entry)
	e.bytes += n
	c.bytes += n
}

// remove removes an entry. The caller holds mu.
func (c *Cache) remove(el *list.Element) {
	e, _ := c.byLastWrite.Remove(el).(*entry)
	delete(c.entries, e.key)
	c.bytes -= e.bytes
}

// removeExpired removes the least recently written entries until it finds one
// that has not expired. The caller holds mu.
func (c *Cache) removeExpired() {
	now := c.clock.Now()
	for el := c.byLastWrite.Back(); el != nil; el = c.byLastWrite.Back() {
		if e, _ := el.Value.(*entry); e.expiresAt.After(now) {
			return
		}
		c.remove(el)
	}
}
