package release

// find returns the first element for which match holds.
func find[T any](all []T, match func(T) bool) (T, bool) {
	for _, v := range all {
		if match(v) {
			return v, true
		}
	}
	var zero T
	return zero, false
}

// Pipeline returns the pipeline of that name.
func (r *Release) Pipeline(name string) (Pipeline, bool) {
	return find(r.Pipelines, func(p Pipeline) bool { return p.Name == name })
}

// Customer returns the customer of that name.
func (r *Release) Customer(name string) (Customer, bool) {
	return find(r.Customers, func(c Customer) bool { return c.Name == name })
}

// Service returns the service of that name.
func (r *Release) Service(name string) (Service, bool) {
	return find(r.Services, func(s Service) bool { return s.Name == name })
}

// Zone returns the availability zone of that name.
func (r *Release) Zone(name string) (Zone, bool) {
	return find(r.Zones, func(z Zone) bool { return z.Name == name })
}

// Endpoint returns the endpoint with that id.
func (r *Release) Endpoint(id string) (Endpoint, bool) {
	return find(r.Endpoints, func(e Endpoint) bool { return e.ID == id })
}

// EndpointsOf returns the endpoints of a service, in the release's order.
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

// HasAtMostOnceStage reports whether any stage of the pipeline may not be repeated.
func (p Pipeline) HasAtMostOnceStage() bool {
	_, ok := find(p.Stages, func(s Stage) bool { return s.AtMostOnce })
	return ok
}
