package coldstart

import (
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/pimentorill/pimentorill/internal/core/release"
)

// Errors of Holder.
var (
	// ErrNotLeaseHolder means that this host does not hold the zone's lease now.
	ErrNotLeaseHolder = errors.New("coldstart: not the holder of the zone's lease")
	// ErrTakeoverPending means that permits of an earlier holder may still be in use.
	ErrTakeoverPending = errors.New("coldstart: waiting out an earlier holder's permits")
)

// Lease is the zone's lease as this host holds it. A zero Fence means that it
// does not.
type Lease struct {
	Fence uint64
	// Since is a time at or after the host got the lease.
	Since time.Time
	// PermitExpiry is a time at or before the lease's end.
	Until time.Time
	// NoEarlierPermits says that no permit of an earlier holder can be in use.
	NoEarlierPermits bool
}

// PermitIssuer gives out the permits of one availability zone while this host holds
// the zone's lease. It is safe for concurrent use.
type PermitIssuer struct {
	// known returns what this host's own Gate knows of an endpoint.
	localStatus func(endpoint string) Status
	// tell spreads a word to all hosts; it must not block.
	broadcastStatus func(w Status)

	mu           sync.Mutex
	lease        Lease
	lastPermitID uint64
	endpoints    map[string]*issuerState
}

// allowance is what the holder knows of one endpoint.
type issuerState struct {
	epoch       Epoch
	warm        bool
	incarnation string
	answers     int
	outstanding map[uint64]issuedPermit
}

// issued is a permit that may be in use.
type issuedPermit struct {
	epoch Epoch
	// ends is when no attempt under the permit can be running any more.
	inUseUntil time.Time
}

// NewPermitIssuer returns a Holder without a lease.
func NewPermitIssuer(known func(endpoint string) Status, tell func(w Status)) *PermitIssuer {
	return &PermitIssuer{localStatus: known, broadcastStatus: tell, endpoints: make(map[string]*issuerState)}
}

// SetLease takes the lease as it is now. A lease with another fencing number
// than before forgets all permits; they are waited out unless it is the first.
func (h *PermitIssuer) SetLease(l Lease) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if l.Fence != h.lease.Fence {
		clear(h.endpoints)
	}
	h.lease = l
}

// Grant answers an Ask for an endpoint of the zone. The error is ErrNotLeaseHolder
// or ErrTakeoverPending.
func (h *PermitIssuer) Grant(now time.Time, e release.Endpoint, ask PermitRequest) (PermitReply, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	l := h.lease
	if l.Fence == 0 || !now.Before(l.Until) {
		return PermitReply{}, ErrNotLeaseHolder
	}
	if !l.NoEarlierPermits && now.Before(l.Since.Add(TakeoverDelay)) {
		return h.grantDuringTakeover(e.ID, ask)
	}
	a := h.stateOf(e.ID)
	a.removeExpired(now)
	for _, r := range ask.Returns {
		h.acceptReturn(now, e, a, r)
	}
	if a.needsNewColdStart(ask) {
		h.markCold(e.ID, a, ask.KnownEpoch)
	}
	return h.reply(now, e, a, ask), nil
}

// settling answers an Ask while permits of an earlier holder may be in use.
// It passes on that an endpoint is warm, and notes doubts; what else this
// host does not know yet it may still hear from others.
func (h *PermitIssuer) grantDuringTakeover(endpoint string, ask PermitRequest) (PermitReply, error) {
	a, ok := h.endpoints[endpoint]
	if !ok {
		if w := h.localStatus(endpoint); w.Epoch == 0 && !ask.Suspected {
			return PermitReply{}, ErrTakeoverPending
		}
		a = h.stateOf(endpoint)
	}
	if a.needsNewColdStart(ask) {
		h.markCold(endpoint, a, ask.KnownEpoch)
	}
	if !a.warm && !ask.Suspected {
		return PermitReply{}, ErrTakeoverPending
	}
	return PermitReply{Status: a.status(endpoint), Fence: h.lease.Fence, RetryAfter: permitRetryDelay}, nil
}

