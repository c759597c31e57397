package app

import (
	"context"
	"log/slog"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"github.com/pimentorill/pimentorill/internal/core/coldstart"
	"github.com/pimentorill/pimentorill/internal/core/order"
	"github.com/pimentorill/pimentorill/internal/core/release"
	"github.com/pimentorill/pimentorill/internal/port"
)

const (
	// kindPermits is the message between hosts that carries an Ask.
	kindPermits = "coldstart.permits"
	// topicWord and topicDoubt are the topics on the board.
	topicWord  = "coldstart.word"
	topicDoubt = "coldstart.doubt"
	// markPrefix begins the store's key that says that permits of a zone may
	// be in use.
	markPrefix = "coldstart/"
	// leaseTick is the time between two looks at the zone's lease.
	leaseTick = 200 * time.Millisecond
	// markTimeout bounds a call to the store about the mark.
	markTimeout = 2 * time.Second
	// aloneFence is the fencing number of a host that has no peers.
	aloneFence = 1
)

var errNoHolder = errors.New("no host is known to hold the zone's permits")

// permits is the holder's side: it answers Asks for the host's own zone and
// brings the host's own Asks to the holders of their zones.
type permits struct {
	app    *App
	holder *coldstart.PermitIssuer
	gate   *coldstart.Limiter
	// alone says that the host has no peers and gives out the permits of all
	// zones.
	alone bool
	// fence is the lease followed now, 0 if none; first says that no permit of
	// an earlier one can be in use; mark is the revision of the store's mark.
	// Only run's goroutine uses them.
	fence uint64
	first bool
	mark  uint64
}

// newPermits registers with peers and board, so call it before these start.
func newPermits(a *App) *permits {
	p := &permits{app: a, alone: a.cfg.Standalone || a.deps.Peers == nil && a.deps.ZoneLease == nil}
	p.gate = coldstart.NewLimiter(p.spreadDoubt)
	p.holder = coldstart.NewPermitIssuer(p.gate.Status, p.spreadWord)
	if p.alone {
		now := a.deps.Clock.Now()
		p.holder.SetLease(coldstart.Lease{Fence: aloneFence, Since: now, Until: now.Add(forever), NoEarlierPermits: true})
	}
	if a.deps.Peers != nil {
		a.deps.Peers.Handle(kindPermits, p.handle)
	}
	if a.deps.Gossip != nil {
		a.deps.Gossip.Subscribe(topicWord, p.hearWord)
		a.deps.Gossip.Subscribe(topicDoubt, p.hearDoubt)
	}
	return p
}

// forever is the lease of a host that has no peers.
const forever = 100 * 365 * 24 * time.Hour

// ask implements permitAsker.
func (p *permits) ask(ctx context.Context, e release.Endpoint, a coldstart.PermitRequest) (coldstart.PermitReply, error) {
	deps := p.app.deps
	if p.alone || (e.AvailabilityZone == p.app.cfg.AvailabilityZone && p.lease(deps.Clock.Now()).Fence > 0) {
		return p.holder.Grant(deps.Clock.Now(), e, a)
	}
	host, ok := p.holderOf(e.AvailabilityZone)
	if !ok {
		return coldstart.PermitReply{}, errNoHolder
	}
	data, err := cbor.Marshal(a)
	if err != nil {
		return coldstart.PermitReply{}, err
	}
	data, err = deps.Peers.Ask(ctx, host, kindPermits, data)
	if err != nil {
		return coldstart.PermitReply{}, err
	}
	var reply coldstart.PermitReply
	err = cbor.Unmarshal(data, &reply)
	return reply, err
}

func (p *permits) holderOf(zone string) (string, bool) {
	deps := p.app.deps
	if deps.ZoneLeaseHolder == nil || deps.Peers == nil {
		return "", false
	}
	return deps.ZoneLeaseHolder(zone)
}

// handle answers another host's Ask.
func (p *permits) handle(_ context.Context, _ port.Member, payload []byte) ([]byte, error) {
	var a coldstart.PermitRequest
	if err := cbor.Unmarshal(payload, &a); err != nil {
		return nil, errors.Wrap(err, "decode ask")
	}
	r := p.app.Snapshot().Release
	if r == nil {
		return nil, errors.New("no release is known yet")
	}
	e, ok := r.Endpoint(a.Endpoint)
	if !ok || e.AvailabilityZone != p.app.cfg.AvailabilityZone {
		return nil, errors.Errorf("endpoint %q is not of this zone", a.Endpoint)
	}
	reply, err := p.holder.Grant(p.app.deps.Clock.Now(), e, a)
	if err != nil {
		return nil, err
	}
	return cbor.Marshal(reply)
}

