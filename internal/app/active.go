package app

import (
	"sync"
	"time"

	"github.com/pimentorill/pimentorill/internal/core/verdict"
)

// drainRetryAfter is the retry delay sent to callers during a shutdown.
const drainRetryAfter = time.Second

// requestCounter counts the requests in progress. Once closed it refuses new ones.
// It is safe for concurrent use.
type requestCounter struct {
	mu     sync.Mutex
	count  int
	closed bool
	// drained is closed once the counter is closed and count is 0.
	drained chan struct{}
}

func newRequestCounter() *requestCounter { return &requestCounter{drained: make(chan struct{})} }

// begin counts a new request. Once the host is shutting down, it returns a
// *verdict.Error with CodeNotReady and NotRun instead.
func (r *requestCounter) begin() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return verdict.New(verdict.CodeNotReady, verdict.NotRun, "the host is shutting down").WithRetryAfter(drainRetryAfter)
	}
	r.count++
	return nil
}

// end marks a request as finished. Call it once for each successful begin.
func (r *requestCounter) end() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.count--
	if r.closed && r.count == 0 {
		close(r.drained)
	}
}

// draining reports whether new requests are refused.
func (r *requestCounter) draining() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.closed
}

// drain refuses new requests and waits until none is in progress or the timeout
// has passed. It returns the number still in progress.
func (r *requestCounter) drain(timeout time.Duration) int {
	r.mu.Lock()
	firstCall := !r.closed
	r.closed = true
	if firstCall && r.count == 0 {
		close(r.drained)
	}
	r.mu.Unlock()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-r.drained:
	case <-timer.C:
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.count
}

// inProgress returns the number of requests in progress.
func (r *requestCounter) inProgress() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.count
}
