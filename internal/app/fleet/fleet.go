// Package fleet runs membership and gossip on one host. One goroutine, package
// app's control goroutine, changes the membership state; other goroutines read
// immutable snapshots. A Fleet implements port.Peers and port.Gossip.
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
	// maxInboxMessages bounds the messages that wait for the control goroutine.
	// Further messages are dropped, which gossip tolerates like any message loss.
	maxInboxMessages = 1024
	// recordSweepInterval is the minimum time between two deletions of expired
	// records.
	recordSweepInterval = 10 * time.Second
)

// Config holds the settings and adapters of a Fleet.
type Config struct {
	// Self is this host.
	Self port.Member
	// Seeds lists the addresses of other hosts to contact first, as IP:PORT.
	Seeds []string
	// Transport must not be started before New returns.
	Transport port.Transport
	Clock     port.Clock
	Log       *slog.Logger
	// Rand is used only by the Fleet, on the control goroutine.
	Rand *rand.Rand
}

// View is a snapshot of the known hosts. It is immutable.
type View struct {
	// Self is this host.
	Self port.Member
	// Members lists all known hosts, including this one and those that are gone.
	Members []port.Member
	// NotGoneCount is the number of live and leaving hosts, including this one.
	NotGoneCount int
	// ZoneNotGoneIDs lists the ids of the live and leaving hosts of this host's
	// zone, sorted.
	ZoneNotGoneIDs []string
	// UnreachableZones lists the other zones that no relay of this host's zone
	// reaches. Relays are the hosts that exchange gossip with other zones.
	UnreachableZones []string
	// WatchesStore is true if this host is one of those of its zone that watch the
	// store.
	WatchesStore bool
	// LeaseRank is this host's position among the candidates for its zone's lease,
	// from 0, or negative if it is not a candidate.
	LeaseRank int
	// CaughtUp is set once this host has received the records of another host; see
	// membership.Agent. It stays set.
	CaughtUp bool
	// OtherZones lists the known availability zones other than this host's.
	OtherZones []string

	// addresses maps the ids of the hosts that are not gone to their addresses.
	addresses map[string]string
}

// Partitioned reports whether there are other zones but none is reachable.
func (v *View) Partitioned() bool {
	return len(v.OtherZones) > 0 && len(v.UnreachableZones) == len(v.OtherZones)
}

// Leaving reports whether a host is known to be shutting down or gone.
func (v *View) Leaving(host string) bool {
	return slices.ContainsFunc(v.Members, func(m port.Member) bool { return m.ID == host && m.State != port.MemberLive })
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
	// wake makes Run process messages and tasks before the next tick.
	wake chan struct{}

	// mu guards inbox and tasks, which wait for the control goroutine.
	mu    sync.Mutex
	inbox []inboundMessage
	tasks []func(now time.Time)

	// Only the control goroutine accesses agent and nextStep, the time of the next
	// step of agent.
	agent    *membership.Agent
	nextStep time.Time
	// caughtUp is View.CaughtUp; only New and the control goroutine access it.
	caughtUp bool
}

var (
	_ port.Peers  = (*Fleet)(nil)
	_ port.Gossip = (*Fleet)(nil)
)

// New returns a Fleet that is not running. Call Subscribe and Handle before Run
// and before the transport is started.
func New(cfg Config) *Fleet {
	f := &Fleet{
		transport: cfg.Transport, clock: cfg.Clock, log: cfg.Log,
		records: newRecordTable(),
		wake:    make(chan struct{}, 1),
		agent:   membership.NewAgent(cfg.Clock.Now(), cfg.Self, cfg.Seeds, cfg.Rand),
	}
	cfg.Transport.OnMessage(f.receive)
	f.caughtUp = f.agent.CaughtUp()
	f.updateView(cfg.Clock.Now())
	return f
}

// Run processes messages and tasks on the control goroutine until ctx ends.
// runOnControl runs or queues a function on that goroutine and may block.
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
	if len(f.inbox) < maxInboxMessages {
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

// signal wakes Run. It does not block.
func (f *Fleet) signal() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// process runs the queued tasks, handles the queued messages, makes a step of the
// membership agent if one is due and passes new records to their subscribers. It
// runs on the control goroutine.
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
		f.updateView(now)
	}
	for _, record := range f.agent.TakeUpdates() {
		f.records.apply(record.GossipRecord)
	}
	f.records.sweep(now)
	// Subscribers have the records by now.
	if !f.View().CaughtUp && f.agent.CaughtUp() {
		f.caughtUp = true
		f.updateView(now)
	}
}

func (f *Fleet) send(out []spread.OutgoingMessage) {
	for _, o := range out {
		f.transport.Send(o.Address, o.Payload)
	}
}

// updateView publishes a new View for other goroutines to read. Only New and the
// control goroutine may call it.
func (f *Fleet) updateView(now time.Time) {
	t := f.agent.Table()
	v := &View{
		Self: t.Self(), Members: t.Members(now), NotGoneCount: t.CountNotGone(), ZoneNotGoneIDs: t.ZoneHostsNotGone(),
		UnreachableZones: t.UnreachableZones(),
		WatchesStore:     t.IsSelected("watch", membership.WatchersPerZone),
		LeaseRank:        slices.Index(t.SelectHosts(t.Self().AvailabilityZone, membership.LeasePurpose, membership.CandidatesPerLease), t.Self().ID),
		CaughtUp:         f.caughtUp,
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

// Ask implements port.Peers. A host that is unknown or gone is a *verdict.Error with
// CodeNotFound and NotRun.
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

// Publish implements port.Gossip. Get returns the record at once; the other hosts
// and this host's subscribers receive it from the control goroutine.
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

// SetRelease sets the version of the release in force that this host announces to
// the others. Only the control goroutine may call it.
func (f *Fleet) SetRelease(now time.Time, version uint64) { f.agent.SetRelease(now, version) }

// ApplyHostList queues the platform's host list for the control goroutine to apply.
func (f *Fleet) ApplyHostList(list []port.ListedHost) {
	f.enqueue(func(time.Time) { f.agent.Table().ApplyHostList(list) })
}

// Leave announces to the other hosts that this one is leaving. It returns like Flush.
func (f *Fleet) Leave(ctx context.Context) {
	f.enqueue(func(now time.Time) { f.agent.Leave(now) })
	f.Flush(ctx)
}

// Flush pushes the records published before it to other hosts. It returns when the
// messages are handed to the transport, for which Run must be running, or ctx ends.
func (f *Fleet) Flush(ctx context.Context) {
	done := make(chan struct{})
	f.enqueue(func(now time.Time) {
		f.send(f.agent.Step(now))
		f.updateView(now)
		close(done)
	})
	select {
	case <-done:
	case <-ctx.Done():
	}
}
