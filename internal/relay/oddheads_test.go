package relay

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/pimentorill/pimentorill/internal/core/verdict"
	"github.com/pimentorill/pimentorill/internal/port"
)

// TestCarriedOddHeadIsNoResponse guards against responses that no sound endpoint sends and that a
// carrier of an earlier version passes on.
func TestCarriedOddHeadIsNoResponse(t *testing.T) {
	for _, tc := range []struct {
		status      int
		name, value string
	}{{0, "X-A", "a"}, {99, "X-A", "a"}, {600, "X-A", "a"}, {200, "X A", "a"}, {200, "X\x01A", "a"}, {200, "", "a"}, {200, "X-A", "a\rb"}, {200, "X-A", "a\x00"}} {
		t.Run(fmt.Sprintf("%d %q %q", tc.status, tc.name, tc.value), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFleet(3, func(_ context.Context, read func(*port.EndpointResponse) error) error {
					return read(&port.EndpointResponse{Status: tc.status, Header: []port.HeaderField{{Name: tc.name, Value: tc.value}}, Signed: true, HasAttemptID: true, Body: strings.NewReader("ok")})
				})
				is.NoErr(f.clients[0].ProbeOverPeers(t.Context(), f.endpoint))
				r := &port.EndpointRequest{Exchange: &port.Exchange{ID: "a1", Method: "POST"}, Endpoint: f.endpoint, Remaining: 20 * time.Second}
				err := f.clients[0].Forward(t.Context(), r, func(*port.EndpointResponse) error {
					t.Error("there is no response")
					return nil
				})
				is.Equal(verdict.Of(err), verdict.MayHaveRun)
				<-time.After(2 * endedRetention)
			})
		})
	}
}
