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

// source is a seeded source of faults and bytes, safe for concurrent use.
type source struct {
	mu sync.Mutex
	r  *rand.Rand
}

func newSource(seed uint64) *source { return &source{r: rand.New(rand.NewPCG(seed, 1))} }

func (s *source) n(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.r.IntN(n)
}

func (s *source) percent(p int) bool { return s.n(100) < p }

func (s *source) Read(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := 0; i < len(p); i += 8 {
		var b [8]byte
		binary.LittleEndian.PutUint64(b[:], s.r.Uint64())
		copy(p[i:], b[:])
	}
	return len(p), nil
}

// pause waits in the test's virtual time.
func pause(d time.Duration) { <-time.After(d) }

// memoryStore is a store with faults. Only Get and Swap are used.
type memoryStore struct {
	port.Store
	rnd *source
	mu  sync.Mutex
	// away reports whether the store is in an outage.
	away func() bool
	// faults is the share of writes in percent whose answers are lost.
	faults  int
	latency time.Duration
	// ignoreRevision breaks compare-and-swap.
	ignoreRevision bool
	// perSecond limits the calls; 0 means no limit.
	perSecond int
	second    int64
	inSecond  int
	calls     int
	revision  uint64
	entries   map[string]port.Entry
	expires   map[string]time.Time
}

func newMemoryStore(rnd *source) *memoryStore {
	return &memoryStore{
		rnd: rnd, latency: 2 * time.Millisecond, away: func() bool { return false },
		entries: make(map[string]port.Entry), expires: make(map[string]time.Time),
	}
}

func (s *memoryStore) admit() error {
	pause(s.latency + time.Duration(s.rnd.n(2000))*time.Microsecond)
	if s.away() {
		return port.ErrUnavailable
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if now := time.Now().Unix(); now != s.second {
		s.second, s.inSecond = now, 0
	}
	s.inSecond++
	if s.perSecond > 0 && s.inSecond > s.perSecond {
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
	if err := s.admit(); err != nil {
		return port.Entry{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.current(key)
	if !ok {
		return port.Entry{}, port.ErrNotFound
	}
	return e, nil
}

func (s *memoryStore) current(key string) (port.Entry, bool) {
	if time.Now().After(s.expires[key]) {
		delete(s.entries, key)
	}
	e, ok := s.entries[key]
	return e, ok
}

func (s *memoryStore) CompareAndSwap(_ context.Context, key string, prev uint64, value []byte, ttl time.Duration) (port.Entry, error) {
	if err := s.admit(); err != nil {
		return port.Entry{}, err
	}
	if !s.rnd.percent(s.faults) {
		return s.put(key, prev, value, ttl)
	}
	switch s.rnd.n(3) {
	case 0: // lost before the write
	case 1: // lost after the write
		_, _ = s.put(key, prev, value, ttl)
	case 2: // the write takes effect late
		delay := time.Duration(s.rnd.n(1000)) * time.Millisecond
		time.AfterFunc(delay, func() { _, _ = s.put(key, prev, value, ttl) })
	}
	return port.Entry{}, port.ErrUncertain
}

func (s *memoryStore) put(key string, prev uint64, value []byte, ttl time.Duration) (port.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, _ := s.current(key)
	if e.Revision != prev && !s.ignoreRevision {
		return e, port.ErrConflict
	}
	s.revision++
	e = port.Entry{Key: key, Value: value, Revision: s.revision}
	s.entries[key] = e
	s.expires[key] = time.Now().Add(ttl)
	return e, nil
}

// network joins hosts; an answer or a question may be lost.
type network struct {
	rnd    *source
	faults int
	nodes  []*node
	// members is what all hosts see: the list lags, so that the dead stay in it.
	members []port.Member
}

// node is one host's view of the network.
type node struct {
	net      *network
	self     port.Member
	handlers map[string]func(context.Context, port.Member, []byte) ([]byte, error)
	// hop is the time that a message takes one way.
	hop time.Duration

	mu   sync.Mutex
	dead bool
}

func (n *network) add(id string) *node {
	h := &node{net: n, self: port.Member{ID: id, Incarnation: 1}, hop: time.Millisecond}
	h.handlers = make(map[string]func(context.Context, port.Member, []byte) ([]byte, error))
	n.nodes = append(n.nodes, h)
	n.members = append(n.members, h.self)
	return h
}

func (n *node) die() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.dead = true
}

func (n *node) isDead() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.dead
}

func (n *node) Self() port.Member { return n.self }

func (n *node) Members() []port.Member { return n.net.members }

func (n *node) Handle(kind string, fn func(context.Context, port.Member, []byte) ([]byte, error)) {
	n.handlers[kind] = fn
}

var (
	errNotSent = verdict.New(verdict.CodeInternal, verdict.NotRun, "no connection")
	errLost    = verdict.New(verdict.CodeInternal, verdict.MayHaveRun, "connection lost")
)

func (n *node) Ask(ctx context.Context, host, kind string, payload []byte) ([]byte, error) {
	pause(n.hop)
	for _, other := range n.net.nodes {
		if other.self.ID == host {
			return n.ask(ctx, other, kind, payload)
		}
	}
	return nil, errNotSent
}

func (n *node) ask(ctx context.Context, other *node, kind string, payload []byte) ([]byte, error) {
	if n.isDead() || other.isDead() || n.net.rnd.percent(n.net.faults) {
		return nil, errNotSent
	}
	answer, err := other.handlers[kind](ctx, n.self, payload)
	pause(n.hop)
	if other.isDead() || ctx.Err() != nil || n.net.rnd.percent(n.net.faults) {
		return nil, errLost
	}
	return answer, err
}

// hostStore is the store as one host reaches it: a dead host writes nothing.
type hostStore struct {
	*memoryStore
	host *node
}

func (s hostStore) CompareAndSwap(ctx context.Context, key string, prev uint64, value []byte, ttl time.Duration) (port.Entry, error) {
	if s.host.isDead() {
		return port.Entry{}, port.ErrUnavailable
	}
	return s.memoryStore.CompareAndSwap(ctx, key, prev, value, ttl)
}

// plainService counts its runs by key and remembers who sent them.
type plainService struct {
	mu   sync.Mutex
	runs map[string][]int
}

// serve runs a sending's request, with one of the faults of a plain service.
func (p *plainService) serve(key string, sending int, fault int) (string, error) {
	pause(time.Duration(5+sending%7) * time.Millisecond)
	if fault == faultRefused {
		return "", errNotSent
	}
	if fault == faultLostRequest {
		return "", errLost
	}
	p.mu.Lock()
	p.runs[key] = append(p.runs[key], sending)
	p.mu.Unlock()
	pause(time.Duration(5+sending%3) * time.Millisecond)
	if fault == faultLostAnswer {
		return "", errLost
	}
	return `"` + key + `"`, nil
}

func (p *plainService) ran(key string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.runs[key])
}

func (p *plainService) servedSending(sending int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, sendings := range p.runs {
		for _, s := range sendings {
			if s == sending {
				return true
			}
		}
	}
	return false
}

// The faults of one sending.
const (
	faultNone = iota
	faultRefused
	faultLostRequest
	faultLostAnswer
	faultHostDiesBefore
	faultHostDiesAfter
	faultPausedPastWindow
	faultCount
)

var errClient = errors.New("host died")

func keyOf(name string) string { return strings.SplitN(name, "#", 2)[0] }
