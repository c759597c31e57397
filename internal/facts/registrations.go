package facts

import (
	"maps"
	"slices"
	"time"

	"github.com/pimentorill/pimentorill/internal/core/catalog"
	"github.com/pimentorill/pimentorill/internal/core/origin"
)

// registrationRetention is how long a registration that has ended is kept: as long as
// requests may refer to it.
const registrationRetention = origin.VersionRetention

// maxRegistrations bounds the registrations kept of one endpoint: one may start again without end.
const maxRegistrations = 64

// registrations keeps the registrations of endpoints. An update of the store may bring several
// entries of one endpoint, of which a snapshot of the state shows only the last.
type registrations struct {
	byID catalog.Registrations
	// published means that byID is part of a snapshot and must not change.
	published bool
}

// put applies an endpoint's entry.
func (r *registrations) put(e *catalog.Endpoint, now time.Time) {
	registered, known := catalog.RegistrationOf(e), r.byID[e.ID]
	if i := slices.IndexFunc(known, registered.SameProcess); i >= 0 && known[i].EndedAt.IsZero() {
		return
	}
	list := slices.DeleteFunc(ended(known, now), func(o catalog.Registration) bool { return isForgotten(o, now) })
	if i := slices.IndexFunc(list, registered.SameProcess); i >= 0 {
		list[i] = registered
	} else {
		list = append(list, registered)
		list = list[max(0, len(list)-maxRegistrations):]
	}
	r.set(e.ID, list)
}

// end applies the removal of an endpoint's entry.
func (r *registrations) end(id string, now time.Time) {
	if known := r.byID[id]; slices.ContainsFunc(known, func(o catalog.Registration) bool { return o.EndedAt.IsZero() }) {
		r.set(id, ended(known, now))
	}
}

// ended returns a copy of a list in which all registrations have ended.
func ended(list []catalog.Registration, now time.Time) []catalog.Registration {
	list = slices.Clone(list)
	for i := range list {
		if list[i].EndedAt.IsZero() {
			list[i].EndedAt = now
		}
	}
	return list
}

func isForgotten(o catalog.Registration, now time.Time) bool {
	return !o.EndedAt.IsZero() && now.Sub(o.EndedAt) > registrationRetention
}

// forget drops the registrations that ended long ago.
func (r *registrations) forget(now time.Time) {
	forgotten := func(o catalog.Registration) bool { return isForgotten(o, now) }
	for id, list := range r.byID {
		if slices.ContainsFunc(list, forgotten) {
			r.set(id, slices.DeleteFunc(slices.Clone(list), forgotten))
		}
	}
}

// set replaces the registrations of an endpoint.
func (r *registrations) set(id string, list []catalog.Registration) {
	if r.published || r.byID == nil {
		r.byID, r.published = maps.Clone(r.byID), false
		if r.byID == nil {
			r.byID = make(catalog.Registrations)
		}
	}
	if len(list) == 0 {
		delete(r.byID, id)
	} else {
		r.byID[id] = list
	}
}

// snapshot returns the registrations, which don't change any more.
func (r *registrations) snapshot() catalog.Registrations {
	r.published = true
	return r.byID
}
