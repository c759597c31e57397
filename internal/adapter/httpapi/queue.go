package httpapi

import "sync"

// eventQueue passes events from a run to the writer of its stream. It has no
// bound of its own: the token limit of the stage bounds the events of a run. put
// does not wait for the writer, so a slow caller does not delay the run. Its methods
// are safe for concurrent use, but only one goroutine may call take at a time.
type eventQueue struct {
	mu     sync.Mutex
	ready  sync.Cond
	events []serverEvent
	closed bool
}

func newEventQueue() *eventQueue {
	q := &eventQueue{}
	q.ready.L = &q.mu
	return q
}

// put appends an event. It must not be called after close.
func (q *eventQueue) put(e serverEvent) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.events = append(q.events, e)
	q.ready.Signal()
}

// close marks the end of the events. take still returns those in the queue.
func (q *eventQueue) close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	q.ready.Signal()
}

// take blocks until events are queued, removes and returns all of them, or returns
// none once the queue is closed and empty. Only one goroutine may call it at a time.
func (q *eventQueue) take() []serverEvent {
	q.mu.Lock()
	defer q.mu.Unlock()
	for len(q.events) == 0 && !q.closed {
		q.ready.Wait()
	}
	events := q.events
	q.events = nil
	return events
}
