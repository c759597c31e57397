package stagework

import (
	"context"
	"fmt"
	"log/slog"
	"strconv"
	"time"

	"github.com/pimentorill/pimentorill/internal/core/gather"
	"github.com/pimentorill/pimentorill/internal/core/poison"
	"github.com/pimentorill/pimentorill/internal/core/verdict"
)

const (
	// stageOverhead is the time of a stage besides its calls: network transfer
	// and the wait for an endpoint to become available.
	stageOverhead = 40 * time.Millisecond
	// largeResultBytes is the size of results from which it pays to wait for an
	// endpoint in their zone: for smaller ones the transfer across zones is
	// negligible next to the call.
	largeResultBytes = 256 << 10
	// busyBatchFill is the usual number of pieces in a call as a fraction of the
	// batch size when endpoints are busy.
	busyBatchFill = 0.7
	// backlogThreshold is the time to run the pieces queued for a downstream stage
	// above which late plans are not started: the results of their first stage
	// would expire before the downstream stage reads them.
	backlogThreshold = 400 * time.Millisecond
	// maxStages, maxPieces and maxResultBytes bound the stages of a plan, the pieces of a
	// stage and the size of a result. Plans beyond them are malformed.
	maxStages      = 64
	maxPieces      = 1 << 14
	maxResultBytes = 1 << 40
	// maxPlanAttempts bounds how often a plan is run, counting restarts because
	// inputs were lost.
	maxPlanAttempts = 3
)

// Stage is one stage of a plan.
type Stage struct {
	Service string `cbor:"1,keyasint"`
	// DependsOn holds the indexes of the stages whose results this stage needs. All
	// must be smaller than the stage's own.
	DependsOn []int `cbor:"2,keyasint,omitempty"`
	// Pieces is the number of pieces; a stage with 0 is skipped.
	Pieces int `cbor:"3,keyasint"`
	// ResultBytes is the approximate size of one piece's result.
	ResultBytes int64 `cbor:"4,keyasint"`
}

// Plan is all stages of one request.
type Plan struct {
	// Request is the ID of the request.
	Request string `cbor:"1,keyasint"`
	// Key is sent with the pieces of stages without inputs.
	Key    string  `cbor:"2,keyasint,omitempty"`
	Stages []Stage `cbor:"3,keyasint"`
	// Priority is 0 for the most urgent plans and at most priorityLevels-1 for the
	// least urgent.
	Priority int `cbor:"4,keyasint"`
	// Zone is the preferred zone of the results; empty for any. Once the plan is
	// admitted, it is the zone that its pieces are committed to, and the mu of the
	// Scheduler guards it.
	Zone string `cbor:"5,keyasint,omitempty"`
	// WaitForZone says that waiting for capacity in that zone is better than
	// producing the results in another.
	WaitForZone bool `cbor:"6,keyasint,omitempty"`
	// PreviouslyRefused says that the caller's earlier attempt was refused.
	PreviouslyRefused bool `cbor:"7,keyasint,omitempty"`
	// HandedOver says that a coordinator returned verdict.CodeNotReady, as it does
	// when it hands a plan over. The plan is not handed over again.
	HandedOver bool `cbor:"8,keyasint,omitempty"`
	// Trait is that of the whole request, by which crashes of endpoints are counted; empty if
	// it is not known.
	Trait poison.Trait `cbor:"9,keyasint,omitempty"`
	// Customer is the name of the caller's customer; empty if there is none, or if the plan
	// comes from a host of an older build.
	Customer string `cbor:"10,keyasint,omitempty"`
	// Offered says that another group has refused the plan and named a time to come back.
	Offered bool `cbor:"11,keyasint,omitempty"`
	// SoftDeadline is when the results should be available for the request to be
	// in time; HardDeadline is when they must be available for it to be answered
	// at all.
	SoftDeadline time.Time `cbor:"-"`
	HardDeadline time.Time `cbor:"-"`

	// admittedLate is set if the plan was admitted although it will miss its soft
	// deadline.
	admittedLate bool
	// overShare is set if the plan's customer exceeded its share when the plan was admitted.
	overShare bool
	// contested is the part of the capacity that was divided then among customers who
	// exceeded their shares; 1 if the plan's customer did not.
	contested float64
}

