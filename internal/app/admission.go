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

// hostCountInterval is the pause between two updates of the admission limits to
// the number of hosts, which share the endpoints' slots.
const hostCountInterval = 2 * time.Second

// newQueue returns a queue with minimal limits until setLimits is called for a
// release.
func newQueue(clock port.Clock) *admission.Queue {
	cfg := admission.Config{QueueLimit: release.DefaultSettings.QueueLimit, InitialLimit: 1, MinLimit: 1, MaxLimit: 1}
	return admission.New(cfg, clock, newRand())
}

// admit waits until the request may run. It wraps req.OnStage to report the
// request's progress to the grant.
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

// followHostCount updates the admission limits to the number of hosts until ctx
// ends.
func (d *dataPlane) followHostCount(ctx context.Context) {
	for ctx.Err() == nil {
		if r := d.app.Snapshot().Release; r != nil {
			d.setLimits(r)
		}
		port.Sleep(ctx, hostCountInterval)
	}
}

// setLimits sets each pipeline's initial limit to this host's share of the slots
// of its services and the maximum to all of them.
func (d *dataPlane) setLimits(r *release.Release) {
	d.queue.SetQueueLimit(r.Settings.QueueLimit)
	hosts := d.liveHostCount()
	for _, p := range r.Pipelines {
		slots := slotsInService(r, p)
		d.queue.SetLimits(p.Name, slots/hosts, slots)
	}
}

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

// slotsInService returns the total slots of the endpoints in service of all
// services that the pipeline uses.
func slotsInService(r *release.Release, p release.Pipeline) int {
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
