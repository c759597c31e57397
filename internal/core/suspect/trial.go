package suspect

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"github.com/pimentorill/pimentorill/internal/core/verdict"
	"github.com/pimentorill/pimentorill/internal/port"
)

const (
	// storeTimeout bounds one call to the store.
	storeTimeout = 400 * time.Millisecond
	// probePause is the time between two looks at a trial's endpoint.
	probePause = 50 * time.Millisecond
	// arrivalTime bounds the time between the begin of an attempt on a host and
	// its showing in the endpoint's report.
	arrivalTime = 100 * time.Millisecond
	// judgePause is the time between two looks at an endpoint that died in a
	// trial, and the least time for other hosts' word on it to arrive.
	judgePause = time.Second
	// clockSkew is how far the hosts' clocks may be apart.
	clockSkew = 500 * time.Millisecond
	// judgeLife bounds the wait for an endpoint that died to come back.
	judgeLife = 10 * time.Minute
)

// Keys of the store: the trial of each request and of each endpoint.
const (
	printPrefix    = "suspect/request/"
	endpointPrefix = "suspect/endpoint/"
)

// trial is one trial of this host.
type trial struct {
	guard    *Guard
	record   Record
	print    port.Entry
	endpoint port.Entry
}

// enterTrial settles that this host alone tries the request, on an endpoint
// that runs nothing else.
func (g *Guard) enterTrial(ctx context.Context, f Fingerprint, endpoint string) (Leave, error) {
	if !g.queue(ctx, endpoint) {
		return nil, noEndpoint()
	}
	t := &trial{guard: g, record: Record{Print: f, State: OnTrial, Endpoint: endpoint, Host: g.cfg.Host}}
	if err := t.acquire(ctx); err != nil {
		t.drop(t.endpoint)
		g.unqueue(endpoint)
		return nil, err
	}
	t.record = g.mark(t.record, trialLife)
	load, ok := g.alone(ctx, endpoint)
	if !ok || !t.restamp(ctx, load.Incarnation) {
		t.release(Suspect)
		return nil, noEndpoint()
	}
	return t.leave, nil
}

// restamp begins the trial anew if the endpoint died while the trial waited to
// be alone on it: that death, by another request, must not count against this
// one. It reports whether the store took the new begin.
func (t *trial) restamp(ctx context.Context, incarnation string) bool {
	if incarnation == t.record.Incarnation {
		return true
	}
	t.record.Incarnation = incarnation
	t.stamp()
	e, err := t.write(ctx, t.print.Key, t.print.Revision, judgeLife+trialLife)
	if err != nil {
		return false
	}
	t.print = e
	t.record = t.guard.mark(t.record, trialLife)
	return true
}

func noEndpoint() error {
	return verdict.New(verdict.CodeNoCapacity, verdict.NotRun, "no endpoint became free for a trial in time").WithRetryAfter(heldRetryAfter)
}

