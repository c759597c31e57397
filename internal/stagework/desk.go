// Package stagework has the stages of requests made. One host, the keeper,
// gathers the pieces of all hosts into calls, so that it alone knows which
// endpoint is free and has room; the others hand it their plans. The keeper is
// the host whose entry says so; when it stops answering, plans go to the next one
// at once.
package stagework

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/pimentorill/pimentorill/internal/core/catalog"
	"github.com/pimentorill/pimentorill/internal/core/gather"
	"github.com/pimentorill/pimentorill/internal/core/verdict"
	"github.com/pimentorill/pimentorill/internal/health"
	"github.com/pimentorill/pimentorill/internal/port"
)

const (
	// tick is how often queues with jobs look for room that has come free.
	dispatchInterval = 20 * time.Millisecond
	// freeResultsTimeout bounds a call that frees results.
	freeResultsTimeout = time.Second
	// capacityReportTimeout bounds the question for an endpoint's room, measureInterval is
	// the time between two: reports are some hundred milliseconds old.
	capacityReportTimeout = 300 * time.Millisecond
	measureInterval       = 300 * time.Millisecond
)

// Scheduler keeps the queues of the services that this host is the keeper of. It
// is safe for concurrent use.
type Scheduler struct {
	self      string
	endpoints port.Endpoints
	clock     port.Clock
	log       *slog.Logger
	zone      string
	health    *health.Watch
	// reach returns the part of the hosts that this one reaches.
	reachableShare func() float64
	// catalogue returns a service and its endpoints.
	lookupService func(service string) (*catalog.Service, []*catalog.Endpoint)

	// ctx ends with Run.
	ctx  context.Context
	stop context.CancelFunc

	mu     sync.Mutex
	queues map[string]*queue
	// graphs holds the plans under way and what ends them.
	runs map[*planRun]context.CancelCauseFunc
	// committed counts plans that should be in time, committedLate the others.
	committed, committedLate commitments
	// slowness is how long plans take against their forecast, by urgency: those
	// that are less urgent are overtaken.
	forecastRatio [priorityLevels]float64
}

type queue struct {
	*gather.Queue
	waiters map[string]chan gather.FinishedJob
}

// NewScheduler returns a desk without queues.
func NewScheduler(self, zone string, reach func() float64, endpoints port.Endpoints, watch *health.Watch, clock port.Clock, log *slog.Logger, catalogue func(string) (*catalog.Service, []*catalog.Endpoint)) *Scheduler {
	d := &Scheduler{self: self, zone: zone, reachableShare: reach, endpoints: endpoints, health: watch, clock: clock, log: log, lookupService: catalogue,
		queues: make(map[string]*queue), runs: make(map[*planRun]context.CancelCauseFunc), committed: make(commitments), committedLate: make(commitments)}
	for i := range d.forecastRatio {
		d.forecastRatio[i] = 1
	}
	d.ctx, d.stop = context.WithCancel(context.Background())
	return d
}

// Run looks for room until ctx ends.
func (d *Scheduler) Run(ctx context.Context) {
	defer d.stop()
	t := time.NewTicker(dispatchInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			d.mu.Lock()
			for _, q := range d.queues {
				if q.Len() > 0 {
					d.startCalls(q)
				}
			}
			d.mu.Unlock()
		}
	}
}

// make queues a job and waits for its end. The error is a *verdict.Error.
func (d *Scheduler) runJob(ctx context.Context, service string, j gather.Job) (stageResult, error) {
	d.mu.Lock()
	q, err := d.queueFor(service)
	if err != nil {
		d.mu.Unlock()
		return stageResult{}, err
	}
	done := make(chan gather.FinishedJob, 1)
	q.waiters[j.ID] = done
	q.Add(d.clock.Now(), j)
	d.startCalls(q)
	d.mu.Unlock()
	select {
	case f := <-done:
		return d.jobOutcome(f)
	case <-ctx.Done():
		d.cancel(q, j.ID)
		return stageResult{}, ctx.Err()
	}
}

func (d *Scheduler) queueFor(service string) (*queue, error) {
	s, endpoints := d.lookupService(service)
	if s == nil || s.Stages == nil {
		return nil, verdict.New(verdict.CodeNotReady, verdict.NotRun, "stage service is not known")
	}
	q := d.queues[service]
	if q == nil {
		q = &queue{Queue: gather.New(s), waiters: make(map[string]chan gather.FinishedJob)}
		d.queues[service] = q
	}
	q.SetService(s)
	q.SetEndpoints(d.assignedEndpoints(service, d.health.Up(endpoints)))
	for _, e := range q.EndpointsToMeasure() {
		go d.measureCapacity(q, e)
	}
	return q, nil
}

// Refresh takes in a change of the endpoints.
func (d *Scheduler) Refresh() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for name, q := range d.queues {
		d.deliverFinished(q, q.FailJobsWithLostInputs(d.resultLost))
		if q, err := d.queueFor(name); err == nil {
			d.startCalls(q)
		}
	}
}

