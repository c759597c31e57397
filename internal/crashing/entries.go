package crashing

import (
	"context"
	"encoding/json"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/pimentorill/pimentorill/internal/core/poison"
	"github.com/pimentorill/pimentorill/internal/facts"
	"github.com/pimentorill/pimentorill/internal/port"
)

const (
	// entryTTL is the TTL of the lease of an entry. It is written again while the blame
	// holds.
	entryTTL = 10 * time.Minute
	// writers is the number of candidates that write an entry if those before them have
	// not done so; each waits writerDelay longer than the one before.
	writers     = 3
	writerDelay = time.Second
	// writeInterval is the time between two attempts to write an entry. The snapshot
	// shows what was written long before.
	writeInterval = 5 * time.Second
	// writeTimeout bounds the two store calls that write an entry.
	writeTimeout = 2 * time.Second
	// entryKeyPrefix is the prefix of the entries' keys. It follows the prefix of
	// pimentorill's own keys in the store and is followed by the trait, without
	// requestTraitPrefix.
	entryKeyPrefix     = "crashing/"
	requestTraitPrefix = "request/"
)

// entry is an entry in the store. An operator lifts a blame by setting Lifted.
type entry struct {
	SinceUnixMs int64 `json:"since_unix_ms,omitempty"`
	Crashes     int   `json:"crashes,omitempty"`
	Lifted      bool  `json:"lifted,omitempty"`
}

// entries is what a Guard knows of the entries in the store.
type entries struct {
	mu sync.Mutex
	// seen holds the values of the entries that were applied, by name.
	seen map[string]string
	// writtenAt holds when this host last tried to write the entry of a trait, and leases
	// those that it wrote and that may still exist.
	writtenAt map[poison.Trait]time.Time
	leases    map[poison.Trait]port.Lease
}

func newEntries() entries {
	return entries{seen: make(map[string]string), writtenAt: make(map[poison.Trait]time.Time), leases: make(map[poison.Trait]port.Lease)}
}

// EntryName returns the name of an entry, the rest of its key after the prefixes, and
// reports whether the key is one of an entry.
func EntryName(key string) (string, bool) {
	_, name, ok := strings.Cut(key, entryKeyPrefix)
	return name, ok
}

func entryName(t poison.Trait) string { return strings.TrimPrefix(string(t), requestTraitPrefix) }

func traitOf(name string) poison.Trait {
	if !strings.Contains(name, "/") {
		name = requestTraitPrefix + name
	}
	return poison.Trait(name)
}

// Observe applies the entries of a snapshot that are new or changed, and finds endpoints in it
// that have started anew.
func (g *Guard) Observe(s *facts.Snapshot) {
	g.observeEndpoints(s)
	g.entries.mu.Lock()
	defer g.entries.mu.Unlock()
	for name := range g.entries.seen {
		if _, exists := s.CrashEntries[name]; !exists {
			delete(g.entries.seen, name)
		}
	}
	for name, value := range s.CrashEntries {
		if old, seen := g.entries.seen[name]; seen && old == value {
			continue
		}
		g.entries.seen[name] = value
		var e entry
		_ = json.Unmarshal([]byte(value), &e) // older builds write no fields
		switch {
		case e.Lifted:
			g.ledger.Lift(traitOf(name))
		case e.SinceUnixMs > 0:
			g.ledger.Restore(traitOf(name), max(0, g.cfg.Clock.Now().Sub(time.UnixMilli(e.SinceUnixMs))))
		default:
			g.ledger.Restore(traitOf(name), 0)
		}
	}
}

// recordBlames writes the entries of blames that have none, and removes those that this
// host wrote of blames that have ended.
func (g *Guard) recordBlames(ctx context.Context) {
	blames := g.ledger.Blames()
	if g.cfg.Metrics != nil {
		g.cfg.Metrics.Gauge("crash_blames").Update(float64(len(blames)))
	}
	now := g.cfg.Clock.Now()
	rank := slices.Index(g.cfg.Peers.Candidates(), g.cfg.Peers.Self())
	existing := g.cfg.Snapshot().CrashEntries
	g.entries.mu.Lock()
	defer g.entries.mu.Unlock()
	for trait, lease := range g.entries.leases {
		if !slices.ContainsFunc(blames, func(b poison.Blame) bool { return b.Trait == trait }) {
			delete(g.entries.leases, trait)
			go g.removeEntry(ctx, lease)
		}
	}
	for trait, at := range g.entries.writtenAt {
		if now.Sub(at) >= writeInterval {
			delete(g.entries.writtenAt, trait)
		}
	}
	for _, b := range blames {
		_, exists := existing[entryName(b.Trait)]
		_, tried := g.entries.writtenAt[b.Trait]
		if exists || tried || rank < 0 || rank >= writers || now.Sub(b.Since) < time.Duration(rank)*writerDelay {
			continue
		}
		g.entries.writtenAt[b.Trait] = now
		go g.writeEntry(ctx, b)
	}
}

// writeEntry writes the entry of a blame. If that fails, it is tried again later.
func (g *Guard) writeEntry(ctx context.Context, b poison.Blame) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	value, err := json.Marshal(entry{SinceUnixMs: b.Since.UnixMilli(), Crashes: b.Crashes})
	var lease port.Lease
	if err == nil {
		lease, err = g.cfg.Store.GrantLease(ctx, entryTTL)
	}
	if err == nil {
		_, err = g.cfg.Store.CompareAndSwap(ctx, g.cfg.KeyPrefix+entryKeyPrefix+entryName(b.Trait), value, 0, lease)
	}
	switch {
	case errors.Is(err, port.ErrConflict): // another host has written it
		g.removeEntry(ctx, lease)
	case err != nil:
		g.cfg.Log.Warn("blame not written to the store", slog.String("trait", string(b.Trait)), slog.Any("error", err))
	default:
		g.entries.mu.Lock()
		defer g.entries.mu.Unlock()
		g.entries.leases[b.Trait] = lease
	}
}

// removeEntry ends the lease of an entry, which removes it.
func (g *Guard) removeEntry(ctx context.Context, lease port.Lease) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	if err := g.cfg.Store.RevokeLease(ctx, lease); err != nil && !errors.Is(err, port.ErrNotFound) {
		g.cfg.Log.Warn("entry of a blame not removed from the store, it expires", slog.Any("error", err))
	}
}