// queue waits until no other trial of this host uses the endpoint.
func (g *Guard) queue(ctx context.Context, endpoint string) bool {
	g.mu.Lock()
	turn, ok := g.turns[endpoint]
	if !ok {
		turn = make(chan struct{}, 1)
		g.turns[endpoint] = turn
	}
	g.mu.Unlock()
	select {
	case turn <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (g *Guard) unqueue(endpoint string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	<-g.turns[endpoint]
}

// alone waits until the endpoint runs nothing, of this host and by its report,
// and returns that report. It leaves time for the attempts that other hosts began before they knew of
// the trial to get there.
func (g *Guard) alone(ctx context.Context, endpoint string) (port.LoadReport, bool) {
	select {
	case <-time.After(arrivalTime):
	case <-ctx.Done():
	}
	for ctx.Err() == nil {
		g.mu.Lock()
		own, changed := g.running[endpoint], g.changed
		g.mu.Unlock()
		if own == 0 {
			load, err := g.cfg.Probe(ctx, endpoint)
			if err == nil && load.Running == 0 && load.Waiting == 0 {
				return load, true
			}
			changed = nil
		}
		select {
		case <-changed:
		case <-time.After(probePause):
		case <-ctx.Done():
		}
	}
	return port.LoadReport{}, false
}

// acquire takes the endpoint and then the request in the store.
func (t *trial) acquire(ctx context.Context) error {
	var err error
	if t.endpoint, err = t.takeEndpoint(ctx); err != nil {
		return err
	}
	load, err := t.guard.cfg.Probe(ctx, t.record.Endpoint)
	if err != nil {
		return verdict.Wrap(err, verdict.CodeNoCapacity, verdict.NotRun, "the endpoint for a trial does not answer")
	}
	t.record.Incarnation = load.Incarnation
	t.stamp()
	key := printPrefix + t.record.Print.String()
	known, err := t.read(ctx, key)
	if err != nil {
		return storeAway(err)
	}
	if err := t.judgeEarlier(ctx, known); err != nil {
		return err
	}
	t.print, err = t.write(ctx, key, known.Revision, judgeLife+trialLife)
	return err
}

// stamp sets when the trial begins and ends.
func (t *trial) stamp() {
	now := t.guard.cfg.Clock.Now()
	t.record.At = now.UnixMilli()
	t.record.Began = now.UnixMilli()
	t.record.Until = now.Add(trialLife).UnixMilli()
}

// takeEndpoint takes the endpoint in the store, waiting while another host's
// trial has it.
func (t *trial) takeEndpoint(ctx context.Context) (port.Entry, error) {
	for {
		t.stamp()
		e, err := t.write(ctx, endpointPrefix+t.record.Endpoint, 0, trialLife)
		if err == nil || verdict.From(err).Code == verdict.CodeStoreUnavailable {
			return e, err
		}
		select {
		case <-time.After(2 * probePause):
		case <-ctx.Done():
			return port.Entry{}, noEndpoint()
		}
	}
}

// judgeEarlier looks at what the store holds of the request: a quarantine is
// taken over, a trial under way is left alone, and the trial of a host that
// died is judged by the endpoint it ran on.
func (t *trial) judgeEarlier(ctx context.Context, known port.Entry) error {
	if known.Revision == 0 {
		return nil
	}
	var r Record
	if err := cbor.Unmarshal(known.Value, &r); err != nil {
		return verdict.Wrap(err, verdict.CodeInternal, verdict.NotRun, "a trial's record cannot be read")
	}
	g := t.guard
	switch {
	case r.State == Quarantined:
		g.Merge(r)
		return g.Check(r.Print)
	case r.Until > g.cfg.Clock.Now().UnixMilli():
		return held().WithVerdict(verdict.NotRun)
	}
	load, err := g.cfg.Probe(ctx, r.Endpoint)
	if err != nil {
		return held().WithVerdict(verdict.NotRun)
	}
	if load.Incarnation == r.Incarnation || g.othersDied(r) {
		return nil
	}
	earlier := &trial{guard: g, record: r, print: known}
	earlier.condemn()
	return g.Check(r.Print)
}

func (t *trial) read(ctx context.Context, key string) (port.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	e, err := t.guard.cfg.Store.Get(ctx, key)
	if errors.Is(err, port.ErrNotFound) {
		return port.Entry{}, nil
	}
	return e, err
}

// write puts the trial's record under a key. A lost answer is settled by
// reading the key back.
func (t *trial) write(ctx context.Context, key string, prev uint64, ttl time.Duration) (port.Entry, error) {
	value, err := cbor.Marshal(t.record)
	if err != nil {
		return port.Entry{}, verdict.Wrap(err, verdict.CodeInternal, verdict.NotRun, "a trial's record cannot be encoded")
	}
	ctx, cancel := context.WithTimeout(ctx, 2*storeTimeout)
	defer cancel()
	e, err := t.guard.cfg.Store.CompareAndSwap(ctx, key, prev, value, ttl)
	if errors.Is(err, port.ErrUncertain) {
		e, err = t.read(ctx, key)
		if err == nil && string(e.Value) != string(value) {
			err = port.ErrConflict
		}
	}
	switch {
	case err == nil:
		return e, nil
	case errors.Is(err, port.ErrConflict):
		return port.Entry{}, held().WithVerdict(verdict.NotRun)
	default:
		return port.Entry{}, storeAway(err)
	}
}

func storeAway(err error) error {
	return verdict.Wrap(err, verdict.CodeStoreUnavailable, verdict.NotRun, "an endpoint died while it ran this request, and no trial can be settled").WithRetryAfter(heldRetryAfter)
}

// leave ends the trial's attempt.
func (t *trial) leave(e Ending) {
	switch e {
	case Survived:
		t.release(Clear)
	case Died:
		t.guard.cfg.Go(t.judge)
	default:
		t.release(Suspect)
	}
}

// release ends the trial and sets the request's state.
func (t *trial) release(s State) {
	t.drop(t.endpoint)
	t.guard.unqueue(t.record.Endpoint)
	t.drop(t.print)
	t.guard.mark(Record{Print: t.record.Print, State: s}, suspectLife)
}

func (t *trial) drop(e port.Entry) {
	if e.Revision == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	// A record that stays behind ends by its ttl.
	_ = t.guard.cfg.Store.Delete(ctx, e.Key, e.Revision)
}

// judge waits until the endpoint answers again. A new incarnation shows that
// it died; then the request is guilty unless others ran there as well.
func (t *trial) judge() {
	g := t.guard
	end := g.cfg.Clock.Now().Add(judgeLife)
	for g.cfg.Clock.Now().Before(end) {
		t.record = g.mark(t.record, trialLife)
		select {
		case <-time.After(judgePause):
		case <-g.life.Done():
			return
		}
		load, err := g.cfg.Probe(g.life, t.record.Endpoint)
		switch {
		case err != nil:
			continue
		case load.Incarnation == t.record.Incarnation:
			t.release(Clear)
		case g.othersDied(t.record):
			t.release(Suspect)
		default:
			g.unqueue(t.record.Endpoint)
			t.condemn()
		}
		return
	}
	t.release(Suspect)
}

// othersDied reports whether other requests ran on the trial's endpoint when
// it died. Deaths after the trial's end tell nothing of it: the endpoint was
// kept free until then.
func (g *Guard) othersDied(trial Record) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, r := range g.deaths[trial.Endpoint] {
		if r.Print != trial.Print && r.At >= trial.Began-clockSkew.Milliseconds() && r.At <= trial.Until {
			return true
		}
	}
	return false
}

// condemn quarantines the trial's request on all hosts and in the store.
func (t *trial) condemn() {
	g := t.guard
	t.drop(t.endpoint)
	r := t.record
	r.State = Quarantined
	r = g.mark(r, quarantineLife)
	if g.cfg.Changed != nil {
		g.cfg.Changed(r, "quarantine")
	}
	value, err := cbor.Marshal(r)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	// The peers know it already; the store is for hosts that have yet to start.
	_, _ = g.cfg.Store.CompareAndSwap(ctx, t.print.Key, t.print.Revision, value, quarantineLife)
}

// Release ends a request's quarantine, by an operator's word. It reports
// whether the request was quarantined.
func (g *Guard) Release(ctx context.Context, f Fingerprint) bool {
	r := g.lookup(f)
	if r.State != Quarantined {
		return false
	}
	t := &trial{guard: g, record: r}
	if e, err := t.read(ctx, printPrefix+f.String()); err == nil {
		t.drop(e)
	}
	r.State = Clear
	r = g.mark(r, suspectLife)
	if g.cfg.Changed != nil {
		g.cfg.Changed(r, "release")
	}
	return true
}
