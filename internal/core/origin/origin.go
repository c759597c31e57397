// Package origin tells where a stream began: the service and the software version
// of the endpoint that sent its first event. What two versions write does not fit
// together, so a stream may be resumed only at the version that began it.
//
// While all streams of a route can only have begun at one version, nothing has to be
// recorded: History says so. Otherwise Records holds the origins of single streams.
package origin

import (
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

// Contradicts reports whether a registration makes the origin doubtful: the same
// endpoint, but another start or version, which may already have run when the stream
// began. A host learns of a new start only after it.
func (o Origin) Contradicts(e *catalog.Endpoint) bool {
	if e.ID != o.Endpoint || e.StartedUnixMs == o.StartedUnixMs && e.SoftwareVersion == o.SoftwareVersion {
		return false
	}
	return e.StartedUnixMs == o.StartedUnixMs || e.StartedUnixMs <= o.AtUnixMs+startSkew.Milliseconds()
}
