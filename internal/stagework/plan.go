package stagework

import (
	"context"
	"log/slog"
	"strconv"
	"time"

	"github.com/pimentorill/pimentorill/internal/core/gather"
	"github.com/pimentorill/pimentorill/internal/core/verdict"
)

const (
	// stageOverhead is what a stage takes beside its calls: the way there and the
	// wait for an endpoint to come free.
	stageOverhead = 40 * time.Millisecond
	// largeResultBytes is the size from which results are worth a wait to stay in
	// their zone: below it, the price of crossing is lost in that of a call.
	largeResultBytes = 256 << 10
	// busyBatchFill is the part to which calls are full when endpoints are busy.
	busyBatchFill = 0.7
	// backlogThreshold is the work that waits at a stage from which requests that are
	// late anyway are not begun: their results would lapse there.
	backlogThreshold = 400 * time.Millisecond
	// maxPlanAttempts bounds how often a plan is begun anew because inputs were lost.
	maxPlanAttempts = 3
)

// Stage is one stage of a plan.
type Stage struct {
	Service string `cbor:"1,keyasint"`
	// DependsOn holds the indexes of the stages whose results it needs.
	DependsOn []int `cbor:"2,keyasint,omitempty"`
	Pieces    int   `cbor:"3,keyasint"`
	// ResultBytes is the size of one piece's result.
	ResultBytes int64 `cbor:"4,keyasint"`
}

// Plan is all stages of one request.
type Plan struct {
	Request string  `cbor:"1,keyasint"`
	Key     string  `cbor:"2,keyasint,omitempty"`
	Stages  []Stage `cbor:"3,keyasint"`
	// Priority is 0 for the most urgent.
	Priority int `cbor:"4,keyasint"`
	// Zone is where the results are wanted; empty for anywhere.
	Zone string `cbor:"5,keyasint,omitempty"`
	// WaitForZone says that it is worth a wait to have the results in that zone.
	WaitForZone bool `cbor:"6,keyasint,omitempty"`
	// PreviouslyRefused says that the caller has been refused before.
	PreviouslyRefused bool `cbor:"7,keyasint,omitempty"`
	// HandedOver says that a keeper has handed the plan over.
	HandedOver bool `cbor:"8,keyasint,omitempty"`
	// SoftDeadline is when the results should be there for the request to be in time,
	// Last when they must be there for it to be answered at all.
	SoftDeadline time.Time `cbor:"-"`
	HardDeadline time.Time `cbor:"-"`

	// late is set if it was admitted though it will be late.
	admittedLate bool
}

// Results are what a plan's last stages made.
type Results struct {
	// Handles are in the order of the stages.
	Handles []string `cbor:"1,keyasint"`
	// Zone is where most of the bytes lie.
	Zone string `cbor:"2,keyasint,omitempty"`
	// QueueWait is how long the plan's pieces waited for calls, over its stages.
	QueueWait time.Duration `cbor:"3,keyasint"`
	// Coordinator is the host that accounts for the results.
	Coordinator string `cbor:"4,keyasint"`
}

// valid reports whether each stage needs only stages before it.
func (p *Plan) dependenciesOrdered() bool {
	for i, s := range p.Stages {
		for _, a := range s.DependsOn {
			if a < 0 || a >= i {
				return false
			}
		}
	}
	return true
}

// last returns which stages no other stage needs.
func (p *Plan) terminalStages() []bool {
	last := make([]bool, len(p.Stages))
	for i := range last {
		last[i] = true
	}
	for _, s := range p.Stages {
		for _, a := range s.DependsOn {
			last[a] = false
		}
	}
	return last
}

// graph is a plan on its way.
type planRun struct {
	*Plan
	scheduler *Scheduler
	attempt   int
	// left holds the pieces that are still committed; desk.mu guards it.
	remaining    []int
	stageResults []stageResult
	done         []chan struct{}
}

// made is what one stage made.
type stageResult struct {
	handles    []string
	zone       string
	queueWait  time.Duration
	finishedAt time.Time
}

