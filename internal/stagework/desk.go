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
	tick = 20 * time.Millisecond
	// freeTimeout bounds a call that frees results.
	freeTimeout = time.Second
	// reportTimeout bounds the question for an endpoint's room, measurePause is
	// the time between two: reports are some hundred milliseconds old.
	reportTimeout = 300 * time.Millisecond
	measurePause  = 300 * time.Millisecond
)

// Desk keeps the queues of the services that this host is the keeper of. It
// is safe for concurrent use.
type Desk struct {
	self      string
	endpoints port.Endpoints
	clock     port.Clock
	log       *slog.Logger
	zone      string
	health    *health.Watch
	// reach returns the part of the hosts that this one reaches.
	reach func() float64
	// catalogue returns a service and its endpoints.
	catalogue func(service string) (*catalog.Service, []*catalog.Endpoint)

	// ctx ends with Run.
	ctx context.Context
	end context.CancelFunc

	mu     sync.Mutex
	queues map[string]*queue
	// graphs holds the plans under way and what ends them.
	graphs map[*graph]context.CancelCauseFunc
	// committed counts plans that should be in time, committedLate the others.
	committed, committedLate commitments
	// slowness is how long plans take against their forecast, by urgency: those
	// that are less urgent are overtaken.
	slowness [levels]float64
}

type queue struct {
	*gather.Queue
	byID map[string]chan gather.Finished
}

// NewDesk returns a desk without queues.
func NewDesk(self, zone string, reach func() float64, endpoints port.Endpoints, watch *health.Watch, clock port.Clock, log *slog.Logger, catalogue func(string) (*catalog.Service, []*catalog.Endpoint)) *Desk {
	d := &Desk{self: self, zone: zone, reach: reach, endpoints: endpoints, health: watch, clock: clock, log: log, catalogue: catalogue,
		queues: make(map[string]*queue), graphs: make(map[*graph]context.CancelCauseFunc), committed: make(commitments), committedLate: make(commitments)}
	for i := range d.slowness {
		d.slowness[i] = 1
	}
	d.ctx, d.end = context.WithCancel(context.Background())
	return d
}

// Run looks for room until ctx ends.
func (d *Desk) Run(ctx context.Context) {
	defer d.end()
	t := time.NewTicker(tick)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			d.mu.Lock()
			for _, q := range d.queues {
				if q.Len() > 0 {
					d.pump(q)
				}
			}
			d.mu.Unlock()
		}
	}
}

// make queues a job and waits for its end. The error is a *verdict.Error.
func (d *Desk) make(ctx context.Context, service string, j gather.Job) (made, error) {
	d.mu.Lock()
	q, err := d.queue(service)
	if err != nil {
		d.mu.Unlock()
		return made{}, err
	}
	done := make(chan gather.Finished, 1)
	q.byID[j.ID] = done
	q.Add(d.clock.Now(), j)
	d.pump(q)
	d.mu.Unlock()
	select {
	case f := <-done:
		return d.result(f)
	case <-ctx.Done():
		d.cancel(q, j.ID)
		return made{}, ctx.Err()
	}
}

func (d *Desk) queue(service string) (*queue, error) {
	s, endpoints := d.catalogue(service)
	if s == nil || s.Stages == nil {
		return nil, verdict.New(verdict.CodeNotReady, verdict.NotRun, "stage service is not known")
	}
	q := d.queues[service]
	if q == nil {
		q = &queue{Queue: gather.New(s), byID: make(map[string]chan gather.Finished)}
		d.queues[service] = q
	}
	q.SetService(s)
	q.SetEndpoints(d.share(service, d.health.Up(endpoints)))
	for _, e := range q.EndpointsToMeasure() {
		go d.measure(q, e)
	}
	return q, nil
}

// Refresh takes in a change of the endpoints.
func (d *Desk) Refresh() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for name, q := range d.queues {
		d.settle(q, q.FailJobsWithLostInputs(d.lost))
		if q, err := d.queue(name); err == nil {
			d.pump(q)
		}
	}
}

