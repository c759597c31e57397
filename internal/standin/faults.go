package standin

import (
	"bytes"
	"encoding/json"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

// faults holds the injected faults and their state. The counts are those of the
// calls still to be affected.
type faults struct {
	mu                  sync.Mutex
	delay               time.Duration
	failureRate         float64
	rng                 *rand.Rand // used for failureRate
	crashMarker         string
	responsesToDrop     int
	responsesToMisroute int
	streamsToBreak      int
	breakAfterTokens    int
	previous            response // the last response that was ready, for misrouting
}

// SetDelay delays each call by d, while it holds its slot and before its work; 0
// switches it off.
func (b *backend) SetDelay(d time.Duration) {
	b.faults.mu.Lock()
	defer b.faults.mu.Unlock()
	b.faults.delay = d
}

// SetFailureRate makes each call fail with a probability of fraction, 0 to 1, once
// it holds a slot and before its work. The random sequence is seeded with seed.
func (b *backend) SetFailureRate(fraction float64, seed uint64) {
	b.faults.mu.Lock()
	defer b.faults.mu.Unlock()
	b.faults.failureRate = fraction
	b.faults.rng = rand.New(rand.NewPCG(seed, seed))
}

// CrashOnInput makes the process crash on each call whose input contains marker,
// before the call's work.
// An empty marker switches it off.
func (b *backend) CrashOnInput(marker string) {
	b.faults.mu.Lock()
	defer b.faults.mu.Unlock()
	b.faults.crashMarker = marker
}

// DropResponses drops the next n responses after their work is done; the callers
// see a failed call or a broken connection.
func (b *backend) DropResponses(n int) {
	b.faults.mu.Lock()
	defer b.faults.mu.Unlock()
	b.faults.responsesToDrop = n
}

// MisrouteResponses gives the next n callers the response of the attempt that
// completed before theirs.
func (b *backend) MisrouteResponses(n int) {
	b.faults.mu.Lock()
	defer b.faults.mu.Unlock()
	b.faults.responsesToMisroute = n
}

// BreakStreams breaks the next n streams of an engine after afterTokens tokens,
// which must be above 0.
func (b *backend) BreakStreams(n, afterTokens int) {
	b.faults.mu.Lock()
	defer b.faults.mu.Unlock()
	b.faults.streamsToBreak = n
	b.faults.breakAfterTokens = afterTokens
}

// TurnCold makes the process cold without a restart. Callers learn of it only from
// a later load report. Calls in progress continue.
func (b *backend) TurnCold() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.turnColdLocked()
}

// Crash crashes the process, which ends all its calls, and restarts it cold.
func (b *backend) Crash() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.crashLocked()
}

// SetDraining sets whether load reports show the endpoint as draining. A draining
// endpoint still accepts calls.
func (b *backend) SetDraining(draining bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.draining = draining
	b.recordLoadLocked()
}

// Stats returns the current counters.
func (b *backend) Stats() Stats {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.stats
}

func (f *faults) injectedDelay() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.delay
}

func (f *faults) shouldFail() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.failureRate > 0 && f.rng.Float64() < f.failureRate
}

func (f *faults) shouldCrash(c call) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.crashMarker == "" {
		return false
	}
	return strings.Contains(c.prompt, f.crashMarker) || bytes.Contains(c.input, []byte(f.crashMarker))
}

// nextStreamBreak returns the number of tokens after which this stream breaks,
// 0 for never.
func (f *faults) nextStreamBreak() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.streamsToBreak == 0 {
		return 0
	}
	f.streamsToBreak--
	return f.breakAfterTokens
}

// onResponse drops or misroutes a response that is ready, if the faults say so.
func (f *faults) onResponse(r response) (response, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	earlier := f.previous
	f.previous = r
	if f.responsesToDrop > 0 {
		f.responsesToDrop--
		return response{load: r.load}, errResponseLost
	}
	if f.responsesToMisroute > 0 {
		f.responsesToMisroute--
		return misrouted(earlier, r), nil
	}
	return r, nil
}

// misrouted returns the response earlier, or one with an unknown attempt id if
// there is no earlier one.
func misrouted(earlier, r response) response {
	if earlier.attempt == "" {
		return response{attempt: "none", output: json.RawMessage(`"crossed"`), load: r.load}
	}
	return earlier
}
