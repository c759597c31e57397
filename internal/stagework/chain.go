package stagework

import (
	"time"

	"github.com/pimentorill/pimentorill/internal/core/gather"
)

// downstreamStages returns the stages that depend on a stage, directly or
// indirectly.
func (r *planRun) downstreamStages(stage int) []int {
	reachable := map[int]bool{stage: true}
	var downstream []int
	for i, s := range r.Stages {
		for _, dependency := range s.DependsOn {
			if reachable[dependency] && !reachable[i] {
				reachable[i] = true
				downstream = append(downstream, i)
			}
		}
	}
	return downstream
}

// expectPieces counts the pieces of stages of a plan that has started and that are not
// queued yet. The caller holds scheduler.mu.
func (r *planRun) expectPieces(stages []int) {
	for _, i := range stages {
		s := r.Stages[i]
		if r.expected[i] == 0 && r.remaining[i] > 0 && !isClosed(r.done[i]) {
			r.expected[i] = s.Pieces
			r.scheduler.expected[s.Service] += s.Pieces
		}
	}
}

// stopExpecting ends the count of the pieces of a stage, as they are queued or never will be.
func (r *planRun) stopExpecting(stage int) {
	r.scheduler.mu.Lock()
	defer r.scheduler.mu.Unlock()
	r.scheduler.expected[r.Stages[stage].Service] -= r.expected[stage]
	r.expected[stage] = 0
}

func isClosed(done <-chan struct{}) bool {
	select {
	case <-done:
		return true
	default:
		return false
	}
}

// downstreamWait returns how much longer than minDownstreamTime the stages that depend on
// a stage take at present, directly or indirectly, if that stage is done after ready: the
// pieces that wait there, and those of plans that have started, go first. The caller holds
// sc.mu.
func (sc *Scheduler) downstreamWait(p *Plan, stage int, ready time.Duration) time.Duration {
	ends := make([]time.Duration, len(p.Stages)) // from now; 0 if the stage does not depend on the given one
	ends[stage] = ready
	last := ready
	for i, s := range p.Stages {
		for _, dependency := range s.DependsOn {
			start := ends[dependency]
			if start == 0 {
				continue
			}
			fill := busyBatchFill
			if wait := sc.queueWait(s.Service, p.Priority); wait > start {
				start, fill = wait, 1
			}
			ends[i] = max(ends[i], start+stageOverhead+sc.stageCallTime(s, fill))
			last = max(last, ends[i])
		}
	}
	return last - ready - sc.minDownstreamTime(p, stage, busyBatchFill)
}

// queueWait returns how long the pieces before those of a plan of the given priority take
// at a service. The caller holds sc.mu.
func (sc *Scheduler) queueWait(service string, priority int) time.Duration {
	q := sc.queues[service]
	if q == nil {
		return 0
	}
	now, level := sc.cfg.Clock.Now(), priorityLevel(priority)
	if w := &q.waits[level]; w.at.IsZero() || now.Sub(w.at) >= dispatchInterval {
		w.at, w.wait = now, q.DrainTime(now, priority, sc.expected[service])
	}
	return q.waits[level].wait
}

// minDownstreamTime returns how long the stages that depend on a stage take,
// directly or indirectly, if they needn't wait for an endpoint. Each call has its
// stage's pieces or, if that is more, batchFill times the batch size.
func (sc *Scheduler) minDownstreamTime(p *Plan, stage int, batchFill float64) time.Duration {
	longest := time.Duration(0)
	for i, s := range p.Stages {
		for _, dependency := range s.DependsOn {
			if dependency == stage {
				longest = max(longest, stageOverhead+sc.stageCallTime(s, batchFill)+sc.minDownstreamTime(p, i, batchFill))
			}
		}
	}
	return longest
}

// stageCallTime returns the expected duration of a stage's call, 0 if its service
// is unknown.
func (sc *Scheduler) stageCallTime(s Stage, batchFill float64) time.Duration {
	service, _ := sc.cfg.LookupService(s.Service)
	if service == nil || service.StageLimits == nil {
		return 0
	}
	return gather.ExpectedCallTime(service.StageLimits, max(s.Pieces, int(batchFill*float64(service.StageLimits.MaxBatch))))
}
