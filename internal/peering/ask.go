package peering

import (
	"context"
	"log/slog"

	"github.com/pimentorill/pimentorill/internal/core/membership"
	"github.com/pimentorill/pimentorill/internal/core/verdict"
	"github.com/pimentorill/pimentorill/internal/port"
)

// Ask asks another host. The error is a *verdict.Error. A host that stops
// answering while it is asked is suspected.
func (g *Group) Ask(ctx context.Context, id, kind string, payload []byte) ([]byte, error) {
	host, known := g.cfg.Hosts()[id]
	a, link := g.beginRequest(id)
	defer g.endRequest(id, a)
	if link == nil || !known {
		return nil, verdict.New(verdict.CodeNotReady, verdict.NotRun, "host is not known")
	}
	call, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(a.ctx, cancel)
	defer stop()
	answer, err := link.Ask(call, host.Address, kind, payload)
	if err != nil && ctx.Err() == nil && (a.ctx.Err() != nil || verdict.From(err).Code != verdict.CodeNoCapacity) {
		g.suspectWithCandidates(id, err)
	}
	return answer, err
}

func (g *Group) beginRequest(id string) (*hostRequests, transport) {
	g.mu.Lock()
	defer g.mu.Unlock()
	a := g.inFlight[id]
	if a == nil {
		ctx, cancel := context.WithCancel(context.Background())
		a = &hostRequests{ctx: ctx, cancel: cancel}
		g.inFlight[id] = a
		go g.watchHost(id, a)
	}
	a.count++
	return a, g.transport
}

func (g *Group) endRequest(id string, a *hostRequests) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if a.count--; a.count == 0 {
		a.cancel()
		if g.inFlight[id] == a {
			delete(g.inFlight, id)
		}
	}
}

// watch pings a host while it has questions of ours.
func (g *Group) watchHost(id string, a *hostRequests) {
	for {
		port.Sleep(a.ctx, pingInterval)
		host, known := g.cfg.Hosts()[id]
		if a.ctx.Err() != nil || !known {
			return
		}
		err := g.ping(a.ctx, host.Address)
		if err == nil || a.ctx.Err() != nil {
			continue
		}
		g.mu.Lock()
		if g.inFlight[id] == a {
			delete(g.inFlight, id)
		}
		g.mu.Unlock()
		g.suspectWithCandidates(id, err)
		a.cancel()
		return
	}
}

// suspect leaves a host alone until it answers a probe or is gone. It reports
// whether the host was not suspected before.
func (g *Group) markSuspected(id string, err error) bool {
	g.mu.Lock()
	known := g.suspected[id]
	g.suspected[id] = true
	g.mu.Unlock()
	if known {
		return false
	}
	g.cfg.Log.Warn("host does not answer", slog.String("host", id), slog.Any("error", err))
	go g.probeUntilResponsive(id)
	if host, ok := g.cfg.Hosts()[id]; ok && g.cfg.OnSuspected != nil {
		g.cfg.OnSuspected(host.Zone)
	}
	return true
}

// suspectWithCandidates suspects a host and looks at those that may be asked next: hosts
// are often cut off together, and would be found out one after the other. These
// lead no further, so that a host of a large fleet does not ask all others.
func (g *Group) suspectWithCandidates(id string, err error) {
	if !g.markSuspected(id, err) {
		return
	}
	for _, next := range g.Candidates()[:min(len(g.Candidates()), maxCorrelatedChecks)] {
		if next != g.cfg.Self.ID {
			go g.checkHost(next, func(id string, err error) { g.markSuspected(id, err) })
		}
	}
}

// beat asks two neighbours, one of them in another zone, again and again.
func (g *Group) checkNeighbours() {
	for g.ctx.Err() == nil {
		port.Sleep(g.ctx, neighbourCheckInterval)
		for _, id := range g.neighbours() {
			go g.checkHost(id, g.suspectWithCandidates)
		}
	}
}

// neighbours returns the first hosts in an order of this host's own that are
// thought to answer: one of its zone and one of another.
func (g *Group) neighbours() []string {
	hosts := g.cfg.Hosts()
	var near, far []string
	for _, id := range g.Others() {
		if hosts[id].Zone == g.cfg.Self.Zone {
			near = append(near, id)
		} else {
			far = append(far, id)
		}
	}
	return append(membership.SelectByRendezvous(near, g.cfg.Self.ID, 1), membership.SelectByRendezvous(far, g.cfg.Self.ID, 1)...)
}

// check pings a host and hands one that does not answer to suspect.
func (g *Group) checkHost(id string, suspect func(id string, err error)) {
	host, known := g.cfg.Hosts()[id]
	if !known {
		return
	}
	if err := g.ping(g.ctx, host.Address); err != nil && g.ctx.Err() == nil {
		suspect(id, err)
	}
}

func (g *Group) probeUntilResponsive(id string) {
	for {
		port.Sleep(g.ctx, probeInterval)
		host, known := g.cfg.Hosts()[id]
		if g.ctx.Err() != nil {
			return
		}
		if known && g.ping(g.ctx, host.Address) != nil {
			continue
		}
		g.mu.Lock()
		delete(g.suspected, id)
		g.mu.Unlock()
		g.cfg.Log.Info("host answers again or is gone", slog.String("host", id), slog.Bool("known", known))
		return
	}
}

// ping asks a host for a sign of life.
func (g *Group) ping(ctx context.Context, address string) error {
	g.mu.Lock()
	link := g.transport
	g.mu.Unlock()
	if link == nil {
		return verdict.New(verdict.CodeNotReady, verdict.NotRun, "not among the hosts yet")
	}
	call, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	_, err := link.Ask(call, address, kindPing, nil)
	if err != nil && ctx.Err() == nil {
		// The connection may have gone silent: the next question opens another.
		link.Reset(address)
	}
	return err
}
