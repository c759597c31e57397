package release

// find returns the first element for which match is true, and whether there is
// one.
func find[T any](all []T, match func(T) bool) (T, bool) {
	for _, v := range all {
		if match(v) {
			return v, true
		}
	}
	var zero T
	return zero, false
}

// Pipeline returns the pipeline with that name and whether it exists.
func (r *Release) Pipeline(name string) (Pipeline, bool) {
	return find(r.Pipelines, func(p Pipeline) bool { return p.Name == name })
}

// Customer returns the customer with that name and whether it exists.
func (r *Release) Customer(name string) (Customer, bool) {
	return find(r.Customers, func(c Customer) bool { return c.Name == name })
}

// Service returns the service with that name and whether it exists.
func (r *Release) Service(name string) (Service, bool) {
	return find(r.Services, func(s Service) bool { return s.Name == name })
}

// Zone returns the availability zone with that name and whether it exists.
func (r *Release) Zone(name string) (Zone, bool) {
	return find(r.Zones, func(z Zone) bool { return z.Name == name })
}

// Endpoint returns the endpoint with that ID and whether it exists.
func (r *Release) Endpoint(id string) (Endpoint, bool) {
	return find(r.Endpoints, func(e Endpoint) bool { return e.ID == id })
}

// EndpointsOf returns the endpoints of a service, in the order of the release.
func (r *Release) EndpointsOf(service string) []Endpoint {
	var out []Endpoint
	for _, e := range r.Endpoints {
		if e.Service == service {
			out = append(out, e)
		}
	}
	return out
}

// ZoneOutOfService reports whether a zone is out of service or unknown.
func (r *Release) ZoneOutOfService(name string) bool {
	z, ok := r.Zone(name)
	return !ok || z.OutOfService
}

// Allows reports whether the customer may call the pipeline.
func (c Customer) Allows(pipeline string) bool {
	_, ok := find(c.Pipelines, func(p string) bool { return p == pipeline })
	return ok
}

// HasAtMostOnceStage reports whether the pipeline has a stage that may not be
// repeated.
func (p Pipeline) HasAtMostOnceStage() bool {
	_, ok := find(p.Stages, func(s Stage) bool { return s.AtMostOnce })
	return ok
}
