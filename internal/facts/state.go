package facts

import (
	"bytes"
	"cmp"
	"encoding/json"
	"log/slog"
	"maps"
	"slices"
	"time"

	"github.com/pimentorill/pimentorill/internal/core/catalog"
	"github.com/pimentorill/pimentorill/internal/port"
)

// state is the replicated state. Only controlLoop's goroutine uses it.
type state struct {
	// config is the newest configuration; nil if none is known.
	config *catalog.Config
	// evacuatedZones holds the names of the evacuated zones.
	evacuatedZones map[string]bool
	// endpoints and hosts hold the decoded entries by key.
	endpoints map[string]*catalog.Endpoint
	hosts     map[string]Host
	// registrations holds those of the endpoints, by id.
	registrations registrations
	// items holds the undecoded items by key, for dumps.
	items    map[string]port.KeyValue
	position port.StorePosition
	// initialized is set once an update of the store or of another host is applied.
	initialized bool
	// confirmedAt is Snapshot.ConfirmedAt.
	confirmedAt time.Time
	// undecodable holds the keys of the endpoint entries that can't be decoded, for
	// one warning each.
	undecodable map[string]bool
	// removals holds, by key, when each item that the store has lost, in an outage or a
	// restore, is removed unless it is written again.
	removals     map[string]time.Time
	crashEntries map[string]string
	// versionEntries holds the values of the entries of software versions by name.
	versionEntries map[string]string
	// rolloutOrders and rolloutStatuses hold the keys of orders for roll-outs and of their
	// statuses by name.
	rolloutOrders, rolloutStatuses map[string]string
	// tombstones holds the items removed of late, and heldBack those that a restored
	// store holds although they had been removed; both by key.
	tombstones map[string]tombstone
	heldBack   map[string]heldItem
}

func newState() *state {
	return &state{evacuatedZones: make(map[string]bool), endpoints: make(map[string]*catalog.Endpoint), hosts: make(map[string]Host),
		items: make(map[string]port.KeyValue), undecodable: make(map[string]bool), removals: make(map[string]time.Time),
		rolloutOrders: make(map[string]string), rolloutStatuses: make(map[string]string),
		crashEntries: make(map[string]string), versionEntries: make(map[string]string), tombstones: make(map[string]tombstone), heldBack: make(map[string]heldItem)}
}

// apply applies an update of the store or of another host, unless it is older
// than the state. It returns the items that changed, and whether these are all that
// changed in the store since the position before.
func (s *state) apply(cfg Config, u update, now time.Time) (changes []port.KeyValue, continuous bool) {
	if u.position.Before(s.position) {
		return nil, true
	}
	u.items = passRecords(cfg, u.items)
	firstRead := !s.initialized
	restored := !firstRead && u.position.Epoch > s.position.Epoch
	if restored {
		cfg.Log.Warn("store restored from an older copy", slog.Int64("epoch", u.position.Epoch), slog.Int64("revision", u.position.Revision),
			slog.Int64("former_epoch", s.position.Epoch), slog.Int64("former_revision", s.position.Revision), slog.Int("items", len(u.items)), slog.Int("former_items", len(s.items)))
		cfg.Observer.StoreRestored()
	}
	changes, continuous = s.changesIn(u, firstRead || restored)
	s.position, s.initialized = u.position, true
	s.confirmedAt = laterOf(s.confirmedAt, now.Add(-u.age))
	if u.complete {
		s.removeMissing(cfg, u, lossOf(u, restored), now)
	}
	for _, item := range u.items {
		switch {
		case item.Deleted:
			s.removeItem(cfg, item.Key, notLost, now)
		case restored && s.holdBack(cfg, item, now):
		default:
			s.putItem(cfg, item, !firstRead)
		}
	}
	return changes, continuous
}

