package relay

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/pimentorill/pimentorill/internal/core/catalog"
	"github.com/pimentorill/pimentorill/internal/core/verdict"
	"github.com/pimentorill/pimentorill/internal/health"
	"github.com/pimentorill/pimentorill/internal/port"
)

const (
	// defaultMaxCarried is the default of Config.MaxCarried.
	defaultMaxCarried = 256
	// maxUnreadBytes bounds what is kept of a response that its owner has not read.
	maxUnreadBytes = 32 << 10
	// pollTime bounds the wait for progress of one read.
	pollTime = time.Second
	// bodyDelay is how long a response waits after its header for more of its body, so
	// that a short one is complete at once.
	bodyDelay = 2 * time.Millisecond
	// ownerTimeout is how long the owner may read nothing before the exchange is cancelled.
	ownerTimeout = 15 * time.Second
	// endedRetention is how long the end of an exchange is kept, in case the reply that
	// told it was lost.
	endedRetention = 2 * time.Second
	// recentResponse is the age up to which a response of an endpoint shows that this host
	// reaches it, and the end of a probe without one that it does not. probeTimeout bounds the
	// probe otherwise.
	recentResponse = 300 * time.Millisecond
	probeTimeout   = 300 * time.Millisecond
	// sweepInterval is the time between searches for responses that are no longer recent.
	sweepInterval = 10 * time.Second
)

// carried are the exchanges that this host carries for others. It is safe for concurrent
// use.
type carried struct {
	cfg    Config
	ctx    context.Context
	cancel context.CancelFunc

	mu        sync.Mutex
	exchanges map[string]*carriedExchange
	running   int
	// refusing is set once further exchanges are refused.
	refusing bool
	// cancelled holds the ids of exchanges that were cancelled before they arrived.
	cancelled map[string]time.Time
	// respondedAt is when each endpoint last responded to this host, of those that have since
	// sweptAt.
	respondedAt map[catalog.Incarnation]time.Time
	sweptAt     time.Time
	probes      *sharedProbes
}

func newCarried(cfg Config) *carried {
	if cfg.MaxCarried <= 0 {
		cfg.MaxCarried = defaultMaxCarried
	}
	c := &carried{cfg: cfg, exchanges: make(map[string]*carriedExchange), cancelled: make(map[string]time.Time), respondedAt: make(map[catalog.Incarnation]time.Time)}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.probes = newSharedProbes(cfg.Clock, func(e *catalog.Endpoint) (port.EndpointReport, error) { return c.probe(c.ctx, e) })
	return c
}

func (c *carried) close() { c.cancel() }

func (c *carried) refuseNew() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refusing = true
}

func (c *carried) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.running
}

// endpoint returns the endpoint that a call is for, nil if this host does not know or reach
// it. The failure says why this host may not send it the call; nil if it may.
func (c *carried) endpoint(ref endpointRef) (*catalog.Endpoint, *failure) {
	for _, e := range c.cfg.Snapshot().Usable[ref.Service] {
		if e.Incarnation() == ref.incarnation() {
			if c.cfg.Paths.Unreachable(e, health.PathDirect) {
				return nil, refuse(verdict.CodeEndpointFailed, "this host does not reach the endpoint either")
			}
			if err := c.cfg.checkSend(e); err != nil {
				f := encodeFailure(err)
				f.NotCarried = true
				return e, f
			}
			return e, nil
		}
	}
	return nil, refuse(verdict.CodeNotFound, "this host knows no such endpoint in service")
}

func badRequest(err error) error {
	return verdict.Wrap(err, verdict.CodeBadInput, verdict.NotRun, "call of another host can't be read")
}

// stageCall returns the handler of a call of another host that concerns stages, which call
// makes.
func (c *carried) stageCall(call func(ctx context.Context, e *catalog.Endpoint, r stageRequest) (callReply, error)) port.RequestHandler {
	return func(ctx context.Context, _ port.Member, payload []byte) ([]byte, error) {
		var r stageRequest
		if err := cbor.Unmarshal(payload, &r); err != nil {
			return nil, badRequest(err)
		}
		e, f := c.endpoint(r.Endpoint)
		if f != nil {
			return c.refuseCall(e, f)
		}
		reply, err := call(ctx, e, r)
		reply.Notice = c.cfg.notice(e)
		if err != nil {
			reply.Failure = encodeFailure(err)
			reply.Failure.NotCarried = port.IsNotReached(err)
		} else {
			c.recordResponse(e)
		}
		return cbor.Marshal(reply)
	}
}

