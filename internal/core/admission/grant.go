package admission

import "time"

// Grant is the permission to run one request. It is safe for concurrent use.
type Grant struct {
	queue     *Queue
	scheduler *scheduler
	flow      *flow
	deadline  time.Time
	// stageStarts holds the start time of each stage; queue.mu guards it and the
	// fields below.
	stageStarts  []time.Time
	skippedStage bool
	ended        bool
}

// StageStarted records the start of a stage, which is also the end of the stage
// before it. Stages are numbered from 0 and start in order; only the first call
// for a stage counts. A run that skips stages contributes nothing to the
// duration estimates.
func (g *Grant) StageStarted(stage int) {
	g.queue.mu.Lock()
	defer g.queue.mu.Unlock()
	if stage > len(g.stageStarts) {
		g.skippedStage = true
	}
	if stage == len(g.stageStarts) {
		g.stageStarts = append(g.stageStarts, g.queue.clock.Now())
	}
}

// Done ends the run and starts queued requests of the pipeline. Only the first
// call counts.
func (g *Grant) Done(outcome Outcome) {
	q := g.queue
	q.mu.Lock()
	defer q.unlockAndNotify()
	if g.ended {
		return
	}
	g.ended = true
	now := q.clock.Now()
	g.scheduler.finish(g.flow)
	g.recordDurations(now, outcome)
	g.scheduler.limiter.recordRunEnd(now, outcome == DeadlineMissed, g.scheduler.meanRunDuration)
	q.dispatch(now, g.scheduler)
}

// recordDurations records the duration of each stage, the time from its start
// to the end of the run, and the duration of the run. In the time to the end of
// the run, a run that missed its deadline counts as lasting at least until the
// deadline, which is a lower bound of the time that it would have taken. The
// caller holds the Queue's mu.
func (g *Grant) recordDurations(now time.Time, outcome Outcome) {
	if outcome == Failed || g.skippedStage || len(g.stageStarts) == 0 {
		return
	}
	end := now
	if outcome == DeadlineMissed && end.Before(g.deadline) {
		end = g.deadline
	}
	for stage, start := range g.stageStarts {
		g.scheduler.recordRemainingTime(now, stage, end.Sub(start))
		g.scheduler.limiter.recordStageDuration(stage, g.stageEnd(stage, now).Sub(start))
	}
	g.scheduler.meanRunDuration = ewma(g.scheduler.meanRunDuration, now.Sub(g.stageStarts[0]))
}

// stageEnd returns when a started stage ended: at the start of the next one, or
// now for the last one. The caller holds the Queue's mu.
func (g *Grant) stageEnd(stage int, now time.Time) time.Time {
	if stage+1 < len(g.stageStarts) {
		return g.stageStarts[stage+1]
	}
	return now
}
