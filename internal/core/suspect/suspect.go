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
	// suspectLife is how long a request stays a suspect without a trial.
	suspectLife = 10 * time.Minute
	// trialLife is how long a trial holds its request and its endpoint; a
	// longer one is taken as that of a host that died.
	trialLife = 30 * time.Second
	// quarantineLife is how long a request is refused after its last sending.
	quarantineLife = 24 * time.Hour
	// renewAfter is the age at which a quarantine is prolonged.
	renewAfter = time.Hour
	// maxMarks bounds the requests that a host remembers.
	maxMarks = 4096
	// maxDeaths bounds the suspects remembered for each endpoint.
	maxDeaths = 16
	// trialPatience bounds how long an attempt waits for a trial to end.
	trialPatience = time.Second
	// heldRetryAfter is when a caller may send a request again whose trial is
	// under way.
	heldRetryAfter = 2 * time.Second
)

// Fingerprint identifies a request by customer, pipeline and input, or such a
// request's work on one service.
type Fingerprint [16]byte

// Of returns the fingerprint of a request.
func Of(customer, pipeline string, input []byte) Fingerprint {
	return hashParts([]byte(customer), []byte(pipeline), input)
}

// On returns the fingerprint of a request's work on a service: a request that
// crashes one service's endpoints is not cleared by another's.
func (f Fingerprint) On(service string) Fingerprint {
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
	Print Fingerprint `cbor:"1,keyasint"`
	State State       `cbor:"2,keyasint"`
	// Endpoint is the one that died or that the trial runs on.
	Endpoint string `cbor:"3,keyasint"`
	// Incarnation is the endpoint's at the start of the trial.
	Incarnation string `cbor:"4,keyasint"`
	Host        string `cbor:"5,keyasint"`
	// At and Until are Unix milliseconds: when it was made, when it ends.
	At    int64 `cbor:"6,keyasint"`
	Until int64 `cbor:"7,keyasint"`
	// Began is when the trial began, in Unix milliseconds.
	Began int64 `cbor:"8,keyasint"`
}

// Version orders the records of one request.
func (r Record) Version() uint64 { return uint64(r.At)<<2 | uint64(r.State) }

// Config is what a Guard needs. All of it is read only.
type Config struct {
	Host  string
	Store port.Store
	Clock port.Clock
	// Probe returns an endpoint's own report on itself.
	Probe func(ctx context.Context, endpoint string) (port.LoadReport, error)
	// Spread tells the other hosts. It returns once those that can be told
	// directly know. It is called without locks held.
	Spread func(r Record)
	// Changed is told of each quarantine that this host decides on or
	// releases; nil if nobody asks.
	Changed func(r Record, action string)
	// Witness enters attempts with other hosts; nil on a host without others.
	Witness Witness
	// Go runs fn on a goroutine; nil means a new one for each.
	Go func(fn func())
}

// Guard watches the attempts of one host. It is safe for concurrent use.
type Guard struct {
	cfg     Config
	life    context.Context
	end     context.CancelFunc
	mu      sync.Mutex
	marks   map[Fingerprint]Record
	running map[string]int
	// deaths holds the last suspects of each endpoint, by the time that it died.
	deaths map[string][]Record
	// turns holds one place for each endpoint's trials.
	turns map[string]chan struct{}
	// attempts holds what this host is the witness of.
	attempts map[Fingerprint][]kept
	// incarnations holds what each endpoint last reported.
	incarnations map[string]string
	// changed is closed and replaced when an attempt leaves an endpoint.
	changed chan struct{}
}

// New returns a Guard that suspects nobody.
func New(cfg Config) *Guard {
	if cfg.Go == nil {
		cfg.Go = func(fn func()) { go fn() }
	}
	g := &Guard{cfg: cfg, marks: make(map[Fingerprint]Record), running: make(map[string]int), deaths: make(map[string][]Record), turns: make(map[string]chan struct{}), attempts: make(map[Fingerprint][]kept), incarnations: make(map[string]string), changed: make(chan struct{})}
	g.life, g.end = context.WithCancel(context.Background())
	return g
}

// Close ends the Guard's goroutines.
func (g *Guard) Close() { g.end() }

// Check refuses a request that is quarantined or on trial. Callers use it
// before they spend anything on a request. The error is a *verdict.Error.
func (g *Guard) Check(f Fingerprint) error {
	r := g.lookup(f)
	switch r.State {
	case Quarantined:
		g.renew(r)
		return verdict.New(verdict.CodeQuarantined, verdict.MayHaveRun, "this request crashed two endpoints and is quarantined as "+f.String())
	case OnTrial:
		return held()
	default:
		return nil
	}
}

func held() *verdict.Error {
	return verdict.New(verdict.CodeNoCapacity, verdict.MayHaveRun, "an endpoint died while it ran this request; the request is being tried alone").WithRetryAfter(heldRetryAfter)
}

// Ending is how an attempt ended, as far as its endpoint goes.
type Ending uint8

// The endings of an attempt.
const (
	// NotTried means that the request was not sent, or cancelled.
	NotTried Ending = iota
	// Survived means that the endpoint answered, if only with an error.
	Survived
	// Died means that the connection broke in the middle.
	Died
)

// Leave ends an attempt.
type Leave func(e Ending)

