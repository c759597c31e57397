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

// Timing and bounds of reading the engines' prompt cache events.
const (
	// maxFollowedEngines bounds the engines whose events one host reads.
	maxFollowedEngines = 16
	// cacheEventsInterval is the pause between two rounds of reads.
	cacheEventsInterval = 2 * time.Second
	// cacheEventsTimeout bounds the read of one engine's events.
	cacheEventsTimeout = 500 * time.Millisecond
)

// followCacheEvents applies the cache events of the followed engines to the cache
// index, until ctx ends. For the other engines routing relies on the prompts that
// they have responded to and on the hash of the prompt prefix.
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

// readCacheEvents reads an engine's events after the last known one. After a failure
// the next round reads the same events.
func (a *App) readCacheEvents(ctx context.Context, reader port.CacheEventReader, e release.Endpoint) {
	ctx, cancel := context.WithTimeout(ctx, cacheEventsTimeout)
	defer cancel()
	events, err := reader.CacheEvents(ctx, e, a.dataPlane.cacheIndex.LastSequence(e.ID))
	if err == nil {
		a.dataPlane.cacheIndex.Apply(e.ID, events)
	}
}

// followedEngines returns the engines whose cache events this host reads: up to
// maxFollowedEngines of its zone, those with the lowest hashes of host and endpoint
// id, so that each host follows others. It returns nil if no release is known.
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