func (h *PermitIssuer) stateOf(endpoint string) *issuerState {
	a, ok := h.endpoints[endpoint]
	if !ok {
		w := h.localStatus(endpoint)
		a = &issuerState{epoch: w.Epoch.next(h.lease.Fence), outstanding: make(map[uint64]issuedPermit)}
		if w.Warm {
			a.epoch, a.warm, a.incarnation = w.Epoch, true, w.Incarnation
		}
		h.endpoints[endpoint] = a
	}
	return a
}

func (a *issuerState) status(endpoint string) Status {
	w := Status{Endpoint: endpoint, Epoch: a.epoch, Warm: a.warm}
	if a.warm {
		w.Incarnation = a.incarnation
	}
	return w
}

func (a *issuerState) removeExpired(now time.Time) {
	for id, p := range a.outstanding {
		if !now.Before(p.inUseUntil) {
			delete(a.outstanding, id)
		}
	}
}

// take frees a permit that came back and counts its answers. Answers count
// only if the endpoint has been the same process since the epoch began.
func (h *PermitIssuer) acceptReturn(now time.Time, e release.Endpoint, a *issuerState, r PermitReturn) {
	p, ok := a.outstanding[r.Permit]
	if !ok || r.Fence != h.lease.Fence {
		return
	}
	if r.MayStillRun {
		p.inUseUntil = earlier(p.inUseUntil, now.Add(ResetGrace))
		a.outstanding[r.Permit] = p
		return
	}
	delete(a.outstanding, r.Permit)
	if a.warm || p.epoch != a.epoch || !r.Answered {
		return
	}
	if r.Incarnation != "" && r.Incarnation != a.incarnation {
		if a.incarnation != "" {
			a.answers = 0
		}
		a.incarnation = r.Incarnation
	}
	a.answers++
	if a.answers >= e.WarmAfter && !r.Cold {
		a.warm = true
		a.epoch = a.epoch.next(h.lease.Fence)
		h.broadcastStatus(a.status(e.ID))
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// doubted reports whether the ask is a reason to begin the cold start anew.
// While cold, a doubt changes nothing before there is an answer to forget.
func (a *issuerState) needsNewColdStart(ask PermitRequest) bool {
	if a.warm {
		return ask.Suspected || (!ask.BelievedWarm && ask.KnownEpoch >= a.epoch)
	}
	if ask.KnownEpoch > a.epoch {
		return true
	}
	return ask.Suspected && (a.answers > 0 || a.currentEpochPermits() > 0)
}

// current returns the number of permits out that were given in this epoch.
func (a *issuerState) currentEpochPermits() int {
	n := 0
	for _, p := range a.outstanding {
		if p.epoch == a.epoch {
			n++
		}
	}
	return n
}

func (h *PermitIssuer) markCold(endpoint string, a *issuerState, known Epoch) {
	a.epoch = max(a.epoch, known).next(h.lease.Fence)
	a.warm = false
	a.answers = 0
	a.incarnation = ""
	h.broadcastStatus(a.status(endpoint))
}

func (h *PermitIssuer) reply(now time.Time, e release.Endpoint, a *issuerState, ask PermitRequest) PermitReply {
	r := PermitReply{Status: a.status(e.ID), Fence: h.lease.Fence}
	if a.warm || ask.Count == 0 {
		return r
	}
	r.Lifetime = min(ask.Lifetime, MaxPermitLifetime)
	free := e.ColdLimit - len(a.outstanding)
	for range min(ask.Count, free) {
		h.lastPermitID++
		a.outstanding[h.lastPermitID] = issuedPermit{epoch: a.epoch, inUseUntil: now.Add(r.Lifetime + CancelGrace)}
		r.Permits = append(r.Permits, h.lastPermitID)
	}
	if len(r.Permits) == 0 {
		r.RetryAfter = permitRetryDelay
	}
	return r
}

// OutstandingPermits returns the number of permits that may be in use.
func (h *PermitIssuer) OutstandingPermits(now time.Time) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for _, a := range h.endpoints {
		a.removeExpired(now)
		n += len(a.outstanding)
	}
	return n
}
