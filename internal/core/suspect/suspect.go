// Package suspect limits the damage of a poison request, one that crashes the
// endpoints that run it, to two endpoints, no matter which hosts it is sent
// through and how often.
//
// A request whose endpoint crashed is a suspect. Its next attempt is a trial:
// the only attempt of the request in the whole fleet, coordinated through the
// store, on an endpoint that runs nothing else. If that endpoint crashes too,
// the request is quarantined: all hosts refuse it for quarantineTTL, which a
// repeated request can extend. If it survives, the request is cleared.
package suspect

import (
	"cmp"
	"context"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pimentorill/pimentorill/internal/core/verdict"
	"github.com/pimentorill/pimentorill/internal/port"
)

const (
	// suspectTTL is how long a request stays a suspect without a trial, and how
	// long the record of a cleared request is kept.
	suspectTTL = 10 * time.Minute
	// trialTTL is how long a trial reserves its request and its endpoint. An
	// older trial is treated as abandoned by a failed host.
	trialTTL = 30 * time.Second
	// quarantineTTL is how long a request is refused after its quarantine
	// started or was last extended.
	quarantineTTL = 24 * time.Hour
	// quarantineExtendAge is the age of a quarantine's record from which a
	// repeated request extends the quarantine. It bounds how often the record
	// is broadcast.
	quarantineExtendAge = time.Hour
	// maxRecords bounds the records of requests that a host keeps.
	maxRecords = 4096
	// maxCrashesPerEndpoint bounds the crash records kept for each endpoint.
	maxCrashesPerEndpoint = 16
	// reservedWaitTimeout bounds how long an attempt waits for an endpoint
	// that is reserved for a trial.
	reservedWaitTimeout = time.Second
	// trialRetryAfter is the RetryAfter of a request that is refused because it
	// is on trial, because no endpoint became free for its trial or because of
	// another trial, or because the store is unavailable.
	trialRetryAfter = 2 * time.Second
)

// Fingerprint identifies a request by customer, pipeline and input, or the
// part of such a request that runs on one service.
type Fingerprint [16]byte

// NewFingerprint returns the fingerprint of a request.
func NewFingerprint(customer, pipeline string, input []byte) Fingerprint {
	return hashParts([]byte(customer), []byte(pipeline), input)
}

// ForService returns the fingerprint of the request's work on one service.
// Requests are tracked by service, because surviving on one service does not
// clear a request that crashes the endpoints of another.
func (f Fingerprint) ForService(service string) Fingerprint {
	return hashParts(f[:], []byte(service))
}

// hashParts hashes the parts with their lengths, so that different splits of
// the same bytes give different hashes.
func hashParts(parts ...[]byte) Fingerprint {
	h := sha256.New()
	var size [8]byte
	for _, part := range parts {
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		h.Write(size[:])
		h.Write(part)
	}
	return Fingerprint(h.Sum(nil)[:16])
}

// String returns the fingerprint in hexadecimal.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// State is what the fleet knows of a request.
type State uint8

// The states of a request. Among records created at the same time, the higher
// state wins.
const (
	// Clear means that the request is not suspected.
	Clear State = iota
	// Suspect means that an endpoint crashed while running the request.
	Suspect
	// OnTrial means that a host is running the request as a trial or is
	// waiting for the trial's result.
	OnTrial
	// Quarantined means that the request crashed two endpoints and is refused.
	Quarantined
)

// String returns the state's name.
func (s State) String() string {
	return [...]string{"clear", "suspect", "on_trial", "quarantined"}[s]
}