// Execute has a plan's stages made. The error is a *verdict.Error with NotRun:
// pieces may be made again.
func (d *Scheduler) Execute(ctx context.Context, p *Plan) (Results, error) {
	if !p.dependenciesOrdered() {
		return Results{}, verdict.New(verdict.CodeNotReady, verdict.NotRun, "stages need each other in a circle")
	}
	forecast, err := d.admit(p)
	if err != nil {
		return Results{}, err
	}
	began := d.clock.Now()
	left := make([]int, len(p.Stages))
	for i, s := range p.Stages {
		left[i] = s.Pieces
	}
	defer d.releasePlan(p, left)
	for try := range maxPlanAttempts {
		g := &planRun{Plan: p, scheduler: d, attempt: try, remaining: left, stageResults: make([]stageResult, len(p.Stages)), done: make([]chan struct{}, len(p.Stages))}
		if err = g.run(ctx); err == nil {
			took := d.clock.Now().Sub(began)
			d.observeForecast(p, forecast, took)
			d.log.Info("stages made", slog.String("request", p.Request), slog.String("zone", p.Zone), slog.Bool("admitted_late", p.admittedLate),
				slog.Int64("forecast_ms", forecast.Milliseconds()), slog.Int64("took_ms", took.Milliseconds()),
				slog.Int64("due_in_ms", p.SoftDeadline.Sub(d.clock.Now()).Milliseconds()), slog.Any("waits_ms", g.queueWaitsMs()))
			return g.results(), nil
		}
		if ctx.Err() != nil {
			return Results{}, verdict.Wrap(ctx.Err(), verdict.CodeCallerCancelled, verdict.NotRun, "stages were cancelled")
		}
		if verdict.From(err).Code != verdict.CodeConflict {
			break
		}
	}
	return Results{}, err
}

// run makes the stages and returns the first error. Results that are not
// handed over are freed.
func (g *planRun) run(parent context.Context) error {
	ctx, cancel := context.WithCancelCause(parent)
	defer cancel(nil)
	g.scheduler.registerRun(g, cancel)
	defer g.scheduler.unregisterRun(g)
	for i := range g.done {
		g.done[i] = make(chan struct{})
	}
	for i := range g.Stages {
		go func() {
			defer close(g.done[i])
			if err := g.runStage(ctx, i); err != nil {
				cancel(err)
			}
		}()
	}
	for _, done := range g.done {
		<-done
	}
	err := context.Cause(ctx)
	last := g.terminalStages()
	for i, m := range g.stageResults {
		if err != nil || !last[i] {
			g.scheduler.Free(m.handles)
		}
	}
	return err
}

// make makes one stage once the stages that it needs are made.
func (g *planRun) runStage(ctx context.Context, stage int) error {
	s := g.Stages[stage]
	job := gather.Job{ID: g.jobID(stage), Request: g.Request, Stage: stage,
		Pieces: s.Pieces, ResultBytes: s.ResultBytes, Priority: g.Priority}
	if len(s.DependsOn) == 0 {
		job.Key = g.Key
	}
	heavy := int64(0)
	for _, a := range s.DependsOn {
		select {
		case <-g.done[a]:
		case <-ctx.Done():
			return ctx.Err()
		}
		job.Inputs = append(job.Inputs, g.stageResults[a].handles...)
		if size := g.resultBytes(a) * int64(s.Pieces); size > heavy {
			heavy, job.Zone = size, g.stageResults[a].zone
		}
	}
	if s.Pieces == 0 || ctx.Err() != nil {
		return ctx.Err()
	}
	job.WaitForZone = heavy >= largeResultBytes || len(s.DependsOn) == 0 && g.WaitForZone && g.Stages[stage].ResultBytes >= largeResultBytes
	if heavy < largeResultBytes {
		job.Zone = g.committedZone()
	}
	job.SoftDeadline, job.HardDeadline = g.SoftDeadline.Add(-g.scheduler.minDownstreamTime(g.Plan, stage, 0)), g.HardDeadline.Add(-g.scheduler.minDownstreamTime(g.Plan, stage, busyBatchFill))
	if len(s.DependsOn) > 0 {
		job.InputsExpireAt = g.inputsExpireAt(s.DependsOn)
	} else if next := g.downstreamStages(stage); len(next) > 0 {
		job.DeferStart = func() bool { return g.scheduler.hasBacklog(g.Plan, next) }
	}
	m, err := g.scheduler.runJob(ctx, s.Service, job)
	g.stageResults[stage] = m
	if err == nil {
		g.scheduler.releaseStage(g.Plan, g.remaining, stage)
		if m.zone != "" && g.resultBytes(stage) >= largeResultBytes {
			g.scheduler.moveCommitments(g.Plan, g.remaining, m.zone)
		}
	}
	return err
}