// Enter begins an attempt of a request on an endpoint. A suspect's attempt
// waits until it is alone there. The error is a *verdict.Error with NotRun;
// without one, Leave is called once.
func (g *Guard) Enter(ctx context.Context, f Fingerprint, endpoint string) (Leave, error) {
	if err := g.Check(f); err != nil {
		return nil, verdict.From(err).WithVerdict(verdict.NotRun)
	}
	if g.lookup(f).State == Suspect || g.consult(ctx, f, endpoint) {
		if err := g.Check(f); err != nil {
			return nil, verdict.From(err).WithVerdict(verdict.NotRun)
		}
		return g.enterTrial(ctx, f, endpoint)
	}
	if !g.beginSoon(ctx, endpoint) {
		g.dismiss(f, endpoint)
		return nil, verdict.New(verdict.CodeNoCapacity, verdict.NotRun, "the endpoint is kept free for a trial").WithRetryAfter(heldRetryAfter)
	}
	return func(e Ending) {
		g.leave(endpoint)
		if e == Died {
			g.forgetIncarnation(endpoint)
			g.mark(Record{Print: f, State: Suspect, Endpoint: endpoint}, suspectLife)
		}
		g.dismiss(f, endpoint)
	}, nil
}

// beginSoon counts an attempt in, once a trial that keeps the endpoint free
// has ended; false if that lasts too long.
func (g *Guard) beginSoon(ctx context.Context, endpoint string) bool {
	if g.begin(endpoint) {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, trialPatience)
	defer cancel()
	look := time.NewTicker(probePause)
	defer look.Stop()
	for {
		select {
		case <-look.C:
			if g.begin(endpoint) {
				return true
			}
		case <-ctx.Done():
			return false
		}
	}
}

// begin counts an attempt in unless the endpoint is kept free for a trial.
func (g *Guard) begin(endpoint string) bool {
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
	for _, r := range g.marks {
		if r.State == OnTrial && r.Endpoint == endpoint && r.Until > now {
			return true
		}
	}
	return false
}

func (g *Guard) leave(endpoint string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running[endpoint]--
	if g.running[endpoint] == 0 {
		delete(g.running, endpoint)
	}
	close(g.changed)
	g.changed = make(chan struct{})
}

// lookup returns what is known of a request. An expired trial leaves a suspect.
func (g *Guard) lookup(f Fingerprint) Record {
	g.mu.Lock()
	defer g.mu.Unlock()
	r, ok := g.marks[f]
	now := g.cfg.Clock.Now().UnixMilli()
	switch {
	case !ok:
		return Record{Print: f}
	case r.Until > now:
		return r
	case r.State == OnTrial && r.Until+suspectLife.Milliseconds() > now:
		r.State = Suspect
		return r
	default:
		delete(g.marks, f)
		return Record{Print: f}
	}
}

// mark notes a record of this host and tells the others.
func (g *Guard) mark(r Record, life time.Duration) Record {
	now := g.cfg.Clock.Now()
	r.Host = g.cfg.Host
	r.At = max(now.UnixMilli(), g.lookup(r.Print).At+1)
	r.Until = now.Add(life).UnixMilli()
	g.Merge(r)
	g.cfg.Spread(r)
	return r
}

// Merge takes in a record of any host. The newest one of a request wins.
func (g *Guard) Merge(r Record) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if known, ok := g.marks[r.Print]; ok && known.Version() >= r.Version() {
		return
	}
	g.makeRoom()
	g.marks[r.Print] = r
	if r.State == Suspect && r.Endpoint != "" {
		g.noteDeath(r)
	}
}

// noteDeath remembers that the endpoint died while it ran the request.
func (g *Guard) noteDeath(r Record) {
	deaths := append(g.deaths[r.Endpoint], r)
	if len(deaths) > maxDeaths {
		deaths = deaths[len(deaths)-maxDeaths:]
	}
	g.deaths[r.Endpoint] = deaths
}

// trialEndpointParts is the part of a service's endpoints, one in
// trialEndpointParts, that trials run on.
const trialEndpointParts = 4

// TrialEndpoints returns the endpoints of a service that trials run on: the
// same ones on all hosts.
func TrialEndpoints(endpoints []string) []string {
	sorted := slices.Clone(endpoints)
	slices.SortFunc(sorted, func(a, b string) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)), cmp.Compare(a, b))
	})
	return sorted[:(len(sorted)+trialEndpointParts-1)/trialEndpointParts]
}

// makeRoom forgets the record that ends first, once there are too many.
func (g *Guard) makeRoom() {
	if len(g.marks) < maxMarks {
		return
	}
	var first Fingerprint
	ends := int64(-1)
	for f, r := range g.marks {
		if ends < 0 || r.Until < ends {
			first, ends = f, r.Until
		}
	}
	delete(g.marks, first)
}

// renew prolongs a quarantine whose request goes on coming in.
func (g *Guard) renew(r Record) {
	if g.cfg.Clock.Now().Sub(time.UnixMilli(r.At)) > renewAfter {
		g.mark(r, quarantineLife)
	}
}

// OnTrialNext reports whether the request's next attempt is a trial.
func (g *Guard) OnTrialNext(f Fingerprint) bool { return g.lookup(f).State == Suspect }

// Quarantined returns the requests that are refused.
func (g *Guard) Quarantined() []Record {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []Record
	for _, r := range g.marks {
		if r.State == Quarantined {
			out = append(out, r)
		}
	}
	return out
}
