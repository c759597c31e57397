// Package suspect keeps a request that crashes endpoints from crashing more
// than two of them, through whichever hosts and however often it is sent.
//
// A request whose endpoint died is a suspect. Its next attempt is a trial: one
// in the whole fleet, settled in the store, alone on one endpoint. If that
// endpoint dies too, the request is quarantined on all hosts; if it lives, the
// request is cleared.
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
	// suspectTTL is how long a request stays a suspect without a trial.
	suspectTTL = 10 * time.Minute
	// trialTTL is how long a trial holds its request and its endpoint; a
	// longer one is taken as that of a host that died.
	trialTTL = 30 * time.Second
	// quarantineTTL is how long a request is refused after its last sending.
	quarantineTTL = 24 * time.Hour
	// quarantineExtendAge is the age at which a quarantine is prolonged.
	quarantineExtendAge = time.Hour
	// maxRecords bounds the requests that a host remembers.
	maxRecords = 4096
	// maxCrashesPerEndpoint bounds the suspects remembered for each endpoint.
	maxCrashesPerEndpoint = 16
	// reservedWaitTimeout bounds how long an attempt waits for a trial to end.
	reservedWaitTimeout = time.Second
	// trialRetryAfter is when a caller may send a request again whose trial is
	// under way.
	trialRetryAfter = 2 * time.Second
)

// Fingerprint identifies a request by customer, pipeline and input, or such a
// request's work on one service.
type Fingerprint [16]byte

// NewFingerprint returns the fingerprint of a request.
func NewFingerprint(customer, pipeline string, input []byte) Fingerprint {
	return hashParts([]byte(customer), []byte(pipeline), input)
}

// ForService returns the fingerprint of a request's work on a service: a request that
// crashes one service's endpoints is not cleared by another's.
func (f Fingerprint) ForService(service string) Fingerprint {
	return hashParts(f[:], []byte(service))
}

// hashParts hashes parts so that no two lists of parts run together.
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

// State is what the fleet thinks of a request.
type State uint8

// The states of a request. A higher one wins among records of the same time.
const (
	// Clear means that nothing is held against it.
	Clear State = iota
	// Suspect means that an endpoint died while running it.
	Suspect
	// OnTrial means that a host tries it, or waits for the trial's outcome.
	OnTrial
	// Quarantined means that it crashed two endpoints and is refused.
	Quarantined
)

// String returns the state's name.
func (s State) String() string {
	return [...]string{"clear", "suspect", "on_trial", "quarantined"}[s]
}

// Record is what a host tells the others of a request.
type Record struct {
	Fingerprint Fingerprint `cbor:"1,keyasint"`
	State       State       `cbor:"2,keyasint"`
	// Endpoint is the one that died or that the trial runs on.
	Endpoint string `cbor:"3,keyasint"`
	// Incarnation is the endpoint's at the start of the trial.
	Incarnation string `cbor:"4,keyasint"`
	Host        string `cbor:"5,keyasint"`
	// CreatedAt and Until are Unix milliseconds: when it was made, when it ends.
	CreatedAt int64 `cbor:"6,keyasint"`
	ExpiresAt int64 `cbor:"7,keyasint"`
	// TrialStartedAt is when the trial began, in Unix milliseconds.
	TrialStartedAt int64 `cbor:"8,keyasint"`
}

// Version orders the records of one request.
func (r Record) Version() uint64 { return uint64(r.CreatedAt)<<2 | uint64(r.State) }

// Config is what a Guard needs. All of it is read only.
type Config struct {
	Host  string
	Store port.Store
	Clock port.Clock
	// Probe returns an endpoint's own report on itself.
	Probe func(ctx context.Context, endpoint string) (port.Load, error)
	// Broadcast tells the other hosts. It returns once those that can be told
	// directly know. It is called without locks held.
	Broadcast func(r Record)
	// OnQuarantineChange is told of each quarantine that this host decides on or
	// releases; nil if nobody asks.
	OnQuarantineChange func(r Record, action string)
	// Witness enters attempts with other hosts; nil on a host without others.
	Witness Witness
	// Go runs fn on a goroutine; nil means a new one for each.
	Go func(fn func())
}

// Guard watches the attempts of one host. It is safe for concurrent use.
type Guard struct {
	cfg     Config
	ctx     context.Context
	cancel  context.CancelFunc
	mu      sync.Mutex
	records map[Fingerprint]Record
	running map[string]int
	// deaths holds the last suspects of each endpoint, by the time that it died.
	crashes map[string][]Record
	// turns holds one place for each endpoint's trials.
	trialSlots map[string]chan struct{}
	// attempts holds what this host is the witness of.
	witnessed map[Fingerprint][]witnessedAttempt
	// incarnations holds what each endpoint last reported.
	incarnations map[string]string
	// changed is closed and replaced when an attempt leaves an endpoint.
	attemptEnded chan struct{}
}

