package standin

import (
	"container/list"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// BlockTokens is the number of tokens in one block of the prefix cache.
const BlockTokens = 16

// maxCacheEvents bounds the cache events kept for readers; when they are full, the
// older half is dropped.
const maxCacheEvents = 4096

// CacheEvent reports that a block was added to or evicted from a prefix cache.
// A gap in Sequence means that events were lost.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	// Block is the hash of the block's tokens and all tokens before them.
	Block uint64 `json:"block"`
	// Stored is true if the block was added, false if it was evicted.
	Stored bool `json:"stored"`
	at     time.Time
}

// CacheEvents is a response to readers of cache events. Oldest is the sequence
// number of the oldest event kept, 0 if none is; events between the requested
// number and Oldest are gone.
type CacheEvents struct {
	Oldest uint64       `json:"oldest"`
	Events []CacheEvent `json:"events"`
}

// prefixCache is an LRU cache of prompt blocks. mu guards all fields but capacity
// and eventDelay.
type prefixCache struct {
	mu            sync.Mutex
	capacity      int // blocks
	eventDelay    time.Duration
	blocks        map[uint64]*list.Element
	lru           *list.List
	events        []CacheEvent
	lastSequence  uint64
	eventLossRate float64
	rng           *rand.Rand
}

func (p *prefixCache) init(cfg EngineConfig) {
	p.capacity = cfg.CacheBlocks
	p.eventDelay = cfg.CacheEventDelay
	p.blocks = make(map[uint64]*list.Element)
	p.lru = list.New()
}

// PrefixBlocks returns the hashes of the full blocks of a prompt, in order. Each
// hash covers the block and all words before it.
func PrefixBlocks(words []string) []uint64 {
	var out []uint64
	h := xxhash.New()
	for i, word := range words {
		_, _ = h.WriteString(word)
		_, _ = h.WriteString("\x00")
		if (i+1)%BlockTokens == 0 {
			out = append(out, h.Sum64())
		}
	}
	return out
}

// lookupAndStore stores a prompt and returns the number of its leading tokens
// that were already cached. Tokens after the last full block are never cached.
func (p *prefixCache) lookupAndStore(words []string) int {
	if p.capacity <= 0 {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	hits, missed := 0, false
	for _, b := range PrefixBlocks(words) {
		if el, ok := p.blocks[b]; ok {
			p.lru.MoveToFront(el)
			if !missed {
				hits++
			}
			continue
		}
		missed = true
		p.blocks[b] = p.lru.PushFront(b)
		p.publishEvent(b, true)
	}
	for len(p.blocks) > p.capacity {
		p.evict(p.lru.Back())
	}
	return hits * BlockTokens
}

// evict removes a block and publishes the event. The caller holds mu.
func (p *prefixCache) evict(el *list.Element) {
	b := p.lru.Remove(el).(uint64)
	delete(p.blocks, b)
	p.publishEvent(b, false)
}

// reset empties the cache and drops its events for a new process, whose sequence
// numbers start again at 1. It publishes no events.
func (p *prefixCache) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.blocks)
	p.lru.Init()
	p.events = nil
	p.lastSequence = 0
}

// publishEvent numbers an event and keeps it for readers, unless it is to be lost.
// The caller holds mu.
func (p *prefixCache) publishEvent(block uint64, stored bool) {
	p.lastSequence++
	if p.eventLossRate > 0 && p.rng.Float64() < p.eventLossRate {
		return
	}
	if len(p.events) == maxCacheEvents {
		p.events = append(p.events[:0], p.events[maxCacheEvents/2:]...)
	}
	p.events = append(p.events, CacheEvent{Sequence: p.lastSequence, Block: block, Stored: stored, at: time.Now()})
}

// DropCacheEvents drops each later cache event with a probability of fraction, 0
// to 1. The random sequence is seeded with seed.
func (e *Engine) DropCacheEvents(fraction float64, seed uint64) {
	e.prefix.mu.Lock()
	defer e.prefix.mu.Unlock()
	e.prefix.eventLossRate = fraction
	e.prefix.rng = rand.New(rand.NewPCG(seed, seed))
}

// CacheEvents returns the events after a sequence number that are at least
// CacheEventDelay old.
func (e *Engine) CacheEvents(after uint64) CacheEvents {
	p := &e.prefix
	p.mu.Lock()
	defer p.mu.Unlock()
	out := CacheEvents{Events: []CacheEvent{}}
	if len(p.events) > 0 {
		out.Oldest = p.events[0].Sequence
	}
	newestVisible := time.Now().Add(-p.eventDelay)
	for _, ev := range p.events {
		if ev.Sequence > after && !ev.at.After(newestVisible) {
			out.Events = append(out.Events, ev)
		}
	}
	return out
}

// CachedBlocks returns the number of blocks in the cache.
func (e *Engine) CachedBlocks() int {
	e.prefix.mu.Lock()
	defer e.prefix.mu.Unlock()
	return len(e.prefix.blocks)
}
