package origins

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/pimentorill/pimentorill/internal/core/catalog"
	"github.com/pimentorill/pimentorill/internal/core/membership"
	"github.com/pimentorill/pimentorill/internal/core/origin"
	"github.com/pimentorill/pimentorill/internal/facts"
	"github.com/pimentorill/pimentorill/internal/port"
)

// The store has an entry for each version at which streams may have begun. A host begins
// streams at a version only once its entry is there, so that a host which reads the
// entries, after it was asked to resume a stream, misses no version at which that stream may
// have begun, however old its facts are.
//
//   - The host that first learns of a version writes its entry (writeEntries).
//   - An entry counts only in the epoch that it names: a store that was restored from an
//     older copy may have lost others. The hosts write theirs again in the new epoch.
//   - If the store has no entries, or such of an earlier epoch, when a host starts, though
//     streams may go on that began before, an entry without a version (Incomplete) comes first,
//     until these have ended.
//   - An entry is removed once its version has not been registered for a long time.

const (
	// entryKeyPrefix is the prefix of the keys of all entries of this package. It follows
	// the prefix of pimentorill's own keys in the store; versionKeyPrefix follows it.
	entryKeyPrefix   = "streams/"
	versionKeyPrefix = "versions/"
	// incompleteName is the name of the entry without a version.
	incompleteName = "incomplete"
	// writeSpread is the time, for each host, over which the hosts spread their attempts to
	// write the entry of a new version.
	writeSpread = 5 * time.Millisecond
	// writeRetryDelay is the time between two attempts to write entries that failed.
	writeRetryDelay = 200 * time.Millisecond
	// storeTimeout bounds a store call.
	storeTimeout = 400 * time.Millisecond
	// cleanUpInterval is the time between two looks for entries to remove.
	cleanUpInterval = time.Minute
	// removalLease is the lease under which an entry is written to remove it.
	removalLease = time.Second
)

// versionEntry is an entry in the store.
type versionEntry struct {
	Service         string `json:"service,omitempty"`
	SoftwareVersion string `json:"software_version,omitempty"`
	// Epoch is the store's epoch in which the entry was written.
	Epoch int64 `json:"epoch,omitempty"`
	// Incomplete means that streams may go on that began at versions without an entry.
	Incomplete bool `json:"incomplete,omitempty"`
}

// VersionEntryName returns the name of the entry of a version, and reports whether the key
// is one of such an entry.
func VersionEntryName(key string) (string, bool) {
	_, name, ok := strings.Cut(key, entryKeyPrefix+versionKeyPrefix)
	return name, ok
}

// entryNameOf returns the name of a version's entry.
func entryNameOf(v origin.Version) string {
	sum := sha256.Sum256([]byte(v.Service + "\x00" + v.Software))
	return hex.EncodeToString(sum[:8])
}

// storedVersions is what the entries say.
type storedVersions struct {
	versions []origin.Version
	// complete means that no version is missing.
	complete bool
}

// decodeVersions decodes the values of the entries by name, as of an epoch.
func decodeVersions(entries map[string]string, epoch int64) storedVersions {
	out := storedVersions{complete: len(entries) > 0}
	for _, value := range entries {
		var e versionEntry
		if err := json.Unmarshal([]byte(value), &e); err != nil || e.Incomplete || e.Epoch != epoch {
			out.complete = false
			continue
		}
		out.versions = append(out.versions, origin.Version{Service: e.Service, Software: e.SoftwareVersion})
	}
	return out
}

// hasEntry reports whether the entry of a version is there and counts in an epoch.
func hasEntry(entries map[string]string, v origin.Version, epoch int64) bool {
	var e versionEntry
	value, ok := entries[entryNameOf(v)]
	return ok && json.Unmarshal([]byte(value), &e) == nil && e.Epoch == epoch
}

