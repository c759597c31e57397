package standin

import (
	"fmt"
	"time"

	"github.com/go-faster/errors"

	"github.com/pimentorill/pimentorill/internal/core/release"
	"github.com/pimentorill/pimentorill/internal/port"
)

// FleetConfig holds the number and the settings of a Fleet's endpoints.
type FleetConfig struct {
	// Zones are the names of the availability zones, all of them in Region.
	Zones  []string
	Region string
	// EnginesPerZone is the number of engines in each zone, 0 means 1; every
	// other service has one endpoint in each zone.
	EnginesPerZone int
	// Slots, ColdLimit and WarmAfter apply to each endpoint. A release accepts
	// no zeros.
	Slots, ColdLimit, WarmAfter int
	// WorkTime is the duration of one call of a pool or plain service.
	WorkTime time.Duration
	// TokenTime is the time between two tokens of an engine.
	TokenTime time.Duration
	// MaxTokens is the token limit of the generate stage.
	MaxTokens int
	// StartsWarm skips the first cold start of all endpoints.
	StartsWarm bool
}

// Names of the services and the model of a Fleet.
const (
	ServiceEncoders   = "encoders"
	ServiceRetrievers = "retrievers"
	ServiceRerankers  = "rerankers"
	ServiceEngines    = "pimentorill-pool"
	ServiceBookings   = "dispatch-core"
	fleetModel        = "topo-drafter"
)

// Names of the pipelines in a Fleet's release note.
const (
	// PipelineGuidebook has four stages, each of which may be repeated.
	PipelineGuidebook = "guidebook"
	// PipelineBooking has an at-most-once stage.
	PipelineBooking = "booking"
)

var fleetServices = []release.Service{
	{Name: ServiceEncoders, Kind: release.KindPool},
	{Name: ServiceRetrievers, Kind: release.KindPool},
	{Name: ServiceRerankers, Kind: release.KindPool},
	{Name: ServiceEngines, Kind: release.KindEngine, Model: fleetModel},
	{Name: ServiceBookings, Kind: release.KindPlain},
}

// Fleet is a set of stand-in endpoints in several zones, for tests and for
// the embedded mode. StartFleet fills its maps, by endpoint id; they don't change
// afterwards. RunCounter counts the runs of all Plains.
type Fleet struct {
	Config     FleetConfig
	Engines    map[string]*Engine
	Pools      map[string]*Pool
	Plains     map[string]*Plain
	RunCounter *RunCounter
	Endpoints  []release.Endpoint
	closers    []func()
}

// StartFleet starts all endpoints on loopback. Close stops them.
func StartFleet(cfg FleetConfig) (*Fleet, error) {
	f := &Fleet{
		Config: cfg, RunCounter: NewRunCounter(),
		Engines: map[string]*Engine{}, Pools: map[string]*Pool{}, Plains: map[string]*Plain{},
	}
	for _, zone := range cfg.Zones {
		for _, svc := range fleetServices {
			n := 1
			if svc.Kind == release.KindEngine {
				n = max(1, cfg.EnginesPerZone)
			}
			for i := range n {
				if err := f.startEndpoint(svc, zone, i+1); err != nil {
					f.Close()
					return nil, err
				}
			}
		}
	}
	return f, nil
}

// standInServer is what Fleet needs to run a stand-in.
type standInServer interface {
	Start() error
	Close()
	URL() string
}

// startEndpoint starts endpoint number i, counted from 1, of a service in a zone.
func (f *Fleet) startEndpoint(svc release.Service, zone string, i int) error {
	e := release.Endpoint{
		ID: fmt.Sprintf("%s-%s-%d", svc.Name, zone, i), Service: svc.Name, AvailabilityZone: zone,
		Slots: f.Config.Slots, ColdLimit: f.Config.ColdLimit, WarmAfter: f.Config.WarmAfter,
		ChecksFence: svc.Kind == release.KindEngine,
	}
	s := f.newStandIn(svc, e)
	if err := s.Start(); err != nil {
		return errors.Wrap(err, "start stand-in "+e.ID)
	}
	f.closers = append(f.closers, s.Close)
	e.URL = s.URL()
	f.Endpoints = append(f.Endpoints, e)
	return nil
}