// passRecords passes the items that are records on and returns the others.
func passRecords(cfg Config, items []port.KeyValue) []port.KeyValue {
	if cfg.IsRecord == nil || !slices.ContainsFunc(items, func(item port.KeyValue) bool { return cfg.IsRecord(item.Key) }) {
		return items
	}
	var records, others []port.KeyValue
	for _, item := range items {
		if cfg.IsRecord(item.Key) {
			records = append(records, item)
		} else {
			others = append(others, item)
		}
	}
	cfg.OnRecords(records)
	return others
}

// changesIn returns the items of an update that is about to be applied and that change the
// state, and whether these are all that changed in the store. They are not if the state
// begins anew, or if entries may have expired that are to be kept.
func (s *state) changesIn(u update, beginsAnew bool) (changes []port.KeyValue, continuous bool) {
	if !u.complete {
		return u.items, true
	}
	if beginsAnew || u.afterOutage || u.age > 0 {
		return nil, false
	}
	present := make(map[string]bool, len(u.items))
	for _, item := range u.items {
		present[item.Key] = true
		if known, ok := s.items[item.Key]; !ok || known.Position().Before(item.Position()) {
			changes = append(changes, item)
		}
	}
	for key := range s.items {
		if !present[key] {
			changes = append(changes, port.KeyValue{Key: key, Deleted: true, Revision: u.position.Revision, Epoch: u.position.Epoch})
		}
	}
	slices.SortFunc(changes, func(a, b port.KeyValue) int { return cmp.Compare(a.Revision, b.Revision) })
	return changes, true
}

