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
	// hopTime is what a stage takes beside its calls: the way there and the
	// wait for an endpoint to come free.
	hopTime = 40 * time.Millisecond
	// heavyBytes is the size from which results are worth a wait to stay in
	// their zone: below it, the price of crossing is lost in that of a call.
	heavyBytes = 256 << 10
	// busyCall is the part to which calls are full when endpoints are busy.
	busyCall = 0.7
	// crowdedTime is the work that waits at a stage from which requests that are
	// late anyway are not begun: their results would lapse there.
	crowdedTime = 400 * time.Millisecond
	// maxPlanTries bounds how often a plan is begun anew because inputs were lost.
	maxPlanTries = 3
)

// Stage is one stage of a plan.
type Stage struct {
	Service string `cbor:"1,keyasint"`
	// After holds the indexes of the stages whose results it needs.
	After  []int `cbor:"2,keyasint,omitempty"`
	Pieces int   `cbor:"3,keyasint"`
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
	// Bound says that it is worth a wait to have the results in that zone.
	Bound bool `cbor:"6,keyasint,omitempty"`
	// Returned says that the caller has been refused before.
	Returned bool `cbor:"7,keyasint,omitempty"`
	// Moved says that a keeper has handed the plan over.
	Moved bool `cbor:"8,keyasint,omitempty"`
	// Due is when the results should be there for the request to be in time,
	// Last when they must be there for it to be answered at all.
	Due  time.Time `cbor:"-"`
	Last time.Time `cbor:"-"`

	// late is set if it was admitted though it will be late.
	late bool
}

// Results are what a plan's last stages made.
type Results struct {
	// Handles are in the order of the stages.
	Handles []string `cbor:"1,keyasint"`
	// Zone is where most of the bytes lie.
	Zone string `cbor:"2,keyasint,omitempty"`
	// Wait is how long the plan's pieces waited for calls, over its stages.
	Wait time.Duration `cbor:"3,keyasint"`
	// Keeper is the host that accounts for the results.
	Keeper string `cbor:"4,keyasint"`
}

// valid reports whether each stage needs only stages before it.
func (p *Plan) valid() bool {
	for i, s := range p.Stages {
		for _, a := range s.After {
			if a < 0 || a >= i {
				return false
			}
		}
	}
	return true
}

// last returns which stages no other stage needs.
func (p *Plan) last() []bool {
	last := make([]bool, len(p.Stages))
	for i := range last {
		last[i] = true
	}
	for _, s := range p.Stages {
		for _, a := range s.After {
			last[a] = false
		}
	}
	return last
}

// graph is a plan on its way.
type graph struct {
	*Plan
	desk *Desk
	try  int
	// left holds the pieces that are still committed; desk.mu guards it.
	left []int
	made []made
	done []chan struct{}
}

// made is what one stage made.
type made struct {
	handles []string
	zone    string
	wait    time.Duration
	at      time.Time
}

