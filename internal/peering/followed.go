package peering

import (
	"cmp"
	"context"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/pimentorill/pimentorill/internal/core/membership"
	"github.com/pimentorill/pimentorill/internal/core/verdict"
	"github.com/pimentorill/pimentorill/internal/facts"
)

const (
	// storeWatchers is the number of hosts of a zone that watch the store, of which the
	// others of the zone learn what changes.
	storeWatchers = 3
	// minFollowedZone is the number of hosts of a zone from which on that is so. In a
	// smaller one all watch the store.
	minFollowedZone = 8
)

// Followed returns the hosts from which this one is to learn what changes in the store, in
// an order of preference that differs from host to host; none if this host is to watch the
// store itself. Hosts with the same knowledge agree on who watches: hosts with more
// capacity before others, neither suspected nor leaving.
func (g *Group) Followed() []string {
	candidates := g.candidates([]string{g.cfg.Self.Zone})
	if len(candidates) < minFollowedZone {
		return nil
	}
	slices.SortFunc(candidates, func(a, b facts.Host) int {
		return cmp.Or(compareCapacity(a, b, g.cfg.Self.Zone), cmp.Compare(xxhash.Sum64String(a.ID), xxhash.Sum64String(b.ID)))
	})
	var watchers []string
	for _, h := range candidates[:storeWatchers] {
		watchers = append(watchers, h.ID)
	}
	if slices.Contains(watchers, g.cfg.Self.ID) {
		return nil
	}
	return membership.SelectByRendezvous(watchers, g.cfg.Self.ID, storeWatchers)
}

// AskOften is Ask for requests that are repeated all the time: the host is not pinged while
// they are in flight, but when one fails. The host is suspected only if the ping fails too.
func (g *Group) AskOften(ctx context.Context, id, kind string, payload []byte) ([]byte, error) {
	host, known := g.cfg.Hosts()[id]
	g.mu.Lock()
	t := g.transport
	g.mu.Unlock()
	if t == nil || !known {
		return nil, verdict.New(verdict.CodeNotReady, verdict.NotRun, "host is not known")
	}
	response, err := t.Ask(ctx, host.Address, kind, payload)
	if err != nil && !isOwnRefusal(err) {
		go g.pingHost(id, nil, g.suspectAndPingCandidates)
	}
	return response, err
}
