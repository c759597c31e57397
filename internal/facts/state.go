package facts

import (
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
	endpoints map[string]*endpointEntry
	hosts     map[string]Host
	// items holds the undecoded items by key, for dumps.
	items    map[string]port.KeyValue
	revision int64
	// initialized is set once an update of the store or of another host is applied.
	initialized bool
	// confirmedAt is Snapshot.ConfirmedAt.
	confirmedAt time.Time
	// undecodable holds the keys of the endpoint entries that can't be decoded, for
	// one warning each.
	undecodable map[string]bool
	// hostRemovals holds, by key, when each host whose entry expired in an outage of
	// the store is removed unless it registers again.
	hostRemovals        map[string]time.Time
	refusedFingerprints map[string]bool
}

// endpointEntry is an endpoint as registered in the store.
type endpointEntry struct {
	*catalog.Endpoint
	// removeAt is when an endpoint whose entry expired in an outage of the store is
	// removed unless it registers again; zero for all others.
	removeAt time.Time
}

func newState() *state {
	return &state{evacuatedZones: make(map[string]bool), endpoints: make(map[string]*endpointEntry), hosts: make(map[string]Host),
		items: make(map[string]port.KeyValue), undecodable: make(map[string]bool), hostRemovals: make(map[string]time.Time),
		refusedFingerprints: make(map[string]bool)}
}

// apply applies an update of the store or of another host, unless it is older
// than the state.
func (s *state) apply(cfg Config, u update, now time.Time) {
	if u.revision < s.revision {
		return
	}
	firstRead := !s.initialized
	s.revision, s.initialized = u.revision, true
	s.confirmedAt = laterOf(s.confirmedAt, now.Add(-u.dumpAge))
	if u.complete {
		s.removeMissing(cfg, u, now)
	}
	for _, item := range u.items {
		if item.Deleted {
			s.removeItem(cfg, item.Key, false, now)
			continue
		}
		s.putItem(cfg, item, !firstRead)
	}
}

