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

// The speed of the fake engines.
const (
	prefillPerBlock = 8 * time.Millisecond
	decodeMean      = 150 * time.Millisecond
	reportLag       = 200 * time.Millisecond
)

// fakeEngine runs prompts in its slots and keeps their prefix blocks, the
// least recently used out. Its reports lag and some of its events get lost.
type fakeEngine struct {
	slots chan struct{}
	// slow stretches the time that prompts take.
	slow float64

	mu      sync.Mutex
	limit   int
	blocks  map[uint64]*list.Element
	recent  *list.List
	running int
	waiting int
	next    uint64
	events  []port.CacheEvent
	lossy   *rand.Rand
	reports []timedLoad
	served  int
	hits    int
	total   int
}

type timedLoad struct {
	at   time.Time
	load port.LoadReport
}

func newFakeEngine(slots, limit int, seed uint64) *fakeEngine {
	return &fakeEngine{
		slots: make(chan struct{}, slots), limit: limit, slow: 1,
		blocks: map[uint64]*list.Element{}, recent: list.New(),
		lossy: rand.New(rand.NewPCG(seed, seed)),
	}
}

// run serves a prompt whose answer has decode times the average length. It
// returns the lagging report.
func (e *fakeEngine) run(blocks []uint64, decode float64) port.LoadReport {
	e.count(0, 1)
	e.slots <- struct{}{}
	e.count(1, -1)
	missed := e.use(blocks)
	work := float64(missed)*float64(prefillPerBlock) + decode*float64(decodeMean)
	time.Sleep(time.Duration(work * e.slow))
	<-e.slots
	e.count(-1, 0)
	return e.report()
}

func (e *fakeEngine) count(running, waiting int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running += running
	e.waiting += waiting
	load := port.LoadReport{Incarnation: "1", Running: e.running, Waiting: e.waiting, Slots: cap(e.slots)}
	e.reports = append(e.reports, timedLoad{at: time.Now(), load: load})
}

func (e *fakeEngine) report() port.LoadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	seen := time.Now().Add(-reportLag)
	for len(e.reports) > 1 && !e.reports[1].at.After(seen) {
		e.reports = e.reports[1:]
	}
	return e.reports[0].load
}

// use returns the number of blocks that were not in the cache.
func (e *fakeEngine) use(blocks []uint64) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	hits, missed := 0, false
	for _, b := range blocks {
		if el := e.blocks[b]; el != nil {
			e.recent.MoveToFront(el)
			if !missed {
				hits++
			}
			continue
		}
		missed = true
		e.blocks[b] = e.recent.PushFront(b)
		e.emit(b, true)
	}
	for len(e.blocks) > e.limit {
		b := e.recent.Remove(e.recent.Back()).(uint64)
		delete(e.blocks, b)
		e.emit(b, false)
	}
	e.served++
	e.hits += hits
	e.total += len(blocks)
	return len(blocks) - hits
}

func (e *fakeEngine) emit(block uint64, stored bool) {
	e.next++
	if e.lossy.Float64() < 0.05 {
		return
	}
	e.events = append(e.events, port.CacheEvent{Sequence: e.next, Block: block, Stored: stored})
}

func (e *fakeEngine) eventsAfter(after uint64) []port.CacheEvent {
	e.mu.Lock()
	defer e.mu.Unlock()
	i, _ := slices.BinarySearchFunc(e.events, after+1, func(ev port.CacheEvent, s uint64) int { return cmp.Compare(ev.Sequence, s) })
	return slices.Clone(e.events[i:])
}
