// Package membership tracks the hosts: which are live, leaving or gone, under
// which incarnation, and which of them are relays of their availability zone,
// watch the store or are candidates for a lease. Its sources are the hosts' own
// records, other hosts' records about them, this host's unanswered probes and
// the host list, which lags. It does no I/O; a Table is not safe for concurrent
// use.
package membership

import (
	"slices"
	"strings"
	"time"

	"github.com/pimentorill/pimentorill/internal/core/spread"
	"github.com/pimentorill/pimentorill/internal/port"
)

const (
	// suspectTimeout is how long a suspect host has to refute the suspicion
	// before it counts as gone.
	suspectTimeout = 4 * time.Second
	// suspectCheckInterval is how often the hosts are checked for suspects whose
	// timeout has passed.
	suspectCheckInterval = 500 * time.Millisecond
	// goneRetention is how long a gone host is kept in the table after it was last
	// heard from, and the lifetime of the records of gone hosts and of reachability.
	goneRetention = time.Hour
	// reachTimeoutPerZone times the number of other zones is how long a relay may
	// receive no message from a zone before the zone counts as unreachable to it.
	reachTimeoutPerZone = 2 * time.Second
	// minReachTimeout is the lower bound of the time until a zone counts as
	// unreachable.
	minReachTimeout = 5 * time.Second
	// RelaysPerZone is the number of hosts of a zone that exchange messages with
	// other zones.
	RelaysPerZone = 2
	// WatchersPerZone is the number of hosts of a zone that watch the store.
	WatchersPerZone = 3
	// CandidatesPerLease is the number of hosts of a zone that try to acquire a lease.
	CandidatesPerLease = 3
)

// hostState is what is known of another host.
type hostState struct {
	member  port.Member
	version version
	// suspectSince is when the record that the host is suspect was applied; zero if
	// it is not suspect.
	suspectSince time.Time
	// leavingIncarnation is the incarnation that was known when the host list
	// began to list the host as leaving.
	leavingIncarnation uint64
	listedAsLeaving    bool
}

// Table holds this host's view of all hosts.
type Table struct {
	self port.Member
	// version is that of this host's own record.
	version version
	// otherHosts are the hosts other than this one, by id.
	otherHosts map[string]*hostState
	// listed is the host list as last applied.
	listed []port.ListedHost
	// seeds are the addresses given to NewTable.
	seeds []string
	// contactIndex selects the address to contact; ContactAddress increments it first.
	contactIndex int
	// lastHeardAt is when a host of a zone was last heard from directly, by zone.
	lastHeardAt map[string]time.Time
	reach       reachability
	// newSuspects are the records, not taken for publishing yet, that say that a
	// host is suspect.
	newSuspects      []port.GossipRecord
	nextSuspectCheck time.Time
	views            views
}

// views are lists derived from otherHosts, rebuilt when they are needed after a
// change. zonePeers and otherZones leave out gone hosts. relays are those of the
// other zones, ownRelays the ids of this zone's, which may include this host.
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
		self:        self,
		version:     version{incarnation: self.Incarnation},
		otherHosts:  make(map[string]*hostState),
		seeds:       seeds,
		lastHeardAt: make(map[string]time.Time),
		reach:       newReachability(),
	}
}

// Self returns this host.
func (t *Table) Self() port.Member { return t.self }

// Record returns this host's current record, to be published.
func (t *Table) Record() port.GossipRecord {
	rec := hostRecord{AvailabilityZone: t.self.AvailabilityZone, Address: t.self.Address, ReleaseVersion: t.self.ReleaseVersion,
		Leaving: t.self.State == port.MemberLeaving}
	return port.GossipRecord{Topic: Topic, Key: t.self.ID, Version: t.version.pack(), Value: rec.encode()}
}

// SetRelease sets the version of the release in force on this host. It reports
// whether this host's record has changed.
func (t *Table) SetRelease(v uint64) bool {
	if v == t.self.ReleaseVersion {
		return false
	}
	t.self.ReleaseVersion = v
	t.version.changeCount++
	return true
}

// SetLeaving marks this host as leaving.
func (t *Table) SetLeaving() {
	if t.self.State == port.MemberLeaving {
		return
	}
	t.self.State = port.MemberLeaving
	t.version.changeCount++
	t.views.valid = false
}

// ApplyRecord applies a host's record. It returns this host's own record, to be
// published, if r is about this host's incarnation and newer than its own record,
// for example because it says that this host is suspect. The error says that the
// record cannot be decoded.
func (t *Table) ApplyRecord(now time.Time, r port.GossipRecord) ([]port.GossipRecord, error) {
	rec, err := decodeHostRecord(r)
	if err != nil {
		return nil, err
	}
	v := unpackVersion(r.Version)
	if r.Key == t.self.ID {
		return t.refute(v), nil
	}
	h, ok := t.otherHosts[r.Key]
	if ok && h.version.pack() >= r.Version {
		return nil, nil
	}
	if !ok {
		h = &hostState{}
		t.otherHosts[r.Key] = h
	}
	before := h.viewInputs()
	h.version = v
	h.member = port.Member{ID: r.Key, AvailabilityZone: rec.AvailabilityZone, Address: rec.Address,
		Incarnation: v.incarnation, ReleaseVersion: rec.ReleaseVersion, State: memberState(v, rec), LastHeardAt: h.member.LastHeardAt}
	h.suspectSince = time.Time{}
	if v.liveness == livenessSuspect {
		h.suspectSince = now
	} else if v.liveness == livenessAlive {
		h.member.LastHeardAt = now
	}
	if h.viewInputs() != before {
		t.views.valid = false
	}
	return nil, nil
}

