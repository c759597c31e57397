package relay

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

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
	for _, tc := range []struct {
		named   bool
		arrival *port.Arrival
		notRun  bool
	}{{true, nil, true}, {false, nil, false}, {false, &port.Arrival{}, true}, {false, &port.Arrival{Before: 3}, false}, {false, &port.Arrival{Discarded: 1}, false}} {
		t.Run(fmt.Sprint(tc), func(t *testing.T) {
			is := is.New(t)
			f := newFleet(2, func(_ context.Context, read func(*port.EndpointResponse) error) error {
				return read(&port.EndpointResponse{Status: 503, NotRun: true, HasAttemptID: tc.named, Arrival: tc.arrival, Body: strings.NewReader("")})
			})
			is.NoErr(f.clients[0].ProbeOverPeers(t.Context(), f.endpoint))
			r := &port.EndpointRequest{Exchange: &port.Exchange{ID: "a1", Method: "POST"}, Endpoint: f.endpoint, Remaining: 20 * time.Second}
			is.NoErr(f.clients[0].Forward(t.Context(), r, func(response *port.EndpointResponse) error {
				is.Equal(response.NotRun, tc.notRun)
				return nil
			}))
		})
	}
}
