package stagework

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"github.com/pimentorill/pimentorill/internal/core/catalog"
	"github.com/pimentorill/pimentorill/internal/core/verdict"
	"github.com/pimentorill/pimentorill/internal/health"
	"github.com/pimentorill/pimentorill/internal/port"
)

// fakeEndpoints simulates the endpoints of two stage services in virtual time.
type fakeEndpoints struct {
	mu                 sync.Mutex
	activeCalls        map[string]int
	maxConcurrentCalls int
	batchSizes         map[string][]int
	lastInputs         map[string][]string
	freed              []string
	lostOnce           map[string]bool
}

func newFakeEndpoints() *fakeEndpoints {
	return &fakeEndpoints{activeCalls: make(map[string]int), batchSizes: make(map[string][]int), lastInputs: make(map[string][]string), lostOnce: make(map[string]bool)}
}

func (s *fakeEndpoints) Forward(context.Context, *port.EndpointRequest, func(*port.EndpointResponse) error) error {
	return nil
}

func (s *fakeEndpoints) RunPieces(ctx context.Context, e *catalog.Endpoint, pieces []port.Piece) ([]port.PieceResult, error) {
	s.mu.Lock()
	s.activeCalls[e.ID]++
	s.maxConcurrentCalls = max(s.maxConcurrentCalls, s.activeCalls[e.ID])
	s.batchSizes[e.Service] = append(s.batchSizes[e.Service], len(pieces))
	results := make([]port.PieceResult, len(pieces))
	for i, p := range pieces {
		results[i].Handle = fmt.Sprintf("%s/%s-%d-%d", e.ID, p.Request, p.Stage, p.Index)
		s.lastInputs[p.Request] = p.Inputs
		for _, input := range p.Inputs {
			if s.lostOnce[input] {
				delete(s.lostOnce, input)
				results[i] = port.PieceResult{Failure: port.PieceInputMissing}
			}
		}
	}
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.activeCalls[e.ID]--
		s.mu.Unlock()
	}()
	select {
	case <-time.After(200*time.Millisecond + time.Duration(len(pieces))*10*time.Millisecond):
		return results, nil
	case <-ctx.Done():
		return nil, verdict.Wrap(ctx.Err(), verdict.CodeEndpointFailed, verdict.MayHaveRun, "cut")
	}
}

func (s *fakeEndpoints) FreeResults(_ context.Context, _ *catalog.Endpoint, handles []string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.freed = append(s.freed, handles...)
	return nil
}

func (s *fakeEndpoints) Probe(context.Context, *catalog.Endpoint, bool) (port.EndpointReport, error) {
	return port.EndpointReport{FreeBytes: -1}, nil
}

// allEndpoints returns the endpoints of both services.
func allEndpoints() []*catalog.Endpoint {
	_, encode := stageService("encode")
	_, rank := stageService("rank")
	return append(encode, rank...)
}

func stageService(name string) (*catalog.Service, []*catalog.Endpoint) {
	var list []*catalog.Endpoint
	for i, zone := range []string{"kranj", "kranj", "celje"} {
		list = append(list, &catalog.Endpoint{ID: fmt.Sprintf("%s-%d", name, i), Service: name, Zone: zone})
	}
	return &catalog.Service{Name: name, StageLimits: &catalog.StageLimits{MaxConcurrentCalls: 1, MaxBatch: 10, CallOverhead: 200 * time.Millisecond,
		TimePerPiece: 10 * time.Millisecond, ResultCapacityBytes: 22e6, ResultTTL: 4 * time.Second}}, list
}

func newTestScheduler(s *fakeEndpoints, host string, reachableShare float64) *Scheduler {
	watch := health.New(health.Config{Client: s, UsableEndpoints: allEndpoints, OnChange: func() {}, Clock: port.SystemClock{}, Log: slog.New(slog.DiscardHandler)})
	return NewScheduler(host, "kranj", func() float64 { return reachableShare }, s, watch, port.SystemClock{}, slog.New(slog.DiscardHandler), stageService)
}

func newPlan(id string, softTimeout time.Duration) *Plan {
	now := time.Now()
	return &Plan{Request: id, Key: "k", SoftDeadline: now.Add(softTimeout), HardDeadline: now.Add(3 * softTimeout), Stages: []Stage{
		{Service: "encode", Pieces: 2, ResultBytes: 8000}, {Service: "rank", DependsOn: []int{0}, Pieces: 4, ResultBytes: 60000}}}
}

func TestStagesRunInDependencyOrderAndResultsAreFreed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newFakeEndpoints()
		d := newTestScheduler(s, "edge-1", 1)
		got, err := d.Execute(context.Background(), newPlan("r", 2*time.Second))
		is.NoErr(err)
		is.Equal(len(got.Handles), 4)
		is.Equal(got.Coordinator, "edge-1")
		is.Equal(len(s.lastInputs["r"]), 2)
		synctest.Wait()
		is.Equal(len(s.freed), 2)
		d.Free(got.Handles)
		synctest.Wait()
		is.Equal(len(s.freed), 6)
	})
}

func TestPlanIsRetriedWhenInputsAreLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newFakeEndpoints()
		d := newTestScheduler(s, "edge-1", 1)
		for i := range 3 {
			s.lostOnce[fmt.Sprintf("encode-%d/r-0-0", i)] = true
		}
		got, err := d.Execute(context.Background(), newPlan("r", 3*time.Second))
		is.NoErr(err)
		is.Equal(len(got.Handles), 4)
		is.Equal(s.batchSizes["encode"], []int{2, 2})
	})
}

