package standin

import "container/heap"

// waiter is a call that waits for a slot.
type waiter struct {
	active   *activeCall
	sequence uint64
	index    int
	granted  chan struct{}
}

// waitQueue orders waiters by priority, then by arrival.
type waitQueue struct {
	items        waiters
	lastSequence uint64
}

func (q *waitQueue) len() int { return len(q.items) }

func (q *waitQueue) push(j *activeCall) *waiter {
	q.lastSequence++
	w := &waiter{active: j, sequence: q.lastSequence, granted: make(chan struct{})}
	heap.Push(&q.items, w)
	return w
}

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