// Record is the state of a request as hosts exchange it.
type Record struct {
	Fingerprint Fingerprint `cbor:"1,keyasint"`
	State       State       `cbor:"2,keyasint"`
	// Endpoint is the endpoint that crashed or that the trial runs on; empty if
	// there is none or it must not count as crashed.
	Endpoint string `cbor:"3,keyasint"`
	// Incarnation is the endpoint's incarnation at the start of the trial;
	// set in OnTrial and Quarantined records.
	Incarnation string `cbor:"4,keyasint"`
	// Host is the id of the host that published the record.
	Host string `cbor:"5,keyasint"`
	// CreatedAt and ExpiresAt are in Unix milliseconds.
	CreatedAt int64 `cbor:"6,keyasint"`
	ExpiresAt int64 `cbor:"7,keyasint"`
	// TrialStartedAt is in Unix milliseconds; set in OnTrial and Quarantined
	// records.
	TrialStartedAt int64 `cbor:"8,keyasint"`
}

// Version orders the records of one request; the highest version wins.
func (r Record) Version() uint64 { return uint64(r.CreatedAt)<<2 | uint64(r.State) }

// Config holds the settings and dependencies of a Guard. It must not be
// changed after New.
type Config struct {
	// Host is this host's id.
	Host string
	// Store holds the trials and quarantines of the whole fleet.
	Store port.Store
	Clock port.Clock
	// Probe returns an endpoint's load report, or an error if the endpoint does
	// not respond. It is called without locks held.
	Probe func(ctx context.Context, endpoint string) (port.LoadReport, error)
	// Broadcast sends a record to the other hosts. It may block for a short
	// time, until the hosts that it contacts directly have received the record;
	// the others may receive it later. It is called without locks held.
	Broadcast func(r Record)
	// OnQuarantineChange is called with the action "quarantine" or "release"
	// for each quarantine that this host starts or ends; may be nil. It is
	// called without locks held.
	OnQuarantineChange func(r Record, action string)
	// Witness registers attempts with other hosts; nil on a single host.
	Witness Witness
	// Go runs fn on a goroutine; nil starts a new one for each call.
	Go func(fn func())
}

// Guard tracks the attempts of one host. It is safe for concurrent use.
type Guard struct {
	cfg    Config
	ctx    context.Context // ends with Close
	cancel context.CancelFunc
	// mu guards the fields below. The caller of a method whose name ends in
	// Locked holds it.
	mu      sync.Mutex
	records map[Fingerprint]Record
	// runningAttempts counts this host's attempts in progress on each endpoint,
	// without trials.
	runningAttempts map[string]int
	// crashes holds the latest crash records of each endpoint in order of arrival.
	crashes map[string][]Record
	// trialLocks holds a one-place semaphore for each endpoint, which this
	// host's trial on that endpoint holds.
	trialLocks map[string]chan struct{}
	// witnessed holds the attempts of other hosts that this host is the
	// witness of.
	witnessed map[Fingerprint][]witnessedAttempt
	// incarnations holds the last reported incarnation of each endpoint.
	incarnations map[string]string
	// attemptEnded is closed and replaced whenever an attempt of this host
	// ends, on any endpoint.
	attemptEnded chan struct{}
}

// New returns a Guard without records.
func New(cfg Config) *Guard {
	if cfg.Go == nil {
		cfg.Go = func(fn func()) { go fn() }
	}
	g := &Guard{cfg: cfg, records: make(map[Fingerprint]Record), runningAttempts: make(map[string]int), crashes: make(map[string][]Record), trialLocks: make(map[string]chan struct{}), witnessed: make(map[Fingerprint][]witnessedAttempt), incarnations: make(map[string]string), attemptEnded: make(chan struct{})}
	g.ctx, g.cancel = context.WithCancel(context.Background())
	return g
}

// Close stops the Guard's goroutines.
func (g *Guard) Close() { g.cancel() }

// Check refuses a request that is quarantined or on trial; a quarantine is
// extended if its record is old enough. Callers use it before they spend
// resources on a request. The error is a *verdict.Error.
func (g *Guard) Check(f Fingerprint) error {
	r := g.lookup(f)
	switch r.State {
	case Quarantined:
		g.extendQuarantine(r)
		return verdict.New(verdict.CodeQuarantined, verdict.MayHaveRun, "this request crashed two endpoints and is quarantined as "+f.String())
	case OnTrial:
		return trialInProgress()
	default:
		return nil
	}
}

