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
	// kindPermitRequest is the message between hosts that carries an Ask.
	kindPermitRequest = "coldstart.permits"
	// topicStatus and topicSuspicion are the topics on the board.
	topicStatus    = "coldstart.word"
	topicSuspicion = "coldstart.doubt"
	// markerPrefix begins the store's key that says that permits of a zone may
	// be in use.
	markerPrefix = "coldstart/"
	// leasePollInterval is the time between two looks at the zone's lease.
	leasePollInterval = 200 * time.Millisecond
	// markerTimeout bounds a call to the store about the mark.
	markerTimeout = 2 * time.Second
	// standaloneFence is the fencing number of a host that has no peers.
	standaloneFence = 1
)

var errNoLeaseHolder = errors.New("no host is known to hold the zone's permits")

// permits is the holder's side: it answers Asks for the host's own zone and
// brings the host's own Asks to the holders of their zones.
type permitService struct {
	app     *App
	issuer  *coldstart.PermitIssuer
	limiter *coldstart.Limiter
	// alone says that the host has no peers and gives out the permits of all
	// zones.
	standalone bool
	// fence is the lease followed now, 0 if none; first says that no permit of
	// an earlier one can be in use; mark is the revision of the store's mark.
	// Only run's goroutine uses them.
	fence            uint64
	noEarlierPermits bool
	markerRevision   uint64
}

// newPermitService registers with peers and board, so call it before these start.
func newPermitService(a *App) *permitService {
	p := &permitService{app: a, standalone: a.cfg.Standalone || a.deps.Peers == nil && a.deps.ZoneLease == nil}
	p.limiter = coldstart.NewLimiter(p.broadcastSuspicion)
	p.issuer = coldstart.NewPermitIssuer(p.limiter.Status, p.broadcastStatus)
	if p.standalone {
		now := a.deps.Clock.Now()
		p.issuer.SetLease(coldstart.Lease{Fence: standaloneFence, Since: now, Until: now.Add(standaloneLeaseTime), NoEarlierPermits: true})
	}
	if a.deps.Peers != nil {
		a.deps.Peers.Handle(kindPermitRequest, p.handlePermitRequest)
	}
	if a.deps.Gossip != nil {
		a.deps.Gossip.Subscribe(topicStatus, p.receiveStatus)
		a.deps.Gossip.Subscribe(topicSuspicion, p.receiveSuspicion)
	}
	return p
}

// forever is the lease of a host that has no peers.
const standaloneLeaseTime = 100 * 365 * 24 * time.Hour

// ask implements permitRequester.
func (p *permitService) requestPermits(ctx context.Context, e release.Endpoint, a coldstart.PermitRequest) (coldstart.PermitReply, error) {
	deps := p.app.deps
	if p.standalone || (e.AvailabilityZone == p.app.cfg.AvailabilityZone && p.lease(deps.Clock.Now()).Fence > 0) {
		return p.issuer.Grant(deps.Clock.Now(), e, a)
	}
	host, ok := p.leaseHolder(e.AvailabilityZone)
	if !ok {
		return coldstart.PermitReply{}, errNoLeaseHolder
	}
	data, err := cbor.Marshal(a)
	if err != nil {
		return coldstart.PermitReply{}, err
	}
	data, err = deps.Peers.Ask(ctx, host, kindPermitRequest, data)
	if err != nil {
		return coldstart.PermitReply{}, err
	}
	var reply coldstart.PermitReply
	err = cbor.Unmarshal(data, &reply)
	return reply, err
}

func (p *permitService) leaseHolder(zone string) (string, bool) {
	deps := p.app.deps
	if deps.ZoneLeaseHolder == nil || deps.Peers == nil {
		return "", false
	}
	return deps.ZoneLeaseHolder(zone)
}

// handle answers another host's Ask.
func (p *permitService) handlePermitRequest(_ context.Context, _ port.Member, payload []byte) ([]byte, error) {
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
	reply, err := p.issuer.Grant(p.app.deps.Clock.Now(), e, a)
	if err != nil {
		return nil, err
	}
	return cbor.Marshal(reply)
}

func (p *permitService) lease(now time.Time) order.Lease {
	if p.app.deps.ZoneLease == nil {
		return order.Lease{}
	}
	return p.app.deps.ZoneLease(now)
}

