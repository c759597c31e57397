package app

import (
	"slices"
	"time"

	"github.com/pimentorill/pimentorill/internal/core/admission"
	"github.com/pimentorill/pimentorill/internal/core/cost"
	"github.com/pimentorill/pimentorill/internal/core/order"
	"github.com/pimentorill/pimentorill/internal/core/release"
)

// Status is the state of one host as it reports it to operators.
type Status struct {
	Host             string `json:"host"`
	AvailabilityZone string `json:"availability_zone"`
	Ready            bool   `json:"ready"`
	// NotReadyReason is empty if Ready is true.
	NotReadyReason string `json:"not_ready_reason,omitempty"`
	// ReleaseVersion is the version in force on this host, ReleaseNote the id of
	// the note that made it and InForceAt when it came into force here. They are
	// zero if no release is known.
	ReleaseVersion uint64    `json:"release_version"`
	ReleaseNote    string    `json:"release_note"`
	InForceAt      time.Time `json:"in_force_at"`
	// StoreRespondedAt is as in Snapshot.
	StoreRespondedAt time.Time `json:"store_heard_at"`
	// Zones lists the availability zones of the release in force.
	Zones []release.Zone `json:"zones"`
	// Hosts lists all known hosts, this one first.
	Hosts []HostVersion `json:"hosts"`
	// UnreachableZones is as in fleet.View.
	UnreachableZones []string `json:"unreachable_zones,omitempty"`
	// Stale is true if this host may not learn of changes: the last call to the
	// store failed, and this host knows no other zone or reaches none. The rest of
	// the status may then be out of date.
	Stale bool `json:"stale"`
	// LeaseHolders maps zones to the id of the host that last announced that it
	// holds the zone's lease. Zones without an announcement are left out.
	LeaseHolders map[string]string `json:"lease_holders,omitempty"`
	// WatchesStore is true if this host is one of those that watch the store.
	WatchesStore bool `json:"watches_store"`
	// RequestsInProgress includes requests that wait for admission.
	RequestsInProgress int `json:"requests_under_way"`
	// Engines lists the engines of this host's zone; empty unless this host holds
	// the zone's lease.
	Engines []order.Status `json:"engines,omitempty"`
	// Admission lists the admission state of the pipelines that are or have been
	// in the release in force, sorted by name.
	Admission []admission.PipelineStatus `json:"admission"`
	// ColdEndpoints lists the ids of the endpoints to which this host sends
	// attempts only with permits.
	ColdEndpoints []string `json:"cold_endpoints"`
}

// Status returns the state of this host and of the fleet as it knows it.
func (a *App) Status() Status {
	s := a.Snapshot()
	out := Status{
		Host:               a.cfg.Host,
		AvailabilityZone:   a.cfg.AvailabilityZone,
		InForceAt:          s.InForceAt,
		StoreRespondedAt:   s.StoreRespondedAt,
		RequestsInProgress: a.activeRequests.inProgress(),
		Hosts:              a.hostVersions(),
		Engines:            a.orders.Statuses(),
		Admission:          a.dataPlane.queue.Status(),
	}
	a.addFleetStatus(s, &out)
	if err := a.Ready(); err != nil {
		out.NotReadyReason = err.Error()
	} else {
		out.Ready = true
	}
	if s.Release != nil {
		out.ReleaseVersion = s.Release.Version
		out.ReleaseNote = s.Release.NoteID
		out.Zones = s.Release.Zones
		out.ColdEndpoints = a.dataPlane.permits.coldEndpoints(s.Release)
	}
	return out
}

// addFleetStatus sets the fields of out about the store, the other zones and the
// lease holders.
func (a *App) addFleetStatus(s *Snapshot, out *Status) {
	storeUnavailable := s.StoreFailedAt.After(s.StoreRespondedAt)
	out.Stale = storeUnavailable
	out.WatchesStore = a.watchesStore()
	if a.deps.Fleet == nil {
		return
	}
	v := a.deps.Fleet.View()
	out.UnreachableZones = v.UnreachableZones
	out.LeaseHolders = make(map[string]string)
	for _, zone := range append(slices.Clone(v.OtherZones), a.cfg.AvailabilityZone) {
		if host, ok := a.deps.ZoneLeaseHolder(zone); ok {
			out.LeaseHolders[zone] = host
		}
	}
	out.Stale = storeUnavailable && (len(v.Members) == 1 || len(v.OtherZones) == 0 || v.Partitioned())
}

// CostRows returns the rows of this host's cost ledger.
func (a *App) CostRows() []cost.Row { return a.ledger.Rows() }