func trialInProgress() *verdict.Error {
	return verdict.New(verdict.CodeNoCapacity, verdict.MayHaveRun, "an endpoint died while it ran this request; the request is being tried alone").WithRetryAfter(trialRetryAfter)
}

// AttemptResult is the effect of an attempt on its endpoint.
type AttemptResult uint8

// The results of an attempt.
const (
	// Inconclusive means that the attempt does not show whether the endpoint
	// survives the request: it was not sent, was cancelled, or expired.
	Inconclusive AttemptResult = iota
	// Survived means that the endpoint responded, possibly with an error.
	Survived
	// Crashed means that the connection broke during the attempt, so that the
	// endpoint has probably crashed.
	Crashed
)

// DoneFunc ends an attempt with its result. It may block on the store and on
// Broadcast.
type DoneFunc func(result AttemptResult)

// Admit starts an attempt of a request on an endpoint. The attempt of a
// suspect is a trial and waits until the endpoint runs nothing else; any other
// attempt waits up to reservedWaitTimeout if the endpoint is reserved. The
// error is a *verdict.Error, and the attempt must not be sent then; without an
// error, the caller calls the DoneFunc exactly once.
func (g *Guard) Admit(ctx context.Context, f Fingerprint, endpoint string) (DoneFunc, error) {
	if err := g.Check(f); err != nil {
		return nil, verdict.From(err).WithVerdict(verdict.NotRun)
	}
	if g.lookup(f).State == Suspect || g.registerAndDetectCrash(ctx, f, endpoint) {
		if err := g.Check(f); err != nil {
			return nil, verdict.From(err).WithVerdict(verdict.NotRun)
		}
		return g.admitTrial(ctx, f, endpoint)
	}
	if !g.waitAndBegin(ctx, endpoint) {
		g.unregister(f, endpoint)
		return nil, verdict.New(verdict.CodeNoCapacity, verdict.NotRun, "the endpoint is kept free for a trial").WithRetryAfter(trialRetryAfter)
	}
	return func(result AttemptResult) {
		g.endAttempt(endpoint)
		if result == Crashed {
			g.forgetIncarnation(endpoint)
			g.publish(Record{Fingerprint: f, State: Suspect, Endpoint: endpoint}, suspectTTL)
		}
		g.unregister(f, endpoint)
	}, nil
}

// waitAndBegin counts a new attempt as running, once the endpoint is not
// reserved for a trial. It returns false if that takes longer than
// reservedWaitTimeout or if ctx ends first.
func (g *Guard) waitAndBegin(ctx context.Context, endpoint string) bool {
	if g.tryBegin(endpoint) {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, reservedWaitTimeout)
	defer cancel()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			if g.tryBegin(endpoint) {
				return true
			}
		case <-ctx.Done():
			return false
		}
	}
}

// tryBegin counts a new attempt as running unless the endpoint is reserved for
// a trial.
func (g *Guard) tryBegin(endpoint string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.reservedLocked(endpoint) {
		return false
	}
	g.runningAttempts[endpoint]++
	return true
}

// Reserved reports whether the endpoint is reserved for a trial of any host.
func (g *Guard) Reserved(endpoint string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.reservedLocked(endpoint)
}

func (g *Guard) reservedLocked(endpoint string) bool {
	now := g.cfg.Clock.Now().UnixMilli()
	for _, r := range g.records {
		if r.State == OnTrial && r.Endpoint == endpoint && r.ExpiresAt > now {
			return true
		}
	}
	return false
}

func (g *Guard) endAttempt(endpoint string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.runningAttempts[endpoint]--
	if g.runningAttempts[endpoint] == 0 {
		delete(g.runningAttempts, endpoint)
	}
	close(g.attemptEnded)
	g.attemptEnded = make(chan struct{})
}