func laterOf(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// removeMissing removes the items that a complete update does not contain, as
// removeItem does.
func (s *state) removeMissing(cfg Config, u update, cause loss, now time.Time) {
	present := make(map[string]bool, len(u.items))
	for _, item := range u.items {
		present[item.Key] = true
	}
	for key := range s.items {
		if !present[key] {
			s.removeItem(cfg, key, cause, now)
		}
	}
	for key := range s.heldBack {
		if !present[key] {
			delete(s.heldBack, key)
		}
	}
}

// putItem applies a new or changed item, unless the known one is as new. A pending
// removal of its endpoint or host is cancelled in any case. afterFirstRead says
// that the item is not from the first complete read, of the store or of another
// host's state.
func (s *state) putItem(cfg Config, item port.KeyValue, afterFirstRead bool) {
	delete(s.removals, item.Key)
	delete(s.heldBack, item.Key)
	old, known := s.items[item.Key]
	if known && !old.Position().Before(item.Position()) {
		return
	}
	if known && s.isOlderVersion(cfg, old, item) {
		cfg.Log.Info("older version of an entry ignored", slog.String("key", item.Key), slog.Int64("epoch", item.Epoch), slog.Int64("revision", item.Revision))
		return
	}
	s.items[item.Key] = item
	if known && old.Epoch < item.Epoch && bytes.Equal(old.Value, item.Value) {
		return
	}
	switch kind, name := cfg.Decoder.ClassifyKey(item.Key); kind {
	case port.KeyConfig:
		s.putConfig(cfg, item)
	case port.KeyEvacuatedZone:
		cfg.Log.Info("zone taken out", slog.String("zone", name), slog.Int64("revision", item.Revision))
		s.evacuatedZones[name] = true
	case port.KeyEndpoint:
		s.putEndpoint(cfg, item, afterFirstRead)
	default:
		if entries, name := s.entriesOf(cfg, item.Key); entries != nil {
			entries[name] = string(item.Value)
			return
		}
		if keys, name := s.rolloutsOf(cfg, item.Key); keys != nil {
			keys[name] = item.Key
			return
		}
		s.putHost(cfg, item)
	}
}

// entriesOf returns the entries to which a key belongs and its name among them; nil if it is
// the key of another kind.
func (s *state) entriesOf(cfg Config, key string) (entries map[string]string, name string) {
	if name, ok := entryName(cfg.CrashEntryName, key); ok {
		return s.crashEntries, name
	}
	if name, ok := entryName(cfg.VersionEntryName, key); ok {
		return s.versionEntries, name
	}
	return nil, ""
}

// entryName calls nameOf, which may be nil.
func entryName(nameOf func(key string) (string, bool), key string) (string, bool) {
	if nameOf == nil {
		return "", false
	}
	return nameOf(key)
}

// putConfig replaces the configuration, unless the item can't be decoded or its
// version is lower.
func (s *state) putConfig(cfg Config, item port.KeyValue) {
	c, err := cfg.Decoder.DecodeConfig(item.Value)
	if err != nil {
		cfg.Log.Error("configuration ignored: can't be decoded", slog.Int64("revision", item.Revision), slog.Any("error", err))
		return
	}
	if s.config != nil && c.Version < s.config.Version {
		cfg.Log.Warn("older configuration ignored", slog.Int64("version", c.Version), slog.Int64("in_force", s.config.Version))
		return
	}
	s.config = c
}

// putEndpoint replaces an endpoint and notifies the observer. An endpoint whose
// entry can't be decoded is removed. The message "endpoint" is logged when an
// endpoint is new or its address, start time, software version or draining state has changed.
func (s *state) putEndpoint(cfg Config, item port.KeyValue, afterFirstRead bool) {
	e, err := cfg.Decoder.DecodeEndpoint(item)
	if err != nil {
		if !s.undecodable[item.Key] {
			cfg.Log.Warn("endpoint entry ignored: can't be decoded", slog.String("key", item.Key), slog.Any("error", err))
		}
		s.undecodable[item.Key] = true
		s.deleteEndpoint(item.Key, cfg.Clock.Now())
		return
	}
	delete(s.undecodable, item.Key)
	old := s.endpoints[item.Key]
	if old == nil || old.Draining != e.Draining || old.StartedUnixMs != e.StartedUnixMs || old.SoftwareVersion != e.SoftwareVersion || old.Address != e.Address {
		cfg.Log.Info("endpoint", slog.String("endpoint", e.ID), slog.String("service", e.Service), slog.String("address", e.Address),
			slog.String("zone", e.Zone), slog.String("software_version", e.SoftwareVersion), slog.Bool("draining", e.Draining), slog.Int64("born", e.StartedUnixMs), slog.Int64("revision", e.Revision))
	}
	s.endpoints[item.Key] = e
	s.registrations.put(e, cfg.Clock.Now())
	cfg.Observer.EndpointUpdated(e, s.service(e), afterFirstRead)
}

// deleteEndpoint deletes an endpoint, if it is known.
func (s *state) deleteEndpoint(key string, now time.Time) {
	if e := s.endpoints[key]; e != nil {
		s.registrations.end(e.ID, now)
	}
	delete(s.endpoints, key)
}

// service returns the service of an endpoint, nil if it is unknown.
func (s *state) service(e *catalog.Endpoint) *catalog.Service {
	if s.config == nil {
		return nil
	}
	return s.config.Services[e.Service]
}

// removeItem applies the removal of a key. An item that the store may have lost is
// kept for the time that its kind needs to be written again. The configuration stays
// in force without its key.
func (s *state) removeItem(cfg Config, key string, cause loss, now time.Time) {
	if keep := s.retention(cfg, key, cause); keep > 0 {
		if s.removals[key].IsZero() {
			cfg.Log.Info("entry lost by the store, kept for now", slog.String("key", key), slog.Duration("for", keep))
			s.removals[key] = now.Add(keep)
		}
		return
	}
	kind, name := cfg.Decoder.ClassifyKey(key)
	s.addTombstone(key, now)
	delete(s.items, key)
	delete(s.removals, key)
	delete(s.heldBack, key)
	switch kind {
	case port.KeyEvacuatedZone:
		s.restoreZone(cfg, name)
	case port.KeyEndpoint:
		if e := s.endpoints[key]; e != nil {
			cfg.Log.Info("endpoint gone", slog.String("endpoint", e.ID), slog.String("service", e.Service))
		}
		s.deleteEndpoint(key, now)
	case port.KeyOther:
		delete(s.hosts, key)
		if entries, name := s.entriesOf(cfg, key); entries != nil {
			delete(entries, name)
		}
		if keys, name := s.rolloutsOf(cfg, key); keys != nil {
			delete(keys, name)
		}
	}
}

// restoreZone ends the evacuation of a zone and notifies the observer of the zone's
// endpoints, which may have turned cold.
func (s *state) restoreZone(cfg Config, zone string) {
	cfg.Log.Info("zone taken back", slog.String("zone", zone))
	delete(s.evacuatedZones, zone)
	for _, e := range s.endpoints {
		if e.Zone == zone {
			cfg.Observer.EndpointTurnedCold(e, s.service(e))
		}
	}
}

// decodeHost decodes a host's entry and reports whether the item is one.
func decodeHost(item port.KeyValue, h *Host) bool {
	return json.Unmarshal(item.Value, h) == nil && h.ID != "" && h.Address != ""
}

// putHost replaces a host's entry. It ignores items that are no host entries.
func (s *state) putHost(cfg Config, item port.KeyValue) {
	var h Host
	if !decodeHost(item, &h) {
		return
	}
	if old, ok := s.hosts[item.Key]; !ok || old != h {
		cfg.Log.Info("host entry added or changed", slog.String("host", h.ID), slog.String("address", h.Address), slog.Int64("revision", item.Revision))
	}
	s.hosts[item.Key] = h
}

// applyExpired removes the items that were lost and not written again in time, and
// applies those that were held back. It reports whether there were any.
func (s *state) applyExpired(cfg Config, now time.Time) bool {
	changed := false
	for key, at := range s.removals {
		if !now.Before(at) {
			s.removeItem(cfg, key, notLost, now)
			changed = true
		}
	}
	for key, held := range s.heldBack {
		if !now.Before(held.until) {
			delete(s.heldBack, key)
			s.putItem(cfg, held.item, true)
			changed = true
		}
	}
	s.registrations.forget(now)
	for key, t := range s.tombstones {
		if now.Sub(t.removedAt) > tombstoneRetention {
			delete(s.tombstones, key)
		}
	}
	return changed
}

// snapshot returns a snapshot of the state.
func (s *state) snapshot() *Snapshot {
	out := &Snapshot{Config: s.config, Usable: make(map[string][]*catalog.Endpoint),
		Registrations: s.registrations.snapshot(), Incarnations: make(map[catalog.Incarnation]bool, len(s.endpoints)), EvacuatedZones: maps.Clone(s.evacuatedZones), CrashEntries: maps.Clone(s.crashEntries), VersionEntries: maps.Clone(s.versionEntries),
		RolloutOrders: s.itemsOf(s.rolloutOrders), RolloutStatuses: s.itemsOf(s.rolloutStatuses),
		Hosts: make(map[string]Host, len(s.hosts)), ConfirmedAt: s.confirmedAt, Position: s.position}
	for _, key := range slices.Sorted(maps.Keys(s.endpoints)) {
		e := s.endpoints[key]
		out.Incarnations[e.Incarnation()] = true
		if !e.Draining && !s.evacuatedZones[e.Zone] {
			out.Usable[e.Service] = append(out.Usable[e.Service], e)
		}
	}
	for _, h := range s.hosts {
		out.Hosts[h.ID] = h
	}
	return out
}

// dump returns the state for another host.
func (s *state) dump(now time.Time) *Dump {
	d := &Dump{Age: now.Sub(s.confirmedAt), Revision: s.position.Revision, Epoch: s.position.Epoch}
	for _, item := range s.items {
		d.Items = append(d.Items, item)
	}
	return d
}
