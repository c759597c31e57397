package app

import (
	"slices"
	"time"

	"github.com/pimentorill/pimentorill/internal/core/admission"
	"github.com/pimentorill/pimentorill/internal/core/cost"
	"github.com/pimentorill/pimentorill/internal/core/order"
	"github.com/pimentorill/pimentorill/internal/core/release"
)

// Status is what one host says of itself.
type Status struct {
	Host             string         `json:"host"`
	AvailabilityZone string         `json:"availability_zone"`
	Ready            bool           `json:"ready"`
	NotReadyReason   string         `json:"not_ready_reason,omitempty"`
	ReleaseVersion   uint64         `json:"release_version"`
	ReleaseNote      string         `json:"release_note"`
	InForceAt        time.Time      `json:"in_force_at"`
	StoreHeardAt     time.Time      `json:"store_heard_at"`
	Zones            []release.Zone `json:"zones"`
	// Hosts are all known hosts, this one first.
	Hosts []HostVersion `json:"hosts"`
	// UnreachableZones are the other zones that no host of this zone reaches.
	UnreachableZones []string `json:"unreachable_zones,omitempty"`
	// Stale says that this host can hear of no change: neither the store nor
	// a host of another zone answers. What it shows may be out of date.
	Stale bool `json:"stale"`
	// LeaseHolders are the hosts that last told that they hold their zone's
	// lease, by zone.
	LeaseHolders map[string]string `json:"lease_holders,omitempty"`
	// WatchesStore says that this host is one of those that watch the store.
	WatchesStore bool `json:"watches_store"`
	Requests     int  `json:"requests_under_way"`
	// Engines are the zone's engines, on the host that gives them orders.
	Engines []order.Status `json:"engines,omitempty"`
	// Admission is the state of the pipelines that had requests here.
	Admission []admission.PipelineStatus `json:"admission"`
	// ColdEndpoints are those that this host sends to only under permits.
	ColdEndpoints []string `json:"cold_endpoints"`
}

// Status returns what this host knows of itself and the fleet.
func (a *App) Status() Status {
	s := a.Snapshot()
	out := Status{
		Host:             a.cfg.Host,
		AvailabilityZone: a.cfg.AvailabilityZone,
		InForceAt:        s.InForceAt,
		StoreHeardAt:     s.StoreHeardAt,
		Requests:         a.active.current(),
		Hosts:            a.hostVersions(),
		Engines:          a.orders.Statuses(),
		Admission:        a.traffic.queue.Status(),
	}
	a.fleetStatus(s, &out)
	if err := a.Ready(); err != nil {
		out.NotReadyReason = err.Error()
	} else {
		out.Ready = true
	}
	if s.Release != nil {
		out.ReleaseVersion = s.Release.Version
		out.ReleaseNote = s.Release.NoteID
		out.Zones = s.Release.Zones
		out.ColdEndpoints = a.traffic.permits.cold(s.Release)
	}
	return out
}

// fleetStatus adds what the host knows of the other zones and the store.
func (a *App) fleetStatus(s *Snapshot, out *Status) {
	storeAway := s.StoreFailedAt.After(s.StoreHeardAt)
	out.Stale = storeAway
	out.WatchesStore = a.watching()
	if a.deps.Fleet == nil {
		return
	}
	v := a.deps.Fleet.View()
	out.UnreachableZones = v.Unreachable
	out.LeaseHolders = make(map[string]string)
	for _, zone := range append(slices.Clone(v.OtherZones), a.cfg.AvailabilityZone) {
		if host, ok := a.deps.ZoneHolder(zone); ok {
			out.LeaseHolders[zone] = host
		}
	}
	out.Stale = storeAway && (len(v.Members) == 1 || len(v.OtherZones) == 0 || v.CutOff())
}

// CostRows returns this host's books.
func (a *App) CostRows() []cost.Row { return a.ledger.Rows() }
