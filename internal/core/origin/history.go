package origin

import (
	"maps"
	"slices"
	"time"

	"github.com/pimentorill/pimentorill/internal/core/catalog"
)

const (
	// VersionRetention is how long a version counts as in use after its last
	// registration. An endpoint whose registration has lapsed may go on serving a
	// zone that is cut off from the store.
	VersionRetention = 5 * time.Minute
	// lingerTime is how long a stream may outlive its route's timeout: a caller's
	// further attempts and an endpoint that serves on after it was removed.
	lingerTime = 10 * time.Second
	// DefaultTimeout is the timeout of routes without one.
	DefaultTimeout = 10 * time.Second
)

// History holds the versions at which streams of each route can have begun. It is not
// safe for concurrent use.
type History struct {
	// completeSince is the time from which no version is missing.
	completeSince time.Time
	before        Beginning
	// known holds the routes of which before names all versions.
	known map[string]bool
	// lastSeen holds, by route name, the versions with the time at which each was
	// registered last.
	lastSeen map[string]map[Version]time.Time
	timeouts map[string]time.Duration
}

// Version is a software version of a service. Software is empty if the endpoints'
// registrations name none.
type Version struct{ Service, Software string }

// VersionOf returns the version of an endpoint.
func VersionOf(e *catalog.Endpoint) Version { return Version{e.Service, e.SoftwareVersion} }

// RegisteredVersions returns the versions at which streams that may be resumed can have begun,
// with the time at which each was registered last: those of the endpoints, of the services to
// which resumable routes lead. Also endpoints that get no new work count: a host that does not
// know of it yet, or knows a former process of the endpoint, may have sent them a stream.
func RegisteredVersions(now time.Time, config *catalog.Config, registrations catalog.Registrations) map[Version]time.Time {
	registered := make(map[Version]time.Time)
	versions := versionsByService(now, registrations)
	for _, r := range config.Routes {
		if !r.ResumableStream() {
			continue
		}
		for _, s := range r.TrafficSplit {
			maps.Copy(registered, versions[s.Service])
		}
	}
	return registered
}

// LongestStream returns how long a stream of a configuration's routes may go on after its
// first attempt, over all attempts of its caller.
func LongestStream(config *catalog.Config) time.Duration {
	longest := DefaultTimeout
	for _, r := range config.Routes {
		if r.ResumableStream() {
			longest = max(longest, r.Timeout)
		}
	}
	return longest + lingerTime
}

// versionsByService returns the versions of each service, with the time at which each was
// registered last.
func versionsByService(now time.Time, registrations catalog.Registrations) map[string]map[Version]time.Time {
	versions := make(map[string]map[Version]time.Time)
	for _, list := range registrations {
		for _, r := range list {
			seen := r.EndedAt
			if seen.IsZero() {
				seen = now
			}
			if versions[r.Service] == nil {
				versions[r.Service] = make(map[Version]time.Time)
			}
			addLater(versions[r.Service], Version{r.Service, r.SoftwareVersion}, seen)
		}
	}
	return versions
}

// addLater sets when a version was registered last, unless that is known to be later.
func addLater(versions map[Version]time.Time, v Version, seen time.Time) {
	if seen.After(versions[v]) {
		versions[v] = seen
	}
}

// Beginning is what is known of the streams that began before a history and may go on.
type Beginning struct {
	// None means that there are none: the whole system starts for the first time.
	None bool
	// Versions holds the versions at which they can have begun, all of them if Complete is
	// set.
	Versions []Version
	Complete bool
}

// NewHistory returns an empty history that begins now.
func NewHistory(now time.Time, before Beginning) *History {
	return &History{completeSince: now, before: before, known: make(map[string]bool), lastSeen: make(map[string]map[Version]time.Time), timeouts: make(map[string]time.Duration)}
}

// Origin returns the origin of streams that began at the version.
func (v Version) Origin() Origin { return Origin{Service: v.Service, SoftwareVersion: v.Software} }

// Observe adds what is registered now: the configuration's resumable routes and the
// endpoints.
func (h *History) Observe(now time.Time, config *catalog.Config, registrations catalog.Registrations) {
	if config == nil {
		return
	}
	versions := versionsByService(now, registrations)
	for _, r := range config.Routes {
		if !r.ResumableStream() {
			continue
		}
		if h.lastSeen[r.Name] == nil {
			h.lastSeen[r.Name] = make(map[Version]time.Time)
			h.addBefore(r, now)
		}
		h.timeouts[r.Name] = max(h.timeouts[r.Name], r.Timeout, DefaultTimeout)
		for _, s := range r.TrafficSplit {
			for v, seen := range versions[s.Service] {
				addLater(h.lastSeen[r.Name], v, seen)
			}
		}
	}
	h.forget(now)
}

// addBefore adds the versions at which streams of a route can have begun before the history.
// If there are such of other services, to which the route may have led, they are not all
// known.
func (h *History) addBefore(r *catalog.Route, now time.Time) {
	if now.After(h.completeSince) {
		return // the route is new
	}
	h.known[r.Name] = h.before.Complete
	for _, v := range h.before.Versions {
		if slices.ContainsFunc(r.TrafficSplit, func(s catalog.WeightedService) bool { return s.Service == v.Service }) {
			h.lastSeen[r.Name][v] = now
		} else {
			h.known[r.Name] = false
		}
	}
}

// forget drops the versions, and routes without any, that are no longer in use.
func (h *History) forget(now time.Time) {
	for route, versions := range h.lastSeen {
		for v, seen := range versions {
			if now.Sub(seen) > VersionRetention {
				delete(versions, v)
			}
		}
		if len(versions) == 0 {
			delete(h.lastSeen, route)
			delete(h.timeouts, route)
			delete(h.known, route)
		}
	}
}

// Sole returns the origin of all streams of a route that may still go on, if there is
// only one, as of the last Observe.
func (h *History) Sole(route string, now time.Time) (Origin, bool) {
	versions := h.lastSeen[route]
	complete := h.before.None || h.known[route] || now.Sub(h.completeSince) >= h.timeouts[route]+lingerTime
	if len(versions) != 1 || !complete {
		return Origin{}, false
	}
	for v := range versions {
		return v.Origin(), v.Software != ""
	}
	return Origin{}, false
}

// Excludes reports whether streams of a route may go on that began elsewhere than at an
// origin, as far as the history reaches.
func (h *History) Excludes(route string, o Origin) bool {
	for v := range h.lastSeen[route] {
		if v != o.version() {
			return true
		}
	}
	return false
}

// Several reports whether streams of a route that may go on began at several versions, as
// far as the history reaches.
func (h *History) Several(route string) bool { return len(h.lastSeen[route]) > 1 }
