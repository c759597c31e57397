package relay

import (
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"github.com/pimentorill/pimentorill/internal/port"
)

// TestStrayAnswerAtACarrierIsNoReport guards against free storage that is no longer measured: the
// carrier's report was taken for one of an endpoint that makes none. The endpoint still responds.
func TestStrayAnswerAtACarrierIsNoReport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(2, respond(nil))
		f.direct[1].stray = true
		is.NoErr(f.clients[0].ProbeOverPeers(t.Context(), f.endpoint))
		report, err := f.clients[0].Probe(t.Context(), f.endpoint, false)
		is.True(err != nil)
		is.Equal(report, port.EndpointReport{FreeBytes: -1})
	})
}

// TestOtherEndpointAtTheAddressIsNotReached guards against the crash of an endpoint that is not
// counted because another host gets a response at its address, from the next one there.
func TestOtherEndpointAtTheAddressIsNotReached(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(2, respond(nil))
		f.direct[1].misdirected = true
		is.True(f.clients[0].ProbeOverPeers(t.Context(), f.endpoint) != nil)
	})
}

// TestResponseOfBeforeTheCrashIsNoSignOfLife guards against crashes that are not counted because
// another host had a response of the endpoint shortly before.
func TestResponseOfBeforeTheCrashIsNoSignOfLife(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(2, respond(nil))
		is.True(f.clients[0].RespondsToPeers(t.Context(), f.endpoint))
		f.direct[1].crashed = true
		is.NoErr(f.clients[0].ProbeOverPeers(t.Context(), f.endpoint)) // a response of shortly before is enough for a path
		is.True(!f.clients[0].RespondsToPeers(t.Context(), f.endpoint))
	})
}
