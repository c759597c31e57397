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
	a, link := g.begin(id)
	defer g.end(id, a)
	if link == nil || !known {
		return nil, verdict.New(verdict.CodeNotReady, verdict.NotRun, "host is not known")
	}
	call, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(a.ctx, cancel)
	defer stop()
	answer, err := link.Ask(call, host.Address, kind, payload)
	if err != nil && ctx.Err() == nil && (a.ctx.Err() != nil || verdict.From(err).Code != verdict.CodeNoCapacity) {
		g.suspectGroup(id, err)
	}
	return answer, err
}

func (g *Group) begin(id string) (*asked, link) {
	g.mu.Lock()
	defer g.mu.Unlock()
	a := g.asking[id]
	if a == nil {
		ctx, cancel := context.WithCancel(context.Background())
		a = &asked{ctx: ctx, cancel: cancel}
		g.asking[id] = a
		go g.watch(id, a)
	}
	a.count++
	return a, g.link
}

func (g *Group) end(id string, a *asked) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if a.count--; a.count == 0 {
		a.cancel()
		if g.asking[id] == a {
			delete(g.asking, id)
		}
	}
}

// watch pings a host while it has questions of ours.
func (g *Group) watch(id string, a *asked) {
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
		if g.asking[id] == a {
			delete(g.asking, id)
		}
		g.mu.Unlock()
		g.suspectGroup(id, err)
		a.cancel()
		return
	}
}

// suspect leaves a host alone until it answers a probe or is gone. It reports
// whether the host was not suspected before.
func (g *Group) suspect(id string, err error) bool {
	g.mu.Lock()
	known := g.suspects[id]
	g.suspects[id] = true
	g.mu.Unlock()
	if known {
		return false
	}
	g.cfg.Log.Warn("host does not answer", slog.String("host", id), slog.Any("error", err))
	go g.probe(id)
	if host, ok := g.cfg.Hosts()[id]; ok && g.cfg.Suspected != nil {
		g.cfg.Suspected(host.Zone)
	}
	return true
}

// suspectGroup suspects a host and looks at those that may be asked next: hosts
// are often cut off together, and would be found out one after the other. These
// lead no further, so that a host of a large fleet does not ask all others.
func (g *Group) suspectGroup(id string, err error) {
	if !g.suspect(id, err) {
		return
	}
	for _, next := range g.Candidates()[:min(len(g.Candidates()), suspectedTogether)] {
		if next != g.cfg.Self.ID {
			go g.check(next, func(id string, err error) { g.suspect(id, err) })
		}
	}
}

// beat asks two neighbours, one of them in another zone, again and again.
func (g *Group) beat() {
	for g.ctx.Err() == nil {
		port.Sleep(g.ctx, beatInterval)
		for _, id := range g.neighbours() {
			go g.check(id, g.suspectGroup)
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
func (g *Group) check(id string, suspect func(id string, err error)) {
	host, known := g.cfg.Hosts()[id]
	if !known {
		return
	}
	if err := g.ping(g.ctx, host.Address); err != nil && g.ctx.Err() == nil {
		suspect(id, err)
	}
}

func (g *Group) probe(id string) {
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
		delete(g.suspects, id)
		g.mu.Unlock()
		g.cfg.Log.Info("host answers again or is gone", slog.String("host", id), slog.Bool("known", known))
		return
	}
}

// ping asks a host for a sign of life.
func (g *Group) ping(ctx context.Context, address string) error {
	g.mu.Lock()
	link := g.link
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
