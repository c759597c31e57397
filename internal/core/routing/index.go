package routing

import (
	"container/list"
	"sync"

	"github.com/pimentorill/pimentorill/internal/port"
)

// The bounds of the index; together they hold it under 16 MB.
const (
	// maxIndexedEngines bounds the engines whose caches are followed.
	maxIndexedEngines = 96
	// maxBlocksPerEngine bounds the blocks kept for one engine.
	maxBlocksPerEngine = 1024
)

// maxDuplicateDistance is how far behind an event may be to count as a repeated one;
// one farther behind means that the engine's numbers have started again.
const maxDuplicateDistance = 4096

// Index holds which prompt blocks the engines' caches are believed to hold.
// It follows cache events, which come late and with gaps, and the prompts
// that engines have answered. It is safe for concurrent use.
type Index struct {
	mu      sync.Mutex
	engines map[string]*cacheContents
}

// cacheContents is what is believed of one engine's cache.
type cacheContents struct {
	// next is the sequence number that the next event must have; 0 before the
	// first event.
	nextSequence uint64
	blocks       map[uint64]*list.Element
	// order holds the blocks, the one stored last at the front.
	recency *list.List
}

// NewIndex returns an empty index.
func NewIndex() *Index { return &Index{engines: map[string]*cacheContents{}} }

// LastSequence returns the sequence number of the last event taken in for an engine.
func (x *Index) LastSequence(endpointID string) uint64 {
	x.mu.Lock()
	defer x.mu.Unlock()
	v := x.engines[endpointID]
	if v == nil || v.nextSequence == 0 {
		return 0
	}
	return v.nextSequence - 1
}

// Apply takes in events of one engine in the order of their sequence. A gap
// of n events may hide n evictions, and engines evict what was used longest
// ago, so the n oldest blocks are dropped. Numbers that start again mean that
// the engine is new.
func (x *Index) Apply(endpointID string, events []port.CacheEvent) {
	x.mu.Lock()
	defer x.mu.Unlock()
	v := x.contentsOf(endpointID)
	if v == nil {
		return
	}
	for _, e := range events {
		v.apply(e)
	}
}

// AddBlocks notes the blocks of a prompt that the engine has just run: its
// cache holds them now.
func (x *Index) AddBlocks(endpointID string, blocks []uint64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	v := x.contentsOf(endpointID)
	if v == nil {
		return
	}
	for _, b := range blocks {
		v.store(b)
	}
}

// Remove drops all that is believed of an engine: it has a new incarnation,
// or it has left.
func (x *Index) Remove(endpointID string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.engines, endpointID)
}

// CachedPrefix returns how many of the blocks, from the first on, the engine's cache
// is believed to hold.
func (x *Index) CachedPrefix(endpointID string, blocks []uint64) int {
	x.mu.Lock()
	defer x.mu.Unlock()
	v := x.engines[endpointID]
	if v == nil {
		return 0
	}
	for n, b := range blocks {
		if v.blocks[b] == nil {
			return n
		}
	}
	return len(blocks)
}

// view returns the view of an engine, nil if there is no room for it.
func (x *Index) contentsOf(endpointID string) *cacheContents {
	if v := x.engines[endpointID]; v != nil {
		return v
	}
	if len(x.engines) >= maxIndexedEngines {
		return nil
	}
	v := &cacheContents{blocks: map[uint64]*list.Element{}, recency: list.New()}
	x.engines[endpointID] = v
	return v
}

func (v *cacheContents) apply(e port.CacheEvent) {
	switch {
	case e.Sequence+maxDuplicateDistance < v.nextSequence:
		v.removeOldest(len(v.blocks))
	case e.Sequence < v.nextSequence:
		return
	case v.nextSequence > 0:
		v.removeOldest(int(min(e.Sequence-v.nextSequence, maxBlocksPerEngine)))
	}
	v.nextSequence = e.Sequence + 1
	if e.Stored {
		v.store(e.Block)
	} else {
		v.remove(e.Block)
	}
}

// store notes a block as the one stored last, in place of the oldest one if
// the view is full.
func (v *cacheContents) store(block uint64) {
	if el := v.blocks[block]; el != nil {
		v.recency.MoveToFront(el)
		return
	}
	if len(v.blocks) >= maxBlocksPerEngine {
		v.removeOldest(1)
	}
	v.blocks[block] = v.recency.PushFront(block)
}

func (v *cacheContents) remove(block uint64) {
	if el := v.blocks[block]; el != nil {
		v.recency.Remove(el)
		delete(v.blocks, block)
	}
}

func (v *cacheContents) removeOldest(n int) {
	for range min(n, len(v.blocks)) {
		block, _ := v.recency.Back().Value.(uint64)
		v.remove(block)
	}
}
