package relay

import (
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/pimentorill/pimentorill/internal/core/catalog"
	"github.com/pimentorill/pimentorill/internal/core/verdict"
	"github.com/pimentorill/pimentorill/internal/port"
)

// TestCarrierAtRestIsPassedOver guards against an owner that leaves an endpoint alone
// because it asked one of the carriers for rest, and against one that goes on asking
// carriers once it asked all of them.
func TestCarrierAtRestIsPassedOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(4, respond(func(io.Writer) error { return nil }))
		var told []port.EndpointNotice
		f.clients[0].ObserveNotices(func(_ *catalog.Endpoint, n port.EndpointNotice) {
			if n.Rest > 0 {
				told = append(told, n)
			}
		})
		f.direct[1].rest, f.direct[2].rest = 3*time.Second, 2*time.Second
		for range 10 {
			_, err := f.exchange(t.Context())
			is.NoErr(err)
		}
		is.Equal(len(told), 0)
		f.direct[3].rest = time.Second
		_, err := f.exchange(t.Context())
		e := verdict.From(err)
		is.Equal(e.Code, verdict.CodeNoCapacity)
		is.Equal(e.Verdict, verdict.NotRun)
		is.True(e.RetryAfter > 0 && e.RetryAfter <= time.Second)
		is.Equal(len(told), 1)
		calls, _ := f.counts()
		is.Equal(calls, 10)
		<-time.After(2 * endedRetention)
	})
}
