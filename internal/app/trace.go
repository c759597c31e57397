package app

import (
	"slices"
	"sync"

	"github.com/pimentorill/pimentorill/internal/core/pipeline"
	"github.com/pimentorill/pimentorill/internal/core/verdict"
)

// traceCapacity is the number of latest requests whose traces a host keeps.
const traceCapacity = 4096

// Trace is the record of one finished request.
type Trace struct {
	RequestID      string                 `json:"request_id"`
	Customer       string                 `json:"customer"`
	Pipeline       string                 `json:"pipeline"`
	ReleaseVersion uint64                 `json:"release_version"`
	Stages         []pipeline.StageResult `json:"stages"`
	// Attempts lists the attempts that have ended, in the order of their ends.
	Attempts []pipeline.AttemptReport `json:"attempts"`
	// Cost is in millionths of the currency unit.
	Cost       int64 `json:"cost"`
	DurationMs int64 `json:"duration_ms"`
	// Error is nil if the request succeeded.
	Error *TraceError `json:"error,omitempty"`

	// attemptLog is the source of Attempts, which withAttempts fills in.
	attemptLog *attemptLog
}

// attemptLog collects the reports on a request's ended attempts, some of which may
// end after the response to the request. It is safe for concurrent use.
type attemptLog struct {
	mu    sync.Mutex
	ended []pipeline.AttemptReport
}

func (l *attemptLog) add(r pipeline.AttemptReport) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ended = append(l.ended, r)
}

// withAttempts returns a copy of the trace with the attempts that have ended by now.
func (t Trace) withAttempts() Trace {
	if t.attemptLog == nil {
		return t
	}
	t.attemptLog.mu.Lock()
	defer t.attemptLog.mu.Unlock()
	t.Attempts = slices.Clone(t.attemptLog.ended)
	return t
}

// TraceError describes how a request failed.
type TraceError struct {
	Code    verdict.Code    `json:"code"`
	Verdict verdict.Verdict `json:"verdict"`
	Detail  string          `json:"detail"`
}

// traceError returns the description of err; nil if err is nil.
func traceError(err error) *TraceError {
	if err == nil {
		return nil
	}
	e := verdict.From(err)
	return &TraceError{Code: e.Code, Verdict: e.Verdict, Detail: err.Error()}
}

// traceLog is a ring buffer of the latest traces. It is safe for concurrent use.
type traceLog struct {
	mu   sync.Mutex
	ring []Trace
	next int            // index in ring of the next trace to write
	byID map[string]int // indexes in ring, by request id
}

func newTraceLog() *traceLog {
	return &traceLog{ring: make([]Trace, traceCapacity), byID: map[string]int{}}
}

// add adds a trace in place of the oldest one if the ring is full.
func (l *traceLog) add(t Trace) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.byID, l.ring[l.next].RequestID)
	l.ring[l.next] = t
	l.byID[t.RequestID] = l.next
	l.next = (l.next + 1) % len(l.ring)
}

func (l *traceLog) get(id string) (Trace, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	index, ok := l.byID[id]
	if !ok {
		return Trace{}, false
	}
	return l.ring[index].withAttempts(), true
}

// Explain returns the trace of a request if this host still keeps it.
func (a *App) Explain(requestID string) (Trace, bool) { return a.traces.get(requestID) }

// Traces returns all traces that this host keeps, in no particular order.
func (a *App) Traces() []Trace { return a.traces.all() }

func (l *traceLog) all() []Trace {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]Trace, 0, len(l.byID))
	for _, index := range l.byID {
		out = append(out, l.ring[index].withAttempts())
	}
	return out
}
