package stagework

import (
	"context"
	"log/slog"
	"time"

	"github.com/pimentorill/pimentorill/internal/core/verdict"
)

// handOverPoll is how often a host looks whether another one is the keeper now.
const handOverPoll = 250 * time.Millisecond

// errHandedOver ends plans that the keeper's successor is to begin. It tells
// those that wait to ask the next keeper.
var errHandedOver = verdict.New(verdict.CodeNotReady, verdict.NotRun, "another host gathers the stages now")

// Run hands plans over to the host that has become the keeper. Those that have
// begun stay: their results are accounted for here. Two keepers with a backlog
// each would share the endpoints in small calls.
func (m *Maker) Run(ctx context.Context) {
	t := time.NewTicker(handOverPoll)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			keeper := m.keeper(nil)
			if keeper == m.peers.Self() {
				m.peers.Claim()
			} else if n := m.desk.handOver(); n > 0 {
				m.log.Info("plans handed over", slog.String("host", keeper), slog.Int("plans", n))
			}
		}
	}
}

// enter notes a plan under way.
func (d *Desk) enter(g *graph, end context.CancelCauseFunc) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.graphs[g] = end
}

func (d *Desk) leave(g *graph) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.graphs, g)
}

// handOver ends the plans that have not begun and returns their number. Those
// that were handed over to this host stay.
func (d *Desk) handOver() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := 0
	for g, end := range d.graphs {
		if g.try == 0 && !g.Moved && !d.begun(g) {
			end(errHandedOver)
			n++
		}
	}
	return n
}

// begun reports whether endpoints have worked for a plan. d.mu is held.
func (d *Desk) begun(g *graph) bool {
	for i, s := range g.Stages {
		made := s.Pieces > 0 && g.left[i] == 0
		if q := d.queues[s.Service]; made || q != nil && q.Started(g.jobID(i)) {
			return true
		}
	}
	return false
}
