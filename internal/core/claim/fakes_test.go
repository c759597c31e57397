package claim

import (
	"context"
	"encoding/binary"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/pimentorill/pimentorill/internal/core/verdict"
	"github.com/pimentorill/pimentorill/internal/port"
)

// randomSource is a seeded random source for faults and bytes. It is safe for
// concurrent use.
type randomSource struct {
	mu sync.Mutex
	r  *rand.Rand
}

func newRandomSource(seed uint64) *randomSource {
	return &randomSource{r: rand.New(rand.NewPCG(seed, 1))}
}

func (s *randomSource) intn(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.r.IntN(n)
}

func (s *randomSource) percent(p int) bool { return s.intn(100) < p }

func (s *randomSource) Read(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := 0; i < len(p); i += 8 {
		var b [8]byte
		binary.LittleEndian.PutUint64(b[:], s.r.Uint64())
		copy(p[i:], b[:])
	}
	return len(p), nil
}

// sleep blocks in the test's virtual time.
func sleep(d time.Duration) { <-time.After(d) }

// memoryStore is an in-memory store with fault injection. It implements only Get
// and CompareAndSwap.
type memoryStore struct {
	port.Store
	random *randomSource
	mu     sync.Mutex
	// unavailable reports whether the store has an outage.
	unavailable func() bool
	// lostResponsePercent is the percentage of writes whose responses are lost.
	lostResponsePercent int
	latency             time.Duration
	// ignoreRevision disables the check of compare-and-swap.
	ignoreRevision bool
	// maxCallsPerSecond limits the calls; 0 means no limit.
	maxCallsPerSecond int
	currentSecond     int64
	callsInSecond     int
	calls             int
	revision          uint64
	entries           map[string]port.Entry
	expiresAt         map[string]time.Time
}

func newMemoryStore(random *randomSource) *memoryStore {
	return &memoryStore{
		random: random, latency: 2 * time.Millisecond, unavailable: func() bool { return false },
		entries: make(map[string]port.Entry), expiresAt: make(map[string]time.Time),
	}
}

// beginCall delays a call by the latency plus at most 2 ms, counts it, and returns
// an error during an outage or above the rate limit.
func (s *memoryStore) beginCall() error {
	sleep(s.latency + time.Duration(s.random.intn(2000))*time.Microsecond)
	if s.unavailable() {
		return port.ErrUnavailable
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if now := time.Now().Unix(); now != s.currentSecond {
		s.currentSecond, s.callsInSecond = now, 0
	}
	s.callsInSecond++
	if s.maxCallsPerSecond > 0 && s.callsInSecond > s.maxCallsPerSecond {
		return port.ErrRateLimited
	}
	return nil
}

func (s *memoryStore) callCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *memoryStore) Get(_ context.Context, key string) (port.Entry, error) {
	if err := s.beginCall(); err != nil {
		return port.Entry{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.liveEntry(key)
	if !ok {
		return port.Entry{}, port.ErrNotFound
	}
	return e, nil
}

// liveEntry returns the key's entry unless it has expired. The caller holds s.mu.
func (s *memoryStore) liveEntry(key string) (port.Entry, bool) {
	if time.Now().After(s.expiresAt[key]) {
		delete(s.entries, key)
	}
	e, ok := s.entries[key]
	return e, ok
}

func (s *memoryStore) CompareAndSwap(_ context.Context, key string, prev uint64, value []byte, ttl time.Duration) (port.Entry, error) {
	if err := s.beginCall(); err != nil {
		return port.Entry{}, err
	}
	if !s.random.percent(s.lostResponsePercent) {
		return s.put(key, prev, value, ttl)
	}
	switch s.random.intn(3) {
	case 0: // lost before the write
	case 1: // lost after the write
		_, _ = s.put(key, prev, value, ttl)
	case 2: // the write takes effect late
		delay := time.Duration(s.random.intn(1000)) * time.Millisecond
		time.AfterFunc(delay, func() { _, _ = s.put(key, prev, value, ttl) })
	}
	return port.Entry{}, port.ErrUncertain
}

// put executes a compare-and-swap without faults.
func (s *memoryStore) put(key string, prev uint64, value []byte, ttl time.Duration) (port.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, _ := s.liveEntry(key)
	if e.Revision != prev && !s.ignoreRevision {
		return e, port.ErrConflict
	}
	s.revision++
	e = port.Entry{Key: key, Value: value, Revision: s.revision}
	s.entries[key] = e
	s.expiresAt[key] = time.Now().Add(ttl)
	return e, nil
}

// network connects hosts; requests and replies may be lost.
type network struct {
	random *randomSource
	// lossPercent is the percentage of requests that are lost, and of replies.
	lossPercent int
	nodes       []*node
	// members is the list that all hosts see. It is stale: crashed hosts stay in
	// it.
	members []port.Member
}

// node is one host's connection to the network; it implements port.Peers.
type node struct {
	net      *network
	self     port.Member
	handlers map[string]func(context.Context, port.Member, []byte) ([]byte, error)
	// latency is the one-way latency of a message.
	latency time.Duration

	mu      sync.Mutex
	crashed bool
}

func (n *network) add(id string) *node {
	added := &node{net: n, self: port.Member{ID: id, Incarnation: 1}, latency: time.Millisecond}
	added.handlers = make(map[string]func(context.Context, port.Member, []byte) ([]byte, error))
	n.nodes = append(n.nodes, added)
	n.members = append(n.members, added.self)
	return added
}

func (n *node) crash() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.crashed = true
}

func (n *node) isCrashed() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.crashed
}

