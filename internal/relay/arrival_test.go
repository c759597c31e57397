package relay

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"github.com/pimentorill/pimentorill/internal/port"
)

// TestCarriedResponseSaysHowItArrived guards against refusals of carried calls of which nobody can
// tell which host's connection brought them.
func TestCarriedResponseSaysHowItArrived(t *testing.T) {
	for name, arrival := range map[string]*port.Arrival{"known": {Before: 3, Discarded: 1, ConnectionAge: time.Second, SinceSent: time.Millisecond}, "carrier of an earlier version": nil} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(2, func(_ context.Context, read func(*port.EndpointResponse) error) error {
				return read(&port.EndpointResponse{Status: 503, NotRun: true, Arrival: arrival, Body: strings.NewReader("")})
			})
			is.NoErr(f.clients[0].ProbeOverPeers(t.Context(), f.endpoint))
			r := &port.EndpointRequest{Exchange: &port.Exchange{ID: "a1", Method: "POST"}, Endpoint: f.endpoint, Remaining: 20 * time.Second}
			is.NoErr(f.clients[0].Forward(t.Context(), r, func(response *port.EndpointResponse) error {
				is.Equal(response.Arrival, arrival)
				is.Equal(response.Carrier, "edge-1")
				return nil
			}))
		})
	}
}

// TestRefusalOverACarrierOfAnEarlierVersionNeedsTheID guards against a request that runs although it was
// refused: a carrier of an earlier version believes refusals that may belong to another request.
func TestRefusalOverACarrierOfAnEarlierVersionNeedsTheID(t *testing.T) {
	for _, named := range []bool{true, false} {
		for _, arrival := range []*port.Arrival{nil, {}, {Before: 3}, {Discarded: 1}} {
			for _, earlier := range []bool{true, false} {
				t.Run(fmt.Sprint("named ", named, ", ", arrival, ", earlier version ", earlier), func(t *testing.T) {
					is := is.New(t)
					head := encodeHead(&port.EndpointResponse{Status: 503, NotRun: true, HasAttemptID: named, Arrival: arrival}, port.EndpointNotice{})
					if earlier {
						head.Proven = false // the field that such a host doesn't know
					}
					encoded, err := cbor.Marshal(head)
					is.NoErr(err)
					var decoded responseHead
					is.NoErr(cbor.Unmarshal(encoded, &decoded))
					is.Equal(decoded.decode("edge-1", nil).NotRun, named || !earlier)
				})
			}
		}
	}
}