// versions tracks the entries of the versions that are registered. It is safe for concurrent
// use.
type versions struct {
	mu sync.Mutex
	// startedAt is the time of the first snapshot with a configuration, and begins says that
	// the entry without a version has to be written first.
	startedAt time.Time
	begins    bool
	// snapshot is the newest one.
	snapshot *facts.Snapshot
	// lastSeen holds when each version was registered last, for origin.VersionRetention.
	lastSeen map[origin.Version]time.Time
	// missing holds the versions of lastSeen whose entries are not known to be in the store,
	// with the time at which this host is to write them.
	missing map[origin.Version]time.Time
	// written holds the versions whose entries this host has found or written in an epoch,
	// before the snapshot shows them.
	written map[origin.Version]int64
	// changed is sent to when there may be something to write.
	changed chan struct{}
}

func newVersions() *versions {
	return &versions{lastSeen: make(map[origin.Version]time.Time), missing: make(map[origin.Version]time.Time), written: make(map[origin.Version]int64), changed: make(chan struct{}, 1)}
}

// observe adds what a snapshot says at the given time. first says that the whole system
// starts for the first time; only the first call reads it.
func (v *versions) observe(s *facts.Snapshot, now time.Time, first bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.startedAt.IsZero() {
		v.startedAt, v.begins = now, !first && !decodeVersions(s.VersionEntries, s.Position.Epoch).complete
	}
	v.snapshot = s
	for version, seen := range origin.RegisteredVersions(now, s.Config, s.Registrations) {
		if seen.After(v.lastSeen[version]) {
			v.lastSeen[version] = seen
		}
	}
	for version, seen := range v.lastSeen {
		epoch, written := v.written[version]
		_, missing := v.missing[version]
		switch {
		case now.Sub(seen) > origin.VersionRetention:
			delete(v.lastSeen, version)
			delete(v.written, version)
			delete(v.missing, version)
		case hasEntry(s.VersionEntries, version, s.Position.Epoch) || written && epoch == s.Position.Epoch:
			delete(v.missing, version)
		case !missing:
			v.missing[version] = now.Add(rand.N(writeSpread * time.Duration(1+len(s.Hosts))))
		}
	}
	v.wake()
}

// wake has Run look for what there is to write.
func (v *versions) wake() {
	select {
	case v.changed <- struct{}{}:
	default:
	}
}

// withEntries returns the endpoints whose versions are known to have an entry, or all if none
// has.
func (v *versions) withEntries(endpoints []*catalog.Endpoint) []*catalog.Endpoint {
	v.mu.Lock()
	defer v.mu.Unlock()
	if len(v.missing) == 0 {
		return endpoints
	}
	var out []*catalog.Endpoint
	for _, e := range endpoints {
		if _, missing := v.missing[origin.VersionOf(e)]; !missing {
			out = append(out, e)
		}
	}
	if len(out) == 0 {
		return endpoints
	}
	return out
}

// anyMissing reports whether a registered version has no entry, as far as is known.
func (v *versions) anyMissing() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return len(v.missing) > 0
}

// nextWrite returns a version whose entry this host is to write now, or the time until it
// has to write one; 0 if there is none.
func (v *versions) nextWrite(now time.Time) (version origin.Version, due bool, wait time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for missing, at := range v.missing {
		until := at.Sub(now)
		if until <= 0 {
			return missing, true, 0
		}
		if wait == 0 || until < wait {
			wait = until
		}
	}
	return origin.Version{}, false, wait
}

// postpone sets when this host is to write the entry of a version that is still missing.
func (v *versions) postpone(version origin.Version, until time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if _, missing := v.missing[version]; missing {
		v.missing[version] = until
	}
}

// writeEntries writes the entries that are due, and returns the time until the next one is; 0
// if there is none.
func (r *Registry) writeEntries(ctx context.Context) time.Duration {
	for {
		version, due, wait := r.versions.nextWrite(r.cfg.Clock.Now())
		if !due {
			return wait
		}
		if err := r.writeEntry(ctx, version); err != nil {
			r.cfg.Log.Warn("version of an endpoint not written to the store", slog.String("service", version.Service), slog.String("software_version", version.Software), slog.Any("error", err))
			r.versions.postpone(version, r.cfg.Clock.Now().Add(writeRetryDelay))
		}
	}
}

