// Package hedge decides when a second endpoint is asked for a response that may be
// repeated, because the first one takes longer than most. It measures the responses by
// service, route and size of the request, keeps hedges within a share of a service's
// requests, and stops them while they don't help. It sends nothing itself.
package hedge

import (
	"math/bits"
	"sync"
	"time"
)

const (
	// maxServices and maxKeys bound the services and, for each, the kinds of requests that
	// state is kept for. At the limit an arbitrary one is dropped, which then starts anew.
	maxServices = 256
	maxKeys     = 64
	// maxSlowShare is the largest share of a kind of request that counts as slow.
	maxSlowShare = 0.05
	// minDelay is the shortest time after which a hedge is sent.
	minDelay = 5 * time.Millisecond
	// minDelayMedians is the shortest delay in multiples of the median: a hedge takes about a
	// median itself.
	minDelayMedians = 1.5
	// strayMedians is the delay in multiples of the median while no slow responses are known, and at
	// least the longest one: an endpoint may have turned slow.
	strayMedians = 3
	// maxCredit is the number of hedges that a service's requests can save up.
	maxCredit = 5
	// recentAttempts is the number of a service's latest attempts that tell whether its
	// responses are slow all over: half of them, of at least minRecent, are.
	recentAttempts = 16
	minRecent      = 8
	// A trial ends with minHedges hedges. Unless one in maxHedgesPerWin of them has won, no
	// hedge is sent for a number of requests, which doubles from minPause to maxPause with
	// each such trial in a row.
	minHedges       = 20
	maxHedgesPerWin = 4
	minPause        = 500
	maxPause        = 16_000
	// countedRequests is the number of requests after which older ones count half.
	countedRequests = 10_000
)

// Denial is a reason for which no hedge is sent for a slow attempt.
type Denial string

// The reasons that a Policy gives. Callers have others of their own.
const (
	// Allowed is no denial.
	Allowed Denial = ""
	// Paused means that too few of the latest hedges have won.
	Paused Denial = "paused"
	// SlowAllOver means that the service's responses are slow at most endpoints.
	SlowAllOver Denial = "slow_all_over"
	// Limit means that the service's requests have earned no further hedge.
	Limit Denial = "limit"
)

// Key is a kind of request: those of one key take about the same time.
type Key struct {
	Service, Route string
	// Size is a SizeClass.
	Size uint8
}

// SizeClass returns the class of a request's size, in tokens or bytes: each class is up to
// four times as large as the one before it.
func SizeClass(n int) uint8 { return uint8(bits.Len(uint(max(0, n))>>5) / 2) }

// Policy holds what one host has measured and may spend. It is safe for concurrent use.
type Policy struct {
	mu       sync.Mutex
	services map[string]*serviceState
}

// serviceState is the state kept for one service.
type serviceState struct {
	// credit is the number of hedges that may be sent now.
	credit float64
	// requests and repeatable count the service's requests and those of them that may be
	// hedged; older ones count less.
	requests, repeatable float64
	windows              map[Key]*window
	// slow says of each recent attempt whether it was slow; next is the place of the next.
	slow []bool
	next int
	// endedHedges and wonHedges count those of the trial, the latter those that won.
	endedHedges, wonHedges int
	// pausedFor is the number of requests until the next trial; pause is the length of the
	// next pause, 0 after a trial that went well.
	pausedFor, pause int
}

// New returns a Policy that has measured nothing and may spend nothing.
func New() *Policy { return &Policy{services: make(map[string]*serviceState)} }

// RecordRequest counts a request of the service, whether it may be hedged or not. It earns
// the given share of a hedge.
func (p *Policy) RecordRequest(service string, share float64) {
	if share <= 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.stateOf(service)
	s.credit = min(s.credit+share, maxCredit)
	s.requests++
	s.pausedFor = max(0, s.pausedFor-1)
	if s.requests >= countedRequests {
		s.requests, s.repeatable = s.requests/2, s.repeatable/2
	}
}

// Begin returns the watch over the first attempt at a request that may be repeated, which
// RecordRequest has counted. It returns nil if share, that of RecordRequest, is 0: all
// methods of a nil Attempt are valid and do nothing. unmeasured is the delay while too few
// responses of the kind were measured; 0 means that none is hedged until then.
func (p *Policy) Begin(key Key, share float64, unmeasured time.Duration) *Attempt {
	if p == nil || share <= 0 {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.stateOf(key.Service)
	s.repeatable++
	a := &Attempt{policy: p, key: key}
	w := s.windowOf(key)
	switch {
	case w.count() < minSamples:
		a.delay = unmeasured
	case w.hasTail(s.slowShare(share)):
		a.delay = max(w.quantile(1-s.slowShare(share)), medians(w, minDelayMedians))
	default:
		a.delay = max(w.quantile(1), medians(w, strayMedians))
	}
	if a.delay > 0 {
		a.delay = max(a.delay, minDelay)
	}
	return a
}

// medians returns n times the median of what was measured.
func medians(w *window, n float64) time.Duration {
	return time.Duration(n * float64(w.quantile(0.5)))
}

// slowShare returns the share of the requests that may be hedged for which the service's
// requests earn a hedge, at most maxSlowShare.
func (s *serviceState) slowShare(share float64) float64 {
	return min(maxSlowShare, share*max(1, s.requests/max(1, s.repeatable)))
}

// stateOf returns the state of a service and creates it if needed. The caller holds p.mu.
func (p *Policy) stateOf(service string) *serviceState {
	s := p.services[service]
	if s == nil {
		makeRoom(p.services, maxServices)
		s = &serviceState{windows: make(map[Key]*window)}
		p.services[service] = s
	}
	return s
}

func (s *serviceState) windowOf(key Key) *window {
	w := s.windows[key]
	if w == nil {
		makeRoom(s.windows, maxKeys)
		w = &window{}
		s.windows[key] = w
	}
	return w
}

// makeRoom deletes an arbitrary entry of a map that has limit entries.
func makeRoom[K comparable, V any](m map[K]V, limit int) {
	if len(m) < limit {
		return
	}
	for k := range m {
		delete(m, k)
		return
	}
}

// recordSpeed records whether an attempt was slow. The caller holds the policy's lock.
func (s *serviceState) recordSpeed(slow bool) {
	if len(s.slow) < recentAttempts {
		s.slow = append(s.slow, slow)
		return
	}
	s.slow[s.next] = slow
	s.next = (s.next + 1) % recentAttempts
}

// denial returns why no hedge is sent now. The caller holds the policy's lock.
func (s *serviceState) denial() Denial {
	slow := 0
	for _, b := range s.slow {
		if b {
			slow++
		}
	}
	switch {
	case s.pausedFor > 0:
		return Paused
	case len(s.slow) >= minRecent && 2*slow >= len(s.slow):
		return SlowAllOver
	case s.credit < 1:
		return Limit
	default:
		return Allowed
	}
}

// recordHedge records that a hedge has ended, and decides at the end of a trial. The caller
// holds the policy's lock.
func (s *serviceState) recordHedge(won bool) {
	s.endedHedges++
	if won {
		s.wonHedges++
	}
	if s.endedHedges < minHedges {
		return
	}
	if s.wonHedges*maxHedgesPerWin < s.endedHedges {
		s.pause = min(max(minPause, 2*s.pause), maxPause)
		s.pausedFor = s.pause
		s.endedHedges, s.wonHedges = 0, 0
		return
	}
	s.pause = 0
	s.endedHedges, s.wonHedges = s.endedHedges/2, s.wonHedges/2
}
