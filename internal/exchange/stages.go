package exchange

import (
	"context"
	"strconv"
	"time"

	"github.com/pimentorill/pimentorill/internal/core/balance"
	"github.com/pimentorill/pimentorill/internal/core/gather"
	"github.com/pimentorill/pimentorill/internal/core/verdict"
	"github.com/pimentorill/pimentorill/internal/port"
	"github.com/pimentorill/pimentorill/internal/stagework"
)

const (
	// defaultFirstEvent is the time to an engine's first event until it is measured.
	defaultFirstEvent = 200 * time.Millisecond
	// firstEventWeight is the weight of the newest measurement.
	firstEventWeight = 0.1
	// hopTime is what each stage takes beside its call: the way to the keeper
	// and the wait for an endpoint to come free.
	hopTime = 60 * time.Millisecond
)

// pieces returns the number of pieces of a stage.
func (r *run) pieces(stage int) int {
	if stage < len(r.x.Pieces) {
		return r.x.Pieces[stage]
	}
	return 0
}

// makeStages has all stages made and sets the inputs of the endpoint.
func (r *run) makeStages(ctx context.Context) error {
	if len(r.route.Stages) == 0 {
		return nil
	}
	began := r.cfg.Clock.Now()
	defer func() { r.trace.stages += r.cfg.Clock.Now().Sub(began) }()
	r.zone = r.wantedZone()
	made := &graph{run: r, results: make([]stagework.Results, len(r.route.Stages)), done: make([]chan struct{}, len(r.route.Stages))}
	if err := made.all(ctx); err != nil {
		return err
	}
	r.inputs = []string{}
	for _, last := range r.route.LastStages() {
		res := made.results[last]
		r.inputs = append(r.inputs, res.Handles...)
		r.results = append(r.results, res)
		if res.Zone != "" {
			r.zone = res.Zone
		}
	}
	if len(r.inputs) == 0 {
		r.zone = ""
	}
	return nil
}

// wantedZone is the zone of the endpoint that should run the request.
func (r *run) wantedZone() string {
	e := r.cfg.Table.Expected(r.facts.Usable[r.service.Name], balance.Work{Service: r.service, CacheKey: r.cacheKey()})
	if e == nil {
		return ""
	}
	return e.Zone
}

// freeResults gives up the results that the endpoint has taken, or that
// nobody will take.
func (r *run) freeResults() {
	for _, res := range r.results {
		r.cfg.Stages.Free(res)
	}
	r.results, r.inputs = nil, nil
}

// graph has the stages of one run made as their inputs come.
type graph struct {
	*run
	results []stagework.Results
	done    []chan struct{}
}

// all makes the stages and returns the first error. After an error the results
// so far are freed.
func (g *graph) all(parent context.Context) error {
	ctx, cancel := context.WithCancelCause(parent)
	defer cancel(nil)
	for i := range g.done {
		g.done[i] = make(chan struct{})
	}
	for i := range g.results {
		go func() {
			defer close(g.done[i])
			if err := g.make(ctx, i); err != nil {
				cancel(err)
			}
		}()
	}
	for _, done := range g.done {
		<-done
	}
	err := context.Cause(ctx)
	last := make(map[int]bool)
	for _, i := range g.route.LastStages() {
		last[i] = true
	}
	for i, res := range g.results {
		if err != nil || !last[i] {
			g.cfg.Stages.Free(res)
		}
	}
	if err != nil && parent.Err() != nil {
		return verdict.Wrap(err, verdict.CodeDeadline, verdict.NotRun, "stages were not done in time")
	}
	return err
}

// make makes one stage once the stages that it needs are made.
func (g *graph) make(ctx context.Context, stage int) error {
	s := g.route.Stages[stage]
	var inputs []string
	for _, a := range s.After {
		select {
		case <-g.done[a]:
		case <-ctx.Done():
			return ctx.Err()
		}
		inputs = append(inputs, g.results[a].Handles...)
	}
	n := g.pieces(stage)
	if n == 0 || ctx.Err() != nil {
		return ctx.Err()
	}
	service := g.facts.Config.Services[s.Service]
	if service == nil || service.Stages == nil {
		return verdict.New(verdict.CodeNotReady, verdict.NotRun, "stage service is not known")
	}
	after := g.after(stage) + g.firstEvent()
	job := gather.Job{
		ID: g.x.ID + "/" + strconv.Itoa(stage) + "/" + strconv.Itoa(g.sends), Request: g.x.ID, Stage: stage, Pieces: n,
		ResultBytes: s.ResultBytes, Priority: g.urgency, Zone: g.zone,
		Due: g.x.Received.Add(g.route.Target - after), Last: g.deadline.Add(-after),
	}
	if len(s.After) > 0 {
		job.Inputs = inputs
	} else {
		job.Key = g.x.PieceKey
	}
	res, err := g.cfg.Stages.Make(ctx, s.Service, job)
	if err != nil {
		return err
	}
	g.results[stage] = res
	g.noteStage(res)
	return nil
}

func (g *graph) noteStage(res stagework.Results) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.trace.stageWait += res.Wait
	g.trace.keeper = res.Keeper
}

// after returns the time that the stages behind a stage take.
func (g *graph) after(stage int) time.Duration {
	longest := time.Duration(0)
	for i, s := range g.route.Stages {
		for _, a := range s.After {
			service := g.facts.Config.Services[s.Service]
			if a != stage || service == nil || service.Stages == nil {
				continue
			}
			longest = max(longest, hopTime+gather.WorkTime(service.Stages, g.pieces(i))+g.after(i))
		}
	}
	return longest
}

// firstEvent returns the measured time to an endpoint's first event.
func (r *run) firstEvent() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if d, ok := r.first[r.route.Name]; ok {
		return d
	}
	return defaultFirstEvent
}

func (r *run) observeFirstEvent(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	old, ok := r.first[r.route.Name]
	if !ok {
		old = d
	}
	r.first[r.route.Name] = old + time.Duration(firstEventWeight*float64(d-old))
}

// cacheKey names the prompt part that requests of one subject share: the one
// before the request's own.
func (r *run) cacheKey() string {
	if !r.route.PromptCache {
		return ""
	}
	return cachePart(r.x.Prompt)
}

func cachePart(parts []port.PromptPart) string {
	switch n := len(parts); n {
	case 0:
		return ""
	case 1:
		return parts[0].ID
	default:
		return parts[n-2].ID
	}
}
