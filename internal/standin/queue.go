package standin

import "container/heap"

// waiter is a call that waits for a slot. granted is closed when it gets one; index
// is its position in the heap, -1 once it was removed.
type waiter struct {
	active   *activeCall
	sequence uint64
	index    int
	granted  chan struct{}
}

// waitQueue orders waiters by priority, lower values first, then by arrival. The
// backend's mu guards it.
type waitQueue struct {
	items        waiters
	lastSequence uint64
}

func (q *waitQueue) len() int { return len(q.items) }

func (q *waitQueue) push(active *activeCall) *waiter {
	q.lastSequence++
	w := &waiter{active: active, sequence: q.lastSequence, granted: make(chan struct{})}
	heap.Push(&q.items, w)
	return w
}

// pop removes and returns the first waiter, nil if there is none.
func (q *waitQueue) pop() *waiter {
	if len(q.items) == 0 {
		return nil
	}
	return heap.Pop(&q.items).(*waiter)
}

// remove removes w and reports whether it was still waiting.
func (q *waitQueue) remove(w *waiter) bool {
	if w.index < 0 {
		return false
	}
	heap.Remove(&q.items, w.index)
	return true
}

// clear removes all waiters. They must not be passed to remove afterwards.
func (q *waitQueue) clear() { q.items = nil }

// waiters implements heap.Interface.
type waiters []*waiter

func (w waiters) Len() int { return len(w) }

func (w waiters) Less(i, j int) bool {
	if w[i].active.call.priority != w[j].active.call.priority {
		return w[i].active.call.priority < w[j].active.call.priority
	}
	return w[i].sequence < w[j].sequence
}

func (w waiters) Swap(i, j int) {
	w[i], w[j] = w[j], w[i]
	w[i].index = i
	w[j].index = j
}

// Push implements heap.Interface.
func (w *waiters) Push(x any) {
	item := x.(*waiter)
	item.index = len(*w)
	*w = append(*w, item)
}

// Pop implements heap.Interface.
func (w *waiters) Pop() any {
	old := *w
	last := old[len(old)-1]
	last.index = -1
	*w = old[:len(old)-1]
	return last
}