// writeEntry writes the entry of a version unless it is there.
func (r *Registry) writeEntry(ctx context.Context, version origin.Version) error {
	v := r.versions
	v.mu.Lock()
	begins, epoch, config := v.begins, v.snapshot.Position.Epoch, v.snapshot.Config
	v.mu.Unlock()
	if begins {
		if err := r.writeIncomplete(ctx, epoch, origin.LongestStream(config)); err != nil {
			return err
		}
	}
	name := entryNameOf(version)
	err := r.createEntry(ctx, name, versionEntry{Service: version.Service, SoftwareVersion: version.Software, Epoch: epoch}, port.Lease{})
	if err != nil {
		return err
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.begins = false
	v.written[version] = epoch
	delete(v.missing, version)
	return nil
}

// writeIncomplete writes the entry that says for some time that versions may be missing.
func (r *Registry) writeIncomplete(ctx context.Context, epoch int64, lifetime time.Duration) error {
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	lease, err := r.cfg.Store.GrantLease(callCtx, min(max(lifetime, r.cfg.MinLease), maxLifetime))
	if err != nil {
		return err
	}
	return r.createEntry(ctx, incompleteName, versionEntry{Epoch: epoch, Incomplete: true}, lease)
}

// createEntry writes an entry unless it is there in the same epoch. One with a lease is
// written in any case.
func (r *Registry) createEntry(ctx context.Context, name string, entry versionEntry, lease port.Lease) error {
	value, err := json.Marshal(entry)
	if err != nil {
		return errors.Wrap(err, "encode version entry")
	}
	ctx, cancel := context.WithTimeout(ctx, 2*storeTimeout)
	defer cancel()
	key := r.cfg.KeyPrefix + entryKeyPrefix + versionKeyPrefix + name
	_, err = r.cfg.Store.CompareAndSwap(ctx, key, value, 0, lease)
	if !errors.Is(err, port.ErrConflict) {
		return err
	}
	items, _, err := r.cfg.Store.Range(ctx, key)
	if err != nil {
		return err
	}
	for _, item := range items {
		var stored versionEntry
		if item.Key == key && (json.Unmarshal(item.Value, &stored) != nil || stored.Epoch != entry.Epoch || lease != (port.Lease{})) {
			_, err = r.cfg.Store.CompareAndSwap(ctx, key, value, item.Revision, lease)
			return err
		}
	}
	return nil
}

// removeOldEntries removes the entries of versions at which no stream can have begun that
// still goes on. The hosts divide the entries among them.
func (r *Registry) removeOldEntries(ctx context.Context) {
	now := r.cfg.Clock.Now()
	v := r.versions
	v.mu.Lock()
	s := v.snapshot
	inUse := make(map[string]bool)
	for version := range v.lastSeen {
		inUse[entryNameOf(version)] = true
	}
	tooEarly := v.startedAt.IsZero() || now.Sub(v.startedAt) <= origin.VersionRetention
	v.mu.Unlock()
	if tooEarly || s.Stale(now) {
		return
	}
	for name := range s.VersionEntries {
		if inUse[name] || name == incompleteName || !slices.Contains(membership.SelectByRendezvous(slices.Collect(maps.Keys(s.Hosts)), name, 1), r.cfg.HostID) {
			continue
		}
		if err := r.removeEntry(ctx, name); err != nil {
			r.cfg.Log.Info("entry of a former version not removed, it is tried again", slog.String("entry", name), slog.Any("error", err))
		}
	}
}

// removeEntry has an entry expire.
func (r *Registry) removeEntry(ctx context.Context, name string) error {
	ctx, cancel := context.WithTimeout(ctx, 3*storeTimeout)
	defer cancel()
	key := r.cfg.KeyPrefix + entryKeyPrefix + versionKeyPrefix + name
	items, _, err := r.cfg.Store.Range(ctx, key)
	if err != nil {
		return err
	}
	for _, item := range items {
		if item.Key != key {
			continue
		}
		lease, err := r.cfg.Store.GrantLease(ctx, max(removalLease, r.cfg.MinLease))
		if err != nil {
			return err
		}
		_, err = r.cfg.Store.CompareAndSwap(ctx, key, item.Value, item.Revision, lease)
		return err
	}
	return nil
}
