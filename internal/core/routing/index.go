package routing

import (
	"container/list"
	"sync"

	"github.com/pimentorill/pimentorill/internal/port"
)

// Limits of the index; together they keep it below 16 MB.
const (
	// maxIndexedEngines limits the engines whose caches are tracked.
	maxIndexedEngines = 96
	// maxBlocksPerEngine limits the blocks tracked per engine.
	maxBlocksPerEngine = 1024
)

// maxDuplicateDistance is how far behind the expected sequence number an event
// may be to count as a duplicate. An event farther behind means that the engine
// has restarted its numbering.
const maxDuplicateDistance = 4096

// Index estimates which prompt blocks the engines hold in their caches. It is
// updated from cache events, which arrive late and with gaps, and from the
// prompts that engines have answered. It is safe for concurrent use.
type Index struct {
	mu      sync.Mutex
	engines map[string]*cacheContents
}

// cacheContents is the estimated content of one engine's cache.
type cacheContents struct {
	// nextSequence is the expected sequence number of the next event; 0 before
	// the first event.
	nextSequence uint64
	blocks       map[uint64]*list.Element
	// recency lists the blocks from the most to the least recently stored.
	recency *list.List
}

// NewIndex returns an empty index.
func NewIndex() *Index { return &Index{engines: map[string]*cacheContents{}} }

// LastSequence returns the sequence number of the last event applied for an
// engine, or 0 if there is none.
func (x *Index) LastSequence(endpointID string) uint64 {
	x.mu.Lock()
	defer x.mu.Unlock()
	v := x.engines[endpointID]
	if v == nil || v.nextSequence == 0 {
		return 0
	}
	return v.nextSequence - 1
}

// Apply applies events of one engine in sequence order. A gap of n events may
// hide n evictions, and engines evict the least recently used block first, so
// the n oldest blocks are removed. A restarted numbering means that the engine
// has restarted.
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

// AddBlocks records the blocks of a prompt that the engine has just run and
// therefore holds in its cache.
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

// Remove discards the estimate for an engine that has a new incarnation or has
// left.
func (x *Index) Remove(endpointID string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.engines, endpointID)
}

// CachedPrefix returns how many of the blocks, counted from the first without a
// gap, the engine is estimated to hold.
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

// contentsOf returns the estimate for an engine and creates it if needed. It
// returns nil if the index is full.
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

// apply updates the contents with one event.
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

// store marks a block as the most recently stored, and evicts the oldest one if
// the limit is reached.
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
