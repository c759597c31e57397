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
	// maxFollowedEngines bounds the engines that one host follows.
	maxFollowedEngines  = 16
	cacheEventsInterval = 2 * time.Second
	cacheEventsTimeout  = 500 * time.Millisecond
)

// followCacheEvents feeds cache events of some engines of the own availability
// zone to the index until ctx ends. Each host follows its own choice of
// them; for the others the answers' prompts and the hash have to do.
func (a *App) followCacheEvents(ctx context.Context) {
	reader, ok := a.deps.AttemptClient.(port.CacheEventReader)
	if !ok {
		return
	}
	for ctx.Err() == nil {
		for _, e := range a.followedEngines() {
			a.readCacheEvents(ctx, reader, e)
		}
		port.Sleep(ctx, cacheEventsInterval)
	}
}

func (a *App) readCacheEvents(ctx context.Context, reader port.CacheEventReader, e release.Endpoint) {
	ctx, cancel := context.WithTimeout(ctx, cacheEventsTimeout)
	defer cancel()
	events, err := reader.CacheEvents(ctx, e, a.dataPlane.cacheIndex.LastSequence(e.ID))
	if err == nil {
		a.dataPlane.cacheIndex.Apply(e.ID, events)
	}
}

// followed returns the engines that this host follows.
func (a *App) followedEngines() []release.Endpoint {
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
	return out[:min(len(out), maxFollowedEngines)]
}