// lookup returns the request's record, or one with the state Clear if there is
// none. A request whose trial expired is a suspect again for suspectTTL. Other
// expired records are deleted.
func (g *Guard) lookup(f Fingerprint) Record {
	g.mu.Lock()
	defer g.mu.Unlock()
	r, ok := g.records[f]
	now := g.cfg.Clock.Now().UnixMilli()
	switch {
	case !ok:
		return Record{Fingerprint: f}
	case r.ExpiresAt > now:
		return r
	case r.State == OnTrial && r.ExpiresAt+suspectTTL.Milliseconds() > now:
		r.State = Suspect
		return r
	default:
		delete(g.records, f)
		return Record{Fingerprint: f}
	}
}

// publish stores a record as this host's, with a new creation time and expiry,
// broadcasts it and returns it. It is created later than the request's known
// record, so that it replaces that one on all hosts.
func (g *Guard) publish(record Record, ttl time.Duration) Record {
	now := g.cfg.Clock.Now()
	record.Host = g.cfg.Host
	record.CreatedAt = max(now.UnixMilli(), g.lookup(record.Fingerprint).CreatedAt+1)
	record.ExpiresAt = now.Add(ttl).UnixMilli()
	g.Merge(record)
	g.cfg.Broadcast(record)
	return record
}

// Merge stores a record of any host unless one of the same request with the
// same or a higher version is known. The record of a crash is also kept with
// its endpoint.
func (g *Guard) Merge(r Record) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if known, ok := g.records[r.Fingerprint]; ok && known.Version() >= r.Version() {
		return
	}
	g.evictRecordLocked()
	g.records[r.Fingerprint] = r
	if r.State == Suspect && r.Endpoint != "" {
		g.recordCrashLocked(r)
	}
}

// recordCrashLocked keeps the record of a crash with its endpoint, and drops the
// oldest one beyond maxCrashesPerEndpoint.
func (g *Guard) recordCrashLocked(r Record) {
	crashes := append(g.crashes[r.Endpoint], r)
	if len(crashes) > maxCrashesPerEndpoint {
		crashes = crashes[len(crashes)-maxCrashesPerEndpoint:]
	}
	g.crashes[r.Endpoint] = crashes
}

// trialEndpointDivisor limits trials to one in trialEndpointDivisor of a
// service's endpoints, rounded up.
const trialEndpointDivisor = 4

// TrialEndpoints returns the ids, out of those of a service's endpoints, that
// trials run on. All hosts with the same endpoints get the same ones.
func TrialEndpoints(endpoints []string) []string {
	sorted := slices.Clone(endpoints)
	slices.SortFunc(sorted, func(a, b string) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)), cmp.Compare(a, b))
	})
	return sorted[:(len(sorted)+trialEndpointDivisor-1)/trialEndpointDivisor]
}

// evictRecordLocked deletes the record that expires first if there are
// maxRecords of them.
func (g *Guard) evictRecordLocked() {
	if len(g.records) < maxRecords {
		return
	}
	var earliest Fingerprint
	earliestExpiry := int64(-1)
	for f, r := range g.records {
		if earliestExpiry < 0 || r.ExpiresAt < earliestExpiry {
			earliest, earliestExpiry = f, r.ExpiresAt
		}
	}
	delete(g.records, earliest)
}

// extendQuarantine extends the quarantine of a request that was sent again, if
// its record is older than quarantineExtendAge.
func (g *Guard) extendQuarantine(r Record) {
	if g.cfg.Clock.Now().Sub(time.UnixMilli(r.CreatedAt)) > quarantineExtendAge {
		g.publish(r, quarantineTTL)
	}
}

// NeedsTrial reports whether the request's next attempt is a trial.
func (g *Guard) NeedsTrial(f Fingerprint) bool { return g.lookup(f).State == Suspect }

// Quarantined returns the records of the quarantined requests, in no particular
// order. It may include some that have just expired.
func (g *Guard) Quarantined() []Record {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []Record
	for _, r := range g.records {
		if r.State == Quarantined {
			out = append(out, r)
		}
	}
	return out
}