// lost reports whether a result lies with an endpoint that can't be reached.
// d.mu is held.
func (d *Scheduler) resultLost(handle string) bool {
	for _, q := range d.queues {
		if e := q.EndpointOfResult(handle); e != nil {
			return d.health.Avoided(e)
		}
	}
	return false
}

// measure asks an endpoint for its room until it has none that is not
// accounted for: results of other keepers, and of calls that failed.
func (d *Scheduler) measureCapacity(q *queue, e *catalog.Endpoint) {
	for {
		ctx, cancel := context.WithTimeout(context.Background(), capacityReportTimeout)
		report, err := d.endpoints.Report(ctx, e, false)
		cancel()
		d.mu.Lock()
		more := q.ApplyMeasurement(d.clock.Now(), e, report.FreeBytes, err == nil)
		d.startCalls(q)
		d.mu.Unlock()
		if !more {
			return
		}
		port.Sleep(d.ctx, measureInterval)
		if d.ctx.Err() != nil {
			return
		}
	}
}

func (d *Scheduler) jobOutcome(f gather.FinishedJob) (stageResult, error) {
	if f.Failure == port.PieceMade {
		return stageResult{f.Handles, f.Zone, f.QueueWait, d.clock.Now()}, nil
	}
	d.Free(f.Handles)
	code := verdict.CodeEndpointFailed
	switch f.Failure {
	case port.PieceLate:
		code = verdict.CodeDeadline
	case port.PieceNoInput:
		code = verdict.CodeConflict
	}
	return stageResult{}, verdict.New(code, verdict.NotRun, "stage failed: "+string(f.Failure))
}

func (d *Scheduler) cancel(q *queue, id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(q.waiters, id)
	d.freeLocked(q.Cancel(id))
}

// pump makes the calls that can be made now. d.mu is held.
func (d *Scheduler) startCalls(q *queue) {
	now := d.clock.Now()
	d.deliverFinished(q, q.Expire(now))
	for _, c := range q.NextCalls(now) {
		go d.makeCall(q, c)
	}
}

// settle hands finished jobs to those that wait; nobody's results are freed.
func (d *Scheduler) deliverFinished(q *queue, finished []gather.FinishedJob) {
	for _, f := range finished {
		done := q.waiters[f.Job.ID]
		if done == nil {
			if len(f.Handles) > 0 {
				d.freeLocked(f.Handles)
			}
			continue
		}
		delete(q.waiters, f.Job.ID)
		done <- f
	}
}

func (d *Scheduler) makeCall(q *queue, c *gather.Call) {
	up, release := d.health.While(context.Background(), c.Endpoint)
	defer release()
	ctx, cancel := context.WithTimeout(up, c.Timeout)
	defer cancel()
	results, err := d.endpoints.MakePieces(ctx, c.Endpoint, c.Pieces)
	notRun := err != nil && verdict.Of(err) == verdict.NotRun
	if err != nil {
		if verdict.From(err).Code == verdict.CodeEndpointFailed {
			d.health.Failed(c.Endpoint)
		}
		d.log.Warn("stage call failed", slog.String("service", c.Endpoint.Service), slog.String("endpoint", c.Endpoint.ID),
			slog.Int("pieces", len(c.Pieces)), slog.Bool("not_run", notRun), slog.Any("error", err))
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.log.Info("stage call", slog.String("service", c.Endpoint.Service), slog.String("endpoint", c.Endpoint.ID),
		slog.String("zone", c.Endpoint.Zone), slog.Int("pieces", len(c.Pieces)), slog.Any("requests", c.Requests()), slog.Any("not_made", countFailures(results)),
		slog.Int64("took_ms", c.Elapsed(d.clock.Now()).Milliseconds()), slog.Int("jobs_waiting", q.Len()), slog.Int64("room_bytes", q.FreeBytes(c.Endpoint)))
	d.deliverFinished(q, q.CompleteCall(d.clock.Now(), c, results, err, notRun))
	d.startCalls(q)
}

// countFailures counts the pieces that were not made by the reason given.
func countFailures(results []port.PieceResult) map[port.PieceFailure]int {
	counts := make(map[port.PieceFailure]int)
	for _, r := range results {
		if r.Failure != port.PieceMade {
			counts[r.Failure]++
		}
	}
	return counts
}

// Free gives up results that lie with endpoints of this desk's queues.
func (d *Scheduler) Free(handles []string) {
	if len(handles) == 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.freeLocked(handles)
}

func (d *Scheduler) freeLocked(handles []string) {
	for _, q := range d.queues {
		for e, list := range q.Queue.RemoveResults(handles) {
			go d.freeResults(q, e, list)
		}
	}
}

func (d *Scheduler) freeResults(q *queue, e *catalog.Endpoint, handles []string) {
	ctx, cancel := context.WithTimeout(context.Background(), freeResultsTimeout)
	defer cancel()
	if err := d.endpoints.FreeResults(ctx, e, handles); err != nil {
		d.log.Warn("results not freed", slog.String("endpoint", e.ID), slog.Int("results", len(handles)), slog.Any("error", err))
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.startCalls(q)
}
