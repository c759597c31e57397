package relay

import (
	"context"
	"io"
	"strings"
	"syscall"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/pimentorill/pimentorill/internal/core/verdict"
	"github.com/pimentorill/pimentorill/internal/port"
)

// TestCarriedHeadThatIsCutIsNoResponse guards against an endpoint that stops within the head of
// its response to the carrier, and a caller at the owner that gets a response all the same.
func TestCarriedHeadThatIsCutIsNoResponse(t *testing.T) {
	for _, cause := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET} {
		for _, after := range []time.Duration{0, time.Millisecond, 2 * time.Second} {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFleet(3, func(context.Context, func(*port.EndpointResponse) error) error {
					<-time.After(after)
					return verdict.Wrap(cause, verdict.CodeEndpointFailed, verdict.MayHaveRun, "endpoint broke off")
				})
				is.NoErr(f.clients[0].ProbeOverPeers(t.Context(), f.endpoint))
				r := &port.EndpointRequest{Exchange: &port.Exchange{ID: "a1", Method: "POST"}, Endpoint: f.endpoint, Remaining: 20 * time.Second}
				err := f.clients[0].Forward(t.Context(), r, func(*port.EndpointResponse) error {
					t.Error("there is no response")
					return nil
				})
				is.Equal(verdict.Of(err), verdict.MayHaveRun)
				is.True(port.IsConnectionLoss(err))
				calls, _ := f.counts()
				is.Equal(calls, 1)
				<-time.After(2 * endedRetention)
			})
		}
	}
}

// TestCarriedBodyCutAnywhereIsNoWholeOne guards against a body that ends early at the carrier
// and passes for a whole one at the owner, also an empty one.
func TestCarriedBodyCutAnywhereIsNoWholeOne(t *testing.T) {
	const whole = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	for _, length := range []int64{-2, -1, int64(len(whole))} {
		for end := range len(whole) + 1 {
			for _, slow := range []bool{false, true} {
				for _, broken := range []bool{false, true} {
					if !broken && end < len(whole) {
						continue
					}
					synctest.Test(t, func(t *testing.T) {
						is := is.New(t)
						f := newFleet(3, func(_ context.Context, read func(*port.EndpointResponse) error) error {
							body := io.Reader(strings.NewReader(whole[:end]))
							if slow {
								body = &slowReader{body}
							}
							if broken {
								body = io.MultiReader(body, iotest.ErrReader(syscall.ECONNRESET))
							}
							return read(&port.EndpointResponse{Status: 200, Signed: true, HasAttemptID: true, Length: length, Body: iotest.DataErrReader(body)})
						})
						got, err := f.exchange(t.Context())
						is.Equal(got, whole[:end])
						is.Equal(err != nil, broken)
						is.True(err == nil || verdict.Of(err) == verdict.MayHaveRun)
						<-time.After(2 * endedRetention)
					})
				}
			}
		}
	}
}

// slowReader waits before each read.
type slowReader struct{ io.Reader }

func (s *slowReader) Read(p []byte) (int, error) {
	<-time.After(7 * time.Millisecond)
	return s.Reader.Read(p[:1])
}
