package facts

import (
	"time"

	"github.com/pimentorill/pimentorill/internal/core/catalog"
	"github.com/pimentorill/pimentorill/internal/port"
)

// A store that was restored from a copy some seconds old has lost what was written
// since, and holds again what was removed since, until its writers write it anew. The
// state does not go back meanwhile:
//
//   - An item that the copy lacks is kept for some time (retention).
//   - An older version of an item is ignored: a configuration with a lower version, an
//     earlier incarnation of an endpoint or host, a draining endpoint that is ready.
//   - An item that had been removed is held back for restoreGrace.
//
// What is still so after that time is taken as the truth. Changes reported by a watch
// are new and apply at once.

const (
	// restoreGrace is how long the state before a restore counts more than the copy, for
	// the configuration, evacuated zones, roll-outs and removed items. It is longer than the two seconds in which
	// endpoints register again, and shorter than the five within which an evacuation has
	// to take effect.
	restoreGrace = 3 * time.Second
	// refusalRetention is how long the refusal of a request that crashes endpoints is
	// kept after a restore. It is the lifetime of the lease under which it was written.
	refusalRetention = 30 * time.Second
	// tombstoneRetention is how long a removal is remembered: longer than a copy is old.
	tombstoneRetention = time.Minute
)

// loss says how the store may have lost an item.
type loss uint8

const (
	// notLost is an item that was removed, by its writer or with its lease.
	notLost loss = iota
	// lostInOutage is an item that may have expired while the store was unavailable.
	lostInOutage
	// lostInRestore is an item that a restored store does not hold.
	lostInRestore
)

// lossOf returns how the items that a complete update lacks were lost.
func lossOf(u update, restored bool) loss {
	switch {
	case restored:
		return lostInRestore
	case u.afterOutage:
		return lostInOutage
	default:
		return notLost
	}
}

// tombstone remembers a removed item.
type tombstone struct {
	position port.StorePosition
	// startedUnixMs is the start of the incarnation, for endpoints.
	startedUnixMs int64
	removedAt     time.Time
}

// heldItem is an item that is applied at a later time unless it is removed before.
type heldItem struct {
	item  port.KeyValue
	until time.Time
}

// retention returns how long a lost item is kept; 0 for one that was not lost or that
// is not written again.
func (s *state) retention(cfg Config, key string, cause loss) time.Duration {
	if cause == notLost {
		return 0
	}
	_, isHost := s.hosts[key]
	_, isRefusal := entryName(cfg.CrashEntryName, key)
	rollouts, _ := s.rolloutsOf(cfg, key)
	kind, _ := cfg.Decoder.ClassifyKey(key)
	switch {
	case s.endpoints[key] != nil || isHost:
		return reregistrationTime
	case cause == lostInRestore && (kind == port.KeyEvacuatedZone || kind == port.KeyConfig || rollouts != nil):
		return restoreGrace
	case cause == lostInRestore && isRefusal:
		return refusalRetention
	default:
		return 0
	}
}

// addTombstone records an item that is about to be removed.
func (s *state) addTombstone(key string, now time.Time) {
	item, ok := s.items[key]
	if !ok {
		return
	}
	t := tombstone{position: item.Position(), removedAt: now}
	if e := s.endpoints[key]; e != nil {
		t.startedUnixMs = e.StartedUnixMs
	}
	s.tombstones[key] = t
}

// holdBack holds an item of a restored store back if it was removed before the
// restore, and reports whether it does.
func (s *state) holdBack(cfg Config, item port.KeyValue, now time.Time) bool {
	t, removed := s.tombstones[item.Key]
	if _, known := s.items[item.Key]; known || !removed || item.Revision > t.position.Revision {
		return false
	}
	if kind, _ := cfg.Decoder.ClassifyKey(item.Key); kind == port.KeyEndpoint {
		if e, err := cfg.Decoder.DecodeEndpoint(item); err == nil && e.StartedUnixMs > t.startedUnixMs {
			return false
		}
	}
	s.heldBack[item.Key] = heldItem{item, now.Add(restoreGrace)}
	return true
}

// isOlderVersion reports whether an item of a later epoch is an older version of the
// known one.
func (s *state) isOlderVersion(cfg Config, known, item port.KeyValue) bool {
	if known.Epoch >= item.Epoch {
		return false
	}
	switch kind, _ := cfg.Decoder.ClassifyKey(item.Key); kind {
	case port.KeyConfig:
		c, err := cfg.Decoder.DecodeConfig(item.Value)
		return err == nil && s.config != nil && c.Version < s.config.Version
	case port.KeyEndpoint:
		e, err := cfg.Decoder.DecodeEndpoint(item)
		return err == nil && s.endpoints[item.Key] != nil && precedes(e, s.endpoints[item.Key])
	default:
		var h Host
		old, isHost := s.hosts[item.Key]
		return isHost && decodeHost(item, &h) && h.StartedUnixMs < old.StartedUnixMs
	}
}

// precedes reports whether a registration of an endpoint is older than the known one:
// of an earlier incarnation, or from before it began to drain.
func precedes(e, known *catalog.Endpoint) bool {
	return e.StartedUnixMs < known.StartedUnixMs || e.StartedUnixMs == known.StartedUnixMs && known.Draining && !e.Draining
}
