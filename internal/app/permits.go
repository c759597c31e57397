package app

import (
	"context"
	"encoding/json"
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
	// kindPermitRequest is the kind of the message that carries a PermitRequest.
	kindPermitRequest = "coldstart.permits"
	// topicStatus and topicSuspicion are the gossip topics of a coldstart.Status
	// and a coldstart.Suspicion.
	topicStatus    = "coldstart.word"
	topicSuspicion = "coldstart.doubt"
	// markerPrefix and the zone's name form the key of the zone's marker, which
	// exists in the store while permits of the zone may be in use.
	markerPrefix = "coldstart/"
	// leasePollInterval is the time between two checks whether this host holds the
	// zone's lease. The check itself reads local state only.
	leasePollInterval = 200 * time.Millisecond
	// markerTimeout bounds a write or a delete of the marker.
	markerTimeout = 2 * time.Second
	// permitReturnTime bounds how long a stopping lease holder takes back permits in use,
	// and permitReturnPoll is the time between two checks whether it has all.
	permitReturnTime = time.Second
	permitReturnPoll = 20 * time.Millisecond
	// standaloneFence is the fencing token of a standalone host.
	standaloneFence = 1
)

var errNoLeaseHolder = errors.New("no lease holder is known for the endpoint's zone")

// permitService issues the permits of the host's own zone while the host holds
// the zone's lease, and sends the host's own permit requests to the lease holders
// of the endpoints' zones.
type permitService struct {
	app     *App
	issuer  *coldstart.PermitIssuer
	limiter *coldstart.Limiter
	// standalone says that the host issues the permits of all zones, because it
	// shares the endpoints with no other host.
	standalone bool
	// fence is the fencing token of the lease that the issuer has, 0 if none.
	// earlierPermits says what is known of the permits of earlier leases.
	// markerRevision is the store revision of the marker. Only run's goroutine
	// uses these fields.
	fence          uint64
	earlierPermits earlierPermits
	markerRevision uint64
	// leaseChanged makes run look at the lease at once.
	leaseChanged wake
}

// earlierPermits is what a lease holder learns from the marker of the one before it.
type earlierPermits struct {
	// none means that none can be in use.
	none bool
	// until is the time from which none can be in use; zero if unknown.
	until time.Time
}

// marker is the value of the zone's marker in the store.
type marker struct {
	Host string `json:"host"`
	// InUseMs is for how long, from when the marker was written, permits may be in use
	// after the host has stopped issuing them; 0 while it issues them.
	InUseMs int64 `json:"in_use_ms,omitempty"`
}

// newPermitService registers handlers with the peers and the gossip, so it must be
// called before these are started.
func newPermitService(a *App) *permitService {
	p := &permitService{app: a, standalone: a.cfg.Standalone || a.deps.Peers == nil && a.deps.ZoneLease == nil, leaseChanged: newWake()}
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

// standaloneLeaseTime is the duration of a standalone host's lease.
const standaloneLeaseTime = 100 * 365 * 24 * time.Hour

// requestPermits implements permitRequester. Each request is logged, at level debug.
func (p *permitService) requestPermits(ctx context.Context, e release.Endpoint, req coldstart.PermitRequest) (coldstart.PermitReply, error) {
	holder, _ := p.leaseHolder(e.AvailabilityZone)
	reply, err := p.askIssuer(ctx, e, req)
	p.app.deps.Log.Debug("permit request", slog.String("endpoint", e.ID), slog.String("holder", holder),
		slog.Int("requested", req.Count), slog.Int("issued", len(reply.Permits)), slog.Bool("warm", reply.Status.Warm), slog.Any("error", err))
	return reply, err
}

// askIssuer sends a permit request to the issuer of the endpoint's zone: this host's if it
// is standalone or holds the zone's lease, else the lease holder's.
func (p *permitService) askIssuer(ctx context.Context, e release.Endpoint, req coldstart.PermitRequest) (coldstart.PermitReply, error) {
	deps := p.app.deps
	if p.standalone || (e.AvailabilityZone == p.app.cfg.AvailabilityZone && p.lease(deps.Clock.Now()).Fence > 0) {
		return p.issuer.Grant(deps.Clock.Now(), e, req)
	}
	host, ok := p.leaseHolder(e.AvailabilityZone)
	if !ok {
		return coldstart.PermitReply{}, errNoLeaseHolder
	}
	data, err := cbor.Marshal(req)
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

// leaseHolder returns the id of the host that last announced that it holds the zone's
// lease; false if none is known or there are no peers.
func (p *permitService) leaseHolder(zone string) (string, bool) {
	deps := p.app.deps
	if deps.ZoneLeaseHolder == nil || deps.Peers == nil {
		return "", false
	}
	return deps.ZoneLeaseHolder(zone)
}

// handlePermitRequest passes another host's permit request, for an endpoint of this
// host's zone, to the issuer. It fails if this host does not hold the zone's lease.
func (p *permitService) handlePermitRequest(_ context.Context, _ port.Member, payload []byte) ([]byte, error) {
	var req coldstart.PermitRequest
	if err := cbor.Unmarshal(payload, &req); err != nil {
		return nil, errors.Wrap(err, "decode permit request")
	}
	r := p.app.Snapshot().Release
	if r == nil {
		return nil, errors.New("no release is known yet")
	}
	e, ok := r.Endpoint(req.Endpoint)
	if !ok || e.AvailabilityZone != p.app.cfg.AvailabilityZone {
		return nil, errors.Errorf("endpoint %q is not in this host's zone", req.Endpoint)
	}
	reply, err := p.issuer.Grant(p.app.deps.Clock.Now(), e, req)
	if err != nil {
		return nil, err
	}
	return cbor.Marshal(reply)
}

// lease returns the zone's lease if this host holds it at the given time, else the
// zero Lease.
func (p *permitService) lease(now time.Time) order.Lease {
	if p.app.deps.ZoneLease == nil {
		return order.Lease{}
	}
	return p.app.deps.ZoneLease(now)
}

// run passes the zone's lease to the issuer until ctx ends, and then calls
// clearMarker.
func (p *permitService) run(ctx context.Context) {
	if p.standalone {
		return
	}
	for ctx.Err() == nil {
		p.updateLease(ctx)
		p.leaseChanged.sleep(ctx, leasePollInterval)
	}
	p.clearMarker()
}

// updateLease passes the current lease to the issuer, a new lease only after the
// marker is written. Without the marker no permit is issued under it. Then it announces
// this host as the holder of a new lease, so that no host asks it for permits before.
func (p *permitService) updateLease(ctx context.Context) {
	current := p.lease(p.app.deps.Clock.Now())
	next := coldstart.Lease{Fence: current.Fence, Since: current.AcquiredAt, Until: current.ValidUntil}
	if current.Fence == 0 {
		p.fence = 0
		p.issuer.SetLease(coldstart.Lease{})
		return
	}
	isNew := current.Fence != p.fence
	if isNew {
		earlier, err := p.writeMarker(ctx)
		if err != nil {
			p.app.deps.Log.Warn("marker of permits in use not written", slog.Any("error", err))
			return
		}
		p.fence = current.Fence
		p.earlierPermits = earlier
	}
	next.NoEarlierPermits, next.EarlierPermitsUntil = p.earlierPermits.none, p.earlierPermits.until
	p.issuer.SetLease(next)
	if isNew {
		p.app.broadcastLeaseHolder(current.Fence)
	}
}

// writeMarker writes the marker of a host that issues permits, and returns what the one
// before it says. The end of ctx does not interrupt it: clearMarker has to know whether
// the marker was written.
func (p *permitService) writeMarker(ctx context.Context) (earlierPermits, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), markerTimeout)
	defer cancel()
	entry, err := p.putMarker(ctx, 0, marker{Host: p.app.cfg.Host})
	if !errors.Is(err, port.ErrConflict) {
		p.markerRevision = entry.Revision
		return earlierPermits{none: err == nil}, err
	}
	readAt := p.app.deps.Clock.Now()
	var earlier earlierPermits
	var before marker
	// Older builds write the host's name alone.
	if json.Unmarshal(entry.Value, &before) == nil && before.InUseMs > 0 {
		earlier.until = readAt.Add(time.Duration(before.InUseMs) * time.Millisecond)
	}
	entry, err = p.putMarker(ctx, entry.Revision, marker{Host: p.app.cfg.Host})
	p.markerRevision = entry.Revision
	return earlier, err
}

// putMarker writes the marker if its revision is prev.
func (p *permitService) putMarker(ctx context.Context, prev uint64, m marker) (port.Entry, error) {
	value, err := json.Marshal(m)
	if err != nil {
		return port.Entry{}, err
	}
	return p.app.deps.ControlStore.CompareAndSwap(ctx, markerPrefix+p.app.cfg.AvailabilityZone, prev, value, 0)
}

// clearMarker stops issuing permits. If this host holds the lease, it deletes the
// marker, or has it say for how long its permits may still be in use.
func (p *permitService) clearMarker() {
	p.issuer.StopIssuing()
	for end := time.Now().Add(permitReturnTime); p.fence != 0 && p.issuer.InUseFor(p.app.deps.Clock.Now()) > 0 && time.Now().Before(end); {
		time.Sleep(permitReturnPoll)
	}
	inUseFor := p.issuer.EndLease(p.app.deps.Clock.Now())
	if p.fence == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), markerTimeout)
	defer cancel()
	// A marker that stays as it was only makes the next lease holder wait.
	if inUseFor > 0 {
		_, _ = p.putMarker(ctx, p.markerRevision, marker{Host: p.app.cfg.Host, InUseMs: inUseFor.Milliseconds() + 1})
		return
	}
	_ = p.app.deps.ControlStore.Delete(ctx, markerPrefix+p.app.cfg.AvailabilityZone, p.markerRevision)
}

// broadcastStatus applies and gossips a status. The issuer calls it with its lock
// held, so the work is done on another goroutine.
func (p *permitService) broadcastStatus(status coldstart.Status) {
	p.app.dataPlane.spawn(func() {
		p.limiter.ApplyStatus(p.app.deps.Clock.Now(), status)
		p.publish(topicStatus, status.Endpoint, uint64(status.Epoch), status)
	})
}

// broadcastSuspicion gossips a suspicion and requests a read of the engine. The
// limiter calls it with its lock held, so it must not block.
func (p *permitService) broadcastSuspicion(suspicion coldstart.Suspicion) {
	p.app.orders.RequestRead(suspicion.Endpoint)
	p.app.dataPlane.spawn(func() { p.publish(topicSuspicion, suspicion.Endpoint, uint64(suspicion.Epoch)+1, suspicion) })
}

// publish gossips a CBOR-encoded message to all hosts.
func (p *permitService) publish(topic, key string, version uint64, message any) {
	if p.app.deps.Gossip == nil {
		return
	}
	data, err := cbor.Marshal(message)
	if err != nil {
		p.app.deps.Log.Error("endpoint status or suspicion not encoded", slog.Any("error", err))
		return
	}
	p.app.deps.Gossip.Publish(port.GossipRecord{Topic: topic, Key: key, Version: version, Value: data}, port.ScopeFleet)
}

// receiveStatus applies a gossiped status. One that cannot be decoded is ignored.
func (p *permitService) receiveStatus(r port.GossipRecord) {
	var status coldstart.Status
	if cbor.Unmarshal(r.Value, &status) == nil {
		p.limiter.ApplyStatus(p.app.deps.Clock.Now(), status)
	}
}

// receiveSuspicion applies a gossiped suspicion and requests a read of the engine. A
// suspicion that cannot be decoded is ignored.
func (p *permitService) receiveSuspicion(r port.GossipRecord) {
	var suspicion coldstart.Suspicion
	if cbor.Unmarshal(r.Value, &suspicion) == nil {
		p.app.orders.RequestRead(suspicion.Endpoint)
		p.limiter.ApplySuspicion(suspicion)
	}
}

// applyRelease marks the endpoints that return to service with the current release
// as possibly cold and removes the state of those that are not in it. before is the
// previous release, nil if there is none.
func (p *permitService) applyRelease(before, current *release.Release) {
	keep := make(map[string]bool, len(current.Endpoints))
	for _, e := range current.Endpoints {
		keep[e.ID] = true
		if before == nil || current.ZoneOutOfService(e.AvailabilityZone) || e.Leaving {
			continue
		}
		previous, known := before.Endpoint(e.ID)
		if known && (previous.Leaving || before.ZoneOutOfService(e.AvailabilityZone)) {
			p.limiter.Suspect(e.ID)
		}
	}
	p.limiter.Prune(keep)
}

// coldEndpoints returns the ids of the release's endpoints that this host treats
// as cold.
func (p *permitService) coldEndpoints(r *release.Release) []string {
	var ids []string
	for _, e := range r.Endpoints {
		if !p.limiter.Status(e.ID).Warm {
			ids = append(ids, e.ID)
		}
	}
	return ids
}
