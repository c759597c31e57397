// Package standin provides stand-ins for the platform's services: engines,
// pools, plain services, the key-value store, the host list and the weight
// store. Each one implements a single interface, on loopback or in process, and
// each fault is switched on by a method call. They are fakes, not simulators.
//
// The servers use net/http and not fasthttp, because an endpoint must stop its
// work when the caller disconnects and net/http cancels the handler's context
// then. Each test also exercises two independent HTTP implementations that way.
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

// Errors that end a call after it was accepted.
var (
	errProcessCrashed  = errors.New("standin: process crashed")
	errResponseLost    = errors.New("standin: response lost")
	errInjectedFailure = errors.New("standin: injected failure")
)

// refusedError means that a backend refused a call and ran nothing of it.
type refusedError struct{ reason string }

func (e *refusedError) Error() string { return "standin: refused: " + e.reason }

// BackendConfig holds the settings that all endpoints share. Zero Slots means 1;
// zero ColdLimit, WarmAfter and QueueLimit mean the defaults.
type BackendConfig struct {
	// ID is the endpoint's id. It appears in outputs and in weight fetches.
	ID string
	// Slots is the number of calls that run concurrently.
	Slots int
	// ColdLimit is the number of concurrent calls, waiting ones included, that
	// a cold process can hold. One more crashes the process.
	ColdLimit int
	// WarmAfter is the number of completed calls after which a cold process is
	// warm. Failed calls don't count.
	WarmAfter int
	// QueueLimit is the number of calls that may wait for a slot; more are refused.
	QueueLimit int
	// WorkTime is the duration of one call of a pool or plain service.
	WorkTime time.Duration
	// ColdFactor multiplies all work times while the process is cold; 0 means 1.
	ColdFactor int
	// LoadReportDelay is the age of the load reports that callers get; 0 means
	// current ones.
	LoadReportDelay time.Duration
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

// call holds the parameters of one attempt. Engines use model, prompt, maxTokens
// and resumeTokens, the other endpoints use input.
type call struct {
	attempt      string
	key          string
	priority     int    // lower values get a slot first
	resumeTokens int    // tokens of the completion that the caller already has
	model        string // empty accepts any model
	input        json.RawMessage
	prompt       string
	maxTokens    int // 0 means defaultMaxTokens
}

// response is a backend's response. Its attempt differs from the call's if it is misrouted.
type response struct {
	attempt string
	output  json.RawMessage
	usage   port.Usage
	load    port.LoadReport
}

// workFunc does the work of one call and returns its output. It adds charges as
// it proceeds and returns at once when ctx ends. An engine calls emit for each
// generated token and stops if emit fails; other endpoints don't call it.
type workFunc func(ctx context.Context, c call, emit func(token string) error) (json.RawMessage, error)

// backend is what all endpoints share: slots, cold start, load reports, charges
// and injected faults.
type backend struct {
	server
	cfg     BackendConfig
	work    workFunc
	charges charges
	faults  faults
	// onStart is called with mu held whenever the process restarts after a crash;
	// nil does nothing.
	onStart func()
	// checkAccepted refuses calls that the process cannot run; nil accepts all.
	checkAccepted func(c call) error

	// mu guards the fields below. Methods whose names end in Locked need it held.
	mu                 sync.Mutex
	incarnation        int
	cold               bool
	coldReported       bool // a load report or an interrupted call has revealed the cold start
	draining           bool
	completedSinceCold int
	activeCalls        map[*activeCall]struct{}
	running            int // calls that hold a slot
	waiting            waitQueue
	loadHistory        loadHistory
	stats              Stats
	// changed is closed at the next change of the load; nil if no one waits for it.
	changed chan struct{}
}

// Stats holds counters that tests check. They survive a crash.
type Stats struct {
	// Started is the number of calls that got a slot.
	Started int
	// Completed is the number of calls that finished their work.
	Completed int
	// Cancelled is the number of accepted calls whose context ended before they
	// completed: the caller left or the deadline passed.
	Cancelled int
	// Refused is the number of calls refused because the queue was full.
	Refused int
	// Crashes is the number of crashes of the process, for any cause.
	Crashes int
	// ColdOverruns is the number of crashes caused by more calls than ColdLimit.
	ColdOverruns int
	// UnreportedOverruns is the number of ColdOverruns that no caller could
	// have avoided: no response or load report had shown the cold start, and
	// the crash that led to the cold start, if any, had interrupted no call.
	UnreportedOverruns int
	// MaxColdCalls is the highest number of concurrent calls, waiting ones
	// included, while cold.
	MaxColdCalls int
	// ReceivedWhileDraining is the number of calls that arrived between
	// SetDraining(true) and SetDraining(false).
	ReceivedWhileDraining int
}

// activeCall is a call that runs or waits for a slot.
type activeCall struct {
	call   call
	cancel context.CancelCauseFunc
}

func (b *backend) init(cfg BackendConfig) {
	b.cfg = cfg.withDefaults()
	b.activeCalls = make(map[*activeCall]struct{})
	b.incarnation = 1
	b.cold = !b.cfg.StartsWarm
	b.charges.init()
}

// serve runs one call. The error is a *refusedError if the call was refused and
// nothing ran; after any other error it may have run.
func (b *backend) serve(ctx context.Context, c call, emit func(string) error) (response, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	b.charges.begin(c.attempt)
	defer b.charges.end(c.attempt)
	active := &activeCall{call: c, cancel: cancel}
	if err := b.admit(ctx, active); err != nil {
		return response{}, err
	}
	out, err := b.run(ctx, c, emit)
	load := b.finish(active, err)
	if cause := context.Cause(ctx); err != nil && cause != nil {
		err = cause
	}
	if err != nil {
		return response{load: load}, err
	}
	r := response{attempt: c.attempt, output: out, usage: b.charges.usageOf(c.attempt), load: load}
	return b.faults.onResponse(r)
}

// run applies the faults that precede the work and then does the work. The caller
// holds a slot.
func (b *backend) run(ctx context.Context, c call, emit func(string) error) (json.RawMessage, error) {
	if b.faults.shouldCrash(c) {
		b.Crash()
		return nil, errProcessCrashed
	}
	if err := sleep(ctx, b.faults.injectedDelay()); err != nil {
		return nil, err
	}
	if b.faults.shouldFail() {
		return nil, errInjectedFailure
	}
	return b.work(ctx, c, emit)
}

// admit registers the call and waits for a slot. It refuses the call if
// checkAccepted does or the queue is full, and crashes the process if the call
// exceeds ColdLimit.
func (b *backend) admit(ctx context.Context, active *activeCall) error {
	if b.checkAccepted != nil {
		if err := b.checkAccepted(active.call); err != nil {
			return err
		}
	}
	b.mu.Lock()
	if b.draining {
		b.stats.ReceivedWhileDraining++
	}
	if b.waiting.len() >= b.cfg.QueueLimit {
		b.stats.Refused++
		b.mu.Unlock()
		return &refusedError{reason: "queue full"}
	}
	b.activeCalls[active] = struct{}{}
	if b.cold {
		b.stats.MaxColdCalls = max(b.stats.MaxColdCalls, len(b.activeCalls))
		if len(b.activeCalls) > b.cfg.ColdLimit {
			b.stats.ColdOverruns++
			if !b.coldReported {
				b.stats.UnreportedOverruns++
			}
			b.crashLocked()
			b.mu.Unlock()
			return errProcessCrashed
		}
	}
	if b.running < b.cfg.Slots {
		b.running++
		b.stats.Started++
		b.recordLoadLocked()
		b.mu.Unlock()
		return nil
	}
	w := b.waiting.push(active)
	b.recordLoadLocked()
	b.mu.Unlock()
	select {
	case <-w.granted:
		return nil
	case <-ctx.Done():
		return b.abandonWait(active, w, context.Cause(ctx))
	}
}

// abandonWait ends a wait for a slot and returns cause. A slot granted at the same
// moment is released. After a crash there is nothing to undo.
func (b *backend) abandonWait(active *activeCall, w *waiter, cause error) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, ok := b.activeCalls[active]; !ok {
		return cause
	}
	delete(b.activeCalls, active)
	b.stats.Cancelled++
	if !b.waiting.remove(w) {
		b.releaseSlotLocked()
	}
	b.recordLoadLocked()
	return cause
}

