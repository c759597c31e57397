// Package fleet runs membership and gossip on one host. Package app's control
// goroutine owns its state; other goroutines read immutable snapshots. A Fleet
// implements port.Peers and port.Gossip.
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
	// inboxMessages bounds the messages that wait for the control goroutine. More
	// are dropped, which gossip tolerates as it does message loss.
	inboxMessages = 1024
	// recordSweepInterval is the pause between two deletions of expired records.
	recordSweepInterval = 10 * time.Second
)

// Config holds the settings and adapters of a Fleet.
type Config struct {
	Self port.Member
	// Seeds lists the addresses of other hosts to contact first, as IP:PORT.
	Seeds     []string
	Transport port.Transport
	Clock     port.Clock
	Log       *slog.Logger
	Rand      *rand.Rand
}

// View is a snapshot of the known hosts. It is immutable.
type View struct {
	Self    port.Member
	Members []port.Member
	// LiveCount is the number of hosts that are not gone.
	LiveCount int
	// ZoneLiveIDs lists the ids of this zone's hosts that are not gone, sorted.
	ZoneLiveIDs []string
	// UnreachableZones lists the other zones that no relay of this zone reaches.
	UnreachableZones []string
	// WatchesStore is true if this host is one of those of its zone that watch the
	// store.
	WatchesStore bool
	// LeaseRank is this host's position among the candidates for its zone's lease,
	// from 0, or negative if it is not a candidate.
	LeaseRank int
	// OtherZones lists the known availability zones other than this host's.
	OtherZones []string

	addresses map[string]string
}

// Partitioned reports whether there are other zones but none is reachable.
func (v *View) Partitioned() bool {
	return len(v.OtherZones) > 0 && len(v.UnreachableZones) == len(v.OtherZones)
}

// inboundMessage is a message that waits for the control goroutine.
type inboundMessage struct {
	from    port.Member
	payload []byte
}

// Fleet runs membership and gossip on this host. Its methods are safe for
// concurrent use except where they say otherwise.
type Fleet struct {
	transport port.Transport
	clock     port.Clock
	log       *slog.Logger
	view      atomic.Pointer[View]
	records   *recordTable
	wake      chan struct{}

	mu    sync.Mutex
	inbox []inboundMessage
	tasks []func(now time.Time)

	// Only the control goroutine accesses agent and nextStep.
	agent    *membership.Agent
	nextStep time.Time
}

var (
	_ port.Peers  = (*Fleet)(nil)
	_ port.Gossip = (*Fleet)(nil)
)

// New returns a Fleet that is not running. Call Subscribe and Handle before Run,
// and start the transport after them.
func New(cfg Config) *Fleet {
	f := &Fleet{
		transport: cfg.Transport, clock: cfg.Clock, log: cfg.Log,
		records: newRecordTable(),
		wake:    make(chan struct{}, 1),
		agent:   membership.NewAgent(cfg.Clock.Now(), cfg.Self, cfg.Seeds, cfg.Rand),
	}
	cfg.Transport.OnMessage(f.receive)
	f.publish(cfg.Clock.Now())
	return f
}

// Run processes messages and tasks on the control goroutine until ctx ends.
// runOnControl runs a function there and may block.
func (f *Fleet) Run(ctx context.Context, runOnControl func(fn func(now time.Time))) {
	ticker := time.NewTicker(spread.StepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-f.wake:
		}
		runOnControl(f.process)
	}
}

// receive queues a message from the transport, or drops it if the inbox is full.
func (f *Fleet) receive(from port.Member, payload []byte) {
	f.mu.Lock()
	if len(f.inbox) < inboxMessages {
		f.inbox = append(f.inbox, inboundMessage{from, payload})
	}
	f.mu.Unlock()
	f.signal()
}

// enqueue queues a task for the control goroutine.
func (f *Fleet) enqueue(task func(now time.Time)) {
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

// process runs the queued tasks, handles the queued messages and makes the step
// that is due. It runs on the control goroutine.
func (f *Fleet) process(now time.Time) {
	f.mu.Lock()
	inbox, tasks := f.inbox, f.tasks
	f.inbox, f.tasks = nil, nil
	f.mu.Unlock()
	for _, task := range tasks {
		task(now)
	}
	for _, message := range inbox {
		out, err := f.agent.Receive(now, message.from, message.payload)
		if err != nil {
			f.log.Warn("rejected peer message", slog.String("host", message.from.ID), slog.Any("error", err))
		}
		f.send(out)
	}
	if !now.Before(f.nextStep) {
		f.nextStep = now.Add(spread.StepInterval)
		f.send(f.agent.Step(now))
		f.publish(now)
	}
	for _, record := range f.agent.TakeUpdates() {
		f.records.apply(record.GossipRecord)
	}
	f.records.sweep(now)
}

func (f *Fleet) send(out []spread.OutgoingMessage) {
	for _, o := range out {
		f.transport.Send(o.Address, o.Payload)
	}
}

// publish stores a new View for other goroutines to read.
func (f *Fleet) publish(now time.Time) {
	t := f.agent.Table()
	v := &View{
		Self: t.Self(), Members: t.Members(now), LiveCount: t.CountNotGone(), ZoneLiveIDs: t.ZoneHostsNotGone(),
		UnreachableZones: t.UnreachableZones(),
		WatchesStore:     t.IsSelected("watch", membership.WatchersPerZone),
		LeaseRank:        slices.Index(t.SelectHosts(t.Self().AvailabilityZone, "lease", membership.CandidatesPerLease), t.Self().ID),
		OtherZones:       t.OtherZones(),
		addresses:        make(map[string]string),
	}
	for _, m := range v.Members {
		if m.State != port.MemberGone {
			v.addresses[m.ID] = m.Address
		}
	}
	f.view.Store(v)
}

// View returns the latest snapshot of the known hosts.
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
	return f.transport.Ask(ctx, address, kind, payload)
}

// Handle implements port.Peers.
func (f *Fleet) Handle(kind string, fn func(ctx context.Context, from port.Member, payload []byte) ([]byte, error)) {
	f.transport.Handle(kind, fn)
}

// Publish implements port.Gossip.
func (f *Fleet) Publish(r port.GossipRecord, scope port.GossipScope) {
	if !f.records.put(r) {
		return
	}
	f.enqueue(func(now time.Time) { f.agent.Put(now, r, scope) })
}

// Get implements port.Gossip.
func (f *Fleet) Get(topic, key string) (port.GossipRecord, bool) {
	return f.records.get(topic, key, f.clock.Now())
}

// Subscribe implements port.Gossip. fn runs on the control goroutine.
func (f *Fleet) Subscribe(topic string, fn func(r port.GossipRecord)) { f.records.subscribe(topic, fn) }

// SetRelease sets the version of the release in force that this host announces.
// Only the control goroutine may call it.
func (f *Fleet) SetRelease(now time.Time, version uint64) { f.agent.SetRelease(now, version) }

// ApplyHostList applies the platform's host list.
func (f *Fleet) ApplyHostList(list []port.ListedHost) {
	f.enqueue(func(time.Time) { f.agent.Table().ApplyHostList(list) })
}

// Leave announces to the other hosts that this one is leaving. It returns when the
// messages are handed to the transport or ctx ends.
func (f *Fleet) Leave(ctx context.Context) {
	done := make(chan struct{})
	f.enqueue(func(now time.Time) {
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
