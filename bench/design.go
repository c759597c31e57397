package bench

import (
	"fmt"
	"time"

	"github.com/pimentorill/pimentorill/internal/core/release"
)

// The size of the deployment that the system is designed for.
const (
	DesignHosts     = 360
	DesignZones     = 7
	DesignEndpoints = 600
	DesignCustomers = 310
	DesignModels    = 8
	DesignPipelines = 6
	DesignNotes     = 570 // accepted release notes per day
)

// DesignRelease returns a release of the design size.
func DesignRelease() *release.Release {
	r := &release.Release{Version: 1, NoteID: "design", Author: "bench", AcceptedAt: time.Unix(1_800_000_000, 0).UTC(), Settings: release.DefaultSettings}
	for i := range DesignZones {
		r.Zones = append(r.Zones, release.Zone{Name: fmt.Sprintf("zone-%d", i), Region: fmt.Sprintf("region-%d", i%2)})
	}
	for i := range DesignModels {
		r.Models = append(r.Models, release.Model{Name: fmt.Sprintf("model-%d", i), Version: "1"})
		r.Services = append(r.Services, release.Service{Name: fmt.Sprintf("engines-%d", i), Kind: release.KindEngine, Model: fmt.Sprintf("model-%d", i)})
	}
	for i := range DesignEndpoints {
		r.Endpoints = append(r.Endpoints, release.Endpoint{
			ID: fmt.Sprintf("endpoint-%03d", i), Service: r.Services[i%DesignModels].Name, AvailabilityZone: r.Zones[i%DesignZones].Name,
			URL: fmt.Sprintf("http://10.0.%d.%d:8000", i/250, i%250), Slots: 64, ColdLimit: 8, WarmAfter: 32, ChecksFence: true,
		})
	}
	for i := range DesignPipelines {
		r.Pipelines = append(r.Pipelines, designPipeline(i, r.Services))
	}
	for i := range DesignCustomers {
		r.Customers = append(r.Customers, release.Customer{Name: fmt.Sprintf("customer-%03d", i), Share: 1 + i%5, Pipelines: []string{r.Pipelines[i%DesignPipelines].Name}})
	}
	return r
}

// designPipeline returns pipeline i, which has 3 to 6 stages.
func designPipeline(i int, services []release.Service) release.Pipeline {
	p := release.Pipeline{Name: fmt.Sprintf("pipeline-%d", i), TimeoutMs: 4000}
	for s := range 3 + i%4 {
		p.Stages = append(p.Stages, release.Stage{
			Name: fmt.Sprintf("stage-%d", s), Service: services[(i+s)%len(services)].Name, Path: "/v1/completions", MaxTokens: 256,
			Price: release.Price{PerCall: 100, PerPromptToken: 2, PerCachedToken: 1, PerCompletionToken: 8},
		})
	}
	return p
}

// DesignStored returns the design release with a full history of notes: the store
// keeps the last 64.
func DesignStored() release.StoredRelease {
	s := release.StoredRelease{Release: *DesignRelease()}
	for i := range 64 {
		next := s.Release
		next.Version++
		next.NoteID = fmt.Sprintf("note-%d", i)
		next.Zones = append([]release.Zone{}, next.Zones...)
		next.Zones[i%DesignZones].OutOfService = !next.Zones[i%DesignZones].OutOfService
		s = s.Advance(&next, "take a zone out or in")
	}
	return s
}
