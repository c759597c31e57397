package routing

import (
	"container/list"
	"sync"

	"github.com/pimentorill/pimentorill/internal/port"
)

// Limits of an Index, which together keep it below 16 MB.
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

// Index estimates which prompt blocks the engines hold in their caches. Blocks
// are identified by their hashes as returned by the function Blocks. The Index
// is updated from cache events, which arrive late and with gaps, and from the
// prompts that engines have completed. It is safe for concurrent use.
type Index struct {
	mu sync.Mutex
	// engines holds the contents by endpoint id.
	engines map[string]*cacheContents
}

// cacheContents is the estimated content of one engine's cache.
type cacheContents struct {
	// nextSequence is the expected sequence number of the next event; 0 before
	// the first event.
	nextSequence uint64
	// blocks holds the element of recency for each block.
	blocks map[uint64]*list.Element
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
	c := x.engines[endpointID]
	if c == nil || c.nextSequence == 0 {
		return 0
	}
	return c.nextSequence - 1
}

// Apply applies events of one engine, which must be in sequence order, and
// ignores duplicates. A gap of n events may hide n evictions, and engines evict
// the least recently used block first, so the n least recently stored blocks
// are removed. A restarted numbering means that the engine has restarted, so
// all blocks are removed. Apply has no effect for a new engine if the index is
// full.
func (x *Index) Apply(endpointID string, events []port.CacheEvent) {
	x.mu.Lock()
	defer x.mu.Unlock()
	c := x.contentsOf(endpointID)
	if c == nil {
		return
	}
	for _, e := range events {
		c.apply(e)
	}
}

// AddBlocks records the blocks of a prompt that the engine has just completed
// and therefore holds in its cache. It has no effect for a new engine if the
// index is full.
func (x *Index) AddBlocks(endpointID string, blocks []uint64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	c := x.contentsOf(endpointID)
	if c == nil {
		return
	}
	for _, b := range blocks {
		c.store(b)
	}
}

// Remove discards the estimate for an engine that has restarted or has left.
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
	c := x.engines[endpointID]
	if c == nil {
		return 0
	}
	for n, b := range blocks {
		if c.blocks[b] == nil {
			return n
		}
	}
	return len(blocks)
}

// contentsOf returns the estimate for an engine and creates it if needed. It
// returns nil if a new one would exceed maxIndexedEngines. The caller holds
// x.mu.
func (x *Index) contentsOf(endpointID string) *cacheContents {
	if c := x.engines[endpointID]; c != nil {
		return c
	}
	if len(x.engines) >= maxIndexedEngines {
		return nil
	}
	c := &cacheContents{blocks: map[uint64]*list.Element{}, recency: list.New()}
	x.engines[endpointID] = c
	return c
}

// apply updates the contents with one event.
func (c *cacheContents) apply(e port.CacheEvent) {
	switch {
	case e.Sequence+maxDuplicateDistance < c.nextSequence:
		c.removeOldest(len(c.blocks))
	case e.Sequence < c.nextSequence:
		return
	case c.nextSequence > 0:
		c.removeOldest(int(min(e.Sequence-c.nextSequence, maxBlocksPerEngine)))
	}
	c.nextSequence = e.Sequence + 1
	if e.Stored {
		c.store(e.Block)
	} else {
		c.remove(e.Block)
	}
}

// store marks a block as the most recently stored. If the block is new and the
// limit is reached, store removes the least recently stored one.
func (c *cacheContents) store(block uint64) {
	if el := c.blocks[block]; el != nil {
		c.recency.MoveToFront(el)
		return
	}
	if len(c.blocks) >= maxBlocksPerEngine {
		c.removeOldest(1)
	}
	c.blocks[block] = c.recency.PushFront(block)
}

func (c *cacheContents) remove(block uint64) {
	if el := c.blocks[block]; el != nil {
		c.recency.Remove(el)
		delete(c.blocks, block)
	}
}

// removeOldest removes the n least recently stored blocks, or all if there are
// fewer.
func (c *cacheContents) removeOldest(n int) {
	for range min(n, len(c.blocks)) {
		block, _ := c.recency.Back().Value.(uint64)
		c.remove(block)
	}
}
