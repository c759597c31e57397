package app

import (
	"maps"
	"math/rand/v2"
	"time"

	"github.com/panjf2000/ants/v2"

	"github.com/pimentorill/pimentorill/internal/core/admission"
	"github.com/pimentorill/pimentorill/internal/core/pipeline"
	"github.com/pimentorill/pimentorill/internal/core/release"
	"github.com/pimentorill/pimentorill/internal/core/retry"
	"github.com/pimentorill/pimentorill/internal/core/routing"
	"github.com/pimentorill/pimentorill/internal/port"
)

// traffic holds the parts that each request's run works with.
type traffic struct {
	runner *pipeline.Runner
	picker *routing.Picker
	index  *routing.Index
	pool   *ants.Pool
	// queue admits requests; gate and permits bound the work on endpoints.
	queue   *admission.Queue
	gate    *coldGate
	permits *permits
	app     *App
	// release and leaving are what the picker has; the control goroutine owns
	// them.
	release *release.Release
	leaving map[string]bool
}

// newTraffic builds the run path. Attempts run on a pool of their own, so
// that a run never waits for a worker that another run holds.
func (a *App) newTraffic() (*traffic, error) {
	pool, err := ants.NewPool(-1)
	if err != nil {
		return nil, err
	}
	t := &traffic{index: routing.NewIndex(), pool: pool, app: a}
	t.picker = routing.New(a.cfg.AvailabilityZone, a.deps.Clock, newRand(), t.index)
	t.queue = newQueue(a.deps.Clock)
	t.permits = newPermits(a)
	t.gate = newColdGate(t.permits.gate, t.permits, a.deps.Clock, t.spawn)
	t.gate.report = t.observe
	t.picker.SetUnavailable(func(id string) bool { return t.gate.closed(id) || a.guard.Reserved(id) })
	d := pipeline.Deps{
		Picker: t.picker,
		Gate:   t.gate,
		Caller: a.deps.Caller,
		Ledger: a.ledger,
		Clock:  a.deps.Clock,
		NewID:  a.deps.NewID,
		Retry:  retry.New(newRand()),
		Go:     t.spawn,
		MinRemaining: func(p release.Pipeline, stage int) time.Duration {
			return t.queue.MinRemainingTime(p.Name, stage)
		},
	}
	if _, ok := a.deps.Caller.(port.LoadReader); ok {
		d.Gate = guardedGate{Gate: t.gate, guard: a.guard}
		d.Picker = trialPicker{Picker: t.picker, Tracker: t.picker, guard: a.guard}
	}
	if a.deps.Peers != nil {
		d.StageCache = newKeeper(a.deps.Peers, a.deps.Clock, t.spawn)
	}
	t.runner = pipeline.NewRunner(d)
	return t, nil
}

// spawn runs fn on the pool, or on a goroutine of its own once that is closed.
func (t *traffic) spawn(fn func()) {
	if t.pool.Submit(fn) != nil {
		go fn()
	}
}

// adopt takes over what a new snapshot changes. It runs on the control
// goroutine.
func (t *traffic) adopt(s *Snapshot) {
	if s.Release == nil || s.Release == t.release && maps.Equal(s.Leaving, t.leaving) {
		return
	}
	before := t.release
	t.release = s.Release
	t.leaving = s.Leaving
	t.picker.Update(s.Release, s.Leaving)
	t.permits.adopt(before, s.Release)
	t.setLimits(s.Release)
}

// newRand returns a source of its own for each user.
func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }
