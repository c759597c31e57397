// Package fleet runs the membership and the spreading of records on one host.
// Its state is owned by the application's control goroutine; what others read
// are immutable snapshots. A Fleet implements port.Peers and port.Gossip.
package fleet

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pimentorill/pimentorill/internal/core/membership"
	"github.com/pimentorill/pimentorill/internal/core/spread"
	"github.com/pimentorill/pimentorill/internal/core/verdict"
	"github.com/pimentorill/pimentorill/internal/port"
)

const (
	// inboxMessages bounds the messages that wait for the control goroutine;
	// more are dropped, as on a lossy link.
	inboxMessages = 1024
	// boardSweepInterval is how often expired records are dropped from the board.
	boardSweepInterval = 10 * time.Second
)

// Config is what a Fleet needs.
type Config struct {
	Self port.Member
	// Seeds are the addresses of other hosts to try first, IP:PORT.
	Seeds []string
	Link  port.Transport
	Clock port.Clock
	Log   *slog.Logger
	Rand  *rand.Rand
}

// View is what is known of the hosts. It is immutable.
type View struct {
	Self    port.Member
	Members []port.Member
	// Live is the number of hosts that are not gone.
	Live int
	// ZoneLive are the ids of this zone's hosts that are not gone, sorted.
	ZoneLive []string
	// Unreachable are the other zones that no relay of this zone reaches.
	Unreachable []string
	// Watching says that this host is one of its zone's watchers of the store.
	Watching bool
	// LeaseRank is this host's place among its zone's candidates for the
	// lease, from 0; below 0 if it is none.
	LeaseRank int
	// OtherZones are the zones of the other known hosts.
	OtherZones []string

	addresses map[string]string
}

// CutOff reports whether no other zone is reached, though there are some.
func (v *View) CutOff() bool {
	return len(v.OtherZones) > 0 && len(v.Unreachable) == len(v.OtherZones)
}

// letter is a message that waits for the control goroutine.
type letter struct {
	from    port.Member
	payload []byte
}

// Fleet is this host's part of the fleet. Its methods are safe for concurrent use.
type Fleet struct {
	link  port.Transport
	clock port.Clock
	log   *slog.Logger
	view  atomic.Pointer[View]
	board *board
	wake  chan struct{}

	mu    sync.Mutex
	inbox []letter
	tasks []func(now time.Time)

	// agent is touched by the control goroutine only.
	agent *membership.Agent
	// nextStep belongs to the control goroutine, too.
	nextStep time.Time
}

var (
	_ port.Peers  = (*Fleet)(nil)
	_ port.Gossip = (*Fleet)(nil)
)

// New returns a fleet that is not running yet. Subscribe and Handle before
// Run, and start the link after that.
func New(cfg Config) *Fleet {
	f := &Fleet{
		link: cfg.Link, clock: cfg.Clock, log: cfg.Log,
		board: newBoard(),
		wake:  make(chan struct{}, 1),
		agent: membership.NewAgent(cfg.Clock.Now(), cfg.Self, cfg.Seeds, cfg.Rand),
	}
	cfg.Link.OnMessage(f.receive)
	f.publish(cfg.Clock.Now())
	return f
}

// Run feeds the control goroutine until ctx ends: do runs a function on it
// and may wait for room.
func (f *Fleet) Run(ctx context.Context, do func(fn func(now time.Time))) {
	ticker := time.NewTicker(spread.StepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-f.wake:
		}
		do(f.process)
	}
}

// receive takes a message from the link.
func (f *Fleet) receive(from port.Member, payload []byte) {
	f.mu.Lock()
	if len(f.inbox) < inboxMessages {
		f.inbox = append(f.inbox, letter{from, payload})
	}
	f.mu.Unlock()
	f.signal()
}

// later queues a task for the control goroutine.
func (f *Fleet) later(task func(now time.Time)) {
	f.mu.Lock()
	f.tasks = append(f.tasks, task)
	f.mu.Unlock()
	f.signal()
}