// New returns a Guard that suspects nobody.
func New(cfg Config) *Guard {
	if cfg.Go == nil {
		cfg.Go = func(fn func()) { go fn() }
	}
	g := &Guard{cfg: cfg, records: make(map[Fingerprint]Record), running: make(map[string]int), crashes: make(map[string][]Record), trialSlots: make(map[string]chan struct{}), witnessed: make(map[Fingerprint][]witnessedAttempt), incarnations: make(map[string]string), attemptEnded: make(chan struct{})}
	g.ctx, g.cancel = context.WithCancel(context.Background())
	return g
}

// Close ends the Guard's goroutines.
func (g *Guard) Close() { g.cancel() }

// Check refuses a request that is quarantined or on trial. Callers use it
// before they spend anything on a request. The error is a *verdict.Error.
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

// AttemptResult is how an attempt ended, as far as its endpoint goes.
type AttemptResult uint8

// The endings of an attempt.
const (
	// Inconclusive means that the request was not sent, or cancelled.
	Inconclusive AttemptResult = iota
	// Survived means that the endpoint answered, if only with an error.
	Survived
	// Crashed means that the connection broke in the middle.
	Crashed
)

// Unregister ends an attempt.
type DoneFunc func(e AttemptResult)

// Register begins an attempt of a request on an endpoint. A suspect's attempt
// waits until it is alone there. The error is a *verdict.Error with NotRun;
// without one, Leave is called once.
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
	return func(e AttemptResult) {
		g.endAttempt(endpoint)
		if e == Crashed {
			g.forgetIncarnation(endpoint)
			g.publish(Record{Fingerprint: f, State: Suspect, Endpoint: endpoint}, suspectTTL)
		}
		g.unregister(f, endpoint)
	}, nil
}

// waitAndBegin counts an attempt in, once a trial that keeps the endpoint free
// has ended; false if that lasts too long.
func (g *Guard) waitAndBegin(ctx context.Context, endpoint string) bool {
	if g.tryBegin(endpoint) {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, reservedWaitTimeout)
	defer cancel()
	look := time.NewTicker(probeInterval)
	defer look.Stop()
	for {
		select {
		case <-look.C:
			if g.tryBegin(endpoint) {
				return true
			}
		case <-ctx.Done():
			return false
		}
	}
}

// begin counts an attempt in unless the endpoint is kept free for a trial.
func (g *Guard) tryBegin(endpoint string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.reservedLocked(endpoint) {
		return false
	}
	g.running[endpoint]++
	return true
}

// Reserved reports whether the endpoint is kept free for a trial.
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
	g.running[endpoint]--
	if g.running[endpoint] == 0 {
		delete(g.running, endpoint)
	}
	close(g.attemptEnded)
	g.attemptEnded = make(chan struct{})
}

// lookup returns what is known of a request. An expired trial leaves a suspect.
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

// mark notes a record of this host and tells the others.
func (g *Guard) publish(r Record, life time.Duration) Record {
	now := g.cfg.Clock.Now()
	r.Host = g.cfg.Host
	r.CreatedAt = max(now.UnixMilli(), g.lookup(r.Fingerprint).CreatedAt+1)
	r.ExpiresAt = now.Add(life).UnixMilli()
	g.Merge(r)
	g.cfg.Broadcast(r)
	return r
}

// Merge takes in a record of any host. The newest one of a request wins.
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

// recordCrashLocked remembers that the endpoint died while it ran the request.
func (g *Guard) recordCrashLocked(r Record) {
	deaths := append(g.crashes[r.Endpoint], r)
	if len(deaths) > maxCrashesPerEndpoint {
		deaths = deaths[len(deaths)-maxCrashesPerEndpoint:]
	}
	g.crashes[r.Endpoint] = deaths
}

// trialEndpointDivisor is the part of a service's endpoints, one in
// trialEndpointDivisor, that trials run on.
const trialEndpointDivisor = 4

// TrialEndpoints returns the endpoints of a service that trials run on: the
// same ones on all hosts.
func TrialEndpoints(endpoints []string) []string {
	sorted := slices.Clone(endpoints)
	slices.SortFunc(sorted, func(a, b string) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)), cmp.Compare(a, b))
	})
	return sorted[:(len(sorted)+trialEndpointDivisor-1)/trialEndpointDivisor]
}

// evictRecordLocked forgets the record that ends first, once there are too many.
func (g *Guard) evictRecordLocked() {
	if len(g.records) < maxRecords {
		return
	}
	var first Fingerprint
	ends := int64(-1)
	for f, r := range g.records {
		if ends < 0 || r.ExpiresAt < ends {
			first, ends = f, r.ExpiresAt
		}
	}
	delete(g.records, first)
}

// renew prolongs a quarantine whose request goes on coming in.
func (g *Guard) extendQuarantine(r Record) {
	if g.cfg.Clock.Now().Sub(time.UnixMilli(r.CreatedAt)) > quarantineExtendAge {
		g.publish(r, quarantineTTL)
	}
}

// NeedsTrial reports whether the request's next attempt is a trial.
func (g *Guard) NeedsTrial(f Fingerprint) bool { return g.lookup(f).State == Suspect }

// Quarantined returns the requests that are refused.
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
