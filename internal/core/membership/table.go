// Package membership knows the hosts: which are live, leaving or gone, under
// which incarnation, and which of them speak for their availability zone,
// watch the store or stand as candidates for a lease. It learns from the
// hosts' own records, from peers' word, from its own unanswered probes and
// from the lagging host list. It is pure; a Table is not safe for concurrent use.
package membership

import (
	"slices"
	"strings"
	"time"

	"github.com/pimentorill/pimentorill/internal/core/spread"
	"github.com/pimentorill/pimentorill/internal/port"
)

const (
	// suspectTimeout is how long a host that did not answer may still show
	// that it lives before it counts as gone.
	suspectTimeout = 4 * time.Second
	// checkInterval is how often the hosts are looked through for suspects.
	checkInterval = 500 * time.Millisecond
	// goneRetention is how long a host that is gone is remembered.
	goneRetention = time.Hour
	// reachTimeout is how long a zone may stay silent, per zone that a relay
	// speaks to, before it counts as unreachable.
	reachTimeout = 2 * time.Second
	// minReachTimeout is the least time that makes a zone unreachable.
	minReachTimeout = 5 * time.Second
	// RelaysPerZone is the number of hosts that speak for a zone.
	RelaysPerZone = 2
	// WatchersPerZone is the number of hosts of a zone that watch the store.
	WatchersPerZone = 3
	// CandidatesPerLease is the number of hosts of a zone that try to hold a lease.
	CandidatesPerLease = 3
)

// host is what is known of one host.
type host struct {
	member    port.Member
	version   version
	suspectAt time.Time
	// listedLeaving is the incarnation that the host list said is leaving.
	listedLeaving uint64
	listLeaving   bool
}

// Table is this host's view of all hosts.
type Table struct {
	self     port.Member
	version  version
	hosts    map[string]*host
	listed   []port.ListedHost
	seeds    []string
	contacts int
	// heard is when a zone's hosts were last heard directly.
	heard map[string]time.Time
	reach reachability
	// silent are records of hosts that became suspect.
	silent    []port.GossipRecord
	nextCheck time.Time
	views     views
}

// views are lists derived from hosts, built anew after a change.
type views struct {
	valid      bool
	zonePeers  []spread.Peer
	otherZones []string
	relays     map[string][]spread.Peer
	ownRelays  []string
}

// NewTable returns a table that knows this host and the seeds' addresses.
func NewTable(self port.Member, seeds []string) *Table {
	return &Table{
		self:    self,
		version: version{incarnation: self.Incarnation},
		hosts:   make(map[string]*host),
		seeds:   seeds,
		heard:   make(map[string]time.Time),
		reach:   newReachability(),
	}
}

// Self returns this host.
func (t *Table) Self() port.Member { return t.self }

// Record returns this host's record as it is to be published now.
func (t *Table) Record() port.GossipRecord {
	b := body{Zone: t.self.AvailabilityZone, Address: t.self.Address, Release: t.self.ReleaseVersion,
		Leaving: t.self.State == port.MemberLeaving}
	return port.GossipRecord{Topic: Topic, Key: t.self.ID, Version: t.version.pack(), Value: b.encode()}
}

// SetRelease notes the release in force on this host. It reports whether the
// record has changed.
func (t *Table) SetRelease(v uint64) bool {
	if v == t.self.ReleaseVersion {
		return false
	}
	t.self.ReleaseVersion = v
	t.version.count++
	return true
}

// SetLeaving notes that this host is leaving.
func (t *Table) SetLeaving() {
	if t.self.State == port.MemberLeaving {
		return
	}
	t.self.State = port.MemberLeaving
	t.version.count++
	t.views.valid = false
}

// Apply takes a host's record. It returns this host's own record, to be
// published, if others think that this host is gone or suspect.
func (t *Table) Apply(now time.Time, r port.GossipRecord) ([]port.GossipRecord, error) {
	b, err := decodeBody(r)
	if err != nil {
		return nil, err
	}
	v := unpack(r.Version)
	if r.Key == t.self.ID {
		return t.refute(v), nil
	}
	h, ok := t.hosts[r.Key]
	if ok && h.version.pack() >= r.Version {
		return nil, nil
	}
	if !ok {
		h = &host{}
		t.hosts[r.Key] = h
	}
	before := h.placement()
	h.version = v
	h.member = port.Member{ID: r.Key, AvailabilityZone: b.Zone, Address: b.Address,
		Incarnation: v.incarnation, ReleaseVersion: b.Release, State: stateOf(v, b), LastHeardAt: h.member.LastHeardAt}
	h.suspectAt = time.Time{}
	if v.rank == rankSuspect {
		h.suspectAt = now
	} else if v.rank == rankOwn {
		h.member.LastHeardAt = now
	}
	if h.placement() != before {
		t.views.valid = false
	}
	return nil, nil
}

