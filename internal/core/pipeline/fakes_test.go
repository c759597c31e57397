package pipeline

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"

	"github.com/pimentorill/pimentorill/internal/core/cost"
	"github.com/pimentorill/pimentorill/internal/core/release"
	"github.com/pimentorill/pimentorill/internal/core/verdict"
	"github.com/pimentorill/pimentorill/internal/port"
)

// fakePicker picks the service's first endpoint that is not in Avoid, or its
// first endpoint if Avoid holds all of them.
type fakePicker struct{}

func (fakePicker) Pick(info AttemptInfo) (release.Endpoint, error) {
	all := info.Release.EndpointsOf(info.Stage.Service)
	for _, e := range all {
		if !slices.Contains(info.Avoid, e.ID) {
			return e, nil
		}
	}
	if len(all) > 0 {
		return all[0], nil
	}
	return release.Endpoint{}, verdict.New(verdict.CodeNoCapacity, verdict.NotRun, "no endpoint")
}

// countingGate admits every attempt and counts the slots held.
type countingGate struct {
	mu   sync.Mutex
	held int
}

func (g *countingGate) Acquire(context.Context, AttemptInfo, release.Endpoint) (func(Outcome), error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.held++
	return func(Outcome) {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.held--
	}, nil
}

// fakeEndpoints is a port.AttemptClient that responds with a function and
// records the calls and the usage charged.
type fakeEndpoints struct {
	mu    sync.Mutex
	calls []port.Attempt
	// charged holds the usage charged so far by attempt id.
	charged map[string]port.Usage
	// respond returns the result of call n, counted from 0.
	respond func(ctx context.Context, n int, a port.Attempt, charge func(port.Usage)) (port.AttemptResult, error)
}

func (f *fakeEndpoints) Call(ctx context.Context, a port.Attempt) (port.AttemptResult, error) {
	f.mu.Lock()
	n := len(f.calls)
	f.calls = append(f.calls, a)
	f.mu.Unlock()
	return f.respond(ctx, n, a, func(u port.Usage) { f.charge(a.ID, u) })
}

func (f *fakeEndpoints) charge(id string, u port.Usage) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.charged == nil {
		f.charged = map[string]port.Usage{}
	}
	f.charged[id] = f.charged[id].Add(u)
}

func (f *fakeEndpoints) sent() []port.Attempt {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]port.Attempt(nil), f.calls...)
}

// oneCall is the usage that the fakes charge for a call outside of a stream.
var oneCall = port.Usage{Calls: 1}

// respondOK charges oneCall and returns the input wrapped in an object under the stage's name.
func respondOK(a port.Attempt, charge func(port.Usage)) (port.AttemptResult, error) {
	charge(oneCall)
	out := json.RawMessage(fmt.Sprintf(`{%q:%s}`, a.Stage.Name, a.Input))
	return port.AttemptResult{AttemptID: a.ID, Output: out, Usage: oneCall}, nil
}

// testRelease returns a release with one pipeline of the given stages. Each
// stage has a service of the same name with two endpoints in two zones.
func testRelease(stages ...release.Stage) *release.Release {
	r := &release.Release{
		Zones:    []release.Zone{{Name: "a", Region: "r"}, {Name: "b", Region: "r"}},
		Settings: release.DefaultSettings,
	}
	for i := range stages {
		s := &stages[i]
		s.Service = s.Name
		s.Price = release.Price{PerCall: 7, PerCompletionToken: 3}
		for _, z := range r.Zones {
			r.Endpoints = append(r.Endpoints, release.Endpoint{
				ID: s.Name + "-" + z.Name, Service: s.Name, AvailabilityZone: z.Name, Slots: 8,
			})
		}
	}
	r.Pipelines = []release.Pipeline{{Name: "p", TimeoutMs: 4000, Stages: stages}}
	return r
}

// harness holds a Runner and its fake dependencies.
type harness struct {
	runner    *Runner
	gate      *countingGate
	endpoints *fakeEndpoints
	ledger    *cost.Ledger
	release   *release.Release
}

func newHarness(r *release.Release) *harness {
	h := &harness{gate: &countingGate{}, endpoints: &fakeEndpoints{}, ledger: cost.NewLedger(port.SystemClock{}), release: r}
	var mu sync.Mutex
	ids := 0
	h.runner = NewRunner(Deps{
		Picker:        fakePicker{},
		Gate:          h.gate,
		AttemptClient: h.endpoints,
		Ledger:        h.ledger,
		Clock:         port.SystemClock{},
		NewID: func() string {
			mu.Lock()
			defer mu.Unlock()
			ids++
			return fmt.Sprintf("attempt-%d", ids)
		},
	})
	return h
}

func (h *harness) request(id string) Request {
	p := h.release.Pipelines[0]
	return Request{
		ID: id, Customer: "c", Pipeline: p, Release: h.release, Input: json.RawMessage(`1`),
		Deadline: port.SystemClock{}.Now().Add(p.Timeout()),
	}
}
