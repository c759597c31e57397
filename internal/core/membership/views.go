package membership

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pimentorill/pimentorill/internal/core/spread"
	"github.com/pimentorill/pimentorill/internal/port"
)

// SelectByRendezvous returns n of the ids, or all if there are fewer, by
// rendezvous hashing of id and purpose: every host that knows the same ids
// selects the same ones in the same order, and adding or removing one id changes
// at most one of the selected.
func SelectByRendezvous(ids []string, purpose string, n int) []string {
	type scored struct {
		id    string
		score uint64
	}
	all := make([]scored, 0, len(ids))
	for _, id := range ids {
		all = append(all, scored{id, xxhash.Sum64String(purpose + "\x00" + id)})
	}
	slices.SortFunc(all, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.id, b.id))
	})
	out := make([]string, 0, n)
	for _, s := range all[:min(n, len(all))] {
		out = append(out, s.id)
	}
	return out
}

// SelectHosts selects n of a zone's hosts for a purpose, such as LeasePurpose or
// relayPurpose, by rendezvous hashing (SelectByRendezvous) and returns their ids.
// Only live hosts that are not suspect are selected; if there are fewer than n,
// it returns all of them.
func (t *Table) SelectHosts(zone, purpose string, n int) []string {
	var ids []string
	if zone == t.self.AvailabilityZone && t.self.State == port.MemberLive {
		ids = append(ids, t.self.ID)
	}
	for id, h := range t.otherHosts {
		if h.member.AvailabilityZone == zone && h.effectiveState() == port.MemberLive && h.version.liveness == livenessAlive {
			ids = append(ids, id)
		}
	}
	return SelectByRendezvous(ids, purpose, n)
}

// IsSelected reports whether this host is among the n hosts of its zone that
// SelectHosts selects for a purpose.
func (t *Table) IsSelected(purpose string, n int) bool {
	return slices.Contains(t.SelectHosts(t.self.AvailabilityZone, purpose, n), t.self.ID)
}

const (
	// LeasePurpose is the purpose for which a zone's candidates for its lease are selected.
	LeasePurpose = "lease"
	relayPurpose = "relay"
)

// IsRelay implements spread.Directory.
func (t *Table) IsRelay() bool { return slices.Contains(t.currentViews().ownRelays, t.self.ID) }

// ZonePeers implements spread.Directory.
func (t *Table) ZonePeers() []spread.Peer { return t.currentViews().zonePeers }

// OtherZones implements spread.Directory.
func (t *Table) OtherZones() []string { return t.currentViews().otherZones }

// Relays implements spread.Directory.
func (t *Table) Relays(zone string) []spread.Peer { return t.currentViews().relays[zone] }

func (t *Table) currentViews() *views {
	if !t.views.valid {
		t.views = t.buildViews()
	}
	return &t.views
}

func (t *Table) buildViews() views {
	v := views{valid: true, relays: make(map[string][]spread.Peer)}
	for _, id := range slices.Sorted(maps.Keys(t.otherHosts)) {
		m := t.otherHosts[id].member
		if m.State == port.MemberGone {
			continue
		}
		if m.AvailabilityZone == t.self.AvailabilityZone {
			v.zonePeers = append(v.zonePeers, peerOf(m))
			continue
		}
		if !slices.Contains(v.otherZones, m.AvailabilityZone) {
			v.otherZones = append(v.otherZones, m.AvailabilityZone)
		}
	}
	slices.Sort(v.otherZones)
	v.ownRelays = t.SelectHosts(t.self.AvailabilityZone, relayPurpose, RelaysPerZone)
	for _, zone := range v.otherZones {
		for _, id := range t.SelectHosts(zone, relayPurpose, RelaysPerZone) {
			v.relays[zone] = append(v.relays[zone], peerOf(t.otherHosts[id].member))
		}
	}
	return v
}

func peerOf(m port.Member) spread.Peer {
	return spread.Peer{ID: m.ID, Zone: m.AvailabilityZone, Address: m.Address}
}

// ContactAddress implements spread.Directory. It returns in turn the addresses of
// the gone hosts, and those seeds' and listed hosts' addresses that no known host
// that is not gone has, so that the parts of a partitioned fleet find each other
// again; empty if there is none.
func (t *Table) ContactAddress(time.Time) string {
	notGone := map[string]bool{t.self.Address: true}
	for _, h := range t.otherHosts {
		if h.member.State != port.MemberGone {
			notGone[h.member.Address] = true
		}
	}
	var addresses []string
	for _, a := range t.seeds {
		if !notGone[a] {
			addresses = append(addresses, a)
		}
	}
	for _, l := range t.listed {
		if !notGone[l.Address] && l.ID != t.self.ID {
			addresses = append(addresses, l.Address)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(t.otherHosts)) {
		if m := t.otherHosts[id].member; m.State == port.MemberGone {
			addresses = append(addresses, m.Address)
		}
	}
	slices.Sort(addresses)
	addresses = slices.Compact(addresses)
	if len(addresses) == 0 {
		return ""
	}
	t.contactIndex++
	return addresses[t.contactIndex%len(addresses)]
}