func laterOf(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// removeMissing removes the items that a complete update does not contain, as
// removeItem does.
func (s *state) removeMissing(cfg Config, u update, now time.Time) {
	present := make(map[string]bool, len(u.items))
	for _, item := range u.items {
		present[item.Key] = true
	}
	for key := range s.items {
		if !present[key] {
			s.removeItem(cfg, key, u.afterOutage, now)
		}
	}
}

// putItem applies a new or changed item, unless the known one is as new. A pending
// removal of its endpoint or host is cancelled in any case. afterFirstRead says
// that the item is not from the first complete read, of the store or of another
// host's state.
func (s *state) putItem(cfg Config, item port.KeyValue, afterFirstRead bool) {
	if old, ok := s.items[item.Key]; ok && old.Revision >= item.Revision {
		if e := s.endpoints[item.Key]; e != nil {
			e.removeAt = time.Time{}
		}
		delete(s.hostRemovals, item.Key)
		return
	}
	s.items[item.Key] = item
	switch kind, name := cfg.Decoder.ClassifyKey(item.Key); kind {
	case port.KeyConfig:
		s.putConfig(cfg, item)
	case port.KeyEvacuatedZone:
		cfg.Log.Info("zone taken out", slog.String("zone", name), slog.Int64("revision", item.Revision))
		s.evacuatedZones[name] = true
	case port.KeyEndpoint:
		s.putEndpoint(cfg, item, afterFirstRead)
	default:
		if fingerprint, ok := cfg.refusedFingerprint(item.Key); ok {
			s.refusedFingerprints[fingerprint] = true
			return
		}
		s.putHost(cfg, item)
	}
}

// refusedFingerprint returns the fingerprint whose requests are refused while the
// key exists.
func (cfg Config) refusedFingerprint(key string) (string, bool) {
	if cfg.RefusedFingerprint == nil {
		return "", false
	}
	return cfg.RefusedFingerprint(key)
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
// endpoint is new or its address, start time or draining state has changed.
func (s *state) putEndpoint(cfg Config, item port.KeyValue, afterFirstRead bool) {
	e, err := cfg.Decoder.DecodeEndpoint(item)
	if err != nil {
		if !s.undecodable[item.Key] {
			cfg.Log.Warn("endpoint entry ignored: can't be decoded", slog.String("key", item.Key), slog.Any("error", err))
		}
		s.undecodable[item.Key] = true
		delete(s.endpoints, item.Key)
		return
	}
	delete(s.undecodable, item.Key)
	old := s.endpoints[item.Key]
	if old == nil || old.Draining != e.Draining || old.StartedUnixMs != e.StartedUnixMs || old.Address != e.Address {
		cfg.Log.Info("endpoint", slog.String("endpoint", e.ID), slog.String("service", e.Service), slog.String("address", e.Address),
			slog.String("zone", e.Zone), slog.Bool("draining", e.Draining), slog.Int64("born", e.StartedUnixMs), slog.Int64("revision", e.Revision))
	}
	s.endpoints[item.Key] = &endpointEntry{Endpoint: e}
	cfg.Observer.EndpointUpdated(e, s.service(e), afterFirstRead)
}

// service returns the service of an endpoint, nil if it is unknown.
func (s *state) service(e *catalog.Endpoint) *catalog.Service {
	if s.config == nil {
		return nil
	}
	return s.config.Services[e.Service]
}

// removeItem applies the removal of a key. afterOutage says that the key may have
// expired in an outage of the store; endpoints and hosts are then kept for
// reregistrationTime. The configuration stays in force without its key.
func (s *state) removeItem(cfg Config, key string, afterOutage bool, now time.Time) {
	kind, name := cfg.Decoder.ClassifyKey(key)
	if kind == port.KeyEndpoint && afterOutage {
		if e := s.endpoints[key]; e != nil && e.removeAt.IsZero() {
			cfg.Log.Info("endpoint entry expired while the store was unavailable", slog.String("endpoint", name))
			e.removeAt = now.Add(reregistrationTime)
			return
		}
		if s.endpoints[key] != nil {
			return
		}
	}
	if _, known := s.hosts[key]; known && afterOutage {
		if s.hostRemovals[key].IsZero() {
			s.hostRemovals[key] = now.Add(reregistrationTime)
		}
		return
	}
	delete(s.items, key)
	switch kind {
	case port.KeyEvacuatedZone:
		s.restoreZone(cfg, name)
	case port.KeyEndpoint:
		s.removeEndpoint(key, cfg.Log)
	case port.KeyOther:
		delete(s.hosts, key)
		if fingerprint, ok := cfg.refusedFingerprint(key); ok {
			delete(s.refusedFingerprints, fingerprint)
		}
	}
}

func (s *state) removeEndpoint(key string, log *slog.Logger) {
	if e := s.endpoints[key]; e != nil {
		log.Info("endpoint gone", slog.String("endpoint", e.ID), slog.String("service", e.Service))
	}
	delete(s.endpoints, key)
	delete(s.items, key)
}

// restoreZone ends the evacuation of a zone and notifies the observer of the zone's
// endpoints, which may have turned cold.
func (s *state) restoreZone(cfg Config, zone string) {
	cfg.Log.Info("zone taken back", slog.String("zone", zone))
	delete(s.evacuatedZones, zone)
	for _, e := range s.endpoints {
		if e.Zone == zone {
			cfg.Observer.EndpointTurnedCold(e.Endpoint, s.service(e.Endpoint))
		}
	}
}

// putHost replaces a host's entry. It ignores items that are no host entries.
func (s *state) putHost(cfg Config, item port.KeyValue) {
	var h Host
	if err := json.Unmarshal(item.Value, &h); err != nil || h.ID == "" || h.Address == "" {
		return
	}
	if old, ok := s.hosts[item.Key]; !ok || old != h {
		cfg.Log.Info("host entry added or changed", slog.String("host", h.ID), slog.String("address", h.Address), slog.Int64("revision", item.Revision))
	}
	s.hosts[item.Key] = h
	delete(s.hostRemovals, item.Key)
}

// removeExpired removes the endpoints and hosts that were not registered again
// within reregistrationTime. It reports whether it removed any.
func (s *state) removeExpired(now time.Time, log *slog.Logger) bool {
	changed := false
	for key, e := range s.endpoints {
		if !e.removeAt.IsZero() && !now.Before(e.removeAt) {
			s.removeEndpoint(key, log)
			changed = true
		}
	}
	for key, at := range s.hostRemovals {
		if !now.Before(at) {
			delete(s.hostRemovals, key)
			delete(s.hosts, key)
			delete(s.items, key)
			changed = true
		}
	}
	return changed
}

// snapshot returns a snapshot of the state.
func (s *state) snapshot() *Snapshot {
	out := &Snapshot{Config: s.config, Usable: make(map[string][]*catalog.Endpoint),
		Incarnations: make(map[catalog.Incarnation]bool, len(s.endpoints)), EvacuatedZones: maps.Clone(s.evacuatedZones), RefusedFingerprints: maps.Clone(s.refusedFingerprints),
		Hosts: make(map[string]Host, len(s.hosts)), ConfirmedAt: s.confirmedAt, Revision: s.revision}
	for _, key := range slices.Sorted(maps.Keys(s.endpoints)) {
		e := s.endpoints[key]
		out.Incarnations[e.Incarnation()] = true
		if !e.Draining && !s.evacuatedZones[e.Zone] {
			out.Usable[e.Service] = append(out.Usable[e.Service], e.Endpoint)
		}
	}
	for _, h := range s.hosts {
		out.Hosts[h.ID] = h
	}
	return out
}

// dump returns the state for another host.
func (s *state) dump(now time.Time) *Dump {
	d := &Dump{Age: now.Sub(s.confirmedAt), Revision: s.revision}
	for _, item := range s.items {
		d.Items = append(d.Items, item)
	}
	return d
}