// Results are the results of a plan's terminal stages.
type Results struct {
	// Handles are in the order of the stages and of the pieces of each stage.
	Handles []string `cbor:"1,keyasint"`
	// Zone is where the results of the terminal stage with the most bytes are
	// stored. Stages with results in several zones don't count; empty if all have.
	Zone string `cbor:"2,keyasint,omitempty"`
	// QueueWait is the sum over all stages of how long the first piece waited for
	// its call.
	QueueWait time.Duration `cbor:"3,keyasint"`
	// Coordinator is the ID of the host that accounts for the results. They have to
	// be freed there.
	Coordinator string `cbor:"4,keyasint"`
	// Group is the name of the group that accounts for the results.
	Group string `cbor:"5,keyasint,omitempty"`
}

// validate returns a *verdict.Error if the plan is malformed. Plans also come from hosts of
// other builds.
func (p *Plan) validate() error {
	if len(p.Stages) > maxStages {
		return verdict.New(verdict.CodeBadInput, verdict.NotRun, "plan has too many stages")
	}
	for i, s := range p.Stages {
		if s.Pieces < 0 || s.Pieces > maxPieces || s.ResultBytes < 0 || s.ResultBytes > maxResultBytes {
			return verdict.New(verdict.CodeBadInput, verdict.NotRun, fmt.Sprintf("stage %d has %d pieces of %d bytes, at most %d of %d are allowed", i, s.Pieces, s.ResultBytes, maxPieces, int64(maxResultBytes)))
		}
		for _, dependency := range s.DependsOn {
			if dependency < 0 || dependency >= i {
				return verdict.New(verdict.CodeNotReady, verdict.NotRun, "stages need each other in a circle")
			}
		}
	}
	return nil
}

// terminalStages returns for each stage whether no other stage depends on it.
func (p *Plan) terminalStages() []bool {
	terminal := make([]bool, len(p.Stages))
	for i := range terminal {
		terminal[i] = true
	}
	for _, s := range p.Stages {
		for _, dependency := range s.DependsOn {
			terminal[dependency] = false
		}
	}
	return terminal
}

// planRun is one attempt to run a plan. Its slices are indexed by stage.
type planRun struct {
	*Plan
	scheduler *Scheduler
	// attempt counts from 0.
	attempt int
	// remaining holds the number of pieces of each stage that are still committed.
	// All attempts share it; scheduler.mu guards it.
	remaining []int
	// expected holds the number of pieces of each stage that Scheduler.expected counts;
	// scheduler.mu guards it.
	expected []int
	// stageResults[i] must be read only after done[i] is closed.
	stageResults []stageResult
	// done[i] is closed once stage i has ended, also if it failed.
	done []chan struct{}
}

// stageResult is the result of one stage; zero if the stage was skipped or failed.
type stageResult struct {
	handles []string
	// zone is where the results are stored; empty if they are in several zones.
	zone string
	// queueWait is how long the first piece waited for its call.
	queueWait  time.Duration
	finishedAt time.Time
}

