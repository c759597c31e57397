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

// shop is some endpoints of two stage services, in virtual time.
type shop struct {
	mu     sync.Mutex
	busy   map[string]int
	worst  int
	calls  map[string][]int
	inputs map[string][]string
	freed  []string
	lost   map[string]bool
}

func newShop() *shop {
	return &shop{busy: make(map[string]int), calls: make(map[string][]int), inputs: make(map[string][]string), lost: make(map[string]bool)}
}

func (s *shop) Forward(context.Context, *port.EndpointRequest, func(*port.EndpointResponse) error) error {
	return nil
}

func (s *shop) RunPieces(ctx context.Context, e *catalog.Endpoint, pieces []port.Piece) ([]port.PieceResult, error) {
	s.mu.Lock()
	s.busy[e.ID]++
	s.worst = max(s.worst, s.busy[e.ID])
	s.calls[e.Service] = append(s.calls[e.Service], len(pieces))
	results := make([]port.PieceResult, len(pieces))
	for i, p := range pieces {
		results[i].Handle = fmt.Sprintf("%s/%s-%d-%d", e.ID, p.Request, p.Stage, p.Index)
		s.inputs[p.Request] = p.Inputs
		for _, input := range p.Inputs {
			if s.lost[input] {
				delete(s.lost, input)
				results[i] = port.PieceResult{Failure: port.PieceInputMissing}
			}
		}
	}
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.busy[e.ID]--
		s.mu.Unlock()
	}()
	select {
	case <-time.After(200*time.Millisecond + time.Duration(len(pieces))*10*time.Millisecond):
		return results, nil
	case <-ctx.Done():
		return nil, verdict.Wrap(ctx.Err(), verdict.CodeEndpointFailed, verdict.MayHaveRun, "cut")
	}
}

func (s *shop) FreeResults(_ context.Context, _ *catalog.Endpoint, handles []string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.freed = append(s.freed, handles...)
	return nil
}

func (s *shop) Probe(context.Context, *catalog.Endpoint, bool) (port.EndpointReport, error) {
	return port.EndpointReport{FreeBytes: -1}, nil
}

// knownEndpoints returns those of both services.
func knownEndpoints() []*catalog.Endpoint {
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

func newDesk(s *shop, host string, reach float64) *Desk {
	watch := health.New(health.Config{Endpoints: s, Known: knownEndpoints, Changed: func() {}, Clock: port.SystemClock{}, Log: slog.New(slog.DiscardHandler)})
	return NewDesk(host, "kranj", func() float64 { return reach }, s, watch, port.SystemClock{}, slog.New(slog.DiscardHandler), stageService)
}

func plan(id string, within time.Duration) *Plan {
	now := time.Now()
	return &Plan{Request: id, Key: "k", Due: now.Add(within), Last: now.Add(3 * within), Stages: []Stage{
		{Service: "encode", Pieces: 2, ResultBytes: 8000}, {Service: "rank", After: []int{0}, Pieces: 4, ResultBytes: 60000}}}
}

func TestStagesAreMadeInTheirOrderAndFreed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newShop()
		d := newDesk(s, "edge-1", 1)
		got, err := d.Do(context.Background(), plan("r", 2*time.Second))
		is.NoErr(err)
		is.Equal(len(got.Handles), 4)
		is.Equal(got.Keeper, "edge-1")
		is.Equal(len(s.inputs["r"]), 2)
		synctest.Wait()
		is.Equal(len(s.freed), 2)
		d.Free(got.Handles)
		synctest.Wait()
		is.Equal(len(s.freed), 6)
	})
}

func TestLostInputsAreMadeAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newShop()
		d := newDesk(s, "edge-1", 1)
		for i := range 3 {
			s.lost[fmt.Sprintf("encode-%d/r-0-0", i)] = true
		}
		got, err := d.Do(context.Background(), plan("r", 3*time.Second))
		is.NoErr(err)
		is.Equal(len(got.Handles), 4)
		is.Equal(s.calls["encode"], []int{2, 2})
	})
}

func TestACancelledPlanLeavesNothingBehind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newShop()
		d := newDesk(s, "edge-1", 1)
		ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
		defer cancel()
		_, err := d.Do(ctx, plan("r", 2*time.Second))
		is.Equal(verdict.From(err).Code, verdict.CodeCallerCancelled)
		<-time.After(time.Second)
		synctest.Wait()
		is.Equal(len(s.freed), 6) // two results of the first stage, four of the second
		is.Equal(d.committed.sum("rank", levels), 0)
		is.Equal(d.committedLate.sum("rank", levels), 0)
	})
}

