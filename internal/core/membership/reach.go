package membership

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/pimentorill/pimentorill/internal/port"
)

// ReachTopic is the topic of the records in which relays say which zones they
// reach. The records are not sent to other zones. The key is ZONE/RELAY, the value
// one byte: 1 if the zone is reached, else 0.
const ReachTopic = "reach"

// reachability records which other zones the relays of this zone reach.
type reachability struct {
	// byRelay says, by zone and then by relay id, whether the relay reaches the
	// zone.
	byRelay map[string]map[string]bool
	// published is what this host, as a relay, has last published, by zone.
	published map[string]publishedReach
}

// publishedReach is whether a zone was published as reached, and when.
type publishedReach struct {
	reached     bool
	publishedAt time.Time
}

func newReachability() reachability {
	return reachability{byRelay: make(map[string]map[string]bool), published: make(map[string]publishedReach)}
}

// MarkResponsive implements spread.Directory: a message of the host itself arrived.
func (t *Table) MarkResponsive(now time.Time, id, zone string) {
	t.lastHeardAt[zone] = now
	if h, ok := t.otherHosts[id]; ok {
		h.member.LastHeardAt = now
	}
}

// MarkUnresponsive implements spread.Directory: a host repeatedly did not
// respond. If it is alive and of this zone, TakeNewSuspects returns a record that
// it is suspect.
func (t *Table) MarkUnresponsive(now time.Time, id, _ string) {
	if rec, ok := t.SuspectRecord(now, id); ok {
		t.newSuspects = append(t.newSuspects, rec)
	}
}

// TakeNewSuspects returns the records, to be published, of hosts found
// unresponsive since the last call.
func (t *Table) TakeNewSuspects() []port.GossipRecord {
	out := t.newSuspects
	t.newSuspects = nil
	return out
}

// TakeReachRecords returns the records that this host, as a relay, has to publish,
// and counts them as published: those of zones whose reachability has changed, and
// the others at half of their lifetime. It returns none if this host is not a relay.
func (t *Table) TakeReachRecords(now time.Time) []port.GossipRecord {
	if !t.IsRelay() {
		clear(t.reach.published)
		return nil
	}
	var out []port.GossipRecord
	zones := t.OtherZones()
	timeout := max(minReachTimeout, time.Duration(len(zones))*reachTimeoutPerZone)
	for _, zone := range zones {
		reached := now.Sub(t.lastHeardAt[zone]) < timeout
		last, known := t.reach.published[zone]
		if known && last.reached == reached && now.Sub(last.publishedAt) < goneRetention/2 {
			continue
		}
		t.reach.published[zone] = publishedReach{reached: reached, publishedAt: now}
		value := []byte{0}
		if reached {
			value[0] = 1
		}
		out = append(out, port.GossipRecord{Topic: ReachTopic, Key: zone + "/" + t.self.ID,
			Version: uint64(now.UnixMilli()), Value: value, ExpiresAt: now.Add(goneRetention)})
	}
	return out
}

// ApplyReach applies a relay's record of ReachTopic and ignores a malformed one.
func (t *Table) ApplyReach(r port.GossipRecord) {
	zone, relay, ok := strings.Cut(r.Key, "/")
	if !ok || len(r.Value) != 1 {
		return
	}
	if t.reach.byRelay[zone] == nil {
		t.reach.byRelay[zone] = make(map[string]bool)
	}
	t.reach.byRelay[zone][relay] = r.Value[0] == 1
}

// isZoneReachable reports whether a relay of this zone reaches another zone.
func (t *Table) isZoneReachable(zone string) bool {
	for _, relay := range t.currentViews().ownRelays {
		if t.reach.byRelay[zone][relay] {
			return true
		}
	}
	return false
}

// zoneHeardAt returns when a zone was last heard from: now if a relay of this zone
// reaches it, otherwise the time of this host's last direct message from it. For
// this host's own zone it is always the latter.
func (t *Table) zoneHeardAt(now time.Time, zone string) time.Time {
	if zone != t.self.AvailabilityZone && t.isZoneReachable(zone) {
		return now
	}
	return t.lastHeardAt[zone]
}

// UnreachableZones returns the other zones with hosts not gone that no relay of this
// zone reaches.
func (t *Table) UnreachableZones() []string {
	var out []string
	for _, zone := range t.OtherZones() {
		if !t.isZoneReachable(zone) {
			out = append(out, zone)
		}
	}
	return out
}

// CountNotGone returns the number of hosts that are not gone, this one included.
func (t *Table) CountNotGone() int {
	count := 1
	for h := range maps.Values(t.otherHosts) {
		if h.member.State != port.MemberGone {
			count++
		}
	}
	return count
}

// ZoneHostsNotGone returns the ids of this zone's hosts that are not gone, sorted.
func (t *Table) ZoneHostsNotGone() []string {
	ids := []string{t.self.ID}
	for _, p := range t.ZonePeers() {
		ids = append(ids, p.ID)
	}
	slices.Sort(ids)
	return ids
}
