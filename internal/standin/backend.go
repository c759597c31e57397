// Package standin has small stand-ins for what the platform gives: engines,
// pools, plain services, the key-value store, the host list and the weight
// store. Each answers at one interface, on loopback or in process, and each
// fault is switched on by a method call. None of them is a simulator.
//
// The servers use net/http and not fasthttp, because an endpoint must stop its
// work when the caller goes away and net/http tells a handler so. It also
// lets two independent HTTP implementations meet in each test.
//
// All types are safe for concurrent use. They read time through package time,
// so they run on a fake clock inside testing/synctest.
package standin

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/pimentorill/pimentorill/internal/port"
)

// Errors that a backend's work ends with.
var (
	errCrashed = errors.New("standin: process died")
	errLost    = errors.New("standin: answer lost")
	errFailed  = errors.New("standin: injected failure")
)

// refusedError says that a backend did not begin a call.
type refusedError struct{ reason string }

func (e *refusedError) Error() string { return "standin: refused: " + e.reason }

// BackendConfig is what all endpoints have in common. Zero Slots means 1;
// zero ColdLimit, WarmAfter and QueueLimit take the defaults.
type BackendConfig struct {
	ID string
	// Slots is the number of calls run at a time.
	Slots int
	// ColdLimit is the number of calls borne at a time, waiting ones
	// included, while cold. One more and the process dies.
	ColdLimit int
	// WarmAfter is the number of answers after which a cold process is warm.
	WarmAfter int
	// QueueLimit is the number of calls that wait for a slot; more are refused.
	QueueLimit int
	// WorkTime is how long one call of a pool or plain service takes.
	WorkTime time.Duration
	// ColdFactor multiplies all work time while cold; 0 means 1.
	ColdFactor int
	// LoadLag is how old the load report is.
	LoadLag time.Duration
	// StartsWarm skips the first cold start.
	StartsWarm bool
}

// The defaults of BackendConfig.
const (
	DefaultColdLimit  = 1
	DefaultWarmAfter  = 8
	DefaultQueueLimit = 64
)

func (c BackendConfig) withDefaults() BackendConfig {
	c.Slots = max(c.Slots, 1)
	c.ColdFactor = max(c.ColdFactor, 1)
	if c.ColdLimit <= 0 {
		c.ColdLimit = DefaultColdLimit
	}
	if c.WarmAfter <= 0 {
		c.WarmAfter = DefaultWarmAfter
	}
	if c.QueueLimit <= 0 {
		c.QueueLimit = DefaultQueueLimit
	}
	return c
}

// call is one attempt as a backend sees it.
type call struct {
	attempt   string
	key       string
	priority  int
	resume    int
	model     string
	input     json.RawMessage
	prompt    string
	maxTokens int
}

// reply is a backend's answer. attempt differs from the call's if crossed.
type reply struct {
	attempt string
	output  json.RawMessage
	usage   port.Usage
	load    port.LoadReport
}

// work does one call's work. It charges as it goes on and returns at once
// when ctx ends.
type work func(ctx context.Context, c call, emit func(token string) error) (json.RawMessage, error)

// backend is the part that all endpoints share: slots, cold start, load
// report, charges and faults.
type backend struct {
	server
	cfg     BackendConfig
	work    work
	charges charges
	faults  faults
	// onStart is called with mu held whenever the process starts anew.
	onStart func()
	// accept refuses calls that the process cannot run; nil accepts all.
	accept func(c call) error

	mu          sync.Mutex
	incarnation int
	cold        bool
	announced   bool
	leaving     bool
	answered    int
	jobs        map[*job]struct{}
	running     int
	waiting     waitQueue
	reports     loadHistory
	stats       Stats
	// changed is closed at the next change, if anyone waits for it.
	changed chan struct{}
}

// Stats are counts that tests check. They outlive a crash.
type Stats struct {
	// Started is the number of calls that got a slot.
	Started int
	// Answered is the number of calls worked to their end.
	Answered int
	// Cancelled is the number of calls that ended by their caller.
	Cancelled int
	// Refused is the number of calls refused for a full queue.
	Refused int
	// Crashes is the number of times that the process died, for any cause.
	Crashes int
	// ColdOverruns is the number of crashes by more work than ColdLimit.
	ColdOverruns int
	// UnannouncedOverruns are those ColdOverruns that came before any caller
	// could know: no answer or report had shown the cold start, and no call
	// had been cut off by it.
	UnannouncedOverruns int
	// MaxCold is the highest number of calls held at a time while cold.
	MaxCold int
	// TakenLeaving is the number of calls that came after Leave.
	TakenLeaving int
}