// TestOverloadIsRefusedAtOnce brings four times what the endpoints bear. What is
// taken is done; what is refused is refused at once, with the time to come back.
func TestOverloadIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newShop()
		d := newDesk(s, "edge-1", 1)
		ctx, cancel := context.WithCancel(context.Background())
		go d.Run(ctx)
		var mu sync.Mutex
		var all sync.WaitGroup
		inTime, refused, slowRefusals, failed := 0, 0, 0, 0
		for i := range 1200 {
			<-time.After(5 * time.Millisecond)
			all.Go(func() {
				began := time.Now()
				got, err := d.Do(context.Background(), plan(fmt.Sprint(i), 1500*time.Millisecond))
				took := time.Since(began)
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
		all.Wait()
		cancel()
		synctest.Wait()
		t.Logf("of 1,200 in 6 s: %d in time, %d refused, %d failed", inTime, refused, failed)
		is.Equal(s.worst, 1)
		is.Equal(slowRefusals, 0)
		is.True(refused > 300)
		// The endpoints make 100 pieces a second in full calls: 25 requests.
		is.True(inTime >= 100)
		is.True(failed <= 1200/20)
	})
}

func TestAMinorityKeepsToFewEndpoints(t *testing.T) {
	is := is.New(t)
	_, all := stageService("encode")
	is.Equal(len(newDesk(newShop(), "a", 1).share("encode", all)), 3)
	is.Equal(len(newDesk(newShop(), "a", 0.5).share("encode", all)), 3)
	few := newDesk(newShop(), "a", 0.125).share("encode", all)
	is.Equal(len(few), 1)
	is.Equal(few[0].Zone, "kranj")
}

// fleet reaches other hosts' makers in memory.
type fleet struct {
	self  string
	mu    *sync.Mutex
	hosts map[string]*fleet
	dead  map[string]bool
	// absent hosts are not among those that answer.
	absent map[string]bool
	// leaving hosts say so when they are asked.
	leaving  bool
	handlers map[string]port.RequestHandler
}

func newFleet(ids ...string) map[string]*fleet {
	mu, hosts, dead, absent := &sync.Mutex{}, make(map[string]*fleet), make(map[string]bool), make(map[string]bool)
	for _, id := range ids {
		hosts[id] = &fleet{self: id, mu: mu, hosts: hosts, dead: dead, absent: absent, handlers: make(map[string]port.RequestHandler)}
	}
	return hosts
}

// newMakers returns each host's maker.
func newMakers(s *shop, hosts map[string]*fleet) map[string]*Maker {
	makers := make(map[string]*Maker)
	for id, f := range hosts {
		makers[id] = NewMaker(f, newDesk(s, id, 1), port.SystemClock{}, slog.New(slog.DiscardHandler))
	}
	return makers
}

func (f *fleet) Candidates() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var ids []string
	for id := range f.hosts {
		if !f.absent[id] {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

func (f *fleet) Self() string { return f.self }

func (f *fleet) Claim() {}

func (f *fleet) Leaving() bool { return f.leaving }

func (f *fleet) Handle(kind string, fn port.RequestHandler) { f.handlers[kind] = fn }

func (f *fleet) Ask(ctx context.Context, host, kind string, payload []byte) ([]byte, error) {
	f.mu.Lock()
	dead := f.dead[host]
	f.mu.Unlock()
	if dead {
		return nil, errors.New("no answer")
	}
	return f.hosts[host].handlers[kind](ctx, port.Member{ID: f.self}, payload)
}

func TestPlansGoToTheFirstKeeperThatAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newShop()
		hosts := newFleet("a", "b", "c")
		makers := newMakers(s, hosts)
		got, err := makers["c"].Make(context.Background(), plan("1", 2*time.Second))
		is.NoErr(err)
		is.Equal(got.Keeper, "a")
		hosts["c"].dead["a"] = true
		got, err = makers["c"].Make(context.Background(), plan("2", 2*time.Second))
		is.NoErr(err)
		is.Equal(got.Keeper, "b")
		hosts["c"].dead["b"] = true
		got, err = makers["c"].Make(context.Background(), plan("3", 2*time.Second))
		is.NoErr(err)
		is.Equal(got.Keeper, "c")
		makers["c"].Free(got)
		synctest.Wait()
		is.True(len(s.freed) >= 4)
	})
}