// viewInputs are the properties of a host that the views depend on.
type viewInputs struct {
	zone, address string
	state         port.MemberState
	liveness      liveness
}

func (h *hostState) viewInputs() viewInputs {
	return viewInputs{h.member.AvailabilityZone, h.member.Address, h.effectiveState(), h.version.liveness}
}

// memberState returns the host's state according to its record alone.
func memberState(v version, rec hostRecord) port.MemberState {
	switch {
	case v.liveness == livenessGone:
		return port.MemberGone
	case rec.Leaving:
		return port.MemberLeaving
	default:
		return port.MemberLive
	}
}

// refute raises the version of this host's record above v and returns the record, if
// v is a newer version of this incarnation that another host has published, for
// example to say that this host is suspect or gone. Otherwise it returns nil.
func (t *Table) refute(v version) []port.GossipRecord {
	if v.incarnation != t.version.incarnation || v.pack() <= t.version.pack() {
		return nil
	}
	t.version.changeCount = v.changeCount + 1
	return []port.GossipRecord{t.Record()}
}

// ExpireSuspects returns the records, to be published, of hosts that have been
// suspect for suspectTimeout and so are gone. It removes hosts that are gone and
// were last heard from more than goneRetention ago.
func (t *Table) ExpireSuspects(now time.Time) []port.GossipRecord {
	if now.Before(t.nextSuspectCheck) {
		return nil
	}
	t.nextSuspectCheck = now.Add(suspectCheckInterval)
	var out []port.GossipRecord
	for id, h := range t.otherHosts {
		switch {
		case h.version.liveness == livenessSuspect && now.Sub(h.suspectSince) >= suspectTimeout:
			out = append(out, h.recordWithLiveness(livenessGone, now))
		case h.version.liveness == livenessGone && now.Sub(h.member.LastHeardAt) > goneRetention:
			delete(t.otherHosts, id)
		}
	}
	slices.SortFunc(out, func(a, b port.GossipRecord) int { return strings.Compare(a.Key, b.Key) })
	return out
}

// recordWithLiveness returns the host's last known record with this liveness.
func (h *hostState) recordWithLiveness(l liveness, now time.Time) port.GossipRecord {
	v := h.version
	v.liveness = l
	value := hostRecord{AvailabilityZone: h.member.AvailabilityZone, Address: h.member.Address, ReleaseVersion: h.member.ReleaseVersion,
		Leaving: h.member.State == port.MemberLeaving}
	rec := port.GossipRecord{Topic: Topic, Key: h.member.ID, Version: v.pack(), Value: value.encode()}
	if l == livenessGone {
		rec.ExpiresAt = now.Add(goneRetention)
	}
	return rec
}

// SuspectRecord returns the record that says that a host of this zone is suspect;
// false if the host is already suspect or gone, or is not a known host of this zone.
func (t *Table) SuspectRecord(now time.Time, id string) (port.GossipRecord, bool) {
	h, ok := t.otherHosts[id]
	if !ok || h.version.liveness != livenessAlive || h.member.AvailabilityZone != t.self.AvailabilityZone {
		return port.GossipRecord{}, false
	}
	return h.recordWithLiveness(livenessSuspect, now), true
}

// ApplyHostList replaces the host list. As the list lags, it only gives addresses to
// contact and marks known hosts as leaving; it never makes a host gone.
func (t *Table) ApplyHostList(list []port.ListedHost) {
	t.listed = slices.Clone(list)
	for _, l := range list {
		h, ok := t.otherHosts[l.ID]
		if !ok {
			continue
		}
		if l.Leaving && !h.listedAsLeaving {
			h.leavingIncarnation = h.member.Incarnation
		}
		h.listedAsLeaving = l.Leaving
	}
	t.views.valid = false
}

// effectiveState returns the host's state according to its record and the host list.
func (h *hostState) effectiveState() port.MemberState {
	if h.member.State == port.MemberLive && h.listedAsLeaving && h.leavingIncarnation == h.member.Incarnation {
		return port.MemberLeaving
	}
	return h.member.State
}

// Members returns all known hosts, gone ones and this one included, sorted by id.
func (t *Table) Members(now time.Time) []port.Member {
	self := t.self
	self.LastHeardAt = now
	out := []port.Member{self}
	for _, h := range t.otherHosts {
		m := h.member
		m.State = h.effectiveState()
		if heardAt := t.zoneHeardAt(now, m.AvailabilityZone); h.version.liveness == livenessAlive && heardAt.After(m.LastHeardAt) {
			m.LastHeardAt = heardAt
		}
		out = append(out, m)
	}
	slices.SortFunc(out, func(a, b port.Member) int { return strings.Compare(a.ID, b.ID) })
	return out
}
