package app

import (
	"context"
	"time"

	"github.com/pimentorill/pimentorill/internal/core/admission"
	"github.com/pimentorill/pimentorill/internal/core/pipeline"
	"github.com/pimentorill/pimentorill/internal/core/release"
	"github.com/pimentorill/pimentorill/internal/core/verdict"
	"github.com/pimentorill/pimentorill/internal/port"
)

// limitUpdateInterval is the pause between two recalculations of the admission
// limits, which depend on the number of hosts that share the endpoints' slots.
const limitUpdateInterval = 2 * time.Second

// newAdmissionQueue returns a queue that admits one request per pipeline at a time
// until setLimits is called for a release.
func newAdmissionQueue(clock port.Clock) *admission.Queue {
	cfg := admission.Config{QueueLimit: release.DefaultSettings.QueueLimit, InitialLimit: 1, MinLimit: 1, MaxLimit: 1}
	return admission.New(cfg, clock, newRand())
}

// admit waits until the request may run. It wraps req.OnStage to report the
// request's progress to the grant. The caller must call Done on the grant. The
// error is a *verdict.Error with NotRun.
func (a *App) admit(ctx context.Context, req *pipeline.Request) (*admission.Grant, error) {
	c, _ := req.Release.Customer(req.Customer)
	grant, err := a.dataPlane.queue.Admit(ctx, admission.Request{
		Customer: c.Name, Share: c.Share, Pipeline: req.Pipeline.Name, Deadline: req.Deadline,
	})
	if err != nil {
		return nil, err
	}
	grant.StageStarted(0)
	onStage := req.OnStage
	req.OnStage = func(s pipeline.StageResult) {
		grant.StageStarted(stageIndex(req.Pipeline, s.Stage) + 1)
		if onStage != nil {
			onStage(s)
		}
	}
	return grant, nil
}

// stageIndex returns the index of the named stage, or the number of stages if the
// pipeline has no such stage.
func stageIndex(p release.Pipeline, stage string) int {
	for i, s := range p.Stages {
		if s.Name == stage {
			return i
		}
	}
	return len(p.Stages)
}

// admissionOutcome converts the error of a run to its outcome for admission.
func admissionOutcome(err error) admission.Outcome {
	switch {
	case err == nil:
		return admission.Completed
	case verdict.From(err).Code == verdict.CodeDeadlineExceeded:
		return admission.DeadlineMissed
	default:
		return admission.Failed
	}
}

// observeLoad passes the load report of an attempt's response to the admission
// queue.
func (d *dataPlane) observeLoad(attempt pipeline.AttemptInfo, l port.LoadReport) {
	p, ok := attempt.Release.Pipeline(attempt.Pipeline)
	if ok {
		d.queue.RecordLoad(p.Name, stageIndex(p, attempt.Stage.Name), l)
	}
}

// maintainLimits recalculates the admission limits every limitUpdateInterval,
// because the number of live hosts changes, until ctx ends.
func (d *dataPlane) maintainLimits(ctx context.Context) {
	for ctx.Err() == nil {
		if r := d.app.Snapshot().Release; r != nil {
			d.setLimits(r)
		}
		port.Sleep(ctx, limitUpdateInterval)
	}
}

// setLimits sets the queue limit and, for each pipeline, the initial limit of
// concurrent runs to this host's share of the slots of the pipeline's services and
// the maximum to all of these slots.
func (d *dataPlane) setLimits(r *release.Release) {
	d.queue.SetQueueLimit(r.Settings.QueueLimit)
	hosts := d.liveHostCount()
	for _, p := range r.Pipelines {
		slots := pipelineSlots(r, p)
		d.queue.SetLimits(p.Name, slots/hosts, slots)
	}
}

// liveHostCount returns the number of live hosts, without leaving and gone ones, at
// least 1.
func (d *dataPlane) liveHostCount() int {
	if d.app.deps.Peers == nil {
		return 1
	}
	n := 0
	for _, m := range d.app.deps.Peers.Members() {
		if m.State == port.MemberLive {
			n++
		}
	}
	return max(1, n)
}

// pipelineSlots returns the total slots of all services that the pipeline uses,
// without the endpoints that are leaving or whose zone is out of service.
func pipelineSlots(r *release.Release, p release.Pipeline) int {
	used := make(map[string]bool, len(p.Stages))
	for _, s := range p.Stages {
		used[s.Service] = true
	}
	slots := 0
	for _, e := range r.Endpoints {
		if used[e.Service] && !e.Leaving && !r.ZoneOutOfService(e.AvailabilityZone) {
			slots += e.Slots
		}
	}
	return slots
}
