package claim

import (
	"context"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/pimentorill/pimentorill/internal/core/verdict"
	"github.com/pimentorill/pimentorill/internal/port"
)

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

	// oldBuild means that the host runs a build that knows no epochs.
	oldBuild bool

	mu      sync.Mutex
	crashed bool
	// resumeAt is when a pause of the host's process ends.
	resumeAt time.Time
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

// pause stops the host's process for some time: it sends nothing and handles nothing.
func (n *node) pause(d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.resumeAt = time.Now().Add(d)
}

// waitWhilePaused blocks until the host's process is not paused.
func (n *node) waitWhilePaused() {
	n.mu.Lock()
	resumeAt := n.resumeAt
	n.mu.Unlock()
	if d := time.Until(resumeAt); d > 0 {
		sleep(d)
	}
}

func (n *node) Self() port.Member { return n.self }

func (n *node) Members() []port.Member { return n.net.members }

func (n *node) Handle(kind string, fn func(context.Context, port.Member, []byte) ([]byte, error)) {
	n.handlers[kind] = fn
}

var (
	errNotSent        = verdict.New(verdict.CodeInternal, verdict.NotRun, "no connection")
	errNoHandler      = verdict.New(verdict.CodeNotFound, verdict.NotRun, "no handler")
	errConnectionLost = verdict.New(verdict.CodeInternal, verdict.MayHaveRun, "connection lost")
)

func (n *node) Ask(ctx context.Context, host, kind string, payload []byte) ([]byte, error) {
	n.waitWhilePaused()
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
	type answer struct {
		reply []byte
		err   error
	}
	answered := make(chan answer, 1)
	go func() {
		other.waitWhilePaused()
		reply, err := other.handle(ctx, n, kind, payload)
		other.waitWhilePaused()
		sleep(n.latency)
		answered <- answer{reply, err}
	}()
	var reply []byte
	var err error
	select {
	case a := <-answered:
		reply, err = a.reply, a.err
	case <-ctx.Done():
	}
	n.waitWhilePaused()
	if other.isCrashed() || ctx.Err() != nil || n.net.random.percent(n.net.lossPercent) {
		return nil, errConnectionLost
	}
	return reply, err
}

// handle handles a request as the builds of the two hosts do.
func (n *node) handle(ctx context.Context, from *node, kind string, payload []byte) ([]byte, error) {
	if n.oldBuild && kind == requestKindEpoch {
		return nil, errNoHandler
	}
	if kind == requestKindOp && (n.oldBuild || from.oldBuild) {
		var o op
		_ = cbor.Unmarshal(payload, &o)
		if o.Kind == opRestoreClaims {
			return cbor.Marshal(opReply{HasResult: true}) // such a build finds no entry
		}
		o.WantEpoch = false
		payload, _ = cbor.Marshal(o)
	}
	return n.handlers[kind](ctx, from.self, payload)
}

// hostStore is one host's access to the store: a crashed host writes nothing, a paused one
// waits, and one of an old build sees no epochs.
type hostStore struct {
	*memoryStore
	host *node
}

func (s hostStore) Get(ctx context.Context, key string) (port.Entry, error) {
	s.host.waitWhilePaused()
	e, err := s.memoryStore.Get(ctx, key)
	s.host.waitWhilePaused()
	return s.seen(e), err
}

func (s hostStore) CompareAndSwapInEpoch(ctx context.Context, epoch int64, key string, prev uint64, value []byte, ttl time.Duration) (port.Entry, error) {
	s.host.waitWhilePaused()
	if s.host.isCrashed() {
		return port.Entry{}, port.ErrUnavailable
	}
	e, err := s.memoryStore.CompareAndSwapInEpoch(ctx, epoch, key, prev, value, ttl)
	s.host.waitWhilePaused()
	return s.seen(e), err
}

// seen returns the entry as the host's build sees it.
func (s hostStore) seen(e port.Entry) port.Entry {
	if s.host.oldBuild {
		e.Epoch = 0
	}
	return e
}
