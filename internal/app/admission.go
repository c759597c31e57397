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

// capacityTick is the time between two looks at the number of hosts, which
// share the endpoints' slots.
const capacityTick = 2 * time.Second

// newQueue returns a queue whose limits a release sets.
func newQueue(clock port.Clock) *admission.Queue {
	cfg := admission.Config{QueueLimit: release.DefaultSettings.QueueLimit, InitialLimit: 1, MinLimit: 1, MaxLimit: 1}
	return admission.New(cfg, clock, newRand())
}

// admit waits until the request may run and lets the grant follow its stages.
func (a *App) admit(ctx context.Context, req *pipeline.Request) (*admission.Grant, error) {
	c, _ := req.Release.Customer(req.Customer)
	grant, err := a.traffic.queue.Admit(ctx, admission.Request{
		Customer: c.Name, Share: c.Share, Pipeline: req.Pipeline.Name, Deadline: req.Deadline,
	})
	if err != nil {
		return nil, err
	}
	grant.StageStarted(0)
	tell := req.OnStage
	req.OnStage = func(s pipeline.StageResult) {
		grant.StageStarted(stageIndex(req.Pipeline, s.Stage) + 1)
		if tell != nil {
			tell(s)
		}
	}
	return grant, nil
}

func stageIndex(p release.Pipeline, stage string) int {
	for i, s := range p.Stages {
		if s.Name == stage {
			return i
		}
	}
	return len(p.Stages)
}

func outcomeOf(err error) admission.Outcome {
	switch {
	case err == nil:
		return admission.Answered
	case verdict.From(err).Code == verdict.CodeDeadlineExceeded:
		return admission.DeadlineMissed
	default:
		return admission.Failed
	}
}

// observe takes the load that came with an answer.
func (t *traffic) observe(w pipeline.AttemptInfo, l port.LoadReport) {
	p, ok := w.Release.Pipeline(w.Pipeline)
	if ok {
		t.queue.Observe(p.Name, stageIndex(p, w.Stage.Name), l)
	}
}

// watchCapacity follows the number of hosts until ctx ends.
func (t *traffic) watchCapacity(ctx context.Context) {
	for ctx.Err() == nil {
		if r := t.app.Snapshot().Release; r != nil {
			t.setLimits(r)
		}
		port.Sleep(ctx, capacityTick)
	}
}

// setLimits gives each pipeline this host's part of the slots of its services.
func (t *traffic) setLimits(r *release.Release) {
	t.queue.SetQueueLimit(r.Settings.QueueLimit)
	hosts := t.liveHosts()
	for _, p := range r.Pipelines {
		slots := slotsOf(r, p)
		t.queue.SetLimit(p.Name, slots/hosts, slots)
	}
}

func (t *traffic) liveHosts() int {
	if t.app.deps.Peers == nil {
		return 1
	}
	n := 0
	for _, m := range t.app.deps.Peers.Members() {
		if m.State == port.MemberLive {
			n++
		}
	}
	return max(1, n)
}

// slotsOf returns the slots in service of all services that the pipeline uses.
func slotsOf(r *release.Release, p release.Pipeline) int {
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
