package stagework

import (
	"context"
	"log/slog"
	"time"

	"github.com/pimentorill/pimentorill/internal/core/verdict"
)

// handOverPollInterval is how often a host looks whether another one is the keeper now.
const handOverPollInterval = 250 * time.Millisecond

// errHandedOver ends plans that the keeper's successor is to begin. It tells
// those that wait to ask the next keeper.
var errHandedOver = verdict.New(verdict.CodeNotReady, verdict.NotRun, "another host gathers the stages now")

// Run hands plans over to the host that has become the keeper. Those that have
// begun stay: their results are accounted for here. Two keepers with a backlog
// each would share the endpoints in small calls.
func (m *Dispatcher) Run(ctx context.Context) {
	t := time.NewTicker(handOverPollInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			keeper := m.coordinator(nil)
			if keeper == m.peers.Self() {
				m.peers.ClaimCoordination()
			} else if n := m.scheduler.handOver(); n > 0 {
				m.log.Info("plans handed over", slog.String("host", keeper), slog.Int("plans", n))
			}
		}
	}
}

// enter notes a plan under way.
func (d *Scheduler) registerRun(g *planRun, end context.CancelCauseFunc) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.runs[g] = end
}

func (d *Scheduler) unregisterRun(g *planRun) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.runs, g)
}

// handOver ends the plans that have not begun and returns their number. Those
// that were handed over to this host stay.
func (d *Scheduler) handOver() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := 0
	for g, end := range d.runs {
		if g.attempt == 0 && !g.HandedOver && !d.hasStarted(g) {
			end(errHandedOver)
			n++
		}
	}
	return n
}

// begun reports whether endpoints have worked for a plan. d.mu is held.
func (d *Scheduler) hasStarted(g *planRun) bool {
	for i, s := range g.Stages {
		made := s.Pieces > 0 && g.remaining[i] == 0
		if q := d.queues[s.Service]; made || q != nil && q.Started(g.jobID(i)) {
			return true
		}
	}
	return false
}