// Do has a plan's stages made. The error is a *verdict.Error with NotRun:
// pieces may be made again.
func (d *Desk) Do(ctx context.Context, p *Plan) (Results, error) {
	if !p.valid() {
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
	defer d.release(p, left)
	for try := range maxPlanTries {
		g := &graph{Plan: p, desk: d, try: try, left: left, made: make([]made, len(p.Stages)), done: make([]chan struct{}, len(p.Stages))}
		if err = g.run(ctx); err == nil {
			took := d.clock.Now().Sub(began)
			d.observe(p, forecast, took)
			d.log.Info("stages made", slog.String("request", p.Request), slog.String("zone", p.Zone), slog.Bool("admitted_late", p.late),
				slog.Int64("forecast_ms", forecast.Milliseconds()), slog.Int64("took_ms", took.Milliseconds()),
				slog.Int64("due_in_ms", p.Due.Sub(d.clock.Now()).Milliseconds()), slog.Any("waits_ms", g.waits()))
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
func (g *graph) run(parent context.Context) error {
	ctx, cancel := context.WithCancelCause(parent)
	defer cancel(nil)
	g.desk.enter(g, cancel)
	defer g.desk.leave(g)
	for i := range g.done {
		g.done[i] = make(chan struct{})
	}
	for i := range g.Stages {
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
	last := g.last()
	for i, m := range g.made {
		if err != nil || !last[i] {
			g.desk.Free(m.handles)
		}
	}
	return err
}

// make makes one stage once the stages that it needs are made.
func (g *graph) make(ctx context.Context, stage int) error {
	s := g.Stages[stage]
	job := gather.Job{ID: g.jobID(stage), Request: g.Request, Stage: stage,
		Pieces: s.Pieces, ResultBytes: s.ResultBytes, Priority: g.Priority}
	if len(s.After) == 0 {
		job.Key = g.Key
	}
	heavy := int64(0)
	for _, a := range s.After {
		select {
		case <-g.done[a]:
		case <-ctx.Done():
			return ctx.Err()
		}
		job.Inputs = append(job.Inputs, g.made[a].handles...)
		if size := g.size(a) * int64(s.Pieces); size > heavy {
			heavy, job.Zone = size, g.made[a].zone
		}
	}
	if s.Pieces == 0 || ctx.Err() != nil {
		return ctx.Err()
	}
	job.WaitForZone = heavy >= heavyBytes || len(s.After) == 0 && g.Bound && g.Stages[stage].ResultBytes >= heavyBytes
	if heavy < heavyBytes {
		job.Zone = g.zone()
	}
	job.SoftDeadline, job.HardDeadline = g.Due.Add(-g.desk.behind(g.Plan, stage, 0)), g.Last.Add(-g.desk.behind(g.Plan, stage, busyCall))
	if len(s.After) > 0 {
		job.InputsExpireAt = g.expires(s.After)
	} else if next := g.next(stage); len(next) > 0 {
		job.DeferStart = func() bool { return g.desk.crowded(g.Plan, next) }
	}
	m, err := g.desk.make(ctx, s.Service, job)
	g.made[stage] = m
	if err == nil {
		g.desk.releaseStage(g.Plan, g.left, stage)
		if m.zone != "" && g.size(stage) >= heavyBytes {
			g.desk.move(g.Plan, g.left, m.zone)
		}
	}
	return err
}

func (g *graph) jobID(stage int) string {
	return g.Request + "/" + strconv.Itoa(stage) + "/" + strconv.Itoa(g.try)
}

// size returns the bytes of a stage's results.
func (g *graph) size(stage int) int64 {
	return int64(g.Stages[stage].Pieces) * g.Stages[stage].ResultBytes
}

// zone returns the zone that the plan is committed to.
func (g *graph) zone() string {
	g.desk.mu.Lock()
	defer g.desk.mu.Unlock()
	return g.Zone
}

// next returns the stages that need a stage's results, and those after them.
func (g *graph) next(stage int) []int {
	behind := map[int]bool{stage: true}
	var next []int
	for i, s := range g.Stages {
		for _, a := range s.After {
			if behind[a] && !behind[i] {
				behind[i] = true
				next = append(next, i)
			}
		}
	}
	return next
}

// expires returns when the first results of some stages are lost.
func (g *graph) expires(stages []int) time.Time {
	var first time.Time
	for _, a := range stages {
		service, _ := g.desk.catalogue(g.Stages[a].Service)
		if service == nil || service.Stages == nil || g.made[a].at.IsZero() {
			continue
		}
		if at := g.made[a].at.Add(service.Stages.ResultLife); first.IsZero() || at.Before(first) {
			first = at
		}
	}
	return first
}

// behind returns the time that the stages after a stage take at least, in
// calls that are full to the part given.
func (d *Desk) behind(p *Plan, stage int, full float64) time.Duration {
	longest := time.Duration(0)
	for i, s := range p.Stages {
		for _, a := range s.After {
			if a == stage {
				longest = max(longest, hopTime+d.workTime(s, full)+d.behind(p, i, full))
			}
		}
	}
	return longest
}

func (d *Desk) workTime(s Stage, full float64) time.Duration {
	service, _ := d.catalogue(s.Service)
	if service == nil || service.Stages == nil {
		return 0
	}
	return gather.ExpectedCallTime(service.Stages, max(s.Pieces, int(full*float64(service.Stages.Batch))))
}

// waits returns how long the first piece of each stage waited for its call, in ms.
func (g *graph) waits() []int64 {
	out := make([]int64, len(g.made))
	for i, m := range g.made {
		out[i] = m.wait.Milliseconds()
	}
	return out
}

func (g *graph) results() Results {
	out := Results{Keeper: g.desk.self}
	most := int64(-1)
	last := g.last()
	for i, m := range g.made {
		out.Wait += m.wait
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
