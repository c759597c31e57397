package app

import (
	"github.com/pimentorill/pimentorill/internal/core/release"
)

// EndpointStatus is an endpoint of the release in force as this host sees it.
type EndpointStatus struct {
	release.Endpoint
	// State is out, leaving, paused, cold or ready.
	State string `json:"state"`
	// Load is the estimated number of requests running and waiting, as a fraction
	// of the slots.
	Load float64 `json:"load"`
}

// Endpoints returns the endpoints of the release in force.
func (a *App) Endpoints() []EndpointStatus {
	s := a.Snapshot()
	if s.Release == nil {
		return nil
	}
	out := make([]EndpointStatus, 0, len(s.Release.Endpoints))
	for _, e := range s.Release.Endpoints {
		state, load := a.dataPlane.picker.State(e)
		switch {
		case s.Release.ZoneOutOfService(e.AvailabilityZone):
			state = "out"
		case e.Leaving || s.Leaving[e.ID]:
			state = "leaving"
		case state == "ready" && a.dataPlane.gate.isBackingOff(e.ID):
			state = "cold"
		}
		out = append(out, EndpointStatus{Endpoint: e, State: state, Load: load})
	}
	return out
}
