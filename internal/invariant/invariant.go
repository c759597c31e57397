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

// Reply is what a caller got for one sending.
type Reply struct {
	// Key is the idempotency key sent, empty if none.
	Key   string
	Input json.RawMessage
	// Answer is the whole answer; nil if the request was refused or failed.
	Answer *app.RunResponse
	// Verdict is what the refusal or failure said. A broken connection counts
	// as MayHaveRun.
	Verdict verdict.Verdict
	// Streamed is the text of the tokens received, if the answer was a stream.
	Streamed *string
}

// Recorder collects replies and observations of one test.
type Recorder struct {
	mu       sync.Mutex
	replies  []Reply
	versions map[string]uint64
	found    []string
	marks    []mark
}

// mark is a count of calls that may not grow.
type mark struct {
	endpoint string
	reason   string
	started  int
	stats    func() standin.Stats
}

// New returns an empty Recorder.
func New() *Recorder { return &Recorder{versions: map[string]uint64{}} }

// Add records a reply.
func (r *Recorder) Add(reply Reply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.replies = append(r.replies, reply)
}

// Replies returns the number of replies recorded.
func (r *Recorder) Replies() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.replies)
}

// SawVersion records the release version that a host has in force. A version
// that goes back is a violation.
func (r *Recorder) SawVersion(host string, version uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if before := r.versions[host]; version < before {
		r.violate("host %s went back from release %d to %d", host, before, version)
	}
	r.versions[host] = max(version, r.versions[host])
}

// NoNewWork marks an endpoint that must begin no call from now on, until
// NewWorkAllowed.
func (r *Recorder) NoNewWork(endpoint, reason string, stats func() standin.Stats) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.marks = append(r.marks, mark{endpoint: endpoint, reason: reason, started: stats().Started, stats: stats})
}

// NewWorkAllowed checks and lifts the marks of NoNewWork.
func (r *Recorder) NewWorkAllowed() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.checkMarks()
	r.marks = nil
}

func (r *Recorder) checkMarks() {
	for _, m := range r.marks {
		if now := m.stats().Started; now > m.started {
			r.violate("endpoint %s began %d calls though it was %s", m.endpoint, now-m.started, m.reason)
		}
	}
}

func (r *Recorder) violate(format string, args ...any) {
	r.found = append(r.found, fmt.Sprintf(format, args...))
}

// Violations checks everything recorded against the fleet and returns one
// line for each rule that is broken; none if all hold.
func (r *Recorder) Violations(f *standin.Fleet) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.checkMarks()
	r.checkKeys(f.Register)
	r.checkCold(f)
	for _, reply := range r.replies {
		r.checkAnswer(f, reply)
	}
	return r.found
}

// checkKeys checks that no key ran twice and that each refusal that said
// not_run was true: a key with no other reply has not run.
func (r *Recorder) checkKeys(register *standin.Register) {
	for _, key := range register.Repeated() {
		r.violate("key %s ran %d times", key, register.Runs(key))
	}
	mayRun := map[string]bool{}
	for _, reply := range r.replies {
		if reply.Key != "" && (reply.Answer != nil || reply.Verdict != verdict.NotRun) {
			mayRun[reply.Key] = true
		}
	}
	for _, reply := range r.replies {
		if reply.Key != "" && !mayRun[reply.Key] && register.Runs(reply.Key) > 0 {
			r.violate("key %s ran, though every reply said not_run", reply.Key)
		}
		if reply.Key != "" && reply.Answer != nil && register.Runs(reply.Key) == 0 {
			r.violate("key %s was answered, though it never ran", reply.Key)
		}
	}
}

// checkCold checks that no endpoint in a cold start held more than it bears,
// but for what was under way when it turned cold unannounced.
func (r *Recorder) checkCold(f *standin.Fleet) {
	for _, e := range f.Endpoints {
		stats := f.Stats(e.ID)()
		if n := stats.ColdOverruns - stats.UnannouncedOverruns; n > 0 {
			r.violate("endpoint %s fell over %d times in a cold start under too much work", e.ID, n)
		}
	}
}

// Charged returns what all endpoints of the fleet charged, by the note's prices.
func Charged(f *standin.Fleet) int64 {
	var sum int64
	for _, p := range f.Note("prices", nil).Added.Pipelines[:1] {
		for _, s := range p.Stages {
			sum += charged(f, s)
		}
	}
	book := f.Note("prices", nil).Added.Pipelines[1].Stages[1]
	return sum + charged(f, book)
}

// charged returns what the endpoints of a stage's service charged at its price.
func charged(f *standin.Fleet, s release.Stage) int64 {
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
	if want := Charged(f); booked != want {
		r.violate("the books hold %d, the endpoints charged %d", booked, want)
	}
}
