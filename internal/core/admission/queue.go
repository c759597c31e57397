// Package admission decides which requests a host lets run, and when. A
// request that cannot make its deadline is refused before it costs anything;
// the rest share the host's runs by their customers' weights, the earliest
// deadline first within one customer, and what one customer leaves unused is
// lent to the others.
package admission

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pimentorill/pimentorill/internal/core/verdict"
	"github.com/pimentorill/pimentorill/internal/port"
)

const (
	// admitQuantile of the time ahead has to fit for a request to start.
	admitQuantile = 0.75
	// giveUpQuantile of the time ahead has to fit for a run to go on.
	giveUpQuantile = 0.05
	// waitPart is the part of a request's slack that it may spend waiting.
	waitPart = 0.5
	// minRetryAfter is the shortest wait that a refusal asks for.
	minRetryAfter = 250 * time.Millisecond
)

// Config bounds a Queue.
type Config struct {
	// QueueLimit is the number of requests that may wait on the host.
	QueueLimit int
	// InitialLimit, MinLimit and MaxLimit bound the runs under way per pipeline.
	InitialLimit, MinLimit, MaxLimit int
	// StaticLimit keeps the limit at InitialLimit.
	StaticLimit bool
}

// Request is what admission needs to know of a request.
type Request struct {
	Customer string
	// Share is the customer's weight; values below 1 count as 1.
	Share    int
	Pipeline string
	Deadline time.Time
}

// Outcome is how a run ended.
type Outcome uint8

const (
	// Failed is a run that ended for a reason other than time.
	Failed Outcome = iota
	// Answered is a run whose whole answer came in time.
	Answered
	// Missed is a run that was given up or answered too late.
	Missed
)

// Queue is a host's admission queue. It is safe for concurrent use.
type Queue struct {
	clock port.Clock

	mu      sync.Mutex
	rng     *rand.Rand
	cfg     Config
	lanes   map[string]*lane
	waiting int
	// pending are answers to waiting requests, sent when mu is released.
	pending []func()
}

// New returns an empty Queue. rng spreads the times that refusals name.
func New(cfg Config, clock port.Clock, rng *rand.Rand) *Queue {
	return &Queue{clock: clock, rng: rng, cfg: cfg, lanes: make(map[string]*lane)}
}

// SetQueueLimit changes the number of requests that may wait.
func (q *Queue) SetQueueLimit(n int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.cfg.QueueLimit = n
}

// SetLimit sets the limit of a pipeline's runs under way that its adaptation
// starts from and is measured against, and the most that it may grow to.
func (q *Queue) SetLimit(pipeline string, initial, most int) {
	q.mu.Lock()
	defer q.flush()
	l := q.lane(pipeline)
	l.limiter.rebase(float64(max(1, initial)), float64(max(1, most)))
	q.dispatch(q.clock.Now(), l)
}

// Remaining returns the quantile of the time from the start of a stage to the
// end of the run, as measured lately; 0 if too little is known.
func (q *Queue) Remaining(pipeline string, stage int, quantile float64) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.lane(pipeline).remaining(q.clock.Now(), stage, quantile)
}

// Least returns the time that nearly every run needs from the start of a
// stage to its end: a run with less time left is hopeless.
func (q *Queue) Least(pipeline string, stage int) time.Duration {
	return q.Remaining(pipeline, stage, giveUpQuantile)
}

// Observe takes the load that an endpoint reported with a stage's answer.
func (q *Queue) Observe(pipeline string, stage int, load port.LoadReport) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.lane(pipeline).limiter.load(stage, load.Waiting, load.Slots)
}

// LaneStatus is one pipeline's state.
type LaneStatus struct {
	Pipeline string `json:"pipeline"`
	// Limit bounds Running, the runs under way.
	Limit   int `json:"limit"`
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// AheadMs is the time that three in four runs need, in milliseconds.
	AheadMs int64 `json:"ahead_ms"`
}

// Status returns the state of all pipelines that had requests, by name.
func (q *Queue) Status() []LaneStatus {
	q.mu.Lock()
	defer q.mu.Unlock()
	var out []LaneStatus
	for name, l := range q.lanes {
		ahead := l.remaining(q.clock.Now(), 0, admitQuantile)
		out = append(out, LaneStatus{name, int(l.limiter.limit), l.running, l.waiting(), ahead.Milliseconds()})
	}
	slices.SortFunc(out, func(a, b LaneStatus) int { return strings.Compare(a.Pipeline, b.Pipeline) })
	return out
}

// Admit waits until the request may run. The error is a *verdict.Error with
// NotRun. The caller ends the Grant with Done.
func (q *Queue) Admit(ctx context.Context, r Request) (*Grant, error) {
	type answer struct {
		grant *Grant
		err   error
	}
	done := make(chan answer, 1)
	t := q.Offer(r, func(g *Grant, err error) { done <- answer{g, err} })
	for {
		timer := time.NewTimer(q.patience(t))
		select {
		case a := <-done:
			timer.Stop()
			return a.grant, a.err
		case <-ctx.Done():
			q.withdraw(t)
		case <-timer.C:
			q.Expire()
		}
		timer.Stop()
	}
}

// Offer queues a request. notify is called exactly once, with a Grant or with
// a *verdict.Error, possibly before Offer returns, never with the Queue locked.
func (q *Queue) Offer(r Request, notify func(*Grant, error)) *Ticket {
	q.mu.Lock()
	defer q.flush()
	now := q.clock.Now()
	l := q.lane(r.Pipeline)
	f := l.flow(r)
	l.wake(f)
	t := &ticket{request: r, flow: f, lane: l, index: -1, notify: notify}
	if err := q.refuse(now, t); err != nil {
		q.answer(t, nil, err)
		return &Ticket{t}
	}
	f.push(t)
	q.waiting++
	q.dispatch(now, l)
	return &Ticket{t}
}