func (n *node) Self() port.Member { return n.self }

func (n *node) Members() []port.Member { return n.net.members }

func (n *node) Handle(kind string, fn func(context.Context, port.Member, []byte) ([]byte, error)) {
	n.handlers[kind] = fn
}

var (
	errNotSent        = verdict.New(verdict.CodeInternal, verdict.NotRun, "no connection")
	errConnectionLost = verdict.New(verdict.CodeInternal, verdict.MayHaveRun, "connection lost")
)

func (n *node) Ask(ctx context.Context, host, kind string, payload []byte) ([]byte, error) {
	sleep(n.latency)
	for _, other := range n.net.nodes {
		if other.self.ID == host {
			return n.ask(ctx, other, kind, payload)
		}
	}
	return nil, errNotSent
}

func (n *node) ask(ctx context.Context, other *node, kind string, payload []byte) ([]byte, error) {
	if n.isCrashed() || other.isCrashed() || n.net.random.percent(n.net.lossPercent) {
		return nil, errNotSent
	}
	reply, err := other.handlers[kind](ctx, n.self, payload)
	sleep(n.latency)
	if other.isCrashed() || ctx.Err() != nil || n.net.random.percent(n.net.lossPercent) {
		return nil, errConnectionLost
	}
	return reply, err
}

// hostStore is one host's access to the store: a crashed host writes nothing.
type hostStore struct {
	*memoryStore
	host *node
}

func (s hostStore) CompareAndSwap(ctx context.Context, key string, prev uint64, value []byte, ttl time.Duration) (port.Entry, error) {
	if s.host.isCrashed() {
		return port.Entry{}, port.ErrUnavailable
	}
	return s.memoryStore.CompareAndSwap(ctx, key, prev, value, ttl)
}

// plainService records the submissions that it ran.
type plainService struct {
	mu sync.Mutex
	// runs holds the IDs of the submissions by their input.
	runs map[string][]int
}

// serve runs the request of a submission, with fault injection. Its output is the
// quoted input.
func (p *plainService) serve(input string, submissionID int, fault int) (string, error) {
	sleep(time.Duration(5+submissionID%7) * time.Millisecond)
	if fault == faultRefused {
		return "", errNotSent
	}
	if fault == faultLostRequest {
		return "", errConnectionLost
	}
	p.mu.Lock()
	p.runs[input] = append(p.runs[input], submissionID)
	p.mu.Unlock()
	sleep(time.Duration(5+submissionID%3) * time.Millisecond)
	if fault == faultLostResponse {
		return "", errConnectionLost
	}
	return `"` + input + `"`, nil
}

func (p *plainService) runCount(input string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.runs[input])
}

func (p *plainService) ranSubmission(submissionID int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, submissionIDs := range p.runs {
		for _, id := range submissionIDs {
			if id == submissionID {
				return true
			}
		}
	}
	return false
}

// Faults that are injected into one submission.
const (
	faultNone    = iota
	faultRefused // the service is not reached, which the host knows
	// faultLostRequest means that the request to the service is lost.
	faultLostRequest
	// faultLostResponse means that the service's response is lost.
	faultLostResponse
	faultHostCrashesBeforeRun
	faultHostCrashesAfterRun
	// faultPausedPastWindow means that the host pauses between claim and run until
	// the claim may no longer be used.
	faultPausedPastWindow
	// faultCount is the number of faults, faultNone included.
	faultCount
)

var errHostCrashed = errors.New("host crashed")

// keyOfInput returns the key at the beginning of an input.
func keyOfInput(input string) string { return strings.SplitN(input, "#", 2)[0] }
