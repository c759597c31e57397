package claim

import (
	"encoding/json"
	"sync"
	"time"
)

const (
	// maxFinishedRuns limits the finished runs of callers' own keys that a host
	// keeps in memory, in addition to their claims in the store.
	maxFinishedRuns = 8192
	// maxTotalOutputBytes limits the total size of the outputs that a host keeps
	// in memory.
	maxTotalOutputBytes = 8 << 20
)

// outcome is the result of a run: an output or an error.
type outcome struct {
	output json.RawMessage
	err    error
}

// run is the run of a key on this host, including the time in which the key is
// being claimed.
type run struct {
	digest Digest
	// issued means that the key is an issued key, not a caller's own.
	issued bool
	// claimHeld is closed once the key is known to be claimed for the run's
	// request.
	claimHeld chan struct{}
	// done is closed once outcome is set.
	done chan struct{}
	// outcome is guarded by the runTable's mu, also after done is closed: its
	// output may be dropped.
	outcome outcome
	// createdAt is the timestamp of an issued key; zero for a caller's own key.
	createdAt time.Time
	// evictAfter is when the run of an issued key may be evicted; zero for a
	// caller's own key.
	evictAfter time.Time
	// startedAt is when the run was added to the table.
	startedAt time.Time
	// claim is the claim of a caller's own key as it was last seen in the store, in the
	// document addr; zero before. Both are guarded by the runTable's mu.
	claim entry
	addr  documentAddress
}

// isFinished reports whether the outcome is set.
func (r *run) isFinished() bool { return isClosed(r.done) }

// hasClaim reports whether the key is known to be claimed for the run's request.
func (r *run) hasClaim() bool { return isClosed(r.claimHeld) }

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// runTable holds the runs of this host by key. It is safe for concurrent use.
type runTable struct {
	mu   sync.Mutex
	runs map[keyID]*run
	// finishedCallerRuns and finishedIssuedRuns list the keys of finished runs,
	// oldest first.
	finishedCallerRuns, finishedIssuedRuns []keyID
	// outputBytes is the total size of the outputs of runsWithOutput.
	outputBytes int
	// latestEvictedIssuedCreation is the latest timestamp of the issued keys whose
	// runs were evicted.
	latestEvictedIssuedCreation time.Time
	// latestEvictedStart is the latest start time of the evicted runs of callers'
	// own keys.
	latestEvictedStart time.Time
	// runsWithOutput lists the runs whose outputs are in memory, oldest first.
	runsWithOutput []*run
}

func newRunTable() *runTable { return &runTable{runs: make(map[keyID]*run)} }

// getOrAdd returns the key's run; it adds r and returns true if there is none. It
// first evicts finished runs of issued keys whose evictAfter has passed. A caller
// that has added a run must call setOutcome, and retain or remove.
func (t *runTable) getOrAdd(id keyID, r *run, now time.Time) (*run, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.evictIssued(now)
	if existing, ok := t.runs[id]; ok {
		return existing, false
	}
	r.startedAt = now
	r.claimHeld = make(chan struct{})
	r.done = make(chan struct{})
	t.runs[id] = r
	return r, true
}

// mayHaveEvictedIssued reports whether the run of an issued key with this
// timestamp may have been evicted. The key's age does not show this if the claim
// window was extended in the meantime.
func (t *runTable) mayHaveEvictedIssued(createdAt time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !createdAt.After(t.latestEvictedIssuedCreation)
}

// setOutcome sets the run's outcome and wakes up the requests that wait for it. It
// may drop the outputs of the oldest runs. It must be called once for a run.
func (t *runTable) setOutcome(r *run, out outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r.outcome = out
	t.retainOutput(r)
	close(r.done)
}

// retain keeps a finished run in memory. For a caller's own key it evicts the run
// that was retained first if there are more than maxFinishedRuns; the runs of
// issued keys are evicted by age in getOrAdd.
func (t *runTable) retain(id keyID, r *run) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.issued {
		t.finishedIssuedRuns = append(t.finishedIssuedRuns, id)
		return
	}
	t.finishedCallerRuns = append(t.finishedCallerRuns, id)
	if len(t.finishedCallerRuns) > maxFinishedRuns {
		if old, ok := t.runs[t.finishedCallerRuns[0]]; ok && old.startedAt.After(t.latestEvictedStart) {
			t.latestEvictedStart = old.startedAt
		}
		delete(t.runs, t.finishedCallerRuns[0])
		t.finishedCallerRuns = t.finishedCallerRuns[1:]
	}
}

// remove deletes a run, so that a new one can be added for the key.
func (t *runTable) remove(id keyID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.runs, id)
}

// evictIssued evicts the finished runs of issued keys whose evictAfter has passed,
// oldest first, up to the first that must be kept. The caller holds t.mu.
func (t *runTable) evictIssued(now time.Time) {
	for len(t.finishedIssuedRuns) > 0 {
		r, ok := t.runs[t.finishedIssuedRuns[0]]
		if ok && now.Before(r.evictAfter) {
			return
		}
		if ok && r.createdAt.After(t.latestEvictedIssuedCreation) {
			t.latestEvictedIssuedCreation = r.createdAt
		}
		delete(t.runs, t.finishedIssuedRuns[0])
		t.finishedIssuedRuns = t.finishedIssuedRuns[1:]
	}
}

// retainOutput keeps the run's output in memory and drops the oldest outputs
// above maxTotalOutputBytes; the outcome of their runs becomes an error. The
// caller holds t.mu.
func (t *runTable) retainOutput(r *run) {
	if r.outcome.output == nil {
		return
	}
	t.runsWithOutput = append(t.runsWithOutput, r)
	t.outputBytes += len(r.outcome.output)
	for t.outputBytes > maxTotalOutputBytes {
		old := t.runsWithOutput[0]
		t.runsWithOutput = t.runsWithOutput[1:]
		t.outputBytes -= len(old.outcome.output)
		old.outcome = outcome{err: errOutputDiscarded()}
	}
}

// outcomeOf returns a finished run's outcome.
func (t *runTable) outcomeOf(r *run) outcome {
	t.mu.Lock()
	defer t.mu.Unlock()
	return r.outcome
}

// has reports whether the table holds a run of the key.
func (t *runTable) has(id keyID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, ok := t.runs[id]
	return ok
}

// latestEvictedCallerStart returns the latest start time of the evicted runs of
// callers' own keys; zero if none was evicted.
func (t *runTable) latestEvictedCallerStart() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.latestEvictedStart
}
