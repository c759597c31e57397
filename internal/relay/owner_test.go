package relay

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"github.com/pimentorill/pimentorill/internal/port"
)

// carryUntil has edge-0 forward a stream of 20 s over edge-1 and give it up after a time. It
// returns how many calls have ended 0.4 s later.
func carryUntil(t *testing.T, f *fleet, mayRepeat bool, d time.Duration) int {
	is := is.New(t)
	is.NoErr(f.clients[0].ProbeOverPeers(t.Context(), f.endpoint))
	ctx, cancel := context.WithCancelCause(t.Context())
	time.AfterFunc(d, func() { cancel(errors.New("no answer in time")) })
	r := &port.EndpointRequest{Exchange: &port.Exchange{ID: "a1", Method: "POST"}, Endpoint: f.endpoint, Remaining: 20 * time.Second, MayRepeat: mayRepeat}
	err := f.clients[0].Forward(ctx, r, func(response *port.EndpointResponse) error {
		_, err := io.Copy(io.Discard, response.Body)
		return err
	})
	is.True(err != nil)
	<-time.After(400 * time.Millisecond)
	calls, ended := f.counts()
	is.Equal(calls, 1)
	return ended
}

func longStream(w io.Writer) error {
	for range 200 {
		if _, err := io.WriteString(w, "id: 1\n\n"); err != nil {
			return err
		}
		<-time.After(100 * time.Millisecond)
	}
	return nil
}

// TestCarriedCallEndsOnceItsOwnerIsCutOff guards against a request that goes on at another
// endpoint while a carrier that has lost its path to the owner keeps the first one at work.
func TestCarriedCallEndsOnceItsOwnerIsCutOff(t *testing.T) {
	for _, mayRepeat := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(2, respond(longStream))
			cutAt := time.Now().Add(2 * time.Second)
			f.lost = func(string, string, string) bool { return time.Now().After(cutAt) }
			ended := carryUntil(t, f, mayRepeat, 2500*time.Millisecond)
			is.Equal(ended == 1, mayRepeat) // one that may run once doesn't go on elsewhere
			<-time.After(30 * time.Second)
		})
	}
}

// TestCallIsGivenUpOnlyOnceItsCarrierCanKnow guards against a request that goes on at another
// endpoint just after the carrier was cut off, which can't know that yet.
func TestCallIsGivenUpOnlyOnceItsCarrierCanKnow(t *testing.T) {
	for cutAfter := 1700 * time.Millisecond; cutAfter < 2100*time.Millisecond; cutAfter += 50 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(2, respond(longStream))
			cutAt := time.Now().Add(cutAfter)
			f.lost = func(string, string, string) bool { return time.Now().After(cutAt) }
			is.Equal(carryUntil(t, f, true, cutAfter+20*time.Millisecond), 1)
			<-time.After(30 * time.Second)
		})
	}
}

// TestCancelIsSentUntilItArrives guards against endpoints that work on for a request that was
// given up, because the only notice to the carrier was lost.
func TestCancelIsSentUntilItArrives(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(2, respond(longStream))
		intactAt := time.Now().Add(2600 * time.Millisecond)
		f.lost = func(_, _, kind string) bool { return kind == kindCancel && time.Now().Before(intactAt) }
		is.Equal(carryUntil(t, f, false, 2*time.Second), 0)
		<-time.After(700 * time.Millisecond)
		_, ended := f.counts()
		is.Equal(ended, 1)
		<-time.After(30 * time.Second)
	})
}
