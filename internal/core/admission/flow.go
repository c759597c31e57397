package admission

import (
	"container/heap"
	"time"
)

// waiter is one request passed to Enqueue.
type waiter struct {
	request   Request
	flow      *flow
	scheduler *scheduler
	// heapIndex is the position in the flow's queue, or -1 if not queued.
	heapIndex int
	// notify reports the result to the caller. It is called exactly once.
	notify func(*Grant, error)
}

// queued reports whether the request is still in its flow's queue.
func (w *waiter) queued() bool { return w.heapIndex >= 0 }

// deadlineHeap is a min-heap of waiters by deadline.
type deadlineHeap []*waiter

func (h deadlineHeap) Len() int { return len(h) }

func (h deadlineHeap) Less(i, j int) bool {
	return h[i].request.Deadline.Before(h[j].request.Deadline)
}

func (h deadlineHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

func (h *deadlineHeap) Push(x any) {
	w := x.(*waiter)
	w.heapIndex = len(*h)
	*h = append(*h, w)
}

func (h *deadlineHeap) Pop() any {
	last := len(*h) - 1
	w := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	w.heapIndex = -1
	return w
}

// flow holds the queued requests of one customer for one pipeline. It is not
// safe for concurrent use.
type flow struct {
	customer string
	// share is the customer's share, at least 1.
	share float64
	// startTag is the virtual start time of the flow's next request; each
	// started request advances it by 1/share.
	startTag float64
	queue    deadlineHeap
	// running is the number of the flow's runs in progress.
	running int
}

func (f *flow) push(w *waiter) { heap.Push(&f.queue, w) }

// pop removes and returns the waiter with the earliest deadline.
func (f *flow) pop() *waiter { return heap.Pop(&f.queue).(*waiter) }

func (f *flow) remove(w *waiter) { heap.Remove(&f.queue, w.heapIndex) }

// countDueBy returns the number of the flow's waiters whose deadline is not
// after the given one.
func (f *flow) countDueBy(deadline time.Time) int {
	n := 0
	for _, w := range f.queue {
		if !w.request.Deadline.After(deadline) {
			n++
		}
	}
	return n
}

// latestWaiter returns the waiter with the latest deadline, or nil if the queue
// is empty.
func (f *flow) latestWaiter() *waiter {
	var latest *waiter
	for _, w := range f.queue {
		if latest == nil || w.request.Deadline.After(latest.request.Deadline) {
			latest = w
		}
	}
	return latest
}

// loadPerShare returns the number of the flow's queued and running requests
// divided by its share.
func (f *flow) loadPerShare() float64 { return float64(len(f.queue)+f.running) / f.share }