func (c *carried) runPieces(ctx context.Context, e *catalog.Endpoint, r stageRequest) (callReply, error) {
	results, err := c.cfg.Direct.RunPieces(ctx, e, r.Pieces)
	return callReply{Results: results}, err
}

func (c *carried) freeResults(ctx context.Context, e *catalog.Endpoint, r stageRequest) (callReply, error) {
	return callReply{}, c.cfg.Direct.FreeResults(ctx, e, r.Handles)
}

// refuseCall encodes the refusal of a call that is no exchange.
func (c *carried) refuseCall(e *catalog.Endpoint, f *failure) ([]byte, error) {
	return cbor.Marshal(callReply{Failure: f, Notice: c.cfg.notice(e)})
}

// carriedExchange is one exchange that this host carries.
type carriedExchange struct {
	cancel context.CancelFunc

	mu sync.Mutex
	// changed is closed by the next change of the fields below.
	changed chan struct{}
	head    *responseHead
	headAt  time.Time
	// unread is what has arrived of the body from offset base on.
	unread []byte
	base   int64
	ended  bool
	// failure is why the exchange has ended before its response did; nil if it has not.
	failure *failure
	readAt  time.Time
}

// change makes a change under the lock and wakes up who waits for one.
func (x *carriedExchange) change(fn func()) {
	x.mu.Lock()
	defer x.mu.Unlock()
	fn()
	close(x.changed)
	x.changed = make(chan struct{})
}

// handleForward starts an exchange for another host and returns its first progress.
func (c *carried) handleForward(ctx context.Context, from port.Member, payload []byte) ([]byte, error) {
	var r forwardRequest
	if err := cbor.Unmarshal(payload, &r); err != nil {
		return nil, badRequest(err)
	}
	e, f := c.endpoint(r.Endpoint)
	if f != nil {
		return cbor.Marshal(progress{Failure: f, Notice: c.cfg.notice(e)})
	}
	x, runCtx := c.begin(&r)
	if x == nil {
		return cbor.Marshal(progress{Failure: refuse(verdict.CodeNoCapacity, "this host carries no more exchanges")})
	}
	go c.run(runCtx, x, r.ID, from.ID, r.decode(e))
	return c.awaitProgress(ctx, x, readRequest{ID: r.ID})
}

// begin registers an exchange; nil if it was cancelled before, there are too many or the host is
// leaving.
func (c *carried) begin(r *forwardRequest) (*carriedExchange, context.Context) {
	now := c.cfg.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, at := range c.cancelled {
		if now.Sub(at) > endedRetention {
			delete(c.cancelled, id)
		}
	}
	if _, cancelled := c.cancelled[r.ID]; cancelled || c.refusing || c.running >= c.cfg.MaxCarried || c.ctx.Err() != nil {
		return nil, nil
	}
	ctx, cancel := context.WithTimeout(c.ctx, r.Remaining)
	x := &carriedExchange{cancel: cancel, changed: make(chan struct{}), readAt: now}
	c.exchanges[r.ID] = x
	c.running++
	return x, ctx
}

// errOwnerUnreachable ends a call that its owner may make elsewhere meanwhile.
var errOwnerUnreachable = verdict.New(verdict.CodeNoCapacity, verdict.MayHaveRun, "the owner does not respond")

// run forwards the exchange of a host, its owner, to its endpoint.
func (c *carried) run(ctx context.Context, x *carriedExchange, id, owner string, r *port.EndpointRequest) {
	reachable := context.Background()
	if r.MayRepeat {
		var release func()
		reachable, release = c.cfg.Peers.WhileReachable(owner)
		defer release()
		defer context.AfterFunc(reachable, x.cancel)()
	}
	err := c.cfg.Direct.Forward(ctx, r, func(response *port.EndpointResponse) error {
		c.recordResponse(r.Endpoint)
		head := encodeHead(response, c.cfg.notice(r.Endpoint))
		x.change(func() { x.head, x.headAt = head, c.cfg.Clock.Now() })
		return c.receive(ctx, x, response.Body)
	})
	if err != nil && reachable.Err() != nil {
		err = errOwnerUnreachable
	}
	x.cancel()
	x.change(func() {
		x.ended = true
		if err != nil {
			x.failure = encodeFailure(err)
			x.failure.NotCarried = x.head == nil && port.IsNotReached(err)
		}
	})
	c.mu.Lock()
	c.running--
	c.mu.Unlock()
	time.AfterFunc(endedRetention, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.exchanges, id)
	})
}

