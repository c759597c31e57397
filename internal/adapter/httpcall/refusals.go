package httpcall

import (
	"bufio"
	"context"
	"crypto/rand"
	"encoding/hex"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/pimentorill/pimentorill/internal/core/catalog"
	"github.com/pimentorill/pimentorill/internal/core/recent"
)

// refusalCheckTimeout bounds the check whether an endpoint names the requests that it refuses.
const refusalCheckTimeout = 500 * time.Millisecond

// RefusalProtocol is how a protocol expresses refusals and barrier requests.
type RefusalProtocol struct {
	// WriteBarrier writes a barrier request with an id, which the endpoint refuses without running
	// anything.
	WriteBarrier func(w *bufio.Writer, to *catalog.Endpoint, id string) error
	// NamedCall returns the id of the call that a response names; empty if it names none.
	NamedCall func(*fasthttp.Response) string
	// IsRefusal reports whether a response says that its call has not run, and IsBarrierRefusal
	// whether it is a refusal as endpoints send it to a barrier request.
	IsRefusal, IsBarrierRefusal func(*fasthttp.Response) bool
}

// Refusals decides which refusals that name no call are believed. It learns which endpoints name the
// calls that they refuse. It is safe for concurrent use.
type Refusals struct {
	pool     *Pool
	protocol RefusalProtocol
	// idPrefix and ids make the ids of barrier requests.
	idPrefix string
	ids      atomic.Uint64
	// named holds the endpoints that lately named a call which they refused, and unnamed those that
	// lately refused a barrier request without naming it.
	named, unnamed *recent.Set[catalog.Incarnation]
}

// NewRefusals returns a Refusals that asks endpoints over a pool.
func NewRefusals(pool *Pool, protocol RefusalProtocol) *Refusals {
	var prefix [8]byte
	_, _ = rand.Read(prefix[:])
	return &Refusals{pool: pool, protocol: protocol, idPrefix: hex.EncodeToString(prefix[:]),
		named: recent.NewSet[catalog.Incarnation](), unnamed: recent.NewSet[catalog.Incarnation]()}
}

// CallBarrier is the barrier of one call to an endpoint.
type CallBarrier struct {
	Barrier
	refusals *Refusals
	to       *catalog.Endpoint
	id       string
}

// Barrier returns the barrier of a call to an endpoint.
func (r *Refusals) Barrier(ctx context.Context, to *catalog.Endpoint) *CallBarrier {
	b := &CallBarrier{refusals: r, to: to, id: r.idPrefix + strconv.FormatUint(r.ids.Add(1), 16)}
	b.Barrier = Barrier{
		Write:         func(w *bufio.Writer) error { return r.protocol.WriteBarrier(w, to, b.id) },
		IsRefusal:     r.protocol.IsRefusal,
		IsAnswer:      r.protocol.IsBarrierRefusal,
		NamesRefusals: func() bool { return r.named.Has(to.Incarnation()) },
		OwnAfterEnd:   func() bool { return r.areUnnamed(ctx, to) },
	}
	return b
}

// ClosingBarrier returns the barrier of a call that may be repeated: it goes on elsewhere unless the
// endpoint is known not to name its refusals.
func (r *Refusals) ClosingBarrier(ctx context.Context, to *catalog.Endpoint) *CallBarrier {
	b := r.Barrier(ctx, to)
	b.Write = nil
	b.OwnAfterEnd = func() bool {
		return r.unnamed.Has(to.Incarnation()) && !r.named.Has(to.Incarnation()) || r.areUnnamed(ctx, to)
	}
	return b
}

// MatchNamed is Call.Matches for a response that names a call other than the barrier's own.
func (b *CallBarrier) MatchNamed(resp *fasthttp.Response) Match {
	if b.refusals.protocol.NamedCall(resp) == b.id {
		return MatchBarrier
	}
	return MatchOther
}

// Note takes note of an endpoint that names a call or barrier request of this host which it refuses.
func (b *CallBarrier) Note(resp *fasthttp.Response, match Match) {
	protocol := b.refusals.protocol
	if match != MatchOther && protocol.NamedCall(resp) != "" && protocol.IsRefusal(resp) {
		b.refusals.named.Add(b.to.Incarnation())
	}
}

// areUnnamed asks an endpoint, on a new connection, whether its refusals name no call.
func (r *Refusals) areUnnamed(ctx context.Context, to *catalog.Endpoint) bool {
	if r.named.Has(to.Incarnation()) {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, refusalCheckTimeout)
	defer cancel()
	barrier := r.Barrier(ctx, to)
	barrier.OwnAfterEnd = func() bool { return true }
	unnamed := false
	_, err := r.pool.Exchange(ctx, to.Address, true, Call{
		Write:   barrier.Write,
		Barrier: &barrier.Barrier,
		Matches: func(resp *fasthttp.Response, _ bool) Match {
			match := MatchUnknown
			if r.protocol.NamedCall(resp) != "" {
				match = barrier.MatchNamed(resp)
			}
			barrier.Note(resp, match)
			if match == MatchBarrier { // which is the call itself here
				return MatchOwn
			}
			return match
		},
		Read: func(resp *fasthttp.Response) error {
			unnamed = r.protocol.NamedCall(resp) == "" && r.protocol.IsRefusal(resp)
			return nil
		},
	})
	if err != nil || !unnamed {
		return false
	}
	r.unnamed.Add(to.Incarnation())
	return true
}