func (f *Fleet) newStandIn(svc release.Service, e release.Endpoint) standInServer {
	cfg := BackendConfig{
		ID: e.ID, Slots: e.Slots, ColdLimit: e.ColdLimit, WarmAfter: e.WarmAfter,
		WorkTime: f.Config.WorkTime, StartsWarm: f.Config.StartsWarm,
	}
	switch svc.Kind {
	case release.KindEngine:
		s := NewEngine(EngineConfig{
			BackendConfig: cfg, Model: svc.Model, Version: "1", Role: "generate",
			TokenTime: f.Config.TokenTime, CacheBlocks: 1024, ChecksFence: e.ChecksFence,
		})
		f.Engines[e.ID] = s
		return s
	case release.KindPlain:
		s := NewPlain(cfg, f.RunCounter)
		f.Plains[e.ID] = s
		return s
	default:
		s := NewPool(cfg)
		f.Pools[e.ID] = s
		return s
	}
}

// endpointStats returns the counters that every stand-in endpoint has.
type endpointStats interface {
	Stats() Stats
	Charged() port.Usage
}

func (f *Fleet) statsOf(id string) endpointStats {
	if e, ok := f.Engines[id]; ok {
		return e
	}
	if p, ok := f.Pools[id]; ok {
		return p
	}
	return f.Plains[id]
}

// StatsFunc returns a function that reads an endpoint's counters. The id must be
// one of Endpoints.
func (f *Fleet) StatsFunc(id string) func() Stats { return f.statsOf(id).Stats }

// Charged returns the usage that an endpoint of the fleet charged. The id must be
// one of Endpoints.
func (f *Fleet) Charged(id string) port.Usage { return f.statsOf(id).Charged() }

// Close stops all endpoints.
func (f *Fleet) Close() {
	for _, closeEndpoint := range f.closers {
		closeEndpoint()
	}
}

// Note returns a release note that describes the fleet, with two pipelines and
// the given customers, a map from name to share.
func (f *Fleet) Note(id string, customers map[string]int) release.Note {
	n := release.Note{ID: id, Author: "fleet", Reason: "first release of a fleet of stand-ins"}
	for _, zone := range f.Config.Zones {
		n.Added.Zones = append(n.Added.Zones, release.Zone{Name: zone, Region: f.Config.Region})
	}
	n.Added.Services = fleetServices
	n.Added.Models = []release.Model{{Name: fleetModel, Version: "1"}}
	n.Added.Endpoints = f.Endpoints
	n.Added.Pipelines = f.pipelines()
	for name, share := range customers {
		n.Added.Customers = append(n.Added.Customers, release.Customer{Name: name, Share: share, Pipelines: []string{PipelineGuidebook, PipelineBooking}})
	}
	return n
}

// fleetDeadlineMs is the default deadline of both pipelines.
const fleetDeadlineMs = 4000

func (f *Fleet) pipelines() []release.Pipeline {
	encode := release.Stage{Name: "encode", Service: ServiceEncoders, Path: "/v1/encode", Price: release.Price{PerCall: 20}}
	retrieve := release.Stage{Name: "retrieve", Service: ServiceRetrievers, Path: "/v1/retrieve", Price: release.Price{PerCall: 50}}
	rerank := release.Stage{Name: "rerank", Service: ServiceRerankers, Path: "/v1/rerank", Price: release.Price{PerCall: 80}}
	book := release.Stage{Name: "book", Service: ServiceBookings, Path: "/v1/bookings", AtMostOnce: true, Price: release.Price{PerCall: 100}}
	generate := release.Stage{
		Name: "generate", Service: ServiceEngines, Path: "/v1/completions", MaxTokens: f.Config.MaxTokens,
		Price: release.Price{PerCall: 100, PerPromptToken: 2, PerCachedToken: 1, PerCompletionToken: 8},
	}
	return []release.Pipeline{
		{Name: PipelineGuidebook, TimeoutMs: fleetDeadlineMs, Stages: []release.Stage{encode, retrieve, rerank, generate}},
		{Name: PipelineBooking, TimeoutMs: fleetDeadlineMs, Stages: []release.Stage{encode, book, generate}},
	}
}
