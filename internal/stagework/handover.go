package stagework

import (
	"context"
	"log/slog"
	"maps"
	"time"

	"github.com/pimentorill/pimentorill/internal/core/verdict"
)

// handOverPollInterval is how often a host checks whether another host has
// become the coordinator.
const handOverPollInterval = 250 * time.Millisecond

// errHandedOver is the outcome of a plan that this host hands over to the new
// coordinator. The plan itself is not sent there: the error makes the host that
// sent the plan ask the next candidate.
var errHandedOver = verdict.New(verdict.CodeNotReady, verdict.NotRun, "another host gathers the stages now")

// Run runs this host's schedulers, and hands plans over to another host that has
// become the coordinator of their group, until ctx ends. While this host is the
// coordinator of a group, Run claims the coordination. Plans that have started stay,
// because this host holds the handles of their results and has to free them. Without
// the handover, two coordinators with a backlog each would split the endpoints'
// capacity into small calls.
func (d *Dispatcher) Run(ctx context.Context) {
	d.mu.Lock()
	d.runContext = ctx
	for _, sc := range d.schedulers {
		go sc.Run(ctx)
	}
	d.mu.Unlock()
	t := time.NewTicker(handOverPollInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			d.updateCoordination()
			d.checkRequesters()
		}
	}
}

// updateCoordination claims the coordination of the groups that this host
// coordinates, and hands over the plans of the others.
func (d *Dispatcher) updateCoordination() {
	self := d.cfg.Peers.Self()
	// coordinators holds the coordinator of each group: this host if none is known, so
	// that its plans are not handed over to nobody.
	coordinators := make(map[string]string)
	for _, g := range d.currentDivision() {
		hosts := d.cfg.Peers.Coordinators(g.name, g.zones)
		if len(hosts) == 0 {
			coordinators[g.name] = self
			continue
		}
		coordinators[g.name] = hosts[0]
		if hosts[0] == self {
			d.cfg.Peers.ClaimCoordination(g.name)
		}
	}
	d.mu.Lock()
	schedulers := maps.Clone(d.schedulers)
	d.mu.Unlock()
	for group, sc := range schedulers {
		if coordinators[group] == self {
			continue
		}
		if n := sc.handOver(); n > 0 {
			d.cfg.Log.Info("plans handed over", slog.String("group", group), slog.String("host", coordinators[group]), slog.Int("plans", n))
		}
	}
}

// registerRun records a run in progress, for handOver.
func (sc *Scheduler) registerRun(r *planRun, cancel context.CancelCauseFunc) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	sc.runs[r] = cancel
}

func (sc *Scheduler) unregisterRun(r *planRun) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	delete(sc.runs, r)
}

// handOver ends the plans of which no piece has been sent, with errHandedOver as the
// cause, and returns their number. Plans that were handed over to this host or restarted here stay.
func (sc *Scheduler) handOver() int {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	n := 0
	for r, cancel := range sc.runs {
		if r.attempt == 0 && !r.HandedOver && !sc.hasStarted(r) {
			cancel(errHandedOver)
			n++
		}
	}
	return n
}

// hasStarted reports whether any piece of the run has been sent to an endpoint. The
// caller holds sc.mu.
func (sc *Scheduler) hasStarted(r *planRun) bool {
	for i, s := range r.Stages {
		done := s.Pieces > 0 && r.remaining[i] == 0
		if q := sc.queues[s.Service]; done || q != nil && q.Started(r.jobID(i)) {
			return true
		}
	}
	return false
}
