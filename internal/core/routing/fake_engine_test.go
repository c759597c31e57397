package routing

import (
	"cmp"
	"container/list"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/pimentorill/pimentorill/internal/port"
)

// Timing of the fake engines.
const (
	prefillPerBlock = 8 * time.Millisecond
	decodeMean      = 150 * time.Millisecond // mean time to produce a response, without prefill and slowdown
	reportDelay     = 200 * time.Millisecond
)

// fakeEngine runs prompts in its slots and caches their prefix blocks with LRU
// eviction. Its load reports are delayed by reportDelay and 5 % of its cache
// events are lost.
type fakeEngine struct {
	// slots is a semaphore of the engine's slots.
	slots chan struct{}
	// slowdown multiplies the time that prompts take. It is set before use.
	slowdown float64

	// mu guards the fields below, except maxBlocks, which is not changed.
	mu        sync.Mutex
	maxBlocks int
	// blocks holds the elements of recency by block.
	blocks map[uint64]*list.Element
	// recency lists the cached blocks, the most recently used first.
	recency         *list.List
	running         int
	waiting         int
	lastSequence    uint64
	events          []port.CacheEvent
	lossRand        *rand.Rand
	reports         []timedLoad
	servedPrompts   int
	prefixHitBlocks int
	totalBlocks     int
}

// timedLoad is a load report and the time at which the engine had that load.
type timedLoad struct {
	at   time.Time
	load port.LoadReport
}

func newFakeEngine(slots, maxBlocks int, seed uint64) *fakeEngine {
	return &fakeEngine{
		slots: make(chan struct{}, slots), maxBlocks: maxBlocks, slowdown: 1,
		blocks: map[uint64]*list.Element{}, recency: list.New(),
		lossRand: rand.New(rand.NewPCG(seed, seed)),
	}
}

// serve runs a prompt whose response takes decodeFactor times decodeMean to
// produce, without prefill and slowdown. It returns the delayed load report.
func (e *fakeEngine) serve(blocks []uint64, decodeFactor float64) port.LoadReport {
	e.updateLoad(0, 1)
	e.slots <- struct{}{}
	e.updateLoad(1, -1)
	prefillBlocks := e.accessCache(blocks)
	duration := float64(prefillBlocks)*float64(prefillPerBlock) + decodeFactor*float64(decodeMean)
	time.Sleep(time.Duration(duration * e.slowdown))
	<-e.slots
	e.updateLoad(-1, 0)
	return e.delayedReport()
}

// updateLoad adds the differences to the numbers of running and waiting prompts
// and records a load report.
func (e *fakeEngine) updateLoad(runningDelta, waitingDelta int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running += runningDelta
	e.waiting += waitingDelta
	load := port.LoadReport{Incarnation: "1", Running: e.running, Waiting: e.waiting, Slots: cap(e.slots)}
	e.reports = append(e.reports, timedLoad{at: time.Now(), load: load})
}

// delayedReport returns the load as it was reportDelay ago, or the first recorded
// load if that is newer. updateLoad must have been called before.
func (e *fakeEngine) delayedReport() port.LoadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	cutoff := time.Now().Add(-reportDelay)
	for len(e.reports) > 1 && !e.reports[1].at.After(cutoff) {
		e.reports = e.reports[1:]
	}
	return e.reports[0].load
}

// accessCache looks up the blocks, stores the missing ones and returns the
// number of blocks from the first missing one on, which are not served from the
// cache.
func (e *fakeEngine) accessCache(blocks []uint64) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	prefixHits, prefixEnded := 0, false
	for _, b := range blocks {
		if el := e.blocks[b]; el != nil {
			e.recency.MoveToFront(el)
			if !prefixEnded {
				prefixHits++
			}
			continue
		}
		prefixEnded = true
		e.blocks[b] = e.recency.PushFront(b)
		e.emitEvent(b, true)
	}
	for len(e.blocks) > e.maxBlocks {
		b := e.recency.Remove(e.recency.Back()).(uint64)
		delete(e.blocks, b)
		e.emitEvent(b, false)
	}
	e.servedPrompts++
	e.prefixHitBlocks += prefixHits
	e.totalBlocks += len(blocks)
	return len(blocks) - prefixHits
}

// emitEvent numbers an event and records it unless it is lost. The caller holds
// e.mu.
func (e *fakeEngine) emitEvent(block uint64, stored bool) {
	e.lastSequence++
	if e.lossRand.Float64() < 0.05 {
		return
	}
	e.events = append(e.events, port.CacheEvent{Sequence: e.lastSequence, Block: block, Stored: stored})
}

// eventsAfter returns the recorded events with sequence numbers above after.
func (e *fakeEngine) eventsAfter(after uint64) []port.CacheEvent {
	e.mu.Lock()
	defer e.mu.Unlock()
	i, _ := slices.BinarySearchFunc(e.events, after+1, func(ev port.CacheEvent, s uint64) int { return cmp.Compare(ev.Sequence, s) })
	return slices.Clone(e.events[i:])
}