func (g *planRun) jobID(stage int) string {
	return g.Request + "/" + strconv.Itoa(stage) + "/" + strconv.Itoa(g.attempt)
}

// size returns the bytes of a stage's results.
func (g *planRun) resultBytes(stage int) int64 {
	return int64(g.Stages[stage].Pieces) * g.Stages[stage].ResultBytes
}

// zone returns the zone that the plan is committed to.
func (g *planRun) committedZone() string {
	g.scheduler.mu.Lock()
	defer g.scheduler.mu.Unlock()
	return g.Zone
}

// next returns the stages that need a stage's results, and those after them.
func (g *planRun) downstreamStages(stage int) []int {
	behind := map[int]bool{stage: true}
	var next []int
	for i, s := range g.Stages {
		for _, a := range s.DependsOn {
			if behind[a] && !behind[i] {
				behind[i] = true
				next = append(next, i)
			}
		}
	}
	return next
}

// expires returns when the first results of some stages are lost.
func (g *planRun) inputsExpireAt(stages []int) time.Time {
	var first time.Time
	for _, a := range stages {
		service, _ := g.scheduler.lookupService(g.Stages[a].Service)
		if service == nil || service.Stages == nil || g.stageResults[a].finishedAt.IsZero() {
			continue
		}
		if at := g.stageResults[a].finishedAt.Add(service.Stages.ResultLife); first.IsZero() || at.Before(first) {
			first = at
		}
	}
	return first
}

// behind returns the time that the stages after a stage take at least, in
// calls that are full to the part given.
func (d *Scheduler) minDownstreamTime(p *Plan, stage int, full float64) time.Duration {
	longest := time.Duration(0)
	for i, s := range p.Stages {
		for _, a := range s.DependsOn {
			if a == stage {
				longest = max(longest, stageOverhead+d.stageCallTime(s, full)+d.minDownstreamTime(p, i, full))
			}
		}
	}
	return longest
}

func (d *Scheduler) stageCallTime(s Stage, full float64) time.Duration {
	service, _ := d.lookupService(s.Service)
	if service == nil || service.Stages == nil {
		return 0
	}
	return gather.ExpectedCallTime(service.Stages, max(s.Pieces, int(full*float64(service.Stages.Batch))))
}

// waits returns how long the first piece of each stage waited for its call, in ms.
func (g *planRun) queueWaitsMs() []int64 {
	out := make([]int64, len(g.stageResults))
	for i, m := range g.stageResults {
		out[i] = m.queueWait.Milliseconds()
	}
	return out
}

func (g *planRun) results() Results {
	out := Results{Coordinator: g.scheduler.self}
	most := int64(-1)
	last := g.terminalStages()
	for i, m := range g.stageResults {
		out.QueueWait += m.queueWait
		if !last[i] {
			continue
		}
		out.Handles = append(out.Handles, m.handles...)
		if size := int64(len(m.handles)) * g.Stages[i].ResultBytes; m.zone != "" && size > most {
			out.Zone, most = m.zone, size
		}
	}
	return out
}
