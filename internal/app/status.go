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
	Host             string         `json:"host"`
	AvailabilityZone string         `json:"availability_zone"`
	Ready            bool           `json:"ready"`
	NotReadyReason   string         `json:"not_ready_reason,omitempty"`
	ReleaseVersion   uint64         `json:"release_version"`
	ReleaseNote      string         `json:"release_note"`
	InForceAt        time.Time      `json:"in_force_at"`
	StoreRespondedAt time.Time      `json:"store_heard_at"`
	Zones            []release.Zone `json:"zones"`
	// Hosts lists all known hosts, this one first.
	Hosts []HostVersion `json:"hosts"`
	// UnreachableZones lists the other zones that no relay of this zone reaches.
	UnreachableZones []string `json:"unreachable_zones,omitempty"`
	// Stale is true if this host cannot learn of changes: neither the store nor a
	// host of another zone responds. The rest of the status may be out of date.
	Stale bool `json:"stale"`
	// LeaseHolders maps each zone to the host that last announced that it holds
	// the zone's lease.
	LeaseHolders map[string]string `json:"lease_holders,omitempty"`
	// WatchesStore is true if this host is one of those that watch the store.
	WatchesStore       bool `json:"watches_store"`
	RequestsInProgress int  `json:"requests_under_way"`
	// Engines lists the zone's engines, on the host that sends them orders.
	Engines []order.Status `json:"engines,omitempty"`
	// Admission lists the admission state of the pipelines that have had requests
	// on this host.
	Admission []admission.PipelineStatus `json:"admission"`
	// ColdEndpoints lists the endpoints to which this host sends only with permits.
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

// addFleetStatus adds the state of the other zones and the store to out.
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
