// Package invariant checks the invariants of the system in failure tests. It
// records what callers sent and received, reads the stand-ins' counters, and
// lists every violation. A Recorder is safe for concurrent use.
package invariant

import (
	"encoding/json"
	"fmt"
	"sync"

	"github.com/pimentorill/pimentorill/internal/app"
	"github.com/pimentorill/pimentorill/internal/core/cost"
	"github.com/pimentorill/pimentorill/internal/core/release"
	"github.com/pimentorill/pimentorill/internal/core/verdict"
	"github.com/pimentorill/pimentorill/internal/standin"
)

// Outcome is what a caller sent and got for one send of a request.
type Outcome struct {
	// Key is the idempotency key sent, empty if none.
	Key   string
	Input json.RawMessage
	// Response is the complete response; nil if the request was refused or failed.
	Response *app.RunResponse
	// Verdict is the verdict of the refusal or failure, empty if there is a
	// Response. A broken connection counts as MayHaveRun.
	Verdict verdict.Verdict
	// Streamed is the text of the received tokens, if the response was a stream.
	Streamed *string
}

// Recorder collects the outcomes and observations of one test. mu guards all its
// fields; callers of the unexported methods hold it.
type Recorder struct {
	mu              sync.Mutex
	outcomes        []Outcome
	highestVersions map[string]uint64
	violations      []string
	idleEndpoints   []idleEndpoint
}

// idleEndpoint is an endpoint that must not start more calls than the
// startedBefore that it had started when ExpectNoNewWork was called.
type idleEndpoint struct {
	endpoint      string
	reason        string
	startedBefore int
	stats         func() standin.Stats
}

// New returns an empty Recorder.
func New() *Recorder { return &Recorder{highestVersions: map[string]uint64{}} }

// Add records an outcome.
func (r *Recorder) Add(outcome Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcomes = append(r.outcomes, outcome)
}

// OutcomeCount returns the number of outcomes recorded.
func (r *Recorder) OutcomeCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.outcomes)
}

// ObserveVersion records the release version that is active on a host. A lower
// version than before is a violation.
func (r *Recorder) ObserveVersion(host string, version uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if before := r.highestVersions[host]; version < before {
		r.addViolation("host %s went back from release %d to %d", host, before, version)
	}
	r.highestVersions[host] = max(version, r.highestVersions[host])
}

// ExpectNoNewWork requires that an endpoint starts no call from now on, until
// AllowNewWork. stats returns the endpoint's current counters; reason completes
// "although it was".
func (r *Recorder) ExpectNoNewWork(endpoint, reason string, stats func() standin.Stats) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.idleEndpoints = append(r.idleEndpoints, idleEndpoint{endpoint: endpoint, reason: reason, startedBefore: stats().Started, stats: stats})
}

// AllowNewWork checks all requirements of ExpectNoNewWork and ends them.
func (r *Recorder) AllowNewWork() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.checkIdleEndpoints()
	r.idleEndpoints = nil
}

// checkIdleEndpoints records a violation for each endpoint that started a call
// although ExpectNoNewWork forbids it.
func (r *Recorder) checkIdleEndpoints() {
	for _, e := range r.idleEndpoints {
		if now := e.stats().Started; now > e.startedBefore {
			r.addViolation("endpoint %s started %d calls although it was %s", e.endpoint, now-e.startedBefore, e.reason)
		}
	}
}

func (r *Recorder) addViolation(format string, args ...any) {
	r.violations = append(r.violations, fmt.Sprintf(format, args...))
}

// Violations checks everything recorded against the fleet and returns one line for
// each violation found so far; none if all invariants hold. It must be called only
// once, at the end: a further call lists the same violations again.
func (r *Recorder) Violations(f *standin.Fleet) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.checkIdleEndpoints()
	r.checkKeys(f.RunCounter)
	r.checkColdLimits(f)
	for _, outcome := range r.outcomes {
		r.checkResponse(f, outcome)
	}
	return r.violations
}

// checkKeys checks that no key ran twice, that no key ran if all its responses
// said not_run, and that each key with a result ran.
func (r *Recorder) checkKeys(counter *standin.RunCounter) {
	for _, key := range counter.RepeatedKeys() {
		r.addViolation("key %s ran %d times", key, counter.Runs(key))
	}
	mayRun := map[string]bool{}
	for _, outcome := range r.outcomes {
		if outcome.Key != "" && (outcome.Response != nil || outcome.Verdict != verdict.NotRun) {
			mayRun[outcome.Key] = true
		}
	}
	for _, outcome := range r.outcomes {
		if outcome.Key != "" && !mayRun[outcome.Key] && counter.Runs(outcome.Key) > 0 {
			r.addViolation("key %s ran although every response said not_run", outcome.Key)
		}
		if outcome.Key != "" && outcome.Response != nil && counter.Runs(outcome.Key) == 0 {
			r.addViolation("key %s got a result although it never ran", outcome.Key)
		}
	}
}

// checkColdLimits checks that no cold endpoint received more calls than its limit,
// except for calls sent before its cold start was reported.
func (r *Recorder) checkColdLimits(f *standin.Fleet) {
	for _, e := range f.Endpoints {
		stats := f.StatsFunc(e.ID)()
		if n := stats.ColdOverruns - stats.UnreportedOverruns; n > 0 {
			r.addViolation("endpoint %s crashed %d times: callers exceeded its cold limit after its cold start was reported", e.ID, n)
		}
	}
}

// TotalCharged returns what all endpoints of the fleet charged, at the prices of
// the fleet's release note, in millionths of the currency unit.
func TotalCharged(f *standin.Fleet) int64 {
	var sum int64
	// The guidebook pipeline uses all services but the bookings service.
	for _, p := range f.Note("prices", nil).Added.Pipelines[:1] {
		for _, s := range p.Stages {
			sum += stageCharged(f, s)
		}
	}
	book := f.Note("prices", nil).Added.Pipelines[1].Stages[1]
	return sum + stageCharged(f, book)
}

// stageCharged returns what the endpoints of a stage's service charged at its price.
func stageCharged(f *standin.Fleet, s release.Stage) int64 {
	var sum int64
	for _, e := range f.Endpoints {
		if e.Service == s.Service {
			sum += cost.Amount(s.Price, f.Charged(e.ID))
		}
	}
	return sum
}

// CheckBooks records a violation if booked, the total of the cost books, differs
// from TotalCharged.
func (r *Recorder) CheckBooks(f *standin.Fleet, booked int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if want := TotalCharged(f); booked != want {
		r.addViolation("the cost books hold %d, the endpoints charged %d", booked, want)
	}
}
