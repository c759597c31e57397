package app

import (
	"sync"
	"time"

	"github.com/pimentorill/pimentorill/internal/core/verdict"
)

// drainRetryAfter is what callers are told who come during a shutdown.
const drainRetryAfter = time.Second

// requestCounter counts the requests under way. It is safe for concurrent use.
type requestCounter struct {
	mu      sync.Mutex
	count   int
	closed  bool
	drained chan struct{}
}

func newRequestCounter() *requestCounter { return &requestCounter{drained: make(chan struct{})} }

// enter counts a request in, or refuses it once the host is shutting down.
func (r *requestCounter) begin() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return verdict.New(verdict.CodeNotReady, verdict.NotRun, "the host is shutting down").WithRetryAfter(drainRetryAfter)
	}
	r.count++
	return nil
}

// leave counts a request out.
func (r *requestCounter) end() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.count--
	if r.closed && r.count == 0 {
		close(r.drained)
	}
}

func (r *requestCounter) draining() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.closed
}

// drain refuses new requests and waits until none is under way or limit has
// passed. It returns the number still under way.
func (r *requestCounter) drain(limit time.Duration) int {
	r.mu.Lock()
	first := !r.closed
	r.closed = true
	if first && r.count == 0 {
		close(r.drained)
	}
	r.mu.Unlock()
	t := time.NewTimer(limit)
	defer t.Stop()
	select {
	case <-r.drained:
	case <-t.C:
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.count
}

// current returns the number of requests under way.
func (r *requestCounter) inProgress() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.count
}
