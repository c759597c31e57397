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

// dataPlane holds the components that serve requests.
type dataPlane struct {
	runner     *pipeline.Runner
	picker     *routing.Picker
	cacheIndex *routing.Index
	// pool runs attempts; its size is not bounded.
	pool *ants.Pool
	// queue admits requests. gate bounds the attempts on each endpoint by its
	// slots, or by permits while it may be cold; permits issues and requests them.
	queue   *admission.Queue
	gate    *coldStartGate
	permits *permitService
	app     *App
	// release and leaving are those that applySnapshot last applied; the control
	// goroutine owns them.
	release *release.Release
	leaving map[string]bool
}

// newDataPlane returns the data plane and registers handlers with the peers and the
// gossip. Attempts run on a pool of their own, so that a request never waits for a
// goroutine that another request holds.
func (a *App) newDataPlane() (*dataPlane, error) {
	pool, err := ants.NewPool(-1)
	if err != nil {
		return nil, err
	}
	d := &dataPlane{cacheIndex: routing.NewIndex(), pool: pool, app: a}
	d.picker = routing.New(a.cfg.AvailabilityZone, a.deps.Clock, newRand(), d.cacheIndex)
	d.queue = newAdmissionQueue(a.deps.Clock)
	d.permits = newPermitService(a)
	d.gate = newColdStartGate(d.permits.limiter, d.permits, a.deps.Clock, d.spawn)
	d.gate.reportLoad = d.observeLoad
	if a.deps.Gossip != nil {
		a.deps.Gossip.Subscribe(topicLeaseHolder, func(r port.GossipRecord) { d.gate.leaseHolderChanged(r.Key) })
	}
	d.picker.SetUnavailable(func(id string) bool { return d.gate.isBackingOff(id) || a.guard.Reserved(id) })
	runnerDeps := pipeline.Deps{
		Picker:        d.picker,
		Gate:          d.gate,
		AttemptClient: a.deps.AttemptClient,
		Ledger:        a.ledger,
		Clock:         a.deps.Clock,
		NewID:         a.deps.NewID,
		Retry:         retry.New(newRand()),
		Go:            d.spawn,
		MinRemaining: func(p release.Pipeline, stage int) time.Duration {
			return d.queue.MinRemainingTime(p.Name, stage)
		},
	}
	if _, ok := a.deps.AttemptClient.(port.LoadReader); ok {
		runnerDeps.Gate = guardedGate{Gate: d.gate, guard: a.guard}
		runnerDeps.Picker = trialPicker{Picker: d.picker, Tracker: d.picker, guard: a.guard}
	}
	if a.deps.Peers != nil {
		runnerDeps.StageCache = newResultCache(a.deps.Peers, a.deps.Clock, d.spawn)
	}
	d.runner = pipeline.NewRunner(runnerDeps)
	return d, nil
}

// spawn runs fn on a goroutine of the attempt pool, or on a new one once the pool
// is closed.
func (d *dataPlane) spawn(fn func()) {
	if d.pool.Submit(fn) != nil {
		go fn()
	}
}

// applySnapshot updates the picker, the permits and the admission limits if the
// release or the endpoints that the host list marks as leaving have changed. It runs
// on the control goroutine.
func (d *dataPlane) applySnapshot(s *Snapshot) {
	if s.Release == nil || s.Release == d.release && maps.Equal(s.Leaving, d.leaving) {
		return
	}
	before := d.release
	d.release = s.Release
	d.leaving = s.Leaving
	d.picker.Update(s.Release, s.Leaving)
	d.permits.applyRelease(before, s.Release)
	d.setLimits(s.Release)
}

// newRand returns a randomly seeded generator, which is not safe for concurrent
// use.
func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }
