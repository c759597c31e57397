package peering

import (
	"context"
	"log/slog"
	"slices"
	"sync"

	"github.com/pimentorill/pimentorill/internal/core/membership"
	"github.com/pimentorill/pimentorill/internal/core/verdict"
	"github.com/pimentorill/pimentorill/internal/port"
)

// Ask sends a request to another host and returns its response. The error is a
// *verdict.Error, with CodeNotReady and NotRun if the host is unknown or this one
// has not joined the group yet.
//
// The host is suspected after any error, including one that it returned itself,
// except CodeNoCapacity and CodeNotFound (an older build without a handler for the
// kind), and unless ctx ended first. It is also suspected if a
// ping of it fails during the request, which cancels the request.
func (g *Group) Ask(ctx context.Context, id, kind string, payload []byte) ([]byte, error) {
	host, known := g.cfg.Hosts()[id]
	requests, t := g.beginRequest(id)
	defer g.endRequest(id, requests)
	if t == nil || !known {
		return nil, verdict.New(verdict.CodeNotReady, verdict.NotRun, "host is not known")
	}
	callCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(requests.ctx, cancel)
	defer stop()
	response, err := t.Ask(callCtx, host.Address, kind, payload)
	if err != nil && ctx.Err() == nil && (requests.ctx.Err() != nil || !isOwnRefusal(err)) {
		g.suspectAndPingCandidates(id, err)
	}
	return response, err
}

// isOwnRefusal reports whether an error shows that the host is alive: it has no capacity
// for the request, or is of a build that does not handle its kind.
func isOwnRefusal(err error) bool {
	code := verdict.From(err).Code
	return code == verdict.CodeNoCapacity || code == verdict.CodeNotFound
}

// beginRequest counts a request to a host as in flight and has the host pinged
// while there are any. It returns the requests in flight to the host, for
// endRequest, and the transport, nil if this host has not joined the group yet.
func (g *Group) beginRequest(id string) (*hostRequests, transport) {
	g.mu.Lock()
	defer g.mu.Unlock()
	requests := g.inFlight[id]
	if requests == nil {
		ctx, cancel := context.WithCancel(context.Background())
		requests = &hostRequests{ctx: ctx, cancel: cancel}
		g.inFlight[id] = requests
		go g.pingWhileInFlight(id, requests)
	}
	requests.count++
	return requests, g.transport
}

// endRequest ends a request that beginRequest counted.
func (g *Group) endRequest(id string, requests *hostRequests) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if requests.count--; requests.count == 0 {
		requests.cancel()
		if g.inFlight[id] == requests {
			delete(g.inFlight, id)
		}
	}
}

// WhileReachable returns a context that ends once a ping of another host fails, or release is
// called. The host is pinged meanwhile, as long as it is known.
func (g *Group) WhileReachable(id string) (ctx context.Context, release func()) {
	requests, _ := g.beginRequest(id)
	ctx, cancel := context.WithCancel(requests.ctx)
	return ctx, sync.OnceFunc(func() {
		cancel()
		g.endRequest(id, requests)
	})
}

// pingWhileInFlight pings a host at inFlightPingInterval while requests to it are
// in flight. After a failed ping it suspects the host, pings the next candidates,
// and cancels these requests. It also ends if the host is no longer known.
func (g *Group) pingWhileInFlight(id string, requests *hostRequests) {
	for {
		port.Sleep(requests.ctx, inFlightPingInterval)
		host, known := g.cfg.Hosts()[id]
		if requests.ctx.Err() != nil || !known {
			return
		}
		_, err := g.ping(requests.ctx, host.Address, nil)
		if err == nil || requests.ctx.Err() != nil {
			continue
		}
		g.suspectAndPingCandidates(id, err)
		g.mu.Lock()
		if g.inFlight[id] == requests {
			delete(g.inFlight, id)
		}
		g.mu.Unlock()
		requests.cancel()
		return
	}
}

// suspect marks a host as suspected until it responds to a ping or is no longer
// known. It reports whether the host was not suspected before. err is the reason.
func (g *Group) suspect(id string, err error) bool {
	g.mu.Lock()
	wasSuspected := g.suspected[id]
	g.suspected[id] = true
	interrupted := 0
	if requests := g.inFlight[id]; requests != nil {
		interrupted = requests.count
	}
	g.mu.Unlock()
	if wasSuspected {
		return false
	}
	g.cfg.Log.Warn("host does not answer", slog.String("host", id), slog.Int("requests", interrupted), slog.Any("error", err))
	go g.pingSuspected(id)
	if host, ok := g.cfg.Hosts()[id]; ok && g.cfg.OnSuspected != nil {
		g.cfg.OnSuspected(host.Zone)
	}
	return true
}

