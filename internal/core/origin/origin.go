// Package origin tells where a stream began: the service and the software version
// of the endpoint that sent its first event. What two versions write does not fit
// together, so a stream may be resumed only at the version that began it.
//
// While all streams of a route can only have begun at one version, nothing has to be
// recorded: History says so. Otherwise Records holds the origins of single streams.
package origin

import (
	"slices"
	"time"

	"github.com/pimentorill/pimentorill/internal/core/catalog"
)

// startSkew bounds the difference between the clocks of a host and an endpoint.
const startSkew = 2 * time.Second

// Origin is where a stream began. The zero Origin stands for one that is not known:
// the stream can't be resumed.
type Origin struct {
	Service string `cbor:"1,keyasint,omitempty"`
	// SoftwareVersion is empty if the endpoint's registration has none; then the stream
	// can be resumed only at the same start of the same endpoint.
	SoftwareVersion string `cbor:"2,keyasint,omitempty"`
	// Endpoint and StartedUnixMs identify the endpoint's incarnation.
	Endpoint      string `cbor:"3,keyasint,omitempty"`
	StartedUnixMs int64  `cbor:"4,keyasint,omitempty"`
	// AtUnixMs is the time of the attempt that brought the first event, by the clock of
	// its host, in Unix milliseconds.
	AtUnixMs int64 `cbor:"5,keyasint,omitempty"`
}

// Of returns the origin of a stream that begins at an endpoint.
func Of(e *catalog.Endpoint, at time.Time) Origin {
	return Origin{e.Service, e.SoftwareVersion, e.ID, e.StartedUnixMs, at.UnixMilli()}
}

func (o Origin) version() Version { return Version{o.Service, o.SoftwareVersion} }

// Known reports whether the origin is known.
func (o Origin) Known() bool { return o.Service != "" }

// Allows reports whether a stream with the origin may be resumed at an endpoint.
func (o Origin) Allows(e *catalog.Endpoint) bool {
	switch {
	case !o.Known() || e.Service != o.Service:
		return false
	case o.SoftwareVersion == "":
		return e.Incarnation() == catalog.Incarnation{ID: o.Endpoint, StartedUnixMs: o.StartedUnixMs}
	default:
		return e.SoftwareVersion == o.SoftwareVersion
	}
}

// IsDoubtful reports whether the registrations that a host knows make the origin doubtful: one
// of the same endpoint, but of another process, which may already have run when the stream
// began. A host learns of a new process only after its start, and the process may drain, or have
// left, by then. What was registered before the origin's own process does not count.
func (o Origin) IsDoubtful(known catalog.Registrations) bool {
	registrations := known[o.Endpoint]
	own := slices.IndexFunc(registrations, o.began)
	for i, r := range registrations {
		former := !r.EndedAt.IsZero() && (i < own || own < 0 && r.StartedUnixMs < o.StartedUnixMs)
		if !former && o.contradicts(r) {
			return true
		}
	}
	return false
}

// began reports whether a registration of the origin's endpoint is that of the process at which
// the stream began.
func (o Origin) began(r catalog.Registration) bool {
	return r.Service == o.Service && r.SoftwareVersion == o.SoftwareVersion && r.StartedUnixMs == o.StartedUnixMs
}

// contradicts reports whether a registration of the origin's endpoint is that of a process that
// may have run when the stream began, and not of the one that the origin names.
func (o Origin) contradicts(r catalog.Registration) bool {
	return !o.began(r) && (r.StartedUnixMs == o.StartedUnixMs || r.StartedUnixMs <= o.AtUnixMs+startSkew.Milliseconds())
}