func TestCancelledPlanReleasesResultsAndCommitments(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newFakeEndpoints()
		d := newTestScheduler(s, "edge-1", 1)
		ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
		defer cancel()
		_, err := d.Execute(ctx, newPlan("r", 2*time.Second))
		is.Equal(verdict.From(err).Code, verdict.CodeCallerCancelled)
		<-time.After(time.Second)
		synctest.Wait()
		is.Equal(len(s.freed), 6) // two results of the first stage, four of the second
		is.Equal(d.committed.pieces("rank", priorityLevels), 0)
		is.Equal(d.committedLate.pieces("rank", priorityLevels), 0)
	})
}

// TestOverloadIsRefusedImmediately sends four times the load that the endpoints
// can handle. Admitted plans complete; the others are refused without delay and
// with a time to retry.
func TestOverloadIsRefusedImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newFakeEndpoints()
		d := newTestScheduler(s, "edge-1", 1)
		ctx, cancel := context.WithCancel(context.Background())
		go d.Run(ctx)
		var mu sync.Mutex
		var requests sync.WaitGroup
		inTime, refused, slowRefusals, failed := 0, 0, 0, 0
		for i := range 1200 {
			<-time.After(5 * time.Millisecond)
			requests.Go(func() {
				startedAt := time.Now()
				got, err := d.Execute(context.Background(), newPlan(fmt.Sprint(i), 1500*time.Millisecond))
				took := time.Since(startedAt)
				mu.Lock()
				defer mu.Unlock()
				switch {
				case err == nil && took <= 1500*time.Millisecond:
					inTime++
				case err != nil && verdict.From(err).RetryAfter > 0:
					refused++
					if took > 150*time.Millisecond {
						slowRefusals++
					}
				case err != nil:
					failed++
				}
				go d.Free(got.Handles)
			})
		}
		requests.Wait()
		cancel()
		synctest.Wait()
		t.Logf("of 1,200 in 6 s: %d in time, %d refused, %d failed", inTime, refused, failed)
		is.Equal(s.maxConcurrentCalls, 1)
		is.Equal(slowRefusals, 0)
		is.True(refused > 300)
		// With full calls, the endpoints run 100 pieces per second, enough for 25
		// requests.
		is.True(inTime >= 100)
		is.True(failed <= 1200/20)
	})
}

func TestCoordinatorOfAMinorityUsesFewEndpoints(t *testing.T) {
	is := is.New(t)
	_, all := stageService("encode")
	is.Equal(len(newTestScheduler(newFakeEndpoints(), "a", 1).assignedEndpoints("encode", all)), 3)
	is.Equal(len(newTestScheduler(newFakeEndpoints(), "a", 0.5).assignedEndpoints("encode", all)), 3)
	few := newTestScheduler(newFakeEndpoints(), "a", 0.125).assignedEndpoints("encode", all)
	is.Equal(len(few), 1)
	is.Equal(few[0].Zone, "kranj")
}

// fakePeers connects the dispatchers of several hosts in memory.
type fakePeers struct {
	self        string
	mu          *sync.Mutex
	hosts       map[string]*fakePeers
	unreachable map[string]bool
	// unlisted hosts are missing from Candidates.
	unlisted map[string]bool
	// shuttingDown is what ShuttingDown returns.
	shuttingDown bool
	handlers     map[string]port.RequestHandler
}

func newFakePeers(ids ...string) map[string]*fakePeers {
	mu, hosts, unreachable, unlisted := &sync.Mutex{}, make(map[string]*fakePeers), make(map[string]bool), make(map[string]bool)
	for _, id := range ids {
		hosts[id] = &fakePeers{self: id, mu: mu, hosts: hosts, unreachable: unreachable, unlisted: unlisted, handlers: make(map[string]port.RequestHandler)}
	}
	return hosts
}

// newDispatchers returns a dispatcher for each host.
func newDispatchers(s *fakeEndpoints, hosts map[string]*fakePeers) map[string]*Dispatcher {
	dispatchers := make(map[string]*Dispatcher)
	for id, f := range hosts {
		dispatchers[id] = NewDispatcher(f, newTestScheduler(s, id, 1), port.SystemClock{}, slog.New(slog.DiscardHandler))
	}
	return dispatchers
}

func (f *fakePeers) Candidates() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var ids []string
	for id := range f.hosts {
		if !f.unlisted[id] {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

func (f *fakePeers) Self() string { return f.self }

func (f *fakePeers) ClaimCoordination() {}

func (f *fakePeers) ShuttingDown() bool { return f.shuttingDown }

func (f *fakePeers) Handle(kind string, fn port.RequestHandler) { f.handlers[kind] = fn }

func (f *fakePeers) Ask(ctx context.Context, host, kind string, payload []byte) ([]byte, error) {
	f.mu.Lock()
	unreachable := f.unreachable[host]
	f.mu.Unlock()
	if unreachable {
		return nil, errors.New("no answer")
	}
	return f.hosts[host].handlers[kind](ctx, port.Member{ID: f.self}, payload)
}

func TestPlansGoToTheFirstReachableCoordinator(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newFakeEndpoints()
		hosts := newFakePeers("a", "b", "c")
		dispatchers := newDispatchers(s, hosts)
		got, err := dispatchers["c"].Execute(context.Background(), newPlan("1", 2*time.Second))
		is.NoErr(err)
		is.Equal(got.Coordinator, "a")
		hosts["c"].unreachable["a"] = true
		got, err = dispatchers["c"].Execute(context.Background(), newPlan("2", 2*time.Second))
		is.NoErr(err)
		is.Equal(got.Coordinator, "b")
		hosts["c"].unreachable["b"] = true
		got, err = dispatchers["c"].Execute(context.Background(), newPlan("3", 2*time.Second))
		is.NoErr(err)
		is.Equal(got.Coordinator, "c")
		dispatchers["c"].Free(got)
		synctest.Wait()
		is.True(len(s.freed) >= 4)
	})
}
