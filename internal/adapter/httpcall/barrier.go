package httpcall

import (
	"bufio"
	"bytes"
	"io"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"github.com/pimentorill/pimentorill/internal/port"
)

// maxBarriers limits the barrier requests of a call.
const maxBarriers = 3

// Barrier settles whether a response that names no call is a call's own.
//
// Servers answer the requests of a connection one after the other, but a faulty one also sends
// responses that answer none: before it gets the request, or while it runs it. The position of a
// response therefore says nothing. After such a response the call writes a barrier request, which
// the server refuses without running anything:
//
//	held ──barrier──▶ response that names the call         own: the held one answered nothing
//	                ▶ response that names the barrier      the call is answered: held is its own
//	                ▶ refusal that names neither           as IsAnswer says: counts as the barrier's answer, and
//	                                                       it is asked again; or is one more that answers nothing
//	                ▶ another unnamed response             the held one stays unsettled
//	                ▶ end of the connection                see OwnAfterEnd
//
// After maxBarriers answers that name neither, the held response is the call's own if the server
// doesn't name its refusals.
type Barrier struct {
	// Write writes the barrier request. Nil means that the connection is closed instead, so that
	// the server stops what it may be doing: one that has got a further request may not notice that.
	Write func(w *bufio.Writer) error
	// IsRefusal reports whether a response says that its call has not run.
	IsRefusal func(*fasthttp.Response) bool
	// IsAnswer reports whether a refusal that names neither the call nor the barrier is of the kind
	// with which servers refuse barrier requests. Late copies of other refusals are not.
	IsAnswer func(*fasthttp.Response) bool
	// NamesRefusals reports whether the server is known to name the calls that it refuses.
	NamesRefusals func() bool
	// OwnAfterEnd reports whether a refusal is the call's own after which the connection has
	// ended without another response: as the refusal had announced, or because Write is nil.
	OwnAfterEnd func() bool
}

// barrierState is the state of a call's barrier requests.
type barrierState struct {
	conn *conn
	call *Call
	// held is the response that may be the call's own; nil for none. It arrived as heldArrival.
	held        *fasthttp.Response
	heldArrival port.Arrival
	// heldAt is the number of responses that the connection had carried with the held one.
	heldAt int
	// last means that no response follows on the connection: the held one says so, or this side
	// has closed it.
	last bool
	// unsettled is set by an unnamed response other than a refusal: it may be the call's own.
	unsettled bool
	// asked is the number of barrier requests, of which the last one is pending until a response
	// counts as its answer. counted is the number of answers that named neither.
	asked, counted int
	pending        bool
}

// hold keeps a response that names no call, with its body. Of those before the first barrier request
// it keeps the last one, but no refusal after another response, which the call may have caused. It
// reports false if the call has no barrier or the body is too large.
func (b *barrierState) hold(resp *fasthttp.Response) bool {
	if b.call.Barrier == nil {
		return false
	}
	isRefusal := b.call.Barrier.IsRefusal
	if b.held != nil && (b.asked > 0 || !isRefusal(b.held) && isRefusal(resp)) {
		return true
	}
	var body []byte
	if stream := resp.BodyStream(); stream != nil {
		_ = b.conn.SetReadDeadline(time.Now().Add(discardTimeout))
		var err error
		if body, err = io.ReadAll(io.LimitReader(stream, maxDiscardedBytes+1)); err != nil || len(body) > maxDiscardedBytes || b.conn.SetReadDeadline(time.Time{}) != nil {
			return false
		}
	}
	b.held = new(fasthttp.Response)
	resp.Header.CopyTo(&b.held.Header)
	b.held.SetBodyStream(bytes.NewReader(body), len(body))
	if b.call.Arrival != nil {
		b.heldArrival = *b.call.Arrival
	}
	b.last, b.heldAt = resp.ConnectionClose(), b.conn.responses
	return true
}

// settles takes note of a response other than the call's own and reports whether the held one is
// known to be the call's own now.
func (b *barrierState) settles(resp *fasthttp.Response, match Match) bool {
	switch {
	case b.held == nil || match == MatchOther || match == MatchBarrier && b.asked == 0 || b.isNewest():
		return false
	case match == MatchBarrier:
		b.pending = false
		return !b.unsettled
	case b.asked > 0 && !b.call.Barrier.IsRefusal(resp):
		b.unsettled = true
		return false
	case !b.pending || !b.call.Barrier.IsAnswer(resp):
		return false
	}
	b.pending = false
	b.counted++
	return b.counted == maxBarriers && !b.unsettled && !b.call.Barrier.NamesRefusals()
}

// ask writes a barrier request if a response is held and nothing has arrived since that would have
// been sent before the barrier.
func (b *barrierState) ask() {
	c := b.conn
	switch {
	case b.held == nil || b.pending || b.asked == maxBarriers || b.last || c.reset || c.reader.Buffered() > 0:
	case b.call.Barrier.Write == nil:
		b.last = true
		c.Close()
	case isReusable(c.Conn):
		b.asked++
		c.resetOnClose.Store(true)
		b.pending = writeRequest(c, b.call.Barrier.Write) == nil
	}
}

// deliver passes the held response to the call.
func (b *barrierState) deliver() error {
	if b.call.Arrival != nil {
		*b.call.Arrival = b.heldArrival
	}
	if err := b.call.Read(b.held); !errors.Is(err, ErrOtherCall) {
		return err
	}
	return ErrUnexpectedResponse
}

// isOwnAfterEnd reports whether the held response is the call's own after an error in reading
// another one. A failure is: nothing follows from it.
func (b *barrierState) isOwnAfterEnd() bool {
	if b.held == nil || b.unsettled {
		return false
	}
	return !b.call.Barrier.IsRefusal(b.held) || b.last && b.isNewest() && b.call.Barrier.OwnAfterEnd()
}

// isNewest reports whether no response has followed the held one.
func (b *barrierState) isNewest() bool { return b.heldAt == b.conn.responses }

// leavesReusable reports whether the connection can be used further after the held response was settled.
func (b *barrierState) leavesReusable() bool {
	b.conn.resetOnClose.Store(b.pending)
	return !b.pending && !b.last
}

// awaitAnswer reads the answer to a pending barrier request after the call's own response, so that
// the connection can be used further. It reports whether it can.
func (b *barrierState) awaitAnswer(resp *fasthttp.Response) bool {
	c := b.conn
	if !b.pending {
		c.resetOnClose.Store(false)
		return true
	}
	if c.SetReadDeadline(time.Now().Add(discardTimeout)) != nil {
		return false
	}
	for range maxResponsesPerCall {
		resp.Reset()
		if c.readHeader(resp) != nil {
			return false
		}
		c.responses++
		c.attachBody(resp, b.call.NoBody)
		match := b.call.Matches(resp, false)
		if !discardRest(resp) {
			return false
		}
		if match == MatchBarrier || match == MatchOwn { // the call may itself be a barrier request
			c.resetOnClose.Store(false)
			return c.SetReadDeadline(time.Time{}) == nil
		}
	}
	return false
}