// run follows the zone's lease until ctx ends, and then hands the permits over.
func (p *permitService) run(ctx context.Context) {
	if p.standalone {
		return
	}
	for ctx.Err() == nil {
		p.updateLease(ctx)
		port.Sleep(ctx, leasePollInterval)
	}
	p.clearMarker()
}

func (p *permitService) updateLease(ctx context.Context) {
	l := p.lease(p.app.deps.Clock.Now())
	next := coldstart.Lease{Fence: l.Fence, Since: l.AcquiredAt, Until: l.ValidUntil}
	if l.Fence == 0 {
		p.fence = 0
		p.issuer.SetLease(coldstart.Lease{})
		return
	}
	if l.Fence != p.fence {
		first, err := p.writeMarker(ctx)
		if err != nil {
			p.app.deps.Log.Warn("cannot mark that permits may be in use", slog.Any("error", err))
			return
		}
		p.fence = l.Fence
		p.noEarlierPermits = first
	}
	next.NoEarlierPermits = p.noEarlierPermits
	p.issuer.SetLease(next)
}

// writeMarker writes down that permits may be in use. It reports whether none
// could be before. Without the mark no permit is given.
func (p *permitService) writeMarker(ctx context.Context) (first bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, markerTimeout)
	defer cancel()
	key := markerPrefix + p.app.cfg.AvailabilityZone
	entry, err := p.app.deps.ControlStore.CompareAndSwap(ctx, key, 0, []byte(p.app.cfg.Host), 0)
	p.markerRevision = entry.Revision
	if errors.Is(err, port.ErrConflict) {
		return false, nil
	}
	return err == nil, err
}

// resign removes the mark if no permit can be in use any more.
func (p *permitService) clearMarker() {
	p.issuer.SetLease(coldstart.Lease{})
	if p.fence == 0 || p.issuer.OutstandingPermits(p.app.deps.Clock.Now()) > 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), markerTimeout)
	defer cancel()
	// A mark that stays makes the next holder wait, no more.
	_ = p.app.deps.ControlStore.Delete(ctx, markerPrefix+p.app.cfg.AvailabilityZone, p.markerRevision)
}

// broadcastStatus and broadcastSuspicion are called with the core's locks held and so
// hand over to a goroutine.
func (p *permitService) broadcastStatus(w coldstart.Status) {
	p.app.dataPlane.spawn(func() {
		p.limiter.ApplyStatus(p.app.deps.Clock.Now(), w)
		p.publish(topicStatus, w.Endpoint, uint64(w.Epoch), w)
	})
}

func (p *permitService) broadcastSuspicion(d coldstart.Suspicion) {
	p.app.orders.RequestRead(d.Endpoint)
	p.app.dataPlane.spawn(func() { p.publish(topicSuspicion, d.Endpoint, uint64(d.Epoch)+1, d) })
}

func (p *permitService) publish(topic, key string, version uint64, message any) {
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

func (p *permitService) receiveStatus(r port.GossipRecord) {
	var w coldstart.Status
	if cbor.Unmarshal(r.Value, &w) == nil {
		p.limiter.ApplyStatus(p.app.deps.Clock.Now(), w)
	}
}

func (p *permitService) receiveSuspicion(r port.GossipRecord) {
	var d coldstart.Suspicion
	if cbor.Unmarshal(r.Value, &d) == nil {
		p.app.orders.RequestRead(d.Endpoint)
		p.limiter.ApplySuspicion(d)
	}
}

// adopt suspects the endpoints that come back into service with a release and
// forgets those that it no longer names.
func (p *permitService) applyRelease(before, r *release.Release) {
	keep := make(map[string]bool, len(r.Endpoints))
	for _, e := range r.Endpoints {
		keep[e.ID] = true
		if before == nil || r.ZoneOutOfService(e.AvailabilityZone) || e.Leaving {
			continue
		}
		was, known := before.Endpoint(e.ID)
		if known && (was.Leaving || before.ZoneOutOfService(e.AvailabilityZone)) {
			p.limiter.Suspect(e.ID)
		}
	}
	p.limiter.Prune(keep)
}

// cold returns the ids of the endpoints that count as cold on this host.
func (p *permitService) coldEndpoints(r *release.Release) []string {
	var ids []string
	for _, e := range r.Endpoints {
		if !p.limiter.Status(e.ID).Warm {
			ids = append(ids, e.ID)
		}
	}
	return ids
}
