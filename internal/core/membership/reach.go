package membership

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/pimentorill/pimentorill/internal/port"
)

// ReachTopic is the topic of the relays' records on which zones they reach.
// They stay within the zone; the key is ZONE/RELAY, the value one byte.
const ReachTopic = "reach"

// reachability is which other zones are reached, by each relay of this zone.
type reachability struct {
	// byRelay maps a zone to the relays that reach it.
	byRelay map[string]map[string]bool
	// own is what this host has last published as a relay.
	own map[string]reachSaid
}

// reachSaid is what was published, and when.
type reachSaid struct {
	reached bool
	at      time.Time
}

func newReachability() reachability {
	return reachability{byRelay: make(map[string]map[string]bool), own: make(map[string]reachSaid)}
}

// Answered implements spread.Directory.
func (t *Table) MarkResponsive(now time.Time, id, zone string) {
	t.heard[zone] = now
	if h, ok := t.hosts[id]; ok {
		h.member.HeardAt = now
	}
}

// Silent implements spread.Directory.
func (t *Table) MarkUnresponsive(now time.Time, id, _ string) {
	if rec, ok := t.Suspect(now, id); ok {
		t.silent = append(t.silent, rec)
	}
}

// TakeSilent returns the records of hosts that became suspect since the last call.
func (t *Table) TakeSilent() []port.Record {
	out := t.silent
	t.silent = nil
	return out
}

// ReachRecords returns what this host, as a relay, has to publish of the
// zones that it began or ceased to reach.
func (t *Table) ReachRecords(now time.Time) []port.Record {
	if !t.IsRelay() {
		clear(t.reach.own)
		return nil
	}
	var out []port.Record
	zones := t.OtherZones()
	timeout := max(minReachTimeout, time.Duration(len(zones))*reachTimeout)
	for _, zone := range zones {
		reached := now.Sub(t.heard[zone]) < timeout
		said, known := t.reach.own[zone]
		if known && said.reached == reached && now.Sub(said.at) < goneRetention/2 {
			continue
		}
		t.reach.own[zone] = reachSaid{reached: reached, at: now}
		value := []byte{0}
		if reached {
			value[0] = 1
		}
		out = append(out, port.Record{Topic: ReachTopic, Key: zone + "/" + t.self.ID,
			Version: uint64(now.UnixMilli()), Value: value, ExpiresAt: now.Add(goneRetention)})
	}
	return out
}

// ApplyReach takes a relay's record.
func (t *Table) ApplyReach(r port.Record) {
	zone, relay, ok := strings.Cut(r.Key, "/")
	if !ok || len(r.Value) != 1 {
		return
	}
	if t.reach.byRelay[zone] == nil {
		t.reach.byRelay[zone] = make(map[string]bool)
	}
	t.reach.byRelay[zone][relay] = r.Value[0] == 1
}

// reached reports whether a relay of this zone reaches another zone.
func (t *Table) reached(zone string) bool {
	for _, relay := range t.view().ownRelays {
		if t.reach.byRelay[zone][relay] {
			return true
		}
	}
	return false
}

// heardZone is when word of a zone's hosts last came, directly or through a relay.
func (t *Table) heardZone(now time.Time, zone string) time.Time {
	if zone != t.self.AvailabilityZone && t.reached(zone) {
		return now
	}
	return t.heard[zone]
}

// Unreachable returns the other zones that no relay of this zone reaches.
func (t *Table) Unreachable() []string {
	var out []string
	for _, zone := range t.OtherZones() {
		if !t.reached(zone) {
			out = append(out, zone)
		}
	}
	return out
}

// LiveCount returns the number of hosts that are not gone, this one included.
func (t *Table) LiveCount() int {
	count := 1
	for h := range maps.Values(t.hosts) {
		if h.member.State != port.MemberGone {
			count++
		}
	}
	return count
}

// LiveInZone returns the ids of this zone's hosts that are not gone, sorted.
func (t *Table) LiveInZone() []string {
	ids := []string{t.self.ID}
	for _, p := range t.ZonePeers() {
		ids = append(ids, p.ID)
	}
	slices.Sort(ids)
	return ids
}