// receive reads the body to its end. It waits while too much is unread.
func (c *carried) receive(ctx context.Context, x *carriedExchange, body io.Reader) error {
	buffer := make([]byte, 8<<10)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			x.change(func() { x.unread = append(x.unread, buffer[:n]...) })
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return verdict.Wrap(err, verdict.CodeEndpointFailed, verdict.MayHaveRun, "response broke off")
		}
		if err := c.awaitReader(ctx, x); err != nil {
			return err
		}
	}
}

// awaitReader waits until little enough of the body is unread. The error says that the
// owner does not read, or that ctx has ended.
func (c *carried) awaitReader(ctx context.Context, x *carriedExchange) error {
	timer := time.NewTimer(ownerTimeout)
	defer timer.Stop()
	for {
		x.mu.Lock()
		full, changed, idle := len(x.unread) >= maxUnreadBytes, x.changed, c.cfg.Clock.Now().Sub(x.readAt)
		x.mu.Unlock()
		switch {
		case !full:
			return ctx.Err()
		case idle >= ownerTimeout:
			return verdict.New(verdict.CodeCallerCancelled, verdict.MayHaveRun, "the owner does not read the response")
		}
		select {
		case <-changed:
		case <-timer.C:
			timer.Reset(ownerTimeout)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// handleRead returns the progress of an exchange.
func (c *carried) handleRead(ctx context.Context, _ port.Member, payload []byte) ([]byte, error) {
	var r readRequest
	if err := cbor.Unmarshal(payload, &r); err != nil {
		return nil, badRequest(err)
	}
	c.mu.Lock()
	x := c.exchanges[r.ID]
	c.mu.Unlock()
	if x == nil {
		f := &failure{Code: verdict.CodeEndpointFailed, Message: "no such exchange"}
		return cbor.Marshal(progress{End: true, Failure: f})
	}
	return c.awaitProgress(ctx, x, r)
}

// awaitProgress waits up to pollTime for what the owner does not have yet: the header,
// more of the body or its end. If the owner's connection breaks, the exchange is cancelled.
func (c *carried) awaitProgress(ctx context.Context, x *carriedExchange, r readRequest) ([]byte, error) {
	deadline := time.NewTimer(pollTime)
	defer deadline.Stop()
	now := c.cfg.Clock.Now()
	x.change(func() {
		x.readAt = now
		if read := r.Offset - x.base; read > 0 && read <= int64(len(x.unread)) {
			x.unread, x.base = append([]byte(nil), x.unread[read:]...), r.Offset
		}
	})
	for expired := false; ; {
		x.mu.Lock()
		p := progress{Head: x.head, Body: append([]byte(nil), x.unread...), End: x.ended, Failure: x.failure}
		misread := r.Offset != x.base
		changed := x.changed
		wait := bodyDelay - c.cfg.Clock.Now().Sub(x.headAt)
		x.mu.Unlock()
		switch {
		case misread:
			x.cancel()
			return cbor.Marshal(progress{End: true, Failure: &failure{Code: verdict.CodeInternal, Message: "body was read from another offset"}})
		case p.End, expired:
			return cbor.Marshal(p)
		case p.Head != nil && wait > 0:
			if port.Sleep(ctx, wait); ctx.Err() == nil {
				continue
			}
		case p.Head != nil && (len(p.Body) > 0 || !r.HasHead):
			return cbor.Marshal(p)
		}
		select {
		case <-changed:
		case <-deadline.C:
			expired = true
		case <-ctx.Done():
			x.cancel()
			return nil, verdict.Wrap(ctx.Err(), verdict.CodeCallerCancelled, verdict.MayHaveRun, "the owner has gone")
		}
	}
}

// handleCancel cancels an exchange, also one that arrives later.
func (c *carried) handleCancel(_ context.Context, _ port.Member, payload []byte) ([]byte, error) {
	id := string(payload)
	c.mu.Lock()
	defer c.mu.Unlock()
	if x := c.exchanges[id]; x != nil {
		x.cancel()
	} else {
		c.cancelled[id] = c.cfg.Clock.Now()
	}
	return []byte{1}, nil
}
