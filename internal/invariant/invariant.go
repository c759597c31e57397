// Package invariant checks what must hold at all times: it keeps what callers
// sent and got, looks at the stand-ins' counts, and lists every violation.
// Failure tests use it. A Recorder is safe for concurrent use.
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

// Outcome is what a caller got for one sending.
type Outcome struct {
	// Key is the idempotency key sent, empty if none.
	Key   string
	Input json.RawMessage
	// Response is the whole answer; nil if the request was refused or failed.
	Response *app.RunAnswer
	// Verdict is what the refusal or failure said. A broken connection counts
	// as MayHaveRun.
	Verdict verdict.Verdict
	// Streamed is the text of the tokens received, if the answer was a stream.
	Streamed *string
}

// Recorder collects replies and observations of one test.
type Recorder struct {
	mu            sync.Mutex
	outcomes      []Outcome
	versions      map[string]uint64
	violations    []string
	idleEndpoints []idleEndpoint
}

// mark is a count of calls that may not grow.
type idleEndpoint struct {
	endpoint string
	reason   string
	started  int
	stats    func() standin.Stats
}

// New returns an empty Recorder.
func New() *Recorder { return &Recorder{versions: map[string]uint64{}} }

// Add records a reply.
func (r *Recorder) Add(reply Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcomes = append(r.outcomes, reply)
}

// OutcomeCount returns the number of replies recorded.
func (r *Recorder) OutcomeCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.outcomes)
}

// ObserveVersion records the release version that a host has in force. A version
// that goes back is a violation.
func (r *Recorder) ObserveVersion(host string, version uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if before := r.versions[host]; version < before {
		r.addViolation("host %s went back from release %d to %d", host, before, version)
	}
	r.versions[host] = max(version, r.versions[host])
}

// ExpectNoNewWork marks an endpoint that must begin no call from now on, until
// AllowNewWork.
func (r *Recorder) ExpectNoNewWork(endpoint, reason string, stats func() standin.Stats) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.idleEndpoints = append(r.idleEndpoints, idleEndpoint{endpoint: endpoint, reason: reason, started: stats().Started, stats: stats})
}

// AllowNewWork checks and lifts the marks of ExpectNoNewWork.
func (r *Recorder) AllowNewWork() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.checkIdleEndpoints()
	r.idleEndpoints = nil
}

func (r *Recorder) checkIdleEndpoints() {
	for _, m := range r.idleEndpoints {
		if now := m.stats().Started; now > m.started {
			r.addViolation("endpoint %s began %d calls though it was %s", m.endpoint, now-m.started, m.reason)
		}
	}
}

func (r *Recorder) addViolation(format string, args ...any) {
	r.violations = append(r.violations, fmt.Sprintf(format, args...))
}

// Violations checks everything recorded against the fleet and returns one
// line for each rule that is broken; none if all hold.
func (r *Recorder) Violations(f *standin.Fleet) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.checkIdleEndpoints()
	r.checkKeys(f.RunCounter)
	r.checkColdLimits(f)
	for _, reply := range r.outcomes {
		r.checkResponse(f, reply)
	}
	return r.violations
}

// checkKeys checks that no key ran twice and that each refusal that said
// not_run was true: a key with no other reply has not run.
func (r *Recorder) checkKeys(register *standin.RunCounter) {
	for _, key := range register.RepeatedKeys() {
		r.addViolation("key %s ran %d times", key, register.Runs(key))
	}
	mayRun := map[string]bool{}
	for _, reply := range r.outcomes {
		if reply.Key != "" && (reply.Response != nil || reply.Verdict != verdict.NotRun) {
			mayRun[reply.Key] = true
		}
	}
	for _, reply := range r.outcomes {
		if reply.Key != "" && !mayRun[reply.Key] && register.Runs(reply.Key) > 0 {
			r.addViolation("key %s ran, though every reply said not_run", reply.Key)
		}
		if reply.Key != "" && reply.Response != nil && register.Runs(reply.Key) == 0 {
			r.addViolation("key %s was answered, though it never ran", reply.Key)
		}
	}
}

// checkColdLimits checks that no endpoint in a cold start held more than it bears,
// but for what was under way when it turned cold unannounced.
func (r *Recorder) checkColdLimits(f *standin.Fleet) {
	for _, e := range f.Endpoints {
		stats := f.Stats(e.ID)()
		if n := stats.ColdOverruns - stats.UnreportedOverruns; n > 0 {
			r.addViolation("endpoint %s fell over %d times in a cold start under too much work", e.ID, n)
		}
	}
}

// TotalCharged returns what all endpoints of the fleet charged, by the note's prices.
func TotalCharged(f *standin.Fleet) int64 {
	var sum int64
	for _, p := range f.Note("prices", nil).Added.Pipelines[:1] {
		for _, s := range p.Stages {
			sum += stageCharged(f, s)
		}
	}
	book := f.Note("prices", nil).Added.Pipelines[1].Stages[1]
	return sum + stageCharged(f, book)
}

// charged returns what the endpoints of a stage's service charged at its price.
func stageCharged(f *standin.Fleet, s release.Stage) int64 {
	var sum int64
	for _, e := range f.Endpoints {
		if e.Service == s.Service {
			sum += cost.Amount(s.Price, f.Charged(e.ID))
		}
	}
	return sum
}

// CheckBooks records a violation if the books' total differs from what the
// endpoints charged.
func (r *Recorder) CheckBooks(f *standin.Fleet, booked int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if want := TotalCharged(f); booked != want {
		r.addViolation("the books hold %d, the endpoints charged %d", booked, want)
	}
}
