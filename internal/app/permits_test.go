package app

import (
	"log/slog"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pimentorill/pimentorill/internal/core/coldstart"
	"github.com/pimentorill/pimentorill/internal/core/release"
	"github.com/pimentorill/pimentorill/internal/port"
	"github.com/pimentorill/pimentorill/internal/standin"
)

// Guards against more attempts at a cold endpoint than its limit: a stopping lease holder
// whose permits are still in use must leave the marker, so that the next one waits.
func TestMarkerStaysWhilePermitsAreInUse(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	store := standin.NewMemStore(port.SystemClock{})
	p := &permitService{
		app:    &App{cfg: Config{Host: "h1", AvailabilityZone: "kranj"}, deps: Deps{ControlStore: store, Clock: port.SystemClock{}, Log: slog.New(slog.DiscardHandler)}},
		issuer: coldstart.NewPermitIssuer(func(string) coldstart.Status { return coldstart.Status{} }, func(coldstart.Status) {}),
		fence:  7,
	}
	_, err := p.writeMarker(t.Context())
	is.NoErr(err)
	p.issuer.SetLease(coldstart.Lease{Fence: 7, Since: now, Until: now.Add(time.Minute), NoEarlierPermits: true})
	reply, err := p.issuer.Grant(now, release.Endpoint{ID: "e", ColdLimit: 2, WarmAfter: 6}, coldstart.PermitRequest{Endpoint: "e", Count: 1, Lifetime: 10 * time.Second})
	is.NoErr(err)
	is.Equal(len(reply.Permits), 1)
	p.clearMarker()
	_, err = store.Get(t.Context(), markerPrefix+"kranj")
	is.NoErr(err)
}