// Execute admits a plan and runs its stages on this host's queues, again if inputs
// were lost. The error is a *verdict.Error with NotRun: the pieces may be run again.
func (sc *Scheduler) Execute(ctx context.Context, p *Plan) (Results, error) {
	if err := p.validate(); err != nil {
		return Results{}, err
	}
	if err := sc.checkCrashes(p); err != nil {
		return Results{}, err
	}
	forecast, err := sc.admit(p)
	if err != nil {
		return Results{}, err
	}
	startedAt := sc.cfg.Clock.Now()
	remaining := make([]int, len(p.Stages))
	for i, s := range p.Stages {
		remaining[i] = s.Pieces
	}
	defer sc.releasePlan(p, remaining)
	for attempt := range maxPlanAttempts {
		r := &planRun{Plan: p, scheduler: sc, attempt: attempt, remaining: remaining, expected: make([]int, len(p.Stages)), stageResults: make([]stageResult, len(p.Stages)), done: make([]chan struct{}, len(p.Stages))}
		if err = r.run(ctx); err == nil {
			took := sc.cfg.Clock.Now().Sub(startedAt)
			sc.observeForecast(p, forecast, took)
			sc.reportMade(p)
			sc.cfg.Log.Info("stages made", slog.String("request", p.Request), slog.String("zone", p.Zone), slog.Bool("admitted_late", p.admittedLate), slog.Bool("over_share", p.overShare),
				slog.Int64("forecast_ms", forecast.Milliseconds()), slog.Int64("took_ms", took.Milliseconds()),
				slog.Int64("due_in_ms", p.SoftDeadline.Sub(sc.cfg.Clock.Now()).Milliseconds()), slog.Any("waits_ms", r.queueWaitsMs()))
			return r.results(), nil
		}
		if ctx.Err() != nil {
			return Results{}, verdict.Wrap(ctx.Err(), verdict.CodeCallerCancelled, verdict.NotRun, "stages were cancelled")
		}
		if verdict.From(err).Code == verdict.CodeDeadlineExceeded {
			sc.observeForecast(p, forecast, sc.cfg.Clock.Now().Sub(startedAt))
		}
		if verdict.From(err).Code != verdict.CodeConflict {
			break
		}
	}
	return Results{}, err
}

// run runs the stages concurrently, each after those it depends on, and returns
// the first error, or the cause with which parent ended. It frees the results of
// non-terminal stages, and all results on an error.
func (r *planRun) run(parent context.Context) error {
	ctx, cancel := context.WithCancelCause(parent)
	defer cancel(nil)
	r.scheduler.registerRun(r, cancel)
	defer r.scheduler.unregisterRun(r)
	for i := range r.done {
		r.done[i] = make(chan struct{})
	}
	for i := range r.Stages {
		go func() {
			defer close(r.done[i])
			if err := r.runStage(ctx, i); err != nil {
				cancel(err)
			}
		}()
	}
	for _, done := range r.done {
		<-done
	}
	for i := range r.Stages {
		r.stopExpecting(i)
	}
	err := context.Cause(ctx)
	terminal := r.terminalStages()
	for i, result := range r.stageResults {
		switch {
		case err != nil:
			r.scheduler.freeUnused(r.Request, result.handles, causeOf(err))
		case !terminal[i]:
			r.scheduler.Free(result.handles)
		}
	}
	return err
}

