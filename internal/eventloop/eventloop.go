// Package eventloop runs functions in the order of a virtual time, for tests
// and benchmarks of code that takes the time as a parameter or from a port.Clock.
// It is single-threaded and not safe for concurrent use.
package eventloop

import (
	"container/heap"
	"time"
)

// Loop is an event queue with a virtual clock. It implements port.Clock.
type Loop struct {
	now          time.Time
	events       eventHeap
	lastSequence int
}

// event is a function to run at a virtual time. sequence numbers events in the
// order in which they were added.
type event struct {
	at       time.Time
	sequence int
	run      func()
}

// New returns an empty Loop whose virtual time begins at start.
func New(start time.Time) *Loop { return &Loop{now: start} }

// Now returns the virtual time.
func (l *Loop) Now() time.Time { return l.now }

// After schedules fn to run once d has passed; a negative d counts as 0. Events
// scheduled for the same time run in the order in which they were added.
func (l *Loop) After(d time.Duration, fn func()) {
	l.lastSequence++
	heap.Push(&l.events, event{l.now.Add(max(0, d)), l.lastSequence, fn})
}

// RunUntil runs all events scheduled before end, including those that events add,
// and sets the time to end. An event at end itself does not run.
func (l *Loop) RunUntil(end time.Time) {
	for len(l.events) > 0 && l.events[0].at.Before(end) {
		e := heap.Pop(&l.events).(event)
		l.now = e.at
		e.run()
	}
	l.now = end
}

// eventHeap implements heap.Interface; the earliest event comes first.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].sequence < h[j].sequence
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