// finish releases the slot, unless a crash already did, and returns the load
// report for the response.
func (b *backend) finish(active *activeCall, err error) port.LoadReport {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, ok := b.activeCalls[active]; ok {
		delete(b.activeCalls, active)
		b.releaseSlotLocked()
		b.recordOutcomeLocked(err)
		b.recordLoadLocked()
	}
	return b.delayedLoadLocked()
}

func (b *backend) recordOutcomeLocked(err error) {
	if errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) {
		b.stats.Cancelled++
	}
	if err != nil {
		return
	}
	b.stats.Completed++
	b.completedSinceCold++
	if b.completedSinceCold >= b.cfg.WarmAfter {
		b.cold = false
	}
}

// releaseSlotLocked passes a slot on to the first waiter, if there is one.
func (b *backend) releaseSlotLocked() {
	if w := b.waiting.pop(); w != nil {
		b.stats.Started++
		close(w.granted)
		return
	}
	b.running--
}

// crashLocked ends all calls and starts a new, cold process.
func (b *backend) crashLocked() {
	interrupted := len(b.activeCalls) > 0
	for active := range b.activeCalls {
		active.cancel(errProcessCrashed)
	}
	clear(b.activeCalls)
	b.waiting.clear()
	b.running = 0
	b.incarnation++
	b.stats.Crashes++
	b.turnColdLocked()
	b.coldReported = interrupted
	if b.onStart != nil {
		b.onStart()
	}
}

// turnColdLocked makes the process cold and records a load report that shows it.
func (b *backend) turnColdLocked() {
	b.cold = true
	b.completedSinceCold = 0
	b.coldReported = false
	b.recordLoadLocked()
}

// currentStepTime returns the duration of a step that takes d when warm.
func (b *backend) currentStepTime(d time.Duration) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.cold {
		return d * time.Duration(b.cfg.ColdFactor)
	}
	return d
}

// sleep waits for d. It returns ctx's error if ctx ends first.
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