// runStage runs one stage once the stages it depends on are done. The error is a
// *verdict.Error, or ctx.Err() if ctx ends first.
func (r *planRun) runStage(ctx context.Context, stage int) error {
	s := r.Stages[stage]
	job := gather.Job{ID: r.jobID(stage), Request: r.Request, Stage: stage,
		Pieces: s.Pieces, ResultBytes: s.ResultBytes, Priority: r.level()}
	if len(s.DependsOn) == 0 {
		job.Key = r.Key
	}
	if r.Trait != "" && r.scheduler.cfg.Crashes != nil {
		job.Caution = func() gather.Caution { return r.scheduler.caution(r.Plan) }
	}
	inputBytes := int64(0)
	for _, dependency := range s.DependsOn {
		select {
		case <-r.done[dependency]:
		case <-ctx.Done():
			return ctx.Err()
		}
		job.Inputs = append(job.Inputs, r.stageResults[dependency].handles...)
		if size := r.resultBytes(dependency) * int64(s.Pieces); size > inputBytes {
			inputBytes, job.Zone = size, r.stageResults[dependency].zone
		}
	}
	if s.Pieces == 0 || ctx.Err() != nil {
		return ctx.Err()
	}
	job.WaitForZone = inputBytes >= largeResultBytes || len(s.DependsOn) == 0 && r.WaitForZone && r.Stages[stage].ResultBytes >= largeResultBytes
	if inputBytes < largeResultBytes {
		job.Zone = r.committedZone()
	}
	// Both deadlines leave time for the stages downstream: the soft deadline for
	// calls with no other plan's pieces, the hard deadline for calls as full as when
	// endpoints are busy.
	job.SoftDeadline, job.HardDeadline = r.SoftDeadline.Add(-r.scheduler.minDownstreamTime(r.Plan, stage, 0)), r.HardDeadline.Add(-r.scheduler.minDownstreamTime(r.Plan, stage, busyBatchFill))
	if len(s.DependsOn) > 0 {
		job.InputsExpireAt = r.inputsExpireAt(s.DependsOn)
	} else if downstream := r.downstreamStages(stage); len(downstream) > 0 {
		job.DeferStart = func() bool { return r.scheduler.hasBacklog(r.Plan, downstream) }
		job.DownstreamWait = func(ready time.Duration) time.Duration { return r.scheduler.downstreamWait(r.Plan, stage, ready) }
		job.Started = func() { r.expectPieces(downstream) }
	}
	r.stopExpecting(stage)
	result, err := r.scheduler.runJob(ctx, s.Service, job)
	r.stageResults[stage] = result
	if err == nil {
		r.scheduler.releaseStage(r.Plan, r.remaining, stage)
		if result.zone != "" && r.resultBytes(stage) >= largeResultBytes {
			r.scheduler.moveCommitments(r.Plan, r.remaining, result.zone)
		}
	}
	return err
}

// jobID returns the ID of the job that runs a stage in this attempt.
func (r *planRun) jobID(stage int) string {
	return r.Request + "/" + strconv.Itoa(stage) + "/" + strconv.Itoa(r.attempt)
}

// resultBytes returns the total size of a stage's results, in bytes.
func (r *planRun) resultBytes(stage int) int64 {
	return int64(r.Stages[stage].Pieces) * r.Stages[stage].ResultBytes
}

// committedZone returns the zone that the plan is committed to.
func (r *planRun) committedZone() string {
	r.scheduler.mu.Lock()
	defer r.scheduler.mu.Unlock()
	return r.Zone
}

// inputsExpireAt returns when the first results of the given stages expire,
// counted from the end of each stage; zero if that is unknown.
func (r *planRun) inputsExpireAt(stages []int) time.Time {
	var earliest time.Time
	for _, stage := range stages {
		service, _ := r.scheduler.cfg.LookupService(r.Stages[stage].Service)
		if service == nil || service.StageLimits == nil || r.stageResults[stage].finishedAt.IsZero() {
			continue
		}
		if at := r.stageResults[stage].finishedAt.Add(service.StageLimits.ResultTTL); earliest.IsZero() || at.Before(earliest) {
			earliest = at
		}
	}
	return earliest
}

// queueWaitsMs returns how long the first piece of each stage waited for its
// call, in milliseconds.
func (r *planRun) queueWaitsMs() []int64 {
	out := make([]int64, len(r.stageResults))
	for i, result := range r.stageResults {
		out[i] = result.queueWait.Milliseconds()
	}
	return out
}

// results returns the results of a successful run.
func (r *planRun) results() Results {
	out := Results{Coordinator: r.scheduler.cfg.Self}
	largest := int64(-1)
	terminal := r.terminalStages()
	for i, result := range r.stageResults {
		out.QueueWait += result.queueWait
		if !terminal[i] {
			continue
		}
		out.Handles = append(out.Handles, result.handles...)
		if size := int64(len(result.handles)) * r.Stages[i].ResultBytes; result.zone != "" && size > largest {
			out.Zone, largest = result.zone, size
		}
	}
	return out
}
