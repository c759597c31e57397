package catalog

import "time"

// Registration is what an endpoint's entry in the store said of the process behind the
// endpoint's id.
type Registration struct {
	Service         string
	SoftwareVersion string
	// StartedUnixMs is that of Endpoint.
	StartedUnixMs int64
	// EndedAt is when a host learned that the entry had been replaced by that of another
	// process, or removed; zero while it is in the store.
	EndedAt time.Time
}

// RegistrationOf returns the registration that an endpoint's entry makes.
func RegistrationOf(e *Endpoint) Registration {
	return Registration{Service: e.Service, SoftwareVersion: e.SoftwareVersion, StartedUnixMs: e.StartedUnixMs}
}

// SameProcess reports whether two registrations of an id are of the same process.
func (r Registration) SameProcess(o Registration) bool {
	r.EndedAt, o.EndedAt = time.Time{}, time.Time{}
	return r == o
}

// Registrations holds by endpoint id the registrations that a host knows of, in the order in
// which it first learned of each, also of endpoints that drain or lie in evacuated zones, and
// for some time those that have ended: a host that learned of the end later may have sent
// requests to the process.
type Registrations map[string][]Registration
