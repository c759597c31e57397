package gather

import (
	"time"

	"github.com/pimentorill/pimentorill/internal/core/catalog"
	"github.com/pimentorill/pimentorill/internal/port"
)

const (
	// targetNoStorage is the share of pieces that find no storage, half of the 1 in 1,000
	// that may.
	targetNoStorage = 1.0 / 2000
	// storageMarginStep is how much the storage margin grows with a call in which pieces find
	// none; it shrinks by the target share of that with each piece that does.
	// maxStorageMargin bounds it.
	storageMarginStep = 0.01
	maxStorageMargin  = 0.15
	// othersShare is the share of a call's pieces without storage from which it is put down to
	// results of others rather than to the sizes of this queue's.
	othersShare = 0.25
)

// observeStorage updates the storage margin with the outcome of a call. Stage services name
// only an approximate size of results: the margin becomes as large as it takes for the target
// share of pieces to find no storage.
func (q *Queue) observeStorage(results []port.PieceResult) {
	made, noStorage := 0, 0
	for _, r := range results {
		switch r.Failure {
		case port.PieceSucceeded:
			made++
		case port.PieceNoSpace:
			noStorage++
		}
	}
	if noStorage > 0 && float64(noStorage) <= othersShare*float64(len(results)) {
		q.storageMargin += storageMarginStep
	}
	q.storageMargin = min(maxStorageMargin, max(0, q.storageMargin-targetNoStorage*storageMarginStep*float64(made)))
}

// storedResult is the storage taken by one result, or by a placeholder for a
// result whose handle is unknown because its call failed.
type storedResult struct {
	bytes     int64
	expiresAt time.Time
	// freeing is set once the caller has been told to free the result.
	freeing bool
}

// expireResults removes the results whose TTL has passed.
func (e *endpoint) expireResults(now time.Time) {
	for handle, result := range e.results {
		if !now.Before(result.expiresAt) {
			e.removeResult(handle)
		}
	}
}

// removeResult removes a result and reports whether it was recorded.
func (e *endpoint) removeResult(handle string) bool {
	result, ok := e.results[handle]
	if ok {
		e.storedBytes -= result.bytes
		delete(e.results, handle)
	}
	return ok
}

// addResult records a result or a placeholder.
func (e *endpoint) addResult(handle string, bytes int64, expiresAt time.Time) {
	e.removeResult(handle)
	e.results[handle] = storedResult{bytes: bytes, expiresAt: expiresAt}
	e.storedBytes += bytes
}

// EndpointOfResult returns the endpoint that stores a result, or nil if the
// result is unknown.
func (q *Queue) EndpointOfResult(handle string) *catalog.Endpoint {
	for _, e := range q.endpoints {
		if _, ok := e.results[handle]; ok {
			return e.Endpoint
		}
	}
	return nil
}

// StartFree returns the handles of results by endpoint, so that the caller frees them there
// and then passes them to FinishFree. Until then they take up storage: a call that overtakes
// the request to free them would find none. It leaves out results that are unknown or being
// freed.
func (q *Queue) StartFree(handles []string) map[*catalog.Endpoint][]string {
	out := make(map[*catalog.Endpoint][]string)
	for _, h := range handles {
		for _, e := range q.endpoints {
			result, ok := e.results[h]
			if !ok {
				continue
			}
			if !result.freeing {
				result.freeing = true
				e.results[h] = result
				out[e.Endpoint] = append(out[e.Endpoint], h)
			}
			break
		}
	}
	return out
}

// FinishFree records that an endpoint has freed results.
func (q *Queue) FinishFree(target *catalog.Endpoint, handles []string) {
	if e := q.endpoints[target.Incarnation()]; e != nil {
		for _, h := range handles {
			e.removeResult(h)
		}
	}
}