// suspectAndPingCandidates suspects a host and, unless it was suspected before,
// pings the first maxCandidatePings candidates of its zone and of all: hosts are
// often partitioned together and would otherwise be detected one after the other. A
// candidate whose ping fails is suspected but causes no further pings, so that a host
// in a large group does not ping all others.
func (g *Group) suspectAndPingCandidates(id string, err error) {
	if !g.suspect(id, err) {
		return
	}
	candidates := firstOf(g.Candidates(), maxCandidatePings)
	if host, known := g.cfg.Hosts()[id]; known {
		candidates = append(candidates, firstOf(g.Coordinators(host.CoordinatedGroup, []string{host.Zone}), maxCandidatePings)...)
	}
	slices.Sort(candidates)
	for _, candidate := range slices.Compact(candidates) {
		if candidate != g.cfg.Self.ID {
			go g.pingHost(candidate, nil, func(id string, err error) { g.suspect(id, err) })
		}
	}
}

func firstOf(ids []string, n int) []string { return ids[:min(len(ids), n)] }

// pingMonitoredHosts pings the monitored hosts of this host at
// monitoredPingInterval until g.ctx ends.
func (g *Group) pingMonitoredHosts() {
	for g.ctx.Err() == nil {
		port.Sleep(g.ctx, monitoredPingInterval)
		for _, id := range g.monitoredHosts() {
			go g.pingMonitored(id)
		}
	}
}

// pingMonitored pings a monitored host and exchanges gossip with it.
func (g *Group) pingMonitored(id string) {
	if g.cfg.Gossip == nil {
		g.pingHost(id, nil, g.suspectAndPingCandidates)
		return
	}
	g.cfg.Gossip.Incoming(g.pingHost(id, g.cfg.Gossip.Outgoing(), g.suspectAndPingCandidates))
}

// handlePing replies to a ping, with gossip if the ping carries some.
func (g *Group) handlePing(_ context.Context, _ port.Member, payload []byte) ([]byte, error) {
	if len(payload) == 0 || g.cfg.Gossip == nil {
		return []byte{1}, nil
	}
	g.cfg.Gossip.Incoming(payload)
	return g.cfg.Gossip.Outgoing(), nil
}

// monitoredHosts returns the hosts that this host pings even without requests to
// them: one of its zone and one of another, if there are any, selected by
// rendezvous hashing from those that are not suspected.
func (g *Group) monitoredHosts() []string {
	hosts := g.cfg.Hosts()
	var sameZone, otherZones []string
	for _, id := range g.Others() {
		if hosts[id].Zone == g.cfg.Self.Zone {
			sameZone = append(sameZone, id)
		} else {
			otherZones = append(otherZones, id)
		}
	}
	return append(membership.SelectByRendezvous(sameZone, g.cfg.Self.ID, 1), membership.SelectByRendezvous(otherZones, g.cfg.Self.ID, 1)...)
}

// pingHost pings a host if it is known, and calls onFailure if the ping fails. It
// returns the payload of the reply.
func (g *Group) pingHost(id string, payload []byte, onFailure func(id string, err error)) []byte {
	host, known := g.cfg.Hosts()[id]
	if !known {
		return nil
	}
	reply, err := g.ping(g.ctx, host.Address, payload)
	if err != nil && g.ctx.Err() == nil {
		onFailure(id, err)
	}
	return reply
}

// pingSuspected pings a suspected host at suspectedPingInterval until it responds
// or is no longer known, and then no longer suspects it. It ends early with g.ctx.
func (g *Group) pingSuspected(id string) {
	for {
		port.Sleep(g.ctx, suspectedPingInterval)
		host, known := g.cfg.Hosts()[id]
		if g.ctx.Err() != nil {
			return
		}
		if known {
			if _, err := g.ping(g.ctx, host.Address, nil); err != nil {
				continue
			}
		}
		g.mu.Lock()
		delete(g.suspected, id)
		g.mu.Unlock()
		g.cfg.Log.Info("host answers again or is gone", slog.String("host", id), slog.Bool("known", known))
		return
	}
}

// ping sends a ping to an address and returns the payload of the reply, nil if only
// another frame arrived. It returns an error if neither a response nor any
// other frame arrives within pingTimeout, or if this host has not joined the group
// yet.
func (g *Group) ping(ctx context.Context, address string, payload []byte) ([]byte, error) {
	g.mu.Lock()
	t := g.transport
	g.mu.Unlock()
	if t == nil {
		return nil, verdict.New(verdict.CodeNotReady, verdict.NotRun, "not among the hosts yet")
	}
	callCtx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	received := t.FramesReceived(address)
	reply, err := t.Ask(callCtx, address, kindPing, payload)
	if err != nil && t.FramesReceived(address) > received {
		return nil, nil
	}
	if err != nil && ctx.Err() == nil {
		// The connection may be broken: the next request opens a new one.
		t.Reset(address)
	}
	return reply, err
}
