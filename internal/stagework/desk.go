// Package stagework has the pieces of stages made. For each stage service one
// host, its keeper, gathers the pieces of all hosts into calls; the others
// hand it theirs. Hosts choose the keeper by rendezvous hashing among the
// hosts that answer, and go to the next one at once when it stops answering.
package stagework

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/pimentorill/pimentorill/internal/core/catalog"
	"github.com/pimentorill/pimentorill/internal/core/gather"
	"github.com/pimentorill/pimentorill/internal/core/verdict"
	"github.com/pimentorill/pimentorill/internal/port"
)

const (
	// tick is how often queues with jobs look for room that has come free.
	tick = 20 * time.Millisecond
	// freeTimeout bounds a call that frees results.
	freeTimeout = time.Second
	// forecastSlack is the part of the time left that a job's forecast may take.
	forecastSlack = 1.0
)

// Made is where a job's results lie.
type Made struct {
	Handles []string
	// Zone is empty if they lie in several.
	Zone string
	Wait time.Duration
}

// Desk keeps the queues of the services that this host is the keeper of. It
// is safe for concurrent use.
type Desk struct {
	endpoints port.Endpoints
	clock     port.Clock
	log       *slog.Logger
	// catalogue returns a service and its endpoints.
	catalogue func(service string) (*catalog.Service, []*catalog.Endpoint)

	mu     sync.Mutex
	queues map[string]*queue
}

type queue struct {
	*gather.Queue
	byID map[string]chan gather.Finished
}

// NewDesk returns a desk without queues.
func NewDesk(endpoints port.Endpoints, clock port.Clock, log *slog.Logger, catalogue func(string) (*catalog.Service, []*catalog.Endpoint)) *Desk {
	return &Desk{endpoints: endpoints, clock: clock, log: log, catalogue: catalogue, queues: make(map[string]*queue)}
}

// Run looks for room until ctx ends.
func (d *Desk) Run(ctx context.Context) {
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

// Make queues a job and waits for its end. The error is a *verdict.Error.
func (d *Desk) Make(ctx context.Context, service string, j gather.Job) (Made, error) {
	now := d.clock.Now()
	d.mu.Lock()
	q, err := d.queue(service)
	if err == nil {
		err = refuse(q, j, now)
	}
	if err != nil {
		d.mu.Unlock()
		return Made{}, err
	}
	done := make(chan gather.Finished, 1)
	q.byID[j.ID] = done
	q.Add(now, j)
	d.pump(q)
	d.mu.Unlock()
	select {
	case f := <-done:
		return d.result(service, f)
	case <-ctx.Done():
		d.cancel(service, j.ID)
		return Made{}, verdict.Wrap(ctx.Err(), verdict.CodeCallerCancelled, verdict.NotRun, "stage was cancelled")
	}
}

// refuse returns an error for a job that can't be done in time.
func refuse(q *queue, j gather.Job, now time.Time) error {
	if q.Usable() == 0 {
		return verdict.New(verdict.CodeNoCapacity, verdict.NotRun, "no endpoint for the stage")
	}
	forecast := q.Forecast(j.Pieces)
	left := time.Duration(float64(j.Last.Sub(now)) * forecastSlack)
	if forecast > left {
		return verdict.New(verdict.CodeNoCapacity, verdict.NotRun, "stage can't be done in time").WithRetryAfter(forecast - left)
	}
	return nil
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
	q.SetEndpoints(endpoints)
	return q, nil
}

// Refresh takes in a change of the endpoints.
func (d *Desk) Refresh() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for name := range d.queues {
		if q, err := d.queue(name); err == nil {
			d.pump(q)
		}
	}
}

func (d *Desk) result(service string, f gather.Finished) (Made, error) {
	if f.Failure == port.PieceMade {
		return Made{Handles: f.Handles, Zone: f.Zone, Wait: f.Wait}, nil
	}
	d.Free(service, f.Handles)
	code := verdict.CodeEndpointFailed
	switch f.Failure {
	case port.PieceLate:
		code = verdict.CodeDeadline
	case port.PieceNoInput:
		code = verdict.CodeConflict
	}
	return Made{}, verdict.New(code, verdict.NotRun, "stage failed: "+string(f.Failure))
}

func (d *Desk) cancel(service, id string) {
	d.mu.Lock()
	q := d.queues[service]
	if q == nil {
		d.mu.Unlock()
		return
	}
	delete(q.byID, id)
	handles := q.Cancel(id)
	d.mu.Unlock()
	d.Free(service, handles)
}

// pump makes the calls that can be made now. d.mu is held.
func (d *Desk) pump(q *queue) {
	now := d.clock.Now()
	d.settle(q, q.Expire(now))
	for _, c := range q.Next(now) {
		go d.call(q, c)
	}
}

// settle hands finished jobs to those that wait; nobody's results are freed.
func (d *Desk) settle(q *queue, finished []gather.Finished) {
	for _, f := range finished {
		done := q.byID[f.Job.ID]
		if done == nil {
			if len(f.Handles) > 0 {
				d.freeLocked(q, f.Handles)
			}
			continue
		}
		delete(q.byID, f.Job.ID)
		done <- f
	}
}

func (d *Desk) call(q *queue, c *gather.Call) {
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
	defer cancel()
	results, err := d.endpoints.MakePieces(ctx, c.Endpoint, c.Pieces)
	notRun := err != nil && verdict.Of(err) == verdict.NotRun
	if err != nil {
		d.log.Warn("stage call failed", slog.String("service", c.Endpoint.Service), slog.String("endpoint", c.Endpoint.ID),
			slog.Int("pieces", len(c.Pieces)), slog.Bool("not_run", notRun), slog.Any("error", err))
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.settle(q, q.Done(d.clock.Now(), c, results, err, notRun))
	d.pump(q)
}

// Free gives up results of a service.
func (d *Desk) Free(service string, handles []string) {
	if len(handles) == 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if q := d.queues[service]; q != nil {
		d.freeLocked(q, handles)
	}
}

func (d *Desk) freeLocked(q *queue, handles []string) {
	for e, list := range q.Queue.Free(handles) {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), freeTimeout)
			defer cancel()
			if err := d.endpoints.FreeResults(ctx, e, list); err != nil {
				d.log.Warn("results not freed", slog.String("endpoint", e.ID), slog.Int("results", len(list)), slog.Any("error", err))
				return
			}
			d.mu.Lock()
			defer d.mu.Unlock()
			d.pump(q)
		}()
	}
}
