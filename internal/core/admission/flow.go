package admission

import (
	"container/heap"
	"time"
)

// ticket is one request that waits. It is answered once, through notify.
type waiter struct {
	request   Request
	flow      *flow
	scheduler *scheduler
	heapIndex int
	notify    func(*Grant, error)
}

func (t *waiter) queued() bool { return t.heapIndex >= 0 }

// deadlineHeap orders tickets by deadline, the earliest first.
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
	t := x.(*waiter)
	t.heapIndex = len(*h)
	*h = append(*h, t)
}

func (h *deadlineHeap) Pop() any {
	last := len(*h) - 1
	t := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	t.heapIndex = -1
	return t
}

// flow is one customer's requests for one pipeline.
type flow struct {
	customer string
	share    float64
	// tag is the virtual time at which the flow's next request is due; each
	// request started moves it on by 1/share.
	startTag float64
	queue    deadlineHeap
	running  int
}

func (f *flow) push(t *waiter) { heap.Push(&f.queue, t) }

func (f *flow) pop() *waiter { return heap.Pop(&f.queue).(*waiter) }

func (f *flow) remove(t *waiter) { heap.Remove(&f.queue, t.heapIndex) }

// ahead returns the number of the flow's tickets with an earlier deadline.
func (f *flow) countDueBy(deadline time.Time) int {
	n := 0
	for _, t := range f.queue {
		if !t.request.Deadline.After(deadline) {
			n++
		}
	}
	return n
}

// latest returns the waiting ticket with the latest deadline.
func (f *flow) latestWaiter() *waiter {
	var last *waiter
	for _, t := range f.queue {
		if last == nil || t.request.Deadline.After(last.request.Deadline) {
			last = t
		}
	}
	return last
}

// weight is how much of the lane the flow takes for its share.
func (f *flow) loadPerShare() float64 { return float64(len(f.queue)+f.running) / f.share }
