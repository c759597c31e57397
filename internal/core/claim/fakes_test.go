package claim

import (
	"context"
	"encoding/binary"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"

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
	// epoch rises with each restore.
	epoch     int64
	entries   map[string]port.Entry
	expiresAt map[string]time.Time
}

func newMemoryStore(random *randomSource) *memoryStore {
	return &memoryStore{
		random: random, latency: 2 * time.Millisecond, unavailable: func() bool { return false }, epoch: 1,
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
	e.Epoch = s.epoch
	if !ok {
		return port.Entry{Epoch: s.epoch}, port.ErrNotFound
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

func (s *memoryStore) CompareAndSwap(ctx context.Context, key string, prev uint64, value []byte, ttl time.Duration) (port.Entry, error) {
	return s.CompareAndSwapInEpoch(ctx, 0, key, prev, value, ttl)
}

func (s *memoryStore) CompareAndSwapInEpoch(_ context.Context, epoch int64, key string, prev uint64, value []byte, ttl time.Duration) (port.Entry, error) {
	if err := s.beginCall(); err != nil {
		return port.Entry{}, err
	}
	if !s.random.percent(s.lostResponsePercent) {
		return s.put(epoch, key, prev, value, ttl)
	}
	switch s.random.intn(3) {
	case 0: // lost before the write
	case 1: // lost after the write
		_, _ = s.put(epoch, key, prev, value, ttl)
	case 2: // the write takes effect late
		delay := time.Duration(s.random.intn(1000)) * time.Millisecond
		time.AfterFunc(delay, func() { _, _ = s.put(epoch, key, prev, value, ttl) })
	}
	return port.Entry{}, port.ErrUncertain
}

// put executes a compare-and-swap without faults.
func (s *memoryStore) put(epoch int64, key string, prev uint64, value []byte, ttl time.Duration) (port.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, _ := s.liveEntry(key)
	e.Epoch = s.epoch
	if (e.Revision != prev || epoch != 0 && epoch != s.epoch) && !s.ignoreRevision {
		return e, port.ErrConflict
	}
	s.revision++
	e = port.Entry{Key: key, Value: value, Revision: s.revision, Epoch: s.epoch}
	s.entries[key] = e
	s.expiresAt[key] = time.Now().Add(ttl)
	return e, nil
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
	if fault == faultSlowRun {
		sleep(2500 * time.Millisecond)
	}
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
	// faultSlowRun means that the service responds after 2.5 s. Only scenarios with
	// restores have it.
	faultSlowRun
)

var errHostCrashed = errors.New("host crashed")

// keyOfInput returns the key at the beginning of an input.
func keyOfInput(input string) string { return strings.SplitN(input, "#", 2)[0] }
