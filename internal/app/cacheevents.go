package app

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pimentorill/pimentorill/internal/core/release"
	"github.com/pimentorill/pimentorill/internal/port"
)

// Bounds of following the engines' cache events.
const (
	// maxFollowed bounds the engines that one host follows.
	maxFollowed   = 16
	eventsEvery   = 2 * time.Second
	eventsTimeout = 500 * time.Millisecond
)

// followCaches feeds cache events of some engines of the own availability
// zone to the index until ctx ends. Each host follows its own choice of
// them; for the others the answers' prompts and the hash have to do.
func (a *App) followCaches(ctx context.Context) {
	reader, ok := a.deps.Caller.(port.CacheEventReader)
	if !ok {
		return
	}
	for ctx.Err() == nil {
		for _, e := range a.followed() {
			a.readEvents(ctx, reader, e)
		}
		port.Sleep(ctx, eventsEvery)
	}
}

func (a *App) readEvents(ctx context.Context, reader port.CacheEventReader, e release.Endpoint) {
	ctx, cancel := context.WithTimeout(ctx, eventsTimeout)
	defer cancel()
	events, err := reader.CacheEvents(ctx, e, a.traffic.index.LastSequence(e.ID))
	if err == nil {
		a.traffic.index.Apply(e.ID, events)
	}
}

// followed returns the engines that this host follows.
func (a *App) followed() []release.Endpoint {
	r := a.Snapshot().Release
	if r == nil {
		return nil
	}
	var out []release.Endpoint
	for _, e := range r.Endpoints {
		s, _ := r.Service(e.Service)
		if s.Kind == release.KindEngine && e.AvailabilityZone == a.cfg.AvailabilityZone && !e.Leaving {
			out = append(out, e)
		}
	}
	rank := func(e release.Endpoint) uint64 { return xxhash.Sum64String(a.cfg.Host + "\x00" + e.ID) }
	slices.SortFunc(out, func(x, y release.Endpoint) int { return cmp.Compare(rank(x), rank(y)) })
	return out[:min(len(out), maxFollowed)]
}
