package app

import (
	"github.com/pimentorill/pimentorill/internal/core/release"
)

// EndpointStatus is an endpoint of the release in force as this host sees it.
type EndpointStatus struct {
	release.Endpoint
	// State is out if the endpoint's zone is out of service, leaving if the
	// endpoint, the release or the host list says so, paused after failures, cold
	// if it reports so or if no permits may be requested for it yet, unknown if
	// routing does not know it, and ready otherwise.
	State string `json:"state"`
	// Load is the estimated number of requests that run or wait on the endpoint,
	// divided by its slots.
	Load float64 `json:"load"`
}

// Endpoints returns the endpoints of the release in force; nil if no release is
// known.
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