func (p *permits) lease(now time.Time) order.Lease {
	if p.app.deps.ZoneLease == nil {
		return order.Lease{}
	}
	return p.app.deps.ZoneLease(now)
}

// run follows the zone's lease until ctx ends, and then hands the permits over.
func (p *permits) run(ctx context.Context) {
	if p.alone {
		return
	}
	for ctx.Err() == nil {
		p.follow(ctx)
		port.Sleep(ctx, leaseTick)
	}
	p.resign()
}

func (p *permits) follow(ctx context.Context) {
	l := p.lease(p.app.deps.Clock.Now())
	next := coldstart.Lease{Fence: l.Fence, Since: l.AcquiredAt, Until: l.ValidUntil}
	if l.Fence == 0 {
		p.fence = 0
		p.holder.SetLease(coldstart.Lease{})
		return
	}
	if l.Fence != p.fence {
		first, err := p.setMark(ctx)
		if err != nil {
			p.app.deps.Log.Warn("cannot mark that permits may be in use", slog.Any("error", err))
			return
		}
		p.fence = l.Fence
		p.first = first
	}
	next.NoEarlierPermits = p.first
	p.holder.SetLease(next)
}

// setMark writes down that permits may be in use. It reports whether none
// could be before. Without the mark no permit is given.
func (p *permits) setMark(ctx context.Context) (first bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, markTimeout)
	defer cancel()
	key := markPrefix + p.app.cfg.AvailabilityZone
	entry, err := p.app.deps.ControlStore.CompareAndSwap(ctx, key, 0, []byte(p.app.cfg.Host), 0)
	p.mark = entry.Revision
	if errors.Is(err, port.ErrConflict) {
		return false, nil
	}
	return err == nil, err
}

// resign removes the mark if no permit can be in use any more.
func (p *permits) resign() {
	p.holder.SetLease(coldstart.Lease{})
	if p.fence == 0 || p.holder.OutstandingPermits(p.app.deps.Clock.Now()) > 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), markTimeout)
	defer cancel()
	// A mark that stays makes the next holder wait, no more.
	_ = p.app.deps.ControlStore.Delete(ctx, markPrefix+p.app.cfg.AvailabilityZone, p.mark)
}

// spreadWord and spreadDoubt are called with the core's locks held and so
// hand over to a goroutine.
func (p *permits) spreadWord(w coldstart.Status) {
	p.app.dataPlane.spawn(func() {
		p.gate.ApplyStatus(p.app.deps.Clock.Now(), w)
		p.put(topicWord, w.Endpoint, uint64(w.Epoch), w)
	})
}

func (p *permits) spreadDoubt(d coldstart.Suspicion) {
	p.app.orders.Suspect(d.Endpoint)
	p.app.dataPlane.spawn(func() { p.put(topicDoubt, d.Endpoint, uint64(d.Epoch)+1, d) })
}

func (p *permits) put(topic, key string, version uint64, message any) {
	if p.app.deps.Gossip == nil {
		return
	}
	data, err := cbor.Marshal(message)
	if err != nil {
		p.app.deps.Log.Error("cannot encode a word on an endpoint", slog.Any("error", err))
		return
	}
	p.app.deps.Gossip.Publish(port.GossipRecord{Topic: topic, Key: key, Version: version, Value: data}, port.ScopeFleet)
}

func (p *permits) hearWord(r port.GossipRecord) {
	var w coldstart.Status
	if cbor.Unmarshal(r.Value, &w) == nil {
		p.gate.ApplyStatus(p.app.deps.Clock.Now(), w)
	}
}

func (p *permits) hearDoubt(r port.GossipRecord) {
	var d coldstart.Suspicion
	if cbor.Unmarshal(r.Value, &d) == nil {
		p.app.orders.Suspect(d.Endpoint)
		p.gate.ApplySuspicion(d)
	}
}

// adopt suspects the endpoints that come back into service with a release and
// forgets those that it no longer names.
func (p *permits) adopt(before, r *release.Release) {
	keep := make(map[string]bool, len(r.Endpoints))
	for _, e := range r.Endpoints {
		keep[e.ID] = true
		if before == nil || r.ZoneOutOfService(e.AvailabilityZone) || e.Leaving {
			continue
		}
		was, known := before.Endpoint(e.ID)
		if known && (was.Leaving || before.ZoneOutOfService(e.AvailabilityZone)) {
			p.gate.Suspect(e.ID)
		}
	}
	p.gate.Prune(keep)
}

// cold returns the ids of the endpoints that count as cold on this host.
func (p *permits) cold(r *release.Release) []string {
	var ids []string
	for _, e := range r.Endpoints {
		if !p.gate.Status(e.ID).Warm {
			ids = append(ids, e.ID)
		}
	}
	return ids
}