// job is one call inside a backend.
type job struct {
	call   call
	cancel context.CancelCauseFunc
}

func (b *backend) init(cfg BackendConfig) {
	b.cfg = cfg.withDefaults()
	b.jobs = make(map[*job]struct{})
	b.incarnation = 1
	b.cold = !b.cfg.StartsWarm
	b.charges.init()
}

// serve runs one call. The error is a *refusedError if nothing ran.
func (b *backend) serve(ctx context.Context, c call, emit func(string) error) (reply, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	b.charges.begin(c.attempt)
	defer b.charges.end(c.attempt)
	j := &job{call: c, cancel: cancel}
	if err := b.enter(ctx, j); err != nil {
		return reply{}, err
	}
	out, err := b.run(ctx, c, emit)
	load := b.leave(j, err)
	if cause := context.Cause(ctx); err != nil && cause != nil {
		err = cause
	}
	if err != nil {
		return reply{load: load}, err
	}
	r := reply{attempt: c.attempt, output: out, usage: b.charges.of(c.attempt), load: load}
	return b.faults.onAnswer(r)
}

func (b *backend) run(ctx context.Context, c call, emit func(string) error) (json.RawMessage, error) {
	if b.faults.crashes(c) {
		b.Crash()
		return nil, errCrashed
	}
	if err := sleep(ctx, b.faults.slowness()); err != nil {
		return nil, err
	}
	if b.faults.fails() {
		return nil, errFailed
	}
	return b.work(ctx, c, emit)
}

// enter takes the call in and waits for a slot.
func (b *backend) enter(ctx context.Context, j *job) error {
	if b.accept != nil {
		if err := b.accept(j.call); err != nil {
			return err
		}
	}
	b.mu.Lock()
	if b.leaving {
		b.stats.TakenLeaving++
	}
	if b.waiting.len() >= b.cfg.QueueLimit {
		b.stats.Refused++
		b.mu.Unlock()
		return &refusedError{reason: "queue full"}
	}
	b.jobs[j] = struct{}{}
	if b.cold {
		b.stats.MaxCold = max(b.stats.MaxCold, len(b.jobs))
		if len(b.jobs) > b.cfg.ColdLimit {
			b.stats.ColdOverruns++
			if !b.announced {
				b.stats.UnannouncedOverruns++
			}
			b.crashLocked()
			b.mu.Unlock()
			return errCrashed
		}
	}
	if b.running < b.cfg.Slots {
		b.running++
		b.stats.Started++
		b.reportLocked()
		b.mu.Unlock()
		return nil
	}
	w := b.waiting.push(j)
	b.reportLocked()
	b.mu.Unlock()
	select {
	case <-w.granted:
		return nil
	case <-ctx.Done():
		return b.abandon(j, w, context.Cause(ctx))
	}
}

// abandon ends a wait. A slot granted at the same moment is given back.
func (b *backend) abandon(j *job, w *waiter, cause error) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, ok := b.jobs[j]; !ok {
		return cause
	}
	delete(b.jobs, j)
	b.stats.Cancelled++
	if !b.waiting.remove(w) {
		b.releaseLocked()
	}
	b.reportLocked()
	return cause
}

// leave gives the slot back and returns the load report for the answer.
func (b *backend) leave(j *job, err error) port.LoadReport {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, ok := b.jobs[j]; ok {
		delete(b.jobs, j)
		b.releaseLocked()
		b.countLocked(err)
		b.reportLocked()
	}
	return b.laggedLocked()
}

func (b *backend) countLocked(err error) {
	if errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) {
		b.stats.Cancelled++
	}
	if err != nil {
		return
	}
	b.stats.Answered++
	b.answered++
	if b.answered >= b.cfg.WarmAfter {
		b.cold = false
	}
}

func (b *backend) releaseLocked() {
	if w := b.waiting.pop(); w != nil {
		b.stats.Started++
		close(w.granted)
		return
	}
	b.running--
}

// crashLocked drops all work and starts a new, cold process.
func (b *backend) crashLocked() {
	cutOff := len(b.jobs) > 0
	for j := range b.jobs {
		j.cancel(errCrashed)
	}
	clear(b.jobs)
	b.waiting.clear()
	b.running = 0
	b.incarnation++
	b.stats.Crashes++
	b.turnColdLocked()
	b.announced = cutOff
	if b.onStart != nil {
		b.onStart()
	}
}

func (b *backend) turnColdLocked() {
	b.cold = true
	b.answered = 0
	b.announced = false
	b.reportLocked()
}

// pause is how long a step of d takes now.
func (b *backend) pause(d time.Duration) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.cold {
		return d * time.Duration(b.cfg.ColdFactor)
	}
	return d
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
