package stagework

import (
	"time"

	"github.com/pimentorill/pimentorill/internal/core/gather"
)

// inTimeQueue returns how long the pieces take that run before those of a plan in time:
// the committed ones of its own or a more urgent priority, in calls of MaxBatch pieces.
// The caller holds sc.mu.
func (sc *Scheduler) inTimeQueue(q *queue, service string, priority int) time.Duration {
	return drainTime(q.Limits(), sc.committed.pieces(service, priority), q.EffectiveEndpoints(sc.cfg.Clock.Now(), ""))
}

// lateQueue is like inTimeQueue for a late plan, which has the late plans' share of the
// capacity. The caller holds sc.mu.
func (sc *Scheduler) lateQueue(q *queue, service string, priority int) time.Duration {
	return drainTime(q.Limits(), sc.committedLate.pieces(service, priority), gather.MaxLateShare*q.EffectiveEndpoints(sc.cfg.Clock.Now(), ""))
}