// Ticket stands for an offered request.
type Ticket struct{ t *ticket }

// Expire answers all waiting requests that can no longer make their deadline.
func (q *Queue) Expire() {
	q.mu.Lock()
	defer q.flush()
	now := q.clock.Now()
	for _, l := range q.lanes {
		for _, f := range l.flows {
			q.expire(now, l, f)
		}
	}
}

func (q *Queue) expire(now time.Time, l *lane, f *flow) {
	for len(f.queue) > 0 {
		first := f.queue[0]
		if !late(now, l, first.request.Deadline) {
			return
		}
		f.pop()
		q.waiting--
		q.answer(first, nil, q.noCapacity(l, "the deadline cannot be made any more"))
	}
}

// refuse returns why the request may not wait, nil if it may.
func (q *Queue) refuse(now time.Time, t *ticket) error {
	l, f := t.lane, t.flow
	if late(now, l, t.request.Deadline) {
		return verdict.New(verdict.CodeDeadlineExceeded, verdict.NotRun, "runs of this pipeline take longer now than the deadline allows").WithRetryAfter(l.renewal(now))
	}
	slack := max(0, t.request.Deadline.Sub(now)-l.remaining(now, 0, admitQuantile))
	wait := l.wait(l.before(f, f.ahead(t.request.Deadline)))
	if wait > time.Duration(waitPart*float64(slack)) {
		return q.full(l, f, "the queue is too long for the deadline")
	}
	if q.waiting < q.cfg.QueueLimit || l.limiter.allows(l.running) {
		return nil
	}
	return q.evictFor(t)
}

// evictFor makes room in a full queue at the cost of the customer that is
// furthest over its share, or refuses the request.
func (q *Queue) evictFor(t *ticket) error {
	var worst *flow
	for _, l := range q.lanes {
		for _, f := range l.flows {
			if len(f.queue) > 0 && (worst == nil || heavier(f, worst)) {
				worst = f
			}
		}
	}
	if worst == nil || worst == t.flow || worst.weight() <= t.flow.weight() {
		return q.full(t.lane, t.flow, "the queue is full")
	}
	victim := worst.latest()
	worst.remove(victim)
	q.waiting--
	q.answer(victim, nil, q.overShare(victim.lane, "the queue is full and the customer is over its share"))
	return nil
}

func heavier(a, b *flow) bool {
	if a.weight() != b.weight() {
		return a.weight() > b.weight()
	}
	return a.customer > b.customer
}

// late reports whether a run that starts now would hardly make the deadline.
// A pipeline without runs lets one through that may just make it, so that its
// figures are renewed.
func late(now time.Time, l *lane, deadline time.Time) bool {
	left := deadline.Sub(now)
	if left <= 0 || l.remaining(now, 0, giveUpQuantile) > left {
		return true
	}
	return l.running > 0 && l.remaining(now, 0, admitQuantile) > left
}

func (q *Queue) full(l *lane, f *flow, message string) error {
	if l.overShare(f) {
		return q.overShare(l, message)
	}
	return q.noCapacity(l, message)
}

func (q *Queue) overShare(l *lane, message string) error {
	return verdict.New(verdict.CodeShareExceeded, verdict.NotRun, message).WithRetryAfter(q.retryAfter(l))
}

func (q *Queue) noCapacity(l *lane, message string) error {
	return verdict.New(verdict.CodeNoCapacity, verdict.NotRun, message).WithRetryAfter(q.retryAfter(l))
}

// retryAfter returns about the time in which the present queue drains, spread
// so that the callers refused together do not come back together.
func (q *Queue) retryAfter(l *lane) time.Duration {
	drain := max(minRetryAfter, l.wait(float64(l.waiting())))
	return drain + time.Duration(q.rng.Int64N(int64(drain)))
}

func (q *Queue) dispatch(now time.Time, l *lane) {
	for {
		f := l.next()
		if f == nil || !l.limiter.allows(l.running) {
			return
		}
		q.expire(now, l, f)
		if len(f.queue) == 0 {
			continue
		}
		t := f.pop()
		q.waiting--
		l.start(f)
		q.answer(t, &Grant{queue: q, lane: l, flow: f, deadline: t.request.Deadline}, nil)
	}
}

func (q *Queue) answer(t *ticket, g *Grant, err error) {
	q.pending = append(q.pending, func() { t.notify(g, err) })
}

// flush releases the lock and sends the answers that are due.
func (q *Queue) flush() {
	due := q.pending
	q.pending = nil
	q.mu.Unlock()
	for _, send := range due {
		send()
	}
}

func (q *Queue) withdraw(t *Ticket) {
	q.mu.Lock()
	defer q.flush()
	if !t.t.waiting() {
		return
	}
	t.t.flow.remove(t.t)
	q.waiting--
	q.answer(t.t, nil, verdict.New(verdict.CodeCallerCancelled, verdict.NotRun, "the caller went away"))
}

// patience returns how long the ticket may still wait.
func (q *Queue) patience(t *Ticket) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock.Now()
	ahead := t.t.lane.remaining(now, 0, admitQuantile)
	return max(time.Millisecond, t.t.request.Deadline.Add(-ahead).Sub(now))
}

func (q *Queue) lane(pipeline string) *lane {
	l, ok := q.lanes[pipeline]
	if !ok {
		l = newLane(pipeline, q.cfg)
		q.lanes[pipeline] = l
	}
	return l
}