// lost reports whether a result lies with an endpoint that can't be reached.
// d.mu is held.
func (d *Desk) lost(handle string) bool {
	for _, q := range d.queues {
		if e := q.EndpointOfResult(handle); e != nil {
			return d.health.Avoided(e)
		}
	}
	return false
}

// measure asks an endpoint for its room until it has none that is not
// accounted for: results of other keepers, and of calls that failed.
func (d *Desk) measure(q *queue, e *catalog.Endpoint) {
	for {
		ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
		report, err := d.endpoints.Report(ctx, e, false)
		cancel()
		d.mu.Lock()
		more := q.ApplyMeasurement(d.clock.Now(), e, report.FreeBytes, err == nil)
		d.pump(q)
		d.mu.Unlock()
		if !more {
			return
		}
		port.Sleep(d.ctx, measurePause)
		if d.ctx.Err() != nil {
			return
		}
	}
}

func (d *Desk) result(f gather.Finished) (made, error) {
	if f.Failure == port.PieceMade {
		return made{f.Handles, f.Zone, f.QueueWait, d.clock.Now()}, nil
	}
	d.Free(f.Handles)
	code := verdict.CodeEndpointFailed
	switch f.Failure {
	case port.PieceLate:
		code = verdict.CodeDeadline
	case port.PieceNoInput:
		code = verdict.CodeConflict
	}
	return made{}, verdict.New(code, verdict.NotRun, "stage failed: "+string(f.Failure))
}

func (d *Desk) cancel(q *queue, id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(q.byID, id)
	d.freeLocked(q.Cancel(id))
}

// pump makes the calls that can be made now. d.mu is held.
func (d *Desk) pump(q *queue) {
	now := d.clock.Now()
	d.settle(q, q.Expire(now))
	for _, c := range q.NextCalls(now) {
		go d.call(q, c)
	}
}

// settle hands finished jobs to those that wait; nobody's results are freed.
func (d *Desk) settle(q *queue, finished []gather.Finished) {
	for _, f := range finished {
		done := q.byID[f.Job.ID]
		if done == nil {
			if len(f.Handles) > 0 {
				d.freeLocked(f.Handles)
			}
			continue
		}
		delete(q.byID, f.Job.ID)
		done <- f
	}
}

func (d *Desk) call(q *queue, c *gather.Call) {
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
		slog.String("zone", c.Endpoint.Zone), slog.Int("pieces", len(c.Pieces)), slog.Any("requests", c.Requests()), slog.Any("not_made", notMade(results)),
		slog.Int64("took_ms", c.Elapsed(d.clock.Now()).Milliseconds()), slog.Int("jobs_waiting", q.Len()), slog.Int64("room_bytes", q.FreeBytes(c.Endpoint)))
	d.settle(q, q.CompleteCall(d.clock.Now(), c, results, err, notRun))
	d.pump(q)
}

// notMade counts the pieces that were not made by the reason given.
func notMade(results []port.PieceResult) map[port.PieceFailure]int {
	counts := make(map[port.PieceFailure]int)
	for _, r := range results {
		if r.Failure != port.PieceMade {
			counts[r.Failure]++
		}
	}
	return counts
}

// Free gives up results that lie with endpoints of this desk's queues.
func (d *Desk) Free(handles []string) {
	if len(handles) == 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.freeLocked(handles)
}

func (d *Desk) freeLocked(handles []string) {
	for _, q := range d.queues {
		for e, list := range q.Queue.RemoveResults(handles) {
			go d.free(q, e, list)
		}
	}
}

func (d *Desk) free(q *queue, e *catalog.Endpoint, handles []string) {
	ctx, cancel := context.WithTimeout(context.Background(), freeTimeout)
	defer cancel()
	if err := d.endpoints.FreeResults(ctx, e, handles); err != nil {
		d.log.Warn("results not freed", slog.String("endpoint", e.ID), slog.Int("results", len(handles)), slog.Any("error", err))
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.pump(q)
}
