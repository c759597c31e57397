package relay

import (
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// replaceCarriers has fail change all known carriers of edge-0, of twelve hosts, and checks that
// calls go over others.
func replaceCarriers(t *testing.T, fail func(*fakeClient)) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(12, respond(func(io.Writer) error { return nil }))
		_, err := f.exchange(t.Context())
		is.NoErr(err)
		known := 0
		for i := range f.direct[1:] {
			if s := f.clients[0].carriers.hosts[fmt.Sprint("edge-", i+1)]; s != nil && !s.confirmedAt.IsZero() {
				fail(f.direct[i+1])
				known++
			}
		}
		is.True(known >= wantedCarriers)
		for range 5 {
			_, err := f.forward(t.Context())
			is.NoErr(err)
		}
		calls, _ := f.counts()
		is.Equal(calls, 6)
		<-time.After(2 * endedRetention)
	})
}

// TestCarriersThatLoseTheirPathTooAreReplaced guards against calls that end because all
// known carriers have lost their paths, while other hosts reach the endpoint.
func TestCarriersThatLoseTheirPathTooAreReplaced(t *testing.T) {
	replaceCarriers(t, func(c *fakeClient) { c.lost = true })
}

// TestCarriersAtRestAreReplaced guards against calls that are refused because the endpoint has
// asked all known carriers for rest, while other hosts may send to it.
func TestCarriersAtRestAreReplaced(t *testing.T) {
	replaceCarriers(t, func(c *fakeClient) { c.rest = 3 * time.Second })
}