func (f *Fleet) signal() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// process runs on the control goroutine.
func (f *Fleet) process(now time.Time) {
	f.mu.Lock()
	inbox, tasks := f.inbox, f.tasks
	f.inbox, f.tasks = nil, nil
	f.mu.Unlock()
	for _, task := range tasks {
		task(now)
	}
	for _, l := range inbox {
		out, err := f.agent.Receive(now, l.from, l.payload)
		if err != nil {
			f.log.Warn("peer message refused", slog.String("host", l.from.ID), slog.Any("error", err))
		}
		f.send(out)
	}
	if !now.Before(f.nextStep) {
		f.nextStep = now.Add(spread.StepInterval)
		f.send(f.agent.Step(now))
		f.publish(now)
	}
	for _, it := range f.agent.TakeNewer() {
		f.board.newer(it.GossipRecord)
	}
	f.board.sweep(now)
}

func (f *Fleet) send(out []spread.OutgoingMessage) {
	for _, o := range out {
		f.link.Send(o.Address, o.Payload)
	}
}

// publish makes the view that others read.
func (f *Fleet) publish(now time.Time) {
	t := f.agent.Table()
	v := &View{
		Self: t.Self(), Members: t.Members(now), Live: t.CountNotGone(), ZoneLive: t.ZoneHostsNotGone(),
		Unreachable: t.UnreachableZones(),
		Watching:    t.IsSelected("watch", membership.WatchersPerZone),
		LeaseRank:   slices.Index(t.SelectHosts(t.Self().AvailabilityZone, "lease", membership.CandidatesPerLease), t.Self().ID),
		OtherZones:  t.OtherZones(),
		addresses:   make(map[string]string),
	}
	for _, m := range v.Members {
		if m.State != port.MemberGone {
			v.addresses[m.ID] = m.Address
		}
	}
	f.view.Store(v)
}

// View returns what is known of the hosts.
func (f *Fleet) View() *View { return f.view.Load() }

// Self implements port.Peers.
func (f *Fleet) Self() port.Member { return f.View().Self }

// Members implements port.Peers.
func (f *Fleet) Members() []port.Member { return f.View().Members }

// Ask implements port.Peers.
func (f *Fleet) Ask(ctx context.Context, host, kind string, payload []byte) ([]byte, error) {
	address, ok := f.View().addresses[host]
	if !ok {
		return nil, verdict.New(verdict.CodeNotFound, verdict.NotRun, "host "+host+" is unknown or gone")
	}
	return f.link.Ask(ctx, address, kind, payload)
}

// Handle implements port.Peers.
func (f *Fleet) Handle(kind string, fn func(ctx context.Context, from port.Member, payload []byte) ([]byte, error)) {
	f.link.Handle(kind, fn)
}

// Put implements port.Gossip.
func (f *Fleet) Publish(r port.GossipRecord, scope port.GossipScope) {
	if !f.board.put(r) {
		return
	}
	f.later(func(now time.Time) { f.agent.Put(now, r, scope) })
}

// Get implements port.Gossip.
func (f *Fleet) Get(topic, key string) (port.GossipRecord, bool) {
	return f.board.get(topic, key, f.clock.Now())
}

// Subscribe implements port.Gossip. fn runs on the control goroutine.
func (f *Fleet) Subscribe(topic string, fn func(r port.GossipRecord)) { f.board.subscribe(topic, fn) }

// SetRelease tells the other hosts which release is in force here. Only the
// control goroutine may call it.
func (f *Fleet) SetRelease(now time.Time, version uint64) { f.agent.SetRelease(now, version) }

// Listed takes the platform's host list.
func (f *Fleet) Listed(list []port.ListedHost) {
	f.later(func(time.Time) { f.agent.Table().ApplyHostList(list) })
}

// Leave tells the other hosts that this one is leaving. It returns when the
// messages are handed to the link, or ctx ends.
func (f *Fleet) Leave(ctx context.Context) {
	done := make(chan struct{})
	f.later(func(now time.Time) {
		f.agent.Leave(now)
		f.send(f.agent.Step(now))
		f.publish(now)
		close(done)
	})
	select {
	case <-done:
	case <-ctx.Done():
	}
}