// placement is what the views depend on.
type placement struct {
	zone, address string
	state         port.MemberState
	rank          rank
}

func (h *host) placement() placement {
	return placement{h.member.AvailabilityZone, h.member.Address, h.state(), h.version.rank}
}

func stateOf(v version, b body) port.MemberState {
	switch {
	case v.rank == rankGone:
		return port.MemberGone
	case b.Leaving:
		return port.MemberLeaving
	default:
		return port.MemberLive
	}
}

// refute answers word of this host that it did not give itself.
func (t *Table) refute(v version) []port.GossipRecord {
	if v.incarnation != t.version.incarnation || v.pack() <= t.version.pack() {
		return nil
	}
	t.version.count = v.count + 1
	return []port.GossipRecord{t.Record()}
}

// Step returns the records to publish of hosts that were suspect for too long.
func (t *Table) Step(now time.Time) []port.GossipRecord {
	if now.Before(t.nextCheck) {
		return nil
	}
	t.nextCheck = now.Add(checkInterval)
	var out []port.GossipRecord
	for id, h := range t.hosts {
		switch {
		case h.version.rank == rankSuspect && now.Sub(h.suspectAt) >= suspectTimeout:
			out = append(out, h.say(rankGone, now))
		case h.version.rank == rankGone && now.Sub(h.member.LastHeardAt) > goneRetention:
			delete(t.hosts, id)
		}
	}
	slices.SortFunc(out, func(a, b port.GossipRecord) int { return strings.Compare(a.Key, b.Key) })
	return out
}

// say returns a record of a host in this host's word.
func (h *host) say(r rank, now time.Time) port.GossipRecord {
	v := h.version
	v.rank = r
	b := body{Zone: h.member.AvailabilityZone, Address: h.member.Address, Release: h.member.ReleaseVersion,
		Leaving: h.member.State == port.MemberLeaving}
	rec := port.GossipRecord{Topic: Topic, Key: h.member.ID, Version: v.pack(), Value: b.encode()}
	if r == rankGone {
		rec.ExpiresAt = now.Add(goneRetention)
	}
	return rec
}

// Suspect returns the record that says that a host of this zone did not
// answer; false if that is known or the host is of another zone.
func (t *Table) Suspect(now time.Time, id string) (port.GossipRecord, bool) {
	h, ok := t.hosts[id]
	if !ok || h.version.rank != rankOwn || h.member.AvailabilityZone != t.self.AvailabilityZone {
		return port.GossipRecord{}, false
	}
	return h.say(rankSuspect, now), true
}

// Listed takes the host list. The list lags: it makes addresses known, and
// says who is leaving, but never that an incarnation heard of is gone.
func (t *Table) Listed(list []port.ListedHost) {
	t.listed = slices.Clone(list)
	for _, l := range list {
		h, ok := t.hosts[l.ID]
		if !ok {
			continue
		}
		if l.Leaving && !h.listLeaving {
			h.listedLeaving = h.member.Incarnation
		}
		h.listLeaving = l.Leaving
	}
	t.views.valid = false
}

// state is the state of a host from all sources.
func (h *host) state() port.MemberState {
	if h.member.State == port.MemberLive && h.listLeaving && h.listedLeaving == h.member.Incarnation {
		return port.MemberLeaving
	}
	return h.member.State
}

// Members returns all known hosts in the order of their ids, this one included.
func (t *Table) Members(now time.Time) []port.Member {
	self := t.self
	self.LastHeardAt = now
	out := []port.Member{self}
	for _, h := range t.hosts {
		m := h.member
		m.State = h.state()
		if zone := t.heardZone(now, m.AvailabilityZone); h.version.rank == rankOwn && zone.After(m.LastHeardAt) {
			m.LastHeardAt = zone
		}
		out = append(out, m)
	}
	slices.SortFunc(out, func(a, b port.Member) int { return strings.Compare(a.ID, b.ID) })
	return out
}
