package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"

	"github.com/pimentorill/pimentorill/internal/port"
)

// RunCounter counts the runs of each idempotency key. The plain servers of one
// service share it.
type RunCounter struct {
	mu     sync.Mutex
	counts map[string]int
}

// NewRunCounter returns an empty RunCounter.
func NewRunCounter() *RunCounter { return &RunCounter{counts: make(map[string]int)} }

// Runs returns how often the key ran.
func (r *RunCounter) Runs(key string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counts[key]
}

// RepeatedKeys returns the keys that ran more than once.
func (r *RunCounter) RepeatedKeys() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []string
	for key, n := range r.counts {
		if n > 1 {
			out = append(out, key)
		}
	}
	return out
}

// KeyCount returns the number of keys that ran.
func (r *RunCounter) KeyCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.counts)
}

// recordRun counts a run of the key and returns how often the key has run.
func (r *RunCounter) recordRun(key string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[key]++
	return r.counts[key]
}

// Plain stands in for a plain service. It does not deduplicate by key: each
// call runs, and the RunCounter counts it.
type Plain struct {
	backend
	runCounter *RunCounter
}

// PlainOutput is the output of a plain service. Run is 1 for the key's first run.
type PlainOutput struct {
	EndpointID string          `json:"by"`
	Key        string          `json:"key"`
	Run        int             `json:"run"`
	Input      json.RawMessage `json:"input"`
}

// NewPlain returns a plain server that counts runs in counter; nil means a new
// RunCounter.
func NewPlain(cfg BackendConfig, counter *RunCounter) *Plain {
	if counter == nil {
		counter = NewRunCounter()
	}
	p := &Plain{runCounter: counter}
	p.init(cfg)
	p.work = p.execute
	mux := http.NewServeMux()
	p.registerRoutes(mux)
	mux.HandleFunc("POST /", p.handleCall)
	p.handler = mux
	return p
}

// RunCounter returns the counter of the runs of each key.
func (p *Plain) RunCounter() *RunCounter { return p.runCounter }

// execute records the run before it waits, so that a call interrupted afterwards
// has run.
func (p *Plain) execute(ctx context.Context, c call, _ func(string) error) (json.RawMessage, error) {
	p.charges.add(c.attempt, port.Usage{Calls: 1})
	run := p.runCounter.recordRun(c.key)
	if err := sleep(ctx, p.currentStepTime(p.cfg.WorkTime)); err != nil {
		return nil, err
	}
	return json.Marshal(PlainOutput{EndpointID: p.cfg.ID, Key: c.key, Run: run, Input: c.input})
}
