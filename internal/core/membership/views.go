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

// Rendezvous returns the n ids that come first by a hash of id and purpose:
// every host that knows the same ids chooses the same ones, and a change of
// one id changes at most one choice.
func Rendezvous(ids []string, purpose string, n int) []string {
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

// Chosen returns the n hosts of a zone that are first for a purpose. Only
// live hosts that are not suspect are chosen.
func (t *Table) Chosen(zone, purpose string, n int) []string {
	var ids []string
	if zone == t.self.AvailabilityZone && t.self.State == port.MemberLive {
		ids = append(ids, t.self.ID)
	}
	for id, h := range t.hosts {
		if h.member.AvailabilityZone == zone && h.state() == port.MemberLive && h.version.rank == rankOwn {
			ids = append(ids, id)
		}
	}
	return Rendezvous(ids, purpose, n)
}

// SelfChosen reports whether this host is among the n first of its zone.
func (t *Table) SelfChosen(purpose string, n int) bool {
	return slices.Contains(t.Chosen(t.self.AvailabilityZone, purpose, n), t.self.ID)
}

const relayPurpose = "relay"

// IsRelay implements spread.Directory.
func (t *Table) IsRelay() bool { return slices.Contains(t.view().ownRelays, t.self.ID) }

// ZonePeers implements spread.Directory.
func (t *Table) ZonePeers() []spread.Peer { return t.view().zonePeers }

// OtherZones implements spread.Directory.
func (t *Table) OtherZones() []string { return t.view().otherZones }

// Relays implements spread.Directory.
func (t *Table) Relays(zone string) []spread.Peer { return t.view().relays[zone] }

func (t *Table) view() *views {
	if !t.views.valid {
		t.views = t.buildViews()
	}
	return &t.views
}

func (t *Table) buildViews() views {
	v := views{valid: true, relays: make(map[string][]spread.Peer)}
	for _, id := range slices.Sorted(maps.Keys(t.hosts)) {
		m := t.hosts[id].member
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
	v.ownRelays = t.Chosen(t.self.AvailabilityZone, relayPurpose, RelaysPerZone)
	for _, zone := range v.otherZones {
		for _, id := range t.Chosen(zone, relayPurpose, RelaysPerZone) {
			v.relays[zone] = append(v.relays[zone], peerOf(t.hosts[id].member))
		}
	}
	return v
}

func peerOf(m port.Member) spread.Peer {
	return spread.Peer{ID: m.ID, Zone: m.AvailabilityZone, Address: m.Address}
}

// Contact implements spread.Directory: in turn the seeds, the listed hosts
// that are not known as live, and the hosts that are gone. So halves that
// lost each other find each other again.
func (t *Table) ContactAddress(time.Time) string {
	live := map[string]bool{t.self.Address: true}
	for _, h := range t.hosts {
		if h.member.State != port.MemberGone {
			live[h.member.Address] = true
		}
	}
	var addresses []string
	for _, a := range t.seeds {
		if !live[a] {
			addresses = append(addresses, a)
		}
	}
	for _, l := range t.listed {
		if !live[l.Address] && l.ID != t.self.ID {
			addresses = append(addresses, l.Address)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(t.hosts)) {
		if m := t.hosts[id].member; m.State == port.MemberGone {
			addresses = append(addresses, m.Address)
		}
	}
	slices.Sort(addresses)
	addresses = slices.Compact(addresses)
	if len(addresses) == 0 {
		return ""
	}
	t.contacts++
	return addresses[t.contacts%len(addresses)]
}
